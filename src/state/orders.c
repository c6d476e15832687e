/* Scheduling of orders and handling of their results. */
#include "daisyledge/orders.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "state/orders_int.h"

#define PERMILLE  1000
#define MS_PER_S  1000
#define STORE_MIN 1

static void target_free(gpointer target);
static void refill(struct dl_orders *orders, int64_t now);
static int64_t load_cost(const struct dl_orders *orders);
static bool is_load(const struct dl_orders *orders, const struct target *t);
static bool has_lease(const struct dl_orders *orders, int64_t now);
static int64_t ready_at(const struct dl_orders *orders, const struct target *t);
static bool has_room(const struct dl_orders *orders, const struct target *t);
static bool can_order(const struct dl_orders *orders, const struct target *t,
		      int64_t now);
static void release_if_done(struct dl_orders *orders, struct target *t);
static void remove_target(struct dl_orders *orders, struct target *t);
static void release(struct dl_orders *orders, struct target *t, int64_t until);
static void expire(struct dl_orders *orders, struct target *t, int64_t now);
static void issue_order(struct dl_orders *orders, struct target *t, int64_t now,
			struct dl_order *out);
static struct target *find_order(const struct dl_orders *orders, uint64_t id);
static bool is_in_progress(const struct target *t);
static bool same_announcement(const struct dl_order_endpoint *a,
			      const struct dl_order_endpoint *b);

/*
 * Defaults: leases of the replicated log below two seconds, orders answered or
 * timed out within five seconds, a model loaded within ten minutes, a 16-bit
 * model of seven billion parameters.
 */
void dl_orders_defaults(struct dl_orders_conf *conf)
{
	*conf = (struct dl_orders_conf){
		.lease_ms = 2000,
		.send_timeout_ms = 5000,
		.network_delay_ms = 2000,
		.drift_permille = 10,
		.announce_timeout_ms = 600000,
		.retry_ms = 2000,
		.load_mb = 16000,
	};
}

static void target_free(gpointer target)
{
	g_free(target);
}

/* Creates a planner without endpoints, configuration or leadership. */
struct dl_orders *dl_orders_new(const struct dl_orders_conf *conf)
{
	struct dl_orders *orders = calloc(1, sizeof(*orders));

	if (!orders)
		return NULL;
	orders->conf = *conf;
	orders->by_id = g_hash_table_new(g_str_hash, g_str_equal);
	orders->targets = g_ptr_array_new_with_free_func(target_free);
	orders->drained =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	orders->store_mb_per_s = STORE_MIN;
	return orders;
}

/* Frees a planner; NULL is allowed. */
void dl_orders_free(struct dl_orders *orders)
{
	if (!orders)
		return;
	g_hash_table_destroy(orders->by_id);
	g_hash_table_destroy(orders->drained);
	g_ptr_array_free(orders->targets, TRUE);
	g_free(orders->goals);
	g_free(orders->services);
	free(orders);
}

/* The cost of one load, in thousandths of a MB. */
static int64_t load_cost(const struct dl_orders *orders)
{
	return (int64_t)orders->conf.load_mb * MS_PER_S;
}

/*
 * Refills the token bucket of the weight store.  It holds one load at most, so
 * that loads are spread over time and never start together after a pause.
 */
static void refill(struct dl_orders *orders, int64_t now)
{
	int64_t passed = now - orders->store_at;

	if (passed <= 0)
		return;
	orders->store_mb_ms += passed * orders->store_mb_per_s;
	orders->store_mb_ms = MIN(orders->store_mb_ms, load_cost(orders));
	orders->store_at = now;
}

/*
 * Starts or renews leadership.  A new term starts with an empty bucket, as the
 * earlier leader may have emptied it, and without knowledge of earlier orders
 * in progress.  Orders to endpoints that ignore fencing are held back: an
 * earlier leader's lease ends at most lease_ms from now, its sender gives the
 * last order up send_timeout_ms later, and a sent order arrives within
 * network_delay_ms. The sum is increased by the clock drift, since the earlier
 * leader's clock may run slower than ours.
 */
int dl_orders_set_leader(struct dl_orders *orders, uint64_t term,
			 int64_t lease_until, int64_t now)
{
	const struct dl_orders_conf *c = &orders->conf;
	int64_t wait =
		(int64_t)c->lease_ms + c->send_timeout_ms + c->network_delay_ms;

	if (term < orders->term_seen || term == 0)
		return -ESTALE;
	if (term == orders->term) {
		orders->lease_until = MAX(orders->lease_until, lease_until);
		return 0;
	}
	orders->term = term;
	orders->term_seen = term;
	orders->fenced = false;
	orders->lease_until = lease_until;
	orders->hold_until = now + wait + wait * c->drift_permille / PERMILLE;
	orders->store_mb_ms = 0;
	orders->store_at = now;
	orders->replan = true;
	return 0;
}

/* Stops sending orders; the next leader waits for those in progress. */
void dl_orders_clear_leader(struct dl_orders *orders)
{
	orders->term = 0;
}

/* Applies the orders, drains and limits of a configuration. */
void dl_orders_configure(struct dl_orders *orders, const struct dl_conf *conf,
			 int64_t now)
{
	uint32_t goals = MIN(conf->orders_count, CONF_ORDERS_MAX);

	refill(orders, now);
	orders->store_mb_per_s = MAX(conf->weight_store_mb_per_s, STORE_MIN);
	g_free(orders->goals);
	orders->goals = g_memdup2(conf->orders, goals * sizeof(*orders->goals));
	orders->goals_count = goals;
	g_free(orders->services);
	orders->services = g_new0(struct order_service, conf->services_count);
	orders->services_count = conf->services_count;
	for (uint32_t i = 0; i < conf->services_count; i++) {
		const struct dl_service_conf *s = &conf->services[i];

		orders->services[i].name = s->name;
		orders->services[i].ignores_fencing = s->ignores_fencing;
		orders->services[i].out_share_permille =
			s->pool.out_share_permille;
	}
	g_hash_table_remove_all(orders->drained);
	for (uint32_t i = 0; i < conf->drain_endpoints_count; i++)
		g_hash_table_add(orders->drained,
				 g_strdup(conf->drain_endpoints[i].s));
	for (guint i = 0; i < orders->targets->len; i++) {
		struct target *t = g_ptr_array_index(orders->targets, i);
		struct order_service *s =
			orders_service(orders, &t->announced.service);

		if (s)
			s->in_progress += is_in_progress(t);
	}
	orders_plan(orders);
}

/* Whether an endpoint uses one of the slots of its service. */
static bool is_in_progress(const struct target *t)
{
	return t->state != TARGET_IDLE;
}

/* Ends an order and frees its slot in the service. */
static void release(struct dl_orders *orders, struct target *t, int64_t until)
{
	struct order_service *s = orders_service(orders, &t->announced.service);

	if (is_in_progress(t) && s)
		s->in_progress--;
	t->state = TARGET_IDLE;
	t->not_before = MAX(t->not_before, until);
}

/* Ends an accepted order once the endpoint announces its goal. */
static void release_if_done(struct dl_orders *orders, struct target *t)
{
	if (t->state == TARGET_ACCEPTED && orders_is_done(orders, t))
		release(orders, t, t->not_before);
}

/* Whether two announcements are equal as far as orders are concerned. */
static bool same_announcement(const struct dl_order_endpoint *a,
			      const struct dl_order_endpoint *b)
{
	if (a->incarnation != b->incarnation || a->leaving != b->leaving ||
	    a->models_count != b->models_count)
		return false;
	for (uint32_t i = 0; i < a->models_count; i++) {
		if (!dl_name_eq(&a->models[i], dl_name_str(&b->models[i])))
			return false;
	}
	return dl_name_eq(&a->service, dl_name_str(&b->service)) &&
	       dl_name_eq(&a->version, dl_name_str(&b->version)) &&
	       dl_name_eq(&a->role, dl_name_str(&b->role));
}

/*
 * Handles the announcement of an endpoint.  A new incarnation has lost what it
 * accepted, but an order sent to the old one may still arrive, so its time is
 * waited out.
 */
void dl_orders_update_endpoint(struct dl_orders *orders,
			       const struct dl_order_endpoint *endpoint,
			       int64_t now)
{
	struct target *t = g_hash_table_lookup(orders->by_id, endpoint->id.s);

	if (!t) {
		t = g_new0(struct target, 1);
		t->announced = *endpoint;
		t->goal = GOAL_NONE;
		t->not_before = now;
		g_ptr_array_add(orders->targets, t);
		g_hash_table_insert(orders->by_id, t->announced.id.s, t);
		orders->replan = true;
		return;
	}
	if (t->announced.incarnation != endpoint->incarnation) {
		t->accepted_hash = 0;
		if (t->state == TARGET_ACCEPTED)
			release(orders, t, now);
	}
	if (!dl_name_eq(&t->announced.service, dl_name_str(&endpoint->service)))
		release(orders, t,
			now + orders->conf.send_timeout_ms +
				orders->conf.network_delay_ms);
	if (t->gone || !same_announcement(&t->announced, endpoint))
		orders->replan = true;
	t->gone = false;
	t->announced = *endpoint;
	release_if_done(orders, t);
}

/* Removes an endpoint. */
static void remove_target(struct dl_orders *orders, struct target *t)
{
	release(orders, t, 0);
	g_hash_table_remove(orders->by_id, t->announced.id.s);
	g_ptr_array_remove(orders->targets, t);
	orders->replan = true;
}

/*
 * Handles the removal of an endpoint.  It is kept while an order to it may
 * still arrive, as it may come back sooner than that.
 */
void dl_orders_remove_endpoint(struct dl_orders *orders, struct dl_str id)
{
	struct dl_name name = { 0 };
	struct target *t;

	dl_name_set(&name, id);
	t = g_hash_table_lookup(orders->by_id, name.s);
	if (!t)
		return;
	t->gone = true;
	orders->replan = true;
	if (t->state != TARGET_SENT)
		remove_target(orders, t);
}

/* Whether this process may send orders at this moment. */
static bool has_lease(const struct dl_orders *orders, int64_t now)
{
	return orders->term && !orders->fenced && now < orders->lease_until;
}

/* Whether an order makes an endpoint read from the weight store. */
static bool is_load(const struct dl_orders *orders, const struct target *t)
{
	const struct dl_order_conf *goal = &orders->goals[t->goal];

	return !orders_has_model(t, goal) || !t->announced.version.n ||
	       !dl_name_eq(&t->announced.version, dl_name_str(&goal->version));
}

/*
 * When an endpoint may get its next order, apart from limits of its service and
 * the weight store.
 */
static int64_t ready_at(const struct dl_orders *orders, const struct target *t)
{
	const struct order_service *s =
		orders_service(orders, &t->announced.service);
	int64_t at = t->not_before;

	if (s && s->ignores_fencing)
		at = MAX(at, orders->hold_until);
	return at;
}

/*
 * Whether the service has a free slot for one more order.  Endpoints that load
 * serve no requests, so while a new version is rolled out under traffic, no
 * more of the pool load at once than the share that may be out of service, but
 * at least one, or the rollout would never proceed.
 */
static bool has_room(const struct dl_orders *orders, const struct target *t)
{
	const struct order_service *s =
		orders_service(orders, &t->announced.service);
	uint32_t most;

	if (!s)
		return false;
	most = s->endpoints * s->out_share_permille / PERMILLE;
	return s->in_progress < MAX(most, 1);
}

/* Whether an endpoint may be sent an order now, apart from the weight store. */
static bool can_order(const struct dl_orders *orders, const struct target *t,
		      int64_t now)
{
	return t->state == TARGET_IDLE && !orders_is_done(orders, t) &&
	       ready_at(orders, t) <= now && has_room(orders, t);
}

/* Ends orders without a result, and accepted ones that were never completed. */
static void expire(struct dl_orders *orders, struct target *t, int64_t now)
{
	if (!is_in_progress(t) || t->not_before > now)
		return;
	if (t->gone)
		remove_target(orders, t);
	else
		release(orders, t, now);
}

/* Issues an order and counts it as in progress. */
static void issue_order(struct dl_orders *orders, struct target *t, int64_t now,
			struct dl_order *out)
{
	const struct dl_order_conf *goal = &orders->goals[t->goal];
	struct order_service *s = orders_service(orders, &t->announced.service);

	memset(out, 0, sizeof(*out));
	out->id = ++orders->next_order;
	out->endpoint = t->announced.id;
	out->service = goal->service;
	out->model = goal->model;
	out->version = goal->version;
	out->role = goal->role;
	out->fence = orders->term;
	out->deadline = now + orders->conf.send_timeout_ms;
	if (s)
		s->in_progress++;
	t->state = TARGET_SENT;
	t->last_order = out->id;
	t->accepted_hash = 0;
	t->ordered_hash = orders_goal_hash(goal);
	t->not_before = out->deadline + orders->conf.network_delay_ms;
}

/*
 * Returns the next order to send.  An endpoint gets the next order only when
 * the last was answered or can no longer arrive, since two orders of one leader
 * carry the same fencing number and could overtake each other.  Loads wait for
 * the token bucket of the weight store; other orders do not.
 */
bool dl_orders_next(struct dl_orders *orders, int64_t now, struct dl_order *out)
{
	bool store;

	refill(orders, now);
	store = orders->store_mb_ms >= load_cost(orders);
	for (guint i = orders->targets->len; i-- > 0;)
		expire(orders, g_ptr_array_index(orders->targets, i), now);
	if (!has_lease(orders, now))
		return false;
	if (orders->replan)
		orders_plan(orders);
	for (guint i = 0; i < orders->targets->len; i++) {
		struct target *t = g_ptr_array_index(orders->targets, i);

		if (!can_order(orders, t, now))
			continue;
		if (is_load(orders, t)) {
			if (!store)
				continue;
			orders->store_mb_ms -= load_cost(orders);
		}
		issue_order(orders, t, now, out);
		return true;
	}
	return false;
}

/* Whether a planned order may still be sent. */
bool dl_orders_may_send(const struct dl_orders *orders,
			const struct dl_order *order, int64_t now)
{
	return has_lease(orders, now) && order->fence == orders->term &&
	       now < order->deadline;
}

/* The endpoint whose latest order has this ID and awaits a result, or NULL. */
static struct target *find_order(const struct dl_orders *orders, uint64_t id)
{
	for (guint i = 0; i < orders->targets->len; i++) {
		struct target *t = g_ptr_array_index(orders->targets, i);

		if (t->last_order == id && t->state == TARGET_SENT)
			return t;
	}
	return NULL;
}

/*
 * Handles the result of an order.  A result that is late, or of an endpoint
 * that has been removed, has no effect unless it reveals a later leader.
 */
void dl_orders_result(struct dl_orders *orders, uint64_t id,
		      enum dl_order_result result, int64_t now)
{
	struct target *t = find_order(orders, id);

	if (result == DL_ORDER_FENCED)
		orders->fenced = true;
	if (!t)
		return;
	orders->replan = true;
	switch (result) {
	case DL_ORDER_ACCEPTED:
		t->state = TARGET_ACCEPTED;
		t->accepted_hash = t->ordered_hash;
		t->not_before = now + orders->conf.announce_timeout_ms;
		release_if_done(orders, t);
		if (t->state == TARGET_IDLE)
			t->not_before = now;
		break;
	case DL_ORDER_UNKNOWN:
		/* It may still arrive, so its time is waited out. */
		break;
	default:
		t->not_before = now + orders->conf.retry_ms;
		release(orders, t, t->not_before);
		break;
	}
}

/* When the caller must call dl_orders_next() again. */
int64_t dl_orders_wakeup(const struct dl_orders *orders, int64_t now)
{
	int64_t at = INT64_MAX, lacks;

	if (!has_lease(orders, now))
		return INT64_MAX;
	if (orders->replan)
		return now;
	for (guint i = 0; i < orders->targets->len; i++) {
		const struct target *t = g_ptr_array_index(orders->targets, i);
		int64_t ready = ready_at(orders, t);

		if (orders_is_done(orders, t) && !is_in_progress(t))
			continue;
		if (t->state == TARGET_IDLE && is_load(orders, t)) {
			lacks = load_cost(orders) - orders->store_mb_ms;
			ready = MAX(ready,
				    orders->store_at +
					    (lacks + orders->store_mb_per_s -
					     1) / orders->store_mb_per_s);
		}
		if (is_in_progress(t) || has_room(orders, t))
			at = MIN(at, ready);
	}
	return at;
}

/* Fills in the figures that the status shows. */
void dl_orders_summarize(const struct dl_orders *orders, int64_t now,
			 struct dl_orders_summary *out)
{
	memset(out, 0, sizeof(*out));
	out->term = orders->term;
	out->fenced = orders->fenced;
	out->hold_until = orders->hold_until;
	out->endpoints = orders->targets->len;
	out->store_mb = orders->store_mb_ms / MS_PER_S;
	for (guint i = 0; i < orders->targets->len; i++) {
		const struct target *t = g_ptr_array_index(orders->targets, i);

		out->in_progress += is_in_progress(t);
		if (t->goal == GOAL_NONE)
			continue;
		out->assigned++;
		out->completed += orders_is_done(orders, t);
	}
}

/* Checks the invariants; returns NULL or what is broken. */
const char *dl_orders_check(const struct dl_orders *orders)
{
	if (g_hash_table_size(orders->by_id) != orders->targets->len)
		return "the table and the list of endpoints differ";
	if (orders->store_mb_ms < 0 || orders->store_mb_ms > load_cost(orders))
		return "the token bucket of the weight store is out of bounds";
	for (uint32_t i = 0; i < orders->services_count; i++) {
		const struct order_service *s = &orders->services[i];
		uint32_t n = 0;

		for (guint j = 0; j < orders->targets->len; j++) {
			const struct target *t =
				g_ptr_array_index(orders->targets, j);

			n += is_in_progress(t) &&
			     dl_name_eq(&t->announced.service,
					dl_name_str(&s->name));
		}
		if (n != s->in_progress)
			return "orders in progress are miscounted";
	}
	return NULL;
}
