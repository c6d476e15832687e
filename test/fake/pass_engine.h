/*
 * Simulated engine that works in passes, for load simulations.  It follows the
 * published description and shares no code with the model in engine.c, so that
 * a fault of that model shows.  Times in milliseconds.
 */
#ifndef TEST_FAKE_PASS_ENGINE_H
#define TEST_FAKE_PASS_ENGINE_H

#include <stdbool.h>
#include <stdint.h>

#include "daisyledge/engine.h"

#define PASS_ENGINE_ITEMS 2048

/* One caller's stream, shared by all engines that work on it. */
struct pass_stream {
	uint64_t id;
	uint32_t parts_left; /* parts of its prompt not prefilled yet */
	uint32_t events_left;
	int64_t asked, granted;
	int64_t first, last; /* events; 0: none yet */
	int64_t longest_gap;
	uint64_t grant;
	void *owner;
};

/* Work of an engine for a stream: prefill a part and, if decodes, decode. */
struct pass_item {
	struct pass_stream *stream;
	double prefill_ms;
	double context; /* tokens in context at each decode step */
	bool decodes;
	enum {
		PASS_QUEUED,  /* for a slot */
		PASS_WAITING, /* for the next pass */
		PASS_PREFILL,
		PASS_PREFILLED, /* other engines still prefill their parts */
		PASS_DECODE,
	} state;
};

struct pass_engine {
	const struct dl_engine_model *model; /* published figures */
	uint32_t slots;
	int64_t ends;  /* end of the current pass; 0 or past: idle */
	bool decoding; /* in the current pass */
	uint32_t count;
	struct pass_item item[PASS_ENGINE_ITEMS];
};

void pass_engine_init(struct pass_engine *e,
		      const struct dl_engine_model *model);
void pass_engine_submit(struct pass_engine *e, struct pass_stream *s,
			double prefill_ms, double context, bool decodes,
			int64_t now);
/* Advances to now; calls done for each stream that ends. */
void pass_engine_run(struct pass_engine *e, int64_t now,
		     void (*done)(struct pass_stream *s, int64_t now));

#endif
