/*
 * Which VMs do not answer this one.  Membership takes seconds to be sure that a
 * VM is gone, and is right to: one that is frozen for a moment must not lose
 * what it holds.  Dispatching cannot wait for it, and loses nothing by moving
 * for a moment.  So a VM whose connection broke, or that left an ask without an
 * answer, dispatches nothing in the eyes of this one for a while, and VMs that
 * see the same cut ask the same successor.
 */
#include "base/msg.h"
#include "main/entry.h"

/*
 * A connection that stays silent is lost anew every two seconds, so that a VM
 * behind a cut stays out; one that came back is tried again after this.
 */
#define UNREACHABLE_MS 3000
/* A word of it ends that sooner, but not at once: it may hear nothing itself.
 */
#define UNREACHABLE_MIN_MS 1000

/* A connection to a VM was lost, or an ask of it: nothing is asked of it now.
 */
void entry_reach_mark_unreachable(struct entry *e, uint64_t vm)
{
	int64_t now = entry_now(e);

	if (vm == e->node.self || vm == DL_VM_NONE)
		return;
	if (!g_hash_table_contains(e->unreachable_vms, &vm))
		dl_msg(DL_MSG_VM_UNREACHABLE, "vm=%lx for_ms=%d",
		       (unsigned long)vm, UNREACHABLE_MS);
	g_hash_table_replace(e->unreachable_vms, g_memdup2(&vm, sizeof(vm)),
			     g_memdup2(&now, sizeof(now)));
	dl_memb_set_unreachable(e->node.memb, vm, true);
}

static bool clear_if_elapsed(struct entry *e, uint64_t vm, int64_t at,
			     int64_t after_ms)
{
	if (entry_now(e) - at < after_ms)
		return false;
	dl_memb_set_unreachable(e->node.memb, vm, false);
	dl_msg(DL_MSG_VM_REACHABLE, "vm=%lx after_ms=%ld", (unsigned long)vm,
	       (long)(entry_now(e) - at));
	return true;
}

/* A VM has sent something. */
void entry_reach_heard_from(struct entry *e, uint64_t vm)
{
	const int64_t *at = g_hash_table_lookup(e->unreachable_vms, &vm);

	if (at && clear_if_elapsed(e, vm, *at, UNREACHABLE_MIN_MS))
		g_hash_table_remove(e->unreachable_vms, &vm);
}

static gboolean clear_elapsed(gpointer vm, gpointer at, gpointer e)
{
	return clear_if_elapsed(e, *(uint64_t *)vm, *(int64_t *)at,
				UNREACHABLE_MS);
}

/* Try again what was lost a while ago. */
void entry_reach_tick(struct entry *e)
{
	g_hash_table_foreach_remove(e->unreachable_vms, clear_elapsed, e);
}
