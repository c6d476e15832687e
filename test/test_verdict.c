/* The load tool's checks must detect a violation of each guarantee. */
#include <check.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "fake/suite.h"
#include "fake/verdict.h"

#define HASH	    0x00000000000000abULL
#define ENTRY	    0x7f0000010001ULL /* 127.0.0.1:1 */
#define DEADLINE_MS 1000
#define SLACK_MS    250
#define WALL	    5000.0

/* A request, its execution log, and the guarantee that it violates. */
struct verdict_case {
	const char *name;
	enum verdict_outcome outcome;
	bool idempotent;
	bool complete;
	bool is_prefix;
	int status;
	double took;
	const char *record;
	const char *away;
	int violates; /* a guarantee, or GUARANTEE_COUNT for none */
};

#define BEGUN "B 1 127.0.0.1:9 r - 00000000000000ab /p -1 begun\n"

static const struct verdict_case cases[] = {
	{ "done", VERDICT_DONE, false, true, true, 200, 900, BEGUN, "",
	  GUARANTEE_COUNT },
	{ "refused", VERDICT_NOT_RUN, false, false, false, 503, 1, "", "",
	  GUARANTEE_COUNT },
	{ "late", VERDICT_DONE, true, true, true, 200, 1251, BEGUN, "",
	  GUARANTEE_DEADLINE },
	{ "late, but its VM was frozen", VERDICT_DONE, true, true, true, 200,
	  1300, BEGUN, "127.0.0.1:1 away 5100\n127.0.0.1:1 back 5200\n",
	  GUARANTEE_COUNT },
	{ "late, its VM was frozen before", VERDICT_DONE, true, true, true, 200,
	  1300, BEGUN, "127.0.0.1:1 away 4000\n127.0.0.1:1 back 4900\n",
	  GUARANTEE_DEADLINE },
	{ "late, another VM was killed", VERDICT_DONE, true, true, true, 200,
	  1300, BEGUN, "127.0.0.2:1 away 5100\n", GUARANTEE_DEADLINE },
	{ "no outcome", VERDICT_NO_OUTCOME, true, false, true, 0, 10, "", "",
	  GUARANTEE_OUTCOME },
	{ "no outcome from a killed VM", VERDICT_NO_OUTCOME, true, false, true,
	  0, 300, "", "127.0.0.1:1 away 5290\n", GUARANTEE_COUNT },
	{ "done with an incomplete answer", VERDICT_DONE, true, false, true,
	  200, 10, BEGUN, "", GUARANTEE_CONTENT },
	{ "done, but not executed", VERDICT_DONE, true, true, true, 200, 10, "",
	  "", GUARANTEE_CONTENT },
	{ "failed after bytes of another answer", VERDICT_FAILED, true, false,
	  false, 200, 10, BEGUN, "", GUARANTEE_CONTENT },
	{ "failed after a part of the answer", VERDICT_FAILED, true, false,
	  true, 200, 10, BEGUN, "", GUARANTEE_COUNT },
	{ "not-run, but executed", VERDICT_NOT_RUN, true, false, false, 503, 10,
	  BEGUN, "", GUARANTEE_NOT_RUN },
	{ "not idempotent, executed twice", VERDICT_DONE, false, true, true,
	  200, 10, BEGUN BEGUN, "", GUARANTEE_AT_MOST_ONCE },
	{ "idempotent, executed twice", VERDICT_DONE, true, true, true, 200, 10,
	  BEGUN BEGUN, "", GUARANTEE_COUNT },
	{ "executed long after leaving", VERDICT_DONE, true, true, true, 200,
	  10, "B 1 127.0.0.1:9 r - 00000000000000ab /p 2001 begun\n", "",
	  GUARANTEE_LEAVING },
	{ "rejected long after leaving", VERDICT_NOT_RUN, true, false, false,
	  503, 10, "X 1 127.0.0.1:9 r - 00000000000000ab /p 2001 leaving\n", "",
	  GUARANTEE_LEAVING },
	{ "executed just after leaving", VERDICT_DONE, true, true, true, 200,
	  10, "B 1 127.0.0.1:9 r - 00000000000000ab /p 1999 begun\n", "",
	  GUARANTEE_COUNT },
};

#define CASES (sizeof(cases) / sizeof(cases[0]))

/* Writes the text to a temporary file; the caller frees its name. */
static char *write_temp_file(const char *text)
{
	char *name = NULL;
	int fd = g_file_open_tmp("verdict.XXXXXX", &name, NULL);

	ck_assert_int_ge(fd, 0);
	ck_assert_int_eq(write(fd, text, strlen(text)), (ssize_t)strlen(text));
	close(fd);
	return name;
}

static void check_case(struct verdict *v, const struct verdict_case *c)
{
	GPtrArray *results = g_ptr_array_new_with_free_func(g_free);
	struct verdict_result *r = g_new0(struct verdict_result, 1);
	char *record = write_temp_file(c->record);
	char *away = write_temp_file(c->away);

	r->hash = HASH;
	r->entry = ENTRY;
	r->outcome = c->outcome;
	r->idempotent = c->idempotent;
	r->complete = c->complete;
	r->is_prefix = c->is_prefix;
	r->status = c->status;
	r->deadline_ms = DEADLINE_MS;
	r->wall_start = WALL;
	r->ended = c->took;
	g_ptr_array_add(results, r);
	ck_assert_int_eq(verdict_read_execution_log(v, record), 0);
	ck_assert_int_eq(verdict_read_outages(v, away), 0);
	verdict_check(v, results);
	unlink(record);
	unlink(away);
	g_free(record);
	g_free(away);
	g_ptr_array_free(results, TRUE);
}

static void verdict_free(struct verdict *v)
{
	g_array_free(v->outages, TRUE);
	g_hash_table_destroy(v->executions);
	g_string_free(v->violations, TRUE);
}

START_TEST(violates_only_that_guarantee)
{
	const struct verdict_case *c = &cases[_i];
	struct verdict v = { .slack_ms = SLACK_MS };

	check_case(&v, c);
	for (int i = 0; i < GUARANTEE_COUNT; i++)
		ck_assert_msg((v.violated[i] > 0) == (i == c->violates),
			      "%s: guarantee %d violated %u times", c->name, i,
			      v.violated[i]);
	ck_assert_int_eq(verdict_passed(&v), c->violates == GUARANTEE_COUNT);
	verdict_free(&v);
}
END_TEST

START_TEST(detects_leaked_memory)
{
	struct verdict v = { .slack_ms = SLACK_MS, .memory_left = 1 };

	check_case(&v, &cases[0]);
	ck_assert_uint_eq(v.violated[GUARANTEE_MEMORY], 1);
	ck_assert(!verdict_passed(&v));
	verdict_free(&v);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("verdict");
	TCase *t = tcase_create("verdict");

	tcase_add_loop_test(t, violates_only_that_guarantee, 0, (int)CASES);
	tcase_add_test(t, detects_leaked_memory);
	suite_add_tcase(s, t);
	return suite_run(s);
}
