/* Responses that end as the request says; see the header. */
#include "ending.h"

#include <fcntl.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define TICK_MS 10

const char *const fake_framing_names[FAKE_FRAMINGS] = {
	[FAKE_FRAMED_BY_LENGTH] = "length",
	[FAKE_FRAMED_BY_CHUNKS] = "chunks",
	[FAKE_FRAMED_BY_CLOSE] = "close",
};
const char *const fake_stop_names[FAKE_STOPS] = {
	[FAKE_STOP_IN_STATUS] = "instatus",
	[FAKE_STOP_AFTER_STATUS] = "afterstatus",
	[FAKE_STOP_IN_NAME] = "inname",
	[FAKE_STOP_IN_VALUE] = "invalue",
	[FAKE_STOP_AFTER_FRAMING] = "afterframing",
	[FAKE_STOP_BEFORE_END] = "beforeend",
	[FAKE_STOP_IN_END] = "inend",
	[FAKE_STOP_AFTER_INTERIM] = "afterinterim",
	[FAKE_STOP_IN_REFUSAL] = "inrefusal",
	[FAKE_STOP_IN_EMPTY] = "inempty",
	[FAKE_STOP_NO_BODY] = "nobody",
	[FAKE_STOP_IN_LINE] = "inline",
	[FAKE_STOP_AFTER_LINE] = "afterline",
	[FAKE_STOP_BEFORE_BLANK] = "beforeblank",
	[FAKE_STOP_BETWEEN] = "between",
	[FAKE_STOP_LAST] = "last",
};
const char *const fake_how_names[FAKE_HOWS] = {
	[FAKE_HOW_WHOLE] = "whole", [FAKE_HOW_CLOSE] = "close",
	[FAKE_HOW_RESET] = "reset", [FAKE_HOW_SILENCE] = "silence",
	[FAKE_HOW_CRASH] = "crash", [FAKE_HOW_AGAIN] = "again",
};
const char *const fake_eol_names[FAKE_EOLS] = {
	[FAKE_EOL_LF] = "lf",
	[FAKE_EOL_CRLF] = "crlf",
};

/* A response under way. */
struct response {
	struct fake_request *req;
	struct fake_ending ending;
	fake_ending_event *event;
	char *request, *heard;
	int next;   /* event to be sent */
	bool first; /* ends early */
	bool waits; /* for the caller to have an event */
	bool held;  /* silent from now on */
};

static uv_timer_t timer;
static GPtrArray *responses; /* NULL before the first one */

static void response_free(gpointer p)
{
	struct response *r = p;

	g_free(r->request);
	g_free(r->heard);
	g_free(r);
}

void fake_ending_numbered(int n, const char *request, GString *out)
{
	g_string_append_printf(out, "id: %d\ndata: e%d\n\n", n, n);
}

/* Appends a text whose lines end in LF with the ends of line asked for. */
static void append_text(enum fake_eol eol, const char *s, size_t n,
			GString *out)
{
	for (size_t i = 0; i < n; i++) {
		if (s[i] == '\n' && eol == FAKE_EOL_CRLF)
			g_string_append_c(out, '\r');
		g_string_append_c(out, s[i]);
	}
}

void fake_ending_events(const struct fake_ending *ending,
			fake_ending_event *event, const char *request, int from,
			int to, GString *out)
{
	GString *text = g_string_new(NULL);

	for (int n = from; n <= to; n++)
		event(n, request, text);
	append_text(ending->eol, text->str, text->len, out);
	g_string_free(text, TRUE);
}

void fake_ending_format(const struct fake_ending *ending, GString *out)
{
	g_string_append_printf(out, "ending-%s-%s-%s-%s-%s",
			       fake_framing_names[ending->framing],
			       fake_stop_names[ending->stop],
			       fake_how_names[ending->how],
			       fake_eol_names[ending->eol], ending->key);
}

static int index_of(const char *const *names, int n, const char *word)
{
	for (int i = 0; i < n; i++) {
		if (g_str_equal(names[i], word))
			return i;
	}
	return -1;
}

bool fake_ending_find(struct dl_str text, struct fake_ending *out)
{
	static const char mark[] = "ending-";
	const char *at = memmem(text.s, text.n, mark, sizeof(mark) - 1);
	char framing[16], stop[16], how[16], eol[16], *copy;
	int found[4], words;

	if (!at)
		return false;
	copy = g_strndup(at, (size_t)(text.s + text.n - at));
	words = sscanf(copy,
		       "ending-%15[a-z]-%15[a-z]-%15[a-z]-%15[a-z]-"
		       "%31[a-zA-Z0-9_]",
		       framing, stop, how, eol, out->key);
	g_free(copy);
	if (words != 5)
		return false;
	found[0] = index_of(fake_framing_names, FAKE_FRAMINGS, framing);
	found[1] = index_of(fake_stop_names, FAKE_STOPS, stop);
	found[2] = index_of(fake_how_names, FAKE_HOWS, how);
	found[3] = index_of(fake_eol_names, FAKE_EOLS, eol);
	out->framing = (enum fake_framing)found[0];
	out->stop = (enum fake_stop)found[1];
	out->how = (enum fake_how)found[2];
	out->eol = (enum fake_eol)found[3];
	return found[0] >= 0 && found[1] >= 0 && found[2] >= 0 && found[3] >= 0;
}

char *fake_ending_begun_file(const char *folder, const char *key)
{
	return g_strdup_printf("%s/%s", folder, key);
}

char *fake_ending_heard_file(const char *folder, const char *key)
{
	return g_strdup_printf("%s/%s.heard", folder, key);
}

/* Whether this endpoint is the first that gets the key. */
static bool is_first(const char *folder, const char *key)
{
	char *path = fake_ending_begun_file(folder, key);
	int fd = open(path, O_WRONLY | O_CREAT | O_EXCL, 0600);

	g_free(path);
	if (fd >= 0)
		close(fd);
	return fd >= 0;
}

/*
 * Whether the endpoint ends its response early: the first that gets the key,
 * and of those that go on the first, in its head.
 */
static bool ends_early(const char *folder, struct fake_ending *ending)
{
	char *next;
	bool early;

	if (is_first(folder, ending->key))
		return true;
	if (ending->how != FAKE_HOW_AGAIN)
		return false;
	next = g_strconcat(ending->key, ".again", NULL);
	early = is_first(folder, next);
	ending->stop = FAKE_STOP_BEFORE_END;
	g_free(next);
	return early;
}

/* Sends a part of the body, framed. */
static void send_body(const struct response *r, const char *s, size_t n)
{
	GString *out = g_string_new(NULL);

	if (n == 0) {
		g_string_free(out, TRUE);
		return;
	}
	if (r->ending.framing == FAKE_FRAMED_BY_CHUNKS)
		g_string_append_printf(out, "%zx\r\n", n);
	g_string_append_len(out, s, (gssize)n);
	if (r->ending.framing == FAKE_FRAMED_BY_CHUNKS)
		g_string_append(out, "\r\n");
	fake_reply_raw(r->req, (struct dl_str){ out->str, out->len });
	g_string_free(out, TRUE);
}

bool fake_stop_is_in_head(enum fake_stop stop)
{
	return stop < FAKE_STOP_NO_BODY;
}

/* Whether this response is the one that stops in its head. */
static bool stops_in_head(const struct response *r)
{
	return r->first && fake_stop_is_in_head(r->ending.stop);
}

/* Returns the length of what is left of the body. */
static size_t body_length(const struct response *r)
{
	GString *whole = g_string_new(NULL);
	size_t n;

	fake_ending_events(&r->ending, r->event, r->request, r->next,
			   FAKE_ENDING_EVENTS, whole);
	n = whole->len;
	g_string_free(whole, TRUE);
	return n;
}

/*
 * Appends the header that frames a body of n bytes, or else that of the close,
 * and the end of the head.  Returns where that header begins.
 */
static size_t append_framing(enum fake_framing framing, size_t n, GString *out)
{
	size_t at = out->len;

	if (framing == FAKE_FRAMED_BY_LENGTH)
		g_string_append_printf(out, "Content-Length: %zu\n", n);
	if (framing == FAKE_FRAMED_BY_CHUNKS)
		g_string_append(out, "Transfer-Encoding: chunked\n");
	g_string_append(out, "Connection: close\nX-Last: 1\n\n");
	return at;
}

/* Returns the status line, and what comes before it or belongs to it. */
static const char *first_lines(const struct response *r)
{
	if (stops_in_head(r) && r->ending.stop == FAKE_STOP_AFTER_INTERIM)
		return "HTTP/1.1 103 Early Hints\nLink: </a>\n\n"
		       "HTTP/1.1 200 OK\n";
	if (stops_in_head(r) && r->ending.stop == FAKE_STOP_IN_REFUSAL)
		return "HTTP/1.1 503 Full\nDaisyledge-Not-Executed: 1\n"
		       "Daisyledge-Not-Run: full\n";
	if (stops_in_head(r) && r->ending.stop == FAKE_STOP_IN_EMPTY)
		return "HTTP/1.1 204 No Content\n";
	return "HTTP/1.1 200 OK\n";
}

/* Cuts a head off where it stops; framing: where its framing header begins. */
static void cut_head(enum fake_stop stop, size_t framing, GString *head)
{
	const char *line = head->str + framing;
	size_t n = head->len - 1;

	switch (stop) {
	case FAKE_STOP_IN_STATUS:
		n = strlen("HTTP/1.1 20");
		break;
	case FAKE_STOP_AFTER_STATUS:
		n = strcspn(head->str, "\n") + 1;
		break;
	case FAKE_STOP_IN_NAME:
		n = framing + strcspn(line, ":") - 2;
		break;
	case FAKE_STOP_IN_VALUE:
		n = framing + strcspn(line, "\n") - 1;
		break;
	case FAKE_STOP_AFTER_FRAMING:
		n = framing + strcspn(line, "\n") + 1;
		break;
	default:
		break;
	}
	g_string_truncate(head, n);
}

static void send_head(const struct response *r,
		      const struct fake_ending_conf *conf)
{
	GString *head = g_string_new(first_lines(r));
	GString *out = g_string_new(NULL);
	enum fake_eol eol = FAKE_EOL_CRLF;
	size_t framing;

	for (const struct fake_header *h = conf->headers; h->name; h++)
		g_string_append_printf(head, "%s: %s\n", h->name, h->value);
	framing = append_framing(r->ending.framing, body_length(r), head);
	if (stops_in_head(r)) {
		cut_head(r->ending.stop, framing, head);
		eol = r->ending.eol;
	}
	append_text(eol, head->str, head->len, out);
	if (stops_in_head(r) && r->ending.stop == FAKE_STOP_IN_END)
		g_string_append_c(out, '\r');
	fake_reply_raw(r->req, (struct dl_str){ out->str, out->len });
	g_string_free(head, TRUE);
	g_string_free(out, TRUE);
}

/* Sends the part of an event that comes before the stop. */
static void send_part(const struct response *r)
{
	GString *event = g_string_new(NULL), *part = g_string_new(NULL);
	size_t n = 0;

	r->event(FAKE_ENDING_BROKEN, r->request, event);
	switch (r->ending.stop) {
	case FAKE_STOP_IN_LINE:
		n = strlen("id");
		break;
	case FAKE_STOP_AFTER_LINE:
		n = strcspn(event->str, "\n") + 1;
		break;
	case FAKE_STOP_BEFORE_BLANK:
		n = event->len - 1;
		break;
	default:
		break;
	}
	append_text(r->ending.eol, event->str, n, part);
	send_body(r, part->str, part->len);
	g_string_free(event, TRUE);
	g_string_free(part, TRUE);
}

static void finish(struct response *r)
{
	enum fake_how how = r->first ? r->ending.how : FAKE_HOW_WHOLE;

	switch (how) {
	case FAKE_HOW_SILENCE:
	case FAKE_HOW_CRASH:
		r->held = true;
		return;
	case FAKE_HOW_WHOLE:
		if (r->ending.framing == FAKE_FRAMED_BY_CHUNKS)
			fake_reply_raw(r->req, DL_STR("0\r\n\r\n"));
		break;
	default:
		break;
	}
	fake_reply_drop(r->req, how == FAKE_HOW_RESET);
	g_ptr_array_remove(responses, r);
}

/* Whether the response has come to where it stops. */
static bool is_at_stop(const struct response *r)
{
	if (r->next > FAKE_ENDING_EVENTS)
		return true;
	if (!r->first || r->ending.stop == FAKE_STOP_LAST)
		return false;
	return stops_in_head(r) || r->ending.stop == FAKE_STOP_NO_BODY ||
	       r->next >= FAKE_ENDING_BROKEN;
}

/* Sends the next event, or ends the response. */
static void step(struct response *r)
{
	GString *out;

	if (r->held)
		return;
	if (is_at_stop(r)) {
		if (r->next == FAKE_ENDING_BROKEN && !stops_in_head(r))
			send_part(r);
		finish(r);
		return;
	}
	if (r->waits && r->next == FAKE_ENDING_EVENTS &&
	    access(r->heard, F_OK) != 0)
		return;
	out = g_string_new(NULL);
	fake_ending_events(&r->ending, r->event, r->request, r->next, r->next,
			   out);
	send_body(r, out->str, out->len);
	g_string_free(out, TRUE);
	r->next++;
}

static void on_tick(uv_timer_t *handle)
{
	for (guint i = responses->len; i > 0; i--)
		step(responses->pdata[i - 1]);
}

bool fake_ending_serve(uv_loop_t *loop, struct fake_request *req,
		       struct dl_str text, const struct fake_ending_conf *conf)
{
	struct fake_ending ending;
	struct response *r;

	if (!conf->folder || !fake_ending_find(text, &ending))
		return false;
	if (!responses) {
		responses = g_ptr_array_new_with_free_func(response_free);
		uv_timer_init(loop, &timer);
		uv_timer_start(&timer, on_tick, 0, TICK_MS);
	}
	r = g_new0(struct response, 1);
	r->req = req;
	r->first = ends_early(conf->folder, &ending);
	r->ending = ending;
	r->event = conf->event;
	r->request = g_strdup(conf->request);
	r->heard = fake_ending_heard_file(conf->folder, ending.key);
	r->next = conf->after + 1;
	r->waits = conf->stream && r->first && ending.how == FAKE_HOW_WHOLE;
	g_ptr_array_add(responses, r);
	send_head(r, conf);
	return true;
}

/* Reads FRAMING-STOP-HOW; false if it is malformed. */
static bool read_cut(const char *text, struct fake_ending *out)
{
	char framing[16], stop[16], how[16];
	int found[3];

	if (sscanf(text, "%15[a-z]-%15[a-z]-%15[a-z]", framing, stop, how) != 3)
		return false;
	found[0] = index_of(fake_framing_names, FAKE_FRAMINGS, framing);
	found[1] = index_of(fake_stop_names, FAKE_STOPS, stop);
	found[2] = index_of(fake_how_names, FAKE_HOWS, how);
	out->framing = (enum fake_framing)found[0];
	out->stop = (enum fake_stop)found[1];
	out->how = (enum fake_how)found[2];
	return found[0] >= 0 && found[1] >= 0 && found[2] >= 0;
}

/* Appends half of a body, framed. */
static void append_half(enum fake_framing framing, struct dl_str body,
			GString *out)
{
	if (framing == FAKE_FRAMED_BY_CHUNKS)
		g_string_append_printf(out, "%zx\r\n", body.n);
	g_string_append_len(out, body.s, (gssize)(body.n / 2));
}

bool fake_ending_cut(struct fake_request *req, const char *text, int status,
		     struct dl_str body)
{
	struct fake_ending ending;
	GString *head, *out;
	size_t framing;

	if (!read_cut(text, &ending))
		return false;
	head = g_string_new(NULL);
	out = g_string_new(NULL);
	g_string_printf(head,
			"HTTP/1.1 %d Said\nContent-Type: application/json\n",
			status);
	framing = append_framing(ending.framing, body.n, head);
	if (fake_stop_is_in_head(ending.stop))
		cut_head(ending.stop, framing, head);
	append_text(FAKE_EOL_CRLF, head->str, head->len, out);
	if (ending.stop == FAKE_STOP_IN_END)
		g_string_append_c(out, '\r');
	if (ending.stop > FAKE_STOP_NO_BODY)
		append_half(ending.framing, body, out);
	fake_reply_raw(req, (struct dl_str){ out->str, out->len });
	fake_reply_drop(req, ending.how == FAKE_HOW_RESET);
	g_string_free(head, TRUE);
	g_string_free(out, TRUE);
	return true;
}

bool fake_ending_closed(const struct fake_request *req)
{
	for (guint i = 0; responses && i < responses->len; i++) {
		const struct response *r = responses->pdata[i];

		if (r->req != req)
			continue;
		g_ptr_array_remove_index(responses, i);
		return true;
	}
	return false;
}
