/*
 * Lines on their way to a log that may be slow, or never read: bounded in bytes
 * held and in bytes a second, never waited for.  What does not fit is counted,
 * and said in a line of its own once something fits again.
 */
#ifndef DL_BASE_LOGRING_H
#define DL_BASE_LOGRING_H

#include "daisyledge/base.h"

/* Some hundred lines: what a process says in a second of trouble. */
#define DL_LOGRING_BYTES 131072
/*
 * Of debug and info lines, a second: ten times what an entry says at 40
 * requests a second.  Warnings are bounded by room alone.
 */
#define DL_LOGRING_RATE 196608

struct dl_logring {
	char bytes[DL_LOGRING_BYTES];
	size_t first, count;
	uint64_t dropped; /* since the last line that fitted */
	uint64_t dropped_total;
	int64_t window_start; /* begin of the second that is counted */
	size_t window_bytes;
};

/* Add a line with its end; false where it was dropped. */
bool dl_logring_put(struct dl_logring *ring, enum dl_level level,
		    struct dl_str line, int64_t now);
/* The next bytes to write, in one piece; empty at none. */
struct dl_str dl_logring_next(const struct dl_logring *ring);
/* So many of them have been written. */
void dl_logring_written(struct dl_logring *ring, size_t n);

#endif
