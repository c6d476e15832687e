/* Starts and stops the entry and dispatches received frames to its parts. */
#include "entry/entry.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "base/metric.h"
#include "base/msg.h"
#include "main/main.h"

/* The longest prompt at four bytes a token, including JSON escapes. */
#define BODY_MAX (16u << 20)
/* Time limit for receiving a whole request. */
#define READ_MS 10000
/* Longer than the 12 s for which platform callers keep idle connections. */
#define FOREIGN_IDLE_MS 15000
/* Longest wait at a stop for outcomes that are being recorded. */
#define COMMANDS_WAIT_MS 3000
/*
 * The load balancer probes every second and acts on the second answer; the rest
 * is a margin.
 */
#define LOAD_BALANCER_DELAY_MS 3500
/* Time reserved to send the last responses before the process is killed. */
#define STOP_MARGIN_MS 400
/* The same, to end the process while callers still read. */
#define EXIT_MARGIN_MS 200
/* For callers that still read, where the settings give a stop no limit. */
#define READERS_WAIT_MS 30000
/* The same, after an interrupt during the stop. */
#define INTERRUPTED_WAIT_MS 200
/* Interval of updating the gauges that need a scan. */
#define GAUGES_INTERVAL_MS 500

static void on_frame(void *arg, uint64_t from, const struct dl_frame *frame);
static void on_up(void *arg, uint64_t vm);
static void on_down(void *arg, uint64_t vm);
static void on_member(void *arg, const struct dl_member *member);
static void on_tick(void *arg, int64_t now);
static void on_stop(void *arg, bool again);
static void on_gone(void *arg, struct dl_httpd_req *req);
static void on_drained(void *arg, struct dl_httpd_req *req);

static const struct dl_node_ops node_ops = {
	.frame = on_frame,
	.up = on_up,
	.down = on_down,
	.member = on_member,
	.tick = on_tick,
	.stop = on_stop,
};

static const struct dl_httpd_ops httpd_ops = {
	.request = entry_http_request,
	.aborted = on_gone,
	.drained = on_drained,
};

/* Time of the event loop. */
int64_t entry_now(const struct entry *e)
{
	return dl_node_now(&e->node);
}

static void on_answer(struct entry *e, uint64_t from, const struct dl_frame *f)
{
	struct dl_answer_frame answer;

	memset(&answer, 0, sizeof(answer));
	if (dl_answer_read(f->body, &answer, entry_now(e)))
		return;
	entry_leaving_date_answer(e, &answer.answer, f);
	entry_grant_answer(e, from, &answer);
}

static void on_frame(void *arg, uint64_t from, const struct dl_frame *frame)
{
	struct entry *e = arg;

	entry_reach_heard_from(e, from);
	switch (frame->kind) {
	case DL_FRAME_GRANT_REPLY:
		on_answer(e, from, frame);
		return;
	case DL_FRAME_RETRY_REPLY:
		entry_retry_reply(e, from, frame);
		return;
	case DL_FRAME_RENEW_UNKNOWN:
		entry_renew_gone(e, from, frame->body);
		return;
	case DL_FRAME_CMD_REPLY:
	case DL_FRAME_QUERY_REPLY:
		entry_cmd_frame(e, from, frame);
		return;
	case DL_FRAME_CONF_PUSH:
	case DL_FRAME_CONF_DELTA:
	case DL_FRAME_CONF_PULL:
		entry_conf_frame(e, from, frame);
		return;
	case DL_FRAME_EVACUATIONS:
		entry_evacuation_frame(e, from, frame);
		return;
	case DL_FRAME_LEASE:
		entry_lease_frame(e, from, frame);
		return;
	case DL_FRAME_CRASHES:
	case DL_FRAME_PART_CRASHES:
		entry_quarantine_frame(e, frame);
		return;
	case DL_FRAME_QUERY:
		entry_ops_frame(e, from, frame);
		return;
	case DL_FRAME_DEPARTURES_AT:
	case DL_FRAME_DEPARTURES_REQUEST:
	case DL_FRAME_DEPARTURES:
		entry_announce_departures_frame(e, from, frame);
		return;
	case DL_FRAME_ENDPOINT_FAULT:
		entry_check_frame(e, from, frame);
		return;
	default:
		entry_pool_frame(e, from, frame);
		return;
	}
}

static void on_up(void *arg, uint64_t vm)
{
	entry_quarantine_vm_up(arg, vm);
	entry_announce_vm_up(arg, vm);
}

static void on_down(void *arg, uint64_t vm)
{
	entry_pool_down(arg, vm);
	entry_grant_down(arg, vm);
	entry_path_vm_lost(arg, vm);
}

static void on_member(void *arg, const struct dl_member *member)
{
	struct entry *e = arg;
	char text[24];

	if (member->state == DL_ALIVE)
		dl_msg(DL_MSG_MEMB_UP, "vm=%s", dl_vm_text(member->vm, text));
	if (member->state == DL_DEAD || member->state == DL_LEFT)
		dl_msg(DL_MSG_MEMB_DOWN, "vm=%s", dl_vm_text(member->vm, text));
	if ((member->state == DL_DEAD || member->state == DL_LEFT) &&
	    !member->replica)
		entry_path_vm_gone(e, member->vm);
	entry_conf_member(e, member);
	entry_pool_member(e, member);
}

static void update_live_vms(struct entry *e)
{
	const struct dl_member *m;
	int64_t live = 0;

	for (uint32_t i = 0; (m = dl_memb_at(e->node.memb, i)); i++)
		live += m->state == DL_ALIVE;
	dl_gauge(DL_METRIC_vms_live, live);
}

/*
 * Whether the load balancer has had time to notice that this VM is stopping.
 * Until then callers still connect, and their requests are served.
 */
static bool load_balancer_informed(const struct entry *e, int64_t now)
{
	return !e->node.settings.foreign ||
	       now - e->stop_at >= LOAD_BALANCER_DELAY_MS;
}

/* Whether the process is about to be killed by its supervisor. */
static bool stop_deadline_near(const struct entry *e, int64_t now)
{
	int64_t stop_ms = e->node.settings.stop_ms;

	return e->node.stopping && stop_ms &&
	       now - e->stop_at >= stop_ms - STOP_MARGIN_MS;
}

/* Whether callers that still read their answers are waited for no longer. */
static bool reading_is_over(const struct entry *e, int64_t now)
{
	int64_t stop_ms = e->node.settings.stop_ms;

	if (e->interrupted_at)
		return now - e->interrupted_at >= INTERRUPTED_WAIT_MS;
	return now - e->stop_at >=
	       (stop_ms ? stop_ms - EXIT_MARGIN_MS : READERS_WAIT_MS);
}

/* Whether a request is on its way in, which is to be answered. */
static bool is_reading(const struct entry *e)
{
	for (uint32_t i = 0; i < e->listeners_count; i++) {
		if (dl_httpd_is_reading(e->listeners[i].httpd))
			return true;
	}
	return false;
}

/* Whether all answers are written, or their callers gone. */
static bool answers_are_written(const struct entry *e)
{
	for (uint32_t i = 0; i < e->listeners_count; i++) {
		if (dl_httpd_has_unwritten(e->listeners[i].httpd))
			return false;
	}
	return true;
}

/* How long this process has been stopping, ms; 0 if it is not. */
long entry_stop_ms(const struct entry *e)
{
	return e->node.stopping ? (long)(entry_now(e) - e->stop_at) : 0;
}

/* Ends the process; answers that callers still read are broken off. */
static void end(struct entry *e)
{
	dl_msg(DL_MSG_ENTRY_STOPPED,
	       "stop_ms=%ld admitted=%ld refused=%ld cut=%ld", entry_stop_ms(e),
	       (long)dl_metric_read(DL_METRIC_stop_admitted),
	       (long)dl_metric_read(DL_METRIC_stop_refused),
	       (long)dl_metric_read(DL_METRIC_stop_cut));
	for (uint32_t i = 0; i < e->listeners_count; i++)
		dl_httpd_abandon_unwritten(e->listeners[i].httpd);
	dl_node_end(&e->node, DL_EXIT_OK);
}

static void on_tick(void *arg, int64_t now)
{
	struct entry *e = arg;

	entry_leaving_tick(e);
	entry_call_tick(e, now);
	entry_held_tick(e);
	entry_stop_tick(e, now);
	entry_grant_tick(e, now);
	entry_retry_tick(e, now);
	entry_reservation_tick(e, now);
	entry_lost_tick(e, now);
	entry_path_tick(e, now);
	entry_recover_tick(e, now);
	entry_pool_tick(e, now);
	entry_cmd_tick(e, now);
	entry_conf_tick(e, now);
	entry_lease_tick(e, now);
	entry_quarantine_tick(e, now);
	entry_limit_tick(e, now);
	departures_tick(&e->departures);
	if (now - e->metrics_updated_at >= GAUGES_INTERVAL_MS) {
		e->metrics_updated_at = now;
		update_live_vms(e);
	}
	if (stop_deadline_near(e, now))
		entry_calls_abort(e);
	if (e->node.stopping && !e->calls && load_balancer_informed(e, now) &&
	    (!entry_path_tunnels(e) || stop_deadline_near(e, now)) &&
	    (!is_reading(e) || stop_deadline_near(e, now) ||
	     e->interrupted_at) &&
	    (!e->cmds || now - e->stop_at > COMMANDS_WAIT_MS) &&
	    (answers_are_written(e) || reading_is_over(e, now)))
		end(e);
}

/*
 * Starts a graceful stop: the VM reports that it is not ready, dispatching
 * moves to other VMs, requests in flight run until they end or reach their
 * deadlines, and callers read their answers. An interrupt during the stop
 * aborts them at once and sends each caller an error.
 */
static void on_stop(void *arg, bool again)
{
	struct entry *e = arg;

	dl_msg(DL_MSG_ENTRY_STOP, "requests=%u again=%d", e->calls_count,
	       again);
	e->draining = true;
	if (again)
		e->interrupted_at = entry_now(e);
	else
		e->stop_at = entry_now(e);
	for (uint32_t i = 0; i < e->listeners_count; i++)
		dl_httpd_close_after_responses(e->listeners[i].httpd);
	dl_memb_update_self(e->node.memb, true, e->version, entry_now(e));
	entry_path_stop(e);
	entry_stop_tick(e, entry_now(e));
	if (again)
		entry_calls_abort(e);
}

static void on_gone(void *arg, struct dl_httpd_req *req)
{
	struct http_owner *owner = dl_httpd_data(req);

	if (owner)
		owner->closed(owner);
}

static void on_drained(void *arg, struct dl_httpd_req *req)
{
	struct http_owner *owner = dl_httpd_data(req);

	if (owner && owner->drained)
		owner->drained(owner);
}

static int open_listener(struct entry *e, uint64_t address, unsigned uses,
			 struct dl_err *err)
{
	struct listener *listener = &e->listeners[e->listeners_count++];
	struct dl_httpd_conf conf = {
		.address = address,
		.body_max = BODY_MAX,
		.conns_max = e->node.settings.connections_max,
		.read_ms = READ_MS,
		.reading_max = (size_t)e->node.settings.buffer_mb << 20,
	};

	if (e->node.settings.foreign)
		conf.read_ms = FOREIGN_IDLE_MS;
	listener->e = e;
	listener->uses = uses;
	return dl_httpd_open(e->node.loop, &conf, &httpd_ops, listener,
			     &listener->httpd, err);
}

static int start_http(struct entry *e, struct dl_err *err)
{
	const struct dl_settings *s = &e->node.settings;
	unsigned main_uses = LISTENER_CALLERS;
	int rc;

	if (s->http == DL_VM_NONE)
		return dl_err_set(err, -EINVAL, DL_STEP_CHECK, NULL,
				  "the setting http is missing");
	rc = dl_httpc_open(e->node.loop, &e->httpc);
	if (!rc && s->ready)
		rc = open_listener(e, s->ready, LISTENER_READY, err);
	if (s->foreign)
		return rc ? rc :
			    open_listener(e, s->http, LISTENER_CALLERS, err);
	if (!rc && s->endpoints)
		rc = open_listener(e, s->endpoints, LISTENER_ENDPOINTS, err);
	else
		main_uses |= LISTENER_ENDPOINTS;
	if (!rc && s->operators)
		rc = open_listener(e, s->operators, LISTENER_OPERATORS, err);
	else
		main_uses |= LISTENER_OPERATORS;
	return rc ? rc : open_listener(e, s->http, main_uses, err);
}

static int start(struct entry *e, const char *settings, struct dl_err *err)
{
	int rc = dl_node_open(&e->node, settings, false, &node_ops, e, err);

	if (rc)
		return rc;
	/*
	 * Jansson seeds its hash function once, which must happen before other
	 * threads parse JSON.
	 */
	json_object_seed(0);
	entry_conf_init(e);
	e->next_id = e->node.incarnation;
	e->replica_heard_at = entry_now(e);
	e->started_at = entry_now(e);
	e->directory = dl_directory_new();
	departures_init(&e->departures, dl_directory_departures(e->directory),
			&e->node);
	e->reports = dl_reports_new();
	e->backoff = dl_backoff_new();
	entry_quarantine_init(e);
	e->unreachable_vms = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						   g_free, g_free);
	dl_ask_timer_init(&e->ask_timer);
	e->asks = g_hash_table_new(g_int64_hash, g_int64_equal);
	entry_retry_init(e);
	e->bytes_per_token =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	rc = start_http(e, err);
	return rc ? rc : entry_path_open(e, err);
}

/* Runs the subcommand: daisyledge entry -c FILE */
int dl_main_entry(int argc, char **argv)
{
	static struct entry e;
	struct dl_err err = { 0 };
	char text[24];
	char *path = dl_main_settings_option(&argc, &argv);
	int rc;

	if (!path)
		return DL_EXIT_USAGE;
	rc = start(&e, path, &err);
	g_free(path);
	if (rc) {
		fprintf(stderr, "daisyledge entry: %s: %s %s\n",
			dl_step_name(err.step), err.peer, err.text);
		return DL_EXIT_FAULT;
	}
	dl_msg(DL_MSG_ENTRY_START, "vm=%s http=%s", e.node.settings.name.s,
	       dl_vm_text(e.node.settings.http, text));
	rc = dl_node_run(&e.node);
	entry_conf_slices_stop(&e);
	return rc;
}
