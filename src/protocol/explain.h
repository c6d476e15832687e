/*
 * What the log says of requests: the lines of one in order, each with the
 * decision that it stands for; of many, what was lost and where the time of
 * late ones went.  No files: lines are handed in.
 */
#ifndef DL_PROTOCOL_EXPLAIN_H
#define DL_PROTOCOL_EXPLAIN_H

#include <jansson.h>

#include "protocol/logline.h"

/* Where the time of a late request went. */
enum explain_part {
	EXPLAIN_UNSURE, /* until the version in force was sure */
	EXPLAIN_ASKING, /* until a dispatcher answered */
	EXPLAIN_QUEUED,
	EXPLAIN_TRIED,	/* at endpoints that were tried before */
	EXPLAIN_BEYOND, /* at the endpoint, past its forecast */
	EXPLAIN_PAUSE,	/* between two events of its stream */
	EXPLAIN_WAY,	/* the forecast, and the way itself */
	EXPLAIN_PARTS,
};

const char *explain_part_name(enum explain_part part);

/* The longest text that is written of one line. */
#define EXPLAIN_TEXT_MAX 512

/* In a sentence, what a line says was decided. */
void explain_line(const struct dl_logline *l, char out[EXPLAIN_TEXT_MAX]);
/* Whether a line is of a request's end. */
bool explain_is_end(const struct dl_logline *l);
/* Whether a request that was served was late. */
bool explain_is_late(const struct dl_logline *end);
/* Where the most of its time went, and ms[] how much each part took. */
enum explain_part explain_where(const struct dl_logline *end,
				int64_t ms[EXPLAIN_PARTS]);

/* The lines of one request. */
struct explain_one;

/* id: ours, the caller's of an attempt, or a content. */
struct explain_one *explain_one_new(struct dl_str id);
void explain_one_free(struct explain_one *one);
/*
 * Hand in each line twice, the whole log by first_pass and again without: which
 * requests the id stands for is known after the first.
 */
void explain_one_add_line(struct explain_one *one, struct dl_str node,
			  struct dl_str line, bool first_pass);
/* All lines that concern it, by time, as an array of objects. */
json_t *explain_one_json(struct explain_one *one);

/* Counts over many requests. */
struct explain_sum;

/* step_ms: how long a moment lasts that losses are counted by. */
struct explain_sum *explain_sum_new(int64_t step_ms);
void explain_sum_free(struct explain_sum *sum);
void explain_sum_add_line(struct explain_sum *sum, struct dl_str line);
/* {"requests":.., "lost":[..], "late":[..]} */
json_t *explain_sum_json(struct explain_sum *sum);

#endif
