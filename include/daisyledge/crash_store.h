/*
 * The requests that are held back, on a disk, so that they are known after all
 * VMs were down at once.  One small file, replaced as a whole; without it, or
 * where it is damaged, nothing is known.  Input and output through dl_disk.
 */
#ifndef DAISYLEDGE_CRASH_STORE_H
#define DAISYLEDGE_CRASH_STORE_H

#include "daisyledge/disk.h"
#include "daisyledge/quarantine.h"

struct dl_crash_store;

/* More are not kept. */
#define DL_CRASH_STORE_MAX 4096

/* saved is told how each save ended. */
struct dl_crash_store *dl_crash_store_new(struct dl_disk disk,
					  struct dl_disk_done saved);
/* Only while no save is under way. */
void dl_crash_store_free(struct dl_crash_store *store);
/*
 * Read what was saved last, at the start: 0 and how many in count, which may be
 * none; DL_EDAMAGED, or a negative errno.  wall_ms: the time of day.
 */
int dl_crash_store_read(const struct dl_crash_store *store, int64_t wall_ms,
			struct dl_crash *out, uint32_t *count);
/* Begin to save all of them; not while a save is under way. */
void dl_crash_store_save(struct dl_crash_store *store,
			 const struct dl_crash *crashes, uint32_t count,
			 int64_t wall_ms);
bool dl_crash_store_busy(const struct dl_crash_store *store);

#endif
