/*
 * Finds the line of each key and element, and duplicate keys, in a text of
 * valid syntax; jansson reports neither.
 */
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "state/conf_int.h"

#define ROOT_HASH  1
#define LINES_SIZE 256
#define DEPTH_MAX  8

struct scan {
	const char *p;
	const char *end;
	uint32_t line;
	uint32_t containers; /* objects and lists found so far */
	struct conf_reader *r;
};

static struct conf_path append_path(const struct conf_path *parent,
				    struct dl_str word, const char *separator);
static size_t lines_slot(const struct conf_lines *lines, uint64_t hash);
static void lines_set(struct conf_lines *lines, size_t slot, uint64_t hash,
		      uint32_t line, uint32_t container);
static bool lines_grow(struct conf_lines *lines);
static bool record_line(struct scan *s, const struct conf_path *path,
			uint32_t container);
static bool key_path(struct scan *s, const struct conf_path *parent,
		     struct dl_str raw, struct conf_path *out);
static void skip_space(struct scan *s);
static struct dl_str scan_string(struct scan *s);
static bool scan_value(struct scan *s, const struct conf_path *path, int depth);
static bool scan_object(struct scan *s, const struct conf_path *path,
			int depth);
static bool scan_array(struct scan *s, const struct conf_path *path, int depth);

/* Return the path of the text as a whole. */
struct conf_path conf_path_root(void)
{
	return (struct conf_path){ .hash = ROOT_HASH };
}

/*
 * Append a word to a path and its hash. A word that does not fit is left out of
 * the text, but not of the hash.
 */
static struct conf_path append_path(const struct conf_path *parent,
				    struct dl_str word, const char *separator)
{
	struct conf_path path;
	size_t separator_n = parent->n ? strlen(separator) : 0;
	size_t room = sizeof(path.text) - 1 - parent->n;

	memcpy(path.text, parent->text, parent->n);
	path.n = parent->n;
	if (separator_n + word.n <= room) {
		memcpy(path.text + path.n, separator, separator_n);
		memcpy(path.text + path.n + separator_n, word.s, word.n);
		path.n += separator_n + word.n;
	}
	path.text[path.n] = '\0';
	path.hash = XXH3_64bits_withSeed(word.s, word.n, parent->hash);
	if (path.hash == 0)
		path.hash = ROOT_HASH;
	return path;
}

/* Return the path of a key in an object. */
struct conf_path conf_path_key(const struct conf_path *parent,
			       struct dl_str key)
{
	return append_path(parent, key, ".");
}

/* Return the path of an element in an array. */
struct conf_path conf_path_index(const struct conf_path *parent, size_t index)
{
	char word[32];

	snprintf(word, sizeof(word), "[%zu]", index);
	return append_path(parent, dl_str_of(word), "");
}

static bool lines_grow(struct conf_lines *lines)
{
	struct conf_lines next = { .size = lines->size ? lines->size * 2 :
							 LINES_SIZE };

	next.hash = calloc(next.size, sizeof(*next.hash));
	next.line = calloc(next.size, sizeof(*next.line));
	next.container = calloc(next.size, sizeof(*next.container));
	if (!next.hash || !next.line || !next.container) {
		conf_lines_free(&next);
		return false;
	}
	for (size_t i = 0; i < lines->size; i++) {
		uint64_t hash = lines->hash[i];

		if (hash)
			lines_set(&next, lines_slot(&next, hash), hash,
				  lines->line[i], lines->container[i]);
	}
	conf_lines_free(lines);
	*lines = next;
	return true;
}

/* Return the slot of a path, or the free slot for it. */
static size_t lines_slot(const struct conf_lines *lines, uint64_t hash)
{
	size_t i = hash & (lines->size - 1);

	while (lines->hash[i] && lines->hash[i] != hash)
		i = (i + 1) & (lines->size - 1);
	return i;
}

/* Set the line of a path. Of duplicate keys the last counts, as in jansson. */
static void lines_set(struct conf_lines *lines, size_t slot, uint64_t hash,
		      uint32_t line, uint32_t container)
{
	if (!lines->hash[slot])
		lines->used++;
	lines->hash[slot] = hash;
	lines->line[slot] = line;
	lines->container[slot] = container;
}

/* Return the line of a path, or 0 if the text does not contain it. */
uint32_t conf_lines_find(const struct conf_lines *lines, uint64_t hash)
{
	if (lines->size == 0)
		return 0;
	return lines->line[lines_slot(lines, hash)];
}

void conf_lines_free(struct conf_lines *lines)
{
	free(lines->hash);
	free(lines->line);
	free(lines->container);
	memset(lines, 0, sizeof(*lines));
}

/*
 * Record the current line for a path. A duplicate key in the same object is a
 * fault. The same path in an earlier object is not: that object was a duplicate
 * itself and has been reported.
 */
static bool record_line(struct scan *s, const struct conf_path *path,
			uint32_t container)
{
	struct conf_lines *lines = &s->r->lines;
	uint32_t previous_line;
	size_t slot;

	if (lines->used * 2 >= lines->size && !lines_grow(lines)) {
		s->r->out_of_memory = true;
		return false;
	}
	slot = lines_slot(lines, path->hash);
	previous_line =
		lines->container[slot] == container ? lines->line[slot] : 0;
	lines_set(lines, slot, path->hash, s->line, container);
	if (previous_line)
		conf_fault(s->r, path, "duplicate key, also on line %u",
			   previous_line);
	return true;
}

/* Return the path of a key given as raw bytes, which may contain escapes. */
static bool key_path(struct scan *s, const struct conf_path *parent,
		     struct dl_str raw, struct conf_path *out)
{
	json_t *key;

	if (!memchr(raw.s, '\\', raw.n)) {
		*out = conf_path_key(parent, raw);
		return true;
	}
	key = json_loadb(raw.s - 1, raw.n + 2, JSON_DECODE_ANY, NULL);
	if (!key) {
		s->r->out_of_memory = true;
		return false;
	}
	*out = conf_path_key(parent, dl_str_of(json_string_value(key)));
	json_decref(key);
	return true;
}

/* Skip white space and count lines. */
static void skip_space(struct scan *s)
{
	while (s->p < s->end && (*s->p == ' ' || *s->p == '\t' ||
				 *s->p == '\r' || *s->p == '\n')) {
		if (*s->p == '\n')
			s->line++;
		s->p++;
	}
}

/* Skip a string; return the raw bytes between its quotes. */
static struct dl_str scan_string(struct scan *s)
{
	const char *begin = ++s->p;

	while (s->p < s->end && *s->p != '"')
		s->p += *s->p == '\\' ? 2 : 1;
	return (struct dl_str){ begin, (size_t)(s->p++ - begin) };
}

/* Skip the members of an object and record the line of each key. */
static bool scan_object(struct scan *s, const struct conf_path *path, int depth)
{
	uint32_t container = ++s->containers;

	s->p++;
	for (;;) {
		struct conf_path child;
		struct dl_str key;

		skip_space(s);
		if (s->p >= s->end || *s->p == '}')
			break;
		if (*s->p == ',') {
			s->p++;
			continue;
		}
		key = scan_string(s);
		if (!key_path(s, path, key, &child) ||
		    !record_line(s, &child, container))
			return false;
		skip_space(s);
		s->p++;
		if (!scan_value(s, &child, depth + 1))
			return false;
	}
	s->p++;
	return true;
}

/* Skip the elements of an array and record the line of each. */
static bool scan_array(struct scan *s, const struct conf_path *path, int depth)
{
	uint32_t container = ++s->containers;
	size_t index = 0;

	s->p++;
	for (;;) {
		struct conf_path child;

		skip_space(s);
		if (s->p >= s->end || *s->p == ']')
			break;
		if (*s->p == ',') {
			s->p++;
			continue;
		}
		child = conf_path_index(path, index++);
		if (!record_line(s, &child, container) ||
		    !scan_value(s, &child, depth + 1))
			return false;
	}
	s->p++;
	return true;
}

/* Skip a value, and record the lines of all that it contains. */
static bool scan_value(struct scan *s, const struct conf_path *path, int depth)
{
	skip_space(s);
	if (s->p >= s->end)
		return true;
	if (depth > DEPTH_MAX) {
		conf_fault(s->r, path, "nested too deeply");
		return false;
	}
	if (*s->p == '{')
		return scan_object(s, path, depth);
	if (*s->p == '[')
		return scan_array(s, path, depth);
	if (*s->p == '"') {
		scan_string(s);
		return true;
	}
	while (s->p < s->end && !strchr(",]} \t\r\n", *s->p))
		s->p++;
	return true;
}

/*
 * Record the line of each path in a text that jansson has parsed. The text is
 * the value at the given path, nested in depth others. Returns 0, -ENOMEM, or
 * -EINVAL if it is nested too deeply.
 */
int conf_lines_scan(struct conf_reader *r, const struct conf_path *path,
		    int depth, struct dl_str text)
{
	struct scan s = { text.s, text.s + text.n, 1, 0, r };

	if (record_line(&s, path, 0) && scan_value(&s, path, depth))
		return 0;
	return r->out_of_memory ? -ENOMEM : -EINVAL;
}
