/*
 * Rate limits of endpoints, on requests from all VMs together: those that they
 * set for themselves, and the one that the configuration sets for cold ones,
 * which would crash under more.
 *
 * An overloaded endpoint that still accepts everything looks no worse than the
 * others and would be chosen as often.  The pool's only dispatcher sees all
 * requests that go there and grants them at the given rate, without bursts, as
 * several requests may be in flight at once.
 */
#include "pool_int.h"

#include <math.h>

/*
 * Only answers show whether a limit still applies, so an endpoint with a limit
 * lower than this still gets one request in five seconds.
 */
#define LIMIT_MIN_PER_1000S 200
#define MS_PER_1000S	    1000000.0
#define MS_PER_S	    1000.0
/*
 * An answer without a limit lifts it only if no other has set one for this
 * long: a slow VM reads older answers than the others do.
 */
#define LIMIT_LIFT_DELAY_MS 500

/*
 * Share of the limit of a cold endpoint that one dispatcher uses. Two VMs may
 * both dispatch for a moment, and a stand-in adds half of this share.
 */
#define COLD_SHARE 0.5

static bool is_cold(const struct dl_pool *pool, const struct pool_endpoint *e,
		    int64_t now)
{
	return now < e->cold_until && pool->conf.cold_requests_per_s;
}

/* Whether an endpoint has a limit now. */
bool pool_throttle_is_limited(const struct dl_pool *pool,
			      const struct pool_endpoint *e, int64_t now)
{
	return e->limit != DL_UNLIMITED || is_cold(pool, e, now);
}

static double rate_per_ms(const struct dl_pool *pool,
			  const struct pool_endpoint *e, int64_t now)
{
	uint32_t limit = e->limit > LIMIT_MIN_PER_1000S ? e->limit :
							  LIMIT_MIN_PER_1000S;
	double rate = limit / MS_PER_1000S;
	double cold = pool->conf.cold_requests_per_s * COLD_SHARE / MS_PER_S;

	return is_cold(pool, e, now) ? fmin(rate, cold) : rate;
}

/* Requests that may go to a limited endpoint now, at most one. */
static double available_credit(const struct dl_pool *pool,
			       const struct pool_endpoint *e, int64_t now)
{
	double gained =
		(double)(now - e->limit_credit_at) * rate_per_ms(pool, e, now);

	return fmin(e->limit_credit + fmax(gained, 0), 1);
}

/* Whether the limit of an endpoint allows another request. */
bool pool_throttle_allows(const struct dl_pool *pool,
			  const struct pool_endpoint *e,
			  const struct pool_want *want, int64_t now)
{
	if (!pool_throttle_is_limited(pool, e, now))
		return true;
	/* What other VMs send there on their own is not known here. */
	if (want->self_placed)
		return false;
	return available_credit(pool, e, now) >= 1;
}

/*
 * Charge a request, or a part of one, to the limit of its endpoint.  A standby
 * uses half of the rate, since the dispatcher that others may still reach uses
 * all of it.
 */
void pool_throttle_charge(const struct dl_pool *pool, struct pool_endpoint *e,
			  const struct pool_want *want, int64_t now)
{
	if (!pool_throttle_is_limited(pool, e, now))
		return;
	e->limit_credit =
		available_credit(pool, e, now) - (want->standby ? 2 : 1);
	e->limit_credit_at = now;
}

/*
 * Work that the limit of an endpoint allows, in tokens per ms for requests of
 * the usual length, so that no more is admitted than will be granted.
 */
double pool_throttle_rate(const struct dl_pool *pool,
			  const struct pool_endpoint *e, double rate,
			  int64_t now)
{
	double usual = 1;

	if (!pool_throttle_is_limited(pool, e, now))
		return rate;
	if (pool->conf.kind == DL_POOL_MODEL)
		usual = fmax((double)pool->conf.engine.usual_prompt, 1);
	return fmin(rate, rate_per_ms(pool, e, now) * usual);
}

/*
 * A new incarnation of an endpoint has no limit until it sets one, or says that
 * it is cold.
 */
void pool_throttle_reset(struct pool_endpoint *e)
{
	e->limit = DL_UNLIMITED;
	e->limit_credit = 0;
	e->cold_until = 0;
}

/*
 * An endpoint reported how long it stays cold.  Reports may arrive late and out
 * of order, so none ends the time that another gave.
 */
void pool_throttle_set_cold(struct pool_endpoint *e, uint32_t cold_ms,
			    int64_t now)
{
	if (!cold_ms || now + cold_ms <= e->cold_until)
		return;
	/* Start without credit: what went there before is unknown. */
	if (now >= e->cold_until) {
		e->limit_credit = 0;
		e->limit_credit_at = now;
	}
	e->cold_until = now + cold_ms;
}

/* Set the limit that an answer of an endpoint contained. */
bool dl_pool_set_endpoint_limit(struct dl_pool *pool, struct dl_str id,
				uint32_t limit, int64_t now)
{
	struct pool_endpoint *e = pool_endpoint_find(pool, id);

	pool->now = now;
	if (!e)
		return false;
	if (limit == DL_UNLIMITED &&
	    now - e->limit_set_at < LIMIT_LIFT_DELAY_MS)
		return false;
	if (limit != DL_UNLIMITED)
		e->limit_set_at = now;
	if (e->limit == limit)
		return false;
	/* Start without credit: what went there before is unknown. */
	e->limit_credit = pool_throttle_is_limited(pool, e, now) ?
				  available_credit(pool, e, now) :
				  0;
	e->limit_credit_at = now;
	e->limit = limit;
	pool_place_refresh(pool, e, now);
	return true;
}

/* Iterate over the limits set since a time; false at the end. */
bool dl_pool_endpoint_limit_next(const struct dl_pool *pool, uint32_t *index,
				 int64_t since, struct dl_name *id,
				 uint32_t *limit)
{
	while (*index < pool->endpoints_n) {
		const struct pool_endpoint *e = pool->endpoints[(*index)++];

		if (e->limit == DL_UNLIMITED || e->limit_set_at < since)
			continue;
		*id = e->last.id;
		*limit = e->limit;
		return true;
	}
	return false;
}
