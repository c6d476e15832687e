/*
 * The disk interface of the state modules: named files in one directory.
 * Written data is durable only after a sync of the file; a created, renamed or
 * unlinked name is durable only after a sync of the directory.
 *
 * The functions that take a dl_disk_done are for a running process: they are
 * started in the order of the calls, and the callback is called once, possibly
 * before they return, with 0 or a negative errno.  Until then the caller keeps
 * the data unchanged.  The other functions block and are for startup.
 */
#ifndef DAISYLEDGE_DISK_H
#define DAISYLEDGE_DISK_H

#include "daisyledge/base.h"

struct dl_disk_done {
	void (*fn)(void *arg, int code);
	void *arg;
};

struct dl_disk_ops {
	void (*write)(void *disk, const char *name, uint64_t offset,
		      struct dl_str data, struct dl_disk_done done);
	void (*sync)(void *disk, const char *name, struct dl_disk_done done);
	void (*rename)(void *disk, const char *from, const char *to,
		       struct dl_disk_done done);
	void (*sync_dir)(void *disk, struct dl_disk_done done);
	void (*unlink)(void *disk, const char *name, struct dl_disk_done done);

	/* Reads the whole file; the caller frees it with free(). */
	int (*read)(void *disk, const char *name, char **out, size_t *n);
	int (*list)(void *disk, void (*each)(void *arg, const char *name),
		    void *arg);
	int (*truncate)(void *disk, const char *name, uint64_t size);
};

/* A disk and its operations. */
struct dl_disk {
	const struct dl_disk_ops *ops;
	void *disk;
};

#endif
