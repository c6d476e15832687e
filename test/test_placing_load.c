/*
 * Simulates bursts of load on several deployments, and compares the share of
 * streams in time, by prompt length, under the engine policy with round robin
 * and least load.
 */
#include <check.h>
#include <stdio.h>
#include <stdlib.h>

#include "fake/deployment_sim.h"
#include "fake/published_engine.h"
#include "fake/suite.h"

#define SECONDS 24
/* Duration of the bursts of long prompts. */
#define BURST_S 10
#define SEED	11

/* Sixteen engines with 315,000 tokens. */
static const struct sim_deployment sixteen = {
	.engines = 16,
	.engine = { PUBLISHED_ENGINE, .hop_ms = 0.05, .usual_output = 1622 },
	.kind = {
		{ "short", 4960, 0.5, 23800, 33, 300, 250, 10000 },
		{ "middle", 45000, 0.4, 110000, 20, 1500, 600, 10000 },
		{ "long", 154000, 0.35, 300000, 16, 3000, 1000, 15000 },
	},
};

/* Engines with 232,000 tokens: one in twelve long prompts needs several. */
#define SMALLER(n)                                                               \
	{                                                                        \
		.engines = (n),                                                \
		.engine = { PUBLISHED_ENGINE_SMALLER, .hop_ms = 0.075,         \
			    .usual_output = 1622 },                            \
		.kind = {                                                      \
			{ "short", 4960, 0.9, 23800, 32, 300, 250, 10000 },    \
			{ "middle", 45000, 0.5, 110000, 19, 1500, 600,         \
			  10000 },                                             \
			{ "long", 133000, 0.55, 600000, 16, 2500, 1000,        \
			  15000 },                                             \
		},                                                             \
		.events_spread = 0.6, \
	}

static const struct sim_deployment twenty_one = SMALLER(21);
/* The same deployment after the loss of four engines. */
static const struct sim_deployment seventeen = SMALLER(17);

/*
 * Engines with 197,200 tokens: three in eight of the long prompts need several.
 * 58 engines are left of 69 after the loss of eleven.
 */
static const struct sim_deployment fifty_eight = {
	.engines = 58,
	.engine = { PUBLISHED_ENGINE_SMALLEST, .hop_ms = 0.075,
		    .usual_output = 1500 },
	.kind = {
		{ "short", 4960, 0.9, 23800, 31, 300, 250, 10000 },
		{ "middle", 45000, 0.5, 110000, 18, 1500, 600, 10000 },
		{ "long", 190000, 0.55, 600000, 15, 3000, 1000, 15000 },
	},
	.events_spread = 0.6,
	.workspaces = 24,
};

/* Prefill load at capacity, right after a burst of short prompts. */
static const struct sim_load overload = {
	"58, full", { 37, 10, 13.5 }, BURST_S, SEED, { 287, 3.9, 0.24 }, 8,
};
#define OVERLOAD_SEEDS 8

struct load_case {
	const struct sim_deployment *deployment;
	struct sim_load load;
	/* Required permille in time under the engine policy. */
	uint32_t in_time_min[SIM_KINDS];
};

static const struct load_case cases[] = {
	{ &sixteen,
	  { "steady", { 32.6, 1.66, 1.0 }, SECONDS, SEED, { 0 }, 0 },
	  { 980, 950, 900 } },
	{ &sixteen,
	  { "long burst", { 9.8, 2.16, 2.0 }, SECONDS, SEED, { 0 }, 0 },
	  { 980, 950, 900 } },
	{ &sixteen,
	  { "short burst", { 78, 0.83, 0.05 }, SECONDS, SEED, { 0 }, 0 },
	  { 980, 950, 500 } },
	{ &twenty_one,
	  { "21, steady", { 44.6, 2.44, 2.05 }, SECONDS, SEED, { 0 }, 0 },
	  { 980, 950, 950 } },
	{ &twenty_one,
	  { "21, long burst", { 13.7, 3.05, 5.1 }, BURST_S, SEED, { 0 }, 0 },
	  { 950, 900, 850 } },
	{ &twenty_one,
	  { "21, short burst", { 103, 1.17, 0.1 }, SECONDS, SEED, { 0 }, 0 },
	  { 980, 950, 500 } },
	/* Streams of a preceding burst still run on all engines. */
	{ &seventeen,
	  { "17, after one",
	    { 44.6, 2.44, 2.05 },
	    SECONDS,
	    SEED,
	    { 103, 1.17, 0.1 },
	    6 },
	  { 970, 920, 880 } },
};

START_TEST(serves_bursts_in_time)
{
	const struct load_case *c = &cases[_i];
	struct sim_result engine, round_robin, least_load;

	sim_run(c->deployment, &c->load, &dl_policy_engine, &engine);
	sim_print(&c->load, "engine", c->deployment, &engine);
	sim_run(c->deployment, &c->load, &dl_policy_round_robin, &round_robin);
	sim_print(&c->load, "round robin", c->deployment, &round_robin);
	sim_run(c->deployment, &c->load, &dl_policy_least_load, &least_load);
	sim_print(&c->load, "least load", c->deployment, &least_load);
	for (uint32_t k = 0; k < SIM_KINDS; k++) {
		uint32_t permille = sim_in_time_permille(&engine, k);

		ck_assert_msg(permille >= c->in_time_min[k],
			      "%s: %u of a thousand %s ones in time",
			      c->load.name, permille,
			      c->deployment->kind[k].name);
		ck_assert_uint_ge(permille,
				  sim_in_time_permille(&round_robin, k));
		ck_assert_uint_ge(permille,
				  sim_in_time_permille(&least_load, k));
	}
}
END_TEST

/*
 * Under overload the longest prompts must not be starved: the longest tenth and
 * the fifth below it are served at least half as often as all long prompts.
 */
START_TEST(serves_longest_prompts)
{
	struct sim_count sum = { 0 };
	struct sim_load load = overload;

	for (uint32_t i = 0; i < OVERLOAD_SEEDS; i++) {
		const struct sim_count *c;
		struct sim_result result;

		load.seed = SEED + i;
		sim_run(&fifty_eight, &load, &dl_policy_engine, &result);
		sim_print(&load, "engine", &fifty_eight, &result);
		c = &result.kind[SIM_KINDS - 1];
		sum.asked += c->asked;
		sum.in_time += c->in_time + c->late;
		sum.tenth_asked += c->tenth_asked;
		sum.tenth_served += c->tenth_served;
		sum.fifth_asked += c->fifth_asked;
		sum.fifth_served += c->fifth_served;
	}
	printf("served of all %u of %u, longest tenth %u of %u, next fifth %u of %u\n",
	       sum.in_time, sum.asked, sum.tenth_served, sum.tenth_asked,
	       sum.fifth_served, sum.fifth_asked);
	ck_assert_uint_ge(2ul * sum.tenth_served * sum.asked,
			  (unsigned long)sum.in_time * sum.tenth_asked);
	ck_assert_uint_ge(2ul * sum.fifth_served * sum.asked,
			  (unsigned long)sum.in_time * sum.fifth_asked);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("placing load");
	TCase *tc = tcase_create("load");

	tcase_add_loop_test(tc, serves_bursts_in_time, 0,
			    sizeof(cases) / sizeof(cases[0]));
	tcase_add_test(tc, serves_longest_prompts);
	tcase_set_timeout(tc, 300);
	suite_add_tcase(suite, tc);
	return suite_run(suite);
}
