/* Crash reports exchanged between entries and replicas; see the header. */
#include "node/quarantine.h"

#include "base/metric.h"
#include "base/msg.h"
#include "protocol/quarantine_codec.h"

#define EXPIRE_INTERVAL_MS 10000

void quarantine_init(struct quarantine *q)
{
	q->records = dl_quarantine_new();
	q->unsent = g_array_new(FALSE, FALSE, sizeof(struct dl_crash));
}

static void update_gauge(const struct quarantine *q, int64_t now)
{
	dl_gauge(DL_METRIC_requests_quarantined,
		 dl_quarantine_count(q->records, now));
}

/*
 * Merges a report; logs if a request is quarantined or released by it. Returns
 * whether it was new.
 */
static bool merge(struct quarantine *q, const struct dl_crash *crash,
		  int64_t now)
{
	uint32_t before =
		dl_quarantine_remaining_ms(q->records, crash->request, now);
	uint32_t after;

	if (!dl_quarantine_merge(q->records, crash, now))
		return false;
	after = dl_quarantine_remaining_ms(q->records, crash->request, now);
	if (!before == !after)
		return true;
	q->changed = true;
	dl_msg(after ? DL_MSG_REQUEST_QUARANTINED : DL_MSG_REQUEST_RELEASED,
	       "content=%016lx crashes=%d for_ms=%u age_ms=%u",
	       (unsigned long)crash->request, DL_QUARANTINE_CRASHES, after,
	       crash->age_ms);
	update_gauge(q, now);
	return true;
}

/* Records a crash detected by this process, and logs it if it is new. */
void quarantine_report_local(struct quarantine *q, const struct dl_crash *crash,
			     int64_t now)
{
	if (!merge(q, crash, now))
		return;
	g_array_append_val(q->unsent, *crash);
	if (crash->start)
		dl_msg(DL_MSG_ENDPOINT_CRASHED,
		       "content=%016lx start=%016lx age_ms=%u",
		       (unsigned long)crash->request,
		       (unsigned long)crash->start, crash->age_ms);
}

/*
 * Merges a report from another VM or from disk. pass_on: forward it if it is
 * new.
 */
void quarantine_merge_remote(struct quarantine *q, const struct dl_crash *crash,
			     bool pass_on, int64_t now)
{
	if (merge(q, crash, now) && pass_on)
		g_array_append_val(q->unsent, *crash);
}

/* Merges the reports of a received frame. */
void quarantine_frame(struct quarantine *q, struct dl_str body, bool pass_on,
		      int64_t now)
{
	struct dl_crash crashes[DL_CRASHES_MAX];
	uint32_t count;
	int rc = dl_crashes_read(body, crashes, &count);

	if (rc) {
		dl_msg(DL_MSG_CRASHES_BAD, "bytes=%zu error=%d", body.n, rc);
		return;
	}
	for (uint32_t i = 0; i < count; i++)
		quarantine_merge_remote(q, &crashes[i], pass_on, now);
}

static void send_crashes(const GArray *crashes,
			 void (*send)(void *arg, struct dl_str body), void *arg)
{
	for (guint i = 0; i < crashes->len; i += DL_CRASHES_MAX) {
		struct dl_packer pk;

		dl_crashes_pack(&pk,
				&g_array_index(crashes, struct dl_crash, i),
				MIN(crashes->len - i, DL_CRASHES_MAX));
		send(arg, dl_packer_bytes(&pk));
		dl_packer_close(&pk);
	}
}

/* Sends new reports, and periodically removes old ones. */
void quarantine_flush(struct quarantine *q, int64_t now,
		      void (*send)(void *arg, struct dl_str body), void *arg)
{
	send_crashes(q->unsent, send, arg);
	g_array_set_size(q->unsent, 0);
	if (now - q->expired_at < EXPIRE_INTERVAL_MS)
		return;
	q->expired_at = now;
	dl_quarantine_expire(q->records, now);
	update_gauge(q, now);
}

static void append_crash(void *arg, const struct dl_crash *crash)
{
	GArray *all = arg;

	g_array_append_val(all, *crash);
}

struct recipient {
	struct dl_peers *peers;
	uint64_t vm;
};

static void send_to_recipient(void *arg, struct dl_str body)
{
	const struct recipient *to = arg;

	dl_peers_send(to->peers, to->vm, DL_FRAME_CRASHES, 0, body);
}

/* Sends all reports to a VM that may have missed some. */
void quarantine_send_all(struct quarantine *q, struct dl_peers *peers,
			 uint64_t vm, int64_t now)
{
	GArray *all = g_array_new(FALSE, FALSE, sizeof(struct dl_crash));
	struct recipient to = { peers, vm };

	dl_quarantine_foreach(q->records, now, append_crash, all);
	send_crashes(all, send_to_recipient, &to);
	g_array_free(all, TRUE);
}
