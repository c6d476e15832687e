/*
 * When a grant request goes to a second VM.  Too early, and merely slow
 * dispatchers get twice the load; too late, and short streams lose the time
 * that they have.
 */
#include <check.h>

#include "coordination/ask_timer.h"
#include "fake/suite.h"

#define TICK_MS	 20
#define VM	 7
#define OTHER_VM 8

static struct dl_ask_timer t;

static void setup(void)
{
	dl_ask_timer_init(&t);
}

static void add(uint32_t n, int64_t ms)
{
	while (n--)
		dl_ask_timer_add_answer(&t, ms);
}

struct delay_case {
	uint32_t n;
	int64_t ms;
	uint32_t slow_n;
	int64_t slow_ms;
	uint32_t delay_ms;
};

static const struct delay_case delays[] = {
	{ 0, 0, 0, 0, 60 }, /* nothing known */
	{ 19, 5, 0, 0, 60 },
	{ 20, 5, 0, 0, 40 }, /* the least delay */
	{ 20, 0, 0, 0, 40 },
	{ 20, 21, 0, 0, 42 },
	{ 128, 30, 0, 0, 60 },
	{ 127, 2, 1, 170, 40 }, /* one in 128 is above the percentile */
	{ 126, 2, 2, 70, 140 }, /* two are not */
	{ 98, 2, 1, 70, 140 },	/* the highest of less than 100 answers */
	{ 99, 2, 1, 70, 40 },
	{ 20, 120, 0, 0, 180 },	 /* at most as before */
	{ 20, 5000, 0, 0, 180 }, /* answers after the timeout count as it */
	{ 20, -3, 0, 0, 40 },
	{ 128, 170, 128, 3, 40 },  /* older answers are forgotten */
	{ 1000, 170, 127, 3, 40 }, /* but for one */
	{ 1000, 170, 126, 3, 180 },
};

START_TEST(delay_follows_answers)
{
	const struct delay_case *d = &delays[_i];

	add(d->n, d->ms);
	add(d->slow_n, d->slow_ms);
	ck_assert_uint_eq(dl_ask_timer_delay_ms(&t), d->delay_ms);
}
END_TEST

/* 10,000 answers of one length, then others: counts must not wrap. */
START_TEST(long_series_keeps_the_last_answers_only)
{
	add(10000, 90);
	ck_assert_uint_eq(dl_ask_timer_delay_ms(&t), 180);
	add(128, 1);
	ck_assert_uint_eq(dl_ask_timer_delay_ms(&t), 40);
	for (uint32_t ms = 0; ms <= DL_ASK_TIMEOUT_MS; ms++)
		ck_assert_uint_eq(t.count[ms], ms == 1 ? DL_ASK_ANSWERS : 0);
}
END_TEST

START_TEST(one_of_ten_requests_is_hedged)
{
	uint32_t hedged = 0;

	for (int i = 0; i < 5; i++)
		ck_assert(dl_ask_timer_take_token(&t));
	ck_assert(!dl_ask_timer_take_token(&t));
	for (int i = 0; i < 1000; i++) {
		dl_ask_timer_sent(&t);
		hedged += dl_ask_timer_take_token(&t);
	}
	ck_assert_uint_eq(hedged, 100);
}
END_TEST

START_TEST(five_tokens_are_saved_up)
{
	for (int i = 0; i < 1000; i++)
		dl_ask_timer_sent(&t);
	for (int i = 0; i < 5; i++)
		ck_assert(dl_ask_timer_take_token(&t));
	ck_assert(!dl_ask_timer_take_token(&t));
	for (int i = 0; i < 9; i++)
		dl_ask_timer_sent(&t);
	ck_assert(!dl_ask_timer_take_token(&t));
}
END_TEST

START_TEST(any_answer_ends_overdue)
{
	ck_assert(!dl_ask_timer_is_overdue(&t, VM));
	ck_assert(dl_ask_timer_add_overdue(&t, VM, 1, 1000));
	ck_assert(!dl_ask_timer_add_overdue(&t, VM, 2, 1010));
	ck_assert(dl_ask_timer_is_overdue(&t, VM));
	ck_assert(!dl_ask_timer_is_overdue(&t, OTHER_VM));
	ck_assert_int_eq(dl_ask_timer_answered(&t, OTHER_VM, 1), 0);
	ck_assert(dl_ask_timer_is_overdue(&t, VM));
	/* The answer to another request says nothing about how long it took. */
	ck_assert_int_eq(dl_ask_timer_answered(&t, VM, 2), 0);
	ck_assert(!dl_ask_timer_is_overdue(&t, VM));
	dl_ask_timer_add_overdue(&t, VM, 3, 1020);
	ck_assert_int_eq(dl_ask_timer_answered(&t, VM, 3), 1020);
	ck_assert(!dl_ask_timer_is_overdue(&t, VM));
}
END_TEST

START_TEST(first_hedge_of_a_series_is_logged)
{
	ck_assert(!dl_ask_timer_first_hedge(&t, VM));
	dl_ask_timer_add_overdue(&t, VM, 1, 1000);
	ck_assert(dl_ask_timer_first_hedge(&t, VM));
	ck_assert(!dl_ask_timer_first_hedge(&t, VM));
	dl_ask_timer_answered(&t, VM, 1);
	dl_ask_timer_add_overdue(&t, VM, 2, 1100);
	ck_assert(dl_ask_timer_first_hedge(&t, VM));
}
END_TEST

START_TEST(vm_is_lost_after_the_timeout_only)
{
	dl_ask_timer_add_overdue(&t, VM, 1, 1000);
	dl_ask_timer_add_overdue(&t, OTHER_VM, 2, 1100);
	ck_assert_uint_eq(dl_ask_timer_lost(&t, 1180), DL_VM_NONE);
	ck_assert_uint_eq(dl_ask_timer_lost(&t, 1181), VM);
	dl_ask_timer_forget(&t, VM);
	ck_assert_uint_eq(dl_ask_timer_lost(&t, 1181), DL_VM_NONE);
	ck_assert(dl_ask_timer_is_overdue(&t, OTHER_VM));
	ck_assert_uint_eq(dl_ask_timer_lost(&t, 1281), OTHER_VM);
}
END_TEST

START_TEST(table_of_overdue_vms_is_bounded)
{
	for (uint64_t vm = 1; vm <= DL_ASK_OVERDUE_MAX; vm++)
		ck_assert(dl_ask_timer_add_overdue(&t, vm, vm, 1000));
	ck_assert(!dl_ask_timer_add_overdue(&t, 1000, 1, 1000));
	dl_ask_timer_forget(&t, 1);
	ck_assert(dl_ask_timer_add_overdue(&t, 1000, 1, 1000));
	for (uint64_t vm = 2; vm <= DL_ASK_OVERDUE_MAX; vm++)
		ck_assert(dl_ask_timer_is_overdue(&t, vm));
}
END_TEST

/* A VM that was stalled itself must not blame the dispatchers for it. */
START_TEST(stall_of_this_vm_makes_nothing_late)
{
	dl_ask_timer_tick(&t, 1000, TICK_MS);
	dl_ask_timer_add_overdue(&t, VM, 1, 1000);
	ck_assert(!dl_ask_timer_is_late(&t, 1000, 1059));
	ck_assert(dl_ask_timer_is_late(&t, 1000, 1060));
	dl_ask_timer_tick(&t, 1400, TICK_MS);
	ck_assert(!dl_ask_timer_is_late(&t, 1000, 1400));
	ck_assert_uint_eq(dl_ask_timer_lost(&t, 1400), DL_VM_NONE);
	dl_ask_timer_tick(&t, 1440, TICK_MS);
	ck_assert(dl_ask_timer_is_late(&t, 1000, 1440));
	ck_assert_uint_eq(dl_ask_timer_lost(&t, 1440), VM);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("ask_timer");
	TCase *tc = tcase_create("ask_timer");

	tcase_add_checked_fixture(tc, setup, NULL);
	tcase_add_loop_test(tc, delay_follows_answers, 0,
			    sizeof(delays) / sizeof(delays[0]));
	tcase_add_test(tc, long_series_keeps_the_last_answers_only);
	tcase_add_test(tc, one_of_ten_requests_is_hedged);
	tcase_add_test(tc, five_tokens_are_saved_up);
	tcase_add_test(tc, any_answer_ends_overdue);
	tcase_add_test(tc, first_hedge_of_a_series_is_logged);
	tcase_add_test(tc, vm_is_lost_after_the_timeout_only);
	tcase_add_test(tc, table_of_overdue_vms_is_bounded);
	tcase_add_test(tc, stall_of_this_vm_makes_nothing_late);
	suite_add_tcase(s, tc);
	return suite_run(s);
}
