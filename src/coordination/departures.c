/* Departures of endpoint instances; see the header. */
#include "daisyledge/departures.h"

#include <glib.h>

struct dl_departures {
	GHashTable *by_instance; /* owns the departures */
	GHashTable *by_key;
	GPtrArray *ordered; /* by number */
	uint64_t last;
};

/* Creates an empty list. */
struct dl_departures *dl_departures_new(void)
{
	struct dl_departures *list = g_new0(struct dl_departures, 1);

	list->by_instance =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	list->by_key = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					     g_free, NULL);
	list->ordered = g_ptr_array_new();
	return list;
}

/* Frees a list; NULL is allowed. */
void dl_departures_free(struct dl_departures *list)
{
	if (!list)
		return;
	g_ptr_array_free(list->ordered, TRUE);
	g_hash_table_destroy(list->by_key);
	g_hash_table_destroy(list->by_instance);
	g_free(list);
}

/* Identifies a departure by the name and the start of its instance. */
uint64_t dl_departure_key(const struct dl_departure *what)
{
	return dl_hash(dl_name_str(&what->instance), what->born);
}

/* Puts a departure at the end of the order. */
static void append(struct dl_departures *list, struct dl_departure *d)
{
	uint64_t key = dl_departure_key(d);

	d->number = ++list->last;
	g_ptr_array_add(list->ordered, d);
	g_hash_table_add(list->by_key, g_memdup2(&key, sizeof(key)));
}

/* Takes a departure out of the order. */
static void take_out(struct dl_departures *list, struct dl_departure *d)
{
	uint64_t key = dl_departure_key(d);

	g_ptr_array_remove(list->ordered, d);
	g_hash_table_remove(list->by_key, &key);
}

/* Whether a departure covers the start of an instance of its name. */
static bool covers(const struct dl_departure *d, uint64_t born)
{
	return !born || !d->born || born <= d->born;
}

/* Refreshes a known departure; the latest of the earliest times bounds it. */
static void refresh(struct dl_departure *d, const struct dl_departure *what)
{
	if (what->since > d->since)
		d->since = what->since;
	if (what->heard_at > d->heard_at)
		d->heard_at = what->heard_at;
}

/* Adds a departure; see the header. */
enum dl_departures_result dl_departures_add(struct dl_departures *list,
					    const struct dl_departure *what)
{
	struct dl_departure *d =
		g_hash_table_lookup(list->by_instance, what->instance.s);

	if (d && covers(d, what->born)) {
		refresh(d, what);
		return DL_DEPARTURE_KNOWN;
	}
	if (d) {
		take_out(list, d);
	} else if (dl_departures_count(list) >= DL_DEPARTURES_MAX) {
		return DL_DEPARTURE_NO_ROOM;
	} else {
		d = g_new(struct dl_departure, 1);
		g_hash_table_insert(list->by_instance,
				    g_strdup(what->instance.s), d);
	}
	*d = *what;
	append(list, d);
	return DL_DEPARTURE_NEW;
}

/* Finds the departure of an instance; see the header. */
const struct dl_departure *dl_departures_find(const struct dl_departures *list,
					      struct dl_str instance,
					      uint64_t born)
{
	const struct dl_departure *d;
	struct dl_name name;

	if (!dl_name_set(&name, instance))
		return NULL;
	d = g_hash_table_lookup(list->by_instance, name.s);
	return d && covers(d, born) ? d : NULL;
}

/* Returns the number of the last departure. */
uint64_t dl_departures_last(const struct dl_departures *list)
{
	return list->last;
}

/* Returns the first departure with a higher number, by a binary search. */
const struct dl_departure *dl_departures_after(const struct dl_departures *list,
					       uint64_t number)
{
	guint low = 0, high = list->ordered->len;

	while (low < high) {
		guint middle = low + (high - low) / 2;
		const struct dl_departure *d = list->ordered->pdata[middle];

		if (d->number > number)
			high = middle;
		else
			low = middle + 1;
	}
	return low < list->ordered->len ? list->ordered->pdata[low] : NULL;
}

/* Whether the departure with a key is in the list. */
bool dl_departures_has_key(const struct dl_departures *list, uint64_t key)
{
	return g_hash_table_contains(list->by_key, &key);
}

/* Removes old departures in one pass. */
void dl_departures_expire(struct dl_departures *list, int64_t now)
{
	guint kept = 0;

	for (guint i = 0; i < list->ordered->len; i++) {
		struct dl_departure *d = list->ordered->pdata[i];
		uint64_t key = dl_departure_key(d);

		if (now - d->heard_at < DL_DEPARTURE_KEEP_MS) {
			list->ordered->pdata[kept++] = d;
			continue;
		}
		g_hash_table_remove(list->by_key, &key);
		g_hash_table_remove(list->by_instance, d->instance.s);
	}
	g_ptr_array_set_size(list->ordered, (gint)kept);
}

/* Returns how many departures are kept. */
uint32_t dl_departures_count(const struct dl_departures *list)
{
	return list->ordered->len;
}
