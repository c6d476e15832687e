/*
 * A group that nobody lists: which VMs should vote, from who does and who
 * asks.  rlog_reconfig.c carries the answer out, one change at a time.
 *
 * For machines that are replaced by others at new addresses without a word to
 * the group: a voter that is unheard for longer than a restart takes makes
 * room as soon as another identity asks to come in.  Nothing is given up for
 * nothing: without a newcomer the silent voter stays.
 */
#include "state/rlog_int.h"

/* An identity that asks says hello twice a second; so long it counts. */
#define JOIN_VALID_MS 3000

static int64_t last_heard(const struct dl_rlog *r, uint64_t id, int64_t now);
static bool listed(const uint64_t *vms, uint32_t n, uint64_t vm);
static uint64_t joining_vm(const struct dl_rlog *r, const uint64_t *vms,
			   uint32_t n, int64_t now);

/* When a member was last heard; this one is heard now. */
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

/* A VM that asks to come in or is a learner already, and is not listed. */
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

/* Decide anew, before a repair, which VMs are wanted. */
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
	/* One that was added before the silent one went is one too many. */
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
