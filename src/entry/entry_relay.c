/*
 * One attempt of a routed request: forwards the caller's request to the
 * endpoint, and the endpoint's response to the caller, unchanged.  Responses
 * are held until they are complete; streams are forwarded event by event, and
 * a broken one is resumed at another endpoint after the last event forwarded.
 */
#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "base/metric.h"
#include "base/msg.h"
#include "entry/entry_call.h"
#include "platform/platform.h"
#include "transport/response_head.h"

#define HELD_BODY_MAX (8u << 20)
#define TRIES_MAX     4 /* grants of a request, usable or not */
/*
 * Failures that cost the endpoint nothing and are reported to the dispatcher:
 * it could not be reached, or asked to back off.  They have a limit of their
 * own because, in a failure domain that was partitioned off with a third of the
 * endpoints, streams were broken off after three of the unreachable ones.
 */
#define FREE_FAILURES_MAX 12
/* Reserved of the deadline for the transfer of the response. */
#define HOP_MARGIN_MS 5
/*
 * An attempt at a silent endpoint ends at this share of the silence after which
 * callers give up, so that another endpoint can continue in time.
 */
#define SILENCE_PERMILLE 600
#define PERMILLE	 1000
/* How often it is tried again to give up a silent endpoint. */
#define SILENCE_RECHECK_MS 200
/* The same, while the dispatcher is asked whether the budget covers it. */
#define ANSWER_RECHECK_MS 20
/*
 * The same limit where memory is reserved on other engines: two thirds of the
 * 9 s after which engines count reserved memory as withheld from others.  An
 * endpoint that hung while its health checks passed held 15 reservations for
 * 9.6 s.
 */
#define RESERVED_SILENCE_MS 6000
/*
 * Bounds on the body of a response that is no success, from its head on. Its
 * bytes may come without end, while the request could go to another endpoint.
 */
#define ERROR_BODY_MS  500
#define ERROR_BODY_MAX (1u << 20)
#define RETRY_SOON_MS  100
/* The memory is held by other streams, which take about two seconds. */
#define NO_MEMORY_RETRY_MS 2000
#define STATUS_NO_SUCCESS  400
#define STATUS_ERROR	   500
#define STATUS_MISDIRECTED 421
#define STATUS_NOT_RUN	   503
#define STATUS_UNKNOWN	   502

static void on_head(void *arg, const struct dl_httpc_head *head);
static bool on_body(void *arg, struct dl_str piece);
static void on_end(void *arg, const struct dl_attempt *attempt,
		   const struct dl_err *err);

static bool on_connected(void *arg);
static uint32_t on_idle(void *arg);

static const struct dl_httpc_ops relay_ops = {
	.head = on_head,
	.body = on_body,
	.end = on_end,
	.connected = on_connected,
	.idle = on_idle,
};

static const struct dl_directory_entry *endpoint_of(const struct call *c,
						    uint8_t i)
{
	return dl_directory_find(c->e->directory,
				 dl_name_str(&c->grant.endpoint[i]));
}

/*
 * Whether the granted endpoint still serves the service, and does not leave or
 * may serve until then.
 */
static bool is_available(const struct call *c, uint8_t i)
{
	const struct dl_directory_entry *d = endpoint_of(c, i);

	return d && entry_leaving_may_send(c, d) &&
	       dl_name_eq(&d->service, dl_name_str(&c->service));
}

/* Whether the granted endpoint is leaving; the dispatcher did not know. */
static bool is_leaving(const struct call *c, uint8_t i)
{
	const struct dl_directory_entry *d = endpoint_of(c, i);

	return d && d->leaving && !c->grant.leaving_ms;
}

/*
 * Reports the helper that the lead of a group could not reach as at fault; the
 * lead itself has not failed.
 */
static void note_at_fault(struct call *c)
{
	const struct dl_name *at_fault = &c->route.head.at_fault;

	if (c->route.head.not_run && at_fault->n &&
	    !dl_name_eq(at_fault, dl_name_str(&c->grant.endpoint[0])))
		c->usage.at_fault = *at_fault;
}

/* Asks for an endpoint other than those already tried. */
static void ask_without_tried(struct call *c)
{
	call_note_tried(c);
	entry_grant_replace(c);
}

static void fill_outbound(struct call *c, struct dl_outbound *out)
{
	int64_t left = c->deadline - entry_now(c->e) - HOP_MARGIN_MS;

	memset(out, 0, sizeof(*out));
	out->workspace = dl_name_str(&c->workspace);
	out->instance = dl_name_str(&endpoint_of(c, 0)->instance);
	out->deadline_ms = (uint32_t)MAX(left, 1);
	out->resumes = c->route.resumes;
	out->after_event = c->route.last_event_id;
	out->priority = (uint8_t)MIN(c->grant.priority / 32, 9);
	for (uint8_t i = 1; i < c->grant.endpoints; i++) {
		struct dl_str name = dl_name_str(&c->grant.endpoint[i]);

		if (!is_available(c, i) && !c->reservations)
			continue;
		out->reservation[out->helpers] = entry_reservation_id(c, name);
		out->helper[out->helpers++] = name;
	}
}

/* Whether the limits on attempts allow another one after so many. */
static bool has_attempts_left(const struct call *c, uint32_t sent)
{
	return sent < c->route.attempts_max && c->tried_count < 3 &&
	       c->route.free_failures < FREE_FAILURES_MAX;
}

/*
 * Whether a request may run at another endpoint after this one.  A response
 * that has begun can only go on there if it is a stream, after the last event
 * that the caller has, by its id; another run's bytes have no place in any
 * other.
 */
static bool may_run_again(const struct call *c)
{
	if (!c->idempotent)
		return false;
	return !dl_httpd_begun(c->http) ||
	       (c->route.events_begun && !c->route.last_event_unnumbered);
}

static uint32_t silence_limit_ms(const struct call *c)
{
	uint32_t limit_ms = (uint32_t)MAX(c->deadline - entry_now(c->e), 1);
	uint32_t expected = c->grant.predicted_ttft_ms * 2;

	/* Ending the last attempt early would gain nothing. */
	if (c->stream && may_run_again(c) &&
	    c->route.sent + 1 < c->route.attempts_max)
		limit_ms = MAX(c->route.caller_silence_ms * SILENCE_PERMILLE /
				       PERMILLE,
			       expected);
	if (c->reservations)
		limit_ms = MIN(limit_ms, MAX(RESERVED_SILENCE_MS, expected));
	return limit_ms;
}

static void send_to(struct call *c, uint64_t to)
{
	const struct dl_header *callers;
	struct dl_header *headers;
	char text[DL_DIALECT_TEXT_MAX];
	struct dl_httpc_req req = { .address = to };
	struct dl_outbound out;
	size_t n;

	fill_outbound(c, &out);
	callers = dl_httpd_headers(c->http, &n);
	headers = g_new(struct dl_header, n + DL_DIALECT_OWN_HEADERS_MAX);
	req.headers = headers;
	req.headers_count =
		platform_dialect.outbound(callers, n, &out, headers, text);
	req.method = dl_httpd_method(c->http);
	req.path = dl_httpd_path(c->http);
	req.host = dl_httpd_authority(c->http);
	req.body = dl_httpd_body(c->http);
	req.connect_ms = c->connect_ms;
	req.idle_ms = silence_limit_ms(c);
	req.close_delimited = true;
	/*
	 * On a connection that was cut off the request could arrive late, and
	 * without an id no response on a used one is proved to be its own.
	 */
	req.reuse = c->idempotent && !c->route.sent && !c->grant.leaving_ms &&
		    c->route.attempt_id.n && !c->route.new_connection;
	c->attempt = dl_httpc_start(c->e->httpc, &req, &relay_ops, c);
	g_free(headers);
}

/*
 * The granted endpoint is gone or leaving: asks for another one. Where one that
 * leaves may serve, the dispatcher decides again, knowing of the departure. It
 * is not told that the endpoint is unreachable: one that has deregistered sends
 * no report that would lift that.
 */
static void retry_unavailable(struct call *c)
{
	bool decide_again = is_leaving(c, 0) &&
			    c->e->node.settings.endpoint_drain_ms;

	if (decide_again)
		entry_announce_departure(c->e, endpoint_of(c, 0),
					 c->dispatcher);
	else
		c->usage.unreachable = is_leaving(c, 0);
	if (++c->route.tries < TRIES_MAX && decide_again)
		entry_grant_replace(c);
	else if (c->route.tries < TRIES_MAX)
		ask_without_tried(c);
	else
		entry_call_refuse(c, DL_REASON_NO_ENDPOINT, DL_STEP_PLACE,
				  c->e->node.self, RETRY_SOON_MS);
}

/* Starts an attempt at the endpoint that was granted. */
void entry_relay_start(struct call *c)
{
	const struct dl_route_conf *route;

	if (!entry_route_authorize(c, &route))
		return;
	if (!entry_route_has_service(c, route)) {
		entry_call_refuse(c, DL_REASON_NO_ENDPOINT, DL_STEP_PLACE,
				  c->e->node.self, RETRY_SOON_MS);
		return;
	}
	if (!is_available(c, 0)) {
		retry_unavailable(c);
		return;
	}
	if (entry_reservation_needed(c))
		entry_reservation_start(c);
	else
		entry_relay_send(c);
}

/*
 * Counts an attempt on a stale connection once the request goes to another
 * endpoint: both may run it.
 */
static void count_stale_attempt(struct call *c)
{
	struct dl_name *stale = &c->route.stale_endpoint;

	if (stale->n && !dl_name_eq(stale, dl_name_str(&c->grant.endpoint[0])))
		c->route.sent++;
	stale->n = 0;
}

/* Sends the request; memory on other engines is reserved where needed. */
void entry_relay_send(struct call *c)
{
	uint64_t to = DL_VM_NONE;

	dl_vm_parse(dl_name_str(&c->grant.endpoint[0]), &to);
	count_stale_attempt(c);
	call_attempt_begin(c);
	c->route.head = (struct response_head){ .content_length = SIZE_MAX };
	c->route.instance = endpoint_of(c, 0)->instance;
	c->route.sent_at_boot = dl_node_boot_ms();
	c->endpoint_instance_id =
		entry_endpoint_instance_id(c->e, dl_name_str(&c->service),
					   dl_name_str(&c->grant.endpoint[0]));
	call_response_clear(c);
	dl_sse_close(&c->sse);
	entry_held_update(c);
	send_to(c, to);
}

/*
 * The connection is established.  Returns false to abort the attempt where the
 * endpoint has become unavailable, has asked to back off, or is to be
 * evacuated.
 */
static bool on_connected(void *arg)
{
	struct call *c = arg;

	entry_call_connected(c);
	c->aborted_unsent =
		!is_available(c, 0) || entry_leaving_is_forwarded(c) ||
		entry_leaving_may_be_late(c) || entry_backoff_blocks_grant(c) ||
		entry_evacuation_blocks_grant(c);
	if (!c->aborted_unsent)
		entry_retry_used(c);
	return !c->aborted_unsent;
}

/* Continues after an attempt that was aborted before it was sent. */
static void retry_unsent(struct call *c)
{
	c->aborted_unsent = false;
	if (!is_available(c, 0) || entry_leaving_is_forwarded(c))
		retry_unavailable(c);
	else if (entry_backoff_blocks_grant(c))
		entry_backoff_return_grant(c);
	else if (entry_evacuation_blocks_grant(c))
		entry_evacuation_return_grant(c);
	else if (entry_leaving_may_be_late(c))
		entry_grant_replace_later(c);
	else
		entry_relay_send(c);
}

/*
 * Whether a stream whose attempt is given up may continue at another endpoint.
 * Unless the retry budget covers that, the response may still come, so it is
 * waited for.  Endpoints that stall cut off all of their streams at once, more
 * than the retry budget covers.
 */
bool entry_relay_may_continue(struct call *c)
{
	return may_run_again(c) && has_attempts_left(c, c->route.sent + 1) &&
	       entry_retry_ask(c, DL_RETRY_SILENT) == CALL_RETRY_ALLOWED;
}

/* The endpoint has been silent for the limit. */
static uint32_t on_idle(void *arg)
{
	struct call *c = arg;
	int64_t left = c->deadline - entry_now(c->e);

	if (left <= 0 || c->reservations || !c->stream || !c->idempotent ||
	    entry_relay_may_continue(c))
		return 0;
	if (c->retry.state == CALL_RETRY_ASKED)
		return (uint32_t)MIN(left, ANSWER_RECHECK_MS);
	return (uint32_t)MIN(left, SILENCE_RECHECK_MS);
}

/* A reservation failed on an engine of the group: asks for another group. */
void entry_relay_no_memory(struct call *c)
{
	entry_reservation_note_refused(c);
	if (++c->route.tries < TRIES_MAX) {
		entry_grant_replace(c);
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

		if (platform_dialect.forwards_header(h->name))
			call_headers_keep(c, h);
	}
	c->response_length = events ? SIZE_MAX : c->route.head.content_length;
}

/* Which attempt ids a response carries. */
enum ids {
	IDS_NONE,
	IDS_OWN,
	IDS_OTHER,
	IDS_SEVERAL,
};

static const char *const ids_names[] = {
	[IDS_NONE] = "none",
	[IDS_OWN] = "own",
	[IDS_OTHER] = "other",
	[IDS_SEVERAL] = "several",
};

static enum ids ids_of(const struct call *c,
		       const struct dl_response_head *said)
{
	if (said->attempt_ids == 0)
		return IDS_NONE;
	if (said->attempt_ids > 1)
		return IDS_SEVERAL;
	return dl_str_eq(c->route.attempt_id, said->attempt_id) ? IDS_OWN :
								  IDS_OTHER;
}

/*
 * Whether a response is proved to be that of this request: by its id, or,
 * without one, by a connection that has carried no other request.
 */
static bool is_proved_own(const struct call *c, enum ids ids)
{
	return ids == IDS_OWN ||
	       (ids == IDS_NONE && !dl_httpc_conn_info(c->attempt).carried);
}

/*
 * Whether a response comes from the endpoint instance that was addressed.
 * Another instance at the same address answers 421, and names no other endpoint
 * as at fault.
 */
static bool is_from_instance(const struct call *c, uint16_t status,
			     struct dl_str at_fault)
{
	return status != STATUS_MISDIRECTED ||
	       (at_fault.n && !dl_name_eq(&c->grant.endpoint[0], at_fault));
}

/* Whether a response says that it is something else than events. */
static bool has_other_type(const struct dl_httpc_head *head)
{
	static const char events[] = "text/event-stream";

	for (size_t i = 0; i < head->headers_count; i++) {
		const struct dl_header *h = &head->headers[i];

		if (dl_header_is(h->name, "content-type"))
			return h->value.n < sizeof(events) - 1 ||
			       g_ascii_strncasecmp(h->value.s, events,
						   sizeof(events) - 1) != 0;
	}
	return false;
}

/*
 * Whether the end of the response has to be that of an event: a stream, unless
 * it is marked as whole by a length or chunks and is of another type, and no
 * events of another run come before it.
 */
static bool ends_with_event(const struct call *c)
{
	return c->route.head.is_event_stream &&
	       (c->framing == DL_FRAMING_CLOSE || !c->route.head.other_type ||
		c->continues);
}

/* A response may be of another request: nothing that it says is used. */
static void reject_response(struct call *c)
{
	c->route.head.wrong_request = true;
	dl_count(DL_METRIC_responses_of_others, 1);
	dl_httpc_reject(c->attempt,
			"response is not proved to be of this request");
}

static void on_head(void *arg, const struct dl_httpc_head *head)
{
	struct call *c = arg;
	struct dl_response_head said;
	enum ids ids;

	entry_call_span(c, "connect", c->attempt_at, c->grant.endpoint[0].s);
	platform_dialect.response(head->headers, head->headers_count, &said);
	ids = ids_of(c, &said);
	c->status = head->status;
	c->framing = head->framing;
	c->route.head.ids = ids_names[ids];
	if (!is_proved_own(c, ids)) {
		reject_response(c);
		return;
	}
	c->route.head.not_run = said.not_run ||
				head->status == STATUS_MISDIRECTED;
	entry_limit_note_response(c, said.limit);
	c->route.head.content_length = said.length;
	c->route.head.leaving = said.leaving;
	if (said.leaving && is_from_instance(c, head->status, said.at_fault))
		entry_announce_endpoint_leaving(
			c->e, dl_name_str(&c->grant.endpoint[0]),
			dl_name_str(&c->route.instance), c->dispatcher);
	else if (!said.leaving && head->status != STATUS_MISDIRECTED)
		dl_directory_note_staying(c->e->directory,
					  dl_name_str(&c->grant.endpoint[0]),
					  dl_name_str(&c->route.instance),
					  c->route.sent_at_boot);
	c->route.head.retry_after_ms = said.retry_after_ms;
	c->route.head.backoff_requested = entry_backoff_note_response(
		c, &c->grant.endpoint[0], c->endpoint_instance_id, head->status,
		said.retry_after_ms);
	dl_name_set(&c->route.head.at_fault, said.at_fault);
	c->route.head.is_event_stream = c->stream && head->status == 200;
	c->route.head.other_type = has_other_type(head);
	if (!c->continues)
		keep_headers(c, head, c->route.head.is_event_stream);
	if (c->route.head.not_run || head->status >= STATUS_NO_SUCCESS)
		dl_httpc_end_within(c->attempt, ERROR_BODY_MS);
}

static void begin_response(struct call *c)
{
	struct dl_header *headers =
		g_new(struct dl_header, call_headers_count(c));
	size_t n = call_headers_fill(c, headers);

	c->route.events_begun = c->route.head.is_event_stream;
	c->framing_out = dl_httpd_begin(c->http, c->status, headers, n,
					c->response_length);
	g_free(headers);
}

/* Updates the longest pause between two events sent to the caller. */
static void note_pause(struct call *c)
{
	int64_t now = entry_now(c->e);

	if (c->route.last_event_at &&
	    now - c->route.last_event_at > c->route.longest_pause_ms)
		c->route.longest_pause_ms =
			(uint32_t)(now - c->route.last_event_at);
	c->route.last_event_at = now;
}

/*
 * Whether an event's place among those that another run has sent is unknown:
 * neither it nor one before it in its run has an id.
 */
static bool is_unplaced(struct call *c, const struct dl_sse_event *event)
{
	c->route.head.placed |= event->has_id;
	return c->continues && !c->route.head.placed && !event->is_comment;
}

/* Forwards a complete event; drops one that the caller already has. */
static bool relay_event(struct call *c, const struct dl_sse_event *event)
{
	if (!event->is_comment)
		call_note_event(c);
	if (event->has_id && (c->route.resumes || dl_httpd_begun(c->http)) &&
	    event->id <= c->route.last_event_id)
		return true;
	if (!c->first_byte_at) {
		c->first_byte_at = entry_now(c->e);
		entry_call_span(c, "first_event", c->attempt_at,
				c->grant.endpoint[0].s);
		entry_grant_first_event(c);
	}
	if (!dl_httpd_begun(c->http))
		begin_response(c);
	if (event->has_id)
		c->route.last_event_id = event->id;
	if (!event->is_comment)
		c->route.last_event_unnumbered = !event->has_id;
	note_pause(c);
	c->relayed++;
	return dl_httpd_send(c->http, event->bytes);
}

/*
 * Gives up a stream whose bytes have made no event for as long as an endpoint
 * may be silent; they put off the idle timeout.
 */
static void check_trickle(struct call *c)
{
	int64_t now = entry_now(c->e);
	int64_t since = MAX(c->attempt_at, c->route.whole_event_at);

	if (now - since < silence_limit_ms(c) ||
	    now - c->route.trickle_checked_at < SILENCE_RECHECK_MS)
		return;
	c->route.trickle_checked_at = now;
	if (!on_idle(c))
		dl_httpc_give_up(c->attempt, "bytes without an event");
}

/* The body is filled up with another response to this request. */
static void note_holds_response(struct call *c)
{
	c->route.head.holds_response = true;
	dl_count(DL_METRIC_responses_joined, 1);
	dl_httpc_reject(c->attempt, "another response begins in its body");
}

/* Gives up a stream whose event is longer than any may be. */
static void give_up_event(struct call *c)
{
	c->route.head.event_too_long = true;
	dl_httpc_give_up(c->attempt, "an event is too long");
}

/* Forwards the events that are whole with the bytes received now. */
static bool relay_events(struct call *c, struct dl_str piece)
{
	struct dl_sse_event event;
	bool go_on = true;

	if (dl_sse_feed(&c->sse, piece)) {
		give_up_event(c);
		return true;
	}
	while (dl_sse_next(&c->sse, &event)) {
		if (dl_holds_response(event.bytes, c->route.attempt_id)) {
			note_holds_response(c);
			return true;
		}
		c->route.whole_event_at = entry_now(c->e);
		if (is_unplaced(c, &event)) {
			c->route.head.unplaced = true;
			dl_httpc_give_up(c->attempt,
					 "the stream goes on without an id");
			return true;
		}
		go_on = relay_event(c, &event);
	}
	if (dl_sse_unfinished(&c->sse) >
	    entry_held_max(c->e, DL_SSE_EVENT_MAX)) {
		give_up_event(c);
		return true;
	}
	check_trickle(c);
	return go_on;
}

/* Whether the response of an attempt is not used any further. */
static bool is_rejected(const struct call *c)
{
	const struct response_head *head = &c->route.head;

	return head->wrong_request || head->event_too_long ||
	       head->holds_response || head->unplaced;
}

/*
 * Holds a piece of a body, which is sent on as it comes once it is too long to
 * be held; returns false where the caller has to read first.
 */
static bool hold_body(struct call *c, struct dl_str piece)
{
	size_t max = entry_held_max(c->e, HELD_BODY_MAX);
	bool go_on;

	g_string_append_len(c->response_buf, piece.s, (gssize)piece.n);
	if (c->status >= STATUS_NO_SUCCESS &&
	    c->response_buf->len > MIN(max, ERROR_BODY_MAX)) {
		dl_httpc_give_up(c->attempt,
				 "the body of an error is too long");
		return true;
	}
	if (c->response_buf->len <= max)
		return true;
	begin_response(c);
	go_on = dl_httpd_send(c->http, (struct dl_str){ c->response_buf->str,
							c->response_buf->len });
	call_response_clear(c);
	return go_on;
}

/* Handles a piece of a body; returns false to stop reading for now. */
static bool take_body(struct call *c, struct dl_str piece)
{
	if (is_rejected(c))
		return true;
	/* The body of an error is no part of a stream that has begun. */
	if (c->continues && !c->route.head.is_event_stream)
		return true;
	if (dl_httpd_begun(c->http) && !c->route.head.is_event_stream)
		return dl_httpd_send(c->http, piece);
	if (c->route.head.is_event_stream)
		return relay_events(c, piece);
	return hold_body(c, piece);
}

/* Returns false where the caller, or memory, has to be waited for. */
static bool on_body(void *arg, struct dl_str piece)
{
	struct call *c = arg;
	bool go_on = take_body(c, piece);

	return entry_held_may_read(c) && go_on;
}

/*
 * Returns the result of the attempt, adjusted by the head of the response and
 * by how that ended; sets err where only the latter shows that it is broken
 * off.
 */
static struct dl_attempt classify_attempt(const struct call *c,
					  const struct dl_attempt *attempt,
					  struct dl_err *err)
{
	struct dl_attempt a = *attempt;

	if (c->route.head.stale_connection ||
	    (a.received != DL_RECV_NOTHING && is_rejected(c))) {
		if (c->route.head.holds_response &&
		    a.failure == DL_FAILURE_NONE)
			dl_err_set(err, -EIO, DL_STEP_BODY,
				   c->grant.endpoint[0].s,
				   "another response begins in its body");
		a.failure = DL_FAILURE_BAD_RESPONSE;
		a.received = DL_RECV_HEAD;
	} else if (c->route.head.not_run && a.received != DL_RECV_NOTHING) {
		a.received = DL_RECV_NOT_RUN;
	} else if (a.received == DL_RECV_COMPLETE &&
		   !dl_ending_is_whole(c->ending)) {
		a.failure = DL_FAILURE_RESET;
		a.received = DL_RECV_HEAD;
		dl_err_set(err, -EIO, DL_STEP_BODY, c->grant.endpoint[0].s,
			   "the stream ended %s",
			   c->ending == DL_ENDING_INSIDE_EVENT ?
				   "inside an event" :
				   "before its first event");
		dl_count(DL_METRIC_streams_cut_short, 1);
	}
	return a;
}

/* Sends the endpoint's complete response to the caller, whatever its status. */
static void finish_response(struct call *c)
{
	struct dl_str rest = { c->response_buf->str, c->response_buf->len };
	struct dl_header *headers;
	size_t n;

	if (c->route.head.is_event_stream)
		rest = dl_sse_rest(&c->sse);
	call_settle(c,
		    c->status >= STATUS_ERROR ? DL_OUTCOME_FAILED :
						DL_OUTCOME_DONE,
		    c->status);
	if (c->route.head.is_event_stream && !dl_httpd_begun(c->http))
		begin_response(c);
	if (dl_httpd_begun(c->http)) {
		if (rest.n)
			dl_httpd_send(c->http, rest);
		dl_httpd_finish(c->http, true);
	} else {
		headers = g_new(struct dl_header, call_headers_count(c));
		n = call_headers_fill(c, headers);
		dl_httpd_reply(c->http, c->status, headers, n, rest);
		g_free(headers);
	}
	call_free(c);
}

/* Returns what to do after an attempt, if the retry budget covers it. */
static enum dl_next next_after(struct call *c, const struct dl_attempt *a)
{
	struct dl_call_state state = {
		.idempotent = c->idempotent,
		.attempts = c->route.tries,
		.bytes_to_caller = dl_httpd_begun(c->http) && !may_run_again(c),
		.deadline = c->deadline,
	};

	if (!has_attempts_left(c, c->route.sent))
		return DL_NEXT_ANSWER;
	return dl_call_next(&state, a, entry_now(c->e));
}

static void end_failed(struct call *c, enum dl_outcome outcome,
		       const struct dl_err *err)
{
	bool not_run = outcome == DL_OUTCOME_NOT_RUN && !c->may_have_run;

	entry_call_end(c, outcome, not_run ? STATUS_NOT_RUN : STATUS_UNKNOWN,
		       not_run ? "not-run" : "broken", err);
}

/* Whether the endpoint, or a helper of its group, could not be reached. */
static bool was_unreachable(const struct call *c, const struct dl_attempt *a)
{
	return a->failure == DL_FAILURE_CONNECT ||
	       a->failure == DL_FAILURE_NO_PATH || c->usage.at_fault.n;
}

/*
 * Whether an attempt cost its endpoint nothing and the dispatcher will not
 * offer that endpoint again, or is not over with it.  Such an attempt uses up
 * no try of the request.
 */
static bool costs_no_attempt(const struct call *c, const struct dl_attempt *a)
{
	return was_unreachable(c, a) || c->route.head.backoff_requested ||
	       c->route.head.stale_connection;
}

/*
 * Counts an attempt.  One that ran nothing is not counted against the route's
 * attempts: otherwise a broken stream was cut off because the next endpoint was
 * full and refused it.
 */
static void count_attempt(struct call *c, const struct dl_attempt *a,
			  enum dl_outcome outcome)
{
	if (costs_no_attempt(c, a))
		c->route.free_failures++;
	else
		c->route.tries++;
	if (c->route.head.stale_connection)
		c->route.stale_endpoint = c->grant.endpoint[0];
	else
		c->route.sent += outcome != DL_OUTCOME_NOT_RUN;
	c->may_have_run |= outcome != DL_OUTCOME_NOT_RUN;
}

/*
 * Sends a request again to the same endpoint, on a new connection.  What came
 * on the kept one says nothing about the endpoint.
 */
static void send_on_new_connection(struct call *c)
{
	c->route.new_connection = true;
	if (c->granted && c->state == CALL_RUNNING && !c->reservations)
		entry_relay_start(c);
	else
		entry_grant_replace(c);
}

/* Starts another attempt after one that has failed. */
static void repeat(struct call *c, const struct dl_attempt *a)
{
	if (dl_httpd_begun(c->http))
		c->route.resumes = true;
	dl_count(DL_METRIC_retries_total, 1);
	if (c->route.head.stale_connection)
		send_on_new_connection(c);
	else if (costs_no_attempt(c, a))
		entry_grant_replace(c);
	else
		ask_without_tried(c);
}

/*
 * Answers a request whose repeat the retry budget does not cover: with the
 * endpoint's response, if that is whole.
 */
static void answer_denied(struct call *c, enum dl_outcome outcome,
			  const struct dl_err *err, bool complete)
{
	c->reason = DL_REASON_RETRY_BUDGET;
	if (complete)
		finish_response(c);
	else
		end_failed(c, outcome, err);
}

/*
 * Notes that a connection which others had used before brought what is no
 * response to this request.
 */
static void note_stale_connection(struct call *c)
{
	struct dl_httpc_conn_info conn = dl_httpc_conn_info(c->attempt);

	c->route.head.stale_connection =
		conn.carried && (c->route.head.wrong_request || conn.no_head);
}

/*
 * Looks for another response in what is held of the body; of a response without
 * a length, and of one that was broken off, the next one's bytes are a part.
 */
static void check_whole_body(struct call *c, const struct dl_attempt *attempt)
{
	struct dl_str held = { c->response_buf->str, c->response_buf->len };

	if (c->route.head.is_event_stream)
		held = dl_sse_rest(&c->sse);
	if (attempt->received != DL_RECV_NOTHING &&
	    dl_holds_response(held, c->route.attempt_id))
		note_holds_response(c);
}

static void on_end(void *arg, const struct dl_attempt *attempt,
		   const struct dl_err *transport_err)
{
	struct call *c = arg;
	struct dl_err err = *transport_err;
	enum dl_outcome outcome;
	enum dl_next next;
	struct dl_attempt a;
	char via[24], shared[SHARED_PARTS_TEXT_MAX];
	bool complete;

	if (c->aborted_unsent) {
		c->attempt = NULL;
		retry_unsent(c);
		return;
	}
	check_whole_body(c, attempt);
	note_stale_connection(c);
	call_note_ending(c, attempt, ends_with_event(c),
			 dl_sse_unfinished(&c->sse));
	c->attempt = NULL;
	a = classify_attempt(c, attempt, &err);
	outcome = dl_call_outcome(&a);
	entry_quarantine_attempt_ended(c, &a, &err);
	/* A resumed stream that gets an error is not complete. */
	complete = a.received == DL_RECV_COMPLETE &&
		   a.failure == DL_FAILURE_NONE &&
		   !(c->continues && !c->route.head.is_event_stream);
	call_fill_usage(c, &a, c->prompt_tokens, c->output_tokens,
			c->status >= STATUS_ERROR || !complete);
	c->usage.silent = err.code == -ETIMEDOUT;
	c->usage.unjudged = !complete && !c->route.head.stale_connection &&
			    entry_check_attempt_broke(c, &a);
	if (c->usage.unjudged || c->route.head.stale_connection)
		c->usage.failed = false;
	note_at_fault(c);
	count_attempt(c, &a, outcome);
	if (complete && c->status < STATUS_ERROR) {
		finish_response(c);
		return;
	}
	next = next_after(c, &a);
	if (complete && next == DL_NEXT_ANSWER) {
		finish_response(c);
		return;
	}
	dl_msg(DL_MSG_ATTEMPT_FAILED,
	       "request=%s endpoint=%s instance=%s sent=%d received=%d broke=%d "
	       "status=%u retry_after_ms=%u leaving=%d outcome=%s events=%lu "
	       "at_fault=%s step=%s why=\"%s\" content=%016lx shared=%s "
	       "via=%s conn_responses=%u bytes_before=%zu bytes_after=%zu "
	       "ids=%s framing=%s end=%s",
	       c->id_text, c->grant.endpoint[0].s, c->route.instance.s, a.sent,
	       a.received, a.failure, c->status, c->route.head.retry_after_ms,
	       c->route.head.leaving, dl_outcome_name(outcome),
	       (unsigned long)c->relayed, c->route.head.at_fault.s,
	       dl_step_name(err.step), err.text, (unsigned long)c->content_hash,
	       call_shared_parts_text(c, shared, sizeof(shared)),
	       c->via == DL_VM_NONE ? "" : dl_vm_text(c->via, via),
	       c->conn_info.carried, c->conn_info.bytes_before,
	       c->conn_info.bytes_after,
	       c->route.head.ids ? c->route.head.ids : "",
	       dl_framing_name(c->framing), dl_ending_name(c->ending));
	if (next == DL_NEXT_ANSWER) {
		end_failed(c, outcome, &err);
		return;
	}
	switch (entry_retry_after(c, next, &a, outcome, &err, complete)) {
	case CALL_RETRY_ALLOWED:
		repeat(c, &a);
		return;
	case CALL_RETRY_DENIED:
		answer_denied(c, outcome, &err, complete);
		return;
	default:
		return;
	}
}

/* Continues after the budget's decision on an attempt that has ended. */
void entry_relay_retry_decided(struct call *c, bool allowed)
{
	struct call_retry *r = &c->retry;

	if (allowed)
		repeat(c, &r->attempt);
	else
		answer_denied(c, r->outcome, &r->err, r->complete);
}
