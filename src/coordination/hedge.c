/*
 * Decides what becomes of a grant request that two VMs may have.
 *
 * Load: a dispatcher is late, so that a second VM gets the request too, and
 * both answer, are lost or stop dispatching in any order. Harm: two grants are
 * used, or a grant that nobody uses makes an engine look busy until its lease
 * ends.
 */
#include "hedge.h"

static uint32_t on_ask(struct dl_hedge *h, const struct dl_hedge_event *ev);
static uint32_t on_ask_second(struct dl_hedge *h,
			      const struct dl_hedge_event *ev);
static uint32_t on_grant(struct dl_hedge *h, const struct dl_hedge_event *ev);
static uint32_t on_queue(struct dl_hedge *h, const struct dl_hedge_event *ev);
static uint32_t on_refusal(struct dl_hedge *h, const struct dl_hedge_event *ev);
static uint32_t on_lost(struct dl_hedge *h, const struct dl_hedge_event *ev);
static uint32_t on_moved(struct dl_hedge *h, const struct dl_hedge_event *ev);
static uint32_t on_owner(struct dl_hedge *h, const struct dl_hedge_event *ev);
static uint32_t on_released(struct dl_hedge *h,
			    const struct dl_hedge_event *ev);
static uint32_t on_restart(struct dl_hedge *h, const struct dl_hedge_event *ev);
static uint32_t on_end(struct dl_hedge *h, const struct dl_hedge_event *ev);

static uint32_t (*const handlers[DL_HEDGE_KIND_COUNT])(
	struct dl_hedge *h, const struct dl_hedge_event *ev) = {
	[DL_HEDGE_ASK] = on_ask,
	[DL_HEDGE_ASK_SECOND] = on_ask_second,
	[DL_HEDGE_GRANT] = on_grant,
	[DL_HEDGE_QUEUE] = on_queue,
	[DL_HEDGE_REFUSAL] = on_refusal,
	[DL_HEDGE_LOST] = on_lost,
	[DL_HEDGE_MOVED] = on_moved,
	[DL_HEDGE_OWNER] = on_owner,
	[DL_HEDGE_RELEASED] = on_released,
	[DL_HEDGE_RESTART] = on_restart,
	[DL_HEDGE_END] = on_end,
};

static uint32_t on_ask(struct dl_hedge *h, const struct dl_hedge_event *ev)
{
	*h = (struct dl_hedge){ .first = DL_HEDGE_ASKED };
	return 0;
}

static uint32_t on_ask_second(struct dl_hedge *h,
			      const struct dl_hedge_event *ev)
{
	h->tried = true;
	h->second = DL_HEDGE_ASKED;
	return 0;
}

/*
 * Cancels what the first VM may have queued: it does not notice that a
 * connection was lost, and keeps the request.
 */
static uint32_t cancel_first(struct dl_hedge *h)
{
	if (h->first == DL_HEDGE_NONE)
		return 0;
	h->first = DL_HEDGE_NONE;
	return DL_HEDGE_CANCEL_FIRST;
}

static uint32_t cancel_second(struct dl_hedge *h)
{
	if (h->second == DL_HEDGE_NONE)
		return 0;
	h->second = DL_HEDGE_NONE;
	return DL_HEDGE_CANCEL_SECOND;
}

/* The request stays with the second VM only, as far as it got there. */
static uint32_t promote_second(struct dl_hedge *h)
{
	h->first = h->second;
	h->second = DL_HEDGE_NONE;
	return DL_HEDGE_CANCEL_FIRST | DL_HEDGE_PROMOTE;
}

/* Whether nothing is pending at the VM of an answer, so that it is late. */
static bool is_late(const struct dl_hedge *h, enum dl_hedge_vm vm)
{
	if (vm == DL_HEDGE_OTHER)
		return true;
	return (vm == DL_HEDGE_FIRST ? h->first : h->second) == DL_HEDGE_NONE;
}

/* The first grant is used; the other VM must forget the request. */
static uint32_t on_grant(struct dl_hedge *h, const struct dl_hedge_event *ev)
{
	uint32_t actions = DL_HEDGE_USE;

	if (is_late(h, ev->vm))
		return DL_HEDGE_DROP;
	h->granted = true;
	h->unanswered = ev->vm == DL_HEDGE_SECOND;
	actions |= h->unanswered ? promote_second(h) : cancel_second(h);
	h->first = DL_HEDGE_NONE;
	return actions;
}

static uint32_t on_queue(struct dl_hedge *h, const struct dl_hedge_event *ev)
{
	if (is_late(h, ev->vm))
		return DL_HEDGE_DROP;
	if (ev->vm == DL_HEDGE_SECOND) {
		h->second = DL_HEDGE_QUEUED;
		return 0;
	}
	h->first = DL_HEDGE_QUEUED;
	return DL_HEDGE_WAIT;
}

/*
 * A refusal of the second VM is never final: it may know no endpoint, or less
 * than the first, which decides unless it is lost.
 */
static uint32_t on_refusal(struct dl_hedge *h, const struct dl_hedge_event *ev)
{
	if (is_late(h, ev->vm))
		return DL_HEDGE_DROP;
	if (ev->vm == DL_HEDGE_SECOND) {
		h->second = DL_HEDGE_NONE;
		return 0;
	}
	h->first = DL_HEDGE_NONE;
	return DL_HEDGE_REFUSED;
}

/* The second VM has what was asked of it if it dispatches now. */
static bool can_promote(const struct dl_hedge *h,
			const struct dl_hedge_event *ev)
{
	return ev->second_dispatches && h->second != DL_HEDGE_NONE;
}

static uint32_t on_lost(struct dl_hedge *h, const struct dl_hedge_event *ev)
{
	if (h->granted || ev->vm == DL_HEDGE_OTHER)
		return 0;
	if (ev->vm == DL_HEDGE_SECOND)
		return cancel_second(h);
	return can_promote(h, ev) ? promote_second(h) : DL_HEDGE_ASK_LATER;
}

/* The first VM has not answered in time, or another VM dispatches. */
static uint32_t on_moved(struct dl_hedge *h, const struct dl_hedge_event *ev)
{
	if (can_promote(h, ev))
		return promote_second(h);
	return cancel_first(h) | cancel_second(h) | DL_HEDGE_ASK_ANEW;
}

/*
 * A grant of a second VM stays there until the first one has answered, since a
 * VM that is gone would not renew it.  When it moves, the second VM releases it
 * at once and not with its lease: it does not dispatch, and nothing else tells
 * it when the request ends.
 */
static uint32_t on_owner(struct dl_hedge *h, const struct dl_hedge_event *ev)
{
	if (ev->vm == DL_HEDGE_FIRST)
		return 0;
	if (!h->unanswered)
		return DL_HEDGE_MOVE;
	if (ev->vm == DL_HEDGE_SECOND && ev->overdue)
		return 0;
	h->unanswered = false;
	return DL_HEDGE_RELEASE_OLD | DL_HEDGE_MOVE;
}

static uint32_t on_released(struct dl_hedge *h, const struct dl_hedge_event *ev)
{
	h->granted = false;
	return 0;
}

static uint32_t on_restart(struct dl_hedge *h, const struct dl_hedge_event *ev)
{
	uint32_t actions = cancel_first(h) | cancel_second(h);

	*h = (struct dl_hedge){ 0 };
	return actions;
}

static uint32_t on_end(struct dl_hedge *h, const struct dl_hedge_event *ev)
{
	return cancel_first(h) | cancel_second(h);
}

/* Applies an event to the state of a request. */
uint32_t dl_hedge_step(struct dl_hedge *h, const struct dl_hedge_event *ev)
{
	return handlers[ev->kind](h, ev);
}
