/*
 * Places of a request on engines that work in passes: which have read its
 * prompt first, alone or in parts, within what others on them bear.
 */
#include "pool_engine.h"

#include <math.h>
#include <string.h>

/* Of the target of a request, what its first event may be forecast to take. */
#define TARGET_SHARE 0.5
/*
 * Short prompts stay together: an engine without writers counts as if it were
 * later by this share of the target, so that it is kept for long prompts.  With
 * less they open engines that long ones need, with more they wait for each
 * other.
 */
#define CONSOLIDATION_SHARE 1.2
/* With so many writers similar an engine is one for them. */
#define CONSOLIDATED_STREAMS 6
/* A token written takes an engine about as long as ten that are read. */
#define DECODED_TOKEN_WEIGHT 10.0
/* More engines are not asked to read a prompt of one part. */
#define SHORT_PARTS_MAX 4
/* A prompt that is read in this time is not parted at all. */
#define UNSPLIT_PREFILL_MS 60.0
/* Memory is written in blocks, and an answer may be longer than said. */
#define MEMORY_SHARE 0.97
/* Of an engine's memory, what a prompt that needs several takes on each. */
#define SPREAD_MEMORY_SHARE 0.35

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

/*
 * What a request counts for against others: its tokens, those written ten
 * times, as they take an engine about ten times as long.
 */
double pool_engine_weight(const struct pool_want *want)
{
	return (double)want->prompt +
	       DECODED_TOKEN_WEIGHT * (double)want->output;
}

/* Until when a first event is on time; 0: at any time. */
int64_t pool_engine_target_at(const struct pool_want *want)
{
	return want->target_ms ? want->asked + want->target_ms : 0;
}

/* Requests that write on an engine, or will. */
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
 * How many engines a prompt needs for its memory alone: one holds all of it
 * where it can, since memory on others has to be reserved before and costs a
 * round of orders.
 */
static void place_memory_on_lead(struct engine_search *s)
{
	double one = (double)s->model->memory_tokens * MEMORY_SHARE;

	s->engines_min = 1;
	if (one > 0 && (double)s->want->need > one)
		place_memory_on_group(s);
}

/* Each engine of a group holds a part of the memory. */
static void place_memory_on_group(struct engine_search *s)
{
	double one = (double)s->model->memory_tokens * MEMORY_SHARE;

	s->engines_min = (uint32_t)ceil((double)s->want->need /
					(one * SPREAD_MEMORY_SHARE));
}

/*
 * What each engine of a group of n holds: where memory is spread an even part,
 * also of a group that is larger than the memory alone asks for.
 */
static uint64_t memory_per_engine(const struct engine_search *s, uint32_t n)
{
	return s->engines_min > 1 ? s->want->need / n + 1 : s->want->need;
}

/* Look at every engine once. */
void pool_engine_collect(struct engine_search *s)
{
	s->count = 0;
	for (uint32_t i = 0;
	     i < s->pool->endpoints_n && s->count < POOL_ENGINE_CANDIDATES_MAX;
	     i++) {
		struct pool_endpoint *e = s->pool->endpoints[i];
		struct candidate *c = &s->candidate[s->count];

		if (!pool_endpoint_open(s->pool, e) ||
		    !pool_place_allowed(s->pool, s->want, e, s->now))
			continue;
		e->engine.slowdown = e->slow;
		dl_engine_advance(&e->engine, s->model, s->now);
		c->endpoint = e;
		dl_engine_forecast(&e->engine, s->model, 0, s->now,
				   &c->forecast);
		c->can_decode = count_led_grants(e) <
					pool_shift_slots(e, s->now) &&
				e->engine.count < DL_ENGINE_ITEMS_MAX;
		s->count++;
	}
}

static int64_t prefilled_at(const struct candidate *c, double part_ms)
{
	return c->forecast.prefilled_at +
	       (int64_t)ceil(part_ms * c->endpoint->engine.slowdown);
}

/* Those on an engine whom reading a part there would pause or delay too long.
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
 * How much later an engine counts for having few writers that bear as little as
 * this request: short streams fill some engines and leave the others free.
 */
static int64_t consolidation_penalty_ms(const struct engine_search *s,
					const struct candidate *c)
{
	const struct dl_engine *e = &c->endpoint->engine;
	uint32_t similar = 0;

	for (uint32_t i = 0; i < e->count; i++)
		similar += e->item[i].decodes && e->item[i].gap_ms &&
			   e->item[i].gap_ms <= s->want->gap_ms;
	if (similar >= CONSOLIDATED_STREAMS)
		return 0;
	return (int64_t)(s->target_ms * CONSOLIDATION_SHARE *
			 (CONSOLIDATED_STREAMS - similar) /
			 CONSOLIDATED_STREAMS);
}

/*
 * How much later an engine of another failure domain counts than one of the
 * entry's own: by the target, so that a stream leaves its domain only where it
 * would be late there.  Guards streams against a cut between the domains: those
 * that stay at home are not broken by it.
 */
static int64_t remote_penalty_ms(const struct engine_search *s,
				 const struct candidate *c)
{
	return pool_is_away(s->want, c->endpoint) ? (int64_t)s->target_ms : 0;
}

/*
 * The whole prompt on one engine: the first to have read it, where those that
 * already have writers similar are taken for earlier.
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
		/* Its own writing would be paused by what others bear. */
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

/* Order candidates by when they have read a part; the last one may fall out. */
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
 * The one that writes: of a prompt of one part where writers similar are, of a
 * longer one where pauses are borne that others' reading makes.
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

/* The n engines that have read their part first, one of which can write. */
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

	for (uint32_t i = 0; i < s->count; i++) {
		const struct candidate *c = &s->candidate[i];

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

/* When all is written: a pass for each stride of tokens. */
void pool_engine_predict_end(const struct engine_search *s,
			     struct pool_choice *out)
{
	const struct dl_engine_model *m = s->model;
	double passes = (double)s->want->output / (m->stride ? m->stride : 1);
	double pass = dl_engine_decode_pass_ms(m, 1, 0);

	out->lead_holds = s->engines_min == 1;
	out->total_ms = out->ttft_ms + (int64_t)(passes * pass);
}

/* The number of engines for a prompt whose parts are all short. */
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
 * The number of engines by which a prompt is read first.  A prompt of one part
 * goes to one engine that has room, and to more only where that one is too
 * late, or free of writers: it is read by some that have writers, and written
 * by one of them.  A short one goes to one alone: single streams of short
 * prompts on many engines leave none for parts of long ones.  A longer one
 * takes more engines than its parts need only while it is not on time, and none
 * once its target has passed: in a burst each would take a dozen engines for
 * nothing.
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
 * The memory on one engine, as that needs no orders; where none has it free and
 * bears to lead, spread over the group.
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
