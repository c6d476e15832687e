/* The life of one request, from its arrival to its answer. */
#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "base/metric.h"
#include "base/msg.h"
#include "main/entry.h"
#include "protocol/api.h"

/* What a token of a prompt takes until the endpoint has told otherwise. */
#define BYTES_PER_TOKEN_MILLI 4000
#define RATIO_MIN_MILLI	      250
#define RATIO_MAX_MILLI	      16000
/* Few workspaces are learned about; the rest use the default. */
#define RATIOS_MAX 32768
/* Retries that may come at once before the share of first tries bounds them. */
#define RETRY_BURST 10
/* Up to here, a millisecond or so, parsing on the loop is cheaper. */
#define READ_INLINE_MAX 32768
/* Until its own deadline is read: no parse takes longer. */
#define READ_DEADLINE_MS 10000
#define RETRY_AFTER_MS	 1000
#define CLAIM_MS	 2000
/* How long an answer waits for the record of its outcome, and how long the
 * record itself is tried: a new leader is found within that. */
#define RECORD_WAIT_MS	   1000
#define RECORD_MS	   30000
#define CLAIM_EXPIRES_S	   86400
#define OUTCOME_KEPT_MAX   16384
#define MIN_DEADLINE_MS	   1
#define MAX_DEADLINE_MS	   86400000
#define PLAIN_PATH_PREFIX  "/s/"
#define STATUS_LATE	   504
#define STATUS_CANNOT	   503
#define STATUS_SLOW_DOWN   429
#define STATUS_TOO_LONG	   413
#define STATUS_KEY_REUSED  422
#define STATUS_IN_PROGRESS 409

/* A body on its way through the thread pool. */
struct reading {
	uv_work_t work;
	struct call *call;  /* NULL once it is over */
	struct dl_str body; /* a copy: the caller may leave */
	struct dl_completion completion;
	struct dl_err err;
	int rc;
};

static void claim(struct call *c);

static struct dl_str copy_str(struct dl_str s)
{
	return (struct dl_str){ g_memdup2(s.s, s.n), s.n };
}

static void free_call(struct call *c)
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
		c->reading->call = NULL;
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

/* Let go of everything but the answer itself. */
static void settle(struct call *c, enum dl_outcome outcome, uint16_t status)
{
	entry_try_cancel(c);
	entry_grant_release(c);
	entry_grant_cancel(c);
	/* An earlier attempt may have run, whatever became of the last one. */
	if (outcome == DL_OUTCOME_NOT_RUN && c->may_have_run)
		outcome = DL_OUTCOME_UNKNOWN;
	c->outcome = outcome;
	c->status = status;
	count_outcome(outcome);
	entry_trace_add(c->e, c, outcome, status);
}

static size_t answer_headers(const struct call *c, struct dl_header *out,
			     const char *retry_after)
{
	size_t n = 0;

	out[n++] = (struct dl_header){
		DL_STR("Daisyledge-Outcome"),
		dl_str_of(dl_outcome_name(c->outcome)),
	};
	out[n++] = (struct dl_header){ DL_STR("Daisyledge-Request"),
				       dl_str_of(c->id_text) };
	if (retry_after)
		out[n++] = (struct dl_header){ DL_STR("Retry-After"),
					       dl_str_of(retry_after) };
	return n;
}

static void end_stream_event(struct call *c, const char *reason)
{
	char event[256];
	int n;

	n = snprintf(event, sizeof(event),
		     "event: daisyledge\ndata: {\"outcome\":\"%s\","
		     "\"request\":\"%s\",\"reason\":\"%s\"}\n\n",
		     dl_outcome_name(c->outcome), c->id_text, reason);
	dl_httpd_send(c->http, (struct dl_str){ event, (size_t)n });
}

/* An error told to the caller, in the way that its answer still allows. */
static void answer_error(struct call *c, const char *reason,
			 const struct dl_err *err, uint32_t retry_ms)
{
	struct dl_header headers[4];
	char seconds[16];
	char *body;
	size_t n, count;

	if (!c->http)
		return;
	if (c->answering) {
		if (c->kind == DL_POOL_MODEL)
			end_stream_event(c, reason);
		dl_httpd_finish(c->http, c->kind == DL_POOL_MODEL);
		return;
	}
	snprintf(seconds, sizeof(seconds), "%u", (retry_ms + 999) / 1000);
	count = answer_headers(c, headers, retry_ms ? seconds : NULL);
	headers[count++] = (struct dl_header){ DL_STR("Content-Type"),
					       DL_STR("application/json") };
	body = dl_error_body(reason, dl_step_name(err->step), err->peer,
			     retry_ms, err->text, &n);
	dl_httpd_reply(c->http, c->status, headers, count,
		       (struct dl_str){ body, n });
	free(body);
}

static void send_unclaim(struct call *c)
{
	struct dl_cstore_cmd cmd = { .op = DL_CSTORE_UNCLAIM };
	struct entry_cmd_done nobody = { NULL, NULL };

	cmd.key = c->key;
	cmd.owner = c->owner;
	entry_cmd_send(c->e, &cmd, CLAIM_MS * 2, nobody);
}

static void send_outcome(struct call *c, struct entry_cmd_done done)
{
	struct dl_cstore_cmd cmd = { .op = DL_CSTORE_OUTCOME };

	cmd.key = c->key;
	cmd.owner = c->owner;
	cmd.status = c->status;
	if (c->final_body && c->final_body->len <= OUTCOME_KEPT_MAX)
		cmd.outcome = (struct dl_str){ c->final_body->str,
					       c->final_body->len };
	c->recording = entry_cmd_send(c->e, &cmd, RECORD_MS, done);
	c->record_by = entry_now(c->e) + RECORD_WAIT_MS;
}

/*
 * A claim whose request did not run is taken back, so that the caller may
 * send it again at once; one whose outcome is unknown stays, so that nobody
 * runs it twice.
 */
static void settle_claim(struct call *c)
{
	struct entry_cmd_done nobody = { NULL, NULL };

	if (!c->claimed)
		return;
	if (c->outcome == DL_OUTCOME_NOT_RUN)
		send_unclaim(c);
	else if (c->outcome == DL_OUTCOME_FAILED)
		send_outcome(c, nobody);
	c->recording = 0;
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
	if (status != STATUS_TOO_LONG && retry_ms == 0)
		retry_ms = RETRY_AFTER_MS;
	dl_err_set(&err, -EAGAIN, step,
		   peer == DL_VM_NONE ? "" : dl_vm_text(peer, text), "%s", "");
	settle(c, DL_OUTCOME_NOT_RUN, status);
	settle_claim(c);
	answer_error(c, dl_reason_name(reason), &err, retry_ms);
	free_call(c);
}

/* End with an error; reason is for programs, err for people. */
void entry_call_end(struct call *c, enum dl_outcome outcome, uint16_t status,
		    const char *reason, const struct dl_err *err)
{
	settle(c, outcome, status);
	settle_claim(c);
	answer_error(c, reason, err,
		     outcome == DL_OUTCOME_NOT_RUN ? RETRY_AFTER_MS : 0);
	free_call(c);
}

static GString *completion_json(struct call *c)
{
	json_t *root = json_object(), *choice = json_object();
	json_t *choices = json_array(), *usage = json_object();
	GString *out;
	char *text;

	json_object_set_new(choice, "index", json_integer(0));
	json_object_set_new(choice, "text",
			    json_stringn(c->text->str, c->text->len));
	json_object_set_new(choice, "finish_reason", json_string("stop"));
	json_array_append_new(choices, choice);
	json_object_set_new(usage, "prompt_tokens",
			    json_integer((json_int_t)c->used_prompt));
	json_object_set_new(usage, "completion_tokens",
			    json_integer((json_int_t)c->used_output));
	json_object_set_new(root, "id", json_string(c->id_text));
	json_object_set_new(root, "object", json_string("text_completion"));
	json_object_set_new(root, "choices", choices);
	json_object_set_new(root, "usage", usage);
	text = json_dumps(root, JSON_COMPACT);
	json_decref(root);
	out = g_string_new(text);
	free(text);
	return out;
}

static size_t plain_headers(const struct call *c, struct dl_header *out,
			    size_t n, size_t max)
{
	for (guint i = 0; c->headers && i + 1 < c->headers->len && n < max;
	     i += 2)
		out[n++] = (struct dl_header){
			dl_str_of(c->headers->pdata[i]),
			dl_str_of(c->headers->pdata[i + 1]),
		};
	return n;
}

static void answer_whole(struct call *c)
{
	struct dl_header headers[64];
	size_t n;

	if (!c->http)
		return;
	if (c->answering) {
		if (c->kind == DL_POOL_MODEL) {
			end_stream_event(c, "");
			dl_httpd_send(c->http, DL_STR("data: [DONE]\n\n"));
		}
		dl_httpd_finish(c->http, true);
		return;
	}
	n = answer_headers(c, headers, NULL);
	if (c->kind == DL_POOL_PLAIN)
		n = plain_headers(c, headers, n, 63);
	else
		headers[n++] = (struct dl_header){ DL_STR("Content-Type"),
						   DL_STR("application/json") };
	dl_httpd_reply(c->http, c->status, headers, n,
		       (struct dl_str){ c->final_body->str,
					c->final_body->len });
}

static void on_recorded(void *arg, const struct dl_cstore_reply *reply)
{
	struct call *c = arg;

	c->recording = 0;
	answer_whole(c);
	free_call(c);
}

/* The record takes its time: the caller does not wait for it. */
static void record_late(struct call *c, int64_t now)
{
	if (now < c->record_by && now < c->deadline)
		return;
	answer_whole(c);
	free_call(c);
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
			c->final_body = completion_json(c);
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
	settle(c, outcome, c->status);
	if (c->claimed) {
		c->state = CALL_RECORDING;
		send_outcome(c, done);
		return;
	}
	answer_whole(c);
	free_call(c);
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
	a.broke = DL_BROKE_CALLER;
	outcome = dl_call_outcome(&a);
	c->usage.ran = a.sent != DL_SENT_NOTHING;
	settle(c, outcome, 499);
	settle_claim(c);
	free_call(c);
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

	dl_count(DL_METRIC_requests_late, 1);
	dl_msg(DL_MSG_ENTRY_LATE, "request=%s state=%d", c->id_text, c->state);
	if (c->state != CALL_RUNNING) {
		entry_call_refuse(c, DL_REASON_DEADLINE, waiting_step(c->state),
				  c->dispatcher, RETRY_AFTER_MS);
		return;
	}
	if (c->attempt)
		a = dl_httpc_progress(c->attempt);
	a.broke = DL_BROKE_DEADLINE;
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
		else if (now >= c->deadline)
			late(c);
	}
}

/* End every request now, each with an honest word; for a second SIGTERM. */
void entry_calls_abort(struct entry *e)
{
	struct dl_err err;

	dl_err_set(&err, -ECANCELED, DL_STEP_BODY, NULL, "this VM stops");
	while (e->calls) {
		struct call *c = e->calls;
		struct dl_attempt a = { 0 };

		if (c->state == CALL_RECORDING) {
			answer_whole(c);
			free_call(c);
			continue;
		}
		if (c->attempt)
			a = dl_httpc_progress(c->attempt);
		a.broke = DL_BROKE_RESET;
		entry_call_end(c, dl_call_outcome(&a), STATUS_CANNOT,
			       "stopping", &err);
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

static struct call *new_call(struct entry *e, struct dl_httpd_req *req)
{
	struct call *c = g_new0(struct call, 1);

	c->holder.gone = on_gone;
	c->holder.drained = on_drained;
	c->e = e;
	c->http = req;
	c->begun = entry_now(e);
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

static void bad(struct call *c, uint16_t status, const char *why)
{
	struct dl_err err;

	dl_count(DL_METRIC_bad_requests, 1);
	dl_err_set(&err, -EINVAL, DL_STEP_CHECK, NULL, "%s", why);
	settle(c, DL_OUTCOME_NOT_RUN, status);
	answer_error(c, "bad-request", &err, 0);
	free_call(c);
}

static bool read_deadline(struct call *c, uint32_t default_ms)
{
	struct dl_str s = dl_httpd_header(c->http, "daisyledge-deadline-ms");
	uint64_t ms = default_ms;

	if (s.n && (!dl_str_to_u64(s, &ms) || ms < MIN_DEADLINE_MS ||
		    ms > MAX_DEADLINE_MS))
		return false;
	c->deadline = c->begun + (int64_t)ms;
	return true;
}

static const struct dl_class_conf *
pick_class(struct call *c, const struct dl_service_conf *service)
{
	const struct dl_conf *conf = c->e->conf;
	struct dl_str named = dl_httpd_header(c->http, "daisyledge-class");
	const struct dl_conf_workspace *ws;

	if (named.n)
		return dl_conf_class(conf, named);
	ws = dl_conf_workspace(conf, dl_name_str(&c->workspace));
	if (ws && ws->default_class < conf->classes_count)
		return &conf->classes[ws->default_class];
	return &conf->classes[service->default_class];
}

/*
 * Whether the caller says that its request may be repeated; otherwise holds
 * where it says nothing.  A misspelt word is a fault, never taken for yes.
 */
static bool read_idempotent(struct call *c, bool otherwise)
{
	struct dl_str s = dl_httpd_header(c->http, "daisyledge-idempotent");

	c->idempotent = otherwise;
	if (s.n == 0)
		return true;
	c->idempotent = dl_str_eq(s, DL_STR("yes"));
	return c->idempotent || dl_str_eq(s, DL_STR("no"));
}

/* Read what both kinds of service share; NULL when fine, else why not. */
static const char *read_common(struct call *c,
			       const struct dl_service_conf *service,
			       bool idempotent)
{
	const struct dl_class_conf *class;

	c->service = service->name;
	c->kind = service->kind;
	c->connect_ms = service->connect_timeout_ms;
	c->gap_ms = service->gap_timeout_ms;
	c->retry_permille = service->retry_budget_permille;
	if (!dl_name_set(&c->workspace,
			 dl_httpd_header(c->http, "daisyledge-workspace")))
		return "Daisyledge-Workspace is too long";
	if (!read_idempotent(c, idempotent))
		return "Daisyledge-Idempotent must be yes or no";
	class = pick_class(c, service);
	if (!class)
		return "Daisyledge-Class names no class";
	c->class_name = class->name;
	c->class = class->class;
	if (!read_deadline(c, class->deadline_ms))
		return "Daisyledge-Deadline-Ms makes no sense";
	return NULL;
}

static void estimate(struct call *c)
{
	const struct dl_completion *completion = &c->completion;
	uint64_t milli = BYTES_PER_TOKEN_MILLI;
	gpointer known = g_hash_table_lookup(c->e->ratios, c->workspace.s);

	if (known)
		milli = GPOINTER_TO_SIZE(known);
	c->prompt_bytes = completion->prompt_bytes;
	c->prompt_tokens = c->prompt_bytes * 1000 / milli + 1;
	c->output_tokens = completion->max_tokens;
	c->prefix = completion->prefix;
	if (c->prefix)
		c->prefix_tokens = (uint32_t)(DL_PREFIX_BYTES * 1000 / milli);
}

/* Whether this VM can hold one more request's body. */
static bool has_room(const struct entry *e)
{
	return e->buffered <= (uint64_t)e->node.settings.buffer_mb << 20;
}

/* Go on once nothing more is to be read: claim the key, or ask at once. */
static void submit(struct call *c)
{
	struct dl_str key = dl_httpd_header(c->http, "idempotency-key");

	dl_retry_budget_first(entry_call_budget(c));
	if (c->e->draining) {
		entry_call_refuse(c, DL_REASON_DRAINING, DL_STEP_ADMIT,
				  c->e->node.self, RETRY_AFTER_MS);
		return;
	}
	if (!has_room(c->e)) {
		entry_call_refuse(c, DL_REASON_BUSY, DL_STEP_ADMIT,
				  c->e->node.self, RETRY_AFTER_MS);
		return;
	}
	if (key.n && !c->idempotent) {
		claim(c);
		return;
	}
	entry_grant_ask(c);
}

static void repeat_outcome(struct call *c, const struct dl_cstore_reply *reply)
{
	c->final_body =
		g_string_new_len(reply->outcome.s, (gssize)reply->outcome.n);
	settle(c, reply->status >= 500 ? DL_OUTCOME_FAILED : DL_OUTCOME_DONE,
	       reply->status);
	answer_whole(c);
	free_call(c);
}

static void refuse_key(struct call *c, uint16_t status, enum dl_outcome outcome,
		       enum dl_reason reason)
{
	struct dl_err err;

	dl_err_set(&err, -EAGAIN, DL_STEP_CLAIM, NULL,
		   "the idempotency key is in use");
	settle(c, outcome, status);
	answer_error(c, dl_reason_name(reason), &err, RETRY_AFTER_MS);
	free_call(c);
}

static void on_claimed(void *arg, const struct dl_cstore_reply *reply)
{
	struct call *c = arg;

	c->claiming = 0;
	entry_call_span(c, "claim", c->begun, NULL);
	if (reply->code == DL_EREUSED) {
		refuse_key(c, STATUS_KEY_REUSED, DL_OUTCOME_NOT_RUN,
			   DL_REASON_IN_PROGRESS);
		return;
	}
	if (reply->code) {
		c->claimed = true; /* it may stand: take it back */
		entry_call_refuse(c, DL_REASON_NO_QUORUM, DL_STEP_CLAIM,
				  c->e->leader, RETRY_AFTER_MS);
		return;
	}
	if (reply->claim == DL_CLAIM_DONE) {
		repeat_outcome(c, reply);
		return;
	}
	if (reply->claim == DL_CLAIM_RUNNING && reply->owner != c->owner) {
		refuse_key(c, STATUS_IN_PROGRESS, DL_OUTCOME_UNKNOWN,
			   DL_REASON_IN_PROGRESS);
		return;
	}
	c->claimed = true;
	entry_grant_ask(c);
}

/* The claim is in the log before the first byte leaves for an endpoint. */
static void claim(struct call *c)
{
	struct dl_str key = dl_httpd_header(c->http, "idempotency-key");
	struct dl_cstore_cmd cmd = { .op = DL_CSTORE_CLAIM };
	struct entry_cmd_done done = { on_claimed, c };
	struct dl_str body = dl_httpd_body(c->http);
	GString *joined = g_string_new(NULL);

	/* Lengths in front: no two different triples join to one key. */
	g_string_printf(joined, "%u:%s%u:%s", c->service.n, c->service.s,
			c->workspace.n, c->workspace.s);
	g_string_append_len(joined, key.s, (gssize)key.n);
	c->key = copy_str((struct dl_str){ joined->str, joined->len });
	g_string_free(joined, TRUE);
	c->state = CALL_CLAIMING;
	cmd.key = c->key;
	cmd.owner = c->owner;
	cmd.body_hash = dl_hash(body, 0);
	cmd.expires_s = CLAIM_EXPIRES_S;
	c->claiming = entry_cmd_send(c->e, &cmd, CLAIM_MS, done);
}

static bool no_conf(struct call *c)
{
	if (c->e->conf)
		return false;
	entry_call_refuse(c, DL_REASON_NO_ENDPOINT, DL_STEP_READ,
			  c->e->node.self, RETRY_AFTER_MS);
	return true;
}

/* The request is read, or cannot be: go on with it. */
static void on_read(struct call *c, int rc, const struct dl_err *err)
{
	const struct dl_service_conf *service;
	const char *fault;

	if (rc) {
		bad(c, 400, err->text);
		return;
	}
	service = dl_conf_service_of_model(c->e->conf,
					   dl_name_str(&c->completion.model));
	if (!service) {
		bad(c, 404, "no service has this model");
		return;
	}
	c->stream = c->completion.stream;
	fault = read_common(c, service, true);
	if (fault) {
		bad(c, 400, fault);
		return;
	}
	estimate(c);
	submit(c);
}

static void read_beside(uv_work_t *work)
{
	struct reading *r = work->data;

	r->rc = dl_completion_parse(r->body, &r->completion, &r->err);
}

static void on_read_beside(uv_work_t *work, int status)
{
	struct reading *r = work->data;
	struct call *c = r->call;

	if (c) {
		c->reading = NULL;
		c->completion = r->completion;
		r->completion.rest = NULL;
		entry_call_span(c, "read", c->begun, NULL);
		on_read(c, r->rc, &r->err);
	}
	dl_completion_free(&r->completion);
	g_free((char *)r->body.s);
	g_free(r);
}

/*
 * A prompt of a million tokens takes a tenth of a second to parse; on the loop
 * every other request of this VM would wait for it.  Parsing is a pure
 * function of a copy of the body, so it runs in the loop's thread pool and its
 * result comes back to the loop.
 */
static void start_reading(struct call *c, struct dl_str body)
{
	struct reading *r = g_new0(struct reading, 1);

	r->call = c;
	r->body = copy_str(body);
	r->work.data = r;
	c->reading = r;
	c->state = CALL_READING;
	uv_queue_work(c->e->node.loop, &r->work, read_beside, on_read_beside);
}

/* POST /v1/completions */
void entry_call_completion(struct entry *e, struct dl_httpd_req *req)
{
	struct dl_str body = dl_httpd_body(req);
	struct call *c = new_call(e, req);
	struct dl_err err = { 0 };
	int rc;

	if (no_conf(c))
		return;
	if (!has_room(e)) {
		entry_call_refuse(c, DL_REASON_BUSY, DL_STEP_READ, e->node.self,
				  RETRY_AFTER_MS);
		return;
	}
	c->deadline = c->begun + READ_DEADLINE_MS;
	if (body.n > READ_INLINE_MAX) {
		start_reading(c, body);
		return;
	}
	rc = dl_completion_parse(body, &c->completion, &err);
	on_read(c, rc, &err);
}

/* The service named in "/s/SERVICE/...". */
static struct dl_str service_in_path(struct dl_str path)
{
	size_t skip = strlen(PLAIN_PATH_PREFIX);
	struct dl_str name = { path.s + skip, 0 };

	while (skip + name.n < path.n && name.s[name.n] != '/' &&
	       name.s[name.n] != '?')
		name.n++;
	return name;
}

static bool path_begins(struct dl_str path, const struct dl_name *prefix)
{
	return path.n >= prefix->n && memcmp(path.s, prefix->s, prefix->n) == 0;
}

/* Whether the operators say that a call may be repeated. */
static bool may_repeat(struct call *c, const struct dl_service_conf *service)
{
	struct dl_str method = dl_httpd_method(c->http);
	struct dl_str path = dl_httpd_path(c->http);
	size_t skip = strlen(PLAIN_PATH_PREFIX) + service->name.n;
	bool otherwise = false;

	if (service->get_is_idempotent && (dl_str_eq(method, DL_STR("GET")) ||
					   dl_str_eq(method, DL_STR("HEAD"))))
		otherwise = true;
	path = (struct dl_str){ path.s + skip, path.n - skip };
	for (uint32_t i = 0; i < service->idempotent_paths_count; i++)
		otherwise |= path_begins(path, &service->idempotent_paths[i]);
	return otherwise;
}

/* /s/SERVICE/... */
void entry_call_plain(struct entry *e, struct dl_httpd_req *req)
{
	const struct dl_service_conf *service;
	struct call *c = new_call(e, req);
	const char *fault;

	if (no_conf(c))
		return;
	service = dl_conf_service(e->conf, service_in_path(dl_httpd_path(req)));
	if (!service || service->kind != DL_POOL_PLAIN) {
		bad(c, 404, "no such service");
		return;
	}
	fault = read_common(c, service, may_repeat(c, service));
	if (fault)
		bad(c, 400, fault);
	else
		submit(c);
}
