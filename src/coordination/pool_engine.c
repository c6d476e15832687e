/*
 * Placement by the engine model: selects the engine that takes a request and
 * the engines that prefill parts of its prompt.
 *
 * Prompts range from a thousand to several hundred thousand tokens.  A long
 * prompt that is prefilled beside streams of short ones pauses all of them for
 * longer than they tolerate, and on a single engine its own first event is
 * late.  A prompt is therefore split among engines that can each prefill their
 * part without exceeding the gaps of their streams.  Streams of short prompts
 * are consolidated on few engines, as far as their gaps allow, so that the
 * other engines stay free for long prompts.
 * Splitting adds no work in total: the parts share the attention work evenly.
 */
#include "pool_engine.h"

#include <math.h>

/*
 * Share of a stream's tolerated gap that a pass may use.  The rest is a margin
 * for what the forecast leaves out: network latency to the caller, retries and
 * grants of other dispatchers.
 */
#define GAP_SHARE 0.72
/* The same share for a request that has waited. */
#define GAP_SHARE_RELAXED 0.92
/* Target of a request that names none. */
#define TARGET_DEFAULT_MS 1000
/*
 * Share of the target that prefilling one part may take on an engine.  A longer
 * part could pause a stream that this dispatcher does not know of until its
 * entry takes the endpoint for silent.
 */
#define PART_TARGET_SHARE 0.4
/*
 * A long prompt is granted only if its prefill can begin within this time.
 * Engines prefill their parts in order, so with many long prompts at once parts
 * that are sent early all end late, while a prompt that stays in the queue can
 * go to engines that begin at once.
 */
#define START_WITHIN_MS 150
/*
 * Share of the time waited that is added to START_WITHIN_MS.  A long prompt
 * needs several engines at once, and one of them is usually busy with a shorter
 * prompt.
 */
#define START_WITHIN_WAITED_SHARE 0.3
/*
 * A request that has waited for this share of its target may be placed where it
 * delays events of others.
 */
#define PATIENCE_SHARE 0.25
/*
 * After a takeover, long prompts wait this long.  Entries report the grants of
 * the previous dispatcher within a few ticks of 20 ms after they learn of the
 * change.  Until then busy engines look idle, and a long prompt split among
 * them would pause their streams until their endpoints are taken for silent.
 */
#define TAKEOVER_MS 250
/*
 * Longest prefill that an adopted grant may still have: callers give up by
 * then, so a longer one is a fault of the VM that reported it.
 */
#define ADOPTED_REST_MAX_MS 15000.0
/* Bound on the slowdown that overdue grants can give an engine. */
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
static void pool_engine_adopted(struct dl_pool *pool,
				const struct pool_grant *g,
				uint32_t predicted_ttft_ms,
				const struct dl_adoption *adoption,
				int64_t now);
static void pool_engine_take_over(struct dl_pool *pool, int64_t now);
static void pool_engine_first_event(struct dl_pool *pool,
				    const struct pool_grant *g, int64_t now);
static void pool_engine_learn(struct pool_endpoint *e,
			      const struct pool_grant *g,
			      const struct dl_usage *usage);

/*
 * Whether a prompt is too long even if it is split among as many engines as
 * possible.  Prefill work grows with the square of its length, and nothing else
 * begins on these engines meanwhile.
 */
static bool is_too_long(const struct engine_search *s)
{
	uint32_t n = s->count < DL_GROUP_MAX ? s->count : DL_GROUP_MAX;

	return n && s->prefill_ms / n > s->target_ms * PART_TARGET_SHARE;
}

/*
 * Chooses the best placement at a cost to others for a request that has waited
 * and would otherwise be late.
 */
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
 * Chooses a placement for a request, at first only without a cost to others.
 * Once it has waited for PATIENCE_SHARE of its target, the cost may be as high
 * as its own weight, or a quarter of that if its target has passed.  A long
 * prompt is not started late while others wait, since each second of it would
 * make another request late as well.
 */
static enum pool_found pool_engine_choose(struct dl_pool *pool,
					  const struct pool_want *want,
					  int64_t now, struct pool_choice *out)
{
	struct engine_search s = { .pool = pool,
				   .model = &pool->conf.engine,
				   .want = want,
				   .now = now,
				   .waited_ms = now - want->asked_at,
				   .gap_share = GAP_SHARE };
	struct pool_choice place = { 0 };
	bool found;

	*out = place;
	s.target_ms = want->target_ms ? want->target_ms : TARGET_DEFAULT_MS;
	s.prefill_ms = dl_engine_prefill_ms(s.model, want->prompt);
	s.weight = pool_engine_weight(want);
	pool_engine_collect(&s);
	if (is_too_long(&s))
		return POOL_LATE;
	if (s.prefill_ms > PART_PREFILL_MS && now < pool->unknown_grants_until)
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
	    (want->first_event_deadline &&
	     now + out->ttft_ms > want->first_event_deadline))
		return (double)s.waited_ms < s.target_ms ? POOL_WAIT :
							   POOL_LATE;
	return POOL_CHOSEN;
}

/* Prefill time of a request that is split among idle engines, at best. */
static double shortest_prefill_ms(const struct dl_pool *pool,
				  const struct pool_want *want)
{
	uint32_t n = pool->open_endpoints < DL_GROUP_MAX ?
			     pool->open_endpoints :
			     DL_GROUP_MAX;

	return dl_engine_prefill_ms(&pool->conf.engine, want->prompt) /
	       (n ? n : 1);
}

/* Total service time of a request on idle engines. */
static int64_t pool_engine_service_ms(const struct dl_pool *pool,
				      const struct pool_want *want)
{
	const struct dl_engine_model *m = &pool->conf.engine;
	double passes = (double)want->output / (m->stride ? m->stride : 1);

	return (int64_t)ceil(shortest_prefill_ms(pool, want) +
			     passes * dl_engine_decode_pass_ms(m, 1, 0)) +
	       ROUND_TRIP_MS;
}

static int64_t pool_engine_first_event_ms(const struct dl_pool *pool,
					  const struct pool_want *want)
{
	return (int64_t)shortest_prefill_ms(pool, want);
}

/*
 * Retry delay of a refused request: the mean time until the engines end their
 * passes, plus half its target for the requests that arrive meanwhile.  Callers
 * retry once, so with a shorter delay they would only be refused again.
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

/* What the engine model tracks of one part of a grant. */
static struct dl_engine_item item_of_part(const struct pool_grant *g,
					  uint8_t part, double prefill_ms)
{
	return (struct dl_engine_item){
		.id = g->id,
		.context = g->want.prompt / g->parts_n,
		.gap_ms = part == 0 ? g->want.gap_ms : 0,
		.weight = (float)pool_engine_weight(&g->want),
		.prefill_ms = (float)prefill_ms,
		.target_at = pool_engine_target_at(&g->want),
		.first_by = g->want.first_event_deadline,
		.decodes = part == 0,
	};
}

/*
 * Adds a grant, made here or adopted from a dispatcher that does not report its
 * progress, to the model of its engines.  prefill_ms is the prefill time of
 * each part, 0 if it is done.
 */
static void pool_engine_granted(struct dl_pool *pool,
				const struct pool_grant *g, double prefill_ms,
				int64_t now)
{
	for (uint8_t i = 0; i < g->parts_n; i++) {
		struct pool_endpoint *e = g->parts[i].endpoint;
		struct dl_engine_item item = item_of_part(g, i, prefill_ms);

		if (e)
			dl_engine_add(&e->engine, &pool->conf.engine, &item,
				      now);
	}
}

/*
 * Adds an adopted grant to the model of its engines.  Without what its prefill
 * still takes, engines that prefill long prompts look as if they would begin a
 * short one at once, and short streams granted there begin late.
 */
static void pool_engine_adopted(struct dl_pool *pool,
				const struct pool_grant *g,
				uint32_t predicted_ttft_ms,
				const struct dl_adoption *adoption, int64_t now)
{
	const struct dl_engine_model *m = &pool->conf.engine;
	double part_ms = dl_engine_prefill_ms(m, g->want.prompt) / g->parts_n;
	double rest_ms = (double)predicted_ttft_ms - ROUND_TRIP_MS / 2.0 -
			 (double)adoption->held_ms;

	rest_ms = fmin(fmax(rest_ms, 0), ADOPTED_REST_MAX_MS);
	if (adoption->began)
		rest_ms = 0;
	for (uint8_t i = 0; i < g->parts_n; i++) {
		struct pool_endpoint *e = g->parts[i].endpoint;
		struct dl_engine_item item = item_of_part(g, i, part_ms);

		if (e)
			dl_engine_resume(&e->engine, m, &item, rest_ms, now);
	}
}

/* Holds back long prompts until the grants on the engines are known. */
static void pool_engine_take_over(struct dl_pool *pool, int64_t now)
{
	pool->unknown_grants_until = now + TAKEOVER_MS;
}

/*
 * Corrects the engine model by a first event.  A split prompt is left out: its
 * first event shows only when the last part was prefilled.
 */
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
 * Bounds the slowdown of an engine, which overdue grants raise.  It is not
 * learnt from first events: their delay depends on the other requests in the
 * pass as much as on the engine, and a slowdown learnt from them reinforced
 * itself until 10 s were forecast for 0.5 s.
 */
static void pool_engine_learn(struct pool_endpoint *e,
			      const struct pool_grant *g,
			      const struct dl_usage *usage)
{
	if (!usage->ttft_ms || !g->predicted_ttft_ms)
		return;
	e->prefill_slowdown = fmin(fmax(e->prefill_slowdown, 1), SLOWDOWN_MAX);
}

const struct dl_pool_policy dl_policy_engine = {
	.name = "engine",
	.queues = true,
	.choose = pool_engine_choose,
	.service_ms = pool_engine_service_ms,
	.first_event_ms = pool_engine_first_event_ms,
	.retry_ms = pool_engine_retry_ms,
	.granted = pool_engine_granted,
	.adopted = pool_engine_adopted,
	.start_dispatching = pool_engine_take_over,
	.first_event = pool_engine_first_event,
	.learn = pool_engine_learn,
};
