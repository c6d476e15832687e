/* Retry-after times requested by endpoints; see the header. */
#include "daisyledge/backoff.h"

#include <glib.h>

/*
 * From this many entries on, expired ones are removed each time the number of
 * entries has doubled.
 */
#define SWEEP_MIN 64

struct wait {
	uint64_t key;
	int64_t until;
};

struct dl_backoff {
	GHashTable *waits;
	uint32_t sweep_at; /* number of entries */
	int64_t latest;	   /* latest end of all waits */
};

/* Creates a table without entries. */
struct dl_backoff *dl_backoff_new(void)
{
	struct dl_backoff *b = g_new0(struct dl_backoff, 1);

	b->waits = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					 g_free);
	b->sweep_at = SWEEP_MIN;
	return b;
}

/* Frees the table; NULL is allowed. */
void dl_backoff_free(struct dl_backoff *b)
{
	if (!b)
		return;
	g_hash_table_destroy(b->waits);
	g_free(b);
}

static gboolean has_ended(gpointer key, gpointer value, gpointer now)
{
	return ((const struct wait *)value)->until <= *(const int64_t *)now;
}

/* Makes room by removing expired entries; false if the table stays full. */
static bool make_room(struct dl_backoff *b, int64_t now)
{
	uint32_t n = g_hash_table_size(b->waits);

	if (n < b->sweep_at)
		return true;
	g_hash_table_foreach_remove(b->waits, has_ended, &now);
	n = g_hash_table_size(b->waits);
	b->sweep_at = CLAMP(2 * n, SWEEP_MIN, DL_BACKOFF_MAX);
	return n < b->sweep_at;
}

/* Sets the end of a wait, unless an equal or later one is set. */
bool dl_backoff_set(struct dl_backoff *b, uint64_t key, int64_t until,
		    int64_t now)
{
	struct wait *w = g_hash_table_lookup(b->waits, &key);

	if (until <= now || (w && until <= w->until))
		return false;
	if (!w) {
		if (!make_room(b, now))
			return false;
		w = g_new(struct wait, 1);
		w->key = key;
		g_hash_table_insert(b->waits, &w->key, w);
	}
	w->until = until;
	b->latest = MAX(b->latest, until);
	return true;
}

/* Returns the remaining wait in ms. */
uint32_t dl_backoff_remaining_ms(const struct dl_backoff *b, uint64_t key,
				 int64_t now)
{
	const struct wait *w = g_hash_table_lookup(b->waits, &key);

	if (!w || w->until <= now)
		return 0;
	return (uint32_t)MIN(w->until - now, UINT32_MAX);
}

/* Whether any wait may be unexpired. */
bool dl_backoff_any_active(const struct dl_backoff *b, int64_t now)
{
	return now < b->latest;
}
