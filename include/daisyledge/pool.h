/*
 * The dispatcher of a pool: which requests wait, which are refused, and which
 * endpoint takes the next one.  A pool is the endpoints of one service in one
 * failure domain.  Pure: no sockets, no clock; the caller feeds events with
 * the present time and then drains dl_pool_next() until it returns false.
 *
 * Token counts are in tokens, memory is in tokens of KV cache, rates are in
 * tokens a second, times in milliseconds.
 */
#ifndef DAISYLEDGE_POOL_H
#define DAISYLEDGE_POOL_H

#include "daisyledge/base.h"
#include "daisyledge/engine.h"

struct dl_pool;

/* The most endpoints that one request longer than an engine may span. */
#define DL_GROUP_MAX 16

/* How urgent a request is; lower goes first. */
enum dl_class {
	DL_CLASS_URGENT,      /* kiosk pings, confirmations */
	DL_CLASS_INTERACTIVE, /* somebody waits at a counter or on a page */
	DL_CLASS_BATCH,	      /* dossiers, season files */
	DL_CLASS_COUNT,
};

/* How endpoints of the pool work: engines hold memory, services hold slots. */
enum dl_pool_kind {
	DL_POOL_MODEL,
	DL_POOL_PLAIN
};

struct dl_pool_conf {
	enum dl_pool_kind kind;
	uint32_t queue_entries_max;
	uint64_t queue_tokens_max;
	uint32_t long_tokens;	      /* a prompt from here on counts as long */
	uint32_t long_share_permille; /* of the pool that long ones may hold */
	uint32_t out_share_permille;  /* of the pool that may be put out */
	uint32_t grant_lease_ms;      /* unrenewed grants are reclaimed */
	uint32_t report_gone_ms;      /* an unreported endpoint is gone */
	bool shared_report_path; /* all by one way: if all stop, it is cut */
	uint32_t weight_default;
	struct dl_engine_model engine; /* dl_policy_engine places by it */
};

/* The weight of a workspace and its limits; 0 in a limit means none. */
struct dl_workspace_conf {
	struct dl_name name;
	uint32_t weight;
	uint32_t concurrency_max;
	uint32_t requests_per_s; /* burst: one second's worth */
};

/* What an endpoint says of itself; repeated as its heartbeat. */
struct dl_endpoint_report {
	struct dl_name id;	       /* "ip:port" where it serves HTTP */
	struct dl_name failure_domain; /* empty: not said */
	uint64_t incarnation;
	uint64_t memory_tokens; /* KV memory in all; 0 for plain services */
	uint64_t used_tokens;	/* of it, as the endpoint counts it */
	uint32_t slots;		/* requests at once: batch or threads */
	uint32_t running;
	uint32_t prefill_rate;	  /* tokens a second, 0 where unknown */
	uint32_t decode_rate;	  /* tokens a second for one stream */
	uint64_t prefill_backlog; /* tokens waiting for prefill */
	bool leaving;
	bool takes_groups; /* can share a prompt with others */
};

/* A request that asks for an endpoint. */
struct dl_ask {
	uint64_t request; /* unique with entry */
	uint64_t entry;	  /* the VM that asks */
	struct dl_str workspace;
	struct dl_name failure_domain; /* of that VM; empty: not said */
	enum dl_class class;
	uint64_t prompt_tokens;
	uint64_t output_tokens;
	uint64_t prefix;	/* hash of the prompt's start; 0 for none */
	uint32_t prefix_tokens; /* how much of the prompt shares it */
	int64_t deadline;	/* on the caller's clock of this pool */
	uint32_t target_ms;	/* to the first event; 0: not said */
	uint32_t gap_ms;	/* the longest pause that is on time; 0: any */
	int64_t first_event_deadline; /* the caller leaves without an event; 0:
					 deadline */
	uint8_t tried; /* endpoints in tried_ids not to be used again */
	struct dl_name tried_ids[3];
	bool self_placed; /* placed by its entry, for want of a dispatcher */
	bool standby;	  /* of a dispatcher that others may still reach */
};

enum dl_verdict {
	DL_GRANTED,
	DL_QUEUED,
	DL_REFUSED
};

/* Why a request was refused; the caller reads the name. */
enum dl_reason {
	DL_REASON_NONE,
	DL_REASON_DEADLINE, /* could not end in time */
	DL_REASON_QUEUE_FULL,
	DL_REASON_NO_ENDPOINT, /* none is known */
	DL_REASON_TOO_LONG,    /* no group could ever hold it */
	DL_REASON_RATE,	       /* the workspace's own rate limit */
	DL_REASON_CONCURRENCY, /* the workspace's own concurrency limit */
	DL_REASON_SHED,	       /* made room for one that can make it */
	DL_REASON_DRAINING,
	DL_REASON_RETRY_BUDGET,
	DL_REASON_NO_QUORUM,   /* a claim could not be written */
	DL_REASON_IN_PROGRESS, /* the same idempotency key runs already */
	DL_REASON_NO_DISPATCHER,
	DL_REASON_BUSY,	       /* this VM holds all it can */
	DL_REASON_QUARANTINED, /* endpoints crash under it */
	DL_REASON_BACKOFF,     /* all endpoints have asked its VM to wait */
	DL_REASON_COUNT,
};

const char *dl_reason_name(enum dl_reason reason);

/* One answer of the pool, for one request. */
struct dl_answer {
	uint64_t request;
	uint64_t entry;
	enum dl_verdict verdict;
	enum dl_reason reason;
	uint32_t retry_after_ms; /* refused: when it may make it; 0 for never */
	uint64_t grant;		 /* granted: to renew and to release */
	int64_t valid_until;	 /* granted: unless renewed */
	uint8_t priority;	 /* granted: 0 is the most urgent */
	uint8_t endpoints;	 /* granted: 1, or a group's size */
	bool limited; /* granted: the first endpoint has named a limit */
	uint8_t away; /* granted: so many are in another failure domain */
	struct dl_name endpoint[DL_GROUP_MAX]; /* the first one leads */
	uint64_t share_tokens[DL_GROUP_MAX];   /* memory held on each */
	uint32_t predicted_ttft_ms;
};

/* An endpoint that takes as many requests as it has room for. */
#define DL_UNLIMITED UINT32_MAX

/* What came of a grant, told at its release. */
struct dl_usage {
	bool ran;		/* the endpoint was reached */
	bool failed;		/* by the endpoint's fault */
	bool unreachable;	/* no connection to it could be made */
	uint64_t prompt_tokens; /* as the endpoint counted, 0 unknown */
	uint64_t output_tokens;
	uint32_t ttft_ms;	 /* since the grant; 0 where none came */
	uint32_t total_ms;	 /* likewise */
	struct dl_name at_fault; /* unreachable for the first; n 0: none */
	struct dl_name backoff_endpoint; /* that asked the VM to; n 0: none */
	uint32_t backoff_ms;		 /* for so long from now */
};

/* The pool in one line, for other pools, other domains and operators. */
struct dl_pool_summary {
	uint32_t endpoints; /* that take new work */
	uint32_t queued;
	uint64_t queued_tokens;
	uint64_t memory_tokens;
	uint64_t free_tokens;
	uint64_t backlog_ms; /* prefill wait that a new short one sees */
	uint64_t grants;
};

/*
 * The ways to dispatch, behind one table; late binding is the product, the
 * others are the baselines that it is measured against.
 */
struct dl_pool_policy;
extern const struct dl_pool_policy dl_policy_late_binding;
extern const struct dl_pool_policy dl_policy_engine;
extern const struct dl_pool_policy dl_policy_round_robin;
extern const struct dl_pool_policy dl_policy_least_load;

struct dl_pool *dl_pool_new(const struct dl_pool_conf *conf,
			    const struct dl_pool_policy *policy, uint64_t seed);
void dl_pool_free(struct dl_pool *pool);

/* Put a new configuration in force; what is queued or granted stays. */
void dl_pool_configure(struct dl_pool *pool, const struct dl_pool_conf *conf);
void dl_pool_set_workspace(struct dl_pool *pool,
			   const struct dl_workspace_conf *ws);

int dl_pool_report(struct dl_pool *pool, const struct dl_endpoint_report *r,
		   int64_t now);
/* Whether the reports of all endpoints have stopped, and all are kept for it.
 */
bool dl_pool_is_silent(const struct dl_pool *pool, int64_t now);
/*
 * An answer of an endpoint named the requests that it takes in 1,000 s from all
 * VMs together, or none (DL_UNLIMITED).  True where another limit is known now.
 */
bool dl_pool_set_endpoint_limit(struct dl_pool *pool, struct dl_str id,
				uint32_t limit, int64_t now);
/* Walk the limits named since a time, from index 0; false past the last. */
bool dl_pool_endpoint_limit_next(const struct dl_pool *pool, uint32_t *index,
				 int64_t since, struct dl_name *id,
				 uint32_t *limit);
void dl_pool_endpoint_gone(struct dl_pool *pool, struct dl_str id, int64_t now);
/* The operators' drain: no new work until lifted, whatever it reports. */
void dl_pool_endpoint_drain(struct dl_pool *pool, struct dl_str id, bool drain,
			    int64_t now);

/*
 * An engine's cache event: it holds this many tokens of a prompt's start, or,
 * with 0, no longer does.  May be late, repeated or missing.
 */
void dl_pool_cache_event(struct dl_pool *pool, struct dl_str id,
			 uint64_t prefix, uint32_t tokens, int64_t now);

/* Always answers: granted, queued (a second answer follows) or refused. */
void dl_pool_ask(struct dl_pool *pool, const struct dl_ask *ask, int64_t now,
		 struct dl_answer *out);
void dl_pool_cancel(struct dl_pool *pool, uint64_t entry, uint64_t request,
		    int64_t now);
/* -ENOENT where the grant is not (or no longer) one of this pool. */
int dl_pool_renew(struct dl_pool *pool, uint64_t grant, int64_t now);
/* This VM dispatches from now on: grants of an earlier one may be adopted. */
void dl_pool_start_dispatching(struct dl_pool *pool, int64_t now);
/* The first event of its answer came. */
int dl_pool_first_event(struct dl_pool *pool, uint64_t grant, int64_t now);
int dl_pool_release(struct dl_pool *pool, uint64_t grant,
		    const struct dl_usage *usage, int64_t now);
/* A grant of an earlier dispatcher, told by its entry after a hand-over. */
int dl_pool_adopt(struct dl_pool *pool, const struct dl_answer *grant,
		  const struct dl_ask *ask, int64_t now);
void dl_pool_entry_gone(struct dl_pool *pool, uint64_t entry, int64_t now);

/* Take the next late answer: a grant or refusal of a queued request. */
bool dl_pool_next(struct dl_pool *pool, int64_t now, struct dl_answer *out);
/* When dl_pool_next must be called at the latest; INT64_MAX for never. */
int64_t dl_pool_wakeup(const struct dl_pool *pool);

void dl_pool_summarize(const struct dl_pool *pool, int64_t now,
		       struct dl_pool_summary *out);
/* Walk the endpoints by index for status; false past the last. */
bool dl_pool_endpoint_at(const struct dl_pool *pool, uint32_t index,
			 struct dl_endpoint_report *out, uint64_t *held_tokens,
			 bool *put_out);
/*
 * Assert the invariants: every token of memory counted belongs to a live
 * grant, no queue is past its bounds, sums match their parts.  Returns NULL,
 * or what is broken.
 */
const char *dl_pool_check_invariants(const struct dl_pool *pool);

/*
 * Which pool of a service takes a request: the one of the caller's own failure
 * domain, or another where that one is worse off by much and for a while.
 * One struct for each service on each entry; zero but for the seed to begin.
 */
struct dl_spill {
	uint64_t seed;
	uint32_t share_permille; /* of requests that may leave, now */
	int64_t changed_at;
};

/*
 * The index of the pool to ask, or -1 for the own one; own may be NULL where
 * the failure domain has no pool that can be reached.
 */
int dl_pool_spill(struct dl_spill *spill, const struct dl_pool_summary *own,
		  const struct dl_pool_summary *others, uint32_t n,
		  const struct dl_ask *ask, int64_t now);

#endif
