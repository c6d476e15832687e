/* Limits that endpoints name in their answers, on requests from all VMs. */
#include "base/msg.h"
#include "main/entry.h"

/* The head of an answer has come, which names a limit or none. */
void entry_limit_named(struct call *c, uint32_t limit)
{
	struct entry *e = c->e;
	struct dl_str service = dl_name_str(&c->service);
	struct dl_str address = dl_name_str(&c->grant.endpoint[0]);
	struct entry_pool *p = entry_pool_find(e, service);

	/* It may be the answer of a start that another one has followed. */
	if (!p || c->start != entry_quarantine_start(e, service, address))
		return;
	if (!dl_pool_limit(p->pool, address, limit, entry_now(e)))
		return;
	if (limit == DL_UNLIMITED)
		dl_msg(DL_MSG_LIMIT_OVER, "endpoint=%s request=%s", address.s,
		       c->id_text);
	else
		dl_msg(DL_MSG_LIMIT_NAMED,
		       "endpoint=%s limit_per_1000s=%u request=%s", address.s,
		       limit, c->id_text);
}
