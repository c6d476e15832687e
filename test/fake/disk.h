/*
 * A disk in memory behind struct dl_disk_ops.  What was not synced is lost at
 * a crash, or cut anywhere; operations take time, can fail, and a crash can be
 * set before any of them.  Seeded.
 */
#ifndef TEST_FAKE_DISK_H
#define TEST_FAKE_DISK_H

#include "daisyledge/disk.h"

struct fake_disk;

extern const struct dl_disk_ops fake_disk_ops;

struct fake_disk *fake_disk_new(uint32_t seed);
void fake_disk_free(struct fake_disk *disk);

/* How long a sync takes; other operations end at once. */
void fake_disk_set_sync_ms(struct fake_disk *disk, uint32_t min, uint32_t max);
/* End what is due by now; an operation is begun at the last now given. */
void fake_disk_run(struct fake_disk *disk, int64_t now);
int64_t fake_disk_wakeup(const struct fake_disk *disk);

/* Fail the operation after so many more, once, with this code. */
void fake_disk_fail_after(struct fake_disk *disk, uint32_t ops, int code);
/* The VM goes down before the operation after so many more. */
void fake_disk_crash_after(struct fake_disk *disk, uint32_t ops);
/* Whether it went down so. */
bool fake_disk_is_down(const struct fake_disk *disk);
/* Operations so far. */
uint64_t fake_disk_op_count(const struct fake_disk *disk);

/*
 * The VM goes down and comes up: nothing under way ends, and of what was not
 * synced each write is lost, whole or cut somewhere.
 */
void fake_disk_crash(struct fake_disk *disk);
/* The process dies, the VM does not: what was written is there. */
void fake_disk_kill(struct fake_disk *disk);
/* The disk is replaced by an empty one. */
void fake_disk_wipe(struct fake_disk *disk);
/* A synced bit goes bad, in the largest file; false where there is none. */
bool fake_disk_flip_bit(struct fake_disk *disk, uint64_t at);
/* Bytes of the largest file. */
uint64_t fake_disk_bytes(const struct fake_disk *disk);

#endif
