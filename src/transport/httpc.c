/*
 * HTTP/1.1 client, one call at a time on a connection (no pipelining).  The
 * client distinguishes a response that ended by its own framing, one delimited
 * by an orderly close, and one that was cut short.  A connection is returned to
 * the pool only if its response ended by its framing with no bytes after it.
 */
#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "base/metric.h"
#include "transport/httpc_int.h"
#include "transport/sock.h"

#define HOST_TEXT_MAX 24
#define HEAD_MAX      65536 /* names and values of a response's headers */
#define MS_PER_S      1000
#define INTERIM_MAX   16 /* interim responses before a final one */
/* Subtracted from the timeout that an endpoint announces: transit time. */
#define KEEP_ALIVE_MARGIN_MS 500
#define POOL_SWEEP_MS	     500
#define UNREAD_COUNTED	     512 /* bytes */

static int on_field(http_parser *parser, const char *at, size_t n);
static int on_value(http_parser *parser, const char *at, size_t n);
static int on_headers(http_parser *parser);
static int on_body(http_parser *parser, const char *at, size_t n);
static int on_message_complete(http_parser *parser);
static int on_message_begin(http_parser *parser);
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

/* Creates the HTTP client of a loop, with its pool of idle connections. */
int dl_httpc_open(uv_loop_t *loop, struct dl_httpc **out)
{
	struct dl_httpc *client = calloc(1, sizeof(*client));

	if (!client)
		return -ENOMEM;
	client->loop = loop;
	client->stray = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					      g_free, g_free);
	uv_timer_init(loop, &client->sweep);
	uv_unref((uv_handle_t *)&client->sweep);
	client->sweep.data = client;
	uv_timer_start(&client->sweep, on_sweep, POOL_SWEEP_MS, POOL_SWEEP_MS);
	*out = client;
	return 0;
}

/* Uses these paths from now on. */
void dl_httpc_set_paths(struct dl_httpc *client,
			const struct dl_httpc_paths *paths)
{
	client->paths = *paths;
	client->has_paths = true;
}

static void on_sweep(uv_timer_t *timer)
{
	httpc_pool_sweep(timer->data);
}

static void on_client_closed(uv_handle_t *handle)
{
	free(handle->data);
}

/*
 * Closes the pooled connections and frees the client once the loop has run.
 * Every call must have ended or been cancelled before.
 */
void dl_httpc_close(struct dl_httpc *client)
{
	httpc_pool_close(client);
	g_hash_table_destroy(client->stray);
	uv_close((uv_handle_t *)&client->sweep, on_client_closed);
}

static void on_call_closed(uv_handle_t *handle)
{
	struct dl_httpc_call *call = handle->data;

	if (call->header_text)
		g_string_free(call->header_text, TRUE);
	g_array_free(call->fields, TRUE);
	free(call->head);
	free(call);
}

/* Whether the peer may still be at work on the request. */
static bool is_under_way(const struct dl_httpc_call *call)
{
	return call->attempt.sent != DL_SENT_NOTHING && call->conn &&
	       !call->conn->response_ended;
}

/* Closes the call's connection; a request under way is given up. */
static void close_conn(struct dl_httpc_call *call)
{
	if (call->conn)
		httpc_conn_close(call->conn, is_under_way(call));
	call->conn = NULL;
	httpc_connect_cancel(call);
}

static void call_free(struct dl_httpc_call *call)
{
	close_conn(call);
	uv_close((uv_handle_t *)&call->timer, on_call_closed);
}

/* Returns the time that is left to a call, ms; UINT32_MAX: no limit. */
static uint32_t time_left(const struct dl_httpc_call *call)
{
	uint64_t now = uv_now(call->client->loop);

	if (call->ends_at == UINT64_MAX)
		return UINT32_MAX;
	return call->ends_at > now ? (uint32_t)(call->ends_at - now) : 0;
}

/* Starts the timer of a call that has not ended, ms. */
void httpc_call_timer(struct dl_httpc_call *call, uint32_t ms)
{
	ms = MIN(ms, time_left(call));
	if (!call->ended)
		dl_timer_once(&call->timer, on_timer, ms, &call->due);
}

/*
 * Records how the call ended.  end() is called from the loop, so that it never
 * runs inside a function that the owner of the call has called.
 */
static void schedule_end(struct dl_httpc_call *call, enum dl_failure failure,
			 enum dl_step step, const char *why)
{
	char peer[HOST_TEXT_MAX];

	if (call->ended)
		return;
	close_conn(call);
	call->attempt.failure = failure;
	if (failure != DL_FAILURE_NONE)
		dl_err_set(&call->err, -EIO, step,
			   dl_vm_text(call->address, peer), "%s", why);
	httpc_call_timer(call, 0);
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

/* Whether the owner of a call wants to go on waiting for the response. */
static bool waits_longer(struct dl_httpc_call *call)
{
	uint32_t ms = 0;

	if (call->attempt.sent != DL_SENT_NOTHING && call->ops->idle)
		ms = call->ops->idle(call->arg);
	if (ms)
		httpc_call_timer(call, ms);
	return ms != 0;
}

static void on_timer(uv_timer_t *timer)
{
	struct dl_httpc_call *call = timer->data;

	if (call->ended) {
		if (call->ops->end)
			call->ops->end(call->arg, &call->attempt, &call->err);
		call_free(call);
		return;
	}
	if (dl_timer_put_off(timer, on_timer, &call->due))
		return;
	if (call->connecting) {
		httpc_connect_timer(call);
		return;
	}
	if (call->paused || (time_left(call) && waits_longer(call)))
		return;
	dl_httpc_give_up(call, "timed out");
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
	g_array_set_size(call->fields, 0);
	call->in_value = false;
	return 0;
}

/* Whether the head is complete: fields after it are trailers, which are
 * dropped.
 */
static bool has_head(const struct dl_httpc_call *call)
{
	return call->attempt.received != DL_RECV_NOTHING;
}

/* Appends to the current field; false if the head is longer than HEAD_MAX. */
static bool append_to_head(struct dl_httpc_call *call, const char *at, size_t n)
{
	if (call->header_text->len + n > HEAD_MAX) {
		dl_count(DL_METRIC_response_heads_too_long, 1);
		return false;
	}
	g_string_append_len(call->header_text, at, (gssize)n);
	return true;
}

/* The parser may deliver a name or a value in several pieces. */
static int on_field(http_parser *parser, const char *at, size_t n)
{
	struct dl_httpc_call *call = call_of(parser);
	struct header_field field = { 0 };

	if (!call)
		return 1;
	if (has_head(call))
		return 0;
	if (call->fields->len == 0 || call->in_value) {
		field.name = call->header_text->len;
		g_array_append_val(call->fields, field);
		call->in_value = false;
	}
	if (!append_to_head(call, at, n))
		return 1;
	g_array_index(call->fields, struct header_field, call->fields->len - 1)
		.name_n += n;
	return 0;
}

static int on_value(http_parser *parser, const char *at, size_t n)
{
	struct dl_httpc_call *call = call_of(parser);
	struct header_field *field;

	if (!call)
		return 1;
	if (has_head(call))
		return 0;
	if (call->fields->len == 0)
		return 1;
	field = &g_array_index(call->fields, struct header_field,
			       call->fields->len - 1);
	if (!call->in_value)
		field->value = call->header_text->len;
	call->in_value = true;
	if (!append_to_head(call, at, n))
		return 1;
	field->value_n += n;
	return 0;
}

/* Reads "timeout=N": the idle timeout of the endpoint in seconds. */
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

/* Whether a body has chunks and no other coding; no request asks for one. */
static bool is_chunked(struct dl_str coding)
{
	while (coding.n && g_ascii_isspace(coding.s[coding.n - 1]))
		coding.n--;
	return dl_header_is(coding, "chunked");
}

/*
 * Returns views of the headers, to be freed with g_free(), and acts on those
 * meant for this client. Sets *bad if the framing is given twice, or the body
 * has another coding than chunks.
 */
static struct dl_header *read_headers(struct dl_httpc_call *call, bool *bad)
{
	struct dl_header *out = g_new(struct dl_header, call->fields->len);
	const char *text = call->header_text->str;
	bool has_coding = false;

	call->framing = DL_FRAMING_CLOSE;
	for (guint i = 0; i < call->fields->len; i++) {
		const struct header_field *field =
			&g_array_index(call->fields, struct header_field, i);

		out[i].name =
			(struct dl_str){ text + field->name, field->name_n };
		out[i].value =
			(struct dl_str){ text + field->value, field->value_n };
		if (dl_header_is(out[i].name, "content-length"))
			call->framing = DL_FRAMING_LENGTH;
		if (dl_header_is(out[i].name, "transfer-encoding")) {
			*bad |= has_coding || !is_chunked(out[i].value);
			has_coding = true;
		}
		if (dl_header_is(out[i].name, "daisyledge-not-run"))
			call->attempt.received = DL_RECV_NOT_RUN;
		if (dl_header_is(out[i].name, "keep-alive"))
			read_keep_alive(call->conn, out[i].value);
	}
	if (has_coding)
		call->framing = DL_FRAMING_CHUNKS;
	return out;
}

/* Whether a head says that a body follows, which an interim one may not. */
static bool has_body(const http_parser *parser)
{
	return parser->flags & F_CHUNKED ||
	       (parser->flags & F_CONTENTLENGTH && parser->content_length);
}

static int on_headers(http_parser *parser)
{
	struct dl_httpc_call *call = call_of(parser);
	struct dl_header *views;
	struct dl_httpc_head head;
	bool no_body, bad = false;

	if (!call)
		return -1;
	if (parser->status_code < 200) /* the final one follows */
		return has_body(parser) || ++call->interim > INTERIM_MAX ? -1 :
									   0;
	no_body = call->is_head_method || parser->status_code == 204 ||
		  parser->status_code == 304;
	views = read_headers(call, &bad);
	if (bad) {
		call->attempt.received = DL_RECV_NOTHING;
		g_free(views);
		return -1;
	}
	if (call->attempt.received == DL_RECV_NOTHING)
		call->attempt.received = DL_RECV_HEAD;
	call->attempt.status = (uint16_t)parser->status_code;
	head.status = call->attempt.status;
	head.headers = views;
	head.headers_count = call->fields->len;
	if (no_body)
		call->framing = DL_FRAMING_LENGTH;
	head.framing = call->framing;
	httpc_call_timer(call, call->idle_ms);
	if (call->ops->head)
		call->ops->head(call->arg, &head);
	g_free(views);
	return no_body ? 1 : 0;
}

static int on_body(http_parser *parser, const char *at, size_t n)
{
	struct dl_httpc_call *call = call_of(parser);
	struct dl_str piece = { at, n };

	if (!call)
		return 1;
	httpc_call_timer(call, call->idle_ms);
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

/* Ends a call whose response is complete; n bytes were read behind it. */
static void end_complete(struct dl_httpc_call *call, size_t n)
{
	struct conn *conn = call->conn;

	call->conn_info.bytes_after = n;
	if (n) {
		dl_count(DL_METRIC_responses_with_bytes_after, 1);
		httpc_stray_bytes(call->client, call->address);
	}
	if (call->framing == DL_FRAMING_CLOSE && !call->close_delimited) {
		schedule_end(
			call, DL_FAILURE_BAD_RESPONSE, DL_STEP_BODY,
			"response has neither a length nor chunked encoding");
		return;
	}
	if (call->attempt.received != DL_RECV_NOT_RUN)
		call->attempt.received = DL_RECV_COMPLETE;
	if (call->reuse && call->framing != DL_FRAMING_CLOSE && n == 0 &&
	    conn->request_written && conn->idle_ms &&
	    http_should_keep_alive(&conn->parser))
		httpc_pool_add(conn);
	schedule_end(call, DL_FAILURE_NONE, DL_STEP_NONE, "");
}

/*
 * Whether the peer has got the whole request.  After a write that failed, the
 * error of a reset is gone from the socket, and a read finds an orderly close.
 */
static bool has_whole_request(const struct conn *conn)
{
	return conn->request_written && dl_sock_is_acknowledged(&conn->tcp);
}

/* Handles the end of a call's connection; err is UV_EOF for an orderly close.
 */
void httpc_call_conn_end(struct conn *conn, int err)
{
	struct dl_httpc_call *call = conn->call;
	const char *why = uv_strerror(err);

	if (err == UV_EOF && call->attempt.received != DL_RECV_NOTHING &&
	    call->framing == DL_FRAMING_CLOSE) {
		if (has_whole_request(conn)) {
			end_complete(call, 0);
			return;
		}
		why = "connection ended before the request was sent";
	}
	schedule_end(call, DL_FAILURE_RESET, current_step(call), why);
}

/*
 * Checks and parses bytes that the endpoint sent. Returns how many were parsed;
 * *why is set to a constant where they are no part of a response.
 */
static size_t parse(struct conn *conn, const char *bytes, size_t n,
		    const char **why)
{
	size_t head = dl_head_check(&conn->head_check,
				    (struct dl_str){ bytes, n }, why);
	struct dl_str rest = { bytes + head, n - head };
	size_t used;

	if (*why) {
		dl_count(DL_METRIC_response_heads_malformed, 1);
		conn->call->conn_info.no_head = true;
		httpc_stray_bytes(conn->client, conn->address);
		return 0;
	}
	/* Only the head says whether chunks follow; 0 bytes stand for the end.
	 */
	if (head) {
		used = http_parser_execute(&conn->parser, &parser_settings,
					   bytes, head);
		if (used < head || !conn->call)
			return used;
	}
	if (!rest.n || conn->response_ended)
		return head;
	if (conn->parser.flags & F_CHUNKED &&
	    !dl_chunk_check(&conn->chunk_check, rest)) {
		*why = "body in chunks is malformed";
		httpc_stray_bytes(conn->client, conn->address);
		return head;
	}
	return head + http_parser_execute(&conn->parser, &parser_settings,
					  rest.s, rest.n);
}

/* Handles bytes that the endpoint sent. */
void httpc_call_bytes(struct conn *conn, const char *bytes, size_t n)
{
	struct dl_httpc_call *call = conn->call;
	const char *why = NULL;
	size_t used;

	if (!call)
		return;
	used = parse(conn, bytes, n, &why);
	if (!conn->call)
		return; /* cancelled by a callback */
	if (conn->response_ended)
		end_complete(call, n - used);
	else if (why)
		schedule_end(call, DL_FAILURE_RESET, current_step(call), why);
	else if (HTTP_PARSER_ERRNO(&conn->parser) != HPE_OK)
		schedule_end(call, DL_FAILURE_RESET, current_step(call),
			     http_errno_description(
				     HTTP_PARSER_ERRNO(&conn->parser)));
	else if (call->paused)
		httpc_conn_read(conn, false);
}

static void on_written(uv_write_t *req, int status)
{
	struct conn *conn = req->data;

	conn->request_written = !status;
	if (status && !conn->closing && conn->call &&
	    conn->call->attempt.received == DL_RECV_NOTHING)
		schedule_end(conn->call, DL_FAILURE_RESET, DL_STEP_SEND,
			     uv_strerror(status));
}

/*
 * Notes what the connection has carried, and the bytes on it that came before
 * the request.
 */
static void note_conn(struct dl_httpc_call *call)
{
	const struct conn *conn = call->conn;

	call->conn_info.carried = conn->usage.requests;
	/* Those of a forwarded one are frames of the VM that forwards. */
	if (conn->via == DL_VM_NONE)
		call->conn_info.bytes_before = (size_t)MAX(
			dl_sock_unread(&conn->tcp, UNREAD_COUNTED), 0);
	if (call->conn_info.bytes_before)
		dl_count(DL_METRIC_connections_unread, 1);
}

/* Sends the request on an established connection. */
static void send_request(struct dl_httpc_call *call)
{
	struct conn *conn = call->conn;
	uv_buf_t bufs[2] = {
		uv_buf_init(call->head, (unsigned)call->head_n),
		uv_buf_init((char *)call->body.s, (unsigned)call->body.n),
	};

	note_conn(call);
	if (call->conn_info.bytes_before) {
		httpc_stray_bytes(call->client, call->address);
		schedule_end(call, DL_FAILURE_RESET, DL_STEP_SEND,
			     "endpoint sent bytes before the request");
		return;
	}
	if (call->ops->connected && !call->ops->connected(call->arg)) {
		schedule_end(call, DL_FAILURE_CONNECT, DL_STEP_SEND,
			     "request abandoned before it was sent");
		return;
	}
	http_parser_init(&conn->parser, HTTP_RESPONSE);
	conn->parser.data = conn;
	conn->head_check = (struct dl_head_check){ 0 };
	conn->chunk_check = (struct dl_chunk_check){ 0 };
	conn->response_ended = false;
	conn->idle_ms = POOL_IDLE_MS;
	conn->write.data = conn;
	call->attempt.sent = DL_SENT_ALL;
	call->sent_at = httpc_now(call->client);
	conn->request_written = false;
	if (uv_write(&conn->write, (uv_stream_t *)&conn->tcp, bufs,
		     call->body.n ? 2 : 1, on_written)) {
		schedule_end(call, DL_FAILURE_RESET, DL_STEP_SEND,
			     "cannot write to the connection");
		return;
	}
	httpc_call_timer(call, call->head_ms);
}

/* A connection has been made for a call: sends the request on it. */
void httpc_call_connected(struct dl_httpc_call *call, struct conn *conn)
{
	call->conn = conn;
	call->via = conn->via;
	send_request(call);
}

/*
 * No connection could be made; doubtful: the endpoint may not be at fault, so
 * that the error says nothing about it.
 */
void httpc_call_not_connected(struct dl_httpc_call *call, int code,
			      bool doubtful, const char *why)
{
	schedule_end(call, doubtful ? DL_FAILURE_NO_PATH : DL_FAILURE_CONNECT,
		     DL_STEP_CONNECT, why);
	if (!doubtful)
		call->err.code = code;
}

/* Resumes reading after body() returned false. */
void dl_httpc_resume(struct dl_httpc_call *call)
{
	if (!call->paused)
		return;
	call->paused = false;
	if (!call->conn || call->ended)
		return;
	httpc_call_timer(call, call->idle_ms);
	httpc_conn_read(call->conn, true);
}

/* Changes the idle timeout; it takes effect with the next byte received. */
void dl_httpc_set_idle_timeout(struct dl_httpc_call *call, uint32_t idle_ms)
{
	call->idle_ms = idle_ms;
}

/* Returns what has been sent and received so far. */
struct dl_attempt dl_httpc_progress(const struct dl_httpc_call *call)
{
	return call->attempt;
}

/* Returns for how long nothing was received although it was waited for, ms. */
int64_t dl_httpc_silent_ms(const struct dl_httpc_call *call)
{
	if (!call->conn || call->ended || call->paused ||
	    call->attempt.sent == DL_SENT_NOTHING)
		return 0;
	return httpc_now(call->client) -
	       MAX(call->sent_at, call->conn->usage.last_read);
}

/* Returns the VM that forwards the call's connection. */
uint64_t dl_httpc_via(const struct dl_httpc_call *call)
{
	return call->via;
}

/* Returns what is known of the connection that was used. */
struct dl_httpc_conn_info dl_httpc_conn_info(const struct dl_httpc_call *call)
{
	return call->conn_info;
}

/*
 * Ends a call after this time at the latest. Bytes that come without end put
 * off the idle timeout for ever.
 */
void dl_httpc_end_within(struct dl_httpc_call *call, uint32_t ms)
{
	call->ends_at = MIN(call->ends_at, uv_now(call->client->loop) + ms);
	httpc_call_timer(call, call->idle_ms);
}

/* Ends a call as if it had timed out; end() is called from the loop. */
void dl_httpc_give_up(struct dl_httpc_call *call, const char *why)
{
	enum dl_step step = current_step(call);

	schedule_end(call,
		     step == DL_STEP_CONNECT ? DL_FAILURE_CONNECT :
					       DL_FAILURE_IDLE_TIMEOUT,
		     step, why);
}

/* Gives up a call whose response may be of another request. */
void dl_httpc_reject(struct dl_httpc_call *call, const char *why)
{
	httpc_stray_bytes(call->client, call->address);
	dl_httpc_give_up(call, why);
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

/* Builds the request line and headers; false if memory runs out. */
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

/* Starts a call; returns NULL only if memory runs out. */
struct dl_httpc_call *dl_httpc_start(struct dl_httpc *client,
				     const struct dl_httpc_req *req,
				     const struct dl_httpc_ops *ops, void *arg)
{
	struct dl_path_plan plan = { .direct = true, .reuse = true };
	struct dl_httpc_call *call = calloc(1, sizeof(*call));

	if (!call)
		return NULL;
	call->client = client;
	call->ops = ops;
	call->arg = arg;
	call->address = req->address;
	call->via = DL_VM_NONE;
	call->idle_ms = req->idle_ms;
	call->head_ms = req->head_ms ? req->head_ms : req->idle_ms;
	call->close_delimited = req->close_delimited;
	call->reuse = req->reuse;
	call->direct = req->direct;
	call->is_head_method = dl_str_eq(req->method, DL_STR("HEAD"));
	call->header_text = g_string_new(NULL);
	call->fields = g_array_new(FALSE, FALSE, sizeof(struct header_field));
	uv_timer_init(client->loop, &call->timer);
	call->timer.data = call;
	uv_update_time(client->loop);
	call->ends_at = UINT64_MAX;
	if (req->total_ms)
		call->ends_at = uv_now(client->loop) + req->total_ms;
	if (!build_request_head(call, req)) {
		call_free(call);
		return NULL;
	}
	if (client->has_paths && !call->direct)
		client->paths.plan(client->paths.arg, call->address, &plan);
	if (call->reuse && plan.reuse)
		call->conn = httpc_pool_take(client, call->address);
	if (call->conn) {
		call->conn->call = call;
		send_request(call);
	} else if (httpc_connect(call, &plan, req->connect_ms)) {
		call_free(call);
		return NULL;
	}
	return call;
}

/* Cancels a call: closes its connection; no callback follows. */
void dl_httpc_cancel(struct dl_httpc_call *call)
{
	call_free(call);
}
