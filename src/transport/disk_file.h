/*
 * Implementation of struct dl_disk_ops on the files of one data folder.  Writes
 * and syncs run in libuv's thread pool, one at a time, in the order in which
 * they were requested.  After a sync that failed, all further ones of the file
 * fail until it is removed or replaced.
 */
#ifndef DL_TRANSPORT_DISK_FILE_H
#define DL_TRANSPORT_DISK_FILE_H

#include <uv.h>

#include "daisyledge/disk.h"

struct dl_disk_file;

/*
 * Opens the folder, which must exist, and locks it against other processes.
 * Returns 0, -EBUSY if another process holds the lock, or a negative errno.
 */
int dl_disk_file_open(uv_loop_t *loop, const char *folder,
		      struct dl_disk_file **out, struct dl_err *err);
struct dl_disk dl_disk_file_disk(struct dl_disk_file *file);
/* Reports whether an operation is queued or in progress. */
bool dl_disk_file_busy(const struct dl_disk_file *file);
/* Must not be called while an operation is in progress. */
void dl_disk_file_close(struct dl_disk_file *file);

#endif
