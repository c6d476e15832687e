/* The judge of the load tool: it must see each kind of broken promise. */
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

/* One request, what was recorded of it, and the promise that it breaks. */
struct verdict_case {
	const char *name;
	enum told told;
	bool idempotent;
	bool right;
	bool part;
	int status;
	double took;
	const char *record;
	const char *away;
	int broken; /* a promise, or PROMISE_COUNT for none */
};

#define BEGUN "B 1 127.0.0.1:9 r - 00000000000000ab /p -1 begun\n"

static const struct verdict_case cases[] = {
	{ "done", TOLD_DONE, false, true, true, 200, 900, BEGUN, "",
	  PROMISE_COUNT },
	{ "refused", TOLD_NOT_RUN, false, false, false, 503, 1, "", "",
	  PROMISE_COUNT },
	{ "late", TOLD_DONE, true, true, true, 200, 1251, BEGUN, "",
	  PROMISE_IN_TIME },
	{ "late, but its VM was frozen", TOLD_DONE, true, true, true, 200, 1300,
	  BEGUN, "127.0.0.1:1 away 5100\n127.0.0.1:1 back 5200\n",
	  PROMISE_COUNT },
	{ "late, its VM was frozen before", TOLD_DONE, true, true, true, 200,
	  1300, BEGUN, "127.0.0.1:1 away 4000\n127.0.0.1:1 back 4900\n",
	  PROMISE_IN_TIME },
	{ "late, another VM was killed", TOLD_DONE, true, true, true, 200, 1300,
	  BEGUN, "127.0.0.2:1 away 5100\n", PROMISE_IN_TIME },
	{ "told nothing", TOLD_NOTHING, true, false, true, 0, 10, "", "",
	  PROMISE_TOLD },
	{ "told nothing by a killed VM", TOLD_NOTHING, true, false, true, 0,
	  300, "", "127.0.0.1:1 away 5290\n", PROMISE_COUNT },
	{ "done without the whole answer", TOLD_DONE, true, false, true, 200,
	  10, BEGUN, "", PROMISE_WHOLE },
	{ "done, but nowhere run", TOLD_DONE, true, true, true, 200, 10, "", "",
	  PROMISE_WHOLE },
	{ "failed after another's bytes", TOLD_FAILED, true, false, false, 200,
	  10, BEGUN, "", PROMISE_WHOLE },
	{ "failed after a part", TOLD_FAILED, true, false, true, 200, 10, BEGUN,
	  "", PROMISE_COUNT },
	{ "not-run, yet it ran", TOLD_NOT_RUN, true, false, false, 503, 10,
	  BEGUN, "", PROMISE_NOT_RUN },
	{ "a confirmation run twice", TOLD_DONE, false, true, true, 200, 10,
	  BEGUN BEGUN, "", PROMISE_AT_MOST_ONCE },
	{ "a ping run twice", TOLD_DONE, true, true, true, 200, 10, BEGUN BEGUN,
	  "", PROMISE_COUNT },
	{ "run by one that left long ago", TOLD_DONE, true, true, true, 200, 10,
	  "B 1 127.0.0.1:9 r - 00000000000000ab /p 2001 begun\n", "",
	  PROMISE_LEAVING },
	{ "sent to one that left long ago", TOLD_NOT_RUN, true, false, false,
	  503, 10, "X 1 127.0.0.1:9 r - 00000000000000ab /p 2001 leaving\n", "",
	  PROMISE_LEAVING },
	{ "run by one that leaves just now", TOLD_DONE, true, true, true, 200,
	  10, "B 1 127.0.0.1:9 r - 00000000000000ab /p 1999 begun\n", "",
	  PROMISE_COUNT },
};

#define CASES (sizeof(cases) / sizeof(cases[0]))

/* A file with this text, whose name is the caller's. */
static char *file_with(const char *text)
{
	char *name = NULL;
	int fd = g_file_open_tmp("verdict.XXXXXX", &name, NULL);

	ck_assert_int_ge(fd, 0);
	ck_assert_int_eq(write(fd, text, strlen(text)), (ssize_t)strlen(text));
	close(fd);
	return name;
}

static void judge(struct verdict *v, const struct verdict_case *c)
{
	GPtrArray *results = g_ptr_array_new_with_free_func(g_free);
	struct verdict_result *r = g_new0(struct verdict_result, 1);
	char *record = file_with(c->record);
	char *away = file_with(c->away);

	r->hash = HASH;
	r->entry = ENTRY;
	r->told = c->told;
	r->idempotent = c->idempotent;
	r->right = c->right;
	r->part = c->part;
	r->status = c->status;
	r->deadline_ms = DEADLINE_MS;
	r->wall_start = WALL;
	r->ended = c->took;
	g_ptr_array_add(results, r);
	ck_assert_int_eq(verdict_read_record(v, record), 0);
	ck_assert_int_eq(verdict_read_away(v, away), 0);
	verdict_judge(v, results);
	unlink(record);
	unlink(away);
	g_free(record);
	g_free(away);
	g_ptr_array_free(results, TRUE);
}

static void verdict_free(struct verdict *v)
{
	g_array_free(v->away, TRUE);
	g_hash_table_destroy(v->begun);
	g_string_free(v->faults, TRUE);
}

START_TEST(breaks_just_that)
{
	const struct verdict_case *c = &cases[_i];
	struct verdict v = { .slack_ms = SLACK_MS };

	judge(&v, c);
	for (int i = 0; i < PROMISE_COUNT; i++)
		ck_assert_msg((v.broken[i] > 0) == (i == c->broken),
			      "%s: promise %d broken %u times", c->name, i,
			      v.broken[i]);
	ck_assert_int_eq(verdict_held(&v), c->broken == PROMISE_COUNT);
	verdict_free(&v);
}
END_TEST

START_TEST(sees_memory_left)
{
	struct verdict v = { .slack_ms = SLACK_MS, .memory_left = 1 };

	judge(&v, &cases[0]);
	ck_assert_uint_eq(v.broken[PROMISE_MEMORY], 1);
	ck_assert(!verdict_held(&v));
	verdict_free(&v);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("verdict");
	TCase *t = tcase_create("verdict");

	tcase_add_loop_test(t, breaks_just_that, 0, (int)CASES);
	tcase_add_test(t, sees_memory_left);
	suite_add_tcase(s, t);
	return suite_run(s);
}
