/*
 * Limits that endpoints name of themselves, on requests from all VMs together.
 *
 * Load: an endpoint in need, that still takes what it is sent.  Harm: requests
 * beyond what it can bear; it looks no worse than others, and is taken as
 * often.  The one dispatcher of its pool sees all that goes there and grants it
 * at the rate that was named, without bursts, as several requests may be on
 * their way at once.
 */
#include "pool_int.h"

#include <math.h>

/*
 * Whether a limit is still named shows in answers only: one that takes fewer
 * requests is given one in five seconds.
 */
#define LIMIT_MIN_PER_1000S 200
#define MS_PER_1000S	    1000000.0
/*
 * An answer without a limit lifts it once no other has named one for so long: a
 * VM that is slow reads answers that are older than those of others.
 */
#define LIMIT_LIFT_DELAY_MS 500

static double rate_per_ms(const struct pool_endpoint *e)
{
	uint32_t limit = e->limit > LIMIT_MIN_PER_1000S ? e->limit :
							  LIMIT_MIN_PER_1000S;

	return limit / MS_PER_1000S;
}

/* Requests that may go to a limited endpoint now, one at the most. */
static double available_credit(const struct pool_endpoint *e, int64_t now)
{
	double gained = (double)(now - e->limit_credit_at) * rate_per_ms(e);

	return fmin(e->limit_credit + fmax(gained, 0), 1);
}

/* Whether an endpoint's own limit lets another request go there. */
bool pool_throttle_allows(const struct pool_endpoint *e,
			  const struct pool_want *want, int64_t now)
{
	if (e->limit == DL_UNLIMITED)
		return true;
	/* What other VMs send there by themselves is not known here. */
	if (want->self_placed)
		return false;
	return available_credit(e, now) >= 1;
}

/*
 * A request goes to an endpoint, or a part of one.  A standby gives half of the
 * rate: the dispatcher, which others may reach, gives all of it.
 */
void pool_throttle_charge(struct pool_endpoint *e, const struct pool_want *want,
			  int64_t now)
{
	if (e->limit == DL_UNLIMITED)
		return;
	e->limit_credit = available_credit(e, now) - (want->standby ? 2 : 1);
	e->limit_credit_at = now;
}

/*
 * The work that an endpoint's limit lets through, tokens a ms, where its usual
 * request has so many; so that no more is admitted than will be granted.
 */
double pool_throttle_rate(const struct dl_pool *pool,
			  const struct pool_endpoint *e, double rate)
{
	double usual = 1;

	if (e->limit == DL_UNLIMITED)
		return rate;
	if (pool->conf.kind == DL_POOL_MODEL)
		usual = fmax((double)pool->conf.engine.usual_prompt, 1);
	return fmin(rate, rate_per_ms(e) * usual);
}

/* A start of an endpoint has no limit until it names one. */
void pool_throttle_reset(struct pool_endpoint *e)
{
	e->limit = DL_UNLIMITED;
	e->limit_credit = 0;
}

/* Note what an answer of an endpoint named. */
bool dl_pool_set_endpoint_limit(struct dl_pool *pool, struct dl_str id,
				uint32_t limit, int64_t now)
{
	struct pool_endpoint *e = pool_endpoint_find(pool, id);

	pool->now = now;
	if (!e)
		return false;
	if (limit == DL_UNLIMITED && now - e->limit_named < LIMIT_LIFT_DELAY_MS)
		return false;
	if (limit != DL_UNLIMITED)
		e->limit_named = now;
	if (e->limit == limit)
		return false;
	/* Nothing is saved up at first: what went there before is not known. */
	e->limit_credit = e->limit == DL_UNLIMITED ? 0 :
						     available_credit(e, now);
	e->limit_credit_at = now;
	e->limit = limit;
	pool_place_refresh(pool, e, now);
	return true;
}

/* Walk the limits that were named since a time; false past the last. */
bool dl_pool_endpoint_limit_next(const struct dl_pool *pool, uint32_t *index,
				 int64_t since, struct dl_name *id,
				 uint32_t *limit)
{
	while (*index < pool->endpoints_n) {
		const struct pool_endpoint *e = pool->endpoints[(*index)++];

		if (e->limit == DL_UNLIMITED || e->limit_named < since)
			continue;
		*id = e->last.id;
		*limit = e->limit;
		return true;
	}
	return false;
}
