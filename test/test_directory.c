/* Tests of the directory with announcements that arrive late or twice. */
#include <check.h>
#include <stdio.h>
#include <stdlib.h>

#include "daisyledge/directory.h"
#include "fake/suite.h"

#define AT "10.0.0.9:8080"

static struct dl_directory *dir;

static void begin(void)
{
	dir = dl_directory_new();
}

static void end(void)
{
	dl_directory_free(dir);
}

/* The entry superseded by the last announcement. */
static const struct dl_directory_entry *superseded;

static enum dl_directory_result announce_born(const char *address,
					      const char *instance,
					      uint64_t born, uint64_t sequence,
					      bool leaving, int64_t now)
{
	const struct dl_directory_entry *entry;
	struct dl_directory_update update = {
		.address = dl_str_of(address),
		.instance = dl_str_of(instance),
		.service = DL_STR("writer"),
		.sequence = sequence,
		.born = born,
		.leaving = leaving,
	};

	return dl_directory_apply(dir, &update, now, &entry, &superseded);
}

static enum dl_directory_result announce(const char *address,
					 const char *instance,
					 uint64_t sequence, bool leaving)
{
	return announce_born(address, instance, 0, sequence, leaving, 1000);
}

static const struct dl_directory_entry *known(void)
{
	return dl_directory_find(dir, DL_STR(AT));
}

START_TEST(instance_is_new_once)
{
	ck_assert_int_eq(announce(AT, "i-1", 1, false), DL_DIRECTORY_NEW);
	ck_assert_int_eq(announce(AT, "i-1", 2, false), DL_DIRECTORY_KNOWN);
	ck_assert(dl_name_eq(&known()->instance, DL_STR("i-1")));
}
END_TEST

START_TEST(leaving_is_final)
{
	announce(AT, "i-1", 1, false);
	ck_assert_int_eq(announce(AT, "i-1", 3, true), DL_DIRECTORY_LEAVING);
	ck_assert_int_eq(announce(AT, "i-1", 2, false), DL_DIRECTORY_KNOWN);
	ck_assert(known()->leaving);
}
END_TEST

START_TEST(leaving_with_older_sequence)
{
	announce(AT, "i-1", 5, false);
	ck_assert_int_eq(announce(AT, "i-1", 4, true), DL_DIRECTORY_LEAVING);
	ck_assert(known()->leaving);
}
END_TEST

START_TEST(leaving_without_address)
{
	announce(AT, "i-1", 1, false);
	ck_assert_int_eq(announce("", "i-1", 0, true), DL_DIRECTORY_LEAVING);
	ck_assert(known()->leaving);
	ck_assert_int_eq(announce("", "i-9", 0, true), DL_DIRECTORY_STALE);
}
END_TEST

/* A partition delays an announcement until another instance has the address. */
START_TEST(superseded_instance_stays_stale)
{
	uint64_t first;

	announce(AT, "i-1", 7, false);
	first = known()->incarnation;
	ck_assert_int_eq(announce(AT, "i-2", 1, false), DL_DIRECTORY_NEW);
	ck_assert_uint_gt(known()->incarnation, first);
	ck_assert_int_eq(announce(AT, "i-1", 8, false), DL_DIRECTORY_STALE);
	ck_assert(dl_name_eq(&known()->instance, DL_STR("i-2")));
	ck_assert_int_eq(announce("", "i-1", 0, true), DL_DIRECTORY_STALE);
	ck_assert(!known()->leaving);
}
END_TEST

START_TEST(new_instance_is_not_leaving)
{
	announce(AT, "i-1", 1, true);
	ck_assert(known()->leaving);
	announce(AT, "i-2", 1, false);
	ck_assert(!known()->leaving);
}
END_TEST

/* A restart with the same name and address keeps no earlier state. */
START_TEST(restart_with_same_name_and_address)
{
	uint64_t first;

	announce_born(AT, "i-1", 100, 9, true, 1000);
	ck_assert(known()->leaving);
	first = known()->incarnation;
	ck_assert_int_eq(announce_born(AT, "i-1", 200, 1, false, 2000),
			 DL_DIRECTORY_NEW);
	ck_assert_uint_gt(known()->incarnation, first);
	ck_assert_uint_eq(known()->sequence, 1);
	ck_assert(!known()->leaving);
	/* Late announcements of the earlier instance, in every form. */
	ck_assert_int_eq(announce_born(AT, "i-1", 100, 10, false, 2100),
			 DL_DIRECTORY_STALE);
	ck_assert_int_eq(announce_born(AT, "i-1", 100, 11, true, 2100),
			 DL_DIRECTORY_STALE);
	ck_assert_int_eq(announce_born("", "i-1", 100, 0, true, 2100),
			 DL_DIRECTORY_STALE);
	ck_assert(!known()->leaving);
	ck_assert_uint_eq(known()->sequence, 1);
	ck_assert_int_eq(announce_born("", "i-1", 200, 0, true, 2100),
			 DL_DIRECTORY_LEAVING);
}
END_TEST

/* A restart with the same name at another address: the first one is gone. */
START_TEST(restart_with_same_name_at_new_address)
{
	const char *to = "10.0.0.8:8080";

	announce_born(AT, "i-1", 100, 9, false, 1000);
	ck_assert_int_eq(announce_born(to, "i-1", 200, 1, false, 2000),
			 DL_DIRECTORY_NEW);
	ck_assert_ptr_eq(superseded, known());
	ck_assert(known()->leaving);
	/* A late announcement of the earlier instance does not restore it. */
	ck_assert_int_ne(announce_born(AT, "i-1", 100, 10, false, 2100),
			 DL_DIRECTORY_NEW);
	ck_assert(known()->leaving);
	ck_assert(!dl_directory_find(dir, dl_str_of(to))->leaving);
	/* The first address can be used again. */
	ck_assert_int_eq(announce_born(AT, "i-2", 300, 1, false, 3000),
			 DL_DIRECTORY_NEW);
	ck_assert_int_eq(announce_born("", "i-1", 200, 0, true, 3000),
			 DL_DIRECTORY_LEAVING);
	ck_assert(dl_directory_find(dir, dl_str_of(to))->leaving);
	ck_assert(!known()->leaving);
}
END_TEST

/* The later instance may be announced first. */
START_TEST(older_start_at_other_address_is_stale)
{
	announce_born(AT, "i-1", 200, 1, false, 1000);
	ck_assert_int_eq(announce_born("10.0.0.8:8080", "i-1", 100, 9, false,
				       1000),
			 DL_DIRECTORY_STALE);
	ck_assert_int_eq(announce_born("", "i-1", 0, 0, true, 1000),
			 DL_DIRECTORY_LEAVING);
	ck_assert(known()->leaving);
}
END_TEST

/* An older instance that was never announced while it was running. */
START_TEST(unseen_older_instance_is_stale)
{
	announce_born(AT, "i-2", 200, 1, false, 1000);
	ck_assert_int_eq(announce_born(AT, "i-1", 100, 1, false, 1500),
			 DL_DIRECTORY_STALE);
	ck_assert(dl_name_eq(&known()->instance, DL_STR("i-2")));
}
END_TEST

/* The machine's clock stepped back, and the previous instance is silent. */
START_TEST(clock_step_does_not_block_instance)
{
	announce_born(AT, "i-1", 200, 1, false, 1000);
	ck_assert_int_eq(announce_born(AT, "i-2", 100, 1, false, 5000),
			 DL_DIRECTORY_NEW);
}
END_TEST

/* An announcement without a start time, between others that have one. */
START_TEST(start_time_is_optional)
{
	announce_born(AT, "i-1", 100, 1, false, 1000);
	ck_assert_int_eq(announce_born(AT, "i-1", 0, 2, false, 1000),
			 DL_DIRECTORY_KNOWN);
	ck_assert_uint_eq(known()->born, 100);
	ck_assert_int_eq(announce_born(AT, "i-1", 0, 3, true, 1000),
			 DL_DIRECTORY_LEAVING);
}
END_TEST

START_TEST(unnamed_instance_is_ignored)
{
	ck_assert_int_eq(announce(AT, "", 1, false), DL_DIRECTORY_STALE);
	ck_assert_ptr_null(known());
}
END_TEST

START_TEST(endpoint_beyond_the_limit_is_ignored_without_an_entry)
{
	const struct dl_directory_entry *entry;
	struct dl_directory_update update = { .service = DL_STR("writer") };
	char address[32], name[32];
	enum dl_directory_result result = DL_DIRECTORY_NEW;
	int n = 0;

	while (result == DL_DIRECTORY_NEW && n < 100000) {
		snprintf(address, sizeof(address), "10.%d.%d.%d:80", n >> 16,
			 n >> 8 & 255, n & 255);
		snprintf(name, sizeof(name), "i-%d", n++);
		update.address = dl_str_of(address);
		update.instance = dl_str_of(name);
		result = dl_directory_apply(dir, &update, 1000, &entry,
					    &superseded);
	}
	ck_assert_int_eq(result, DL_DIRECTORY_STALE);
	ck_assert_ptr_null(entry);
	ck_assert_int_gt(n, 8000);
	/* Those that are known are not affected. */
	ck_assert_int_eq(announce("10.0.0.1:80", "i-1", 2, false),
			 DL_DIRECTORY_KNOWN);
}
END_TEST

/* Guards against a late announcement that brings back an instance that left. */
START_TEST(departure_is_known_before_its_instance)
{
	ck_assert_int_eq(announce_born("", "i-1", 100, 0, true, 1000),
			 DL_DIRECTORY_STALE);
	announce_born(AT, "i-1", 100, 7, false, 4000);
	ck_assert(known()->leaving);
	/* An older start of it departed as well, a later one did not. */
	announce_born("10.0.0.8:80", "i-1", 90, 7, false, 4000);
	ck_assert_int_ne(announce_born("10.0.0.8:80", "i-1", 90, 7, false,
				       4000),
			 DL_DIRECTORY_NEW);
	ck_assert_int_eq(announce_born(AT, "i-1", 200, 1, false, 4000),
			 DL_DIRECTORY_NEW);
	ck_assert(!known()->leaving);
}
END_TEST

START_TEST(departed_instance_takes_no_address)
{
	announce("", "i-1", 0, true);
	announce(AT, "i-2", 1, false);
	ck_assert_int_eq(announce(AT, "i-1", 7, false), DL_DIRECTORY_STALE);
	ck_assert(dl_name_eq(&known()->instance, DL_STR("i-2")));
}
END_TEST

/* A deregistration that names no start is one of the start that is known. */
START_TEST(departure_without_start_time_spares_a_restart)
{
	announce_born(AT, "i-1", 100, 1, false, 1000);
	announce_born("", "i-1", 0, 0, true, 1000);
	ck_assert(known()->leaving);
	ck_assert_int_eq(announce_born(AT, "i-1", 200, 1, false, 2000),
			 DL_DIRECTORY_NEW);
	ck_assert(!known()->leaving);
}
END_TEST

/*
 * Guards against a live instance that is shut out for good, since an older one
 * announced itself late while it was silent.
 */
START_TEST(later_start_returns_after_an_older_one)
{
	announce_born(AT, "i-2", 200, 5, false, 1000);
	ck_assert_int_eq(announce_born(AT, "i-1", 100, 9, false, 5000),
			 DL_DIRECTORY_NEW);
	/* Late itself, which shows nothing. */
	ck_assert_int_eq(announce_born(AT, "i-2", 200, 5, false, 5100),
			 DL_DIRECTORY_STALE);
	ck_assert_int_eq(announce_born(AT, "i-2", 200, 6, false, 5200),
			 DL_DIRECTORY_NEW);
	ck_assert_int_eq(announce_born(AT, "i-1", 100, 10, false, 5300),
			 DL_DIRECTORY_STALE);
	ck_assert(dl_name_eq(&known()->instance, DL_STR("i-2")));
}
END_TEST

/* Guards against new endpoints that are ignored for good once it was full. */
START_TEST(silent_endpoints_make_room)
{
	char address[32], name[32];
	int n = 0;

	do {
		snprintf(address, sizeof(address), "10.%d.%d.%d:80", n >> 16,
			 n >> 8 & 255, n & 255);
		snprintf(name, sizeof(name), "i-%d", n++);
	} while (announce_born(address, name, 0, 1, false, 1000) ==
			 DL_DIRECTORY_NEW &&
		 n < 100000);
	ck_assert_int_lt(n, 100000);
	ck_assert_int_eq(announce_born(address, name, 0, 1, false, 62000),
			 DL_DIRECTORY_NEW);
}
END_TEST

START_TEST(silent_endpoints_expire)
{
	announce(AT, "i-1", 1, false);
	dl_directory_expire(dir, 1000);
	ck_assert_uint_eq(dl_directory_count(dir), 1);
	dl_directory_expire(dir, 1001);
	ck_assert_uint_eq(dl_directory_count(dir), 0);
	ck_assert_int_eq(announce("", "i-1", 0, true), DL_DIRECTORY_STALE);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("directory");
	TCase *t = tcase_create("directory");

	suite_add_tcase(s, t);
	tcase_add_checked_fixture(t, begin, end);
	tcase_add_test(t, instance_is_new_once);
	tcase_add_test(t, leaving_is_final);
	tcase_add_test(t, leaving_with_older_sequence);
	tcase_add_test(t, leaving_without_address);
	tcase_add_test(t, superseded_instance_stays_stale);
	tcase_add_test(t, new_instance_is_not_leaving);
	tcase_add_test(t, restart_with_same_name_and_address);
	tcase_add_test(t, restart_with_same_name_at_new_address);
	tcase_add_test(t, older_start_at_other_address_is_stale);
	tcase_add_test(t, unseen_older_instance_is_stale);
	tcase_add_test(t, clock_step_does_not_block_instance);
	tcase_add_test(t, start_time_is_optional);
	tcase_add_test(t, unnamed_instance_is_ignored);
	tcase_add_test(t,
		       endpoint_beyond_the_limit_is_ignored_without_an_entry);
	tcase_add_test(t, departure_is_known_before_its_instance);
	tcase_add_test(t, departed_instance_takes_no_address);
	tcase_add_test(t, departure_without_start_time_spares_a_restart);
	tcase_add_test(t, later_start_returns_after_an_older_one);
	tcase_add_test(t, silent_endpoints_make_room);
	tcase_add_test(t, silent_endpoints_expire);
	return suite_run(s);
}
