/*
 * The pool's one queue.
 *
 * It has a lane for each class and band of length.  In a lane the workspaces
 * take turns by the tokens they were given over their weight (start-time fair
 * queueing), and each one's requests go earliest deadline first.  Every step
 * costs the logarithm of what is queued, so that 32,000 workspaces cost little
 * more than ten.
 */
#include "pool_int.h"

#include <stdlib.h>

/* Steps of virtual time a token, so that weights up to this count. */
#define VIRTUAL_TICKS_PER_TOKEN 1024

/*
 * How far a workspace that asked for less than its share may be ahead of the
 * others when it asks again, in tokens at weight one.  For a workspace that
 * floods: without it each request of the others would wait for one of every
 * other workspace, the flooding one included.  A few short prompts' worth, so
 * that a burst after a quiet time holds the others up by milliseconds.
 */
#define CREDIT_TOKENS 8192

static struct pool_flow *flow_get(struct dl_pool *pool,
				  struct pool_workspace *ws, uint8_t lane);
static int64_t flow_start(const struct dl_pool *pool,
			  const struct pool_lane *lane,
			  const struct pool_flow *flow);
static void flow_update(struct dl_pool *pool, struct pool_flow *flow);
static void flow_charge(struct dl_pool *pool, struct pool_flow *flow,
			const struct pool_want *want);
static void unlink_request(struct dl_pool *pool, struct pool_request *req);
static struct pool_request *flow_first(const struct pool_flow *flow);
static struct pool_request *flow_last(const struct pool_flow *flow);

/* The lane of a request. */
uint8_t pool_lane_of(const struct pool_want *want)
{
	return (uint8_t)(want->class * POOL_BANDS + want->band);
}

/* What a workspace has in a lane, or NULL. */
struct pool_flow *pool_flow_find(const struct pool_workspace *ws, uint8_t lane)
{
	struct pool_flow *flow = ws->flows;

	while (flow && flow->lane != lane)
		flow = flow->next;
	return flow;
}

static struct pool_flow *flow_get(struct dl_pool *pool,
				  struct pool_workspace *ws, uint8_t lane)
{
	struct pool_flow *flow = pool_flow_find(ws, lane);

	(void)pool;
	if (flow)
		return flow;
	flow = calloc(1, sizeof(*flow));
	if (!flow)
		abort();
	flow->workspace = ws;
	flow->lane = lane;
	flow->next = ws->flows;
	ws->flows = flow;
	return flow;
}

/*
 * The virtual time at which a flow's next request starts: where its last one
 * ended, but not further back than its credit.  What it was given before the
 * lane last became empty is forgotten: nobody waited then, so nobody was
 * wronged by it.
 */
static int64_t flow_start(const struct dl_pool *pool,
			  const struct pool_lane *lane,
			  const struct pool_flow *flow)
{
	uint32_t weight = pool_workspace_weight(pool, flow->workspace);
	int64_t earliest = lane->virtual_now - (int64_t)CREDIT_TOKENS *
						       VIRTUAL_TICKS_PER_TOKEN /
						       weight;

	if (flow->epoch != lane->epoch || flow->finish < earliest)
		return earliest;
	return flow->finish;
}

static void flow_update(struct dl_pool *pool, struct pool_flow *flow)
{
	struct pool_lane *lane = &pool->lane[flow->lane];
	uint32_t weight = pool_workspace_weight(pool, flow->workspace);

	if (flow->n == 0) {
		pool_heap_remove(&lane->by_start, &flow->start);
		pool_heap_remove(&lane->by_backlog, &flow->backlog);
		return;
	}
	pool_heap_set(
		&lane->by_backlog, &flow->backlog,
		-(int64_t)(flow->root->sum * VIRTUAL_TICKS_PER_TOKEN / weight));
	if (!flow->start.pos)
		pool_heap_set(&lane->by_start, &flow->start,
			      flow_start(pool, lane, flow));
}

static void flow_charge(struct dl_pool *pool, struct pool_flow *flow,
			const struct pool_want *want)
{
	struct pool_lane *lane = &pool->lane[flow->lane];
	uint32_t weight = pool_workspace_weight(pool, flow->workspace);
	int64_t start = flow_start(pool, lane, flow);
	uint64_t tokens = want->prompt + want->output;

	flow->epoch = lane->epoch;
	flow->finish =
		start + (int64_t)(tokens * VIRTUAL_TICKS_PER_TOKEN / weight);
	if (flow->start.pos)
		pool_heap_set(&lane->by_start, &flow->start, flow->finish);
}

/*
 * Count work that was granted without queueing.  Only while others queue in
 * its lane: work given while nobody waited is held against no one.
 */
void pool_queue_charge(struct dl_pool *pool, struct pool_workspace *ws,
		       const struct pool_want *want)
{
	uint8_t at = pool_lane_of(want);

	if (pool->lane[at].n)
		flow_charge(pool, flow_get(pool, ws, at), want);
}

/* The queued or refused request of an entry, or NULL. */
struct pool_request *pool_queue_find(const struct dl_pool *pool, uint64_t entry,
				     uint64_t request)
{
	uint64_t hash = pool_request_hash(entry, request);
	struct pool_map_node *node = pool_map_first(&pool->request_by_id, hash);

	for (; node; node = pool_map_next(node)) {
		struct pool_request *req = POOL_CONTAINER_OF(
			node, struct pool_request, by_request);

		if (req->entry == entry && req->request == request)
			return req;
	}
	return NULL;
}

/* Whether anything queued goes before a request that has just come. */
bool pool_queue_ahead(const struct dl_pool *pool, const struct pool_want *want)
{
	uint8_t own = pool_lane_of(want);

	if (pool->queued == 0)
		return false;
	for (uint8_t i = 0; i <= own; i++)
		if (pool->lane[i].n)
			return true;
	return false;
}

/*
 * Whether the queue's bounds allow this many more, once as much is freed.
 * Bounded in entries for this VM's memory and in tokens because a few season
 * files are more work than a thousand pings.
 */
bool pool_queue_has_room(const struct dl_pool *pool, uint32_t entries,
			 uint64_t tokens, uint64_t freed)
{
	return pool->queued + entries <= pool->conf.queue_entries_max &&
	       pool->queued_tokens + tokens <=
		       pool->conf.queue_tokens_max + freed;
}

/* Queue a request. */
struct pool_request *pool_queue_push(struct dl_pool *pool,
				     const struct dl_ask *ask,
				     const struct pool_want *want,
				     struct pool_workspace *ws, int64_t now)
{
	struct pool_request *req = calloc(1, sizeof(*req));
	uint8_t at = pool_lane_of(want);
	struct pool_flow *flow = flow_get(pool, ws, at);
	struct pool_lane *lane = &pool->lane[at];

	if (!req)
		abort();
	req->want = *want;
	req->workspace = ws;
	req->flow = flow;
	req->request = ask->request;
	req->entry = ask->entry;
	req->since = now;
	req->by_deadline.key = want->deadline;
	req->by_deadline.order = pool->counter++;
	req->by_deadline.weight = want->prompt;
	req->by_deadline.rank = (uint32_t)pool_random(pool);
	pool_tree_insert(&flow->root, &req->by_deadline);
	pool_map_add(&pool->request_by_id, &req->by_request,
		     pool_request_hash(ask->entry, ask->request));
	pool_heap_set(&pool->request_last_start, &req->last_start,
		      want->deadline - pool_service_ms(pool, want));
	if (flow->n++ == 0)
		lane->weights += pool_workspace_weight(pool, ws);
	flow_update(pool, flow);
	lane->n++;
	lane->tokens += want->prompt;
	ws->queued++;
	if (pool->queued++ == 0)
		pool->waited_since = now;
	pool->queued_tokens += want->prompt;
	return req;
}

static void unlink_request(struct dl_pool *pool, struct pool_request *req)
{
	struct pool_flow *flow = req->flow;
	struct pool_lane *lane = &pool->lane[flow->lane];
	struct pool_hold *hold = pool_hold_of(pool, &req->want);

	if (hold)
		pool_hold_end(pool, hold);
	pool_tree_remove(&flow->root, &req->by_deadline);
	pool_heap_remove(&pool->request_last_start, &req->last_start);
	if (--flow->n == 0)
		lane->weights -= pool_workspace_weight(pool, flow->workspace);
	flow_update(pool, flow);
	lane->tokens -= req->want.prompt;
	if (--lane->n == 0)
		lane->epoch++;
	req->workspace->queued--;
	pool->queued--;
	pool->queued_tokens -= req->want.prompt;
	req->flow = NULL;
}

/* Take a request out to be granted: its workspace's turn is used. */
void pool_queue_take(struct dl_pool *pool, struct pool_request *req)
{
	struct pool_flow *flow = req->flow;
	struct pool_lane *lane = &pool->lane[flow->lane];
	int64_t start = flow_start(pool, lane, flow);

	flow_charge(pool, flow, &req->want);
	if (lane->virtual_now < start)
		lane->virtual_now = start;
	unlink_request(pool, req);
	pool_map_remove(&pool->request_by_id, &req->by_request);
}

/* Forget a request, queued or refused, without an answer. */
void pool_queue_drop(struct dl_pool *pool, struct pool_request *req)
{
	struct pool_request **link = &pool->refused;

	if (req->flow) {
		unlink_request(pool, req);
	} else {
		while (*link != req)
			link = &(*link)->next_refused;
		*link = req->next_refused;
		if (!*link)
			pool->refused_tail = link;
	}
	pool_map_remove(&pool->request_by_id, &req->by_request);
	free(req);
}

/* Refuse a queued request: the next call of dl_pool_next says so. */
void pool_queue_refuse(struct dl_pool *pool, struct pool_request *req,
		       enum dl_reason reason, uint32_t retry_after_ms)
{
	unlink_request(pool, req);
	req->reason = reason;
	req->retry_after_ms = retry_after_ms;
	req->next_refused = NULL;
	*pool->refused_tail = req;
	pool->refused_tail = &req->next_refused;
}

/* The refusal to be told next; the caller frees it. */
struct pool_request *pool_queue_refused(struct dl_pool *pool)
{
	struct pool_request *req = pool->refused;

	if (!req)
		return NULL;
	pool->refused = req->next_refused;
	if (!pool->refused)
		pool->refused_tail = &pool->refused;
	pool_map_remove(&pool->request_by_id, &req->by_request);
	return req;
}

static struct pool_request *flow_first(const struct pool_flow *flow)
{
	return POOL_CONTAINER_OF(pool_tree_first(flow->root),
				 struct pool_request, by_deadline);
}

static struct pool_request *flow_last(const struct pool_flow *flow)
{
	return POOL_CONTAINER_OF(pool_tree_last(flow->root),
				 struct pool_request, by_deadline);
}

/*
 * The first request of the lane's nth flow, 0 being the one whose turn it is;
 * those after are near the front, in no strict order.
 */
struct pool_request *pool_queue_head(const struct dl_pool *pool, uint8_t lane,
				     uint32_t nth)
{
	const struct pool_heap *heap = &pool->lane[lane].by_start;

	if (nth >= heap->n)
		return NULL;
	return flow_first(
		POOL_CONTAINER_OF(heap->at[nth + 1], struct pool_flow, start));
}

/* The request behind another one of its flow, or NULL. */
struct pool_request *pool_queue_next(const struct pool_request *req)
{
	struct pool_tree_node *next =
		pool_tree_next(req->flow->root, &req->by_deadline);

	return next ? POOL_CONTAINER_OF(next, struct pool_request,
					by_deadline) :
		      NULL;
}

/* Add the weights of all lanes up anew, after the default one changed. */
void pool_queue_sum_weights(struct dl_pool *pool)
{
	for (int i = 0; i < POOL_LANES; i++) {
		struct pool_lane *lane = &pool->lane[i];

		lane->weights = 0;
		for (uint32_t k = 1; k <= lane->by_start.n; k++)
			lane->weights += pool_workspace_weight(
				pool, POOL_CONTAINER_OF(lane->by_start.at[k],
							struct pool_flow, start)
					      ->workspace);
	}
}

/* Let the other flows of its lane go before a request that cannot start. */
void pool_queue_yield(struct dl_pool *pool, struct pool_request *req)
{
	flow_charge(pool, req->flow, &req->want);
}

/*
 * Which request makes room in a full queue, or NULL for the one that has just
 * come.  For the moment at which more has come than can be done: somebody
 * must go, and it is the one that can least make it, measured by how much of
 * the time it has left it is expected to need (strain).  A request with half a
 * second left and nothing before it stays; the hundredth of a flood goes
 * though its deadline is minutes away.  A lower class goes before a higher.
 *
 * Looked at are the last request of the workspace with the most work queued
 * over its weight, in each lane, and the one whose last start is nearest:
 * looking at all would cost most just when there is the least time.
 */
struct pool_request *pool_queue_victim(struct dl_pool *pool,
				       const struct pool_want *want,
				       double strain, int64_t now)
{
	for (int c = DL_CLASS_COUNT - 1; c >= want->class; c--) {
		struct pool_request *worst = NULL;
		double most = c == want->class ? strain : 0;

		for (int band = 0; band < POOL_BANDS; band++) {
			struct pool_lane *lane =
				&pool->lane[c * POOL_BANDS + band];
			struct pool_request *req;
			double s;

			if (lane->n == 0)
				continue;
			req = flow_last(POOL_CONTAINER_OF(
				pool_heap_top(&lane->by_backlog),
				struct pool_flow, backlog));
			s = pool_deadline_ratio(pool, &req->want, req,
						req->workspace, now);
			if (s > most) {
				most = s;
				worst = req;
			}
		}
		if (worst)
			return worst;
	}
	return NULL;
}
