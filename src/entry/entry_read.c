/*
 * Parsing and checking of API requests: service, workspace, class, deadline,
 * idempotence and size.
 */
#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "base/metric.h"
#include "entry/entry_call.h"

/* Thousandths of bytes a token, until endpoints have reported token counts. */
#define BYTES_PER_TOKEN_MILLI 4000
/* Up to this size, about 1 ms, parsing in the event loop is cheaper. */
#define PARSE_INLINE_MAX 32768
/* Deadline until the request's class is known; no parse takes longer. */
#define PARSE_DEADLINE_MS 10000
#define RETRY_AFTER_MS	  1000
#define MIN_DEADLINE_MS	  1
#define MAX_DEADLINE_MS	  86400000
#define PLAIN_PATH_PREFIX "/s/"
#define BAD_DEADLINE                                                           \
	"Daisyledge-Deadline-Ms must be a number from 1 to 86400000"

/* A request body that is parsed in the thread pool. */
struct parse_job {
	uv_work_t work;
	struct call *call;  /* NULL once it has ended */
	struct dl_str body; /* a copy; outlives the HTTP request */
	struct dl_completion completion;
	struct dl_err err;
	int rc;
};

static void reject(struct call *c, uint16_t status, const char *why)
{
	struct dl_err err;

	dl_count(DL_METRIC_bad_requests, 1);
	dl_err_set(&err, -EINVAL, DL_STEP_CHECK, NULL, "%s", why);
	call_settle(c, DL_OUTCOME_NOT_RUN, status);
	call_answer_error(c, "bad-request", &err, 0);
	call_free(c);
}

static bool read_deadline(struct call *c, uint32_t default_ms)
{
	struct dl_str s = dl_httpd_header(c->http, "daisyledge-deadline-ms");
	uint64_t ms = default_ms;

	if (s.n && (!dl_str_to_u64(s, &ms) || ms < MIN_DEADLINE_MS ||
		    ms > MAX_DEADLINE_MS))
		return false;
	c->deadline = c->arrived_at + (int64_t)ms;
	return true;
}

static const struct dl_class_conf *
pick_class(struct call *c, const struct dl_service_conf *service)
{
	const struct dl_conf *conf = c->e->conf;
	struct dl_str named = dl_httpd_header(c->http, "daisyledge-class");
	const struct dl_conf_workspace *ws;

	if (named.n)
		return dl_conf_class(conf, named);
	ws = dl_conf_workspace(conf, dl_name_str(&c->workspace));
	if (ws && ws->default_class < conf->classes_count)
		return &conf->classes[ws->default_class];
	return &conf->classes[service->default_class];
}

/*
 * Reads whether the caller allows its request to be repeated; default_value
 * applies without the header.  Returns false for a value other than yes and no,
 * so that a misspelling is not taken for either.
 */
static bool read_idempotent(struct call *c, bool default_value)
{
	struct dl_str s = dl_httpd_header(c->http, "daisyledge-idempotent");

	c->idempotent = default_value;
	if (s.n == 0)
		return true;
	c->idempotent = dl_str_eq(s, DL_STR("yes"));
	return c->idempotent || dl_str_eq(s, DL_STR("no"));
}

/*
 * Reads what requests to both kinds of service share.  Returns NULL, or the
 * error message for the caller.
 */
static const char *read_common(struct call *c,
			       const struct dl_service_conf *service,
			       bool idempotent)
{
	const struct dl_class_conf *class;

	c->service = service->name;
	c->kind = service->kind;
	c->connect_ms = service->connect_timeout_ms;
	c->gap_ms = service->gap_timeout_ms;
	if (!dl_name_set(&c->workspace,
			 dl_httpd_header(c->http, "daisyledge-workspace")))
		return "Daisyledge-Workspace is too long";
	if (!read_idempotent(c, idempotent))
		return "Daisyledge-Idempotent must be yes or no";
	class = pick_class(c, service);
	if (!class)
		return "Daisyledge-Class is not a configured class";
	c->class_name = class->name;
	c->class = class->class;
	if (!read_deadline(c, class->deadline_ms))
		return BAD_DEADLINE;
	return NULL;
}

static void estimate_tokens(struct call *c)
{
	const struct dl_completion *completion = &c->completion;
	uint64_t milli = BYTES_PER_TOKEN_MILLI;
	gpointer known =
		g_hash_table_lookup(c->e->bytes_per_token, c->workspace.s);

	if (known)
		milli = GPOINTER_TO_SIZE(known);
	c->prompt_bytes = completion->prompt_bytes;
	c->prompt_tokens = c->prompt_bytes * 1000 / milli + 1;
	c->output_tokens = completion->max_tokens;
	c->prefix = completion->prefix;
	if (c->prefix) {
		c->shared_parts = g_memdup2(&c->prefix, sizeof(c->prefix));
		c->shared_parts_count = 1;
	}
	if (c->prefix)
		c->prefix_tokens = (uint32_t)(DL_PREFIX_BYTES * 1000 / milli);
}

/* Admits a request that has been read: claims its key, or asks at once. */
static void submit(struct call *c, const struct dl_service_conf *service)
{
	struct dl_str key = dl_httpd_header(c->http, "idempotency-key");

	entry_stop_forecast(c, service);
	if (c->e->draining) {
		dl_count(DL_METRIC_stop_refused, c->e->node.stopping);
		entry_call_refuse(c, DL_REASON_DRAINING, DL_STEP_ADMIT,
				  c->e->node.self, RETRY_AFTER_MS);
		return;
	}
	if (!entry_held_has_room(c->e)) {
		entry_call_refuse(c, DL_REASON_BUSY, DL_STEP_ADMIT,
				  c->e->node.self, RETRY_AFTER_MS);
		return;
	}
	if (key.n && !c->idempotent) {
		if (call_claim(c))
			reject(c, 400, "Idempotency-Key is too long");
		return;
	}
	entry_grant_ask(c);
}

static bool refuse_without_conf(struct call *c)
{
	if (c->e->conf)
		return false;
	entry_call_refuse(c, DL_REASON_NO_ENDPOINT, DL_STEP_READ,
			  c->e->node.self, RETRY_AFTER_MS);
	return true;
}

/* Continues with a completion whose body was parsed, or rejects it. */
static void on_parsed(struct call *c, int rc, const struct dl_err *err)
{
	const struct dl_service_conf *service;
	const char *fault;

	if (rc) {
		reject(c, 400, err->text);
		return;
	}
	service = dl_conf_service_of_model(c->e->conf,
					   dl_name_str(&c->completion.model));
	if (!service) {
		reject(c, 404, "no service serves this model");
		return;
	}
	c->stream = c->completion.stream;
	fault = read_common(c, service, true);
	if (fault) {
		reject(c, 400, fault);
		return;
	}
	estimate_tokens(c);
	submit(c, service);
}

static void parse_work(uv_work_t *work)
{
	struct parse_job *r = work->data;

	r->rc = dl_completion_parse(r->body, &r->completion, &r->err);
}

static void on_parse_done(uv_work_t *work, int status)
{
	struct parse_job *r = work->data;
	struct call *c = r->call;

	if (c) {
		c->parse_job = NULL;
		c->completion = r->completion;
		r->completion.rest = NULL;
		entry_call_span(c, "read", c->arrived_at, NULL);
		on_parsed(c, r->rc, &r->err);
	}
	dl_completion_free(&r->completion);
	g_free((char *)r->body.s);
	g_free(r);
}

/* Detaches a parse from a call that has ended; its result is dropped. */
void call_parse_forget(struct parse_job *job)
{
	job->call = NULL;
}

/*
 * Parses a body in the thread pool.  A prompt of a million tokens takes 0.1 s,
 * during which an event loop would stall every other request of this VM.
 * Parsing is a pure function of a copy of the body, so it is safe in a thread;
 * the result is delivered to the event loop.
 */
static void start_parse(struct call *c, struct dl_str body)
{
	struct parse_job *r = g_new0(struct parse_job, 1);

	r->call = c;
	r->body = call_copy_str(body);
	r->work.data = r;
	c->parse_job = r;
	c->state = CALL_PARSING;
	uv_queue_work(c->e->node.loop, &r->work, parse_work, on_parse_done);
}

/* Handles POST /v1/completions. */
void entry_call_completion(struct entry *e, struct dl_httpd_req *req)
{
	struct dl_str body = dl_httpd_body(req);
	struct call *c = call_new(e, req);
	struct dl_err err = { 0 };
	int rc;

	if (refuse_without_conf(c))
		return;
	if (!entry_held_has_room(e)) {
		entry_call_refuse(c, DL_REASON_BUSY, DL_STEP_READ, e->node.self,
				  RETRY_AFTER_MS);
		return;
	}
	if (!read_deadline(c, PARSE_DEADLINE_MS)) {
		reject(c, 400, BAD_DEADLINE);
		return;
	}
	if (body.n > PARSE_INLINE_MAX) {
		start_parse(c, body);
		return;
	}
	rc = dl_completion_parse(body, &c->completion, &err);
	on_parsed(c, rc, &err);
}

/* Returns the name of the service in "/s/SERVICE/...". */
static struct dl_str service_in_path(struct dl_str path)
{
	size_t skip = strlen(PLAIN_PATH_PREFIX);
	struct dl_str name = { path.s + skip, 0 };

	while (skip + name.n < path.n && name.s[name.n] != '/' &&
	       name.s[name.n] != '?')
		name.n++;
	return name;
}

static bool path_begins(struct dl_str path, const struct dl_name *prefix)
{
	return path.n >= prefix->n && memcmp(path.s, prefix->s, prefix->n) == 0;
}

/* Whether the service's configuration allows a request to be repeated. */
static bool is_idempotent(struct call *c, const struct dl_service_conf *service)
{
	struct dl_str method = dl_httpd_method(c->http);
	struct dl_str path = dl_httpd_path(c->http);
	size_t skip = strlen(PLAIN_PATH_PREFIX) + service->name.n;
	bool default_value = false;

	if (service->get_is_idempotent && (dl_str_eq(method, DL_STR("GET")) ||
					   dl_str_eq(method, DL_STR("HEAD"))))
		default_value = true;
	path = (struct dl_str){ path.s + skip, path.n - skip };
	for (uint32_t i = 0; i < service->idempotent_paths_count; i++)
		default_value |=
			path_begins(path, &service->idempotent_paths[i]);
	return default_value;
}

/* Handles /s/SERVICE/... with any method. */
void entry_call_plain(struct entry *e, struct dl_httpd_req *req)
{
	const struct dl_service_conf *service;
	struct call *c = call_new(e, req);
	const char *fault;

	if (refuse_without_conf(c))
		return;
	service = dl_conf_service(e->conf, service_in_path(dl_httpd_path(req)));
	if (!service || service->kind != DL_POOL_PLAIN) {
		reject(c, 404, "no such service");
		return;
	}
	fault = read_common(c, service, is_idempotent(c, service));
	if (fault)
		reject(c, 400, fault);
	else
		submit(c, service);
}
