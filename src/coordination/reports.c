/* Cache of endpoint reports by key; see the header. */
#include "daisyledge/reports.h"

#include <glib.h>

/* More than any deployment has endpoints; further reports are not cached. */
#define REPORTS_MAX 8192

/*
 * Limit on the rate of keys that a VM receives from all that relay them, in
 * bytes per second, and the longest interval between relays of an endpoint
 * that this limit may cause. An endpoint that is not reported for 6 s is taken
 * for gone, and its own reports may be late by seconds.
 */
#define KEY_BYTES_PER_S	   1500
#define KEY_BYTES	   9
#define RELAY_DELAY_MAX_MS 2000
#define MS_PER_S	   1000

struct report {
	uint64_t key;
	int64_t last_received;
	int64_t last_relayed; /* last told to peers */
	GBytes *body;
	char *instance;
};

struct dl_reports {
	GHashTable *by_key;	 /* owns the reports */
	GHashTable *by_instance; /* latest report of each instance */
};

static void report_free(gpointer p)
{
	struct report *report = p;

	g_bytes_unref(report->body);
	g_free(report->instance);
	g_free(report);
}

/* Creates an empty cache. */
struct dl_reports *dl_reports_new(void)
{
	struct dl_reports *r = g_new0(struct dl_reports, 1);

	r->by_key = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					  report_free);
	r->by_instance = g_hash_table_new(g_str_hash, g_str_equal);
	return r;
}

/* Frees the cache; NULL is allowed. */
void dl_reports_free(struct dl_reports *reports)
{
	if (!reports)
		return;
	g_hash_table_destroy(reports->by_instance);
	g_hash_table_destroy(reports->by_key);
	g_free(reports);
}

/*
 * Removes an instance from the index, unless it has sent another report since.
 */
static void unindex_instance(struct dl_reports *reports,
			     const struct report *report)
{
	if (g_hash_table_lookup(reports->by_instance, report->instance) ==
	    report)
		g_hash_table_remove(reports->by_instance, report->instance);
}

/* Stores a report. Only the latest one of each instance is kept. */
bool dl_reports_add(struct dl_reports *reports, struct dl_str instance,
		    struct dl_str text, int64_t now, uint64_t *key)
{
	struct report *report;

	*key = dl_hash(text, 0);
	report = g_hash_table_lookup(reports->by_key, key);
	if (report) {
		report->last_received = now;
		return false;
	}
	dl_reports_remove(reports, instance);
	if (dl_reports_count(reports) >= REPORTS_MAX)
		return true;
	report = g_new0(struct report, 1);
	report->key = *key;
	report->last_received = now;
	report->last_relayed = now;
	report->body = g_bytes_new(text.s, text.n);
	report->instance = g_strndup(instance.s, instance.n);
	g_hash_table_insert(reports->by_key, &report->key, report);
	g_hash_table_insert(reports->by_instance, report->instance, report);
	return true;
}

/* Returns the report text of a key. */
struct dl_str dl_reports_find(const struct dl_reports *reports, uint64_t key)
{
	const struct report *report =
		g_hash_table_lookup(reports->by_key, &key);
	struct dl_str text = { "", 0 };

	if (report)
		text.s = g_bytes_get_data(report->body, &text.n);
	return text;
}

/* Whether a report was received at or after a given time. */
bool dl_reports_received_since(const struct dl_reports *reports, uint64_t key,
			       int64_t since)
{
	const struct report *report =
		g_hash_table_lookup(reports->by_key, &key);

	return report && report->last_received >= since;
}

/*
 * Whether a relay is due. The interval grows with the number of endpoints, here
 * and, by estimate, at the other VMs that relay.
 */
bool dl_reports_relay_due(struct dl_reports *reports, uint64_t key,
			  uint32_t relays, int64_t now)
{
	struct report *report = g_hash_table_lookup(reports->by_key, &key);
	int64_t every = (int64_t)dl_reports_count(reports) * relays *
			KEY_BYTES * MS_PER_S / KEY_BYTES_PER_S;

	if (!report ||
	    now - report->last_relayed < MIN(every, RELAY_DELAY_MAX_MS))
		return false;
	report->last_relayed = now;
	return true;
}

/* Records that a report was received again. */
void dl_reports_refresh(struct dl_reports *reports, uint64_t key, int64_t now)
{
	struct report *report = g_hash_table_lookup(reports->by_key, &key);

	if (report)
		report->last_received = now;
}

/* Removes the report of an instance. */
void dl_reports_remove(struct dl_reports *reports, struct dl_str instance)
{
	char *name = g_strndup(instance.s, instance.n);
	struct report *report = g_hash_table_lookup(reports->by_instance, name);

	if (report) {
		unindex_instance(reports, report);
		g_hash_table_remove(reports->by_key, &report->key);
	}
	g_free(name);
}

/* Removes reports that were last received before a given time. */
void dl_reports_expire(struct dl_reports *reports, int64_t before)
{
	struct report *report;
	GHashTableIter iter;

	g_hash_table_iter_init(&iter, reports->by_key);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&report)) {
		if (report->last_received >= before)
			continue;
		unindex_instance(reports, report);
		g_hash_table_iter_remove(&iter);
	}
}

/* Returns the number of cached reports. */
uint32_t dl_reports_count(const struct dl_reports *reports)
{
	return g_hash_table_size(reports->by_key);
}
