/*
 * Waves of short and of long prompts on a deployment of three failure domains,
 * with constant preferences and with those that follow the mix, side by side.
 * Guards against short streams that begin late while no long prompt needs the
 * free engines, and against long prompts that find none.
 */
#include <check.h>
#include <stdio.h>

#include "fake/deployment_sim.h"
#include "fake/suite.h"

#define SECONDS	   42
#define WARMUP_S   6
#define SEED	   11
#define SEEDS	   8
#define HORIZON_MS 2000
#define MS_PER_S   1000.0

enum {
	SHORT,
	MIDDLE,
	LONG,
};

/* Time of a wave, in seconds; it rises within up_s and falls within down_s. */
struct wave {
	double from, up_s, to, down_s, factor;
};

static const struct wave short_wave = { 2, 3, 14, 3, 2.4 };
static const struct wave long_wave = { 16, 8, 34, 4, 2.9 };
/* Requests that arrive before this time are those of the short wave. */
#define SHORT_WAVE_END_S 17

struct mix_case {
	const char *name;
	double scale;	   /* of the rates */
	double shift_s;	   /* of the waves, from one domain to the next */
	bool steady;	   /* no waves */
	bool only_short;   /* no other prompts during the short wave */
	bool waves_differ; /* late short streams must fall by a third */
};

/* The delay is that of small VMs; the first event is due after 300 ms. */
static const struct sim_deployment deployment = {
	.engines = 54,
	.domains = 3,
	.way_ms = 20,
	.engine = { .slots = 12,
		    .memory_tokens = 382500,
		    .stride = 52,
		    .chunk = 2048,
		    .step_ms = 0.925,
		    .per_writer_ms = 0.00483,
		    .per_context_ms = 0.00254,
		    .read_per_ms = 256,
		    .per_pairs_ms = 0.0917,
		    .hop_ms = 0.1,
		    .usual_prompt = 4960,
		    .usual_output = 1622 },
	.kind = {
		{ "short", 4960, 0.5, 23800, 31, 300, 200, 10000 },
		{ "middle", 45000, 0.4, 110000, 18, 1500, 500, 10000 },
		{ "long", 300000, 0.45, 1000000, 15, 4000, 800, 15000 },
	},
	.events_spread = 0.6,
	.workspaces = 24,
};
static const double rates[SIM_KINDS] = { 81, 7.4, 2.2 };

static const struct mix_case cases[] = {
	{ "only short, then long", 1.3, 0, false, true, true },
	{ "short, then long", 1, 0, false, false, true },
	{ "shifted by domain", 1, 8, false, false, false },
	{ "steady", 1, 0, true, false, false },
};

struct tally {
	uint32_t short_asked, short_late; /* in the short wave */
	uint32_t long_asked, long_in_time;
};

static const struct mix_case *playing;

static double wave_factor(const struct wave *w, double t)
{
	if (t < w->from || t > w->to + w->down_s)
		return 1;
	if (t < w->from + w->up_s)
		return 1 + (w->factor - 1) * (t - w->from) / w->up_s;
	if (t <= w->to)
		return w->factor;
	return w->factor - (w->factor - 1) * (t - w->to) / w->down_s;
}

/* Factor on the rate of a kind in a domain. */
static double factor(int64_t now, uint32_t domain, uint32_t kind)
{
	double t = (double)now / MS_PER_S - domain * playing->shift_s;

	if (playing->steady)
		return 1;
	if (kind == SHORT)
		return wave_factor(&short_wave, t);
	if (playing->only_short && t >= short_wave.from && t < long_wave.from)
		return 0;
	return kind == LONG ? wave_factor(&long_wave, t) : 1;
}

static void observe(void *arg, const struct sim_outcome *o)
{
	struct tally *tally = arg;
	double t = (double)o->arrived / MS_PER_S - o->domain * playing->shift_s;

	if (o->kind == SHORT && t >= short_wave.from && t < SHORT_WAVE_END_S) {
		tally->short_asked++;
		tally->short_late += !o->in_time;
	}
	if (o->kind == LONG) {
		tally->long_asked++;
		tally->long_in_time += o->in_time;
	}
}

static struct tally play(uint32_t horizon_ms)
{
	struct tally tally = { 0 };
	struct sim_shift shift = { factor, horizon_ms, observe, &tally };

	for (uint32_t i = 0; i < SEEDS; i++) {
		struct sim_load load = { playing->name, { 0 }, SECONDS,
					 SEED + i,	{ 0 }, WARMUP_S };
		struct sim_result result;

		for (uint32_t k = 0; k < SIM_KINDS; k++) {
			load.rate[k] = rates[k] * playing->scale;
			load.warmup_rate[k] = load.rate[k];
		}
		sim_run_shift(&deployment, &load, &shift, &dl_policy_engine,
			      &result);
	}
	printf("%-22s horizon %4u: %u of %u short ones late, %u of %u long ones in time\n",
	       playing->name, horizon_ms, tally.short_late, tally.short_asked,
	       tally.long_in_time, tally.long_asked);
	fflush(stdout);
	return tally;
}

/* Late short streams fall by a third, and no fewer long ones are in time. */
START_TEST(follows_the_mix)
{
	struct tally constant, following;

	playing = &cases[_i];
	constant = play(0);
	following = play(HORIZON_MS);
	ck_assert_uint_eq(constant.long_asked, following.long_asked);
	ck_assert_uint_ge(following.long_in_time, constant.long_in_time);
	if (playing->waves_differ)
		ck_assert_uint_le(3ul * following.short_late,
				  2ul * constant.short_late);
	else
		ck_assert_uint_le(following.short_late, constant.short_late);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("mix load");
	TCase *tc = tcase_create("load");

	tcase_add_loop_test(tc, follows_the_mix, 0,
			    sizeof(cases) / sizeof(cases[0]));
	tcase_set_timeout(tc, 300);
	suite_add_tcase(suite, tc);
	return suite_run(suite);
}
