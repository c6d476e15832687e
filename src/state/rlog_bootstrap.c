/*
 * How a log begins, and how an identity without one gets into it.
 *
 * An identity with an empty disk says hello to the replicas listed in its
 * settings.  The first start ever: once the one with the lowest address has
 * heard every other listed one say hello, all with the same list, it makes
 * them the members, by identity.  All must be there, so that a replica that
 * lost its disk can never begin a second log beside the first: those that
 * kept theirs say no hello.  Else the leader hears the hello and takes the
 * identity in as a learner (rlog_reconfig.c).
 *
 * One that has a log and has heard no leader for long says hello as well: it
 * may have been taken in by a leader whose change was never committed, so that
 * nobody else knows of it.
 */
#include "state/rlog_int.h"

#include <stdlib.h>
#include <string.h>

/* A hello counts for the first start while it is so many periods old. */
#define JOIN_VALID_INTERVALS 4

static uint64_t listed_digest(const struct dl_rlog *r);
static bool is_listed(const struct dl_rlog *r, uint64_t vm);
static void send_join(struct dl_rlog *r, uint64_t vm);
static void note_join(struct dl_rlog *r, const struct dl_rlog_msg *m,
		      int64_t now);
static bool collect_initial_members(const struct dl_rlog *r, int64_t now,
				    struct dl_rlog_members *out);
static int compare_vm(const void *a, const void *b);
static void begin_log(struct dl_rlog *r, const struct dl_rlog_members *members);

static int compare_vm(const void *a, const void *b)
{
	const struct dl_rlog_member *x = a;
	const struct dl_rlog_member *y = b;

	return (x->vm > y->vm) - (x->vm < y->vm);
}

/* A digest of the list that does not depend on its order. */
static uint64_t listed_digest(const struct dl_rlog *r)
{
	uint64_t sum = r->conf.listed_count;

	for (uint32_t i = 0; i < r->conf.listed_count; i++) {
		uint64_t vm = r->conf.listed[i];

		sum += dl_hash((struct dl_str){ (char *)&vm, sizeof(vm) }, 0);
	}
	return sum;
}

static bool is_listed(const struct dl_rlog *r, uint64_t vm)
{
	for (uint32_t i = 0; i < r->conf.listed_count; i++) {
		if (r->conf.listed[i] == vm)
			return true;
	}
	return false;
}

/* Remember the latest identity of a VM. */
static void note_join(struct dl_rlog *r, const struct dl_rlog_msg *m,
		      int64_t now)
{
	uint32_t at = r->joins_count, oldest = 0;

	for (uint32_t i = 0; i < r->joins_count; i++) {
		if (r->joins[i].vm == m->commit)
			at = i;
		if (r->joins[i].at < r->joins[oldest].at)
			oldest = i;
	}
	if (at == DL_RLOG_MEMBERS_MAX)
		at = oldest;
	else if (at == r->joins_count)
		r->joins_count++;
	r->joins[at] = (struct rlog_join_request){
		.vm = m->commit,
		.id = m->from_id,
		.digest = m->index,
		.fresh = m->fresh,
		.at = now,
	};
}

static void send_join(struct dl_rlog *r, uint64_t vm)
{
	struct dl_rlog_msg m = rlog_msg_to(r, DL_RLOG_JOIN, vm, 0);

	if (vm == r->conf.self)
		return;
	m.index = listed_digest(r);
	m.commit = r->conf.self;
	m.fresh = r->role == DL_RLOG_UNINITIALIZED;
	rlog_queue(r, &m, 0);
}

/*
 * Say hello to every listed replica and every member; at a first start, begin
 * the log.
 */
void rlog_send_joins(struct dl_rlog *r, int64_t now)
{
	struct dl_rlog_members members;

	r->join_at = now + r->conf.join_interval_ms;
	for (uint32_t i = 0; i < r->conf.listed_count; i++)
		send_join(r, r->conf.listed[i]);
	for (uint32_t i = 0; i < r->peers_count; i++) {
		if (!is_listed(r, r->peers[i].member.vm))
			send_join(r, r->peers[i].member.vm);
	}
	if (r->role != DL_RLOG_UNINITIALIZED ||
	    !collect_initial_members(r, now, &members))
		return;
	begin_log(r, &members);
	rlog_reset_election(r, now);
}

/* Whether this one is to begin the log, and all others are there for it. */
static bool collect_initial_members(const struct dl_rlog *r, int64_t now,
				    struct dl_rlog_members *out)
{
	int64_t oldest =
		now - (int64_t)r->conf.join_interval_ms * JOIN_VALID_INTERVALS;

	if (r->conf.joins_only || !is_listed(r, r->conf.self))
		return false;
	memset(out, 0, sizeof(*out));
	out->at[out->count++] =
		(struct dl_rlog_member){ r->conf.self, r->id, true };
	for (uint32_t i = 0; i < r->joins_count; i++) {
		const struct rlog_join_request *s = &r->joins[i];

		if (s->vm < r->conf.self && is_listed(r, s->vm))
			return false;
		if (s->at < oldest || !s->fresh || !is_listed(r, s->vm) ||
		    s->digest != listed_digest(r))
			continue;
		out->at[out->count++] =
			(struct dl_rlog_member){ s->vm, s->id, true };
	}
	qsort(out->at, out->count, sizeof(out->at[0]), compare_vm);
	return out->count == r->conf.listed_count;
}

/* Take these members for the state before the first entry. */
static void begin_log(struct dl_rlog *r, const struct dl_rlog_members *members)
{
	r->cluster = rlog_cluster_of(members);
	r->role = DL_RLOG_FOLLOWER;
	memset(&r->snap, 0, sizeof(r->snap));
	r->snap.members = *members;
	r->applied_members = *members;
	r->dirty_snapshot = true;
	rlog_dirty_state(r);
	rlog_members_refresh(r);
}

/*
 * Answer a first member that has no log yet.  Any other identity is noted
 * for the leader's repair, and passed on to the leader once: the list in the
 * newcomer's settings may be older than the members.
 */
void rlog_on_join(struct dl_rlog *r, const struct dl_rlog_msg *m, int64_t now)
{
	struct dl_rlog_msg bootstrap, relay;

	if (m->cluster && m->cluster != r->cluster)
		return;
	note_join(r, m, now);
	if (r->role == DL_RLOG_FOLLOWER && r->leader_vm != DL_VM_NONE &&
	    m->from_vm == m->commit) {
		relay = *m;
		relay.to_vm = r->leader_vm;
		rlog_queue(r, &relay, 0);
	}
	if (r->role == DL_RLOG_UNINITIALIZED || r->snap.index > 0 ||
	    !rlog_member_find(&r->snap.members, m->from_id))
		return;
	bootstrap = rlog_msg_to(r, DL_RLOG_BOOTSTRAP, m->commit, m->from_id);
	bootstrap.snapshot.members = r->snap.members;
	rlog_queue(r, &bootstrap, r->state_seq);
}

/* The log begins; this identity is one of its first members. */
void rlog_on_bootstrap(struct dl_rlog *r, const struct dl_rlog_msg *m,
		       int64_t now)
{
	if (r->role != DL_RLOG_UNINITIALIZED ||
	    !rlog_member_find(&m->snapshot.members, r->id) ||
	    rlog_cluster_of(&m->snapshot.members) != m->cluster)
		return;
	begin_log(r, &m->snapshot.members);
	rlog_reset_election(r, now);
}
