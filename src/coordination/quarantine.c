/* Quarantine of requests that crash endpoints; see the header. */
#include "daisyledge/quarantine.h"

#include <glib.h>

/*
 * Length of the quarantine, from the last crash. After it the request may run
 * once more, since the fault that it triggered may have been fixed.
 */
#define HOLD_MS ((int64_t)60 * 60 * 1000)
/* How long a crash counts; requests that arrive less often do little harm. */
#define CRASH_WINDOW_MS ((int64_t)10 * 60 * 1000)
/*
 * How long a request that was quarantined is remembered, so that one more crash
 * quarantines it again.
 */
#define RECORD_TTL_MS ((int64_t)24 * 60 * 60 * 1000)
/*
 * Maximum number of recorded requests. A crash interrupts about as many as an
 * endpoint runs at once. When the table is full, the request with the oldest
 * last crash is evicted, and those that reached DL_QUARANTINE_CRASHES only if
 * there are no others.
 */
#define REQUESTS_MAX 1024
/*
 * A restart of an endpoint is noticed within some seconds; until then it is not
 * known whether it crashed under the requests that were interrupted there.
 */
#define INTERRUPTED_MS	10000
#define INTERRUPTED_MAX 512
/*
 * A crash that is reported later than this belongs to the previous quarantine.
 */
#define RECENT_CRASH_MS 60000

/* A request under which endpoints crashed. */
struct record {
	uint64_t request;
	uint64_t starts[DL_QUARANTINE_CRASHES];
	uint32_t crashes;   /* since it was last cleared */
	uint32_t cleared;   /* times cleared */
	uint32_t next_slot; /* of starts to replace, once all are used */
	int64_t last;	    /* time of the last crash, or of the clearing */
};

/* An interrupted attempt. */
struct interrupted {
	uint64_t request;
	uint64_t start;
	int64_t at;
};

struct dl_quarantine {
	GHashTable *records;
	struct interrupted interrupted[INTERRUPTED_MAX]; /* ring buffer */
	uint32_t interrupted_next;
};

/* Creates an empty quarantine. */
struct dl_quarantine *dl_quarantine_new(void)
{
	struct dl_quarantine *q = g_new0(struct dl_quarantine, 1);

	q->records = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					   g_free);
	return q;
}

/* Frees it; NULL is allowed. */
void dl_quarantine_free(struct dl_quarantine *q)
{
	if (!q)
		return;
	g_hash_table_destroy(q->records);
	g_free(q);
}

/* Records an interrupted attempt, replacing the oldest one. */
void dl_quarantine_attempt_interrupted(struct dl_quarantine *q,
				       uint64_t request, uint64_t start,
				       int64_t now)
{
	struct interrupted *b =
		&q->interrupted[q->interrupted_next++ % INTERRUPTED_MAX];

	*b = (struct interrupted){ request, start, now };
}

/* Removes one attempt that was interrupted at an instance from the ring. */
bool dl_quarantine_next_crash(struct dl_quarantine *q, uint64_t start,
			      int64_t now, struct dl_crash *out)
{
	for (uint32_t i = 0; i < INTERRUPTED_MAX; i++) {
		struct interrupted *b = &q->interrupted[i];

		if (!b->request || b->start != start ||
		    now - b->at >= INTERRUPTED_MS)
			continue;
		*out = (struct dl_crash){
			.request = b->request,
			.start = start,
			.cleared = dl_quarantine_clear_count(q, b->request),
			.age_ms = (uint32_t)(now - b->at),
		};
		b->request = 0;
		return true;
	}
	return false;
}

static bool is_held(const struct record *r, int64_t now)
{
	return r->crashes == DL_QUARANTINE_CRASHES && now - r->last < HOLD_MS;
}

static bool is_expired(const struct record *r, int64_t now)
{
	return now - r->last >= (r->crashes == DL_QUARANTINE_CRASHES ?
					 RECORD_TTL_MS :
					 CRASH_WINDOW_MS);
}

static bool has_start(const struct record *r, uint64_t start)
{
	for (uint32_t i = 0; i < r->crashes; i++) {
		if (r->starts[i] == start)
			return true;
	}
	return false;
}

static bool evict_before(const struct record *a, const struct record *b)
{
	bool a_full = a->crashes == DL_QUARANTINE_CRASHES;
	bool b_full = b->crashes == DL_QUARANTINE_CRASHES;

	return a_full == b_full ? a->last < b->last : b_full;
}

static void evict_one(struct dl_quarantine *q)
{
	const struct record *first = NULL;
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, q->records);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		if (!first || evict_before(value, first))
			first = value;
	}
	if (first)
		g_hash_table_remove(q->records, &first->request);
}

static struct record *get_or_add_record(struct dl_quarantine *q,
					uint64_t request)
{
	struct record *r = g_hash_table_lookup(q->records, &request);

	if (r)
		return r;
	if (g_hash_table_size(q->records) >= REQUESTS_MAX)
		evict_one(q);
	r = g_new0(struct record, 1);
	r->request = request;
	r->last = INT64_MIN / 2;
	g_hash_table_insert(q->records, &r->request, r);
	return r;
}

/* Resets a record: crashes from before it was cleared no longer count. */
static void reset_crashes(struct record *r, uint32_t cleared)
{
	r->cleared = cleared;
	r->crashes = 0;
	r->next_slot = 0;
}

/*
 * Adds an instance to those that crashed. Once there are DL_QUARANTINE_CRASHES
 * of them, another one counts only if it starts a new quarantine; others belong
 * to attempts that were already running.
 */
static bool add_start(struct record *r, const struct dl_crash *crash,
		      int64_t now)
{
	if (has_start(r, crash->start))
		return false;
	if (r->crashes < DL_QUARANTINE_CRASHES) {
		r->starts[r->crashes++] = crash->start;
		return true;
	}
	if (is_held(r, now) || crash->age_ms >= RECENT_CRASH_MS)
		return false;
	r->starts[r->next_slot++ % DL_QUARANTINE_CRASHES] = crash->start;
	return true;
}

/*
 * Merges a report. Reports are ordered by how often the request had been
 * cleared; those with the same count add up in any order.
 */
bool dl_quarantine_merge(struct dl_quarantine *q, const struct dl_crash *crash,
			 int64_t now)
{
	int64_t at = now - crash->age_ms;
	struct record *r;
	bool changed;

	if (!crash->request || crash->age_ms >= RECORD_TTL_MS)
		return false;
	r = get_or_add_record(q, crash->request);
	if (crash->cleared < r->cleared)
		return false;
	changed = crash->cleared > r->cleared;
	if (changed)
		reset_crashes(r, crash->cleared);
	if (crash->start && add_start(r, crash, now))
		changed = true;
	if (changed && at > r->last)
		r->last = at;
	return changed;
}

/* Whether crashes under a request are recorded. */
bool dl_quarantine_is_suspect(const struct dl_quarantine *q, uint64_t request)
{
	const struct record *r = g_hash_table_lookup(q->records, &request);

	return r && r->crashes;
}

/* Returns how often a request has been cleared. */
uint32_t dl_quarantine_clear_count(const struct dl_quarantine *q,
				   uint64_t request)
{
	const struct record *r = g_hash_table_lookup(q->records, &request);

	return r ? r->cleared : 0;
}

/* Returns the remaining quarantine in ms; 0 if there is none. */
uint32_t dl_quarantine_remaining_ms(const struct dl_quarantine *q,
				    uint64_t request, int64_t now)
{
	const struct record *r = g_hash_table_lookup(q->records, &request);

	if (!r || !is_held(r, now))
		return 0;
	return (uint32_t)(r->last + HOLD_MS - now);
}

/* Calls a function for each report that still counts. */
void dl_quarantine_foreach(const struct dl_quarantine *q, int64_t now,
			   void (*each)(void *arg,
					const struct dl_crash *crash),
			   void *arg)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, q->records);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct record *r = value;
		struct dl_crash crash = { .request = r->request,
					  .cleared = r->cleared,
					  .age_ms = (uint32_t)(now - r->last) };

		if (is_expired(r, now))
			continue;
		if (!r->crashes)
			each(arg, &crash);
		for (uint32_t i = 0; i < r->crashes; i++) {
			crash.start = r->starts[i];
			each(arg, &crash);
		}
	}
}

static gboolean is_expired_entry(gpointer key, gpointer value, gpointer now)
{
	return is_expired(value, *(const int64_t *)now);
}

/* Removes requests whose last crash is too long ago. */
void dl_quarantine_expire(struct dl_quarantine *q, int64_t now)
{
	g_hash_table_foreach_remove(q->records, is_expired_entry, &now);
}

/* Counts the requests in quarantine. */
uint32_t dl_quarantine_count(const struct dl_quarantine *q, int64_t now)
{
	uint32_t count = 0;
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, q->records);
	while (g_hash_table_iter_next(&it, NULL, &value))
		count += is_held(value, now);
	return count;
}
