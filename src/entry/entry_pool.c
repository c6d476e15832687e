/*
 * Dispatching for the pools of this failure domain. Every VM of the domain
 * keeps the pools, so that any of them can take over with the endpoints known;
 * the one selected by rendezvous hashing dispatches.
 */
#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "base/metric.h"
#include "base/msg.h"
#include "entry/entry.h"

/* Frequent enough for spilling to use a backlog at most a second old. */
#define SUMMARY_INTERVAL_MS 500
/* Every endpoint announces itself within this time, including a margin. */
#define ENDPOINTS_WAIT_MS 1500
/* When a request may return that found another probe running. */
#define PROBE_RETRY_MS 500
/* How long the last report of an endpoint is cached. */
#define REPORTS_KEPT_MS 30000
/* How long a report is valid in a pool that another VM dispatches. */
#define STANDBY_REPORT_GONE_MS 1500

static void on_ask(struct entry *e, uint64_t from, const struct dl_frame *f);
static void on_cancel(struct entry *e, uint64_t from, const struct dl_frame *f);
static void on_first(struct entry *e, uint64_t from, const struct dl_frame *f);
static void on_renew(struct entry *e, uint64_t from, const struct dl_frame *f);
static void on_release(struct entry *e, uint64_t from,
		       const struct dl_frame *f);
static void on_adopt(struct entry *e, uint64_t from, const struct dl_frame *f);

/* An ask deferred until a new dispatcher knows its endpoints. */
struct deferred_ask {
	struct deferred_ask *next;
	struct dl_ask_frame frame;
	struct dl_name workspace; /* that the string in frame points to */
};

struct frame_handler {
	uint32_t kind;
	void (*handle)(struct entry *e, uint64_t from,
		       const struct dl_frame *f);
};

static const struct frame_handler handlers[] = {
	{ DL_FRAME_GRANT_REQUEST, on_ask },
	{ DL_FRAME_CANCEL, on_cancel },
	{ DL_FRAME_RENEW, on_renew },
	{ DL_FRAME_RELEASE, on_release },
	{ DL_FRAME_FIRST_EVENT, on_first },
	{ DL_FRAME_REPORT, entry_announce_frame },
	{ DL_FRAME_REPORTS, entry_announce_batch },
	{ DL_FRAME_UNCHANGED, entry_announce_refresh },
	{ DL_FRAME_SUMMARY, entry_remote_frame },
	{ DL_FRAME_ADOPT, on_adopt },
	{ DL_FRAME_LIMIT, entry_limit_frame },
	{ DL_FRAME_RETRY_REQUEST, entry_retry_request },
};

/* Returns the pool of a service in this failure domain, or NULL. */
struct entry_pool *entry_pool_find(struct entry *e, struct dl_str service)
{
	struct entry_pool *p;

	for (p = e->pools; p; p = p->next) {
		if (dl_name_eq(&p->service, service))
			return p;
	}
	return NULL;
}

/* Returns the VM that dispatches for a service in a failure domain. */
uint64_t entry_pool_owner(struct entry *e, struct dl_str service,
			  struct dl_str domain)
{
	return dl_memb_owner(e->node.memb, domain, dl_hash(service, 0));
}

/* Whether a domain is the one whose VMs dispatch together with this VM. */
bool entry_pool_is_local_domain(const struct entry *e, struct dl_str domain)
{
	return dl_name_eq(dl_settings_pool_domain(&e->node.settings), domain);
}

/*
 * Configures a pool. A pool that another VM dispatches receives only the
 * announcements that happen to reach this VM. Its reports expire after one and
 * a half announcement periods, so that this VM does not place requests for
 * seconds on an endpoint that has announced elsewhere that it is leaving.
 */
static void configure_pool(struct entry *e, struct entry_pool *p)
{
	const struct dl_service_conf *s =
		dl_conf_service(e->conf, dl_name_str(&p->service));
	struct dl_pool_conf conf;

	if (!s)
		return;
	conf = s->pool;
	conf.shared_report_path = e->node.settings.foreign;
	conf.endpoint_drain_ms = e->node.settings.endpoint_drain_ms;
	if (!p->dispatching && !e->node.settings.foreign &&
	    conf.report_gone_ms > STANDBY_REPORT_GONE_MS)
		conf.report_gone_ms = STANDBY_REPORT_GONE_MS;
	dl_pool_configure(p->pool, &conf);
	entry_retry_configure(e, p);
}

static struct dl_str pool_domain(const struct entry *e)
{
	return dl_name_str(dl_settings_pool_domain(&e->node.settings));
}

/*
 * Tells the VM to which or from which dispatching moves. Until the next one has
 * learned that it dispatches, both refuse; until the last one has learned that
 * it does not, both grant.
 */
static void announce_dispatching(struct entry *e, struct entry_pool *p,
				 uint64_t owner)
{
	uint64_t self = e->node.self;

	if (owner != self) {
		dl_msg(DL_MSG_POOL_NOT_DISPATCHING, "service=%s next=%lx",
		       p->service.s, (unsigned long)owner);
		dl_memb_tell(e->node.memb, owner, self);
		return;
	}
	dl_msg(DL_MSG_POOL_DISPATCHING, "service=%s", p->service.s);
	dl_memb_tell(e->node.memb,
		     dl_memb_owner_without(e->node.memb, pool_domain(e),
					   dl_hash(dl_name_str(&p->service), 0),
					   self),
		     self);
}

static void update_dispatching(struct entry *e, struct entry_pool *p)
{
	uint64_t owner =
		entry_pool_owner(e, dl_name_str(&p->service), pool_domain(e));
	bool dispatching = owner == e->node.self;

	if (dispatching == p->dispatching)
		return;
	announce_dispatching(e, p, owner);
	if (dispatching) {
		p->dispatching_since = entry_now(e);
		dl_pool_start_dispatching(p->pool, entry_now(e));
	}
	p->dispatching = dispatching;
	configure_pool(e, p);
	entry_recover_query(e, p);
}

/* Applies or lifts the operators' drain of one endpoint. */
void entry_pool_drain(struct entry *e, struct entry_pool *p,
		      const struct dl_name *id)
{
	const struct dl_conf *conf = e->conf;
	bool drain = false;

	for (uint32_t i = 0; i < conf->drain_endpoints_count; i++)
		drain |= dl_name_eq(&conf->drain_endpoints[i], dl_name_str(id));
	dl_pool_endpoint_drain(p->pool, dl_name_str(id), drain, entry_now(e));
}

static void drain_endpoints(struct entry *e, struct entry_pool *p)
{
	struct dl_endpoint_report r;
	uint64_t held;
	bool out;

	for (uint32_t i = 0; dl_pool_endpoint_at(p->pool, i, &r, &held, &out);
	     i++)
		entry_pool_drain(e, p, &r.id);
}

static void log_reachable(void *arg, const struct dl_name *endpoint,
			  bool reachable, uint64_t vm, int64_t report_age_ms)
{
	const struct entry_pool *p = arg;
	char text[24];

	if (!reachable) {
		dl_count(DL_METRIC_endpoints_unreachable, 1);
		dl_msg(DL_MSG_POOL_ENDPOINT_UNREACHABLE,
		       "endpoint=%s service=%s vm=%s report_age_ms=%ld "
		       "leading=%d",
		       endpoint->s, p->service.s, dl_vm_text(vm, text),
		       (long)report_age_ms, p->dispatching);
		return;
	}
	dl_msg(DL_MSG_POOL_ENDPOINT_REACHABLE,
	       "endpoint=%s service=%s after_ms=%ld leading=%d", endpoint->s,
	       p->service.s, (long)report_age_ms, p->dispatching);
}

static struct entry_pool *pool_add(struct entry *e,
				   const struct dl_service_conf *service)
{
	struct entry_pool *p = calloc(1, sizeof(*p));
	struct dl_pool_observer observer = { .reachable = log_reachable,
					     .arg = p };

	if (!p)
		return NULL;
	p->service = service->name;
	p->spill.seed = e->node.incarnation;
	p->pool = dl_pool_new(
		&service->pool,
		service->pool.engine.slots ? &dl_policy_engine :
					     &dl_policy_late_binding,
		e->node.incarnation ^ dl_hash(dl_name_str(&service->name), 0));
	if (!p->pool) {
		free(p);
		return NULL;
	}
	dl_pool_observe(p->pool, &observer);
	p->announced =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	p->next = e->pools;
	e->pools = p;
	entry_evacuation_pool_added(e, p);
	return p;
}

static bool remove_deferred_ask(struct entry_pool *p, uint64_t entry,
				uint64_t request)
{
	struct deferred_ask **at = &p->deferred_asks, *h;

	while ((h = *at) &&
	       (h->frame.ask.request != request || h->frame.ask.entry != entry))
		at = &h->next;
	if (!h)
		return false;
	*at = h->next;
	g_free(h);
	return true;
}

static void remove_unconfigured(struct entry *e)
{
	struct entry_pool **at = &e->pools;

	while (*at) {
		struct entry_pool *p = *at;

		if (dl_conf_service(e->conf, dl_name_str(&p->service))) {
			at = &p->next;
			continue;
		}
		*at = p->next;
		while (p->deferred_asks)
			remove_deferred_ask(
				p, p->deferred_asks->frame.ask.entry,
				p->deferred_asks->frame.ask.request);
		dl_pool_free(p->pool);
		g_hash_table_destroy(p->announced);
		free(p);
	}
}

/* Applies the configuration to every pool. */
void entry_pool_configure(struct entry *e)
{
	const struct dl_conf *conf = e->conf;

	remove_unconfigured(e);
	for (uint32_t i = 0; i < conf->services_count; i++) {
		const struct dl_service_conf *s = &conf->services[i];
		struct entry_pool *p =
			entry_pool_find(e, dl_name_str(&s->name));

		if (!p)
			p = pool_add(e, s);
		if (!p)
			continue;
		configure_pool(e, p);
		for (uint32_t k = 0; k < conf->workspaces_count; k++)
			dl_pool_set_workspace(p->pool,
					      &conf->workspaces[k].limits);
		drain_endpoints(e, p);
		update_dispatching(e, p);
	}
}

static void deliver_answer(struct entry *e, const struct dl_answer_frame *f)
{
	struct dl_packer pk;

	if (f->answer.entry == e->node.self) {
		entry_grant_answer(e, e->node.self, f);
		return;
	}
	dl_answer_pack(&pk, f, entry_now(e));
	dl_peers_send(e->node.peers, f->answer.entry, DL_FRAME_GRANT_REPLY,
		      f->answer.request, dl_packer_bytes(&pk));
	dl_packer_close(&pk);
}

static void send_answer(struct entry *e, struct entry_pool *p,
			const struct dl_answer *answer)
{
	struct dl_answer_frame f = { .service = p->service, .answer = *answer };

	if (answer->verdict == DL_GRANTED)
		f.answer.leaving_ms =
			dl_pool_leaving_age_ms(p->pool, answer, entry_now(e));

	entry_remote_suggest(e, dl_name_str(&p->service), &f);
	if (answer->verdict == DL_GRANTED)
		dl_count(DL_METRIC_grants_total, 1);
	deliver_answer(e, &f);
}

/*
 * Redirects a request to another failure domain's pool if that has much less
 * load; returns whether it did. The dispatcher decides this and not each entry,
 * since it sees all requests of its domain and can keep to one share of them.
 */
static bool redirect_to_remote(struct entry *e, struct entry_pool *p,
			       const struct dl_ask *ask)
{
	struct dl_answer_frame f = { .service = p->service, .spill_count = 1 };
	struct dl_pool_summary own, others[DL_SPILL_MAX];
	const struct dl_name *domains[DL_SPILL_MAX];
	const struct remote_pool *remote;
	uint32_t n = 0;
	int to;

	for (remote = e->remote_pools; remote && n < DL_SPILL_MAX;
	     remote = remote->next) {
		if (!entry_remote_is_fresh(e, remote, dl_name_str(&p->service)))
			continue;
		domains[n] = &remote->domain;
		others[n++] = remote->summary;
	}
	dl_pool_summarize(p->pool, entry_now(e), &own);
	to = dl_pool_spill(&p->spill, &own, others, n, ask, entry_now(e));
	if (to < 0)
		return false;
	f.answer.request = ask->request;
	f.answer.entry = ask->entry;
	f.answer.verdict = DL_REFUSED;
	f.answer.reason = DL_REASON_NONE;
	f.spill[0] = *domains[to];
	deliver_answer(e, &f);
	return true;
}

/* Whether a dispatcher has just taken over and knows no endpoint yet. */
static bool awaits_endpoints(struct entry *e, struct entry_pool *p)
{
	return entry_now(e) - p->dispatching_since <= ENDPOINTS_WAIT_MS &&
	       !dl_pool_has_endpoints(p->pool, entry_now(e));
}

/*
 * Defers an ask. For about a second after a dispatcher has failed, its
 * successor may not have heard of any endpoint, and refusing requests for lack
 * of endpoints would be wrong as they still serve. The number of deferred asks
 * is limited by the short time.
 */
static void defer_ask(struct entry *e, struct entry_pool *p,
		      const struct dl_ask_frame *f)
{
	struct deferred_ask *h = g_new0(struct deferred_ask, 1);
	struct dl_answer_frame queued = { .service = p->service };

	h->frame = *f;
	dl_name_set(&h->workspace, f->ask.workspace);
	h->frame.ask.workspace = dl_name_str(&h->workspace);
	h->next = p->deferred_asks;
	p->deferred_asks = h;
	queued.answer.request = f->ask.request;
	queued.answer.entry = f->ask.entry;
	queued.answer.verdict = DL_QUEUED;
	deliver_answer(e, &queued);
}

/* Processes deferred asks once the pool knows its endpoints. */
static void process_deferred_asks(struct entry *e, struct entry_pool *p)
{
	struct deferred_ask *h = p->deferred_asks, *next;

	if (!h || (p->dispatching && awaits_endpoints(e, p)))
		return;
	p->deferred_asks = NULL;
	for (; h; h = next) {
		next = h->next;
		entry_pool_ask(e, p, &h->frame, false);
		g_free(h);
	}
}

/* Cancels an ask of an entry, deferred or queued. */
void entry_pool_cancel(struct entry *e, struct entry_pool *p, uint64_t entry,
		       uint64_t request)
{
	if (!remove_deferred_ask(p, entry, request))
		dl_pool_cancel(p->pool, entry, request, entry_now(e));
}

static void refuse_probe(const struct dl_ask *ask, struct dl_answer *answer)
{
	*answer = (struct dl_answer){
		.request = ask->request,
		.entry = ask->entry,
		.verdict = DL_REFUSED,
		.reason = DL_REASON_QUARANTINED,
		.retry_after_ms = PROBE_RETRY_MS,
	};
}

/*
 * Tells a VM that asks here which VM dispatches, and that one again that this
 * VM drains: what was sent when dispatching moved may have been lost.
 */
static void announce_dispatcher(struct entry *e, struct entry_pool *p,
				uint64_t asker)
{
	uint64_t owner =
		entry_pool_owner(e, dl_name_str(&p->service), pool_domain(e));

	dl_memb_tell(e->node.memb, asker, owner);
	if (e->draining)
		dl_memb_tell(e->node.memb, owner, e->node.self);
}

/*
 * Processes an ask for a pool kept here. local: process it even if this VM is
 * not the dispatcher, because no dispatcher responds.
 */
void entry_pool_ask(struct entry *e, struct entry_pool *p,
		    const struct dl_ask_frame *f, bool local)
{
	struct dl_ask asked = f->ask, *ask = &asked;
	struct dl_answer answer;

	update_dispatching(e, p);
	asked.self_placed = local && !p->dispatching;
	asked.standby = f->standby && !p->dispatching;
	if (f->standby && !p->dispatching)
		local = local || dl_pool_has_endpoints(p->pool, entry_now(e));
	if (p->dispatching && !local && awaits_endpoints(e, p)) {
		defer_ask(e, p, f);
		return;
	}
	if (p->dispatching && !local && !f->no_spill &&
	    redirect_to_remote(e, p, ask))
		return;
	if ((p->dispatching || local) && f->probed_cause.id &&
	    !entry_quarantine_admit_probe(e, p, &f->probed_cause)) {
		refuse_probe(ask, &answer);
	} else if (p->dispatching || local) {
		dl_pool_ask(p->pool, ask, entry_now(e), &answer);
	} else {
		memset(&answer, 0, sizeof(answer));
		answer.request = ask->request;
		answer.entry = ask->entry;
		answer.verdict = DL_REFUSED;
		answer.reason = DL_REASON_NO_DISPATCHER;
		announce_dispatcher(e, p, ask->entry);
	}
	send_answer(e, p, &answer);
}

static void on_ask(struct entry *e, uint64_t from, const struct dl_frame *f)
{
	struct dl_answer_frame none = { 0 };
	struct dl_ask_frame asked;
	struct entry_pool *p;

	if (dl_ask_read(f->body, &asked, entry_now(e)))
		return;
	asked.ask.entry = from;
	p = entry_pool_find(e, dl_name_str(&asked.service));
	if (p) {
		entry_retry_add_credit(e, p, asked.retry_credit, false);
		entry_pool_ask(e, p, &asked, false);
		return;
	}
	none.service = asked.service;
	none.answer.request = asked.ask.request;
	none.answer.entry = from;
	none.answer.verdict = DL_REFUSED;
	none.answer.reason = DL_REASON_NO_DISPATCHER;
	deliver_answer(e, &none);
}

static void on_cancel(struct entry *e, uint64_t from, const struct dl_frame *f)
{
	struct dl_name service;
	struct entry_pool *p;
	uint64_t request;

	if (dl_id_read(f->body, &service, &request))
		return;
	p = entry_pool_find(e, dl_name_str(&service));
	if (p)
		entry_pool_cancel(e, p, from, request);
}

static void on_renew(struct entry *e, uint64_t from, const struct dl_frame *f)
{
	uint64_t grants[DL_ID_LIST_MAX];
	uint32_t count, gone = 0;
	struct dl_name service;
	struct entry_pool *p;
	struct dl_packer pk;

	if (dl_id_list_read(f->body, &service, grants, &count))
		return;
	p = entry_pool_find(e, dl_name_str(&service));
	for (uint32_t i = 0; i < count; i++) {
		if (!p || dl_pool_renew(p->pool, grants[i], entry_now(e)))
			grants[gone++] = grants[i];
	}
	if (gone == 0)
		return;
	dl_id_list_pack(&pk, dl_name_str(&service), grants, gone);
	dl_peers_send(e->node.peers, from, DL_FRAME_RENEW_UNKNOWN, 0,
		      dl_packer_bytes(&pk));
	dl_packer_close(&pk);
}

static void on_release(struct entry *e, uint64_t from, const struct dl_frame *f)
{
	struct dl_name service;
	struct dl_usage usage;
	struct entry_pool *p;
	uint64_t grant;

	if (dl_release_read(f->body, &service, &grant, &usage))
		return;
	p = entry_pool_find(e, dl_name_str(&service));
	if (p)
		dl_pool_release(p->pool, grant, &usage, entry_now(e));
}

static void on_first(struct entry *e, uint64_t from, const struct dl_frame *f)
{
	struct dl_name service;
	struct entry_pool *p;
	uint64_t grant;

	if (dl_id_read(f->body, &service, &grant))
		return;
	p = entry_pool_find(e, dl_name_str(&service));
	if (p)
		dl_pool_first_event(p->pool, grant, entry_now(e));
}

static void on_adopt(struct entry *e, uint64_t from, const struct dl_frame *f)
{
	struct dl_adopt_frame adopt;
	struct entry_pool *p;

	if (dl_adopt_read(f->body, &adopt, entry_now(e)))
		return;
	adopt.ask.entry = from;
	adopt.grant.entry = from;
	p = entry_pool_find(e, dl_name_str(&adopt.service));
	if (p)
		dl_pool_adopt(p->pool, &adopt.grant, &adopt.ask,
			      adopt.has_progress ? &adopt.progress : NULL,
			      entry_now(e));
}

/* Handles a frame of the kinds in handlers[]. */
void entry_pool_frame(struct entry *e, uint64_t from,
		      const struct dl_frame *frame)
{
	for (size_t i = 0; i < sizeof(handlers) / sizeof(handlers[0]); i++) {
		if (handlers[i].kind == frame->kind) {
			handlers[i].handle(e, from, frame);
			return;
		}
	}
}

/* Handles the loss of a connection to a VM. */
void entry_pool_down(struct entry *e, uint64_t vm)
{
	entry_reach_mark_unreachable(e, vm);
	entry_remote_vm_down(e, vm);
}

/*
 * Handles a membership change. Releases the grants and queue entries of a VM
 * that is gone.
 */
void entry_pool_member(struct entry *e, const struct dl_member *m)
{
	struct entry_pool *p;

	for (p = e->pools; p; p = p->next) {
		if (m->state == DL_DEAD || m->state == DL_LEFT)
			dl_pool_entry_gone(p->pool, m->vm, entry_now(e));
		update_dispatching(e, p);
	}
}

/* Logs when reports of all endpoints of a pool stop or resume. */
static void log_silence_change(struct entry_pool *p, int64_t now)
{
	bool silent = dl_pool_is_silent(p->pool, now);

	if (silent == p->all_silent)
		return;
	p->all_silent = silent;
	dl_msg(silent ? DL_MSG_POOL_ENDPOINTS_SILENT :
			DL_MSG_POOL_ENDPOINTS_HEARD,
	       "service=%s leading=%d", p->service.s, p->dispatching);
}

/* Sends grants that became possible, and load summaries to other domains. */
void entry_pool_tick(struct entry *e, int64_t now)
{
	bool summaries = now - e->summaries_sent_at >= SUMMARY_INTERVAL_MS;
	struct entry_pool *p;
	struct dl_answer answer;
	int64_t queued = 0, endpoints = 0, grants = 0;
	struct dl_pool_summary s;

	for (p = e->pools; p; p = p->next) {
		process_deferred_asks(e, p);
		while (dl_pool_next(p->pool, now, &answer))
			send_answer(e, p, &answer);
		if (!summaries)
			continue;
		log_silence_change(p, now);
		dl_pool_summarize(p->pool, now, &s);
		grants += s.grants;
		if (e->node.settings.endpoint_drain_ms && p->dispatching)
			entry_leaving_log_service(p);
		if (p->dispatching) {
			queued += s.queued;
			endpoints += s.endpoints;
			entry_remote_send_summary(e, p, &s);
		}
	}
	if (!summaries)
		return;
	e->summaries_sent_at = now;
	dl_reports_expire(e->reports, now - REPORTS_KEPT_MS);
	entry_reach_tick(e);
	dl_gauge(DL_METRIC_queue_entries, queued);
	dl_gauge(DL_METRIC_endpoints_known, endpoints);
	dl_gauge(DL_METRIC_grants_held, grants);
	dl_gauge(DL_METRIC_services_without_endpoint,
		 entry_leaving_services_without(e, &e->evacuations, NULL));
}
