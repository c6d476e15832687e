/*
 * Memory for a prompt that no one engine can hold: reserved on every other
 * engine of its group before the request is sent, all or nothing.  A
 * reservation is short and renewed, so that whatever dies leaves nothing behind
 * for longer than the engines themselves would free it.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/msg.h"
#include "main/entry.h"
#include "platform/platform.h"

/*
 * Below the four seconds after which memory that nobody uses counts as lost;
 * three renewals in it, so that a lost one costs nothing.
 */
#define HOLD_MS	 3500
#define RENEW_MS 1100
/* An engine answers an order at once. */
#define CONNECT_MS	   400
#define ANSWER_MS	   600
#define TEXT_MAX	   96
#define STATUS_MISDIRECTED 421

/* One engine's part. */
struct ticket {
	struct tickets *set;
	struct dl_name address;
	struct dl_name instance;
	char id[TEXT_MAX];
	uint64_t tokens;
	bool held;
	bool refused;
	bool unreachable;
	struct dl_httpc_call *order; /* in flight */
};

struct tickets {
	struct call *c;
	uint8_t count;
	bool asked; /* the first answers are still awaited */
	int64_t renew_at;
	struct ticket at[DL_GROUP_MAX];
};

static void on_head(void *arg, const struct dl_httpc_head *head);
static void on_end(void *arg, const struct dl_attempt *attempt,
		   const struct dl_err *err);

static const struct dl_httpc_ops reserve_ops = { .head = on_head,
						 .end = on_end };
/* One that is lost ends with its hold. */
static const struct dl_httpc_ops release_ops = { 0 };

/* Send an order about a part; its call, or NULL. */
static struct dl_httpc_call *order(struct entry *e, const struct ticket *t,
				   uint32_t hold_ms,
				   const struct dl_httpc_ops *ops, void *arg)
{
	struct dl_reservation what = { .id = dl_str_of(t->id),
				       .instance = dl_name_str(&t->instance),
				       .tokens = t->tokens,
				       .hold_ms = hold_ms };
	struct dl_header headers[DL_DIALECT_HEADERS_MAX];
	char text[DL_DIALECT_TEXT_MAX];
	struct dl_httpc_req req = { .headers = headers,
				    .connect_ms = CONNECT_MS,
				    .gap_ms = ANSWER_MS,
				    .close_ends = true };

	if (!dl_vm_parse(dl_name_str(&t->address), &req.to))
		return NULL;
	platform_dialect.reservation(&what, &req, headers, text);
	return dl_httpc_start(e->httpc, &req, ops, arg);
}

static void on_head(void *arg, const struct dl_httpc_head *head)
{
	struct ticket *t = arg;
	struct call *c = t->set->c;
	struct dl_answer_head said;

	platform_dialect.answer(head->headers, head->headers_count, &said);
	entry_backoff_named(c, &t->address,
			    entry_endpoint_start(c->e, dl_name_str(&c->service),
						 dl_name_str(&t->address)),
			    head->status, said.retry_after_ms);
	if (said.leaving && head->status != STATUS_MISDIRECTED)
		entry_announce_leaves(c->e, dl_name_str(&t->address),
				      dl_name_str(&t->instance), c->dispatcher);
	if (head->status == 200)
		t->held = true;
	else
		t->refused = true;
}

/* All have answered: send the request, or give back what was got. */
static void settle(struct tickets *set)
{
	bool all = true;

	for (uint8_t i = 0; i < set->count; i++) {
		if (set->at[i].order)
			return;
		all = all && set->at[i].held && !set->at[i].refused;
	}
	set->asked = false;
	if (all)
		entry_relay_send(set->c);
	else
		entry_relay_no_memory(set->c);
}

static void on_end(void *arg, const struct dl_attempt *attempt,
		   const struct dl_err *err)
{
	struct ticket *t = arg;

	t->order = NULL;
	t->unreachable = attempt->failure == DL_FAILURE_CONNECT;
	if (attempt->failure != DL_FAILURE_NONE && t->set->asked)
		t->refused = true;
	if (t->refused)
		dl_msg(DL_MSG_TICKET_REFUSED,
		       "request=%s endpoint=%s tokens=%lu status=%u broke=%d",
		       t->set->c->id_text, t->address.s,
		       (unsigned long)t->tokens, attempt->status,
		       attempt->failure);
	if (t->set->asked)
		settle(t->set);
}

/* Whether the memory of what was granted is spread over its engines. */
bool entry_ticket_needed(const struct call *c)
{
	return c->grant.endpoints > 1 && c->grant.share_tokens[1] > 0;
}

/* Reserve every part; entry_relay_send() or _no_memory() follows. */
void entry_ticket_reserve(struct call *c)
{
	struct tickets *set = g_new0(struct tickets, 1);

	set->c = c;
	set->asked = true;
	set->renew_at = entry_now(c->e) + RENEW_MS;
	c->tickets = set;
	for (uint8_t i = 1; i < c->grant.endpoints; i++) {
		const struct dl_directory_entry *d = dl_directory_find(
			c->e->directory, dl_name_str(&c->grant.endpoint[i]));
		struct ticket *t = &set->at[set->count++];

		t->set = set;
		t->address = c->grant.endpoint[i];
		if (d)
			t->instance = d->instance;
		t->tokens = c->grant.share_tokens[i];
		snprintf(t->id, sizeof(t->id), "%s-%u-%u", c->id_text,
			 c->route.tries, i);
		t->refused = !d || d->leaving;
		t->unreachable = d && d->leaving;
	}
	for (uint8_t i = 0; i < set->count; i++) {
		struct ticket *t = &set->at[i];

		if (!t->refused)
			t->order = order(c->e, t, HOLD_MS, &reserve_ops, t);
		t->refused = !t->order;
	}
	settle(set);
}

/*
 * The endpoints that refused: the next group is without them, or the same ones
 * are granted again within milliseconds, four times in vain.  One that could
 * not be reached is told to the dispatcher.
 */
void entry_ticket_note_refused(struct call *c)
{
	for (uint8_t i = 0; c->tickets && i < c->tickets->count; i++) {
		const struct ticket *t = &c->tickets->at[i];

		if (!t->refused || c->tried == G_N_ELEMENTS(c->tried_ids))
			continue;
		c->tried_ids[c->tried++] = t->address;
		if (t->unreachable)
			c->usage.at_fault = t->address;
	}
}

/* The name of the part on one engine, empty where none is reserved there. */
struct dl_str entry_ticket_name(const struct call *c, struct dl_str address)
{
	for (uint8_t i = 0; c->tickets && i < c->tickets->count; i++) {
		if (dl_name_eq(&c->tickets->at[i].address, address))
			return dl_str_of(c->tickets->at[i].id);
	}
	return (struct dl_str){ "", 0 };
}

/* Give back all parts; also those whose answer is still awaited. */
void entry_ticket_release(struct call *c)
{
	struct tickets *set = c->tickets;

	if (!set)
		return;
	c->tickets = NULL;
	for (uint8_t i = 0; i < set->count; i++) {
		struct ticket *t = &set->at[i];

		if (t->order)
			dl_httpc_cancel(t->order);
		if (t->held || t->order)
			order(c->e, t, 0, &release_ops, NULL);
	}
	g_free(set);
}

/* Renew what is held. */
void entry_ticket_tick(struct entry *e, int64_t now)
{
	for (struct call *c = e->calls; c; c = c->next) {
		struct tickets *set = c->tickets;

		if (!set || set->asked || now < set->renew_at)
			continue;
		set->renew_at = now + RENEW_MS;
		for (uint8_t i = 0; i < set->count; i++) {
			struct ticket *t = &set->at[i];

			if (!t->order)
				t->order =
					order(e, t, HOLD_MS, &reserve_ops, t);
		}
	}
}
