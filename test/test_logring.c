/*
 * The log ring: lines in order, a bounded buffer when the log is not read, and
 * a count of dropped lines.
 */
#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "base/logring.h"
#include "fake/suite.h"

static struct dl_logring ring;

static void setup(void)
{
	memset(&ring, 0, sizeof(ring));
}

static size_t drain(char *out, size_t room)
{
	size_t n = 0;
	struct dl_str s;

	while ((s = dl_logring_next(&ring)).n) {
		size_t part = s.n > 7 ? 7 : s.n; /* short writes */

		if (n + part <= room)
			memcpy(out + n, s.s, part);
		n += part;
		dl_logring_written(&ring, part);
	}
	return n;
}

START_TEST(lines_are_read_in_order)
{
	char out[64] = "";

	ck_assert(dl_logring_put(&ring, DL_INFO, DL_STR("one\n"), 0));
	ck_assert(dl_logring_put(&ring, DL_WARN, DL_STR("two\n"), 0));
	ck_assert_uint_eq(drain(out, sizeof(out)), 8);
	ck_assert_str_eq(out, "one\ntwo\n");
}
END_TEST

START_TEST(unread_log_is_bounded_in_bytes)
{
	static char line[1000];
	static char out[DL_LOGRING_BYTES + 1];
	uint64_t kept = 0;

	memset(line, 'x', sizeof(line));
	line[sizeof(line) - 1] = '\n';
	for (int i = 0; i < 1000; i++)
		kept += dl_logring_put(&ring, DL_ERROR,
				       (struct dl_str){ line, sizeof(line) },
				       i);
	ck_assert_uint_lt(kept, 132);
	ck_assert_uint_eq(ring.dropped, 1000 - kept);
	drain(out, sizeof(out));
	ck_assert(dl_logring_put(&ring, DL_INFO, DL_STR("after\n"), 2000));
	memset(out, 0, sizeof(out));
	drain(out, sizeof(out));
	ck_assert_ptr_nonnull(strstr(out, "Lines dropped. count="));
	ck_assert_ptr_nonnull(strstr(out, "after\n"));
	ck_assert_uint_eq(ring.dropped, 0);
}
END_TEST

/* Info lines are limited per second; warnings are not. */
START_TEST(flood_is_bounded_per_second)
{
	static char line[1000];
	static char out[DL_LOGRING_BYTES];
	struct dl_str s = { line, sizeof(line) };
	uint64_t kept = 0;

	memset(line, 'x', sizeof(line));
	for (int i = 0; i < 1000; i++) {
		kept += dl_logring_put(&ring, DL_INFO, s, 5000);
		drain(out, sizeof(out));
	}
	ck_assert_uint_eq(kept, DL_LOGRING_RATE / sizeof(line));
	ck_assert(dl_logring_put(&ring, DL_WARN, s, 5500));
	drain(out, sizeof(out));
	ck_assert(!dl_logring_put(&ring, DL_INFO, s, 5999));
	ck_assert(dl_logring_put(&ring, DL_INFO, s, 6000));
}
END_TEST

int main(void)
{
	Suite *s = suite_create("logring");
	TCase *t = tcase_create("logring");

	suite_add_tcase(s, t);
	tcase_add_checked_fixture(t, setup, NULL);
	tcase_add_test(t, lines_are_read_in_order);
	tcase_add_test(t, unread_log_is_bounded_in_bytes);
	tcase_add_test(t, flood_is_bounded_per_second);
	return suite_run(s);
}
