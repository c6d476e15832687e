/*
 * An unreachable endpoint must not be used again, for any caller, until its
 * next report, or for a second if it was only silent.  It would otherwise look
 * the least loaded and attract every request.
 */
#include <check.h>
#include <stdio.h>
#include <stdlib.h>

#include "daisyledge/pool.h"
#include "fake/suite.h"

#define ENDPOINTS 3
#define REQUESTS  60

static const struct dl_pool_conf conf = {
	.kind = DL_POOL_MODEL,
	.queue_entries_max = 100,
	.queue_tokens_max = 10000000,
	.long_tokens = 100000,
	.long_share_permille = 500,
	.out_share_permille = 300,
	.grant_lease_ms = 10000,
	.report_gone_ms = 5000,
	.weight_default = 1,
};

static struct dl_endpoint_report report_of(int i)
{
	struct dl_endpoint_report r = { .incarnation = 1,
					.memory_tokens = 400000,
					.slots = 8,
					.prefill_rate = 400000,
					.decode_rate = 200 };
	char id[24];

	snprintf(id, sizeof(id), "127.0.0.%d:9000", i + 1);
	dl_name_set(&r.id, dl_str_of(id));
	return r;
}

static struct dl_ask ask_of(uint64_t request, int64_t now)
{
	return (struct dl_ask){ .request = request,
				.entry = 1,
				.workspace = DL_STR("w"),
				.class = DL_CLASS_INTERACTIVE,
				.prompt_tokens = 1000,
				.output_tokens = 10,
				.deadline = now + 5000 };
}

/* Sequential requests; the first endpoint refuses connections. */
static int refused_connects(struct dl_pool *pool, uint64_t *request,
			    int64_t *now)
{
	int refused = 0;

	for (int i = 0; i < REQUESTS; i++) {
		struct dl_ask ask = ask_of(++*request, ++*now);
		struct dl_usage usage = { .ran = true,
					  .ttft_ms = 4,
					  .total_ms = 50,
					  .prompt_tokens = 1000,
					  .output_tokens = 10 };
		struct dl_answer a;

		dl_pool_ask(pool, &ask, *now, &a);
		ck_assert_int_eq(a.verdict, DL_GRANTED);
		if (dl_name_eq(&a.endpoint[0], DL_STR("127.0.0.1:9000"))) {
			usage = (struct dl_usage){ .failed = true,
						   .unreachable = true };
			refused++;
		}
		ck_assert_int_eq(dl_pool_release(pool, a.grant, &usage, *now),
				 0);
		ck_assert_ptr_null(dl_pool_check_invariants(pool));
	}
	return refused;
}

START_TEST(unreachable_endpoint_is_granted_once)
{
	struct dl_pool *pool = dl_pool_new(&conf, &dl_policy_late_binding, 7);
	struct dl_endpoint_report r;
	uint64_t request = 0;
	int64_t now = 0;

	for (int i = 0; i < ENDPOINTS; i++) {
		r = report_of(i);
		ck_assert_int_eq(dl_pool_report(pool, &r, 0), 0);
	}
	ck_assert_int_le(refused_connects(pool, &request, &now), 1);
	ck_assert_int_eq(refused_connects(pool, &request, &now), 0);
	/* After a report it is used again, and found unreachable at once. */
	r = report_of(0);
	ck_assert_int_eq(dl_pool_report(pool, &r, now), 0);
	ck_assert_int_le(refused_connects(pool, &request, &now), 1);
	dl_pool_free(pool);
}
END_TEST

/* Releases one grant of the first endpoint with this usage. */
static void release_with(struct dl_pool *pool, uint64_t request, int64_t now,
			 const struct dl_usage *usage)
{
	struct dl_ask ask = ask_of(request, now);
	struct dl_answer a;

	/* The others are excluded. */
	ask.tried = 2;
	dl_name_set(&ask.tried_ids[0], DL_STR("127.0.0.2:9000"));
	dl_name_set(&ask.tried_ids[1], DL_STR("127.0.0.3:9000"));
	dl_pool_ask(pool, &ask, now, &a);
	ck_assert_int_eq(a.verdict, DL_GRANTED);
	ck_assert(dl_name_eq(&a.endpoint[0], DL_STR("127.0.0.1:9000")));
	ck_assert_int_eq(dl_pool_release(pool, a.grant, usage, now), 0);
	ck_assert_ptr_null(dl_pool_check_invariants(pool));
}

static uint32_t open_endpoints(struct dl_pool *pool, int64_t now)
{
	struct dl_pool_summary s;
	struct dl_answer a;

	while (dl_pool_next(pool, now, &a))
		;
	dl_pool_summarize(pool, now, &s);
	return s.endpoints;
}

static struct dl_pool *pool_of_three(void)
{
	struct dl_pool *pool = dl_pool_new(&conf, &dl_policy_late_binding, 7);

	for (int i = 0; i < ENDPOINTS; i++) {
		struct dl_endpoint_report r = report_of(i);

		ck_assert_int_eq(dl_pool_report(pool, &r, 0), 0);
	}
	return pool;
}

/* An endpoint that stalls for a second goes on without a report, too. */
START_TEST(endpoint_that_was_silent_is_tried_again_after_a_second)
{
	const struct dl_usage silent = { .unreachable = true, .silent = true };
	struct dl_pool *pool = pool_of_three();

	release_with(pool, 1, 100, &silent);
	ck_assert_uint_eq(open_endpoints(pool, 101), ENDPOINTS - 1);
	ck_assert_uint_eq(open_endpoints(pool, 900), ENDPOINTS - 1);
	ck_assert_uint_eq(open_endpoints(pool, 1100), ENDPOINTS);
	/* A report ends it as well. */
	release_with(pool, 2, 1200, &silent);
	ck_assert_uint_eq(open_endpoints(pool, 1201), ENDPOINTS - 1);
	{
		struct dl_endpoint_report r = report_of(0);

		ck_assert_int_eq(dl_pool_report(pool, &r, 1300), 0);
	}
	ck_assert_uint_eq(open_endpoints(pool, 1301), ENDPOINTS);
	dl_pool_free(pool);
}
END_TEST

/*
 * Attempts that broke say nothing about their endpoint until it is known that
 * not the links of their VM are at fault.
 */
START_TEST(endpoint_is_not_ejected_for_attempts_that_broke_unjudged)
{
	const struct dl_usage broken = { .ran = true, .unjudged = true };
	struct dl_pool *pool = pool_of_three();

	for (uint64_t i = 1; i <= 20; i++)
		release_with(pool, i, 100 + (int64_t)i, &broken);
	ck_assert_uint_eq(open_endpoints(pool, 200), ENDPOINTS);
	dl_pool_free(pool);
}
END_TEST

START_TEST(endpoint_is_ejected_for_attempts_found_to_be_its_fault)
{
	const struct dl_usage broken = { .ran = true, .unjudged = true };
	struct dl_pool *pool = pool_of_three();

	for (uint64_t i = 1; i <= 3; i++)
		release_with(pool, i, 100 + (int64_t)i, &broken);
	dl_pool_endpoint_failed(pool, DL_STR("127.0.0.1:9000"), 2, 110);
	ck_assert_uint_eq(open_endpoints(pool, 111), ENDPOINTS);
	dl_pool_endpoint_failed(pool, DL_STR("127.0.0.1:9000"), 1, 112);
	ck_assert_uint_eq(open_endpoints(pool, 113), ENDPOINTS - 1);
	dl_pool_endpoint_failed(pool, DL_STR("127.0.0.9:9000"), 9, 114);
	ck_assert_ptr_null(dl_pool_check_invariants(pool));
	dl_pool_free(pool);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("pool_reach");
	TCase *t = tcase_create("pool_reach");

	suite_add_tcase(s, t);
	tcase_add_test(t, unreachable_endpoint_is_granted_once);
	tcase_add_test(t,
		       endpoint_that_was_silent_is_tried_again_after_a_second);
	tcase_add_test(
		t, endpoint_is_not_ejected_for_attempts_that_broke_unjudged);
	tcase_add_test(t,
		       endpoint_is_ejected_for_attempts_found_to_be_its_fault);
	return suite_run(s);
}
