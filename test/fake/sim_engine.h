/*
 * Simulated engine for tests of the pool.  It prefills prompts at a fixed rate,
 * in chunks and by priority, decodes at a fixed rate, has a limited memory and
 * number of slots, and reports its load with a lag.
 */
#ifndef SIM_ENGINE_H
#define SIM_ENGINE_H

#include "daisyledge/pool.h"

#define SIM_JOBS      4096
#define SIM_SNAPSHOTS 64
#define SIM_REPORT_MS 100

struct sim_engine_conf {
	uint64_t memory;
	uint32_t slots;
	uint32_t prefill_rate;
	uint32_t decode_rate;
	uint32_t chunk;			 /* prefill tokens per step */
	uint32_t lag_ms;		 /* delay of its reports */
	bool no_priority;		 /* serve in order of arrival */
	uint32_t reported_load_permille; /* of its true load; 0: all of it */
};

enum sim_state {
	SIM_FREE,
	SIM_WAITING, /* for memory or a slot */
	SIM_PREFILL,
	SIM_DECODE,
	SIM_HELD, /* group share after prefill, until cancelled */
};

struct sim_job {
	enum sim_state state;
	uint64_t id;
	uint64_t order;
	uint64_t prompt;
	uint64_t left;
	uint64_t output;
	uint64_t memory;
	uint8_t priority;
	bool held;
	double done;
};

/* Progress of a job. */
struct sim_event {
	uint64_t id;
	bool done; /* completed; otherwise its first token */
	int64_t at;
};

struct sim_engine {
	struct sim_engine_conf conf;
	struct dl_name name;
	uint64_t incarnation;
	double slow; /* slowdown factor */
	bool frozen; /* makes no progress, but reports */
	bool dead;   /* neither makes progress nor reports */
	bool leaving;
	struct sim_job *job;
	uint32_t jobs; /* entries of job in use or used before */
	uint64_t next_order;
	uint64_t used;
	uint64_t used_peak;
	uint32_t running;
	int prefilling; /* index of the job being prefilled, or -1 */
	double chunk_ends;
	double clock;
	struct dl_endpoint_report snapshot[SIM_SNAPSHOTS];
	int64_t snapshot_at[SIM_SNAPSHOTS];
	uint32_t snapshots;
};

void sim_engine_init(struct sim_engine *e, const char *name,
		     const struct sim_engine_conf *conf);
void sim_engine_fini(struct sim_engine *e);
/* Restarts the engine: drops all jobs, with a new incarnation. */
void sim_engine_restart(struct sim_engine *e, int64_t now);
void sim_engine_submit(struct sim_engine *e, const struct sim_job *job,
		       int64_t now);
void sim_engine_cancel(struct sim_engine *e, uint64_t id, int64_t now);
/* Returns the next event up to now; false if there is none. */
bool sim_engine_next(struct sim_engine *e, int64_t now, struct sim_event *out);
/* Returns the report that arrives now; false if none is due. */
bool sim_engine_report(struct sim_engine *e, int64_t now,
		       struct dl_endpoint_report *out);

#endif
