/*
 * Departures of endpoint instances: what a list keeps and for how long, and the
 * frames by which lists are compared. Guards against a departure that a process
 * misses for good, and against lists that grow without end.
 */
#include <check.h>
#include <stdio.h>
#include <stdlib.h>

#include "daisyledge/departures.h"
#include "fake/suite.h"
#include "protocol/departure_codec.h"

static struct dl_departures *list, *other;

static void begin(void)
{
	list = dl_departures_new();
	other = dl_departures_new();
}

static void end(void)
{
	dl_departures_free(list);
	dl_departures_free(other);
}

static enum dl_departures_result add(struct dl_departures *to,
				     const char *instance, uint64_t born,
				     int64_t since, int64_t heard_at)
{
	struct dl_departure d = { .born = born,
				  .since = since,
				  .heard_at = heard_at };

	dl_name_set(&d.instance, dl_str_of(instance));
	return dl_departures_add(to, &d);
}

static bool departed(const struct dl_departures *from, const char *instance,
		     uint64_t born)
{
	return dl_departures_find(from, dl_str_of(instance), born) != NULL;
}

START_TEST(departure_covers_its_start_and_earlier_ones)
{
	ck_assert_int_eq(add(list, "i-1", 100, 50, 60), DL_DEPARTURE_NEW);
	ck_assert_int_eq(add(list, "i-1", 90, 50, 60), DL_DEPARTURE_KNOWN);
	ck_assert(departed(list, "i-1", 100));
	ck_assert(departed(list, "i-1", 90));
	ck_assert(departed(list, "i-1", 0));
	ck_assert(!departed(list, "i-1", 101));
	ck_assert(!departed(list, "i-2", 0));
	/* The later start departs as well, and is new to who knew the first. */
	ck_assert_int_eq(add(list, "i-1", 200, 150, 160), DL_DEPARTURE_NEW);
	ck_assert(departed(list, "i-1", 200));
	ck_assert_uint_eq(dl_departures_count(list), 1);
	ck_assert_uint_eq(dl_departures_last(list), 2);
}
END_TEST

START_TEST(known_departure_is_dated_more_closely)
{
	add(list, "i-1", 100, DL_LEAVING_UNDATED, 60);
	add(list, "i-1", 100, 55, 70);
	add(list, "i-1", 100, 40, 65);
	ck_assert_int_eq(dl_departures_find(list, DL_STR("i-1"), 100)->since,
			 55);
	ck_assert_int_eq(dl_departures_find(list, DL_STR("i-1"), 100)->heard_at,
			 70);
	ck_assert_uint_eq(dl_departures_last(list), 1);
}
END_TEST

START_TEST(old_departures_are_removed)
{
	add(list, "i-1", 0, 0, 1000);
	add(list, "i-2", 0, 0, 2000);
	add(list, "i-1", 0, 0, 3000); /* heard of again */
	dl_departures_expire(list, 2000 + DL_DEPARTURE_KEEP_MS);
	ck_assert(departed(list, "i-1", 0));
	ck_assert(!departed(list, "i-2", 0));
	dl_departures_expire(list, 3000 + DL_DEPARTURE_KEEP_MS);
	ck_assert_uint_eq(dl_departures_count(list), 0);
	ck_assert_ptr_null(dl_departures_after(list, 0));
	/* Numbers are not used again. */
	add(list, "i-3", 0, 0, 4000);
	ck_assert_uint_eq(dl_departures_after(list, 0)->number, 3);
}
END_TEST

START_TEST(departures_beyond_the_limit_are_not_added)
{
	char name[32];

	for (int i = 0; i < DL_DEPARTURES_MAX; i++) {
		snprintf(name, sizeof(name), "i-%d", i);
		ck_assert_int_eq(add(list, name, 0, 0, 0), DL_DEPARTURE_NEW);
	}
	ck_assert_int_eq(add(list, "more", 0, 0, 0), DL_DEPARTURE_NO_ROOM);
	ck_assert_int_eq(add(list, "i-0", 0, 0, 0), DL_DEPARTURE_KNOWN);
	dl_departures_expire(list, DL_DEPARTURE_KEEP_MS);
	ck_assert_int_eq(add(list, "more", 0, 0, DL_DEPARTURE_KEEP_MS),
			 DL_DEPARTURE_NEW);
}
END_TEST

/* Hands over what is numbered above have; returns how far the list goes. */
static uint64_t hand_over(uint64_t have, int64_t now, int64_t delay_ms)
{
	struct dl_departures_list frame;
	struct dl_departure d;
	struct dl_packer pk;

	dl_departures_list_pack(&pk, list, have, true, now);
	ck_assert_int_eq(dl_departures_list_open(dl_packer_bytes(&pk), &frame),
			 0);
	while (dl_departures_list_next(&frame, now, delay_ms, &d))
		dl_departures_add(other, &d);
	ck_assert(!frame.reader.bad);
	ck_assert(frame.in_sync);
	dl_departures_list_close(&frame);
	dl_packer_close(&pk);
	return frame.upto;
}

START_TEST(handed_over_departures_keep_their_dates)
{
	const struct dl_departure *d;

	add(list, "i-1", 100, 9000, 9500);
	add(list, "i-2", 0, DL_LEAVING_UNDATED, 9900);
	ck_assert_uint_eq(hand_over(0, 10000, 30), 2);
	d = dl_departures_find(other, DL_STR("i-1"), 100);
	ck_assert_int_eq(d->since, 9000 - 30);
	ck_assert_int_eq(d->heard_at, 9500);
	d = dl_departures_find(other, DL_STR("i-2"), 0);
	ck_assert_int_eq(d->since, DL_LEAVING_UNDATED);
	ck_assert_int_eq(d->heard_at, 9900);
	/* Under way for an unknown time, it is undated. */
	add(list, "i-3", 0, 9000, 9500);
	ck_assert_uint_eq(hand_over(2, 10000, -1), 3);
	ck_assert_int_eq(dl_departures_find(other, DL_STR("i-3"), 0)->since,
			 DL_LEAVING_UNDATED);
}
END_TEST

static struct dl_departures_at at_of(uint64_t first)
{
	struct dl_departures_at at;
	struct dl_packer pk;

	dl_departures_at_pack(&pk, list, first);
	ck_assert_int_eq(dl_departures_at_read(dl_packer_bytes(&pk), &at), 0);
	dl_packer_close(&pk);
	return at;
}

START_TEST(keys_tell_what_another_process_knows)
{
	struct dl_departures_at at;
	char name[32];

	add(list, "i-1", 100, 0, 0);
	add(list, "i-2", 200, 0, 0);
	at = at_of(0);
	ck_assert_uint_eq(at.first, 0);
	ck_assert_uint_eq(at.last, 2);
	ck_assert_uint_eq(at.count, 2);
	add(other, "i-2", 200, 0, 0);
	ck_assert(!dl_departures_has_key(other, at.keys[0]));
	ck_assert(dl_departures_has_key(other, at.keys[1]));
	ck_assert_uint_eq(at_of(1).count, 1);
	ck_assert_uint_eq(at_of(2).count, 0);
	/* More than a frame has room for: the rest has to be requested. */
	for (int i = 0; i < DL_DEPARTURE_KEYS_MAX; i++) {
		snprintf(name, sizeof(name), "n-%d", i);
		add(list, name, 0, 0, 0);
	}
	at = at_of(0);
	ck_assert_uint_eq(at.count, 0);
	ck_assert_uint_eq(at.first, at.last);
	ck_assert_uint_eq(at.last, 2 + DL_DEPARTURE_KEYS_MAX);
}
END_TEST

START_TEST(malformed_frames_are_rejected)
{
	static const char *const texts[] = {
		"",	    "\x90", "\x91\x01", "\x92\xa1x\x01", "\x92\x02\x01",
		"\x92\x01", "\xc0"
	};
	struct dl_departures_list frame;
	struct dl_departures_request request;
	struct dl_departures_at at;
	struct dl_departure d;

	for (size_t i = 0; i < sizeof(texts) / sizeof(texts[0]); i++) {
		struct dl_str text = dl_str_of(texts[i]);

		ck_assert_int_ne(dl_departures_at_read(text, &at), 0);
		ck_assert_int_ne(dl_departures_request_read(text, &request), 0);
		if (dl_departures_list_open(text, &frame) == 0)
			ck_assert(!dl_departures_list_next(&frame, 0, 0, &d));
		dl_departures_list_close(&frame);
	}
}
END_TEST

int main(void)
{
	Suite *s = suite_create("departures");
	TCase *t = tcase_create("departures");

	suite_add_tcase(s, t);
	tcase_add_checked_fixture(t, begin, end);
	tcase_add_test(t, departure_covers_its_start_and_earlier_ones);
	tcase_add_test(t, known_departure_is_dated_more_closely);
	tcase_add_test(t, old_departures_are_removed);
	tcase_add_test(t, departures_beyond_the_limit_are_not_added);
	tcase_add_test(t, handed_over_departures_keep_their_dates);
	tcase_add_test(t, keys_tell_what_another_process_knows);
	tcase_add_test(t, malformed_frames_are_rejected);
	return suite_run(s);
}
