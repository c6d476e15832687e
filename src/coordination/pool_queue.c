/*
 * The queue of a pool.
 *
 * It has a lane for each class and length band.  Within a lane, start-time fair
 * queueing shares the granted tokens between workspaces by weight, and each
 * workspace's requests are ordered by earliest deadline first.  Every operation
 * takes logarithmic time in the queue length, so that 32,000 workspaces cost
 * little more than ten.
 */
#include "pool_int.h"

#include <stdlib.h>

/* Units of virtual time per token, so that weights up to this value count. */
#define VIRTUAL_TICKS_PER_TOKEN 1024

/*
 * Credit of a workspace that used less than its share: how far it may be ahead
 * of the others when it becomes active again, in tokens at weight one.  Without
 * it, while one workspace floods the pool, each request of the others would
 * wait for one of every other workspace, the flooding one included.  It is a
 * few short prompts' worth, so that a burst after an idle period delays the
 * others only by milliseconds.
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

/* The lane index of a request. */
uint8_t pool_lane_of(const struct pool_want *want)
{
	return (uint8_t)(want->class * POOL_BANDS + want->band);
}

/* The flow of a workspace in a lane, or NULL. */
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
 * Virtual start time of a flow's next request: the end of its last one, but no
 * earlier than its credit allows.  Work granted before the lane last became
 * empty does not count, as nobody was waiting then.
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
 * Charge work that was granted without queueing, but only while others are
 * queued in its lane: work granted while nobody waits costs no share.
 */
void pool_queue_charge(struct dl_pool *pool, struct pool_workspace *ws,
		       const struct pool_want *want)
{
	uint8_t at = pool_lane_of(want);

	if (pool->lane[at].n)
		flow_charge(pool, flow_get(pool, ws, at), want);
}

/* Find the queued or refused request of an entry, or NULL. */
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

/* Whether any queued request goes before a new one. */
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
 * Whether this many more fit into the queue, once some tokens are freed.  The
 * bound on entries limits the memory of this VM; the one on tokens is needed
 * because a few large batch files are more work than a thousand pings.
 */
bool pool_queue_has_room(const struct dl_pool *pool, uint32_t entries,
			 uint64_t tokens, uint64_t freed)
{
	return pool->queued + entries <= pool->conf.queue_entries_max &&
	       pool->queued_tokens + tokens <=
		       pool->conf.queue_tokens_max + freed;
}

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
		      pool_last_start(pool, want));
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

/* Remove a request that is being granted and charge its workspace. */
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

/* Drop a queued or refused request without an answer. */
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

/* Refuse a queued request; dl_pool_next() will return the refusal. */
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

/* Take the next refused request; the caller frees it. */
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
 * The first request of the nth flow in a lane, 0 being the next one to serve;
 * the following ones are near the front, in no strict order.
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

/* The next request of the same flow, or NULL. */
struct pool_request *pool_queue_next(const struct pool_request *req)
{
	struct pool_tree_node *next =
		pool_tree_next(req->flow->root, &req->by_deadline);

	return next ? POOL_CONTAINER_OF(next, struct pool_request,
					by_deadline) :
		      NULL;
}

/* Recompute the weight sums of all lanes after the default weight changed. */
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

/* Let other flows of the lane go before a request that cannot start. */
void pool_queue_yield(struct dl_pool *pool, struct pool_request *req)
{
	flow_charge(pool, req->flow, &req->want);
}

/*
 * Choose the request to drop from a full queue, or NULL for the new one.
 *
 * When more work arrives than can be done, the request least likely to meet its
 * deadline is dropped, measured by expected time to completion over time left
 * (deadline_ratio).  A request with half a second left and nothing before it
 * stays; the hundredth of a flood is dropped though its deadline is minutes
 * away.  A lower class is dropped before a higher one.
 *
 * Only the last request of the workspace with the most queued work per weight
 * is considered in each lane: a full scan would cost most just when there is
 * the least time.
 */
struct pool_request *pool_queue_victim(struct dl_pool *pool,
				       const struct pool_want *want,
				       double deadline_ratio, int64_t now)
{
	for (int c = DL_CLASS_COUNT - 1; c >= want->class; c--) {
		struct pool_request *worst = NULL;
		double most = c == want->class ? deadline_ratio : 0;

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
