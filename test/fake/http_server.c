/* HTTP server of the test tools, on h2o and libuv. */
#include <arpa/inet.h>
#include <errno.h>
#include <glib.h>
#include <h2o.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "http.h"

#define BODY_MAX      (64u << 20)
#define REPLY_HEADERS 16

struct fake_server {
	uv_tcp_t tcp;
	h2o_globalconf_t conf;
	h2o_context_t ctx;
	h2o_accept_ctx_t accept;
	struct fake_server_ops ops;
	void *arg;
	struct fake_request *open; /* list of open requests */
};

struct handler {
	h2o_handler_t super;
	struct fake_server *server;
};

struct fake_request {
	h2o_generator_t super;
	h2o_req_t *req;
	h2o_socket_t *sock;
	struct fake_server *server;
	struct fake_request *next;
	void *owner;
	GString *pending;   /* written by the owner, not yet passed to h2o */
	GString *in_flight; /* passed to h2o, until it calls on_proceed() */
	bool started;
	bool sending; /* h2o is sending in_flight */
	bool ending;
	bool aborting;
	bool close_reported; /* closed() was called or is not wanted */
};

/* For on_socket_read(), which gets a socket but no context. */
static struct fake_server *only_server;

static void flush(struct fake_request *r);

static void unlink_request(struct fake_request *r)
{
	struct fake_request **p = &r->server->open;

	while (*p && *p != r)
		p = &(*p)->next;
	if (*p)
		*p = r->next;
}

static void report_closed(struct fake_request *r)
{
	if (r->close_reported)
		return;
	r->close_reported = true;
	r->server->ops.closed(r->server->arg, r);
}

/* Called when h2o frees the memory pool of the request. */
static void on_dispose(void *arg)
{
	struct fake_request *r = *(struct fake_request **)arg;

	report_closed(r);
	unlink_request(r);
	g_string_free(r->pending, TRUE);
	g_string_free(r->in_flight, TRUE);
	free(r);
}

static void on_proceed(h2o_generator_t *gen, h2o_req_t *req)
{
	struct fake_request *r = (struct fake_request *)gen;

	r->sending = false;
	flush(r);
}

static void on_stop(h2o_generator_t *gen, h2o_req_t *req)
{
	report_closed((struct fake_request *)gen);
}

/* Detects a client that disconnects before its reply: aborts the request. */
static void on_socket_read(h2o_socket_t *sock, const char *err)
{
	struct fake_request *r = only_server->open;

	if (!err)
		return;
	h2o_socket_read_stop(sock);
	while (r && r->sock != sock)
		r = r->next;
	if (!r)
		return;
	report_closed(r);
	fake_reply_abort(r);
}

static void start_response(struct fake_request *r, int status,
			   const struct fake_header *headers)
{
	r->started = true;
	r->req->res.status = status;
	r->req->res.reason = status < 300 ? "OK" : "Error";
	for (const struct fake_header *h = headers; h && h->name; h++) {
		h2o_iovec_t v = h2o_strdup(&r->req->pool, h->value, SIZE_MAX);
		h2o_iovec_t n = h2o_strdup(&r->req->pool, h->name, SIZE_MAX);

		h2o_add_header_by_str(&r->req->pool, &r->req->res.headers,
				      n.base, n.len, 1, NULL, v.base, v.len);
	}
	h2o_start_response(r->req, &r->super);
}

/* Passes the pending data to h2o, once it has sent the data before. */
static void flush(struct fake_request *r)
{
	GString *swap = r->in_flight;
	h2o_send_state_t state = H2O_SEND_STATE_IN_PROGRESS;
	h2o_iovec_t vec;

	if (r->sending || !r->started)
		return;
	if (r->aborting)
		state = H2O_SEND_STATE_ERROR;
	else if (r->ending)
		state = H2O_SEND_STATE_FINAL;
	else if (r->pending->len == 0)
		return;
	r->in_flight = r->pending;
	r->pending = swap;
	g_string_truncate(r->pending, 0);
	r->sending = true;
	if (state != H2O_SEND_STATE_IN_PROGRESS) {
		h2o_socket_read_stop(r->sock);
		report_closed(r);
	}
	vec = h2o_iovec_init(r->in_flight->str, r->in_flight->len);
	h2o_send(r->req, &vec, vec.len ? 1 : 0, state);
}

void fake_reply_begin(struct fake_request *r, int status,
		      const struct fake_header *headers)
{
	start_response(r, status, headers);
}

void fake_reply_write(struct fake_request *r, struct dl_str piece)
{
	g_string_append_len(r->pending, piece.s, (gssize)piece.n);
	flush(r);
}

size_t fake_reply_pending(const struct fake_request *r)
{
	return r->pending->len;
}

void fake_reply_end(struct fake_request *r)
{
	r->ending = true;
	flush(r);
}

void fake_reply(struct fake_request *r, int status,
		const struct fake_header *headers, struct dl_str body)
{
	r->req->res.content_length = body.n;
	start_response(r, status, headers);
	g_string_append_len(r->pending, body.s, (gssize)body.n);
	fake_reply_end(r);
}

void fake_reply_abort(struct fake_request *r)
{
	r->close_reported = true;
	r->aborting = true;
	if (!r->started)
		start_response(r, 500, NULL);
	flush(r);
}

bool fake_reply_raw(struct fake_request *r, struct dl_str bytes)
{
	int fd = h2o_socket_get_fd(r->sock);

	if (write(fd, bytes.s, bytes.n) >= 0 || errno == EAGAIN)
		return true;
	if (errno != EPIPE && errno != ECONNRESET)
		perror("raw reply");
	return false;
}

void fake_reply_drop(struct fake_request *r, bool reset)
{
	const struct sockaddr none = { .sa_family = AF_UNSPEC };
	int fd = h2o_socket_get_fd(r->sock);

	/* h2o's own bytes find the connection ended. */
	if (reset ? connect(fd, &none, sizeof(none)) : shutdown(fd, SHUT_RDWR))
		perror("drop");
	fake_reply_abort(r);
}

static int on_request(h2o_handler_t *self, h2o_req_t *req)
{
	struct fake_server *server = ((struct handler *)self)->server;
	struct fake_request *r = calloc(1, sizeof(*r));
	struct fake_request **slot;

	if (!r)
		abort();
	r->super.proceed = on_proceed;
	r->super.stop = on_stop;
	r->req = req;
	r->server = server;
	r->sock = req->conn->callbacks->get_socket(req->conn);
	r->pending = g_string_new(NULL);
	r->in_flight = g_string_new(NULL);
	r->next = server->open;
	server->open = r;
	slot = h2o_mem_alloc_shared(&req->pool, sizeof(struct fake_request *),
				    on_dispose);
	*slot = r;
	h2o_socket_read_start(r->sock, on_socket_read);
	server->ops.request(server->arg, r);
	return 0;
}

static void on_accept(uv_stream_t *stream, int status)
{
	struct fake_server *server = stream->data;
	uv_tcp_t *conn;
	h2o_socket_t *sock;

	if (status != 0)
		return;
	conn = h2o_mem_alloc(sizeof(*conn));
	uv_tcp_init(stream->loop, conn);
	if (uv_accept(stream, (uv_stream_t *)conn) != 0) {
		uv_close((uv_handle_t *)conn, (uv_close_cb)free);
		return;
	}
	uv_tcp_nodelay(conn, 1);
	sock = h2o_uv_socket_create((uv_stream_t *)conn, (uv_close_cb)free);
	h2o_accept(&server->accept, sock);
}

int fake_server_open(uv_loop_t *loop, uint64_t at,
		     const struct fake_server_ops *ops, void *arg,
		     struct fake_server **out)
{
	struct fake_server *server = calloc(1, sizeof(*server));
	struct sockaddr_in addr = { .sin_family = AF_INET };
	h2o_hostconf_t *host;
	h2o_pathconf_t *path;
	struct handler *handler;
	int rc;

	if (!server)
		abort();
	only_server = server;
	server->ops = *ops;
	server->arg = arg;
	h2o_config_init(&server->conf);
	server->conf.max_request_entity_size = BODY_MAX;
	host = h2o_config_register_host(
		&server->conf, h2o_iovec_init(H2O_STRLIT("default")), 65535);
	path = h2o_config_register_path(host, "/", 0);
	handler = (struct handler *)h2o_create_handler(path, sizeof(*handler));
	handler->super.on_req = on_request;
	handler->server = server;
	h2o_context_init(&server->ctx, loop, &server->conf);
	server->accept.ctx = &server->ctx;
	server->accept.hosts = server->conf.hosts;
	addr.sin_port = htons((uint16_t)(at & 0xffff));
	addr.sin_addr.s_addr = htonl((uint32_t)(at >> 16));
	uv_tcp_init(loop, &server->tcp);
	server->tcp.data = server;
	rc = uv_tcp_bind(&server->tcp, (struct sockaddr *)&addr, 0);
	if (rc == 0)
		rc = uv_listen((uv_stream_t *)&server->tcp, 1024, on_accept);
	*out = server;
	return rc;
}

static struct dl_str from_iovec(h2o_iovec_t v)
{
	return (struct dl_str){ v.base ? v.base : "", v.len };
}

struct dl_str fake_request_method(const struct fake_request *r)
{
	return from_iovec(r->req->method);
}

struct dl_str fake_request_path(const struct fake_request *r)
{
	return from_iovec(r->req->path_normalized);
}

struct dl_str fake_request_query(const struct fake_request *r)
{
	size_t at = r->req->query_at;

	if (at == SIZE_MAX || at >= r->req->path.len)
		return (struct dl_str){ "", 0 };
	return (struct dl_str){ r->req->path.base + at + 1,
				r->req->path.len - at - 1 };
}

struct dl_str fake_request_body(const struct fake_request *r)
{
	return from_iovec(r->req->entity);
}

struct dl_str fake_request_header(const struct fake_request *r,
				  const char *name)
{
	ssize_t at = h2o_find_header_by_str(&r->req->headers, name,
					    strlen(name), -1);

	if (at < 0)
		return (struct dl_str){ "", 0 };
	return from_iovec(r->req->headers.entries[at].value);
}

void fake_request_set_owner(struct fake_request *r, void *owner)
{
	r->owner = owner;
}

void *fake_request_owner(const struct fake_request *r)
{
	return r->owner;
}
