/*
 * Answers every request with 200 and a JSON object, and ends the response early
 * as fake_ending_cut() describes; with "whole" in place of that it is whole,
 * and with "endless" its body goes on until the client closes.
 *
 *   tool_cut ADDRESS FRAMING-STOP-HOW|whole|endless JSON
 */
#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "fake/ending.h"

#define MORE_EVERY_MS 20

static const char *cut;
static struct dl_str json;
static GPtrArray *endless; /* requests */

static void on_more(uv_timer_t *timer)
{
	for (guint i = endless->len; i > 0; i--) {
		struct fake_request *req = endless->pdata[i - 1];

		if (fake_reply_raw(req, DL_STR("more ")))
			continue;
		g_ptr_array_remove_index(endless, i - 1);
		fake_reply_drop(req, false);
	}
}

static void begin_endless(struct fake_request *req)
{
	if (fake_reply_raw(req, DL_STR("HTTP/1.1 200 OK\r\n\r\n")))
		g_ptr_array_add(endless, req);
	else
		fake_reply_drop(req, false);
}

static void on_request(void *arg, struct fake_request *req)
{
	static const struct fake_header headers[] = {
		{ "Content-Type", "application/json" },
		{ NULL, NULL },
	};

	if (strcmp(cut, "endless") == 0)
		begin_endless(req);
	else if (strcmp(cut, "whole") == 0)
		fake_reply(req, 200, headers, json);
	else if (!fake_ending_cut(req, cut, 200, json))
		fake_reply(req, 500, headers, json);
}

static void on_closed(void *arg, struct fake_request *req)
{
	g_ptr_array_remove(endless, req);
}

int main(int argc, char **argv)
{
	static const struct fake_server_ops ops = { .request = on_request,
						    .closed = on_closed };
	uv_loop_t *loop = uv_default_loop();
	struct fake_server *server;
	uv_timer_t more;
	uint64_t at;

	fake_ignore_sigpipe();
	if (argc != 4 || !dl_vm_parse(dl_str_of(argv[1]), &at)) {
		fprintf(stderr, "usage: tool_cut ADDRESS CUT JSON\n");
		return 2;
	}
	cut = argv[2];
	json = dl_str_of(argv[3]);
	endless = g_ptr_array_new();
	uv_timer_init(loop, &more);
	uv_timer_start(&more, on_more, MORE_EVERY_MS, MORE_EVERY_MS);
	if (fake_server_open(loop, at, &ops, NULL, &server)) {
		fprintf(stderr, "cut: cannot listen\n");
		return 1;
	}
	return uv_run(loop, UV_RUN_DEFAULT);
}
