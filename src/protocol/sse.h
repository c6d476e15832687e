/*
 * Reader of a stream of server-sent events, whose lines end in LF, CR LF or CR.
 * It splits the stream into events and keeps their bytes, so that an event can
 * be forwarded unchanged.
 */
#ifndef DL_PROTOCOL_SSE_H
#define DL_PROTOCOL_SSE_H

#include "daisyledge/base.h"

/* The longest event that an endpoint may send. */
#define DL_SSE_EVENT_MAX (1u << 20)

/* One event; strings point into the reader's buffer. */
struct dl_sse_event {
	struct dl_str bytes; /* as received, with the blank line at its end */
	struct dl_str type;  /* value of its "event" field; empty if absent */
	/*
	 * Value of its "data" field; empty if absent, and with the bytes
	 * between them if there are several.
	 */
	struct dl_str data;
	bool has_id; /* an "id" field that is a number */
	uint64_t id;
	bool is_comment; /* it has no field */
};

struct dl_sse {
	char *buf;
	size_t n, size;
	size_t event;	 /* where the event at hand begins */
	size_t line;	 /* where its line at hand begins */
	size_t searched; /* up to here that line has no end */
	bool has_line;	 /* of the event at hand, blank ones apart */
	bool has_field;	 /* the same, comments apart */
	bool bare_cr;	 /* its last line ended in CR without LF */
};

void dl_sse_open(struct dl_sse *sse);
void dl_sse_close(struct dl_sse *sse);
/*
 * Appends bytes; what dl_sse_next() returned becomes invalid.  -EMSGSIZE if an
 * event exceeds DL_SSE_EVENT_MAX, or -ENOMEM.
 */
int dl_sse_feed(struct dl_sse *sse, struct dl_str bytes);
/* Returns the next whole event, valid until the next feed. */
bool dl_sse_next(struct dl_sse *sse, struct dl_sse_event *event);
/* Returns the bytes after the last whole event. */
struct dl_str dl_sse_rest(const struct dl_sse *sse);
/*
 * Returns how many bytes of an event have come that is not whole.  Blank lines
 * and whole lines of comments belong to none.
 */
size_t dl_sse_unfinished(const struct dl_sse *sse);

#endif
