/* Ring buffer for log lines, limited in size and in bytes per second. */
#include "base/logring.h"

#include <stdio.h>
#include <string.h>

#define RATE_WINDOW_MS	   1000
#define DROPPED_NOTICE_MAX 80

static void append(struct dl_logring *ring, struct dl_str s)
{
	for (size_t i = 0; i < s.n; i++)
		ring->bytes[(ring->first + ring->count + i) %
			    DL_LOGRING_BYTES] = s.s[i];
	ring->count += s.n;
}

static bool within_rate(struct dl_logring *ring, enum dl_level level, size_t n,
			int64_t now)
{
	if (now - ring->window_start >= RATE_WINDOW_MS) {
		ring->window_start = now;
		ring->window_bytes = 0;
	}
	if (level >= DL_WARN)
		return true;
	return ring->window_bytes + n <= DL_LOGRING_RATE;
}

/* Adds a line with the number of lines dropped, if any. */
static void add_dropped_notice(struct dl_logring *ring)
{
	char text[DROPPED_NOTICE_MAX];
	int n;

	if (!ring->dropped)
		return;
	n = snprintf(text, sizeof(text),
		     "WARN  log: Lines dropped. count=%lu\n",
		     (unsigned long)ring->dropped);
	append(ring, (struct dl_str){ text, (size_t)n });
	ring->dropped = 0;
}

/* Adds a line, which ends in a newline; returns false if it was dropped. */
bool dl_logring_put(struct dl_logring *ring, enum dl_level level,
		    struct dl_str line, int64_t now)
{
	size_t room = DL_LOGRING_BYTES - ring->count;

	if (line.n + DROPPED_NOTICE_MAX > room ||
	    !within_rate(ring, level, line.n, now)) {
		ring->dropped++;
		ring->dropped_total++;
		return false;
	}
	add_dropped_notice(ring);
	append(ring, line);
	ring->window_bytes += line.n;
	return true;
}

/* Returns the next contiguous bytes to write; n is 0 if there are none. */
struct dl_str dl_logring_next(const struct dl_logring *ring)
{
	size_t to_end = DL_LOGRING_BYTES - ring->first;

	return (struct dl_str){ ring->bytes + ring->first,
				ring->count < to_end ? ring->count : to_end };
}

/* Removes the first n bytes after they were written. */
void dl_logring_written(struct dl_logring *ring, size_t n)
{
	ring->first = (ring->first + n) % DL_LOGRING_BYTES;
	ring->count -= n;
}
