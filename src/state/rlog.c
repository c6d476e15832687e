/*
 * The core of the replicated log: creation, time, messages, writes, and entries
 * handed to the state machine.  Elections are in rlog_vote.c, the leader in
 * rlog_lead.c, the follower in rlog_follow.c, records for the disk in
 * rlog_write.c.
 *
 * Whatever is promised to another replica is synced first: a message that
 * depends on a term, a vote or an entry carries the number of the record that
 * holds it and is sent only once that record has been synced.
 */
#include "state/rlog_int.h"

#include <errno.h>
#include <stdio.h>
#include <string.h>

#define HEARTBEAT_MS	  250
#define ELECTION_MS	  1000
#define LEASE_MS	  900 /* tolerates clock rates 10% apart */
#define JOIN_INTERVAL_MS  500
#define SNAPSHOT_ENTRIES  1000
#define SNAPSHOT_BYTES	  (4u << 20)
#define KEEP_ENTRIES	  200
#define KEEP_BYTES	  (1u << 20)
#define APPEND_BYTES	  (256u << 10)
#define INFLIGHT_BYTES	  (8u << 20)
#define CHUNK_BYTES	  (256u << 10)
#define UNCOMMITTED_BYTES (16u << 20)
/* Longer than a vote takes on slow VMs: two round trips and syncs. */
#define FAST_RETRY_MS 100
/*
 * Limit of messages that wait for a sync; more are dropped, as a network would.
 */
#define QUEUE_MAX 4096
/*
 * After this many election timeouts without a leader, a replica sends join
 * requests.
 */
#define JOIN_AFTER_ELECTIONS 3

static void on_append(struct dl_rlog *r, const struct dl_rlog_msg *m,
		      int64_t now);
static bool is_from_leader(enum dl_rlog_msg_kind kind);
static bool is_addressed_to(const struct dl_rlog *r,
			    const struct dl_rlog_msg *m);
static bool raises_term(const struct dl_rlog_msg *m);
static bool is_stale(const struct dl_rlog *r, const struct rlog_outgoing *q);
static void mark_applied(struct dl_rlog *r, const struct dl_rlog_entry *e);

/* Handlers by kind of message. */
static void (*const on_msg[DL_RLOG_MSG_KIND_COUNT])(struct dl_rlog *r,
						    const struct dl_rlog_msg *m,
						    int64_t now) = {
	[DL_RLOG_JOIN] = rlog_on_join,
	[DL_RLOG_BOOTSTRAP] = rlog_on_bootstrap,
	[DL_RLOG_PREVOTE] = rlog_on_prevote,
	[DL_RLOG_PREVOTE_REPLY] = rlog_on_prevote_reply,
	[DL_RLOG_VOTE] = rlog_on_vote,
	[DL_RLOG_VOTE_REPLY] = rlog_on_vote_reply,
	[DL_RLOG_APPEND] = on_append,
	[DL_RLOG_APPEND_REPLY] = rlog_on_append_reply,
	[DL_RLOG_SNAPSHOT] = on_append,
	[DL_RLOG_SNAPSHOT_REPLY] = rlog_on_snapshot_reply,
	[DL_RLOG_TRANSFER] = rlog_on_transfer,
	[DL_RLOG_STARTUP_QUERY] = rlog_on_startup_query,
	[DL_RLOG_STARTUP_REPLY] = rlog_on_startup_reply,
	[DL_RLOG_JOIN_REPLY] = rlog_on_join_reply,
};

/* Defaults for failure domains that are a few milliseconds apart. */
void dl_rlog_defaults(struct dl_rlog_conf *conf)
{
	memset(conf, 0, sizeof(*conf));
	conf->heartbeat_ms = HEARTBEAT_MS;
	conf->election_ms = ELECTION_MS;
	conf->lease_ms = LEASE_MS;
	conf->join_interval_ms = JOIN_INTERVAL_MS;
	conf->snapshot_entries = SNAPSHOT_ENTRIES;
	conf->snapshot_bytes = SNAPSHOT_BYTES;
	conf->keep_entries = KEEP_ENTRIES;
	conf->keep_bytes = KEEP_BYTES;
	conf->append_bytes = APPEND_BYTES;
	conf->inflight_bytes = INFLIGHT_BYTES;
	conf->chunk_bytes = CHUNK_BYTES;
	conf->uncommitted_bytes = UNCOMMITTED_BYTES;
}

/*
 * Creates a replica from what its disk holds.  It starts as a follower, or
 * uninitialized if it has an identity only.  It grants no vote for a whole
 * election timeout, since it does not remember what it promised to a leader
 * before the restart; rlog_startup.c ends this wait early where it can.
 */
struct dl_rlog *dl_rlog_new(const struct dl_rlog_conf *conf,
			    struct dl_rlog_image *image, uint32_t seed,
			    int64_t now)
{
	struct dl_rlog *r = g_new0(struct dl_rlog, 1);

	r->conf = *conf;
	r->rand = g_rand_new_with_seed(seed);
	g_queue_init(&r->queue);
	r->incoming.data = g_byte_array_new();
	r->id = image->id;
	r->cluster = image->cluster;
	r->term = image->term;
	r->vote = image->vote;
	r->snap = image->snapshot;
	rlog_reset(&r->log, image->base_index, image->base_term);
	for (uint32_t i = 0; i < image->count; i++)
		rlog_push(&r->log, &image->entries[i]);
	image->snapshot.data = (struct dl_str){ NULL, 0 };
	dl_rlog_image_free(image);
	r->commit = r->snap.index;
	r->applied = r->snap.index;
	r->applied_members = r->snap.members;
	r->restore_pending = r->snap.index > 0;
	r->dirty_from = rlog_last(&r->log) + 1;
	r->synced_index = rlog_last(&r->log);
	r->join_at = now;
	r->role = r->cluster ? DL_RLOG_FOLLOWER : DL_RLOG_UNINITIALIZED;
	rlog_startup_begin(r, now);
	rlog_reset_election(r, now);
	rlog_members_refresh(r);
	r->stored_members = r->members;
	r->unsure_members = r->members;
	return r;
}

/* Frees a replica with everything it holds. */
void dl_rlog_free(struct dl_rlog *r)
{
	if (!r)
		return;
	rlog_reset(&r->log, 0, 0);
	g_free(r->log.at);
	g_free(r->log.ends);
	g_free((char *)r->snap.data.s);
	g_byte_array_free(r->incoming.data, TRUE);
	g_queue_clear_full(&r->queue, g_free);
	g_rand_free(r->rand);
	g_free(r);
}

/* Frees what an image still owns. */
void dl_rlog_image_free(struct dl_rlog_image *image)
{
	for (uint32_t i = 0; i < image->count; i++)
		g_free((char *)image->entries[i].data.s);
	g_free(image->entries);
	g_free((char *)image->snapshot.data.s);
	memset(image, 0, sizeof(*image));
}

/* Stops the replica; queued messages are never sent. */
void dl_rlog_halt(struct dl_rlog *r, const struct dl_err *why)
{
	if (r->role == DL_RLOG_HALTED)
		return;
	r->role = DL_RLOG_HALTED;
	r->leader_vm = DL_VM_NONE;
	snprintf(r->halt_reason, sizeof(r->halt_reason), "%s: %s",
		 dl_step_name(why->step), why->text);
	g_queue_clear_full(&r->queue, g_free);
}

/*
 * Checks an invariant.  If it is broken, continuing could lose or undo
 * committed entries, so the replica halts and reports what it found.
 */
bool rlog_invariant(struct dl_rlog *r, bool holds, const char *what)
{
	struct dl_err err;

	if (holds)
		return true;
	dl_err_set(&err, -EINVAL, DL_STEP_REPLICATE, NULL,
		   "invariant broken: %s", what);
	dl_rlog_halt(r, &err);
	return false;
}

/*
 * Chooses when to start an election unless a leader is heard before.  After all
 * replicas have restarted nobody waits for a leader, so split votes are retried
 * quickly.
 */
void rlog_reset_election(struct dl_rlog *r, int64_t now)
{
	bool fast = now < r->fast_retry_until;
	int32_t wait = fast ? FAST_RETRY_MS : (int32_t)r->conf.election_ms;
	int32_t spread = fast ? FAST_RETRY_MS : wait / 2;

	r->election_at = now + wait + g_rand_int_range(r->rand, 0, spread + 1);
}

/*
 * Becomes a follower, in a newer term if it is one; the leader is not known
 * yet.
 */
void rlog_become_follower(struct dl_rlog *r, uint64_t term, int64_t now)
{
	bool led = r->role == DL_RLOG_LEADER;

	if (r->role == DL_RLOG_HALTED)
		return;
	if (term > r->term) {
		r->term = term;
		r->vote = 0;
		rlog_dirty_state(r);
	}
	r->role = DL_RLOG_FOLLOWER;
	r->leader_vm = DL_VM_NONE;
	r->leader_id = 0;
	r->transferring = false;
	r->waiting_for[0] = '\0';
	if (led)
		rlog_reset_election(r, now);
}

/* Handles that the leader of this term was heard. */
void rlog_heard_leader(struct dl_rlog *r, const struct dl_rlog_msg *m,
		       int64_t now)
{
	if (r->role != DL_RLOG_FOLLOWER)
		rlog_become_follower(r, m->term, now);
	if (r->leader_id && !rlog_invariant(r, r->leader_id == m->from_id,
					    "two leaders in one term"))
		return;
	r->leader_vm = m->from_vm;
	r->leader_id = m->from_id;
	r->heard = now;
	rlog_startup_end(r);
	rlog_reset_election(r, now);
}

static void on_append(struct dl_rlog *r, const struct dl_rlog_msg *m,
		      int64_t now)
{
	struct dl_rlog_msg reply;

	if (r->role == DL_RLOG_UNINITIALIZED) {
		rlog_on_append_uninitialized(r, m, now);
		return;
	}
	if (m->term < r->term) {
		reply = rlog_reply_to(r, DL_RLOG_APPEND_REPLY, m);
		rlog_queue(r, &reply, r->state_seq);
		return;
	}
	if (!rlog_invariant(r, r->role != DL_RLOG_LEADER,
			    "two leaders in one term"))
		return;
	rlog_heard_leader(r, m, now);
	if (r->role == DL_RLOG_HALTED)
		return;
	if (m->kind == DL_RLOG_APPEND)
		rlog_on_append(r, m, now);
	else
		rlog_on_snapshot(r, m, now);
}

static bool is_from_leader(enum dl_rlog_msg_kind kind)
{
	return kind == DL_RLOG_APPEND || kind == DL_RLOG_SNAPSHOT;
}

static bool is_addressed_to(const struct dl_rlog *r,
			    const struct dl_rlog_msg *m)
{
	if (m->kind == DL_RLOG_JOIN)
		return m->from_id != r->id;
	if (m->to_id != r->id || m->from_id == r->id)
		return false;
	if (r->role == DL_RLOG_UNINITIALIZED)
		return m->kind == DL_RLOG_BOOTSTRAP ||
		       m->kind == DL_RLOG_JOIN_REPLY || is_from_leader(m->kind);
	return m->cluster == r->cluster;
}

/*
 * Whether a message proves that its term has begun: a pre-vote only asks
 * whether it could begin, and a vote request is checked separately, since a
 * replica that hears a live leader ignores it.
 */
static bool raises_term(const struct dl_rlog_msg *m)
{
	switch (m->kind) {
	case DL_RLOG_PREVOTE:
	case DL_RLOG_VOTE:
	case DL_RLOG_JOIN:
	case DL_RLOG_BOOTSTRAP:
	case DL_RLOG_STARTUP_QUERY:
	case DL_RLOG_STARTUP_REPLY:
	case DL_RLOG_JOIN_REPLY:
		return false;
	case DL_RLOG_PREVOTE_REPLY:
		return !m->ok;
	default:
		return true;
	}
}

/*
 * Handles a message; returns 0, or -EINVAL if it is not meant for this replica.
 */
int dl_rlog_in(struct dl_rlog *r, const struct dl_rlog_msg *m, int64_t now)
{
	struct rlog_peer *peer;

	if (r->role == DL_RLOG_HALTED)
		return 0;
	if ((unsigned)m->kind >= DL_RLOG_MSG_KIND_COUNT || !on_msg[m->kind])
		return -EINVAL;
	if (!is_addressed_to(r, m))
		return -EINVAL;
	peer = rlog_peer_find(r, m->from_id);
	if (peer)
		peer->heard = now;
	if (m->term > r->term && raises_term(m) &&
	    r->role != DL_RLOG_UNINITIALIZED)
		rlog_become_follower(r, m->term, now);
	on_msg[m->kind](r, m, now);
	return 0;
}

/* Runs the timers: elections, heartbeats, the lease, membership changes. */
void dl_rlog_tick(struct dl_rlog *r, int64_t now)
{
	switch (r->role) {
	case DL_RLOG_HALTED:
		return;
	case DL_RLOG_UNINITIALIZED:
		if (now >= r->join_at)
			rlog_send_joins(r, now);
		return;
	case DL_RLOG_LEADER:
		rlog_lead_tick(r, now);
		return;
	default:
		break;
	}
	rlog_startup_tick(r, now);
	if (now < r->election_at)
		return;
	if (now - r->heard >=
	    (int64_t)r->conf.election_ms * JOIN_AFTER_ELECTIONS)
		rlog_send_joins(r, now);
	if (rlog_is_voter(r) && !rlog_write_is_slow(r, now))
		rlog_prevote_begin(r, now);
	else
		rlog_reset_election(r, now);
}

static int64_t role_wakeup(const struct dl_rlog *r)
{
	switch (r->role) {
	case DL_RLOG_HALTED:
		return INT64_MAX;
	case DL_RLOG_UNINITIALIZED:
		return r->join_at;
	case DL_RLOG_LEADER:
		return rlog_lead_wakeup(r);
	default:
		return MIN(r->election_at, rlog_startup_wakeup(r));
	}
}

/*
 * When dl_rlog_tick() must be called next, or a failed write can be repeated.
 */
int64_t dl_rlog_wakeup(const struct dl_rlog *r)
{
	return MIN(role_wakeup(r), rlog_write_wakeup(r));
}

/* A message with the fields that every message carries. */
struct dl_rlog_msg rlog_msg_to(const struct dl_rlog *r,
			       enum dl_rlog_msg_kind kind, uint64_t vm,
			       uint64_t id)
{
	return (struct dl_rlog_msg){
		.kind = kind,
		.to_vm = vm,
		.from_vm = r->conf.self,
		.cluster = r->cluster,
		.from_id = r->id,
		.to_id = id,
		.term = r->term,
	};
}

/* The reply to a message; negative until ok is set. */
struct dl_rlog_msg rlog_reply_to(const struct dl_rlog *r,
				 enum dl_rlog_msg_kind kind,
				 const struct dl_rlog_msg *m)
{
	struct dl_rlog_msg reply = rlog_msg_to(r, kind, m->from_vm, m->from_id);

	reply.cluster = m->cluster;
	reply.stamp = is_from_leader(m->kind) ? rlog_vote_promise(r, m) :
						m->stamp;
	reply.commit = m->index;
	reply.index_term = r->conf.domain;
	reply.disk_fails = is_from_leader(m->kind) && r->write_error;
	return reply;
}

/* Queues a message until the record wait_seq has been synced. */
void rlog_queue(struct dl_rlog *r, struct dl_rlog_msg *m, uint64_t wait_seq)
{
	struct rlog_outgoing *q;

	if (r->queue.length >= QUEUE_MAX || rlog_must_not_wait(r, wait_seq))
		return;
	q = g_new(struct rlog_outgoing, 1);
	q->msg = *m;
	q->wait_seq = wait_seq;
	g_queue_push_tail(&r->queue, q);
}

/*
 * A message of an earlier term, or a vote request of a role that has ended, is
 * of no use.  It must not be sent either: records are made from the latest
 * state, so what the message depends on may never have been written.
 */
static bool is_stale(const struct dl_rlog *r, const struct rlog_outgoing *q)
{
	switch (q->msg.kind) {
	case DL_RLOG_JOIN:
	case DL_RLOG_JOIN_REPLY:
	case DL_RLOG_BOOTSTRAP:
		return false;
	case DL_RLOG_STARTUP_REPLY:
		return r->role == DL_RLOG_LEADER;
	case DL_RLOG_PREVOTE:
		return r->role != DL_RLOG_PRECANDIDATE ||
		       q->msg.term != r->term + 1;
	case DL_RLOG_VOTE:
		return r->role != DL_RLOG_CANDIDATE || q->msg.term != r->term;
	case DL_RLOG_PREVOTE_REPLY:
		return !q->msg.ok && q->msg.term != r->term;
	default:
		return r->role != DL_RLOG_UNINITIALIZED &&
		       q->msg.term != r->term;
	}
}

/* Returns the next message that may be sent now. */
bool dl_rlog_out(struct dl_rlog *r, int64_t now, struct dl_rlog_msg *msg)
{
	GList *next;

	if (r->role == DL_RLOG_HALTED)
		return false;
	for (GList *l = r->queue.head; l; l = next) {
		struct rlog_outgoing *q = l->data;
		bool drop = is_stale(r, q);

		next = l->next;
		if (!drop && q->wait_seq > r->synced_seq)
			continue;
		*msg = q->msg;
		g_free(q);
		g_queue_delete_link(&r->queue, l);
		if (!drop)
			return true;
	}
	return r->role == DL_RLOG_LEADER && rlog_lead_out(r, now, msg);
}

static void mark_applied(struct dl_rlog *r, const struct dl_rlog_entry *e)
{
	r->applied = e->index;
	if (e->kind == DL_RLOG_MEMBERS)
		rlog_invariant(
			r, rlog_members_decode(e->data, &r->applied_members),
			"an entry of members is malformed");
}

/* Returns the next command or snapshot for the state machine. */
bool dl_rlog_apply(struct dl_rlog *r, struct dl_rlog_apply *out)
{
	memset(out, 0, sizeof(*out));
	if (r->restore_pending) {
		r->restore_pending = false;
		out->kind = DL_RLOG_APPLY_RESTORE;
		out->index = r->snap.index;
		out->term = r->snap.term;
		out->data = r->snap.data;
		return true;
	}
	while (r->applied < r->commit) {
		const struct dl_rlog_entry *e =
			rlog_at(&r->log, r->applied + 1);

		mark_applied(r, e);
		if (e->kind != DL_RLOG_COMMAND)
			continue;
		out->kind = DL_RLOG_APPLY_COMMAND;
		out->index = e->index;
		out->term = e->term;
		out->data = e->data;
		return true;
	}
	return false;
}

/* Appends a command as the leader. */
int dl_rlog_propose(struct dl_rlog *r, struct dl_str command, int64_t now,
		    uint64_t *index, uint64_t *term)
{
	if (r->role != DL_RLOG_LEADER || r->transferring)
		return DL_ENOLEADER;
	if (rlog_bytes(&r->log, r->commit, rlog_last(&r->log)) + command.n >
		    r->conf.uncommitted_bytes &&
	    rlog_last(&r->log) > r->commit)
		return -EAGAIN;
	rlog_lead_append(r, DL_RLOG_COMMAND, command, now);
	*index = rlog_last(&r->log);
	*term = r->term;
	return 0;
}

/*
 * Whether no other leader can exist now.  With its reply to a message sent at
 * the stamp, each of a majority promised to grant no vote for election_ms; the
 * lease ends earlier by what clocks may drift.  During a leadership transfer
 * the promise no longer counts.
 */
bool dl_rlog_lease(const struct dl_rlog *r, int64_t now, int64_t *until)
{
	int64_t stamp;

	if (r->role != DL_RLOG_LEADER || r->transferring)
		return false;
	stamp = rlog_quorum_stamp(r, now);
	if (stamp == INT64_MIN || stamp + r->conf.lease_ms <= now)
		return false;
	if (until)
		*until = stamp + r->conf.lease_ms;
	return true;
}

/* The index at which a linearizable read is served. */
int dl_rlog_read(const struct dl_rlog *r, int64_t now, uint64_t *index)
{
	if (r->role != DL_RLOG_LEADER)
		return DL_ENOLEADER;
	if (r->commit < r->term_start || !dl_rlog_lease(r, now, NULL))
		return -EAGAIN;
	*index = r->commit;
	return 0;
}

/*
 * Whether a snapshot is worth writing: the log has grown past both a fixed size
 * and the size of the last snapshot, or by many entries, which make a restart
 * slow.
 */
bool dl_rlog_snapshot_wanted(const struct dl_rlog *r)
{
	uint64_t bytes;

	if (r->role == DL_RLOG_HALTED || r->restore_pending)
		return false;
	if (r->applied - r->snap.index >= r->conf.snapshot_entries)
		return true;
	bytes = rlog_bytes(&r->log, r->snap.index, r->applied);
	return bytes >= MAX(r->conf.snapshot_bytes, r->snap.data.n);
}

/* Replaces the applied entries, except the last few, by a snapshot. */
int dl_rlog_snapshot(struct dl_rlog *r, struct dl_str data)
{
	uint64_t upto = r->applied, term = 0;

	if (r->role == DL_RLOG_HALTED || r->restore_pending ||
	    !rlog_term_at(&r->log, r->applied, &term))
		return -EAGAIN;
	g_free((char *)r->snap.data.s);
	r->snap.data = (struct dl_str){ g_memdup2(data.s, data.n), data.n };
	r->snap.index = r->applied;
	r->snap.term = term;
	r->snap.members = r->applied_members;
	if (upto > r->conf.keep_entries)
		upto -= r->conf.keep_entries;
	else
		upto = 0;
	while (upto < r->applied && upto >= r->log.base_index &&
	       rlog_bytes(&r->log, upto, r->applied) > r->conf.keep_bytes)
		upto++;
	rlog_compact(&r->log, upto);
	r->dirty_snapshot = true;
	return 0;
}

/* The members in effect, which may not be committed yet. */
const struct dl_rlog_members *dl_rlog_members(const struct dl_rlog *r)
{
	return &r->members;
}

/* Fills in the status shown to operators. */
void dl_rlog_get_status(const struct dl_rlog *r, int64_t now,
			struct dl_rlog_status *out)
{
	memset(out, 0, sizeof(*out));
	out->role = r->role;
	out->id = r->id;
	out->cluster = r->cluster;
	out->term = r->term;
	out->contact = rlog_has_contact(r, now);
	out->joins_ignored = r->joins_ignored;
	out->leader = r->role == DL_RLOG_LEADER ? r->conf.self : r->leader_vm;
	if (out->leader == DL_VM_NONE && out->contact)
		out->leader = r->contact_vm;
	out->commit = r->commit;
	out->last = rlog_last(&r->log);
	out->synced = r->synced_index;
	out->applied = r->applied;
	out->snapshot = r->snap.index;
	out->voter = rlog_is_voter(r);
	out->lease = dl_rlog_lease(r, now, NULL);
	out->current = rlog_is_current(r);
	for (uint32_t i = 0; i < r->peers_count; i++) {
		const struct rlog_peer *p = &r->peers[i];
		struct dl_rlog_peer_status *s = &out->peers[out->count++];

		s->member = p->member;
		s->match = p->match;
		s->heard_ms_ago = p->heard == INT64_MIN ? -1 : now - p->heard;
		s->disk_fails = p->disk_failed_at != INT64_MIN;
	}
	memcpy(out->waiting_for, r->waiting_for, sizeof(out->waiting_for));
	out->write_error = r->write_error;
	out->write_failures = r->write_failures;
	out->write_failed_ms = r->write_error ? now - r->write_failed_at : 0;
	memcpy(out->halt_reason, r->halt_reason, sizeof(out->halt_reason));
}
