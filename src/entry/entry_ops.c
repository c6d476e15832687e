/*
 * Operators' HTTP API. A response may depend on replies of replicas or other
 * VMs; an ops_request holds the state until the response is sent.
 */
#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "base/msg.h"
#include "entry/entry.h"
#include "protocol/api.h"

#define APPLY_TIMEOUT_MS  8000
#define QUERY_TIMEOUT_MS  1500
#define STATUS_TIMEOUT_MS 600
/* Silence after which an endpoint is omitted. */
#define ANNOUNCED_MAX_AGE_MS 5000
#define DISPATCHERS_MAX	     64 /* whose pools are queried */

struct ops_request {
	struct http_owner http_owner; /* first */
	struct entry *e;
	uint64_t change_cmd; /* id of the command to apply a change, else 0 */
	struct dl_httpd_req *http; /* NULL once the operator has disconnected */
	uint32_t waiting;	   /* replies outstanding */
	json_t *root;
	char *diff;
	bool needs_confirm;
	struct dl_name evacuation; /* domain of an evacuation; empty: none */
	bool evacuate;		   /* it begins; otherwise it ends */
};

static void ops_free(struct ops_request *o);

/*
 * Handles a disconnect of the operator. A change is not sent again: it could be
 * applied after the operator was told that no replica answered. Queries run to
 * their end, and their replies are discarded.
 */
static void on_closed(struct http_owner *self)
{
	struct ops_request *o = (struct ops_request *)self;

	o->http = NULL;
	if (!o->change_cmd)
		return;
	entry_cmd_abandon(o->e, o->change_cmd);
	ops_free(o);
}

static struct ops_request *ops_new(struct entry *e, struct dl_httpd_req *req)
{
	struct ops_request *o = g_new0(struct ops_request, 1);

	o->http_owner.closed = on_closed;
	o->e = e;
	o->http = req;
	dl_httpd_set_data(req, o);
	return o;
}

static void ops_free(struct ops_request *o)
{
	json_decref(o->root);
	g_free(o->diff);
	g_free(o);
}

static void reply_json(struct dl_httpd_req *req, uint16_t status, json_t *root)
{
	entry_http_json(req, status, json_dumps(root, JSON_COMPACT));
}

static json_t *faults_json(const struct dl_faults *faults)
{
	json_t *list = json_array();

	for (uint32_t i = 0; i < MIN(faults->count, DL_FAULTS_MAX); i++) {
		const struct dl_fault *f = &faults->items[i];
		json_t *o = json_object();

		json_object_set_new(o, "path", json_string(f->path));
		json_object_set_new(o, "line", json_integer(f->line));
		json_object_set_new(o, "text", json_string(f->text));
		json_array_append_new(list, o);
	}
	return list;
}

static void reply_faults(struct dl_httpd_req *req,
			 const struct dl_faults *faults)
{
	json_t *root = json_object();

	json_object_set_new(root, "error",
			    json_string("the configuration has faults"));
	json_object_set_new(root, "faults", faults_json(faults));
	reply_json(req, 400, root);
	json_decref(root);
}

/* A change as an operator sent it; the strings belong to root. */
struct change {
	json_t *root;
	struct dl_str text, change_id, author;
	uint64_t expect;
	bool confirm, dry_run;
};

static struct dl_str get_str(const json_t *root, const char *key)
{
	const json_t *v = json_object_get(root, key);

	return (struct dl_str){ json_string_value(v) ? json_string_value(v) :
						       "",
				json_string_length(v) };
}

static int read_change(struct dl_httpd_req *req, struct change *out,
		       struct dl_err *err)
{
	struct dl_str body = dl_httpd_body(req);
	const json_t *expect;

	memset(out, 0, sizeof(*out));
	out->root = json_loadb(body.s, body.n, JSON_REJECT_DUPLICATES, NULL);
	expect = json_object_get(out->root, "expect");
	if (!json_is_string(json_object_get(out->root, "text")) ||
	    (expect && !json_is_integer(expect))) {
		json_decref(out->root);
		return dl_err_set(err, -EINVAL, DL_STEP_READ, NULL,
				  "text must be a string and expect a number");
	}
	out->text = get_str(out->root, "text");
	out->change_id = get_str(out->root, "change_id");
	out->author = get_str(out->root, "author");
	out->expect = expect ? (uint64_t)json_integer_value(expect) :
			       UINT64_MAX;
	out->confirm = json_is_true(json_object_get(out->root, "confirm"));
	out->dry_run = json_is_true(json_object_get(out->root, "dry_run"));
	return 0;
}

static uint16_t status_of_code(int code)
{
	switch (code) {
	case 0:
		return 200;
	case DL_ECONFLICT:
	case DL_EREUSED:
		return 409;
	case DL_ECONFIRM:
		return 412;
	case -EINVAL:
		return 400;
	default:
		return 503;
	}
}

/*
 * Names the services that have no endpoint outside the evacuated domains. The
 * change that was applied may not be known to this VM yet. Informs only where
 * endpoints that leave serve on.
 */
static void add_services_without(const struct ops_request *o, json_t *root)
{
	struct dl_evacuations list = o->e->evacuations;
	json_t *names;
	char *text;

	if (!o->e->node.settings.endpoint_drain_ms)
		return;
	names = json_array();
	dl_evacuations_set(&list, dl_name_str(&o->evacuation), o->evacuate);
	entry_leaving_services_without(o->e, &list, names);
	text = dl_node_join_names(names);
	dl_msg(DL_MSG_EVACUATION_ANSWERED,
	       "domain=%s evacuate=%d status=200 without_endpoint=%s",
	       o->evacuation.s, o->evacuate, text);
	g_free(text);
	json_object_set_new(root, "services_without_endpoint", names);
}

static void on_applied(void *arg, const struct dl_cstore_reply *reply)
{
	uint16_t status = status_of_code(reply->code);
	struct ops_request *o = arg;
	char peer[24];
	json_t *root;

	if (!o->http) {
		ops_free(o);
		return;
	}
	root = json_object();
	json_object_set_new(root, "version",
			    json_integer((json_int_t)reply->version));
	json_object_set_new(root, "repeated", json_boolean(reply->repeated));
	json_object_set_new(root, "needs_confirm",
			    json_boolean(o->needs_confirm));
	json_object_set_new(root, "diff", json_string(o->diff ? o->diff : ""));
	if (status != 200) {
		json_object_set_new(root, "error", json_string(reply->text));
		json_object_set_new(root, "step", json_string("replicate"));
		json_object_set_new(
			root, "peer",
			json_string(dl_vm_text(o->e->leader, peer)));
	}
	if (status == 200 && o->evacuation.n)
		add_services_without(o, root);
	if (status == 409)
		json_object_set_new(root, "diff", json_string(reply->text));
	reply_json(o->http, status, root);
	json_decref(root);
	ops_free(o);
}

static void apply(struct ops_request *o, const struct change *change)
{
	struct entry_cmd_done done = { on_applied, o };
	struct dl_cstore_cmd cmd = { .op = DL_CSTORE_APPLY };

	cmd.text = change->text;
	cmd.change_id = change->change_id;
	cmd.author = change->author;
	cmd.expect = change->expect;
	cmd.confirm = change->confirm;
	o->change_cmd = entry_cmd_send(o->e, &cmd, APPLY_TIMEOUT_MS, done);
}

static void compare_conf(struct ops_request *o, const struct dl_conf *conf)
{
	struct dl_conf_diff diff;

	if (dl_conf_compare(o->e->conf, conf, &diff))
		return;
	o->diff = g_strdup(diff.text);
	o->needs_confirm = diff.needs_confirm;
	dl_conf_diff_free(&diff);
}

static void dry_run(struct ops_request *o)
{
	json_t *root = json_object();

	json_object_set_new(root, "version",
			    json_integer((json_int_t)o->e->version));
	json_object_set_new(root, "repeated", json_false());
	json_object_set_new(root, "diff", json_string(o->diff ? o->diff : ""));
	json_object_set_new(root, "needs_confirm",
			    json_boolean(o->needs_confirm));
	reply_json(o->http, 200, root);
	json_decref(root);
	ops_free(o);
}

/*
 * Handles POST /v1/config: validates the text, then sends it to the leading
 * replica.
 */
void entry_ops_config_post(struct entry *e, struct dl_httpd_req *req)
{
	struct dl_faults faults;
	struct dl_conf *conf;
	struct change change;
	struct dl_err err;
	struct ops_request *o;

	if (read_change(req, &change, &err)) {
		entry_http_error(req, 400, "bad-request", &err);
		return;
	}
	if (dl_conf_parse(change.text, &conf, &faults)) {
		reply_faults(req, &faults);
		json_decref(change.root);
		return;
	}
	o = ops_new(e, req);
	compare_conf(o, conf);
	dl_conf_free(conf);
	if (change.dry_run)
		dry_run(o);
	else
		apply(o, &change);
	json_decref(change.root);
}

/* Sends the begin or end of an evacuation to the leading replica. */
static void evacuate(struct entry *e, struct dl_httpd_req *req, bool begin)
{
	struct dl_str path = dl_httpd_path(req);
	size_t skip = strlen(ENTRY_EVACUATIONS_PATH);
	char *domain =
		g_uri_unescape_segment(path.s + skip, path.s + path.n, NULL);
	struct dl_cstore_cmd cmd = { .op = DL_CSTORE_EVACUATE,
				     .confirm = begin };
	struct ops_request *o;
	struct dl_err err;

	if (!domain || !domain[0] || strlen(domain) > DL_NAME_MAX) {
		dl_err_set(&err, -EINVAL, DL_STEP_READ, NULL,
			   "a failure domain must have 1 to %d bytes",
			   DL_NAME_MAX);
		entry_http_error(req, 400, "bad-request", &err);
		g_free(domain);
		return;
	}
	o = ops_new(e, req);
	cmd.key = dl_str_of(domain);
	dl_name_set(&o->evacuation, cmd.key);
	o->evacuate = begin;
	o->change_cmd =
		entry_cmd_send(e, &cmd, APPLY_TIMEOUT_MS,
			       (struct entry_cmd_done){ on_applied, o });
	g_free(domain);
}

/* Handles PUT /v1/evacuations/DOMAIN. */
void entry_ops_evacuate(struct entry *e, struct dl_httpd_req *req)
{
	evacuate(e, req, true);
}

/* Handles DELETE /v1/evacuations/DOMAIN. */
void entry_ops_evacuate_end(struct entry *e, struct dl_httpd_req *req)
{
	evacuate(e, req, false);
}

static uint64_t version_in_query(struct dl_str path)
{
	const char *at = memmem(path.s, path.n, "version=", 8);
	struct dl_str digits;
	uint64_t version = 0;

	if (!at)
		return 0;
	digits.s = at + 8;
	digits.n = path.n - (size_t)(digits.s - path.s);
	dl_str_to_u64(digits, &version);
	return version;
}

static void on_query(void *arg, const struct dl_cstore_reply *reply)
{
	struct ops_request *o = arg;
	struct dl_header type = { DL_STR("Content-Type"),
				  DL_STR("application/json") };
	struct dl_err err;

	if (!o->http) {
		ops_free(o);
		return;
	}
	if (reply->code) {
		dl_err_set(&err, reply->code, DL_STEP_REPLICATE, NULL, "%s",
			   reply->text);
		entry_http_error(o->http, 503, "no-replica", &err);
	} else {
		dl_httpd_reply(o->http, 200, &type, 1, reply->outcome);
	}
	ops_free(o);
}

static void ask_replica(struct entry *e, struct dl_httpd_req *req,
			const char *question)
{
	struct ops_request *o = ops_new(e, req);
	struct entry_cmd_done done = { on_query, o };

	entry_cmd_query(e, DL_VM_NONE, dl_str_of(question), QUERY_TIMEOUT_MS,
			done);
}

/*
 * Handles GET /v1/config: returns the version in force here, or the one that
 * is named, as it was submitted.
 */
void entry_ops_config_get(struct entry *e, struct dl_httpd_req *req)
{
	uint64_t version = version_in_query(dl_httpd_path(req));
	char question[32], *text = NULL;
	json_t *root;
	size_t n = 0;

	if (version &&
	    (version != e->version || entry_conf_text_is_rebuilt(e))) {
		snprintf(question, sizeof(question), "text %lu",
			 (unsigned long)version);
		ask_replica(e, req, question);
		return;
	}
	if (!entry_conf_text(e, &text, &n))
		n = 0;
	root = json_object();
	json_object_set_new(root, "version",
			    json_integer((json_int_t)e->version));
	json_object_set_new(root, "text", json_stringn(n ? text : "", n));
	if (n)
		free(text);
	reply_json(req, 200, root);
	json_decref(root);
}

/* Handles GET /v1/config/history. */
void entry_ops_history(struct entry *e, struct dl_httpd_req *req)
{
	ask_replica(e, req, "history");
}

static const char *state_name(enum dl_memb_state state)
{
	static const char *const names[] = {
		[DL_ALIVE] = "alive",
		[DL_SUSPECT] = "suspect",
		[DL_DEAD] = "dead",
		[DL_LEFT] = "left",
	};

	return names[state];
}

static json_t *vms_json(struct entry *e)
{
	json_t *list = json_array();
	const struct dl_member *m;

	for (uint32_t i = 0; (m = dl_memb_at(e->node.memb, i)); i++) {
		json_t *o = json_object();
		char text[24];

		json_object_set_new(o, "vm",
				    json_string(dl_vm_text(m->vm, text)));
		json_object_set_new(o, "domain", json_string(m->domain.s));
		json_object_set_new(o, "state",
				    json_string(state_name(m->state)));
		json_object_set_new(o, "role",
				    json_string(m->replica ? "replica" :
							     "entry"));
		json_object_set_new(
			o, "version",
			json_integer((json_int_t)m->config_version));
		json_object_set_new(o, "draining", json_boolean(m->draining));
		json_object_set_new(o, "since_ms",
				    json_integer(entry_now(e) - m->since));
		json_array_append_new(list, o);
	}
	return list;
}

static json_t *pool_json(struct entry *e, struct entry_pool *p)
{
	struct dl_pool_summary s;
	json_t *o = json_object();
	char text[24];

	dl_pool_summarize(p->pool, entry_now(e), &s);
	json_object_set_new(o, "service", json_string(p->service.s));
	json_object_set_new(
		o, "domain",
		json_string(dl_settings_pool_domain(&e->node.settings)->s));
	json_object_set_new(o, "dispatcher",
			    json_string(dl_vm_text(e->node.self, text)));
	json_object_set_new(o, "endpoints", json_integer(s.endpoints));
	json_object_set_new(o, "queued", json_integer(s.queued));
	json_object_set_new(o, "queued_tokens",
			    json_integer((json_int_t)s.queued_tokens));
	json_object_set_new(o, "free_tokens",
			    json_integer((json_int_t)s.free_tokens));
	json_object_set_new(o, "backlog_ms",
			    json_integer((json_int_t)s.backlog_ms));
	json_object_set_new(o, "grants", json_integer((json_int_t)s.grants));
	return o;
}

static void append_endpoints(struct entry_pool *p, json_t *list)
{
	struct dl_endpoint_report r;
	uint64_t held;
	bool out;

	for (uint32_t i = 0; dl_pool_endpoint_at(p->pool, i, &r, &held, &out);
	     i++) {
		json_t *o = json_object();

		json_object_set_new(o, "service", json_string(p->service.s));
		json_object_set_new(o, "address", json_string(r.id.s));
		json_object_set_new(o, "running", json_integer(r.running));
		json_object_set_new(o, "used_tokens",
				    json_integer((json_int_t)r.used_tokens));
		json_object_set_new(o, "held_tokens",
				    json_integer((json_int_t)held));
		json_object_set_new(o, "leaving", json_boolean(r.leaving));
		json_object_set_new(o, "put_out", json_boolean(out));
		json_array_append_new(list, o);
	}
}

/* Returns the pools that this VM dispatches, and their endpoints. */
static json_t *local_pools_json(struct entry *e)
{
	json_t *root = json_object(), *pools = json_array();
	json_t *endpoints = json_array();
	struct entry_pool *p;

	for (p = e->pools; p; p = p->next) {
		if (!p->dispatching)
			continue;
		json_array_append_new(pools, pool_json(e, p));
		append_endpoints(p, endpoints);
	}
	json_object_set_new(root, "pools", pools);
	json_object_set_new(root, "endpoints", endpoints);
	return root;
}

static json_t *announced_endpoint_json(const char *service, const char *id,
				       const struct announced_endpoint *a)
{
	json_t *o = json_object(), *models = json_array();

	for (uint32_t i = 0; i < a->models_count; i++)
		json_array_append_new(models, json_string(a->models[i].s));
	json_object_set_new(o, "service", json_string(service));
	json_object_set_new(o, "address", json_string(id));
	json_object_set_new(o, "incarnation",
			    json_integer((json_int_t)a->incarnation));
	json_object_set_new(o, "leaving", json_boolean(a->leaving));
	json_object_set_new(o, "models", models);
	json_object_set_new(o, "version", json_string(a->version.s));
	json_object_set_new(o, "role", json_string(a->role.s));
	return o;
}

/*
 * Returns the announcements of endpoints in pools dispatched here, for the
 * planner of orders.
 */
static json_t *announced_json(struct entry *e)
{
	json_t *root = json_array();
	struct entry_pool *p;

	for (p = e->pools; p; p = p->next) {
		GHashTableIter it;
		gpointer id, a;

		if (!p->dispatching)
			continue;
		g_hash_table_iter_init(&it, p->announced);
		while (g_hash_table_iter_next(&it, &id, &a)) {
			const struct announced_endpoint *n = a;

			if (entry_now(e) - n->heard_at > ANNOUNCED_MAX_AGE_MS)
				g_hash_table_iter_remove(&it);
			else
				json_array_append_new(
					root, announced_endpoint_json(
						      p->service.s, id, n));
		}
	}
	return root;
}

/* Answers a query of another VM about the pools of this one. */
void entry_ops_frame(struct entry *e, uint64_t from,
		     const struct dl_frame *frame)
{
	json_t *root;
	char *text;

	if (dl_str_eq(frame->body, DL_STR("pools")))
		root = local_pools_json(e);
	else if (dl_str_eq(frame->body, DL_STR("announced")))
		root = announced_json(e);
	else
		return;
	text = json_dumps(root, JSON_COMPACT);
	json_decref(root);
	dl_peers_send(e->node.peers, from, DL_FRAME_QUERY_REPLY, frame->request,
		      dl_str_of(text));
	free(text);
}

static void status_part_done(struct ops_request *o)
{
	if (--o->waiting)
		return;
	if (o->http)
		reply_json(o->http, 200, o->root);
	ops_free(o);
}

static void merge_lists(json_t *to, json_t *from)
{
	json_array_extend(json_object_get(to, "pools"),
			  json_object_get(from, "pools"));
	json_array_extend(json_object_get(to, "endpoints"),
			  json_object_get(from, "endpoints"));
}

static void on_pools(void *arg, const struct dl_cstore_reply *reply)
{
	struct ops_request *o = arg;
	json_t *from;

	if (!reply->code) {
		from = json_loadb(reply->outcome.s, reply->outcome.n, 0, NULL);
		merge_lists(o->root, from);
		json_decref(from);
	}
	status_part_done(o);
}

static void on_replicas(void *arg, const struct dl_cstore_reply *reply)
{
	struct ops_request *o = arg;
	json_t *replicas = NULL;

	if (!reply->code)
		replicas =
			json_loadb(reply->outcome.s, reply->outcome.n, 0, NULL);
	if (!replicas) {
		replicas = json_object();
		json_object_set_new(replicas, "error",
				    json_string("no replica answered"));
	}
	json_object_set_new(o->root, "replicas", replicas);
	status_part_done(o);
}

static bool contains_vm(const uint64_t *list, uint32_t n, uint64_t vm)
{
	for (uint32_t i = 0; i < n; i++) {
		if (list[i] == vm)
			return true;
	}
	return false;
}

/* Queries each dispatcher once. */
static void ask_dispatchers(struct ops_request *o)
{
	struct entry_cmd_done done = { on_pools, o };
	struct entry *e = o->e;
	uint64_t asked[DISPATCHERS_MAX];
	const struct dl_member *m;
	uint32_t n = 0;

	for (uint32_t i = 0; (m = dl_memb_at(e->node.memb, i)); i++) {
		struct entry_pool *p;

		for (p = e->pools; p && n < DISPATCHERS_MAX; p = p->next) {
			uint64_t vm = entry_pool_owner(e,
						       dl_name_str(&p->service),
						       dl_name_str(&m->domain));

			if (vm == DL_VM_NONE || vm == e->node.self ||
			    contains_vm(asked, n, vm))
				continue;
			asked[n++] = vm;
			o->waiting++;
			entry_cmd_query(e, vm, DL_STR("pools"),
					STATUS_TIMEOUT_MS, done);
		}
	}
}

static json_t *evacuations_json(const struct entry *e)
{
	json_t *list = json_array();

	for (uint32_t i = 0; i < e->evacuations.count; i++) {
		json_t *o = json_object();

		json_object_set_new(o, "domain",
				    json_string(e->evacuations.domain[i].s));
		json_array_append_new(list, o);
	}
	return list;
}

/*
 * Handles GET /v1/status: the state of this VM, and that of the pools as
 * reported by their dispatchers.
 */
void entry_ops_status(struct entry *e, struct dl_httpd_req *req)
{
	struct ops_request *o = ops_new(e, req);
	struct entry_cmd_done done = { on_replicas, o };
	json_t *own = local_pools_json(e);

	o->root = json_object();
	json_object_set_new(o->root, "version",
			    json_integer((json_int_t)e->version));
	json_object_set_new(o->root, "draining", json_boolean(e->draining));
	json_object_set_new(o->root, "replica_heard_ms_ago",
			    json_integer(entry_now(e) - e->replica_heard_at));
	json_object_set_new(o->root, "evacuated", evacuations_json(e));
	json_object_set_new(o->root, "vms", vms_json(e));
	json_object_set_new(o->root, "pools", json_array());
	json_object_set_new(o->root, "endpoints", json_array());
	merge_lists(o->root, own);
	json_decref(own);
	o->waiting = 1;
	ask_dispatchers(o);
	entry_cmd_query(e, DL_VM_NONE, DL_STR("status"), STATUS_TIMEOUT_MS,
			done);
}
