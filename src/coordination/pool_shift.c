/*
 * Which endpoints lose their share: what answers teach about each one, and
 * when one is put out, probed and taken back.
 */
#include "pool_int.h"

#include <math.h>
#include <stdlib.h>

/*
 * One in five of each sample: an endpoint that has become slow is known after
 * a handful of answers, and one odd answer moves it little.
 */
#define GAIN		0.2
#define POOL_GAIN	0.01 /* over all endpoints */
#define DEVIATION_GAIN	0.1
#define SLOW_MIN	0.1
#define SLOW_MAX	50.0
#define RATIO_MIN	0.25
#define RATIO_MAX	4.0
#define INTERFERENCE_MS 10000.0 /* at most */
/* Added to both sides of a ratio: what short answers take on the way. */
#define NOISE_MS 20.0

/*
 * A request that was overtaken for more than this share of its time says too
 * little about the engine's own speed: how much of the overtaking fell before
 * its first token is only estimated.
 */
#define OVERTAKEN_SHARE 0.1

/*
 * Put out from three times the median on: below that the learnt speed alone
 * already gives it less work, and less would put out the slower half of a
 * mixed fleet.  Never on fewer samples than these, nor against a median of
 * fewer endpoints.  Three failures in a row put out at once.
 */
#define OUTLIER_FACTOR	 3.0
#define OUTLIER_SAMPLES	 5
#define MEDIAN_ENDPOINTS 3
#define OUTLIER_FAILURES 3
#define BACK_FACTOR	 2.0
#define MEDIAN_EVERY_MS	 1000
#define OVERDUE_FACTOR	 3
#define OVERDUE_EXTRA_MS 1000
#define OVERDUE_LOOK_AT	 4
/* Without answers for this long what was learnt fades, within about as long. */
#define FORGET_AFTER_MS	 2000
#define FORGET_MS	 5000.0
#define PROBE_GAP_MS	 1000
#define PROBE_GAP_MAX_MS 16000
#define PROBE_SLACK	 2
#define PROBE_NONE_MS	 30000
#define SLOW_START_MS	 10000
#define PERMILLE	 1000

static double latency_of(const struct dl_pool *pool,
			 const struct pool_endpoint *e);
static int compare_doubles(const void *a, const void *b);
static void find_median(struct dl_pool *pool, int64_t now);
static double clamp(double v, double low, double high);
static void note_first(struct pool_endpoint *e, const struct pool_grant *g,
		       const struct dl_usage *usage);
static void learn_speed(struct dl_pool *pool, struct pool_endpoint *e,
			const struct pool_grant *g,
			const struct dl_usage *usage);
static void learn_interference(struct dl_pool *pool, struct pool_endpoint *e,
			       const struct pool_grant *g, double error);
static void forget(const struct dl_pool *pool, struct pool_endpoint *e,
		   int64_t now);
static void learn_prefill(struct dl_pool *pool, struct pool_endpoint *e,
			  const struct pool_grant *g,
			  const struct dl_usage *usage);
static double overtaken_ms(const struct pool_endpoint *e,
			   const struct pool_grant *g,
			   const struct dl_usage *usage);
static void learn_decode(struct dl_pool *pool, struct pool_endpoint *e,
			 const struct dl_usage *usage);
static void learn_service(struct pool_endpoint *e,
			  const struct dl_usage *usage);
static void probe_ended(struct dl_pool *pool, struct pool_endpoint *e,
			const struct pool_grant *g,
			const struct dl_usage *usage, int64_t now);
static void put_out(struct dl_pool *pool, struct pool_endpoint *e, int64_t now);

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

static void find_median(struct dl_pool *pool, int64_t now)
{
	double *list;
	uint32_t n = 0;

	if (pool->median_at && now < pool->median_at + MEDIAN_EVERY_MS)
		return;
	pool->median_at = now;
	pool->median = 0;
	list = malloc((pool->endpoints_n + 1) * sizeof(*list));
	if (!list)
		abort();
	for (uint32_t i = 0; i < pool->endpoints_n; i++)
		if (pool->endpoints[i]->counted_open &&
		    pool->endpoints[i]->samples >= OUTLIER_SAMPLES)
			list[n++] = latency_of(pool, pool->endpoints[i]);
	if (n >= MEDIAN_ENDPOINTS) {
		qsort(list, n, sizeof(*list), compare_doubles);
		pool->median = list[n / 2];
	}
	free(list);
}

/*
 * How much work overtook a request until its first token: all that was
 * committed on its endpoint at higher levels while it ran, by the share of
 * that time which its prefill took.  Without it every short prompt that goes
 * before a long one would look like a slow engine.
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
 * The engine's speed: from the moment at which it was free for a request, its
 * grant or the first token of the one before it, to its own first token.  The
 * time it waited there is left out: it shows what the pool gave the engine
 * before, and learning from it would answer an error in the speed seconds
 * later by a larger one in the other direction.
 */
static void learn_speed(struct dl_pool *pool, struct pool_endpoint *e,
			const struct pool_grant *g,
			const struct dl_usage *usage)
{
	const struct pool_first *before =
		&e->first[(g->order - 1) % POOL_FIRSTS];
	double nominal = (double)(g->want.prompt - g->saved) *
			 pool_ms_per_token(pool, e) / e->slow;
	int64_t first = g->since + usage->ttft_ms;
	int64_t start = g->since;
	double ratio;

	if (g->order > 1 && before->order != g->order - 1)
		return;
	if (g->order > 1 && before->at > start)
		start = before->at;
	if (first <= start)
		return;
	ratio = ((double)(first - start) + NOISE_MS) / (nominal + NOISE_MS);
	ratio = clamp(ratio, SLOW_MIN, SLOW_MAX);
	e->slow += GAIN * (ratio - e->slow);
}

/*
 * How long lower work holds up higher work that was put before it: a step of
 * an engine that honours priorities, the whole of a long prompt on one that
 * does not.  Learnt from short prompts, whose own time hides least of it.
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

	if (g->crowded)
		return;
	if (g->saved && ratio > BACK_FACTOR) {
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
	double nominal = pool_decode_ms(e) / e->decode_slow;
	double measured, error;

	if (usage->output_tokens == 0 || usage->total_ms <= usage->ttft_ms)
		return;
	measured = (double)(usage->total_ms - usage->ttft_ms) /
		   (double)usage->output_tokens;
	error = fabs(measured / (nominal * e->decode_slow) - 1);
	error = clamp(error, 0, RATIO_MAX);
	e->decode_deviation += DEVIATION_GAIN * (error - e->decode_deviation);
	pool->decode_deviation += POOL_GAIN * (error - pool->decode_deviation);
	e->decode_slow += GAIN * (measured / nominal - e->decode_slow);
	e->decode_slow = clamp(e->decode_slow, SLOW_MIN, SLOW_MAX);
}

static void learn_service(struct pool_endpoint *e, const struct dl_usage *usage)
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
	e->service_ms += GAIN * (measured - e->service_ms);
	e->service_ms = clamp(e->service_ms, 1, INTERFERENCE_MS);
}

static void note_first(struct pool_endpoint *e, const struct pool_grant *g,
		       const struct dl_usage *usage)
{
	struct pool_first *first = &e->first[g->order % POOL_FIRSTS];

	if (g->order < first->order || usage->ttft_ms == 0)
		return;
	first->order = g->order;
	first->at = g->since + usage->ttft_ms;
}

/*
 * Learn from the end of a grant, unless another dispatcher gave it: its times
 * are not known here.  From the endpoint's own answer to one
 * request only: what a group took says little about each of its engines, and
 * one that its caller gave up on nothing at all.
 */
void pool_shift_learn(struct dl_pool *pool, struct pool_grant *g,
		      const struct dl_usage *usage, int64_t now)
{
	bool answered = usage->ttft_ms || usage->total_ms <= 1;
	struct pool_endpoint *e = g->parts[0].endpoint;

	if (!e || !usage->ran || g->adopted)
		return;
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
			learn_service(e, usage);
		} else if (usage->ttft_ms && !g->overdue_counted) {
			note_first(e, g, usage);
			learn_prefill(pool, e, g, usage);
			learn_decode(pool, e, usage);
		}
		e->samples++;
		e->learnt_at = now;
	}
	if (e->probe == g->id && (answered || usage->failed))
		probe_ended(pool, e, g, usage, now);
	pool_shift_judge(pool, e, now);
}

/*
 * An endpoint that has stopped answering sends no sample at all; its oldest
 * grants count as three times their prediction once they have taken longer.
 */
void pool_shift_overdue(struct dl_pool *pool, struct pool_endpoint *e,
			int64_t now)
{
	struct pool_part *part = e->parts;

	for (int i = 0; part && i < OVERDUE_LOOK_AT; i++) {
		struct pool_grant *g = part->grant;
		int64_t limit =
			(int64_t)OVERDUE_FACTOR * g->predicted_total_ms +
			OVERDUE_EXTRA_MS;

		if (!g->overdue_counted && g->predicted_total_ms &&
		    now - g->since > limit) {
			g->overdue_counted = true;
			e->samples++;
			e->slow = clamp(
				e->slow * (1 + GAIN * (OVERDUE_FACTOR - 1)),
				SLOW_MIN, SLOW_MAX);
		}
		part = part->next;
	}
	pool_shift_judge(pool, e, now);
}

static void put_out(struct dl_pool *pool, struct pool_endpoint *e, int64_t now)
{
	e->shift = POOL_OUT;
	e->shifted_at = now;
	e->probe_gap_ms = PROBE_GAP_MS;
	e->probe_at = now + PROBE_GAP_MS;
	e->probe = 0;
	pool->out++;
	if (pool->out == 1 || pool->probe_at > e->probe_at)
		pool->probe_at = e->probe_at;
	pool_hold_lost(pool, e);
	pool->recheck_all = true;
}

/*
 * Put an outlier out: one whose answers take three times the pool's median,
 * or fail.  For the one slow endpoint in a healthy pool, which would hold
 * every request it is given past its prediction.  The configured share of the
 * pool bounds it (one at the least, of two or more): where many are slow it is
 * the load or something shared, and putting them out would only move the
 * overload to the rest.
 */
void pool_shift_judge(struct dl_pool *pool, struct pool_endpoint *e,
		      int64_t now)
{
	uint32_t all = pool->open + pool->out;
	uint64_t max = (uint64_t)all * pool->conf.out_share_permille / PERMILLE;
	bool failing = e->failures >= OUTLIER_FAILURES;
	bool slow;

	find_median(pool, now);
	if (max < 1 && all > 1 && pool->conf.out_share_permille)
		max = 1;
	slow = pool->median > 0 && e->samples >= OUTLIER_SAMPLES &&
	       latency_of(pool, e) > OUTLIER_FACTOR * pool->median;
	if (pool->policy->queues && e->shift != POOL_OUT && e->counted_open &&
	    (failing || slow) && pool->out < max)
		put_out(pool, e, now);
	pool_place_refresh(pool, e, now);
}

/* Take an endpoint back in, with a share that grows over some seconds. */
void pool_shift_back(struct dl_pool *pool, struct pool_endpoint *e, int64_t now)
{
	if (e->shift == POOL_OUT)
		pool->out--;
	e->shift = POOL_SLOW_START;
	e->shifted_at = now;
	e->failures = 0;
	e->probe = 0;
	pool_place_refresh(pool, e, now);
}

/*
 * Take the outliers back in where nothing else is left.  For the endpoint that
 * was put out while others stood, and these then left: a slow or faulty one
 * serves some of its requests, none serves nobody.
 */
void pool_shift_recall(struct dl_pool *pool, int64_t now)
{
	for (uint32_t i = 0; pool->out && i < pool->endpoints_n; i++) {
		struct pool_endpoint *e = pool->endpoints[i];

		if (e->shift == POOL_OUT && e->state == POOL_EP_LIVE &&
		    !e->drained && !e->last.leaving)
			pool_shift_back(pool, e, now);
	}
}

/* An endpoint is no longer there to be put out. */
void pool_shift_gone(struct dl_pool *pool, struct pool_endpoint *e)
{
	if (e->shift == POOL_OUT)
		pool->out--;
	e->shift = POOL_IN;
	e->probe = 0;
}

/* A new incarnation: what was learnt about the old one is void. */
void pool_shift_reset(struct dl_pool *pool, struct pool_endpoint *e)
{
	pool_shift_gone(pool, e);
	e->slow = 1;
	dl_engine_init(&e->engine);
	e->decode_slow = 1;
	e->deviation = 0;
	e->decode_deviation = 0;
	e->interference_ms = pool->interference_ms;
	e->service_ms = pool->median > 0 ? pool->median : 1;
	e->samples = 0;
	e->failures = 0;
}

/*
 * How many requests an endpoint may have at once.  After its return from an
 * outage this grows over ten seconds: its caches are cold, and if it is still
 * ill, a few requests show that as well as all of them would.
 */
uint32_t pool_shift_slots(const struct pool_endpoint *e, int64_t now)
{
	int64_t passed = now - e->shifted_at;
	uint64_t slots;

	if (e->shift != POOL_SLOW_START || passed >= SLOW_START_MS)
		return e->last.slots;
	if (passed < 0)
		passed = 0;
	slots = (uint64_t)e->last.slots * (uint64_t)passed / SLOW_START_MS;
	return slots ? (uint32_t)slots : 1;
}

static void probe_ended(struct dl_pool *pool, struct pool_endpoint *e,
			const struct pool_grant *g,
			const struct dl_usage *usage, int64_t now)
{
	double expected = (double)g->want.prompt * pool->median;
	double measured = usage->ttft_ms ? usage->ttft_ms : usage->total_ms;

	e->probe = 0;
	if (!usage->failed &&
	    measured <= BACK_FACTOR * expected + 2 * NOISE_MS) {
		double now_is = latency_of(pool, e);

		if (pool->median > 0 && now_is > pool->median) {
			e->slow *= pool->median / now_is;
			e->service_ms = pool->median;
		}
		pool_shift_back(pool, e, now);
		return;
	}
	if (e->probe_gap_ms < PROBE_GAP_MAX_MS)
		e->probe_gap_ms *= 2;
	e->probe_at = now + e->probe_gap_ms;
}

/*
 * An endpoint that is out and due for a probe, if this request may be it.
 * Only short ones that are not urgent and have twice the time they
 * need: a probe may fail, and its caller must be able to bear a second try.
 * One at a time, after twice the gap each time it fails, so that an ill
 * endpoint costs less and less.  Where no such request comes for half a
 * minute, the endpoint is taken back with a slow start, for a pool of nothing
 * but urgent requests would never know.
 */
struct pool_endpoint *pool_shift_probe(struct dl_pool *pool,
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

		if (e->shift != POOL_OUT || e->probe)
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
 * Without answers what was learnt fades, interference to what the pool's
 * other engines, which are of its kind, show: an endpoint that is believed slow
 * gets no requests, and would otherwise be believed slow for good.  All of a
 * pool could be, after a bad minute.
 */
static void forget(const struct dl_pool *pool, struct pool_endpoint *e,
		   int64_t now)
{
	int64_t silent = now - e->learnt_at;
	double keep;

	if (silent < FORGET_AFTER_MS)
		return;
	keep = exp(-(double)(silent - FORGET_AFTER_MS) / FORGET_MS);
	e->slow = 1 + (e->slow - 1) * keep;
	e->deviation *= keep;
	e->decode_deviation *= keep;
	e->interference_ms =
		pool->interference_ms +
		(e->interference_ms - pool->interference_ms) * keep;
	e->learnt_at = now - FORGET_AFTER_MS;
}

/* Take back an endpoint that nothing could probe, and end a slow start. */
void pool_shift_tick(struct dl_pool *pool, struct pool_endpoint *e, int64_t now)
{
	if (e->shift == POOL_OUT && !e->probe &&
	    now >= e->probe_at + PROBE_NONE_MS)
		pool_shift_back(pool, e, now);
	if (e->shift == POOL_SLOW_START && now >= e->shifted_at + SLOW_START_MS)
		e->shift = POOL_IN;
	if (e->shift != POOL_OUT)
		forget(pool, e, now);
}
