/*
 * Announcements of endpoints. An endpoint announces itself to any VM of its
 * failure domain; that VM stores the report and forwards it to the dispatcher
 * of the endpoint's pool.
 */
#include <errno.h>
#include <string.h>

#include "base/msg.h"
#include "entry/entry.h"

#define MS_PER_S 1000

/* The id of an instance that announces an instance name. */
static uint64_t named_instance_id(const struct dl_directory_entry *d)
{
	return dl_hash(dl_name_str(&d->instance), d->born);
}

/*
 * Returns the id of the endpoint instance at an address. 0 if no instance is
 * known, or if it is leaving: requests that it interrupts then do not count as
 * crashes.
 */
uint64_t entry_endpoint_instance_id(struct entry *e, struct dl_str service,
				    struct dl_str address)
{
	const struct dl_directory_entry *d =
		dl_directory_find(e->directory, address);
	const struct entry_pool *p;
	const struct announced_endpoint *a;

	if (d)
		return d->leaving ? 0 : named_instance_id(d);
	p = entry_pool_find(e, service);
	a = p ? g_hash_table_lookup(p->announced, address.s) : NULL;
	return a && !a->leaving ? dl_hash(address, a->incarnation) : 0;
}

/*
 * Records the departure of an endpoint without an instance name, and dates the
 * report by what is known of it. One that has one is dated by the directory.
 */
static void note_departure(struct announced_endpoint *n,
			   struct dl_announcement *a)
{
	int64_t now = dl_node_boot_ms();

	dl_leaving_note(&n->departure,
			dl_leaving_since(a->report.leaving_ms, now), now);
	if (!a->instance.n)
		a->report.leaving_ms = dl_leaving_age_ms(&n->departure, now);
}

/*
 * Records an announcement. Leaving is final for an instance: announcements are
 * forwarded by any VM, and an older one may arrive last.
 */
static void record_announcement(struct entry *e, struct entry_pool *p,
				struct dl_announcement *a)
{
	struct announced_endpoint *n =
		g_hash_table_lookup(p->announced, a->report.id.s);
	struct dl_str id = dl_name_str(&a->report.id);

	if (n && n->incarnation != a->report.incarnation && !n->leaving)
		entry_quarantine_instance_crashed(e,
						  dl_hash(id, n->incarnation));
	if (n && n->incarnation == a->report.incarnation && n->leaving)
		a->report.leaving = true;
	if (!n) {
		n = g_new0(struct announced_endpoint, 1);
		g_hash_table_insert(p->announced, g_strdup(a->report.id.s), n);
	}
	if (n->incarnation != a->report.incarnation) {
		n->departure = (struct dl_leaving){ 0 };
		n->staying_at = 0;
	}
	if (a->report.leaving)
		note_departure(n, a);
	n->heard_at = entry_now(e);
	n->incarnation = a->report.incarnation;
	n->leaving = a->report.leaving;
	memcpy(n->models, a->models, sizeof(n->models));
	n->models_count = a->models_count;
	n->version = a->version;
	n->role = a->role;
}

static void apply_report(struct entry *e, struct entry_pool *p,
			 struct dl_announcement *a)
{
	int rc;

	record_announcement(e, p, a);
	rc = dl_pool_report(p->pool, &a->report, entry_now(e));
	if (rc)
		dl_msg(DL_MSG_ENDPOINT_REFUSED,
		       "endpoint=%s service=%s leaving=%d slots=%u error=%d",
		       a->report.id.s, p->service.s, a->report.leaving,
		       a->report.slots, rc);
	for (uint32_t i = 0; i < a->events_count; i++)
		dl_pool_cache_event(p->pool, dl_name_str(&a->report.id),
				    a->events[i].prefix, a->events[i].tokens,
				    entry_now(e));
	entry_pool_drain(e, p, &a->report.id);
}

/*
 * Whether the announced service is configured. An announcement of another
 * system may name any service, and must not replace an endpoint that is in use
 * at its address. Before the first configuration, all services are accepted.
 */
static bool service_is_configured(struct entry *e,
				  const struct dl_announcement *a)
{
	if (!a->service.n || !e->conf ||
	    dl_conf_service(e->conf, dl_name_str(&a->service)))
		return true;
	dl_msg(DL_MSG_SERVICE_UNKNOWN, "endpoint=%s instance=%s service=%s",
	       a->report.id.s, a->instance.s, a->service.s);
	return false;
}

/* Removes an endpoint at its previous address after it restarted at another. */
static void remove_previous_address(struct entry *e,
				    const struct dl_directory_entry *d)
{
	struct entry_pool *p = entry_pool_find(e, dl_name_str(&d->service));

	if (p)
		dl_pool_endpoint_gone(p->pool, dl_name_str(&d->address),
				      entry_now(e));
}

/*
 * Determines which instance an announcement belongs to, for endpoints that
 * announce instance names. Returns false if it belongs to a superseded or
 * unknown instance. An announcement that only reports leaving has no address,
 * and is completed from the directory.
 */
static bool resolve_instance(struct entry *e, struct dl_announcement *a)
{
	const struct dl_directory_entry *d, *superseded;
	uint64_t previous_id = entry_endpoint_instance_id(
		e, dl_name_str(&a->service), dl_name_str(&a->report.id));
	enum dl_directory_result result = dl_node_apply_announcement(
		e->directory, a, entry_now(e), &d, &superseded);

	if (result == DL_DIRECTORY_STALE)
		return false;
	if (result == DL_DIRECTORY_NEW) {
		entry_quarantine_instance_crashed(e, previous_id);
		entry_lost_instance(e, dl_name_str(&d->address));
	}
	if (superseded) {
		remove_previous_address(e, superseded);
		entry_lost_instance(e, dl_name_str(&superseded->address));
	}
	dl_node_fill_announcement(a, d);
	a->report.incarnation = d->incarnation;
	return true;
}

/* Adds the published engine settings of the service to an endpoint's report. */
static void add_engine_settings(struct entry *e, struct dl_announcement *a)
{
	const struct dl_service_conf *s =
		e->conf ? dl_conf_service(e->conf, dl_name_str(&a->service)) :
			  NULL;
	const struct dl_engine_model *engine;

	if (!s || !s->pool.engine.slots)
		return;
	engine = &s->pool.engine;
	a->report.memory_tokens = engine->memory_tokens;
	a->report.prefill_rate = (uint32_t)(engine->read_per_ms * MS_PER_S);
	a->report.decode_rate = (uint32_t)(MS_PER_S / engine->step_ms);
	a->report.takes_groups = true;
}

/* Applies an announcement forwarded by another VM. */
static void apply_forwarded(struct entry *e, struct dl_announcement *a)
{
	struct entry_pool *p;

	if (a->instance.n &&
	    (!service_is_configured(e, a) || !resolve_instance(e, a)))
		return;
	p = entry_pool_find(e, dl_name_str(&a->service));
	if (!p)
		return;
	add_engine_settings(e, a);
	apply_report(e, p, a);
}

/*
 * Handles the text of a report that was under way for at most delay_ms, -1: not
 * known. Reports with an instance name are cached, so that VMs can later
 * refresh them by key alone.
 */
static void handle_report(struct entry *e, struct dl_str text, int64_t delay_ms)
{
	struct dl_announcement a;
	uint64_t key;

	if (dl_report_read(text, &a))
		return;
	if (a.report.leaving)
		a.report.leaving_ms =
			dl_leaving_add_delay(a.report.leaving_ms, delay_ms);
	if (a.instance.n && a.report.leaving)
		dl_reports_remove(e->reports, dl_name_str(&a.instance));
	else if (a.instance.n)
		dl_reports_add(e->reports, dl_name_str(&a.instance), text,
			       entry_now(e), &key);
	apply_forwarded(e, &a);
}

/* Handles the report of an endpoint that another VM has forwarded. */
void entry_announce_forwarded(struct entry *e, struct dl_str report)
{
	handle_report(e, report, -1);
}

/* Handles a report of a batch; those of endpoints that leave are in none. */
static void handle_batched(void *arg, struct dl_str text)
{
	handle_report(arg, text, -1);
}

/* Handles an announcement forwarded by another VM. */
void entry_announce_frame(struct entry *e, uint64_t from,
			  const struct dl_frame *f)
{
	handle_report(e, f->body,
		      f->sent_after ? dl_node_boot_ms() - f->sent_after : -1);
}

/* Handles a batch of forwarded announcements. */
void entry_announce_batch(struct entry *e, uint64_t from,
			  const struct dl_frame *f)
{
	int rc = dl_report_batch_read(f->body, handle_batched, e);

	if (rc)
		dl_msg(DL_MSG_ENDPOINT_REFUSED, "from=%lx bytes=%zu error=%d",
		       (unsigned long)from, f->body.n, rc);
}

/* Applies a departure that another process handed over. */
static void apply_departure(void *arg, struct dl_announcement *a)
{
	struct entry *e = arg;

	dl_reports_remove(e->reports, dl_name_str(&a->instance));
	apply_forwarded(e, a);
}

/* Handles a frame by which departures are compared. */
void entry_announce_departures_frame(struct entry *e, uint64_t from,
				     const struct dl_frame *f)
{
	if (f->kind == DL_FRAME_DEPARTURES_AT)
		departures_at_frame(&e->departures, from, f, false);
	else if (f->kind == DL_FRAME_DEPARTURES_REQUEST)
		departures_request_frame(&e->departures, from, f, false);
	else
		departures_list_frame(&e->departures, from, f, false,
				      apply_departure, e);
}

/*
 * Offers the departures known here to a replica that may have just started. All
 * replicas may have started again at the same time.
 */
void entry_announce_vm_up(struct entry *e, uint64_t vm)
{
	const struct dl_member *m = dl_memb_find(e->node.memb, vm);

	if (m && m->replica && dl_departures_last(e->departures.list))
		departures_offer(&e->departures, vm);
}

/*
 * Handles a response in which an endpoint instance reports that it is leaving.
 * Its announcement may be late, or the endpoint may have been unable to send
 * one: this VM applies it at once, and sends it to the dispatcher that granted
 * the endpoint and to the replicas. An announcement without an address only
 * reports leaving, and is final like any other. Others may have been told
 * before: since the start of the last attempt whose response did not say so.
 */
void entry_announce_endpoint_leaving(struct entry *e, struct dl_str address,
				     struct dl_str instance,
				     uint64_t dispatcher)
{
	const struct dl_directory_entry *d =
		dl_directory_find(e->directory, address);
	struct dl_announcement a = { .report = { .leaving = true } };
	struct dl_packer pk;

	if (!d || d->leaving || !dl_name_eq(&d->instance, instance))
		return;
	dl_msg(DL_MSG_ENDPOINT_LEAVING_REPLY, "endpoint=%s instance=%s",
	       d->address.s, d->instance.s);
	a.instance = d->instance;
	a.born = d->born;
	dl_node_date_announcement(e->directory, &a);
	dl_report_pack(&pk, &a);
	handle_report(e, dl_packer_bytes(&pk), 0);
	entry_cmd_send_replicas(e, DL_FRAME_REPORT, dl_packer_bytes(&pk));
	if (dispatcher != e->node.self)
		dl_peers_send(e->node.peers, dispatcher, DL_FRAME_REPORT, 0,
			      dl_packer_bytes(&pk));
	dl_packer_close(&pk);
}

/*
 * Tells a dispatcher that an endpoint is leaving, which granted it and did not
 * know. What it is asked afterwards it decides knowing that.
 */
void entry_announce_departure(struct entry *e,
			      const struct dl_directory_entry *d,
			      uint64_t dispatcher)
{
	struct dl_announcement a = { .report = { .leaving = true },
				     .instance = d->instance,
				     .born = d->born };
	struct dl_packer pk;

	if (dispatcher == e->node.self || dispatcher == DL_VM_NONE)
		return;
	a.report.leaving_ms =
		dl_leaving_age_ms(&d->departure, dl_node_boot_ms());
	dl_report_pack(&pk, &a);
	dl_peers_send(e->node.peers, dispatcher, DL_FRAME_REPORT, 0,
		      dl_packer_bytes(&pk));
	dl_packer_close(&pk);
}

/*
 * Refreshes reports that have not changed, given their keys. Asks the sender
 * for the full text of those that are not cached here.
 */
void entry_announce_refresh(struct entry *e, uint64_t from,
			    const struct dl_frame *f)
{
	uint64_t keys[DL_ID_LIST_MAX];
	uint32_t count, unknown = 0;
	struct dl_name none;
	struct dl_packer pk;

	if (dl_id_list_read(f->body, &none, keys, &count))
		return;
	for (uint32_t i = 0; i < count; i++) {
		struct dl_str text = dl_reports_find(e->reports, keys[i]);
		struct dl_announcement a;

		dl_reports_refresh(e->reports, keys[i], entry_now(e));
		if (text.n && dl_report_read(text, &a) == 0)
			apply_forwarded(e, &a);
		else
			keys[unknown++] = keys[i];
	}
	if (unknown == 0)
		return;
	dl_id_list_pack(&pk, DL_STR(""), keys, unknown);
	dl_peers_send(e->node.peers, from, DL_FRAME_REPORTS_REQUEST, 0,
		      dl_packer_bytes(&pk));
	dl_packer_close(&pk);
}

/*
 * Forwards an announcement to the stopping VMs of a failure domain where no VM
 * dispatches any more; returns how many there are. They place their remaining
 * requests themselves, and would remove the endpoints if announcements stopped.
 */
static uint32_t forward_to_stopping(struct entry *e, struct dl_str domain,
				    struct dl_str body)
{
	const struct dl_member *m;
	uint32_t n = 0;

	for (uint32_t i = 0; (m = dl_memb_at(e->node.memb, i)); i++) {
		if (!m->draining || m->replica || m->state != DL_ALIVE ||
		    !dl_name_eq(&m->domain, domain))
			continue;
		n++;
		if (m->vm != e->node.self)
			dl_peers_send(e->node.peers, m->vm, DL_FRAME_REPORT, 0,
				      body);
	}
	return n;
}

/*
 * Dates a departure that an endpoint without an instance name announces to this
 * VM: other VMs may have been told at any time since it told this one that it
 * is ready.
 */
static void date_own_announcement(struct entry_pool *p,
				  struct dl_announcement *a)
{
	struct announced_endpoint *n =
		g_hash_table_lookup(p->announced, a->report.id.s);
	int64_t now = dl_node_boot_ms();

	a->report.leaving_ms = 0;
	if (!n || n->incarnation != a->report.incarnation)
		return;
	if (!a->report.leaving)
		n->staying_at = now;
	else if (n->leaving)
		a->report.leaving_ms = dl_leaving_age_ms(&n->departure, now);
	else if (n->staying_at)
		a->report.leaving_ms =
			(uint32_t)CLAMP(now - n->staying_at, 1, INT32_MAX);
}

/*
 * Handles an announcement that an endpoint sent to this VM: stores it if the
 * pool is of this failure domain, and forwards it to the pool's dispatcher.
 * Returns -ENOENT if the service is unknown, -EHOSTUNREACH if no VM of the
 * endpoint's failure domain is known.
 */
int entry_announce_receive(struct entry *e, struct dl_announcement *a)
{
	struct dl_str service = dl_name_str(&a->service);
	struct dl_name announced_domain = a->report.failure_domain;
	struct dl_str domain = dl_name_str(&announced_domain);
	struct entry_pool *p = entry_pool_find(e, service);
	struct dl_packer pk;
	uint64_t owner;
	int rc = 0;

	if (!p)
		return -ENOENT;
	if (domain.n == 0 || e->node.settings.region.n)
		domain =
			dl_name_str(dl_settings_pool_domain(&e->node.settings));
	/* Pools do not span failure domains then: the field tells nothing. */
	if (!e->node.settings.region.n)
		dl_name_set(&a->report.failure_domain, DL_STR(""));
	date_own_announcement(p, a);
	owner = entry_pool_owner(e, service, domain);
	if (entry_pool_is_local_domain(e, domain))
		apply_report(e, p, a);
	if (owner == e->node.self)
		return 0;
	dl_report_pack(&pk, a);
	if (owner != DL_VM_NONE)
		dl_peers_send(e->node.peers, owner, DL_FRAME_REPORT, 0,
			      dl_packer_bytes(&pk));
	else if (!forward_to_stopping(e, domain, dl_packer_bytes(&pk)))
		rc = -EHOSTUNREACH;
	dl_packer_close(&pk);
	return rc;
}
