/*
 * A TCP relay between two ends, which can cut, delay or go silent on command.
 * Commands are HTTP: POST /relay with {"forward":MODE,"back":MODE,
 * "delay_ms":N,"cut":true,"old_only":true}.  MODE is "pass" or "silent";
 * "old_only" lets connections made later pass, as where something between the
 * ends has lost track of the open ones.
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

#define CHUNK 65536

enum way {
	WAY_FORWARD,
	WAY_BACK,
	WAY_COUNT
};

struct pair;

/* One end of a connection through the relay. */
struct side {
	uv_tcp_t tcp;
	struct pair *pair;
	enum way way; /* of the bytes read here */
	bool closed;
	char in[CHUNK];
};

struct pair {
	struct side side[WAY_COUNT];
	uv_connect_t connect;
	struct pair *next;
	bool silent[WAY_COUNT];
	int open;
};

/* Bytes on their way to the other side. */
struct piece {
	uv_write_t write;
	uv_timer_t timer;
	struct pair *pair;
	enum way way;
	size_t n;
	char bytes[];
};

static struct {
	uv_loop_t *loop;
	uv_tcp_t listener;
	struct fake_server *door;
	struct pair *pairs;
	uint64_t listen;
	uint64_t to;
	uint64_t control;
	bool silent[WAY_COUNT]; /* for connections made from now on */
	uint64_t delay_ms;
	unsigned long long carried;
} me;

static struct {
	char *listen;
	char *to;
	char *control;
} opt;

static const GOptionEntry options[] = {
	{ "listen", 0, 0, G_OPTION_ARG_STRING, &opt.listen, "where to listen",
	  "IP:PORT" },
	{ "to", 0, 0, G_OPTION_ARG_STRING, &opt.to, "where to connect",
	  "IP:PORT" },
	{ "control", 0, 0, G_OPTION_ARG_STRING, &opt.control,
	  "where to take commands", "IP:PORT" },
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
	struct pair **p = &me.pairs;

	if (--pair->open > 0)
		return;
	while (*p && *p != pair)
		p = &(*p)->next;
	if (*p)
		*p = pair->next;
	free(pair);
}

static void close_pair(struct pair *pair)
{
	for (int i = 0; i < WAY_COUNT; i++) {
		struct side *side = &pair->side[i];

		if (side->closed)
			continue;
		side->closed = true;
		uv_close((uv_handle_t *)&side->tcp, on_side_closed);
	}
}

static struct side *other(struct pair *pair, enum way way)
{
	return &pair->side[way == WAY_FORWARD ? WAY_BACK : WAY_FORWARD];
}

static void unhold(struct pair *pair)
{
	if (--pair->open == 0) {
		pair->open++;
		on_side_closed((uv_handle_t *)&pair->side[0].tcp);
	}
}

static void on_piece_closed(uv_handle_t *handle)
{
	struct piece *piece = handle->data;

	unhold(piece->pair);
	free(piece);
}

static void on_piece_written(uv_write_t *write, int status)
{
	struct piece *piece = write->data;

	if (status < 0)
		close_pair(piece->pair);
	uv_close((uv_handle_t *)&piece->timer, on_piece_closed);
}

/* Send a piece on, unless its way has gone silent meanwhile. */
static void on_piece_due(uv_timer_t *timer)
{
	struct piece *piece = timer->data;
	struct pair *pair = piece->pair;
	struct side *to = other(pair, piece->way);
	uv_buf_t buf = uv_buf_init(piece->bytes, (unsigned int)piece->n);

	if (to->closed || pair->silent[piece->way]) {
		uv_close((uv_handle_t *)timer, on_piece_closed);
		return;
	}
	me.carried += piece->n;
	piece->write.data = piece;
	if (uv_write(&piece->write, (uv_stream_t *)&to->tcp, &buf, 1,
		     on_piece_written) < 0)
		uv_close((uv_handle_t *)timer, on_piece_closed);
}

static void on_alloc(uv_handle_t *handle, size_t hint, uv_buf_t *buf)
{
	struct side *side = handle->data;

	*buf = uv_buf_init(side->in, CHUNK);
}

static void on_read(uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
	struct side *side = stream->data;
	struct pair *pair = side->pair;
	struct piece *piece;

	if (n == 0 || side->closed)
		return;
	if (n < 0) {
		/* A silent way loses the end of the connection as well. */
		if (pair->silent[side->way])
			uv_read_stop(stream);
		else
			close_pair(pair);
		return;
	}
	if (pair->silent[side->way])
		return;
	piece = malloc(sizeof(*piece) + (size_t)n);
	if (!piece)
		abort();
	piece->pair = pair;
	piece->way = side->way;
	piece->n = (size_t)n;
	memcpy(piece->bytes, buf->base, (size_t)n);
	pair->open++;
	uv_timer_init(me.loop, &piece->timer);
	piece->timer.data = piece;
	uv_timer_start(&piece->timer, on_piece_due, me.delay_ms, 0);
}

static void on_connected(uv_connect_t *connect, int status)
{
	struct pair *pair = connect->data;

	if (pair->side[WAY_BACK].closed)
		return;
	if (status < 0) {
		close_pair(pair);
		return;
	}
	for (int i = 0; i < WAY_COUNT; i++)
		uv_read_start((uv_stream_t *)&pair->side[i].tcp, on_alloc,
			      on_read);
}

static void on_accept(uv_stream_t *stream, int status)
{
	struct pair *pair = calloc(1, sizeof(*pair));
	struct sockaddr_in to = address(me.to);

	if (!pair)
		abort();
	for (int i = 0; i < WAY_COUNT; i++) {
		struct side *side = &pair->side[i];

		side->pair = pair;
		side->way = (enum way)i;
		side->tcp.data = side;
		uv_tcp_init(me.loop, &side->tcp);
		pair->silent[i] = me.silent[i];
	}
	pair->open = WAY_COUNT;
	pair->next = me.pairs;
	me.pairs = pair;
	pair->connect.data = pair;
	if (uv_accept(stream, (uv_stream_t *)&pair->side[WAY_FORWARD].tcp) <
		    0 ||
	    uv_tcp_connect(&pair->connect, &pair->side[WAY_BACK].tcp,
			   (const struct sockaddr *)&to, on_connected) < 0)
		close_pair(pair);
}

static void set_way(const json_t *o, const char *key, enum way way,
		    bool old_only)
{
	const char *mode = json_string_value(json_object_get(o, key));
	bool silent;

	if (!mode)
		return;
	silent = strcmp(mode, "silent") == 0;
	for (struct pair *p = me.pairs; p; p = p->next)
		p->silent[way] = silent;
	me.silent[way] = silent && !old_only;
}

static void on_command(void *arg, struct fake_request *req)
{
	struct dl_str body = fake_request_body(req);
	json_t *o = json_loadb(body.s, body.n, 0, NULL);
	bool old_only = json_is_true(json_object_get(o, "old_only"));
	char text[64];

	set_way(o, "forward", WAY_FORWARD, old_only);
	set_way(o, "back", WAY_BACK, old_only);
	if (json_object_get(o, "delay_ms"))
		me.delay_ms = (uint64_t)json_integer_value(
			json_object_get(o, "delay_ms"));
	if (json_is_true(json_object_get(o, "cut"))) {
		for (struct pair *p = me.pairs; p; p = p->next)
			close_pair(p);
	}
	json_decref(o);
	snprintf(text, sizeof(text), "{\"carried\":%llu}\n", me.carried);
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
	    !dl_vm_parse(dl_str_of(opt.listen), &me.listen) ||
	    !dl_vm_parse(dl_str_of(opt.to), &me.to) ||
	    !dl_vm_parse(dl_str_of(opt.control), &me.control)) {
		fprintf(stderr, "relay: bad options, try --help\n");
		return 2;
	}
	g_option_context_free(ctx);
	me.loop = uv_default_loop();
	at = address(me.listen);
	uv_tcp_init(me.loop, &me.listener);
	rc = uv_tcp_bind(&me.listener, (const struct sockaddr *)&at, 0);
	if (rc == 0)
		rc = uv_listen((uv_stream_t *)&me.listener, 512, on_accept);
	if (rc == 0)
		rc = fake_server_open(me.loop, me.control, &ops, NULL,
				      &me.door);
	if (rc < 0) {
		fprintf(stderr, "relay: listen: %s\n", uv_strerror(rc));
		return 1;
	}
	return uv_run(me.loop, UV_RUN_DEFAULT);
}
