/*
 * Tests of the granted endpoints that a VM has no report of. They guard against
 * endpoints that are dropped from the full table without being counted, so that
 * operators cannot see why connections to them are not forwarded, and against a
 * table that grows without limit.
 */
#include <check.h>

#include "base/metric.h"
#include "coordination/unreported.h"
#include "fake/suite.h"

#define FIRST_ADDRESS 5000

static struct dl_unreported *endpoints;
static struct dl_name service, domain, other_domain;

static void begin(void)
{
	endpoints = dl_unreported_new();
	dl_name_set(&service, DL_STR("desk"));
	dl_name_set(&domain, DL_STR("d1"));
	dl_name_set(&other_domain, DL_STR("d2"));
}

static void end(void)
{
	dl_unreported_free(endpoints);
}

static int64_t dropped(void)
{
	return dl_metric_read(DL_METRIC_unreported_endpoints_dropped);
}

static void add(uint64_t address)
{
	dl_unreported_add(endpoints, address, &service, &domain);
}

static void fill(void)
{
	for (uint64_t i = 0; i < DL_UNREPORTED_MAX; i++)
		add(FIRST_ADDRESS + i);
}

static uint32_t count_known(void)
{
	uint32_t n = 0;

	for (uint64_t i = 0; i < DL_UNREPORTED_MAX; i++)
		n += dl_unreported_find(endpoints, FIRST_ADDRESS + i) != NULL;
	return n;
}

START_TEST(endpoints_dropped_from_the_full_table_are_counted)
{
	int64_t before = dropped();

	fill();
	ck_assert_uint_eq(count_known(), DL_UNREPORTED_MAX);
	ck_assert_int_eq(dropped(), before);
	add(1);
	ck_assert_int_eq(dropped(), before + DL_UNREPORTED_MAX);
	ck_assert_uint_eq(count_known(), 0);
	ck_assert_ptr_nonnull(dl_unreported_find(endpoints, 1));
	/* There is room for the others again, with the one that was added. */
	fill();
	ck_assert_int_eq(dropped(),
			 before + DL_UNREPORTED_MAX + DL_UNREPORTED_MAX);
	ck_assert_uint_eq(count_known(), 1);
}
END_TEST

/* An endpoint that is granted again takes no room. */
START_TEST(known_endpoint_is_replaced_in_the_full_table)
{
	int64_t before = dropped();
	const struct dl_unreported_endpoint *found;

	fill();
	fill();
	dl_unreported_add(endpoints, FIRST_ADDRESS, &service, &other_domain);
	ck_assert_int_eq(dropped(), before);
	ck_assert_uint_eq(count_known(), DL_UNREPORTED_MAX);
	found = dl_unreported_find(endpoints, FIRST_ADDRESS);
	ck_assert_uint_eq(found->address, FIRST_ADDRESS);
	ck_assert(dl_name_eq(&found->service, DL_STR("desk")));
	ck_assert(dl_name_eq(&found->domain, DL_STR("d2")));
	found = dl_unreported_find(endpoints, FIRST_ADDRESS + 1);
	ck_assert(dl_name_eq(&found->domain, DL_STR("d1")));
	ck_assert_ptr_null(dl_unreported_find(endpoints, 1));
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("unreported");
	TCase *tc = tcase_create("unreported");

	tcase_add_checked_fixture(tc, begin, end);
	tcase_add_test(tc, endpoints_dropped_from_the_full_table_are_counted);
	tcase_add_test(tc, known_endpoint_is_replaced_in_the_full_table);
	suite_add_tcase(suite, tc);
	return suite_run(suite);
}
