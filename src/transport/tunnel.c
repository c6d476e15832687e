/*
 * Tunnels that this VM forwards; see the header.
 *
 * A connection to an endpoint that fails is blamed on the endpoint only if this
 * VM reaches another one at the same time; otherwise its own links may be cut,
 * as those of the VM that asks are.
 */
#include "transport/tunnel.h"

#include <errno.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "base/metric.h"
#include "transport/frame.h"
#include "transport/late_timer.h"
#include "transport/sock.h"

/* Time for the client's first frame. */
#define OPEN_MS 500
/* For the endpoint's answer; the client waits a little longer. */
#define CONNECT_MS 100
/* After this much silence of the endpoint others are tried as well. */
#define CHECK_AFTER_MS 30
#define CHECKS	       2 /* at a time */
#define CHECKS_MAX     6 /* in all: several endpoints may have died together */
/* Beyond this multiple of the tunnels allowed, clients get no answer. */
#define OVERLOAD_FACTOR 2
/* Bytes queued towards one side before the other is read no further. */
#define QUEUED_MAX     (64u << 10)
#define READ_MAX       65536
#define LISTEN_BACKLOG 512
#define PORT_BITS      16

enum tunnel_state {
	TUNNEL_AWAITS_OPEN,
	TUNNEL_CONNECTING,
	TUNNEL_CHECKING, /* the endpoint failed; do others? */
	TUNNEL_OPEN,
	TUNNEL_ENDING, /* the last frame is being written */
};

struct tunnel;

/* A connection to another endpoint, to check this VM's links. */
struct check {
	uv_tcp_t tcp; /* must be first */
	uv_connect_t connect;
	struct tunnel *tunnel; /* NULL once its result no longer matters */
	uint64_t endpoint;
};

/* One of the two connections of a tunnel. */
struct side {
	uv_tcp_t tcp;
	bool open;   /* the handle is initialised */
	bool paused; /* not read, since the other one does not keep up */
};

struct tunnel {
	struct dl_tunnels *server;
	struct tunnel *next, *prev;
	struct side client, endpoint;
	uv_timer_t timer;
	uint64_t due; /* when the timer fires */
	uv_connect_t connect;
	struct dl_frame_reader in;
	enum tunnel_state state;
	bool asked; /* bytes of the client were sent to the endpoint */
	uint64_t to;
	uint32_t from_ip;
	struct check *checks[CHECKS_MAX];
	uint64_t others[CHECKS_MAX];
	uint32_t others_count;
	uint32_t checks_started, checks_pending;
	bool checked; /* checks were started */
	bool reaches_others;
	enum dl_direct_result result; /* of connecting to the endpoint */
	bool closing;
	unsigned handles;
};

struct write {
	uv_write_t req;
	struct tunnel *tunnel;
	struct side *to;
	char *bytes;
};

struct dl_tunnels {
	uv_loop_t *loop;
	const struct dl_tunnels_ops *ops;
	void *arg;
	uv_tcp_t listener;
	struct tunnel *tunnels;
	uint32_t count, max;
	bool accepting;
	bool closing;
	bool listener_closed;
	char buf[READ_MAX]; /* for the read at hand */
};

static void on_accept(uv_stream_t *listener, int status);
static void on_client_read(uv_stream_t *stream, ssize_t n, const uv_buf_t *buf);
static void on_endpoint_read(uv_stream_t *stream, ssize_t n,
			     const uv_buf_t *buf);
static void on_endpoint_connected(uv_connect_t *req, int status);
static void on_check_connected(uv_connect_t *req, int status);
static void on_timer(uv_timer_t *timer);
static void on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buf);

/* Frees the server once it is closed and has no tunnels. */
static void server_release(struct dl_tunnels *server)
{
	if (server->closing && server->listener_closed && !server->tunnels)
		free(server);
}

static void on_handle_closed(uv_handle_t *handle)
{
	struct tunnel *t = handle->data;
	struct dl_tunnels *server = t->server;

	if (--t->handles)
		return;
	if (t->prev)
		t->prev->next = t->next;
	else
		server->tunnels = t->next;
	if (t->next)
		t->next->prev = t->prev;
	server->count--;
	dl_gauge(DL_METRIC_tunnels_forwarded, server->count);
	dl_frame_reader_free(&t->in);
	free(t);
	server_release(server);
}

static void on_check_closed(uv_handle_t *handle)
{
	free(handle);
}

static void close_checks(struct tunnel *t)
{
	for (uint32_t i = 0; i < CHECKS_MAX; i++) {
		struct check *check = t->checks[i];

		t->checks[i] = NULL;
		if (!check)
			continue;
		check->tunnel = NULL;
		uv_close((uv_handle_t *)&check->tcp, on_check_closed);
	}
	t->checks_pending = 0;
}

/* Closes one side; with reset set, bytes under way are given up. */
static void close_side(struct side *side, bool reset)
{
	if (!side->open)
		return;
	side->open = false;
	if (!reset || uv_tcp_close_reset(&side->tcp, on_handle_closed))
		uv_close((uv_handle_t *)&side->tcp, on_handle_closed);
}

/* Ends a tunnel; with reset set, both sides see that it broke. */
static void tunnel_close(struct tunnel *t, bool reset)
{
	if (t->closing)
		return;
	t->closing = true;
	close_checks(t);
	close_side(&t->client, reset);
	close_side(&t->endpoint, reset);
	uv_close((uv_handle_t *)&t->timer, on_handle_closed);
}

static void side_init(struct tunnel *t, struct side *side)
{
	uv_tcp_init(t->server->loop, &side->tcp);
	side->tcp.data = t;
	side->open = true;
	t->handles++;
}

static bool keeps_up(const struct side *side)
{
	return uv_stream_get_write_queue_size((const uv_stream_t *)&side->tcp) <
	       QUEUED_MAX;
}

/* Reads one side as long as the other one keeps up. */
static void balance(struct side *read, const struct side *written,
		    uv_read_cb on_read)
{
	bool pause = !keeps_up(written);

	if (pause == read->paused || !read->open)
		return;
	read->paused = pause;
	if (pause)
		uv_read_stop((uv_stream_t *)&read->tcp);
	else
		uv_read_start((uv_stream_t *)&read->tcp, on_alloc, on_read);
}

static void balance_both(struct tunnel *t)
{
	if (t->closing || t->state != TUNNEL_OPEN)
		return;
	balance(&t->client, &t->endpoint, on_client_read);
	balance(&t->endpoint, &t->client, on_endpoint_read);
}

static void on_written(uv_write_t *req, int status)
{
	struct write *w = req->data;
	struct tunnel *t = w->tunnel;
	bool to_client = w->to == &t->client;

	free(w->bytes);
	free(w);
	if (t->closing || (t->state == TUNNEL_ENDING && !to_client))
		return;
	if (status < 0)
		tunnel_close(t, true);
	else if (t->state != TUNNEL_ENDING)
		balance_both(t);
	else if (!uv_stream_get_write_queue_size((uv_stream_t *)&t->client.tcp))
		tunnel_close(t, false);
}

/* Writes bytes to one side and frees them; NULL: memory has run out. */
static void write_bytes(struct tunnel *t, struct side *to, char *bytes,
			size_t n)
{
	struct write *w = calloc(1, sizeof(*w));
	uv_buf_t buf = uv_buf_init(bytes, (unsigned)n);

	if (w && bytes) {
		w->tunnel = t;
		w->to = to;
		w->bytes = bytes;
		w->req.data = w;
		if (!uv_write(&w->req, (uv_stream_t *)&to->tcp, &buf, 1,
			      on_written)) {
			balance_both(t);
			return;
		}
	}
	free(w);
	free(bytes);
	tunnel_close(t, true);
}

static void send_frame(struct tunnel *t, uint32_t kind, uint64_t request,
		       struct dl_str body)
{
	struct dl_frame f = { .kind = kind, .request = request, .body = body };
	size_t n = 0;
	char *bytes = dl_frame_bytes(&f, &n);

	write_bytes(t, &t->client, bytes, n);
}

/* Sends the last frame; the tunnel is closed once it is written. */
static void send_last(struct tunnel *t, uint32_t kind, uint64_t request)
{
	t->state = TUNNEL_ENDING;
	close_checks(t);
	uv_timer_stop(&t->timer);
	uv_read_stop((uv_stream_t *)&t->client.tcp);
	close_side(&t->endpoint, false);
	send_frame(t, kind, request, DL_STR(""));
}

static void refuse(struct tunnel *t, enum dl_forward_result why)
{
	dl_count(DL_METRIC_tunnels_refused, 1);
	send_last(t, DL_FRAME_TUNNEL_FAILED, why);
}

/* Tells the owner what this VM's own connection came to. */
static void note_direct(struct tunnel *t, uint64_t endpoint,
			enum dl_direct_result result)
{
	t->server->ops->direct(t->server->arg, endpoint, result);
}

static int start_connect(uv_tcp_t *tcp, uv_connect_t *req, uint64_t address,
			 uv_connect_cb on_connected)
{
	struct sockaddr_in sin = dl_sock_addr(address);

	return uv_tcp_connect(req, tcp, (const void *)&sin, on_connected);
}

/* Tries the next of the other endpoints, if any is left. */
static void start_check(struct tunnel *t)
{
	while (t->checks_started < t->others_count) {
		struct check *check = calloc(1, sizeof(*check));
		uint32_t i = t->checks_started++;

		if (!check)
			return;
		uv_tcp_init(t->server->loop, &check->tcp);
		check->tunnel = t;
		check->endpoint = t->others[i];
		check->connect.data = check;
		t->checks[i] = check;
		if (start_connect(&check->tcp, &check->connect, t->others[i],
				  on_check_connected))
			continue;
		t->checks_pending++;
		return;
	}
}

/*
 * Tries other endpoints, since one that fails may be at fault, or this VM's
 * links.
 */
static void start_checks(struct tunnel *t)
{
	if (t->checked)
		return;
	t->checked = true;
	t->others_count = t->server->ops->others(t->server->arg, t->to,
						 t->others, CHECKS_MAX);
	/* Where there is no other endpoint, nothing speaks for this one. */
	t->reaches_others = t->others_count == 0;
	for (int i = 0; i < CHECKS; i++)
		start_check(t);
}

/* Answers that the endpoint is at fault, or that this VM may be. */
static void answer_failed(struct tunnel *t, bool reaches_others)
{
	if (!reaches_others)
		refuse(t, DL_FORWARD_CUT_OFF);
	else if (t->result == DL_DIRECT_SILENT)
		refuse(t, DL_FORWARD_ENDPOINT_SILENT);
	else
		refuse(t, DL_FORWARD_ENDPOINT_REFUSED);
}

/* The endpoint cannot be reached; whose fault that is may have to be found. */
static void endpoint_failed(struct tunnel *t, enum dl_direct_result result)
{
	t->result = result;
	t->state = TUNNEL_CHECKING;
	close_side(&t->endpoint, true);
	note_direct(t, t->to, result);
	start_checks(t);
	if (!t->checks_pending)
		answer_failed(t, t->reaches_others);
	else
		dl_timer_once(&t->timer, on_timer, CONNECT_MS, &t->due);
}

static void on_check_connected(uv_connect_t *req, int status)
{
	struct check *check = req->data;
	struct tunnel *t = check->tunnel;

	if (!t)
		return;
	t->checks_pending--;
	note_direct(t, check->endpoint,
		    status ? DL_DIRECT_REFUSED : DL_DIRECT_CONNECTED);
	if (t->closing)
		return;
	if (status)
		start_check(t);
	else
		t->reaches_others = true;
	if (t->state == TUNNEL_CHECKING &&
	    (t->reaches_others || !t->checks_pending))
		answer_failed(t, t->reaches_others);
}

static void on_endpoint_connected(uv_connect_t *req, int status)
{
	struct tunnel *t = req->data;

	if (t->closing || t->state != TUNNEL_CONNECTING)
		return;
	if (status) {
		endpoint_failed(t, DL_DIRECT_REFUSED);
		return;
	}
	close_checks(t);
	uv_timer_stop(&t->timer);
	note_direct(t, t->to, DL_DIRECT_CONNECTED);
	t->state = TUNNEL_OPEN;
	uv_tcp_nodelay(&t->endpoint.tcp, 1);
	uv_read_start((uv_stream_t *)&t->endpoint.tcp, on_alloc,
		      on_endpoint_read);
	dl_count(DL_METRIC_tunnels_opened, 1);
	send_frame(t, DL_FRAME_TUNNEL_OPENED, t->to, DL_STR(""));
}

static void on_timer(uv_timer_t *timer)
{
	struct tunnel *t = timer->data;

	if (dl_timer_put_off(timer, on_timer, &t->due))
		return;
	switch (t->state) {
	case TUNNEL_AWAITS_OPEN:
		tunnel_close(t, true);
		return;
	case TUNNEL_CONNECTING:
		if (!t->checked) {
			start_checks(t);
			dl_timer_once(&t->timer, on_timer,
				      CONNECT_MS - CHECK_AFTER_MS, &t->due);
			return;
		}
		t->result = DL_DIRECT_SILENT;
		note_direct(t, t->to, DL_DIRECT_SILENT);
		answer_failed(t, t->reaches_others);
		return;
	case TUNNEL_CHECKING:
		answer_failed(t, false);
		return;
	default:
		return;
	}
}

/* Handles the first frame: connects to the endpoint or refuses. */
static bool on_open_frame(void *arg, const struct dl_frame *f)
{
	struct tunnel *t = arg;
	struct dl_tunnels *server = t->server;
	enum dl_forward_result verdict;

	if (t->state != TUNNEL_AWAITS_OPEN || f->kind != DL_FRAME_TUNNEL_OPEN) {
		tunnel_close(t, true);
		return false;
	}
	t->to = f->request;
	verdict = server->accepting && server->count <= server->max ?
			  server->ops->admit(server->arg, t->to, f->body) :
			  DL_FORWARD_UNAVAILABLE;
	if (verdict != DL_FORWARD_CONNECTED) {
		refuse(t, verdict);
		return true;
	}
	t->state = TUNNEL_CONNECTING;
	side_init(t, &t->endpoint);
	t->connect.data = t;
	dl_timer_once(&t->timer, on_timer, CHECK_AFTER_MS, &t->due);
	if (start_connect(&t->endpoint.tcp, &t->connect, t->to,
			  on_endpoint_connected))
		endpoint_failed(t, DL_DIRECT_REFUSED);
	return true;
}

static void on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
	struct tunnel *t = handle->data;

	*buf = uv_buf_init(t->server->buf, READ_MAX);
}

static void on_client_read(uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
	struct tunnel *t = stream->data;
	size_t room;
	char *to;

	if (n == 0 || t->closing)
		return;
	if (n < 0) {
		tunnel_close(t, n != UV_EOF);
		return;
	}
	if (t->state == TUNNEL_OPEN) {
		t->asked = true;
		write_bytes(t, &t->endpoint, g_memdup2(buf->base, (gsize)n),
			    (size_t)n);
		return;
	}
	if (t->state != TUNNEL_AWAITS_OPEN ||
	    !dl_frame_reader_room(&t->in, &to, &room) || room < (size_t)n) {
		tunnel_close(t, true);
		return;
	}
	memcpy(to, buf->base, (size_t)n);
	t->in.filled += (size_t)n;
	if (dl_frame_reader_take(&t->in, on_open_frame, t) == -EPROTO)
		tunnel_close(t, true);
}

/*
 * Whether the endpoint has got all that the client has sent.  A write that
 * failed is still queued, and has taken the error of a reset from the socket.
 */
static bool has_whole_request(const struct tunnel *t)
{
	return !uv_stream_get_write_queue_size(
		       (const uv_stream_t *)&t->endpoint.tcp) &&
	       dl_sock_is_acknowledged(&t->endpoint.tcp) &&
	       dl_sock_unread(&t->client.tcp, 1) <= 0;
}

/* Bytes that come before a request are no response: they end the tunnel. */
static void on_endpoint_read(uv_stream_t *stream, ssize_t n,
			     const uv_buf_t *buf)
{
	struct tunnel *t = stream->data;

	if (n == 0 || t->closing || t->state != TUNNEL_OPEN)
		return;
	if (n > 0 && t->asked)
		send_frame(t, DL_FRAME_TUNNEL_DATA, 0,
			   (struct dl_str){ buf->base, (size_t)n });
	else if (n == UV_EOF && !dl_sock_was_reset(&t->endpoint.tcp) &&
		 has_whole_request(t))
		send_last(t, DL_FRAME_TUNNEL_END, 0);
	else
		tunnel_close(t, true);
}

static uint32_t peer_ip(const uv_tcp_t *tcp)
{
	struct sockaddr_storage peer = { 0 };
	int n = sizeof(peer);

	if (uv_tcp_getpeername(tcp, (struct sockaddr *)&peer, &n))
		return 0;
	return (uint32_t)(dl_sock_vm((struct sockaddr *)&peer) >> PORT_BITS);
}

static void on_accept(uv_stream_t *listener, int status)
{
	struct dl_tunnels *server = listener->data;
	struct tunnel *t;

	if (status < 0)
		return;
	/* Without memory the connection waits for the next one to be accepted.
	 */
	t = calloc(1, sizeof(*t));
	if (!t)
		return;
	t->server = server;
	t->next = server->tunnels;
	if (t->next)
		t->next->prev = t;
	server->tunnels = t;
	server->count++;
	dl_gauge(DL_METRIC_tunnels_forwarded, server->count);
	uv_timer_init(server->loop, &t->timer);
	t->timer.data = t;
	t->handles++;
	side_init(t, &t->client);
	if (uv_accept(listener, (uv_stream_t *)&t->client.tcp) ||
	    uv_read_start((uv_stream_t *)&t->client.tcp, on_alloc,
			  on_client_read)) {
		tunnel_close(t, true);
		return;
	}
	if (server->count > OVERLOAD_FACTOR * server->max) {
		tunnel_close(t, true);
		return;
	}
	t->from_ip = peer_ip(&t->client.tcp);
	uv_tcp_nodelay(&t->client.tcp, 1);
	dl_timer_once(&t->timer, on_timer, OPEN_MS, &t->due);
}

static void on_listener_closed(uv_handle_t *handle)
{
	struct dl_tunnels *server = handle->data;

	server->listener_closed = true;
	server_release(server);
}

/* Listens for tunnels of other VMs. */
int dl_tunnels_open(uv_loop_t *loop, uint64_t address, uint32_t tunnels_max,
		    const struct dl_tunnels_ops *ops, void *arg,
		    struct dl_tunnels **out, struct dl_err *err)
{
	struct dl_tunnels *server = calloc(1, sizeof(*server));
	struct sockaddr_in sin = dl_sock_addr(address);
	char text[24];
	int rc;

	if (!server)
		return dl_err_set(err, -ENOMEM, DL_STEP_CONNECT, NULL,
				  "out of memory");
	server->loop = loop;
	server->ops = ops;
	server->arg = arg;
	server->max = tunnels_max;
	server->accepting = true;
	uv_tcp_init(loop, &server->listener);
	server->listener.data = server;
	rc = uv_tcp_bind(&server->listener, (const void *)&sin, 0);
	if (!rc)
		rc = uv_listen((uv_stream_t *)&server->listener, LISTEN_BACKLOG,
			       on_accept);
	if (rc) {
		dl_tunnels_close(server);
		return dl_err_set(err, rc, DL_STEP_CONNECT,
				  dl_vm_text(address, text),
				  "cannot listen for tunnels: %s",
				  uv_strerror(rc));
	}
	*out = server;
	return 0;
}

/* Refuses new tunnels; open ones go on. */
void dl_tunnels_stop_accepting(struct dl_tunnels *tunnels)
{
	tunnels->accepting = false;
}

/* Returns the number of tunnels. */
uint32_t dl_tunnels_count(const struct dl_tunnels *tunnels)
{
	return tunnels->count;
}

/* Ends the tunnels of a VM that is gone. */
void dl_tunnels_vm_gone(struct dl_tunnels *tunnels, uint64_t vm)
{
	for (struct tunnel *t = tunnels->tunnels; t; t = t->next) {
		if (t->from_ip == (uint32_t)(vm >> PORT_BITS))
			tunnel_close(t, true);
	}
}

/* Closes everything; frees the server once the loop has run. */
void dl_tunnels_close(struct dl_tunnels *tunnels)
{
	tunnels->closing = true;
	for (struct tunnel *t = tunnels->tunnels; t; t = t->next)
		tunnel_close(t, true);
	uv_close((uv_handle_t *)&tunnels->listener, on_listener_closed);
}
