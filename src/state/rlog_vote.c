/*
 * Elections.  A replica that hears no leader first asks whether it could win
 * (pre-vote), which changes no state anywhere; so a replica that was
 * partitioned comes back without deposing a live leader.  A replica that has
 * heard its leader within the election timeout ignores vote requests: the
 * leader's lease depends on this.
 */
#include "state/rlog_int.h"

static bool has_recent_leader(const struct dl_rlog *r, int64_t now);
static bool log_up_to_date(const struct dl_rlog *r,
			   const struct dl_rlog_msg *m);
static void ask_voters(struct dl_rlog *r, enum dl_rlog_msg_kind kind,
		       uint64_t term, bool transfer);
static bool has_majority(const struct dl_rlog *r, bool self);

static bool has_recent_leader(const struct dl_rlog *r, int64_t now)
{
	return r->role == DL_RLOG_LEADER ||
	       now - r->heard < (int64_t)r->conf.election_ms;
}

static bool log_up_to_date(const struct dl_rlog *r, const struct dl_rlog_msg *m)
{
	uint64_t term = 0;

	rlog_term_at(&r->log, rlog_last(&r->log), &term);
	if (m->index_term != term)
		return m->index_term > term;
	return m->index >= rlog_last(&r->log);
}

static void ask_voters(struct dl_rlog *r, enum dl_rlog_msg_kind kind,
		       uint64_t term, bool transfer)
{
	for (uint32_t i = 0; i < r->peers_count; i++) {
		struct rlog_peer *p = &r->peers[i];
		struct dl_rlog_msg m;

		p->granted = false;
		if (!p->member.voter)
			continue;
		m = rlog_msg_to(r, kind, p->member.vm, p->member.id);
		m.term = term;
		m.index = rlog_last(&r->log);
		rlog_term_at(&r->log, m.index, &m.index_term);
		m.transfer = transfer;
		rlog_queue(r, &m, r->state_seq);
	}
}

static bool has_majority(const struct dl_rlog *r, bool self)
{
	uint32_t votes = self && rlog_is_voter(r);

	for (uint32_t i = 0; i < r->peers_count; i++)
		votes += r->peers[i].member.voter && r->peers[i].granted;
	return votes >= rlog_majority(&r->members);
}

/* Starts a pre-vote. */
void rlog_prevote_begin(struct dl_rlog *r, int64_t now)
{
	r->role = DL_RLOG_PRECANDIDATE;
	r->leader_vm = DL_VM_NONE;
	r->leader_id = 0;
	rlog_reset_election(r, now);
	ask_voters(r, DL_RLOG_PREVOTE, r->term + 1, false);
	if (has_majority(r, true))
		rlog_election_begin(r, false, now);
}

/* Starts an election in a new term; the own vote counts once synced. */
void rlog_election_begin(struct dl_rlog *r, bool transfer, int64_t now)
{
	r->role = DL_RLOG_CANDIDATE;
	r->term++;
	r->vote = r->id;
	r->leader_vm = DL_VM_NONE;
	r->leader_id = 0;
	r->self_voted = false;
	rlog_dirty_state(r);
	rlog_reset_election(r, now);
	ask_voters(r, DL_RLOG_VOTE, r->term, transfer);
}

/* Counts the candidate's own vote, which has been synced. */
void rlog_vote_synced(struct dl_rlog *r, int64_t now)
{
	r->self_voted = true;
	if (has_majority(r, true))
		rlog_become_leader(r, now);
}

/*
 * Answers whether a candidate of the next term would get this replica's vote.
 */
void rlog_on_prevote(struct dl_rlog *r, const struct dl_rlog_msg *m,
		     int64_t now)
{
	struct dl_rlog_msg reply;
	bool free_to_vote =
		m->term > r->term ||
		(m->term == r->term && (!r->vote || r->vote == m->from_id));

	if (has_recent_leader(r, now))
		return;
	reply = rlog_reply_to(r, DL_RLOG_PREVOTE_REPLY, m);
	reply.ok = free_to_vote && log_up_to_date(r, m);
	if (reply.ok)
		reply.term = m->term;
	rlog_queue(r, &reply, r->state_seq);
}

/* Counts a pre-vote; a majority starts the election itself. */
void rlog_on_prevote_reply(struct dl_rlog *r, const struct dl_rlog_msg *m,
			   int64_t now)
{
	struct rlog_peer *p = rlog_peer_find(r, m->from_id);

	if (r->role != DL_RLOG_PRECANDIDATE || !m->ok || !p ||
	    m->term != r->term + 1)
		return;
	p->granted = true;
	if (has_majority(r, true))
		rlog_election_begin(r, false, now);
}

/*
 * Grants one vote per term, to a candidate whose log is at least as up to date.
 */
void rlog_on_vote(struct dl_rlog *r, const struct dl_rlog_msg *m, int64_t now)
{
	struct dl_rlog_msg reply;

	if (!m->transfer && has_recent_leader(r, now))
		return;
	if (m->term > r->term)
		rlog_become_follower(r, m->term, now);
	reply = rlog_reply_to(r, DL_RLOG_VOTE_REPLY, m);
	reply.ok = m->term == r->term && (!r->vote || r->vote == m->from_id) &&
		   log_up_to_date(r, m);
	if (reply.ok && !r->vote) {
		r->vote = m->from_id;
		rlog_dirty_state(r);
	}
	if (reply.ok)
		rlog_reset_election(r, now);
	rlog_queue(r, &reply, r->state_seq);
}

/* Counts a vote of this term. */
void rlog_on_vote_reply(struct dl_rlog *r, const struct dl_rlog_msg *m,
			int64_t now)
{
	struct rlog_peer *p = rlog_peer_find(r, m->from_id);

	if (r->role != DL_RLOG_CANDIDATE || !m->ok || !p || m->term != r->term)
		return;
	p->granted = true;
	if (has_majority(r, r->self_voted))
		rlog_become_leader(r, now);
}

/* Starts an election at once, at the leader's request. */
void rlog_on_transfer(struct dl_rlog *r, const struct dl_rlog_msg *m,
		      int64_t now)
{
	if (m->term != r->term || r->role != DL_RLOG_FOLLOWER ||
	    r->leader_id != m->from_id || !rlog_is_voter(r) ||
	    rlog_write_is_slow(r, now))
		return;
	rlog_election_begin(r, true, now);
}
