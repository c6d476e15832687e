/*
 * What entries and replicas share of the quarantine: entries tell the replicas
 * of crashes, each replica tells all entries what is new to it.  The group's
 * log is not needed for it, so that a failure domain that is cut off knows of
 * the crashes there; who is reached again is told all that is known.
 */
#ifndef DL_MAIN_QUARANTINE_H
#define DL_MAIN_QUARANTINE_H

#include <glib.h>

#include "daisyledge/quarantine.h"
#include "transport/peers.h"

struct quarantine {
	struct dl_quarantine *records;
	GArray *unsent; /* of struct dl_crash, to be told */
	bool changed;	/* which requests are held back, since it was unset */
	int64_t expired_at;
};

void quarantine_init(struct quarantine *q);
/* Note a crash; where it is new it goes to unsent, and is logged. */
void quarantine_report_local(struct quarantine *q, const struct dl_crash *crash,
			     int64_t now);
/* Take in a crash that was not seen here; pass_on: what is new goes to unsent.
 */
void quarantine_merge_remote(struct quarantine *q, const struct dl_crash *crash,
			     bool pass_on, int64_t now);
/* Take in another VM's word; pass_on: what is new goes to unsent here too. */
void quarantine_frame(struct quarantine *q, struct dl_str body, bool pass_on,
		      int64_t now);
/* Hand the bodies of what is new to send, and forget what is too old. */
void quarantine_flush(struct quarantine *q, int64_t now,
		      void (*send)(void *arg, struct dl_str body), void *arg);
/* Tell one VM all that is known. */
void quarantine_send_all(struct quarantine *q, struct dl_peers *peers,
			 uint64_t vm, int64_t now);

#endif
