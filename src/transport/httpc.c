/*
 * Calls over HTTP/1.1, each alone on its connection while it lasts.  How an
 * answer ended is told exactly: in order, by its own framing, by a close where
 * it has none, or broken.  A connection is kept for another call only where its
 * answer ended by its framing, with nothing behind it.
 */
#include "transport/httpc.h"

#include <arpa/inet.h>
#include <errno.h>
#include <glib.h>
#include <http_parser.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#define HOST_TEXT_MAX 24
#define HEADERS_MAX   100
#define HEAD_MAX      65536
#define PORT_BITS     16
#define PORT_MASK     0xffff
#define READ_MAX      65536
#define MS_PER_S      1000
/*
 * How far a kept connection is trusted.  Endpoints close idle ones without a
 * word, at times sooner than they say; a request that is sent on such a one is
 * lost, and a new connection costs a millisecond.
 */
#define POOL_IDLE_MS	  1500
#define POOL_AGE_MS	  60000
#define POOL_REQUESTS_MAX 1000
/* What an endpoint announces, less the time on the way. */
#define KEEP_ALIVE_MARGIN_MS 500
#define POOL_CONNS_MAX	     256
#define POOL_SWEEP_MS	     500

/* One connection, in a call or kept. */
struct conn {
	uv_tcp_t tcp; /* first */
	uv_connect_t connect;
	uv_write_t write;
	http_parser parser;
	struct dl_httpc *client;
	struct dl_httpc_call *call; /* NULL while it is kept, or closing */
	struct conn *next;	    /* of those kept */
	uint64_t address;
	struct dl_conn_usage usage;
	uint32_t idle_ms; /* how long it may be kept idle */
	bool writing;
	bool closing;
	bool response_ended; /* the answer has ended */
};

struct dl_httpc {
	uv_loop_t *loop;
	uv_timer_t sweep;
	struct conn *pool;
	uint32_t pool_count;
	char buf[READ_MAX];
};

struct dl_httpc_call {
	struct dl_httpc *client;
	struct conn *conn; /* NULL once it is closed or kept again */
	uv_timer_t timer;
	const struct dl_httpc_ops *ops;
	void *arg;
	struct dl_attempt attempt;
	struct dl_err err;
	uint64_t address;
	uint32_t idle_ms, head_ms;
	char *head; /* request line and headers */
	size_t head_n;
	struct dl_str body;
	bool is_head_method;
	bool close_delimited;
	bool reuse;
	bool framed; /* the answer tells its own length */
	bool paused;
	bool ended; /* end() is due at the next timer */

	/* the head of the answer as it comes */
	GString *header_text;
	struct {
		size_t name, name_n, value, value_n;
	} field[HEADERS_MAX];
	uint32_t fields;
	bool in_value;
};

static int on_field(http_parser *parser, const char *at, size_t n);
static int on_value(http_parser *parser, const char *at, size_t n);
static int on_headers(http_parser *parser);
static int on_body(http_parser *parser, const char *at, size_t n);
static int on_message_complete(http_parser *parser);
static int on_message_begin(http_parser *parser);
static void on_connected(uv_connect_t *req, int status);
static void on_read(uv_stream_t *stream, ssize_t n, const uv_buf_t *buf);
static void on_timer(uv_timer_t *timer);
static void on_sweep(uv_timer_t *timer);

static const http_parser_settings parser_settings = {
	.on_message_begin = on_message_begin,
	.on_header_field = on_field,
	.on_header_value = on_value,
	.on_headers_complete = on_headers,
	.on_body = on_body,
	.on_message_complete = on_message_complete,
};

static const struct dl_conn_limits pool_limits = {
	.age_ms = POOL_AGE_MS,
	.idle_ms = POOL_IDLE_MS,
	.requests = POOL_REQUESTS_MAX,
};

static int64_t client_now(const struct dl_httpc *client)
{
	return (int64_t)uv_now(client->loop);
}

/* The client of a loop; it keeps some connections between its calls. */
int dl_httpc_open(uv_loop_t *loop, struct dl_httpc **out)
{
	struct dl_httpc *client = calloc(1, sizeof(*client));

	if (!client)
		return -ENOMEM;
	client->loop = loop;
	uv_timer_init(loop, &client->sweep);
	uv_unref((uv_handle_t *)&client->sweep);
	client->sweep.data = client;
	uv_timer_start(&client->sweep, on_sweep, POOL_SWEEP_MS, POOL_SWEEP_MS);
	*out = client;
	return 0;
}

static void on_conn_closed(uv_handle_t *handle)
{
	free(handle);
}

static void conn_close(struct conn *conn)
{
	if (conn->closing)
		return;
	conn->closing = true;
	conn->call = NULL;
	uv_close((uv_handle_t *)&conn->tcp, on_conn_closed);
}

/* Take a connection out of those kept. */
static void pool_remove(struct conn *conn)
{
	struct dl_httpc *client = conn->client;
	struct conn **at = &client->pool;

	while (*at && *at != conn)
		at = &(*at)->next;
	if (!*at)
		return;
	*at = conn->next;
	client->pool_count--;
}

/* Close what has been kept for long enough. */
static void on_sweep(uv_timer_t *timer)
{
	struct dl_httpc *client = timer->data;
	struct conn *conn, *next;

	for (conn = client->pool; conn; conn = next) {
		next = conn->next;
		if (client_now(client) - conn->usage.last_read <
		    (int64_t)conn->idle_ms)
			continue;
		pool_remove(conn);
		conn_close(conn);
	}
}

static void on_client_closed(uv_handle_t *handle)
{
	free(handle->data);
}

/* Every call must have ended or been cancelled before. */
void dl_httpc_close(struct dl_httpc *client)
{
	while (client->pool) {
		struct conn *conn = client->pool;

		pool_remove(conn);
		conn_close(conn);
	}
	uv_close((uv_handle_t *)&client->sweep, on_client_closed);
}

static void on_call_closed(uv_handle_t *handle)
{
	struct dl_httpc_call *call = handle->data;

	if (call->header_text)
		g_string_free(call->header_text, TRUE);
	free(call->head);
	free(call);
}

static void call_free(struct dl_httpc_call *call)
{
	if (call->conn)
		conn_close(call->conn);
	call->conn = NULL;
	uv_close((uv_handle_t *)&call->timer, on_call_closed);
}

static void start_timeout(struct dl_httpc_call *call, uint32_t ms)
{
	if (!call->ended)
		uv_timer_start(&call->timer, on_timer, ms, 0);
}

/* Note how the call ended; the owner is told from the loop. */
static void schedule_end(struct dl_httpc_call *call, enum dl_failure failure,
			 enum dl_step step, const char *why)
{
	char peer[HOST_TEXT_MAX];

	if (call->ended)
		return;
	if (call->conn)
		conn_close(call->conn);
	call->conn = NULL;
	call->attempt.failure = failure;
	if (failure != DL_FAILURE_NONE)
		dl_err_set(&call->err, -EIO, step,
			   dl_vm_text(call->address, peer), "%s", why);
	start_timeout(call, 0);
	call->ended = true;
}

static enum dl_step current_step(const struct dl_httpc_call *call)
{
	if (call->attempt.sent == DL_SENT_NOTHING)
		return DL_STEP_CONNECT;
	if (call->attempt.received == DL_RECV_NOTHING)
		return DL_STEP_HEAD;
	return DL_STEP_BODY;
}

static void on_timer(uv_timer_t *timer)
{
	struct dl_httpc_call *call = timer->data;
	enum dl_step step = current_step(call);

	if (call->ended) {
		if (call->ops->end)
			call->ops->end(call->arg, &call->attempt, &call->err);
		call_free(call);
		return;
	}
	if (call->paused)
		return;
	schedule_end(call,
		     step == DL_STEP_CONNECT ? DL_FAILURE_CONNECT :
					       DL_FAILURE_IDLE_TIMEOUT,
		     step, "no byte in the time allowed");
}

static struct dl_httpc_call *call_of(http_parser *parser)
{
	return ((struct conn *)parser->data)->call;
}

static int on_message_begin(http_parser *parser)
{
	struct dl_httpc_call *call = call_of(parser);

	if (!call)
		return 1;
	g_string_truncate(call->header_text, 0);
	call->fields = 0;
	call->in_value = false;
	return 0;
}

/* Names and values may come in pieces. */
static int on_field(http_parser *parser, const char *at, size_t n)
{
	struct dl_httpc_call *call = call_of(parser);

	if (!call || call->header_text->len + n > HEAD_MAX)
		return 1;
	if (call->fields == 0 || call->in_value) {
		if (call->fields == HEADERS_MAX)
			return 1;
		call->field[call->fields].name = call->header_text->len;
		call->field[call->fields].name_n = 0;
		call->field[call->fields].value_n = 0;
		call->fields++;
		call->in_value = false;
	}
	g_string_append_len(call->header_text, at, (gssize)n);
	call->field[call->fields - 1].name_n += n;
	return 0;
}

static int on_value(http_parser *parser, const char *at, size_t n)
{
	struct dl_httpc_call *call = call_of(parser);

	if (!call || call->fields == 0 || call->header_text->len + n > HEAD_MAX)
		return 1;
	if (!call->in_value)
		call->field[call->fields - 1].value = call->header_text->len;
	call->in_value = true;
	g_string_append_len(call->header_text, at, (gssize)n);
	call->field[call->fields - 1].value_n += n;
	return 0;
}

/* "timeout=N": how long the endpoint keeps the connection, in seconds. */
static void read_keep_alive(struct conn *conn, struct dl_str value)
{
	const char *at = memmem(value.s, value.n, "timeout=", 8);
	struct dl_str digits = { at ? at + 8 : NULL, 0 };
	uint64_t s;

	if (!at)
		return;
	while (digits.s + digits.n < value.s + value.n &&
	       g_ascii_isdigit(digits.s[digits.n]))
		digits.n++;
	if (!dl_str_to_u64(digits, &s))
		return;
	conn->idle_ms =
		s * MS_PER_S > KEEP_ALIVE_MARGIN_MS ?
			(uint32_t)MIN(s * MS_PER_S - KEEP_ALIVE_MARGIN_MS,
				      POOL_IDLE_MS) :
			0;
}

/* Views of the headers, and what they say to this client. */
static size_t read_headers(struct dl_httpc_call *call, struct dl_header *out)
{
	for (uint32_t i = 0; i < call->fields; i++) {
		const char *text = call->header_text->str;

		out[i].name = (struct dl_str){ text + call->field[i].name,
					       call->field[i].name_n };
		out[i].value = (struct dl_str){ text + call->field[i].value,
						call->field[i].value_n };
		if (dl_header_is(out[i].name, "content-length") ||
		    dl_header_is(out[i].name, "transfer-encoding"))
			call->framed = true;
		if (dl_header_is(out[i].name, "daisyledge-not-run"))
			call->attempt.received = DL_RECV_NOT_RUN;
		if (dl_header_is(out[i].name, "keep-alive"))
			read_keep_alive(call->conn, out[i].value);
	}
	return call->fields;
}

static int on_headers(http_parser *parser)
{
	struct dl_httpc_call *call = call_of(parser);
	struct dl_header views[HEADERS_MAX];
	struct dl_httpc_head head;
	bool no_body;

	if (!call)
		return -1;
	if (parser->status_code < 200)
		return 0; /* the answer itself is still to come */
	no_body = call->is_head_method || parser->status_code == 204 ||
		  parser->status_code == 304;
	call->attempt.received = DL_RECV_HEAD;
	call->attempt.status = (uint16_t)parser->status_code;
	head.status = call->attempt.status;
	head.headers = views;
	head.headers_count = read_headers(call, views);
	if (no_body)
		call->framed = true;
	start_timeout(call, call->idle_ms);
	if (call->ops->head)
		call->ops->head(call->arg, &head);
	return no_body ? 1 : 0;
}

static int on_body(http_parser *parser, const char *at, size_t n)
{
	struct dl_httpc_call *call = call_of(parser);
	struct dl_str piece = { at, n };

	if (!call)
		return 1;
	start_timeout(call, call->idle_ms);
	if (call->ops->body && !call->ops->body(call->arg, piece) &&
	    call_of(parser))
		call->paused = true;
	return call_of(parser) ? 0 : 1;
}

static int on_message_complete(http_parser *parser)
{
	struct conn *conn = parser->data;

	if (!conn->call)
		return 1;
	if (parser->status_code < 200)
		return 0;
	conn->response_ended = true;
	http_parser_pause(parser, 1);
	return 0;
}

/* Keep a connection for another call. */
static void pool_add(struct conn *conn)
{
	struct dl_httpc *client = conn->client;

	conn->call->conn = NULL;
	conn->call = NULL;
	conn->usage.requests++;
	conn->usage.last_read = client_now(client);
	conn->next = client->pool;
	client->pool = conn;
	client->pool_count++;
}

/* The answer has ended in order; more: bytes came behind it. */
static void end_complete(struct dl_httpc_call *call, bool trailing_data)
{
	struct conn *conn = call->conn;

	if (!call->framed && !call->close_delimited) {
		schedule_end(call, DL_FAILURE_BAD_RESPONSE, DL_STEP_BODY,
			     "the answer does not tell its length");
		return;
	}
	if (call->attempt.received != DL_RECV_NOT_RUN)
		call->attempt.received = DL_RECV_COMPLETE;
	if (call->reuse && call->framed && !trailing_data && !conn->writing &&
	    conn->idle_ms && conn->client->pool_count < POOL_CONNS_MAX &&
	    http_should_keep_alive(&conn->parser))
		pool_add(conn);
	schedule_end(call, DL_FAILURE_NONE, DL_STEP_NONE, "");
}

/*
 * Whether a connection that the loop says has ended was reset.  libuv tells an
 * end in order also where bytes and a reset arrive in one turn; the error then
 * still stands at the socket.
 */
static bool was_reset(struct conn *conn)
{
	socklen_t n = sizeof(int);
	int err = 0;
	uv_os_fd_t fd;

	if (uv_fileno((uv_handle_t *)&conn->tcp, &fd) ||
	    getsockopt(fd, SOL_SOCKET, SO_ERROR, &err, &n))
		return true;
	return err != 0;
}

/* The connection ended: in order where err is UV_EOF. */
static void on_conn_end(struct conn *conn, int err)
{
	struct dl_httpc_call *call = conn->call;

	if (!call) {
		pool_remove(conn);
		conn_close(conn);
		return;
	}
	if (err == UV_EOF && call->attempt.received != DL_RECV_NOTHING &&
	    !call->framed && !was_reset(conn)) {
		end_complete(call, false);
		return;
	}
	schedule_end(call, DL_FAILURE_RESET, current_step(call),
		     uv_strerror(err));
}

static void on_alloc(uv_handle_t *handle, size_t n, uv_buf_t *buf)
{
	struct conn *conn = (struct conn *)handle;

	*buf = uv_buf_init(conn->client->buf, READ_MAX);
}

static void on_read(uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
	struct conn *conn = (struct conn *)stream;
	struct dl_httpc_call *call = conn->call;
	size_t used;

	if (n == 0 || conn->closing)
		return;
	if (n < 0) {
		on_conn_end(conn, (int)n);
		return;
	}
	if (!call) {
		/* Bytes that answer nobody: nothing more is trusted here. */
		pool_remove(conn);
		conn_close(conn);
		return;
	}
	conn->usage.last_read = client_now(conn->client);
	used = http_parser_execute(&conn->parser, &parser_settings, buf->base,
				   (size_t)n);
	if (!conn->call)
		return; /* cancelled on the way */
	if (conn->response_ended)
		end_complete(call, used < (size_t)n);
	else if (HTTP_PARSER_ERRNO(&conn->parser) != HPE_OK)
		schedule_end(call, DL_FAILURE_RESET, current_step(call),
			     http_errno_description(
				     HTTP_PARSER_ERRNO(&conn->parser)));
	else if (call->paused)
		uv_read_stop(stream);
}

static void on_written(uv_write_t *req, int status)
{
	struct conn *conn = req->data;

	conn->writing = false;
	if (status && !conn->closing && conn->call &&
	    conn->call->attempt.received == DL_RECV_NOTHING)
		schedule_end(conn->call, DL_FAILURE_RESET, DL_STEP_SEND,
			     uv_strerror(status));
}

/* Send the request on a connection that stands. */
static void send_request(struct dl_httpc_call *call)
{
	struct conn *conn = call->conn;
	uv_buf_t bufs[2] = {
		uv_buf_init(call->head, (unsigned)call->head_n),
		uv_buf_init((char *)call->body.s, (unsigned)call->body.n),
	};

	if (call->ops->connected && !call->ops->connected(call->arg)) {
		schedule_end(call, DL_FAILURE_CONNECT, DL_STEP_SEND,
			     "given up before it was sent");
		return;
	}
	http_parser_init(&conn->parser, HTTP_RESPONSE);
	conn->parser.data = conn;
	conn->response_ended = false;
	conn->idle_ms = POOL_IDLE_MS;
	conn->write.data = conn;
	call->attempt.sent = DL_SENT_ALL;
	conn->writing = true;
	if (uv_write(&conn->write, (uv_stream_t *)&conn->tcp, bufs,
		     call->body.n ? 2 : 1, on_written)) {
		conn->writing = false;
		schedule_end(call, DL_FAILURE_RESET, DL_STEP_SEND,
			     "cannot write");
		return;
	}
	start_timeout(call, call->head_ms);
}

static void on_connected(uv_connect_t *req, int status)
{
	struct conn *conn = req->data;

	if (conn->closing || !conn->call)
		return;
	if (status) {
		struct dl_httpc_call *call = conn->call;

		schedule_end(call, DL_FAILURE_CONNECT, DL_STEP_CONNECT,
			     uv_strerror(status));
		call->err.code = status;
		return;
	}
	uv_tcp_nodelay(&conn->tcp, 1);
	conn->usage.opened = conn->usage.last_read = client_now(conn->client);
	uv_read_start((uv_stream_t *)&conn->tcp, on_alloc, on_read);
	send_request(conn->call);
}

/* A kept connection to an endpoint that may be trusted, or NULL. */
static struct conn *pool_take(struct dl_httpc *client, uint64_t to)
{
	struct conn *conn;

	for (conn = client->pool; conn; conn = conn->next) {
		struct dl_conn_limits limits = pool_limits;

		limits.idle_ms = conn->idle_ms;
		if (conn->address == to &&
		    dl_conn_usable(&limits, &conn->usage, true,
				   client_now(client))) {
			pool_remove(conn);
			return conn;
		}
	}
	return NULL;
}

static int connect_to(struct dl_httpc_call *call)
{
	struct sockaddr_in sin = { .sin_family = AF_INET };
	struct conn *conn = calloc(1, sizeof(*conn));
	int rc;

	if (!conn)
		return -ENOMEM;
	conn->client = call->client;
	conn->address = call->address;
	conn->call = call;
	call->conn = conn;
	uv_tcp_init(call->client->loop, &conn->tcp);
	sin.sin_addr.s_addr = htonl((uint32_t)(call->address >> PORT_BITS));
	sin.sin_port = htons((uint16_t)(call->address & PORT_MASK));
	conn->connect.data = conn;
	rc = uv_tcp_connect(&conn->connect, &conn->tcp, (void *)&sin,
			    on_connected);
	if (rc)
		schedule_end(call, DL_FAILURE_CONNECT, DL_STEP_CONNECT,
			     uv_strerror(rc));
	return 0;
}

/* Go on reading after body() returned false. */
void dl_httpc_resume(struct dl_httpc_call *call)
{
	if (!call->paused)
		return;
	call->paused = false;
	if (!call->conn || call->ended)
		return;
	start_timeout(call, call->idle_ms);
	uv_read_start((uv_stream_t *)&call->conn->tcp, on_alloc, on_read);
}

/* Change the bound on silence; it counts from the next byte on. */
void dl_httpc_set_idle_timeout(struct dl_httpc_call *call, uint32_t idle_ms)
{
	call->idle_ms = idle_ms;
}

/* What was sent and received so far. */
struct dl_attempt dl_httpc_progress(const struct dl_httpc_call *call)
{
	return call->attempt;
}

static size_t request_head_size(const struct dl_httpc_req *req)
{
	size_t n = req->method.n + req->path.n + req->host.n +
		   req->body_prefix.n + 256;

	for (size_t i = 0; i < req->headers_count; i++)
		n += req->headers[i].name.n + req->headers[i].value.n + 4;
	return n;
}

static void append(struct dl_httpc_call *call, struct dl_str s)
{
	if (s.n)
		memcpy(call->head + call->head_n, s.s, s.n);
	call->head_n += s.n;
}

/* Write the request line and the headers. */
static bool build_request_head(struct dl_httpc_call *call,
			       const struct dl_httpc_req *req)
{
	char line[96], host[HOST_TEXT_MAX];

	call->head = malloc(request_head_size(req));
	if (!call->head)
		return false;
	append(call, req->method);
	append(call, DL_STR(" "));
	append(call, req->path);
	append(call, DL_STR(" HTTP/1.1\r\nHost: "));
	append(call, req->host.n ? req->host :
				   dl_str_of(dl_vm_text(req->address, host)));
	append(call, DL_STR("\r\n"));
	if (!req->reuse)
		append(call, DL_STR("Connection: close\r\n"));
	for (size_t i = 0; i < req->headers_count; i++) {
		append(call, req->headers[i].name);
		append(call, DL_STR(": "));
		append(call, req->headers[i].value);
		append(call, DL_STR("\r\n"));
	}
	snprintf(line, sizeof(line), "Content-Length: %zu\r\n\r\n",
		 req->body_prefix.n + req->body.n);
	append(call, dl_str_of(line));
	append(call, req->body_prefix);
	call->body = req->body;
	return true;
}

/* Start a call; NULL only where memory runs out. */
struct dl_httpc_call *dl_httpc_start(struct dl_httpc *client,
				     const struct dl_httpc_req *req,
				     const struct dl_httpc_ops *ops, void *arg)
{
	struct dl_httpc_call *call = calloc(1, sizeof(*call));

	if (!call)
		return NULL;
	call->client = client;
	call->ops = ops;
	call->arg = arg;
	call->address = req->address;
	call->idle_ms = req->idle_ms;
	call->head_ms = req->head_ms ? req->head_ms : req->idle_ms;
	call->close_delimited = req->close_delimited;
	call->reuse = req->reuse;
	call->is_head_method = dl_str_eq(req->method, DL_STR("HEAD"));
	call->header_text = g_string_new(NULL);
	uv_timer_init(client->loop, &call->timer);
	call->timer.data = call;
	uv_update_time(client->loop);
	start_timeout(call, req->connect_ms);
	if (!build_request_head(call, req)) {
		call_free(call);
		return NULL;
	}
	call->conn = req->reuse ? pool_take(client, req->address) : NULL;
	if (call->conn) {
		call->conn->call = call;
		send_request(call);
	} else if (connect_to(call)) {
		call_free(call);
		return NULL;
	}
	return call;
}

/* Close the connection now; no callback follows. */
void dl_httpc_cancel(struct dl_httpc_call *call)
{
	call_free(call);
}
