/*
 * Inside placing by the engine model: one search for one request.
 * pool_engine_place.c finds places and what they cost others, pool_engine.c
 * decides which a request may have, and when.
 */
#ifndef DL_COORDINATION_POOL_ENGINE_H
#define DL_COORDINATION_POOL_ENGINE_H

#include "pool_int.h"

/* The way to an engine and back, and its connection. */
#define ROUND_TRIP_MS 4
/*
 * A part that is read in this time, and the pass that it is read in, are within
 * what streams of longer prompts bear (600 ms and more).
 */
#define PART_PREFILL_MS 300.0
/* The most engines that are looked at for one request. */
#define POOL_ENGINE_CANDIDATES_MAX 1024

struct candidate {
	struct pool_endpoint *endpoint;
	struct dl_engine_forecast forecast; /* of no reading at all */
	bool can_decode;		    /* has the slot to write */
};

struct engine_search {
	struct dl_pool *pool;
	const struct dl_engine_model *model;
	const struct pool_want *want;
	int64_t now;
	int64_t waited_ms;
	double target_ms;
	double prefill_ms;
	double weight;
	uint32_t engines_min; /* engines, for the memory alone; 1: the lead has
				 it */
	double gap_share;     /* of a pause that a pass may take */
	uint32_t count;
	struct candidate candidate[POOL_ENGINE_CANDIDATES_MAX];
};

double pool_engine_weight(const struct pool_want *want);
int64_t pool_engine_target_at(const struct pool_want *want);
void pool_engine_collect(struct engine_search *s);
bool pool_engine_place(struct engine_search *s, double budget,
		       struct pool_choice *out);
void pool_engine_predict_end(const struct engine_search *s,
			     struct pool_choice *out);

#endif
