/* The parts that entries and replicas have in common. */
#include "node/node.h"

#include <errno.h>
#include <log4c.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>

#include "base/metric.h"
#include "base/msg.h"
#include "node/log.h"

#define INCARNATION_SHIFT 10
#define NS_PER_S	  1000000000
/* Interval at which the settings file is checked for changes. */
#define SETTINGS_POLL_MS 1000

static void on_frame(void *arg, uint64_t from, const struct dl_frame *frame);
static void on_up(void *arg, uint64_t vm);
static void on_down(void *arg, uint64_t vm);
/* A tick after this long shows that the process did not run; 10 are missing. */
#define PAUSE_MS ((int64_t)10 * DL_NODE_TICK_MS)
/* Shorter pauses are counted only: a busy VM has many. */
#define PAUSE_LOGGED_MS 1000

static void on_tick(uv_timer_t *timer);
static void on_signal(uv_signal_t *handle, int signum);

/*
 * Whether a VM is a replica: departures of endpoints mostly come from one, and
 * there are few.
 */
static bool is_replica(void *arg, uint64_t vm)
{
	const struct dl_node *node = arg;
	const struct dl_member *m = dl_memb_find(node->memb, vm);

	return m && m->replica;
}

static const struct dl_peers_ops peers_ops = {
	.frame = on_frame,
	.up = on_up,
	.down = on_down,
	.dated_soon = is_replica,
};

/*
 * Returns the event loop's time. It is constant during one loop iteration, so
 * decisions in the same iteration agree.
 */
int64_t dl_node_now(const struct dl_node *node)
{
	return (int64_t)uv_now(node->loop);
}

/* Returns the wall clock, for display and for expiry times only. */
int64_t dl_node_wall_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_REALTIME, &ts);
	return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

/*
 * Returns the time since boot, read anew on each call and including time in
 * which the VM was suspended.
 */
int64_t dl_node_boot_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_BOOTTIME, &ts);
	return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

static void on_frame(void *arg, uint64_t from, const struct dl_frame *frame)
{
	struct dl_node *node = arg;

	if (frame->kind != DL_FRAME_MEMBERSHIP) {
		node->ops->frame(node->arg, from, frame);
		return;
	}
	dl_memb_receive(node->memb, from, frame->body, dl_node_now(node));
	dl_node_pump(node);
}

static void on_up(void *arg, uint64_t vm)
{
	struct dl_node *node = arg;

	if (node->ops->up)
		node->ops->up(node->arg, vm);
}

static void on_down(void *arg, uint64_t vm)
{
	struct dl_node *node = arg;

	if (node->ops->down)
		node->ops->down(node->arg, vm);
}

/* Counts VMs that membership has no room for; the first one is logged. */
static void note_ignored_members(struct dl_node *node)
{
	uint64_t ignored = dl_memb_ignored(node->memb);
	uint64_t dropped = dl_memb_dropped(node->memb);

	dl_count(DL_METRIC_memb_dropped,
		 (int64_t)(dropped - node->memb_dropped));
	node->memb_dropped = dropped;
	if (ignored == node->members_ignored)
		return;
	if (!node->members_ignored)
		dl_msg(DL_MSG_MEMB_FULL, "ignored=%lu", (unsigned long)ignored);
	dl_count(DL_METRIC_members_ignored, ignored - node->members_ignored);
	node->members_ignored = ignored;
}

/* Sends pending membership datagrams and delivers membership events. */
void dl_node_pump(struct dl_node *node)
{
	char buf[DL_MEMB_DATAGRAM_MAX];
	struct dl_member member;
	uint64_t to;
	size_t n;

	while (dl_memb_next_datagram(node->memb, dl_node_now(node), &to, buf,
				     &n))
		dl_peers_send_datagram(node->peers, to, DL_FRAME_MEMBERSHIP, 0,
				       (struct dl_str){ buf, n });
	while (dl_memb_next_event(node->memb, &member)) {
		if (node->ops->member)
			node->ops->member(node->arg, &member);
	}
	note_ignored_members(node);
}

/* For tests: blocks the peers listed in the file; none if it is missing. */
static void read_cut_file(struct dl_node *node)
{
	FILE *f = fopen(node->settings.cut_file, "re");
	uint64_t vms[DL_PEERS_BLOCKED_MAX];
	char line[64];
	uint32_t n = 0;

	while (f && n < DL_PEERS_BLOCKED_MAX && fgets(line, sizeof(line), f)) {
		line[strcspn(line, "\n")] = '\0';
		if (dl_vm_parse(dl_str_of(line), &vms[n]))
			n++;
	}
	if (f)
		fclose(f);
	dl_peers_block(node->peers, vms, n);
}

/* Returns the modification time in ns, or 0 on error. */
static int64_t file_mtime(const char *path)
{
	struct stat st;

	if (stat(path, &st))
		return 0;
	return (int64_t)st.st_mtim.tv_sec * NS_PER_S + st.st_mtim.tv_nsec;
}

static void seed_replicas(struct dl_node *node)
{
	const struct dl_settings *s = &node->settings;

	for (uint32_t i = 0; i < s->replicas_count; i++) {
		if (s->replicas[i] != node->self)
			dl_memb_add_seed(node->memb, s->replicas[i],
					 dl_node_now(node));
	}
}

/*
 * Handles settings that were not loaded.  If the file could not be read, which
 * may pass, it is read again at the next poll; the first failure is logged.
 */
static void reload_failed(struct dl_node *node, const struct dl_err *err)
{
	bool unread = err->step == DL_STEP_READ;

	if (!unread)
		dl_msg(DL_MSG_RELOAD_FAILED, "reason=\"%s\"", err->text);
	else if (!node->settings_unread)
		dl_msg(DL_MSG_SETTINGS_UNREADABLE, "reason=\"%s\"", err->text);
	node->settings_unread = unread;
}

/*
 * Reloads the settings. Only the list of replicas and the bounds on repeats
 * take effect in a running process; its own addresses and folders need a
 * restart. Settings that cannot be read change nothing.
 */
static void reload(struct dl_node *node)
{
	struct dl_settings next;
	struct dl_err err;

	node->settings_mtime = file_mtime(node->settings_path);
	if (dl_settings_load(node->settings_path, &next, &err)) {
		reload_failed(node, &err);
		return;
	}
	node->settings_unread = false;
	memcpy(node->settings.replicas, next.replicas, sizeof(next.replicas));
	node->settings.replicas_count = next.replicas_count;
	node->settings.retry_permille = next.retry_permille;
	node->settings.retry_slack = next.retry_slack;
	node->settings.retry_window_ms = next.retry_window_ms;
	seed_replicas(node);
	dl_msg(DL_MSG_RELOAD, "replicas=%u", next.replicas_count);
	if (node->ops->reload)
		node->ops->reload(node->arg);
}

/*
 * Reloads the settings if the file changed without a SIGHUP, or could not be
 * read the last time.
 */
static void poll_settings(struct dl_node *node, int64_t now)
{
	if (now - node->settings_polled_at < SETTINGS_POLL_MS)
		return;
	node->settings_polled_at = now;
	if (node->settings_unread ||
	    file_mtime(node->settings_path) != node->settings_mtime)
		reload(node);
}

/*
 * Whether this process did not run for a while. Its sockets are then read
 * before the next tick, which may take what has arrived for silence otherwise.
 * One tick is left out at most: on a busy VM each may be late.
 */
static bool was_paused(struct dl_node *node, int64_t now)
{
	int64_t ms = now - node->ticked_at;
	bool paused = node->ticked_at && ms >= PAUSE_MS && !node->tick_left_out;

	node->ticked_at = now;
	node->tick_left_out = paused;
	if (paused && ms >= PAUSE_LOGGED_MS)
		dl_msg(DL_MSG_PAUSED, "paused_ms=%ld", (long)ms);
	dl_count(DL_METRIC_pauses, paused);
	return paused;
}

static void on_tick(uv_timer_t *timer)
{
	struct dl_node *node = timer->data;

	if (was_paused(node, dl_node_now(node)))
		return;
	poll_settings(node, dl_node_now(node));

	if (node->settings.cut_file[0])
		read_cut_file(node);

	dl_node_pump(node);
	if (node->ops->tick)
		node->ops->tick(node->arg, dl_node_now(node));
	dl_main_log_flush();
}

static void on_signal(uv_signal_t *handle, int signum)
{
	struct dl_node *node = handle->data;
	bool repeated = node->stopping;

	if (signum == SIGHUP) {
		reload(node);
		return;
	}
	if (signum == SIGUSR1) {
		dl_main_log_cycle_level();
		return;
	}
	/* A supervisor may repeat SIGTERM; only SIGINT forces a faster stop. */
	if (repeated && signum == SIGTERM) {
		dl_msg(DL_MSG_STOP_REPEATED, "signal=%d", signum);
		return;
	}
	node->stopping = true;
	node->ops->stop(node->arg, repeated);
}

static void start_signal(struct dl_node *node, uv_signal_t *handle, int signum)
{
	uv_signal_init(node->loop, handle);
	handle->data = node;
	uv_signal_start(handle, on_signal, signum);
}

static int start_peers(struct dl_node *node, struct dl_err *err)
{
	struct dl_peers_conf conf;

	dl_peers_defaults(&conf);
	conf.self = node->self;
	conf.incarnation = node->incarnation;
	conf.date_frames = node->settings.endpoint_drain_ms > 0;
	return dl_peers_open(node->loop, &conf, &peers_ops, node, &node->peers,
			     err);
}

static int start_memb(struct dl_node *node, bool replica, struct dl_err *err)
{
	const struct dl_settings *s = &node->settings;
	struct dl_memb_conf conf;
	int64_t now = dl_node_now(node);

	memset(&conf, 0, sizeof(conf));
	dl_memb_defaults(&conf);
	conf.self = node->self;
	conf.incarnation = node->incarnation;
	conf.domain = *dl_settings_pool_domain(s);
	conf.replica = replica;
	node->memb = dl_memb_new(&conf, node->incarnation, now);
	if (!node->memb)
		return dl_err_set(err, -ENOMEM, DL_STEP_NONE, NULL,
				  "out of memory");
	for (uint32_t i = 0; i < s->peers_count; i++) {
		if (s->peers[i] != node->self)
			dl_memb_add_seed(node->memb, s->peers[i], now);
	}
	seed_replicas(node);
	return 0;
}

/* Loads the settings and starts all common parts. */
int dl_node_open(struct dl_node *node, const char *settings_path, bool replica,
		 const struct dl_node_ops *ops, void *arg, struct dl_err *err)
{
	int rc;

	memset(node, 0, sizeof(*node));
	node->loop = uv_default_loop();
	node->ops = ops;
	node->arg = arg;
	node->settings_path = strdup(settings_path);
	node->settings_mtime = file_mtime(settings_path);
	rc = dl_settings_load(settings_path, &node->settings, err);
	if (rc)
		return rc;
	rc = dl_main_log_open(node->settings.log_file,
			      node->settings.log_level);
	if (rc)
		return dl_err_set(err, rc, DL_STEP_STORE, NULL,
				  "cannot open the log file");
	node->self = node->settings.peer;
	/*
	 * Higher at each start: two starts within one millisecond are not
	 * possible, because the address must be free first.
	 */
	node->incarnation = (uint64_t)dl_node_wall_ms() << INCARNATION_SHIFT;
	signal(SIGPIPE, SIG_IGN);
	rc = start_peers(node, err);
	if (!rc)
		rc = start_memb(node, replica, err);
	if (!rc)
		rc = dl_node_metrics_open(node, err);
	if (rc)
		return rc;
	uv_timer_init(node->loop, &node->timer);
	node->timer.data = node;
	uv_timer_start(&node->timer, on_tick, 0, DL_NODE_TICK_MS);
	start_signal(node, &node->sigterm, SIGTERM);
	start_signal(node, &node->sigint, SIGINT);
	start_signal(node, &node->sigusr1, SIGUSR1);
	start_signal(node, &node->sighup, SIGHUP);
	return 0;
}

static int node_exit_status;

/* Runs the event loop until dl_node_end(); returns the exit status. */
int dl_node_run(struct dl_node *node)
{
	uv_run(node->loop, UV_RUN_DEFAULT);
	dl_memb_free(node->memb);
	return node_exit_status;
}

/* Announces to the other VMs that the process leaves and stops the loop. */
void dl_node_end(struct dl_node *node, int status)
{
	node_exit_status = status;
	dl_memb_leave(node->memb, dl_node_now(node));
	dl_node_pump(node);
	uv_stop(node->loop);
}
