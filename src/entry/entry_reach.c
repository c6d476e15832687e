/*
 * VMs that do not respond to this one. Membership takes seconds to declare a VM
 * dead, and must: one that is frozen for a moment must not lose what it holds.
 * Dispatching cannot wait for that, and loses nothing by moving for a moment.
 * This VM therefore treats a VM as not dispatching for a while if its
 * connection was lost or an ask to it was not answered. VMs on the same side of
 * a partition choose the same successor.
 */
#include "base/msg.h"
#include "entry/entry.h"

/*
 * A silent connection is closed and reported as lost every two seconds, so that
 * a VM behind a partition stays unreachable; a VM that has recovered is tried
 * again after this time.
 */
#define UNREACHABLE_MS 3000
/*
 * A frame from the VM ends this time early, but not before this: the VM may
 * send without being able to receive.
 */
#define UNREACHABLE_MIN_MS 1000

/*
 * Marks a VM as unreachable after its connection was lost or an ask to it was
 * not answered.
 */
void entry_reach_mark_unreachable(struct entry *e, uint64_t vm)
{
	int64_t now = entry_now(e);

	dl_ask_timer_forget(&e->ask_timer, vm);
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
	dl_msg(DL_MSG_VM_RETRIED, "vm=%lx after_ms=%ld", (unsigned long)vm,
	       (long)(entry_now(e) - at));
	return true;
}

/* Handles a frame received from a VM. */
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

/* Retries VMs that have been marked as unreachable for long enough. */
void entry_reach_tick(struct entry *e)
{
	g_hash_table_foreach_remove(e->unreachable_vms, clear_elapsed, e);
}
