/*
 * Work of light and heavy prompts that callers request from a pool, and what
 * the placement by the engine model makes of its forecast.
 */
#ifndef DL_COORDINATION_POOL_MIX_H
#define DL_COORDINATION_POOL_MIX_H

#include <stdbool.h>
#include <stdint.h>

/* Streams from which an engine gets no penalty, without a forecast. */
#define POOL_MIX_STREAMS_MAX 6
#define POOL_MIX_DOMAINS     8

/* Work requested per ms: two exponential means, as decaying sums. */
struct pool_mix_flow {
	double fast;
	double slow;
	int64_t at;
};

struct pool_mix {
	bool seen;		    /* since is set */
	int64_t since;		    /* the first request */
	struct pool_mix_flow heavy; /* engine ms per ms */
	struct {
		uint64_t domain;	    /* hash of its name */
		struct pool_mix_flow light; /* streams */
	} domain[POOL_MIX_DOMAINS];
	uint32_t domains;
	double heavy_held; /* forecast that placement goes by */
	int64_t heavy_held_at;
	double streams; /* the last decision of pool_mix_streams() */
};

/* Engines of a failure domain and of the others, as a placement sees them. */
struct pool_mix_room {
	uint64_t domain;
	uint32_t own_slots;
	uint32_t other_slots;
};

void pool_mix_add_heavy(struct pool_mix *mix, double engine_ms, int64_t now);
void pool_mix_add_light(struct pool_mix *mix, uint64_t domain, double stream_ms,
			int64_t now);
double pool_mix_heavy(const struct pool_mix *mix, uint32_t horizon_ms,
		      int64_t now);
double pool_mix_light(const struct pool_mix *mix, uint64_t domain,
		      uint32_t horizon_ms, int64_t now);
double pool_mix_light_all(const struct pool_mix *mix, uint32_t horizon_ms,
			  int64_t now);
double pool_mix_streams(struct pool_mix *mix, uint32_t engines,
			uint32_t horizon_ms, int64_t now);
double pool_mix_remote_share(const struct pool_mix *mix,
			     const struct pool_mix_room *room,
			     uint32_t horizon_ms, int64_t now);

#endif
