/*
 * Groups of engines for prompts longer than one engine's memory; each engine
 * takes a share.
 *
 * A group is allocated whole or not at all, in one event, so a partial group
 * never holds memory.  If it does not fit at once, a hold reserves memory for
 * it as engines free it.  A hold selects all its engines when it begins and no
 * engine is in two holds, so a hold waits only for running grants, never for
 * another hold.  This rules out a deadlock in which two requests each hold half
 * of the engines that they need.
 */
#include "pool_int.h"

#include <string.h>

/*
 * Lifetime of a hold in grant leases; its memory then goes to the next request.
 * It is long enough for the grants that occupy its engines to end normally, and
 * short enough that a request that does not get its last engine does not keep
 * the others idle until its deadline.
 */
#define HOLD_LEASES 4
/* Communication between the engines of a group, relative to the prefill. */
#define GROUP_OVERHEAD_PERCENT 10
#define PERCENT		       100

/* Delay before the next attempt after a hold could not begin. */
#define HOLD_RETRY_MS 100

/*
 * Preference among members: earliest ready, or those with long prompts first.
 */
enum member_order {
	BY_READY_TIME,
	LONG_FIRST,
};

struct member {
	struct pool_endpoint *endpoint;
	bool is_long;
	int64_t ready;
};

static uint32_t group_max(const struct dl_pool *pool);
static bool may_join(const struct pool_want *want,
		     const struct pool_endpoint *e, uint32_t n);
static bool can_start_now(struct dl_pool *pool, const struct pool_want *part,
			  const struct pool_endpoint *e, int64_t now);
static uint64_t share_of(uint64_t tokens, uint32_t n);
static bool sorts_before(const struct member *a, const struct member *b,
			 enum member_order order);
static void insert_best(struct member *best, uint32_t *n, uint32_t max,
			struct member m, enum member_order order);
static int64_t ready_at(const struct pool_endpoint *e, uint64_t share,
			int64_t now);
static uint32_t select_members(struct dl_pool *pool,
			       const struct pool_want *want, uint32_t n,
			       bool at_once, enum member_order order,
			       int64_t now, struct member *best);
static bool select_within_long_share(struct dl_pool *pool,
				     const struct pool_want *want, uint32_t n,
				     bool at_once, int64_t now,
				     struct member *best);
static void fill_choice(struct dl_pool *pool, const struct pool_want *want,
			struct pool_endpoint **members, uint32_t n, int64_t now,
			struct pool_choice *out);
static bool within_long_share(const struct dl_pool *pool,
			      const struct member *members, uint32_t n);
static void order_by_name(struct pool_endpoint **members, uint32_t n);
static struct pool_hold *find_free_hold(struct dl_pool *pool);

/*
 * Largest group.  A single group may exceed the share of the pool for long
 * prompts, since the longest need several engines of a small pool; one engine
 * still stays free.
 */
static uint32_t group_max(const struct dl_pool *pool)
{
	uint32_t max = pool->open_endpoints > 1 ? pool->open_endpoints - 1 :
						  pool->open_endpoints;

	return max < DL_GROUP_MAX ? max : DL_GROUP_MAX;
}

static bool may_join(const struct pool_want *want,
		     const struct pool_endpoint *e, uint32_t n)
{
	if (n > 1 && !e->last.takes_groups)
		return false;
	return e->counted_open && !pool_place_failed_before(want, e);
}

static bool can_start_now(struct dl_pool *pool, const struct pool_want *part,
			  const struct pool_endpoint *e, int64_t now)
{
	return pool_place_fits(pool, part, e, now) &&
	       pool_place_ready(e, pool_level(part), now);
}

static uint64_t share_of(uint64_t tokens, uint32_t n)
{
	return n ? (tokens + n - 1) / n : tokens;
}

/*
 * Returns the size of the smallest group whose engines could hold the request
 * if they were empty, and the share of each; 0 if there is none.
 */
uint32_t pool_group_size(const struct dl_pool *pool,
			 const struct pool_want *want, uint64_t *share)
{
	uint32_t max = group_max(pool);

	for (uint32_t n = 1; n <= max; n++) {
		uint32_t able = 0;

		*share = share_of(want->need, n);
		for (uint32_t i = 0; i < pool->endpoints_n; i++) {
			const struct pool_endpoint *e = pool->endpoints[i];

			if (may_join(want, e, n) &&
			    e->last.memory_tokens >= *share)
				able++;
		}
		if (able >= n)
			return n;
	}
	return 0;
}

static bool sorts_before(const struct member *a, const struct member *b,
			 enum member_order order)
{
	if (order == LONG_FIRST && a->is_long != b->is_long)
		return a->is_long;
	if (a->ready != b->ready)
		return a->ready < b->ready;
	return a->endpoint->by_name.hash < b->endpoint->by_name.hash;
}

static void insert_best(struct member *best, uint32_t *n, uint32_t max,
			struct member m, enum member_order order)
{
	uint32_t at = *n;

	if (at == max) {
		if (!sorts_before(&m, &best[max - 1], order))
			return;
		at--;
	} else {
		(*n)++;
	}
	for (; at > 0 && sorts_before(&m, &best[at - 1], order); at--)
		best[at] = best[at - 1];
	best[at] = m;
}

/*
 * Time at which an engine is expected to have finished its prefills and to have
 * a share of memory free, if its grants end at their predicted times.
 */
static int64_t ready_at(const struct pool_endpoint *e, uint64_t share,
			int64_t now)
{
	uint64_t free = pool_place_free_memory(e);
	int64_t at = e->busy_until[POOL_LEVELS - 1];

	if (at < now)
		at = now;
	for (const struct pool_part *p = e->parts; p && free < share;
	     p = p->next) {
		int64_t ends = p->grant->since + p->grant->predicted_total_ms;

		free += p->share;
		if (ends > at)
			at = ends;
	}
	return at;
}

static uint32_t select_members(struct dl_pool *pool,
			       const struct pool_want *want, uint32_t n,
			       bool at_once, enum member_order order,
			       int64_t now, struct member *best)
{
	struct pool_want part = *want;
	uint32_t found = 0;

	part.need = share_of(want->need, n);
	part.prompt = share_of(want->prompt, n);
	for (uint32_t i = 0; i < pool->endpoints_n; i++) {
		struct pool_endpoint *e = pool->endpoints[i];
		struct member m = { .endpoint = e, .is_long = e->counted_long };

		if (!may_join(want, e, n) || e->hold ||
		    e->last.memory_tokens < part.need ||
		    pool_backoff_active(pool, want, e, now))
			continue;
		if (at_once && !can_start_now(pool, &part, e, now))
			continue;
		m.ready = ready_at(e, part.need, now);
		insert_best(best, &found, n, m, order);
	}
	return found;
}

/*
 * Selects the members that are ready earliest or, if these would exceed the
 * share of the pool for long prompts, those that hold long prompts already.
 */
static bool select_within_long_share(struct dl_pool *pool,
				     const struct pool_want *want, uint32_t n,
				     bool at_once, int64_t now,
				     struct member *best)
{
	if (select_members(pool, want, n, at_once, BY_READY_TIME, now, best) <
	    n)
		return false;
	if (want->band < POOL_LONG || within_long_share(pool, best, n))
		return true;
	select_members(pool, want, n, at_once, LONG_FIRST, now, best);
	return within_long_share(pool, best, n);
}

static bool within_long_share(const struct dl_pool *pool,
			      const struct member *members, uint32_t n)
{
	uint32_t max = pool_place_long_max(pool);
	uint32_t added = 0;

	if (max < n)
		max = n;
	for (uint32_t i = 0; i < n; i++)
		added += !members[i].is_long;
	return pool->long_endpoints + added <= max;
}

/* Sorts a group's engines by name, so that all dispatchers use one order. */
static void order_by_name(struct pool_endpoint **members, uint32_t n)
{
	for (uint32_t i = 1; i < n; i++) {
		struct pool_endpoint *e = members[i];
		uint32_t at = i;

		for (; at > 0 &&
		       strcmp(members[at - 1]->last.id.s, e->last.id.s) > 0;
		     at--)
			members[at] = members[at - 1];
		members[at] = e;
	}
}

static void fill_choice(struct dl_pool *pool, const struct pool_want *want,
			struct pool_endpoint **members, uint32_t n, int64_t now,
			struct pool_choice *out)
{
	uint64_t tokens = share_of(want->prompt, n);

	if (n > 1)
		tokens += tokens * GROUP_OVERHEAD_PERCENT / PERCENT;
	*out = (struct pool_choice){ .n = (uint8_t)n,
				     .share = share_of(want->need, n) };
	order_by_name(members, n);
	for (uint32_t i = 0; i < n; i++) {
		struct pool_choice part = { 0 };

		pool_place_expect(pool, members[i], want, tokens, now, &part);
		out->endpoint[i] = members[i];
		if (part.start > out->start)
			out->start = part.start;
		if (part.ttft_ms > out->ttft_ms)
			out->ttft_ms = part.ttft_ms;
		if (part.total_ms > out->total_ms)
			out->total_ms = part.total_ms;
	}
}

/*
 * Chooses a group that is free now: the smallest that holds the request and
 * meets its deadline, since each further engine is taken from short prompts.
 */
enum pool_found pool_group_choose(struct dl_pool *pool,
				  const struct pool_want *want, int64_t now,
				  struct pool_choice *out)
{
	struct member best[DL_GROUP_MAX];
	struct pool_endpoint *members[DL_GROUP_MAX];
	uint64_t share;
	uint32_t max = group_max(pool);
	uint32_t n = pool_group_size(pool, want, &share);

	if (n == 0)
		return POOL_WAIT;
	for (; n <= max; n++) {
		if (!select_within_long_share(pool, want, n, true, now, best))
			continue;
		for (uint32_t i = 0; i < n; i++)
			members[i] = best[i].endpoint;
		fill_choice(pool, want, members, n, now, out);
		if (pool_place_in_time(out, want, now))
			return POOL_CHOSEN;
	}
	return POOL_WAIT;
}

/* Returns the hold for a request, or NULL. */
struct pool_hold *pool_hold_of(struct dl_pool *pool,
			       const struct pool_want *want)
{
	for (int i = 0; i < POOL_HOLDS; i++)
		if (pool->hold[i].request &&
		    &pool->hold[i].request->want == want)
			return &pool->hold[i];
	return NULL;
}

/* Chooses the members of a hold once each has its share of memory free. */
enum pool_found pool_hold_choose(struct dl_pool *pool, struct pool_hold *hold,
				 int64_t now, struct pool_choice *out)
{
	const struct pool_want *want = &hold->request->want;
	struct pool_want part = *want;

	part.need = hold->share;
	part.prompt = share_of(want->prompt, hold->n);
	for (uint32_t i = 0; i < hold->n; i++) {
		struct pool_endpoint *e = hold->endpoint[i];
		bool fits;

		e->hold = NULL;
		e->reserved = 0;
		fits = can_start_now(pool, &part, e, now);
		e->hold = hold;
		e->reserved = hold->share;
		if (!fits)
			return POOL_WAIT;
	}
	fill_choice(pool, want, hold->endpoint, hold->n, now, out);
	return pool_place_in_time(out, want, now) ? POOL_CHOSEN : POOL_LATE;
}

static struct pool_hold *find_free_hold(struct dl_pool *pool)
{
	for (int i = 0; i < POOL_HOLDS; i++)
		if (!pool->hold[i].request)
			return &pool->hold[i];
	return NULL;
}

/*
 * Begins to reserve memory for a request at the head of its lane that fits on
 * no endpoint.  Under a steady load of short prompts these would otherwise take
 * each freed piece of memory before a long prompt fits.  Short prompts continue
 * in the rest of the members' memory.  The number of holds is limited, since
 * each keeps memory idle until its last member is ready.
 */
bool pool_hold_begin(struct dl_pool *pool, struct pool_request *req,
		     int64_t now)
{
	struct pool_hold *hold = find_free_hold(pool);
	const struct pool_want *want = &req->want;
	struct member best[DL_GROUP_MAX];
	uint64_t share = want->need;
	uint32_t n = 1;

	if (!hold || now < pool->hold_at || pool_hold_of(pool, want))
		return false;
	pool->hold_at = now + HOLD_RETRY_MS;
	if (want->band == POOL_OVERSIZED)
		n = pool_group_size(pool, want, &share);
	if (n == 0 ||
	    !select_within_long_share(pool, want, n, false, now, best))
		return false;
	pool->hold_at = now;
	hold->request = req;
	hold->n = (uint8_t)n;
	hold->share = share;
	hold->ready = now;
	hold->expires = now + (int64_t)HOLD_LEASES * pool->conf.grant_lease_ms;
	for (uint32_t i = 0; i < n; i++) {
		struct pool_endpoint *e = best[i].endpoint;

		hold->endpoint[i] = e;
		if (best[i].ready > hold->ready)
			hold->ready = best[i].ready;
		e->hold = hold;
		e->reserved = share;
		pool_place_refresh(pool, e, now);
	}
	return true;
}

/* Ends a hold and releases its reserved memory. */
void pool_hold_end(struct dl_pool *pool, struct pool_hold *hold)
{
	uint8_t n = hold->n;

	hold->request = NULL;
	hold->n = 0;
	for (uint8_t i = 0; i < n; i++) {
		struct pool_endpoint *e = hold->endpoint[i];

		e->hold = NULL;
		e->reserved = 0;
		pool_place_refresh(pool, e, pool->now);
	}
}

/* Ends expired holds, so that the next request can begin one. */
void pool_hold_expire(struct dl_pool *pool, int64_t now)
{
	for (int i = 0; i < POOL_HOLDS; i++) {
		struct pool_request *req = pool->hold[i].request;

		if (!req || pool->hold[i].expires > now)
			continue;
		pool_hold_end(pool, &pool->hold[i]);
		pool_queue_yield(pool, req);
	}
}

/* Time at which the first hold expires, INT64_MAX if there is none. */
int64_t pool_hold_expiry(const struct dl_pool *pool)
{
	int64_t at = INT64_MAX;

	for (int i = 0; i < POOL_HOLDS; i++)
		if (pool->hold[i].request && pool->hold[i].expires < at)
			at = pool->hold[i].expires;
	return at;
}

/* Ends the hold of an endpoint that was lost or closed. */
void pool_hold_lost(struct dl_pool *pool, const struct pool_endpoint *e)
{
	if (e->hold)
		pool_hold_end(pool, e->hold);
}
