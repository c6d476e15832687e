/*
 * Departure of an endpoint: for how long it may still be sent new requests.
 *
 * A deployment promises its endpoints that nothing new reaches them later than
 * drain_ms after any process acknowledged their departure. A process often
 * hears of a departure from another one, and a frame may have been under way
 * for seconds: the receiver was suspended, or its connection was cut off. Each
 * process therefore keeps the earliest time at which the departure can have
 * been acknowledged, and counts from that. Where that time is not known, the
 * endpoint is not used.
 *
 * Times are in milliseconds on any one clock of the caller. The module does no
 * I/O and reads no clock.
 */
#ifndef DAISYLEDGE_LEAVING_H
#define DAISYLEDGE_LEAVING_H

#include "daisyledge/base.h"

/* The earliest time of a departure that cannot be told. */
#define DL_LEAVING_UNDATED INT64_MIN
/* The age on the wire of such a departure; 0 is accepted as the same. */
#define DL_LEAVING_AGE_UNKNOWN UINT32_MAX

struct dl_leaving {
	bool known;	  /* the endpoint is leaving */
	int64_t heard_at; /* when this process first heard of it */
	/* not acknowledged before this; or DL_LEAVING_UNDATED */
	int64_t since;
};

/*
 * Records a report of a departure; since is the earliest time at which it can
 * have been acknowledged, or DL_LEAVING_UNDATED. A later report may bound it
 * more closely, but never beyond the time at which this process first heard of
 * it.
 */
void dl_leaving_note(struct dl_leaving *l, int64_t since, int64_t now);
/* Until when a dispatcher may grant the endpoint; DL_LEAVING_UNDATED: never. */
int64_t dl_leaving_grant_end(const struct dl_leaving *l, uint32_t drain_ms);
/* Whether an entry may begin to send a request to the endpoint. */
bool dl_leaving_may_send(const struct dl_leaving *l, uint32_t drain_ms,
			 int64_t now);
/*
 * The greatest possible age of a departure, at least 1 ms, for another process;
 * DL_LEAVING_AGE_UNKNOWN if it is not known.
 */
uint32_t dl_leaving_age_ms(const struct dl_leaving *l, int64_t now);
/* The age after it was under way for at most delay_ms; -1: not known. */
uint32_t dl_leaving_add_delay(uint32_t age_ms, int64_t delay_ms);
/* The earliest time of a departure of this age, or DL_LEAVING_UNDATED. */
int64_t dl_leaving_since(uint32_t age_ms, int64_t now);

#endif
