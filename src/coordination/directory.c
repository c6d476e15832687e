/*
 * Directory of endpoints: one entry for each address, with its latest instance.
 */
#include "daisyledge/directory.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

/* More addresses than any deployment uses; further ones are ignored. */
#define ENTRIES_MAX 8192
/* Where there is no room, entries that were silent for this long make some. */
#define STALE_ENTRY_MS 60000
/* Interval of looking for them: it takes a pass over all entries. */
#define STALE_SCAN_MS 1000

struct dl_directory {
	GHashTable *by_address; /* address to its entry, which the table owns */
	GHashTable *by_instance; /* instance name to its entry */
	struct dl_departures *departures;
	uint64_t incarnations;
	int64_t scanned_at; /* for stale entries; 0: not yet */
};

/*
 * How long after its last announcement an instance is taken to be still at its
 * address: two announcement periods of 1.2 s, and a delay.
 */
#define ACTIVE_TIMEOUT_MS 3000

static bool is_same_instance(const struct dl_directory_entry *e,
			     const struct dl_directory_update *update);
static bool is_superseded(const struct dl_directory_entry *e,
			  const struct dl_directory_update *update,
			  int64_t now);
static void begin_instance(struct dl_directory *dir,
			   struct dl_directory_entry *e,
			   const struct dl_directory_update *update);
static enum dl_directory_result
mark_leaving(struct dl_directory_entry *e,
	     const struct dl_directory_update *update);
static enum dl_directory_result
apply_by_instance(struct dl_directory *dir,
		  const struct dl_directory_update *update,
		  const struct dl_directory_entry **entry);
static struct dl_directory_entry *entry_at(struct dl_directory *dir,
					   struct dl_str address, int64_t now);
static bool claim_instance_name(struct dl_directory *dir,
				struct dl_directory_entry *e,
				const struct dl_directory_update *update,
				const struct dl_directory_entry **superseded);

/* Creates an empty directory. */
struct dl_directory *dl_directory_new(void)
{
	struct dl_directory *dir = g_new0(struct dl_directory, 1);

	dir->by_address =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	dir->by_instance = g_hash_table_new(g_str_hash, g_str_equal);
	dir->departures = dl_departures_new();
	return dir;
}

/* Frees a directory; NULL is allowed. */
void dl_directory_free(struct dl_directory *dir)
{
	if (!dir)
		return;
	dl_departures_free(dir->departures);
	g_hash_table_destroy(dir->by_instance);
	g_hash_table_destroy(dir->by_address);
	g_free(dir);
}

/* Returns the departures of instances. */
struct dl_departures *dl_directory_departures(const struct dl_directory *dir)
{
	return dir->departures;
}

/* Whether an announcement is from the instance that an entry holds. */
static bool is_same_instance(const struct dl_directory_entry *e,
			     const struct dl_directory_update *update)
{
	return dl_name_eq(&e->instance, update->instance) &&
	       (!update->born || !e->born || update->born == e->born);
}

/* Whether the instance of an entry is taken to be still at its address. */
static bool is_active(const struct dl_directory_entry *e, int64_t now)
{
	return !e->leaving && now - e->last_seen < ACTIVE_TIMEOUT_MS;
}

/*
 * Whether an instance that another one replaced at its address is back: what it
 * says now is newer than what it said before, and it started later than the
 * other one, or that one is not there any more. An older instance may have
 * taken its place with a late announcement, while this one was silent.
 */
static bool has_returned(const struct dl_directory_entry *e,
			 const struct dl_directory_previous *p,
			 const struct dl_directory_update *update, int64_t now)
{
	if (update->sequence <= p->sequence)
		return false;
	return (update->born && update->born > e->born) || !is_active(e, now);
}

/*
 * Whether an announcement is from an instance that was superseded at its
 * address.
 *
 * Among instances of one name, the later start time wins. An instance of
 * another name that was at the address before returns only if it started again
 * or has_returned(). One that was never seen is stale if it started before the
 * current one and the current one is still being announced. If it is not, the
 * new one is accepted whatever its start time, so that a clock that stepped
 * back does not keep an endpoint out.
 */
static bool is_superseded(const struct dl_directory_entry *e,
			  const struct dl_directory_update *update, int64_t now)
{
	if (!e->instance.n)
		return false;
	if (dl_name_eq(&e->instance, update->instance))
		return update->born < e->born;
	for (uint32_t i = 0; i < DL_DIRECTORY_PREVIOUS_MAX; i++) {
		const struct dl_directory_previous *p = &e->previous[i];

		if (dl_name_eq(&p->instance, update->instance) &&
		    (!update->born || !p->born || update->born <= p->born))
			return !has_returned(e, p, update, now);
	}
	return update->born && update->born < e->born && is_active(e, now);
}

/*
 * Removes the name of an entry's instance from the index, unless another
 * address has taken it over.
 */
static void unindex_instance(struct dl_directory *dir,
			     const struct dl_directory_entry *e)
{
	if (g_hash_table_lookup(dir->by_instance, e->instance.s) == e)
		g_hash_table_remove(dir->by_instance, e->instance.s);
}

/* Puts a new instance into an entry; no state of the previous one is kept. */
static void begin_instance(struct dl_directory *dir,
			   struct dl_directory_entry *e,
			   const struct dl_directory_update *update)
{
	if (e->instance.n) {
		struct dl_directory_previous *prev =
			&e->previous[e->previous_next++ %
				     DL_DIRECTORY_PREVIOUS_MAX];

		unindex_instance(dir, e);
		prev->instance = e->instance;
		prev->born = e->born;
		prev->sequence = e->sequence;
	}
	dl_name_set(&e->instance, update->instance);
	g_hash_table_replace(dir->by_instance, e->instance.s, e);
	e->incarnation = ++dir->incarnations;
	e->sequence = 0;
	e->born = 0;
	e->leaving = false;
	e->departure = (struct dl_leaving){ 0 };
	e->staying_at = 0;
}

/*
 * Records that an instance is leaving. An instance that is new here may have
 * left at any time before, as far as the announcement does not date it.
 */
static enum dl_directory_result
mark_leaving(struct dl_directory_entry *e,
	     const struct dl_directory_update *update)
{
	dl_leaving_note(&e->departure,
			update->left_since ? update->left_since :
					     DL_LEAVING_UNDATED,
			update->left_now);
	if (e->leaving)
		return DL_DIRECTORY_KNOWN;
	e->leaving = true;
	return DL_DIRECTORY_LEAVING;
}

/*
 * Adds to the departures what an announcement says, or, of an instance that
 * departed, refreshes its departure; e is the entry of the instance, or NULL.
 */
static void note_departure(struct dl_directory *dir,
			   const struct dl_directory_entry *e,
			   const struct dl_directory_update *update)
{
	struct dl_departure d = { .born = update->born,
				  .since = DL_LEAVING_UNDATED,
				  .heard_at = update->left_now };

	dl_name_set(&d.instance, update->instance);
	if (!d.born && e)
		d.born = e->born;
	if (update->leaving && update->left_heard)
		d.heard_at = update->left_heard;
	if (update->leaving && update->left_since)
		d.since = update->left_since;
	if (update->leaving ||
	    dl_departures_find(dir->departures, update->instance, d.born))
		dl_departures_add(dir->departures, &d);
}

/*
 * Handles an announcement without an address, which can only report that an
 * instance is leaving.
 */
static enum dl_directory_result
apply_by_instance(struct dl_directory *dir,
		  const struct dl_directory_update *update,
		  const struct dl_directory_entry **entry)
{
	struct dl_directory_entry *e;
	struct dl_name name;

	dl_name_set(&name, update->instance);
	e = g_hash_table_lookup(dir->by_instance, name.s);
	*entry = e;
	if (update->leaving)
		note_departure(dir, e, update);
	if (!e || !update->leaving || !is_same_instance(e, update))
		return DL_DIRECTORY_STALE;
	return mark_leaving(e, update);
}

/* Whether there is room for another entry, after stale ones are removed. */
static bool make_room(struct dl_directory *dir, int64_t now)
{
	if (dl_directory_count(dir) < ENTRIES_MAX)
		return true;
	if (dir->scanned_at && now - dir->scanned_at < STALE_SCAN_MS)
		return false;
	dir->scanned_at = now;
	dl_directory_expire(dir, now - STALE_ENTRY_MS);
	return dl_directory_count(dir) < ENTRIES_MAX;
}

/*
 * Returns the entry of an address, created if needed; NULL if the directory is
 * full.
 */
static struct dl_directory_entry *entry_at(struct dl_directory *dir,
					   struct dl_str address, int64_t now)
{
	struct dl_directory_entry *e;
	struct dl_name name;

	if (!dl_name_set(&name, address))
		return NULL;
	e = g_hash_table_lookup(dir->by_address, name.s);
	if (e || !make_room(dir, now))
		return e;
	e = g_new0(struct dl_directory_entry, 1);
	e->address = name;
	g_hash_table_insert(dir->by_address, e->address.s, e);
	return e;
}

/* Marks a new instance as leaving if its departure is known. */
static void apply_departure(struct dl_directory *dir,
			    struct dl_directory_entry *e,
			    const struct dl_directory_update *update)
{
	const struct dl_departure *d = dl_departures_find(
		dir->departures, update->instance, update->born);

	if (!d || e->leaving)
		return;
	e->leaving = true;
	dl_leaving_note(&e->departure, d->since, update->left_now);
}

/*
 * Moves an instance name here from another address, where an earlier instance
 * had it; false if the other instance is the later one.
 */
static bool claim_instance_name(struct dl_directory *dir,
				struct dl_directory_entry *e,
				const struct dl_directory_update *update,
				const struct dl_directory_entry **superseded)
{
	struct dl_directory_entry *other;
	struct dl_name name;

	dl_name_set(&name, update->instance);
	other = g_hash_table_lookup(dir->by_instance, name.s);
	if (!other || other == e)
		return true;
	if (update->born < other->born)
		return false;
	other->leaving = true;
	*superseded = other;
	return true;
}

/*
 * Applies an announcement.
 *
 * That an instance is leaving is final, however late the announcement arrives
 * and whatever its sequence number: earlier announcements of the same instance
 * may still be in flight. An instance that was superseded never returns: its
 * announcement was delayed.
 */
enum dl_directory_result
dl_directory_apply(struct dl_directory *dir,
		   const struct dl_directory_update *update, int64_t now,
		   const struct dl_directory_entry **entry,
		   const struct dl_directory_entry **superseded)
{
	struct dl_directory_entry *e;
	struct dl_name name;
	bool is_new, departed;

	*entry = NULL;
	*superseded = NULL;
	if (!dl_name_set(&name, update->instance) || name.n == 0)
		return DL_DIRECTORY_STALE;
	if (update->address.n == 0)
		return apply_by_instance(dir, update, entry);
	e = entry_at(dir, update->address, now);
	if (!e)
		return DL_DIRECTORY_STALE;
	*entry = e;
	is_new = !is_same_instance(e, update);
	departed = dl_departures_find(dir->departures, update->instance,
				      update->born) != NULL;
	note_departure(dir, is_new ? NULL : e, update);
	/* One that departed takes no address from another instance. */
	if (is_new && departed && e->instance.n && !e->leaving)
		return DL_DIRECTORY_STALE;
	if (is_new && (is_superseded(e, update, now) ||
		       !claim_instance_name(dir, e, update, superseded)))
		return DL_DIRECTORY_STALE;
	if (is_new)
		begin_instance(dir, e, update);
	dl_name_set(&e->service, update->service);
	e->last_seen = now;
	if (update->born)
		e->born = update->born;
	if (update->sequence > e->sequence)
		e->sequence = update->sequence;
	if (update->leaving && !is_new)
		return mark_leaving(e, update);
	if (update->leaving)
		mark_leaving(e, update);
	apply_departure(dir, e, update);
	return is_new ? DL_DIRECTORY_NEW : DL_DIRECTORY_KNOWN;
}

/* Returns the instance known at an address, or NULL. */
const struct dl_directory_entry *
dl_directory_find(const struct dl_directory *dir, struct dl_str address)
{
	struct dl_name name;

	if (!dl_name_set(&name, address))
		return NULL;
	return g_hash_table_lookup(dir->by_address, name.s);
}

/* Returns the latest instance of a name, or NULL. */
const struct dl_directory_entry *
dl_directory_find_instance(const struct dl_directory *dir,
			   struct dl_str instance)
{
	struct dl_name name;

	if (!dl_name_set(&name, instance))
		return NULL;
	return g_hash_table_lookup(dir->by_instance, name.s);
}

/* Records that an instance was not leaving at a time. */
void dl_directory_note_staying(struct dl_directory *dir, struct dl_str address,
			       struct dl_str instance, int64_t at)
{
	struct dl_directory_entry *e;
	struct dl_name name;

	if (!dl_name_set(&name, address))
		return;
	e = g_hash_table_lookup(dir->by_address, name.s);
	if (e && !e->leaving && dl_name_eq(&e->instance, instance) &&
	    at > e->staying_at)
		e->staying_at = at;
}

/* Removes entries that were last seen before a given time. */
void dl_directory_expire(struct dl_directory *dir, int64_t before)
{
	struct dl_directory_entry *e;
	GHashTableIter iter;

	g_hash_table_iter_init(&iter, dir->by_address);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&e)) {
		if (e->last_seen >= before)
			continue;
		unindex_instance(dir, e);
		g_hash_table_iter_remove(&iter);
	}
}

/* Returns the number of known addresses. */
uint32_t dl_directory_count(const struct dl_directory *dir)
{
	return g_hash_table_size(dir->by_address);
}
