/*
 * Timers for the silence of a peer: one that is late fires after the next round
 * of reading, and fires in the end where each round is late.
 */
#include <check.h>
#include <stdlib.h>
#include <unistd.h>

#include "fake/suite.h"
#include "transport/late_timer.h"

#define PAUSE_MS (4 * DL_TIMER_LATE_MS)

static uv_loop_t loop;
static uv_timer_t timer;
static uv_check_t after_reading;
static uint64_t due;
static int rounds;    /* of reading */
static int put_off;   /* times that the timer was */
static int fired_in;  /* after so many rounds */
static int pause_all; /* each round is late, not the first alone */

static void on_timer(uv_timer_t *t)
{
	if (dl_timer_put_off(t, on_timer, &due)) {
		put_off++;
		return;
	}
	fired_in = rounds;
	uv_stop(&loop);
}

static void on_round(uv_check_t *check)
{
	if (rounds++ == 0 || pause_all)
		usleep(PAUSE_MS * 1000);
}

static void run(bool all_late)
{
	pause_all = all_late;
	uv_loop_init(&loop);
	uv_timer_init(&loop, &timer);
	uv_check_init(&loop, &after_reading);
	uv_check_start(&after_reading, on_round);
	/* The first round is over before the timer is due. */
	dl_timer_once(&timer, on_timer, PAUSE_MS / 2, &due);
	uv_run(&loop, UV_RUN_DEFAULT);
}

START_TEST(late_timer_fires_after_reading)
{
	run(false);
	ck_assert_int_eq(put_off, 1);
	ck_assert_int_eq(fired_in, 2);
}
END_TEST

START_TEST(timer_that_is_always_late_fires)
{
	run(true);
	ck_assert_int_eq(put_off, 1);
	ck_assert_int_eq(fired_in, 2);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("late_timer");
	TCase *t = tcase_create("late_timer");

	suite_add_tcase(s, t);
	tcase_add_test(t, late_timer_fires_after_reading);
	tcase_add_test(t, timer_that_is_always_late_fires);
	return suite_run(s);
}
