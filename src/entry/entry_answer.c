/* Responses to callers: headers, errors, complete bodies and ends of streams.
 */
#include <stdlib.h>

#include "base/metric.h"
#include "base/msg.h"
#include "entry/entry_call.h"

#define OWN_HEADERS_MAX 4

static size_t fill_headers(const struct call *c, struct dl_header *out,
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

static void send_end_event(struct call *c, const char *reason)
{
	char event[256];
	int n;

	n = snprintf(event, sizeof(event),
		     "event: daisyledge\ndata: {\"outcome\":\"%s\","
		     "\"request\":\"%s\",\"reason\":\"%s\"}\n\n",
		     dl_outcome_name(c->outcome), c->id_text, reason);
	dl_httpd_send(c->http, (struct dl_str){ event, (size_t)n });
}

/*
 * Logs an answer that is broken off, with what tells why: how long the request
 * was expected to take, how long it waited and ran, whether its caller reads,
 * and for how long this process has been stopping.
 */
static void log_broken_off(const struct call *c, const char *reason)
{
	dl_msg(DL_MSG_ANSWER_BROKEN_OFF,
	       "request=%s attempt=%.*s status=%u bytes=%zu why=\"%s\" "
	       "ms=%ld expected_ms=%u granted_ms=%ld first_ms=%ld tries=%u "
	       "unread=%zu stop_ms=%ld",
	       c->id_text, (int)MIN(c->route.attempt_id.n, DL_NAME_MAX),
	       c->route.attempt_id.s, c->status, dl_httpd_body_bytes(c->http),
	       reason, call_ms(c, entry_now(c->e)), c->expected_ms,
	       call_ms(c, c->granted_at), call_ms(c, c->first_byte_at),
	       call_tries(c), dl_httpd_unread_bytes(c->http),
	       entry_stop_ms(c->e));
}

/*
 * Sends an error to the caller: as a response, or, where the head of a response
 * has been sent, by breaking it off, after an event of a native stream that
 * says why.
 */
void call_answer_error(struct call *c, const char *reason,
		       const struct dl_err *err, uint32_t retry_ms)
{
	struct dl_header headers[OWN_HEADERS_MAX];
	char seconds[16];
	char *body;
	size_t n, count;

	if (!c->http)
		return;
	if (dl_httpd_begun(c->http)) {
		dl_count(DL_METRIC_answers_broken_off, 1);
		log_broken_off(c, reason);
		if (c->kind == DL_POOL_MODEL && !c->routed)
			send_end_event(c, reason);
		dl_httpd_finish(c->http, false);
		return;
	}
	if (c->routed)
		snprintf(seconds, sizeof(seconds), "%.3f", retry_ms / 1000.0);
	else
		snprintf(seconds, sizeof(seconds), "%u",
			 (retry_ms + 999) / 1000);
	count = fill_headers(c, headers, retry_ms ? seconds : NULL);
	headers[count++] = (struct dl_header){ DL_STR("Content-Type"),
					       DL_STR("application/json") };
	body = dl_error_body(reason, dl_step_name(err->step), err->peer,
			     retry_ms, err->text, &n);
	dl_httpd_reply(c->http, c->status, headers, count,
		       (struct dl_str){ body, n });
	free(body);
}

/* Returns the JSON of a completion that is not streamed. */
GString *call_completion_json(struct call *c)
{
	json_t *root = json_object(), *choice = json_object();
	json_t *choices = json_array(), *usage = json_object();
	GString *out;
	char *text;

	json_object_set_new(choice, "index", json_integer(0));
	json_object_set_new(choice, "text",
			    json_stringn(c->response_buf->str,
					 c->response_buf->len));
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

/* Sends the caller its complete response, or the end of a started one. */
void call_answer_complete(struct call *c)
{
	struct dl_header *headers;
	size_t n;

	if (!c->http)
		return;
	if (dl_httpd_begun(c->http)) {
		if (c->kind == DL_POOL_MODEL) {
			send_end_event(c, "");
			dl_httpd_send(c->http, DL_STR("data: [DONE]\n\n"));
		}
		dl_httpd_finish(c->http, true);
		return;
	}
	headers = g_new(struct dl_header,
			OWN_HEADERS_MAX + call_headers_count(c));
	n = fill_headers(c, headers, NULL);
	if (c->kind == DL_POOL_PLAIN)
		n += call_headers_fill(c, headers + n);
	else
		headers[n++] = (struct dl_header){ DL_STR("Content-Type"),
						   DL_STR("application/json") };
	dl_httpd_reply(c->http, c->status, headers, n,
		       (struct dl_str){ c->final_body->str,
					c->final_body->len });
	g_free(headers);
}
