/*
 * Sends malformed, oversized, slow and incomplete input to the HTTP and peer
 * ports of one entry and checks the status of each response.  Exit status 0
 * only if every status is allowed and the entry is healthy afterwards.
 *
 *   tool_badinput HTTP-ADDRESS PEER-ADDRESS MODEL PLAIN-SERVICE
 */
#include <arpa/inet.h>
#include <errno.h>
#include <glib.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "daisyledge/base.h"

#define RESPONSE_MS   8000
#define STALL_MAX_MS  20000 /* deadline for closing an incomplete head */
#define STALLED_CONNS 8
#define PIECE_BYTES   65536
#define HUGE_BODY     (100ul << 20)
#define HUGE_HEADERS  (4ul << 20)
#define NESTING	      100000
#define STATUSES_MAX  4
#define SLOW_STEP_MS  20
#define GARBAGE_BYTES 4096
#define CLOSED	      (-1) /* the connection was closed without a status */
#define TIMED_OUT     (-2)

/* How a case sends its request text, and what it sends after it. */
enum send_mode {
	SEND_PLAIN,
	SEND_HALF_CLOSE,   /* shut down sending after the text */
	SEND_SLOW,	   /* one byte at a time */
	SEND_BODY_HUGE,	   /* the text, then 100 MB */
	SEND_HEADERS_HUGE, /* the text, then endless headers */
	SEND_CHUNKS_HUGE,  /* the text, then endless chunks */
};

struct bad_case {
	const char *name;
	const char *method;
	const char *path;
	const char *headers; /* lines, each terminated by CR LF */
	const char *body;
	enum send_mode mode;
	int allowed[STATUSES_MAX]; /* terminated by 0 */
};

static const char *model;
static const char *plain_service;
static uint64_t http_address;
static uint64_t peer_address;
static int failures;

/* In paths and bodies, %M is the model and %P the plain service. */
static const struct bad_case cases[] = {
	{ "unknown path", "GET", "/nowhere", "", NULL, 0, { 404 } },
	{ "unknown service", "GET", "/s/nobody/x", "", NULL, 0, { 404 } },
	{ "wrong method", "GET", "/v1/completions", "", NULL, 0, { 405 } },
	{ "wrong method on health", "POST", "/healthz", "", "", 0, { 405 } },
	{ "truncated JSON",
	  "POST",
	  "/v1/completions",
	  "",
	  "{\"model\":\"%M\",\"prompt\":\"a",
	  0,
	  { 400 } },
	{ "not JSON", "POST", "/v1/completions", "", "hello", 0, { 400 } },
	{ "empty body", "POST", "/v1/completions", "", "", 0, { 400 } },
	{ "JSON array instead of an object",
	  "POST",
	  "/v1/completions",
	  "",
	  "[1,2]",
	  0,
	  { 400 } },
	{ "missing prompt",
	  "POST",
	  "/v1/completions",
	  "",
	  "{\"model\":\"%M\"}",
	  0,
	  { 400 } },
	{ "prompt is a number",
	  "POST",
	  "/v1/completions",
	  "",
	  "{\"model\":\"%M\",\"prompt\":7}",
	  0,
	  { 400 } },
	{ "prompt is null",
	  "POST",
	  "/v1/completions",
	  "",
	  "{\"model\":\"%M\",\"prompt\":null}",
	  0,
	  { 400 } },
	{ "model is a number",
	  "POST",
	  "/v1/completions",
	  "",
	  "{\"model\":7,\"prompt\":\"a\"}",
	  0,
	  { 400, 404 } },
	{ "unknown model",
	  "POST",
	  "/v1/completions",
	  "",
	  "{\"model\":\"nobody\",\"prompt\":\"a\"}",
	  0,
	  { 400, 404 } },
	{ "max_tokens is a string",
	  "POST",
	  "/v1/completions",
	  "",
	  "{\"model\":\"%M\",\"prompt\":\"a\",\"max_tokens\":\"5\"}",
	  0,
	  { 400 } },
	{ "max_tokens is negative",
	  "POST",
	  "/v1/completions",
	  "",
	  "{\"model\":\"%M\",\"prompt\":\"a\",\"max_tokens\":-5}",
	  0,
	  { 400 } },
	{ "max_tokens is the largest integer",
	  "POST",
	  "/v1/completions",
	  "",
	  "{\"model\":\"%M\",\"prompt\":\"a\","
	  "\"max_tokens\":9223372036854775807}",
	  0,
	  { 400, 429, 503 } },
	{ "stream is a string",
	  "POST",
	  "/v1/completions",
	  "",
	  "{\"model\":\"%M\",\"prompt\":\"a\",\"stream\":\"yes\"}",
	  0,
	  { 400 } },
	{ "invalid UTF-8",
	  "POST",
	  "/v1/completions",
	  "",
	  "{\"model\":\"%M\",\"prompt\":\"\xff\xfe\"}",
	  0,
	  { 400 } },
	{ "NUL in a prompt",
	  "POST",
	  "/v1/completions",
	  "",
	  "{\"model\":\"%M\",\"prompt\":\"a\\u0000b\",\"max_tokens\":1}",
	  0,
	  { 200, 400 } },
	{ "NUL in the model",
	  "POST",
	  "/v1/completions",
	  "",
	  "{\"model\":\"%M\\u0000\",\"prompt\":\"a\"}",
	  0,
	  { 400, 404 } },
	{ "deadline is not a number",
	  "POST",
	  "/v1/completions",
	  "Daisyledge-Deadline-Ms: soon\r\n",
	  "{\"model\":\"%M\",\"prompt\":\"a\"}",
	  0,
	  { 400 } },
	{ "deadline is negative",
	  "POST",
	  "/v1/completions",
	  "Daisyledge-Deadline-Ms: -1\r\n",
	  "{\"model\":\"%M\",\"prompt\":\"a\"}",
	  0,
	  { 400 } },
	{ "deadline is out of range",
	  "POST",
	  "/v1/completions",
	  "Daisyledge-Deadline-Ms: 99999999999999999999999\r\n",
	  "{\"model\":\"%M\",\"prompt\":\"a\"}",
	  0,
	  { 400 } },
	{ "unknown class",
	  "POST",
	  "/v1/completions",
	  "Daisyledge-Class: nobody\r\n",
	  "{\"model\":\"%M\",\"prompt\":\"a\",\"max_tokens\":1}",
	  0,
	  { 400 } },
	{ "idempotent is neither yes nor no",
	  "POST",
	  "/v1/completions",
	  "Daisyledge-Idempotent: perhaps\r\n",
	  "{\"model\":\"%M\",\"prompt\":\"a\",\"max_tokens\":1}",
	  0,
	  { 400 } },
	{ "announcement with a wrong type",
	  "POST",
	  "/v1/endpoints",
	  "",
	  "{\"service\":7}",
	  0,
	  { 400 } },
	{ "announcement of an unknown service",
	  "POST",
	  "/v1/endpoints",
	  "",
	  "{\"service\":\"nobody\",\"address\":\"127.0.0.1:1\"}",
	  0,
	  { 400, 404 } },
	{ "announcement without a port",
	  "POST",
	  "/v1/endpoints",
	  "",
	  "{\"service\":\"%P\",\"address\":\"127.0.0.1\",\"slots\":1}",
	  0,
	  { 400 } },
	{ "announcement with negative memory",
	  "POST",
	  "/v1/endpoints",
	  "",
	  "{\"service\":\"%P\",\"address\":\"127.0.0.1:1\",\"slots\":-1,"
	  "\"memory_tokens\":-5}",
	  0,
	  { 400 } },
	{ "100 MB body",
	  "POST",
	  "/v1/completions",
	  "",
	  "",
	  SEND_BODY_HUGE,
	  { 413, CLOSED } },
	{ "endless chunks",
	  "POST",
	  "/v1/completions",
	  "",
	  NULL,
	  SEND_CHUNKS_HUGE,
	  { 413, CLOSED } },
	{ "endless headers",
	  "GET",
	  "/healthz",
	  "",
	  NULL,
	  SEND_HEADERS_HUGE,
	  { 400, 431, CLOSED } },
	{ "slow sender", "GET", "/healthz", "", NULL, SEND_SLOW, { 200 } },
	{ "half-closed after a request",
	  "GET",
	  "/healthz",
	  "",
	  NULL,
	  SEND_HALF_CLOSE,
	  { 200, CLOSED } },
	{ "half-closed inside a body",
	  "POST",
	  "/v1/completions",
	  "Content-Length: 1000\r\n",
	  "{\"model\":",
	  SEND_HALF_CLOSE,
	  { 400, CLOSED } },
};

#define CASES (sizeof(cases) / sizeof(cases[0]))

static int connect_to(uint64_t vm)
{
	struct sockaddr_in to = { .sin_family = AF_INET };
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	to.sin_port = htons((uint16_t)(vm & 0xffff));
	to.sin_addr.s_addr = htonl((uint32_t)(vm >> 16));
	if (fd < 0 || connect(fd, (struct sockaddr *)&to, sizeof(to)) < 0) {
		perror("badinput: connect");
		exit(2);
	}
	return fd;
}

/* Sends all bytes; false if the peer has closed the connection. */
static bool send_all(int fd, const char *s, size_t n)
{
	while (n > 0) {
		ssize_t sent = send(fd, s, n, MSG_NOSIGNAL);

		if (sent < 0 && errno == EINTR)
			continue;
		if (sent < 0)
			return false;
		s += sent;
		n -= (size_t)sent;
	}
	return true;
}

/* Returns the status of the response, CLOSED or TIMED_OUT. */
static int read_status(int fd, int ms)
{
	char head[64] = "";
	size_t have = 0;

	while (have < sizeof(head) - 1) {
		struct pollfd p = { .fd = fd, .events = POLLIN };
		ssize_t n;

		if (poll(&p, 1, ms) <= 0)
			return TIMED_OUT;
		n = recv(fd, head + have, sizeof(head) - 1 - have, 0);
		if (n <= 0)
			break;
		have += (size_t)n;
		head[have] = '\0';
		if (have >= 12 && memcmp(head, "HTTP/1.", 7) == 0)
			return (int)strtol(head + 9, NULL, 10);
	}
	return CLOSED;
}

static char *expand(const char *s)
{
	GString *out = g_string_new(s);

	g_string_replace(out, "%M", model, 0);
	g_string_replace(out, "%P", plain_service, 0);
	return g_string_free(out, FALSE);
}

static void send_slowly(int fd, const GString *text)
{
	for (size_t i = 0; i < text->len; i++) {
		if (!send_all(fd, text->str + i, 1))
			return;
		g_usleep(SLOW_STEP_MS * 1000ul);
	}
}

/* Repeats a piece until total bytes are sent or the peer closes. */
static void send_repeated(int fd, const char *piece, size_t n, size_t total)
{
	for (size_t sent = 0; sent < total; sent += n) {
		if (!send_all(fd, piece, n))
			return;
	}
}

/* Sends chunks of a body without the last chunk. */
static void send_chunks(int fd, const char *fill)
{
	GString *chunk = g_string_new(NULL);

	g_string_printf(chunk, "%x\r\n", PIECE_BYTES);
	g_string_append_len(chunk, fill, PIECE_BYTES);
	g_string_append(chunk, "\r\n");
	send_repeated(fd, chunk->str, chunk->len, HUGE_BODY);
	g_string_free(chunk, TRUE);
}

static void send_case(int fd, const struct bad_case *c, const GString *text)
{
	char *piece = g_strnfill(PIECE_BYTES, 'a');

	if (c->mode == SEND_SLOW)
		send_slowly(fd, text);
	else
		send_all(fd, text->str, text->len);
	if (c->mode == SEND_BODY_HUGE)
		send_repeated(fd, piece, PIECE_BYTES, HUGE_BODY);
	else if (c->mode == SEND_HEADERS_HUGE)
		send_repeated(fd, "X-More: and more\r\n", 18, HUGE_HEADERS);
	else if (c->mode == SEND_CHUNKS_HUGE)
		send_chunks(fd, piece);
	else if (c->mode == SEND_HALF_CLOSE)
		shutdown(fd, SHUT_WR);
	g_free(piece);
}

static GString *build_request(const struct bad_case *c)
{
	GString *s = g_string_new(NULL);
	char *path = expand(c->path);
	char *body = expand(c->body ? c->body : "");

	g_string_append_printf(s, "%s %s HTTP/1.1\r\nHost: a\r\n%s", c->method,
			       path, c->headers);
	if (c->mode == SEND_BODY_HUGE)
		g_string_append_printf(s, "Content-Length: %lu\r\n", HUGE_BODY);
	else if (c->mode == SEND_CHUNKS_HUGE)
		g_string_append(s, "Transfer-Encoding: chunked\r\n");
	else if (c->body && !strstr(c->headers, "Content-Length"))
		g_string_append_printf(s, "Content-Length: %zu\r\n",
				       strlen(body));
	if (c->mode != SEND_HEADERS_HUGE)
		g_string_append_printf(s, "Connection: close\r\n\r\n%s", body);
	g_free(path);
	g_free(body);
	return s;
}

static void check_status(const char *name, int status, const int *allowed)
{
	for (int i = 0; i < STATUSES_MAX && allowed[i]; i++) {
		if (allowed[i] == status)
			return;
	}
	failures++;
	printf("bad input \"%s\" got %d (-1: closed, -2: no response)\n", name,
	       status);
}

static void run_case(const struct bad_case *c)
{
	GString *text = build_request(c);
	int fd = connect_to(http_address);

	send_case(fd, c, text);
	check_status(c->name, read_status(fd, RESPONSE_MS), c->allowed);
	close(fd);
	g_string_free(text, TRUE);
}

/* Deeply nested JSON must not overflow the stack of the parser. */
static void run_nesting(void)
{
	static const int allowed[STATUSES_MAX] = { 400 };
	GString *s = g_string_new(NULL);
	int fd = connect_to(http_address);

	g_string_printf(s,
			"POST /v1/completions HTTP/1.1\r\nHost: a\r\n"
			"Content-Length: %d\r\n\r\n",
			NESTING);
	for (int i = 0; i < NESTING; i++)
		g_string_append_c(s, '[');
	send_all(fd, s->str, s->len);
	check_status("deep nesting", read_status(fd, RESPONSE_MS), allowed);
	close(fd);
	g_string_free(s, TRUE);
}

/* Sends raw NUL bytes in the body, in a header and in the path. */
static void run_raw_nul(void)
{
	static const char body[] =
		"POST /v1/completions HTTP/1.1\r\nHost: a\r\n"
		"Content-Length: 12\r\n\r\n"
		"{\"model\":\0\0}";
	static const char header[] = "GET /healthz HTTP/1.1\r\nHost: a\r\n"
				     "X-A: b\0c\r\n\r\n";
	static const char path[] = "GET /heal\0thz HTTP/1.1\r\nHost: a\r\n\r\n";
	static const struct {
		const char *name;
		const char *s;
		size_t n;
		int allowed[STATUSES_MAX];
	} raw[] = {
		{ "raw NUL in a body", body, sizeof(body) - 1, { 400 } },
		{ "raw NUL in a header",
		  header,
		  sizeof(header) - 1,
		  { 400, 200, CLOSED } },
		{ "raw NUL in a path",
		  path,
		  sizeof(path) - 1,
		  { 400, 404, CLOSED } },
	};

	for (size_t i = 0; i < sizeof(raw) / sizeof(raw[0]); i++) {
		int fd = connect_to(http_address);

		send_all(fd, raw[i].s, raw[i].n);
		check_status(raw[i].name, read_status(fd, RESPONSE_MS),
			     raw[i].allowed);
		close(fd);
	}
}

/* Sends random bytes to both ports; any response will do, but no crash. */
static void run_garbage(void)
{
	static const unsigned char long_frame[] = { 0xff, 0xff, 0xff,
						    0xff, 0x94, 1,
						    2,	  3,	4 };
	GRand *rand = g_rand_new_with_seed(5);
	char bytes[GARBAGE_BYTES];
	int fd;

	for (int round = 0; round < 16; round++) {
		for (size_t i = 0; i < sizeof(bytes); i++)
			bytes[i] = (char)g_rand_int(rand);
		fd = connect_to(round % 2 ? http_address : peer_address);
		send_all(fd, bytes, sizeof(bytes));
		shutdown(fd, SHUT_WR);
		read_status(fd, RESPONSE_MS / 8);
		close(fd);
	}
	fd = connect_to(peer_address);
	send_all(fd, (const char *)long_frame, sizeof(long_frame));
	if (read_status(fd, RESPONSE_MS) == TIMED_OUT) {
		failures++;
		printf("connection with an oversized frame was not closed\n");
	}
	close(fd);
	g_rand_free(rand);
}

/*
 * Opens connections with incomplete request heads.  They must be closed after a
 * timeout and must not keep other requests from being served.
 */
static void open_stalled(int *fds)
{
	static const char head[] = "POST /v1/completions HTTP/1.1\r\nHos";

	for (int i = 0; i < STALLED_CONNS; i++) {
		fds[i] = connect_to(http_address);
		send_all(fds[i], head, sizeof(head) - 1);
	}
}

static void check_stalled(const int *fds)
{
	static const int allowed[STATUSES_MAX] = { CLOSED, 400, 408 };

	for (int i = 0; i < STALLED_CONNS; i++) {
		check_status("incomplete head",
			     read_status(fds[i], STALL_MAX_MS), allowed);
		close(fds[i]);
	}
}

int main(int argc, char **argv)
{
	static const struct bad_case health = {
		"health afterwards", "GET", "/healthz", "", NULL, 0, { 200 }
	};
	int stalled[STALLED_CONNS];

	if (argc != 5 || !dl_vm_parse(dl_str_of(argv[1]), &http_address) ||
	    !dl_vm_parse(dl_str_of(argv[2]), &peer_address)) {
		fprintf(stderr, "usage: tool_badinput HTTP-ADDRESS "
				"PEER-ADDRESS MODEL PLAIN-SERVICE\n");
		return 2;
	}
	model = argv[3];
	plain_service = argv[4];
	open_stalled(stalled);
	for (size_t i = 0; i < CASES; i++)
		run_case(&cases[i]);
	run_nesting();
	run_raw_nul();
	run_garbage();
	check_stalled(stalled);
	run_case(&health);
	printf("bad input: %zu cases, %d wrong\n", CASES, failures);
	return failures ? 1 : 0;
}
