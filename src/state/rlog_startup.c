/*
 * What a replica that has just started owes to a leader of before.
 *
 * It may have answered that leader a moment ago and so have promised to grant
 * no vote for an election time; it has forgotten whom and when.  It therefore
 * holds back for that time, unless it learns that no such promise stands: the
 * promise was made to one of the voters of the newest members on its disk,
 * since answers to anybody else carry no promise (rlog_vote_promise()), and a
 * leader never removes itself.  One that says, after this start, that it does
 * not lead now has lost what was promised to it before, and what is promised to
 * it later is remembered.  So once every other voter has said so, nothing is
 * owed.
 *
 * Load: all replicas end at once, by a loss of power or an update.  Without it
 * the first one stood 1.0 to 1.5 s after the start, in which no caller's key
 * could be let through; with it after some round trips.
 *
 * One that does not answer (frozen, cut off, not started) may still lead: then
 * the whole time is waited out.
 */
#include "state/rlog_int.h"

/* Asked again so soon: the others start some ten milliseconds apart. */
#define QUERY_RETRY_MS 50
/*
 * The voters of higher addresses stand so much later each, so that the first
 * has won before the next begins: two round trips and syncs on slow VMs.
 */
#define RANK_DELAY_MS 60

static bool no_promise_stands(const struct dl_rlog *r);
static uint32_t rank_of(const struct dl_rlog *r);
static void query_voters(struct dl_rlog *r);

/* Begin with what may be owed. */
void rlog_startup_begin(struct dl_rlog *r, int64_t now)
{
	r->heard = now;
	r->startup_nonce = 1 + (int64_t)g_rand_int(r->rand);
	r->startup_query_at = now;
	r->promise_possible = true;
}

/* A leader is followed, or the time is over: there is nothing to find out. */
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

/* How many voters have a lower address. */
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

/* Ask who leads, and stand as soon as nothing is owed. */
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

/* When rlog_startup_tick() has something to do; INT64_MAX for never. */
int64_t rlog_startup_wakeup(const struct dl_rlog *r)
{
	if (!r->promise_possible || !rlog_is_voter(r))
		return INT64_MAX;
	return no_promise_stands(r) ? INT64_MIN : r->startup_query_at;
}

/* Another one has started: say that this one does not lead, unless it does. */
void rlog_on_startup_query(struct dl_rlog *r, const struct dl_rlog_msg *m,
			   int64_t now)
{
	struct dl_rlog_msg reply;

	if (r->role == DL_RLOG_LEADER)
		return;
	reply = rlog_reply_to(r, DL_RLOG_STARTUP_REPLY, m);
	rlog_queue(r, &reply, 0);
}

/* The answer of one that does not lead; to an earlier start it means nothing.
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
 * The stamp that an answer to a leader carries: the leader's own, which is a
 * promise to grant no vote for an election time, or 0 for no promise.  Only a
 * voter of the members on this disk is promised anything, so that a later start
 * of this replica knows whom to ask.
 */
int64_t rlog_vote_promise(const struct dl_rlog *r, const struct dl_rlog_msg *m)
{
	const struct dl_rlog_member *leader =
		rlog_member_find(&r->members, m->from_id);

	if (!leader || !leader->voter || r->members_index > r->synced_index)
		return 0;
	return m->stamp;
}
