/*
 * Grant requests that are sent to a second VM as well, because the dispatcher
 * has not answered them in the usual time.  The second VM is the one that would
 * dispatch if the first were gone.  Both know the request by the same id; the
 * first grant is used, and the request is cancelled at the other VM.  Nothing
 * is sent to an endpoint before the grant, so the request cannot run twice.
 * What each order of answers leads to is decided in coordination/hedge.c.
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
	       !c->ask_again_at && !c->hedge.order.tried && !c->probes &&
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

/* The request could not be sent to the second VM, as after a refusal. */
static void drop_second(struct call *c)
{
	entry_hedge_step(c, (struct dl_hedge_event){ .kind = DL_HEDGE_REFUSAL,
						     .vm = DL_HEDGE_SECOND });
}

/* Asks this VM; the call may have been freed when this returns. */
static void ask_this_vm(struct call *c, const struct dl_ask_frame *ask)
{
	struct entry_pool *p = entry_pool_find(c->e, dl_name_str(&c->service));

	if (p)
		entry_pool_ask(c->e, p, ask, false);
	else
		drop_second(c);
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
	entry_hedge_step(
		c, (struct dl_hedge_event){ .kind = DL_HEDGE_ASK_SECOND });
	c->hedge.vm = vm;
	c->hedge.asked_at = entry_now(e);
	dl_count(DL_METRIC_asks_hedged, 1);
	log_series(c);
	ask.standby = true;
	ask.no_spill = true;
	ask.retry_credit = 0; /* the first VM has it */
	if (vm == e->node.self) {
		ask_this_vm(c, &ask);
		return;
	}
	dl_ask_pack(&pk, &ask, entry_now(e));
	if (dl_peers_send(e->node.peers, vm, DL_FRAME_GRANT_REQUEST, c->ask_id,
			  dl_packer_bytes(&pk)))
		drop_second(c);
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

/* The request stays with the second VM, as far as it got there. */
static void promote(struct call *c)
{
	call_note_wait(c);
	c->state = c->hedge.order.first == DL_HEDGE_QUEUED ? CALL_QUEUED :
							     CALL_ASKING;
	c->asked_at = c->hedge.asked_at;
	c->ask_again_at = 0;
}

/*
 * Applies an event to a pending request, cancels it where it must be forgotten,
 * and returns the other actions, which are left to the caller.
 */
uint32_t entry_hedge_step(struct call *c, struct dl_hedge_event ev)
{
	uint32_t actions = dl_hedge_step(&c->hedge.order, &ev);

	if (actions & DL_HEDGE_CANCEL_FIRST && c->dispatcher != DL_VM_NONE)
		call_cancel_at(c, c->dispatcher);
	if (actions & DL_HEDGE_CANCEL_SECOND)
		call_cancel_at(c, c->hedge.vm);
	if (actions & DL_HEDGE_PROMOTE) {
		c->hedge.unanswered = c->dispatcher;
		c->dispatcher = c->hedge.vm;
		if (actions & DL_HEDGE_USE)
			dl_count(DL_METRIC_asks_hedged_won, 1);
		else
			promote(c);
	}
	return actions;
}

/* Returns which of its VMs an answer to a request came from, or a loss. */
static enum dl_hedge_vm role_of(const struct call *c, uint64_t vm)
{
	if (vm == c->dispatcher)
		return DL_HEDGE_FIRST;
	if (vm == c->hedge.vm && c->hedge.order.second != DL_HEDGE_NONE)
		return DL_HEDGE_SECOND;
	return DL_HEDGE_OTHER;
}

/* Returns what is to be done about an answer, except for cancellations. */
uint32_t entry_hedge_answer(struct call *c, uint64_t from,
			    enum dl_verdict verdict)
{
	static const enum dl_hedge_kind kinds[] = {
		[DL_GRANTED] = DL_HEDGE_GRANT,
		[DL_QUEUED] = DL_HEDGE_QUEUE,
		[DL_REFUSED] = DL_HEDGE_REFUSAL,
	};

	return entry_hedge_step(
		c, (struct dl_hedge_event){ .kind = kinds[verdict],
					    .vm = role_of(c, from) });
}

/* Handles a lost connection to a VM; owner: the VM that dispatches now. */
uint32_t entry_hedge_vm_down(struct call *c, uint64_t vm, uint64_t owner)
{
	return entry_hedge_step(
		c, (struct dl_hedge_event){ .kind = DL_HEDGE_LOST,
					    .vm = role_of(c, vm),
					    .second_dispatches = owner ==
								 c->hedge.vm });
}

/* The dispatcher has not answered in time, or owner dispatches instead. */
uint32_t entry_hedge_moved(struct call *c, uint64_t owner)
{
	return entry_hedge_step(
		c, (struct dl_hedge_event){ .kind = DL_HEDGE_MOVED,
					    .vm = DL_HEDGE_FIRST,
					    .second_dispatches = owner ==
								 c->hedge.vm });
}

/* Returns the VM that is to hold a grant, which the caller moves there. */
uint64_t entry_hedge_holder(struct call *c, uint64_t owner)
{
	struct dl_hedge_event ev = { .kind = DL_HEDGE_OWNER,
				     .vm = DL_HEDGE_OTHER };
	uint32_t actions;

	if (owner == DL_VM_NONE)
		return owner;
	if (owner == c->dispatcher)
		ev.vm = DL_HEDGE_FIRST;
	else if (owner == c->hedge.unanswered)
		ev.vm = DL_HEDGE_SECOND;
	ev.overdue = dl_ask_timer_is_overdue(&c->e->ask_timer, owner);
	actions = entry_hedge_step(c, ev);
	if (actions & DL_HEDGE_RELEASE_OLD)
		entry_grant_release_unused(c->e, c->dispatcher,
					   dl_name_str(&c->service),
					   c->grant.grant, c->ask_id);
	return actions & DL_HEDGE_MOVE ? owner : c->dispatcher;
}
