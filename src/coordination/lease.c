/* Whether a copy of the configuration may still be trusted. */
#include "daisyledge/lease.h"

#include <sys/param.h>

/*
 * An eighth of the time in which a change must be in force everywhere (2 s), so
 * that lost questions cost nothing.
 */
#define RENEW_INTERVAL_MS 250
/* Without a word, while callers wait for it: some round trips. */
#define RETRY_INTERVAL_MS 100
/* The leader answers at once; later another one leads. */
#define ANSWER_TIMEOUT_MS 400
/*
 * A request that is let through at the lease's last moment is on its way to an
 * endpoint for some milliseconds, and clocks drift.
 */
#define EXPIRY_MARGIN_MS 300
/*
 * Not ready for new callers from this share of the lease on: they would find it
 * over before they are served.
 */
#define READY_PERMILLE 550
#define PERMILLE       1000

/*
 * A group that lost its leader, or has just started, elects one in some hundred
 * ms.  Requests that come meanwhile wait: told to come back, callers used their
 * one return and were refused again.  Nobody waits longer than this, nor for
 * more than this part of its time, and nobody where the group is not heard: a
 * VM that is cut off cannot know for how long.
 */
#define WAIT_MAX_MS	      1000
#define WAIT_DEADLINE_DIVISOR 4
/* Replicas answer in milliseconds, if only that nobody leads. */
#define REPLICA_CONTACT_MS 500

/* Whether it is time to ask again. */
bool dl_lease_renewal_due(const struct dl_lease *l, uint32_t lease_ms,
			  int64_t now)
{
	int64_t every = dl_lease_ready(l, lease_ms, now) ? RENEW_INTERVAL_MS :
							   RETRY_INTERVAL_MS;

	return !l->requested_at || now - l->requested_at >= every;
}

/* How long a request may wait for a word. */
uint32_t dl_lease_max_wait_ms(const struct dl_lease *l, int64_t started,
			      int64_t heard, uint32_t left_ms, int64_t now)
{
	bool starting = !l->valid_from && now - started < WAIT_MAX_MS;
	bool replica_reachable = heard && now - heard < REPLICA_CONTACT_MS;

	if (!starting && !replica_reachable)
		return 0;
	return MIN(left_ms / WAIT_DEADLINE_DIVISOR, WAIT_MAX_MS);
}

/*
 * Whether the one that is asked has not answered in time, counted from the
 * first question since an answer: it is asked again sooner than it is given up.
 * Any answer counts, also one that only names another: whoever is named is
 * asked next, and must not be taken for silent before.
 */
bool dl_lease_timed_out(const struct dl_lease *l, int64_t now)
{
	return l->pending_since && now - l->pending_since > ANSWER_TIMEOUT_MS;
}

/* Another one is asked from now on: it has its own time to answer. */
void dl_lease_replica_changed(struct dl_lease *l)
{
	l->pending_since = 0;
}

/* A question is on its way. */
void dl_lease_request_sent(struct dl_lease *l, int64_t now)
{
	l->requested_at = now;
	if (!l->pending_since)
		l->pending_since = now;
}

/*
 * Take an answer.  The word counts from the moment of asking: whatever was
 * acknowledged before it was known to the one that answered.  An answer to an
 * older question than the last one answered changes nothing, but for a word:
 * the one that comes to lead may give it late, after others have said that they
 * do not.
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

/* Another version is in force here: a word that waited for it holds now. */
void dl_lease_version_applied(struct dl_lease *l, uint64_t version)
{
	if (l->confirmed_at && version >= l->version)
		l->valid_from = l->confirmed_at;
}

/* How long ago the word that holds was asked for; INT64_MAX for none. */
int64_t dl_lease_age(const struct dl_lease *l, int64_t now)
{
	return l->valid_from ? now - l->valid_from : INT64_MAX;
}

/* Whether requests may be let through. */
bool dl_lease_is_valid(const struct dl_lease *l, uint32_t lease_ms, int64_t now)
{
	if (!l->valid_from)
		return false;
	return lease_ms == 0 ||
	       dl_lease_age(l, now) < (int64_t)lease_ms - EXPIRY_MARGIN_MS;
}

/* Whether new callers should come. */
bool dl_lease_ready(const struct dl_lease *l, uint32_t lease_ms, int64_t now)
{
	return dl_lease_is_valid(l, lease_ms, now) &&
	       (lease_ms == 0 || dl_lease_age(l, now) < (int64_t)lease_ms *
								READY_PERMILLE /
								PERMILLE);
}
