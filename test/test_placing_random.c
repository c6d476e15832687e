/*
 * Deployments that nobody has seen: their engines, prompts, targets and rates
 * are drawn, and none may be served worse by the product's way than by a
 * baseline.
 */
#include <check.h>
#include <glib.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>

#include "fake/play.h"
#include "fake/suite.h"

#define DEPLOYMENTS 40
#define SECONDS	    10
/* Of the engines' time for reading, and of their slots, what is asked for. */
#define READING_LEAST 0.3
#define READING_MOST  0.75
#define SLOTS_MOST    0.5
/* Played to the stream: two of a hundred of the value is one long prompt. */
#define SLACK_PERMILLE 20

static GRand *rnd;

/* Between two values, evenly in their logarithms. */
static double between(double least, double most)
{
	return exp(g_rand_double_range(rnd, log(least), log(most)));
}

/* Speeds over a factor of four. */
static void draw_engine(struct dl_engine_model *m)
{
	*m = (struct dl_engine_model){
		.slots = (uint32_t)between(8, 24),
		.memory_tokens = (uint64_t)between(150000, 400000),
		.stride = (uint32_t)between(30, 60),
		.chunk = 2048,
		.step_ms = between(0.5, 2),
		.per_writer_ms = between(0.002, 0.006),
		.per_context_ms = between(0.002, 0.006),
		.read_per_ms = between(80, 320),
		.per_pairs_ms = between(0.07, 0.28),
		.hop_ms = between(0.03, 0.1),
		.usual_output = 1500,
	};
}

static void draw_kinds(struct play_kind kinds[PLAY_KINDS])
{
	kinds[0] = (struct play_kind){ "short",
				       between(1000, 8000),
				       between(0.4, 0.9),
				       24000,
				       (uint32_t)between(15, 40),
				       (uint32_t)between(200, 600),
				       250,
				       10000 };
	kinds[1] = (struct play_kind){ "middle",
				       between(20000, 60000),
				       between(0.3, 0.6),
				       110000,
				       (uint32_t)between(10, 25),
				       (uint32_t)between(1000, 3000),
				       600,
				       10000 };
	kinds[2] = (struct play_kind){ "long",
				       between(80000, 200000),
				       between(0.3, 0.6),
				       500000,
				       (uint32_t)between(8, 20),
				       (uint32_t)between(2000, 6000),
				       1000,
				       15000 };
}

/* The mean time that one engine takes to read a prompt of a kind. */
static double mean_read_ms(const struct dl_engine_model *m,
			   const struct play_kind *k)
{
	double square = k->tokens * k->tokens * exp(k->spread * k->spread);

	return k->tokens / m->read_per_ms + square / 2 / 1e6 * m->per_pairs_ms;
}

/* How long a stream of a kind has a slot, where nothing else is done. */
static double mean_write_ms(const struct dl_engine_model *m,
			    const struct play_kind *k)
{
	return k->events * m->stride * m->step_ms;
}

/* Each kind has a part of the reading, as far as there are slots for it. */
static void draw_rates(const struct play_deployment *d, struct play_load *load)
{
	double share[PLAY_KINDS], sum = 0, slots = 0;
	double reading = g_rand_double_range(rnd, READING_LEAST, READING_MOST);
	double free = SLOTS_MOST * d->engine.slots * d->engines;

	for (uint32_t k = 0; k < PLAY_KINDS; k++)
		sum += share[k] = g_rand_double_range(rnd, 0.1, 1);
	for (uint32_t k = 0; k < PLAY_KINDS; k++) {
		load->rate[k] = reading * share[k] / sum * d->engines * 1000 /
				mean_read_ms(&d->engine, &d->kind[k]);
		slots += load->rate[k] *
			 mean_write_ms(&d->engine, &d->kind[k]) / 1000;
	}
	for (uint32_t k = 0; k < PLAY_KINDS && slots > free; k++)
		load->rate[k] *= free / slots;
}

START_TEST(none_loses_to_a_baseline)
{
	struct play_deployment d = { .events_spread = 0.6, .workspaces = 8 };
	struct play_load load = { .name = "drawn", .seconds = SECONDS };
	struct play_result ours, robin, least;

	rnd = g_rand_new_with_seed((guint32)_i + 1);
	d.engines = (uint32_t)between(3, 60);
	draw_engine(&d.engine);
	draw_kinds(d.kind);
	draw_rates(&d, &load);
	load.seed = g_rand_int(rnd);
	g_rand_free(rnd);
	play(&d, &load, &dl_policy_engine, &ours);
	play(&d, &load, &dl_policy_round_robin, &robin);
	play(&d, &load, &dl_policy_least_load, &least);
	printf("%2u engines, %.1f %.1f %.1f a second: worth %u, round robin %u, least load %u\n",
	       d.engines, load.rate[0], load.rate[1], load.rate[2], ours.worth,
	       robin.worth, least.worth);
	fflush(stdout);
	ck_assert_uint_ge(ours.worth + SLACK_PERMILLE, robin.worth);
	ck_assert_uint_ge(ours.worth + SLACK_PERMILLE, least.worth);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("placing random");
	TCase *tc = tcase_create("drawn");

	tcase_add_loop_test(tc, none_loses_to_a_baseline, 0, DEPLOYMENTS);
	tcase_set_timeout(tc, 120);
	suite_add_tcase(suite, tc);
	return suite_run(suite);
}
