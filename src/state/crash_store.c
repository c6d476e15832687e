#include "daisyledge/crash_store.h"

#include <errno.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#define FILE_NAME "crashes"
#define TMP_NAME  "crashes.tmp"
#define FORMAT	  2
/* Pause from the start of a failed save to the next attempt. */
#define RETRY_MS 1000
/* Longest pause between reads that fail: a read blocks the process. */
#define READ_PAUSE_MAX_MS 60000
/*
 * When to give up reading: a quarantine lasts an hour at most, so nothing that
 * was saved before this process started counts any more.
 */
#define READ_GIVE_UP_MS ((int64_t)60 * 60 * 1000)

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

/* The format of builds that knew of whole requests alone. */
#define FORMAT_REQUESTS 1

/* A crash in that format. */
struct request_crash {
	uint64_t request;
	uint64_t start;
	uint32_t cleared;
	uint32_t age_ms;
};

/* The steps of a save, in order; each waits for the one before. */
enum save_step {
	STEP_DISCARD, /* a temporary file that an earlier save left */
	STEP_WRITE,
	STEP_SYNC,
	STEP_RENAME,
	STEP_SYNC_DIR,
	STEP_END,
};

struct dl_crash_store {
	struct dl_disk disk;
	struct dl_disk_done saved;
	GByteArray *file; /* kept until the save has ended */
	enum save_step step;
	bool busy;
	bool stale_tmp;	  /* a temporary file may exist */
	int64_t saved_at; /* start of the latest save */
	bool unread;	  /* the file could not be read */
	int64_t unread_since;
	int64_t read_at; /* latest attempt to read */
	int64_t read_pause_ms;
	struct dl_crash_store_status status;
};

static void run_step(struct dl_crash_store *store);
static void step_done(void *arg, int code);
static void end_save(struct dl_crash_store *store, int code);

static const char *const step_names[] = {
	[STEP_DISCARD] = "unlink of the temporary file",
	[STEP_WRITE] = "write",
	[STEP_SYNC] = "sync",
	[STEP_RENAME] = "rename",
	[STEP_SYNC_DIR] = "sync of the folder",
};

/* Create a store; it reads and writes nothing yet. */
struct dl_crash_store *dl_crash_store_new(struct dl_disk disk,
					  struct dl_disk_done saved)
{
	struct dl_crash_store *store = g_new0(struct dl_crash_store, 1);

	store->disk = disk;
	store->saved = saved;
	store->file = g_byte_array_new();
	store->stale_tmp = true;
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

/* Hashes what follows the hash in a file of n bytes. */
static uint64_t hash_of(const char *file, size_t n, uint64_t format)
{
	size_t from = sizeof(uint64_t);

	return dl_hash((struct dl_str){ file + from, n - from }, format);
}

/* Size of a crash in a format, or 0 if the format is unknown. */
static size_t crash_size(uint64_t format)
{
	if (format == FORMAT)
		return sizeof(struct dl_crash);
	return format == FORMAT_REQUESTS ? sizeof(struct request_crash) : 0;
}

static void read_request_crashes(const char *at, uint64_t count,
				 struct dl_crash *out)
{
	for (uint64_t i = 0; i < count; i++) {
		struct request_crash old;

		memcpy(&old, at + i * sizeof(old), sizeof(old));
		out[i] = (struct dl_crash){ .cause = { old.request, 0 },
					    .request = old.request,
					    .start = old.start,
					    .cleared = old.cleared,
					    .age_ms = old.age_ms };
	}
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
	size_t size;

	if (n < sizeof(h))
		return DL_EDAMAGED;
	memcpy(&h, file, sizeof(h));
	size = crash_size(h.format);
	if (!size || h.count > DL_CRASH_STORE_MAX ||
	    n < sizeof(h) + h.count * size ||
	    h.hash != hash_of(file, sizeof(h) + h.count * size, h.format))
		return DL_EDAMAGED;
	if (h.format == FORMAT)
		memcpy(out, file + sizeof(h), h.count * size);
	else
		read_request_crashes(file + sizeof(h), h.count, out);
	/* The wall clock may have been set back. */
	elapsed_ms = MAX(wall_ms - h.wall_ms, 0);
	for (uint32_t i = 0; i < h.count; i++)
		out[i].age_ms = (uint32_t)MIN(out[i].age_ms + elapsed_ms,
					      (int64_t)UINT32_MAX);
	*count = (uint32_t)h.count;
	return 0;
}

/* Read and decode the file; a missing file is not an error. */
static int read_file(const struct dl_crash_store *store, int64_t wall_ms,
		     struct dl_crash *out, uint32_t *count)
{
	char *file;
	size_t n;
	int code;

	code = store->disk.ops->read(store->disk.disk, FILE_NAME, &file, &n);
	if (code)
		return code == -ENOENT ? 0 : code;
	code = decode(file, n, wall_ms, out, count);
	free(file);
	return code;
}

/*
 * Read the last save.  A file that cannot be read may be read later, as a
 * failure of a disk may pass; one that was read but is damaged stays so.
 */
int dl_crash_store_read(struct dl_crash_store *store, int64_t wall_ms,
			int64_t now, struct dl_crash *out, uint32_t *count)
{
	bool was_unread = store->unread;
	int code;

	*count = 0;
	code = read_file(store, wall_ms, out, count);
	store->unread = code && code != DL_EDAMAGED;
	store->read_at = now;
	store->read_pause_ms =
		was_unread ? MIN(store->read_pause_ms * 2, READ_PAUSE_MAX_MS) :
			     RETRY_MS;
	if (!was_unread)
		store->unread_since = now;
	return code;
}

/* Whether the file is still to be read, and none may replace it yet. */
static bool awaits_read(const struct dl_crash_store *store, int64_t now)
{
	return store->unread && now - store->unread_since < READ_GIVE_UP_MS;
}

/* Whether to read again, after a read that failed. */
bool dl_crash_store_read_due(const struct dl_crash_store *store, int64_t now)
{
	return awaits_read(store, now) &&
	       now - store->read_at >= store->read_pause_ms;
}

/* Notes the result of a save, and reports it. */
static void end_save(struct dl_crash_store *store, int code)
{
	struct dl_crash_store_status *s = &store->status;

	if (code && !s->error) {
		s->failed_at = store->saved_at;
		s->tries = 0;
	}
	if (code) {
		s->step = step_names[store->step];
		s->tries++;
	}
	s->error = code;
	store->busy = false;
	store->saved.fn(store->saved.arg, code);
}

static void run_step(struct dl_crash_store *store)
{
	const struct dl_disk_ops *ops = store->disk.ops;
	struct dl_disk_done done = { step_done, store };
	void *disk = store->disk.disk;

	switch (store->step) {
	case STEP_DISCARD:
		ops->unlink(disk, TMP_NAME, done);
		return;
	case STEP_WRITE:
		store->stale_tmp = true;
		ops->write(disk, TMP_NAME, 0,
			   (struct dl_str){ (const char *)store->file->data,
					    store->file->len },
			   done);
		return;
	case STEP_SYNC:
		ops->sync(disk, TMP_NAME, done);
		return;
	case STEP_RENAME:
		ops->rename(disk, TMP_NAME, FILE_NAME, done);
		return;
	case STEP_SYNC_DIR:
		store->stale_tmp = false;
		ops->sync_dir(disk, done);
		return;
	case STEP_END:
		end_save(store, 0);
		return;
	}
}

/* Runs the next step, or ends a save that failed. */
static void step_done(void *arg, int code)
{
	struct dl_crash_store *store = arg;

	if (store->step == STEP_DISCARD && code == -ENOENT)
		code = 0;
	if (code) {
		end_save(store, code);
		return;
	}
	store->step++;
	run_step(store);
}

/*
 * Whether to save now: there is something new to save, or the last save failed.
 * A save that failed is repeated until one succeeds, since a failure of a disk
 * may pass, and without it a restart forgets what is held back.  Nothing is
 * saved over a file that may still be read: what it holds would be lost.
 */
bool dl_crash_store_due(const struct dl_crash_store *store, bool changed,
			int64_t now)
{
	if (store->busy || awaits_read(store, now))
		return false;
	if (store->status.error)
		return now - store->saved_at >= RETRY_MS;
	return changed;
}

/*
 * Write a temporary file and rename it over the old one, which stays in
 * place until the new one is synced.  A temporary file that an earlier save
 * left is removed first: once its sync has failed, a further one may succeed
 * although the kernel has dropped what it could not write.
 */
void dl_crash_store_save(struct dl_crash_store *store,
			 const struct dl_crash *crashes, uint32_t count,
			 int64_t wall_ms, int64_t now)
{
	struct file_header h = { .format = FORMAT,
				 .wall_ms = wall_ms,
				 .count = MIN(count, DL_CRASH_STORE_MAX) };
	GByteArray *file = store->file;

	g_byte_array_set_size(file, 0);
	g_byte_array_append(file, (const guint8 *)&h, sizeof(h));
	g_byte_array_append(file, (const guint8 *)crashes,
			    (guint)(h.count * sizeof(*crashes)));
	h.hash = hash_of((const char *)file->data, file->len, FORMAT);
	memcpy(file->data, &h, sizeof(h));
	store->busy = true;
	store->saved_at = now;
	store->step = store->stale_tmp ? STEP_DISCARD : STEP_WRITE;
	run_step(store);
}

/* Returns the result of the saves so far. */
struct dl_crash_store_status
dl_crash_store_status(const struct dl_crash_store *store)
{
	return store->status;
}

/* Whether a save is in progress. */
bool dl_crash_store_busy(const struct dl_crash_store *store)
{
	return store->busy;
}
