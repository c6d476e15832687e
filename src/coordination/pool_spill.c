/*
 * Spilling between the pools of a service: when a request leaves its own
 * failure domain, and for which one.
 */
#include "pool_int.h"

/*
 * A pool is overloaded from this backlog on, if the other one's is less by this
 * factor.  Differences below that are uncertain because of the network path to
 * another domain and the age of a summary, and spilling would gain nothing that
 * the caller notices.
 */
#define BACKLOG_MIN_MS 200
#define BACKLOG_FACTOR 2

/*
 * The share of requests that may spill changes by at most this step per
 * interval, in both directions, and never exceeds half of them.  In a burst, or
 * when half of a pool is lost, every entry sees it in the same second: if all
 * of them shifted at once, the overload would only move, and move back a
 * summary later.
 */
#define SHARE_STEP	25
#define SHARE_STEP_MS	100
#define SHARE_MAX	500
#define SHARE_STEPS_MAX 20 /* limit after a long pause */
#define PERMILLE	1000

static bool can_take(const struct dl_pool_summary *pool,
		     const struct dl_ask *ask);
static bool much_better(const struct dl_pool_summary *a,
			const struct dl_pool_summary *b);
static void adjust_share(struct dl_spill *spill, bool up, int64_t now);
static int pick_of_two(struct dl_spill *spill,
		       const struct dl_pool_summary *others, uint32_t n,
		       const struct dl_ask *ask);
static uint64_t next_random(struct dl_spill *spill);

static uint64_t next_random(struct dl_spill *spill)
{
	spill->seed = pool_mix(spill->seed);
	return spill->seed;
}

/* A pool that reports no memory is one of plain services. */
static bool can_take(const struct dl_pool_summary *pool,
		     const struct dl_ask *ask)
{
	if (pool->endpoints == 0)
		return false;
	return pool->memory_tokens == 0 ||
	       ask->prompt_tokens + ask->output_tokens <= pool->memory_tokens;
}

static bool much_better(const struct dl_pool_summary *a,
			const struct dl_pool_summary *b)
{
	return b->backlog_ms >= BACKLOG_MIN_MS &&
	       a->backlog_ms * BACKLOG_FACTOR < b->backlog_ms;
}

static void adjust_share(struct dl_spill *spill, bool up, int64_t now)
{
	int64_t steps = (now - spill->changed_at) / SHARE_STEP_MS;
	uint32_t by;

	if (steps < 1)
		return;
	spill->changed_at = now;
	if (steps > SHARE_STEPS_MAX)
		steps = SHARE_STEPS_MAX;
	by = (uint32_t)steps * SHARE_STEP;
	if (up) {
		by = spill->share_permille == 0 ? SHARE_STEP : by;
		spill->share_permille += by;
		if (spill->share_permille > SHARE_MAX)
			spill->share_permille = SHARE_MAX;
		return;
	}
	spill->share_permille =
		spill->share_permille > by ? spill->share_permille - by : 0;
}

/*
 * The better of two randomly chosen pools.  Using the best of all would attract
 * the spill of every entry at once, since they all read the same summaries.
 */
static int pick_of_two(struct dl_spill *spill,
		       const struct dl_pool_summary *others, uint32_t n,
		       const struct dl_ask *ask)
{
	uint32_t first = (uint32_t)(next_random(spill) % n);
	uint32_t second = (uint32_t)(next_random(spill) % n);

	if (n > 1 && second == first)
		second = (second + 1) % n;
	if (!can_take(&others[first], ask))
		first = second;
	if (can_take(&others[second], ask) &&
	    others[second].backlog_ms < others[first].backlog_ms)
		first = second;
	if (can_take(&others[first], ask))
		return (int)first;
	for (uint32_t i = 0; i < n; i++)
		if (can_take(&others[i], ask))
			return (int)i;
	return -1;
}

/*
 * Choose between the pool of the own failure domain and others.  The own one is
 * nearest and keeps working when domains are partitioned, so requests leave it
 * only if it cannot take them at all or is much more loaded than the other one,
 * and then only as a share that changes slowly.
 */
int dl_pool_spill(struct dl_spill *spill, const struct dl_pool_summary *own,
		  const struct dl_pool_summary *others, uint32_t n,
		  const struct dl_ask *ask, int64_t now)
{
	int other;

	if (n == 0)
		return -1;
	other = pick_of_two(spill, others, n, ask);
	if (other < 0)
		return -1;
	if (!own || !can_take(own, ask))
		return other;
	if (!much_better(&others[other], own)) {
		adjust_share(spill, false, now);
		return -1;
	}
	adjust_share(spill, true, now);
	if (next_random(spill) % PERMILLE < spill->share_permille)
		return other;
	return -1;
}
