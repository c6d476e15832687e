/*
 * What is in force, told to entries that ask: the leader's word alone, and only
 * while no other leader can exist.  An entry trusts the keys of its callers for
 * a while from the moment at which it asked.
 */
#include "main/replica.h"
#include "protocol/pack.h"

/* More entries than a deployment has; further ones ask again. */
#define WAITERS_MAX 1024

/*
 * Whether this replica knows for certain what is in force: it leads, no other
 * can, and all that was committed before now is carried out here.  Members and
 * the first entry of a term are in the log, too, and change no state.
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
	dl_packer_open(&pk, 3);
	dl_pack_bool(&pk, confirmed);
	dl_pack_u64(&pk, confirmed ? dl_cstore_version(r->cstore) : 0);
	dl_pack_u64(&pk, s.leader);
	replica_send(r, to, DL_FRAME_LEASE, request, dl_packer_bytes(&pk));
	dl_packer_close(&pk);
}

/* Keep the latest question of each entry that could not be told. */
static void add_waiter(struct replica *r, uint64_t from, uint64_t request)
{
	struct replica_lease_waiter waiter = { from, request };

	for (guint i = 0; i < r->lease_waiters->len; i++) {
		struct replica_lease_waiter *w = &g_array_index(
			r->lease_waiters, struct replica_lease_waiter, i);

		if (w->vm != from)
			continue;
		w->request = request;
		return;
	}
	if (r->lease_waiters->len < WAITERS_MAX)
		g_array_append_val(r->lease_waiters, waiter);
}

/* An entry asks; the number that it sends comes back. */
void replica_lease_frame(struct replica *r, uint64_t from,
			 const struct dl_frame *frame)
{
	bool confirmed = replica_can_read(r, replica_now(r));

	send_lease(r, from, frame->request, confirmed);
	if (!confirmed)
		add_waiter(r, from, frame->request);
}

/*
 * Answer those that could not be told, once this replica is sure: their callers
 * wait for it, and would for the next question as well.
 */
void replica_lease_answer_waiters(struct replica *r)
{
	if (!r->lease_waiters->len || !replica_can_read(r, replica_now(r)))
		return;
	for (guint i = 0; i < r->lease_waiters->len; i++) {
		const struct replica_lease_waiter *w = &g_array_index(
			r->lease_waiters, struct replica_lease_waiter, i);

		send_lease(r, w->vm, w->request, true);
	}
	g_array_set_size(r->lease_waiters, 0);
}
