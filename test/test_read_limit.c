/*
 * Requests that have not come whole: large ones are read in the order in which
 * they came, as many at a time as the limit allows, and small ones always.
 */
#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "fake/suite.h"
#include "transport/httpd.h"
#include "transport/sock.h"

#define HTTPD	    suite_address(0x5100 | 1, 8101)
#define READING_MAX (1u << 20)
#define BODY_MAX    (8u << 20)
#define LARGE	    400000 /* two of them fit */
#define PART	    200000
#define SMALL	    20000
#define SETTLE_MS   200
#define CLIENTS	    6

static uv_loop_t loop;
static struct dl_httpd *httpd;
static int fds[CLIENTS];
static char body[1u << 20];
static char arrived[64]; /* the paths' last characters, in order */

static void on_request(void *arg, struct dl_httpd_req *req)
{
	struct dl_str path = dl_httpd_path(req);
	size_t n = strlen(arrived);

	(void)arg;
	arrived[n] = path.s[path.n - 1];
	dl_httpd_reply(req, 200, NULL, 0, DL_STR("ok"));
}

static void on_event(void *arg, struct dl_httpd_req *req)
{
	(void)arg;
	(void)req;
}

static const struct dl_httpd_ops ops = {
	.request = on_request,
	.aborted = on_event,
	.drained = on_event,
};

static void on_timer(uv_timer_t *timer)
{
	uv_stop(timer->loop);
}

static void run_loop(void)
{
	uv_timer_t timer;

	uv_timer_init(&loop, &timer);
	uv_timer_start(&timer, on_timer, SETTLE_MS, 0);
	uv_run(&loop, UV_RUN_DEFAULT);
	uv_close((uv_handle_t *)&timer, NULL);
	uv_run(&loop, UV_RUN_NOWAIT);
}

static void expect_arrived(const char *paths)
{
	run_loop();
	ck_assert_str_eq(arrived, paths);
}

/* Sends bytes, and lets the server read while the socket takes no more. */
static void send_bytes(int i, const char *bytes, size_t n)
{
	while (n) {
		ssize_t some = send(fds[i], bytes, n, MSG_DONTWAIT);

		if (some > 0) {
			bytes += some;
			n -= (size_t)some;
		} else {
			uv_run(&loop, UV_RUN_NOWAIT);
		}
	}
}

static void open_client(int i)
{
	struct sockaddr_in sin = dl_sock_addr(HTTPD);
	int size = BODY_MAX;

	fds[i] = socket(AF_INET, SOCK_STREAM, 0);
	setsockopt(fds[i], SOL_SOCKET, SO_SNDBUF, &size, sizeof(size));
	ck_assert_int_eq(connect(fds[i], (void *)&sin, sizeof(sin)), 0);
}

/* Begins the request "/I"; length 0: in chunks. */
static void begin(int i, size_t length, size_t part)
{
	char head[128];

	if (length)
		snprintf(head, sizeof(head),
			 "POST /%d HTTP/1.1\r\nHost: h\r\n"
			 "CONTENT-Length:  %zu\r\n\r\n",
			 i, length);
	else
		snprintf(head, sizeof(head),
			 "POST /%d HTTP/1.1\r\nHost: h\r\n"
			 "Transfer-Encoding: chunked\r\n\r\n%x\r\n",
			 i, LARGE);
	send_bytes(i, head, strlen(head));
	send_bytes(i, body, part);
	run_loop();
}

static void setup(void)
{
	const struct dl_httpd_conf conf = {
		.address = HTTPD,
		.body_max = BODY_MAX,
		.conns_max = 100,
		.read_ms = 60000,
		.reading_max = READING_MAX,
	};
	struct dl_err err;

	uv_loop_init(&loop);
	ck_assert_int_eq(dl_httpd_open(&loop, &conf, &ops, NULL, &httpd, &err),
			 0);
	memset(body, 'x', sizeof(body));
	memset(arrived, 0, sizeof(arrived));
	for (int i = 0; i < CLIENTS; i++)
		open_client(i);
	run_loop();
}

static void teardown(void)
{
	for (int i = 0; i < CLIENTS; i++)
		close(fds[i]);
	run_loop();
	dl_httpd_close(httpd);
}

START_TEST(large_requests_are_read_in_turn)
{
	for (int i = 0; i < CLIENTS; i++)
		begin(i, LARGE, PART);
	for (int i = CLIENTS - 1; i >= 2; i--)
		send_bytes(i, body, LARGE - PART);
	expect_arrived("");
	send_bytes(1, body, LARGE - PART);
	expect_arrived("12345");
	send_bytes(0, body, LARGE - PART);
	expect_arrived("123450");
}
END_TEST

START_TEST(small_requests_are_always_read)
{
	begin(0, LARGE, PART);
	begin(1, LARGE, PART);
	begin(2, LARGE, PART);
	send_bytes(2, body, LARGE - PART);
	begin(3, SMALL, SMALL);
	expect_arrived("3");
}
END_TEST

START_TEST(connection_that_is_closed_makes_room)
{
	begin(0, LARGE, PART);
	begin(1, LARGE, PART);
	begin(2, LARGE, PART);
	send_bytes(2, body, LARGE - PART);
	expect_arrived("");
	close(fds[0]);
	open_client(0);
	expect_arrived("2");
	close(fds[2]);
	open_client(2);
	begin(3, LARGE, PART);
	send_bytes(3, body, LARGE - PART);
	expect_arrived("23");
}
END_TEST

/* A client that waits and goes is forgotten. */
START_TEST(waiting_connection_is_closed)
{
	begin(0, LARGE, PART);
	begin(1, LARGE, PART);
	begin(2, LARGE, PART);
	begin(3, LARGE, PART);
	send_bytes(3, body, LARGE - PART);
	shutdown(fds[2], SHUT_RDWR);
	expect_arrived("");
	send_bytes(0, body, LARGE - PART);
	expect_arrived("03");
	send_bytes(1, body, LARGE - PART);
	expect_arrived("031");
}
END_TEST

/* Nothing tells how long chunks are in sum, so one such request is alone. */
START_TEST(chunks_count_as_the_longest_body)
{
	begin(0, 0, PART);
	begin(1, LARGE, PART);
	send_bytes(1, body, LARGE - PART);
	expect_arrived("");
	send_bytes(0, body, LARGE - PART);
	send_bytes(0, "\r\n0\r\n\r\n", 7);
	expect_arrived("01");
}
END_TEST

START_TEST(request_beyond_the_limit_is_read_alone)
{
	begin(0, (size_t)3 * READING_MAX, PART);
	begin(1, LARGE, PART);
	send_bytes(1, body, LARGE - PART);
	expect_arrived("");
	for (int i = 0; i < 3; i++)
		send_bytes(0, body, READING_MAX - (i ? 0 : PART));
	expect_arrived("01");
}
END_TEST

START_TEST(next_requests_of_a_connection_count_anew)
{
	for (int round = 0; round < 3; round++) {
		memset(arrived, 0, sizeof(arrived));
		begin(0, round == 1 ? 2 * LARGE : LARGE, PART);
		begin(1, LARGE, PART);
		begin(2, LARGE, PART);
		send_bytes(2, body, LARGE - PART);
		expect_arrived("");
		send_bytes(0, body, (round == 1 ? 2 : 1) * LARGE - PART);
		send_bytes(1, body, LARGE - PART);
		run_loop();
		ck_assert_uint_eq(strlen(arrived), 3);
	}
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("read limit");
	TCase *t = tcase_create("read limit");

	suite_add_tcase(suite, t);
	tcase_add_checked_fixture(t, setup, teardown);
	tcase_set_timeout(t, 60);
	tcase_add_test(t, large_requests_are_read_in_turn);
	tcase_add_test(t, small_requests_are_always_read);
	tcase_add_test(t, connection_that_is_closed_makes_room);
	tcase_add_test(t, waiting_connection_is_closed);
	tcase_add_test(t, chunks_count_as_the_longest_body);
	tcase_add_test(t, request_beyond_the_limit_is_read_alone);
	tcase_add_test(t, next_requests_of_a_connection_count_anew);
	return suite_run(suite);
}
