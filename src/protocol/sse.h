/* Splitting a stream of server-sent events into the data of each. */
#ifndef DL_PROTOCOL_SSE_H
#define DL_PROTOCOL_SSE_H

#include "daisyledge/base.h"

/* The longest event; longer ones are no answer of an endpoint's. */
#define DL_SSE_EVENT_MAX (1u << 20)

struct dl_sse {
	char *buf;
	size_t n, size;
	size_t seen; /* bytes already searched for an end */
};

void dl_sse_open(struct dl_sse *sse);
void dl_sse_close(struct dl_sse *sse);
/* Add bytes; -EMSGSIZE where an event grows past its bound. */
int dl_sse_feed(struct dl_sse *sse, struct dl_str piece);
/* Take the data of the next whole event; good until the next call. */
bool dl_sse_next(struct dl_sse *sse, struct dl_str *data);

#endif
