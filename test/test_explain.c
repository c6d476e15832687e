/* Parsing of log lines, and the analysis of the requests that they report. */
#include <check.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "daisyledge/pool.h"
#include "fake/suite.h"
#include "protocol/explain.h"

#define STAMP "2026-12-03T11:21:56.017Z "
#define ENDED STAMP "INFO  call: A request ended. "

static bool is(struct dl_str s, const char *text)
{
	return dl_str_eq(s, dl_str_of(text));
}

static struct dl_logline read_line(const char *text)
{
	struct dl_logline l;

	ck_assert_int_eq(dl_logline_read(dl_str_of(text), &l), 0);
	return l;
}

START_TEST(line_is_parsed)
{
	struct dl_logline l = read_line(
		"  1.5 vm-a " STAMP
		"WARN  relay: An attempt broke. request=7-a "
		"why=\"no byte in the time\" at_fault= granted_ms=-1 events=46");

	ck_assert(is(l.prefix, "  1.5 vm-a "));
	ck_assert_int_eq(l.at, 1796296916017);
	ck_assert(is(l.level, "WARN"));
	ck_assert(is(l.part, "relay"));
	ck_assert(is(l.sentence, "An attempt broke."));
	ck_assert_uint_eq(l.fields, 5);
	ck_assert(is(dl_logline_field(&l, "why"), "no byte in the time"));
	ck_assert(is(dl_logline_field(&l, "at_fault"), ""));
	ck_assert(is(dl_logline_field(&l, "none"), ""));
	ck_assert_int_eq(dl_logline_number(&l, "granted_ms", 0), -1);
	ck_assert_int_eq(dl_logline_number(&l, "events", 0), 46);
	ck_assert_int_eq(dl_logline_number(&l, "request", 5), 5);
}
END_TEST

START_TEST(foreign_lines_are_rejected)
{
	static const char *const lines[] = {
		"",
		"a line",
		"2026-12-03T11:21:56.017Z",
		STAMP "INFO",
		STAMP "INFO call",
		"2026-99-03T11:21:56.017Z INFO  a: B. c=1",
	};
	struct dl_logline l;

	for (size_t i = 0; i < G_N_ELEMENTS(lines); i++)
		ck_assert_int_lt(dl_logline_read(dl_str_of(lines[i]), &l), 0);
}
END_TEST

/* Truncated lines with an altered byte are parsed or rejected, never crash. */
START_TEST(damaged_lines_do_not_crash)
{
	static const char whole[] = ENDED
		"request=1 outcome=not-run reason=deadline why=\"a b\" ms=5";
	GRand *rand = g_rand_new_with_seed(5);
	char out[EXPLAIN_TEXT_MAX];

	for (int i = 0; i < 20000; i++) {
		size_t n = (size_t)g_rand_int_range(rand, 0, sizeof(whole));
		char *text = g_memdup2(whole, sizeof(whole));
		struct dl_logline l;

		text[g_rand_int_range(rand, 0, sizeof(whole))] =
			(char)g_rand_int_range(rand, 0, 256);
		if (dl_logline_read((struct dl_str){ text, n }, &l) == 0)
			explain_line(&l, out);
		g_free(text);
	}
	g_rand_free(rand);
}
END_TEST

START_TEST(each_refusal_has_a_reason)
{
	for (int i = 1; i < DL_REASON_COUNT; i++) {
		char text[512], out[EXPLAIN_TEXT_MAX];
		struct dl_logline l;

		snprintf(text, sizeof(text),
			 ENDED "outcome=not-run reason=%s ms=7 retry_ms=1200",
			 dl_reason_name((enum dl_reason)i));
		l = read_line(text);
		explain_line(&l, out);
		ck_assert_ptr_nonnull(strstr(out, "refused after 7 ms "));
		ck_assert_ptr_nonnull(strstr(out, "retried in 1200 ms"));
		ck_assert_ptr_null(strstr(out, "no reason"));
		ck_assert_ptr_null(strstr(out, "null"));
	}
}
END_TEST

/*
 * A request that went to an endpoint that leaves, or was kept from it, says so:
 * its caller's complaint is otherwise taken for a fault of the dispatcher.
 */
START_TEST(grant_of_a_leaving_endpoint_is_described)
{
	struct dl_logline l = read_line(
		STAMP "INFO  pool: A grant names an endpoint that leaves, no "
		      "other one is open. request=1 endpoint=10.0.0.1:9 "
		      "dispatcher=a age_ms=845");
	char out[EXPLAIN_TEXT_MAX];

	explain_line(&l, out);
	ck_assert_str_eq(
		out, "10.0.0.1:9 was granted although it has been leaving "
		     "for 845 ms: no other endpoint of the service is open");
	l = read_line(STAMP "INFO  pool: A grant is given back, its endpoint "
			    "has left. request=1 endpoint=10.0.0.1:9 "
			    "dispatcher=a");
	explain_line(&l, out);
	ck_assert_str_eq(out,
			 "10.0.0.1:9 was granted, but the time for which it "
			 "serves on after its departure is over: another grant "
			 "is requested");
}
END_TEST

START_TEST(denied_repeat_is_described)
{
	struct dl_logline l = read_line(
		STAMP
		"INFO  retry: A repeat was decided on. request=1 way=failed "
		"decision=denied by=dispatcher left_milli=250");
	char out[EXPLAIN_TEXT_MAX];

	explain_line(&l, out);
	ck_assert_str_eq(out, "the endpoint failed the request: the retry "
			      "budget does not cover a repeat (0.250 left)");
	l = read_line(ENDED "outcome=failed status=500 endpoint=e "
			    "reason=retry-budget");
	explain_line(&l, out);
	ck_assert_str_eq(out, "it ran at e and ended with status 500; it was "
			      "not repeated because the retry budget is used "
			      "up");
}
END_TEST

START_TEST(largest_part_of_late_requests)
{
	static const struct {
		const char *fields;
		bool late;
		enum explain_part where;
	} cases[] = {
		{ "first_ms=200 granted_ms=5 predicted_ms=100", false,
		  EXPLAIN_REST },
		{ "first_ms=900 granted_ms=810 predicted_ms=60 asking_ms=800 "
		  "queued_ms=10",
		  true, EXPLAIN_DISPATCHER_WAIT },
		{ "first_ms=900 granted_ms=810 predicted_ms=60 asking_ms=3 "
		  "queued_ms=807",
		  true, EXPLAIN_QUEUED },
		{ "first_ms=900 granted_ms=10 predicted_ms=100 asking_ms=10",
		  true, EXPLAIN_OVER_FORECAST },
		{ "first_ms=900 granted_ms=100 predicted_ms=790 asking_ms=10",
		  true, EXPLAIN_REST },
		{ "first_ms=900 granted_ms=700 predicted_ms=190 asking_ms=10 "
		  "tries=2",
		  true, EXPLAIN_EARLIER_ATTEMPTS },
		{ "first_ms=900 granted_ms=700 predicted_ms=190 asking_ms=10 "
		  "unsure_ms=690 tries=2",
		  true, EXPLAIN_CONFIG_WAIT },
		{ "first_ms=90 granted_ms=10 predicted_ms=80 pause_ms=400",
		  true, EXPLAIN_STREAM_PAUSE },
		{ "first_ms=900 granted_ms=10 predicted_ms=100 pause_ms=400",
		  true, EXPLAIN_OVER_FORECAST },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		int64_t ms[EXPLAIN_PARTS];
		struct dl_logline l;
		char text[512];

		snprintf(text, sizeof(text),
			 ENDED "outcome=done ms=2000 target_ms=300 gap_ms=250 "
			       "%s",
			 cases[i].fields);
		l = read_line(text);
		ck_assert_int_eq(explain_is_late(&l), cases[i].late);
		ck_assert_int_eq(explain_largest_part(&l, ms), cases[i].where);
	}
}
END_TEST

/* A call has no first event: the target applies to the whole response. */
START_TEST(call_is_late_by_its_total_time)
{
	struct dl_logline l = read_line(
		ENDED "outcome=done ms=150 first_ms=-1 target_ms=100 gap_ms=0");

	ck_assert(explain_is_late(&l));
	l = read_line(ENDED "outcome=done ms=90 first_ms=-1 target_ms=100");
	ck_assert(!explain_is_late(&l));
	l = read_line(ENDED "outcome=failed ms=150 target_ms=100");
	ck_assert(!explain_is_late(&l));
}
END_TEST

static json_t *lines_of(const char *id)
{
	static const char *const lines[] = {
		STAMP "INFO  call: A request ended. request=2 attempt=b "
		      "outcome=done content=c1",
		"2026-12-03T11:21:55.000Z WARN  relay: An attempt broke. "
		"request=2 broke=2 content=c1",
		"2026-12-03T11:21:57.000Z WARN  quarantine: A request is held "
		"back. content=c1 crashes=3",
		STAMP "INFO  call: A request ended. request=3 attempt=d "
		      "outcome=done content=c2",
	};
	struct explain_one *one = explain_one_new(dl_str_of(id));
	json_t *all;

	for (int pass = 0; pass < 2; pass++) {
		for (size_t i = 0; i < G_N_ELEMENTS(lines); i++)
			explain_one_add_line(one, DL_STR("vm"),
					     dl_str_of(lines[i]), pass == 0);
	}
	all = explain_one_json(one);
	explain_one_free(one);
	return all;
}

START_TEST(all_lines_of_one_request_in_order)
{
	static const char *const ids[] = { "2", "b", "c1" };

	for (size_t i = 0; i < G_N_ELEMENTS(ids); i++) {
		json_t *all = lines_of(ids[i]);
		const json_t *first = json_array_get(all, 0);

		ck_assert_uint_eq(json_array_size(all), 3);
		ck_assert_str_eq(
			json_string_value(json_object_get(first, "sentence")),
			"An attempt broke.");
		json_decref(all);
	}
}
END_TEST

/* Log lines whose response ended without a mark, or inside an event. */
START_TEST(end_that_shows_a_broken_stream_is_named)
{
	static const struct {
		const char *line, *part;
	} cases[] = {
		{ STAMP "WARN  relay: An attempt broke. endpoint=e broke=2 "
			"events=3 end=inside-event",
		  "e ended its stream inside an event after 3 events" },
		{ STAMP "WARN  relay: An attempt broke. endpoint=e broke=2 "
			"events=0 end=no-event",
		  "e ended its stream before the first event" },
		{ STAMP "WARN  relay: An attempt broke. endpoint=e broke=2 "
			"events=3 end=broken",
		  "e closed the connection after 3 events" },
		{ STAMP "WARN  relay: An attempt broke. endpoint=e broke=6 "
			"events=0 ids=other",
		  "e sent a response to another request" },
		{ STAMP "WARN  relay: An attempt broke. endpoint=e broke=6 "
			"events=0 ids=none",
		  "e sent a response without an attempt id on a kept" },
		{ STAMP "WARN  relay: An attempt broke. endpoint=e broke=6 "
			"events=0 ids=own",
		  "e sent an invalid response" },
		{ STAMP "WARN  relay: An answer was broken off. "
			"why=\"stopping\" ms=4000 expected_ms=900 stop_ms=7600",
		  "arrived 3600 ms after the stop began and ran for 4000 ms, "
		  "900 ms were expected" },
		{ STAMP "WARN  relay: An answer was broken off. "
			"why=\"stopping\" ms=8000 expected_ms=900 stop_ms=7600",
		  "arrived 400 ms before the stop began" },
		{ STAMP "WARN  relay: An answer was broken off. "
			"why=\"deadline\" ms=8000",
		  "the answer was broken off: deadline" },
		{ ENDED "outcome=done endpoint=e ms=5 end=unmarked",
		  "only the end of the connection marked" },
	};
	char out[EXPLAIN_TEXT_MAX];

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct dl_logline l = read_line(cases[i].line);

		explain_line(&l, out);
		ck_assert_msg(strstr(out, cases[i].part) != NULL, "%s", out);
	}
	{
		struct dl_logline l =
			read_line(ENDED "outcome=done ms=5 end=marked");

		explain_line(&l, out);
		ck_assert_ptr_null(strstr(out, "only the end"));
	}
}
END_TEST

START_TEST(unknown_id_has_no_lines)
{
	json_t *all = lines_of("none");

	ck_assert_uint_eq(json_array_size(all), 0);
	json_decref(all);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("explain");
	TCase *t = tcase_create("explain");

	tcase_add_test(t, line_is_parsed);
	tcase_add_test(t, foreign_lines_are_rejected);
	tcase_add_test(t, damaged_lines_do_not_crash);
	tcase_add_test(t, each_refusal_has_a_reason);
	tcase_add_test(t, largest_part_of_late_requests);
	tcase_add_test(t, grant_of_a_leaving_endpoint_is_described);
	tcase_add_test(t, denied_repeat_is_described);
	tcase_add_test(t, call_is_late_by_its_total_time);
	tcase_add_test(t, all_lines_of_one_request_in_order);
	tcase_add_test(t, end_that_shows_a_broken_stream_is_named);
	tcase_add_test(t, unknown_id_has_no_lines);
	suite_add_tcase(s, t);
	return suite_run(s);
}
