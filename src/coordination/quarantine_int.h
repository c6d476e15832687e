/* What the files of the quarantine share. */
#ifndef DL_COORDINATION_QUARANTINE_INT_H
#define DL_COORDINATION_QUARANTINE_INT_H

#include <glib.h>

#include "daisyledge/quarantine.h"

/* A crash under a cause. */
struct evidence {
	uint64_t start;	  /* instance that crashed */
	uint64_t request; /* that held the cause */
	int64_t at;	  /* when its attempt was interrupted */
	int64_t sent;	  /* when that was sent */
};

/* A cause under which endpoints crashed. */
struct record {
	struct dl_cause cause;
	GArray *crashes;  /* struct evidence, since it was cleared, by time */
	uint32_t cleared; /* times cleared */
	int64_t last;	  /* time of the last crash, or of the clearing */
	bool candidate;	  /* to be blamed */
	bool blamed;
	/* Other causes that may explain the same crashes; not owned. */
	GPtrArray *rivals;
	/* What dl_quarantine_next_change() last said of it. */
	enum {
		NOT_HELD,
		HELD_UNCERTAIN,
		HELD_CERTAIN
	} reported;
};

struct dl_quarantine {
	GHashTable *records; /* by cause */
	GArray *interrupted; /* struct interrupted, a ring buffer */
	uint32_t interrupted_next;
	uint32_t suspects;
	bool stale; /* records changed since they were last judged */
	uint64_t candidates_digest; /* of the crashes of all candidates */
	uint64_t saved_digest;	    /* the same when they were last saved */
	uint64_t dropped;
};

struct record *quarantine_find(const struct dl_quarantine *q,
			       const struct dl_cause *cause);
bool quarantine_is_held(const struct record *r, int64_t now);
bool quarantine_has_start(const struct record *r, uint64_t start);
bool quarantine_is_first(const struct record *r, guint i);
uint32_t quarantine_starts(const struct record *r);
uint32_t quarantine_requests(const struct record *r);
/* Whether evidence continues a sequence whose last crash was at a time. */
bool quarantine_follows(const struct evidence *ev, int64_t last);
void quarantine_judge(struct dl_quarantine *q);

#endif
