/*
 * Endpoints that are leaving, while no other endpoint of the pool is open.
 *
 * The load: endpoints leave while a failure domain is evacuated, until none is
 * left outside it. Every call of the service was then refused (269 of 521 in
 * one such period), although an endpoint that is leaving still serves for the
 * time that the deployment promised it. Such endpoints are open until
 * dl_leaving_grant_end(), and only while no endpoint that stays is open.
 * Whether an endpoint is open is stored here, so that all decisions of one
 * event see the same: queue, groups, holds and placement ask
 * pool_endpoint_open().
 */
#include "pool_int.h"

static bool may_serve(const struct dl_pool *pool, const struct pool_endpoint *e,
		      int64_t now);
static bool any_staying_open(const struct dl_pool *pool);

/* Whether an endpoint accepts requests, apart from whether it is leaving. */
static bool is_usable(const struct pool_endpoint *e)
{
	return e->state == POOL_EP_LIVE && !e->drained && !e->evacuated &&
	       !e->unreachable && e->ejection != POOL_EJECTED;
}

/* Whether an endpoint accepts new requests. */
bool pool_endpoint_open(const struct dl_pool *pool,
			const struct pool_endpoint *e)
{
	(void)pool;
	return is_usable(e) && (!e->last.leaving || e->serves_leaving);
}

/* Records what a report says of the endpoint's departure. */
void pool_leaving_report(struct dl_pool *pool, struct pool_endpoint *e,
			 const struct dl_endpoint_report *r, bool first,
			 int64_t now)
{
	if (first || !r->leaving) {
		e->departure = (struct dl_leaving){ 0 };
		e->serves_leaving = false;
	}
	if (!r->leaving)
		return;
	dl_leaving_note(&e->departure, dl_leaving_since(r->leaving_ms, now),
			now);
	pool->leaving_at = now;
}

/*
 * Until when a report is good: an endpoint that has deregistered sends no more,
 * and serves on for the promised time. One that has ended instead is found by
 * the first request that cannot reach it.
 */
int64_t pool_leaving_expiry(const struct dl_pool *pool,
			    const struct pool_endpoint *e, int64_t expiry)
{
	int64_t end = dl_leaving_grant_end(&e->departure,
					   pool->conf.endpoint_drain_ms);

	return e->last.leaving && end > expiry ? end : expiry;
}

static bool any_staying_open(const struct dl_pool *pool)
{
	for (uint32_t i = 0; i < pool->endpoints_n; i++) {
		const struct pool_endpoint *e = pool->endpoints[i];

		if (is_usable(e) && !e->last.leaving)
			return true;
	}
	return false;
}

static bool may_serve(const struct dl_pool *pool, const struct pool_endpoint *e,
		      int64_t now)
{
	return e->last.leaving &&
	       now < dl_leaving_grant_end(&e->departure,
					  pool->conf.endpoint_drain_ms);
}

/* Opens or closes an endpoint that is leaving. */
static void set_serving(struct dl_pool *pool, struct pool_endpoint *e,
			bool serves, int64_t now)
{
	e->serves_leaving = serves;
	if (!serves)
		pool_hold_lost(pool, e);
	pool_place_refresh(pool, e, now);
	pool->recheck_all = true;
}

/*
 * Updates which leaving endpoints are open. Called before each decision; does
 * nothing unless an endpoint opened, closed or reported that it leaves, or the
 * time of one is over.
 */
void pool_leaving_update(struct dl_pool *pool, int64_t now)
{
	int64_t next = INT64_MAX;
	bool staying;

	if (now < pool->leaving_at)
		return;
	staying = pool->conf.endpoint_drain_ms == 0 || any_staying_open(pool);
	for (uint32_t i = 0; i < pool->endpoints_n; i++) {
		struct pool_endpoint *e = pool->endpoints[i];
		bool serves = !staying && may_serve(pool, e, now);
		int64_t end;

		if (serves != e->serves_leaving)
			set_serving(pool, e, serves, now);
		if (!serves)
			continue;
		end = dl_leaving_grant_end(&e->departure,
					   pool->conf.endpoint_drain_ms);
		if (end < next)
			next = end;
	}
	pool->leaving_at = next;
}

/*
 * The age of the departure of the endpoint of a grant that left first; 0: none
 * is leaving.
 */
uint32_t dl_pool_leaving_age_ms(const struct dl_pool *pool,
				const struct dl_answer *grant, int64_t now)
{
	uint32_t oldest = 0;

	for (uint8_t i = 0; i < grant->endpoints; i++) {
		const struct pool_endpoint *e = pool_endpoint_find(
			pool, dl_name_str(&grant->endpoint[i]));
		uint32_t age;

		if (!e || !e->last.leaving)
			continue;
		age = dl_leaving_age_ms(&e->departure, now);
		if (age > oldest)
			oldest = age;
	}
	return oldest;
}

/* Whether an endpoint in an evacuated domain would serve otherwise. */
bool pool_leaving_evacuated_serves(const struct dl_pool *pool)
{
	for (uint32_t i = 0; i < pool->endpoints_n; i++) {
		const struct pool_endpoint *e = pool->endpoints[i];

		if (e->state == POOL_EP_LIVE && e->evacuated && !e->drained &&
		    !e->unreachable && !e->last.leaving)
			return true;
	}
	return false;
}

/* Which endpoints are open, and if none is, why; see the header. */
enum dl_pool_service dl_pool_service_state(const struct dl_pool *pool)
{
	bool leaving = false, ejected = false;

	if (pool->open_endpoints)
		return any_staying_open(pool) ? DL_SERVICE_OPEN :
						DL_SERVICE_OPEN_LEAVING;
	if (pool_leaving_evacuated_serves(pool))
		return DL_SERVICE_EVACUATED;
	for (uint32_t i = 0; i < pool->endpoints_n; i++) {
		const struct pool_endpoint *e = pool->endpoints[i];

		if (e->state != POOL_EP_LIVE)
			continue;
		leaving |= e->last.leaving;
		ejected |= e->ejection == POOL_EJECTED;
	}
	if (ejected)
		return DL_SERVICE_EJECTED;
	return leaving ? DL_SERVICE_LEAVING : DL_SERVICE_GONE;
}

/* Whether an endpoint outside these domains stays; see the header. */
bool dl_pool_has_endpoint_outside(const struct dl_pool *pool,
				  const struct dl_evacuations *evacuations)
{
	for (uint32_t i = 0; i < pool->endpoints_n; i++) {
		const struct pool_endpoint *e = pool->endpoints[i];
		struct dl_str domain = dl_name_str(&e->last.failure_domain);

		if (e->state == POOL_EP_LIVE && !e->drained &&
		    !e->last.leaving &&
		    !dl_evacuations_contain(evacuations, domain))
			return true;
	}
	return false;
}
