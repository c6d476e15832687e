/* Invariants of a pool, checked after every event of the randomized tests. */
#include "pool_int.h"

static const char *check_endpoint(const struct pool_endpoint *e);
static bool is_held_long(const struct pool_endpoint *e);
static const char *check_endpoints(const struct dl_pool *pool);
static const char *check_index(const struct dl_pool *pool);
static const char *check_lane(const struct pool_lane *lane, uint8_t at,
			      const struct dl_pool *pool);
static const char *check_queue(const struct dl_pool *pool);
static const char *check_grants(const struct dl_pool *pool);
static const char *check_workspaces(const struct dl_pool *pool);
static const char *check_holds(const struct dl_pool *pool);

static const char *check_endpoint(const struct pool_endpoint *e)
{
	uint64_t held = 0;
	uint32_t grants = 0, longs = 0;

	for (const struct pool_part *p = e->parts; p; p = p->next) {
		if (p->endpoint != e)
			return "a grant part is on the list of another endpoint";
		held += p->share;
		grants++;
		longs += p->grant->want.band >= POOL_LONG;
	}
	if (held != e->held)
		return "held memory differs from the sum of live grants";
	if (grants != e->grants || longs != e->long_grants)
		return "grant counts of an endpoint differ from its list";
	if (!e->hold != !e->reserved)
		return "reserved memory without a hold, or a hold without memory";
	for (int i = 1; i < POOL_LEVELS; i++)
		if (e->busy_until[i] < e->busy_until[i - 1])
			return "work of a lower level ends before that of a higher one";
	return NULL;
}

static bool is_held_long(const struct pool_endpoint *e)
{
	return e->hold && e->hold->request->want.band >= POOL_LONG;
}

static const char *check_endpoints(const struct dl_pool *pool)
{
	uint32_t open = 0, longs = 0, out = 0;
	uint64_t memory = 0;

	for (uint32_t i = 0; i < pool->endpoints_n; i++) {
		const struct pool_endpoint *e = pool->endpoints[i];
		const char *violation = check_endpoint(e);

		if (violation)
			return violation;
		if (e->index != i)
			return "an endpoint has a wrong index";
		if (e->counted_open != pool_endpoint_open(pool, e))
			return "an endpoint is counted as open wrongly";
		open += e->counted_open;
		longs += e->counted_open &&
			 (e->long_grants > 0 || is_held_long(e));
		out += e->ejection == POOL_EJECTED;
		if (e->counted_open && e->last.memory_tokens > memory)
			memory = e->last.memory_tokens;
	}
	if (open != pool->open_endpoints || longs != pool->long_endpoints)
		return "counts of open or long-running endpoints are wrong";
	if (out != pool->ejected)
		return "count of ejected endpoints is wrong";
	if (memory != pool->memory_max)
		return "the largest engine memory is wrong";
	if (pool->endpoint_by_name.n != pool->endpoints_n)
		return "an endpoint is missing in the name table";
	return NULL;
}

static const char *check_index(const struct dl_pool *pool)
{
	const struct pool_index *index = &pool->index;

	for (uint32_t i = 0; i < pool->endpoints_n; i++) {
		const struct pool_endpoint *e = pool->endpoints[i];
		const struct pool_index_node *leaf =
			&index->at[index->room + i];

		if (leaf->ready[0] == INT64_MAX)
			continue;
		if (!pool_endpoint_open(pool, e))
			return "a closed endpoint is in the placement index";
		if (leaf->free != pool_place_free_memory(e) ||
		    leaf->ready[0] != e->busy_until[0])
			return "the placement index is out of date";
	}
	return NULL;
}

static const char *check_lane(const struct pool_lane *lane, uint8_t at,
			      const struct dl_pool *pool)
{
	uint64_t tokens = 0, weights = 0;
	uint32_t n = 0;

	for (uint32_t i = 1; i <= lane->by_start.n; i++) {
		const struct pool_flow *flow = POOL_CONTAINER_OF(
			lane->by_start.at[i], struct pool_flow, start);

		if (flow->lane != at || flow->n == 0 || !flow->root)
			return "an empty flow is in the heap of a lane";
		if (i > 1 &&
		    lane->by_start.at[i / 2]->key > lane->by_start.at[i]->key)
			return "the flow heap of a lane is not ordered";
		n += flow->n;
		tokens += flow->root->sum;
		weights += pool_workspace_weight(pool, flow->workspace);
	}
	if (n != lane->n || tokens != lane->tokens)
		return "the sums of a lane differ from its flows";
	if (weights != lane->weights)
		return "the weight sum of a lane differs from its flows";
	if (lane->by_backlog.n != lane->by_start.n)
		return "the two flow heaps of a lane differ";
	return NULL;
}

static const char *check_queue(const struct dl_pool *pool)
{
	uint64_t tokens = 0;
	uint32_t n = 0, refused = 0;

	for (unsigned i = 0; i < POOL_LANES; i++) {
		const char *violation =
			check_lane(&pool->lane[i], (uint8_t)i, pool);

		if (violation)
			return violation;
		n += pool->lane[i].n;
		tokens += pool->lane[i].tokens;
	}
	if (n != pool->queued || tokens != pool->queued_tokens)
		return "the sums of the queue differ from its lanes";
	if (n > pool->entries_allowed || tokens > pool->tokens_allowed)
		return "the queue exceeds its bounds";
	if (n != pool->request_last_start.n)
		return "a queued request is missing in the start time heap";
	for (const struct pool_request *r = pool->refused; r;
	     r = r->next_refused)
		refused++;
	if (n + refused != pool->request_by_id.n)
		return "a request is neither queued nor refused";
	return NULL;
}

static const char *check_grants(const struct dl_pool *pool)
{
	uint32_t parts = 0, listed = 0;

	if (pool->grant_lease.n != pool->grant_by_id.n ||
	    pool->grant_lease.n != pool->grant_by_request.n)
		return "a grant is missing in the lease heap or an id table";
	for (uint32_t i = 1; i <= pool->grant_lease.n; i++) {
		const struct pool_grant *g = POOL_CONTAINER_OF(
			pool->grant_lease.at[i], struct pool_grant, lease);

		for (uint8_t k = 0; k < g->parts_n; k++)
			parts += g->parts[k].endpoint != NULL;
	}
	for (uint32_t i = 0; i < pool->endpoints_n; i++)
		listed += pool->endpoints[i]->grants;
	return parts == listed ? NULL : "a grant part is on no endpoint's list";
}

static const char *check_workspaces(const struct dl_pool *pool)
{
	const struct pool_map *map = &pool->workspaces;
	uint32_t running = 0, queued = 0;

	for (uint32_t i = 0; i <= map->mask; i++) {
		for (const struct pool_map_node *node = map->bucket[i]; node;
		     node = node->next) {
			const struct pool_workspace *ws = POOL_CONTAINER_OF(
				node, struct pool_workspace, by_name);

			running += ws->running;
			queued += ws->queued;
		}
	}
	if (running != pool->grant_by_id.n || queued != pool->queued)
		return "request counts of workspaces differ from the pool";
	return NULL;
}

static const char *check_holds(const struct dl_pool *pool)
{
	uint32_t held = 0, wanted = 0;

	for (uint32_t i = 0; i < pool->endpoints_n; i++)
		held += pool->endpoints[i]->hold != NULL;
	for (int i = 0; i < POOL_HOLDS; i++) {
		const struct pool_hold *hold = &pool->hold[i];

		wanted += hold->n;
		if (!hold->request != !hold->n)
			return "a hold has endpoints without a request, or none";
		if (hold->request && !hold->request->flow)
			return "a hold belongs to a request that is not queued";
		for (uint8_t k = 0; k < hold->n; k++)
			if (hold->endpoint[k]->hold != hold)
				return "an endpoint of a hold does not refer to it";
	}
	return held == wanted ? NULL : "an endpoint refers to an unused hold";
}

/* Return NULL, or a description of the violated invariant. */
const char *dl_pool_check_invariants(const struct dl_pool *pool)
{
	const char *violation = check_endpoints(pool);

	if (!violation)
		violation = check_index(pool);
	if (!violation)
		violation = check_queue(pool);
	if (!violation)
		violation = check_grants(pool);
	if (!violation)
		violation = check_workspaces(pool);
	if (!violation)
		violation = check_holds(pool);
	return violation;
}
