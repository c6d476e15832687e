/*
 * Endpoints that have asked a VM to wait: what that VM and the others are
 * granted meanwhile, and what those are told that cannot be served.
 */
#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "daisyledge/backoff.h"
#include "daisyledge/pool.h"
#include "fake/published_engine.h"
#include "fake/suite.h"

#define ENDPOINTS 4
#define BUSY	  "10.0.0.1:80"
#define STEP_MS	  10
#define WAIT_MS	  3000
#define LEASE_MS  60000
#define SLOTS	  2
#define LONG	  100000 /* tokens: read by several engines */

static struct dl_pool *pool;
static int64_t now;
static uint64_t next_request;

static void report(int endpoint, uint64_t incarnation)
{
	struct dl_endpoint_report r = { .incarnation = incarnation,
					.memory_tokens = 315000,
					.slots = SLOTS,
					.takes_groups = true };
	char id[32];

	snprintf(id, sizeof(id), "10.0.0.%d:80", endpoint + 1);
	dl_name_set(&r.id, dl_str_of(id));
	ck_assert_int_eq(dl_pool_report(pool, &r, now), 0);
}

static void open_pool(bool model)
{
	struct dl_pool_conf conf = {
		.kind = model ? DL_POOL_MODEL : DL_POOL_PLAIN,
		.queue_entries_max = 1000,
		.queue_tokens_max = 100000000,
		.out_share_permille = 300,
		.grant_lease_ms = LEASE_MS,
		.report_gone_ms = LEASE_MS,
		.weight_default = 1,
		.engine = { PUBLISHED_ENGINE, .hop_ms = 1 },
	};

	now = 1000;
	next_request = 1;
	if (!model)
		conf.engine = (struct dl_engine_model){ 0 };
	pool = dl_pool_new(
		&conf, model ? &dl_policy_engine : &dl_policy_late_binding, 42);
	for (int i = 0; i < ENDPOINTS; i++)
		report(i, 1);
}

static void end(void)
{
	ck_assert_ptr_null(dl_pool_broken(pool));
	dl_pool_free(pool);
}

/* What a VM is told that asks for a place. */
static struct dl_answer ask(uint64_t vm, uint64_t prompt)
{
	struct dl_ask a = { .request = next_request++,
			    .entry = vm,
			    .workspace = DL_STR("sweeps"),
			    .class = DL_CLASS_INTERACTIVE,
			    .prompt_tokens = prompt,
			    .output_tokens = 200,
			    .deadline = now + 9000,
			    .target_ms = prompt < LONG ? 300 : 4000,
			    .gap_ms = prompt < LONG ? 250 : 800 };
	struct dl_answer out;

	dl_pool_ask(pool, &a, now, &out);
	return out;
}

static bool is_at(const struct dl_answer *a, const char *endpoint)
{
	for (uint8_t i = 0; i < a->endpoints; i++) {
		if (dl_name_eq(&a->endpoint[i], dl_str_of(endpoint)))
			return true;
	}
	return false;
}

/* Give a grant back; one of its endpoints asked the VM to wait so long. */
static void turned_away(const struct dl_answer *a, const char *endpoint,
			uint32_t ms)
{
	struct dl_usage usage = { .wait_ms = ms };

	dl_name_set(&usage.asked_to_wait, dl_str_of(endpoint));
	ck_assert_int_eq(dl_pool_release(pool, a->grant, &usage, now), 0);
}

static void done(const struct dl_answer *a)
{
	struct dl_usage usage = { .ran = true, .ttft_ms = 20, .total_ms = 40 };

	ck_assert_int_eq(dl_pool_release(pool, a->grant, &usage, now), 0);
}

/* An endpoint asks a VM to wait, as soon as it is granted to it. */
static void ask_to_wait(uint64_t vm, const char *endpoint, uint32_t ms)
{
	struct dl_answer a = { 0 };

	for (int i = 0; i < 100; i++) {
		a = ask(vm, 5000);
		ck_assert_int_eq(a.verdict, DL_GRANTED);
		if (is_at(&a, endpoint)) {
			turned_away(&a, endpoint, ms);
			return;
		}
		now += STEP_MS;
		done(&a);
	}
	ck_abort_msg("%s is not granted", endpoint);
}

static uint32_t granted_at(uint64_t vm, const char *endpoint, int64_t ms)
{
	uint32_t n = 0;

	for (int64_t until = now + ms; now < until; now += STEP_MS) {
		struct dl_answer a = ask(vm, 5000);

		ck_assert_int_eq(a.verdict, DL_GRANTED);
		n += is_at(&a, endpoint);
		done(&a);
	}
	return n;
}

START_TEST(a_vm_that_was_asked_to_wait_is_served_by_others)
{
	open_pool(_i);
	ask_to_wait(7, BUSY, WAIT_MS);
	ck_assert_uint_eq(granted_at(7, BUSY, WAIT_MS - STEP_MS), 0);
	ck_assert_uint_gt(granted_at(7, BUSY, 2000), 0);
}
END_TEST

START_TEST(other_vms_were_not_asked_to_wait)
{
	open_pool(_i);
	ask_to_wait(7, BUSY, WAIT_MS);
	ck_assert_uint_gt(granted_at(8, BUSY, WAIT_MS - STEP_MS), 0);
}
END_TEST

START_TEST(a_new_start_has_asked_nobody)
{
	open_pool(_i);
	ask_to_wait(7, BUSY, WAIT_MS);
	report(0, 2);
	ck_assert_uint_gt(granted_at(7, BUSY, WAIT_MS - STEP_MS), 0);
}
END_TEST

/* All ask a VM to wait, the first for the least time. */
static void ask_all_to_wait(uint64_t vm, uint32_t least_ms)
{
	for (int i = 0; i < ENDPOINTS; i++) {
		char id[32];

		snprintf(id, sizeof(id), "10.0.0.%d:80", i + 1);
		ask_to_wait(vm, id, i ? WAIT_MS : least_ms);
	}
}

START_TEST(where_all_asked_to_wait_callers_are_told_when_to_come_back)
{
	struct dl_answer a;

	open_pool(_i);
	ask_all_to_wait(7, 2900);
	a = ask(7, 5000);
	ck_assert_int_eq(a.verdict, DL_REFUSED);
	ck_assert_int_eq(a.reason, DL_REASON_BACKOFF);
	ck_assert_uint_gt(a.retry_after_ms, 0);
	ck_assert_uint_le(a.retry_after_ms, 2900);
	now += a.retry_after_ms;
	a = ask(7, 5000);
	ck_assert_int_eq(a.verdict, DL_GRANTED);
	ck_assert(is_at(&a, BUSY));
}
END_TEST

/* Take all slots for a VM. */
static uint32_t fill(uint64_t vm, struct dl_answer *out, uint32_t max)
{
	uint32_t n = 0;

	while (n < max) {
		out[n] = ask(vm, 1000);
		if (out[n].verdict != DL_GRANTED)
			break;
		n++;
	}
	return n;
}

START_TEST(who_waits_in_the_queue_is_told_too)
{
	struct dl_answer held[ENDPOINTS * SLOTS + 1], a;
	uint32_t n, refused = 0;

	open_pool(_i);
	n = fill(7, held, ENDPOINTS * SLOTS + 1);
	ck_assert_uint_lt(n, ENDPOINTS * SLOTS + 1);
	ck_assert_int_eq(held[n].verdict, DL_QUEUED);
	for (uint32_t i = 0; i < n; i++)
		turned_away(&held[i], held[i].endpoint[0].s, WAIT_MS);
	now += STEP_MS;
	while (dl_pool_next(pool, now, &a)) {
		ck_assert_int_eq(a.verdict, DL_REFUSED);
		ck_assert_int_eq(a.reason, DL_REASON_BACKOFF);
		refused++;
	}
	ck_assert_uint_eq(refused, 1);
}
END_TEST

START_TEST(a_vm_that_waits_does_not_hold_up_others)
{
	struct dl_answer held[ENDPOINTS * SLOTS + 1], a;
	const uint32_t others = (ENDPOINTS - 1) * SLOTS;
	uint64_t waiting;
	uint32_t n;

	open_pool(_i);
	ask_to_wait(7, BUSY, WAIT_MS);
	n = fill(7, held, ENDPOINTS * SLOTS + 1);
	ck_assert_uint_eq(n, others);
	waiting = held[n].request;
	a = ask(8, 1000);
	if (a.verdict == DL_QUEUED) {
		now += STEP_MS;
		ck_assert(dl_pool_next(pool, now, &a));
	}
	ck_assert_int_eq(a.verdict, DL_GRANTED);
	ck_assert(is_at(&a, BUSY));
	ck_assert_uint_eq(a.entry, 8);
	/* It is the next to be served where it may go. */
	done(&held[0]);
	now += STEP_MS;
	ck_assert(dl_pool_next(pool, now, &a));
	ck_assert_uint_eq(a.request, waiting);
}
END_TEST

START_TEST(parts_of_a_prompt_go_elsewhere_too)
{
	struct dl_answer a;

	open_pool(true);
	ask_to_wait(7, BUSY, WAIT_MS);
	a = ask(8, LONG);
	ck_assert_int_eq(a.verdict, DL_GRANTED);
	ck_assert_uint_gt(a.endpoints, 1);
	ck_assert(is_at(&a, BUSY));
	done(&a);
	a = ask(7, LONG);
	ck_assert_int_eq(a.verdict, DL_GRANTED);
	ck_assert_uint_gt(a.endpoints, 1);
	ck_assert(!is_at(&a, BUSY));
}
END_TEST

START_TEST(the_later_of_two_times_holds)
{
	struct dl_backoff *b = dl_backoff_new();

	ck_assert(!dl_backoff_any_active(b, 0));
	ck_assert(!dl_backoff_set(b, 1, 1000, 1000));
	ck_assert(dl_backoff_set(b, 1, 4000, 1000));
	ck_assert(!dl_backoff_set(b, 1, 3000, 1000));
	ck_assert_uint_eq(dl_backoff_remaining_ms(b, 1, 1500), 2500);
	ck_assert_uint_eq(dl_backoff_remaining_ms(b, 1, 4000), 0);
	ck_assert_uint_eq(dl_backoff_remaining_ms(b, 2, 1500), 0);
	ck_assert(dl_backoff_any_active(b, 3999));
	ck_assert(!dl_backoff_any_active(b, 4000));
	dl_backoff_free(b);
}
END_TEST

START_TEST(times_that_are_over_make_room)
{
	struct dl_backoff *b = dl_backoff_new();

	for (uint64_t key = 0; key < DL_BACKOFF_MAX; key++)
		ck_assert(dl_backoff_set(b, key, 2000, 1000));
	ck_assert(!dl_backoff_set(b, DL_BACKOFF_MAX, 2000, 1000));
	ck_assert_uint_eq(dl_backoff_remaining_ms(b, 0, 1500), 500);
	ck_assert(dl_backoff_set(b, DL_BACKOFF_MAX, 3000, 2000));
	ck_assert_uint_eq(dl_backoff_remaining_ms(b, DL_BACKOFF_MAX, 2000),
			  1000);
	dl_backoff_free(b);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("backoff");
	TCase *t = tcase_create("pool"), *times = tcase_create("times");

	tcase_add_checked_fixture(t, NULL, end);
	tcase_add_loop_test(t, a_vm_that_was_asked_to_wait_is_served_by_others,
			    0, 2);
	tcase_add_loop_test(t, other_vms_were_not_asked_to_wait, 0, 2);
	tcase_add_loop_test(t, a_new_start_has_asked_nobody, 0, 2);
	tcase_add_loop_test(
		t, where_all_asked_to_wait_callers_are_told_when_to_come_back,
		0, 2);
	tcase_add_loop_test(t, who_waits_in_the_queue_is_told_too, 0, 2);
	tcase_add_loop_test(t, a_vm_that_waits_does_not_hold_up_others, 0, 2);
	tcase_add_test(t, parts_of_a_prompt_go_elsewhere_too);
	suite_add_tcase(s, t);
	tcase_add_test(times, the_later_of_two_times_holds);
	tcase_add_test(times, times_that_are_over_make_room);
	suite_add_tcase(s, times);
	return suite_run(s);
}
