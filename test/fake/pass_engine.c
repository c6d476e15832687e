/* Simulated engine that works in passes; see the header. */
#include "pass_engine.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

static void begin_pass(struct pass_engine *e, int64_t now);

/* Initialises an idle engine; the model must outlive it. */
void pass_engine_init(struct pass_engine *e,
		      const struct dl_engine_model *model)
{
	memset(e, 0, sizeof(*e));
	e->model = model;
	e->slots = model->slots;
}

/* Number of slots in use; only items that decode need one. */
static uint32_t used_slots(const struct pass_engine *e)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < e->count; i++)
		n += e->item[i].decodes && e->item[i].state != PASS_QUEUED;
	return n;
}

/* Gives free slots to queued items in order of arrival. */
static void admit(struct pass_engine *e)
{
	uint32_t n = used_slots(e);

	for (uint32_t i = 0; i < e->count && n < e->slots; i++) {
		if (e->item[i].state != PASS_QUEUED)
			continue;
		e->item[i].state = PASS_WAITING;
		n++;
	}
}

/*
 * Adds a request, or a part of its prompt.  A pass without decoding runs step
 * by step and admits it at once, but its results are available only when the
 * prefill of everything admitted is complete.
 */
void pass_engine_submit(struct pass_engine *e, struct pass_stream *s,
			double prefill_ms, double context, bool decodes,
			int64_t now)
{
	struct pass_item *item;

	if (e->count == PASS_ENGINE_ITEMS)
		abort();
	item = &e->item[e->count++];
	*item = (struct pass_item){ s, prefill_ms, context, decodes,
				    PASS_QUEUED };
	if (!decodes)
		item->state = PASS_WAITING;
	admit(e);
	if (e->ends <= now) {
		begin_pass(e, now);
	} else if (!e->decoding && item->state == PASS_WAITING) {
		item->state = PASS_PREFILL;
		e->ends += (int64_t)ceil(prefill_ms);
	}
}

static void begin_pass(struct pass_engine *e, int64_t now)
{
	double streams = 0, context = 0, ms = 0;
	bool any = false;

	for (uint32_t i = 0; i < e->count; i++) {
		struct pass_item *item = &e->item[i];

		if (item->state == PASS_PREFILLED && item->decodes &&
		    item->stream->parts_left == 0)
			item->state = PASS_DECODE;
		if (item->state == PASS_WAITING) {
			item->state = PASS_PREFILL;
			ms += item->prefill_ms;
			any = true;
		}
		if (item->state == PASS_DECODE) {
			streams++;
			context += item->context;
		}
	}
	e->decoding = streams > 0;
	if (e->decoding)
		ms += e->model->stride *
		      (e->model->step_ms + streams * e->model->per_writer_ms +
		       context / 1000 * e->model->per_context_ms);
	if (any || e->decoding)
		e->ends = now + (int64_t)ceil(ms > 1 ? ms : 1);
}

static void emit_event(struct pass_stream *s, int64_t now)
{
	if (!s->first)
		s->first = now;
	else if (now - s->last > s->longest_gap)
		s->longest_gap = now - s->last;
	s->last = now;
	s->events_left--;
}

/* Ends a pass: prefills are complete, and each stream has an event. */
static void end_pass(struct pass_engine *e, int64_t now,
		     void (*done)(struct pass_stream *s, int64_t now))
{
	struct pass_stream *ended[PASS_ENGINE_ITEMS];
	uint32_t n = 0, ended_n = 0;

	for (uint32_t i = 0; i < e->count; i++) {
		struct pass_item item = e->item[i];

		if (item.state == PASS_PREFILL) {
			/* The last part yields the first token. */
			if (--item.stream->parts_left == 0)
				emit_event(item.stream, now);
			item.state = PASS_PREFILLED;
			if (!item.decodes)
				continue;
		} else if (item.state == PASS_DECODE) {
			emit_event(item.stream, now);
			if (item.stream->events_left == 0) {
				ended[ended_n++] = item.stream;
				continue;
			}
		}
		e->item[n++] = item;
	}
	e->count = n;
	admit(e);
	for (uint32_t i = 0; i < ended_n; i++)
		done(ended[i], now);
}

/*
 * Whether a pass can begin now, also for a stream whose last part was prefilled
 * by another engine.
 */
static bool can_begin(const struct pass_engine *e)
{
	for (uint32_t i = 0; i < e->count; i++) {
		if (e->item[i].state == PASS_WAITING ||
		    e->item[i].state == PASS_DECODE ||
		    (e->item[i].state == PASS_PREFILLED &&
		     e->item[i].stream->parts_left == 0))
			return true;
	}
	return false;
}

/* Advances to now; must be called at least once per pass. */
void pass_engine_run(struct pass_engine *e, int64_t now,
		     void (*done)(struct pass_stream *s, int64_t now))
{
	if (e->ends > now)
		return;
	if (e->ends) {
		e->ends = 0;
		end_pass(e, now, done);
	}
	if (e->ends <= now && can_begin(e))
		begin_pass(e, now);
}
