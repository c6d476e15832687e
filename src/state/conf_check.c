/*
 * Checks that span several parts of a text: references, cycles, duplicates and
 * replicas.
 */
#include <glib.h>
#include <string.h>

#include "state/conf_int.h"

#define REPLICAS_MIN 3

/* State of a service in the depth-first search for cycles. */
enum visit {
	VISIT_NEW,
	VISIT_ACTIVE, /* on the current path */
	VISIT_DONE,
};

struct cycle_search {
	struct conf_reader *r;
	const struct dl_conf *conf;
	enum visit visit[CONF_SERVICES_MAX];
};

static struct conf_path service_path(const struct dl_service_conf *s);
static struct conf_path member_path(struct conf_path parent, const char *key);
static struct conf_path element_path(const char *key, uint32_t index);
static void fault_unknown_service(struct conf_reader *r,
				  const struct dl_conf *conf,
				  const struct conf_path *path,
				  struct dl_str name);
static void check_dependencies(struct conf_reader *r,
			       const struct dl_conf *conf,
			       const struct dl_service_conf *s);
static void check_kind(struct conf_reader *r, const struct dl_service_conf *s);
static void check_cycles(struct conf_reader *r, const struct dl_conf *conf);
static void visit_dependencies(struct cycle_search *c, uint32_t index);
static void check_models(struct conf_reader *r, const struct dl_conf *conf);
static void check_replicas(struct conf_reader *r, const struct dl_conf *conf);
static void check_orders(struct conf_reader *r, const struct dl_conf *conf);
static void check_order(struct conf_reader *r, const struct dl_conf *conf,
			uint32_t index);
static void check_duplicate_order(struct conf_reader *r,
				  const struct dl_conf *conf, uint32_t index);

/* Return the path of a service in the text. */
static struct conf_path service_path(const struct dl_service_conf *s)
{
	struct conf_path root = conf_path_root();
	struct conf_path services = conf_path_key(&root, DL_STR("services"));

	return conf_path_key(&services, dl_name_str(&s->name));
}

/*
 * Return the path of a member. The parent is passed by value, so that calls can
 * be nested.
 */
static struct conf_path member_path(struct conf_path parent, const char *key)
{
	return conf_path_key(&parent, dl_str_of(key));
}

/* Return the path of an element of a top-level list. */
static struct conf_path element_path(const char *key, uint32_t index)
{
	struct conf_path list = member_path(conf_path_root(), key);

	return conf_path_index(&list, index);
}

/* Report a reference to an unknown service, and suggest the nearest name. */
static void fault_unknown_service(struct conf_reader *r,
				  const struct dl_conf *conf,
				  const struct conf_path *path,
				  struct dl_str name)
{
	struct conf_nearest near = { .wanted = name };
	char hint[96];

	for (uint32_t i = 0; i < conf->services_count; i++)
		conf_nearest_try(&near, dl_name_str(&conf->services[i].name));
	conf_fault(r, path, "no service \"%.*s\"%s", (int)name.n, name.s,
		   conf_nearest_hint(&near, hint));
}

/*
 * Check that each service that one depends on exists; check_cycles() finds
 * dependencies on itself.
 */
static void check_dependencies(struct conf_reader *r,
			       const struct dl_conf *conf,
			       const struct dl_service_conf *s)
{
	struct conf_path list = member_path(service_path(s), "depends_on");

	for (uint32_t i = 0; i < s->depends_on_count; i++) {
		struct dl_str name = dl_name_str(&s->depends_on[i]);

		if (!dl_conf_service(conf, name))
			fault_unknown_service(r, conf, &list, name);
	}
}

/* Report keys that do not apply to the kind of service. */
static void check_kind(struct conf_reader *r, const struct dl_service_conf *s)
{
	struct conf_path models = member_path(service_path(s), "models");
	struct conf_path paths =
		member_path(service_path(s), "idempotent_paths");

	if (s->kind == DL_POOL_PLAIN && s->models_count)
		conf_fault(r, &models, "a plain service has no models");
	if (s->kind == DL_POOL_MODEL && s->idempotent_paths_count)
		conf_fault(r, &paths, "only a plain service has paths");
}

/*
 * Visit the dependencies of a service; reaching one on the current path closes
 * a cycle.
 */
static void visit_dependencies(struct cycle_search *c, uint32_t index)
{
	const struct dl_service_conf *s = &c->conf->services[index];

	c->visit[index] = VISIT_ACTIVE;
	for (uint32_t i = 0; i < s->depends_on_count; i++) {
		struct conf_path path =
			member_path(service_path(s), "depends_on");
		const struct dl_service_conf *next;
		uint32_t n;

		next = dl_conf_service(c->conf, dl_name_str(&s->depends_on[i]));
		if (!next)
			continue;
		n = (uint32_t)(next - c->conf->services);
		if (c->visit[n] == VISIT_ACTIVE)
			conf_fault(c->r, &path,
				   "\"%s\" depends on \"%s\" in a cycle",
				   s->name.s, next->name.s);
		else if (c->visit[n] == VISIT_NEW)
			visit_dependencies(c, n);
	}
	c->visit[index] = VISIT_DONE;
}

/* Check that no service depends on itself, directly or through others. */
static void check_cycles(struct conf_reader *r, const struct dl_conf *conf)
{
	struct cycle_search c = { .r = r, .conf = conf };

	for (uint32_t i = 0; i < conf->services_count; i++) {
		if (c.visit[i] == VISIT_NEW)
			visit_dependencies(&c, i);
	}
}

/*
 * Check that each model belongs to one service, as callers name only the model.
 */
static void check_models(struct conf_reader *r, const struct dl_conf *conf)
{
	GHashTable *seen = g_hash_table_new(g_str_hash, g_str_equal);

	for (uint32_t i = 0; i < conf->services_count; i++) {
		const struct dl_service_conf *s = &conf->services[i];

		for (uint32_t j = 0; j < s->models_count; j++) {
			const struct dl_service_conf *other;
			struct conf_path path = service_path(s);

			other = g_hash_table_lookup(seen, s->models[j].s);
			if (other && other != s)
				conf_fault(r, &path,
					   "model \"%s\" is also one of \"%s\"",
					   s->models[j].s, other->name.s);
			g_hash_table_insert(seen, s->models[j].s, (gpointer)s);
		}
	}
	g_hash_table_destroy(seen);
}

/*
 * Check the number of replicas and that their names and addresses are unique.
 * Decisions need a majority: an even number tolerates no more failures than one
 * replica fewer and only adds a disk that can fail, and fewer than three
 * tolerate none.
 */
static void check_replicas(struct conf_reader *r, const struct dl_conf *conf)
{
	struct conf_path list = member_path(conf_path_root(), "replicas");
	uint32_t n = conf->replicas_count;

	if (conf_lines_find(&r->lines, list.hash) && n < REPLICAS_MIN)
		conf_fault(r, &list, "must have at least %d replicas, not %u",
			   REPLICAS_MIN, n);
	else if (n % 2 == 0 && n)
		conf_fault(r, &list,
			   "must be an odd number of replicas, not "
			   "%u",
			   n);
	for (uint32_t i = 1; i < n; i++) {
		const struct dl_replica_conf *a = &conf->replicas[i];
		struct conf_path path = element_path("replicas", i);

		for (uint32_t j = 0; j < i; j++) {
			const struct dl_replica_conf *b = &conf->replicas[j];

			if (a->name.n &&
			    dl_name_eq(&a->name, dl_name_str(&b->name)))
				conf_fault(r, &path,
					   "the name \"%s\" is taken by "
					   "another replica",
					   a->name.s);
			if (a->vm != DL_VM_NONE && a->vm == b->vm)
				conf_fault(r, &path,
					   "replica \"%s\" has the same "
					   "address",
					   b->name.s);
		}
	}
}

/*
 * Check that an order names a model service, one of its models and a known
 * role.
 */
static void check_order(struct conf_reader *r, const struct dl_conf *conf,
			uint32_t index)
{
	static const char *const roles[] = { "prefill", "decode", "both" };
	const struct dl_order_conf *o = &conf->orders[index];
	struct conf_path path = element_path("orders", index);
	struct conf_path service = member_path(path, "service");
	struct conf_path model = member_path(path, "model");
	struct conf_path role = member_path(path, "role");
	const struct dl_service_conf *s;
	size_t i = 0;

	while (i < 3 && strcmp(roles[i], o->role.s) != 0)
		i++;
	if (i == 3)
		conf_fault(r, &role,
			   "must be one of \"prefill\", \"decode\", \"both\"");
	if (!o->service.n)
		return;
	s = dl_conf_service(conf, dl_name_str(&o->service));
	if (!s)
		fault_unknown_service(r, conf, &service,
				      dl_name_str(&o->service));
	else if (s->kind != DL_POOL_MODEL)
		conf_fault(r, &service, "\"%s\" is not a model service",
			   s->name.s);
	else if (o->model.n &&
		 dl_conf_service_of_model(conf, dl_name_str(&o->model)) != s)
		conf_fault(r, &model, "\"%s\" is not a model of \"%s\"",
			   o->model.s, s->name.s);
}

/*
 * Report an order that repeats another, or conflicts with one for all endpoints
 * of the service.
 */
static void check_duplicate_order(struct conf_reader *r,
				  const struct dl_conf *conf, uint32_t index)
{
	const struct dl_order_conf *a = &conf->orders[index];
	struct conf_path path = element_path("orders", index);

	for (uint32_t i = 0; i < index; i++) {
		const struct dl_order_conf *b = &conf->orders[i];

		if (strcmp(a->service.s, b->service.s) != 0)
			continue;
		if (strcmp(a->model.s, b->model.s) == 0 &&
		    strcmp(a->version.s, b->version.s) == 0 &&
		    strcmp(a->role.s, b->role.s) == 0)
			conf_fault(r, &path, "is the same order as orders[%u]",
				   i);
		else if (a->endpoints == 0 || b->endpoints == 0)
			conf_fault(r, &path,
				   "orders[%u] is for the same service, so "
				   "both need a number of endpoints",
				   i);
		else
			continue;
		return;
	}
}

static void check_orders(struct conf_reader *r, const struct dl_conf *conf)
{
	for (uint32_t i = 0; i < conf->orders_count; i++) {
		check_order(r, conf, i);
		check_duplicate_order(r, conf, i);
	}
}

/* Run the checks that need the whole text. */
void conf_check(struct conf_reader *r, const struct dl_conf *conf)
{
	for (uint32_t i = 0; i < conf->services_count; i++) {
		check_dependencies(r, conf, &conf->services[i]);
		check_kind(r, &conf->services[i]);
	}
	check_cycles(r, conf);
	check_models(r, conf);
	check_replicas(r, conf);
	check_orders(r, conf);
}
