/*
 * Persistent store of the crash reports that quarantine requests, so that they
 * are known after all VMs were down at once. One small file, which is replaced
 * as a whole; if it is missing or damaged, nothing is restored. All I/O goes
 * through dl_disk.
 */
#ifndef DAISYLEDGE_CRASH_STORE_H
#define DAISYLEDGE_CRASH_STORE_H

#include "daisyledge/disk.h"
#include "daisyledge/quarantine.h"

struct dl_crash_store;

/* Further crashes are not saved. */
#define DL_CRASH_STORE_MAX 4096

/* The callback saved gets the result of each save. */
struct dl_crash_store *dl_crash_store_new(struct dl_disk disk,
					  struct dl_disk_done saved);
/* Must not be called while a save is in progress. */
void dl_crash_store_free(struct dl_crash_store *store);
/*
 * Read the last save, at startup and when dl_crash_store_read_due(). Blocks.
 * Returns 0 and the number of crashes in *count, which may be 0; DL_EDAMAGED;
 * or a negative errno. wall_ms is the time of day.
 */
int dl_crash_store_read(struct dl_crash_store *store, int64_t wall_ms,
			int64_t now, struct dl_crash *out, uint32_t *count);
/* Whether a read failed, though not for damage, and is to be repeated. */
bool dl_crash_store_read_due(const struct dl_crash_store *store, int64_t now);
/*
 * Whether a save is to be started: what is to be saved has changed since the
 * last call of dl_crash_store_save(), or that save failed some time ago. Never
 * while a file that could not be read may still hold something that counts.
 */
bool dl_crash_store_due(const struct dl_crash_store *store, bool changed,
			int64_t now);
/* Start to save all crashes; must not be called while a save is in progress. */
void dl_crash_store_save(struct dl_crash_store *store,
			 const struct dl_crash *crashes, uint32_t count,
			 int64_t wall_ms, int64_t now);

/* Results of the saves. */
struct dl_crash_store_status {
	int error;	   /* negative errno if the last one failed, or 0 */
	const char *step;  /* of the latest failure: "write", "sync", ... */
	uint32_t tries;	   /* failures in a row, the latest or current row */
	int64_t failed_at; /* start of the first of them */
};

struct dl_crash_store_status
dl_crash_store_status(const struct dl_crash_store *store);
bool dl_crash_store_busy(const struct dl_crash_store *store);

#endif
