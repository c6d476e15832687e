/*
 * Request rate limits that endpoints announce in their responses and that apply
 * to the requests of all VMs together. Each entry reports the limits that it
 * receives to the dispatcher; when another VM becomes the dispatcher, the entry
 * reports recent limits to it.
 */
#include "base/msg.h"
#include "entry/entry.h"

/*
 * Older limits are not reported to a new dispatcher: an endpoint that still has
 * a limit receives a request within this time, and announces the limit again.
 */
#define LIMIT_MAX_AGE_MS 10000

/* Applies a limit to a pool kept here; logs changes. */
static void apply_limit(struct entry *e, struct entry_pool *p,
			const struct dl_limit_frame *f, uint64_t from)
{
	struct dl_str address = dl_name_str(&f->endpoint);

	/* It may come from an instance that another has replaced. */
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

/* Handles the head of a response, which announces a limit or none. */
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

/* Handles a limit that another entry received from an endpoint. */
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
 * Reports recent limits to a VM that has become the dispatcher. It knows those
 * of the responses that it received itself; without the others, a rate-limited
 * endpoint would look idle to it.
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

/* Reports recent limits to each new dispatcher. */
void entry_limit_tick(struct entry *e, int64_t now)
{
	for (struct entry_pool *p = e->pools; p; p = p->next)
		inform_new_dispatcher(e, p, now);
}
