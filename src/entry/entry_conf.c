/*
 * The configuration in force on this VM. It is pushed by a replica or another
 * VM, as a whole text or as a delta, pulled if a peer has a higher version,
 * replaced as a whole between two events, and never replaced by a lower
 * version. Which version is read next is decided in src/state/conf_arrival.c.
 */
#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "base/metric.h"
#include "base/msg.h"
#include "entry/entry_conf_int.h"
#include "node/log.h"
#include "protocol/conf_push.h"
#include "protocol/deflate.h"
#include "state/conf_delta_cost.h"

/* A lost push is recovered from within a second. */
#define PULL_INTERVAL_MS 500
/*
 * A version that is being read, or waits to be read, is not pulled again;
 * others are pulled at most this often. Without the limit, each sign of a new
 * version in gossip and in lease answers caused a pull, and each of 295 VMs
 * received a text of 1,300 routes several times. A push may be late or lost, as
 * the replica that pushes to a domain may be slow, so a pull does not wait for
 * it.
 */
#define PULL_MIN_GAP_MS 100
/*
 * While the text in force is being split into sections, its digest is not known
 * and a pull would be answered with another whole text. Pulls wait this long
 * for it.
 */
#define PULL_SPLIT_WAIT_MS 500
#define NS_PER_US	   1000
#define US_PER_MS	   1000

static void pull(struct entry *e, uint64_t vm);
static void pull_from(struct entry *e, uint64_t version, uint64_t vm);

static bool is_delta(const struct conf_job *job)
{
	return dl_conf_is_delta(&job->received);
}

/* Frees the reading of a version, also one that is not complete. */
void entry_conf_job_free(void *arg)
{
	struct conf_job *job = arg;

	if (job->steps)
		dl_conf_delta_end(job->steps, NULL, NULL);
	free(job->body);
	free(job->text);
	conf_parsed_unref(job->base);
	dl_conf_free(job->conf);
	dl_conf_tree_free(job->tree);
	dl_conf_sections_free(job->sections);
	g_free(job);
}

/* Prepares an entry for its first version. */
void entry_conf_init(struct entry *e)
{
	e->confs = g_new0(struct entry_conf, 1);
	e->confs->arrivals.drop = entry_conf_job_free;
	entry_conf_slices_init(e);
}

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

/* Replaces the configuration by a version that was read. */
static void replace_parsed(struct entry *e, struct conf_job *job)
{
	struct conf_parsed *p = g_new0(struct conf_parsed, 1);

	p->references = 1;
	p->version = job->received.id.version;
	p->conf = job->conf;
	p->sections = job->sections;
	job->conf = NULL;
	job->sections = NULL;
	conf_parsed_unref(e->confs->parsed);
	e->confs->parsed = p;
	e->conf = p->conf;
	e->version = p->version;
}

/* Keeps what answers pulls and what the next delta leads from. */
static void keep(struct entry *e, struct conf_job *job)
{
	struct dl_conf_delta_head head = {
		.base_version = job->received.base.version,
		.base_digest = job->received.base.digest,
		.version = job->received.id.version,
		.digest = job->received.id.digest,
	};

	if (is_delta(job)) {
		entry_conf_keep_delta(
			e, &head, (struct dl_str){ job->body, job->body_n });
		return;
	}
	entry_conf_keep_whole(e, job->tree, job->body, job->body_n);
	job->tree = NULL;
	job->body = NULL;
}

static void log_in_force(const struct entry *e, const struct conf_job *job)
{
	char delta[128] = "";

	if (is_delta(job))
		snprintf(
			delta, sizeof(delta),
			" delta=%d base=%lu slices=%u slice_ms=%ld slice_cpu_ms=%ld",
			1, (unsigned long)job->received.base.version,
			job->slices, (long)(job->pace.busy_us / US_PER_MS),
			(long)(job->cpu_us / US_PER_MS));
	dl_msg(DL_MSG_ENTRY_CONF,
	       "version=%lu bytes=%zu waited_ms=%u rested_ms=%ld read_ms=%ld "
	       "keys_required=%d%s",
	       (unsigned long)job->received.id.version, job->received.bytes,
	       job->waited_ms, (long)job->since_last_ms,
	       (long)(entry_now(e) - job->started_at), e->conf->keys_required,
	       delta);
}

/* Puts a version in force, then updates everything that depends on it. */
static void put_in_force(struct entry *e, struct conf_job *job)
{
	if (!dl_conf_arrivals_put_in_force(&e->confs->arrivals,
					   job->received.id, !is_delta(job)))
		return;
	replace_parsed(e, job);
	e->confs->ask_whole = false;
	entry_pool_configure(e);
	apply_drain(e);
	dl_main_log_set_level(e->conf->log_level);
	dl_memb_update_self(e->node.memb, e->draining, e->version,
			    entry_now(e));
	dl_gauge(DL_METRIC_config_version, (int64_t)e->version);
	dl_count(is_delta(job) ? DL_METRIC_conf_deltas_applied :
				 DL_METRIC_conf_whole_reads,
		 1);
	entry_lease_version_applied(e);
	log_in_force(e, job);
	keep(e, job);
}

/*
 * Forwards a push to some of the VMs that it names, each with a share of the
 * others to forward it to.
 */
static void relay(struct entry *e, uint32_t kind, const struct dl_conf_push *p)
{
	for (uint32_t i = 0; i < dl_conf_push_children(p->vms_count); i++) {
		struct dl_packer pk;
		uint64_t to = dl_conf_push_pack(&pk, p->version, p->body,
						p->vms, p->vms_count, i);

		dl_peers_send(e->node.peers, to, kind, 0, dl_packer_bytes(&pk));
		dl_packer_close(&pk);
	}
}

/*
 * Logs why a delta was not used, and pulls from the VM that sent it. A digest
 * in the pull is answered with a delta from that version; after a delta that
 * led to a bad result the whole text is pulled instead.
 */
static void reject_delta(struct entry *e, const struct conf_job *job,
			 const char *reason)
{
	char peer[24];
	bool is_bad = strcmp(reason, "base") != 0;

	dl_count(DL_METRIC_conf_deltas_unusable, 1);
	dl_msg(DL_MSG_CONF_DELTA_UNUSABLE,
	       "version=%lu base=%lu reason=%s peer=%s",
	       (unsigned long)job->received.id.version,
	       (unsigned long)job->received.base.version, reason,
	       dl_vm_text(job->from, peer));
	e->confs->ask_whole |= is_bad;
	pull_from(e, job->received.id.version, job->from);
}

/*
 * Reads a whole text, or a delta to a large head; in a worker thread unless it
 * is small.
 */
static void read_version(struct conf_job *job)
{
	if (is_delta(job)) {
		job->rc = dl_conf_delta_apply(
			(struct dl_str){ job->text, job->text_n },
			job->base->version, job->base->sections,
			job->base->conf, &job->sections, &job->conf,
			&job->faults);
		return;
	}
	job->rc = dl_inflate((struct dl_str){ job->body, job->body_n },
			     CONF_INFLATED_MAX, &job->text, &job->text_n);
	if (job->rc) {
		job->text = NULL;
		job->rc = -EBADMSG;
		return;
	}
	job->rc = dl_conf_tree_parse((struct dl_str){ job->text, job->text_n },
				     &job->conf, &job->tree, &job->faults);
}

/* Handles a delta that led to no version. */
static void handle_bad_delta(struct entry *e, const struct conf_job *job)
{
	bool other_base = job->base->version != job->received.base.version;

	if (job->rc == -ESTALE)
		reject_delta(e, job, other_base ? "base" : "digest");
	else if (job->rc == -EINVAL)
		reject_delta(e, job, "faults");
	else
		reject_delta(e, job, "damaged");
}

/* Puts a version that was read in force unless a newer one is by now. */
static void handle_read(struct entry *e, struct conf_job *job)
{
	if (job->rc == 0)
		put_in_force(e, job);
	else if (job->rc == -ECANCELED)
		; /* a newer version came into force before it was read */
	else if (is_delta(job))
		handle_bad_delta(e, job);
	else if (!job->text)
		dl_msg(DL_MSG_CONF_BAD, "version=%lu reason=garbled",
		       (unsigned long)job->received.id.version);
	else
		dl_msg(DL_MSG_CONF_BAD, "version=%lu reason=\"%s: %s\"",
		       (unsigned long)job->received.id.version,
		       job->faults.items[0].path, job->faults.items[0].text);
	entry_conf_job_free(job);
}

static void read_in_thread(uv_work_t *work)
{
	read_version(work->data);
}

/* Handles a large version that was read, and goes on with those that wait. */
void entry_conf_read(struct entry *e, struct conf_job *job)
{
	int64_t now = entry_now(e);

	e->conf_last_read_at = now;
	dl_conf_arrivals_read(&e->confs->arrivals, &job->received,
			      now - job->started_at, now);
	handle_read(e, job);
	entry_conf_pump(e, now);
}

static void on_read(uv_work_t *work, int status)
{
	struct conf_job *job = work->data;

	entry_conf_read(job->e, job);
}

/*
 * Large whole texts are read in a worker thread, deltas that take long in
 * slices, and other versions at once. On a VM with 0.12 cores, changes in quick
 * succession of a configuration with 1,300 routes each blocked the event loop,
 * and with it all streams, for 250 to 360 ms, which is more than short streams
 * tolerate.
 */
static void start_reading(struct entry *e, struct conf_job *job)
{
	struct entry_conf *c = e->confs;

	job->started_at = entry_now(e);
	job->waited_ms =
		(uint32_t)(job->started_at - c->arrivals.waiting_since);
	job->since_last_ms = e->conf_last_read_at ?
				     job->started_at - e->conf_last_read_at :
				     -1;
	if (is_delta(job))
		job->base = conf_parsed_ref(c->parsed);
	if (job->received.own_pace) {
		if (entry_conf_slices_start(e, job))
			handle_read(e, job);
	} else if (job->received.small) {
		read_version(job);
		handle_read(e, job);
	} else {
		uv_queue_work(e->node.loop, &job->work, read_in_thread,
			      on_read);
	}
}

/*
 * Whether a version that is to be read at once would stall the event loop, as
 * shown by its base.
 */
static bool takes_long(const struct entry *e, const struct conf_job *job)
{
	const struct conf_parsed *base = e->confs->parsed;

	return job->received.small && is_delta(job) &&
	       !dl_conf_delta_is_cheap((struct dl_str){ job->text,
							job->text_n },
				       base->sections, base->conf);
}

/*
 * Whether a delta is to be applied in a worker thread: its head, which may have
 * tens of thousands of workspaces, is parsed in one step.
 */
static bool needs_thread(const struct entry *e, const struct conf_job *job)
{
	return job->received.own_pace &&
	       dl_conf_delta_has_large_head((struct dl_str){ job->text,
							     job->text_n },
					    e->confs->parsed->sections);
}

/* Reads a version, or puts it back to be read in another way. */
static void read_or_put_back(struct entry *e, struct conf_job *job)
{
	bool thread = needs_thread(e, job);

	if (!thread && !takes_long(e, job)) {
		start_reading(e, job);
		return;
	}
	job->received.own_pace &= !thread;
	job->received.small = false;
	dl_conf_arrivals_put_back(&e->confs->arrivals, &job->received);
}

/* Reads the versions whose turn it is. */
void entry_conf_pump(struct entry *e, int64_t now)
{
	struct dl_conf_received r;

	for (;;) {
		switch (dl_conf_arrivals_next(&e->confs->arrivals, now, &r)) {
		case DL_CONF_WAIT:
			return;
		case DL_CONF_READ:
			read_or_put_back(e, r.job);
			break;
		case DL_CONF_BASE_GONE:
			reject_delta(e, r.job, "base");
			entry_conf_job_free(r.job);
			break;
		case DL_CONF_BASE_OTHER:
			reject_delta(e, r.job, "digest");
			entry_conf_job_free(r.job);
			break;
		case DL_CONF_SUPERSEDED:
			/*
			 * A replica has one delta past all of them; another
			 * entry would send them again.
			 */
			pull_from(e, r.id.version, entry_cmd_any_replica(e));
			entry_conf_job_free(r.job);
			break;
		}
	}
}

static struct conf_job *job_new(struct entry *e, uint64_t from,
				const struct dl_conf_push *p)
{
	struct conf_job *job = g_new0(struct conf_job, 1);

	job->e = e;
	job->from = from;
	job->work.data = job;
	job->arrived_us = (int64_t)(uv_hrtime() / NS_PER_US);
	job->body = malloc(p->body.n ? p->body.n : 1);
	if (!job->body)
		abort();
	memcpy(job->body, p->body.s, p->body.n);
	job->body_n = p->body.n;
	job->received = (struct dl_conf_received){
		.id.version = p->version,
		.small = p->body.n <= DL_CONF_SMALL_BYTES,
		.bytes = p->body.n,
		.job = job,
	};
	return job;
}

/* Queues a version; one whose base is not known is pulled instead. */
static void queue_version(struct entry *e, struct conf_job *job)
{
	int64_t now = entry_now(e);

	switch (dl_conf_arrivals_add(&e->confs->arrivals, &job->received,
				     now)) {
	case DL_CONF_QUEUED:
		entry_conf_pump(e, now);
		return;
	case DL_CONF_NO_BASE:
		reject_delta(e, job, "base");
		break;
	case DL_CONF_OTHER_BASE:
		reject_delta(e, job, "digest");
		break;
	case DL_CONF_KNOWN:
	case DL_CONF_FULL:
		break;
	}
	entry_conf_job_free(job);
}

/* Inflates a delta and queues it. */
static void queue_delta(struct entry *e, struct conf_job *job)
{
	struct dl_conf_delta_head head;

	if (dl_inflate((struct dl_str){ job->body, job->body_n },
		       CONF_INFLATED_MAX, &job->text, &job->text_n)) {
		job->text = NULL;
		reject_delta(e, job, "damaged");
		entry_conf_job_free(job);
		return;
	}
	if (dl_conf_delta_head((struct dl_str){ job->text, job->text_n },
			       &head) ||
	    head.version != job->received.id.version) {
		reject_delta(e, job, "damaged");
		entry_conf_job_free(job);
		return;
	}
	job->received.id.digest = head.digest;
	job->received.base =
		(struct dl_conf_id){ head.base_version, head.base_digest };
	job->received.own_pace = true;
	queue_version(e, job);
}

/*
 * Whether a whole text may be spared by a delta: it answers a pull, and its
 * sender, an entry, has no delta from the version in force here.
 */
static bool has_better_source(struct entry *e, uint64_t from,
			      const struct dl_conf_received *r)
{
	const struct entry_conf *c = e->confs;

	return !r->small && !c->ask_whole && c->arrivals.in_force.digest &&
	       from == c->pulled_from && !entry_cmd_is_replica(e, from) &&
	       r->id.version > dl_conf_arrivals_newest(&c->arrivals);
}

/* Queues a whole text; replicas keep more deltas than entries have applied. */
static void queue_whole(struct entry *e, struct conf_job *job, uint64_t from)
{
	uint64_t replica = entry_cmd_any_replica(e);
	bool pulls = replica != DL_VM_NONE &&
		     has_better_source(e, from, &job->received);

	job->received.awaits_delta = pulls;
	queue_version(e, job);
	if (pulls)
		pull(e, replica);
}

static void on_push(struct entry *e, uint64_t from, const struct dl_frame *f)
{
	struct dl_conf_push p;

	if (dl_conf_push_read(f->body, &p))
		return;
	relay(e, f->kind, &p);
	free(p.vms);
	if (p.version > e->version) {
		if (f->kind == DL_FRAME_CONF_DELTA)
			queue_delta(e, job_new(e, from, &p));
		else
			queue_whole(e, job_new(e, from, &p), from);
	}
	if (entry_cmd_is_replica(e, from))
		e->replica_heard_at = entry_now(e);
}

/* Handles a push or a pull of a configuration. */
void entry_conf_frame(struct entry *e, uint64_t from,
		      const struct dl_frame *frame)
{
	if (frame->kind == DL_FRAME_CONF_PULL)
		entry_conf_pulled(e, from, frame);
	else
		on_push(e, from, frame);
}

/* Requests a newer version from a VM. */
static void pull(struct entry *e, uint64_t vm)
{
	const struct entry_conf *c = e->confs;
	struct dl_packer pk;

	e->conf_pulled_at = entry_now(e);
	e->confs->pulled_from = vm;
	dl_conf_pull_pack(&pk, e->version,
			  c->ask_whole ? 0 : c->arrivals.in_force.digest);
	dl_peers_send(e->node.peers, vm, DL_FRAME_CONF_PULL, 0,
		      dl_packer_bytes(&pk));
	dl_packer_close(&pk);
}

/* Whether a pull has to wait. */
static bool pull_is_early(const struct entry *e, int64_t now)
{
	const struct entry_conf *c = e->confs;

	if (now - e->conf_pulled_at < PULL_MIN_GAP_MS)
		return true;
	return !c->ask_whole && c->split &&
	       now - c->split_started_at < PULL_SPLIT_WAIT_MS;
}

/* Pulls from a VM that has this version, soon if that must not be done yet. */
static void pull_from(struct entry *e, uint64_t version, uint64_t vm)
{
	struct entry_conf *c = e->confs;

	c->pull_vm = vm;
	c->pull_version = version;
	if (vm == DL_VM_NONE || pull_is_early(e, entry_now(e)))
		return;
	c->pull_vm = DL_VM_NONE;
	pull(e, vm);
}

/* Pulls from a VM whose version is newer than any known here. */
void entry_conf_version_seen(struct entry *e, uint64_t version, uint64_t vm)
{
	if (version <= dl_conf_arrivals_newest(&e->confs->arrivals) ||
	    pull_is_early(e, entry_now(e)))
		return;
	pull(e, vm);
}

/* Handles the configuration version that a member reports. */
void entry_conf_member(struct entry *e, const struct dl_member *m)
{
	if (m->state == DL_ALIVE && m->vm != e->node.self)
		entry_conf_version_seen(e, m->config_version, m->vm);
}

/* Pulls what is still missing after a delta that could not be used. */
static void pull_missing(struct entry *e, int64_t now)
{
	struct entry_conf *c = e->confs;

	if (c->pull_vm == DL_VM_NONE)
		return;
	if (c->pull_version <= dl_conf_arrivals_newest(&c->arrivals))
		c->pull_vm = DL_VM_NONE;
	else
		pull_from(e, c->pull_version, c->pull_vm);
}

/* Pulls periodically if this VM has no configuration or an old one. */
void entry_conf_tick(struct entry *e, int64_t now)
{
	const struct dl_settings *s = &e->node.settings;
	uint64_t newest, vm, known;

	dl_gauge(DL_METRIC_replica_heard_ms_ago, now - e->replica_heard_at);
	entry_conf_pump(e, now);
	pull_missing(e, now);
	if (now - e->conf_pulled_at < PULL_INTERVAL_MS)
		return;
	newest = dl_memb_newest_config(e->node.memb, &vm);
	known = dl_conf_arrivals_newest(&e->confs->arrivals);
	if (newest > known) {
		entry_conf_version_seen(e, newest, vm);
		return;
	}
	e->conf_pulled_at = now;
	if (known || !s->replicas_count)
		return;
	pull(e,
	     s->replicas[(uint64_t)now / PULL_INTERVAL_MS % s->replicas_count]);
}
