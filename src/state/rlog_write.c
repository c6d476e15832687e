/*
 * Records for the disk: what is to be written, being written, and synced.
 * Records are made from the state at the time of writing, so that several
 * changes share one write.
 */
#include "state/rlog_int.h"

#include <string.h>

/*
 * Pauses between attempts of a write that fails: short first, since a replica
 * is missing meanwhile, then long enough that the attempts cost little.
 */
#define RETRY_MIN_MS 100u
#define RETRY_MAX_MS 1000u
/* A write that takes longer than disks usually hang. */
#define HANGING_MS 10000

static void drop_waiting_messages(struct dl_rlog *r);
static void handle_failure(struct dl_rlog *r, int code, int64_t now);
static bool same_members(const struct dl_rlog_members *a,
			 const struct dl_rlog_members *b);
static void note_members(struct dl_rlog *r);

/*
 * Marks term, vote or cluster as changed; replies wait for the record that
 * holds them.
 */
void rlog_dirty_state(struct dl_rlog *r)
{
	r->dirty_state = true;
	r->state_seq = r->writing_seq + 1;
}

/* The record after which an entry, the term and the vote are synced. */
uint64_t rlog_seq_of(const struct dl_rlog *r, uint64_t index)
{
	uint64_t wait_seq = r->state_seq;

	if (r->dirty_snapshot || index >= r->dirty_from)
		wait_seq = r->writing_seq + 1;
	else if (index > r->synced_index && r->writing_seq > wait_seq)
		wait_seq = r->writing_seq;
	return wait_seq;
}

/* Returns the next record to write, one at a time. */
bool dl_rlog_write(struct dl_rlog *r, int64_t now, struct dl_rlog_record *rec)
{
	uint64_t from = r->dirty_from;

	if (r->role == DL_RLOG_HALTED || r->writing ||
	    (r->write_error && now < r->write_retry_at))
		return false;
	if (!r->dirty_state && !r->dirty_snapshot &&
	    r->dirty_from > rlog_last(&r->log))
		return false;
	memset(rec, 0, sizeof(*rec));
	rec->seq = ++r->writing_seq;
	rec->cluster = r->cluster;
	rec->term = r->term;
	rec->vote = r->vote;
	rec->base_index = r->log.base_index;
	rec->base_term = r->log.base_term;
	if (r->dirty_snapshot) {
		rec->snapshot = &r->snap;
		from = r->log.base_index + 1;
	}
	rec->count = (uint32_t)(rlog_last(&r->log) + 1 - from);
	if (rec->count)
		rec->entries = rlog_at(&r->log, from);
	r->dirty_state = false;
	r->dirty_snapshot = false;
	r->dirty_from = rlog_last(&r->log) + 1;
	r->writing_last = rlog_last(&r->log);
	note_members(r);
	r->writing = true;
	r->write_started_at = now;
	return true;
}

/*
 * Handles the result of a write.  If it failed, nothing that depends on it is
 * ever sent, and the next record replaces everything that is stored.
 */
void dl_rlog_written(struct dl_rlog *r, uint64_t seq, int code, int64_t now)
{
	if (r->role == DL_RLOG_HALTED)
		return;
	if (!rlog_invariant(r, r->writing && seq == r->writing_seq,
			    "a record was written out of order"))
		return;
	r->writing = false;
	if (code) {
		handle_failure(r, code, now);
		return;
	}
	r->write_error = 0;
	r->synced_seq = seq;
	r->stored_members = r->writing_members;
	r->unsure_members = r->writing_members;
	r->unsure_many = false;
	/*
	 * A snapshot received in the meantime may have replaced those entries.
	 */
	if (!r->dirty_snapshot)
		r->synced_index = MIN(r->writing_last, r->dirty_from - 1);
	if (r->role == DL_RLOG_CANDIDATE && r->state_seq <= r->synced_seq)
		rlog_vote_synced(r, now);
	if (r->role == DL_RLOG_LEADER)
		rlog_lead_synced(r, now);
}

/* Handles that what was read at the start could not be synced. */
void dl_rlog_start_failed(struct dl_rlog *r, int code, int64_t now)
{
	if (r->role == DL_RLOG_HALTED)
		return;
	r->synced_index = 0;
	r->unsure_many = true;
	rlog_dirty_state(r);
	handle_failure(r, code, now);
}

static bool same_members(const struct dl_rlog_members *a,
			 const struct dl_rlog_members *b)
{
	if (a->count != b->count)
		return false;
	for (uint32_t i = 0; i < a->count; i++) {
		if (a->at[i].id != b->at[i].id ||
		    a->at[i].voter != b->at[i].voter)
			return false;
	}
	return true;
}

/* Notes the members in a record that is about to be written. */
static void note_members(struct dl_rlog *r)
{
	if (!same_members(&r->members, &r->stored_members) &&
	    !same_members(&r->members, &r->unsure_members)) {
		r->unsure_many =
			r->unsure_many ||
			!same_members(&r->unsure_members, &r->stored_members);
		r->unsure_members = r->members;
	}
	r->writing_members = r->members;
}

/*
 * Whether an identity is a voter in all members that may be read after a
 * restart, and in those in effect.
 */
bool rlog_is_stored_voter(const struct dl_rlog *r, uint64_t id)
{
	const struct dl_rlog_members *lists[] = { &r->members,
						  &r->stored_members,
						  &r->unsure_members };

	if (r->unsure_many)
		return false;
	for (size_t i = 0; i < G_N_ELEMENTS(lists); i++) {
		const struct dl_rlog_member *m = rlog_member_find(lists[i], id);

		if (!m || !m->voter)
			return false;
	}
	return true;
}

/* When a failed write can be repeated; INT64_MAX if none failed. */
int64_t rlog_write_wakeup(const struct dl_rlog *r)
{
	if (!r->write_error || r->writing || r->role == DL_RLOG_HALTED)
		return INT64_MAX;
	return r->write_retry_at;
}

/*
 * Whether a message would have to wait for a write while writes fail.  It is
 * dropped instead, as a network would, so that the queue does not fill up with
 * replies that are outdated once the disk works.
 */
bool rlog_must_not_wait(const struct dl_rlog *r, uint64_t wait_seq)
{
	return r->write_error && wait_seq > r->synced_seq;
}

static void drop_waiting_messages(struct dl_rlog *r)
{
	GList *next;

	for (GList *l = r->queue.head; l; l = next) {
		struct rlog_outgoing *q = l->data;

		next = l->next;
		if (!rlog_must_not_wait(r, q->wait_seq))
			continue;
		g_free(q);
		g_queue_delete_link(&r->queue, l);
	}
}

/*
 * A replica whose disk fails goes on in memory.  It promises nothing that would
 * have to be stored: it gives no vote and acknowledges no entry.  It still
 * answers heartbeats, and a leader goes on until another voter can take over,
 * so that a group without room on most of its disks keeps its leader and
 * serves; only changes wait.  Failures of a disk pass, such as one without
 * room, so the write is repeated until it succeeds; the replica is then as good
 * a voter as before.
 *
 * What the failed write left on the disk is not known, and after a failed sync
 * the kernel may report the next one as successful without writing the data.
 * So the next record is written to a new file and holds everything.
 */
static void handle_failure(struct dl_rlog *r, int code, int64_t now)
{
	if (!r->write_error) {
		r->write_failed_at = now;
		r->write_failures = 0;
		r->write_retry_ms = RETRY_MIN_MS;
	}
	r->write_error = code;
	r->write_failures++;
	r->write_retry_at = now + (int64_t)r->write_retry_ms;
	r->write_retry_ms = MIN(r->write_retry_ms * 2, RETRY_MAX_MS);
	r->dirty_snapshot = true;
	drop_waiting_messages(r);
	if (r->role == DL_RLOG_PRECANDIDATE || r->role == DL_RLOG_CANDIDATE)
		rlog_become_follower(r, r->term, now);
}

/* Whether writes fail, or one takes longer than the leader's heartbeats. */
bool rlog_write_is_slow(const struct dl_rlog *r, int64_t now)
{
	return r->write_error ||
	       (r->writing &&
		now - r->write_started_at >= (int64_t)r->conf.heartbeat_ms);
}

/* How long this replica's disk has failed or hung, in ms; 0 if it works. */
int64_t rlog_disk_failed_ms(const struct dl_rlog *r, int64_t now)
{
	if (r->write_error)
		return now - r->write_failed_at;
	if (r->writing && now - r->write_started_at >= HANGING_MS)
		return now - r->write_started_at;
	return 0;
}
