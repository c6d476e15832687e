/*
 * Relays endpoints' announcements to the entries. That an endpoint is leaving
 * is sent to each entry at once. Other new reports are sent in batches,
 * deflated. For an unchanged report only its key is sent; an entry that does
 * not know the key requests the report.
 *
 * Relaying each announcement would cost too much: 147 endpoints that announce
 * every 1.2 s to 295 entries are 36,000 frames per second, and 29,000 bytes per
 * second for each entry, of which all control traffic may take 12,000. With
 * keys it is 2,700. When 3,000 endpoints started together with their replicas,
 * one frame per endpoint and entry kept the replicas from acknowledging changes
 * for seconds.
 */
#include <stdlib.h>
#include <string.h>

#include "daisyledge/reports.h"
#include "replica/replica.h"
#include "protocol/pool_codec.h"

/*
 * How long keys are collected before they are sent: a sixth of the 1.5 s for
 * which a new dispatcher waits for the reports of its endpoints. With more
 * replicas than RELAYS_USUAL each collects for longer, so that the number of
 * frames that an entry receives stays the same.
 */
#define RENEWAL_BATCH_MS 250
#define RELAYS_USUAL	 7
/* How long new reports are collected: a few event loop iterations. */
#define REPORT_BATCH_MS 40
/* A report last received longer ago than this is not sent on request. */
#define REPORT_FRESH_MS 2000
/* Interval of counting the replicas. */
#define RELAYS_COUNT_MS 1000
/* Reports not received for this long are removed. */
#define REPORT_EXPIRY_MS 30000

/* Keys collected for one frame, and the function that sends it. */
struct key_batch {
	uint64_t key[DL_ID_LIST_MAX];
	uint32_t count;
	int64_t sent_at;
	void (*send)(struct replica *r, const uint64_t *keys, uint32_t count);
};

struct replica_announce {
	struct dl_reports *reports;
	struct key_batch renewals;    /* of unchanged reports */
	struct key_batch new_reports; /* of new reports */
	int64_t last_expiry;
	uint32_t relays; /* live replicas */
	int64_t relays_counted_at;
};

static uint32_t count_relays(const struct replica *r);
static void send_keys(struct replica *r, const uint64_t *keys, uint32_t count);
static void send_reports(struct replica *r, const uint64_t *keys,
			 uint32_t count);

struct replica_announce *replica_announce_new(void)
{
	struct replica_announce *announce = g_new0(struct replica_announce, 1);

	announce->reports = dl_reports_new();
	announce->relays = 1;
	announce->renewals.send = send_keys;
	announce->new_reports.send = send_reports;
	return announce;
}

/* The live replicas, this one included; each relays to all entries. */
static uint32_t count_relays(const struct replica *r)
{
	const struct dl_member *m;
	uint32_t n = 0;

	for (uint32_t i = 0; (m = dl_memb_at(r->node.memb, i)); i++)
		n += m->replica && m->state == DL_ALIVE;
	return MAX(n, 1);
}

/*
 * Packs the reports of known keys into one body. If memory is short nothing is
 * sent: an entry that misses a report requests it when it next gets the key.
 */
static int pack_reports(const struct replica_announce *announce,
			const uint64_t *keys, uint32_t count, char **body,
			size_t *n)
{
	struct dl_str reports[DL_ID_LIST_MAX];

	for (uint32_t i = 0; i < count; i++)
		reports[i] = dl_reports_find(announce->reports, keys[i]);
	return dl_report_batch_pack(reports, count, body, n);
}

static void send_reports(struct replica *r, const uint64_t *keys,
			 uint32_t count)
{
	char *body;
	size_t n;

	if (pack_reports(r->announce, keys, count, &body, &n))
		return;
	replica_broadcast(r, replica_services_shared(r), DL_FRAME_REPORTS,
			  (struct dl_str){ body, n });
	free(body);
}

static void send_keys(struct replica *r, const uint64_t *keys, uint32_t count)
{
	struct dl_packer pk;

	dl_id_list_pack(&pk, DL_STR(""), keys, count);
	replica_broadcast(r, replica_services_shared(r), DL_FRAME_UNCHANGED,
			  dl_packer_bytes(&pk));
	dl_packer_close(&pk);
}

/*
 * Sends the keys or reports collected. Those of instances that have left since
 * are skipped: a report that arrives after the leaving message would add the
 * instance to an entry that did not know it.
 */
static void flush_batch(struct replica *r, struct key_batch *batch, int64_t now)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < batch->count; i++) {
		if (dl_reports_find(r->announce->reports, batch->key[i]).n)
			batch->key[n++] = batch->key[i];
	}
	batch->count = 0;
	batch->sent_at = now;
	if (n)
		batch->send(r, batch->key, n);
}

static void add_to_batch(struct replica *r, struct key_batch *batch,
			 uint64_t key, int64_t now)
{
	if (batch->count == DL_ID_LIST_MAX)
		flush_batch(r, batch, now);
	batch->key[batch->count++] = key;
}

/*
 * Relays an announcement. That an endpoint is leaving is also sent to the other
 * replicas, because one that just received its report may still have the key
 * in a batch.
 */
void replica_announce_relay(struct replica *r, const struct dl_announcement *a)
{
	struct replica_announce *announce = r->announce;
	struct dl_str instance = dl_name_str(&a->instance);
	struct dl_announcement keyed = *a;
	int64_t now = replica_now(r);
	struct dl_packer pk;
	uint64_t key = 0;
	bool is_new, stored;

	keyed.sequence = 0; /* otherwise every report would be new */
	dl_report_pack(&pk, &keyed);
	if (a->report.leaving)
		dl_reports_remove(announce->reports, instance);
	is_new = a->report.leaving ||
		 dl_reports_add(announce->reports, instance,
				dl_packer_bytes(&pk), now, &key);
	/* A report that could not be stored cannot be sent by its key. */
	stored = is_new && dl_reports_find(announce->reports, key).n > 0;
	if (is_new && !stored)
		replica_broadcast(r, a->report.leaving, DL_FRAME_REPORT,
				  dl_packer_bytes(&pk));
	dl_packer_close(&pk);
	if (stored)
		add_to_batch(r, &announce->new_reports, key, now);
	else if (!is_new && dl_reports_relay_due(announce->reports, key,
						 announce->relays, now))
		add_to_batch(r, &announce->renewals, key, now);
}

/* Handles another replica's message that an endpoint is leaving. */
void replica_announce_leaving(struct replica *r, const struct dl_frame *f)
{
	struct dl_announcement a;

	if (dl_report_read(f->body, &a) || !a.report.leaving)
		return;
	a.report.leaving_ms = dl_leaving_add_delay(
		a.report.leaving_ms,
		f->sent_after ? dl_node_boot_ms() - f->sent_after : -1);
	replica_announce_departed(r, &a);
}

/* Records that an endpoint is leaving, as another process knows. */
void replica_announce_departed(struct replica *r,
			       const struct dl_announcement *a)
{
	dl_reports_remove(r->announce->reports, dl_name_str(&a->instance));
	replica_services_note(r, a);
	replica_http_endpoint_leaving(r, a);
}

/* Sends an entry the reports of keys that it does not know. */
void replica_announce_request(struct replica *r, uint64_t from,
			      const struct dl_frame *f)
{
	struct dl_reports *reports = r->announce->reports;
	int64_t fresh_since = replica_now(r) - REPORT_FRESH_MS;
	uint64_t keys[DL_ID_LIST_MAX];
	struct dl_name none;
	uint32_t count, found = 0;
	char *body;
	size_t n;

	if (dl_id_list_read(f->body, &none, keys, &count))
		return;
	for (uint32_t i = 0; i < count; i++) {
		if (dl_reports_received_since(reports, keys[i], fresh_since))
			keys[found++] = keys[i];
	}
	if (found == 0 || pack_reports(r->announce, keys, found, &body, &n))
		return;
	replica_send(r, from, DL_FRAME_REPORTS, 0, (struct dl_str){ body, n });
	free(body);
}

/* Sends batches that are due and removes old reports. */
void replica_announce_tick(struct replica *r, int64_t now)
{
	struct replica_announce *announce = r->announce;

	if (now - announce->relays_counted_at >= RELAYS_COUNT_MS) {
		announce->relays_counted_at = now;
		announce->relays = count_relays(r);
	}
	if (announce->new_reports.count &&
	    now - announce->new_reports.sent_at >= REPORT_BATCH_MS)
		flush_batch(r, &announce->new_reports, now);
	if (now - announce->renewals.sent_at >=
	    (int64_t)RENEWAL_BATCH_MS * MAX(announce->relays, RELAYS_USUAL) /
		    RELAYS_USUAL)
		flush_batch(r, &announce->renewals, now);
	if (now - announce->last_expiry < REPORT_EXPIRY_MS / 2)
		return;
	announce->last_expiry = now;
	dl_reports_expire(announce->reports, now - REPORT_EXPIRY_MS);
}
