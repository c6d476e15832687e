/*
 * Request scheduling for a pool, which is the set of endpoints of one service
 * in one failure domain.  The pool decides which requests are granted an
 * endpoint, which are queued and which are refused.  It does no I/O and reads
 * no clock: the caller passes events with the current time and then calls
 * dl_pool_next() until it returns false.
 *
 * Token counts are in tokens, memory is in tokens of KV cache, rates are in
 * tokens per second and times in milliseconds.
 */
#ifndef DAISYLEDGE_POOL_H
#define DAISYLEDGE_POOL_H

#include "daisyledge/base.h"
#include "daisyledge/engine.h"
#include "daisyledge/evacuation.h"
#include "daisyledge/leaving.h"

struct dl_pool;

/* Most endpoints that can share one request whose prompt exceeds one engine. */
#define DL_GROUP_MAX 16

/* Priority class of a request; a lower value is served first. */
enum dl_class {
	DL_CLASS_URGENT,      /* pings, confirmations */
	DL_CLASS_INTERACTIVE, /* a user waits for the answer */
	DL_CLASS_BATCH,	      /* bulk and offline work */
	DL_CLASS_COUNT,
};

/*
 * What endpoints of the pool allocate: model engines KV memory and batch slots,
 * plain services only request slots.
 */
enum dl_pool_kind {
	DL_POOL_MODEL,
	DL_POOL_PLAIN
};

struct dl_pool_conf {
	enum dl_pool_kind kind;
	uint32_t queue_entries_max;
	uint64_t queue_tokens_max;
	/* a prompt of at least this length is long */
	uint32_t long_tokens;
	uint32_t long_share_permille; /* of the pool, for long prompts */
	uint32_t out_share_permille;  /* of the pool that may be ejected */
	uint32_t grant_lease_ms;      /* grants that are not renewed end */
	/* without a report for this long an endpoint is gone */
	uint32_t report_gone_ms;
	bool shared_report_path; /* one path for all; if all stop, it failed */
	uint32_t weight_default;
	/* that a cold endpoint bears from all VMs together; 0: no limit */
	uint32_t cold_requests_per_s;
	/* for which an endpoint that is leaving serves; 0: not at all */
	uint32_t endpoint_drain_ms;
	struct dl_engine_model engine; /* cost model of dl_policy_engine */
};

/* Weight and limits of a workspace; a limit of 0 means no limit. */
struct dl_workspace_conf {
	struct dl_name name;
	uint32_t weight;
	uint32_t concurrency_max;
	uint32_t requests_per_s; /* burst: one second's worth */
};

/* Longest time for which an endpoint can say that it stays cold. */
#define DL_COLD_MAX_MS 600000

/* State that an endpoint reports of itself; also its heartbeat. */
struct dl_endpoint_report {
	struct dl_name id;	       /* "ip:port" of its HTTP server */
	struct dl_name failure_domain; /* empty if unknown */
	uint64_t incarnation;
	uint64_t memory_tokens; /* total KV memory; 0 for plain services */
	uint64_t used_tokens;	/* in use, as the endpoint counts it */
	uint32_t slots;		/* concurrent requests: batch size or threads */
	uint32_t running;
	uint32_t prefill_rate;	  /* tokens per second, 0 if unknown */
	uint32_t decode_rate;	  /* tokens per second of one stream */
	uint64_t prefill_backlog; /* tokens waiting for prefill */
	bool leaving;
	/* leaving: for at most how long; see dl_leaving_age_ms() */
	uint32_t leaving_ms;
	bool takes_groups; /* can share a prompt with other endpoints */
	uint32_t cold_ms;  /* it stays cold for this long; 0: it is warm */
};

/* A request for an endpoint. */
struct dl_ask {
	uint64_t request; /* unique per entry */
	uint64_t entry;	  /* the VM that sends the request */
	struct dl_str workspace;
	struct dl_name failure_domain; /* of that VM; empty if unknown */
	enum dl_class class;
	uint64_t prompt_tokens;
	uint64_t output_tokens;
	/* hash of the start of the prompt; 0 for none */
	uint64_t prefix;
	uint32_t prefix_tokens; /* length of that start */
	int64_t deadline;	/* absolute, on the clock passed to this pool */
	uint32_t target_ms;	/* to the first event; 0: not given */
	uint32_t gap_ms;	/* longest gap between events; 0: any */
	int64_t first_event_deadline; /* caller gives up; 0: deadline */
	uint8_t tried;		      /* endpoints in tried_ids, to avoid */
	struct dl_name tried_ids[3];
	bool self_placed; /* by its entry, for lack of a dispatcher */
	bool standby;	  /* asks a stand-in; others may reach the dispatcher */
};

enum dl_verdict {
	DL_GRANTED,
	DL_QUEUED,
	DL_REFUSED
};

/* Why a request was refused; callers see the name. */
enum dl_reason {
	DL_REASON_NONE,
	DL_REASON_DEADLINE, /* cannot finish before its deadline */
	DL_REASON_QUEUE_FULL,
	DL_REASON_NO_ENDPOINT, /* no endpoint is known */
	DL_REASON_TOO_LONG,    /* no group of engines could ever hold it */
	DL_REASON_RATE,	       /* rate limit of the workspace */
	DL_REASON_CONCURRENCY, /* concurrency limit of the workspace */
	/* dropped from a full queue for another request */
	DL_REASON_SHED,
	DL_REASON_DRAINING,
	DL_REASON_RETRY_BUDGET,
	DL_REASON_NO_QUORUM,   /* a claim could not be written */
	DL_REASON_IN_PROGRESS, /* its idempotency key is already running */
	DL_REASON_NO_DISPATCHER,
	DL_REASON_BUSY,	       /* this VM is at its capacity */
	DL_REASON_QUARANTINED, /* endpoints crash while serving it */
	DL_REASON_BACKOFF,     /* all endpoints have told the VM to back off */
	DL_REASON_EVACUATED,   /* all endpoints are in evacuated domains */
	DL_REASON_UNREACHABLE, /* VMs could not connect to any endpoint */
	DL_REASON_COUNT,
};

const char *dl_reason_name(enum dl_reason reason);

/* The decision of the pool on one request. */
struct dl_answer {
	uint64_t request;
	uint64_t entry;
	enum dl_verdict verdict;
	enum dl_reason reason;
	uint32_t retry_after_ms; /* refused: when to retry; 0: never */
	uint64_t grant;		 /* granted: id to renew and release it by */
	int64_t valid_until;	 /* granted: end of the lease */
	uint8_t priority;	 /* granted: 0 is the most urgent */
	uint8_t endpoints;	 /* granted: 1, or the size of the group */
	bool limited; /* granted: the first endpoint has set a rate limit */
	uint8_t away; /* granted: endpoints in other failure domains */
	/*
	 * granted: age of the departure of an endpoint that is leaving, as of
	 * dl_leaving_age_ms(); 0: none is leaving
	 */
	uint32_t leaving_ms;
	/* the first one leads the group */
	struct dl_name endpoint[DL_GROUP_MAX];
	uint64_t share_tokens[DL_GROUP_MAX]; /* memory held on each */
	uint32_t predicted_ttft_ms;
};

/* Limit of an endpoint that has set none. */
#define DL_UNLIMITED UINT32_MAX

/* Progress of a grant that another dispatcher adopts. */
struct dl_adoption {
	uint32_t held_ms; /* since it was granted */
	bool began;	  /* the first event has arrived */
};

/* Load of an engine as it says itself, about 100 ms old. */
struct dl_engine_load {
	uint32_t queued;      /* requests that wait in it */
	uint32_t active;      /* requests that it prefills or decodes */
	uint64_t used_tokens; /* KV memory in use; 0: unknown */
};

/* What was learnt of the engines after a takeover. */
struct dl_recovery {
	uint32_t engines;    /* that told their load */
	uint32_t unanswered; /* that did not */
	uint32_t foreign;    /* requests that no grant explained at first */
};

/* Outcome of a grant, reported at its release. */
struct dl_usage {
	bool ran;	  /* the request reached the endpoint */
	bool failed;	  /* because of the endpoint */
	bool unreachable; /* connecting to it failed, also for others */
	bool silent;	  /* unreachable because it did not answer, for now */
	/*
	 * Its connection broke; whether the endpoint is at fault follows with
	 * dl_pool_endpoint_failed(), or does not.
	 */
	bool unjudged;
	uint64_t prompt_tokens; /* as counted by the endpoint, 0 if unknown */
	uint64_t output_tokens;
	uint32_t ttft_ms;  /* from the grant; 0 if there was no event */
	uint32_t total_ms; /* from the grant */
	/* the first endpoint could not reach it; n 0: none */
	struct dl_name at_fault;
	/* asked the VM to back off; n 0: none */
	struct dl_name backoff_endpoint;
	uint32_t backoff_ms; /* for this long from now */
};

/* Summary of a pool, for other pools, other failure domains and status. */
struct dl_pool_summary {
	uint32_t endpoints; /* that accept new work */
	uint32_t queued;
	uint64_t queued_tokens;
	uint64_t memory_tokens;
	uint64_t free_tokens;
	uint64_t backlog_ms; /* prefill wait of a new short request */
	uint64_t grants;
};

/*
 * Dispatching policies.  Late binding and engine placement are for production;
 * round robin and least load are baselines for comparison.
 */
struct dl_pool_policy;
extern const struct dl_pool_policy dl_policy_late_binding;
extern const struct dl_pool_policy dl_policy_engine;
extern const struct dl_pool_policy dl_policy_round_robin;
extern const struct dl_pool_policy dl_policy_least_load;

struct dl_pool *dl_pool_new(const struct dl_pool_conf *conf,
			    const struct dl_pool_policy *policy, uint64_t seed);
void dl_pool_free(struct dl_pool *pool);

/* Apply a new configuration; queued requests and grants stay. */
void dl_pool_configure(struct dl_pool *pool, const struct dl_pool_conf *conf);
void dl_pool_set_workspace(struct dl_pool *pool,
			   const struct dl_workspace_conf *ws);

int dl_pool_report(struct dl_pool *pool, const struct dl_endpoint_report *r,
		   int64_t now);
/*
 * Notified when a VM could not reach an endpoint, which gets no work from then
 * on, and when the endpoint's next report ends that (vm 0).  report_age_ms is
 * the age of its last report before that.
 */
struct dl_pool_observer {
	void (*reachable)(void *arg, const struct dl_name *endpoint,
			  bool reachable, uint64_t vm, int64_t report_age_ms);
	void *arg;
};

void dl_pool_observe(struct dl_pool *pool,
		     const struct dl_pool_observer *observer);
/* Whether reports of all endpoints have stopped, so that none is expired. */
bool dl_pool_is_silent(const struct dl_pool *pool, int64_t now);
/*
 * Set the limit that an endpoint gave in an answer, in requests per 1,000 s
 * from all VMs together, or DL_UNLIMITED; returns whether it changed.
 */
bool dl_pool_set_endpoint_limit(struct dl_pool *pool, struct dl_str id,
				uint32_t limit, int64_t now);
/* Iterate over the limits set since a time, from index 0; false at the end. */
bool dl_pool_endpoint_limit_next(const struct dl_pool *pool, uint32_t *index,
				 int64_t since, struct dl_name *id,
				 uint32_t *limit);
/* Attempts at an endpoint broke, though it can be connected to. */
void dl_pool_endpoint_failed(struct dl_pool *pool, struct dl_str id,
			     uint32_t attempts, int64_t now);
void dl_pool_endpoint_gone(struct dl_pool *pool, struct dl_str id, int64_t now);
/*
 * Drain set by an operator: no new work, whatever the endpoint reports, until
 * it is lifted.
 */
void dl_pool_endpoint_drain(struct dl_pool *pool, struct dl_str id, bool drain,
			    int64_t now);

/*
 * Sets the evacuated failure domains, of which no endpoint gets new work; runs
 * that are granted go on. An empty name stands for endpoints that report none.
 */
void dl_pool_set_evacuations(struct dl_pool *pool,
			     const struct dl_evacuations *evacuations,
			     int64_t now);
/* Whether the domain of an endpoint is evacuated; false if it is unknown. */
bool dl_pool_endpoint_evacuated(const struct dl_pool *pool, struct dl_str id);
/* Whether an endpoint that stays is outside the domains of a list. */
bool dl_pool_has_endpoint_outside(const struct dl_pool *pool,
				  const struct dl_evacuations *evacuations);

/* Which endpoints of a pool are open, and why none is. */
enum dl_pool_service {
	DL_SERVICE_OPEN,
	DL_SERVICE_OPEN_LEAVING, /* only endpoints that are leaving */
	DL_SERVICE_EVACUATED,	 /* one would serve but for the evacuation */
	DL_SERVICE_LEAVING,	 /* those that are left have left */
	DL_SERVICE_GONE,	 /* none is known that could be reached */
	DL_SERVICE_EJECTED,
};

enum dl_pool_service dl_pool_service_state(const struct dl_pool *pool);
/*
 * The age of the departure of the endpoint of a grant that left first, for
 * dl_answer.leaving_ms; 0: none of them is leaving.
 */
uint32_t dl_pool_leaving_age_ms(const struct dl_pool *pool,
				const struct dl_answer *grant, int64_t now);

/*
 * A cache event of an engine: it caches this many tokens of a prompt prefix,
 * or, with 0, none of it any more.  Events may be late, repeated or missing.
 */
void dl_pool_cache_event(struct dl_pool *pool, struct dl_str id,
			 uint64_t prefix, uint32_t tokens, int64_t now);

/*
 * Always answers: granted, queued (dl_pool_next() returns the second answer) or
 * refused.
 */
void dl_pool_ask(struct dl_pool *pool, const struct dl_ask *ask, int64_t now,
		 struct dl_answer *out);
void dl_pool_cancel(struct dl_pool *pool, uint64_t entry, uint64_t request,
		    int64_t now);
/* -ENOENT if the pool has no such grant, or no longer. */
int dl_pool_renew(struct dl_pool *pool, uint64_t grant, int64_t now);
/* This VM becomes the dispatcher; grants of the previous one may be adopted. */
void dl_pool_start_dispatching(struct dl_pool *pool, int64_t now);
/*
 * After a takeover: the next engine to query for its load; false if there is
 * none now.  Each engine is queried three times at most, and only if the pool
 * has an engine model.
 */
bool dl_pool_recover_next(struct dl_pool *pool, int64_t now,
			  struct dl_name *endpoint);
/* The answer to that query; NULL if the engine did not answer. */
void dl_pool_recover_answer(struct dl_pool *pool, struct dl_str id,
			    const struct dl_engine_load *load, int64_t now);
/* Returns true once, when all engines of a takeover have been queried. */
bool dl_pool_recover_end(struct dl_pool *pool, int64_t now,
			 struct dl_recovery *out);
/* The first event of the answer to a granted request arrived. */
int dl_pool_first_event(struct dl_pool *pool, uint64_t grant, int64_t now);
int dl_pool_release(struct dl_pool *pool, uint64_t grant,
		    const struct dl_usage *usage, int64_t now);
/*
 * Take over a grant of a previous dispatcher, as reported by its entry; NULL if
 * the entry does not report its progress.
 */
int dl_pool_adopt(struct dl_pool *pool, const struct dl_answer *grant,
		  const struct dl_ask *ask, const struct dl_adoption *adoption,
		  int64_t now);
void dl_pool_entry_gone(struct dl_pool *pool, uint64_t entry, int64_t now);

/* Return the next decision on a queued request: a grant or a refusal. */
bool dl_pool_next(struct dl_pool *pool, int64_t now, struct dl_answer *out);
/* Latest time for the next dl_pool_next() call; INT64_MAX for never. */
int64_t dl_pool_wakeup(const struct dl_pool *pool);

void dl_pool_summarize(const struct dl_pool *pool, int64_t now,
		       struct dl_pool_summary *out);
/*
 * Whether an endpoint is open; closes those that have not reported in time, as
 * dl_pool_ask() does.
 */
bool dl_pool_has_endpoints(struct dl_pool *pool, int64_t now);
/* The last report of an endpoint; false if there is none. */
bool dl_pool_endpoint_report(const struct dl_pool *pool, struct dl_str id,
			     struct dl_endpoint_report *out);
/* The number of endpoints, in any state. */
uint32_t dl_pool_endpoint_count(const struct dl_pool *pool);
/* Iterate over the endpoints by index, for status; false at the end. */
bool dl_pool_endpoint_at(const struct dl_pool *pool, uint32_t index,
			 struct dl_endpoint_report *out, uint64_t *held_tokens,
			 bool *ejected);
/*
 * Check the invariants: all counted memory belongs to live grants, queues are
 * within their bounds, and sums match their parts.  Returns NULL, or a
 * description of the violated invariant.
 */
const char *dl_pool_check_invariants(const struct dl_pool *pool);

/*
 * State of spilling requests from the pool of the caller's own failure domain
 * to pools of other domains while the own one is much more loaded.  One per
 * service on each entry; zero-initialize all but the seed.
 */
struct dl_spill {
	uint64_t seed;
	uint32_t share_permille; /* share of requests that may spill now */
	int64_t changed_at;
};

/*
 * Return the index of the pool to use, or -1 for the own one; own is NULL if
 * the failure domain has no reachable pool.
 */
int dl_pool_spill(struct dl_spill *spill, const struct dl_pool_summary *own,
		  const struct dl_pool_summary *others, uint32_t n,
		  const struct dl_ask *ask, int64_t now);

#endif
