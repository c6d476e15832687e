/*
 * The dispatcher of a pool: its life, its endpoints, and the order in which an
 * event is dealt with.  What is decided stands in the files beside this one:
 *
 *	pool_limit.c	may this workspace ask now
 *	pool_admit.c	can this request make it
 *	pool_queue.c	who waits, who is next, who makes room
 *	pool_place.c	which endpoint takes it (pool_prefix.c: whose cache)
 *	pool_group.c	which endpoints take one that fits on none
 *	pool_grant.c	who holds what, and until when
 *	pool_shift.c	which endpoints lose their share
 */
#include "pool_int.h"

#include <errno.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

/*
 * Endpoints announce themselves; past this many a new one is turned away, so
 * that made-up announcements cannot use up the memory of a VM.  The target has
 * 600 in all pools together.
 */
#define ENDPOINTS_MAX 4096

/* Below this a prompt is short: about what an engine reads in one step. */
#define SHORT_TOKENS 4096

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

/*
 * When nothing but an event can help, the queue is still looked at this often:
 * slow starts grow and outliers come back without one.
 */
#define SERVE_RETRY_MS 25
#define RATE_FADE_MS   3000.0
#define RETRY_FLAT_MS  1000

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

static uint8_t band_of(const struct dl_pool *pool, uint64_t prompt,
		       uint64_t need);
static void close_endpoint(struct dl_pool *pool, struct pool_endpoint *e,
			   int64_t now);
static void expire_endpoints(struct dl_pool *pool, int64_t now);
static int check_report(const struct dl_pool *pool,
			const struct dl_endpoint_report *r);
static void answer_refused(struct dl_answer *out, enum dl_reason reason,
			   uint32_t retry_after_ms);
static bool answer_again(struct dl_pool *pool, const struct dl_ask *ask,
			 struct dl_answer *out);
static enum dl_reason admit(struct dl_pool *pool, const struct pool_want *want,
			    struct pool_workspace *ws, int64_t now,
			    uint32_t *retry_after_ms, int64_t *wait);
static enum dl_reason make_room(struct dl_pool *pool,
				const struct pool_want *want,
				struct pool_workspace *ws, int64_t now,
				uint32_t *retry_after_ms);
static void credit_lower(struct dl_pool *pool, const struct pool_want *want);
static bool serve_request(struct dl_pool *pool, struct pool_request *req,
			  int64_t now, struct dl_answer *out);
static bool fits_nowhere(const struct dl_pool *pool,
			 const struct pool_want *want);
static bool serve_lane(struct dl_pool *pool, uint8_t lane, int64_t now,
		       struct dl_answer *out);
static bool serve_holds(struct dl_pool *pool, int64_t now,
			struct dl_answer *out);
static bool serve_credit(struct dl_pool *pool, int64_t now,
			 struct dl_answer *out);
static bool serve(struct dl_pool *pool, int64_t now, struct dl_answer *out);
static void plan_serve(struct dl_pool *pool, int64_t now);
static bool take_refused(struct dl_pool *pool, struct dl_answer *out);
static void refuse_late(struct dl_pool *pool, int64_t now);

/* The name of a reason as callers and logs see it. */
const char *dl_reason_name(enum dl_reason reason)
{
	if ((unsigned)reason >= DL_REASON_COUNT)
		return "none";
	return reason_names[reason];
}

/* Spread the bits of a number (the finalizer of splitmix64, a permutation). */
uint64_t pool_mix(uint64_t x)
{
	x += 0x9e3779b97f4a7c15U;
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9U;
	x = (x ^ (x >> 27)) * 0x94d049bb133111ebU;
	return x ^ (x >> 31);
}

/* The next of the pool's own random numbers. */
uint64_t pool_random(struct dl_pool *pool)
{
	pool->random = pool_mix(pool->random);
	return pool->random;
}

/* A fading rate as of now, in units a millisecond. */
double pool_rate_read(const struct pool_rate *rate, int64_t now)
{
	int64_t passed = now - rate->at;

	if (rate->per_ms <= 0)
		return 0;
	return passed <= 0 ? rate->per_ms :
			     rate->per_ms * exp(-(double)passed / RATE_FADE_MS);
}

/* Count an amount into a fading rate. */
void pool_rate_add(struct pool_rate *rate, double amount, int64_t now)
{
	rate->per_ms = pool_rate_read(rate, now) + amount / RATE_FADE_MS;
	rate->at = now;
}

/* Begin a pool without endpoints; the seed is new with each incarnation. */
struct dl_pool *dl_pool_new(const struct dl_pool_conf *conf,
			    const struct dl_pool_policy *policy, uint64_t seed)
{
	struct dl_pool *pool = calloc(1, sizeof(*pool));

	if (!pool)
		abort();
	pool->prefixes = calloc(POOL_PREFIXES, sizeof(*pool->prefixes));
	if (!pool->prefixes)
		abort();
	pool->policy = policy;
	pool->seed = seed;
	pool->random = seed;
	pool->refused_tail = &pool->refused;
	pool->serve_at = INT64_MAX;
	pool_map_init(&pool->endpoint_by_name);
	pool_map_init(&pool->grant_by_id);
	pool_map_init(&pool->grant_by_request);
	pool_map_init(&pool->request_by_id);
	pool_map_init(&pool->workspaces);
	for (uint8_t i = 0; i < POOL_LANES; i++) {
		pool->lane[i].class = i / POOL_BANDS;
		pool->lane[i].band = i % POOL_BANDS;
		pool->lane[i].bias = 1;
	}
	dl_pool_configure(pool, conf);
	return pool;
}

/* End a pool; nobody is told. */
void dl_pool_free(struct dl_pool *pool)
{
	struct pool_heap_node *top;
	struct pool_request *req;
	struct pool_map *map;

	if (!pool)
		return;
	while ((req = pool_queue_refused(pool)))
		free(req);
	while ((top = pool_heap_top(&pool->request_last_start)))
		pool_queue_drop(pool,
				POOL_OF(top, struct pool_request, last_start));
	while ((top = pool_heap_top(&pool->grant_lease)))
		pool_grant_drop(pool, POOL_OF(top, struct pool_grant, lease),
				pool->now);
	while (pool->endpoints_n)
		pool_endpoint_forget(pool, pool->endpoints[0]);
	map = &pool->workspaces;
	for (uint32_t i = 0; i <= map->mask; i++) {
		struct pool_map_node *node = map->bucket[i];

		while (node) {
			struct pool_map_node *next = node->next;

			pool_workspace_free(
				POOL_OF(node, struct pool_workspace, by_name));
			node = next;
		}
	}
	for (int i = 0; i < POOL_LANES; i++) {
		pool_heap_free(&pool->lane[i].by_start);
		pool_heap_free(&pool->lane[i].by_backlog);
	}
	pool_heap_free(&pool->endpoint_gone);
	pool_heap_free(&pool->grant_lease);
	pool_heap_free(&pool->request_last_start);
	pool_map_free(&pool->endpoint_by_name);
	pool_map_free(&pool->grant_by_id);
	pool_map_free(&pool->grant_by_request);
	pool_map_free(&pool->request_by_id);
	pool_map_free(&pool->workspaces);
	pool_index_free(&pool->index);
	free((void *)pool->endpoints);
	free(pool->prefixes);
	free(pool);
}

/*
 * Put a new configuration in force.  What is queued or granted stays, also
 * where a smaller bound would not have let it in.
 */
void dl_pool_configure(struct dl_pool *pool, const struct dl_pool_conf *conf)
{
	pool->conf = *conf;
	pool->entries_allowed = conf->queue_entries_max;
	if (pool->entries_allowed < pool->queued)
		pool->entries_allowed = pool->queued;
	pool->tokens_allowed = conf->queue_tokens_max;
	if (pool->tokens_allowed < pool->queued_tokens)
		pool->tokens_allowed = pool->queued_tokens;
	for (uint32_t i = 0; i < pool->endpoints_n; i++)
		pool_place_refresh(pool, pool->endpoints[i], pool->now);
}

/* Weight and limits of a workspace; a weight of 0 is the default one. */
void dl_pool_workspace(struct dl_pool *pool, const struct dl_workspace_conf *c)
{
	struct pool_workspace *ws =
		pool_workspace_get(pool, dl_name_str(&c->name));
	uint32_t before = pool_workspace_weight(pool, ws);

	ws->configured = true;
	ws->weight = c->weight;
	ws->concurrency_max = c->concurrency_max;
	if (ws->requests_per_s != c->requests_per_s) {
		ws->requests_per_s = c->requests_per_s;
		ws->rate_credit = 0;
		ws->rate_at = INT64_MIN / 2;
	}
	for (struct pool_flow *f = ws->flows; f; f = f->next)
		if (f->n)
			pool->lane[f->lane].weights +=
				pool_workspace_weight(pool, ws) - before;
}

/* The level of an engine's priority that a request runs at. */
uint8_t pool_level(const struct pool_want *want)
{
	return want->band < POOL_LEVELS ? want->band : POOL_LEVELS - 1;
}

static uint8_t band_of(const struct dl_pool *pool, uint64_t prompt,
		       uint64_t need)
{
	uint64_t short_tokens = SHORT_TOKENS;

	if (pool->conf.kind == DL_POOL_PLAIN)
		return POOL_SHORT;
	if (pool->memory_max && need > pool->memory_max)
		return POOL_GIANT;
	if (pool->conf.long_tokens && prompt >= pool->conf.long_tokens)
		return POOL_LONG;
	if (pool->conf.long_tokens && pool->conf.long_tokens < short_tokens)
		short_tokens = pool->conf.long_tokens;
	return prompt < short_tokens ? POOL_SHORT : POOL_MEDIUM;
}

/* What a request wants, from what its entry says. */
void pool_want_of(const struct dl_pool *pool, const struct dl_ask *ask,
		  struct pool_want *out)
{
	*out = (struct pool_want){ .class = ask->class,
				   .deadline = ask->deadline };
	if (out->class >= DL_CLASS_COUNT)
		out->class = DL_CLASS_BATCH;
	out->prompt = ask->prompt_tokens ? ask->prompt_tokens : 1;
	out->output = ask->output_tokens;
	out->need = out->prompt + out->output;
	if (pool->conf.kind == DL_POOL_PLAIN) {
		out->prompt = 1;
		out->output = 0;
		out->need = 0;
	} else {
		out->prefix = ask->prefix;
		out->prefix_tokens = ask->prefix_tokens;
	}
	out->band = band_of(pool, out->prompt, out->need);
	for (int i = 0; i < ask->tried && i < 3; i++)
		out->tried[out->tried_n++] =
			dl_hash(dl_name_str(&ask->tried_ids[i]), 0);
}

/* The endpoint of this name, or NULL. */
struct pool_endpoint *pool_endpoint_find(const struct dl_pool *pool,
					 struct dl_str id)
{
	struct pool_map_node *node =
		pool_map_first(&pool->endpoint_by_name, dl_hash(id, 0));

	return node ? POOL_OF(node, struct pool_endpoint, by_name) : NULL;
}

/* The endpoint of this name; one not heard of yet where there is none. */
struct pool_endpoint *pool_endpoint_get(struct dl_pool *pool, struct dl_str id)
{
	struct pool_endpoint *e = pool_endpoint_find(pool, id);

	if (e)
		return e;
	e = calloc(1, sizeof(*e));
	if (!e)
		abort();
	if (pool->endpoints_n == pool->endpoints_room) {
		pool->endpoints_room = pool->endpoints_room * 2 + 16;
		pool->endpoints = realloc((void *)pool->endpoints,
					  pool->endpoints_room * sizeof(e));
		if (!pool->endpoints)
			abort();
	}
	dl_name_set(&e->last.id, id);
	e->slot = pool->endpoints_n;
	pool->endpoints[pool->endpoints_n++] = e;
	pool_index_resize(&pool->index, pool->endpoints_n);
	pool_map_add(&pool->endpoint_by_name, &e->by_name, dl_hash(id, 0));
	pool_shift_reset(pool, e);
	return e;
}

/* Forget an endpoint that holds nothing. */
void pool_endpoint_forget(struct dl_pool *pool, struct pool_endpoint *e)
{
	struct pool_endpoint *last = pool->endpoints[pool->endpoints_n - 1];

	pool_hold_lost(pool, e);
	pool_shift_gone(pool, e);
	e->state = POOL_EP_GONE;
	pool_place_refresh(pool, e, pool->now);
	pool_heap_remove(&pool->endpoint_gone, &e->gone);
	pool_map_remove(&pool->endpoint_by_name, &e->by_name);
	pool_index_set(&pool->index, last->slot, NULL);
	pool->endpoints_n--;
	if (last != e) {
		last->slot = e->slot;
		pool->endpoints[last->slot] = last;
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
 * An endpoint's heartbeat: -EINVAL where it makes no sense, -ENOSPC where the
 * pool has too many already.  A new incarnation has lost what the old one held.
 * One that was gone and is back gets its share back over some seconds.
 */
int dl_pool_report(struct dl_pool *pool, const struct dl_endpoint_report *r,
		   int64_t now)
{
	int rc = check_report(pool, r);
	struct pool_endpoint *e;
	enum pool_ep_state was;
	bool first, was_open;

	pool->now = now;
	if (rc)
		return rc;
	e = pool_endpoint_find(pool, dl_name_str(&r->id));
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
		pool_shift_reset(pool, e);
		memset(e->until, 0, sizeof(e->until));
	}
	e->last = *r;
	e->state = POOL_EP_LIVE;
	pool_heap_set(&pool->endpoint_gone, &e->gone,
		      now + pool->conf.report_gone_ms);
	pool_place_report(pool, e, first, now);
	if (r->leaving)
		pool_hold_lost(pool, e);
	if (was == POOL_EP_GONE)
		pool_shift_back(pool, e, now);
	pool_shift_tick(pool, e, now);
	pool_place_refresh(pool, e, now);
	pool_shift_overdue(pool, e, now);
	if (was_open && !e->counted_open)
		pool->recheck_all = true;
	return 0;
}

static void close_endpoint(struct dl_pool *pool, struct pool_endpoint *e,
			   int64_t now)
{
	pool_hold_lost(pool, e);
	pool_shift_gone(pool, e);
	pool_heap_remove(&pool->endpoint_gone, &e->gone);
	e->state = POOL_EP_GONE;
	pool_place_refresh(pool, e, now);
	pool->recheck_all = true;
	if (e->grants == 0 && !e->drained)
		pool_endpoint_forget(pool, e);
}

static void expire_endpoints(struct dl_pool *pool, int64_t now)
{
	struct pool_heap_node *top;

	while ((top = pool_heap_top(&pool->endpoint_gone)) && top->key <= now)
		close_endpoint(pool, POOL_OF(top, struct pool_endpoint, gone),
			       now);
}

/*
 * An endpoint is known to be unreachable.  Its grants stay until their entries
 * release them: it may only be cut off, and still work on them.
 */
void dl_pool_endpoint_gone(struct dl_pool *pool, struct dl_str id, int64_t now)
{
	struct pool_endpoint *e = pool_endpoint_find(pool, id);

	pool->now = now;
	if (e && e->state == POOL_EP_LIVE)
		close_endpoint(pool, e, now);
}

/* The operators' drain: no new work until lifted, whatever it reports. */
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
 * An engine's cache event: that it holds the start of a prompt, or no longer.
 * These come late and with gaps; they only better an estimate.
 */
void dl_pool_cached(struct dl_pool *pool, struct dl_str id, uint64_t prefix,
		    uint32_t tokens, int64_t now)
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

static void answer_refused(struct dl_answer *out, enum dl_reason reason,
			   uint32_t retry_after_ms)
{
	out->verdict = DL_REFUSED;
	out->reason = reason;
	out->retry_after_ms = retry_after_ms;
}

/* An ask that was sent twice gets the answer that it already has. */
static bool answer_again(struct dl_pool *pool, const struct dl_ask *ask,
			 struct dl_answer *out)
{
	struct pool_grant *g =
		pool_grant_of_request(pool, ask->entry, ask->request);

	if (g && g->parts[0].endpoint) {
		pool_grant_answer(g, out);
		return true;
	}
	if (!pool_queue_find(pool, ask->entry, ask->request))
		return false;
	out->verdict = DL_QUEUED;
	return true;
}

static enum dl_reason make_room(struct dl_pool *pool,
				const struct pool_want *want,
				struct pool_workspace *ws, int64_t now,
				uint32_t *retry_after_ms)
{
	struct pool_request *victim;
	uint32_t after;

	if (pool_queue_room(pool, 1, want->prompt, 0))
		return DL_REASON_NONE;
	victim = pool_queue_victim(pool, want,
				   pool_strain(pool, want, NULL, ws, now), now);
	if (victim &&
	    pool_queue_room(pool, 0, want->prompt, victim->want.prompt)) {
		after = pool_retry_after(pool, &victim->want,
					 pool_wait_ms(pool, &victim->want,
						      victim, victim->workspace,
						      now),
					 now);
		pool_queue_refuse(pool, victim, DL_REASON_SHED, after);
		return DL_REASON_NONE;
	}
	*retry_after_ms = pool_retry_after(
		pool, want, pool_wait_ms(pool, want, NULL, ws, now), now);
	return DL_REASON_QUEUE_FULL;
}

static enum dl_reason admit(struct dl_pool *pool, const struct pool_want *want,
			    struct pool_workspace *ws, int64_t now,
			    uint32_t *retry_after_ms, int64_t *wait)
{
	int64_t late;

	*wait = pool_wait_ms(pool, want, NULL, ws, now);
	late = now + *wait + pool_service_ms(pool, want) - want->deadline;
	if (late > 0) {
		*retry_after_ms = pool_retry_after(pool, want, late, now);
		return DL_REASON_DEADLINE;
	}
	return make_room(pool, want, ws, now, retry_after_ms);
}

/*
 * Always answers: granted where an endpoint is free for it, queued where it is
 * predicted to make it, refused at once in every other case.
 */
void dl_pool_ask(struct dl_pool *pool, const struct dl_ask *ask, int64_t now,
		 struct dl_answer *out)
{
	struct pool_workspace *ws;
	struct pool_request *req;
	struct pool_want want;
	struct pool_choice choice;
	enum dl_reason reason;
	uint32_t after = 0;
	int64_t wait;

	pool->now = now;
	memset(out, 0, sizeof(*out));
	out->request = ask->request;
	out->entry = ask->entry;
	expire_endpoints(pool, now);
	pool_grant_expire(pool, now);
	if (answer_again(pool, ask, out))
		return;
	pool_want_of(pool, ask, &want);
	reason = pool_admit_ever(pool, &want, now);
	if (reason != DL_REASON_NONE) {
		if (reason == DL_REASON_NO_ENDPOINT ||
		    reason == DL_REASON_DRAINING)
			after = RETRY_FLAT_MS;
		answer_refused(out, reason, after);
		return;
	}
	ws = pool_workspace_get(pool, ask->workspace);
	reason = pool_limit_check(pool, ws, now, &after);
	if (reason != DL_REASON_NONE) {
		answer_refused(out, reason, after);
		return;
	}
	if (!pool->policy->queues || !pool_queue_ahead(pool, &want)) {
		if (pool->policy->choose(pool, &want, now, &choice)) {
			pool_queue_charge(pool, ws, &want);
			pool_grant_make(pool, ask->request, ask->entry, ws,
					&want, &choice, now, out);
			credit_lower(pool, &want);
			return;
		}
		if (!pool->policy->queues) {
			answer_refused(out, DL_REASON_NO_ENDPOINT,
				       RETRY_FLAT_MS);
			return;
		}
	}
	reason = admit(pool, &want, ws, now, &after, &wait);
	if (reason != DL_REASON_NONE) {
		answer_refused(out, reason, after);
		return;
	}
	req = pool_queue_push(pool, ask, &want, ws, now);
	req->predicted_wait = wait;
	pool->serve_at = now;
	out->verdict = DL_QUEUED;
}

/* The caller of a queued request left. */
void dl_pool_cancel(struct dl_pool *pool, uint64_t entry, uint64_t request,
		    int64_t now)
{
	struct pool_request *req = pool_queue_find(pool, entry, request);

	pool->now = now;
	if (req)
		pool_queue_drop(pool, req);
}

static void credit_lower(struct dl_pool *pool, const struct pool_want *want)
{
	for (int class = want->class + 1; class < DL_CLASS_COUNT; class ++) {
		uint64_t *credit = &pool->class_credit[class];

		*credit += want->prompt / CREDIT_SHARE + 1;
		if (*credit > CREDIT_MAX)
			*credit = CREDIT_MAX;
	}
}

static bool serve_request(struct dl_pool *pool, struct pool_request *req,
			  int64_t now, struct dl_answer *out)
{
	struct pool_choice choice;

	if (!pool->policy->choose(pool, &req->want, now, &choice))
		return false;
	pool_admit_learn(pool, req, now);
	pool_queue_take(pool, req);
	memset(out, 0, sizeof(*out));
	pool_grant_make(pool, req->request, req->entry, req->workspace,
			&req->want, &choice, now, out);
	credit_lower(pool, &req->want);
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
	if (first && fits_nowhere(pool, &first->want) &&
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
	for (uint8_t class = DL_CLASS_COUNT - 1; class > 0; class --) {
		uint64_t *credit = &pool->class_credit[class];

		for (uint8_t band = 0; band < POOL_BANDS; band++) {
			uint8_t lane = (uint8_t)(class * POOL_BANDS + band);
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
	for (uint8_t lane = 0; lane < POOL_LANES; lane++)
		if (pool->lane[lane].n && serve_lane(pool, lane, now, out))
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
	answer_refused(out, req->reason, req->retry_after_ms);
	free(req);
	return true;
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
		struct pool_request *req =
			POOL_OF(top, struct pool_request, last_start);
		int64_t wait = pool_wait_ms(pool, &req->want, req,
					    req->workspace, now);

		pool_admit_learn(pool, req, now);
		pool_queue_refuse(pool, req, DL_REASON_DEADLINE,
				  pool_retry_after(pool, &req->want, wait,
						   now));
	}
}

/* Take the next late answer: a grant or refusal of a queued request. */
bool dl_pool_next(struct dl_pool *pool, int64_t now, struct dl_answer *out)
{
	pool->now = now;
	pool->bind_at = INT64_MAX;
	expire_endpoints(pool, now);
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

/* The pool in one line, for other pools, other domains and operators. */
void dl_pool_summarize(const struct dl_pool *pool, int64_t now,
		       struct dl_pool_summary *out)
{
	const struct pool_index_node *root = pool_index_root(&pool->index);
	double tokens = 0;

	memset(out, 0, sizeof(*out));
	out->endpoints = pool->open;
	out->queued = pool->queued;
	out->queued_tokens = pool->queued_tokens;
	out->grants = pool->grant_by_id.n;
	for (uint32_t i = 0; i < pool->endpoints_n; i++) {
		const struct pool_endpoint *e = pool->endpoints[i];

		if (!e->counted_open)
			continue;
		out->memory_tokens += e->last.memory_tokens;
		out->free_tokens += pool_place_free(e);
	}
	for (int class = 0; class < DL_CLASS_COUNT; class ++)
		tokens += (double)pool->lane[class * POOL_BANDS].tokens;
	if (pool->rate > 0)
		out->backlog_ms = (uint64_t)(tokens / pool->rate);
	if (root->ready[0] != INT64_MAX && root->ready[0] > now)
		out->backlog_ms += (uint64_t)(root->ready[0] - now);
}

/* Walk the endpoints by index for status; false past the last. */
bool dl_pool_endpoint_at(const struct dl_pool *pool, uint32_t index,
			 struct dl_endpoint_report *out, uint64_t *held_tokens,
			 bool *put_out)
{
	const struct pool_endpoint *e;

	if (index >= pool->endpoints_n)
		return false;
	e = pool->endpoints[index];
	*out = e->last;
	*held_tokens = e->held;
	*put_out = e->shift == POOL_OUT;
	return true;
}
