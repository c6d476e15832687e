/*
 * One attempt of an API request at an endpoint: builds and sends the request,
 * reads the response, and retries or resumes after a failure.
 */
#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "base/metric.h"
#include "entry/entry_call.h"
#include "protocol/api.h"

#define OWN_HEADERS_MAX 6 /* besides those of the caller or the endpoint */
/* A response up to this size is held until it is complete, so that the attempt
 * can still be retried; a larger one is forwarded as it arrives. */
#define HELD_BODY_MAX (1u << 20)
/* The text of a completion that is not streamed may have this size. */
#define HELD_TEXT_MAX (8u << 20)
/* The first token may take this multiple of its prediction beyond the gap. */
#define FIRST_TOKEN_FACTOR 3
/* Reserved of the deadline for the transfer of the endpoint's last bytes. */
#define HOP_MARGIN_MS 20
#define MS_PER_S      1000
/*
 * For the rest of a response whose result is known: after the last event of a
 * completion, or the head of an error. It may come without end.
 */
#define LAST_BYTES_MS	  500
#define STATUS_OK	  200
#define STATUS_NO_SUCCESS 400

static void on_head(void *arg, const struct dl_httpc_head *head);
static bool on_model_body(void *arg, struct dl_str piece);
static bool on_plain_body(void *arg, struct dl_str piece);
static void on_end(void *arg, const struct dl_attempt *attempt,
		   const struct dl_err *err);

static bool on_connected(void *arg);

static const struct dl_httpc_ops ops_table[] = {
	[DL_POOL_MODEL] = { .head = on_head,
			    .body = on_model_body,
			    .end = on_end,
			    .connected = on_connected },
	[DL_POOL_PLAIN] = { .head = on_head,
			    .body = on_plain_body,
			    .end = on_end,
			    .connected = on_connected },
};

/* Host counts as hop-by-hop: the endpoint's replaces the caller's. */
static bool is_hop_header(struct dl_str name)
{
	return dl_header_is_hop_by_hop(name) || dl_header_is(name, "host");
}

/* Fills in the headers that every endpoint gets; returns how many. */
static size_t fill_own_headers(struct call *c, struct dl_header *out,
			       char *numbers, size_t n)
{
	int64_t left = c->deadline - entry_now(c->e) - HOP_MARGIN_MS;
	size_t count = 0;

	snprintf(numbers, n, "%" PRId64, MAX(left, 1));
	out[count++] = (struct dl_header){ DL_STR("Daisyledge-Request"),
					   dl_str_of(c->id_text) };
	out[count++] = (struct dl_header){ DL_STR("Daisyledge-Deadline-Ms"),
					   dl_str_of(numbers) };
	if (c->workspace.n)
		out[count++] = (struct dl_header){
			DL_STR("Daisyledge-Workspace"),
			dl_name_str(&c->workspace),
		};
	return count;
}

static bool is_own_header(struct dl_str name)
{
	return name.n > 11 &&
	       g_ascii_strncasecmp(name.s, "daisyledge-", 11) == 0;
}

static size_t fill_caller_headers(struct call *c, struct dl_header *out)
{
	const struct dl_header *all;
	size_t n, count = 0;

	all = dl_httpd_headers(c->http, &n);
	for (size_t i = 0; i < n; i++) {
		if (!is_hop_header(all[i].name) && !is_own_header(all[i].name))
			out[count++] = all[i];
	}
	return count;
}

static bool build_model_body(struct call *c)
{
	free(c->body_first);
	c->body_first = dl_completion_body_head(&c->completion, &c->grant);
	return c->body_first != NULL;
}

static struct dl_str plain_path(const struct call *c)
{
	struct dl_str path = dl_httpd_path(c->http);
	size_t skip = strlen("/s/") + c->service.n;

	if (path.n <= skip)
		return DL_STR("/");
	return (struct dl_str){ path.s + skip, path.n - skip };
}

static void send_attempt(struct call *c, uint64_t to)
{
	struct dl_httpc_req req = { .address = to };
	struct dl_header *headers;
	char left[24], offset[24];
	size_t n = 0;

	if (c->kind == DL_POOL_PLAIN)
		dl_httpd_headers(c->http, &n);
	headers = g_new(struct dl_header, OWN_HEADERS_MAX + n);
	req.headers = headers;
	n = fill_own_headers(c, headers, left, sizeof(left));
	req.connect_ms = c->connect_ms;
	req.idle_ms =
		c->gap_ms + c->grant.predicted_ttft_ms * FIRST_TOKEN_FACTOR;
	if (c->kind == DL_POOL_PLAIN) {
		req.method = dl_httpd_method(c->http);
		req.path = plain_path(c);
		req.body = dl_httpd_body(c->http);
		n += fill_caller_headers(c, headers + n);
	} else {
		req.method = DL_STR("POST");
		req.path = DL_STR("/v1/completions");
		req.body_prefix = dl_str_of(c->body_first);
		req.body = dl_completion_body_tail(&c->completion);
		headers[n++] = (struct dl_header){ DL_STR("Content-Type"),
						   DL_STR("application/json") };
	}
	if (c->resume_offset) {
		snprintf(offset, sizeof(offset), "%" PRIu64, c->resume_offset);
		headers[n++] =
			(struct dl_header){ DL_STR("Daisyledge-Resume-Offset"),
					    dl_str_of(offset) };
	}
	req.headers_count = n;
	req.close_delimited = true;
	c->attempt = dl_httpc_start(c->e->httpc, &req, &ops_table[c->kind], c);
	g_free(headers);
}

/* Starts an attempt at the endpoint that was granted. */
void entry_try_start(struct call *c)
{
	struct dl_err err;
	uint64_t to;

	c->attempts++;
	call_attempt_begin(c);
	c->sse_done = false;
	c->sse_bad = false;
	dl_sse_close(&c->sse);
	if (!c->resume_offset)
		call_response_clear(c);
	entry_held_update(c);
	if (!dl_vm_parse(dl_name_str(&c->grant.endpoint[0]), &to) ||
	    (c->kind == DL_POOL_MODEL && !build_model_body(c))) {
		dl_err_set(&err, -ENOMEM, DL_STEP_SEND, NULL,
			   "cannot build the request");
		entry_call_end(c, DL_OUTCOME_NOT_RUN, 503, "internal", &err);
		return;
	}
	c->endpoint_instance_id =
		entry_endpoint_instance_id(c->e, dl_name_str(&c->service),
					   dl_name_str(&c->grant.endpoint[0]));
	if (c->attempts > 1)
		dl_count(DL_METRIC_retries_total, 1);
	send_attempt(c, to);
}

/*
 * Cancels a request at the engine.  Closing the connection is not enough: an
 * engine keeps a broken stream, and its memory, for a while in case it is
 * resumed.
 */
static void cancel_at_engine(struct call *c)
{
	static const struct dl_httpc_ops no_callbacks = { 0 };
	struct dl_httpc_req req = { .method = DL_STR("DELETE") };
	char path[REQUEST_ID_TEXT + 16];

	if (c->routed || c->kind != DL_POOL_MODEL || !c->granted ||
	    !dl_vm_parse(dl_name_str(&c->grant.endpoint[0]), &req.address))
		return;
	snprintf(path, sizeof(path), "/v1/requests/%s", c->id_text);
	req.path = dl_str_of(path);
	req.connect_ms = c->connect_ms;
	req.idle_ms = c->gap_ms;
	req.total_ms = c->connect_ms + c->gap_ms;
	dl_httpc_start(c->e->httpc, &req, &no_callbacks, NULL);
}

/* Cancels the attempt in flight, also at the engine where it was sent. */
void entry_try_cancel(struct call *c)
{
	bool sent;

	if (!c->attempt)
		return;
	sent = dl_httpc_progress(c->attempt).sent != DL_SENT_NOTHING;
	dl_httpc_cancel(c->attempt);
	c->attempt = NULL;
	if (sent)
		cancel_at_engine(c);
}

static void keep_headers(struct call *c, const struct dl_httpc_head *head)
{
	c->response_length = SIZE_MAX;
	call_headers_begin(c);
	for (size_t i = 0; i < head->headers_count; i++) {
		const struct dl_header *h = &head->headers[i];
		uint64_t length;

		if (dl_header_is(h->name, "content-length") &&
		    dl_str_to_u64(h->value, &length))
			c->response_length = (size_t)length;
		if (is_hop_header(h->name) || is_own_header(h->name))
			continue;
		call_headers_keep(c, h);
	}
}

/*
 * The connection is established; returns false to abort the attempt before it
 * is sent, where the endpoint has asked this VM to back off in the meantime, or
 * its failure domain is evacuated.
 */
static bool on_connected(void *arg)
{
	struct call *c = arg;

	entry_call_connected(c);
	c->aborted_unsent = entry_backoff_blocks_grant(c) ||
			    entry_evacuation_blocks_grant(c) ||
			    entry_leaving_blocks_grant(c);
	if (!c->aborted_unsent)
		entry_retry_used(c);
	return !c->aborted_unsent;
}

/* Returns the whole seconds of a Retry-After header in ms; 0: none. */
static uint32_t retry_after_ms(const struct dl_httpc_head *head)
{
	uint64_t seconds;

	for (size_t i = 0; i < head->headers_count; i++) {
		const struct dl_header *h = &head->headers[i];

		if (dl_header_is(h->name, "retry-after") &&
		    dl_str_to_u64(h->value, &seconds))
			return (uint32_t)MIN(seconds, UINT32_MAX / MS_PER_S) *
			       MS_PER_S;
	}
	return 0;
}

static void on_head(void *arg, const struct dl_httpc_head *head)
{
	struct call *c = arg;

	entry_call_span(c, "connect", c->attempt_at, c->grant.endpoint[0].s);
	c->status = head->status;
	c->framing = head->framing;
	entry_backoff_note_response(c, &c->grant.endpoint[0],
				    c->endpoint_instance_id, head->status,
				    retry_after_ms(head));
	if (c->kind == DL_POOL_PLAIN)
		keep_headers(c, head);
	if (!c->response_buf)
		c->response_buf = g_string_new(NULL);
	if (head->status >= STATUS_NO_SUCCESS)
		dl_httpc_end_within(c->attempt, LAST_BYTES_MS);
}

/* Finds the number that follows a key in a chunk, without parsing the JSON. */
static bool find_number(struct dl_str data, const char *key, uint64_t *out)
{
	const char *at = memmem(data.s, data.n, key, strlen(key));
	const char *end = data.s + data.n;
	struct dl_str digits;

	if (!at)
		return false;
	at += strlen(key);
	while (at < end && (*at == ' ' || *at == ':'))
		at++;
	digits = (struct dl_str){ at, 0 };
	while (at < end && *at >= '0' && *at <= '9')
		at++;
	digits.n = (size_t)(at - digits.s);
	return dl_str_to_u64(digits, out);
}

/* Whether a chunk carries the id of another request. */
static bool is_other_request(const struct call *c, struct dl_str data)
{
	const char *id = memmem(data.s, data.n, "\"id\"", 4);
	size_t n = strlen(c->id_text);

	if (!id)
		return false;
	return !memmem(id, data.n - (size_t)(id - data.s), c->id_text, n);
}

/* Sends the head of a streamed response to the caller. */
void entry_try_begin_stream(struct call *c)
{
	struct dl_header headers[] = {
		{ DL_STR("Content-Type"), DL_STR("text/event-stream") },
		{ DL_STR("Cache-Control"), DL_STR("no-cache") },
		{ DL_STR("Daisyledge-Request"), dl_str_of(c->id_text) },
	};

	c->framing_out = dl_httpd_begin(c->http, 200, headers, 3, SIZE_MAX);
}

static bool relay_chunk(struct call *c, struct dl_str data)
{
	if (!dl_httpd_begun(c->http))
		entry_try_begin_stream(c);
	c->relayed++;
	dl_httpd_send(c->http, DL_STR("data: "));
	dl_httpd_send(c->http, data);
	return dl_httpd_send(c->http, DL_STR("\n\n"));
}

static void note_first_byte(struct call *c)
{
	if (c->first_byte_at)
		return;
	c->first_byte_at = entry_now(c->e);
	entry_call_span(c, "first_token", c->attempt_at,
			c->grant.endpoint[0].s);
	dl_httpc_set_idle_timeout(c->attempt, c->gap_ms);
}

/*
 * Checks a chunk's request id and index.  Sets drop for a late or repeated
 * chunk; returns false for a gap or a chunk of another request, which break the
 * stream.
 */
static bool chunk_in_order(struct call *c, struct dl_str data, bool *drop)
{
	uint64_t index;

	*drop = false;
	if (is_other_request(c, data))
		return false;
	if (!find_number(data, "\"index\"", &index))
		return true;
	if (index > c->chunks_received)
		return false;
	*drop = index < c->chunks_received;
	return true;
}

/* Holds a piece of the text of a completion that is not streamed. */
static void hold_text(struct call *c, const json_t *text)
{
	g_string_append_len(c->response_buf, json_string_value(text),
			    (gssize)json_string_length(text));
	if (c->response_buf->len > entry_held_max(c->e, HELD_TEXT_MAX))
		c->sse_bad = true;
}

static bool handle_chunk(struct call *c, struct dl_str data)
{
	struct dl_chunk chunk;
	bool drop, go_on = true;
	json_t *text;

	call_note_event(c);
	if (dl_chunk_parse(data, !c->stream, &chunk, &text)) {
		c->sse_bad = true;
		return true;
	}
	if (chunk.done) {
		c->sse_done = true;
		return true;
	}
	if (chunk.has_text && !chunk.has_usage) {
		if (!chunk_in_order(c, data, &drop))
			c->sse_bad = true;
		else if (!drop) {
			note_first_byte(c);
			c->chunks_received++;
			if (c->stream)
				go_on = relay_chunk(c, data);
			else
				hold_text(c, text);
		}
	}
	if (chunk.has_usage) {
		c->used_prompt = chunk.prompt_tokens;
		c->used_output = chunk.completion_tokens;
		if (c->stream)
			go_on = relay_chunk(c, data);
	}
	json_decref(text);
	return go_on;
}

static bool on_model_body(void *arg, struct dl_str piece)
{
	struct call *c = arg;
	struct dl_sse_event event;
	bool go_on = true;

	if (c->status != STATUS_OK) {
		if (c->response_buf->len + piece.n <=
		    entry_held_max(c->e, HELD_BODY_MAX))
			g_string_append_len(c->response_buf, piece.s,
					    (gssize)piece.n);
		return entry_held_may_read(c);
	}
	c->sse_bad = dl_sse_feed(&c->sse, piece) != 0;
	while (!c->sse_bad && dl_sse_next(&c->sse, &event)) {
		/* Other types of events are not a part of the completion. */
		if (event.data.n && event.type.n == 0)
			go_on = handle_chunk(c, event.data);
	}
	if (dl_sse_unfinished(&c->sse) > entry_held_max(c->e, DL_SSE_EVENT_MAX))
		c->sse_bad = true;
	if (c->sse_bad)
		dl_httpc_give_up(c->attempt, "malformed completion");
	else if (c->sse_done)
		dl_httpc_end_within(c->attempt, LAST_BYTES_MS);
	return entry_held_may_read(c) && go_on;
}

/*
 * Starts to forward a plain service's response that is too large to hold: its
 * head, and the body received so far. Returns false where the caller has to
 * read first.
 */
static bool begin_plain_response(struct call *c)
{
	struct dl_header *headers = g_new(
		struct dl_header, OWN_HEADERS_MAX + call_headers_count(c));
	size_t n = 0;
	bool go_on;

	headers[n++] = (struct dl_header){ DL_STR("Daisyledge-Request"),
					   dl_str_of(c->id_text) };
	n += call_headers_fill(c, headers + n);
	c->framing_out = dl_httpd_begin(c->http, c->status, headers, n,
					c->response_length);
	g_free(headers);
	go_on = dl_httpd_send(c->http, (struct dl_str){ c->response_buf->str,
							c->response_buf->len });
	call_response_clear(c);
	return go_on;
}

static bool on_plain_body(void *arg, struct dl_str piece)
{
	struct call *c = arg;
	bool go_on = true;

	if (!c->first_byte_at)
		note_first_byte(c);
	c->chunks_received += piece.n;
	if (dl_httpd_begun(c->http)) {
		go_on = dl_httpd_send(c->http, piece);
	} else {
		g_string_append_len(c->response_buf, piece.s, (gssize)piece.n);
		if (c->response_buf->len > entry_held_max(c->e, HELD_BODY_MAX))
			go_on = begin_plain_response(c);
	}
	return entry_held_may_read(c) && go_on;
}

/* Starts over at another endpoint; nothing has been sent to the caller. */
static void retry(struct call *c)
{
	call_note_tried(c);
	if (c->usage.ran)
		cancel_at_engine(c);
	entry_grant_release(c);
	c->chunks_received = 0;
	c->resume_offset = 0;
	c->first_byte_at = 0;
	entry_grant_ask(c);
}

static void resume(struct call *c)
{
	c->resume_offset = c->chunks_received;
	entry_try_start(c);
}

/*
 * Returns the result of an attempt.  The last event of a completion marks its
 * end, however the connection ended, and without it the completion was broken
 * off; a bad one is garbled.
 */
static struct dl_attempt classify_attempt(const struct call *c,
					  const struct dl_attempt *attempt)
{
	struct dl_attempt a = *attempt;

	if (c->kind != DL_POOL_MODEL || a.status != STATUS_OK ||
	    a.received == DL_RECV_NOT_RUN)
		return a;
	if (c->sse_bad) {
		a.failure = DL_FAILURE_BAD_RESPONSE;
		a.received = DL_RECV_HEAD;
	} else if (c->sse_done) {
		a.failure = DL_FAILURE_NONE;
		a.received = DL_RECV_COMPLETE;
	} else if (a.failure == DL_FAILURE_NONE) {
		a.failure = DL_FAILURE_RESET;
		a.received = DL_RECV_HEAD;
	}
	return a;
}

static const char *failure_name(enum dl_failure broke)
{
	static const char *const names[DL_FAILURE_COUNT] = {
		[DL_FAILURE_NONE] = "endpoint-error",
		[DL_FAILURE_CONNECT] = "connect",
		[DL_FAILURE_RESET] = "reset",
		[DL_FAILURE_IDLE_TIMEOUT] = "silent",
		[DL_FAILURE_DEADLINE] = "deadline",
		[DL_FAILURE_CALLER_GONE] = "caller-left",
		[DL_FAILURE_BAD_RESPONSE] = "garbled",
		[DL_FAILURE_NO_PATH] = "no-path",
	};

	return names[broke];
}

static uint16_t error_status(const struct call *c, enum dl_outcome outcome)
{
	if (outcome == DL_OUTCOME_NOT_RUN)
		return 503;
	return c->status >= 400 ? c->status : 502;
}

/*
 * Returns the outcome of an attempt.  Only status 200 brings a completion; with
 * another one the engine has rejected it, however complete its response is.
 */
static enum dl_outcome outcome_of(const struct call *c,
				  const struct dl_attempt *a)
{
	enum dl_outcome outcome = dl_call_outcome(a);

	if (c->kind == DL_POOL_MODEL && outcome == DL_OUTCOME_DONE &&
	    a->status != STATUS_OK)
		return DL_OUTCOME_FAILED;
	return outcome;
}

static void go_on(struct call *c, enum dl_next next)
{
	if (next == DL_NEXT_RESUME)
		resume(c);
	else
		retry(c);
}

static void end_failed(struct call *c, const struct dl_attempt *a,
		       enum dl_outcome outcome, const struct dl_err *err)
{
	entry_call_end(c, outcome, error_status(c, outcome),
		       failure_name(a->failure), err);
}

/* Answers a request whose repeat the retry budget does not cover. */
static void answer_denied(struct call *c, const struct dl_attempt *a,
			  enum dl_outcome outcome, const struct dl_err *err)
{
	c->reason = DL_REASON_RETRY_BUDGET;
	end_failed(c, a, outcome, err);
}

static void on_end(void *arg, const struct dl_attempt *attempt,
		   const struct dl_err *err)
{
	struct call *c = arg;
	struct dl_attempt a = classify_attempt(c, attempt);
	enum dl_outcome outcome = outcome_of(c, &a);
	struct dl_call_state state = {
		.idempotent = c->idempotent,
		.resumable = c->kind == DL_POOL_MODEL &&
			     c->chunks_received > 0 &&
			     a.failure != DL_FAILURE_BAD_RESPONSE &&
			     !entry_backoff_blocks_grant(c),
		.attempts = c->attempts,
		.bytes_to_caller = dl_httpd_begun(c->http),
		.deadline = c->deadline,
		.expected_ms = c->grant.predicted_ttft_ms,
	};
	enum dl_next next;

	if (c->aborted_unsent && !c->chunks_received) {
		c->attempt = NULL;
		if (entry_leaving_blocks_grant(c))
			entry_leaving_return_grant(c);
		else
			entry_backoff_return_grant(c);
		return;
	}
	call_note_ending(c, attempt,
			 c->kind == DL_POOL_MODEL && c->status == STATUS_OK,
			 dl_sse_unfinished(&c->sse));
	c->attempt = NULL;
	entry_quarantine_attempt_ended(c, &a, err);
	c->may_have_run |= outcome != DL_OUTCOME_NOT_RUN;
	/* A request that it rejects is no failure of the engine. */
	call_fill_usage(c, &a, c->used_prompt, c->used_output,
			dl_call_outcome(&a) != DL_OUTCOME_DONE);
	c->usage.silent = err->code == -ETIMEDOUT;
	c->usage.unjudged = outcome != DL_OUTCOME_DONE &&
			    entry_check_attempt_broke(c, &a);
	if (c->usage.unjudged)
		c->usage.failed = false;
	if (outcome == DL_OUTCOME_DONE ||
	    (c->kind == DL_POOL_PLAIN && a.received == DL_RECV_COMPLETE)) {
		entry_call_complete(c);
		return;
	}
	entry_call_span(c, failure_name(a.failure), c->attempt_at,
			c->grant.endpoint[0].s);
	next = dl_call_next(&state, &a, entry_now(c->e));
	if (next == DL_NEXT_ANSWER) {
		end_failed(c, &a, outcome, err);
		return;
	}
	switch (entry_retry_after(c, next, &a, outcome, err, false)) {
	case CALL_RETRY_ALLOWED:
		go_on(c, next);
		return;
	case CALL_RETRY_DENIED:
		answer_denied(c, &a, outcome, err);
		return;
	default:
		return;
	}
}

/* Continues after the budget's decision on an attempt that has ended. */
void entry_try_retry_decided(struct call *c, bool allowed)
{
	struct call_retry *r = &c->retry;

	if (allowed)
		go_on(c, r->next);
	else
		answer_denied(c, &r->attempt, r->outcome, &r->err);
}
