/* The life of one request, from its arrival to its answer. */
#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "base/hist.h"
#include "base/metric.h"
#include "base/msg.h"
#include "main/entry_call.h"

/* Few workspaces are learned about; the rest use the default. */
#define RATIOS_MAX	32768
#define RATIO_MIN_MILLI 250
#define RATIO_MAX_MILLI 16000
/* Retries that may come at once before the share of first tries bounds them. */
#define RETRY_BURST	 10
#define RETRY_AFTER_MS	 1000
#define STATUS_LATE	 504
#define STATUS_CANNOT	 503
#define STATUS_BROKEN	 502
#define STATUS_SLOW_DOWN 429
#define STATUS_TOO_LONG	 413

static void on_gone(struct http_holder *self);
static void on_drained(struct http_holder *self);

/* A copy of bytes, freed with g_free(). */
struct dl_str call_copy_str(struct dl_str s)
{
	return (struct dl_str){ g_memdup2(s.s, s.n), s.n };
}

/* Free a request that is over; nothing of it is in flight any more. */
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
	dl_gauge(DL_METRIC_streams_open, e->calls_count);
	dl_gauge(DL_METRIC_buffered_bytes, (int64_t)e->buffered);
	if (c->claiming)
		entry_cmd_forget(e, c->claiming);
	if (c->recording)
		entry_cmd_forget(e, c->recording);
	dl_sse_close(&c->sse);
	if (c->reading)
		call_reading_forget(c->reading);
	free(c->body_first);
	dl_completion_free(&c->completion);
	g_free((char *)c->key.s);
	if (c->text)
		g_string_free(c->text, TRUE);
	if (c->final_body)
		g_string_free(c->final_body, TRUE);
	if (c->headers)
		g_ptr_array_free(c->headers, TRUE);
	g_free(c);
}

/* Add a hop to the request's trace; from is when it began. */
void entry_call_span(struct call *c, const char *name, int64_t from,
		     const char *peer)
{
	struct span *s;

	if (c->spans_count == SPANS_MAX)
		return;
	s = &c->spans[c->spans_count++];
	s->name = name;
	s->from_ms = (uint32_t)(from - c->begun);
	s->to_ms = (uint32_t)(entry_now(c->e) - c->begun);
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

/* The engines that read a prompt with the one that answers. */
static void name_helpers(const struct call *c, char *text, size_t size)
{
	size_t at = 0;

	text[0] = '\0';
	for (uint8_t i = 1; i < c->grant.endpoints && at < size; i++)
		at += (size_t)snprintf(text + at, size - at, "%s%s",
				       i > 1 ? "," : "",
				       c->grant.endpoint[i].s);
}

/* One line for each request: what became of it, and of what. */
static void say_ended(const struct call *c)
{
	char helpers[DL_GROUP_MAX * 24];
	int64_t now = entry_now(c->e);

	name_helpers(c, helpers, sizeof(helpers));
	dl_msg(DL_MSG_REQUEST_ENDED,
	       "request=%s attempt=%s service=%s workspace=%s outcome=%s "
	       "status=%u ms=%ld prompt=%lu version=%lu endpoint=%s "
	       "helpers=%s parts=%u away=%u granted_ms=%ld predicted_ms=%u "
	       "first_ms=%ld pause_ms=%u tries=%u sent=%u reason=%s "
	       "retry_ms=%u content=%016lx target_ms=%u gap_ms=%u "
	       "unsure_ms=%u asking_ms=%u queued_ms=%u",
	       c->id_text, c->route.attempt_id.s, c->service.s, c->workspace.s,
	       dl_outcome_name(c->outcome), c->status, (long)(now - c->begun),
	       (unsigned long)c->prompt_tokens, (unsigned long)c->e->version,
	       c->grant.endpoint[0].s, helpers, c->grant.endpoints,
	       c->grant.away,
	       c->granted_at ? (long)(c->granted_at - c->begun) : -1,
	       c->grant.predicted_ttft_ms,
	       c->first_byte_at ? (long)(c->first_byte_at - c->begun) : -1,
	       c->route.pause_ms, c->routed ? c->route.tries : c->attempts,
	       c->routed ? c->route.sent : c->attempts,
	       dl_reason_name(c->reason), c->retry_ms,
	       (unsigned long)c->content, c->route.target_ms,
	       c->stream ? c->route.gap_ms : 0, c->unsure_ms, c->asking_ms,
	       c->queued_ms);
}

/* Let go of everything but the answer itself. */
void call_settle(struct call *c, enum dl_outcome outcome, uint16_t status)
{
	entry_try_cancel(c);
	entry_ticket_release(c);
	entry_grant_release(c);
	entry_grant_cancel(c);
	/* An earlier attempt may have run, whatever became of the last one. */
	if (outcome == DL_OUTCOME_NOT_RUN && c->may_have_run)
		outcome = DL_OUTCOME_UNKNOWN;
	if (outcome == DL_OUTCOME_DONE || outcome == DL_OUTCOME_FAILED)
		entry_quarantine_answered(c);
	c->outcome = outcome;
	c->status = status;
	count_outcome(outcome);
	dl_observe(DL_HIST_request_ms, entry_now(c->e) - c->begun);
	if (c->first_byte_at)
		dl_observe(DL_HIST_first_event_ms, c->first_byte_at - c->begun);
	if (c->relayed > 1)
		dl_observe(DL_HIST_pause_ms, c->route.pause_ms);
	say_ended(c);
	entry_trace_add(c->e, c, outcome, status);
}

/* A request has arrived. */
struct call *call_new(struct entry *e, struct dl_httpd_req *req)
{
	struct call *c = g_new0(struct call, 1);

	c->holder.gone = on_gone;
	c->holder.drained = on_drained;
	c->e = e;
	c->http = req;
	c->begun = entry_now(e) - dl_httpd_age_ms(req);
	c->id = ++e->next_id;
	snprintf(c->id_text, sizeof(c->id_text), "%012lx-%lx",
		 (unsigned long)e->node.self, (unsigned long)c->id);
	c->owner = dl_hash(dl_str_of(c->id_text), 0);
	c->buffered = dl_httpd_body(req).n;
	c->length = SIZE_MAX;
	c->next = e->calls;
	if (c->next)
		c->next->prev = c;
	e->calls = c;
	e->calls_count++;
	e->buffered += c->buffered;
	dl_httpd_set_data(req, c);
	dl_count(DL_METRIC_requests_total, 1);
	dl_gauge(DL_METRIC_streams_open, e->calls_count);
	dl_gauge(DL_METRIC_buffered_bytes, (int64_t)e->buffered);
	return c;
}

/* Refuse: it has not run, and will not. */
void entry_call_refuse(struct call *c, enum dl_reason reason, enum dl_step step,
		       uint64_t peer, uint32_t retry_ms)
{
	struct dl_err err;
	char text[24];
	uint16_t status = STATUS_CANNOT;

	switch (reason) {
	case DL_REASON_RATE:
	case DL_REASON_CONCURRENCY:
	case DL_REASON_QUEUE_FULL:
	case DL_REASON_SHED:
		status = STATUS_SLOW_DOWN;
		break;
	case DL_REASON_TOO_LONG:
		status = STATUS_TOO_LONG;
		retry_ms = 0;
		break;
	default:
		break;
	}
	if ((c->routed || status != STATUS_TOO_LONG) && retry_ms == 0)
		retry_ms = RETRY_AFTER_MS;
	c->reason = reason;
	c->retry_ms = retry_ms;
	if (c->routed)
		status = c->may_have_run ? STATUS_BROKEN : STATUS_CANNOT;
	dl_err_set(&err, -EAGAIN, step,
		   peer == DL_VM_NONE ? "" : dl_vm_text(peer, text), "%s", "");
	call_settle(c, DL_OUTCOME_NOT_RUN, status);
	call_settle_claim(c);
	call_answer_error(c, dl_reason_name(reason), &err, retry_ms);
	call_free(c);
}

/* End with an error; reason is for programs, err for people. */
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

	c->recording = 0;
	call_answer_whole(c);
	call_free(c);
}

/* The record takes its time: the caller does not wait for it. */
static void record_late(struct call *c, int64_t now)
{
	if (now < c->record_by && now < c->deadline)
		return;
	call_answer_whole(c);
	call_free(c);
}

/* What a workspace's text takes a token, as its endpoints count. */
static void learn_ratio(struct call *c)
{
	struct entry *e = c->e;
	uint64_t milli;
	gpointer old;
	char *name;

	if (c->used_prompt == 0 || c->workspace.n == 0)
		return;
	milli = c->prompt_bytes * 1000 / c->used_prompt;
	milli = CLAMP(milli, RATIO_MIN_MILLI, RATIO_MAX_MILLI);
	old = g_hash_table_lookup(e->ratios, c->workspace.s);
	if (old)
		milli = (GPOINTER_TO_SIZE(old) * 7 + milli) / 8;
	else if (g_hash_table_size(e->ratios) >= RATIOS_MAX)
		return;
	name = g_strdup(c->workspace.s);
	g_hash_table_replace(e->ratios, name, GSIZE_TO_POINTER(milli));
}

/* The endpoint has answered whole. */
void entry_call_whole(struct call *c)
{
	struct entry_cmd_done done = { on_recorded, c };
	enum dl_outcome outcome = DL_OUTCOME_DONE;

	if (c->kind == DL_POOL_MODEL) {
		learn_ratio(c);
		if (!c->stream)
			c->final_body = call_completion_json(c);
		else if (!c->answering)
			entry_try_begin_stream(c);
	} else {
		if (c->status >= 500)
			outcome = DL_OUTCOME_FAILED;
		c->final_body =
			g_string_new_len(c->text->str, (gssize)c->text->len);
	}
	entry_call_span(c, "body",
			c->first_byte_at ? c->first_byte_at : c->attempt_at,
			c->grant.endpoint[0].s);
	call_settle(c, outcome, c->status);
	if (c->claimed) {
		c->state = CALL_RECORDING;
		call_record_outcome(c, done);
		return;
	}
	call_answer_whole(c);
	call_free(c);
}

/* The caller has left: nobody reads the answer, so the work stops. */
static void on_gone(struct http_holder *self)
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
	entry_quarantine_attempt(c, &a, NULL);
	outcome = dl_call_outcome(&a);
	c->usage.ran = a.sent != DL_SENT_NOTHING;
	call_settle(c, outcome, 499);
	call_settle_claim(c);
	call_free(c);
}

/* The caller has read what it was sent. */
static void on_drained(struct http_holder *self)
{
	struct call *c = (struct call *)self;

	if (c->attempt)
		dl_httpc_resume(c->attempt);
}

static enum dl_step waiting_step(enum call_state state)
{
	switch (state) {
	case CALL_READING:
		return DL_STEP_READ;
	case CALL_CLAIMING:
		return DL_STEP_CLAIM;
	default:
		return DL_STEP_QUEUE;
	}
}

static void late(struct call *c)
{
	struct dl_attempt a = { 0 };
	enum dl_outcome outcome;
	struct dl_err err;

	/*
	 * What came of the attempt until now is taken in before the next tick:
	 * where this process stood still its answer may be there, unread.
	 */
	if (c->attempt && !c->overdue) {
		c->overdue = true;
		return;
	}
	dl_count(DL_METRIC_requests_late, 1);
	dl_msg(DL_MSG_ENTRY_LATE, "request=%s state=%d", c->id_text, c->state);
	if (c->state != CALL_RUNNING) {
		entry_call_refuse(c, DL_REASON_DEADLINE, waiting_step(c->state),
				  c->dispatcher, RETRY_AFTER_MS);
		return;
	}
	if (c->attempt)
		a = dl_httpc_progress(c->attempt);
	a.failure = DL_FAILURE_DEADLINE;
	entry_quarantine_attempt(c, &a, NULL);
	outcome = dl_call_outcome(&a);
	c->usage.ran = a.sent != DL_SENT_NOTHING;
	dl_err_set(&err, -ETIMEDOUT, DL_STEP_BODY, c->grant.endpoint[0].s,
		   "the deadline has passed");
	entry_call_end(c, outcome, STATUS_LATE, "deadline", &err);
}

/* End what has run out of time. */
void entry_call_tick(struct entry *e, int64_t now)
{
	struct call *c, *next;

	for (c = e->calls; c; c = next) {
		next = c->next;
		if (c->state == CALL_RECORDING)
			record_late(c, now);
		else if (c->state == CALL_UNSURE && now >= c->deadline)
			entry_route_give_up(c);
		else if (now >= c->deadline)
			late(c);
	}
}

static void abort_call(struct call *c)
{
	struct dl_attempt a = { 0 };
	uint16_t status = STATUS_CANNOT;
	enum dl_outcome outcome;
	struct dl_err err;

	if (c->state == CALL_RECORDING) {
		call_answer_whole(c);
		call_free(c);
		return;
	}
	if (c->attempt)
		a = dl_httpc_progress(c->attempt);
	a.failure = DL_FAILURE_RESET;
	dl_err_set(&err, -ECANCELED, DL_STEP_BODY, NULL, "this VM stops");
	outcome = dl_call_outcome(&a);
	if (c->routed && (c->may_have_run || outcome != DL_OUTCOME_NOT_RUN))
		status = STATUS_BROKEN;
	entry_call_end(c, outcome, status, "stopping", &err);
}

/* End every request now, each with an honest word. */
void entry_calls_abort(struct entry *e)
{
	struct call *c, *next;

	for (c = e->calls; c; c = next) {
		next = c->next;
		abort_call(c);
	}
}

/* The retry budget of the call's service on this VM. */
struct dl_retry_budget *entry_call_budget(struct call *c)
{
	struct entry *e = c->e;
	struct dl_retry_budget *b =
		g_hash_table_lookup(e->budgets, c->service.s);

	if (!b) {
		b = g_new0(struct dl_retry_budget, 1);
		dl_retry_budget_init(b, c->retry_permille, RETRY_BURST);
		g_hash_table_insert(e->budgets, g_strdup(c->service.s), b);
	}
	return b;
}
