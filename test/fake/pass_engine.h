/*
 * An engine that works in passes, for tests that play a load over the
 * dispatcher: written from the published description and not from the
 * product's model, so that a fault of that one shows.  Times in milliseconds.
 */
#ifndef TEST_FAKE_PASS_ENGINE_H
#define TEST_FAKE_PASS_ENGINE_H

#include <stdbool.h>
#include <stdint.h>

#include "daisyledge/engine.h"

#define PASS_ENGINE_ITEMS 2048

/* One caller's stream, over all the engines that work on it. */
struct pass_stream {
	uint64_t id;
	uint32_t parts_left; /* of its prompt, not yet read */
	uint32_t events_left;
	int64_t asked, granted;
	int64_t first, last; /* events; 0: none yet */
	int64_t longest_gap;
	uint64_t grant;
	void *owner;
};

/* What an engine has to do for a stream: read a part, and write, or only read.
 */
struct pass_item {
	struct pass_stream *stream;
	double prefill_ms;
	double context; /* tokens that each step of its writing costs */
	bool decodes;
	enum {
		PASS_QUEUED,  /* no slot */
		PASS_WAITING, /* for the next pass */
		PASS_PREFILL,
		PASS_PREFILLED, /* other engines still read their parts */
		PASS_DECODE,
	} state;
};

struct pass_engine {
	const struct dl_engine_model *model; /* as they are published */
	uint32_t slots;
	int64_t ends;  /* of the pass under way */
	bool decoding; /* somebody writes in it */
	uint32_t count;
	struct pass_item item[PASS_ENGINE_ITEMS];
};

void pass_engine_init(struct pass_engine *e,
		      const struct dl_engine_model *model);
void pass_engine_submit(struct pass_engine *e, struct pass_stream *s,
			double prefill_ms, double context, bool decodes,
			int64_t now);
/* Let time pass; done is called for each stream that ends. */
void pass_engine_run(struct pass_engine *e, int64_t now,
		     void (*done)(struct pass_stream *s, int64_t now));

#endif
