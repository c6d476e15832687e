/*
 * A load played over the dispatcher and emulated engines, and what its callers
 * get: they come at random, allow more tokens than they use, and come back once
 * as told when they are refused.  Times in milliseconds.
 */
#ifndef TEST_FAKE_DEPLOYMENT_SIM_H
#define TEST_FAKE_DEPLOYMENT_SIM_H

#include "daisyledge/engine.h"
#include "daisyledge/pool.h"

#define SIM_KINDS	3
#define SIM_ENGINES_MAX 96

/* One kind of request, shortest prompts first. */
struct sim_kind {
	const char *name;
	double tokens;	/* mean of a prompt */
	double spread;	/* of its logarithm */
	double longest; /* tokens */
	uint32_t events;
	uint32_t target_ms;   /* of the first event */
	uint32_t gap_ms;      /* the longest pause that is on time */
	uint32_t patience_ms; /* until the caller leaves */
};

struct sim_deployment {
	uint32_t engines;
	struct dl_engine_model engine;
	struct sim_kind kind[SIM_KINDS];
	double events_spread; /* of the logarithm of their number */
	uint32_t workspaces;  /* that callers belong to; 0: one */
};

struct sim_load {
	const char *name;
	double rate[SIM_KINDS]; /* requests a second */
	uint32_t seconds;	/* in which callers come */
	uint32_t seed;
	/*
	 * The load before it, which leaves its mark on the engines; callers of
	 * that time are not counted.
	 */
	double warmup_rate[SIM_KINDS];
	uint32_t warmup_s;
};

struct sim_count {
	uint32_t asked, in_time, late, refused;
	/* Of the fifth of the prompts that are longest. */
	uint32_t longest_asked, longest_in_time;
	/* Served at all, late or not: the longest tenth, the fifth below it. */
	uint32_t tenth_asked, tenth_served;
	uint32_t fifth_asked, fifth_served;
};

struct sim_result {
	struct sim_count kind[SIM_KINDS];
	/*
	 * Of a thousand, what callers got of what they asked for, by tokens of
	 * which those written count ten times: late ones count a quarter.
	 */
	uint32_t value_permille;
};

void sim_run(const struct sim_deployment *deployment,
	     const struct sim_load *load, const struct dl_pool_policy *policy,
	     struct sim_result *out);
/* Of a thousand of one kind, those in time; 1000 where none was asked for. */
uint32_t sim_in_time_permille(const struct sim_result *result, uint32_t kind);
void sim_print(const struct sim_load *load, const char *way,
	       const struct sim_deployment *deployment,
	       const struct sim_result *result);

#endif
