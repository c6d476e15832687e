/*
 * The configuration in force on this VM. It is pushed by a replica or another
 * VM, pulled if a peer has a higher version, replaced as a whole between two
 * events, and never replaced by a lower version.
 */
#include <stdlib.h>
#include <string.h>

#include "base/metric.h"
#include "base/msg.h"
#include "entry/entry.h"
#include "node/log.h"
#include "protocol/conf_push.h"
#include "protocol/deflate.h"

/* A lost push is recovered from within a second. */
#define PULL_INTERVAL_MS 500
/*
 * A version that is being parsed, or is queued for parsing, is not pulled
 * again; others are pulled at most this often. Without the limit, each sign of
 * a new version in gossip and in lease answers caused a pull, and each of 295
 * VMs received a text of 1,300 routes several times. A push may be late or
 * lost, as the replica that pushes to a domain may be slow, so a pull does not
 * wait for it.
 */
#define PULL_MIN_GAP_MS 100
/*
 * Parsing takes at most a quarter of this VM's time, unless a version has
 * waited for PARSE_WAIT_MAX_MS. On a VM with 0.12 cores, parsing one version
 * with 1,300 routes takes 0.3 to 1 s, during which the streams that it forwards
 * stall; versions may follow each other quickly. A version must be in force
 * within 2 s, and parsing of the previous one may only have begun when it
 * arrives: a longer pause after that would use up the time.
 */
#define PARSE_REST_FACTOR 3
#define PARSE_WAIT_MAX_MS 300
/* Texts are limited when they are accepted; rewriting them adds a little. */
#define INFLATED_MAX (2 * (size_t)DL_CONF_TEXT_MAX)
/* A text of 30 KB compresses to this size and is parsed in a millisecond. */
#define PARSE_INLINE_MAX 4096

/* The parsing of a pushed version. */
struct conf_parse {
	uv_work_t work;
	struct entry *e;
	int64_t started_at;
	uint32_t waited_ms;    /* including versions that it replaced */
	int64_t since_last_ms; /* since the last parse; -1: none */
	uint64_t version;
	char *pushed; /* as received */
	size_t pushed_n;
	char *text; /* decompressed; NULL if that failed */
	size_t text_n;
	struct dl_conf *conf; /* NULL if it has errors */
	struct dl_faults faults;
};

static void start_parsing(struct entry *e, struct conf_parse *r);

static void apply_drain(struct entry *e)
{
	const struct dl_conf *conf = e->conf;
	char text[24];
	bool drain = false;

	dl_vm_text(e->node.self, text);
	for (uint32_t i = 0; i < conf->drain_vms_count; i++)
		drain |= dl_name_eq(&conf->drain_vms[i], dl_str_of(text));
	e->draining = drain || e->node.stopping;
}

/* Replaces the configuration, then updates everything that depends on it. */
static void apply_conf(struct entry *e, const struct conf_parse *r,
		       struct dl_conf *conf)
{
	dl_conf_free(e->conf);
	g_free(e->conf_text);
	e->conf = conf;
	e->conf_text = g_memdup2(r->text, r->text_n);
	e->conf_text_n = r->text_n;
	e->version = r->version;
	entry_pool_configure(e);
	apply_drain(e);
	dl_main_log_set_level(conf->log_level);
	dl_memb_update_self(e->node.memb, e->draining, r->version,
			    entry_now(e));
	dl_gauge(DL_METRIC_config_version, (int64_t)r->version);
	entry_lease_version_applied(e);
	dl_msg(DL_MSG_ENTRY_CONF,
	       "version=%lu bytes=%zu waited_ms=%u rested_ms=%ld read_ms=%ld",
	       (unsigned long)r->version, r->pushed_n, r->waited_ms,
	       (long)r->since_last_ms, (long)(entry_now(e) - r->started_at));
}

/*
 * Forwards a push to some of the VMs that it names, each with a share of the
 * others to forward it to.
 */
static void relay(struct entry *e, uint64_t version, struct dl_str text,
		  const uint64_t *targets, uint32_t count)
{
	for (uint32_t i = 0; i < dl_conf_push_children(count); i++) {
		struct dl_packer pk;
		uint64_t to = dl_conf_push_pack(&pk, version, text, targets,
						count, i);

		dl_peers_send(e->node.peers, to, DL_FRAME_CONF_PUSH, 0,
			      dl_packer_bytes(&pk));
		dl_packer_close(&pk);
	}
}

/* Reads the VMs that a push names; the caller frees the list. */
static uint32_t read_relay_targets(struct dl_reader *r, uint64_t **out)
{
	const msgpack_object *o = r->next;

	*out = NULL;
	if (r->bad || r->remaining == 0 || o->type != MSGPACK_OBJECT_ARRAY ||
	    o->via.array.size == 0)
		return 0;
	*out = g_new(uint64_t, o->via.array.size);
	for (uint32_t i = 0; i < o->via.array.size; i++)
		(*out)[i] = o->via.array.ptr[i].via.u64;
	return o->via.array.size;
}

/*
 * Decompresses and parses a pushed version; in a worker thread if it is large.
 */
static void parse_pushed(struct conf_parse *r)
{
	if (dl_inflate((struct dl_str){ r->pushed, r->pushed_n }, INFLATED_MAX,
		       &r->text, &r->text_n)) {
		r->text = NULL;
		return;
	}
	if (dl_conf_parse((struct dl_str){ r->text, r->text_n }, &r->conf,
			  &r->faults))
		r->conf = NULL;
}

/* Applies a parsed version unless a newer one is in force by now. */
static void apply_parsed(struct entry *e, struct conf_parse *r)
{
	if (!r->text) {
		dl_msg(DL_MSG_CONF_BAD, "version=%lu reason=garbled",
		       (unsigned long)r->version);
	} else if (!r->conf) {
		dl_msg(DL_MSG_CONF_BAD, "version=%lu reason=\"%s: %s\"",
		       (unsigned long)r->version, r->faults.items[0].path,
		       r->faults.items[0].text);
	} else if (r->version > e->version) {
		g_free(e->conf_pushed);
		e->conf_pushed = r->pushed;
		e->conf_pushed_n = r->pushed_n;
		r->pushed = NULL;
		apply_conf(e, r, r->conf);
		r->conf = NULL;
	}
	dl_conf_free(r->conf);
	free(r->text);
	g_free(r->pushed);
	g_free(r);
}

static void parse_in_thread(uv_work_t *work)
{
	parse_pushed(work->data);
}

static void on_parsed(uv_work_t *work, int status)
{
	struct conf_parse *r = work->data;
	struct entry *e = r->e;
	int64_t now = entry_now(e);

	e->conf_parse = NULL;
	e->conf_last_parsed_at = now;
	e->conf_parse_not_before =
		now + PARSE_REST_FACTOR * (now - r->started_at);
	if (status == 0)
		apply_parsed(e, r);
}

/* Parses the newest version received meanwhile, once the pause is over. */
static void parse_next(struct entry *e, int64_t now)
{
	struct conf_parse *next = e->conf_next;

	if (!next || e->conf_parse)
		return;
	if (now < e->conf_parse_not_before &&
	    now - e->conf_waiting_since < PARSE_WAIT_MAX_MS)
		return;
	e->conf_next = NULL;
	start_parsing(e, next);
}

/*
 * Large versions are parsed in a worker thread, small ones at once. On a VM
 * with 0.12 cores, changes in quick succession of a configuration with 1,300
 * routes each blocked the event loop, and with it all streams, for 250 to 360
 * ms, which is more than short streams tolerate.
 */
static void start_parsing(struct entry *e, struct conf_parse *r)
{
	r->started_at = entry_now(e);
	r->waited_ms = (uint32_t)(r->started_at - e->conf_waiting_since);
	r->since_last_ms = e->conf_last_parsed_at ?
				   r->started_at - e->conf_last_parsed_at :
				   -1;
	if (r->pushed_n <= PARSE_INLINE_MAX) {
		parse_pushed(r);
		apply_parsed(e, r);
		return;
	}
	e->conf_parse = r;
	uv_queue_work(e->node.loop, &r->work, parse_in_thread, on_parsed);
}

/*
 * Queues a newer version as it was pushed. One version is parsed at a time; of
 * those that arrive meanwhile, the newest is parsed next.
 */
static void queue_version(struct entry *e, uint64_t version,
			  struct dl_str pushed)
{
	struct conf_parse *r;

	if (e->conf_parse && e->conf_parse->version >= version)
		return;
	if (e->conf_next && e->conf_next->version >= version)
		return;
	r = g_new0(struct conf_parse, 1);
	r->e = e;
	r->version = version;
	r->pushed = g_memdup2(pushed.s, pushed.n);
	r->pushed_n = pushed.n;
	r->work.data = r;
	if (e->conf_next) {
		g_free(e->conf_next->pushed);
		g_free(e->conf_next);
	} else {
		e->conf_waiting_since = entry_now(e);
	}
	e->conf_next = r;
	parse_next(e, entry_now(e));
}

static void on_push(struct entry *e, uint64_t from, const struct dl_frame *f)
{
	uint64_t *targets;
	struct dl_reader r;
	struct dl_str text;
	uint64_t version;
	uint32_t count;

	dl_reader_open(&r, f->body);
	version = dl_read_u64(&r);
	text = dl_read_str(&r);
	if (r.bad) {
		dl_reader_close(&r);
		return;
	}
	count = read_relay_targets(&r, &targets);
	if (count)
		relay(e, version, text, targets, count);
	g_free(targets);
	if (version > e->version)
		queue_version(e, version, text);
	dl_reader_close(&r);
	if (entry_cmd_is_replica(e, from))
		e->replica_heard_at = entry_now(e);
}

static void on_pull(struct entry *e, uint64_t from, const struct dl_frame *f)
{
	struct dl_packer pk;
	struct dl_reader r;
	uint64_t have;

	dl_reader_open(&r, f->body);
	have = dl_read_u64(&r);
	if (r.bad || have >= e->version) {
		dl_reader_close(&r);
		return;
	}
	dl_reader_close(&r);
	dl_conf_push_pack(&pk, e->version,
			  (struct dl_str){ e->conf_pushed, e->conf_pushed_n },
			  &from, 1, 0);
	dl_peers_send(e->node.peers, from, DL_FRAME_CONF_PUSH, 0,
		      dl_packer_bytes(&pk));
	dl_packer_close(&pk);
}

/* Handles a push or a pull of a configuration. */
void entry_conf_frame(struct entry *e, uint64_t from,
		      const struct dl_frame *frame)
{
	if (frame->kind == DL_FRAME_CONF_PUSH)
		on_push(e, from, frame);
	else
		on_pull(e, from, frame);
}

/* Requests a newer version from a VM. */
static void pull(struct entry *e, uint64_t vm)
{
	struct dl_packer pk;

	dl_packer_open(&pk, 1);
	dl_pack_u64(&pk, e->version);
	dl_peers_send(e->node.peers, vm, DL_FRAME_CONF_PULL, 0,
		      dl_packer_bytes(&pk));
	dl_packer_close(&pk);
}

/* Returns the newest version that is in force, being parsed or queued. */
static uint64_t newest_pending_version(const struct entry *e)
{
	if (e->conf_next)
		return e->conf_next->version;
	return e->conf_parse ? MAX(e->conf_parse->version, e->version) :
			       e->version;
}

/* Pulls from a VM whose version is newer than any known here. */
void entry_conf_version_seen(struct entry *e, uint64_t version, uint64_t vm)
{
	int64_t now = entry_now(e);

	if (version <= newest_pending_version(e) ||
	    now - e->conf_pulled_at < PULL_MIN_GAP_MS)
		return;
	e->conf_pulled_at = now;
	pull(e, vm);
}

/* Handles the configuration version that a member reports. */
void entry_conf_member(struct entry *e, const struct dl_member *m)
{
	if (m->state == DL_ALIVE && m->vm != e->node.self)
		entry_conf_version_seen(e, m->config_version, m->vm);
}

/* Pulls periodically if this VM has no configuration or an old one. */
void entry_conf_tick(struct entry *e, int64_t now)
{
	const struct dl_settings *s = &e->node.settings;
	uint64_t newest, vm;

	dl_gauge(DL_METRIC_replica_heard_ms_ago, now - e->replica_heard_at);
	parse_next(e, now);
	if (now - e->conf_pulled_at < PULL_INTERVAL_MS)
		return;
	newest = dl_memb_newest_config(e->node.memb, &vm);
	if (newest > newest_pending_version(e)) {
		entry_conf_version_seen(e, newest, vm);
		return;
	}
	e->conf_pulled_at = now;
	if (newest_pending_version(e) || !s->replicas_count)
		return;
	pull(e,
	     s->replicas[(uint64_t)now / PULL_INTERVAL_MS % s->replicas_count]);
}
