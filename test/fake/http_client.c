/* HTTP/1.1 client on libuv, with one request per connection. */
#include <arpa/inet.h>
#include <errno.h>
#include <glib.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "http.h"

#define READ_SIZE	65536
#define HEAD_MAX	65536
#define STATUS_LINE_MIN 12

enum framing {
	FRAMING_LENGTH,
	FRAMING_CHUNKED,
	FRAMING_CLOSE
};

enum chunk_state {
	CHUNK_SIZE,
	CHUNK_DATA,
	CHUNK_DATA_END,
	CHUNK_TRAILER
};

struct fake_call {
	uv_tcp_t tcp;
	uv_timer_t timer;
	uv_connect_t connect;
	uv_write_t write;
	uv_buf_t out[2];
	char *out_head;
	char *out_body;
	uint32_t timeout_ms;
	int handles;
	bool connected;
	bool ended;
	bool cancelled;
	bool head_done;
	enum framing framing;
	enum chunk_state chunk;
	uint64_t remaining; /* bytes of the body or of the current chunk */
	GString *buf;	    /* response head, or a line between chunks */
	enum fake_end end;
	struct fake_call_ops ops;
	void *arg;
	char in[READ_SIZE];
};

static void finish(struct fake_call *call, enum fake_end end);
static void parse_body(struct fake_call *call, const char *s, size_t n);

void fake_ignore_sigpipe(void)
{
	signal(SIGPIPE, SIG_IGN);
}

struct dl_str fake_head_find(struct dl_str head, const char *name)
{
	size_t len = strlen(name);
	const char *s = head.s;
	const char *last = head.s + head.n;

	while (s < last) {
		const char *eol = memchr(s, '\n', (size_t)(last - s));
		size_t n = eol ? (size_t)(eol - s) : (size_t)(last - s);

		if (n > len && s[len] == ':' && !strncasecmp(s, name, len)) {
			const char *v = s + len + 1;
			const char *end = s + n;

			while (v < end && *v == ' ')
				v++;
			while (end > v && (end[-1] == '\r' || end[-1] == ' '))
				end--;
			return (struct dl_str){ v, (size_t)(end - v) };
		}
		if (!eol)
			break;
		s = eol + 1;
	}
	return (struct dl_str){ "", 0 };
}

static void on_closed(uv_handle_t *handle)
{
	struct fake_call *call = handle->data;

	if (--call->handles > 0)
		return;
	if (!call->cancelled)
		call->ops.end(call->arg, call->end);
	g_string_free(call->buf, TRUE);
	g_free(call->out_head);
	g_free(call->out_body);
	free(call);
}

static void finish(struct fake_call *call, enum fake_end end)
{
	if (call->ended)
		return;
	call->ended = true;
	call->end = end;
	uv_close((uv_handle_t *)&call->tcp, on_closed);
	uv_close((uv_handle_t *)&call->timer, on_closed);
}

void fake_call_cancel(struct fake_call *call)
{
	call->cancelled = true;
	finish(call, FAKE_END_RESET);
}

static void deliver_body(struct fake_call *call, const char *s, size_t n)
{
	if (n && !call->cancelled && call->ops.body)
		call->ops.body(call->arg, (struct dl_str){ s, n });
}

/* Parses one byte of the framing between chunks. */
static void parse_chunk_byte(struct fake_call *call, char c)
{
	if (call->chunk == CHUNK_DATA_END) {
		if (c == '\n')
			call->chunk = CHUNK_SIZE;
		return;
	}
	if (c != '\n') {
		if (c != '\r')
			g_string_append_c(call->buf, c);
		return;
	}
	if (call->chunk == CHUNK_TRAILER) {
		if (call->buf->len == 0)
			finish(call, FAKE_END_COMPLETE);
	} else {
		call->remaining = strtoull(call->buf->str, NULL, 16);
		call->chunk = call->remaining ? CHUNK_DATA : CHUNK_TRAILER;
	}
	g_string_truncate(call->buf, 0);
}

static void parse_chunked(struct fake_call *call, const char *s, size_t n)
{
	while (n > 0 && !call->ended) {
		size_t step = 1;

		if (call->chunk == CHUNK_DATA) {
			step = n < call->remaining ? n :
						     (size_t)call->remaining;
			deliver_body(call, s, step);
			call->remaining -= step;
			if (call->remaining == 0)
				call->chunk = CHUNK_DATA_END;
		} else {
			parse_chunk_byte(call, *s);
		}
		s += step;
		n -= step;
	}
}

static void parse_body(struct fake_call *call, const char *s, size_t n)
{
	if (call->framing == FRAMING_CHUNKED) {
		parse_chunked(call, s, n);
		return;
	}
	if (call->framing == FRAMING_LENGTH && n > call->remaining)
		n = (size_t)call->remaining;
	deliver_body(call, s, n);
	if (call->framing != FRAMING_LENGTH)
		return;
	call->remaining -= n;
	if (call->remaining == 0)
		finish(call, FAKE_END_COMPLETE);
}

/* Parses the status line and determines the framing of the body. */
static void parse_head(struct fake_call *call, struct dl_str head)
{
	struct dl_str length = fake_head_find(head, "content-length");
	struct dl_str coding = fake_head_find(head, "transfer-encoding");
	int status;

	if (head.n < STATUS_LINE_MIN || memcmp(head.s, "HTTP/1.", 7) != 0) {
		finish(call, FAKE_END_RESET);
		return;
	}
	status = (int)strtol(head.s + 9, NULL, 10);
	call->framing = FRAMING_CLOSE;
	if (coding.n)
		call->framing = FRAMING_CHUNKED;
	else if (dl_str_to_u64(length, &call->remaining))
		call->framing = FRAMING_LENGTH;
	if (status == 204 || status == 304) {
		call->framing = FRAMING_LENGTH;
		call->remaining = 0;
	}
	call->head_done = true;
	if (!call->cancelled && call->ops.head)
		call->ops.head(call->arg, status, head);
}

static void parse(struct fake_call *call, const char *s, size_t n)
{
	GString *rest;
	char *end;
	size_t used;

	if (call->head_done) {
		parse_body(call, s, n);
		return;
	}
	g_string_append_len(call->buf, s, (gssize)n);
	end = strstr(call->buf->str, "\r\n\r\n");
	if (!end) {
		if (call->buf->len > HEAD_MAX)
			finish(call, FAKE_END_RESET);
		return;
	}
	used = (size_t)(end - call->buf->str) + 4;
	rest = call->buf;
	call->buf = g_string_new(NULL);
	parse_head(call, (struct dl_str){ rest->str, used });
	if (!call->ended)
		parse_body(call, rest->str + used, rest->len - used);
	g_string_free(rest, TRUE);
}

static void on_alloc(uv_handle_t *handle, size_t hint, uv_buf_t *buf)
{
	struct fake_call *call = handle->data;

	*buf = uv_buf_init(call->in, READ_SIZE);
}

static void on_read(uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
	struct fake_call *call = stream->data;

	if (call->ended || n == 0)
		return;
	if (n > 0) {
		parse(call, buf->base, (size_t)n);
		return;
	}
	finish(call, n == UV_EOF && call->head_done &&
				     call->framing == FRAMING_CLOSE ?
			     FAKE_END_COMPLETE :
			     FAKE_END_RESET);
}

static void on_written(uv_write_t *write, int status)
{
	/* Ignored: a read also fails then, unless a response has arrived. */
}

static void on_timer(uv_timer_t *timer)
{
	struct fake_call *call = timer->data;

	finish(call, call->connected ? FAKE_END_TIMEOUT : FAKE_END_CONNECT);
}

static void on_connected(uv_connect_t *connect, int status)
{
	struct fake_call *call = connect->data;

	if (call->ended)
		return;
	if (status < 0) {
		finish(call, FAKE_END_CONNECT);
		return;
	}
	call->connected = true;
	uv_timer_start(&call->timer, on_timer, call->timeout_ms, 0);
	uv_read_start((uv_stream_t *)&call->tcp, on_alloc, on_read);
	uv_write(&call->write, (uv_stream_t *)&call->tcp, call->out,
		 call->out[1].len ? 2 : 1, on_written);
}

static void build_head(struct fake_call *call, const struct fake_call_req *req)
{
	GString *s = g_string_new(NULL);
	char to[24];

	g_string_append_printf(s, "%s %s HTTP/1.1\r\nHost: %s\r\n", req->method,
			       req->path, dl_vm_text(req->address, to));
	for (const struct fake_header *h = req->headers; h && h->name; h++)
		g_string_append_printf(s, "%s: %s\r\n", h->name, h->value);
	if (req->body.n || strcmp(req->method, "GET") != 0)
		g_string_append_printf(s, "Content-Length: %zu\r\n",
				       req->body.n);
	g_string_append(s, "Connection: close\r\n\r\n");
	call->out[0] = uv_buf_init(s->str, (unsigned int)s->len);
	call->out_head = g_string_free(s, FALSE);
	call->out_body = g_memdup2(req->body.s, req->body.n);
	call->out[1] = uv_buf_init(call->out_body, (unsigned int)req->body.n);
}

struct fake_call *fake_call_start(uv_loop_t *loop,
				  const struct fake_call_req *req,
				  const struct fake_call_ops *ops, void *arg)
{
	struct fake_call *call = calloc(1, sizeof(*call));
	struct sockaddr_in to = { .sin_family = AF_INET };

	if (!call)
		abort();
	call->ops = *ops;
	call->arg = arg;
	call->timeout_ms = req->timeout_ms;
	call->buf = g_string_new(NULL);
	call->handles = 2;
	build_head(call, req);
	uv_tcp_init(loop, &call->tcp);
	uv_timer_init(loop, &call->timer);
	call->tcp.data = call->timer.data = call->connect.data = call;
	uv_tcp_nodelay(&call->tcp, 1);
	uv_timer_start(&call->timer, on_timer, req->connect_ms, 0);
	to.sin_port = htons((uint16_t)(req->address & 0xffff));
	to.sin_addr.s_addr = htonl((uint32_t)(req->address >> 16));
	if (uv_tcp_connect(&call->connect, &call->tcp,
			   (const struct sockaddr *)&to, on_connected) < 0)
		finish(call, FAKE_END_CONNECT);
	return call;
}
