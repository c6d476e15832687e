/*
 * Endpoints that are leaving, while no other endpoint of their service is open.
 *
 * A dispatcher grants such an endpoint for a part of the time that the
 * deployment promises it (coordination/pool_leaving.c), and the grant carries
 * the age of the departure. This VM may have heard of the departure earlier, or
 * the grant may have been under way for seconds: the VM was suspended, or its
 * connection was cut off. It therefore decides again when it gets the grant and
 * when the connection stands, by the earliest time at which the departure can
 * have been acknowledged. Nothing is sent where that time is not known.
 *
 * A VM that was suspended may have reports of departures in its sockets that it
 * has not read, while it goes on with the requests that it had. For a moment it
 * sends nothing at all. Others may have given up its connections, and the
 * reports in them are lost: it sends nothing to an endpoint until that reports
 * again.
 */
#include <string.h>

#include "base/metric.h"
#include "base/msg.h"
#include "entry/entry_call.h"

/* Endpoints of a service may be announced again within this time. */
#define RETRY_MS 1000
/*
 * A loop that did not run for this share of the promised time was suspended.
 * After less, what this VM has not read is recent enough. A busy VM is late by
 * some hundred ms at times, and must not hold up its requests for that.
 */
#define SUSPENDED_PERMILLE 500
#define PERMILLE	   1000
/* Two ticks of 20 ms: what was in the sockets has been read by then. */
#define CATCH_UP_MS 40

static const char *const state_names[] = {
	[DL_SERVICE_OPEN] = "none",
	[DL_SERVICE_OPEN_LEAVING] = "leaving",
	[DL_SERVICE_EVACUATED] = "evacuated",
	[DL_SERVICE_LEAVING] = "leaving",
	[DL_SERVICE_GONE] = "gone",
	[DL_SERVICE_EJECTED] = "ejected",
};

/*
 * Adds the time for which a grant can have been under way to the age that it
 * carries: since the last heartbeat from here that its dispatcher answered, or
 * since the grant was requested.
 */
void entry_leaving_date_answer(struct entry *e, struct dl_answer *answer,
			       const struct dl_frame *f)
{
	const struct call *c = g_hash_table_lookup(e->asks, &answer->request);
	int64_t sent_after = f->sent_after;

	if (!answer->leaving_ms)
		return;
	if (c && c->asked_at_boot > sent_after)
		sent_after = c->asked_at_boot;
	answer->leaving_ms = dl_leaving_add_delay(
		answer->leaving_ms,
		sent_after ? dl_node_boot_ms() - sent_after : -1);
}

/* Notes what a grant says of the departure of its endpoint. */
void entry_leaving_grant_accepted(struct call *c)
{
	c->grant_left_since =
		dl_leaving_since(c->grant.leaving_ms, dl_node_boot_ms());
	if (!c->grant.leaving_ms)
		return;
	c->via = DL_VM_NONE; /* of the last attempt */
	dl_count(DL_METRIC_grants_leaving, 1);
	dl_msg(DL_MSG_GRANT_LEAVING,
	       "request=%s endpoint=%s dispatcher=%lx age_ms=%ld", c->id_text,
	       c->grant.endpoint[0].s, (unsigned long)c->dispatcher,
	       c->grant.leaving_ms == DL_LEAVING_AGE_UNKNOWN ?
		       -1L :
		       (long)c->grant.leaving_ms);
}

/*
 * Whether the request may be sent to an endpoint of its grant, given what this
 * VM knows of the endpoint's departure. A dispatcher that does not know of the
 * departure may have granted it although another endpoint is open.
 */
static bool may_send(const struct call *c, const struct dl_leaving *departure)
{
	uint32_t drain_ms = c->e->node.settings.endpoint_drain_ms;
	struct dl_leaving known = *departure;
	int64_t now = dl_node_boot_ms();

	if (!c->grant.leaving_ms)
		return !known.known;
	dl_leaving_note(&known, c->grant_left_since, now);
	return drain_ms && dl_leaving_may_send(&known, drain_ms, now);
}

/*
 * Whether the request may be sent to an endpoint that announces an instance
 * name.
 */
bool entry_leaving_may_send(const struct call *c,
			    const struct dl_directory_entry *d)
{
	static const struct dl_leaving unknown = {
		.known = true, .since = DL_LEAVING_UNDATED
	};

	if (d->leaving && !d->departure.known)
		return may_send(c, &unknown);
	return may_send(c, &d->departure);
}

/*
 * Whether the connection to an endpoint that is leaving is forwarded by another
 * VM. What that VM holds while it is suspended would arrive too late.
 */
bool entry_leaving_is_forwarded(const struct call *c)
{
	return c->grant.leaving_ms && c->via != DL_VM_NONE;
}

/*
 * Whether the grant cannot be used because an endpoint that announces no
 * instance name is leaving. Applies only where leaving endpoints are granted:
 * otherwise the dispatcher alone decides.
 */
bool entry_leaving_blocks_grant(const struct call *c)
{
	const struct entry_pool *p;

	if (c->routed || !c->e->node.settings.endpoint_drain_ms)
		return false;
	if (entry_leaving_is_forwarded(c))
		return true;
	p = entry_pool_find(c->e, dl_name_str(&c->service));
	for (uint8_t i = 0; i < c->grant.endpoints; i++) {
		static const struct dl_leaving stays;
		const struct announced_endpoint *a =
			p ? g_hash_table_lookup(p->announced,
						c->grant.endpoint[i].s) :
			    NULL;

		if (!may_send(c, a ? &a->departure : &stays))
			return true;
	}
	return false;
}

/* Gives back a grant whose endpoint has left, and asks for another one. */
void entry_leaving_return_grant(struct call *c)
{
	dl_msg(DL_MSG_GRANT_LEFT, "request=%s endpoint=%s dispatcher=%lx",
	       c->id_text, c->grant.endpoint[0].s,
	       (unsigned long)c->dispatcher);
	if (c->tried_count == G_N_ELEMENTS(c->tried_ids)) {
		entry_call_refuse(c, DL_REASON_NO_ENDPOINT, DL_STEP_PLACE,
				  c->e->node.self, RETRY_MS);
		return;
	}
	call_note_tried(c);
	entry_grant_replace(c);
}

static bool is_suspended(const struct entry *e, int64_t now)
{
	return e->ticked_at &&
	       now - e->ticked_at >
		       (int64_t)e->node.settings.endpoint_drain_ms *
			       SUSPENDED_PERMILLE / PERMILLE;
}

/* Notes that the loop runs, and whether it did not for a while. */
void entry_leaving_tick(struct entry *e)
{
	int64_t now = dl_node_boot_ms();

	if (!e->node.settings.endpoint_drain_ms)
		return;
	if (is_suspended(e, now)) {
		e->resumed_at = now;
		e->caught_up_at = entry_now(e) + CATCH_UP_MS;
	}
	e->ticked_at = now;
}

/*
 * Whether this VM may not know yet that the endpoint of a grant is leaving: it
 * was suspended, and has not caught up or got no report of the endpoint since.
 * Once the promised time has passed, a departure from before is over.
 */
bool entry_leaving_may_be_late(const struct call *c)
{
	uint32_t drain_ms = c->e->node.settings.endpoint_drain_ms;
	const struct dl_directory_entry *d;
	const struct entry *e = c->e;
	int64_t now, since;

	if (!drain_ms)
		return false;
	now = dl_node_boot_ms();
	if (is_suspended(e, now))
		return true;
	since = now - e->resumed_at;
	if (!e->resumed_at || since >= drain_ms)
		return false;
	d = dl_directory_find(e->directory, dl_name_str(&c->grant.endpoint[0]));
	return since < CATCH_UP_MS || (d && d->last_seen < e->caught_up_at);
}

/* Logs when a service loses its last open endpoint, or has one again. */
void entry_leaving_log_service(struct entry_pool *p)
{
	enum dl_pool_service state = dl_pool_service_state(p->pool);
	bool was_open = p->service_state <= DL_SERVICE_OPEN_LEAVING;
	bool open = state <= DL_SERVICE_OPEN_LEAVING;

	if (state == p->service_state)
		return;
	p->service_state = state;
	if (was_open && !open)
		dl_msg(DL_MSG_SERVICE_CLOSED, "service=%s reason=%s",
		       p->service.s, state_names[state]);
	else if (!was_open && open)
		dl_msg(DL_MSG_SERVICE_OPEN, "service=%s leaving=%d",
		       p->service.s, state == DL_SERVICE_OPEN_LEAVING);
	else if (state == DL_SERVICE_OPEN_LEAVING)
		dl_msg(DL_MSG_SERVICE_LEAVING, "service=%s", p->service.s);
}

/*
 * Whether a service has an endpoint that stays outside the evacuated domains.
 * Where pools do not span failure domains, the other domains' dispatchers say
 * how many endpoints are open there.
 */
static bool has_endpoint(const struct entry *e, const struct entry_pool *p,
			 const struct dl_evacuations *evacuations)
{
	const struct dl_settings *s = &e->node.settings;
	static const struct dl_evacuations none;

	if (s->region.n)
		return dl_pool_has_endpoint_outside(p->pool, evacuations);
	if (!dl_evacuations_contain(evacuations,
				    dl_name_str(&s->failure_domain)) &&
	    dl_pool_has_endpoint_outside(p->pool, &none))
		return true;
	for (const struct remote_pool *r = e->remote_pools; r; r = r->next) {
		if (r->summary.endpoints &&
		    entry_remote_is_fresh(e, r, dl_name_str(&p->service)) &&
		    !dl_evacuations_contain(evacuations,
					    dl_name_str(&r->domain)))
			return true;
	}
	return false;
}

/* Counts the services without such an endpoint; list gets their names. */
uint32_t
entry_leaving_services_without(const struct entry *e,
			       const struct dl_evacuations *evacuations,
			       json_t *list)
{
	uint32_t n = 0;

	for (const struct entry_pool *p = e->pools; p; p = p->next) {
		if (has_endpoint(e, p, evacuations))
			continue;
		n++;
		if (list)
			json_array_append_new(list, json_string(p->service.s));
	}
	return n;
}
