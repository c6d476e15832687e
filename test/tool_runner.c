/*
 * Emulated endpoint that speaks the platform's protocol.  It announces itself
 * to the replicas, streams resumable events, rejects requests addressed to
 * another instance, shows faults on command, crashes and restarts under
 * selected requests or parts of prompts, reserves memory, and records every
 * execution.
 */
#include <fcntl.h>
#include <glib.h>
#include <inttypes.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <uv.h>

#include "fake/ending.h"
#include "fake/heartbeat.h"
#include "fake/http.h"
#include "fake/long.h"

#define TICK_MS		 10
#define FAULT_EVENT	 3   /* event at which a fault interrupts the stream */
#define RESTART_DELAY_MS 700 /* from a crash to the next start */
#define ORDER_PATH	 "/-/order"
#define REPORT_PATH	 "/-/report"
/* Number of crashes so far; the environment survives execv(). */
#define CRASHES_ENV "RUNNER_CRASHES"

static struct {
	char *listen, *control, *service, *instance, *zone, *record, *fault;
	char *crash_on, *crash_part;
	char *limit, *arrivals, *shed, *orders, *endings, *reports, *cut;
	char *late_to, *endless;
	gboolean endless_fast;
	char **argv;
	int instance_crashes;
	int slots, events, event_ms, first_event_ms, orphans, pad_headers,
		answer_ms;
	gboolean plain, quiet_while_busy, mute_orders;
	gboolean abrupt;
	gboolean unheard;
	gboolean no_ids, by_close, echo;
} opt = {
	.zone = "z", .slots = 16, .events = 8, .event_ms = 20, .fault = "none"
};

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
	  "append each execution to", "F" },
	{ "slots", 0, 0, G_OPTION_ARG_INT, &opt.slots,
	  "concurrent requests to announce", "N" },
	{ "events", 0, 0, G_OPTION_ARG_INT, &opt.events, "events per stream",
	  "N" },
	{ "answer-ms", 0, 0, G_OPTION_ARG_INT, &opt.answer_ms,
	  "time to a plain answer", "MS" },
	{ "event-ms", 0, 0, G_OPTION_ARG_INT, &opt.event_ms,
	  "time between events", "MS" },
	{ "first-event-ms", 0, 0, G_OPTION_ARG_INT, &opt.first_event_ms,
	  "time to the first event", "MS" },
	{ "quiet-while-busy", 0, 0, G_OPTION_ARG_NONE, &opt.quiet_while_busy,
	  "send no heartbeats while a stream is open", NULL },
	{ "mute-orders", 0, 0, G_OPTION_ARG_NONE, &opt.mute_orders,
	  "carry out reservations without an answer", NULL },
	{ "orders", 0, 0, G_OPTION_ARG_FILENAME, &opt.orders,
	  "append time, instance, event and id of each reservation", "F" },
	{ "orphans", 0, 0, G_OPTION_ARG_INT, &opt.orphans,
	  "requests to report as active besides open streams; -1: no report",
	  "N" },
	{ "reports", 0, 0, G_OPTION_ARG_FILENAME, &opt.reports,
	  "append the instance of each report", "F" },
	{ "plain", 0, 0, G_OPTION_ARG_NONE, &opt.plain,
	  "reply without streaming", NULL },
	{ "abrupt", 0, 0, G_OPTION_ARG_NONE, &opt.abrupt,
	  "leave without announcing it first", NULL },
	{ "endless", 0, 0, G_OPTION_ARG_STRING, &opt.endless,
	  "bytes without end: garbage, head, interim, body, extension, trailer, "
	  "event, error, not-run or foreign",
	  "KIND" },
	{ "endless-fast", 0, 0, G_OPTION_ARG_NONE, &opt.endless_fast,
	  "as fast as they are taken, not some each 10 ms", NULL },
	{ "late-to", 0, 0, G_OPTION_ARG_FILENAME, &opt.late_to,
	  "on SIGUSR2, repeat the last ready heartbeat to the address in",
	  "F" },
	{ "unheard", 0, 0, G_OPTION_ARG_NONE, &opt.unheard,
	  "announce leaving in responses only", NULL },
	{ "shed", 0, 0, G_OPTION_ARG_FILENAME, &opt.shed,
	  "while F exists, reject all with the Retry-After in it", "F" },
	{ "no-ids", 0, 0, G_OPTION_ARG_NONE, &opt.no_ids,
	  "send events without ids", NULL },
	{ "crash-on", 0, 0, G_OPTION_ARG_STRING, &opt.crash_on,
	  "crash on a request whose path contains this", "TEXT" },
	{ "crash-part", 0, 0, G_OPTION_ARG_STRING, &opt.crash_part,
	  "crash after the first event of a prompt with a shared part",
	  "ID,ID" },
	{ "by-close", 0, 0, G_OPTION_ARG_NONE, &opt.by_close,
	  "streams have neither a length nor chunks", NULL },
	{ "echo", 0, 0, G_OPTION_ARG_NONE, &opt.echo,
	  "reply with the model, usage and prompt of the request", NULL },
	{ "pad-headers", 0, 0, G_OPTION_ARG_INT, &opt.pad_headers,
	  "headers to send before those of a plain reply", "N" },
	{ "limit", 0, 0, G_OPTION_ARG_STRING, &opt.limit,
	  "requests per second to announce in responses", "N" },
	{ "endings", 0, 0, G_OPTION_ARG_FILENAME, &opt.endings,
	  "end responses as requests say, with the state in folder F", "F" },
	{ "cut", 0, 0, G_OPTION_ARG_FILENAME, &opt.cut,
	  "while the file exists, end responses to orders and reports early, "
	  "as it says (fake/ending.h)",
	  "FILE" },
	{ "arrivals", 0, 0, G_OPTION_ARG_FILENAME, &opt.arrivals,
	  "append time, instance, attempt and result of each request", "F" },
	{ "fault", 0, 0, G_OPTION_ARG_STRING, &opt.fault,
	  "none, cut, silent, not-run, error, json or foreign", "KIND" },
	{ NULL },
};

/* What an endless response begins with, and what follows again and again. */
struct endless {
	const char *kind;
	const char *begin;
	const char *more;
};

#define ENDLESS_OK	"HTTP/1.1 200 OK\r\n"
#define ENDLESS_CHUNKED "Transfer-Encoding: chunked\r\n\r\n"
#define ENDLESS_ERROR	"HTTP/1.1 500 Error\r\n" ENDLESS_CHUNKED "7fffffff\r\n"
static const struct endless endless_kinds[] = {
	{ "garbage", "", "no response " },
	{ "head", ENDLESS_OK, "X-Pad: 0123456789\r\n" },
	{ "interim", "", "HTTP/1.1 100 Continue\r\n\r\n" },
	{ "body", ENDLESS_OK "Content-Type: text/plain\r\n\r\n", "0123456789" },
	{ "extension", ENDLESS_OK ENDLESS_CHUNKED "5;a=", "0123456789" },
	{ "trailer", ENDLESS_OK ENDLESS_CHUNKED "0\r\n", "X-Pad: 0123\r\n" },
	{ "event",
	  ENDLESS_OK "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: ",
	  "0123456789" },
	{ "error", ENDLESS_ERROR, "0123456789" },
	{ "not-run",
	  "HTTP/1.1 503 Full\r\nDaisyledge-Not-Executed: "
	  "1\r\n" ENDLESS_CHUNKED "7fffffff\r\n",
	  "0123456789" },
	{ "foreign",
	  ENDLESS_OK "Daisyledge-Attempt-Id: another\r\n" ENDLESS_CHUNKED
		     "7fffffff\r\n",
	  "0123456789" },
};

/* An endless response that its client has not closed yet. */
struct endless_job {
	struct fake_request *req;
	const struct endless *kind;
	bool begun;
};

/* An open stream. */
struct job {
	struct fake_request *req;
	char attempt[256];
	int next; /* number of the next event */
	int64_t at;
	bool begun;
	bool crashes; /* after its first event */
	bool plain;   /* answered at once, when it is due */
};

static uv_loop_t *loop;
static GPtrArray *jobs;
static GPtrArray *endless_jobs;
static GHashTable *reservations; /* id to when it expires, in loop time */
static uint64_t ready_sequence;	 /* of the last heartbeat before leaving */
static int record_fd = -1, arrivals_fd = -1, orders_fd = -1, reports_fd = -1;
static bool leaving, deregistered;
static int64_t next_heartbeat;

/* Repeats the last ready heartbeat to the address in the file --late-to. */
static void repeat_ready(void)
{
	char *address = NULL;
	uint64_t to;

	if (opt.late_to &&
	    g_file_get_contents(opt.late_to, &address, NULL, NULL) &&
	    dl_vm_parse(dl_str_of(g_strstrip(address)), &to))
		fake_heartbeat_send_to(to, "ready", ready_sequence);
	g_free(address);
}

static void announce(void)
{
	uint64_t number = fake_heartbeat_send(
		leaving && !opt.unheard ? "draining" : "ready");

	if (!leaving)
		ready_sequence = number;
}

static struct dl_str header(const struct fake_request *req, const char *name)
{
	return fake_request_header(req, name);
}

/* Writes one line: instance, attempt, path, tenant, last event id, API key. */
static void record_execution(const struct fake_request *req)
{
	struct dl_str path = fake_request_path(req);
	struct dl_str attempt = header(req, "daisyledge-attempt-id");
	struct dl_str workspace = header(req, "daisyledge-tenant");
	struct dl_str last = header(req, "last-event-id");
	struct dl_str key = header(req, "x-api-key");
	char line[512];
	int n = snprintf(line, sizeof(line), "%s %.*s %.*s %.*s %.*s %s\n",
			 opt.instance, (int)attempt.n, attempt.s, (int)path.n,
			 path.s, (int)workspace.n, workspace.s,
			 last.n ? (int)last.n : 1, last.n ? last.s : "-",
			 key.n ? "KEY" : "-");

	if (record_fd >= 0 && write(record_fd, line, (size_t)n) != n)
		perror("record");
}

/* Rejects a request as not executed; retry_after is "" for none. */
static void refuse(struct fake_request *req, int status,
		   const char *retry_after)
{
	struct fake_header headers[] = { { "Daisyledge-Not-Executed", "1" },
					 { NULL, NULL },
					 { NULL, NULL },
					 { NULL, NULL } };
	size_t n = 1;

	if (leaving)
		headers[n++] = (struct fake_header){ "Server-Leaving", "1" };
	if (*retry_after)
		headers[n] = (struct fake_header){ "Retry-After", retry_after };
	fake_reply(req, status, headers, DL_STR(""));
}

/* Reports whether requests are rejected now, and with which Retry-After. */
static bool is_shedding(char *retry_after, size_t size)
{
	FILE *f = opt.shed ? fopen(opt.shed, "r") : NULL;

	retry_after[0] = '\0';
	if (!f)
		return false;
	if (!fgets(retry_after, (int)size, f))
		retry_after[0] = '\0';
	retry_after[strcspn(retry_after, "\n")] = '\0';
	fclose(f);
	return true;
}

/*
 * Simulates a crash and restart: execv() closes every socket, and the next
 * instance gets a new id.
 */
static void crash(void)
{
	int crashes = opt.instance_crashes + 1;
	char text[16];

	snprintf(text, sizeof(text), "%d", crashes);
	setenv(CRASHES_ENV, text, 1);
	execv("/proc/self/exe", opt.argv);
	perror("crash");
	_exit(1);
}

static bool is_crashing(const struct fake_request *req)
{
	struct dl_str path = fake_request_path(req);

	return opt.crash_on &&
	       memmem(path.s, path.n, opt.crash_on, strlen(opt.crash_on));
}

/* Whether a part crashes this endpoint. */
static bool is_crashing_part(struct dl_str part)
{
	const char *id = opt.crash_part;
	const char *colon = memchr(part.s, ':', part.n);

	if (colon)
		part.n = (size_t)(colon - part.s);
	for (; id && *id; id += strcspn(id, ",") + (strchr(id, ',') != NULL)) {
		if (dl_str_eq(part, (struct dl_str){ id, strcspn(id, ",") }))
			return true;
	}
	return false;
}

/* Whether any part of the prompt but the last crashes this endpoint. */
static bool has_crashing_part(const struct fake_request *req)
{
	struct dl_str parts = header(req, "daisyledge-prompt-prefix");
	const char *comma;

	while (parts.n && (comma = memchr(parts.s, ',', parts.n))) {
		size_t n = (size_t)(comma - parts.s);

		if (is_crashing_part((struct dl_str){ parts.s, n }))
			return true;
		parts.s += n + 1;
		parts.n -= n + 1;
	}
	return false;
}

/* After a crash, delays the start and derives the new instance id. */
static void restart_after_crash(char **argv)
{
	const char *crashes = getenv(CRASHES_ENV);

	opt.argv = argv;
	if (!crashes)
		return;
	opt.instance_crashes = atoi(crashes);
	opt.instance =
		g_strdup_printf("%s-%d", opt.instance, opt.instance_crashes);
	g_usleep((gulong)RESTART_DELAY_MS * G_USEC_PER_SEC / 1000);
}

/* Header by which responses announce that the endpoint leaves, or its limit. */
static const char *notice_name(void)
{
	if (leaving)
		return "Server-Leaving";
	return opt.limit ? "Server-Limit" : NULL;
}

static const char *notice_value(void)
{
	return leaving ? "1" : opt.limit;
}

/* Responds to a request that says how its response ends; false for others. */
static bool serve_ending(struct fake_request *req, const char *attempt)
{
	struct dl_str path = fake_request_path(req);
	const struct fake_header headers[] = {
		{ "Content-Type",
		  opt.plain ? "text/plain" : "text/event-stream" },
		{ "Daisyledge-Attempt-Id", attempt },
		{ "Daisyledge-Response-Stamp", opt.instance },
		{ NULL, NULL },
	};
	uint64_t after = 0;
	struct fake_ending_conf conf = { .folder = opt.endings,
					 .event = fake_ending_numbered,
					 .headers = headers,
					 .request = attempt,
					 .stream = !opt.plain };

	dl_str_to_u64(header(req, "last-event-id"), &after);
	conf.after = (int)after;
	return fake_ending_serve(loop, req, path, &conf) ||
	       fake_long_serve(loop, req, path, opt.endings, headers);
}

/* Begins a stream whose end only its connection marks. */
static void begin_by_close(struct fake_request *req, const char *attempt)
{
	char head[512];
	int n = snprintf(
		head, sizeof(head),
		"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
		"Daisyledge-Attempt-Id: %s\r\n"
		"Daisyledge-Response-Stamp: %s\r\n"
		"Connection: close\r\n\r\n",
		attempt, opt.instance);

	fake_reply_raw(req, (struct dl_str){ head, (size_t)n });
}

static void write_event(struct fake_request *req, struct dl_str event)
{
	if (opt.by_close)
		fake_reply_raw(req, event);
	else
		fake_reply_write(req, event);
}

static void end_stream(struct fake_request *req)
{
	if (opt.by_close)
		fake_reply_drop(req, false);
	else
		fake_reply_end(req);
}

static void begin_stream(struct fake_request *req, const char *attempt)
{
	const struct fake_header headers[] = {
		{ "Content-Type", "text/event-stream" },
		{ "Daisyledge-Attempt-Id", attempt },
		{ "Daisyledge-Response-Stamp", opt.instance },
		{ notice_name(), notice_value() },
		{ NULL, NULL },
	};
	struct dl_str last = header(req, "last-event-id");
	struct job *job = g_new0(struct job, 1);
	uint64_t after = 0;

	dl_str_to_u64(last, &after);
	job->req = req;
	job->next = (int)after + 1;
	job->at = (int64_t)uv_now(loop) + opt.first_event_ms;
	job->crashes = has_crashing_part(req);
	fake_request_set_owner(req, job);
	g_ptr_array_add(jobs, job);
	if (opt.by_close)
		begin_by_close(req, attempt);
	else
		fake_reply_begin(req, 200, headers);
}

/* Returns what a request says of its prompt, to be freed with g_free(). */
static char *echo_of(const struct fake_request *req)
{
	struct dl_str model = header(req, "daisyledge-model");
	struct dl_str usage = header(req, "daisyledge-token-usage");
	struct dl_str prompt = header(req, "daisyledge-prompt-prefix");

	return g_strdup_printf("%.*s %.*s %.*s\n", (int)model.n, model.s,
			       (int)usage.n, usage.s, (int)prompt.n, prompt.s);
}

static void reply_plain(struct fake_request *req, const char *attempt)
{
	const struct fake_header own[] = {
		{ "Daisyledge-Attempt-Id", attempt },
		{ "Daisyledge-Response-Stamp", opt.instance },
		{ "Content-Type", "application/json" },
		{ notice_name(), notice_value() },
		{ NULL, NULL },
	};
	bool error = strcmp(opt.fault, "error") == 0;
	char *body = opt.echo ? echo_of(req) : g_strdup("answer\n");
	size_t pad = (size_t)opt.pad_headers;
	struct fake_header *headers =
		g_new(struct fake_header, pad + G_N_ELEMENTS(own));

	for (size_t i = 0; i < pad; i++)
		headers[i] = (struct fake_header){ "X-Pad", "0123456789" };
	memcpy(headers + pad, own, sizeof(own));
	fake_reply(req, error ? 500 : 200, headers, dl_str_of(body));
	g_free(headers);
	g_free(body);
}

/*
 * Records the arrival of a request: Unix ms, instance, attempt, and "shed" with
 * the Retry-After, "leaving" or "taken".
 */
static void record_arrival(const struct fake_request *req, const char *what)
{
	struct dl_str attempt = header(req, "daisyledge-attempt-id");
	char line[256];
	int n = snprintf(line, sizeof(line), "%" PRId64 " %s %.*s %s\n",
			 g_get_real_time() / 1000, opt.instance,
			 (int)MIN(attempt.n, 60), attempt.s, what);

	if (arrivals_fd >= 0 && write(arrivals_fd, line, (size_t)n) != n)
		perror("arrivals");
}

/*
 * Records what became of a reservation: Unix ms, instance, id, and "reserved",
 * "renewed", "released" or "expired".
 */
static void record_reservation(const char *id, const char *what)
{
	char line[256];
	int n = snprintf(line, sizeof(line), "%" PRId64 " %s %s %s\n",
			 g_get_real_time() / 1000, opt.instance, id, what);

	if (orders_fd >= 0 && write(orders_fd, line, (size_t)n) != n)
		perror("orders");
}

/* Returns a copy of what follows a key in a body, up to the end character. */
static char *value_in(struct dl_str body, const char *key, const char *end)
{
	const char *at = memmem(body.s, body.n, key, strlen(key));
	size_t n = 0;

	if (!at)
		return g_strdup("");
	at += strlen(key);
	while (at + n < body.s + body.n && !strchr(end, at[n]))
		n++;
	return g_strndup(at, n);
}

/* Answers an order or a question with 200, cut where that is asked for. */
static void reply_or_cut(struct fake_request *req, struct dl_str body)
{
	const struct fake_header headers[] = {
		{ "Content-Type", "application/json" },
		{ NULL, NULL },
	};
	char *text = NULL;

	if (!opt.cut || !g_file_get_contents(opt.cut, &text, NULL, NULL) ||
	    !fake_ending_cut(req, text, 200, body))
		fake_reply(req, 200, headers, body);
	g_free(text);
}

/* Reserves memory, renews or releases it; ample memory is assumed. */
static void handle_order(struct fake_request *req)
{
	struct dl_str body = fake_request_body(req);
	char *op = value_in(body, "\"op\":\"", "\"");
	char *id = value_in(body, "\"id\":\"", "\"");
	char *hold = value_in(body, "\"hold_ms\":", ",}");
	bool known = g_hash_table_contains(reservations, id);
	int64_t *expiry;

	if (strcmp(op, "reserve") == 0) {
		expiry = g_new(int64_t, 1);
		*expiry = (int64_t)uv_now(loop) + atoi(hold);
		g_hash_table_replace(reservations, g_strdup(id), expiry);
		record_reservation(id, known ? "renewed" : "reserved");
	} else if (known) {
		g_hash_table_remove(reservations, id);
		record_reservation(id, "released");
	}
	g_free(op);
	g_free(id);
	g_free(hold);
	if (!opt.mute_orders)
		reply_or_cut(req, DL_STR("{\"free\":1}"));
}

static void expire_reservations(int64_t now)
{
	GHashTableIter iter;
	gpointer id, expiry;

	g_hash_table_iter_init(&iter, reservations);
	while (g_hash_table_iter_next(&iter, &id, &expiry)) {
		if (now < *(int64_t *)expiry)
			continue;
		record_reservation(id, "expired");
		g_hash_table_iter_remove(&iter);
	}
}

/* Reports the load; this is not recorded as an execution. */
static void serve_report(struct fake_request *req)
{
	const struct fake_header headers[] = {
		{ "Content-Type", "application/json" },
		{ NULL, NULL },
	};
	char body[128], line[80];
	int n = snprintf(line, sizeof(line), "%.70s\n", opt.instance);

	if (reports_fd >= 0 && write(reports_fd, line, (size_t)n) != n)
		perror("reports");
	if (opt.orphans < 0) {
		fake_reply(req, 404, headers, DL_STR("{}"));
		return;
	}
	n = snprintf(body, sizeof(body),
		     "{\"queued\":0,\"active\":%u,\"kv_used\":0,"
		     "\"kv_total\":315000}",
		     jobs->len + (guint)opt.orphans);
	reply_or_cut(req, (struct dl_str){ body, (size_t)n });
}

/* Answers with bytes without end; false if that is not wanted. */
static bool serve_endless(struct fake_request *req)
{
	for (size_t i = 0; i < G_N_ELEMENTS(endless_kinds); i++) {
		struct endless_job *job;

		if (!opt.endless ||
		    strcmp(opt.endless, endless_kinds[i].kind) != 0)
			continue;
		job = g_new0(struct endless_job, 1);
		job->req = req;
		job->kind = &endless_kinds[i];
		g_ptr_array_add(endless_jobs, job);
		return true;
	}
	return false;
}

/* Sends more of an endless response; false once its client has closed. */
static bool send_endless(struct endless_job *job)
{
	size_t times = opt.endless_fast ? 4096 : 1;
	GString *bytes = g_string_new(NULL);
	bool open = true;

	if (!job->begun)
		open = fake_reply_raw(job->req, dl_str_of(job->kind->begin));
	job->begun = true;
	for (size_t i = 0; i < times; i++)
		g_string_append(bytes, job->kind->more);
	for (int i = 0; open && i < (opt.endless_fast ? 16 : 1); i++)
		open = fake_reply_raw(job->req, (struct dl_str){ bytes->str,
								 bytes->len });
	g_string_free(bytes, TRUE);
	if (!open) {
		record_arrival(job->req, "closed");
		fake_reply_drop(job->req, false);
	}
	return open;
}

/* Answers a call some time later. */
static void begin_plain(struct fake_request *req, const char *attempt)
{
	struct job *job = g_new0(struct job, 1);

	job->req = req;
	g_strlcpy(job->attempt, attempt, sizeof(job->attempt));
	job->at = (int64_t)uv_now(loop) + opt.answer_ms;
	job->plain = true;
	fake_request_set_owner(req, job);
	g_ptr_array_add(jobs, job);
}

static void on_request(void *arg, struct fake_request *req)
{
	struct dl_str target = header(req, "daisyledge-target-instance");
	struct dl_str id = header(req, "daisyledge-attempt-id");
	char attempt[256], retry_after[16], what[32];
	bool shed = is_shedding(retry_after, sizeof(retry_after));

	if (dl_str_eq(fake_request_path(req), DL_STR(ORDER_PATH))) {
		if (target.n && !dl_str_eq(target, dl_str_of(opt.instance)))
			refuse(req, 421, "");
		else
			handle_order(req);
		return;
	}
	if (dl_str_eq(fake_request_path(req), DL_STR(REPORT_PATH))) {
		serve_report(req);
		return;
	}
	snprintf(what, sizeof(what), "shed %s", retry_after);
	record_arrival(req, shed ? what : leaving ? "leaving" : "taken");
	if (target.n && !dl_str_eq(target, dl_str_of(opt.instance))) {
		refuse(req, 421, "");
		return;
	}
	if (shed || strcmp(opt.fault, "not-run") == 0) {
		refuse(req, 503, retry_after);
		return;
	}
	record_execution(req);
	if (is_crashing(req))
		crash();
	snprintf(attempt, sizeof(attempt), "%.*s", (int)MIN(id.n, 255), id.s);
	if (strcmp(opt.fault, "foreign") == 0)
		snprintf(attempt, sizeof(attempt), "another");
	if (serve_endless(req) || serve_ending(req, attempt))
		return;
	if (opt.plain && opt.answer_ms)
		begin_plain(req, attempt);
	else if (opt.plain || strcmp(opt.fault, "error") == 0 ||
		 strcmp(opt.fault, "json") == 0)
		reply_plain(req, attempt);
	else
		begin_stream(req, attempt);
}

static void on_request_closed(void *arg, struct fake_request *req)
{
	struct job *job = fake_request_owner(req);

	if (fake_ending_closed(req) || fake_long_closed(req))
		return;
	for (guint i = 0; i < endless_jobs->len; i++) {
		struct endless_job *e = endless_jobs->pdata[i];

		if (e->req != req)
			continue;
		record_arrival(req, "closed");
		g_ptr_array_remove_index(endless_jobs, i);
		g_free(e);
		return;
	}
	if (job)
		g_ptr_array_remove(jobs, job);
	g_free(job);
}

static const struct fake_server_ops server_ops = { on_request,
						   on_request_closed };

/* Sends the next event of a stream if due; false once the stream has ended. */
static bool send_due_event(struct job *job, int64_t now)
{
	char event[64];
	int n;

	if (now < job->at)
		return true;
	if (job->plain) {
		fake_request_set_owner(job->req, NULL);
		reply_plain(job->req, job->attempt);
		return false;
	}
	if (job->next == FAULT_EVENT && strcmp(opt.fault, "silent") == 0)
		return true;
	if (job->next == FAULT_EVENT && strcmp(opt.fault, "cut") == 0) {
		fake_request_set_owner(job->req, NULL);
		fake_reply_write(job->req, DL_STR("id: 3\nda"));
		fake_reply_abort(job->req);
		return false;
	}
	if (job->next > opt.events) {
		fake_request_set_owner(job->req, NULL);
		end_stream(job->req);
		return false;
	}
	if (opt.no_ids)
		n = snprintf(event, sizeof(event), "data: e%d\n\n", job->next);
	else
		n = snprintf(event, sizeof(event), "id: %d\ndata: e%d\n\n",
			     job->next, job->next);
	if (job->crashes && job->begun)
		crash();
	job->begun = true;
	write_event(job->req, (struct dl_str){ event, (size_t)n });
	job->next++;
	job->at = now + opt.event_ms;
	return true;
}

static void on_tick(uv_timer_t *timer)
{
	int64_t now = (int64_t)uv_now(loop);

	expire_reservations(now);
	if (now >= next_heartbeat && !deregistered &&
	    !(opt.quiet_while_busy && jobs->len)) {
		next_heartbeat = now + FAKE_HEARTBEAT_MS;
		announce();
	}
	for (guint i = endless_jobs->len; i > 0; i--) {
		struct endless_job *job = endless_jobs->pdata[i - 1];

		if (send_endless(job))
			continue;
		g_ptr_array_remove_index(endless_jobs, i - 1);
		g_free(job);
	}
	for (guint i = jobs->len; i > 0; i--) {
		struct job *job = jobs->pdata[i - 1];

		if (send_due_event(job, now))
			continue;
		g_ptr_array_remove_index(jobs, i - 1);
		g_free(job);
	}
}

/*
 * SIGUSR1 announces draining, and the second one deregisters the instance,
 * which continues to serve without heartbeats; with --abrupt, the first one
 * deregisters.  SIGUSR2 repeats the last ready heartbeat.  SIGTERM exits.
 */
static void on_signal(uv_signal_t *handle, int signum)
{
	if (signum == SIGTERM)
		exit(0);
	if (signum == SIGUSR2) {
		repeat_ready();
		return;
	}
	if (leaving || opt.abrupt) {
		deregistered = true;
		fake_heartbeat_deregister();
		return;
	}
	leaving = true;
	next_heartbeat = 0;
}

int main(int argc, char **argv)
{
	GOptionContext *ctx = g_option_context_new(NULL);
	uv_signal_t sigusr1, sigusr2, sigterm;
	struct fake_server *server;
	uint64_t address;
	uv_timer_t timer;

	char **args = g_strdupv(argv);

	g_option_context_add_main_entries(ctx, options, NULL);
	if (!g_option_context_parse(ctx, &argc, &argv, NULL) || !opt.listen ||
	    !opt.control || !opt.service || !opt.instance ||
	    !dl_vm_parse(dl_str_of(opt.listen), &address)) {
		fprintf(stderr, "runner: invalid options; see --help\n");
		return 2;
	}
	g_option_context_free(ctx);
	restart_after_crash(args);
	fake_ignore_sigpipe();
	loop = uv_default_loop();
	fake_heartbeat_init(
		loop, &(struct fake_heartbeat_conf){ .control = opt.control,
						     .service = opt.service,
						     .listen = opt.listen,
						     .instance = opt.instance,
						     .zone = opt.zone,
						     .slots = opt.slots });
	jobs = g_ptr_array_new();
	endless_jobs = g_ptr_array_new();
	reservations =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	if (opt.reports)
		reports_fd =
			open(opt.reports, O_WRONLY | O_APPEND | O_CREAT, 0600);
	if (opt.record)
		record_fd =
			open(opt.record, O_WRONLY | O_APPEND | O_CREAT, 0600);
	if (opt.arrivals)
		arrivals_fd =
			open(opt.arrivals, O_WRONLY | O_APPEND | O_CREAT, 0600);
	if (opt.orders)
		orders_fd =
			open(opt.orders, O_WRONLY | O_APPEND | O_CREAT, 0600);
	if (fake_server_open(loop, address, &server_ops, NULL, &server)) {
		fprintf(stderr, "runner: cannot listen\n");
		return 1;
	}
	uv_timer_init(loop, &timer);
	uv_timer_start(&timer, on_tick, 0, TICK_MS);
	uv_signal_init(loop, &sigusr1);
	uv_signal_start(&sigusr1, on_signal, SIGUSR1);
	uv_signal_init(loop, &sigusr2);
	uv_signal_start(&sigusr2, on_signal, SIGUSR2);
	uv_signal_init(loop, &sigterm);
	uv_signal_start(&sigterm, on_signal, SIGTERM);
	return uv_run(loop, UV_RUN_DEFAULT);
}
