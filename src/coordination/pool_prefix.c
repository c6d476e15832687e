/*
 * Tracks which endpoint last prefilled a prompt prefix, and estimates how much
 * of it is still in that engine's cache.  Cache events arrive late and with
 * gaps, so the estimate decays with time and no guarantee depends on it.
 */
#include "pool_int.h"

/*
 * A prefix unused for this long is expected to be evicted: cache memory is
 * limited and goes to later requests.
 */
#define PREFIX_DECAY_MS 120000

static struct pool_prefix *prefix_slot(const struct dl_pool *pool,
				       uint64_t prefix);

static struct pool_prefix *prefix_slot(const struct dl_pool *pool,
				       uint64_t prefix)
{
	return &pool->prefixes[pool_mix(prefix) % POOL_PREFIXES];
}

/* Estimates the prompt tokens that an endpoint has in its cache. */
uint32_t pool_prefix_cached_tokens(const struct dl_pool *pool,
				   const struct pool_want *want,
				   const struct pool_endpoint *e, int64_t now)
{
	const struct pool_prefix *p;
	uint64_t tokens;
	int64_t left;

	if (want->prefix == 0)
		return 0;
	p = prefix_slot(pool, want->prefix);
	left = p->at + PREFIX_DECAY_MS - now;
	if (p->prefix != want->prefix || p->endpoint != e->by_name.hash ||
	    left <= 0)
		return 0;
	tokens = p->tokens < want->prefix_tokens ? p->tokens :
						   want->prefix_tokens;
	if (tokens >= want->prompt)
		tokens = want->prompt - 1;
	if (left > PREFIX_DECAY_MS)
		left = PREFIX_DECAY_MS;
	return (uint32_t)(tokens * (uint64_t)left / PREFIX_DECAY_MS);
}

/* Returns the endpoint that last prefilled this prompt prefix, or NULL. */
struct pool_endpoint *pool_prefix_endpoint(const struct dl_pool *pool,
					   const struct pool_want *want)
{
	const struct pool_prefix *p;
	struct pool_map_node *node;

	if (want->prefix == 0)
		return NULL;
	p = prefix_slot(pool, want->prefix);
	if (p->prefix != want->prefix)
		return NULL;
	node = pool_map_first(&pool->endpoint_by_name, p->endpoint);
	return node ? POOL_CONTAINER_OF(node, struct pool_endpoint, by_name) :
		      NULL;
}

/* Records that an endpoint prefills a prompt prefix or reports it as cached. */
void pool_prefix_note(struct dl_pool *pool, uint64_t prefix, uint32_t tokens,
		      const struct pool_endpoint *e, int64_t now)
{
	struct pool_prefix *p;

	if (prefix == 0)
		return;
	p = prefix_slot(pool, prefix);
	*p = (struct pool_prefix){ .prefix = prefix,
				   .endpoint = e->by_name.hash,
				   .at = now,
				   .tokens = tokens };
}

/*
 * Removes a prefix that an endpoint reports as evicted, or whose prefill time
 * shows that it was not cached.
 */
void pool_prefix_forget(struct dl_pool *pool, uint64_t prefix,
			const struct pool_endpoint *e)
{
	struct pool_prefix *p = prefix_slot(pool, prefix);

	if (p->prefix == prefix && p->endpoint == e->by_name.hash)
		*p = (struct pool_prefix){ 0 };
}
