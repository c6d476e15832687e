/*
 * Membership changes: the leader brings the members to the configured list, one
 * change at a time.  A new identity is added as a learner and becomes a voter
 * once it holds the whole log; only then is the member it replaces removed.
 * Repeating a step is harmless, since each is chosen from the current members.
 */
#include "state/rlog_int.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* The search for the next change; next is the membership that it leads to. */
struct reconfig {
	struct dl_rlog *r;
	int64_t now;
	struct dl_rlog_members next;
	bool found;
};

static uint32_t wanted_vms(const struct dl_rlog *r,
			   uint64_t out[DL_RLOG_MEMBERS_MAX]);
static bool is_wanted(const struct dl_rlog *r, uint64_t vm);
static bool is_live(const struct dl_rlog *r, uint64_t id, int64_t now);
static int64_t heard_at(const struct dl_rlog *r, uint64_t id, int64_t now);
static bool is_superseded(const struct dl_rlog *r,
			  const struct dl_rlog_member *m, int64_t now);
static bool keeps_quorum(const struct reconfig *s);
static bool can_commit(const struct dl_rlog *r, int64_t now);
static bool has_promised(const struct dl_rlog *r, const struct rlog_peer *p,
			 int64_t now);
static void set_waiting_for(struct reconfig *s, const char *what, uint64_t vm);
static bool try_promote(struct reconfig *s);
static bool try_add(struct reconfig *s);
static bool try_remove(struct reconfig *s);
static bool all_wanted_vote(const struct reconfig *s, uint64_t *missing);
static void drop_member(struct dl_rlog_members *members, uint64_t id);

/* The VMs that should have replicas; without a list, those of the members. */
static uint32_t wanted_vms(const struct dl_rlog *r,
			   uint64_t out[DL_RLOG_MEMBERS_MAX])
{
	uint32_t n = 0;

	if (r->wanted_count) {
		memcpy(out, r->wanted, sizeof(r->wanted));
		return r->wanted_count;
	}
	for (uint32_t i = 0; i < r->members.count; i++) {
		uint64_t vm = r->members.at[i].vm;
		bool known = false;

		for (uint32_t j = 0; j < n; j++)
			known = known || out[j] == vm;
		if (!known)
			out[n++] = vm;
	}
	return n;
}

static bool is_wanted(const struct dl_rlog *r, uint64_t vm)
{
	uint64_t vms[DL_RLOG_MEMBERS_MAX];
	uint32_t n = wanted_vms(r, vms);

	for (uint32_t i = 0; i < n; i++) {
		if (vms[i] == vm)
			return true;
	}
	return false;
}

static int64_t heard_at(const struct dl_rlog *r, uint64_t id, int64_t now)
{
	int64_t at = INT64_MIN;

	if (id == r->id)
		return now;
	for (uint32_t i = 0; i < r->peers_count; i++) {
		if (r->peers[i].member.id == id)
			at = r->peers[i].heard;
	}
	for (uint32_t i = 0; i < r->joins_count; i++) {
		if (r->joins[i].id == id)
			at = MAX(at, r->joins[i].at);
	}
	return at;
}

static bool is_live(const struct dl_rlog *r, uint64_t id, int64_t now)
{
	int64_t heard = heard_at(r, id, now);

	return heard != INT64_MIN && now - heard < (int64_t)r->conf.election_ms;
}

/*
 * Whether another identity on the same VM was heard more recently.  A voter is
 * superseded by another voter only.
 */
static bool is_superseded(const struct dl_rlog *r,
			  const struct dl_rlog_member *m, int64_t now)
{
	for (uint32_t i = 0; i < r->members.count; i++) {
		const struct dl_rlog_member *other = &r->members.at[i];

		if (other->vm == m->vm && other->id != m->id &&
		    (other->voter || !m->voter) &&
		    heard_at(r, other->id, now) > heard_at(r, m->id, now))
			return true;
	}
	return false;
}

/* Whether a majority of the next voters is heard from now. */
static bool keeps_quorum(const struct reconfig *s)
{
	uint32_t live = 0;

	for (uint32_t i = 0; i < s->next.count; i++) {
		const struct dl_rlog_member *m = &s->next.at[i];

		live += m->voter && is_live(s->r, m->id, s->now);
	}
	return live >= rlog_majority(&s->next);
}

static void set_waiting_for(struct reconfig *s, const char *what, uint64_t vm)
{
	char text[24];

	if (s->r->waiting_for[0])
		return;
	snprintf(s->r->waiting_for, sizeof(s->r->waiting_for), "%s %s", what,
		 dl_vm_text(vm, text));
}

/*
 * Whether a learner has promised this leader to grant no vote.  As a voter
 * without a promise it would end the lease, and depose a leader that needs it
 * for its majority.
 */
static bool has_promised(const struct dl_rlog *r, const struct rlog_peer *p,
			 int64_t now)
{
	return p->acked_stamp != INT64_MIN &&
	       now - p->acked_stamp < (int64_t)r->conf.lease_ms;
}

/*
 * Whether a majority of the voters stores what is appended now.  A change of
 * the members that cannot be committed would hold up every later one.
 */
static bool can_commit(const struct dl_rlog *r, int64_t now)
{
	uint32_t working = rlog_is_voter(r) && !r->write_error;

	for (uint32_t i = 0; i < r->peers_count; i++)
		working += rlog_peer_stores(r, &r->peers[i], now);
	return working >= rlog_majority(&r->members);
}

/* Promotes a learner that holds the whole log to a voter. */
static bool try_promote(struct reconfig *s)
{
	for (uint32_t i = 0; i < s->r->members.count; i++) {
		const struct dl_rlog_member *m = &s->r->members.at[i];
		struct rlog_peer *p = rlog_peer_find(s->r, m->id);

		if (m->voter || !p || !is_wanted(s->r, m->vm))
			continue;
		if (!is_live(s->r, m->id, s->now) ||
		    !has_promised(s->r, p, s->now)) {
			set_waiting_for(s, "for contact with the learner",
					m->vm);
			continue;
		}
		if (p->match < s->r->commit) {
			set_waiting_for(s, "for the whole log to reach", m->vm);
			continue;
		}
		s->next = s->r->members;
		s->next.at[i].voter = true;
		if (keeps_quorum(s))
			return true;
		set_waiting_for(s, "for contact with a majority, to add",
				m->vm);
	}
	return false;
}

/* Adds an identity that asked to join, on a wanted VM, as a learner. */
static bool try_add(struct reconfig *s)
{
	for (uint32_t i = 0; i < s->r->joins_count; i++) {
		const struct rlog_join_request *join = &s->r->joins[i];

		if (s->now - join->at > RLOG_JOIN_VALID_MS ||
		    !is_wanted(s->r, join->vm) ||
		    rlog_member_find(&s->r->members, join->id))
			continue;
		if (s->r->members.count == DL_RLOG_MEMBERS_MAX) {
			set_waiting_for(s, "for a free member slot, to add",
					join->vm);
			continue;
		}
		s->next = s->r->members;
		s->next.at[s->next.count++] = (struct dl_rlog_member){
			.vm = join->vm,
			.id = join->id,
		};
		return true;
	}
	return false;
}

static bool all_wanted_vote(const struct reconfig *s, uint64_t *missing)
{
	uint64_t vms[DL_RLOG_MEMBERS_MAX];
	uint32_t n = wanted_vms(s->r, vms);

	for (uint32_t i = 0; i < n; i++) {
		bool votes = false;

		for (uint32_t j = 0; j < s->r->members.count; j++) {
			const struct dl_rlog_member *m = &s->r->members.at[j];

			votes = votes || (m->vm == vms[i] && m->voter);
		}
		if (!votes) {
			*missing = vms[i];
			return false;
		}
	}
	return true;
}

static void drop_member(struct dl_rlog_members *members, uint64_t id)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < members->count; i++) {
		if (members->at[i].id != id)
			members->at[n++] = members->at[i];
	}
	members->count = n;
}

/*
 * Removes a member that has been superseded, or is not wanted once all wanted
 * VMs have voters.  A learner that asked to join under a newer identity is
 * removed at once.  This replica itself is removed last, after a leadership
 * transfer.
 */
static bool try_remove(struct reconfig *s)
{
	uint64_t missing = DL_VM_NONE;
	bool complete = all_wanted_vote(s, &missing);

	for (uint32_t i = 0; i < s->r->members.count; i++) {
		const struct dl_rlog_member *m = &s->r->members.at[i];
		bool wanted = is_wanted(s->r, m->vm);

		if (m->id == s->r->id)
			continue;
		if (wanted && !is_superseded(s->r, m, s->now))
			continue;
		if (!wanted && m->voter && !complete) {
			set_waiting_for(s, "for a voter on", missing);
			continue;
		}
		s->next = s->r->members;
		drop_member(&s->next, m->id);
		if (keeps_quorum(s))
			return true;
		set_waiting_for(s, "for contact with a majority, to remove",
				m->vm);
	}
	if (complete && !is_wanted(s->r, s->r->conf.self) &&
	    s->r->members.count > 1)
		dl_rlog_transfer(s->r, s->now);
	return false;
}

/*
 * Starts the next membership change, if there is one.  A change waits until the
 * one before it, and an entry of this leader's own term, are committed.
 */
void rlog_reconfigure(struct dl_rlog *r, int64_t now)
{
	struct reconfig s = { .r = r, .now = now };
	struct dl_str data;

	r->waiting_for[0] = '\0';
	rlog_choose_voters(r, now);
	if (r->commit < r->term_start || r->members_index > r->commit) {
		if (r->members_index > r->commit)
			set_waiting_for(
				&s, "for the last change to be committed by",
				r->conf.self);
		return;
	}
	if (!can_commit(r, now)) {
		set_waiting_for(&s, "for working disks of a majority with",
				r->conf.self);
		return;
	}
	if (!try_promote(&s) && !try_add(&s) && !try_remove(&s))
		return;
	data = rlog_members_encode(&s.next);
	rlog_lead_append(r, DL_RLOG_MEMBERS, data, now);
	free((char *)data.s);
}

/* Sets the VMs that should have replicas from now on. */
void dl_rlog_set_replicas(struct dl_rlog *r, const uint64_t *vms,
			  uint32_t count)
{
	r->wanted_count = MIN(count, DL_RLOG_MEMBERS_MAX);
	if (r->wanted_count)
		memcpy(r->wanted, vms, r->wanted_count * sizeof(*vms));
}

/*
 * Checks whether a list can be put into effect: a majority of it must be heard
 * from now, as members or by their join requests, or the group would lose its
 * quorum.
 */
int dl_rlog_check_replicas(const struct dl_rlog *r, const uint64_t *vms,
			   uint32_t count, int64_t now, struct dl_err *err)
{
	uint32_t live = 0;
	char text[24], silent_vm[24] = "none";

	for (uint32_t i = 0; i < count; i++) {
		bool heard = vms[i] == r->conf.self;

		for (uint32_t j = 0; j < r->members.count; j++) {
			const struct dl_rlog_member *m = &r->members.at[j];

			heard = heard ||
				(m->vm == vms[i] && is_live(r, m->id, now));
		}
		for (uint32_t j = 0; j < r->joins_count; j++)
			heard = heard ||
				(r->joins[j].vm == vms[i] &&
				 now - r->joins[j].at <= RLOG_JOIN_VALID_MS);
		live += heard;
		if (!heard)
			memcpy(silent_vm, dl_vm_text(vms[i], text),
			       sizeof(silent_vm));
	}
	if (!count || live >= count / 2 + 1)
		return 0;
	return dl_err_set(err, -EINVAL, DL_STEP_CHECK, silent_vm,
			  "only %u of %u listed replicas are reachable; "
			  "the quorum would be lost",
			  live, count);
}
