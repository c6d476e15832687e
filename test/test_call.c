/*
 * Tests of attempt outcomes, the retry decision, and the other parts of calls.
 */
#include <check.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "daisyledge/call.h"
#include "fake/suite.h"

#define N 0 /* not run */
#define U 1 /* unknown */
#define C 2 /* complete response: by its status */
#define P 3 /* partial response: failed for an error status, else unknown */

/* clang-format off */
/* none, connect, reset, idle timeout, deadline, caller gone, bad response */
static const int expected[DL_SENT_COUNT][DL_RECV_COUNT][DL_FAILURE_COUNT] = {
	/* nothing sent */
	{ { N, N, N, N, N, N, N, N }, { N, N, N, N, N, N, N, N },
	  { N, N, N, N, N, N, N, N }, { N, N, N, N, N, N, N, N } },
	/* part sent; rows: received nothing, head, complete, not run */
	{ { U, U, U, U, U, U, U, U }, { U, U, P, P, P, P, U, U },
	  { C, U, C, C, C, C, U, U }, { N, U, N, N, N, N, U, U } },
	/* all sent */
	{ { U, U, U, U, U, U, U, U }, { U, U, P, P, P, P, U, U },
	  { C, U, C, C, C, C, U, U }, { N, U, N, N, N, N, U, U } },
};
/* clang-format on */

struct ending_case {
	struct dl_response_seen seen;
	enum dl_ending ending;
	bool whole;
};

/* Framing, ended, stream, any event, unfinished bytes. */
static const struct ending_case endings[] = {
	{ { DL_FRAMING_NONE, true, false, false, 0 }, DL_ENDING_BROKEN, false },
	{ { DL_FRAMING_LENGTH, false, false, false, 0 },
	  DL_ENDING_BROKEN,
	  false },
	{ { DL_FRAMING_CLOSE, false, true, true, 0 }, DL_ENDING_BROKEN, false },
	{ { DL_FRAMING_CHUNKS, false, true, true, 7 },
	  DL_ENDING_BROKEN,
	  false },
	{ { DL_FRAMING_LENGTH, true, false, false, 0 },
	  DL_ENDING_MARKED,
	  true },
	{ { DL_FRAMING_CLOSE, true, false, false, 0 },
	  DL_ENDING_UNMARKED,
	  true },
	{ { DL_FRAMING_CHUNKS, true, true, true, 0 }, DL_ENDING_MARKED, true },
	{ { DL_FRAMING_CHUNKS, true, true, false, 0 }, DL_ENDING_MARKED, true },
	{ { DL_FRAMING_CLOSE, true, true, true, 0 }, DL_ENDING_UNMARKED, true },
	{ { DL_FRAMING_CLOSE, true, true, false, 0 },
	  DL_ENDING_NO_EVENT,
	  false },
	{ { DL_FRAMING_CLOSE, true, true, true, 1 },
	  DL_ENDING_INSIDE_EVENT,
	  false },
	{ { DL_FRAMING_CLOSE, true, true, false, 1 },
	  DL_ENDING_INSIDE_EVENT,
	  false },
	{ { DL_FRAMING_CHUNKS, true, true, true, 1 },
	  DL_ENDING_INSIDE_EVENT,
	  false },
	{ { DL_FRAMING_LENGTH, true, true, true, 1 },
	  DL_ENDING_INSIDE_EVENT,
	  false },
};

struct status_case {
	uint16_t status;
	enum dl_outcome whole;
	enum dl_outcome head;
};

static const struct status_case statuses[] = {
	{ 0, DL_OUTCOME_UNKNOWN, DL_OUTCOME_UNKNOWN },
	{ 199, DL_OUTCOME_UNKNOWN, DL_OUTCOME_UNKNOWN },
	{ 200, DL_OUTCOME_DONE, DL_OUTCOME_UNKNOWN },
	{ 409, DL_OUTCOME_DONE, DL_OUTCOME_UNKNOWN },
	{ 500, DL_OUTCOME_FAILED, DL_OUTCOME_FAILED },
	{ 503, DL_OUTCOME_FAILED, DL_OUTCOME_FAILED },
	{ 600, DL_OUTCOME_UNKNOWN, DL_OUTCOME_UNKNOWN },
};

#define STATUSES (sizeof(statuses) / sizeof(statuses[0]))

static enum dl_outcome expect(const struct dl_attempt *a,
			      const struct status_case *c)
{
	switch (expected[a->sent][a->received][a->failure]) {
	case N:
		return DL_OUTCOME_NOT_RUN;
	case C:
		return c->whole;
	case P:
		return c->head;
	default:
		return DL_OUTCOME_UNKNOWN;
	}
}

/* Checks every cell of the table with every status. */
START_TEST(outcome_table)
{
	const struct status_case *c = &statuses[_i];
	struct dl_attempt a = { .status = c->status };

	for (a.sent = 0; a.sent < DL_SENT_COUNT; a.sent++) {
		for (a.received = 0; a.received < DL_RECV_COUNT; a.received++) {
			for (a.failure = 0; a.failure < DL_FAILURE_COUNT;
			     a.failure++)
				ck_assert_msg(dl_call_outcome(&a) ==
						      expect(&a, c),
					      "sent %d received %d failure %d "
					      "status %d",
					      a.sent, a.received, a.failure,
					      a.status);
		}
	}
}
END_TEST

/* Whatever the failure, a non-idempotent request is retried only if not run. */
START_TEST(non_idempotent_retried_only_if_not_run)
{
	struct dl_call_state s = { .resumable = true,
				   .attempts = 1,
				   .deadline = 10000 };
	struct dl_attempt a = { .status = statuses[_i].status };
	int retried = 0;

	for (a.sent = 0; a.sent < DL_SENT_COUNT; a.sent++) {
		for (a.received = 0; a.received < DL_RECV_COUNT; a.received++) {
			for (a.failure = 0; a.failure < DL_FAILURE_COUNT;
			     a.failure++) {
				if (dl_call_next(&s, &a, 0) == DL_NEXT_ANSWER)
					continue;
				retried++;
				ck_assert_int_eq(dl_call_outcome(&a),
						 DL_OUTCOME_NOT_RUN);
			}
		}
	}
	ck_assert_int_gt(retried, 0);
}
END_TEST

struct next_case {
	const char *what;
	struct dl_call_state state;
	struct dl_attempt attempt;
	enum dl_next next;
};

#define RETRYABLE .idempotent = true, .attempts = 1, .deadline = 1000
#define NO_RESPONSE                                                            \
	{                                                                      \
		DL_SENT_ALL, DL_RECV_NOTHING, DL_FAILURE_RESET, 0              \
	}
#define STREAM(broke)                                                          \
	{                                                                      \
		DL_SENT_ALL, DL_RECV_HEAD, broke, 200                          \
	}

static const struct next_case nexts[] = {
	{ "retry", { RETRYABLE }, NO_RESPONSE, DL_NEXT_RETRY },
	{ "attempts used up",
	  { .idempotent = true, .attempts = 3, .deadline = 1000 },
	  NO_RESPONSE,
	  DL_NEXT_ANSWER },
	{ "no time for another attempt",
	  { RETRYABLE, .expected_ms = 1001 },
	  NO_RESPONSE,
	  DL_NEXT_ANSWER },
	{ "bytes already forwarded",
	  { RETRYABLE, .bytes_to_caller = 1 },
	  NO_RESPONSE,
	  DL_NEXT_ANSWER },
	{ "not run, bytes already forwarded",
	  { RETRYABLE, .bytes_to_caller = 1 },
	  { DL_SENT_NOTHING, DL_RECV_NOTHING, DL_FAILURE_CONNECT, 0 },
	  DL_NEXT_ANSWER },
	{ "resume",
	  { RETRYABLE, .resumable = true, .bytes_to_caller = 9 },
	  STREAM(DL_FAILURE_IDLE_TIMEOUT),
	  DL_NEXT_RESUME },
	{ "cannot resume",
	  { RETRYABLE },
	  STREAM(DL_FAILURE_RESET),
	  DL_NEXT_RETRY },
	{ "caller disconnected",
	  { RETRYABLE, .resumable = true },
	  STREAM(DL_FAILURE_CALLER_GONE),
	  DL_NEXT_ANSWER },
	{ "deadline passed",
	  { RETRYABLE },
	  STREAM(DL_FAILURE_DEADLINE),
	  DL_NEXT_ANSWER },
	{ "503",
	  { RETRYABLE },
	  { DL_SENT_ALL, DL_RECV_COMPLETE, DL_FAILURE_NONE, 503 },
	  DL_NEXT_RETRY },
	{ "500, another endpoint may succeed",
	  { RETRYABLE },
	  { DL_SENT_ALL, DL_RECV_COMPLETE, DL_FAILURE_NONE, 500 },
	  DL_NEXT_RETRY },
	{ "500, attempts used up",
	  { .idempotent = true, .attempts = 3, .deadline = 1000 },
	  { DL_SENT_ALL, DL_RECV_COMPLETE, DL_FAILURE_NONE, 500 },
	  DL_NEXT_ANSWER },
	{ "500, not idempotent",
	  { .attempts = 1, .deadline = 1000 },
	  { DL_SENT_ALL, DL_RECV_COMPLETE, DL_FAILURE_NONE, 500 },
	  DL_NEXT_ANSWER },
	{ "501, the same everywhere",
	  { RETRYABLE },
	  { DL_SENT_ALL, DL_RECV_COMPLETE, DL_FAILURE_NONE, 501 },
	  DL_NEXT_ANSWER },
	{ "505, the same everywhere",
	  { RETRYABLE },
	  { DL_SENT_ALL, DL_RECV_COMPLETE, DL_FAILURE_NONE, 505 },
	  DL_NEXT_ANSWER },
	{ "done",
	  { RETRYABLE },
	  { DL_SENT_ALL, DL_RECV_COMPLETE, DL_FAILURE_NONE, 200 },
	  DL_NEXT_ANSWER },
};

START_TEST(next_of_each_case)
{
	const struct next_case *c = &nexts[_i];

	ck_assert_msg(dl_call_next(&c->state, &c->attempt, 0) == c->next, "%s",
		      c->what);
}
END_TEST

START_TEST(refused_connects_are_retried_up_to_limit)
{
	const struct dl_attempt refused = { DL_SENT_NOTHING, DL_RECV_NOTHING,
					    DL_FAILURE_CONNECT, 0 };
	struct dl_call_state state = { .attempts = 1, .deadline = 1000 };

	ck_assert_int_eq(dl_call_next(&state, &refused, 0), DL_NEXT_RETRY);
	state.attempts = 3;
	ck_assert_int_eq(dl_call_next(&state, &refused, 0), DL_NEXT_ANSWER);
}
END_TEST

START_TEST(response_without_its_end_is_not_whole)
{
	const struct ending_case *c = &endings[_i];

	ck_assert_int_eq(dl_response_ending(&c->seen), c->ending);
	ck_assert(dl_ending_is_whole(c->ending) == c->whole);
}
END_TEST

START_TEST(stream_by_offset)
{
	struct dl_stream s = { .request = 7, .incarnation = 2, .offset = 10 };

	ck_assert_int_eq(dl_stream_accept(&s, 8, 2, 10, 5), -EBADMSG);
	ck_assert_int_eq(dl_stream_accept(&s, 7, 1, 10, 5), -EBADMSG);
	ck_assert_int_eq(dl_stream_accept(&s, 7, 2, 11, 5), -ENODATA);
	ck_assert_int_eq(dl_stream_accept(&s, 7, 2, 8, 5), 2);
	ck_assert_uint_eq(s.offset, 13);
	ck_assert_int_eq(dl_stream_accept(&s, 7, 2, 0, 13), 13);
	ck_assert_int_eq(dl_stream_accept(&s, 7, 2, UINT64_MAX, 2), -EBADMSG);
	ck_assert_uint_eq(s.offset, 13);
}
END_TEST

START_TEST(hop_time_excludes_margin)
{
	ck_assert_uint_eq(dl_hop_remaining_ms(1000, 50, 200), 750);
	ck_assert_uint_eq(dl_hop_remaining_ms(1000, 50, 950), 0);
	ck_assert_uint_eq(dl_hop_remaining_ms(1000, 50, 2000), 0);
	ck_assert_uint_eq(dl_hop_remaining_ms(INT64_MAX, 50, 0), UINT32_MAX);
	ck_assert_int_eq(dl_hop_deadline(750, 9000), 9750);
}
END_TEST

START_TEST(connection_reuse_is_limited)
{
	const struct dl_conn_limits b = { 1000, 100, 3 };
	struct dl_conn_usage c = { .opened = 0, .last_read = 0, .requests = 1 };

	ck_assert(dl_conn_usable(&b, &c, true, 99));
	ck_assert(!dl_conn_usable(&b, &c, true, 100));
	ck_assert(!dl_conn_usable(&b, &c, false, 1));
	c.last_read = 950;
	ck_assert(dl_conn_usable(&b, &c, true, 999));
	ck_assert(!dl_conn_usable(&b, &c, true, 1000));
	c.requests = 3;
	ck_assert(!dl_conn_usable(&b, &c, true, 960));
	c.requests = 0;
	ck_assert(dl_conn_usable(&b, &c, false, 960));
}
END_TEST

START_TEST(idle_timer_ignores_one_process_pause)
{
	struct dl_idle_timer s;

	dl_idle_timer_start(&s, 1000, 100, 0);
	ck_assert_int_eq(dl_idle_timer_expiry(&s), 1000);
	ck_assert(!dl_idle_timer_expired(&s, 999));
	ck_assert(dl_idle_timer_expired(&s, 1000));
	dl_idle_timer_data_received(&s, 1000);
	ck_assert(!dl_idle_timer_expired(&s, 1099));
	ck_assert(dl_idle_timer_expired(&s, 1100));
	/* No check for minutes: this process was paused. */
	ck_assert(!dl_idle_timer_expired(&s, 200000));
	ck_assert(dl_idle_timer_expired(&s, 200100));
	/* A caller that always checks late must still see the timeout. */
	ck_assert(dl_idle_timer_expired(&s, 300000));
}
END_TEST

START_TEST(claim_keys_are_unambiguous)
{
	char a[DL_CLAIM_KEY_MAX], b[DL_CLAIM_KEY_MAX], big[256];
	int n, m;

	n = dl_claim_key(DL_STR("a"), DL_STR("1:b"), DL_STR("c"), a);
	m = dl_claim_key(DL_STR("a1:"), DL_STR("b"), DL_STR("c"), b);
	ck_assert_int_gt(n, 0);
	ck_assert(n != m || memcmp(a, b, (size_t)n) != 0);
	memset(big, 'k', sizeof(big));
	ck_assert_int_gt(dl_claim_key((struct dl_str){ big, DL_NAME_MAX },
				      (struct dl_str){ big, DL_NAME_MAX },
				      (struct dl_str){ big, 255 }, a),
			 0);
	ck_assert_int_eq(dl_claim_key(DL_STR("a"), DL_STR(""),
				      (struct dl_str){ big, 256 }, a),
			 -EINVAL);
	ck_assert_int_eq(dl_claim_key(DL_STR("a"), DL_STR(""), DL_STR(""), a),
			 -EINVAL);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("call");
	TCase *t = tcase_create("call");

	suite_add_tcase(s, t);
	tcase_add_loop_test(t, outcome_table, 0, STATUSES);
	tcase_add_loop_test(t, non_idempotent_retried_only_if_not_run, 0,
			    STATUSES);
	tcase_add_loop_test(t, next_of_each_case, 0,
			    sizeof(nexts) / sizeof(nexts[0]));
	tcase_add_test(t, refused_connects_are_retried_up_to_limit);
	tcase_add_loop_test(t, response_without_its_end_is_not_whole, 0,
			    sizeof(endings) / sizeof(endings[0]));
	tcase_add_test(t, stream_by_offset);
	tcase_add_test(t, hop_time_excludes_margin);
	tcase_add_test(t, connection_reuse_is_limited);
	tcase_add_test(t, idle_timer_ignores_one_process_pause);
	tcase_add_test(t, claim_keys_are_unambiguous);
	return suite_run(s);
}
