/*
 * Check of the head of a response: what is one head, and what is the beginning
 * of one that another response follows.
 */
#include <check.h>
#include <glib.h>
#include <string.h>
#include <sys/param.h>

#include "fake/suite.h"
#include "transport/response_head.h"

static const char head[] = "HTTP/1.1 200 OK\r\n"
			   "Daisyledge-Attempt-Id: 9c41d07be2a35f68\r\n"
			   "Content-Type: text/plain\r\n"
			   "Via: HTTP/1.1 front\r\n"
			   "X-Empty:\r\n"
			   "Content-Length: 5\r\n"
			   "\r\n";

static const char *const valid[] = {
	"HTTP/1.1 200 OK\r\n\r\n",
	"HTTP/1.0 404 Not Found\r\nA: b\r\n\r\n",
	"HTTP/1.9 200 OK\r\n\r\n",
	"HTTP/1.1 200\r\n\r\n",
	"HTTP/1.1 200 \r\n\r\n",
	"HTTP/1.1 599 Unknown\r\n\r\n",
	"HTTP/1.1 200 OK\nA: b\n\n",
	"HTTP/1.1 200 OK\r\nA: b\r\n folded\r\n\r\n",
	"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n\r\n",
	"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\n\r\n",
};

static const char *const bad[] = {
	"\r\nHTTP/1.1 200 OK\r\n\r\n",
	"hello",
	"HXXP/1.1 200 OK\r\n\r\n",
	"HTTP/1.1 2x0 OK\r\n\r\n",
	"HTTP/1.1 000 OK\r\n\r\n",
	"HTTP/1.1 001 OK\r\n\r\n",
	"HTTP/1.1 099 OK\r\n\r\n",
	"HTTP/1.1 600 OK\r\n\r\n",
	"HTTP/1.1 999 OK\r\n\r\n",
	"HTTP/1.1 20 OK\r\n\r\n",
	"HTTP/1.1 2000 OK\r\n\r\n",
	"HTTP/1.1 -20 OK\r\n\r\n",
	"HTTP/1.1  200 OK\r\n\r\n",
	"HTTP/1.1\r\n\r\n",
	"HTTP/0.9 200 OK\r\n\r\n",
	"HTTP/2.0 200 OK\r\n\r\n",
	"HTTP/9.9 200 OK\r\n\r\n",
	"HTTP/1.1 200 OHTTP/1.1 200 OK\r\n\r\n",
	"HTTP/1.1 200 OK\r\nA: bHHTTP/1.1 503 Full\r\n\r\n",
	"HTTP/1.1 200 OK\r\nA b: c\r\n\r\n",
	"HTTP/1.1 200 OK\r\n A: b\r\n\r\n",
	"HTTP/1.1 200 OK\r\n\tA: b\r\n\r\n",
	"HTTP/1.1 103 A\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\n A: b\r\n\r\n",
	"HTTP/1.1 103 A\nA: b\n\nHTTP/1.1 200 OK\n A: b\n\n",
	"HTTP/1.1 200 OK\r\n\rHTTP/1.1 200 OK\r\n\r\n",
	"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nA: HTTP/1.1 200 OK",
};

/* Checks a text in pieces of n bytes; returns the state after it. */
static enum dl_head_state check_in_pieces(const char *text, size_t n)
{
	struct dl_head_check check = { 0 };
	const char *why = NULL;

	for (size_t i = 0, all = strlen(text); i < all && !why; i += n)
		dl_head_check(&check,
			      (struct dl_str){ text + i, MIN(n, all - i) },
			      &why);
	ck_assert_int_eq(why != NULL, check.state == DL_HEAD_BAD);
	return check.state;
}

START_TEST(valid_heads_are_complete)
{
	for (size_t n = 1; n <= strlen(valid[_i]); n++)
		ck_assert_int_eq(check_in_pieces(valid[_i], n),
				 DL_HEAD_COMPLETE);
}
END_TEST

START_TEST(bad_heads_are_found)
{
	for (size_t n = 1; n <= strlen(bad[_i]); n++)
		ck_assert_int_eq(check_in_pieces(bad[_i], n), DL_HEAD_BAD);
}
END_TEST

/* Guards against two heads that are read as one, wherever the first is cut. */
START_TEST(head_after_cut_head_is_bad)
{
	char text[2 * sizeof(head)];

	for (size_t cut = 1; cut < sizeof(head) - 1; cut++) {
		memcpy(text, head, cut);
		memcpy(text + cut, head, sizeof(head));
		for (size_t n = 1; n <= 8; n++)
			ck_assert_msg(check_in_pieces(text, n) == DL_HEAD_BAD,
				      "cut at %zu", cut);
		ck_assert_int_eq(check_in_pieces(text, sizeof(text)),
				 DL_HEAD_BAD);
	}
}
END_TEST

START_TEST(bytes_after_the_head_are_not_checked)
{
	struct dl_head_check check = { 0 };
	const char *why = NULL;

	ck_assert_uint_eq(dl_head_check(&check,
					DL_STR("HTTP/1.1 200 OK\r\n\r\n\1\2"),
					&why),
			  19);
	ck_assert_uint_eq(dl_head_check(&check, DL_STR("HTTP/1.1"), &why), 0);
	ck_assert_int_eq(check.state, DL_HEAD_COMPLETE);
}
END_TEST

static const struct {
	const char *body;
	enum dl_chunk_state state;
} chunks[] = {
	{ "0\r\n\r\n", DL_CHUNK_COMPLETE },
	{ "5\r\nhello\r\n0\r\n\r\n", DL_CHUNK_COMPLETE },
	{ "5;a=b\r\nhello\r\n000\r\nA: b\r\n\r\n", DL_CHUNK_COMPLETE },
	{ "0a\r\n0123456789\r\n0\r\n", DL_CHUNK_TRAILER_START },
	{ "5\r\nhello\r\n0\r\n\r", DL_CHUNK_LAST_LF },
	{ "5\r\nhel", DL_CHUNK_DATA },
	{ "", DL_CHUNK_SIZE },
	{ "\r\n", DL_CHUNK_BAD },
	{ "x\r\n", DL_CHUNK_BAD },
	{ "5\rhello", DL_CHUNK_BAD },
	{ "5\r\nhelloXY", DL_CHUNK_BAD },
	{ "5\r\nhello\rX", DL_CHUNK_BAD },
	{ "5\r\nhello\r\nHTTP/1.1 200 OK\r\n", DL_CHUNK_BAD },
	{ "0\r\n\rHTTP", DL_CHUNK_BAD },
	{ "4\r\n1234\r\n0\r\n\n\r\n0\r\n\r\n", DL_CHUNK_BAD },
	{ "4\r\n1234\r\n0\r\n5\r\n0\r\n\r\n", DL_CHUNK_BAD },
	{ "10000000000000000\r\n", DL_CHUNK_BAD },
};

/* Guards against a body in chunks that goes on in another response. */
START_TEST(chunk_syntax_is_checked)
{
	struct dl_str text = dl_str_of(chunks[_i].body);

	for (size_t n = 1; n <= text.n + 1; n++) {
		struct dl_chunk_check check = { 0 };
		bool good = true;

		for (size_t i = 0; i < text.n && good; i += n)
			good = dl_chunk_check(
				&check, (struct dl_str){ text.s + i,
							 MIN(n, text.n - i) });
		ck_assert_int_eq(check.state, chunks[_i].state);
		ck_assert_int_eq(good, check.state != DL_CHUNK_BAD);
	}
}
END_TEST

static const struct {
	const char *body;
	bool holds;
} bodies[] = {
	{ "", false },
	{ "id-1", false },
	{ "HTTP/1.1 200 OK\r\n\r\nid-1", false },
	{ "text of HTTP/1.1 200 OK, no id", false },
	{ "{\"headers\":{\"Daisyledge-Attempt-Id\":\"id-1\"}}", false },
	{ "heHTTP/1.1 200 OK\r\nDaisyledge-Attempt-Id: id-1\r\n\r\n", true },
	{ "heHTTP/1.1 503 Full\nA: b\nDaisyledge-Attempt-Id: id-1", true },
	{ "id-1 HTTP/1.1 200 OK\r\nA: id-2\r\nB: id-1\r\n\r\nx", true },
	{ "HTTP/1.1 200 OK\r\nA: id-2\r\n\r\nid-1", false },
};

/* Guards against a body that is filled up from the response after it. */
START_TEST(response_within_a_body_is_found)
{
	ck_assert_int_eq(dl_holds_response(dl_str_of(bodies[_i].body),
					   DL_STR("id-1")),
			 bodies[_i].holds);
	ck_assert(!dl_holds_response(dl_str_of(bodies[_i].body), DL_STR("")));
	ck_assert(
		!dl_holds_response((struct dl_str){ NULL, 0 }, DL_STR("id-1")));
}
END_TEST

/* Guards against a scan that takes time for each pair of two places. */
START_TEST(large_body_is_searched_once)
{
	GString *large = g_string_new("HTTP/1.1 200 OK of a text ");

	while (large->len < 4u << 20)
		g_string_append(large, "{\"id\":\"id-1\",\"HTTP/1.1 200\"}");
	ck_assert(!dl_holds_response((struct dl_str){ large->str, large->len },
				     DL_STR("id-1")));
	ck_assert(!dl_holds_response((struct dl_str){ large->str, large->len },
				     DL_STR("1")));
	g_string_free(large, TRUE);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("response_head");
	TCase *tc = tcase_create("response_head");

	tcase_add_loop_test(tc, valid_heads_are_complete, 0,
			    sizeof(valid) / sizeof(valid[0]));
	tcase_add_loop_test(tc, bad_heads_are_found, 0,
			    sizeof(bad) / sizeof(bad[0]));
	tcase_add_test(tc, head_after_cut_head_is_bad);
	tcase_add_test(tc, bytes_after_the_head_are_not_checked);
	tcase_add_loop_test(tc, chunk_syntax_is_checked, 0,
			    sizeof(chunks) / sizeof(chunks[0]));
	tcase_add_loop_test(tc, response_within_a_body_is_found, 0,
			    sizeof(bodies) / sizeof(bodies[0]));
	tcase_add_test(tc, large_body_is_searched_once);
	suite_add_tcase(s, tc);
	return suite_run(s);
}
