/* Parser of the subset of server-sent events that completions use: "data:". */
#include "protocol/sse.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#define INITIAL_SIZE 1024

void dl_sse_open(struct dl_sse *sse)
{
	memset(sse, 0, sizeof(*sse));
}

void dl_sse_close(struct dl_sse *sse)
{
	free(sse->buf);
	memset(sse, 0, sizeof(*sse));
}

/* Removes the events that dl_sse_next() has returned from the buffer. */
static void discard_consumed(struct dl_sse *sse)
{
	if (sse->consumed == 0)
		return;
	memmove(sse->buf, sse->buf + sse->consumed, sse->n - sse->consumed);
	sse->n -= sse->consumed;
	sse->consumed = 0;
}

/* Appends bytes of the stream; data from dl_sse_next() becomes invalid. */
int dl_sse_feed(struct dl_sse *sse, struct dl_str bytes)
{
	discard_consumed(sse);
	if (sse->n + bytes.n > DL_SSE_EVENT_MAX)
		return -EMSGSIZE;
	if (sse->n + bytes.n > sse->size) {
		size_t size = sse->size ? sse->size : INITIAL_SIZE;
		char *grown;

		while (size < sse->n + bytes.n)
			size *= 2;
		grown = realloc(sse->buf, size);
		if (!grown)
			return -ENOMEM;
		sse->buf = grown;
		sse->size = size;
	}
	memcpy(sse->buf + sse->n, bytes.s, bytes.n);
	sse->n += bytes.n;
	return 0;
}

static struct dl_str trim(struct dl_str s)
{
	while (s.n && (s.s[0] == ' ' || s.s[0] == '\n' || s.s[0] == '\r')) {
		s.s++;
		s.n--;
	}
	while (s.n && (s.s[s.n - 1] == '\n' || s.s[s.n - 1] == '\r'))
		s.n--;
	return s;
}

/* Returns the next event's data; comments and other fields are skipped. */
bool dl_sse_next(struct dl_sse *sse, struct dl_str *data)
{
	while (sse->consumed < sse->n) {
		const char *from = sse->buf + sse->consumed;
		const char *end =
			memmem(from, sse->n - sse->consumed, "\n\n", 2);
		struct dl_str event;

		if (!end)
			return false;
		event = trim((struct dl_str){ from, (size_t)(end - from) });
		sse->consumed += (size_t)(end - from) + 2;
		if (event.n < 5 || memcmp(event.s, "data:", 5) != 0)
			continue;
		event.s += 5;
		event.n -= 5;
		*data = trim(event);
		return true;
	}
	return false;
}
