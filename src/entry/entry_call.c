/* Life cycle of one request, from its arrival to its response. */
#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "base/hist.h"
#include "base/metric.h"
#include "base/msg.h"
#include "entry/entry_call.h"

/* Bounds the table of bytes a token; further workspaces use the default. */
#define RATIOS_MAX	32768
#define RATIO_MIN_MILLI 250
#define RATIO_MAX_MILLI 16000
/* Retries allowed in a burst, before their share of first tries bounds them. */
#define RETRY_AFTER_MS		 1000
#define STATUS_GATEWAY_TIMEOUT	 504
#define STATUS_UNAVAILABLE	 503
#define STATUS_BAD_GATEWAY	 502
#define STATUS_TOO_MANY_REQUESTS 429
#define STATUS_CONTENT_TOO_LARGE 413

static void on_closed(struct http_owner *self);
static void on_drained(struct http_owner *self);

/* Copies a string; the caller frees the bytes with g_free(). */
struct dl_str call_copy_str(struct dl_str s)
{
	return (struct dl_str){ g_memdup2(s.s, s.n), s.n };
}

/*
 * Frees a request that has ended.  No attempt, ask or grant of it may be
 * pending; pending commands and a parse are detached.
 */
void call_free(struct call *c)
{
	struct entry *e = c->e;

	if (c->prev)
		c->prev->next = c->next;
	else
		e->calls = c->next;
	if (c->next)
		c->next->prev = c->prev;
	e->calls_count--;
	e->buffered -= c->buffered;
	entry_held_forget(c);
	dl_gauge(DL_METRIC_streams_open, e->calls_count);
	dl_gauge(DL_METRIC_buffered_bytes, (int64_t)e->buffered);
	if (c->claim_cmd)
		entry_cmd_detach(e, c->claim_cmd);
	if (c->outcome_cmd)
		entry_cmd_detach(e, c->outcome_cmd);
	dl_sse_close(&c->sse);
	if (c->parse_job)
		call_parse_forget(c->parse_job);
	free(c->body_first);
	dl_completion_free(&c->completion);
	g_free((char *)c->key.s);
	g_free(c->shared_parts);
	if (c->response_buf)
		g_string_free(c->response_buf, TRUE);
	if (c->final_body)
		g_string_free(c->final_body, TRUE);
	if (c->response_headers)
		g_ptr_array_free(c->response_headers, TRUE);
	g_free(c);
}

/* Adds a step to the request's trace that began at from and ends now. */
void entry_call_span(struct call *c, const char *name, int64_t from,
		     const char *peer)
{
	struct span *s;

	if (c->spans_count == SPANS_MAX)
		return;
	s = &c->spans[c->spans_count++];
	s->name = name;
	s->from_ms = (uint32_t)(from - c->arrived_at);
	s->to_ms = (uint32_t)(entry_now(c->e) - c->arrived_at);
	g_strlcpy(s->peer, peer ? peer : "", sizeof(s->peer));
}

static void count_outcome(enum dl_outcome outcome)
{
	static const enum dl_metric counters[DL_OUTCOME_COUNT] = {
		[DL_OUTCOME_DONE] = DL_METRIC_requests_done,
		[DL_OUTCOME_FAILED] = DL_METRIC_requests_failed,
		[DL_OUTCOME_NOT_RUN] = DL_METRIC_requests_refused,
		[DL_OUTCOME_UNKNOWN] = DL_METRIC_requests_unknown,
	};

	dl_count(counters[outcome], 1);
}

/* Lists the helpers: engines that process the prompt along with the lead. */
static void format_helpers(const struct call *c, char *text, size_t size)
{
	size_t at = 0;

	text[0] = '\0';
	for (uint8_t i = 1; i < c->grant.endpoints && at < size; i++)
		at += (size_t)snprintf(text + at, size - at, "%s%s",
				       i > 1 ? "," : "",
				       c->grant.endpoint[i].s);
}

/* Time from a request's arrival to a later moment, ms; -1 if that is 0. */
long call_ms(const struct call *c, int64_t at)
{
	return at ? (long)(at - c->arrived_at) : -1;
}

/* How often a request was given an endpoint. */
uint32_t call_tries(const struct call *c)
{
	return c->routed ? c->route.tries : c->attempts;
}

/* Logs one line for each request, with its outcome, size and timing. */
static void log_request_ended(const struct call *c)
{
	char helpers[DL_GROUP_MAX * 24], via[24], shared[SHARED_PARTS_TEXT_MAX];

	format_helpers(c, helpers, sizeof(helpers));
	dl_msg(DL_MSG_REQUEST_ENDED,
	       "request=%s attempt=%.*s service=%s workspace=%s outcome=%s "
	       "status=%u ms=%ld prompt=%lu version=%lu endpoint=%s "
	       "helpers=%s parts=%u away=%u granted_ms=%ld predicted_ms=%u "
	       "first_ms=%ld pause_ms=%u tries=%u sent=%u reason=%s "
	       "retry_ms=%u content=%016lx target_ms=%u gap_ms=%u "
	       "unsure_ms=%u asking_ms=%u misdirected=%u queued_ms=%u via=%s "
	       "conn_responses=%u bytes_before=%zu bytes_after=%zu ids=%s "
	       "framing=%s end=%s to_caller=%s shared=%s part=%lx "
	       "expected_ms=%u stop_ms=%ld",
	       c->id_text, (int)MIN(c->route.attempt_id.n, DL_NAME_MAX),
	       c->route.attempt_id.s, c->service.s, c->workspace.s,
	       dl_outcome_name(c->outcome), c->status,
	       call_ms(c, entry_now(c->e)), (unsigned long)c->prompt_tokens,
	       (unsigned long)c->e->version, c->grant.endpoint[0].s, helpers,
	       c->grant.endpoints, c->grant.away, call_ms(c, c->granted_at),
	       c->grant.predicted_ttft_ms, call_ms(c, c->first_byte_at),
	       c->route.longest_pause_ms, call_tries(c),
	       c->routed ? c->route.sent : c->attempts,
	       dl_reason_name(c->reason), c->retry_ms,
	       (unsigned long)c->content_hash, c->route.target_ms,
	       c->stream ? c->route.gap_ms : 0, c->unsure_ms, c->asking_ms,
	       c->not_dispatcher_replies, c->queued_ms,
	       c->via == DL_VM_NONE ? "" : dl_vm_text(c->via, via),
	       c->conn_info.carried, c->conn_info.bytes_before,
	       c->conn_info.bytes_after,
	       c->route.head.ids ? c->route.head.ids : "",
	       dl_framing_name(c->framing), dl_ending_name(c->ending),
	       dl_framing_name(c->framing_out),
	       call_shared_parts_text(c, shared, sizeof(shared)),
	       (unsigned long)c->blamed_part, c->expected_ms,
	       entry_stop_ms(c->e));
}

/*
 * Ends a request: releases all that it holds except its response, and counts,
 * logs and traces its outcome.
 */
void call_settle(struct call *c, enum dl_outcome outcome, uint16_t status)
{
	entry_try_cancel(c);
	entry_reservation_release(c);
	entry_grant_release(c);
	entry_grant_cancel(c);
	entry_retry_forget(c);
	/* An earlier attempt may have run even if the last one did not. */
	if (outcome == DL_OUTCOME_NOT_RUN && c->may_have_run)
		outcome = DL_OUTCOME_UNKNOWN;
	if (outcome == DL_OUTCOME_DONE || outcome == DL_OUTCOME_FAILED)
		entry_quarantine_request_completed(c);
	c->outcome = outcome;
	c->status = status;
	entry_stop_note_ended(c);
	count_outcome(outcome);
	dl_observe(DL_HIST_request_ms, entry_now(c->e) - c->arrived_at);
	if (c->first_byte_at)
		dl_observe(DL_HIST_first_event_ms,
			   c->first_byte_at - c->arrived_at);
	if (c->relayed > 1)
		dl_observe(DL_HIST_pause_ms, c->route.longest_pause_ms);
	log_request_ended(c);
	entry_trace_add(c->e, c, outcome, status);
}

/* Allocates the state of a request that has arrived, and attaches it to req. */
struct call *call_new(struct entry *e, struct dl_httpd_req *req)
{
	struct call *c = g_new0(struct call, 1);

	c->http_owner.closed = on_closed;
	c->http_owner.drained = on_drained;
	c->e = e;
	c->http = req;
	c->whole_at = entry_now(e);
	c->arrived_at = c->whole_at - dl_httpd_age_ms(req);
	c->id = ++e->next_id;
	snprintf(c->id_text, sizeof(c->id_text), "%012lx-%lx",
		 (unsigned long)e->node.self, (unsigned long)c->id);
	c->claim_owner = dl_hash(dl_str_of(c->id_text), 0);
	c->buffered = dl_httpd_body(req).n;
	c->response_length = SIZE_MAX;
	c->next = e->calls;
	if (c->next)
		c->next->prev = c;
	e->calls = c;
	e->calls_count++;
	e->buffered += c->buffered;
	dl_httpd_set_data(req, c);
	dl_httpd_set_name(req, c->id_text);
	dl_count(DL_METRIC_requests_total, 1);
	dl_gauge(DL_METRIC_streams_open, e->calls_count);
	dl_gauge(DL_METRIC_buffered_bytes, (int64_t)e->buffered);
	return c;
}

/*
 * Refuses a request, which is not sent to an endpoint any more.  retry_ms is
 * the delay after which the caller may retry; 0: the default, or none for an
 * API request that is too long.
 */
void entry_call_refuse(struct call *c, enum dl_reason reason, enum dl_step step,
		       uint64_t peer, uint32_t retry_ms)
{
	struct dl_err err;
	char text[24];
	uint16_t status = STATUS_UNAVAILABLE;

	switch (reason) {
	case DL_REASON_RATE:
	case DL_REASON_CONCURRENCY:
	case DL_REASON_QUEUE_FULL:
	case DL_REASON_SHED:
		status = STATUS_TOO_MANY_REQUESTS;
		break;
	case DL_REASON_TOO_LONG:
		status = STATUS_CONTENT_TOO_LARGE;
		retry_ms = 0;
		break;
	default:
		break;
	}
	if ((c->routed || status != STATUS_CONTENT_TOO_LARGE) && retry_ms == 0)
		retry_ms = RETRY_AFTER_MS;
	c->reason = reason;
	c->retry_ms = retry_ms;
	if (c->may_have_run)
		status = STATUS_BAD_GATEWAY;
	else if (c->routed)
		status = STATUS_UNAVAILABLE;
	dl_err_set(&err, -EAGAIN, step,
		   peer == DL_VM_NONE ? "" : dl_vm_text(peer, text), "%s", "");
	call_settle(c, DL_OUTCOME_NOT_RUN, status);
	call_settle_claim(c);
	call_answer_error(c, dl_reason_name(reason), &err, retry_ms);
	call_free(c);
}

/* Ends a request with an error; reason is machine-readable, err is not. */
void entry_call_end(struct call *c, enum dl_outcome outcome, uint16_t status,
		    const char *reason, const struct dl_err *err)
{
	call_settle(c, outcome, status);
	call_settle_claim(c);
	call_answer_error(c, reason, err,
			  outcome == DL_OUTCOME_NOT_RUN ? RETRY_AFTER_MS : 0);
	call_free(c);
}

static void on_recorded(void *arg, const struct dl_cstore_reply *reply)
{
	struct call *c = arg;

	c->outcome_cmd = 0;
	call_answer_complete(c);
	call_free(c);
}

/* Answers the caller where recording the outcome takes too long. */
static void stop_waiting_for_record(struct call *c, int64_t now)
{
	if (now < c->outcome_deadline && now < c->deadline)
		return;
	call_answer_complete(c);
	call_free(c);
}

/*
 * Updates the average of bytes a token of the workspace from the count of
 * tokens that the endpoint reported.
 */
static void learn_bytes_per_token(struct call *c)
{
	struct entry *e = c->e;
	uint64_t milli;
	gpointer old;
	char *name;

	if (c->used_prompt == 0 || c->workspace.n == 0)
		return;
	milli = c->prompt_bytes * 1000 / c->used_prompt;
	milli = CLAMP(milli, RATIO_MIN_MILLI, RATIO_MAX_MILLI);
	old = g_hash_table_lookup(e->bytes_per_token, c->workspace.s);
	if (old)
		milli = (GPOINTER_TO_SIZE(old) * 7 + milli) / 8;
	else if (g_hash_table_size(e->bytes_per_token) >= RATIOS_MAX)
		return;
	name = g_strdup(c->workspace.s);
	g_hash_table_replace(e->bytes_per_token, name, GSIZE_TO_POINTER(milli));
}

/* Handles the complete response of an endpoint. */
void entry_call_complete(struct call *c)
{
	struct entry_cmd_done done = { on_recorded, c };
	enum dl_outcome outcome = DL_OUTCOME_DONE;

	if (c->kind == DL_POOL_MODEL) {
		learn_bytes_per_token(c);
		if (!c->stream)
			c->final_body = call_completion_json(c);
		else if (!dl_httpd_begun(c->http))
			entry_try_begin_stream(c);
	} else {
		if (c->status >= 500)
			outcome = DL_OUTCOME_FAILED;
		c->final_body = g_string_new_len(c->response_buf->str,
						 (gssize)c->response_buf->len);
	}
	entry_held_update(c);
	entry_call_span(c, "body",
			c->first_byte_at ? c->first_byte_at : c->attempt_at,
			c->grant.endpoint[0].s);
	call_settle(c, outcome, c->status);
	if (c->claimed) {
		c->state = CALL_RECORDING;
		call_record_outcome(c, done);
		return;
	}
	call_answer_complete(c);
	call_free(c);
}

/* The caller has disconnected: cancels the request. */
static void on_closed(struct http_owner *self)
{
	struct call *c = (struct call *)self;
	struct dl_attempt a = { 0 };
	enum dl_outcome outcome;

	c->http = NULL;
	if (c->state == CALL_RECORDING)
		return;
	if (c->attempt)
		a = dl_httpc_progress(c->attempt);
	a.failure = DL_FAILURE_CALLER_GONE;
	entry_quarantine_attempt_ended(c, &a, NULL);
	outcome = dl_call_outcome(&a);
	c->usage.ran = a.sent != DL_SENT_NOTHING;
	call_settle(c, outcome, 499);
	call_settle_claim(c);
	call_free(c);
}

/* The caller has read what it was sent: reads on from the endpoint. */
static void on_drained(struct http_owner *self)
{
	struct call *c = (struct call *)self;

	if (c->attempt && !c->awaits_memory)
		dl_httpc_resume(c->attempt);
}

static enum dl_step step_of_state(enum call_state state)
{
	switch (state) {
	case CALL_PARSING:
		return DL_STEP_READ;
	case CALL_CLAIMING:
		return DL_STEP_CLAIM;
	default:
		return DL_STEP_QUEUE;
	}
}

static void expire(struct call *c)
{
	struct dl_attempt a = { 0 };
	enum dl_outcome outcome;
	struct dl_err err;

	/*
	 * Waits for one more tick: after a stall of this process the response
	 * may have arrived, but has not been read yet.
	 */
	if (c->attempt && !c->deadline_passed) {
		c->deadline_passed = true;
		return;
	}
	dl_count(DL_METRIC_requests_late, 1);
	dl_msg(DL_MSG_REQUEST_TIMED_OUT, "request=%s state=%d", c->id_text,
	       c->state);
	if (c->state != CALL_RUNNING) {
		entry_call_refuse(c, DL_REASON_DEADLINE,
				  step_of_state(c->state), c->dispatcher,
				  RETRY_AFTER_MS);
		return;
	}
	if (c->attempt)
		a = dl_httpc_progress(c->attempt);
	a.failure = DL_FAILURE_DEADLINE;
	entry_quarantine_attempt_ended(c, &a, NULL);
	outcome = dl_call_outcome(&a);
	c->usage.ran = a.sent != DL_SENT_NOTHING;
	dl_err_set(&err, -ETIMEDOUT, DL_STEP_BODY, c->grant.endpoint[0].s,
		   "the deadline has passed");
	entry_call_end(c, outcome, STATUS_GATEWAY_TIMEOUT, "deadline", &err);
}

/* Ends the requests whose deadline has passed. */
void entry_call_tick(struct entry *e, int64_t now)
{
	struct call *c, *next;

	for (c = e->calls; c; c = next) {
		next = c->next;
		if (c->state == CALL_RECORDING)
			stop_waiting_for_record(c, now);
		else if (c->state == CALL_AWAITING_CONFIG && now >= c->deadline)
			entry_route_refuse_no_quorum(c);
		else if (now >= c->deadline)
			expire(c);
	}
}

static void abort_call(struct call *c)
{
	struct dl_attempt a = { 0 };
	uint16_t status = STATUS_UNAVAILABLE;
	enum dl_outcome outcome;
	struct dl_err err;

	if (c->state == CALL_RECORDING) {
		call_answer_complete(c);
		call_free(c);
		return;
	}
	dl_count(DL_METRIC_stop_cut, 1);
	if (c->attempt)
		a = dl_httpc_progress(c->attempt);
	a.failure = DL_FAILURE_RESET;
	dl_err_set(&err, -ECANCELED, DL_STEP_BODY, NULL,
		   "this VM is shutting down");
	outcome = dl_call_outcome(&a);
	if (c->routed && (c->may_have_run || outcome != DL_OUTCOME_NOT_RUN))
		status = STATUS_BAD_GATEWAY;
	entry_call_end(c, outcome, status, "stopping", &err);
}

/*
 * Ends every request now; each caller is told whether its request may have
 * been executed.
 */
void entry_calls_abort(struct entry *e)
{
	struct call *c, *next;

	for (c = e->calls; c; c = next) {
		next = c->next;
		abort_call(c);
	}
}

/* Records how the endpoint is reached. */
void entry_call_connected(struct call *c)
{
	/* Not set yet where a pooled connection is used at once. */
	c->via = c->attempt ? dl_httpc_via(c->attempt) : DL_VM_NONE;
}
