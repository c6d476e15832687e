/*
 * Who is let in: the predicted wait and work of a request against its
 * deadline, at its arrival and while it waits.
 */
#include "pool_int.h"

#include <float.h>
#include <math.h>
#include <stdlib.h>

#define OVERHEAD_MS 10
/* A prompt read by several engines: the exchange between them, a share. */
#define GROUP_OVERHEAD 0.1

/*
 * The least share of a pool that a lower class can count on, as pool.c gives
 * it: a prediction must not be more pessimistic than what is done.
 */
#define LOWER_CLASS_SHARE 0.2

/*
 * Feedback on predicted waits: the mean of measured over predicted, over some
 * fifty requests, so that a single odd wait doesn't swing admission; between
 * these, so that a bad minute neither admits everything nor refuses all.
 */
#define BIAS_GAIN 0.02
#define BIAS_MIN  0.5
#define BIAS_MAX  4.0
/* Waits shorter than this say nothing about a prediction. */
#define BIAS_WAIT_MS 20

/*
 * While requests wait, this often the ones nearest to their last start are
 * predicted anew, this many at a time, and refused once this share of the
 * predicted wait alone would carry them past their deadline.  Below one,
 * because a refusal is final and a prediction is not.
 */
#define RECHECK_MS    100
#define RECHECK_MAX   64
#define RECHECK_SHARE 0.8

#define RETRY_MIN_MS 20
#define RETRY_MAX_MS 60000

static double best_ms_per_token(const struct dl_pool *pool);
static double capacity(const struct dl_pool *pool,
		       const struct pool_want *want);
static double ahead_of(const struct dl_pool *pool, const struct pool_want *want,
		       uint32_t *entries);
static double own_ahead(const struct dl_pool *pool,
			const struct pool_want *want,
			const struct pool_request *req,
			const struct pool_workspace *ws, double *entries);
static int64_t residual(const struct dl_pool *pool,
			const struct pool_want *want, int64_t now);
static bool any_untried(const struct dl_pool *pool,
			const struct pool_want *want);
static bool recheck(struct dl_pool *pool, struct pool_request *req,
		    int64_t now);

static double best_ms_per_token(const struct dl_pool *pool)
{
	const struct pool_index_node *root = pool_index_root(&pool->index);

	if (pool->open == 0 || pool->rate <= 0)
		return 0;
	if (root->ms_per_token < DBL_MAX)
		return root->ms_per_token;
	if (pool->conf.kind == DL_POOL_PLAIN)
		return (double)pool->slots / pool->rate;
	return pool->open / pool->rate;
}

/* The whole time a request needs once it starts, on the best endpoint. */
int64_t pool_service_ms(const struct dl_pool *pool,
			const struct pool_want *want)
{
	double prefill = (double)want->prompt * best_ms_per_token(pool);
	double decode = 0;
	uint64_t share;
	uint32_t n;

	if (pool->policy->service_ms)
		return pool->policy->service_ms(pool, want);
	if (pool->open)
		decode = (double)want->output * pool->decode_sum / pool->open;
	if (want->band == POOL_GIANT) {
		n = pool_group_size(pool, want, &share);
		prefill *= (1 + GROUP_OVERHEAD) / (n ? n : 1);
	}
	return (int64_t)ceil(
		       prefill * (1 + pool_margin(pool->deviation)) +
		       decode * (1 + pool_margin(pool->decode_deviation))) +
	       OVERHEAD_MS;
}

/* The share of the pool that the classes before this one were given lately. */
double pool_load(const struct dl_pool *pool, uint8_t classes, int64_t now)
{
	double sum = 0;

	if (pool->rate <= 0)
		return 1;
	for (uint8_t i = 0; i < classes; i++)
		sum += pool_rate_read(&pool->granted[i], now);
	return sum / pool->rate;
}

static double capacity(const struct dl_pool *pool, const struct pool_want *want)
{
	if (want->band < POOL_LONG || pool->open == 0)
		return pool->rate;
	return pool->rate * pool_place_long_max(pool) / pool->open;
}

static double ahead_of(const struct dl_pool *pool, const struct pool_want *want,
		       uint32_t *entries)
{
	double tokens = 0;

	*entries = 0;
	for (int c = 0; c <= want->class; c++) {
		for (int band = 0; band <= want->band; band++) {
			const struct pool_lane *lane =
				&pool->lane[c * POOL_BANDS + band];

			if (c == want->class && band == want->band)
				continue;
			tokens += (double)lane->tokens;
			*entries += lane->n;
		}
	}
	return tokens;
}

/*
 * The work of its own lane that goes before a request: all of it, or what its
 * workspace has before it over the workspace's share, whichever is less.  The
 * second is the bound of fair queueing, (sigma + I) / g.
 */
static double own_ahead(const struct dl_pool *pool,
			const struct pool_want *want,
			const struct pool_request *req,
			const struct pool_workspace *ws, double *entries)
{
	uint8_t at = pool_lane_of(want);
	const struct pool_lane *lane = &pool->lane[at];
	const struct pool_flow *flow = pool_flow_find(ws, at);
	double weight = pool_workspace_weight(pool, ws);
	double weights = (double)lane->weights;
	double tokens = 0, share, n;
	uint64_t order = req ? req->by_deadline.order : UINT64_MAX;

	*entries = lane->n;
	if (lane->n == 0)
		return 0;
	if (!flow || flow->n == 0)
		weights += weight;
	else
		tokens = (double)pool_tree_sum_before(flow->root,
						      want->deadline, order);
	share = tokens * weights / weight;
	n = 1 + (flow ? flow->n : 0) * weights / weight;
	if (n < *entries)
		*entries = n;
	return share < (double)lane->tokens ? share : (double)lane->tokens;
}

static int64_t residual(const struct dl_pool *pool,
			const struct pool_want *want, int64_t now)
{
	const struct pool_index_node *root = pool_index_root(&pool->index);
	uint8_t level = pool_level(want);
	int64_t first = root->ready[level];

	if (want->band >= POOL_LONG &&
	    pool->long_endpoints >= pool_place_long_max(pool)) {
		first = INT64_MAX;
		for (uint32_t i = 0; i < pool->endpoints_n; i++) {
			const struct pool_endpoint *e = pool->endpoints[i];

			if (e->counted_long && e->until[level] < first)
				first = e->until[level];
		}
	}
	if (first == INT64_MAX || first <= now)
		return 0;
	return first - now;
}

/*
 * How long a request would wait before it is granted.  req is NULL for one
 * that is not queued.
 *
 * For saturation: the work that goes before it over the rate that its class
 * can count on, after the rest of what the first endpoint to be free is at.
 * Where slots or memory and not prefill are what is short, releases per second
 * bound it instead.  Feedback on its lane corrects both.
 */
int64_t pool_wait_ms(const struct dl_pool *pool, const struct pool_want *want,
		     const struct pool_request *req,
		     const struct pool_workspace *ws, int64_t now)
{
	const struct pool_index_node *root = pool_index_root(&pool->index);
	double rate = capacity(pool, want);
	double own_entries, tokens, left, wait, by_slots;
	uint32_t entries;

	if (rate <= 0)
		return INT32_MAX;
	tokens = ahead_of(pool, want, &entries);
	tokens += own_ahead(pool, want, req, ws, &own_entries);
	left = 1 - pool_load(pool, want->class, now);
	if (left < LOWER_CLASS_SHARE)
		left = LOWER_CLASS_SHARE;
	wait = (double)residual(pool, want, now) + tokens / (rate * left);
	if (root->ready[0] == INT64_MAX || root->free < want->need) {
		by_slots = (entries + own_entries + 1) * pool->release_gap_ms;
		if (by_slots > wait)
			wait = by_slots;
	}
	wait *= pool->lane[pool_lane_of(want)].bias;
	return wait < INT32_MAX ? (int64_t)wait : INT32_MAX;
}

static bool any_untried(const struct dl_pool *pool,
			const struct pool_want *want)
{
	if (pool->open > want->tried_n)
		return true;
	for (uint32_t i = 0; i < pool->endpoints_n; i++) {
		const struct pool_endpoint *e = pool->endpoints[i];

		if (e->counted_open && !pool_place_failed_before(want, e))
			return true;
	}
	return false;
}

/*
 * Whether a request could run here if nothing else did, and why not.  A
 * request that no group of engines could hold, or that could not end in time
 * even on an idle engine, is told so at once: its caller can use the time, and
 * coming back would not help.  One whose VM all endpoints have asked to wait
 * does not wait here: another VM may be served now, and it would stand before
 * the requests of others that can be.
 */
enum dl_reason pool_admit_ever(const struct dl_pool *pool,
			       const struct pool_want *want, int64_t now)
{
	uint64_t share;

	if (pool->open == 0) {
		for (uint32_t i = 0; i < pool->endpoints_n; i++)
			if (pool->endpoints[i]->state == POOL_EP_LIVE)
				return DL_REASON_DRAINING;
		return DL_REASON_NO_ENDPOINT;
	}
	if (!any_untried(pool, want))
		return DL_REASON_NO_ENDPOINT;
	if (pool_backoff_wait_ms(pool, want, now))
		return DL_REASON_BACKOFF;
	if (want->band == POOL_GIANT && !pool_group_size(pool, want, &share))
		return DL_REASON_TOO_LONG;
	if (now + pool_service_ms(pool, want) > want->deadline)
		return DL_REASON_DEADLINE;
	return DL_REASON_NONE;
}

static int64_t short_at_least(int64_t a, int64_t b)
{
	return a > b ? a : b;
}

/*
 * When a refused caller may come back and make it.
 *
 * Honest means two things.  It is short_ms from now at the least: how much
 * sooner the pool would have had to be free.  And a time is not promised
 * twice: each refusal books the work it stands for behind that of the ones
 * before, so that a thousand refused in one second are spread over the time
 * in which the pool can take them, and don't come back together.  At most a
 * minute, since nobody knows the load of the next one.
 */
uint32_t pool_retry_after(struct dl_pool *pool, const struct pool_want *want,
			  int64_t short_ms, int64_t now)
{
	double rate = capacity(pool, want);
	int64_t after;

	if (pool->policy->back_ms)
		short_ms = short_at_least(
			short_ms, pool->policy->back_ms(pool, want, now));
	if (pool->returns < now)
		pool->returns = now;
	after = pool->returns - now;
	if (short_ms > 0)
		after += short_ms;
	if (rate > 0 && after < RETRY_MAX_MS)
		pool->returns += (int64_t)ceil((double)want->prompt / rate);
	if (after < RETRY_MIN_MS)
		after = RETRY_MIN_MS;
	return after < RETRY_MAX_MS ? (uint32_t)after : RETRY_MAX_MS;
}

/* How much of the time it has left a request is expected to need. */
double pool_strain(const struct dl_pool *pool, const struct pool_want *want,
		   const struct pool_request *req,
		   const struct pool_workspace *ws, int64_t now)
{
	int64_t left = want->deadline - now;
	int64_t needed = pool_wait_ms(pool, want, req, ws, now) +
			 pool_service_ms(pool, want);

	if (left <= 0)
		return DBL_MAX;
	return (double)needed / (double)left;
}

static bool recheck(struct dl_pool *pool, struct pool_request *req, int64_t now)
{
	int64_t wait = pool_wait_ms(pool, &req->want, req, req->workspace, now);
	int64_t service = pool_service_ms(pool, &req->want);
	int64_t sure = (int64_t)((double)wait * RECHECK_SHARE) + service;
	enum dl_reason reason = pool_admit_ever(pool, &req->want, now);
	int64_t late = now + sure - req->want.deadline;
	uint32_t after = 0;

	if (reason == DL_REASON_NONE && late <= 0) {
		pool_heap_set(&pool->request_last_start, &req->last_start,
			      req->want.deadline - service);
		return false;
	}
	if (reason == DL_REASON_NONE)
		reason = DL_REASON_DEADLINE;
	if (reason == DL_REASON_BACKOFF)
		after = pool_backoff_wait_ms(pool, &req->want, now);
	else if (reason != DL_REASON_TOO_LONG)
		after = pool_retry_after(pool, &req->want, late, now);
	pool_queue_refuse(pool, req, reason, after);
	return true;
}

/*
 * Refuse what has become hopeless since it was queued: endpoints were lost, a
 * higher class came, more tight deadlines came before it.  For a failure
 * domain's loss above all, after which half of the queue cannot make it; its
 * callers are told in this moment and not one by one at their deadlines.
 */
void pool_admit_recheck(struct dl_pool *pool, int64_t now)
{
	struct pool_heap *heap = &pool->request_last_start;
	uint32_t n = heap->n;
	struct pool_request **list;

	if (n == 0 || (now < pool->recheck_at && !pool->recheck_all))
		return;
	if (!pool->recheck_all && n > RECHECK_MAX)
		n = RECHECK_MAX;
	list = malloc(n * sizeof(struct pool_request *));
	if (!list)
		abort();
	for (uint32_t i = 0; i < n; i++)
		list[i] = POOL_OF(heap->at[i + 1], struct pool_request,
				  last_start);
	for (uint32_t i = 0; i < n; i++)
		recheck(pool, list[i], now);
	free(list);
	pool->recheck_all = false;
	pool->recheck_at = now + RECHECK_MS;
}

/*
 * Compare a wait with its prediction: at its end, or where the request was
 * refused while waiting and the wait had proved longer already.  A wait broken
 * off before would count as a short one, and the more are refused late the more
 * would be let in.
 * The prediction is taken without the correction that was in force when it
 * was made: an error of the correction itself must not feed back into it,
 * since its effect is only seen a whole wait later.
 */
void pool_admit_learn(struct dl_pool *pool, const struct pool_request *req,
		      bool ended, int64_t now)
{
	struct pool_lane *lane = &pool->lane[pool_lane_of(&req->want)];
	double waited = (double)(now - req->since);
	double predicted = (double)req->predicted_wait / req->bias;
	double error;

	if (!ended && waited < (double)req->predicted_wait)
		return;
	if (waited < BIAS_WAIT_MS && predicted < BIAS_WAIT_MS)
		return;
	error = (waited + BIAS_WAIT_MS) / (predicted + BIAS_WAIT_MS);
	if (error < BIAS_MIN)
		error = BIAS_MIN;
	if (error > BIAS_MAX)
		error = BIAS_MAX;
	lane->bias += BIAS_GAIN * (error - lane->bias);
}
