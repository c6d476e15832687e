/*
 * Connections between the processes of the system.  A process sends frames only
 * on connections that it opened and receives them only on connections that it
 * accepted, so two ends that connect to each other at the same time never have
 * to agree on which connection to keep.
 */
#include "transport/peers.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "base/metric.h"
#include "base/msg.h"
#include "transport/late_timer.h"
#include "transport/sock.h"

#define LISTEN_BACKLOG	  512
#define DATAGRAM_BODY_MAX 1200
/* A time in the reply to a heartbeat, in network byte order. */
#define TIME_BYTES 8

struct conn {
	uv_tcp_t tcp; /* must be first: handles are cast to struct conn */
	uv_connect_t connecting;
	struct dl_peers *peers;
	struct conn *next, *prev;
	uint64_t vm; /* DL_VM_NONE on an accepted one before its hello */
	uint64_t incarnation; /* the peer's, from its hello */
	bool outgoing;
	bool connected;
	bool closing;
	int64_t last_read;	 /* time of the last byte read */
	int64_t connect_started; /* time of the connect() */
	int64_t last_ping;
	int64_t confirmed_at; /* what arrives was sent after this, boot ms */
	int64_t time_of_peer; /* in its last reply to a heartbeat, its boot ms
			       */
	int64_t last_frame;   /* last frame of the owner, in either direction */
	size_t queued;	      /* bytes not yet written */
	struct write *pending; /* held until connected, oldest first */
	struct write **pending_tail;
	struct dl_frame_reader in;
};

struct write {
	uv_write_t req;
	struct write *next;
	struct conn *conn;
	size_t n;
	char *bytes;
};

struct dl_peers {
	uv_loop_t *loop;
	struct dl_peers_conf conf;
	const struct dl_peers_ops *ops;
	void *arg;
	uv_tcp_t listener;
	uv_udp_t udp;
	uv_timer_t timer;
	int64_t timer_at; /* when it fired last */
	struct conn *conns;
	GHashTable *by_vm; /* VM to the connection opened to it */
	uint64_t blocked[DL_PEERS_BLOCKED_MAX];
	uint32_t blocked_count;
	unsigned handles; /* open handles */
	bool closing;
	char datagram[65536];
};

static void on_accept(uv_stream_t *listener, int status);
static void on_connect(uv_connect_t *req, int status);
static void on_read(uv_stream_t *stream, ssize_t n, const uv_buf_t *buf);
static void on_datagram(uv_udp_t *udp, ssize_t n, const uv_buf_t *buf,
			const struct sockaddr *from, unsigned flags);
static void on_timer(uv_timer_t *timer);

/* Sets the default timeouts, for VMs with a round trip of about 1 ms. */
void dl_peers_defaults(struct dl_peers_conf *conf)
{
	memset(conf, 0, sizeof(*conf));
	conf->heartbeat_ms = 500;
	/* Three lost heartbeats; less would take a busy loop for a failure. */
	conf->silent_ms = 2000;
	conf->idle_close_ms = 30000;
	/*
	 * A few round trips between regions.  The kernel resends a lost SYN
	 * only after 1, 3 and 7 s, which delayed reconnection by 0.4 to 1.2 s
	 * after a partition of 5.5 s had healed.
	 */
	conf->connect_ms = 250;
	/* Fits a snapshot; bounds the memory for a peer that does not read. */
	conf->queue_bytes_max = 80u << 20;
}

static int64_t peers_now(const struct dl_peers *peers)
{
	return (int64_t)uv_now(peers->loop);
}

static void handle_closed(struct dl_peers *peers)
{
	peers->handles--;
	if (!peers->closing || peers->handles || peers->conns)
		return;
	g_hash_table_destroy(peers->by_vm);
	free(peers);
}

static void on_handle_closed(uv_handle_t *handle)
{
	handle_closed(handle->data);
}

static void write_free(struct write *w)
{
	free(w->bytes);
	free(w);
}

static void on_conn_closed(uv_handle_t *handle)
{
	struct conn *c = (struct conn *)handle;
	struct dl_peers *peers = c->peers;
	struct write *w;

	while ((w = c->pending)) {
		c->pending = w->next;
		write_free(w);
	}
	dl_frame_reader_free(&c->in);
	free(c);
	handle_closed(peers);
}

/*
 * Closes a connection.  Calls down() if this process opened it and why is an
 * error.
 */
static void conn_close(struct conn *c, int why)
{
	struct dl_peers *peers = c->peers;
	char text[24];

	if (c->closing)
		return;
	c->closing = true;
	if (c->prev)
		c->prev->next = c->next;
	else
		peers->conns = c->next;
	if (c->next)
		c->next->prev = c->prev;
	if (c->outgoing && g_hash_table_lookup(peers->by_vm, &c->vm) == c)
		g_hash_table_remove(peers->by_vm, &c->vm);
	uv_close((uv_handle_t *)&c->tcp, on_conn_closed);
	if (!c->outgoing || peers->closing)
		return;
	if (!why)
		return;
	dl_msg(DL_MSG_PEER_DOWN, "vm=%s error=%s", dl_vm_text(c->vm, text),
	       uv_strerror(why));
	if (peers->ops->down)
		peers->ops->down(peers->arg, c->vm);
}

static struct conn *conn_new(struct dl_peers *peers)
{
	struct conn *c = calloc(1, sizeof(*c));

	if (!c)
		return NULL;
	uv_tcp_init(peers->loop, &c->tcp);
	peers->handles++;
	c->peers = peers;
	c->pending_tail = &c->pending;
	c->last_read = peers_now(peers);
	c->connect_started = c->last_read;
	c->last_ping = c->last_read;
	c->last_frame = c->last_read;
	c->next = peers->conns;
	if (c->next)
		c->next->prev = c;
	peers->conns = c;
	return c;
}

static void on_written(uv_write_t *req, int status)
{
	struct write *w = req->data;

	w->conn->queued -= w->n;
	if (status < 0)
		conn_close(w->conn, status);
	write_free(w);
}

/* Reports whether traffic to and from a VM is dropped, for a test. */
static bool is_blocked(const struct dl_peers *peers, uint64_t vm)
{
	for (uint32_t i = 0; i < peers->blocked_count; i++) {
		if (peers->blocked[i] == vm)
			return true;
	}
	return false;
}

/* Drops all traffic to and from these VMs and no others; for tests. */
void dl_peers_block(struct dl_peers *peers, const uint64_t *vms, uint32_t count)
{
	peers->blocked_count =
		count < DL_PEERS_BLOCKED_MAX ? count : DL_PEERS_BLOCKED_MAX;
	if (peers->blocked_count)
		memcpy(peers->blocked, vms,
		       peers->blocked_count * sizeof(*vms));
}

static void conn_write(struct conn *c, struct write *w)
{
	uv_buf_t buf = uv_buf_init(w->bytes, (unsigned)w->n);

	if (is_blocked(c->peers, c->vm)) {
		c->queued -= w->n;
		write_free(w);
		return;
	}

	w->req.data = w;
	dl_count(DL_METRIC_peer_frames_out, 1);
	dl_count(DL_METRIC_peer_bytes_out, (int64_t)w->n);
	if (uv_write(&w->req, (uv_stream_t *)&c->tcp, &buf, 1, on_written))
		write_free(w);
}

/* Queues a frame on a connection, holding it until it is connected. */
static int conn_send(struct conn *c, uint32_t kind, uint64_t request,
		     struct dl_str body)
{
	struct dl_frame f = { kind, request, c->peers->conf.incarnation, body,
			      0 };
	struct write *w = calloc(1, sizeof(*w));

	if (w)
		w->bytes = dl_frame_bytes(&f, &w->n);
	if (!w || !w->bytes) {
		free(w);
		return -ENOMEM;
	}
	w->conn = c;
	c->queued += w->n;
	if (c->connected) {
		conn_write(c, w);
		return 0;
	}
	*c->pending_tail = w;
	c->pending_tail = &w->next;
	return 0;
}

static void on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
	struct conn *c = (struct conn *)handle;
	size_t n;
	char *to;

	if (dl_frame_reader_room(&c->in, &to, &n))
		*buf = uv_buf_init(to, (unsigned)n);
	else
		*buf = uv_buf_init(NULL, 0);
}

/* Closes the connections accepted from earlier incarnations of a VM. */
static void close_older(struct conn *newer)
{
	struct conn *c, *next;

	for (c = newer->peers->conns; c; c = next) {
		next = c->next;
		if (c != newer && !c->outgoing && c->vm == newer->vm &&
		    c->incarnation < newer->incarnation)
			conn_close(c, 0);
	}
}

static void conn_protocol_error(struct conn *c);

/* Milliseconds since boot: goes on while the VM is suspended. */
static int64_t boot_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_BOOTTIME, &ts);
	return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

/*
 * Sends a heartbeat. On the connection that this process opened it returns the
 * time that the other end put into its last reply; on an accepted one it
 * carries our own, which the reply repeats.
 */
static void conn_ping(struct conn *c)
{
	int64_t time = c->outgoing ? c->time_of_peer : boot_ms();

	c->last_ping = peers_now(c->peers);
	conn_send(c, DL_FRAME_PING,
		  c->peers->conf.date_frames ? (uint64_t)time : 0, DL_STR(""));
}

/*
 * Our own time returned on a connection that frames arrive on. The connection
 * keeps their order, so later ones were sent after that time.
 */
static void note_time_returned(struct conn *c, uint64_t time)
{
	int64_t at = (int64_t)time;

	if (c->peers->conf.date_frames && !c->outgoing &&
	    at > c->confirmed_at && at <= boot_ms())
		c->confirmed_at = at;
}

/* Answers a heartbeat, with our time for the next one to return. */
static void on_ping(struct conn *c, const struct dl_frame *f)
{
	unsigned char time[TIME_BYTES];
	uint64_t now = (uint64_t)boot_ms();

	note_time_returned(c, f->request);
	if (!c->peers->conf.date_frames || c->outgoing) {
		conn_send(c, DL_FRAME_PONG, f->request, f->body);
		return;
	}
	for (int i = TIME_BYTES - 1; i >= 0; i--) {
		time[i] = (unsigned char)now;
		now >>= 8;
	}
	conn_send(c, DL_FRAME_PONG, f->request,
		  (struct dl_str){ (char *)time, sizeof(time) });
}

/* Handles the reply to a heartbeat. */
static void on_pong(struct conn *c, const struct dl_frame *f)
{
	int64_t time = 0;

	note_time_returned(c, f->request);
	if (!c->outgoing || f->body.n != TIME_BYTES)
		return;
	for (int i = 0; i < TIME_BYTES; i++)
		time = time << 8 | (unsigned char)f->body.s[i];
	c->time_of_peer = time;
}

static void conn_handle_frame(struct conn *c, const struct dl_frame *f)
{
	struct dl_peers *peers = c->peers;
	struct dl_frame dated;

	if (!c->outgoing && c->vm == DL_VM_NONE && f->kind != DL_FRAME_HELLO) {
		/*
		 * Replying to pings would keep a connection of an unknown
		 * sender open; once closed, the peer opens a new one.
		 */
		conn_protocol_error(c);
		return;
	}
	switch (f->kind) {
	case DL_FRAME_HELLO:
		c->vm = f->request;
		c->incarnation = f->incarnation;
		if (is_blocked(c->peers, c->vm))
			return;
		close_older(c);
		if (peers->conf.date_frames)
			conn_ping(c);
		return;
	case DL_FRAME_PING:
		on_ping(c, f);
		return;
	case DL_FRAME_PONG:
		on_pong(c, f);
		return;
	default:
		break;
	}
	if (c->outgoing || c->vm == DL_VM_NONE ||
	    f->incarnation != c->incarnation) {
		dl_count(DL_METRIC_late_frames_dropped, 1);
		return;
	}
	c->last_frame = peers_now(peers);
	dl_count(DL_METRIC_peer_frames_in, 1);
	dated = *f;
	dated.sent_after = c->confirmed_at;
	peers->ops->frame(peers->arg, c->vm, &dated);
}

static void conn_protocol_error(struct conn *c)
{
	char text[24];

	dl_count(DL_METRIC_peer_bad_frames, 1);
	dl_msg(DL_MSG_PEER_BAD_FRAME, "vm=%s", dl_vm_text(c->vm, text));
	conn_close(c, UV_EPROTO);
}

static bool on_conn_frame(void *arg, const struct dl_frame *f)
{
	struct conn *c = arg;

	conn_handle_frame(c, f);
	return !c->closing;
}

static void on_read(uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
	struct conn *c = (struct conn *)stream;

	if (n < 0) {
		conn_close(c, (int)n);
		return;
	}
	if (is_blocked(c->peers, c->vm))
		return;
	c->last_read = peers_now(c->peers);
	c->in.filled += (size_t)n;
	dl_count(DL_METRIC_peer_bytes_in, n);
	if (dl_frame_reader_take(&c->in, on_conn_frame, c) == -EPROTO)
		conn_protocol_error(c);
}

static void on_accept(uv_stream_t *listener, int status)
{
	struct dl_peers *peers = listener->data;
	struct conn *c;

	if (status < 0)
		return;
	c = conn_new(peers);
	if (!c)
		return;
	c->connected = true;
	if (uv_accept(listener, (uv_stream_t *)&c->tcp) ||
	    uv_read_start((uv_stream_t *)&c->tcp, on_alloc, on_read)) {
		conn_close(c, 0);
		return;
	}
	uv_tcp_nodelay(&c->tcp, 1);
}

static void on_connect(uv_connect_t *req, int status)
{
	struct conn *c = req->data;
	struct write *w;

	if (c->closing)
		return;
	if (status < 0) {
		conn_close(c, status);
		return;
	}
	c->connected = true;
	c->last_read = peers_now(c->peers);
	uv_tcp_nodelay(&c->tcp, 1);
	if (uv_read_start((uv_stream_t *)&c->tcp, on_alloc, on_read)) {
		conn_close(c, UV_EIO);
		return;
	}
	while ((w = c->pending)) {
		c->pending = w->next;
		w->next = NULL;
		conn_write(c, w);
	}
	c->pending_tail = &c->pending;
	if (c->peers->ops->up)
		c->peers->ops->up(c->peers->arg, c->vm);
}

/* Creates a connection to a VM without connecting it. */
static struct conn *conn_new_outgoing(struct dl_peers *peers, uint64_t vm)
{
	struct conn *c = conn_new(peers);

	if (!c)
		return NULL;
	c->outgoing = true;
	c->vm = vm;
	c->connecting.data = c;
	g_hash_table_replace(peers->by_vm, &c->vm, c);
	return c;
}

static int conn_connect(struct conn *c)
{
	struct sockaddr_in sin = dl_sock_addr(c->vm);

	return uv_tcp_connect(&c->connecting, &c->tcp, (void *)&sin,
			      on_connect);
}

static struct conn *conn_to(struct dl_peers *peers, uint64_t vm)
{
	struct conn *c = g_hash_table_lookup(peers->by_vm, &vm);

	if (c)
		return c;
	c = conn_new_outgoing(peers, vm);
	if (!c)
		return NULL;
	conn_send(c, DL_FRAME_HELLO, peers->conf.self, DL_STR(""));
	if (conn_connect(c)) {
		conn_close(c, UV_ECONNREFUSED);
		return NULL;
	}
	return c;
}

/*
 * Repeats a connection attempt whose SYN seems lost, moving the pending frames
 * to the new connection.  The silence timeout runs from the first attempt.
 */
static void conn_retry(struct conn *c)
{
	struct conn *retry = conn_new_outgoing(c->peers, c->vm);
	struct write *w;

	if (!retry)
		return;
	retry->pending = c->pending;
	if (c->pending)
		retry->pending_tail = c->pending_tail;
	retry->queued = c->queued;
	retry->last_read = c->last_read;
	retry->last_frame = c->last_frame;
	for (w = retry->pending; w; w = w->next)
		w->conn = retry;
	c->pending = NULL;
	c->pending_tail = &c->pending;
	c->queued = 0;
	conn_close(c, 0);
	if (conn_connect(retry))
		conn_close(retry, UV_ECONNREFUSED);
}

/*
 * Queues a frame on the connection to a VM, opening one if needed.  Returns 0,
 * -EAGAIN if the queue is full or no connection can be opened, or -EMSGSIZE.
 * Delivery is not guaranteed; a lost connection is reported through down().
 */
int dl_peers_send(struct dl_peers *peers, uint64_t to, uint32_t kind,
		  uint64_t request, struct dl_str body)
{
	struct conn *c;

	if (body.n > DL_FRAME_BODY_MAX)
		return -EMSGSIZE;
	c = conn_to(peers, to);
	if (!c)
		return -EAGAIN;
	if (c->queued + body.n > peers->conf.queue_bytes_max)
		return -EAGAIN;
	c->last_frame = peers_now(peers);
	return conn_send(c, kind, request, body);
}

/*
 * Sends a frame as one datagram, which may be lost without notice.  Returns 0,
 * -EMSGSIZE if the body is too long, or a negative errno.
 */
int dl_peers_send_datagram(struct dl_peers *peers, uint64_t to, uint32_t kind,
			   uint64_t request, struct dl_str body)
{
	struct dl_frame f = { kind, request, peers->conf.incarnation, body, 0 };
	struct sockaddr_in sin = dl_sock_addr(to);
	msgpack_sbuffer out;
	uv_buf_t buf;
	int rc;

	if (body.n > DATAGRAM_BODY_MAX)
		return -EMSGSIZE;
	if (is_blocked(peers, to))
		return 0;
	msgpack_sbuffer_init(&out);
	dl_frame_pack(&out, &f);
	buf = uv_buf_init(out.data, (unsigned)out.size);
	rc = uv_udp_try_send(&peers->udp, &buf, 1, (void *)&sin);
	dl_count(DL_METRIC_peer_bytes_out, (int64_t)out.size);
	dl_count(DL_METRIC_peer_frames_out, 1);
	msgpack_sbuffer_destroy(&out);
	return rc < 0 ? rc : 0;
}

static void on_datagram_alloc(uv_handle_t *handle, size_t n, uv_buf_t *buf)
{
	struct dl_peers *peers = handle->data;

	*buf = uv_buf_init(peers->datagram, sizeof(peers->datagram));
}

static void on_datagram(uv_udp_t *udp, ssize_t n, const uv_buf_t *buf,
			const struct sockaddr *from, unsigned flags)
{
	struct dl_peers *peers = udp->data;
	msgpack_unpacked u;
	struct dl_frame f;

	if (n <= 0 || !from || from->sa_family != AF_INET ||
	    is_blocked(peers, dl_sock_vm(from)))
		return;
	dl_count(DL_METRIC_peer_bytes_in, n);
	dl_count(DL_METRIC_peer_frames_in, 1);
	msgpack_unpacked_init(&u);
	if (dl_frame_parse(&u, buf->base, (size_t)n, &f))
		peers->ops->frame(peers->arg, dl_sock_vm(from), &f);
	else
		dl_count(DL_METRIC_peer_bad_frames, 1);
	msgpack_unpacked_destroy(&u);
}

/*
 * Returns for how long this process did not run since the timer fired last, ms.
 */
static int64_t pause_ms(struct dl_peers *peers, int64_t now)
{
	int64_t late = now - peers->timer_at - peers->conf.connect_ms / 2;

	peers->timer_at = now;
	return late < DL_TIMER_LATE_MS ? 0 : late;
}

/*
 * Does not count a pause of this process as silence of its peers, whose frames
 * wait to be read: they may be told of only once.
 */
static void allow_for_pause(struct dl_peers *peers, int64_t pause)
{
	for (struct conn *c = peers->conns; c; c = c->next) {
		c->last_read += pause;
		c->connect_started += pause;
	}
}

static bool conn_timed_out(const struct conn *c, int64_t now)
{
	return now - c->last_read > c->peers->conf.silent_ms;
}

/*
 * Whether frames of a peer are dated by heartbeats of our own. Those of others
 * are dated by the peer's, at no cost, but up to twice as late: a VM that
 * dispatches has a connection from each of a hundred others.
 */
static bool is_dated_soon(const struct conn *c)
{
	const struct dl_peers *peers = c->peers;

	return peers->conf.date_frames && c->vm != DL_VM_NONE &&
	       peers->ops->dated_soon &&
	       peers->ops->dated_soon(peers->arg, c->vm);
}

/*
 * Closes silent and unused connections, repeats connection attempts, and sends
 * heartbeats on the connections that this process opened.
 */
static void on_timer(uv_timer_t *timer)
{
	struct dl_peers *peers = timer->data;
	int64_t now = peers_now(peers);
	struct conn *c, *next;
	char text[24];

	allow_for_pause(peers, pause_ms(peers, now));
	for (c = peers->conns; c; c = next) {
		next = c->next;
		if (conn_timed_out(c, now)) {
			dl_count(DL_METRIC_peer_silent, 1);
			dl_msg(DL_MSG_PEER_SILENT, "vm=%s",
			       dl_vm_text(c->vm, text));
			conn_close(c, UV_ETIMEDOUT);
			/* down() may have closed others: restart the scan */
			next = peers->conns;
			continue;
		}
		if (!c->outgoing) {
			if (now - c->last_ping >= peers->conf.heartbeat_ms &&
			    is_dated_soon(c))
				conn_ping(c);
			continue;
		}
		if (!c->connected) {
			if (now - c->connect_started >=
			    peers->conf.connect_ms) {
				conn_retry(c);
				next = peers->conns;
			}
			continue;
		}
		if (now - c->last_frame > peers->conf.idle_close_ms) {
			conn_close(c, 0);
			next = peers->conns;
			continue;
		}
		if (now - c->last_ping < peers->conf.heartbeat_ms)
			continue;
		conn_ping(c);
	}
}

static int start_listening(struct dl_peers *peers)
{
	struct sockaddr_in sin = dl_sock_addr(peers->conf.self);
	int rc;

	rc = uv_tcp_bind(&peers->listener, (void *)&sin, 0);
	if (!rc)
		rc = uv_listen((uv_stream_t *)&peers->listener, LISTEN_BACKLOG,
			       on_accept);
	if (!rc)
		rc = uv_udp_bind(&peers->udp, (void *)&sin, 0);
	if (!rc)
		rc = uv_udp_recv_start(&peers->udp, on_datagram_alloc,
				       on_datagram);
	return rc;
}

/* Listens on conf->self, TCP and UDP; ops must outlive the result. */
int dl_peers_open(uv_loop_t *loop, const struct dl_peers_conf *conf,
		  const struct dl_peers_ops *ops, void *arg,
		  struct dl_peers **out, struct dl_err *err)
{
	struct dl_peers *peers = calloc(1, sizeof(*peers));
	char text[24];
	int rc;

	if (!peers)
		return dl_err_set(err, -ENOMEM, DL_STEP_CONNECT, NULL,
				  "out of memory");
	peers->loop = loop;
	peers->conf = *conf;
	peers->ops = ops;
	peers->arg = arg;
	peers->by_vm = g_hash_table_new(g_int64_hash, g_int64_equal);
	uv_tcp_init(loop, &peers->listener);
	uv_udp_init(loop, &peers->udp);
	uv_timer_init(loop, &peers->timer);
	peers->listener.data = peers;
	peers->udp.data = peers;
	peers->timer.data = peers;
	peers->handles = 3;
	rc = start_listening(peers);
	if (rc) {
		dl_peers_close(peers);
		return dl_err_set(err, rc, DL_STEP_CONNECT,
				  dl_vm_text(conf->self, text),
				  "cannot listen: %s", uv_strerror(rc));
	}
	peers->timer_at = peers_now(peers);
	uv_timer_start(&peers->timer, on_timer, conf->connect_ms / 2,
		       conf->connect_ms / 2);
	*out = peers;
	return 0;
}

/* Closes everything; frees peers once the loop has run. */
void dl_peers_close(struct dl_peers *peers)
{
	peers->closing = true;
	while (peers->conns)
		conn_close(peers->conns, 0);
	uv_close((uv_handle_t *)&peers->listener, on_handle_closed);
	uv_close((uv_handle_t *)&peers->udp, on_handle_closed);
	uv_close((uv_handle_t *)&peers->timer, on_handle_closed);
}
