/* HTTP interface of an entry: which listener, method and path calls what. */
#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "base/metric.h"
#include "entry/entry.h"
#include "protocol/api.h"

/* An endpoint that has not announced itself for this long counts as gone; it
 * announces itself five times as often, so that lost announcements do no harm.
 */
#define ANNOUNCE_EVERY_MS 1000
#define GONE_AFTER_MS	  5000
/* The health check mentions a silence of all replicas after this long. */
#define REPLICA_SILENT_MS 10000

static void get_health(struct entry *e, struct dl_httpd_req *req);
static void get_ready(struct entry *e, struct dl_httpd_req *req);
static void get_metrics(struct entry *e, struct dl_httpd_req *req);
static void get_traces(struct entry *e, struct dl_httpd_req *req);
static void post_endpoint(struct entry *e, struct dl_httpd_req *req);

struct route {
	unsigned use;
	const char *method; /* NULL: any */
	const char *path;
	bool prefix; /* match the beginning of the path */
	void (*handle)(struct entry *e, struct dl_httpd_req *req);
};

static const struct route routes[] = {
	{ LISTENER_CALLERS, "POST", "/v1/completions", false,
	  entry_call_completion },
	{ LISTENER_CALLERS, NULL, "/s/", true, entry_call_plain },
	{ LISTENER_ENDPOINTS, "POST", "/v1/endpoints", false, post_endpoint },
	{ LISTENER_OPERATORS, "POST", "/v1/config", false,
	  entry_ops_config_post },
	{ LISTENER_OPERATORS, "GET", "/v1/config", false,
	  entry_ops_config_get },
	{ LISTENER_OPERATORS, "GET", "/v1/config/history", false,
	  entry_ops_history },
	{ LISTENER_OPERATORS, "GET", "/v1/status", false, entry_ops_status },
	{ LISTENER_OPERATORS, "PUT", ENTRY_EVACUATIONS_PATH, true,
	  entry_ops_evacuate },
	{ LISTENER_OPERATORS, "DELETE", ENTRY_EVACUATIONS_PATH, true,
	  entry_ops_evacuate_end },
	{ LISTENER_ANY, "GET", "/healthz", false, get_health },
	{ LISTENER_ANY, "GET", "/readyz", false, get_ready },
	{ LISTENER_READY, "GET", "/-/ready", false, get_ready },
	{ LISTENER_OPERATORS, "GET", "/metrics", false, get_metrics },
	{ LISTENER_OPERATORS, "GET", "/v1/traces", false, get_traces },
};

#define ROUTES (sizeof(routes) / sizeof(routes[0]))

/* Replies with a JSON text, and frees it. */
void entry_http_json(struct dl_httpd_req *req, uint16_t status, char *json)
{
	struct dl_header type = { DL_STR("Content-Type"),
				  DL_STR("application/json") };

	dl_httpd_reply(req, status, &type, 1, dl_str_of(json));
	free(json);
}

/* Replies with an error of the entry itself. */
void entry_http_error(struct dl_httpd_req *req, uint16_t status,
		      const char *reason, const struct dl_err *err)
{
	size_t n;

	entry_http_json(req, status,
			dl_error_body(reason, dl_step_name(err->step),
				      err->peer, 0, err->text, &n));
}

static void get_health(struct entry *e, struct dl_httpd_req *req)
{
	bool silent = entry_now(e) - e->replica_heard_at > REPLICA_SILENT_MS;

	dl_httpd_reply(req, 200, NULL, 0,
		       silent ? DL_STR("ok, but no replica has been heard\n") :
				DL_STR("ok\n"));
}

static void get_ready(struct entry *e, struct dl_httpd_req *req)
{
	if (e->draining)
		dl_httpd_reply(req, 503, NULL, 0, DL_STR("draining\n"));
	else if (!entry_lease_ready(e))
		dl_httpd_reply(req, 503, NULL, 0, DL_STR("no lease\n"));
	else if (!e->conf)
		dl_httpd_reply(req, 503, NULL, 0, DL_STR("no configuration\n"));
	else
		dl_httpd_reply(req, 200, NULL, 0, DL_STR("ready\n"));
}

static void get_metrics(struct entry *e, struct dl_httpd_req *req)
{
	struct dl_header type = { DL_STR("Content-Type"),
				  DL_STR("text/plain; version=0.0.4") };
	char *text = dl_node_metrics();

	dl_httpd_reply(req, 200, &type, 1, dl_str_of(text));
	g_free(text);
}

static void get_traces(struct entry *e, struct dl_httpd_req *req)
{
	entry_http_json(req, 200, entry_trace_json(e));
}

static void post_endpoint(struct entry *e, struct dl_httpd_req *req)
{
	struct dl_announcement a;
	struct dl_err err;
	char answer[96];
	int rc;

	if (dl_announcement_parse(dl_httpd_body(req), &a, &err)) {
		entry_http_error(req, 400, "bad-request", &err);
		return;
	}
	rc = entry_announce_receive(e, &a);
	if (rc == -EHOSTUNREACH) {
		/* Another VM may reach one: the endpoint tries it at once. */
		dl_err_set(&err, rc, DL_STEP_PLACE, NULL,
			   "this VM cannot reach any VM of its failure domain");
		entry_http_error(req, 503, "no-dispatcher", &err);
		return;
	}
	if (rc) {
		dl_err_set(&err, rc, DL_STEP_CHECK, NULL, "no such service");
		entry_http_error(req, e->conf ? 404 : 503, "no-service", &err);
		return;
	}
	snprintf(answer, sizeof(answer),
		 "{\"announce_every_ms\":%d,\"gone_after_ms\":%d}",
		 ANNOUNCE_EVERY_MS, GONE_AFTER_MS);
	entry_http_json(req, 200, strdup(answer));
}

static bool path_matches(const struct route *r, struct dl_str path)
{
	size_t n = strlen(r->path);

	if (path.n < n || memcmp(path.s, r->path, n) != 0)
		return false;
	return r->prefix || path.n == n || path.s[n] == '?';
}

static const struct dl_keys *keys_of(const struct entry *e, unsigned use)
{
	switch (use) {
	case LISTENER_ENDPOINTS:
		return &e->node.settings.endpoint_keys;
	case LISTENER_OPERATORS:
		return &e->node.settings.operator_keys;
	default:
		return NULL;
	}
}

/*
 * Checks the signature of a request where its group of paths requires one;
 * returns false, with the request answered, where it is not valid.
 */
static bool check_signature(struct entry *e, unsigned use,
			    struct dl_httpd_req *req)
{
	const struct dl_keys *keys = keys_of(e, use);
	struct dl_signed what = { dl_httpd_method(req), dl_httpd_path(req),
				  dl_httpd_body(req) };
	struct dl_err err;

	if (!keys || keys->count == 0 ||
	    dl_sign_check(keys, &what,
			  dl_httpd_header(req, "daisyledge-signature"),
			  dl_node_wall_ms()) == 0)
		return true;
	dl_err_set(&err, -EACCES, DL_STEP_CHECK, NULL,
		   "the signature is missing, stale or of another key");
	entry_http_error(req, 401, "not-allowed", &err);
	return false;
}

/*
 * Passes a request to the handler of its path.  An unknown path is answered
 * with 404, a known one with another method with 405.
 */
void entry_http_request(void *arg, struct dl_httpd_req *req)
{
	struct dl_str method = dl_httpd_method(req);
	struct dl_str path = dl_httpd_path(req);
	struct listener *listener = arg;
	bool known = false;
	struct dl_err err;

	if (listener->e->node.settings.foreign &&
	    listener->uses == LISTENER_CALLERS) {
		entry_route_request(listener->e, req);
		return;
	}
	for (size_t i = 0; i < ROUTES; i++) {
		if (!(routes[i].use & listener->uses) ||
		    !path_matches(&routes[i], path))
			continue;
		known = true;
		if (routes[i].method &&
		    !dl_str_eq(method, dl_str_of(routes[i].method)))
			continue;
		if (check_signature(listener->e, routes[i].use, req))
			routes[i].handle(listener->e, req);
		return;
	}
	dl_count(DL_METRIC_bad_requests, 1);
	dl_err_set(&err, -1, DL_STEP_READ, NULL,
		   known ? "method not allowed" : "no such path");
	entry_http_error(req, known ? 405 : 404, "bad-request", &err);
}
