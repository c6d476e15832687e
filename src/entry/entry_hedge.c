/*
 * Grant requests that are sent to a second VM as well, because the dispatcher
 * has not answered them in the usual time.  The second VM is the one that would
 * dispatch if the first were gone.  Both know the request by the same id; the
 * first grant is used, and the request is cancelled at the other VM.  Nothing
 * is sent to an endpoint before the grant, so the request cannot run twice.
 */
#include "base/metric.h"
#include "base/msg.h"
#include "entry/entry_call.h"

/*
 * Whether a pending request may be sent to a second VM.  Not for probes of a
 * quarantined cause: each VM counts those it admits.
 */
static bool may_hedge(const struct call *c)
{
	const struct entry *e = c->e;

	return e->node.settings.region.n && c->state == CALL_ASKING &&
	       !c->ask_again_at && !c->hedge.tried && !c->probes &&
	       !c->placed_locally && c->dispatcher != e->node.self &&
	       entry_pool_is_local_domain(e, dl_name_str(&c->domain));
}

static uint64_t find_standby(const struct call *c)
{
	return dl_memb_owner_without(c->e->node.memb, dl_name_str(&c->domain),
				     dl_hash(dl_name_str(&c->service), 0),
				     c->dispatcher);
}

static void log_series(struct call *c)
{
	struct entry *e = c->e;

	if (dl_ask_timer_first_hedge(&e->ask_timer, c->dispatcher))
		dl_msg(DL_MSG_ASK_HEDGED,
		       "vm=%lx second=%lx service=%s after_ms=%ld",
		       (unsigned long)c->dispatcher, (unsigned long)c->hedge.vm,
		       c->service.s, (long)(entry_now(e) - c->asked_at));
}

/* Asks this VM; the call may have been freed when this returns. */
static void ask_this_vm(struct call *c, const struct dl_ask_frame *ask)
{
	struct entry_pool *p = entry_pool_find(c->e, dl_name_str(&c->service));

	if (p)
		entry_pool_ask(c->e, p, ask, false);
	else
		c->hedge.vm = DL_VM_NONE;
}

/* Sends the request to a second VM; the call may then have been freed. */
static void ask_standby(struct call *c)
{
	struct entry *e = c->e;
	uint64_t vm = find_standby(c);
	struct dl_ask_frame ask = c->ask;
	struct dl_packer pk;

	if (vm == DL_VM_NONE || dl_ask_timer_is_overdue(&e->ask_timer, vm) ||
	    !dl_ask_timer_take_token(&e->ask_timer))
		return;
	c->hedge.tried = true;
	c->hedge.vm = vm;
	c->hedge.queued = false;
	c->hedge.asked_at = entry_now(e);
	dl_count(DL_METRIC_asks_hedged, 1);
	log_series(c);
	ask.standby = true;
	ask.no_spill = true;
	if (vm == e->node.self) {
		ask_this_vm(c, &ask);
		return;
	}
	dl_ask_pack(&pk, &ask, entry_now(e));
	if (dl_peers_send(e->node.peers, vm, DL_FRAME_GRANT_REQUEST, c->ask_id,
			  dl_packer_bytes(&pk)))
		c->hedge.vm = DL_VM_NONE;
	dl_packer_close(&pk);
}

/*
 * A grant request was sent to the dispatcher.  While that VM has left another
 * one unanswered, a second VM is asked at once.
 */
void entry_hedge_sent(struct call *c)
{
	struct entry *e = c->e;

	if (!may_hedge(c))
		return;
	dl_ask_timer_sent(&e->ask_timer);
	if (dl_ask_timer_is_overdue(&e->ask_timer, c->dispatcher))
		ask_standby(c);
}

/*
 * Asks a second VM if the answer is late; the call may have been freed when
 * this returns.
 */
void entry_hedge_tick_call(struct call *c, int64_t now)
{
	struct dl_ask_timer *t = &c->e->ask_timer;

	if (!may_hedge(c))
		return;
	if (dl_ask_timer_is_late(t, c->asked_at, now))
		dl_ask_timer_add_overdue(t, c->dispatcher, c->ask_id,
					 c->asked_at);
	if (dl_ask_timer_is_overdue(t, c->dispatcher))
		ask_standby(c);
}

/*
 * Marks VMs as unreachable that did not answer in time a request that has been
 * granted by another VM, or has ended, meanwhile.
 */
void entry_hedge_tick(struct entry *e, int64_t now)
{
	uint64_t vm;

	dl_ask_timer_tick(&e->ask_timer, now, DL_NODE_TICK_MS);
	while ((vm = dl_ask_timer_lost(&e->ask_timer, now)) != DL_VM_NONE)
		entry_reach_mark_unreachable(e, vm);
}

/* Notes how long a VM took to answer; c is NULL if the request has ended. */
void entry_hedge_note_answer(struct entry *e, const struct call *c,
			     uint64_t from, uint64_t request)
{
	int64_t asked_at = dl_ask_timer_answered(&e->ask_timer, from, request);

	if (c && !c->granted && c->dispatcher == from &&
	    c->state == CALL_ASKING && from != e->node.self &&
	    entry_pool_is_local_domain(e, dl_name_str(&c->domain)))
		asked_at = c->asked_at;
	if (asked_at)
		dl_ask_timer_add_answer(&e->ask_timer, entry_now(e) - asked_at);
}

/* Cancels the request at the second VM. */
void entry_hedge_withdraw(struct call *c)
{
	if (c->hedge.vm == DL_VM_NONE)
		return;
	call_cancel_at(c, c->hedge.vm);
	c->hedge.vm = DL_VM_NONE;
}

/* The second VM has granted the request: the first one must forget it. */
static void use_standby_grant(struct call *c)
{
	dl_count(DL_METRIC_asks_hedged_won, 1);
	call_cancel_at(c, c->dispatcher);
	c->hedge.unanswered = c->dispatcher;
	c->dispatcher = c->hedge.vm;
	c->hedge.vm = DL_VM_NONE;
}

/*
 * Handles the reply of the second VM; returns whether it is a grant, which the
 * call then holds from that VM.  A refusal is never final: the second VM may
 * know no endpoint, or less than the first, which decides unless it is lost.
 */
bool entry_hedge_answer(struct call *c, const struct dl_answer *answer)
{
	switch (answer->verdict) {
	case DL_GRANTED:
		use_standby_grant(c);
		return true;
	case DL_QUEUED:
		c->hedge.queued = true;
		return false;
	case DL_REFUSED:
		c->hedge.vm = DL_VM_NONE;
		return false;
	}
	return false;
}

/*
 * The VM that was asked second dispatches now: the request stays where it is
 * there, and is cancelled at the first VM.  Returns false if another VM
 * dispatches, or if that VM refused it.
 */
bool entry_hedge_promote(struct call *c, uint64_t owner)
{
	if (c->hedge.vm == DL_VM_NONE || c->hedge.vm != owner)
		return false;
	call_cancel_at(c, c->dispatcher);
	call_note_wait(c);
	c->state = c->hedge.queued ? CALL_QUEUED : CALL_ASKING;
	c->dispatcher = owner;
	c->asked_at = c->hedge.asked_at;
	c->ask_again_at = 0;
	c->hedge.vm = DL_VM_NONE;
	return true;
}

/*
 * The connection to a VM is lost.  Returns whether a request that was sent
 * there remains with the second VM.
 */
bool entry_hedge_vm_down(struct call *c, uint64_t vm, uint64_t owner)
{
	if (c->hedge.vm == vm)
		c->hedge.vm = DL_VM_NONE;
	return c->dispatcher == vm && entry_hedge_promote(c, owner);
}

/*
 * Returns the VM that is to hold a grant.  A grant of a second VM stays there
 * until the first one has answered, since a VM that is gone would not renew it.
 * When it moves, the second VM releases it at once and not with its lease: it
 * does not dispatch, and nothing else tells it when the request ends.
 */
uint64_t entry_hedge_holder(struct call *c, uint64_t owner)
{
	if (c->hedge.unanswered == DL_VM_NONE || owner == DL_VM_NONE ||
	    owner == c->dispatcher)
		return owner;
	if (owner == c->hedge.unanswered &&
	    dl_ask_timer_is_overdue(&c->e->ask_timer, owner))
		return c->dispatcher;
	c->hedge.unanswered = DL_VM_NONE;
	entry_grant_release_unused(c->e, c->dispatcher,
				   dl_name_str(&c->service), c->grant.grant,
				   c->ask_id);
	return owner;
}
