/*
 * The follower: receives entries and snapshots from its leader.  Matching
 * entries are acknowledged only once they have been synced.  A heartbeat
 * without new entries is answered at once, so that a slow disk is not mistaken
 * for a dead replica.
 */
#include "state/rlog_int.h"

#include <string.h>

/* Limit of a received snapshot; a larger one is a fault of the sender. */
#define SNAPSHOT_MAX (1u << 30)

static void note_leader_commit(struct dl_rlog *r, uint64_t commit);
static uint64_t skip_conflicting_term(const struct dl_rlog *r, uint64_t index);
static void reject(struct dl_rlog *r, const struct dl_rlog_msg *m,
		   uint64_t hint);
static bool append_entry(struct dl_rlog *r, const struct dl_rlog_entry *e);
static void commit_to(struct dl_rlog *r, uint64_t commit, uint64_t verified);
static void accept_until(struct dl_rlog *r, const struct dl_rlog_msg *m,
			 uint64_t match, int64_t now);
static bool append_chunk(struct dl_rlog *r, const struct dl_rlog_msg *m);
static void install_snapshot(struct dl_rlog *r, const struct dl_rlog_msg *m,
			     int64_t now);

/* The last entry before those of the term found at an index. */
static uint64_t skip_conflicting_term(const struct dl_rlog *r, uint64_t index)
{
	uint64_t term = 0, t = 0;

	rlog_term_at(&r->log, index, &term);
	while (index > r->commit && rlog_term_at(&r->log, index, &t) &&
	       t == term)
		index--;
	return index;
}

static void reject(struct dl_rlog *r, const struct dl_rlog_msg *m,
		   uint64_t hint)
{
	struct dl_rlog_msg reply = rlog_reply_to(r, DL_RLOG_APPEND_REPLY, m);

	reply.index = hint;
	rlog_queue(r, &reply, r->state_seq);
}

/*
 * Appends an entry unless it is already held, and drops entries that conflict
 * with it.
 */
static bool append_entry(struct dl_rlog *r, const struct dl_rlog_entry *e)
{
	uint64_t term = 0;

	if (e->index <= r->log.base_index)
		return true;
	if (rlog_term_at(&r->log, e->index, &term) && term == e->term)
		return true;
	if (e->index <= rlog_last(&r->log)) {
		if (!rlog_invariant(
			    r, e->index > r->commit,
			    "the leader would overwrite a committed entry"))
			return false;
		rlog_truncate(&r->log, e->index);
		r->dirty_from = MIN(r->dirty_from, e->index);
		r->synced_index = MIN(r->synced_index, e->index - 1);
		if (r->members_index >= e->index)
			rlog_members_refresh(r);
	}
	if (!rlog_invariant(r, e->index == rlog_last(&r->log) + 1,
			    "a gap between entries"))
		return false;
	rlog_push(&r->log, e);
	if (e->kind == DL_RLOG_MEMBERS)
		rlog_members_refresh(r);
	return r->role != DL_RLOG_HALTED;
}

static void commit_to(struct dl_rlog *r, uint64_t commit, uint64_t verified)
{
	r->commit = MAX(r->commit, MIN(commit, verified));
}

/*
 * Replies to entries or a heartbeat.  While the disk is slow or fails, entries
 * get a reply at once as well, for what is stored: the leader's lease and its
 * majority depend on hearing this replica, not on its disk.
 */
static void accept_until(struct dl_rlog *r, const struct dl_rlog_msg *m,
			 uint64_t match, int64_t now)
{
	struct dl_rlog_msg reply = rlog_reply_to(r, DL_RLOG_APPEND_REPLY, m);

	reply.ok = true;
	reply.index = MIN(match, r->synced_index);
	if (!m->count || match <= r->synced_index) {
		rlog_queue(r, &reply, r->state_seq);
		return;
	}
	if (rlog_write_is_slow(r, now))
		rlog_queue(r, &reply, r->state_seq);
	reply.index = match;
	rlog_queue(r, &reply, rlog_seq_of(r, match));
}

/* Records the first commit index received from a leader since the start. */
static void note_leader_commit(struct dl_rlog *r, uint64_t commit)
{
	if (r->commit_known)
		return;
	r->commit_known = true;
	r->known_commit = commit;
}

/*
 * Whether everything committed before this replica started, and before this
 * term began, has been applied here.  A snapshot of the current term is not
 * enough, as it may be older than the state in effect: VMs that had just
 * started were once sent, and read, an outdated configuration from such a
 * snapshot before the current one.
 */
bool rlog_is_current(const struct dl_rlog *r)
{
	uint64_t term = 0;

	if (r->role == DL_RLOG_LEADER)
		return r->applied >= r->term_start;
	return r->role >= DL_RLOG_FOLLOWER && r->commit_known &&
	       r->applied >= r->known_commit &&
	       rlog_term_at(&r->log, r->applied, &term) && term == r->term;
}

/* Handles entries or a heartbeat from the leader of this term. */
void rlog_on_append(struct dl_rlog *r, const struct dl_rlog_msg *m, int64_t now)
{
	uint64_t verified = m->index + m->count, term = 0;

	if (m->index > rlog_last(&r->log)) {
		reject(r, m, rlog_last(&r->log));
		return;
	}
	if (m->index >= r->log.base_index) {
		rlog_term_at(&r->log, m->index, &term);
		if (term != m->index_term) {
			if (rlog_invariant(
				    r, m->index > r->commit,
				    "a committed entry differs from the leader's"))
				reject(r, m,
				       skip_conflicting_term(r, m->index));
			return;
		}
	}
	for (uint32_t i = 0; i < m->count; i++) {
		if (!append_entry(r, &m->entries[i]))
			return;
	}
	note_leader_commit(r, m->commit);
	commit_to(r, m->commit, verified);
	accept_until(r, m, verified, now);
}

/* Adds a chunk to those received; false if it does not fit. */
static bool append_chunk(struct dl_rlog *r, const struct dl_rlog_msg *m)
{
	struct rlog_incoming *in = &r->incoming;

	if (m->total > SNAPSHOT_MAX)
		return false;
	if (in->from_id != m->from_id || in->term != m->term ||
	    in->index != m->snapshot.index || in->total != m->total) {
		in->from_id = m->from_id;
		in->term = m->term;
		in->index = m->snapshot.index;
		in->total = m->total;
		g_byte_array_set_size(in->data, 0);
	}
	if (m->offset != in->data->len ||
	    m->offset + m->snapshot.data.n > m->total)
		return false;
	g_byte_array_append(in->data, (const guint8 *)m->snapshot.data.s,
			    (guint)m->snapshot.data.n);
	return true;
}

/* Replaces state and log by the snapshot, of which all chunks have arrived. */
static void install_snapshot(struct dl_rlog *r, const struct dl_rlog_msg *m,
			     int64_t now)
{
	const struct dl_rlog_snapshot *s = &m->snapshot;
	uint64_t term = 0;

	if (r->role == DL_RLOG_UNINITIALIZED) {
		r->role = DL_RLOG_FOLLOWER;
		r->cluster = m->cluster;
		r->term = m->term;
		rlog_dirty_state(r);
		rlog_heard_leader(r, m, now);
	}
	g_free((char *)r->snap.data.s);
	r->snap = *s;
	r->snap.data.n = r->incoming.data->len;
	r->snap.data.s = (char *)g_byte_array_free(r->incoming.data, FALSE);
	r->incoming.data = g_byte_array_new();
	r->incoming.from_id = 0;
	if (!rlog_term_at(&r->log, s->index, &term) || term != s->term) {
		rlog_reset(&r->log, s->index, s->term);
		r->synced_index = 0;
	}
	r->dirty_snapshot = true;
	r->dirty_from = MIN(r->dirty_from, rlog_last(&r->log) + 1);
	r->commit = MAX(r->commit, s->index);
	r->applied = s->index;
	r->applied_members = s->members;
	r->restore_pending = s->index > 0;
	rlog_members_refresh(r);
}

/* Handles a chunk of a snapshot from the leader of this term. */
void rlog_on_snapshot(struct dl_rlog *r, const struct dl_rlog_msg *m,
		      int64_t now)
{
	struct dl_rlog_msg reply = rlog_reply_to(r, DL_RLOG_SNAPSHOT_REPLY, m);

	if (r->role != DL_RLOG_UNINITIALIZED &&
	    m->snapshot.index <= r->commit) {
		reply.kind = DL_RLOG_APPEND_REPLY;
		reply.ok = true;
		reply.index = MIN(m->snapshot.index, r->synced_index);
		rlog_queue(r, &reply, r->state_seq);
		return;
	}
	append_chunk(r, m);
	if (r->incoming.data->len == r->incoming.total &&
	    r->incoming.index == m->snapshot.index) {
		install_snapshot(r, m, now);
		reply.kind = DL_RLOG_APPEND_REPLY;
		reply.ok = true;
		reply.index = m->snapshot.index;
		reply.term = r->term;
		rlog_queue(r, &reply, rlog_seq_of(r, m->snapshot.index));
		return;
	}
	reply.ok = true;
	reply.term = m->term;
	reply.index = m->snapshot.index;
	reply.fresh = r->role == DL_RLOG_UNINITIALIZED;
	reply.offset = r->incoming.data->len;
	rlog_queue(r, &reply, r->state_seq);
}

/* Handles a message from a leader while this replica has no log yet. */
void rlog_on_append_uninitialized(struct dl_rlog *r,
				  const struct dl_rlog_msg *m, int64_t now)
{
	struct dl_rlog_msg reply;

	if (m->kind == DL_RLOG_SNAPSHOT) {
		rlog_on_snapshot(r, m, now);
		return;
	}
	reply = rlog_reply_to(r, DL_RLOG_APPEND_REPLY, m);
	reply.term = m->term;
	reply.fresh = true;
	rlog_queue(r, &reply, r->state_seq);
}
