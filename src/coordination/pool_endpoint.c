/* Endpoints of a pool: reports, expiry, draining and removal. */
#include "pool_int.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

/*
 * Endpoints announce themselves.  New ones beyond this number are rejected, so
 * that made-up announcements cannot exhaust the memory of a VM. The target
 * deployment has 600 in all pools together.
 */
#define ENDPOINTS_MAX 4096
/* Every endpoint reports to a new dispatcher within this time. */
#define TAKEOVER_REPORT_MS 1500
/*
 * If no endpoint of a pool has reported for this fraction of report_gone_ms,
 * the report path is assumed to be broken.
 */
#define SILENT_DIVISOR 2
/* Endpoints without any report are not kept for longer than this. */
#define SILENT_MAX_MS 30000
/* An endpoint that did not answer a connection is tried again after this. */
#define SILENT_REST_MS 1000

static int check_report(const struct dl_pool *pool,
			const struct dl_endpoint_report *r);
static void complete_leaving_report(const struct pool_endpoint *e,
				    struct dl_endpoint_report *r);
static void close_endpoint(struct dl_pool *pool, struct pool_endpoint *e,
			   int64_t now);
static bool is_evacuated(const struct dl_pool *pool,
			 const struct pool_endpoint *e);
static void note_reachable(struct dl_pool *pool, const struct pool_endpoint *e,
			   bool reachable, uint64_t vm, int64_t now);
static void reopen_silent(struct dl_pool *pool, int64_t now);

/* Find an endpoint by name, or NULL. */
struct pool_endpoint *pool_endpoint_find(const struct dl_pool *pool,
					 struct dl_str id)
{
	struct pool_map_node *node =
		pool_map_first(&pool->endpoint_by_name, dl_hash(id, 0));

	return node ? POOL_CONTAINER_OF(node, struct pool_endpoint, by_name) :
		      NULL;
}

/* Find an endpoint by name, or create one in POOL_EP_UNKNOWN state. */
struct pool_endpoint *pool_endpoint_get(struct dl_pool *pool, struct dl_str id)
{
	struct pool_endpoint *e = pool_endpoint_find(pool, id);

	if (e)
		return e;
	e = calloc(1, sizeof(*e));
	if (!e)
		abort();
	e->evacuated = is_evacuated(pool, e);
	if (pool->endpoints_n == pool->endpoints_room) {
		pool->endpoints_room = pool->endpoints_room * 2 + 16;
		pool->endpoints = realloc(
			(void *)pool->endpoints,
			pool->endpoints_room * sizeof(struct pool_endpoint *));
		if (!pool->endpoints)
			abort();
	}
	dl_name_set(&e->last.id, id);
	pool_throttle_reset(e);
	e->index = pool->endpoints_n;
	pool->endpoints[pool->endpoints_n++] = e;
	pool_index_resize(&pool->index, pool->endpoints_n);
	pool_map_add(&pool->endpoint_by_name, &e->by_name, dl_hash(id, 0));
	pool_outlier_reset(pool, e);
	return e;
}

/* Remove an endpoint that has no grants. */
void pool_endpoint_forget(struct dl_pool *pool, struct pool_endpoint *e)
{
	struct pool_endpoint *last = pool->endpoints[pool->endpoints_n - 1];

	pool_hold_lost(pool, e);
	pool_outlier_clear(pool, e);
	e->state = POOL_EP_GONE;
	pool_place_refresh(pool, e, pool->now);
	pool_heap_remove(&pool->endpoint_expiry, &e->expiry);
	pool_map_remove(&pool->endpoint_by_name, &e->by_name);
	pool_index_set(&pool->index, last->index, NULL);
	pool->endpoints_n--;
	if (last != e) {
		last->index = e->index;
		pool->endpoints[last->index] = last;
		pool_place_refresh(pool, last, pool->now);
	}
	free(e);
}

static int check_report(const struct dl_pool *pool,
			const struct dl_endpoint_report *r)
{
	if (r->id.n == 0 || r->id.n > DL_NAME_MAX || r->slots == 0)
		return -EINVAL;
	if (pool->conf.kind == DL_POOL_MODEL && r->memory_tokens == 0)
		return -EINVAL;
	return 0;
}

/*
 * A report that an endpoint is leaving may contain nothing else, so the known
 * figures are kept.  When such a report was rejected for missing figures, the
 * engine stayed in the pool for seconds until its reports were missed, and an
 * engine that drains looks like the best choice.
 */
static void complete_leaving_report(const struct pool_endpoint *e,
				    struct dl_endpoint_report *r)
{
	if (!r->leaving || r->slots > 0 ||
	    e->last.incarnation != r->incarnation)
		return;
	uint32_t leaving_ms = r->leaving_ms;

	*r = e->last;
	r->leaving = true;
	r->leaving_ms = leaving_ms;
}

/*
 * Process the report of an endpoint: -EINVAL if it is invalid, -ENOSPC if the
 * pool has too many endpoints.  A new incarnation has lost what the old one
 * held.  An endpoint that was gone and returns gets its share back over some
 * seconds.
 */
int dl_pool_report(struct dl_pool *pool, const struct dl_endpoint_report *sent,
		   int64_t now)
{
	struct pool_endpoint *e =
		pool_endpoint_find(pool, dl_name_str(&sent->id));
	struct dl_endpoint_report report = *sent, *r = &report;
	enum pool_ep_state was;
	bool first, was_open;
	int rc;

	pool->now = now;
	if (e)
		complete_leaving_report(e, r);
	rc = check_report(pool, r);
	if (rc)
		return rc;
	if (!e && pool->endpoints_n >= ENDPOINTS_MAX)
		return -ENOSPC;
	if (!e)
		e = pool_endpoint_get(pool, dl_name_str(&r->id));
	was = e->state;
	was_open = e->counted_open;
	first = was == POOL_EP_UNKNOWN || e->last.incarnation != r->incarnation;
	if (was != POOL_EP_UNKNOWN && first) {
		pool_hold_lost(pool, e);
		pool_grant_detach(pool, e);
		pool_outlier_reset(pool, e);
		pool_recover_restarted(e);
		memset(e->busy_until, 0, sizeof(e->busy_until));
		pool_throttle_reset(e);
	}
	e->last = *r;
	e->domain = pool_domain(&r->failure_domain);
	e->evacuated = is_evacuated(pool, e);
	pool_throttle_set_cold(e, r->cold_ms, now);
	e->last.memory_tokens = pool_tokens(r->memory_tokens);
	e->last.used_tokens = pool_tokens(r->used_tokens);
	e->last.prefill_backlog = pool_tokens(r->prefill_backlog);
	if (pool->conf.kind == DL_POOL_PLAIN) {
		e->last.memory_tokens = 0;
		e->last.used_tokens = 0;
		e->last.prefill_backlog = 0;
	}
	e->state = POOL_EP_LIVE;
	if (e->unreachable)
		note_reachable(pool, e, true, DL_VM_NONE, now);
	e->unreachable = false;
	e->reported_at = now;
	pool->last_report_at = now;
	pool_leaving_report(pool, e, r, first, now);
	pool_heap_set(&pool->endpoint_expiry, &e->expiry,
		      pool_leaving_expiry(pool, e,
					  now + pool->conf.report_gone_ms));
	pool_backlog_report(pool, e, first, now);
	if ((r->leaving && !e->serves_leaving) || e->evacuated)
		pool_hold_lost(pool, e);
	if (was == POOL_EP_GONE)
		pool_outlier_readmit(pool, e, now);
	pool_outlier_tick(pool, e, now);
	pool_place_refresh(pool, e, now);
	pool_outlier_check_overdue(pool, e, now);
	pool_leaving_update(pool, now);
	if (was_open && !e->counted_open)
		pool->recheck_all = true;
	return 0;
}

static void close_endpoint(struct dl_pool *pool, struct pool_endpoint *e,
			   int64_t now)
{
	pool_hold_lost(pool, e);
	pool_outlier_clear(pool, e);
	pool_heap_remove(&pool->endpoint_expiry, &e->expiry);
	e->state = POOL_EP_GONE;
	pool_place_refresh(pool, e, now);
	pool->recheck_all = true;
	if (e->grants == 0 && !e->drained)
		pool_endpoint_forget(pool, e);
}

/*
 * Whether all endpoints have stopped reporting, which means that the path of
 * the reports is cut and not that every endpoint died at once.  An endpoint
 * that did die is found by the first request that cannot reach it.
 *
 * This covers endpoints that keep serving but cannot reach those who receive
 * their announcements for some seconds; without it every request was refused
 * for lack of endpoints until the announcements came again.  It applies only if
 * all reports reach this pool through those receivers: a pool that sees only
 * some reports may miss that an endpoint announced elsewhere that it is
 * leaving.
 */
bool dl_pool_is_silent(const struct dl_pool *pool, int64_t now)
{
	int64_t silent = now - pool->last_report_at;

	return pool->conf.shared_report_path && pool->endpoints_n &&
	       silent > pool->conf.report_gone_ms / SILENT_DIVISOR &&
	       silent < SILENT_MAX_MS;
}

/*
 * Close endpoints that have not reported in time.  If all are silent none is
 * closed, and each gets the full time again.
 */
void pool_endpoint_expire(struct dl_pool *pool, int64_t now)
{
	bool wait = dl_pool_is_silent(pool, now);
	struct pool_heap_node *top;

	reopen_silent(pool, now);
	while ((top = pool_heap_top(&pool->endpoint_expiry)) &&
	       top->key <= now) {
		if (wait)
			pool_heap_set(&pool->endpoint_expiry, top,
				      now + pool->conf.report_gone_ms);
		else
			close_endpoint(pool,
				       POOL_CONTAINER_OF(top,
							 struct pool_endpoint,
							 expiry),
				       now);
	}
}

/*
 * Keeps the endpoints that a new dispatcher knows until each has had time to
 * report to it. Before, it got only the reports that happened to reach it, and
 * one that expires right after the takeover takes along all requests that were
 * queued for it.
 */
void pool_endpoint_await_reports(struct dl_pool *pool, int64_t now)
{
	pool_endpoint_expire(pool, now);
	for (uint32_t i = 0; i < pool->endpoints_n; i++) {
		struct pool_endpoint *e = pool->endpoints[i];

		if (e->state == POOL_EP_LIVE &&
		    e->expiry.key < now + TAKEOVER_REPORT_MS)
			pool_heap_set(&pool->endpoint_expiry, &e->expiry,
				      now + TAKEOVER_REPORT_MS);
	}
}

/*
 * An endpoint is known to be unreachable.  Its grants stay until their entries
 * release them: it may only be partitioned, and still work on them.
 */
void dl_pool_endpoint_gone(struct dl_pool *pool, struct dl_str id, int64_t now)
{
	struct pool_endpoint *e = pool_endpoint_find(pool, id);

	pool->now = now;
	if (e && e->state == POOL_EP_LIVE)
		close_endpoint(pool, e, now);
}

/* Registers who is notified of endpoints that cannot be reached. */
void dl_pool_observe(struct dl_pool *pool,
		     const struct dl_pool_observer *observer)
{
	pool->observer = *observer;
}

/* Notifies the observer that an endpoint is unreachable, or reports again. */
static void note_reachable(struct dl_pool *pool, const struct pool_endpoint *e,
			   bool reachable, uint64_t vm, int64_t now)
{
	if (pool->observer.reachable)
		pool->observer.reachable(
			pool->observer.arg, &e->last.id, reachable, vm,
			e->reported_at ? now - e->reported_at : -1);
}

/*
 * Connecting to an endpoint failed: give it nothing new until its next report.
 * A killed engine among healthy ones looks the least loaded, refuses at once
 * and would attract every request of the pool until its announcements are
 * missed, seconds later.  The limit on ejected endpoints does not apply, since
 * an unreachable engine serves nobody.
 *
 * One that was silent is tried again a second later, if it has not reported by
 * then: endpoints stall for about that long and go on.
 */
void pool_endpoint_unreachable(struct dl_pool *pool, struct pool_endpoint *e,
			       uint64_t vm, bool silent, int64_t now)
{
	if (!e->unreachable)
		note_reachable(pool, e, false, vm, now);
	e->unreachable = true;
	e->unreachable_until = silent ? now + SILENT_REST_MS : INT64_MAX;
	if (e->unreachable_until < pool->reopen_at)
		pool->reopen_at = e->unreachable_until;
	pool_hold_lost(pool, e);
	pool_place_refresh(pool, e, now);
	pool->recheck_all = true;
}

/* Endpoints that were silent may be tried again. */
static void reopen_silent(struct dl_pool *pool, int64_t now)
{
	int64_t next = INT64_MAX;

	if (now < pool->reopen_at)
		return;
	for (uint32_t i = 0; i < pool->endpoints_n; i++) {
		struct pool_endpoint *e = pool->endpoints[i];

		if (!e->unreachable)
			continue;
		if (now < e->unreachable_until) {
			next = e->unreachable_until < next ?
				       e->unreachable_until :
				       next;
			continue;
		}
		e->unreachable = false;
		note_reachable(pool, e, true, DL_VM_NONE, now);
		pool_place_refresh(pool, e, now);
	}
	pool->reopen_at = next;
}

/*
 * Drain set by an operator: no new work, whatever the endpoint reports, until
 * it is lifted.
 */
void dl_pool_endpoint_drain(struct dl_pool *pool, struct dl_str id, bool drain,
			    int64_t now)
{
	struct pool_endpoint *e = pool_endpoint_find(pool, id);

	pool->now = now;
	if (id.n == 0 || id.n > DL_NAME_MAX || (!e && !drain))
		return;
	e = pool_endpoint_get(pool, id);
	e->drained = drain;
	if (drain)
		pool_hold_lost(pool, e);
	pool_place_refresh(pool, e, now);
	pool->recheck_all = true;
	if (!drain && e->state != POOL_EP_LIVE && e->grants == 0)
		pool_endpoint_forget(pool, e);
}

/*
 * Whether the domain of an endpoint is evacuated. An empty name in the list
 * stands for endpoints that report no domain.
 */
static bool is_evacuated(const struct dl_pool *pool,
			 const struct pool_endpoint *e)
{
	return dl_evacuations_contain(&pool->evacuations,
				      dl_name_str(&e->last.failure_domain));
}

/* Sets the evacuated failure domains; see the header. */
void dl_pool_set_evacuations(struct dl_pool *pool,
			     const struct dl_evacuations *evacuations,
			     int64_t now)
{
	pool->now = now;
	pool->evacuations = *evacuations;
	for (uint32_t i = 0; i < pool->endpoints_n; i++) {
		struct pool_endpoint *e = pool->endpoints[i];
		bool evacuated = is_evacuated(pool, e);

		if (evacuated == e->evacuated)
			continue;
		e->evacuated = evacuated;
		if (evacuated)
			pool_hold_lost(pool, e);
		pool_place_refresh(pool, e, now);
	}
	pool_leaving_update(pool, now);
	pool->recheck_all = true;
}

/* Whether the domain of an endpoint is evacuated; false if it is unknown. */
bool dl_pool_endpoint_evacuated(const struct dl_pool *pool, struct dl_str id)
{
	const struct pool_endpoint *e = pool_endpoint_find(pool, id);

	return e && e->evacuated;
}

/*
 * An engine started or stopped caching the start of a prompt.  Such events are
 * late and incomplete; they only improve an estimate.
 */
void dl_pool_cache_event(struct dl_pool *pool, struct dl_str id,
			 uint64_t prefix, uint32_t tokens, int64_t now)
{
	struct pool_endpoint *e = pool_endpoint_find(pool, id);

	pool->now = now;
	if (!e || prefix == 0)
		return;
	if (tokens)
		pool_prefix_note(pool, prefix, tokens, e, now);
	else
		pool_prefix_forget(pool, prefix, e);
}

/* Returns the last report of an endpoint; false if there is none. */
bool dl_pool_endpoint_report(const struct dl_pool *pool, struct dl_str id,
			     struct dl_endpoint_report *out)
{
	const struct pool_endpoint *e = pool_endpoint_find(pool, id);

	if (!e || e->state == POOL_EP_UNKNOWN)
		return false;
	*out = e->last;
	return true;
}

/* Return the number of endpoints, in any state. */
uint32_t dl_pool_endpoint_count(const struct dl_pool *pool)
{
	return pool->endpoints_n;
}

/* Iterate over the endpoints by index, for status; false at the end. */
bool dl_pool_endpoint_at(const struct dl_pool *pool, uint32_t index,
			 struct dl_endpoint_report *out, uint64_t *held_tokens,
			 bool *ejected)
{
	const struct pool_endpoint *e;

	if (index >= pool->endpoints_n)
		return false;
	e = pool->endpoints[index];
	*out = e->last;
	*held_tokens = e->held;
	*ejected = e->ejection == POOL_EJECTED;
	return true;
}
