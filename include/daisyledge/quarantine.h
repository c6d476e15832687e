/*
 * Requests under which endpoints crash.  A request that comes again and again
 * and takes an endpoint down each time takes a service down with it, and the
 * requests that run beside it.  Once endpoints enough have crashed under one,
 * wherever in the fleet, it is held back for a while.
 *
 * A request is known by a number that is the same each time it comes, the start
 * of an endpoint by a number that no other start has.  Pure.
 */
#ifndef DAISYLEDGE_QUARANTINE_H
#define DAISYLEDGE_QUARANTINE_H

#include "daisyledge/base.h"

struct dl_quarantine;

/*
 * Endpoints that crash under a request before it is held back: one may crash by
 * itself, and of requests that were only beside one that is to blame few meet
 * three crashes without an answer between them.
 */
#define DL_QUARANTINE_CRASHES 3

/* What VMs tell each other: a crash under a request, or that it is harmless. */
struct dl_crash {
	uint64_t request;
	uint64_t start;	  /* that crashed; 0: the request was answered */
	uint32_t cleared; /* how often it had been, this time included */
	uint32_t age_ms;  /* since then */
};

struct dl_quarantine *dl_quarantine_new(void);
void dl_quarantine_free(struct dl_quarantine *q);

/*
 * An attempt of a request broke off at a start of an endpoint.  Whether the
 * endpoint crashed is not known yet.
 */
void dl_quarantine_attempt_interrupted(struct dl_quarantine *q,
				       uint64_t request, uint64_t start,
				       int64_t now);
/*
 * A start has crashed: the next request that broke off there goes to out, to be
 * noted.  False where there is none, or no other.
 */
bool dl_quarantine_next_crash(struct dl_quarantine *q, uint64_t start,
			      int64_t now, struct dl_crash *out);

/*
 * Take in what is known here or was told; false where it is nothing new.  VMs
 * that pass on to each other what is new end with the same, in any order: what
 * a request was blamed for before it was cleared never comes back.
 */
bool dl_quarantine_merge(struct dl_quarantine *q, const struct dl_crash *crash,
			 int64_t now);
/* Whether an endpoint crashed under a request and it was not cleared since. */
bool dl_quarantine_is_suspect(const struct dl_quarantine *q, uint64_t request);
/* How often a request has been cleared, as far as is known. */
uint32_t dl_quarantine_clear_count(const struct dl_quarantine *q,
				   uint64_t request);
/* How long a request is still held back, ms; 0: it may run. */
uint32_t dl_quarantine_remaining_ms(const struct dl_quarantine *q,
				    uint64_t request, int64_t now);
/* All crashes that are known, for a VM that has heard of none. */
void dl_quarantine_foreach(const struct dl_quarantine *q, int64_t now,
			   void (*each)(void *arg,
					const struct dl_crash *crash),
			   void *arg);
/* Drop what is too old to count. */
void dl_quarantine_expire(struct dl_quarantine *q, int64_t now);
/* Requests that are held back. */
uint32_t dl_quarantine_count(const struct dl_quarantine *q, int64_t now);

#endif
