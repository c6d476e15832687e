/*
 * Tests of the VMs that wait for a whole configuration body. They guard against
 * pulls that are dropped from a full list without being counted, so that
 * operators cannot see why VMs get their configuration late, and against VMs
 * that are listed, and sent the body, twice.
 */
#include <check.h>
#include <string.h>

#include "base/metric.h"
#include "fake/suite.h"
#include "state/conf_pullers.h"

#define FIRST_VM 1000

static struct dl_conf_pullers pullers;

static void begin(void)
{
	memset(&pullers, 0, sizeof(pullers));
}

static int64_t dropped(void)
{
	return dl_metric_read(DL_METRIC_conf_pulls_dropped);
}

static void fill(void)
{
	for (uint64_t i = 0; i < DL_CONF_PULLERS_MAX; i++)
		dl_conf_pullers_add(&pullers, FIRST_VM + i);
}

START_TEST(pulls_beyond_the_limit_are_counted)
{
	int64_t before = dropped();

	fill();
	ck_assert_uint_eq(pullers.count, DL_CONF_PULLERS_MAX);
	ck_assert_int_eq(dropped(), before);
	dl_conf_pullers_add(&pullers, 1);
	dl_conf_pullers_add(&pullers, 2);
	dl_conf_pullers_add(&pullers, 1);
	ck_assert_int_eq(dropped(), before + 3);
	ck_assert_uint_eq(pullers.count, DL_CONF_PULLERS_MAX);
	for (uint64_t i = 0; i < DL_CONF_PULLERS_MAX; i++)
		ck_assert_uint_eq(pullers.vms[i], FIRST_VM + i);
}
END_TEST

/* A VM that has no answer yet pulls again, at most every 100 ms. */
START_TEST(vm_that_waits_is_neither_listed_twice_nor_dropped)
{
	int64_t before = dropped();

	dl_conf_pullers_add(&pullers, FIRST_VM);
	dl_conf_pullers_add(&pullers, FIRST_VM);
	ck_assert_uint_eq(pullers.count, 1);
	fill();
	fill();
	ck_assert_uint_eq(pullers.count, DL_CONF_PULLERS_MAX);
	ck_assert_int_eq(dropped(), before);
}
END_TEST

START_TEST(emptied_list_has_room_again)
{
	int64_t before = dropped();

	fill();
	pullers.count = 0;
	dl_conf_pullers_add(&pullers, 1);
	ck_assert_uint_eq(pullers.count, 1);
	ck_assert_uint_eq(pullers.vms[0], 1);
	ck_assert_int_eq(dropped(), before);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("conf_pullers");
	TCase *tc = tcase_create("pullers");

	tcase_add_checked_fixture(tc, begin, NULL);
	tcase_add_test(tc, pulls_beyond_the_limit_are_counted);
	tcase_add_test(tc, vm_that_waits_is_neither_listed_twice_nor_dropped);
	tcase_add_test(tc, emptied_list_has_room_again);
	suite_add_tcase(suite, tc);
	return suite_run(suite);
}
