/*
 * Outlier detection: learning latency and failures of each endpoint from its
 * answers, and ejecting, probing and readmitting endpoints.
 */
#include "pool_int.h"

#include <math.h>
#include <stdlib.h>

/*
 * Moving average with a gain of one in five: a slow endpoint is recognized
 * after a handful of answers, and a single odd answer has little effect.
 */
#define SAMPLE_GAIN	0.2
#define POOL_GAIN	0.01 /* over all endpoints */
#define DEVIATION_GAIN	0.1
#define SLOW_MIN	0.1
#define SLOW_MAX	50.0
#define RATIO_MIN	0.25
#define RATIO_MAX	4.0
#define INTERFERENCE_MS 10000.0 /* upper bound */
/* Added to both sides of a ratio: network time of short answers. */
#define NOISE_MS 20.0

/*
 * A request that was overtaken for more than this share of its time says too
 * little about the speed of the engine: how much of the overtaking happened
 * before its first token is only estimated.
 */
#define OVERTAKEN_SHARE 0.1

/*
 * Endpoints are ejected from three times the median latency: below that, the
 * learned speed alone reduces their work, and a lower factor would eject the
 * slower half of a mixed fleet.  A minimum of samples, and of endpoints for the
 * median, is required.  Three consecutive failures eject at once.
 */
#define OUTLIER_FACTOR	     3.0
#define OUTLIER_SAMPLES_MIN  5
#define MEDIAN_ENDPOINTS_MIN 3
#define OUTLIER_FAILURES     3
#define READMIT_FACTOR	     2.0
#define MEDIAN_INTERVAL_MS   1000
#define OVERDUE_FACTOR	     3
#define OVERDUE_EXTRA_MS     1000
#define OVERDUE_SCAN_MAX     4
/*
 * Without answers for this long, learned values decay with this time constant.
 */
#define DECAY_AFTER_MS	 2000
#define DECAY_MS	 5000.0
#define PROBE_GAP_MS	 1000
#define PROBE_GAP_MAX_MS 16000
#define PROBE_SLACK	 2
#define PROBE_TIMEOUT_MS 30000
#define SLOW_START_MS	 10000
#define PERMILLE	 1000

static double latency_of(const struct dl_pool *pool,
			 const struct pool_endpoint *e);
static int compare_doubles(const void *a, const void *b);
static void update_median(struct dl_pool *pool, int64_t now);
static double clamp(double v, double low, double high);
static void record_first_token(struct pool_endpoint *e,
			       const struct pool_grant *g,
			       const struct dl_usage *usage);
static void learn_speed(struct dl_pool *pool, struct pool_endpoint *e,
			const struct pool_grant *g,
			const struct dl_usage *usage);
static void learn_interference(struct dl_pool *pool, struct pool_endpoint *e,
			       const struct pool_grant *g, double error);
static void decay_estimates(const struct dl_pool *pool, struct pool_endpoint *e,
			    int64_t now);
static void learn_prefill(struct dl_pool *pool, struct pool_endpoint *e,
			  const struct pool_grant *g,
			  const struct dl_usage *usage);
static double overtaken_ms(const struct pool_endpoint *e,
			   const struct pool_grant *g,
			   const struct dl_usage *usage);
static void learn_decode(struct dl_pool *pool, struct pool_endpoint *e,
			 const struct dl_usage *usage);
static void learn_service_time(struct pool_endpoint *e,
			       const struct dl_usage *usage);
static void probe_ended(struct dl_pool *pool, struct pool_endpoint *e,
			const struct pool_grant *g,
			const struct dl_usage *usage, int64_t now);
static void probe_again(struct dl_pool *pool, struct pool_endpoint *e,
			int64_t now);
static void eject(struct dl_pool *pool, struct pool_endpoint *e, int64_t now);

static double clamp(double v, double low, double high)
{
	if (v < low)
		return low;
	return v > high ? high : v;
}

static double latency_of(const struct dl_pool *pool,
			 const struct pool_endpoint *e)
{
	return pool_ms_per_token(pool, e);
}

static int compare_doubles(const void *a, const void *b)
{
	double x = *(const double *)a, y = *(const double *)b;

	return (x > y) - (x < y);
}

static void update_median(struct dl_pool *pool, int64_t now)
{
	double *list;
	uint32_t n = 0;

	if (pool->median_at && now < pool->median_at + MEDIAN_INTERVAL_MS)
		return;
	pool->median_at = now;
	pool->median = 0;
	list = malloc((pool->endpoints_n + 1) * sizeof(*list));
	if (!list)
		abort();
	for (uint32_t i = 0; i < pool->endpoints_n; i++)
		if (pool->endpoints[i]->counted_open &&
		    pool->endpoints[i]->samples >= OUTLIER_SAMPLES_MIN)
			list[n++] = latency_of(pool, pool->endpoints[i]);
	if (n >= MEDIAN_ENDPOINTS_MIN) {
		qsort(list, n, sizeof(*list), compare_doubles);
		pool->median = list[n / 2];
	}
	free(list);
}

/*
 * Estimate of the work that overtook a request before its first token: all that
 * was committed on its endpoint at higher levels while it ran, times the
 * fraction of that time that its prefill took.  Without it every short prompt
 * that goes before a long one would make the engine look slow.
 */
static double overtaken_ms(const struct pool_endpoint *e,
			   const struct pool_grant *g,
			   const struct dl_usage *usage)
{
	int64_t all =
		pool_backlog_higher_ms(e, pool_level(&g->want)) - g->higher_ms;

	if (all <= 0 || usage->total_ms == 0)
		return 0;
	return (double)all * usage->ttft_ms / usage->total_ms;
}

/*
 * Learn the speed of an engine from the time between the moment at which it was
 * free for a request, which is the grant or the first token of the previous
 * request, and the first token of the request.  The time queued in the engine
 * is excluded: it depends on what the pool granted before, and learning from it
 * would correct an error in the speed seconds later by a larger one in the
 * other direction.
 */
static void learn_speed(struct dl_pool *pool, struct pool_endpoint *e,
			const struct pool_grant *g,
			const struct dl_usage *usage)
{
	const struct pool_first_token *before =
		&e->first_tokens[(g->seq - 1) % POOL_FIRST_TOKENS];
	double nominal = (double)(g->want.prompt - g->cached_tokens) *
			 pool_ms_per_token(pool, e) / e->prefill_slowdown;
	int64_t first = g->since + usage->ttft_ms;
	int64_t start = g->since;
	double ratio;

	if (g->seq > 1 && before->seq != g->seq - 1)
		return;
	if (g->seq > 1 && before->at > start)
		start = before->at;
	if (first <= start)
		return;
	ratio = ((double)(first - start) + NOISE_MS) / (nominal + NOISE_MS);
	ratio = clamp(ratio, SLOW_MIN, SLOW_MAX);
	e->prefill_slowdown += SAMPLE_GAIN * (ratio - e->prefill_slowdown);
}

/*
 * Learn how long work of a lower level delays work of a higher one: a step of
 * an engine that honours priorities, a whole long prompt on one that does not.
 * Learned from short prompts, whose own time hides least of it.
 */
static void learn_interference(struct dl_pool *pool, struct pool_endpoint *e,
			       const struct pool_grant *g, double error)
{
	double sample = g->interference_ms + error;

	e->interference_ms += DEVIATION_GAIN * (sample - e->interference_ms);
	e->interference_ms = clamp(e->interference_ms, 0, INTERFERENCE_MS);
	pool->interference_ms +=
		DEVIATION_GAIN * (sample - pool->interference_ms);
	pool->interference_ms =
		clamp(pool->interference_ms, 0, INTERFERENCE_MS);
}

static void learn_prefill(struct dl_pool *pool, struct pool_endpoint *e,
			  const struct pool_grant *g,
			  const struct dl_usage *usage)
{
	double measured = usage->ttft_ms;
	double overtaken = overtaken_ms(e, g, usage);
	double predicted = g->predicted_ttft_ms + overtaken;
	double ratio = clamp((measured + NOISE_MS) / (predicted + NOISE_MS),
			     RATIO_MIN, RATIO_MAX);

	if (g->reordered)
		return;
	if (g->cached_tokens && ratio > READMIT_FACTOR) {
		pool_prefix_forget(pool, g->want.prefix, e);
		return;
	}
	if (g->behind_lower) {
		if (g->want.band == POOL_SHORT)
			learn_interference(pool, e, g, measured - predicted);
		return;
	}
	if (overtaken > predicted * OVERTAKEN_SHARE)
		return;
	learn_speed(pool, e, g, usage);
	ratio = ratio > 1 ? ratio - 1 : 1 - ratio;
	e->deviation += DEVIATION_GAIN * (ratio - e->deviation);
	pool->deviation += POOL_GAIN * (ratio - pool->deviation);
}

static void learn_decode(struct dl_pool *pool, struct pool_endpoint *e,
			 const struct dl_usage *usage)
{
	double nominal = pool_decode_ms(e) / e->decode_slowdown;
	double measured, error;

	if (usage->output_tokens == 0 || usage->total_ms <= usage->ttft_ms)
		return;
	measured = (double)(usage->total_ms - usage->ttft_ms) /
		   (double)usage->output_tokens;
	error = fabs(measured / (nominal * e->decode_slowdown) - 1);
	error = clamp(error, 0, RATIO_MAX);
	e->decode_deviation += DEVIATION_GAIN * (error - e->decode_deviation);
	pool->decode_deviation += POOL_GAIN * (error - pool->decode_deviation);
	e->decode_slowdown +=
		SAMPLE_GAIN * (measured / nominal - e->decode_slowdown);
	e->decode_slowdown = clamp(e->decode_slowdown, SLOW_MIN, SLOW_MAX);
}

static void learn_service_time(struct pool_endpoint *e,
			       const struct dl_usage *usage)
{
	double measured = usage->total_ms ? usage->total_ms : 1;
	double error;

	if (e->samples == 0)
		e->service_ms = measured;
	error = measured / e->service_ms - 1;
	if (error < 0)
		error = -error;
	e->deviation +=
		DEVIATION_GAIN * (clamp(error, 0, RATIO_MAX) - e->deviation);
	e->service_ms += SAMPLE_GAIN * (measured - e->service_ms);
	e->service_ms = clamp(e->service_ms, 1, INTERFERENCE_MS);
}

static void record_first_token(struct pool_endpoint *e,
			       const struct pool_grant *g,
			       const struct dl_usage *usage)
{
	struct pool_first_token *first =
		&e->first_tokens[g->seq % POOL_FIRST_TOKENS];

	if (g->seq < first->seq || usage->ttft_ms == 0)
		return;
	first->seq = g->seq;
	first->at = g->since + usage->ttft_ms;
}

/*
 * Learn from the end of a grant, unless another dispatcher gave it, as its
 * times are unknown here.  Only answers of one endpoint to one request count:
 * the times of a group say little about each of its engines, and those of a
 * request that its caller abandoned say nothing.
 */
void pool_outlier_learn(struct dl_pool *pool, struct pool_grant *g,
			const struct dl_usage *usage, int64_t now)
{
	bool answered = usage->ttft_ms || usage->total_ms <= 1;
	struct pool_endpoint *e = g->parts[0].endpoint;

	if (!e || !usage->ran || g->adopted)
		return;
	if (usage->unjudged) {
		if (e->probe == g->id)
			probe_again(pool, e, now);
		return;
	}
	if (usage->failed)
		e->failures++;
	else if (answered)
		e->failures = 0;
	if (pool->policy->learn) {
		if (answered && !usage->failed) {
			pool->policy->learn(e, g, usage);
			e->samples++;
			e->learnt_at = now;
		}
	} else if (g->parts_n == 1 && answered && !usage->failed) {
		if (pool->conf.kind == DL_POOL_PLAIN) {
			learn_service_time(e, usage);
		} else if (usage->ttft_ms && !g->overdue_counted) {
			record_first_token(e, g, usage);
			learn_prefill(pool, e, g, usage);
			learn_decode(pool, e, usage);
		}
		e->samples++;
		e->learnt_at = now;
	}
	if (e->probe == g->id && (answered || usage->failed))
		probe_ended(pool, e, g, usage, now);
	pool_outlier_evaluate(pool, e, now);
}

/*
 * Count attempts that the endpoint broke off, as was found after their grants
 * had ended.
 */
void dl_pool_endpoint_failed(struct dl_pool *pool, struct dl_str id,
			     uint32_t attempts, int64_t now)
{
	struct pool_endpoint *e = pool_endpoint_find(pool, id);

	pool->now = now;
	if (!e)
		return;
	e->failures += attempts;
	pool_outlier_evaluate(pool, e, now);
}

/*
 * An endpoint that has stopped answering yields no samples.  Its oldest grants
 * are counted as three times their prediction once they exceed it.
 */
void pool_outlier_check_overdue(struct dl_pool *pool, struct pool_endpoint *e,
				int64_t now)
{
	struct pool_part *part = e->parts;

	for (int i = 0; part && i < OVERDUE_SCAN_MAX; i++) {
		struct pool_grant *g = part->grant;
		int64_t limit =
			(int64_t)OVERDUE_FACTOR * g->predicted_total_ms +
			OVERDUE_EXTRA_MS;

		if (!g->overdue_counted && g->predicted_total_ms &&
		    now - g->since > limit) {
			g->overdue_counted = true;
			e->samples++;
			e->prefill_slowdown = clamp(
				e->prefill_slowdown *
					(1 +
					 SAMPLE_GAIN * (OVERDUE_FACTOR - 1)),
				SLOW_MIN, SLOW_MAX);
		}
		part = part->next;
	}
	pool_outlier_evaluate(pool, e, now);
}

static void eject(struct dl_pool *pool, struct pool_endpoint *e, int64_t now)
{
	e->ejection = POOL_EJECTED;
	e->ejection_changed_at = now;
	e->probe_gap_ms = PROBE_GAP_MS;
	e->probe_at = now + PROBE_GAP_MS;
	e->probe = 0;
	pool->ejected++;
	if (pool->ejected == 1 || pool->probe_at > e->probe_at)
		pool->probe_at = e->probe_at;
	pool_hold_lost(pool, e);
	pool->recheck_all = true;
}

/*
 * Eject an endpoint whose answers take three times the pool's median, or fail:
 * one slow endpoint in a healthy pool would delay every request it is given
 * beyond its prediction.  The number of ejected endpoints is bounded by the
 * configured share of the pool (at least one, in a pool of two or more): if
 * many are slow, the cause is load or something shared, and ejecting them would
 * only move the overload to the rest.
 */
void pool_outlier_evaluate(struct dl_pool *pool, struct pool_endpoint *e,
			   int64_t now)
{
	uint32_t all = pool->open_endpoints + pool->ejected;
	uint64_t max = (uint64_t)all * pool->conf.out_share_permille / PERMILLE;
	bool failing = e->failures >= OUTLIER_FAILURES;
	bool slow;

	update_median(pool, now);
	if (max < 1 && all > 1 && pool->conf.out_share_permille)
		max = 1;
	slow = pool->median > 0 && e->samples >= OUTLIER_SAMPLES_MIN &&
	       latency_of(pool, e) > OUTLIER_FACTOR * pool->median;
	if (pool->policy->queues && e->ejection != POOL_EJECTED &&
	    e->counted_open && (failing || slow) && pool->ejected < max)
		eject(pool, e, now);
	pool_place_refresh(pool, e, now);
}

/* Readmit an endpoint with a share that grows over some seconds. */
void pool_outlier_readmit(struct dl_pool *pool, struct pool_endpoint *e,
			  int64_t now)
{
	if (e->ejection == POOL_EJECTED)
		pool->ejected--;
	e->ejection = POOL_SLOW_START;
	e->ejection_changed_at = now;
	e->failures = 0;
	e->probe = 0;
	pool_place_refresh(pool, e, now);
}

/*
 * Readmit all ejected endpoints if no others are left, for example because the
 * others departed later: a slow or faulty endpoint serves some requests, an
 * empty pool serves none.
 */
void pool_outlier_readmit_all(struct dl_pool *pool, int64_t now)
{
	for (uint32_t i = 0; pool->ejected && i < pool->endpoints_n; i++) {
		struct pool_endpoint *e = pool->endpoints[i];

		if (e->ejection == POOL_EJECTED && e->state == POOL_EP_LIVE &&
		    !e->drained && !e->last.leaving)
			pool_outlier_readmit(pool, e, now);
	}
}

/* Clear the ejection of an endpoint that is closed or removed. */
void pool_outlier_clear(struct dl_pool *pool, struct pool_endpoint *e)
{
	if (e->ejection == POOL_EJECTED)
		pool->ejected--;
	e->ejection = POOL_IN_SERVICE;
	e->probe = 0;
}

/* A new incarnation: discard what was learned about the previous one. */
void pool_outlier_reset(struct dl_pool *pool, struct pool_endpoint *e)
{
	pool_outlier_clear(pool, e);
	e->prefill_slowdown = 1;
	dl_engine_init(&e->engine);
	e->decode_slowdown = 1;
	e->deviation = 0;
	e->decode_deviation = 0;
	e->interference_ms = pool->interference_ms;
	e->service_ms = pool->median > 0 ? pool->median : 1;
	e->samples = 0;
	e->failures = 0;
}

/*
 * How many requests an endpoint may run at once.  After an outage this grows
 * over ten seconds: its caches are cold, and if it is still faulty, a few
 * requests show that as well as many.
 */
uint32_t pool_outlier_slots(const struct pool_endpoint *e, int64_t now)
{
	int64_t passed = now - e->ejection_changed_at;
	uint64_t slots;

	if (e->ejection != POOL_SLOW_START || passed >= SLOW_START_MS)
		return e->last.slots;
	if (passed < 0)
		passed = 0;
	slots = (uint64_t)e->last.slots * (uint64_t)passed / SLOW_START_MS;
	return slots ? (uint32_t)slots : 1;
}

/* A probe ended without saying anything about the endpoint. */
static void probe_again(struct dl_pool *pool, struct pool_endpoint *e,
			int64_t now)
{
	e->probe = 0;
	e->probe_at = now;
	pool->probe_at = now;
}

static void probe_ended(struct dl_pool *pool, struct pool_endpoint *e,
			const struct pool_grant *g,
			const struct dl_usage *usage, int64_t now)
{
	double expected = (double)g->want.prompt * pool->median;
	double measured = usage->ttft_ms ? usage->ttft_ms : usage->total_ms;

	e->probe = 0;
	if (!usage->failed &&
	    measured <= READMIT_FACTOR * expected + 2 * NOISE_MS) {
		double latency = latency_of(pool, e);

		if (pool->median > 0 && latency > pool->median) {
			e->prefill_slowdown *= pool->median / latency;
			e->service_ms = pool->median;
		}
		pool_outlier_readmit(pool, e, now);
		return;
	}
	if (e->probe_gap_ms < PROBE_GAP_MAX_MS)
		e->probe_gap_ms *= 2;
	e->probe_at = now + e->probe_gap_ms;
}

/*
 * Find an ejected endpoint that is due for a probe by this request.  Only short
 * requests that are not urgent and have twice the time they need are used as
 * probes: a probe may fail, and its caller must be able to afford a second
 * attempt.  There is one probe at a time, and the interval doubles after each
 * failure, so that a faulty endpoint costs less and less.  If no such request
 * arrives for half a minute, the endpoint is readmitted with a slow start;
 * otherwise a pool with urgent requests only would never find out.
 */
struct pool_endpoint *pool_outlier_probe(struct dl_pool *pool,
					 const struct pool_want *want,
					 int64_t now)
{
	struct pool_endpoint *found = NULL;
	int64_t next = INT64_MAX;

	if (now < pool->probe_at)
		return NULL;
	if (want->class == DL_CLASS_URGENT || want->band != POOL_SHORT)
		return NULL;
	if (want->deadline - now < PROBE_SLACK * pool_service_ms(pool, want))
		return NULL;
	for (uint32_t i = 0; i < pool->endpoints_n; i++) {
		struct pool_endpoint *e = pool->endpoints[i];

		if (e->ejection != POOL_EJECTED || e->probe)
			continue;
		if (e->probe_at > now) {
			next = e->probe_at < next ? e->probe_at : next;
			continue;
		}
		if (!found && e->state == POOL_EP_LIVE && !e->drained &&
		    !e->last.leaving && !e->unreachable &&
		    e->grants < e->last.slots &&
		    want->need <= pool_place_free_memory(e) &&
		    pool_place_allowed(pool, want, e, now))
			found = e;
	}
	if (!found)
		pool->probe_at = next < now + PROBE_GAP_MS ? next :
							     now + PROBE_GAP_MS;
	return found;
}

/*
 * Without answers, learned values decay, interference towards the pool's mean,
 * as its other engines are of the same kind.  An endpoint believed to be slow
 * gets no requests and would otherwise be believed slow forever; after a bad
 * minute this could affect the whole pool.
 */
static void decay_estimates(const struct dl_pool *pool, struct pool_endpoint *e,
			    int64_t now)
{
	int64_t silent = now - e->learnt_at;
	double keep;

	if (silent < DECAY_AFTER_MS)
		return;
	keep = exp(-(double)(silent - DECAY_AFTER_MS) / DECAY_MS);
	e->prefill_slowdown = 1 + (e->prefill_slowdown - 1) * keep;
	e->deviation *= keep;
	e->decode_deviation *= keep;
	e->interference_ms =
		pool->interference_ms +
		(e->interference_ms - pool->interference_ms) * keep;
	e->learnt_at = now - DECAY_AFTER_MS;
}

/* Readmit an endpoint that could not be probed, and end a slow start. */
void pool_outlier_tick(struct dl_pool *pool, struct pool_endpoint *e,
		       int64_t now)
{
	if (e->ejection == POOL_EJECTED && !e->probe &&
	    now >= e->probe_at + PROBE_TIMEOUT_MS)
		pool_outlier_readmit(pool, e, now);
	if (e->ejection == POOL_SLOW_START &&
	    now >= e->ejection_changed_at + SLOW_START_MS)
		e->ejection = POOL_IN_SERVICE;
	if (e->ejection != POOL_EJECTED)
		decay_estimates(pool, e, now);
}
