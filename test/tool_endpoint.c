/*
 * Fake endpoint: a model engine or a plain service that simulates processing
 * time and memory, shows faults on command and records every execution.  The
 * protocol is described in daisyledge-endpoint(7).
 */
#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <inttypes.h>
#include <jansson.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <uv.h>

#include "fake/answer.h"
#include "fake/endless.h"
#include "fake/ending.h"
#include "fake/engine.h"
#include "fake/http.h"
#include "fake/long.h"
#include "fake/sign.h"

#define STEP_MS		   4
#define ANNOUNCE_MS	   500
#define ANNOUNCE_TRIES	   4
#define CALL_MS		   400
#define RESPONSE_KEEP_MS   5000 /* how long a response is resumable */
#define DETACHED_RUN_MS	   2000 /* how long to run without a client */
#define LEAVING_ACCEPT_MS  2000 /* accept requests after leaving */
#define LEAVING_MIN_MS	   2500
#define CACHE_ENTRIES	   64
#define EVENT_LOSS	   0.05 /* of cache events, as real engines do */
#define EVENTS_HELD	   256
#define GROUP_MAX	   8
#define HOLD_LEASE_MS	   2000
#define HOLD_RENEW_MS	   600
#define FAULT_AFTER_TOKENS 4
#define PENDING_BYTES_MAX  (256u << 10) /* unsent data per stream */
#define CHUNK_MAX	   512
#define SSE_HEADERS	   3

enum fault {
	FAULT_NONE,
	FAULT_DIE_FIRST,
	FAULT_DIE_MIDSTREAM,
	FAULT_SILENT_HEAD,
	FAULT_SILENT_MIDSTREAM,
	FAULT_NOT_RUN,
	FAULT_BUSY,
	FAULT_GARBLE,
	FAULT_ERROR,
	FAULT_INVALID,
	FAULT_MISREPORT_LOAD,
	FAULT_CUT_ORDER,
	FAULT_ENDLESS_CANCEL,
	FAULT_ENDLESS_TEXT,
	FAULT_COUNT
};

static const char *const fault_names[FAULT_COUNT] = {
	[FAULT_NONE] = "none",
	[FAULT_DIE_FIRST] = "die-first",
	[FAULT_DIE_MIDSTREAM] = "die-midstream",
	[FAULT_SILENT_HEAD] = "silent-head",
	[FAULT_SILENT_MIDSTREAM] = "silent-midstream",
	[FAULT_NOT_RUN] = "not-run",
	[FAULT_BUSY] = "busy",
	[FAULT_GARBLE] = "garble",
	[FAULT_ERROR] = "error",
	[FAULT_INVALID] = "invalid",
	[FAULT_MISREPORT_LOAD] = "lie-load",
	[FAULT_CUT_ORDER] = "cut-order",
	[FAULT_ENDLESS_CANCEL] = "endless-cancel",
	[FAULT_ENDLESS_TEXT] = "endless-text",
};

/* Of one event of an endless completion. */
#define ENDLESS_TEXT_BYTES 60000

/* One request, until its response is no longer kept for resumption. */
struct job {
	char *id;
	char *key;
	char *path;
	uint64_t hash;
	uint64_t prefix;
	struct fake_seq seq;
	struct fake_request *reply; /* NULL without a client */
	int pad; /* spaces behind the answer of a plain service */
	bool plain;
	bool stream;
	bool ended; /* completed or stopped; its memory is released */
	bool complete;
	bool silenced; /* by a fault: nothing more is written */
	bool head_sent;
	uint64_t written;    /* tokens written to this reply */
	int64_t until;	     /* plain: reply time; ended: expiry */
	int64_t detached_at; /* when the client disconnected */
	int holds_pending;   /* members that have not answered a hold */
	bool refused;	     /* by a member of the group */
	int members;
	uint64_t member[GROUP_MAX];
	uint64_t share[GROUP_MAX];
	int64_t renew_at;
};

struct hold {
	uint64_t tokens;
	int64_t until;
};

/* A call for an announcement or to a member of a group. */
struct call {
	GString *body;
	struct job *job;
	int tries;
	int status;
	uint64_t to;
};

static struct {
	uv_loop_t *loop;
	uv_timer_t step;
	uv_timer_t announce;
	uv_signal_t term;
	struct fake_server *server;
	struct fake_engine engine;
	GHashTable *jobs;  /* id to job */
	GHashTable *holds; /* id to hold */
	GHashTable *cache; /* prefix to tokens */
	GQueue *cache_order;
	json_t *events;
	json_t *models;
	char version[64], role[64]; /* set by the last order */
	GRand *rand;
	uint64_t self;
	uint64_t advertised; /* address for clients */
	uint64_t incarnation;
	uint64_t fence;
	GArray *entries;
	enum fault fault;
	int fault_times; /* remaining triggers; -1: unlimited */
	uint32_t running_plain;
	int64_t leaving_at;
	double last_step;
	int record;
	struct dl_key key; /* signs announcements; n is 0 if unset */
	bool announcing;   /* an announcement is in progress */
} state;

static struct {
	char *listen;
	char *advertise;
	char *entries;
	char *service;
	char *domain;
	char *models;
	char *record;
	char *key_file;
	char *fault;
	char *endings;
	char *cut;
	int fault_times;
	gboolean plain;
	gboolean ignores_fencing;
	gboolean no_groups;
	int memory;
	int slots;
	int prefill_rate;
	int decode_rate;
	int service_ms;
	double slow;
	int seed;
} opt = {
	.service = "match-writer",
	.domain = "medeu-hall",
	.models = "match-7b",
	.fault_times = -1,
	.memory = 400000,
	.slots = 64,
	.prefill_rate = 400000,
	.decode_rate = 200,
	.service_ms = 5,
	.slow = 1.0,
	.seed = 1,
};

static const GOptionEntry options[] = {
	{ "listen", 0, 0, G_OPTION_ARG_STRING, &opt.listen,
	  "address to serve HTTP on", "IP:PORT" },
	{ "advertise", 0, 0, G_OPTION_ARG_STRING, &opt.advertise,
	  "address to announce, if different", "IP:PORT" },
	{ "entries", 0, 0, G_OPTION_ARG_STRING, &opt.entries,
	  "entries to announce to", "IP:PORT,..." },
	{ "service", 0, 0, G_OPTION_ARG_STRING, &opt.service, "service name",
	  "NAME" },
	{ "domain", 0, 0, G_OPTION_ARG_STRING, &opt.domain, "failure domain",
	  "NAME" },
	{ "models", 0, 0, G_OPTION_ARG_STRING, &opt.models, "loaded models",
	  "NAME,..." },
	{ "plain", 0, 0, G_OPTION_ARG_NONE, &opt.plain,
	  "a plain service instead of an engine", NULL },
	{ "memory", 0, 0, G_OPTION_ARG_INT, &opt.memory, "KV memory",
	  "TOKENS" },
	{ "slots", 0, 0, G_OPTION_ARG_INT, &opt.slots, "concurrent requests",
	  "N" },
	{ "prefill-rate", 0, 0, G_OPTION_ARG_INT, &opt.prefill_rate,
	  "tokens per second", "N" },
	{ "decode-rate", 0, 0, G_OPTION_ARG_INT, &opt.decode_rate,
	  "tokens per second and stream", "N" },
	{ "service-ms", 0, 0, G_OPTION_ARG_INT, &opt.service_ms,
	  "duration of a plain request", "MS" },
	{ "slow", 0, 0, G_OPTION_ARG_DOUBLE, &opt.slow, "slow down by",
	  "FACTOR" },
	{ "record", 0, 0, G_OPTION_ARG_STRING, &opt.record,
	  "append each execution to", "FILE" },
	{ "key-file", 0, 0, G_OPTION_ARG_FILENAME, &opt.key_file,
	  "sign announcements with the key in", "FILE" },
	{ "fault", 0, 0, G_OPTION_ARG_STRING, &opt.fault, "fault to simulate",
	  "NAME" },
	{ "fault-times", 0, 0, G_OPTION_ARG_INT, &opt.fault_times,
	  "how often to simulate it; -1 for always", "N" },
	{ "endings", 0, 0, G_OPTION_ARG_FILENAME, &opt.endings,
	  "end responses as requests say, with the state in", "FOLDER" },
	{ "cut", 0, 0, G_OPTION_ARG_STRING, &opt.cut,
	  "where the fault cut-order ends the response to an order that it does "
	  "not carry out (fake/ending.h), or endless",
	  "TEXT" },
	{ "ignores-fencing", 0, 0, G_OPTION_ARG_NONE, &opt.ignores_fencing,
	  "accept orders with outdated fences", NULL },
	{ "no-groups", 0, 0, G_OPTION_ARG_NONE, &opt.no_groups,
	  "do not join groups that share a prompt", NULL },
	{ "seed", 0, 0, G_OPTION_ARG_INT, &opt.seed, "random seed", "N" },
	{ NULL },
};

static void hold_members(struct job *job, bool renew);
static void announce(int tries);

static int64_t now_ms(void)
{
	return (int64_t)uv_now(state.loop);
}

static char *dup_str(struct dl_str s)
{
	return g_strndup(s.s, s.n);
}

/* Copies a string as one word, for a line of the record. */
static char *dup_token(struct dl_str s)
{
	return g_strdelimit(dup_str(s), " \t\r\n", '_');
}

/* Appends a line to the record in one write; other endpoints share the file. */
static void record(char kind, const struct job *job, const char *note)
{
	char line[512];
	char self[24];
	int64_t left = state.leaving_at ? now_ms() - state.leaving_at : -1;
	int n;

	if (state.record < 0)
		return;
	n = snprintf(line, sizeof(line),
		     "%c %" PRId64 " %s %.64s %.64s %016" PRIx64
		     " %.64s %" PRId64 " %s\n",
		     kind, g_get_real_time() / 1000,
		     dl_vm_text(state.self, self), job->id, job->key, job->hash,
		     job->path, left, note);
	if (write(state.record, line, (size_t)n) != n)
		abort();
}

/* Reports whether a fault is due now, and counts it down. */
static bool fault_triggers(enum fault fault)
{
	if (state.fault != fault || state.fault_times == 0)
		return false;
	if (state.fault_times > 0)
		state.fault_times--;
	return true;
}

static const struct fake_header json_headers[] = {
	{ "Content-Type", "application/json" },
	{ NULL, NULL },
};
static const struct fake_header sse_headers[] = {
	{ "Content-Type", "text/event-stream" },
	{ "Cache-Control", "no-cache" },
	{ NULL, NULL },
};
static const struct fake_header not_run_headers[] = {
	{ "Content-Type", "application/json" },
	{ "Daisyledge-Not-Run", "yes" },
	{ NULL, NULL },
};

/* Rejection of a busy endpoint, with the time to retry after. */
static const struct fake_header busy_headers[] = {
	{ "Content-Type", "application/json" },
	{ "Daisyledge-Not-Run", "yes" },
	{ "Retry-After", "2" },
	{ NULL, NULL },
};

static void reply_json(struct fake_request *req, int status, json_t *body)
{
	char *s = json_dumps(body, JSON_COMPACT);

	fake_reply(req, status, json_headers, dl_str_of(s));
	free(s);
	json_decref(body);
}

static void reply_not_run(struct fake_request *req, int status, const char *why)
{
	char body[128];

	snprintf(body, sizeof(body), "{\"error\":{\"reason\":\"%s\"}}", why);
	fake_reply(req, status, not_run_headers, dl_str_of(body));
}

/* Load reports and announcements. */

static json_t *held_memory_json(void)
{
	json_t *list = json_array();
	GHashTableIter it;
	gpointer key, value;

	g_hash_table_iter_init(&it, state.jobs);
	while (g_hash_table_iter_next(&it, &key, &value)) {
		struct job *job = value;

		if (!job->ended && !job->plain)
			json_array_append_new(
				list,
				json_pack("{s:s,s:I}", "request", key, "tokens",
					  (json_int_t)job->seq.held_tokens));
	}
	g_hash_table_iter_init(&it, state.holds);
	while (g_hash_table_iter_next(&it, &key, &value)) {
		struct hold *h = value;

		json_array_append_new(list, json_pack("{s:s,s:I}", "request",
						      key, "tokens",
						      (json_int_t)h->tokens));
	}
	return list;
}

static json_t *load_json(bool actual)
{
	char self[24];
	bool misreport = !actual && state.fault == FAULT_MISREPORT_LOAD;
	uint32_t running = opt.plain ? state.running_plain :
				       state.engine.seqs->len;
	uint64_t used = state.engine.used_tokens;
	uint64_t backlog = fake_engine_backlog(&state.engine);
	json_t *o = json_object();

	if (misreport)
		running = 0, used = 0, backlog = 0;
	json_object_set_new(o, "service", json_string(opt.service));
	json_object_set_new(o, "address",
			    json_string(dl_vm_text(state.advertised, self)));
	json_object_set_new(o, "failure_domain", json_string(opt.domain));
	json_object_set_new(o, "incarnation",
			    json_integer((json_int_t)state.incarnation));
	json_object_set_new(o, "memory_tokens",
			    json_integer(opt.plain ? 0 : opt.memory));
	json_object_set_new(o, "used_tokens", json_integer((json_int_t)used));
	json_object_set_new(o, "slots", json_integer(opt.slots));
	json_object_set_new(o, "running", json_integer(running));
	json_object_set_new(o, "prefill_rate",
			    json_integer(opt.plain ? 0 : opt.prefill_rate));
	json_object_set_new(o, "decode_rate",
			    json_integer(opt.plain ? 0 : opt.decode_rate));
	json_object_set_new(o, "prefill_backlog",
			    json_integer((json_int_t)backlog));
	json_object_set(o, "models", state.models);
	json_object_set_new(o, "leaving", json_boolean(state.leaving_at != 0));
	json_object_set_new(o, "takes_groups",
			    json_boolean(!opt.plain && !opt.no_groups));
	json_object_set_new(o, "order_fence",
			    json_integer((json_int_t)state.fence));
	if (state.version[0])
		json_object_set_new(o, "version", json_string(state.version));
	if (state.role[0])
		json_object_set_new(o, "role", json_string(state.role));
	return o;
}

static void call_free(struct call *c)
{
	g_string_free(c->body, TRUE);
	g_free(c);
}

static void call_head(void *arg, int status, struct dl_str head)
{
	((struct call *)arg)->status = status;
}

static void call_body(void *arg, struct dl_str piece)
{
	g_string_append_len(((struct call *)arg)->body, piece.s,
			    (gssize)piece.n);
}

static void on_announce_timer(uv_timer_t *timer)
{
	announce(ANNOUNCE_TRIES);
}

static void on_announced(void *arg, enum fake_end end)
{
	struct call *c = arg;
	json_int_t every = ANNOUNCE_MS;
	json_t *o;

	state.announcing = false;
	if ((end != FAKE_END_COMPLETE || c->status != 200) && c->tries > 1) {
		announce(c->tries - 1);
		call_free(c);
		return;
	}
	o = json_loadb(c->body->str, c->body->len, 0, NULL);
	if (o && json_object_get(o, "announce_every_ms"))
		every = json_integer_value(
			json_object_get(o, "announce_every_ms"));
	json_decref(o);
	call_free(c);
	if (every < 1)
		every = ANNOUNCE_MS;
	uv_timer_start(&state.announce, on_announce_timer, (uint64_t)every, 0);
}

/* Signs an announcement if a key is set. */
static void sign_announcement(struct fake_call_req *req,
			      struct fake_header headers[3],
			      char signature[DL_SIGNATURE_MAX])
{
	if (state.key.n == 0 || fake_sign(&state.key, req, 0, signature))
		return;
	headers[0] = json_headers[0];
	headers[1] = (struct fake_header){ "Daisyledge-Signature", signature };
	headers[2] = (struct fake_header){ NULL, NULL };
	req->headers = headers;
}

/* Announces the state to a random entry, as through a load balancer. */
static void announce(int tries)
{
	static const struct fake_call_ops ops = { call_head, call_body,
						  on_announced };
	struct fake_call_req req = { .method = "POST",
				     .path = "/v1/endpoints",
				     .headers = json_headers,
				     .connect_ms = CALL_MS,
				     .timeout_ms = CALL_MS };
	struct fake_header headers[3];
	char signature[DL_SIGNATURE_MAX];
	struct call *c;
	json_t *o;
	char *s;

	if (state.entries->len == 0 || state.announcing)
		return;
	state.announcing = true;
	c = g_new0(struct call, 1);
	c->body = g_string_new(NULL);
	c->tries = tries;
	o = load_json(false);
	json_object_set(o, "cache_events", state.events);
	json_array_clear(state.events);
	s = json_dumps(o, JSON_COMPACT);
	req.body = dl_str_of(s);
	req.address = g_array_index(state.entries, uint64_t,
				    g_rand_int_range(state.rand, 0,
						     (gint)state.entries->len));
	sign_announcement(&req, headers, signature);
	fake_call_start(state.loop, &req, &ops, c);
	free(s);
	json_decref(o);
}

/* Prefix cache: a cached prefix does not need prefilling again. */

static void cache_event(uint64_t prefix, uint64_t tokens, bool evicted)
{
	char hex[17];

	if (json_array_size(state.events) >= EVENTS_HELD ||
	    g_rand_double(state.rand) < EVENT_LOSS)
		return;
	snprintf(hex, sizeof(hex), "%016" PRIx64, prefix);
	json_array_append_new(state.events,
			      json_pack("{s:s,s:I,s:b}", "prefix", hex,
					"tokens", (json_int_t)tokens, "evicted",
					evicted));
}

static void cache_put(uint64_t prefix, uint64_t tokens)
{
	uint64_t *key;

	if (g_hash_table_contains(state.cache, &prefix))
		return;
	key = g_memdup2(&prefix, sizeof(prefix));
	g_hash_table_insert(state.cache, key, GSIZE_TO_POINTER((gsize)tokens));
	g_queue_push_tail(state.cache_order, key);
	cache_event(prefix, tokens, false);
	if (g_queue_get_length(state.cache_order) > CACHE_ENTRIES) {
		key = g_queue_pop_head(state.cache_order);
		cache_event(*key, 0, true);
		g_hash_table_remove(state.cache, key);
	}
}

static uint64_t cache_get(uint64_t prefix)
{
	return GPOINTER_TO_SIZE(g_hash_table_lookup(state.cache, &prefix));
}

/* Jobs. */

static void job_free(gpointer p)
{
	struct job *job = p;

	if (job->reply) {
		fake_request_set_owner(job->reply, NULL);
		fake_reply_abort(job->reply);
	}
	g_free(job->id);
	g_free(job->key);
	g_free(job->path);
	g_free(job);
}

static void member_call_end(void *arg, enum fake_end end)
{
	call_free(arg);
}

static void release_members(struct job *job)
{
	static const struct fake_call_ops ops = { call_head, call_body,
						  member_call_end };
	char *path = g_strdup_printf("/v1/kv/hold/%s", job->id);

	for (int i = 0; i < job->members; i++) {
		struct fake_call_req req = { .address = job->member[i],
					     .method = "DELETE",
					     .path = path,
					     .connect_ms = CALL_MS,
					     .timeout_ms = CALL_MS };
		struct call *c = g_new0(struct call, 1);

		c->body = g_string_new(NULL);
		fake_call_start(state.loop, &req, &ops, c);
	}
	job->members = 0;
	g_free(path);
}

/* Ends a request for any reason; the only place that releases its memory. */
static void job_end(struct job *job, const char *note)
{
	if (job->ended)
		return;
	job->ended = true;
	job->complete = strcmp(note, "whole") == 0;
	job->until = now_ms() + RESPONSE_KEEP_MS;
	if (job->plain)
		state.running_plain--;
	else
		fake_engine_end(&state.engine, &job->seq);
	release_members(job);
	record('E', job, note);
}

static void detach(struct job *job)
{
	if (job->reply)
		fake_request_set_owner(job->reply, NULL);
	job->reply = NULL;
	job->detached_at = now_ms();
}

static void write_chunk(struct job *job, uint64_t i)
{
	char chunk[CHUNK_MAX];
	int n;

	n = snprintf(chunk, sizeof(chunk),
		     "data: {\"id\":\"%.64s\",\"index\":%" PRIu64
		     ",\"choices\":[{\"text\":\"%s\"}]}\n\n",
		     job->id, i, fake_answer_token(job->hash, i));
	fake_reply_write(job->reply, (struct dl_str){ chunk, (size_t)n });
}

static void write_last(struct job *job)
{
	char chunk[CHUNK_MAX];
	int n;

	n = snprintf(chunk, sizeof(chunk),
		     "data: {\"id\":\"%.64s\",\"index\":%" PRIu64
		     ",\"choices\":[{\"text\":\"\",\"finish_reason\":"
		     "\"length\"}],\"usage\":{\"prompt_tokens\":%" PRIu64
		     ",\"completion_tokens\":%" PRIu64 "}}\n\ndata: [DONE]\n\n",
		     job->id, job->written, job->seq.prompt_tokens,
		     job->seq.output_tokens);
	fake_reply_write(job->reply, (struct dl_str){ chunk, (size_t)n });
}

static void reply_text(struct job *job)
{
	GString *text = g_string_new(NULL);
	struct fake_request *reply = job->reply;
	json_t *o;

	for (uint64_t i = 0; i < job->seq.output_tokens; i++)
		g_string_append(text, fake_answer_token(job->hash, i));
	o = json_pack("{s:s,s:[{s:s}],s:{s:I,s:I}}", "id", job->id, "choices",
		      "text", text->str, "usage", "prompt_tokens",
		      (json_int_t)job->seq.prompt_tokens, "completion_tokens",
		      (json_int_t)job->seq.output_tokens);
	detach(job);
	reply_json(reply, 200, o);
	g_string_free(text, TRUE);
}

/* Applies the faults that occur while a stream is written. */
static void apply_stream_fault(struct job *job)
{
	if (job->written == 0 && fault_triggers(FAULT_DIE_FIRST))
		_exit(1);
	if (job->written == FAULT_AFTER_TOKENS &&
	    fault_triggers(FAULT_DIE_MIDSTREAM))
		_exit(1);
	if (job->written == 0 && fault_triggers(FAULT_SILENT_HEAD))
		job->silenced = true;
	if (job->written == FAULT_AFTER_TOKENS &&
	    fault_triggers(FAULT_SILENT_MIDSTREAM))
		job->silenced = true;
	if (job->written == FAULT_AFTER_TOKENS && fault_triggers(FAULT_GARBLE))
		fake_reply_write(job->reply,
				 DL_STR("data: {\"id\":\"another\",\"index\":0,"
					"\"choices\":[{\"text\":\" wrong\"}]}"
					"\n\ndata: \001{]]\n\n"));
}

/* Writes the tokens that are ready. */
static void pump_stream(struct job *job)
{
	uint64_t ready = fake_seq_ready(&job->seq);

	while (job->reply && !job->silenced && job->written < ready &&
	       fake_reply_pending(job->reply) < PENDING_BYTES_MAX) {
		if (!job->head_sent) {
			job->head_sent = true;
			fake_reply_begin(job->reply, 200, sse_headers);
		}
		apply_stream_fault(job);
		if (job->silenced)
			return;
		write_chunk(job, job->written);
		job->written++;
	}
	if (ready < job->seq.output_tokens)
		return;
	job_end(job, "whole");
	if (job->reply && !job->silenced && job->written == ready) {
		struct fake_request *reply = job->reply;

		if (!job->head_sent)
			fake_reply_begin(reply, 200, sse_headers);
		write_last(job);
		detach(job);
		fake_reply_end(reply);
	}
}

static void pump_model(struct job *job, int64_t now)
{
	if (job->holds_pending)
		return;
	if (job->members && now >= job->renew_at)
		hold_members(job, true);
	if (job->stream) {
		pump_stream(job);
	} else if (fake_seq_ready(&job->seq) == job->seq.output_tokens) {
		if (job->reply && fault_triggers(FAULT_DIE_FIRST))
			_exit(1);
		if (job->reply && fault_triggers(FAULT_SILENT_HEAD))
			job->silenced = true;
		job_end(job, "whole");
		if (job->reply && !job->silenced)
			reply_text(job);
	}
	if (!job->ended && !job->reply &&
	    now - job->detached_at > DETACHED_RUN_MS)
		job_end(job, "unread");
}

static void pump_plain(struct job *job, int64_t now)
{
	struct fake_request *reply = job->reply;
	GString *text;

	if (now < job->until)
		return;
	if (fault_triggers(FAULT_DIE_FIRST) ||
	    fault_triggers(FAULT_DIE_MIDSTREAM))
		_exit(1);
	if (fault_triggers(FAULT_SILENT_HEAD))
		job->silenced = true;
	job_end(job, "whole");
	if (!reply || job->silenced)
		return;
	text = g_string_new(NULL);
	g_string_printf(text, "{\"answer\":\"%016" PRIx64 "\"}%*s\n", job->hash,
			job->pad, "");
	detach(job);
	fake_reply(reply, 200, json_headers,
		   (struct dl_str){ text->str, text->len });
	g_string_free(text, TRUE);
}

/* Returns how many spaces a call asks for behind its answer: ?pad=N. */
static int padding_of(struct fake_request *req)
{
	char *query = dup_str(fake_request_query(req));
	const char *pad = strstr(query, "pad=");
	int n = pad ? atoi(pad + strlen("pad=")) : 0;

	g_free(query);
	return n;
}

static void expire_holds(int64_t now)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, state.holds);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct hold *h = value;

		if (now < h->until)
			continue;
		fake_engine_free_tokens(&state.engine, h->tokens);
		g_hash_table_iter_remove(&it);
	}
}

/* Exits once idle, after time for the announcement to reach all entries. */
static void exit_if_drained(int64_t now)
{
	GHashTableIter it;
	gpointer value;

	if (!state.leaving_at || now - state.leaving_at < LEAVING_MIN_MS)
		return;
	g_hash_table_iter_init(&it, state.jobs);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		if (!((struct job *)value)->ended)
			return;
	}
	if (g_hash_table_size(state.holds) == 0)
		exit(0);
}

static void on_step(uv_timer_t *timer)
{
	double t = (double)uv_hrtime() / 1e6;
	int64_t now = now_ms();
	GHashTableIter it;
	gpointer value;

	fake_engine_step(&state.engine, t - state.last_step);
	state.last_step = t;
	g_hash_table_iter_init(&it, state.jobs);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct job *job = value;

		if (job->ended && job->reply && !job->silenced)
			pump_stream(job);
		else if (job->ended && now >= job->until)
			g_hash_table_iter_remove(&it);
		else if (!job->ended && job->plain)
			pump_plain(job, now);
		else if (!job->ended)
			pump_model(job, now);
	}
	expire_holds(now);
	exit_if_drained(now);
}

/* Requests. */

static struct job *job_new(struct fake_request *req, bool plain)
{
	struct job *job = g_new0(struct job, 1);
	struct dl_str id = fake_request_header(req, "daisyledge-request");
	struct dl_str key = fake_request_header(req, "idempotency-key");

	job->plain = plain;
	job->id = id.n ? dup_token(id) :
			 g_strdup_printf("direct-%08x%08x",
					 g_rand_int(state.rand),
					 g_rand_int(state.rand));
	job->key = key.n ? dup_token(key) : g_strdup("-");
	job->path = dup_token(fake_request_path(req));
	job->reply = req;
	fake_request_set_owner(req, job);
	return job;
}

/* Rejects a request before execution, and records that. */
static void job_reject(struct job *job, const char *why)
{
	struct fake_request *req = job->reply;

	record('X', job, why);
	detach(job);
	reply_not_run(req, 503, why);
	job_free(job);
}

static bool reject_early(struct job *job)
{
	if (fault_triggers(FAULT_INVALID)) {
		struct fake_request *req = job->reply;

		detach(job);
		fake_reply(req, 422, json_headers, DL_STR("{}"));
		job_free(job);
		return true;
	}
	if (fault_triggers(FAULT_BUSY)) {
		struct fake_request *req = job->reply;

		record('X', job, "busy");
		detach(job);
		fake_reply(req, 503, busy_headers, DL_STR("{}"));
		job_free(job);
		return true;
	}
	if (fault_triggers(FAULT_NOT_RUN)) {
		job_reject(job, "fault");
		return true;
	}
	if (state.leaving_at &&
	    now_ms() - state.leaving_at > LEAVING_ACCEPT_MS) {
		job_reject(job, "leaving");
		return true;
	}
	if (fault_triggers(FAULT_ERROR)) {
		struct fake_request *req = job->reply;

		record('B', job, "error");
		record('E', job, "error");
		detach(job);
		fake_reply(req, 500, json_headers,
			   DL_STR("{\"error\":{\"reason\":\"fault\"}}"));
		job_free(job);
		return true;
	}
	return false;
}

static void job_register(struct job *job)
{
	struct job *old = g_hash_table_lookup(state.jobs, job->id);

	if (old)
		job_end(old, "replaced");
	g_hash_table_replace(state.jobs, job->id, job);
}

static void start_model(struct job *job)
{
	if (fake_engine_begin(&state.engine, &job->seq) < 0) {
		release_members(job);
		job_reject(job, "memory");
		return;
	}
	record('B', job, "begun");
	if (job->prefix)
		cache_put(job->prefix, FAKE_PREFIX_BYTES / FAKE_TOKEN_BYTES);
	job_register(job);
}

/* A member of the group has answered the request to hold memory. */
static void on_member_held(void *arg, enum fake_end end)
{
	struct call *c = arg;
	struct job *job = c->job;

	if (job) {
		job->holds_pending--;
		if (end != FAKE_END_COMPLETE || c->status != 200)
			job->refused = true;
		if (job->holds_pending == 0 && (job->refused || !job->reply)) {
			release_members(job);
			if (job->reply)
				job_reject(job, "group");
			else
				job_free(job);
		} else if (job->holds_pending == 0) {
			start_model(job);
		}
	}
	call_free(c);
}

static void hold_member(struct job *job, int i, bool renew)
{
	static const struct fake_call_ops ops = { call_head, call_body,
						  on_member_held };
	json_t *o = json_pack("{s:s,s:I,s:i}", "request", job->id, "tokens",
			      (json_int_t)job->share[i], "lease_ms",
			      HOLD_LEASE_MS);
	char *s = json_dumps(o, JSON_COMPACT);
	struct fake_call_req req = { .address = job->member[i],
				     .method = "POST",
				     .path = "/v1/kv/hold",
				     .headers = json_headers,
				     .body = dl_str_of(s),
				     .connect_ms = CALL_MS,
				     .timeout_ms = CALL_MS };
	struct call *c = g_new0(struct call, 1);

	c->body = g_string_new(NULL);
	c->job = renew ? NULL : job;
	fake_call_start(state.loop, &req, &ops, c);
	free(s);
	json_decref(o);
}

/*
 * Asks the members to hold their shares, or renews the holds.  Holds are
 * leases, so that they expire if this endpoint dies.
 */
static void hold_members(struct job *job, bool renew)
{
	job->renew_at = now_ms() + HOLD_RENEW_MS;
	if (!renew)
		job->holds_pending = job->members;
	for (int i = 0; i < job->members; i++)
		hold_member(job, i, renew);
}

/* Reads the other members of the group; returns the sum of their shares. */
static uint64_t read_group(struct job *job, const json_t *group)
{
	size_t n = json_array_size(group);
	uint64_t sum = 0;

	for (size_t i = 0; i < n && job->members < GROUP_MAX; i++) {
		const json_t *o = json_array_get(group, i);
		const char *s =
			json_string_value(json_object_get(o, "address"));
		json_int_t tokens =
			json_integer_value(json_object_get(o, "tokens"));
		uint64_t vm;

		if (!s || !dl_vm_parse(dl_str_of(s), &vm) || tokens <= 0 ||
		    vm == state.advertised)
			continue;
		job->member[job->members] = vm;
		job->share[job->members] = (uint64_t)tokens;
		job->members++;
		sum += (uint64_t)tokens;
	}
	return sum;
}

static void read_completion(struct job *job, const json_t *o)
{
	const json_t *prompt = json_object_get(o, "prompt");
	json_int_t max = json_integer_value(json_object_get(o, "max_tokens"));
	struct dl_str text = { json_string_value(prompt),
			       json_string_length(prompt) };
	struct dl_str start = text;
	uint64_t total, others;

	if (start.n > FAKE_PREFIX_BYTES)
		start.n = FAKE_PREFIX_BYTES;
	job->hash = fake_hash(text);
	job->prefix = start.n == FAKE_PREFIX_BYTES ? fake_hash(start) : 0;
	job->stream = json_is_true(json_object_get(o, "stream"));
	job->seq.priority =
		(int)json_integer_value(json_object_get(o, "priority"));
	job->seq.prompt_tokens = fake_tokens(text);
	job->seq.output_tokens = max > 0 ? (uint64_t)max : 1;
	others = read_group(job, json_object_get(o, "group"));
	job->seq.engines = (uint32_t)job->members + 1;
	total = job->seq.prompt_tokens + job->seq.output_tokens;
	job->seq.held_tokens = total > others ? total - others : 1;
	job->seq.prefilled = (double)cache_get(job->prefix);
	if (job->seq.prefilled >= (double)job->seq.prompt_tokens)
		job->seq.prefilled = (double)job->seq.prompt_tokens - 1;
}

/* Resumes a stream that was kept, from a token offset. */
static void serve_resume(struct fake_request *req, struct dl_str offset)
{
	struct dl_str id = fake_request_header(req, "daisyledge-request");
	char *key = dup_str(id);
	struct job *job = g_hash_table_lookup(state.jobs, key);
	uint64_t at = 0;
	bool complete;

	g_free(key);
	if (!job || (job->ended && !job->complete) ||
	    !dl_str_to_u64(offset, &at) || at > job->seq.output_tokens) {
		reply_not_run(req, 404, "unknown");
		return;
	}
	if (job->reply) {
		struct fake_request *old = job->reply;

		detach(job);
		fake_reply_abort(old);
	}
	job->reply = req;
	job->silenced = false;
	job->head_sent = true;
	job->written = at;
	fake_request_set_owner(req, job);
	fake_reply_begin(req, 200, sse_headers);
	complete = job->ended;
	pump_stream(job);
	if (complete)
		job->until = now_ms() + RESPONSE_KEEP_MS;
}

/* Answers with whole events of a completion that has no end. */
static void serve_endless_text(struct fake_request *req)
{
	static GString *event;

	if (!event) {
		event = g_string_new("data: {\"choices\":[{\"text\":\"");
		for (int i = 0; i < ENDLESS_TEXT_BYTES; i++)
			g_string_append_c(event, 'x');
		g_string_append(event, "\"}]}\n\n");
	}
	fake_endless_begin(state.loop, req,
			   (struct dl_str){ event->str, event->len }, NULL);
}

static void serve_completion(struct fake_request *req)
{
	struct dl_str body = fake_request_body(req);
	struct dl_str offset =
		fake_request_header(req, "daisyledge-resume-offset");
	struct job *job;
	json_t *o;

	if (fault_triggers(FAULT_ENDLESS_TEXT)) {
		serve_endless_text(req);
		return;
	}
	if (offset.n) {
		serve_resume(req, offset);
		return;
	}
	o = json_loadb(body.s, body.n, JSON_ALLOW_NUL, NULL);
	if (!o || !json_is_string(json_object_get(o, "prompt"))) {
		json_decref(o);
		reply_not_run(req, 400, "prompt");
		return;
	}
	job = job_new(req, false);
	read_completion(job, o);
	json_decref(o);
	if (reject_early(job))
		return;
	if (job->members)
		hold_members(job, false);
	else
		start_model(job);
}

static void serve_plain(struct fake_request *req)
{
	struct job *job = job_new(req, true);
	struct dl_str body = fake_request_body(req);

	job->hash = fake_hash(body.n ? body : fake_request_query(req));
	if (reject_early(job))
		return;
	if (state.running_plain >= (uint32_t)opt.slots) {
		job_reject(job, "slots");
		return;
	}
	state.running_plain++;
	job->pad = padding_of(req);
	job->until = now_ms() + (int64_t)(opt.service_ms * opt.slow);
	record('B', job, "begun");
	job_register(job);
	if (opt.service_ms == 0)
		pump_plain(job, now_ms());
}

/* The VM has closed the connection of a cancellation without an end. */
static void cancel_ended(void)
{
	struct job line = { .id = "cancel", .key = "-", .path = "-" };

	record('E', &line, "endless");
}

static void serve_cancel(struct fake_request *req, const char *id)
{
	struct job *job = g_hash_table_lookup(state.jobs, id);

	if (!job) {
		reply_not_run(req, 404, "unknown");
		return;
	}
	job_end(job, "cancelled");
	g_hash_table_remove(state.jobs, id);
	if (fault_triggers(FAULT_ENDLESS_CANCEL)) {
		fake_endless_begin(state.loop, req, DL_STR("more "),
				   cancel_ended);
		return;
	}
	fake_reply(req, 204, NULL, DL_STR(""));
}

static void serve_hold(struct fake_request *req, const json_t *o)
{
	const char *id = json_string_value(json_object_get(o, "request"));
	json_int_t n = json_integer_value(json_object_get(o, "tokens"));
	json_int_t ms = json_integer_value(json_object_get(o, "lease_ms"));
	struct hold *h;

	if (!id || n <= 0 || ms <= 0) {
		reply_not_run(req, 400, "hold");
		return;
	}
	h = g_hash_table_lookup(state.holds, id);
	if (!h) {
		if (state.leaving_at ||
		    fake_engine_hold(&state.engine, (uint64_t)n) < 0) {
			reply_not_run(req, 503, "memory");
			return;
		}
		h = g_new0(struct hold, 1);
		h->tokens = (uint64_t)n;
		g_hash_table_insert(state.holds, g_strdup(id), h);
	}
	h->until = now_ms() + ms;
	reply_json(req, 200, json_pack("{s:I}", "held", (json_int_t)h->tokens));
}

static void serve_hold_free(struct fake_request *req, const char *id)
{
	struct hold *h = g_hash_table_lookup(state.holds, id);

	if (h) {
		fake_engine_free_tokens(&state.engine, h->tokens);
		g_hash_table_remove(state.holds, id);
	}
	fake_reply(req, 204, NULL, DL_STR(""));
}

static void serve_export(struct fake_request *req, const json_t *o)
{
	const char *hex = json_string_value(json_object_get(o, "prefix"));
	uint64_t prefix = hex ? strtoull(hex, NULL, 16) : 0;
	uint64_t tokens = cache_get(prefix);

	if (!tokens) {
		reply_not_run(req, 404, "prefix");
		return;
	}
	reply_json(req, 200,
		   json_pack("{s:s,s:I}", "prefix", hex, "tokens",
			     (json_int_t)tokens));
}

static void serve_import(struct fake_request *req, const json_t *o)
{
	const char *hex = json_string_value(json_object_get(o, "prefix"));
	json_int_t n = json_integer_value(json_object_get(o, "tokens"));

	if (!hex || n <= 0) {
		reply_not_run(req, 400, "prefix");
		return;
	}
	cache_put(strtoull(hex, NULL, 16), (uint64_t)n);
	fake_reply(req, 204, NULL, DL_STR(""));
}

static void copy_string(char word[64], const json_t *value)
{
	if (json_is_string(value))
		g_strlcpy(word, json_string_value(value), 64);
}

/* The leader has closed the connection of an order without an end. */
static void order_ended(void)
{
	struct job line = { .id = "order", .key = "-", .path = "/v1/orders" };

	record('E', &line, opt.cut);
}

/* Order to load a model or change role; an outdated fence is rejected. */
static void serve_order(struct fake_request *req, const json_t *o)
{
	const json_t *fence = json_object_get(o, "fence");
	const char *model = json_string_value(json_object_get(o, "model"));
	uint64_t n = (uint64_t)json_integer_value(fence);
	struct job line = { .id = "order", .key = "-", .path = "/v1/orders" };
	char note[160];

	if (!json_is_integer(fence)) {
		reply_not_run(req, 400, "fence");
		return;
	}
	line.hash = n;
	snprintf(note, sizeof(note), "%.64s", model ? model : "-");
	if (n < state.fence && !opt.ignores_fencing) {
		record('X', &line, note);
		reply_not_run(req, 409, "fence");
		return;
	}
	if (fault_triggers(FAULT_CUT_ORDER)) {
		record('C', &line, opt.cut);
		if (strcmp(opt.cut, "endless") == 0)
			fake_endless_begin(state.loop, req, DL_STR("more "),
					   order_ended);
		else if (!fake_ending_cut(req, opt.cut, 200,
					  DL_STR("{\"fence\": 1}")))
			abort();
		return;
	}
	record('O', &line, note);
	if (n > state.fence)
		state.fence = n;
	if (model) {
		json_array_clear(state.models);
		json_array_append_new(state.models, json_string(model));
	}
	copy_string(state.version, json_object_get(o, "version"));
	copy_string(state.role, json_object_get(o, "role"));
	reply_json(req, 200,
		   json_pack("{s:I}", "fence", (json_int_t)state.fence));
}

static bool set_fault(const char *name, int times)
{
	for (int i = 0; i < FAULT_COUNT; i++) {
		if (name && strcmp(name, fault_names[i]) == 0) {
			state.fault = (enum fault)i;
			state.fault_times = times;
			return true;
		}
	}
	return false;
}

/* Control interface for tests: {"fault":NAME,"times":N,"slow":FACTOR}. */
static void serve_fault(struct fake_request *req, const json_t *o)
{
	const json_t *times = json_object_get(o, "times");
	const json_t *slow = json_object_get(o, "slow");
	const char *name = json_string_value(json_object_get(o, "fault"));

	if (name &&
	    !set_fault(name, times ? (int)json_integer_value(times) : -1)) {
		reply_not_run(req, 400, "fault");
		return;
	}
	if (slow)
		opt.slow = state.engine.conf.slow = json_number_value(slow);
	fake_reply(req, 204, NULL, DL_STR(""));
}

static void serve_load(struct fake_request *req, const json_t *body)
{
	json_t *o = load_json(true);

	json_object_set_new(o, "held", held_memory_json());
	reply_json(req, 200, o);
}

static void serve_model(struct fake_request *req, const json_t *body)
{
	serve_completion(req);
}

struct route {
	const char *method;
	const char *path;
	bool json; /* parse the body as JSON */
	void (*serve)(struct fake_request *req, const json_t *body);
};

static const struct route routes[] = {
	{ "GET", "/v1/load", false, serve_load },
	{ "POST", "/v1/completions", false, serve_model },
	{ "POST", "/v1/kv/hold", true, serve_hold },
	{ "POST", "/v1/kv/export", true, serve_export },
	{ "POST", "/v1/kv/import", true, serve_import },
	{ "POST", "/v1/orders", true, serve_order },
	{ "POST", "/fake/fault", true, serve_fault },
};

#define ROUTES (sizeof(routes) / sizeof(routes[0]))

static void serve_route(const struct route *d, struct fake_request *req)
{
	struct dl_str body = fake_request_body(req);
	json_t *o = NULL;

	if (d->json)
		o = json_loadb(body.s, body.n, 0, NULL);
	d->serve(req, o);
	json_decref(o);
}

static bool serve_delete(struct fake_request *req, const char *path)
{
	if (!dl_str_eq(fake_request_method(req), DL_STR("DELETE")))
		return false;
	if (g_str_has_prefix(path, "/v1/requests/"))
		serve_cancel(req, path + strlen("/v1/requests/"));
	else if (g_str_has_prefix(path, "/v1/kv/hold/"))
		serve_hold_free(req, path + strlen("/v1/kv/hold/"));
	else
		return false;
	return true;
}

/* One event of a completion; the last one is its usage and its end. */
static void completion_event(int n, const char *request, GString *out)
{
	if (n < FAKE_ENDING_EVENTS)
		g_string_append_printf(out,
				       "data: {\"id\":\"%s\",\"index\":%d,"
				       "\"choices\":[{\"text\":\"e%d\"}]}\n\n",
				       request, n - 1, n);
	else
		g_string_append_printf(
			out,
			"data: {\"id\":\"%s\",\"choices\":[{\"text\":\"\"}],"
			"\"usage\":{\"prompt_tokens\":9,"
			"\"completion_tokens\":3}}\n\ndata: [DONE]\n\n",
			request);
}

/* Responds to a request that says how its response ends; false for others. */
static bool serve_ending(struct fake_request *req)
{
	struct dl_str text = opt.plain ? fake_request_path(req) :
					 fake_request_body(req);
	char *id = dup_str(fake_request_header(req, "daisyledge-request"));
	uint64_t after = 0;
	struct fake_ending_conf conf = {
		.folder = opt.endings,
		.event = opt.plain ? fake_ending_numbered : completion_event,
		.headers = opt.plain ? json_headers : sse_headers,
		.request = id,
		.stream = !opt.plain,
	};
	bool served;

	dl_str_to_u64(fake_request_header(req, "daisyledge-resume-offset"),
		      &after);
	if (after && fault_triggers(FAULT_INVALID)) {
		fake_reply(req, 422, json_headers, DL_STR("{}"));
		g_free(id);
		return true;
	}
	conf.after = (int)after;
	served = fake_ending_serve(state.loop, req, text, &conf) ||
		 fake_long_serve(state.loop, req, text, opt.endings,
				 conf.headers);
	g_free(id);
	return served;
}

static void on_request(void *arg, struct fake_request *req)
{
	char *path = dup_str(fake_request_path(req));
	struct dl_str method = fake_request_method(req);
	bool served = serve_delete(req, path) || serve_ending(req);

	for (size_t i = 0; i < ROUTES && !served; i++) {
		const struct route *d = &routes[i];

		if (strcmp(path, d->path) != 0 ||
		    !dl_str_eq(method, dl_str_of(d->method)))
			continue;
		served = true;
		serve_route(d, req);
	}
	if (!served && opt.plain)
		serve_plain(req);
	else if (!served)
		reply_not_run(req, 404, "path");
	g_free(path);
}

static void on_request_closed(void *arg, struct fake_request *req)
{
	struct job *job = fake_request_owner(req);

	if (fake_ending_closed(req) || fake_long_closed(req) || !job)
		return;
	job->reply = NULL;
	job->detached_at = now_ms();
}

static void on_term(uv_signal_t *sig, int number)
{
	const struct job line = { .id = "leaving", .key = "-", .path = "-" };

	if (state.leaving_at)
		exit(1);
	state.leaving_at = now_ms();
	record('L', &line, "leaving");
	fprintf(stderr, "endpoint: leaving\n");
	announce(ANNOUNCE_TRIES);
}

static int parse_addresses(void)
{
	char **all = g_strsplit(opt.entries ? opt.entries : "", ",", -1);
	int rc = 0;

	state.entries = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	for (char **p = all; *p; p++) {
		uint64_t vm;

		if (!**p)
			continue;
		if (dl_vm_parse(dl_str_of(*p), &vm))
			g_array_append_val(state.entries, vm);
		else
			rc = -EINVAL;
	}
	g_strfreev(all);
	if (!opt.listen || !dl_vm_parse(dl_str_of(opt.listen), &state.self))
		rc = -EINVAL;
	state.advertised = state.self;
	if (opt.advertise &&
	    !dl_vm_parse(dl_str_of(opt.advertise), &state.advertised))
		rc = -EINVAL;
	return rc;
}

static void parse_models(void)
{
	char **all = g_strsplit(opt.models, ",", -1);

	state.models = json_array();
	for (char **p = all; *p; p++)
		json_array_append_new(state.models, json_string(*p));
	g_strfreev(all);
}

static int setup(void)
{
	struct fake_engine_conf conf = {
		.memory_tokens = (uint64_t)opt.memory,
		.slots = (uint32_t)opt.slots,
		.prefill_rate = (uint32_t)opt.prefill_rate,
		.decode_rate = (uint32_t)opt.decode_rate,
		.slow = opt.slow,
	};

	if (parse_addresses() < 0 || opt.memory <= 0 || opt.slots <= 0 ||
	    !(opt.slow > 0))
		return -EINVAL;
	parse_models();
	fake_engine_init(&state.engine, &conf);
	state.jobs =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, job_free);
	state.holds =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	state.cache = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
					    NULL);
	state.cache_order = g_queue_new();
	state.events = json_array();
	state.rand = g_rand_new_with_seed((guint32)opt.seed);
	state.incarnation = (uint64_t)g_get_real_time();
	state.last_step = (double)uv_hrtime() / 1e6;
	state.record = -1;
	if (opt.record)
		state.record =
			open(opt.record, O_WRONLY | O_CREAT | O_APPEND, 0644);
	if (opt.key_file && fake_key_read(opt.key_file, &state.key) < 0)
		return -EINVAL;
	if (opt.fault && !set_fault(opt.fault, opt.fault_times))
		return -EINVAL;
	return opt.record && state.record < 0 ? -errno : 0;
}

int main(int argc, char **argv)
{
	static const struct fake_server_ops ops = { on_request,
						    on_request_closed };
	GOptionContext *ctx = g_option_context_new("- fake endpoint");
	GError *err = NULL;
	int rc;

	fake_ignore_sigpipe();
	g_option_context_add_main_entries(ctx, options, NULL);
	if (!g_option_context_parse(ctx, &argc, &argv, &err)) {
		fprintf(stderr, "endpoint: %s\n", err->message);
		return 2;
	}
	g_option_context_free(ctx);
	state.loop = uv_default_loop();
	if (setup() < 0) {
		fprintf(stderr, "endpoint: invalid options; see --help\n");
		return 2;
	}
	rc = fake_server_open(state.loop, state.self, &ops, NULL,
			      &state.server);
	if (rc < 0) {
		fprintf(stderr, "endpoint: cannot listen: %s\n",
			uv_strerror(rc));
		return 1;
	}
	uv_timer_init(state.loop, &state.step);
	uv_timer_init(state.loop, &state.announce);
	uv_timer_start(&state.step, on_step, STEP_MS, STEP_MS);
	uv_signal_init(state.loop, &state.term);
	uv_signal_start(&state.term, on_term, SIGTERM);
	announce(ANNOUNCE_TRIES);
	return uv_run(state.loop, UV_RUN_DEFAULT);
}
