/* Tests of the replicated log, over the fake link and fake disks. */
#include <check.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>

#include "fake/group.h"
#include "fake/suite.h"

static const uint64_t first_three[] = { 1, 2, 3 };

static struct group *start_three(uint32_t seed)
{
	struct group *g = group_new(&(struct group_conf){
		.seed = seed,
		.listed = 3,
		.link = { .delay_min_ms = 1, .delay_max_ms = 2 },
		.sync_min_ms = 1,
		.sync_max_ms = 3,
		.snapshot_entries = 40,
		.chunk_bytes = 64,
		.snapshot_padding = 200,
	});

	for (uint64_t vm = 1; vm <= 3; vm++)
		group_start(g, vm);
	ck_assert(group_wait_leader(g, 20000));
	return g;
}

static void propose_and_run(struct group *g, uint32_t n)
{
	for (uint32_t i = 0; i < n; i++) {
		ck_assert_int_eq(group_propose(g, group_leader(g), 20), 0);
		group_run(g, 4);
	}
}

static void finish_group(struct group *g)
{
	ck_assert_msg(group_wait_converged(g, 30000),
		      "replicas do not converge");
	ck_assert_str_eq(group_violation(g), "");
	group_free(g);
}

static uint64_t follower(struct group *g)
{
	return group_leader(g) == 1 ? 2 : 1;
}

static struct dl_rlog_status get_status(struct group *g, uint64_t vm)
{
	struct dl_rlog_status s;

	dl_rlog_get_status(group_rlog(g, vm), group_now(g), &s);
	return s;
}

START_TEST(commits_on_all_replicas)
{
	struct group *g = start_three(1);

	propose_and_run(g, 100);
	group_run(g, 100);
	ck_assert_uint_eq(group_get_counters(g)->acked, 100);
	finish_group(g);
}
END_TEST

START_TEST(leader_lost)
{
	struct group *g = start_three(2);
	uint64_t old = group_leader(g);

	propose_and_run(g, 10);
	group_crash(g, old);
	ck_assert(group_wait_leader(g, 4000));
	ck_assert_uint_ne(group_leader(g), old);
	propose_and_run(g, 10);
	group_start(g, old);
	finish_group(g);
}
END_TEST

START_TEST(isolated_leader_steps_down)
{
	struct group *g = start_three(3);
	uint64_t old = group_leader(g);

	fake_link_isolate(group_link(g), old);
	group_run(g, 950);
	ck_assert(!get_status(g, old).lease);
	group_run(g, 300);
	ck_assert_int_ne(get_status(g, old).role, DL_RLOG_LEADER);
	ck_assert(group_wait_leader(g, 4000));
	fake_link_heal(group_link(g));
	finish_group(g);
}
END_TEST

/*
 * Pre-vote: a partitioned replica that comes back does not depose the leader.
 */
START_TEST(returning_replica_does_not_depose)
{
	struct group *g = start_three(4);
	uint64_t leader = group_leader(g), away = follower(g);
	uint64_t term = get_status(g, leader).term;

	fake_link_isolate(group_link(g), away);
	group_run(g, 20000);
	fake_link_heal(group_link(g));
	group_run(g, 5000);
	ck_assert_uint_eq(group_leader(g), leader);
	ck_assert_uint_eq(get_status(g, leader).term, term);
	finish_group(g);
}
END_TEST

/*
 * A replica that receives nothing, but whose messages arrive, does not depose
 * the leader either.
 */
START_TEST(one_way_cut_does_not_depose)
{
	struct group *g = start_three(5);
	uint64_t leader = group_leader(g), unreachable = follower(g);

	fake_link_cut(group_link(g), DL_VM_NONE, unreachable);
	group_run(g, 20000);
	ck_assert_uint_eq(group_leader(g), leader);
	fake_link_heal(group_link(g));
	finish_group(g);
}
END_TEST

START_TEST(catches_up_by_snapshot)
{
	struct group *g = start_three(6);
	uint64_t away = follower(g);

	group_crash(g, away);
	propose_and_run(g, 300);
	group_start(g, away);
	finish_group(g);
}
END_TEST

START_TEST(transfer_avoids_election_timeout)
{
	struct group *g = start_three(7);
	uint64_t old = group_leader(g);
	int64_t begin;

	propose_and_run(g, 5);
	begin = group_now(g);
	ck_assert_int_eq(dl_rlog_transfer(group_rlog(g, old), begin), 0);
	while (group_leader(g) == old || !group_leader(g))
		group_run(g, 1);
	ck_assert_int_lt(group_now(g) - begin, 100);
	finish_group(g);
}
END_TEST

START_TEST(lost_disk_gets_new_identity)
{
	struct group *g = start_three(8);
	uint64_t lost = follower(g), before = group_identity(g, lost);

	propose_and_run(g, 60);
	group_wipe(g, lost);
	group_run(g, 2000);
	group_start(g, lost);
	group_run(g, 3000);
	ck_assert_uint_ne(group_identity(g, lost), before);
	ck_assert(group_members_are(g, first_three, 3));
	finish_group(g);
}
END_TEST

/*
 * The group still commits if a second disk is lost right after the replacement
 * of the first.
 */
START_TEST(second_loss_after_replacement)
{
	struct group *g = start_three(9);
	uint64_t lost = follower(g), second;

	propose_and_run(g, 60);
	group_wipe(g, lost);
	group_start(g, lost);
	for (int i = 0; i < 10000 && !group_members_are(g, first_three, 3); i++)
		group_run(g, 1);
	second = lost == 3 ? 2 : 3;
	group_wipe(g, second);
	ck_assert(group_wait_leader(g, 5000));
	propose_and_run(g, 10);
	group_start(g, second);
	group_run(g, 5000);
	ck_assert(group_members_are(g, first_three, 3));
	finish_group(g);
}
END_TEST

START_TEST(replica_list_changes_one_by_one)
{
	static const uint64_t five[] = { 1, 2, 3, 4, 5 };
	static const uint64_t others[] = { 3, 4, 5 };
	struct group *g = start_three(10);

	propose_and_run(g, 50);
	group_start(g, 4);
	group_start(g, 5);
	group_set_replicas(g, five, 5);
	group_run(g, 8000);
	ck_assert(group_members_are(g, five, 5));
	group_set_replicas(g, others, 3);
	group_run(g, 8000);
	ck_assert(group_members_are(g, others, 3));
	group_kill(g, 1);
	group_kill(g, 2);
	propose_and_run(g, 20);
	ck_assert_str_eq(group_violation(g), "");
	group_free(g);
}
END_TEST

START_TEST(waits_for_a_replica_that_never_came)
{
	static const uint64_t with_six[] = { 1, 2, 6 };
	struct group *g = start_three(11);
	struct dl_err err;

	group_set_replicas(g, with_six, 3);
	group_run(g, 5000);
	ck_assert(group_members_are(g, first_three, 3));
	ck_assert_str_ne(get_status(g, group_leader(g)).waiting_for, "");
	ck_assert_int_eq(dl_rlog_check_replicas(group_rlog(g, group_leader(g)),
						(uint64_t[]){ 6, 7, 8 }, 3,
						group_now(g), &err),
			 -EINVAL);
	finish_group(g);
}
END_TEST

START_TEST(all_restarted_at_once)
{
	struct group *g = start_three(12);

	propose_and_run(g, 70);
	for (uint64_t vm = 1; vm <= 3; vm++)
		group_crash(g, vm);
	for (uint64_t vm = 1; vm <= 3; vm++)
		group_start(g, vm);
	ck_assert(group_wait_leader(g, 6000));
	propose_and_run(g, 5);
	finish_group(g);
}
END_TEST

/*
 * After a start a replica knows that its snapshot was committed, but not how
 * much was committed after it.  Its state is not current until a leader has
 * sent the commit index, even if the snapshot is of the current term.
 */
START_TEST(snapshot_alone_is_not_current)
{
	struct group *g = start_three(31);
	uint64_t behind = follower(g);

	propose_and_run(g, 100);
	group_run(g, 500);
	ck_assert(get_status(g, behind).current);
	for (uint64_t vm = 1; vm <= 3; vm++)
		group_crash(g, vm);
	for (uint64_t vm = 1; vm <= 3; vm++)
		group_start(g, vm);
	group_run(g, 20);
	for (uint64_t vm = 1; vm <= 3; vm++) {
		ck_assert_uint_gt(get_status(g, vm).applied, 0);
		ck_assert(!get_status(g, vm).current);
	}
	ck_assert(group_wait_leader(g, 4000));
	group_run(g, 500);
	for (uint64_t vm = 1; vm <= 3; vm++)
		ck_assert(get_status(g, vm).current);
	behind = follower(g);
	group_crash(g, behind);
	fake_link_isolate(group_link(g), behind);
	group_start(g, behind);
	group_run(g, 500);
	ck_assert(!get_status(g, behind).current);
	fake_link_heal(group_link(g));
	finish_group(g);
}
END_TEST

/*
 * A learner whose addition was lost with its leader must ask to join again: no
 * other leader knows of it.
 */
START_TEST(learner_of_a_lost_leader_asks_to_join)
{
	struct group *g = start_three(100 + (uint32_t)_i);
	uint64_t leader = group_leader(g), lost = follower(g);
	uint64_t other = 6 - leader - lost;

	propose_and_run(g, 60);
	group_run(g, 500);
	group_wipe(g, lost);
	fake_link_cut(group_link(g), leader, other);
	fake_disk_set_sync_ms(group_disk(g, leader), 60000, 60000);
	group_start(g, lost);
	for (int i = 0; i < 900 && !get_status(g, lost).synced; i++)
		group_run(g, 1);
	ck_assert_int_eq(get_status(g, lost).role, DL_RLOG_FOLLOWER);
	group_kill(g, lost);
	group_start(g, lost);
	for (int i = 0; i < 900 && get_status(g, lost).leader != leader; i++)
		group_run(g, 1);
	ck_assert_uint_eq(get_status(g, lost).leader, leader);
	group_crash(g, leader);
	fake_link_heal(group_link(g));
	fake_disk_set_sync_ms(group_disk(g, leader), 1, 5);
	group_start(g, leader);
	ck_assert(group_wait_leader(g, 5000));
	group_run(g, 10000);
	ck_assert(group_members_are(g, first_three, 3));
	finish_group(g);
}
END_TEST

/* A new voter that has promised nothing yet does not depose its leader. */
START_TEST(replacing_a_lost_disk_keeps_the_leader)
{
	struct group *g = start_three(70 + (uint32_t)_i);
	uint64_t leader = group_leader(g), lost = follower(g);
	uint64_t term = get_status(g, leader).term;

	propose_and_run(g, 10);
	group_run(g, 2000);
	group_wipe(g, lost);
	group_run(g, 200 * (uint32_t)_i);
	group_start(g, lost);
	for (int i = 0; i < 100; i++) {
		group_run(g, 50);
		ck_assert_uint_eq(group_leader(g), leader);
		ck_assert_uint_eq(get_status(g, leader).term, term);
	}
	ck_assert(group_members_are(g, first_three, 3));
	finish_group(g);
}
END_TEST

/*
 * An entry that one of two reachable replicas failed to sync is not
 * acknowledged, by the leader or a follower, until that replica has stored it;
 * it does so by itself, or when its process is started again.
 */
START_TEST(failed_sync_is_not_acknowledged)
{
	static const int codes[] = { -EIO, -ENOSPC };
	struct group *g = start_three(13 + (uint32_t)_i);
	uint64_t leader = group_leader(g);
	uint64_t bad = _i / 4 ? leader : follower(g);
	uint64_t away = bad == leader ? follower(g) : 6 - leader - bad;
	uint64_t synced = get_status(g, bad).synced;
	uint64_t acked = group_get_counters(g)->acked;

	fake_link_isolate(group_link(g), away);
	fake_disk_fail_after(group_disk(g, bad), 1, codes[_i % 2]);
	group_propose(g, leader, 20);
	group_run(g, 50);
	ck_assert_int_eq(get_status(g, bad).write_error, codes[_i % 2]);
	ck_assert_uint_eq(get_status(g, bad).synced, synced);
	ck_assert_uint_eq(group_get_counters(g)->acked, acked);
	if (_i / 2 % 2) {
		group_kill(g, bad);
		group_start(g, bad);
	} else {
		group_run(g, 500);
		ck_assert_int_eq(get_status(g, bad).write_error, 0);
		ck_assert_uint_eq(group_leader(g), leader);
		ck_assert_uint_eq(group_get_counters(g)->acked, acked + 1);
	}
	ck_assert(group_wait_leader(g, 5000));
	fake_link_heal(group_link(g));
	finish_group(g);
}
END_TEST

/* A replica with damage in the middle of its journal halts with a reason. */
START_TEST(damage_is_refused)
{
	struct group *g = start_three(20 + (uint32_t)_i);
	uint64_t bad = follower(g);
	struct fake_disk *disk = group_disk(g, bad);

	propose_and_run(g, 30);
	group_run(g, 50);
	group_kill(g, bad);
	ck_assert(fake_disk_flip_bit(disk, fake_disk_bytes(disk) *
						   (uint64_t)_i / 20));
	group_start(g, bad);
	group_run(g, 50);
	ck_assert_int_eq(get_status(g, bad).role, DL_RLOG_HALTED);
	ck_assert_uint_eq(group_get_counters(g)->damaged, 1);
	group_wipe(g, bad);
	group_start(g, bad);
	group_run(g, 3000);
	ck_assert(group_members_are(g, first_three, 3));
	finish_group(g);
}
END_TEST

/* The VM goes down before each single disk operation. */
START_TEST(crash_at_every_disk_step)
{
	struct group *g = start_three(100 + (uint32_t)_i);
	uint64_t vm = _i % 2 ? group_leader(g) : follower(g);

	fake_disk_crash_after(group_disk(g, vm), (uint32_t)_i / 2);
	for (int i = 0; i < 90 && group_is_up(g, vm); i++) {
		if (group_leader(g))
			group_propose(g, group_leader(g), 20);
		group_run(g, 6);
	}
	ck_assert(!group_is_up(g, vm));
	group_crash(g, vm);
	group_start(g, vm);
	ck_assert_uint_eq(group_get_counters(g)->damaged, 0);
	finish_group(g);
}
END_TEST

/*
 * One disk that takes seconds to sync causes no election and delays no commit;
 * if a majority of the disks are that slow, commits wait and the leader stays.
 */
START_TEST(slow_disk_keeps_leader)
{
	struct group *g = start_three(40 + (uint32_t)_i);
	uint64_t leader = group_leader(g);
	uint64_t slow = _i == 1 ? leader : follower(g);
	uint64_t term = get_status(g, leader).term;

	for (uint64_t vm = 1; vm <= 3; vm++) {
		if (vm == slow || (_i == 2 && vm != leader))
			fake_disk_set_sync_ms(group_disk(g, vm), 3000, 3000);
	}
	propose_and_run(g, 50);
	group_run(g, 20);
	ck_assert(_i == 2 || group_get_counters(g)->acked == 50);
	group_run(g, 10000);
	ck_assert_uint_eq(group_leader(g), leader);
	ck_assert_uint_eq(get_status(g, leader).term, term);
	finish_group(g);
}
END_TEST

/*
 * A voter that answered its leader grants no vote to another after a restart,
 * since the leader's lease depends on that promise.
 */
START_TEST(restart_keeps_vote_promise)
{
	struct group *g = start_three(30 + (uint32_t)_i);
	uint64_t leader = group_leader(g);
	uint64_t unreachable = follower(g), other = 6 - leader - unreachable;

	fake_link_cut(group_link(g), leader, unreachable);
	group_run(g, 3000);
	ck_assert_uint_eq(group_leader(g), leader);
	fake_link_isolate(group_link(g), leader);
	group_kill(g, other);
	group_start(g, other);
	group_run(g, 600);
	ck_assert_int_eq(get_status(g, leader).role, DL_RLOG_LEADER);
	group_run(g, 4000);
	fake_link_heal(group_link(g));
	finish_group(g);
}
END_TEST

/* Delivers a reply of one voter to the single replica of this test. */
static void deliver_reply(struct dl_rlog *r, enum dl_rlog_msg_kind kind,
			  uint64_t from, uint64_t term, bool fresh, int64_t now)
{
	struct dl_rlog_msg m = {
		.kind = kind,
		.from_vm = from,
		.from_id = from,
		.to_id = 1,
		.cluster = 9,
		.term = term,
		.stamp = now,
		.ok = !fresh,
		.fresh = fresh,
	};
	struct dl_rlog_record u;

	dl_rlog_in(r, &m, now);
	if (dl_rlog_write(r, now, &u))
		dl_rlog_written(r, u.seq, 0, now);
}

/* Creates the replica of these tests, which leads two others from 2000 on. */
static struct dl_rlog *lead_alone(void)
{
	struct dl_rlog_image image = { .id = 1, .cluster = 9 };
	struct dl_rlog_conf conf;
	struct dl_rlog *r;

	dl_rlog_defaults(&conf);
	conf.self = 1;
	image.snapshot.members = (struct dl_rlog_members){
		3, { { 1, 1, true }, { 2, 2, true }, { 3, 3, true } }
	};
	r = dl_rlog_new(&conf, &image, 1, 0);
	dl_rlog_tick(r, 2000);
	deliver_reply(r, DL_RLOG_PREVOTE_REPLY, 2, 1, false, 2000);
	deliver_reply(r, DL_RLOG_VOTE_REPLY, 2, 1, false, 2000);
	return r;
}

static bool leads(const struct dl_rlog *r, int64_t now)
{
	struct dl_rlog_status s;

	dl_rlog_get_status(r, now, &s);
	return s.role == DL_RLOG_LEADER;
}

/*
 * A leader whose process stood still for almost as long as its lease, for a
 * large configuration on a busy machine, has sent nothing meanwhile.  If it
 * stepped down before it asks the others again, each leader after it would be
 * lost to the next attempt of the same change.  It has no lease until they
 * answer, and steps down if they don't, also if it stands still again.
 */
START_TEST(leader_that_stood_still_asks_before_it_steps_down)
{
	static const struct stall_case {
		int64_t ticks[8]; /* 0: no more */
		int64_t reply_at; /* 0: none after the first */
		bool leads;
	} cases[] = {
		{ { 2250, 3100, 3150 }, 3150, true },
		{ { 2250, 3100, 3350, 3590 }, 0, true },
		{ { 2250, 3100, 3350, 3600 }, 0, false },
		{ { 2250, 3100, 3700 }, 0, false },
		{ { 2250, 2500, 2750, 3000 }, 0, false },
		{ { 2250, 2500, 3000, 3250 }, 0, true },
	};
	const struct stall_case *c = &cases[_i];
	struct dl_rlog *r = lead_alone();
	struct dl_rlog_msg m;
	int64_t now = 2000;

	deliver_reply(r, DL_RLOG_APPEND_REPLY, 3, 1, false, now);
	for (int i = 0; c->ticks[i]; i++) {
		now = c->ticks[i];
		dl_rlog_tick(r, now);
		while (dl_rlog_out(r, now, &m))
			;
		ck_assert(now < 2900 || !dl_rlog_lease(r, now, NULL));
		if (now == c->reply_at)
			deliver_reply(r, DL_RLOG_APPEND_REPLY, 3, 1, false,
				      now);
	}
	ck_assert_int_eq(leads(r, now), c->leads);
	ck_assert_int_eq(dl_rlog_lease(r, now, NULL), c->reply_at > 0);
	ck_assert(!leads(r, now) || dl_rlog_wakeup(r) > now);
	dl_rlog_free(r);
}
END_TEST

#define STALL_CASES 6

/*
 * A reply of a replica without a log promises nothing, so the lease does not
 * count it.
 */
START_TEST(uninitialized_reply_is_no_promise)
{
	struct dl_rlog *r = lead_alone();

	ck_assert_int_eq(dl_rlog_propose(r, DL_STR("c"), 2000, &(uint64_t){ 0 },
					 &(uint64_t){ 0 }),
			 0);
	deliver_reply(r, DL_RLOG_APPEND_REPLY, 3, 1, true, 2000);
	ck_assert(!dl_rlog_lease(r, 2000, NULL));
	deliver_reply(r, DL_RLOG_APPEND_REPLY, 3, 1, false, 2000);
	ck_assert(dl_rlog_lease(r, 2000, NULL));
	dl_rlog_free(r);
}
END_TEST

#define DOMAINS 5
#define VOTERS	5

/*
 * A group that maintains its voters by itself, of which three are listed and
 * all others ask to join.  Those that are not listed start first.
 */
static struct group *start_many(uint32_t seed, uint32_t vms)
{
	struct group *g = group_new(&(struct group_conf){
		.seed = seed,
		.vms = vms,
		.listed = 3,
		.late_listed = vms - 3,
		.voters_wanted = VOTERS,
		.domains = DOMAINS,
		.link = { .delay_min_ms = 1, .delay_max_ms = 3 },
		.sync_min_ms = 1,
		.sync_max_ms = 8,
		.snapshot_entries = 40,
	});

	for (uint64_t vm = vms - 1; vm >= 1; vm--)
		group_start(g, vm);
	return g;
}

/* The most voters in one failure domain. */
static uint32_t most_in_a_domain(struct group *g)
{
	const struct dl_rlog_members *m =
		dl_rlog_members(group_rlog(g, group_leader(g)));
	uint32_t count[DOMAINS + 1] = { 0 }, most = 0;

	for (uint32_t i = 0; i < m->count; i++) {
		uint32_t *n = &count[group_domain(g, m->at[i].vm)];

		*n += m->at[i].voter;
		most = *n > most ? *n : most;
	}
	return most;
}

static uint32_t voters(struct group *g)
{
	const struct dl_rlog_members *m =
		dl_rlog_members(group_rlog(g, group_leader(g)));
	uint32_t n = 0;

	for (uint32_t i = 0; i < m->count; i++)
		n += m->at[i].voter;
	return n;
}

static bool is_member(struct group *g, uint64_t vm)
{
	const struct dl_rlog_members *m =
		dl_rlog_members(group_rlog(g, group_leader(g)));

	for (uint32_t i = 0; i < m->count; i++) {
		if (m->at[i].vm == vm)
			return true;
	}
	return false;
}

/* Three listed and 24, 47 and 97 others. */
static const uint32_t sizes[] = { 28, 51, 101 };

/* Many join requests displaced those of the listed VMs. */
START_TEST(many_joiners_do_not_keep_a_group_from_being_created)
{
	struct group *g = start_many(40 + (uint32_t)_i, sizes[_i]);

	ck_assert(group_wait_leader(g, 3000));
	group_run(g, 4000);
	ck_assert_uint_eq(voters(g), VOTERS);
	ck_assert_uint_eq(
		dl_rlog_members(group_rlog(g, group_leader(g)))->count, VOTERS);
	ck_assert_uint_eq(most_in_a_domain(g), 1);
	finish_group(g);
}
END_TEST

/* Every process knows the leader, also after it has changed. */
START_TEST(non_members_know_the_leader)
{
	struct group *g = start_many(50, 25);
	uint64_t old;

	ck_assert(group_wait_leader(g, 3000));
	group_run(g, 4000);
	for (int round = 0; round < 2; round++) {
		for (uint64_t vm = 1; vm < 25; vm++) {
			struct dl_rlog_status s;

			if (!group_is_up(g, vm))
				continue;
			s = get_status(g, vm);
			ck_assert(s.contact);
			ck_assert_uint_eq(s.leader, group_leader(g));
		}
		old = group_leader(g);
		group_kill(g, old);
		group_run(g, 3000);
	}
	ck_assert_str_eq(group_violation(g), "");
	group_free(g);
}
END_TEST

/* One that lists no member learns the leader from those that it lists. */
START_TEST(late_process_that_lists_no_member_finds_the_group)
{
	struct group *g = start_many(51, 25);

	ck_assert(group_wait_leader(g, 3000));
	group_run(g, 4000);
	for (uint64_t vm = 22; vm < 25; vm++)
		ck_assert(!is_member(g, vm));
	group_start(g, 25);
	group_run(g, 2000);
	ck_assert(get_status(g, 25).contact);
	ck_assert_uint_eq(get_status(g, 25).leader, group_leader(g));
	finish_group(g);
}
END_TEST

START_TEST(non_member_that_is_cut_off_has_no_contact)
{
	struct group *g = start_many(52, 25);

	ck_assert(group_wait_leader(g, 3000));
	group_run(g, 4000);
	ck_assert(!is_member(g, 24));
	fake_link_isolate(group_link(g), 24);
	group_run(g, 2500);
	ck_assert(!get_status(g, 24).contact);
	finish_group(g);
}
END_TEST

/* Commands go on, and the voters are spread over the domains that are left. */
START_TEST(lost_domain_is_replaced_by_others)
{
	struct group *g = start_many(60 + (uint32_t)_i, 25);
	uint64_t gone = group_domain(g, (uint64_t)_i + 1);

	ck_assert(group_wait_leader(g, 3000));
	group_run(g, 4000);
	for (uint64_t vm = 1; vm < 25; vm++) {
		if (group_domain(g, vm) == gone)
			group_crash(g, vm);
	}
	ck_assert(group_wait_leader(g, 5000));
	propose_and_run(g, 20);
	group_run(g, 8000);
	ck_assert_uint_eq(voters(g), VOTERS);
	ck_assert_uint_le(most_in_a_domain(g), 2);
	for (uint64_t vm = 1; vm < 25; vm++)
		group_start(g, vm);
	group_run(g, 3000);
	finish_group(g);
}
END_TEST

/* A voter whose disk hangs is heard, but would not survive another loss. */
START_TEST(voter_whose_disk_hangs_is_replaced)
{
	struct group *g = start_many(95 + (uint32_t)_i, 25);
	uint64_t stuck;

	ck_assert(group_wait_leader(g, 3000));
	group_run(g, 4000);
	stuck = group_leader(g) == 1 ? 2 : 1;
	fake_disk_set_sync_ms(group_disk(g, stuck), 1000000, 1000000);
	propose_and_run(g, 20);
	group_run(g, 5000);
	ck_assert(is_member(g, stuck));
	propose_and_run(g, 20);
	group_run(g, 10000);
	ck_assert_uint_eq(voters(g), VOTERS);
	ck_assert(!is_member(g, stuck));
	fake_disk_set_sync_ms(group_disk(g, stuck), 1, 8);
	group_kill(g, stuck);
	group_start(g, stuck);
	finish_group(g);
}
END_TEST

/* VMs whose disks fail must not be chosen again and again. */
START_TEST(full_disks_do_not_keep_a_lost_voter_from_being_replaced)
{
	struct group *g = start_many(90 + (uint32_t)_i, 25);
	uint64_t lost;

	ck_assert(group_wait_leader(g, 3000));
	group_run(g, 4000);
	lost = group_leader(g) == 1 ? 2 : 1;
	ck_assert(is_member(g, lost));
	for (uint64_t vm = 1; vm < 25; vm++) {
		if (group_domain(g, vm) == group_domain(g, lost))
			fake_disk_set_full(group_disk(g, vm), true);
	}
	group_crash(g, lost);
	propose_and_run(g, 20);
	group_run(g, 25000);
	ck_assert_uint_eq(voters(g), VOTERS);
	for (uint64_t vm = 1; vm < 25; vm++) {
		if (group_domain(g, vm) == group_domain(g, lost))
			ck_assert(!is_member(g, vm));
		fake_disk_set_full(group_disk(g, vm), false);
	}
	finish_group(g);
}
END_TEST

/* Two disks are lost right after an acknowledgement. */
START_TEST(two_lost_disks_are_replaced_without_loss)
{
	struct group *g = start_many(70 + (uint32_t)_i, 25);
	uint32_t wiped = 0;

	ck_assert(group_wait_leader(g, 3000));
	group_run(g, 4000);
	propose_and_run(g, 60);
	for (uint64_t vm = 1; vm < 25 && wiped < 2; vm++) {
		if (vm == group_leader(g) || !is_member(g, vm))
			continue;
		group_wipe(g, vm);
		group_start(g, vm);
		wiped++;
	}
	ck_assert(group_wait_leader(g, 5000));
	propose_and_run(g, 20);
	group_run(g, 8000);
	ck_assert_uint_eq(voters(g), VOTERS);
	finish_group(g);
}
END_TEST

START_TEST(all_killed_at_once_serve_again)
{
	struct group *g = start_many(80 + (uint32_t)_i, 25);

	ck_assert(group_wait_leader(g, 3000));
	group_run(g, 4000);
	propose_and_run(g, 20);
	for (uint64_t vm = 1; vm < 25; vm++)
		group_crash(g, vm);
	group_run(g, 500);
	for (uint64_t vm = 24; vm >= 1; vm--)
		group_start(g, vm);
	ck_assert(group_wait_leader(g, 2500));
	propose_and_run(g, 20);
	finish_group(g);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("rlog");
	TCase *t = tcase_create("rlog");

	suite_add_tcase(s, t);
	tcase_set_timeout(t, 60);
	tcase_add_test(t, commits_on_all_replicas);
	tcase_add_test(t, leader_lost);
	tcase_add_test(t, isolated_leader_steps_down);
	tcase_add_test(t, returning_replica_does_not_depose);
	tcase_add_test(t, one_way_cut_does_not_depose);
	tcase_add_test(t, catches_up_by_snapshot);
	tcase_add_test(t, transfer_avoids_election_timeout);
	tcase_add_test(t, lost_disk_gets_new_identity);
	tcase_add_test(t, second_loss_after_replacement);
	tcase_add_test(t, replica_list_changes_one_by_one);
	tcase_add_test(t, waits_for_a_replica_that_never_came);
	tcase_add_test(t, all_restarted_at_once);
	tcase_add_loop_test(t, slow_disk_keeps_leader, 0, 3);
	tcase_add_loop_test(t, restart_keeps_vote_promise, 0, 10);
	tcase_add_test(t, uninitialized_reply_is_no_promise);
	tcase_add_loop_test(t,
			    leader_that_stood_still_asks_before_it_steps_down,
			    0, STALL_CASES);
	tcase_add_test(t, snapshot_alone_is_not_current);
	tcase_add_loop_test(t, learner_of_a_lost_leader_asks_to_join, 0, 6);
	tcase_add_loop_test(t, replacing_a_lost_disk_keeps_the_leader, 0, 20);
	tcase_add_loop_test(t, failed_sync_is_not_acknowledged, 0, 8);
	tcase_add_loop_test(t, damage_is_refused, 0, 20);
	tcase_add_loop_test(t, crash_at_every_disk_step, 0, 160);
	t = tcase_create("many");
	suite_add_tcase(s, t);
	tcase_set_timeout(t, 60);
	tcase_add_loop_test(t,
			    many_joiners_do_not_keep_a_group_from_being_created,
			    0, sizeof(sizes) / sizeof(sizes[0]));
	tcase_add_test(t, non_members_know_the_leader);
	tcase_add_test(t, late_process_that_lists_no_member_finds_the_group);
	tcase_add_test(t, non_member_that_is_cut_off_has_no_contact);
	tcase_add_loop_test(t, lost_domain_is_replaced_by_others, 0, 5);
	tcase_add_loop_test(
		t, full_disks_do_not_keep_a_lost_voter_from_being_replaced, 0,
		4);
	tcase_add_loop_test(t, voter_whose_disk_hangs_is_replaced, 0, 4);
	tcase_add_loop_test(t, two_lost_disks_are_replaced_without_loss, 0, 5);
	tcase_add_loop_test(t, all_killed_at_once_serve_again, 0, 5);
	return suite_run(s);
}
