/*
 * Reads the typed fields of the configuration text and reports faults in them.
 */
#include <ctype.h>
#include <errno.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "state/conf_int.h"

/*
 * A suggestion may differ from the misspelt word by a third of its letters, and
 * by this many at most.
 */
#define EDIT_DISTANCE_MAX 3

typedef void field_fn(struct conf_reader *r, const struct conf_path *path,
		      const struct conf_field *f, json_t *json, char *out);

static field_fn read_u32, read_u64, read_bool, read_name, read_double,
	read_enum, check_json_type;

static field_fn *const readers[CONF_TYPE_COUNT] = {
	[CONF_U32] = read_u32,	     [CONF_U64] = read_u64,
	[CONF_BOOL] = read_bool,     [CONF_NAME] = read_name,
	[CONF_ENUM] = read_enum,     [CONF_JSON] = check_json_type,
	[CONF_DOUBLE] = read_double,
};

static const char *const type_names[] = {
	[JSON_OBJECT] = "an object",	  [JSON_ARRAY] = "a list",
	[JSON_STRING] = "a string",	  [JSON_INTEGER] = "a whole number",
	[JSON_REAL] = "a decimal number", [JSON_TRUE] = "true or false",
	[JSON_FALSE] = "true or false",	  [JSON_NULL] = "null",
};

static void set_default(const struct conf_field *f, char *out);
static bool read_number(struct conf_reader *r, const struct conf_path *path,
			const struct conf_field *f, json_t *json,
			uint64_t *out);
static void fault_wrong_type(struct conf_reader *r,
			     const struct conf_path *path, json_type want,
			     json_t *json);
static void fault_unknown_key(struct conf_reader *r,
			      const struct conf_path *path,
			      struct conf_fields fields, const char *key);
static const struct conf_field *find_field(struct conf_fields fields,
					   const char *key);
static bool is_name_byte(unsigned char c, enum conf_name_kind kind);
static unsigned edit_distance(struct dl_str a, struct dl_str b);

/* Add a fault at a path; beyond DL_FAULTS_MAX faults are only counted. */
void conf_fault(struct conf_reader *r, const struct conf_path *path,
		const char *fmt, ...)
{
	struct dl_fault *f;
	va_list ap;

	if (r->faults->count++ >= DL_FAULTS_MAX)
		return;
	f = &r->faults->items[r->faults->count - 1];
	snprintf(f->path, sizeof(f->path), "%s", path->text);
	f->line = conf_lines_find(&r->lines, path->hash);
	va_start(ap, fmt);
	vsnprintf(f->text, sizeof(f->text), fmt, ap);
	va_end(ap);
}

/* Return the Levenshtein distance of two words. */
static unsigned edit_distance(struct dl_str a, struct dl_str b)
{
	unsigned row[DL_NAME_MAX + 2];

	if (a.n > DL_NAME_MAX || b.n > DL_NAME_MAX)
		return UINT32_MAX;
	for (size_t j = 0; j <= b.n; j++)
		row[j] = (unsigned)j;
	for (size_t i = 1; i <= a.n; i++) {
		unsigned diagonal = row[0];

		row[0] = (unsigned)i;
		for (size_t j = 1; j <= b.n; j++) {
			unsigned up = row[j];
			unsigned best = diagonal + (a.s[i - 1] != b.s[j - 1]);

			if (up + 1 < best)
				best = up + 1;
			if (row[j - 1] + 1 < best)
				best = row[j - 1] + 1;
			row[j] = best;
			diagonal = up;
		}
	}
	return row[b.n];
}

/* Consider a word as the one that was meant. */
void conf_nearest_try(struct conf_nearest *n, struct dl_str word)
{
	size_t limit = (n->wanted.n + 1) / 3;
	unsigned d = edit_distance(n->wanted, word);

	if (limit > EDIT_DISTANCE_MAX)
		limit = EDIT_DISTANCE_MAX;
	if (d > limit || (n->best.s && d >= n->edit_distance))
		return;
	n->best = word;
	n->edit_distance = d;
}

/* Format the suggestion; empty if no word is near. */
const char *conf_nearest_hint(const struct conf_nearest *n, char out[96])
{
	out[0] = '\0';
	if (n->best.s)
		snprintf(out, 96, "; did you mean \"%.*s\"?", (int)n->best.n,
			 n->best.s);
	return out;
}

/* Report the expected type and the one found. */
static void fault_wrong_type(struct conf_reader *r,
			     const struct conf_path *path, json_type want,
			     json_t *json)
{
	conf_fault(r, path, "must be %s, not %s", type_names[want],
		   type_names[json_typeof(json)]);
}

/* Read an integer and check its range. */
static bool read_number(struct conf_reader *r, const struct conf_path *path,
			const struct conf_field *f, json_t *json, uint64_t *out)
{
	json_int_t v;

	if (!json_is_integer(json)) {
		fault_wrong_type(r, path, JSON_INTEGER, json);
		return false;
	}
	v = json_integer_value(json);
	if (v < 0 || (uint64_t)v < f->min || (uint64_t)v > f->max) {
		conf_fault(r, path, "must be from %llu to %llu, not %lld",
			   (unsigned long long)f->min,
			   (unsigned long long)f->max, (long long)v);
		return false;
	}
	*out = (uint64_t)v;
	return true;
}

static void read_u32(struct conf_reader *r, const struct conf_path *path,
		     const struct conf_field *f, json_t *json, char *out)
{
	uint64_t v;
	uint32_t v32;

	if (!read_number(r, path, f, json, &v))
		return;
	v32 = (uint32_t)v;
	memcpy(out, &v32, sizeof(v32));
}

static void read_u64(struct conf_reader *r, const struct conf_path *path,
		     const struct conf_field *f, json_t *json, char *out)
{
	uint64_t v;

	if (read_number(r, path, f, json, &v))
		memcpy(out, &v, sizeof(v));
}

static void read_bool(struct conf_reader *r, const struct conf_path *path,
		      const struct conf_field *f, json_t *json, char *out)
{
	bool v = json_is_true(json);

	if (json_is_boolean(json))
		memcpy(out, &v, sizeof(v));
	else
		fault_wrong_type(r, path, JSON_TRUE, json);
}

static void read_name(struct conf_reader *r, const struct conf_path *path,
		      const struct conf_field *f, json_t *json, char *out)
{
	conf_read_name(r, path, json, (enum conf_name_kind)f->min,
		       (struct dl_name *)(void *)out);
}

static void read_double(struct conf_reader *r, const struct conf_path *path,
			const struct conf_field *f, json_t *json, char *out)
{
	double v = json_number_value(json);

	if (!json_is_number(json))
		fault_wrong_type(r, path, JSON_REAL, json);
	else if (!(v >= 0))
		conf_fault(r, path, "must not be negative");
	else
		memcpy(out, &v, sizeof(v));
}

/* Read the name of an enum value and store its index. */
static void read_enum(struct conf_reader *r, const struct conf_path *path,
		      const struct conf_field *f, json_t *json, char *out)
{
	struct conf_nearest near = { 0 };
	char hint[96], all[96] = "";
	size_t n = 0;

	if (!json_is_string(json)) {
		fault_wrong_type(r, path, JSON_STRING, json);
		return;
	}
	near.wanted = dl_str_of(json_string_value(json));
	for (int i = 0; f->enum_names[i]; i++) {
		struct dl_str word = dl_str_of(f->enum_names[i]);

		if (dl_str_eq(word, near.wanted)) {
			memcpy(out, &i, sizeof(i));
			return;
		}
		conf_nearest_try(&near, word);
		n += (size_t)snprintf(all + n, sizeof(all) - n, "%s\"%s\"",
				      i ? ", " : "", f->enum_names[i]);
	}
	conf_fault(r, path, "must be one of %s%s", all,
		   conf_nearest_hint(&near, hint));
}

/* Check only the type; the caller reads the value. */
static void check_json_type(struct conf_reader *r, const struct conf_path *path,
			    const struct conf_field *f, json_t *json, char *out)
{
	if (json_typeof(json) != f->json)
		fault_wrong_type(r, path, f->json, json);
}

/* Store the default of a field. */
static void set_default(const struct conf_field *f, char *out)
{
	uint32_t v32 = (uint32_t)f->default_value;
	bool flag = f->default_value != 0;

	if (f->type == CONF_U32 || f->type == CONF_ENUM)
		memcpy(out, &v32, sizeof(v32));
	else if (f->type == CONF_U64)
		memcpy(out, &f->default_value, sizeof(f->default_value));
	else if (f->type == CONF_BOOL)
		memcpy(out, &flag, sizeof(flag));
}

/* Find the field of a key, or NULL. */
static const struct conf_field *find_field(struct conf_fields fields,
					   const char *key)
{
	for (size_t i = 0; i < fields.count; i++) {
		if (strcmp(fields.items[i].key, key) == 0)
			return fields.items + i;
	}
	return NULL;
}

/* Report an unknown key, and suggest the nearest one. */
static void fault_unknown_key(struct conf_reader *r,
			      const struct conf_path *path,
			      struct conf_fields fields, const char *key)
{
	struct conf_nearest near = { .wanted = dl_str_of(key) };
	char hint[96];

	for (size_t i = 0; i < fields.count; i++)
		conf_nearest_try(&near, dl_str_of(fields.items[i].key));
	conf_fault(r, path, "unknown key%s", conf_nearest_hint(&near, hint));
}

/*
 * Read an object into a struct described by a table of fields: first the
 * defaults, then each key. Unknown and missing keys, wrong types and values out
 * of range are faults. Returns false if the value is not an object.
 */
bool conf_read_object(struct conf_reader *r, const struct conf_path *path,
		      json_t *json, struct conf_fields fields, void *out)
{
	const char *key;
	json_t *value;

	for (size_t i = 0; i < fields.count; i++)
		set_default(&fields.items[i],
			    (char *)out + fields.items[i].offset);
	if (!json_is_object(json)) {
		fault_wrong_type(r, path, JSON_OBJECT, json);
		return false;
	}
	json_object_foreach(json, key, value)
	{
		const struct conf_field *f = find_field(fields, key);
		struct conf_path child = conf_path_key(path, dl_str_of(key));

		if (f)
			readers[f->type](r, &child, f, value,
					 (char *)out + f->offset);
		else
			fault_unknown_key(r, &child, fields, key);
	}
	for (size_t i = 0; i < fields.count; i++) {
		if (fields.items[i].required &&
		    !json_object_get(json, fields.items[i].key))
			conf_fault(r, path, "the key \"%s\" is missing",
				   fields.items[i].key);
	}
	return true;
}

/*
 * Return a member of the given type, or NULL; another type was reported before.
 */
json_t *conf_child(json_t *json, const char *key, json_type type)
{
	json_t *child = json_object_get(json, key);

	return child && json_typeof(child) == type ? child : NULL;
}

/* Return whether a byte is allowed in a name. */
static bool is_name_byte(unsigned char c, enum conf_name_kind kind)
{
	if (kind == CONF_URL_PATH || kind == CONF_SECRET)
		return c > ' ' && c < 0x7f;
	if (isalnum(c) || c == '.' || c == '_' || c == '-')
		return c < 0x80;
	return kind != CONF_PLAIN_NAME && (c == '/' || c == ':');
}

/* Check the length, characters and form of a name. */
bool conf_check_name(struct conf_reader *r, const struct conf_path *path,
		     struct dl_str name, enum conf_name_kind kind)
{
	uint64_t vm;

	if (name.n == 0 || name.n > DL_NAME_MAX) {
		conf_fault(r, path, "must have 1 to %d characters, not %zu",
			   DL_NAME_MAX, name.n);
		return false;
	}
	for (size_t i = 0; i < name.n; i++) {
		if (is_name_byte((unsigned char)name.s[i], kind))
			continue;
		conf_fault(r, path, "character %zu is not allowed in a name",
			   i + 1);
		return false;
	}
	if (kind == CONF_URL_PATH && name.s[0] != '/') {
		conf_fault(r, path, "must begin with \"/\"");
		return false;
	}
	if (kind == CONF_ADDRESS && !dl_vm_parse(name, &vm)) {
		conf_fault(r, path, "must be an address like 10.0.0.1:7200");
		return false;
	}
	return true;
}

bool conf_read_name(struct conf_reader *r, const struct conf_path *path,
		    json_t *json, enum conf_name_kind kind, struct dl_name *out)
{
	struct dl_str s;

	if (!json_is_string(json)) {
		fault_wrong_type(r, path, JSON_STRING, json);
		return false;
	}
	s = (struct dl_str){ json_string_value(json),
			     json_string_length(json) };
	return conf_check_name(r, path, s, kind) && dl_name_set(out, s);
}

/* Read a list of names without duplicates. */
void conf_read_names(struct conf_reader *r, const struct conf_path *path,
		     json_t *array, enum conf_name_kind kind,
		     struct dl_name **out, uint32_t *count)
{
	size_t n = json_array_size(array);

	if (n > CONF_LIST_MAX) {
		conf_fault(r, path, "must have at most %d elements, not %zu",
			   CONF_LIST_MAX, n);
		return;
	}
	*out = calloc(n ? n : 1, sizeof(**out));
	if (!*out) {
		r->out_of_memory = true;
		return;
	}
	for (size_t i = 0; i < n; i++) {
		struct conf_path child = conf_path_index(path, i);
		struct dl_name *name = &(*out)[*count];
		uint32_t j = 0;

		if (!conf_read_name(r, &child, json_array_get(array, i), kind,
				    name))
			continue;
		while (j < *count && !dl_name_eq(&(*out)[j], dl_name_str(name)))
			j++;
		if (j < *count)
			conf_fault(r, &child, "\"%s\" is in the list twice",
				   name->s);
		else
			(*count)++;
	}
}
