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
 * Read the last save, at startup. Returns 0 and the number of crashes in
 * *count, which may be 0; DL_EDAMAGED; or a negative errno. wall_ms is the time
 * of day.
 */
int dl_crash_store_read(const struct dl_crash_store *store, int64_t wall_ms,
			struct dl_crash *out, uint32_t *count);
/* Start to save all crashes; must not be called while a save is in progress. */
void dl_crash_store_save(struct dl_crash_store *store,
			 const struct dl_crash *crashes, uint32_t count,
			 int64_t wall_ms);
bool dl_crash_store_busy(const struct dl_crash_store *store);

#endif
