/*
 * Admission of requests that are forwarded unchanged: finds the route,
 * workspace, service and deadline of a request in the configuration in force.
 */
#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "base/metric.h"
#include "base/msg.h"
#include "entry/entry_call.h"
#include "platform/platform.h"

/*
 * Bounds the configured connect timeout.  Endpoints are 0.5 ms away, and after
 * a network partition a few requests of a failure domain have to time out on
 * all the endpoints outside it.
 */
#define CONNECT_MS 200
/*
 * The platform's callers give up on a stream after a silence of the longest of
 * these: the constant, and multiples of the route's target and gap.
 */
#define CALLER_SILENCE_MS      2000
#define CALLER_SILENCE_TARGETS 4
#define CALLER_SILENCE_GAPS    8
/* For refusals that may not apply on another VM, where a retry may be sent. */
#define RETRY_SOON_MS 100
/*
 * For refusals because the replicas have not confirmed the configuration, after
 * any wait for it.  A leader that does not respond is replaced in 1.0 to 1.5 s,
 * and confirmations follow after that.  A start of the whole deployment takes
 * 0.4 s where all voters are back, and GROUP_RETRY_MS where one is not.
 */
#define GROUP_RETRY_MS	    2500
#define GROUP_RETRY_SOON_MS 300
#define STATUS_UNAUTHORIZED 401
#define STATUS_NOT_FOUND    404

static uint32_t caller_silence_ms(const struct dl_route_conf *route)
{
	uint32_t ms = MAX(CALLER_SILENCE_MS,
			  route->target_ms * CALLER_SILENCE_TARGETS);

	return MAX(ms, route->gap_ms * CALLER_SILENCE_GAPS);
}

/* Picks one of the route's services by their weights; NULL: none. */
static const struct dl_service_conf *
pick_service(const struct call *c, const struct dl_route_conf *route)
{
	uint64_t sum = 0, at;

	for (uint32_t i = 0; i < route->targets_count; i++)
		sum += route->targets[i].weight;
	at = sum ? c->claim_owner % sum : 0;
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
	r->attempts_max = route->attempts;
	r->caller_silence_ms = caller_silence_ms(route);
	c->stream = route->kind == DL_ROUTE_STREAM;
	c->idempotent = c->stream ? route->resumable :
				    route->kind == DL_ROUTE_IDEMPOTENT;
}

static void fill_service(struct call *c, const struct dl_service_conf *service)
{
	c->service = service->name;
	c->kind = service->kind;
	c->connect_ms = MIN(service->connect_timeout_ms, CONNECT_MS);
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
	c->route.event_tokens = service->pool.engine.stride;
	c->route.last_event_id = in->after_event;
	c->route.resumes = in->resumes;
}

/* Ends a request that has no route or no valid key. */
static void reject(struct call *c, uint16_t status, const char *why)
{
	struct dl_err err;

	dl_count(DL_METRIC_bad_requests, 1);
	dl_err_set(&err, -EACCES, DL_STEP_CHECK, NULL, "%s", why);
	entry_call_end(c, DL_OUTCOME_NOT_RUN, status, "not-allowed", &err);
}

/*
 * Returns after how many ms the replicas may confirm the configuration again;
 * another VM may have it confirmed sooner.
 */
static uint32_t group_retry_ms(const struct entry *e)
{
	int64_t up = entry_now(e) - e->started_at;

	if (e->lease.valid_from || up >= GROUP_RETRY_MS - GROUP_RETRY_SOON_MS)
		return e->lease.valid_from ? GROUP_RETRY_MS :
					     GROUP_RETRY_SOON_MS;
	return (uint32_t)(GROUP_RETRY_MS - up);
}

/* Refuses a request since the version in force cannot be confirmed. */
void entry_route_refuse_no_quorum(struct call *c)
{
	entry_call_refuse(c, DL_REASON_NO_QUORUM, DL_STEP_CHECK,
			  c->e->node.self, group_retry_ms(c->e));
}

/*
 * Finds the request's route and workspace in the configuration in force.
 * Returns false, with the request ended, where it has none.
 */
static bool authorize(struct call *c, const struct dl_inbound *in,
		      const struct dl_route_conf **route)
{
	const struct dl_conf_workspace *ws = NULL;
	const struct dl_conf *conf = c->e->conf;

	if (!entry_lease_is_valid(c->e)) {
		entry_route_refuse_no_quorum(c);
		return false;
	}
	*route = dl_conf_route(conf, dl_httpd_host(c->http),
			       dl_httpd_path(c->http));
	if (!*route) {
		reject(c, STATUS_NOT_FOUND, "no route matches this path");
		return false;
	}
	c->workspace.n = 0;
	c->workspace.s[0] = '\0';
	if (!(*route)->public && conf->keys_required) {
		ws = dl_conf_workspace_of_key(conf, in->key);
		if (!ws) {
			reject(c, STATUS_UNAUTHORIZED,
			       "the key is missing or unknown");
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
	const struct dl_header *headers;
	size_t n;

	headers = dl_httpd_headers(req, &n);
	platform_dialect.inbound(headers, n, in);
}

static void read_shared_parts(struct call *c)
{
	const struct dl_header *headers;
	size_t n;

	headers = dl_httpd_headers(c->http, &n);
	call_read_shared_parts(c, headers, n);
}

/*
 * Repeats authorize() before an attempt, since the configuration may have
 * changed while the request waited.
 */
bool entry_route_authorize(struct call *c, const struct dl_route_conf **route)
{
	struct dl_inbound in;

	read_inbound(c->http, &in);
	return authorize(c, &in, route);
}

/* Whether a route still includes the service that was picked. */
bool entry_route_has_service(const struct call *c,
			     const struct dl_route_conf *route)
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

/*
 * Output tokens that the caller of a stream has; less than the most that it
 * asked for.  A resumed stream reads them as part of its prompt, and has to fit
 * only the rest of its answer into the time that is left.
 */
uint64_t entry_route_output_made(const struct call *c)
{
	uint64_t most = c->output_tokens ? c->output_tokens - 1 : 0;

	if (!c->route.event_tokens)
		return 0;
	return MIN(c->route.last_event_id, most / c->route.event_tokens) *
	       c->route.event_tokens;
}

/* Routes and sizes a request, refuses it or asks for an endpoint. */
static void admit(struct call *c, const struct dl_inbound *in)
{
	const struct dl_service_conf *service;
	const struct dl_route_conf *route;
	struct entry *e = c->e;
	uint32_t left;

	if (!authorize(c, in, &route))
		return;
	left = in->timeout_ms ? MIN(in->timeout_ms, route->timeout_ms) :
				route->timeout_ms;
	c->deadline = c->arrived_at + left;
	fill_route(c, route);
	service = pick_service(c, route);
	if (!service) {
		entry_call_refuse(c, DL_REASON_NO_ENDPOINT, DL_STEP_CHECK,
				  e->node.self, RETRY_SOON_MS);
		return;
	}
	fill_service(c, service);
	fill_size(c, in, service);
	read_shared_parts(c);
	entry_stop_forecast(c, service);
	if (entry_stop_refuses(c))
		return;
	if (!entry_held_has_room(e)) {
		entry_call_refuse(c, DL_REASON_BUSY, DL_STEP_ADMIT,
				  e->node.self, RETRY_SOON_MS);
		return;
	}
	dl_count(DL_METRIC_stop_admitted, e->node.stopping);
	entry_grant_ask(c);
}

/*
 * Lets a request wait until the version in force is confirmed; returns false
 * where it cannot wait.
 */
static bool wait_for_config(struct call *c, uint32_t left_ms)
{
	int64_t now = entry_now(c->e);
	uint32_t waited = (uint32_t)(now - c->arrived_at);
	uint32_t ms = entry_lease_max_wait_ms(
		c->e, left_ms > waited ? left_ms - waited : 0);

	if (!ms || !entry_held_has_room(c->e))
		return false;
	c->state = CALL_AWAITING_CONFIG;
	c->deadline = now + ms;
	dl_count(DL_METRIC_requests_unsure, 1);
	dl_msg(DL_MSG_REQUEST_AWAITS_CONFIG,
	       "request=%s for_ms=%u heard_ms=%ld", c->id_text, ms,
	       (long)(now - c->e->replica_heard_at));
	return true;
}

/* Handles a new request on a listener that forwards requests unchanged. */
void entry_route_request(struct entry *e, struct dl_httpd_req *req)
{
	struct call *c = call_new(e, req);
	struct dl_inbound in;

	c->routed = true;
	read_inbound(req, &in);
	c->route.attempt_id = in.attempt_id;
	c->deadline = c->arrived_at + 1;
	if (!entry_lease_is_valid(e) && wait_for_config(c, in.timeout_ms))
		return;
	admit(c, &in);
}

/* Admits the requests that waited for the version in force to be confirmed. */
void entry_route_resume(struct entry *e)
{
	struct call *c = e->calls;

	/* admit() may free other calls, so start over after each. */
	while (c) {
		struct dl_inbound in;

		if (c->state != CALL_AWAITING_CONFIG) {
			c = c->next;
			continue;
		}
		c->unsure_ms = (uint32_t)(entry_now(e) - c->arrived_at);
		read_inbound(c->http, &in);
		admit(c, &in);
		c = e->calls;
	}
}
