/*
 * Connections that another VM forwards: whom a failure is blamed on, what a VM
 * that dies or misbehaves makes of a request, and bounds on what is forwarded.
 */
#include <check.h>
#include <glib.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "fake/suite.h"
#include "transport/frame.h"
#include "transport/httpc.h"
#include "transport/httpd.h"
#include "transport/peers.h"
#include "transport/sock.h"
#include "transport/tunnel.h"

#define AT(last, port) suite_address(0x4400 | (last), port)
#define ENDPOINT       AT(1, 9001)
#define OTHER	       AT(2, 9002)
#define CLOSED	       AT(3, 9003) /* nobody listens */
#define VM_ONE	       AT(4, 7004)
#define VM_TWO	       AT(5, 7005)
#define HTTPD	       AT(6, 8006)
#define PEER	       AT(7, 7007)
#define ITERATIONS_MAX 4000
#define UPLOAD_BYTES   (32u << 20)
#define QUEUED_MAX     (128u << 10) /* of an upload, at the VM in between */
#define FDS_MAX	       256

/* A server that answers each connection with a text, and then, or not, ends. */
struct server {
	uv_tcp_t listener;
	const char *reply;
	bool stalls; /* does not read */
	uv_tcp_t *conn;
	int accepted, closed;
	size_t received;
};

struct result {
	int ended;
	struct dl_attempt attempt;
	int code;
	size_t body;
};

/* What the client was told about its ways. */
static struct {
	int undecided;
	int forwarded[DL_FORWARD_RESULTS];
	uint64_t vms[4];
	uint32_t vms_count;
	bool direct;
} paths_seen;

static uv_loop_t loop;
static uv_timer_t ticker;
static char buffer[65536];
static uint64_t others[4];
static uint32_t others_count;
static enum dl_forward_result verdict;

static void on_tick(uv_timer_t *timer)
{
}

static void on_alloc(uv_handle_t *handle, size_t n, uv_buf_t *buf)
{
	*buf = uv_buf_init(buffer, sizeof(buffer));
}

static void on_conn_closed(uv_handle_t *handle)
{
	struct server *s = handle->data;

	s->closed++;
	if (s->conn == (uv_tcp_t *)handle)
		s->conn = NULL;
	free(handle);
}

static void on_written(uv_write_t *req, int status)
{
	free(req);
}

static void on_server_read(uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
	struct server *s = stream->data;

	if (n < 0) {
		if (!uv_is_closing((uv_handle_t *)stream))
			uv_close((uv_handle_t *)stream, on_conn_closed);
		return;
	}
	if (s->received == 0 && s->reply) {
		uv_write_t *req = malloc(sizeof(*req));
		uv_buf_t out = uv_buf_init((char *)s->reply,
					   (unsigned)strlen(s->reply));

		uv_write(req, stream, &out, 1, on_written);
	}
	s->received += (size_t)n;
}

static void on_accept(uv_stream_t *listener, int status)
{
	struct server *s = listener->data;
	uv_tcp_t *conn = calloc(1, sizeof(*conn));

	uv_tcp_init(&loop, conn);
	conn->data = s;
	ck_assert_int_eq(uv_accept(listener, (uv_stream_t *)conn), 0);
	s->conn = conn;
	s->accepted++;
	if (!s->stalls)
		uv_read_start((uv_stream_t *)conn, on_alloc, on_server_read);
}

static void serve(struct server *s, uint64_t at, const char *reply)
{
	struct sockaddr_in sin = dl_sock_addr(at);

	memset(s, 0, sizeof(*s));
	s->reply = reply;
	uv_tcp_init(&loop, &s->listener);
	s->listener.data = s;
	ck_assert_int_eq(uv_tcp_bind(&s->listener, (void *)&sin, 0), 0);
	ck_assert_int_eq(uv_listen((uv_stream_t *)&s->listener, 8, on_accept),
			 0);
}

static void plan(void *arg, uint64_t endpoint, struct dl_path_plan *out)
{
	*out = (struct dl_path_plan){ .direct = paths_seen.direct,
				      .forwarded_at_ms = 40 };
	if (!out->direct)
		out->forwarded_at_ms = 0;
}

static uint32_t list_vms(void *arg, uint64_t endpoint, uint64_t *out,
			 uint32_t max, bool *alone)
{
	uint32_t n = paths_seen.vms_count < max ? paths_seen.vms_count : max;

	*alone = paths_seen.vms_count == 0;
	memcpy(out, paths_seen.vms, n * sizeof(*out));
	return n;
}

static uint64_t vm_address(void *arg, uint64_t vm)
{
	return vm;
}

static void on_direct(void *arg, uint64_t endpoint, enum dl_direct_result r)
{
}

static void on_forwarded(void *arg, uint64_t endpoint, uint64_t vm,
			 enum dl_forward_result r)
{
	paths_seen.forwarded[r]++;
}

static void on_undecided(void *arg, uint64_t endpoint)
{
	paths_seen.undecided++;
}

static enum dl_forward_result admit(void *arg, uint64_t endpoint,
				    struct dl_str report)
{
	return verdict;
}

static uint32_t list_others(void *arg, uint64_t endpoint, uint64_t *out,
			    uint32_t max)
{
	uint32_t n = others_count < max ? others_count : max;

	memcpy(out, others, n * sizeof(*out));
	return n;
}

static const struct dl_tunnels_ops tunnels_ops = { .admit = admit,
						   .others = list_others,
						   .direct = on_direct };

static struct dl_httpc *setup(void)
{
	static const struct dl_httpc_paths paths = {
		.plan = plan,
		.vms = list_vms,
		.address = vm_address,
		.direct = on_direct,
		.forwarded = on_forwarded,
		.undecided = on_undecided,
	};
	struct dl_httpc *client;

	uv_loop_init(&loop);
	uv_timer_init(&loop, &ticker);
	uv_timer_start(&ticker, on_tick, 5, 10);
	ck_assert_int_eq(dl_httpc_open(&loop, &client), 0);
	dl_httpc_set_paths(client, &paths);
	memset(&paths_seen, 0, sizeof(paths_seen));
	paths_seen.vms[0] = VM_ONE;
	paths_seen.vms_count = 1;
	others_count = 0;
	verdict = DL_FORWARD_CONNECTED;
	return client;
}

static struct dl_tunnels *open_tunnels(uint64_t at, uint32_t max)
{
	struct dl_tunnels *tunnels;
	struct dl_err err;

	ck_assert_int_eq(dl_tunnels_open(&loop, at, max, &tunnels_ops, NULL,
					 &tunnels, &err),
			 0);
	return tunnels;
}

static bool on_body(void *arg, struct dl_str piece)
{
	((struct result *)arg)->body += piece.n;
	return true;
}

static void on_end(void *arg, const struct dl_attempt *attempt,
		   const struct dl_err *err)
{
	struct result *r = arg;

	r->attempt = *attempt;
	r->code = err->code;
	r->ended++;
}

static const struct dl_httpc_ops ops = { .body = on_body, .end = on_end };

static struct dl_httpc_call *start(struct dl_httpc *client, uint64_t to,
				   struct dl_str body, struct result *r)
{
	struct dl_httpc_req req = { .address = to,
				    .method = DL_STR("POST"),
				    .path = DL_STR("/"),
				    .body = body,
				    .connect_ms = 200,
				    .idle_ms = 5000,
				    .close_delimited = true };

	memset(r, 0, sizeof(*r));
	return dl_httpc_start(client, &req, &ops, r);
}

static void run_until_ended(struct result *r)
{
	for (int i = 0; i < ITERATIONS_MAX && !r->ended; i++)
		uv_run(&loop, UV_RUN_ONCE);
	ck_assert_int_eq(r->ended, 1);
}

static void run_ms(int64_t ms)
{
	int64_t until = (int64_t)uv_now(&loop) + ms;

	while ((int64_t)uv_now(&loop) < until)
		uv_run(&loop, UV_RUN_ONCE);
}

#define REPLY "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

/* The response has no length: only the end of the connection delimits it. */
START_TEST(response_that_its_vm_cuts_short_is_not_complete)
{
	struct dl_httpc *client = setup();
	struct dl_tunnels *tunnels = open_tunnels(VM_ONE, 4);
	struct server endpoint;
	struct result r;

	serve(&endpoint, ENDPOINT, "HTTP/1.1 200 OK\r\n\r\npart");
	start(client, ENDPOINT, DL_STR(""), &r);
	for (int i = 0; i < ITERATIONS_MAX && r.body < 4; i++)
		uv_run(&loop, UV_RUN_ONCE);
	dl_tunnels_close(tunnels);
	run_until_ended(&r);
	ck_assert_int_eq(r.attempt.failure, DL_FAILURE_RESET);
	ck_assert_int_ne(r.attempt.received, DL_RECV_COMPLETE);
}
END_TEST

START_TEST(endpoint_is_blamed_by_a_vm_that_reaches_others)
{
	struct dl_httpc *client = setup();
	struct server other;
	struct result r;

	open_tunnels(VM_ONE, 4);
	serve(&other, OTHER, NULL);
	others[others_count++] = OTHER;
	start(client, CLOSED, DL_STR(""), &r);
	run_until_ended(&r);
	ck_assert_int_eq(r.attempt.failure, DL_FAILURE_CONNECT);
	ck_assert_int_eq(r.attempt.sent, DL_SENT_NOTHING);
	ck_assert_int_eq(r.code, -ECONNREFUSED);
	ck_assert_int_eq(paths_seen.undecided, 0);
}
END_TEST

/* One VM has lost its link to just this endpoint, another one has not. */
START_TEST(endpoint_is_not_blamed_by_one_vm_alone)
{
	struct dl_httpc *client = setup();
	struct dl_frame failed = { .kind = DL_FRAME_TUNNEL_FAILED,
				   .request = DL_FORWARD_ENDPOINT_REFUSED };
	struct server lost, endpoint;
	struct result r;
	char reply[64] = { 0 };
	size_t n = 0;
	char *bytes = dl_frame_bytes(&failed, &n);

	serve(&lost, VM_ONE, NULL);
	serve(&endpoint, ENDPOINT, REPLY);
	open_tunnels(VM_TWO, 4);
	paths_seen.vms[paths_seen.vms_count++] = VM_TWO;
	start(client, ENDPOINT, DL_STR(""), &r);
	for (int i = 0; i < ITERATIONS_MAX && !lost.received; i++)
		uv_run(&loop, UV_RUN_ONCE);
	memcpy(reply, bytes, n);
	free(bytes);
	{
		uv_write_t *req = malloc(sizeof(*req));
		uv_buf_t buf = uv_buf_init(reply, (unsigned)n);

		uv_write(req, (uv_stream_t *)lost.conn, &buf, 1, on_written);
	}
	run_until_ended(&r);
	ck_assert_int_eq(r.attempt.failure, DL_FAILURE_NONE);
	ck_assert_int_eq(r.attempt.received, DL_RECV_COMPLETE);
}
END_TEST

/* Several endpoints have died together; one of the others still works. */
START_TEST(endpoint_is_blamed_where_most_others_are_dead_too)
{
	struct dl_httpc *client = setup();
	struct server other;
	struct result r;

	open_tunnels(VM_ONE, 4);
	serve(&other, OTHER, NULL);
	for (int i = 1; i <= 3; i++)
		others[others_count++] = CLOSED + (uint64_t)i;
	others[others_count++] = OTHER;
	start(client, CLOSED, DL_STR(""), &r);
	run_until_ended(&r);
	ck_assert_int_eq(r.attempt.failure, DL_FAILURE_CONNECT);
	ck_assert_int_eq(r.code, -ECONNREFUSED);
}
END_TEST

START_TEST(endpoint_is_not_blamed_by_vms_that_reach_no_other)
{
	struct dl_httpc *client = setup();
	struct result r;

	paths_seen.vms[paths_seen.vms_count++] = VM_TWO;
	open_tunnels(VM_ONE, 4);
	open_tunnels(VM_TWO, 4);
	others[others_count++] = CLOSED + 1;
	others[others_count++] = CLOSED + 2;
	start(client, CLOSED, DL_STR(""), &r);
	run_until_ended(&r);
	ck_assert_int_eq(r.attempt.failure, DL_FAILURE_NO_PATH);
	ck_assert_int_eq(r.attempt.sent, DL_SENT_NOTHING);
	ck_assert_int_ne(r.code, -ECONNREFUSED);
	ck_assert_int_eq(paths_seen.undecided, 1);
	ck_assert_int_eq(paths_seen.forwarded[DL_FORWARD_CUT_OFF], 2);
}
END_TEST

/* Where there is no other VM, the own connection decides. */
START_TEST(vm_alone_blames_the_endpoint)
{
	struct dl_httpc *client = setup();
	struct result r;

	paths_seen.vms_count = 0;
	paths_seen.direct = true;
	start(client, CLOSED, DL_STR(""), &r);
	run_until_ended(&r);
	ck_assert_int_eq(r.attempt.failure, DL_FAILURE_CONNECT);
	ck_assert_int_eq(r.code, -ECONNREFUSED);
}
END_TEST

START_TEST(next_vm_is_asked_where_one_cannot_help)
{
	struct dl_httpc *client = setup();
	struct server silent, endpoint;
	struct result r;

	serve(&endpoint, ENDPOINT, REPLY);
	open_tunnels(VM_TWO, 4);
	paths_seen.vms[1] = VM_TWO;
	paths_seen.vms_count = 2;
	switch (_i) {
	case 0: /* does not answer */
		serve(&silent, VM_ONE, NULL);
		break;
	case 1: /* answers something else */
		serve(&silent, VM_ONE, "HTTP/1.1 400 Bad\r\n\r\n");
		break;
	case 2: /* does not listen */
		break;
	case 3: /* forwards no more */
		dl_tunnels_stop_accepting(open_tunnels(VM_ONE, 4));
		break;
	case 4: /* is full */
		open_tunnels(VM_ONE, 0);
		break;
	}
	start(client, ENDPOINT, DL_STR(""), &r);
	run_until_ended(&r);
	ck_assert_int_eq(r.attempt.failure, DL_FAILURE_NONE);
	ck_assert_int_eq(r.attempt.received, DL_RECV_COMPLETE);
	ck_assert_uint_eq(r.body, 2);
	ck_assert_int_eq(endpoint.accepted, 1);
}
END_TEST

START_TEST(cancelled_request_ends_at_the_endpoint)
{
	struct dl_httpc *client = setup();
	struct server endpoint;
	struct dl_httpc_call *call;
	struct result r;

	open_tunnels(VM_ONE, 4);
	serve(&endpoint, ENDPOINT, NULL);
	call = start(client, ENDPOINT, DL_STR(""), &r);
	for (int i = 0; i < ITERATIONS_MAX && !endpoint.received; i++)
		uv_run(&loop, UV_RUN_ONCE);
	dl_httpc_cancel(call);
	for (int i = 0; i < ITERATIONS_MAX && !endpoint.closed; i++)
		uv_run(&loop, UV_RUN_ONCE);
	ck_assert_int_eq(endpoint.closed, 1);
	ck_assert_int_eq(r.ended, 0);
}
END_TEST

START_TEST(tunnels_of_a_vm_that_is_gone_end)
{
	struct dl_httpc *client = setup();
	struct dl_tunnels *tunnels = open_tunnels(VM_ONE, 4);
	struct server endpoint;
	struct result r;

	serve(&endpoint, ENDPOINT, NULL);
	start(client, ENDPOINT, DL_STR(""), &r);
	for (int i = 0; i < ITERATIONS_MAX && !endpoint.received; i++)
		uv_run(&loop, UV_RUN_ONCE);
	dl_tunnels_vm_gone(tunnels, AT(99, 1));
	run_ms(50);
	ck_assert_uint_eq(dl_tunnels_count(tunnels), 1);
	/* Connections on loopback come from 127.0.0.1. */
	dl_tunnels_vm_gone(tunnels, UINT64_C(0x7f000001) << 16);
	run_until_ended(&r);
	ck_assert_int_eq(r.attempt.failure, DL_FAILURE_RESET);
	for (int i = 0; i < ITERATIONS_MAX && !endpoint.closed; i++)
		uv_run(&loop, UV_RUN_ONCE);
	ck_assert_uint_eq(dl_tunnels_count(tunnels), 0);
}
END_TEST

static void add_queue(uv_handle_t *handle, void *arg)
{
	size_t *queued = arg, n;

	if (handle->type != UV_TCP || uv_is_closing(handle))
		return;
	n = uv_stream_get_write_queue_size((uv_stream_t *)handle);
	if (n > queued[0]) {
		queued[1] = queued[0];
		queued[0] = n;
	} else if (n > queued[1]) {
		queued[1] = n;
	}
}

/* The endpoint does not read: the VM in between must not hold all of it. */
START_TEST(upload_that_is_not_read_is_not_held)
{
	struct dl_httpc *client = setup();
	char *body = calloc(1, UPLOAD_BYTES);
	size_t queued[2] = { 0 };
	struct server endpoint;
	struct result r;

	open_tunnels(VM_ONE, 4);
	serve(&endpoint, ENDPOINT, REPLY);
	endpoint.stalls = true;
	start(client, ENDPOINT, (struct dl_str){ body, UPLOAD_BYTES }, &r);
	run_ms(300);
	ck_assert_int_eq(endpoint.accepted, 1);
	/* The longest queue is the client's own, the other one the VM's. */
	uv_walk(&loop, add_queue, queued);
	ck_assert_uint_gt(queued[0], 0);
	ck_assert_uint_gt(queued[1], 0);
	ck_assert_uint_le(queued[1], QUEUED_MAX);
	uv_read_start((uv_stream_t *)endpoint.conn, on_alloc, on_server_read);
	run_until_ended(&r);
	ck_assert_int_eq(r.attempt.received, DL_RECV_COMPLETE);
	free(body);
}
END_TEST

static void send_bytes(uint64_t to, const char *bytes, size_t n)
{
	struct sockaddr_in sin = dl_sock_addr(to);
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	char answer;

	ck_assert_int_eq(connect(fd, (void *)&sin, sizeof(sin)), 0);
	ck_assert_int_eq(send(fd, bytes, n, MSG_NOSIGNAL), (ssize_t)n);
	run_ms(60);
	/* Closed, or reset. */
	ck_assert_int_le(recv(fd, &answer, 1, MSG_DONTWAIT), 0);
	close(fd);
}

/* Only what this VM knows as an endpoint is connected to for others. */
START_TEST(unknown_address_is_not_connected_to)
{
	struct dl_frame open = { .kind = DL_FRAME_TUNNEL_OPEN,
				 .request = ENDPOINT };
	struct sockaddr_in sin = dl_sock_addr(VM_ONE);
	struct server endpoint;
	char answer[64];
	size_t n = 0;
	char *bytes = dl_frame_bytes(&open, &n);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	setup();
	open_tunnels(VM_ONE, 4);
	serve(&endpoint, ENDPOINT, REPLY);
	verdict = DL_FORWARD_UNAVAILABLE;
	ck_assert_int_eq(connect(fd, (void *)&sin, sizeof(sin)), 0);
	ck_assert_int_eq(send(fd, bytes, n, MSG_NOSIGNAL), (ssize_t)n);
	run_ms(100);
	ck_assert_int_eq(endpoint.accepted, 0);
	ck_assert_int_gt(recv(fd, answer, sizeof(answer), MSG_DONTWAIT), 0);
	ck_assert_int_eq(recv(fd, answer, 1, MSG_DONTWAIT), 0);
	close(fd);
	free(bytes);
}
END_TEST

START_TEST(malformed_opening_closes_only_its_connection)
{
	struct dl_frame wrong = { .kind = DL_FRAME_TUNNEL_DATA,
				  .request = ENDPOINT };
	struct dl_httpc *client = setup();
	struct dl_tunnels *tunnels = open_tunnels(VM_ONE, 4);
	struct server endpoint;
	struct result r;
	size_t n = 0;
	char *bytes = dl_frame_bytes(&wrong, &n);

	serve(&endpoint, ENDPOINT, REPLY);
	send_bytes(VM_ONE, "GET / HTTP/1.1\r\n\r\n", 18);
	send_bytes(VM_ONE, "\0\0\0\4abcd", 8);
	send_bytes(VM_ONE, "\377\377\377\377", 4);
	send_bytes(VM_ONE, bytes, n);
	free(bytes);
	ck_assert_int_eq(endpoint.accepted, 0);
	start(client, ENDPOINT, DL_STR(""), &r);
	run_until_ended(&r);
	ck_assert_int_eq(r.attempt.received, DL_RECV_COMPLETE);
	run_ms(50);
	ck_assert_uint_eq(dl_tunnels_count(tunnels), 0);
}
END_TEST

/* A VM that forwarded well so far and then sends nonsense. */
START_TEST(malformed_frame_of_a_vm_breaks_the_request)
{
	static const char *const nonsense[] = { "\0\0\0\1x",
						"HTTP/1.1 200 OK\r\n\r\n" };
	struct dl_httpc *client = setup();
	struct dl_frame opened = { .kind = DL_FRAME_TUNNEL_OPENED };
	struct server vm;
	struct result r;
	char reply[128];
	size_t n = 0;
	char *bytes = dl_frame_bytes(&opened, &n);

	memcpy(reply, bytes, n);
	free(bytes);
	serve(&vm, VM_ONE, NULL);
	start(client, ENDPOINT, DL_STR(""), &r);
	for (int i = 0; i < ITERATIONS_MAX && !vm.received; i++)
		uv_run(&loop, UV_RUN_ONCE);
	memcpy(reply + n, nonsense[_i], _i ? 19 : 5);
	{
		uv_write_t *req = malloc(sizeof(*req));
		uv_buf_t buf =
			uv_buf_init(reply, (unsigned)(n + (_i ? 19 : 5)));

		uv_write(req, (uv_stream_t *)vm.conn, &buf, 1, on_written);
	}
	run_until_ended(&r);
	ck_assert_int_eq(r.attempt.failure, DL_FAILURE_RESET);
	ck_assert_int_ne(r.attempt.received, DL_RECV_COMPLETE);
}
END_TEST

/* What an endpoint does that ends its answer before it has the request. */
enum early_end {
	/* Its end and more of the request arrive together, in either order. */
	RESET_BEFORE_BYTES,
	RESET_AFTER_BYTES,
	CLOSED_WITH_BYTES_QUEUED, /* by the VM in between */
	CLOSED_WITH_BYTES_UNREAD,
	EARLY_ENDS,
};

/* Connects to a VM by hand and has it forward a connection to ENDPOINT. */
static int open_by_hand(struct server *endpoint)
{
	struct dl_frame open = { .kind = DL_FRAME_TUNNEL_OPEN,
				 .request = ENDPOINT };
	struct sockaddr_in sin = dl_sock_addr(VM_ONE);
	int fd = socket(AF_INET, SOCK_STREAM, 0), on = 1;
	char answer[64];
	size_t n = 0;
	char *bytes = dl_frame_bytes(&open, &n);

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	ck_assert_int_eq(connect(fd, (void *)&sin, sizeof(sin)), 0);
	ck_assert_int_eq(send(fd, bytes, n, MSG_NOSIGNAL), (ssize_t)n);
	free(bytes);
	run_ms(60);
	ck_assert_int_eq(endpoint->accepted, 1);
	ck_assert_int_gt(recv(fd, answer, sizeof(answer), MSG_DONTWAIT), 0);
	return fd;
}

/* Sends what the sockets and the VM in between take. */
static void fill(int fd)
{
	for (int i = 0; i < 100; i++) {
		while (send(fd, buffer, sizeof(buffer),
			    MSG_NOSIGNAL | MSG_DONTWAIT) > 0)
			;
		uv_run(&loop, UV_RUN_NOWAIT);
	}
}

/* Ends the endpoint's side after a part of an answer. */
static void answer_in_part(struct server *endpoint, bool reset)
{
	static const char part[] = "HTTP/1.1 200 OK\r\n\r\npart";
	const struct linger linger = { .l_onoff = 1 };
	uv_os_fd_t fd;

	uv_fileno((uv_handle_t *)endpoint->conn, &fd);
	ck_assert_int_eq(send(fd, part, sizeof(part) - 1, MSG_NOSIGNAL),
			 sizeof(part) - 1);
	if (!reset) {
		shutdown(fd, SHUT_WR);
		return;
	}
	setsockopt(fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
	uv_close((uv_handle_t *)endpoint->conn, on_conn_closed);
}

/* Reads frames until the connection ends; returns whether one is the last. */
static bool is_ended_in_order(int fd)
{
	struct dl_frame end = { .kind = DL_FRAME_TUNNEL_END };
	GString *in = g_string_new(NULL);
	size_t n = 0;
	char *bytes = dl_frame_bytes(&end, &n);
	ssize_t got;
	bool ended;

	while ((got = recv(fd, buffer, sizeof(buffer), MSG_DONTWAIT)) > 0)
		g_string_append_len(in, buffer, got);
	ended = in->len >= n && memcmp(in->str + in->len - n, bytes, n) == 0;
	free(bytes);
	g_string_free(in, TRUE);
	return ended;
}

/*
 * Guards against a part of an answer that is taken for the whole of it: the VM
 * in between must not tell of an orderly end if the endpoint has not got all
 * that was sent.
 */
START_TEST(answer_before_the_whole_request_has_no_end)
{
	struct server endpoint;
	int fd;

	setup();
	open_tunnels(VM_ONE, 4);
	serve(&endpoint, ENDPOINT, NULL);
	endpoint.stalls = _i == CLOSED_WITH_BYTES_QUEUED;
	fd = open_by_hand(&endpoint);
	ck_assert_int_eq(send(fd, "head", 4, MSG_NOSIGNAL), 4);
	run_ms(30);
	if (_i == CLOSED_WITH_BYTES_QUEUED)
		fill(fd);
	if (_i == RESET_AFTER_BYTES)
		ck_assert_int_eq(send(fd, "body", 4, MSG_NOSIGNAL), 4);
	answer_in_part(&endpoint, _i <= RESET_AFTER_BYTES);
	if (_i == RESET_BEFORE_BYTES || _i == CLOSED_WITH_BYTES_UNREAD)
		ck_assert_int_eq(send(fd, "body", 4, MSG_NOSIGNAL), 4);
	run_ms(60);
	ck_assert(!is_ended_in_order(fd));
	close(fd);
}
END_TEST

START_TEST(answer_to_the_whole_request_has_an_end)
{
	struct server endpoint;
	int fd;

	setup();
	open_tunnels(VM_ONE, 4);
	serve(&endpoint, ENDPOINT, NULL);
	fd = open_by_hand(&endpoint);
	ck_assert_int_eq(send(fd, "head", 4, MSG_NOSIGNAL), 4);
	run_ms(30);
	answer_in_part(&endpoint, false);
	run_ms(60);
	ck_assert(is_ended_in_order(fd));
	close(fd);
}
END_TEST

static void on_http(void *arg, struct dl_httpd_req *req)
{
	(*(int *)arg)++;
}

static void on_frame(void *arg, uint64_t from, const struct dl_frame *f)
{
	(*(int *)arg)++;
}

/*
 * A user timeout also ends connections whose keep-alive probes go unanswered,
 * and data that a peer acknowledges late. No library may set one unasked.
 */
START_TEST(no_connection_has_a_user_timeout)
{
	static const struct dl_httpd_ops httpd_ops = { .request = on_http };
	static const struct dl_peers_ops peers_ops = { .frame = on_frame };
	struct dl_httpd_conf httpd_conf = { .address = HTTPD,
					    .body_max = 1000,
					    .conns_max = 10,
					    .read_ms = 1000 };
	struct dl_httpc *client = setup();
	struct dl_peers_conf peers_conf;
	struct dl_peers *peers;
	struct dl_httpd *httpd;
	struct server endpoint;
	struct result direct, forwarded;
	struct dl_err err;
	int frames = 0, requests = 0, checked = 0;

	dl_peers_defaults(&peers_conf);
	peers_conf.self = PEER;
	peers_conf.incarnation = 1;
	ck_assert_int_eq(dl_peers_open(&loop, &peers_conf, &peers_ops, &frames,
				       &peers, &err),
			 0);
	dl_peers_send(peers, PEER, DL_FRAME_QUERY, 1, DL_STR("x"));
	ck_assert_int_eq(dl_httpd_open(&loop, &httpd_conf, &httpd_ops,
				       &requests, &httpd, &err),
			 0);
	open_tunnels(VM_ONE, 4);
	serve(&endpoint, ENDPOINT, NULL);
	start(client, ENDPOINT, DL_STR(""), &forwarded);
	run_ms(30);
	paths_seen.direct = true;
	start(client, HTTPD, DL_STR(""), &direct);
	for (int i = 0;
	     i < ITERATIONS_MAX && !(frames && requests && endpoint.received);
	     i++)
		uv_run(&loop, UV_RUN_ONCE);
	for (int fd = 3; fd < FDS_MAX; fd++) {
		int value = -1, alive = -1;
		socklen_t n = sizeof(value);

		if (getsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &value, &n))
			continue;
		n = sizeof(alive);
		getsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &alive, &n);
		ck_assert_int_eq(value, 0);
		ck_assert_int_eq(alive, 0);
		checked++;
	}
	/* Four listeners and both ends of four connections. */
	ck_assert_int_ge(checked, 12);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("tunnel");
	TCase *t = tcase_create("tunnel");

	suite_add_tcase(s, t);
	tcase_set_timeout(t, 60);
	tcase_add_test(t, response_that_its_vm_cuts_short_is_not_complete);
	tcase_add_test(t, endpoint_is_blamed_by_a_vm_that_reaches_others);
	tcase_add_test(t, endpoint_is_not_blamed_by_one_vm_alone);
	tcase_add_test(t, endpoint_is_blamed_where_most_others_are_dead_too);
	tcase_add_test(t, endpoint_is_not_blamed_by_vms_that_reach_no_other);
	tcase_add_test(t, vm_alone_blames_the_endpoint);
	tcase_add_loop_test(t, next_vm_is_asked_where_one_cannot_help, 0, 5);
	tcase_add_test(t, unknown_address_is_not_connected_to);
	tcase_add_test(t, cancelled_request_ends_at_the_endpoint);
	tcase_add_test(t, tunnels_of_a_vm_that_is_gone_end);
	tcase_add_test(t, upload_that_is_not_read_is_not_held);
	tcase_add_test(t, malformed_opening_closes_only_its_connection);
	tcase_add_loop_test(t, malformed_frame_of_a_vm_breaks_the_request, 0,
			    2);
	tcase_add_loop_test(t, answer_before_the_whole_request_has_no_end, 0,
			    EARLY_ENDS);
	tcase_add_test(t, answer_to_the_whole_request_has_an_end);
	tcase_add_test(t, no_connection_has_a_user_timeout);
	return suite_run(s);
}
