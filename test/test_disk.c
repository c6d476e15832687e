/*
 * Disk over a data folder: order and content of operations, reported failures,
 * the lock against a second process, and the journal on top of it.
 */
#include <check.h>
#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/file.h>
#include <sys/resource.h>
#include <sys/stat.h>
#include <unistd.h>

#include <glib.h>

#include "daisyledge/rlog.h"
#include "fake/suite.h"
#include "transport/disk_file.h"

static char folder[64];
static struct dl_disk_file *file;
static struct dl_disk disk;
static int completed, last_code;

static void open_folder(void)
{
	struct dl_err err;

	ck_assert_int_eq(
		dl_disk_file_open(uv_default_loop(), folder, &file, &err), 0);
	disk = dl_disk_file_disk(file);
}

static void setup(void)
{
	strcpy(folder, "/tmp/daisyledge-disk.XXXXXX");
	ck_assert_ptr_nonnull(mkdtemp(folder));
	open_folder();
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

/* The descriptor of an open file of the folder; -1: it is not open. */
static int fd_of(const char *name)
{
	char path[200], link[64], target[200];

	snprintf(path, sizeof(path), "%s/%s", folder, name);
	for (int fd = 0; fd < 256; fd++) {
		ssize_t n;

		snprintf(link, sizeof(link), "/proc/self/fd/%d", fd);
		n = readlink(link, target, sizeof(target) - 1);
		if (n > 0 && (size_t)n == strlen(path) &&
		    memcmp(target, path, (size_t)n) == 0)
			return fd;
	}
	return -1;
}

/*
 * An error of writeback is reported to descriptors that were open when it
 * occurred, so a file stays open from its write to its sync, whatever is done
 * to other files in between.
 */
START_TEST(written_file_stays_open_until_its_sync)
{
	int fd;

	disk.ops->write(disk.disk, "a", 0, DL_STR("one"), DONE(0));
	disk.ops->write(disk.disk, "b", 0, DL_STR("two"), DONE(1));
	run_loop();
	fd = fd_of("a");
	ck_assert_int_ge(fd, 0);
	disk.ops->write(disk.disk, "c.tmp", 0, DL_STR("three"), DONE(2));
	disk.ops->sync(disk.disk, "c.tmp", DONE(3));
	disk.ops->rename(disk.disk, "c.tmp", "c", DONE(4));
	disk.ops->sync_dir(disk.disk, DONE(5));
	disk.ops->unlink(disk.disk, "b", DONE(6));
	run_loop();
	ck_assert_int_eq(fd_of("a"), fd);
	disk.ops->sync(disk.disk, "a", DONE(7));
	run_loop();
	ck_assert_int_eq(last_code, 0);
	/* Synced files are closed once another one is opened. */
	disk.ops->write(disk.disk, "d", 0, DL_STR("four"), DONE(8));
	run_loop();
	ck_assert_int_eq(fd_of("a"), -1);
	ck_assert_int_eq(fd_of("c"), -1);
	ck_assert_int_ge(fd_of("d"), 0);
}
END_TEST

START_TEST(rename_over_an_open_file)
{
	char *got;
	size_t n;

	disk.ops->write(disk.disk, "a", 0, DL_STR("old old"), DONE(0));
	disk.ops->write(disk.disk, "a.tmp", 0, DL_STR("new"), DONE(1));
	disk.ops->rename(disk.disk, "a.tmp", "a", DONE(2));
	disk.ops->write(disk.disk, "a", 3, DL_STR("er"), DONE(3));
	disk.ops->sync(disk.disk, "a", DONE(4));
	disk.ops->write(disk.disk, "a.tmp", 0, DL_STR("other"), DONE(5));
	disk.ops->rename(disk.disk, "missing", "a", DONE(6));
	run_loop();
	ck_assert_int_eq(last_code, -ENOENT);
	ck_assert_int_eq(disk.ops->read(disk.disk, "a", &got, &n), 0);
	ck_assert(dl_str_eq((struct dl_str){ got, n }, DL_STR("newer")));
	free(got);
	ck_assert_int_eq(disk.ops->read(disk.disk, "a.tmp", &got, &n), 0);
	ck_assert(dl_str_eq((struct dl_str){ got, n }, DL_STR("other")));
	free(got);
}
END_TEST

/* A sync that found nothing to sync would hide that the data is gone. */
START_TEST(sync_of_a_missing_file_fails)
{
	disk.ops->sync(disk.disk, "missing", DONE(0));
	run_loop();
	ck_assert_int_eq(last_code, -ENOENT);
	ck_assert_int_eq(fd_of("missing"), -1);
}
END_TEST

/* Makes a descriptor refer to a file of the folder, or to a device. */
static void replace_fd(int fd, const char *by)
{
	char path[200];
	int other;

	snprintf(path, sizeof(path), "%s/%s", folder, by);
	other = open(by[0] == '/' ? by : path, O_RDWR | O_CLOEXEC);
	ck_assert_int_ge(other, 0);
	ck_assert_int_eq(dup3(other, fd, O_CLOEXEC), fd);
	close(other);
}

/*
 * Linux reports an error of writeback once, and the next sync succeeds though
 * the data is gone.  Until the file is removed, its syncs must go on failing.
 * For an error, a device that cannot be synced takes the place of the file.
 */
START_TEST(failed_sync_is_final)
{
	int fd;

	disk.ops->write(disk.disk, "a", 0, DL_STR("one"), DONE(0));
	run_loop();
	fd = fd_of("a");
	ck_assert_int_ge(fd, 0);
	replace_fd(fd, "/dev/null");
	disk.ops->sync(disk.disk, "a", DONE(1));
	run_loop();
	ck_assert_int_eq(last_code, -EINVAL);
	replace_fd(fd, "a");
	disk.ops->sync(disk.disk, "a", DONE(2));
	run_loop();
	ck_assert_int_eq(last_code, -EINVAL);
	disk.ops->write(disk.disk, "a", 0, DL_STR("two"), DONE(3));
	run_loop();
	ck_assert_int_eq(last_code, 0);
	disk.ops->sync(disk.disk, "a", DONE(4));
	disk.ops->write(disk.disk, "b", 0, DL_STR("three"), DONE(5));
	disk.ops->sync(disk.disk, "a", DONE(6));
	run_loop();
	ck_assert_int_eq(last_code, -EINVAL);
	disk.ops->unlink(disk.disk, "a", DONE(7));
	disk.ops->write(disk.disk, "a", 0, DL_STR("four"), DONE(8));
	disk.ops->sync(disk.disk, "a", DONE(9));
	run_loop();
	ck_assert_int_eq(last_code, 0);
}
END_TEST

/* Limits the size of files: writes beyond it are short, then fail. */
static void limit_file_size(rlim_t bytes)
{
	struct rlimit limit;

	ck_assert_int_eq(getrlimit(RLIMIT_FSIZE, &limit), 0);
	limit.rlim_cur = bytes == RLIM_INFINITY ? limit.rlim_max : bytes;
	signal(SIGXFSZ, SIG_IGN);
	ck_assert_int_eq(setrlimit(RLIMIT_FSIZE, &limit), 0);
}

static void check_file(const char *name, const char *data, size_t n)
{
	char *got;
	size_t got_n;

	ck_assert_int_eq(disk.ops->read(disk.disk, name, &got, &got_n), 0);
	ck_assert_uint_eq(got_n, n);
	ck_assert_int_eq(memcmp(got, data, n), 0);
	free(got);
}

/* As on a disk without room: a part is written, then an error follows. */
START_TEST(write_without_room_fails_and_can_be_repeated)
{
	char data[3000];

	for (size_t i = 0; i < sizeof(data); i++)
		data[i] = (char)(i % 251);
	limit_file_size(1000);
	disk.ops->write(disk.disk, "a", 10,
			(struct dl_str){ data, sizeof(data) }, DONE(0));
	run_loop();
	ck_assert_int_eq(last_code, -EFBIG);
	disk.ops->write(disk.disk, "a", 1000, DL_STR("x"), DONE(1));
	run_loop();
	ck_assert_int_eq(last_code, -EFBIG);
	disk.ops->write(disk.disk, "a", 999, DL_STR("x"), DONE(2));
	run_loop();
	ck_assert_int_eq(last_code, 0);
	limit_file_size(RLIM_INFINITY);
	disk.ops->write(disk.disk, "a", 0,
			(struct dl_str){ data, sizeof(data) }, DONE(3));
	disk.ops->sync(disk.disk, "a", DONE(4));
	run_loop();
	ck_assert_int_eq(last_code, 0);
	check_file("a", data, sizeof(data));
}
END_TEST

START_TEST(write_of_nothing_succeeds)
{
	disk.ops->write(disk.disk, "a", 0, DL_STR(""), DONE(0));
	disk.ops->sync(disk.disk, "a", DONE(1));
	run_loop();
	ck_assert_int_eq(last_code, 0);
	check_file("a", "", 0);
	disk.ops->write(disk.disk, "a", 0, DL_STR("one"), DONE(2));
	disk.ops->write(disk.disk, "a", 7, DL_STR(""), DONE(3));
	run_loop();
	ck_assert_int_eq(last_code, 0);
	check_file("a", "one", 3);
}
END_TEST

/* A file that cannot be read is an error, and not an empty file. */
START_TEST(unreadable_files_are_errors)
{
	char path[200], *got;
	size_t n;
	int fd;

	snprintf(path, sizeof(path), "%s/pipe", folder);
	ck_assert_int_eq(mkfifo(path, 0600), 0);
	fd = open(path, O_RDWR | O_CLOEXEC);
	ck_assert_int_ge(fd, 0);
	ck_assert_int_eq(disk.ops->read(disk.disk, "pipe", &got, &n), -ESPIPE);
	close(fd);
	snprintf(path, sizeof(path), "%s/loop", folder);
	ck_assert_int_eq(symlink("loop", path), 0);
	ck_assert_int_eq(disk.ops->read(disk.disk, "loop", &got, &n), -ELOOP);
	disk.ops->write(disk.disk, "loop", 0, DL_STR("x"), DONE(0));
	run_loop();
	ck_assert_int_eq(last_code, -ELOOP);
}
END_TEST

static int open_second(void)
{
	struct dl_disk_file *second;
	struct dl_err err;
	int code = dl_disk_file_open(uv_default_loop(), folder, &second, &err);

	if (!code)
		dl_disk_file_close(second);
	return code;
}

static void make_lock_path(char path[200])
{
	snprintf(path, 200, "%s/lock", folder);
}

/*
 * On a full disk no file can be created in an empty folder.  Here "lock" cannot
 * be created as it leads into a folder that does not exist.
 */
START_TEST(folder_is_locked_without_a_file)
{
	char path[200];

	make_lock_path(path);
	ck_assert_int_eq(unlink(path), 0);
	ck_assert_int_eq(open_second(), -EBUSY);
	ck_assert_int_eq(symlink("/nowhere/lock", path), 0);
	dl_disk_file_close(file);
	open_folder();
	ck_assert_int_eq(open_second(), -EBUSY);
}
END_TEST

/* Processes of older versions lock only the file. */
START_TEST(lock_of_the_file_is_respected)
{
	char path[200];
	int fd;

	make_lock_path(path);
	dl_disk_file_close(file);
	fd = open(path, O_RDWR | O_CLOEXEC);
	ck_assert_int_ge(fd, 0);
	ck_assert_int_eq(flock(fd, LOCK_EX | LOCK_NB), 0);
	ck_assert_int_eq(open_second(), -EBUSY);
	close(fd);
	ck_assert_int_eq(open_second(), 0);
	ck_assert_int_eq(open_second(), 0);
	open_folder();
	fd = open(path, O_RDWR | O_CLOEXEC);
	ck_assert_int_ge(fd, 0);
	ck_assert_int_eq(flock(fd, LOCK_EX | LOCK_NB), -1);
	close(fd);
}
END_TEST

/* A file that is there but cannot be opened may be locked by another process.
 */
START_TEST(lock_that_cannot_be_opened_is_an_error)
{
	char path[200];

	make_lock_path(path);
	ck_assert_int_eq(unlink(path), 0);
	ck_assert_int_eq(symlink("lock", path), 0);
	dl_disk_file_close(file);
	ck_assert_int_eq(open_second(), -ELOOP);
	ck_assert_int_eq(unlink(path), 0);
	open_folder();
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
	tcase_add_test(t, written_file_stays_open_until_its_sync);
	tcase_add_test(t, rename_over_an_open_file);
	tcase_add_test(t, sync_of_a_missing_file_fails);
	tcase_add_test(t, failed_sync_is_final);
	tcase_add_test(t, write_without_room_fails_and_can_be_repeated);
	tcase_add_test(t, write_of_nothing_succeeds);
	tcase_add_test(t, unreadable_files_are_errors);
	tcase_add_test(t, second_process_is_locked_out);
	tcase_add_test(t, folder_is_locked_without_a_file);
	tcase_add_test(t, lock_of_the_file_is_respected);
	tcase_add_test(t, lock_that_cannot_be_opened_is_an_error);
	tcase_add_test(t, journal_over_files);
	return suite_run(s);
}
