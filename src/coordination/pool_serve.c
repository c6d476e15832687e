/*
 * The late answers: who is refused while waiting, who is granted next, and
 * when to look again.
 */
#include "pool_int.h"

#include <stdlib.h>
#include <string.h>

/*
 * What a lower class gets at the least of what is given to the classes before
 * it, while it has something queued: one part in four, so a fifth in all.  For
 * one workspace that floods a higher class: without it the others' dossiers
 * would be admitted and then never served.
 */
#define CREDIT_SHARE 4
/* Credit kept for later, in tokens: one long prompt's worth. */
#define CREDIT_MAX ((uint64_t)1 << 21)

/* How many flows of a lane are tried when the first one's head fits nowhere. */
#define LOOK_AHEAD 3
/* How many requests behind a flow's head, where endpoints hold its VM back. */
#define LOOK_BEHIND 8

/*
 * When nothing but an event can help, the queue is still looked at this often:
 * slow starts grow and outliers come back without one.
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
static void plan_serve(struct dl_pool *pool, int64_t now);
static bool take_refused(struct dl_pool *pool, struct dl_answer *out);
static void refuse_one_late(struct dl_pool *pool, struct pool_request *req,
			    int64_t now);
static void refuse_late(struct dl_pool *pool, int64_t now);
static int64_t earlier(int64_t at, const struct pool_heap *heap);

/* A grant to a class earns the lower classes their part. */
void pool_serve_credit(struct dl_pool *pool, const struct pool_want *want)
{
	for (int c = want->class + 1; c < DL_CLASS_COUNT; c++) {
		uint64_t *credit = &pool->class_credit[c];

		*credit += want->prompt / CREDIT_SHARE + 1;
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

	if (want->band == POOL_GIANT)
		return true;
	if (want->band == POOL_SHORT)
		return false;
	if (want->band == POOL_LONG &&
	    pool->long_endpoints >= pool_place_long_max(pool))
		return root->free_long < want->need;
	return root->free < want->need;
}

/*
 * Serve a request behind one that fits nowhere: a VM that endpoints have asked
 * to wait must not keep those of other VMs from them.
 */
static bool serve_behind(struct dl_pool *pool, struct pool_request *head,
			 int64_t now, struct dl_answer *out)
{
	struct pool_request *req = head;

	if (!dl_backoff_any_active(pool->backoff, now))
		return false;
	for (int i = 0; i < LOOK_BEHIND; i++) {
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
 * Serve a lane: the flow whose turn it is, or one of the next few where that
 * one's head fits nowhere now, so that one request which may not go where the
 * others may doesn't stop its lane.
 */
static bool serve_lane(struct dl_pool *pool, uint8_t lane, int64_t now,
		       struct dl_answer *out)
{
	struct pool_request *first = pool_queue_head(pool, lane, 0);

	for (uint32_t nth = 0; nth < LOOK_AHEAD; nth++) {
		struct pool_request *req = pool_queue_head(pool, lane, nth);

		if (!req)
			break;
		if (serve_request(pool, req, now, out))
			return true;
	}
	if (first && serve_behind(pool, first, now, out))
		return true;
	if (first && pool->policy->gathers &&
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
 * The next request to be granted: by class, within it short before long since
 * these go to different endpoints for the most part; but a lower class that
 * has credit first.
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

static void plan_serve(struct dl_pool *pool, int64_t now)
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
 * Refuse what can no longer make it even if it started now, at that moment:
 * its caller gets the rest of its time.
 */
static void refuse_late(struct dl_pool *pool, int64_t now)
{
	struct pool_heap_node *top;

	while ((top = pool_heap_top(&pool->request_last_start)) &&
	       top->key < now) {
		refuse_one_late(pool,
				POOL_OF(top, struct pool_request, last_start),
				now);
	}
}

/* Take the next late answer: a grant or refusal of a queued request. */
bool dl_pool_next(struct dl_pool *pool, int64_t now, struct dl_answer *out)
{
	pool->now = now;
	pool->bind_at = INT64_MAX;
	pool_endpoint_expire(pool, now);
	pool_grant_expire(pool, now);
	pool_hold_expire(pool, now);
	refuse_late(pool, now);
	pool_admit_recheck(pool, now);
	if (take_refused(pool, out))
		return true;
	if (serve(pool, now, out))
		return true;
	plan_serve(pool, now);
	return false;
}

static int64_t earlier(int64_t at, const struct pool_heap *heap)
{
	const struct pool_heap_node *top = pool_heap_top(heap);

	return top && top->key < at ? top->key : at;
}

/* When dl_pool_next must be called at the latest; INT64_MAX for never. */
int64_t dl_pool_wakeup(const struct dl_pool *pool)
{
	int64_t at = pool->serve_at, hold;

	if (pool->refused)
		return pool->now;
	at = earlier(at, &pool->grant_lease);
	at = earlier(at, &pool->endpoint_gone);
	if (pool->request_last_start.n) {
		at = earlier(at, &pool->request_last_start);
		if (pool->recheck_at < at)
			at = pool->recheck_at;
	}
	hold = pool_hold_expiry(pool);
	return hold < at ? hold : at;
}
