/* Reader of server-sent events; see the header. */
#include "protocol/sse.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#define INITIAL_SIZE 1024

static size_t end_of_line(const char *s, size_t n);
static bool take_line(struct dl_sse *sse, struct dl_str *line);

/* Initialises a reader. */
void dl_sse_open(struct dl_sse *sse)
{
	memset(sse, 0, sizeof(*sse));
}

/* Frees the buffer; the reader can be used for another stream. */
void dl_sse_close(struct dl_sse *sse)
{
	free(sse->buf);
	memset(sse, 0, sizeof(*sse));
}

/* Removes the events that dl_sse_next() has returned from the buffer. */
static void discard_events(struct dl_sse *sse)
{
	size_t gone = sse->event;

	if (gone == 0)
		return;
	memmove(sse->buf, sse->buf + gone, sse->n - gone);
	sse->n -= gone;
	sse->line -= gone;
	sse->searched -= gone;
	sse->event = 0;
}

/*
 * Appends bytes of the stream; what dl_sse_next() returned becomes invalid.
 * Returns -EMSGSIZE if an event exceeds DL_SSE_EVENT_MAX, or -ENOMEM.
 */
int dl_sse_feed(struct dl_sse *sse, struct dl_str bytes)
{
	discard_events(sse);
	if (bytes.n == 0)
		return 0;
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

/* Returns the offset of the first CR or LF; n if there is none. */
static size_t end_of_line(const char *s, size_t n)
{
	const char *lf = memchr(s, '\n', n);
	const char *cr;

	if (lf)
		n = (size_t)(lf - s);
	cr = memchr(s, '\r', n);
	return cr ? (size_t)(cr - s) : n;
}

/*
 * Takes the next line without its end.  A CR that is the last byte may be half
 * of a CR LF, so that the next byte is waited for, unless it ends an event
 * whose lines end in CR alone: that event is not held back until the next one.
 */
static bool take_line(struct dl_sse *sse, struct dl_str *line)
{
	size_t at, next;

	if (sse->searched == sse->n)
		return false;
	at = sse->searched +
	     end_of_line(sse->buf + sse->searched, sse->n - sse->searched);
	next = at + 1;
	sse->searched = at;
	if (at == sse->n)
		return false;
	if (sse->buf[at] == '\r') {
		bool ends_event = at == sse->line && sse->has_line;

		if (next == sse->n && !(ends_event && sse->bare_cr))
			return false;
		sse->bare_cr = next == sse->n || sse->buf[next] != '\n';
		next += !sse->bare_cr;
	} else {
		sse->bare_cr = false;
	}
	*line = (struct dl_str){ sse->buf + sse->line, at - sse->line };
	sse->line = sse->searched = next;
	return true;
}

/* Whether a line is the field of a name with its colon; finds its value. */
static bool is_field(struct dl_str line, struct dl_str name,
		     struct dl_str *value)
{
	if (line.n < name.n || memcmp(line.s, name.s, name.n) != 0)
		return false;
	*value = (struct dl_str){ line.s + name.n, line.n - name.n };
	while (value->n && value->s[0] == ' ') {
		value->s++;
		value->n--;
	}
	return true;
}

static void add_data(struct dl_sse_event *event, struct dl_str value)
{
	if (event->data.s)
		event->data.n = (size_t)(value.s + value.n - event->data.s);
	else
		event->data = value;
}

/* Fills in the fields of an event from its bytes. */
static void read_fields(struct dl_sse_event *event)
{
	const char *at = event->bytes.s, *end = at + event->bytes.n;
	struct dl_str value;

	while (at < end) {
		size_t n = end_of_line(at, (size_t)(end - at));
		struct dl_str line = { at, n };

		if (is_field(line, DL_STR("id:"), &value))
			event->has_id = dl_str_to_u64(value, &event->id);
		else if (is_field(line, DL_STR("event:"), &value))
			event->type = value;
		else if (is_field(line, DL_STR("data:"), &value))
			add_data(event, value);
		at += n + 1;
	}
}

/*
 * Returns the next whole event, valid until the next feed.  Blank lines before
 * an event are a part of its bytes.
 */
bool dl_sse_next(struct dl_sse *sse, struct dl_sse_event *event)
{
	struct dl_str line;

	while (take_line(sse, &line)) {
		if (line.n) {
			sse->has_line = true;
			sse->has_field |= line.s[0] != ':';
			continue;
		}
		if (!sse->has_line)
			continue;
		*event = (struct dl_sse_event){
			.bytes = { sse->buf + sse->event,
				   sse->line - sse->event },
			.is_comment = !sse->has_field,
		};
		sse->event = sse->line;
		sse->has_line = sse->has_field = false;
		read_fields(event);
		return true;
	}
	return false;
}

/* Returns the bytes after the last whole event. */
struct dl_str dl_sse_rest(const struct dl_sse *sse)
{
	return (struct dl_str){ sse->buf + sse->event, sse->n - sse->event };
}

/* Returns how many bytes of an event have come that is not whole. */
size_t dl_sse_unfinished(const struct dl_sse *sse)
{
	size_t partial = sse->n - sse->line;

	/* A CR here ends a line; only its LF has not come, if there is one. */
	if (partial && sse->buf[sse->n - 1] == '\r')
		partial--;
	return sse->has_field || partial ? sse->n - sse->event : 0;
}
