/*
 * What is in force, told to entries that ask: the leader's word alone, and only
 * while no other leader can exist.  An entry trusts the keys of its callers for
 * a while from the moment at which it asked.
 */
#include "main/replica.h"
#include "protocol/pack.h"

/* More entries than a deployment has; further ones ask again. */
#define UNSURE_MAX 1024

/*
 * Whether this replica knows for certain what is in force: it leads, no other
 * can, and all that was committed before now is carried out here.  Members and
 * the first entry of a term are in the log, too, and change no state.
 */
bool replica_sure(struct replica *r, int64_t now)
{
	struct dl_rlog_status s;
	uint64_t index;

	if (!r->started || dl_rlog_read(r->rlog, now, &index))
		return false;
	dl_rlog_get_status(r->rlog, now, &s);
	return s.applied >= index;
}

static void answer(struct replica *r, uint64_t to, uint64_t request, bool sure)
{
	struct dl_rlog_status s;
	struct dl_packer pk;

	dl_rlog_get_status(r->rlog, replica_now(r), &s);
	dl_packer_open(&pk, 3);
	dl_pack_bool(&pk, sure);
	dl_pack_u64(&pk, sure ? dl_cstore_version(r->cstore) : 0);
	dl_pack_u64(&pk, s.leader);
	replica_send(r, to, DL_FRAME_LEASE, request, dl_packer_bytes(&pk));
	dl_packer_close(&pk);
}

/* Keep the latest question of each entry that could not be told. */
static void keep(struct replica *r, uint64_t from, uint64_t request)
{
	struct replica_unsure kept = { from, request };

	for (guint i = 0; i < r->unsure->len; i++) {
		struct replica_unsure *at =
			&g_array_index(r->unsure, struct replica_unsure, i);

		if (at->vm != from)
			continue;
		at->request = request;
		return;
	}
	if (r->unsure->len < UNSURE_MAX)
		g_array_append_val(r->unsure, kept);
}

/* An entry asks; the number that it sends comes back. */
void replica_lease_frame(struct replica *r, uint64_t from,
			 const struct dl_frame *frame)
{
	bool sure = replica_sure(r, replica_now(r));

	answer(r, from, frame->request, sure);
	if (!sure)
		keep(r, from, frame->request);
}

/*
 * Answer those that could not be told, once this replica is sure: their callers
 * wait for it, and would for the next question as well.
 */
void replica_lease_tell(struct replica *r)
{
	if (!r->unsure->len || !replica_sure(r, replica_now(r)))
		return;
	for (guint i = 0; i < r->unsure->len; i++) {
		const struct replica_unsure *at =
			&g_array_index(r->unsure, struct replica_unsure, i);

		answer(r, at->vm, at->request, true);
	}
	g_array_set_size(r->unsure, 0);
}
