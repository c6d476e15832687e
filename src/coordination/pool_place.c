/*
 * Selection of the endpoint for a request.
 *
 * For each endpoint and priority level the pool tracks when the prefill work
 * ends, as for a queue that is drained at a known rate with short prompts
 * first.  Grants of this dispatcher advance that time at once; reports and
 * answers correct it later.  A lag of the reports therefore does not send every
 * request to an endpoint that was idle a second ago.
 */
#include "pool_int.h"

#include <float.h>
#include <math.h>

/*
 * A request is bound to an endpoint this early before the endpoint is free.
 * Otherwise, just below saturation, each engine would be idle between requests
 * for about one round trip, while the grant and the prompt travel.  A longer
 * time would bind a request to an endpoint while another becomes free first.
 */
#define BIND_AHEAD_MS 20

/*
 * Safety margin of a prediction, as a share of it: at least MARGIN_MIN for the
 * changes between reports, twice the measured deviation, and at most the
 * prediction itself, so that one outlier does not make the pool refuse every
 * request.
 */
#define MARGIN_MIN	  0.05
#define MARGIN_MAX	  1.0
#define MARGIN_DEVIATIONS 2.0
/* Round trip between entry and endpoint, and time in the dispatcher's queue. */
#define OVERHEAD_MS 10
/* Assumed tokens per second until an endpoint reports or shows its rate. */
#define PREFILL_RATE_UNKNOWN 4000.0
#define DECODE_RATE_UNKNOWN  40.0
#define MS_PER_S	     1000.0

/*
 * A medium prompt on an endpoint without lower-priority work delays each short
 * prompt that arrives meanwhile by one engine step.  If engine steps are long
 * (interference_ms, learnt as half a step on average), a medium prompt goes
 * ahead of a long one instead, unless that costs it more than this share of its
 * own prefill time.  With short steps this would only slow long prompts down.
 */
#define KEEP_FOR_SHORT_FROM_MS 40.0
#define KEEP_FOR_SHORT_SHARE   0.5

#define PRIORITY_BAND	 64
#define PRIORITY_CLASS	 16
#define PRIORITY_BUCKETS 4
#define PERMILLE	 1000

struct search {
	const struct dl_pool *pool;
	const struct pool_want *want;
	struct pool_endpoint *best;
	double best_cost;
	int64_t now;
	uint8_t level;
	bool only_long; /* use only endpoints that hold a long prompt already */
};

static int64_t max_time(int64_t a, int64_t b);
static bool lower_levels_allow(const struct pool_endpoint *e, uint8_t level,
			       int64_t prefill_ms, int64_t now);
static void schedule_bind(struct dl_pool *pool, const struct pool_endpoint *e,
			  uint8_t level);
static uint64_t free_memory_besides(const struct pool_endpoint *e,
				    uint64_t reserved);
static bool ends_before_hold(const struct dl_pool *pool,
			     const struct pool_want *want,
			     const struct pool_endpoint *e, int64_t now);
static void consider_holds(struct search *s);
static double placement_cost(const struct search *s,
			     const struct pool_endpoint *e);
static double cost_lower_bound(const struct search *s, uint32_t node);
static void search_subtree(struct search *s, uint32_t node);
static void consider(struct search *s, struct pool_endpoint *e);
static bool choose_probe(struct dl_pool *pool, const struct pool_want *want,
			 int64_t now, struct pool_choice *out);
static bool held_for_long(const struct pool_endpoint *e);
static void update_totals(struct dl_pool *pool, struct pool_endpoint *e,
			  int64_t now);
static void update_memory_max(struct dl_pool *pool);

static int64_t max_time(int64_t a, int64_t b)
{
	return a > b ? a : b;
}

/* Prefill milliseconds per token, as reported and corrected by answers. */
double pool_ms_per_token(const struct dl_pool *pool,
			 const struct pool_endpoint *e)
{
	double rate = e->last.prefill_rate;

	if (pool->conf.kind == DL_POOL_PLAIN)
		return e->service_ms;
	if (rate <= 0)
		rate = PREFILL_RATE_UNKNOWN;
	return e->prefill_slowdown * MS_PER_S / rate;
}

/* Decode milliseconds per token of one stream. */
double pool_decode_ms(const struct pool_endpoint *e)
{
	double rate = e->last.decode_rate;

	if (rate <= 0)
		rate = DECODE_RATE_UNKNOWN;
	return e->decode_slowdown * MS_PER_S / rate;
}

/* Memory not used by grants, holds or requests unknown to this dispatcher. */
uint64_t pool_place_free_memory(const struct pool_endpoint *e)
{
	return free_memory_besides(e, e->reserved);
}

static uint64_t free_memory_besides(const struct pool_endpoint *e,
				    uint64_t reserved)
{
	uint64_t taken =
		e->held + reserved + pool_excess_min(&e->memory_excess);

	return e->last.memory_tokens > taken ? e->last.memory_tokens - taken :
					       0;
}

/*
 * Number of endpoints that may hold long prompts.  If one prompt in fifty
 * exceeds a hundred thousand tokens, these alone would occupy every endpoint
 * for seconds, so beyond the configured share long prompts wait.  At least one
 * endpoint may hold one, or long prompts would never run; at least one of
 * several stays free, or short prompts would depend on the engines' preemption.
 */
uint32_t pool_place_long_max(const struct dl_pool *pool)
{
	uint64_t max = (uint64_t)pool->open_endpoints *
		       pool->conf.long_share_permille / PERMILLE;

	if (pool->open_endpoints <= 1)
		return pool->open_endpoints;
	if (max < 1)
		max = 1;
	if (max > pool->open_endpoints - 1)
		max = pool->open_endpoints - 1;
	return (uint32_t)max;
}

static void update_memory_max(struct dl_pool *pool)
{
	pool->memory_max = 0;
	for (uint32_t i = 0; i < pool->endpoints_n; i++) {
		const struct pool_endpoint *e = pool->endpoints[i];

		if (e->counted_open && e->counted_memory > pool->memory_max)
			pool->memory_max = e->counted_memory;
	}
}

static bool held_for_long(const struct pool_endpoint *e)
{
	return e->hold && e->hold->request->want.band >= POOL_LONG;
}

static void update_totals(struct dl_pool *pool, struct pool_endpoint *e,
			  int64_t now)
{
	bool open = pool_endpoint_open(pool, e);
	bool is_long = open && (e->long_grants > 0 || held_for_long(e));
	uint64_t memory = open ? e->last.memory_tokens : 0;
	uint64_t before = e->counted_memory;
	double rate = 0, decode;

	if (open)
		rate = 1 / pool_ms_per_token(pool, e);
	if (open && pool->conf.kind == DL_POOL_PLAIN)
		rate *= e->last.slots;
	rate = pool_throttle_rate(pool, e, rate, now);
	pool->slots += open ? e->last.slots : 0;
	pool->slots -= e->counted_slots;
	e->counted_slots = open ? e->last.slots : 0;
	decode = open ? pool_decode_ms(e) : 0;
	pool->decode_sum += decode - e->counted_decode;
	e->counted_decode = decode;
	if (open != e->counted_open)
		pool->leaving_at = now;
	pool->open_endpoints += (uint32_t)open - (uint32_t)e->counted_open;
	pool->long_endpoints += (uint32_t)is_long - (uint32_t)e->counted_long;
	pool->rate += rate - e->counted_rate;
	if (pool->open_endpoints == 0)
		pool->rate = 0;
	e->counted_open = open;
	e->counted_long = is_long;
	e->counted_memory = memory;
	e->counted_rate = rate;
	if (memory > pool->memory_max)
		pool->memory_max = memory;
	else if (before == pool->memory_max && memory < before)
		update_memory_max(pool);
}

/* Updates the pool's totals and its index after a change of an endpoint. */
void pool_place_refresh(struct dl_pool *pool, struct pool_endpoint *e,
			int64_t now)
{
	struct pool_index_node leaf;
	uint64_t running = e->grants + pool_excess_min(&e->running_excess);

	update_totals(pool, e, now);
	if (!pool_endpoint_open(pool, e) ||
	    running >= pool_outlier_slots(e, now)) {
		pool_index_set(&pool->index, e->index, NULL);
		return;
	}
	for (int i = 0; i < POOL_LEVELS; i++)
		leaf.ready[i] = e->busy_until[i];
	leaf.free = pool_place_free_memory(e);
	leaf.free_long = e->long_grants > 0 ? leaf.free : 0;
	leaf.ms_per_token = pool_ms_per_token(pool, e);
	pool_index_set(&pool->index, e->index, &leaf);
}

/* Whether an earlier attempt of the request failed on this endpoint. */
bool pool_place_failed_before(const struct pool_want *want,
			      const struct pool_endpoint *e)
{
	for (int i = 0; i < want->tried_n; i++)
		if (want->tried[i] == e->by_name.hash)
			return true;
	return false;
}

/*
 * Whether a request may go to an endpoint regardless of its load: no attempt
 * failed there, and neither its rate limit nor a backoff excludes it.
 */
bool pool_place_allowed(const struct dl_pool *pool,
			const struct pool_want *want,
			const struct pool_endpoint *e, int64_t now)
{
	return !pool_place_failed_before(want, e) &&
	       pool_throttle_allows(pool, e, want, now) &&
	       !pool_backoff_active(pool, want, e, now);
}

/*
 * Whether a request may overtake an endpoint's work of lower levels.  Each
 * short prompt that arrives during the prefill of a long one delays it, and
 * without a bound on the sum of these delays the long one would miss the
 * deadline for which it was granted.
 */
static bool lower_levels_allow(const struct pool_endpoint *e, uint8_t level,
			       int64_t prefill_ms, int64_t now)
{
	for (int i = level + 1; i < POOL_LEVELS; i++)
		if (e->busy_until[i] > now && e->slack[i] < prefill_ms)
			return false;
	return true;
}

/*
 * Whether a request is expected to end before the hold on an endpoint is ready
 * (backfilling).  The engines of a group are rarely free at the same time, and
 * the first would be idle until the last one is free.
 */
static bool ends_before_hold(const struct dl_pool *pool,
			     const struct pool_want *want,
			     const struct pool_endpoint *e, int64_t now)
{
	struct pool_choice choice = { 0 };

	pool_place_expect(pool, e, want, want->prompt, now, &choice);
	return now + choice.total_ms <= e->hold->ready;
}

/* Whether an endpoint can take a request now, regardless of its deadline. */
bool pool_place_fits(const struct dl_pool *pool, const struct pool_want *want,
		     const struct pool_endpoint *e, int64_t now)
{
	uint8_t level = pool_level(want);
	double prefill = (double)want->prompt * pool_ms_per_token(pool, e);
	uint64_t room = pool_place_free_memory(e);

	if (!pool_endpoint_open(pool, e) ||
	    !pool_place_allowed(pool, want, e, now))
		return false;
	if (e->hold && level > POOL_SHORT) {
		if (!ends_before_hold(pool, want, e, now))
			return false;
		room = free_memory_besides(e, 0);
	}
	if (want->need > room)
		return false;
	if (e->grants + pool_excess_min(&e->running_excess) >=
	    pool_outlier_slots(e, now))
		return false;
	return lower_levels_allow(e, level, (int64_t)ceil(prefill), now);
}

/* Safety margin of a prediction, as a share of it. */
double pool_margin(double deviation)
{
	double margin = deviation * MARGIN_DEVIATIONS;

	if (margin < MARGIN_MIN)
		return MARGIN_MIN;
	return margin > MARGIN_MAX ? MARGIN_MAX : margin;
}

/*
 * Predicts the times of a request on an endpoint.  The time to the first token
 * relies on the prefix cache.  The total time does not and includes a margin,
 * since admission guarantees it.
 */
void pool_place_expect(const struct dl_pool *pool,
		       const struct pool_endpoint *e,
		       const struct pool_want *want, uint64_t tokens,
		       int64_t now, struct pool_choice *out)
{
	uint8_t level = pool_level(want);
	double per_token = pool_ms_per_token(pool, e);
	double margin = pool_margin(e->deviation);
	double wait, whole, decode;

	out->start = max_time(now, e->busy_until[level]);
	out->behind_lower = e->busy_until[POOL_LEVELS - 1] > out->start;
	wait = (double)(out->start - now);
	if (out->behind_lower)
		wait += e->interference_ms;
	whole = wait + (double)tokens * per_token;
	decode = (double)want->output * pool_decode_ms(e);
	out->ttft_ms =
		(int64_t)ceil(whole - (double)out->cached_tokens * per_token);
	out->total_ms =
		(int64_t)ceil(whole * (1 + margin) +
			      decode * (1 + pool_margin(e->decode_deviation))) +
		OVERHEAD_MS;
}

/*
 * Whether a placement meets the request's deadline.  A request granted without
 * this check could occupy an engine after its caller has given up, which makes
 * goodput collapse past saturation.
 */
bool pool_place_in_time(const struct pool_choice *choice,
			const struct pool_want *want, int64_t now)
{
	return now + choice->total_ms <= want->deadline;
}

/* Whether an endpoint is free for a level now or within BIND_AHEAD_MS. */
bool pool_place_ready(const struct pool_endpoint *e, uint8_t level, int64_t now)
{
	return e->busy_until[level] <= now + BIND_AHEAD_MS;
}

static void schedule_bind(struct dl_pool *pool, const struct pool_endpoint *e,
			  uint8_t level)
{
	int64_t at = e->busy_until[level] - BIND_AHEAD_MS;

	if (at < pool->bind_at)
		pool->bind_at = at;
}

static double placement_cost(const struct search *s,
			     const struct pool_endpoint *e)
{
	uint32_t saved = pool_prefix_cached_tokens(s->pool, s->want, e, s->now);
	double tokens = (double)(s->want->prompt - saved);
	double prefill = tokens * pool_ms_per_token(s->pool, e);
	double margin = pool_margin(e->deviation);
	int64_t start = max_time(s->now, e->busy_until[s->level]);
	double cost = (double)start + prefill * (1 + margin);

	/*
	 * Use another failure domain only if the request's own would be late: a
	 * partition does not break requests that stay within one domain.
	 */
	if (pool_in_other_domain(s->want, e))
		cost += s->want->target_ms;

	if (e->busy_until[POOL_LEVELS - 1] > start)
		cost += e->interference_ms * (1 + margin);
	else if (s->level == POOL_MEDIUM &&
		 e->interference_ms >= KEEP_FOR_SHORT_FROM_MS)
		cost += prefill * KEEP_FOR_SHORT_SHARE;
	return cost;
}

static double cost_lower_bound(const struct search *s, uint32_t node)
{
	const struct pool_index_node *n = &s->pool->index.at[node];
	uint64_t room = s->only_long ? n->free_long : n->free;

	if (n->ready[s->level] > s->now + BIND_AHEAD_MS || room < s->want->need)
		return DBL_MAX;
	return (double)max_time(s->now, n->ready[s->level]) +
	       (double)s->want->prompt * n->ms_per_token * (1 + MARGIN_MIN);
}

static void consider(struct search *s, struct pool_endpoint *e)
{
	double cost;

	if (!pool_place_fits(s->pool, s->want, e, s->now))
		return;
	cost = placement_cost(s, e);
	if (cost >= s->best_cost)
		return;
	s->best = e;
	s->best_cost = cost;
}

/* Considers endpoints with a hold; in the index their memory is in use. */
static void consider_holds(struct search *s)
{
	for (int i = 0; i < POOL_HOLDS; i++) {
		const struct pool_hold *hold = &s->pool->hold[i];

		for (uint8_t k = 0; k < hold->n; k++)
			consider(s, hold->endpoint[k]);
	}
}

/*
 * Branch and bound over the index: descends into the better half first and
 * skips subtrees that cannot beat the best endpoint found.  Among equals the
 * endpoint that became free first wins, which spreads a light load evenly.
 */
static void search_subtree(struct search *s, uint32_t node)
{
	const struct pool_index *index = &s->pool->index;
	uint32_t first = 2 * node, second = 2 * node + 1;
	double a, b;

	if (node >= index->room) {
		if (node - index->room < s->pool->endpoints_n)
			consider(s, s->pool->endpoints[node - index->room]);
		return;
	}
	a = cost_lower_bound(s, first);
	b = cost_lower_bound(s, second);
	if (b < a || (b <= a && index->at[second].ready[s->level] <
					index->at[first].ready[s->level])) {
		double swap = a;

		a = b;
		b = swap;
		first = second;
		second = 4 * node + 1 - first;
	}
	if (a < s->best_cost)
		search_subtree(s, first);
	if (b < s->best_cost)
		search_subtree(s, second);
}

static bool choose_probe(struct dl_pool *pool, const struct pool_want *want,
			 int64_t now, struct pool_choice *out)
{
	struct pool_endpoint *e = pool_outlier_probe(pool, want, now);

	if (!e)
		return false;
	out->cached_tokens = 0;
	pool_place_expect(pool, e, want, want->prompt, now, out);
	if (!pool_place_in_time(out, want, now))
		return false;
	out->endpoint[0] = e;
	out->n = 1;
	out->share = want->need;
	out->probe = true;
	return true;
}

/*
 * Chooses the endpoint with enough memory on which a request's first token is
 * expected earliest.  If it is not free yet, returns POOL_WAIT: the request
 * waits in the pool's queue and not in the engine's, where it could be stuck
 * behind a long prompt while another engine becomes free.  A short prompt may
 * thus wait some tens of milliseconds for an endpoint without long work instead
 * of a step of a long prompt.
 *
 * The endpoint that last had the same prompt prefix is considered first and
 * wins if the expected cache hit outweighs a later start.
 *
 * Returns POOL_LATE if the best endpoint would miss the deadline.  Waiting
 * would not help, and the request would block others that can still be on time.
 */
enum pool_found pool_place_choose(struct dl_pool *pool,
				  const struct pool_want *want, int64_t now,
				  struct pool_choice *out)
{
	struct search s = { .pool = pool, .want = want, .now = now };
	struct pool_hold *hold = pool_hold_of(pool, want);
	struct pool_endpoint *cached;

	*out = (struct pool_choice){ 0 };
	if (hold)
		return pool_hold_choose(pool, hold, now, out);
	if (want->band == POOL_OVERSIZED)
		return pool_group_choose(pool, want, now, out);
	if (pool->ejected && choose_probe(pool, want, now, out))
		return POOL_CHOSEN;
	if (pool->index.room == 0)
		return POOL_WAIT;
	s.best_cost = DBL_MAX;
	s.level = pool_level(want);
	s.only_long = want->band == POOL_LONG &&
		      pool->long_endpoints >= pool_place_long_max(pool);
	cached = pool_prefix_endpoint(pool, want);
	if (cached && (!s.only_long || cached->long_grants > 0))
		consider(&s, cached);
	if (s.level > POOL_SHORT)
		consider_holds(&s);
	search_subtree(&s, 1);
	if (!s.best)
		return POOL_WAIT;
	out->cached_tokens = pool_prefix_cached_tokens(pool, want, s.best, now);
	pool_place_expect(pool, s.best, want, want->prompt, now, out);
	out->endpoint[0] = s.best;
	out->n = 1;
	out->share = want->need;
	if (!pool_place_in_time(out, want, now))
		return POOL_LATE;
	if (pool_place_ready(s.best, s.level, now))
		return POOL_CHOSEN;
	schedule_bind(pool, s.best, s.level);
	return POOL_WAIT;
}

/*
 * Priority passed to the engine; 0 is the highest.  It is made up of the prompt
 * length, so that a short prompt overtakes a running long one, the class, and
 * the slack to the deadline, least slack first.  Slack is in quarters only:
 * finer steps would reorder requests that arrived a few milliseconds apart
 * without a benefit.
 */
uint8_t pool_place_priority(const struct pool_want *want,
			    const struct pool_choice *choice, int64_t now)
{
	int64_t left = want->deadline - now;
	int64_t spare = left - choice->total_ms;
	int64_t bucket = 0;

	if (left > 0 && spare > 0)
		bucket = spare * (PRIORITY_BUCKETS - 1) / left;
	return (uint8_t)(pool_level(want) * PRIORITY_BAND +
			 want->class * PRIORITY_CLASS + bucket);
}
