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

/*
 * Minimum interval between pushes; of versions that follow each other sooner
 * only the last is pushed. Forwarding a configuration of 1,300 routes takes
 * some 150 ms of an entry's link. With a push for each of several changes 0.3 s
 * apart, streams stalled behind them. A version is allowed at least two
 * seconds to come into force everywhere.
 */
#define PUSH_INTERVAL_MS 400
/*
 * Bodies up to this deflated size are pushed without a delay. They hold about
 * 30 KB of text, which VMs read within a millisecond.
 */
#define PUSH_UNTHROTTLED_BYTES 4096
/*
 * Once this time has passed since the start, a replica that is still cut off
 * from the others answers a pull with the version it has, if no VM advertises a
 * newer one. A partitioned failure domain keeps working, and its restarted
 * entries need a configuration.
 */
#define ISOLATED_MS 5000

static void push(struct replica *r, const uint64_t *vms, uint32_t count);
static bool pushes_to(struct replica *r, struct dl_str domain, bool is_leader);
static GArray *push_targets(struct replica *r);
static void set_target_replicas(struct replica *r);

/*
 * Returns the configuration in force as pushed to entries: deflated, without
 * the original source, which is only needed to answer reads, and built once per
 * version. Forwarding the full text of 1,300 routes took 2.6 s of an entry's
 * link.
 */
static bool get_push_body(struct replica *r, struct dl_str *out)
{
	uint64_t version = dl_cstore_version(r->cstore);
	struct dl_str text;
	json_t *root;
	char *plain;
	int rc;

	if (r->push_body && r->push_body_version == version) {
		*out = (struct dl_str){ r->push_body, r->push_body_n };
		return true;
	}
	if (!dl_cstore_text(r->cstore, 0, &text))
		return false;
	root = json_loadb(text.s, text.n, 0, NULL);
	plain = NULL;
	if (root && json_object_del(root, "source") == 0)
		plain = json_dumps(root, JSON_COMPACT);
	json_decref(root);
	free(r->push_body);
	r->push_body = NULL;
	rc = dl_deflate(plain ? dl_str_of(plain) : text, &r->push_body,
			&r->push_body_n);
	free(plain);
	if (rc)
		return false;
	r->push_body_version = version;
	*out = (struct dl_str){ r->push_body, r->push_body_n };
	return true;
}

static void push(struct replica *r, const uint64_t *vms, uint32_t count)
{
	struct dl_str text;

	if (!get_push_body(r, &text))
		return;
	for (uint32_t i = 0; i < dl_conf_push_children(count); i++) {
		struct dl_packer pk;
		uint64_t to = dl_conf_push_pack(
			&pk, dl_cstore_version(r->cstore), text, vms, count, i);

		replica_send(r, to, DL_FRAME_CONF_PUSH, 0,
			     dl_packer_bytes(&pk));
		dl_packer_close(&pk);
	}
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
 * Advertises and pushes the newest version if a push is due and the last one
 * was long enough ago. Advertising waits too, because a VM that sees a version
 * newer than its own pulls it.
 */
void replica_conf_tick(struct replica *r, int64_t now)
{
	GArray *targets;

	if (!r->push_due)
		return;
	/* By the last body's size: building the next one may be needless. */
	if (r->push_body_n > PUSH_UNTHROTTLED_BYTES && r->pushed_at &&
	    now - r->pushed_at < PUSH_INTERVAL_MS)
		return;
	r->push_due = false;
	r->pushed_at = now;
	dl_memb_update_self(r->node.memb, false, dl_cstore_version(r->cstore),
			    dl_node_now(&r->node));
	targets = push_targets(r);
	push(r, (const uint64_t *)(void *)targets->data, targets->len);
	g_array_free(targets, TRUE);
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
	r->push_due = true;
	replica_conf_tick(r, replica_now(r));
}

/* Answers an entry that requests a version newer than its own. */
void replica_conf_pull(struct replica *r, uint64_t from,
		       const struct dl_frame *frame)
{
	uint64_t version = dl_cstore_version(r->cstore), vm;
	struct dl_reader reader;
	uint64_t have;
	bool malformed;

	dl_reader_open(&reader, frame->body);
	have = dl_read_u64(&reader);
	malformed = reader.bad;
	dl_reader_close(&reader);
	if (malformed || have >= version)
		return;
	if (!r->current && (replica_now(r) - r->started_at < ISOLATED_MS ||
			    dl_memb_newest_config(r->node.memb, &vm) > version))
		return;
	push(r, &from, 1);
}
