/* The operators' text: examples parse, faults are named by path and line. */
#include <check.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "daisyledge/conf.h"

static struct dl_faults faults;

static char *read_file(const char *path, size_t *n)
{
	FILE *f = fopen(path, "r");
	char *text = malloc(DL_CONF_TEXT_MAX);

	ck_assert_ptr_nonnull(f);
	*n = fread(text, 1, DL_CONF_TEXT_MAX, f);
	fclose(f);
	return text;
}

START_TEST(examples_parse)
{
	static const char *const paths[] = { "examples/dala-serik.json",
					     "examples/zveza.json" };
	struct dl_conf *conf;
	size_t n;
	char *text = read_file(paths[_i], &n);
	int rc = dl_conf_parse((struct dl_str){ text, n }, &conf, &faults);

	ck_assert_msg(rc == 0, "line %u %s: %s", faults.at[0].line,
		      faults.at[0].path, faults.at[0].text);
	ck_assert_uint_eq(conf->workspaces_count, 10);
	ck_assert_uint_eq(conf->replicas_count, 3);
	ck_assert_ptr_nonnull(dl_conf_workspace(conf, DL_STR("training")));
	ck_assert_ptr_null(dl_conf_workspace(conf, DL_STR("nobody")));
	dl_conf_free(conf);
	free(text);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("conf");
	TCase *t = tcase_create("conf");
	SRunner *r = srunner_create(s);
	int failed;

	suite_add_tcase(s, t);
	tcase_add_loop_test(t, examples_parse, 0, 2);
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
