/*
 * daisyledge replica: stores the replicated log on disk and applies it to the
 * configuration store. The log module does no I/O; this file connects it to the
 * disk, the peers and the clock. Messages that arrive in one iteration of the
 * event loop are processed together before the loop waits again, so that their
 * entries share one sync.
 */
#include "replica/replica.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/random.h>

#include "base/hist.h"
#include "base/metric.h"
#include "base/msg.h"
#include "main/main.h"
#include "protocol/rlog_codec.h"
#include "protocol/deflate.h"

/* Committed bytes applied per loop iteration: one large configuration. */
#define APPLY_BATCH_BYTES (64u << 10)
/*
 * Silence after which a voter is replaced: longer than a restart or a short
 * pause of a VM, shorter than the few seconds after which another replica may
 * be lost.
 */
#define VOTER_TIMEOUT_MS 2500
/* For smaller messages, deflating costs more than it saves. */
#define DEFLATE_MIN_BYTES 4096
/* How long a planned stop waits for a successor to be elected. */
#define STOP_TIMEOUT_MS 1500
/* After that, for the answers to those that still wait. */
#define STOP_ANSWERS_MS 200
/* Pause between attempts to read a log that cannot be read. */
#define LOG_RETRY_MS 1000

static void on_frame(void *arg, uint64_t from, const struct dl_frame *frame);
static void on_up(void *arg, uint64_t vm);
static void on_tick(void *arg, int64_t now);
static void on_stop(void *arg, bool repeated);
static void on_prepare(uv_prepare_t *prepare);
static void on_first_sync(void *arg, int code);
static void on_written(void *arg, int code);
static void pump(struct replica *r);
static int read_log(struct replica *r, int64_t now, struct dl_err *err);
static void start_log(struct replica *r, int64_t now);

static const struct dl_node_ops node_ops = {
	.frame = on_frame,
	.up = on_up,
	.tick = on_tick,
	.stop = on_stop,
};

/*
 * Returns the time used by the log, read anew on each call: the loop's time is
 * constant during a long iteration, in which a lease must be able to expire. It
 * includes time in which the VM was suspended, unlike the monotonic clock.
 */
int64_t replica_now(const struct replica *r)
{
	return dl_node_boot_ms();
}

/* Sends a frame. If it is lost, whoever waits for the reply has to retry. */
void replica_send(struct replica *r, uint64_t to, uint32_t kind,
		  uint64_t request, struct dl_str body)
{
	dl_peers_send(r->node.peers, to, kind, request, body);
}

/* Sends a frame to all live entries and, if include_replicas, replicas. */
void replica_broadcast(struct replica *r, bool include_replicas, uint32_t kind,
		       struct dl_str body)
{
	const struct dl_member *m;

	for (uint32_t i = 0; (m = dl_memb_at(r->node.memb, i)); i++) {
		if (m->vm == r->node.self || (m->replica && !include_replicas))
			continue;
		if (m->state == DL_ALIVE || m->state == DL_SUSPECT)
			replica_send(r, m->vm, kind, 0, body);
	}
}

static void on_rlog(struct replica *r, uint64_t from, struct dl_str body)
{
	struct dl_rlog_decoded m;

	if (!r->started || dl_rlog_decode(body, &m))
		return;
	m.msg.from_vm = from;
	dl_rlog_in(r->rlog, &m.msg, replica_now(r));
	dl_rlog_decoded_free(&m);
}

static void on_deflated_rlog(struct replica *r, uint64_t from,
			     struct dl_str body)
{
	char *text;
	size_t n;

	if (dl_inflate(body, DL_FRAME_BODY_MAX, &text, &n))
		return;
	on_rlog(r, from, (struct dl_str){ text, n });
	free(text);
}

static void on_frame(void *arg, uint64_t from, const struct dl_frame *frame)
{
	struct replica *r = arg;

	switch (frame->kind) {
	case DL_FRAME_RLOG:
		on_rlog(r, from, frame->body);
		return;
	case DL_FRAME_RLOG_DEFLATED:
		on_deflated_rlog(r, from, frame->body);
		return;
	case DL_FRAME_CMD:
		replica_cmd_frame(r, from, frame);
		return;
	case DL_FRAME_CONF_PULL:
		replica_conf_pull(r, from, frame);
		return;
	case DL_FRAME_LEASE_REQUEST:
		replica_lease_frame(r, from, frame);
		return;
	case DL_FRAME_REPORT:
		replica_announce_leaving(r, frame);
		return;
	case DL_FRAME_CRASHES:
	case DL_FRAME_PART_CRASHES:
		replica_quarantine_frame(r, frame);
		return;
	case DL_FRAME_REPORTS:
		replica_services_batch(r, frame);
		return;
	case DL_FRAME_UNCHANGED:
		replica_services_refresh(r, from, frame);
		return;
	case DL_FRAME_DEPARTURES_AT:
	case DL_FRAME_DEPARTURES_REQUEST:
	case DL_FRAME_DEPARTURES:
		replica_departures_frame(r, from, frame);
		return;
	case DL_FRAME_REPORTS_REQUEST:
		replica_announce_request(r, from, frame);
		return;
	case DL_FRAME_QUERY:
		replica_query_frame(r, from, frame);
		return;
	case DL_FRAME_QUERY_REPLY:
		if (!replica_orders_reply(r, frame))
			replica_query_reply(r, frame);
		return;
	default:
		return;
	}
}

static void restore_snapshot(struct replica *r, const struct dl_rlog_apply *a)
{
	struct dl_err err;

	if (dl_cstore_restore(r->cstore, a->data) == 0)
		return;
	dl_err_set(&err, DL_EDAMAGED, DL_STEP_STORE, NULL,
		   "the snapshot at %lu cannot be decoded",
		   (unsigned long)a->index);
	dl_rlog_halt(r->rlog, &err);
}

static void on_apply_idle(uv_idle_t *idle)
{
	/* An active idle handle keeps the loop from blocking. */
}

/* Whether all entries known to be committed are applied. */
bool replica_caught_up(const struct replica *r)
{
	return !uv_is_active((const uv_handle_t *)&r->apply_idle);
}

/*
 * Applies committed entries, a batch per loop iteration; returns whether all
 * are applied. The limit is for a leader after a restart, which learns at once
 * that all its entries are committed. Applying a dozen configurations of 800 KB
 * in one iteration takes seconds on a VM with 0.15 cores. Its heartbeats were
 * missed, and the next leader had the same work ahead of it.
 */
static bool apply_batch(struct replica *r)
{
	struct dl_rlog_apply a;
	size_t bytes = 0;

	while (bytes < APPLY_BATCH_BYTES) {
		if (!dl_rlog_apply(r->rlog, &a)) {
			uv_idle_stop(&r->apply_idle);
			return true;
		}
		bytes += a.data.n;
		if (a.kind == DL_RLOG_APPLY_RESTORE)
			restore_snapshot(r, &a);
		else
			replica_cmd_apply(r, &a);
	}
	uv_idle_start(&r->apply_idle, on_apply_idle);
	return false;
}

static void take_snapshot(struct replica *r)
{
	char *data;
	size_t n;

	if (!dl_rlog_snapshot_wanted(r->rlog) ||
	    dl_cstore_snapshot(r->cstore, &data, &n))
		return;
	dl_rlog_snapshot(r->rlog, (struct dl_str){ data, n });
	free(data);
}

static void start_write(struct replica *r)
{
	struct dl_rlog_record record;

	if (!dl_rlog_write(r->rlog, replica_now(r), &record))
		return;
	r->writing_seq = record.seq;
	r->write_started_at = replica_now(r);
	dl_rlog_store_write(r->store, &record,
			    (struct dl_disk_done){ on_written, r });
}

/*
 * Sends a log message. Large ones carry configurations, which deflate to a
 * tenth of their size.
 */
static void send_rlog(struct replica *r, uint64_t to, struct dl_str body)
{
	char *deflated;
	size_t n;

	if (body.n < DEFLATE_MIN_BYTES || dl_deflate(body, &deflated, &n)) {
		replica_send(r, to, DL_FRAME_RLOG, 0, body);
		return;
	}
	replica_send(r, to, DL_FRAME_RLOG_DEFLATED, 0,
		     (struct dl_str){ deflated, n });
	free(deflated);
}

static void send_rlog_messages(struct replica *r)
{
	struct dl_rlog_msg m;
	msgpack_sbuffer buf;

	msgpack_sbuffer_init(&buf);
	while (dl_rlog_out(r->rlog, replica_now(r), &m)) {
		msgpack_sbuffer_clear(&buf);
		dl_rlog_encode(&m, &buf);
		send_rlog(r, m.to_vm, (struct dl_str){ buf.data, buf.size });
	}
	msgpack_sbuffer_destroy(&buf);
}

static void pump(struct replica *r)
{
	int64_t now = replica_now(r);
	bool caught_up;

	if (!r->started) {
		start_write(r);
		replica_health_check(r);
		return;
	}
	if (now >= dl_rlog_wakeup(r->rlog))
		dl_rlog_tick(r->rlog, now);
	caught_up = apply_batch(r);
	if (caught_up)
		take_snapshot(r);
	start_write(r);
	send_rlog_messages(r);
	if (caught_up) {
		replica_conf_check(r);
		replica_evacuation_check(r);
		replica_lease_answer_waiters(r);
	}
	replica_health_check(r);
}

static void on_prepare(uv_prepare_t *prepare)
{
	pump(prepare->data);
}

static void on_written(void *arg, int code)
{
	struct replica *r = arg;

	dl_observe(DL_HIST_fsync_ms, replica_now(r) - r->write_started_at);
	r->started = r->started || !code;
	dl_rlog_written(r->rlog, r->writing_seq, code, replica_now(r));
}

/* If the first sync fails, the first write that succeeds takes its place. */
static void on_first_sync(void *arg, int code)
{
	struct replica *r = arg;

	if (code)
		dl_rlog_start_failed(r->rlog, code, replica_now(r));
	else
		r->started = true;
}

static void finish_stop(struct replica *r)
{
	struct dl_rlog_status s;
	int64_t now = replica_now(r);

	if (!r->stop_deadline)
		return;
	dl_rlog_get_status(r->rlog, now, &s);
	if (now < r->stop_deadline &&
	    (s.role == DL_RLOG_LEADER || dl_disk_file_busy(r->disk) ||
	     replica_http_awaited(r)))
		return;
	replica_cmd_abandon(r);
	replica_departures_abandon(r);
	if (replica_http_awaited(r) && now < r->stop_deadline + STOP_ANSWERS_MS)
		return;
	dl_node_end(&r->node, DL_EXIT_OK);
}

static void on_up(void *arg, uint64_t vm)
{
	replica_quarantine_up(arg, vm);
	replica_departures_up(arg, vm);
}

static void on_tick(void *arg, int64_t now)
{
	struct replica *r = arg;

	if (r->log_retry_at && replica_now(r) >= r->log_retry_at)
		start_log(r, replica_now(r));
	replica_cmd_tick(r, replica_now(r));
	replica_query_tick(r, replica_now(r));
	replica_orders_tick(r, replica_now(r));
	replica_http_tick(r, replica_now(r));
	replica_departures_tick(r, replica_now(r));
	replica_announce_tick(r, replica_now(r));
	replica_services_tick(r, replica_now(r));
	replica_quarantine_tick(r, replica_now(r));
	replica_conf_tick(r, replica_now(r));
	finish_stop(r);
}

/*
 * Starts a planned stop by transferring leadership, so that no one has to wait
 * for an election timeout. Whoever waits for an answer gets one before the end.
 * A repeated request stops at once.
 */
static void on_stop(void *arg, bool repeated)
{
	struct replica *r = arg;
	int64_t now = replica_now(r);

	if (repeated) {
		dl_node_end(&r->node, DL_EXIT_OK);
		return;
	}
	r->stop_deadline = now + STOP_TIMEOUT_MS;
	replica_http_stop(r);
	dl_rlog_transfer(r->rlog, now);
}

static uint64_t random_id(void)
{
	uint64_t id = 0;

	while (id == 0 && getrandom(&id, sizeof(id), 0) != sizeof(id))
		;
	return id;
}

static void set_log_conf(const struct replica *r, struct dl_rlog_conf *conf)
{
	const struct dl_settings *s = &r->node.settings;

	dl_rlog_defaults(conf);
	conf->self = r->node.self;
	conf->domain = dl_hash(dl_name_str(&s->failure_domain), 0);
	conf->listed_count = s->replicas_count;
	memcpy(conf->listed, s->replicas,
	       s->replicas_count * sizeof(conf->listed[0]));
	if (!s->failures_max)
		return;
	conf->joins_only = !s->found;
	conf->voters_wanted = 2 * s->failures_max + 1;
	conf->voter_timeout_ms = VOTER_TIMEOUT_MS;
}

/*
 * Reads the log, in place of one whose reading failed.  If this fails, the log
 * is halted: it has no identity, sends nothing and writes nothing.
 */
static int read_log(struct replica *r, int64_t now, struct dl_err *err)
{
	struct dl_rlog_image image;
	struct dl_rlog_conf conf;
	int code;

	set_log_conf(r, &conf);
	dl_rlog_free(r->rlog);
	dl_rlog_store_free(r->store);
	code = dl_rlog_store_open(dl_disk_file_disk(r->disk), random_id(),
				  &r->store, &image, err);
	r->rlog = dl_rlog_new(&conf, &image, (uint32_t)random_id(), now);
	if (code)
		dl_rlog_halt(r->rlog, err);
	return code;
}

/*
 * Reads the log and starts it.  If it is damaged, the process goes on with a
 * halted log and reports the reason, since an operator has to decide.  Other
 * errors may pass, so reading is repeated until it succeeds.
 */
static void start_log(struct replica *r, int64_t now)
{
	struct dl_disk_done done = { on_first_sync, r };
	struct dl_err err;
	int code = read_log(r, now, &err);

	r->log_retry_at = 0;
	if (code == DL_EDAMAGED) {
		r->started = true;
		return;
	}
	if (code) {
		if (!r->log_failures++) {
			r->log_failed_at = now;
			dl_msg(DL_MSG_REPLICA_UNREADABLE,
			       "step=\"%s\" reason=\"%s\"",
			       dl_step_name(err.step), err.text);
		}
		r->log_retry_at = now + LOG_RETRY_MS;
		return;
	}
	if (r->log_failures)
		dl_msg(DL_MSG_REPLICA_READ, "failed_ms=%ld tries=%u",
		       (long)(now - r->log_failed_at), r->log_failures);
	r->write_started_at = now;
	dl_rlog_store_start(r->store, done);
}

/* Opens the data folder and what is stored in it. */
static int open_log(struct replica *r, struct dl_err *err)
{
	int code = dl_disk_file_open(r->node.loop, r->node.settings.data_folder,
				     &r->disk, err);

	if (code)
		return code;
	replica_quarantine_open(r, dl_disk_file_disk(r->disk));
	start_log(r, replica_now(r));
	return 0;
}

static int open_all(struct replica *r, const char *path, struct dl_err *err)
{
	int code = dl_node_open(&r->node, path, true, &node_ops, r, err);

	if (code)
		return code;
	if (!r->node.settings.data_folder[0])
		return dl_err_set(err, -EINVAL, DL_STEP_READ, NULL,
				  "data_folder is missing in the settings");
	replica_health_init(r);
	r->started_at = replica_now(r);
	r->wall_offset_ms = dl_node_wall_ms() - r->started_at;
	r->cstore = dl_cstore_new();
	r->pending = g_array_new(FALSE, FALSE, sizeof(struct replica_pending));
	r->forwarded =
		g_array_new(FALSE, FALSE, sizeof(struct replica_forwarded));
	r->lease_waiters = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						 NULL, g_free);
	code = open_log(r, err);
	if (code)
		return code;
	r->announce = replica_announce_new();
	r->services = replica_services_new();
	code = replica_http_open(r, err);
	if (code)
		return code;
	if (replica_orders_open(r))
		return dl_err_set(err, -ENOMEM, DL_STEP_NONE, NULL,
				  "out of memory");
	uv_idle_init(r->node.loop, &r->apply_idle);
	uv_prepare_init(r->node.loop, &r->prepare);
	r->prepare.data = r;
	uv_prepare_start(&r->prepare, on_prepare);
	return 0;
}

static void close_all(struct replica *r)
{
	bool writing = dl_disk_file_busy(r->disk);

	dl_rlog_free(r->rlog);
	/* A write in progress still reads from the store's buffer. */
	if (!writing)
		dl_rlog_store_free(r->store);
	replica_conf_close(r);
	dl_cstore_free(r->cstore);
	g_array_free(r->pending, TRUE);
	g_array_free(r->forwarded, TRUE);
	g_hash_table_destroy(r->lease_waiters);
	if (!writing)
		replica_quarantine_close(r);
	if (!writing)
		dl_disk_file_close(r->disk);
}

/* Runs a replica until it is stopped. */
int dl_main_replica(int argc, char **argv)
{
	static struct replica r;
	char *path = dl_main_settings_option(&argc, &argv);
	struct dl_err err;
	char text[24];
	int status;

	if (!path)
		return DL_EXIT_USAGE;
	if (open_all(&r, path, &err)) {
		fprintf(stderr, "daisyledge: %s: %s\n", dl_step_name(err.step),
			err.text);
		return DL_EXIT_FAULT;
	}
	dl_msg(DL_MSG_REPLICA_START, "peer=%s", dl_vm_text(r.node.self, text));
	status = dl_node_run(&r.node);
	close_all(&r);
	g_free(path);
	return status;
}
