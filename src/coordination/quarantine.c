/* Requests under which endpoints crash; see the header. */
#include "daisyledge/quarantine.h"

#include <glib.h>

/*
 * A request is held back for so long after the last crash.  Then it may run
 * once more: what it ran into may have been mended.
 */
#define HELD_MS ((int64_t)60 * 60 * 1000)
/* A crash counts for so long; requests that come more seldom do little harm. */
#define SUSPECT_MS ((int64_t)10 * 60 * 1000)
/* A request that was held back is known for so long, to be held back again. */
#define KNOWN_MS ((int64_t)24 * 60 * 60 * 1000)
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
#define BROKE_MS  10000
#define BROKE_MAX 512

/* One request under which endpoints crashed. */
struct record {
	uint64_t request;
	uint64_t start[DL_QUARANTINE_CRASHES];
	uint32_t crashes;
	uint32_t oldest; /* of start, once there are so many */
	int64_t last;	 /* crash */
};

/* One attempt that broke off. */
struct broken {
	uint64_t request;
	uint64_t start;
	int64_t at;
};

struct dl_quarantine {
	GHashTable *records;
	struct broken broken[BROKE_MAX]; /* a ring */
	uint32_t broken_at;
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
void dl_quarantine_broke(struct dl_quarantine *q, uint64_t request,
			 uint64_t start, int64_t now)
{
	struct broken *b = &q->broken[q->broken_at++ % BROKE_MAX];

	*b = (struct broken){ request, start, now };
}

/* Take one attempt that broke off at a start out of the ring. */
bool dl_quarantine_crashed(struct dl_quarantine *q, uint64_t start, int64_t now,
			   struct dl_crash *out)
{
	for (uint32_t i = 0; i < BROKE_MAX; i++) {
		struct broken *b = &q->broken[i];

		if (!b->request || b->start != start || now - b->at >= BROKE_MS)
			continue;
		*out = (struct dl_crash){ b->request, start,
					  (uint32_t)(now - b->at) };
		b->request = 0;
		return true;
	}
	return false;
}

static bool is_held(const struct record *r, int64_t now)
{
	return r->crashes == DL_QUARANTINE_CRASHES && now - r->last < HELD_MS;
}

static bool is_over(const struct record *r, int64_t now)
{
	return now - r->last >=
	       (r->crashes == DL_QUARANTINE_CRASHES ? KNOWN_MS : SUSPECT_MS);
}

static bool has_start(const struct record *r, uint64_t start)
{
	for (uint32_t i = 0; i < r->crashes; i++) {
		if (r->start[i] == start)
			return true;
	}
	return false;
}

static bool goes_first(const struct record *a, const struct record *b)
{
	bool a_full = a->crashes == DL_QUARANTINE_CRASHES;
	bool b_full = b->crashes == DL_QUARANTINE_CRASHES;

	return a_full == b_full ? a->last < b->last : b_full;
}

static void make_place(struct dl_quarantine *q)
{
	const struct record *first = NULL;
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, q->records);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		if (!first || goes_first(value, first))
			first = value;
	}
	if (first)
		g_hash_table_remove(q->records, &first->request);
}

static struct record *record_of(struct dl_quarantine *q, uint64_t request)
{
	struct record *r = g_hash_table_lookup(q->records, &request);

	if (r)
		return r;
	if (g_hash_table_size(q->records) >= REQUESTS_MAX)
		make_place(q);
	r = g_new0(struct record, 1);
	r->request = request;
	g_hash_table_insert(q->records, &r->request, r);
	return r;
}

/*
 * Crashes beyond those that hold a request back are no news while it is held:
 * they are of attempts that were on their way.
 */
bool dl_quarantine_note(struct dl_quarantine *q, const struct dl_crash *crash,
			int64_t now)
{
	int64_t at = now - crash->age_ms;
	struct record *r;
	bool held;

	if (!crash->start)
		return g_hash_table_remove(q->records, &crash->request);
	if (!crash->request || crash->age_ms >= KNOWN_MS)
		return false;
	r = record_of(q, crash->request);
	held = is_held(r, now);
	if (!r->crashes || at > r->last)
		r->last = at;
	if (held || has_start(r, crash->start))
		return false;
	if (r->crashes < DL_QUARANTINE_CRASHES)
		r->start[r->crashes++] = crash->start;
	else
		r->start[r->oldest++ % DL_QUARANTINE_CRASHES] = crash->start;
	return true;
}

/* Whether a request is known here. */
bool dl_quarantine_suspects(const struct dl_quarantine *q, uint64_t request)
{
	return g_hash_table_contains(q->records, &request);
}

/* How long a request is still held back; 0 where it is not. */
uint32_t dl_quarantine_left_ms(const struct dl_quarantine *q, uint64_t request,
			       int64_t now)
{
	const struct record *r = g_hash_table_lookup(q->records, &request);

	if (!r || !is_held(r, now))
		return 0;
	return (uint32_t)(r->last + HELD_MS - now);
}

/* Tell each crash that still counts. */
void dl_quarantine_each(const struct dl_quarantine *q, int64_t now,
			void (*each)(void *arg, const struct dl_crash *crash),
			void *arg)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, q->records);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct record *r = value;
		struct dl_crash crash = { .request = r->request,
					  .age_ms = (uint32_t)(now - r->last) };

		for (uint32_t i = 0; i < r->crashes && !is_over(r, now); i++) {
			crash.start = r->start[i];
			each(arg, &crash);
		}
	}
}

static gboolean over(gpointer key, gpointer value, gpointer now)
{
	return is_over(value, *(const int64_t *)now);
}

/* Drop requests whose crashes are too long ago. */
void dl_quarantine_forget(struct dl_quarantine *q, int64_t now)
{
	g_hash_table_foreach_remove(q->records, over, &now);
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
