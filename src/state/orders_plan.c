/* Assignment of models, versions and roles to endpoints. */
#include <string.h>

#include "state/orders_int.h"

/* How well an endpoint already fits a goal; lower is better. */
enum fit {
	FIT_DONE,  /* it complies with the goal */
	FIT_MODEL, /* it has the model, but another version or role */
	FIT_OTHER,
	FIT_COUNT,
};

static bool takes_orders(const struct target *t, const struct dl_name *service);
static enum fit fit_of(const struct dl_orders *orders, const struct target *t,
		       const struct dl_order_conf *goal);
static void assign(struct dl_orders *orders, uint32_t goal, enum fit fit,
		   uint32_t *missing);
static void count_services(struct dl_orders *orders);

/* A hash of a goal, to compare it with what was accepted. */
uint64_t orders_goal_hash(const struct dl_order_conf *goal)
{
	uint64_t h = dl_hash(dl_name_str(&goal->model), 1);

	h = dl_hash(dl_name_str(&goal->version), h);
	h = dl_hash(dl_name_str(&goal->role), h);
	return h ? h : 1;
}

/* The configured service of a name, or NULL. */
struct order_service *orders_service(const struct dl_orders *orders,
				     const struct dl_name *name)
{
	for (uint32_t i = 0; i < orders->services_count; i++) {
		if (dl_name_eq(&orders->services[i].name, dl_name_str(name)))
			return &orders->services[i];
	}
	return NULL;
}

/* Whether an endpoint announces the model of a goal. */
bool orders_has_model(const struct target *t, const struct dl_order_conf *goal)
{
	for (uint32_t i = 0; i < t->announced.models_count; i++) {
		if (dl_name_eq(&t->announced.models[i],
			       dl_name_str(&goal->model)))
			return true;
	}
	return false;
}

/*
 * How well an endpoint fits a goal.  An endpoint that reports no version or
 * role complies if it announces the model and accepted this very order in its
 * current incarnation.
 */
static enum fit fit_of(const struct dl_orders *orders, const struct target *t,
		       const struct dl_order_conf *goal)
{
	bool accepted = t->accepted_hash == orders_goal_hash(goal);
	bool version, role;

	if (!orders_has_model(t, goal))
		return FIT_OTHER;
	version = t->announced.version.n ?
			  dl_name_eq(&t->announced.version,
				     dl_name_str(&goal->version)) :
			  accepted;
	role = t->announced.role.n ? dl_name_eq(&t->announced.role,
						dl_name_str(&goal->role)) :
				     accepted;
	return version && role ? FIT_DONE : FIT_MODEL;
}

/* Whether an endpoint has no goal or complies with it. */
bool orders_is_done(const struct dl_orders *orders, const struct target *t)
{
	return t->goal == GOAL_NONE ||
	       fit_of(orders, t, &orders->goals[t->goal]) == FIT_DONE;
}

/* Whether an endpoint accepts orders: not if it is leaving, drained or gone. */
static bool takes_orders(const struct target *t, const struct dl_name *service)
{
	return !t->announced.leaving && !t->drained && !t->gone &&
	       dl_name_eq(&t->announced.service, dl_name_str(service));
}

/* Assigns a goal to endpoints of this fit, until none is missing. */
static void assign(struct dl_orders *orders, uint32_t goal, enum fit fit,
		   uint32_t *missing)
{
	const struct dl_order_conf *w = &orders->goals[goal];

	for (guint i = 0; i < orders->targets->len && *missing; i++) {
		struct target *t = g_ptr_array_index(orders->targets, i);

		if (t->goal != GOAL_NONE || !takes_orders(t, &w->service) ||
		    fit_of(orders, t, w) != fit)
			continue;
		t->goal = goal;
		(*missing)--;
	}
}

/* Counts the endpoints of each service that accept orders. */
static void count_services(struct dl_orders *orders)
{
	for (uint32_t i = 0; i < orders->services_count; i++) {
		struct order_service *s = &orders->services[i];

		s->endpoints = 0;
		for (guint j = 0; j < orders->targets->len; j++)
			s->endpoints += takes_orders(
				g_ptr_array_index(orders->targets, j),
				&s->name);
	}
}

/*
 * Assigns at most one goal to each endpoint.  While endpoints come and go
 * during a rollout, needless loads of many gigabytes must be avoided: endpoints
 * that comply keep their goal first, then those with the model are assigned,
 * and then the others, in the order in which they appeared.
 */
void orders_plan(struct dl_orders *orders)
{
	uint32_t missing[CONF_ORDERS_MAX];

	for (guint i = 0; i < orders->targets->len; i++) {
		struct target *t = g_ptr_array_index(orders->targets, i);

		t->goal = GOAL_NONE;
		t->drained = g_hash_table_contains(orders->drained,
						   t->announced.id.s);
	}
	for (uint32_t i = 0; i < orders->goals_count; i++)
		missing[i] = orders->goals[i].endpoints ?
				     orders->goals[i].endpoints :
				     UINT32_MAX;
	for (int fit = FIT_DONE; fit < FIT_COUNT; fit++) {
		for (uint32_t i = 0; i < orders->goals_count; i++)
			assign(orders, i, (enum fit)fit, &missing[i]);
	}
	count_services(orders);
	orders->replan = false;
}
