/*
 * Tests of the messages that carry configuration versions. They guard against
 * messages that processes of another release misread, and against malformed
 * ones that are taken as valid.
 */
#include <check.h>
#include <errno.h>
#include <stdlib.h>

#include "fake/suite.h"
#include "protocol/conf_push.h"

START_TEST(push_is_read_as_it_was_packed)
{
	const uint64_t vms[] = { 11, 12, 13 };
	struct dl_conf_push push;
	struct dl_packer pk;

	/* One child gets all that follows it. */
	ck_assert_uint_eq(dl_conf_push_pack(&pk, 7, DL_STR("body"), vms, 1, 0),
			  11);
	ck_assert_int_eq(dl_conf_push_read(dl_packer_bytes(&pk), &push), 0);
	ck_assert_uint_eq(push.version, 7);
	ck_assert(dl_str_eq(push.body, DL_STR("body")));
	ck_assert_uint_eq(push.vms_count, 0);
	free(push.vms);
	dl_packer_close(&pk);
	dl_packer_open(&pk, 3);
	dl_pack_u64(&pk, 7);
	dl_pack_str(&pk, DL_STR("body"));
	msgpack_pack_array(&pk.pk, 3);
	for (int i = 0; i < 3; i++)
		dl_pack_u64(&pk, vms[i]);
	ck_assert_int_eq(dl_conf_push_read(dl_packer_bytes(&pk), &push), 0);
	ck_assert_uint_eq(push.vms_count, 3);
	ck_assert_uint_eq(push.vms[2], 13);
	free(push.vms);
	dl_packer_close(&pk);
}
END_TEST

START_TEST(malformed_pushes_are_rejected)
{
	struct dl_conf_push push;
	struct dl_packer pk;

	dl_packer_open(&pk, _i == 0 ? 1 : 3);
	dl_pack_u64(&pk, 7);
	if (_i > 0)
		dl_pack_str(&pk, DL_STR("body"));
	if (_i == 1)
		dl_pack_u64(&pk, 1);
	if (_i == 2) {
		msgpack_pack_array(&pk.pk, 1);
		dl_pack_str(&pk, DL_STR("no address"));
	}
	ck_assert_int_eq(dl_conf_push_read(dl_packer_bytes(&pk), &push),
			 -EBADMSG);
	ck_assert_ptr_null(push.vms);
	dl_packer_close(&pk);
}
END_TEST

START_TEST(pull_names_version_and_digest)
{
	uint64_t version, digest;
	struct dl_packer pk;

	dl_conf_pull_pack(&pk, 7, 9);
	ck_assert_int_eq(
		dl_conf_pull_read(dl_packer_bytes(&pk), &version, &digest), 0);
	ck_assert_uint_eq(version, 7);
	ck_assert_uint_eq(digest, 9);
	dl_packer_close(&pk);
}
END_TEST

/* A release without deltas sends the version alone, and gets a whole text. */
START_TEST(pull_of_an_older_release_has_no_digest)
{
	uint64_t version, digest = 1;
	struct dl_packer pk;

	dl_packer_open(&pk, 1);
	dl_pack_u64(&pk, 7);
	ck_assert_int_eq(
		dl_conf_pull_read(dl_packer_bytes(&pk), &version, &digest), 0);
	ck_assert_uint_eq(version, 7);
	ck_assert_uint_eq(digest, 0);
	dl_packer_close(&pk);
}
END_TEST

/* It reads only the first item, whatever follows. */
START_TEST(older_release_reads_a_pull)
{
	struct dl_packer pk;
	struct dl_reader r;

	dl_conf_pull_pack(&pk, 7, 9);
	dl_reader_open(&r, dl_packer_bytes(&pk));
	ck_assert_uint_eq(dl_read_u64(&r), 7);
	ck_assert(!r.bad);
	dl_reader_close(&r);
	dl_packer_close(&pk);
}
END_TEST

START_TEST(malformed_pulls_are_rejected)
{
	static const struct dl_str bodies[] = {
		{ "\x90", 1 },		/* an empty array */
		{ "\x07", 1 },		/* no array */
		{ "\x92\x07\xa1x", 4 }, /* a text as digest */
	};
	uint64_t version, digest;

	ck_assert_int_eq(dl_conf_pull_read(bodies[_i], &version, &digest),
			 -EBADMSG);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("conf_push");
	TCase *tc = tcase_create("push");

	tcase_add_test(tc, push_is_read_as_it_was_packed);
	tcase_add_loop_test(tc, malformed_pushes_are_rejected, 0, 3);
	tcase_add_test(tc, pull_names_version_and_digest);
	tcase_add_test(tc, pull_of_an_older_release_has_no_digest);
	tcase_add_test(tc, older_release_reads_a_pull);
	tcase_add_loop_test(tc, malformed_pulls_are_rejected, 0, 3);
	suite_add_tcase(suite, tc);
	return suite_run(suite);
}
