/* Which endpoint is to have which model, version and role. */
#include <string.h>

#include "state/orders_int.h"

/* How well an endpoint fits a wish already; lower is better. */
enum fit {
	FIT_DONE,  /* it is as wished */
	FIT_MODEL, /* it has the model, with another version or role */
	FIT_OTHER,
	FIT_COUNT,
};

static bool takes_orders(const struct target *t, const struct dl_name *service);
static enum fit fit_of(const struct dl_orders *orders, const struct target *t,
		       const struct dl_order_conf *goal);
static void assign(struct dl_orders *orders, uint32_t goal, enum fit fit,
		   uint32_t *missing);
static void count_services(struct dl_orders *orders);

/* A wished end in one number, to compare it with what was accepted. */
uint64_t orders_goal_hash(const struct dl_order_conf *goal)
{
	uint64_t h = dl_hash(dl_name_str(&goal->model), 1);

	h = dl_hash(dl_name_str(&goal->version), h);
	h = dl_hash(dl_name_str(&goal->role), h);
	return h ? h : 1;
}

/* The service of a name among those with orders, or NULL. */
struct order_service *orders_service(const struct dl_orders *orders,
				     const struct dl_name *name)
{
	for (uint32_t i = 0; i < orders->services_count; i++) {
		if (dl_name_eq(&orders->services[i].name, dl_name_str(name)))
			return &orders->services[i];
	}
	return NULL;
}

/* Whether an endpoint announces the model of a wish. */
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
 * How an endpoint stands to a wish.  One that tells no version or role is as
 * wished where it announces the model and has accepted just this order in its
 * present incarnation.
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

/* Whether an endpoint announces the end that is wished of it. */
bool orders_is_done(const struct dl_orders *orders, const struct target *t)
{
	return t->goal == GOAL_NONE ||
	       fit_of(orders, t, &orders->goals[t->goal]) == FIT_DONE;
}

/* Those that leave or are drained are not counted on for any order. */
static bool takes_orders(const struct target *t, const struct dl_name *service)
{
	return !t->announced.leaving && !t->drained && !t->gone &&
	       dl_name_eq(&t->announced.service, dl_name_str(service));
}

/* Give a wish to the endpoints that fit it so well, until none is missing. */
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

/* How many endpoints of each service take orders. */
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
 * Give each endpoint one wish at most.  Load: a fleet where endpoints come and
 * go while orders are carried out.  Harm prevented: a load of many gigabytes
 * that would have been needless, so those as wished keep their wish first,
 * then those with the model, and only then any other, in the order in which
 * they came.
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
