/*
 * One attempt of a routed request: the caller's request goes to the endpoint
 * as it came, the endpoint's answer comes back as it is.  Answers are held
 * until they are whole, streams are passed on event by event; a stream that
 * breaks goes on at another endpoint behind the last event that was passed on.
 */
#include <stdlib.h>
#include <string.h>

#include "base/metric.h"
#include "base/msg.h"
#include "main/entry_call.h"
#include "platform/platform.h"

#define HOLD_MAX  (8u << 20)
#define EVENT_MAX (1u << 20)
#define TRIES_MAX 4 /* grants asked for, counting those that led nowhere */
/*
 * Endpoints that could not be reached, or that turned the request away for some
 * time, cost the others nothing, and their dispatcher is told: of a failure
 * domain that is cut off with a third of the endpoints, streams were broken off
 * after three of the others.
 */
#define CONNECTS_MAX 12
/* Kept of the caller's time for the way back. */
#define HOP_MARGIN_MS 5
/*
 * A silent endpoint is given up while the caller still waits: at this share of
 * the time after which callers give up, so that another one can go on.
 */
#define SILENT_PERMILLE 600
#define PERMILLE	1000
/*
 * Memory reserved on other engines is not kept longer for one that is silent:
 * two thirds of the 9 s after which engines count it as kept from others.  One
 * that hung with its health good held fifteen parts for 9.6 s.
 */
#define UNUSED_MS     6000
#define RETRY_SOON_MS 100
/* Streams of two seconds hold what is asked for. */
#define NO_MEMORY_RETRY_MS 2000
#define STATUS_ERROR	   500
#define STATUS_MISDIRECTED 421
#define STATUS_NOT_RUN	   503
#define STATUS_UNKNOWN	   502

static void on_head(void *arg, const struct dl_httpc_head *head);
static bool on_body(void *arg, struct dl_str piece);
static void on_end(void *arg, const struct dl_attempt *attempt,
		   const struct dl_err *err);

static bool on_ready(void *arg);

static const struct dl_httpc_ops relay_ops = { on_head, on_body, on_end,
					       on_ready };

static const struct dl_directory_entry *endpoint_of(const struct call *c,
						    uint8_t i)
{
	return dl_directory_find(c->e->directory,
				 dl_name_str(&c->grant.endpoint[i]));
}

/* Whether an endpoint is still the one that was granted, and stays. */
static bool is_there(const struct call *c, uint8_t i)
{
	const struct dl_directory_entry *d = endpoint_of(c, i);

	return d && !d->leaving &&
	       dl_name_eq(&d->service, dl_name_str(&c->service));
}

/* Whether it was granted by a dispatcher that has not heard that it leaves. */
static bool is_leaving(const struct call *c, uint8_t i)
{
	const struct dl_directory_entry *d = endpoint_of(c, i);

	return d && d->leaving;
}

/* Give back what was granted, and ask for another place. */
static void ask_anew(struct call *c)
{
	entry_ticket_release(c);
	entry_grant_release(c);
	c->first_byte_at = 0;
	entry_grant_ask(c);
}

/*
 * A group fails with the one that cannot be reached: its lead, which says so,
 * is as good as before.
 */
static void blame(struct call *c)
{
	const struct dl_name *at_fault = &c->route.head.at_fault;

	if (c->route.head.not_run && at_fault->n &&
	    !dl_name_eq(at_fault, dl_name_str(&c->grant.endpoint[0])))
		c->usage.at_fault = *at_fault;
}

/* Ask for another endpoint, beside those that were tried. */
static void ask_again(struct call *c)
{
	call_note_tried(c);
	ask_anew(c);
}

static void fill_outbound(struct call *c, struct dl_outbound *out)
{
	int64_t left = c->deadline - entry_now(c->e) - HOP_MARGIN_MS;

	memset(out, 0, sizeof(*out));
	out->workspace = dl_name_str(&c->workspace);
	out->instance = dl_name_str(&endpoint_of(c, 0)->instance);
	out->left_ms = (uint32_t)MAX(left, 1);
	out->resumes = c->route.resumes;
	out->after_event = c->route.after_event;
	out->priority = (uint8_t)MIN(c->grant.priority / 32, 9);
	for (uint8_t i = 1; i < c->grant.endpoints; i++) {
		struct dl_str name = dl_name_str(&c->grant.endpoint[i]);

		if (!is_there(c, i) && !c->tickets)
			continue;
		out->ticket[out->helpers] = entry_ticket_name(c, name);
		out->helper[out->helpers++] = name;
	}
}

static uint32_t silent_ms(const struct call *c)
{
	uint32_t patient = (uint32_t)MAX(c->deadline - entry_now(c->e), 1);
	uint32_t expected = c->grant.predicted_ttft_ms * 2;

	/* Without another attempt there is nothing to gain by giving up. */
	if (c->stream && c->idempotent && c->route.sent + 1 < c->route.attempts)
		patient = MAX(c->route.give_up_ms * SILENT_PERMILLE / PERMILLE,
			      expected);
	if (c->tickets)
		patient = MIN(patient, MAX(UNUSED_MS, expected));
	return patient;
}

static void send_to(struct call *c, uint64_t to)
{
	struct dl_header callers[DL_DIALECT_HEADERS_MAX];
	struct dl_header headers[DL_DIALECT_HEADERS_MAX + 8];
	char text[DL_DIALECT_TEXT_MAX];
	struct dl_httpc_req req = { .to = to, .headers = headers };
	struct dl_outbound out;
	size_t n;

	fill_outbound(c, &out);
	n = dl_httpd_headers(c->http, callers, DL_DIALECT_HEADERS_MAX);
	req.headers_count =
		platform_dialect.outbound(callers, n, &out, headers, text);
	req.method = dl_httpd_method(c->http);
	req.path = dl_httpd_path(c->http);
	req.host = dl_httpd_authority(c->http);
	req.body = dl_httpd_body(c->http);
	req.connect_ms = c->connect_ms;
	req.gap_ms = silent_ms(c);
	req.close_ends = true;
	req.keep = c->idempotent;
	c->attempt = dl_httpc_start(c->e->httpc, &req, &relay_ops, c);
}

/* The endpoint that was granted is not there any more, or leaves. */
static void not_there(struct call *c)
{
	c->usage.unreachable = is_leaving(c, 0);
	if (++c->route.tries < TRIES_MAX)
		ask_again(c);
	else
		entry_call_refuse(c, DL_REASON_NO_ENDPOINT, DL_STEP_PLACE,
				  c->e->node.self, RETRY_SOON_MS);
}

/* Begin an attempt at the endpoint that was granted. */
void entry_relay_start(struct call *c)
{
	const struct dl_route_conf *route;

	if (!entry_route_allow(c, &route))
		return;
	if (!entry_route_leads(c, route)) {
		entry_call_refuse(c, DL_REASON_NO_ENDPOINT, DL_STEP_PLACE,
				  c->e->node.self, RETRY_SOON_MS);
		return;
	}
	if (!is_there(c, 0)) {
		not_there(c);
		return;
	}
	if (entry_ticket_needed(c))
		entry_ticket_reserve(c);
	else
		entry_relay_send(c);
}

/* All that the attempt needs is there: send it. */
void entry_relay_send(struct call *c)
{
	uint64_t to = DL_VM_NONE;

	dl_vm_parse(dl_name_str(&c->grant.endpoint[0]), &to);
	c->attempt_at = entry_now(c->e);
	c->status = 0;
	c->route.head = (struct relay_head){ .length = SIZE_MAX };
	c->route.instance = endpoint_of(c, 0)->instance;
	c->start = entry_endpoint_start(c->e, dl_name_str(&c->service),
					dl_name_str(&c->grant.endpoint[0]));
	if (!c->text)
		c->text = g_string_new(NULL);
	g_string_truncate(c->text, 0);
	send_to(c, to);
}

/*
 * The connection stands.  What was known of the endpoint when the attempt began
 * may have changed while it was made.
 */
static bool on_ready(void *arg)
{
	struct call *c = arg;

	c->held_back = !is_there(c, 0) || entry_backoff_holds(c);
	return !c->held_back;
}

/* The attempt was given up before it was sent. */
static void go_elsewhere(struct call *c)
{
	c->held_back = false;
	if (!is_there(c, 0))
		not_there(c);
	else if (entry_backoff_holds(c))
		entry_backoff_give_back(c);
	else
		entry_relay_send(c);
}

/* Some engine of the group has not the memory: ask for another group. */
void entry_relay_no_memory(struct call *c)
{
	entry_ticket_note_refused(c);
	if (++c->route.tries < TRIES_MAX) {
		ask_anew(c);
		return;
	}
	entry_call_refuse(c, DL_REASON_QUEUE_FULL, DL_STEP_PLACE,
			  c->e->node.self, NO_MEMORY_RETRY_MS);
}

static void keep_headers(struct call *c, const struct dl_httpc_head *head,
			 bool events)
{
	call_headers_begin(c);
	for (size_t i = 0; i < head->headers_count; i++) {
		const struct dl_header *h = &head->headers[i];

		if (platform_dialect.passes(h->name))
			call_headers_keep(c, h);
	}
	c->length = events ? SIZE_MAX : c->route.head.length;
}

/* Whether an answer carries the id that this caller sent, or none. */
static bool is_ours(const struct call *c, struct dl_str id)
{
	return id.n == 0 || dl_name_eq(&c->route.attempt_id, id);
}

/*
 * Whether an answer is of the start that was named to it; another one at its
 * address answers 421, and names no other endpoint that is at fault.
 */
static bool is_of_start(const struct call *c, uint16_t status,
			struct dl_str at_fault)
{
	return status != STATUS_MISDIRECTED ||
	       (at_fault.n && !dl_name_eq(&c->grant.endpoint[0], at_fault));
}

static void on_head(void *arg, const struct dl_httpc_head *head)
{
	struct call *c = arg;
	struct dl_answer_head said;

	entry_call_span(c, "connect", c->attempt_at, c->grant.endpoint[0].s);
	platform_dialect.answer(head->headers, head->headers_count, &said);
	c->status = head->status;
	c->route.head.not_run = said.not_run ||
				head->status == STATUS_MISDIRECTED;
	c->route.head.foreign = !is_ours(c, said.attempt_id);
	if (!c->route.head.foreign)
		entry_limit_named(c, said.limit);
	c->route.head.length = said.length;
	c->route.head.leaving = said.leaving;
	if (said.leaving && is_of_start(c, head->status, said.at_fault))
		entry_announce_leaves(c->e, dl_name_str(&c->grant.endpoint[0]),
				      dl_name_str(&c->route.instance),
				      c->dispatcher);
	c->route.head.retry_after_ms = said.retry_after_ms;
	c->route.head.turned_away =
		entry_backoff_named(c, &c->grant.endpoint[0], c->start,
				    head->status, said.retry_after_ms);
	dl_name_set(&c->route.head.at_fault, said.at_fault);
	c->route.head.events = c->stream && head->status == 200;
	if (!c->answering)
		keep_headers(c, head, c->route.head.events);
}

/* The id of an event, 0 where it has none. */
static uint64_t event_id(struct dl_str event)
{
	const char *at = event.s, *end = event.s + event.n;
	uint64_t id = 0;

	while (at < end) {
		const char *line = memchr(at, '\n', (size_t)(end - at));
		size_t n = (size_t)((line ? line : end) - at);

		if (n > 3 && memcmp(at, "id:", 3) == 0) {
			struct dl_str digits = { at + 3, n - 3 };

			while (digits.n && digits.s[0] == ' ') {
				digits.s++;
				digits.n--;
			}
			if (digits.n && digits.s[digits.n - 1] == '\r')
				digits.n--;
			if (dl_str_to_u64(digits, &id))
				return id;
		}
		at += n + 1;
	}
	return 0;
}

static void begin_answer(struct call *c)
{
	struct dl_header headers[DL_DIALECT_HEADERS_MAX];
	size_t n = call_headers_fill(c, headers, DL_DIALECT_HEADERS_MAX);

	c->answering = true;
	dl_httpd_begin(c->http, c->status, headers, n, c->length);
}

/* The longest pause that the caller saw between two events. */
static void note_pause(struct call *c)
{
	int64_t now = entry_now(c->e);

	if (c->route.event_at && now - c->route.event_at > c->route.pause_ms)
		c->route.pause_ms = (uint32_t)(now - c->route.event_at);
	c->route.event_at = now;
}

/* Pass one whole event on; those that the caller has had are dropped. */
static bool pass_event(struct call *c, struct dl_str event)
{
	uint64_t id = event_id(event);

	if (id && (c->route.resumes || c->relayed) &&
	    id <= c->route.after_event)
		return true;
	if (!c->first_byte_at) {
		c->first_byte_at = entry_now(c->e);
		entry_call_span(c, "first_event", c->attempt_at,
				c->grant.endpoint[0].s);
		entry_grant_first(c);
	}
	if (!c->answering)
		begin_answer(c);
	if (id)
		c->route.after_event = id;
	note_pause(c);
	c->relayed++;
	return dl_httpd_send(c->http, event);
}

/* Pass on what is whole of the bytes that have come. */
static bool pass_events(struct call *c)
{
	size_t used = 0;
	bool go_on = true;

	while (used < c->text->len) {
		const char *from = c->text->str + used;
		const char *end = memmem(from, c->text->len - used, "\n\n", 2);
		struct dl_str event;

		if (!end)
			break;
		event = (struct dl_str){ from, (size_t)(end - from) + 2 };
		used += event.n;
		go_on = pass_event(c, event);
	}
	g_string_erase(c->text, 0, (gssize)used);
	return go_on;
}

static bool on_body(void *arg, struct dl_str piece)
{
	struct call *c = arg;

	if (c->route.head.foreign || c->route.head.too_long)
		return true;
	if (c->answering && !c->route.head.events)
		return dl_httpd_send(c->http, piece);
	g_string_append_len(c->text, piece.s, (gssize)piece.n);
	if (c->route.head.events) {
		c->route.head.too_long = c->text->len > EVENT_MAX;
		return pass_events(c);
	}
	if (c->text->len > HOLD_MAX) {
		begin_answer(c);
		dl_httpd_send(c->http,
			      (struct dl_str){ c->text->str, c->text->len });
		g_string_truncate(c->text, 0);
	}
	return true;
}

/* What came of the attempt, with what the head of the answer said. */
static struct dl_attempt judged(const struct call *c,
				const struct dl_attempt *attempt)
{
	struct dl_attempt a = *attempt;

	if (a.received != DL_RECV_NOTHING &&
	    (c->route.head.foreign || c->route.head.too_long)) {
		a.failure = DL_FAILURE_BAD_RESPONSE;
		a.received = DL_RECV_HEAD;
	} else if (c->route.head.not_run && a.received != DL_RECV_NOTHING) {
		a.received = DL_RECV_NOT_RUN;
	}
	return a;
}

/* The endpoint's answer is whole: the caller gets it, whatever it says. */
static void finish(struct call *c)
{
	struct dl_header headers[DL_DIALECT_HEADERS_MAX];
	struct dl_str rest = { c->text->str, c->text->len };
	size_t n;

	call_settle(c,
		    c->status >= STATUS_ERROR ? DL_OUTCOME_FAILED :
						DL_OUTCOME_DONE,
		    c->status);
	if (c->route.head.events && !c->answering)
		begin_answer(c);
	if (c->answering) {
		if (rest.n)
			dl_httpd_send(c->http, rest);
		dl_httpd_finish(c->http, true);
	} else {
		n = call_headers_fill(c, headers, DL_DIALECT_HEADERS_MAX);
		dl_httpd_reply(c->http, c->status, headers, n, rest);
	}
	call_free(c);
}

/* Whether another endpoint may be tried after an attempt. */
static bool may_go_on(struct call *c, const struct dl_attempt *a)
{
	struct dl_call_state state = {
		.idempotent = c->idempotent,
		.attempts = c->route.tries,
		.bytes_to_caller = c->stream && c->idempotent ? 0 : c->relayed,
		.deadline = c->deadline,
	};

	if (c->route.sent >= c->route.attempts || c->tried >= 3 ||
	    c->route.connects >= CONNECTS_MAX)
		return false;
	return dl_call_next(&state, a, entry_call_budget(c), entry_now(c->e)) ==
	       DL_NEXT_RETRY;
}

static void give_up(struct call *c, enum dl_outcome outcome,
		    const struct dl_err *err)
{
	bool not_run = outcome == DL_OUTCOME_NOT_RUN && !c->may_have_run;

	entry_call_end(c, outcome, not_run ? STATUS_NOT_RUN : STATUS_UNKNOWN,
		       not_run ? "not-run" : "broken", err);
}

/* Whether an endpoint of the group could not be reached, which is known now. */
static bool was_unreached(const struct call *c, const struct dl_attempt *a)
{
	return a->failure == DL_FAILURE_CONNECT || c->usage.at_fault.n;
}

/*
 * Whether an attempt cost its endpoint nothing and taught the dispatcher not to
 * offer that one again: its caller is not the worse for it either, while there
 * are others.
 */
static bool is_free(const struct call *c, const struct dl_attempt *a)
{
	return was_unreached(c, a) || c->route.head.turned_away;
}

/*
 * One that ran nothing is none of the route's attempts: a stream that broke and
 * was refused by the next endpoint, which was full, was cut there.
 */
static void count_attempt(struct call *c, const struct dl_attempt *a,
			  enum dl_outcome outcome)
{
	if (is_free(c, a))
		c->route.connects++;
	else
		c->route.tries++;
	c->route.sent += outcome != DL_OUTCOME_NOT_RUN;
	c->may_have_run |= outcome != DL_OUTCOME_NOT_RUN;
}

static void on_end(void *arg, const struct dl_attempt *attempt,
		   const struct dl_err *err)
{
	struct call *c = arg;
	struct dl_attempt a = judged(c, attempt);
	enum dl_outcome outcome = dl_call_outcome(&a);
	bool whole;

	c->attempt = NULL;
	if (c->held_back) {
		go_elsewhere(c);
		return;
	}
	entry_quarantine_attempt(c, &a, err);
	/* A stream that goes on elsewhere got an error in place of events. */
	whole = a.received == DL_RECV_COMPLETE &&
		a.failure == DL_FAILURE_NONE &&
		!(c->relayed && !c->route.head.events);
	call_fill_usage(c, &a, c->prompt_tokens, c->output_tokens,
			c->status >= STATUS_ERROR || !whole);
	blame(c);
	count_attempt(c, &a, outcome);
	if (whole && (c->status < STATUS_ERROR || !may_go_on(c, &a))) {
		finish(c);
		return;
	}
	dl_msg(DL_MSG_ATTEMPT_BROKE,
	       "request=%s endpoint=%s instance=%s sent=%d received=%d broke=%d "
	       "status=%u retry_after_ms=%u leaving=%d outcome=%s events=%lu "
	       "at_fault=%s step=%s why=\"%s\" content=%016lx",
	       c->id_text, c->grant.endpoint[0].s, c->route.instance.s, a.sent,
	       a.received, a.failure, c->status, c->route.head.retry_after_ms,
	       c->route.head.leaving, dl_outcome_name(outcome),
	       (unsigned long)c->relayed, c->route.head.at_fault.s,
	       dl_step_name(err->step), err->text, (unsigned long)c->content);
	if (!whole && !may_go_on(c, &a)) {
		give_up(c, outcome, err);
		return;
	}
	if (c->relayed)
		c->route.resumes = true;
	dl_count(DL_METRIC_retries_total, 1);
	if (is_free(c, &a))
		ask_anew(c);
	else
		ask_again(c);
}
