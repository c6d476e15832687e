/*
 * Repeats of a request: how they come about, and which of them a service's
 * retry budget covers.  The module does no I/O and reads no clock.
 */
#ifndef DAISYLEDGE_RETRY_H
#define DAISYLEDGE_RETRY_H

#include "daisyledge/call.h"

/* How a further attempt of a request comes about. */
enum dl_retry_way {
	DL_RETRY_UNSENT,   /* nothing was sent by the attempt before it */
	DL_RETRY_FAILED,   /* the endpoint answered with an error */
	DL_RETRY_REJECTED, /* the endpoint said that it did not run it */
	DL_RETRY_BROKEN,   /* there was no whole response */
	DL_RETRY_RESUMED,  /* the same, after events that the caller has */
	DL_RETRY_SILENT,   /* the attempt is to be given up for its silence */
	DL_RETRY_WAY_COUNT,
};

/* Returns how the attempt after this one comes about. */
enum dl_retry_way dl_retry_way_of(const struct dl_attempt *attempt,
				  bool caller_has_events);
/* Returns "unsent", "failed", "rejected", "broken", "resumed" or "silent". */
const char *dl_retry_way_name(enum dl_retry_way way);
/*
 * Whether an endpoint may have received the request before, so that the budget
 * has to cover the further attempt.
 */
bool dl_retry_way_is_charged(enum dl_retry_way way);

#endif
