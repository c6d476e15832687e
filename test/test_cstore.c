/*
 * The replicated state machine: one of several changes to the same version
 * wins, a change id is answered once, claims neither expire early nor stay
 * forever, and a snapshot is restored exactly or rejected.
 */
#include <check.h>
#include <errno.h>
#include <glib.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "daisyledge/conf.h"
#include "daisyledge/cstore.h"
#include "fake/suite.h"
#include "protocol/cmd.h"

#define WALL_MS	    1700000000000
#define DAY_MS	    ((int64_t)86400000)
#define RACE_RUNS   10
#define RACES_EACH  30
#define SEED	    20261202
#define ANY_VERSION UINT64_MAX
#define SNAP_SEED   0x64616973 /* of a snapshot's checksum */

/* A small text; its numbers make it differ from others. */
#define TEXT                                                                   \
	"{\"format\": 1, \"services\": {%s\"a\": {\"kind\": \"plain\"}},"      \
	"\"weight_store_mb_per_s\": %d, \"replicas\": ["                       \
	"{\"name\": \"r1\", \"address\": \"10.0.0.%d:7\"},"                    \
	"{\"name\": \"r2\", \"address\": \"10.0.0.%d:7\"},"                    \
	"{\"name\": \"r3\", \"address\": \"10.0.0.3:7\"}]}"

static struct dl_cstore *store;
static struct dl_cstore_reply reply;
static uint64_t last_index;
static int64_t wall_ms;

static void setup(void)
{
	store = dl_cstore_new();
	last_index = 0;
	wall_ms = WALL_MS;
}

static void teardown(void)
{
	dl_cstore_free(store);
}

/* Encode, stamp and execute a command at an index. */
static int run_on(struct dl_cstore *to, const struct dl_cstore_cmd *cmd,
		  uint64_t index)
{
	char *bytes;
	size_t n;

	ck_assert_int_eq(dl_cstore_encode(cmd, &bytes, &n), 0);
	ck_assert_int_eq(dl_cstore_stamp(bytes, n, wall_ms), 0);
	ck_assert_int_eq(dl_cstore_exec(to, index, (struct dl_str){ bytes, n },
					&reply),
			 0);
	free(bytes);
	return reply.code;
}

static int run(const struct dl_cstore_cmd *cmd)
{
	return run_on(store, cmd, ++last_index);
}

static int apply(const char *text, const char *id, uint64_t expect)
{
	struct dl_cstore_cmd cmd = {
		.op = DL_CSTORE_APPLY,
		.text = dl_str_of(text),
		.change_id = dl_str_of(id),
		.author = DL_STR("anna"),
		.expect = expect,
	};

	return run(&cmd);
}

static int apply_variant(int variant, const char *id, uint64_t expect)
{
	char text[512];

	g_snprintf(text, sizeof(text), TEXT, "", variant, 1, 2);
	return apply(text, id, expect);
}

static int claim_op(enum dl_cstore_op op, const char *key, uint64_t owner,
		    uint32_t expires_s)
{
	struct dl_cstore_cmd cmd = {
		.op = op,
		.key = dl_str_of(key),
		.owner = owner,
		.body_hash = 7,
		.expires_s = expires_s,
		.status = 200,
		.outcome = DL_STR("booked"),
	};

	return run(&cmd);
}

static int fence(uint64_t term)
{
	struct dl_cstore_cmd cmd = { .op = DL_CSTORE_FENCE, .term = term };

	return run(&cmd);
}

/* Advance the wall clock within the term, with a command every 30 s. */
static void pass_time(int64_t ms)
{
	for (; ms > 0; ms -= 30000) {
		wall_ms += MIN(ms, 30000);
		fence(dl_cstore_fence(store));
	}
}

/*
 * Apply a text with a serial number, as the leader does: with the number if it
 * has checked the text.
 */
static int apply_checked(uint64_t number, bool checked)
{
	char text[512], id[24];
	struct dl_cstore_cmd cmd = { .op = DL_CSTORE_APPLY,
				     .expect = UINT64_MAX,
				     .confirm = true,
				     .checked_number = checked ? number : 0 };

	g_snprintf(text, sizeof(text),
		   "{\"format\": 1, \"number\": %" G_GUINT64_FORMAT
		   ", \"services\": {\"pool\": {\"kind\": \"model\"}}}",
		   number);
	g_snprintf(id, sizeof(id), "%" G_GUINT64_FORMAT, number);
	cmd.text = dl_str_of(text);
	cmd.change_id = dl_str_of(id);
	return run(&cmd);
}

static void apply_numbered_texts(bool checked, char **snapshot, size_t *n)
{
	static const uint64_t numbers[] = { 5, 9, 7, 9, 12, 3 };

	for (size_t i = 0; i < G_N_ELEMENTS(numbers); i++)
		ck_assert_int_eq(apply_checked(numbers[i], checked), 0);
	ck_assert_uint_eq(dl_cstore_number(store), 12);
	ck_assert_uint_eq(dl_cstore_version(store), 3);
	ck_assert_uint_eq(dl_cstore_conf(store)->number, 12);
	ck_assert_uint_eq(dl_cstore_conf(store)->services_count, 1);
	ck_assert_int_eq(dl_cstore_snapshot(store, snapshot, n), 0);
}

/* A replica that executes several texts has to parse only the last. */
START_TEST(checked_texts_are_parsed_on_demand)
{
	ck_assert(!dl_cstore_conf_unparsed(store));
	ck_assert_int_eq(apply_checked(5, true), 0);
	ck_assert_int_eq(apply_checked(6, true), 0);
	ck_assert(dl_cstore_conf_unparsed(store));
	ck_assert_uint_eq(dl_cstore_conf(store)->number, 6);
	ck_assert(!dl_cstore_conf_unparsed(store));
	ck_assert_int_eq(apply_checked(7, false), 0);
	ck_assert(!dl_cstore_conf_unparsed(store));
}
END_TEST

/*
 * Replicas may execute a text parsed or unparsed: a text that the leader
 * checked gives the same state as a parsed one.
 */
START_TEST(checked_and_parsed_texts_give_the_same_state)
{
	char *parsed, *unparsed;
	size_t parsed_n, unparsed_n;

	apply_numbered_texts(false, &parsed, &parsed_n);
	dl_cstore_free(store);
	store = dl_cstore_new();
	last_index = 0;
	apply_numbered_texts(true, &unparsed, &unparsed_n);
	ck_assert_uint_eq(parsed_n, unparsed_n);
	ck_assert_mem_eq(parsed, unparsed, parsed_n);
	/* An unchecked text is still compared with the number in force. */
	ck_assert_int_eq(apply_checked(11, false), 0);
	ck_assert_uint_eq(dl_cstore_number(store), 12);
	free(parsed);
	free(unparsed);
}
END_TEST

START_TEST(one_of_two_changes_to_a_version_wins)
{
	ck_assert_int_eq(apply_variant(1, "one", 0), 0);
	ck_assert_uint_eq(reply.version, 1);
	ck_assert_int_eq(apply_variant(2, "two", 1), 0);
	ck_assert_int_eq(apply_variant(3, "three", 1), DL_ECONFLICT);
	ck_assert_uint_eq(reply.version, 2);
	ck_assert_ptr_nonnull(strstr(reply.text, "by anna"));
	ck_assert_ptr_nonnull(
		strstr(reply.text, "weight_store_mb_per_s: 1 -> 2"));
	ck_assert_uint_eq(dl_cstore_version(store), 2);
	ck_assert_int_eq(apply_variant(3, "four", ANY_VERSION), 0);
}
END_TEST

START_TEST(resent_change_gets_the_first_answer)
{
	ck_assert_int_eq(apply_variant(1, "one", 0), 0);
	ck_assert_int_eq(apply_variant(2, "lost", 0), DL_ECONFLICT);
	ck_assert_int_eq(apply_variant(2, "two", ANY_VERSION), 0);
	ck_assert_int_eq(apply_variant(1, "one", 0), 0);
	ck_assert(reply.repeated);
	ck_assert_uint_eq(reply.version, 1);
	ck_assert_int_eq(apply_variant(2, "lost", 0), DL_ECONFLICT);
	ck_assert_uint_eq(reply.version, 1);
	ck_assert_int_eq(apply_variant(9, "one", 0), DL_EREUSED);
	ck_assert_int_eq(apply_variant(9, "lost", ANY_VERSION), DL_EREUSED);
	ck_assert_uint_eq(dl_cstore_version(store), 2);
}
END_TEST

/*
 * A text with faults, without a needed confirmation or without a majority of
 * the replicas is refused. Its change id can be used again.
 */
START_TEST(refused_change_may_be_corrected_under_its_id)
{
	char with[512], moved[512];
	struct dl_cstore_cmd cmd = { .op = DL_CSTORE_APPLY,
				     .expect = ANY_VERSION };

	g_snprintf(with, sizeof(with), TEXT, "\"b\": {\"kind\": \"plain\"},", 1,
		   1, 2);
	g_snprintf(moved, sizeof(moved), TEXT, "", 1, 8, 9);
	ck_assert_int_eq(apply("{}", "one", 0), -EINVAL);
	ck_assert_ptr_nonnull(strstr(reply.text, "3 faults"));
	ck_assert_int_eq(apply(with, "", 0), -EINVAL);
	ck_assert_int_eq(apply(with, "one", 0), 0);
	ck_assert_int_eq(apply(moved, "moved", 1), -EINVAL);
	ck_assert_ptr_nonnull(strstr(reply.text, "majority"));
	ck_assert_int_eq(apply_variant(1, "two", 1), DL_ECONFIRM);
	ck_assert_ptr_nonnull(strstr(reply.text, "services.b"));
	ck_assert_uint_eq(dl_cstore_version(store), 1);
	g_snprintf(with, sizeof(with), TEXT, "", 1, 1, 2);
	cmd.text = dl_str_of(with);
	cmd.change_id = DL_STR("two");
	cmd.confirm = true;
	ck_assert_int_eq(run(&cmd), 0);
	ck_assert(!reply.repeated);
	ck_assert_uint_eq(dl_cstore_version(store), 2);
	ck_assert_uint_eq(dl_cstore_conf(store)->services_count, 1);
}
END_TEST

/* With 10,001 ids the oldest is dropped and the next is kept. */
START_TEST(change_ids_are_bounded)
{
	struct dl_cstore_counts n;
	char id[16];

	ck_assert_int_eq(apply_variant(1, "first", 0), 0);
	for (int i = 0; i < DL_CSTORE_CHANGES_MAX - 1; i++) {
		g_snprintf(id, sizeof(id), "c%d", i);
		ck_assert_int_eq(apply_variant(2, id, 0), DL_ECONFLICT);
	}
	ck_assert_int_eq(apply_variant(1, "first", 0), 0);
	ck_assert(reply.repeated);
	ck_assert_int_eq(apply_variant(2, "last", 0), DL_ECONFLICT);
	dl_cstore_count(store, &n);
	ck_assert_uint_eq(n.changes, DL_CSTORE_CHANGES_MAX);
	ck_assert_int_eq(apply_variant(2, "c0", 0), DL_ECONFLICT);
	ck_assert(reply.repeated);
	ck_assert_int_eq(apply_variant(1, "first", 0), DL_ECONFLICT);
	ck_assert(!reply.repeated);
}
END_TEST

START_TEST(history_is_bounded)
{
	struct dl_cstore_change c;
	struct dl_cstore_counts n;
	struct dl_str text;
	GString *big = g_string_new(NULL);
	char id[16];
	uint32_t i;

	for (i = 0; i < 5; i++) {
		g_string_printf(big, TEXT "%*s", "", (int)i + 1, 1, 2, 3 << 20,
				"");
		g_snprintf(id, sizeof(id), "big%u", i);
		ck_assert_int_eq(apply(big->str, id, i), 0);
	}
	dl_cstore_count(store, &n);
	ck_assert_uint_le(n.history_bytes, DL_CSTORE_HISTORY_BYTES);
	ck_assert(dl_cstore_text(store, 5, &text));
	ck_assert(dl_cstore_text(store, 3, &text));
	ck_assert(!dl_cstore_text(store, 2, &text));
	ck_assert(!dl_cstore_text(store, 6, &text));
	for (; i < DL_CSTORE_HISTORY_MAX + 3; i++) {
		g_snprintf(id, sizeof(id), "s%u", i);
		ck_assert_int_eq(apply_variant((int)i, id, ANY_VERSION), 0);
	}
	for (i = 0; dl_cstore_history(store, i, &c); i++)
		ck_assert_uint_eq(c.version, DL_CSTORE_HISTORY_MAX + 3 - i);
	ck_assert_uint_eq(i, DL_CSTORE_HISTORY_MAX);
	ck_assert(dl_cstore_text(store, 0, &text));
	ck_assert(!dl_cstore_text(store, 3, &text));
	g_string_free(big, TRUE);
}
END_TEST

START_TEST(claims_expire)
{
	ck_assert_int_eq(claim_op(DL_CSTORE_CLAIM, "k", 1, 60), 0);
	ck_assert_int_eq(reply.claim, DL_CLAIM_NEW);
	ck_assert_int_eq(claim_op(DL_CSTORE_CLAIM, "k", 1, 60), 0);
	ck_assert_int_eq(reply.claim, DL_CLAIM_NEW);
	ck_assert_int_eq(claim_op(DL_CSTORE_CLAIM, "k", 2, 60), 0);
	ck_assert_int_eq(reply.claim, DL_CLAIM_RUNNING);
	ck_assert_uint_eq(reply.owner, 1);
	ck_assert_int_eq(claim_op(DL_CSTORE_UNCLAIM, "k", 2, 0), -EPERM);
	ck_assert_int_eq(claim_op(DL_CSTORE_OUTCOME, "k", 2, 0), -EPERM);
	ck_assert_int_eq(claim_op(DL_CSTORE_UNCLAIM, "k", 1, 0), 0);
	ck_assert_int_eq(claim_op(DL_CSTORE_UNCLAIM, "k", 1, 0), -ENOENT);
	ck_assert_int_eq(claim_op(DL_CSTORE_CLAIM, "k", 2, 60), 0);
	ck_assert_int_eq(reply.claim, DL_CLAIM_NEW);
	ck_assert_int_eq(claim_op(DL_CSTORE_OUTCOME, "k", 2, 0), 0);
	ck_assert_int_eq(claim_op(DL_CSTORE_UNCLAIM, "k", 2, 0), -EALREADY);
	ck_assert_int_eq(claim_op(DL_CSTORE_CLAIM, "k", 3, 60), 0);
	ck_assert_int_eq(reply.claim, DL_CLAIM_DONE);
	ck_assert_uint_eq(reply.status, 200);
	ck_assert(dl_str_eq(reply.outcome, DL_STR("booked")));
	pass_time(59000);
	ck_assert_int_eq(claim_op(DL_CSTORE_CLAIM, "k", 4, 60), 0);
	ck_assert_int_eq(reply.claim, DL_CLAIM_DONE);
	pass_time(64000);
	ck_assert_int_eq(claim_op(DL_CSTORE_CLAIM, "k", 4, 60), 0);
	ck_assert_int_eq(reply.claim, DL_CLAIM_NEW);
	ck_assert_int_eq(claim_op(DL_CSTORE_CLAIM, "k2", 4, 0), -EINVAL);
	ck_assert_int_eq(claim_op(DL_CSTORE_CLAIM, "", 4, 60), -EINVAL);
}
END_TEST

START_TEST(claim_with_another_body)
{
	struct dl_cstore_cmd cmd = { .op = DL_CSTORE_CLAIM,
				     .key = DL_STR("k"),
				     .owner = 1,
				     .body_hash = 8,
				     .expires_s = 60 };

	ck_assert_int_eq(claim_op(DL_CSTORE_CLAIM, "k", 1, 60), 0);
	ck_assert_int_eq(run(&cmd), DL_EREUSED);
}
END_TEST

/*
 * The clock of a new leader may be days off; no claim expires early from that.
 */
START_TEST(clock_jump_between_terms)
{
	ck_assert_int_eq(fence(1), 0);
	ck_assert_int_eq(claim_op(DL_CSTORE_CLAIM, "k", 1, 60), 0);
	wall_ms += DAY_MS;
	ck_assert_int_eq(fence(2), 0);
	ck_assert_int_eq(claim_op(DL_CSTORE_CLAIM, "k", 2, 60), 0);
	ck_assert_int_eq(reply.claim, DL_CLAIM_RUNNING);
	wall_ms -= 2 * DAY_MS;
	ck_assert_int_eq(fence(3), 0);
	pass_time(65000);
	ck_assert_int_eq(claim_op(DL_CSTORE_CLAIM, "k", 2, 60), 0);
	ck_assert_int_eq(reply.claim, DL_CLAIM_NEW);
}
END_TEST

/*
 * A clock that jumps within a term does not expire claims early either, except
 * for the minute that one command may advance it.
 */
START_TEST(clock_jump_within_a_term)
{
	ck_assert_int_eq(claim_op(DL_CSTORE_CLAIM, "k", 1, 600), 0);
	wall_ms += DAY_MS;
	ck_assert_int_eq(claim_op(DL_CSTORE_CLAIM, "k", 2, 600), 0);
	ck_assert_int_eq(reply.claim, DL_CLAIM_RUNNING);
	pass_time(1024000);
	ck_assert_int_eq(claim_op(DL_CSTORE_CLAIM, "k", 2, 600), 0);
	ck_assert_int_eq(reply.claim, DL_CLAIM_NEW);
}
END_TEST

START_TEST(fence_never_decreases)
{
	ck_assert_int_eq(fence(5), 0);
	ck_assert_int_eq(fence(4), DL_ECONFLICT);
	ck_assert_uint_eq(dl_cstore_fence(store), 5);
	ck_assert_int_eq(fence(5), 0);
	ck_assert(reply.repeated);
}
END_TEST

/* A full store refuses new claims until others expire. */
static int evacuate(const char *domain, bool begin)
{
	struct dl_cstore_cmd cmd = { .op = DL_CSTORE_EVACUATE,
				     .key = dl_str_of(domain),
				     .confirm = begin };

	return run(&cmd);
}

static bool is_evacuated(const struct dl_cstore *of, const char *domain)
{
	return dl_evacuations_contain(dl_cstore_evacuations(of),
				      dl_str_of(domain));
}

START_TEST(evacuations_begin_and_end_once)
{
	ck_assert_int_eq(evacuate("north", true), 0);
	ck_assert(!reply.repeated);
	ck_assert_int_eq(evacuate("north", true), 0);
	ck_assert(reply.repeated);
	ck_assert_uint_eq(dl_cstore_evacuations(store)->revision, 1);
	ck_assert_int_eq(evacuate("south", true), 0);
	ck_assert_int_eq(evacuate("north", false), 0);
	ck_assert(!is_evacuated(store, "north"));
	ck_assert(is_evacuated(store, "south"));
	ck_assert_int_eq(evacuate("north", false), 0);
	ck_assert(reply.repeated);
	ck_assert_uint_eq(dl_cstore_evacuations(store)->revision, 3);
	ck_assert_uint_eq(dl_cstore_version(store), 0);
}
END_TEST

START_TEST(evacuations_are_bounded)
{
	char name[DL_NAME_MAX + 2];

	memset(name, 'x', sizeof(name) - 1);
	name[sizeof(name) - 1] = '\0';
	ck_assert_int_eq(evacuate("", true), -EINVAL);
	ck_assert_int_eq(evacuate(name, true), -EINVAL);
	ck_assert_int_gt(strlen(reply.text), 0);
	for (int i = 0; i < DL_EVACUATIONS_MAX; i++) {
		g_snprintf(name, sizeof(name), "d%d", i);
		ck_assert_int_eq(evacuate(name, true), 0);
	}
	ck_assert_int_eq(evacuate("one-more", true), -ENOSPC);
	ck_assert_int_gt(strlen(reply.text), 0);
	ck_assert_int_eq(evacuate("d0", true), 0);
	ck_assert_int_eq(evacuate("d0", false), 0);
	ck_assert_int_eq(evacuate("one-more", true), 0);
}
END_TEST

START_TEST(snapshot_keeps_evacuations_and_their_revision)
{
	struct dl_cstore *copy = dl_cstore_new();
	char *bytes;
	size_t n;

	evacuate("north", true);
	evacuate("south", true);
	evacuate("north", false);
	ck_assert_int_eq(dl_cstore_snapshot(store, &bytes, &n), 0);
	ck_assert_int_eq(dl_cstore_restore(copy, (struct dl_str){ bytes, n }),
			 0);
	ck_assert(is_evacuated(copy, "south"));
	ck_assert(!is_evacuated(copy, "north"));
	ck_assert_uint_eq(dl_cstore_evacuations(copy)->revision, 3);
	free(bytes);
	dl_cstore_free(copy);
}
END_TEST

/* The first byte of a snapshot tells the number of fields of its header. */
START_TEST(snapshot_without_evacuations_has_the_older_format)
{
	struct dl_cstore *copy = dl_cstore_new();
	char *bytes;
	size_t n;

	apply_variant(1, "c1", 0);
	ck_assert_int_eq(dl_cstore_snapshot(store, &bytes, &n), 0);
	ck_assert_int_eq((unsigned char)bytes[0], 0x90 + 10);
	ck_assert_int_eq(dl_cstore_restore(copy, (struct dl_str){ bytes, n }),
			 0);
	ck_assert_uint_eq(dl_cstore_evacuations(copy)->revision, 0);
	free(bytes);
	dl_cstore_free(copy);
}
END_TEST

START_TEST(claims_are_bounded)
{
	static char body[DL_CSTORE_OUTCOME_MAX];
	struct dl_cstore_counts n;
	struct dl_cstore_cmd big = { .op = DL_CSTORE_OUTCOME,
				     .owner = 1,
				     .status = 200,
				     .outcome = { body, sizeof(body) } };
	char key[16];
	int i, rc = 0;

	for (i = 0; i < DL_CSTORE_CLAIMS_MAX; i++) {
		g_snprintf(key, sizeof(key), "k%d", i);
		ck_assert_int_eq(claim_op(DL_CSTORE_CLAIM, key, 1, 60), 0);
	}
	ck_assert_int_eq(claim_op(DL_CSTORE_CLAIM, "more", 1, 60), -ENOSPC);
	for (i = 0; rc == 0; i++) {
		g_snprintf(key, sizeof(key), "k%d", i);
		big.key = dl_str_of(key);
		rc = run(&big);
	}
	ck_assert_int_eq(rc, -ENOSPC);
	ck_assert_int_eq(reply.claim, DL_CLAIM_DONE);
	ck_assert_uint_eq(reply.outcome.n, 0);
	ck_assert_uint_eq(reply.status, DL_CSTORE_NOT_KEPT);
	dl_cstore_count(store, &n);
	ck_assert_uint_le(n.claim_bytes, DL_CSTORE_CLAIM_BYTES);
	pass_time(65000);
	ck_assert_int_eq(claim_op(DL_CSTORE_CLAIM, "more", 1, 60), 0);
	dl_cstore_count(store, &n);
	ck_assert_uint_eq(n.claims, 1);
	ck_assert_uint_eq(n.claim_bytes, 4);
}
END_TEST

START_TEST(index_is_executed_once)
{
	struct dl_cstore_cmd cmd = { .op = DL_CSTORE_FENCE, .term = 1 };
	char *bytes;
	size_t n;

	ck_assert_int_eq(dl_cstore_encode(&cmd, &bytes, &n), 0);
	for (int i = 0; i < 2; i++)
		ck_assert_int_eq(dl_cstore_exec(store, 5,
						(struct dl_str){ bytes, n },
						&reply),
				 i ? -EALREADY : 0);
	ck_assert_int_eq(dl_cstore_exec(store, 6,
					(struct dl_str){ bytes, n - 1 },
					&reply),
			 -EBADMSG);
	ck_assert_uint_eq(dl_cstore_index(store), 6);
	ck_assert_int_eq(dl_cstore_stamp(bytes, 8, 1), -EBADMSG);
	free(bytes);
}
END_TEST

/* Make a random command; ids, keys and owners are few so that they collide. */
static void random_command(GRand *rand, struct dl_cstore_cmd *cmd, char *text,
			   char *id, char *key)
{
	memset(cmd, 0, sizeof(*cmd));
	cmd->op = (enum dl_cstore_op)g_rand_int_range(rand, 0,
						      DL_CSTORE_OP_COUNT);
	if (cmd->op == DL_CSTORE_APPLY) {
		g_snprintf(text, 512, TEXT, "", g_rand_int_range(rand, 1, 9), 1,
			   2);
		g_snprintf(id, 16, "c%d", g_rand_int_range(rand, 0, 200));
		cmd->text = dl_str_of(text);
		cmd->change_id = dl_str_of(id);
		cmd->expect = g_rand_boolean(rand) ? ANY_VERSION :
						     dl_cstore_version(store);
	}
	g_snprintf(key, 16, "k%d", g_rand_int_range(rand, 0, 50));
	cmd->key = dl_str_of(key);
	cmd->owner = (uint64_t)g_rand_int_range(rand, 1, 4);
	cmd->expires_s = (uint32_t)g_rand_int_range(rand, 0, 40);
	cmd->status = (uint16_t)g_rand_int_range(rand, 200, 600);
	cmd->outcome = dl_str_of(text);
	cmd->term = (uint64_t)g_rand_int_range(rand, 1, 1000);
}

static void assert_same(struct dl_cstore *a, struct dl_cstore *b)
{
	char *sa, *sb;
	size_t na, nb;

	ck_assert_int_eq(dl_cstore_snapshot(a, &sa, &na), 0);
	ck_assert_int_eq(dl_cstore_snapshot(b, &sb, &nb), 0);
	ck_assert_uint_eq(na, nb);
	ck_assert(memcmp(sa, sb, na) == 0);
	free(sa);
	free(sb);
}

/* Two replicas, one of which restarts from snapshots, stay identical. */
START_TEST(restore_is_exact)
{
	GRand *rand = g_rand_new_with_seed(SEED + (guint32)_i);
	struct dl_cstore *other = dl_cstore_new();
	char text[512] = "", id[16], key[16];

	for (int i = 0; i < 3000; i++) {
		struct dl_cstore_cmd cmd;
		struct dl_cstore_reply first;

		wall_ms += g_rand_int_range(rand, -2000, 5000);
		random_command(rand, &cmd, text, id, key);
		run(&cmd);
		first = reply;
		run_on(other, &cmd, last_index);
		ck_assert_int_eq(first.code, reply.code);
		ck_assert_uint_eq(first.version, reply.version);
		ck_assert_int_eq(first.claim, reply.claim);
		ck_assert_str_eq(first.text, reply.text);
		if (g_rand_int_range(rand, 0, 100) == 0) {
			char *snap;
			size_t n;

			dl_cstore_snapshot(other, &snap, &n);
			dl_cstore_free(other);
			other = dl_cstore_new();
			ck_assert_int_eq(
				dl_cstore_restore(other,
						  (struct dl_str){ snap, n }),
				0);
			free(snap);
		}
	}
	assert_same(store, other);
	dl_cstore_free(other);
	g_rand_free(rand);
}
END_TEST

/* Damaged or truncated snapshots are refused and leave the state unchanged. */
START_TEST(damaged_snapshot_is_refused)
{
	GRand *rand = g_rand_new_with_seed(SEED);
	struct dl_cstore *other = dl_cstore_new();
	char *snap;
	size_t n;

	ck_assert_int_eq(apply_variant(1, "one", 0), 0);
	ck_assert_int_eq(claim_op(DL_CSTORE_CLAIM, "k", 1, 60), 0);
	dl_cstore_snapshot(store, &snap, &n);
	ck_assert_int_eq(dl_cstore_restore(other, (struct dl_str){ snap, n }),
			 0);
	for (int i = 0; i < 2000; i++) {
		size_t at = (size_t)g_rand_int_range(rand, 0, (gint32)n);
		char bit = (char)(1 << g_rand_int_range(rand, 0, 8));

		ck_assert_int_eq(dl_cstore_restore(other,
						   (struct dl_str){ snap, at }),
				 -EINVAL);
		snap[at] = (char)(snap[at] ^ bit);
		ck_assert_int_eq(dl_cstore_restore(other,
						   (struct dl_str){ snap, n }),
				 -EINVAL);
		snap[at] = (char)(snap[at] ^ bit);
	}
	assert_same(store, other);
	free(snap);
	dl_cstore_free(other);
	g_rand_free(rand);
}
END_TEST

/* Update the checksum, so that the damage is not detected by it. */
static void rewrite_checksum(char *snap, size_t n)
{
	uint64_t sum = dl_hash((struct dl_str){ snap, n - 8 }, SNAP_SEED);

	for (size_t i = n - 1; i >= n - 8; i--) {
		snap[i] = (char)(sum & UINT8_MAX);
		sum >>= 8;
	}
}

/* Mutated bytes are rejected, or give a state that further commands work on. */
START_TEST(mutated_snapshots_and_commands)
{
	GRand *rand = g_rand_new_with_seed(SEED + (guint32)_i);
	struct dl_cstore_cmd cmd, big = { .op = DL_CSTORE_CLAIM,
					  .key = DL_STR("key"),
					  .owner = 1,
					  .expires_s = 60 };
	char *snap, *copy, *bytes;
	uint64_t leader;
	size_t n, m;

	ck_assert_int_eq(apply_variant(1, "one", 0), 0);
	ck_assert_int_eq(apply_variant(2, "two", 0), DL_ECONFLICT);
	ck_assert_int_eq(claim_op(DL_CSTORE_CLAIM, "k", 1, 60), 0);
	ck_assert_int_eq(claim_op(DL_CSTORE_OUTCOME, "k", 1, 0), 0);
	dl_cstore_snapshot(store, &snap, &n);
	ck_assert_int_eq(dl_cstore_encode(&big, &bytes, &m), 0);
	for (int i = 0; i < 500; i++) {
		struct dl_cstore *other = dl_cstore_new();
		size_t at = (size_t)g_rand_int_range(rand, 0, (gint32)n - 8);
		char was = bytes[at % m];

		copy = g_memdup2(snap, n);
		copy[at] = (char)g_rand_int_range(rand, 0, 256);
		rewrite_checksum(copy, n);
		if (dl_cstore_restore(other, (struct dl_str){ copy, n }) == 0)
			run_on(other, &big, UINT64_MAX);
		dl_cstore_free(other);
		g_free(copy);
		bytes[at % m] = (char)g_rand_int_range(rand, 0, 256);
		if (dl_cstore_decode((struct dl_str){ bytes, m }, &cmd) == 0)
			dl_cstore_exec(store, ++last_index,
				       (struct dl_str){ bytes, m }, &reply);
		dl_reply_decode((struct dl_str){ bytes, m }, &reply, &leader);
		bytes[at % m] = was;
	}
	free(snap);
	free(bytes);
	g_rand_free(rand);
}
END_TEST

/*
 * An operator: reads a version, edits and sends it, and resends it if in doubt.
 */
struct operator
{
	char id[16];
	int variant;
	uint64_t expect;
	bool pending;
	uint64_t first_version; /* in the first answer to this id */
	int code;
};

/* A race of five operators; half of the answers are lost. */
static void run_race(guint32 seed)
{
	GRand *rand = g_rand_new_with_seed(seed);
	struct operator op[5] = { 0 };
	uint64_t applied = 0, ids = 0;

	for (int step = 0; step < 400; step++) {
		struct operator* o = & op[g_rand_int_range(rand, 0, 5)];
		uint64_t before = dl_cstore_version(store);

		if (!o->pending) {
			g_snprintf(o->id, sizeof(o->id), "id%" PRIu64, ids++);
			o->variant = g_rand_int_range(rand, 1, 100000);
			o->expect = before;
			o->pending = true;
			o->code = 1;
			continue;
		}
		apply_variant(o->variant, o->id, o->expect);
		if (o->code != 1) {
			ck_assert(reply.repeated);
			ck_assert_int_eq(reply.code, o->code);
			ck_assert_uint_eq(reply.version, o->first_version);
			ck_assert_uint_eq(dl_cstore_version(store), before);
		} else {
			ck_assert_int_eq(reply.code, o->expect == before ?
							     0 :
							     DL_ECONFLICT);
			applied += reply.code == 0;
		}
		o->code = reply.code;
		o->first_version = reply.version;
		o->pending = g_rand_boolean(rand); /* the answer is lost */
		ck_assert_uint_eq(dl_cstore_version(store), applied);
	}
	ck_assert_uint_gt(applied, 10);
	g_rand_free(rand);
}

/* Operators change the same version concurrently while answers are lost. */
START_TEST(concurrent_operators_with_lost_answers)
{
	for (guint32 i = 0; i < RACES_EACH; i++) {
		run_race(SEED + (guint32)_i * RACES_EACH + i);
		teardown();
		setup();
	}
}
END_TEST

START_TEST(reply_round_trip)
{
	struct dl_cstore_reply in = { .code = DL_ECONFLICT,
				      .version = 7,
				      .repeated = true,
				      .claim = DL_CLAIM_DONE,
				      .owner = UINT64_MAX,
				      .status = 503,
				      .outcome = DL_STR("body"),
				      .text = "why" };
	struct dl_cstore_reply out;
	uint64_t leader;
	char *bytes;
	size_t n;

	ck_assert_int_eq(dl_reply_encode(&in, 99, &bytes, &n), 0);
	ck_assert_int_eq(
		dl_reply_decode((struct dl_str){ bytes, n }, &out, &leader), 0);
	ck_assert_int_eq(out.code, in.code);
	ck_assert_uint_eq(out.version, 7);
	ck_assert(out.repeated);
	ck_assert_int_eq(out.claim, DL_CLAIM_DONE);
	ck_assert_uint_eq(out.owner, UINT64_MAX);
	ck_assert_uint_eq(out.status, 503);
	ck_assert(dl_str_eq(out.outcome, in.outcome));
	ck_assert_str_eq(out.text, "why");
	ck_assert_uint_eq(leader, 99);
	for (size_t i = 0; i < n; i++)
		ck_assert_int_eq(dl_reply_decode((struct dl_str){ bytes, i },
						 &out, &leader),
				 -EBADMSG);
	free(bytes);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("cstore");
	TCase *t = tcase_create("cstore");

	suite_add_tcase(s, t);
	tcase_set_timeout(t, 0);
	tcase_add_checked_fixture(t, setup, teardown);
	tcase_add_test(t, checked_and_parsed_texts_give_the_same_state);
	tcase_add_test(t, checked_texts_are_parsed_on_demand);
	tcase_add_test(t, one_of_two_changes_to_a_version_wins);
	tcase_add_test(t, resent_change_gets_the_first_answer);
	tcase_add_test(t, refused_change_may_be_corrected_under_its_id);
	tcase_add_test(t, change_ids_are_bounded);
	tcase_add_test(t, history_is_bounded);
	tcase_add_test(t, claims_expire);
	tcase_add_test(t, claim_with_another_body);
	tcase_add_test(t, clock_jump_between_terms);
	tcase_add_test(t, clock_jump_within_a_term);
	tcase_add_test(t, fence_never_decreases);
	tcase_add_test(t, evacuations_begin_and_end_once);
	tcase_add_test(t, evacuations_are_bounded);
	tcase_add_test(t, snapshot_keeps_evacuations_and_their_revision);
	tcase_add_test(t, snapshot_without_evacuations_has_the_older_format);
	tcase_add_test(t, claims_are_bounded);
	tcase_add_test(t, index_is_executed_once);
	tcase_add_loop_test(t, restore_is_exact, 0, 5);
	tcase_add_test(t, damaged_snapshot_is_refused);
	tcase_add_loop_test(t, mutated_snapshots_and_commands, 0, 4);
	tcase_add_loop_test(t, concurrent_operators_with_lost_answers, 0,
			    RACE_RUNS);
	tcase_add_test(t, reply_round_trip);
	return suite_run(s);
}
