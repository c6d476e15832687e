/*
 * Placing by the engine model: which engine takes a request, and how many
 * others read its prompt with it.
 *
 * Load: prompts from a thousand to some hundred thousand tokens on engines
 * that work in passes.  Harm: a long prompt that is read beside streams of
 * short ones stops all of them for as long as it is read (441 ms for 45,000
 * tokens, where they bear 250); one that is read by a single engine is late by
 * itself (3.05 s for 154,000 tokens, where 3 s are asked).  So a prompt is
 * parted among engines that each can read their part without a pause that
 * their writers would not bear; and streams of short prompts are put together,
 * as far as their pauses allow, so that other engines stay free for the long.
 * Parting costs no work in sum: each part has its share of the pairs.
 */
#include "pool_int.h"

#include <math.h>
#include <string.h>

/*
 * Of the pause that a stream bears, what a pass may take; the rest is for
 * what is not foreseen: the way to the caller, retries, other dispatchers.
 */
#define GAP_SHARE 0.72
/* Where a request has waited, what is foreseen may take more of it. */
#define GAP_SHARE_HARSH 0.92
/* Of the target of a request, what its first event may be forecast to take. */
#define TARGET_SHARE 0.5
/* Nobody writes for a caller without a target within a fixed time. */
#define TARGET_DEFAULT_MS 1000
/* The way to an engine and back, and its connection. */
#define WAY_MS 4
/*
 * Short prompts stay together: an engine without writers counts as if it were
 * later by this share of the target, so that it is kept for long prompts.
 */
#define KEEP_FREE_SHARE 1.2
/* Of a target, what one engine may be kept by a part of one prompt. */
#define PART_TARGET_SHARE 0.4
/* With so many writers alike an engine is one for them. */
#define TOGETHER 6
/* A token written takes an engine about as long as ten that are read. */
#define WRITTEN_WEIGHT 10.0
/* What an answer that comes late is worth of one on time. */
#define LATE_WORTH 0.25
/*
 * A part that is read in this time, and the pass that it is read in, are within
 * what streams of longer prompts bear (600 ms and more).
 */
#define PART_MS 300.0
/* A prompt that is read in this time is not parted at all. */
#define WHOLE_MS 60.0
/*
 * How long before engines begin to read it a long prompt is granted at most.
 * For many long prompts at once: engines read the parts that they have in
 * turn, so parts sent early end together, and late (some hundred ms foreseen,
 * 4 s seen); a prompt that waits here goes where it is read at once.  Mean
 * worth of six loaded days of 57 engines 0.386 without, 0.389 with 400 ms,
 * 0.399 with 150 ms; of their longest class in time 0.37, 0.42, 0.44.
 */
#define AHEAD_MS	   150
#define AHEAD_WAITED_SHARE 0.3
/* Memory is written in blocks, and an answer may be longer than said. */
#define MEMORY_SHARE 0.97
/* Of an engine's memory, what a prompt that needs several takes on each. */
#define SPREAD_MEMORY_SHARE 0.35
/*
 * Past this share of the time in which a first event is asked, a request that
 * found no place without harm takes one that delays others' events.
 */
#define PATIENCE_SHARE 0.25

/* However long an engine's grants are overdue, it is no slower than this. */
#define PACE_MAX 6.0
/* The most engines that are looked at for one request. */
#define POOL_ENGINE_LOOK_MAX 1024

struct candidate {
	struct pool_endpoint *endpoint;
	struct dl_engine_forecast forecast; /* of no reading at all */
	bool leads; /* has the slot and the memory to write */
};

struct engine_search {
	struct dl_pool *pool;
	const struct dl_engine_model *model;
	const struct pool_want *want;
	int64_t now;
	int64_t waited;
	double target;
	double read_ms;
	double weight;
	uint64_t share;	  /* of the memory, that each engine holds */
	uint32_t least;	  /* engines, for the memory alone */
	double gap_share; /* of a pause that a pass may take */
	uint32_t count;
	struct candidate at[POOL_ENGINE_LOOK_MAX];
};

/* A place for a request, and what it costs. */
struct place {
	struct pool_choice choice;
	double harm; /* of others that it makes late, in weights */
};

static enum pool_found pool_engine_choose(struct dl_pool *pool,
					  const struct pool_want *want,
					  int64_t now, struct pool_choice *out);
static int64_t pool_engine_service_ms(const struct dl_pool *pool,
				      const struct pool_want *want);
static int64_t pool_engine_back_ms(const struct dl_pool *pool,
				   const struct pool_want *want, int64_t now);
static void pool_engine_granted(struct dl_pool *pool,
				const struct pool_grant *g, double read_ms,
				int64_t now);
static void pool_engine_learn(struct pool_endpoint *e,
			      const struct pool_grant *g,
			      const struct dl_usage *usage);
static double weight_of(const struct pool_want *want);
static int64_t due_of(const struct pool_want *want);
static void spread_memory(struct engine_search *s);
static void look(struct engine_search *s);
static uint32_t leaders_of(const struct pool_endpoint *e);
static bool has_memory(const struct engine_search *s,
		       const struct pool_endpoint *e);
static int64_t read_at(const struct candidate *c, double part_ms);
static double harm_of(const struct engine_search *s, const struct candidate *c,
		      double part_ms);
static bool choose_whole(struct engine_search *s, double budget,
			 struct place *out);
static bool choose_parts(struct engine_search *s, uint32_t n, double budget,
			 struct place *out);
static bool choose_number(struct engine_search *s, double budget,
			  struct place *out);
static bool choose_within(struct engine_search *s, double budget,
			  struct place *out);
static void forecast_end(const struct engine_search *s,
			 struct pool_choice *out);

/*
 * What a request counts for against others: its tokens, those written ten
 * times, as they take an engine about ten times as long.
 */
static double weight_of(const struct pool_want *want)
{
	return (double)want->prompt + WRITTEN_WEIGHT * (double)want->output;
}

/* Until when a first event is on time; 0: at any time. */
static int64_t due_of(const struct pool_want *want)
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

static bool has_memory(const struct engine_search *s,
		       const struct pool_endpoint *e)
{
	uint64_t all = (uint64_t)((double)e->last.memory_tokens * MEMORY_SHARE);

	return e->held + s->share <= all;
}

/*
 * How many engines a prompt needs for its memory alone, and what each then
 * holds: one holds all of it where it can, since memory on others has to be
 * reserved before and costs a round of orders.
 */
static void share_memory(struct engine_search *s)
{
	double one = (double)s->model->memory_tokens * MEMORY_SHARE;

	s->least = 1;
	s->share = s->want->need;
	if (one > 0 && (double)s->want->need > one)
		spread_memory(s);
}

/* Each engine of a group holds a part of the memory. */
static void spread_memory(struct engine_search *s)
{
	double one = (double)s->model->memory_tokens * MEMORY_SHARE;

	s->least = (uint32_t)ceil((double)s->want->need /
				  (one * SPREAD_MEMORY_SHARE));
	s->share = s->want->need / s->least + 1;
}

/* Look at every engine once. */
static void look(struct engine_search *s)
{
	s->count = 0;
	for (uint32_t i = 0;
	     i < s->pool->endpoints_n && s->count < POOL_ENGINE_LOOK_MAX; i++) {
		struct pool_endpoint *e = s->pool->endpoints[i];
		struct candidate *c = &s->at[s->count];

		if (!pool_endpoint_open(s->pool, e) ||
		    pool_place_tried(s->want, e))
			continue;
		e->engine.pace = e->slow;
		dl_engine_advance(&e->engine, s->model, s->now);
		c->endpoint = e;
		dl_engine_forecast(&e->engine, s->model, 0, s->now,
				   &c->forecast);
		c->leads = leaders_of(e) < pool_shift_slots(e, s->now) &&
			   has_memory(s, e) &&
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

	return dl_engine_harm(e, c->forecast.pass_ms,
			      c->forecast.pass_ms + part_ms * e->pace,
			      s->gap_share) +
	       dl_engine_delay_harm(e, c->forecast.read_at, read_at(c, part_ms),
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
 * The whole prompt on one engine: the first to have read it, where those that
 * already have writers alike are taken for earlier.
 */
static bool choose_whole(struct engine_search *s, double budget,
			 struct place *out)
{
	const struct candidate *best = NULL;
	int64_t best_at = INT64_MAX;

	for (uint32_t i = 0; i < s->count; i++) {
		const struct candidate *c = &s->at[i];
		int64_t at = read_at(c, s->read_ms);

		if (!c->leads || harm_of(s, c, s->read_ms) > budget)
			continue;
		at += keep_free_ms(s, c);
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
	out->harm = harm_of(s, best, s->read_ms);
	out->choice.endpoint[0] = best->endpoint;
	out->choice.n = 1;
	out->choice.read_ms = s->read_ms;
	out->choice.start = best->forecast.read_at;
	out->choice.ttft_ms = read_at(best, s->read_ms) - s->now + WAY_MS;
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

/* The one that writes: where pauses are borne that others' reading makes. */
static const struct candidate *lead_of(const struct candidate **chosen,
				       uint32_t n)
{
	const struct candidate *lead = NULL;

	for (uint32_t i = 0; i < n; i++) {
		if (!chosen[i]->leads)
			continue;
		if (!lead || !chosen[i]->forecast.writers ||
		    (lead->forecast.writers &&
		     chosen[i]->forecast.gap_ms > lead->forecast.gap_ms))
			lead = chosen[i];
	}
	return lead;
}

/* The n engines that have read their part first, one of which can write. */
static bool choose_parts(struct engine_search *s, uint32_t n, double budget,
			 struct place *out)
{
	double part_ms = s->read_ms / n;
	const struct candidate *chosen[DL_GROUP_MAX] = { NULL };
	const struct candidate *lead;
	uint32_t count = 0;
	int64_t last = 0;

	for (uint32_t i = 0; i < s->count; i++) {
		const struct candidate *c = &s->at[i];

		if (s->least > 1 && !has_memory(s, c->endpoint))
			continue;
		if (c->endpoint->last.takes_groups &&
		    harm_of(s, c, part_ms) <= 2 * budget / n)
			keep_first(chosen, &count, n, c, part_ms);
	}
	lead = count == n ? lead_of(chosen, n) : NULL;
	if (!lead)
		return false;
	out->harm = 0;
	for (uint32_t i = 0; i < n; i++)
		out->harm += harm_of(s, chosen[i], part_ms);
	if (out->harm > budget)
		return false;
	out->harm = 0;
	out->choice.n = 0;
	out->choice.endpoint[out->choice.n++] = lead->endpoint;
	for (uint32_t i = 0; i < n; i++) {
		if (chosen[i] != lead)
			out->choice.endpoint[out->choice.n++] =
				chosen[i]->endpoint;
		out->harm += harm_of(s, chosen[i], part_ms);
		if (read_at(chosen[i], part_ms) > last)
			last = read_at(chosen[i], part_ms);
	}
	out->choice.read_ms = part_ms;
	out->choice.start = lead->forecast.read_at;
	out->choice.ttft_ms = last - s->now + WAY_MS;
	return true;
}

/* When all is written: a pass for each stride of tokens. */
static void forecast_end(const struct engine_search *s, struct pool_choice *out)
{
	const struct dl_engine_model *m = s->model;
	double passes = (double)s->want->output / (m->stride ? m->stride : 1);
	double pass = dl_engine_write_ms(m, 1, 0);

	out->share = s->share;
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
 * As many engines as keep each part short; where so many are not to be had,
 * fewer; and more, where only so it is in time.  One whose target has passed
 * gets no more: in a burst each would take a dozen engines for nothing (mean
 * worth of six loaded days of 57 engines 0.354 with, 0.386 without).
 */
static bool choose_number(struct engine_search *s, double budget,
			  struct place *out)
{
	uint32_t n = parts_for(s);
	uint32_t most = s->count < DL_GROUP_MAX ? s->count : DL_GROUP_MAX;
	bool found = false;

	if (s->read_ms <= PART_MS) {
		for (uint32_t k = n; k >= s->least && !found; k--)
			found = k == 1 ? choose_whole(s, budget, out) :
					 choose_parts(s, k, budget, out);
		if (s->read_ms <= WHOLE_MS)
			return found;
	}
	for (uint32_t k = s->least > 1 ? s->least : 1; k <= most; k++) {
		struct place one = { 0 };

		if (found &&
		    (double)(s->waited + out->choice.ttft_ms) <=
			    s->target * TARGET_SHARE &&
		    k > n)
			break;
		if (k > n && (double)s->waited >= s->target)
			break;
		if (!(k == 1 ? choose_whole(s, budget, &one) :
			       choose_parts(s, k, budget, &one)))
			continue;
		if (found && one.choice.ttft_ms >= out->choice.ttft_ms)
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
static bool choose_within(struct engine_search *s, double budget,
			  struct place *out)
{
	if (choose_number(s, budget, out))
		return true;
	if (s->least > 1 || s->read_ms <= PART_MS)
		return false;
	spread_memory(s);
	look(s);
	if (choose_number(s, budget, out))
		return true;
	share_memory(s);
	look(s);
	return false;
}

/*
 * Whether a prompt is so long that even all engines together would each be at
 * it for most of what anybody is given: its work grows with the square of its
 * length, and while it is read nothing else begins.
 */
static bool is_too_much(const struct engine_search *s)
{
	uint32_t n = s->count < DL_GROUP_MAX ? s->count : DL_GROUP_MAX;

	return n && s->read_ms / n > s->target * PART_TARGET_SHARE;
}

/* The best place for a request that has waited and would still be late. */
static bool choose_late(struct engine_search *s, struct place *out)
{
	struct place harsh = { 0 };
	double budget = s->weight;

	s->gap_share = GAP_SHARE_HARSH;
	if ((double)s->waited > s->target)
		budget *= LATE_WORTH;
	if (!choose_within(s, budget, &harsh))
		return false;
	if ((double)(s->waited + harsh.choice.ttft_ms) > s->target &&
	    s->read_ms > PART_MS && s->pool->queued > 1)
		return false;
	*out = harsh;
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
				   .waited = now - want->asked,
				   .gap_share = GAP_SHARE };
	struct place place = { 0 };
	bool found;

	*out = place.choice;
	s.target = want->target_ms ? want->target_ms : TARGET_DEFAULT_MS;
	s.read_ms = dl_engine_read_ms(s.model, want->prompt);
	s.weight = weight_of(want);
	share_memory(&s);
	look(&s);
	if (is_too_much(&s))
		return POOL_LATE;
	found = choose_within(&s, 0, &place);
	if (!found || (double)(s.waited + place.choice.ttft_ms) > s.target) {
		if ((double)s.waited < s.target * PATIENCE_SHARE)
			return POOL_WAIT;
		found = choose_late(&s, &place);
	}
	if (!found)
		return (double)s.waited > s.target && s.read_ms > PART_MS ?
			       POOL_LATE :
			       POOL_WAIT;
	if (s.read_ms > PART_MS && (double)s.waited < s.target &&
	    place.choice.ttft_ms - place.choice.read_ms >
		    AHEAD_MS + (double)s.waited * AHEAD_WAITED_SHARE)
		return POOL_WAIT;
	forecast_end(&s, &place.choice);
	*out = place.choice;
	if (!pool_place_in_time(out, want, now) ||
	    (want->first_by && now + out->ttft_ms > want->first_by))
		return (double)s.waited < s.target ? POOL_WAIT : POOL_LATE;
	return POOL_CHOSEN;
}

/* The whole time of a request on engines that have nothing else to do. */
static int64_t pool_engine_service_ms(const struct dl_pool *pool,
				      const struct pool_want *want)
{
	const struct dl_engine_model *m = &pool->conf.engine;
	uint32_t n = pool->open < DL_GROUP_MAX ? pool->open : DL_GROUP_MAX;
	double passes = (double)want->output / (m->stride ? m->stride : 1);

	return (int64_t)ceil(dl_engine_read_ms(m, want->prompt) / (n ? n : 1) +
			     passes * dl_engine_write_ms(m, 1, 0)) +
	       WAY_MS;
}

/*
 * When one that was refused may find a place: once the engines have read what
 * they have, and half its target for what came meanwhile.  Told too early,
 * callers use their one return for another refusal.
 */
static int64_t pool_engine_back_ms(const struct dl_pool *pool,
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
				const struct pool_grant *g, double read_ms,
				int64_t now)
{
	for (uint8_t i = 0; i < g->parts_n; i++) {
		struct pool_endpoint *e = g->parts[i].endpoint;
		struct dl_engine_item item = {
			.id = g->id,
			.context = g->want.prompt / g->parts_n,
			.gap_ms = i == 0 ? g->want.gap_ms : 0,
			.weight = (float)weight_of(&g->want),
			.read_ms = (float)read_ms,
			.due = due_of(&g->want),
			.last = g->want.first_by,
			.writes = i == 0,
		};

		if (e)
			dl_engine_add(&e->engine, &pool->conf.engine, &item,
				      now);
	}
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
	e->slow = fmin(fmax(e->slow, 1), PACE_MAX);
}

const struct dl_pool_policy dl_policy_engine = {
	.name = "engine",
	.queues = true,
	.choose = pool_engine_choose,
	.service_ms = pool_engine_service_ms,
	.back_ms = pool_engine_back_ms,
	.granted = pool_engine_granted,
	.learn = pool_engine_learn,
};
