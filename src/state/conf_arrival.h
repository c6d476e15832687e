/*
 * The order in which an entry puts received configuration versions in force.
 * Load: versions that follow each other within a second, as whole texts and as
 * deltas, repeated, late or with gaps, on a VM with a tenth of a core. Harm: a
 * version that goes back, a delta applied to another version than its base, or
 * whole texts read without pause, which stalls the streams of the VM.
 */
#ifndef DL_STATE_CONF_ARRIVAL_H
#define DL_STATE_CONF_ARRIVAL_H

#include "state/conf_history.h"

/*
 * Versions that wait. More than a handful wait only while a whole text is read,
 * which takes about as long as four versions need to follow each other.
 */
#define DL_CONF_ARRIVALS_MAX 16
/* Total deflated size of waiting deltas. */
#define DL_CONF_ARRIVAL_BYTES_MAX (256u << 10)

/* What becomes of a version that arrives. */
enum dl_conf_arrival {
	DL_CONF_KNOWN,	 /* it is in force or superseded by one that is known */
	DL_CONF_QUEUED,	 /* see dl_conf_arrivals_next() */
	DL_CONF_NO_BASE, /* a delta whose base is not known: pull */
	DL_CONF_OTHER_BASE, /* as above; the base has another digest here */
	DL_CONF_FULL, /* too many versions wait; it is counted: pull later */
};

/* A version that has arrived. */
struct dl_conf_received {
	struct dl_conf_id id;	/* digest 0 for a whole text */
	struct dl_conf_id base; /* of a delta; version 0 for a whole text */
	bool small;		/* it is read at once, between two events */
	bool own_pace; /* a delta applied in steps, which rest by themselves */
	/* A whole text in place of which a delta has been pulled. */
	bool awaits_delta;
	size_t bytes; /* deflated */
	void *job;    /* the owner's */
};

struct dl_conf_arrivals {
	/* Set by the owner at the start: frees a version that is superseded. */
	void (*drop)(void *job);
	struct dl_conf_id in_force; /* digest 0: its sections are not known */
	bool splitting;		    /* in_force.digest will be known soon */
	struct dl_conf_id reading;  /* large version at work; 0: none */
	int64_t read_not_before;    /* of whole texts */
	int64_t waiting_since; /* when the first version that waits arrived */
	struct dl_conf_received waiting[DL_CONF_ARRIVALS_MAX];
	uint32_t count;
	size_t bytes; /* of deltas in waiting */
};

/* Whether a received version is a delta; otherwise it is a whole text. */
static inline bool dl_conf_is_delta(const struct dl_conf_received *r)
{
	return r->base.version != 0;
}

/* The newest version that is in force, being read or waiting. */
uint64_t dl_conf_arrivals_newest(const struct dl_conf_arrivals *a);
/* Takes the job if the result is DL_CONF_QUEUED. */
enum dl_conf_arrival dl_conf_arrivals_add(struct dl_conf_arrivals *a,
					  const struct dl_conf_received *r,
					  int64_t now);

/* What to do with the version that dl_conf_arrivals_next() returned. */
enum dl_conf_next {
	DL_CONF_WAIT,	    /* nothing now */
	DL_CONF_READ,	    /* read it, then dl_conf_arrivals_read() */
	DL_CONF_BASE_GONE,  /* its base did not come into force: pull */
	DL_CONF_BASE_OTHER, /* its base has another digest: pull */
	/* several large deltas wait: pull one that replaces them all */
	DL_CONF_SUPERSEDED,
};

/* Hands the next version back to the owner, unless it has to wait. */
enum dl_conf_next dl_conf_arrivals_next(struct dl_conf_arrivals *a, int64_t now,
					struct dl_conf_received *out);
/*
 * A small delta, as returned by dl_conf_arrivals_next(), takes long to read: it
 * is treated as a large one from now on. A large one that is being read is
 * older, and its result would not be put in force; the owner drops it.
 */
void dl_conf_arrivals_continue(struct dl_conf_arrivals *a,
			       struct dl_conf_received *r);
/*
 * Takes back a version from dl_conf_arrivals_next() that turned out to take
 * long to read. It is handed out as a large one, when its turn comes.
 */
void dl_conf_arrivals_put_back(struct dl_conf_arrivals *a,
			       const struct dl_conf_received *r);
/* A version was read, which took this long; it need not be in force. */
void dl_conf_arrivals_read(struct dl_conf_arrivals *a,
			   const struct dl_conf_received *r, int64_t took_ms,
			   int64_t now);
/*
 * Puts a version in force; false if that would be a step back. splitting: its
 * sections are being split from its text, see dl_conf_arrivals_split().
 */
bool dl_conf_arrivals_put_in_force(struct dl_conf_arrivals *a,
				   struct dl_conf_id id, bool splitting);
/* The sections of a version are known, or, with digest 0, cannot be split. */
void dl_conf_arrivals_split(struct dl_conf_arrivals *a, struct dl_conf_id id);

#endif
