/*
 * Sends a request for each way in which an endpoint's response can end, and
 * checks what the caller gets: the whole response, or one that is visibly
 * broken off.  It walks the table of what frames the response, where it stops,
 * how it ends, its ends of lines, and the caller's version of HTTP.  Exit
 * status: 0 if every cell holds.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "fake/ending.h"

#define CELLS_MAX 2048
#define TRIES_MAX 200 /* of a cell that is refused without being run */
#define RETRY_MS  100
#define POLL_MS	  5

enum version {
	VERSION_1_0,
	VERSION_1_0_KEPT, /* the caller asks to keep the connection */
	VERSION_1_1,
	VERSION_1_9, /* a later minor version */
	VERSIONS,
};

static const struct {
	const char *name, *protocol, *headers;
} versions[VERSIONS] = {
	[VERSION_1_0] = { "1.0", "HTTP/1.0", "" },
	[VERSION_1_0_KEPT] = { "1.0-kept", "HTTP/1.0",
			       "Connection: keep-alive\r\n" },
	[VERSION_1_1] = { "1.1", "HTTP/1.1", "Connection: close\r\n" },
	[VERSION_1_9] = { "1.9", "HTTP/1.9", "Connection: close\r\n" },
};

enum kind {
	KIND_STREAM,
	KIND_PLAIN,
	KIND_MODEL, /* a stream of the native API */
	KINDS,
};

static const char *const kind_names[KINDS] = { "stream", "plain", "model" };

/* How a response came to its end, as the caller sees it. */
enum seen {
	SEEN_NOTHING,
	SEEN_WHOLE,  /* by its framing */
	SEEN_BROKEN, /* off, by its framing or by a reset */
	SEEN_TIMEOUT,
};

static struct {
	char *to, *path, *kind, *how, *tag, *folder, *body, *versions;
	gboolean keyed;
	char **headers;
	int at_once, timeout_ms, deadline_ms;
	gboolean verbose;
} opt = { .kind = "stream",
	  .at_once = 100,
	  .tag = "t",
	  .body = "prompt",
	  .timeout_ms = 12000,
	  .deadline_ms = 4000 };

static const GOptionEntry options[] = {
	{ "to", 0, 0, G_OPTION_ARG_STRING, &opt.to, "address of the entry",
	  "A" },
	{ "path", 0, 0, G_OPTION_ARG_STRING, &opt.path,
	  "path before the name of the ending", "P" },
	{ "kind", 0, 0, G_OPTION_ARG_STRING, &opt.kind,
	  "stream, plain or model", "K" },
	{ "how", 0, 0, G_OPTION_ARG_STRING, &opt.how, "endings, by how",
	  "H,.." },
	{ "versions", 0, 0, G_OPTION_ARG_STRING, &opt.versions,
	  "versions of HTTP; default: all", "V,.." },
	{ "tag", 0, 0, G_OPTION_ARG_STRING, &opt.tag, "begins all keys", "T" },
	{ "folder", 0, 0, G_OPTION_ARG_FILENAME, &opt.folder,
	  "state that the endpoints share", "F" },
	{ "header", 'H', 0, G_OPTION_ARG_STRING_ARRAY, &opt.headers,
	  "add a header", "H" },
	{ "body", 0, 0, G_OPTION_ARG_STRING, &opt.body, "body of requests",
	  "B" },
	{ "keyed", 0, 0, G_OPTION_ARG_NONE, &opt.keyed,
	  "give each request an idempotency key, and send it again", NULL },
	{ "at-once", 0, 0, G_OPTION_ARG_INT, &opt.at_once, "requests under way",
	  "N" },
	{ "timeout", 0, 0, G_OPTION_ARG_INT, &opt.timeout_ms,
	  "for one response", "MS" },
	{ "deadline", 0, 0, G_OPTION_ARG_INT, &opt.deadline_ms,
	  "that callers name", "MS" },
	{ "verbose", 'v', 0, G_OPTION_ARG_NONE, &opt.verbose,
	  "print every cell", NULL },
	{ NULL },
};

struct cell {
	struct fake_ending ending;
	enum version version;
	int fd; /* -1: not open */
	int tries;
	int64_t begun_at, not_before;
	GString *in;
	bool reset, heard, done;
	bool again; /* its request is sent again with its key */
};

static struct cell cells[CELLS_MAX];
static int cells_count;
static enum kind kind;
static int violations, unexercised, gone_on, broken_off, whole;

static int64_t now_ms(void)
{
	return g_get_monotonic_time() / 1000;
}

static bool listed(const char *list, const char *word)
{
	char **all = g_strsplit(list, ",", -1);
	bool is = g_strv_contains((const char *const *)all, word);

	g_strfreev(all);
	return is;
}

static void add_cell(int framing, int stop, int how, int eol, int version)
{
	struct cell *c = &cells[cells_count];

	if (cells_count == CELLS_MAX)
		abort();
	c->ending = (struct fake_ending){ .framing = (enum fake_framing)framing,
					  .stop = (enum fake_stop)stop,
					  .how = (enum fake_how)how,
					  .eol = (enum fake_eol)eol };
	snprintf(c->ending.key, sizeof(c->ending.key), "%s%d", opt.tag,
		 cells_count);
	c->version = (enum version)version;
	c->fd = -1;
	c->in = g_string_new(NULL);
	cells_count++;
}

/*
 * Whether a way to end is walked in a version.  Of a response that stops in its
 * head nothing is sent on, so that two versions stand for all.
 */
static bool has_version(int stop, int how, int version)
{
	if (opt.versions && !listed(opt.versions, versions[version].name))
		return false;
	return (!fake_stop_is_in_head((enum fake_stop)stop) &&
		how != FAKE_HOW_AGAIN) ||
	       version == VERSION_1_0 || version == VERSION_1_1;
}

/* Lists the cells of one way to end, in each version and end of line. */
static void add_cells(int framing, int stop, int how)
{
	for (int version = 0; version < VERSIONS; version++) {
		if (!has_version(stop, how, version))
			continue;
		for (int eol = 0; eol < FAKE_EOLS; eol++)
			add_cell(framing, stop, how, eol, version);
	}
}

/*
 * Whether the table has a cell.  A response that falls silent in its head looks
 * the same whatever would frame its body.
 */
static bool has_cell(int framing, int stop, int how)
{
	if (how == FAKE_HOW_WHOLE)
		return stop == FAKE_STOP_LAST;
	if (how == FAKE_HOW_AGAIN)
		return !fake_stop_is_in_head((enum fake_stop)stop) &&
		       stop != FAKE_STOP_LAST;
	return !fake_stop_is_in_head((enum fake_stop)stop) ||
	       how == FAKE_HOW_CLOSE || how == FAKE_HOW_RESET ||
	       framing == FAKE_FRAMED_BY_LENGTH;
}

static void list_cells(void)
{
	for (int how = 0; how < FAKE_HOWS; how++) {
		if (!listed(opt.how, fake_how_names[how]))
			continue;
		for (int framing = 0; framing < FAKE_FRAMINGS; framing++) {
			for (int stop = 0; stop < FAKE_STOPS; stop++) {
				if (has_cell(framing, stop, how))
					add_cells(framing, stop, how);
			}
		}
	}
}

static bool was_begun(const struct cell *c)
{
	char *path = fake_ending_begun_file(opt.folder, c->ending.key);
	bool begun = access(path, F_OK) == 0;

	g_free(path);
	return begun;
}

/* Tells the endpoint that an event has come. */
static void note_heard(struct cell *c)
{
	char *path = fake_ending_heard_file(opt.folder, c->ending.key);
	int fd = open(path, O_WRONLY | O_CREAT, 0600);

	if (fd >= 0)
		close(fd);
	c->heard = true;
	g_free(path);
}

static GString *request_of(const struct cell *c)
{
	GString *name = g_string_new(NULL), *out = g_string_new(NULL);
	GString *body = g_string_new(NULL);
	const char *method = kind == KIND_PLAIN ? "GET" : "POST";

	fake_ending_format(&c->ending, name);
	if (kind == KIND_MODEL)
		g_string_printf(body,
				"{\"model\":\"%s\",\"prompt\":\"%s\","
				"\"max_tokens\":3,\"stream\":true}",
				opt.body, name->str);
	else if (kind == KIND_STREAM)
		g_string_append(body, opt.body);
	g_string_printf(out, "%s %s%s %s\r\nHost: h.example\r\n%s", method,
			opt.path, kind == KIND_MODEL ? "" : name->str,
			versions[c->version].protocol,
			versions[c->version].headers);
	for (char **h = opt.headers; h && *h; h++)
		g_string_append_printf(out, "%s\r\n", *h);
	if (opt.keyed)
		g_string_append_printf(out,
				       "Daisyledge-Idempotent: no\r\n"
				       "Idempotency-Key: %s\r\n",
				       c->ending.key);
	g_string_append_printf(out,
			       "Daisyledge-Attempt-Id: %s-%d\r\n"
			       "Daisyledge-Deadline-Ms: %d\r\n"
			       "Content-Length: %zu\r\n\r\n%s",
			       c->ending.key, c->tries, opt.deadline_ms,
			       body->len, body->str);
	g_string_free(name, TRUE);
	g_string_free(body, TRUE);
	return out;
}

static void start(struct cell *c, uint64_t to)
{
	struct sockaddr_in sin = { .sin_family = AF_INET };
	GString *request;

	c->tries++;
	c->begun_at = now_ms();
	c->reset = false;
	g_string_truncate(c->in, 0);
	c->fd = socket(AF_INET, SOCK_STREAM, 0);
	sin.sin_port = htons((uint16_t)(to & 0xffff));
	sin.sin_addr.s_addr = htonl((uint32_t)(to >> 16));
	request = request_of(c);
	if (connect(c->fd, (const struct sockaddr *)&sin, sizeof(sin)) ||
	    write(c->fd, request->str, request->len) != (ssize_t)request->len)
		c->reset = true;
	g_string_free(request, TRUE);
	fcntl(c->fd, F_SETFL, O_NONBLOCK);
}

/* Finds a header in the head of a response; NULL if absent. */
static char *head_value(const struct cell *c, const char *name)
{
	const char *end = strstr(c->in->str, "\r\n\r\n");
	struct dl_str head = { c->in->str,
			       end ? (size_t)(end - c->in->str) : 0 };
	struct dl_str v = fake_head_find(head, name);

	return v.n ? g_strndup(v.s, v.n) : NULL;
}

/* Appends the data of chunks; false if the last one is missing. */
static bool decode_chunks(const char *at, const char *end, GString *out)
{
	for (;;) {
		char *line_end;
		size_t n = strtoul(at, &line_end, 16);

		if (line_end == at || end - line_end < 2)
			return false;
		at = line_end + 2;
		if (n == 0)
			return end - at >= 2;
		if ((size_t)(end - at) < n) {
			g_string_append_len(out, at, end - at);
			return false;
		}
		g_string_append_len(out, at, (gssize)n);
		at += n + 2;
		if (at > end)
			return false;
	}
}

/*
 * Decodes what has come into the body; ended: the connection has.  Without a
 * length or chunks only that ends a response.
 */
static enum seen decode(const struct cell *c, bool ended, GString *body)
{
	const char *head_end = strstr(c->in->str, "\r\n\r\n");
	const char *end = c->in->str + c->in->len, *at;
	char *length, *coding;
	bool is_whole;

	g_string_truncate(body, 0);
	if (!head_end)
		return ended ? SEEN_BROKEN : SEEN_NOTHING;
	at = head_end + 4;
	length = head_value(c, "content-length");
	coding = head_value(c, "transfer-encoding");
	if (coding) {
		is_whole = decode_chunks(at, end, body);
	} else if (length) {
		size_t n = strtoul(length, NULL, 10);

		is_whole = (size_t)(end - at) >= n;
		g_string_append_len(body, at, MIN((gssize)n, end - at));
	} else {
		is_whole = ended && !c->reset;
		g_string_append_len(body, at, end - at);
	}
	g_free(length);
	g_free(coding);
	if (is_whole)
		return SEEN_WHOLE;
	return ended ? SEEN_BROKEN : SEEN_NOTHING;
}

static int status_of(const struct cell *c)
{
	int status = 0;

	return sscanf(c->in->str, "HTTP/1.%*d %d", &status) == 1 ? status : 0;
}

/* Whether no receiver of the endpoint's response can tell that it is short. */
static bool cannot_be_told(const struct cell *c)
{
	const struct fake_ending *e = &c->ending;

	if (e->framing != FAKE_FRAMED_BY_CLOSE ||
	    (e->how != FAKE_HOW_CLOSE && e->how != FAKE_HOW_CRASH &&
	     e->how != FAKE_HOW_AGAIN) ||
	    fake_stop_is_in_head(e->stop))
		return false;
	/* A stream of the native API has a last event that says so. */
	if (kind == KIND_MODEL)
		return false;
	return kind == KIND_PLAIN || e->stop == FAKE_STOP_BETWEEN;
}

static bool is_success(const struct cell *c)
{
	return status_of(c) >= 200 && status_of(c) < 300;
}

static bool is_whole_body(const struct cell *c, const GString *body)
{
	GString *whole_body;
	bool same;

	if (kind == KIND_MODEL)
		return strstr(body->str, "\"e1\"") &&
		       strstr(body->str, "\"e2\"") &&
		       strstr(body->str, "\"e3\"") &&
		       strstr(body->str, "data: [DONE]\n\n");
	whole_body = g_string_new(NULL);
	fake_ending_events(&c->ending, fake_ending_numbered, "", 1,
			   FAKE_ENDING_EVENTS, whole_body);
	same = g_string_equal(whole_body, body);
	g_string_free(whole_body, TRUE);
	return same;
}

static void print_cell(const struct cell *c, const char *what,
		       const GString *body)
{
	GString *name = g_string_new(NULL);
	char *text = g_strescape(body->str, NULL);

	fake_ending_format(&c->ending, name);
	printf("%s: %s HTTP %s %s: status %d, %zu bytes%s \"%s\"\n", what,
	       kind_names[kind], versions[c->version].name, name->str,
	       status_of(c), body->len, c->reset ? ", reset" : "", text);
	g_free(text);
	g_string_free(name, TRUE);
}

/* Whether a caller has got a success that looks whole and is not. */
static bool is_short(const struct cell *c, enum seen seen, bool full)
{
	return seen == SEEN_WHOLE && is_success(c) && !full &&
	       !cannot_be_told(c);
}

/* Judges what a caller has got that sent a request again with its key. */
static void judge_again(struct cell *c, enum seen seen, const GString *body)
{
	bool full = seen == SEEN_WHOLE && status_of(c) == 200 &&
		    is_whole_body(c, body);

	c->done = true;
	if (seen != SEEN_TIMEOUT && !is_short(c, seen, full))
		return;
	violations++;
	print_cell(c,
		   seen == SEEN_TIMEOUT ? "HANGS, SENT AGAIN" :
					  "COMPLETE AND SHORT, SENT AGAIN",
		   body);
}

/* Judges what a caller has got at the end. */
static void judge(struct cell *c, enum seen seen, const GString *body)
{
	bool refused = seen == SEEN_WHOLE &&
		       (status_of(c) == 503 || status_of(c) == 429);
	bool full = seen == SEEN_WHOLE && status_of(c) == 200 &&
		    is_whole_body(c, body);
	const char *fault = NULL;

	if (refused && !was_begun(c) && c->tries < TRIES_MAX) {
		c->not_before = now_ms() + RETRY_MS;
		return;
	}
	c->done = true;
	if (!was_begun(c)) {
		unexercised++;
		print_cell(c, "NOT RUN", body);
		return;
	}
	if (seen == SEEN_TIMEOUT)
		fault = "HANGS";
	else if (is_short(c, seen, full))
		fault = "COMPLETE AND SHORT";
	else if (refused)
		fault = "RAN, AND IS SAID NOT TO HAVE";
	else if (c->ending.how == FAKE_HOW_WHOLE && !full)
		fault = "WHOLE, YET NOT DELIVERED";
	if (fault) {
		violations++;
		print_cell(c, fault, body);
		return;
	}
	if (!full)
		broken_off++;
	else if (c->ending.how != FAKE_HOW_WHOLE)
		gone_on++;
	else
		whole++;
	if (opt.verbose)
		print_cell(c, full ? "whole" : "broken off", body);
}

static void end_cell(struct cell *c, enum seen seen, const GString *body)
{
	close(c->fd);
	c->fd = -1;
	if (c->again) {
		judge_again(c, seen, body);
		return;
	}
	judge(c, seen, body);
	if (c->done && opt.keyed) {
		c->again = true;
		c->done = false;
	}
}

/* Reads what has come; ends the cell where the response has ended. */
static void read_cell(struct cell *c, GString *body)
{
	char buf[8192];
	bool ended = c->reset;
	enum seen seen;
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
	seen = decode(c, ended, body);
	if (!c->heard && body->len && status_of(c) == 200)
		note_heard(c);
	if (seen == SEEN_NOTHING && now_ms() - c->begun_at > opt.timeout_ms)
		seen = SEEN_TIMEOUT;
	if (seen != SEEN_NOTHING)
		end_cell(c, seen, body);
}

/* Starts cells as far as allowed; returns how many are not done. */
static int start_cells(uint64_t to)
{
	int open = 0, left = 0;

	for (int i = 0; i < cells_count; i++)
		open += cells[i].fd >= 0;
	for (int i = 0; i < cells_count; i++) {
		struct cell *c = &cells[i];

		left += !c->done;
		if (c->done || c->fd >= 0 || open >= opt.at_once ||
		    now_ms() < c->not_before)
			continue;
		start(c, to);
		open++;
	}
	return left;
}

static void wait_for_bytes(void)
{
	struct pollfd fds[CELLS_MAX];
	nfds_t n = 0;

	for (int i = 0; i < cells_count; i++) {
		if (cells[i].fd >= 0)
			fds[n++] = (struct pollfd){ .fd = cells[i].fd,
						    .events = POLLIN };
	}
	poll(fds, n, POLL_MS);
}

int main(int argc, char **argv)
{
	GOptionContext *ctx = g_option_context_new(NULL);
	GString *body = g_string_new(NULL);
	uint64_t to;

	fake_ignore_sigpipe();
	g_option_context_add_main_entries(ctx, options, NULL);
	if (!g_option_context_parse(ctx, &argc, &argv, NULL) || !opt.to ||
	    !opt.path || !opt.how || !opt.folder ||
	    !dl_vm_parse(dl_str_of(opt.to), &to)) {
		fprintf(stderr, "ending: invalid options; see --help\n");
		return 2;
	}
	g_option_context_free(ctx);
	while (kind < KINDS - 1 && !g_str_equal(kind_names[kind], opt.kind))
		kind++;
	list_cells();
	while (start_cells(to)) {
		wait_for_bytes();
		for (int i = 0; i < cells_count; i++) {
			if (cells[i].fd >= 0)
				read_cell(&cells[i], body);
		}
	}
	printf("%s %s (%s): %d cells: %d whole, %d gone on, %d broken off, "
	       "%d violations, %d not run\n",
	       opt.path, opt.kind, opt.how, cells_count, whole, gone_on,
	       broken_off, violations, unexercised);
	g_string_free(body, TRUE);
	return violations || unexercised || !cells_count;
}
