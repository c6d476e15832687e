/*
 * Lease on the local copy of the configuration: it is valid for a limited time
 * after a request to which the leading replica answered that no newer version
 * is in force. The module does no I/O and reads no clock.
 *
 * Times are milliseconds of a clock that also runs while the VM is suspended.
 */
#ifndef DAISYLEDGE_LEASE_H
#define DAISYLEDGE_LEASE_H

#include "daisyledge/base.h"

struct dl_lease {
	int64_t requested_at;  /* last request; 0 if none */
	int64_t pending_since; /* first unanswered request; 0 if none */
	int64_t answered_at;   /* request that was answered last */
	int64_t confirmed_at;  /* request behind the latest confirmation */
	uint64_t version;      /* in force by that confirmation */
	/*
	 * Earliest confirmation whose version is not applied here, 0 if none,
	 * and that version: kept beside the latest one, so that versions that
	 * come faster than they are applied do not end the lease.
	 */
	int64_t waiting_at;
	uint64_t waiting_version;
	/*
	 * Request behind the latest confirmation whose version is applied here;
	 * 0 if none.
	 */
	int64_t valid_from;
};

/* A replica's answer. */
struct dl_lease_answer {
	int64_t requested_at; /* time of the request, echoed by the replica */
	uint64_t from;
	bool confirmed;	  /* the replica leads and the version is in force */
	uint64_t version; /* valid if confirmed */
	uint64_t leader;  /* leader known to the replica */
};

/* Whether the next request is due; for lease_ms see dl_lease_is_valid(). */
bool dl_lease_renewal_due(const struct dl_lease *l, uint32_t lease_ms,
			  int64_t now);
/*
 * How long a request may wait for a confirmation if there is none, given the
 * left_ms until its deadline; 0 if it must be refused. started and last_heard
 * are the times, by the same clock, at which this process started and last
 * heard from a replica; last_heard is 0 for never.
 */
uint32_t dl_lease_max_wait_ms(const struct dl_lease *l, int64_t started,
			      int64_t last_heard, uint32_t left_ms,
			      int64_t now);
/*
 * Whether the replica failed to answer in time, so that another must be asked.
 */
bool dl_lease_timed_out(const struct dl_lease *l, int64_t now);
/* Records that requests go to another replica from now on. */
void dl_lease_replica_changed(struct dl_lease *l);
void dl_lease_request_sent(struct dl_lease *l, int64_t now);
/* Handles an answer. Returns the replica to ask next, DL_VM_NONE for any. */
uint64_t dl_lease_handle_answer(struct dl_lease *l,
				const struct dl_lease_answer *a,
				uint64_t version, int64_t now);
/* Records that another version was applied here. */
void dl_lease_version_applied(struct dl_lease *l, uint64_t version);
/*
 * Age of the current confirmation, counted from its request; INT64_MAX if none.
 */
int64_t dl_lease_age(const struct dl_lease *l, int64_t now);
/*
 * Whether requests may be admitted. With lease_ms 0, one confirmation is valid
 * forever.
 */
bool dl_lease_is_valid(const struct dl_lease *l, uint32_t lease_ms,
		       int64_t now);
/* Whether this VM is ready for new callers. */
bool dl_lease_ready(const struct dl_lease *l, uint32_t lease_ms, int64_t now);

#endif
