/*
 * A model engine as the pool sees one: reads prompts at a rate, in chunks and
 * by priority; answers at a rate; has memory and slots; reports with a lag.
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
	uint32_t chunk;			 /* tokens read without interruption */
	uint32_t lag_ms;		 /* of its reports */
	bool no_priority;		 /* first come, first served */
	uint32_t reported_load_permille; /* of its load that it reports; 0 is
					    the truth */
};

enum sim_state {
	SIM_FREE,
	SIM_WAITING, /* for memory or a slot */
	SIM_PREFILL,
	SIM_DECODE,
	SIM_HELD, /* a group's share, read; kept until cancelled */
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

/* What became of a job. */
struct sim_event {
	uint64_t id;
	bool done; /* else its first token */
	int64_t at;
};

struct sim_engine {
	struct sim_engine_conf conf;
	struct dl_name name;
	uint64_t incarnation;
	double slow; /* takes this many times as long */
	bool frozen; /* makes no progress, goes on reporting */
	bool dead;   /* neither */
	bool leaving;
	struct sim_job *job;
	uint32_t jobs; /* places used so far */
	uint64_t next_order;
	uint64_t used;
	uint64_t used_peak;
	uint32_t running;
	int prefilling; /* index of the job whose chunk is under way, or -1 */
	double chunk_ends;
	double clock;
	struct dl_endpoint_report snapshot[SIM_SNAPSHOTS];
	int64_t snapshot_at[SIM_SNAPSHOTS];
	uint32_t snapshots;
};

void sim_engine_init(struct sim_engine *e, const char *name,
		     const struct sim_engine_conf *conf);
void sim_engine_fini(struct sim_engine *e);
/* Lose everything and come back as a new incarnation. */
void sim_engine_restart(struct sim_engine *e, int64_t now);
void sim_engine_submit(struct sim_engine *e, const struct sim_job *job,
		       int64_t now);
void sim_engine_cancel(struct sim_engine *e, uint64_t id, int64_t now);
/* Take what happened up to now, one event a call. */
bool sim_engine_next(struct sim_engine *e, int64_t now, struct sim_event *out);
/* The report that arrives now; false where none is due. */
bool sim_engine_report(struct sim_engine *e, int64_t now,
		       struct dl_endpoint_report *out);

#endif
