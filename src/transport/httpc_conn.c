/*
 * Connections of the HTTP client: the pool, and how a new one is made.
 *
 * A connection is tried directly first.  Where that fails, or is not answered
 * for a moment, other VMs are asked in turn to forward one, and the first that
 * succeeds is used.  Nothing has been sent by then, so this is safe for
 * requests that must not be repeated.  What each way came to tells whether the
 * endpoint or this VM's links are at fault.
 */
#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "base/metric.h"
#include "transport/httpc_int.h"
#include "transport/sock.h"

/*
 * Limits on the reuse of pooled connections.  Endpoints close idle connections
 * without notice, sometimes sooner than they announce, and a request sent on
 * such a connection is lost, while a new connection costs only a millisecond.
 */
#define POOL_AGE_MS	  60000
#define POOL_REQUESTS_MAX 1000
#define POOL_CONNS_MAX	  256
/*
 * A VM that has not answered by then is waited for on, but the next one is
 * asked as well.  A VM takes longer only if it is overloaded or cut off itself.
 */
#define NEXT_VM_MS 60
/*
 * VMs that have to find an endpoint at fault, if there are so many: one may
 * have lost its link to just this endpoint, as this VM has.
 */
#define BLAMES_MIN 2
/*
 * From when VMs are asked: the time for one that is cut off itself, and for the
 * answer of another that the endpoint is silent.
 */
#define FORWARD_MS 250

static void on_conn_connected(uv_connect_t *req, int status);
static void on_read(uv_stream_t *stream, ssize_t n, const uv_buf_t *buf);
static void ask_next_vm(struct dl_httpc_call *call);
static void check_all_failed(struct dl_httpc_call *call);

static const struct dl_conn_limits pool_limits = {
	.age_ms = POOL_AGE_MS,
	.idle_ms = POOL_IDLE_MS,
	.requests = POOL_REQUESTS_MAX,
};

int64_t httpc_now(const struct dl_httpc *client)
{
	return (int64_t)uv_now(client->loop);
}

static void on_conn_closed(uv_handle_t *handle)
{
	struct conn *conn = (struct conn *)handle;

	dl_frame_reader_free(&conn->in);
	free(conn->open_frame);
	free(conn);
}

/* Closes a connection; with reset set, bytes under way are given up. */
void httpc_conn_close(struct conn *conn, bool reset)
{
	if (conn->closing)
		return;
	conn->closing = true;
	conn->call = NULL;
	if (!reset || uv_tcp_close_reset(&conn->tcp, on_conn_closed))
		uv_close((uv_handle_t *)&conn->tcp, on_conn_closed);
}

/* Removes a connection from the pool. */
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

static gboolean is_over(gpointer address, gpointer until, gpointer now)
{
	return *(int64_t *)until <= *(int64_t *)now;
}

/* Whether connections to an endpoint are reused at the moment. */
bool httpc_may_reuse(const struct dl_httpc *client, uint64_t address)
{
	const int64_t *until = g_hash_table_lookup(client->stray, &address);
	int64_t now = httpc_now(client);

	return now >= client->no_reuse_until && (!until || now >= *until);
}

/*
 * Closes an endpoint's connections in the pool, and has new ones used for a
 * while: more such bytes may be under way on any of them.
 */
void httpc_stray_bytes(struct dl_httpc *client, uint64_t address)
{
	int64_t until = httpc_now(client) + STRAY_BYTES_MS;
	struct conn *conn, *next;

	dl_count(DL_METRIC_stray_bytes, 1);
	if (g_hash_table_size(client->stray) < STRAY_ENDPOINTS_MAX ||
	    g_hash_table_contains(client->stray, &address))
		g_hash_table_replace(client->stray,
				     g_memdup2(&address, sizeof(address)),
				     g_memdup2(&until, sizeof(until)));
	else
		client->no_reuse_until = until;
	for (conn = client->pool; conn; conn = next) {
		next = conn->next;
		if (conn->address != address)
			continue;
		pool_remove(conn);
		httpc_conn_close(conn, false);
	}
}

/* Closes connections that have been idle for too long. */
void httpc_pool_sweep(struct dl_httpc *client)
{
	struct conn *conn, *next;
	int64_t now = httpc_now(client);

	g_hash_table_foreach_remove(client->stray, is_over, &now);
	for (conn = client->pool; conn; conn = next) {
		next = conn->next;
		if (now - conn->usage.last_read < (int64_t)conn->idle_ms)
			continue;
		pool_remove(conn);
		httpc_conn_close(conn, false);
	}
}

/* Closes all idle connections. */
void httpc_pool_close(struct dl_httpc *client)
{
	while (client->pool) {
		struct conn *conn = client->pool;

		pool_remove(conn);
		httpc_conn_close(conn, false);
	}
}

/*
 * Detaches a connection from its call and returns it to the pool, or closes it
 * where it is forwarded or the pool is full.
 */
void httpc_pool_add(struct conn *conn)
{
	struct dl_httpc *client = conn->client;

	if (conn->via != DL_VM_NONE || client->pool_count >= POOL_CONNS_MAX ||
	    !httpc_may_reuse(client, conn->address))
		return;
	conn->call->conn = NULL;
	conn->call = NULL;
	conn->usage.requests++;
	conn->usage.last_read = httpc_now(client);
	conn->next = client->pool;
	client->pool = conn;
	client->pool_count++;
}

/* Finds a usable connection to an address in the pool; NULL if none. */
static struct conn *pool_find(const struct dl_httpc *client, uint64_t to)
{
	struct conn *conn;

	for (conn = client->pool; conn; conn = conn->next) {
		struct dl_conn_limits limits = pool_limits;

		limits.idle_ms = conn->idle_ms;
		if (conn->address == to &&
		    dl_conn_usable(&limits, &conn->usage, true,
				   httpc_now(client)))
			return conn;
	}
	return NULL;
}

/*
 * Takes a usable connection to an address from the pool; NULL if none.  What
 * has arrived on it since its last response is no part of the next one.
 */
struct conn *httpc_pool_take(struct dl_httpc *client, uint64_t to)
{
	struct conn *conn;

	while ((conn = pool_find(client, to))) {
		int unread = dl_sock_unread(&conn->tcp, 1);

		pool_remove(conn);
		if (!unread)
			return conn;
		httpc_conn_close(conn, false);
		if (unread > 0)
			httpc_stray_bytes(client, to);
	}
	return NULL;
}

static void on_alloc(uv_handle_t *handle, size_t n, uv_buf_t *buf)
{
	struct conn *conn = (struct conn *)handle;

	*buf = uv_buf_init(conn->client->buf, READ_MAX);
}

/* Reads on from a connection, or pauses. */
void httpc_conn_read(struct conn *conn, bool go_on)
{
	if (go_on)
		uv_read_start((uv_stream_t *)&conn->tcp, on_alloc, on_read);
	else
		uv_read_stop((uv_stream_t *)&conn->tcp);
}

static int conn_new(struct dl_httpc_call *call, uint64_t to, uint64_t via,
		    struct conn **out)
{
	struct sockaddr_in sin = dl_sock_addr(to);
	struct conn *conn = calloc(1, sizeof(*conn));
	int rc;

	if (!conn)
		return UV_ENOMEM;
	conn->client = call->client;
	conn->address = call->address;
	conn->via = via;
	conn->call = call;
	uv_tcp_init(call->client->loop, &conn->tcp);
	conn->connect.data = conn;
	*out = conn;
	rc = uv_tcp_connect(&conn->connect, &conn->tcp, (const void *)&sin,
			    on_conn_connected);
	if (rc) {
		*out = NULL;
		httpc_conn_close(conn, false);
	}
	return rc;
}

/* Returns the ways to other VMs that a call may use; NULL: none. */
static const struct dl_httpc_paths *paths_of(const struct dl_httpc_call *call)
{
	return call->client->has_paths && !call->direct ? &call->client->paths :
							  NULL;
}

static void note_direct(struct dl_httpc_call *call,
			enum dl_direct_result result)
{
	const struct dl_httpc_paths *paths = &call->client->paths;

	if (call->client->has_paths)
		paths->direct(paths->arg, call->address, result);
}

static void note_forwarded(struct dl_httpc_call *call, uint64_t vm,
			   enum dl_forward_result result)
{
	const struct dl_httpc_paths *paths = paths_of(call);

	if (paths)
		paths->forwarded(paths->arg, call->address, vm, result);
}

/* Ends the connections that are being made, but for the one that is used. */
static void drop_candidates(struct dl_httpc_call *call, struct conn *used)
{
	struct connecting *c = call->connecting;

	if (!c)
		return;
	call->connecting = NULL;
	if (c->direct && c->direct != used)
		httpc_conn_close(c->direct, true);
	for (uint32_t i = 0; i < c->started; i++) {
		if (c->forwarded[i] && c->forwarded[i] != used)
			httpc_conn_close(c->forwarded[i], true);
	}
	free(c);
}

/* Ends all connections that are being made for a call. */
void httpc_connect_cancel(struct dl_httpc_call *call)
{
	drop_candidates(call, NULL);
}

/*
 * Whether the direct connection is pending for so long that other VMs have been
 * asked.
 */
static bool is_direct_silent(const struct dl_httpc_call *call)
{
	const struct connecting *c = call->connecting;

	return c->direct && c->forwarded_at_ms &&
	       httpc_now(call->client) - c->started_at >=
		       (int64_t)c->forwarded_at_ms;
}

/* A connection can be used. */
static void use(struct conn *conn)
{
	struct dl_httpc_call *call = conn->call;

	if (conn->via == DL_VM_NONE) {
		note_direct(call, DL_DIRECT_CONNECTED);
	} else {
		if (is_direct_silent(call))
			note_direct(call, DL_DIRECT_SILENT);
		note_forwarded(call, conn->via, DL_FORWARD_CONNECTED);
	}
	drop_candidates(call, conn);
	conn->opened = true;
	conn->usage.opened = conn->usage.last_read = httpc_now(conn->client);
	httpc_call_connected(call, conn);
}

/* Ends a call that found no way to its endpoint. */
static void fail(struct dl_httpc_call *call)
{
	const struct dl_httpc_paths *paths = paths_of(call);
	struct connecting *c = call->connecting;
	bool doubtful = paths && !c->alone && !c->blames;
	int error = c->direct_error;
	uint64_t address = call->address;

	if (c->endpoint_silent)
		error = UV_ETIMEDOUT;
	else if (!error && c->blames)
		error = UV_ECONNREFUSED;
	drop_candidates(call, NULL);
	httpc_call_not_connected(call, error ? error : UV_ETIMEDOUT, doubtful,
				 error ? uv_strerror(error) : "timed out");
	if (doubtful)
		paths->undecided(paths->arg, address);
}

static void direct_failed(struct dl_httpc_call *call, int error)
{
	call->connecting->direct_error = error;
	note_direct(call, DL_DIRECT_REFUSED);
	ask_next_vm(call);
	check_all_failed(call);
}

/* Handles the answer of a VM that does not forward a connection. */
static void vm_failed(struct dl_httpc_call *call, struct conn *conn,
		      enum dl_forward_result result)
{
	struct connecting *c = call->connecting;

	for (uint32_t i = 0; i < c->started; i++) {
		if (c->forwarded[i] == conn)
			c->forwarded[i] = NULL;
	}
	note_forwarded(call, conn->via, result);
	httpc_conn_close(conn, true);
	c->blames += result == DL_FORWARD_ENDPOINT_REFUSED ||
		     result == DL_FORWARD_ENDPOINT_SILENT;
	c->endpoint_silent |= result == DL_FORWARD_ENDPOINT_SILENT;
	if (c->blames >= BLAMES_MIN) {
		if (is_direct_silent(call))
			note_direct(call, DL_DIRECT_SILENT);
		fail(call);
		return;
	}
	ask_next_vm(call);
	check_all_failed(call);
}

/* Asks the VM that was connected to for the endpoint. */
static int send_open(struct conn *conn)
{
	const struct dl_httpc_paths *paths = paths_of(conn->call);
	struct dl_frame f = { .kind = DL_FRAME_TUNNEL_OPEN,
			      .request = conn->address };
	char *report = NULL;
	uv_buf_t buf;
	size_t n = 0;

	if (paths && paths->report)
		report = paths->report(paths->arg, conn->address, &f.body.n);
	f.body.s = report;
	conn->open_frame = dl_frame_bytes(&f, &n);
	free(report);
	if (!conn->open_frame)
		return UV_ENOMEM;
	buf = uv_buf_init(conn->open_frame, (unsigned)n);
	conn->write.data = conn;
	return uv_write(&conn->write, (uv_stream_t *)&conn->tcp, &buf, 1, NULL);
}

static void on_conn_connected(uv_connect_t *req, int status)
{
	struct conn *conn = req->data;
	struct dl_httpc_call *call = conn->call;

	if (conn->closing || !call || !call->connecting)
		return;
	if (!status) {
		uv_tcp_nodelay(&conn->tcp, 1);
		httpc_conn_read(conn, true);
	}
	if (conn->via == DL_VM_NONE) {
		if (!status) {
			use(conn);
			return;
		}
		call->connecting->direct = NULL;
		httpc_conn_close(conn, false);
		direct_failed(call, status);
		return;
	}
	if (status || send_open(conn))
		vm_failed(call, conn, DL_FORWARD_NO_ANSWER);
}

/* Handles a frame of a VM that forwards, or is asked to. */
static bool on_frame(void *arg, const struct dl_frame *f)
{
	struct conn *conn = arg;

	if (!conn->opened && conn->call && conn->call->connecting) {
		if (f->kind == DL_FRAME_TUNNEL_OPENED)
			use(conn);
		else if (f->kind == DL_FRAME_TUNNEL_FAILED &&
			 f->request < DL_FORWARD_RESULTS &&
			 f->request != DL_FORWARD_CONNECTED)
			vm_failed(conn->call, conn,
				  (enum dl_forward_result)f->request);
		else
			vm_failed(conn->call, conn, DL_FORWARD_NO_ANSWER);
		return !conn->closing;
	}
	switch (f->kind) {
	case DL_FRAME_TUNNEL_DATA:
		httpc_call_bytes(conn, f->body.s, f->body.n);
		break;
	case DL_FRAME_TUNNEL_END:
		httpc_call_conn_end(conn, UV_EOF);
		break;
	default:
		httpc_call_conn_end(conn, UV_EPROTO);
		break;
	}
	return !conn->closing && conn->call;
}

/* Handles that a VM that forwards, or is asked to, sent nonsense. */
static void end_forwarded(struct conn *conn, int err)
{
	if (conn->opened)
		httpc_call_conn_end(conn, err);
	else if (conn->call)
		vm_failed(conn->call, conn, DL_FORWARD_NO_ANSWER);
}

/* Handles bytes of a VM that forwards. */
static void read_frames(struct conn *conn, const char *bytes, size_t n)
{
	while (n && !conn->closing) {
		size_t room;
		char *to;

		if (!dl_frame_reader_room(&conn->in, &to, &room)) {
			end_forwarded(conn, UV_ENOMEM);
			return;
		}
		room = MIN(room, n);
		memcpy(to, bytes, room);
		conn->in.filled += room;
		bytes += room;
		n -= room;
		if (dl_frame_reader_take(&conn->in, on_frame, conn) == -EPROTO)
			end_forwarded(conn, UV_EPROTO);
	}
}

/* Handles the end of a connection; err is of libuv. */
static void conn_ended(struct conn *conn, int err)
{
	struct dl_httpc_call *call = conn->call;

	if (!call) {
		pool_remove(conn);
		httpc_conn_close(conn, false);
		return;
	}
	if (!conn->opened) {
		if (conn->via != DL_VM_NONE)
			vm_failed(call, conn, DL_FORWARD_NO_ANSWER);
		return;
	}
	/* An orderly end of the endpoint's connection comes as a frame. */
	if (conn->via != DL_VM_NONE ||
	    (err == UV_EOF && dl_sock_was_reset(&conn->tcp)))
		err = UV_ECONNRESET;
	httpc_call_conn_end(conn, err);
}

static void on_read(uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
	struct conn *conn = (struct conn *)stream;

	if (n == 0 || conn->closing)
		return;
	if (n < 0) {
		conn_ended(conn, (int)n);
		return;
	}
	if (!conn->call) {
		/* Unsolicited data: the connection cannot be reused. */
		httpc_stray_bytes(conn->client, conn->address);
		return;
	}
	conn->usage.last_read = httpc_now(conn->client);
	if (conn->via == DL_VM_NONE)
		httpc_call_bytes(conn, buf->base, (size_t)n);
	else
		read_frames(conn, buf->base, (size_t)n);
}

static void arm_timer(struct dl_httpc_call *call)
{
	struct connecting *c = call->connecting;
	int64_t at = MIN(c->next_at, c->deadline);
	int64_t now = httpc_now(call->client);

	httpc_call_timer(call, (uint32_t)MAX(at - now, 0));
}

/* Asks another VM to forward the connection, if there is one left. */
static void ask_next_vm(struct dl_httpc_call *call)
{
	const struct dl_httpc_paths *paths = paths_of(call);
	struct connecting *c = call->connecting;
	int64_t now = httpc_now(call->client);
	uint32_t i;

	c->next_at = INT64_MAX;
	if (!paths)
		return;
	if (!c->vms_listed) {
		c->vms_listed = true;
		c->vms = paths->vms(paths->arg, call->address, c->vm,
				    FORWARDERS_MAX, &c->alone);
		c->deadline = MAX(c->deadline, now + FORWARD_MS);
	}
	while (c->started < c->vms) {
		uint64_t vm;

		i = c->started++;
		vm = c->vm[i];
		if (!conn_new(call, paths->address(paths->arg, vm), vm,
			      &c->forwarded[i]))
			break;
		note_forwarded(call, vm, DL_FORWARD_NO_ANSWER);
	}
	if (c->started < c->vms)
		c->next_at = now + NEXT_VM_MS;
	arm_timer(call);
}

/* Tries the direct way; -ENOMEM or an error of libuv if that is impossible. */
static int connect_directly(struct dl_httpc_call *call)
{
	struct connecting *c = call->connecting;

	c->direct_tried = true;
	return conn_new(call, call->address, DL_VM_NONE, &c->direct);
}

/*
 * Ends the call once every way to its endpoint has failed. A path that is taken
 * for interrupted is tried last: it may work again, and no VM can forward.
 */
static void check_all_failed(struct dl_httpc_call *call)
{
	struct connecting *c = call->connecting;

	if (!c || c->direct || c->started < c->vms ||
	    (paths_of(call) && !c->vms_listed))
		return;
	for (uint32_t i = 0; i < c->started; i++) {
		if (c->forwarded[i])
			return;
	}
	if (c->direct_tried || connect_directly(call))
		fail(call);
}

/*
 * Handles the timer of a call that is not connected yet.  Timers run before
 * sockets are looked at, so that after a stall of this process the answer may
 * be there already: acts at the next iteration of the loop.
 */
void httpc_connect_timer(struct dl_httpc_call *call)
{
	struct connecting *c = call->connecting;

	c->looked_again = !c->looked_again;
	if (c->looked_again && c->forwarded_at_ms) {
		httpc_call_timer(call, 0);
		return;
	}
	if (httpc_now(call->client) < c->deadline ||
	    (paths_of(call) && !c->vms_listed)) {
		bool first = !c->vms_listed && c->forwarded_at_ms;

		ask_next_vm(call);
		/* The answers of VMs to which it is silent too take long. */
		if (first)
			ask_next_vm(call);
		check_all_failed(call);
		return;
	}
	if (c->direct)
		note_direct(call, DL_DIRECT_SILENT);
	for (uint32_t i = 0; i < c->started; i++) {
		if (c->forwarded[i])
			note_forwarded(call, c->vm[i], DL_FORWARD_NO_ANSWER);
	}
	fail(call);
}

/* Connects a call to its address as planned. */
int httpc_connect(struct dl_httpc_call *call, const struct dl_path_plan *plan,
		  uint32_t connect_ms)
{
	struct connecting *c = calloc(1, sizeof(*c));
	int64_t now = httpc_now(call->client);
	int rc;

	if (!c)
		return -ENOMEM;
	call->connecting = c;
	c->started_at = now;
	c->deadline = now + connect_ms;
	c->forwarded_at_ms = plan->forwarded_at_ms;
	c->next_at = paths_of(call) ? now + plan->forwarded_at_ms : INT64_MAX;
	if (plan->direct) {
		rc = connect_directly(call);
		if (rc) {
			/* From the timer, as end() must not run in here. */
			c->direct_error = rc;
			c->next_at = now;
		}
	}
	arm_timer(call);
	return 0;
}
