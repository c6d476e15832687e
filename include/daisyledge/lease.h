/*
 * How long a copy of the configuration may be trusted: until a while after the
 * leading replica was asked and said that nothing newer is in force.  Pure.
 *
 * Times are milliseconds of a clock that also runs while the VM is suspended.
 */
#ifndef DAISYLEDGE_LEASE_H
#define DAISYLEDGE_LEASE_H

#include "daisyledge/base.h"

struct dl_lease {
	int64_t requested_at;  /* the last question; 0 for none */
	int64_t pending_since; /* the first one since an answer; 0 for none */
	int64_t answered_at;   /* the question that was answered last */
	int64_t confirmed_at;  /* the question behind the latest word */
	uint64_t version;      /* in force by that word */
	/* The question behind the latest word that we are up to; 0 for none. */
	int64_t valid_from;
};

/* A replica's answer. */
struct dl_lease_answer {
	int64_t requested_at; /* the question's own time, sent back */
	uint64_t from;
	bool confirmed;	  /* it leads, and this is in force */
	uint64_t version; /* where sure */
	uint64_t leader;  /* whom it takes for the leader */
};

/* Whether it is time to ask again; lease_ms as below. */
bool dl_lease_renewal_due(const struct dl_lease *l, uint32_t lease_ms,
			  int64_t now);
/*
 * How long a request that finds no word may wait for one, of the left_ms that
 * it has; 0: it is refused.  started, heard: when this process started and when
 * it last heard a replica, on the same clock; heard 0 for never.
 */
uint32_t dl_lease_max_wait_ms(const struct dl_lease *l, int64_t started,
			      int64_t heard, uint32_t left_ms, int64_t now);
/* Whether the one that is asked has not answered in time: ask another. */
bool dl_lease_timed_out(const struct dl_lease *l, int64_t now);
/* Another one is asked from now on. */
void dl_lease_replica_changed(struct dl_lease *l);
void dl_lease_request_sent(struct dl_lease *l, int64_t now);
/* Take an answer; returns whom to ask next, DL_VM_NONE for any. */
uint64_t dl_lease_handle_answer(struct dl_lease *l,
				const struct dl_lease_answer *a,
				uint64_t version, int64_t now);
/* Another version is in force here. */
void dl_lease_version_applied(struct dl_lease *l, uint64_t version);
/* Since when the word that holds was asked for; INT64_MAX for none. */
int64_t dl_lease_age(const struct dl_lease *l, int64_t now);
/* Whether requests may be let through; lease_ms 0: after one word for ever. */
bool dl_lease_is_valid(const struct dl_lease *l, uint32_t lease_ms,
		       int64_t now);
/* Whether new callers should come. */
bool dl_lease_ready(const struct dl_lease *l, uint32_t lease_ms, int64_t now);

#endif
