/*
 * Backoff of endpoints towards a VM: which endpoints that VM and the others are
 * granted meanwhile, and how requests that cannot be served are refused.
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
#define LONG	  100000 /* tokens; prefilled by several engines */

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

static void setup_pool(bool model)
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

static void teardown(void)
{
	ck_assert_ptr_null(dl_pool_check_invariants(pool));
	dl_pool_free(pool);
}

/* Requests a grant for a VM. */
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

static bool uses_endpoint(const struct dl_answer *a, const char *endpoint)
{
	for (uint8_t i = 0; i < a->endpoints; i++) {
		if (dl_name_eq(&a->endpoint[i], dl_str_of(endpoint)))
			return true;
	}
	return false;
}

/* Releases a grant after one of its endpoints asked the VM to wait. */
static void release_with_backoff(const struct dl_answer *a,
				 const char *endpoint, uint32_t ms)
{
	struct dl_usage usage = { .backoff_ms = ms };

	dl_name_set(&usage.backoff_endpoint, dl_str_of(endpoint));
	ck_assert_int_eq(dl_pool_release(pool, a->grant, &usage, now), 0);
}

static void release_done(const struct dl_answer *a)
{
	struct dl_usage usage = { .ran = true, .ttft_ms = 20, .total_ms = 40 };

	ck_assert_int_eq(dl_pool_release(pool, a->grant, &usage, now), 0);
}

/* Makes an endpoint ask a VM to wait when it is next granted to that VM. */
static void make_endpoint_back_off(uint64_t vm, const char *endpoint,
				   uint32_t ms)
{
	struct dl_answer a = { 0 };

	for (int i = 0; i < 100; i++) {
		a = ask(vm, 5000);
		ck_assert_int_eq(a.verdict, DL_GRANTED);
		if (uses_endpoint(&a, endpoint)) {
			release_with_backoff(&a, endpoint, ms);
			return;
		}
		now += STEP_MS;
		release_done(&a);
	}
	ck_abort_msg("%s is not granted", endpoint);
}

static uint32_t count_grants_at(uint64_t vm, const char *endpoint, int64_t ms)
{
	uint32_t n = 0;

	for (int64_t until = now + ms; now < until; now += STEP_MS) {
		struct dl_answer a = ask(vm, 5000);

		ck_assert_int_eq(a.verdict, DL_GRANTED);
		n += uses_endpoint(&a, endpoint);
		release_done(&a);
	}
	return n;
}

START_TEST(vm_in_backoff_is_served_by_other_endpoints)
{
	setup_pool(_i);
	make_endpoint_back_off(7, BUSY, WAIT_MS);
	ck_assert_uint_eq(count_grants_at(7, BUSY, WAIT_MS - STEP_MS), 0);
	ck_assert_uint_gt(count_grants_at(7, BUSY, 2000), 0);
}
END_TEST

START_TEST(backoff_applies_to_one_vm)
{
	setup_pool(_i);
	make_endpoint_back_off(7, BUSY, WAIT_MS);
	ck_assert_uint_gt(count_grants_at(8, BUSY, WAIT_MS - STEP_MS), 0);
}
END_TEST

START_TEST(endpoint_restart_clears_backoff)
{
	setup_pool(_i);
	make_endpoint_back_off(7, BUSY, WAIT_MS);
	report(0, 2);
	ck_assert_uint_gt(count_grants_at(7, BUSY, WAIT_MS - STEP_MS), 0);
}
END_TEST

/* Makes all endpoints ask a VM to wait, the first for the shortest time. */
static void make_all_endpoints_back_off(uint64_t vm, uint32_t least_ms)
{
	for (int i = 0; i < ENDPOINTS; i++) {
		char id[32];

		snprintf(id, sizeof(id), "10.0.0.%d:80", i + 1);
		make_endpoint_back_off(vm, id, i ? WAIT_MS : least_ms);
	}
}

START_TEST(refused_with_retry_after_when_all_endpoints_back_off)
{
	struct dl_answer a;

	setup_pool(_i);
	make_all_endpoints_back_off(7, 2900);
	a = ask(7, 5000);
	ck_assert_int_eq(a.verdict, DL_REFUSED);
	ck_assert_int_eq(a.reason, DL_REASON_BACKOFF);
	ck_assert_uint_gt(a.retry_after_ms, 0);
	ck_assert_uint_le(a.retry_after_ms, 2900);
	now += a.retry_after_ms;
	a = ask(7, 5000);
	ck_assert_int_eq(a.verdict, DL_GRANTED);
	ck_assert(uses_endpoint(&a, BUSY));
}
END_TEST

/* Takes all slots for a VM; returns the number of grants. */
static uint32_t take_all_slots(uint64_t vm, struct dl_answer *out, uint32_t max)
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

START_TEST(queued_request_is_refused_on_backoff)
{
	struct dl_answer held[ENDPOINTS * SLOTS + 1], a;
	uint32_t n, refused = 0;

	setup_pool(_i);
	n = take_all_slots(7, held, ENDPOINTS * SLOTS + 1);
	ck_assert_uint_lt(n, ENDPOINTS * SLOTS + 1);
	ck_assert_int_eq(held[n].verdict, DL_QUEUED);
	for (uint32_t i = 0; i < n; i++)
		release_with_backoff(&held[i], held[i].endpoint[0].s, WAIT_MS);
	now += STEP_MS;
	while (dl_pool_next(pool, now, &a)) {
		ck_assert_int_eq(a.verdict, DL_REFUSED);
		ck_assert_int_eq(a.reason, DL_REASON_BACKOFF);
		refused++;
	}
	ck_assert_uint_eq(refused, 1);
}
END_TEST

START_TEST(vm_in_backoff_does_not_block_other_vms)
{
	struct dl_answer held[ENDPOINTS * SLOTS + 1], a;
	const uint32_t others = (ENDPOINTS - 1) * SLOTS;
	uint64_t waiting;
	uint32_t n;

	setup_pool(_i);
	make_endpoint_back_off(7, BUSY, WAIT_MS);
	n = take_all_slots(7, held, ENDPOINTS * SLOTS + 1);
	ck_assert_uint_eq(n, others);
	waiting = held[n].request;
	a = ask(8, 1000);
	if (a.verdict == DL_QUEUED) {
		now += STEP_MS;
		ck_assert(dl_pool_next(pool, now, &a));
	}
	ck_assert_int_eq(a.verdict, DL_GRANTED);
	ck_assert(uses_endpoint(&a, BUSY));
	ck_assert_uint_eq(a.entry, 8);
	/* The queued request is served next, on another endpoint. */
	release_done(&held[0]);
	now += STEP_MS;
	ck_assert(dl_pool_next(pool, now, &a));
	ck_assert_uint_eq(a.request, waiting);
}
END_TEST

START_TEST(split_prompt_avoids_endpoint_in_backoff)
{
	struct dl_answer a;

	setup_pool(true);
	make_endpoint_back_off(7, BUSY, WAIT_MS);
	a = ask(8, LONG);
	ck_assert_int_eq(a.verdict, DL_GRANTED);
	ck_assert_uint_gt(a.endpoints, 1);
	ck_assert(uses_endpoint(&a, BUSY));
	release_done(&a);
	a = ask(7, LONG);
	ck_assert_int_eq(a.verdict, DL_GRANTED);
	ck_assert_uint_gt(a.endpoints, 1);
	ck_assert(!uses_endpoint(&a, BUSY));
}
END_TEST

START_TEST(later_expiry_wins)
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

START_TEST(expired_entries_make_room)
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

	tcase_add_checked_fixture(t, NULL, teardown);
	tcase_add_loop_test(t, vm_in_backoff_is_served_by_other_endpoints, 0,
			    2);
	tcase_add_loop_test(t, backoff_applies_to_one_vm, 0, 2);
	tcase_add_loop_test(t, endpoint_restart_clears_backoff, 0, 2);
	tcase_add_loop_test(
		t, refused_with_retry_after_when_all_endpoints_back_off, 0, 2);
	tcase_add_loop_test(t, queued_request_is_refused_on_backoff, 0, 2);
	tcase_add_loop_test(t, vm_in_backoff_does_not_block_other_vms, 0, 2);
	tcase_add_test(t, split_prompt_avoids_endpoint_in_backoff);
	suite_add_tcase(s, t);
	tcase_add_test(times, later_expiry_wins);
	tcase_add_test(times, expired_entries_make_room);
	suite_add_tcase(s, times);
	return suite_run(s);
}
