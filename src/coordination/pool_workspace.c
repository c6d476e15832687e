/* Workspaces: weights, and limits on the requests of each one. */
#include "pool_int.h"

#include <stdlib.h>

/*
 * Workspace names come from callers.  Beyond this number, idle workspaces
 * without configuration are removed, so that made-up names cannot exhaust the
 * memory of a VM. The target deployment has 32,000.
 */
#define WORKSPACES_MAX 40000

#define CREDIT_ONE	 1000 /* credit of one request */
#define MS_PER_S	 1000
#define RETRY_DEFAULT_MS 100 /* ms, until a duration was measured */

static bool is_idle(const struct pool_workspace *ws);
static void forget_idle(struct dl_pool *pool);
static void refill(struct pool_workspace *ws, int64_t now);

/* The effective weight. */
uint32_t pool_workspace_weight(const struct dl_pool *pool,
			       const struct pool_workspace *ws)
{
	if (ws->weight)
		return ws->weight;
	return pool->conf.weight_default ? pool->conf.weight_default : 1;
}

/* Free a workspace without references. */
void pool_workspace_free(struct pool_workspace *ws)
{
	while (ws->flows) {
		struct pool_flow *flow = ws->flows;

		ws->flows = flow->next;
		free(flow);
	}
	free(ws);
}

static bool is_idle(const struct pool_workspace *ws)
{
	return !ws->configured && ws->running == 0 && ws->queued == 0;
}

static void forget_idle(struct dl_pool *pool)
{
	struct pool_map *map = &pool->workspaces;

	for (uint32_t i = 0; i <= map->mask; i++) {
		struct pool_map_node **link = &map->bucket[i];

		while (*link) {
			struct pool_workspace *ws = POOL_CONTAINER_OF(
				*link, struct pool_workspace, by_name);

			if (!is_idle(ws)) {
				link = &(*link)->next;
				continue;
			}
			*link = ws->by_name.next;
			map->n--;
			pool_workspace_free(ws);
		}
	}
	pool->workspaces_max = WORKSPACES_MAX;
	if (map->n > WORKSPACES_MAX / 2)
		pool->workspaces_max = map->n * 2;
}

/* Find a workspace by name, or create it. */
struct pool_workspace *pool_workspace_get(struct dl_pool *pool,
					  struct dl_str name)
{
	uint64_t hash = dl_hash(name, pool->seed);
	struct pool_map_node *node = pool_map_first(&pool->workspaces, hash);
	struct pool_workspace *ws;

	for (; node; node = pool_map_next(node)) {
		ws = POOL_CONTAINER_OF(node, struct pool_workspace, by_name);
		if (dl_name_eq(&ws->name, name))
			return ws;
	}
	if (pool->workspaces_max == 0)
		pool->workspaces_max = WORKSPACES_MAX;
	if (pool->workspaces.n >= pool->workspaces_max)
		forget_idle(pool);
	ws = calloc(1, sizeof(*ws));
	if (!ws)
		abort();
	if (!dl_name_set(&ws->name, name))
		dl_name_set(&ws->name, (struct dl_str){ name.s, DL_NAME_MAX });
	pool_map_add(&pool->workspaces, &ws->by_name, hash);
	return ws;
}

static void refill(struct pool_workspace *ws, int64_t now)
{
	uint64_t full = (uint64_t)ws->requests_per_s * CREDIT_ONE;
	uint64_t credit = ws->rate_credit;
	int64_t passed = now - ws->rate_at;

	if (passed <= 0)
		return;
	ws->rate_at = now;
	if (passed >= MS_PER_S) {
		ws->rate_credit = (uint32_t)full;
		return;
	}
	credit += (uint64_t)passed * ws->requests_per_s;
	ws->rate_credit = (uint32_t)(credit < full ? credit : full);
}

/*
 * Apply the limits of a workspace, which protect against a runaway script with
 * valid credentials: operators cap its requests per second and its concurrent
 * requests, whatever capacity is free.  A burst of one second's worth is
 * allowed.  The retry delay is the time until the bucket has a whole request,
 * or until about the next of its own requests ends.
 */
enum dl_reason pool_workspace_check_limits(struct dl_pool *pool,
					   struct pool_workspace *ws,
					   int64_t now,
					   uint32_t *retry_after_ms)
{
	uint32_t under_way = ws->running + ws->queued;

	(void)pool;
	if (ws->concurrency_max && under_way >= ws->concurrency_max) {
		*retry_after_ms = RETRY_DEFAULT_MS;
		if (ws->mean_ms > 0)
			*retry_after_ms =
				1 + (uint32_t)(ws->mean_ms / under_way);
		return DL_REASON_CONCURRENCY;
	}
	if (!ws->requests_per_s)
		return DL_REASON_NONE;
	refill(ws, now);
	if (ws->rate_credit < CREDIT_ONE) {
		*retry_after_ms =
			1 + (CREDIT_ONE - ws->rate_credit) / ws->requests_per_s;
		return DL_REASON_RATE;
	}
	ws->rate_credit -= CREDIT_ONE;
	return DL_REASON_NONE;
}
