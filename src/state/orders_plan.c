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
		       const struct dl_order_conf *wish);
static void assign(struct dl_orders *orders, uint32_t wish, enum fit fit,
		   uint32_t *missing);
static void count_services(struct dl_orders *orders);

/* A wished end in one number, to compare it with what was accepted. */
uint64_t orders_wish_hash(const struct dl_order_conf *wish)
{
	uint64_t h = dl_hash(dl_name_str(&wish->model), 1);

	h = dl_hash(dl_name_str(&wish->version), h);
	h = dl_hash(dl_name_str(&wish->role), h);
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
bool orders_has_model(const struct target *t, const struct dl_order_conf *wish)
{
	for (uint32_t i = 0; i < t->says.models_count; i++) {
		if (dl_name_eq(&t->says.models[i], dl_name_str(&wish->model)))
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
		       const struct dl_order_conf *wish)
{
	bool accepted = t->had == orders_wish_hash(wish);
	bool version, role;

	if (!orders_has_model(t, wish))
		return FIT_OTHER;
	version = t->says.version.n ? dl_name_eq(&t->says.version,
						 dl_name_str(&wish->version)) :
				      accepted;
	role = t->says.role.n ?
		       dl_name_eq(&t->says.role, dl_name_str(&wish->role)) :
		       accepted;
	return version && role ? FIT_DONE : FIT_MODEL;
}

/* Whether an endpoint announces the end that is wished of it. */
bool orders_is_done(const struct dl_orders *orders, const struct target *t)
{
	return t->wish == WISH_NONE ||
	       fit_of(orders, t, &orders->wishes[t->wish]) == FIT_DONE;
}

/* Those that leave or are drained are not counted on for any order. */
static bool takes_orders(const struct target *t, const struct dl_name *service)
{
	return !t->says.leaving && !t->drained && !t->gone &&
	       dl_name_eq(&t->says.service, dl_name_str(service));
}

/* Give a wish to the endpoints that fit it so well, until none is missing. */
static void assign(struct dl_orders *orders, uint32_t wish, enum fit fit,
		   uint32_t *missing)
{
	const struct dl_order_conf *w = &orders->wishes[wish];

	for (guint i = 0; i < orders->targets->len && *missing; i++) {
		struct target *t = g_ptr_array_index(orders->targets, i);

		if (t->wish != WISH_NONE || !takes_orders(t, &w->service) ||
		    fit_of(orders, t, w) != fit)
			continue;
		t->wish = wish;
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

		t->wish = WISH_NONE;
		t->drained =
			g_hash_table_contains(orders->drained, t->says.id.s);
	}
	for (uint32_t i = 0; i < orders->wishes_count; i++)
		missing[i] = orders->wishes[i].endpoints ?
				     orders->wishes[i].endpoints :
				     UINT32_MAX;
	for (int fit = FIT_DONE; fit < FIT_COUNT; fit++) {
		for (uint32_t i = 0; i < orders->wishes_count; i++)
			assign(orders, i, (enum fit)fit, &missing[i]);
	}
	count_services(orders);
	orders->replan = false;
}
