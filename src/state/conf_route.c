/*
 * Routes and keys: the service that a request goes to, and the workspace of its
 * key.
 */
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "state/conf_int.h"

#define DAY_MS		 86400000
#define WEIGHT_MAX	 1000000
#define ATTEMPTS_DEFAULT 2
#define ROUTE_STRING_MAX 1024

static const char *const route_kind_names[] = { "idempotent", "non_idempotent",
						"stream", NULL };

#define ROUTE(field) .offset = offsetof(struct dl_route_conf, field)
static const struct conf_field route_fields[] = {
	{ "name", CONF_NAME, true, CONF_PLAIN_NAME, ROUTE(name) },
	{ "host", CONF_JSON, true, .json = JSON_STRING },
	{ "path_prefix", CONF_JSON, true, .json = JSON_STRING },
	{ "kind", CONF_ENUM, true, .default_value = DL_ROUTE_NON_IDEMPOTENT,
	  .enum_names = route_kind_names, ROUTE(kind) },
	{ "timeout_ms", CONF_U32, true, 1, DAY_MS, 10000, ROUTE(timeout_ms) },
	{ "target_ms", CONF_U32, false, 0, DAY_MS, 0, ROUTE(target_ms) },
	{ "gap_ms", CONF_U32, false, 0, DAY_MS, 0, ROUTE(gap_ms) },
	{ "priority", CONF_U32, false, 0, 1000, 1, ROUTE(priority) },
	{ "attempts", CONF_U32, false, 1, 100, ATTEMPTS_DEFAULT,
	  ROUTE(attempts) },
	{ "public", CONF_BOOL, ROUTE(public) },
	{ "resumable", CONF_BOOL, ROUTE(resumable) },
	{ "targets", CONF_JSON, true, .json = JSON_ARRAY },
};
#undef ROUTE

/* An element of "targets" before its service is looked up. */
struct target {
	struct dl_name service;
	uint32_t weight;
};

static const struct conf_field target_fields[] = {
	{ "service", CONF_NAME, true, CONF_PLAIN_NAME,
	  .offset = offsetof(struct target, service) },
	{ "weight", CONF_U32, false, 0, WEIGHT_MAX, 1,
	  .offset = offsetof(struct target, weight) },
};

static char *read_string(struct conf_reader *r, const struct conf_path *path,
			 json_t *json, const char *key);
static void read_targets(struct conf_reader *r, const struct conf_path *path,
			 json_t *json, const struct dl_conf *conf,
			 struct dl_route_conf *out);
static void check_path_prefix(struct conf_reader *r,
			      const struct conf_path *path,
			      const struct dl_route_conf *route);
static uint64_t match_hash(const struct dl_route_conf *route);
static guint hash_route(gconstpointer route);
static gboolean routes_match_same(gconstpointer a, gconstpointer b);
static void route_free(struct dl_route_conf *route);

/* Return a copy of a host or path prefix, or NULL. */
static char *read_string(struct conf_reader *r, const struct conf_path *path,
			 json_t *json, const char *key)
{
	json_t *value = conf_child(json, key, JSON_STRING);
	struct conf_path child = conf_path_key(path, dl_str_of(key));
	size_t n = json_string_length(value);
	char *copy;

	if (!value)
		return NULL;
	if (n == 0 || n > ROUTE_STRING_MAX ||
	    memchr(json_string_value(value), 0, n)) {
		conf_fault(r, &child, "must have 1 to %d characters",
			   ROUTE_STRING_MAX);
		return NULL;
	}
	copy = strdup(json_string_value(value));
	if (!copy)
		r->out_of_memory = true;
	return copy;
}

/*
 * Read the targets of a route: existing services with a positive total weight.
 */
static void read_targets(struct conf_reader *r, const struct conf_path *path,
			 json_t *json, const struct dl_conf *conf,
			 struct dl_route_conf *out)
{
	json_t *list = conf_child(json, "targets", JSON_ARRAY);
	struct conf_path targets_path = conf_path_key(path, DL_STR("targets"));
	uint64_t sum = 0;

	if (!list)
		return;
	if (json_array_size(list) > DL_ROUTE_TARGETS_MAX) {
		conf_fault(r, &targets_path, "must have at most %d elements",
			   DL_ROUTE_TARGETS_MAX);
		return;
	}
	for (size_t i = 0; i < json_array_size(list); i++) {
		struct conf_path child = conf_path_index(&targets_path, i);
		const struct dl_service_conf *s;
		struct target t = { 0 };

		if (!conf_read_object(r, &child, json_array_get(list, i),
				      CONF_FIELDS(target_fields), &t))
			continue;
		s = dl_conf_service(conf, dl_name_str(&t.service));
		if (!s) {
			conf_fault(r, &child, "no service \"%s\"", t.service.s);
			continue;
		}
		sum += t.weight;
		out->targets[out->targets_count++] = (struct dl_route_target){
			(uint32_t)(s - conf->services), t.weight
		};
	}
	if (sum == 0)
		conf_fault(r, &targets_path, "the sum of the weights is 0");
}

/* Check that a prefix consists of whole path segments. */
static void check_path_prefix(struct conf_reader *r,
			      const struct conf_path *path,
			      const struct dl_route_conf *route)
{
	struct conf_path child = conf_path_key(path, DL_STR("path_prefix"));
	size_t n;

	if (!route->path_prefix)
		return;
	n = strlen(route->path_prefix);
	if (route->path_prefix[0] != '/' || route->path_prefix[n - 1] != '/')
		conf_fault(r, &child, "must begin and end with \"/\"");
}

/* Return the hash of a host and a path prefix. */
static uint64_t match_hash(const struct dl_route_conf *route)
{
	uint64_t host = dl_hash(dl_str_of(route->host), 0);

	return dl_hash(dl_str_of(route->path_prefix), host);
}

/*
 * Read a route; the services must have been read. Returns a route with one
 * reference, which has unset fields where there are faults, or NULL without
 * memory.
 */
struct dl_route_conf *conf_read_route(struct conf_reader *r,
				      const struct conf_path *path,
				      json_t *json, const struct dl_conf *conf)
{
	struct dl_route_conf *route = calloc(1, sizeof(*route));

	if (!route) {
		r->out_of_memory = true;
		return NULL;
	}
	route->references = 1;
	if (!conf_read_object(r, path, json, CONF_FIELDS(route_fields), route))
		return route;
	route->host = read_string(r, path, json, "host");
	route->path_prefix = read_string(r, path, json, "path_prefix");
	check_path_prefix(r, path, route);
	read_targets(r, path, json, conf, route);
	if (route->host && route->path_prefix)
		route->match_hash = match_hash(route);
	return route;
}

static guint hash_route(gconstpointer route)
{
	return (guint)((const struct dl_route_conf *)route)->match_hash;
}

static gboolean routes_match_same(gconstpointer a, gconstpointer b)
{
	const struct dl_route_conf *ra = a, *rb = b;

	return ra->match_hash == rb->match_hash &&
	       strcmp(ra->host, rb->host) == 0 &&
	       strcmp(ra->path_prefix, rb->path_prefix) == 0;
}

/*
 * Check that no two routes have the same host and prefix: at most max further
 * routes, true if none is left. Routes keep the hash of both, so that the check
 * of a large list that changed little is cheap.
 */
bool conf_check_some_matches(struct conf_matches *m, struct conf_reader *r,
			     const struct conf_path *path,
			     const struct dl_conf *conf, uint32_t max)
{
	if (!m->seen)
		m->seen = g_hash_table_new(hash_route, routes_match_same);
	for (; max > 0 && m->next < conf->routes_count; max--, m->next++) {
		struct dl_route_conf *route = conf->routes[m->next];
		struct conf_path child;

		if (!route->host || !route->path_prefix ||
		    g_hash_table_add(m->seen, route))
			continue;
		child = conf_path_index(path, m->next);
		conf_fault(r, &child, "another route has this host and prefix");
	}
	return m->next == conf->routes_count;
}

void conf_matches_free(struct conf_matches *m)
{
	if (m->seen)
		g_hash_table_destroy(m->seen);
	m->seen = NULL;
}

/* Read the routes; the services must have been read. */
void conf_read_routes(struct conf_reader *r, const struct conf_path *path,
		      json_t *json, struct dl_conf *conf)
{
	struct conf_matches matches = { 0 };
	size_t n = json_array_size(json);

	conf->routes = conf_alloc_list(r, path, n, CONF_ROUTES_MAX,
				       sizeof(struct dl_route_conf *));
	if (!conf->routes)
		return;
	for (size_t i = 0; i < n; i++) {
		struct conf_path child = conf_path_index(path, i);
		struct dl_route_conf *route;

		route = conf_read_route(r, &child, json_array_get(json, i),
					conf);
		if (!route)
			return;
		conf->routes[conf->routes_count++] = route;
	}
	conf_check_some_matches(&matches, r, path, conf, UINT32_MAX);
	conf_matches_free(&matches);
}

/* Take a reference to a route, for another configuration that contains it. */
struct dl_route_conf *conf_route_ref(struct dl_route_conf *route)
{
	g_atomic_int_inc(&route->references);
	return route;
}

/* Release a reference to a route. */
static void route_free(struct dl_route_conf *route)
{
	if (!g_atomic_int_dec_and_test(&route->references))
		return;
	free(route->host);
	free(route->path_prefix);
	free(route);
}

void conf_read_keys(struct conf_reader *r, const struct conf_path *path,
		    json_t *json, struct dl_conf_workspace *out)
{
	json_t *list = conf_child(json, "keys", JSON_ARRAY);
	struct conf_path child = conf_path_key(path, DL_STR("keys"));

	if (list)
		conf_read_names(r, &child, list, CONF_SECRET, &out->keys,
				&out->keys_count);
}

/* Index workspaces by key; a key must not belong to two workspaces. */
void conf_index_keys(struct conf_reader *r, struct dl_conf *conf)
{
	struct conf_path root = conf_path_root();
	struct conf_path path = conf_path_key(&root, DL_STR("workspaces"));
	GHashTable *by_key = g_hash_table_new(g_str_hash, g_str_equal);

	conf->workspace_by_key = by_key;
	for (uint32_t i = 0; i < conf->workspaces_count; i++) {
		struct dl_conf_workspace *w = &conf->workspaces[i];

		for (uint32_t k = 0; k < w->keys_count; k++) {
			if (!g_hash_table_insert(by_key, w->keys[k].s, w))
				conf_fault(r, &path,
					   "a key of \"%s\" also belongs to "
					   "another workspace",
					   w->limits.name.s);
		}
	}
}

/* Release the routes; free the keys and their index. */
void conf_routes_free(struct dl_conf *conf)
{
	for (uint32_t i = 0; i < conf->routes_count; i++)
		route_free(conf->routes[i]);
	free(conf->routes);
	for (uint32_t i = 0; i < conf->workspaces_count; i++)
		free(conf->workspaces[i].keys);
	if (conf->workspace_by_key)
		g_hash_table_destroy(conf->workspace_by_key);
}

static bool has_prefix(struct dl_str s, const char *prefix, size_t n)
{
	return s.n >= n && memcmp(s.s, prefix, n) == 0;
}

/* Find the route of a request, or NULL; hosts are compared ignoring case. */
const struct dl_route_conf *dl_conf_route(const struct dl_conf *conf,
					  struct dl_str host,
					  struct dl_str path)
{
	const struct dl_route_conf *best = NULL;
	size_t best_n = 0;

	for (uint32_t i = 0; i < conf->routes_count; i++) {
		const struct dl_route_conf *route = conf->routes[i];
		size_t n = strlen(route->path_prefix);

		if (n <= best_n || strlen(route->host) != host.n ||
		    !has_prefix(path, route->path_prefix, n) ||
		    g_ascii_strncasecmp(route->host, host.s, host.n) != 0)
			continue;
		best = route;
		best_n = n;
	}
	return best;
}

/* Find the workspace that a key belongs to, or NULL. */
const struct dl_conf_workspace *
dl_conf_workspace_of_key(const struct dl_conf *conf, struct dl_str key)
{
	struct dl_name name;

	if (!conf->workspace_by_key || key.n == 0 || memchr(key.s, 0, key.n) ||
	    !dl_name_set(&name, key))
		return NULL;
	return g_hash_table_lookup(conf->workspace_by_key, name.s);
}
