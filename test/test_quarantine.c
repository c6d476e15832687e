/* Tests of which requests are quarantined, and for how long. */
#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "daisyledge/quarantine.h"
#include "fake/suite.h"
#include "protocol/quarantine_codec.h"

#define REQUEST 77
#define HOUR_MS ((int64_t)60 * 60 * 1000)
#define DAY_MS	(24 * HOUR_MS)

static struct dl_quarantine *q;

static void begin(void)
{
	q = dl_quarantine_new();
}

static void end(void)
{
	dl_quarantine_free(q);
}

static bool crash(struct dl_quarantine *at, uint64_t request, uint64_t start,
		  int64_t now)
{
	struct dl_crash c = { .request = request,
			      .start = start,
			      .cleared =
				      dl_quarantine_clear_count(at, request) };

	c.cleared += start == 0;
	return dl_quarantine_merge(at, &c, now);
}

static bool is_held(const struct dl_quarantine *at, int64_t now)
{
	return dl_quarantine_remaining_ms(at, REQUEST, now) > 0;
}

static void crash_thrice(struct dl_quarantine *at, int64_t now)
{
	for (uint64_t start = 1; start <= DL_QUARANTINE_CRASHES; start++)
		ck_assert(crash(at, REQUEST, start, now));
}

START_TEST(third_crash_quarantines_request)
{
	crash(q, REQUEST, 1, 10);
	crash(q, REQUEST, 2, 20);
	ck_assert(!is_held(q, 30));
	crash(q, REQUEST, 3, 30);
	ck_assert(is_held(q, 30));
	ck_assert_uint_eq(dl_quarantine_remaining_ms(q, REQUEST + 1, 30), 0);
	ck_assert_uint_eq(dl_quarantine_count(q, 30), 1);
}
END_TEST

START_TEST(duplicate_crash_reports_count_once)
{
	ck_assert(crash(q, REQUEST, 1, 10));
	for (int i = 0; i < 5; i++)
		ck_assert(!crash(q, REQUEST, 1, 11 + i));
	ck_assert(!is_held(q, 20));
}
END_TEST

START_TEST(answered_request_is_cleared)
{
	crash(q, REQUEST, 1, 10);
	crash(q, REQUEST, 2, 20);
	ck_assert(dl_quarantine_is_suspect(q, REQUEST));
	ck_assert(crash(q, REQUEST, 0, 25));
	ck_assert(!dl_quarantine_is_suspect(q, REQUEST));
	crash(q, REQUEST, 3, 30);
	ck_assert(!is_held(q, 30));
	/*
	 * The same for a quarantined request that was still running and is
	 * answered.
	 */
	crash(q, REQUEST, 4, 40);
	crash(q, REQUEST, 5, 50);
	ck_assert(is_held(q, 50));
	ck_assert(crash(q, REQUEST, 0, 60));
	ck_assert(!is_held(q, 60));
}
END_TEST

static void merge_into(void *arg, const struct dl_crash *c)
{
	dl_quarantine_merge(arg, c, 1000);
}

START_TEST(partitioned_counts_merge)
{
	struct dl_quarantine *there = dl_quarantine_new();

	crash(q, REQUEST, 1, 10);
	crash(q, REQUEST, 2, 20);
	crash(there, REQUEST, 2, 20);
	crash(there, REQUEST, 3, 30);
	ck_assert(!is_held(q, 1000) && !is_held(there, 1000));
	dl_quarantine_foreach(q, 1000, merge_into, there);
	dl_quarantine_foreach(there, 1000, merge_into, q);
	ck_assert(is_held(q, 1000) && is_held(there, 1000));
	dl_quarantine_free(there);
}
END_TEST

/* VMs forward each report that is new to them, delivered in any order. */
#define VMS	    4
#define REPORTS_MAX 4096

struct report {
	int to;
	struct dl_crash crash;
};

static struct {
	struct dl_quarantine *at[VMS];
	struct report report[REPORTS_MAX];
	uint32_t reports, delivered;
} net;

static void send_to_others(int from, const struct dl_crash *c)
{
	for (int to = 0; to < VMS; to++) {
		if (to == from)
			continue;
		ck_assert_uint_lt(net.reports, REPORTS_MAX);
		net.report[net.reports++] = (struct report){ to, *c };
	}
}

static void observe(int vm, struct dl_crash c)
{
	c.cleared = dl_quarantine_clear_count(net.at[vm], c.request) + !c.start;
	if (dl_quarantine_merge(net.at[vm], &c, 100))
		send_to_others(vm, &c);
}

START_TEST(crash_reports_converge_in_any_order)
{
	srand((unsigned)_i);
	memset(&net, 0, sizeof(net));
	for (int vm = 0; vm < VMS; vm++)
		net.at[vm] = dl_quarantine_new();
	for (uint64_t n = 0; n < 12; n++) {
		uint64_t start = rand() % 3 ? n / 2 + 1 : 0;

		observe(rand() % VMS, (struct dl_crash){ .request = REQUEST,
							 .start = start });
	}
	while (net.reports) {
		uint32_t i = (uint32_t)rand() % net.reports;
		struct report w = net.report[i];

		net.report[i] = net.report[--net.reports];
		ck_assert_uint_lt(net.delivered++, REPORTS_MAX);
		if (dl_quarantine_merge(net.at[w.to], &w.crash, 100))
			send_to_others(w.to, &w.crash);
	}
	for (int vm = 1; vm < VMS; vm++)
		ck_assert_uint_eq(
			dl_quarantine_remaining_ms(net.at[vm], REQUEST, 100),
			dl_quarantine_remaining_ms(net.at[0], REQUEST, 100));
	for (int vm = 0; vm < VMS; vm++)
		dl_quarantine_free(net.at[vm]);
}
END_TEST

START_TEST(new_vm_keeps_remaining_time)
{
	struct dl_quarantine *started = dl_quarantine_new();

	crash_thrice(q, 0);
	dl_quarantine_foreach(q, 1000, merge_into, started);
	ck_assert_uint_eq(dl_quarantine_remaining_ms(started, REQUEST, 1000),
			  dl_quarantine_remaining_ms(q, REQUEST, 1000));
	dl_quarantine_free(started);
}
END_TEST

START_TEST(crash_after_hold_requarantines)
{
	crash_thrice(q, 0);
	ck_assert(is_held(q, HOUR_MS - 1));
	ck_assert(!is_held(q, HOUR_MS));
	dl_quarantine_expire(q, HOUR_MS);
	ck_assert(crash(q, REQUEST, 9, HOUR_MS + 5));
	ck_assert(is_held(q, HOUR_MS + 5));
	/* It is remembered long enough for that, but not forever. */
	dl_quarantine_expire(q, 3 * DAY_MS);
	ck_assert(!dl_quarantine_is_suspect(q, REQUEST));
}
END_TEST

START_TEST(old_crashes_are_not_counted)
{
	crash(q, REQUEST, 1, 0);
	crash(q, REQUEST, 2, 1000);
	dl_quarantine_expire(q, HOUR_MS);
	crash(q, REQUEST, 3, HOUR_MS);
	ck_assert(!is_held(q, HOUR_MS));
}
END_TEST

START_TEST(quarantined_request_is_not_evicted)
{
	crash_thrice(q, 0);
	for (uint64_t i = 0; i < 20000; i++)
		crash(q, 1000 + i, i + 10, 10 + (int64_t)i);
	ck_assert(is_held(q, 30000));
}
END_TEST

START_TEST(only_interrupted_requests_are_blamed)
{
	struct dl_crash out;

	dl_quarantine_attempt_interrupted(q, REQUEST, 1, 100);
	dl_quarantine_attempt_interrupted(q, REQUEST + 1, 2, 110);
	dl_quarantine_attempt_interrupted(q, REQUEST + 2, 1, 120);
	ck_assert(dl_quarantine_next_crash(q, 1, 150, &out));
	ck_assert_uint_eq(out.request, REQUEST);
	ck_assert_uint_eq(out.start, 1);
	ck_assert_uint_eq(out.age_ms, 50);
	ck_assert(dl_quarantine_next_crash(q, 1, 150, &out));
	ck_assert_uint_eq(out.request, REQUEST + 2);
	ck_assert(!dl_quarantine_next_crash(q, 1, 150, &out));
	/* An interruption long before the crash had another cause. */
	ck_assert(!dl_quarantine_next_crash(q, 2, 60000, &out));
}
END_TEST

START_TEST(interruption_without_crash_is_ignored)
{
	for (uint64_t start = 1; start <= 10; start++)
		dl_quarantine_attempt_interrupted(q, REQUEST, start, 10);
	ck_assert(!dl_quarantine_is_suspect(q, REQUEST));
	ck_assert(!is_held(q, 10));
}
END_TEST

START_TEST(crashes_round_trip)
{
	struct dl_crash in[3] = { { 1, 2, 3, 4 },
				  { UINT64_MAX, 0, 1, UINT32_MAX },
				  { 7, UINT64_MAX, UINT32_MAX, 0 } };
	struct dl_crash out[DL_CRASHES_MAX];
	struct dl_packer pk;
	struct dl_str body;
	uint32_t count;

	dl_crashes_pack(&pk, in, 3);
	body = dl_packer_bytes(&pk);
	ck_assert_int_eq(dl_crashes_read(body, out, &count), 0);
	ck_assert_uint_eq(count, 3);
	for (int i = 0; i < 3; i++) {
		ck_assert_uint_eq(out[i].request, in[i].request);
		ck_assert_uint_eq(out[i].start, in[i].start);
		ck_assert_uint_eq(out[i].cleared, in[i].cleared);
		ck_assert_uint_eq(out[i].age_ms, in[i].age_ms);
	}
	for (size_t n = 0; n < body.n; n++)
		ck_assert(dl_crashes_read((struct dl_str){ body.s, n }, out,
					  &count));
	dl_packer_close(&pk);
}
END_TEST

START_TEST(oversized_crash_list_is_rejected)
{
	static struct dl_crash many[DL_CRASHES_MAX + 1];
	struct dl_crash out[DL_CRASHES_MAX];
	struct dl_packer pk;
	uint32_t count;

	dl_crashes_pack(&pk, many, DL_CRASHES_MAX + 1);
	ck_assert(dl_crashes_read(dl_packer_bytes(&pk), out, &count));
	dl_packer_close(&pk);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("quarantine");
	TCase *tc = tcase_create("quarantine");

	tcase_add_checked_fixture(tc, begin, end);
	tcase_add_test(tc, third_crash_quarantines_request);
	tcase_add_test(tc, duplicate_crash_reports_count_once);
	tcase_add_test(tc, answered_request_is_cleared);
	tcase_add_loop_test(tc, crash_reports_converge_in_any_order, 0, 200);
	tcase_add_test(tc, partitioned_counts_merge);
	tcase_add_test(tc, new_vm_keeps_remaining_time);
	tcase_add_test(tc, crash_after_hold_requarantines);
	tcase_add_test(tc, old_crashes_are_not_counted);
	tcase_add_test(tc, quarantined_request_is_not_evicted);
	tcase_add_test(tc, only_interrupted_requests_are_blamed);
	tcase_add_test(tc, interruption_without_crash_is_ignored);
	tcase_add_test(tc, crashes_round_trip);
	tcase_add_test(tc, oversized_crash_list_is_rejected);
	suite_add_tcase(suite, tc);
	return suite_run(suite);
}
