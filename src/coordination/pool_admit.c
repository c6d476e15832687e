/*
 * Admission: the predicted wait and service time of a request is compared with
 * its deadline, on arrival and while it is queued.
 */
#include "pool_int.h"

#include <float.h>
#include <math.h>
#include <stdlib.h>

#define OVERHEAD_MS 10
/*
 * Exchange between engines that read a prompt together, as a share of the
 * prefill.
 */
#define GROUP_OVERHEAD 0.1

/*
 * Lowest share of a pool that a prediction assumes for a lower class.
 * pool_serve.c guarantees that share, and a prediction must not be more
 * pessimistic than the scheduling.
 */
#define LOWER_CLASS_SHARE 0.2

/*
 * Feedback on predicted waits: a moving average of measured over predicted
 * wait, over some fifty requests so that a single odd wait does not swing
 * admission.  It is clamped so that a bad minute neither admits everything nor
 * refuses everything.
 */
#define BIAS_GAIN 0.02
#define BIAS_MIN  0.5
#define BIAS_MAX  4.0
/* Shorter waits say nothing about the quality of a prediction. */
#define BIAS_WAIT_MS 20

/*
 * Queued requests are rechecked at this interval, this many at a time, nearest
 * latest start first.  One is refused if this share of its predicted wait would
 * already miss its deadline; the share is below one because a refusal is final
 * and a prediction is not.
 */
#define RECHECK_MS    100
#define RECHECK_MAX   64
#define RECHECK_SHARE 0.8

#define RETRY_MIN_MS 20
#define RETRY_MAX_MS 60000

static double best_ms_per_token(const struct dl_pool *pool);
static double capacity(const struct dl_pool *pool,
		       const struct pool_want *want);
static double tokens_ahead(const struct dl_pool *pool,
			   const struct pool_want *want, uint32_t *entries);
static double lane_tokens_ahead(const struct dl_pool *pool,
				const struct pool_want *want,
				const struct pool_request *req,
				const struct pool_workspace *ws,
				double *entries);
static int64_t residual_ms(const struct dl_pool *pool,
			   const struct pool_want *want, int64_t now);
static bool any_untried(const struct dl_pool *pool,
			const struct pool_want *want);
static bool recheck(struct dl_pool *pool, struct pool_request *req,
		    int64_t now);

static double best_ms_per_token(const struct dl_pool *pool)
{
	const struct pool_index_node *root = pool_index_root(&pool->index);

	if (pool->open_endpoints == 0 || pool->rate <= 0)
		return 0;
	if (root->ms_per_token < DBL_MAX)
		return root->ms_per_token;
	if (pool->conf.kind == DL_POOL_PLAIN)
		return (double)pool->slots / pool->rate;
	return pool->open_endpoints / pool->rate;
}

/* Total time that a request needs after its start on the best endpoint. */
int64_t pool_service_ms(const struct dl_pool *pool,
			const struct pool_want *want)
{
	double prefill = (double)want->prompt * best_ms_per_token(pool);
	double decode = 0;
	uint64_t share;
	uint32_t n;

	if (pool->policy->service_ms)
		return pool->policy->service_ms(pool, want);
	if (pool->open_endpoints)
		decode = (double)want->output * pool->decode_sum /
			 pool->open_endpoints;
	if (want->band == POOL_OVERSIZED) {
		n = pool_group_size(pool, want, &share);
		prefill *= (1 + GROUP_OVERHEAD) / (n ? n : 1);
	}
	return (int64_t)ceil(
		       prefill * (1 + pool_margin(pool->deviation)) +
		       decode * (1 + pool_margin(pool->decode_deviation))) +
	       OVERHEAD_MS;
}

/*
 * The latest start at which a request can still end before its deadline, and
 * begin before its caller gives up.
 */
int64_t pool_last_start(const struct dl_pool *pool,
			const struct pool_want *want)
{
	int64_t at = want->deadline - pool_service_ms(pool, want);
	int64_t begins;

	if (!want->first_event_deadline || !pool->policy->first_event_ms)
		return at;
	begins = want->first_event_deadline -
		 pool->policy->first_event_ms(pool, want);
	return begins < at ? begins : at;
}

/* Share of the pool recently granted to the classes before this one. */
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
	if (want->band < POOL_LONG || pool->open_endpoints == 0)
		return pool->rate;
	return pool->rate * pool_place_long_max(pool) / pool->open_endpoints;
}

static double tokens_ahead(const struct dl_pool *pool,
			   const struct pool_want *want, uint32_t *entries)
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
 * Work in its own lane that is served before a request: all of it, or the work
 * that its workspace has queued before it divided by the workspace's share,
 * whichever is less.  The second is the delay bound of fair queueing, (sigma +
 * I) / g.
 */
static double lane_tokens_ahead(const struct dl_pool *pool,
				const struct pool_want *want,
				const struct pool_request *req,
				const struct pool_workspace *ws,
				double *entries)
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

static int64_t residual_ms(const struct dl_pool *pool,
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

			if (e->counted_long && e->busy_until[level] < first)
				first = e->busy_until[level];
		}
	}
	if (first == INT64_MAX || first <= now)
		return 0;
	return first - now;
}

/*
 * Predicted time until a request is granted. req is NULL if it is not queued.
 *
 * Under saturation this is the work served before it, divided by the rate that
 * its class can count on, plus the time until the first endpoint becomes free.
 * Where slots or memory are the bottleneck instead of prefill, the release rate
 * is the bound.  Feedback from the lane corrects both.
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
	tokens = tokens_ahead(pool, want, &entries);
	tokens += lane_tokens_ahead(pool, want, req, ws, &own_entries);
	left = 1 - pool_load(pool, want->class, now);
	if (left < LOWER_CLASS_SHARE)
		left = LOWER_CLASS_SHARE;
	wait = (double)residual_ms(pool, want, now) + tokens / (rate * left);
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
	if (pool->open_endpoints > want->tried_n)
		return true;
	for (uint32_t i = 0; i < pool->endpoints_n; i++) {
		const struct pool_endpoint *e = pool->endpoints[i];

		if (e->counted_open && !pool_place_failed_before(want, e))
			return true;
	}
	return false;
}

/*
 * Whether a request could run if the pool were idle, and if not, why.  Requests
 * that no group of engines could hold, or that could not finish in time even on
 * an idle engine, are refused immediately: the caller can use the time, and a
 * retry would not help.  A request whose VM all endpoints have told to back off
 * is not queued either: another VM may be served now, and the request would
 * block those of other VMs.
 */
enum dl_reason pool_admit_feasible(const struct dl_pool *pool,
				   const struct pool_want *want, int64_t now)
{
	enum dl_reason reason = DL_REASON_NO_ENDPOINT;
	uint64_t share;

	if (pool->open_endpoints == 0) {
		for (uint32_t i = 0; i < pool->endpoints_n; i++) {
			const struct pool_endpoint *e = pool->endpoints[i];

			if (e->state != POOL_EP_LIVE)
				continue;
			if (e->evacuated && !e->last.leaving &&
			    (!pool->conf.endpoint_drain_ms ||
			     pool_leaving_evacuated_serves(pool)))
				return DL_REASON_EVACUATED;
			if (e->evacuated && pool->conf.endpoint_drain_ms)
				continue;
			if (e->unreachable && !e->last.leaving && !e->drained)
				reason = DL_REASON_UNREACHABLE;
			else if (reason == DL_REASON_NO_ENDPOINT)
				reason = DL_REASON_DRAINING;
		}
		return reason;
	}
	if (!any_untried(pool, want))
		return DL_REASON_NO_ENDPOINT;
	if (pool_backoff_wait_ms(pool, want, now))
		return DL_REASON_BACKOFF;
	if (want->band == POOL_OVERSIZED &&
	    !pool_group_size(pool, want, &share))
		return DL_REASON_TOO_LONG;
	if (now > pool_last_start(pool, want))
		return DL_REASON_DEADLINE;
	return DL_REASON_NONE;
}

static int64_t max_ms(int64_t a, int64_t b)
{
	return a > b ? a : b;
}

/*
 * When a refused caller can retry with a chance of success.
 *
 * The delay is at least short_ms, the time by which the pool would have had to
 * be free sooner.  Each refusal also reserves the time for its work behind that
 * of earlier refusals, so that a thousand requests refused in one second are
 * spread over the time in which the pool can serve them and do not return
 * together.  The delay is capped at a minute, as the load after that is
 * unknown.
 */
uint32_t pool_retry_after(struct dl_pool *pool, const struct pool_want *want,
			  int64_t short_ms, int64_t now)
{
	double rate = capacity(pool, want);
	int64_t after;

	if (pool->policy->retry_ms)
		short_ms = max_ms(short_ms,
				  pool->policy->retry_ms(pool, want, now));
	if (pool->retry_booked_until < now)
		pool->retry_booked_until = now;
	after = pool->retry_booked_until - now;
	if (short_ms > 0)
		after += short_ms;
	if (rate > 0 && after < RETRY_MAX_MS)
		pool->retry_booked_until +=
			(int64_t)ceil((double)want->prompt / rate);
	if (after < RETRY_MIN_MS)
		after = RETRY_MIN_MS;
	return after < RETRY_MAX_MS ? (uint32_t)after : RETRY_MAX_MS;
}

/* Expected time to completion over the time left until the deadline. */
double pool_deadline_ratio(const struct dl_pool *pool,
			   const struct pool_want *want,
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
	int64_t expected = (int64_t)((double)wait * RECHECK_SHARE) + service;
	enum dl_reason reason = pool_admit_feasible(pool, &req->want, now);
	int64_t late = now + expected - req->want.deadline;
	uint32_t after = 0;

	if (reason == DL_REASON_NONE && late <= 0) {
		pool_heap_set(&pool->request_last_start, &req->last_start,
			      pool_last_start(pool, &req->want));
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
 * Refuse queued requests that can no longer meet their deadlines, because
 * endpoints were lost or requests of a higher class or with tighter deadlines
 * arrived.  This matters most when a failure domain is lost and half of the
 * queue becomes infeasible: the callers are told at once and not one by one at
 * their deadlines.
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
		list[i] = POOL_CONTAINER_OF(heap->at[i + 1],
					    struct pool_request, last_start);
	for (uint32_t i = 0; i < n; i++)
		recheck(pool, list[i], now);
	free(list);
	pool->recheck_all = false;
	pool->recheck_at = now + RECHECK_MS;
}

/*
 * Update the wait correction of a lane with a wait that ended, or with that of
 * a request refused after it had waited longer than predicted.  An interrupted
 * shorter wait would count as a short one, and the more requests were refused
 * late, the more would be admitted.
 *
 * The error is computed against the prediction without the correction applied
 * at that time.  Otherwise the error of the correction itself would feed back
 * into it, with the delay of a whole wait.
 *
 * An endpoint becomes free at any time within the run of a request, so errors
 * below the usual length of a run are mostly chance.  Without allowing for it,
 * the first of many requests that started together raised the correction when
 * it ended, and others were refused that were still in time.
 */
void pool_admit_learn(struct dl_pool *pool, const struct pool_request *req,
		      bool ended, int64_t now)
{
	struct pool_lane *lane = &pool->lane[pool_lane_of(&req->want)];
	double waited = (double)(now - req->since);
	double predicted = (double)req->predicted_wait / req->bias;
	double scale = fmax(BIAS_WAIT_MS, pool->run_ms);
	double error;

	if (!ended && waited < (double)req->predicted_wait)
		return;
	if (waited < BIAS_WAIT_MS && predicted < BIAS_WAIT_MS)
		return;
	error = (waited + scale) / (predicted + scale);
	if (error < BIAS_MIN)
		error = BIAS_MIN;
	if (error > BIAS_MAX)
		error = BIAS_MAX;
	lane->bias += BIAS_GAIN * (error - lane->bias);
}
