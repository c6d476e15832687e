/* Replicas over a fake link and fake disks, and the checks on them. */
#include "group.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include <glib.h>

#include "protocol/rlog_codec.h"

#define LAST_BUCKET	 63
#define VOTER_TIMEOUT_MS 2500

/* The state machine: a running hash of the applied commands. */
struct state_hash {
	uint64_t index;
	uint64_t hash;
};

/*
 * The latest that a replica has told others and must still hold after a
 * restart from the same disk.
 */
struct promise {
	uint64_t term;
	uint64_t vote_term;
	uint64_t vote;
	uint64_t ack_term; /* the term in which it acknowledged */
	uint64_t ack;	   /* everything up to this index */
};

struct node {
	uint64_t vm;
	struct group *group;
	struct fake_disk *disk;
	struct dl_rlog_store *store;
	struct dl_rlog *rlog;
	bool started; /* the initial sync is done */
	bool up;
	int64_t offset;
	int64_t rate; /* clock rate in permille */
	struct state_hash state_hash;
	uint64_t seq;  /* of the record being written */
	uint64_t term; /* the last one in which it led */
	uint64_t id;
	struct promise promise;
	uint64_t busy_ns; /* real time in the log and codec */
	uint64_t timing_since;
};

/*
 * What the first replica to apply an index applied there, as a reference for
 * the others.
 */
struct reference {
	uint64_t term;
	uint64_t seen_term; /* current term of that replica */
	uint64_t hash;
};

struct proposal {
	uint64_t index;
	uint64_t term;
	uint64_t vm;
	int64_t at;
};

struct group {
	struct group_conf conf;
	GRand *rand;
	struct fake_link *link;
	struct node nodes[GROUP_MAX + 1];
	int64_t now;
	GHashTable *leaders; /* maps a term to an identity */
	GArray *references;  /* of struct reference, by index */
	GArray *proposals;
	uint64_t highest_acked;
	uint64_t highest_applied;
	uint64_t wanted[GROUP_MAX];
	uint32_t wanted_count;
	struct group_counters count;
	char violation[320];
};

static void process_outputs(struct node *n);
static void begin_timing(struct node *n);
static int64_t local_now(const struct node *n);
static void start_write(struct node *n);

static void report_violation(struct group *g, const struct node *n,
			     const char *what)
{
	g->count.violations++;
	if (!g->violation[0])
		snprintf(g->violation, sizeof(g->violation),
			 "seed %u, %lld ms, VM %llu: %s", g->conf.seed,
			 (long long)g->now, (unsigned long long)n->vm, what);
}

struct group *group_new(const struct group_conf *conf)
{
	struct group *g = g_new0(struct group, 1);

	g->conf = *conf;
	if (!g->conf.vms)
		g->conf.vms = GROUP_USUAL;
	g->conf.link.seed = conf->seed;
	g->rand = g_rand_new_with_seed(conf->seed);
	g->link = fake_link_new(&g->conf.link);
	g->leaders = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
					   g_free);
	g->references = g_array_new(FALSE, TRUE, sizeof(struct reference));
	g->proposals = g_array_new(FALSE, FALSE, sizeof(struct proposal));
	for (uint64_t vm = 1; vm <= g->conf.vms; vm++) {
		struct node *n = &g->nodes[vm];

		n->vm = vm;
		n->group = g;
		n->disk = fake_disk_new(conf->seed * 31 + (uint32_t)vm);
		fake_disk_set_sync_ms(n->disk, conf->sync_min_ms,
				      conf->sync_max_ms);
		n->rate = conf->drift ? g_rand_int_range(g->rand, 970, 1031) :
					1000;
		n->offset = conf->drift ? g_rand_int_range(g->rand, 0, 99999) :
					  0;
	}
	return g;
}

static void stop_node(struct node *n)
{
	dl_rlog_free(n->rlog);
	dl_rlog_store_free(n->store);
	n->rlog = NULL;
	n->store = NULL;
	n->up = false;
	n->started = false;
}

void group_free(struct group *g)
{
	for (uint64_t vm = 1; vm <= g->conf.vms; vm++) {
		stop_node(&g->nodes[vm]);
		fake_disk_free(g->nodes[vm].disk);
	}
	fake_link_free(g->link);
	g_hash_table_destroy(g->leaders);
	g_array_free(g->references, TRUE);
	g_array_free(g->proposals, TRUE);
	g_rand_free(g->rand);
	g_free(g);
}

static int64_t local_now(const struct node *n)
{
	return n->offset + n->group->now * n->rate / 1000;
}

static void start_synced(void *arg, int code)
{
	struct node *n = arg;

	if (code) {
		dl_rlog_start_failed(n->rlog, code, local_now(n));
		return;
	}
	n->started = true;
	dl_rlog_set_replicas(n->rlog, n->group->wanted, n->group->wanted_count);
}

/* What a replica promised must be on its disk when it starts again. */
static void check_promise(struct node *n, const struct dl_rlog_image *image)
{
	const struct promise *p = &n->promise;
	uint64_t last = image->base_index + image->count;

	if (image->term < p->term)
		report_violation(n->group, n, "a term was lost in a restart");
	if (image->term == p->vote_term && p->vote && image->vote != p->vote)
		report_violation(n->group, n, "a vote was lost in a restart");
	if (image->term == p->ack_term && last < p->ack)
		report_violation(n->group, n,
				 "an acknowledged entry was lost in a restart");
}

static void note_ack(struct node *n, uint64_t term, uint64_t index)
{
	struct promise *p = &n->promise;

	if (p->ack_term != term)
		p->ack = 0;
	p->ack_term = term;
	p->ack = MAX(p->ack, index);
}

static void note_promise(struct node *n, const struct dl_rlog_msg *m)
{
	struct promise *p = &n->promise;

	switch (m->kind) {
	case DL_RLOG_VOTE:
	case DL_RLOG_APPEND:
	case DL_RLOG_SNAPSHOT:
		p->term = MAX(p->term, m->term);
		return;
	case DL_RLOG_VOTE_REPLY:
		p->term = MAX(p->term, m->term);
		if (!m->ok)
			return;
		p->vote_term = m->term;
		p->vote = m->to_id;
		return;
	case DL_RLOG_APPEND_REPLY:
		if (m->fresh)
			return;
		p->term = MAX(p->term, m->term);
		if (m->ok)
			note_ack(n, m->term, m->index);
		return;
	default:
		return;
	}
}

uint64_t group_domain(const struct group *g, uint64_t vm)
{
	return 1 + vm % g->conf.domains;
}

void group_start(struct group *g, uint64_t vm)
{
	struct node *n = &g->nodes[vm];
	struct dl_rlog_image image;
	struct dl_rlog_conf conf;
	struct dl_err err;
	uint64_t id = (uint64_t)g_rand_int(g->rand) << 32 |
		      g_rand_int(g->rand) | 1;
	int code;

	if (n->up)
		return;
	dl_rlog_defaults(&conf);
	conf.self = vm;
	conf.listed_count = g->conf.listed;
	if (g->conf.snapshot_entries) {
		conf.snapshot_entries = g->conf.snapshot_entries;
		conf.keep_entries = g->conf.snapshot_entries / 4;
	}
	if (g->conf.chunk_bytes)
		conf.chunk_bytes = g->conf.chunk_bytes;
	for (uint32_t i = 0; i < g->conf.listed; i++)
		conf.listed[i] = (g->now && g->conf.late_listed ?
					  g->conf.late_listed :
					  1) +
				 i;
	conf.joins_only = g->conf.voters_wanted && g->now;
	conf.voters_wanted = g->conf.voters_wanted;
	conf.voter_timeout_ms = VOTER_TIMEOUT_MS;
	if (g->conf.domains)
		conf.domain = group_domain(g, vm);
	n->state_hash = (struct state_hash){ 0 };
	n->term = 0;
	code = dl_rlog_store_open((struct dl_disk){ &fake_disk_ops, n->disk },
				  id, &n->store, &image, &err);
	if (!code)
		check_promise(n, &image);
	n->id = image.id;
	n->rlog = dl_rlog_new(&conf, &image, g_rand_int(g->rand), local_now(n));
	n->up = true;
	n->started = false;
	if (code) {
		if (code == DL_EDAMAGED)
			g->count.damaged++;
		else
			g->count.unreadable++;
		dl_rlog_halt(n->rlog, &err);
		return;
	}
	dl_rlog_store_start(n->store, (struct dl_disk_done){ start_synced, n });
}

void group_kill(struct group *g, uint64_t vm)
{
	stop_node(&g->nodes[vm]);
	fake_disk_kill(g->nodes[vm].disk);
}

void group_crash(struct group *g, uint64_t vm)
{
	stop_node(&g->nodes[vm]);
	fake_disk_crash(g->nodes[vm].disk);
}

void group_wipe(struct group *g, uint64_t vm)
{
	stop_node(&g->nodes[vm]);
	fake_disk_wipe(g->nodes[vm].disk);
	g->nodes[vm].id = 0;
	g->nodes[vm].promise = (struct promise){ 0 };
}

void group_pause(struct group *g, uint64_t vm, uint32_t ms)
{
	fake_link_pause(g->link, vm, g->now + ms);
}

bool group_is_up(const struct group *g, uint64_t vm)
{
	return g->nodes[vm].up && !fake_disk_is_down(g->nodes[vm].disk);
}

/* --- checks --- */

/* The highest index that was committed in an earlier term. */
static uint64_t committed_before(const struct group *g, uint64_t term)
{
	for (uint64_t i = g->highest_applied; i > 0; i--) {
		const struct reference *t =
			&g_array_index(g->references, struct reference, i);

		if (t->hash && t->seen_term < term)
			return i;
	}
	return 0;
}

static void check_leader(struct node *n, const struct dl_rlog_status *s)
{
	struct group *g = n->group;
	uint64_t *known, *key;

	if (s->role != DL_RLOG_LEADER || n->term == s->term)
		return;
	n->term = s->term;
	known = g_hash_table_lookup(g->leaders, &s->term);
	if (known && *known != s->id)
		report_violation(g, n, "a second leader in one term");
	if (s->last < committed_before(g, s->term))
		report_violation(g, n, "a leader lacks a committed entry");
	if (known)
		return;
	g->count.leaders++;
	key = g_new(uint64_t, 2);
	key[0] = s->term;
	known = g_new(uint64_t, 1);
	*known = s->id;
	g_hash_table_insert(g->leaders, key, known);
}

static void check_lease(struct node *n)
{
	struct group *g = n->group;
	uint64_t index;

	if (!dl_rlog_lease(n->rlog, local_now(n), NULL))
		return;
	for (uint64_t vm = 1; vm <= g->conf.vms; vm++) {
		struct node *o = &g->nodes[vm];

		if (o != n && o->rlog && o->started &&
		    !fake_link_paused(g->link, vm, g->now) &&
		    dl_rlog_lease(o->rlog, local_now(o), NULL))
			report_violation(g, n, "two leaders hold a lease");
	}
	if (dl_rlog_read(n->rlog, local_now(n), &index) == 0) {
		g->count.reads++;
		if (index < g->highest_acked)
			report_violation(
				g, n, "a read misses an acknowledged command");
	}
}

/* Compares what was applied at an index with the reference. */
static void check_reference(struct node *n, uint64_t index, uint64_t term)
{
	struct group *g = n->group;
	struct dl_rlog_status s;
	struct reference *t;

	if (g->references->len <= index)
		g_array_set_size(g->references, (guint)index + 1);
	t = &g_array_index(g->references, struct reference, index);
	if (!t->hash) {
		dl_rlog_get_status(n->rlog, local_now(n), &s);
		*t = (struct reference){ term, s.term, n->state_hash.hash };
	}
	if (t->term != term || t->hash != n->state_hash.hash)
		report_violation(g, n,
				 "applied another command than other replicas");
	g->highest_applied = MAX(g->highest_applied, index);
}

static void note_committed(struct node *n, const struct dl_rlog_apply *a)
{
	struct group *g = n->group;

	for (guint i = 0; i < g->proposals->len; i++) {
		struct proposal *p =
			&g_array_index(g->proposals, struct proposal, i);

		if (p->index != a->index || p->vm != n->vm)
			continue;
		if (p->term == a->term) {
			g->count.acked++;
			g->highest_acked = MAX(g->highest_acked, a->index);
			g->count.commit_ms[MIN(g->now - p->at, LAST_BUCKET)]++;
		}
		g_array_remove_index_fast(g->proposals, i);
		return;
	}
}

static void apply_entry(struct node *n, const struct dl_rlog_apply *a)
{
	if (a->kind == DL_RLOG_APPLY_RESTORE) {
		n->group->count.restores++;
		if (a->data.n < sizeof(n->state_hash)) {
			report_violation(n->group, n,
					 "a snapshot has the wrong size");
			return;
		}
		if (a->index < n->state_hash.index)
			report_violation(
				n->group, n,
				"a snapshot is older than the applied state");
		memcpy(&n->state_hash, a->data.s, sizeof(n->state_hash));
		n->state_hash.index = a->index;
		return;
	}
	if (a->index <= n->state_hash.index)
		report_violation(n->group, n, "an index was applied twice");
	n->state_hash.hash = dl_hash(a->data, n->state_hash.hash);
	n->state_hash.index = a->index;
	check_reference(n, a->index, a->term);
	note_committed(n, a);
}

/* --- running --- */

static void record_written(void *arg, int code)
{
	struct node *n = arg;

	n->group->count.steps++;
	begin_timing(n);
	if (!n->started && !code)
		start_synced(n, 0);
	dl_rlog_written(n->rlog, n->seq, code, local_now(n));
	if (!n->started)
		return;
	process_outputs(n);
}

static void maybe_snapshot(struct node *n)
{
	uint32_t size = sizeof(n->state_hash) + n->group->conf.snapshot_padding;
	char *data;

	if (!dl_rlog_snapshot_wanted(n->rlog))
		return;
	data = g_malloc0(size);
	memcpy(data, &n->state_hash, sizeof(n->state_hash));
	dl_rlog_snapshot(n->rlog, (struct dl_str){ data, size });
	g_free(data);
}

static void send_messages(struct node *n)
{
	struct dl_rlog_msg m;
	msgpack_sbuffer buf;

	msgpack_sbuffer_init(&buf);
	while (dl_rlog_out(n->rlog, local_now(n), &m)) {
		note_promise(n, &m);
		msgpack_sbuffer_clear(&buf);
		dl_rlog_encode(&m, &buf);
		fake_link_send(n->group->link, n->vm, m.to_vm,
			       (struct dl_str){ buf.data, buf.size },
			       n->group->now);
	}
	msgpack_sbuffer_destroy(&buf);
}

static uint64_t clock_ns(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (uint64_t)ts.tv_sec * 1000000000u + (uint64_t)ts.tv_nsec;
}

static void begin_timing(struct node *n)
{
	n->timing_since = clock_ns();
}

static void start_write(struct node *n)
{
	struct dl_rlog_record u;

	if (!dl_rlog_write(n->rlog, local_now(n), &u))
		return;
	n->seq = u.seq;
	dl_rlog_store_write(n->store, &u,
			    (struct dl_disk_done){ record_written, n });
}

static void process_outputs(struct node *n)
{
	struct dl_rlog_status s;
	struct dl_rlog_apply a;

	while (dl_rlog_apply(n->rlog, &a))
		apply_entry(n, &a);
	maybe_snapshot(n);
	start_write(n);
	send_messages(n);
	n->busy_ns += clock_ns() - n->timing_since;
	dl_rlog_get_status(n->rlog, local_now(n), &s);
	if (s.role == DL_RLOG_LEADER)
		note_ack(n, s.term, s.synced);
	check_leader(n, &s);
	check_lease(n);
	if (s.role == DL_RLOG_HALTED && strstr(s.halt_reason, "invariant"))
		report_violation(n->group, n, s.halt_reason);
}

static bool is_executing(const struct node *n)
{
	return n->up && !fake_disk_is_down(n->disk) &&
	       !fake_link_paused(n->group->link, n->vm, n->group->now);
}

static bool is_running(const struct node *n)
{
	return n->started && is_executing(n);
}

static void deliver(struct group *g, const struct fake_datagram *d)
{
	struct node *n = &g->nodes[d->to];
	struct dl_rlog_decoded m;

	if (d->to > g->conf.vms || !is_running(n))
		return;
	g->count.steps++;
	begin_timing(n);
	if (dl_rlog_decode(d->data, &m)) {
		report_violation(g, n, "a message cannot be decoded");
		return;
	}
	m.msg.from_vm = d->from;
	dl_rlog_in(n->rlog, &m.msg, local_now(n));
	dl_rlog_decoded_free(&m);
	process_outputs(n);
}

/* When a node's own clock wakes it, in simulated time. */
static int64_t node_wakeup(const struct node *n)
{
	int64_t at = dl_rlog_wakeup(n->rlog);

	if (at == INT64_MAX)
		return at;
	if (at <= local_now(n))
		return n->group->now;
	return ((at - n->offset) * 1000 + n->rate - 1) / n->rate;
}

static int64_t next_event(const struct group *g)
{
	int64_t at = fake_link_wakeup(g->link);

	for (uint64_t vm = 1; vm <= g->conf.vms; vm++) {
		const struct node *n = &g->nodes[vm];

		at = MIN(at, fake_disk_wakeup(n->disk));
		if (is_executing(n))
			at = MIN(at, node_wakeup(n));
	}
	return at;
}

static void run_now(struct group *g)
{
	struct fake_datagram d;

	for (uint64_t vm = 1; vm <= g->conf.vms; vm++) {
		if (!fake_link_paused(g->link, vm, g->now))
			fake_disk_run(g->nodes[vm].disk, g->now);
	}
	while (fake_link_next(g->link, g->now, &d))
		deliver(g, &d);
	for (uint64_t vm = 1; vm <= g->conf.vms; vm++) {
		struct node *n = &g->nodes[vm];

		if (is_executing(n) && !n->started)
			start_write(n);
		if (!is_running(n) || dl_rlog_wakeup(n->rlog) > local_now(n))
			continue;
		g->count.steps++;
		begin_timing(n);
		dl_rlog_tick(n->rlog, local_now(n));
		process_outputs(n);
	}
}

void group_run(struct group *g, uint32_t ms)
{
	int64_t end = g->now + ms;

	while (g->now < end && !g->count.violations) {
		int64_t at = next_event(g);

		g->now = CLAMP(at, g->now + 1, end);
		run_now(g);
	}
}

int64_t group_now(const struct group *g)
{
	return g->now;
}

int64_t group_local(const struct group *g, uint64_t vm)
{
	return local_now(&g->nodes[vm]);
}

uint64_t group_leader(const struct group *g)
{
	uint64_t best = DL_VM_NONE, term = 0;

	for (uint64_t vm = 1; vm <= g->conf.vms; vm++) {
		const struct node *n = &g->nodes[vm];
		struct dl_rlog_status s;

		if (!is_running(n))
			continue;
		dl_rlog_get_status(n->rlog, local_now(n), &s);
		if (s.role != DL_RLOG_LEADER || s.term < term)
			continue;
		best = vm;
		term = s.term;
	}
	return best;
}

bool group_wait_leader(struct group *g, uint32_t max_ms)
{
	int64_t end = g->now + max_ms;

	while (g->now < end && !g->count.violations) {
		uint64_t vm = group_leader(g), index;

		if (vm && dl_rlog_read(g->nodes[vm].rlog,
				       local_now(&g->nodes[vm]), &index) == 0)
			return true;
		group_run(g, 1);
	}
	return false;
}

int group_propose(struct group *g, uint64_t vm, uint32_t bytes)
{
	struct node *n = &g->nodes[vm];
	struct proposal p = { .vm = vm, .at = g->now };
	char *data;
	int code;

	if (!is_running(n))
		return DL_ENOLEADER;
	data = g_malloc(bytes + sizeof(uint32_t));
	memset(data, 'c', bytes);
	*(uint32_t *)data = g_rand_int(g->rand);
	begin_timing(n);
	code = dl_rlog_propose(n->rlog, (struct dl_str){ data, bytes },
			       local_now(n), &p.index, &p.term);
	g_free(data);
	g->count.steps++;
	if (code == 0) {
		g_array_append_val(g->proposals, p);
		if (g->proposals->len > 1000)
			g_array_remove_index(g->proposals, 0);
	}
	process_outputs(n);
	return code;
}

/* Whether a member has applied and synced everything that its leader has. */
static bool is_converged(struct group *g, const struct node *leader,
			 const struct dl_rlog_member *m)
{
	const struct node *n = &g->nodes[m->vm];
	struct dl_rlog_status want, s;

	if (!is_running(n) || n->id != m->id)
		return false;
	dl_rlog_get_status(leader->rlog, 0, &want);
	dl_rlog_get_status(n->rlog, 0, &s);
	return s.applied == want.last && s.last == want.last &&
	       s.synced == s.last &&
	       n->state_hash.hash == leader->state_hash.hash;
}

bool group_wait_converged(struct group *g, uint32_t max_ms)
{
	int64_t end = g->now + max_ms;

	while (g->now < end && !g->count.violations) {
		const struct node *leader = &g->nodes[group_leader(g)];
		bool same = leader->rlog != NULL;

		for (uint32_t i = 0;
		     same && i < dl_rlog_members(leader->rlog)->count; i++)
			same = is_converged(
				g, leader,
				&dl_rlog_members(leader->rlog)->at[i]);
		if (same)
			return true;
		group_run(g, 10);
	}
	return false;
}

bool group_members_are(struct group *g, const uint64_t *vms, uint32_t n)
{
	uint64_t leader = group_leader(g);
	const struct dl_rlog_members *m;

	if (!leader)
		return false;
	m = dl_rlog_members(g->nodes[leader].rlog);
	if (m->count != n)
		return false;
	for (uint32_t i = 0; i < n; i++) {
		bool found = false;

		for (uint32_t j = 0; j < n; j++)
			found = found ||
				(m->at[j].vm == vms[i] && m->at[j].voter &&
				 m->at[j].id == g->nodes[vms[i]].id);
		if (!found)
			return false;
	}
	return true;
}

struct fake_link *group_link(struct group *g)
{
	return g->link;
}

struct fake_disk *group_disk(struct group *g, uint64_t vm)
{
	return g->nodes[vm].disk;
}

struct dl_rlog *group_rlog(struct group *g, uint64_t vm)
{
	return g->nodes[vm].rlog;
}

uint64_t group_applied(const struct group *g, uint64_t vm)
{
	return g->nodes[vm].state_hash.index;
}

uint64_t group_identity(const struct group *g, uint64_t vm)
{
	return g->nodes[vm].id;
}

void group_set_replicas(struct group *g, const uint64_t *vms, uint32_t n)
{
	memcpy(g->wanted, vms, n * sizeof(*vms));
	g->wanted_count = n;
	for (uint64_t vm = 1; vm <= g->conf.vms; vm++) {
		if (g->nodes[vm].rlog)
			dl_rlog_set_replicas(g->nodes[vm].rlog, vms, n);
	}
}

uint64_t group_busy_ns(const struct group *g, uint64_t vm)
{
	return g->nodes[vm].busy_ns;
}

const struct group_counters *group_get_counters(const struct group *g)
{
	return &g->count;
}

const char *group_violation(const struct group *g)
{
	return g->violation;
}
