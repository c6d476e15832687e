/*
 * Queries to engines for their load after this VM has begun to dispatch; see
 * pool_recover.c for which engines are queried, and when.  The answers of a
 * pool that this VM no longer dispatches are dropped.
 */
#include <string.h>

#include "base/metric.h"
#include "base/msg.h"
#include "entry/entry.h"
#include "platform/platform.h"

/* Engines answer at once; those that stall are unknown. */
#define CONNECT_MS  200
#define RESPONSE_MS 300
#define QUERY_MS    600 /* for the whole of a query */
#define STATUS_OK   200
/* An answer has about 200 bytes. */
#define ANSWER_MAX 4096
/*
 * Each query costs a connection.  The smallest VMs have a twelfth of a core,
 * and at this moment they also adopt the grants of all entries.
 */
#define IN_FLIGHT_MAX 16

struct load_query {
	struct entry *e;
	struct dl_name service;
	struct dl_name endpoint;
	int64_t started_at;
	uint16_t status;
	bool too_long;
	GString *body;
	struct dl_httpc_call *call;
};

static void on_head(void *arg, const struct dl_httpc_head *head);
static bool on_body(void *arg, struct dl_str piece);
static void on_end(void *arg, const struct dl_attempt *attempt,
		   const struct dl_err *err);

static const struct dl_httpc_ops query_ops = { .head = on_head,
					       .body = on_body,
					       .end = on_end };

static void query_free(void *arg)
{
	struct load_query *query = arg;

	g_string_free(query->body, TRUE);
	g_free(query);
}

/* Initializes the list of queries in flight. */
void entry_recover_init(struct entry *e)
{
	e->load_queries = g_ptr_array_new_with_free_func(query_free);
}

static void on_head(void *arg, const struct dl_httpc_head *head)
{
	struct load_query *query = arg;

	query->status = head->status;
}

static bool on_body(void *arg, struct dl_str piece)
{
	struct load_query *query = arg;

	query->too_long |= query->body->len + piece.n > ANSWER_MAX;
	if (!query->too_long)
		g_string_append_len(query->body, piece.s, (gssize)piece.n);
	return true;
}

/* Passes an answer to the pool; NULL: there is none. */
static void apply(struct entry *e, struct dl_str service, struct dl_str id,
		  const struct dl_engine_load *load)
{
	struct entry_pool *p = entry_pool_find(e, service);

	if (p && p->dispatching)
		dl_pool_recover_answer(p->pool, id, load, entry_now(e));
}

static void on_end(void *arg, const struct dl_attempt *attempt,
		   const struct dl_err *err)
{
	struct load_query *query = arg;
	struct dl_str body = { query->body->str, query->body->len };
	struct dl_engine_load load;
	bool ok = attempt->failure == DL_FAILURE_NONE &&
		  query->status == STATUS_OK && !query->too_long &&
		  platform_dialect.load(body, &load) == 0;

	apply(query->e, dl_name_str(&query->service),
	      dl_name_str(&query->endpoint), ok ? &load : NULL);
	g_ptr_array_remove(query->e->load_queries, query);
}

static void send_query(struct entry *e, const struct entry_pool *p,
		       const struct dl_name *endpoint)
{
	struct dl_httpc_req req = { .connect_ms = CONNECT_MS,
				    .idle_ms = RESPONSE_MS,
				    .close_delimited = true,
				    .direct = true };
	struct load_query *query = g_new0(struct load_query, 1);

	query->e = e;
	query->service = p->service;
	query->endpoint = *endpoint;
	query->started_at = entry_now(e);
	query->body = g_string_new(NULL);
	platform_dialect.load_request(&req);
	if (dl_vm_parse(dl_name_str(endpoint), &req.address))
		query->call = dl_httpc_start(e->httpc, &req, &query_ops, query);
	if (!query->call) {
		apply(e, dl_name_str(&p->service), dl_name_str(endpoint), NULL);
		query_free(query);
		return;
	}
	g_ptr_array_add(e->load_queries, query);
}

/* Endpoints of the native API announce their load. */
static void use_announced_load(struct entry *e, const struct entry_pool *p,
			       const struct dl_name *endpoint)
{
	struct dl_engine_load load = { 0 };
	struct dl_endpoint_report r;

	if (dl_pool_endpoint_report(p->pool, dl_name_str(endpoint), &r)) {
		load.active = r.running;
		load.used_tokens = r.used_tokens;
	}
	apply(e, dl_name_str(&p->service), dl_name_str(endpoint), &load);
}

/* Queries the engines of a pool that are due. */
void entry_recover_query(struct entry *e, struct entry_pool *p)
{
	struct dl_name endpoint;

	while (p->dispatching && e->load_queries->len < IN_FLIGHT_MAX &&
	       dl_pool_recover_next(p->pool, entry_now(e), &endpoint)) {
		if (e->node.settings.foreign)
			send_query(e, p, &endpoint);
		else
			use_announced_load(e, p, &endpoint);
	}
}

static void log_end(const struct entry_pool *p, const struct dl_recovery *r)
{
	dl_count(DL_METRIC_takeover_reports, r->engines);
	dl_count(DL_METRIC_takeover_foreign_requests, r->foreign);
	dl_msg(DL_MSG_POOL_LOAD_READ,
	       "service=%s engines=%u foreign=%u unanswered=%u", p->service.s,
	       r->engines, r->foreign, r->unanswered);
}

/* Ends queries that take too long; sends those that are due. */
void entry_recover_tick(struct entry *e, int64_t now)
{
	struct dl_recovery result;

	for (guint i = 0; i < e->load_queries->len; i++) {
		struct load_query *query = e->load_queries->pdata[i];

		if (now - query->started_at > QUERY_MS)
			dl_httpc_give_up(query->call, "the answer is late");
	}
	for (struct entry_pool *p = e->pools; p; p = p->next) {
		entry_recover_query(e, p);
		if (p->dispatching &&
		    dl_pool_recover_end(p->pool, now, &result))
			log_end(p, &result);
	}
}
