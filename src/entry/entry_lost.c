/*
 * Attempts at endpoint instances that are gone. A connection to an endpoint
 * that lost power, or was cut off before it ended, stays open and silent, so
 * that the end of its instance has to be learned in another way: another
 * instance announces itself at its address, or it does not answer when asked.
 * Silence alone shows nothing, since a long prompt takes seconds to its first
 * event.
 */
#include "base/msg.h"
#include "entry/entry_call.h"

/*
 * What an instance sent before it ended may arrive after the announcement of
 * the next one.
 */
#define LAST_BYTES_MS 250

/* Ends an attempt whose endpoint instance is gone; its end() follows. */
void entry_lost_end_attempt(struct call *c, const char *why)
{
	dl_msg(DL_MSG_ENDPOINT_LOST,
	       "request=%s endpoint=%s instance=%s silent_ms=%ld why=\"%s\"",
	       c->id_text, c->grant.endpoint[0].s, c->route.instance.s,
	       (long)dl_httpc_silent_ms(c->attempt), why);
	dl_httpc_give_up(c->attempt, why);
}

/* Records that the attempt in flight, if any, cannot be completed. */
void entry_lost_note(struct call *c)
{
	if (c->attempt && !c->endpoint_lost_at)
		c->endpoint_lost_at = entry_now(c->e);
}

/*
 * Handles that the instance at an address was replaced or is gone: attempts
 * that were sent to it, or use memory reserved on it, cannot be completed.
 */
void entry_lost_instance(struct entry *e, struct dl_str address)
{
	for (struct call *c = e->calls; c; c = c->next) {
		bool holds = entry_reservation_lost(c, address);

		if (holds || dl_name_eq(&c->grant.endpoint[0], address))
			entry_lost_note(c);
	}
}

/* Ends the attempts whose instance is gone once nothing more arrives. */
void entry_lost_tick(struct entry *e, int64_t now)
{
	for (struct call *c = e->calls; c; c = c->next) {
		if (c->attempt && c->endpoint_lost_at &&
		    now - c->endpoint_lost_at >= LAST_BYTES_MS &&
		    dl_httpc_silent_ms(c->attempt) >= LAST_BYTES_MS)
			entry_lost_end_attempt(c, "instance replaced");
	}
}
