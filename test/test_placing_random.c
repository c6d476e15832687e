/*
 * Simulates random deployments (engines, prompts, targets and rates).  On none
 * may the engine policy serve less value than a baseline policy, so that it is
 * not tuned to the known deployments only.
 */
#include <check.h>
#include <glib.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>

#include "fake/deployment_sim.h"
#include "fake/suite.h"

#define DEPLOYMENTS 40
#define SECONDS	    10
/* Bounds of the demand, as shares of the prefill capacity and of the slots. */
#define PREFILL_LOAD_MIN 0.3
#define PREFILL_LOAD_MAX 0.75
#define SLOT_LOAD_MAX	 0.5
/* Tolerance: a single long prompt can be 2 % of the value of a run. */
#define SLACK_PERMILLE 20

static GRand *rnd;

/* Draws between two values, uniform in the logarithm. */
static double draw_log_uniform(double min, double max)
{
	return exp(g_rand_double_range(rnd, log(min), log(max)));
}

/* Engine speeds vary by a factor of four. */
static void draw_engine(struct dl_engine_model *m)
{
	*m = (struct dl_engine_model){
		.slots = (uint32_t)draw_log_uniform(8, 24),
		.memory_tokens = (uint64_t)draw_log_uniform(150000, 400000),
		.stride = (uint32_t)draw_log_uniform(30, 60),
		.chunk = 2048,
		.step_ms = draw_log_uniform(0.5, 2),
		.per_writer_ms = draw_log_uniform(0.002, 0.006),
		.per_context_ms = draw_log_uniform(0.002, 0.006),
		.read_per_ms = draw_log_uniform(80, 320),
		.per_pairs_ms = draw_log_uniform(0.07, 0.28),
		.hop_ms = draw_log_uniform(0.03, 0.1),
		.usual_output = 1500,
	};
}

static void draw_kinds(struct sim_kind kinds[SIM_KINDS])
{
	kinds[0] = (struct sim_kind){ "short",
				      draw_log_uniform(1000, 8000),
				      draw_log_uniform(0.4, 0.9),
				      24000,
				      (uint32_t)draw_log_uniform(15, 40),
				      (uint32_t)draw_log_uniform(200, 600),
				      250,
				      10000 };
	kinds[1] = (struct sim_kind){ "middle",
				      draw_log_uniform(20000, 60000),
				      draw_log_uniform(0.3, 0.6),
				      110000,
				      (uint32_t)draw_log_uniform(10, 25),
				      (uint32_t)draw_log_uniform(1000, 3000),
				      600,
				      10000 };
	kinds[2] = (struct sim_kind){ "long",
				      draw_log_uniform(80000, 200000),
				      draw_log_uniform(0.3, 0.6),
				      500000,
				      (uint32_t)draw_log_uniform(8, 20),
				      (uint32_t)draw_log_uniform(2000, 6000),
				      1000,
				      15000 };
}

/* Mean prefill time of a kind of prompt on one engine. */
static double mean_prefill_ms(const struct dl_engine_model *m,
			      const struct sim_kind *k)
{
	double square = k->tokens * k->tokens * exp(k->spread * k->spread);

	return k->tokens / m->read_per_ms + square / 2 / 1e6 * m->per_pairs_ms;
}

/* Mean time that a stream of a kind occupies a slot on an idle engine. */
static double mean_decode_ms(const struct dl_engine_model *m,
			     const struct sim_kind *k)
{
	return k->events * m->stride * m->step_ms;
}

/* Draws the share of each kind in the prefill load, limited by the slots. */
static void draw_rates(const struct sim_deployment *d, struct sim_load *load)
{
	double share[SIM_KINDS], sum = 0, slots = 0;
	double prefill_load =
		g_rand_double_range(rnd, PREFILL_LOAD_MIN, PREFILL_LOAD_MAX);
	double slots_free = SLOT_LOAD_MAX * d->engine.slots * d->engines;

	for (uint32_t k = 0; k < SIM_KINDS; k++)
		sum += share[k] = g_rand_double_range(rnd, 0.1, 1);
	for (uint32_t k = 0; k < SIM_KINDS; k++) {
		load->rate[k] = prefill_load * share[k] / sum * d->engines *
				1000 / mean_prefill_ms(&d->engine, &d->kind[k]);
		slots += load->rate[k] *
			 mean_decode_ms(&d->engine, &d->kind[k]) / 1000;
	}
	for (uint32_t k = 0; k < SIM_KINDS && slots > slots_free; k++)
		load->rate[k] *= slots_free / slots;
}

START_TEST(is_no_worse_than_baselines)
{
	struct sim_deployment d = { .events_spread = 0.6, .workspaces = 8 };
	struct sim_load load = { .name = "drawn", .seconds = SECONDS };
	struct sim_result engine, round_robin, least_load;

	rnd = g_rand_new_with_seed((guint32)_i + 1);
	d.engines = (uint32_t)draw_log_uniform(3, 60);
	draw_engine(&d.engine);
	draw_kinds(d.kind);
	draw_rates(&d, &load);
	load.seed = g_rand_int(rnd);
	g_rand_free(rnd);
	sim_run(&d, &load, &dl_policy_engine, &engine);
	sim_run(&d, &load, &dl_policy_round_robin, &round_robin);
	sim_run(&d, &load, &dl_policy_least_load, &least_load);
	printf("%2u engines, %.1f %.1f %.1f a second: worth %u, round robin %u, least load %u\n",
	       d.engines, load.rate[0], load.rate[1], load.rate[2],
	       engine.value_permille, round_robin.value_permille,
	       least_load.value_permille);
	fflush(stdout);
	ck_assert_uint_ge(engine.value_permille + SLACK_PERMILLE,
			  round_robin.value_permille);
	ck_assert_uint_ge(engine.value_permille + SLACK_PERMILLE,
			  least_load.value_permille);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("placing random");
	TCase *tc = tcase_create("drawn");

	tcase_add_loop_test(tc, is_no_worse_than_baselines, 0, DEPLOYMENTS);
	tcase_set_timeout(tc, 120);
	suite_add_tcase(suite, tc);
	return suite_run(suite);
}
