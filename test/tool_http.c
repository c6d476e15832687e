/*
 * Sends one HTTP request, for the test scripts.  Prints the body, and with
 * --head also the head.  Exit status: 0 if the response has the expected
 * status, 1 if it has another, 2 for bad usage, 3 if the response is missing or
 * incomplete.
 */
#include <arpa/inet.h>
#include <glib.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include <uv.h>

#include "fake/http.h"
#include "fake/sign.h"

#define CONNECT_MS  1000
#define HEADERS_MAX 128

enum tool_exit {
	EXIT_EXPECTED = 0,
	EXIT_UNEXPECTED = 1,
	EXIT_BAD_USAGE = 2,
	EXIT_NO_RESPONSE = 3
};

static struct {
	char *method;
	char **headers;
	char *data;
	char *file;
	int expect;
	int timeout_ms;
	int stall_ms;
	int slow_ms;
	int rate;
	char *key_file;
	char *took;
	int signed_ago;
	gboolean head;
} opt = { .method = "GET", .timeout_ms = 10000 };

static const GOptionEntry options[] = {
	{ "method", 'X', 0, G_OPTION_ARG_STRING, &opt.method, "request method",
	  "NAME" },
	{ "header", 'H', 0, G_OPTION_ARG_STRING_ARRAY, &opt.headers,
	  "add a request header", "NAME:VALUE" },
	{ "data", 'd', 0, G_OPTION_ARG_STRING, &opt.data, "request body",
	  "TEXT" },
	{ "file", 'f', 0, G_OPTION_ARG_FILENAME, &opt.file,
	  "read the request body from", "FILE" },
	{ "expect", 'e', 0, G_OPTION_ARG_INT, &opt.expect,
	  "expected status; 0 for any of 200 to 299", "STATUS" },
	{ "timeout", 't', 0, G_OPTION_ARG_INT, &opt.timeout_ms,
	  "response timeout", "MS" },
	{ "stall", 0, 0, G_OPTION_ARG_INT, &opt.stall_ms,
	  "read nothing for this long, then disconnect", "MS" },
	{ "slow", 0, 0, G_OPTION_ARG_INT, &opt.slow_ms,
	  "delay between the head and the body", "MS" },
	{ "rate", 0, 0, G_OPTION_ARG_INT, &opt.rate,
	  "read this many bytes a second, and print what came of the response",
	  "N" },
	{ "key-file", 0, 0, G_OPTION_ARG_FILENAME, &opt.key_file,
	  "sign with the key in this file", "FILE" },
	{ "signed-ago", 0, 0, G_OPTION_ARG_INT, &opt.signed_ago,
	  "set the time of the signature this far back", "MS" },
	{ "took", 0, 0, G_OPTION_ARG_FILENAME, &opt.took,
	  "append to it how long the response took, in ms", "FILE" },
	{ "head", 'i', 0, G_OPTION_ARG_NONE, &opt.head,
	  "print the response head too", NULL },
	{ NULL },
};

struct result {
	int status;
	enum fake_end end;
};

static void on_head(void *arg, int status, struct dl_str head)
{
	((struct result *)arg)->status = status;
	if (opt.head)
		fwrite(head.s, 1, head.n, stdout);
}

static void on_body(void *arg, struct dl_str piece)
{
	fwrite(piece.s, 1, piece.n, stdout);
}

static void on_end(void *arg, enum fake_end end)
{
	((struct result *)arg)->end = end;
}

/*
 * Splits "NAME: VALUE" options into headers; returns their number, or -1 if one
 * is malformed or there are too many.
 */
static int split_headers(struct fake_header *out)
{
	int n = 0;

	for (char **h = opt.headers; h && *h; h++) {
		char *colon = strchr(*h, ':');

		if (!colon || n == HEADERS_MAX)
			return -1;
		*colon = '\0';
		out[n].name = *h;
		out[n].value = g_strstrip(colon + 1);
		n++;
	}
	out[n] = (struct fake_header){ NULL, NULL };
	return n;
}

/* Adds a signature after n headers if a key is given; -1 on failure. */
static int sign(const struct fake_call_req *req, struct fake_header *out, int n)
{
	static char signature[DL_SIGNATURE_MAX];
	struct dl_key key = { 0 };

	if (!opt.key_file)
		return 0;
	if (n == HEADERS_MAX || fake_key_read(opt.key_file, &key) ||
	    fake_sign(&key, req, opt.signed_ago, signature))
		return -1;
	out[n] = (struct fake_header){ "Daisyledge-Signature", signature };
	out[n + 1] = (struct fake_header){ NULL, NULL };
	return 0;
}

static int exit_status(const struct result *result)
{
	if (result->end != FAKE_END_COMPLETE)
		return EXIT_NO_RESPONSE;
	if (opt.expect)
		return result->status == opt.expect ? EXIT_EXPECTED :
						      EXIT_UNEXPECTED;
	return result->status >= 200 && result->status < 300 ? EXIT_EXPECTED :
							       EXIT_UNEXPECTED;
}

static bool send_all(int fd, const char *s, size_t n)
{
	return fd >= 0 && write(fd, s, n) == (ssize_t)n;
}

/* Has the kernel take in little beyond what is read, as on a usual network. */
static void keep_buffers_small(int fd)
{
	int received = 16384, segment = 1460;

	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &received, sizeof(received));
	setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof(segment));
}

/* Connects and sends the head of the request; returns the socket, or -1. */
static int send_head(const struct fake_call_req *req)
{
	struct sockaddr_in to = { .sin_family = AF_INET };
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	GString *s = g_string_new(NULL);
	bool sent;

	g_string_printf(s, "%s %s HTTP/1.1\r\nHost: a\r\nConnection: close\r\n",
			req->method, req->path);
	for (const struct fake_header *h = req->headers; h->name; h++)
		g_string_append_printf(s, "%s: %s\r\n", h->name, h->value);
	g_string_append_printf(s, "Content-Length: %zu\r\n\r\n", req->body.n);
	if (opt.rate)
		keep_buffers_small(fd);
	to.sin_port = htons((uint16_t)(req->address & 0xffff));
	to.sin_addr.s_addr = htonl((uint32_t)(req->address >> 16));
	sent = fd >= 0 &&
	       connect(fd, (const struct sockaddr *)&to, sizeof(to)) == 0 &&
	       send_all(fd, s->str, s->len);
	g_string_free(s, TRUE);
	if (sent)
		return fd;
	if (fd >= 0)
		close(fd);
	return -1;
}

/* Simulates a client that hangs: sends the request, never reads, closes. */
static int send_without_reading(const struct fake_call_req *req)
{
	int fd = send_head(req);
	bool sent = send_all(fd, req->body.s, req->body.n);

	if (sent)
		g_usleep((gulong)opt.stall_ms * 1000);
	if (fd >= 0)
		close(fd);
	return sent ? EXIT_EXPECTED : EXIT_NO_RESPONSE;
}

/* Sends the body after a delay, then reads the whole response. */
static int send_slowly(const struct fake_call_req *req)
{
	int fd = send_head(req);
	char text[4096];
	size_t n = 0;
	ssize_t got;
	int status;

	g_usleep((gulong)opt.slow_ms * 1000);
	if (!send_all(fd, req->body.s, req->body.n))
		return EXIT_NO_RESPONSE;
	while (n < sizeof(text) - 1 &&
	       (got = read(fd, text + n, sizeof(text) - 1 - n)) > 0)
		n += (size_t)got;
	close(fd);
	text[n] = '\0';
	fputs(text, stdout);
	if (sscanf(text, "HTTP/1.1 %d", &status) != 1)
		return EXIT_NO_RESPONSE;
	return status == opt.expect ? EXIT_EXPECTED : EXIT_UNEXPECTED;
}

/* Reads until the end at a rate. */
static GString *read_at_rate(int fd)
{
	gint64 begun = g_get_monotonic_time();
	GString *all = g_string_new(NULL);
	char buf[16384];
	ssize_t got;

	while ((got = read(fd, buf, sizeof(buf))) > 0) {
		gint64 due = (gint64)(all->len + (size_t)got) * G_USEC_PER_SEC /
			     opt.rate;
		gint64 now = g_get_monotonic_time() - begun;

		g_string_append_len(all, buf, got);
		if (due > now)
			g_usleep((gulong)(due - now));
	}
	return all;
}

/* Whether a response has come whole, by its length or its last chunk. */
static bool is_response_whole(const GString *all, size_t body)
{
	static const char last_chunk[] = "\r\n0\r\n\r\n";
	size_t n = sizeof(last_chunk) - 1, whole = 0;
	struct dl_str head = { all->str, all->len - body };
	char *length = strcasestr(all->str, "\r\ncontent-length:");

	if (fake_head_find(head, "transfer-encoding").n)
		return all->len > n &&
		       memcmp(all->str + all->len - n, last_chunk, n) == 0;
	return length && sscanf(strchr(length, ':') + 1, " %zu", &whole) == 1 &&
	       whole == body;
}

/* Sends a request, reads its response at a rate, and says what came of it. */
static int read_slowly(const struct fake_call_req *req)
{
	int fd = send_head(req), status = 0;
	bool whole = false;
	const char *end;
	GString *all;
	size_t body;

	if (!send_all(fd, req->body.s, req->body.n))
		return EXIT_NO_RESPONSE;
	all = read_at_rate(fd);
	close(fd);
	end = strstr(all->str, "\r\n\r\n");
	if (end && sscanf(all->str, "HTTP/1.1 %d", &status) == 1) {
		body = all->len - (size_t)(end + 4 - all->str);
		whole = is_response_whole(all, body);
		printf("status=%d bytes=%zu%s\n", status, body,
		       whole ? "" : ", not whole");
	}
	g_string_free(all, TRUE);
	return whole ? EXIT_EXPECTED : EXIT_NO_RESPONSE;
}

static void add_took(gint64 us)
{
	FILE *f = opt.took ? fopen(opt.took, "a") : NULL;

	if (!f)
		return;
	fprintf(f, "%ld\n", (long)(us / 1000));
	fclose(f);
}

int main(int argc, char **argv)
{
	static const struct fake_call_ops ops = { on_head, on_body, on_end };
	GOptionContext *ctx = g_option_context_new("IP:PORT PATH");
	struct fake_header headers[HEADERS_MAX + 1];
	struct result result = { 0 };
	struct fake_call_req req = { .headers = headers,
				     .connect_ms = CONNECT_MS };
	GError *err = NULL;
	gint64 begun;
	int n;

	fake_ignore_sigpipe();
	g_option_context_add_main_entries(ctx, options, NULL);
	if (!g_option_context_parse(ctx, &argc, &argv, &err) || argc != 3 ||
	    !dl_vm_parse(dl_str_of(argv[1]), &req.address)) {
		fprintf(stderr, "http: %s\n",
			err ? err->message :
			      "usage: tool_http [OPTION...] IP:PORT PATH");
		return EXIT_BAD_USAGE;
	}
	g_option_context_free(ctx);
	n = split_headers(headers);
	if (n < 0) {
		fprintf(stderr,
			"http: a header is malformed or one too many\n");
		return EXIT_BAD_USAGE;
	}
	req.method = opt.method;
	req.path = argv[2];
	req.timeout_ms = (uint32_t)opt.timeout_ms;
	if (opt.data)
		req.body = dl_str_of(opt.data);
	if (opt.file && !g_file_get_contents(opt.file, (char **)&req.body.s,
					     &req.body.n, &err)) {
		fprintf(stderr, "http: %s\n", err->message);
		return EXIT_BAD_USAGE;
	}
	if (sign(&req, headers, n) < 0) {
		fprintf(stderr, "http: cannot sign with the key file\n");
		return EXIT_BAD_USAGE;
	}
	if (opt.stall_ms)
		return send_without_reading(&req);
	if (opt.slow_ms)
		return send_slowly(&req);
	if (opt.rate)
		return read_slowly(&req);
	begun = g_get_monotonic_time();
	fake_call_start(uv_default_loop(), &req, &ops, &result);
	uv_run(uv_default_loop(), UV_RUN_DEFAULT);
	add_took(g_get_monotonic_time() - begun);
	if (opt.file)
		g_free((char *)req.body.s);
	return exit_status(&result);
}
