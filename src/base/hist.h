/*
 * Latency histograms of the process. Bucket bounds are powers of two, so a
 * percentile derived from a histogram is at most twice the true value.
 */
#ifndef DL_BASE_HIST_H
#define DL_BASE_HIST_H

#include <stdint.h>

/* X(name, help) */
#define DL_HIST_LIST(X)                                                        \
	X(request_ms, "time from a request's arrival to its end")              \
	X(first_event_ms, "time from a request's arrival to its first event")  \
	X(queue_ms, "time from a grant request to its grant")                  \
	X(pause_ms, "longest pause within each stream")                        \
	X(fsync_ms, "time to write and sync one record of the log")

enum dl_hist {
#define X(name, help) DL_HIST_##name,
	DL_HIST_LIST(X)
#undef X
	DL_HIST_COUNT,
};

/* Upper bounds of 1, 2, 4, ... 65,536 ms; the last bucket has none. */
#define DL_HIST_BUCKETS 18

void dl_observe(enum dl_hist hist, int64_t ms);
/* Number of observations in a bucket and all lower ones. */
uint64_t dl_hist_read(enum dl_hist hist, int bucket);
uint64_t dl_hist_sum(enum dl_hist hist);
const char *dl_hist_name(enum dl_hist hist);
const char *dl_hist_help(enum dl_hist hist);

#endif
