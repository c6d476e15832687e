/*
 * Tests of what VMs keep of past configuration versions. They guard against
 * pulls that are answered with deltas from another version than the one that
 * the puller has, and against unlimited memory.
 */
#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fake/suite.h"
#include "state/conf_history.h"
#include "state/conf_pushed.h"

#define WHOLE 20000

static struct dl_conf_history history;
static struct dl_conf_versions versions;

static void begin(void)
{
	memset(&history, 0, sizeof(history));
	memset(&versions, 0, sizeof(versions));
}

static void end(void)
{
	dl_conf_history_clear(&history);
	dl_conf_versions_clear(&versions);
}

static uint64_t digest_of(uint64_t version)
{
	return 1000 + version;
}

/* Adds the delta between two versions, with a body of n bytes. */
static void add(uint64_t base, uint64_t version, size_t n)
{
	struct dl_conf_delta_head head = { base, digest_of(base), version,
					   digest_of(version) };
	char *body = calloc(1, n);

	snprintf(body, n, "%lu", (unsigned long)version);
	dl_conf_history_add(&history, &head, (struct dl_str){ body, n });
	free(body);
}

static uint32_t answer(uint64_t version, uint64_t digest, size_t whole,
		       const struct dl_conf_step **steps)
{
	struct dl_conf_id have = { version, digest };

	return dl_conf_history_answer(&history, have, whole, steps);
}

static const struct {
	const char *name;
	uint64_t version, digest; /* that the puller has */
	size_t whole;		  /* size of the whole body */
	uint32_t deltas;	  /* sent; 0: the whole body */
} pulls[] = {
	{ "the version before", 8, 1008, WHOLE, 1 },
	{ "some versions before", 6, 1006, WHOLE, 3 },
	{ "the oldest base", 5, 1005, WHOLE, 4 },
	{ "older than what is kept", 4, 1004, WHOLE, 0 },
	{ "without a version", 0, 0, WHOLE, 0 },
	{ "of an older release, which names no digest", 8, 0, WHOLE, 0 },
	{ "with another digest", 8, 1007, WHOLE, 0 },
	{ "the version in force", 9, 1009, WHOLE, 0 },
	{ "a later version", 10, 1010, WHOLE, 0 },
	{ "deltas as large as the whole body", 6, 1006, 300, 0 },
	{ "deltas smaller than the whole body", 6, 1006, 301, 3 },
	{ "unknown size of the whole body", 6, 1006, 0, 3 },
};

START_TEST(pull_is_answered_from_the_version_named)
{
	const struct dl_conf_step *steps = NULL;
	uint32_t n;

	for (uint64_t v = 5; v < 9; v++)
		add(v, v + 1, 100);
	n = answer(pulls[_i].version, pulls[_i].digest, pulls[_i].whole,
		   &steps);
	ck_assert_msg(n == pulls[_i].deltas, "%s: %u deltas", pulls[_i].name,
		      n);
	for (uint32_t i = 0; i < n; i++) {
		uint64_t version = pulls[_i].version + i;

		ck_assert_uint_eq(steps[i].head.base_version, version);
		ck_assert_uint_eq(steps[i].head.version, version + 1);
		ck_assert_int_eq(atoi(steps[i].body), (int)version + 1);
	}
}
END_TEST

/* A whole text came into force in between, so that the steps have a gap. */
START_TEST(deltas_with_a_gap_are_forgotten)
{
	const struct dl_conf_step *steps;

	add(5, 6, 100);
	add(8, 9, 100);
	ck_assert_uint_eq(answer(5, 1005, WHOLE, &steps), 0);
	ck_assert_uint_eq(answer(8, 1008, WHOLE, &steps), 1);
	ck_assert_uint_eq(history.bytes, 100);
}
END_TEST

/* A delta must follow the last one in number and in digest. */
START_TEST(delta_to_another_version_forgets_the_others)
{
	static const struct dl_conf_delta_head others[] = {
		{ 7, 1006, 8, 1008 }, /* the text of 6 came back as 7 */
		{ 6, 1007, 8, 1008 }, /* another text of 6 */
	};
	const struct dl_conf_step *steps;

	add(5, 6, 100);
	dl_conf_history_add(&history, &others[_i], DL_STR("delta"));
	ck_assert_uint_eq(answer(5, 1005, WHOLE, &steps), 0);
	ck_assert_uint_eq(history.count, 1);
}
END_TEST

START_TEST(deltas_kept_are_limited)
{
	const struct dl_conf_step *steps;

	for (uint64_t v = 1; v <= 20; v++) {
		add(v, v + 1, 1000);
		ck_assert_uint_le(history.count, DL_CONF_DELTAS_MAX);
	}
	ck_assert_uint_eq(history.count, DL_CONF_DELTAS_MAX);
	for (uint64_t v = 21; v <= 40; v++) {
		add(v, v + 1, 20000);
		ck_assert_uint_le(history.bytes, DL_CONF_DELTA_BYTES_MAX);
	}
	ck_assert_uint_eq(history.count, 3);
	ck_assert_uint_eq(answer(40, 1040, 0, &steps), 1);
	/* One that is too large makes those before useless as well. */
	add(41, 42, DL_CONF_DELTA_BYTES_MAX + 1);
	ck_assert_uint_eq(history.count, 0);
	ck_assert_uint_eq(history.bytes, 0);
}
END_TEST

static struct dl_conf_sections *split(uint64_t number, bool *had_source)
{
	struct dl_conf_sections *s;
	char text[160];
	int n = snprintf(text, sizeof(text),
			 "{\"number\":%lu,\"routes\":[{\"host\":\"a\"}],"
			 "\"source\":\"as written\"}",
			 (unsigned long)number);

	ck_assert_int_eq(
		dl_conf_pushed_split((struct dl_str){ text, (size_t)n }, &s,
				     had_source),
		0);
	return s;
}

START_TEST(replica_finds_versions_by_number_and_digest)
{
	struct dl_conf_id id;
	bool had_source;

	for (uint64_t v = 1; v <= 6; v++) {
		struct dl_conf_sections *s = split(v, &had_source);

		id = (struct dl_conf_id){ v, dl_conf_sections_digest(s) };
		dl_conf_versions_add(&versions, id, s);
		dl_conf_versions_last(&versions)->delta = strdup("delta");
	}
	ck_assert_uint_eq(versions.count, DL_CONF_VERSIONS_MAX);
	ck_assert_uint_eq(dl_conf_versions_last(&versions)->id.version, 6);
	ck_assert_uint_eq(dl_conf_versions_find(&versions, id)->id.version, 6);
	id = versions.at[0].id;
	ck_assert_uint_eq(id.version, 3);
	ck_assert_ptr_eq(dl_conf_versions_find(&versions, id), &versions.at[0]);
	id.digest++;
	ck_assert_ptr_null(dl_conf_versions_find(&versions, id));
	id.digest = 0;
	ck_assert_ptr_null(dl_conf_versions_find(&versions, id));
	dl_conf_versions_drop_deltas(&versions);
	ck_assert_ptr_null(versions.at[0].delta);
	/* 0 stands for an unknown digest, also if a version has it. */
	versions.at[0].id.digest = 0;
	ck_assert_ptr_null(dl_conf_versions_find(&versions, versions.at[0].id));
}
END_TEST

/* Versions that are read from the store may be older than those kept. */
START_TEST(versions_are_kept_in_order)
{
	const uint64_t order[] = { 9, 5, 7, 6 };
	bool had_source;

	for (uint32_t i = 0; i < 4; i++) {
		ck_assert(dl_conf_versions_wants(&versions, order[i]));
		dl_conf_versions_add(&versions,
				     (struct dl_conf_id){ order[i], 1 },
				     split(order[i], &had_source));
		ck_assert(!dl_conf_versions_wants(&versions, order[i]));
		ck_assert_uint_eq(dl_conf_versions_last(&versions)->id.version,
				  9);
	}
	for (uint32_t i = 1; i < 4; i++)
		ck_assert_uint_lt(versions.at[i - 1].id.version,
				  versions.at[i].id.version);
	ck_assert(!dl_conf_versions_wants(&versions, 4));
	ck_assert(dl_conf_versions_wants(&versions, 8));
	ck_assert(dl_conf_versions_wants(&versions, 10));
}
END_TEST

START_TEST(delta_pays_if_it_is_smaller)
{
	ck_assert(dl_conf_delta_pays(100, WHOLE));
	ck_assert(dl_conf_delta_pays(WHOLE / 4, WHOLE));
	ck_assert(dl_conf_delta_pays(WHOLE - 1, WHOLE));
	ck_assert(!dl_conf_delta_pays(WHOLE, WHOLE));
	/* Small configurations are always sent whole. */
	ck_assert(!dl_conf_delta_pays(1, DL_CONF_SMALL_BYTES));
	ck_assert(dl_conf_delta_pays(1, DL_CONF_SMALL_BYTES + 1));
	ck_assert_uint_eq(dl_conf_whole_estimate(100, 1000, 3000), 300);
	ck_assert_uint_eq(dl_conf_whole_estimate(100, 0, 3000), 0);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("conf_history");
	TCase *tc = tcase_create("history");

	tcase_add_checked_fixture(tc, begin, end);
	tcase_add_loop_test(tc, pull_is_answered_from_the_version_named, 0,
			    sizeof(pulls) / sizeof(pulls[0]));
	tcase_add_test(tc, deltas_with_a_gap_are_forgotten);
	tcase_add_loop_test(tc, delta_to_another_version_forgets_the_others, 0,
			    2);
	tcase_add_test(tc, deltas_kept_are_limited);
	tcase_add_test(tc, replica_finds_versions_by_number_and_digest);
	tcase_add_test(tc, versions_are_kept_in_order);
	tcase_add_test(tc, delta_pays_if_it_is_smaller);
	suite_add_tcase(suite, tc);
	return suite_run(suite);
}
