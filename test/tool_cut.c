/*
 * Answers every request with 200 and a JSON object, and ends the response early
 * as fake_ending_cut() describes; with "whole" in place of that it is whole,
 * and with "endless" its body goes on until the client closes.
 *
 *   tool_cut ADDRESS FRAMING-STOP-HOW|whole|endless JSON
 */
#include <stdio.h>
#include <string.h>

#include "fake/endless.h"
#include "fake/ending.h"

static const char *cut;
static struct dl_str json;

static void on_request(void *arg, struct fake_request *req)
{
	static const struct fake_header headers[] = {
		{ "Content-Type", "application/json" },
		{ NULL, NULL },
	};

	if (strcmp(cut, "endless") == 0)
		fake_endless_begin(uv_default_loop(), req, DL_STR("more "),
				   NULL);
	else if (strcmp(cut, "whole") == 0)
		fake_reply(req, 200, headers, json);
	else if (!fake_ending_cut(req, cut, 200, json))
		fake_reply(req, 500, headers, json);
}

static void on_closed(void *arg, struct fake_request *req)
{
}

int main(int argc, char **argv)
{
	static const struct fake_server_ops ops = { .request = on_request,
						    .closed = on_closed };
	uv_loop_t *loop = uv_default_loop();
	struct fake_server *server;
	uint64_t at;

	fake_ignore_sigpipe();
	if (argc != 4 || !dl_vm_parse(dl_str_of(argv[1]), &at)) {
		fprintf(stderr, "usage: tool_cut ADDRESS CUT JSON\n");
		return 2;
	}
	cut = argv[2];
	json = dl_str_of(argv[3]);
	if (fake_server_open(loop, at, &ops, NULL, &server)) {
		fprintf(stderr, "cut: cannot listen\n");
		return 1;
	}
	return uv_run(loop, UV_RUN_DEFAULT);
}
