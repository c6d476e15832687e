/*
 * Endpoints that have asked a VM to wait: what that VM asks for is not placed
 * there until the time that they named is over.
 *
 * Load: an endpoint that turns requests away, of all VMs or of one.  Harm: it
 * holds nothing, so it looks like the best place there is and gets the next
 * request of the same VM as well, which costs that one a second try and the
 * endpoint the time to recover.  Other VMs are not held back: it answers each
 * of them for itself.
 */
#include "pool_int.h"

/* A start of an endpoint and the VM that it asked. */
static uint64_t key_of(const struct pool_endpoint *e, uint64_t vm)
{
	return pool_mix(
		pool_mix(e->by_name.hash ^ pool_mix(e->last.incarnation)) ^ vm);
}

/* How much longer a request's VM backs off from an endpoint, ms. */
static uint32_t left_ms(const struct dl_pool *pool,
			const struct pool_want *want,
			const struct pool_endpoint *e, int64_t now)
{
	return dl_backoff_remaining_ms(pool->backoff, key_of(e, want->entry),
				       now);
}

/* Whether an endpoint has asked a request's VM to wait. */
bool pool_backoff_holds(const struct dl_pool *pool,
			const struct pool_want *want,
			const struct pool_endpoint *e, int64_t now)
{
	return dl_backoff_any_active(pool->backoff, now) &&
	       left_ms(pool, want, e, now) > 0;
}

/* The VM of a grant was asked to wait by one of its endpoints. */
void pool_backoff_note(struct dl_pool *pool, const struct pool_grant *g,
		       const struct dl_name *id, uint32_t ms, int64_t now)
{
	for (uint8_t i = 0; i < g->parts_n; i++) {
		const struct pool_endpoint *e = g->parts[i].endpoint;

		if (!e || !dl_name_eq(&e->last.id, dl_name_str(id)))
			continue;
		dl_backoff_set(pool->backoff, key_of(e, g->entry), now + ms,
			       now);
		pool->recheck_all = true;
	}
}

/*
 * How long until the first endpoint takes a request whose VM all have asked to
 * wait, ms; 0 where one takes it already, or none will.
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

		if (!e->counted_open || pool_place_tried(want, e))
			continue;
		left = left_ms(pool, want, e, now);
		if (!left)
			return 0;
		if (!first || left < first)
			first = left;
	}
	return first;
}
