/*
 * Internal structures of a pool and the functions that its files share.  Each
 * file makes one kind of decision; pool.c calls them in the order in which an
 * event is handled.
 */
#ifndef DL_COORDINATION_POOL_INT_H
#define DL_COORDINATION_POOL_INT_H

#include "daisyledge/backoff.h"
#include "daisyledge/pool.h"

/* Get the structure that contains a member, as container_of() does. */
#define POOL_CONTAINER_OF(node, type, member)                                  \
	((type *)(void *)((char *)(node)-offsetof(type, member)))

/* Heap entry, embedded in the element; pos is 0 while it is in no heap. */
struct pool_heap_node {
	int64_t key;
	uint32_t pos;
};

/* Binary min-heap by key. */
struct pool_heap {
	struct pool_heap_node **at; /* 1-based */
	uint32_t n;
	uint32_t room;
};

void pool_heap_free(struct pool_heap *heap);
void pool_heap_set(struct pool_heap *heap, struct pool_heap_node *node,
		   int64_t key);
void pool_heap_remove(struct pool_heap *heap, struct pool_heap_node *node);
struct pool_heap_node *pool_heap_top(const struct pool_heap *heap);

/* Hash table entry, embedded in the element. */
struct pool_map_node {
	uint64_t hash;
	struct pool_map_node *next;
};

/* Chained hash table; the caller compares keys. */
struct pool_map {
	struct pool_map_node **bucket;
	uint32_t n;
	uint32_t mask;
};

void pool_map_init(struct pool_map *map);
void pool_map_free(struct pool_map *map);
void pool_map_add(struct pool_map *map, struct pool_map_node *node,
		  uint64_t hash);
void pool_map_remove(struct pool_map *map, struct pool_map_node *node);
struct pool_map_node *pool_map_first(const struct pool_map *map, uint64_t hash);
struct pool_map_node *pool_map_next(const struct pool_map_node *node);

/* Treap node, ordered by (key, order), with subtree sums of the weights. */
struct pool_tree_node {
	struct pool_tree_node *left;
	struct pool_tree_node *right;
	int64_t key;
	uint64_t order;
	uint64_t weight;
	uint64_t sum; /* of the weights in this subtree */
	uint32_t rank;
};

void pool_tree_insert(struct pool_tree_node **root,
		      struct pool_tree_node *node);
void pool_tree_remove(struct pool_tree_node **root,
		      struct pool_tree_node *node);
struct pool_tree_node *pool_tree_first(struct pool_tree_node *root);
struct pool_tree_node *pool_tree_last(struct pool_tree_node *root);
struct pool_tree_node *pool_tree_next(struct pool_tree_node *root,
				      const struct pool_tree_node *node);
uint64_t pool_tree_sum_before(const struct pool_tree_node *root, int64_t key,
			      uint64_t order);

/* Length bands of prompts; each band has its own queues. */
enum pool_band {
	POOL_SHORT,
	POOL_MEDIUM,
	POOL_LONG,
	POOL_OVERSIZED, /* longer than the memory of any one engine */
};
#define POOL_BANDS 4

/*
 * Upper bound of token counts.  Larger claims of callers and endpoints are
 * clamped to it, so that no sum overflows.
 */
#define POOL_TOKENS_MAX ((uint64_t)1 << 40)

/* Priority levels of an engine; oversized prompts run at the long level. */
#define POOL_LEVELS 3
#define POOL_LANES  (DL_CLASS_COUNT * POOL_BANDS)

/* What a request needs, without the identity of the request. */
struct pool_want {
	uint64_t prompt; /* tokens; 1 for a request of a plain service */
	uint64_t output;
	uint64_t need; /* KV memory, tokens */
	uint64_t prefix;
	uint64_t entry;	 /* the VM that sends the request */
	uint64_t domain; /* hash of that VM's failure domain; 0 if unknown */
	uint32_t prefix_tokens;
	uint8_t class;
	uint8_t band;
	uint8_t tried_n;
	uint64_t tried[3]; /* hashes of endpoint names, to avoid */
	int64_t deadline;
	int64_t asked_at;	      /* when the pool received it */
	int64_t first_event_deadline; /* caller gives up; 0: never */
	uint32_t target_ms;	      /* to the first event; 0: not given */
	uint32_t gap_ms;	      /* longest gap between events; 0: any */
	bool self_placed;	      /* by its entry, without the dispatcher */
	bool standby; /* others may still reach the dispatcher */
};

/* The last reports of load that the pool's own grants do not explain. */
#define POOL_EXCESS_REPORTS 3
struct pool_excess {
	uint64_t samples[POOL_EXCESS_REPORTS];
	uint8_t next;
};

/* Queries of an engine for its load after a takeover. */
struct pool_load_query {
	uint32_t takeover; /* that they belong to */
	uint8_t sent;
	bool pending;
	int64_t sent_at;
	int64_t again_at; /* 0: not again */
	/* The load of this time is known by an answer; 0: it is not. */
	int64_t known_at;
};

enum pool_ep_state {
	POOL_EP_UNKNOWN, /* named by a grant or an operator, no report yet */
	POOL_EP_LIVE,
	POOL_EP_GONE,
};

enum pool_ejection {
	POOL_IN_SERVICE,
	POOL_EJECTED,	 /* an outlier: probe requests only */
	POOL_SLOW_START, /* readmitted, with a growing share */
};

struct pool_part;

/* When an endpoint's grants, in their order, produced their first token. */
#define POOL_FIRST_TOKENS 32
struct pool_first_token {
	uint64_t seq;
	int64_t at;
};

struct pool_endpoint {
	struct pool_map_node by_name;
	struct dl_endpoint_report last;
	uint64_t domain; /* hash of its failure domain; 0 if unknown */
	enum pool_ep_state state;
	bool drained;
	bool evacuated;	     /* its failure domain is */
	bool serves_leaving; /* it is leaving, and no other one is open */
	struct dl_leaving departure;
	bool unreachable; /* until its next report, or this time */
	int64_t unreachable_until;
	int64_t reported_at;	/* its last report; 0: none */
	struct pool_hold *hold; /* memory is being reserved for a request */

	/* What the sums in struct dl_pool include of it. */
	bool counted_open;
	bool counted_long;
	uint64_t counted_memory;
	uint32_t counted_slots;
	double counted_rate;
	double counted_decode;

	uint32_t index;
	struct pool_heap_node expiry;

	/* Held by its live grants. */
	struct pool_part *parts; /* oldest first */
	struct pool_part *parts_last;
	uint64_t held;
	uint64_t reserved; /* reserved for a request, not yet granted */
	uint32_t grants;
	uint32_t long_grants;

	/* When its prefill work of each level and the levels above ends. */
	int64_t busy_until[POOL_LEVELS];
	/* Total prefill work committed so far, by level. */
	int64_t committed_ms[POOL_LEVELS];
	/* By how much running grants may still be delayed. */
	int64_t slack[POOL_LEVELS];

	/* Load in its reports that its grants do not explain. */
	struct pool_excess memory_excess;
	struct pool_excess running_excess;
	struct pool_excess backlog_excess;
	struct pool_excess backlog_own; /* expected backlog at those reports */

	/* Learned from its answers. */
	double prefill_slowdown; /* measured over reported prefill time */
	double decode_slowdown;	 /* measured over reported decode time */
	double deviation;	 /* mean relative prediction error */
	double decode_deviation; /* the same for decoding */
	/* delay of a prefill by work of lower levels */
	double interference_ms;
	double service_ms;  /* of one request, for plain services */
	uint64_t grant_seq; /* sequence number of its latest grant */
	struct pool_first_token first_tokens[POOL_FIRST_TOKENS];
	uint32_t samples;
	int64_t learnt_at;

	struct dl_engine engine; /* model of dl_policy_engine */
	struct pool_load_query load_query;

	/* requests per 1,000 s, set by the endpoint; or DL_UNLIMITED */
	uint32_t limit;
	int64_t limit_set_at;	 /* time of the last answer that set it */
	double limit_credit;	 /* requests that may be sent */
	int64_t limit_credit_at; /* time of that credit */
	int64_t cold_until; /* has the limit of cold endpoints until then */

	/* Outlier detection. */
	enum pool_ejection ejection;
	uint32_t failures; /* consecutive */
	int64_t ejection_changed_at;
	int64_t probe_at;
	uint32_t probe_gap_ms;
	uint64_t probe; /* id of the probing grant, 0 for none */
};

struct pool_grant;

/* The share of a grant on one endpoint. */
struct pool_part {
	struct pool_endpoint *endpoint; /* NULL once the endpoint is lost */
	struct pool_grant *grant;
	struct pool_part *next;
	struct pool_part *prev;
	uint64_t share;
	int64_t prefill_ms;
};

struct pool_workspace;

struct pool_grant {
	struct pool_map_node by_id;
	struct pool_map_node by_request;
	struct pool_heap_node lease;
	uint64_t id;
	uint64_t request;
	uint64_t entry;
	struct pool_workspace *workspace;
	struct pool_want want;
	int64_t since;
	int64_t valid_until;
	uint32_t predicted_ttft_ms;
	uint32_t predicted_total_ms;
	uint64_t seq;		/* among the grants of its endpoint */
	double interference_ms; /* expected at the time of the grant */
	uint32_t cached_tokens; /* expected in the cache of the endpoint */
	int64_t higher_ms;	/* work of higher levels committed before it */
	bool adopted;		/* from a previous dispatcher */
	bool began;		/* its first event has arrived */
	bool reordered;	      /* swapped order with another one of its level */
	bool behind_lower;    /* the endpoint had work of lower levels */
	bool overdue_counted; /* counted as overdue before its end */
	uint8_t priority;
	uint8_t parts_n;
	struct pool_part parts[];
};

struct pool_flow;

/* A queued request. */
struct pool_request {
	struct pool_map_node by_request;
	struct pool_tree_node by_deadline;
	struct pool_heap_node last_start;
	struct pool_request *next_refused;
	struct pool_flow *flow; /* NULL once refused */
	struct pool_workspace *workspace;
	struct pool_want want;
	uint64_t request;
	uint64_t entry;
	int64_t since;
	int64_t predicted_wait;
	double bias; /* correction applied to predicted_wait */
	uint32_t retry_after_ms;
	enum dl_reason reason;
};

/* Queued requests of one workspace in one lane. */
struct pool_flow {
	struct pool_flow *next; /* of the same workspace */
	struct pool_workspace *workspace;
	struct pool_tree_node *root;
	uint32_t n;
	uint8_t lane;
	uint32_t epoch;
	int64_t finish; /* virtual time at which its granted work ends */
	/* by virtual start time of its next request */
	struct pool_heap_node start;
	struct pool_heap_node backlog; /* by queued work over weight */
};

/* The queues of one class and one length band. */
struct pool_lane {
	struct pool_heap by_start;
	struct pool_heap by_backlog;
	int64_t virtual_now;
	uint64_t tokens;
	uint32_t epoch;	  /* incremented whenever it becomes empty */
	uint64_t weights; /* of the flows with queued requests */
	uint32_t n;
	uint8_t class;
	uint8_t band;
	double bias; /* mean of measured over predicted waits */
};

struct pool_workspace {
	struct pool_map_node by_name;
	struct dl_name name;
	struct pool_flow *flows;
	uint32_t weight; /* 0 for the default */
	uint32_t concurrency_max;
	uint32_t requests_per_s;
	uint32_t running;
	uint32_t queued;
	uint32_t rate_credit; /* thousandths of a request */
	int64_t rate_at;
	double mean_ms;
	bool configured;
};

/* Node of the endpoint index: the best values in its subtree. */
struct pool_index_node {
	int64_t ready[POOL_LEVELS];
	uint64_t free;
	uint64_t free_long; /* of endpoints that already run a long request */
	double ms_per_token;
};

struct pool_index {
	struct pool_index_node *at; /* 1-based; leaves start at room */
	uint32_t room;
};

void pool_index_free(struct pool_index *index);
void pool_index_resize(struct pool_index *index, uint32_t endpoints);
void pool_index_set(struct pool_index *index, uint32_t slot,
		    const struct pool_index_node *leaf);
const struct pool_index_node *pool_index_root(const struct pool_index *index);

/* A cached prompt prefix: its last endpoint and cached length. */
struct pool_prefix {
	uint64_t prefix;
	uint64_t endpoint; /* hash of its name */
	int64_t at;
	uint32_t tokens;
};
#define POOL_PREFIXES 4096

/* Memory being reserved for a request that currently fits on no endpoint. */
#define POOL_HOLDS 4
struct pool_hold {
	struct pool_request *request; /* NULL while unused */
	struct pool_endpoint *endpoint[DL_GROUP_MAX];
	uint8_t n;
	uint64_t share;
	int64_t ready; /* expected time at the start of the hold */
	int64_t expires;
};

/* Queries of engines for their load since this VM began to dispatch. */
struct pool_recover {
	bool active;
	uint32_t takeover; /* number of the current one */
	int64_t since;
	struct dl_recovery result;
};

/* A rate that decays exponentially over a few seconds. */
struct pool_rate {
	double per_ms;
	int64_t at;
};

struct candidate;

struct dl_pool {
	struct dl_pool_conf conf;
	const struct dl_pool_policy *policy;
	struct dl_pool_observer observer;
	uint64_t seed;
	uint64_t counter;
	uint64_t random;
	/* grants of other dispatchers may be unknown */
	int64_t unknown_grants_until;
	struct pool_recover recover;
	int64_t now;		/* of the current event */
	int64_t last_report_at; /* by any endpoint */
	int64_t reopen_at;	/* when an unreachable one may be tried again */
	int64_t leaving_at;	/* next update of those that are leaving */

	struct pool_endpoint **endpoints;
	uint32_t endpoints_n;
	uint32_t endpoints_room;
	struct pool_map endpoint_by_name;
	struct pool_heap endpoint_expiry;
	struct pool_index index;
	uint32_t next_round_robin;    /* of the round robin policy */
	struct candidate *candidates; /* of the search by the engine model */
	uint32_t candidates_room;
	struct dl_evacuations evacuations;

	/*
	 * Sums over the endpoints that accept work, see pool_place_refresh().
	 */
	uint32_t open_endpoints;
	uint32_t long_endpoints;
	uint64_t memory_max; /* of one engine */
	uint64_t slots;
	double rate;	   /* tokens per ms, of all endpoints */
	double decode_sum; /* sum of ms per token */

	struct pool_map grant_by_id;
	struct pool_map grant_by_request;
	struct pool_heap grant_lease;

	struct pool_map request_by_id;
	struct pool_heap request_last_start;
	struct pool_request *refused;
	struct pool_request **refused_tail;
	uint32_t queued;
	uint64_t queued_tokens;
	/*
	 * Bounds of the queue, or its size where that exceeded a new, smaller
	 * bound.
	 */
	uint32_t entries_allowed;
	uint64_t tokens_allowed;
	struct pool_lane lane[POOL_LANES];
	uint64_t class_credit[DL_CLASS_COUNT];

	struct pool_map workspaces;
	uint32_t workspaces_max;

	struct dl_backoff *backoff; /* of VMs from endpoints */
	struct pool_prefix *prefixes;
	struct pool_hold hold[POOL_HOLDS];
	int64_t hold_at; /* no new hold before this time */

	struct pool_rate granted[DL_CLASS_COUNT];
	/* mean time between releases while requests wait, and its parts */
	double release_gap_ms;
	double release_wait_ms;
	double releases;
	double run_ms; /* mean time from a grant to its release */
	int64_t released_at;
	int64_t waited_since; /* when the queue last became non-empty */
	/* refused work is told to retry up to here */
	int64_t retry_booked_until;
	int64_t serve_at;
	int64_t bind_at; /* when the next waiting request can be granted */
	int64_t recheck_at;
	bool recheck_all;

	uint32_t ejected;
	int64_t probe_at;	/* no probe before this time */
	double interference_ms; /* mean of the endpoints */
	double decode_deviation;
	double deviation; /* mean relative prediction error */
	double median;	  /* latency of the endpoints, see pool_outlier.c */
	int64_t median_at;
};

/* A placement of a request and its expected times. */
struct pool_choice {
	struct pool_endpoint *endpoint[DL_GROUP_MAX];
	uint8_t n;
	uint64_t share;
	int64_t start; /* when its prefill starts */
	int64_t ttft_ms;
	int64_t cost_ms; /* ttft_ms plus the cost of using idle capacity */
	int64_t total_ms;
	uint32_t cached_tokens;
	bool behind_lower;
	bool probe;
	bool memory_on_leader; /* only the first engine holds memory */
	/* time of the part of the prompt that each engine reads */
	double read_ms;
};

/* Result of choosing endpoints. */
enum pool_found {
	POOL_WAIT, /* none is available now */
	POOL_CHOSEN,
	POOL_LATE, /* even the best one would miss the deadline */
};

/* A dispatching policy. */
struct dl_pool_policy {
	const char *name;
	bool queues; /* late binding: requests wait for a free endpoint */
	/* reserves memory for requests that fit nowhere */
	bool reserves_memory;
	enum pool_found (*choose)(struct dl_pool *pool,
				  const struct pool_want *want, int64_t now,
				  struct pool_choice *out);
	/* The rest may be NULL; late binding's behaviour is the default. */
	int64_t (*service_ms)(const struct dl_pool *pool,
			      const struct pool_want *want);
	/*
	 * The shortest time to a first event.  If given, requests whose callers
	 * give up before it are refused.
	 */
	int64_t (*first_event_ms)(const struct dl_pool *pool,
				  const struct pool_want *want);
	/* When a retry of a request refused as late may fit, ms from now. */
	int64_t (*retry_ms)(const struct dl_pool *pool,
			    const struct pool_want *want, int64_t now);
	void (*granted)(struct dl_pool *pool, const struct pool_grant *g,
			double read_ms, int64_t now);
	/* A grant of a previous dispatcher is adopted; its progress is known.
	 */
	void (*adopted)(struct dl_pool *pool, const struct pool_grant *g,
			uint32_t predicted_ttft_ms,
			const struct dl_adoption *adoption, int64_t now);
	/* Dispatching starts. */
	void (*start_dispatching)(struct dl_pool *pool, int64_t now);
	/* The first event of an answer arrived. */
	void (*first_event)(struct dl_pool *pool, const struct pool_grant *g,
			    int64_t now);
	void (*learn)(struct pool_endpoint *e, const struct pool_grant *g,
		      const struct dl_usage *usage);
};

/* pool.c */
uint64_t pool_mix(uint64_t x);
uint64_t pool_random(struct dl_pool *pool);
uint64_t pool_tokens(uint64_t claimed);
uint64_t pool_domain(const struct dl_name *name);
bool pool_in_other_domain(const struct pool_want *want,
			  const struct pool_endpoint *e);
uint8_t pool_level(const struct pool_want *want);
/* pool_endpoint.c */
void pool_endpoint_expire(struct dl_pool *pool, int64_t now);
void pool_endpoint_await_reports(struct dl_pool *pool, int64_t now);
void pool_endpoint_unreachable(struct dl_pool *pool, struct pool_endpoint *e,
			       uint64_t vm, bool silent, int64_t now);
struct pool_endpoint *pool_endpoint_find(const struct dl_pool *pool,
					 struct dl_str id);
struct pool_endpoint *pool_endpoint_get(struct dl_pool *pool, struct dl_str id);
void pool_endpoint_forget(struct dl_pool *pool, struct pool_endpoint *e);
void pool_answer_refused(struct dl_answer *out, enum dl_reason reason,
			 uint32_t retry_after_ms);
double pool_rate_read(const struct pool_rate *rate, int64_t now);
void pool_rate_add(struct pool_rate *rate, double amount, int64_t now);

/* pool_serve.c */
void pool_serve_credit(struct dl_pool *pool, const struct pool_want *want);

/* pool_workspace.c */
struct pool_workspace *pool_workspace_get(struct dl_pool *pool,
					  struct dl_str name);
uint32_t pool_workspace_weight(const struct dl_pool *pool,
			       const struct pool_workspace *ws);
enum dl_reason pool_workspace_check_limits(struct dl_pool *pool,
					   struct pool_workspace *ws,
					   int64_t now,
					   uint32_t *retry_after_ms);
void pool_workspace_free(struct pool_workspace *ws);

/* pool_queue.c */
struct pool_request *pool_queue_find(const struct dl_pool *pool, uint64_t entry,
				     uint64_t request);
struct pool_request *pool_queue_push(struct dl_pool *pool,
				     const struct dl_ask *ask,
				     const struct pool_want *want,
				     struct pool_workspace *ws, int64_t now);
void pool_queue_take(struct dl_pool *pool, struct pool_request *req);
void pool_queue_drop(struct dl_pool *pool, struct pool_request *req);
void pool_queue_refuse(struct dl_pool *pool, struct pool_request *req,
		       enum dl_reason reason, uint32_t retry_after_ms);
struct pool_request *pool_queue_refused(struct dl_pool *pool);
void pool_queue_charge(struct dl_pool *pool, struct pool_workspace *ws,
		       const struct pool_want *want);
bool pool_queue_ahead(const struct dl_pool *pool, const struct pool_want *want);
bool pool_queue_has_room(const struct dl_pool *pool, uint32_t entries,
			 uint64_t tokens, uint64_t freed);
struct pool_request *pool_queue_victim(struct dl_pool *pool,
				       const struct pool_want *want,
				       double deadline_ratio, int64_t now);
struct pool_flow *pool_flow_find(const struct pool_workspace *ws, uint8_t lane);
struct pool_request *pool_queue_head(const struct dl_pool *pool, uint8_t lane,
				     uint32_t nth);
struct pool_request *pool_queue_next(const struct pool_request *req);
uint8_t pool_lane_of(const struct pool_want *want);
void pool_queue_sum_weights(struct dl_pool *pool);
void pool_queue_yield(struct dl_pool *pool, struct pool_request *req);

/* pool_admit.c */
double pool_margin(double deviation);
int64_t pool_last_start(const struct dl_pool *pool,
			const struct pool_want *want);
int64_t pool_service_ms(const struct dl_pool *pool,
			const struct pool_want *want);
double pool_load(const struct dl_pool *pool, uint8_t classes, int64_t now);
int64_t pool_wait_ms(const struct dl_pool *pool, const struct pool_want *want,
		     const struct pool_request *req,
		     const struct pool_workspace *ws, int64_t now);
enum dl_reason pool_admit_feasible(const struct dl_pool *pool,
				   const struct pool_want *want, int64_t now);
uint32_t pool_retry_after(struct dl_pool *pool, const struct pool_want *want,
			  int64_t short_ms, int64_t now);
double pool_deadline_ratio(const struct dl_pool *pool,
			   const struct pool_want *want,
			   const struct pool_request *req,
			   const struct pool_workspace *ws, int64_t now);
void pool_admit_recheck(struct dl_pool *pool, int64_t now);
void pool_admit_learn(struct dl_pool *pool, const struct pool_request *req,
		      bool ended, int64_t now);

/* pool_leaving.c */
bool pool_endpoint_open(const struct dl_pool *pool,
			const struct pool_endpoint *e);
void pool_leaving_report(struct dl_pool *pool, struct pool_endpoint *e,
			 const struct dl_endpoint_report *r, bool first,
			 int64_t now);
int64_t pool_leaving_expiry(const struct dl_pool *pool,
			    const struct pool_endpoint *e, int64_t expiry);
void pool_leaving_update(struct dl_pool *pool, int64_t now);
bool pool_leaving_evacuated_serves(const struct dl_pool *pool);

/* pool_place.c */
void pool_place_refresh(struct dl_pool *pool, struct pool_endpoint *e,
			int64_t now);
bool pool_place_fits(const struct dl_pool *pool, const struct pool_want *want,
		     const struct pool_endpoint *e, int64_t now);
enum pool_found pool_place_choose(struct dl_pool *pool,
				  const struct pool_want *want, int64_t now,
				  struct pool_choice *out);
bool pool_place_in_time(const struct pool_choice *choice,
			const struct pool_want *want, int64_t now);
bool pool_place_ready(const struct pool_endpoint *e, uint8_t level,
		      int64_t now);
bool pool_place_failed_before(const struct pool_want *want,
			      const struct pool_endpoint *e);
bool pool_place_allowed(const struct dl_pool *pool,
			const struct pool_want *want,
			const struct pool_endpoint *e, int64_t now);
void pool_place_expect(const struct dl_pool *pool,
		       const struct pool_endpoint *e,
		       const struct pool_want *want, uint64_t tokens,
		       int64_t now, struct pool_choice *out);
uint8_t pool_place_priority(const struct pool_want *want,
			    const struct pool_choice *choice, int64_t now);
uint32_t pool_place_long_max(const struct dl_pool *pool);
uint64_t pool_place_free_memory(const struct pool_endpoint *e);
double pool_ms_per_token(const struct dl_pool *pool,
			 const struct pool_endpoint *e);
double pool_decode_ms(const struct pool_endpoint *e);

/* pool_throttle.c */
bool pool_throttle_allows(const struct dl_pool *pool,
			  const struct pool_endpoint *e,
			  const struct pool_want *want, int64_t now);
void pool_throttle_charge(const struct dl_pool *pool, struct pool_endpoint *e,
			  const struct pool_want *want, int64_t now);
double pool_throttle_rate(const struct dl_pool *pool,
			  const struct pool_endpoint *e, double rate,
			  int64_t now);
void pool_throttle_reset(struct pool_endpoint *e);
void pool_throttle_set_cold(struct pool_endpoint *e, uint32_t cold_ms,
			    int64_t now);
bool pool_throttle_is_limited(const struct dl_pool *pool,
			      const struct pool_endpoint *e, int64_t now);

/* pool_backoff.c */
bool pool_backoff_active(const struct dl_pool *pool,
			 const struct pool_want *want,
			 const struct pool_endpoint *e, int64_t now);
void pool_backoff_note(struct dl_pool *pool, const struct pool_grant *g,
		       const struct dl_name *id, uint32_t ms, int64_t now);
uint32_t pool_backoff_wait_ms(const struct dl_pool *pool,
			      const struct pool_want *want, int64_t now);

/* pool_backlog.c */
int64_t pool_backlog_higher_ms(const struct pool_endpoint *e, uint8_t level);
void pool_backlog_commit(struct pool_endpoint *e, const struct pool_want *want,
			 int64_t prefill_ms, int64_t slack_ms, int64_t now);
void pool_backlog_release(struct pool_endpoint *e, uint8_t level,
			  int64_t rest_ms, int64_t now);
void pool_backlog_report(struct dl_pool *pool, struct pool_endpoint *e,
			 bool first, int64_t now);
uint64_t pool_excess_min(const struct pool_excess *excess);

/* pool_prefix.c */
uint32_t pool_prefix_cached_tokens(const struct dl_pool *pool,
				   const struct pool_want *want,
				   const struct pool_endpoint *e, int64_t now);
struct pool_endpoint *pool_prefix_endpoint(const struct dl_pool *pool,
					   const struct pool_want *want);
void pool_prefix_note(struct dl_pool *pool, uint64_t prefix, uint32_t tokens,
		      const struct pool_endpoint *e, int64_t now);
void pool_prefix_forget(struct dl_pool *pool, uint64_t prefix,
			const struct pool_endpoint *e);

/* pool_group.c */
uint32_t pool_group_size(const struct dl_pool *pool,
			 const struct pool_want *want, uint64_t *share);
enum pool_found pool_group_choose(struct dl_pool *pool,
				  const struct pool_want *want, int64_t now,
				  struct pool_choice *out);
struct pool_hold *pool_hold_of(struct dl_pool *pool,
			       const struct pool_want *want);
enum pool_found pool_hold_choose(struct dl_pool *pool, struct pool_hold *hold,
				 int64_t now, struct pool_choice *out);
bool pool_hold_begin(struct dl_pool *pool, struct pool_request *req,
		     int64_t now);
void pool_hold_end(struct dl_pool *pool, struct pool_hold *hold);
void pool_hold_expire(struct dl_pool *pool, int64_t now);
void pool_hold_lost(struct dl_pool *pool, const struct pool_endpoint *e);
int64_t pool_hold_expiry(const struct dl_pool *pool);

/* pool_outlier.c */
void pool_outlier_learn(struct dl_pool *pool, struct pool_grant *g,
			const struct dl_usage *usage, int64_t now);
void pool_outlier_check_overdue(struct dl_pool *pool, struct pool_endpoint *e,
				int64_t now);
void pool_outlier_evaluate(struct dl_pool *pool, struct pool_endpoint *e,
			   int64_t now);
void pool_outlier_readmit_all(struct dl_pool *pool, int64_t now);
void pool_outlier_clear(struct dl_pool *pool, struct pool_endpoint *e);
void pool_outlier_readmit(struct dl_pool *pool, struct pool_endpoint *e,
			  int64_t now);
void pool_outlier_reset(struct dl_pool *pool, struct pool_endpoint *e);
void pool_outlier_tick(struct dl_pool *pool, struct pool_endpoint *e,
		       int64_t now);
uint32_t pool_outlier_slots(const struct pool_endpoint *e, int64_t now);
struct pool_endpoint *pool_outlier_probe(struct dl_pool *pool,
					 const struct pool_want *want,
					 int64_t now);

/* pool_recover.c */
void pool_recover_start(struct dl_pool *pool, int64_t now);
void pool_recover_adopted(struct dl_pool *pool, const struct pool_grant *g,
			  const struct dl_adoption *adoption, int64_t now);
void pool_recover_restarted(struct pool_endpoint *e);
int64_t pool_recover_overdue_ms(const struct dl_pool *pool,
				const struct pool_endpoint *e, int64_t now);

/* pool_grant.c */
struct pool_grant *pool_grant_find(const struct dl_pool *pool, uint64_t id);
struct pool_grant *pool_grant_of_request(const struct dl_pool *pool,
					 uint64_t entry, uint64_t request);
void pool_grant_make(struct dl_pool *pool, uint64_t request, uint64_t entry,
		     struct pool_workspace *ws, const struct pool_want *want,
		     const struct pool_choice *choice, int64_t now,
		     struct dl_answer *out);
void pool_grant_answer(const struct pool_grant *g, struct dl_answer *out);
void pool_grant_drop(struct dl_pool *pool, struct pool_grant *g, int64_t now);
void pool_grant_expire(struct dl_pool *pool, int64_t now);
void pool_grant_detach(struct dl_pool *pool, struct pool_endpoint *e);
void pool_want_of(const struct dl_pool *pool, const struct dl_ask *ask,
		  struct pool_want *out);
uint64_t pool_request_hash(uint64_t entry, uint64_t request);

#endif
