/* Numbers, names and VM addresses. */
#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "daisyledge/base.h"
#include "fake/suite.h"

struct vm_case {
	const char *text;
	bool ok;
};

static const struct vm_case vm_cases[] = {
	{ "127.0.0.1:8080", true },    { "127.0.0.1", false },
	{ "127.0.0.256:80", false },   { "127.0.0.1:0", false },
	{ "127.0.0.1:65536", false },  { "1.2.3.4:5x", false },
	{ "255.255.255.255:1", true }, { "", false },
};

START_TEST(vm_text_round_trip)
{
	const struct vm_case *c = &vm_cases[_i];
	char text[24];
	uint64_t vm;

	ck_assert_int_eq(dl_vm_parse(dl_str_of(c->text), &vm), c->ok);
	if (c->ok)
		ck_assert_str_eq(dl_vm_text(vm, text), c->text);
}
END_TEST

START_TEST(name_bounds)
{
	char s[DL_NAME_MAX + 1];
	struct dl_name name;

	memset(s, 'a', sizeof(s));
	ck_assert(dl_name_set(&name, (struct dl_str){ s, DL_NAME_MAX }));
	ck_assert(!dl_name_set(&name, (struct dl_str){ s, sizeof(s) }));
	ck_assert_uint_eq(name.n, DL_NAME_MAX);
}
END_TEST

START_TEST(numbers)
{
	uint64_t v = 7;

	ck_assert(dl_str_to_u64(DL_STR("1234"), &v));
	ck_assert_uint_eq(v, 1234);
	ck_assert(!dl_str_to_u64(DL_STR("12a"), &v));
	ck_assert(!dl_str_to_u64(DL_STR(""), &v));
	ck_assert(!dl_str_to_u64(DL_STR("99999999999999999999"), &v));
}
END_TEST

int main(void)
{
	Suite *s = suite_create("base");
	TCase *t = tcase_create("base");

	suite_add_tcase(s, t);
	tcase_add_loop_test(t, vm_text_round_trip, 0,
			    sizeof(vm_cases) / sizeof(vm_cases[0]));
	tcase_add_test(t, name_bounds);
	tcase_add_test(t, numbers);
	return suite_run(s);
}
