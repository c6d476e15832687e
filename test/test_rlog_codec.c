/* The codec of log messages: round trips, and rejection of malformed input. */
#include <check.h>
#include <errno.h>
#include <stdlib.h>

#include <glib.h>

#include "fake/suite.h"
#include "protocol/rlog_codec.h"

static const struct dl_rlog_entry entries[] = {
	{ 8, 3, DL_RLOG_NOOP, { "", 0 } },
	{ 9, 3, DL_RLOG_COMMAND, { "a command", 9 } },
};

static const struct dl_rlog_msg messages[] = {
	{ .kind = DL_RLOG_JOIN, .from_id = 5, .index = 77, .commit = 1 },
	{ .kind = DL_RLOG_BOOTSTRAP,
	  .cluster = UINT64_MAX,
	  .snapshot = { .members = { 2,
				     { { 1, 2, true }, { 3, 4, false } } } } },
	{ .kind = DL_RLOG_PREVOTE, .term = 4, .index = 9, .index_term = 3 },
	{ .kind = DL_RLOG_VOTE, .term = 4, .transfer = true },
	{ .kind = DL_RLOG_VOTE_REPLY, .term = 4, .ok = true },
	{ .kind = DL_RLOG_APPEND,
	  .term = 3,
	  .index = 7,
	  .stamp = -5,
	  .count = 2,
	  .entries = entries },
	{ .kind = DL_RLOG_APPEND_REPLY, .index = 9, .fresh = true },
	{ .kind = DL_RLOG_APPEND_REPLY, .index = 9, .disk_fails = true },
	{ .kind = DL_RLOG_SNAPSHOT,
	  .snapshot = { 9, 3, { 1, { { 1, 2, true } } }, { "piece", 5 } },
	  .offset = 10,
	  .total = 15 },
	{ .kind = DL_RLOG_TRANSFER, .term = 4 },
};

static bool same_entry(const struct dl_rlog_entry *a,
		       const struct dl_rlog_entry *b)
{
	return a->index == b->index && a->term == b->term &&
	       a->kind == b->kind && dl_str_eq(a->data, b->data);
}

static bool same_member(const struct dl_rlog_member *a,
			const struct dl_rlog_member *b)
{
	return a->vm == b->vm && a->id == b->id && a->voter == b->voter;
}

START_TEST(round_trip)
{
	const struct dl_rlog_msg *m = &messages[_i];
	struct dl_rlog_decoded d;
	msgpack_sbuffer buf;

	msgpack_sbuffer_init(&buf);
	dl_rlog_encode(m, &buf);
	ck_assert_int_eq(
		dl_rlog_decode((struct dl_str){ buf.data, buf.size }, &d), 0);
	ck_assert_int_eq(d.msg.kind, m->kind);
	ck_assert_uint_eq(d.msg.cluster, m->cluster);
	ck_assert_uint_eq(d.msg.term, m->term);
	ck_assert_uint_eq(d.msg.index, m->index);
	ck_assert_int_eq(d.msg.stamp, m->stamp);
	ck_assert_int_eq(d.msg.ok, m->ok);
	ck_assert_int_eq(d.msg.fresh, m->fresh);
	ck_assert_int_eq(d.msg.disk_fails, m->disk_fails);
	ck_assert_int_eq(d.msg.transfer, m->transfer);
	ck_assert_uint_eq(d.msg.count, m->count);
	for (uint32_t i = 0; i < m->count; i++)
		ck_assert(same_entry(&d.msg.entries[i], &m->entries[i]));
	ck_assert_uint_eq(d.msg.snapshot.members.count,
			  m->snapshot.members.count);
	for (uint32_t i = 0; i < m->snapshot.members.count; i++)
		ck_assert(same_member(&d.msg.snapshot.members.at[i],
				      &m->snapshot.members.at[i]));
	ck_assert(dl_str_eq(d.msg.snapshot.data, m->snapshot.data));
	ck_assert_uint_eq(d.msg.offset, m->offset);
	dl_rlog_decoded_free(&d);
	msgpack_sbuffer_destroy(&buf);
}
END_TEST

/*
 * Every truncated message is rejected. A message with an altered byte may
 * decode or not, but the decoder must not access memory outside of it.
 */
START_TEST(truncated_and_altered)
{
	GRand *rand = g_rand_new_with_seed((guint32)_i);
	struct dl_rlog_decoded d;
	msgpack_sbuffer buf;

	msgpack_sbuffer_init(&buf);
	dl_rlog_encode(&messages[_i], &buf);
	for (size_t n = 0; n < buf.size; n++)
		ck_assert_int_eq(dl_rlog_decode((struct dl_str){ buf.data, n },
						&d),
				 -EINVAL);
	for (int i = 0; i < 20000; i++) {
		size_t at = (size_t)g_rand_int_range(rand, 0, (gint32)buf.size);
		char *copy = g_memdup2(buf.data, buf.size);

		copy[at] = (char)g_rand_int(rand);
		if (dl_rlog_decode((struct dl_str){ copy, buf.size }, &d) == 0)
			dl_rlog_decoded_free(&d);
		g_free(copy);
	}
	msgpack_sbuffer_destroy(&buf);
	g_rand_free(rand);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("rlog_codec");
	TCase *t = tcase_create("codec");

	suite_add_tcase(s, t);
	tcase_add_loop_test(t, round_trip, 0, G_N_ELEMENTS(messages));
	tcase_add_loop_test(t, truncated_and_altered, 0,
			    G_N_ELEMENTS(messages));
	return suite_run(s);
}
