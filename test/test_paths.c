/*
 * Paths to endpoints: only what another VM confirms counts as an interruption,
 * several of a service cut the VM off from it, and the direct path is used
 * again as soon as it works.
 */
#include <check.h>

#include "daisyledge/paths.h"
#include "fake/suite.h"

#define WRITER 1 /* a group */
#define DESK   2
#define E(i)   ((uint64_t)0x7f000001 << 16 | (9000 + (i)))
#define VM(i)  ((uint64_t)0x7f000100 << 16 | (7000 + (i)))
#define PROBE_MS                                                               \
	200 /* most that may pass until a direct connection is tried           \
	     */
#define ENDPOINTS 20000
#define VMS	  12u
#define DRAWS	  UINT64_C(3000)

static struct dl_path_plan plan_of(struct dl_paths *p, uint64_t group, int i,
				   int64_t now)
{
	struct dl_path_plan plan;

	dl_paths_plan(p, group, E(i), now, &plan);
	return plan;
}

static void fail_direct(struct dl_paths *p, int i, bool silent, int64_t now)
{
	dl_paths_direct(p, WRITER, E(i),
			silent ? DL_DIRECT_SILENT : DL_DIRECT_REFUSED, now);
}

/* This VM fails to connect to an endpoint, and another one succeeds. */
static void interrupt(struct dl_paths *p, int i, bool silent, int64_t now)
{
	fail_direct(p, i, silent, now);
	dl_paths_forwarded(p, WRITER, E(i), VM(1), DL_FORWARD_CONNECTED, now);
}

static void connect_direct(struct dl_paths *p, uint64_t group, int i,
			   int64_t now)
{
	dl_paths_direct(p, group, E(i), DL_DIRECT_CONNECTED, now);
}

START_TEST(working_path_is_direct_first)
{
	struct dl_paths *p = dl_paths_new();
	struct dl_path_plan plan = plan_of(p, WRITER, 1, 0);

	ck_assert(plan.direct && plan.reuse);
	ck_assert_uint_gt(plan.forwarded_at_ms, 0);
	dl_paths_free(p);
}
END_TEST

START_TEST(failure_that_no_other_vm_contradicts_interrupts_nothing)
{
	static const enum dl_forward_result results[] = {
		DL_FORWARD_ENDPOINT_REFUSED, DL_FORWARD_ENDPOINT_SILENT,
		DL_FORWARD_CUT_OFF, DL_FORWARD_UNAVAILABLE, DL_FORWARD_NO_ANSWER
	};
	struct dl_paths *p = dl_paths_new();
	struct dl_path_event event;

	for (size_t k = 0; k < sizeof(results) / sizeof(results[0]); k++) {
		for (int i = 0; i < 4; i++) {
			fail_direct(p, i, false, 10);
			dl_paths_forwarded(p, WRITER, E(i), VM(1), results[k],
					   11);
			ck_assert(!dl_paths_interrupted(p, WRITER, E(i)));
			ck_assert(plan_of(p, WRITER, i, 12).direct);
		}
	}
	ck_assert(!dl_paths_cut_off(p, WRITER));
	ck_assert(!dl_paths_next_event(p, &event));
	dl_paths_free(p);
}
END_TEST

/* A connection may be forwarded while the direct one was not tried. */
START_TEST(forwarded_connection_without_failure_interrupts_nothing)
{
	struct dl_paths *p = dl_paths_new();

	dl_paths_forwarded(p, WRITER, E(1), VM(1), DL_FORWARD_CONNECTED, 1);
	ck_assert(!dl_paths_interrupted(p, WRITER, E(1)));
	dl_paths_free(p);
}
END_TEST

START_TEST(interrupted_path_is_forwarded_and_tried_again)
{
	struct dl_paths *p = dl_paths_new();
	struct dl_path_event event;
	struct dl_path_plan plan;
	int tried = 0;

	interrupt(p, 1, false, 100);
	ck_assert(dl_paths_interrupted(p, WRITER, E(1)));
	ck_assert(!dl_paths_interrupted(p, WRITER, E(2)));
	ck_assert(dl_paths_next_event(p, &event));
	ck_assert(event.interrupted && event.endpoint == E(1));
	for (int64_t now = 101; now <= 100 + 5 * PROBE_MS; now += 10) {
		plan = plan_of(p, WRITER, 1, now);
		ck_assert_uint_eq(plan.forwarded_at_ms, 0);
		tried += plan.direct;
	}
	ck_assert_int_ge(tried, 4);
	ck_assert_int_le(tried, 6);
	connect_direct(p, WRITER, 1, 1200);
	ck_assert(!dl_paths_interrupted(p, WRITER, E(1)));
	ck_assert(dl_paths_next_event(p, &event));
	ck_assert(!event.interrupted && event.endpoint == E(1));
	ck_assert_int_eq(event.lasted_ms, 1100);
	dl_paths_free(p);
}
END_TEST

START_TEST(two_interrupted_paths_cut_the_vm_off_from_the_service)
{
	struct dl_paths *p = dl_paths_new();
	struct dl_path_event event;
	int events = 0;

	interrupt(p, 1, false, 100);
	interrupt(p, 1, false, 150); /* the same one twice says no more */
	ck_assert(!dl_paths_cut_off(p, WRITER));
	interrupt(p, 2, false, 200);
	ck_assert(dl_paths_cut_off(p, WRITER));
	ck_assert(dl_paths_interrupted(p, WRITER, E(3)));
	ck_assert_uint_eq(plan_of(p, WRITER, 3, 210).forwarded_at_ms, 0);
	ck_assert(!dl_paths_cut_off(p, DESK));
	ck_assert(plan_of(p, DESK, 9, 210).direct);
	for (int i = 3; i < 50; i++)
		interrupt(p, i, false, 220);
	while (dl_paths_next_event(p, &event))
		events++;
	ck_assert_int_eq(events, 2); /* one endpoint, then the service */
	dl_paths_free(p);
}
END_TEST

START_TEST(one_direct_connection_ends_the_cut)
{
	struct dl_paths *p = dl_paths_new();

	for (int i = 0; i < 6; i++)
		interrupt(p, i, false, 100 + i);
	connect_direct(p, DESK, 9, 200);
	ck_assert(dl_paths_cut_off(p, WRITER));
	connect_direct(p, WRITER, 7, 300);
	ck_assert(!dl_paths_cut_off(p, WRITER));
	ck_assert(plan_of(p, WRITER, 8, 301).forwarded_at_ms > 0);
	/* The others are tried at their next use, along with another VM. */
	ck_assert(plan_of(p, WRITER, 3, 301).direct);
	ck_assert_uint_eq(plan_of(p, WRITER, 3, 302).forwarded_at_ms, 0);
	connect_direct(p, WRITER, 3, 303);
	ck_assert(!dl_paths_interrupted(p, WRITER, E(3)));
	dl_paths_free(p);
}
END_TEST

START_TEST(failures_on_both_sides_of_a_success_do_not_add_up)
{
	struct dl_paths *p = dl_paths_new();

	interrupt(p, 1, false, 100);
	connect_direct(p, WRITER, 5, 150);
	interrupt(p, 2, false, 200);
	ck_assert(!dl_paths_cut_off(p, WRITER));
	interrupt(p, 1, false, 250);
	ck_assert(dl_paths_cut_off(p, WRITER));
	dl_paths_free(p);
}
END_TEST

/* A busy endpoint may leave one connection unanswered. */
START_TEST(open_connections_are_dead_after_repeated_silence)
{
	struct dl_paths *p = dl_paths_new();

	interrupt(p, 1, true, 100);
	ck_assert_int_eq(dl_paths_dead_since(p, WRITER, E(1)), 0);
	fail_direct(p, 1, true, 120);
	ck_assert_int_eq(dl_paths_dead_since(p, WRITER, E(1)), 0);
	fail_direct(p, 1, true, 260);
	ck_assert_int_eq(dl_paths_dead_since(p, WRITER, E(1)), 100);
	ck_assert(!plan_of(p, WRITER, 1, 261).reuse);
	connect_direct(p, WRITER, 1, 300);
	ck_assert_int_eq(dl_paths_dead_since(p, WRITER, E(1)), 0);
	dl_paths_free(p);
}
END_TEST

START_TEST(silent_cut_kills_open_connections_and_refusals_do_not)
{
	struct dl_paths *p = dl_paths_new();

	interrupt(p, 1, true, 100);
	interrupt(p, 2, true, 110);
	ck_assert_int_eq(dl_paths_dead_since(p, WRITER, E(3)), 110);
	ck_assert(!plan_of(p, WRITER, 3, 111).reuse);
	dl_paths_free(p);
	p = dl_paths_new();
	interrupt(p, 1, false, 100);
	interrupt(p, 2, false, 110);
	ck_assert_int_eq(dl_paths_dead_since(p, WRITER, E(1)), 0);
	ck_assert_int_eq(dl_paths_dead_since(p, WRITER, E(3)), 0);
	ck_assert(plan_of(p, WRITER, 3, 111).reuse);
	dl_paths_free(p);
}
END_TEST

START_TEST(open_connections_rest_after_one_broke)
{
	struct dl_paths *p = dl_paths_new();

	dl_paths_broke(p, 100);
	ck_assert(!plan_of(p, WRITER, 1, 101).reuse);
	ck_assert(plan_of(p, WRITER, 1, 1000).reuse);
	dl_paths_broke(p, 1100);
	connect_direct(p, WRITER, 2, 1101);
	ck_assert(plan_of(p, WRITER, 1, 1102).reuse);
	dl_paths_free(p);
}
END_TEST

START_TEST(isolated_vm_refuses_and_tries_now_and_then)
{
	struct dl_paths *p = dl_paths_new();
	int tried = 0;

	ck_assert(!dl_paths_isolated(p, WRITER, 0));
	for (int i = 0; i < 3; i++)
		dl_paths_undecided(p, WRITER, 100);
	ck_assert(!dl_paths_isolated(p, DESK, 101));
	for (int64_t now = 101; now < 1101; now++)
		tried += !dl_paths_isolated(p, WRITER, now);
	ck_assert_int_ge(tried, 2);
	ck_assert_int_le(tried, 5);
	dl_paths_forwarded(p, WRITER, E(1), VM(1), DL_FORWARD_CONNECTED, 1200);
	ck_assert(!dl_paths_isolated(p, WRITER, 1201));
	for (int i = 0; i < 3; i++)
		dl_paths_undecided(p, WRITER, 1300);
	connect_direct(p, WRITER, 1, 1301);
	ck_assert(!dl_paths_isolated(p, WRITER, 1302));
	dl_paths_free(p);
}
END_TEST

/* Whether a VM is chosen at some time, with one other that may be asked. */
static bool is_ever_chosen(const struct dl_paths *p, uint64_t vm, int64_t now)
{
	for (uint64_t random = 0; random < 100; random++) {
		uint64_t vms[] = { VM(20), vm };

		if (dl_paths_choose(p, vms, 2, 1, random, now) == 1 &&
		    vms[0] == vm)
			return true;
	}
	return false;
}

START_TEST(vm_that_cannot_help_is_not_asked_for_a_while)
{
	static const enum dl_forward_result unable[] = { DL_FORWARD_CUT_OFF,
							 DL_FORWARD_UNAVAILABLE,
							 DL_FORWARD_NO_ANSWER };
	struct dl_paths *p = dl_paths_new();

	for (size_t i = 0; i < sizeof(unable) / sizeof(unable[0]); i++) {
		dl_paths_forwarded(p, WRITER, E(1), VM(i), unable[i], 100);
		ck_assert(!is_ever_chosen(p, VM(i), 101));
		ck_assert(is_ever_chosen(p, VM(i), 3100));
	}
	dl_paths_forwarded(p, WRITER, E(1), VM(9), DL_FORWARD_ENDPOINT_REFUSED,
			   100);
	ck_assert(is_ever_chosen(p, VM(9), 101));
	dl_paths_forwarded(p, WRITER, E(1), VM(0), DL_FORWARD_CONNECTED, 102);
	ck_assert(is_ever_chosen(p, VM(0), 103));
	dl_paths_free(p);
}
END_TEST

START_TEST(vms_that_could_not_help_are_asked_where_no_other_is_left)
{
	struct dl_paths *p = dl_paths_new();
	uint64_t vms[] = { VM(0), VM(1) };

	for (int i = 0; i < 2; i++)
		dl_paths_forwarded(p, WRITER, E(1), VM(i), DL_FORWARD_CUT_OFF,
				   100);
	ck_assert_uint_eq(dl_paths_choose(p, vms, 2, 3, 1, 101), 2);
	ck_assert_uint_eq(dl_paths_choose(p, vms, 0, 3, 1, 101), 0);
	dl_paths_free(p);
}
END_TEST

/* Many VMs may ask at once: the load must not fall on a few of the others. */
START_TEST(vms_are_asked_to_forward_evenly)
{
	struct dl_paths *p = dl_paths_new();
	uint32_t first[VMS] = { 0 }, any[VMS] = { 0 };

	for (uint64_t random = 0; random < DRAWS; random++) {
		uint64_t vms[VMS];

		for (uint32_t i = 0; i < VMS; i++)
			vms[i] = VM(i);
		ck_assert_uint_eq(dl_paths_choose(p, vms, VMS, 3, random, 1),
				  3);
		for (int i = 0; i < 3; i++)
			any[vms[i] - VM(0)]++;
		first[vms[0] - VM(0)]++;
	}
	for (uint32_t i = 0; i < VMS; i++) {
		ck_assert_uint_gt(first[i], DRAWS / VMS / 2);
		ck_assert_uint_lt(first[i], DRAWS / VMS * 2);
		ck_assert_uint_gt(any[i], 3 * DRAWS / VMS / 2);
		ck_assert_uint_lt(any[i], 3 * DRAWS / VMS * 2);
	}
	dl_paths_free(p);
}
END_TEST

/* Most VMs may be cut off as well, and not all of them known to be. */
START_TEST(vm_that_forwarded_lately_is_among_those_asked)
{
	struct dl_paths *p = dl_paths_new();

	dl_paths_forwarded(p, WRITER, E(1), VM(7), DL_FORWARD_CONNECTED, 100);
	for (uint64_t random = 0; random < DRAWS; random++) {
		uint64_t vms[VMS];

		for (uint32_t i = 0; i < VMS; i++)
			vms[i] = VM(i);
		ck_assert_uint_eq(dl_paths_choose(p, vms, VMS, 3, random, 200),
				  3);
		ck_assert(vms[0] == VM(7) || vms[1] == VM(7) ||
			  vms[2] == VM(7));
	}
	dl_paths_free(p);
}
END_TEST

/* Endpoints come and go; neither they nor events fill the memory. */
START_TEST(state_is_bounded)
{
	struct dl_paths *p = dl_paths_new();
	struct dl_path_event event;
	int events = 0;

	for (int i = 0; i < ENDPOINTS; i++) {
		fail_direct(p, i, false, 10);
		connect_direct(p, WRITER, i, 10);
		interrupt(p, i, false, 10);
		connect_direct(p, WRITER, i, 10);
	}
	while (dl_paths_next_event(p, &event))
		events++;
	ck_assert_int_le(events, 64);
	ck_assert_int_gt(events, 0);
	/* Once the old ones are unused, new ones have room. */
	interrupt(p, ENDPOINTS + 1, false, 1000000);
	ck_assert(dl_paths_interrupted(p, WRITER, E(ENDPOINTS + 1)));
	dl_paths_free(p);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("paths");
	TCase *t = tcase_create("paths");

	suite_add_tcase(s, t);
	tcase_add_test(t, working_path_is_direct_first);
	tcase_add_test(t,
		       failure_that_no_other_vm_contradicts_interrupts_nothing);
	tcase_add_test(t,
		       forwarded_connection_without_failure_interrupts_nothing);
	tcase_add_test(t, interrupted_path_is_forwarded_and_tried_again);
	tcase_add_test(t,
		       two_interrupted_paths_cut_the_vm_off_from_the_service);
	tcase_add_test(t, one_direct_connection_ends_the_cut);
	tcase_add_test(t, failures_on_both_sides_of_a_success_do_not_add_up);
	tcase_add_test(t, open_connections_are_dead_after_repeated_silence);
	tcase_add_test(t,
		       silent_cut_kills_open_connections_and_refusals_do_not);
	tcase_add_test(t, open_connections_rest_after_one_broke);
	tcase_add_test(t, isolated_vm_refuses_and_tries_now_and_then);
	tcase_add_test(t, vm_that_cannot_help_is_not_asked_for_a_while);
	tcase_add_test(
		t, vms_that_could_not_help_are_asked_where_no_other_is_left);
	tcase_add_test(t, vms_are_asked_to_forward_evenly);
	tcase_add_test(t, vm_that_forwarded_lately_is_among_those_asked);
	tcase_add_test(t, state_is_bounded);
	return suite_run(s);
}
