/*
 * A million random events of all kinds; after each one the invariants of the
 * pool and a model of what each caller was told are checked.
 */
#include <check.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "daisyledge/pool.h"
#include "fake/suite.h"

#define EVENTS	   250000
#define SANITIZED  20 /* reduction under the sanitizers */
#define REQUESTS   512
#define ENDPOINTS  12
#define ENTRIES	   4
#define WORKSPACES 6

enum state {
	NONE,
	QUEUED,
	GRANTED
};

struct request {
	enum state state;
	struct dl_ask ask;
	struct dl_answer grant;
};

struct endpoint {
	uint64_t incarnation;
	uint64_t memory;
	bool closed; /* drained, leaving or gone: gets no new work */
	bool drained;
	bool leaving; /* and serves on, where endpoint_drain_ms is set */
	bool dated;   /* it is known since when */
	int64_t reported_at;
};

static const uint32_t seeds[] = { 1, 2, 3, 4 };

static struct dl_pool *pool;
static GRand *rnd;
static int64_t now;
static uint64_t ids;
static struct request requests[REQUESTS];
static struct endpoint endpoints[ENDPOINTS];
static char names[ENDPOINTS][16];

static uint32_t below(uint32_t n)
{
	return (uint32_t)g_rand_int_range(rnd, 0, (gint32)n);
}

/* In half of the runs endpoints that leave serve while no other is open. */
static bool leaving_serve;
static uint32_t drain_ms;

static struct dl_pool_conf random_conf(void)
{
	drain_ms = leaving_serve ? below(4000) : 0;
	return (struct dl_pool_conf){
		.kind = DL_POOL_MODEL,
		.queue_entries_max = 10 + below(40),
		.queue_tokens_max = 100000 + below(900000),
		.long_tokens = 5000 + below(20000),
		.long_share_permille = below(1000),
		.out_share_permille = below(500),
		.grant_lease_ms = 500 + below(3000),
		.report_gone_ms = 500 + below(3000),
		.weight_default = 1 + below(3),
		.endpoint_drain_ms = drain_ms,
	};
}

/*
 * Whether an endpoint may get new work. One that leaves, not before its last
 * report, gets some until 0.6 of the time after the first one, which was not
 * later.
 */
static bool may_be_granted(const struct endpoint *e)
{
	if (e->closed)
		return false;
	return !e->leaving ||
	       (e->dated && now < e->reported_at + drain_ms * 6 / 10);
}

static void check_grant(struct request *r, const struct dl_answer *a)
{
	ck_assert_uint_ge(a->endpoints, 1);
	for (uint8_t i = 0; i < a->endpoints; i++) {
		uint32_t e = 0;

		while (e < ENDPOINTS &&
		       !dl_name_eq(&a->endpoint[i], dl_str_of(names[e])))
			e++;
		if (e == ENDPOINTS)
			ck_abort_msg("an endpoint that nobody announced");
		e %= ENDPOINTS;
		ck_assert(may_be_granted(&endpoints[e]));
		ck_assert_uint_le(a->share_tokens[i], endpoints[e].memory);
		for (uint8_t k = 0; k < r->ask.tried; k++)
			ck_assert(
				!dl_name_eq(&a->endpoint[i],
					    dl_name_str(&r->ask.tried_ids[k])));
		for (uint8_t k = 0; k < i; k++)
			ck_assert(!dl_name_eq(&a->endpoint[i],
					      dl_name_str(&a->endpoint[k])));
	}
	ck_assert_int_le(now + a->predicted_ttft_ms, r->ask.deadline);
	r->state = GRANTED;
	r->grant = *a;
}

static void check_answer(struct request *r, const struct dl_answer *a)
{
	ck_assert_uint_eq(a->entry, r->ask.entry);
	if (a->verdict == DL_GRANTED)
		check_grant(r, a);
	else
		r->state = a->verdict == DL_QUEUED ? QUEUED : NONE;
	if (a->verdict == DL_REFUSED)
		ck_assert_int_ne(a->reason, DL_REASON_NONE);
}

static void do_ask(void)
{
	struct request *r = &requests[below(REQUESTS)];
	static char ws[16];
	struct dl_answer a;

	if (r->state != NONE)
		return;
	snprintf(ws, sizeof(ws), "w%u", below(WORKSPACES));
	memset(&r->ask, 0, sizeof(r->ask));
	r->ask.request = ++ids * REQUESTS + (uint64_t)(r - requests);
	r->ask.entry = 1 + below(ENTRIES);
	r->ask.workspace = dl_str_of(ws);
	r->ask.class = (enum dl_class)below(DL_CLASS_COUNT);
	r->ask.prompt_tokens = 1u << below(18);
	r->ask.output_tokens = below(500);
	r->ask.prefix = below(8);
	r->ask.prefix_tokens = below(4000);
	r->ask.deadline = now + (1 << below(18));
	r->ask.tried = (uint8_t)below(3);
	for (uint8_t i = 0; i < r->ask.tried; i++)
		dl_name_set(&r->ask.tried_ids[i],
			    dl_str_of(names[below(ENDPOINTS)]));
	dl_pool_ask(pool, &r->ask, now, &a);
	ck_assert_uint_eq(a.request, r->ask.request);
	check_answer(r, &a);
}

static void do_release(void)
{
	struct request *r = &requests[below(REQUESTS)];
	struct dl_usage usage = { .ran = below(10) > 0,
				  .failed = below(10) == 0,
				  .output_tokens = below(500),
				  .ttft_ms = below(3000),
				  .total_ms = 3000 + below(5000) };
	int rc;

	if (r->state != GRANTED)
		return;
	rc = dl_pool_release(pool, r->grant.grant, below(8) ? &usage : NULL,
			     now);
	ck_assert(rc == 0 || rc == -ENOENT);
	r->state = NONE;
}

static void do_renew(void)
{
	struct request *r = &requests[below(REQUESTS)];

	if (r->state == GRANTED &&
	    dl_pool_renew(pool, r->grant.grant, now) == -ENOENT)
		r->state = NONE;
}

static void do_cancel(void)
{
	struct request *r = &requests[below(REQUESTS)];

	if (r->state != QUEUED)
		return;
	dl_pool_cancel(pool, r->ask.entry, r->ask.request, now);
	r->state = NONE;
}

static void do_report(void)
{
	uint32_t i = below(ENDPOINTS);
	struct endpoint *e = &endpoints[i];
	struct dl_endpoint_report r = {
		.slots = 1 + below(16),
		.takes_groups = below(8) > 0,
		.prefill_rate = below(20000),
		.decode_rate = below(100),
		.running = below(4),
		.leaving = below(leaving_serve ? 2 : 20) == 0
	};

	if (below(200) == 0) {
		e->incarnation++;
		e->memory = 20000 + below(100000);
	}
	if (leaving_serve && r.leaving && below(3))
		r.leaving_ms = 1 + below(3000);
	r.incarnation = e->incarnation;
	r.memory_tokens = e->memory;
	r.used_tokens = below(4) ? 0 : below((uint32_t)e->memory);
	r.prefill_backlog = below(4) ? 0 : below(50000);
	dl_name_set(&r.id, dl_str_of(names[i]));
	ck_assert_int_eq(dl_pool_report(pool, &r, now), 0);
	e->closed = e->drained || (r.leaving && !leaving_serve);
	e->dated = (e->leaving && e->dated) || r.leaving_ms;
	e->leaving = r.leaving;
	e->reported_at = now;
}

static void do_close(void)
{
	uint32_t i = below(ENDPOINTS);
	struct endpoint *e = &endpoints[i];

	if (below(2)) {
		dl_pool_endpoint_gone(pool, dl_str_of(names[i]), now);
		e->closed = true;
		return;
	}
	e->drained = !e->drained;
	dl_pool_endpoint_drain(pool, dl_str_of(names[i]), e->drained, now);
	e->closed = true; /* this model waits for its next report */
	if (!e->drained)
		dl_pool_endpoint_gone(pool, dl_str_of(names[i]), now);
}

static void do_entry_gone(void)
{
	uint64_t entry = 1 + below(ENTRIES);

	dl_pool_entry_gone(pool, entry, now);
	for (int i = 0; i < REQUESTS; i++)
		if (requests[i].ask.entry == entry)
			requests[i].state = NONE;
}

/* A new dispatcher takes over; most entries report their grants to it. */
static void do_hand_over(void)
{
	struct dl_pool_conf conf = random_conf();

	dl_pool_free(pool);
	pool = dl_pool_new(&conf, &dl_policy_late_binding, ++ids);
	for (int i = 0; i < ENDPOINTS; i++)
		endpoints[i].drained = false;
	for (int i = 0; i < REQUESTS; i++) {
		struct request *r = &requests[i];

		r->ask.workspace = DL_STR("w1");
		if (r->state == GRANTED && below(10))
			ck_assert_int_eq(dl_pool_adopt(pool, &r->grant, &r->ask,
						       NULL, now),
					 0);
		else
			r->state = NONE;
	}
}

static void do_configure(void)
{
	struct dl_workspace_conf ws = { .weight = below(4),
					.concurrency_max = below(2) ? 0 : 20,
					.requests_per_s = below(2) ? 0 : 100 };
	struct dl_pool_conf conf = random_conf();
	char name[16];

	snprintf(name, sizeof(name), "w%u", below(WORKSPACES));
	dl_name_set(&ws.name, dl_str_of(name));
	dl_pool_set_workspace(pool, &ws);
	dl_pool_configure(pool, &conf);
}

static void do_cached(void)
{
	dl_pool_cache_event(pool, dl_str_of(names[below(ENDPOINTS)]), below(8),
			    below(2) * 3000, now);
}

static void drain(void)
{
	struct dl_answer a;

	while (dl_pool_next(pool, now, &a)) {
		struct request *r = &requests[a.request % REQUESTS];

		ck_assert_int_eq(r->state, QUEUED);
		ck_assert_uint_eq(a.request, r->ask.request);
		ck_assert_int_ne(a.verdict, DL_QUEUED);
		check_answer(r, &a);
		ck_assert_ptr_null(dl_pool_check_invariants(pool));
	}
}

static void one_event(void)
{
	uint32_t what = below(1000);

	now += below(8) ? 0 : below(60);
	if (what < 400)
		do_ask();
	else if (what < 600)
		do_release();
	else if (what < 750)
		do_renew();
	else if (what < 800)
		do_cancel();
	else if (what < 975)
		do_report();
	else if (what < 985)
		do_cached();
	else if (what < 993)
		do_close();
	else if (what < 996)
		do_entry_gone();
	else if (what < 999)
		do_configure();
	else if (below(20) == 0)
		do_hand_over();
}

START_TEST(invariants_hold)
{
	int events = EVENTS;
	uint32_t seed = seeds[_i / 2];
	struct dl_pool_conf conf;

	leaving_serve = _i % 2;

	if (getenv("DL_SANITIZED"))
		events /= SANITIZED;
	rnd = g_rand_new_with_seed(seed);
	conf = random_conf();
	pool = dl_pool_new(&conf, &dl_policy_late_binding, seed);
	for (int i = 0; i < ENDPOINTS; i++) {
		snprintf(names[i], sizeof(names[i]), "e%d:1", i);
		endpoints[i] = (struct endpoint){ .incarnation = 1,
						  .memory = 50000,
						  .closed = true };
	}
	for (int i = 0; i < events; i++) {
		const char *broken;

		one_event();
		broken = dl_pool_check_invariants(pool);
		ck_assert_msg(!broken, "seed %u leaving %d event %d: %s", seed,
			      leaving_serve, i, broken);
		drain();
		ck_assert_int_ge(dl_pool_wakeup(pool), now);
	}
	dl_pool_free(pool);
	g_rand_free(rnd);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("pool_random");
	TCase *t = tcase_create("pool_random");

	suite_add_tcase(s, t);
	tcase_set_timeout(t, 120);
	tcase_add_loop_test(t, invariants_hold, 0,
			    2 * sizeof(seeds) / sizeof(seeds[0]));
	return suite_run(s);
}
