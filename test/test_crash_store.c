/*
 * Saved crash reports on a disk that returns errors, loses unsynced writes or
 * flips bits.
 */
#include <check.h>
#include <errno.h>
#include <stdlib.h>

#include "daisyledge/crash_store.h"
#include "fake/disk.h"
#include "fake/suite.h"

#define WALL_MS	   1000000
#define SAVE_STEPS 4 /* disk operations in a save */

static struct fake_disk *disk;
static struct dl_crash_store *store;
static int save_code; /* result of the last save; 1 while it runs */

static void on_saved(void *arg, int code)
{
	save_code = code;
}

static void open_store(void)
{
	store = dl_crash_store_new((struct dl_disk){ &fake_disk_ops, disk },
				   (struct dl_disk_done){ on_saved, NULL });
}

static void setup(void)
{
	disk = fake_disk_new(5);
	fake_disk_run(disk, 0);
	open_store();
}

static void teardown(void)
{
	dl_crash_store_free(store);
	fake_disk_free(disk);
}

/* Save a number of crashes of one request. */
static void save(uint64_t request, uint32_t count)
{
	struct dl_crash crashes[100] = { { 0 } };

	for (uint32_t i = 0; i < count; i++)
		crashes[i] = (struct dl_crash){ .request = request,
						.start = i + 1,
						.cleared = 2,
						.age_ms = 500 };
	save_code = 1;
	dl_crash_store_save(store, crashes, count, WALL_MS);
	for (int64_t now = 1; now < 1000 && dl_crash_store_busy(store); now++)
		fake_disk_run(disk, now);
}

/*
 * Read the file as a new process does, and return the request; 0 if there is
 * none, -1 for a damaged file.
 */
static int64_t read_request(uint32_t *count)
{
	static struct dl_crash out[DL_CRASH_STORE_MAX];
	int code = dl_crash_store_read(store, WALL_MS + 250, out, count);

	if (code)
		return -1;
	if (*count == 0)
		return 0;
	for (uint32_t i = 0; i < *count; i++) {
		ck_assert_uint_eq(out[i].start, i + 1);
		ck_assert_uint_eq(out[i].cleared, 2);
		ck_assert_uint_eq(out[i].age_ms, 750);
	}
	return (int64_t)out[0].request;
}

START_TEST(read_returns_the_saved_crashes_and_their_age)
{
	uint32_t count;

	ck_assert_int_eq(read_request(&count), 0);
	save(7, 6);
	ck_assert_int_eq(save_code, 0);
	fake_disk_crash(disk);
	ck_assert_int_eq(read_request(&count), 7);
	ck_assert_uint_eq(count, 6);
	/* The new file is shorter than the old one. */
	save(8, 3);
	fake_disk_crash(disk);
	ck_assert_int_eq(read_request(&count), 8);
	ck_assert_uint_eq(count, 3);
	save(9, 0);
	fake_disk_crash(disk);
	ck_assert_int_eq(read_request(&count), 0);
}
END_TEST

START_TEST(disk_crash_keeps_the_old_or_the_new_file)
{
	uint32_t count;
	int64_t request;

	save(7, 6);
	fake_disk_crash_after(disk, (uint32_t)_i);
	save(8, 50);
	fake_disk_crash(disk);
	dl_crash_store_free(store);
	open_store();
	request = read_request(&count);
	ck_assert(request == 7 || request == 8);
	ck_assert_uint_eq(count, request == 7 ? 6 : 50);
	if (save_code == 0)
		ck_assert_int_eq(request, 8);
	save(9, 3);
	fake_disk_crash(disk);
	ck_assert_int_eq(read_request(&count), 9);
}
END_TEST

START_TEST(disk_error_keeps_a_valid_file)
{
	uint32_t count;
	int64_t request;

	save(7, 6);
	fake_disk_fail_after(disk, (uint32_t)_i, -ENOSPC);
	save(8, 50);
	ck_assert_int_eq(save_code, -ENOSPC);
	ck_assert(!dl_crash_store_busy(store));
	request = read_request(&count);
	ck_assert(request == 7 || request == 8);
	save(9, 3);
	ck_assert_int_eq(save_code, 0);
	ck_assert_int_eq(read_request(&count), 9);
}
END_TEST

START_TEST(damaged_file_is_rejected)
{
	uint32_t count;

	save(7, 6);
	ck_assert(fake_disk_flip_bit(disk, (uint64_t)_i * 16 + 3));
	ck_assert_int_eq(read_request(&count), -1);
	ck_assert_uint_eq(count, 0);
	save(9, 3);
	ck_assert_int_eq(read_request(&count), 9);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("crash_store");
	TCase *tc = tcase_create("crash_store");

	tcase_add_checked_fixture(tc, setup, teardown);
	tcase_add_test(tc, read_returns_the_saved_crashes_and_their_age);
	tcase_add_loop_test(tc, disk_crash_keeps_the_old_or_the_new_file, 0,
			    SAVE_STEPS + 1);
	tcase_add_loop_test(tc, disk_error_keeps_a_valid_file, 0, SAVE_STEPS);
	tcase_add_loop_test(tc, damaged_file_is_rejected, 0, 10);
	suite_add_tcase(suite, tc);
	return suite_run(suite);
}
