/*
 * Connections between processes, all on one loop: frames of any size arrive
 * intact, a restarted process replaces its previous incarnation, a silent
 * connection is closed and reported, and invalid bytes close only the
 * connection that they arrived on.
 */
#include <arpa/inet.h>
#include <check.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/metric.h"
#include "fake/suite.h"
#include "transport/peers.h"

#define VM(last, port) suite_address(0x4200 | (last), port)
#define ITERATIONS_MAX 2000 /* of about 10 ms; far more than any wait needs */

struct node {
	struct dl_peers *peers;
	int frames;
	size_t last_n;
	uint32_t last_kind;
	int downs;
	int64_t last_sent_after;
};

static uv_loop_t loop;
static uv_timer_t ticker;

static void on_frame(void *arg, uint64_t from, const struct dl_frame *f)
{
	struct node *s = arg;

	s->frames++;
	s->last_n = f->body.n;
	s->last_kind = f->kind;
	s->last_sent_after = f->sent_after;
}

static bool dated_soon(void *arg, uint64_t vm)
{
	return true;
}

static void on_down(void *arg, uint64_t vm)
{
	((struct node *)arg)->downs++;
}

static const struct dl_peers_ops ops = { .frame = on_frame, .down = on_down };

static const struct dl_peers_ops soon_ops = { .frame = on_frame,
					      .down = on_down,
					      .dated_soon = dated_soon };

static void on_tick(uv_timer_t *timer)
{
}

static void open_dated(struct node *s, uint64_t vm, uint64_t incarnation,
		       bool dates, const struct dl_peers_ops *with)
{
	struct dl_peers_conf conf;
	struct dl_err err;

	memset(s, 0, sizeof(*s));
	dl_peers_defaults(&conf);
	conf.self = vm;
	conf.incarnation = incarnation;
	conf.heartbeat_ms = 40;
	conf.silent_ms = 200;
	conf.date_frames = dates;
	ck_assert_int_eq(dl_peers_open(&loop, &conf, with, s, &s->peers, &err),
			 0);
}

static void open_node(struct node *s, uint64_t vm, uint64_t incarnation)
{
	open_dated(s, vm, incarnation, false, &ops);
}

/* Runs the loop until a counter reaches a value; fails if it does not. */
static void run_until(const int *counter, int value)
{
	for (int i = 0; i < ITERATIONS_MAX && *counter < value; i++)
		uv_run(&loop, UV_RUN_ONCE);
	ck_assert_int_ge(*counter, value);
}

static void setup(void)
{
	uv_loop_init(&loop);
	uv_timer_init(&loop, &ticker);
	uv_timer_start(&ticker, on_tick, 10, 10);
}

static void teardown(void)
{
	uv_close((uv_handle_t *)&ticker, NULL);
	while (uv_run(&loop, UV_RUN_ONCE))
		;
	ck_assert_int_eq(uv_loop_close(&loop), 0);
}

START_TEST(frames_of_all_sizes)
{
	struct node a, b;
	char *big = calloc(1, 5u << 20);

	open_node(&a, VM(1, 7001), 1);
	open_node(&b, VM(2, 7001), 1);
	dl_peers_send(a.peers, VM(2, 7001), DL_FRAME_GRANT_REQUEST, 1,
		      DL_STR(""));
	dl_peers_send(a.peers, VM(2, 7001), DL_FRAME_GRANT_REQUEST, 2,
		      DL_STR("x"));
	dl_peers_send(a.peers, VM(2, 7001), DL_FRAME_RLOG, 3,
		      (struct dl_str){ big, 5u << 20 });
	run_until(&b.frames, 3);
	ck_assert_uint_eq(b.last_n, 5u << 20);
	ck_assert_int_eq(dl_peers_send_datagram(b.peers, VM(1, 7001),
						DL_FRAME_MEMBERSHIP, 0,
						DL_STR("ping")),
			 0);
	run_until(&a.frames, 1);
	ck_assert_uint_eq(a.last_kind, DL_FRAME_MEMBERSHIP);
	dl_peers_close(a.peers);
	dl_peers_close(b.peers);
	free(big);
}
END_TEST

static int64_t boot_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_BOOTTIME, &ts);
	return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

/* Runs the loop for some iterations of about 10 ms. */
static void run_for(int iterations)
{
	for (int i = 0; i < iterations; i++)
		uv_run(&loop, UV_RUN_ONCE);
}

struct dating {
	bool sender, receiver; /* they date frames */
	const struct dl_peers_ops *ops;
	bool dated;
};

static const struct dating datings[] = {
	{ true, true, &ops, true },	 { false, true, &soon_ops, true },
	{ true, true, &soon_ops, true }, { true, false, &soon_ops, false },
	{ false, false, &ops, false },
};

/*
 * A frame must never be taken for younger than it is: news of a departure that
 * was under way for seconds would extend the time for which the endpoint is
 * used. Frames stay under way here while the loop of the receiver does not run.
 */
START_TEST(frame_is_dated_before_it_was_sent)
{
	const struct dating *d = &datings[_i];
	uint16_t port = (uint16_t)(7010 + _i);
	struct node a, b;
	int64_t sent, early = 0;

	open_dated(&a, VM(1, port), 1, d->sender, &ops);
	open_dated(&b, VM(2, port), 1, d->receiver, d->ops);
	for (int i = 1; i <= 8; i++) {
		sent = boot_ms();
		dl_peers_send(a.peers, VM(2, port), DL_FRAME_GRANT_REQUEST, 1,
			      DL_STR("x"));
		if (i % 2)
			usleep(30000);
		run_until(&b.frames, i);
		ck_assert_int_le(b.last_sent_after, sent);
		ck_assert(!b.last_sent_after || b.last_sent_after >= early);
		early = b.last_sent_after;
		run_for(12);
	}
	ck_assert_int_eq(b.last_sent_after != 0, d->dated);
	dl_peers_close(a.peers);
	dl_peers_close(b.peers);
}
END_TEST

START_TEST(absent_vm_is_reported_down)
{
	struct node a, b;

	open_node(&a, VM(1, 7002), 1);
	dl_peers_send(a.peers, VM(2, 7002), DL_FRAME_GRANT_REQUEST, 1,
		      DL_STR("x"));
	run_until(&a.downs, 1);
	open_node(&b, VM(2, 7002), 1);
	dl_peers_send(a.peers, VM(2, 7002), DL_FRAME_GRANT_REQUEST, 1,
		      DL_STR("x"));
	run_until(&b.frames, 1);
	dl_peers_close(b.peers);
	run_until(&a.downs, 2);
	dl_peers_close(a.peers);
}
END_TEST

/* Accepts a connection and never reads from or writes to it. */
static void on_silent_accept(uv_stream_t *listener, int status)
{
	uv_tcp_t *tcp = calloc(1, sizeof(*tcp));

	uv_tcp_init(&loop, tcp);
	ck_assert_int_eq(uv_accept(listener, (uv_stream_t *)tcp), 0);
	tcp->data = listener->data;
	listener->data = tcp;
}

START_TEST(silent_connection_is_closed)
{
	struct sockaddr_in sin = { .sin_family = AF_INET };
	int64_t before = dl_metric_read(DL_METRIC_peer_silent);
	struct node a;
	static uv_tcp_t silent_listener;

	sin.sin_addr.s_addr = htonl((uint32_t)(VM(9, 7003) >> 16));
	sin.sin_port = htons((uint16_t)VM(9, 7003));
	uv_tcp_init(&loop, &silent_listener);
	silent_listener.data = NULL;
	ck_assert_int_eq(uv_tcp_bind(&silent_listener, (void *)&sin, 0), 0);
	ck_assert_int_eq(uv_listen((uv_stream_t *)&silent_listener, 8,
				   on_silent_accept),
			 0);
	open_node(&a, VM(1, 7003), 1);
	dl_peers_send(a.peers, VM(9, 7003), DL_FRAME_GRANT_REQUEST, 1,
		      DL_STR("x"));
	run_until(&a.downs, 1);
	ck_assert_int_gt(dl_metric_read(DL_METRIC_peer_silent), before);
	dl_peers_close(a.peers);
	while (silent_listener.data) {
		uv_tcp_t *tcp = silent_listener.data;

		silent_listener.data = tcp->data;
		uv_close((uv_handle_t *)tcp, (uv_close_cb)free);
	}
	uv_close((uv_handle_t *)&silent_listener, NULL);
}
END_TEST

static int raw_written;

static void on_raw_written(uv_write_t *req, int status)
{
	raw_written = 1;
}

static void on_raw_connect(uv_connect_t *req, int status)
{
	static char junk[] = "GET / HTTP/1.1\r\n\r\n";
	static uv_write_t write;
	uv_buf_t buf = uv_buf_init(junk, sizeof(junk) - 1);

	ck_assert_int_eq(status, 0);
	uv_write(&write, req->handle, &buf, 1, on_raw_written);
}

START_TEST(invalid_frame_closes_only_its_connection)
{
	struct sockaddr_in sin = { .sin_family = AF_INET };
	int64_t before = dl_metric_read(DL_METRIC_peer_bad_frames);
	struct node a, b;
	static uv_connect_t connect;
	static uv_tcp_t raw;

	open_node(&a, VM(1, 7004), 1);
	open_node(&b, VM(2, 7004), 1);
	sin.sin_addr.s_addr = htonl((uint32_t)(VM(1, 7004) >> 16));
	sin.sin_port = htons((uint16_t)VM(1, 7004));
	uv_tcp_init(&loop, &raw);
	uv_tcp_connect(&connect, &raw, (void *)&sin, on_raw_connect);
	raw_written = 0;
	run_until(&raw_written, 1);
	dl_peers_send(b.peers, VM(1, 7004), DL_FRAME_GRANT_REQUEST, 1,
		      DL_STR("x"));
	run_until(&a.frames, 1);
	for (int i = 0; i < ITERATIONS_MAX &&
			dl_metric_read(DL_METRIC_peer_bad_frames) == before;
	     i++)
		uv_run(&loop, UV_RUN_ONCE);
	ck_assert_int_gt(dl_metric_read(DL_METRIC_peer_bad_frames), before);
	uv_close((uv_handle_t *)&raw, NULL);
	dl_peers_close(a.peers);
	dl_peers_close(b.peers);
}
END_TEST

START_TEST(restarted_process_replaces_the_old_one)
{
	struct node a, old, new;

	open_node(&a, VM(1, 7005), 1);
	open_node(&old, VM(2, 7005), 1);
	dl_peers_send(old.peers, VM(1, 7005), DL_FRAME_GRANT_REQUEST, 1,
		      DL_STR("x"));
	run_until(&a.frames, 1);
	dl_peers_close(old.peers);
	open_node(&new, VM(2, 7005), 2);
	dl_peers_send(new.peers, VM(1, 7005), DL_FRAME_GRANT_REQUEST, 1,
		      DL_STR("xy"));
	run_until(&a.frames, 2);
	ck_assert_uint_eq(a.last_n, 2);
	dl_peers_close(a.peers);
	dl_peers_close(new.peers);
}
END_TEST

/*
 * Guards against a process that stood still and closes its connections with
 * frames in them that it has not read.
 */
START_TEST(frames_sent_during_a_pause_are_read)
{
	struct node a, b;

	open_node(&a, VM(1, 7006), 1);
	open_node(&b, VM(2, 7006), 1);
	dl_peers_send(a.peers, VM(2, 7006), DL_FRAME_REPORT, 1, DL_STR("x"));
	run_until(&b.frames, 1);
	dl_peers_send(a.peers, VM(2, 7006), DL_FRAME_REPORT, 2, DL_STR("xy"));
	/* Longer than silent_ms. */
	usleep(500 * 1000);
	run_until(&b.frames, 2);
	ck_assert_uint_eq(b.last_n, 2);
	for (int i = 0; i < 20; i++)
		uv_run(&loop, UV_RUN_ONCE);
	ck_assert_int_eq(a.downs, 0);
	dl_peers_close(a.peers);
	dl_peers_close(b.peers);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("peers");
	TCase *t = tcase_create("peers");

	suite_add_tcase(s, t);
	tcase_set_timeout(t, 60);
	tcase_add_checked_fixture(t, setup, teardown);
	tcase_add_loop_test(t, frame_is_dated_before_it_was_sent, 0,
			    sizeof(datings) / sizeof(datings[0]));
	tcase_add_test(t, frames_of_all_sizes);
	tcase_add_test(t, absent_vm_is_reported_down);
	tcase_add_test(t, silent_connection_is_closed);
	tcase_add_test(t, invalid_frame_closes_only_its_connection);
	tcase_add_test(t, restarted_process_replaces_the_old_one);
	tcase_add_test(t, frames_sent_during_a_pause_are_read);
	return suite_run(s);
}
