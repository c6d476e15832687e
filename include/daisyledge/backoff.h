/*
 * Retry-after times requested by endpoints: an endpoint that rejects a request
 * may name a period in which it wants no further requests from the VM that sent
 * it.
 *
 * The caller chooses the key, such as a hash of the endpoint instance and the
 * VM. The module does no I/O and reads no clock.
 */
#ifndef DAISYLEDGE_BACKOFF_H
#define DAISYLEDGE_BACKOFF_H

#include "daisyledge/base.h"

struct dl_backoff;

struct dl_backoff *dl_backoff_new(void);
void dl_backoff_free(struct dl_backoff *b);
/*
 * Sets the time until which requests for a key must wait. Returns false if an
 * equal or later time is already set, or if DL_BACKOFF_MAX unexpired entries
 * exist.
 */
bool dl_backoff_set(struct dl_backoff *b, uint64_t key, int64_t until,
		    int64_t now);
/* Remaining wait in ms; 0 if there is none. */
uint32_t dl_backoff_remaining_ms(const struct dl_backoff *b, uint64_t key,
				 int64_t now);
/* Whether any wait may be unexpired: a cheap check for the common case. */
bool dl_backoff_any_active(const struct dl_backoff *b, int64_t now);

#define DL_BACKOFF_MAX 65536

#endif
