/*
 * Late binding, and the two baseline policies it is compared with.  The
 * baselines grant immediately, whatever is running, as a proxy without a queue
 * does; the engines queue what they cannot run.
 */
#include "pool_int.h"

#include <float.h>

static enum pool_found choose_round_robin(struct dl_pool *pool,
					  const struct pool_want *want,
					  int64_t now, struct pool_choice *out);
static enum pool_found choose_least_load(struct dl_pool *pool,
					 const struct pool_want *want,
					 int64_t now, struct pool_choice *out);
static bool could_hold(const struct pool_want *want,
		       const struct pool_endpoint *e, uint64_t share,
		       uint32_t n);
static uint32_t endpoints_needed(const struct dl_pool *pool,
				 const struct pool_want *want, uint64_t *share);
static bool is_chosen(const struct pool_choice *choice,
		      const struct pool_endpoint *e);
static void add_endpoint(struct dl_pool *pool, const struct pool_want *want,
			 struct pool_endpoint *e, uint32_t n, int64_t now,
			 struct pool_choice *out);

const struct dl_pool_policy dl_policy_late_binding = {
	.name = "late-binding",
	.queues = true,
	.reserves_memory = true,
	.choose = pool_place_choose,
};
const struct dl_pool_policy dl_policy_round_robin = {
	.name = "round-robin",
	.choose = choose_round_robin,
};
const struct dl_pool_policy dl_policy_least_load = {
	.name = "least-load",
	.choose = choose_least_load,
};

static uint32_t endpoints_needed(const struct dl_pool *pool,
				 const struct pool_want *want, uint64_t *share)
{
	*share = want->need;
	if (want->band != POOL_OVERSIZED)
		return 1;
	return pool_group_size(pool, want, share);
}

static bool could_hold(const struct pool_want *want,
		       const struct pool_endpoint *e, uint64_t share,
		       uint32_t n)
{
	if (!e->counted_open || pool_place_failed_before(want, e))
		return false;
	if (n > 1 && !e->last.takes_groups)
		return false;
	return share <= e->last.memory_tokens || want->need == 0;
}

static bool is_chosen(const struct pool_choice *choice,
		      const struct pool_endpoint *e)
{
	for (uint8_t i = 0; i < choice->n; i++)
		if (choice->endpoint[i] == e)
			return true;
	return false;
}

static void add_endpoint(struct dl_pool *pool, const struct pool_want *want,
			 struct pool_endpoint *e, uint32_t n, int64_t now,
			 struct pool_choice *out)
{
	struct pool_choice part = { 0 };

	pool_place_expect(pool, e, want, want->prompt / n, now, &part);
	/*
	 * Prefill starts after the wait: when the wait was counted as prefill,
	 * the backlog of an endpoint doubled with each request.
	 */
	if (out->n == 0 || part.ttft_ms > out->ttft_ms) {
		out->ttft_ms = part.ttft_ms;
		out->start = part.start;
	}
	if (part.total_ms > out->total_ms)
		out->total_ms = part.total_ms;
	out->endpoint[out->n++] = e;
}

/* Use the endpoints in turn. */
static enum pool_found choose_round_robin(struct dl_pool *pool,
					  const struct pool_want *want,
					  int64_t now, struct pool_choice *out)
{
	uint32_t n;

	*out = (struct pool_choice){ 0 };
	n = endpoints_needed(pool, want, &out->share);
	for (uint32_t i = 0; n && i < pool->endpoints_n && out->n < n; i++) {
		struct pool_endpoint *e =
			pool->endpoints[pool->next_round_robin++ %
					pool->endpoints_n];

		if (could_hold(want, e, out->share, n) && !is_chosen(out, e))
			add_endpoint(pool, want, e, n, now, out);
	}
	return n && out->n == n ? POOL_CHOSEN : POOL_WAIT;
}

/*
 * Use the endpoint with the least reported prefill backlog and running
 * requests.
 */
static enum pool_found choose_least_load(struct dl_pool *pool,
					 const struct pool_want *want,
					 int64_t now, struct pool_choice *out)
{
	uint32_t n;

	*out = (struct pool_choice){ 0 };
	n = endpoints_needed(pool, want, &out->share);
	while (n && out->n < n) {
		struct pool_endpoint *best = NULL;
		double least = DBL_MAX;

		for (uint32_t i = 0; i < pool->endpoints_n; i++) {
			struct pool_endpoint *e = pool->endpoints[i];
			double load = (double)e->last.prefill_backlog +
				      e->last.running;

			if (load < least &&
			    could_hold(want, e, out->share, n) &&
			    !is_chosen(out, e)) {
				best = e;
				least = load;
			}
		}
		if (!best)
			return POOL_WAIT;
		add_endpoint(pool, want, best, n, now, out);
	}
	return n ? POOL_CHOSEN : POOL_WAIT;
}
