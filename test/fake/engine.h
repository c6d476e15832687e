/*
 * Timing and memory model of an engine: chunked prefill in order of priority,
 * batched decoding of all running sequences, and KV memory counted in tokens.
 * No sockets and no clock.
 */
#ifndef DL_TEST_FAKE_ENGINE_H
#define DL_TEST_FAKE_ENGINE_H

#include <glib.h>

#include "daisyledge/base.h"

struct fake_engine_conf {
	uint64_t memory_tokens;
	uint32_t slots;	       /* sequences that decode concurrently */
	uint32_t prefill_rate; /* tokens per second */
	uint32_t decode_rate;  /* tokens per second and sequence */
	double slow;	       /* slowdown factor; 1: as configured */
};

struct fake_seq {
	uint64_t prompt_tokens;
	uint64_t output_tokens;
	uint64_t held_tokens; /* memory on this engine */
	uint32_t engines;     /* that share the prefill */
	int priority;	      /* 0 is the highest */
	double prefilled;
	double decoded;
};

struct fake_engine {
	struct fake_engine_conf conf;
	uint64_t used_tokens;
	GPtrArray *seqs; /* by priority, then by age */
};

void fake_engine_init(struct fake_engine *e,
		      const struct fake_engine_conf *conf);
/* Reserves memory; returns 0 or -ENOSPC. */
int fake_engine_hold(struct fake_engine *e, uint64_t tokens);
void fake_engine_free_tokens(struct fake_engine *e, uint64_t tokens);
int fake_engine_begin(struct fake_engine *e, struct fake_seq *seq);
void fake_engine_end(struct fake_engine *e, struct fake_seq *seq);
void fake_engine_step(struct fake_engine *e, double ms);
uint64_t fake_engine_backlog(const struct fake_engine *e);
/* Number of answer tokens generated so far. */
uint64_t fake_seq_ready(const struct fake_seq *seq);

#endif
