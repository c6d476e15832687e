/* Logging through log4c: one line per message, prefixed with its part. */
#ifndef DL_NODE_LOG_H
#define DL_NODE_LOG_H

#include "daisyledge/base.h"

/*
 * Logs to a file, or to standard output if path is empty; does not wait for a
 * reader.  Returns 0, or a negative errno for a file that is named wrongly; one
 * that cannot be opened for want of room or the like is opened later.
 */
int dl_main_log_open(const char *path, enum dl_level level);
void dl_main_log_flush(void);
void dl_main_log_set_level(enum dl_level level);
/* Makes the log one level more verbose; after debug, only errors are logged. */
void dl_main_log_cycle_level(void);

#endif
