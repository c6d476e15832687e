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
 *
 * Any number of processes may ask, while few can become members.  The requests
 * of configured replicas and of members' VMs are always kept; of the others a
 * few are, spread over failure domains, in case a voter is lost.  Each request
 * is answered with the leader's address, so that a process that is not a member
 * can pass callers on to it.
 */
#include "state/rlog_int.h"

#include <stdlib.h>
#include <string.h>

/* A join request counts for the first start for this many intervals. */
#define JOIN_VALID_INTERVALS 4
/* A member's reply about the leader holds for this many intervals. */
#define CONTACT_INTERVALS 4

static uint64_t listed_digest(const struct dl_rlog *r);
static bool is_listed(const struct dl_rlog *r, uint64_t vm);
static void send_join(struct dl_rlog *r, uint64_t vm);
static bool is_preferred(const struct dl_rlog *r, uint64_t vm);
static struct rlog_join_request *crowded_candidate(struct dl_rlog *r,
						   uint64_t domain);
static struct rlog_join_request *
join_slot(struct dl_rlog *r, const struct dl_rlog_msg *m, int64_t now);
static bool note_join(struct dl_rlog *r, const struct dl_rlog_msg *m,
		      int64_t now);
static void send_join_reply(struct dl_rlog *r, const struct dl_rlog_msg *m,
			    int64_t now);
static void ask_members(struct dl_rlog *r);
static void ask_all(struct dl_rlog *r);
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

/* Whether the request of a VM must be kept, however many others ask. */
static bool is_preferred(const struct dl_rlog *r, uint64_t vm)
{
	for (uint32_t i = 0; i < r->wanted_count; i++) {
		if (r->wanted[i] == vm)
			return true;
	}
	return is_listed(r, vm) || rlog_member_of_vm(&r->members, vm);
}

/*
 * A candidate in the failure domain that has the most of them, if that domain
 * has at least two more than the given one; NULL otherwise.
 */
static struct rlog_join_request *crowded_candidate(struct dl_rlog *r,
						   uint64_t domain)
{
	struct rlog_join_request *best = NULL;
	uint32_t most = 0, own = 0;

	for (uint32_t i = 0; i < r->joins_count; i++) {
		uint32_t same = 0;

		if (is_preferred(r, r->joins[i].vm))
			continue;
		own += r->joins[i].domain == domain;
		for (uint32_t j = 0; j < r->joins_count; j++)
			same += !is_preferred(r, r->joins[j].vm) &&
				r->joins[j].domain == r->joins[i].domain;
		if (same <= most)
			continue;
		most = same;
		best = &r->joins[i];
	}
	return most >= own + 2 ? best : NULL;
}

/*
 * Where to keep the request of a VM: in place of its last one or of one that
 * has expired, or else in a free slot; NULL if it is not kept.
 */
static struct rlog_join_request *
join_slot(struct dl_rlog *r, const struct dl_rlog_msg *m, int64_t now)
{
	struct rlog_join_request *expired = NULL;
	uint32_t candidates = 0;

	for (uint32_t i = 0; i < r->joins_count; i++) {
		struct rlog_join_request *join = &r->joins[i];

		if (join->vm == m->commit)
			return join;
		if (now - join->at > RLOG_JOIN_VALID_MS)
			expired = join;
		else
			candidates += !is_preferred(r, join->vm);
	}
	if (!is_preferred(r, m->commit) && candidates >= RLOG_CANDIDATES_MAX)
		return crowded_candidate(r, m->index_term);
	if (expired)
		return expired;
	return r->joins_count < RLOG_JOINS_MAX ? &r->joins[r->joins_count++] :
						 NULL;
}

/* Keeps the latest identity of a VM that wants to join; returns whether. */
static bool note_join(struct dl_rlog *r, const struct dl_rlog_msg *m,
		      int64_t now)
{
	struct rlog_join_request *slot = join_slot(r, m, now);

	if (!slot) {
		r->joins_ignored++;
		return false;
	}
	*slot = (struct rlog_join_request){
		.vm = m->commit,
		.id = m->from_id,
		.digest = m->index,
		.domain = m->index_term,
		.fresh = m->fresh,
		.at = now,
	};
	return true;
}

static void send_join(struct dl_rlog *r, uint64_t vm)
{
	struct dl_rlog_msg m = rlog_msg_to(r, DL_RLOG_JOIN, vm, 0);

	if (vm == r->conf.self)
		return;
	m.index = listed_digest(r);
	m.index_term = r->conf.domain;
	m.commit = r->conf.self;
	m.fresh = r->role == DL_RLOG_UNINITIALIZED;
	rlog_queue(r, &m, 0);
}

/* Sends a join request to the leader and to one of the other members. */
static void ask_members(struct dl_rlog *r)
{
	uint64_t vm;

	send_join(r, r->contact_vm);
	if (!r->contact_members.count)
		return;
	vm = r->contact_members.at[r->contact_next++ % r->contact_members.count]
		     .vm;
	if (vm != r->contact_vm)
		send_join(r, vm);
}

/* Sends a join request to every configured replica and every member. */
static void ask_all(struct dl_rlog *r)
{
	for (uint32_t i = 0; i < r->conf.listed_count; i++)
		send_join(r, r->conf.listed[i]);
	for (uint32_t i = 0; i < r->peers_count; i++) {
		if (!is_listed(r, r->peers[i].member.vm))
			send_join(r, r->peers[i].member.vm);
	}
	if (r->hint_vm != DL_VM_NONE && !is_listed(r, r->hint_vm))
		send_join(r, r->hint_vm);
	r->hint_vm = DL_VM_NONE;
}

/*
 * Asks to join; on the first start, creates the log once all other configured
 * replicas have asked.
 */
void rlog_send_joins(struct dl_rlog *r, int64_t now)
{
	struct dl_rlog_members members;

	r->join_at = now + r->conf.join_interval_ms;
	/* A replica that cannot write would be chosen in place of one that can.
	 */
	if (r->write_error)
		return;
	if (rlog_has_contact(r, now)) {
		ask_members(r);
		return;
	}
	ask_all(r);
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
 * Whether a leader can be reached, as the leader, as a follower that hears it,
 * or by what a member replied recently.
 */
bool rlog_has_contact(const struct dl_rlog *r, int64_t now)
{
	int64_t valid_ms =
		(int64_t)r->conf.join_interval_ms * CONTACT_INTERVALS;

	if (r->role == DL_RLOG_LEADER)
		return dl_rlog_lease(r, now, NULL);
	if (r->role == DL_RLOG_FOLLOWER && r->leader_vm != DL_VM_NONE &&
	    now - r->heard < valid_ms)
		return true;
	return r->role != DL_RLOG_HALTED && r->contact_vm != DL_VM_NONE &&
	       now - r->contact_at < valid_ms;
}

/*
 * Names the leader to a VM that asked to join.  A replica that only knows the
 * leader from such replies passes its address on, marked as unconfirmed.
 */
static void send_join_reply(struct dl_rlog *r, const struct dl_rlog_msg *m,
			    int64_t now)
{
	struct dl_rlog_msg reply =
		rlog_msg_to(r, DL_RLOG_JOIN_REPLY, m->commit, m->from_id);
	bool member =
		r->role == DL_RLOG_LEADER ||
		(r->role == DL_RLOG_FOLLOWER && r->leader_vm != DL_VM_NONE);

	if (!rlog_has_contact(r, now))
		return;
	reply.ok = member;
	reply.commit = r->contact_vm;
	if (member) {
		reply.commit = r->role == DL_RLOG_LEADER ? r->conf.self :
							   r->leader_vm;
		reply.snapshot.members = r->members;
	}
	rlog_queue(r, &reply, 0);
}

/* Handles a reply to a join request, which names the leader. */
void rlog_on_join_reply(struct dl_rlog *r, const struct dl_rlog_msg *m,
			int64_t now)
{
	if (r->role == DL_RLOG_LEADER || m->commit == DL_VM_NONE)
		return;
	if (!m->ok) {
		r->hint_vm = m->commit;
		return;
	}
	/* A member that was cut off may name an earlier leader. */
	if (rlog_has_contact(r, now) && m->term < r->contact_term)
		return;
	r->contact_vm = m->commit;
	r->contact_term = m->term;
	r->contact_at = now;
	r->contact_members = m->snapshot.members;
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
	bool kept;

	if (m->cluster && m->cluster != r->cluster)
		return;
	kept = note_join(r, m, now);
	if (kept && r->role == DL_RLOG_FOLLOWER && r->leader_vm != DL_VM_NONE &&
	    m->from_vm == m->commit) {
		relay = *m;
		relay.to_vm = r->leader_vm;
		rlog_queue(r, &relay, 0);
	}
	if (m->from_vm == m->commit)
		send_join_reply(r, m, now);
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
