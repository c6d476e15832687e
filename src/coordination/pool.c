/*
 * Pools: creation, configuration, and the order in which events are handled.
 * The decisions are made in the other files:
 *
 *	pool_endpoint.c	set of endpoints and their reports
 *	pool_leaving.c	endpoints that leave while no other one is open
 *	pool_workspace.c	weights and limits of workspaces
 *	pool_admit.c	admission: can a request meet its deadline
 *	pool_queue.c	queueing, fair order and shedding
 *	pool_place.c	choice of an endpoint (pool_prefix.c: by cached prefix)
 *	pool_backlog.c	outstanding work of each endpoint
 *	pool_group.c	groups for requests that fit on no single endpoint
 *	pool_grant.c	grants and their leases
 *	pool_recover.c	load of engines that no known grant explains
 *	pool_outlier.c	ejection of slow or failing endpoints
 *	pool_throttle.c	rate limits that endpoints set for all VMs
 *	pool_backoff.c	endpoints that a VM backs off from
 *	pool_serve.c	decisions on queued requests
 */
#include "pool_engine.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/*
 * Time constant of the grant rate of a class: longer than one grant of a long
 * prompt, shorter than a load wave.
 */
#define RATE_DECAY_MS 3000.0
/* Retry delay if no endpoint accepts work: a few announcement intervals. */
#define RETRY_NO_ENDPOINT_MS 1000

/* Prompts below this are short: about what an engine reads in one step. */
#define SHORT_TOKENS 4096

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
	[DL_REASON_QUARANTINED] = "quarantined",
	[DL_REASON_BACKOFF] = "backoff",
	[DL_REASON_EVACUATED] = "evacuated",
	[DL_REASON_UNREACHABLE] = "unreachable",
};

static uint8_t band_of(const struct dl_pool *pool, uint64_t prompt,
		       uint64_t need);
static bool repeat_answer(struct dl_pool *pool, const struct dl_ask *ask,
			  struct dl_answer *out);
static enum dl_reason admit(struct dl_pool *pool, const struct pool_want *want,
			    struct pool_workspace *ws, int64_t now,
			    uint32_t *retry_after_ms, int64_t *wait);
static enum dl_reason make_room(struct dl_pool *pool,
				const struct pool_want *want,
				struct pool_workspace *ws, int64_t now,
				uint32_t *retry_after_ms);

/* The name of a reason, as callers and logs see it. */
const char *dl_reason_name(enum dl_reason reason)
{
	if ((unsigned)reason >= DL_REASON_COUNT)
		return "none";
	return reason_names[reason];
}

/* Mix the bits of a number (finalizer of splitmix64, a permutation). */
uint64_t pool_mix(uint64_t x)
{
	x += 0x9e3779b97f4a7c15U;
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9U;
	x = (x ^ (x >> 27)) * 0x94d049bb133111ebU;
	return x ^ (x >> 31);
}

/* The next pseudo-random number of the pool. */
uint64_t pool_random(struct dl_pool *pool)
{
	pool->random = pool_mix(pool->random);
	return pool->random;
}

/* Clamp a claimed number of tokens to POOL_TOKENS_MAX. */
uint64_t pool_tokens(uint64_t claimed)
{
	return claimed < POOL_TOKENS_MAX ? claimed : POOL_TOKENS_MAX;
}

/* Current value of a decaying rate, in units per millisecond. */
double pool_rate_read(const struct pool_rate *rate, int64_t now)
{
	int64_t passed = now - rate->at;

	if (rate->per_ms <= 0)
		return 0;
	return passed <= 0 ?
		       rate->per_ms :
		       rate->per_ms * exp(-(double)passed / RATE_DECAY_MS);
}

/* Add an amount to a decaying rate. */
void pool_rate_add(struct pool_rate *rate, double amount, int64_t now)
{
	rate->per_ms = pool_rate_read(rate, now) + amount / RATE_DECAY_MS;
	rate->at = now;
}

/*
 * Create a pool without endpoints; the seed must differ for each incarnation.
 */
struct dl_pool *dl_pool_new(const struct dl_pool_conf *conf,
			    const struct dl_pool_policy *policy, uint64_t seed)
{
	struct dl_pool *pool = calloc(1, sizeof(*pool));

	if (!pool)
		abort();
	pool->prefixes = calloc(POOL_PREFIXES, sizeof(*pool->prefixes));
	if (!pool->prefixes)
		abort();
	pool->backoff = dl_backoff_new();
	pool->policy = policy;
	pool->seed = seed;
	pool->random = seed;
	pool->refused_tail = &pool->refused;
	pool->serve_at = INT64_MAX;
	pool->reopen_at = INT64_MAX;
	pool_map_init(&pool->endpoint_by_name);
	pool_map_init(&pool->grant_by_id);
	pool_map_init(&pool->grant_by_request);
	pool_map_init(&pool->request_by_id);
	pool_map_init(&pool->workspaces);
	for (unsigned i = 0; i < POOL_LANES; i++) {
		pool->lane[i].class = (uint8_t)(i / POOL_BANDS);
		pool->lane[i].band = (uint8_t)(i % POOL_BANDS);
		pool->lane[i].bias = 1;
	}
	dl_pool_configure(pool, conf);
	return pool;
}

/* Free a pool without answering its queued requests. */
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
				POOL_CONTAINER_OF(top, struct pool_request,
						  last_start));
	while ((top = pool_heap_top(&pool->grant_lease)))
		pool_grant_drop(
			pool, POOL_CONTAINER_OF(top, struct pool_grant, lease),
			pool->now);
	while (pool->endpoints_n)
		pool_endpoint_forget(pool, pool->endpoints[0]);
	free(pool->candidates);
	map = &pool->workspaces;
	for (uint32_t i = 0; i <= map->mask; i++) {
		struct pool_map_node *node = map->bucket[i];

		while (node) {
			struct pool_map_node *next = node->next;

			pool_workspace_free(POOL_CONTAINER_OF(
				node, struct pool_workspace, by_name));
			node = next;
		}
	}
	for (int i = 0; i < POOL_LANES; i++) {
		pool_heap_free(&pool->lane[i].by_start);
		pool_heap_free(&pool->lane[i].by_backlog);
	}
	pool_heap_free(&pool->endpoint_expiry);
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
	dl_backoff_free(pool->backoff);
	free(pool);
}

/*
 * Apply a new configuration.  Queued requests and grants stay, even if a
 * smaller bound would not have admitted them.
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
	pool->leaving_at = pool->now;
	pool_queue_sum_weights(pool);
}

/* Set weight and limits of a workspace; a weight of 0 means the default. */
void dl_pool_set_workspace(struct dl_pool *pool,
			   const struct dl_workspace_conf *c)
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

/* The engine priority level of a request. */
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
		return POOL_OVERSIZED;
	if (pool->conf.long_tokens && prompt >= pool->conf.long_tokens)
		return POOL_LONG;
	/*
	 * If the engine model is known, a prompt that is read as a single part
	 * is short: it goes to one engine or few and need not wait.  Otherwise
	 * prompts above 4,096 tokens would share a lane with those that wait
	 * for a dozen engines, and queue behind them within the same workspace.
	 */
	if (pool->conf.engine.read_per_ms > 0)
		return dl_engine_prefill_ms(&pool->conf.engine, prompt) <=
				       PART_PREFILL_MS ?
			       POOL_SHORT :
			       POOL_MEDIUM;
	if (pool->conf.long_tokens && pool->conf.long_tokens < short_tokens)
		short_tokens = pool->conf.long_tokens;
	return prompt < short_tokens ? POOL_SHORT : POOL_MEDIUM;
}

/* Hash of a failure domain's name; 0 if it is unknown. */
uint64_t pool_domain(const struct dl_name *name)
{
	return name->n ? dl_hash(dl_name_str(name), 0) : 0;
}

/* Whether an endpoint is in another failure domain than the requesting VM. */
bool pool_in_other_domain(const struct pool_want *want,
			  const struct pool_endpoint *e)
{
	return want->domain && e->domain && want->domain != e->domain;
}

/* Derive the needs of a request from what its entry sent. */
void pool_want_of(const struct dl_pool *pool, const struct dl_ask *ask,
		  struct pool_want *out)
{
	*out = (struct pool_want){ .class = ask->class,
				   .entry = ask->entry,
				   .domain = pool_domain(&ask->failure_domain),
				   .deadline = ask->deadline,
				   .asked_at = pool->now,
				   .first_event_deadline =
					   ask->first_event_deadline,
				   .target_ms = ask->target_ms,
				   .gap_ms = ask->gap_ms,
				   .self_placed = ask->self_placed,
				   .standby = ask->standby };
	if (out->class >= DL_CLASS_COUNT)
		out->class = DL_CLASS_BATCH;
	out->prompt = ask->prompt_tokens ? pool_tokens(ask->prompt_tokens) : 1;
	out->output = pool_tokens(ask->output_tokens);
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

/* Fill in a refusal. */
void pool_answer_refused(struct dl_answer *out, enum dl_reason reason,
			 uint32_t retry_after_ms)
{
	out->verdict = DL_REFUSED;
	out->reason = reason;
	out->retry_after_ms = retry_after_ms;
}

/* Answer a request that was sent twice with the decision already made. */
static bool repeat_answer(struct dl_pool *pool, const struct dl_ask *ask,
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

	if (pool_queue_has_room(pool, 1, want->prompt, 0))
		return DL_REASON_NONE;
	victim = pool_queue_victim(
		pool, want, pool_deadline_ratio(pool, want, NULL, ws, now),
		now);
	if (victim &&
	    pool_queue_has_room(pool, 0, want->prompt, victim->want.prompt)) {
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
 * Decide on a new request: grant it if an endpoint is free for it, queue it if
 * it is predicted to meet its deadline, refuse it immediately otherwise.
 */
void dl_pool_ask(struct dl_pool *pool, const struct dl_ask *ask, int64_t now,
		 struct dl_answer *out)
{
	struct pool_workspace *ws;
	struct pool_request *req;
	struct pool_want want;
	struct pool_choice choice;
	enum pool_found found;
	enum dl_reason reason;
	uint32_t after = 0;
	int64_t wait;

	pool->now = now;
	memset(out, 0, sizeof(*out));
	out->request = ask->request;
	out->entry = ask->entry;
	pool_endpoint_expire(pool, now);
	pool_grant_expire(pool, now);
	if (repeat_answer(pool, ask, out))
		return;
	pool_leaving_update(pool, now);
	if (pool->open_endpoints == 0 && pool->ejected)
		pool_outlier_readmit_all(pool, now);
	pool_want_of(pool, ask, &want);
	reason = pool_admit_feasible(pool, &want, now);
	if (reason != DL_REASON_NONE) {
		if (reason == DL_REASON_NO_ENDPOINT ||
		    reason == DL_REASON_DRAINING ||
		    reason == DL_REASON_EVACUATED ||
		    reason == DL_REASON_UNREACHABLE)
			after = RETRY_NO_ENDPOINT_MS;
		else if (reason == DL_REASON_BACKOFF)
			after = pool_backoff_wait_ms(pool, &want, now);
		pool_answer_refused(out, reason, after);
		return;
	}
	ws = pool_workspace_get(pool, ask->workspace);
	reason = pool_workspace_check_limits(pool, ws, now, &after);
	if (reason != DL_REASON_NONE) {
		pool_answer_refused(out, reason, after);
		return;
	}
	if (!pool->policy->queues || !pool_queue_ahead(pool, &want)) {
		found = pool->policy->choose(pool, &want, now, &choice);
		if (found == POOL_CHOSEN) {
			pool_queue_charge(pool, ws, &want);
			pool_grant_make(pool, ask->request, ask->entry, ws,
					&want, &choice, now, out);
			pool_serve_credit(pool, &want);
			return;
		}
		if (!pool->policy->queues) {
			pool_answer_refused(out, DL_REASON_NO_ENDPOINT,
					    RETRY_NO_ENDPOINT_MS);
			return;
		}
		if (found == POOL_LATE) {
			wait = now + choice.total_ms - want.deadline;
			pool_answer_refused(out, DL_REASON_DEADLINE,
					    pool_retry_after(pool, &want, wait,
							     now));
			return;
		}
	}
	reason = admit(pool, &want, ws, now, &after, &wait);
	if (reason != DL_REASON_NONE) {
		pool_answer_refused(out, reason, after);
		return;
	}
	req = pool_queue_push(pool, ask, &want, ws, now);
	req->predicted_wait = wait;
	req->bias = pool->lane[pool_lane_of(&want)].bias;
	pool->serve_at = now;
	out->verdict = DL_QUEUED;
}

/* The caller of a queued request went away. */
void dl_pool_cancel(struct dl_pool *pool, uint64_t entry, uint64_t request,
		    int64_t now)
{
	struct pool_request *req = pool_queue_find(pool, entry, request);

	pool->now = now;
	if (req)
		pool_queue_drop(pool, req);
}

/* Summarize the pool for other pools, other failure domains and status. */
void dl_pool_summarize(const struct dl_pool *pool, int64_t now,
		       struct dl_pool_summary *out)
{
	const struct pool_index_node *root = pool_index_root(&pool->index);
	double tokens = 0;

	memset(out, 0, sizeof(*out));
	out->endpoints = pool->open_endpoints;
	out->queued = pool->queued;
	out->queued_tokens = pool->queued_tokens;
	out->grants = pool->grant_by_id.n;
	for (uint32_t i = 0; i < pool->endpoints_n; i++) {
		const struct pool_endpoint *e = pool->endpoints[i];

		if (!e->counted_open)
			continue;
		out->memory_tokens += e->last.memory_tokens;
		out->free_tokens += pool_place_free_memory(e);
	}
	for (size_t c = 0; c < DL_CLASS_COUNT; c++)
		tokens += (double)pool->lane[c * (size_t)POOL_BANDS].tokens;
	if (pool->rate > 0)
		out->backlog_ms = (uint64_t)(tokens / pool->rate);
	if (root->ready[0] != INT64_MAX && root->ready[0] > now)
		out->backlog_ms += (uint64_t)(root->ready[0] - now);
}

/* Whether an endpoint is open, once those that are silent have been closed. */
bool dl_pool_has_endpoints(struct dl_pool *pool, int64_t now)
{
	pool->now = now;
	pool_endpoint_expire(pool, now);
	return pool->open_endpoints > 0;
}
