/*
 * Counters and gauges of the process. They are defined in one list so that
 * /metrics and the manual agree. Counters only grow; gauges are set.
 */
#ifndef DL_BASE_METRIC_H
#define DL_BASE_METRIC_H

#include <stdint.h>

/* X(name, help) */
#define DL_METRIC_LIST(X)                                                      \
	X(requests_total, "requests received from callers")                    \
	X(requests_done, "requests answered completely")                       \
	X(requests_refused, "requests refused without having run")             \
	X(requests_failed, "requests that failed")                             \
	X(requests_unknown, "requests whose outcome is unknown")               \
	X(requests_late, "requests that exceeded their deadline")              \
	X(requests_unsure,                                                     \
	  "requests that waited for the version in force to be confirmed")     \
	X(requests_quarantined,                                                \
	  "requests quarantined because endpoints crashed")                    \
	X(parts_quarantined,                                                   \
	  "parts of prompts quarantined because endpoints crashed")            \
	X(crash_suspects, "requests and parts under which endpoints crashed")  \
	X(quarantine_refusals, "requests refused for a quarantine")            \
	X(quarantine_probes, "requests let through to tell causes apart")      \
	X(quarantine_unsaved, "saves of the quarantine that failed")           \
	X(quarantine_dropped, "crash records dropped for lack of room")        \
	X(bad_requests, "invalid requests")                                    \
	X(requests_malformed, "requests refused before they were read whole")  \
	X(response_heads_too_long,                                             \
	  "responses given up because their headers exceed 64 KiB")            \
	X(connections_unread,                                                  \
	  "requests sent on a connection on which bytes lay already")          \
	X(responses_with_bytes_after,                                          \
	  "responses of endpoints with bytes after their end")                 \
	X(response_heads_malformed,                                            \
	  "responses whose head is none, or has another one in it")            \
	X(responses_joined, "responses in whose body another response begins") \
	X(stray_bytes,                                                         \
	  "times bytes came from an endpoint that belong to no request")       \
	X(responses_of_others,                                                 \
	  "responses of endpoints to another request than that sent")          \
	X(streams_open, "requests in flight")                                  \
	X(buffered_bytes, "request bytes buffered")                            \
	X(reads_paused, "times a large request had to wait to be read")        \
	X(answer_bytes, "bytes of answers held for callers")                   \
	X(answers_paused, "times an answer had to wait to be read")            \
	X(streams_cut_short,                                                   \
	  "streams that ended early though their connection ended in order")   \
	X(answers_broken_off, "answers that began and could not be finished")  \
	X(retries_total, "attempts after the first one of a request")          \
	X(retries_failed, "of these, after an endpoint's error")               \
	X(retries_rejected, "of these, after an endpoint did not run it")      \
	X(retries_broken, "of these, after no whole response")                 \
	X(retries_resumed, "of these, streams continued after their events")   \
	X(retries_silent, "attempts given up for their silence")               \
	X(retries_unsent, "of these, not charged, as nothing had been sent")   \
	X(retries_denied, "repeats that the retry budget did not cover")       \
	X(retry_budget_left_milli,                                             \
	  "thousandths of repeats that this VM's dispatchers can allow")       \
	X(grants_total, "grants issued by this VM's dispatchers")              \
	X(stop_admitted, "requests admitted while this VM was stopping")       \
	X(stop_refused,                                                        \
	  "requests refused because they might not end before this VM exits")  \
	X(stop_cut, "requests ended because this VM had to exit")              \
	X(backoffs_total, "times an endpoint asked this VM to back off")       \
	X(grants_unused,                                                       \
	  "grants returned because the endpoint asked to back off")            \
	X(grants_evacuated,                                                    \
	  "grants returned because the endpoint's domain is evacuated")        \
	X(evacuated_domains, "failure domains that are evacuated")             \
	X(services_without_endpoint,                                           \
	  "services without an endpoint that stays outside evacuated domains") \
	X(grants_leaving,                                                      \
	  "grants of endpoints that are leaving, as no other one is open")     \
	X(queue_entries, "requests queued in this VM's dispatchers")           \
	X(grants_held,                                                         \
	  "grants in this VM's pools, also where another VM dispatches")       \
	X(endpoints_known, "endpoints announced to this VM")                   \
	X(endpoints_unreachable,                                               \
	  "times an endpoint was given no work as a VM could not reach it")    \
	X(takeover_reports,                                                    \
	  "engines whose load was read after this VM began to dispatch")       \
	X(takeover_foreign_requests,                                           \
	  "requests on these engines that no grant explained")                 \
	X(asks_hedged, "grant requests sent to a second VM as well")           \
	X(asks_hedged_won, "grants of that VM that were used")                 \
	X(tunnels_opened, "connections to endpoints forwarded for other VMs")  \
	X(tunnels_refused, "connections to endpoints that were not forwarded") \
	X(tunnels_forwarded, "forwarded connections that are open")            \
	X(tunnels_used,                                                        \
	  "connections to endpoints that other VMs forwarded for this one")    \
	X(connects_failed,                                                     \
	  "direct connections to endpoints that failed or were not answered")  \
	X(unreported_endpoints_dropped,                                        \
	  "granted endpoints without a report dropped for lack of room")       \
	X(services_cut_off,                                                    \
	  "services whose endpoints this VM is cut off from")                  \
	X(directory_full, "announcements ignored for want of room")            \
	X(departures_known, "departures of endpoints that are remembered")     \
	X(departures_recovered,                                                \
	  "departures learned from another VM's list, not as they happened")   \
	X(departures_unconfirmed,                                              \
	  "departures not acknowledged, as no other replica confirmed them")   \
	X(pauses, "times that the process did not run for 200 ms or longer")   \
	X(vms_live, "VMs considered live")                                     \
	X(peer_frames_in, "frames received from other VMs")                    \
	X(peer_frames_out, "frames sent to other VMs")                         \
	X(peer_bytes_in, "bytes received from other VMs")                      \
	X(peer_bytes_out, "bytes sent to other VMs")                           \
	X(peer_silent, "peer connections replaced because they were silent")   \
	X(peer_bad_frames, "malformed frames from other VMs")                  \
	X(late_frames_dropped, "late or mismatched frames that were dropped")  \
	X(memb_dropped,                                                        \
	  "membership datagrams dropped because too many were to be sent")     \
	X(members_ignored, "messages about VMs ignored for want of room")      \
	X(joins_ignored,                                                       \
	  "requests to join the replica group beyond those kept")              \
	X(disk_errors, "disk operations of the replicated log that failed")    \
	X(disk_failing, "1 while the disk of the replicated log fails")        \
	X(voters, "voters of the replica group")                               \
	X(voters_heard, "voters heard recently, this replica included")        \
	X(config_version, "configuration version in force")                    \
	X(conf_deltas_applied,                                                 \
	  "configuration versions put in force by a delta")                    \
	X(conf_deltas_unusable, "configuration deltas that were not used")     \
	X(conf_arrivals_dropped,                                               \
	  "configuration deltas dropped because too many versions waited")     \
	X(conf_pulls_dropped,                                                  \
	  "configuration pulls dropped because too many VMs waited")           \
	X(conf_whole_reads, "configuration versions read as a whole text")     \
	X(conf_slice_ms,                                                       \
	  "milliseconds spent on configuration deltas applied in slices")      \
	X(conf_slice_max_us,                                                   \
	  "longest slice of a configuration delta in microseconds")            \
	X(conf_slice_cpu_max_us,                                               \
	  "most CPU time of a slice of a configuration delta in microseconds") \
	X(replica_heard_ms_ago, "milliseconds since a replica was last heard")

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
