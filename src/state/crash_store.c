#include "daisyledge/crash_store.h"

#include <errno.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#define FILE_NAME "crashes"
#define TMP_NAME  "crashes.tmp"
#define FORMAT	  1

/*
 * Header of the file, which is followed by the crashes. The hash covers all
 * that follows it.
 */
struct file_header {
	uint64_t hash;
	uint64_t format;
	int64_t wall_ms; /* time of the save */
	uint64_t count;
};

struct dl_crash_store {
	struct dl_disk disk;
	struct dl_disk_done saved;
	GByteArray *file; /* kept until the save has ended */
	bool busy;
};

static void on_written(void *arg, int code);
static void on_synced(void *arg, int code);
static void on_renamed(void *arg, int code);
static void on_saved(void *arg, int code);

/* Create a store; it reads and writes nothing yet. */
struct dl_crash_store *dl_crash_store_new(struct dl_disk disk,
					  struct dl_disk_done saved)
{
	struct dl_crash_store *store = g_new0(struct dl_crash_store, 1);

	store->disk = disk;
	store->saved = saved;
	store->file = g_byte_array_new();
	return store;
}

/* Free a store, which may be NULL. */
void dl_crash_store_free(struct dl_crash_store *store)
{
	if (!store)
		return;
	g_byte_array_free(store->file, TRUE);
	g_free(store);
}

static uint64_t hash_of(const char *file, size_t n)
{
	size_t from = sizeof(uint64_t);

	return dl_hash((struct dl_str){ file + from, n - from }, FORMAT);
}

/*
 * Decode a file. Bytes after the last crash may remain from a longer file that
 * was overwritten.
 */
static int decode(const char *file, size_t n, int64_t wall_ms,
		  struct dl_crash *out, uint32_t *count)
{
	struct file_header h;
	int64_t elapsed_ms;

	if (n < sizeof(h))
		return DL_EDAMAGED;
	memcpy(&h, file, sizeof(h));
	if (h.format != FORMAT || h.count > DL_CRASH_STORE_MAX ||
	    n < sizeof(h) + h.count * sizeof(*out) ||
	    h.hash != hash_of(file, sizeof(h) + h.count * sizeof(*out)))
		return DL_EDAMAGED;
	memcpy(out, file + sizeof(h), h.count * sizeof(*out));
	/* The wall clock may have been set back. */
	elapsed_ms = MAX(wall_ms - h.wall_ms, 0);
	for (uint32_t i = 0; i < h.count; i++)
		out[i].age_ms = (uint32_t)MIN(out[i].age_ms + elapsed_ms,
					      (int64_t)UINT32_MAX);
	*count = (uint32_t)h.count;
	return 0;
}

/* Read the file; a missing file is not an error. */
int dl_crash_store_read(const struct dl_crash_store *store, int64_t wall_ms,
			struct dl_crash *out, uint32_t *count)
{
	char *file;
	size_t n;
	int code;

	*count = 0;
	code = store->disk.ops->read(store->disk.disk, FILE_NAME, &file, &n);
	if (code)
		return code == -ENOENT ? 0 : code;
	code = decode(file, n, wall_ms, out, count);
	free(file);
	return code;
}

static struct dl_disk_done callback(struct dl_crash_store *store,
				    void (*fn)(void *arg, int code))
{
	return (struct dl_disk_done){ fn, store };
}

static void end_save(struct dl_crash_store *store, int code)
{
	store->busy = false;
	store->saved.fn(store->saved.arg, code);
}

static void on_written(void *arg, int code)
{
	struct dl_crash_store *store = arg;

	if (code)
		end_save(store, code);
	else
		store->disk.ops->sync(store->disk.disk, TMP_NAME,
				      callback(store, on_synced));
}

static void on_synced(void *arg, int code)
{
	struct dl_crash_store *store = arg;

	if (code)
		end_save(store, code);
	else
		store->disk.ops->rename(store->disk.disk, TMP_NAME, FILE_NAME,
					callback(store, on_renamed));
}

static void on_renamed(void *arg, int code)
{
	struct dl_crash_store *store = arg;

	if (code)
		end_save(store, code);
	else
		store->disk.ops->sync_dir(store->disk.disk,
					  callback(store, on_saved));
}

static void on_saved(void *arg, int code)
{
	end_save(arg, code);
}

/*
 * Write a temporary file and rename it over the old one, which stays in
 * place until the new one is synced.
 */
void dl_crash_store_save(struct dl_crash_store *store,
			 const struct dl_crash *crashes, uint32_t count,
			 int64_t wall_ms)
{
	struct file_header h = { .format = FORMAT,
				 .wall_ms = wall_ms,
				 .count = MIN(count, DL_CRASH_STORE_MAX) };
	GByteArray *file = store->file;

	g_byte_array_set_size(file, 0);
	g_byte_array_append(file, (const guint8 *)&h, sizeof(h));
	g_byte_array_append(file, (const guint8 *)crashes,
			    (guint)(h.count * sizeof(*crashes)));
	h.hash = hash_of((const char *)file->data, file->len);
	memcpy(file->data, &h, sizeof(h));
	store->busy = true;
	store->disk.ops->write(store->disk.disk, TMP_NAME, 0,
			       (struct dl_str){ (const char *)file->data,
						file->len },
			       callback(store, on_written));
}

bool dl_crash_store_busy(const struct dl_crash_store *store)
{
	return store->busy;
}
