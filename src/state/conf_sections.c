/*
 * The sections of a configuration: the head, which is the text without its
 * routes, and one section per route. Versions share the sections that they have
 * in common by reference count.
 */
#include <errno.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "state/conf_int.h"
#include "state/conf_sections.h"

#define DIGEST_SEED  0
#define DUMP_FLAGS   (JSON_COMPACT | JSON_ENCODE_ANY)
#define EMPTY_OBJECT 2 /* the length of "{}" */
#define KEY_ROUTES   "routes"
/* What joins the head, without its closing brace, and the routes. */
#define ROUTES_OPEN  "\"" KEY_ROUTES "\":["
#define ROUTES_CLOSE "]}"

/* Receives a text piece by piece. */
typedef void put_fn(void *arg, struct dl_str piece);

static struct conf_section *section_of_json(const json_t *json);
static int fill(struct dl_conf_sections *s, const json_t *head,
		const json_t *routes);
static void put_text(const struct dl_conf_sections *s, put_fn *put, void *arg);
static put_fn put_count, put_copy, put_hash;

/* Return a section with a copy of the text. */
struct conf_section *conf_section_new(struct dl_str text)
{
	struct conf_section *section = malloc(sizeof(*section) + text.n + 1);

	if (!section)
		return NULL;
	section->references = 1;
	section->digest = dl_hash(text, DIGEST_SEED);
	section->n = text.n;
	if (text.n)
		memcpy(section->text, text.s, text.n);
	section->text[text.n] = '\0';
	return section;
}

struct conf_section *conf_section_ref(struct conf_section *section)
{
	g_atomic_int_inc(&section->references);
	return section;
}

void conf_section_free(struct conf_section *section)
{
	if (section && g_atomic_int_dec_and_test(&section->references))
		free(section);
}

struct dl_str conf_section_str(const struct conf_section *section)
{
	return (struct dl_str){ section->text, section->n };
}

/* Return the section of a JSON value, or NULL without memory. */
static struct conf_section *section_of_json(const json_t *json)
{
	struct conf_section *section;
	char *text = json_dumps(json, DUMP_FLAGS);

	if (!text)
		return NULL;
	section = conf_section_new(dl_str_of(text));
	free(text);
	return section;
}

struct dl_conf_sections *conf_sections_new(size_t routes)
{
	struct dl_conf_sections *s;

	s = calloc(1, sizeof(*s) + routes * sizeof(struct conf_section *));
	if (s)
		s->references = 1;
	return s;
}

/*
 * Pass the text of the whole configuration to a function. The routes are the
 * last member; they are left out if there are none.
 */
static void put_text(const struct dl_conf_sections *s, put_fn *put, void *arg)
{
	struct dl_str head = conf_section_str(s->head);

	if (s->routes_count == 0) {
		put(arg, head);
		return;
	}
	put(arg, (struct dl_str){ head.s, head.n - 1 });
	if (head.n > EMPTY_OBJECT)
		put(arg, DL_STR(","));
	put(arg, DL_STR(ROUTES_OPEN));
	for (uint32_t i = 0; i < s->routes_count; i++) {
		if (i > 0)
			put(arg, DL_STR(","));
		put(arg, conf_section_str(s->routes[i]));
	}
	put(arg, DL_STR(ROUTES_CLOSE));
}

static void put_count(void *arg, struct dl_str piece)
{
	*(size_t *)arg += piece.n;
}

static void put_copy(void *arg, struct dl_str piece)
{
	char **at = arg;

	memcpy(*at, piece.s, piece.n);
	*at += piece.n;
}

static void put_hash(void *arg, struct dl_str piece)
{
	XXH3_64bits_update(arg, piece.s, piece.n);
}

/* Compute the digest of a version from those of its sections. */
int conf_sections_finish(struct dl_conf_sections *s)
{
	XXH3_state_t *state = XXH3_createState();

	if (!state)
		return -ENOMEM;
	XXH3_64bits_reset_withSeed(state, DIGEST_SEED);
	for (uint32_t i = 0; i <= s->routes_count; i++) {
		const struct conf_section *section = i == 0 ? s->head :
							      s->routes[i - 1];
		uint64_t digest = GUINT64_TO_LE(section->digest);

		XXH3_64bits_update(state, &digest, sizeof(digest));
	}
	s->digest = XXH3_64bits_digest(state);
	XXH3_freeState(state);
	s->text_n = 0;
	put_text(s, put_count, &s->text_n);
	return 0;
}

int conf_sections_text_digest(const struct dl_conf_sections *s, uint64_t *out)
{
	XXH3_state_t *state = XXH3_createState();

	if (!state)
		return -ENOMEM;
	XXH3_64bits_reset_withSeed(state, DIGEST_SEED);
	put_text(s, put_hash, state);
	*out = XXH3_64bits_digest(state);
	XXH3_freeState(state);
	return 0;
}

/* Fill in the sections of a head and its routes. Returns 0 or -ENOMEM. */
static int fill(struct dl_conf_sections *s, const json_t *head,
		const json_t *routes)
{
	s->head = section_of_json(head);
	if (!s->head)
		return -ENOMEM;
	for (size_t i = 0; i < json_array_size(routes); i++) {
		struct conf_section *section =
			section_of_json(json_array_get(routes, i));

		if (!section)
			return -ENOMEM;
		s->routes[s->routes_count++] = section;
	}
	return conf_sections_finish(s);
}

/* Split a JSON object, of which the routes are removed. */
int conf_sections_split_json(json_t *root, struct dl_conf_sections **out)
{
	json_t *routes = json_incref(json_object_get(root, KEY_ROUTES));
	struct dl_conf_sections *s;
	int rc = -ENOMEM;

	if (routes && !json_is_array(routes)) {
		json_decref(routes);
		return -EINVAL;
	}
	if (routes)
		json_object_del(root, KEY_ROUTES);
	s = conf_sections_new(json_array_size(routes));
	if (s)
		rc = fill(s, root, routes);
	json_decref(routes);
	if (rc)
		dl_conf_sections_free(s);
	else
		*out = s;
	return rc;
}

/*
 * Split the JSON text of a configuration into its sections. Duplicate keys and
 * white space of the text are lost, as jansson writes the sections.
 */
int dl_conf_sections_split(struct dl_str text, struct dl_conf_sections **out)
{
	json_error_t error;
	json_t *root = json_loadb(text.s ? text.s : "", text.n, 0, &error);
	int rc = -EINVAL;

	if (!root && json_error_code(&error) == json_error_out_of_memory)
		return -ENOMEM;
	if (json_is_object(root))
		rc = conf_sections_split_json(root, out);
	json_decref(root);
	return rc;
}

/* Parse a whole text, and split it without reading its JSON twice. */
int dl_conf_sections_parse(struct dl_str text,
			   struct dl_conf_sections **sections,
			   struct dl_conf **conf, struct dl_faults *faults)
{
	struct dl_conf_sections *s;
	struct dl_conf *parsed;
	json_t *root;
	int rc = conf_parse(text, &parsed, &root, faults);

	if (rc)
		return rc;
	rc = conf_sections_split_json(root, &s);
	json_decref(root);
	if (rc) {
		dl_conf_free(parsed);
		return rc;
	}
	*sections = s;
	*conf = parsed;
	return 0;
}

struct dl_conf_sections *dl_conf_sections_ref(struct dl_conf_sections *s)
{
	g_atomic_int_inc(&s->references);
	return s;
}

/* Release a reference to the sections of a version. */
void dl_conf_sections_free(struct dl_conf_sections *s)
{
	if (!s || !g_atomic_int_dec_and_test(&s->references))
		return;
	conf_section_free(s->head);
	for (uint32_t i = 0; i < s->routes_count; i++)
		conf_section_free(s->routes[i]);
	free(s);
}

uint64_t dl_conf_sections_digest(const struct dl_conf_sections *s)
{
	return s->digest;
}

/* Build the JSON text of the whole configuration. */
int dl_conf_sections_text(const struct dl_conf_sections *s, char **out,
			  size_t *n)
{
	char *text = malloc(s->text_n + 1), *end = text;

	if (!text)
		return -ENOMEM;
	put_text(s, put_copy, &end);
	*end = '\0';
	*out = text;
	*n = s->text_n;
	return 0;
}
