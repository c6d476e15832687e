/*
 * Placing by the engine model: which engine takes a request, and how many
 * others read its prompt with it.
 *
 * Load: prompts from a thousand to some hundred thousand tokens on engines
 * that work in passes.  Harm: a long prompt that is read beside streams of
 * short ones stops all of them for as long as it is read, longer than the pause
 * that they bear; one that is read by a single engine is late by itself.  So a
 * prompt is parted among engines that each can read their part without a pause
 * that their writers would not bear; and streams of short prompts are put
 * together, as far as their pauses allow, so that other engines stay free for
 * the long.
 * Parting costs no work in sum: each part has its share of the pairs.
 */
#include "pool_engine.h"

#include <math.h>

/*
 * Of the pause that a stream bears, what a pass may take; the rest is for
 * what is not foreseen: the way to the caller, retries, other dispatchers.
 */
#define GAP_SHARE 0.72
/* Where a request has waited, what is foreseen may take more of it. */
#define GAP_SHARE_RELAXED 0.92
/* Nobody writes for a caller without a target within a fixed time. */
#define TARGET_DEFAULT_MS 1000
/*
 * Of a target, what one engine may be kept by a part of one prompt.  A longer
 * part keeps a stream there waiting for as long as its entry takes for silence,
 * where this dispatcher does not know of the stream.
 */
#define PART_TARGET_SHARE 0.4
/*
 * How long before engines begin to read it a long prompt is granted at most.
 * For many long prompts at once: engines read the parts that they have in
 * turn, so parts sent early end together, and late; a prompt that waits here
 * goes where it is read at once.
 */
#define START_WITHIN_MS 150
/*
 * And of the time that it has waited, so much more: it needs several engines at
 * once, of which one or other always reads for a shorter prompt.
 */
#define START_WITHIN_WAITED_SHARE 0.3
/*
 * Past this share of the time in which a first event is asked, a request that
 * found no place without harm takes one that delays others' events.
 */
#define PATIENCE_SHARE 0.25
/*
 * A dispatcher that has just taken over is told of the grants of the one before
 * by their entries, within some ticks of 20 ms and the news of the change.
 * Until then it takes engines for idle on which streams run: a long prompt that
 * it parts among them stops those streams until they are given up as silent.
 */
#define TAKEOVER_MS 250
/* However long an engine's grants are overdue, it is no slower than this. */
#define SLOWDOWN_MAX 6.0

static enum pool_found pool_engine_choose(struct dl_pool *pool,
					  const struct pool_want *want,
					  int64_t now, struct pool_choice *out);
static int64_t pool_engine_service_ms(const struct dl_pool *pool,
				      const struct pool_want *want);
static int64_t pool_engine_retry_ms(const struct dl_pool *pool,
				    const struct pool_want *want, int64_t now);
static void pool_engine_granted(struct dl_pool *pool,
				const struct pool_grant *g, double prefill_ms,
				int64_t now);
static void pool_engine_take_over(struct dl_pool *pool, int64_t now);
static void pool_engine_first_event(struct dl_pool *pool,
				    const struct pool_grant *g, int64_t now);
static void pool_engine_learn(struct pool_endpoint *e,
			      const struct pool_grant *g,
			      const struct dl_usage *usage);

/*
 * Whether a prompt is so long that even all engines together would each be at
 * it for most of what anybody is given: its work grows with the square of its
 * length, and while it is read nothing else begins.
 */
static bool exceeds_engines(const struct engine_search *s)
{
	uint32_t n = s->count < DL_GROUP_MAX ? s->count : DL_GROUP_MAX;

	return n && s->prefill_ms / n > s->target_ms * PART_TARGET_SHARE;
}

/* The best place for a request that has waited and would still be late. */
static bool choose_with_cost(struct engine_search *s, struct pool_choice *out)
{
	struct pool_choice place = { 0 };
	double budget = s->weight;

	s->gap_share = GAP_SHARE_RELAXED;
	if ((double)s->waited_ms > s->target_ms)
		budget *= DL_LATE_VALUE;
	if (!pool_engine_place(s, budget, &place))
		return false;
	if ((double)(s->waited_ms + place.ttft_ms) > s->target_ms &&
	    s->prefill_ms > PART_PREFILL_MS && s->pool->queued > 1)
		return false;
	*out = place;
	return true;
}

/*
 * Choose for a request: without harm to others at first; once it has waited
 * for a part of its time, with as much harm as it is worth itself.  A request
 * that will be late anyway is worth a quarter of that, and a long one is not
 * begun late while others wait: each second of it would make one of them late
 * as well.
 */
static enum pool_found pool_engine_choose(struct dl_pool *pool,
					  const struct pool_want *want,
					  int64_t now, struct pool_choice *out)
{
	struct engine_search s = { .pool = pool,
				   .model = &pool->conf.engine,
				   .want = want,
				   .now = now,
				   .waited_ms = now - want->asked,
				   .gap_share = GAP_SHARE };
	struct pool_choice place = { 0 };
	bool found;

	*out = place;
	s.target_ms = want->target_ms ? want->target_ms : TARGET_DEFAULT_MS;
	s.prefill_ms = dl_engine_prefill_ms(s.model, want->prompt);
	s.weight = pool_engine_weight(want);
	pool_engine_collect(&s);
	if (exceeds_engines(&s))
		return POOL_LATE;
	if (s.prefill_ms > PART_PREFILL_MS && now < pool->strange_until)
		return POOL_WAIT;
	found = pool_engine_place(&s, 0, &place);
	if (!found || (double)(s.waited_ms + place.ttft_ms) > s.target_ms) {
		if ((double)s.waited_ms < s.target_ms * PATIENCE_SHARE)
			return POOL_WAIT;
		found = choose_with_cost(&s, &place);
	}
	if (!found)
		return (double)s.waited_ms > s.target_ms &&
				       s.prefill_ms > PART_PREFILL_MS ?
			       POOL_LATE :
			       POOL_WAIT;
	if (s.prefill_ms > PART_PREFILL_MS &&
	    (double)s.waited_ms < s.target_ms &&
	    place.ttft_ms - place.read_ms >
		    START_WITHIN_MS +
			    (double)s.waited_ms * START_WITHIN_WAITED_SHARE)
		return POOL_WAIT;
	pool_engine_predict_end(&s, &place);
	*out = place;
	if (!pool_place_in_time(out, want, now) ||
	    (want->first_by && now + out->ttft_ms > want->first_by))
		return (double)s.waited_ms < s.target_ms ? POOL_WAIT :
							   POOL_LATE;
	return POOL_CHOSEN;
}

/* The whole time of a request on engines that have nothing else to do. */
static int64_t pool_engine_service_ms(const struct dl_pool *pool,
				      const struct pool_want *want)
{
	const struct dl_engine_model *m = &pool->conf.engine;
	uint32_t n = pool->open < DL_GROUP_MAX ? pool->open : DL_GROUP_MAX;
	double passes = (double)want->output / (m->stride ? m->stride : 1);

	return (int64_t)ceil(dl_engine_prefill_ms(m, want->prompt) /
				     (n ? n : 1) +
			     passes * dl_engine_decode_pass_ms(m, 1, 0)) +
	       ROUND_TRIP_MS;
}

/*
 * When one that was refused may find a place: once the engines have read what
 * they have, and half its target for what came meanwhile.  Told too early,
 * callers use their one return for another refusal.
 */
static int64_t pool_engine_retry_ms(const struct dl_pool *pool,
				    const struct pool_want *want, int64_t now)
{
	int64_t target = want->target_ms ? want->target_ms : TARGET_DEFAULT_MS;
	int64_t sum = 0;
	uint32_t n = 0;

	for (uint32_t i = 0; i < pool->endpoints_n; i++) {
		const struct pool_endpoint *e = pool->endpoints[i];

		if (!e->counted_open)
			continue;
		n++;
		if (e->engine.count && e->engine.pass_ends > now)
			sum += e->engine.pass_ends - now;
	}
	return (n ? sum / n : 0) + target / 2;
}

/*
 * A grant was made, or taken over from another dispatcher: its engines have
 * more to do.  read_ms: of the part that each one reads, 0 where it has.
 */
static void pool_engine_granted(struct dl_pool *pool,
				const struct pool_grant *g, double prefill_ms,
				int64_t now)
{
	for (uint8_t i = 0; i < g->parts_n; i++) {
		struct pool_endpoint *e = g->parts[i].endpoint;
		struct dl_engine_item item = {
			.id = g->id,
			.context = g->want.prompt / g->parts_n,
			.gap_ms = i == 0 ? g->want.gap_ms : 0,
			.weight = (float)pool_engine_weight(&g->want),
			.prefill_ms = (float)prefill_ms,
			.target_at = pool_engine_target_at(&g->want),
			.first_by = g->want.first_by,
			.decodes = i == 0,
		};

		if (e)
			dl_engine_add(&e->engine, &pool->conf.engine, &item,
				      now);
	}
}

/* Long prompts wait until the engines are known. */
static void pool_engine_take_over(struct dl_pool *pool, int64_t now)
{
	pool->strange_until = now + TAKEOVER_MS;
}

/* Of a prompt that others read as well it shows the last of them only. */
static void pool_engine_first_event(struct dl_pool *pool,
				    const struct pool_grant *g, int64_t now)
{
	struct pool_endpoint *e = g->parts[0].endpoint;

	if (g->parts_n != 1 || !e)
		return;
	dl_engine_observe_first_event(&e->engine, &pool->conf.engine, g->id,
				      now - ROUND_TRIP_MS / 2);
}

/*
 * Bound an engine's pace, which overdue grants raise.  First events say nothing
 * of it: how late one is shows its company as much as its engine, and a pace
 * that was learnt from them fed on itself (forecasts of 10 s for 0.5 s).
 */
static void pool_engine_learn(struct pool_endpoint *e,
			      const struct pool_grant *g,
			      const struct dl_usage *usage)
{
	if (!usage->ttft_ms || !g->predicted_ttft_ms)
		return;
	e->slow = fmin(fmax(e->slow, 1), SLOWDOWN_MAX);
}

const struct dl_pool_policy dl_policy_engine = {
	.name = "engine",
	.queues = true,
	.choose = pool_engine_choose,
	.service_ms = pool_engine_service_ms,
	.back_ms = pool_engine_retry_ms,
	.granted = pool_engine_granted,
	.lead = pool_engine_take_over,
	.first = pool_engine_first_event,
	.learn = pool_engine_learn,
};
