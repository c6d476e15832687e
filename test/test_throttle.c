/*
 * Endpoints that set a rate limit: requests granted to them and to the others
 * under load, as endpoints and callers see it.
 */
#include <check.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "daisyledge/pool.h"
#include "fake/published_engine.h"
#include "fake/suite.h"
#include "protocol/pool_codec.h"

#define ENDPOINTS  4
#define LIMITED	   "10.0.0.1:80"
#define STEP_MS	   10
#define SERVICE_MS 300
#define WINDOW_MS  4000
#define GRANTS_MAX 8192
#define TARGET_MS  300
#define COLD_PER_S 8
#define COLD_MS	   5000

struct granted {
	uint64_t id;
	int64_t at;
	int64_t ends;
	struct dl_answer answer;
};

static struct dl_pool *pool;
static int64_t now;
static uint64_t next_request;
static bool self_placed, standby;
static uint64_t prompt;
static struct granted grants[GRANTS_MAX];
static uint32_t grants_n, first_open;
static uint32_t refused;

static const struct dl_pool_conf engines = {
	.kind = DL_POOL_MODEL,
	.queue_entries_max = 1000,
	.queue_tokens_max = 100000000,
	.out_share_permille = 300,
	.grant_lease_ms = 20000,
	.report_gone_ms = 60000,
	.weight_default = 1,
	.cold_requests_per_s = COLD_PER_S,
	.engine = { PUBLISHED_ENGINE, .hop_ms = 1 },
};

static void report_cold(struct dl_pool *to, int endpoint, uint64_t incarnation,
			uint32_t cold_ms)
{
	struct dl_endpoint_report r = { .incarnation = incarnation,
					.memory_tokens = 315000,
					.slots = 16,
					.takes_groups = true,
					.cold_ms = cold_ms };
	char id[32];

	snprintf(id, sizeof(id), "10.0.0.%d:80", endpoint + 1);
	dl_name_set(&r.id, dl_str_of(id));
	ck_assert_int_eq(dl_pool_report(to, &r, now), 0);
}

static void report(int endpoint, uint64_t incarnation)
{
	report_cold(pool, endpoint, incarnation, 0);
}

static void open_pool(bool model)
{
	struct dl_pool_conf conf = engines;

	now = 1000;
	next_request = 1;
	self_placed = standby = false;
	prompt = 5000;
	grants_n = first_open = refused = 0;
	if (!model) {
		conf.kind = DL_POOL_PLAIN;
		conf.engine = (struct dl_engine_model){ 0 };
	}
	pool = dl_pool_new(
		&conf, model ? &dl_policy_engine : &dl_policy_late_binding, 42);
	for (int i = 0; i < ENDPOINTS; i++)
		report(i, 1);
}

static void end(void)
{
	ck_assert_ptr_null(dl_pool_check_invariants(pool));
	dl_pool_free(pool);
}

static void record_answer(const struct dl_answer *a)
{
	refused += a->verdict == DL_REFUSED;
	if (a->verdict != DL_GRANTED)
		return;
	ck_assert_uint_lt(grants_n, GRANTS_MAX);
	grants[grants_n++] =
		(struct granted){ a->grant, now, now + SERVICE_MS, *a };
}

static void ask(void)
{
	struct dl_ask a = { .request = next_request++,
			    .entry = 1,
			    .workspace = DL_STR("sweeps"),
			    .class = DL_CLASS_INTERACTIVE,
			    .prompt_tokens = prompt,
			    .output_tokens = 200,
			    .deadline = now + 3000,
			    .target_ms = TARGET_MS,
			    .gap_ms = 250,
			    .self_placed = self_placed,
			    .standby = standby };
	struct dl_answer out;

	dl_pool_ask(pool, &a, now, &out);
	record_answer(&out);
}

/*
 * Requests per second that three endpoints can just handle and four are used
 * for.
 */
static int load_per_s(bool model)
{
	return model ? 100 : 40;
}

/* Apply a load of this many requests per second. */
static void run_load(int64_t ms, int per_s)
{
	struct dl_usage usage = { .ran = true, .ttft_ms = 100 };
	struct dl_answer out;
	int due = 0; /* thousandths of a request */

	for (int64_t until = now + ms; now < until; now += STEP_MS) {
		while (first_open < grants_n && grants[first_open].ends <= now)
			dl_pool_release(pool, grants[first_open++].id, &usage,
					now);
		for (due += per_s * STEP_MS; due >= 1000; due -= 1000)
			ask();
		while (dl_pool_next(pool, now, &out))
			record_answer(&out);
		ck_assert_ptr_null(dl_pool_check_invariants(pool));
	}
}

static bool set_limit(uint32_t limit)
{
	return dl_pool_set_endpoint_limit(pool, DL_STR(LIMITED), limit, now);
}

static bool is_at(const struct granted *g, const char *endpoint)
{
	for (uint8_t i = 0; i < g->answer.endpoints; i++) {
		if (dl_name_eq(&g->answer.endpoint[i], dl_str_of(endpoint)))
			return true;
	}
	return false;
}

static uint32_t granted_at(const char *endpoint, int64_t since, int64_t until)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < grants_n; i++)
		n += grants[i].at >= since && grants[i].at < until &&
		     is_at(&grants[i], endpoint);
	return n;
}

/* The most requests granted to an endpoint in any window since a time. */
static uint32_t most_at(const char *endpoint, int64_t since)
{
	uint32_t most = 0;

	for (int64_t at = since; at < now; at += STEP_MS) {
		uint32_t n = granted_at(endpoint, at, at + WINDOW_MS);

		most = n > most ? n : most;
	}
	return most;
}

START_TEST(endpoint_gets_its_limit_and_others_the_rest)
{
	int per_s = load_per_s(_i);
	uint32_t before;
	int64_t since;

	open_pool(_i);
	run_load(4000, per_s);
	since = now;
	ck_assert(set_limit(2000));
	before = grants_n;
	run_load(12000, per_s);
	ck_assert_uint_le(most_at(LIMITED, since), 2 * WINDOW_MS / 1000 + 1);
	ck_assert_uint_ge(granted_at(LIMITED, since, now), 12);
	/* Requests to other endpoints are not delayed. */
	ck_assert_uint_ge(grants_n - before, 12 * per_s * 95 / 100);
}
END_TEST

START_TEST(requests_beyond_all_limits_are_refused)
{
	static const char *const id[ENDPOINTS] = { "10.0.0.1:80", "10.0.0.2:80",
						   "10.0.0.3:80",
						   "10.0.0.4:80" };
	int64_t since;

	open_pool(_i);
	for (int i = 0; i < ENDPOINTS; i++)
		dl_pool_set_endpoint_limit(pool, dl_str_of(id[i]), 2000, now);
	since = now;
	run_load(12000, 20);
	for (int i = 0; i < ENDPOINTS; i++) {
		ck_assert_uint_le(most_at(id[i], since),
				  2 * WINDOW_MS / 1000 + 1);
		ck_assert_uint_ge(granted_at(id[i], since, now), 16);
	}
	/* Requests that cannot be served are refused, not left waiting. */
	ck_assert_uint_ge(refused + grants_n, 12 * 20 * 70 / 100);
}
END_TEST

START_TEST(limit_ends_when_answers_omit_it)
{
	open_pool(_i);
	set_limit(1000);
	run_load(2000, 40);
	/* An answer older than the limit does not lift it. */
	set_limit(1000);
	now += 100;
	ck_assert(!set_limit(DL_UNLIMITED));
	now += 1000;
	ck_assert(set_limit(DL_UNLIMITED));
	run_load(4000, 80);
	ck_assert_uint_ge(granted_at(LIMITED, now - 4000, now), 30);
}
END_TEST

START_TEST(new_incarnation_has_no_limit)
{
	open_pool(_i);
	set_limit(0);
	report(0, 2);
	run_load(4000, 80);
	ck_assert_uint_ge(granted_at(LIMITED, 0, now), 30);
}
END_TEST

START_TEST(zero_limit_still_gets_occasional_requests)
{
	open_pool(_i);
	set_limit(0);
	run_load(20000, load_per_s(_i));
	ck_assert_uint_ge(granted_at(LIMITED, 0, now), 3);
	ck_assert_uint_le(granted_at(LIMITED, 0, now), 4);
}
END_TEST

START_TEST(self_placing_entry_avoids_limited_endpoints)
{
	open_pool(_i);
	set_limit(5000);
	self_placed = true;
	run_load(6000, 40);
	ck_assert_uint_eq(granted_at(LIMITED, 0, now), 0);
	ck_assert_uint_ge(grants_n, 6 * 40 * 95 / 100);
}
END_TEST

/*
 * The dispatcher grants at the full rate; the endpoint can record_answer half
 * as much more.
 */
START_TEST(standby_uses_half_of_a_limit)
{
	int64_t since;

	open_pool(_i);
	set_limit(4000);
	standby = true;
	since = now;
	run_load(12000, load_per_s(_i));
	ck_assert_uint_le(most_at(LIMITED, since), 2 * WINDOW_MS / 1000 + 1);
	ck_assert_uint_ge(granted_at(LIMITED, since, now), 16);
}
END_TEST

START_TEST(parts_of_prompts_count_as_requests)
{
	int64_t since;

	open_pool(true);
	prompt = 100000;
	set_limit(1000);
	since = now;
	run_load(12000, 5);
	ck_assert_uint_le(most_at(LIMITED, since), WINDOW_MS / 1000 + 1);
}
END_TEST

START_TEST(grants_tell_whether_endpoint_is_limited)
{
	open_pool(true);
	set_limit(5000);
	run_load(3000, 40);
	for (uint32_t i = 0; i < grants_n; i++)
		ck_assert_int_eq(grants[i].answer.limited,
				 dl_name_eq(&grants[i].answer.endpoint[0],
					    DL_STR(LIMITED)));
}
END_TEST

START_TEST(iteration_returns_recent_limits_only)
{
	struct dl_name id;
	uint32_t at = 0, limit;

	open_pool(true);
	set_limit(2500);
	ck_assert(dl_pool_endpoint_limit_next(pool, &at, now, &id, &limit));
	ck_assert(dl_name_eq(&id, DL_STR(LIMITED)));
	ck_assert_uint_eq(limit, 2500);
	ck_assert(!dl_pool_endpoint_limit_next(pool, &at, now, &id, &limit));
	at = 0;
	ck_assert(
		!dl_pool_endpoint_limit_next(pool, &at, now + 1, &id, &limit));
}
END_TEST

/* A cold endpoint gets part of what it bears, and all it can do once warm. */
START_TEST(cold_endpoint_gets_its_limit_until_it_is_warm)
{
	int64_t since;

	open_pool(_i);
	run_load(2000, load_per_s(_i));
	since = now;
	report_cold(pool, 0, 1, COLD_MS);
	run_load(COLD_MS - 1000, load_per_s(_i));
	ck_assert_uint_le(most_at(LIMITED, since),
			  COLD_PER_S * WINDOW_MS / 1000);
	ck_assert_uint_ge(granted_at(LIMITED, since, now), 8);
	run_load(2000, load_per_s(_i));
	since = now;
	run_load(4000, 2 * load_per_s(_i));
	ck_assert_uint_ge(granted_at(LIMITED, since, now), 30);
}
END_TEST

START_TEST(later_report_does_not_end_the_cold_time)
{
	int64_t since;

	open_pool(_i);
	report_cold(pool, 0, 1, COLD_MS);
	report_cold(pool, 0, 1, 0);
	since = now;
	run_load(COLD_MS - 100, load_per_s(_i));
	ck_assert_uint_le(most_at(LIMITED, since),
			  COLD_PER_S * WINDOW_MS / 1000);
}
END_TEST

START_TEST(new_incarnation_is_cold_only_if_it_says_so)
{
	open_pool(_i);
	report_cold(pool, 0, 1, COLD_MS);
	report(0, 2);
	run_load(4000, 80);
	ck_assert_uint_ge(granted_at(LIMITED, 0, now), 30);
}
END_TEST

START_TEST(self_placing_entry_avoids_cold_endpoints)
{
	open_pool(_i);
	report_cold(pool, 0, 1, COLD_MS);
	self_placed = true;
	run_load(COLD_MS - 100, 40);
	ck_assert_uint_eq(granted_at(LIMITED, 0, now), 0);
}
END_TEST

/* Requests granted to the cold endpoint in each second, by all dispatchers. */
static uint32_t most_a_second(const int64_t *at, uint32_t n)
{
	uint32_t most = 0, from = 0;

	for (uint32_t i = 0; i < n; i++) {
		while (at[i] - at[from] >= 1000)
			from++;
		if (i - from + 1 > most)
			most = i - from + 1;
	}
	return most;
}

/*
 * Two VMs dispatch at the same time, one of them takes over again and again,
 * and a stand-in grants as well: the cold endpoint gets no more than it bears.
 */
START_TEST(cold_limit_holds_for_two_dispatchers_and_a_standby)
{
	enum {
		POOLS = 3,
		SECONDS = 20
	};
	static int64_t at[POOLS * SECONDS * 1000 / STEP_MS * 4];
	GRand *rnd = g_rand_new_with_seed((guint32)_i);
	struct dl_usage usage = { .ran = true, .ttft_ms = 100 };
	struct dl_pool *pools[POOLS];
	uint64_t open[POOLS][64] = { { 0 } };
	uint32_t n = 0;

	open_pool(false);
	for (int p = 0; p < POOLS; p++) {
		pools[p] = p ? NULL : pool;
		if (p) {
			struct dl_pool_conf conf = engines;

			conf.kind = DL_POOL_PLAIN;
			conf.engine = (struct dl_engine_model){ 0 };
			pools[p] = dl_pool_new(&conf, &dl_policy_late_binding,
					       (uint64_t)p);
		}
	}
	for (int step = 0; step < SECONDS * 1000 / STEP_MS; step++) {
		now += STEP_MS;
		for (int p = 0; p < POOLS; p++) {
			struct dl_answer out;

			if (step % 100 == 0)
				report_cold(pools[p], 0, 1, COLD_MS);
			/* A takeover by a VM that knows nothing. */
			if (p == 1 && g_rand_int_range(rnd, 0, 60) == 0) {
				struct dl_pool_conf conf = engines;

				dl_pool_free(pools[p]);
				conf.kind = DL_POOL_PLAIN;
				conf.engine = (struct dl_engine_model){ 0 };
				pools[p] = dl_pool_new(&conf,
						       &dl_policy_late_binding,
						       g_rand_int(rnd));
				memset(open[p], 0, sizeof(open[p]));
				report_cold(pools[p], 0, 1, COLD_MS);
				dl_pool_start_dispatching(pools[p], now);
			}
			for (int k = 0; k < 64; k++) {
				if (open[p][k] && g_rand_boolean(rnd))
					dl_pool_release(pools[p], open[p][k],
							&usage, now);
				if (open[p][k] && g_rand_boolean(rnd))
					open[p][k] = 0;
			}
			struct dl_ask a = { .request = next_request++,
					    .entry = 1,
					    .workspace = DL_STR("sweeps"),
					    .class = DL_CLASS_INTERACTIVE,
					    .prompt_tokens = 1,
					    .deadline = now + 3000,
					    .standby = p == 2 };

			dl_pool_ask(pools[p], &a, now, &out);
			do {
				if (out.verdict != DL_GRANTED)
					continue;
				if (dl_name_eq(&out.endpoint[0],
					       DL_STR(LIMITED)))
					at[n++] = now;
				for (int k = 0; k < 64; k++) {
					if (open[p][k])
						continue;
					open[p][k] = out.grant;
					break;
				}
			} while (dl_pool_next(pools[p], now, &out));
		}
	}
	ck_assert_uint_ge(n, SECONDS * COLD_PER_S / 2);
	ck_assert_uint_le(most_a_second(at, n), COLD_PER_S * 3 / 2 + 5);
	for (int p = 1; p < POOLS; p++)
		dl_pool_free(pools[p]);
	g_rand_free(rnd);
}
END_TEST

START_TEST(limit_frame_round_trip)
{
	struct dl_limit_frame in = { .start = UINT64_MAX,
				     .limit = DL_UNLIMITED };
	struct dl_limit_frame out;
	struct dl_packer pk;
	struct dl_str body;

	dl_name_set(&in.service, DL_STR("writer"));
	dl_name_set(&in.endpoint, DL_STR(LIMITED));
	dl_limit_pack(&pk, &in);
	body = dl_packer_bytes(&pk);
	ck_assert_int_eq(dl_limit_read(body, &out), 0);
	ck_assert(dl_name_eq(&out.service, DL_STR("writer")));
	ck_assert(dl_name_eq(&out.endpoint, DL_STR(LIMITED)));
	ck_assert_uint_eq(out.start, in.start);
	ck_assert_uint_eq(out.limit, in.limit);
	for (size_t n = 0; n < body.n; n++)
		ck_assert(dl_limit_read((struct dl_str){ body.s, n }, &out));
	dl_packer_close(&pk);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("throttle");
	TCase *tc = tcase_create("throttle");

	/* For plain services and for engines. */
	tcase_add_loop_test(tc, endpoint_gets_its_limit_and_others_the_rest, 0,
			    2);
	tcase_add_loop_test(tc, requests_beyond_all_limits_are_refused, 0, 2);
	tcase_add_loop_test(tc, limit_ends_when_answers_omit_it, 0, 2);
	tcase_add_loop_test(tc, new_incarnation_has_no_limit, 0, 2);
	tcase_add_loop_test(tc, zero_limit_still_gets_occasional_requests, 0,
			    2);
	tcase_add_loop_test(tc, self_placing_entry_avoids_limited_endpoints, 0,
			    2);
	tcase_add_loop_test(tc, standby_uses_half_of_a_limit, 0, 2);
	tcase_add_test(tc, parts_of_prompts_count_as_requests);
	tcase_add_test(tc, grants_tell_whether_endpoint_is_limited);
	tcase_add_test(tc, iteration_returns_recent_limits_only);
	tcase_add_loop_test(tc, cold_endpoint_gets_its_limit_until_it_is_warm,
			    0, 2);
	tcase_add_loop_test(tc, later_report_does_not_end_the_cold_time, 0, 2);
	tcase_add_loop_test(tc, new_incarnation_is_cold_only_if_it_says_so, 0,
			    2);
	tcase_add_loop_test(tc, self_placing_entry_avoids_cold_endpoints, 0, 2);
	tcase_add_loop_test(
		tc, cold_limit_holds_for_two_dispatchers_and_a_standby, 1, 9);
	tcase_add_checked_fixture(tc, NULL, end);
	suite_add_tcase(suite, tc);
	tc = tcase_create("wire");
	tcase_add_test(tc, limit_frame_round_trip);
	suite_add_tcase(suite, tc);
	return suite_run(suite);
}
