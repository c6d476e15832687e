/* Splits a stream of server-sent events into the data of each event. */
#ifndef DL_PROTOCOL_SSE_H
#define DL_PROTOCOL_SSE_H

#include "daisyledge/base.h"

/* The longest event that an endpoint may send. */
#define DL_SSE_EVENT_MAX (1u << 20)

struct dl_sse {
	char *buf;
	size_t n, size;
	size_t consumed; /* bytes of events that dl_sse_next() has returned */
};

void dl_sse_open(struct dl_sse *sse);
void dl_sse_close(struct dl_sse *sse);
/* Appends bytes; -EMSGSIZE if an event exceeds DL_SSE_EVENT_MAX. */
int dl_sse_feed(struct dl_sse *sse, struct dl_str bytes);
/* Returns the data of the next complete event, valid until the next feed. */
bool dl_sse_next(struct dl_sse *sse, struct dl_str *data);

#endif
