/*
 * Promises of a replica from before its restart.
 *
 * A replica may have answered a leader just before it restarted, and so have
 * promised to grant no vote for an election timeout; it does not remember to
 * whom or when.  It therefore grants no vote for that time, unless it learns
 * that no such promise stands.  The promise can only have been made to one of
 * the voters of the newest members on its disk, since replies to anybody else
 * carry no promise (rlog_vote_promise()) and a leader never removes itself.  A
 * voter that says after this start that it does not lead has lost what was
 * promised to it before, and later promises are remembered.  So once every
 * other voter has said so, no promise stands.
 *
 * This matters when all replicas stop at once, by a power failure or an update:
 * without it the first election began 1.0 to 1.5 s after the start, and until
 * then no caller's key could be accepted; with it this takes a few round trips.
 *
 * A voter that does not answer (frozen, partitioned, not started) may still be
 * the leader: then the whole time is waited out.
 */
#include "state/rlog_int.h"

/* Retry soon: the other replicas start some ten milliseconds apart. */
#define QUERY_RETRY_MS 50
/*
 * Each voter waits this much longer than the one of the next lower address, so
 * that the first has won before the next starts an election: two round trips
 * and syncs on slow VMs.
 */
#define RANK_DELAY_MS 60

static bool no_promise_stands(const struct dl_rlog *r);
static uint32_t rank_of(const struct dl_rlog *r);
static void query_voters(struct dl_rlog *r);

/* Assumes at the start that a promise may stand. */
void rlog_startup_begin(struct dl_rlog *r, int64_t now)
{
	r->heard = now;
	r->startup_nonce = 1 + (int64_t)g_rand_int(r->rand);
	r->startup_query_at = now;
	r->promise_possible = true;
}

/* Ends the startup phase: a leader is followed, or the time is over. */
void rlog_startup_end(struct dl_rlog *r)
{
	r->promise_possible = false;
	r->fast_retry_until = 0;
}

static bool no_promise_stands(const struct dl_rlog *r)
{
	for (uint32_t i = 0; i < r->peers_count; i++) {
		if (r->peers[i].member.voter && !r->peers[i].not_leading)
			return false;
	}
	return true;
}

/* The number of voters with a lower address. */
static uint32_t rank_of(const struct dl_rlog *r)
{
	uint32_t rank = 0;

	for (uint32_t i = 0; i < r->peers_count; i++)
		rank += r->peers[i].member.voter &&
			r->peers[i].member.vm < r->conf.self;
	return rank;
}

static void query_voters(struct dl_rlog *r)
{
	for (uint32_t i = 0; i < r->peers_count; i++) {
		const struct rlog_peer *p = &r->peers[i];
		struct dl_rlog_msg m;

		if (!p->member.voter || p->not_leading)
			continue;
		m = rlog_msg_to(r, DL_RLOG_STARTUP_QUERY, p->member.vm,
				p->member.id);
		m.stamp = r->startup_nonce;
		rlog_queue(r, &m, 0);
	}
}

/* Queries the voters, and schedules an election once no promise stands. */
void rlog_startup_tick(struct dl_rlog *r, int64_t now)
{
	if (!r->promise_possible || !rlog_is_voter(r))
		return;
	if (now - r->heard >= (int64_t)r->conf.election_ms) {
		rlog_startup_end(r);
		return;
	}
	if (no_promise_stands(r)) {
		r->promise_possible = false;
		r->heard = now - (int64_t)r->conf.election_ms;
		r->fast_retry_until = now + (int64_t)r->conf.election_ms;
		r->election_at = now + (int64_t)rank_of(r) * RANK_DELAY_MS;
		return;
	}
	if (now < r->startup_query_at)
		return;
	r->startup_query_at = now + QUERY_RETRY_MS;
	query_voters(r);
}

/* When rlog_startup_tick() must be called next; INT64_MAX for never. */
int64_t rlog_startup_wakeup(const struct dl_rlog *r)
{
	if (!r->promise_possible || !rlog_is_voter(r))
		return INT64_MAX;
	return no_promise_stands(r) ? INT64_MIN : r->startup_query_at;
}

/* Answers a voter that has started, unless this replica is the leader. */
void rlog_on_startup_query(struct dl_rlog *r, const struct dl_rlog_msg *m,
			   int64_t now)
{
	struct dl_rlog_msg reply;

	if (r->role == DL_RLOG_LEADER)
		return;
	reply = rlog_reply_to(r, DL_RLOG_STARTUP_REPLY, m);
	rlog_queue(r, &reply, 0);
}

/*
 * Handles the reply of a voter that does not lead; replies to an earlier start
 * are ignored.
 */
void rlog_on_startup_reply(struct dl_rlog *r, const struct dl_rlog_msg *m,
			   int64_t now)
{
	struct rlog_peer *p = rlog_peer_find(r, m->from_id);

	if (!p || !r->promise_possible || m->stamp != r->startup_nonce)
		return;
	p->not_leading = true;
	rlog_startup_tick(r, now);
}

/*
 * The stamp of a reply to a leader: the leader's own, which promises to grant
 * no vote for an election timeout, or 0 for no promise.  Promises are made only
 * to voters of all members that a restart may find on this disk, so that this
 * replica knows whom to query then.
 */
int64_t rlog_vote_promise(const struct dl_rlog *r, const struct dl_rlog_msg *m)
{
	return rlog_is_stored_voter(r, m->from_id) ? m->stamp : 0;
}
