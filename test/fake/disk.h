/*
 * A disk in memory that implements struct dl_disk_ops.  Unsynced data is lost
 * or torn in a crash.  Operations take time and can fail, and a crash can be
 * scheduled before any of them.  Its behaviour is determined by the seed.
 *
 * A write that fails may have stored a part of its data.  What a failed sync
 * covers is never made durable by a later one, which succeeds, unless it is
 * written again; it stays readable until a crash.
 */
#ifndef TEST_FAKE_DISK_H
#define TEST_FAKE_DISK_H

#include "daisyledge/disk.h"

struct fake_disk;

enum fake_disk_op {
	FAKE_DISK_WRITE,
	FAKE_DISK_SYNC,
	FAKE_DISK_RENAME,
	FAKE_DISK_SYNC_DIR,
	FAKE_DISK_UNLINK,
	FAKE_DISK_READ,
	FAKE_DISK_LIST,
	FAKE_DISK_OP_COUNT,
};

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
/*
 * While a disk is full, each write stores a part of its data and fails, and
 * does not always create the file.
 */
void fake_disk_set_full(struct fake_disk *disk, bool full);
/*
 * Fails all operations of a kind that start from now on, also those of later
 * processes; 0 ends that.
 */
void fake_disk_set_error(struct fake_disk *disk, enum fake_disk_op op,
			 int code);
/* No operation completes until the stall ends. */
void fake_disk_stall(struct fake_disk *disk);
/* Ends a stall; the operations in progress fail unless code is 0. */
void fake_disk_end_stall(struct fake_disk *disk, int code);
/* Ends all faults, except a scheduled crash. */
void fake_disk_repair(struct fake_disk *disk);
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
/* The disk is replaced by an empty one without faults. */
void fake_disk_wipe(struct fake_disk *disk);
/* Flips a synced bit in the largest file; false if there is none. */
bool fake_disk_flip_bit(struct fake_disk *disk, uint64_t at);
/* The size of the largest file in bytes. */
uint64_t fake_disk_bytes(const struct fake_disk *disk);
/* The number of files that a process would find. */
uint32_t fake_disk_files(const struct fake_disk *disk);

#endif
