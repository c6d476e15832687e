/*
 * Spill between the pools of a service: when a request leaves its own failure
 * domain, and where to.
 */
#include "pool_int.h"

/*
 * A pool is worse off from this backlog on, and by this much more than the
 * other: what the way to another domain and a summary's age make uncertain.
 * Below, going elsewhere would win nothing that the caller notices.
 */
#define BACKLOG_MIN_MS 200
#define BACKLOG_FACTOR 2

/*
 * The share of requests that may leave moves by this much in this time, up as
 * well as down, and half of them at the most.  For a burst or a lost half of a
 * pool, seen by every entry in the same second: all of them shifting at once
 * would only move the overload, and shift back a summary later.
 */
#define SHARE_STEP	25
#define SHARE_STEP_MS	100
#define SHARE_MAX	500
#define SHARE_STEPS_MAX 20 /* counted at most, after a long silence */
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

/* A pool without memory to speak of is one of plain services. */
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
 * The better of two pools drawn at random.  The best of all would draw the
 * spill of every entry at once, since they all read the same summaries.
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
 * Choose between the own failure domain's pool and others.  The own one is
 * nearest and goes on when domains are cut off, so it is left only where it
 * cannot take the request at all, or is much worse off than the other; and
 * then only by a share of requests that moves slowly.
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
