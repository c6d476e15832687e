/* Departure of an endpoint; see the header. */
#include "daisyledge/leaving.h"

#define PERMILLE 1000
/*
 * Shares of the promised time. Grants end at GRANT_PERMILLE of it after this VM
 * heard of the departure, so that VMs that hear of it later and requests in
 * flight stay within it. Counted from the earliest time of the departure,
 * grants end at GRANT_LATEST_PERMILLE: shortly before an entry sends no more,
 * which is the time for a grant to travel and for a connection. The last tenth
 * is for the request on its way to the endpoint.
 */
#define GRANT_PERMILLE	      600
#define GRANT_LATEST_PERMILLE 850
#define SEND_PERMILLE	      900

static int64_t share_of(uint32_t ms, int64_t permille)
{
	return (int64_t)ms * permille / PERMILLE;
}

/* Records a report of a departure; see the header. */
void dl_leaving_note(struct dl_leaving *l, int64_t since, int64_t now)
{
	if (!l->known) {
		l->known = true;
		l->heard_at = now;
		l->since = DL_LEAVING_UNDATED;
	}
	if (since == DL_LEAVING_UNDATED)
		return;
	/* It was acknowledged by the time at which it was heard of. */
	if (since > l->heard_at)
		since = l->heard_at;
	/* Each is a time before which it was not: the latest is the closest. */
	if (since > l->since)
		l->since = since;
}

/* Returns the end of grants; see the header. */
int64_t dl_leaving_grant_end(const struct dl_leaving *l, uint32_t drain_ms)
{
	int64_t end, latest;

	if (!l->known || l->since == DL_LEAVING_UNDATED || drain_ms == 0)
		return DL_LEAVING_UNDATED;
	end = l->heard_at + share_of(drain_ms, GRANT_PERMILLE);
	latest = l->since + share_of(drain_ms, GRANT_LATEST_PERMILLE);
	return latest < end ? latest : end;
}

/* Whether a request may be sent; see the header. */
bool dl_leaving_may_send(const struct dl_leaving *l, uint32_t drain_ms,
			 int64_t now)
{
	return l->known && l->since != DL_LEAVING_UNDATED &&
	       now < l->since + share_of(drain_ms, SEND_PERMILLE);
}

/* Returns the age of a departure; see the header. */
uint32_t dl_leaving_age_ms(const struct dl_leaving *l, int64_t now)
{
	int64_t age;

	if (!l->known || l->since == DL_LEAVING_UNDATED)
		return DL_LEAVING_AGE_UNKNOWN;
	age = now - l->since;
	if (age < 1)
		age = 1;
	return age < DL_LEAVING_AGE_UNKNOWN ? (uint32_t)age :
					      DL_LEAVING_AGE_UNKNOWN;
}

/* Adds the time that a report was in transit; see the header. */
uint32_t dl_leaving_add_delay(uint32_t age_ms, int64_t delay_ms)
{
	if (age_ms == 0 || age_ms == DL_LEAVING_AGE_UNKNOWN || delay_ms < 0 ||
	    delay_ms >= (int64_t)(DL_LEAVING_AGE_UNKNOWN - age_ms))
		return DL_LEAVING_AGE_UNKNOWN;
	return age_ms + (uint32_t)delay_ms;
}

/* Returns the earliest time of a departure; see the header. */
int64_t dl_leaving_since(uint32_t age_ms, int64_t now)
{
	if (age_ms == 0 || age_ms == DL_LEAVING_AGE_UNKNOWN)
		return DL_LEAVING_UNDATED;
	return now - (int64_t)age_ms;
}
