/*
 * The forecast of the mix of prompts.  Guards against streams that are spread
 * while heavy prompts need free engines, engines that are handed over after a
 * wave began, and decisions from too little history.
 */
#include <check.h>
#include <math.h>

#include "coordination/pool_mix.h"
#include "daisyledge/pool.h"
#include "fake/suite.h"

#define HORIZON 2000
#define ENGINES 54
#define DOMAIN	1
#define OTHER	2

static struct pool_mix mix;

/* Requests heavy work at a constant rate, a request every 10 ms. */
static void request_heavy(int64_t from, int64_t to, double engines)
{
	for (int64_t t = from; t < to; t += 10)
		pool_mix_add_heavy(&mix, engines * 10, t);
}

static void request_light(uint64_t domain, int64_t from, int64_t to,
			  double streams)
{
	for (int64_t t = from; t < to; t += 10)
		pool_mix_add_light(&mix, domain, streams * 10, t);
}

static void begin(void)
{
	mix = (struct pool_mix){ 0 };
}

static void is_near(double value, double expected)
{
	ck_assert_msg(fabs(value - expected) <= 0.05 * expected + 0.05,
		      "%f, expected %f", value, expected);
}

/* A level that the time before the first request would lower. */
START_TEST(steady_load_is_its_own_forecast)
{
	request_heavy(1000, 4000, 10);
	is_near(pool_mix_heavy(&mix, HORIZON, 4000), 10);
	request_heavy(4000, 60000, 10);
	is_near(pool_mix_heavy(&mix, HORIZON, 60000), 10);
	is_near(pool_mix_heavy(&mix, 0, 60000), 10);
}
END_TEST

/* A wave that is seen only when it has arrived. */
START_TEST(ramp_is_forecast_at_the_horizon)
{
	request_heavy(0, 40000, 10);
	for (int64_t t = 40000; t < 50000; t += 10)
		pool_mix_add_heavy(
			&mix, 10 * (10 + 2 * (double)(t - 40000) / 1000), t);
	/* The level is 30 now; the slow mean lags behind a new ramp. */
	ck_assert_double_gt(pool_mix_heavy(&mix, HORIZON, 50000), 31);
	ck_assert_double_lt(pool_mix_heavy(&mix, HORIZON, 50000), 36);
}
END_TEST

START_TEST(forecast_is_never_negative)
{
	request_heavy(0, 30000, 40);
	for (int64_t t = 30000; t < 120000; t += 100)
		ck_assert_double_ge(pool_mix_heavy(&mix, 10000, t), 0);
	ck_assert_double_eq(pool_mix_heavy(&mix, 10000, 34000), 0);
}
END_TEST

/* A gap in a wave of heavy prompts that gives their engines away. */
START_TEST(decline_is_followed_after_three_seconds)
{
	request_heavy(0, 10000, 10);
	ck_assert_double_eq(pool_mix_streams(&mix, ENGINES, HORIZON, 10000),
			    POOL_MIX_STREAMS_MAX);
	for (int64_t t = 10000; t < 13000; t += 100)
		ck_assert_double_eq(pool_mix_streams(&mix, ENGINES, HORIZON, t),
				    POOL_MIX_STREAMS_MAX);
	for (int64_t t = 13000; t <= 20000; t += 100)
		pool_mix_streams(&mix, ENGINES, HORIZON, t);
	ck_assert_double_lt(pool_mix_streams(&mix, ENGINES, HORIZON, 20000),
			    0.5);
}
END_TEST

START_TEST(growth_is_followed_at_once)
{
	request_light(DOMAIN, 0, 10000, 50);
	ck_assert_double_eq(pool_mix_streams(&mix, ENGINES, HORIZON, 10000), 0);
	request_heavy(10000, 10500, 10);
	ck_assert_double_eq(pool_mix_streams(&mix, ENGINES, HORIZON, 10500),
			    POOL_MIX_STREAMS_MAX);
}
END_TEST

START_TEST(new_dispatcher_uses_the_constants)
{
	struct pool_mix_room room = { DOMAIN, 12, 24 };

	ck_assert_double_eq(pool_mix_streams(&mix, ENGINES, HORIZON, 5000),
			    POOL_MIX_STREAMS_MAX);
	request_light(DOMAIN, 5000, 6990, 500);
	ck_assert_double_eq(pool_mix_streams(&mix, ENGINES, HORIZON, 6990),
			    POOL_MIX_STREAMS_MAX);
	ck_assert_double_eq(pool_mix_remote_share(&mix, &room, HORIZON, 6990),
			    1);
	ck_assert_double_lt(pool_mix_streams(&mix, ENGINES, HORIZON, 7000),
			    POOL_MIX_STREAMS_MAX);
	ck_assert_double_lt(pool_mix_remote_share(&mix, &room, HORIZON, 7000),
			    1);
}
END_TEST

START_TEST(off_and_empty_pools_use_the_constants)
{
	struct pool_mix_room room = { DOMAIN, 12, 24 };

	request_light(DOMAIN, 0, 10000, 500);
	ck_assert_double_eq(pool_mix_streams(&mix, ENGINES, 0, 10000),
			    POOL_MIX_STREAMS_MAX);
	ck_assert_double_eq(pool_mix_streams(&mix, 0, HORIZON, 10000),
			    POOL_MIX_STREAMS_MAX);
	ck_assert_double_eq(pool_mix_remote_share(&mix, &room, 0, 10000), 1);
}
END_TEST

START_TEST(idle_pool_forecasts_nothing)
{
	request_light(DOMAIN, 0, 10000, 500);
	request_heavy(0, 10000, 5);
	is_near(pool_mix_light(&mix, DOMAIN, HORIZON, 200000), 0);
	is_near(pool_mix_heavy(&mix, HORIZON, 200000), 0);
}
END_TEST

/* Sizes that a caller claims must not make the forecast useless. */
START_TEST(work_of_a_request_is_bounded)
{
	request_heavy(0, 10000, 1);
	pool_mix_add_heavy(&mix, INFINITY, 10000);
	pool_mix_add_heavy(&mix, NAN, 10000);
	pool_mix_add_heavy(&mix, -5, 10000);
	ck_assert(isfinite(pool_mix_heavy(&mix, HORIZON, 10000)));
	is_near(pool_mix_heavy(&mix, HORIZON, 150000), 0);
}
END_TEST

/* The clock of a pool may stand still between requests. */
START_TEST(requests_at_one_time_give_a_finite_forecast)
{
	for (int i = 0; i < 100; i++)
		pool_mix_add_heavy(&mix, 100, 0);
	ck_assert(isfinite(pool_mix_heavy(&mix, HORIZON, 0)));
}
END_TEST

START_TEST(failure_domains_are_counted_apart)
{
	request_light(DOMAIN, 0, 10000, 100);
	request_light(OTHER, 0, 10000, 20);
	is_near(pool_mix_light(&mix, DOMAIN, HORIZON, 10000), 100);
	is_near(pool_mix_light(&mix, OTHER, HORIZON, 10000), 20);
	is_near(pool_mix_light(&mix, 3, HORIZON, 10000), 0);
}
END_TEST

START_TEST(domains_beyond_the_bound_are_not_counted)
{
	for (uint64_t d = 1; d <= POOL_MIX_DOMAINS + 1; d++)
		request_light(d, 0, 3000, 10);
	ck_assert_uint_eq(mix.domains, POOL_MIX_DOMAINS);
	is_near(pool_mix_light(&mix, POOL_MIX_DOMAINS, HORIZON, 3000), 10);
	is_near(pool_mix_light(&mix, POOL_MIX_DOMAINS + 1, HORIZON, 3000), 0);
}
END_TEST

/* The preference shrinks with the excess, and only if others have room. */
START_TEST(full_domain_prefers_itself_less)
{
	struct pool_mix_room room = { DOMAIN, 100, 200 };

	request_light(DOMAIN, 0, 10000, 70);
	request_light(OTHER, 0, 10000, 50);
	ck_assert_double_eq(pool_mix_remote_share(&mix, &room, HORIZON, 10000),
			    1);
	room.own_slots = 50;
	is_near(pool_mix_remote_share(&mix, &room, HORIZON, 10000), 37.5 / 70);
	room.own_slots = 2;
	ck_assert_double_eq(pool_mix_remote_share(&mix, &room, HORIZON, 10000),
			    0.25);
	room.other_slots = 60;
	ck_assert_double_eq(pool_mix_remote_share(&mix, &room, HORIZON, 10000),
			    1);
}
END_TEST

/* A pool of one engine that has been dispatching for 2 s. */
static struct dl_pool *new_pool(void)
{
	struct dl_pool_conf conf = {
		.kind = DL_POOL_MODEL,
		.queue_entries_max = 10,
		.queue_tokens_max = 100000000,
		.grant_lease_ms = 60000,
		.report_gone_ms = 60000,
		.weight_default = 1,
		.mix_horizon_ms = HORIZON,
		.engine = { .slots = 12,
			    .memory_tokens = 400000,
			    .stride = 52,
			    .step_ms = 0.925,
			    .read_per_ms = 256,
			    .per_pairs_ms = 0.0917,
			    .usual_output = 1600 },
	};
	struct dl_endpoint_report r = { .incarnation = 1,
					.memory_tokens = 400000,
					.slots = 12,
					.prefill_rate = 256000,
					.decode_rate = 1000,
					.takes_groups = true };
	struct dl_pool *pool = dl_pool_new(&conf, &dl_policy_engine, 1);

	dl_name_set(&r.id, dl_str_of("10.0.0.1:80"));
	ck_assert_int_eq(dl_pool_report(pool, &r, 0), 0);
	return pool;
}

static enum dl_verdict ask(struct dl_pool *pool, uint64_t request,
			   uint64_t prompt, uint8_t tried, int64_t now)
{
	struct dl_ask a = { .request = request,
			    .entry = 1,
			    .workspace = dl_str_of("w"),
			    .class = DL_CLASS_INTERACTIVE,
			    .prompt_tokens = prompt,
			    .output_tokens = 1000,
			    .deadline = now + 30000,
			    .target_ms = 1500,
			    .tried = tried };
	struct dl_answer out;

	if (tried)
		dl_name_set(&a.tried_ids[0], dl_str_of("10.0.0.9:80"));
	dl_pool_ask(pool, &a, now, &out);
	return out.verdict;
}

static uint32_t long_permille(struct dl_pool *pool, int64_t now)
{
	struct dl_pool_summary s;

	dl_pool_summarize(pool, now, &s);
	return s.mix_long_permille;
}

/* Asks that are repeated after a lost answer, and attempts after a failure. */
START_TEST(request_counts_only_once)
{
	struct dl_pool *pool = new_pool();
	uint32_t counted;

	ask(pool, 1, 45000, 0, 1000);
	counted = long_permille(pool, 3000);
	ck_assert_uint_gt(counted, 0);
	ask(pool, 1, 45000, 0, 1000);
	ck_assert_uint_eq(long_permille(pool, 3000), counted);
	ask(pool, 2, 45000, 1, 1000);
	ck_assert_uint_eq(long_permille(pool, 3000), counted);
	ask(pool, 3, 45000, 0, 1000);
	ck_assert_uint_gt(long_permille(pool, 3000), counted);
	dl_pool_free(pool);
}
END_TEST

/* Demand that is refused at once is demand all the same. */
START_TEST(refused_request_counts)
{
	struct dl_pool *pool = new_pool();

	ck_assert_int_eq(ask(pool, 1, 390000, 0, 1000), DL_REFUSED);
	ck_assert_uint_gt(long_permille(pool, 3000), 0);
	dl_pool_free(pool);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("pool_mix");
	TCase *t = tcase_create("pool_mix");

	suite_add_tcase(s, t);
	tcase_add_checked_fixture(t, begin, NULL);
	tcase_add_test(t, steady_load_is_its_own_forecast);
	tcase_add_test(t, ramp_is_forecast_at_the_horizon);
	tcase_add_test(t, forecast_is_never_negative);
	tcase_add_test(t, decline_is_followed_after_three_seconds);
	tcase_add_test(t, growth_is_followed_at_once);
	tcase_add_test(t, new_dispatcher_uses_the_constants);
	tcase_add_test(t, off_and_empty_pools_use_the_constants);
	tcase_add_test(t, idle_pool_forecasts_nothing);
	tcase_add_test(t, work_of_a_request_is_bounded);
	tcase_add_test(t, requests_at_one_time_give_a_finite_forecast);
	tcase_add_test(t, failure_domains_are_counted_apart);
	tcase_add_test(t, domains_beyond_the_bound_are_not_counted);
	tcase_add_test(t, full_domain_prefers_itself_less);
	tcase_add_test(t, request_counts_only_once);
	tcase_add_test(t, refused_request_counts);
	return suite_run(s);
}
