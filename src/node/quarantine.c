/* Crash reports exchanged between entries and replicas; see the header. */
#include "node/quarantine.h"

#include "base/metric.h"
#include "base/msg.h"
#include "protocol/quarantine_codec.h"

#define EXPIRE_INTERVAL_MS 10000

void quarantine_init(struct quarantine *q)
{
	q->records = dl_quarantine_new();
	q->unsent = dl_crash_queue_new();
}

static void update_gauges(const struct quarantine *q, int64_t now)
{
	dl_gauge(DL_METRIC_requests_quarantined,
		 dl_quarantine_count(q->records, false, now));
	dl_gauge(DL_METRIC_parts_quarantined,
		 dl_quarantine_count(q->records, true, now));
	dl_gauge(DL_METRIC_crash_suspects, dl_quarantine_suspects(q->records));
}

static void log_change(const struct dl_quarantine_change *change)
{
	bool part = change->cause.scope != 0;

	if (part)
		dl_msg(change->remaining_ms ? DL_MSG_PART_QUARANTINED :
					      DL_MSG_PART_RELEASED,
		       "part=%lx scope=%016lx crashes=%u requests=%u "
		       "for_ms=%u certain=%d",
		       (unsigned long)change->cause.id,
		       (unsigned long)change->cause.scope, change->crashes,
		       change->requests, change->remaining_ms, change->certain);
	else
		dl_msg(change->remaining_ms ? DL_MSG_REQUEST_QUARANTINED :
					      DL_MSG_REQUEST_RELEASED,
		       "content=%016lx crashes=%u for_ms=%u certain=%d",
		       (unsigned long)change->cause.id, change->crashes,
		       change->remaining_ms, change->certain);
}

/* Logs which requests and parts are quarantined or released since last time. */
void quarantine_log_changes(struct quarantine *q, int64_t now)
{
	struct dl_quarantine_change change;
	bool any = false;

	while (dl_quarantine_next_change(q->records, now, &change)) {
		log_change(&change);
		any = true;
	}
	if (!any)
		return;
	q->changed = true;
	update_gauges(q, now);
}

/*
 * Records a crash detected by this process, or that a cause is harmless, and
 * logs it if it is new: one line for all parts of a request.
 */
void quarantine_report_local(struct quarantine *q, const struct dl_crash *crash,
			     int64_t now)
{
	if (!dl_quarantine_merge(q->records, crash, now))
		return;
	dl_crash_queue_add(q->unsent, crash, now);
	if (crash->start && !crash->cause.scope)
		dl_msg(DL_MSG_ENDPOINT_CRASHED,
		       "content=%016lx start=%016lx age_ms=%u ran_ms=%u",
		       (unsigned long)crash->request,
		       (unsigned long)crash->start, crash->age_ms,
		       crash->ran_ms);
	else if (!crash->start)
		dl_msg(DL_MSG_CAUSE_CLEARED, "%s=%lx scope=%016lx cleared=%u",
		       crash->cause.scope ? "part" : "content",
		       (unsigned long)crash->cause.id,
		       (unsigned long)crash->cause.scope, crash->cleared);
}

/*
 * Merges a report from another VM or from disk. pass_on: forward it if it is
 * new.
 */
void quarantine_merge_remote(struct quarantine *q, const struct dl_crash *crash,
			     bool pass_on, int64_t now)
{
	if (dl_quarantine_merge(q->records, crash, now) && pass_on)
		dl_crash_queue_add(q->unsent, crash, now);
}

/* Merges the reports of a received frame. */
void quarantine_frame(struct quarantine *q, const struct dl_frame *f,
		      bool pass_on, int64_t now,
		      void (*crashed)(void *arg, uint64_t start), void *arg)
{
	struct dl_crash crashes[DL_CRASHES_MAX];
	uint32_t count;
	int rc = f->kind == DL_FRAME_CRASHES ?
			 dl_crashes_read(f->body, crashes, &count) :
			 dl_part_crashes_read(f->body, crashes, &count);

	if (rc) {
		dl_msg(DL_MSG_CRASHES_BAD, "bytes=%zu error=%d", f->body.n, rc);
		return;
	}
	for (uint32_t i = 0; i < count; i++) {
		quarantine_merge_remote(q, &crashes[i], pass_on, now);
		if (crashed && crashes[i].start)
			crashed(arg, crashes[i].start);
	}
}

/* Sends the reports of parts that wait, or those of whole requests. */
static void send_crashes(struct dl_crash_queue *queue, bool parts, int64_t now,
			 void (*send)(void *arg, uint32_t kind,
				      struct dl_str body),
			 void *arg)
{
	struct dl_crash batch[DL_CRASHES_MAX];
	struct dl_packer pk;
	uint32_t count;

	while ((count = dl_crash_queue_take(queue, parts, now, batch,
					    DL_CRASHES_MAX)) > 0) {
		if (parts)
			dl_part_crashes_pack(&pk, batch, count);
		else
			dl_crashes_pack(&pk, batch, count);
		send(arg, parts ? DL_FRAME_PART_CRASHES : DL_FRAME_CRASHES,
		     dl_packer_bytes(&pk));
		dl_packer_close(&pk);
	}
}

/* Logs changes, sends new reports, and periodically removes old ones. */
void quarantine_flush(struct quarantine *q, int64_t now,
		      void (*send)(void *arg, uint32_t kind,
				   struct dl_str body),
		      void *arg)
{
	uint64_t dropped = dl_quarantine_dropped(q->records);

	send_crashes(q->unsent, true, now, send, arg);
	send_crashes(q->unsent, false, now, send, arg);
	quarantine_log_changes(q, now);
	dl_count(DL_METRIC_quarantine_dropped, (int64_t)(dropped - q->dropped));
	q->dropped = dropped;
	if (now - q->expired_at < EXPIRE_INTERVAL_MS)
		return;
	q->expired_at = now;
	dl_quarantine_expire(q->records, now);
	update_gauges(q, now);
}

struct unsent_all {
	struct dl_crash_queue *queue;
	int64_t now;
};

static void append_crash(void *arg, const struct dl_crash *crash)
{
	const struct unsent_all *all = arg;

	dl_crash_queue_add(all->queue, crash, all->now);
}

struct recipient {
	struct dl_peers *peers;
	uint64_t vm;
};

static void send_to_recipient(void *arg, uint32_t kind, struct dl_str body)
{
	const struct recipient *to = arg;

	dl_peers_send(to->peers, to->vm, kind, 0, body);
}

/* Sends all reports to a VM that may have missed some. */
void quarantine_send_all(struct quarantine *q, struct dl_peers *peers,
			 uint64_t vm, int64_t now)
{
	struct unsent_all all = { dl_crash_queue_new(), now };
	struct recipient to = { peers, vm };

	dl_quarantine_foreach(q->records, now, UINT32_MAX, append_crash, &all);
	send_crashes(all.queue, true, now, send_to_recipient, &to);
	send_crashes(all.queue, false, now, send_to_recipient, &to);
	dl_crash_queue_free(all.queue);
}
