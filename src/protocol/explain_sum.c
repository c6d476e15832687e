/*
 * Statistics over many requests: the lost ones by service, interval and reason,
 * and where the late ones spent their time.
 */
#include "protocol/explain.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

/* More rows would not help a reader; losses beyond them are only counted. */
#define ROWS_MAX 4096

/* Requests of one service that ended in one interval for the same reason. */
struct lost_row {
	int64_t at; /* start of the interval, Unix ms */
	char *service, *outcome, *reason;
	uint64_t count;
};

/* Late requests of one service that spent most of their time in one part. */
struct late_row {
	char *service;
	enum explain_part part;
	uint64_t count;
	int64_t ms; /* total time spent in that part */
};

struct explain_sum {
	int64_t interval_ms;
	uint64_t requests, served, late;
	GHashTable *lost_rows;	  /* by time, service, outcome, reason */
	GHashTable *late_rows;	  /* by service and part */
	uint64_t lost_not_listed; /* lost requests beyond ROWS_MAX rows */
};

static void lost_free(gpointer p)
{
	struct lost_row *l = p;

	g_free(l->service);
	g_free(l->outcome);
	g_free(l->reason);
	g_free(l);
}

static void late_free(gpointer p)
{
	g_free(((struct late_row *)p)->service);
	g_free(p);
}

/* Creates empty statistics. */
struct explain_sum *explain_sum_new(int64_t interval_ms)
{
	struct explain_sum *sum = g_new0(struct explain_sum, 1);

	sum->interval_ms = interval_ms;
	sum->lost_rows = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					       lost_free);
	sum->late_rows = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					       late_free);
	return sum;
}

/* Frees statistics; NULL is allowed. */
void explain_sum_free(struct explain_sum *sum)
{
	if (!sum)
		return;
	g_hash_table_destroy(sum->lost_rows);
	g_hash_table_destroy(sum->late_rows);
	g_free(sum);
}

static char *text_of(const struct dl_logline *l, const char *key)
{
	struct dl_str s = dl_logline_field(l, key);

	return g_strndup(s.s, s.n);
}

/* Returns why a request was lost: the logged reason, or else the status. */
static char *lost_reason(const struct dl_logline *l)
{
	struct dl_str status = dl_logline_field(l, "status");

	if (!dl_str_eq(dl_logline_field(l, "reason"), DL_STR("none")))
		return text_of(l, "reason");
	return g_strdup_printf("status %.*s", (int)status.n, status.s);
}

static void count_lost(struct explain_sum *sum, const struct dl_logline *l)
{
	struct lost_row one = { .at = l->at - l->at % sum->interval_ms,
				.service = text_of(l, "service"),
				.outcome = text_of(l, "outcome"),
				.reason = lost_reason(l) };
	char *key = g_strdup_printf("%" G_GINT64_FORMAT " %s %s %s", one.at,
				    one.service, one.outcome, one.reason);
	struct lost_row *known = g_hash_table_lookup(sum->lost_rows, key);

	if (!known && g_hash_table_size(sum->lost_rows) < ROWS_MAX) {
		known = g_memdup2(&one, sizeof(one));
		g_hash_table_insert(sum->lost_rows, key, known);
		known->count = 1;
		return;
	}
	if (known)
		known->count++;
	else
		sum->lost_not_listed++;
	g_free(one.service);
	g_free(one.outcome);
	g_free(one.reason);
	g_free(key);
}

static void count_late(struct explain_sum *sum, const struct dl_logline *l)
{
	int64_t ms[EXPLAIN_PARTS];
	enum explain_part most = explain_largest_part(l, ms);
	char *service = text_of(l, "service");
	char *key = g_strdup_printf("%s %d", service, most);
	struct late_row *known = g_hash_table_lookup(sum->late_rows, key);

	sum->late++;
	if (!known) {
		known = g_new0(struct late_row, 1);
		known->service = service;
		known->part = most;
		g_hash_table_insert(sum->late_rows, key, known);
	} else {
		g_free(service);
		g_free(key);
	}
	known->count++;
	known->ms += ms[most];
}

/* Counts a line if it reports the end of a request. */
void explain_sum_add_line(struct explain_sum *sum, struct dl_str line)
{
	struct dl_logline l;

	if (dl_logline_read(line, &l) || !explain_is_end(&l))
		return;
	sum->requests++;
	if (!dl_str_eq(dl_logline_field(&l, "outcome"), DL_STR("done"))) {
		count_lost(sum, &l);
		return;
	}
	sum->served++;
	if (explain_is_late(&l))
		count_late(sum, &l);
}

static gint lost_order(gconstpointer a, gconstpointer b)
{
	const struct lost_row *x = a, *y = b;

	if (x->at != y->at)
		return x->at < y->at ? -1 : 1;
	if (x->count != y->count)
		return x->count > y->count ? -1 : 1;
	if (strcmp(x->service, y->service) != 0)
		return strcmp(x->service, y->service);
	return strcmp(x->reason, y->reason);
}

static gint late_order(gconstpointer a, gconstpointer b)
{
	const struct late_row *x = a, *y = b;
	int by_service = strcmp(x->service, y->service);

	return by_service ? by_service : (y->ms > x->ms) - (y->ms < x->ms);
}

static json_t *lost_json(const struct explain_sum *sum)
{
	GList *rows = g_list_sort(g_hash_table_get_values(sum->lost_rows),
				  lost_order);
	json_t *all = json_array();

	for (GList *at = rows; at; at = at->next) {
		const struct lost_row *l = at->data;

		json_array_append_new(
			all,
			json_pack("{s:I, s:s, s:s, s:s, s:I}", "at_ms",
				  (json_int_t)l->at, "service", l->service,
				  "outcome", l->outcome, "reason", l->reason,
				  "count", (json_int_t)l->count));
	}
	g_list_free(rows);
	return all;
}

static json_t *late_json(const struct explain_sum *sum)
{
	GList *rows = g_list_sort(g_hash_table_get_values(sum->late_rows),
				  late_order);
	json_t *all = json_array();

	for (GList *at = rows; at; at = at->next) {
		const struct late_row *l = at->data;

		json_array_append_new(
			all,
			json_pack("{s:s, s:s, s:I, s:I}", "service", l->service,
				  "where", explain_part_name(l->part), "count",
				  (json_int_t)l->count, "mean_ms",
				  (json_int_t)(l->ms / (int64_t)l->count)));
	}
	g_list_free(rows);
	return all;
}

/* Returns all statistics as one object. */
json_t *explain_sum_json(struct explain_sum *sum)
{
	return json_pack("{s:I, s:I, s:I, s:I, s:o, s:o}", "requests",
			 (json_int_t)sum->requests, "served",
			 (json_int_t)sum->served, "served_late",
			 (json_int_t)sum->late, "lost_not_listed",
			 (json_int_t)sum->lost_not_listed, "lost",
			 lost_json(sum), "late", late_json(sum));
}
