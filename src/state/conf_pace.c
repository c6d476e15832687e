/* The pace of the application of a large delta; see the header. */
#include "state/conf_pace.h"

#include <glib.h>

/*
 * Time of a step. Streams tolerate pauses of 200 ms, and one turn of the event
 * loop forwards the events of all streams of the VM before the next step.
 */
#define STEP_US 4000
/* Reading takes a quarter of the VM's time. */
#define REST_FACTOR 3
/*
 * A step may last because the VM was suspended or had used up its share of the
 * core. A rest of three times a pause that is not the step's own work would
 * delay the version without any use for streams. A tenth of a core is given out
 * in periods of 100 ms, so a rest of that length is followed by a new share.
 */
#define REST_MAX_US 100000
/*
 * A version must be in force 2,500 ms after it was acknowledged, and arrives up
 * to 400 ms after that. Rests become shorter from the first of these ages on;
 * there is none from the second on.
 */
#define HURRY_US 1200000
#define LATE_US	 1800000
/*
 * Routes of the first step: a VM with a tenth of a core parses 30 within a
 * step's time.
 */
#define ROUTES_FIRST 8
/* A step parses at most this many times as many routes as the one before. */
#define ROUTES_GROWTH 2
#define ROUTES_MAX    1024

static int64_t route_us(const struct dl_conf_pace *p);
static int64_t rest_us(const struct dl_conf_pace *p, int64_t took, int64_t now);

void dl_conf_pace_init(struct dl_conf_pace *p, int64_t arrived_at, int64_t now)
{
	*p = (struct dl_conf_pace){ .arrived_at = arrived_at, .due_at = now };
}

/*
 * Returns the time of a route: the shorter one of the last steps. A VM that has
 * used up its share of the core stands still within some steps, however few
 * routes they parse; with the mean, each such step was followed by many steps
 * of a few routes.
 */
static int64_t route_us(const struct dl_conf_pace *p)
{
	int64_t least = INT64_MAX;

	for (uint32_t i = 0; i < MIN(p->samples, DL_CONF_PACE_STEPS); i++)
		least = MIN(least, p->route_us[i]);
	return MAX(least, 1);
}

/*
 * The number of routes follows from the time of a route in the last steps. It
 * grows slowly, as a step may have been quick only because the VM had saved up
 * some of its share.
 */
uint32_t dl_conf_pace_begin(struct dl_conf_pace *p, int64_t now)
{
	int64_t routes;

	p->begun_at = now;
	if (!p->samples)
		return ROUTES_FIRST;
	routes = MIN(STEP_US / route_us(p), (int64_t)p->routes * ROUTES_GROWTH);
	return (uint32_t)CLAMP(routes, 1, ROUTES_MAX);
}

/* Returns the rest after a step. */
static int64_t rest_us(const struct dl_conf_pace *p, int64_t took, int64_t now)
{
	int64_t rest = MIN(took * REST_FACTOR, REST_MAX_US);
	int64_t age = now - p->arrived_at;

	if (age >= LATE_US)
		return 0;
	if (age > HURRY_US)
		rest = rest * (LATE_US - age) / (LATE_US - HURRY_US);
	return rest;
}

/* Records a step. */
void dl_conf_pace_end(struct dl_conf_pace *p, uint32_t parsed, int64_t now)
{
	int64_t took = MAX(now - p->begun_at, 0);

	p->steps++;
	p->busy_us += took;
	p->due_at = now + rest_us(p, took, now);
	if (!parsed)
		return;
	p->route_us[p->samples++ % DL_CONF_PACE_STEPS] = took / parsed;
	p->routes = parsed;
}

bool dl_conf_pace_goes_on(const struct dl_conf_pace *p, int64_t now)
{
	return now - p->begun_at < STEP_US;
}

int64_t dl_conf_pace_wait(const struct dl_conf_pace *p, int64_t now)
{
	return now >= p->due_at ? 0 : p->due_at - now;
}
