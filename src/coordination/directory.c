/* Which endpoints there are: one entry an address, the latest start's. */
#include "daisyledge/directory.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

/* More addresses than any deployment has; further ones are not taken in. */
#define ENTRIES_MAX 8192

struct dl_directory {
	GHashTable *by_address;	 /* text to its entry, which owns it */
	GHashTable *by_instance; /* text to its entry */
	uint64_t incarnations;
};

/*
 * How long after its last update an endpoint is taken to be at its address
 * still: two announcements of 1.2 s, and one that came late.
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
static enum dl_directory_result mark_leaving(struct dl_directory_entry *e);
static enum dl_directory_result
apply_by_instance(struct dl_directory *dir,
		  const struct dl_directory_update *update,
		  const struct dl_directory_entry **entry);
static struct dl_directory_entry *entry_at(struct dl_directory *dir,
					   struct dl_str address);
static bool claim_instance_name(struct dl_directory *dir,
				struct dl_directory_entry *e,
				const struct dl_directory_update *update,
				const struct dl_directory_entry **superseded);

/* An empty directory. */
struct dl_directory *dl_directory_new(void)
{
	struct dl_directory *dir = g_new0(struct dl_directory, 1);

	dir->by_address =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	dir->by_instance = g_hash_table_new(g_str_hash, g_str_equal);
	return dir;
}

/* Release a directory; NULL is nothing to do. */
void dl_directory_free(struct dl_directory *dir)
{
	if (!dir)
		return;
	g_hash_table_destroy(dir->by_instance);
	g_hash_table_destroy(dir->by_address);
	g_free(dir);
}

/* Whether a update is of the start that an entry has. */
static bool is_same_instance(const struct dl_directory_entry *e,
			     const struct dl_directory_update *update)
{
	return dl_name_eq(&e->instance, update->instance) &&
	       (!update->born || !e->born || update->born == e->born);
}

/*
 * Whether a update is of a start that the one known at its address has
 * followed. Of one name the later start counts.  Of another name, one that was
 * here does not return; one that was never heard of is late if it began before
 * the one that is there and still speaks.  Without that one it is taken in
 * whatever its clock says: a clock that stepped back must not keep an endpoint
 * out.
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

		if (dl_name_eq(&p->instance, update->instance))
			return !update->born || !p->born ||
			       update->born <= p->born;
	}
	return update->born && update->born < e->born && !e->leaving &&
	       now - e->last_seen < ACTIVE_TIMEOUT_MS;
}

/* Its start has its name no more, unless another address has taken it over. */
static void unindex_instance(struct dl_directory *dir,
			     const struct dl_directory_entry *e)
{
	if (g_hash_table_lookup(dir->by_instance, e->instance.s) == e)
		g_hash_table_remove(dir->by_instance, e->instance.s);
}

/* Another start takes an address over; it holds nothing of the one before. */
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
	}
	dl_name_set(&e->instance, update->instance);
	g_hash_table_replace(dir->by_instance, e->instance.s, e);
	e->incarnation = ++dir->incarnations;
	e->sequence = 0;
	e->born = 0;
	e->leaving = false;
}

static enum dl_directory_result mark_leaving(struct dl_directory_entry *e)
{
	if (e->leaving)
		return DL_DIRECTORY_KNOWN;
	e->leaving = true;
	return DL_DIRECTORY_LEAVING;
}

/* A update that has no address can only say that a start leaves. */
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
	if (!e || !update->leaving || !is_same_instance(e, update))
		return DL_DIRECTORY_STALE;
	return mark_leaving(e);
}

/* The entry of an address, made where there is none; NULL: there is no room. */
static struct dl_directory_entry *entry_at(struct dl_directory *dir,
					   struct dl_str address)
{
	struct dl_directory_entry *e;
	struct dl_name name;

	if (!dl_name_set(&name, address))
		return NULL;
	e = g_hash_table_lookup(dir->by_address, name.s);
	if (e || dl_directory_count(dir) >= ENTRIES_MAX)
		return e;
	e = g_new0(struct dl_directory_entry, 1);
	e->address = name;
	g_hash_table_insert(dir->by_address, e->address.s, e);
	return e;
}

/*
 * Take a name over from another address, where an earlier start of it was;
 * false where that one is the later.
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
 * Take in an announcement.
 *
 * That a start leaves is final, however late the update comes and whatever its
 * sequence says: earlier announcements of the same start may still be under
 * way.  A start that another one has followed never returns: its announcement
 * was held up on the way.
 */
enum dl_directory_result
dl_directory_apply(struct dl_directory *dir,
		   const struct dl_directory_update *update, int64_t now,
		   const struct dl_directory_entry **entry,
		   const struct dl_directory_entry **superseded)
{
	struct dl_directory_entry *e;
	struct dl_name name;
	bool is_new;

	*entry = NULL;
	*superseded = NULL;
	if (!dl_name_set(&name, update->instance) || name.n == 0)
		return DL_DIRECTORY_STALE;
	if (update->address.n == 0)
		return apply_by_instance(dir, update, entry);
	e = entry_at(dir, update->address);
	if (!e)
		return DL_DIRECTORY_STALE;
	*entry = e;
	is_new = !is_same_instance(e, update);
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
		return mark_leaving(e);
	e->leaving |= update->leaving;
	return is_new ? DL_DIRECTORY_NEW : DL_DIRECTORY_KNOWN;
}

/* The start that is known at an address, or NULL. */
const struct dl_directory_entry *
dl_directory_find(const struct dl_directory *dir, struct dl_str address)
{
	struct dl_name name;

	if (!dl_name_set(&name, address))
		return NULL;
	return g_hash_table_lookup(dir->by_address, name.s);
}

/* Forget what has been silent since before a time. */
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

/* How many addresses are known. */
uint32_t dl_directory_count(const struct dl_directory *dir)
{
	return g_hash_table_size(dir->by_address);
}
