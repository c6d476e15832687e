/*
 * Decisions on queued requests: which is refused, which is granted next, and
 * when to look again.
 */
#include "pool_int.h"

#include <stdlib.h>
#include <string.h>

/*
 * A lower class with queued requests gets at least this part of what is granted
 * to the classes before it: one in four, so a fifth in total.  Without it, if
 * one workspace floods a higher class, batch requests of the others would be
 * admitted and never served.
 */
#define CREDIT_DIVISOR 4
/* Limit of unused credit, in tokens: one long prompt's worth. */
#define CREDIT_MAX ((uint64_t)1 << 21)

/*
 * How many flows of a lane are tried if the head of the first one does not fit.
 */
#define FLOWS_TRIED_MAX 3
/* How many requests behind a flow's head are tried while its VM backs off. */
#define REQUESTS_TRIED_MAX 8

/*
 * Poll interval of the queue without events: slow starts grow and ejected
 * endpoints are readmitted without one.
 */
#define SERVE_RETRY_MS 25

static bool serve_request(struct dl_pool *pool, struct pool_request *req,
			  int64_t now, struct dl_answer *out);
static bool fits_nowhere(const struct dl_pool *pool,
			 const struct pool_want *want);
static bool serve_behind(struct dl_pool *pool, struct pool_request *head,
			 int64_t now, struct dl_answer *out);
static bool serve_lane(struct dl_pool *pool, uint8_t lane, int64_t now,
		       struct dl_answer *out);
static bool serve_holds(struct dl_pool *pool, int64_t now,
			struct dl_answer *out);
static bool serve_credit(struct dl_pool *pool, int64_t now,
			 struct dl_answer *out);
static bool serve(struct dl_pool *pool, int64_t now, struct dl_answer *out);
static void schedule_serve(struct dl_pool *pool, int64_t now);
static bool take_refused(struct dl_pool *pool, struct dl_answer *out);
static void refuse_one_late(struct dl_pool *pool, struct pool_request *req,
			    int64_t now);
static void refuse_late(struct dl_pool *pool, int64_t now);
static int64_t earlier(int64_t at, const struct pool_heap *heap);

/* A grant to a class earns credit for the lower classes. */
void pool_serve_credit(struct dl_pool *pool, const struct pool_want *want)
{
	for (int c = want->class + 1; c < DL_CLASS_COUNT; c++) {
		uint64_t *credit = &pool->class_credit[c];

		*credit += want->prompt / CREDIT_DIVISOR + 1;
		if (*credit > CREDIT_MAX)
			*credit = CREDIT_MAX;
	}
}

static bool serve_request(struct dl_pool *pool, struct pool_request *req,
			  int64_t now, struct dl_answer *out)
{
	struct pool_choice choice;
	enum pool_found found;

	found = pool->policy->choose(pool, &req->want, now, &choice);
	if (found == POOL_WAIT)
		return false;
	if (found == POOL_LATE) {
		refuse_one_late(pool, req, now);
		return take_refused(pool, out);
	}
	pool_admit_learn(pool, req, true, now);
	pool_queue_take(pool, req);
	memset(out, 0, sizeof(*out));
	pool_grant_make(pool, req->request, req->entry, req->workspace,
			&req->want, &choice, now, out);
	pool_serve_credit(pool, &req->want);
	free(req);
	return true;
}

static bool fits_nowhere(const struct dl_pool *pool,
			 const struct pool_want *want)
{
	const struct pool_index_node *root = pool_index_root(&pool->index);

	if (want->band == POOL_OVERSIZED)
		return true;
	if (want->band == POOL_SHORT)
		return false;
	if (want->band == POOL_LONG &&
	    pool->long_endpoints >= pool_place_long_max(pool))
		return root->free_long < want->need;
	return root->free < want->need;
}

/*
 * Serve a request behind one that cannot be placed: a VM that backs off from
 * endpoints must not keep those of other VMs from them.
 */
static bool serve_behind(struct dl_pool *pool, struct pool_request *head,
			 int64_t now, struct dl_answer *out)
{
	struct pool_request *req = head;

	if (!dl_backoff_any_active(pool->backoff, now))
		return false;
	for (int i = 0; i < REQUESTS_TRIED_MAX; i++) {
		req = pool_queue_next(req);
		if (!req)
			return false;
		if (req->entry != head->entry &&
		    serve_request(pool, req, now, out))
			return true;
	}
	return false;
}

/*
 * Serve a lane: the next flow, or one of the few after it if the head of that
 * one cannot be placed now, so that one request with fewer allowed endpoints
 * does not block its lane.
 */
static bool serve_lane(struct dl_pool *pool, uint8_t lane, int64_t now,
		       struct dl_answer *out)
{
	struct pool_request *first = pool_queue_head(pool, lane, 0);

	for (uint32_t nth = 0; nth < FLOWS_TRIED_MAX; nth++) {
		struct pool_request *req = pool_queue_head(pool, lane, nth);

		if (!req)
			break;
		if (serve_request(pool, req, now, out))
			return true;
	}
	if (first && serve_behind(pool, first, now, out))
		return true;
	if (first && pool->policy->reserves_memory &&
	    fits_nowhere(pool, &first->want) &&
	    pool_hold_begin(pool, first, now))
		return serve_request(pool, first, now, out);
	return false;
}

static bool serve_holds(struct dl_pool *pool, int64_t now,
			struct dl_answer *out)
{
	for (int i = 0; i < POOL_HOLDS; i++) {
		struct pool_request *req = pool->hold[i].request;

		if (req && serve_request(pool, req, now, out))
			return true;
	}
	return false;
}

static bool serve_credit(struct dl_pool *pool, int64_t now,
			 struct dl_answer *out)
{
	for (unsigned c = DL_CLASS_COUNT - 1; c > 0; c--) {
		uint64_t *credit = &pool->class_credit[c];

		for (unsigned band = 0; band < POOL_BANDS; band++) {
			uint8_t lane = (uint8_t)(c * POOL_BANDS + band);
			struct pool_request *head =
				pool_queue_head(pool, lane, 0);
			uint64_t cost = head ? head->want.prompt : 0;

			if (!head || *credit < cost)
				continue;
			if (!serve_request(pool, head, now, out))
				continue;
			*credit -= cost;
			return true;
		}
	}
	return false;
}

/*
 * Grant the next request: by class, and within a class short before long, since
 * those mostly use different endpoints; but a lower class with credit goes
 * first.
 */
static bool serve(struct dl_pool *pool, int64_t now, struct dl_answer *out)
{
	if (pool->queued == 0)
		return false;
	if (serve_holds(pool, now, out) || serve_credit(pool, now, out))
		return true;
	for (unsigned lane = 0; lane < POOL_LANES; lane++)
		if (pool->lane[lane].n &&
		    serve_lane(pool, (uint8_t)lane, now, out))
			return true;
	return false;
}

static void schedule_serve(struct dl_pool *pool, int64_t now)
{
	pool->serve_at = INT64_MAX;
	if (pool->queued == 0)
		return;
	pool->serve_at = now + SERVE_RETRY_MS;
	if (pool->bind_at > now && pool->bind_at < pool->serve_at)
		pool->serve_at = pool->bind_at;
}

static bool take_refused(struct dl_pool *pool, struct dl_answer *out)
{
	struct pool_request *req = pool_queue_refused(pool);

	if (!req)
		return false;
	memset(out, 0, sizeof(*out));
	out->request = req->request;
	out->entry = req->entry;
	pool_answer_refused(out, req->reason, req->retry_after_ms);
	free(req);
	return true;
}

static void refuse_one_late(struct dl_pool *pool, struct pool_request *req,
			    int64_t now)
{
	int64_t wait = pool_wait_ms(pool, &req->want, req, req->workspace, now);

	pool_admit_learn(pool, req, false, now);
	pool_queue_refuse(pool, req, DL_REASON_DEADLINE,
			  pool_retry_after(pool, &req->want, wait, now));
}

/*
 * Refuse requests that would miss their deadline even if they started now, so
 * that the caller can use the remaining time.
 */
static void refuse_late(struct dl_pool *pool, int64_t now)
{
	struct pool_heap_node *top;

	while ((top = pool_heap_top(&pool->request_last_start)) &&
	       top->key < now) {
		refuse_one_late(pool,
				POOL_CONTAINER_OF(top, struct pool_request,
						  last_start),
				now);
	}
}

/* Return the next decision on a queued request: a grant or a refusal. */
bool dl_pool_next(struct dl_pool *pool, int64_t now, struct dl_answer *out)
{
	pool->now = now;
	pool->bind_at = INT64_MAX;
	pool_endpoint_expire(pool, now);
	pool_grant_expire(pool, now);
	pool_hold_expire(pool, now);
	pool_leaving_update(pool, now);
	refuse_late(pool, now);
	pool_admit_recheck(pool, now);
	if (take_refused(pool, out))
		return true;
	if (serve(pool, now, out))
		return true;
	schedule_serve(pool, now);
	return false;
}

static int64_t earlier(int64_t at, const struct pool_heap *heap)
{
	const struct pool_heap_node *top = pool_heap_top(heap);

	return top && top->key < at ? top->key : at;
}

/* Latest time for the next dl_pool_next() call; INT64_MAX for never. */
int64_t dl_pool_wakeup(const struct dl_pool *pool)
{
	int64_t at = pool->serve_at, hold;

	if (pool->refused)
		return pool->now;
	at = earlier(at, &pool->grant_lease);
	at = earlier(at, &pool->endpoint_expiry);
	if (pool->request_last_start.n) {
		at = earlier(at, &pool->request_last_start);
		if (pool->recheck_at < at)
			at = pool->recheck_at;
	}
	if (pool->conf.endpoint_drain_ms && pool->leaving_at < at)
		at = pool->leaving_at;
	hold = pool_hold_expiry(pool);
	return hold < at ? hold : at;
}
