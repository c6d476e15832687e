/* Compare what callers were told with what endpoints ran. */
#include <errno.h>
#include <inttypes.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "verdict.h"

#define LEAVING_MAX_MS 2000
/* The script notes the time just before or after the kill itself. */
#define AWAY_SLACK_MS 50
#define FAULTS_MAX    20 /* told in full; the rest is counted */
#define RECORD_FIELDS 9

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

static const char *const told_names[TOLD_COUNT] = {
	[TOLD_DONE] = "done",	    [TOLD_FAILED] = "failed",
	[TOLD_NOT_RUN] = "not-run", [TOLD_UNKNOWN] = "unknown",
	[TOLD_NOTHING] = "nothing",
};

static const char *const promise_texts[PROMISE_COUNT] = {
	[PROMISE_IN_TIME] = "every request ends by its deadline",
	[PROMISE_TOLD] = "every caller is told an outcome",
	[PROMISE_MEMORY] = "no engine loses memory",
	[PROMISE_WHOLE] = "answers are whole and the caller's own",
	[PROMISE_NOT_RUN] = "what was told not-run did not run",
	[PROMISE_AT_MOST_ONCE] = "not idempotent: at most once",
	[PROMISE_LEAVING] = "a leaving endpoint gets no new work",
};

enum told verdict_told(const char *outcome)
{
	for (int i = 0; i < TOLD_NOTHING; i++) {
		if (strcmp(outcome, told_names[i]) == 0)
			return (enum told)i;
	}
	return TOLD_NOTHING;
}

const char *verdict_told_name(enum told told)
{
	return told_names[told];
}

static guint begun(const struct verdict *v, uint64_t hash)
{
	if (!v->begun)
		return 0;
	return GPOINTER_TO_UINT(g_hash_table_lookup(v->begun, &hash));
}

static void take_record(struct verdict *v, char **field)
{
	uint64_t hash = strtoull(field[FIELD_HASH], NULL, 16);
	long long leaving = strtoll(field[FIELD_LEAVING], NULL, 10);
	char kind = field[FIELD_KIND][0];

	v->records++;
	if (kind == 'L')
		v->leavings++;
	if ((kind == 'B' || kind == 'X') && leaving > LEAVING_MAX_MS)
		v->late_begins++;
	if (kind == 'B')
		g_hash_table_replace(v->begun, g_memdup2(&hash, sizeof(hash)),
				     GUINT_TO_POINTER(begun(v, hash) + 1));
}

int verdict_read_record(struct verdict *v, const char *file)
{
	char *text;
	char **lines;

	if (!v->begun)
		v->begun = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						 g_free, NULL);
	if (!g_file_get_contents(file, &text, NULL, NULL))
		return -ENOENT;
	lines = g_strsplit(text, "\n", -1);
	for (char **l = lines; *l; l++) {
		char **field = g_strsplit(*l, " ", RECORD_FIELDS);

		if (g_strv_length(field) == RECORD_FIELDS)
			take_record(v, field);
		g_strfreev(field);
	}
	g_strfreev(lines);
	g_free(text);
	return 0;
}

static void take_away(struct verdict *v, char **word)
{
	struct verdict_away a = { .to = HUGE_VAL };

	if (!dl_vm_parse(dl_str_of(word[0]), &a.entry))
		return;
	a.from = g_ascii_strtod(word[2], NULL);
	if (strcmp(word[1], "away") == 0) {
		g_array_append_val(v->away, a);
		return;
	}
	for (guint i = 0; i < v->away->len; i++) {
		struct verdict_away *old =
			&g_array_index(v->away, struct verdict_away, i);

		if (old->entry == a.entry && isinf(old->to))
			old->to = a.from;
	}
}

int verdict_read_away(struct verdict *v, const char *file)
{
	char *text;
	char **lines;

	v->away = g_array_new(FALSE, FALSE, sizeof(struct verdict_away));
	if (!g_file_get_contents(file, &text, NULL, NULL))
		return -ENOENT;
	lines = g_strsplit(text, "\n", -1);
	for (char **l = lines; *l; l++) {
		char **word = g_strsplit(*l, " ", 3);

		if (g_strv_length(word) == 3)
			take_away(v, word);
		g_strfreev(word);
	}
	g_strfreev(lines);
	g_free(text);
	return 0;
}

/* Whether its entry was away at some time between its start and its end. */
static bool was_away(const struct verdict *v, const struct verdict_result *r)
{
	double end = r->wall_start + (r->ended - r->start);

	for (guint i = 0; v->away && i < v->away->len; i++) {
		const struct verdict_away *a =
			&g_array_index(v->away, struct verdict_away, i);

		if (a->entry == r->entry && r->wall_start <= a->to &&
		    end >= a->from - AWAY_SLACK_MS)
			return true;
	}
	return false;
}

static void check(struct verdict *v, enum promise promise,
		  const struct verdict_result *r, bool held)
{
	char vm[24];

	v->judged[promise]++;
	if (held)
		return;
	v->broken[promise]++;
	if (v->broken[promise] > FAULTS_MAX)
		return;
	g_string_append_printf(
		v->faults,
		"%s: request %" PRIu64 " id %s hash %016" PRIx64
		" through %s status %d told %s reason %s took %.0f of %u ms, "
		"ttft %.0f, begun %u times, end %d\n",
		promise_texts[promise], r->number, r->id[0] ? r->id : "-",
		r->hash, dl_vm_text(r->entry, vm), r->status,
		told_names[r->told], r->reason[0] ? r->reason : "-",
		r->ended - r->start, r->deadline_ms, r->ttft, begun(v, r->hash),
		r->end);
}

static void judge_one(struct verdict *v, const struct verdict_result *r)
{
	if (!r->excused) {
		check(v, PROMISE_IN_TIME, r,
		      r->ended - r->start <=
			      (double)r->deadline_ms + v->slack_ms);
		check(v, PROMISE_TOLD, r, r->told != TOLD_NOTHING);
	}
	if (r->told == TOLD_DONE)
		check(v, PROMISE_WHOLE, r,
		      r->right && !r->garbled && !r->cut_done_mark);
	else if (r->status == 200)
		check(v, PROMISE_WHOLE, r, r->part && !r->garbled);
	if (!v->begun)
		return;
	if (r->told == TOLD_NOT_RUN)
		check(v, PROMISE_NOT_RUN, r, begun(v, r->hash) == 0);
	if (r->told == TOLD_DONE)
		check(v, PROMISE_WHOLE, r, begun(v, r->hash) > 0);
	if (!r->idempotent)
		check(v, PROMISE_AT_MOST_ONCE, r, begun(v, r->hash) <= 1);
}

void verdict_judge(struct verdict *v, GPtrArray *results)
{
	v->faults = g_string_new(NULL);
	for (guint i = 0; i < results->len; i++) {
		struct verdict_result *r = g_ptr_array_index(results, i);

		r->excused = was_away(v, r);
		judge_one(v, r);
	}
	v->judged[PROMISE_MEMORY] = v->engines_alive;
	v->broken[PROMISE_MEMORY] = v->memory_left > 0;
	if (v->memory_left)
		g_string_append_printf(v->faults,
				       "memory: %" PRIu64
				       " tokens are still held\n",
				       v->memory_left);
	v->judged[PROMISE_LEAVING] = v->leavings;
	v->broken[PROMISE_LEAVING] = v->late_begins;
	if (v->late_begins)
		g_string_append_printf(v->faults,
				       "leaving: %u requests came later than "
				       "%d ms after it was said\n",
				       v->late_begins, LEAVING_MAX_MS);
}

static int by_value(const void *a, const void *b)
{
	const double *x = a;
	const double *y = b;

	return (*x > *y) - (*x < *y);
}

static double at_rank(const GArray *sorted, double rank)
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
		out->told[r->told]++;
		if (r->told == TOLD_DONE)
			g_array_append_val(ttft, r->ttft);
	}
	g_array_sort(ttft, by_value);
	out->ttft[0] = at_rank(ttft, 0.50);
	out->ttft[1] = at_rank(ttft, 0.95);
	out->ttft[2] = at_rank(ttft, 0.99);
	g_array_free(ttft, TRUE);
}

/* "held", "broken", or "not tested" where nothing was there to judge. */
void verdict_print(const struct verdict *v, FILE *to)
{
	for (int i = 0; i < PROMISE_COUNT; i++) {
		const char *word = v->broken[i] ? "broken" : "held";

		if (!v->judged[i])
			word = "untested";
		fprintf(to, "%-9s %s (%u judged, %u broken)\n", word,
			promise_texts[i], v->judged[i], v->broken[i]);
	}
}

void verdict_faults(const struct verdict *v, FILE *to)
{
	fputs(v->faults->str, to);
}

bool verdict_held(const struct verdict *v)
{
	for (int i = 0; i < PROMISE_COUNT; i++) {
		if (v->broken[i])
			return false;
	}
	return true;
}
