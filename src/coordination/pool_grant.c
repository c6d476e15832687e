/*
 * Grants: leases on memory and a slot of an endpoint.  The memory is always
 * reclaimed: a grant that its entry does not renew ends with its lease, the
 * grants of a dead entry end at once, and those on an endpoint end with its
 * incarnation.
 */
#include "pool_int.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#define MEAN_GAIN	 0.1
#define REORDER_SCAN_MAX 8
/*
 * The release gap is averaged over the releases of this many waves, a wave
 * being as many releases as the pool runs requests at once, and at least
 * RELEASES_MIN.  Requests that started together end together after a long gap,
 * and that gap alone says nothing about the rest of the wave.
 */
#define RELEASE_WAVES 4
#define RELEASES_MIN  10

static void attach_part(struct pool_grant *g, uint8_t at,
			struct pool_endpoint *e, uint64_t share);
static void detach_part(struct dl_pool *pool, struct pool_part *part,
			int64_t now);
static struct pool_grant *grant_new(struct dl_pool *pool, uint64_t id,
				    uint64_t entry, uint64_t request,
				    struct pool_workspace *ws,
				    const struct pool_want *want, uint8_t n);
static void mark_reordered(struct pool_grant *g, struct pool_endpoint *e,
			   int64_t now);
static uint64_t new_grant_id(struct dl_pool *pool);
static void record_release(struct dl_pool *pool, struct pool_grant *g,
			   int64_t now);
static void mark_helper_unreachable(struct dl_pool *pool,
				    const struct pool_grant *g,
				    const struct dl_name *id, int64_t now);

/* Hash of the id of a request, which is unique only per entry. */
uint64_t pool_request_hash(uint64_t entry, uint64_t request)
{
	return pool_mix(pool_mix(entry) ^ request);
}

/* Find a grant by id, or NULL. */
struct pool_grant *pool_grant_find(const struct dl_pool *pool, uint64_t id)
{
	struct pool_map_node *node =
		pool_map_first(&pool->grant_by_id, pool_mix(id));

	return node ? POOL_CONTAINER_OF(node, struct pool_grant, by_id) : NULL;
}

/* Find the grant of an entry's request, or NULL. */
struct pool_grant *pool_grant_of_request(const struct dl_pool *pool,
					 uint64_t entry, uint64_t request)
{
	uint64_t hash = pool_request_hash(entry, request);
	struct pool_map_node *node =
		pool_map_first(&pool->grant_by_request, hash);

	for (; node; node = pool_map_next(node)) {
		struct pool_grant *g =
			POOL_CONTAINER_OF(node, struct pool_grant, by_request);

		if (g->entry == entry && g->request == request)
			return g;
	}
	return NULL;
}

/*
 * Ids are a permutation of a counter, keyed by the seed, so that two
 * incarnations of a dispatcher do not use the same one and a late release of an
 * old grant matches nothing.
 */
static uint64_t new_grant_id(struct dl_pool *pool)
{
	uint64_t id = 0;

	while (id == 0 || pool_grant_find(pool, id))
		id = pool_mix(pool_mix(pool->seed) + ++pool->counter);
	return id;
}

static struct pool_grant *grant_new(struct dl_pool *pool, uint64_t id,
				    uint64_t entry, uint64_t request,
				    struct pool_workspace *ws,
				    const struct pool_want *want, uint8_t n)
{
	struct pool_grant *g =
		calloc(1, sizeof(*g) + n * sizeof(struct pool_part));

	if (!g)
		abort();
	g->id = id;
	g->entry = entry;
	g->request = request;
	g->workspace = ws;
	g->want = *want;
	g->parts_n = n;
	ws->running++;
	pool_map_add(&pool->grant_by_id, &g->by_id, pool_mix(id));
	pool_map_add(&pool->grant_by_request, &g->by_request,
		     pool_request_hash(entry, request));
	return g;
}

static void attach_part(struct pool_grant *g, uint8_t at,
			struct pool_endpoint *e, uint64_t share)
{
	struct pool_part *part = &g->parts[at];

	part->grant = g;
	part->endpoint = e;
	part->share = share;
	part->next = NULL;
	part->prev = e->parts_last;
	if (e->parts_last)
		e->parts_last->next = part;
	else
		e->parts = part;
	e->parts_last = part;
	e->held += share;
	e->grants++;
	e->grant_seq++;
	if (at == 0)
		g->seq = e->grant_seq;
	if (g->want.band >= POOL_LONG)
		e->long_grants++;
}

static void detach_part(struct dl_pool *pool, struct pool_part *part,
			int64_t now)
{
	struct pool_endpoint *e = part->endpoint;

	if (!e)
		return;
	if (part->prev)
		part->prev->next = part->next;
	else
		e->parts = part->next;
	if (part->next)
		part->next->prev = part->prev;
	else
		e->parts_last = part->prev;
	dl_engine_remove(&e->engine, part->grant->id, now);
	e->held -= part->share;
	e->grants--;
	if (part->grant->want.band >= POOL_LONG)
		e->long_grants--;
	if (e->probe == part->grant->id)
		e->probe = 0;
	part->endpoint = NULL;
	if (e->grants == 0)
		for (int i = 0; i < POOL_LEVELS; i++)
			e->busy_until[i] =
				now < e->busy_until[i] ? now : e->busy_until[i];
	pool_place_refresh(pool, e, now);
	if (e->grants == 0 && e->state != POOL_EP_LIVE && !e->drained)
		pool_endpoint_forget(pool, e);
}

/*
 * Mark a new request and those of its level that it overtakes in the engine:
 * neither takes the predicted time, so their times say nothing about the
 * engine.  Only the latest few can still be waiting for their prefill.
 */
static void mark_reordered(struct pool_grant *g, struct pool_endpoint *e,
			   int64_t now)
{
	struct pool_part *part = e->parts_last;

	for (int i = 0; part && i < REORDER_SCAN_MAX; i++, part = part->prev) {
		struct pool_grant *other = part->grant;

		if (other == g || other->priority <= g->priority ||
		    pool_level(&other->want) != pool_level(&g->want) ||
		    other->since + other->predicted_ttft_ms < now)
			continue;
		other->reordered = true;
		g->reordered = true;
	}
}

/* Grant a placement: hold its memory and account for its work. */
void pool_grant_make(struct dl_pool *pool, uint64_t request, uint64_t entry,
		     struct pool_workspace *ws, const struct pool_want *want,
		     const struct pool_choice *choice, int64_t now,
		     struct dl_answer *out)
{
	struct pool_grant *g = grant_new(pool, new_grant_id(pool), entry,
					 request, ws, want, choice->n);
	int64_t slack = want->deadline - now - choice->total_ms;
	int64_t prefill = choice->ttft_ms - (choice->start - now);

	g->since = now;
	g->valid_until = now + pool->conf.grant_lease_ms;
	pool_heap_set(&pool->grant_lease, &g->lease, g->valid_until);
	g->predicted_ttft_ms = (uint32_t)choice->ttft_ms;
	g->predicted_total_ms = (uint32_t)choice->total_ms;
	g->cached_tokens = choice->cached_tokens;
	g->interference_ms = choice->endpoint[0]->interference_ms;
	g->behind_lower = choice->behind_lower;
	g->priority = pool_place_priority(want, choice, now);
	g->higher_ms =
		pool_backlog_higher_ms(choice->endpoint[0], pool_level(want));
	for (uint8_t i = 0; i < choice->n; i++) {
		struct pool_endpoint *e = choice->endpoint[i];

		if (choice->behind_lower)
			prefill -= (int64_t)e->interference_ms;
		g->parts[i].prefill_ms = prefill > 0 ? prefill : 1;
		mark_reordered(g, e, now);
		pool_backlog_commit(e, want, g->parts[i].prefill_ms, slack,
				    now);
		attach_part(g, i, e,
			    i && choice->memory_on_leader ? 0 : choice->share);
		pool_throttle_charge(pool, e, want, now);
		if (choice->probe) {
			e->probe = g->id;
			e->probe_at = now + e->probe_gap_ms;
		}
		pool_place_refresh(pool, e, now);
	}
	if (pool->policy->granted)
		pool->policy->granted(pool, g, choice->read_ms, now);
	if (choice->n == 1)
		pool_prefix_note(pool, want->prefix, want->prefix_tokens,
				 choice->endpoint[0], now);
	pool_rate_add(&pool->granted[want->class], (double)want->prompt, now);
	pool_grant_answer(g, out);
}

/* Fill in the answer for a grant. */
void pool_grant_answer(const struct pool_grant *g, struct dl_answer *out)
{
	out->request = g->request;
	out->entry = g->entry;
	out->verdict = DL_GRANTED;
	out->reason = DL_REASON_NONE;
	out->grant = g->id;
	out->valid_until = g->valid_until;
	out->priority = g->priority;
	out->predicted_ttft_ms = g->predicted_ttft_ms;
	out->endpoints = 0;
	out->away = 0;
	out->limited = g->parts[0].endpoint &&
		       g->parts[0].endpoint->limit != DL_UNLIMITED;
	for (uint8_t i = 0; i < g->parts_n; i++) {
		if (!g->parts[i].endpoint)
			continue;
		out->away +=
			pool_in_other_domain(&g->want, g->parts[i].endpoint);
		out->endpoint[out->endpoints] = g->parts[i].endpoint->last.id;
		out->share_tokens[out->endpoints++] = g->parts[i].share;
	}
}

/*
 * Learns the mean time between releases while requests wait.  The time waited
 * is part of the running requests' own time, so they count as releases too:
 * otherwise the first release of a wave would double the mean, and requests
 * that are still in time would be refused.
 */
static void record_release(struct dl_pool *pool, struct pool_grant *g,
			   int64_t now)
{
	struct pool_workspace *ws = g->workspace;
	int64_t since = pool->released_at > pool->waited_since ?
				pool->released_at :
				pool->waited_since;
	double gap = (double)(now - since);
	double wave = (double)(pool->slots > RELEASES_MIN ? pool->slots :
							    RELEASES_MIN);
	double kept = 1 - 1 / (RELEASE_WAVES * wave);
	double took = (double)(now - g->since);

	if (pool->queued) {
		pool->release_wait_ms = pool->release_wait_ms * kept + gap;
		pool->releases = pool->releases * kept + 1;
		pool->release_gap_ms =
			pool->release_wait_ms / (pool->releases + wave);
	}
	pool->run_ms += (took - pool->run_ms) / wave;
	pool->released_at = now;
	ws->mean_ms += MEAN_GAIN * (took - ws->mean_ms);
}

/* End a grant and release what it holds. */
void pool_grant_drop(struct dl_pool *pool, struct pool_grant *g, int64_t now)
{
	int64_t ends = g->since + g->predicted_ttft_ms;

	record_release(pool, g, now);
	for (uint8_t i = 0; i < g->parts_n; i++) {
		struct pool_part *part = &g->parts[i];
		int64_t rest = ends - now;

		if (rest > part->prefill_ms)
			rest = part->prefill_ms;
		if (part->endpoint && rest > 0)
			pool_backlog_release(part->endpoint,
					     pool_level(&g->want), rest, now);
		detach_part(pool, part, now);
	}
	g->workspace->running--;
	pool_heap_remove(&pool->grant_lease, &g->lease);
	pool_map_remove(&pool->grant_by_id, &g->by_id);
	pool_map_remove(&pool->grant_by_request, &g->by_request);
	free(g);
}

/* End grants whose lease expired. */
void pool_grant_expire(struct dl_pool *pool, int64_t now)
{
	struct pool_heap_node *top;

	while ((top = pool_heap_top(&pool->grant_lease)) && top->key <= now)
		pool_grant_drop(
			pool, POOL_CONTAINER_OF(top, struct pool_grant, lease),
			now);
}

/* An endpoint lost its memory: its grants no longer hold anything there. */
void pool_grant_detach(struct dl_pool *pool, struct pool_endpoint *e)
{
	bool drained = e->drained;

	e->drained = true; /* keeps e allocated for the caller */
	while (e->parts)
		detach_part(pool, e->parts, pool->now);
	e->drained = drained;
}

/* Extend a grant by another lease; -ENOENT if the pool does not have it. */
int dl_pool_renew(struct dl_pool *pool, uint64_t grant, int64_t now)
{
	struct pool_grant *g;

	pool->now = now;
	pool_grant_expire(pool, now);
	g = pool_grant_find(pool, grant);
	if (!g)
		return -ENOENT;
	g->valid_until = now + pool->conf.grant_lease_ms;
	pool_heap_set(&pool->grant_lease, &g->lease, g->valid_until);
	return 0;
}

/*
 * The leader of a group could not reach this helper.  Without this, when a
 * failure domain is cut off, each such group fails after a stall of 1.5 s
 * during which the whole leading engine stands still, and the same helpers
 * still look free.
 */
static void mark_helper_unreachable(struct dl_pool *pool,
				    const struct pool_grant *g,
				    const struct dl_name *id, int64_t now)
{
	for (uint8_t i = 1; i < g->parts_n; i++) {
		struct pool_endpoint *e = g->parts[i].endpoint;

		if (e && dl_name_eq(&e->last.id, dl_name_str(id)))
			pool_endpoint_unreachable(pool, e, g->entry, false,
						  now);
	}
}

/* Start dispatching in this pool. */
void dl_pool_start_dispatching(struct dl_pool *pool, int64_t now)
{
	pool_endpoint_await_reports(pool, now);
	if (pool->policy->start_dispatching)
		pool->policy->start_dispatching(pool, now);
	pool_recover_start(pool, now);
}

/* The first event of the answer to a grant arrived; -ENOENT as for renew. */
int dl_pool_first_event(struct dl_pool *pool, uint64_t grant, int64_t now)
{
	struct pool_grant *g = pool_grant_find(pool, grant);

	if (!g)
		return -ENOENT;
	g->began = true;
	if (pool->policy->first_event)
		pool->policy->first_event(pool, g, now);
	return 0;
}

/* Release a grant and learn from its outcome; -ENOENT as for renew. */
int dl_pool_release(struct dl_pool *pool, uint64_t grant,
		    const struct dl_usage *usage, int64_t now)
{
	struct pool_grant *g = pool_grant_find(pool, grant);

	pool->now = now;
	if (!g)
		return -ENOENT;
	if (usage && usage->unreachable && g->parts[0].endpoint)
		pool_endpoint_unreachable(pool, g->parts[0].endpoint, g->entry,
					  usage->silent, now);
	if (usage && usage->at_fault.n)
		mark_helper_unreachable(pool, g, &usage->at_fault, now);
	if (usage && usage->backoff_ms)
		pool_backoff_note(pool, g, &usage->backoff_endpoint,
				  usage->backoff_ms, now);
	if (usage)
		pool_outlier_learn(pool, g, usage, now);
	pool_grant_drop(pool, g, now);
	return 0;
}

/*
 * Adopt a grant of a previous dispatcher.  After a handover each entry reports
 * its running requests, so that none is run twice or forgotten.  Endpoints
 * without a report yet are created by name. -EINVAL if the grant has no
 * endpoint, -EEXIST if it is known.
 */
int dl_pool_adopt(struct dl_pool *pool, const struct dl_answer *grant,
		  const struct dl_ask *ask, const struct dl_adoption *adoption,
		  int64_t now)
{
	struct pool_workspace *ws;
	struct pool_request *queued;
	struct pool_want want;
	struct pool_grant *g;

	pool->now = now;
	if (grant->grant == 0 || grant->endpoints == 0 ||
	    grant->endpoints > DL_GROUP_MAX)
		return -EINVAL;
	if (pool_grant_find(pool, grant->grant))
		return -EEXIST;
	queued = pool_queue_find(pool, ask->entry, ask->request);
	if (queued)
		pool_queue_drop(pool, queued);
	pool_want_of(pool, ask, &want);
	if (grant->endpoints > 1)
		want.band = POOL_OVERSIZED;
	if (adoption)
		want.asked_at = now - adoption->held_ms;
	ws = pool_workspace_get(pool, ask->workspace);
	g = grant_new(pool, grant->grant, ask->entry, ask->request, ws, &want,
		      grant->endpoints);
	g->since = now;
	g->valid_until = now + pool->conf.grant_lease_ms;
	g->priority = grant->priority;
	g->adopted = true;
	pool_heap_set(&pool->grant_lease, &g->lease, g->valid_until);
	for (uint8_t i = 0; i < grant->endpoints; i++) {
		struct pool_endpoint *e = pool_endpoint_get(
			pool, dl_name_str(&grant->endpoint[i]));

		attach_part(g, i, e, grant->share_tokens[i]);
		pool_place_refresh(pool, e, now);
	}
	if (adoption && pool->policy->adopted)
		pool->policy->adopted(pool, g, grant->predicted_ttft_ms,
				      adoption, now);
	else if (pool->policy->granted)
		pool->policy->granted(pool, g, 0, now);
	pool_recover_adopted(pool, g, adoption, now);
	return 0;
}

/*
 * An entry died: drop its queued requests and end its grants, as nobody waits
 * for or reads the answers.
 */
void dl_pool_entry_gone(struct dl_pool *pool, uint64_t entry, int64_t now)
{
	struct pool_map *map = &pool->grant_by_id;
	struct pool_map_node *node, *next;

	pool->now = now;
	for (uint32_t i = 0; i <= map->mask; i++) {
		for (node = map->bucket[i]; node; node = next) {
			struct pool_grant *g = POOL_CONTAINER_OF(
				node, struct pool_grant, by_id);

			next = node->next;
			if (g->entry == entry)
				pool_grant_drop(pool, g, now);
		}
	}
	map = &pool->request_by_id;
	for (uint32_t i = 0; i <= map->mask; i++) {
		for (node = map->bucket[i]; node; node = next) {
			struct pool_request *req = POOL_CONTAINER_OF(
				node, struct pool_request, by_request);

			next = node->next;
			if (req->entry == entry)
				pool_queue_drop(pool, req);
		}
	}
}
