/*
 * The counters of this process.  One list, so that /metrics and the manual
 * name the same things; counters only grow, gauges are set.
 */
#ifndef DL_BASE_METRIC_H
#define DL_BASE_METRIC_H

#include <stdint.h>

/* X(name, help) */
#define DL_METRIC_LIST(X)                                                      \
	X(requests_total, "requests read from callers")                        \
	X(requests_done, "answered whole")                                     \
	X(requests_refused, "refused as not run")                              \
	X(requests_failed, "ended as failed")                                  \
	X(requests_unknown, "ended as unknown")                                \
	X(requests_late, "ended by their deadline")                            \
	X(requests_unsure, "waited until the version in force was sure")       \
	X(requests_quarantined, "requests held back, since endpoints crash")   \
	X(bad_requests, "requests that made no sense")                         \
	X(streams_open, "requests in flight now")                              \
	X(buffered_bytes, "request bytes held now")                            \
	X(retries_total, "second and later tries")                             \
	X(grants_total, "grants given by this VM's dispatchers")               \
	X(backoffs_total, "times that an endpoint asked this VM to wait")      \
	X(grants_unused, "given back, as an endpoint asked to wait")           \
	X(queue_entries, "requests queued in this VM's dispatchers")           \
	X(endpoints_known, "endpoints announced to this VM")                   \
	X(vms_live, "VMs believed live")                                       \
	X(peer_frames_in, "frames read from other VMs")                        \
	X(peer_frames_out, "frames sent to other VMs")                         \
	X(peer_bytes_in, "bytes read from other VMs")                          \
	X(peer_bytes_out, "bytes sent to other VMs")                           \
	X(peer_silent, "connections replaced for silence")                     \
	X(peer_bad_frames, "frames that made no sense")                        \
	X(late_frames_dropped, "late or crossed frames dropped by id")         \
	X(config_version, "version in force")                                  \
	X(replica_heard_ms_ago, "time since a replica was heard")

enum dl_metric {
#define X(name, help) DL_METRIC_##name,
	DL_METRIC_LIST(X)
#undef X
	DL_METRIC_COUNT,
};

void dl_count(enum dl_metric metric, int64_t delta);
void dl_gauge(enum dl_metric metric, int64_t value);
int64_t dl_metric_read(enum dl_metric metric);
const char *dl_metric_name(enum dl_metric metric);
const char *dl_metric_help(enum dl_metric metric);

#endif
