/*
 * A model engine's time and memory: chunked prefill in the order of
 * priorities, decoding of all running sequences at once, KV memory by tokens.
 * No sockets and no clock.
 */
#ifndef DL_TEST_FAKE_ENGINE_H
#define DL_TEST_FAKE_ENGINE_H

#include <glib.h>

#include "daisyledge/base.h"

struct fake_engine_conf {
	uint64_t memory_tokens;
	uint32_t slots;	       /* sequences that decode at once */
	uint32_t prefill_rate; /* tokens a second */
	uint32_t decode_rate;  /* tokens a second of one sequence */
	double slow;	       /* 1 for as fast as said */
};

struct fake_seq {
	uint64_t prompt_tokens;
	uint64_t output_tokens;
	uint64_t held_tokens; /* memory here */
	uint32_t engines;     /* that share the prefill */
	int priority;	      /* 0 goes first */
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
/* 0, or -ENOSPC where its memory is not there. */
int fake_engine_hold(struct fake_engine *e, uint64_t tokens);
void fake_engine_free_tokens(struct fake_engine *e, uint64_t tokens);
int fake_engine_begin(struct fake_engine *e, struct fake_seq *seq);
void fake_engine_end(struct fake_engine *e, struct fake_seq *seq);
void fake_engine_step(struct fake_engine *e, double ms);
uint64_t fake_engine_backlog(const struct fake_engine *e);
/* Tokens of the answer that are there. */
uint64_t fake_seq_ready(const struct fake_seq *seq);

#endif
