/* Lease on the local copy of the configuration; see the header. */
#include "daisyledge/lease.h"

#include <sys/param.h>

/*
 * An eighth of the time in which a change must be in force everywhere (2 s), so
 * that lost requests do no harm.
 */
#define RENEW_INTERVAL_MS 250
/*
 * Interval while there is no confirmation and callers wait for one: a few round
 * trips.
 */
#define RETRY_INTERVAL_MS 100
/* The leader answers at once; after this time another one may lead. */
#define ANSWER_TIMEOUT_MS 400
/*
 * A request that is admitted at the end of the lease takes some milliseconds to
 * reach an endpoint, and clocks drift.
 */
#define EXPIRY_MARGIN_MS 300
/*
 * Share of the lease after which this VM is not ready for new callers: the
 * lease would expire before they are served.
 */
#define READY_PERMILLE 550
#define PERMILLE       1000

/*
 * A group that lost its leader or has just started elects one within some
 * hundred ms. Requests that arrive meanwhile wait: when they were told to
 * retry, callers used up their one retry and were refused again. No request
 * waits longer than this, nor for more than this part of its remaining time.
 * None waits while no replica is heard, because a VM that is cut off cannot
 * know for how long.
 */
#define WAIT_MAX_MS	      1000
#define WAIT_DEADLINE_DIVISOR 4
/* Replicas answer within milliseconds, even without a leader. */
#define REPLICA_CONTACT_MS 500

/* Whether the next request to a replica is due. */
bool dl_lease_renewal_due(const struct dl_lease *l, uint32_t lease_ms,
			  int64_t now)
{
	int64_t every = dl_lease_ready(l, lease_ms, now) ? RENEW_INTERVAL_MS :
							   RETRY_INTERVAL_MS;

	return !l->requested_at || now - l->requested_at >= every;
}

/* Returns how long a request may wait for a confirmation. */
uint32_t dl_lease_max_wait_ms(const struct dl_lease *l, int64_t started,
			      int64_t last_heard, uint32_t left_ms, int64_t now)
{
	bool starting = !l->valid_from && now - started < WAIT_MAX_MS;
	bool replica_reachable = last_heard &&
				 now - last_heard < REPLICA_CONTACT_MS;

	if (!starting && !replica_reachable)
		return 0;
	return MIN(left_ms / WAIT_DEADLINE_DIVISOR, WAIT_MAX_MS);
}

/*
 * Whether the replica has not answered in time, counted from the first request
 * since the last answer, because requests are repeated sooner than they time
 * out. Any answer counts, also one that only names another replica: that one is
 * asked next and must not be taken for silent before.
 */
bool dl_lease_timed_out(const struct dl_lease *l, int64_t now)
{
	return l->pending_since && now - l->pending_since > ANSWER_TIMEOUT_MS;
}

/* Resets the timeout: the new replica gets the full time to answer. */
void dl_lease_replica_changed(struct dl_lease *l)
{
	l->pending_since = 0;
}

/* Records that a request was sent. */
void dl_lease_request_sent(struct dl_lease *l, int64_t now)
{
	l->requested_at = now;
	if (!l->pending_since)
		l->pending_since = now;
}

/*
 * Handles an answer. A confirmation counts from the time of its request: the
 * replica that answered knew of all changes acknowledged before. An answer to
 * an older request than the last answered one is ignored unless it is a
 * confirmation: a replica that becomes leader may confirm late, after others
 * have answered that they do not lead.
 */
uint64_t dl_lease_handle_answer(struct dl_lease *l,
				const struct dl_lease_answer *a,
				uint64_t version, int64_t now)
{
	if (a->requested_at > now ||
	    (!a->confirmed && a->requested_at < l->answered_at))
		return a->from;
	l->answered_at = MAX(l->answered_at, a->requested_at);
	l->pending_since = 0;
	if (!a->confirmed)
		return a->leader == a->from ? DL_VM_NONE : a->leader;
	if (a->requested_at > l->confirmed_at) {
		l->confirmed_at = a->requested_at;
		l->version = a->version;
		dl_lease_version_applied(l, version);
	}
	return a->from;
}

/*
 * Records the version applied here; the confirmations that waited for it become
 * valid. The latest one waits next where an earlier one no longer does.
 */
void dl_lease_version_applied(struct dl_lease *l, uint64_t version)
{
	if (l->waiting_at && version >= l->waiting_version) {
		l->valid_from = l->waiting_at;
		l->waiting_at = 0;
	}
	if (l->confirmed_at && version >= l->version) {
		l->valid_from = l->confirmed_at;
		l->waiting_at = 0;
	}
	if (!l->waiting_at && l->confirmed_at > l->valid_from) {
		l->waiting_at = l->confirmed_at;
		l->waiting_version = l->version;
	}
}

/*
 * Returns the age of the valid confirmation, counted from its request;
 * INT64_MAX if there is none.
 */
int64_t dl_lease_age(const struct dl_lease *l, int64_t now)
{
	return l->valid_from ? now - l->valid_from : INT64_MAX;
}

/* Whether requests may be admitted. */
bool dl_lease_is_valid(const struct dl_lease *l, uint32_t lease_ms, int64_t now)
{
	if (!l->valid_from)
		return false;
	return lease_ms == 0 ||
	       dl_lease_age(l, now) < (int64_t)lease_ms - EXPIRY_MARGIN_MS;
}

/* Whether this VM is ready for new callers. */
bool dl_lease_ready(const struct dl_lease *l, uint32_t lease_ms, int64_t now)
{
	return dl_lease_is_valid(l, lease_ms, now) &&
	       (lease_ms == 0 || dl_lease_age(l, now) < (int64_t)lease_ms *
								READY_PERMILLE /
								PERMILLE);
}
