/*
 * The disk as the state parts see it: files by name in one folder, no more.
 * What was written lasts only once it has been synced; a name that was made,
 * renamed or unlinked lasts only once the folder has been synced.
 *
 * The functions with a done are for a running process: they are begun in the
 * order of their calls, and done is called once, maybe before they return,
 * with 0 or a negative errno.  The caller keeps data until then.  The others
 * block and are for the start.
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
	void (*sync_folder)(void *disk, struct dl_disk_done done);
	void (*unlink)(void *disk, const char *name, struct dl_disk_done done);

	/* The whole file, which the caller frees with free(). */
	int (*read)(void *disk, const char *name, char **out, size_t *n);
	int (*list)(void *disk, void (*each)(void *arg, const char *name),
		    void *arg);
	int (*truncate)(void *disk, const char *name, uint64_t size);
};

/* A disk and its table. */
struct dl_disk {
	const struct dl_disk_ops *ops;
	void *disk;
};

#endif
