/*
 * Search for the engines that prefill a prompt earliest, whole or in parts,
 * within the cost that this may cause to other requests on them.
 */
#include "pool_engine.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/* No engines are added once the first event is forecast within this share. */
#define TARGET_SHARE 0.5
/*
 * Streams of short prompts are consolidated: an engine without streams is
 * ranked as if it were later by this share of the target, so that it stays free
 * for long prompts.  A lower share spreads short prompts over engines that long
 * ones need; a higher one makes short prompts wait for each other.
 */
#define CONSOLIDATION_SHARE 1.2
/* Decoding a token takes an engine about as long as prefilling ten. */
#define DECODED_TOKEN_WEIGHT 10.0
/* The most engines that prefill a prompt short enough for one part. */
#define SHORT_PARTS_MAX 4
/* A prompt with a shorter prefill is never split. */
#define UNSPLIT_PREFILL_MS 60.0
/*
 * Usable share of an engine's memory: it is allocated in blocks, and an answer
 * may be longer than announced.
 */
#define MEMORY_SHARE 0.97
/* Share of an engine's memory that a prompt may use if it needs several. */
#define SPREAD_MEMORY_SHARE 0.35

static struct candidate *candidates_of(struct dl_pool *pool);
static void place_memory_on_lead(struct engine_search *s);
static void place_memory_on_group(struct engine_search *s);
static uint32_t count_led_grants(const struct pool_endpoint *e);
static bool has_memory(const struct pool_endpoint *e, uint64_t tokens);
static uint64_t memory_per_engine(const struct engine_search *s, uint32_t n);
static int64_t prefilled_at(const struct candidate *c, double part_ms);
static double cost_to_others(const struct engine_search *s,
			     const struct candidate *c, double part_ms);
static int64_t consolidation_penalty_ms(const struct engine_search *s,
					const struct candidate *c);
static int64_t remote_penalty_ms(const struct engine_search *s,
				 const struct candidate *c);
static bool choose_single(struct engine_search *s, double budget,
			  struct pool_choice *out);
static bool choose_group(struct engine_search *s, uint32_t n, double budget,
			 struct pool_choice *out);
static uint32_t parts_wanted(const struct engine_search *s);
static bool choose_group_size(struct engine_search *s, double budget,
			      struct pool_choice *out);

/* Weight of a request against others: its tokens by the time they take. */
double pool_engine_weight(const struct pool_want *want)
{
	return (double)want->prompt +
	       DECODED_TOKEN_WEIGHT * (double)want->output;
}

/* Time by which the first event is due; 0 if there is no target. */
int64_t pool_engine_target_at(const struct pool_want *want)
{
	return want->target_ms ? want->asked_at + want->target_ms : 0;
}

/* Number of requests that decode on an engine now or after their prefill. */
static uint32_t count_led_grants(const struct pool_endpoint *e)
{
	uint32_t n = 0;

	for (const struct pool_part *p = e->parts; p; p = p->next)
		n += p == &p->grant->parts[0];
	return n;
}

static bool has_memory(const struct pool_endpoint *e, uint64_t tokens)
{
	uint64_t all = (uint64_t)((double)e->last.memory_tokens * MEMORY_SHARE);

	return e->held + tokens <= all;
}

/*
 * Places the memory on the lead alone if it fits there, since memory on other
 * engines has to be reserved first, which costs a round trip.
 */
static void place_memory_on_lead(struct engine_search *s)
{
	double one = (double)s->model->memory_tokens * MEMORY_SHARE;

	s->engines_min = 1;
	if (one > 0 && (double)s->want->need > one)
		place_memory_on_group(s);
}

/* Spreads the memory over the engines of the group. */
static void place_memory_on_group(struct engine_search *s)
{
	double one = (double)s->model->memory_tokens * MEMORY_SHARE;

	s->engines_min = (uint32_t)ceil((double)s->want->need /
					(one * SPREAD_MEMORY_SHARE));
}

/*
 * Memory on each engine of a group of n.  Spread memory is divided evenly, also
 * in a group that is larger than the memory requires.
 */
static uint64_t memory_per_engine(const struct engine_search *s, uint32_t n)
{
	return s->engines_min > 1 ? s->want->need / n + 1 : s->want->need;
}

/*
 * Returns room for all endpoints, which the pool keeps: a limit on those that
 * are considered would leave the last ones of a large pool idle.
 */
static struct candidate *candidates_of(struct dl_pool *pool)
{
	if (pool->candidates_room >= pool->endpoints_n)
		return pool->candidates;
	pool->candidates_room = pool->endpoints_room;
	pool->candidates =
		realloc(pool->candidates,
			pool->candidates_room * sizeof(struct candidate));
	if (!pool->candidates)
		abort();
	return pool->candidates;
}

/* What the forecast of the mix makes of the preferences of a placement. */
static void follow_mix(struct engine_search *s)
{
	uint32_t horizon = s->pool->conf.mix_horizon_ms;
	struct pool_mix_room room = { .domain = s->want->domain };

	s->consolidated_streams = POOL_MIX_STREAMS_MAX;
	s->remote_share = 1;
	if (!horizon)
		return;
	for (uint32_t i = 0; i < s->pool->endpoints_n; i++) {
		const struct pool_endpoint *e = s->pool->endpoints[i];

		if (!e->counted_open)
			continue;
		if (pool_in_other_domain(s->want, e))
			room.other_slots += s->model->slots;
		else
			room.own_slots += s->model->slots;
	}
	s->consolidated_streams = pool_mix_streams(
		&s->pool->mix, s->pool->open_endpoints, horizon, s->now);
	s->remote_share =
		pool_mix_remote_share(&s->pool->mix, &room, horizon, s->now);
}

/* Counts a request as one of the light or the heavy prompts. */
void pool_engine_count(struct dl_pool *pool, const struct pool_want *want,
		       int64_t now)
{
	const struct dl_engine_model *m = &pool->conf.engine;
	double prefill = dl_engine_prefill_ms(m, want->prompt);
	double passes = (double)m->usual_output / (m->stride ? m->stride : 1);

	if (!pool->conf.mix_horizon_ms)
		return;
	if (prefill > UNSPLIT_PREFILL_MS)
		pool_mix_add_heavy(&pool->mix, prefill, now);
	else
		pool_mix_add_light(
			&pool->mix, want->domain,
			prefill + passes * dl_engine_decode_pass_ms(
						   m, POOL_MIX_STREAMS_MAX, 0),
			now);
}

/* Collects the engines that may take the request, with their forecasts. */
void pool_engine_collect(struct engine_search *s)
{
	follow_mix(s);
	s->count = 0;
	s->earliest_count = 0;
	s->candidate = candidates_of(s->pool);
	for (uint32_t i = 0; i < s->pool->endpoints_n; i++) {
		struct pool_endpoint *e = s->pool->endpoints[i];
		struct candidate *c = &s->candidate[s->count];

		if (!pool_endpoint_open(s->pool, e) ||
		    !pool_place_allowed(s->pool, s->want, e, s->now))
			continue;
		e->engine.slowdown = e->prefill_slowdown;
		dl_engine_advance(&e->engine, s->model, s->now);
		c->endpoint = e;
		dl_engine_forecast(&e->engine, s->model, 0, s->now,
				   &c->forecast);
		c->can_decode = count_led_grants(e) <
					pool_outlier_slots(e, s->now) &&
				e->engine.count < DL_ENGINE_ITEMS_MAX;
		s->count++;
	}
}

/* How many engines can begin a prefill at a time or before. */
static uint32_t count_free_by(const struct engine_search *s, int64_t at)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < s->count; i++)
		n += s->candidate[i].forecast.prefilled_at <= at;
	return n;
}

/* The first time by which enough engines can begin a prefill. */
static int64_t enough_free_at(const struct engine_search *s)
{
	int64_t from = INT64_MAX, to = INT64_MIN;

	for (uint32_t i = 0; i < s->count; i++) {
		int64_t at = s->candidate[i].forecast.prefilled_at;

		from = at < from ? at : from;
		to = at > to ? at : to;
	}
	while (from < to) {
		int64_t mid = from + (to - from) / 2;

		if (count_free_by(s, mid) < POOL_ENGINE_GROUP_CANDIDATES)
			from = mid + 1;
		else
			to = mid;
	}
	return to;
}

/* Takes an engine as a candidate for a group, while there is room. */
static void add_earliest(struct engine_search *s, const struct candidate *c)
{
	if (s->earliest_count < POOL_ENGINE_GROUP_CANDIDATES)
		s->earliest[s->earliest_count++] = c;
}

/*
 * Collects the engines from which a group is chosen, those that are free first;
 * of equals, those that come first in the pool.
 */
static void collect_earliest(struct engine_search *s)
{
	bool all = s->count <= POOL_ENGINE_GROUP_CANDIDATES;
	int64_t at;

	if (s->earliest_count)
		return;
	at = all ? INT64_MAX : enough_free_at(s);
	for (uint32_t i = 0; i < s->count; i++) {
		if (s->candidate[i].forecast.prefilled_at < at)
			add_earliest(s, &s->candidate[i]);
	}
	for (uint32_t i = 0; !all && i < s->count; i++) {
		if (s->candidate[i].forecast.prefilled_at == at)
			add_earliest(s, &s->candidate[i]);
	}
}

static int64_t prefilled_at(const struct candidate *c, double part_ms)
{
	return c->forecast.prefilled_at +
	       (int64_t)ceil(part_ms * c->endpoint->engine.slowdown);
}

/*
 * Cost to the other requests on an engine whose streams pause for too long, or
 * whose first events become late, if it prefills a part.
 */
static double cost_to_others(const struct engine_search *s,
			     const struct candidate *c, double part_ms)
{
	const struct dl_engine *e = &c->endpoint->engine;

	return dl_engine_gap_cost(e, c->forecast.pass_ms,
				  c->forecast.pass_ms + part_ms * e->slowdown,
				  s->gap_share) +
	       dl_engine_delay_cost(e, c->forecast.prefilled_at,
				    prefilled_at(c, part_ms), s->now);
}

/*
 * Penalty of an engine with few streams whose tolerated gaps are as short as
 * this request's, so that short streams fill some engines and leave the others
 * free.
 */
static int64_t consolidation_penalty_ms(const struct engine_search *s,
					const struct candidate *c)
{
	const struct dl_engine *e = &c->endpoint->engine;
	uint32_t similar = 0;

	for (uint32_t i = 0; i < e->count; i++)
		similar += e->item[i].decodes && e->item[i].gap_ms &&
			   e->item[i].gap_ms <= s->want->gap_ms;
	if (similar >= s->consolidated_streams)
		return 0;
	return (int64_t)(s->target_ms * CONSOLIDATION_SHARE *
			 (s->consolidated_streams - similar) /
			 POOL_MIX_STREAMS_MAX);
}

/*
 * Penalty of an engine in another failure domain: the whole target, so that a
 * stream leaves the entry's domain only if it would be late there.  A partition
 * between the domains does not break streams that stay within one.  A share of
 * it remains where the own domain is forecast to be full.
 */
static int64_t remote_penalty_ms(const struct engine_search *s,
				 const struct candidate *c)
{
	return pool_in_other_domain(s->want, c->endpoint) ?
		       (int64_t)(s->target_ms * s->remote_share) :
		       0;
}

/*
 * Chooses one engine for the whole prompt: the one that ends its prefill first,
 * penalties included.
 */
static bool choose_single(struct engine_search *s, double budget,
			  struct pool_choice *out)
{
	const struct candidate *best = NULL;
	int64_t best_at = INT64_MAX;

	for (uint32_t i = 0; i < s->count; i++) {
		const struct candidate *c = &s->candidate[i];
		int64_t at = prefilled_at(c, s->prefill_ms);

		if (!c->can_decode || !has_memory(c->endpoint, s->want->need) ||
		    cost_to_others(s, c, s->prefill_ms) > budget)
			continue;
		at += consolidation_penalty_ms(s, c) + remote_penalty_ms(s, c);
		/* Passes that other streams tolerate would pause this one. */
		if (s->want->gap_ms &&
		    c->forecast.pass_ms > s->want->gap_ms * s->gap_share)
			at += (int64_t)(s->target_ms * CONSOLIDATION_SHARE);
		if (at >= best_at)
			continue;
		best = c;
		best_at = at;
	}
	if (!best)
		return false;
	out->endpoint[0] = best->endpoint;
	out->n = 1;
	out->share = s->want->need;
	out->read_ms = s->prefill_ms;
	out->start = best->forecast.prefilled_at;
	out->ttft_ms =
		prefilled_at(best, s->prefill_ms) - s->now + ROUND_TRIP_MS;
	out->cost_ms = out->ttft_ms + consolidation_penalty_ms(s, best);
	return true;
}

/*
 * Inserts a candidate into the list of the n that end their prefill of a part
 * earliest; the last one is dropped if the list is full.
 */
static void insert_earliest(const struct candidate **chosen, uint32_t *count,
			    uint32_t n, const struct candidate *c,
			    double part_ms)
{
	int64_t at = prefilled_at(c, part_ms);
	uint32_t i = 0;

	while (i < *count && prefilled_at(chosen[i], part_ms) <= at)
		i++;
	if (i == n)
		return;
	if (*count < n)
		(*count)++;
	memmove(&chosen[i + 1], &chosen[i],
		(*count - 1 - i) * sizeof(struct candidate *));
	chosen[i] = c;
}

/*
 * Chooses the engine that decodes.  A prompt of one part goes to similar
 * streams; a longer one to an engine without streams or with those that
 * tolerate the longest gaps, since prefills there pause it.
 */
static const struct candidate *choose_lead(const struct engine_search *s,
					   const struct candidate **chosen,
					   uint32_t n, uint64_t tokens)
{
	const struct candidate *lead = NULL;

	for (uint32_t i = 0; i < n; i++) {
		if (!chosen[i]->can_decode ||
		    !has_memory(chosen[i]->endpoint, tokens))
			continue;
		if (s->prefill_ms <= PART_PREFILL_MS) {
			if (!lead || consolidation_penalty_ms(s, chosen[i]) <
					     consolidation_penalty_ms(s, lead))
				lead = chosen[i];
			continue;
		}
		if (!lead || !chosen[i]->forecast.streams ||
		    (lead->forecast.streams &&
		     chosen[i]->forecast.gap_ms > lead->forecast.gap_ms))
			lead = chosen[i];
	}
	return lead;
}

/*
 * Chooses the n engines that end the prefill of their part earliest, one of
 * which can decode.
 */
static bool choose_group(struct engine_search *s, uint32_t n, double budget,
			 struct pool_choice *out)
{
	double part_ms = s->prefill_ms / n;
	uint64_t share = memory_per_engine(s, n);
	const struct candidate *chosen[DL_GROUP_MAX] = { NULL };
	const struct candidate *lead;
	uint32_t count = 0;
	int64_t last = 0;
	double cost = 0;

	collect_earliest(s);
	for (uint32_t i = 0; i < s->earliest_count; i++) {
		const struct candidate *c = s->earliest[i];

		if (s->engines_min > 1 && !has_memory(c->endpoint, share))
			continue;
		if (c->endpoint->last.takes_groups &&
		    cost_to_others(s, c, part_ms) <= 2 * budget / n)
			insert_earliest(chosen, &count, n, c, part_ms);
	}
	lead = count == n ? choose_lead(s, chosen, n, share) : NULL;
	if (!lead)
		return false;
	for (uint32_t i = 0; i < n; i++)
		cost += cost_to_others(s, chosen[i], part_ms);
	if (cost > budget)
		return false;
	out->n = 0;
	out->endpoint[out->n++] = lead->endpoint;
	for (uint32_t i = 0; i < n; i++) {
		if (chosen[i] != lead)
			out->endpoint[out->n++] = chosen[i]->endpoint;
		if (prefilled_at(chosen[i], part_ms) > last)
			last = prefilled_at(chosen[i], part_ms);
	}
	out->share = share;
	out->read_ms = part_ms;
	out->start = lead->forecast.prefilled_at;
	out->ttft_ms = last - s->now + ROUND_TRIP_MS;
	out->cost_ms = out->ttft_ms + consolidation_penalty_ms(s, lead);
	return true;
}

/* Predicts the end of the request: one pass per stride of tokens. */
void pool_engine_predict_end(const struct engine_search *s,
			     struct pool_choice *out)
{
	const struct dl_engine_model *m = s->model;
	double passes = (double)s->want->output / (m->stride ? m->stride : 1);
	double pass = dl_engine_decode_pass_ms(m, 1, 0);

	out->memory_on_leader = s->engines_min == 1;
	out->total_ms = out->ttft_ms + (int64_t)(passes * pass);
}

/* Number of engines with which no part exceeds PART_PREFILL_MS. */
static uint32_t parts_wanted(const struct engine_search *s)
{
	double n = ceil(s->prefill_ms / PART_PREFILL_MS);

	if (s->prefill_ms <= UNSPLIT_PREFILL_MS)
		return 1;
	n = fmax(n, s->engines_min);
	n = fmin(n, fmin(DL_GROUP_MAX, s->count));
	return n < 1 ? 1 : (uint32_t)n;
}

/*
 * Chooses the number of engines with which the prefill ends first.
 *
 * A prompt up to UNSPLIT_PREFILL_MS goes to a single engine, since single
 * streams of short prompts on many engines would leave none free for parts of
 * long ones.  A prompt of one part goes to a single engine with room, and is
 * split among engines with streams, one of which decodes it, only if that
 * engine is too late or has no streams.  A longer prompt takes more engines
 * than its parts need only while it would be late, and not once its target has
 * passed: in a burst each prompt would take a dozen engines without a benefit.
 */
static bool choose_group_size(struct engine_search *s, double budget,
			      struct pool_choice *out)
{
	uint32_t n = parts_wanted(s);
	uint32_t most = s->count < DL_GROUP_MAX ? s->count : DL_GROUP_MAX;
	bool found = false;

	if (s->prefill_ms <= PART_PREFILL_MS && most > SHORT_PARTS_MAX)
		most = SHORT_PARTS_MAX;

	if (s->prefill_ms <= PART_PREFILL_MS) {
		for (uint32_t k = n; k >= s->engines_min && !found; k--)
			found = k == 1 ? choose_single(s, budget, out) :
					 choose_group(s, k, budget, out);
		if (s->prefill_ms <= UNSPLIT_PREFILL_MS)
			return found;
	}
	for (uint32_t k = s->engines_min > 1 ? s->engines_min : 1; k <= most;
	     k++) {
		struct pool_choice one = { 0 };

		if (found &&
		    (double)(s->waited_ms + out->cost_ms) <=
			    s->target_ms * TARGET_SHARE &&
		    k > n)
			break;
		if (k > n && (double)s->waited_ms >= s->target_ms)
			break;
		if (!(k == 1 ? choose_single(s, budget, &one) :
			       choose_group(s, k, budget, &one)))
			continue;
		if (found && one.cost_ms >= out->cost_ms)
			continue;
		*out = one;
		found = true;
	}
	return found;
}

/*
 * Finds a placement.  The memory goes to one engine, which needs no reservation
 * elsewhere; if no engine can hold it all and lead, it is spread over the
 * group.
 */
bool pool_engine_place(struct engine_search *s, double budget,
		       struct pool_choice *out)
{
	place_memory_on_lead(s);
	if (choose_group_size(s, budget, out))
		return true;
	if (s->engines_min > 1 || s->prefill_ms <= PART_PREFILL_MS)
		return false;
	place_memory_on_group(s);
	return choose_group_size(s, budget, out);
}
