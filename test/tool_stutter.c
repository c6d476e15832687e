/*
 * Emulated endpoint that keeps its connections and sends more than one answer
 * to a request, or part of one, as the path of the request says.  It writes
 * its bytes itself, as no HTTP server keeps a connection after such bytes.
 *
 * A path ends in /KIND/FRAMING/WHEN: the fault (see kinds), what frames the
 * answer (length or chunks), and when the other bytes are sent: now, together
 * with the answer; late, some ms after it; next, as the next request has
 * arrived on the connection, together with its answer; or apart, likewise, and
 * that answer some ms later.
 */
#include <arpa/inet.h>
#include <fcntl.h>
#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <uv.h>

#include "fake/heartbeat.h"
#include "fake/http.h"
#include "fake/own_answer.h"

#define LATE_MS	     5
#define KEEP_ALIVE_S 5
#define PATH_PARTS   4 /* from the end: before KIND, KIND, FRAMING, WHEN */
#define REQUEST_MAX  (1 << 20)

/* Places at which an answer is cut; in a body without chunks some are one. */
enum cut {
	CUT_NONE,
	CUT_LINE,    /* in the status line */
	CUT_EOL,     /* after the status line */
	CUT_FIRST,   /* in the value of the first header */
	CUT_ID,	     /* in the value of the attempt id */
	CUT_VALUE,   /* in the value of a header after id and stamp */
	CUT_BLANK,   /* after the blank line */
	CUT_BODY,    /* in the body; in a chunk */
	CUT_SIZE,    /* after the size of a chunk */
	CUT_BETWEEN, /* between two chunks */
	CUTS,
};

enum fault {
	FAULT_NONE,
	FAULT_COPY,  /* the last answer again */
	FAULT_STOP,  /* the answer stops, and a whole one follows */
	FAULT_CLOSE, /* two answers, of which only the close ends the first */
	FAULT_IDS,   /* more than one attempt id in a head */
	FAULT_HEAD,  /* a head that is none of HTTP */
	FAULT_EARLY, /* half an answer to the head of a request; a reset later
		      */
};

/* Where the chunk in which an answer is cut ends in the second answer. */
enum fit {
	FIT_NONE,
	FIT_CHUNK, /* before the end of a line, as a chunk has to */
	FIT_SIZE,  /* two digits before the rest of a chunk's size */
};

struct kind {
	const char *name;
	enum fault fault;
	enum cut cut;
	bool no_id; /* of the copy */
	bool fails; /* the whole answer is a 500 */
	enum fit fit;
	const char *ids;    /* o: own, x: another, in their order */
	const char *line;   /* in place of "HTTP/1.1 200 OK" */
	const char *field;  /* the first one of the head */
	const char *coding; /* in place of "chunked" */
};

#define COPY(at)    .fault = FAULT_COPY, .cut = (at)
#define STOP(at)    .fault = FAULT_STOP, .cut = (at)
#define LINE(text)  .fault = FAULT_HEAD, .line = (text)
#define FIELD(text) .fault = FAULT_HEAD, .field = (text)
static const struct kind kinds[] = {
	{ .name = "none" },
	{ .name = "copy", COPY(CUT_NONE) },
	{ .name = "copy-no-id", COPY(CUT_NONE), .no_id = true },
	{ .name = "copy-cut-line", COPY(CUT_LINE) },
	{ .name = "copy-cut-eol", COPY(CUT_EOL) },
	{ .name = "copy-cut-first", COPY(CUT_FIRST) },
	{ .name = "copy-cut-first-500", COPY(CUT_FIRST), .fails = true },
	{ .name = "copy-cut-id", COPY(CUT_ID) },
	{ .name = "copy-cut-value", COPY(CUT_VALUE) },
	{ .name = "copy-cut-blank", COPY(CUT_BLANK) },
	{ .name = "copy-cut-body", COPY(CUT_BODY) },
	{ .name = "stop-line", STOP(CUT_LINE) },
	{ .name = "stop-eol", STOP(CUT_EOL) },
	{ .name = "stop-first", STOP(CUT_FIRST) },
	{ .name = "stop-id", STOP(CUT_ID) },
	{ .name = "stop-value", STOP(CUT_VALUE) },
	{ .name = "stop-value-500", STOP(CUT_VALUE), .fails = true },
	{ .name = "stop-blank", STOP(CUT_BLANK) },
	{ .name = "stop-body", STOP(CUT_BODY) },
	{ .name = "stop-size", STOP(CUT_SIZE) },
	{ .name = "stop-between", STOP(CUT_BETWEEN) },
	{ .name = "stop-fits", STOP(CUT_BODY), .fit = FIT_CHUNK },
	{ .name = "stop-skips", STOP(CUT_BODY), .fit = FIT_SIZE },
	{ .name = "close-twice", .fault = FAULT_CLOSE },
	{ .name = "id-twice", .fault = FAULT_IDS, .ids = "oo" },
	{ .name = "id-other-first", .fault = FAULT_IDS, .ids = "xo" },
	{ .name = "id-other-last", .fault = FAULT_IDS, .ids = "ox" },
	{ .name = "early", .fault = FAULT_EARLY },
	{ .name = "status-000", LINE("HTTP/1.1 000 Trouble") },
	{ .name = "status-600", LINE("HTTP/1.1 600 Trouble") },
	{ .name = "status-999", LINE("HTTP/1.1 999 Trouble") },
	{ .name = "status-none", LINE("HTTP/1.1 Trouble") },
	{ .name = "version-9", LINE("HTTP/9.9 200 OK") },
	{ .name = "name-blank", FIELD("X Name: a") },
	{ .name = "name-control", FIELD("X-\001Name: a") },
	{ .name = "name-begins-blank", FIELD(" X-Name: a") },
	{ .name = "name-ends-blank", FIELD("X-Name : a") },
	{ .name = "name-none", FIELD(": a") },
	{ .name = "value-control", FIELD("X-Name: a\001") },
	{ .name = "coding", .fault = FAULT_HEAD, .coding = "gzip, chunked" },
};

enum framing {
	FRAMED_LENGTH,
	FRAMED_CHUNKS,
	FRAMED_CLOSE,
};

enum when {
	WHEN_NOW,
	WHEN_LATE,
	WHEN_NEXT,
	WHEN_APART,
};

/* A request, as far as answers depend on it. */
struct request {
	const struct kind *kind;
	enum framing framing;
	enum when when;
	char *id, *path;
	int after; /* the event that the caller has */
	bool stream, close;
};

struct answer {
	GString *bytes;
	size_t head;	  /* length of the head */
	size_t cut[CUTS]; /* where it is cut */
};

struct conn {
	uv_tcp_t tcp;
	uv_timer_t late;
	GString *in;
	GString *later;	    /* to be sent by the timer */
	struct answer last; /* the last answer, and the same without an id */
	struct answer last_no_id;
	bool close_then, closing;
	bool early;	 /* the answer is sent, the request still read */
	uint64_t unread; /* bytes of it until the reset */
	int handles;
};

struct sending {
	uv_write_t req;
	GString *bytes;
	struct conn *then_close;
};

static struct {
	char *listen, *control, *service, *instance, *zone, *record, *faults;
	int slots;
	gboolean sound, stream;
} opt = { .zone = "z", .slots = 16 };

static const GOptionEntry options[] = {
	{ "listen", 0, 0, G_OPTION_ARG_STRING, &opt.listen,
	  "address to listen on", "A" },
	{ "control", 0, 0, G_OPTION_ARG_STRING, &opt.control,
	  "replica addresses", "A,B" },
	{ "service", 0, 0, G_OPTION_ARG_STRING, &opt.service, "service name",
	  "S" },
	{ "instance", 0, 0, G_OPTION_ARG_STRING, &opt.instance, "instance id",
	  "I" },
	{ "zone", 0, 0, G_OPTION_ARG_STRING, &opt.zone, "zone", "Z" },
	{ "record", 0, 0, G_OPTION_ARG_FILENAME, &opt.record,
	  "append instance, attempt and path of each execution to", "F" },
	{ "faults", 0, 0, G_OPTION_ARG_FILENAME, &opt.faults,
	  "append the attempt and the kind of each fault to", "F" },
	{ "slots", 0, 0, G_OPTION_ARG_INT, &opt.slots,
	  "concurrent requests to announce", "N" },
	{ "stream", 0, 0, G_OPTION_ARG_NONE, &opt.stream, "answer with events",
	  NULL },
	{ "sound", 0, 0, G_OPTION_ARG_NONE, &opt.sound,
	  "answer each request once, whatever its path says", NULL },
	{ NULL },
};

static uv_loop_t *loop;
static int record_fd = -1, faults_fd = -1;
static unsigned runs;
static bool leaving;
static int64_t began_ms;

static void append_line(int fd, const char *format, ...) G_GNUC_PRINTF(2, 3);
static void append_line(int fd, const char *format, ...)
{
	va_list args;
	char *line;
	ssize_t n;

	va_start(args, format);
	line = g_strdup_vprintf(format, args);
	va_end(args);
	n = (ssize_t)strlen(line);
	if (fd >= 0 && write(fd, line, (size_t)n) != n)
		perror("stutter: record");
	g_free(line);
}

static void note_fault(const char *id, const struct kind *kind)
{
	append_line(faults_fd, "%s %s\n", id, kind->name);
}

/* Ends the line of a header's value; the middle of the value is a cut. */
static void append_header(struct answer *a, enum cut cut, const char *name,
			  const char *value)
{
	g_string_append_printf(a->bytes, "%s: ", name);
	a->cut[cut] = a->bytes->len + strlen(value) / 2;
	g_string_append_printf(a->bytes, "%s\r\n", value);
}

static void append_ids(struct answer *a, const struct request *r,
		       const char *ids)
{
	for (; *ids; ids++)
		append_header(a, CUT_ID, "Daisyledge-Attempt-Id",
			      *ids == 'o' ? r->id : "another");
}

/* Appends a piece of a body, as a chunk if the answer has chunks. */
static void append_piece(struct answer *a, enum framing framing, int n,
			 const GString *piece)
{
	if (n == 1)
		a->cut[CUT_BETWEEN] = a->bytes->len;
	if (framing == FRAMED_CHUNKS)
		g_string_append_printf(a->bytes, "%04zx\r\n", piece->len);
	if (n == 1)
		a->cut[CUT_SIZE] = a->bytes->len;
	if (n == 1)
		a->cut[CUT_BODY] = a->bytes->len + piece->len / 2;
	g_string_append_len(a->bytes, piece->str, (gssize)piece->len);
	if (framing == FRAMED_CHUNKS)
		g_string_append(a->bytes, "\r\n");
}

/* Returns the pieces of a run's body: lines, or events after the last one. */
static GPtrArray *pieces_of(const struct request *r, int status,
			    const char *stamp)
{
	GPtrArray *pieces = g_ptr_array_new();
	GString *piece;

	if (r->stream && status == 200) {
		for (int n = r->after + 1; n <= FAKE_OWN_EVENTS; n++) {
			piece = g_string_new(NULL);
			fake_own_event(r->id, stamp, n, piece);
			g_ptr_array_add(pieces, piece);
		}
		return pieces;
	}
	for (int n = 0;; n++) {
		piece = g_string_new(NULL);
		if (!fake_own_line(status, r->id, stamp, n, piece)) {
			g_string_free(piece, TRUE);
			return pieces;
		}
		g_ptr_array_add(pieces, piece);
	}
}

static void append_framing(struct answer *a, enum framing framing,
			   const char *coding, const GPtrArray *pieces)
{
	size_t length = 0;

	for (guint i = 0; i < pieces->len; i++)
		length += ((GString *)pieces->pdata[i])->len;
	if (framing == FRAMED_LENGTH)
		g_string_append_printf(a->bytes, "Content-Length: %zu\r\n\r\n",
				       length);
	else if (framing == FRAMED_CHUNKS)
		g_string_append_printf(a->bytes,
				       "Transfer-Encoding: %s\r\n\r\n",
				       coding ? coding : "chunked");
	else
		g_string_append(a->bytes, "\r\n");
}

/* Makes the whole answer of a run; ids: see struct kind. */
static struct answer make_answer(const struct request *r, enum framing framing,
				 int status, const char *stamp, const char *ids)
{
	struct answer a = { .bytes = g_string_new(NULL) };
	GPtrArray *pieces = pieces_of(r, status, stamp);

	if (r->kind->line)
		g_string_append_printf(a.bytes, "%s\r\n", r->kind->line);
	else
		g_string_append_printf(a.bytes, "HTTP/1.1 %d %s\r\n", status,
				       status == 200 ? "OK" : "Error");
	a.cut[CUT_LINE] = strlen("HTTP/1.1 2");
	a.cut[CUT_EOL] = a.bytes->len;
	if (r->kind->field)
		g_string_append_printf(a.bytes, "%s\r\n", r->kind->field);
	append_header(&a, CUT_FIRST, "X-Machine", opt.instance);
	append_ids(&a, r, ids);
	append_header(&a, CUT_NONE, "Daisyledge-Response-Stamp", stamp);
	append_header(&a, CUT_VALUE, "Content-Type",
		      r->stream && status == 200 ? "text/event-stream" :
						   "text/plain");
	if (r->close || framing == FRAMED_CLOSE)
		g_string_append(a.bytes, "Connection: close\r\n");
	else
		g_string_append_printf(a.bytes, "Keep-Alive: timeout=%d\r\n",
				       KEEP_ALIVE_S);
	append_framing(&a, framing, r->kind->coding, pieces);
	a.cut[CUT_BLANK] = a.head = a.bytes->len;
	for (guint i = 0; i < pieces->len; i++) {
		append_piece(&a, framing, (int)i, pieces->pdata[i]);
		g_string_free(pieces->pdata[i], TRUE);
	}
	if (framing == FRAMED_CHUNKS)
		g_string_append(a.bytes, "0\r\n\r\n");
	g_ptr_array_free(pieces, TRUE);
	return a;
}

static void free_answer(struct answer *a)
{
	if (a->bytes)
		g_string_free(a->bytes, TRUE);
	a->bytes = NULL;
}

static int status_of(const struct kind *kind)
{
	return kind->fails ? 500 : 200;
}

/* Returns the stamp of a new run, which ends with where it goes on. */
static char *next_stamp(const struct request *r)
{
	return g_strdup_printf("%s.%" G_GINT64_FORMAT ".%u.%d", opt.instance,
			       began_ms, ++runs, r->after);
}

static void on_closed(uv_handle_t *handle)
{
	struct conn *c = handle->data;

	if (--c->handles)
		return;
	g_string_free(c->in, TRUE);
	if (c->later)
		g_string_free(c->later, TRUE);
	free_answer(&c->last);
	free_answer(&c->last_no_id);
	g_free(c);
}

static void close_conn(struct conn *c)
{
	if (c->closing)
		return;
	c->closing = true;
	uv_close((uv_handle_t *)&c->tcp, on_closed);
	uv_close((uv_handle_t *)&c->late, on_closed);
}

static void on_sent(uv_write_t *req, int status)
{
	struct sending *s = (struct sending *)req;

	if (s->then_close)
		close_conn(s->then_close);
	g_string_free(s->bytes, TRUE);
	g_free(s);
}

/* Sends bytes, which are freed, and then closes the connection if asked to. */
static void send_bytes(struct conn *c, GString *bytes, bool then_close)
{
	struct sending *s = g_new0(struct sending, 1);
	uv_buf_t buf = uv_buf_init(bytes->str, (unsigned)bytes->len);

	s->bytes = bytes;
	s->then_close = then_close ? c : NULL;
	if (!uv_write(&s->req, (uv_stream_t *)&c->tcp, &buf, 1, on_sent))
		return;
	g_string_free(bytes, TRUE);
	g_free(s);
	close_conn(c);
}

static void on_late(uv_timer_t *timer)
{
	struct conn *c = timer->data;
	GString *bytes = c->later;

	c->later = NULL;
	send_bytes(c, bytes, c->close_then);
}

/* Sends what a fault consists of, in one piece or with a pause. */
static void send_both(struct conn *c, const struct request *r, GString *first,
		      GString *second, bool then_close)
{
	note_fault(r->id, r->kind);
	if (r->when == WHEN_LATE || r->when == WHEN_APART) {
		if (c->later)
			g_string_free(c->later, TRUE);
		c->later = second;
		c->close_then = then_close;
		send_bytes(c, first, false);
		uv_timer_start(&c->late, on_late, LATE_MS, 0);
		return;
	}
	g_string_append_len(first, second->str, (gssize)second->len);
	g_string_free(second, TRUE);
	send_bytes(c, first, then_close);
}

static GString *copy_of(const struct answer *a, enum cut cut)
{
	return g_string_new_len(a->bytes->str, cut ? (gssize)a->cut[cut] :
						     (gssize)a->bytes->len);
}

/* Keeps an answer, to be sent once more on this connection. */
static void keep_answer(struct conn *c, const struct request *r,
			enum framing framing, const char *stamp)
{
	free_answer(&c->last);
	free_answer(&c->last_no_id);
	c->last = make_answer(r, framing, 200, stamp, "o");
	c->last_no_id = make_answer(r, framing, 200, stamp, "");
}

static GString *last_answer(const struct conn *c, const struct kind *kind)
{
	return copy_of(kind->no_id ? &c->last_no_id : &c->last, kind->cut);
}

/* Lets the chunk in which an answer is cut end at the end of another head. */
static void fit_chunk(struct answer *a, const struct answer *second,
		      enum fit fit)
{
	size_t sent = a->cut[CUT_BODY] - a->cut[CUT_SIZE];
	size_t blank = fit == FIT_CHUNK ? strlen("\r\n") : 0;
	char size[16];
	int n = snprintf(size, sizeof(size), "%04zx",
			 sent + second->head - blank);

	memcpy(a->bytes->str + a->cut[CUT_BETWEEN], size, (size_t)n);
}

/* Stops an answer and lets a whole one of a second run follow. */
static void answer_twice(struct conn *c, const struct request *r,
			 const char *stamp)
{
	const struct kind *kind = r->kind;
	bool by_close = kind->fault == FAULT_CLOSE;
	char *second_stamp = next_stamp(r);
	struct answer first = make_answer(
		r, by_close ? FRAMED_CLOSE : r->framing, 200, stamp, "o");
	struct answer second =
		make_answer(r, r->framing, status_of(kind), second_stamp, "o");

	if (kind->fit)
		fit_chunk(&first, &second, kind->fit);
	send_both(c, r, copy_of(&first, kind->cut), copy_of(&second, CUT_NONE),
		  r->close || by_close);
	free_answer(&first);
	free_answer(&second);
	g_free(second_stamp);
}

/* Answers once, and sends a copy of this answer or of the one before. */
static void answer_and_copy(struct conn *c, const struct request *r,
			    const char *stamp)
{
	const struct kind *kind = r->kind;
	bool at_next = r->when == WHEN_NEXT || r->when == WHEN_APART;
	struct answer own = make_answer(r, r->framing, status_of(kind), stamp,
					kind->ids ? kind->ids : "o");
	GString *bytes = copy_of(&own, CUT_NONE), *before = NULL;

	free_answer(&own);
	if (kind->fault == FAULT_COPY && at_next && c->last.bytes)
		before = last_answer(c, kind);
	keep_answer(c, r, r->framing, stamp);
	if (before) {
		send_both(c, r, before, bytes, r->close);
	} else if (kind->fault == FAULT_COPY && !at_next) {
		send_both(c, r, bytes, last_answer(c, kind), r->close);
	} else {
		if (kind->fault == FAULT_IDS || kind->fault == FAULT_HEAD)
			note_fault(r->id, kind);
		send_bytes(c, bytes, r->close);
	}
}

static void send_plain(struct conn *c, const char *status, const char *body,
		       bool then_close)
{
	GString *bytes = g_string_new(NULL);

	g_string_printf(bytes,
			"HTTP/1.1 %s\r\nContent-Type: application/json\r\n"
			"Content-Length: %zu\r\n\r\n%s",
			status, strlen(body), body);
	send_bytes(c, bytes, then_close);
}

static void answer(struct conn *c, const struct request *r)
{
	char *stamp;

	if (g_str_has_prefix(r->path, "/-/")) {
		send_plain(c, "404 Not Found", "{}", r->close);
		return;
	}
	append_line(record_fd, "%s %s %s\n", opt.instance, r->id, r->path);
	stamp = next_stamp(r);
	if (r->kind->fault == FAULT_STOP || r->kind->fault == FAULT_CLOSE)
		answer_twice(c, r, stamp);
	else
		answer_and_copy(c, r, stamp);
	g_free(stamp);
}

/* Reads the fault from the last parts of a path; a sound endpoint has none. */
static void read_fault(struct request *r)
{
	char **parts = g_strsplit(r->path, "/", -1);
	guint n = g_strv_length(parts);
	bool named = n >= PATH_PARTS;

	r->kind = &kinds[0];
	r->framing = FRAMED_LENGTH;
	r->when = WHEN_NOW;
	if (named && strcmp(parts[n - 2], "chunks") == 0)
		r->framing = FRAMED_CHUNKS;
	if (named && strcmp(parts[n - 1], "late") == 0)
		r->when = WHEN_LATE;
	if (named && strcmp(parts[n - 1], "next") == 0)
		r->when = WHEN_NEXT;
	if (named && strcmp(parts[n - 1], "apart") == 0)
		r->when = WHEN_APART;
	for (guint i = 0; named && !opt.sound && i < G_N_ELEMENTS(kinds); i++) {
		if (strcmp(parts[n - 3], kinds[i].name) == 0)
			r->kind = &kinds[i];
	}
	g_strfreev(parts);
}

static void read_request(struct dl_str head, struct request *r)
{
	struct dl_str id = fake_head_find(head, "daisyledge-attempt-id");
	struct dl_str connection = fake_head_find(head, "connection");
	struct dl_str last = fake_head_find(head, "last-event-id");
	const char *path = memchr(head.s, ' ', head.n);
	uint64_t after = 0;

	path = path ? path + 1 : "/";
	r->path = g_strndup(path, strcspn(path, " ?\r\n"));
	r->id = g_strndup(id.s, id.n);
	r->close = dl_str_eq(connection, DL_STR("close"));
	r->stream = opt.stream;
	dl_str_to_u64(last, &after);
	r->after = (int)MIN(after, FAKE_OWN_EVENTS);
	read_fault(r);
}

static void free_request(struct request *r)
{
	g_free(r->id);
	g_free(r->path);
}

static void reset_conn(struct conn *c)
{
	if (c->closing)
		return;
	c->closing = true;
	uv_tcp_close_reset(&c->tcp, on_closed);
	uv_close((uv_handle_t *)&c->late, on_closed);
}

/*
 * Answers the head of a request with half an answer that only the end of the
 * connection marks, and reads on to a random place of the body.
 */
static void answer_early(struct conn *c, const struct request *r,
			 uint64_t length)
{
	char *stamp = next_stamp(r);
	struct answer a = make_answer(r, FRAMED_CLOSE, 200, stamp, "o");

	append_line(record_fd, "%s %s %s\n", opt.instance, r->id, r->path);
	note_fault(r->id, r->kind);
	send_bytes(c, copy_of(&a, CUT_BODY), false);
	c->early = true;
	c->unread = (uint64_t)(g_random_double() * (double)length);
	free_answer(&a);
	g_free(stamp);
}

/* Answers the requests that have come; the entry sends a length with each. */
static void take_requests(struct conn *c)
{
	const char *end;

	while (!c->closing && (end = strstr(c->in->str, "\r\n\r\n"))) {
		struct dl_str head = { c->in->str,
				       (size_t)(end + 4 - c->in->str) };
		struct request r = { 0 };
		uint64_t length = 0;

		dl_str_to_u64(fake_head_find(head, "content-length"), &length);
		read_request(head, &r);
		if (r.kind->fault == FAULT_EARLY) {
			answer_early(c, &r, length);
			free_request(&r);
			return;
		}
		if (length > REQUEST_MAX ||
		    fake_head_find(head, "transfer-encoding").n) {
			fprintf(stderr, "stutter: a request with chunks\n");
			close_conn(c);
			free_request(&r);
			return;
		}
		if (c->in->len < head.n + length) {
			free_request(&r);
			return;
		}
		g_string_erase(c->in, 0, (gssize)(head.n + length));
		answer(c, &r);
		free_request(&r);
	}
}

static void on_alloc(uv_handle_t *handle, size_t size, uv_buf_t *buf)
{
	static char bytes[65536];

	*buf = uv_buf_init(bytes, sizeof(bytes));
}

static void on_read(uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
	struct conn *c = stream->data;

	if (n < 0) {
		close_conn(c);
		return;
	}
	if (c->early) {
		c->unread -= MIN(c->unread, (uint64_t)n);
		if (!c->unread)
			reset_conn(c);
		return;
	}
	g_string_append_len(c->in, buf->base, n);
	take_requests(c);
}

static void on_connection(uv_stream_t *server, int status)
{
	struct conn *c;

	if (status)
		return;
	c = g_new0(struct conn, 1);
	c->in = g_string_new(NULL);
	c->handles = 2;
	uv_tcp_init(loop, &c->tcp);
	uv_timer_init(loop, &c->late);
	c->tcp.data = c->late.data = c;
	if (uv_accept(server, (uv_stream_t *)&c->tcp)) {
		close_conn(c);
		return;
	}
	uv_tcp_nodelay(&c->tcp, 1);
	uv_read_start((uv_stream_t *)&c->tcp, on_alloc, on_read);
}

static int listen_at(uint64_t address, uv_tcp_t *tcp)
{
	struct sockaddr_in at = { .sin_family = AF_INET };

	at.sin_port = htons((uint16_t)(address & 0xffff));
	at.sin_addr.s_addr = htonl((uint32_t)(address >> 16));
	uv_tcp_init(loop, tcp);
	if (uv_tcp_bind(tcp, (const struct sockaddr *)&at, 0))
		return -1;
	return uv_listen((uv_stream_t *)tcp, 128, on_connection);
}

static int open_to_append(const char *file)
{
	return file ? open(file, O_WRONLY | O_APPEND | O_CREAT, 0600) : -1;
}

static void on_heartbeat(uv_timer_t *timer)
{
	if (!leaving)
		fake_heartbeat_send("ready");
}

/* Deregisters the endpoint, which serves on. */
static void on_sigusr1(uv_signal_t *handle, int signum)
{
	leaving = true;
	fake_heartbeat_deregister();
}

int main(int argc, char **argv)
{
	GOptionContext *ctx = g_option_context_new(NULL);
	uv_signal_t sigusr1;
	uv_timer_t heartbeat;
	uint64_t address;
	uv_tcp_t tcp;

	g_option_context_add_main_entries(ctx, options, NULL);
	if (!g_option_context_parse(ctx, &argc, &argv, NULL) || !opt.listen ||
	    !opt.control || !opt.service || !opt.instance ||
	    !dl_vm_parse(dl_str_of(opt.listen), &address)) {
		fprintf(stderr, "stutter: invalid options; see --help\n");
		return 2;
	}
	g_option_context_free(ctx);
	fake_ignore_sigpipe();
	began_ms = g_get_real_time() / 1000;
	loop = uv_default_loop();
	record_fd = open_to_append(opt.record);
	faults_fd = open_to_append(opt.faults);
	fake_heartbeat_init(
		loop, &(struct fake_heartbeat_conf){ .control = opt.control,
						     .service = opt.service,
						     .listen = opt.listen,
						     .instance = opt.instance,
						     .zone = opt.zone,
						     .slots = opt.slots });
	if (listen_at(address, &tcp)) {
		fprintf(stderr, "stutter: cannot listen\n");
		return 1;
	}
	uv_signal_init(loop, &sigusr1);
	uv_signal_start(&sigusr1, on_sigusr1, SIGUSR1);
	uv_timer_init(loop, &heartbeat);
	uv_timer_start(&heartbeat, on_heartbeat, 0, FAKE_HEARTBEAT_MS);
	return uv_run(loop, UV_RUN_DEFAULT);
}
