/*
 * Requests that are passed on as they are: which route, which workspace, which
 * service, and how long it may take.
 */
#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "base/metric.h"
#include "base/msg.h"
#include "main/entry_call.h"
#include "platform/platform.h"

/*
 * Endpoints are half a millisecond away; one that is cut off is not waited for:
 * of a failure domain's request a few must find out that all others are.
 */
#define CONNECT_MS 200
/*
 * Callers give a stream up after a pause of this, or of so many times its
 * target or pause, whichever is longest (as the platform's callers do).
 */
#define GIVE_UP_MS	2000
#define GIVE_UP_TARGETS 4
#define GIVE_UP_GAPS	8
/* Refused for what another VM may have: it is tried at once. */
#define RETRY_SOON_MS 100
/* Another VM takes it: no longer than the way there, of a target of 300 ms. */
#define RETRY_ELSEWHERE_MS 20
/*
 * Refused for want of the group's word, after waiting for it where it seemed
 * near.  A leader that does not answer has a successor in 1.0 to 1.5 s, and the
 * words come after that; a start of everything takes 0.4 s where all voters are
 * back, and as long as this where one is not.
 */
#define GROUP_BACK_MS 2500
#define GROUP_SOON_MS 300
/*
 * A VM that stops still takes what will have ended by then, and this much
 * sooner: callers keep coming for seconds, also where it is the only VM of
 * their failure domain, and a request that is cut off is worse than one that is
 * refused.
 */
#define STOP_MARGIN_MS 900
/*
 * For so long it takes what usually ends in time: the balancer has asked twice
 * by then, and callers that come later find another VM.  Taken after 3.7 s of
 * 8, a short stream that engines were slow at was cut.
 */
#define STOP_TAKES_MS 2700
/* A stream takes about twice as long as its engine alone would need. */
#define STREAM_FACTOR	2.0
#define STATUS_NO_KEY	401
#define STATUS_NO_ROUTE 404

static uint32_t give_up_ms(const struct dl_route_conf *route)
{
	uint32_t ms = MAX(GIVE_UP_MS, route->target_ms * GIVE_UP_TARGETS);

	return MAX(ms, route->gap_ms * GIVE_UP_GAPS);
}

/* One of the route's services, by their weights. */
static const struct dl_service_conf *pick(const struct call *c,
					  const struct dl_route_conf *route)
{
	uint64_t sum = 0, at;

	for (uint32_t i = 0; i < route->targets_count; i++)
		sum += route->targets[i].weight;
	at = sum ? c->owner % sum : 0;
	for (uint32_t i = 0; i < route->targets_count; i++) {
		if (at < route->targets[i].weight)
			return &c->e->conf->services[route->targets[i].service];
		at -= route->targets[i].weight;
	}
	return NULL;
}

static enum dl_class class_of(uint32_t priority)
{
	return priority < DL_CLASS_BATCH ? (enum dl_class)priority :
					   DL_CLASS_BATCH;
}

static void fill_route(struct call *c, const struct dl_route_conf *route)
{
	struct call_route *r = &c->route;

	r->kind = route->kind;
	r->target_ms = route->target_ms;
	r->gap_ms = route->gap_ms;
	r->attempts = route->attempts;
	r->give_up_ms = give_up_ms(route);
	c->stream = route->kind == DL_ROUTE_STREAM;
	c->idempotent = c->stream ? route->resumable :
				    route->kind == DL_ROUTE_IDEMPOTENT;
}

static void fill_service(struct call *c, const struct dl_service_conf *service)
{
	c->service = service->name;
	c->kind = service->kind;
	c->connect_ms = MIN(service->connect_timeout_ms, CONNECT_MS);
	c->retry_permille = service->retry_budget_permille;
}

static void fill_size(struct call *c, const struct dl_inbound *in,
		      const struct dl_service_conf *service)
{
	c->prompt_tokens = in->prompt_tokens ?
				   in->prompt_tokens :
				   service->pool.engine.usual_prompt;
	c->output_tokens = in->output_tokens ?
				   in->output_tokens :
				   service->pool.engine.usual_output;
	c->prefix = in->prefix;
	c->prefix_tokens = in->prefix_tokens;
	c->route.after_event = in->after_event;
	c->route.resumes = in->resumes;
}

/* A final word about a request that no route or key lets in. */
static void not_allowed(struct call *c, uint16_t status, const char *why)
{
	struct dl_err err;

	dl_count(DL_METRIC_bad_requests, 1);
	dl_err_set(&err, -EACCES, DL_STEP_CHECK, NULL, "%s", why);
	entry_call_end(c, DL_OUTCOME_NOT_RUN, status, "not-allowed", &err);
}

/* When the group's word may be had again; another VM may have it sooner. */
static uint32_t group_back_ms(const struct entry *e)
{
	int64_t up = entry_now(e) - e->started_at;

	if (e->lease.valid_from || up >= GROUP_BACK_MS - GROUP_SOON_MS)
		return e->lease.valid_from ? GROUP_BACK_MS : GROUP_SOON_MS;
	return (uint32_t)(GROUP_BACK_MS - up);
}

/* Nothing can be said for sure about the request here and now. */
void entry_route_give_up(struct call *c)
{
	entry_call_refuse(c, DL_REASON_NO_QUORUM, DL_STEP_CHECK,
			  c->e->node.self, group_back_ms(c->e));
}

/*
 * Find the request's route and workspace in the configuration in force; false,
 * and answered, where there is none.
 */
static bool allow(struct call *c, const struct dl_inbound *in,
		  const struct dl_route_conf **route)
{
	const struct dl_conf_workspace *ws = NULL;
	const struct dl_conf *conf = c->e->conf;

	if (!entry_lease_holds(c->e)) {
		entry_route_give_up(c);
		return false;
	}
	*route = dl_conf_route(conf, dl_httpd_host(c->http),
			       dl_httpd_path(c->http));
	if (!*route) {
		not_allowed(c, STATUS_NO_ROUTE, "no route has this path");
		return false;
	}
	if (!(*route)->public && conf->workspaces_count) {
		ws = dl_conf_key(conf, in->key);
		if (!ws) {
			not_allowed(c, STATUS_NO_KEY, "no workspace's key");
			return false;
		}
		c->workspace = ws->limits.name;
	}
	c->class = class_of(ws && ws->priority != DL_CONF_UNSET ?
				    ws->priority :
				    (*route)->priority);
	return true;
}

static void read_inbound(struct dl_httpd_req *req, struct dl_inbound *in)
{
	struct dl_header headers[DL_DIALECT_HEADERS_MAX];
	size_t n = dl_httpd_headers(req, headers, DL_DIALECT_HEADERS_MAX);

	platform_dialect.inbound(headers, n, in);
}

/*
 * The same again before each attempt, since a change may have come while the
 * request waited.
 */
bool entry_route_allow(struct call *c, const struct dl_route_conf **route)
{
	struct dl_inbound in;

	read_inbound(c->http, &in);
	return allow(c, &in, route);
}

/* Whether a route still leads to the service that was picked. */
bool entry_route_leads(const struct call *c, const struct dl_route_conf *route)
{
	const struct dl_conf *conf = c->e->conf;

	for (uint32_t i = 0; i < route->targets_count; i++) {
		const struct dl_service_conf *s =
			&conf->services[route->targets[i].service];

		if (route->targets[i].weight &&
		    dl_name_eq(&s->name, dl_name_str(&c->service)))
			return true;
	}
	return false;
}

/* Whether a request will have ended when this process must. */
static bool ends_before_stop(const struct call *c,
			     const struct dl_service_conf *service)
{
	const struct dl_engine_model *m = &service->pool.engine;
	int64_t stop_ms = c->e->node.settings.stop_ms;
	double takes = c->route.target_ms;
	uint64_t output = c->output_tokens;

	if (!stop_ms)
		return true;
	/* Callers name a bound that most answers stay far below. */
	if (m->usual_output && m->usual_output < output &&
	    c->begun <= c->e->stop_at + STOP_TAKES_MS)
		output = m->usual_output;
	if (c->stream && m->slots)
		takes += STREAM_FACTOR * (double)output /
			 (m->stride ? m->stride : 1) *
			 dl_engine_write_ms(m, 1, 0);
	return c->begun + (int64_t)takes <=
	       c->e->stop_at + stop_ms - STOP_MARGIN_MS;
}

static bool has_room(const struct entry *e)
{
	return e->buffered <= (uint64_t)e->node.settings.buffer_mb << 20;
}

/* Find out what a request is and where it goes, and ask for a place. */
static void begin(struct call *c, const struct dl_inbound *in)
{
	const struct dl_service_conf *service;
	const struct dl_route_conf *route;
	struct entry *e = c->e;
	uint32_t left;

	if (!allow(c, in, &route))
		return;
	left = in->patience_ms ? MIN(in->patience_ms, route->timeout_ms) :
				 route->timeout_ms;
	c->deadline = c->begun + left;
	fill_route(c, route);
	service = pick(c, route);
	if (!service) {
		entry_call_refuse(c, DL_REASON_NO_ENDPOINT, DL_STEP_CHECK,
				  e->node.self, RETRY_SOON_MS);
		return;
	}
	fill_service(c, service);
	fill_size(c, in, service);
	dl_retry_budget_deposit(entry_call_budget(c));
	if (e->node.stopping && !ends_before_stop(c, service)) {
		entry_call_refuse(c, DL_REASON_DRAINING, DL_STEP_ADMIT,
				  e->node.self, RETRY_ELSEWHERE_MS);
		return;
	}
	if (!has_room(e)) {
		entry_call_refuse(c, DL_REASON_BUSY, DL_STEP_ADMIT,
				  e->node.self, RETRY_SOON_MS);
		return;
	}
	entry_grant_ask(c);
}

/* Let a request wait until the version in force is sure, for some time. */
static bool wait_for_word(struct call *c, uint32_t left_ms)
{
	int64_t now = entry_now(c->e);
	uint32_t waited = (uint32_t)(now - c->begun);
	uint32_t ms = entry_lease_patience(
		c->e, left_ms > waited ? left_ms - waited : 0);

	if (!ms || !has_room(c->e))
		return false;
	c->state = CALL_UNSURE;
	c->deadline = now + ms;
	dl_count(DL_METRIC_requests_unsure, 1);
	dl_msg(DL_MSG_REQUEST_UNSURE, "request=%s for_ms=%u heard_ms=%ld",
	       c->id_text, ms, (long)(now - c->e->replica_heard));
	return true;
}

/* A request has arrived on a door that passes requests on. */
void entry_route_request(struct entry *e, struct dl_httpd_req *req)
{
	struct call *c = call_new(e, req);
	struct dl_inbound in;

	c->routed = true;
	read_inbound(req, &in);
	if (!dl_name_set(&c->route.attempt_id, in.attempt_id))
		c->route.attempt_id.n = 0;
	c->deadline = c->begun + 1;
	if (!entry_lease_holds(e) && wait_for_word(c, in.patience_ms))
		return;
	begin(c, &in);
}

/* Those that waited for the version in force go on; what ends is freed. */
void entry_route_resume(struct entry *e)
{
	struct call *c = e->calls;

	/* One that begins may end others on its way: look from the start. */
	while (c) {
		struct dl_inbound in;

		if (c->state != CALL_UNSURE) {
			c = c->next;
			continue;
		}
		c->unsure_ms = (uint32_t)(entry_now(e) - c->begun);
		read_inbound(c->http, &in);
		begin(c, &in);
		c = e->calls;
	}
}
