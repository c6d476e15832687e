/* The invariants of a pool, asserted after every event of randomised runs. */
#include "pool_int.h"

static const char *endpoint_broken(const struct pool_endpoint *e);
static bool is_held_long(const struct pool_endpoint *e);
static const char *endpoints_broken(const struct dl_pool *pool);
static const char *index_broken(const struct dl_pool *pool);
static const char *lane_broken(const struct pool_lane *lane, uint8_t at,
			       const struct dl_pool *pool);
static const char *queue_broken(const struct dl_pool *pool);
static const char *grants_broken(const struct dl_pool *pool);
static const char *workspaces_broken(const struct dl_pool *pool);
static const char *hold_broken(const struct dl_pool *pool);

static const char *endpoint_broken(const struct pool_endpoint *e)
{
	uint64_t held = 0;
	uint32_t grants = 0, longs = 0;

	for (const struct pool_part *p = e->parts; p; p = p->next) {
		if (p->endpoint != e)
			return "a part names another endpoint than its list";
		held += p->share;
		grants++;
		longs += p->grant->want.band >= POOL_LONG;
	}
	if (held != e->held)
		return "memory held is not that of the live grants";
	if (grants != e->grants || longs != e->long_grants)
		return "grants counted on an endpoint are not those it has";
	if (!e->hold != !e->reserved)
		return "memory gathered for nobody";
	for (int i = 1; i < POOL_LEVELS; i++)
		if (e->until[i] < e->until[i - 1])
			return "a lower level's work ends before a higher's";
	return NULL;
}

static bool is_held_long(const struct pool_endpoint *e)
{
	return e->hold && e->hold->request->want.band >= POOL_LONG;
}

static const char *endpoints_broken(const struct dl_pool *pool)
{
	uint32_t open = 0, longs = 0, out = 0;
	uint64_t memory = 0;

	for (uint32_t i = 0; i < pool->endpoints_n; i++) {
		const struct pool_endpoint *e = pool->endpoints[i];
		const char *broken = endpoint_broken(e);

		if (broken)
			return broken;
		if (e->slot != i)
			return "an endpoint is not where it says";
		if (e->counted_open != pool_endpoint_open(pool, e))
			return "an endpoint is counted as what it is not";
		open += e->counted_open;
		longs += e->counted_open &&
			 (e->long_grants > 0 || is_held_long(e));
		out += e->shift == POOL_OUT;
		if (e->counted_open && e->last.memory_tokens > memory)
			memory = e->last.memory_tokens;
	}
	if (open != pool->open || longs != pool->long_endpoints)
		return "open endpoints are miscounted";
	if (out != pool->out)
		return "endpoints put out are miscounted";
	if (memory != pool->memory_max)
		return "the largest memory is not the largest";
	if (pool->endpoint_by_name.n != pool->endpoints_n)
		return "an endpoint has no name";
	return NULL;
}

static const char *index_broken(const struct dl_pool *pool)
{
	const struct pool_index *index = &pool->index;

	for (uint32_t i = 0; i < pool->endpoints_n; i++) {
		const struct pool_endpoint *e = pool->endpoints[i];
		const struct pool_index_node *leaf =
			&index->at[index->room + i];

		if (leaf->ready[0] == INT64_MAX)
			continue;
		if (!pool_endpoint_open(pool, e))
			return "a closed endpoint is in the index";
		if (leaf->free != pool_place_free_memory(e) ||
		    leaf->ready[0] != e->until[0])
			return "the index lags its endpoint";
	}
	return NULL;
}

static const char *lane_broken(const struct pool_lane *lane, uint8_t at,
			       const struct dl_pool *pool)
{
	uint64_t tokens = 0, weights = 0;
	uint32_t n = 0;

	for (uint32_t i = 1; i <= lane->by_start.n; i++) {
		const struct pool_flow *flow =
			POOL_OF(lane->by_start.at[i], struct pool_flow, start);

		if (flow->lane != at || flow->n == 0 || !flow->root)
			return "an empty flow waits";
		if (i > 1 &&
		    lane->by_start.at[i / 2]->key > lane->by_start.at[i]->key)
			return "turns are out of order";
		n += flow->n;
		tokens += flow->root->sum;
		weights += pool_workspace_weight(pool, flow->workspace);
	}
	if (n != lane->n || tokens != lane->tokens)
		return "a lane's sums are not those of its flows";
	if (weights != lane->weights)
		return "a lane's weights are not those of its flows";
	if (lane->by_backlog.n != lane->by_start.n)
		return "a flow is in one heap only";
	return NULL;
}

static const char *queue_broken(const struct dl_pool *pool)
{
	uint64_t tokens = 0;
	uint32_t n = 0, refused = 0;

	for (unsigned i = 0; i < POOL_LANES; i++) {
		const char *broken =
			lane_broken(&pool->lane[i], (uint8_t)i, pool);

		if (broken)
			return broken;
		n += pool->lane[i].n;
		tokens += pool->lane[i].tokens;
	}
	if (n != pool->queued || tokens != pool->queued_tokens)
		return "the queue's sums are not those of its lanes";
	if (n > pool->entries_allowed || tokens > pool->tokens_allowed)
		return "the queue is past its bounds";
	if (n != pool->request_last_start.n)
		return "a queued request has no last start";
	for (const struct pool_request *r = pool->refused; r;
	     r = r->next_refused)
		refused++;
	if (n + refused != pool->request_by_id.n)
		return "a request is neither queued nor refused";
	return NULL;
}

static const char *grants_broken(const struct dl_pool *pool)
{
	uint32_t parts = 0, listed = 0;

	if (pool->grant_lease.n != pool->grant_by_id.n ||
	    pool->grant_lease.n != pool->grant_by_request.n)
		return "a grant has no lease";
	for (uint32_t i = 1; i <= pool->grant_lease.n; i++) {
		const struct pool_grant *g = POOL_OF(pool->grant_lease.at[i],
						     struct pool_grant, lease);

		for (uint8_t k = 0; k < g->parts_n; k++)
			parts += g->parts[k].endpoint != NULL;
	}
	for (uint32_t i = 0; i < pool->endpoints_n; i++)
		listed += pool->endpoints[i]->grants;
	return parts == listed ? NULL : "a part of a grant is on no list";
}

static const char *workspaces_broken(const struct dl_pool *pool)
{
	const struct pool_map *map = &pool->workspaces;
	uint32_t running = 0, queued = 0;

	for (uint32_t i = 0; i <= map->mask; i++) {
		for (const struct pool_map_node *node = map->bucket[i]; node;
		     node = node->next) {
			const struct pool_workspace *ws =
				POOL_OF(node, struct pool_workspace, by_name);

			running += ws->running;
			queued += ws->queued;
		}
	}
	if (running != pool->grant_by_id.n || queued != pool->queued)
		return "workspaces are charged for what is not there";
	return NULL;
}

static const char *hold_broken(const struct dl_pool *pool)
{
	uint32_t held = 0, wanted = 0;

	for (uint32_t i = 0; i < pool->endpoints_n; i++)
		held += pool->endpoints[i]->hold != NULL;
	for (int i = 0; i < POOL_HOLDS; i++) {
		const struct pool_hold *hold = &pool->hold[i];

		wanted += hold->n;
		if (!hold->request != !hold->n)
			return "a hold without a request";
		if (hold->request && !hold->request->flow)
			return "a hold for a request that does not wait";
		for (uint8_t k = 0; k < hold->n; k++)
			if (hold->endpoint[k]->hold != hold)
				return "two holds share an endpoint";
	}
	return held == wanted ? NULL : "an endpoint is held for nobody";
}

/* NULL, or which invariant is broken. */
const char *dl_pool_broken(const struct dl_pool *pool)
{
	const char *broken = endpoints_broken(pool);

	if (!broken)
		broken = index_broken(pool);
	if (!broken)
		broken = queue_broken(pool);
	if (!broken)
		broken = grants_broken(pool);
	if (!broken)
		broken = workspaces_broken(pool);
	if (!broken)
		broken = hold_broken(pool);
	return broken;
}
