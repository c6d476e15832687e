/*
 * The choice of voters if the configuration lists no replicas, from the current
 * voters and the VMs that ask to join.  rlog_reconfig.c carries it out, one
 * change at a time.
 *
 * This serves machines that are replaced by others at new addresses without any
 * notice to the group: a voter that has been silent for longer than a restart
 * takes is replaced as soon as another identity asks to join.  Without one, the
 * silent voter stays a member.
 */
#include "state/rlog_int.h"

/* A join request counts for this long; they are sent twice a second. */
#define JOIN_VALID_MS 3000

static int64_t last_heard(const struct dl_rlog *r, uint64_t id, int64_t now);
static bool listed(const uint64_t *vms, uint32_t n, uint64_t vm);
static uint64_t joining_vm(const struct dl_rlog *r, const uint64_t *vms,
			   uint32_t n, int64_t now);

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

static bool listed(const uint64_t *vms, uint32_t n, uint64_t vm)
{
	for (uint32_t i = 0; i < n; i++) {
		if (vms[i] == vm)
			return true;
	}
	return false;
}

/* A VM that asks to join or is a learner already, and is not among vms. */
static uint64_t joining_vm(const struct dl_rlog *r, const uint64_t *vms,
			   uint32_t n, int64_t now)
{
	for (uint32_t i = 0; i < r->members.count; i++) {
		const struct dl_rlog_member *m = &r->members.at[i];

		if (!m->voter && !listed(vms, n, m->vm) &&
		    now - last_heard(r, m->id, now) < JOIN_VALID_MS)
			return m->vm;
	}
	for (uint32_t i = 0; i < r->joins_count; i++) {
		if (now - r->joins[i].at < JOIN_VALID_MS &&
		    !listed(vms, n, r->joins[i].vm))
			return r->joins[i].vm;
	}
	return DL_VM_NONE;
}

/* Chooses the VMs that should have replicas, before each membership change. */
void rlog_choose_voters(struct dl_rlog *r, int64_t now)
{
	uint64_t vms[DL_RLOG_MEMBERS_MAX];
	uint32_t n = 0;
	uint64_t vm;

	if (!r->conf.voters_wanted)
		return;
	for (uint32_t i = 0; i < r->members.count; i++) {
		const struct dl_rlog_member *m = &r->members.at[i];

		if (m->voter && !listed(vms, n, m->vm))
			vms[n++] = m->vm;
	}
	while (n < r->conf.voters_wanted &&
	       (vm = joining_vm(r, vms, n, now)) != DL_VM_NONE)
		vms[n++] = vm;
	for (uint32_t i = 0; i < r->members.count; i++) {
		const struct dl_rlog_member *m = &r->members.at[i];
		int64_t silent_ms = now - last_heard(r, m->id, now);

		if (!m->voter || silent_ms < (int64_t)r->conf.voter_timeout_ms)
			continue;
		vm = joining_vm(r, vms, n, now);
		if (vm == DL_VM_NONE)
			break;
		for (uint32_t k = 0; k < n; k++) {
			if (vms[k] == m->vm)
				vms[k] = vm;
		}
	}
	/* A voter added before the silent one is removed is one too many. */
	for (uint32_t i = 0; n > r->conf.voters_wanted && i < r->members.count;
	     i++) {
		const struct dl_rlog_member *m = &r->members.at[i];
		int64_t silent_ms = now - last_heard(r, m->id, now);

		for (uint32_t k = 0;
		     silent_ms >= (int64_t)r->conf.voter_timeout_ms && k < n;
		     k++) {
			if (vms[k] == m->vm) {
				vms[k] = vms[--n];
				break;
			}
		}
	}
	dl_rlog_set_replicas(r, vms, n);
}
