/* Deflated bodies, and bytes that are none. */
#include <check.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "fake/suite.h"
#include "protocol/squeeze.h"

#define MAX (1u << 20)

START_TEST(comes_back)
{
	struct dl_str bodies[] = { DL_STR(""), DL_STR("a"),
				   DL_STR("routes routes routes routes") };
	char *small, *text;
	size_t n, m;

	ck_assert_int_eq(dl_squeeze(bodies[_i], &small, &n), 0);
	ck_assert_int_eq(
		dl_unsqueeze((struct dl_str){ small, n }, MAX, &text, &m), 0);
	ck_assert(dl_str_eq((struct dl_str){ text, m }, bodies[_i]));
	free(small);
	free(text);
}
END_TEST

START_TEST(every_cut_is_told)
{
	char *small, *text;
	size_t n, m;

	ck_assert_int_eq(dl_squeeze(DL_STR("some text, some text"), &small, &n),
			 0);
	for (size_t i = 0; i < n; i++)
		ck_assert_int_eq(dl_unsqueeze((struct dl_str){ small, i }, MAX,
					      &text, &m),
				 -EBADMSG);
	small[n - 1] = (char)(small[n - 1] ^ 1);
	ck_assert_int_eq(dl_unsqueeze((struct dl_str){ small, n }, MAX, &text,
				      &m),
			 -EBADMSG);
	free(small);
}
END_TEST

/* Eight bytes must not make a process take the memory that they name. */
START_TEST(claimed_sizes_are_bounded)
{
	char *text;
	size_t m;

	ck_assert_int_eq(dl_unsqueeze(DL_STR("\377\377\377\377\377\377\377\377"
					     "x"),
				      MAX, &text, &m),
			 -EBADMSG);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("squeeze");
	TCase *t = tcase_create("squeeze");

	suite_add_tcase(s, t);
	tcase_add_loop_test(t, comes_back, 0, 3);
	tcase_add_test(t, every_cut_is_told);
	tcase_add_test(t, claimed_sizes_are_bounded);
	return suite_run(s);
}
