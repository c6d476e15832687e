/*
 * Checks the outcomes reported to callers against the requests that endpoints
 * recorded as executed.
 */
#ifndef DL_TEST_FAKE_VERDICT_H
#define DL_TEST_FAKE_VERDICT_H

#include <glib.h>
#include <stdio.h>

#include "daisyledge/base.h"

/* Outcome reported to a caller; none if its connection broke. */
enum verdict_outcome {
	VERDICT_DONE,
	VERDICT_FAILED,
	VERDICT_NOT_RUN,
	VERDICT_UNKNOWN,
	VERDICT_NO_OUTCOME,
	VERDICT_OUTCOMES
};

struct verdict_result {
	guint class;
	uint64_t number;
	uint64_t hash; /* of the prompt, the plain body or the query */
	char id[64];
	char workspace[64];
	char reason[64];
	uint64_t entry;
	bool idempotent;
	bool keyed;
	bool complete;	/* the whole answer to this request arrived */
	bool is_prefix; /* what arrived is a prefix of the answer */
	bool garbled;	/* an event was not valid JSON */
	bool cut_done_mark;
	bool retry_after;
	bool excused; /* its entry was killed or frozen meanwhile */
	int status;
	int end;
	enum verdict_outcome outcome;
	guint resent;
	uint64_t tokens;
	uint32_t deadline_ms;
	double wall_start; /* milliseconds, wall clock */
	double start;	   /* milliseconds, monotonic clock */
	double ttft;
	double ended;
};

/* The guarantees checked here, printed one per line. */
enum verdict_guarantee {
	GUARANTEE_DEADLINE,
	GUARANTEE_OUTCOME,
	GUARANTEE_MEMORY,
	GUARANTEE_CONTENT,
	GUARANTEE_NOT_RUN,
	GUARANTEE_AT_MOST_ONCE,
	GUARANTEE_LEAVING,
	GUARANTEE_COUNT
};

/* Interval in which an entry was killed or frozen and cannot answer callers. */
struct verdict_outage {
	uint64_t entry;
	double from; /* milliseconds, wall clock */
	double to;
};

struct verdict {
	uint32_t slack_ms;
	uint64_t memory_left;
	guint engines_alive;
	GArray *outages;	/* of struct verdict_outage */
	GHashTable *executions; /* request hash to number of executions */
	guint late_dispatches;	/* received too long after leaving */
	guint leaving_reports;	/* endpoints that said that they leave */
	guint records;
	guint violated[GUARANTEE_COUNT];
	guint checked[GUARANTEE_COUNT];
	GString *violations;
};

struct verdict_row {
	guint offered;
	guint outcomes[VERDICT_OUTCOMES];
	double ttft[3]; /* p50, p95, p99 of completed requests */
};

enum verdict_outcome verdict_parse_outcome(const char *outcome);
const char *verdict_outcome_name(enum verdict_outcome outcome);
/* Reads lines of "IP:PORT away MS" and "IP:PORT back MS". */
int verdict_read_outages(struct verdict *v, const char *file);
int verdict_read_execution_log(struct verdict *v, const char *file);
void verdict_check(struct verdict *v, GPtrArray *results);
void verdict_row(const GPtrArray *results, guint class,
		 struct verdict_row *out);
void verdict_print(const struct verdict *v, FILE *to);
void verdict_print_violations(const struct verdict *v, FILE *to);
bool verdict_passed(const struct verdict *v);

#endif
