/*
 * A timing model of an inference engine, built from the figures that its
 * operators publish, and a forecast for one engine from the requests that it
 * was given.  No input or output.
 *
 * An engine works in passes (scheduling iterations).  A pass prefills every
 * prompt admitted since the last pass began and decodes stride tokens for each
 * request whose prefill is complete.  Results are available when the pass ends,
 * so a prefill pauses every stream in the same pass for as long as it takes.
 */
#ifndef DAISYLEDGE_ENGINE_H
#define DAISYLEDGE_ENGINE_H

#include "daisyledge/base.h"

/* Times in milliseconds, memory in tokens; slots is 0 if unknown. */
struct dl_engine_model {
	uint32_t slots;		/* concurrent requests */
	uint64_t memory_tokens; /* KV memory of one engine */
	uint32_t stride;	/* decode steps in a pass that decodes */
	uint32_t chunk;		/* most prompt tokens prefilled in one step */
	double step_ms;		/* base time of a decode step */
	double per_writer_ms;	/* added to a step per decoding request */
	double per_context_ms;	/* added to a step per 1,000 context tokens */
	double read_per_ms;	/* prompt tokens prefilled per millisecond */
	double per_pairs_ms; /* attention, per million pairs of prompt tokens */
	double hop_ms;	     /* added to a step of a group's request */
	uint32_t usual_prompt, usual_output; /* mean tokens */
};

/* Prefill time of a prompt on one otherwise idle engine. */
double dl_engine_prefill_ms(const struct dl_engine_model *m, uint64_t tokens);
/* Duration of a pass that decodes this many streams and prefills nothing. */
double dl_engine_decode_pass_ms(const struct dl_engine_model *m,
				uint32_t streams, uint64_t context);

/* Value of a late answer relative to one on time, as operators set it. */
#define DL_LATE_VALUE 0.25

/* The most requests and prompt parts tracked on one engine. */
#define DL_ENGINE_ITEMS_MAX 64

/* A request, or a part of its prompt that is prefilled for another engine. */
struct dl_engine_item {
	uint64_t id;
	uint64_t context;  /* tokens in context at each decode step */
	uint32_t gap_ms;   /* longest tolerated gap between events; 0: any */
	float weight;	   /* value relative to other requests */
	float prefill_ms;  /* of its prompt, or its part, on this engine */
	int64_t target_at; /* target time of its first event; 0: none */
	int64_t first_by;  /* caller gives up without an event; 0: never */
	int64_t ends_at;   /* of foreign work; 0: until it is removed */
	bool decodes;	   /* decodes on this engine after its prefill */
	bool prefilling;   /* in the current pass */
	bool waiting;	   /* for the next pass */
};

/* The expected state of one engine. */
struct dl_engine {
	int64_t pass_began;
	int64_t pass_ends; /* the engine is idle if this has passed */
	bool decoding;	   /* the current pass decodes at least one stream */
	uint32_t count;
	double slowdown; /* measured over modelled time */
	struct dl_engine_item item[DL_ENGINE_ITEMS_MAX];
};

/* Forecast for one more prompt, or part of one, on an engine. */
struct dl_engine_forecast {
	int64_t prefilled_at; /* end of its prefill */
	double pass_ms;	      /* duration of the pass that prefills it */
	uint32_t gap_ms;      /* shortest gap tolerated there; 0: any */
	uint32_t streams;     /* that decode or will decode there */
	uint64_t context;     /* total context of these streams */
};

void dl_engine_init(struct dl_engine *e);
void dl_engine_advance(struct dl_engine *e, const struct dl_engine_model *m,
		       int64_t now);
/* Returns -ENOSPC if DL_ENGINE_ITEMS_MAX items are tracked already. */
int dl_engine_add(struct dl_engine *e, const struct dl_engine_model *m,
		  const struct dl_engine_item *item, int64_t now);
/*
 * Adds a request that the engine has had for a while and whose first event is
 * due in rest_ms; 0: it is past it.  Returns -ENOSPC as dl_engine_add() does.
 */
int dl_engine_resume(struct dl_engine *e, const struct dl_engine_model *m,
		     const struct dl_engine_item *item, double rest_ms,
		     int64_t now);
/*
 * Corrects the forecast: a request's first event left the engine at this time,
 * so a pass ended and the next one began then.
 */
void dl_engine_observe_first_event(struct dl_engine *e,
				   const struct dl_engine_model *m, uint64_t id,
				   int64_t at);
/* Removes a request that ended or was cancelled. */
void dl_engine_remove(struct dl_engine *e, uint64_t id, int64_t now);
/*
 * Foreign work: requests that the engine reports and no grant explains.  Their
 * items have an ends_at; they end with the first pass that ends after it.
 */
uint32_t dl_engine_foreign(const struct dl_engine *e, uint64_t *tokens);
/* Removes all but this many foreign items, those that end first. */
void dl_engine_keep_foreign(struct dl_engine *e, uint32_t keep, int64_t now);
/*
 * Weighted cost to the streams whose tolerated gap is exceeded when a pass
 * grows from from_ms to to_ms.  A pass may use up to share of that gap.
 */
double dl_engine_gap_cost(const struct dl_engine *e, double from_ms,
			  double to_ms, double share);
/*
 * Weighted cost to the requests whose first event becomes late when the pass
 * that would prefill a prompt added now ends at to instead of from.
 */
double dl_engine_delay_cost(const struct dl_engine *e, int64_t from, int64_t to,
			    int64_t now);
void dl_engine_forecast(const struct dl_engine *e,
			const struct dl_engine_model *m, double prefill_ms,
			int64_t now, struct dl_engine_forecast *out);

#endif
