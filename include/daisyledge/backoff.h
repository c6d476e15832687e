/*
 * Endpoints that have asked a VM to wait: one that turns a request away may
 * name a time in which it wants nothing more from the VM that sent it.
 *
 * Whom that concerns is a number of the caller's choosing, such as a hash of
 * the endpoint's start and of the VM.  Pure.
 */
#ifndef DAISYLEDGE_BACKOFF_H
#define DAISYLEDGE_BACKOFF_H

#include "daisyledge/base.h"

struct dl_backoff;

struct dl_backoff *dl_backoff_new(void);
void dl_backoff_free(struct dl_backoff *b);
/*
 * Wait until a time.  False where a time that is no earlier is known, and where
 * there is no room: past DL_BACKOFF_MAX that have not ended.
 */
bool dl_backoff_set(struct dl_backoff *b, uint64_t key, int64_t until,
		    int64_t now);
/* How much longer to wait, ms; 0: not at all. */
uint32_t dl_backoff_remaining_ms(const struct dl_backoff *b, uint64_t key,
				 int64_t now);
/* Whether any time has not ended: a quick look for the ordinary case. */
bool dl_backoff_any_active(const struct dl_backoff *b, int64_t now);

#define DL_BACKOFF_MAX 65536

#endif
