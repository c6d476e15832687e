/*
 * Engine model: durations against values calculated by hand from the published
 * figures, and the forecast of an engine pass by pass.
 */
#include <check.h>
#include <errno.h>
#include <stdlib.h>

#include "daisyledge/engine.h"
#include "fake/published_engine.h"
#include "fake/suite.h"

static const struct dl_engine_model model = {
	PUBLISHED_ENGINE,
};

static struct dl_engine engine;

static void setup(void)
{
	dl_engine_init(&engine);
}

static struct dl_engine_item item_of(uint64_t id, float prefill_ms,
				     bool decodes)
{
	return (struct dl_engine_item){ .id = id,
					.prefill_ms = prefill_ms,
					.decodes = decodes,
					.gap_ms = 250,
					.weight = 10 };
}

static void add(uint64_t id, float prefill_ms, bool decodes, int64_t now)
{
	struct dl_engine_item item = item_of(id, prefill_ms, decodes);

	ck_assert_int_eq(dl_engine_add(&engine, &model, &item, now), 0);
}

static struct dl_engine_forecast forecast(double prefill_ms, int64_t now)
{
	struct dl_engine_forecast f;

	dl_engine_advance(&engine, &model, now);
	dl_engine_forecast(&engine, &model, prefill_ms, now, &f);
	return f;
}

struct prefill_case {
	uint64_t tokens;
	double ms;
};

/*
 * Tokens divided by the rate, plus time for half their square in token pairs.
 */
static const struct prefill_case prefill_cases[] = {
	{ 0, 0 },	    { 4960, 30.3 },	 { 45000, 440.5 },
	{ 154000, 3051.9 }, { 315000, 10908.3 }, { 700000, 49034.8 },
};

START_TEST(prefill_time_includes_token_pairs)
{
	const struct prefill_case *r = &prefill_cases[_i];

	ck_assert_double_eq_tol(dl_engine_prefill_ms(&model, r->tokens), r->ms,
				0.1 + r->ms * 0.001);
}
END_TEST

START_TEST(decode_pass_takes_one_stride)
{
	ck_assert_double_eq_tol(dl_engine_decode_pass_ms(&model, 0, 0), 0,
				0.001);
	ck_assert_double_eq_tol(dl_engine_decode_pass_ms(&model, 1, 0), 43.57,
				0.01);
	ck_assert_double_eq_tol(dl_engine_decode_pass_ms(&model, 16, 80000),
				58.45, 0.01);
}
END_TEST

START_TEST(idle_engine_prefills_at_once)
{
	ck_assert_int_eq(forecast(28, 1000).prefilled_at, 1028);
}
END_TEST

/* Without decoding a prompt joins the current pass behind the others. */
START_TEST(prompt_joins_a_pass_without_streams)
{
	add(1, 100, true, 1000);
	ck_assert_int_eq(forecast(28, 1010).prefilled_at, 1128);
}
END_TEST

/*
 * While an engine decodes, a prompt waits for the current and for its own pass.
 */
START_TEST(prompt_waits_for_a_pass_with_streams)
{
	struct dl_engine_forecast f;

	add(1, 100, true, 1000);
	f = forecast(28, 1101);
	ck_assert_int_eq(engine.pass_ends, 1144);
	ck_assert_uint_eq(f.streams, 1);
	ck_assert_uint_eq(f.gap_ms, 250);
	ck_assert_int_eq(f.prefilled_at, 1144 + 72);
}
END_TEST

/* All prompts that arrive during a pass are prefilled in the next one. */
START_TEST(waiting_prompts_share_one_pass)
{
	add(1, 10, true, 1000);
	dl_engine_advance(&engine, &model, 1011);
	add(2, 30, true, 1020);
	add(3, 40, false, 1030);
	ck_assert_double_eq_tol(forecast(0, 1040).pass_ms, 43.57 + 70, 0.1);
}
END_TEST

/* A part for another engine is removed after its prefill. */
START_TEST(prefill_only_items_end_with_their_pass)
{
	add(1, 50, false, 1000);
	dl_engine_advance(&engine, &model, 1051);
	ck_assert_uint_eq(engine.count, 0);
	ck_assert_int_eq(forecast(10, 1100).prefilled_at, 1110);
}
END_TEST

/* A caller cancels a request with a prefill of ten seconds. */
START_TEST(removed_prompt_is_not_prefilled)
{
	add(1, 10000, true, 1000);
	dl_engine_remove(&engine, 1, 2000);
	ck_assert_int_eq(forecast(28, 2000).prefilled_at, 2028);
}
END_TEST

START_TEST(slowdown_scales_pass_time)
{
	engine.slowdown = 3;
	add(1, 100, true, 1000);
	ck_assert_int_eq(engine.pass_ends, 1300);
}
END_TEST

/*
 * The pass with the prefill ended earlier, later or much later than forecast.
 */
static const struct {
	int64_t seen, begins;
} first_event_cases[] = {
	{ 20, 20 }, /* forecast: 30 */
	{ 30, 30 }, /* as forecast */
	{ 40, 40 }, /* the next pass began 10 ms later */
	{ 65, 65 }, /* closer to the end of the next pass, which has ended */
};

START_TEST(first_event_corrects_the_pass_start)
{
	double stride = dl_engine_decode_pass_ms(&model, 1, 0);

	add(1, 30, true, 0);
	dl_engine_observe_first_event(&engine, &model, 1,
				      first_event_cases[_i].seen);
	ck_assert_int_eq(engine.pass_began, first_event_cases[_i].begins);
	ck_assert_int_eq(engine.pass_ends,
			 first_event_cases[_i].begins + (int64_t)(stride + 1));
	ck_assert(engine.decoding);
	ck_assert(!engine.item[0].prefilling && !engine.item[0].waiting);
}
END_TEST

/* Items that were admitted earlier have been prefilled as well. */
START_TEST(first_event_of_a_waiting_item_marks_it_prefilled)
{
	add(1, 30, true, 0);
	forecast(0, 31);
	add(2, 20, true, 35);
	add(3, 20, true, 36);
	dl_engine_observe_first_event(&engine, &model, 2, 60);
	ck_assert(!engine.item[1].prefilling && !engine.item[1].waiting);
	ck_assert(engine.item[2].prefilling);
	ck_assert_int_eq(engine.pass_began, 60);
	/* The event of an unknown request changes nothing. */
	dl_engine_observe_first_event(&engine, &model, 9, 70);
	ck_assert_int_eq(engine.pass_began, 60);
}
END_TEST

START_TEST(full_engine_returns_enospc)
{
	struct dl_engine_item item = item_of(99, 1, true);

	for (uint64_t i = 0; i < DL_ENGINE_ITEMS_MAX; i++)
		add(i + 1, 1, true, 1000);
	ck_assert_int_eq(dl_engine_add(&engine, &model, &item, 1000), -ENOSPC);
}
END_TEST

struct pause_case {
	double from_ms, to_ms;
	bool costs, abandoned;
};

static const struct pause_case pause_cases[] = {
	{ 50, 200, false, false }, /* within the tolerated gap */
	{ 50, 300, true, false },
	{ 300, 300, false, false }, /* gap exceeded already, and unchanged */
	{ 300, 600, true, false },  /* gap exceeded already, and longer */
	{ 50, 1200, true, true },   /* callers give up */
};

START_TEST(gap_cost_grows_with_the_pause)
{
	const struct pause_case *p = &pause_cases[_i];
	double cost;

	add(1, 0, true, 1000);
	cost = dl_engine_gap_cost(&engine, p->from_ms, p->to_ms, 1);
	ck_assert_int_eq(cost > 0, p->costs);
	ck_assert_int_eq(cost > 1000, p->abandoned);
}
END_TEST

/* Under random events the model neither hangs nor loses an item. */
START_TEST(invariants_hold_under_random_events)
{
	int64_t now = 0;

	srand(7);
	for (uint64_t i = 1; i < 20000; i++) {
		now += rand() % 200;
		if (engine.count < DL_ENGINE_ITEMS_MAX && rand() % 2)
			add(i, (float)(rand() % 300), rand() % 2, now);
		else if (engine.count)
			dl_engine_remove(&engine, engine.item[0].id, now);
		dl_engine_advance(&engine, &model, now);
		ck_assert_uint_le(engine.count, DL_ENGINE_ITEMS_MAX);
		if (engine.count)
			ck_assert_int_gt(engine.pass_ends, now - 1);
		for (uint32_t k = 0; k < engine.count; k++)
			ck_assert(!engine.item[k].prefilling ||
				  !engine.item[k].waiting);
	}
}
END_TEST

/*
 * In a pass without decoding, results are available only at its end, so a
 * prompt that makes it longer delays all others in it.  While an engine
 * decodes, only the next pass becomes longer.
 */
START_TEST(delay_cost_counts_newly_late_items)
{
	struct dl_engine_item item = item_of(1, 200, true);

	item.target_at = 1250;
	item.first_by = 2000;
	ck_assert_int_eq(dl_engine_add(&engine, &model, &item, 1000), 0);
	ck_assert_int_eq(engine.pass_ends, 1200);
	ck_assert_double_eq(dl_engine_delay_cost(&engine, 1200, 1240, 1000), 0);
	ck_assert_double_eq(dl_engine_delay_cost(&engine, 1200, 1260, 1000),
			    10);
	/* Past first_by its remaining value is lost as well. */
	ck_assert_double_eq(dl_engine_delay_cost(&engine, 1200, 2100, 1000),
			    12.5);
	/* It is late already; only passing first_by would add a cost. */
	ck_assert_double_eq(dl_engine_delay_cost(&engine, 1300, 1900, 1000), 0);
	/* Once it decodes, another prompt is prefilled in a later pass. */
	dl_engine_advance(&engine, &model, 1200);
	ck_assert_double_eq(dl_engine_delay_cost(&engine, 1200, 2100, 1200), 0);
}
END_TEST

static void resume(uint64_t id, float prefill_ms, bool decodes, double rest_ms,
		   int64_t now)
{
	struct dl_engine_item item = item_of(id, prefill_ms, decodes);

	ck_assert_int_eq(dl_engine_resume(&engine, &model, &item, rest_ms, now),
			 0);
}

/*
 * A prompt that another dispatcher granted is prefilled for another 60 ms of
 * 100; a new one joins that pass.
 */
START_TEST(resumed_prompt_takes_what_is_left_of_its_prefill)
{
	resume(1, 100, true, 60, 1000);
	ck_assert_int_eq(forecast(28, 1000).prefilled_at, 1088);
	dl_engine_remove(&engine, 1, 1000);
	ck_assert_int_eq(forecast(28, 1000).prefilled_at, 1028);
}
END_TEST

/* In either order, streams and prompts of a resumed pass admit no more. */
START_TEST(resumed_pass_that_decodes_admits_no_prompt)
{
	if (_i) {
		resume(2, 100, true, 60, 1000);
		resume(1, 100, true, 0, 1000);
	} else {
		resume(1, 100, true, 0, 1000);
		resume(2, 100, true, 60, 1000);
	}
	ck_assert_int_eq(engine.pass_ends, 1060);
	ck_assert_int_eq(forecast(28, 1000).prefilled_at, 1060 + 72);
}
END_TEST

/* Due after more than its own pass, a prompt waits for the next pass. */
START_TEST(resumed_prompt_may_still_wait)
{
	resume(1, 100, true, 0, 1000);
	resume(2, 100, true, 300, 1000);
	ck_assert_int_eq(engine.pass_ends, 1157);
	dl_engine_advance(&engine, &model, 1157);
	ck_assert_int_eq(engine.pass_ends, 1301);
}
END_TEST

START_TEST(resumed_part_that_is_done_is_no_work)
{
	resume(1, 100, false, 0, 1000);
	ck_assert_uint_eq(engine.count, 0);
}
END_TEST

static void add_foreign(int64_t ends_at)
{
	struct dl_engine_item item = { .context = 1000,
				       .decodes = true,
				       .ends_at = ends_at };

	ck_assert_int_eq(dl_engine_resume(&engine, &model, &item, 0, 1000), 0);
}

/* Foreign streams end by the model or are removed, own ones never are. */
START_TEST(foreign_streams_end_first_come_first)
{
	uint64_t tokens;

	resume(1, 100, true, 0, 1000);
	add_foreign(1300);
	add_foreign(1200);
	add_foreign(1400);
	ck_assert_uint_eq(dl_engine_foreign(&engine, &tokens), 3);
	ck_assert_uint_eq(tokens, 3000);
	dl_engine_keep_foreign(&engine, 2, 1000);
	ck_assert_uint_eq(engine.count, 3);
	dl_engine_advance(&engine, &model, 1290);
	ck_assert_uint_eq(dl_engine_foreign(&engine, NULL), 2);
	dl_engine_advance(&engine, &model, 1350);
	ck_assert_uint_eq(dl_engine_foreign(&engine, NULL), 1);
	dl_engine_advance(&engine, &model, 1500);
	ck_assert_uint_eq(dl_engine_foreign(&engine, NULL), 0);
	ck_assert_uint_eq(engine.count, 1);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("engine");
	TCase *t = tcase_create("engine");

	suite_add_tcase(s, t);
	tcase_add_checked_fixture(t, setup, NULL);
	tcase_add_test(t, delay_cost_counts_newly_late_items);
	tcase_add_loop_test(t, prefill_time_includes_token_pairs, 0,
			    sizeof(prefill_cases) / sizeof(prefill_cases[0]));
	tcase_add_test(t, decode_pass_takes_one_stride);
	tcase_add_test(t, idle_engine_prefills_at_once);
	tcase_add_test(t, prompt_joins_a_pass_without_streams);
	tcase_add_test(t, prompt_waits_for_a_pass_with_streams);
	tcase_add_test(t, waiting_prompts_share_one_pass);
	tcase_add_test(t, prefill_only_items_end_with_their_pass);
	tcase_add_test(t, removed_prompt_is_not_prefilled);
	tcase_add_test(t, slowdown_scales_pass_time);
	tcase_add_loop_test(t, first_event_corrects_the_pass_start, 0,
			    sizeof(first_event_cases) /
				    sizeof(first_event_cases[0]));
	tcase_add_test(t, first_event_of_a_waiting_item_marks_it_prefilled);
	tcase_add_test(t, full_engine_returns_enospc);
	tcase_add_loop_test(t, gap_cost_grows_with_the_pause, 0,
			    sizeof(pause_cases) / sizeof(pause_cases[0]));
	tcase_add_test(t, invariants_hold_under_random_events);
	tcase_add_test(t, resumed_prompt_takes_what_is_left_of_its_prefill);
	tcase_add_loop_test(t, resumed_pass_that_decodes_admits_no_prompt, 0,
			    2);
	tcase_add_test(t, resumed_prompt_may_still_wait);
	tcase_add_test(t, resumed_part_that_is_done_is_no_work);
	tcase_add_test(t, foreign_streams_end_first_come_first);
	return suite_run(s);
}
