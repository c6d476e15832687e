/*
 * Which endpoints serve which service, so that an operator who evacuates a
 * failure domain is told which services have none left elsewhere.
 *
 * An endpoint announces itself to one replica. Where endpoints that leave serve
 * on (setting endpoint_drain_ms), that replica relays its reports to the other
 * replicas as well as to the entries, and each keeps the service and the domain
 * of every endpoint. Unchanged reports are relayed by their keys, as to entries
 * (replica_announce.c).
 */
#include <string.h>

#include "daisyledge/conf.h"
#include "daisyledge/reports.h"
#include "protocol/evacuation_codec.h"
#include "replica/replica.h"
#include "protocol/pool_codec.h"

/* An endpoint that is not reported for this long is taken for gone. */
#define REPORT_GONE_MS 6000
/* Interval of removing those that are gone. */
#define EXPIRY_INTERVAL_MS 3000

struct known_endpoint {
	struct dl_name service, domain;
	bool leaving;
	int64_t seen_at;
};

struct replica_services {
	GHashTable *endpoints;	    /* instance to its struct known_endpoint */
	struct dl_reports *reports; /* that other replicas relayed */
	int64_t last_expiry;
};

struct replica_services *replica_services_new(void)
{
	struct replica_services *s = g_new0(struct replica_services, 1);

	s->endpoints =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	s->reports = dl_reports_new();
	return s;
}

/* Whether replicas share what endpoints announce. */
bool replica_services_shared(const struct replica *r)
{
	return r->node.settings.endpoint_drain_ms > 0;
}

/* Records an announcement, made to this replica or relayed by another one. */
void replica_services_note(struct replica *r, const struct dl_announcement *a)
{
	struct replica_services *s = r->services;
	struct known_endpoint *k =
		g_hash_table_lookup(s->endpoints, a->instance.s);

	if (!replica_services_shared(r) || !a->instance.n ||
	    (!k && (a->report.leaving || !a->service.n)))
		return;
	if (!k) {
		k = g_new0(struct known_endpoint, 1);
		g_hash_table_insert(s->endpoints, g_strdup(a->instance.s), k);
	}
	k->leaving = a->report.leaving;
	if (k->leaving) {
		dl_reports_remove(s->reports, dl_name_str(&a->instance));
		return;
	}
	k->service = a->service;
	k->domain = a->report.failure_domain;
	k->seen_at = replica_now(r);
}

static void on_report(void *arg, struct dl_str text)
{
	struct replica *r = arg;
	struct dl_announcement a;
	uint64_t key;

	if (dl_report_read(text, &a) || !a.instance.n || a.report.leaving)
		return;
	dl_reports_add(r->services->reports, dl_name_str(&a.instance), text,
		       replica_now(r), &key);
	replica_services_note(r, &a);
}

/* Handles reports that another replica relays. */
void replica_services_batch(struct replica *r, const struct dl_frame *f)
{
	if (replica_services_shared(r))
		dl_report_batch_read(f->body, on_report, r);
}

/* Handles the keys of unchanged reports; asks for reports that it lacks. */
void replica_services_refresh(struct replica *r, uint64_t from,
			      const struct dl_frame *f)
{
	struct dl_reports *reports = r->services->reports;
	uint64_t keys[DL_ID_LIST_MAX];
	uint32_t count, unknown = 0;
	struct dl_name none;
	struct dl_packer pk;

	if (!replica_services_shared(r) ||
	    dl_id_list_read(f->body, &none, keys, &count))
		return;
	for (uint32_t i = 0; i < count; i++) {
		struct dl_str text = dl_reports_find(reports, keys[i]);
		struct dl_announcement a;

		dl_reports_refresh(reports, keys[i], replica_now(r));
		if (text.n && dl_report_read(text, &a) == 0)
			replica_services_note(r, &a);
		else
			keys[unknown++] = keys[i];
	}
	if (unknown == 0)
		return;
	dl_id_list_pack(&pk, DL_STR(""), keys, unknown);
	replica_send(r, from, DL_FRAME_REPORTS_REQUEST, 0,
		     dl_packer_bytes(&pk));
	dl_packer_close(&pk);
}

/* Whether an endpoint of a service stays outside the evacuated domains. */
static bool has_endpoint(const struct replica *r, const struct dl_name *service)
{
	const struct dl_evacuations *evacuated =
		dl_cstore_evacuations(r->cstore);
	int64_t fresh_since = replica_now(r) - REPORT_GONE_MS;
	const struct known_endpoint *k;
	GHashTableIter iter;

	g_hash_table_iter_init(&iter, r->services->endpoints);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&k)) {
		if (!k->leaving && k->seen_at >= fresh_since &&
		    dl_name_eq(&k->service, dl_name_str(service)) &&
		    !dl_evacuations_contain(evacuated, dl_name_str(&k->domain)))
			return true;
	}
	return false;
}

/* Returns the names of the services that have no such endpoint. */
json_t *replica_services_without(const struct replica *r)
{
	const struct dl_conf *conf = dl_cstore_conf(r->cstore);
	json_t *list = json_array();

	for (uint32_t i = 0; conf && i < conf->services_count; i++) {
		if (!has_endpoint(r, &conf->services[i].name))
			json_array_append_new(
				list, json_string(conf->services[i].name.s));
	}
	return list;
}

/* Removes endpoints that are gone. */
void replica_services_tick(struct replica *r, int64_t now)
{
	struct replica_services *s = r->services;
	const struct known_endpoint *k;
	GHashTableIter iter;

	if (now - s->last_expiry < EXPIRY_INTERVAL_MS)
		return;
	s->last_expiry = now;
	dl_reports_expire(s->reports, now - REPORT_GONE_MS);
	g_hash_table_iter_init(&iter, s->endpoints);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&k)) {
		if (k->seen_at < now - REPORT_GONE_MS)
			g_hash_table_iter_remove(&iter);
	}
}
