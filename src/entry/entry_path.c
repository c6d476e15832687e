/*
 * Connecting to endpoints that this VM has lost its links to: other VMs forward
 * the connections meanwhile, and this one forwards theirs. Everything else
 * about a request stays with its own VM: the grant, what is sent and when,
 * retries, and what the caller is told.
 */
#include <stdlib.h>
#include <string.h>

#include "base/metric.h"
#include "base/msg.h"
#include "entry/entry_call.h"
#include "protocol/pool_codec.h"

/*
 * Connections forwarded at a time. Each takes two descriptors and up to 128 kB;
 * the VM's own callers come first.
 */
#define TUNNELS_MAX 128
/* VMs that those asked to forward a connection are drawn from. */
#define VMS_MAX 1024
/* Endpoints looked at to find some that this VM may reach. */
#define OTHERS_SCAN_MAX 16
/*
 * An attempt whose connection is dead is given up after this silence: longer
 * than the pauses between events that are on time.
 */
#define ABANDON_SILENCE_MS 250
/* The last bytes may arrive this much after the path was found interrupted. */
#define LAST_BYTES_MS 50
/*
 * If no endpoint is heard from for this long though an answer is overdue, one
 * is connected to, in order to find out whether this VM is cut off.
 */
#define SILENCE_MS	 200
#define OVERDUE_MS	 200
#define CHECK_SPACING_MS 150
/* Without a tunnel for this long, forwarding has ended; one line for many. */
#define FORWARDING_ENDED_MS 2000
#define PORT_MASK	    ((uint64_t)0xffff)

static void plan(void *arg, uint64_t endpoint, struct dl_path_plan *out);
static uint32_t list_vms(void *arg, uint64_t endpoint, uint64_t *out,
			 uint32_t max, bool *alone);
static uint64_t tunnel_address(void *arg, uint64_t vm);
static void on_direct(void *arg, uint64_t endpoint,
		      enum dl_direct_result result);
static void on_forwarded(void *arg, uint64_t endpoint, uint64_t vm,
			 enum dl_forward_result result);
static void on_undecided(void *arg, uint64_t endpoint);
static enum dl_forward_result admit(void *arg, uint64_t endpoint,
				    struct dl_str report);
static char *report_of(void *arg, uint64_t endpoint, size_t *n);
static uint32_t list_others(void *arg, uint64_t endpoint, uint64_t *out,
			    uint32_t max);

static const struct dl_tunnels_ops tunnels_ops = {
	.admit = admit,
	.others = list_others,
	.direct = on_direct,
};

/* Starts forwarding, if the settings say so. */
int entry_path_open(struct entry *e, struct dl_err *err)
{
	struct dl_httpc_paths paths = {
		.plan = plan,
		.vms = list_vms,
		.address = tunnel_address,
		.direct = on_direct,
		.forwarded = on_forwarded,
		.undecided = on_undecided,
		.report = report_of,
		.arg = e,
	};

	e->paths = dl_paths_new();
	e->unreported = dl_unreported_new();
	entry_check_init(e);
	entry_recover_init(e);
	if (!e->node.settings.tunnel)
		return 0;
	dl_httpc_set_paths(e->httpc, &paths);
	return dl_tunnels_open(e->node.loop, e->node.settings.tunnel,
			       TUNNELS_MAX, &tunnels_ops, e, &e->tunnels, err);
}

/* Whether connections may be forwarded here. */
bool entry_path_is_enabled(const struct entry *e)
{
	return e->tunnels != NULL;
}

static uint64_t random_bits(struct entry *e)
{
	uint64_t seed = e->node.incarnation + ++e->path_draws;

	return dl_hash((struct dl_str){ (const char *)&seed, sizeof(seed) }, 0);
}

static struct entry_pool *pool_of(struct entry *e, uint64_t endpoint)
{
	char text[24];

	dl_vm_text(endpoint, text);
	for (struct entry_pool *p = e->pools; p; p = p->next) {
		if (g_hash_table_contains(p->announced, text))
			return p;
	}
	return NULL;
}

/* Returns the group of the paths to an endpoint: its service. */
static uint64_t group_of(struct entry *e, uint64_t endpoint)
{
	const struct entry_pool *p = pool_of(e, endpoint);
	const struct dl_unreported_endpoint *u;

	if (p)
		return entry_path_group(dl_name_str(&p->service));
	u = dl_unreported_find(e->unreported, endpoint);
	return u ? entry_path_group(dl_name_str(&u->service)) : 0;
}

/*
 * Records the service and failure domain of the endpoints of a grant that this
 * VM has no report of. Endpoints are granted for the service that they have
 * announced, so that no other pool is searched for their address.
 */
void entry_path_note_granted(const struct call *c)
{
	const struct entry_pool *p =
		entry_pool_find(c->e, dl_name_str(&c->service));

	for (uint8_t i = 0; i < c->grant.endpoints; i++) {
		const struct dl_name *endpoint = &c->grant.endpoint[i];
		uint64_t address;

		if (p && g_hash_table_contains(p->announced, endpoint->s))
			continue;
		if (dl_vm_parse(dl_name_str(endpoint), &address))
			dl_unreported_add(c->e->unreported, address,
					  &c->service, &c->domain);
	}
}

/* Returns the failure domain, or region, whose VMs know an endpoint. */
static struct dl_str domain_of(struct entry *e, uint64_t endpoint)
{
	const struct dl_unreported_endpoint *u =
		dl_unreported_find(e->unreported, endpoint);

	if (u && !pool_of(e, endpoint))
		return dl_name_str(&u->domain);
	return dl_name_str(dl_settings_pool_domain(&e->node.settings));
}

/* Returns the group of the paths to the endpoints of a service. */
uint64_t entry_path_group(struct dl_str service)
{
	return dl_hash(service, 0);
}

static const char *service_of_group(const struct entry *e, uint64_t group)
{
	for (const struct entry_pool *p = e->pools; p; p = p->next) {
		if (entry_path_group(dl_name_str(&p->service)) == group)
			return p->service.s;
	}
	return "";
}

static void log_event(const struct entry *e, const struct dl_path_event *event)
{
	const char *service = service_of_group(e, event->group);
	char text[24];

	dl_vm_text(event->endpoint, text);
	if (event->endpoint && event->interrupted)
		dl_msg(DL_MSG_PATH_INTERRUPTED,
		       "endpoint=%s service=%s silent=%d", text, service,
		       event->silent);
	else if (event->endpoint)
		dl_msg(DL_MSG_PATH_RESTORED,
		       "endpoint=%s service=%s silent=%d after_ms=%ld", text,
		       service, event->silent, (long)event->lasted_ms);
	else if (event->interrupted)
		dl_msg(DL_MSG_CUT_OFF, "service=%s silent=%d", service,
		       event->silent);
	else
		dl_msg(DL_MSG_CUT_OFF_ENDED,
		       "service=%s silent=%d after_ms=%ld", service,
		       event->silent, (long)event->lasted_ms);
}

static void count_cut_off(const struct entry *e)
{
	int64_t n = 0;

	for (const struct entry_pool *p = e->pools; p; p = p->next)
		n += dl_paths_cut_off(
			e->paths, entry_path_group(dl_name_str(&p->service)));
	dl_gauge(DL_METRIC_services_cut_off, n);
}

static void log_events(struct entry *e)
{
	struct dl_path_event event;

	while (dl_paths_next_event(e->paths, &event)) {
		log_event(e, &event);
		count_cut_off(e);
	}
}

static void plan(void *arg, uint64_t endpoint, struct dl_path_plan *out)
{
	struct entry *e = arg;

	dl_paths_plan(e->paths, group_of(e, endpoint), endpoint, entry_now(e),
		      out);
}

/* Whether a VM is another live entry of a failure domain or region. */
static bool is_other_entry(const struct entry *e, const struct dl_member *m,
			   struct dl_str domain)
{
	return !m->replica && m->state == DL_ALIVE && m->vm != e->node.self &&
	       dl_name_eq(&m->domain, domain);
}

/*
 * Returns the dispatcher of an endpoint that this VM has no report of: of the
 * other VMs only that one is sure to have one.  Where this VM has a report, it
 * sends that, and any VM can forward; returns DL_VM_NONE.
 */
static uint64_t vm_with_report(struct entry *e, uint64_t endpoint)
{
	const struct dl_unreported_endpoint *u =
		dl_unreported_find(e->unreported, endpoint);

	if (!u || pool_of(e, endpoint))
		return DL_VM_NONE;
	return entry_pool_owner(e, dl_name_str(&u->service),
				dl_name_str(&u->domain));
}

/* Puts a VM first in a list, in place of the last one where it is not there. */
static void put_first(uint64_t *vms, uint32_t n, uint64_t vm)
{
	uint32_t i = 0;

	if (!n)
		return;
	while (i < n - 1 && vms[i] != vm)
		i++;
	vms[i] = vms[0];
	vms[0] = vm;
}

/*
 * Lists VMs to be asked to forward a connection.  Sets alone where there is no
 * other VM.
 */
static uint32_t list_vms(void *arg, uint64_t endpoint, uint64_t *out,
			 uint32_t max, bool *alone)
{
	struct entry *e = arg;
	struct dl_str domain = domain_of(e, endpoint);
	uint64_t informed = vm_with_report(e, endpoint);
	bool informed_found = false;
	uint64_t vms[VMS_MAX];
	const struct dl_member *m;
	uint32_t n = 0;

	*alone = true;
	for (uint32_t i = 0; n < VMS_MAX && (m = dl_memb_at(e->node.memb, i));
	     i++) {
		if (!is_other_entry(e, m, domain))
			continue;
		*alone = false;
		if (!m->draining &&
		    !g_hash_table_contains(e->unreachable_vms, &m->vm))
			vms[n++] = m->vm;
		informed_found |= n && vms[n - 1] == informed;
	}
	n = dl_paths_choose(e->paths, vms, n, max, random_bits(e),
			    entry_now(e));
	if (informed_found)
		put_first(vms, n, informed);
	memcpy(out, vms, n * sizeof(*out));
	return n;
}

static uint64_t tunnel_address(void *arg, uint64_t vm)
{
	const struct entry *e = arg;

	return (vm & ~PORT_MASK) | (e->node.settings.tunnel & PORT_MASK);
}

static void on_direct(void *arg, uint64_t endpoint,
		      enum dl_direct_result result)
{
	struct entry *e = arg;

	if (result != DL_DIRECT_CONNECTED)
		dl_count(DL_METRIC_connects_failed, 1);
	else
		e->isolated_logged = false;
	dl_paths_direct(e->paths, group_of(e, endpoint), endpoint, result,
			entry_now(e));
	log_events(e);
}

static void on_forwarded(void *arg, uint64_t endpoint, uint64_t vm,
			 enum dl_forward_result result)
{
	struct entry *e = arg;

	if (result == DL_FORWARD_CONNECTED) {
		dl_count(DL_METRIC_tunnels_used, 1);
		e->isolated_logged = false;
	}
	dl_paths_forwarded(e->paths, group_of(e, endpoint), endpoint, vm,
			   result, entry_now(e));
	log_events(e);
}

static void on_undecided(void *arg, uint64_t endpoint)
{
	struct entry *e = arg;

	dl_paths_undecided(e->paths, group_of(e, endpoint), entry_now(e));
}

/* Whether no VM can reach an endpoint of a service for a new request. */
bool entry_path_is_isolated(struct entry *e, struct dl_str service)
{
	if (!dl_paths_isolated(e->paths, entry_path_group(service),
			       entry_now(e)))
		return false;
	if (!e->isolated_logged)
		dl_msg(DL_MSG_ISOLATED, "service=%.*s requests=%u",
		       (int)service.n, service.s, e->calls_count);
	e->isolated_logged = true;
	return true;
}

/*
 * Returns the last report of an endpoint that this VM has, packed; NULL if it
 * has none. Where replicas relay announcements all VMs have all reports.
 */
static char *report_of(void *arg, uint64_t endpoint, size_t *n)
{
	struct entry *e = arg;
	const struct entry_pool *p = pool_of(e, endpoint);
	struct dl_announcement a = { 0 };
	struct dl_packer pk;
	char text[24], *copy;

	*n = 0;
	dl_vm_text(endpoint, text);
	if (!p || e->node.settings.foreign ||
	    !dl_pool_endpoint_report(p->pool, dl_str_of(text), &a.report))
		return NULL;
	a.service = p->service;
	dl_report_pack(&pk, &a);
	*n = dl_packer_bytes(&pk).n;
	copy = malloc(*n);
	if (copy)
		memcpy(copy, dl_packer_bytes(&pk).s, *n);
	else
		*n = 0;
	dl_packer_close(&pk);
	return copy;
}

/*
 * Decides on another VM's connection. This VM connects to endpoints only, and
 * not where it has lost its own links, which it tries now and then.
 *
 * Announcements go to one VM and to the dispatcher, so this VM may hear of an
 * endpoint from the VM that asks only: without its report, a VM that dispatched
 * and was cut off found no VM to forward for it.
 */
static enum dl_forward_result admit(void *arg, uint64_t endpoint,
				    struct dl_str report)
{
	struct entry *e = arg;
	struct dl_path_plan own;

	if (report.n && !e->node.settings.foreign && !pool_of(e, endpoint))
		entry_announce_forwarded(e, report);
	if (!pool_of(e, endpoint))
		return DL_FORWARD_UNAVAILABLE;
	plan(e, endpoint, &own);
	return own.direct ? DL_FORWARD_CONNECTED : DL_FORWARD_CUT_OFF;
}

/* Adds endpoints of a pool other than one, from a random one on. */
static uint32_t add_others(struct entry *e, const struct entry_pool *p,
			   uint64_t endpoint, uint64_t *out, uint32_t n,
			   uint32_t max)
{
	uint32_t count = dl_pool_endpoint_count(p->pool);
	uint32_t from = count ? (uint32_t)(random_bits(e) % count) : 0;

	for (uint32_t i = 0; i < MIN(count, OTHERS_SCAN_MAX) && n < max; i++) {
		struct dl_endpoint_report r;
		bool out_of_use;
		uint64_t held;

		if (dl_pool_endpoint_at(p->pool, (from + i) % count, &r, &held,
					&out_of_use) &&
		    !r.leaving && dl_vm_parse(dl_name_str(&r.id), &out[n]) &&
		    out[n] != endpoint)
			n++;
	}
	return n;
}

/*
 * Lists other endpoints of the same service, since links to other services may
 * work while those to this one are cut; of others only where it has no more.
 */
static uint32_t list_others(void *arg, uint64_t endpoint, uint64_t *out,
			    uint32_t max)
{
	struct entry *e = arg;
	const struct entry_pool *own = pool_of(e, endpoint);
	uint32_t n = own ? add_others(e, own, endpoint, out, 0, max) : 0;

	if (n)
		return n;
	for (const struct entry_pool *p = e->pools; p; p = p->next)
		n = add_others(e, p, endpoint, out, n, max);
	return n;
}

/* The connection to a VM is lost: so are those it forwards that are silent. */
void entry_path_vm_lost(struct entry *e, uint64_t vm)
{
	for (struct call *c = e->calls; c; c = c->next) {
		if (c->attempt && c->via == vm &&
		    dl_httpc_silent_ms(c->attempt) >= ABANDON_SILENCE_MS)
			dl_httpc_give_up(c->attempt,
					 "the VM that forwards is lost");
	}
}

/* A VM is gone, with the requests that it had connections forwarded for. */
void entry_path_vm_gone(struct entry *e, uint64_t vm)
{
	if (e->tunnels)
		dl_tunnels_vm_gone(e->tunnels, vm);
}

/* Forwards no new connections. */
void entry_path_stop(struct entry *e)
{
	if (e->tunnels)
		dl_tunnels_stop_accepting(e->tunnels);
}

/* Returns how many connections are forwarded. */
uint32_t entry_path_tunnels(const struct entry *e)
{
	return e->tunnels ? dl_tunnels_count(e->tunnels) : 0;
}

/* The time without a byte after which an answer is overdue. */
static int64_t overdue_ms(const struct call *c)
{
	if (c->kind == DL_POOL_PLAIN)
		return c->route.target_ms + OVERDUE_MS;
	if (!c->first_byte_at)
		return c->grant.predicted_ttft_ms + OVERDUE_MS;
	return MAX(c->routed ? c->route.gap_ms : c->gap_ms, OVERDUE_MS);
}

static bool may_continue(struct call *c)
{
	if (c->routed)
		return entry_relay_may_continue(c);
	if (c->kind == DL_POOL_PLAIN && dl_httpd_begun(c->http))
		return false;
	return c->idempotent &&
	       entry_retry_ask(c, DL_RETRY_SILENT) == CALL_RETRY_ALLOWED;
}

/*
 * Gives up an attempt whose connection has brought nothing since the path to
 * its endpoint was found dead, if the request may go on elsewhere. Calls that
 * may not be repeated are waited for: the path may work again in time.
 */
static void abandon(struct call *c, uint64_t endpoint, int64_t silent_ms)
{
	int64_t now = entry_now(c->e);
	int64_t since = dl_paths_dead_since(
		c->e->paths, entry_path_group(dl_name_str(&c->service)),
		endpoint);

	if (!since || silent_ms < ABANDON_SILENCE_MS ||
	    now - silent_ms > since + LAST_BYTES_MS || !may_continue(c))
		return;
	dl_msg(DL_MSG_ATTEMPT_ABANDONED,
	       "request=%s endpoint=%s silent_ms=%ld since_ms=%ld", c->id_text,
	       c->grant.endpoint[0].s, (long)silent_ms, (long)(now - since));
	dl_httpc_give_up(c->attempt, "path interrupted");
}

/* Logs when this VM begins to forward, and when it has not for a while. */
static void log_forwarding(struct entry *e, int64_t now)
{
	uint32_t tunnels = dl_tunnels_count(e->tunnels);

	if (tunnels) {
		if (!e->forwarding_at)
			dl_msg(DL_MSG_FORWARDING, "tunnels=%u", tunnels);
		e->forwarding_at = now;
	} else if (e->forwarding_at &&
		   now - e->forwarding_at > FORWARDING_ENDED_MS) {
		dl_msg(DL_MSG_FORWARDING_ENDED, "forwarded=%ld",
		       (long)dl_metric_read(DL_METRIC_tunnels_opened));
		e->forwarding_at = 0;
	}
}

/*
 * Looks after the attempts over direct connections: a cut that drops packets
 * leaves them open and silent.
 */
void entry_path_tick(struct entry *e, int64_t now)
{
	struct call *overdue = NULL;
	int64_t heard_ms = INT64_MAX;
	bool interrupted = false;

	if (!e->tunnels)
		return;
	log_forwarding(e, now);
	for (struct call *c = e->calls; c; c = c->next) {
		int64_t silent_ms;
		uint64_t endpoint;

		if (!c->attempt || c->via != DL_VM_NONE ||
		    dl_httpc_progress(c->attempt).sent == DL_SENT_NOTHING)
			continue;
		silent_ms = dl_httpc_silent_ms(c->attempt);
		heard_ms = MIN(heard_ms, silent_ms);
		if (silent_ms < SILENCE_MS ||
		    !dl_vm_parse(dl_name_str(&c->grant.endpoint[0]), &endpoint))
			continue;
		if (silent_ms > overdue_ms(c) && (!overdue || !interrupted)) {
			overdue = c;
			interrupted = dl_paths_interrupted(
				e->paths,
				entry_path_group(dl_name_str(&c->service)),
				endpoint);
		}
		abandon(c, endpoint, silent_ms);
	}
	if (overdue && (heard_ms >= SILENCE_MS || interrupted) &&
	    now - e->path_checked_at >= CHECK_SPACING_MS) {
		e->path_checked_at = now;
		entry_check_silence(e, overdue);
	}
}
