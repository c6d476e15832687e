/*
 * Quarantine state shared by entries and replicas. Entries send crash reports
 * to the replicas, and each replica forwards reports that are new to it to all
 * entries. This does not depend on the replicated log, so that a partitioned
 * failure domain still learns of the crashes there; a VM that reconnects is
 * sent all reports.
 */
#ifndef DL_NODE_QUARANTINE_H
#define DL_NODE_QUARANTINE_H

#include <glib.h>

#include "daisyledge/quarantine.h"
#include "transport/peers.h"

struct quarantine {
	struct dl_quarantine *records;
	struct dl_crash_queue *unsent;
	bool changed;	  /* quarantined causes, since it was reset */
	uint64_t dropped; /* as last added to the counter */
	int64_t expired_at;
};

void quarantine_init(struct quarantine *q);
void quarantine_report_local(struct quarantine *q, const struct dl_crash *crash,
			     int64_t now);
void quarantine_merge_remote(struct quarantine *q, const struct dl_crash *crash,
			     bool pass_on, int64_t now);
/*
 * Merges the reports of a frame of either kind. If crashed is not NULL, it is
 * called for each instance that the frame says has crashed.
 */
void quarantine_frame(struct quarantine *q, const struct dl_frame *f,
		      bool pass_on, int64_t now,
		      void (*crashed)(void *arg, uint64_t start), void *arg);
void quarantine_log_changes(struct quarantine *q, int64_t now);
void quarantine_flush(struct quarantine *q, int64_t now,
		      void (*send)(void *arg, uint32_t kind,
				   struct dl_str body),
		      void *arg);
void quarantine_send_all(struct quarantine *q, struct dl_peers *peers,
			 uint64_t vm, int64_t now);

#endif
