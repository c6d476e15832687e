/* Requests under which endpoints crash; see the header. */
#include "daisyledge/quarantine.h"

#include <glib.h>

/*
 * A request is held back for so long after the last crash.  Then it may run
 * once more: what it ran into may have been mended.
 */
#define HOLD_MS ((int64_t)60 * 60 * 1000)
/* A crash counts for so long; requests that come more seldom do little harm. */
#define CRASH_WINDOW_MS ((int64_t)10 * 60 * 1000)
/* A request that was held back is known for so long, to be held back again. */
#define RECORD_TTL_MS ((int64_t)24 * 60 * 60 * 1000)
/*
 * Requests that are known.  A crash breaks about as many as an endpoint runs at
 * once; past this the one whose last crash is longest ago makes place, of those
 * that are not held back while there are any.
 */
#define REQUESTS_MAX 1024
/*
 * A restart shows within some seconds; until then it is open whether an
 * endpoint crashed under what broke off there.
 */
#define INTERRUPTED_MS	10000
#define INTERRUPTED_MAX 512
/* A crash that is told later than this is of the hour before. */
#define RECENT_CRASH_MS 60000

/* One request under which endpoints crashed. */
struct record {
	uint64_t request;
	uint64_t starts[DL_QUARANTINE_CRASHES];
	uint32_t crashes;   /* since it was cleared */
	uint32_t cleared;   /* so often */
	uint32_t next_slot; /* of start, once there are so many */
	int64_t last;	    /* crash, or when it was cleared */
};

/* One attempt that broke off. */
struct interrupted {
	uint64_t request;
	uint64_t start;
	int64_t at;
};

struct dl_quarantine {
	GHashTable *records;
	struct interrupted broken[INTERRUPTED_MAX]; /* a ring */
	uint32_t interrupted_next;
};

/* Nothing is known yet. */
struct dl_quarantine *dl_quarantine_new(void)
{
	struct dl_quarantine *q = g_new0(struct dl_quarantine, 1);

	q->records = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					   g_free);
	return q;
}

/* Release it; NULL is nothing to do. */
void dl_quarantine_free(struct dl_quarantine *q)
{
	if (!q)
		return;
	g_hash_table_destroy(q->records);
	g_free(q);
}

/* Note an attempt that broke off, in place of the one noted longest ago. */
void dl_quarantine_attempt_interrupted(struct dl_quarantine *q,
				       uint64_t request, uint64_t start,
				       int64_t now)
{
	struct interrupted *b =
		&q->broken[q->interrupted_next++ % INTERRUPTED_MAX];

	*b = (struct interrupted){ request, start, now };
}

/* Take one attempt that broke off at a start out of the ring. */
bool dl_quarantine_next_crash(struct dl_quarantine *q, uint64_t start,
			      int64_t now, struct dl_crash *out)
{
	for (uint32_t i = 0; i < INTERRUPTED_MAX; i++) {
		struct interrupted *b = &q->broken[i];

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

/* Begin anew: what the request was blamed for before counts no more. */
static void reset_crashes(struct record *r, uint32_t cleared)
{
	r->cleared = cleared;
	r->crashes = 0;
	r->next_slot = 0;
}

/*
 * Count a start among those that crashed.  Past the number that holds a request
 * back one counts only where it does so again: others are of attempts that were
 * on their way.
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
 * Words are ordered by how often the request had been cleared; those of one
 * such time add up in any order.
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

/* Whether crashes under a request are known. */
bool dl_quarantine_is_suspect(const struct dl_quarantine *q, uint64_t request)
{
	const struct record *r = g_hash_table_lookup(q->records, &request);

	return r && r->crashes;
}

/* How often a request has been cleared. */
uint32_t dl_quarantine_clear_count(const struct dl_quarantine *q,
				   uint64_t request)
{
	const struct record *r = g_hash_table_lookup(q->records, &request);

	return r ? r->cleared : 0;
}

/* How long a request is still held back; 0 where it is not. */
uint32_t dl_quarantine_remaining_ms(const struct dl_quarantine *q,
				    uint64_t request, int64_t now)
{
	const struct record *r = g_hash_table_lookup(q->records, &request);

	if (!r || !is_held(r, now))
		return 0;
	return (uint32_t)(r->last + HOLD_MS - now);
}

/* Tell each crash that still counts. */
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

/* Drop requests whose crashes are too long ago. */
void dl_quarantine_expire(struct dl_quarantine *q, int64_t now)
{
	g_hash_table_foreach_remove(q->records, is_expired_entry, &now);
}

/* Count the requests that are held back. */
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
