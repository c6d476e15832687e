/*
 * Leases on the version in force. Only the leader confirms the version, and
 * only while no other leader can exist. An entry may accept its callers' keys
 * for a limited time, counted from when it sent its request.
 */
#include "replica/replica.h"
#include "protocol/evacuation_codec.h"

/*
 * Whether this replica can serve a linearizable read: it is the leader, no
 * other leader can exist, and everything committed before now is applied.
 * Membership entries and the first entry of a term are in the log, too, and
 * change no state.
 */
bool replica_can_read(struct replica *r, int64_t now)
{
	struct dl_rlog_status s;
	uint64_t index;

	if (!r->started || dl_rlog_read(r->rlog, now, &index))
		return false;
	dl_rlog_get_status(r->rlog, now, &s);
	return s.applied >= index;
}

static void send_lease(struct replica *r, uint64_t to, uint64_t request,
		       bool confirmed)
{
	struct dl_rlog_status s;
	struct dl_packer pk;

	dl_rlog_get_status(r->rlog, replica_now(r), &s);
	dl_packer_open(&pk, 3 + DL_EVACUATIONS_ITEMS);
	dl_pack_bool(&pk, confirmed);
	dl_pack_u64(&pk, confirmed ? dl_cstore_version(r->cstore) : 0);
	dl_pack_u64(&pk, s.leader);
	replica_evacuation_pack(r, &pk);
	replica_send(r, to, DL_FRAME_LEASE, request, dl_packer_bytes(&pk));
	dl_packer_close(&pk);
}

/*
 * Stores the latest unanswered request of each entry. Senders that are not
 * members have to retry, so there are at most as many as members.
 */
static void add_waiter(struct replica *r, uint64_t from, uint64_t request)
{
	struct replica_lease_waiter *w;

	if (!dl_memb_find(r->node.memb, from))
		return;
	w = g_new(struct replica_lease_waiter, 1);
	*w = (struct replica_lease_waiter){ from, request };
	g_hash_table_replace(r->lease_waiters, &w->vm, w);
}

/* Answers an entry's lease request; the reply has the same request id. */
void replica_lease_frame(struct replica *r, uint64_t from,
			 const struct dl_frame *frame)
{
	bool confirmed = replica_can_read(r, replica_now(r));

	send_lease(r, from, frame->request, confirmed);
	if (!confirmed)
		add_waiter(r, from, frame->request);
}

/*
 * Answers waiting entries once the version can be confirmed. Their callers are
 * held up, and would be until the entries' next request.
 */
void replica_lease_answer_waiters(struct replica *r)
{
	struct replica_lease_waiter *w;
	GHashTableIter iter;

	if (!g_hash_table_size(r->lease_waiters) ||
	    !replica_can_read(r, replica_now(r)))
		return;
	g_hash_table_iter_init(&iter, r->lease_waiters);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&w))
		send_lease(r, w->vm, w->request, true);
	g_hash_table_remove_all(r->lease_waiters);
}
