/*
 * Which bytes on a connection are the response to this request, on seeds: the
 * HTTP client against a server that draws the framing, the size and the writes
 * of each answer, and faults: copies of its last answer, answers that break
 * off, second answers, chunks whose size or end is wrong, bytes that are no
 * answer.  A call that ends as complete has the status, the headers and the
 * body of exactly one whole answer to its request.
 *
 *   DL_SEEDS=N    run N seeds
 *   DL_SEED=N     run this one seed, or as many from it on as DL_SEEDS says,
 *                 and print what was drawn on each connection
 *   DL_EXEMPT=0   what no receiver can know (see is_exempt()) fails as well
 */
#include <arpa/inet.h>
#include <check.h>
#include <glib.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include "fake/suite.h"
#include "transport/httpc.h"

#define ADDRESS	     suite_address(0x4303, 7103)
#define SEEDS	     35
#define CALLS	     30
#define OPEN_MAX     3
#define LATE_MAX_MS  8
#define IDLE_MS	     60
#define CHECK_MS     1
#define QUIET_CHECKS 10 /* without a byte, until a call is given up */
#define FIRST_LINE   20 /* bytes */
#define RUN_MAX_MS   20000
#define SHOWN_MAX    10 /* failures of a program that are printed */

enum framing {
	FRAMED_BY_LENGTH,
	FRAMED_BY_CHUNKS,
	FRAMED_BY_CLOSE,
	WITHOUT_BODY, /* by its status */
	FRAMINGS
};

static const char *const framing_names[FRAMINGS] = { "length", "chunks",
						     "close", "no body" };

/* All that the server wrote on one connection. */
struct stream {
	GString *written;
	GString *drawn; /* in words */
	bool ended_in_order;
};

/* An answer as the server made it: as it was meant, and its bytes. */
struct answer {
	uint32_t subject, status;
	enum framing framing;
	GString *fields, *body; /* as a caller is to see them */
	GString *bytes;
	size_t lines_at; /* where the fields begin */
	size_t head_n;	 /* of bytes, with the interim responses */
	bool other_head; /* bytes have a head that wasn't meant */
	bool other_body; /* the same of the body */
	bool cut;
};

/* Bytes that the server sends: an answer, whole or not, a copy, or others. */
struct sent {
	const struct answer *answer; /* NULL: bytes that are no answer */
	GString *bytes;
	size_t lines_at, head_n, whole_n; /* as they would be uncut */
	struct stream *stream;		  /* NULL: not sent yet */
	size_t at;			  /* in the stream */
};

/* What a connection does once the step before is done. */
enum step_end {
	STEP_GOES_ON,
	STEP_CLOSES,
	STEP_RESETS
};

struct step {
	uint32_t delay_ms;
	GString *bytes;
	struct sent *begins; /* whose first byte is the first one; or NULL */
	enum step_end end;
};

/* A connection at the server. */
struct peer {
	uv_tcp_t tcp; /* must be first */
	uv_timer_t steps_timer, late_timer;
	struct peer *next;
	struct stream *stream;
	GString *in;
	GQueue *steps;
	GRand *rand;	   /* of the last request */
	struct sent *late; /* is sent when the timer fires, after all steps */
	struct sent *on_next; /* is sent as the next request arrives */
	int handles;
	char buf[2048];
};

struct call {
	uint32_t subject; /* calls of one subject bear the same id */
	GRand *rand;	  /* of the server's draws */
	struct dl_httpc_call *http;
	uint32_t status, heads, ends, quiet;
	GString *fields, *body;
	bool pauses, paused, patient, headless;
};

struct count {
	uint32_t calls, complete, shown;
	uint32_t wrong;	   /* complete, but not with one answer to them */
	uint32_t unread;   /* sent on a connection with bytes on it */
	uint32_t headless; /* got a part of a body before a head */
	uint32_t exempt[FRAMINGS];
};

static uv_loop_t loop;
static uv_tcp_t listener;
static uv_timer_t checks;
static struct dl_httpc *client;
static struct peer *peers;
static GPtrArray *answers, *all_sent, *streams;
static GRand *run_rand;
static struct call calls[CALLS];
static uint32_t started, open_calls, want_open, seed;
static uint64_t next_start_at;
static struct count count;

static uint32_t draw(GRand *rand, uint32_t n)
{
	return (uint32_t)g_rand_int_range(rand, 0, (gint32)n);
}

static void free_string(GString *s)
{
	if (s)
		g_string_free(s, TRUE);
}

static void free_stream(void *arg)
{
	struct stream *stream = arg;

	free_string(stream->written);
	free_string(stream->drawn);
	free(stream);
}

static void free_answer(void *arg)
{
	struct answer *a = arg;

	free_string(a->fields);
	free_string(a->body);
	free_string(a->bytes);
	free(a);
}

static void free_sent(void *arg)
{
	struct sent *sent = arg;

	free_string(sent->bytes);
	free(sent);
}

/* Whether what is sent of an answer is what was meant. */
static bool is_whole(const struct answer *a)
{
	return !a->other_head && !a->other_body && !a->cut;
}

/* Draws bytes that look like parts of a response, among others. */
static GString *draw_body(GRand *rand)
{
	static const char *const texts[] = {
		"\r\n",
		"0\r\n\r\n",
		"5\r\nhello\r\n",
		"\r\n\r\n",
		"HTTP/1.1 200 OK\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
		"Content-Length: 7\r\n",
		"Transfer-Encoding: chunked\r\n",
	};
	GString *body = g_string_new(NULL);
	uint32_t pieces = draw(rand, 3) == 0 ? 0 : draw(rand, 14);

	while (pieces--) {
		uint32_t n = draw(rand, draw(rand, 8) == 0 ? 2000 : 80);

		if (draw(rand, 2) == 0) {
			g_string_append(body,
					texts[draw(rand, G_N_ELEMENTS(texts))]);
			continue;
		}
		if (draw(rand, 4) == 0) {
			g_string_append_printf(body, "%x\r\n", n);
			continue;
		}
		while (n--)
			g_string_append_c(body,
					  "0123456789abcdef"[draw(rand, 16)]);
	}
	return body;
}

/* Faults of one chunk. */
enum chunk_fault {
	CHUNK_SOUND,
	CHUNK_TOO_SMALL,
	CHUNK_TOO_LARGE,
	CHUNK_OTHER_END,
	CHUNK_NO_RETURN,
	CHUNK_NO_FEED,
	CHUNK_NO_END,
	CHUNK_HALF_END,
	CHUNK_FAULTS
};

/* Appends one chunk, with a fault if one is given. */
static void append_chunk(GString *out, GRand *rand, const char *data, size_t n,
			 enum chunk_fault fault)
{
	static const char *const ends[CHUNK_FAULTS] = {
		"\r\n", "\r\n", "\r\n", "ab", "a\n", "\ra", "", "\n",
	};
	size_t said = n;

	if (fault == CHUNK_TOO_SMALL)
		said -= 1 + draw(rand, (uint32_t)n);
	if (fault == CHUNK_TOO_LARGE)
		said += 1 + draw(rand, 40);
	g_string_append_printf(out, draw(rand, 4) == 0 ? "%zX\r\n" : "%zx\r\n",
			       said);
	g_string_append_len(out, data, (gssize)n);
	g_string_append(out, ends[fault]);
}

/* Appends a body in chunks; returns whether the fault could be made. */
static bool append_chunks(GString *out, GRand *rand, const GString *body,
			  enum chunk_fault fault)
{
	uint32_t faulty = draw(rand, 4);
	bool made = false;
	size_t at = 0;

	for (uint32_t i = 0; at < body->len; i++) {
		size_t left = body->len - at;
		size_t n = 1 + draw(rand, (uint32_t)MIN(left, 700));
		bool here = fault != CHUNK_SOUND && !made &&
			    (i == faulty || n == left);

		append_chunk(out, rand, body->str + at, n,
			     here ? fault : CHUNK_SOUND);
		made |= here;
		at += n;
	}
	g_string_append(out, draw(rand, 6) == 0 ? "0\r\nX-Sum: 1\r\n\r\n" :
						  "0\r\n\r\n");
	return made;
}

/* Faults of an answer that isn't cut. */
enum answer_fault {
	ANSWER_SOUND,
	ANSWER_CHUNK,	      /* one chunk has a fault */
	ANSWER_SAME_TWICE,    /* the length twice, the same */
	ANSWER_LENGTHS_DIFFER /* two lengths, or the coding twice */
};

/* Adds a field to what a caller is to see, and to the bytes. */
static void add_field(struct answer *a, const char *name, const char *value)
{
	g_string_append_printf(a->fields, "%s: %s\n", name, value);
	g_string_append_printf(a->bytes, "%s: %s\r\n", name, value);
}

/* Adds the field that frames the body, and a second one if drawn. */
static void add_framing(struct answer *a, GRand *rand, enum answer_fault *fault)
{
	char value[32];

	if (a->framing == FRAMED_BY_CHUNKS) {
		add_field(a, "Transfer-Encoding", "chunked");
		if (*fault != ANSWER_LENGTHS_DIFFER)
			return;
		g_string_append(a->bytes, "Transfer-Encoding: chunked\r\n");
		a->other_head = true;
		return;
	}
	if (a->framing == FRAMED_BY_CLOSE ||
	    (a->framing == WITHOUT_BODY && a->status == 204))
		return;
	snprintf(value, sizeof(value), "%zu", a->body->len);
	add_field(a, "Content-Length", value);
	/* Read as one, the same length twice does no harm. */
	if (*fault == ANSWER_SAME_TWICE)
		g_string_append_printf(a->bytes, "Content-Length: %s\r\n",
				       value);
	if (*fault != ANSWER_LENGTHS_DIFFER)
		return;
	g_string_append_printf(a->bytes, "Content-Length: %zu\r\n",
			       a->body->len + 1 + draw(rand, 20));
	a->other_head = true;
}

static void add_fields(struct answer *a, GRand *rand, bool with_id,
		       enum answer_fault *fault)
{
	static const char *const names[] = { "Content-Type", "X-Signature", "A",
					     "Date" };
	uint32_t id_at = draw(rand, 4), framing_at = draw(rand, 4);
	char value[32];

	for (uint32_t i = 0; i < 4; i++) {
		if (i == framing_at)
			add_framing(a, rand, fault);
		if (i == id_at && with_id) {
			snprintf(value, sizeof(value), "%04u", a->subject);
			add_field(a, "Id", value);
		}
		if (draw(rand, 2) == 0)
			continue;
		snprintf(value, sizeof(value), "v%08x", g_rand_int(rand));
		add_field(a, names[i], value);
	}
}

static void append_interim(GString *out, GRand *rand)
{
	if (draw(rand, 8) == 0)
		g_string_append(out, "HTTP/1.1 100 Continue\r\n\r\n");
	if (draw(rand, 8) == 0)
		g_string_append(out, "HTTP/1.1 103 Early Hints\r\n"
				     "Link: <a>\r\n\r\n");
}

/* Draws an answer and makes its bytes. */
static struct answer *draw_answer(GRand *rand, uint32_t subject,
				  enum answer_fault fault)
{
	static const char *const lines[] = {
		"200 OK",	   "200 OK",	   "201 Created",
		"404 Not Found",   "500 Internal", "204 No Content",
		"304 Not Modified"
	};
	const char *line = lines[draw(rand, draw(rand, 3) == 0 ? 7 : 2)];
	struct answer *a = calloc(1, sizeof(*a));

	g_ptr_array_add(answers, a);
	a->subject = subject;
	a->status = (uint32_t)atoi(line);
	a->framing = draw(rand, 8) == 0 ? FRAMED_BY_CLOSE :
					  (enum framing)draw(rand, 2);
	a->fields = g_string_new(NULL);
	a->bytes = g_string_new(NULL);
	a->body = draw_body(rand);
	if (a->status == 204 || a->status == 304)
		a->framing = WITHOUT_BODY;
	append_interim(a->bytes, rand);
	g_string_append_printf(a->bytes, "HTTP/1.1 %s\r\n", line);
	a->lines_at = a->bytes->len;
	add_fields(a, rand, draw(rand, 16) != 0, &fault);
	g_string_append(a->bytes, "\r\n");
	a->head_n = a->bytes->len;
	if (a->framing == WITHOUT_BODY) {
		g_string_truncate(a->body, 0);
	} else if (a->framing != FRAMED_BY_CHUNKS) {
		g_string_append_len(a->bytes, a->body->str,
				    (gssize)a->body->len);
	} else if (append_chunks(a->bytes, rand, a->body,
				 fault == ANSWER_CHUNK ?
					 1 + draw(rand, CHUNK_FAULTS - 1) :
					 CHUNK_SOUND))
		a->other_body = true;
	return a;
}

/* Notes bytes that are to be sent, which are of an answer, or NULL. */
static struct sent *sent_new(const struct answer *a, GString *bytes)
{
	struct sent *sent = calloc(1, sizeof(*sent));

	sent->answer = a;
	sent->bytes = bytes;
	sent->whole_n = bytes->len;
	if (a) {
		sent->lines_at = a->lines_at;
		sent->head_n = a->head_n;
	}
	g_ptr_array_add(all_sent, sent);
	return sent;
}

/* Returns the bytes of an answer. */
static struct sent *send_answer(const struct answer *a)
{
	return sent_new(a,
			g_string_new_len(a->bytes->str, (gssize)a->bytes->len));
}

/*
 * Draws where bytes are cut: a fourth of all cuts is in the first line or near
 * it, a fourth inside the end of a line.
 */
static size_t draw_cut(GRand *rand, const GString *bytes, size_t from,
		       size_t to)
{
	size_t n = from + draw(rand, (uint32_t)(to - from));
	const char *end;

	switch (draw(rand, 4)) {
	case 0:
		return from + draw(rand, (uint32_t)MIN(to - from, FIRST_LINE));
	case 1:
		break;
	default:
		return n;
	}
	end = memchr(bytes->str + n, '\r', to - n);
	return end && (size_t)(end + 1 - bytes->str) < to ?
		       (size_t)(end + 1 - bytes->str) :
		       n;
}

/* Returns the bytes of an answer once more, cut or not, with its id or not. */
static struct sent *draw_copy(struct peer *peer, const struct answer *a)
{
	struct sent *sent = send_answer(a);
	bool with_id = draw(peer->rand, 2) == 0;
	const char *id = strstr(sent->bytes->str, "Id: ");
	uint32_t cut = draw(peer->rand, 3);
	size_t line = strlen("Id: 0000\r\n");

	if (!with_id && id && (size_t)(id - sent->bytes->str) < a->head_n) {
		g_string_erase(sent->bytes, id - sent->bytes->str,
			       (gssize)line);
		sent->head_n -= line;
		sent->whole_n -= line;
	}
	if (cut == 1)
		g_string_truncate(sent->bytes, draw_cut(peer->rand, sent->bytes,
							0, sent->head_n));
	if (cut == 2 && sent->whole_n > sent->head_n)
		g_string_truncate(sent->bytes,
				  draw_cut(peer->rand, sent->bytes,
					   sent->head_n, sent->whole_n));
	g_string_append_printf(peer->stream->drawn,
			       "; copy %s id, %zu of %zu, head %zu",
			       with_id ? "with" : "without", sent->bytes->len,
			       sent->whole_n, sent->head_n);
	return sent;
}

/*
 * Draws bytes that are no answer, or an empty line.  They don't begin with a
 * line feed, which would make an answer whole that lacks only its last one.
 */
static struct sent *draw_garbage(GRand *rand)
{
	uint32_t n = 1 + draw(rand, 30);
	GString *out;

	if (draw(rand, 2) == 0)
		return sent_new(NULL, g_string_new("\r\n"));
	out = g_string_new(NULL);
	while (n--)
		g_string_append_c(out, (gchar)draw(rand, 256));
	if (out->str[0] == '\n')
		out->str[0] = '\r';
	return sent_new(NULL, out);
}

static void on_peer_closed(uv_handle_t *handle)
{
	struct peer *peer = handle->data;
	struct step *step;

	if (--peer->handles)
		return;
	while ((step = g_queue_pop_head(peer->steps))) {
		free_string(step->bytes);
		free(step);
	}
	g_queue_free(peer->steps);
	free_string(peer->in);
	free(peer);
}

/* Closes a connection, in order or by a reset. */
static void close_peer(struct peer *peer, bool reset)
{
	struct peer **at = &peers;

	if (uv_is_closing((uv_handle_t *)&peer->tcp))
		return;
	while (*at != peer)
		at = &(*at)->next;
	*at = peer->next;
	if (!reset || uv_tcp_close_reset(&peer->tcp, on_peer_closed))
		uv_close((uv_handle_t *)&peer->tcp, on_peer_closed);
	uv_close((uv_handle_t *)&peer->steps_timer, on_peer_closed);
	uv_close((uv_handle_t *)&peer->late_timer, on_peer_closed);
}

static void on_written(uv_write_t *req, int status)
{
	free_string(req->data);
	free(req);
}

/* Writes bytes, which become the request's. */
static void write_bytes(struct peer *peer, GString *bytes)
{
	uv_write_t *req = malloc(sizeof(*req));
	uv_buf_t buf = uv_buf_init(bytes->str, (unsigned)bytes->len);

	g_string_append_len(peer->stream->written, bytes->str,
			    (gssize)bytes->len);
	req->data = bytes;
	if (uv_write(req, (uv_stream_t *)&peer->tcp, &buf, 1, on_written))
		on_written(req, 0);
}

static void on_steps_timer(uv_timer_t *timer);

/* Has the next step done when it is due. */
static void arm_steps(struct peer *peer)
{
	const struct step *step = g_queue_peek_head(peer->steps);

	if (step && !uv_is_active((uv_handle_t *)&peer->steps_timer))
		uv_timer_start(&peer->steps_timer, on_steps_timer,
			       step->delay_ms, 0);
}

static void on_steps_timer(uv_timer_t *timer)
{
	struct peer *peer = timer->data;
	struct step *step = g_queue_pop_head(peer->steps);
	enum step_end end = step->end;

	if (step->begins) {
		step->begins->stream = peer->stream;
		step->begins->at = peer->stream->written->len;
	}
	if (step->bytes->len)
		write_bytes(peer, step->bytes);
	else
		free_string(step->bytes);
	free(step);
	if (end == STEP_CLOSES)
		peer->stream->ended_in_order = true;
	if (end != STEP_GOES_ON)
		close_peer(peer, end == STEP_RESETS);
	else
		arm_steps(peer);
}

static void push_step(struct peer *peer, GString *bytes, struct sent *begins,
		      enum step_end end)
{
	struct step *step = calloc(1, sizeof(*step));

	step->delay_ms = draw(peer->rand, 4) == 0;
	step->bytes = bytes;
	step->begins = begins;
	step->end = end;
	g_queue_push_tail(peer->steps, step);
	arm_steps(peer);
}

/* Has bytes written, in one write or several. */
static void push_bytes(struct peer *peer, struct sent *sent)
{
	uint32_t cuts = draw(peer->rand, 2) ? 0 : draw(peer->rand, 5);
	const GString *bytes = sent->bytes;
	struct sent *begins = sent;
	size_t at = 0, n;

	while (cuts-- && at < bytes->len) {
		n = 1 + draw(peer->rand, (uint32_t)(bytes->len - at));
		push_step(peer, g_string_new_len(bytes->str + at, (gssize)n),
			  begins, STEP_GOES_ON);
		begins = NULL;
		at += n;
	}
	n = bytes->len - at;
	push_step(peer, g_string_new_len(bytes->str + at, (gssize)n), begins,
		  STEP_GOES_ON);
}

static void push_end(struct peer *peer, enum step_end end)
{
	push_step(peer, g_string_new(NULL), NULL, end);
}

/* Has the first n bytes of an answer written. */
static void push_answer(struct peer *peer, const struct answer *a, size_t n)
{
	struct sent *sent = send_answer(a);

	g_string_truncate(sent->bytes, n);
	g_string_append_printf(peer->stream->drawn,
			       "; answer %04u %u by %s%s, %zu of %zu, "
			       "head %zu, body %zu",
			       a->subject, a->status, framing_names[a->framing],
			       is_whole(a) ? "" : " (broken)", n, a->bytes->len,
			       a->head_n, a->body->len);
	push_bytes(peer, sent);
}

static void on_late_timer(uv_timer_t *timer)
{
	struct peer *peer = timer->data;

	push_bytes(peer, peer->late);
	peer->late = NULL;
}

/* Has bytes sent at once, later, or as the next request arrives. */
static void push_after(struct peer *peer, struct sent *sent)
{
	switch (draw(peer->rand, 3)) {
	case 0:
		g_string_append(peer->stream->drawn, " at once");
		push_bytes(peer, sent);
		break;
	case 1:
		g_string_append(peer->stream->drawn, " later");
		peer->late = sent;
		uv_timer_start(&peer->late_timer, on_late_timer,
			       1 + draw(peer->rand, LATE_MAX_MS), 0);
		break;
	default:
		g_string_append(peer->stream->drawn, " on the next request");
		peer->on_next = sent;
		break;
	}
}

/* A second whole answer to the same request. */
static void push_second(struct peer *peer, uint32_t subject)
{
	struct answer *a = draw_answer(peer->rand, subject, ANSWER_SOUND);

	push_answer(peer, a, a->bytes->len);
	if (a->framing == FRAMED_BY_CLOSE)
		push_end(peer, STEP_CLOSES);
}

/* What follows an answer that is broken. */
static void push_broken_end(struct peer *peer, uint32_t subject)
{
	switch (draw(peer->rand, 8)) {
	case 0:
	case 1:
		push_end(peer, STEP_CLOSES);
		break;
	case 2:
		push_end(peer, STEP_RESETS);
		break;
	case 3: /* silent */
		break;
	case 4:
		push_bytes(peer, draw_garbage(peer->rand));
		push_end(peer, STEP_CLOSES);
		break;
	default:
		push_second(peer, subject);
		push_end(peer,
			 draw(peer->rand, 2) ? STEP_CLOSES : STEP_GOES_ON);
		break;
	}
}

/* What follows an answer that is whole. */
static void push_whole_end(struct peer *peer, struct answer *a)
{
	if (a->framing == FRAMED_BY_CLOSE) {
		push_end(peer, STEP_CLOSES);
		return;
	}
	switch (draw(peer->rand, 6)) {
	case 0:
	case 1:
		push_after(peer, draw_copy(peer, a));
		break;
	case 2:
		g_string_append(peer->stream->drawn, "; garbage");
		push_after(peer, draw_garbage(peer->rand));
		break;
	case 3:
		if (draw(peer->rand, 2))
			push_second(peer, a->subject);
		break;
	default:
		break;
	}
}

/* Answers a request: what was held back for it, and an answer of its own. */
static void answer_request(struct peer *peer, uint32_t subject)
{
	enum answer_fault fault = ANSWER_SOUND;
	struct answer *a;
	size_t n;

	if (peer->on_next)
		push_bytes(peer, peer->on_next);
	peer->on_next = NULL;
	if (draw(peer->rand, 16) == 0) {
		g_string_append(peer->stream->drawn, "; garbage before");
		push_bytes(peer, draw_garbage(peer->rand));
	}
	if (draw(peer->rand, 4) == 0)
		fault = draw(peer->rand, 5) < 3 ?
				ANSWER_CHUNK :
				1 + draw(peer->rand, ANSWER_LENGTHS_DIFFER);
	a = draw_answer(peer->rand, subject, fault);
	n = a->bytes->len;
	if (draw(peer->rand, 5) == 0) {
		a->cut = true;
		n = draw_cut(peer->rand, a->bytes, 0,
			     draw(peer->rand, 2) ? a->head_n : n);
	}
	push_answer(peer, a, n);
	if (is_whole(a))
		push_whole_end(peer, a);
	else
		push_broken_end(peer, subject);
}

static void on_alloc(uv_handle_t *handle, size_t n, uv_buf_t *buf)
{
	struct peer *peer = (struct peer *)handle;

	*buf = uv_buf_init(peer->buf, sizeof(peer->buf));
}

/* Requests have no body, and name their call in the path. */
static void on_read(uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
	struct peer *peer = (struct peer *)stream;
	const char *end;

	if (n < 0) {
		close_peer(peer, false);
		return;
	}
	g_string_append_len(peer->in, buf->base, n);
	while ((end = strstr(peer->in->str, "\r\n\r\n"))) {
		uint32_t i = (uint32_t)atoi(peer->in->str + strlen("GET /"));

		ck_assert_uint_lt(i, CALLS);
		g_string_erase(peer->in, 0, end + 4 - peer->in->str);
		peer->rand = calls[i].rand;
		g_string_append_printf(peer->stream->drawn, "\n    call %u", i);
		answer_request(peer, calls[i].subject);
	}
}

static void on_connection(uv_stream_t *from, int status)
{
	struct peer *peer = calloc(1, sizeof(*peer));
	struct stream *stream = calloc(1, sizeof(*stream));

	stream->written = g_string_new(NULL);
	stream->drawn = g_string_new(NULL);
	g_ptr_array_add(streams, stream);
	peer->stream = stream;
	peer->in = g_string_new(NULL);
	peer->steps = g_queue_new();
	peer->handles = 3;
	uv_tcp_init(&loop, &peer->tcp);
	uv_timer_init(&loop, &peer->steps_timer);
	uv_timer_init(&loop, &peer->late_timer);
	peer->tcp.data = peer;
	peer->steps_timer.data = peer;
	peer->late_timer.data = peer;
	peer->next = peers;
	peers = peer;
	ck_assert_int_eq(uv_accept(from, (uv_stream_t *)&peer->tcp), 0);
	uv_tcp_nodelay(&peer->tcp, 1);
	uv_read_start((uv_stream_t *)&peer->tcp, on_alloc, on_read);
}

/* Returns the length of a line with its end, which is CR LF; 0: none. */
static size_t line_length(const char *s, size_t n)
{
	const char *end = memmem(s, n, "\r\n", 2);

	return end ? (size_t)(end + 2 - s) : 0;
}

/* Whether a body in chunks ends with trailers, if any, and an empty line. */
static bool ends_with_trailers(const char *s, size_t n)
{
	for (;;) {
		size_t line = line_length(s, n);

		if (line <= 2)
			return line == 2;
		if (s[0] == ':' || !memchr(s, ':', line))
			return false;
		s += line;
		n -= line;
	}
}

/*
 * Reads a body in chunks to the letter of the standard; false if it isn't one,
 * or isn't whole.
 */
static bool read_chunks(const char *s, size_t n, GString *body)
{
	for (;;) {
		size_t line = line_length(s, n), digits = 0;
		uint64_t size = 0;

		while (digits < line && g_ascii_isxdigit(s[digits]) &&
		       size < UINT32_MAX)
			size = size * 16 +
			       (uint64_t)g_ascii_xdigit_value(s[digits++]);
		if (digits == 0 || digits + 2 != line)
			return false;
		s += line;
		n -= line;
		if (size == 0)
			return ends_with_trailers(s, n);
		if (size + 2 > n || memcmp(s + size, "\r\n", 2) != 0)
			return false;
		g_string_append_len(body, s, (gssize)size);
		s += size + 2;
		n -= size + 2;
	}
}

/* Whether a call got an answer's status and each of its headers once. */
static bool has_head_of(const struct call *call, const struct answer *a)
{
	return call->status == a->status &&
	       g_string_equal(call->fields, a->fields);
}

/* Reads a body to the letter of the standard; false if it isn't whole. */
static bool read_body(enum framing framing, size_t length, const char *s,
		      size_t n, bool ended_in_order, GString *body)
{
	switch (framing) {
	case WITHOUT_BODY:
		return true;
	case FRAMED_BY_CHUNKS:
		return read_chunks(s, n, body);
	case FRAMED_BY_LENGTH:
		g_string_append_len(body, s, (gssize)MIN(n, length));
		return n >= length;
	default:
		g_string_append_len(body, s, (gssize)n);
		return ended_in_order;
	}
}

/*
 * Returns the fields of a head that was cut after the end of a line; NULL if it
 * was cut elsewhere.
 */
static GString *read_cut_fields(const struct sent *sent)
{
	const GString *bytes = sent->bytes;
	GString *fields;

	if (bytes->len < sent->lines_at ||
	    memcmp(bytes->str + bytes->len - 2, "\r\n", 2) != 0)
		return NULL;
	fields = g_string_new(NULL);
	for (size_t i = sent->lines_at; i < bytes->len; i++) {
		if (bytes->str[i] != '\r')
			g_string_append_c(fields, bytes->str[i]);
	}
	return fields;
}

/* Whether a head that was cut is the one that a call got; *body_at is set. */
static bool is_cut_head_of(const struct call *call, const struct sent *sent,
			   size_t *body_at)
{
	const GString *written = sent->stream->written;
	size_t end = sent->at + sent->bytes->len;
	GString *fields = read_cut_fields(sent);
	bool same;

	if (!fields)
		return false;
	same = call->status == sent->answer->status &&
	       g_string_equal(call->fields, fields) &&
	       written->len >= end + 2 &&
	       memcmp(written->str + end, "\r\n", 2) == 0;
	g_string_free(fields, TRUE);
	*body_at = end + 2;
	return same;
}

/* Returns what frames the body behind fields as a caller sees them. */
static enum framing framing_of(const struct call *call)
{
	if (call->status == 204 || call->status == 304)
		return WITHOUT_BODY;
	if (strstr(call->fields->str, "Transfer-Encoding: "))
		return FRAMED_BY_CHUNKS;
	return strstr(call->fields->str, "Content-Length: ") ?
		       FRAMED_BY_LENGTH :
		       FRAMED_BY_CLOSE;
}

/*
 * Whether an answer that is cut, or broken in its body, read to the letter of
 * the standard together with all that follows on its connection, is a whole
 * response, and the one that the call got.  No receiver can tell it from a
 * sound one:
 *
 * - without a length, all is the body that comes before an orderly close;
 * - a length is filled up with what follows the place where the body stops;
 * - what follows a chunk, if it stops or its size is wrong, happens to go on
 *   with the end of a chunk just where one is due;
 * - a head that stops after the end of a line goes on with an empty line.
 *
 * No other head that is cut or has a field twice is exempt.
 */
static bool is_exempt(const struct call *call, const struct sent *sent)
{
	const struct answer *a = sent->answer;
	size_t body_at = sent->at + sent->head_n;
	GString *body;
	bool same;

	if (!a || !sent->stream || a->subject != call->subject ||
	    a->other_head ||
	    (sent->bytes->len == sent->whole_n && !a->other_body))
		return false;
	if (sent->bytes->len < sent->head_n) {
		if (!is_cut_head_of(call, sent, &body_at))
			return false;
	} else if (!has_head_of(call, a)) {
		return false;
	}
	body = g_string_new(NULL);
	same = read_body(framing_of(call), a->body->len,
			 sent->stream->written->str + body_at,
			 sent->stream->written->len - body_at,
			 sent->stream->ended_in_order, body) &&
	       g_string_equal(body, call->body);
	g_string_free(body, TRUE);
	return same;
}

/* Prints what a call got and what was drawn on all connections. */
static void show(const struct call *call, const char *what)
{
	if (count.shown++ >= SHOWN_MAX)
		return;
	printf("seed %u, call %td, id %04u: %s, status %u, heads %u, "
	       "carried %u, %zu bytes before, body of %zu\n  fields: %s",
	       seed, call - calls, call->subject, what, call->status,
	       call->heads, dl_httpc_conn_info(call->http).carried,
	       dl_httpc_conn_info(call->http).bytes_before, call->body->len,
	       call->fields->str);
	for (guint i = 0; i < streams->len; i++) {
		const struct stream *stream = g_ptr_array_index(streams, i);
		char mark[32];

		snprintf(mark, sizeof(mark), "call %td;", call - calls);
		if (strstr(stream->drawn->str, mark))
			printf("  on its connection:%s\n", stream->drawn->str);
	}
}

/* Checks a call that ended as complete. */
static void check_complete(const struct call *call)
{
	const char *exempt = getenv("DL_EXEMPT");

	count.complete++;
	for (guint i = 0; i < answers->len; i++) {
		const struct answer *a = g_ptr_array_index(answers, i);

		if (is_whole(a) && a->subject == call->subject &&
		    has_head_of(call, a) && g_string_equal(call->body, a->body))
			return;
	}
	for (guint i = 0; i < all_sent->len; i++) {
		if (!is_exempt(call, g_ptr_array_index(all_sent, i)))
			continue;
		count.exempt[framing_of(call)]++;
		if (!exempt || strcmp(exempt, "0") != 0)
			return;
		break;
	}
	count.wrong++;
	show(call, "complete");
}

/* Gives up a response that isn't proved to be the call's, as entries do. */
static void on_head(void *arg, const struct dl_httpc_head *head)
{
	struct call *call = arg;
	struct dl_str id = { 0 };
	char own[16];

	call->heads++;
	call->status = head->status;
	for (size_t i = 0; i < head->headers_count; i++) {
		const struct dl_header *h = &head->headers[i];

		g_string_append_printf(call->fields, "%.*s: %.*s\n",
				       (int)h->name.n, h->name.s,
				       (int)h->value.n, h->value.s);
		if (dl_header_is(h->name, "id"))
			id = h->value;
	}
	snprintf(own, sizeof(own), "%04u", call->subject);
	if (id.n ? !dl_str_eq(id, dl_str_of(own)) :
		   dl_httpc_conn_info(call->http).carried > 0)
		dl_httpc_give_up(call->http, "response to another request");
}

static bool on_body(void *arg, struct dl_str piece)
{
	struct call *call = arg;

	if (call->heads != 1 && !call->headless) {
		call->headless = true;
		count.headless++;
		show(call, "body without a head");
	}
	g_string_append_len(call->body, piece.s, (gssize)piece.n);
	call->paused = call->pauses;
	return !call->paused;
}

static void on_end(void *arg, const struct dl_attempt *attempt,
		   const struct dl_err *err)
{
	struct call *call = arg;

	ck_assert_msg(++call->ends == 1, "seed %u: a call ended twice", seed);
	if (attempt->failure == DL_FAILURE_NONE &&
	    attempt->received == DL_RECV_COMPLETE)
		check_complete(call);
	count.unread += dl_httpc_conn_info(call->http).bytes_before > 0;
	call->http = NULL;
	open_calls--;
}

static const struct dl_httpc_ops ops = { .head = on_head,
					 .body = on_body,
					 .end = on_end };

/* Starts the next call; one in ten is sent under the id of the one before. */
static void start_call(void)
{
	struct call *call = &calls[started];
	char path[16];
	struct dl_httpc_req req = { .address = ADDRESS,
				    .method = DL_STR("GET"),
				    .connect_ms = 1000,
				    .idle_ms = IDLE_MS };

	call->subject = started;
	if (started && draw(run_rand, 10) == 0)
		call->subject = call[-1].subject;
	call->rand = g_rand_new_with_seed(seed * 1000 + started);
	call->fields = g_string_new(NULL);
	call->body = g_string_new(NULL);
	call->pauses = draw(run_rand, 8) == 0;
	call->patient = draw(run_rand, 16) == 0;
	req.reuse = draw(run_rand, 5) != 0;
	req.close_delimited = draw(run_rand, 2) == 0;
	snprintf(path, sizeof(path), "/%u", started);
	req.path = dl_str_of(path);
	started++;
	open_calls++;
	count.calls++;
	call->http = dl_httpc_start(client, &req, &ops, call);
	ck_assert_ptr_nonnull(call->http);
}

/* Resumes a call, or gives it up if the server has fallen silent. */
static void check_call(struct call *call)
{
	if (!call->http)
		return;
	if (call->paused) {
		call->paused = false;
		dl_httpc_resume(call->http);
		return;
	}
	if (dl_httpc_silent_ms(call->http) > 1)
		call->quiet++;
	else
		call->quiet = 0;
	if (call->quiet == QUIET_CHECKS && !call->patient)
		dl_httpc_give_up(call->http, "silent");
}

static void on_checks(uv_timer_t *timer)
{
	static const uint32_t pauses[] = { 0, 0, 0, 2, 6 };

	for (uint32_t i = 0; i < started; i++)
		check_call(&calls[i]);
	if (started == CALLS || open_calls >= want_open ||
	    uv_now(&loop) < next_start_at)
		return;
	start_call();
	want_open = draw(run_rand, 3) ? 1 : 1 + draw(run_rand, OPEN_MAX);
	next_start_at =
		uv_now(&loop) + pauses[draw(run_rand, G_N_ELEMENTS(pauses))];
}

static void listen_on_address(void)
{
	struct sockaddr_in sin = { .sin_family = AF_INET };

	sin.sin_addr.s_addr = htonl((uint32_t)(ADDRESS >> 16));
	sin.sin_port = htons((uint16_t)(ADDRESS & 0xffff));
	uv_tcp_init(&loop, &listener);
	ck_assert_int_eq(uv_tcp_bind(&listener, (void *)&sin, 0), 0);
	ck_assert_int_eq(uv_listen((uv_stream_t *)&listener, 8, on_connection),
			 0);
}

/* Closes and frees all that a seed has used. */
static void end_seed(void)
{
	dl_httpc_close(client);
	uv_close((uv_handle_t *)&listener, NULL);
	uv_close((uv_handle_t *)&checks, NULL);
	while (peers)
		close_peer(peers, false);
	uv_run(&loop, UV_RUN_DEFAULT);
	ck_assert_msg(uv_loop_close(&loop) == 0, "seed %u: a handle is left",
		      seed);
	for (uint32_t i = 0; i < CALLS; i++) {
		ck_assert_msg(calls[i].ends == 1, "seed %u: no end", seed);
		g_rand_free(calls[i].rand);
		free_string(calls[i].fields);
		free_string(calls[i].body);
	}
	g_ptr_array_free(answers, TRUE);
	g_ptr_array_free(all_sent, TRUE);
	g_ptr_array_free(streams, TRUE);
	g_rand_free(run_rand);
}

/* Prints what was drawn on each connection. */
static void print_drawn(void)
{
	for (guint i = 0; i < streams->len; i++) {
		const struct stream *stream = g_ptr_array_index(streams, i);

		printf("connection %u:%s\n", i, stream->drawn->str);
	}
}

static void run_seed(bool verbose)
{
	uint64_t until;

	memset(calls, 0, sizeof(calls));
	started = open_calls = 0;
	want_open = 1;
	next_start_at = 0;
	answers = g_ptr_array_new_with_free_func(free_answer);
	all_sent = g_ptr_array_new_with_free_func(free_sent);
	streams = g_ptr_array_new_with_free_func(free_stream);
	run_rand = g_rand_new_with_seed(seed);
	uv_loop_init(&loop);
	listen_on_address();
	ck_assert_int_eq(dl_httpc_open(&loop, &client), 0);
	uv_timer_init(&loop, &checks);
	uv_timer_start(&checks, on_checks, 0, CHECK_MS);
	until = uv_now(&loop) + RUN_MAX_MS;
	while (started < CALLS || open_calls) {
		uv_run(&loop, UV_RUN_ONCE);
		ck_assert_msg(uv_now(&loop) < until, "seed %u: a call hangs",
			      seed);
	}
	if (verbose)
		print_drawn();
	end_seed();
}

START_TEST(complete_responses_are_one_answer_to_their_request)
{
	const char *seeds = getenv("DL_SEEDS"), *one = getenv("DL_SEED");
	uint32_t n = seeds ? (uint32_t)atoi(seeds) : SEEDS;
	uint32_t from = one ? (uint32_t)atoi(one) : 1, failing = 0;

	signal(SIGPIPE, SIG_IGN);
	if (one && !seeds)
		n = 1;
	for (seed = from; seed < from + n; seed++) {
		struct count before = count;

		run_seed(one && !seeds);
		if (count.wrong == before.wrong &&
		    count.headless == before.headless)
			continue;
		failing++;
		printf("seed %u fails: %u wrong, %u headless\n", seed,
		       count.wrong - before.wrong,
		       count.headless - before.headless);
	}
	printf("%u seeds, %u fail; %u calls, %u complete, %u of them wrong, "
	       "%u headless; %u sent with bytes unread; exempt: %u by length, %u by chunks, %u by close\n",
	       n, failing, count.calls, count.complete, count.wrong,
	       count.headless, count.unread, count.exempt[FRAMED_BY_LENGTH],
	       count.exempt[FRAMED_BY_CHUNKS], count.exempt[FRAMED_BY_CLOSE]);
	fflush(stdout);
	ck_assert_msg(count.wrong == 0,
		      "%u calls got an answer that was not made for them",
		      count.wrong);
	ck_assert_msg(count.headless == 0, "%u calls got a body before a head",
		      count.headless);
	ck_assert_msg(n < SEEDS || count.complete * 4 > count.calls,
		      "%u of %u calls complete", count.complete, count.calls);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("httpc_random");
	TCase *t = tcase_create("httpc_random");

	suite_add_tcase(s, t);
	tcase_set_timeout(t, getenv("DL_SEEDS") ? 3600 : 60);
	tcase_add_test(t, complete_responses_are_one_answer_to_their_request);
	return suite_run(s);
}
