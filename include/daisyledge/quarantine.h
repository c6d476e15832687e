/*
 * Quarantine of what crashes endpoints: a request, or a part of prompts, which
 * crashes each endpoint that begins to answer on it, whatever else the request
 * holds. A request that is retried, or requests that share such a part, take
 * down a whole service, along with the requests that run beside them. Once
 * enough endpoints anywhere in the fleet have crashed, what is to blame for it
 * is refused for a while.
 *
 * A crash breaks all requests that its endpoint runs, so it puts each of them,
 * and each part of their prompts, under suspicion. A cause is cleared by a
 * request that holds it and that an endpoint survives. Of those that remain,
 * the one that the most crashes have in common is blamed, and what it explains
 * counts against no other. Where two causes explain the same crashes, both are
 * refused, and requests that hold only some of them are let through one at a
 * time, as probes.
 *
 * A request is identified by a number that is the same each time it is sent, a
 * part by a number that is the same in each prompt, and an endpoint instance
 * ("start": one run of an endpoint process) by a number that no other instance
 * has. The module does no I/O and reads no clock.
 */
#ifndef DAISYLEDGE_QUARANTINE_H
#define DAISYLEDGE_QUARANTINE_H

#include "daisyledge/base.h"

struct dl_quarantine;

/*
 * Number of crashes, each of an attempt that was sent after the one before it,
 * until a cause is blamed. A single endpoint may crash for other reasons, and
 * many at the same moment, but few causes that are harmless meet three crashes
 * in a row.
 */
#define DL_QUARANTINE_CRASHES 3

/* What may be to blame for a crash. */
struct dl_cause {
	uint64_t id;	/* of the request, or of the part */
	uint64_t scope; /* of a part: the service that ran it; 0: a request */
};

/* All causes of one request. */
struct dl_causes {
	uint64_t request;
	uint64_t scope; /* of the parts; not 0 */
	const uint64_t *part;
	uint32_t parts;
};

/*
 * What VMs report to each other: a crash of a cause, or that the cause is
 * harmless.
 */
struct dl_crash {
	struct dl_cause cause;
	uint64_t request; /* that held the cause; of a request: itself */
	uint64_t start;	  /* instance that crashed; 0: the cause is cleared */
	uint32_t cleared; /* times cleared so far, this report included */
	uint32_t age_ms;  /* age of the event */
	uint32_t ran_ms;  /* from sending the request to the crash */
};

struct dl_quarantine *dl_quarantine_new(void);
void dl_quarantine_free(struct dl_quarantine *q);

/*
 * Records an attempt, sent at a given time, that was interrupted at an endpoint
 * instance. Whether the instance crashed is not known yet.
 */
void dl_quarantine_attempt_interrupted(struct dl_quarantine *q,
				       const struct dl_causes *causes,
				       uint64_t start, int64_t sent,
				       int64_t now);
/*
 * Called when an instance is known to have crashed: takes the next cause of the
 * attempts that were interrupted there, and stores a crash report for
 * dl_quarantine_merge() in out. Returns false if none is left.
 */
bool dl_quarantine_next_crash(struct dl_quarantine *q, uint64_t start,
			      int64_t now, struct dl_crash *out);

/*
 * Merges a report, local or received; returns whether it changed anything. VMs
 * that forward each report that was new to them converge on the same state in
 * any order of delivery: crashes from before a cause was cleared never count
 * again.
 */
bool dl_quarantine_merge(struct dl_quarantine *q, const struct dl_crash *crash,
			 int64_t now);
/* Whether an endpoint crashed under a cause since it was last cleared. */
bool dl_quarantine_is_suspect(const struct dl_quarantine *q,
			      const struct dl_cause *cause);
/* Whether an instance crashed under any of the causes since it was cleared. */
bool dl_quarantine_has_crashed(const struct dl_quarantine *q,
			       const struct dl_causes *causes, uint64_t start);
/* Number of causes for which dl_quarantine_is_suspect() holds. */
uint32_t dl_quarantine_suspects(const struct dl_quarantine *q);
/* How often a cause has been cleared, as far as known. */
uint32_t dl_quarantine_clear_count(const struct dl_quarantine *q,
				   const struct dl_cause *cause);
/* Remaining quarantine of a cause in ms; 0 if it may run. */
uint32_t dl_quarantine_remaining_ms(struct dl_quarantine *q,
				    const struct dl_cause *cause, int64_t now);

/*
 * Whether a cause is quarantined, or would be if another did not explain its
 * crashes: what has to be known after a restart.
 */
bool dl_quarantine_is_candidate(struct dl_quarantine *q,
				const struct dl_cause *cause, int64_t now);

/*
 * Whether the crashes of candidates differ from those at the last call of
 * dl_quarantine_note_saved(), so that they have to be saved.
 */
bool dl_quarantine_unsaved(struct dl_quarantine *q);
void dl_quarantine_note_saved(struct dl_quarantine *q);
/* Number of causes, crashes and attempts that were dropped for lack of room. */
uint64_t dl_quarantine_dropped(const struct dl_quarantine *q);

enum dl_quarantine_rule {
	DL_QUARANTINE_RUN,
	DL_QUARANTINE_PROBE, /* it may run if no other probe does */
	DL_QUARANTINE_REFUSE,
};

struct dl_quarantine_verdict {
	enum dl_quarantine_rule rule;
	struct dl_cause cause; /* that is quarantined, unless it may run */
	bool certain;	       /* no other cause explains the crashes */
	uint32_t retry_ms;     /* of a refusal: when to return */
};

/* Decides whether a request may be sent to an endpoint. */
struct dl_quarantine_verdict dl_quarantine_check(struct dl_quarantine *q,
						 const struct dl_causes *causes,
						 int64_t now);

/* A cause that was quarantined or released. */
struct dl_quarantine_change {
	struct dl_cause cause;
	uint32_t remaining_ms; /* 0: released */
	uint32_t crashes;      /* instances that crashed */
	uint32_t requests;     /* distinct requests seen, at most 2 */
	bool certain;
};

/*
 * Stores a cause whose quarantine has begun, ended, or become certain or
 * uncertain since it was last returned here. Returns false if there is none.
 */
bool dl_quarantine_next_change(struct dl_quarantine *q, int64_t now,
			       struct dl_quarantine_change *out);
/*
 * Calls a function for each report that still counts, for a VM that has none;
 * at most this many of each cause, those first that show it to be blamed.
 */
void dl_quarantine_foreach(
	const struct dl_quarantine *q, int64_t now, uint32_t most,
	void (*each)(void *arg, const struct dl_crash *crash), void *arg);
/* Removes records that are too old to count. */
void dl_quarantine_expire(struct dl_quarantine *q, int64_t now);
/* Number of requests, or of parts, in quarantine. */
uint32_t dl_quarantine_count(struct dl_quarantine *q, bool parts, int64_t now);

/* Reports that wait to be sent to other VMs. */
struct dl_crash_queue;

struct dl_crash_queue *dl_crash_queue_new(void);
void dl_crash_queue_free(struct dl_crash_queue *queue);
/* Appends a report whose age is as of now. */
void dl_crash_queue_add(struct dl_crash_queue *queue,
			const struct dl_crash *crash, int64_t now);
/*
 * Removes the oldest reports of parts, or of whole requests, and stores them
 * with their ages as of now; at most this many. Returns their number.
 */
uint32_t dl_crash_queue_take(struct dl_crash_queue *queue, bool parts,
			     int64_t now, struct dl_crash *out, uint32_t most);

#endif
