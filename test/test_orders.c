/*
 * Orders to endpoints.  An endpoint that ignores fencing tokens never sees an
 * order of an earlier leader after one of a later leader, whatever pauses,
 * clocks and the network do; every endpoint reaches its goal; the weight store
 * is never asked for more than its rate.
 */
#include <check.h>
#include <errno.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "daisyledge/orders.h"
#include "fake/suite.h"

#define SEED	   20261202
#define RUNS	   200
#define RUNS_SLOW  20 /* a sanitizer makes each run 20 times slower */
#define CHAOS_MS   120000
#define CALM_MS	   600000
#define STEP_MS	   20
#define LEADERS	   3
#define ENDPOINTS  6
#define STORE_MB_S 2000
#define LOAD_MB	   4000
#define SENT_MAX   256

static struct dl_orders_conf limits(void)
{
	struct dl_orders_conf c;

	dl_orders_defaults(&c);
	c.load_mb = LOAD_MB;
	c.announce_timeout_ms = 40000;
	return c;
}

/* Two services: "strict" checks fencing tokens, "loose" ignores them. */
static struct dl_conf *make_conf(const char *version, uint32_t endpoints)
{
	static struct dl_faults faults;
	struct dl_conf *conf = NULL;
	char *text = g_strdup_printf(
		"{\"format\": 1, \"services\": {"
		"\"strict\": {\"kind\": \"model\", \"models\": [\"a\"]},"
		"\"loose\": {\"kind\": \"model\", \"models\": [\"b\"],"
		"\"ignores_fencing\": true}}, \"replicas\": ["
		"{\"name\": \"r1\", \"address\": \"10.0.0.1:7\"},"
		"{\"name\": \"r2\", \"address\": \"10.0.0.2:7\"},"
		"{\"name\": \"r3\", \"address\": \"10.0.0.3:7\"}],"
		"\"drain\": {\"endpoints\": [\"10.0.0.9:1\"]},"
		"\"weight_store_mb_per_s\": %d, \"orders\": ["
		"{\"service\": \"strict\", \"model\": \"a\","
		"\"version\": \"%s\", \"endpoints\": %u},"
		"{\"service\": \"loose\", \"model\": \"b\","
		"\"version\": \"%s\"}]}",
		STORE_MB_S, version, endpoints, version);

	dl_conf_parse(dl_str_of(text), &conf, &faults);
	ck_assert_msg(conf != NULL, "%s", faults.items[0].text);
	g_free(text);
	return conf;
}

static struct dl_order_endpoint announce(const char *id, const char *service,
					 const char *model, const char *version)
{
	struct dl_order_endpoint e = { .incarnation = 1 };

	dl_name_set(&e.id, dl_str_of(id));
	dl_name_set(&e.service, dl_str_of(service));
	dl_name_set(&e.models[0], dl_str_of(model));
	e.models_count = *model != '\0';
	dl_name_set(&e.version, dl_str_of(version));
	return e;
}

/* A planner that leads in term 1 from time 0. */
static struct dl_orders *make_leader(const char *version, uint32_t endpoints)
{
	struct dl_orders_conf c = limits();
	struct dl_orders *o = dl_orders_new(&c);
	struct dl_conf *conf = make_conf(version, endpoints);

	dl_orders_configure(o, conf, 0);
	dl_conf_free(conf);
	ck_assert_int_eq(dl_orders_set_leader(o, 1, 1000000, 0), 0);
	return o;
}

START_TEST(fulfilled_endpoints_are_kept)
{
	struct dl_orders *o = make_leader("1", 2);
	struct dl_order_endpoint e[] = {
		announce("10.0.0.1:1", "strict", "", ""),
		announce("10.0.0.2:1", "strict", "a", "0"),
		announce("10.0.0.9:1", "strict", "a", "1"), /* drained */
		announce("10.0.0.3:1", "strict", "a", "1"),
	};
	struct dl_orders_summary s;
	struct dl_order order;

	dl_name_set(&e[3].role, DL_STR("both"));
	dl_name_set(&e[2].role, DL_STR("both"));
	for (int i = 0; i < 4; i++)
		dl_orders_update_endpoint(o, &e[i], 0);
	ck_assert(dl_orders_next(o, 10000, &order));
	ck_assert_str_eq(order.endpoint.s, "10.0.0.2:1");
	ck_assert_str_eq(order.version.s, "1");
	ck_assert_uint_eq(order.fence, 1);
	ck_assert(!dl_orders_next(o, 10000, &order));
	dl_orders_summarize(o, 10000, &s);
	ck_assert_uint_eq(s.assigned, 2);
	ck_assert_uint_eq(s.completed, 1);
	dl_orders_free(o);
}
END_TEST

START_TEST(loads_wait_for_weight_store)
{
	struct dl_orders *o = make_leader("1", 0);
	int64_t first = -1, second = -1;
	struct dl_order order;
	char id[24];

	for (int i = 0; i < 10; i++) {
		struct dl_order_endpoint e;

		snprintf(id, sizeof(id), "10.0.1.%d:1", i + 1);
		e = announce(id, "strict", "", "");
		dl_orders_update_endpoint(o, &e, 0);
	}
	for (int64_t t = 0; t < 10000 && second < 0; t += 10) {
		if (!dl_orders_next(o, t, &order))
			continue;
		if (first < 0)
			first = t;
		else
			second = t;
		ck_assert_ptr_null(dl_orders_check(o));
	}
	/* The bucket starts empty and allows one load every two seconds. */
	ck_assert_int_eq(first, 2000);
	ck_assert_int_eq(second, 4000);
	dl_orders_free(o);
}
END_TEST

/* No more endpoints load at once than the share that may be out of service. */
START_TEST(pool_keeps_its_capacity)
{
	struct dl_orders *o = make_leader("1", 0);
	struct dl_order order;
	char id[24];
	int sent = 0;

	for (int i = 0; i < 10; i++) {
		struct dl_order_endpoint e;

		snprintf(id, sizeof(id), "10.0.1.%d:1", i + 1);
		e = announce(id, "strict", "a", "0");
		dl_orders_update_endpoint(o, &e, 0);
	}
	for (int64_t t = 0; t < 30000; t += 100) {
		if (!dl_orders_next(o, t, &order))
			continue;
		dl_orders_result(o, order.id, DL_ORDER_ACCEPTED, t);
		sent++;
	}
	ck_assert_int_eq(sent, 3); /* 300 permille of ten */
	dl_orders_free(o);
}
END_TEST

/*
 * An announced goal frees a slot at once; a restarted endpoint has lost what it
 * accepted.
 */
START_TEST(announcement_completes_order)
{
	struct dl_orders *o = make_leader("1", 0);
	struct dl_order_endpoint a = announce("10.0.0.1:1", "strict", "a", "");
	struct dl_order_endpoint b = announce("10.0.0.2:1", "strict", "", "");
	struct dl_order order;

	dl_orders_update_endpoint(o, &a, 0);
	dl_orders_update_endpoint(o, &b, 0);
	ck_assert(dl_orders_next(o, 5000, &order));
	ck_assert_str_eq(order.endpoint.s, "10.0.0.1:1");
	dl_orders_result(o, order.id, DL_ORDER_ACCEPTED, 5100);
	ck_assert(dl_orders_next(o, 7100, &order));
	ck_assert_str_eq(order.endpoint.s, "10.0.0.2:1");
	dl_orders_result(o, order.id, DL_ORDER_ACCEPTED, 7200);
	a.incarnation++;
	dl_orders_update_endpoint(o, &a, 9000);
	ck_assert(!dl_orders_next(o, 9200, &order)); /* b uses the only slot */
	b = announce("10.0.0.2:1", "strict", "a", "");
	dl_orders_update_endpoint(o, &b, 9300);
	ck_assert(dl_orders_next(o, 9400, &order));
	ck_assert_str_eq(order.endpoint.s, "10.0.0.1:1");
	dl_orders_free(o);
}
END_TEST

/*
 * The worst case for clocks and network: the earlier leader's clock is the
 * slowest, it sends its last order at the end of a lease renewed when the new
 * leader was elected, the order arrives as late as possible, and the new
 * leader's clock is the fastest.
 */
START_TEST(hold_covers_worst_case)
{
	struct dl_orders *o = make_leader("1", 0);
	struct dl_orders_conf c = limits();
	struct dl_order_endpoint e = announce("10.0.0.1:1", "loose", "", "");
	double slow = 1.0 - c.drift_permille / 2000.0;
	double fast = 1.0 + c.drift_permille / 2000.0;
	double latest =
		(c.lease_ms + c.send_timeout_ms) / slow + c.network_delay_ms;
	struct dl_order order;
	int64_t t = 0;

	dl_orders_update_endpoint(o, &e, 0);
	while (!dl_orders_next(o, t, &order))
		t++;
	ck_assert_double_ge((double)t / fast, latest);
	ck_assert_double_le((double)t / fast, latest * 1.01);
	dl_orders_free(o);
}
END_TEST

START_TEST(fenced_leader_stops)
{
	struct dl_orders *o = make_leader("1", 0);
	struct dl_order_endpoint e = announce("10.0.0.1:1", "strict", "", "");
	struct dl_order order, again;

	dl_orders_update_endpoint(o, &e, 0);
	ck_assert(dl_orders_next(o, 5000, &order));
	ck_assert(dl_orders_may_send(o, &order, 5000));
	ck_assert(!dl_orders_may_send(o, &order, order.deadline));
	dl_orders_result(o, order.id, DL_ORDER_FENCED, 5001);
	ck_assert(!dl_orders_may_send(o, &order, 5001));
	ck_assert(!dl_orders_next(o, 50000, &again));
	ck_assert_int_eq(dl_orders_wakeup(o, 50000), INT64_MAX);
	ck_assert_int_eq(dl_orders_set_leader(o, 0, 0, 0), -ESTALE);
	ck_assert_int_eq(dl_orders_set_leader(o, 3, 1000000, 50000), 0);
	ck_assert_int_eq(dl_orders_set_leader(o, 2, 1000000, 50000), -ESTALE);
	ck_assert(dl_orders_next(o, 60000, &again));
	ck_assert_uint_eq(again.fence, 3);
	dl_orders_clear_leader(o);
	ck_assert(!dl_orders_may_send(o, &again, 60000));
	dl_orders_free(o);
}
END_TEST

/* An endpoint gets no second order while an earlier one may still arrive. */
START_TEST(one_order_at_a_time)
{
	struct dl_orders *o = make_leader("1", 0);
	struct dl_order_endpoint e = announce("10.0.0.1:1", "strict", "", "");
	struct dl_conf *conf = make_conf("2", 0);
	struct dl_order order, again;

	dl_orders_update_endpoint(o, &e, 0);
	ck_assert(dl_orders_next(o, 5000, &order));
	dl_orders_configure(o, conf, 5100);
	dl_orders_result(o, order.id, DL_ORDER_UNKNOWN, 5200);
	dl_orders_remove_endpoint(o, DL_STR("10.0.0.1:1"));
	e.incarnation++;
	dl_orders_update_endpoint(o, &e, 5300);
	ck_assert(!dl_orders_next(o, 11999, &again));
	ck_assert(dl_orders_next(o, 12000, &again));
	ck_assert_str_eq(again.version.s, "2");
	dl_orders_remove_endpoint(o, DL_STR("10.0.0.1:1"));
	ck_assert(!dl_orders_next(o, 30000, &again));
	ck_assert_ptr_null(dl_orders_check(o));
	dl_conf_free(conf);
	dl_orders_free(o);
}
END_TEST

/*
 * A simulation of processes that lead in turn, each with its own clock, and of
 * endpoints of both services.  An order is in flight for as long as its sender
 * and the network may take.
 */
struct process {
	struct dl_orders *orders;
	double rate;
	int64_t offset;
	int64_t paused_until; /* in simulated time */
	bool has_held;	      /* an order is planned but not sent yet */
	struct dl_order held;
};

struct fake_endpoint {
	struct dl_order_endpoint announced;
	bool loose;
	bool tells_version;
	uint64_t max_fence;
	struct dl_order loading;
	int64_t loaded_at; /* 0: no load in progress */
};

struct sent_order {
	struct dl_order order;
	int from;
	int64_t arrives;
	int64_t answer_at; /* 0: not arrived yet */
	int64_t deadline;
	bool lost;
	enum dl_order_result result;
};

struct world {
	GRand *rand;
	int64_t now;
	struct process process[LEADERS];
	struct fake_endpoint endpoint[ENDPOINTS];
	struct sent_order sent_order[SENT_MAX];
	int sent_count;
	int leader;
	uint64_t term;
	uint64_t loads;
	uint64_t orders;
	bool calm;
};

static bool chance(struct world *w, int of_thousand)
{
	return !w->calm && g_rand_int_range(w->rand, 0, 1000) < of_thousand;
}

static int64_t clock_of(const struct world *w, int p)
{
	return w->process[p].offset +
	       (int64_t)((double)w->now * w->process[p].rate);
}

static void world_init(struct world *w, uint32_t seed)
{
	struct dl_orders_conf c = limits();
	struct dl_conf *conf = make_conf("1", 0);
	char id[24];

	memset(w, 0, sizeof(*w));
	w->rand = g_rand_new_with_seed(seed);
	w->leader = -1;
	for (int p = 0; p < LEADERS; p++) {
		w->process[p].orders = dl_orders_new(&c);
		w->process[p].rate =
			1.0 + g_rand_double_range(w->rand, -0.0049, 0.0049);
		w->process[p].offset = g_rand_int_range(w->rand, 0, 1000000);
		dl_orders_configure(w->process[p].orders, conf, clock_of(w, p));
	}
	for (int i = 0; i < ENDPOINTS; i++) {
		struct fake_endpoint *e = &w->endpoint[i];

		snprintf(id, sizeof(id), "10.0.1.%d:1", i + 1);
		e->loose = i % 2;
		e->tells_version = i % 3 != 0;
		e->announced =
			announce(id, e->loose ? "loose" : "strict", "", "");
	}
	dl_conf_free(conf);
}

static void world_free(struct world *w)
{
	for (int p = 0; p < LEADERS; p++)
		dl_orders_free(w->process[p].orders);
	g_rand_free(w->rand);
}

/*
 * Elects a leader at random times: the earlier leader's lease, renewed until
 * now, may continue for its full duration.  Only the leader of the latest term
 * renews its lease.
 */
static void elect(struct world *w)
{
	struct process *p;
	int64_t local;

	if (w->leader < 0 || chance(w, 2)) {
		w->leader = g_rand_int_range(w->rand, 0, LEADERS);
		w->term++;
	}
	p = &w->process[w->leader];
	local = clock_of(w, w->leader);
	if (p->paused_until > w->now || chance(w, 300))
		return;
	dl_orders_set_leader(p->orders, w->term, local + limits().lease_ms,
			     local);
}

/* Sends the planned order if it may still be sent, after any pause. */
static void send_held(struct world *w, int from)
{
	struct process *p = &w->process[from];
	struct sent_order *f = &w->sent_order[w->sent_count];
	int64_t local = clock_of(w, from);

	p->has_held = false;
	if (!dl_orders_may_send(p->orders, &p->held, local) ||
	    w->sent_count == SENT_MAX) {
		dl_orders_result(p->orders, p->held.id, DL_ORDER_FAILED, local);
		return;
	}
	memset(f, 0, sizeof(*f));
	f->order = p->held;
	f->from = from;
	f->deadline = w->now +
		      (int64_t)((double)(p->held.deadline - local) / p->rate);
	f->arrives = w->now + g_rand_int_range(w->rand, 0, 50);
	if (chance(w, 200))
		f->arrives =
			f->deadline +
			g_rand_int_range(w->rand, 0,
					 (gint32)limits().network_delay_ms);
	f->lost = chance(w, 100);
	w->sent_count++;
	w->orders++;
}

static void plan_and_send(struct world *w, int from)
{
	struct process *p = &w->process[from];

	if (p->paused_until > w->now)
		return;
	if (p->has_held) {
		send_held(w, from);
		return;
	}
	if (!dl_orders_next(p->orders, clock_of(w, from), &p->held))
		return;
	p->has_held = true;
	if (chance(w, 100))
		p->paused_until = w->now + g_rand_int_range(w->rand, 0, 20000);
	else
		send_held(w, from);
}

/*
 * Delivers an order to its endpoint and checks that no "loose" endpoint gets an
 * order of an earlier term.
 */
static void receive_order(struct world *w, struct sent_order *f)
{
	struct fake_endpoint *e = &w->endpoint[0];

	for (int i = 1; i < ENDPOINTS; i++) {
		if (strcmp(w->endpoint[i].announced.id.s,
			   f->order.endpoint.s) == 0)
			e = &w->endpoint[i];
	}
	f->result = DL_ORDER_ACCEPTED;
	if (f->order.fence < e->max_fence) {
		ck_assert_msg(!e->loose,
			      "an order of term %d after one of term %d",
			      (int)f->order.fence, (int)e->max_fence);
		f->result = DL_ORDER_FENCED;
		return;
	}
	e->max_fence = f->order.fence;
	if (e->announced.models_count &&
	    strcmp(e->announced.models[0].s, f->order.model.s) == 0 &&
	    strcmp(e->loading.version.s, f->order.version.s) == 0)
		return;
	w->loads++;
	e->loading = f->order;
	e->loaded_at = w->now + g_rand_int_range(w->rand, 500, 20000);
}

static void deliver_orders(struct world *w)
{
	for (int i = 0; i < w->sent_count; i++) {
		struct sent_order *f = &w->sent_order[i];
		struct process *p = &w->process[f->from];

		if (!f->answer_at && f->arrives <= w->now) {
			if (!f->lost)
				receive_order(w, f);
			f->answer_at = w->now + 10;
			f->lost = f->lost || chance(w, 100);
		}
		if (p->paused_until > w->now || !f->answer_at ||
		    (f->answer_at > w->now ||
		     (f->lost && f->deadline > w->now)))
			continue;
		dl_orders_result(p->orders, f->order.id,
				 f->lost || f->answer_at > f->deadline ?
					 DL_ORDER_UNKNOWN :
					 f->result,
				 clock_of(w, f->from));
		*f = w->sent_order[--w->sent_count];
		i--;
	}
}

/* Lets endpoints finish loads, restart and announce themselves. */
static void run_endpoints(struct world *w)
{
	for (int i = 0; i < ENDPOINTS; i++) {
		struct fake_endpoint *e = &w->endpoint[i];

		if (chance(w, 1)) {
			e->announced.incarnation++;
			e->announced.models_count = 0;
			e->loaded_at = 0;
			memset(&e->announced.version, 0,
			       sizeof(e->announced.version));
			memset(&e->loading, 0, sizeof(e->loading));
		}
		if (e->loaded_at && e->loaded_at <= w->now) {
			e->announced.models[0] = e->loading.model;
			e->announced.models_count = 1;
			if (e->tells_version) {
				e->announced.version = e->loading.version;
				e->announced.role = e->loading.role;
			}
			e->loaded_at = 0;
		}
		for (int p = 0; p < LEADERS; p++) {
			if (w->process[p].paused_until > w->now ||
			    g_rand_int_range(w->rand, 0, 10))
				continue;
			dl_orders_update_endpoint(w->process[p].orders,
						  &e->announced,
						  clock_of(w, p));
		}
	}
}

static void step(struct world *w)
{
	w->now += STEP_MS;
	elect(w);
	for (int p = 0; p < LEADERS; p++) {
		if (chance(w, 1))
			w->process[p].paused_until =
				w->now + g_rand_int_range(w->rand, 0, 60000);
		plan_and_send(w, p);
		ck_assert_ptr_null(dl_orders_check(w->process[p].orders));
	}
	deliver_orders(w);
	run_endpoints(w);
}

START_TEST(single_order_source)
{
	struct dl_orders_summary s = { 0 };
	struct world w;
	uint64_t most;

	world_init(&w, SEED + (uint32_t)_i);
	while (w.now < CHAOS_MS)
		step(&w);
	w.calm = true;
	while (w.now < CHAOS_MS + CALM_MS &&
	       (!s.assigned || s.completed < s.assigned)) {
		step(&w);
		dl_orders_summarize(w.process[w.leader].orders,
				    clock_of(&w, w.leader), &s);
		s.assigned = s.assigned < ENDPOINTS ||
					     w.now < CHAOS_MS + 120000 ?
				     0 :
				     s.assigned;
	}
	ck_assert_uint_eq(s.assigned, ENDPOINTS);
	ck_assert_uint_eq(s.completed, ENDPOINTS);
	for (int i = 0; i < ENDPOINTS; i++)
		ck_assert_str_eq(w.endpoint[i].loading.version.s, "1");
	most = (uint64_t)(w.now + (int64_t)w.term * limits().lease_ms) *
		       STORE_MB_S / 1000 +
	       LOAD_MB;
	ck_assert_uint_le(w.loads * LOAD_MB, most);
	ck_assert_uint_gt(w.orders, ENDPOINTS);
	world_free(&w);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("orders");
	TCase *t = tcase_create("orders");

	suite_add_tcase(s, t);
	tcase_set_timeout(t, 0);
	tcase_add_test(t, fulfilled_endpoints_are_kept);
	tcase_add_test(t, loads_wait_for_weight_store);
	tcase_add_test(t, pool_keeps_its_capacity);
	tcase_add_test(t, announcement_completes_order);
	tcase_add_test(t, hold_covers_worst_case);
	tcase_add_test(t, fenced_leader_stops);
	tcase_add_test(t, one_order_at_a_time);
	tcase_add_loop_test(t, single_order_source, 0,
			    g_getenv("DL_SANITIZED") ? RUNS_SLOW : RUNS);
	return suite_run(s);
}
