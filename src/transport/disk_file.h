/*
 * The real disk behind struct dl_disk_ops: files of one data folder, with
 * every write and sync in libuv's thread pool.  Operations are carried out one
 * after the other, in the order of their calls.
 */
#ifndef DL_TRANSPORT_DISK_FILE_H
#define DL_TRANSPORT_DISK_FILE_H

#include <uv.h>

#include "daisyledge/disk.h"

struct dl_disk_file;

/*
 * Open the folder, which must exist, and keep other processes out of it.
 * 0, -EBUSY where another process has it, or a negative errno.
 */
int dl_disk_file_open(uv_loop_t *loop, const char *folder,
		      struct dl_disk_file **out, struct dl_err *err);
struct dl_disk dl_disk_file_disk(struct dl_disk_file *file);
/* Whether an operation is under way. */
bool dl_disk_file_busy(const struct dl_disk_file *file);
/* Only while none is under way. */
void dl_disk_file_close(struct dl_disk_file *file);

#endif
