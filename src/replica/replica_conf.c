/*
 * Distributes the configuration to the entries. Each replica pushes a new
 * version to the live entries of its failure domain; the leader also serves
 * failure domains without a replica. A push is sent to a few entries with a
 * list of the others, to which they forward it. VMs also compare versions and
 * pull a newer one, which covers lost pushes.
 *
 * After a start a replica advertises no version until it has applied everything
 * committed before, so that its version never appears to go back.
 */
#include <malloc.h>
#include <stdlib.h>
#include <string.h>

#include "daisyledge/conf.h"
#include "replica/replica.h"
#include "protocol/conf_push.h"
#include "protocol/deflate.h"
#include "state/conf_pushed.h"

/*
 * Minimum interval between pushes of large bodies; of versions that follow each
 * other sooner only the last is pushed. Small deltas are pushed at once.
 * Forwarding a configuration of 1,300 routes takes some 150 ms of an entry's
 * link. With a push for each of several changes 0.3 s apart, streams stalled
 * behind them. A version is allowed at least two seconds to come into force
 * everywhere.
 */
#define PUSH_INTERVAL_MS 400
/*
 * Splitting versions takes at most a quarter of a replica's time, as its event
 * loop also serves the log: a text of 1,300 routes and its source takes 20 ms
 * of a core. Versions that follow each other sooner are left out; none waits
 * longer than PUSH_INTERVAL_MS for this.
 */
#define SPLIT_REST_FACTOR 3
#define NS_PER_MS	  1000000
/*
 * Once this time has passed since the start, a replica that is still cut off
 * from the others answers a pull with the version it has, if no VM advertises a
 * newer one. A partitioned failure domain keeps working, and its restarted
 * entries need a configuration.
 */
#define ISOLATED_MS 5000

/* A body to push. */
struct push_body {
	uint32_t kind; /* of its frame */
	struct dl_str bytes;
};

static bool prepare(struct replica *r);
static bool get_whole(struct replica *r, struct push_body *out);
static size_t whole_size(struct replica *r);
static bool get_delta(struct replica *r, struct dl_conf_kept *base,
		      struct push_body *out);
static void keep_stored(struct replica *r, uint64_t version);
static void push(struct replica *r, uint64_t version,
		 const struct push_body *body, const uint64_t *vms,
		 uint32_t count);
static bool send_deltas(struct replica *r, struct dl_conf_id have, uint64_t to);
static bool pushes_to(struct replica *r, struct dl_str domain, bool is_leader);
static GArray *push_targets(struct replica *r);
static void set_target_replicas(struct replica *r);

/*
 * Splits the newest version into the sections that entries get, once per
 * version. A text that cannot be split is always pushed whole.
 */
static bool prepare(struct replica *r)
{
	uint64_t version = dl_cstore_version(r->cstore);
	struct replica_push *p = &r->push;
	struct dl_str text;

	if (p->id.version == version)
		return true;
	if (!dl_cstore_text(r->cstore, 0, &text))
		return false;
	dl_conf_versions_drop_deltas(&p->pushed);
	dl_conf_sections_free(p->sections);
	p->sections = NULL;
	free(p->body);
	p->body = NULL;
	p->had_source = false;
	if (dl_conf_pushed_split(text, &p->sections, &p->had_source))
		p->sections = NULL;
	p->text_n = text.n;
	p->id.version = version;
	p->id.digest = p->sections ? dl_conf_sections_digest(p->sections) : 0;
	return true;
}

/*
 * Returns the whole configuration, deflated, and without the original source,
 * which is only needed to answer reads. It is built when it is first needed:
 * most versions are only sent as deltas. Forwarding the full text of 1,300
 * routes took 2.6 s of an entry's link.
 */
static bool get_whole(struct replica *r, struct push_body *out)
{
	struct replica_push *p = &r->push;
	struct dl_str text;
	char *rebuilt = NULL;
	size_t n = 0;

	if (!p->body) {
		if (!dl_cstore_text(r->cstore, 0, &text))
			return false;
		if (p->sections && p->had_source &&
		    dl_conf_sections_text(p->sections, &rebuilt, &n) == 0)
			text = (struct dl_str){ rebuilt, n };
		if (dl_deflate(text, &p->body, &p->body_n))
			p->body = NULL;
		free(rebuilt);
		if (!p->body)
			return false;
		p->body_text_n = p->text_n;
	}
	out->kind = DL_FRAME_CONF_PUSH;
	out->bytes = (struct dl_str){ p->body, p->body_n };
	return true;
}

/* Returns the size of the whole body, about; it is built only if none was. */
static size_t whole_size(struct replica *r)
{
	struct replica_push *p = &r->push;
	struct push_body whole;

	if (!p->body_text_n && !get_whole(r, &whole))
		return 0;
	if (p->body)
		return p->body_n;
	return dl_conf_whole_estimate(p->body_n, p->body_text_n, p->text_n);
}

/* Makes the delta from a kept version to the newest one. */
static bool make_delta(const struct replica_push *p, struct dl_conf_kept *base)
{
	char *plain;
	size_t n;
	int rc;

	if (dl_conf_delta_make(base->sections, base->id.version, p->sections,
			       p->id.version, &plain, &n))
		return false;
	rc = dl_deflate((struct dl_str){ plain, n }, &base->delta,
			&base->delta_n);
	free(plain);
	if (rc)
		base->delta = NULL;
	return rc == 0;
}

/*
 * Returns the delta from a kept version to the newest one, made once; false if
 * the whole body is to be sent instead. base may be NULL.
 */
static bool get_delta(struct replica *r, struct dl_conf_kept *base,
		      struct push_body *out)
{
	struct replica_push *p = &r->push;

	if (!base || !p->sections || base->id.version >= p->id.version ||
	    whole_size(r) <= DL_CONF_SMALL_BYTES)
		return false;
	if (!base->delta && !make_delta(p, base))
		return false;
	/* The estimate is far off after a change of most of the text. */
	if (base->delta_n > DL_CONF_SMALL_BYTES && !get_whole(r, out))
		return false;
	if (!dl_conf_delta_pays(base->delta_n, whole_size(r)))
		return false;
	out->kind = DL_FRAME_CONF_DELTA;
	out->bytes = (struct dl_str){ base->delta, base->delta_n };
	return true;
}

/*
 * Keeps one of the last versions, read from the store, as the base of deltas. A
 * replica that was restarted has pushed none yet, and all entries of its domain
 * would read the whole text after the next change.
 */
static void keep_stored(struct replica *r, uint64_t version)
{
	struct replica_push *p = &r->push;
	struct dl_conf_sections *sections;
	struct dl_conf_id id = { .version = version };
	struct dl_str text;
	bool had_source;

	if (!version || version >= p->id.version ||
	    p->id.version - version >= DL_CONF_VERSIONS_MAX ||
	    !dl_conf_versions_wants(&p->pushed, version) ||
	    !dl_cstore_text(r->cstore, version, &text) ||
	    dl_conf_pushed_split(text, &sections, &had_source))
		return;
	id.digest = dl_conf_sections_digest(sections);
	dl_conf_versions_add(&p->pushed, id, sections);
}

static void push(struct replica *r, uint64_t version,
		 const struct push_body *body, const uint64_t *vms,
		 uint32_t count)
{
	for (uint32_t i = 0; i < dl_conf_push_children(count); i++) {
		struct dl_packer pk;
		uint64_t to = dl_conf_push_pack(&pk, version, body->bytes, vms,
						count, i);

		replica_send(r, to, body->kind, 0, dl_packer_bytes(&pk));
		dl_packer_close(&pk);
	}
}

/*
 * Sends the deltas that lead from an entry's version to the one pushed last, if
 * they are kept. An entry misses some versions while a replica that died is
 * replaced as the one that pushes to its domain.
 */
static bool send_deltas(struct replica *r, struct dl_conf_id have, uint64_t to)
{
	const struct dl_conf_step *steps;
	uint32_t count = dl_conf_history_answer(&r->push.deltas, have,
						whole_size(r), &steps);

	for (uint32_t i = 0; i < count; i++) {
		struct push_body body = {
			.kind = DL_FRAME_CONF_DELTA,
			.bytes = { steps[i].body, steps[i].body_n },
		};

		push(r, steps[i].head.version, &body, &to, 1);
	}
	return count > 0;
}

/* Whether a replica is a member of the group, and so gets each version. */
static bool is_group_member(const struct replica *r, uint64_t vm)
{
	const struct dl_rlog_members *members = dl_rlog_members(r->rlog);

	for (uint32_t i = 0; i < members->count; i++) {
		if (members->at[i].vm == vm)
			return true;
	}
	return false;
}

/*
 * Whether this replica pushes to a failure domain. That is done by the domain's
 * live member of the group with the lowest address, or by the leader if it has
 * none.
 */
static bool pushes_to(struct replica *r, struct dl_str domain, bool is_leader)
{
	uint64_t lowest = DL_VM_NONE;
	const struct dl_member *m;

	for (uint32_t i = 0; (m = dl_memb_at(r->node.memb, i)); i++) {
		if (m->replica && m->state == DL_ALIVE &&
		    is_group_member(r, m->vm) &&
		    dl_name_eq(&m->domain, domain) &&
		    (lowest == DL_VM_NONE || m->vm < lowest))
			lowest = m->vm;
	}
	return lowest == r->node.self || (lowest == DL_VM_NONE && is_leader);
}

static int compare_vms(const void *a, const void *b)
{
	uint64_t x = *(const uint64_t *)a, y = *(const uint64_t *)b;

	return x < y ? -1 : x > y;
}

/*
 * Lists the live entries that this replica pushes to, sorted by address; the
 * caller frees the list. The decision for a domain is kept until a member of
 * another one follows, since each takes a scan of all members.
 */
static GArray *push_targets(struct replica *r)
{
	GArray *out = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	const struct dl_name *domain = NULL;
	const struct dl_member *m;
	struct dl_rlog_status s;
	bool pushes = false;

	dl_rlog_get_status(r->rlog, replica_now(r), &s);
	for (uint32_t i = 0; (m = dl_memb_at(r->node.memb, i)); i++) {
		if (m->replica ||
		    (m->state != DL_ALIVE && m->state != DL_SUSPECT))
			continue;
		if (!domain || !dl_name_eq(domain, dl_name_str(&m->domain))) {
			domain = &m->domain;
			pushes = pushes_to(r, dl_name_str(domain),
					   s.role == DL_RLOG_LEADER);
		}
		if (pushes)
			g_array_append_val(out, m->vm);
	}
	g_array_sort(out, compare_vms);
	return out;
}

/* Passes the configured replicas to the log as the target membership. */
static void set_target_replicas(struct replica *r)
{
	const struct dl_conf *conf;
	uint64_t vms[DL_REPLICAS_MAX];

	/* The leader found that it lists no replicas; no need to parse it. */
	if (dl_cstore_conf_unparsed(r->cstore)) {
		dl_rlog_set_replicas(r->rlog, NULL, 0);
		return;
	}
	conf = dl_cstore_conf(r->cstore);
	if (!conf)
		return;
	for (uint32_t i = 0; i < conf->replicas_count; i++)
		vms[i] = conf->replicas[i].vm;
	dl_rlog_set_replicas(r->rlog, vms, conf->replicas_count);
}

/*
 * Keeps the version that was pushed as the base of later deltas, and the delta
 * that led to it. p->pushed still has the base as its newest version.
 */
static void keep_pushed(struct replica_push *p, const struct push_body *body)
{
	const struct dl_conf_kept *base = dl_conf_versions_last(&p->pushed);
	struct dl_conf_delta_head head = { .version = p->id.version,
					   .digest = p->id.digest };

	if (body->kind == DL_FRAME_CONF_DELTA) {
		head.base_version = base->id.version;
		head.base_digest = base->id.digest;
		dl_conf_history_add(&p->deltas, &head, body->bytes);
	}
	if (p->sections && dl_conf_versions_wants(&p->pushed, p->id.version))
		dl_conf_versions_add(&p->pushed, p->id,
				     dl_conf_sections_ref(p->sections));
}

/*
 * Splits the newest version if it was not yet, after a pause. Returns false if
 * there is none, or the pause is not over.
 */
static bool prepare_after_pause(struct replica *r, int64_t now)
{
	struct replica_push *p = &r->push;
	uint64_t begin;
	int64_t took_ms;

	if (p->id.version == dl_cstore_version(r->cstore))
		return true;
	if (now < p->split_not_before)
		return false;
	begin = uv_hrtime();
	if (!prepare(r))
		return false;
	took_ms = (int64_t)((uv_hrtime() - begin) / NS_PER_MS);
	p->split_not_before = now + MIN((1 + SPLIT_REST_FACTOR) * took_ms,
					(int64_t)PUSH_INTERVAL_MS);
	return true;
}

/*
 * Chooses what to push: the delta from the version pushed before, or the whole
 * body. Returns false if there is nothing to push, or not yet, because the body
 * is large and the last large one was pushed recently. A whole body is not
 * built before that unless a large delta is compared with it, as the next
 * version may follow.
 */
static bool choose_body(struct replica *r, int64_t now, struct push_body *out)
{
	struct replica_push *p = &r->push;
	bool waits = p->pushed_at && now - p->pushed_at < PUSH_INTERVAL_MS;
	bool is_delta, is_large;

	if (!prepare_after_pause(r, now))
		return false;
	if (!p->pushed.count && whole_size(r) > DL_CONF_SMALL_BYTES)
		keep_stored(r, p->id.version - 1);
	is_delta = get_delta(r, dl_conf_versions_last(&p->pushed), out);
	is_large = (is_delta ? out->bytes.n : whole_size(r)) >
		   DL_CONF_SMALL_BYTES;
	if (is_large && waits)
		return false;
	if (!is_delta && !get_whole(r, out))
		return false;
	if (is_large)
		p->pushed_at = now;
	return true;
}

/*
 * Advertises and pushes the newest version if a push is due. Advertising waits
 * as long as the push, because a VM that sees a version newer than its own
 * pulls it.
 */
void replica_conf_tick(struct replica *r, int64_t now)
{
	struct push_body body;
	GArray *targets;

	if (!r->push.due || !choose_body(r, now, &body))
		return;
	r->push.due = false;
	dl_memb_update_self(r->node.memb, false, r->push.id.version,
			    dl_node_now(&r->node));
	targets = push_targets(r);
	push(r, r->push.id.version, &body,
	     (const uint64_t *)(void *)targets->data, targets->len);
	g_array_free(targets, TRUE);
	keep_pushed(&r->push, &body);
	/*
	 * Parsing a configuration of megabytes fragments the heap, and the
	 * allocator does not return that memory by itself. New versions are
	 * rare, so trimming is cheap.
	 */
	malloc_trim(0);
}

/* Schedules a new version to be advertised and pushed. */
void replica_conf_check(struct replica *r)
{
	uint64_t version = dl_cstore_version(r->cstore);
	struct dl_rlog_status s;

	if (!r->current) {
		dl_rlog_get_status(r->rlog, replica_now(r), &s);
		r->current = s.current;
	}
	if (!r->current || version == r->advertised_version)
		return;
	r->advertised_version = version;
	set_target_replicas(r);
	r->push.due = true;
	replica_conf_tick(r, replica_now(r));
}

/*
 * Answers an entry that requests a version newer than its own: with a delta, if
 * it has one of the versions pushed last, with the deltas that were pushed
 * since then, or with the whole body.
 */
void replica_conf_pull(struct replica *r, uint64_t from,
		       const struct dl_frame *frame)
{
	uint64_t version = dl_cstore_version(r->cstore), vm;
	const struct dl_conf_kept *last;
	struct push_body body;
	struct dl_conf_id have;

	if (dl_conf_pull_read(frame->body, &have.version, &have.digest) ||
	    have.version >= version)
		return;
	if (!r->current && (replica_now(r) - r->started_at < ISOLATED_MS ||
			    dl_memb_newest_config(r->node.memb, &vm) > version))
		return;
	if (!prepare(r))
		return;
	/* The newest version kept stays the one that was pushed last. */
	last = dl_conf_versions_last(&r->push.pushed);
	if (have.digest && (!last || have.version < last->id.version))
		keep_stored(r, have.version);
	if (get_delta(r, dl_conf_versions_find(&r->push.pushed, have), &body))
		push(r, version, &body, &from, 1);
	else if (!send_deltas(r, have, from) && get_whole(r, &body))
		push(r, version, &body, &from, 1);
}

/* Frees what is kept of the configuration for pushes. */
void replica_conf_close(struct replica *r)
{
	dl_conf_versions_clear(&r->push.pushed);
	dl_conf_history_clear(&r->push.deltas);
	dl_conf_sections_free(r->push.sections);
	free(r->push.body);
}
