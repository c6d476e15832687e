/* The time of an engine: what passes take, and which is under way. */
#include "daisyledge/engine.h"

#include <errno.h>
#include <math.h>
#include <string.h>

#define TOKEN_PAIRS    1e6
#define CONTEXT_TOKENS 1000.0
/* Pauses of so many times what is on time make callers give up (of eight). */
#define ABANDON_GAPS	  4.0
#define ABANDONED_PENALTY 1000.0
/* A stream that is late already is still hurt by a longer pause. */
#define PENALTY_PER_MULTIPLE 0.5

static double gap_penalty(double pass_ms, double gap_ms);
static bool any_waiting(const struct dl_engine *e);
static void end_pass(struct dl_engine *e);
static void begin_pass(struct dl_engine *e, const struct dl_engine_model *m,
		       int64_t at);
static void count_streams(const struct dl_engine *e, uint32_t *streams,
			  uint64_t *context);

/* The time that reading a prompt takes, on one engine and alone. */
double dl_engine_prefill_ms(const struct dl_engine_model *m, uint64_t tokens)
{
	double n = (double)tokens;
	double rate = m->read_per_ms > 0 ? m->read_per_ms : 1;

	return n / rate + n * n / 2 / TOKEN_PAIRS * m->per_pairs_ms;
}

/* One pass of some streams that waiting_ms nothing. */
double dl_engine_decode_pass_ms(const struct dl_engine_model *m,
				uint32_t streams, uint64_t context)
{
	double step = m->step_ms + streams * m->per_writer_ms +
		      (double)context / CONTEXT_TOKENS * m->per_context_ms;

	return streams ? m->stride * step : 0;
}

/* An engine that has nothing to do. */
void dl_engine_init(struct dl_engine *e)
{
	memset(e, 0, sizeof(*e));
	e->slowdown = 1;
}

static bool any_waiting(const struct dl_engine *e)
{
	for (uint32_t i = 0; i < e->count; i++) {
		if (e->item[i].waiting)
			return true;
	}
	return false;
}

static void count_streams(const struct dl_engine *e, uint32_t *streams,
			  uint64_t *context)
{
	*streams = 0;
	*context = 0;
	for (uint32_t i = 0; i < e->count; i++) {
		const struct dl_engine_item *item = &e->item[i];

		if (!item->decodes || item->prefilling || item->waiting)
			continue;
		(*streams)++;
		*context += item->context;
	}
}

/* What was read writes from now on; parts for other engines are done. */
static void end_pass(struct dl_engine *e)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < e->count; i++) {
		struct dl_engine_item item = e->item[i];

		if (item.prefilling && !item.decodes)
			continue;
		item.prefilling = false;
		e->item[n++] = item;
	}
	e->count = n;
}

/* Take in what waits. */
static void begin_pass(struct dl_engine *e, const struct dl_engine_model *m,
		       int64_t at)
{
	uint64_t context;
	uint32_t streams;
	double ms;

	count_streams(e, &streams, &context);
	ms = dl_engine_decode_pass_ms(m, streams, context);
	e->decoding = streams > 0;
	for (uint32_t i = 0; i < e->count; i++) {
		if (!e->item[i].waiting)
			continue;
		e->item[i].waiting = false;
		e->item[i].prefilling = true;
		ms += e->item[i].prefill_ms;
	}
	e->pass_began = at;
	e->pass_ends = at + (int64_t)ceil(ms * e->slowdown);
}

/* Follow the engine up to now. */
void dl_engine_advance(struct dl_engine *e, const struct dl_engine_model *m,
		       int64_t now)
{
	while (e->count && e->pass_ends <= now) {
		uint32_t streams;
		uint64_t context;
		int64_t at = e->pass_ends;

		end_pass(e);
		count_streams(e, &streams, &context);
		if (!streams && !any_waiting(e))
			break;
		begin_pass(e, m, at);
		/* A pass takes time, or this would never end. */
		if (e->pass_ends <= at)
			e->pass_ends = at + 1;
	}
}

/* Give the engine a request, or a part to read for another one. */
int dl_engine_add(struct dl_engine *e, const struct dl_engine_model *m,
		  const struct dl_engine_item *item, int64_t now)
{
	struct dl_engine_item *to;

	dl_engine_advance(e, m, now);
	if (e->count == DL_ENGINE_ITEMS_MAX)
		return -ENOSPC;
	to = &e->item[e->count++];
	*to = *item;
	to->prefilling = false;
	to->waiting = true;
	if (e->pass_ends <= now) {
		begin_pass(e, m, now);
	} else if (!e->decoding) {
		/* Reading alone goes on step by step: it joins at once. */
		to->waiting = false;
		to->prefilling = true;
		e->pass_ends += (int64_t)ceil(to->prefill_ms * e->slowdown);
	}
	return 0;
}

/* What was taken in up to one of those that wait has been read with it. */
static void mark_prefilled_until(struct dl_engine *e,
				 const struct dl_engine_item *last)
{
	for (struct dl_engine_item *item = e->item; item <= last; item++) {
		item->prefilling |= item->waiting;
		item->waiting = false;
	}
}

/*
 * A first event shows where one pass ended and the next began.
 *
 * Load: passes of 120 to 150 ms on engines with a dozen short streams and parts
 * of long prompts.  A forecast that is wrong by half a pass made short streams
 * late that were taken to be in time (120 a day, on the average 220 ms later
 * than was foreseen).
 */
void dl_engine_observe_first_event(struct dl_engine *e,
				   const struct dl_engine_model *m, uint64_t id,
				   int64_t at)
{
	const struct dl_engine_item *item = NULL;
	int64_t late;

	dl_engine_advance(e, m, at);
	for (uint32_t i = 0; i < e->count && !item; i++) {
		if (e->item[i].id == id && e->item[i].decodes)
			item = &e->item[i];
	}
	if (!item || e->pass_ends <= at)
		return;
	late = at - e->pass_began;
	if (!item->prefilling && !item->waiting &&
	    late < (e->pass_ends - e->pass_began) / 2) {
		/* The pass before took longer, by so much. */
		e->pass_began = at;
		e->pass_ends += late;
		return;
	}
	if (item->waiting)
		mark_prefilled_until(e, item);
	end_pass(e);
	begin_pass(e, m, at);
}

/*
 * It ended, or was given up; what the pass under way had still to read of it
 * is not read any more.
 */
void dl_engine_remove(struct dl_engine *e, uint64_t id, int64_t now)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < e->count; i++) {
		const struct dl_engine_item *item = &e->item[i];

		if (item->id != id) {
			e->item[n++] = *item;
			continue;
		}
		if (item->prefilling)
			e->pass_ends -=
				(int64_t)(item->prefill_ms * e->slowdown);
	}
	e->count = n;
	if (e->pass_ends < now)
		e->pass_ends = now;
}

/*
 * How badly a pause is borne: 0 within gap_ms, 1 beyond, and more with each
 * multiple, up to where callers give up.
 */
static double gap_penalty(double pass_ms, double gap_ms)
{
	if (pass_ms <= gap_ms)
		return 0;
	if (pass_ms > gap_ms * ABANDON_GAPS)
		return ABANDONED_PENALTY;
	return 1 + PENALTY_PER_MULTIPLE * (pass_ms / gap_ms - 1);
}

/* The weight of those that a longer pass would pause for too long. */
double dl_engine_gap_cost(const struct dl_engine *e, double from_ms,
			  double to_ms, double share)
{
	double sum = 0;

	for (uint32_t i = 0; i < e->count; i++) {
		const struct dl_engine_item *item = &e->item[i];
		double gap_ms = item->gap_ms * share;

		if (item->decodes && item->gap_ms)
			sum += item->weight * (gap_penalty(to_ms, gap_ms) -
					       gap_penalty(from_ms, gap_ms));
	}
	return sum;
}

/*
 * The weight of those whose first event a longer pass makes late.
 *
 * Load: long prompts parted among engines on which nobody writes.  Such a pass
 * takes in what arrives, and what it waiting_ms is out only at its end: parts
 * that follow each other keep the first of them waiting (47,000 tokens foreseen
 * in 0.24 s came after 2.3 s, with five parts that joined one after the other).
 * While somebody writes, what arrives waits for the next pass instead.
 */
double dl_engine_delay_cost(const struct dl_engine *e, int64_t from, int64_t to,
			    int64_t now)
{
	bool joins = e->pass_ends > now && !e->decoding;
	double sum = 0;

	for (uint32_t i = 0; i < e->count; i++) {
		const struct dl_engine_item *item = &e->item[i];

		if (!item->waiting && !(joins && item->prefilling))
			continue;
		if (item->target_at && from <= item->target_at &&
		    to > item->target_at)
			sum += item->weight;
		if (item->first_by && from <= item->first_by &&
		    to > item->first_by)
			sum += item->weight * DL_LATE_VALUE;
	}
	return sum;
}

/* What to expect of one more prompt, or part of one; advance before. */
void dl_engine_forecast(const struct dl_engine *e,
			const struct dl_engine_model *m, double prefill_ms,
			int64_t now, struct dl_engine_forecast *out)
{
	bool busy = e->count && e->pass_ends > now;
	double waiting_ms = 0;
	uint32_t streams = 0;

	memset(out, 0, sizeof(*out));
	for (uint32_t i = 0; i < e->count; i++) {
		const struct dl_engine_item *item = &e->item[i];

		if (item->waiting)
			waiting_ms += item->prefill_ms;
		if (!item->decodes)
			continue;
		out->streams++;
		out->context += item->context;
		/* Those that wait write in the pass after it only. */
		streams += !item->waiting;
		if (item->gap_ms &&
		    (!out->gap_ms || item->gap_ms < out->gap_ms))
			out->gap_ms = item->gap_ms;
	}
	if (busy && !e->decoding) {
		out->pass_ms =
			(double)(e->pass_ends - now) + prefill_ms * e->slowdown;
		out->prefilled_at = now + (int64_t)ceil(out->pass_ms);
		return;
	}
	out->pass_ms = (dl_engine_decode_pass_ms(m, streams, out->context) +
			waiting_ms + prefill_ms) *
		       e->slowdown;
	out->prefilled_at =
		(busy ? e->pass_ends : now) + (int64_t)ceil(out->pass_ms);
}
