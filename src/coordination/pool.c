/*
 * The dispatcher of a pool, first and simplest form: linear lists, one queue
 * ordered by class and deadline, an endpoint picked by its free memory.
 */
#include "daisyledge/pool.h"

#include <errno.h>
#include <string.h>

#include <glib.h>

#define RETRY_AFTER_MS 1000

struct endpoint {
	struct dl_endpoint_report last;
	int64_t heard;
	uint64_t held;
	uint32_t grants;
	bool drained;
};

struct grant {
	struct dl_answer answer;
};

struct waiting {
	struct dl_ask ask;
	struct dl_name workspace;
};

struct dl_pool_policy {
	struct endpoint *(*pick)(struct dl_pool *pool,
				 const struct dl_ask *ask);
};

struct dl_pool {
	struct dl_pool_conf conf;
	const struct dl_pool_policy *policy;
	uint64_t seed;
	uint64_t counter;
	uint32_t turn;
	uint64_t queued_tokens;
	GPtrArray *endpoints;
	GPtrArray *grants;
	GPtrArray *queue;
};

static struct endpoint *pick_late(struct dl_pool *pool,
				  const struct dl_ask *ask);
static struct endpoint *pick_turn(struct dl_pool *pool,
				  const struct dl_ask *ask);
static struct endpoint *pick_least(struct dl_pool *pool,
				   const struct dl_ask *ask);

const struct dl_pool_policy dl_policy_late_binding = { .pick = pick_late };
const struct dl_pool_policy dl_policy_round_robin = { .pick = pick_turn };
const struct dl_pool_policy dl_policy_least_load = { .pick = pick_least };

static const char *const reason_names[DL_REASON_COUNT] = {
	[DL_REASON_NONE] = "none",
	[DL_REASON_DEADLINE] = "deadline",
	[DL_REASON_QUEUE_FULL] = "queue-full",
	[DL_REASON_NO_ENDPOINT] = "no-endpoint",
	[DL_REASON_TOO_LONG] = "too-long",
	[DL_REASON_RATE] = "rate",
	[DL_REASON_CONCURRENCY] = "concurrency",
	[DL_REASON_SHED] = "shed",
	[DL_REASON_DRAINING] = "draining",
	[DL_REASON_RETRY_BUDGET] = "retry-budget",
	[DL_REASON_NO_QUORUM] = "no-quorum",
	[DL_REASON_IN_PROGRESS] = "in-progress",
	[DL_REASON_NO_DISPATCHER] = "no-dispatcher",
	[DL_REASON_BUSY] = "busy",
};

/* The name of a reason as callers and logs see it. */
const char *dl_reason_name(enum dl_reason reason)
{
	if ((unsigned)reason >= DL_REASON_COUNT)
		return "none";
	return reason_names[reason];
}

/* Begin a pool without endpoints; NULL for conf gives nothing to run on. */
struct dl_pool *dl_pool_new(const struct dl_pool_conf *conf,
			    const struct dl_pool_policy *policy, uint64_t seed)
{
	struct dl_pool *pool = g_new0(struct dl_pool, 1);

	pool->conf = *conf;
	pool->policy = policy;
	pool->seed = seed;
	pool->endpoints = g_ptr_array_new_with_free_func(g_free);
	pool->grants = g_ptr_array_new_with_free_func(g_free);
	pool->queue = g_ptr_array_new_with_free_func(g_free);
	return pool;
}

/* End a pool; nobody is told. */
void dl_pool_free(struct dl_pool *pool)
{
	if (!pool)
		return;
	g_ptr_array_free(pool->endpoints, TRUE);
	g_ptr_array_free(pool->grants, TRUE);
	g_ptr_array_free(pool->queue, TRUE);
	g_free(pool);
}

/* Put a new configuration in force. */
void dl_pool_configure(struct dl_pool *pool, const struct dl_pool_conf *conf)
{
	pool->conf = *conf;
}

/* Weights and limits of a workspace; not yet heeded. */
void dl_pool_workspace(struct dl_pool *pool, const struct dl_workspace_conf *ws)
{
	(void)pool;
	(void)ws;
}

static struct endpoint *find(struct dl_pool *pool, struct dl_str id)
{
	for (guint i = 0; i < pool->endpoints->len; i++) {
		struct endpoint *e = g_ptr_array_index(pool->endpoints, i);

		if (dl_name_eq(&e->last.id, id))
			return e;
	}
	return NULL;
}

static struct endpoint *find_or_add(struct dl_pool *pool, struct dl_str id)
{
	struct endpoint *e = find(pool, id);

	if (e)
		return e;
	e = g_new0(struct endpoint, 1);
	dl_name_set(&e->last.id, id);
	e->heard = INT64_MIN / 2;
	g_ptr_array_add(pool->endpoints, e);
	return e;
}

/* An endpoint's heartbeat; -EINVAL where it makes no sense. */
int dl_pool_report(struct dl_pool *pool, const struct dl_endpoint_report *r,
		   int64_t now)
{
	struct endpoint *e;

	if (r->id.n == 0 || r->slots == 0)
		return -EINVAL;
	if (pool->conf.kind == DL_POOL_MODEL && r->memory_tokens == 0)
		return -EINVAL;
	e = find_or_add(pool, dl_name_str(&r->id));
	e->last = *r;
	e->heard = now;
	return 0;
}

/* An endpoint is known to be dead. */
void dl_pool_endpoint_gone(struct dl_pool *pool, struct dl_str id, int64_t now)
{
	struct endpoint *e = find(pool, id);

	(void)now;
	if (e)
		e->heard = INT64_MIN / 2;
}

/* The operators' drain. */
void dl_pool_endpoint_drain(struct dl_pool *pool, struct dl_str id, bool drain,
			    int64_t now)
{
	(void)now;
	find_or_add(pool, id)->drained = drain;
}

static bool is_open(const struct dl_pool *pool, const struct endpoint *e,
		    int64_t now)
{
	return e->heard + pool->conf.report_gone_ms > now && !e->drained &&
	       !e->last.leaving;
}

static bool was_tried(const struct dl_ask *ask, const struct endpoint *e)
{
	for (int i = 0; i < ask->tried; i++)
		if (dl_name_eq(&ask->tried_ids[i], dl_name_str(&e->last.id)))
			return true;
	return false;
}

static uint64_t need(const struct dl_pool *pool, const struct dl_ask *ask)
{
	if (pool->conf.kind == DL_POOL_PLAIN)
		return 0;
	return ask->prompt_tokens + ask->output_tokens;
}

static bool fits(const struct dl_pool *pool, const struct dl_ask *ask,
		 const struct endpoint *e)
{
	return !was_tried(ask, e) && e->grants < e->last.slots &&
	       e->held + need(pool, ask) <= e->last.memory_tokens;
}

static struct endpoint *pick_late(struct dl_pool *pool,
				  const struct dl_ask *ask)
{
	struct endpoint *best = NULL;

	for (guint i = 0; i < pool->endpoints->len; i++) {
		struct endpoint *e = g_ptr_array_index(pool->endpoints, i);

		if (e->heard < 0 || e->drained || e->last.leaving)
			continue;
		if (!fits(pool, ask, e))
			continue;
		if (!best || e->grants < best->grants)
			best = e;
	}
	return best;
}

static struct endpoint *pick_turn(struct dl_pool *pool,
				  const struct dl_ask *ask)
{
	for (guint i = 0; i < pool->endpoints->len; i++) {
		guint at = pool->turn++ % pool->endpoints->len;
		struct endpoint *e = g_ptr_array_index(pool->endpoints, at);

		if (e->heard >= 0 && !e->drained && !e->last.leaving &&
		    fits(pool, ask, e))
			return e;
	}
	return NULL;
}

static struct endpoint *pick_least(struct dl_pool *pool,
				   const struct dl_ask *ask)
{
	struct endpoint *best = NULL;

	for (guint i = 0; i < pool->endpoints->len; i++) {
		struct endpoint *e = g_ptr_array_index(pool->endpoints, i);

		if (e->heard < 0 || e->drained || e->last.leaving)
			continue;
		if (!fits(pool, ask, e))
			continue;
		if (!best || e->last.running < best->last.running)
			best = e;
	}
	return best;
}

static struct grant *find_grant(struct dl_pool *pool, uint64_t id, guint *at)
{
	for (guint i = 0; i < pool->grants->len; i++) {
		struct grant *g = g_ptr_array_index(pool->grants, i);

		if (g->answer.grant == id) {
			*at = i;
			return g;
		}
	}
	return NULL;
}

static void drop_grant(struct dl_pool *pool, guint at)
{
	struct grant *g = g_ptr_array_index(pool->grants, at);

	for (int i = 0; i < g->answer.endpoints; i++) {
		struct endpoint *e =
			find(pool, dl_name_str(&g->answer.endpoint[i]));

		if (!e)
			continue;
		e->held -= g->answer.share_tokens[i];
		e->grants--;
	}
	g_ptr_array_remove_index_fast(pool->grants, at);
}

static void hold(struct dl_pool *pool, const struct dl_answer *answer)
{
	struct grant *g = g_new0(struct grant, 1);

	g->answer = *answer;
	for (int i = 0; i < answer->endpoints; i++) {
		struct endpoint *e =
			find_or_add(pool, dl_name_str(&answer->endpoint[i]));

		e->held += answer->share_tokens[i];
		e->grants++;
	}
	g_ptr_array_add(pool->grants, g);
}

static bool try_grant(struct dl_pool *pool, const struct dl_ask *ask,
		      int64_t now, struct dl_answer *out)
{
	struct endpoint *e = pool->policy->pick(pool, ask);

	if (!e || !is_open(pool, e, now))
		return false;
	out->verdict = DL_GRANTED;
	out->grant = dl_hash((struct dl_str){ (const char *)&pool->counter,
					      sizeof(pool->counter) },
			     pool->seed);
	pool->counter++;
	out->valid_until = now + pool->conf.grant_lease_ms;
	out->priority = (uint8_t)ask->class;
	out->endpoints = 1;
	out->endpoint[0] = e->last.id;
	out->share_tokens[0] = need(pool, ask);
	hold(pool, out);
	return true;
}

static void refuse(struct dl_answer *out, enum dl_reason reason)
{
	out->verdict = DL_REFUSED;
	out->reason = reason;
	out->retry_after_ms = RETRY_AFTER_MS;
}

static enum dl_reason ever_fits(struct dl_pool *pool, const struct dl_ask *ask,
				int64_t now)
{
	enum dl_reason reason = DL_REASON_NO_ENDPOINT;

	for (guint i = 0; i < pool->endpoints->len; i++) {
		struct endpoint *e = g_ptr_array_index(pool->endpoints, i);

		if (!is_open(pool, e, now))
			continue;
		if (need(pool, ask) <= e->last.memory_tokens)
			return DL_REASON_NONE;
		reason = DL_REASON_TOO_LONG;
	}
	return reason;
}

static bool before(const struct waiting *a, const struct waiting *b)
{
	if (a->ask.class != b->ask.class)
		return a->ask.class < b->ask.class;
	return a->ask.deadline < b->ask.deadline;
}

static void enqueue(struct dl_pool *pool, const struct dl_ask *ask)
{
	struct waiting *w = g_new0(struct waiting, 1);
	guint at = 0;

	w->ask = *ask;
	dl_name_set(&w->workspace, ask->workspace);
	w->ask.workspace = dl_name_str(&w->workspace);
	pool->queued_tokens += ask->prompt_tokens;
	while (at < pool->queue->len &&
	       !before(w, g_ptr_array_index(pool->queue, at)))
		at++;
	g_ptr_array_insert(pool->queue, (gint)at, w);
}

/* Always answers: granted, queued or refused. */
void dl_pool_ask(struct dl_pool *pool, const struct dl_ask *ask, int64_t now,
		 struct dl_answer *out)
{
	enum dl_reason reason = ever_fits(pool, ask, now);

	memset(out, 0, sizeof(*out));
	out->request = ask->request;
	out->entry = ask->entry;
	if (reason != DL_REASON_NONE) {
		refuse(out, reason);
		return;
	}
	if (ask->deadline <= now) {
		refuse(out, DL_REASON_DEADLINE);
		return;
	}
	if (pool->queue->len == 0 && try_grant(pool, ask, now, out))
		return;
	if (pool->queue->len >= pool->conf.queue_entries_max ||
	    pool->queued_tokens + ask->prompt_tokens >
		    pool->conf.queue_tokens_max) {
		refuse(out, DL_REASON_QUEUE_FULL);
		return;
	}
	enqueue(pool, ask);
	out->verdict = DL_QUEUED;
}

static void drop_waiting(struct dl_pool *pool, guint at)
{
	struct waiting *w = g_ptr_array_index(pool->queue, at);

	pool->queued_tokens -= w->ask.prompt_tokens;
	g_ptr_array_remove_index(pool->queue, at);
}

/* The caller of a queued request left. */
void dl_pool_cancel(struct dl_pool *pool, uint64_t entry, uint64_t request,
		    int64_t now)
{
	(void)now;
	for (guint i = 0; i < pool->queue->len; i++) {
		struct waiting *w = g_ptr_array_index(pool->queue, i);

		if (w->ask.entry == entry && w->ask.request == request) {
			drop_waiting(pool, i);
			return;
		}
	}
}

/* Keep a grant for another lease. */
int dl_pool_renew(struct dl_pool *pool, uint64_t grant, int64_t now)
{
	guint at;
	struct grant *g = find_grant(pool, grant, &at);

	if (!g)
		return -ENOENT;
	g->answer.valid_until = now + pool->conf.grant_lease_ms;
	return 0;
}

/* Give back what a grant holds. */
int dl_pool_release(struct dl_pool *pool, uint64_t grant,
		    const struct dl_usage *usage, int64_t now)
{
	guint at;

	(void)usage;
	(void)now;
	if (!find_grant(pool, grant, &at))
		return -ENOENT;
	drop_grant(pool, at);
	return 0;
}

/* Count a grant of an earlier dispatcher as one of this. */
int dl_pool_adopt(struct dl_pool *pool, const struct dl_answer *grant,
		  const struct dl_ask *ask, int64_t now)
{
	struct dl_answer copy = *grant;
	guint at;

	(void)ask;
	if (grant->endpoints == 0 || grant->endpoints > DL_GROUP_MAX)
		return -EINVAL;
	if (find_grant(pool, grant->grant, &at))
		return -EEXIST;
	copy.valid_until = now + pool->conf.grant_lease_ms;
	hold(pool, &copy);
	return 0;
}

/* An entry died: what it queued and holds is dropped. */
void dl_pool_entry_gone(struct dl_pool *pool, uint64_t entry, int64_t now)
{
	(void)now;
	for (guint i = pool->queue->len; i-- > 0;) {
		struct waiting *w = g_ptr_array_index(pool->queue, i);

		if (w->ask.entry == entry)
			drop_waiting(pool, i);
	}
	for (guint i = pool->grants->len; i-- > 0;) {
		struct grant *g = g_ptr_array_index(pool->grants, i);

		if (g->answer.entry == entry)
			drop_grant(pool, i);
	}
}

static void expire(struct dl_pool *pool, int64_t now)
{
	for (guint i = pool->grants->len; i-- > 0;) {
		struct grant *g = g_ptr_array_index(pool->grants, i);

		if (g->answer.valid_until <= now)
			drop_grant(pool, i);
	}
}

/* Take the next late answer. */
bool dl_pool_next(struct dl_pool *pool, int64_t now, struct dl_answer *out)
{
	expire(pool, now);
	for (guint i = 0; i < pool->queue->len; i++) {
		struct waiting *w = g_ptr_array_index(pool->queue, i);

		memset(out, 0, sizeof(*out));
		out->request = w->ask.request;
		out->entry = w->ask.entry;
		if (w->ask.deadline <= now)
			refuse(out, DL_REASON_DEADLINE);
		else if (!try_grant(pool, &w->ask, now, out))
			continue;
		drop_waiting(pool, i);
		return true;
	}
	return false;
}

/* When dl_pool_next must be called at the latest. */
int64_t dl_pool_wakeup(const struct dl_pool *pool)
{
	int64_t at = INT64_MAX;

	for (guint i = 0; i < pool->queue->len; i++) {
		struct waiting *w = g_ptr_array_index(pool->queue, i);

		at = MIN(at, w->ask.deadline);
	}
	for (guint i = 0; i < pool->grants->len; i++) {
		struct grant *g = g_ptr_array_index(pool->grants, i);

		at = MIN(at, g->answer.valid_until);
	}
	return at;
}

/* The pool in one line. */
void dl_pool_summarize(const struct dl_pool *pool, int64_t now,
		       struct dl_pool_summary *out)
{
	memset(out, 0, sizeof(*out));
	out->queued = pool->queue->len;
	out->queued_tokens = pool->queued_tokens;
	out->grants = pool->grants->len;
	for (guint i = 0; i < pool->endpoints->len; i++) {
		struct endpoint *e = g_ptr_array_index(pool->endpoints, i);

		if (!is_open(pool, e, now))
			continue;
		out->endpoints++;
		out->memory_tokens += e->last.memory_tokens;
		if (e->last.memory_tokens > e->held)
			out->free_tokens += e->last.memory_tokens - e->held;
	}
}

/* Walk the endpoints by index; false past the last. */
bool dl_pool_endpoint_at(const struct dl_pool *pool, uint32_t index,
			 struct dl_endpoint_report *out, uint64_t *held_tokens,
			 bool *put_out)
{
	struct endpoint *e;

	if (index >= pool->endpoints->len)
		return false;
	e = g_ptr_array_index(pool->endpoints, index);
	*out = e->last;
	*held_tokens = e->held;
	*put_out = false;
	return true;
}

/* NULL, or which invariant is broken. */
const char *dl_pool_broken(const struct dl_pool *pool)
{
	uint64_t held = 0, shares = 0;

	for (guint i = 0; i < pool->endpoints->len; i++) {
		struct endpoint *e = g_ptr_array_index(pool->endpoints, i);

		held += e->held;
	}
	for (guint i = 0; i < pool->grants->len; i++) {
		struct grant *g = g_ptr_array_index(pool->grants, i);

		for (int k = 0; k < g->answer.endpoints; k++)
			shares += g->answer.share_tokens[k];
	}
	return held == shares ? NULL : "memory held without a grant";
}
