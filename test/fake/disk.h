/*
 * A disk in memory that implements struct dl_disk_ops.  Unsynced data is lost
 * or torn in a crash.  Operations take time and can fail, and a crash can be
 * scheduled before any of them.  Its behaviour is determined by the seed.
 */
#ifndef TEST_FAKE_DISK_H
#define TEST_FAKE_DISK_H

#include "daisyledge/disk.h"

struct fake_disk;

extern const struct dl_disk_ops fake_disk_ops;

struct fake_disk *fake_disk_new(uint32_t seed);
void fake_disk_free(struct fake_disk *disk);

/* Sets how long a sync takes; other operations complete at once. */
void fake_disk_set_sync_ms(struct fake_disk *disk, uint32_t min, uint32_t max);
/*
 * Completes the operations due by now.  An operation starts at the time of the
 * last call.
 */
void fake_disk_run(struct fake_disk *disk, int64_t now);
int64_t fake_disk_wakeup(const struct fake_disk *disk);

/* After this many operations, fails the next one, once, with this code. */
void fake_disk_fail_after(struct fake_disk *disk, uint32_t ops, int code);
/* While a disk is full, each write stores a part of its data and fails. */
void fake_disk_set_full(struct fake_disk *disk, bool full);
/* After this many operations, the VM goes down before the next one. */
void fake_disk_crash_after(struct fake_disk *disk, uint32_t ops);
/* Whether such a crash has happened. */
bool fake_disk_is_down(const struct fake_disk *disk);
/* The number of operations so far. */
uint64_t fake_disk_op_count(const struct fake_disk *disk);

/*
 * The VM goes down and comes up: operations in progress never complete, and
 * each unsynced write is lost, kept or torn.
 */
void fake_disk_crash(struct fake_disk *disk);
/* The process dies but the VM does not: everything written is kept. */
void fake_disk_kill(struct fake_disk *disk);
/* The disk is replaced by an empty one. */
void fake_disk_wipe(struct fake_disk *disk);
/* Flips a synced bit in the largest file; false if there is none. */
bool fake_disk_flip_bit(struct fake_disk *disk, uint64_t at);
/* The size of the largest file in bytes. */
uint64_t fake_disk_bytes(const struct fake_disk *disk);

#endif
