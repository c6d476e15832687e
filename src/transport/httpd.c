/* HTTP server on h2o. */
#include "transport/httpd.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include <h2o.h>

#include "base/metric.h"
#include "base/msg.h"
#include "transport/read_limit.h"
#include "transport/sock.h"

#define LISTEN_BACKLOG 1024
#define STREAM_HIGH_WATER                                                      \
	(256u << 10) /* most bytes queued for a slow client                    \
		      */
#define DISCONNECT_POLL_MS   250
#define READ_LIMIT_POLL_MS   20
#define STATUS_OK	     200
#define STATUS_CLIENT_CLOSED 499
#define MS_PER_S	     1000
#define HTTP_1_1	     0x101
#define US_PER_MS	     1000

struct handler {
	h2o_handler_t super; /* must be first: h2o passes a pointer to it */
	struct dl_httpd *server;
};

struct dl_httpd {
	uv_loop_t *loop;
	struct dl_httpd_conf conf;
	const struct dl_httpd_ops *ops;
	void *arg;
	h2o_globalconf_t globalconf;
	h2o_context_t ctx;
	h2o_accept_ctx_t accept_ctx;
	uv_tcp_t listener;
	uv_timer_t disconnect_poll;
	uv_timer_t read_limit_poll;
	struct dl_read_limit read_limit;
	struct dl_httpd_req *requests;
	struct dl_httpd_req *unwritten; /* answered, until h2o has written it */
	struct client *clients;
	uint32_t conns;
	size_t held; /* memory for responses that are not written, bytes */
	bool accepting;
	bool close_after_responses;
};

struct dl_httpd_req {
	h2o_generator_t generator; /* must be first: h2o passes it back */
	struct dl_httpd *server;
	struct dl_httpd_req **list; /* that it is in; NULL: none */
	struct dl_httpd_req *next, *prev;
	const char *name; /* for the log */
	h2o_req_t *h2o;
	void *data;
	struct dl_header *headers; /* in h2o's pool; NULL: not listed yet */
	bool done; /* answered, or the client has disconnected */
	bool streaming;
	bool sending; /* h2o is sending in_flight */
	bool finishing;
	bool complete;
	enum dl_framing framing; /* of a stream */
	size_t body_bytes;	 /* queued */
	size_t held;		 /* memory for the response, bytes */
	h2o_buffer_t *pending;	 /* not yet passed to h2o */
	h2o_buffer_t *in_flight; /* passed to h2o */
};

struct client {
	uv_tcp_t tcp; /* must be first */
	struct dl_httpd *server;
	struct client *next, *prev;
	h2o_socket_t *sock;
	size_t answered; /* bytes written when the last request ended */
	size_t taken;	 /* bytes read when the last request was whole */
	struct dl_read read;
};

static int on_request(h2o_handler_t *self, h2o_req_t *h2o);
static void on_proceed(h2o_generator_t *self, h2o_req_t *h2o);
static void on_stop(h2o_generator_t *self, h2o_req_t *h2o);
static void on_accept(uv_stream_t *listener, int status);
static void on_disconnect_poll(uv_timer_t *timer);
static void on_read_limit_poll(uv_timer_t *timer);
static void send_response(struct dl_httpd_req *req, uint16_t status,
			  const struct dl_header *headers, size_t count,
			  struct dl_str body);

static void client_link(struct client *client)
{
	client->next = client->server->clients;
	if (client->next)
		client->next->prev = client;
	client->server->clients = client;
}

static void client_unlink(struct client *client)
{
	if (client->next)
		client->next->prev = client->prev;
	if (client->prev)
		client->prev->next = client->next;
	else
		client->server->clients = client->next;
}

static void on_client_closed(uv_handle_t *handle)
{
	struct client *client = (struct client *)handle;

	client->server->conns--;
	free(client);
}

static void on_rejected_closed(uv_handle_t *handle)
{
	free(handle);
}

/*
 * Logs a request that h2o refused by itself as the connection closes: it was
 * malformed, or had more than H2O_MAX_HEADERS headers. h2o has no hook for
 * that.
 */
static void on_client_closing(void *data)
{
	struct client *client = data;

	client_unlink(client);
	dl_read_limit_remove(&client->server->read_limit, &client->read);
	if (client->sock->bytes_written == client->answered)
		return;
	dl_count(DL_METRIC_requests_malformed, 1);
	dl_msg(DL_MSG_REQUEST_MALFORMED, "bytes=%zu headers_max=%d",
	       client->sock->bytes_read, H2O_MAX_HEADERS);
}

/* Closes connections beyond conns_max before h2o allocates memory for them. */
static void on_accept(uv_stream_t *listener, int status)
{
	struct dl_httpd *server = listener->data;
	struct client *client;
	h2o_socket_t *sock;

	if (status < 0)
		return;
	client = calloc(1, sizeof(*client));
	if (!client)
		return;
	uv_tcp_init(server->loop, &client->tcp);
	client->server = server;
	if (uv_accept(listener, (uv_stream_t *)&client->tcp) ||
	    server->conns >= server->conf.conns_max) {
		uv_close((uv_handle_t *)&client->tcp, on_rejected_closed);
		return;
	}
	server->conns++;
	uv_tcp_nodelay(&client->tcp, 1);
	sock = h2o_uv_socket_create((uv_stream_t *)&client->tcp,
				    on_client_closed);
	client->sock = sock;
	sock->on_close.cb = on_client_closing;
	sock->on_close.data = client;
	client_link(client);
	dl_read_limit_add(&server->read_limit, &client->read, sock);
	h2o_accept(&server->accept_ctx, sock);
}

static void req_unlink(struct dl_httpd_req *req)
{
	if (!req->list)
		return;
	if (req->prev)
		req->prev->next = req->next;
	else
		*req->list = req->next;
	if (req->next)
		req->next->prev = req->prev;
	req->list = NULL;
}

/* Moves a request to a list. */
static void req_move(struct dl_httpd_req *req, struct dl_httpd_req **list)
{
	req_unlink(req);
	req->list = list;
	req->prev = NULL;
	req->next = *list;
	if (req->next)
		req->next->prev = req;
	*list = req;
}

/* Returns the socket of a request's connection; NULL if it is gone. */
static h2o_socket_t *socket_of(const struct dl_httpd_req *req)
{
	h2o_conn_t *conn = req->h2o->conn;

	return conn->callbacks->get_socket(conn);
}

/* Returns the connection that a request came on; NULL if it is gone. */
static struct client *client_of(const struct dl_httpd_req *req)
{
	const h2o_socket_t *sock = socket_of(req);

	return sock ? sock->on_close.data : NULL;
}

/* What was written up to now belongs to requests that the owner has handled. */
static void note_answered(const struct dl_httpd_req *req)
{
	struct client *client = client_of(req);

	if (client)
		client->answered = client->sock->bytes_written;
}

/* What was read up to now belongs to requests that the owner has got. */
static void note_taken(const struct dl_httpd_req *req)
{
	struct client *client = client_of(req);

	if (!client)
		return;
	client->taken = client->sock->bytes_read;
	dl_read_limit_whole(&client->server->read_limit, &client->read);
}

/* Sets the memory that a response takes, bytes. */
static void set_held(struct dl_httpd_req *req, size_t bytes)
{
	req->server->held += bytes - req->held;
	req->held = bytes;
}

/* Returns the memory of a buffer, bytes; an empty one is a constant of h2o's.
 */
static size_t memory_of(const h2o_buffer_t *buffer)
{
	return buffer && buffer->size ? buffer->capacity : 0;
}

/* Counts what a stream holds anew. */
static void update_held(struct dl_httpd_req *req)
{
	set_held(req, memory_of(req->pending) + memory_of(req->in_flight));
}

/* Called when h2o frees the request, whether it was answered or not. */
static void on_dispose(void *self)
{
	struct dl_httpd_req *req = self;

	set_held(req, 0);
	note_answered(req);
	if (!req->done && !req->finishing)
		req->server->ops->aborted(req->server->arg, req);
	req_unlink(req);
	if (req->pending)
		h2o_buffer_dispose(&req->pending);
	if (req->in_flight)
		h2o_buffer_dispose(&req->in_flight);
}

static int on_request(h2o_handler_t *self, h2o_req_t *h2o)
{
	struct dl_httpd *server = ((struct handler *)self)->server;
	struct dl_httpd_req *req;

	req = h2o_mem_alloc_shared(&h2o->pool, sizeof(*req), on_dispose);
	memset(req, 0, sizeof(*req));
	req->generator.proceed = on_proceed;
	req->generator.stop = on_stop;
	req->server = server;
	req->h2o = h2o;
	req->name = "";
	req_move(req, &server->requests);
	note_taken(req);
	server->ops->request(server->arg, req);
	return 0;
}

/* Removes the request from the list and notifies the owner, once only. */
static void report_aborted(struct dl_httpd_req *req)
{
	struct dl_httpd *server = req->server;

	if (req->done)
		return;
	req->done = true;
	req_unlink(req);
	if (!req->finishing)
		server->ops->aborted(server->arg, req);
}

/* h2o reports a disconnected client only once a response has begun. */
static void on_stop(h2o_generator_t *self, h2o_req_t *h2o)
{
	report_aborted((struct dl_httpd_req *)self);
}

/* The same as a file descriptor; -1 if it is gone. */
static int socket_fd_of(const struct dl_httpd_req *req)
{
	h2o_socket_t *sock = socket_of(req);

	return sock ? h2o_socket_get_fd(sock) : -1;
}

static bool is_socket_closed(const struct dl_httpd_req *req)
{
	int fd = socket_fd_of(req);
	char byte;
	ssize_t n;

	if (fd < 0)
		return false;
	n = recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
	if (n == 0)
		return true;
	return n < 0 && errno != EAGAIN && errno != EWOULDBLOCK &&
	       errno != EINTR;
}

/* Ends an aborted request: h2o frees a request only once it has a response. */
static void finish_aborted(struct dl_httpd_req *req)
{
	if (req->streaming)
		dl_httpd_finish(req, false);
	else
		send_response(req, STATUS_CLIENT_CLOSED, NULL, 0, DL_STR(""));
}

/*
 * h2o does not read from a connection while its request awaits a response, so a
 * client that disconnected would go unnoticed and its request would keep
 * running.  Polls the sockets for that.
 */
static void on_disconnect_poll(uv_timer_t *timer)
{
	struct dl_httpd *server = timer->data;
	struct dl_httpd_req *req, *next;

	for (req = server->requests; req; req = next) {
		next = req->next;
		if (req->finishing || !is_socket_closed(req))
			continue;
		report_aborted(req);
		finish_aborted(req);
		next = server->requests;
	}
}

static void on_read_limit_poll(uv_timer_t *timer)
{
	struct dl_httpd *server = timer->data;

	dl_read_limit_update(&server->read_limit);
}

static void config_init(struct dl_httpd *server)
{
	h2o_hostconf_t *host;
	h2o_pathconf_t *path;
	struct handler *handler;

	/* Keep large bodies in memory: h2o must not create temporary files. */
	h2o_socket_buffer_mmap_settings.threshold = SIZE_MAX;
	h2o_config_init(&server->globalconf);
	server->globalconf.server_name =
		h2o_iovec_init(H2O_STRLIT("daisyledge"));
	server->globalconf.max_request_entity_size = server->conf.body_max;
	server->globalconf.http1.req_timeout = server->conf.read_ms;
	server->globalconf.http1.upgrade_to_http2 = 0;
	host = h2o_config_register_host(&server->globalconf,
					h2o_iovec_init(H2O_STRLIT("default")),
					65535);
	path = h2o_config_register_path(host, "/", 0);
	handler = (void *)h2o_create_handler(path, sizeof(*handler));
	handler->super.on_req = on_request;
	handler->server = server;
	h2o_context_init(&server->ctx, server->loop, &server->globalconf);
	server->accept_ctx.ctx = &server->ctx;
	server->accept_ctx.hosts = server->globalconf.hosts;
}

static int start_listening(struct dl_httpd *server)
{
	struct sockaddr_in sin = dl_sock_addr(server->conf.address);
	int rc;

	rc = uv_tcp_bind(&server->listener, (void *)&sin, 0);
	if (rc)
		return rc;
	return uv_listen((uv_stream_t *)&server->listener, LISTEN_BACKLOG,
			 on_accept);
}

/* Starts a server on conf->address; ops must outlive it. */
int dl_httpd_open(uv_loop_t *loop, const struct dl_httpd_conf *conf,
		  const struct dl_httpd_ops *ops, void *arg,
		  struct dl_httpd **out, struct dl_err *err)
{
	struct dl_httpd *server = calloc(1, sizeof(*server));
	char text[24];
	int rc;

	if (!server)
		return dl_err_set(err, -ENOMEM, DL_STEP_NONE, NULL,
				  "out of memory");
	server->loop = loop;
	server->conf = *conf;
	server->ops = ops;
	server->arg = arg;
	config_init(server);
	uv_tcp_init(loop, &server->listener);
	server->listener.data = server;
	uv_timer_init(loop, &server->disconnect_poll);
	server->disconnect_poll.data = server;
	uv_timer_init(loop, &server->read_limit_poll);
	server->read_limit_poll.data = server;
	server->read_limit.max = conf->reading_max;
	server->read_limit.body_max = conf->body_max;
	rc = start_listening(server);
	if (rc)
		return dl_err_set(err, rc, DL_STEP_CONNECT,
				  dl_vm_text(conf->address, text),
				  "cannot listen: %s", uv_strerror(rc));
	server->accepting = true;
	uv_timer_start(&server->disconnect_poll, on_disconnect_poll,
		       DISCONNECT_POLL_MS, DISCONNECT_POLL_MS);
	if (conf->reading_max)
		uv_timer_start(&server->read_limit_poll, on_read_limit_poll,
			       READ_LIMIT_POLL_MS, READ_LIMIT_POLL_MS);
	*out = server;
	return 0;
}

/*
 * Closes each connection after its response, announced by Connection: close.
 * Clients with persistent connections would otherwise keep sending requests to
 * a process that is stopping.
 */
void dl_httpd_close_after_responses(struct dl_httpd *server)
{
	server->close_after_responses = true;
}

/* Whether a client has sent a part of a request, and the rest is awaited. */
bool dl_httpd_is_reading(const struct dl_httpd *server)
{
	for (const struct client *c = server->clients; c; c = c->next) {
		if (c->sock->bytes_read != c->taken)
			return true;
	}
	return false;
}

/* Stops accepting connections; open ones continue. */
void dl_httpd_stop_accepting(struct dl_httpd *server)
{
	if (!server->accepting)
		return;
	server->accepting = false;
	uv_close((uv_handle_t *)&server->listener, NULL);
}

/*
 * Stops the server.  h2o's context is not freed: the process exits soon after.
 */
void dl_httpd_close(struct dl_httpd *server)
{
	dl_httpd_stop_accepting(server);
	uv_close((uv_handle_t *)&server->disconnect_poll, NULL);
	uv_close((uv_handle_t *)&server->read_limit_poll, NULL);
}

/* Returns the method as it was sent. */
struct dl_str dl_httpd_method(const struct dl_httpd_req *req)
{
	return (struct dl_str){ req->h2o->method.base, req->h2o->method.len };
}

/* Returns the path with its query, as it was sent. */
struct dl_str dl_httpd_path(const struct dl_httpd_req *req)
{
	return (struct dl_str){ req->h2o->path.base, req->h2o->path.len };
}

/* Returns the requested host, without the port. */
struct dl_str dl_httpd_host(const struct dl_httpd_req *req)
{
	h2o_iovec_t host = req->h2o->authority;
	const char *colon = memchr(host.base, ':', host.len);

	return (struct dl_str){ host.base, colon ? (size_t)(colon - host.base) :
						   host.len };
}

/* Returns the requested host as it was sent, with the port. */
struct dl_str dl_httpd_authority(const struct dl_httpd_req *req)
{
	return (struct dl_str){ req->h2o->authority.base,
				req->h2o->authority.len };
}

/* Returns the body, which may be empty. */
struct dl_str dl_httpd_body(const struct dl_httpd_req *req)
{
	return (struct dl_str){ req->h2o->entity.base, req->h2o->entity.len };
}

/*
 * Returns the value of the first header with a name, given in lower case; empty
 * if there is none.
 */
struct dl_str dl_httpd_header(const struct dl_httpd_req *req, const char *name)
{
	ssize_t at = h2o_find_header_by_str(&req->h2o->headers, name,
					    strlen(name), -1);

	if (at < 0)
		return (struct dl_str){ "", 0 };
	return (struct dl_str){
		req->h2o->headers.entries[at].value.base,
		req->h2o->headers.entries[at].value.len,
	};
}

/* Returns all headers, which are valid as long as the request, and their count.
 */
const struct dl_header *dl_httpd_headers(struct dl_httpd_req *req,
					 size_t *count)
{
	const h2o_headers_t *from = &req->h2o->headers;

	*count = from->size;
	if (req->headers)
		return req->headers;
	req->headers = h2o_mem_alloc_pool(
		&req->h2o->pool, (from->size + 1) * sizeof(*req->headers));
	for (size_t i = 0; i < from->size; i++) {
		const h2o_header_t *h = &from->entries[i];

		req->headers[i] = (struct dl_header){
			{ h->name->base, h->name->len },
			{ h->value.base, h->value.len },
		};
	}
	return req->headers;
}

/*
 * Returns the time since the first byte of the request arrived, in ms, by the
 * wall clock that h2o records; 0 if it was set back, and at most read_ms.
 */
uint32_t dl_httpd_age_ms(const struct dl_httpd_req *req)
{
	const struct timeval *begun = &req->h2o->timestamps.request_begin_at;
	const struct timeval *now =
		h2o_get_timestamp(&req->server->ctx, NULL, NULL);
	int64_t ms = (int64_t)(now->tv_sec - begun->tv_sec) * MS_PER_S +
		     (now->tv_usec - begun->tv_usec) / US_PER_MS;

	if (ms <= 0)
		return 0;
	return ms < req->server->conf.read_ms ? (uint32_t)ms :
						req->server->conf.read_ms;
}

/* Stores a pointer of the owner with the request. */
void dl_httpd_set_data(struct dl_httpd_req *req, void *data)
{
	req->data = data;
}

/* Stores the name by which the log has the request. */
void dl_httpd_set_name(struct dl_httpd_req *req, const char *name)
{
	req->name = h2o_strdup(&req->h2o->pool, name, SIZE_MAX).base;
}

/* Returns the pointer stored by the owner. */
void *dl_httpd_data(const struct dl_httpd_req *req)
{
	return req->data;
}

static const char *reason_phrase(uint16_t status)
{
	switch (status) {
	case 200:
		return "OK";
	case 400:
		return "Bad Request";
	case 401:
		return "Unauthorized";
	case 404:
		return "Not Found";
	case 405:
		return "Method Not Allowed";
	case 409:
		return "Conflict";
	case 412:
		return "Precondition Failed";
	case 413:
		return "Payload Too Large";
	case 422:
		return "Unprocessable Content";
	case 429:
		return "Too Many Requests";
	case 502:
		return "Bad Gateway";
	case 503:
		return "Service Unavailable";
	case 504:
		return "Gateway Timeout";
	default:
		return "Answer";
	}
}

/* Copies status and headers into the memory pool of the request. */
static void set_response_head(struct dl_httpd_req *req, uint16_t status,
			      const struct dl_header *headers, size_t count)
{
	h2o_req_t *h2o = req->h2o;

	if (req->server->close_after_responses)
		h2o->http1_is_persistent = 0;
	h2o->res.status = status;
	h2o->res.reason = reason_phrase(status);
	for (size_t i = 0; i < count; i++) {
		h2o_iovec_t name = h2o_strdup(&h2o->pool, headers[i].name.s,
					      headers[i].name.n);
		h2o_iovec_t value = h2o_strdup(&h2o->pool, headers[i].value.s,
					       headers[i].value.n);

		h2o_strtolower(name.base, name.len);
		h2o_add_header_by_str(&h2o->pool, &h2o->res.headers, name.base,
				      name.len, 1, NULL, value.base, value.len);
	}
}

static void send_response(struct dl_httpd_req *req, uint16_t status,
			  const struct dl_header *headers, size_t count,
			  struct dl_str body)
{
	static h2o_generator_t none;
	h2o_req_t *h2o = req->h2o;
	h2o_iovec_t copy;

	set_response_head(req, status, headers, count);
	h2o->res.content_length = body.n;
	copy = h2o_strdup(&h2o->pool, body.s, body.n);
	h2o_start_response(h2o, &none);
	h2o_send(h2o, &copy, 1, H2O_SEND_STATE_FINAL);
}

/* Sends a whole response; the request is invalid afterwards. */
void dl_httpd_reply(struct dl_httpd_req *req, uint16_t status,
		    const struct dl_header *headers, size_t count,
		    struct dl_str body)
{
	req->done = true;
	req->body_bytes = body.n;
	set_held(req, body.n);
	req_move(req, &req->server->unwritten);
	send_response(req, status, headers, count, body);
}

/*
 * Returns what marks the end of a response; h2o sends chunks in HTTP/1.1 alone,
 * and with status 200 alone.
 */
static enum dl_framing framing_of(const h2o_req_t *h2o, size_t length)
{
	if (length != SIZE_MAX)
		return DL_FRAMING_LENGTH;
	return h2o->version == HTTP_1_1 && h2o->res.status == STATUS_OK ?
		       DL_FRAMING_CHUNKS :
		       DL_FRAMING_CLOSE;
}

/*
 * Has the connection reset when it is closed, also by the end of this process,
 * or closed in order.
 */
static void reset_on_close(const struct dl_httpd_req *req, bool reset)
{
	const struct linger linger = { .l_onoff = reset, .l_linger = 0 };
	int fd = socket_fd_of(req);

	if (fd >= 0 &&
	    setsockopt(fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger)))
		dl_msg(DL_MSG_CALLER_SOCKET, "reset=%d error=%d", reset, errno);
}

/*
 * Begins a streamed response; length is SIZE_MAX if not known. Returns what
 * marks its end.
 */
enum dl_framing dl_httpd_begin(struct dl_httpd_req *req, uint16_t status,
			       const struct dl_header *headers, size_t count,
			       size_t length)
{
	set_response_head(req, status, headers, count);
	req->h2o->res.content_length = length;
	req->streaming = true;
	h2o_buffer_init(&req->pending, &h2o_socket_buffer_prototype);
	h2o_buffer_init(&req->in_flight, &h2o_socket_buffer_prototype);
	req->framing = framing_of(req->h2o, length);
	if (req->framing == DL_FRAMING_CLOSE) {
		/* Only the end of the connection ends this response. */
		req->h2o->http1_is_persistent = 0;
		reset_on_close(req, true);
	}
	h2o_start_response(req->h2o, &req->generator);
	return req->framing;
}

/*
 * Breaks the connection of a response that is not complete.  The client must
 * see that it ended early, and no byte that is not part of the response, so
 * that the socket is shut down without h2o, which would end chunks with bytes
 * that are none.  Where nothing but the connection marks the end, only a reset
 * shows it.
 */
static void break_connection(struct dl_httpd_req *req)
{
	int fd = socket_fd_of(req);

	if (fd >= 0 && req->framing != DL_FRAMING_CLOSE)
		shutdown(fd, SHUT_RDWR);
}

/* Passes the queued bytes to h2o, unless it is still sending the last ones. */
static void send_pending(struct dl_httpd_req *req)
{
	h2o_buffer_t *empty = req->in_flight;
	h2o_send_state_t state = H2O_SEND_STATE_IN_PROGRESS;
	h2o_iovec_t bytes;

	if (req->sending)
		return;
	if (req->finishing && !req->complete && req->pending->size == 0)
		break_connection(req);
	if (req->finishing && (req->complete || req->pending->size == 0))
		state = req->complete ? H2O_SEND_STATE_FINAL :
					H2O_SEND_STATE_ERROR;
	else if (req->pending->size == 0)
		return;
	if (state == H2O_SEND_STATE_FINAL && req->framing == DL_FRAMING_CLOSE)
		reset_on_close(req, false);
	req->in_flight = req->pending;
	req->pending = empty;
	req->sending = true;
	bytes = h2o_iovec_init(req->in_flight->bytes, req->in_flight->size);
	h2o_send(req->h2o, &bytes, bytes.len ? 1 : 0, state);
}

static void on_proceed(h2o_generator_t *self, h2o_req_t *h2o)
{
	struct dl_httpd_req *req = (struct dl_httpd_req *)self;
	struct dl_httpd *server = req->server;

	h2o_buffer_consume(&req->in_flight, req->in_flight->size);
	update_held(req);
	req->sending = false;
	if (req->pending->size || req->finishing) {
		send_pending(req);
		return;
	}
	server->ops->drained(server->arg, req);
}

/*
 * Queues bytes of a stream; if it returns false, the caller must wait for
 * drained() before it sends more.
 */
bool dl_httpd_send(struct dl_httpd_req *req, struct dl_str bytes)
{
	h2o_iovec_t space = h2o_buffer_reserve(&req->pending, bytes.n);

	if (space.base == NULL && bytes.n)
		return false;
	if (bytes.n)
		memcpy(space.base, bytes.s, bytes.n);
	req->pending->size += bytes.n;
	req->body_bytes += bytes.n;
	update_held(req);
	send_pending(req);
	return req->pending->size < STREAM_HIGH_WATER;
}

/* Whether bytes of a response may have reached the client. */
bool dl_httpd_begun(const struct dl_httpd_req *req)
{
	return req->streaming;
}

/* Returns how many bytes of a response's body were queued. */
size_t dl_httpd_body_bytes(const struct dl_httpd_req *req)
{
	return req->body_bytes;
}

/* Returns how many bytes of a response's body wait for the client to read. */
size_t dl_httpd_unread_bytes(const struct dl_httpd_req *req)
{
	return req->pending ? req->pending->size : 0;
}

/* Returns how many bytes of responses the server holds for its clients. */
size_t dl_httpd_held(const struct dl_httpd *server)
{
	return server->held;
}

/* Drops what is queued of a response that is not complete. */
static void drop_unread(struct dl_httpd_req *req)
{
	h2o_buffer_consume(&req->pending, req->pending->size);
	if (req->sending)
		break_connection(req);
}

/*
 * Ends a stream once its bytes are sent.  If it is not complete, breaks the
 * connection so that the client can tell.
 */
void dl_httpd_finish(struct dl_httpd_req *req, bool complete)
{
	req->finishing = true;
	req->complete = complete;
	if (!req->done)
		req_move(req, &req->server->unwritten);
	if (!complete && req->held > STREAM_HIGH_WATER)
		drop_unread(req);
	send_pending(req);
}

/*
 * Whether a client still reads a response that has been handed over; false once
 * it is written or the client has gone.
 */
bool dl_httpd_has_unwritten(const struct dl_httpd *server)
{
	return server->unwritten != NULL;
}

/*
 * Logs the responses that are not written yet, and sees to it that the end of
 * this process breaks them off in a way that their clients can tell.
 */
void dl_httpd_abandon_unwritten(struct dl_httpd *server)
{
	for (struct dl_httpd_req *req = server->unwritten; req;
	     req = req->next) {
		if (req->framing == DL_FRAMING_CLOSE)
			reset_on_close(req, true);
		dl_count(DL_METRIC_answers_broken_off, 1);
		dl_msg(DL_MSG_ANSWER_BROKEN_OFF,
		       "request=%s bytes=%zu why=\"stopping\"", req->name,
		       req->body_bytes);
	}
}
