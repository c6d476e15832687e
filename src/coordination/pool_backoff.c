/*
 * Endpoints that told a VM to back off: requests from that VM are not placed
 * there until the time given by the endpoint is over.
 *
 * An endpoint that rejects requests, of all VMs or of one, holds nothing and so
 * looks like the best choice.  It would get the next request of the same VM as
 * well, which costs that request a second attempt and the endpoint the time to
 * recover.  Other VMs are not held back: the endpoint decides for each of them
 * separately.
 */
#include "pool_int.h"

/* Key of an incarnation of an endpoint and the VM that it told to back off. */
static uint64_t backoff_key(const struct pool_endpoint *e, uint64_t vm)
{
	return pool_mix(
		pool_mix(e->by_name.hash ^ pool_mix(e->last.incarnation)) ^ vm);
}

/* How much longer a request's VM backs off from an endpoint, ms. */
static uint32_t remaining_ms(const struct dl_pool *pool,
			     const struct pool_want *want,
			     const struct pool_endpoint *e, int64_t now)
{
	return dl_backoff_remaining_ms(pool->backoff,
				       backoff_key(e, want->entry), now);
}

/* Whether a request's VM currently backs off from an endpoint. */
bool pool_backoff_active(const struct dl_pool *pool,
			 const struct pool_want *want,
			 const struct pool_endpoint *e, int64_t now)
{
	return dl_backoff_any_active(pool->backoff, now) &&
	       remaining_ms(pool, want, e, now) > 0;
}

/* An endpoint of a grant told the grant's VM to back off. */
void pool_backoff_note(struct dl_pool *pool, const struct pool_grant *g,
		       const struct dl_name *id, uint32_t ms, int64_t now)
{
	for (uint8_t i = 0; i < g->parts_n; i++) {
		const struct pool_endpoint *e = g->parts[i].endpoint;

		if (!e || !dl_name_eq(&e->last.id, dl_name_str(id)))
			continue;
		dl_backoff_set(pool->backoff, backoff_key(e, g->entry),
			       now + ms, now);
		pool->recheck_all = true;
	}
}

/*
 * Time until the first endpoint accepts a request from a VM that backs off from
 * all of them, ms; 0 if one accepts it already, or none will.
 */
uint32_t pool_backoff_wait_ms(const struct dl_pool *pool,
			      const struct pool_want *want, int64_t now)
{
	uint32_t first = 0;

	if (!dl_backoff_any_active(pool->backoff, now))
		return 0;
	for (uint32_t i = 0; i < pool->endpoints_n; i++) {
		const struct pool_endpoint *e = pool->endpoints[i];
		uint32_t left;

		if (!e->counted_open || pool_place_failed_before(want, e))
			continue;
		left = remaining_ms(pool, want, e, now);
		if (!left)
			return 0;
		if (!first || left < first)
			first = left;
	}
	return first;
}
