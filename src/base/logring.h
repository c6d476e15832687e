/*
 * Ring buffer for log lines whose destination may be slow or never read. It is
 * limited in size and in bytes per second, and adding a line never blocks.
 * Dropped lines are counted; the next line that fits is preceded by a notice
 * with the count.
 */
#ifndef DL_BASE_LOGRING_H
#define DL_BASE_LOGRING_H

#include "daisyledge/base.h"

/* Some hundred lines, which a process in trouble logs in about a second. */
#define DL_LOGRING_BYTES 131072
/*
 * Limit for debug and info lines in bytes per second: ten times what an entry
 * logs at 40 requests per second. Warnings and errors are limited only by the
 * size of the ring.
 */
#define DL_LOGRING_RATE 196608

struct dl_logring {
	char bytes[DL_LOGRING_BYTES];
	size_t first, count;
	uint64_t dropped; /* since the last line that was added */
	uint64_t dropped_total;
	int64_t window_start; /* of the rate limit, ms */
	size_t window_bytes;
};

/* Adds a line, which ends in a newline; returns false if it was dropped. */
bool dl_logring_put(struct dl_logring *ring, enum dl_level level,
		    struct dl_str line, int64_t now);
/* Returns the next contiguous bytes to write; n is 0 if there are none. */
struct dl_str dl_logring_next(const struct dl_logring *ring);
/* Removes the first n bytes after they were written. */
void dl_logring_written(struct dl_logring *ring, size_t n);

#endif
