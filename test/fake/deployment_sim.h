/*
 * Simulates a load on a deployment of dispatcher and engines, and summarises
 * what its callers receive.  Callers arrive at random, request more tokens than
 * they use, and retry once as told after a refusal.  Times in milliseconds.
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
	double tokens;	/* mean prompt length */
	double spread;	/* standard deviation of its logarithm */
	double longest; /* longest prompt, in tokens */
	uint32_t events;
	uint32_t target_ms;   /* target of the first event */
	uint32_t gap_ms;      /* longest gap between events that is in time */
	uint32_t patience_ms; /* until the caller gives up */
};

struct sim_deployment {
	uint32_t engines;
	struct dl_engine_model engine;
	struct sim_kind kind[SIM_KINDS];
	double events_spread; /* standard deviation of log(events) */
	uint32_t workspaces;  /* number of workspaces; 0: one */
	/* failure domains, each with an equal share of engines and callers */
	uint32_t domains; /* 0: none is named */
	/* mean delay of a grant's request, and of its first event; 0: none */
	double way_ms;
};

/* What one caller received, for tests that count by time or domain. */
struct sim_outcome {
	uint32_t kind, domain;
	int64_t arrived;
	int64_t first;	       /* time of the first event; 0: none */
	int64_t granted;       /* 0: never */
	uint32_t predicted_ms; /* from the grant to the first event */
	int64_t longest_gap;
	bool in_time, served, away;
};

struct sim_load {
	const char *name;
	double rate[SIM_KINDS]; /* requests per second */
	uint32_t seconds;	/* duration of the arrivals */
	uint32_t seed;
	/*
	 * A warm-up load before it, whose streams are still on the engines;
	 * these callers are not counted.
	 */
	double warmup_rate[SIM_KINDS];
	uint32_t warmup_s;
};

/* How a load changes over time, and who sees its outcome; 0: neither. */
struct sim_shift {
	/* Factor on the rates of a domain at a time; NULL: 1. */
	double (*factor)(int64_t now, uint32_t domain, uint32_t kind);
	uint32_t mix_horizon_ms; /* of the pool; 0: off */
	/* Called for each counted caller at the end; may be NULL. */
	void (*observe)(void *arg, const struct sim_outcome *outcome);
	void *observe_arg;
};

struct sim_count {
	uint32_t asked, in_time, late, refused;
	/* The fifth of the prompts that are longest. */
	uint32_t longest_asked, longest_in_time;
	/* Served in time or late: the longest tenth, and the fifth below it. */
	uint32_t tenth_asked, tenth_served;
	uint32_t fifth_asked, fifth_served;
};

struct sim_result {
	struct sim_count kind[SIM_KINDS];
	/*
	 * Value served relative to the value requested.  A decoded token counts
	 * as ten prompt tokens, and a late answer counts a quarter.
	 */
	uint32_t value_permille;
};

void sim_run(const struct sim_deployment *deployment,
	     const struct sim_load *load, const struct dl_pool_policy *policy,
	     struct sim_result *out);
/* The same for a load that shifts, with the horizon of the pool. */
void sim_run_shift(const struct sim_deployment *deployment,
		   const struct sim_load *load, const struct sim_shift *shift,
		   const struct dl_pool_policy *policy, struct sim_result *out);
/* Permille of a kind served in time; 1000 if there were no requests. */
uint32_t sim_in_time_permille(const struct sim_result *result, uint32_t kind);
void sim_print(const struct sim_load *load, const char *way,
	       const struct sim_deployment *deployment,
	       const struct sim_result *result);

#endif
