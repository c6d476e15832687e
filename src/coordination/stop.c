/* Admission to a process that stops; see stop.h. */
#include "coordination/stop.h"

#include <stdlib.h>
#include <sys/param.h>

/* Endpoints may have been slow for a while, and are no more. */
#define SAMPLE_MAX_AGE_MS 60000
/* Reserved before the process exits, for answers on their way. */
#define MARGIN_MS 900
/*
 * The load balancer checks every second and acts on the second answer.  Later
 * callers are those that keep connections open.
 */
#define LOAD_BALANCER_DELAY_MS 2700
/*
 * Share of requests that a forecast is to hold for.  A caller that is cut off
 * loses its answer and the time that it waited; one that is refused loses
 * little where another VM serves it, and may be refused there too.
 */
#define SHARE_PERMILLE 900

/* Of requests that nothing is known of, 1 ms is expected. */
static double factor_of(uint32_t expected_ms, int64_t took_ms)
{
	return (double)took_ms / MAX(expected_ms, 1);
}

/*
 * Records a request that has ended.  One that is not complete tells nothing
 * unless it ran for longer than expected.
 */
void dl_overrun_ended(struct dl_overrun *o, uint32_t expected_ms,
		      int64_t took_ms, bool complete, int64_t now)
{
	double factor = factor_of(expected_ms, took_ms);

	if (!complete && factor <= 1)
		return;
	o->ended[o->next] = (struct dl_overrun_sample){ now, factor };
	o->next = (o->next + 1) % DL_OVERRUN_SAMPLES;
}

/* Forgets the requests that run; all that still do are to be named again. */
void dl_overrun_restart_running(struct dl_overrun *o)
{
	o->running_count = 0;
}

/* Records a request that has run for age_ms and has not ended. */
void dl_overrun_running(struct dl_overrun *o, uint32_t expected_ms,
			int64_t age_ms)
{
	if (o->running_count < DL_OVERRUN_RUNNING)
		o->running[o->running_count++] = factor_of(expected_ms, age_ms);
}

static int compare(const void *a, const void *b)
{
	const double *x = a, *y = b;

	return (*x > *y) - (*x < *y);
}

/*
 * Returns the value that SHARE_PERMILLE of n values do not exceed; 0 for none.
 */
static double quantile(double *values, uint32_t n)
{
	if (!n)
		return 0;
	qsort(values, n, sizeof(*values), compare);
	return values[(n - 1) * SHARE_PERMILLE / 1000];
}

/*
 * Returns how many times longer than expected SHARE_PERMILLE of the requests
 * take at most, at least 1: by those that ended lately, and by those that run
 * where these have run for longer already.
 */
double dl_overrun_factor(const struct dl_overrun *o, int64_t now)
{
	double values[DL_OVERRUN_RUNNING];
	double factor;
	uint32_t n = 0;

	for (uint32_t i = 0; i < DL_OVERRUN_SAMPLES; i++) {
		const struct dl_overrun_sample *s = &o->ended[i];

		if (s->at && now - s->at <= SAMPLE_MAX_AGE_MS)
			values[n++] = s->factor;
	}
	factor = MAX(1, quantile(values, n));
	for (n = 0; n < o->running_count; n++)
		values[n] = o->running[n];
	return MAX(factor, quantile(values, n));
}

/*
 * Whether a request may be admitted, or may wait on, at a process that stops.
 * What is admitted on a forecast may be cut off, but for one whose deadline
 * comes before the exit.  Once callers reach other VMs, all others are better
 * off there, except those that have waited here.
 */
bool dl_stop_admits(const struct dl_stop *stop,
		    const struct dl_stop_request *req, int64_t now)
{
	int64_t ends_by = stop->began_at + stop->limit_ms - MARGIN_MS;
	bool bounded = req->deadline <= ends_by;
	double left_ms = (double)(ends_by - now);

	if (!stop->limit_ms)
		return true;
	if (!req->waits && now - stop->began_at >= LOAD_BALANCER_DELAY_MS &&
	    (req->longest_ms > left_ms || (stop->others_admit && !bounded)))
		return false;
	return bounded || MAX(req->expected_ms, 1) * req->factor <= left_ms;
}
