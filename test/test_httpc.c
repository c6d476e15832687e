/*
 * HTTP client against a server that fails at every stage of a response.  The
 * client must report correctly what was sent and received and how the call
 * ended; a truncated response must never be reported as complete.
 */
#include <arpa/inet.h>
#include <check.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "fake/suite.h"
#include "transport/httpc.h"
#include "transport/tunnel.h"

#define ADDRESS	       suite_address(0x4301, 7101)
#define ITERATIONS_MAX 3000

/* What the server does after its last write. */
enum server_end {
	SERVER_CLOSES,
	SERVER_RESETS,
	SERVER_SILENT
};

struct response {
	const char *name;
	const char *writes[3]; /* written one per timer tick */
	enum server_end end;
	enum dl_received received;
	enum dl_failure failure;
	const char *body;
};

#define CHUNKED "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
#define LENGTH	"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n"

/* A response that stops in its head, whatever it says up to there. */
#define CUT_HEAD(title, how, ...)                                              \
	{                                                                      \
		.name = title, .writes = { __VA_ARGS__ }, .end = how,          \
		.received = DL_RECV_NOTHING, .failure = DL_FAILURE_RESET,      \
		.body = ""                                                     \
	}
/* clang-format off */
#define CUT_HEADS(end, how)                                                \
	CUT_HEAD("in the status, " end, how, "HTTP/1.1 20"),               \
	CUT_HEAD("after the status, no end of line, " end, how,            \
		 "HTTP/1.1 200"),                                          \
	CUT_HEAD("after the status line, " end, how,                       \
		 "HTTP/1.1 200 OK\r\n"),                                   \
	CUT_HEAD("in a name, " end, how,                                   \
		 "HTTP/1.1 200 OK\r\nContent-Le"),                         \
	CUT_HEAD("in a length, " end, how,                                 \
		 "HTTP/1.1 200 OK\r\nContent-Length: 1"),                  \
	CUT_HEAD("after the length 0, " end, how,                          \
		 "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n"),              \
	CUT_HEAD("after the coding, " end, how, "HTTP/1.1 200 OK\r\n",     \
		 "Transfer-Encoding: chunked\r\n"),                        \
	CUT_HEAD("between CR and LF of the blank line, " end, how,         \
		 "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n", "\r"),         \
	CUT_HEAD("without a length, between CR and LF, " end, how,         \
		 "HTTP/1.1 200 OK\r\nA: b\r\n\r"),                          \
	CUT_HEAD("LF alone, " end, how,                                    \
		 "HTTP/1.1 200 OK\nContent-Length: 0\n"),                  \
	CUT_HEAD("LF alone, a CR, " end, how,                              \
		 "HTTP/1.1 200 OK\nContent-Length: 0\n\r"),                \
	CUT_HEAD("after an interim response, " end, how,                   \
		 "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n"),              \
	CUT_HEAD("in the head after an interim response, " end, how,       \
		 "HTTP/1.1 100 Continue\r\n\r\n",                          \
		 "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n"),              \
	CUT_HEAD("without a body, " end, how,                              \
		 "HTTP/1.1 204 No Content\r\n"),                           \
	CUT_HEAD("without a body, between CR and LF, " end, how,           \
		 "HTTP/1.1 304 Not Modified\r\nA: b\r\n\r"),               \
	CUT_HEAD("an error, " end, how,                                    \
		 "HTTP/1.1 500 No\r\nContent-Length: 0\r\n"),              \
	CUT_HEAD("says that it was not run, " end, how,                    \
		 "HTTP/1.1 503 No\r\nDaisyledge-Not-Run: yes\r\n")
/* clang-format on */

static const struct response responses[] = {
	{ "complete by length",
	  { LENGTH "hello" },
	  SERVER_CLOSES,
	  DL_RECV_COMPLETE,
	  DL_FAILURE_NONE,
	  "hello" },
	{ "complete by length, in pieces",
	  { LENGTH, "he", "llo" },
	  SERVER_SILENT,
	  DL_RECV_COMPLETE,
	  DL_FAILURE_NONE,
	  "hello" },
	{ "complete by chunks",
	  { CHUNKED "5\r\nhello\r\n0\r\n\r\n" },
	  SERVER_CLOSES,
	  DL_RECV_COMPLETE,
	  DL_FAILURE_NONE,
	  "hello" },
	{ "complete by chunks, in pieces",
	  { CHUNKED, "5\r\nhello\r\n", "0\r\n\r\n" },
	  SERVER_SILENT,
	  DL_RECV_COMPLETE,
	  DL_FAILURE_NONE,
	  "hello" },
	{ "complete by chunks, the coding in other letters",
	  { "HTTP/1.1 200 OK\r\nTransfer-Encoding:  Chunked \r\n\r\n"
	    "5\r\nhello\r\n0\r\n\r\n" },
	  SERVER_CLOSES,
	  DL_RECV_COMPLETE,
	  DL_FAILURE_NONE,
	  "hello" },
	{ "last chunk in a separate write",
	  { CHUNKED "5\r\nhello\r\n", "0\r\n\r\n" },
	  SERVER_CLOSES,
	  DL_RECV_COMPLETE,
	  DL_FAILURE_NONE,
	  "hello" },
	/* Two heads must not be read as one. */
	{ "cut in its status line, then another",
	  { "HTTP/1.1 200 O", LENGTH "hello" },
	  SERVER_CLOSES,
	  DL_RECV_NOTHING,
	  DL_FAILURE_RESET,
	  "" },
	{ "cut in a header, then another",
	  { "HTTP/1.1 200 OK\r\nContent-Type: a", LENGTH "hello" },
	  SERVER_CLOSES,
	  DL_RECV_NOTHING,
	  DL_FAILURE_RESET,
	  "" },
	{ "cut in a header, then another, one write",
	  { "HTTP/1.1 200 OK\r\nContent-Type: a" CHUNKED
	    "5\r\nhello\r\n0\r\n\r\n" },
	  SERVER_SILENT,
	  DL_RECV_NOTHING,
	  DL_FAILURE_RESET,
	  "" },
	{ "cut in its last line end, then another",
	  { "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r", LENGTH "hello" },
	  SERVER_CLOSES,
	  DL_RECV_NOTHING,
	  DL_FAILURE_RESET,
	  "" },
	{ "other letters than HTTP",
	  { "HXXP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello" },
	  SERVER_CLOSES,
	  DL_RECV_NOTHING,
	  DL_FAILURE_RESET,
	  "" },
	/* A body must not be filled up from the response after it. */
	{ "chunk longer than its size",
	  { CHUNKED "5\r\nhelloXY0\r\n\r\n" },
	  SERVER_CLOSES,
	  DL_RECV_HEAD,
	  DL_FAILURE_RESET,
	  "" },
	{ "chunk longer than its size, in pieces",
	  { CHUNKED "5\r\nhello", "\rY", "0\r\n\r\n" },
	  SERVER_CLOSES,
	  DL_RECV_HEAD,
	  DL_FAILURE_RESET,
	  "hello" },
	{ "cut in a chunk, then another response",
	  { CHUNKED "11\r\n12", "HTTP/1.1 200 OK\nA", "0\r\n\r\n" },
	  SERVER_CLOSES,
	  DL_RECV_HEAD,
	  DL_FAILURE_RESET,
	  "12" },
	{ "line end of a chunk in pieces",
	  { CHUNKED "5\r\nhello\r", "\n0\r", "\n\r\n" },
	  SERVER_SILENT,
	  DL_RECV_COMPLETE,
	  DL_FAILURE_NONE,
	  "hello" },
	{ "closed at a chunk's end",
	  { CHUNKED, "5\r\nhello\r\n" },
	  SERVER_CLOSES,
	  DL_RECV_HEAD,
	  DL_FAILURE_RESET,
	  "hello" },
	{ "closed at a chunk's end, one write",
	  { CHUNKED "5\r\nhello\r\n" },
	  SERVER_CLOSES,
	  DL_RECV_HEAD,
	  DL_FAILURE_RESET,
	  "hello" },
	{ "closed after a chunk's size",
	  { CHUNKED "5\r\nhello\r\n", "7\r\n" },
	  SERVER_CLOSES,
	  DL_RECV_HEAD,
	  DL_FAILURE_RESET,
	  "hello" },
	{ "closed inside a chunk",
	  { CHUNKED, "9\r\nhello" },
	  SERVER_CLOSES,
	  DL_RECV_HEAD,
	  DL_FAILURE_RESET,
	  "hello" },
	{ "closed after the head",
	  { CHUNKED },
	  SERVER_CLOSES,
	  DL_RECV_HEAD,
	  DL_FAILURE_RESET,
	  "" },
	{ "closed before the end of the body",
	  { LENGTH "hel" },
	  SERVER_CLOSES,
	  DL_RECV_HEAD,
	  DL_FAILURE_RESET,
	  "hel" },
	{ "reset before the end of the body",
	  { LENGTH, "hel" },
	  SERVER_RESETS,
	  DL_RECV_HEAD,
	  DL_FAILURE_RESET,
	  "hel" },
	{ "silent before the end of the body",
	  { LENGTH, "hel" },
	  SERVER_SILENT,
	  DL_RECV_HEAD,
	  DL_FAILURE_IDLE_TIMEOUT,
	  "hel" },
	{ "silent after the head",
	  { LENGTH },
	  SERVER_SILENT,
	  DL_RECV_HEAD,
	  DL_FAILURE_IDLE_TIMEOUT,
	  "" },
	{ "silent before the head",
	  { "" },
	  SERVER_SILENT,
	  DL_RECV_NOTHING,
	  DL_FAILURE_IDLE_TIMEOUT,
	  "" },
	{ "closed before the head",
	  { "" },
	  SERVER_CLOSES,
	  DL_RECV_NOTHING,
	  DL_FAILURE_RESET,
	  "" },
	{ "reset before the head",
	  { "" },
	  SERVER_RESETS,
	  DL_RECV_NOTHING,
	  DL_FAILURE_RESET,
	  "" },
	{ "closed inside the head",
	  { "HTTP/1.1 200 OK\r\nCont" },
	  SERVER_CLOSES,
	  DL_RECV_NOTHING,
	  DL_FAILURE_RESET,
	  "" },
	{ "not an HTTP response",
	  { "SSH-2.0-x\r\n\r\n" },
	  SERVER_CLOSES,
	  DL_RECV_NOTHING,
	  DL_FAILURE_RESET,
	  "" },
	{ "no framing",
	  { "HTTP/1.1 200 OK\r\n\r\nhello" },
	  SERVER_CLOSES,
	  DL_RECV_HEAD,
	  DL_FAILURE_BAD_RESPONSE,
	  "hello" },
	{ "silent inside the head",
	  { "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n" },
	  SERVER_SILENT,
	  DL_RECV_NOTHING,
	  DL_FAILURE_IDLE_TIMEOUT,
	  "" },
	CUT_HEADS("closed", SERVER_CLOSES),
	CUT_HEADS("reset", SERVER_RESETS),
	{ "endpoint reports that it did not run",
	  { "HTTP/1.1 503 No\r\nDaisyledge-Not-Run: yes\r\n"
	    "Content-Length: 0\r\n\r\n" },
	  SERVER_CLOSES,
	  DL_RECV_NOT_RUN,
	  DL_FAILURE_NONE,
	  "" },
};

/* Calls that accept a close-delimited response. */
static const struct response close_delimited_responses[] = {
	{ "no framing, orderly close",
	  { "HTTP/1.1 200 OK\r\n\r\n", "hello" },
	  SERVER_CLOSES,
	  DL_RECV_COMPLETE,
	  DL_FAILURE_NONE,
	  "hello" },
	{ "no framing, reset",
	  { "HTTP/1.1 200 OK\r\n\r\n", "hello" },
	  SERVER_RESETS,
	  DL_RECV_HEAD,
	  DL_FAILURE_RESET,
	  "hello" },
	CUT_HEADS("closed, close-delimited allowed", SERVER_CLOSES),
	CUT_HEADS("reset, close-delimited allowed", SERVER_RESETS),
	{ "closed before the end of the body, close-delimited allowed",
	  { LENGTH, "hel" },
	  SERVER_CLOSES,
	  DL_RECV_HEAD,
	  DL_FAILURE_RESET,
	  "hel" },
};

#define HELLO "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"

/* A response that must not be taken for complete. */
struct broken {
	const char *name;
	const char *writes[3];
};

/* A head that stops, and a response behind it. */
static const struct broken joined_heads[] = {
	{ "in the status line", { "HTTP/1.1 204 N" HELLO } },
	{ "in the status line, in two reads", { "HTTP/1.1 204 N", HELLO } },
	{ "in the first field", { "HTTP/1.1 201 OK\r\nDate: a" HELLO } },
	{ "in the id", { "HTTP/1.1 200 OK\r\nDate: a\r\nId: " HELLO } },
	{ "in the id, in two reads",
	  { "HTTP/1.1 200 OK\r\nDate: a\r\nId: ", HELLO } },
	{ "before the last line feed",
	  { "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r" HELLO } },
	{ "before the first line feed",
	  { "HTTP/1.1 204 No Content\r", "\r\n" HELLO } },
	{ "in an interim response", { "HTTP/1.1 100 Cont" HELLO } },
	{ "in the body of an interim response",
	  { "HTTP/1.1 100 A\r\nContent-Length: 18\r\n\r\n"
	    "HTTP/1.1 103 X\r\n\r\n" HELLO } },
	{ "in a field of an interim response",
	  { "HTTP/1.1 103 Early Hints\r\nLink: <a" HELLO } },
};

#define AFTER_STATUS "\r\nContent-Length: 5\r\n\r\nhello"

/* Heads that are none of HTTP/1.1. */
static const struct broken bad_heads[] = {
	{ "status 000", { "HTTP/1.1 000 Trouble" AFTER_STATUS } },
	{ "status 001", { "HTTP/1.1 001 Trouble" AFTER_STATUS } },
	{ "status 099", { "HTTP/1.1 099 Trouble" AFTER_STATUS } },
	{ "status 600", { "HTTP/1.1 600 Trouble" AFTER_STATUS } },
	{ "status 999", { "HTTP/1.1 999 Trouble" AFTER_STATUS } },
	{ "status 2000", { "HTTP/1.1 2000 OK" AFTER_STATUS } },
	{ "status 20", { "HTTP/1.1 20 OK" AFTER_STATUS } },
	{ "status 2x0", { "HTTP/1.1 2x0 OK" AFTER_STATUS } },
	{ "status -20", { "HTTP/1.1 -20 OK" AFTER_STATUS } },
	{ "no status", { "HTTP/1.1 OK" AFTER_STATUS } },
	{ "status 101, which nobody asked for",
	  { "HTTP/1.1 101 Switching" AFTER_STATUS } },
	{ "status 199", { "HTTP/1.1 199 Trouble" AFTER_STATUS } },
	{ "version 0.9", { "HTTP/0.9 200 OK" AFTER_STATUS } },
	{ "version 2.0", { "HTTP/2.0 200 OK" AFTER_STATUS } },
	{ "version 9.9", { "HTTP/9.9 200 OK" AFTER_STATUS } },
	{ "another protocol", { "ICAP/1.0 200 OK" AFTER_STATUS } },
	{ "blank before the first name",
	  { "HTTP/1.1 200 OK\r\n X-Folded: a" AFTER_STATUS } },
	{ "tab before the first name",
	  { "HTTP/1.1 200 OK\r\n\tX-Folded: a" AFTER_STATUS } },
	{ "blank before the first name, in two reads",
	  { "HTTP/1.1 200 OK\r\n", " X-Folded: a" AFTER_STATUS } },
	{ "a length that goes on in the next line",
	  { "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n 1\r\n\r\nhello" } },
	{ "no name", { "HTTP/1.1 200 OK\r\n: a" AFTER_STATUS } },
	{ "no colon", { "HTTP/1.1 200 OK\r\nX-Name" AFTER_STATUS } },
	{ "blank before the colon of a length",
	  { "HTTP/1.1 200 OK\r\nContent-Length : 5\r\n\r\nhello" } },
	{ "blank before the colon of a coding",
	  { "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n"
	    "5\r\nhello\r\n0\r\n\r\n" } },
	{ "length given twice",
	  { "HTTP/1.1 200 OK\r\nContent-Length: 5" AFTER_STATUS } },
	{ "length as a list",
	  { "HTTP/1.1 200 OK\r\nContent-Length: 5, 5\r\n\r\nhello" } },
	{ "length with a sign",
	  { "HTTP/1.1 200 OK\r\nContent-Length: +5\r\n\r\nhello" } },
	{ "length below 0",
	  { "HTTP/1.1 200 OK\r\nContent-Length: -5\r\n\r\nhello" } },
	{ "another coding",
	  { "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nhello" } },
	{ "another coding in chunks",
	  { "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n"
	    "5\r\nhello\r\n0\r\n\r\n" } },
	{ "chunks in another coding",
	  { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked, gzip\r\n\r\n"
	    "5\r\nhello\r\n0\r\n\r\n" } },
	{ "a coding without a name",
	  { "HTTP/1.1 200 OK\r\nTransfer-Encoding: \r\n\r\nhello" } },
	{ "length and coding",
	  { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked" AFTER_STATUS } },
};

/* A body in chunks that goes on with other bytes than due. */
static const struct broken broken_chunks[] = {
	{ "other bytes behind a chunk", { CHUNKED "5\r\nhelloab0\r\n\r\n" } },
	{ "other bytes behind a chunk, in two reads",
	  { CHUNKED "5\r\nhello", "ab0\r\n\r\n" } },
	{ "no carriage return", { CHUNKED "5\r\nhelloa\n0\r\n\r\n" } },
	{ "no line feed", { CHUNKED "5\r\nhello\ra0\r\n\r\n" } },
	{ "size too small", { CHUNKED "3\r\nhello0\r\n\r\n" } },
	{ "no line feed behind the size",
	  { CHUNKED "5\rahello\r\n0\r\n\r\n" } },
	{ "no line feed at the end", { CHUNKED "5\r\nhello\r\n0\r\n\ra" } },
};

/* Heads that are cut after each byte but the last. */
static const char *const heads[] = {
	LENGTH,
	CHUNKED,
	"HTTP/1.1 200 OK\r\nA: b\r\n\r\n",
	"HTTP/1.1 200 OK\nContent-Length: 0\n\n",
	"HTTP/1.1 204 No Content\r\n\r\n",
	"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n\r\n",
};

/* Where connections are accepted to be forwarded to ADDRESS. */
#define TUNNEL suite_address(0x4302, 7102)

static uv_loop_t loop;
static uv_tcp_t listener, servers[2], *server = servers; /* the last one */
static int accepted;
static uv_timer_t ticker;
static const struct response *response;
static int step, ended, heads_seen;
static bool asked;
static bool close_delimited;
static struct dl_attempt result;
static char body[64];
static char request[1024];

static void on_written(uv_write_t *req, int status)
{
	free(req);
}

static void on_alloc(uv_handle_t *handle, size_t n, uv_buf_t *buf)
{
	*buf = uv_buf_init(request, sizeof(request));
}

/*
 * The response begins once the request has been read: a connection that is
 * closed with bytes unread is reset.
 */
static void on_read(uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
	asked |= n > 0;
	if (n < 0 && !uv_is_closing((uv_handle_t *)stream))
		uv_close((uv_handle_t *)stream, NULL);
}

static void on_connection(uv_stream_t *stream, int status)
{
	ck_assert_int_lt(accepted, 2);
	server = &servers[accepted++];
	uv_tcp_init(&loop, server);
	ck_assert_int_eq(uv_accept(stream, (uv_stream_t *)server), 0);
	uv_read_start((uv_stream_t *)server, on_alloc, on_read);
	uv_tcp_nodelay(server, 1);
}

/* Nothing runs for this long after each write of the server. */
static uint32_t pause_ms;

/* Sends one write per tick, so that the pieces arrive separately. */
static void on_tick(uv_timer_t *timer)
{
	const char *text;

	if (!asked || step > 3 || uv_is_closing((uv_handle_t *)server))
		return;
	text = step < 3 ? response->writes[step] : NULL;
	step++;
	if (text && text[0]) {
		uv_write_t *req = malloc(sizeof(*req));
		uv_buf_t buf =
			uv_buf_init((char *)text, (unsigned)strlen(text));

		uv_write(req, (uv_stream_t *)server, &buf, 1, on_written);
		if (pause_ms)
			usleep(pause_ms * 1000);
	}
	if (step < 3 && response->writes[step])
		return;
	step = 4;
	if (response->end == SERVER_CLOSES)
		uv_close((uv_handle_t *)server, NULL);
	if (response->end == SERVER_RESETS)
		uv_tcp_close_reset(server, NULL);
}

static void on_head(void *arg, const struct dl_httpc_head *head)
{
	heads_seen++;
}

static bool on_body(void *arg, struct dl_str piece)
{
	size_t n = strlen(body);

	ck_assert_uint_lt(n + piece.n, sizeof(body));
	memcpy(body + n, piece.s, piece.n);
	return true;
}

static void on_end(void *arg, const struct dl_attempt *attempt,
		   const struct dl_err *err)
{
	result = *attempt;
	ended++;
}

static const struct dl_httpc_ops ops = { .head = on_head,
					 .body = on_body,
					 .end = on_end };

static void listen_on_address(void)
{
	struct sockaddr_in sin = { .sin_family = AF_INET };

	sin.sin_addr.s_addr = htonl((uint32_t)(ADDRESS >> 16));
	sin.sin_port = htons((uint16_t)(ADDRESS & 0xffff));
	uv_tcp_init(&loop, &listener);
	ck_assert_int_eq(uv_tcp_bind(&listener, (void *)&sin, 0), 0);
	ck_assert_int_eq(uv_listen((uv_stream_t *)&listener, 8, on_connection),
			 0);
}

/* The VM is cut off: its only way is through another one. */
static void plan_forwarded(void *arg, uint64_t endpoint,
			   struct dl_path_plan *out)
{
	*out = (struct dl_path_plan){ 0 };
}

static uint32_t list_vms(void *arg, uint64_t endpoint, uint64_t *out,
			 uint32_t max, bool *alone)
{
	out[0] = TUNNEL;
	*alone = false;
	return 1;
}

static uint64_t tunnel_address(void *arg, uint64_t vm)
{
	return vm;
}

static void ignore_direct(void *arg, uint64_t endpoint,
			  enum dl_direct_result direct)
{
}

static void ignore_forwarded(void *arg, uint64_t endpoint, uint64_t vm,
			     enum dl_forward_result forwarded)
{
}

static void ignore_undecided(void *arg, uint64_t endpoint)
{
}

static enum dl_forward_result admit(void *arg, uint64_t endpoint,
				    struct dl_str report)
{
	return DL_FORWARD_CONNECTED;
}

static uint32_t list_no_others(void *arg, uint64_t endpoint, uint64_t *out,
			       uint32_t max)
{
	return 0;
}

static void forward(struct dl_httpc *client)
{
	static const struct dl_tunnels_ops tunnels_ops = {
		.admit = admit,
		.others = list_no_others,
		.direct = ignore_direct,
	};
	static const struct dl_httpc_paths paths = {
		.plan = plan_forwarded,
		.vms = list_vms,
		.address = tunnel_address,
		.direct = ignore_direct,
		.forwarded = ignore_forwarded,
		.undecided = ignore_undecided,
	};
	struct dl_tunnels *tunnels;
	struct dl_err err;

	ck_assert_int_eq(dl_tunnels_open(&loop, TUNNEL, 4, &tunnels_ops, NULL,
					 &tunnels, &err),
			 0);
	dl_httpc_set_paths(client, &paths);
}

/*
 * Short where silence is expected. A process that gets no CPU time for that
 * long takes it for silence: 150 ms were too short at a load of 40 on 7 cores.
 */
static uint32_t idle_ms(void)
{
	if (pause_ms)
		return pause_ms / 2;
	return response && response->failure == DL_FAILURE_IDLE_TIMEOUT ? 600 :
									  3000;
}

static bool reuse;

static void run_call(struct dl_httpc *client)
{
	struct dl_httpc_req req = { .address = ADDRESS,
				    .method = DL_STR("GET"),
				    .path = DL_STR("/"),
				    .connect_ms = 1000,
				    .idle_ms = idle_ms(),
				    .close_delimited = close_delimited,
				    .reuse = reuse };

	ck_assert_ptr_nonnull(dl_httpc_start(client, &req, &ops, NULL));
	ck_assert_int_eq(ended, 0);
	for (int i = 0; i < ITERATIONS_MAX && !ended; i++)
		uv_run(&loop, UV_RUN_ONCE);
	ck_assert_int_eq(ended, 1);
}

static void setup_client(struct dl_httpc **client)
{
	uv_loop_init(&loop);
	uv_timer_init(&loop, &ticker);
	uv_timer_start(&ticker, on_tick, 5, 15);
	ck_assert_int_eq(dl_httpc_open(&loop, client), 0);
	memset(body, 0, sizeof(body));
	ended = 0;
	heads_seen = 0;
	step = 0;
	asked = false;
}

static void check_response(bool forwarded)
{
	struct dl_httpc *client;

	setup_client(&client);
	listen_on_address();
	if (forwarded)
		forward(client);
	run_call(client);
	ck_assert_msg(result.received == response->received, "%s: received %d",
		      response->name, result.received);
	ck_assert_msg(result.failure == response->failure, "%s: failure %d",
		      response->name, result.failure);
	ck_assert_msg(strcmp(body, response->body) == 0, "%s: body '%s'",
		      response->name, body);
	ck_assert_int_eq(result.sent, DL_SENT_ALL);
	ck_assert_msg(heads_seen == (result.received != DL_RECV_NOTHING),
		      "%s: %d heads", response->name, heads_seen);
	if (result.received == DL_RECV_NOTHING)
		ck_assert_uint_eq(result.status, 0);
}

/* Returns how many cuts of heads there are. */
static int count_cuts(void)
{
	size_t n = 0;

	for (size_t i = 0; i < sizeof(heads) / sizeof(heads[0]); i++)
		n += strlen(heads[i]) - 1;
	return (int)n;
}

/* Checks a head that is cut after one of its bytes and closed in order. */
static void check_cut(size_t cut, bool forwarded)
{
	static char text[128], name[200];
	static struct response r = CUT_HEAD(name, SERVER_CLOSES, text);
	const char *const *head = heads;

	for (; cut >= strlen(*head) - 1; head++)
		cut -= strlen(*head) - 1;
	memcpy(text, *head, cut + 1);
	snprintf(name, sizeof(name), "'%s', closed", text);
	response = &r;
	close_delimited = true;
	check_response(forwarded);
}

START_TEST(each_cut_of_a_head)
{
	check_cut((size_t)_i, false);
}
END_TEST

START_TEST(each_cut_of_a_head_through_another_vm)
{
	check_cut((size_t)_i, true);
}
END_TEST

START_TEST(each_response)
{
	response = &responses[_i];
	check_response(false);
}
END_TEST

START_TEST(each_response_through_another_vm)
{
	response = &responses[_i];
	check_response(true);
}
END_TEST

START_TEST(each_close_delimited_response)
{
	response = &close_delimited_responses[_i];
	close_delimited = true;
	check_response(false);
}
END_TEST

START_TEST(each_close_delimited_response_through_another_vm)
{
	response = &close_delimited_responses[_i];
	close_delimited = true;
	check_response(true);
}
END_TEST

/*
 * Guards against a process that stood still and gives up calls whose responses
 * it has not read.
 */
START_TEST(response_sent_during_a_pause_is_read)
{
	response = &responses[1]; /* complete by length, in pieces */
	pause_ms = 600;
	check_response(false);
	pause_ms = 0;
}
END_TEST

/* Listens on ADDRESS with a socket of which each step is the test's own. */
static int listen_by_hand(void)
{
	struct sockaddr_in sin = { .sin_family = AF_INET };
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0), on = 1;

	sin.sin_addr.s_addr = htonl((uint32_t)(ADDRESS >> 16));
	sin.sin_port = htons((uint16_t)(ADDRESS & 0xffff));
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	ck_assert_int_eq(bind(fd, (void *)&sin, sizeof(sin)), 0);
	ck_assert_int_eq(listen(fd, 8), 0);
	return fd;
}

/* Runs the loop until a connection is accepted; -1 if the call ends first. */
static int accept_by_hand(int fd)
{
	int conn = -1;

	for (int i = 0; i < ITERATIONS_MAX && conn < 0 && !ended; i++) {
		uv_run(&loop, UV_RUN_ONCE);
		conn = accept(fd, NULL, NULL);
	}
	return conn;
}

/* More than the sockets of both ends hold. */
#define UPLOAD_BYTES (32u << 20)
/* Fits into the client's socket, but not into the server's. */
#define UPLOAD_IN_SOCKET_BYTES (1u << 20)
#define DRAIN_MS	       50

/* What an endpoint does that answers before it has the whole request. */
struct early {
	const char *name;
	const char *text;
	size_t upload;
	bool reads;	    /* what the client has written, before it answers */
	bool resets_midway; /* as the client reads the body, before it writes */
	enum dl_received received;
};

#define UNMARKED "HTTP/1.1 200 OK\r\n\r\n"
static const struct early earlies[] = {
	{ "reset between a read and a write", UNMARKED "part", UPLOAD_BYTES,
	  true, true, DL_RECV_HEAD },
	{ "closed while the request is written", UNMARKED "part", UPLOAD_BYTES,
	  true, false, DL_RECV_HEAD },
	{ "closed while the request is in the socket", UNMARKED "part",
	  UPLOAD_IN_SOCKET_BYTES, false, false, DL_RECV_HEAD },
	{ "with a length, reset between a read and a write", LENGTH "hello",
	  UPLOAD_BYTES, true, true, DL_RECV_COMPLETE },
	{ "with a length, closed", LENGTH "hello", UPLOAD_BYTES, true, false,
	  DL_RECV_COMPLETE },
	{ "in chunks, closed", CHUNKED "5\r\nhello\r\n0\r\n\r\n", UPLOAD_BYTES,
	  true, false, DL_RECV_COMPLETE },
};

static int early_conn; /* to be reset as the client reads a body; -1: none */

static void reset_by_hand(int fd)
{
	const struct linger reset = { .l_onoff = 1 };

	setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
	close(fd);
}

static bool on_early_body(void *arg, struct dl_str piece)
{
	if (early_conn >= 0)
		reset_by_hand(early_conn);
	early_conn = -1;
	return true;
}

static const struct dl_httpc_ops early_ops = { .body = on_early_body,
					       .end = on_end };

/* Reads all that the client's socket holds, so that it can be written to. */
static void drain_by_hand(int conn)
{
	static char bytes[65536];
	struct pollfd p = { .fd = conn, .events = POLLIN };

	while (poll(&p, 1, DRAIN_MS) > 0 &&
	       read(conn, bytes, sizeof(bytes)) > 0)
		;
}

/*
 * Guards against a part of an answer that is taken for the whole of it, as its
 * endpoint ends the connection before it has the whole request: the write that
 * fails takes the error of the socket, so that the read after it finds an
 * orderly end.
 */
START_TEST(answer_before_the_whole_request)
{
	const struct early *early = &earlies[_i];
	char *upload = calloc(1, early->upload);
	struct dl_httpc_req req = { .address = ADDRESS,
				    .method = DL_STR("POST"),
				    .path = DL_STR("/"),
				    .body = { upload, early->upload },
				    .connect_ms = 1000,
				    .idle_ms = 3000,
				    .close_delimited = true };
	struct dl_httpc *client;
	int conn;

	setup_client(&client);
	conn = listen_by_hand();
	ck_assert_ptr_nonnull(dl_httpc_start(client, &req, &early_ops, NULL));
	conn = accept_by_hand(conn);
	ck_assert_int_ge(conn, 0);
	for (int i = 0; i < 3; i++)
		uv_run(&loop, UV_RUN_ONCE);
	if (early->reads)
		drain_by_hand(conn);
	ck_assert_int_eq(write(conn, early->text, strlen(early->text)),
			 strlen(early->text));
	early_conn = early->resets_midway ? conn : -1;
	if (!early->resets_midway)
		shutdown(conn, SHUT_WR);
	for (int i = 0; i < ITERATIONS_MAX && !ended; i++)
		uv_run(&loop, UV_RUN_ONCE);
	ck_assert_int_eq(ended, 1);
	ck_assert_msg(result.received == early->received, "%s: received %d",
		      early->name, result.received);
	ck_assert_msg((result.failure == DL_FAILURE_NONE) ==
			      (early->received == DL_RECV_COMPLETE),
		      "%s: failure %d", early->name, result.failure);
	free(upload);
}
END_TEST

static void start_reusing_call(struct dl_httpc *client)
{
	struct dl_httpc_req req = { .address = ADDRESS,
				    .method = DL_STR("GET"),
				    .path = DL_STR("/"),
				    .connect_ms = 1000,
				    .idle_ms = 3000,
				    .reuse = true };

	ended = 0;
	memset(body, 0, sizeof(body));
	ck_assert_ptr_nonnull(dl_httpc_start(client, &req, &ops, NULL));
}

/* Answers what comes next on a connection, and runs the loop until the end. */
static void answer_by_hand(int conn, const char *text)
{
	ck_assert_int_ge(conn, 0);
	while (read(conn, request, sizeof(request)) <= 0)
		;
	ck_assert_int_eq(write(conn, text, strlen(text)), strlen(text));
	for (int i = 0; i < ITERATIONS_MAX && !ended; i++)
		uv_run(&loop, UV_RUN_ONCE);
	ck_assert_int_eq(ended, 1);
	ck_assert_int_eq(result.failure, DL_FAILURE_NONE);
}

/*
 * Guards against a late second answer that lies on a kept connection and is
 * taken for the response to the next request.
 */
START_TEST(unread_bytes_are_no_response_to_the_next_request)
{
	struct dl_httpc *client;
	int fd, first, second;

	setup_client(&client);
	fd = listen_by_hand();
	start_reusing_call(client);
	first = accept_by_hand(fd);
	answer_by_hand(first, LENGTH "hello");
	ck_assert_int_eq(write(first, LENGTH "wrong", sizeof(LENGTH) + 4),
			 sizeof(LENGTH) + 4);
	start_reusing_call(client);
	second = accept_by_hand(fd);
	ck_assert_msg(second >= 0, "body '%s'", body);
	answer_by_hand(second, LENGTH "right");
	ck_assert_str_eq(body, "right");
	/* Its connections are not reused for a while. */
	start_reusing_call(client);
	answer_by_hand(accept_by_hand(fd), LENGTH "other");
}
END_TEST

/* Guards against a response that came before its request was sent. */
START_TEST(bytes_before_the_request_are_no_response)
{
	struct dl_httpc *client;
	int fd, conn;

	setup_client(&client);
	fd = listen_by_hand();
	start_reusing_call(client);
	/* The client's loop has not seen the connection yet. */
	while ((conn = accept(fd, NULL, NULL)) < 0)
		;
	ck_assert_int_eq(write(conn, LENGTH "wrong", sizeof(LENGTH) + 4),
			 sizeof(LENGTH) + 4);
	for (int i = 0; i < ITERATIONS_MAX && !ended; i++)
		uv_run(&loop, UV_RUN_ONCE);
	ck_assert_int_eq(ended, 1);
	ck_assert_str_eq(body, "");
	ck_assert_int_eq(result.sent, DL_SENT_NOTHING);
	ck_assert_int_eq(result.failure, DL_FAILURE_RESET);
}
END_TEST

/* The same through another VM, which cannot tell the client of them in time. */
START_TEST(bytes_before_the_request_are_not_forwarded)
{
	struct dl_httpc *client;
	int fd, conn;

	setup_client(&client);
	forward(client);
	fd = listen_by_hand();
	start_reusing_call(client);
	conn = accept_by_hand(fd);
	ck_assert_int_ge(conn, 0);
	ck_assert_int_eq(write(conn, LENGTH "wrong", sizeof(LENGTH) + 4),
			 sizeof(LENGTH) + 4);
	for (int i = 0; i < ITERATIONS_MAX && !ended; i++)
		uv_run(&loop, UV_RUN_ONCE);
	ck_assert_int_eq(ended, 1);
	ck_assert_str_eq(body, "");
	ck_assert_int_eq(result.failure, DL_FAILURE_RESET);
}
END_TEST

/* Runs a call whose response must not be taken for complete. */
static void check_broken(const struct broken *broken)
{
	static struct response sent;
	struct dl_httpc *client;

	sent.name = broken->name;
	sent.end = SERVER_CLOSES;
	memcpy(sent.writes, broken->writes, sizeof(sent.writes));
	response = &sent;
	setup_client(&client);
	listen_on_address();
	run_call(client);
	ck_assert_msg(result.failure != DL_FAILURE_NONE &&
			      result.received != DL_RECV_COMPLETE,
		      "%s: failure %d, received %d, body '%s'", broken->name,
		      result.failure, result.received, body);
}

/*
 * An answer that stops in its head, followed by another on its connection, was
 * read on to the next empty line: the status and the first fields of one, and
 * the other's body.
 */
START_TEST(two_heads_are_not_read_as_one)
{
	check_broken(&joined_heads[_i]);
	ck_assert_msg(result.received == DL_RECV_NOTHING && body[0] == 0,
		      "%s: received %d, body '%s'", joined_heads[_i].name,
		      result.received, body);
}
END_TEST

/* A head in trouble must not be passed on as an answer. */
START_TEST(bad_head_is_no_answer)
{
	check_broken(&bad_heads[_i]);
	ck_assert_msg(heads_seen == 0 && result.received == DL_RECV_NOTHING,
		      "%s: received %d, status %u", bad_heads[_i].name,
		      result.received, result.status);
}
END_TEST

/* Bytes that no name of a field holds, and no value. */
static bool is_no_name(int c)
{
	return c <= ' ' || c >= 0x7f || strchr("\"(),/;<=>?@[\\]{}", c);
}

static bool is_no_value(int c)
{
	return (c < ' ' && c != '\t' && c != '\n') || c == 0x7f;
}

/* Writes a byte by hand into the head of an answer; the test goes on. */
static void check_byte(const char *before, int byte, const char *after)
{
	struct dl_httpc *client;
	int fd, conn;

	setup_client(&client);
	fd = listen_by_hand();
	start_reusing_call(client);
	conn = accept_by_hand(fd);
	ck_assert_int_ge(conn, 0);
	while (read(conn, request, sizeof(request)) <= 0)
		;
	snprintf(request, sizeof(request), "%s%c%s", before, byte, after);
	ck_assert_int_gt(
		write(conn, request, strlen(before) + 1 + strlen(after)), 0);
	close(conn);
	for (int i = 0; i < ITERATIONS_MAX && !ended; i++)
		uv_run(&loop, UV_RUN_ONCE);
	ck_assert_int_eq(ended, 1);
	ck_assert_msg(heads_seen == 0 && result.received == DL_RECV_NOTHING,
		      "byte 0x%02x: received %d, body '%s'", (unsigned)byte,
		      result.received, body);
}

START_TEST(byte_in_a_name_makes_the_answer_none)
{
	if (is_no_name(_i))
		check_byte("HTTP/1.1 200 OK\r\nX-Na", _i, "me: a" AFTER_STATUS);
}
END_TEST

START_TEST(byte_in_a_value_makes_the_answer_none)
{
	if (is_no_value(_i))
		check_byte("HTTP/1.1 200 OK\r\nX-Name: a", _i,
			   "b" AFTER_STATUS);
}
END_TEST

/* A body in chunks found its way again in other bytes. */
START_TEST(chunk_not_followed_by_line_end_breaks_response)
{
	check_broken(&broken_chunks[_i]);
}
END_TEST

START_TEST(coding_given_twice_breaks_response)
{
	static const struct broken twice = {
		"coding given twice",
		{ "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
		  "Transfer-Encoding: chunked\r\n\r\n"
		  "5\r\nhello\r\n0\r\n\r\n" }
	};

	check_broken(&twice);
}
END_TEST

/*
 * A second answer to the last request lies on its connection, unread, as the
 * next request is sent: another connection is used.
 */
START_TEST(bytes_of_last_response_are_not_read_as_next)
{
	static const char stale[] = LENGTH "stale";
	uv_buf_t buf = uv_buf_init((char *)stale, sizeof(stale) - 1);
	struct dl_httpc *client;

	response = &responses[1]; /* complete by length; it is kept */
	reuse = true;
	setup_client(&client);
	listen_on_address();
	run_call(client);
	ck_assert_str_eq(body, "hello");
	ck_assert_int_eq(uv_try_write((uv_stream_t *)server, &buf, 1),
			 sizeof(stale) - 1);
	memset(body, 0, sizeof(body));
	ended = step = 0;
	asked = false;
	run_call(client);
	ck_assert_str_eq(body, "hello");
	ck_assert_int_eq(result.failure, DL_FAILURE_NONE);
	ck_assert_int_eq(accepted, 2);
}
END_TEST

START_TEST(connection_refused)
{
	struct dl_httpc *client;

	setup_client(&client);
	run_call(client);
	ck_assert_int_eq(result.sent, DL_SENT_NOTHING);
	ck_assert_int_eq(result.failure, DL_FAILURE_CONNECT);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("httpc");
	TCase *t = tcase_create("httpc");

	suite_add_tcase(s, t);
	tcase_set_timeout(t, 60);
	tcase_add_loop_test(t, each_response, 0,
			    (int)(sizeof(responses) / sizeof(responses[0])));
	tcase_add_loop_test(t, each_close_delimited_response, 0,
			    sizeof(close_delimited_responses) /
				    sizeof(close_delimited_responses[0]));
	tcase_add_loop_test(t, each_response_through_another_vm, 0,
			    (int)(sizeof(responses) / sizeof(responses[0])));
	tcase_add_loop_test(t, each_close_delimited_response_through_another_vm,
			    0,
			    sizeof(close_delimited_responses) /
				    sizeof(close_delimited_responses[0]));
	tcase_add_loop_test(t, each_cut_of_a_head, 0, count_cuts());
	tcase_add_loop_test(t, each_cut_of_a_head_through_another_vm, 0,
			    count_cuts());
	tcase_add_loop_test(t, answer_before_the_whole_request, 0,
			    (int)(sizeof(earlies) / sizeof(earlies[0])));
	tcase_add_test(t, response_sent_during_a_pause_is_read);
	tcase_add_test(t, unread_bytes_are_no_response_to_the_next_request);
	tcase_add_test(t, bytes_before_the_request_are_no_response);
	tcase_add_test(t, bytes_before_the_request_are_not_forwarded);
	tcase_add_loop_test(
		t, two_heads_are_not_read_as_one, 0,
		(int)(sizeof(joined_heads) / sizeof(joined_heads[0])));
	tcase_add_loop_test(t, bad_head_is_no_answer, 0,
			    (int)(sizeof(bad_heads) / sizeof(bad_heads[0])));
	tcase_add_loop_test(t, byte_in_a_name_makes_the_answer_none, 0, 256);
	tcase_add_loop_test(t, byte_in_a_value_makes_the_answer_none, 0, 256);
	tcase_add_loop_test(
		t, chunk_not_followed_by_line_end_breaks_response, 0,
		(int)(sizeof(broken_chunks) / sizeof(broken_chunks[0])));
	tcase_add_test(t, coding_given_twice_breaks_response);
	tcase_add_test(t, bytes_of_last_response_are_not_read_as_next);
	tcase_add_test(t, connection_refused);
	return suite_run(s);
}
