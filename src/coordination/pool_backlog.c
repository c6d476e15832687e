/*
 * Estimate of the outstanding work of an endpoint: prefill by priority level,
 * updated immediately by the pool's own grants and later by reports, and the
 * load in its reports that those grants do not explain.
 */
#include "pool_int.h"

/* Smaller differences are not corrected: a grant may be this early. */
#define CORRECTION_MIN_MS 20
#define SLACK_NONE	  (INT64_MAX / 4)

static int64_t max_time(int64_t a, int64_t b);
static uint64_t excess_max(const struct pool_excess *excess);
static uint64_t excess_median(const struct pool_excess *excess);
static void excess_add(struct pool_excess *excess, uint64_t seen, bool first);
static void correct_backlog(struct dl_pool *pool, struct pool_endpoint *e,
			    bool first, int64_t now);

static int64_t max_time(int64_t a, int64_t b)
{
	return a > b ? a : b;
}

/* Total work so far that an engine does before that of a level. */
int64_t pool_backlog_higher_ms(const struct pool_endpoint *e, uint8_t level)
{
	int64_t sum = 0;

	for (uint8_t i = 0; i < level; i++)
		sum += e->committed_ms[i];
	return sum;
}

/* Add a granted prefill, and by how much it may still be delayed. */
void pool_backlog_commit(struct pool_endpoint *e, const struct pool_want *want,
			 int64_t prefill_ms, int64_t slack_ms, int64_t now)
{
	uint8_t level = pool_level(want);

	if (e->last.memory_tokens == 0)
		return;
	for (int i = level; i < POOL_LEVELS; i++) {
		if (e->busy_until[i] <= now) {
			e->busy_until[i] = now;
			e->slack[i] = SLACK_NONE;
		}
		e->busy_until[i] += prefill_ms;
		if (i > level)
			e->slack[i] -= prefill_ms;
	}
	e->committed_ms[level] += prefill_ms;
	if (slack_ms < e->slack[level])
		e->slack[level] = slack_ms;
}

/* Remove the remainder of a prefill that ended early. */
void pool_backlog_release(struct pool_endpoint *e, uint8_t level,
			  int64_t rest_ms, int64_t now)
{
	for (int i = level; i < POOL_LEVELS; i++) {
		e->busy_until[i] = max_time(now, e->busy_until[i] - rest_ms);
		if (i > 0)
			e->busy_until[i] = max_time(e->busy_until[i],
						    e->busy_until[i - 1]);
	}
}

/* Lowest of the last reports, which all of them support. */
uint64_t pool_excess_min(const struct pool_excess *excess)
{
	uint64_t low = excess->samples[0];

	for (int i = 1; i < POOL_EXCESS_REPORTS; i++)
		if (excess->samples[i] < low)
			low = excess->samples[i];
	return low;
}

static uint64_t excess_max(const struct pool_excess *excess)
{
	uint64_t high = excess->samples[0];

	for (int i = 1; i < POOL_EXCESS_REPORTS; i++)
		if (excess->samples[i] > high)
			high = excess->samples[i];
	return high;
}

static uint64_t excess_median(const struct pool_excess *excess)
{
	uint64_t sum = 0;

	for (int i = 0; i < POOL_EXCESS_REPORTS; i++)
		sum += excess->samples[i];
	return sum - pool_excess_min(excess) - excess_max(excess);
}

static void excess_add(struct pool_excess *excess, uint64_t seen, bool first)
{
	for (int i = 0; first && i < POOL_EXCESS_REPORTS; i++)
		excess->samples[i] = seen;
	excess->samples[excess->next] = seen;
	excess->next = (uint8_t)((excess->next + 1) % POOL_EXCESS_REPORTS);
}

/*
 * Add prefill that an endpoint reports beyond the expected backlog.  A report
 * is up to a few report intervals old, so it is compared with the largest
 * backlog expected over the last ones; and the median of three is used, since
 * the work there changes from one report to the next.
 */
static void correct_backlog(struct dl_pool *pool, struct pool_endpoint *e,
			    bool first, int64_t now)
{
	double per_token = pool_ms_per_token(pool, e);
	int64_t own = max_time(0, e->busy_until[POOL_LEVELS - 1] - now);
	int64_t reported =
		(int64_t)((double)e->last.prefill_backlog * per_token);
	int64_t more;

	excess_add(&e->backlog_own, (uint64_t)own, first);
	own = (int64_t)excess_max(&e->backlog_own);
	excess_add(&e->backlog_excess,
		   reported > own ? (uint64_t)(reported - own) : 0, first);
	more = (int64_t)excess_median(&e->backlog_excess);
	if (more <= CORRECTION_MIN_MS)
		return;
	for (int i = 0; i < POOL_LEVELS; i++) {
		if (e->long_grants > 0 && i < POOL_LEVELS - 1)
			continue;
		e->busy_until[i] = max_time(now, e->busy_until[i]) + more;
	}
	excess_add(&e->backlog_excess, 0, true);
}

/*
 * Reconcile the estimate with an endpoint's report.  Reports lag, so a single
 * one that shows more than the pool's grants proves nothing.  What three
 * consecutive reports show belongs to somebody else, or to a reclaimed grant
 * that the engine still works on, and is kept free for that.  A report that
 * shows less is ignored: otherwise an endpoint that understates its load would
 * be given everything.  The first report of an incarnation counts by itself,
 * since a new dispatcher knows of no grants.
 */
void pool_backlog_report(struct dl_pool *pool, struct pool_endpoint *e,
			 bool first, int64_t now)
{
	uint64_t used = e->last.used_tokens;
	uint32_t running = e->last.running;

	excess_add(&e->memory_excess, used > e->held ? used - e->held : 0,
		   first);
	excess_add(&e->running_excess,
		   running > e->grants ? running - e->grants : 0, first);
	if (pool->conf.kind == DL_POOL_MODEL)
		correct_backlog(pool, e, first, now);
}
