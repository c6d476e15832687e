/*
 * TCP relay that can close connections, delay data or drop it silently, for
 * tests of network failures.  It is controlled by HTTP: POST /relay with
 * {"forward":MODE,"back":MODE,"delay_ms":N,"cut":true,"old_only":true}.  MODE
 * is "pass" or "silent".  With "old_only", new connections pass, as behind a
 * stateful firewall or NAT that has lost its table of open connections.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <glib.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uv.h>

#include "fake/http.h"

#define CHUNK_MAX 65536

enum dir {
	DIR_FORWARD,
	DIR_BACK,
	DIR_COUNT
};

struct pair;

/* One of the two sockets of a relayed connection. */
struct side {
	uv_tcp_t tcp;
	struct pair *pair;
	enum dir dir; /* direction of the bytes read here */
	bool closed;
	char in[CHUNK_MAX];
};

struct pair {
	struct side side[DIR_COUNT];
	uv_connect_t connect;
	struct pair *next;
	bool silent[DIR_COUNT];
	int handles;
};

/* Data to be sent to the other side after a delay. */
struct chunk {
	uv_write_t write;
	uv_timer_t timer;
	struct pair *pair;
	enum dir dir;
	size_t n;
	char bytes[];
};

static struct {
	uv_loop_t *loop;
	uv_tcp_t listener;
	struct fake_server *control_server;
	struct pair *pairs;
	uint64_t listen;
	uint64_t to;
	uint64_t control;
	bool silent[DIR_COUNT]; /* for new connections */
	uint64_t delay_ms;
	unsigned long long bytes_relayed;
} relay;

static struct {
	char *listen;
	char *to;
	char *control;
} opt;

static const GOptionEntry options[] = {
	{ "listen", 0, 0, G_OPTION_ARG_STRING, &opt.listen,
	  "address to listen on", "IP:PORT" },
	{ "to", 0, 0, G_OPTION_ARG_STRING, &opt.to, "address to connect to",
	  "IP:PORT" },
	{ "control", 0, 0, G_OPTION_ARG_STRING, &opt.control,
	  "address to accept commands on", "IP:PORT" },
	{ NULL },
};

static struct sockaddr_in address(uint64_t vm)
{
	struct sockaddr_in a = { .sin_family = AF_INET };

	a.sin_port = htons((uint16_t)(vm & 0xffff));
	a.sin_addr.s_addr = htonl((uint32_t)(vm >> 16));
	return a;
}

static void on_side_closed(uv_handle_t *handle)
{
	struct side *side = handle->data;
	struct pair *pair = side->pair;
	struct pair **p = &relay.pairs;

	if (--pair->handles > 0)
		return;
	while (*p && *p != pair)
		p = &(*p)->next;
	if (*p)
		*p = pair->next;
	free(pair);
}

static void close_pair(struct pair *pair)
{
	for (int i = 0; i < DIR_COUNT; i++) {
		struct side *side = &pair->side[i];

		if (side->closed)
			continue;
		side->closed = true;
		uv_close((uv_handle_t *)&side->tcp, on_side_closed);
	}
}

static struct side *opposite(struct pair *pair, enum dir dir)
{
	return &pair->side[dir == DIR_FORWARD ? DIR_BACK : DIR_FORWARD];
}

static void release_pair(struct pair *pair)
{
	if (--pair->handles == 0) {
		pair->handles++;
		on_side_closed((uv_handle_t *)&pair->side[0].tcp);
	}
}

static void on_chunk_closed(uv_handle_t *handle)
{
	struct chunk *chunk = handle->data;

	release_pair(chunk->pair);
	free(chunk);
}

static void on_chunk_written(uv_write_t *write, int status)
{
	struct chunk *chunk = write->data;

	if (status < 0)
		close_pair(chunk->pair);
	uv_close((uv_handle_t *)&chunk->timer, on_chunk_closed);
}

/* Forwards a chunk, unless its direction has become silent meanwhile. */
static void on_chunk_due(uv_timer_t *timer)
{
	struct chunk *chunk = timer->data;
	struct pair *pair = chunk->pair;
	struct side *to = opposite(pair, chunk->dir);
	uv_buf_t buf = uv_buf_init(chunk->bytes, (unsigned int)chunk->n);

	if (to->closed || pair->silent[chunk->dir]) {
		uv_close((uv_handle_t *)timer, on_chunk_closed);
		return;
	}
	relay.bytes_relayed += chunk->n;
	chunk->write.data = chunk;
	if (uv_write(&chunk->write, (uv_stream_t *)&to->tcp, &buf, 1,
		     on_chunk_written) < 0)
		uv_close((uv_handle_t *)timer, on_chunk_closed);
}

static void on_alloc(uv_handle_t *handle, size_t hint, uv_buf_t *buf)
{
	struct side *side = handle->data;

	*buf = uv_buf_init(side->in, CHUNK_MAX);
}

static void on_read(uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
	struct side *side = stream->data;
	struct pair *pair = side->pair;
	struct chunk *chunk;

	if (n == 0 || side->closed)
		return;
	if (n < 0) {
		/* A silent direction drops the end of the connection too. */
		if (pair->silent[side->dir])
			uv_read_stop(stream);
		else
			close_pair(pair);
		return;
	}
	if (pair->silent[side->dir])
		return;
	chunk = malloc(sizeof(*chunk) + (size_t)n);
	if (!chunk)
		abort();
	chunk->pair = pair;
	chunk->dir = side->dir;
	chunk->n = (size_t)n;
	memcpy(chunk->bytes, buf->base, (size_t)n);
	pair->handles++;
	uv_timer_init(relay.loop, &chunk->timer);
	chunk->timer.data = chunk;
	uv_timer_start(&chunk->timer, on_chunk_due, relay.delay_ms, 0);
}

static void on_connected(uv_connect_t *connect, int status)
{
	struct pair *pair = connect->data;

	if (pair->side[DIR_BACK].closed)
		return;
	if (status < 0) {
		close_pair(pair);
		return;
	}
	for (int i = 0; i < DIR_COUNT; i++)
		uv_read_start((uv_stream_t *)&pair->side[i].tcp, on_alloc,
			      on_read);
}

static void on_accept(uv_stream_t *stream, int status)
{
	struct pair *pair = calloc(1, sizeof(*pair));
	struct sockaddr_in to = address(relay.to);

	if (!pair)
		abort();
	for (int i = 0; i < DIR_COUNT; i++) {
		struct side *side = &pair->side[i];

		side->pair = pair;
		side->dir = (enum dir)i;
		side->tcp.data = side;
		uv_tcp_init(relay.loop, &side->tcp);
		pair->silent[i] = relay.silent[i];
	}
	pair->handles = DIR_COUNT;
	pair->next = relay.pairs;
	relay.pairs = pair;
	pair->connect.data = pair;
	if (uv_accept(stream, (uv_stream_t *)&pair->side[DIR_FORWARD].tcp) <
		    0 ||
	    uv_tcp_connect(&pair->connect, &pair->side[DIR_BACK].tcp,
			   (const struct sockaddr *)&to, on_connected) < 0)
		close_pair(pair);
}

static void set_mode(const json_t *o, const char *key, enum dir dir,
		     bool old_only)
{
	const char *mode = json_string_value(json_object_get(o, key));
	bool silent;

	if (!mode)
		return;
	silent = strcmp(mode, "silent") == 0;
	for (struct pair *p = relay.pairs; p; p = p->next)
		p->silent[dir] = silent;
	relay.silent[dir] = silent && !old_only;
}

static void on_command(void *arg, struct fake_request *req)
{
	struct dl_str body = fake_request_body(req);
	json_t *o = json_loadb(body.s, body.n, 0, NULL);
	bool old_only = json_is_true(json_object_get(o, "old_only"));
	char text[64];

	set_mode(o, "forward", DIR_FORWARD, old_only);
	set_mode(o, "back", DIR_BACK, old_only);
	if (json_object_get(o, "delay_ms"))
		relay.delay_ms = (uint64_t)json_integer_value(
			json_object_get(o, "delay_ms"));
	if (json_is_true(json_object_get(o, "cut"))) {
		for (struct pair *p = relay.pairs; p; p = p->next)
			close_pair(p);
	}
	json_decref(o);
	snprintf(text, sizeof(text), "{\"carried\":%llu}\n",
		 relay.bytes_relayed);
	fake_reply(req, 200, NULL, dl_str_of(text));
}

static void on_request_closed(void *arg, struct fake_request *req)
{
}

int main(int argc, char **argv)
{
	static const struct fake_server_ops ops = { on_command,
						    on_request_closed };
	GOptionContext *ctx = g_option_context_new("- TCP relay");
	struct sockaddr_in at;
	GError *err = NULL;
	int rc;

	fake_ignore_sigpipe();
	g_option_context_add_main_entries(ctx, options, NULL);
	if (!g_option_context_parse(ctx, &argc, &argv, &err) || !opt.listen ||
	    !opt.to || !opt.control ||
	    !dl_vm_parse(dl_str_of(opt.listen), &relay.listen) ||
	    !dl_vm_parse(dl_str_of(opt.to), &relay.to) ||
	    !dl_vm_parse(dl_str_of(opt.control), &relay.control)) {
		fprintf(stderr, "relay: invalid options; see --help\n");
		return 2;
	}
	g_option_context_free(ctx);
	relay.loop = uv_default_loop();
	at = address(relay.listen);
	uv_tcp_init(relay.loop, &relay.listener);
	rc = uv_tcp_bind(&relay.listener, (const struct sockaddr *)&at, 0);
	if (rc == 0)
		rc = uv_listen((uv_stream_t *)&relay.listener, 512, on_accept);
	if (rc == 0)
		rc = fake_server_open(relay.loop, relay.control, &ops, NULL,
				      &relay.control_server);
	if (rc < 0) {
		fprintf(stderr, "relay: cannot listen: %s\n", uv_strerror(rc));
		return 1;
	}
	return uv_run(relay.loop, UV_RUN_DEFAULT);
}
