/*
 * What a new dispatcher learns of the engines from the engines themselves.
 *
 * Load: a VM begins to dispatch, or all VMs start again, while engines work.
 * Harm: engines that work for callers whose VM is gone, or whose entry has not
 * reported its grants yet, look idle; short streams granted there begin late.
 *
 * Each engine is queried for its load as soon as it is known.  Requests in the
 * answer beyond those that grants explain are foreign work: streams of the
 * usual length in the engine model, which take slots and memory.  A grant that
 * is adopted later explains one of them.  Answers after the first one only
 * lower the number, since by then the model has what was granted in between.
 */
#include "pool_engine.h"

#include <math.h>
#include <string.h>

/* Every endpoint announces itself within 1.5 s; the rest is a margin. */
#define FIRST_QUERY_MS 2000
/*
 * A short stream lasts one to two seconds, so that within this time about a
 * quarter of the foreign ones end.
 */
#define QUERY_AGAIN_MS 400
/* Each call has a price for the operators of the engines. */
#define QUERIES_MAX 3
/* By then the last query of the last engine has been answered. */
#define END_MS (FIRST_QUERY_MS + QUERIES_MAX * QUERY_AGAIN_MS)
/* Engines tell the load that they had this long ago. */
#define LOAD_AGE_MS 100
/*
 * Gap that a foreign stream is taken to tolerate.  With GAP_SHARE this keeps
 * passes under 300 ms, the target of short streams.  Without a gap, parts of
 * one long prompt took 700 ms on each engine with foreign streams, and short
 * streams granted there began late.
 */
#define FOREIGN_GAP_MS 400
/* Most by which overdue first events put an engine behind the others. */
#define OVERDUE_MAX_MS 1000
/* Life of a foreign stream of unknown length: the next answer tells more. */
#define UNKNOWN_LIFE_MS (QUERY_AGAIN_MS + LOAD_AGE_MS)

static struct pool_load_query *query_of(const struct dl_pool *pool,
					struct pool_endpoint *e);
static bool is_due(const struct dl_pool *pool,
		   const struct pool_load_query *query, int64_t now);
static bool is_in_model(const struct pool_endpoint *e, uint64_t grant);
static uint32_t explained_requests(const struct pool_endpoint *e, int64_t at);
static uint32_t foreign_requests(const struct pool_endpoint *e,
				 const struct dl_engine_load *load, int64_t at);
static void add_foreign(const struct dl_pool *pool, struct pool_endpoint *e,
			const struct dl_engine_load *load, uint32_t count,
			int64_t now);

/*
 * Begins the queries of a takeover.  A VM that begins to dispatch again within
 * their time goes on with those of before: where dispatching moves to and fro,
 * engines would be queried without end.
 */
void pool_recover_start(struct dl_pool *pool, int64_t now)
{
	struct pool_recover *r = &pool->recover;

	if (!pool->conf.engine.slots || !pool->policy->adopted ||
	    (r->active && now - r->since <= FIRST_QUERY_MS))
		return;
	r->active = true;
	r->takeover++;
	r->since = now;
	r->result = (struct dl_recovery){ 0 };
}

/* The queries of an engine in the current takeover. */
static struct pool_load_query *query_of(const struct dl_pool *pool,
					struct pool_endpoint *e)
{
	if (e->load_query.takeover != pool->recover.takeover)
		e->load_query = (struct pool_load_query){
			.takeover = pool->recover.takeover,
		};
	return &e->load_query;
}

static bool is_due(const struct dl_pool *pool,
		   const struct pool_load_query *query, int64_t now)
{
	if (query->pending || query->sent >= QUERIES_MAX)
		return false;
	if (query->sent == 0)
		return now - pool->recover.since <= FIRST_QUERY_MS;
	return query->again_at && now >= query->again_at;
}

/* Returns the next engine to query, and counts it as queried. */
bool dl_pool_recover_next(struct dl_pool *pool, int64_t now,
			  struct dl_name *endpoint)
{
	if (!pool->recover.active || now - pool->recover.since > END_MS)
		return false;
	for (uint32_t i = 0; i < pool->endpoints_n; i++) {
		struct pool_endpoint *e = pool->endpoints[i];
		struct pool_load_query *query = query_of(pool, e);

		if (!is_due(pool, query, now) || !pool_endpoint_open(pool, e))
			continue;
		query->sent++;
		query->sent_at = now;
		query->again_at = 0;
		query->pending = true;
		*endpoint = e->last.id;
		return true;
	}
	return false;
}

static bool is_in_model(const struct pool_endpoint *e, uint64_t grant)
{
	for (uint32_t i = 0; i < e->engine.count; i++) {
		if (e->engine.item[i].id == grant)
			return true;
	}
	return false;
}

/*
 * Requests of grants that an engine had at a time.  A part that it prefills for
 * another engine counts until that is done.
 */
static uint32_t explained_requests(const struct pool_endpoint *e, int64_t at)
{
	uint32_t n = 0;

	for (const struct pool_part *p = e->parts; p; p = p->next) {
		const struct pool_grant *g = p->grant;

		if (p != &g->parts[0] && !is_in_model(e, g->id))
			continue;
		n += g->adopted || g->since <= at;
	}
	return n;
}

/*
 * Requests in an answer that no grant explains.  More than the slots, and as
 * many again that wait, make no difference: the engine gets nothing new.
 */
static uint32_t foreign_requests(const struct pool_endpoint *e,
				 const struct dl_engine_load *load, int64_t at)
{
	uint64_t slots = e->last.slots;
	uint64_t active = load->active < slots ? load->active : slots;
	uint64_t queued = load->queued < slots ? load->queued : slots;
	uint64_t own = explained_requests(e, at);
	uint64_t room = DL_ENGINE_ITEMS_MAX - e->engine.count +
			dl_engine_foreign(&e->engine, NULL);
	uint64_t n = active + queued > own ? active + queued - own : 0;

	return (uint32_t)(n < room ? n : room);
}

/*
 * Adds foreign streams to the model of an engine.  Those that wait are the
 * youngest and are added as such; the others are taken to be half way through
 * their output.
 */
static void add_foreign(const struct dl_pool *pool, struct pool_endpoint *e,
			const struct dl_engine_load *load, uint32_t count,
			int64_t now)
{
	const struct dl_engine_model *m = &pool->conf.engine;
	uint32_t waiting = count < load->queued ? count : load->queued;
	uint64_t used = load->used_tokens > e->held ?
				pool_tokens(load->used_tokens) - e->held :
				0;
	const struct pool_want usual = { .prompt = m->usual_prompt,
					 .output = m->usual_output };
	struct dl_engine_item item = {
		.decodes = true,
		.gap_ms = FOREIGN_GAP_MS,
		.weight = (float)pool_engine_weight(&usual),
	};
	uint64_t all;
	double life_ms;

	item.context = m->usual_prompt + m->usual_output / 2;
	if (item.context < used / count)
		item.context = used / count;
	all = item.context * (e->engine.count + count);
	life_ms = ceil((double)m->usual_output / (m->stride ? m->stride : 1)) *
		  dl_engine_decode_pass_ms(m, e->engine.count + count, all);
	if (!m->usual_output)
		life_ms = UNKNOWN_LIFE_MS;
	for (uint32_t i = waiting; i < count; i++) {
		item.ends_at = now + (int64_t)ceil(life_ms / 2);
		dl_engine_resume(&e->engine, m, &item, 0, now);
	}
	item.prefill_ms = (float)dl_engine_prefill_ms(m, m->usual_prompt);
	for (uint32_t i = 0; i < waiting; i++) {
		item.ends_at = now + (int64_t)ceil(item.prefill_ms + life_ms);
		dl_engine_add(&e->engine, m, &item, now);
	}
}

/*
 * Sets the number of foreign streams of an engine.  An answer that shows more
 * than the model has is right: streams end that were thought to be half way
 * through, and others that are longer go on.
 */
static void set_foreign(const struct dl_pool *pool, struct pool_endpoint *e,
			const struct dl_engine_load *load, uint32_t count,
			int64_t now)
{
	uint32_t known = dl_engine_foreign(&e->engine, NULL);

	if (count < known)
		dl_engine_keep_foreign(&e->engine, count, now);
	else if (count > known)
		add_foreign(pool, e, load, count - known, now);
}

/*
 * Handles the answer of an engine.  One that did not answer stays as it is
 * known by grants alone, and is not queried again.
 */
void dl_pool_recover_answer(struct dl_pool *pool, struct dl_str id,
			    const struct dl_engine_load *load, int64_t now)
{
	struct pool_endpoint *e = pool_endpoint_find(pool, id);
	struct pool_load_query *query = e ? query_of(pool, e) : NULL;
	struct dl_recovery *result = &pool->recover.result;
	uint32_t foreign;

	pool->now = now;
	if (!e || !pool->recover.active || !query->pending)
		return;
	query->pending = false;
	if (!load) {
		result->unanswered += query->sent == 1;
		return;
	}
	dl_engine_advance(&e->engine, &pool->conf.engine, now);
	query->known_at = query->sent_at - LOAD_AGE_MS;
	foreign = foreign_requests(e, load, query->known_at);
	if (query->sent == 1) {
		result->engines++;
		result->foreign += foreign;
	}
	set_foreign(pool, e, load, foreign, now);
	if (foreign)
		query->again_at = now + QUERY_AGAIN_MS;
}

/*
 * A grant was adopted: what it runs on engines whose answers have come is no
 * longer foreign.  One that was granted after the time of an answer is not in
 * that answer.
 */
void pool_recover_adopted(struct dl_pool *pool, const struct pool_grant *g,
			  const struct dl_adoption *adoption, int64_t now)
{
	int64_t granted_at = adoption ? now - adoption->held_ms : INT64_MIN;

	for (uint8_t i = 0; i < g->parts_n; i++) {
		struct pool_endpoint *e = g->parts[i].endpoint;
		uint32_t foreign = e ? dl_engine_foreign(&e->engine, NULL) : 0;

		if (!foreign || e->load_query.known_at < granted_at ||
		    (i > 0 && !is_in_model(e, g->id)))
			continue;
		dl_engine_keep_foreign(&e->engine, foreign - 1, now);
	}
}

/* Another instance of an endpoint runs; the answer of the old one is void. */
void pool_recover_restarted(struct pool_endpoint *e)
{
	e->load_query.pending = false;
	e->load_query.again_at = 0;
}

/*
 * For how long a first event is overdue on an engine, until the queries of a
 * takeover have ended.  An engine that prefills a long prompt in one pass tells
 * of one active request, and what is granted there joins that pass; without
 * this it would be granted more and more.
 */
int64_t pool_recover_overdue_ms(const struct dl_pool *pool,
				const struct pool_endpoint *e, int64_t now)
{
	int64_t most = 0;

	if (!pool->recover.active || now - pool->recover.since > END_MS)
		return 0;
	for (const struct pool_part *p = e->parts; p; p = p->next) {
		const struct pool_grant *g = p->grant;
		int64_t overdue = now - g->since - g->predicted_ttft_ms;

		if (g->parts_n == 1 && !g->adopted && !g->began &&
		    overdue > most)
			most = overdue;
	}
	return most < OVERDUE_MAX_MS ? most : OVERDUE_MAX_MS;
}

/* Ends the queries of a takeover; returns whether any engine was queried. */
bool dl_pool_recover_end(struct dl_pool *pool, int64_t now,
			 struct dl_recovery *out)
{
	struct pool_recover *r = &pool->recover;

	if (!r->active || now - r->since <= END_MS)
		return false;
	r->active = false;
	*out = r->result;
	return out->engines + out->unanswered > 0;
}
