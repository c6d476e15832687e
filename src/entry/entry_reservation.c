/*
 * Memory for a prompt too large for one engine: reserved on every other engine
 * of its group before the request is sent, all or nothing.  Reservations are
 * short and renewed, so that memory is not held after a failure for longer than
 * the engines themselves take to free it.
 */
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/msg.h"
#include "entry/entry.h"
#include "platform/platform.h"

/*
 * Less than the 4 s after which engines count unused memory as lost, and three
 * times the renewal period, so that a lost renewal does no harm.
 */
#define HOLD_MS	 3500
#define RENEW_MS 1100
/*
 * The lead of a group is asked at each renewal whether it still runs, unless
 * its response goes on.  It is gone after this number of questions in a row
 * without an answer, since a lost packet may cost one answer.
 */
#define LEAD_CHECKS_MAX 3
/* A response of which something was received within this time goes on. */
#define LEAD_HEARD_MS 500
/* Engines reply to a reservation at once. */
#define CONNECT_MS	   400
#define RESPONSE_MS	   600
#define TEXT_MAX	   96
#define STATUS_MISDIRECTED 421

/* The reservation on one engine. */
struct reservation {
	struct reservations *set;
	struct dl_name address;
	struct dl_name instance;
	char id[TEXT_MAX];
	uint64_t tokens;
	bool held;
	bool unanswered; /* sent, so that the memory may be reserved */
	bool refused;
	bool unreachable;
	bool lost; /* another instance runs there, without the memory */
	struct dl_httpc_call *in_flight; /* to reserve or renew it */
};

/*
 * Questions to the lead.  Each releases a reservation that was never made,
 * which an engine answers at once, without a slot.
 */
struct lead_check {
	struct reservation nothing;
	uint32_t unanswered; /* in a row */
	uint16_t status;     /* of the answer; 0: none yet */
};

struct reservations {
	struct call *c;
	uint8_t count;
	bool pending; /* some have not been replied to yet */
	int64_t renew_at;
	struct reservation parts[DL_GROUP_MAX];
	struct lead_check lead;
};

static void on_head(void *arg, const struct dl_httpc_head *head);
static void on_end(void *arg, const struct dl_attempt *attempt,
		   const struct dl_err *err);
static bool on_connected(void *arg);
static void on_lead_head(void *arg, const struct dl_httpc_head *head);
static void on_lead_end(void *arg, const struct dl_attempt *attempt,
			const struct dl_err *err);

static const struct dl_httpc_ops reserve_ops = { .head = on_head,
						 .end = on_end,
						 .connected = on_connected };
static const struct dl_httpc_ops lead_ops = { .head = on_lead_head,
					      .end = on_lead_end };
/* Without callbacks: a lost release is made up for by the hold's expiry. */
static const struct dl_httpc_ops release_ops = { 0 };

/*
 * Sends a request to reserve memory for hold_ms, or to release it (0); returns
 * the HTTP call, or NULL.
 */
static struct dl_httpc_call *
send_reservation(struct entry *e, const struct reservation *r, uint32_t hold_ms,
		 const struct dl_httpc_ops *ops, void *arg)
{
	struct dl_reservation what = { .id = dl_str_of(r->id),
				       .instance = dl_name_str(&r->instance),
				       .tokens = r->tokens,
				       .hold_ms = hold_ms };
	struct dl_header headers[DL_DIALECT_OWN_HEADERS_MAX];
	char text[DL_DIALECT_TEXT_MAX];
	struct dl_httpc_req req = { .headers = headers,
				    .connect_ms = CONNECT_MS,
				    .idle_ms = RESPONSE_MS,
				    .total_ms = CONNECT_MS + RESPONSE_MS,
				    .close_delimited = true };

	if (!dl_vm_parse(dl_name_str(&r->address), &req.address))
		return NULL;
	platform_dialect.reservation(&what, &req, headers, text);
	return dl_httpc_start(e->httpc, &req, ops, arg);
}

static void on_head(void *arg, const struct dl_httpc_head *head)
{
	struct reservation *r = arg;
	struct call *c = r->set->c;
	struct dl_response_head said;

	platform_dialect.response(head->headers, head->headers_count, &said);
	entry_backoff_note_response(
		c, &r->address,
		entry_endpoint_instance_id(c->e, dl_name_str(&c->service),
					   dl_name_str(&r->address)),
		head->status, said.retry_after_ms);
	if (said.leaving && head->status != STATUS_MISDIRECTED)
		entry_announce_endpoint_leaving(c->e, dl_name_str(&r->address),
						dl_name_str(&r->instance),
						c->dispatcher);
	if (head->status == 200)
		r->held = true;
	else
		r->refused = true;
	if (head->status != STATUS_MISDIRECTED)
		return;
	r->lost = true;
	entry_lost_note(c);
}

/*
 * Once all engines have replied: sends the request where all memory was
 * reserved, or asks for another group.
 */
static void on_all_answered(struct reservations *set)
{
	bool all = true;

	for (uint8_t i = 0; i < set->count; i++) {
		if (set->parts[i].in_flight)
			return;
		all = all && set->parts[i].held && !set->parts[i].refused;
	}
	set->pending = false;
	if (all)
		entry_relay_send(set->c);
	else
		entry_relay_no_memory(set->c);
}

static void on_end(void *arg, const struct dl_attempt *attempt,
		   const struct dl_err *err)
{
	struct reservation *r = arg;

	r->in_flight = NULL;
	r->unanswered = attempt->sent != DL_SENT_NOTHING &&
			attempt->received == DL_RECV_NOTHING;
	r->unreachable = attempt->failure == DL_FAILURE_CONNECT;
	if (attempt->failure != DL_FAILURE_NONE && r->set->pending)
		r->refused = true;
	if (r->refused)
		dl_msg(DL_MSG_RESERVATION_REFUSED,
		       "request=%s endpoint=%s tokens=%lu status=%u broke=%d",
		       r->set->c->id_text, r->address.s,
		       (unsigned long)r->tokens, attempt->status,
		       attempt->failure);
	if (r->set->pending)
		on_all_answered(r->set);
}

/*
 * The connection is established: the endpoint may have left since the grant. A
 * reservation that is renewed is no new work.
 */
static bool on_connected(void *arg)
{
	const struct reservation *r = arg;
	const struct call *c = r->set->c;
	const struct dl_directory_entry *d =
		dl_directory_find(c->e->directory, dl_name_str(&r->address));

	return !c->grant.leaving_ms || !r->set->pending ||
	       (d && entry_leaving_may_send(c, d));
}

/* Whether the grant needs memory on several engines. */
bool entry_reservation_needed(const struct call *c)
{
	return c->grant.endpoints > 1 && c->grant.share_tokens[1] > 0;
}

/*
 * Reserves memory on every helper; entry_relay_send() or
 * entry_relay_no_memory() follows.
 */
void entry_reservation_start(struct call *c)
{
	struct reservations *set = g_new0(struct reservations, 1);

	set->c = c;
	set->pending = true;
	set->renew_at = entry_now(c->e) + RENEW_MS;
	c->reservations = set;
	for (uint8_t i = 1; i < c->grant.endpoints; i++) {
		const struct dl_directory_entry *d = dl_directory_find(
			c->e->directory, dl_name_str(&c->grant.endpoint[i]));
		struct reservation *r = &set->parts[set->count++];

		r->set = set;
		r->address = c->grant.endpoint[i];
		if (d)
			r->instance = d->instance;
		r->tokens = c->grant.share_tokens[i];
		snprintf(r->id, sizeof(r->id), "%s-%u-%u", c->id_text,
			 c->route.tries, i);
		r->refused = !d || !entry_leaving_may_send(c, d);
		r->unreachable = d && d->leaving &&
				 !c->e->node.settings.endpoint_drain_ms;
	}
	for (uint8_t i = 0; i < set->count; i++) {
		struct reservation *r = &set->parts[i];

		if (!r->refused)
			r->in_flight = send_reservation(c->e, r, HOLD_MS,
							&reserve_ops, r);
		r->refused = !r->in_flight;
	}
	on_all_answered(set);
}

/*
 * Excludes the endpoints that refused from the next group; otherwise the same
 * ones are granted again within milliseconds, until all four tries have failed.
 * One that could not be reached is reported to the dispatcher.
 */
void entry_reservation_note_refused(struct call *c)
{
	for (uint8_t i = 0; c->reservations && i < c->reservations->count;
	     i++) {
		const struct reservation *r = &c->reservations->parts[i];

		if (!r->refused || c->tried_count == G_N_ELEMENTS(c->tried_ids))
			continue;
		c->tried_ids[c->tried_count++] = r->address;
		if (r->unreachable)
			c->usage.at_fault = r->address;
	}
}

/* Returns the id of the reservation on an engine; empty: none. */
struct dl_str entry_reservation_id(const struct call *c, struct dl_str address)
{
	for (uint8_t i = 0; c->reservations && i < c->reservations->count;
	     i++) {
		if (dl_name_eq(&c->reservations->parts[i].address, address))
			return dl_str_of(c->reservations->parts[i].id);
	}
	return (struct dl_str){ "", 0 };
}

/* Releases all reservations, including those without a reply. */
void entry_reservation_release(struct call *c)
{
	struct reservations *set = c->reservations;

	if (!set)
		return;
	c->reservations = NULL;
	if (set->lead.nothing.in_flight)
		dl_httpc_cancel(set->lead.nothing.in_flight);
	for (uint8_t i = 0; i < set->count; i++) {
		struct reservation *r = &set->parts[i];

		if (r->in_flight)
			dl_httpc_cancel(r->in_flight);
		if (r->held || r->in_flight || r->unanswered)
			send_reservation(c->e, r, 0, &release_ops, NULL);
	}
	g_free(set);
}

/*
 * Handles that another instance runs at an address: a reservation there is lost
 * and not renewed.  Returns whether the call had one.
 */
bool entry_reservation_lost(struct call *c, struct dl_str address)
{
	for (uint8_t i = 0; c->reservations && i < c->reservations->count;
	     i++) {
		struct reservation *r = &c->reservations->parts[i];

		if (!dl_name_eq(&r->address, address))
			continue;
		r->lost = true;
		return true;
	}
	return false;
}

static void ask_lead(struct reservations *set)
{
	struct reservation *nothing = &set->lead.nothing;

	set->lead.status = 0;
	nothing->in_flight =
		send_reservation(set->c->e, nothing, 0, &lead_ops, set);
}

static void on_lead_head(void *arg, const struct dl_httpc_head *head)
{
	struct reservations *set = arg;

	set->lead.status = head->status;
}

/* Whether the response to the request itself shows that the lead runs. */
static bool is_lead_heard(const struct call *c)
{
	return !c->attempt || dl_httpc_silent_ms(c->attempt) < LEAD_HEARD_MS;
}

static void on_lead_end(void *arg, const struct dl_attempt *attempt,
			const struct dl_err *err)
{
	struct reservations *set = arg;
	struct lead_check *lead = &set->lead;

	lead->nothing.in_flight = NULL;
	if (is_lead_heard(set->c) ||
	    (lead->status && lead->status != STATUS_MISDIRECTED)) {
		lead->unanswered = 0;
		return;
	}
	if (lead->status == STATUS_MISDIRECTED) {
		entry_lost_end_attempt(set->c, "another instance answers");
		return;
	}
	if (err->code != -ECONNREFUSED &&
	    ++lead->unanswered < LEAD_CHECKS_MAX) {
		ask_lead(set);
		return;
	}
	set->c->endpoint_unreachable = attempt->failure != DL_FAILURE_NO_PATH;
	entry_lost_end_attempt(set->c, "no answer when asked");
}

/* Asks the lead whether it runs, unless its response goes on. */
static void check_lead(struct reservations *set)
{
	struct reservation *nothing = &set->lead.nothing;
	struct call *c = set->c;

	if (nothing->in_flight || is_lead_heard(c))
		return;
	nothing->address = c->grant.endpoint[0];
	nothing->instance = c->route.instance;
	snprintf(nothing->id, sizeof(nothing->id), "%s-%u-0", c->id_text,
		 c->route.tries);
	ask_lead(set);
}

static void renew_parts(struct reservations *set)
{
	for (uint8_t i = 0; i < set->count; i++) {
		struct reservation *r = &set->parts[i];

		if (!r->in_flight && !r->lost)
			r->in_flight = send_reservation(set->c->e, r, HOLD_MS,
							&reserve_ops, r);
	}
}

/*
 * Renews the reservations that are due, as long as the attempt that uses them
 * is not known to be lost.
 */
void entry_reservation_tick(struct entry *e, int64_t now)
{
	for (struct call *c = e->calls; c; c = c->next) {
		struct reservations *set = c->reservations;

		if (!set || set->pending || now < set->renew_at ||
		    c->endpoint_lost_at)
			continue;
		set->renew_at = now + RENEW_MS;
		renew_parts(set);
		check_lead(set);
	}
}
