/*
 * Tests of the pace at which large configuration deltas are applied. They guard
 * against steps that hold up streams on a slow VM, reading that takes more than
 * a quarter of the VM's time without need, and versions that come into force
 * late because of the rests, also if single steps are stalled.
 */
#include <check.h>

#include <glib.h>

#include "fake/suite.h"
#include "state/conf_pace.h"

#define MS	  1000L
#define ROUTES	  1300
#define ARRIVED	  (5000 * MS)
#define OTHER_US  100 /* work of a step apart from routes, on a fast VM */
#define PERIOD_US (100 * MS)

/* A VM, and what is expected of the application of 1,300 new routes. */
struct pace_case {
	const char *name;
	int64_t route_us;    /* wall-clock time of a route */
	int64_t waited_us;   /* before the application begins */
	int64_t busy_us;     /* after which the VM stands still; 0: never */
	int64_t stall_us;    /* for so long */
	uint32_t stall_step; /* or in each of so many steps; 0: none */
	int64_t age_max_us;  /* of the version at its end */
	int64_t step_max_us;
	int64_t share_min; /* of the time in which it rests, in percent */
	int64_t share_max;
};

/*
 * A VM with 0.084 cores parses a route in 150 us on average; with a quota per
 * 100 ms, in 12 us until the 8.4 ms of the period are used up.
 */
static const struct pace_case cases[] = {
	{ "fast VM", 9, 0, 0, 0, 0, 60 * MS, 5 * MS, 65, 75 },
	{ "slow VM", 150, 0, 0, 0, 0, 900 * MS, 5 * MS, 70, 75 },
	{ "very slow VM hurries", 700, 0, 0, 0, 0, 2200 * MS, 6 * MS, 30, 74 },
	{ "a route takes longer than a step", 6000, 0, 0, 0, 0, 9200 * MS,
	  50 * MS, 0, 20 },
	{ "suspended now and then", 9, 0, 5 * MS, 300 * MS, 0, 1800 * MS,
	  310 * MS, 10, 75 },
	{ "share used up in each period", 12, 0, 8400, 91600, 0, 1000 * MS,
	  100 * MS, 20, 75 },
	/* With the mean time of routes as the estimate this takes 39 s. */
	{ "another process has the core in each third step", 9, 0, 0, 90 * MS,
	  3, 1000 * MS, 100 * MS, 20, 75 },
	{ "waited for an older version", 150, 1300 * MS, 0, 0, 0, 2000 * MS,
	  5 * MS, 20, 65 },
	{ "late version does not rest", 150, 1900 * MS, 0, 0, 0, 2150 * MS,
	  5 * MS, 0, 0 },
};

#define CASES (sizeof(cases) / sizeof(cases[0]))

/* What was observed of an application. */
struct outcome {
	int64_t age_us;
	int64_t rested_us;
	int64_t total_us;
	int64_t step_max_us;
};

static struct outcome run(const struct pace_case *c)
{
	int64_t now = ARRIVED + c->waited_us, begun = now, busy = 0;
	struct outcome out = { 0 };
	struct dl_conf_pace p;
	uint32_t left = ROUTES;

	dl_conf_pace_init(&p, ARRIVED, now);
	ck_assert_int_eq(dl_conf_pace_wait(&p, now), 0);
	while (left) {
		uint32_t routes = MIN(dl_conf_pace_begin(&p, now), left);
		int64_t took = OTHER_US + routes * c->route_us, wait;

		ck_assert_uint_ge(routes, 1);
		busy += took;
		for (; c->busy_us && busy >= c->busy_us; busy -= c->busy_us)
			took += c->stall_us;
		if (c->stall_step && p.steps % c->stall_step == 1)
			took += c->stall_us;
		left -= routes;
		now += took;
		dl_conf_pace_end(&p, routes, now);
		out.step_max_us = MAX(out.step_max_us, took);
		wait = dl_conf_pace_wait(&p, now);
		ck_assert_int_ge(wait, 0);
		ck_assert_int_le(wait, 3 * took);
		if (left)
			out.rested_us += wait;
		now += left ? wait : 0;
	}
	out.total_us = now - begun;
	out.age_us = now - ARRIVED;
	ck_assert_int_eq(p.busy_us, out.total_us - out.rested_us);
	return out;
}

START_TEST(pace_suits_the_vm)
{
	const struct pace_case *c = &cases[_i];
	struct outcome out = run(c);
	int64_t share = out.rested_us * 100 / out.total_us;

	ck_assert_msg(out.age_us <= c->age_max_us, "%s: in force after %ld us",
		      c->name, (long)out.age_us);
	ck_assert_msg(out.step_max_us <= c->step_max_us,
		      "%s: a step takes %ld us", c->name,
		      (long)out.step_max_us);
	ck_assert_msg(share >= c->share_min && share <= c->share_max,
		      "%s: rests for %ld%%", c->name, (long)share);
}
END_TEST

/* The age of a version at the end of a step of 2 ms, and the rest after it. */
struct rest_case {
	int64_t age_us;
	int64_t rest_us;
};

static const struct rest_case rest_cases[] = {
	{ 2 * MS, 6 * MS },    { 1200 * MS, 6 * MS }, { 1350 * MS, 4500 },
	{ 1500 * MS, 3 * MS }, { 1700 * MS, 1 * MS }, { 1800 * MS, 0 },
	{ 9000 * MS, 0 },
};

#define REST_CASES (sizeof(rest_cases) / sizeof(rest_cases[0]))

START_TEST(rest_shrinks_with_the_age_of_the_version)
{
	const struct rest_case *c = &rest_cases[_i];
	int64_t now = ARRIVED + c->age_us;
	struct dl_conf_pace p;

	dl_conf_pace_init(&p, ARRIVED, now - 2 * MS);
	dl_conf_pace_begin(&p, now - 2 * MS);
	dl_conf_pace_end(&p, 0, now);
	ck_assert_int_eq(dl_conf_pace_wait(&p, now), c->rest_us);
	ck_assert_int_eq(dl_conf_pace_wait(&p, now + c->rest_us), 0);
	ck_assert_int_eq(dl_conf_pace_wait(&p, now + 10000 * MS), 0);
}
END_TEST

/* A stalled step must not slow down all that follow. */
START_TEST(stalled_step_is_forgotten)
{
	int64_t now = ARRIVED;
	struct dl_conf_pace p;
	uint32_t routes = 0, steps = 0;

	dl_conf_pace_init(&p, now, now);
	for (int i = 0; i < 20; i++) {
		routes = dl_conf_pace_begin(&p, now);
		now += (int64_t)routes * 10;
		dl_conf_pace_end(&p, routes, now);
	}
	ck_assert_uint_eq(routes, 400);
	dl_conf_pace_begin(&p, now);
	now += 2000 * MS;
	dl_conf_pace_end(&p, routes, now);
	ck_assert_int_le(dl_conf_pace_wait(&p, now), PERIOD_US);
	while (steps++ < 10) {
		routes = dl_conf_pace_begin(&p, now);
		now += (int64_t)routes * 10;
		dl_conf_pace_end(&p, routes, now);
	}
	ck_assert_uint_ge(routes, 200);
}
END_TEST

/* Steps that parse no route say nothing about the time of a route. */
START_TEST(steps_without_routes_do_not_count)
{
	int64_t now = ARRIVED;
	struct dl_conf_pace p;
	uint32_t first;

	dl_conf_pace_init(&p, now, now);
	first = dl_conf_pace_begin(&p, now);
	dl_conf_pace_end(&p, 0, now + 50 * MS);
	ck_assert_uint_eq(dl_conf_pace_begin(&p, now), first);
	dl_conf_pace_end(&p, first, now);
	ck_assert_uint_eq(dl_conf_pace_begin(&p, now), (uintmax_t)2 * first);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("conf_pace");
	TCase *tc = tcase_create("conf_pace");

	suite_add_tcase(s, tc);
	tcase_add_loop_test(tc, pace_suits_the_vm, 0, CASES);
	tcase_add_loop_test(tc, rest_shrinks_with_the_age_of_the_version, 0,
			    REST_CASES);
	tcase_add_test(tc, stalled_step_is_forgotten);
	tcase_add_test(tc, steps_without_routes_do_not_count);
	return suite_run(s);
}
