/* Tests of what a process that stops admits; see coordination/stop.h. */
#include <string.h>

#include "coordination/stop.h"
#include "fake/suite.h"

#define LIMIT_MS 8000
/* What is left for answers on their way, and what a load balancer takes. */
#define MARGIN_MS   900
#define INFORMED_MS 2700
#define NEVER	    1000000
#define BEGAN_AT    50000

static const struct dl_overrun unknown;

/* A row: a request that arrives at_ms into the stop. */
struct row {
	const char *what;
	int64_t at_ms;
	uint32_t limit_ms;
	bool others_admit, waits;
	uint32_t expected_ms, longest_ms;
	int64_t deadline_ms; /* into the stop */
	bool admitted;
};

#define STOP LIMIT_MS, true, false
static const struct row rows[] = {
	{ "short, at once", 0, STOP, 300, 300, NEVER, true },
	{ "just in time", 0, STOP, LIMIT_MS - MARGIN_MS, 0, NEVER, true },
	{ "too long", 0, STOP, LIMIT_MS - MARGIN_MS + 1, 0, NEVER, false },
	{ "too long by now", 2000, STOP, 5200, 0, NEVER, false },
	{ "usually short", 0, STOP, 300, 60000, NEVER, true },
	{ "as callers come from elsewhere", INFORMED_MS - 1, STOP, 300, 300,
	  NEVER, true },
	{ "on a forecast, late", INFORMED_MS, STOP, 300, 300, NEVER, false },
	{ "bounded by its deadline, late", 5000, STOP, 300, 300, 7100, true },
	{ "the same, but it may be long", 5000, STOP, 300, 2101, 7100, false },
	{ "a deadline after the exit, late", 5000, STOP, 300, 300, 7101,
	  false },
	{ "a deadline before it, long", 0, STOP, 60000, 60000, 7100, true },
	{ "late, no other VM", 4000, LIMIT_MS, false, false, 3000, 3100, NEVER,
	  true },
	{ "late, no other VM, may be long", 4000, LIMIT_MS, false, false, 300,
	  3101, NEVER, false },
	{ "waits, and ends in time", 4000, LIMIT_MS, true, true, 3100, 60000,
	  NEVER, true },
	{ "waits for too long", 4000, LIMIT_MS, true, true, 3101, 0, NEVER,
	  false },
	{ "no limit", 60000, 0, true, false, 60000, 60000, NEVER, true },
};

START_TEST(row_of_the_table)
{
	const struct row *r = &rows[_i];
	struct dl_stop stop = { BEGAN_AT, r->limit_ms, r->others_admit };
	struct dl_stop_request req = { r->expected_ms, r->longest_ms,
				       BEGAN_AT + r->deadline_ms, 1, r->waits };

	ck_assert_msg(dl_stop_admits(&stop, &req, BEGAN_AT + r->at_ms) ==
			      r->admitted,
		      "%s", r->what);
}
END_TEST

static bool admits(const struct dl_overrun *o, uint32_t expected_ms)
{
	struct dl_stop stop = { BEGAN_AT, LIMIT_MS, true };
	struct dl_stop_request req = { expected_ms, expected_ms, NEVER,
				       dl_overrun_factor(o, BEGAN_AT), false };

	return dl_stop_admits(&stop, &req, BEGAN_AT);
}

/* Endpoints take ten times as long as the model says. */
START_TEST(slow_endpoints_break_the_forecast)
{
	struct dl_overrun o = unknown;

	for (int i = 0; i < 5; i++)
		dl_overrun_ended(&o, 500, 5000, true, BEGAN_AT - 1000);
	ck_assert(admits(&o, 710));
	ck_assert(!admits(&o, 711));
}
END_TEST

/* They have just become slow: none has ended, but those that run are late. */
START_TEST(running_requests_show_that_endpoints_are_slow)
{
	struct dl_overrun o = unknown;

	for (int i = 0; i < DL_OVERRUN_SAMPLES; i++)
		dl_overrun_ended(&o, 500, 400, true, BEGAN_AT - 10000);
	for (int i = 0; i < 8; i++)
		dl_overrun_running(&o, 500, 4000);
	ck_assert(!admits(&o, 900));
	dl_overrun_restart_running(&o);
	ck_assert(admits(&o, 900));
}
END_TEST

/* One stream in 30 is long: callers of the others are served. */
START_TEST(one_long_request_does_not_refuse_all)
{
	struct dl_overrun o = unknown;

	for (int i = 0; i < 60; i++)
		dl_overrun_ended(&o, 500, i % 30 ? 450 : 9000, true,
				 BEGAN_AT - 1000);
	ck_assert(admits(&o, 500));
	for (int i = 0; i < 20; i++)
		dl_overrun_ended(&o, 500, 9000, true, BEGAN_AT - 500);
	ck_assert(!admits(&o, 500));
}
END_TEST

START_TEST(old_and_broken_requests_tell_nothing)
{
	struct dl_overrun o = unknown;

	for (int i = 0; i < 5; i++)
		dl_overrun_ended(&o, 500, 9000, true, BEGAN_AT - 60001);
	ck_assert(admits(&o, 500));
	dl_overrun_ended(&o, 500, 20, false, BEGAN_AT);
	ck_assert(dl_overrun_factor(&o, BEGAN_AT) == 1);
	/* One that broke after it ran for too long tells that it is slow. */
	dl_overrun_ended(&o, 500, 9000, false, BEGAN_AT);
	ck_assert(!admits(&o, 500));
}
END_TEST

/* A service without an engine model. */
START_TEST(requests_of_which_nothing_is_expected_are_measured)
{
	struct dl_overrun o = unknown;

	ck_assert(admits(&o, 0));
	for (int i = 0; i < 5; i++)
		dl_overrun_ended(&o, 0, 7100, true, BEGAN_AT - 1000);
	ck_assert(admits(&o, 0));
	dl_overrun_running(&o, 0, 7101);
	ck_assert(!admits(&o, 0));
}
END_TEST

/* More requests run than are remembered. */
START_TEST(running_requests_beyond_the_samples_are_left_out)
{
	struct dl_overrun o = unknown;

	for (int i = 0; i < 1000; i++)
		dl_overrun_running(&o, 500, 1000);
	ck_assert_uint_eq(o.running_count, DL_OVERRUN_RUNNING);
	ck_assert(dl_overrun_factor(&o, BEGAN_AT) == 2);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("stop");
	TCase *tc = tcase_create("stop");

	suite_add_tcase(suite, tc);
	tcase_add_loop_test(tc, row_of_the_table, 0,
			    sizeof(rows) / sizeof(rows[0]));
	tcase_add_test(tc, slow_endpoints_break_the_forecast);
	tcase_add_test(tc, running_requests_show_that_endpoints_are_slow);
	tcase_add_test(tc, one_long_request_does_not_refuse_all);
	tcase_add_test(tc, old_and_broken_requests_tell_nothing);
	tcase_add_test(tc, requests_of_which_nothing_is_expected_are_measured);
	tcase_add_test(tc, running_requests_beyond_the_samples_are_left_out);
	return suite_run(suite);
}
