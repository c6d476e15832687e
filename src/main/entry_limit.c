/*
 * Limits that endpoints name in their answers, on requests from all VMs: each
 * entry tells the dispatcher what it reads, and a new dispatcher what it has
 * read of late.
 */
#include "base/msg.h"
#include "main/entry.h"

/*
 * What was named before is not told to a new dispatcher: an endpoint that still
 * has a limit gets a request in this time, and names it again.
 */
#define LIMIT_MAX_AGE_MS 10000

/* Take in a limit where the pool is kept here; one that changes is logged. */
static void apply_limit(struct entry *e, struct entry_pool *p,
			const struct dl_limit_frame *f, uint64_t from)
{
	struct dl_str address = dl_name_str(&f->endpoint);

	/* It may be of a start that another one has followed. */
	if (f->start !=
	    entry_endpoint_instance_id(e, dl_name_str(&f->service), address))
		return;
	if (f->limit != DL_UNLIMITED)
		p->limit_seen_at = entry_now(e);
	if (!dl_pool_set_endpoint_limit(p->pool, address, f->limit,
					entry_now(e)))
		return;
	if (f->limit == DL_UNLIMITED)
		dl_msg(DL_MSG_LIMIT_LIFTED, "endpoint=%s from=%lx leading=%d",
		       address.s, (unsigned long)from, p->dispatching);
	else
		dl_msg(DL_MSG_LIMIT_ANNOUNCED,
		       "endpoint=%s limit_per_1000s=%u from=%lx leading=%d",
		       address.s, f->limit, (unsigned long)from,
		       p->dispatching);
}

static void send_limit(struct entry *e, uint64_t dispatcher,
		       const struct dl_limit_frame *f)
{
	struct dl_packer pk;

	dl_limit_pack(&pk, f);
	dl_peers_send(e->node.peers, dispatcher, DL_FRAME_LIMIT, 0,
		      dl_packer_bytes(&pk));
	dl_packer_close(&pk);
}

/* The head of an answer has come, which names a limit or none. */
void entry_limit_note_response(struct call *c, uint32_t limit)
{
	struct dl_limit_frame f = { .service = c->service,
				    .endpoint = c->grant.endpoint[0],
				    .start = c->endpoint_instance_id,
				    .limit = limit };
	struct entry *e = c->e;
	struct entry_pool *p = entry_pool_find(e, dl_name_str(&c->service));

	if (p && entry_pool_is_local_domain(e, dl_name_str(&c->domain)))
		apply_limit(e, p, &f, e->node.self);
	if ((limit == DL_UNLIMITED && !c->grant.limited) ||
	    c->dispatcher == e->node.self)
		return;
	send_limit(e, c->dispatcher, &f);
}

/* Another entry tells what an endpoint of a pool here named. */
void entry_limit_frame(struct entry *e, uint64_t from,
		       const struct dl_frame *frame)
{
	struct dl_limit_frame f;
	struct entry_pool *p;
	int rc = dl_limit_read(frame->body, &f);

	if (rc) {
		dl_msg(DL_MSG_LIMIT_BAD, "from=%lx bytes=%zu error=%d",
		       (unsigned long)from, frame->body.n, rc);
		return;
	}
	p = entry_pool_find(e, dl_name_str(&f.service));
	if (p)
		apply_limit(e, p, &f, from);
}

/*
 * A dispatcher that takes over knows the limits that its own answers showed.
 * Without the others' an endpoint in need would look free to it.
 */
static void inform_new_dispatcher(struct entry *e, struct entry_pool *p,
				  int64_t now)
{
	struct dl_str domain =
		dl_name_str(dl_settings_pool_domain(&e->node.settings));
	struct dl_str service = dl_name_str(&p->service);
	struct dl_limit_frame f = { .service = p->service };
	uint64_t owner;
	uint32_t at = 0;

	if (!p->limit_seen_at || now - p->limit_seen_at > LIMIT_MAX_AGE_MS)
		return;
	owner = entry_pool_owner(e, service, domain);
	if (owner == p->limits_sent_to || owner == DL_VM_NONE)
		return;
	p->limits_sent_to = owner;
	while (owner != e->node.self &&
	       dl_pool_endpoint_limit_next(p->pool, &at, now - LIMIT_MAX_AGE_MS,
					   &f.endpoint, &f.limit)) {
		f.start = entry_endpoint_instance_id(e, service,
						     dl_name_str(&f.endpoint));
		send_limit(e, owner, &f);
	}
}

/* Tell each dispatcher that has taken over what is known here. */
void entry_limit_tick(struct entry *e, int64_t now)
{
	for (struct entry_pool *p = e->pools; p; p = p->next)
		inform_new_dispatcher(e, p, now);
}
