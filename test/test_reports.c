/*
 * Tests of the report cache, and of the tree that pushes configuration
 * versions.
 */
#include <check.h>
#include <stdio.h>
#include <stdlib.h>

#include "daisyledge/reports.h"
#include "fake/suite.h"
#include "protocol/conf_push.h"

static struct dl_reports *reports;

static void begin(void)
{
	reports = dl_reports_new();
}

static void end(void)
{
	dl_reports_free(reports);
}

static bool add_report(const char *instance, const char *text, int64_t now,
		       uint64_t *key)
{
	return dl_reports_add(reports, dl_str_of(instance), dl_str_of(text),
			      now, key);
}

START_TEST(equal_reports_share_a_key)
{
	uint64_t first, again, other;

	ck_assert(add_report("a", "ready", 1, &first));
	ck_assert(!add_report("a", "ready", 2, &again));
	ck_assert_uint_eq(first, again);
	ck_assert(dl_str_eq(dl_reports_find(reports, first), DL_STR("ready")));
	/* Only the latest report of an instance is kept. */
	ck_assert(add_report("a", "slower", 3, &other));
	ck_assert_uint_eq(dl_reports_find(reports, first).n, 0);
	ck_assert_uint_eq(dl_reports_count(reports), 1);
}
END_TEST

START_TEST(removed_instance_has_no_report)
{
	uint64_t a, b;

	add_report("a", "a is ready", 1, &a);
	add_report("b", "b is ready", 1, &b);
	dl_reports_remove(reports, DL_STR("a"));
	dl_reports_remove(reports, DL_STR("nobody"));
	ck_assert_uint_eq(dl_reports_find(reports, a).n, 0);
	ck_assert(dl_reports_find(reports, b).n > 0);
}
END_TEST

/*
 * An unchanged report is relayed each time while there are few endpoints, and
 * less often for many, so that a VM receives a bounded rate of keys. The delay
 * never exceeds two seconds, because an endpoint that is not reported for six
 * is taken for gone.
 */
START_TEST(relay_interval_grows_with_endpoints)
{
	uint64_t key[2000], relayed = 0;
	char name[16];

	add_report("one", "one", 0, &key[0]);
	for (int64_t at = 1200; at <= 12000; at += 1200)
		relayed += dl_reports_relay_due(reports, key[0], 1, at);
	ck_assert_uint_eq(relayed, 10);
	relayed = 0;
	for (int i = 0; i < 2000; i++) {
		snprintf(name, sizeof(name), "e%d", i);
		add_report(name, name, 0, &key[i]);
	}
	for (int64_t at = 1200; at <= 12000; at += 1200)
		for (int i = 0; i < 2000; i++)
			relayed += dl_reports_relay_due(reports, key[i], 1, at);
	ck_assert_uint_eq(relayed, 2000ul * 5);
	ck_assert(!dl_reports_relay_due(reports, 12345, 1, 99999));
}
END_TEST

START_TEST(silent_endpoints_expire)
{
	uint64_t a, b;

	add_report("a", "a is ready", 1000, &a);
	add_report("b", "b is ready", 1000, &b);
	dl_reports_refresh(reports, b, 5000);
	ck_assert(!dl_reports_received_since(reports, a, 3000));
	ck_assert(dl_reports_received_since(reports, b, 3000));
	dl_reports_expire(reports, 3000);
	ck_assert_uint_eq(dl_reports_count(reports), 1);
	/* It is new again after it expired. */
	ck_assert(add_report("a", "a is ready", 6000, &a));
}
END_TEST

/* 295 VMs in five networks, and the pushes between them. */
#define VMS	 295
#define NETWORKS 5

static uint32_t network_of(uint64_t vm)
{
	return (uint32_t)(vm >> 16);
}

struct pushed {
	uint32_t times[VMS];
	uint32_t crossings, deepest;
};

static uint32_t index_of(const uint64_t *vms, uint64_t vm)
{
	uint32_t i = 0;

	while (vms[i] != vm)
		i++;
	return i;
}

/* Follows a push from one VM down to the leaves. */
static void follow_push(const uint64_t *all, uint64_t from, const uint64_t *vms,
			uint32_t count, uint32_t depth, struct pushed *out)
{
	if (depth > out->deepest)
		out->deepest = depth;
	for (uint32_t i = 0; i < dl_conf_push_children(count); i++) {
		uint64_t rest[VMS];
		struct dl_packer pk;
		struct dl_reader r;
		uint64_t to = dl_conf_push_pack(&pk, 7, DL_STR("text"), vms,
						count, i);
		uint32_t n;

		dl_reader_open(&r, dl_packer_bytes(&pk));
		ck_assert_uint_eq(dl_read_u64(&r), 7);
		ck_assert(dl_str_eq(dl_read_str(&r), DL_STR("text")));
		n = r.next->via.array.size;
		for (uint32_t k = 0; k < n; k++)
			rest[k] = r.next->via.array.ptr[k].via.u64;
		dl_reader_close(&r);
		dl_packer_close(&pk);
		out->times[index_of(all, to)]++;
		out->crossings += network_of(to) != network_of(from);
		follow_push(all, to, rest, n, depth + 1, out);
	}
}

/*
 * Each VM gets a version once, in at most three steps, and most get it from
 * their own network: 236 of 295 got it from another one when the list was split
 * round-robin.
 */
START_TEST(push_prefers_own_network)
{
	struct pushed out = { 0 };
	uint64_t vms[VMS];

	for (uint32_t i = 0; i < VMS; i++)
		vms[i] = ((uint64_t)(i * NETWORKS / VMS) << 16) + i;
	follow_push(vms, vms[0], vms, VMS, 1, &out);
	for (uint32_t i = 0; i < VMS; i++)
		ck_assert_uint_eq(out.times[i], 1);
	ck_assert_uint_le(out.deepest, 4);
	printf("%u of %d VMs get the version from another network\n",
	       out.crossings, VMS);
	ck_assert_uint_le(out.crossings, VMS / 10);
}
END_TEST

/*
 * Forty endpoints at each of 25 relays are a thousand: their keys may not come
 * as often as if there were one relay.
 */
START_TEST(relay_interval_grows_with_the_relays)
{
	enum {
		EACH = 40,
		BEAT_MS = 1200,
		BEATS = 50,
	};
	uint32_t relayed[2] = { 0 };

	for (int many = 0; many < 2; many++) {
		for (int beat = 1; beat <= BEATS; beat++) {
			for (int i = 0; i < EACH; i++) {
				int64_t at = (int64_t)BEAT_MS *
					     (many * BEATS + beat);
				char name[16];
				uint64_t key;

				snprintf(name, sizeof(name), "i-%d", i);
				dl_reports_add(reports, dl_str_of(name),
					       dl_str_of(name), at, &key);
				relayed[many] += dl_reports_relay_due(
					reports, key, many ? 25 : 1, at);
			}
		}
	}
	ck_assert_uint_ge(relayed[0], (uint64_t)EACH * (BEATS - 1));
	ck_assert_uint_le(relayed[1], (uint64_t)EACH * (BEATS + 1) / 2);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("reports");
	TCase *t = tcase_create("reports");

	suite_add_tcase(s, t);
	tcase_add_checked_fixture(t, begin, end);
	tcase_add_test(t, equal_reports_share_a_key);
	tcase_add_test(t, removed_instance_has_no_report);
	tcase_add_test(t, relay_interval_grows_with_endpoints);
	tcase_add_test(t, relay_interval_grows_with_the_relays);
	tcase_add_test(t, silent_endpoints_expire);
	tcase_add_test(t, push_prefers_own_network);
	return suite_run(s);
}
