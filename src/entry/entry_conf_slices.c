/*
 * Applies deltas: small ones at once, and those that take longer than a step in
 * slices on the event loop. The pace, with the load that it is for, is decided
 * in src/state/conf_pace.c.
 */
#include <errno.h>
#include <stdlib.h>
#include <time.h>

#include "base/metric.h"
#include "entry/entry_conf_int.h"

#define NS_PER_US 1000
#define US_PER_MS 1000
#define US_PER_S  1000000

static void on_slice(uv_timer_t *timer);

static int64_t now_us(void)
{
	return (int64_t)(uv_hrtime() / NS_PER_US);
}

/*
 * Returns the CPU time of this thread. Unlike wall-clock time it does not grow
 * while other processes have the core, so it shows how much work a slice is.
 */
static int64_t cpu_us(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_THREAD_CPUTIME_ID, &ts);
	return (int64_t)ts.tv_sec * US_PER_S + ts.tv_nsec / NS_PER_US;
}

/* Whether a version that is at least as new came into force meanwhile. */
static bool is_superseded(const struct entry *e, const struct conf_job *job)
{
	return e->version >= job->received.id.version;
}

/* Ends the work on a delta, whose result is then in the job. */
static void finish(struct entry *e, struct conf_job *job)
{
	struct entry_conf *c = e->confs;

	job->rc = dl_conf_delta_end(job->steps, &job->sections, &job->conf);
	job->steps = NULL;
	job->slices = job->pace.steps;
	c->slicing = NULL;
	entry_conf_read(e, job);
}

/* Waits for the next step, in whole ms, so that the loop turns in between. */
static void wait_for_step(struct entry *e, const struct conf_job *job)
{
	int64_t us = dl_conf_pace_wait(&job->pace, now_us());

	uv_timer_start(&e->confs->slice_timer, on_slice,
		       (uint64_t)((us + US_PER_MS - 1) / US_PER_MS), 0);
}

/* Counts a step. What steps of less than a millisecond add up to is not lost.
 */
static void count_step(struct conf_job *job)
{
	int64_t ms = job->pace.busy_us / US_PER_MS;

	dl_count(DL_METRIC_conf_slice_ms, (uint64_t)(ms - job->counted_ms));
	job->counted_ms = ms;
}

/* Carries out the next step of the delta that is applied. */
static void take_step(struct entry *e, struct conf_job *job)
{
	uint32_t parsed = dl_conf_delta_parsed(job->steps), routes;
	int64_t cpu_begun = cpu_us();
	int rc;

	if (is_superseded(e, job)) {
		finish(e, job);
		return;
	}
	routes = dl_conf_pace_begin(&job->pace, now_us());
	rc = dl_conf_delta_step(job->steps, routes);
	dl_conf_pace_end(&job->pace, dl_conf_delta_parsed(job->steps) - parsed,
			 now_us());
	job->cpu_us += cpu_us() - cpu_begun;
	count_step(job);
	if (rc == -EAGAIN)
		wait_for_step(e, job);
	else
		finish(e, job);
}

/*
 * The longest time without a turn of the loop contains that of putting the
 * version in force, with the last step.
 */
static void on_slice(uv_timer_t *timer)
{
	struct entry *e = timer->data;
	struct entry_conf *c = e->confs;
	int64_t begun = now_us(), cpu_begun = cpu_us();

	take_step(e, c->slicing);
	c->slice_max_us = MAX(c->slice_max_us, now_us() - begun);
	c->slice_cpu_max_us = MAX(c->slice_cpu_max_us, cpu_us() - cpu_begun);
	dl_gauge(DL_METRIC_conf_slice_max_us, c->slice_max_us);
	dl_gauge(DL_METRIC_conf_slice_cpu_max_us, c->slice_cpu_max_us);
}

/* Prepares to apply deltas in slices. */
void entry_conf_slices_init(struct entry *e)
{
	struct entry_conf *c = e->confs;

	uv_timer_init(e->node.loop, &c->slice_timer);
	c->slice_timer.data = e;
}

/*
 * Applies a small delta at once, unless that takes longer than a step. Small
 * deltas may do so too: after a change of the list of services, which is a few
 * hundred bytes, all routes are parsed again. Returns whether it is done.
 */
static bool apply_at_once(struct conf_job *job)
{
	uint32_t routes = dl_conf_pace_begin(&job->pace, now_us());
	int64_t cpu_begun = cpu_us();
	int rc;

	do {
		rc = dl_conf_delta_step(job->steps, routes);
	} while (rc == -EAGAIN && dl_conf_pace_goes_on(&job->pace, now_us()));
	dl_conf_pace_end(&job->pace, dl_conf_delta_parsed(job->steps),
			 now_us());
	job->cpu_us += cpu_us() - cpu_begun;
	if (rc == -EAGAIN)
		return false;
	job->rc = dl_conf_delta_end(job->steps, &job->sections, &job->conf);
	job->steps = NULL;
	return true;
}

/*
 * Begins to apply a delta to the version in force, which the job refers to.
 * Returns true if it was small and is done; otherwise the next step is taken in
 * a later turn of the loop.
 */
bool entry_conf_slices_start(struct entry *e, struct conf_job *job)
{
	struct dl_str delta = { job->text, job->text_n };
	struct entry_conf *c = e->confs;

	if (dl_conf_delta_begin(delta, job->base->version, job->base->sections,
				job->base->conf, &job->faults, &job->steps))
		abort();
	dl_conf_pace_init(&job->pace, job->arrived_us, now_us());
	if (job->received.small) {
		if (apply_at_once(job))
			return true;
		dl_conf_arrivals_continue(&c->arrivals, &job->received);
		count_step(job);
	}
	/* One that is being applied is older than a small one that overtook it.
	 */
	entry_conf_slices_stop(e);
	c->slicing = job;
	wait_for_step(e, job);
	return false;
}

/* Drops the delta that is being applied, if any. */
void entry_conf_slices_stop(struct entry *e)
{
	struct entry_conf *c = e->confs;

	uv_timer_stop(&c->slice_timer);
	if (!c->slicing)
		return;
	entry_conf_job_free(c->slicing);
	c->slicing = NULL;
}
