/*
 * Analysis of requests from log lines. For one request: its lines in order,
 * each with a description of the decision that it records. For many: how many
 * were lost, and where late ones spent their time. It reads no files; the
 * caller passes in the lines.
 */
#ifndef DL_PROTOCOL_EXPLAIN_H
#define DL_PROTOCOL_EXPLAIN_H

#include <jansson.h>

#include "protocol/logline.h"

/* Parts of the time of a request. */
enum explain_part {
	EXPLAIN_CONFIG_WAIT,	  /* until the version in force was confirmed */
	EXPLAIN_DISPATCHER_WAIT,  /* until a dispatcher answered */
	EXPLAIN_QUEUED,		  /* in the dispatcher's queue */
	EXPLAIN_EARLIER_ATTEMPTS, /* in earlier attempts at other endpoints */
	EXPLAIN_OVER_FORECAST, /* at the endpoint, beyond the predicted time */
	EXPLAIN_STREAM_PAUSE,  /* longest pause between two events */
	EXPLAIN_REST,	       /* the predicted time and the network */
	EXPLAIN_PARTS,
};

const char *explain_part_name(enum explain_part part);

/* Size of the buffer for the description of one line. */
#define EXPLAIN_TEXT_MAX 512

/* Describes in a sentence the decision that a line records. */
void explain_line(const struct dl_logline *l, char out[EXPLAIN_TEXT_MAX]);
/* Whether a line reports the end of a request. */
bool explain_is_end(const struct dl_logline *l);
/* Whether a request was served, but late. */
bool explain_is_late(const struct dl_logline *end);
/* Returns the part that took most of the time; ms[] is the time of each. */
enum explain_part explain_largest_part(const struct dl_logline *end,
				       int64_t ms[EXPLAIN_PARTS]);

/* Collects the log lines of one request. */
struct explain_one;

/* id: a request id, the caller's attempt id or a content hash. */
struct explain_one *explain_one_new(struct dl_str id);
void explain_one_free(struct explain_one *one);
/*
 * Each line must be added twice: the whole log with first_pass set, and then
 * again without. The first pass finds the requests that the id refers to, the
 * second collects their lines.
 */
void explain_one_add_line(struct explain_one *one, struct dl_str node,
			  struct dl_str line, bool first_pass);
/* The collected lines in order of time, as an array of objects. */
json_t *explain_one_json(struct explain_one *one);

/* Statistics over many requests. */
struct explain_sum;

/* interval_ms: the interval by which lost requests are counted. */
struct explain_sum *explain_sum_new(int64_t interval_ms);
void explain_sum_free(struct explain_sum *sum);
void explain_sum_add_line(struct explain_sum *sum, struct dl_str line);
/* {"requests":.., "lost":[..], "late":[..]} */
json_t *explain_sum_json(struct explain_sum *sum);

#endif
