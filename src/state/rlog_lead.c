/*
 * The leader: replication, commit, check-quorum, the lease and leadership
 * transfer.
 *
 * Messages to followers are built when the owner fetches them, from what each
 * follower is known to hold; commands proposed together are sent together.
 */
#include "state/rlog_int.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

/* After a silence of this many election timeouts a member is only probed. */
#define SILENT_ELECTIONS 2
/* A leader whose disk fails waits for so many heartbeats and their replies. */
#define HAND_OVER_HEARTBEATS 2
/*
 * A leader that did not run for so many heartbeats has stood still, and waits
 * as long for replies before it steps down.
 */
#define STALL_HEARTBEATS 2

static void begin_peer(struct dl_rlog *r, struct rlog_peer *p, int64_t now);
static void note_stall(struct dl_rlog *r, int64_t stamp, int64_t now);
static void advance_commit(struct dl_rlog *r, int64_t now);
static int compare_down(const void *a, const void *b);
static uint64_t quorum_match(const struct dl_rlog *r);
static bool window_open(const struct dl_rlog *r, const struct rlog_peer *p);
static bool wants_message(const struct dl_rlog *r, const struct rlog_peer *p,
			  int64_t now);
static void fill_append(struct dl_rlog *r, struct rlog_peer *p, int64_t now,
			struct dl_rlog_msg *msg);
static void fill_snapshot(struct dl_rlog *r, struct rlog_peer *p,
			  struct dl_rlog_msg *msg);
static void begin_snapshot(struct dl_rlog *r, struct rlog_peer *p);
static const struct rlog_peer *transfer_target(const struct dl_rlog *r,
					       int64_t now);
static bool should_hand_over(const struct dl_rlog *r, int64_t now);
static void transfer_step(struct dl_rlog *r, int64_t now);
static void acknowledge(struct dl_rlog *r, struct rlog_peer *p,
			const struct dl_rlog_msg *m, int64_t now);

static void begin_peer(struct dl_rlog *r, struct rlog_peer *p, int64_t now)
{
	p->mode = RLOG_REPLICATE;
	p->stored_at = now;
	p->disk_failed_at = INT64_MIN;
	p->unstored_since = 0;
	p->next = rlog_last(&r->log) + 1;
	p->match = 0;
	p->commit_sent = 0;
	p->sent = INT64_MIN;
	p->acked_stamp = INT64_MIN;
	p->send_now = true;
	p->snap_index = RLOG_INDEX_NONE;
	p->snap_offset = 0;
}

/*
 * Becomes the leader after a won election; appends the first entry of the term.
 */
void rlog_become_leader(struct dl_rlog *r, int64_t now)
{
	r->role = DL_RLOG_LEADER;
	r->leader_vm = r->conf.self;
	r->leader_id = r->id;
	r->leader_since = now;
	r->last_tick = now;
	r->stall_answers_until = 0;
	r->transferring = false;
	r->joins_count = 0;
	r->contact_vm = DL_VM_NONE;
	for (uint32_t i = 0; i < r->peers_count; i++)
		begin_peer(r, &r->peers[i], now);
	r->term_start = rlog_last(&r->log) + 1;
	rlog_lead_append(r, DL_RLOG_NOOP, (struct dl_str){ NULL, 0 }, now);
}

/* Appends an entry of this term; new members take effect at once. */
void rlog_lead_append(struct dl_rlog *r, enum dl_rlog_entry_kind kind,
		      struct dl_str data, int64_t now)
{
	struct dl_rlog_entry e = { .term = r->term,
				   .kind = kind,
				   .data = data };

	rlog_push(&r->log, &e);
	if (kind == DL_RLOG_MEMBERS)
		rlog_members_refresh(r);
	advance_commit(r, now);
}

static int compare_down(const void *a, const void *b)
{
	int64_t x = *(const int64_t *)a;
	int64_t y = *(const int64_t *)b;

	return (x < y) - (x > y);
}

/*
 * The newest time at which a majority, this replica included, is known to have
 * accepted this leader; INT64_MIN if there is none yet.
 */
int64_t rlog_quorum_stamp(const struct dl_rlog *r, int64_t now)
{
	int64_t stamps[DL_RLOG_MEMBERS_MAX];
	uint32_t n = 0;

	for (uint32_t i = 0; i < r->peers_count; i++) {
		if (r->peers[i].member.voter)
			stamps[n++] = r->peers[i].acked_stamp;
	}
	if (rlog_is_voter(r))
		stamps[n++] = now;
	if (n < rlog_majority(&r->members))
		return INT64_MIN;
	qsort(stamps, n, sizeof(stamps[0]), compare_down);
	return stamps[rlog_majority(&r->members) - 1];
}

/* The highest index that a majority has synced. */
static uint64_t quorum_match(const struct dl_rlog *r)
{
	int64_t matches[DL_RLOG_MEMBERS_MAX];
	uint32_t n = 0;

	for (uint32_t i = 0; i < r->peers_count; i++) {
		if (r->peers[i].member.voter)
			matches[n++] = (int64_t)r->peers[i].match;
	}
	if (rlog_is_voter(r))
		matches[n++] = (int64_t)r->synced_index;
	if (n < rlog_majority(&r->members))
		return 0;
	qsort(matches, n, sizeof(matches[0]), compare_down);
	return (uint64_t)matches[rlog_majority(&r->members) - 1];
}

/*
 * Advances the commit index.  Only entries of this term are committed by
 * counting replicas; earlier entries are committed with them.
 */
static void advance_commit(struct dl_rlog *r, int64_t now)
{
	uint64_t index = quorum_match(r), term = 0;
	bool changed;

	if (index <= r->commit || index < r->term_start)
		return;
	if (!rlog_invariant(
		    r, rlog_term_at(&r->log, index, &term) && term == r->term,
		    "an entry of another term would be committed by count"))
		return;
	changed = r->commit < r->members_index && index >= r->members_index;
	r->commit = index;
	if (r->members_index <= r->commit &&
	    !rlog_member_find(&r->members, r->id))
		rlog_become_follower(r, r->term, now);
	else if (changed && !r->transferring)
		rlog_reconfigure(r, now);
}

/* Handles that this replica's own disk has synced more. */
void rlog_lead_synced(struct dl_rlog *r, int64_t now)
{
	advance_commit(r, now);
}

/*
 * Notes that this leader stood still while its majority had not been silent for
 * long: it has sent no heartbeats, so their silence says nothing. With
 * configurations of 1,300 routes on a busy machine, each new leader stood still
 * for the time of its lease and stepped down, and none was left that could
 * commit the change. The lease itself ends in time. A second stall gives no
 * more time, so that a leader that is cut off steps down.
 */
static void note_stall(struct dl_rlog *r, int64_t stamp, int64_t now)
{
	int64_t stall_ms = (int64_t)r->conf.heartbeat_ms * STALL_HEARTBEATS;

	if (now - r->last_tick >= stall_ms &&
	    r->last_tick - stamp < (int64_t)r->conf.election_ms)
		r->stall_answers_until = now + stall_ms;
}

/* Runs check-quorum, membership changes and leadership transfer. */
void rlog_lead_tick(struct dl_rlog *r, int64_t now)
{
	int64_t stamp = rlog_quorum_stamp(r, now);

	if (stamp < r->leader_since)
		stamp = r->leader_since;
	note_stall(r, stamp, now);
	r->last_tick = now;
	if (now - stamp >= (int64_t)r->conf.election_ms &&
	    now >= r->stall_answers_until) {
		rlog_become_follower(r, r->term, now);
		return;
	}
	for (uint32_t i = 0; i < r->peers_count; i++) {
		struct rlog_peer *p = &r->peers[i];
		int64_t silent_ms =
			(int64_t)r->conf.election_ms * SILENT_ELECTIONS;

		if (p->mode == RLOG_REPLICATE &&
		    now - MAX(p->heard, r->leader_since) > silent_ms) {
			p->mode = RLOG_PROBE;
			p->next = p->match + 1;
			p->unstored_since = 0;
		}
	}
	if (!r->transferring && should_hand_over(r, now))
		dl_rlog_transfer(r, now);
	if (r->transferring)
		transfer_step(r, now);
	else
		rlog_reconfigure(r, now);
}

/*
 * When the next heartbeat is due, or the majority has been silent for too long.
 */
int64_t rlog_lead_wakeup(const struct dl_rlog *r)
{
	int64_t at = r->leader_since + r->conf.election_ms;
	int64_t stamp = rlog_quorum_stamp(r, at);

	if (stamp > r->leader_since)
		at = stamp + r->conf.election_ms;
	at = MAX(at, r->stall_answers_until);
	for (uint32_t i = 0; i < r->peers_count; i++) {
		const struct rlog_peer *p = &r->peers[i];
		int64_t beat = p->sent == INT64_MIN ?
				       r->leader_since :
				       p->sent + r->conf.heartbeat_ms;

		at = MIN(at, beat);
	}
	return MIN(at, r->last_tick + r->conf.heartbeat_ms);
}

static bool window_open(const struct dl_rlog *r, const struct rlog_peer *p)
{
	return rlog_bytes(&r->log, p->match, p->next - 1) <
	       r->conf.inflight_bytes;
}

static bool wants_message(const struct dl_rlog *r, const struct rlog_peer *p,
			  int64_t now)
{
	if (p->send_now || p->sent == INT64_MIN ||
	    now - p->sent >= (int64_t)r->conf.heartbeat_ms)
		return true;
	if (p->mode != RLOG_REPLICATE)
		return false;
	if (p->next <= rlog_last(&r->log) && window_open(r, p))
		return true;
	return p->commit_sent < r->commit && p->match >= r->commit;
}

/* Builds the next message for one of the followers; false if there is none. */
bool rlog_lead_out(struct dl_rlog *r, int64_t now, struct dl_rlog_msg *msg)
{
	for (uint32_t i = 0; i < r->peers_count; i++) {
		struct rlog_peer *p =
			&r->peers[(r->next_peer + i) % r->peers_count];

		if (!wants_message(r, p, now))
			continue;
		r->next_peer = (r->next_peer + i + 1) % r->peers_count;
		if (p->mode != RLOG_SNAPSHOT && p->next <= r->log.base_index)
			begin_snapshot(r, p);
		*msg = rlog_msg_to(r, DL_RLOG_APPEND, p->member.vm,
				   p->member.id);
		msg->stamp = now;
		msg->commit = r->commit;
		if (p->mode == RLOG_SNAPSHOT)
			fill_snapshot(r, p, msg);
		else
			fill_append(r, p, now, msg);
		p->send_now = false;
		p->sent = now;
		p->commit_sent = r->commit;
		return true;
	}
	return false;
}

/*
 * Adds the entries that the follower needs next, at least one if there is any.
 */
static void fill_append(struct dl_rlog *r, struct rlog_peer *p, int64_t now,
			struct dl_rlog_msg *msg)
{
	uint64_t last = rlog_last(&r->log);
	uint64_t upto;

	msg->index = p->next - 1;
	rlog_term_at(&r->log, msg->index, &msg->index_term);
	if (p->mode != RLOG_REPLICATE || !window_open(r, p) || p->next > last)
		return;
	upto = p->next;
	while (upto < last && rlog_bytes(&r->log, p->next - 1, upto + 1) <=
				      r->conf.append_bytes)
		upto++;
	msg->count = (uint32_t)(upto + 1 - p->next);
	msg->entries = rlog_at(&r->log, p->next);
	p->next = upto + 1;
	if (!p->unstored_since)
		p->unstored_since = now;
}

static void begin_snapshot(struct dl_rlog *r, struct rlog_peer *p)
{
	p->mode = RLOG_SNAPSHOT;
	p->snap_index = r->snap.index;
	p->snap_offset = 0;
	p->next = r->snap.index + 1;
}

/* Adds the chunk of the snapshot that the follower needs next. */
static void fill_snapshot(struct dl_rlog *r, struct rlog_peer *p,
			  struct dl_rlog_msg *msg)
{
	uint64_t left;

	if (p->snap_index != r->snap.index)
		begin_snapshot(r, p);
	left = r->snap.data.n - p->snap_offset;
	msg->kind = DL_RLOG_SNAPSHOT;
	msg->snapshot = r->snap;
	msg->snapshot.data = (struct dl_str){ r->snap.data.s + p->snap_offset,
					      MIN(left, r->conf.chunk_bytes) };
	msg->index = r->snap.index;
	msg->offset = p->snap_offset;
	msg->total = r->snap.data.n;
}

/* Handles that a follower has synced the entries up to an index. */
static void acknowledge(struct dl_rlog *r, struct rlog_peer *p,
			const struct dl_rlog_msg *m, int64_t now)
{
	if (!rlog_invariant(
		    r, m->index <= rlog_last(&r->log),
		    "a follower acknowledged more than its leader holds"))
		return;
	if (m->index > p->match || m->index >= r->commit)
		p->stored_at = now;
	if (m->index > p->match)
		p->unstored_since = now;
	p->match = MAX(p->match, m->index);
	p->next = MAX(p->next, p->match + 1);
	if (p->match + 1 == p->next)
		p->unstored_since = 0;
	if (p->mode == RLOG_SNAPSHOT && p->match < p->snap_index)
		return;
	if (p->mode != RLOG_REPLICATE)
		p->next = p->match + 1;
	p->mode = RLOG_REPLICATE;
}

/* Notes whether a follower's disk fails, and since when. */
static void note_disk(struct rlog_peer *p, const struct dl_rlog_msg *m,
		      int64_t now)
{
	if (!m->disk_fails)
		p->disk_failed_at = INT64_MIN;
	else if (p->disk_failed_at == INT64_MIN)
		p->disk_failed_at = now;
}

/* Handles a follower's reply to entries, a heartbeat or a whole snapshot. */
void rlog_on_append_reply(struct dl_rlog *r, const struct dl_rlog_msg *m,
			  int64_t now)
{
	struct rlog_peer *p = rlog_peer_find(r, m->from_id);

	if (r->role != DL_RLOG_LEADER || !p || m->term != r->term)
		return;
	note_disk(p, m, now);
	if (m->index_term)
		p->domain = m->index_term;
	if (m->fresh) {
		if (p->mode != RLOG_SNAPSHOT) {
			begin_snapshot(r, p);
			p->send_now = true;
		}
		return;
	}
	if (m->stamp)
		p->acked_stamp = MAX(p->acked_stamp, m->stamp);
	if (m->ok) {
		acknowledge(r, p, m, now);
		if (r->role == DL_RLOG_LEADER)
			advance_commit(r, now);
		if (r->role == DL_RLOG_LEADER && r->transferring)
			transfer_step(r, now);
		return;
	}
	/* A newer reply has arrived, or a snapshot is being sent. */
	if (m->commit <= p->match || m->commit >= p->next ||
	    p->mode == RLOG_SNAPSHOT)
		return;
	p->next = MAX(MIN(m->commit, m->index + 1), p->match + 1);
	p->mode = RLOG_PROBE;
	p->send_now = true;
}

/* Handles that a follower has a chunk of the snapshot and needs the next. */
void rlog_on_snapshot_reply(struct dl_rlog *r, const struct dl_rlog_msg *m,
			    int64_t now)
{
	struct rlog_peer *p = rlog_peer_find(r, m->from_id);

	if (r->role != DL_RLOG_LEADER || !p || m->term != r->term)
		return;
	note_disk(p, m, now);
	if (!m->fresh && m->stamp)
		p->acked_stamp = MAX(p->acked_stamp, m->stamp);
	if (p->mode != RLOG_SNAPSHOT || m->index != p->snap_index ||
	    m->offset == p->snap_offset || m->offset > r->snap.data.n)
		return;
	p->snap_offset = m->offset;
	p->stored_at = now;
	p->send_now = true;
}

/* Starts a leadership transfer to the most up-to-date follower. */
int dl_rlog_transfer(struct dl_rlog *r, int64_t now)
{
	if (r->role != DL_RLOG_LEADER)
		return DL_ENOLEADER;
	if (r->transferring)
		return 0;
	r->transferring = true;
	r->transfer_to = 0;
	r->transfer_until = now + r->conf.election_ms;
	transfer_step(r, now);
	return 0;
}

/*
 * Whether a voter is heard and stores what it is sent: its disk does not fail,
 * and it did not leave entries unstored for longer than a heartbeat.
 */
bool rlog_peer_stores(const struct dl_rlog *r, const struct rlog_peer *p,
		      int64_t now)
{
	return p->member.voter && p->disk_failed_at == INT64_MIN &&
	       p->heard != INT64_MIN &&
	       now - p->heard < (int64_t)r->conf.election_ms &&
	       (!p->unstored_since ||
		now - p->unstored_since < (int64_t)r->conf.heartbeat_ms);
}

/*
 * The voter that takes over: it stores what it is sent, and holds the whole
 * log.  NULL if there is none; always the same one in a transfer.
 */
static const struct rlog_peer *transfer_target(const struct dl_rlog *r,
					       int64_t now)
{
	for (uint32_t i = 0; i < r->peers_count; i++) {
		const struct rlog_peer *p = &r->peers[i];

		if (rlog_peer_stores(r, p, now) &&
		    p->match == rlog_last(&r->log) &&
		    (!r->transfer_to || r->transfer_to == p->member.id))
			return p;
	}
	return NULL;
}

/*
 * Whether this replica's disk fails and others can lead: a majority of voters
 * whose disks work is heard.  Waits until these can have said whether theirs
 * fail too, since a voter that cannot store a vote cannot elect.
 */
static bool should_hand_over(const struct dl_rlog *r, int64_t now)
{
	uint32_t working = 0;

	if (rlog_disk_failed_ms(r, now) <
	    (int64_t)r->conf.heartbeat_ms * HAND_OVER_HEARTBEATS)
		return false;
	for (uint32_t i = 0; i < r->peers_count; i++)
		working += rlog_peer_stores(r, &r->peers[i], now);
	return working >= rlog_majority(&r->members);
}

/*
 * Asks a voter that holds the whole log to start an election, always the same
 * one: two candidates would split the votes if this replica's disk fails, so
 * that it gives none.  The lease has ended for this term even if the transfer
 * fails; if it times out, the leader steps down.
 */
static void transfer_step(struct dl_rlog *r, int64_t now)
{
	const struct rlog_peer *to;
	struct dl_rlog_msg m;

	if (now >= r->transfer_until) {
		rlog_become_follower(r, r->term, now);
		return;
	}
	to = transfer_target(r, now);
	if (!to)
		return;
	r->transfer_to = to->member.id;
	m = rlog_msg_to(r, DL_RLOG_TRANSFER, to->member.vm, to->member.id);
	rlog_queue(r, &m, 0);
}
