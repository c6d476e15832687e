/* Crashes under requests on their way from the entries that saw them to all. */
#include "main/replica.h"

/* Nothing is known yet. */
void replica_quarantine_open(struct replica *r)
{
	quarantine_open(&r->quarantine);
}

/* An entry or another replica tells of crashes. */
void replica_quarantine_frame(struct replica *r, const struct dl_frame *f)
{
	quarantine_frame(&r->quarantine, f->body, true, replica_now(r));
}

static void to_all(void *arg, struct dl_str body)
{
	replica_to_members(arg, true, DL_FRAME_CRASHES, body);
}

/* A VM is reached, for the first time or again: it is told all. */
void replica_quarantine_up(struct replica *r, uint64_t vm)
{
	quarantine_tell_all(&r->quarantine, r->node.peers, vm, replica_now(r));
}

/* Pass on what is new. */
void replica_quarantine_tick(struct replica *r, int64_t now)
{
	quarantine_tell(&r->quarantine, now, to_all, r);
}
