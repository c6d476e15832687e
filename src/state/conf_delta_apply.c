/*
 * Applies deltas: builds the sections of the new version, verifies their
 * digest, and parses the sections that changed.
 *
 * Load: a configuration of 1,300 routes of which one changes, several times
 * within seconds. Harm: parsing all of it takes 200 ms of a VM with 0.1 cores,
 * and its streams stall meanwhile. So routes are parsed only if their text
 * changed, or the services, which they refer to by index.
 */
#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "state/conf_delta_int.h"
#include "state/conf_int.h"

#define NO_ROUTE    UINT32_MAX
#define ROUTE_DEPTH 2 /* a route is an element of a member of the text */
#define HEAD_MIN    2 /* the length of "{}" */

/* State of the application of one delta. */
struct apply {
	struct conf_reader r;
	struct conf_delta delta;
	const struct dl_conf_sections *base;
	const struct dl_conf *base_conf;
	struct dl_conf_sections *next;
	uint32_t *origin; /* of each route: index in the base, or NO_ROUTE */
};

static int apply_delta(struct apply *a, uint64_t base_version,
		       struct dl_conf **conf);
static size_t count_routes(const struct apply *a);
static int build_sections(struct apply *a);
static int build_head(struct apply *a);
static bool build_route(struct apply *a, struct conf_section *section,
			uint32_t origin);
static int build_routes(struct apply *a);
static struct conf_path routes_path(void);
static json_t *load_section(struct apply *a, const struct conf_path *path,
			    int depth, const struct conf_section *section);
static int parse_sections(struct apply *a, struct dl_conf *conf);
static void read_routes(struct apply *a, struct dl_conf *conf);
static bool same_services(const struct dl_conf *a, const struct dl_conf *b);

static struct conf_path routes_path(void)
{
	struct conf_path root = conf_path_root();

	return conf_path_key(&root, DL_STR("routes"));
}

/* Return the number of routes that the operations produce. */
static size_t count_routes(const struct apply *a)
{
	struct conf_delta_op op;
	size_t n = 0;

	for (uint32_t i = 0; i < a->delta.ops.size; i++) {
		if (conf_delta_op(&a->delta, i, &op))
			n += op.count ? op.count : 1;
	}
	return n;
}

/* Build the head of the new version; -EBADMSG if it would be no object. */
static int build_head(struct apply *a)
{
	const struct conf_delta *d = &a->delta;
	struct dl_str base = conf_section_str(a->base->head);
	size_t n = d->head_prefix + d->head_text.n + d->head_suffix;
	char *text;

	if (!d->head_changed) {
		a->next->head = conf_section_ref(a->base->head);
		return 0;
	}
	if (d->head_prefix > base.n ||
	    d->head_suffix > base.n - d->head_prefix || n < HEAD_MIN)
		return -EBADMSG;
	text = malloc(n);
	if (!text)
		return -ENOMEM;
	memcpy(text, base.s, d->head_prefix);
	memcpy(text + d->head_prefix, d->head_text.s, d->head_text.n);
	memcpy(text + n - d->head_suffix, base.s + base.n - d->head_suffix,
	       d->head_suffix);
	if (text[0] != '{' || text[n - 1] != '}') {
		free(text);
		return -EBADMSG;
	}
	a->next->head = conf_section_new((struct dl_str){ text, n });
	free(text);
	return a->next->head ? 0 : -ENOMEM;
}

/* Append a route, whose reference is taken over. */
static bool build_route(struct apply *a, struct conf_section *section,
			uint32_t origin)
{
	if (!section)
		return false;
	a->origin[a->next->routes_count] = origin;
	a->next->routes[a->next->routes_count++] = section;
	return true;
}

/* Carry out the operations. */
static int build_routes(struct apply *a)
{
	const struct dl_conf_sections *base = a->base;
	struct conf_delta_op op;

	for (uint32_t i = 0; i < a->delta.ops.size; i++) {
		if (!conf_delta_op(&a->delta, i, &op))
			return -EBADMSG;
		if (op.count == 0 &&
		    !build_route(a, conf_section_new(op.text), NO_ROUTE))
			return -ENOMEM;
		if (op.count > base->routes_count ||
		    op.first > base->routes_count - op.count)
			return -EBADMSG;
		for (uint32_t j = op.first; j < op.first + op.count; j++)
			build_route(a, conf_section_ref(base->routes[j]), j);
	}
	return 0;
}

/* Build the sections of the new version and verify their digest. */
static int build_sections(struct apply *a)
{
	struct conf_path path = routes_path();
	size_t n = count_routes(a);
	int rc;

	a->origin = conf_alloc_list(&a->r, &path, n, CONF_ROUTES_MAX,
				    sizeof(*a->origin));
	if (!a->origin)
		return a->r.out_of_memory ? -ENOMEM : -EINVAL;
	a->next = conf_sections_new(n);
	if (!a->next)
		return -ENOMEM;
	rc = build_head(a);
	if (rc == 0)
		rc = build_routes(a);
	if (rc == 0)
		rc = conf_sections_finish(a->next);
	if (rc)
		return rc;
	return a->next->digest == a->delta.head.digest ? 0 : -EBADMSG;
}

/*
 * Return the value of a section, or NULL with a fault at its path. A key that
 * is in an object twice is a fault too, as in a whole text.
 */
static json_t *load_section(struct apply *a, const struct conf_path *path,
			    int depth, const struct conf_section *section)
{
	struct dl_str text = conf_section_str(section);
	json_error_t error;
	json_t *json = json_loadb(text.s, text.n, JSON_DECODE_ANY, &error);

	if (!json && json_error_code(&error) == json_error_out_of_memory) {
		a->r.out_of_memory = true;
		return NULL;
	}
	if (!json) {
		conf_fault(&a->r, path, "%.120s", error.text);
		return NULL;
	}
	if (conf_lines_scan(&a->r, path, depth, text) == 0)
		return json;
	json_decref(json);
	return NULL;
}

/* Whether two configurations have the same services at the same indexes. */
static bool same_services(const struct dl_conf *a, const struct dl_conf *b)
{
	if (a->services_count != b->services_count)
		return false;
	for (uint32_t i = 0; i < a->services_count; i++) {
		if (!dl_name_eq(&a->services[i].name,
				dl_name_str(&b->services[i].name)))
			return false;
	}
	return true;
}

/* Share the routes that did not change, and parse the others. */
static void read_routes(struct apply *a, struct dl_conf *conf)
{
	bool shares = same_services(conf, a->base_conf) &&
		      a->base_conf->routes_count == a->base->routes_count;
	struct conf_path path = routes_path();

	conf->routes = conf_alloc_list(&a->r, &path, a->next->routes_count,
				       CONF_ROUTES_MAX,
				       sizeof(struct dl_route_conf *));
	if (!conf->routes)
		return;
	for (uint32_t i = 0; i < a->next->routes_count; i++) {
		struct dl_route_conf *route;
		struct conf_path child;
		json_t *json;

		if (shares && a->origin[i] != NO_ROUTE) {
			route = a->base_conf->routes[a->origin[i]];
			conf->routes[conf->routes_count++] =
				conf_route_ref(route);
			continue;
		}
		child = conf_path_index(&path, i);
		json = load_section(a, &child, ROUTE_DEPTH, a->next->routes[i]);
		if (!json)
			continue;
		route = conf_read_route(&a->r, &child, json, conf);
		json_decref(json);
		if (!route)
			return;
		conf->routes[conf->routes_count++] = route;
	}
	conf_check_route_matches(&a->r, &path, conf);
}

/* Parse what changed, and check the configuration as a whole. */
static int parse_sections(struct apply *a, struct dl_conf *conf)
{
	struct conf_path root = conf_path_root(), routes = routes_path();
	json_t *json;

	if (!conf_check_text_size(&a->r, a->next->text_n))
		return -EINVAL;
	json = load_section(a, &root, 0, a->next->head);
	if (!json)
		return a->r.out_of_memory ? -ENOMEM : -EINVAL;
	if (json_object_get(json, "routes"))
		conf_fault(&a->r, &routes, "the head must not have routes");
	else
		conf_read_top_level(&a->r, json, conf);
	json_decref(json);
	if (a->next->routes_count && !conf->routes)
		read_routes(a, conf);
	conf_check(&a->r, conf);
	return conf_sections_text_digest(a->next, &conf->digest);
}

/* Apply a delta; a->next and *conf are the result. */
static int apply_delta(struct apply *a, uint64_t base_version,
		       struct dl_conf **conf)
{
	const struct dl_conf_delta_head *head = &a->delta.head;
	struct dl_faults *faults = a->r.faults;
	struct dl_conf *next;
	int rc;

	if (!a->base || !a->base_conf || base_version != head->base_version ||
	    a->base->digest != head->base_digest)
		return -ESTALE;
	rc = build_sections(a);
	if (rc)
		return rc;
	next = calloc(1, sizeof(*next));
	if (!next)
		return -ENOMEM;
	rc = parse_sections(a, next);
	/* The text has one line. Paths that were not parsed again have none. */
	for (uint32_t i = 0; i < faults->count && i < DL_FAULTS_MAX; i++)
		faults->items[i].line = 1;
	return conf_finish(&a->r, rc, next, conf);
}

/* Apply a delta to the sections and the configuration that it leads from. */
int dl_conf_delta_apply(struct dl_str delta, uint64_t base_version,
			const struct dl_conf_sections *base,
			const struct dl_conf *base_conf,
			struct dl_conf_sections **sections,
			struct dl_conf **conf, struct dl_faults *faults)
{
	struct apply a = { .r = { .faults = faults },
			   .base = base,
			   .base_conf = base_conf };
	int rc;

	faults->count = 0;
	rc = conf_delta_open(&a.delta, delta);
	if (rc == 0)
		rc = apply_delta(&a, base_version, conf);
	if (rc == 0)
		*sections = a.next;
	else
		dl_conf_sections_free(a.next);
	free(a.origin);
	conf_delta_close(&a.delta);
	return rc;
}
