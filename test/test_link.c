/* The simulated network that other tests rely on. */
#include <check.h>
#include <stdlib.h>

#include "fake/link.h"
#include "fake/suite.h"

#define A 1
#define B 2

static uint32_t receive_all(struct fake_link *link, int64_t now)
{
	struct fake_datagram d;
	uint32_t n = 0;

	while (fake_link_next(link, now, &d))
		n++;
	return n;
}

START_TEST(delivery_times_and_counts)
{
	struct fake_link *link = fake_link_new(&(struct fake_link_conf){
		.seed = 1, .delay_min_ms = 2, .delay_max_ms = 2 });
	struct fake_datagram d;

	fake_link_send(link, A, B, DL_STR("one"), 10);
	fake_link_send(link, A, B, DL_STR("two"), 10);
	ck_assert_int_eq(fake_link_wakeup(link), 12);
	ck_assert(!fake_link_next(link, 11, &d));
	ck_assert(fake_link_next(link, 12, &d));
	ck_assert(dl_str_eq(d.data, DL_STR("one")));
	ck_assert_uint_eq(d.from, A);
	ck_assert(fake_link_next(link, 12, &d));
	ck_assert(dl_str_eq(d.data, DL_STR("two")));
	ck_assert_uint_eq(fake_link_sent(link, A).bytes, 6);
	ck_assert_uint_eq(fake_link_sent(link, B).msgs, 0);
	fake_link_free(link);
}
END_TEST

START_TEST(one_way_cuts_and_pauses)
{
	struct fake_link *link =
		fake_link_new(&(struct fake_link_conf){ .seed = 1 });

	fake_link_cut(link, A, B);
	fake_link_send(link, A, B, DL_STR("lost"), 0);
	fake_link_send(link, B, A, DL_STR("passes"), 0);
	ck_assert_uint_eq(receive_all(link, 0), 1);
	fake_link_heal(link);
	fake_link_pause(link, B, 50);
	fake_link_send(link, A, B, DL_STR("held"), 0);
	ck_assert_uint_eq(receive_all(link, 49), 0);
	ck_assert_uint_eq(receive_all(link, 50), 1);
	fake_link_send(link, A, B, DL_STR("under way"), 60);
	fake_link_isolate(link, B);
	ck_assert_uint_eq(receive_all(link, 100), 0);
	fake_link_free(link);
}
END_TEST

START_TEST(loss_and_duplication_follow_the_seed)
{
	struct fake_link_conf conf = { .seed = 7,
				       .loss_permille = 100,
				       .dup_permille = 100,
				       .delay_max_ms = 9 };
	uint32_t got[2];

	for (int round = 0; round < 2; round++) {
		struct fake_link *link = fake_link_new(&conf);

		for (int i = 0; i < 10000; i++)
			fake_link_send(link, A, B, DL_STR("x"), 0);
		got[round] = receive_all(link, 9);
		fake_link_free(link);
	}
	ck_assert_uint_eq(got[0], got[1]);
	ck_assert_uint_gt(got[0], 9700);
	ck_assert_uint_lt(got[0], 10100);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("link");
	TCase *t = tcase_create("link");

	suite_add_tcase(s, t);
	tcase_add_test(t, delivery_times_and_counts);
	tcase_add_test(t, one_way_cuts_and_pauses);
	tcase_add_test(t, loss_and_duplication_follow_the_seed);
	return suite_run(s);
}
