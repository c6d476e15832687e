/* Compares the outcomes reported to callers with what endpoints executed. */
#include <errno.h>
#include <inttypes.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "verdict.h"

#define LEAVING_MAX_MS 2000
/* The test script logs the time just before or after the kill itself. */
#define OUTAGE_SLACK_MS 50
/* Violations printed per guarantee; the rest is only counted. */
#define VIOLATIONS_MAX 20
#define RECORD_FIELDS  9

enum record_field {
	FIELD_KIND,
	FIELD_MS,
	FIELD_ENDPOINT,
	FIELD_REQUEST,
	FIELD_KEY,
	FIELD_HASH,
	FIELD_PATH,
	FIELD_LEAVING,
	FIELD_NOTE,
};

static const char *const outcome_names[VERDICT_OUTCOMES] = {
	[VERDICT_DONE] = "done",	  [VERDICT_FAILED] = "failed",
	[VERDICT_NOT_RUN] = "not-run",	  [VERDICT_UNKNOWN] = "unknown",
	[VERDICT_NO_OUTCOME] = "nothing",
};

static const char *const guarantee_texts[GUARANTEE_COUNT] = {
	[GUARANTEE_DEADLINE] = "every request ends by its deadline",
	[GUARANTEE_OUTCOME] = "every caller is told an outcome",
	[GUARANTEE_MEMORY] = "no engine loses memory",
	[GUARANTEE_CONTENT] = "answers are whole and the caller's own",
	[GUARANTEE_NOT_RUN] = "what was told not-run did not run",
	[GUARANTEE_AT_MOST_ONCE] = "not idempotent: at most once",
	[GUARANTEE_LEAVING] = "a leaving endpoint gets no new work",
};

enum verdict_outcome verdict_parse_outcome(const char *outcome)
{
	for (int i = 0; i < VERDICT_NO_OUTCOME; i++) {
		if (strcmp(outcome, outcome_names[i]) == 0)
			return (enum verdict_outcome)i;
	}
	return VERDICT_NO_OUTCOME;
}

const char *verdict_outcome_name(enum verdict_outcome outcome)
{
	return outcome_names[outcome];
}

static guint executions_of(const struct verdict *v, uint64_t hash)
{
	if (!v->executions)
		return 0;
	return GPOINTER_TO_UINT(g_hash_table_lookup(v->executions, &hash));
}

static void add_record(struct verdict *v, char **field)
{
	uint64_t hash = strtoull(field[FIELD_HASH], NULL, 16);
	long long leaving = strtoll(field[FIELD_LEAVING], NULL, 10);
	char kind = field[FIELD_KIND][0];

	v->records++;
	if (kind == 'L')
		v->leaving_reports++;
	if ((kind == 'B' || kind == 'X') && leaving > LEAVING_MAX_MS)
		v->late_dispatches++;
	if (kind == 'B')
		g_hash_table_replace(
			v->executions, g_memdup2(&hash, sizeof(hash)),
			GUINT_TO_POINTER(executions_of(v, hash) + 1));
}

int verdict_read_execution_log(struct verdict *v, const char *file)
{
	char *text;
	char **lines;

	if (!v->executions)
		v->executions = g_hash_table_new_full(
			g_int64_hash, g_int64_equal, g_free, NULL);
	if (!g_file_get_contents(file, &text, NULL, NULL))
		return -ENOENT;
	lines = g_strsplit(text, "\n", -1);
	for (char **l = lines; *l; l++) {
		char **field = g_strsplit(*l, " ", RECORD_FIELDS);

		if (g_strv_length(field) == RECORD_FIELDS)
			add_record(v, field);
		g_strfreev(field);
	}
	g_strfreev(lines);
	g_free(text);
	return 0;
}

static void add_outage(struct verdict *v, char **word)
{
	struct verdict_outage a = { .to = HUGE_VAL };

	if (!dl_vm_parse(dl_str_of(word[0]), &a.entry))
		return;
	a.from = g_ascii_strtod(word[2], NULL);
	if (strcmp(word[1], "away") == 0) {
		g_array_append_val(v->outages, a);
		return;
	}
	for (guint i = 0; i < v->outages->len; i++) {
		struct verdict_outage *old =
			&g_array_index(v->outages, struct verdict_outage, i);

		if (old->entry == a.entry && isinf(old->to))
			old->to = a.from;
	}
}

int verdict_read_outages(struct verdict *v, const char *file)
{
	char *text;
	char **lines;

	v->outages = g_array_new(FALSE, FALSE, sizeof(struct verdict_outage));
	if (!g_file_get_contents(file, &text, NULL, NULL))
		return -ENOENT;
	lines = g_strsplit(text, "\n", -1);
	for (char **l = lines; *l; l++) {
		char **word = g_strsplit(*l, " ", 3);

		if (g_strv_length(word) == 3)
			add_outage(v, word);
		g_strfreev(word);
	}
	g_strfreev(lines);
	g_free(text);
	return 0;
}

/* Whether the request's entry had an outage while the request ran. */
static bool had_outage(const struct verdict *v, const struct verdict_result *r)
{
	double end = r->wall_start + (r->ended - r->start);

	for (guint i = 0; v->outages && i < v->outages->len; i++) {
		const struct verdict_outage *a =
			&g_array_index(v->outages, struct verdict_outage, i);

		if (a->entry == r->entry && r->wall_start <= a->to &&
		    end >= a->from - OUTAGE_SLACK_MS)
			return true;
	}
	return false;
}

static void check(struct verdict *v, enum verdict_guarantee guarantee,
		  const struct verdict_result *r, bool held)
{
	char vm[24];

	v->checked[guarantee]++;
	if (held)
		return;
	v->violated[guarantee]++;
	if (v->violated[guarantee] > VIOLATIONS_MAX)
		return;
	g_string_append_printf(
		v->violations,
		"%s: request %" PRIu64 " id %s hash %016" PRIx64
		" through %s status %d outcome %s reason %s took %.0f of %u "
		"ms, ttft %.0f, executed %u times, end %d\n",
		guarantee_texts[guarantee], r->number, r->id[0] ? r->id : "-",
		r->hash, dl_vm_text(r->entry, vm), r->status,
		outcome_names[r->outcome], r->reason[0] ? r->reason : "-",
		r->ended - r->start, r->deadline_ms, r->ttft,
		executions_of(v, r->hash), r->end);
}

static void check_result(struct verdict *v, const struct verdict_result *r)
{
	if (!r->excused) {
		check(v, GUARANTEE_DEADLINE, r,
		      r->ended - r->start <=
			      (double)r->deadline_ms + v->slack_ms);
		check(v, GUARANTEE_OUTCOME, r,
		      r->outcome != VERDICT_NO_OUTCOME);
	}
	if (r->outcome == VERDICT_DONE)
		check(v, GUARANTEE_CONTENT, r,
		      r->complete && !r->garbled && !r->cut_done_mark);
	else if (r->status == 200)
		check(v, GUARANTEE_CONTENT, r, r->is_prefix && !r->garbled);
	if (!v->executions)
		return;
	if (r->outcome == VERDICT_NOT_RUN)
		check(v, GUARANTEE_NOT_RUN, r, executions_of(v, r->hash) == 0);
	if (r->outcome == VERDICT_DONE)
		check(v, GUARANTEE_CONTENT, r, executions_of(v, r->hash) > 0);
	if (!r->idempotent)
		check(v, GUARANTEE_AT_MOST_ONCE, r,
		      executions_of(v, r->hash) <= 1);
}

void verdict_check(struct verdict *v, GPtrArray *results)
{
	v->violations = g_string_new(NULL);
	for (guint i = 0; i < results->len; i++) {
		struct verdict_result *r = g_ptr_array_index(results, i);

		r->excused = had_outage(v, r);
		check_result(v, r);
	}
	v->checked[GUARANTEE_MEMORY] = v->engines_alive;
	v->violated[GUARANTEE_MEMORY] = v->memory_left > 0;
	if (v->memory_left)
		g_string_append_printf(v->violations,
				       "memory: %" PRIu64
				       " tokens are still allocated\n",
				       v->memory_left);
	v->checked[GUARANTEE_LEAVING] = v->leaving_reports;
	v->violated[GUARANTEE_LEAVING] = v->late_dispatches;
	if (v->late_dispatches)
		g_string_append_printf(v->violations,
				       "leaving: %u requests arrived more than "
				       "%d ms after the endpoint said that it "
				       "leaves\n",
				       v->late_dispatches, LEAVING_MAX_MS);
}

static int compare_doubles(const void *a, const void *b)
{
	const double *x = a;
	const double *y = b;

	return (*x > *y) - (*x < *y);
}

static double percentile(const GArray *sorted, double rank)
{
	if (sorted->len == 0)
		return 0;
	return g_array_index(sorted, double,
			     (guint)(rank * (sorted->len - 1) + 0.5));
}

void verdict_row(const GPtrArray *results, guint class, struct verdict_row *out)
{
	GArray *ttft = g_array_new(FALSE, FALSE, sizeof(double));

	memset(out, 0, sizeof(*out));
	for (guint i = 0; i < results->len; i++) {
		const struct verdict_result *r = g_ptr_array_index(results, i);

		if (r->class != class)
			continue;
		out->offered++;
		out->outcomes[r->outcome]++;
		if (r->outcome == VERDICT_DONE)
			g_array_append_val(ttft, r->ttft);
	}
	g_array_sort(ttft, compare_doubles);
	out->ttft[0] = percentile(ttft, 0.50);
	out->ttft[1] = percentile(ttft, 0.95);
	out->ttft[2] = percentile(ttft, 0.99);
	g_array_free(ttft, TRUE);
}

/* Prints a line per guarantee: held, broken, or untested if nothing was
 * checked. */
void verdict_print(const struct verdict *v, FILE *to)
{
	for (int i = 0; i < GUARANTEE_COUNT; i++) {
		const char *word = v->violated[i] ? "broken" : "held";

		if (!v->checked[i])
			word = "untested";
		fprintf(to, "%-9s %s (%u judged, %u broken)\n", word,
			guarantee_texts[i], v->checked[i], v->violated[i]);
	}
}

void verdict_print_violations(const struct verdict *v, FILE *to)
{
	fputs(v->violations->str, to);
}

bool verdict_passed(const struct verdict *v)
{
	for (int i = 0; i < GUARANTEE_COUNT; i++) {
		if (v->violated[i])
			return false;
	}
	return true;
}
