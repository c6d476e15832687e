/*
 * Tests of how replicas and entries split the same configuration. They guard
 * against digests that differ between VMs, so that no delta could be used.
 */
#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fake/suite.h"
#include "state/conf_pushed.h"

static struct dl_faults faults;

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

/*
 * Entries split the text that they receive, and must come to the digest of the
 * replica.
 */
START_TEST(pushed_sections_lack_the_source)
{
	struct dl_conf_sections *s, *entry;
	bool had_source = false;
	char *text;
	size_t n;

	s = split(7, &had_source);
	ck_assert(had_source);
	ck_assert_int_eq(dl_conf_sections_text(s, &text, &n), 0);
	ck_assert_str_eq(text, "{\"number\":7,\"routes\":[{\"host\":\"a\"}]}");
	ck_assert_int_eq(
		dl_conf_sections_split((struct dl_str){ text, n }, &entry), 0);
	ck_assert_uint_eq(dl_conf_sections_digest(s),
			  dl_conf_sections_digest(entry));
	dl_conf_sections_free(s);
	dl_conf_sections_free(entry);
	free(text);
	ck_assert_int_eq(dl_conf_pushed_split(DL_STR("{\"a\":0.1}"), &s,
					      &had_source),
			 0);
	ck_assert(!had_source);
	dl_conf_sections_free(s);
}
END_TEST

START_TEST(texts_that_are_no_configuration_are_not_split)
{
	static const char *const texts[] = { "", "[]", "{\"routes\":1}",
					     "{\"routes\":[" };
	struct dl_conf_sections *s;
	bool had_source;

	ck_assert_int_ne(
		dl_conf_pushed_split(dl_str_of(texts[_i]), &s, &had_source), 0);
}
END_TEST

/* Reads the example of a deployment, to be freed with free(). */
static char *read_example(size_t *n)
{
	FILE *f = fopen("examples/dala-serik.json", "re");
	char *text = calloc(1, 1u << 16);

	ck_assert_ptr_nonnull(f);
	*n = fread(text, 1, 1u << 16, f);
	ck_assert_uint_lt(*n, 1u << 16);
	fclose(f);
	return text;
}

/* A text that is parsed first and split later has the same sections. */
START_TEST(tree_is_split_like_the_text)
{
	struct dl_conf_sections *later, *now;
	struct dl_conf_tree *tree = NULL;
	struct dl_conf *conf;
	struct dl_str text;
	char *s;

	s = read_example(&text.n);
	text.s = s;
	ck_assert_int_eq(dl_conf_tree_parse(text, &conf, &tree, &faults), 0);
	ck_assert_uint_eq(conf->digest, dl_conf_digest(text));
	ck_assert_int_eq(dl_conf_tree_split(tree, &later), 0);
	ck_assert_int_eq(dl_conf_sections_split(text, &now), 0);
	ck_assert_uint_eq(dl_conf_sections_digest(later),
			  dl_conf_sections_digest(now));
	dl_conf_tree_free(tree);
	dl_conf_sections_free(later);
	dl_conf_sections_free(now);
	dl_conf_free(conf);
	free(s);
}
END_TEST

START_TEST(faulty_text_has_no_tree)
{
	struct dl_conf_tree *tree = NULL;
	struct dl_conf *conf = NULL;

	ck_assert_int_ne(dl_conf_tree_parse(DL_STR("{\"services\":{}}"), &conf,
					    &tree, &faults),
			 0);
	ck_assert_ptr_null(tree);
	ck_assert_ptr_null(conf);
	ck_assert_uint_gt(faults.count, 0);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("conf_pushed");
	TCase *tc = tcase_create("pushed");

	tcase_add_test(tc, pushed_sections_lack_the_source);
	tcase_add_loop_test(tc, texts_that_are_no_configuration_are_not_split,
			    0, 4);
	tcase_add_test(tc, tree_is_split_like_the_text);
	tcase_add_test(tc, faulty_text_has_no_tree);
	suite_add_tcase(suite, tc);
	return suite_run(suite);
}
