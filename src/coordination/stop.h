/*
 * What a process that stops may still admit, and how long requests take
 * compared with what was expected of them.  No input or output.
 */
#ifndef DL_COORDINATION_STOP_H
#define DL_COORDINATION_STOP_H

#include <stdbool.h>
#include <stdint.h>

/* Requests of one kind that are remembered, and those that run. */
#define DL_OVERRUN_SAMPLES 64
#define DL_OVERRUN_RUNNING 256

struct dl_overrun_sample {
	int64_t at; /* its end; 0: none */
	double factor;
};

/* How many times longer than expected requests of one kind take. */
struct dl_overrun {
	struct dl_overrun_sample ended[DL_OVERRUN_SAMPLES];
	uint32_t next; /* of the above, to be replaced */
	double running[DL_OVERRUN_RUNNING];
	uint32_t running_count;
};

void dl_overrun_ended(struct dl_overrun *o, uint32_t expected_ms,
		      int64_t took_ms, bool complete, int64_t now);
void dl_overrun_restart_running(struct dl_overrun *o);
void dl_overrun_running(struct dl_overrun *o, uint32_t expected_ms,
			int64_t age_ms);
double dl_overrun_factor(const struct dl_overrun *o, int64_t now);

/* A stop in progress. */
struct dl_stop {
	int64_t began_at;
	uint32_t limit_ms; /* until the process has to exit; 0: none */
	bool others_admit; /* another VM serves callers that come back */
};

/* A request that has not begun to be answered. */
struct dl_stop_request {
	uint32_t expected_ms; /* with the usual length of output; 0: unknown */
	uint32_t longest_ms;  /* with all the output that the caller allows */
	int64_t deadline;
	double factor; /* from dl_overrun_factor() */
	bool waits;    /* it was admitted before, and has a place in a queue */
};

bool dl_stop_admits(const struct dl_stop *stop,
		    const struct dl_stop_request *req, int64_t now);

#endif
