/* Tests of the configuration lease and of the choice of the replica to ask. */
#include <check.h>
#include <stdlib.h>

#include "daisyledge/lease.h"
#include "fake/suite.h"

#define LEASE	 5000
#define FOLLOWER 11
#define LEADER	 12
#define OTHER	 13

static struct dl_lease lease;

static void begin(void)
{
	lease = (struct dl_lease){ 0 };
}

static uint64_t answer(int64_t asked_at, uint64_t from, bool confirmed,
		       uint64_t confirmed_version, uint64_t applied,
		       int64_t now)
{
	struct dl_lease_answer a = { .requested_at = asked_at,
				     .from = from,
				     .confirmed = confirmed,
				     .version = confirmed_version,
				     .leader = LEADER };

	return dl_lease_handle_answer(&lease, &a, applied, now);
}

START_TEST(no_lease_without_confirmation)
{
	ck_assert(!dl_lease_is_valid(&lease, LEASE, 1000));
	ck_assert(!dl_lease_is_valid(&lease, 0, 1000));
	ck_assert(dl_lease_renewal_due(&lease, LEASE, 1000));
}
END_TEST

/* Time spent on the way back, or while suspended, counts against the lease. */
START_TEST(lease_starts_at_request)
{
	dl_lease_request_sent(&lease, 1000);
	answer(1000, LEADER, true, 3, 3, 4000);
	ck_assert(dl_lease_is_valid(&lease, LEASE, 5699));
	ck_assert(!dl_lease_is_valid(&lease, LEASE, 5700));
	ck_assert(dl_lease_ready(&lease, LEASE, 3700));
	ck_assert(!dl_lease_ready(&lease, LEASE, 3750));
}
END_TEST

START_TEST(lease_waits_for_newer_version)
{
	dl_lease_request_sent(&lease, 1000);
	answer(1000, LEADER, true, 3, 3, 1001);
	dl_lease_request_sent(&lease, 1250);
	answer(1250, LEADER, true, 4, 3, 1251);
	ck_assert_int_eq(lease.valid_from, 1000);
	dl_lease_version_applied(&lease, 4);
	ck_assert_int_eq(lease.valid_from, 1250);
}
END_TEST

/*
 * Three of eight replicas do not vote and know no leader, so the leader named
 * by a follower must be asked before the next replica in turn.
 */
/* Each version is applied 600 ms after it came into force, four a second. */
START_TEST(versions_faster_than_applied_keep_the_lease)
{
	uint64_t applied = 0;

	for (int64_t now = 1000; now < 1000 + 3 * LEASE; now += 250) {
		uint64_t in_force = (uint64_t)now / 250;

		dl_lease_request_sent(&lease, now);
		answer(now, LEADER, true, in_force, applied, now + 1);
		applied = (uint64_t)(now - 350) / 250;
		dl_lease_version_applied(&lease, applied);
		if (now > 3000)
			ck_assert(dl_lease_ready(&lease, LEASE, now));
		ck_assert_int_le(lease.valid_from, (int64_t)applied * 250);
	}
}
END_TEST

START_TEST(named_leader_is_asked_next)
{
	dl_lease_request_sent(&lease, 100000);
	ck_assert_uint_eq(answer(100000, FOLLOWER, false, 0, 0, 100002),
			  LEADER);
	ck_assert(!dl_lease_timed_out(&lease, 100250));
	dl_lease_request_sent(&lease, 100250);
	ck_assert_uint_eq(answer(100250, LEADER, true, 1, 1, 100252), LEADER);
	ck_assert(dl_lease_is_valid(&lease, LEASE, 100253));
}
END_TEST

START_TEST(unconfirmed_leader_is_dropped)
{
	dl_lease_request_sent(&lease, 1000);
	ck_assert_uint_eq(answer(1000, LEADER, false, 0, 0, 1001), DL_VM_NONE);
}
END_TEST

START_TEST(missing_answer_times_out)
{
	dl_lease_request_sent(&lease, 1000);
	ck_assert(!dl_lease_timed_out(&lease, 1400));
	ck_assert(dl_lease_timed_out(&lease, 1401));
	answer(1000, OTHER, false, 0, 0, 1402);
	ck_assert(!dl_lease_timed_out(&lease, 1500));
}
END_TEST

/* A replica that is gone is asked repeatedly and must still time out. */
START_TEST(timeout_despite_repeated_requests)
{
	int64_t now = 1000;

	dl_lease_request_sent(&lease, now);
	answer(now, LEADER, true, 3, 3, now + 1);
	for (now = 1250; now <= 1750; now += 250) {
		ck_assert(dl_lease_renewal_due(&lease, LEASE, now));
		if (dl_lease_timed_out(&lease, now))
			break;
		dl_lease_request_sent(&lease, now);
	}
	ck_assert_int_eq(now, 1750);
	dl_lease_replica_changed(&lease);
	dl_lease_request_sent(&lease, now);
	ck_assert(!dl_lease_timed_out(&lease, now + 250));
}
END_TEST

START_TEST(late_answers_are_ignored)
{
	dl_lease_request_sent(&lease, 1000);
	dl_lease_request_sent(&lease, 1250);
	answer(1250, LEADER, true, 5, 5, 1300);
	answer(1000, OTHER, true, 4, 5, 1301);
	ck_assert_uint_eq(lease.version, 5);
	ck_assert_int_eq(lease.valid_from, 1250);
	answer(9000, OTHER, true, 6, 5, 1302); /* matches no request */
	ck_assert_uint_eq(lease.version, 5);
}
END_TEST

START_TEST(unbounded_lease_needs_one_confirmation)
{
	dl_lease_request_sent(&lease, 1000);
	answer(1000, LEADER, true, 3, 3, 1001);
	ck_assert(dl_lease_ready(&lease, 0, 1000000));
}
END_TEST

/* A new leader answers a request that others have already answered. */
START_TEST(confirmation_after_other_answers)
{
	dl_lease_request_sent(&lease, 1000);
	answer(1000, FOLLOWER, false, 0, 3, 1001);
	dl_lease_request_sent(&lease, 1100);
	answer(1100, FOLLOWER, false, 0, 3, 1101);
	ck_assert_uint_eq(answer(1000, LEADER, true, 3, 3, 1150), LEADER);
	ck_assert_int_eq(lease.valid_from, 1000);
	/* Only a confirmation may arrive late. */
	answer(1000, OTHER, false, 0, 3, 1160);
	ck_assert_int_eq(lease.answered_at, 1100);
}
END_TEST

START_TEST(requests_are_faster_without_confirmation)
{
	dl_lease_request_sent(&lease, 1000);
	ck_assert(!dl_lease_renewal_due(&lease, LEASE, 1099));
	ck_assert(dl_lease_renewal_due(&lease, LEASE, 1100));
	answer(1000, LEADER, true, 3, 3, 1001);
	ck_assert(!dl_lease_renewal_due(&lease, LEASE, 1249));
	ck_assert(dl_lease_renewal_due(&lease, LEASE, 1250));
}
END_TEST

/* When a request waits for a confirmation, and how long. */
static const struct {
	int64_t valid_from, started, last_heard;
	uint32_t left_ms;
	int64_t now;
	uint32_t patience;
} waits[] = {
	/* just started: part of the remaining time, at most a second */
	{ 0, 10000, 0, 10000, 10100, 1000 },
	{ 0, 10000, 0, 1000, 10100, 250 },
	{ 0, 10000, 0, 10000, 11000, 0 },
	/* the group answers but has no leader yet */
	{ 0, 10000, 12900, 10000, 13000, 1000 },
	{ 9000, 1000, 12900, 10000, 13000, 1000 },
	/* cut off: the duration is unknown */
	{ 9000, 1000, 12400, 10000, 13000, 0 },
	{ 9000, 12900, 0, 10000, 13000, 0 },
};

START_TEST(max_wait_of_each_case)
{
	lease.valid_from = waits[_i].valid_from;
	ck_assert_uint_eq(dl_lease_max_wait_ms(&lease, waits[_i].started,
					       waits[_i].last_heard,
					       waits[_i].left_ms,
					       waits[_i].now),
			  waits[_i].patience);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("lease");
	TCase *t = tcase_create("lease");

	suite_add_tcase(s, t);
	tcase_add_checked_fixture(t, begin, NULL);
	tcase_add_test(t, no_lease_without_confirmation);
	tcase_add_test(t, confirmation_after_other_answers);
	tcase_add_test(t, requests_are_faster_without_confirmation);
	tcase_add_loop_test(t, max_wait_of_each_case, 0,
			    sizeof(waits) / sizeof(waits[0]));
	tcase_add_test(t, lease_starts_at_request);
	tcase_add_test(t, lease_waits_for_newer_version);
	tcase_add_test(t, versions_faster_than_applied_keep_the_lease);
	tcase_add_test(t, named_leader_is_asked_next);
	tcase_add_test(t, unconfirmed_leader_is_dropped);
	tcase_add_test(t, missing_answer_times_out);
	tcase_add_test(t, timeout_despite_repeated_requests);
	tcase_add_test(t, late_answers_are_ignored);
	tcase_add_test(t, unbounded_lease_needs_one_confirmation);
	return suite_run(s);
}
