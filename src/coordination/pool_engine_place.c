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
#define KEEP_FREE_SHARE 1.2
/* With so many writers alike an engine is one for them. */
#define TOGETHER 6
/* A token written takes an engine about as long as ten that are read. */
#define WRITTEN_WEIGHT 10.0
/* More engines are not asked to read a prompt of one part. */
#define FEW_PARTS 4
/* A prompt that is read in this time is not parted at all. */
#define WHOLE_MS 60.0
/* Memory is written in blocks, and an answer may be longer than said. */
#define MEMORY_SHARE 0.97
/* Of an engine's memory, what a prompt that needs several takes on each. */
#define SPREAD_MEMORY_SHARE 0.35

static void whole_memory(struct engine_search *s);
static void spread_memory(struct engine_search *s);
static uint32_t leaders_of(const struct pool_endpoint *e);
static bool has_memory(const struct pool_endpoint *e, uint64_t tokens);
static uint64_t memory_at(const struct engine_search *s, uint32_t n);
static int64_t read_at(const struct candidate *c, double part_ms);
static double harm_of(const struct engine_search *s, const struct candidate *c,
		      double part_ms);
static int64_t keep_free_ms(const struct engine_search *s,
			    const struct candidate *c);
static int64_t away_ms(const struct engine_search *s,
		       const struct candidate *c);
static bool choose_whole(struct engine_search *s, double budget,
			 struct pool_choice *out);
static bool choose_parts(struct engine_search *s, uint32_t n, double budget,
			 struct pool_choice *out);
static uint32_t parts_for(const struct engine_search *s);
static bool choose_number(struct engine_search *s, double budget,
			  struct pool_choice *out);

/*
 * What a request counts for against others: its tokens, those written ten
 * times, as they take an engine about ten times as long.
 */
double pool_engine_weight(const struct pool_want *want)
{
	return (double)want->prompt + WRITTEN_WEIGHT * (double)want->output;
}

/* Until when a first event is on time; 0: at any time. */
int64_t pool_engine_due(const struct pool_want *want)
{
	return want->target_ms ? want->asked + want->target_ms : 0;
}

/* Requests that write on an engine, or will. */
static uint32_t leaders_of(const struct pool_endpoint *e)
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
static void whole_memory(struct engine_search *s)
{
	double one = (double)s->model->memory_tokens * MEMORY_SHARE;

	s->least = 1;
	if (one > 0 && (double)s->want->need > one)
		spread_memory(s);
}

/* Each engine of a group holds a part of the memory. */
static void spread_memory(struct engine_search *s)
{
	double one = (double)s->model->memory_tokens * MEMORY_SHARE;

	s->least = (uint32_t)ceil((double)s->want->need /
				  (one * SPREAD_MEMORY_SHARE));
}

/*
 * What each engine of a group of n holds: where memory is spread an even part,
 * also of a group that is larger than the memory alone asks for.
 */
static uint64_t memory_at(const struct engine_search *s, uint32_t n)
{
	return s->least > 1 ? s->want->need / n + 1 : s->want->need;
}

/* Look at every engine once. */
void pool_engine_look(struct engine_search *s)
{
	s->count = 0;
	for (uint32_t i = 0;
	     i < s->pool->endpoints_n && s->count < POOL_ENGINE_LOOK_MAX; i++) {
		struct pool_endpoint *e = s->pool->endpoints[i];
		struct candidate *c = &s->at[s->count];

		if (!pool_endpoint_open(s->pool, e) ||
		    !pool_place_allowed(s->pool, s->want, e, s->now))
			continue;
		e->engine.pace = e->slow;
		dl_engine_advance(&e->engine, s->model, s->now);
		c->endpoint = e;
		dl_engine_forecast(&e->engine, s->model, 0, s->now,
				   &c->forecast);
		c->leads = leaders_of(e) < pool_shift_slots(e, s->now) &&
			   e->engine.count < DL_ENGINE_ITEMS_MAX;
		s->count++;
	}
}

static int64_t read_at(const struct candidate *c, double part_ms)
{
	return c->forecast.read_at +
	       (int64_t)ceil(part_ms * c->endpoint->engine.pace);
}

/* Those on an engine whom reading a part there would pause or delay too long.
 */
static double harm_of(const struct engine_search *s, const struct candidate *c,
		      double part_ms)
{
	const struct dl_engine *e = &c->endpoint->engine;

	return dl_engine_gap_cost(e, c->forecast.pass_ms,
				  c->forecast.pass_ms + part_ms * e->pace,
				  s->gap_share) +
	       dl_engine_delay_cost(e, c->forecast.read_at, read_at(c, part_ms),
				    s->now);
}

/*
 * How much later an engine counts for having few writers that bear as little as
 * this request: short streams fill some engines and leave the others free.
 */
static int64_t keep_free_ms(const struct engine_search *s,
			    const struct candidate *c)
{
	const struct dl_engine *e = &c->endpoint->engine;
	uint32_t alike = 0;

	for (uint32_t i = 0; i < e->count; i++)
		alike += e->item[i].writes && e->item[i].gap_ms &&
			 e->item[i].gap_ms <= s->want->gap_ms;
	if (alike >= TOGETHER)
		return 0;
	return (int64_t)(s->target * KEEP_FREE_SHARE * (TOGETHER - alike) /
			 TOGETHER);
}

/*
 * How much later an engine of another failure domain counts than one of the
 * entry's own: by the target, so that a stream leaves its domain only where it
 * would be late there.  Guards streams against a cut between the domains: those
 * that stay at home are not broken by it.
 */
static int64_t away_ms(const struct engine_search *s, const struct candidate *c)
{
	return pool_is_away(s->want, c->endpoint) ? (int64_t)s->target : 0;
}

/*
 * The whole prompt on one engine: the first to have read it, where those that
 * already have writers alike are taken for earlier.
 */
static bool choose_whole(struct engine_search *s, double budget,
			 struct pool_choice *out)
{
	const struct candidate *best = NULL;
	int64_t best_at = INT64_MAX;

	for (uint32_t i = 0; i < s->count; i++) {
		const struct candidate *c = &s->at[i];
		int64_t at = read_at(c, s->read_ms);

		if (!c->leads || !has_memory(c->endpoint, s->want->need) ||
		    harm_of(s, c, s->read_ms) > budget)
			continue;
		at += keep_free_ms(s, c) + away_ms(s, c);
		/* Its own writing would be paused by what others bear. */
		if (s->want->gap_ms &&
		    c->forecast.pass_ms > s->want->gap_ms * s->gap_share)
			at += (int64_t)(s->target * KEEP_FREE_SHARE);
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
	out->read_ms = s->read_ms;
	out->start = best->forecast.read_at;
	out->ttft_ms = read_at(best, s->read_ms) - s->now + WAY_MS;
	out->cost_ms = out->ttft_ms + keep_free_ms(s, best);
	return true;
}

/* Order candidates by when they have read a part; the last one may fall out. */
static void keep_first(const struct candidate **chosen, uint32_t *count,
		       uint32_t n, const struct candidate *c, double part_ms)
{
	int64_t at = read_at(c, part_ms);
	uint32_t i = 0;

	while (i < *count && read_at(chosen[i], part_ms) <= at)
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
 * The one that writes: of a prompt of one part where writers alike are, of a
 * longer one where pauses are borne that others' reading makes.
 */
static const struct candidate *lead_of(const struct engine_search *s,
				       const struct candidate **chosen,
				       uint32_t n, uint64_t tokens)
{
	const struct candidate *lead = NULL;

	for (uint32_t i = 0; i < n; i++) {
		if (!chosen[i]->leads ||
		    !has_memory(chosen[i]->endpoint, tokens))
			continue;
		if (s->read_ms <= PART_MS) {
			if (!lead ||
			    keep_free_ms(s, chosen[i]) < keep_free_ms(s, lead))
				lead = chosen[i];
			continue;
		}
		if (!lead || !chosen[i]->forecast.writers ||
		    (lead->forecast.writers &&
		     chosen[i]->forecast.gap_ms > lead->forecast.gap_ms))
			lead = chosen[i];
	}
	return lead;
}

/* The n engines that have read their part first, one of which can write. */
static bool choose_parts(struct engine_search *s, uint32_t n, double budget,
			 struct pool_choice *out)
{
	double part_ms = s->read_ms / n;
	uint64_t share = memory_at(s, n);
	const struct candidate *chosen[DL_GROUP_MAX] = { NULL };
	const struct candidate *lead;
	uint32_t count = 0;
	int64_t last = 0;
	double harm = 0;

	for (uint32_t i = 0; i < s->count; i++) {
		const struct candidate *c = &s->at[i];

		if (s->least > 1 && !has_memory(c->endpoint, share))
			continue;
		if (c->endpoint->last.takes_groups &&
		    harm_of(s, c, part_ms) <= 2 * budget / n)
			keep_first(chosen, &count, n, c, part_ms);
	}
	lead = count == n ? lead_of(s, chosen, n, share) : NULL;
	if (!lead)
		return false;
	for (uint32_t i = 0; i < n; i++)
		harm += harm_of(s, chosen[i], part_ms);
	if (harm > budget)
		return false;
	out->n = 0;
	out->endpoint[out->n++] = lead->endpoint;
	for (uint32_t i = 0; i < n; i++) {
		if (chosen[i] != lead)
			out->endpoint[out->n++] = chosen[i]->endpoint;
		if (read_at(chosen[i], part_ms) > last)
			last = read_at(chosen[i], part_ms);
	}
	out->share = share;
	out->read_ms = part_ms;
	out->start = lead->forecast.read_at;
	out->ttft_ms = last - s->now + WAY_MS;
	out->cost_ms = out->ttft_ms + keep_free_ms(s, lead);
	return true;
}

/* When all is written: a pass for each stride of tokens. */
void pool_engine_end(const struct engine_search *s, struct pool_choice *out)
{
	const struct dl_engine_model *m = s->model;
	double passes = (double)s->want->output / (m->stride ? m->stride : 1);
	double pass = dl_engine_decode_pass_ms(m, 1, 0);

	out->lead_holds = s->least == 1;
	out->total_ms = out->ttft_ms + (int64_t)(passes * pass);
}

/* The number of engines for a prompt whose parts are all short. */
static uint32_t parts_for(const struct engine_search *s)
{
	double n = ceil(s->read_ms / PART_MS);

	if (s->read_ms <= WHOLE_MS)
		return 1;
	n = fmax(n, s->least);
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
static bool choose_number(struct engine_search *s, double budget,
			  struct pool_choice *out)
{
	uint32_t n = parts_for(s);
	uint32_t most = s->count < DL_GROUP_MAX ? s->count : DL_GROUP_MAX;
	bool found = false;

	if (s->read_ms <= PART_MS && most > FEW_PARTS)
		most = FEW_PARTS;

	if (s->read_ms <= PART_MS) {
		for (uint32_t k = n; k >= s->least && !found; k--)
			found = k == 1 ? choose_whole(s, budget, out) :
					 choose_parts(s, k, budget, out);
		if (s->read_ms <= WHOLE_MS)
			return found;
	}
	for (uint32_t k = s->least > 1 ? s->least : 1; k <= most; k++) {
		struct pool_choice one = { 0 };

		if (found &&
		    (double)(s->waited + out->cost_ms) <=
			    s->target * TARGET_SHARE &&
		    k > n)
			break;
		if (k > n && (double)s->waited >= s->target)
			break;
		if (!(k == 1 ? choose_whole(s, budget, &one) :
			       choose_parts(s, k, budget, &one)))
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
	whole_memory(s);
	if (choose_number(s, budget, out))
		return true;
	if (s->least > 1 || s->read_ms <= PART_MS)
		return false;
	spread_memory(s);
	return choose_number(s, budget, out);
}
