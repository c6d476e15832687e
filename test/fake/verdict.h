/*
 * The judge: what callers were told against what endpoints recorded.
 */
#ifndef DL_TEST_FAKE_VERDICT_H
#define DL_TEST_FAKE_VERDICT_H

#include <glib.h>
#include <stdio.h>

#include "daisyledge/base.h"

/* What a caller was told; nothing where its connection broke. */
enum told {
	TOLD_DONE,
	TOLD_FAILED,
	TOLD_NOT_RUN,
	TOLD_UNKNOWN,
	TOLD_NOTHING,
	TOLD_COUNT
};

struct verdict_result {
	guint class;
	uint64_t number;
	uint64_t hash; /* of the prompt, or of the plain body or query */
	char id[64];
	char workspace[64];
	char reason[64];
	uint64_t entry;
	bool idempotent;
	bool keyed;
	bool right;   /* the whole answer and this one's */
	bool part;    /* what came is the answer's beginning */
	bool garbled; /* an event that is no JSON */
	bool cut_done_mark;
	bool retry_after;
	bool excused; /* its entry was killed or frozen meanwhile */
	int status;
	int end;
	enum told told;
	guint resent;
	uint64_t tokens;
	uint32_t deadline_ms;
	double wall_start; /* ms, by the time of day */
	double start;	   /* ms */
	double ttft;
	double ended;
};

/* The promises judged here, one line each. */
enum promise {
	PROMISE_IN_TIME,
	PROMISE_TOLD,
	PROMISE_MEMORY,
	PROMISE_WHOLE,
	PROMISE_NOT_RUN,
	PROMISE_AT_MOST_ONCE,
	PROMISE_LEAVING,
	PROMISE_COUNT
};

/* When an entry was killed or frozen: nobody can be answered by it then. */
struct verdict_away {
	uint64_t entry;
	double from; /* ms, by the time of day */
	double to;
};

struct verdict {
	uint32_t slack_ms;
	uint64_t memory_left;
	guint engines_alive;
	GArray *away;	   /* of struct verdict_away */
	GHashTable *begun; /* hash to executions begun */
	guint late_begins; /* too long after leaving was said */
	guint leavings;	   /* endpoints that said that they leave */
	guint records;
	guint broken[PROMISE_COUNT];
	guint judged[PROMISE_COUNT];
	GString *faults;
};

struct verdict_row {
	guint offered;
	guint told[TOLD_COUNT];
	double ttft[3]; /* p50, p95, p99 of those done */
};

enum told verdict_told(const char *outcome);
const char *verdict_told_name(enum told told);
/* Lines of "IP:PORT away MS" and "IP:PORT back MS". */
int verdict_read_away(struct verdict *v, const char *file);
int verdict_read_record(struct verdict *v, const char *file);
void verdict_judge(struct verdict *v, GPtrArray *results);
void verdict_row(const GPtrArray *results, guint class,
		 struct verdict_row *out);
void verdict_print(const struct verdict *v, FILE *to);
void verdict_faults(const struct verdict *v, FILE *to);
bool verdict_held(const struct verdict *v);

#endif
