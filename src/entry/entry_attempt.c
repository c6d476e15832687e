/* Bookkeeping of attempts that API requests and routed requests share. */
#include "entry/entry_call.h"

#include <stdio.h>

#include "platform/platform.h"

/* Links that are cut stay so for seconds; a moment is enough to try the others.
 */
#define NO_PATH_BACKOFF_MS 1000
/* A comma and 16 digits. */
#define PART_TEXT_MAX 17

/*
 * Hashes workspace, method, path and body, to recognise a request that is sent
 * again.  The host is left out, since callers may address different VMs.
 */
uint64_t call_content(const struct call *c)
{
	uint64_t hash = dl_hash(dl_name_str(&c->workspace), 0);

	hash = dl_hash(dl_httpd_method(c->http), hash);
	hash = dl_hash(dl_httpd_path(c->http), hash);
	return dl_hash(dl_httpd_body(c->http), hash);
}

/* Reads which parts of its prompt a request shares with other requests. */
void call_read_shared_parts(struct call *c, const struct dl_header *headers,
			    size_t n)
{
	uint32_t count = platform_dialect.prompt_parts(headers, n, NULL, 0);

	g_free(c->shared_parts);
	c->shared_parts = g_new(uint64_t, count);
	c->shared_parts_count = count;
	platform_dialect.prompt_parts(headers, n, c->shared_parts, count);
}

/*
 * Writes the shared parts to text for a log line, in hexadecimal as callers
 * name them; "..." stands for those that do not fit.
 */
char *call_shared_parts_text(const struct call *c, char *text, size_t size)
{
	size_t at = 0;

	text[0] = '\0';
	for (uint32_t i = 0; i < c->shared_parts_count; i++) {
		const char *comma = i ? "," : "";

		if (size - at < PART_TEXT_MAX + sizeof("...")) {
			snprintf(text + at, size - at, "%s...", comma);
			break;
		}
		at += (size_t)snprintf(text + at, size - at, "%s%lx", comma,
				       (unsigned long)c->shared_parts[i]);
	}
	return text;
}

/* Resets what is known of the response of an attempt that begins now. */
void call_attempt_begin(struct call *c)
{
	c->attempt_at = entry_now(c->e);
	c->continues = dl_httpd_begun(c->http);
	c->endpoint_lost_at = 0;
	c->endpoint_unreachable = false;
	c->via = DL_VM_NONE;
	c->conn_info = (struct dl_httpc_conn_info){ 0 };
	c->status = 0;
	c->attempt_events = 0;
	c->attempt_first_at = 0;
	c->attempt_last_at = 0;
	c->has_probed |= c->probes;
	c->framing = DL_FRAMING_NONE;
	c->ending = DL_ENDING_BROKEN;
	c->awaits_memory = false;
}

/* Empties the buffer of a response, and releases its memory. */
void call_response_clear(struct call *c)
{
	if (c->response_buf)
		g_string_free(c->response_buf, TRUE);
	c->response_buf = g_string_new(NULL);
}

/* Counts an event of the response of the current attempt. */
void call_note_event(struct call *c)
{
	c->attempt_events++;
	c->attempt_last_at = entry_now(c->e);
	if (!c->attempt_first_at)
		c->attempt_first_at = c->attempt_last_at;
}

/*
 * Notes how the response of an attempt ended; unfinished: bytes of an event
 * that did not come to its end.
 */
void call_note_ending(struct call *c, const struct dl_attempt *attempt,
		      bool stream, size_t unfinished)
{
	struct dl_response_seen seen = {
		.framing = c->framing,
		.ended = attempt->failure == DL_FAILURE_NONE,
		.stream = stream,
		.any_event = c->attempt_events > 0,
		.unfinished = unfinished,
	};

	if (c->attempt)
		c->conn_info = dl_httpc_conn_info(c->attempt);
	c->ending = dl_response_ending(&seen);
}

/* Excludes the granted endpoint from further asks of this request. */
void call_note_tried(struct call *c)
{
	if (c->tried_count < G_N_ELEMENTS(c->tried_ids))
		c->tried_ids[c->tried_count++] = c->grant.endpoint[0];
}

/*
 * This VM found no way to the endpoint, and nobody knows whose fault that is:
 * its dispatcher offers the endpoint to other VMs for a while.
 */
static void avoid_endpoint(struct call *c)
{
	c->usage.backoff_endpoint = c->grant.endpoint[0];
	c->usage.backoff_ms = NO_PATH_BACKOFF_MS;
}

/*
 * Fills in what the attempt used, to be reported to the dispatcher; prompt and
 * output are tokens, counted by the endpoint or estimated.
 */
void call_fill_usage(struct call *c, const struct dl_attempt *attempt,
		     uint64_t prompt, uint64_t output, bool failed)
{
	c->usage.ran = attempt->sent != DL_SENT_NOTHING &&
		       attempt->received != DL_RECV_NOT_RUN;
	c->usage.failed = failed;
	c->usage.unreachable =
		c->endpoint_unreachable ||
		(attempt->failure == DL_FAILURE_CONNECT && !c->aborted_unsent);
	if (attempt->failure == DL_FAILURE_NO_PATH)
		avoid_endpoint(c);
	c->usage.prompt_tokens = prompt;
	c->usage.output_tokens = output;
	if (c->first_byte_at >= c->attempt_at)
		c->usage.ttft_ms = (uint32_t)(c->first_byte_at - c->attempt_at);
	c->usage.total_ms = (uint32_t)(entry_now(c->e) - c->attempt_at);
}

/* Clears the headers kept of an earlier attempt's response. */
void call_headers_begin(struct call *c)
{
	if (c->response_headers)
		g_ptr_array_set_size(c->response_headers, 0);
	else
		c->response_headers = g_ptr_array_new_with_free_func(g_free);
}

/* Keeps a copy of a header of the endpoint's response for the caller. */
void call_headers_keep(struct call *c, const struct dl_header *h)
{
	g_ptr_array_add(c->response_headers, g_strndup(h->name.s, h->name.n));
	g_ptr_array_add(c->response_headers, g_strndup(h->value.s, h->value.n));
}

/* Returns how many headers were kept. */
size_t call_headers_count(const struct call *c)
{
	return c->response_headers ? c->response_headers->len / 2 : 0;
}

/* Lists the headers that were kept; returns how many. */
size_t call_headers_fill(const struct call *c, struct dl_header *out)
{
	size_t count = call_headers_count(c);

	for (size_t i = 0; i < count; i++)
		out[i] = (struct dl_header){
			dl_str_of(c->response_headers->pdata[2 * i]),
			dl_str_of(c->response_headers->pdata[2 * i + 1]),
		};
	return count;
}
