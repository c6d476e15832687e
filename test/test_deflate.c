/* Deflated bodies: round trips, truncated and altered input, declared sizes. */
#include <check.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "fake/suite.h"
#include "protocol/deflate.h"

#define MAX (1u << 20)

START_TEST(round_trip)
{
	struct dl_str bodies[] = { DL_STR(""), DL_STR("a"),
				   DL_STR("routes routes routes routes") };
	char *small, *text;
	size_t n, m;

	ck_assert_int_eq(dl_deflate(bodies[_i], &small, &n), 0);
	ck_assert_int_eq(
		dl_inflate((struct dl_str){ small, n }, MAX, &text, &m), 0);
	ck_assert(dl_str_eq((struct dl_str){ text, m }, bodies[_i]));
	free(small);
	free(text);
}
END_TEST

START_TEST(truncated_and_altered_bodies_are_rejected)
{
	char *small, *text;
	size_t n, m;

	ck_assert_int_eq(dl_deflate(DL_STR("some text, some text"), &small, &n),
			 0);
	for (size_t i = 0; i < n; i++)
		ck_assert_int_eq(dl_inflate((struct dl_str){ small, i }, MAX,
					    &text, &m),
				 -EBADMSG);
	small[n - 1] = (char)(small[n - 1] ^ 1);
	ck_assert_int_eq(dl_inflate((struct dl_str){ small, n }, MAX, &text,
				    &m),
			 -EBADMSG);
	free(small);
}
END_TEST

/*
 * A body may declare any size in its first eight bytes. A size above the limit
 * must be rejected before that much memory is allocated.
 */
START_TEST(declared_size_is_bounded)
{
	char *text;
	size_t m;

	ck_assert_int_eq(dl_inflate(DL_STR("\377\377\377\377\377\377\377\377"
					   "x"),
				    MAX, &text, &m),
			 -EBADMSG);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("deflate");
	TCase *t = tcase_create("deflate");

	suite_add_tcase(s, t);
	tcase_add_loop_test(t, round_trip, 0, 3);
	tcase_add_test(t, truncated_and_altered_bodies_are_rejected);
	tcase_add_test(t, declared_size_is_bounded);
	return suite_run(s);
}
