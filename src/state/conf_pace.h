/*
 * The pace at which an entry applies a large configuration delta in steps on
 * its event loop. Load: a version that adds or changes 1,300 routes at once, on
 * a VM with a tenth of a core and open streams. Harm: reading without a pause
 * takes the share of the core of that VM for 200 ms, and its streams pause and
 * begin late; reading too slowly brings the version into force late.
 *
 * Times are in microseconds of a monotonic clock.
 */
#ifndef DL_STATE_CONF_PACE_H
#define DL_STATE_CONF_PACE_H

#include <stdbool.h>
#include <stdint.h>

#include "daisyledge/base.h"

/* Steps from which the time of a route is estimated. */
#define DL_CONF_PACE_STEPS 2

struct dl_conf_pace {
	int64_t arrived_at; /* when the version arrived at this VM */
	int64_t begun_at;   /* of the step */
	int64_t due_at;	    /* of the next step */
	int64_t route_us[DL_CONF_PACE_STEPS]; /* of the last steps, in turn */
	uint32_t samples;		      /* steps that parsed routes */
	uint32_t routes;		      /* of the last of them */
	uint32_t steps;
	int64_t busy_us; /* of all steps */
};

/* Prepares for a delta; the first step is due at once. */
void dl_conf_pace_init(struct dl_conf_pace *p, int64_t arrived_at, int64_t now);
/* Whether a step may go on, as its time is not used up. */
bool dl_conf_pace_goes_on(const struct dl_conf_pace *p, int64_t now);
/* Begins a step, which is due; returns how many routes it may parse. */
uint32_t dl_conf_pace_begin(struct dl_conf_pace *p, int64_t now);
/* Ends the step, which parsed this many routes. */
void dl_conf_pace_end(struct dl_conf_pace *p, uint32_t parsed, int64_t now);
/* The time until the next step is due; 0: now. */
int64_t dl_conf_pace_wait(const struct dl_conf_pace *p, int64_t now);

#endif
