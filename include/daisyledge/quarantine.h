/*
 * Quarantine of requests that crash endpoints. A request that is retried and
 * crashes an endpoint each time takes down a whole service, along with the
 * requests that run beside it. Once enough endpoints anywhere in the fleet have
 * crashed under a request, it is refused for a while.
 *
 * A request is identified by a number that is the same each time it is sent,
 * and an endpoint instance ("start": one run of an endpoint process) by a
 * number that no other instance has. The module does no I/O and reads no clock.
 */
#ifndef DAISYLEDGE_QUARANTINE_H
#define DAISYLEDGE_QUARANTINE_H

#include "daisyledge/base.h"

struct dl_quarantine;

/*
 * Number of endpoint crashes under a request before it is quarantined. A single
 * endpoint may crash for other reasons, and few requests that merely ran beside
 * the faulty one meet three crashes without being answered in between.
 */
#define DL_QUARANTINE_CRASHES 3

/*
 * What VMs report to each other: a crash under a request, or that the request
 * was answered and is harmless.
 */
struct dl_crash {
	uint64_t request;
	uint64_t start; /* instance that crashed; 0: the request was answered */
	uint32_t cleared; /* times cleared so far, this report included */
	uint32_t age_ms;  /* age of the event */
};

struct dl_quarantine *dl_quarantine_new(void);
void dl_quarantine_free(struct dl_quarantine *q);

/*
 * Records an attempt that was interrupted at an endpoint instance. Whether the
 * instance crashed is not known yet.
 */
void dl_quarantine_attempt_interrupted(struct dl_quarantine *q,
				       uint64_t request, uint64_t start,
				       int64_t now);
/*
 * Called when an instance is known to have crashed: removes the next request
 * that was interrupted there and stores a crash report for
 * dl_quarantine_merge() in out. Returns false if no such request is left.
 */
bool dl_quarantine_next_crash(struct dl_quarantine *q, uint64_t start,
			      int64_t now, struct dl_crash *out);

/*
 * Merges a report, local or received; returns whether it changed anything. VMs
 * that forward each report that was new to them converge on the same state in
 * any order of delivery: crashes from before a request was cleared never count
 * again.
 */
bool dl_quarantine_merge(struct dl_quarantine *q, const struct dl_crash *crash,
			 int64_t now);
/* Whether an endpoint crashed under a request since it was last cleared. */
bool dl_quarantine_is_suspect(const struct dl_quarantine *q, uint64_t request);
/* How often a request has been cleared, as far as known. */
uint32_t dl_quarantine_clear_count(const struct dl_quarantine *q,
				   uint64_t request);
/* Remaining quarantine of a request in ms; 0 if it may run. */
uint32_t dl_quarantine_remaining_ms(const struct dl_quarantine *q,
				    uint64_t request, int64_t now);
/*
 * Calls a function for each report that still counts, for a VM that has none.
 */
void dl_quarantine_foreach(const struct dl_quarantine *q, int64_t now,
			   void (*each)(void *arg,
					const struct dl_crash *crash),
			   void *arg);
/* Removes records that are too old to count. */
void dl_quarantine_expire(struct dl_quarantine *q, int64_t now);
/* Number of requests in quarantine. */
uint32_t dl_quarantine_count(const struct dl_quarantine *q, int64_t now);

#endif
