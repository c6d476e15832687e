/*
 * The replicated log over disks that fail for some time.  No replica is
 * restarted unless a test says so.
 */
#include <check.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "fake/group.h"
#include "fake/suite.h"

/* The longest time without commits, while one disk fails or after faults. */
#define RECOVERY_MS 5000
/* The longest time until a leader whose disk fails has been replaced. */
#define HANDOVER_MS	1000
#define HANDOVER_GAP_MS 100
/*
 * Disk operations from which on the first error is tried: more than lie between
 * two new generations, each of which has 6, while an append has 3.
 */
#define STEPS_TRIED 48
/* A journal, a newer one whose name may not be durable, a temporary file. */
#define FILES_MAX 3

static const uint64_t first_three[] = { 1, 2, 3 };

static const int codes[] = { -EIO, -ENOSPC };

static struct group *new_group(uint32_t seed, uint32_t listed)
{
	struct group_conf conf = {
		.seed = seed,
		.listed = listed,
		.link = { .delay_min_ms = 1, .delay_max_ms = 4 },
		.sync_max_ms = 5,
		.snapshot_entries = 8,
	};

	return group_new(&conf);
}

static struct group *start_group(uint32_t seed, uint32_t listed)
{
	struct group *g = new_group(seed, listed);

	for (uint64_t vm = 1; vm <= listed; vm++)
		group_start(g, vm);
	ck_assert(group_wait_leader(g, 10000));
	group_run(g, 1000);
	return g;
}

static struct group *start_three(uint32_t seed)
{
	return start_group(seed, 3);
}

/* The leader, or one of the followers. */
static uint64_t victim_of(const struct group *g, int which)
{
	return (group_leader(g) - 1 + (uint64_t)which) % 3 + 1;
}

static struct dl_rlog_status status_of(struct group *g, uint64_t vm)
{
	struct dl_rlog_status s;

	dl_rlog_get_status(group_rlog(g, vm), group_local(g, vm), &s);
	return s;
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

/* Whether a command proposed from now on is committed in time. */
static bool commits_within(struct group *g, uint32_t ms)
{
	uint64_t before = group_get_counters(g)->acked;
	int64_t end = group_now(g) + ms;

	while (group_now(g) < end) {
		uint64_t leader = group_leader(g);

		if (leader)
			group_propose(g, leader, 30);
		group_run(g, 20);
		if (group_get_counters(g)->acked > before)
			return true;
	}
	return false;
}

/* Runs under load; false if no command was committed for too long. */
static bool serves_for(struct group *g, uint32_t ms)
{
	int64_t end = group_now(g) + ms;

	while (group_now(g) < end) {
		if (!commits_within(g, RECOVERY_MS))
			return false;
		group_run(g, 20);
	}
	return true;
}

static void finish_group(struct group *g)
{
	ck_assert_str_eq(group_violation(g), "");
	ck_assert(group_wait_leader(g, RECOVERY_MS));
	ck_assert_int_eq(group_propose(g, group_leader(g), 30), 0);
	ck_assert(group_wait_converged(g, 10000));
	ck_assert_str_eq(group_violation(g), "");
	ck_assert_uint_eq(group_get_counters(g)->damaged, 0);
	group_free(g);
}

/*
 * Checks that the faults of a disk have left a full voter: the group serves,
 * and still does once another replica has lost its disk, which needs the vote
 * and the acknowledgements of this one.
 */
static void finish_with_voter(struct group *g, uint64_t vm)
{
	uint64_t lost;

	ck_assert_str_eq(group_violation(g), "");
	ck_assert(commits_within(g, RECOVERY_MS));
	ck_assert(group_wait_converged(g, RECOVERY_MS));
	lost = group_leader(g) != vm ? group_leader(g) : vm % 3 + 1;
	ck_assert_uint_ne(lost, DL_VM_NONE);
	group_wipe(g, lost);
	ck_assert(commits_within(g, RECOVERY_MS));
	ck_assert_int_eq(status_of(g, vm).write_error, 0);
	ck_assert(status_of(g, vm).voter);
	group_start(g, lost);
	group_run(g, 5000);
	ck_assert(group_wait_leader(g, RECOVERY_MS));
	ck_assert(group_members_are(g, first_three, 3));
	finish_group(g);
}

/* --- the fake disk itself --- */

static int last_code;

static void note_code(void *arg, int code)
{
	last_code = code;
}

static const struct dl_disk_done noting = { note_code, NULL };

static int write_file(struct fake_disk *d, uint64_t offset, const char *text)
{
	last_code = 1;
	fake_disk_ops.write(d, "f", offset,
			    (struct dl_str){ text, strlen(text) }, noting);
	fake_disk_run(d, 0);
	return last_code;
}

static int sync_file(struct fake_disk *d)
{
	last_code = 1;
	fake_disk_ops.sync(d, "f", noting);
	fake_disk_run(d, 0);
	if (last_code)
		return last_code;
	last_code = 1;
	fake_disk_ops.sync_dir(d, noting);
	fake_disk_run(d, 0);
	return last_code;
}

/* Whether the file has this text; false if there is no file. */
static bool file_is(struct fake_disk *d, const char *text)
{
	char *data;
	size_t n;
	bool same;

	if (fake_disk_ops.read(d, "f", &data, &n))
		return false;
	same = n == strlen(text) && memcmp(data, text, n) == 0;
	free(data);
	return same;
}

/* After a failed sync the next one succeeds and makes nothing durable. */
START_TEST(failed_sync_drops_data)
{
	struct fake_disk *d = fake_disk_new((uint32_t)_i);
	bool rewritten = _i % 2;

	ck_assert_int_eq(write_file(d, 0, "old text"), 0);
	ck_assert_int_eq(sync_file(d), 0);
	ck_assert_int_eq(write_file(d, 4, "news"), 0);
	fake_disk_fail_after(d, 0, -EIO);
	ck_assert_int_eq(sync_file(d), -EIO);
	if (rewritten)
		ck_assert_int_eq(write_file(d, 4, "news"), 0);
	ck_assert_int_eq(sync_file(d), 0);
	ck_assert(file_is(d, "old news"));
	fake_disk_kill(d);
	ck_assert(file_is(d, "old news"));
	fake_disk_crash(d);
	if (rewritten)
		ck_assert(file_is(d, "old news"));
	fake_disk_free(d);
}
END_TEST

/* Over many seeds, dropped data is lost in some crashes. */
START_TEST(dropped_data_is_lost_in_a_crash)
{
	uint32_t lost = 0;

	for (uint32_t seed = 0; seed < 40; seed++) {
		struct fake_disk *d = fake_disk_new(seed);

		ck_assert_int_eq(write_file(d, 0, "old text"), 0);
		ck_assert_int_eq(sync_file(d), 0);
		ck_assert_int_eq(write_file(d, 4, "news"), 0);
		fake_disk_fail_after(d, 0, -EIO);
		ck_assert_int_eq(sync_file(d), -EIO);
		ck_assert_int_eq(sync_file(d), 0);
		fake_disk_crash(d);
		lost += file_is(d, "old text");
		fake_disk_free(d);
	}
	ck_assert_uint_gt(lost, 0);
}
END_TEST

/* Lasting errors and stalls hold across a process end until they are lifted. */
START_TEST(lasting_faults_end_when_lifted)
{
	struct fake_disk *d = fake_disk_new(1);

	fake_disk_set_error(d, FAKE_DISK_WRITE, -EROFS);
	ck_assert_int_eq(write_file(d, 0, "text"), -EROFS);
	fake_disk_kill(d);
	ck_assert_int_eq(write_file(d, 0, "text"), -EROFS);
	fake_disk_set_error(d, FAKE_DISK_WRITE, 0);
	ck_assert_int_eq(write_file(d, 0, "text"), 0);
	fake_disk_stall(d);
	ck_assert_int_eq(sync_file(d), 1);
	fake_disk_end_stall(d, -EIO);
	fake_disk_run(d, 0);
	ck_assert_int_eq(last_code, -EIO);
	fake_disk_set_error(d, FAKE_DISK_READ, -EIO);
	ck_assert(!file_is(d, "text"));
	fake_disk_repair(d);
	ck_assert(file_is(d, "text"));
	fake_disk_free(d);
}
END_TEST

/* --- one disk --- */

/* A replica whose disk had no room for a time must still count as a voter. */
START_TEST(full_disk_takes_no_voter_out_for_good)
{
	struct group *g = start_three(1 + (uint32_t)_i);
	uint64_t full = victim_of(g, _i % 3);

	fake_disk_set_full(group_disk(g, full), true);
	ck_assert(serves_for(g, 4500));
	fake_disk_set_full(group_disk(g, full), false);
	finish_with_voter(g, full);
}
END_TEST

/* One error of any step of the disk, at any replica. */
START_TEST(error_at_every_disk_step)
{
	struct group *g = start_three(100 + (uint32_t)_i);
	uint64_t bad = victim_of(g, _i % 3);

	fake_disk_fail_after(group_disk(g, bad), (uint32_t)_i / 6,
			     codes[_i / 3 % 2]);
	ck_assert(serves_for(g, 2500));
	finish_with_voter(g, bad);
}
END_TEST

/* One error of any step of the first start, also of that of the whole group. */
START_TEST(error_at_every_step_of_the_first_start)
{
	struct group *g = new_group(600 + (uint32_t)_i, 3);
	uint64_t bad = 1 + (uint64_t)_i % 3;

	fake_disk_fail_after(group_disk(g, bad), (uint32_t)_i / 6,
			     codes[_i / 3 % 2]);
	for (uint64_t vm = 1; vm <= 3; vm++)
		group_start(g, vm);
	ck_assert(commits_within(g, RECOVERY_MS));
	finish_with_voter(g, bad);
}
END_TEST

/*
 * One error of any step of a later start, after a process end, with or without
 * an unfinished record.
 */
START_TEST(error_at_every_step_of_a_restart)
{
	struct group *g = start_three(700 + (uint32_t)_i);
	uint64_t bad = victim_of(g, _i % 3);
	struct fake_disk *disk = group_disk(g, bad);

	fake_disk_crash_after(disk, 10 + (uint32_t)_i / 6 % 3);
	for (int i = 0; i < 100 && group_is_up(g, bad); i++)
		run_with_load(g, 50);
	ck_assert(!group_is_up(g, bad));
	group_kill(g, bad);
	fake_disk_fail_after(disk, (uint32_t)_i / 18, codes[_i / 3 % 2]);
	group_start(g, bad);
	ck_assert(serves_for(g, 2500));
	finish_with_voter(g, bad);
}
END_TEST

static const enum fake_disk_op lasting[] = {
	FAKE_DISK_WRITE,    FAKE_DISK_SYNC,   FAKE_DISK_RENAME,
	FAKE_DISK_SYNC_DIR, FAKE_DISK_UNLINK,
};

/* All operations of a kind fail for a time. */
START_TEST(lasting_error_takes_no_voter_out_for_good)
{
	struct group *g = start_three(800 + (uint32_t)_i);
	uint64_t bad = victim_of(g, _i % 3);
	enum fake_disk_op op = lasting[_i / 3 % G_N_ELEMENTS(lasting)];

	fake_disk_set_error(group_disk(g, bad), op, codes[_i % 2]);
	ck_assert(serves_for(g, 4500));
	fake_disk_set_error(group_disk(g, bad), op, 0);
	finish_with_voter(g, bad);
}
END_TEST

/*
 * A leader that cannot write is replaced within a second; until then it leads,
 * since the others' disks commit.
 */
START_TEST(failing_leader_hands_over)
{
	struct group *g = start_three(900 + (uint32_t)_i);
	uint64_t bad = group_leader(g);

	if (_i % 3 == 0)
		fake_disk_set_full(group_disk(g, bad), true);
	else
		fake_disk_set_error(group_disk(g, bad), lasting[_i % 3 - 1],
				    -EIO);
	group_propose(g, bad, 30);
	group_run(g, 30);
	ck_assert_int_ne(status_of(g, bad).write_error, 0);
	ck_assert(commits_within(g, HANDOVER_GAP_MS));
	run_with_load(g, HANDOVER_MS - 30 - HANDOVER_GAP_MS);
	ck_assert(!status_of(g, bad).lease);
	ck_assert_uint_ne(group_leader(g), bad);
	ck_assert(commits_within(g, HANDOVER_GAP_MS));
	run_with_load(g, 1000);
	fake_disk_repair(group_disk(g, bad));
	finish_with_voter(g, bad);
}
END_TEST

/* The disk does not answer for a time; then the operation succeeds or fails. */
START_TEST(stalled_disk_takes_no_voter_out_for_good)
{
	struct group *g = start_three(1000 + (uint32_t)_i);
	uint64_t bad = victim_of(g, _i % 3);
	int code = _i / 3 % 2 ? -EIO : 0;

	run_with_load(g, 50 * ((uint32_t)_i / 6));
	group_run(g, (uint32_t)_i % 7);
	fake_disk_stall(group_disk(g, bad));
	ck_assert(serves_for(g, 4500));
	fake_disk_end_stall(group_disk(g, bad), code);
	finish_with_voter(g, bad);
}
END_TEST

/* --- a group that chooses its voters --- */

#define SPARE_FROM 4
#define SPARE_TO   5

/* Three voters, and two VMs that ask to join. */
static struct group *start_with_spares(uint32_t seed)
{
	struct group_conf conf = {
		.seed = seed,
		.listed = 3,
		.voters_wanted = 3,
		.link = { .delay_min_ms = 1, .delay_max_ms = 4 },
		.sync_max_ms = 5,
		.snapshot_entries = 8,
	};
	struct group *g = group_new(&conf);

	for (uint64_t vm = 1; vm <= 3; vm++)
		group_start(g, vm);
	ck_assert(group_wait_leader(g, 10000));
	group_run(g, 1000);
	for (uint64_t vm = SPARE_FROM; vm <= SPARE_TO; vm++)
		group_start(g, vm);
	run_with_load(g, 2000);
	ck_assert(group_members_are(g, first_three, 3));
	return g;
}

/* The number of voters that run and whose disk works. */
static uint32_t working_voters(struct group *g)
{
	const struct dl_rlog_members *m;
	uint32_t n = 0;

	if (!group_leader(g))
		return 0;
	m = dl_rlog_members(group_rlog(g, group_leader(g)));
	for (uint32_t i = 0; i < m->count; i++)
		n += m->at[i].voter && group_is_up(g, m->at[i].vm) &&
		     !status_of(g, m->at[i].vm).write_error;
	return n;
}

/*
 * A voter whose disk fails for long is replaced, also if the disk of one of
 * those that could take its place fails: the group then bears another loss.
 */
START_TEST(failing_voter_is_replaced)
{
	struct group *g = start_with_spares(1500 + (uint32_t)_i);
	uint64_t bad = victim_of(g, _i % 3);
	uint64_t spare = SPARE_FROM + (uint64_t)_i / 3 % 2, lost;

	fake_disk_set_full(group_disk(g, bad), true);
	if (_i >= 6)
		fake_disk_set_full(group_disk(g, spare), true);
	ck_assert(serves_for(g, 20000));
	ck_assert_uint_eq(working_voters(g), 3);
	lost = group_leader(g);
	group_kill(g, lost);
	ck_assert(commits_within(g, RECOVERY_MS));
	group_start(g, lost);
	fake_disk_repair(group_disk(g, bad));
	fake_disk_repair(group_disk(g, spare));
	ck_assert(serves_for(g, 10000));
	ck_assert_uint_eq(working_voters(g), 3);
	finish_group(g);
}
END_TEST

/* --- ends of the process and of the VM --- */

enum {
	ENDS_PROCESS,
	ENDS_VM,
	ENDS_BOTH,
	ENDS_COUNT
};

/*
 * The process or the VM ends between any two steps of a write that failed and
 * was repeated, or the VM ends while the new process starts.  The fake group
 * checks that what was acknowledged is still held.
 */
START_TEST(end_at_every_step_after_an_error)
{
	uint32_t i = (uint32_t)_i, ends = i % ENDS_COUNT, which;
	uint32_t fails = i / ENDS_COUNT % 12, steps;
	struct fake_disk *disk;
	struct group *g;
	uint64_t bad;

	steps = i / ENDS_COUNT / 12 % 9;
	which = i / ENDS_COUNT / 12 / 9;
	g = start_three(2000 + i);
	bad = victim_of(g, (int)which);
	disk = group_disk(g, bad);
	fake_disk_fail_after(disk, fails, codes[i % 2]);
	fake_disk_crash_after(disk, fails + 1 + steps);
	for (int j = 0; j < 100 && group_is_up(g, bad); j++)
		run_with_load(g, 50);
	ck_assert(!group_is_up(g, bad));
	if (ends == ENDS_VM)
		group_crash(g, bad);
	else
		group_kill(g, bad);
	if (ends == ENDS_BOTH)
		fake_disk_crash_after(disk, i % 6);
	group_start(g, bad);
	run_with_load(g, 200);
	if (ends == ENDS_BOTH) {
		group_crash(g, bad);
		group_start(g, bad);
	}
	finish_with_voter(g, bad);
}
END_TEST

/*
 * A record whose sync failed is read by the next process; what this one
 * promises then must survive the VM.
 */
START_TEST(failed_sync_then_process_end_then_power_loss)
{
	struct group *g = start_three(5000 + (uint32_t)_i);
	uint64_t bad = victim_of(g, _i % 3);

	fake_disk_set_error(group_disk(g, bad), FAKE_DISK_SYNC, -EIO);
	run_with_load(g, 50 + 50 * ((uint32_t)_i % 5));
	group_kill(g, bad);
	fake_disk_set_error(group_disk(g, bad), FAKE_DISK_SYNC, 0);
	group_start(g, bad);
	group_run(g, (uint32_t)_i % 400);
	group_crash(g, bad);
	group_start(g, bad);
	finish_with_voter(g, bad);
}
END_TEST

/* --- all disks --- */

/* All disks are full at the same time; nobody restarts anything. */
START_TEST(all_disks_full_and_room_again)
{
	uint32_t replicas = _i % 2 ? 3 : 1;
	struct group *g = start_group(6000 + (uint32_t)_i, replicas);

	for (uint64_t vm = 1; vm <= replicas; vm++)
		fake_disk_set_full(group_disk(g, vm), true);
	run_with_load(g, 4500);
	for (uint64_t vm = 1; vm <= replicas; vm++)
		fake_disk_set_full(group_disk(g, vm), false);
	ck_assert(commits_within(g, RECOVERY_MS));
	finish_group(g);
}
END_TEST

/* All disks fail in another way at the same time. */
START_TEST(all_disks_fail_and_work_again)
{
	uint32_t replicas = _i % 2 ? 3 : 1;
	struct group *g = start_group(7000 + (uint32_t)_i, replicas);
	uint32_t kind = (uint32_t)_i / 2 % 6;

	for (uint64_t vm = 1; vm <= replicas; vm++) {
		if (kind < G_N_ELEMENTS(lasting))
			fake_disk_set_error(group_disk(g, vm), lasting[kind],
					    -EIO);
		else
			fake_disk_stall(group_disk(g, vm));
	}
	run_with_load(g, 4500);
	for (uint64_t vm = 1; vm <= replicas; vm++) {
		if (_i / 12 % 2)
			fake_disk_end_stall(group_disk(g, vm), -EIO);
		fake_disk_repair(group_disk(g, vm));
	}
	ck_assert(commits_within(g, RECOVERY_MS));
	finish_group(g);
}
END_TEST

/* --- files and the start --- */

/* An old file that could not be removed goes with the next generation. */
START_TEST(old_files_are_removed_later)
{
	struct group *g = start_three(8000 + (uint32_t)_i);
	uint64_t bad = victim_of(g, _i % 3);

	fake_disk_set_error(group_disk(g, bad), FAKE_DISK_UNLINK, -EIO);
	run_with_load(g, 2000);
	ck_assert_uint_gt(fake_disk_files(group_disk(g, bad)), 2);
	fake_disk_set_error(group_disk(g, bad), FAKE_DISK_UNLINK, 0);
	run_with_load(g, 2000);
	ck_assert_uint_eq(fake_disk_files(group_disk(g, bad)), 1);
	finish_group(g);
}
END_TEST

/* The repeated attempts of a long failure do not fill the disk with files. */
START_TEST(long_failure_leaves_few_files)
{
	struct group *g = start_three(8100 + (uint32_t)_i);
	uint64_t bad = victim_of(g, _i % 3);
	uint32_t most = 0;

	fake_disk_set_error(group_disk(g, bad), lasting[_i / 3], -EIO);
	for (int i = 0; i < 60; i++) {
		run_with_load(g, 500);
		most = MAX(most, fake_disk_files(group_disk(g, bad)));
	}
	ck_assert_uint_le(most, FILES_MAX);
	fake_disk_repair(group_disk(g, bad));
	run_with_load(g, 2000);
	ck_assert_uint_eq(fake_disk_files(group_disk(g, bad)), 1);
	finish_with_voter(g, bad);
}
END_TEST

/*
 * A start that cannot read the disk takes nothing for damage or for an empty
 * disk: a later start finds everything.
 */
START_TEST(unreadable_start_changes_nothing)
{
	struct group *g = start_three(8200 + (uint32_t)_i);
	uint64_t bad = victim_of(g, _i % 3);
	uint64_t id = group_identity(g, bad);
	enum fake_disk_op op = _i / 3 ? FAKE_DISK_READ : FAKE_DISK_LIST;

	run_with_load(g, 500);
	group_kill(g, bad);
	fake_disk_set_error(group_disk(g, bad), op, -EIO);
	group_start(g, bad);
	ck_assert_uint_eq(group_get_counters(g)->unreadable, 1);
	ck_assert_int_eq(status_of(g, bad).role, DL_RLOG_HALTED);
	ck_assert(serves_for(g, 2000));
	fake_disk_repair(group_disk(g, bad));
	group_kill(g, bad);
	group_start(g, bad);
	ck_assert_uint_eq(group_identity(g, bad), id);
	finish_with_voter(g, bad);
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

/* --- memory --- */

static void run_disk(struct fake_disk *disk, int64_t *now)
{
	for (int i = 0; i < 50; i++)
		fake_disk_run(disk, (*now)++);
}

/* A record that memory does not suffice for must not be stored in part. */
START_TEST(record_without_memory_is_not_written)
{
	struct fake_disk *d = fake_disk_new(1);
	struct dl_disk disk = { &fake_disk_ops, d };
	struct dl_rlog_snapshot snap = { .index = 9, .term = 1 };
	struct dl_rlog_record rec = { .seq = 1,
				      .cluster = 5,
				      .term = 1,
				      .base_index = 9,
				      .base_term = 1,
				      .snapshot = &snap };
	struct dl_rlog_store *store;
	struct dl_rlog_image image;
	struct dl_err err;
	int64_t now = 0;

	ck_assert_int_eq(dl_rlog_store_open(disk, 77, &store, &image, &err), 0);
	dl_rlog_store_start(store, noting);
	run_disk(d, &now);
	ck_assert_int_eq(last_code, 0);
	/* More than there can be; it is never read. */
	snap.data = (struct dl_str){ "x", SIZE_MAX / 4 };
	dl_rlog_store_write(store, &rec, noting);
	run_disk(d, &now);
	ck_assert_int_eq(last_code, -ENOMEM);
	snap.data = DL_STR("state");
	dl_rlog_store_write(store, &rec, noting);
	run_disk(d, &now);
	ck_assert_int_eq(last_code, 0);
	dl_rlog_store_free(store);
	ck_assert_int_eq(dl_rlog_store_open(disk, 78, &store, &image, &err), 0);
	ck_assert_uint_eq(image.snapshot.index, 9);
	ck_assert(dl_str_eq(image.snapshot.data, DL_STR("state")));
	dl_rlog_image_free(&image);
	dl_rlog_store_free(store);
	fake_disk_free(d);
}
END_TEST

/* --- the lease while disks fail or hang --- */

/* Runs under load; returns for how long nobody could serve a read, ms. */
static uint32_t unserved_ms(struct group *g, uint32_t ms)
{
	uint32_t sum = 0;

	for (uint32_t i = 0; i < ms / 50; i++) {
		uint64_t leader = group_leader(g), index;

		if (leader)
			group_propose(g, leader, 30);
		group_run(g, 50);
		leader = group_leader(g);
		if (!leader || dl_rlog_read(group_rlog(g, leader),
					    group_local(g, leader), &index))
			sum += 50;
	}
	return sum;
}

static void repair_and_finish(struct group *g, uint64_t vms)
{
	for (uint64_t vm = 1; vm <= vms; vm++) {
		fake_disk_repair(group_disk(g, vm));
		fake_disk_set_sync_ms(group_disk(g, vm), 1, 5);
	}
	unserved_ms(g, 10000);
	finish_group(g);
}

/* Nobody could elect a successor: its disk hangs, which it does not know. */
START_TEST(full_leader_does_not_hand_over_to_hanging_disks)
{
	struct group *g = start_three(9000 + (uint32_t)_i);
	uint64_t leader = group_leader(g);

	fake_disk_set_full(group_disk(g, leader), true);
	fake_disk_set_sync_ms(group_disk(g, leader % 3 + 1), 8000, 8000);
	ck_assert_uint_eq(unserved_ms(g, 7500), 0);
	repair_and_finish(g, 3);
}
END_TEST

START_TEST(hanging_leader_does_not_hand_over_to_hanging_disks)
{
	struct group *g = start_three(9100 + (uint32_t)_i);
	uint64_t leader = group_leader(g);

	fake_disk_set_sync_ms(group_disk(g, leader), 20000, 20000);
	fake_disk_set_sync_ms(group_disk(g, leader % 3 + 1), 20000, 20000);
	ck_assert_uint_eq(unserved_ms(g, 19000), 0);
	repair_and_finish(g, 3);
}
END_TEST

static struct group *start_with_many_spares(uint32_t seed)
{
	struct group *g = group_new(&(struct group_conf){
		.seed = seed,
		.vms = 7,
		.listed = 3,
		.late_listed = 1,
		.voters_wanted = 3,
		.domains = 3,
		.link = { .delay_min_ms = 1, .delay_max_ms = 3 },
		.sync_min_ms = 1,
		.sync_max_ms = 8,
		.snapshot_entries = 40,
	});

	for (uint64_t vm = 6; vm >= 1; vm--)
		group_start(g, vm);
	ck_assert(group_wait_leader(g, 5000));
	group_run(g, 5000);
	return g;
}

static bool votes(struct group *g, uint64_t vm)
{
	const struct dl_rlog_members *m =
		dl_rlog_members(group_rlog(g, group_leader(g)));

	for (uint32_t i = 0; i < m->count; i++) {
		if (m->at[i].vm == vm)
			return m->at[i].voter;
	}
	return false;
}

/*
 * A change of the members that full disks cannot store must not end the
 * promises of their replicas: two of three voters are full, or one is and the
 * other is lost, and other VMs ask to join.
 */
START_TEST(lease_outlives_members_that_cannot_be_stored)
{
	struct group *g = start_with_many_spares(9200 + (uint32_t)_i);
	uint64_t leader = group_leader(g);
	bool lose_one = _i % 2;

	for (uint64_t vm = 1; vm < 7; vm++) {
		if (vm == leader || !votes(g, vm))
			continue;
		if (lose_one)
			group_crash(g, vm);
		else
			fake_disk_set_full(group_disk(g, vm), true);
		lose_one = false;
	}
	ck_assert_uint_eq(unserved_ms(g, 8000), 0);
	repair_and_finish(g, 7);
}
END_TEST

START_TEST(lease_outlives_a_lost_disk_beside_a_full_one)
{
	struct group *g = start_three(9300 + (uint32_t)_i);
	uint64_t leader = group_leader(g), full = leader % 3 + 1;
	uint64_t lost = 6 - leader - full;

	fake_disk_set_full(group_disk(g, full), true);
	group_wipe(g, lost);
	ck_assert_uint_eq(unserved_ms(g, 1000), 0);
	group_start(g, lost);
	ck_assert_uint_eq(unserved_ms(g, 5000), 0);
	repair_and_finish(g, 3);
}
END_TEST

static void cut_both_ways(struct group *g, uint64_t a, uint64_t b)
{
	fake_link_cut(group_link(g), a, b);
	fake_link_cut(group_link(g), b, a);
}

/* Seeds with which two leaders held a lease. */
static const uint32_t two_lease_seeds[] = { 230, 1562, 2140, 2539, 2825, 2970 };

/*
 * A replica that cannot yet drop an entry by which a voter was removed must not
 * promise that voter anything: after a power loss it finds the entry on its
 * disk, and would not ask that voter whether it leads.
 */
START_TEST(no_promise_to_a_leader_that_the_disk_does_not_know)
{
	static const uint64_t four[] = { 1, 2, 3, 4 };
	static const uint64_t five[] = { 1, 2, 3, 4, 5 };
	uint32_t seed = two_lease_seeds[_i / 2], n = 0;
	uint64_t old, removed = 5, holder, third, other, v[3] = { 0 };
	struct group *g = group_new(&(struct group_conf){
		.seed = seed,
		.listed = 5,
		.link = { .delay_min_ms = 1, .delay_max_ms = 3 },
		.sync_max_ms = 3,
	});

	for (uint64_t vm = 1; vm <= 5; vm++)
		group_start(g, vm);
	ck_assert(group_wait_leader(g, 10000));
	group_run(g, 1500);
	old = group_leader(g);
	ck_assert_uint_ne(old, removed);
	for (uint64_t vm = 1; vm <= 4; vm++) {
		if (vm != old)
			v[n++] = vm;
	}
	holder = v[seed % 3];
	third = v[(seed + 1) % 3];
	other = v[(seed + 2) % 3];
	/* The removal reaches one replica only, and its leader is cut off. */
	fake_link_cut(group_link(g), old, third);
	fake_link_cut(group_link(g), old, other);
	fake_link_cut(group_link(g), old, removed);
	group_set_replicas(g, four, 4);
	group_run(g, 400);
	group_set_replicas(g, five, 5);
	fake_link_isolate(group_link(g), old);
	for (int i = 0; i < 6000 && group_leader(g) != removed; i++)
		group_run(g, 1);
	ck_assert_uint_eq(group_leader(g), removed);
	/* The holder knows the new term, and cannot drop the entry. */
	if (_i % 2)
		fake_disk_set_full(group_disk(g, holder), true);
	else
		fake_disk_set_sync_ms(group_disk(g, holder), 60000, 60000);
	group_run(g, 30);
	fake_link_heal(group_link(g));
	cut_both_ways(g, removed, other);
	cut_both_ways(g, removed, old);
	cut_both_ways(g, third, other);
	cut_both_ways(g, old, third);
	for (int i = 0; i < 1500; i++) {
		struct dl_rlog *r = group_rlog(g, other);
		int64_t left = dl_rlog_wakeup(r) - group_local(g, other);

		group_run(g, 1);
		if (i > 1100 && left < 60 && left > 40)
			break;
	}
	cut_both_ways(g, removed, holder);
	group_crash(g, holder);
	fake_disk_repair(group_disk(g, holder));
	fake_disk_set_sync_ms(group_disk(g, holder), 0, 3);
	group_start(g, holder);
	group_run(g, 900);
	ck_assert_str_eq(group_violation(g), "");
	group_free(g);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("rlog_disk");
	TCase *t = tcase_create("disk");

	suite_add_tcase(s, t);
	tcase_set_timeout(t, 60);
	tcase_add_loop_test(t, failed_sync_drops_data, 0, 20);
	tcase_add_test(t, dropped_data_is_lost_in_a_crash);
	tcase_add_test(t, lasting_faults_end_when_lifted);
	tcase_add_loop_test(t, full_disk_takes_no_voter_out_for_good, 0, 12);
	tcase_add_loop_test(t, error_at_every_disk_step, 0, STEPS_TRIED * 6);
	tcase_add_loop_test(t, error_at_every_step_of_the_first_start, 0,
			    20 * 6);
	tcase_add_loop_test(t, error_at_every_step_of_a_restart, 0, 8 * 18);
	tcase_add_loop_test(t, lasting_error_takes_no_voter_out_for_good, 0,
			    30);
	tcase_add_loop_test(t, failing_leader_hands_over, 0, 12);
	tcase_add_loop_test(t, stalled_disk_takes_no_voter_out_for_good, 0, 48);
	tcase_add_loop_test(t, failing_voter_is_replaced, 0, 24);
	tcase_add_loop_test(t, end_at_every_step_after_an_error, 0,
			    ENDS_COUNT * 12 * 9 * 3);
	tcase_add_loop_test(t, failed_sync_then_process_end_then_power_loss, 0,
			    60);
	tcase_add_loop_test(t, all_disks_full_and_room_again, 0, 8);
	tcase_add_loop_test(t, all_disks_fail_and_work_again, 0, 24);
	tcase_add_loop_test(t, old_files_are_removed_later, 0, 3);
	tcase_add_loop_test(t, long_failure_leaves_few_files, 0,
			    3 * G_N_ELEMENTS(lasting) - 3);
	tcase_add_loop_test(t, unreadable_start_changes_nothing, 0, 6);
	tcase_add_loop_test(t, full_disks_of_a_majority_keep_the_leader, 0, 12);
	tcase_add_loop_test(t, full_leader_does_not_hand_over_to_hanging_disks,
			    0, 6);
	tcase_add_loop_test(
		t, hanging_leader_does_not_hand_over_to_hanging_disks, 0, 6);
	tcase_add_loop_test(t, lease_outlives_members_that_cannot_be_stored, 0,
			    8);
	tcase_add_loop_test(t, lease_outlives_a_lost_disk_beside_a_full_one, 0,
			    6);
	tcase_add_loop_test(t,
			    no_promise_to_a_leader_that_the_disk_does_not_know,
			    0, 2 * G_N_ELEMENTS(two_lease_seeds));
	/* The sanitizer ends a process that asks for so much memory. */
	if (!getenv("DL_SANITIZED"))
		tcase_add_test(t, record_without_memory_is_not_written);
	return suite_run(s);
}
