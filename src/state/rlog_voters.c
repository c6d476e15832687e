/*
 * The choice of voters if the configuration lists no replicas, from the current
 * voters and the VMs that ask to join.  rlog_reconfig.c carries it out, one
 * change at a time.
 *
 * This serves machines that are replaced by others at new addresses without any
 * notice to the group: a voter that has been silent for longer than a restart
 * takes is replaced as soon as another identity asks to join, and so is one
 * that stores nothing for longer than a disk usually hangs.  Without another
 * identity the voter stays a member.
 *
 * Of several VMs that ask, one in the failure domain with the fewest voters is
 * taken: otherwise the loss of one domain could take the majority with it.
 */
#include "state/rlog_int.h"

#include <string.h>

/*
 * A voter that stores nothing is replaced after this many times the timeout of
 * a silent one: disks that hang for some seconds recover.
 */
#define HANGING_TIMEOUTS 4

static int64_t last_heard(const struct dl_rlog *r, uint64_t id, int64_t now);
static bool stores_nothing(const struct dl_rlog *r, uint64_t id, int64_t now);
static bool listed(const uint64_t *vms, uint32_t n, uint64_t vm);
static uint64_t domain_of(const struct dl_rlog *r, uint64_t vm);
static uint32_t count_in_domain(const struct dl_rlog *r, const uint64_t *vms,
				uint32_t n, uint64_t domain);
static uint64_t joining_vm(const struct dl_rlog *r, const uint64_t *vms,
			   uint32_t n, int64_t now);
static uint32_t list_voters(const struct dl_rlog *r, bool silent, int64_t now,
			    uint64_t out[DL_RLOG_MEMBERS_MAX]);
static uint32_t remove_crowded(const struct dl_rlog *r, uint64_t *vms,
			       uint32_t n);

/* When a member was last heard; this replica counts as heard now. */
static int64_t last_heard(const struct dl_rlog *r, uint64_t id, int64_t now)
{
	if (id == r->id)
		return now;
	for (uint32_t i = 0; i < r->peers_count; i++) {
		if (r->peers[i].member.id == id)
			return MAX(r->peers[i].heard, r->leader_since);
	}
	return r->leader_since;
}

/*
 * Whether a member stores nothing though it may answer heartbeats: its disk has
 * failed for as long as a silent voter is waited for, or hangs, so that it has
 * lacked committed entries for long and stored none of them.
 */
static bool stores_nothing(const struct dl_rlog *r, uint64_t id, int64_t now)
{
	for (uint32_t i = 0; i < r->peers_count; i++) {
		const struct rlog_peer *p = &r->peers[i];

		if (p->member.id != id)
			continue;
		if (p->disk_failed_at != INT64_MIN &&
		    now - p->disk_failed_at >=
			    (int64_t)r->conf.voter_timeout_ms)
			return true;
		return p->match < r->commit &&
		       now - MAX(p->stored_at, r->leader_since) >=
			       (int64_t)r->conf.voter_timeout_ms *
				       HANGING_TIMEOUTS;
	}
	return false;
}

static bool listed(const uint64_t *vms, uint32_t n, uint64_t vm)
{
	for (uint32_t i = 0; i < n; i++) {
		if (vms[i] == vm)
			return true;
	}
	return false;
}

/* The failure domain of a VM, as far as it is known; 0 otherwise. */
static uint64_t domain_of(const struct dl_rlog *r, uint64_t vm)
{
	if (vm == r->conf.self)
		return r->conf.domain;
	for (uint32_t i = 0; i < r->peers_count; i++) {
		if (r->peers[i].member.vm == vm && r->peers[i].domain)
			return r->peers[i].domain;
	}
	for (uint32_t i = 0; i < r->joins_count; i++) {
		if (r->joins[i].vm == vm)
			return r->joins[i].domain;
	}
	return 0;
}

/* How many of vms are in a failure domain. */
static uint32_t count_in_domain(const struct dl_rlog *r, const uint64_t *vms,
				uint32_t n, uint64_t domain)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < n; i++)
		count += domain_of(r, vms[i]) == domain;
	return count;
}

/*
 * A VM that is not among vms: a learner, which was chosen before, or else one
 * that asks to join, in the failure domain with the fewest of vms.
 */
static uint64_t joining_vm(const struct dl_rlog *r, const uint64_t *vms,
			   uint32_t n, int64_t now)
{
	uint64_t best = DL_VM_NONE;
	uint32_t fewest = UINT32_MAX, count;

	for (uint32_t i = 0; i < r->members.count; i++) {
		const struct dl_rlog_member *m = &r->members.at[i];

		if (!m->voter && !listed(vms, n, m->vm) &&
		    now - last_heard(r, m->id, now) < RLOG_JOIN_VALID_MS)
			return m->vm;
	}
	for (uint32_t i = 0; i < r->joins_count; i++) {
		const struct rlog_join_request *join = &r->joins[i];

		if (now - join->at >= RLOG_JOIN_VALID_MS ||
		    listed(vms, n, join->vm))
			continue;
		count = count_in_domain(r, vms, n, join->domain);
		if (count >= fewest)
			continue;
		best = join->vm;
		fewest = count;
	}
	return best;
}

/*
 * Lists the VMs of voters that are silent or store nothing, or of the others.
 */
static uint32_t list_voters(const struct dl_rlog *r, bool silent, int64_t now,
			    uint64_t out[DL_RLOG_MEMBERS_MAX])
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < r->members.count; i++) {
		const struct dl_rlog_member *m = &r->members.at[i];
		bool is_silent = now - last_heard(r, m->id, now) >=
					 (int64_t)r->conf.voter_timeout_ms ||
				 stores_nothing(r, m->id, now);

		if (m->voter && is_silent == silent && !listed(out, n, m->vm))
			out[n++] = m->vm;
	}
	return n;
}

/* Removes a VM of the failure domain that has most, but not this one. */
static uint32_t remove_crowded(const struct dl_rlog *r, uint64_t *vms,
			       uint32_t n)
{
	uint32_t worst = 0, most = 0;

	for (uint32_t i = 0; i < n; i++) {
		uint32_t same =
			count_in_domain(r, vms, n, domain_of(r, vms[i]));

		if (vms[i] == r->conf.self || same < most)
			continue;
		worst = i;
		most = same;
	}
	memmove(&vms[worst], &vms[worst + 1], (n - worst - 1) * sizeof(vms[0]));
	return n - 1;
}

/*
 * Chooses the VMs that should have replicas, before each membership change: the
 * voters that are heard, then VMs that ask, then silent voters for want of
 * others.
 */
void rlog_choose_voters(struct dl_rlog *r, int64_t now)
{
	uint64_t vms[DL_RLOG_MEMBERS_MAX], silent[DL_RLOG_MEMBERS_MAX];
	uint32_t wanted = MIN(r->conf.voters_wanted, DL_RLOG_MEMBERS_MAX);
	uint32_t n, silent_count;
	uint64_t vm;

	if (!wanted)
		return;
	n = list_voters(r, false, now, vms);
	silent_count = list_voters(r, true, now, silent);
	while (n > wanted)
		n = remove_crowded(r, vms, n);
	while (n < wanted && (vm = joining_vm(r, vms, n, now)) != DL_VM_NONE)
		vms[n++] = vm;
	for (uint32_t i = 0; i < silent_count && n < wanted; i++) {
		if (!listed(vms, n, silent[i]))
			vms[n++] = silent[i];
	}
	dl_rlog_set_replicas(r, vms, n);
}
