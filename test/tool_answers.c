/*
 * Callers of endpoints whose answers say whose they are (fake/own_answer.h):
 * sends requests, some at once, and checks that each success is the whole
 * answer to its own request and nothing else.  A failure is allowed, and so is
 * an answer that visibly ends early, as far as it goes.  Prints one line; exit
 * status: 0 if no caller got an answer that is not its own.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "fake/http.h"
#include "fake/own_answer.h"

#define AT_ONCE_MAX 96
#define POLL_MS	    5

static struct {
	char *to, *path, *framings, *when, *tag, *method;
	char **headers;
	int calls, at_once, timeout_ms, deadline_ms, served_min, served_max;
	int body_bytes;
	gboolean stream;
} opt = { .framings = "length,chunks",
	  .when = "now",
	  .method = "GET",
	  .tag = "t",
	  .calls = 24,
	  .at_once = 4,
	  .timeout_ms = 6000,
	  .deadline_ms = 2000,
	  .served_max = G_MAXINT,
	  .body_bytes = 6 };

static const GOptionEntry options[] = {
	{ "to", 0, 0, G_OPTION_ARG_STRING, &opt.to,
	  "addresses of entries, used in turn", "A,.." },
	{ "path", 0, 0, G_OPTION_ARG_STRING, &opt.path,
	  "path of requests up to the kind of fault", "P" },
	{ "framings", 0, 0, G_OPTION_ARG_STRING, &opt.framings,
	  "what frames the answers, in turn", "F,.." },
	{ "when", 0, 0, G_OPTION_ARG_STRING, &opt.when,
	  "when endpoints send the other bytes", "W" },
	{ "method", 0, 0, G_OPTION_ARG_STRING, &opt.method,
	  "GET, or POST with a body", "M" },
	{ "tag", 0, 0, G_OPTION_ARG_STRING, &opt.tag, "begins all attempt ids",
	  "T" },
	{ "header", 'H', 0, G_OPTION_ARG_STRING_ARRAY, &opt.headers,
	  "add a header", "H" },
	{ "calls", 0, 0, G_OPTION_ARG_INT, &opt.calls, "requests to send",
	  "N" },
	{ "at-once", 0, 0, G_OPTION_ARG_INT, &opt.at_once, "requests under way",
	  "N" },
	{ "timeout", 0, 0, G_OPTION_ARG_INT, &opt.timeout_ms, "for one answer",
	  "MS" },
	{ "deadline", 0, 0, G_OPTION_ARG_INT, &opt.deadline_ms,
	  "that callers name", "MS" },
	{ "stream", 0, 0, G_OPTION_ARG_NONE, &opt.stream,
	  "the answers consist of events", NULL },
	{ "served-min", 0, 0, G_OPTION_ARG_INT, &opt.served_min,
	  "fail if fewer are served", "N" },
	{ "body-bytes", 0, 0, G_OPTION_ARG_INT, &opt.body_bytes,
	  "length of the body of a POST", "N" },
	{ "served-max", 0, 0, G_OPTION_ARG_INT, &opt.served_max,
	  "fail if more are served", "N" },
	{ NULL },
};

/* What may be wrong with an answer. */
enum wrong {
	WRONG_NOTHING,
	WRONG_BYTES,  /* no answer, malformed, or more than one */
	WRONG_STATUS, /* one that neither an endpoint nor an entry gives */
	WRONG_ID,     /* none, another's or several */
	WRONG_STAMP,  /* none or several */
	WRONG_HEADER, /* another value than the endpoint's, or malformed */
	WRONG_BODY,   /* not that of the run with the stamp, or not whole */
	WRONGS,
};

static const char *const wrong_names[WRONGS] = {
	[WRONG_BYTES] = "bytes",   [WRONG_STATUS] = "status",
	[WRONG_ID] = "id",	   [WRONG_STAMP] = "stamp",
	[WRONG_HEADER] = "header", [WRONG_BODY] = "body",
};

/* A request under way. */
struct caller {
	int fd; /* -1: none */
	char id[64];
	GString *in;
	int64_t begun_at;
	bool reset;
};

static char **entries, **framings;
static int sent, served, hung;
static int wrongs[WRONGS];

static int64_t now_ms(void)
{
	return g_get_monotonic_time() / 1000;
}

static void start(struct caller *c)
{
	struct sockaddr_in sin = { .sin_family = AF_INET };
	guint entry = (guint)sent % g_strv_length(entries);
	guint framing = (guint)sent % g_strv_length(framings);
	GString *out = g_string_new(NULL);
	uint64_t to = 0;

	snprintf(c->id, sizeof(c->id), "%s-%d", opt.tag, sent++);
	g_string_truncate(c->in, 0);
	c->begun_at = now_ms();
	c->reset = false;
	dl_vm_parse(dl_str_of(entries[entry]), &to);
	sin.sin_port = htons((uint16_t)(to & 0xffff));
	sin.sin_addr.s_addr = htonl((uint32_t)(to >> 16));
	g_string_printf(out,
			"%s %s/%s/%s HTTP/1.1\r\nHost: h.example\r\n"
			"Connection: close\r\nDaisyledge-Attempt-Id: %s\r\n"
			"Daisyledge-Deadline-Ms: %d\r\n",
			opt.method, opt.path, framings[framing], opt.when,
			c->id, opt.deadline_ms);
	for (char **h = opt.headers; h && *h; h++)
		g_string_append_printf(out, "%s\r\n", *h);
	if (strcmp(opt.method, "POST") == 0) {
		g_string_append_printf(out, "Content-Length: %d\r\n\r\n",
				       opt.body_bytes);
		g_string_set_size(out, out->len + (gsize)opt.body_bytes);
		memset(out->str + out->len - opt.body_bytes, 'p',
		       (size_t)opt.body_bytes);
	} else {
		g_string_append(out, "\r\n");
	}
	c->fd = socket(AF_INET, SOCK_STREAM, 0);
	if (connect(c->fd, (const struct sockaddr *)&sin, sizeof(sin)) ||
	    write(c->fd, out->str, out->len) != (ssize_t)out->len)
		c->reset = true;
	fcntl(c->fd, F_SETFL, O_NONBLOCK);
	g_string_free(out, TRUE);
}

/* Returns how many headers of this name a head has. */
static int count_headers(struct dl_str head, const char *name)
{
	size_t n = strlen(name);
	int count = 0;

	for (const char *s = memchr(head.s, '\n', head.n); s;
	     s = memchr(s, '\n', (size_t)(head.s + head.n - s))) {
		s++;
		if ((size_t)(head.s + head.n - s) > n && s[n] == ':' &&
		    g_ascii_strncasecmp(s, name, n) == 0)
			count++;
	}
	return count;
}

static char *value_of(struct dl_str head, const char *name)
{
	struct dl_str value = fake_head_find(head, name);

	return g_strndup(value.s, value.n);
}

/*
 * Decodes chunks strictly; whole: they end with the last one and its blank
 * line.  false if they are malformed or more follows.
 */
static bool decode_chunks(const char *at, const char *end, GString *body,
			  bool *whole)
{
	*whole = false;
	for (;;) {
		char *line_end;
		size_t n = strtoul(at, &line_end, 16);

		if (end - line_end < 2)
			return true;
		if (line_end == at || memcmp(line_end, "\r\n", 2) != 0)
			return false;
		at = line_end + 2;
		if ((size_t)(end - at) < n + 2) {
			g_string_append_len(body, at, MIN((gssize)n, end - at));
			return n != 0 || end - at < 2;
		}
		g_string_append_len(body, at, (gssize)n);
		at += n;
		if (memcmp(at, "\r\n", 2) != 0)
			return false;
		at += 2;
		if (n == 0) {
			*whole = true;
			return at == end;
		}
	}
}

/* Decodes a body by its framing; false if bytes are malformed or follow it. */
static bool decode(const struct caller *c, struct dl_str head, GString *body,
		   bool *whole)
{
	struct dl_str length = fake_head_find(head, "content-length");
	const char *at = head.s + head.n;
	const char *end = c->in->str + c->in->len;
	uint64_t n = 0;

	if (fake_head_find(head, "transfer-encoding").n)
		return decode_chunks(at, end, body, whole);
	g_string_append_len(body, at, end - at);
	*whole = !c->reset;
	if (dl_str_to_u64(length, &n))
		*whole = (size_t)(end - at) >= n;
	return !length.n || (size_t)(end - at) <= n;
}

/* Whether each line after the first begins with a name and a colon. */
static bool has_names(struct dl_str head)
{
	for (const char *s = strstr(head.s, "\r\n") + 2;
	     memcmp(s, "\r\n", 2) != 0; s = strstr(s, "\r\n") + 2) {
		size_t n = 0;

		while (g_ascii_isalnum(s[n]) || s[n] == '-')
			n++;
		if (!n || s[n] != ':')
			return false;
	}
	return true;
}

/* Whether an endpoint answers so (test/tool_stutter.c). */
static bool is_endpoint_status(int status)
{
	return status == 200 || status == 500;
}

/* Checks that a success or an endpoint's failure has the head of one run. */
static enum wrong check_head(const struct caller *c, struct dl_str head,
			     const char *stamp)
{
	char *id = value_of(head, "daisyledge-attempt-id");
	char *type = value_of(head, "content-type");
	char *machine = value_of(head, "x-machine");
	enum wrong wrong = WRONG_NOTHING;

	if (count_headers(head, "daisyledge-attempt-id") != 1 ||
	    strcmp(id, c->id) != 0)
		wrong = WRONG_ID;
	else if (count_headers(head, "daisyledge-response-stamp") != 1)
		wrong = WRONG_STAMP;
	else if (count_headers(head, "content-type") != 1 ||
		 (strcmp(type, "text/plain") != 0 &&
		  strcmp(type, "text/event-stream") != 0))
		wrong = WRONG_HEADER;
	else if (count_headers(head, "x-machine") > 1 ||
		 !g_str_has_prefix(stamp, machine))
		wrong = WRONG_HEADER;
	g_free(id);
	g_free(type);
	g_free(machine);
	return wrong;
}

/* Checks the body of a success or of an endpoint's failure. */
static bool is_own_body(const struct caller *c, int status, const char *stamp,
			const GString *body, bool whole)
{
	struct dl_str text = { body->str, body->len };

	return opt.stream && status == 200 ?
		       fake_own_events(c->id, stamp, text, whole) :
		       fake_own_body(status, c->id, stamp, text, whole);
}

/* Whether an entry answers so without an endpoint's answer. */
static bool is_entry_failure(int status)
{
	return status == 502 || status == 503 || status == 504;
}

/*
 * Checks an answer; whole: it does not end early; status: 0 without a whole
 * head.
 */
static enum wrong check(const struct caller *c, bool *whole, int *status)
{
	const char *head_end = strstr(c->in->str, "\r\n\r\n");
	struct dl_str head = { c->in->str, 0 };
	GString *body = g_string_new(NULL);
	enum wrong wrong = WRONG_NOTHING;
	char *stamp;

	*whole = false;
	*status = 0;
	if (head_end)
		head.n = (size_t)(head_end + 4 - c->in->str);
	stamp = value_of(head, "daisyledge-response-stamp");
	if (!head.n && c->in->len && !g_str_has_prefix(c->in->str, "HTTP/1."))
		wrong = WRONG_BYTES;
	else if (!head.n)
		wrong = WRONG_NOTHING;
	else if (sscanf(c->in->str, "HTTP/1.%*d %d", status) != 1 ||
		 !decode(c, head, body, whole))
		wrong = WRONG_BYTES;
	else if (*status / 100 != 2 && !*stamp)
		wrong = is_entry_failure(*status) ? WRONG_NOTHING :
						    WRONG_STATUS;
	else if (*stamp && !is_endpoint_status(*status))
		wrong = WRONG_STATUS;
	else
		wrong = check_head(c, head, stamp);
	if (!wrong && head.n && !has_names(head))
		wrong = WRONG_HEADER;
	if (!wrong && (*status / 100 == 2 || *stamp) &&
	    !is_own_body(c, *status, stamp, body, *whole))
		wrong = WRONG_BODY;
	g_free(stamp);
	g_string_free(body, TRUE);
	return wrong;
}

static void judge(const struct caller *c)
{
	bool whole;
	int status;
	enum wrong wrong = check(c, &whole, &status);
	char *text = g_strescape(c->in->str, NULL);

	wrongs[wrong]++;
	if (wrong)
		fprintf(stderr, "%s: %s: %s\n", c->id, wrong_names[wrong],
			text);
	else if (status / 100 == 2 && whole)
		served++;
	else
		fprintf(stderr, "%s: failed, status %d%s\n", c->id, status,
			whole ? "" : ", ends early");
	g_free(text);
}

static int print_result(void)
{
	int not_own = sent - wrongs[WRONG_NOTHING];

	printf("%d not their own, served %d of %d", not_own, served, sent);
	for (int w = WRONG_NOTHING + 1; w < WRONGS; w++) {
		if (wrongs[w])
			printf(", %s %d", wrong_names[w], wrongs[w]);
	}
	if (hung)
		printf(", %d without an end", hung);
	printf("\n");
	return not_own || hung || served < opt.served_min ||
	       served > opt.served_max;
}

/* Reads what has come; judges the answer at the end of the connection. */
static void read_caller(struct caller *c)
{
	bool ended = c->reset;
	char buf[8192];
	ssize_t n;

	while (!ended) {
		n = read(c->fd, buf, sizeof(buf));
		if (n < 0 && (errno == EAGAIN || errno == EINTR))
			break;
		if (n > 0) {
			g_string_append_len(c->in, buf, n);
			continue;
		}
		ended = true;
		c->reset = n < 0;
	}
	if (!ended && now_ms() - c->begun_at > opt.timeout_ms) {
		hung++;
		ended = true;
		c->reset = true;
	}
	if (!ended)
		return;
	close(c->fd);
	c->fd = -1;
	judge(c);
}

static void run(void)
{
	struct caller callers[AT_ONCE_MAX];
	struct pollfd fds[AT_ONCE_MAX];
	int n = MIN(opt.at_once, AT_ONCE_MAX), open;

	for (int i = 0; i < n; i++)
		callers[i] =
			(struct caller){ .fd = -1, .in = g_string_new(NULL) };
	do {
		open = 0;
		for (int i = 0; i < n; i++) {
			if (callers[i].fd < 0 && sent < opt.calls)
				start(&callers[i]);
			open += callers[i].fd >= 0;
			fds[i] = (struct pollfd){ .fd = callers[i].fd,
						  .events = POLLIN };
		}
		poll(fds, (nfds_t)n, POLL_MS);
		for (int i = 0; i < n; i++) {
			if (callers[i].fd >= 0)
				read_caller(&callers[i]);
		}
	} while (open);
	for (int i = 0; i < n; i++)
		g_string_free(callers[i].in, TRUE);
}

int main(int argc, char **argv)
{
	GOptionContext *ctx = g_option_context_new(NULL);

	fake_ignore_sigpipe();
	g_option_context_add_main_entries(ctx, options, NULL);
	if (!g_option_context_parse(ctx, &argc, &argv, NULL) || !opt.to ||
	    !opt.path) {
		fprintf(stderr, "answers: invalid options; see --help\n");
		return 2;
	}
	g_option_context_free(ctx);
	entries = g_strsplit(opt.to, ",", -1);
	framings = g_strsplit(opt.framings, ",", -1);
	run();
	return print_result();
}
