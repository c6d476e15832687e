/*
 * Deltas of the configuration. Guards against a VM that takes over something
 * else than what was accepted: a delta applied to another version than its
 * base, a damaged delta, routes shared although what they refer to changed, and
 * faults that only a parse of the whole text finds. Also guards against old
 * versions that are kept alive by the sections or routes they share with newer
 * ones.
 */
#include <check.h>
#include <errno.h>
#include <glib.h>
#include <malloc.h>
#include <stdlib.h>
#include <string.h>

#include "daisyledge/conf_delta.h"
#include "fake/suite.h"
#include "state/conf_delta_int.h"
#include "state/conf_sections.h"

#define ROUTES	       20
#define SERVICES       3
#define SEEDS	       60
#define STEPS	       40
#define SEED_BASE      20261204
#define CHAIN	       1000
#define CHAIN_GROWTH   (64 << 10) /* bytes; one version has 12 KB */
#define THREADS	       4
#define THREAD_APPLIES 200
#define MANY_ROUTES    1300
#define SHARED_ROUTES  256 /* of a step */

/* What is wrong with a route. */
enum flaw {
	FLAW_NONE,
	FLAW_UNKNOWN_KEY,
	FLAW_RANGE,
	FLAW_MISSING,
	FLAW_PREFIX,
	FLAW_TYPE,
	FLAW_NOT_OBJECT,
	FLAW_COUNT,
};

struct route_model {
	uint32_t id; /* of its host and prefix */
	uint32_t timeout_ms;
	uint32_t service; /* number of a service */
	enum flaw flaw;
};

/* A configuration from which a text is written. */
struct model {
	uint32_t number;
	uint32_t workspaces;
	bool no_workspaces; /* no list of them, which is not an empty one */
	GArray *services;   /* uint32_t, numbers of services */
	GArray *routes;	    /* struct route_model */
};

/* A version as a VM holds it. */
struct version {
	uint64_t version;
	struct dl_conf_sections *sections;
	struct dl_conf *conf;
};

static struct dl_faults faults, step_faults, whole_faults;
/* Routes parsed per step. */
static const uint32_t step_sizes[] = { 1, 7, 1000 };

static struct route_model *route_at(struct model *m, uint32_t i)
{
	return &g_array_index(m->routes, struct route_model, i);
}

static uint32_t *service_at(struct model *m, uint32_t i)
{
	return &g_array_index(m->services, uint32_t, i);
}

static void add_route(struct model *m, uint32_t at, uint32_t id)
{
	struct route_model route = { id, 1000 + id,
				     *service_at(m, id % m->services->len),
				     FLAW_NONE };

	g_array_insert_val(m->routes, at, route);
}

static void model_init(struct model *m, uint32_t routes)
{
	m->number = 1;
	m->workspaces = 2;
	m->no_workspaces = false;
	m->services = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	m->routes = g_array_new(FALSE, FALSE, sizeof(struct route_model));
	for (uint32_t i = 0; i < SERVICES; i++)
		g_array_append_val(m->services, i);
	for (uint32_t i = 0; i < routes; i++)
		add_route(m, i, i);
}

static void model_copy(struct model *to, const struct model *from)
{
	*to = *from;
	to->services = g_array_copy(from->services);
	to->routes = g_array_copy(from->routes);
}

static void model_clear(struct model *m)
{
	g_array_free(m->services, TRUE);
	g_array_free(m->routes, TRUE);
}

static void write_route(GString *s, const struct route_model *r)
{
	if (r->flaw == FLAW_NOT_OBJECT) {
		g_string_append(s, "[4]");
		return;
	}
	g_string_append_printf(s, "{\"name\": \"r-%u\", ", r->id);
	if (r->flaw != FLAW_MISSING)
		g_string_append_printf(s, "\"host\": \"h%u.example\", ",
				       r->id % 3);
	g_string_append_printf(s, "\"path_prefix\": \"/p/%u%s\", ", r->id,
			       r->flaw == FLAW_PREFIX ? "" : "/");
	g_string_append_printf(s, "\"kind\": \"stream\", \"timeout_ms\": %u, ",
			       r->flaw == FLAW_RANGE ? 0 : r->timeout_ms);
	if (r->flaw == FLAW_UNKNOWN_KEY)
		g_string_append(s, "\"colour\": 1, ");
	g_string_append_printf(s, "\"public\": %s, ",
			       r->flaw == FLAW_TYPE ? "1" : "true");
	g_string_append_printf(s,
			       "\"targets\": [{\"service\": \"s-%u\", "
			       "\"weight\": 3}]}",
			       r->service);
}

/* Writes the text with white space, and members after the routes. */
static GString *model_text(const struct model *m)
{
	GString *s = g_string_new("{\"format\": 1,\n \"services\": {");

	for (uint32_t i = 0; i < m->services->len; i++) {
		uint32_t number = g_array_index(m->services, uint32_t, i);

		g_string_append_printf(s,
				       "%s\"s-%u\": {\"kind\": \"model\", "
				       "\"pool\": {\"long_tokens\": %u}}",
				       i ? ",\n" : "", number, 1000 + number);
	}
	g_string_append(s, "},\n \"routes\": [");
	for (uint32_t i = 0; i < m->routes->len; i++) {
		if (i > 0)
			g_string_append(s, ",\n");
		write_route(s,
			    &g_array_index(m->routes, struct route_model, i));
	}
	g_string_append(s, "],\n ");
	if (!m->no_workspaces) {
		g_string_append(s, "\"workspaces\": {");
		for (uint32_t i = 0; i < m->workspaces; i++)
			g_string_append_printf(
				s, "%s\"w-%u\": {\"keys\": [\"k-%u\"]}",
				i ? ", " : "", i, i);
		g_string_append(s, "}, ");
	}
	g_string_append_printf(s, "\"number\": %u}\n", m->number);
	return s;
}

static struct dl_conf_sections *split(const struct model *m)
{
	GString *text = model_text(m);
	struct dl_conf_sections *s;

	ck_assert_int_eq(dl_conf_sections_split(
				 (struct dl_str){ text->str, text->len }, &s),
			 0);
	g_string_free(text, TRUE);
	return s;
}

/* Parses the whole text of the sections. */
static int parse_whole(const struct dl_conf_sections *s, struct dl_conf **conf)
{
	char *text;
	size_t n;
	int rc;

	ck_assert_int_eq(dl_conf_sections_text(s, &text, &n), 0);
	ck_assert_uint_eq(strlen(text), n);
	rc = dl_conf_parse((struct dl_str){ text, n }, conf, &whole_faults);
	free(text);
	return rc;
}

/* A VM reads a version whole. */
static void version_read(struct version *v, uint64_t version,
			 const struct model *m)
{
	GString *text = model_text(m);

	v->version = version;
	ck_assert_int_eq(
		dl_conf_sections_parse((struct dl_str){ text->str, text->len },
				       &v->sections, &v->conf, &faults),
		0);
	ck_assert_uint_eq(v->conf->digest, dl_conf_digest((struct dl_str){
						   text->str, text->len }));
	g_string_free(text, TRUE);
}

static void version_clear(struct version *v)
{
	dl_conf_sections_free(v->sections);
	dl_conf_free(v->conf);
}

static struct dl_str make_delta(const struct version *base, uint64_t version,
				const struct dl_conf_sections *next)
{
	struct dl_str delta;
	char *bytes;

	ck_assert_int_eq(dl_conf_delta_make(base->sections, base->version, next,
					    version, &bytes, &delta.n),
			 0);
	delta.s = bytes;
	return delta;
}

static void check_equal(const struct dl_conf *a, const struct dl_conf *b);

/* Applies a delta in steps; returns the number of steps. */
static uint32_t apply_in_steps(struct dl_str delta, const struct version *base,
			       uint32_t routes_max, struct version *next,
			       int *rc)
{
	struct dl_conf_delta_work *work;
	uint32_t steps = 0, parsed = 0;

	memset(next, 0, sizeof(*next));
	ck_assert_int_eq(dl_conf_delta_begin(delta, base->version,
					     base->sections, base->conf,
					     &step_faults, &work),
			 0);
	do {
		*rc = dl_conf_delta_step(work, routes_max);
		ck_assert_uint_le(dl_conf_delta_parsed(work) - parsed,
				  routes_max);
		parsed = dl_conf_delta_parsed(work);
		steps++;
	} while (*rc == -EAGAIN);
	ck_assert_int_eq(dl_conf_delta_step(work, routes_max), *rc);
	ck_assert_int_eq(dl_conf_delta_end(work, &next->sections, &next->conf),
			 *rc);
	return steps;
}

/* Checks that steps have the same result as the application at once. */
static void check_steps(struct dl_str delta, const struct version *base,
			const struct version *whole, int whole_rc)
{
	for (uint32_t i = 0; i < G_N_ELEMENTS(step_sizes); i++) {
		struct version next;
		int rc;

		apply_in_steps(delta, base, step_sizes[i], &next, &rc);
		ck_assert_int_eq(rc, whole_rc);
		ck_assert_uint_eq(step_faults.count, faults.count);
		for (uint32_t k = 0; k < faults.count && k < DL_FAULTS_MAX;
		     k++) {
			ck_assert_str_eq(step_faults.items[k].path,
					 faults.items[k].path);
			ck_assert_str_eq(step_faults.items[k].text,
					 faults.items[k].text);
		}
		if (rc) {
			ck_assert_ptr_null(next.sections);
			ck_assert_ptr_null(next.conf);
			continue;
		}
		ck_assert_uint_eq(dl_conf_sections_digest(next.sections),
				  dl_conf_sections_digest(whole->sections));
		check_equal(next.conf, whole->conf);
		version_clear(&next);
	}
}

/* Applies a delta; next is set only if that succeeds. */
static int apply(struct dl_str delta, const struct version *base,
		 struct version *next)
{
	struct dl_conf_delta_head head;
	int rc;

	memset(next, 0, sizeof(*next));
	rc = dl_conf_delta_apply(delta, base->version, base->sections,
				 base->conf, &next->sections, &next->conf,
				 &faults);
	check_steps(delta, base, next, rc);
	if (rc) {
		ck_assert_ptr_null(next->sections);
		ck_assert_ptr_null(next->conf);
		ck_assert(rc == -EINVAL ? faults.count > 0 : !faults.count);
		return rc;
	}
	ck_assert_int_eq(dl_conf_delta_head(delta, &head), 0);
	next->version = head.version;
	ck_assert_uint_eq(dl_conf_sections_digest(next->sections), head.digest);
	return 0;
}

static void check_names(const struct dl_name *a, uint32_t a_count,
			const struct dl_name *b, uint32_t b_count)
{
	ck_assert_uint_eq(a_count, b_count);
	for (uint32_t i = 0; i < a_count; i++)
		ck_assert_str_eq(a[i].s, b[i].s);
}

static void check_service(const struct dl_service_conf *a,
			  const struct dl_service_conf *b)
{
	struct dl_service_conf x, y;

	check_names(a->depends_on, a->depends_on_count, b->depends_on,
		    b->depends_on_count);
	check_names(a->models, a->models_count, b->models, b->models_count);
	check_names(a->idempotent_paths, a->idempotent_paths_count,
		    b->idempotent_paths, b->idempotent_paths_count);
	memcpy(&x, a, sizeof(x));
	memcpy(&y, b, sizeof(y));
	x.depends_on = y.depends_on = NULL;
	x.models = y.models = NULL;
	x.idempotent_paths = y.idempotent_paths = NULL;
	ck_assert_mem_eq(&x, &y, sizeof(x));
}

static void check_workspace(const struct dl_conf *b_conf,
			    const struct dl_conf_workspace *a,
			    const struct dl_conf_workspace *b)
{
	struct dl_conf_workspace x, y;

	check_names(a->keys, a->keys_count, b->keys, b->keys_count);
	for (uint32_t i = 0; i < a->keys_count; i++)
		ck_assert_ptr_eq(dl_conf_workspace_of_key(
					 b_conf, dl_name_str(&a->keys[i])),
				 b);
	memcpy(&x, a, sizeof(x));
	memcpy(&y, b, sizeof(y));
	x.keys = y.keys = NULL;
	ck_assert_mem_eq(&x, &y, sizeof(x));
}

static void check_route(const struct dl_route_conf *a,
			const struct dl_route_conf *b)
{
	struct dl_route_conf x, y;

	ck_assert_str_eq(a->host, b->host);
	ck_assert_str_eq(a->path_prefix, b->path_prefix);
	memcpy(&x, a, sizeof(x));
	memcpy(&y, b, sizeof(y));
	x.host = y.host = NULL;
	x.path_prefix = y.path_prefix = NULL;
	x.references = y.references = 0;
	ck_assert_mem_eq(&x, &y, sizeof(x));
}

/*
 * Compares two configurations in every field. The structs are compared whole,
 * after their pointers, so that fields that are added later are covered.
 */
static void check_equal(const struct dl_conf *a, const struct dl_conf *b)
{
	struct dl_conf x, y;

	memcpy(&x, a, sizeof(x));
	memcpy(&y, b, sizeof(y));
	x.classes = y.classes = NULL;
	x.services = y.services = NULL;
	x.workspaces = y.workspaces = NULL;
	x.routes = y.routes = NULL;
	x.orders = y.orders = NULL;
	x.drain_vms = y.drain_vms = NULL;
	x.drain_endpoints = y.drain_endpoints = NULL;
	x.workspace_by_key = y.workspace_by_key = NULL;
	ck_assert_mem_eq(&x, &y, sizeof(x));
	for (uint32_t i = 0; i < a->classes_count; i++)
		ck_assert_mem_eq(&a->classes[i], &b->classes[i],
				 sizeof(a->classes[i]));
	for (uint32_t i = 0; i < a->services_count; i++)
		check_service(&a->services[i], &b->services[i]);
	for (uint32_t i = 0; i < a->workspaces_count; i++)
		check_workspace(b, &a->workspaces[i], &b->workspaces[i]);
	for (uint32_t i = 0; i < a->routes_count; i++)
		check_route(a->routes[i], b->routes[i]);
	for (uint32_t i = 0; i < a->orders_count; i++)
		ck_assert_mem_eq(&a->orders[i], &b->orders[i],
				 sizeof(a->orders[i]));
	check_names(a->drain_vms, a->drain_vms_count, b->drain_vms,
		    b->drain_vms_count);
	check_names(a->drain_endpoints, a->drain_endpoints_count,
		    b->drain_endpoints, b->drain_endpoints_count);
}

/* Checks a version reached by a delta against a parse of its whole text. */
static void check_version(const struct version *v, const struct model *m)
{
	struct dl_conf_sections *sections = split(m);
	struct dl_conf *conf;

	ck_assert_uint_eq(dl_conf_sections_digest(v->sections),
			  dl_conf_sections_digest(sections));
	ck_assert_int_eq(parse_whole(sections, &conf), 0);
	check_equal(v->conf, conf);
	dl_conf_free(conf);
	dl_conf_sections_free(sections);
}

static int compare_fault_paths(const void *a, const void *b)
{
	const struct dl_fault *fa = a, *fb = b;
	int order = strcmp(fa->path, fb->path);

	return order ? order : strcmp(fa->text, fb->text);
}

/* Checks that a delta has the faults of a parse of the whole text. */
static void check_same_faults(void)
{
	ck_assert_uint_eq(faults.count, whole_faults.count);
	ck_assert_uint_le(faults.count, DL_FAULTS_MAX);
	qsort(faults.items, faults.count, sizeof(faults.items[0]),
	      compare_fault_paths);
	qsort(whole_faults.items, faults.count, sizeof(faults.items[0]),
	      compare_fault_paths);
	for (uint32_t i = 0; i < faults.count; i++) {
		const struct dl_fault *a = &faults.items[i];
		const struct dl_fault *b = &whole_faults.items[i];

		ck_assert_str_eq(a->path, b->path);
		ck_assert_str_eq(a->text, b->text);
		ck_assert_uint_eq(a->line, b->line);
	}
}

static void edit_nothing(struct model *m)
{
}

static void edit_head(struct model *m)
{
	m->number++;
	m->workspaces++;
}

static void edit_route(struct model *m)
{
	route_at(m, 7)->timeout_ms++;
}

static void edit_route_and_head(struct model *m)
{
	edit_head(m);
	edit_route(m);
}

static void move_route(struct model *m)
{
	struct route_model route = *route_at(m, 3);

	g_array_remove_index(m->routes, 3);
	g_array_insert_val(m->routes, 12, route);
}

static void remove_route(struct model *m)
{
	g_array_remove_index(m->routes, 0);
	g_array_remove_index(m->routes, 9);
}

static void append_route(struct model *m)
{
	add_route(m, m->routes->len, 100);
	add_route(m, 0, 101);
}

static void replace_routes(struct model *m)
{
	for (uint32_t i = 0; i < m->routes->len; i++)
		route_at(m, i)->id += 100;
}

static void swap_matches(struct model *m)
{
	uint32_t id = route_at(m, 2)->id;

	route_at(m, 2)->id = route_at(m, 5)->id;
	route_at(m, 5)->id = id;
}

static void remove_routes(struct model *m)
{
	g_array_set_size(m->routes, 0);
}

static void rename_service(struct model *m)
{
	*service_at(m, 1) = 9;
	for (uint32_t i = 0; i < m->routes->len; i++) {
		if (route_at(m, i)->service == 1)
			route_at(m, i)->service = 9;
	}
}

static void reorder_services(struct model *m)
{
	*service_at(m, 0) = 2;
	*service_at(m, 2) = 0;
}

static void add_service(struct model *m)
{
	uint32_t number = 9;

	g_array_append_val(m->services, number);
}

/* A change, and how many routes are parsed instead of shared. */
struct change_case {
	const char *name;
	void (*edit)(struct model *m);
	uint32_t parsed;
};

static const struct change_case change_cases[] = {
	{ "nothing changed", edit_nothing, 0 },
	{ "head only", edit_head, 0 },
	{ "a route changed", edit_route, 1 },
	{ "a route and the head changed", edit_route_and_head, 1 },
	{ "a route moved", move_route, 0 },
	{ "routes removed", remove_route, 0 },
	{ "routes added at both ends", append_route, 2 },
	{ "all routes replaced", replace_routes, ROUTES },
	{ "two routes exchanged their prefixes", swap_matches, 2 },
	{ "all routes removed", remove_routes, 0 },
	{ "a service renamed", rename_service, ROUTES },
	{ "services in another order", reorder_services, ROUTES },
	{ "a service added", add_service, ROUTES },
};

#define CHANGE_CASES (sizeof(change_cases) / sizeof(change_cases[0]))

static uint32_t count_parsed(const struct dl_conf *conf,
			     const struct dl_conf *base)
{
	uint32_t parsed = 0;

	for (uint32_t i = 0; i < conf->routes_count; i++) {
		uint32_t j = 0;

		while (j < base->routes_count &&
		       base->routes[j] != conf->routes[i])
			j++;
		parsed += j == base->routes_count;
	}
	return parsed;
}

/* The change is applied, and undone by a second delta. */
START_TEST(change_equals_parse_of_whole_text)
{
	const struct change_case *c = &change_cases[_i];
	struct version base, next, last;
	struct dl_conf_sections *sections;
	struct model before, after;
	struct dl_str delta;

	model_init(&before, ROUTES);
	model_copy(&after, &before);
	c->edit(&after);
	version_read(&base, 4, &before);
	sections = split(&after);
	delta = make_delta(&base, 9, sections);
	ck_assert_msg(apply(delta, &base, &next) == 0, "%s", c->name);
	ck_assert_uint_eq(next.version, 9);
	ck_assert_msg(count_parsed(next.conf, base.conf) == c->parsed, "%s: %u",
		      c->name, count_parsed(next.conf, base.conf));
	version_clear(&base);
	check_version(&next, &after);
	free((char *)delta.s);
	dl_conf_sections_free(sections);
	sections = split(&before);
	delta = make_delta(&next, 10, sections);
	ck_assert_int_eq(apply(delta, &next, &last), 0);
	version_clear(&next);
	check_version(&last, &before);
	version_clear(&last);
	free((char *)delta.s);
	dl_conf_sections_free(sections);
	model_clear(&before);
	model_clear(&after);
}
END_TEST

/* An order of versions that a VM may see, and the one it has by then. */
struct order_case {
	const char *name;
	int held; /* index of the version that the VM has; -1: none */
	uint64_t held_version;
	int from, to; /* indexes of the versions that the delta leads between */
	int rc;
};

/* Versions 1 to 3 follow each other; 3 is another change of the first one. */
static const struct order_case order_cases[] = {
	{ "in order", 0, 1, 0, 1, 0 },
	{ "versions between are skipped by one delta", 0, 1, 0, 2, 0 },
	{ "a version is missing", 0, 1, 1, 2, -ESTALE },
	{ "repeated", 1, 2, 0, 1, -ESTALE },
	{ "out of order", 2, 3, 0, 1, -ESTALE },
	{ "no version", -1, 0, 0, 1, -ESTALE },
	{ "same version with another digest", 3, 2, 1, 2, -ESTALE },
	{ "same digest with another version", 1, 5, 1, 2, -ESTALE },
	{ "a racing change of the base", 3, 2, 0, 1, -ESTALE },
};

#define ORDER_CASES (sizeof(order_cases) / sizeof(order_cases[0]))

START_TEST(delta_applies_to_its_base_only)
{
	const struct order_case *c = &order_cases[_i];
	static const uint64_t numbers[] = { 1, 2, 3, 2 };
	struct version versions[4], held = { .version = 0 }, next;
	struct dl_conf_delta_head head;
	struct model models[4];
	struct dl_str delta;

	model_init(&models[0], ROUTES);
	for (int i = 1; i < 4; i++)
		model_copy(&models[i], &models[0]);
	edit_route(&models[1]);
	edit_route(&models[2]);
	append_route(&models[2]);
	move_route(&models[3]);
	for (int i = 0; i < 4; i++)
		version_read(&versions[i], numbers[i], &models[i]);
	delta = make_delta(&versions[c->from], numbers[c->to],
			   versions[c->to].sections);
	ck_assert_int_eq(dl_conf_delta_head(delta, &head), 0);
	ck_assert_uint_eq(head.base_version, numbers[c->from]);
	ck_assert_uint_eq(head.base_digest,
			  dl_conf_sections_digest(versions[c->from].sections));
	if (c->held >= 0)
		held = versions[c->held];
	held.version = c->held_version;
	ck_assert_msg(apply(delta, &held, &next) == c->rc, "%s", c->name);
	if (c->rc == 0)
		check_version(&next, &models[c->to]);
	version_clear(&next);
	free((char *)delta.s);
	for (int i = 0; i < 4; i++) {
		version_clear(&versions[i]);
		model_clear(&models[i]);
	}
}
END_TEST

START_TEST(delta_to_a_lower_version_is_not_made)
{
	struct model m;
	struct version v;
	char *bytes;
	size_t n;

	model_init(&m, 1);
	version_read(&v, 4, &m);
	for (uint64_t version = 3; version < 5; version++)
		ck_assert_int_eq(dl_conf_delta_make(v.sections, 4, v.sections,
						    version, &bytes, &n),
				 -EINVAL);
	version_clear(&v);
	model_clear(&m);
}
END_TEST

/* Two versions that differ in the head, and by a new, a moved and a lost route.
 */
static struct dl_str make_example(struct version *base, struct model *after)
{
	struct dl_conf_sections *sections;
	struct dl_str delta;
	struct model before;

	model_init(&before, ROUTES);
	model_copy(after, &before);
	edit_route_and_head(after);
	move_route(after);
	remove_route(after);
	version_read(base, 4, &before);
	sections = split(after);
	delta = make_delta(base, 5, sections);
	dl_conf_sections_free(sections);
	model_clear(&before);
	return delta;
}

START_TEST(damaged_delta_is_rejected)
{
	struct dl_conf_delta_head head;
	struct version base, next;
	struct model after;
	struct dl_str delta = make_example(&base, &after);
	char *copy = malloc(delta.n + 1);

	memcpy(copy, delta.s, delta.n);
	for (size_t i = 0; i < delta.n; i++) {
		for (int mask = 1; mask < 256; mask++) {
			copy[i] = (char)(delta.s[i] ^ mask);
			ck_assert_int_eq(apply((struct dl_str){ copy, delta.n },
					       &base, &next),
					 -EBADMSG);
		}
		copy[i] = delta.s[i];
	}
	for (size_t n = 0; n < delta.n; n++) {
		struct dl_str part = { copy, n };

		ck_assert_int_eq(apply(part, &base, &next), -EBADMSG);
		ck_assert_int_eq(dl_conf_delta_head(part, &head), -EBADMSG);
	}
	copy[delta.n] = 0;
	ck_assert_int_eq(apply((struct dl_str){ copy, delta.n + 1 }, &base,
			       &next),
			 -EBADMSG);
	free(copy);
	free((char *)delta.s);
	version_clear(&base);
	model_clear(&after);
}
END_TEST

static void seal(char *bytes, size_t n)
{
	size_t at = n - CONF_DELTA_CHECKSUM_BYTES;
	uint64_t sum = GUINT64_TO_BE(dl_hash((struct dl_str){ bytes, at },
					     CONF_DELTA_CHECKSUM_SEED));

	memcpy(bytes + at, &sum, sizeof(sum));
}

/*
 * A delta that another program made wrong has a valid checksum. No byte of it
 * may lead to another configuration than the one that its digest names; only
 * the number of the new version can be changed.
 */
START_TEST(result_with_other_digest_is_rejected)
{
	struct version base, next;
	struct model after;
	struct dl_str delta = make_example(&base, &after);
	char *copy = malloc(delta.n);
	uint32_t rejected = 0;

	for (size_t i = 0; i < delta.n - CONF_DELTA_CHECKSUM_BYTES; i++) {
		for (int mask = 1; mask < 256; mask++) {
			int rc;

			memcpy(copy, delta.s, delta.n);
			copy[i] = (char)(copy[i] ^ mask);
			seal(copy, delta.n);
			rc = apply((struct dl_str){ copy, delta.n }, &base,
				   &next);
			rejected += rc == -EBADMSG;
			if (rc == 0) {
				ck_assert_uint_gt(next.version, base.version);
				check_version(&next, &after);
			} else {
				ck_assert(rc == -EBADMSG || rc == -ESTALE ||
					  rc == -EINVAL);
			}
			version_clear(&next);
		}
	}
	ck_assert_uint_gt(rejected, delta.n * 128);
	free(copy);
	free((char *)delta.s);
	version_clear(&base);
	model_clear(&after);
}
END_TEST

/* A text with faults sets neither output. */
START_TEST(faulty_whole_text_is_not_split)
{
	struct dl_conf_sections *sections = NULL;
	struct dl_conf *conf = NULL;
	struct model m;
	GString *text;

	model_init(&m, ROUTES);
	route_at(&m, 3)->flaw = FLAW_RANGE;
	text = model_text(&m);
	ck_assert_int_eq(
		dl_conf_sections_parse((struct dl_str){ text->str, text->len },
				       &sections, &conf, &faults),
		-EINVAL);
	ck_assert_str_eq(faults.items[0].path, "routes[3].timeout_ms");
	ck_assert_ptr_null(sections);
	ck_assert_ptr_null(conf);
	g_string_free(text, TRUE);
	model_clear(&m);
}
END_TEST

/* A fault in a route, and where it is reported. */
struct fault_case {
	uint32_t route;
	enum flaw flaw;
	const char *path;
	const char *text;
};

static const struct fault_case fault_cases[] = {
	{ 3, FLAW_UNKNOWN_KEY, "routes[3].colour", "unknown key" },
	{ 0, FLAW_RANGE, "routes[0].timeout_ms", "must be from 1" },
	{ 19, FLAW_MISSING, "routes[19]", "\"host\" is missing" },
	{ 5, FLAW_PREFIX, "routes[5].path_prefix", "begin and end" },
	{ 6, FLAW_TYPE, "routes[6].public", "true or false" },
	{ 7, FLAW_NOT_OBJECT, "routes[7]", "must be an object" },
};

#define FAULT_CASES (sizeof(fault_cases) / sizeof(fault_cases[0]))

/* Applies a change that has faults, also those of a parse of the whole text. */
static void check_faults(const struct model *before, const struct model *after,
			 const char *path, const char *text)
{
	struct dl_conf_sections *sections = split(after);
	struct dl_conf *conf = NULL;
	struct version base, next;
	struct dl_str delta;
	bool found = false;

	version_read(&base, 4, before);
	delta = make_delta(&base, 5, sections);
	ck_assert_int_eq(apply(delta, &base, &next), -EINVAL);
	ck_assert_int_eq(parse_whole(sections, &conf), -EINVAL);
	check_same_faults();
	for (uint32_t i = 0; i < faults.count; i++)
		found |= strcmp(faults.items[i].path, path) == 0 &&
			 strstr(faults.items[i].text, text) != NULL;
	ck_assert_msg(found, "%s: %s", faults.items[0].path,
		      faults.items[0].text);
	free((char *)delta.s);
	dl_conf_sections_free(sections);
	version_clear(&base);
}

START_TEST(fault_names_the_route)
{
	const struct fault_case *c = &fault_cases[_i];
	struct model before, after;

	model_init(&before, ROUTES);
	model_copy(&after, &before);
	route_at(&after, c->route)->flaw = c->flaw;
	check_faults(&before, &after, c->path, c->text);
	model_clear(&before);
	model_clear(&after);
}
END_TEST

/* Faults that arise between a part that changed and one that did not. */
START_TEST(fault_between_new_and_old_parts)
{
	struct model before, after;

	model_init(&before, ROUTES);
	model_copy(&after, &before);
	route_at(&after, 2)->id = 11;
	check_faults(&before, &after, "routes[11]", "has this host and prefix");
	route_at(&after, 2)->id = 2;
	g_array_append_val(after.routes, *route_at(&after, 4));
	check_faults(&before, &after, "routes[20]", "has this host and prefix");
	g_array_set_size(after.routes, ROUTES);
	g_array_remove_index(after.services, 1);
	check_faults(&before, &after, "routes[1].targets[0]", "no service");
	g_array_set_size(after.services, 0);
	remove_routes(&after);
	check_faults(&before, &after, "services", "at least one");
	model_clear(&before);
	model_clear(&after);
}
END_TEST

/* A section that jansson would not write, and what is reported. */
struct literal_case {
	const char *head; /* NULL: that of the base */
	const char *route;
	int rc;
	const char *path;
	const char *text;
};

#define HEAD_WITH(part)                                                        \
	"{\"format\":1,\"services\":{\"s-0\":{\"kind\":\"model\"}}" part       \
	",\"number\":1}"
static const struct literal_case literal_cases[] = {
	{ NULL, "{\"name\":", -EINVAL, "routes[1]", "" },
	{ NULL, "", -EINVAL, "routes[1]", "" },
	{ NULL, "{},{}", -EINVAL, "routes[1]", "end of file" },
	{ NULL, "{\"name\":\"a\",\"name\":\"b\"}", -EINVAL, "routes[1].name",
	  "duplicate key" },
	{ NULL, "{\"name\":[[[[[[1]]]]]]}", -EINVAL,
	  "routes[1].name[0][0][0][0][0][0]", "nested too deeply" },
	{ HEAD_WITH(",\"log_level\":\"info\",\"log_level\":\"warn\""), NULL,
	  -EINVAL, "log_level", "duplicate key" },
	{ HEAD_WITH(",\"replicas\":[]"), NULL, -EINVAL, "replicas",
	  "at least 3 replicas" },
	{ HEAD_WITH(",\"routes\":[]"), NULL, -EINVAL, "routes",
	  "must not have routes" },
	{ "{\"format\":}", NULL, -EINVAL, "", "" },
	{ "[]", NULL, -EBADMSG, NULL, NULL },
	{ "", NULL, -EBADMSG, NULL, NULL },
};

#define LITERAL_CASES (sizeof(literal_cases) / sizeof(literal_cases[0]))

START_TEST(literal_section_is_checked_like_a_whole_text)
{
	const struct literal_case *c = &literal_cases[_i];
	struct dl_conf_sections *sections;
	struct dl_conf *conf = NULL;
	struct version base, next;
	struct dl_str delta;
	struct model m;
	bool found = false;

	model_init(&m, 3);
	version_read(&base, 4, &m);
	sections = conf_sections_new(2);
	sections->head = c->head ? conf_section_new(dl_str_of(c->head)) :
				   conf_section_ref(base.sections->head);
	sections->routes_count = 2;
	sections->routes[0] = conf_section_ref(base.sections->routes[0]);
	sections->routes[1] =
		c->route ? conf_section_new(dl_str_of(c->route)) :
			   conf_section_ref(base.sections->routes[1]);
	if (sections->head->n >= 2)
		ck_assert_int_eq(conf_sections_finish(sections), 0);
	delta = make_delta(&base, 5, sections);
	ck_assert_int_eq(apply(delta, &base, &next), c->rc);
	if (c->rc == -EINVAL)
		ck_assert_int_eq(parse_whole(sections, &conf), -EINVAL);
	for (uint32_t i = 0; i < faults.count; i++)
		found |= strcmp(faults.items[i].path, c->path) == 0 &&
			 strstr(faults.items[i].text, c->text) != NULL;
	ck_assert_msg(found == (c->rc == -EINVAL), "%s: %s",
		      faults.items[0].path, faults.items[0].text);
	free((char *)delta.s);
	dl_conf_sections_free(sections);
	version_clear(&base);
	model_clear(&m);
}
END_TEST

/* A delta must not be able to claim routes beyond what a text may have. */
START_TEST(routes_are_limited)
{
	struct dl_conf_sections *sections;
	struct version base, next;
	struct dl_str delta;
	struct model m;

	model_init(&m, 1);
	version_read(&base, 4, &m);
	sections = conf_sections_new(20001);
	sections->head = conf_section_ref(base.sections->head);
	for (int i = 0; i < 20001; i++)
		sections->routes[sections->routes_count++] =
			conf_section_ref(base.sections->routes[0]);
	ck_assert_int_eq(conf_sections_finish(sections), 0);
	delta = make_delta(&base, 5, sections);
	ck_assert_int_eq(apply(delta, &base, &next), -EINVAL);
	ck_assert_str_eq(faults.items[0].path, "routes");
	ck_assert_ptr_nonnull(strstr(faults.items[0].text, "not 20001"));
	free((char *)delta.s);
	dl_conf_sections_free(sections);
	version_clear(&base);
	model_clear(&m);
}
END_TEST

START_TEST(text_that_cannot_be_split)
{
	static const char *const texts[] = { "",
					     "[]",
					     "4",
					     "{",
					     "{} {}",
					     "{\"routes\": {}}",
					     "{\"routes\": null}" };
	struct dl_conf_sections *s;
	char *text;
	size_t n;

	for (size_t i = 0; i < G_N_ELEMENTS(texts); i++)
		ck_assert_int_eq(dl_conf_sections_split(dl_str_of(texts[i]),
							&s),
				 -EINVAL);
	ck_assert_int_eq(dl_conf_sections_split(
				 DL_STR("{ \"routes\": [ 4, {\"a\" :1.50}]}"),
				 &s),
			 0);
	ck_assert_int_eq(dl_conf_sections_text(s, &text, &n), 0);
	ck_assert_str_eq(text, "{\"routes\":[4,{\"a\":1.5}]}");
	free(text);
	dl_conf_sections_free(s);
}
END_TEST

/* The digest of a version is part of the protocol between VMs. */
START_TEST(digest_is_the_documented_one)
{
	struct dl_conf_sections *s;
	uint64_t digests[3] = {
		GUINT64_TO_LE(dl_hash(DL_STR("{\"b\":2,\"a\":1}"), 0)),
		GUINT64_TO_LE(dl_hash(DL_STR("{\"c\":[]}"), 0)),
		GUINT64_TO_LE(dl_hash(DL_STR("{}"), 0)),
	};

	ck_assert_int_eq(
		dl_conf_sections_split(DL_STR("{\"b\": 2, \"routes\": "
					      "[{\"c\": []}, {}], \"a\": 1}"),
				       &s),
		0);
	ck_assert_uint_eq(dl_conf_sections_digest(s),
			  dl_hash((struct dl_str){ (const char *)digests,
						   sizeof(digests) },
				  0));
	dl_conf_sections_free(s);
}
END_TEST

/* Edits a model at random; one edit in eight makes it faulty. */
static void edit_at_random(GRand *rand, struct model *m, uint32_t *next_id)
{
	uint32_t n = m->routes->len;
	uint32_t at = n ? (uint32_t)g_rand_int_range(rand, 0, (gint32)n) : 0;

	switch (n ? g_rand_int_range(rand, 0, 16) : 0) {
	case 0:
	case 1:
	case 2:
		add_route(m, at, (*next_id)++);
		break;
	case 3:
	case 4:
	case 5:
		route_at(m, at)->timeout_ms++;
		break;
	case 6:
	case 7:
		g_array_remove_index(m->routes, at);
		break;
	case 8:
	case 9: {
		struct route_model route = *route_at(m, at);

		g_array_remove_index(m->routes, at);
		g_array_insert_val(m->routes, n / 2, route);
		break;
	}
	case 10:
		m->number++;
		break;
	case 11:
		m->workspaces = (uint32_t)g_rand_int_range(rand, 0, 5);
		m->no_workspaces = g_rand_int_range(rand, 0, 4) == 0;
		break;
	case 12:
		rename_service(m);
		break;
	case 13:
		*service_at(m, 0) = *service_at(m, 2);
		*service_at(m, 2) = route_at(m, at)->service;
		break;
	case 14:
		route_at(m, at)->flaw =
			(enum flaw)g_rand_int_range(rand, 0, FLAW_COUNT);
		break;
	default:
		route_at(m, at)->id = route_at(m, n / 2)->id;
	}
}

/*
 * One delta from the version in force, or from the one before it: it has the
 * outcome of a parse of the whole text. Returns whether the change was valid.
 */
static bool step_at_random(GRand *rand, struct version *held,
			   struct version *previous, const struct model *m)
{
	bool from_previous = previous->sections && g_rand_boolean(rand);
	struct version *base = from_previous ? previous : held;
	struct dl_conf_sections *sections = split(m);
	struct dl_conf *conf = NULL;
	struct version next;
	struct dl_str delta;
	int rc = parse_whole(sections, &conf);

	delta = make_delta(base, held->version + 1, sections);
	ck_assert_int_eq(apply(delta, base, &next), rc);
	if (base == previous) {
		struct version none;

		ck_assert_int_eq(apply(delta, held, &none), -ESTALE);
	}
	free((char *)delta.s);
	dl_conf_sections_free(sections);
	if (rc) {
		ck_assert_int_eq(apply((struct dl_str){ "", 0 }, base, &next),
				 -EBADMSG);
		return false;
	}
	check_equal(next.conf, conf);
	dl_conf_free(conf);
	version_clear(previous);
	*previous = *held;
	*held = next;
	check_version(held, m);
	return true;
}

START_TEST(random_changes_equal_parses_of_whole_texts)
{
	const char *seeds = g_getenv("DL_SEEDS");
	uint32_t n = seeds ? (uint32_t)strtoul(seeds, NULL, 10) : SEEDS;
	uint32_t valid = 0, faulty = 0;

	for (uint32_t seed = 0; seed < n; seed++) {
		GRand *rand = g_rand_new_with_seed(SEED_BASE + seed);
		struct version held, previous = { .version = 0 };
		uint32_t next_id = 30;
		struct model m;

		model_init(&m, (uint32_t)g_rand_int_range(rand, 0, 30));
		version_read(&held, 1, &m);
		for (int i = 0; i < STEPS; i++) {
			struct model edited;

			model_copy(&edited, &m);
			for (int k = g_rand_int_range(rand, 1, 4); k > 0; k--)
				edit_at_random(rand, &edited, &next_id);
			if (step_at_random(rand, &held, &previous, &edited)) {
				model_clear(&m);
				m = edited;
				valid++;
			} else {
				model_clear(&edited);
				faulty++;
			}
		}
		version_clear(&held);
		version_clear(&previous);
		model_clear(&m);
		g_rand_free(rand);
	}
	ck_assert_uint_gt(valid, n * STEPS / 4);
	ck_assert_uint_gt(faulty, n * STEPS / 16);
}
END_TEST

/* The heap must not grow with the number of deltas since the whole text. */
START_TEST(thousand_deltas_keep_no_old_version)
{
	struct version held, next;
	struct model m;
	size_t before = 0;

	model_init(&m, ROUTES);
	version_read(&held, 1, &m);
	for (uint32_t i = 0; i < CHAIN; i++) {
		struct dl_conf_sections *sections;
		struct dl_str delta;

		if (i == CHAIN / 10)
			before = mallinfo2().uordblks;
		route_at(&m, i % (ROUTES - 1))->timeout_ms += ROUTES;
		m.number++;
		sections = split(&m);
		delta = make_delta(&held, held.version + 1, sections);
		ck_assert_int_eq(apply(delta, &held, &next), 0);
		free((char *)delta.s);
		dl_conf_sections_free(sections);
		version_clear(&held);
		held = next;
	}
	ck_assert_uint_lt(mallinfo2().uordblks, before + CHAIN_GROWTH);
	check_version(&held, &m);
	ck_assert_int_eq(held.sections->references, 1);
	ck_assert_int_eq(held.sections->head->references, 1);
	for (uint32_t i = 0; i < ROUTES; i++) {
		ck_assert_int_eq(held.sections->routes[i]->references, 1);
		ck_assert_int_eq(held.conf->routes[i]->references, 1);
	}
	version_clear(&held);
	model_clear(&m);
}
END_TEST

/* What the threads of a test share. */
struct shared {
	struct version base;
	struct dl_str delta;
};

static gpointer apply_in_thread(gpointer arg)
{
	struct shared *s = arg;
	static __thread struct dl_faults own_faults;

	for (int i = 0; i < THREAD_APPLIES; i++) {
		struct dl_conf_sections *held, *sections;
		struct dl_conf *conf;

		held = dl_conf_sections_ref(s->base.sections);
		if (dl_conf_delta_apply(s->delta, s->base.version, held,
					s->base.conf, &sections, &conf,
					&own_faults))
			return GINT_TO_POINTER(1);
		dl_conf_sections_free(held);
		dl_conf_free(conf);
		dl_conf_sections_free(sections);
	}
	return NULL;
}

/* Lost updates of reference counts would free what others still use. */
START_TEST(threads_share_sections_and_routes)
{
	GThread *threads[THREADS];
	struct shared s;
	struct model after;

	s.delta = make_example(&s.base, &after);
	for (int i = 0; i < THREADS; i++)
		threads[i] = g_thread_new("apply", apply_in_thread, &s);
	for (int i = 0; i < THREADS; i++)
		ck_assert_ptr_null(g_thread_join(threads[i]));
	ck_assert_int_eq(s.base.sections->references, 1);
	for (uint32_t i = 0; i < ROUTES; i++) {
		ck_assert_int_eq(s.base.sections->routes[i]->references, 1);
		ck_assert_int_eq(s.base.conf->routes[i]->references, 1);
	}
	free((char *)s.delta.s);
	version_clear(&s.base);
	model_clear(&after);
}
END_TEST

/*
 * Guards against a step that grows with the number of routes: so many new
 * routes take at least as many steps as the limits per step require.
 */
START_TEST(many_routes_take_many_steps)
{
	struct version base, next, whole;
	struct model before, after;
	struct dl_str delta;
	uint32_t steps;
	int rc;

	model_init(&before, ROUTES);
	model_init(&after, MANY_ROUTES);
	for (uint32_t i = 0; i < MANY_ROUTES; i++)
		route_at(&after, i)->timeout_ms = 77;
	version_read(&base, 1, &before);
	version_read(&whole, 2, &after);
	delta = make_delta(&base, 2, whole.sections);
	steps = apply_in_steps(delta, &base, 7, &next, &rc);
	ck_assert_int_eq(rc, 0);
	check_version(&next, &after);
	ck_assert_uint_gt(steps, MANY_ROUTES / 7);
	version_clear(&next);
	free((char *)delta.s);
	/* Routes that are shared are not parsed, but take steps as well. */
	model_clear(&before);
	model_copy(&before, &after);
	edit_route(&after);
	version_clear(&base);
	base = whole;
	version_read(&whole, 3, &after);
	delta = make_delta(&base, 3, whole.sections);
	steps = apply_in_steps(delta, &base, MANY_ROUTES, &next, &rc);
	ck_assert_int_eq(rc, 0);
	check_version(&next, &after);
	ck_assert_uint_gt(steps, 3 * MANY_ROUTES / SHARED_ROUTES);
	version_clear(&next);
	free((char *)delta.s);
	version_clear(&base);
	version_clear(&whole);
	model_clear(&before);
	model_clear(&after);
}
END_TEST

/*
 * A VM that stops while a delta is applied: nothing is leaked (run with a
 * sanitizer) and no reference to the base remains.
 */
START_TEST(work_is_dropped_after_any_step)
{
	struct version base, next = { 0 };
	struct model after;
	struct dl_str delta = make_example(&base, &after);
	bool done = false;

	for (uint32_t steps = 0; !done; steps++) {
		struct dl_conf_delta_work *work;
		int rc = -EAGAIN;

		ck_assert_int_eq(dl_conf_delta_begin(delta, base.version,
						     base.sections, base.conf,
						     &faults, &work),
				 0);
		for (uint32_t i = 0; i < steps && rc == -EAGAIN; i++)
			rc = dl_conf_delta_step(work, 1);
		done = rc == 0;
		ck_assert_int_eq(dl_conf_delta_end(work, &next.sections,
						   &next.conf),
				 done ? 0 : -ECANCELED);
		if (done)
			version_clear(&next);
		for (uint32_t i = 0; i < ROUTES; i++) {
			ck_assert_int_eq(base.sections->routes[i]->references,
					 1);
			ck_assert_int_eq(base.conf->routes[i]->references, 1);
		}
	}
	free((char *)delta.s);
	version_clear(&base);
	model_clear(&after);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("conf_delta");
	TCase *t = tcase_create("conf_delta");

	suite_add_tcase(s, t);
	tcase_set_timeout(t, 0);
	tcase_add_loop_test(t, change_equals_parse_of_whole_text, 0,
			    CHANGE_CASES);
	tcase_add_loop_test(t, delta_applies_to_its_base_only, 0, ORDER_CASES);
	tcase_add_test(t, delta_to_a_lower_version_is_not_made);
	tcase_add_test(t, damaged_delta_is_rejected);
	tcase_add_test(t, result_with_other_digest_is_rejected);
	tcase_add_test(t, faulty_whole_text_is_not_split);
	tcase_add_loop_test(t, fault_names_the_route, 0, FAULT_CASES);
	tcase_add_test(t, fault_between_new_and_old_parts);
	tcase_add_loop_test(t, literal_section_is_checked_like_a_whole_text, 0,
			    LITERAL_CASES);
	tcase_add_test(t, routes_are_limited);
	tcase_add_test(t, text_that_cannot_be_split);
	tcase_add_test(t, digest_is_the_documented_one);
	tcase_add_test(t, random_changes_equal_parses_of_whole_texts);
	tcase_add_test(t, thousand_deltas_keep_no_old_version);
	tcase_add_test(t, threads_share_sections_and_routes);
	tcase_add_test(t, many_routes_take_many_steps);
	tcase_add_test(t, work_is_dropped_after_any_step);
	return suite_run(s);
}
