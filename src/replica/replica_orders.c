/*
 * Sends orders to endpoints. The leader queries the dispatchers for what the
 * endpoints of services with orders have announced, passes it to the planner
 * and sends the planned orders. It does so only while it holds the leader lease
 * and after the fencing entry of its term has been committed.
 */
#include <errno.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "daisyledge/conf.h"
#include "daisyledge/orders.h"
#include "replica/replica.h"
#include "transport/httpc.h"

/* Endpoints announce every second, so faster queries would learn nothing. */
#define QUERY_INTERVAL_MS 1000
/* An endpoint not reported by any dispatcher for this long is removed. */
#define ENDPOINT_EXPIRY_MS 6000
#define CONNECT_MS	   1000
/* Set in the ids of own queries, to tell them from forwarded ones. */
#define ORDERS_QUERY_FLAG UINT64_C(1) << 63
#define DOMAINS_MAX	  32
#define BODY_MAX	  512
#define STATUS_OK	  200
#define STATUS_CONFLICT	  409

struct replica_orders {
	struct dl_orders *plan;
	struct dl_httpc *httpc;
	uint64_t version; /* of the configuration that the plan is based on */
	uint64_t fenced_term; /* term whose fencing entry was proposed */
	int64_t queried_at;
	GHashTable *last_seen; /* endpoint address to time of its last report */
};

/* An order that is being sent. */
struct order_call {
	struct replica *r;
	struct dl_order order;
	char body[BODY_MAX];
};

static bool on_ready(void *arg);
static void on_end(void *arg, const struct dl_attempt *attempt,
		   const struct dl_err *err);

static const struct dl_httpc_ops call_ops = {
	.end = on_end,
	.connected = on_ready,
};

/* Creates the planner and the HTTP client; returns 0 or -ENOMEM. */
int replica_orders_open(struct replica *r)
{
	struct replica_orders *o = g_new0(struct replica_orders, 1);
	struct dl_orders_conf conf;
	struct dl_rlog_conf log;

	dl_orders_defaults(&conf);
	dl_rlog_defaults(&log);
	conf.lease_ms = log.lease_ms;
	o->plan = dl_orders_new(&conf);
	if (!o->plan || dl_httpc_open(r->node.loop, &o->httpc)) {
		g_free(o);
		return -ENOMEM;
	}
	o->last_seen =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	r->orders = o;
	return 0;
}

/* Checks again, because the process may have been paused since planning. */
static bool on_ready(void *arg)
{
	struct order_call *c = arg;

	return dl_orders_may_send(c->r->orders->plan, &c->order,
				  replica_now(c->r));
}

static enum dl_order_result result_of(const struct dl_attempt *attempt)
{
	if (attempt->status == STATUS_CONFLICT)
		return DL_ORDER_FENCED;
	if (dl_call_outcome(attempt) == DL_OUTCOME_NOT_RUN)
		return DL_ORDER_FAILED;
	if (attempt->received != DL_RECV_COMPLETE)
		return DL_ORDER_UNKNOWN;
	return attempt->status == STATUS_OK ? DL_ORDER_ACCEPTED :
					      DL_ORDER_FAILED;
}

static void on_end(void *arg, const struct dl_attempt *attempt,
		   const struct dl_err *err)
{
	struct order_call *c = arg;

	dl_orders_result(c->r->orders->plan, c->order.id, result_of(attempt),
			 replica_now(c->r));
	g_free(c);
}

static void send_order(struct replica *r, const struct dl_order *order)
{
	static const struct dl_header json = { DL_STR("Content-Type"),
					       DL_STR("application/json") };
	struct dl_httpc_req req = { .method = DL_STR("POST"),
				    .path = DL_STR("/v1/orders"),
				    .headers = &json,
				    .headers_count = 1 };
	struct order_call *c = g_new0(struct order_call, 1);
	int64_t left = order->deadline - replica_now(r);

	c->r = r;
	c->order = *order;
	snprintf(c->body, sizeof(c->body),
		 "{\"fence\":%" PRIu64 ",\"model\":\"%s\",\"version\":\"%s\","
		 "\"role\":\"%s\"}",
		 order->fence, order->model.s, order->version.s, order->role.s);
	req.body = dl_str_of(c->body);
	req.connect_ms = CONNECT_MS;
	/* The time to connect counts towards the order's deadline. */
	req.idle_ms = (uint32_t)MAX(left - CONNECT_MS, 1);
	req.total_ms = (uint32_t)MAX(left, 1);
	if (!dl_vm_parse(dl_name_str(&order->endpoint), &req.address) ||
	    !dl_httpc_start(r->orders->httpc, &req, &call_ops, c)) {
		dl_orders_result(r->orders->plan, order->id, DL_ORDER_FAILED,
				 replica_now(r));
		g_free(c);
	}
}

static bool has_orders(const struct dl_conf *conf,
		       const struct dl_name *service)
{
	for (uint32_t i = 0; i < conf->orders_count; i++) {
		if (dl_name_eq(&conf->orders[i].service, dl_name_str(service)))
			return true;
	}
	return false;
}

static bool contains_vm(const uint64_t *list, uint32_t n, uint64_t vm)
{
	for (uint32_t i = 0; i < n; i++) {
		if (list[i] == vm)
			return true;
	}
	return false;
}

/* Queries each dispatcher of a service with orders, once. */
static void query_dispatchers(struct replica *r, const struct dl_conf *conf)
{
	uint64_t queried[DOMAINS_MAX];
	const struct dl_member *m;
	uint32_t n = 0;

	for (uint32_t s = 0; s < conf->services_count; s++) {
		const struct dl_name *service = &conf->services[s].name;

		if (!has_orders(conf, service))
			continue;
		for (uint32_t i = 0; (m = dl_memb_at(r->node.memb, i)); i++) {
			uint64_t vm = dl_memb_owner(
				r->node.memb, dl_name_str(&m->domain),
				dl_hash(dl_name_str(service), 0));

			if (vm == DL_VM_NONE || n == DOMAINS_MAX ||
			    contains_vm(queried, n, vm))
				continue;
			queried[n++] = vm;
			replica_send(r, vm, DL_FRAME_QUERY,
				     ORDERS_QUERY_FLAG | ++r->next_request,
				     DL_STR("announced"));
		}
	}
}

static void set_name(struct dl_name *name, const json_t *value)
{
	if (json_is_string(value))
		dl_name_set(name, (struct dl_str){ json_string_value(value),
						   json_string_length(value) });
}

static void update_endpoint(struct replica *r, const json_t *endpoint)
{
	const json_t *models = json_object_get(endpoint, "models");
	struct replica_orders *o = r->orders;
	struct dl_order_endpoint e;
	int64_t now = replica_now(r);
	int64_t *seen_at = g_new(int64_t, 1);

	memset(&e, 0, sizeof(e));
	set_name(&e.id, json_object_get(endpoint, "address"));
	set_name(&e.service, json_object_get(endpoint, "service"));
	set_name(&e.version, json_object_get(endpoint, "version"));
	set_name(&e.role, json_object_get(endpoint, "role"));
	e.incarnation = (uint64_t)json_integer_value(
		json_object_get(endpoint, "incarnation"));
	e.leaving = json_is_true(json_object_get(endpoint, "leaving"));
	for (size_t i = 0; i < json_array_size(models) &&
			   e.models_count < DL_ORDER_MODELS_MAX;
	     i++)
		set_name(&e.models[e.models_count++],
			 json_array_get(models, i));
	*seen_at = now;
	g_hash_table_replace(o->last_seen, g_strdup(e.id.s), seen_at);
	dl_orders_update_endpoint(o->plan, &e, now);
}

/* Handles a dispatcher's reply; returns false if it is to another query. */
bool replica_orders_reply(struct replica *r, const struct dl_frame *frame)
{
	json_t *list;

	if (!(frame->request & ORDERS_QUERY_FLAG))
		return false;
	list = json_loadb(frame->body.s, frame->body.n, 0, NULL);
	for (size_t i = 0; i < json_array_size(list); i++)
		update_endpoint(r, json_array_get(list, i));
	json_decref(list);
	return true;
}

static void expire_endpoints(struct replica *r, int64_t now)
{
	struct replica_orders *o = r->orders;
	gpointer id, seen_at;
	GHashTableIter it;

	g_hash_table_iter_init(&it, o->last_seen);
	while (g_hash_table_iter_next(&it, &id, &seen_at)) {
		if (now - *(int64_t *)seen_at <= ENDPOINT_EXPIRY_MS)
			continue;
		dl_orders_remove_endpoint(o->plan, dl_str_of(id));
		g_hash_table_iter_remove(&it);
	}
}

/*
 * Proposes the fencing entry that must be committed before the first order of a
 * term. Every term gets one, because the state machine's clock for claims
 * depends on it, too.
 */
static void propose_fence(struct replica *r, uint64_t term, int64_t now)
{
	struct dl_cstore_cmd cmd = { .op = DL_CSTORE_FENCE, .term = term };
	uint64_t index, at_term;
	char *command;
	size_t n;

	if (r->orders->fenced_term == term ||
	    dl_cstore_encode(&cmd, &command, &n))
		return;
	dl_cstore_stamp(command, n, r->wall_offset_ms + now);
	if (dl_rlog_propose(r->rlog, (struct dl_str){ command, n }, now, &index,
			    &at_term) == 0)
		r->orders->fenced_term = term;
	free(command);
}

static void configure_plan(struct replica *r, const struct dl_conf *conf,
			   int64_t now)
{
	uint64_t version = dl_cstore_version(r->cstore);

	if (r->orders->version == version)
		return;
	r->orders->version = version;
	dl_orders_configure(r->orders->plan, conf, now);
}

/* Plans and sends orders while this replica is the leader. */
void replica_orders_tick(struct replica *r, int64_t now)
{
	struct replica_orders *o = r->orders;
	const struct dl_conf *conf;
	struct dl_rlog_status s;
	struct dl_order order;
	int64_t until;

	dl_rlog_get_status(r->rlog, now, &s);
	if (s.role != DL_RLOG_LEADER || !r->started) {
		dl_orders_clear_leader(o->plan);
		return;
	}
	if (dl_cstore_fence(r->cstore) < s.term) {
		propose_fence(r, s.term, now);
		return;
	}
	/*
	 * Do not parse configurations that are already superseded: after a
	 * start, parsing each of a dozen of 150 KB took 63 ms each on 0.15
	 * cores and held up callers by 0.5 s.
	 */
	if (!replica_caught_up(r))
		return;
	conf = dl_cstore_conf(r->cstore);
	if (!conf || conf->orders_count == 0)
		return;
	configure_plan(r, conf, now);
	if (!dl_rlog_lease(r->rlog, now, &until) ||
	    dl_orders_set_leader(o->plan, s.term, until, now))
		return;
	if (now - o->queried_at >= QUERY_INTERVAL_MS) {
		o->queried_at = now;
		query_dispatchers(r, conf);
		expire_endpoints(r, now);
	}
	while (dl_orders_next(o->plan, now, &order))
		send_order(r, &order);
}

/* Returns the state of the orders for the status query. */
json_t *replica_orders_json(struct replica *r)
{
	struct dl_orders_summary s;
	json_t *root = json_object();
	int64_t now = replica_now(r);

	dl_orders_summarize(r->orders->plan, now, &s);
	json_object_set_new(root, "term", json_integer((json_int_t)s.term));
	json_object_set_new(root, "fenced", json_boolean(s.fenced));
	json_object_set_new(root, "wished", json_integer(s.assigned));
	json_object_set_new(root, "done", json_integer(s.completed));
	json_object_set_new(root, "under_way", json_integer(s.in_progress));
	if (s.hold_until > now)
		json_object_set_new(root, "waits_ms",
				    json_integer(s.hold_until - now));
	return root;
}
