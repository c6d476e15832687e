/*
 * Creation of the log, and join requests of replicas that have none.
 *
 * A replica with an empty disk sends join requests to the configured replicas.
 * On the very first start, once the one with the lowest address has received a
 * join request from every other configured replica, all with the same list, it
 * makes them the initial members, by identity.  All of them must ask, so that a
 * replica that lost its disk can never create a second log beside the first: a
 * replica that still has its log never asks as one without a log.  On any later
 * start the leader receives the join request and adds the identity as a learner
 * (rlog_reconfig.c).
 *
 * A replica that has a log but has not heard a leader for long sends join
 * requests as well: it may have been added by a leader whose change was never
 * committed, so that nobody else knows of it.
 */
#include "state/rlog_int.h"

#include <stdlib.h>
#include <string.h>

/* A join request counts for the first start for this many intervals. */
#define JOIN_VALID_INTERVALS 4

static uint64_t listed_digest(const struct dl_rlog *r);
static bool is_listed(const struct dl_rlog *r, uint64_t vm);
static void send_join(struct dl_rlog *r, uint64_t vm);
static void note_join(struct dl_rlog *r, const struct dl_rlog_msg *m,
		      int64_t now);
static bool collect_initial_members(const struct dl_rlog *r, int64_t now,
				    struct dl_rlog_members *out);
static int compare_vm(const void *a, const void *b);
static void create_log(struct dl_rlog *r,
		       const struct dl_rlog_members *members);

static int compare_vm(const void *a, const void *b)
{
	const struct dl_rlog_member *x = a;
	const struct dl_rlog_member *y = b;

	return (x->vm > y->vm) - (x->vm < y->vm);
}

/* A digest of the configured replicas that does not depend on their order. */
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

/* Records the latest identity of a VM that wants to join. */
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
 * Sends a join request to every configured replica and every member; on the
 * first start, creates the log once all others are there.
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
	create_log(r, &members);
	rlog_reset_election(r, now);
}

/*
 * Whether this replica is to create the log and all others have asked to join;
 * sets out to the initial members.
 */
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

/* Takes these members as the state before the first entry. */
static void create_log(struct dl_rlog *r, const struct dl_rlog_members *members)
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
 * Answers an initial member that has no log yet.  Any other identity is
 * recorded for the leader's membership changes and forwarded to the leader
 * once: the list configured at the joining replica may be older than the
 * members.
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

/* The log is created; this identity is one of its initial members. */
void rlog_on_bootstrap(struct dl_rlog *r, const struct dl_rlog_msg *m,
		       int64_t now)
{
	if (r->role != DL_RLOG_UNINITIALIZED ||
	    !rlog_member_find(&m->snapshot.members, r->id) ||
	    rlog_cluster_of(&m->snapshot.members) != m->cluster)
		return;
	create_log(r, &m->snapshot.members);
	rlog_reset_election(r, now);
}
