/* Logs through log4c: a line a message, prefixed with its part. */
#ifndef DL_MAIN_LOG_H
#define DL_MAIN_LOG_H

#include "daisyledge/base.h"

/* To a file, or to standard output where path is empty; never waited for. */
int dl_main_log_open(const char *path, enum dl_level level);
void dl_main_log_flush(void);
void dl_main_log_set_level(enum dl_level level);
/* One level louder, from debug back to errors only. */
void dl_main_log_cycle_level(void);

#endif
