/*
 * A model of how an engine spends its time, from the figures that its operators
 * publish, and a forecast of one engine that follows what it was given.  Pure.
 *
 * An engine works in passes.  A pass reads what has been admitted since the
 * last one began, and writes stride tokens for each request whose prompt has
 * been read; all of them wait for its end.  So a prompt that is read beside
 * writers is a pause for every one of them, of as long as its reading takes.
 */
#ifndef DAISYLEDGE_ENGINE_H
#define DAISYLEDGE_ENGINE_H

#include "daisyledge/base.h"

/* Times in milliseconds, memory in tokens; slots is 0 where it is unknown. */
struct dl_engine_model {
	uint32_t slots;		/* requests at once */
	uint64_t memory_tokens; /* of one engine */
	uint32_t stride;	/* steps of a pass in which somebody writes */
	uint32_t chunk;		/* prompt tokens read in one step at most */
	double step_ms;		/* one step, for whomever it is */
	double per_writer_ms;	/* and for each request that writes */
	double per_context_ms;	/* and for each 1,000 tokens of its context */
	double read_per_ms;	/* tokens of a prompt */
	double per_pairs_ms; /* a million pairs of a token and an earlier one */
	double hop_ms;	     /* a step of a request that others read with */
	uint32_t usual_prompt, usual_output; /* mean tokens */
};

/* The time that reading a prompt takes, on one engine and alone. */
double dl_engine_prefill_ms(const struct dl_engine_model *m, uint64_t tokens);
/* One pass of some writers that reads nothing. */
double dl_engine_decode_pass_ms(const struct dl_engine_model *m,
				uint32_t streams, uint64_t context);

/* What an answer that comes late is worth of one on time, as operators say. */
#define DL_LATE_VALUE 0.25

/* The most requests and parts of requests that are followed on one engine. */
#define DL_ENGINE_ITEMS_MAX 64

/* A request, or the part of its prompt that is read for another engine. */
struct dl_engine_item {
	uint64_t id;
	uint64_t context;  /* tokens that each step of its writing costs */
	uint32_t gap_ms;   /* the longest pause that it bears; 0: any */
	float weight;	   /* what it counts for against others */
	float prefill_ms;  /* of its prompt, or part, here */
	int64_t target_at; /* its first event is late after it; 0: never */
	int64_t first_by;  /* its caller leaves without one; 0: never */
	bool decodes;	   /* here, once it is read */
	bool prefilling;   /* in the pass under way */
	bool waiting;	   /* for the next pass */
};

/* What one engine is expected to be at. */
struct dl_engine {
	int64_t pass_began;
	int64_t pass_ends; /* in the past: it is idle */
	bool decoding;	   /* somebody writes in the pass under way */
	uint32_t count;
	double slowdown; /* times as long as the model says */
	struct dl_engine_item item[DL_ENGINE_ITEMS_MAX];
};

/* What to expect of one more prompt, or part of one, on an engine. */
struct dl_engine_forecast {
	int64_t prefilled_at; /* when it has been read */
	double pass_ms;	      /* of the pass that reads it */
	uint32_t gap_ms;      /* the shortest pause borne there; 0: any */
	uint32_t streams;     /* that write or wait to */
	uint64_t context;     /* of all of them */
};

void dl_engine_init(struct dl_engine *e);
void dl_engine_advance(struct dl_engine *e, const struct dl_engine_model *m,
		       int64_t now);
/* -ENOSPC where too much is followed already. */
int dl_engine_add(struct dl_engine *e, const struct dl_engine_model *m,
		  const struct dl_engine_item *item, int64_t now);
/*
 * A request's first event left the engine at a time: a pass ended then.  What
 * is under way is moved to begin there.
 */
void dl_engine_observe_first_event(struct dl_engine *e,
				   const struct dl_engine_model *m, uint64_t id,
				   int64_t at);
/* It ended, or was given up. */
void dl_engine_remove(struct dl_engine *e, uint64_t id, int64_t now);
/*
 * What would bear a pass of from_ms and not one of to_ms, in weights; share: of
 * a pause that a pass may take.
 */
double dl_engine_gap_cost(const struct dl_engine *e, double from_ms,
			  double to_ms, double share);
/*
 * What would have its first event late if the pass that a prompt given now is
 * read in ended at to and not at from, in weights.
 */
double dl_engine_delay_cost(const struct dl_engine *e, int64_t from, int64_t to,
			    int64_t now);
void dl_engine_forecast(const struct dl_engine *e,
			const struct dl_engine_model *m, double prefill_ms,
			int64_t now, struct dl_engine_forecast *out);

#endif
