/*
 * Limit on the bytes of answers that this VM holds for all callers together,
 * until they have read them.  While half of it is used, an answer that is not
 * small is sent on as it comes, and read no faster than its caller reads it.
 * Beyond all of it no answer is read, and no request is admitted.
 */
#include "base/metric.h"
#include "base/msg.h"
#include "entry/entry_call.h"

/* An answer may always have this size before it is sent. */
#define SMALL_BYTES (64u << 10)
/* What an answer that is read on may take until it is counted again. */
#define READ_BYTES (128u << 10)

/* Returns the limit on bytes of requests, and that on bytes of answers. */
static uint64_t limit(const struct entry *e)
{
	return (uint64_t)e->node.settings.buffer_mb << 20;
}

/* Returns the memory for answers that callers have not read, bytes. */
static uint64_t held(const struct entry *e)
{
	uint64_t bytes = e->answers_held;

	for (uint32_t i = 0; i < e->listeners_count; i++)
		bytes += dl_httpd_held(e->listeners[i].httpd);
	return bytes;
}

/* Returns the memory of a buffer, bytes. */
static size_t allocated(const GString *s)
{
	return s ? s->allocated_len : 0;
}

/* Whether there is memory for another request and its answer. */
bool entry_held_has_room(const struct entry *e)
{
	return e->buffered <= limit(e) && held(e) <= limit(e);
}

/*
 * Returns how many bytes of an answer may be held before it is sent; max where
 * there is memory enough.
 */
size_t entry_held_max(const struct entry *e, size_t max)
{
	return held(e) <= limit(e) / 2 ? max : MIN(max, SMALL_BYTES);
}

/* Counts the buffers of a request anew. */
void entry_held_update(struct call *c)
{
	size_t bytes = allocated(c->response_buf) + allocated(c->final_body) +
		       c->sse.size;

	c->e->answers_held += bytes - c->held;
	c->held = bytes;
}

/* Forgets the buffers of a request that is freed. */
void entry_held_forget(struct call *c)
{
	c->e->answers_held -= c->held;
	c->held = 0;
}

/*
 * Counts what has come of an answer.  Returns whether more of it may be read;
 * otherwise entry_held_tick() has it read on.
 */
bool entry_held_may_read(struct call *c)
{
	struct entry *e = c->e;

	entry_held_update(c);
	if (held(e) <= limit(e))
		return true;
	if (!c->awaits_memory) {
		dl_count(DL_METRIC_answers_paused, 1);
		dl_msg(DL_MSG_ANSWER_PAUSED, "request=%s held=%lu limit=%lu",
		       c->id_text, (unsigned long)held(e),
		       (unsigned long)limit(e));
	}
	c->awaits_memory = true;
	e->answers_wait = true;
	return false;
}

/* Returns the request that came first; NULL: none. */
static struct call *oldest(struct entry *e)
{
	struct call *c = e->calls;

	while (c && c->next)
		c = c->next;
	return c;
}

/* Reads on, the oldest first, as many answers as there is memory for. */
void entry_held_tick(struct entry *e)
{
	uint64_t bytes = held(e);

	dl_gauge(DL_METRIC_answer_bytes, (int64_t)bytes);
	if (!e->answers_wait)
		return;
	e->answers_wait = false;
	for (struct call *c = oldest(e); c; c = c->prev) {
		if (!c->awaits_memory)
			continue;
		bytes += READ_BYTES;
		if (bytes > limit(e)) {
			e->answers_wait = true;
			return;
		}
		c->awaits_memory = false;
		if (c->attempt)
			dl_httpc_resume(c->attempt);
	}
}
