/*
 * Leases of grants: renews them, and transfers a grant when another VM becomes
 * the dispatcher.
 */
#include "entry/entry_call.h"

/* Three renewals per lease, so that a lost one does no harm. */
#define RENEWALS_PER_LEASE 3

/*
 * How far the request of a grant is.  The last event may still be that of an
 * attempt before this grant.
 */
static struct dl_adoption progress_of(const struct call *c)
{
	int64_t held = entry_now(c->e) - c->granted_at;

	return (struct dl_adoption){
		.held_ms = (uint32_t)CLAMP(held, 0, (int64_t)UINT32_MAX),
		.began = c->attempt_first_at &&
			 c->attempt_first_at >= c->granted_at,
	};
}

/* Transfers a grant to the current dispatcher. */
static void transfer_grant(struct call *c, uint64_t owner)
{
	struct entry *e = c->e;
	struct dl_adopt_frame adopt = { .service = c->service,
					.ask = c->ask.ask,
					.has_progress = true,
					.progress = progress_of(c) };
	struct entry_pool *p;
	struct dl_packer pk;

	c->dispatcher = owner;
	c->grant.valid_until = entry_now(e) + c->lease_ms;
	adopt.grant = c->grant;
	if (owner == e->node.self) {
		p = entry_pool_find(e, dl_name_str(&c->service));
		if (p)
			dl_pool_adopt(p->pool, &adopt.grant, &adopt.ask,
				      &adopt.progress, entry_now(e));
		return;
	}
	dl_adopt_pack(&pk, &adopt, entry_now(e));
	dl_peers_send(e->node.peers, owner, DL_FRAME_ADOPT, c->ask_id,
		      dl_packer_bytes(&pk));
	dl_packer_close(&pk);
}

static void transfer_if_listed(struct call *c, uint64_t from,
			       const uint64_t *grants, uint32_t count)
{
	for (uint32_t i = 0; i < count; i++) {
		if (c->grant.grant == grants[i]) {
			transfer_grant(c, from);
			return;
		}
	}
}

/*
 * Transfers grants again that a dispatcher did not know when they were renewed.
 */
void entry_renew_gone(struct entry *e, uint64_t from, struct dl_str body)
{
	uint64_t grants[DL_ID_LIST_MAX];
	struct dl_name service;
	struct call *c;
	uint32_t count;

	if (dl_id_list_read(body, &service, grants, &count))
		return;
	for (c = e->calls; c; c = c->next) {
		if (c->granted && c->dispatcher == from &&
		    dl_name_eq(&c->service, dl_name_str(&service)))
			transfer_if_listed(c, from, grants, count);
	}
}

/* Records a renewal and schedules the next one. */
void call_note_renewed(struct call *c, int64_t now)
{
	c->renew_at = now + c->lease_ms / RENEWALS_PER_LEASE;
	c->grant.valid_until = now + c->lease_ms;
}

/*
 * Renews a grant that is due together with all other grants of the same
 * dispatcher and service. With one frame per grant, renewals were more than
 * half of the frames that a dispatcher of hundreds of grants received; now each
 * entry sends one frame every third of a lease.
 */
static void renew_remote(struct call *due, int64_t now)
{
	struct entry *e = due->e;
	uint64_t grants[DL_ID_LIST_MAX];
	struct dl_packer pk;
	uint32_t n = 0;
	struct call *c;

	for (c = due; c && n < DL_ID_LIST_MAX; c = c->next) {
		if (!c->granted || c->dispatcher != due->dispatcher ||
		    !dl_name_eq(&c->service, dl_name_str(&due->service)))
			continue;
		grants[n++] = c->grant.grant;
		call_note_renewed(c, now);
	}
	dl_id_list_pack(&pk, dl_name_str(&due->service), grants, n);
	dl_peers_send(e->node.peers, due->dispatcher, DL_FRAME_RENEW, 0,
		      dl_packer_bytes(&pk));
	dl_packer_close(&pk);
}

static void renew_local(struct call *c, int64_t now)
{
	struct entry_pool *p = entry_pool_find(c->e, dl_name_str(&c->service));

	call_note_renewed(c, now);
	if (p && dl_pool_renew(p->pool, c->grant.grant, now))
		transfer_grant(c, c->e->node.self);
}

/* Keeps a grant: transfers it if the dispatcher changed, renews it if due. */
void call_renew(struct call *c, uint64_t owner, int64_t now)
{
	if (owner != c->dispatcher && owner != DL_VM_NONE)
		transfer_grant(c, owner);
	else if (now >= c->renew_at && owner == c->e->node.self)
		renew_local(c, now);
	else if (now >= c->renew_at)
		renew_remote(c, now);
}
