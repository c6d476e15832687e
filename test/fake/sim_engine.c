/* Simulated engine; the caller supplies the time in milliseconds. */
#include "sim_engine.h"

#include <float.h>
#include <stdlib.h>
#include <string.h>

#define PERMILLE 1000
#define MS_PER_S 1000.0

static bool sorts_before(const struct sim_engine *e, const struct sim_job *a,
			 const struct sim_job *b);
static int first_in_state(const struct sim_engine *e, enum sim_state state);
static void admit_waiting(struct sim_engine *e);
static void begin_chunk(struct sim_engine *e, double at);
static void snapshot(struct sim_engine *e, int64_t now);

/* Initialises an idle engine. */
void sim_engine_init(struct sim_engine *e, const char *name,
		     const struct sim_engine_conf *conf)
{
	memset(e, 0, sizeof(*e));
	e->conf = *conf;
	dl_name_set(&e->name, dl_str_of(name));
	e->incarnation = 1;
	e->slow = 1;
	e->prefilling = -1;
	e->job = calloc(SIM_JOBS, sizeof(*e->job));
	if (!e->job)
		abort();
}

void sim_engine_fini(struct sim_engine *e)
{
	free(e->job);
}

void sim_engine_restart(struct sim_engine *e, int64_t now)
{
	memset(e->job, 0, SIM_JOBS * sizeof(*e->job));
	e->jobs = 0;
	e->used = 0;
	e->running = 0;
	e->prefilling = -1;
	e->clock = (double)now;
	e->incarnation++;
	e->snapshots = 0;
	e->dead = false;
	e->frozen = false;
}

static bool sorts_before(const struct sim_engine *e, const struct sim_job *a,
			 const struct sim_job *b)
{
	if (!e->conf.no_priority && a->priority != b->priority)
		return a->priority < b->priority;
	return a->order < b->order;
}

static int first_in_state(const struct sim_engine *e, enum sim_state state)
{
	int best = -1;

	for (uint32_t i = 0; i < e->jobs; i++) {
		if (e->job[i].state != state)
			continue;
		if (best < 0 || sorts_before(e, &e->job[i], &e->job[best]))
			best = (int)i;
	}
	return best;
}

static void admit_waiting(struct sim_engine *e)
{
	int i;

	while (e->running < e->conf.slots &&
	       (i = first_in_state(e, SIM_WAITING)) >= 0) {
		if (e->used + e->job[i].memory > e->conf.memory)
			return;
		e->job[i].state = SIM_PREFILL;
		e->used += e->job[i].memory;
		e->running++;
		if (e->used > e->used_peak)
			e->used_peak = e->used;
	}
}

static void begin_chunk(struct sim_engine *e, double at)
{
	uint64_t tokens;

	admit_waiting(e);
	e->prefilling = first_in_state(e, SIM_PREFILL);
	if (e->prefilling < 0)
		return;
	tokens = e->job[e->prefilling].left;
	if (tokens > e->conf.chunk)
		tokens = e->conf.chunk;
	e->chunk_ends =
		at + (double)tokens * e->slow * MS_PER_S / e->conf.prefill_rate;
}

void sim_engine_submit(struct sim_engine *e, const struct sim_job *job,
		       int64_t now)
{
	uint32_t i = 0;

	while (i < e->jobs && e->job[i].state != SIM_FREE)
		i++;
	if (i == SIM_JOBS)
		abort();
	if (i == e->jobs)
		e->jobs++;
	e->job[i] = *job;
	e->job[i].state = SIM_WAITING;
	e->job[i].left = job->prompt ? job->prompt : 1;
	e->job[i].order = e->next_order++;
	if (e->prefilling < 0 && !e->frozen)
		begin_chunk(e, (double)now);
}

void sim_engine_cancel(struct sim_engine *e, uint64_t id, int64_t now)
{
	for (uint32_t i = 0; i < e->jobs; i++) {
		struct sim_job *j = &e->job[i];

		if (j->state == SIM_FREE || j->id != id)
			continue;
		if (j->state != SIM_WAITING) {
			e->used -= j->memory;
			e->running--;
		}
		j->state = SIM_FREE;
		if (e->prefilling == (int)i || e->prefilling < 0)
			begin_chunk(e, (double)now);
	}
}

bool sim_engine_next(struct sim_engine *e, int64_t now, struct sim_event *out)
{
	if (e->dead || e->frozen)
		return false;
	for (uint32_t i = 0; i < e->jobs; i++) {
		struct sim_job *j = &e->job[i];

		if (j->state != SIM_DECODE || j->done > (double)now)
			continue;
		*out = (struct sim_event){ j->id, true, now };
		sim_engine_cancel(e, j->id, now);
		return true;
	}
	while (e->prefilling >= 0 && e->chunk_ends <= (double)now) {
		struct sim_job *j = &e->job[e->prefilling];
		double at = e->chunk_ends;

		j->left -= j->left < e->conf.chunk ? j->left : e->conf.chunk;
		if (j->left == 0) {
			j->state = j->held ? SIM_HELD : SIM_DECODE;
			j->done = at + (double)j->output * e->slow * MS_PER_S /
					       e->conf.decode_rate;
		}
		begin_chunk(e, at);
		if (j->left)
			continue;
		*out = (struct sim_event){ j->id, false, now };
		return true;
	}
	return false;
}

static void snapshot(struct sim_engine *e, int64_t now)
{
	uint32_t at = e->snapshots++ % SIM_SNAPSHOTS;
	struct dl_endpoint_report *r = &e->snapshot[at];
	uint64_t reported = e->conf.reported_load_permille ?
				    e->conf.reported_load_permille :
				    PERMILLE;

	memset(r, 0, sizeof(*r));
	r->id = e->name;
	r->incarnation = e->incarnation;
	r->memory_tokens = e->conf.memory;
	r->used_tokens = e->used * reported / PERMILLE;
	r->slots = e->conf.slots;
	r->running = (uint32_t)(e->running * reported / PERMILLE);
	r->prefill_rate = e->conf.prefill_rate;
	r->decode_rate = e->conf.decode_rate;
	for (uint32_t i = 0; i < e->jobs; i++)
		if (e->job[i].state == SIM_WAITING ||
		    e->job[i].state == SIM_PREFILL)
			r->prefill_backlog += e->job[i].left;
	r->prefill_backlog = r->prefill_backlog * reported / PERMILLE;
	r->leaving = e->leaving;
	r->takes_groups = true;
	e->snapshot_at[at] = now;
}

bool sim_engine_report(struct sim_engine *e, int64_t now,
		       struct dl_endpoint_report *out)
{
	uint32_t age = e->conf.lag_ms / SIM_REPORT_MS;

	if (e->dead || now % SIM_REPORT_MS)
		return false;
	snapshot(e, now);
	if (age >= e->snapshots)
		age = e->snapshots - 1;
	*out = e->snapshot[(e->snapshots - 1 - age) % SIM_SNAPSHOTS];
	return true;
}
