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
#define TICK_MS 20 /* of the processes that send reports */

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
	struct dl_cause cause = { request, 0 };
	struct dl_crash c = { .cause = cause,
			      .request = request,
			      .start = start,
			      .cleared =
				      dl_quarantine_clear_count(at, &cause) };

	c.cleared += start == 0;
	return dl_quarantine_merge(at, &c, now);
}

static const struct dl_cause the_request = { REQUEST, 0 };

static bool is_held(struct dl_quarantine *at, int64_t now)
{
	return dl_quarantine_remaining_ms(at, &the_request, now) > 0;
}

static bool is_suspect(const struct dl_quarantine *at)
{
	return dl_quarantine_is_suspect(at, &the_request);
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
	ck_assert_uint_eq(dl_quarantine_remaining_ms(
				  q, &(struct dl_cause){ REQUEST + 1, 0 }, 30),
			  0);
	ck_assert_uint_eq(dl_quarantine_count(q, false, 30), 1);
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
	ck_assert(is_suspect(q));
	ck_assert(crash(q, REQUEST, 0, 25));
	ck_assert(!is_suspect(q));
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
	dl_quarantine_foreach(q, 1000, UINT32_MAX, merge_into, there);
	dl_quarantine_foreach(there, 1000, UINT32_MAX, merge_into, q);
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
	c.cleared = dl_quarantine_clear_count(net.at[vm], &c.cause) + !c.start;
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

		observe(rand() % VMS, (struct dl_crash){ .cause = the_request,
							 .request = REQUEST,
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
		ck_assert_uint_eq(dl_quarantine_remaining_ms(net.at[vm],
							     &the_request, 100),
				  dl_quarantine_remaining_ms(
					  net.at[0], &the_request, 100));
	for (int vm = 0; vm < VMS; vm++)
		dl_quarantine_free(net.at[vm]);
}
END_TEST

START_TEST(new_vm_keeps_remaining_time)
{
	struct dl_quarantine *started = dl_quarantine_new();

	crash_thrice(q, 0);
	dl_quarantine_foreach(q, 1000, UINT32_MAX, merge_into, started);
	ck_assert_uint_eq(dl_quarantine_remaining_ms(started, &the_request,
						     1000),
			  dl_quarantine_remaining_ms(q, &the_request, 1000));
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
	ck_assert(!is_suspect(q));
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

static void interrupt(uint64_t request, uint64_t start, int64_t now)
{
	struct dl_causes causes = { .request = request };

	dl_quarantine_attempt_interrupted(q, &causes, start, now - 5, now);
}

START_TEST(only_interrupted_requests_are_blamed)
{
	struct dl_crash out;

	interrupt(REQUEST, 1, 100);
	interrupt(REQUEST + 1, 2, 110);
	interrupt(REQUEST + 2, 1, 120);
	ck_assert(dl_quarantine_next_crash(q, 1, 150, &out));
	ck_assert_uint_eq(out.cause.id, REQUEST);
	ck_assert_uint_eq(out.cause.scope, 0);
	ck_assert_uint_eq(out.request, REQUEST);
	ck_assert_uint_eq(out.start, 1);
	ck_assert_uint_eq(out.age_ms, 50);
	ck_assert(dl_quarantine_next_crash(q, 1, 150, &out));
	ck_assert_uint_eq(out.cause.id, REQUEST + 2);
	ck_assert(!dl_quarantine_next_crash(q, 1, 150, &out));
	/* An interruption long before the crash had another cause. */
	ck_assert(!dl_quarantine_next_crash(q, 2, 60000, &out));
}
END_TEST

START_TEST(interruption_without_crash_is_ignored)
{
	for (uint64_t start = 1; start <= 10; start++)
		interrupt(REQUEST, start, 10);
	ck_assert(!is_suspect(q));
	ck_assert(!is_held(q, 10));
}
END_TEST

#define SERVICE 4
#define FIRST	5 /* a part that most prompts begin with */
#define PART	6
#define OTHER	7
#define BESIDE	8 /* in the requests that crash, and harmless */

/* A crash under a part, of a request that was sent a while before. */
static void crash_part(uint64_t part, uint64_t request, uint64_t start,
		       int64_t sent, int64_t at)
{
	struct dl_cause cause = { part, SERVICE };
	struct dl_crash c = {
		.cause = cause,
		.request = request,
		.start = start,
		.cleared = dl_quarantine_clear_count(q, &cause),
		.ran_ms = (uint32_t)(at - sent),
	};

	dl_quarantine_merge(q, &c, at);
}

/* Crashes one after the other under a part, each of another request. */
static void crash_part_times(uint64_t part, uint64_t first_start, int times)
{
	for (int i = 0; i < times; i++) {
		uint64_t start = first_start + (uint64_t)i;
		int64_t at = (int64_t)start * 300;

		crash_part(part, 100 + start, start, at - 200, at);
	}
}

static void clear_part(uint64_t part, int64_t now)
{
	struct dl_cause cause = { part, SERVICE };
	struct dl_crash c = { .cause = cause,
			      .request = part,
			      .cleared = dl_quarantine_clear_count(q, &cause) +
					 1 };

	dl_quarantine_merge(q, &c, now);
}

static bool part_is_held(uint64_t part, int64_t now)
{
	return dl_quarantine_remaining_ms(
		       q, &(struct dl_cause){ part, SERVICE }, now) > 0;
}

static enum dl_quarantine_rule rule_for(uint64_t one, uint64_t two, int64_t now)
{
	uint64_t parts[2] = { one, two };
	struct dl_causes causes = { 900, SERVICE, parts, two ? 2 : 1 };

	return dl_quarantine_check(q, &causes, now).rule;
}

START_TEST(part_of_distinct_requests_is_blamed)
{
	crash_part_times(PART, 1, 2);
	ck_assert(!part_is_held(PART, 700));
	crash_part_times(PART, 3, 1);
	ck_assert(part_is_held(PART, 1000));
	ck_assert_int_eq(rule_for(FIRST, PART, 1000), DL_QUARANTINE_REFUSE);
	ck_assert_int_eq(rule_for(FIRST, OTHER, 1000), DL_QUARANTINE_RUN);
	/* The same part of another service is another cause. */
	ck_assert_uint_eq(dl_quarantine_remaining_ms(
				  q, &(struct dl_cause){ PART, SERVICE + 1 },
				  1000),
			  0);
}
END_TEST

START_TEST(parts_of_one_repeated_request_are_not_blamed)
{
	for (uint64_t start = 1; start <= 4; start++) {
		int64_t at = (int64_t)start * 300;

		crash(q, REQUEST, start, at);
		crash_part(PART, REQUEST, start, at - 200, at);
	}
	ck_assert(is_held(q, 1300));
	ck_assert(!part_is_held(PART, 1300));
}
END_TEST

/*
 * Guards against an instance that counts as two crashes, as it does where two
 * requests had ended there shortly before and their ends are marked by the
 * connection alone.
 */
START_TEST(instance_under_two_requests_is_one_crash)
{
	crash_part(PART, 1, 1, 0, 100);
	crash_part(PART, 2, 1, 150, 250);
	crash_part(PART, 3, 2, 300, 400);
	ck_assert(!part_is_held(PART, 410));
	crash_part(PART, 4, 3, 450, 600);
	ck_assert(part_is_held(PART, 610));
}
END_TEST

START_TEST(simultaneous_crashes_blame_nothing)
{
	for (uint64_t start = 1; start <= 12; start++)
		crash_part(FIRST, 100 + start, start,
			   1000 - 70 * (int64_t)start, 1000);
	ck_assert(!part_is_held(FIRST, 1010));
}
END_TEST

START_TEST(explained_crashes_count_against_no_other)
{
	crash_part_times(PART, 1, 6);
	crash_part_times(OTHER, 2, 4);
	ck_assert(part_is_held(PART, 2000));
	ck_assert(!part_is_held(OTHER, 2000));
	ck_assert_int_eq(rule_for(OTHER, 0, 2000), DL_QUARANTINE_RUN);
}
END_TEST

/* The report of a crash may have arrived for one of its causes only. */
START_TEST(late_report_does_not_release_culprit)
{
	crash_part_times(PART, 1, 6);
	crash_part_times(OTHER, 1, 7);
	ck_assert(part_is_held(PART, 2200));
	ck_assert_int_eq(rule_for(PART, 0, 2200), DL_QUARANTINE_PROBE);
}
END_TEST

START_TEST(tied_parts_are_told_apart_by_answered_probe)
{
	crash_part_times(FIRST, 1, 4);
	crash_part_times(PART, 1, 4);
	ck_assert_int_eq(rule_for(FIRST, PART, 1300), DL_QUARANTINE_REFUSE);
	ck_assert_int_eq(rule_for(FIRST, 0, 1300), DL_QUARANTINE_PROBE);
	clear_part(FIRST, 1400);
	ck_assert_int_eq(rule_for(FIRST, 0, 1400), DL_QUARANTINE_RUN);
	ck_assert_int_eq(rule_for(FIRST, PART, 1400), DL_QUARANTINE_REFUSE);
	ck_assert_int_eq(rule_for(PART, 0, 1400), DL_QUARANTINE_REFUSE);
}
END_TEST

START_TEST(tied_parts_are_told_apart_by_crashed_probes)
{
	crash_part_times(FIRST, 1, 4);
	crash_part_times(PART, 1, 4);
	crash_part_times(PART, 5, 2);
	ck_assert(part_is_held(PART, 1900));
	ck_assert(!part_is_held(FIRST, 1900));
	ck_assert_int_eq(rule_for(PART, 0, 1900), DL_QUARANTINE_REFUSE);
}
END_TEST

/* Two parts that crash endpoints, and one that all their requests hold. */
START_TEST(part_common_to_two_culprits_comes_free)
{
	crash_part_times(PART, 1, 4);
	crash_part_times(OTHER, 5, 4);
	crash_part_times(FIRST, 1, 8);
	ck_assert_int_eq(rule_for(FIRST, 0, 2500), DL_QUARANTINE_PROBE);
	clear_part(FIRST, 2500);
	ck_assert_int_eq(rule_for(FIRST, 0, 2500), DL_QUARANTINE_RUN);
	ck_assert_int_eq(rule_for(FIRST, PART, 2500), DL_QUARANTINE_REFUSE);
	ck_assert_int_eq(rule_for(FIRST, OTHER, 2500), DL_QUARANTINE_REFUSE);
}
END_TEST

/* Requests that crash use up two probes, and no sound one was answered since.
 */
START_TEST(shared_part_comes_free_after_crashed_probes)
{
	enum dl_quarantine_rule rule;
	int64_t now = 20000;

	crash_part_times(FIRST, 1, 8);
	crash_part_times(OTHER, 1, 8);
	crash_part_times(PART, 1, 8);
	for (uint64_t start = 100; start < 105; start++) {
		rule = rule_for(FIRST, PART, now);
		if (rule == DL_QUARANTINE_PROBE) {
			crash_part(FIRST, start, start, now, now + 100);
			crash_part(PART, start, start, now, now + 100);
		}
		now += 3000;
	}
	ck_assert_int_eq(rule_for(FIRST, PART, now), DL_QUARANTINE_REFUSE);
	ck_assert_int_eq(rule_for(FIRST, OTHER, now), DL_QUARANTINE_PROBE);
	clear_part(FIRST, now);
	clear_part(OTHER, now);
	ck_assert_int_eq(rule_for(FIRST, 0, now), DL_QUARANTINE_RUN);
	ck_assert_int_eq(rule_for(FIRST, PART, now), DL_QUARANTINE_REFUSE);
}
END_TEST

/*
 * Guards against a crash of a request with another culprit that uses up the
 * last probe of the part that all prompts begin with: every request of the
 * service would be refused for an hour.
 */
START_TEST(other_culprit_does_not_use_up_last_probe)
{
	int64_t now = 20000;

	crash_part_times(OTHER, 1, 6);
	crash_part_times(BESIDE, 10, 8);
	crash_part_times(FIRST, 10, 8);
	crash_part_times(PART, 10, 8);
	for (uint64_t start = 100; start < 102; start++) {
		ck_assert_int_eq(rule_for(FIRST, PART, now),
				 DL_QUARANTINE_PROBE);
		crash_part(FIRST, start, start, now, now + 100);
		crash_part(PART, start, start, now, now + 100);
		now += 3000;
	}
	ck_assert_int_eq(rule_for(FIRST, OTHER, now), DL_QUARANTINE_REFUSE);
	ck_assert_int_eq(rule_for(FIRST, 0, now), DL_QUARANTINE_PROBE);
	clear_part(FIRST, now);
	ck_assert_int_eq(rule_for(FIRST, 0, now), DL_QUARANTINE_RUN);
	ck_assert_int_eq(rule_for(FIRST, OTHER, now), DL_QUARANTINE_PROBE);
}
END_TEST

START_TEST(part_held_by_chance_is_probed_later)
{
	crash_part_times(PART, 1, 3);
	ck_assert_int_eq(rule_for(PART, 0, 5000), DL_QUARANTINE_REFUSE);
	ck_assert_int_eq(rule_for(PART, 0, 11000), DL_QUARANTINE_PROBE);
	clear_part(PART, 12000);
	ck_assert_int_eq(rule_for(PART, 0, 12000), DL_QUARANTINE_RUN);
}
END_TEST

START_TEST(few_probes_crash_within_the_hold)
{
	int64_t now = 2000;
	int probes = 0;

	crash_part_times(PART, 1, 5);
	for (; now < HOUR_MS; now += 500) {
		if (rule_for(PART, 0, now) != DL_QUARANTINE_PROBE)
			continue;
		probes++;
		crash_part(PART, 500, 500 + (uint64_t)probes, now - 200, now);
	}
	ck_assert_int_eq(probes, 2);
}
END_TEST

START_TEST(part_crashes_survive_a_full_table)
{
	crash_part_times(PART, 1, 2);
	for (uint64_t i = 0; i < 3500; i++)
		crash_part(1000 + i, 1000 + i, 1000 + i, 700, 800);
	crash_part_times(PART, 3, 1);
	for (uint64_t i = 0; i < 20000; i++)
		crash_part(100000 + i, 100000 + i, 100000 + i, 900, 1000);
	ck_assert(part_is_held(PART, 1100));
}
END_TEST

/* A crash of a probe changes no blame, and is forgotten unless it is saved. */
START_TEST(crash_of_blamed_cause_is_to_be_saved)
{
	ck_assert(!dl_quarantine_unsaved(q));
	crash(q, REQUEST, 1, 10);
	ck_assert(!dl_quarantine_unsaved(q));
	crash(q, REQUEST, 2, 20);
	crash(q, REQUEST, 3, 30);
	ck_assert(dl_quarantine_unsaved(q));
	dl_quarantine_note_saved(q);
	ck_assert(!dl_quarantine_unsaved(q));
	crash(q, REQUEST, 9, HOUR_MS);
	ck_assert(dl_quarantine_unsaved(q));
	dl_quarantine_note_saved(q);
	crash(q, REQUEST, 0, HOUR_MS);
	ck_assert(dl_quarantine_unsaved(q));
}
END_TEST

/* Full tables drop causes; operators see how many. */
START_TEST(dropped_causes_are_counted)
{
	for (uint64_t i = 1; i <= 4096; i++)
		crash(q, 1000 + i, i, 10);
	ck_assert_uint_eq(dl_quarantine_dropped(q), 0);
	crash(q, 1000, 1, 10);
	ck_assert_uint_gt(dl_quarantine_dropped(q), 0);
}
END_TEST

START_TEST(quarantine_changes_are_reported_once)
{
	struct dl_quarantine_change change;

	crash_part_times(PART, 1, 3);
	ck_assert(dl_quarantine_next_change(q, 1000, &change));
	ck_assert_uint_eq(change.cause.id, PART);
	ck_assert_uint_eq(change.crashes, 3);
	ck_assert(change.certain && change.remaining_ms);
	ck_assert(!dl_quarantine_next_change(q, 1000, &change));
	clear_part(PART, 1100);
	ck_assert(dl_quarantine_next_change(q, 1100, &change));
	ck_assert_uint_eq(change.remaining_ms, 0);
	ck_assert(!dl_quarantine_next_change(q, 1100, &change));
}
END_TEST

START_TEST(crash_reports_name_the_request_and_its_parts)
{
	uint64_t parts[2] = { FIRST, PART };
	struct dl_causes causes = { REQUEST, SERVICE, parts, 2 };
	struct dl_crash out[4];
	int n = 0;

	dl_quarantine_attempt_interrupted(q, &causes, 1, 40, 100);
	while (n < 4 && dl_quarantine_next_crash(q, 1, 150, &out[n]))
		n++;
	ck_assert_int_eq(n, 3);
	ck_assert_uint_eq(out[0].cause.id, REQUEST);
	ck_assert_uint_eq(out[0].cause.scope, 0);
	for (int i = 1; i < 3; i++) {
		ck_assert_uint_eq(out[i].cause.id, parts[i - 1]);
		ck_assert_uint_eq(out[i].cause.scope, SERVICE);
		ck_assert_uint_eq(out[i].request, REQUEST);
		ck_assert_uint_eq(out[i].age_ms, 50);
		ck_assert_uint_eq(out[i].ran_ms, 60);
	}
}
END_TEST

/*
 * Crashes of a part in a row, with about the times of a trace: when one of two
 * VMs learned of each, and its report then. Two are known only once a
 * connection to their endpoint is refused, which takes up to another tick.
 */
static const struct {
	int vm;
	int64_t known_at;
	bool checked;
	struct dl_crash crash;
} in_a_row[] = {
	{ 0, 55, false, { { PART, SERVICE }, 1, 2, 0, 4, 24 } },
	{ 1, 91, false, { { PART, SERVICE }, 2, 3, 0, 9, 22 } },
	{ 0, 94, true, { { PART, SERVICE }, 1, 1, 0, 70, 24 } },
	{ 1, 183, true, { { PART, SERVICE }, 2, 4, 0, 73, 25 } },
};

/* Merges the reports of in_a_row that the VMs send at their ticks. */
static void send_in_a_row(const int64_t tick[2], int64_t later)
{
	struct dl_crash_queue *queue[] = { dl_crash_queue_new(),
					   dl_crash_queue_new() };
	struct dl_crash c;

	for (int64_t now = 0; now < 300; now++) {
		for (int n = 0; n < 4; n++) {
			int64_t wait = in_a_row[n].checked ? later : 0;

			c = in_a_row[n].crash;
			c.age_ms += (uint32_t)wait;
			if (in_a_row[n].known_at + wait == now)
				dl_crash_queue_add(queue[in_a_row[n].vm], &c,
						   now);
		}
		for (int vm = 0; vm < 2; vm++) {
			while (now % TICK_MS == tick[vm] &&
			       dl_crash_queue_take(queue[vm], true, now, &c, 1))
				dl_quarantine_merge(q, &c, now);
		}
	}
	dl_crash_queue_free(queue[0]);
	dl_crash_queue_free(queue[1]);
}

/*
 * Guards against reports whose ages leave out how long they waited to be sent:
 * that put a crash after the next attempt, and a VM that had its reports from a
 * replica ran a part that all others refused.
 */
START_TEST(waiting_reports_keep_the_order_of_crashes)
{
	int released = 0;

	for (int n = 0; n < TICK_MS * TICK_MS * TICK_MS; n++) {
		const int64_t tick[] = { n % TICK_MS, n / TICK_MS % TICK_MS };

		send_in_a_row(tick, n / TICK_MS / TICK_MS);
		released += !part_is_held(PART, 300);
		dl_quarantine_free(q);
		q = dl_quarantine_new();
	}
	ck_assert_int_eq(released, 0);
}
END_TEST

START_TEST(waiting_reports_of_parts_and_requests_are_taken_apart)
{
	struct dl_crash_queue *queue = dl_crash_queue_new();
	struct dl_crash c = { .cause = { REQUEST, 0 },
			      .start = 1,
			      .age_ms = 5 };
	struct dl_crash out[4];

	for (uint32_t n = 0; n < 3; n++) {
		c.cause = (struct dl_cause){ REQUEST + n, 0 };
		dl_crash_queue_add(queue, &c, 100);
		c.cause = (struct dl_cause){ PART + n, SERVICE };
		dl_crash_queue_add(queue, &c, 100);
	}
	ck_assert_uint_eq(dl_crash_queue_take(queue, true, 130, out, 2), 2);
	ck_assert_uint_eq(out[0].cause.id, PART);
	ck_assert_uint_eq(out[1].cause.id, PART + 1);
	ck_assert_uint_eq(out[1].age_ms, 35);
	ck_assert_uint_eq(dl_crash_queue_take(queue, false, 130, out, 4), 3);
	ck_assert_uint_eq(out[2].cause.id, REQUEST + 2);
	ck_assert_uint_eq(dl_crash_queue_take(queue, true, 140, out, 4), 1);
	ck_assert_uint_eq(out[0].cause.id, PART + 2);
	ck_assert_uint_eq(out[0].age_ms, 45);
	ck_assert_uint_eq(dl_crash_queue_take(queue, true, 140, out, 4), 0);
	dl_crash_queue_free(queue);
}
END_TEST

static void check_crash_eq(const struct dl_crash *a, const struct dl_crash *b)
{
	ck_assert_uint_eq(a->cause.id, b->cause.id);
	ck_assert_uint_eq(a->cause.scope, b->cause.scope);
	ck_assert_uint_eq(a->request, b->request);
	ck_assert_uint_eq(a->start, b->start);
	ck_assert_uint_eq(a->cleared, b->cleared);
	ck_assert_uint_eq(a->age_ms, b->age_ms);
	ck_assert_uint_eq(a->ran_ms, b->ran_ms);
}

START_TEST(crashes_round_trip)
{
	struct dl_crash in[3] = {
		{ { 1, 0 }, 1, 2, 3, 4, 0 },
		{ { UINT64_MAX, 0 }, UINT64_MAX, 0, 1, UINT32_MAX, 0 },
		{ { 7, 0 }, 7, UINT64_MAX, UINT32_MAX, 0, 0 }
	};
	struct dl_crash out[DL_CRASHES_MAX];
	struct dl_packer pk;
	struct dl_str body;
	uint32_t count;

	dl_crashes_pack(&pk, in, 3);
	body = dl_packer_bytes(&pk);
	ck_assert_int_eq(dl_crashes_read(body, out, &count), 0);
	ck_assert_uint_eq(count, 3);
	for (int i = 0; i < 3; i++)
		check_crash_eq(&out[i], &in[i]);
	for (size_t n = 0; n < body.n; n++)
		ck_assert(dl_crashes_read((struct dl_str){ body.s, n }, out,
					  &count));
	dl_packer_close(&pk);
}
END_TEST

START_TEST(part_crashes_round_trip)
{
	struct dl_crash in[2] = { { { 1, 9 }, 5, 2, 3, 4, 6 },
				  { { UINT64_MAX, UINT64_MAX },
				    UINT64_MAX,
				    0,
				    UINT32_MAX,
				    UINT32_MAX,
				    UINT32_MAX } };
	struct dl_crash out[DL_CRASHES_MAX];
	struct dl_packer pk;
	struct dl_str body;
	uint32_t count;

	dl_part_crashes_pack(&pk, in, 2);
	body = dl_packer_bytes(&pk);
	ck_assert_int_eq(dl_part_crashes_read(body, out, &count), 0);
	ck_assert_uint_eq(count, 2);
	for (int i = 0; i < 2; i++)
		check_crash_eq(&out[i], &in[i]);
	for (size_t n = 0; n < body.n; n++)
		ck_assert(dl_part_crashes_read((struct dl_str){ body.s, n },
					       out, &count));
	dl_packer_close(&pk);
	/* One without a scope would be taken for a whole request. */
	in[0].cause.scope = 0;
	dl_part_crashes_pack(&pk, in, 1);
	ck_assert(dl_part_crashes_read(dl_packer_bytes(&pk), out, &count));
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
	tcase_add_test(tc, part_of_distinct_requests_is_blamed);
	tcase_add_test(tc, parts_of_one_repeated_request_are_not_blamed);
	tcase_add_test(tc, instance_under_two_requests_is_one_crash);
	tcase_add_test(tc, simultaneous_crashes_blame_nothing);
	tcase_add_test(tc, explained_crashes_count_against_no_other);
	tcase_add_test(tc, late_report_does_not_release_culprit);
	tcase_add_test(tc, tied_parts_are_told_apart_by_answered_probe);
	tcase_add_test(tc, tied_parts_are_told_apart_by_crashed_probes);
	tcase_add_test(tc, part_common_to_two_culprits_comes_free);
	tcase_add_test(tc, shared_part_comes_free_after_crashed_probes);
	tcase_add_test(tc, other_culprit_does_not_use_up_last_probe);
	tcase_add_test(tc, part_held_by_chance_is_probed_later);
	tcase_add_test(tc, few_probes_crash_within_the_hold);
	tcase_add_test(tc, part_crashes_survive_a_full_table);
	tcase_add_test(tc, crash_of_blamed_cause_is_to_be_saved);
	tcase_add_test(tc, dropped_causes_are_counted);
	tcase_add_test(tc, quarantine_changes_are_reported_once);
	tcase_add_test(tc, crash_reports_name_the_request_and_its_parts);
	tcase_add_test(tc, waiting_reports_keep_the_order_of_crashes);
	tcase_add_test(tc,
		       waiting_reports_of_parts_and_requests_are_taken_apart);
	tcase_add_test(tc, crashes_round_trip);
	tcase_add_test(tc, part_crashes_round_trip);
	tcase_add_test(tc, oversized_crash_list_is_rejected);
	suite_add_tcase(suite, tc);
	return suite_run(suite);
}
