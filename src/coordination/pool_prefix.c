/*
 * Where the start of a prompt was last read, and how much of it may still be
 * in that engine's cache.  Cache events come late and with gaps, so this is an
 * estimate that fades; nothing is promised on it.
 */
#include "pool_int.h"

/*
 * After this long without use nothing is expected of a cache: memory for
 * prefixes is limited and goes to whoever comes next.
 */
#define PREFIX_DECAY_MS 120000

static struct pool_prefix *prefix_slot(const struct dl_pool *pool,
				       uint64_t prefix);

static struct pool_prefix *prefix_slot(const struct dl_pool *pool,
				       uint64_t prefix)
{
	return &pool->prefixes[pool_mix(prefix) % POOL_PREFIXES];
}

/* Tokens of a prompt that an endpoint is expected not to read again. */
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

/* The endpoint that last read this start of a prompt, or NULL. */
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
	return node ? POOL_OF(node, struct pool_endpoint, by_name) : NULL;
}

/* An endpoint reads, or says that it holds, this start of a prompt. */
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

/* An endpoint says, or showed by its time, that it does not hold it. */
void pool_prefix_forget(struct dl_pool *pool, uint64_t prefix,
			const struct pool_endpoint *e)
{
	struct pool_prefix *p = prefix_slot(pool, prefix);

	if (p->prefix == prefix && p->endpoint == e->by_name.hash)
		*p = (struct pool_prefix){ 0 };
}
