/*
 * Internals of the configuration parser: the line of each value, typed fields
 * with ranges and defaults, and checks that span several parts of the text.
 */
#ifndef DL_STATE_CONF_INT_H
#define DL_STATE_CONF_INT_H

#include <glib.h>
#include <jansson.h>

#include "daisyledge/conf.h"

/* Limits on the length of each list; they bound the time of a check. */
#define CONF_CLASSES_MAX    32
#define CONF_SERVICES_MAX   256
#define CONF_WORKSPACES_MAX 100000
#define CONF_LIST_MAX	    1024
#define CONF_ROUTES_MAX	    20000

#define CONF_PATH_MAX sizeof(((struct dl_fault *)0)->path)

/* The path of a value in the text: as shown to people, and its hash. */
struct conf_path {
	uint64_t hash;
	size_t n;
	char text[CONF_PATH_MAX];
};

struct conf_path conf_path_root(void);
struct conf_path conf_path_key(const struct conf_path *parent,
			       struct dl_str key);
struct conf_path conf_path_index(const struct conf_path *parent, size_t index);

/* Line number of each key and element, in a hash table by path hash. */
struct conf_lines {
	uint64_t *hash;
	uint32_t *line;
	uint32_t *container; /* the object or list that contains it */
	size_t size;	     /* a power of two */
	size_t used;
};

/* State of parsing one text. */
struct conf_reader {
	struct conf_lines lines;
	struct dl_faults *faults;
	bool out_of_memory;
};

int conf_lines_scan(struct conf_reader *r, const struct conf_path *path,
		    int depth, struct dl_str text);
uint32_t conf_lines_find(const struct conf_lines *lines, uint64_t hash);
void conf_lines_free(struct conf_lines *lines);

void conf_fault(struct conf_reader *r, const struct conf_path *path,
		const char *fmt, ...) __attribute__((format(printf, 3, 4)));

/* Type of a field. */
enum conf_type {
	CONF_U32,
	CONF_U64,
	CONF_BOOL,
	CONF_NAME,
	CONF_DOUBLE, /* must not be negative */
	CONF_ENUM,   /* one of enum_names, stored as an index */
	CONF_JSON,
	CONF_TYPE_COUNT,
};

struct conf_field {
	const char *key;
	enum conf_type type;
	bool required;
	uint64_t min, max, default_value;
	const char *const *enum_names; /* CONF_ENUM: terminated by NULL */
	json_type json; /* CONF_JSON: the type; the caller parses it */
	size_t offset;
};

struct conf_fields {
	const struct conf_field *items;
	size_t count;
};

/* Which characters and form a name may have. */
enum conf_name_kind {
	CONF_PLAIN_NAME, /* letters, digits and . _ - */
	CONF_MODEL_NAME, /* also / and : */
	CONF_URL_PATH,
	CONF_ADDRESS, /* ip:port */
	CONF_SECRET,  /* any visible ASCII character */
};

bool conf_read_object(struct conf_reader *r, const struct conf_path *path,
		      json_t *json, struct conf_fields fields, void *out);
json_t *conf_child(json_t *json, const char *key, json_type type);
bool conf_read_name(struct conf_reader *r, const struct conf_path *path,
		    json_t *json, enum conf_name_kind kind,
		    struct dl_name *out);
void conf_read_names(struct conf_reader *r, const struct conf_path *path,
		     json_t *array, enum conf_name_kind kind,
		     struct dl_name **out, uint32_t *count);
bool conf_check_name(struct conf_reader *r, const struct conf_path *path,
		     struct dl_str name, enum conf_name_kind kind);

/* The word nearest to an unknown one; best.s is NULL if none is near. */
struct conf_nearest {
	struct dl_str wanted;
	struct dl_str best;
	unsigned edit_distance;
};

void conf_nearest_try(struct conf_nearest *n, struct dl_str word);
const char *conf_nearest_hint(const struct conf_nearest *n, char out[96]);

/* conf_route.c */
void conf_read_routes(struct conf_reader *r, const struct conf_path *path,
		      json_t *json, struct dl_conf *conf);
struct dl_route_conf *conf_read_route(struct conf_reader *r,
				      const struct conf_path *path,
				      json_t *json, const struct dl_conf *conf);

/* The routes whose host and prefix were compared so far. */
struct conf_matches {
	GHashTable *seen;
	uint32_t next;
};

bool conf_check_some_matches(struct conf_matches *m, struct conf_reader *r,
			     const struct conf_path *path,
			     const struct dl_conf *conf, uint32_t max);
void conf_matches_free(struct conf_matches *m);
struct dl_route_conf *conf_route_ref(struct dl_route_conf *route);
void conf_read_keys(struct conf_reader *r, const struct conf_path *path,
		    json_t *json, struct dl_conf_workspace *out);
void conf_index_keys(struct conf_reader *r, struct dl_conf *conf);
void conf_routes_free(struct dl_conf *conf);

/* conf.c */
void *conf_alloc_list(struct conf_reader *r, const struct conf_path *path,
		      size_t n, size_t max, size_t size);
bool conf_check_text_size(struct conf_reader *r, size_t n);
void conf_read_top_level(struct conf_reader *r, json_t *root,
			 struct dl_conf *conf);
int conf_parse(struct dl_str text, struct dl_conf **out, json_t **root_json,
	       struct dl_faults *faults);
int conf_finish(struct conf_reader *r, int rc, struct dl_conf *conf,
		struct dl_conf **out);

#define CONF_FIELDS(table)                                                     \
	(struct conf_fields)                                                   \
	{                                                                      \
		(table), sizeof(table) / sizeof((table)[0])                    \
	}

void conf_check(struct conf_reader *r, const struct dl_conf *conf);

#endif
