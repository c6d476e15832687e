/* Interrupted paths to endpoints; see the header. */
#include "daisyledge/paths.h"

#include <glib.h>

/*
 * A connection takes about a millisecond, and tens of them where either end is
 * busy.  Waiting longer before a second way is tried would use up the time of
 * the most urgent requests, a tenth of a second.
 */
#define FORWARD_AFTER_MS 40
/*
 * While connections are forwarded, a direct one is tried along with one of them
 * this often, so that forwarding ends soon after the path works again.
 */
#define PROBE_MS 200
/*
 * Paths to this many endpoints that are interrupted, with none that works, mean
 * that this VM has lost its links: it then need not find out for each endpoint.
 */
#define CUT_OFF_MIN 2
/* As many endpoints, or attempts, that nobody could reach. */
#define ISOLATED_MIN 3
/* How often an isolated VM tries again. */
#define ISOLATED_RETRY_MS 250
/*
 * An endpoint that is busy may not answer one connection in time.  Two that are
 * not answered, this far apart, mean that packets are lost.
 */
#define DEAD_MIN	 2
#define DEAD_DISTANCE_MS 100
/*
 * Connections that broke together are noticed one after the other: for this
 * long after the first no open one is used for another request.
 */
#define BROKE_MS 300
/*
 * For how long a VM is not asked again.  One that is cut off itself may be so
 * for seconds; one that is busy, or starts, only for a moment.
 */
#define CUT_OFF_REST_MS	    1000
#define NO_ANSWER_REST_MS   2000
#define UNAVAILABLE_REST_MS 300
/* For how long a VM that forwarded a connection is expected to forward more. */
#define FORWARDER_MS 5000
/*
 * From this many entries on, those unused for a while are removed each time the
 * number of entries has doubled.
 */
#define SWEEP_MIN	256
#define PATHS_MAX	8192
#define UNUSED_AFTER_MS 60000
#define EVENTS_MAX	64
/* From this many VMs on, those that may be asked again are removed. */
#define RESTS_MAX 1024

struct path {
	uint64_t endpoint;
	uint64_t group;
	int64_t used_at;
	int64_t failed_at;    /* direct, since it last succeeded; 0: not */
	int64_t confirmed_at; /* the last success of a forwarded one after that
			       */
	int64_t interrupted_at;
	int64_t probe_at;
	bool silent;
	uint32_t silences; /* connections in a row that were not answered */
	int64_t silence_at;
	bool interrupted;
	bool reported; /* as an event */
};

/* What is known of the endpoints of a group together. */
struct group {
	uint64_t key;
	int64_t direct_ok_at; /* any of its endpoints; 0: never */
	uint32_t confirmed;   /* paths found interrupted since then */
	bool cut_off;
	bool silent; /* the path that was last found interrupted */
	int64_t cut_off_at;
	int64_t probe_at;
	uint32_t undecided; /* since the last success of any kind */
	int64_t isolated_retry_at;
};

/* A VM that is not asked to forward connections for a while. */
struct rest {
	uint64_t vm;
	int64_t until;
};

struct dl_paths {
	GHashTable *paths;
	GHashTable *groups;
	GHashTable *rests;
	uint32_t sweep_at; /* number of paths */
	int64_t no_reuse_until;
	uint64_t forwarder; /* the last one that forwarded a connection */
	int64_t forwarder_at;
	struct dl_path_event events[EVENTS_MAX];
	uint32_t events_from, events_count;
};

/* Creates the state of a VM whose paths all work. */
struct dl_paths *dl_paths_new(void)
{
	struct dl_paths *paths = g_new0(struct dl_paths, 1);

	paths->paths = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					     g_free);
	paths->groups = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					      g_free);
	paths->rests = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					     g_free);
	paths->sweep_at = SWEEP_MIN;
	return paths;
}

/* Frees the state; NULL is allowed. */
void dl_paths_free(struct dl_paths *paths)
{
	if (!paths)
		return;
	g_hash_table_destroy(paths->paths);
	g_hash_table_destroy(paths->groups);
	g_hash_table_destroy(paths->rests);
	g_free(paths);
}

static struct path *path_find(const struct dl_paths *paths, uint64_t endpoint)
{
	return g_hash_table_lookup(paths->paths, &endpoint);
}

/* A group without any failure is not kept. */
static const struct group *group_find(const struct dl_paths *paths,
				      uint64_t key)
{
	static const struct group none;
	const struct group *g = g_hash_table_lookup(paths->groups, &key);

	return g ? g : &none;
}

static struct group *group_get(struct dl_paths *paths, uint64_t key)
{
	struct group *g = g_hash_table_lookup(paths->groups, &key);

	if (!g) {
		g = g_new0(struct group, 1);
		g->key = key;
		g_hash_table_insert(paths->groups, &g->key, g);
	}
	return g;
}

static gboolean is_unused(gpointer key, gpointer value, gpointer now)
{
	return ((const struct path *)value)->used_at + UNUSED_AFTER_MS <=
	       *(const int64_t *)now;
}

/* Finds a path, or adds it; NULL where there are too many. */
static struct path *path_get(struct dl_paths *paths, uint64_t group,
			     uint64_t endpoint, int64_t now)
{
	struct path *p = path_find(paths, endpoint);
	uint32_t n = g_hash_table_size(paths->paths);

	if (!p && n >= paths->sweep_at) {
		g_hash_table_foreach_remove(paths->paths, is_unused, &now);
		n = g_hash_table_size(paths->paths);
		paths->sweep_at = CLAMP(2 * n, SWEEP_MIN, PATHS_MAX);
		if (n >= paths->sweep_at)
			return NULL;
	}
	if (!p) {
		p = g_new0(struct path, 1);
		p->endpoint = endpoint;
		g_hash_table_insert(paths->paths, &p->endpoint, p);
	}
	p->group = group;
	p->used_at = now;
	return p;
}

/* Adds an event; the oldest is dropped if nobody reads them. */
static void add_event(struct dl_paths *paths, uint64_t group, uint64_t endpoint,
		      bool interrupted, bool silent, int64_t lasted_ms)
{
	uint32_t at = (paths->events_from + paths->events_count) % EVENTS_MAX;

	paths->events[at] = (struct dl_path_event){
		.group = group,
		.endpoint = endpoint,
		.interrupted = interrupted,
		.silent = silent,
		.lasted_ms = lasted_ms,
	};
	if (paths->events_count < EVENTS_MAX)
		paths->events_count++;
	else
		paths->events_from = (paths->events_from + 1) % EVENTS_MAX;
}

/* Returns the next change of state since the last call; false: none. */
bool dl_paths_next_event(struct dl_paths *paths, struct dl_path_event *out)
{
	if (!paths->events_count)
		return false;
	*out = paths->events[paths->events_from];
	paths->events_from = (paths->events_from + 1) % EVENTS_MAX;
	paths->events_count--;
	return true;
}

/* Whether a direct connection is due again, and when the next one is. */
static bool probe_due(int64_t *probe_at, int64_t now)
{
	if (now < *probe_at)
		return false;
	*probe_at = now + PROBE_MS;
	return true;
}

/* Whether connections to an endpoint hang rather than fail. */
static bool is_silent(const struct group *g, const struct path *p)
{
	if (p && p->interrupted)
		return p->silent;
	return g->cut_off && g->silent;
}

/* Says how to connect to an endpoint now. */
void dl_paths_plan(struct dl_paths *paths, uint64_t group, uint64_t endpoint,
		   int64_t now, struct dl_path_plan *out)
{
	struct path *p = path_find(paths, endpoint);
	const struct group *g = group_find(paths, group);

	if (p)
		p->used_at = now;
	out->direct = true;
	out->forwarded_at_ms = FORWARD_AFTER_MS;
	out->reuse = now >= paths->no_reuse_until && !is_silent(g, p);
	if (g->cut_off)
		out->direct =
			probe_due(&group_get(paths, group)->probe_at, now);
	else if (p && p->interrupted)
		out->direct = probe_due(&p->probe_at, now);
	else
		return;
	out->forwarded_at_ms = 0;
}

/* The VM reaches an endpoint by itself, so it is not cut off from its group. */
static void end_cut_off(struct dl_paths *paths, struct group *g, int64_t now)
{
	GHashTableIter iter;
	gpointer value;

	if (!g->cut_off)
		return;
	g->cut_off = false;
	add_event(paths, g->key, 0, false, g->silent, now - g->cut_off_at);
	/* Each of the other paths is tried at its next use. */
	g_hash_table_iter_init(&iter, paths->paths);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct path *p = value;

		if (p->group == g->key)
			p->probe_at = now;
	}
}

static void note_connected(struct dl_paths *paths, uint64_t group,
			   uint64_t endpoint, int64_t now)
{
	struct group *g = g_hash_table_lookup(paths->groups, &group);
	struct path *p = path_find(paths, endpoint);

	paths->no_reuse_until = 0;
	if (g) {
		g->direct_ok_at = now;
		g->confirmed = 0;
		g->undecided = 0;
		end_cut_off(paths, g, now);
	}
	if (!p)
		return;
	if (p->reported)
		add_event(paths, group, endpoint, false, p->silent,
			  now - p->interrupted_at);
	p->failed_at = 0;
	p->silences = 0;
	p->interrupted = false;
	p->reported = false;
}

/* Handles the result of a direct connection. */
void dl_paths_direct(struct dl_paths *paths, uint64_t group, uint64_t endpoint,
		     enum dl_direct_result result, int64_t now)
{
	struct path *p;

	if (result == DL_DIRECT_CONNECTED) {
		note_connected(paths, group, endpoint, now);
		return;
	}
	p = path_get(paths, group, endpoint, now);
	if (!p)
		return;
	p->failed_at = now;
	p->silent = result == DL_DIRECT_SILENT;
	if (!p->silent) {
		p->silences = 0;
	} else if (!p->silences || now - p->silence_at >= DEAD_DISTANCE_MS) {
		p->silences++;
		p->silence_at = now;
	}
}

/* Another VM reaches an endpoint that this one does not. */
static void note_interrupted(struct dl_paths *paths, struct group *g,
			     struct path *p, int64_t now)
{
	if (!p->confirmed_at || p->confirmed_at <= g->direct_ok_at)
		g->confirmed++;
	p->confirmed_at = now;
	g->silent = p->silent;
	if (!p->interrupted) {
		p->interrupted = true;
		p->interrupted_at = now;
		p->probe_at = now + PROBE_MS;
	}
	if (!g->cut_off && g->confirmed >= CUT_OFF_MIN) {
		g->cut_off = true;
		g->cut_off_at = now;
		g->probe_at = now + PROBE_MS;
		add_event(paths, g->key, 0, true, p->silent, 0);
	}
	/* One event for the whole group where the VM is cut off from it. */
	if (!g->cut_off && !p->reported) {
		p->reported = true;
		add_event(paths, g->key, p->endpoint, true, p->silent, 0);
	}
}

static gboolean has_rested(gpointer key, gpointer value, gpointer now)
{
	return ((const struct rest *)value)->until <= *(const int64_t *)now;
}

static void rest_vm(struct dl_paths *paths, uint64_t vm, int64_t until,
		    int64_t now)
{
	struct rest *r = g_hash_table_lookup(paths->rests, &vm);

	if (!r) {
		if (g_hash_table_size(paths->rests) >= RESTS_MAX)
			g_hash_table_foreach_remove(paths->rests, has_rested,
						    &now);
		r = g_new(struct rest, 1);
		r->vm = vm;
		g_hash_table_insert(paths->rests, &r->vm, r);
	}
	r->until = until;
}

/* Handles the result of a connection that a VM was asked to forward. */
void dl_paths_forwarded(struct dl_paths *paths, uint64_t group,
			uint64_t endpoint, uint64_t vm,
			enum dl_forward_result result, int64_t now)
{
	static const int64_t rest_ms[DL_FORWARD_RESULTS] = {
		[DL_FORWARD_CUT_OFF] = CUT_OFF_REST_MS,
		[DL_FORWARD_UNAVAILABLE] = UNAVAILABLE_REST_MS,
		[DL_FORWARD_NO_ANSWER] = NO_ANSWER_REST_MS,
	};
	struct path *p = path_find(paths, endpoint);
	struct group *g;

	if (rest_ms[result])
		rest_vm(paths, vm, now + rest_ms[result], now);
	else
		g_hash_table_remove(paths->rests, &vm);
	if (result != DL_FORWARD_CONNECTED)
		return;
	paths->forwarder = vm;
	paths->forwarder_at = now;
	g = group_get(paths, group);
	g->undecided = 0;
	if (p && p->failed_at)
		note_interrupted(paths, g, p, now);
}

/* Handles a connection that broke after a request was sent on it. */
void dl_paths_broke(struct dl_paths *paths, int64_t now)
{
	paths->no_reuse_until = now + BROKE_MS;
}

/* Handles a request that found no way to its endpoint, nor why. */
void dl_paths_undecided(struct dl_paths *paths, uint64_t group, int64_t now)
{
	struct group *g = group_get(paths, group);

	g->undecided++;
	g->isolated_retry_at = now + ISOLATED_RETRY_MS;
}

/* Whether connections to an endpoint have to be forwarded. */
bool dl_paths_interrupted(const struct dl_paths *paths, uint64_t group,
			  uint64_t endpoint)
{
	const struct path *p = path_find(paths, endpoint);

	return group_find(paths, group)->cut_off || (p && p->interrupted);
}

/* Returns since when open connections to an endpoint are dead; 0: not. */
int64_t dl_paths_dead_since(const struct dl_paths *paths, uint64_t group,
			    uint64_t endpoint)
{
	const struct path *p = path_find(paths, endpoint);
	const struct group *g = group_find(paths, group);

	if (p && p->interrupted && !p->silent)
		return 0;
	if (g->cut_off)
		return g->silent ? g->cut_off_at : 0;
	return p && p->interrupted && p->silences >= DEAD_MIN ?
		       p->interrupted_at :
		       0;
}

/* Whether this VM has lost its links to all endpoints of a group. */
bool dl_paths_cut_off(const struct dl_paths *paths, uint64_t group)
{
	return group_find(paths, group)->cut_off;
}

/* Whether a request cannot be served now; false at times, to try again. */
bool dl_paths_isolated(struct dl_paths *paths, uint64_t group, int64_t now)
{
	struct group *g = g_hash_table_lookup(paths->groups, &group);

	if (!g || g->undecided < ISOLATED_MIN)
		return false;
	if (now < g->isolated_retry_at)
		return true;
	g->isolated_retry_at = now + ISOLATED_RETRY_MS;
	return false;
}

/* Whether a VM may be asked to forward a connection. */
static bool may_forward(const struct dl_paths *paths, uint64_t vm, int64_t now)
{
	const struct rest *r = g_hash_table_lookup(paths->rests, &vm);

	return !r || r->until <= now;
}

static void swap(uint64_t *vms, uint32_t i, uint32_t j)
{
	uint64_t vm = vms[i];

	vms[i] = vms[j];
	vms[j] = vm;
}

/* Puts the VMs that are not at rest first; returns how many. */
static uint32_t put_rested_first(const struct dl_paths *paths, uint64_t *vms,
				 uint32_t n, int64_t now)
{
	uint32_t rested = 0;

	for (uint32_t i = 0; i < n; i++) {
		if (may_forward(paths, vms[i], now))
			swap(vms, rested++, i);
	}
	return rested;
}

/* Puts a VM that forwarded lately last of those chosen, unless it is one. */
static void add_last_forwarder(const struct dl_paths *paths, uint64_t *vms,
			       uint32_t n, uint32_t chosen, int64_t now)
{
	if (now - paths->forwarder_at > FORWARDER_MS)
		return;
	for (uint32_t i = chosen; i < n; i++) {
		if (vms[i] == paths->forwarder)
			swap(vms, chosen - 1, i);
	}
}

/* Chooses VMs to be asked to forward a connection; see the header. */
uint32_t dl_paths_choose(const struct dl_paths *paths, uint64_t *vms,
			 uint32_t n, uint32_t max, uint64_t random, int64_t now)
{
	uint32_t rested = put_rested_first(paths, vms, n, now);
	uint32_t chosen;

	if (rested)
		n = rested;
	chosen = MIN(n, max);
	for (uint32_t i = 0; i < chosen; i++) {
		struct dl_str bits = { (const char *)&random, sizeof(random) };

		swap(vms, i, i + (uint32_t)(dl_hash(bits, i) % (n - i)));
	}
	if (rested && chosen)
		add_last_forwarder(paths, vms, n, chosen, now);
	return chosen;
}
