/*
 * Load generator and checker.  Sends the request classes of a JSON file at
 * their rates to random entries, as clients behind a load balancer do, compares
 * each response with the expected one for its prompt, and checks the reported
 * outcomes against the execution records of the fake endpoints.
 */
#include <errno.h>
#include <glib.h>
#include <inttypes.h>
#include <jansson.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uv.h>

#include "fake/answer.h"
#include "fake/http.h"
#include "fake/verdict.h"

#define TICK_MS		  1
#define CONNECT_MS	  500
#define READY_EVERY_MS	  300
#define READY_MS	  500
#define DEADLINE_SLACK_MS 250
#define LATE_RESPONSE_MS  2500 /* wait for a response after its deadline */
#define SETTLE_MS	  12000
#define SETTLE_EVERY_MS	  250
#define ENTRIES_MAX	  64
#define PREFIX_MIN_BYTES  (2ul * FAKE_PREFIX_BYTES)
#define RESENDS_MAX	  3
#define PATH_SIZE	  160
#define SSE_LINE_MAX	  (1u << 20)

struct class
{
	char *name;
	char *service; /* plain: first part of the path */
	char *path;
	char *model;
	char *label; /* Daisyledge-Class */
	bool plain;
	bool stream;
	bool idempotent;
	bool key;
	double rate; /* per second */
	uint64_t tokens_min;
	uint64_t tokens_max;
	uint64_t max_tokens;
	uint32_t deadline_ms;
	double next_at;
};

struct entry {
	uint64_t vm;
	bool ready;
	bool checking;
};

/* A request in flight; its result is kept after it ends. */
struct request {
	struct class *class;
	struct verdict_result *r;
	struct fake_call *call;
	struct entry *entry;
	GString *body;
	GString *text; /* text of the response */
	GString *line; /* current line of the event stream */
	bool sse;
	bool done_seen;
	int status;
	int64_t ends_at;
	char outcome[16];
	char event[16]; /* outcome reported by an event */
	char reason[64];
	char event_name[32];
	char path[PATH_SIZE];
	char key[48];
	uint64_t max_tokens;
	int resends;
};

static struct {
	uv_loop_t *loop;
	uv_timer_t tick;
	GArray *classes;
	char **workspaces;
	guint workspaces_count;
	struct entry entries[ENTRIES_MAX];
	guint entries_count;
	GPtrArray *results;
	GRand *rand;
	GString *filler;
	double started;
	double ends;
	guint in_flight;
	bool sent_reported;
	int64_t ready_at;
	uint64_t number;
} gen;

static struct {
	char *entries;
	char *classes;
	char *away;
	char *endpoints;
	char *out;
	char *sent;
	char **check;
	double seconds;
	double rate;
	int seed;
	int in_flight_max;
	int done_min;
	gboolean quiet;
	gboolean promises;
	gboolean direct;
} opt = { .seconds = 10, .rate = 1.0, .seed = 1, .in_flight_max = 2000 };

static const GOptionEntry options[] = {
	{ "entries", 0, 0, G_OPTION_ARG_STRING, &opt.entries,
	  "entries to send to", "IP:PORT,..." },
	{ "classes", 0, 0, G_OPTION_ARG_FILENAME, &opt.classes,
	  "classes and workspaces", "FILE" },
	{ "seconds", 0, 0, G_OPTION_ARG_DOUBLE, &opt.seconds,
	  "duration of the load", "S" },
	{ "rate", 0, 0, G_OPTION_ARG_DOUBLE, &opt.rate, "multiply the rates by",
	  "FACTOR" },
	{ "seed", 0, 0, G_OPTION_ARG_INT, &opt.seed, "random seed", "N" },
	{ "in-flight", 0, 0, G_OPTION_ARG_INT, &opt.in_flight_max,
	  "limit on concurrent requests", "N" },
	{ "away", 0, 0, G_OPTION_ARG_FILENAME, &opt.away,
	  "times when entries were killed, frozen and restored", "FILE" },
	{ "endpoints", 0, 0, G_OPTION_ARG_STRING, &opt.endpoints,
	  "endpoints that must release all memory", "IP:PORT,..." },
	{ "check", 0, 0, G_OPTION_ARG_FILENAME_ARRAY, &opt.check,
	  "check against this execution record", "FILE" },
	{ "out", 0, 0, G_OPTION_ARG_FILENAME, &opt.out,
	  "write one line per result to", "FILE" },
	{ "sent", 0, 0, G_OPTION_ARG_FILENAME, &opt.sent,
	  "write the number of requests to, once the last one is sent",
	  "FILE" },
	{ "promises", 0, 0, G_OPTION_ARG_NONE, &opt.promises,
	  "print one line per promise", NULL },
	{ "done-min", 0, 0, G_OPTION_ARG_INT, &opt.done_min,
	  "fail if fewer requests per thousand are done", "PERMILLE" },
	{ "direct", 0, 0, G_OPTION_ARG_NONE, &opt.direct,
	  "the entries are endpoints, which report no outcome", NULL },
	{ "quiet", 0, 0, G_OPTION_ARG_NONE, &opt.quiet,
	  "do not print the table", NULL },
	{ NULL },
};

static void send_request(struct request *f);
static void on_end(void *arg, enum fake_end end);

static double monotonic_ms(void)
{
	return (double)uv_hrtime() / 1e6;
}

static const char *string_of(const json_t *o, const char *key,
			     const char *fallback)
{
	const char *s = json_string_value(json_object_get(o, key));

	return s ? s : fallback;
}

static double number_of(const json_t *o, const char *key, double fallback)
{
	const json_t *v = json_object_get(o, key);

	return json_is_number(v) ? json_number_value(v) : fallback;
}

static bool bool_of(const json_t *o, const char *key, bool fallback)
{
	const json_t *v = json_object_get(o, key);

	return json_is_boolean(v) ? json_is_true(v) : fallback;
}

static void read_class(const json_t *o)
{
	struct class c = {
		.name = g_strdup(string_of(o, "name", "?")),
		.service = g_strdup(string_of(o, "service", "match-writer")),
		.path = g_strdup(string_of(o, "path", "/")),
		.model = g_strdup(string_of(o, "model", "match-7b")),
		.plain = bool_of(o, "plain", false),
		.stream = bool_of(o, "stream", true),
		.idempotent = bool_of(o, "idempotent", true),
		.key = bool_of(o, "key", false),
		.rate = number_of(o, "rate", 1) * opt.rate,
		.tokens_min = (uint64_t)number_of(o, "tokens_min", 100),
		.tokens_max = (uint64_t)number_of(o, "tokens_max", 100),
		.max_tokens = (uint64_t)number_of(o, "max_tokens", 16),
		.deadline_ms = (uint32_t)number_of(o, "deadline_ms", 5000),
	};

	c.label = g_strdup(string_of(o, "class", c.name));
	g_array_append_val(gen.classes, c);
}

static int read_classes(void)
{
	json_error_t err;
	json_t *o = json_load_file(opt.classes ? opt.classes : "", 0, &err);
	const json_t *list = json_object_get(o, "classes");
	const json_t *ws = json_object_get(o, "workspaces");

	if (!o) {
		fprintf(stderr, "load: %s: %s\n", err.source, err.text);
		return -EINVAL;
	}
	gen.classes = g_array_new(FALSE, FALSE, sizeof(struct class));
	for (size_t i = 0; i < json_array_size(list); i++)
		read_class(json_array_get(list, i));
	gen.workspaces_count = (guint)json_array_size(ws);
	gen.workspaces = g_new0(char *, gen.workspaces_count + 1);
	for (guint i = 0; i < gen.workspaces_count; i++)
		gen.workspaces[i] =
			g_strdup(json_string_value(json_array_get(ws, i)));
	json_decref(o);
	return gen.classes->len && gen.workspaces_count ? 0 : -EINVAL;
}

static int read_entries(void)
{
	char **all = g_strsplit(opt.entries ? opt.entries : "", ",", -1);

	for (char **p = all; *p && gen.entries_count < ENTRIES_MAX; p++) {
		struct entry *e = &gen.entries[gen.entries_count];

		if (!dl_vm_parse(dl_str_of(*p), &e->vm))
			continue;
		e->ready = true;
		gen.entries_count++;
	}
	g_strfreev(all);
	return gen.entries_count ? 0 : -EINVAL;
}

/* Readiness of the entries, as a load balancer checks it. */

static void on_ready_head(void *arg, int status, struct dl_str head)
{
	((struct entry *)arg)->ready = status == 200;
}

static void on_ready_end(void *arg, enum fake_end end)
{
	struct entry *e = arg;

	e->checking = false;
	if (end != FAKE_END_COMPLETE)
		e->ready = false;
}

static void poll_readiness(void)
{
	static const struct fake_call_ops ops = { on_ready_head, NULL,
						  on_ready_end };

	for (guint i = 0; i < gen.entries_count; i++) {
		struct entry *e = &gen.entries[i];
		struct fake_call_req req = { .address = e->vm,
					     .method = "GET",
					     .path = "/readyz",
					     .connect_ms = READY_MS,
					     .timeout_ms = READY_MS };

		if (e->checking)
			continue;
		e->checking = true;
		fake_call_start(gen.loop, &req, &ops, e);
	}
}

static struct entry *pick_entry(const struct entry *excluded)
{
	struct entry *ready[ENTRIES_MAX];
	gint n = 0;

	for (guint i = 0; i < gen.entries_count; i++) {
		if (gen.entries[i].ready && &gen.entries[i] != excluded)
			ready[n++] = &gen.entries[i];
	}
	if (n == 0)
		return &gen.entries[g_rand_int_range(gen.rand, 0,
						     (gint)gen.entries_count)];
	return ready[g_rand_int_range(gen.rand, 0, n)];
}

/* Building requests. */

/* Extends the text that prompts are cut from. */
static void extend_filler(uint64_t bytes)
{
	while (gen.filler->len < bytes)
		g_string_append(gen.filler,
				fake_answer_token(7, gen.filler->len));
}

/*
 * Writes a prompt whose start is the same for all requests of a workspace, so
 * that it can be cached, and whose rest is unique.
 */
static void write_prompt(GString *s, const char *workspace, uint64_t tokens)
{
	uint64_t bytes = tokens * FAKE_TOKEN_BYTES;
	size_t start = s->len;
	uint64_t written;

	extend_filler(bytes + FAKE_PREFIX_BYTES);
	g_string_append_printf(s, "For %s: ", workspace);
	if (bytes > PREFIX_MIN_BYTES)
		g_string_append_len(s, gen.filler->str, FAKE_PREFIX_BYTES);
	g_string_append_printf(s, " number %" PRIu64 " of %d:", gen.number,
			       opt.seed);
	written = s->len - start;
	if (written < bytes)
		g_string_append_len(s, gen.filler->str,
				    (gssize)(bytes - written));
}

static uint64_t pick_tokens(const struct class *c)
{
	double u = g_rand_double(gen.rand);
	double span = (double)c->tokens_max - (double)c->tokens_min;

	/* Skewed towards short prompts, like recorded workloads. */
	return c->tokens_min + (uint64_t)(span * u * u);
}

static void build_completion(struct request *f, const char *workspace)
{
	const struct class *c = f->class;
	size_t start;

	g_strlcpy(f->path, "/v1/completions", sizeof(f->path));
	g_string_append_printf(f->body,
			       "{\"model\":\"%s\",\"max_tokens\":%" PRIu64
			       ",\"stream\":%s,\"prompt\":\"",
			       c->model, c->max_tokens,
			       c->stream ? "true" : "false");
	start = f->body->len;
	write_prompt(f->body, workspace, pick_tokens(c));
	f->r->hash = fake_hash(
		(struct dl_str){ f->body->str + start, f->body->len - start });
	g_string_append(f->body, "\"}");
}

static void build_plain(struct request *f, const char *workspace)
{
	const struct class *c = f->class;
	char text[PATH_SIZE / 2];

	snprintf(text, sizeof(text), "workspace=%s&n=%" PRIu64 "&seed=%d",
		 workspace, gen.number, opt.seed);
	f->r->hash = fake_hash(dl_str_of(text));
	if (c->idempotent) {
		snprintf(f->path, sizeof(f->path), "/s/%s%s?%s", c->service,
			 c->path, text);
	} else {
		snprintf(f->path, sizeof(f->path), "/s/%s%s", c->service,
			 c->path);
		g_string_append(f->body, text);
	}
}

static void start_request(struct class *c)
{
	struct request *f = g_new0(struct request, 1);
	guint w = (guint)(g_rand_double(gen.rand) * g_rand_double(gen.rand) *
			  gen.workspaces_count);
	const char *workspace = gen.workspaces[w];

	gen.number++;
	f->class = c;
	f->body = g_string_new(NULL);
	f->text = g_string_new(NULL);
	f->line = g_string_new(NULL);
	f->r = g_new0(struct verdict_result, 1);
	f->r->class = (guint)(c - (struct class *)gen.classes->data);
	f->r->idempotent = c->idempotent;
	f->r->number = gen.number;
	g_strlcpy(f->r->workspace, workspace, sizeof(f->r->workspace));
	g_ptr_array_add(gen.results, f->r);
	if (c->plain)
		build_plain(f, workspace);
	else
		build_completion(f, workspace);
	if (c->key)
		snprintf(f->key, sizeof(f->key), "key-%d-%" PRIu64, opt.seed,
			 gen.number);
	f->r->keyed = c->key;
	f->r->start = monotonic_ms();
	f->r->wall_start = (double)g_get_real_time() / 1e3;
	f->r->deadline_ms = c->deadline_ms;
	gen.in_flight++;
	f->entry = pick_entry(NULL);
	send_request(f);
}

/* Reading responses. */

static void on_head(void *arg, int status, struct dl_str head)
{
	struct request *f = arg;
	struct dl_str outcome = fake_head_find(head, "daisyledge-outcome");
	struct dl_str type = fake_head_find(head, "content-type");
	struct dl_str id = fake_head_find(head, "daisyledge-request");
	struct dl_str after = fake_head_find(head, "retry-after");

	f->status = status;
	f->sse = type.n >= 17 && memcmp(type.s, "text/event-stream", 17) == 0;
	if (outcome.n < sizeof(f->outcome))
		memcpy(f->outcome, outcome.s, outcome.n);
	if (id.n < sizeof(f->r->id))
		memcpy(f->r->id, id.s, id.n);
	f->r->retry_after = after.n > 0;
}

static void first_token(struct request *f)
{
	if (f->r->ttft <= 0)
		f->r->ttft = monotonic_ms() - f->r->start;
}

static void parse_event(struct request *f, const char *data, size_t n)
{
	json_t *o = json_loadb(data, n, 0, NULL);

	if (strcmp(f->event_name, "daisyledge") == 0) {
		g_strlcpy(f->event, string_of(o, "outcome", ""),
			  sizeof(f->event));
		g_strlcpy(f->reason, string_of(o, "reason", ""),
			  sizeof(f->reason));
	} else if (o) {
		const json_t *choice =
			json_array_get(json_object_get(o, "choices"), 0);

		first_token(f);
		g_string_append(f->text, string_of(choice, "text", ""));
		f->r->tokens++;
	} else if (n == 6 && memcmp(data, "[DONE]", 6) == 0) {
		f->done_seen = true;
	} else {
		f->r->garbled = true;
	}
	json_decref(o);
}

static void parse_line(struct request *f)
{
	struct dl_str line = { f->line->str, f->line->len };

	if (line.n && line.s[line.n - 1] == '\r')
		line.n--;
	if (line.n == 0) {
		f->event_name[0] = '\0';
	} else if (g_str_has_prefix(line.s, "event:")) {
		g_strlcpy(f->event_name, g_strstrip(f->line->str + 6),
			  sizeof(f->event_name));
	} else if (g_str_has_prefix(line.s, "data:")) {
		const char *data = line.s + 5;

		while (*data == ' ')
			data++;
		parse_event(f, data, line.n - (size_t)(data - line.s));
	}
	g_string_truncate(f->line, 0);
}

static void on_body(void *arg, struct dl_str piece)
{
	struct request *f = arg;

	if (!f->sse) {
		first_token(f);
		g_string_append_len(f->text, piece.s, (gssize)piece.n);
		return;
	}
	for (size_t i = 0; i < piece.n; i++) {
		if (piece.s[i] == '\n')
			parse_line(f);
		else if (f->line->len < SSE_LINE_MAX)
			g_string_append_c(f->line, piece.s[i]);
	}
}

/* Reports whether the text is the complete expected answer. */
static bool is_expected_answer(struct request *f)
{
	const struct class *c = f->class;
	GString *expected = g_string_new(NULL);
	json_t *o = NULL;
	const char *actual = f->text->str;
	bool right;

	if (c->plain) {
		g_string_printf(expected, "{\"answer\":\"%016" PRIx64 "\"}\n",
				f->r->hash);
	} else {
		for (uint64_t i = 0; i < c->max_tokens; i++)
			g_string_append(expected,
					fake_answer_token(f->r->hash, i));
	}
	if (!c->plain && !f->sse) {
		o = json_loadb(f->text->str, f->text->len, 0, NULL);
		actual = string_of(json_array_get(json_object_get(o, "choices"),
						  0),
				   "text", "");
	}
	f->r->is_prefix = g_str_has_prefix(expected->str, actual);
	right = strcmp(expected->str, actual) == 0;
	json_decref(o);
	g_string_free(expected, TRUE);
	return right;
}

static void request_free(struct request *f)
{
	g_string_free(f->body, TRUE);
	g_string_free(f->text, TRUE);
	g_string_free(f->line, TRUE);
	g_free(f);
}

/* Determines the outcome reported to the client, if any. */
static void check_response(struct request *f, enum fake_end end)
{
	struct verdict_result *r = f->r;
	const char *outcome = f->event[0] ? f->event : f->outcome;
	bool complete = end == FAKE_END_COMPLETE;

	r->status = f->status;
	r->end = (int)end;
	if (f->sse && f->status == 200 && !f->event[0])
		outcome = complete && f->done_seen ? f->outcome : "";
	if (opt.direct && complete && f->status == 200 &&
	    (!f->sse || f->done_seen))
		outcome = "done";
	r->outcome =
		verdict_parse_outcome(complete || f->event[0] ? outcome : "");
	r->complete = f->status / 100 == 2 && is_expected_answer(f);
	r->cut_done_mark = f->sse && f->status == 200 && !f->done_seen &&
			   r->outcome == VERDICT_DONE;
	if (f->text->len && f->status != 200 && !f->reason[0]) {
		json_t *o = json_loadb(f->text->str, f->text->len, 0, NULL);

		g_strlcpy(f->reason,
			  string_of(json_object_get(o, "error"), "reason", ""),
			  sizeof(f->reason));
		json_decref(o);
	}
	g_strlcpy(r->reason, f->reason, sizeof(r->reason));
}

static void reset_answer(struct request *f)
{
	g_string_truncate(f->text, 0);
	g_string_truncate(f->line, 0);
	f->sse = f->done_seen = false;
	f->status = 0;
	f->outcome[0] = f->event[0] = f->reason[0] = '\0';
}

/*
 * Resends through another entry if the entry could not be connected to, or if a
 * request with an idempotency key got no outcome.
 */
static bool resend(struct request *f, enum fake_end end)
{
	double remaining_ms = f->r->start + f->r->deadline_ms - monotonic_ms();

	if (end == FAKE_END_CONNECT && f->resends < RESENDS_MAX &&
	    remaining_ms > 0) {
		f->entry->ready = false;
	} else if (!f->key[0] || f->r->outcome != VERDICT_NO_OUTCOME ||
		   f->resends >= RESENDS_MAX || remaining_ms <= 0) {
		return false;
	}
	f->resends++;
	f->r->resent++;
	reset_answer(f);
	f->entry = pick_entry(f->entry);
	send_request(f);
	return true;
}

static void on_end(void *arg, enum fake_end end)
{
	struct request *f = arg;

	f->r->ended = monotonic_ms();
	check_response(f, end);
	if (resend(f, end))
		return;
	f->r->entry = f->entry->vm;
	gen.in_flight--;
	request_free(f);
}

static void send_request(struct request *f)
{
	static const struct fake_call_ops ops = { on_head, on_body, on_end };
	char deadline[24];
	struct fake_header headers[7] = {
		{ "Content-Type", "application/json" },
		{ "Daisyledge-Workspace", f->r->workspace },
		{ "Daisyledge-Class", f->class->label },
		{ "Daisyledge-Deadline-Ms", deadline },
		{ "Daisyledge-Idempotent",
		  f->class->idempotent ? "yes" : "no" },
		{ f->key[0] ? "Idempotency-Key" : NULL, f->key },
		{ NULL, NULL },
	};
	double remaining_ms = f->r->start + f->r->deadline_ms - monotonic_ms();
	struct fake_call_req req = {
		.address = f->entry->vm,
		.method = f->class->plain && f->class->idempotent ? "GET" :
								    "POST",
		.path = f->path,
		.headers = headers,
		.body = { f->body->str, f->body->len },
		.connect_ms = CONNECT_MS,
	};

	if (remaining_ms < 1)
		remaining_ms = 1;
	snprintf(deadline, sizeof(deadline), "%.0f", remaining_ms);
	req.timeout_ms = (uint32_t)remaining_ms + LATE_RESPONSE_MS;
	fake_call_start(gen.loop, &req, &ops, f);
}

/* Tells that the load is over; the responses still come. */
static void report_sent(void)
{
	char text[24];

	if (!opt.sent || gen.sent_reported)
		return;
	snprintf(text, sizeof(text), "%" G_GUINT64_FORMAT "\n",
		 (guint64)gen.number);
	if (!g_file_set_contents(opt.sent, text, -1, NULL))
		fprintf(stderr, "load: cannot write %s\n", opt.sent);
	gen.sent_reported = true;
}

/* Open-loop load: new requests do not wait for earlier responses. */
static void on_tick(uv_timer_t *timer)
{
	double now = monotonic_ms();

	if ((int64_t)now >= gen.ready_at) {
		gen.ready_at = (int64_t)now + READY_EVERY_MS;
		poll_readiness();
	}
	for (guint i = 0; i < gen.classes->len && now < gen.ends; i++) {
		struct class *c = &g_array_index(gen.classes, struct class, i);

		while (c->rate > 0 && c->next_at <= now) {
			double u = 1.0 - g_rand_double(gen.rand);

			if (gen.in_flight < (guint)opt.in_flight_max)
				start_request(c);
			c->next_at += -log(u) / c->rate * 1000.0;
		}
	}
	if (now >= gen.ends)
		report_sent();
	if (now >= gen.ends && gen.in_flight == 0)
		uv_timer_stop(timer);
}

static void run(void)
{
	gen.loop = uv_default_loop();
	gen.started = monotonic_ms();
	gen.ends = gen.started + opt.seconds * 1000.0;
	for (guint i = 0; i < gen.classes->len; i++) {
		struct class *c = &g_array_index(gen.classes, struct class, i);

		extend_filler((c->tokens_max + 1) * FAKE_TOKEN_BYTES +
			      FAKE_PREFIX_BYTES);
		c->next_at = gen.started + g_rand_double(gen.rand) * 1000.0 /
						   (c->rate > 0 ? c->rate : 1);
	}
	uv_timer_init(gen.loop, &gen.tick);
	uv_timer_start(&gen.tick, on_tick, 0, TICK_MS);
	uv_run(gen.loop, UV_RUN_DEFAULT);
}

/* Memory of the engines after the run. */

struct load_query {
	GString *body;
	bool *unreached;
	uint64_t *used;
	bool *checked;
};

static void on_load_body(void *arg, struct dl_str piece)
{
	g_string_append_len(((struct load_query *)arg)->body, piece.s,
			    (gssize)piece.n);
}

static void on_load_end(void *arg, enum fake_end end)
{
	struct load_query *query = arg;
	json_t *o = json_loadb(query->body->str, query->body->len, 0, NULL);

	*query->checked = end == FAKE_END_COMPLETE && o;
	*query->used =
		(uint64_t)json_integer_value(json_object_get(o, "used_tokens"));
	json_decref(o);
	g_string_free(query->body, TRUE);
	g_free(query);
}

/* Returns the memory in use at the endpoints that respond, and their number. */
static uint64_t used_memory(char **endpoints, guint *alive)
{
	static const struct fake_call_ops ops = { NULL, on_load_body,
						  on_load_end };
	uint64_t sum = 0;

	*alive = 0;
	for (char **p = endpoints; *p; p++) {
		uint64_t used = 0;
		bool checked = false;
		struct load_query *query = g_new0(struct load_query, 1);
		struct fake_call_req req = { .method = "GET",
					     .path = "/v1/load",
					     .connect_ms = CONNECT_MS,
					     .timeout_ms = CONNECT_MS };

		if (!dl_vm_parse(dl_str_of(*p), &req.address)) {
			g_free(query);
			continue;
		}
		query->body = g_string_new(NULL);
		query->used = &used;
		query->checked = &checked;
		fake_call_start(gen.loop, &req, &ops, query);
		uv_run(gen.loop, UV_RUN_DEFAULT);
		if (checked) {
			sum += used;
			*alive += 1;
		}
	}
	return sum;
}

static void wait_for_memory_release(struct verdict *v)
{
	char **all = g_strsplit(opt.endpoints ? opt.endpoints : "", ",", -1);
	double until = monotonic_ms() + SETTLE_MS;

	do {
		v->memory_left = used_memory(all, &v->engines_alive);
		if (v->memory_left == 0)
			break;
		g_usleep(SETTLE_EVERY_MS * 1000ul);
	} while (monotonic_ms() < until);
	g_strfreev(all);
}

static int write_results(void)
{
	FILE *f;

	if (!opt.out)
		return 0;
	f = fopen(opt.out, "w");
	if (!f)
		return -errno;
	for (guint i = 0; i < gen.results->len; i++) {
		const struct verdict_result *r =
			g_ptr_array_index(gen.results, i);
		const struct class *c =
			&g_array_index(gen.classes, struct class, r->class);
		char vm[24];

		fprintf(f,
			"%s %" PRIu64 " %016" PRIx64 " %s %s %d %s %d %.3f "
			"%.3f %u %s %s\n",
			c->name, r->number, r->hash, r->id[0] ? r->id : "-",
			dl_vm_text(r->entry, vm), r->status,
			verdict_outcome_name(r->outcome), r->complete, r->ttft,
			r->ended - r->start, r->deadline_ms,
			r->reason[0] ? r->reason : "-",
			r->excused ? "excused" : "-");
	}
	return fclose(f) == 0 ? 0 : -errno;
}

/* Checks --done-min, so that a run of rejections does not pass. */
static bool enough_done(void)
{
	guint done = 0;

	for (guint i = 0; i < gen.results->len; i++) {
		const struct verdict_result *r =
			g_ptr_array_index(gen.results, i);

		done += r->outcome == VERDICT_DONE;
	}
	if (done * 1000ull >= gen.results->len * (guint64)opt.done_min)
		return true;
	fprintf(stderr,
		"load: %u of %u requests done, at least %d per thousand required\n",
		done, gen.results->len, opt.done_min);
	return false;
}

static void print_table(void)
{
	printf("%-13s %7s %7s %7s %7s %7s %7s %9s %9s %9s\n", "class",
	       "offered", "done", "refused", "failed", "unknown", "cut",
	       "ttft p50", "p95", "p99 ms");
	for (guint i = 0; i < gen.classes->len; i++) {
		const struct class *c =
			&g_array_index(gen.classes, struct class, i);
		struct verdict_row row;

		verdict_row(gen.results, i, &row);
		printf("%-13s %7u %7u %7u %7u %7u %7u %9.1f %9.1f %9.1f\n",
		       c->name, row.offered, row.outcomes[VERDICT_DONE],
		       row.outcomes[VERDICT_NOT_RUN],
		       row.outcomes[VERDICT_FAILED],
		       row.outcomes[VERDICT_UNKNOWN],
		       row.outcomes[VERDICT_NO_OUTCOME], row.ttft[0],
		       row.ttft[1], row.ttft[2]);
	}
}

int main(int argc, char **argv)
{
	GOptionContext *ctx = g_option_context_new("- load with checks");
	struct verdict v = { .slack_ms = DEADLINE_SLACK_MS };
	GError *err = NULL;

	fake_ignore_sigpipe();
	g_option_context_add_main_entries(ctx, options, NULL);
	if (!g_option_context_parse(ctx, &argc, &argv, &err)) {
		fprintf(stderr, "load: %s\n", err->message);
		return 2;
	}
	g_option_context_free(ctx);
	gen.rand = g_rand_new_with_seed((guint32)opt.seed);
	gen.results = g_ptr_array_new_with_free_func(g_free);
	gen.filler = g_string_new(NULL);
	if (read_classes() < 0 || read_entries() < 0) {
		fprintf(stderr, "load: invalid options; see --help\n");
		return 2;
	}
	run();
	wait_for_memory_release(&v);
	for (char **p = opt.check; p && *p; p++) {
		if (verdict_read_execution_log(&v, *p) < 0) {
			fprintf(stderr, "load: cannot read %s\n", *p);
			return 2;
		}
	}
	if (opt.away && verdict_read_outages(&v, opt.away) < 0) {
		fprintf(stderr, "load: cannot read %s\n", opt.away);
		return 2;
	}
	verdict_check(&v, gen.results);
	if (!opt.quiet)
		print_table();
	if (opt.promises)
		verdict_print(&v, stdout);
	if (write_results() < 0)
		return 2;
	verdict_print_violations(&v, stderr);
	return enough_done() && verdict_passed(&v) ? 0 : 1;
}
