/*
 * Disk over a data folder: order and content of operations, reported failures,
 * the lock against a second process, and the journal on top of it.
 */
#include <check.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <glib.h>

#include "daisyledge/rlog.h"
#include "fake/suite.h"
#include "transport/disk_file.h"

static char folder[64];
static struct dl_disk_file *file;
static struct dl_disk disk;
static int completed, last_code;

static void setup(void)
{
	struct dl_err err;

	strcpy(folder, "/tmp/daisyledge-disk.XXXXXX");
	ck_assert_ptr_nonnull(mkdtemp(folder));
	ck_assert_int_eq(
		dl_disk_file_open(uv_default_loop(), folder, &file, &err), 0);
	disk = dl_disk_file_disk(file);
	completed = 0;
}

static void remove_file(void *arg, const char *name)
{
	char path[200];

	snprintf(path, sizeof(path), "%s/%s", folder, name);
	unlink(path);
}

static void teardown(void)
{
	disk.ops->list(disk.disk, remove_file, NULL);
	dl_disk_file_close(file);
	rmdir(folder);
}

static void done(void *arg, int code)
{
	ck_assert_int_eq(completed, GPOINTER_TO_INT(arg));
	completed++;
	last_code = code;
}

#define DONE(n) ((struct dl_disk_done){ done, GINT_TO_POINTER(n) })

static void run_loop(void)
{
	uv_run(uv_default_loop(), UV_RUN_DEFAULT);
	ck_assert(!dl_disk_file_busy(file));
}

START_TEST(operations_keep_their_order)
{
	char *got;
	size_t n;

	disk.ops->write(disk.disk, "a.tmp", 0, DL_STR("hello"), DONE(0));
	disk.ops->write(disk.disk, "a.tmp", 5, DL_STR(" world"), DONE(1));
	disk.ops->sync(disk.disk, "a.tmp", DONE(2));
	disk.ops->rename(disk.disk, "a.tmp", "a", DONE(3));
	disk.ops->sync_dir(disk.disk, DONE(4));
	disk.ops->write(disk.disk, "a", 6, DL_STR("W"), DONE(5));
	run_loop();
	ck_assert_int_eq(completed, 6);
	ck_assert_int_eq(last_code, 0);
	ck_assert_int_eq(disk.ops->read(disk.disk, "a", &got, &n), 0);
	ck_assert(dl_str_eq((struct dl_str){ got, n }, DL_STR("hello World")));
	free(got);
	ck_assert_int_eq(disk.ops->truncate(disk.disk, "a", 5), 0);
	ck_assert_int_eq(disk.ops->read(disk.disk, "a", &got, &n), 0);
	ck_assert_uint_eq(n, 5);
	free(got);
}
END_TEST

START_TEST(failures_are_reported)
{
	char *got;
	size_t n;

	disk.ops->unlink(disk.disk, "missing", DONE(0));
	run_loop();
	ck_assert_int_eq(last_code, -ENOENT);
	ck_assert_int_eq(disk.ops->read(disk.disk, "missing", &got, &n),
			 -ENOENT);
}
END_TEST

START_TEST(second_process_is_locked_out)
{
	struct dl_disk_file *second;
	struct dl_err err;

	ck_assert_int_eq(dl_disk_file_open(uv_default_loop(), folder, &second,
					   &err),
			 -EBUSY);
	ck_assert_int_eq(dl_disk_file_open(uv_default_loop(), "/nowhere",
					   &second, &err),
			 -ENOENT);
}
END_TEST

/* The journal is read back after entries and a snapshot were written. */
START_TEST(journal_over_files)
{
	struct dl_rlog_entry entries[] = {
		{ 1, 1, DL_RLOG_COMMAND, DL_STR("one") },
		{ 2, 1, DL_RLOG_COMMAND, DL_STR("two") },
	};
	struct dl_rlog_snapshot snap = { .index = 1,
					 .term = 1,
					 .data = DL_STR("state") };
	struct dl_rlog_record unit = { .cluster = 5,
				       .term = 1,
				       .vote = 9,
				       .count = 2,
				       .entries = entries };
	struct dl_rlog_image image;
	struct dl_rlog_store *store;
	struct dl_err err;

	ck_assert_int_eq(dl_rlog_store_open(disk, 77, &store, &image, &err), 0);
	dl_rlog_store_start(store, DONE(0));
	run_loop();
	dl_rlog_store_write(store, &unit, DONE(1));
	run_loop();
	unit.snapshot = &snap;
	unit.base_index = 1;
	unit.base_term = 1;
	unit.count = 1;
	unit.entries = &entries[1];
	dl_rlog_store_write(store, &unit, DONE(2));
	run_loop();
	dl_rlog_store_free(store);
	ck_assert_int_eq(dl_rlog_store_open(disk, 78, &store, &image, &err), 0);
	ck_assert_uint_eq(image.id, 77);
	ck_assert_uint_eq(image.vote, 9);
	ck_assert_uint_eq(image.snapshot.index, 1);
	ck_assert_uint_eq(image.count, 1);
	ck_assert(dl_str_eq(image.entries[0].data, DL_STR("two")));
	dl_rlog_image_free(&image);
	dl_rlog_store_free(store);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("disk");
	TCase *t = tcase_create("disk");

	suite_add_tcase(s, t);
	tcase_add_checked_fixture(t, setup, teardown);
	tcase_add_test(t, operations_keep_their_order);
	tcase_add_test(t, failures_are_reported);
	tcase_add_test(t, second_process_is_locked_out);
	tcase_add_test(t, journal_over_files);
	return suite_run(s);
}
