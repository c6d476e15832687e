/*
 * Load of engines after a takeover: which engines are queried and when, and
 * what their answers mean for later grants.  Engines that work for callers
 * nobody tells of must not look idle, and queries must stay few.
 */
#include <check.h>
#include <stdio.h>

#include "daisyledge/pool.h"
#include "fake/published_engine.h"
#include "fake/suite.h"

#define SLOTS	 16
#define LEASE_MS 20000
#define FAR_MS	 60000
#define E1	 "10.0.0.1:80"
#define E2	 "10.0.0.2:80"

static const struct dl_pool_conf conf = {
	.kind = DL_POOL_MODEL,
	.queue_entries_max = 100,
	.queue_tokens_max = 100000000,
	.out_share_permille = 300,
	.grant_lease_ms = LEASE_MS,
	.report_gone_ms = LEASE_MS,
	.weight_default = 1,
	.engine = { PUBLISHED_ENGINE, .usual_prompt = 5000,
		    .usual_output = 1622 },
};

static struct dl_pool *pool;
static int64_t now;
static uint64_t next_request;

static void report_as(const char *id, uint64_t incarnation, bool leaving)
{
	struct dl_endpoint_report r = { .incarnation = incarnation,
					.memory_tokens = 315000,
					.slots = SLOTS,
					.leaving = leaving };

	dl_name_set(&r.id, dl_str_of(id));
	ck_assert_int_eq(dl_pool_report(pool, &r, now), 0);
}

static void report(const char *id)
{
	report_as(id, 1, false);
}

static void setup(void)
{
	now = 10000;
	next_request = 1;
	pool = dl_pool_new(&conf, &dl_policy_engine, 42);
}

static void teardown(void)
{
	ck_assert_ptr_null(dl_pool_check_invariants(pool));
	dl_pool_free(pool);
}

/* Takes the next query; it must be of this engine, or NULL for none. */
static void expect_query(const char *id)
{
	struct dl_name name;
	bool due = dl_pool_recover_next(pool, now, &name);

	ck_assert_msg(due == (id != NULL), "at %ld: %s", (long)now,
		      due ? name.s : "no query");
	if (id)
		ck_assert_str_eq(name.s, id);
}

static void answer(const char *id, uint32_t queued, uint32_t active)
{
	struct dl_engine_load load = { queued, active, 0 };

	dl_pool_recover_answer(pool, dl_str_of(id), &load, now);
}

/* A stream that another dispatcher granted on the first engine a while ago. */
static void adopt(uint32_t held_ms)
{
	struct dl_adoption progress = { held_ms, true };
	struct dl_ask ask = { .request = next_request++,
			      .entry = 2,
			      .workspace = DL_STR("w"),
			      .prompt_tokens = 1000,
			      .output_tokens = 100,
			      .deadline = now + FAR_MS };
	struct dl_answer grant = { .grant = 5000 + next_request,
				   .endpoints = 1,
				   .share_tokens = { 1100 } };

	dl_name_set(&grant.endpoint[0], DL_STR(E1));
	ck_assert_int_eq(dl_pool_adopt(pool, &grant, &ask, &progress, now), 0);
}

static struct dl_answer ask_for(uint64_t prompt, uint32_t target_ms,
				uint32_t gap_ms)
{
	struct dl_ask ask = { .request = next_request++,
			      .entry = 1,
			      .workspace = DL_STR("w"),
			      .class = DL_CLASS_INTERACTIVE,
			      .prompt_tokens = prompt,
			      .output_tokens = 100,
			      .deadline = now + FAR_MS,
			      .target_ms = target_ms,
			      .gap_ms = gap_ms };
	struct dl_answer out;

	dl_pool_ask(pool, &ask, now, &out);
	return out;
}

static enum dl_verdict ask_short(void)
{
	return ask_for(1000, FAR_MS, 0).verdict;
}

/* How many more streams the engines of the pool get now. */
static uint32_t count_free_slots(void)
{
	uint32_t n = 0;

	while (ask_short() == DL_GRANTED)
		n++;
	return n;
}

struct load_case {
	const char *what;
	uint32_t adopted; /* before the answer */
	uint32_t queued, active;
	uint32_t adopted_old, adopted_young; /* after it */
	uint32_t foreign;		     /* by the answer */
	uint32_t free_slots;
};

static const struct load_case load_cases[] = {
	{ "idle", 0, 0, 0, 0, 0, 0, 16 },
	{ "all explained", 5, 0, 5, 0, 0, 0, 11 },
	{ "less than explained", 5, 0, 3, 0, 0, 0, 11 },
	{ "foreign ones only", 0, 0, 6, 0, 0, 6, 10 },
	{ "some explained", 4, 0, 6, 0, 0, 2, 10 },
	{ "explained later", 0, 0, 6, 4, 0, 6, 10 },
	{ "all explained later", 0, 0, 6, 6, 0, 6, 10 },
	{ "granted after the state that the answer tells", 0, 0, 6, 0, 2, 6,
	  8 },
	{ "queued ones take slots as well", 0, 3, 8, 0, 0, 11, 5 },
	{ "full", 0, 4, 16, 0, 0, 20, 0 },
	{ "numbers that no engine has", 2, UINT32_MAX, UINT32_MAX, 0, 0, 30,
	  0 },
};

START_TEST(requests_beyond_the_grants_take_slots)
{
	const struct load_case *c = &load_cases[_i];
	struct dl_recovery result;

	report(E1);
	dl_pool_start_dispatching(pool, now);
	for (uint32_t i = 0; i < c->adopted; i++)
		adopt(500);
	expect_query(E1);
	now += 3;
	answer(E1, c->queued, c->active);
	for (uint32_t i = 0; i < c->adopted_old; i++)
		adopt(500);
	for (uint32_t i = 0; i < c->adopted_young; i++)
		adopt(20);
	ck_assert_msg(count_free_slots() == c->free_slots, "%s", c->what);
	now += 3300;
	ck_assert(dl_pool_recover_end(pool, now, &result));
	ck_assert_uint_eq(result.engines, 1);
	ck_assert_uint_eq(result.unanswered, 0);
	ck_assert_msg(result.foreign == c->foreign, "%s: %u", c->what,
		      result.foreign);
	ck_assert(!dl_pool_recover_end(pool, now, &result));
}
END_TEST

/* Streams of usual length that are half way end after about 0.8 s. */
START_TEST(foreign_streams_end_by_the_model)
{
	struct dl_answer granted;

	report(E1);
	dl_pool_start_dispatching(pool, now);
	expect_query(E1);
	answer(E1, 0, SLOTS);
	ck_assert_int_eq(ask_short(), DL_QUEUED);
	now += 400;
	ck_assert(!dl_pool_next(pool, now, &granted));
	now += 1000;
	ck_assert_int_le(dl_pool_wakeup(pool), now);
	ck_assert(dl_pool_next(pool, now, &granted));
	ck_assert_int_eq(granted.verdict, DL_GRANTED);
}
END_TEST

/*
 * A prompt that is prefilled for 700 ms waits for an engine without foreign
 * streams, since short streams that are granted beside them would be late.
 */
START_TEST(long_prompts_wait_for_foreign_streams)
{
	report(E1);
	dl_pool_start_dispatching(pool, now);
	expect_query(E1);
	answer(E1, 0, _i ? 3 : 0);
	now += 300;
	ck_assert_int_eq(ask_for(62000, 3000, 1000).verdict,
			 _i ? DL_QUEUED : DL_GRANTED);
}
END_TEST

struct overdue_case {
	const char *what;
	bool began;
	int64_t since_takeover_ms;
	bool same_engine;
};

static const struct overdue_case overdue_cases[] = {
	{ "overdue", false, 0, false },
	{ "its first event has arrived", true, 0, true },
	{ "the takeover is long past", false, 3300, true },
};

/*
 * Short streams share an engine, but not one on which a first event is overdue
 * after a takeover: it does what nobody told of.
 */
START_TEST(engines_with_overdue_first_events_come_last)
{
	const struct overdue_case *c = &overdue_cases[_i];
	struct dl_answer first[4], next;

	report(E1);
	report(E2);
	dl_pool_start_dispatching(pool, now);
	now += c->since_takeover_ms;
	for (int i = 0; i < 4; i++) {
		first[i] = ask_for(1000, 300, 200);
		ck_assert_int_eq(first[i].verdict, DL_GRANTED);
		ck_assert_str_eq(first[i].endpoint[0].s, E1);
	}
	now += 40;
	for (int i = 0; c->began && i < 4; i++)
		dl_pool_first_event(pool, first[i].grant, now);
	now += 500;
	next = ask_for(1000, 300, 200);
	ck_assert_int_eq(next.verdict, DL_GRANTED);
	ck_assert_msg(dl_name_eq(&next.endpoint[0], DL_STR(E1)) ==
			      c->same_engine,
		      "%s", c->what);
}
END_TEST

/* A later answer sets the number of foreign streams, lower or higher. */
START_TEST(later_answers_correct_the_number)
{
	report(E1);
	dl_pool_start_dispatching(pool, now);
	expect_query(E1);
	answer(E1, 0, 12);
	now += 400;
	expect_query(E1);
	answer(E1, 0, _i ? 14 : 2);
	ck_assert_uint_eq(count_free_slots(), _i ? 2 : 14);
}
END_TEST

/* Each engine is queried three times at most, 400 ms apart. */
START_TEST(busy_engines_are_queried_three_times)
{
	report(E1);
	report(E2);
	expect_query(NULL);
	dl_pool_start_dispatching(pool, now);
	expect_query(E1);
	expect_query(E2);
	expect_query(NULL);
	answer(E1, 0, 9);
	answer(E2, 0, 0);
	now += 399;
	expect_query(NULL);
	now += 1;
	expect_query(E1);
	expect_query(NULL);
	answer(E1, 0, 8);
	now += 400;
	expect_query(E1);
	answer(E1, 0, 7);
	now += 400;
	expect_query(NULL);
}
END_TEST

/* An engine that does not answer is as unknown as before. */
START_TEST(silent_engine_is_queried_once)
{
	struct dl_recovery result;

	report(E1);
	dl_pool_start_dispatching(pool, now);
	expect_query(E1);
	dl_pool_recover_answer(pool, DL_STR(E1), NULL, now);
	ck_assert_uint_eq(count_free_slots(), SLOTS);
	now += 1000;
	expect_query(NULL);
	now += 3000;
	ck_assert(dl_pool_recover_end(pool, now, &result));
	ck_assert_uint_eq(result.engines, 0);
	ck_assert_uint_eq(result.unanswered, 1);
}
END_TEST

/* After a start of all VMs the engines become known one after the other. */
START_TEST(engines_that_announce_late_are_queried)
{
	dl_pool_start_dispatching(pool, now);
	expect_query(NULL);
	now += 1500;
	report(E1);
	expect_query(E1);
	now += 600;
	report(E2);
	expect_query(NULL);
}
END_TEST

START_TEST(engines_that_get_no_work_are_not_queried)
{
	struct dl_name id;

	report_as(E1, 1, true);
	report(E2);
	dl_name_set(&id, DL_STR(E2));
	dl_pool_endpoint_drain(pool, dl_name_str(&id), true, now);
	dl_pool_start_dispatching(pool, now);
	expect_query(NULL);
}
END_TEST

/* The answer of an instance says nothing about the next one. */
START_TEST(answer_of_a_replaced_instance_is_void)
{
	report(E1);
	dl_pool_start_dispatching(pool, now);
	expect_query(E1);
	report_as(E1, 2, false);
	answer(E1, 0, SLOTS);
	ck_assert_uint_eq(count_free_slots(), SLOTS);
}
END_TEST

START_TEST(unexpected_answers_are_ignored)
{
	struct dl_recovery result;

	report(E1);
	answer(E1, 0, SLOTS);
	answer("10.0.0.9:80", 0, SLOTS);
	dl_pool_start_dispatching(pool, now);
	answer(E1, 0, SLOTS);
	expect_query(E1);
	now += 3300;
	ck_assert(!dl_pool_recover_end(pool, now, &result));
	answer(E1, 0, SLOTS);
	ck_assert_uint_eq(count_free_slots(), SLOTS);
}
END_TEST

/* Where dispatching moves to and fro, engines are not queried without end. */
START_TEST(repeated_takeovers_share_their_queries)
{
	report(E1);
	for (int i = 0; i < 10; i++) {
		dl_pool_start_dispatching(pool, now);
		expect_query(i == 0 ? E1 : NULL);
		if (i == 0)
			answer(E1, 0, 0);
		now += 100;
	}
	now += 2000;
	dl_pool_start_dispatching(pool, now);
	expect_query(E1);
}
END_TEST

struct overdue_queued_case {
	const char *what;
	uint64_t prompt;
	int64_t give_up_ms; /* when the caller gives up, from now */
	int64_t refused_ms; /* from now, at the latest; -1: at once */
};

/* Two engines take 743 ms for a prompt of 100,000 tokens. */
static const struct overdue_queued_case overdue_queued_cases[] = {
	{ "given up before it asks", 1000, -1, -1 },
	{ "given up while it waits", 1000, 2000, 2000 },
	{ "cannot begin in time any more", 100000, 4000, 3300 },
	{ "could never begin in time", 100000, 600, -1 },
};

/*
 * A stream that waits for an engine is refused once its caller gives up before
 * its first event, not when an engine is free.
 */
START_TEST(overdue_streams_do_not_wait_for_an_engine)
{
	const struct overdue_queued_case *c = &overdue_queued_cases[_i];
	struct dl_ask ask = { .entry = 1,
			      .workspace = DL_STR("w"),
			      .class = DL_CLASS_INTERACTIVE,
			      .prompt_tokens = c->prompt,
			      .output_tokens = 100,
			      .deadline = now + FAR_MS,
			      .first_event_deadline = now + c->give_up_ms,
			      .target_ms = FAR_MS / 4 };
	struct dl_answer out;

	report(E1);
	report(E2);
	count_free_slots();
	while (dl_pool_next(pool, now, &out))
		;
	ask.request = next_request++;
	dl_pool_ask(pool, &ask, now, &out);
	if (c->refused_ms < 0) {
		ck_assert_msg(out.verdict == DL_REFUSED, "%s", c->what);
		ck_assert_int_eq(out.reason, DL_REASON_DEADLINE);
		return;
	}
	ck_assert_msg(out.verdict == DL_QUEUED, "%s", c->what);
	ck_assert(!dl_pool_next(pool, now, &out));
	ck_assert_int_le(dl_pool_wakeup(pool), now + c->refused_ms);
	now += c->refused_ms + 1;
	ck_assert_msg(dl_pool_next(pool, now, &out), "%s", c->what);
	ck_assert_uint_eq(out.request, ask.request);
	ck_assert_int_eq(out.reason, DL_REASON_DEADLINE);
}
END_TEST

/* Only a service with an engine model can use the answers. */
START_TEST(services_without_an_engine_model_are_not_queried)
{
	struct dl_pool_conf plain = conf;

	dl_pool_free(pool);
	if (_i)
		plain.engine.slots = 0;
	pool = dl_pool_new(
		&plain, _i ? &dl_policy_engine : &dl_policy_late_binding, 42);
	report(E1);
	dl_pool_start_dispatching(pool, now);
	expect_query(NULL);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("pool recover");
	TCase *t = tcase_create("recover");

	suite_add_tcase(suite, t);
	tcase_add_checked_fixture(t, setup, teardown);
	tcase_add_loop_test(t, requests_beyond_the_grants_take_slots, 0,
			    sizeof(load_cases) / sizeof(load_cases[0]));
	tcase_add_test(t, foreign_streams_end_by_the_model);
	tcase_add_loop_test(t, long_prompts_wait_for_foreign_streams, 0, 2);
	tcase_add_loop_test(t, engines_with_overdue_first_events_come_last, 0,
			    sizeof(overdue_cases) / sizeof(overdue_cases[0]));
	tcase_add_loop_test(t, later_answers_correct_the_number, 0, 2);
	tcase_add_test(t, busy_engines_are_queried_three_times);
	tcase_add_test(t, silent_engine_is_queried_once);
	tcase_add_test(t, engines_that_announce_late_are_queried);
	tcase_add_test(t, engines_that_get_no_work_are_not_queried);
	tcase_add_test(t, answer_of_a_replaced_instance_is_void);
	tcase_add_test(t, unexpected_answers_are_ignored);
	tcase_add_test(t, repeated_takeovers_share_their_queries);
	tcase_add_loop_test(t, overdue_streams_do_not_wait_for_an_engine, 0,
			    sizeof(overdue_queued_cases) /
				    sizeof(overdue_queued_cases[0]));
	tcase_add_loop_test(t, services_without_an_engine_model_are_not_queried,
			    0, 2);
	return suite_run(suite);
}
