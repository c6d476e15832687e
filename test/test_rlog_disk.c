/*
 * The replicated log over disks that fail for some time.  No replica is
 * restarted unless a test says so.
 */
#include <check.h>

#include <glib.h>

#include "fake/group.h"
#include "fake/suite.h"

static const uint64_t first_three[] = { 1, 2, 3 };

static struct group *start_three(uint32_t seed)
{
	struct group_conf conf = {
		.seed = seed,
		.listed = 3,
		.link = { .delay_min_ms = 1, .delay_max_ms = 4 },
		.sync_max_ms = 5,
		.snapshot_entries = 40,
	};
	struct group *g = group_new(&conf);

	for (uint64_t vm = 1; vm <= 3; vm++)
		group_start(g, vm);
	ck_assert(group_wait_leader(g, 10000));
	group_run(g, 1000);
	return g;
}

/* Proposes commands for some seconds, wherever the leader is. */
static void run_with_load(struct group *g, uint32_t ms)
{
	for (uint32_t i = 0; i < ms / 50; i++) {
		uint64_t leader = group_leader(g);

		if (leader)
			group_propose(g, leader, 30);
		group_run(g, 50);
	}
}

static void finish_group(struct group *g)
{
	ck_assert(group_wait_leader(g, 5000));
	ck_assert_int_eq(group_propose(g, group_leader(g), 30), 0);
	ck_assert(group_wait_converged(g, 10000));
	ck_assert_str_eq(group_violation(g), "");
	group_free(g);
}

/* A replica whose disk had no room for a time must still count as a voter. */
START_TEST(full_disk_takes_no_voter_out_for_good)
{
	struct group *g = start_three(1 + (uint32_t)_i);
	uint64_t full = _i % 2 ? group_leader(g) : 1 + (uint64_t)_i / 2 % 3;
	uint64_t lost;

	fake_disk_set_full(group_disk(g, full), true);
	run_with_load(g, 4500);
	fake_disk_set_full(group_disk(g, full), false);
	run_with_load(g, 4000);
	lost = group_leader(g) != full ? group_leader(g) : full % 3 + 1;
	ck_assert_uint_ne(lost, DL_VM_NONE);
	group_wipe(g, lost);
	group_run(g, 1600);
	group_start(g, lost);
	group_run(g, 5000);
	ck_assert(group_wait_leader(g, 5000));
	ck_assert(group_members_are(g, first_three, 3));
	finish_group(g);
}
END_TEST

/* A leader that cannot store anything must not stay the leader. */
START_TEST(leader_whose_disk_is_full_hands_over)
{
	struct group *g = start_three(30 + (uint32_t)_i);
	uint64_t full = group_leader(g), index;

	fake_disk_set_full(group_disk(g, full), true);
	run_with_load(g, 1000);
	ck_assert_uint_ne(group_leader(g), full);
	ck_assert_int_eq(dl_rlog_read(group_rlog(g, group_leader(g)),
				      group_local(g, group_leader(g)), &index),
			 0);
	fake_disk_set_full(group_disk(g, full), false);
	group_run(g, 2000);
	finish_group(g);
}
END_TEST

/*
 * Without room on a majority of the disks nothing can be changed, but the lease
 * by which requests are served must go on.
 */
START_TEST(full_disks_of_a_majority_keep_the_leader)
{
	struct group *g = start_three(50 + (uint32_t)_i);
	uint64_t leader = group_leader(g), index;
	uint64_t spared = _i % 2 ? leader : leader % 3 + 1;

	for (uint64_t vm = 1; vm <= 3; vm++) {
		if (vm != spared || _i >= 8)
			fake_disk_set_full(group_disk(g, vm), true);
	}
	for (int i = 0; i < 100; i++) {
		group_propose(g, leader, 30);
		group_run(g, 50);
		ck_assert_uint_eq(group_leader(g), leader);
		ck_assert_int_eq(dl_rlog_read(group_rlog(g, leader),
					      group_local(g, leader), &index),
				 0);
	}
	for (uint64_t vm = 1; vm <= 3; vm++)
		fake_disk_set_full(group_disk(g, vm), false);
	finish_group(g);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("rlog_disk");
	TCase *t = tcase_create("disk");

	suite_add_tcase(s, t);
	tcase_set_timeout(t, 60);
	tcase_add_loop_test(t, full_disk_takes_no_voter_out_for_good, 0, 12);
	tcase_add_loop_test(t, leader_whose_disk_is_full_hands_over, 0, 12);
	tcase_add_loop_test(t, full_disks_of_a_majority_keep_the_leader, 0, 12);
	return suite_run(s);
}
