/*
 * Internals of placement by the engine model: the search for one request.
 * pool_engine_place.c finds placements and their cost to other requests;
 * pool_engine.c decides which cost a request may cause, and when.
 */
#ifndef DL_COORDINATION_POOL_ENGINE_H
#define DL_COORDINATION_POOL_ENGINE_H

#include "pool_int.h"

/* Network round trip to an engine, including the connection setup. */
#define ROUND_TRIP_MS 4
/*
 * Prefill time of one part at which the pass that contains it stays within the
 * gap that streams of longer prompts tolerate (600 ms and more).
 */
#define PART_PREFILL_MS 300.0
/*
 * The most engines from which a group is chosen: those that are free first,
 * ten times the largest group.  Each request that waits is tried again and
 * again for each size of a group; with all engines the time of a decision would
 * grow with the pool, and other requests of its dispatcher wait for it.
 */
#define POOL_ENGINE_GROUP_CANDIDATES (10 * DL_GROUP_MAX)

struct candidate {
	struct pool_endpoint *endpoint;
	struct dl_engine_forecast forecast; /* without this request */
	bool can_decode;		    /* has a free slot */
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
	uint32_t engines_min; /* for the memory; 1: the lead holds all of it */
	double gap_share;     /* of a tolerated gap that a pass may use */
	double consolidated_streams; /* on an engine that gets no penalty */
	double remote_share;	     /* of the preference for the own domain */
	uint32_t count;
	struct candidate *candidate; /* room for every endpoint of the pool */
	/* those that a group is chosen from, once one is */
	uint32_t earliest_count;
	const struct candidate *earliest[POOL_ENGINE_GROUP_CANDIDATES];
};

double pool_engine_weight(const struct pool_want *want);
int64_t pool_engine_target_at(const struct pool_want *want);
void pool_engine_count(struct dl_pool *pool, const struct pool_want *want,
		       int64_t now);
void pool_engine_collect(struct engine_search *s);
bool pool_engine_place(struct engine_search *s, double budget,
		       struct pool_choice *out);
void pool_engine_predict_end(const struct engine_search *s,
			     struct pool_choice *out);

#endif
