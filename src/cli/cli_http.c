/* Synchronous HTTP requests to entries. */
#include <string.h>

#include "cli/cli.h"
#include "transport/httpc.h"

#define CONNECT_MS     2000
#define GAP_MS	       10000
#define ROUND_DELAY_MS 200 /* between rounds, to limit the load on entries */
#define ATTEMPT_MIN_MS 20  /* with less time left, no attempt is made */
#define ANSWER_MAX     (64u << 20)
#define NS_PER_MS      1000000
#define UNAVAILABLE    503
#define US_PER_MS      1000
#define HEADERS_MAX    2

/* A request in progress. */
struct attempt {
	GString *body;
	int status;
	bool ended;
	bool complete;
	struct dl_err err;
};

static void on_head(void *arg, const struct dl_httpc_head *head);
static bool on_body(void *arg, struct dl_str piece);
static void on_end(void *arg, const struct dl_attempt *attempt,
		   const struct dl_err *err);
static void try_entry(const struct cli *cli, uint64_t to,
		      const struct cli_request *req, int64_t timeout_ms,
		      struct cli_answer *out);

static const struct dl_httpc_ops ops = { .head = on_head,
					 .body = on_body,
					 .end = on_end };

/* Returns the monotonic clock in milliseconds. */
int64_t cli_now_ms(void)
{
	return (int64_t)(uv_hrtime() / NS_PER_MS);
}

void cli_sleep_ms(unsigned ms)
{
	uv_sleep(ms);
}

static void on_head(void *arg, const struct dl_httpc_head *head)
{
	struct attempt *a = arg;

	a->status = head->status;
}

static bool on_body(void *arg, struct dl_str piece)
{
	struct attempt *a = arg;

	if (a->body->len + piece.n <= ANSWER_MAX)
		g_string_append_len(a->body, piece.s, (gssize)piece.n);
	return true;
}

static void on_end(void *arg, const struct dl_attempt *attempt,
		   const struct dl_err *err)
{
	struct attempt *a = arg;

	a->ended = true;
	a->complete = attempt->failure == DL_FAILURE_NONE;
	a->err = *err;
}

/* Builds the headers; each attempt gets a new signature. */
static size_t fill_headers(const struct cli *cli, const struct cli_request *req,
			   struct dl_header out[HEADERS_MAX],
			   char signature[DL_SIGNATURE_MAX])
{
	const struct dl_signed what = {
		.method = dl_str_of(req->method),
		.path = dl_str_of(req->path),
		.body = dl_str_of(req->body),
	};
	size_t n = 0;

	if (req->body)
		out[n++] = (struct dl_header){ DL_STR("Content-Type"),
					       DL_STR("application/json") };
	if (cli->key.n == 0 ||
	    dl_sign(&cli->key, &what, g_get_real_time() / US_PER_MS, signature))
		return n;
	out[n++] = (struct dl_header){ DL_STR("Daisyledge-Signature"),
				       dl_str_of(signature) };
	return n;
}

/* Sends the request to one entry and runs an own event loop until it ends. */
static void try_entry(const struct cli *cli, uint64_t to,
		      const struct cli_request *req, int64_t timeout_ms,
		      struct cli_answer *out)
{
	struct dl_header headers[HEADERS_MAX];
	char signature[DL_SIGNATURE_MAX];
	struct attempt a = { .body = g_string_new(NULL) };
	struct dl_httpc_req r = {
		.address = to,
		.method = dl_str_of(req->method),
		.path = dl_str_of(req->path),
		.headers = headers,
		.headers_count = fill_headers(cli, req, headers, signature),
		.body = dl_str_of(req->body),
		.connect_ms = (uint32_t)MIN(CONNECT_MS, timeout_ms),
		.idle_ms = (uint32_t)MIN(GAP_MS, timeout_ms),
		.total_ms = (uint32_t)MAX(timeout_ms, 1),
	};
	struct dl_httpc *client;
	uv_loop_t loop;

	uv_loop_init(&loop);
	if (dl_httpc_open(&loop, &client) != 0)
		g_error("out of memory");
	if (dl_httpc_start(client, &r, &ops, &a)) {
		while (!a.ended)
			uv_run(&loop, UV_RUN_ONCE);
	}
	uv_run(&loop, UV_RUN_NOWAIT);
	dl_httpc_close(client);
	uv_run(&loop, UV_RUN_NOWAIT);
	uv_loop_close(&loop);
	out->from = to;
	out->err = a.err;
	out->status = a.complete ? a.status : 0;
	if (a.complete)
		out->json = json_loadb(a.body->str, a.body->len, 0, NULL);
	g_string_free(a.body, TRUE);
}

/*
 * Sends a request to the entries in turn, in rounds, until one answers or the
 * timeout expires. An entry without a quorum answers 503; with other_on_503 the
 * next one is tried, and the last answer is returned when time runs out.
 */
void cli_call(const struct cli *cli, const struct cli_request *req,
	      int64_t timeout_ms, struct cli_answer *out)
{
	int64_t end = cli_now_ms() + timeout_ms;

	memset(out, 0, sizeof(*out));
	for (unsigned i = 0;; i++) {
		int64_t left = end - cli_now_ms();
		struct cli_answer next = { 0 };

		if (i && i % cli->entries == 0)
			cli_sleep_ms((unsigned)CLAMP(left, 0, ROUND_DELAY_MS));
		left = end - cli_now_ms();
		if (i && left < ATTEMPT_MIN_MS)
			return;
		try_entry(cli, cli->entry[i % cli->entries], req, left, &next);
		if (next.status == 0 && out->status)
			continue;
		cli_answer_free(out);
		*out = next;
		if (out->status == 0 ||
		    (out->status == UNAVAILABLE && req->other_on_503))
			continue;
		return;
	}
}

/* Releases the contents of an answer. */
void cli_answer_free(struct cli_answer *answer)
{
	json_decref(answer->json);
	answer->json = NULL;
}
