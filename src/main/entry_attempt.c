/* What every attempt notes of a request, whichever way it is spoken. */
#include "main/entry_call.h"

/*
 * What the same request of the same workspace has in common each time.  Not the
 * host: callers may name the VM that they ask.
 */
uint64_t call_content(const struct call *c)
{
	uint64_t hash = dl_hash(dl_name_str(&c->workspace), 0);

	hash = dl_hash(dl_httpd_method(c->http), hash);
	hash = dl_hash(dl_httpd_path(c->http), hash);
	return dl_hash(dl_httpd_body(c->http), hash);
}

/* The endpoint that was granted is not asked for again. */
void call_note_tried(struct call *c)
{
	if (c->tried < G_N_ELEMENTS(c->tried_ids))
		c->tried_ids[c->tried++] = c->grant.endpoint[0];
}

/* What the attempt took, for the dispatcher; tokens as they are known. */
void call_fill_usage(struct call *c, const struct dl_attempt *attempt,
		     uint64_t prompt, uint64_t output, bool failed)
{
	c->usage.ran = attempt->sent != DL_SENT_NOTHING &&
		       attempt->received != DL_RECV_NOT_RUN;
	c->usage.failed = failed;
	c->usage.unreachable = attempt->failure == DL_FAILURE_CONNECT &&
			       !c->held_back;
	c->usage.prompt_tokens = prompt;
	c->usage.output_tokens = output;
	if (c->first_byte_at >= c->attempt_at)
		c->usage.ttft_ms = (uint32_t)(c->first_byte_at - c->attempt_at);
	c->usage.total_ms = (uint32_t)(entry_now(c->e) - c->attempt_at);
}

/* Forget the headers of an earlier attempt's answer. */
void call_headers_begin(struct call *c)
{
	if (c->headers)
		g_ptr_array_set_size(c->headers, 0);
	else
		c->headers = g_ptr_array_new_with_free_func(g_free);
}

/* Keep a copy of a header of the endpoint's answer for the caller. */
void call_headers_keep(struct call *c, const struct dl_header *h)
{
	g_ptr_array_add(c->headers, g_strndup(h->name.s, h->name.n));
	g_ptr_array_add(c->headers, g_strndup(h->value.s, h->value.n));
}

/* The headers that were kept, max at most; returns how many. */
size_t call_headers_fill(const struct call *c, struct dl_header *out,
			 size_t max)
{
	size_t n = 0;

	for (guint i = 0; c->headers && i + 1 < c->headers->len && n < max;
	     i += 2)
		out[n++] = (struct dl_header){
			dl_str_of(c->headers->pdata[i]),
			dl_str_of(c->headers->pdata[i + 1]),
		};
	return n;
}
