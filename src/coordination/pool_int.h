/*
 * The inside of a pool: its structures and what its files offer each other.
 * Each file decides one thing; pool.c calls them in the order of events.
 */
#ifndef DL_COORDINATION_POOL_INT_H
#define DL_COORDINATION_POOL_INT_H

#include "daisyledge/backoff.h"
#include "daisyledge/pool.h"

/* The member of a structure back to the structure. */
#define POOL_OF(node, type, member)                                            \
	((type *)(void *)((char *)(node)-offsetof(type, member)))

/* A place in a heap, inside what is ordered; pos is 0 while outside. */
struct pool_heap_node {
	int64_t key;
	uint32_t pos;
};

/* Nodes by their smallest key. */
struct pool_heap {
	struct pool_heap_node **at; /* from 1 on */
	uint32_t n;
	uint32_t room;
};

void pool_heap_free(struct pool_heap *heap);
void pool_heap_set(struct pool_heap *heap, struct pool_heap_node *node,
		   int64_t key);
void pool_heap_remove(struct pool_heap *heap, struct pool_heap_node *node);
struct pool_heap_node *pool_heap_top(const struct pool_heap *heap);

/* A place in a hash table, inside what is looked up. */
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

/* A place in a treap ordered by (key, order), with sums of weights. */
struct pool_tree_node {
	struct pool_tree_node *left;
	struct pool_tree_node *right;
	int64_t key;
	uint64_t order;
	uint64_t weight;
	uint64_t sum; /* of the weights of this subtree */
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

/* Lengths of prompts, each with queues of its own. */
enum pool_band {
	POOL_SHORT,
	POOL_MEDIUM,
	POOL_LONG,
	POOL_GIANT, /* longer than any one engine's memory */
};
#define POOL_BANDS 4

/*
 * The most tokens that are reckoned with; whatever a caller or an endpoint
 * claims beyond is cut to it, so that no sum overflows.
 */
#define POOL_TOKENS_MAX ((uint64_t)1 << 40)

/* Priorities that an engine tells apart; giants run as long ones. */
#define POOL_LEVELS 3
#define POOL_LANES  (DL_CLASS_COUNT * POOL_BANDS)

/* What a request wants, apart from who asks. */
struct pool_want {
	uint64_t prompt; /* tokens; 1 for a plain service's request */
	uint64_t output;
	uint64_t need; /* memory in tokens */
	uint64_t prefix;
	uint64_t entry;	 /* the VM that asks */
	uint64_t domain; /* hash of its VM's failure domain; 0: not said */
	uint32_t prefix_tokens;
	uint8_t class;
	uint8_t band;
	uint8_t tried_n;
	uint64_t tried[3]; /* hashes of endpoint names */
	int64_t deadline;
	int64_t asked;	    /* when the pool heard of it */
	int64_t first_by;   /* the caller leaves without an event; 0: never */
	uint32_t target_ms; /* to the first event; 0: not said */
	uint32_t gap_ms;    /* the longest pause that is on time; 0: any */
	bool alone;	    /* its entry places it without the dispatcher */
	bool standby;	    /* others may still reach the dispatcher */
};

/* Lowest of the last reports of something the pool cannot account for. */
#define POOL_EXCESS_REPORTS 3
struct pool_excess {
	uint64_t seen[POOL_EXCESS_REPORTS];
	uint8_t at;
};

enum pool_ep_state {
	POOL_EP_UNKNOWN, /* named by a grant or by operators, not yet heard */
	POOL_EP_LIVE,
	POOL_EP_GONE,
};

enum pool_shift {
	POOL_IN,
	POOL_OUT,	 /* an outlier: probes only */
	POOL_SLOW_START, /* on its way back */
};

struct pool_part;

/* When the grants of an endpoint, in their order, gave their first token. */
#define POOL_FIRSTS 32
struct pool_first {
	uint64_t order;
	int64_t at;
};

struct pool_endpoint {
	struct pool_map_node by_name;
	struct dl_endpoint_report last;
	uint64_t domain; /* hash of its failure domain; 0: not said */
	enum pool_ep_state state;
	bool drained;
	bool unreachable;	/* until it announces itself again */
	struct pool_hold *hold; /* memory is being gathered for a request */

	/* What the pool's sums hold of it. */
	bool counted_open;
	bool counted_long;
	uint64_t counted_memory;
	uint32_t counted_slots;
	double counted_rate;
	double counted_decode;

	uint32_t slot;
	struct pool_heap_node gone;

	/* What its live grants hold. */
	struct pool_part *parts; /* oldest first */
	struct pool_part *parts_last;
	uint64_t held;
	uint64_t reserved; /* gathered for a request, not yet granted */
	uint32_t grants;
	uint32_t long_grants;

	/* When its prefill work of each level and above ends. */
	int64_t until[POOL_LEVELS];
	/* All the work of each level so far. */
	int64_t committed_ms[POOL_LEVELS];
	/* How much later that may become for the grants under way. */
	int64_t slack[POOL_LEVELS];

	/* What its reports show beyond its grants. */
	struct pool_excess memory_excess;
	struct pool_excess running_excess;
	struct pool_excess backlog_excess;
	struct pool_excess backlog_own; /* as reckoned at those reports */

	/* What its answers taught. */
	double slow;		 /* measured over reported prefill time */
	double decode_slow;	 /* measured over reported decode time */
	double deviation;	 /* of measured from predicted, a share */
	double decode_deviation; /* likewise, of decoding */
	double interference_ms;	 /* a lower level's work before a higher's */
	double service_ms;	 /* of a plain service's request */
	uint64_t order;		 /* of its latest grant */
	struct pool_first first[POOL_FIRSTS];
	uint32_t samples;
	int64_t learnt_at;

	struct dl_engine engine; /* followed by dl_policy_engine */

	uint32_t limit; /* requests in 1,000 s, as it named; or DL_UNLIMITED */
	int64_t limit_named;	 /* last */
	double limit_credit;	 /* requests that may go there, */
	int64_t limit_credit_at; /* at that time */

	/* Whether it is an outlier. */
	enum pool_shift shift;
	uint32_t failures; /* in a row */
	int64_t shifted_at;
	int64_t probe_at;
	uint32_t probe_gap_ms;
	uint64_t probe; /* the grant that probes, 0 for none */
};

struct pool_grant;

/* What one grant holds on one endpoint. */
struct pool_part {
	struct pool_endpoint *endpoint; /* NULL once that is lost */
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
	uint64_t order;		/* among its endpoint's grants */
	double interference_ms; /* expected when it was granted */
	uint32_t saved;		/* tokens expected in the endpoint's cache */
	int64_t higher_ms;	/* committed before it, of higher levels */
	bool adopted;		/* of an earlier dispatcher */
	bool crowded;	      /* an equal of its level overtook it, or it one */
	bool behind_lower;    /* lower work was under way on the endpoint */
	bool overdue_counted; /* its lateness was learnt before its end */
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
	double bias; /* in force when it was predicted */
	uint32_t retry_after_ms;
	enum dl_reason reason;
};

/* What one workspace queues in one lane. */
struct pool_flow {
	struct pool_flow *next; /* of the workspace */
	struct pool_workspace *workspace;
	struct pool_tree_node *root;
	uint32_t n;
	uint8_t lane;
	uint32_t epoch;
	int64_t finish; /* virtual time at which its work so far ends */
	struct pool_heap_node start;   /* by virtual time of its next */
	struct pool_heap_node backlog; /* by work queued over weight */
};

/* The queues of one class and one band. */
struct pool_lane {
	struct pool_heap by_start;
	struct pool_heap by_backlog;
	int64_t virtual_now;
	uint64_t tokens;
	uint32_t epoch;	  /* times that it became empty */
	uint64_t weights; /* of the flows that queue something */
	uint32_t n;
	uint8_t class;
	uint8_t band;
	double bias; /* waits measured over waits predicted */
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

/* One node of the index over endpoints: the best of what is below it. */
struct pool_index_node {
	int64_t ready[POOL_LEVELS];
	uint64_t free;
	uint64_t free_long; /* of those that hold a long one already */
	double ms_per_token;
};

struct pool_index {
	struct pool_index_node *at; /* from 1 on, leaves from room on */
	uint32_t room;
};

void pool_index_free(struct pool_index *index);
void pool_index_resize(struct pool_index *index, uint32_t endpoints);
void pool_index_set(struct pool_index *index, uint32_t slot,
		    const struct pool_index_node *leaf);
const struct pool_index_node *pool_index_root(const struct pool_index *index);

/* A remembered prefix: where it was last, and how much of it. */
struct pool_prefix {
	uint64_t prefix;
	uint64_t endpoint; /* hash of its name */
	int64_t at;
	uint32_t tokens;
};
#define POOL_PREFIXES 4096

/* Memory being gathered for a request that fits nowhere at once. */
#define POOL_HOLDS 4
struct pool_hold {
	struct pool_request *request; /* NULL for none */
	struct pool_endpoint *endpoint[DL_GROUP_MAX];
	uint8_t n;
	uint64_t share;
	int64_t ready; /* expected, when it began */
	int64_t expires;
};

/* A rate that forgets: events weighted over a few seconds. */
struct pool_rate {
	double per_ms;
	int64_t at;
};

struct dl_pool {
	struct dl_pool_conf conf;
	const struct dl_pool_policy *policy;
	uint64_t seed;
	uint64_t counter;
	uint64_t random;
	int64_t strange_until; /* others' grants may not be known yet */
	int64_t now;	       /* of the event under way */
	int64_t heard;	       /* when any endpoint last reported */

	struct pool_endpoint **endpoints;
	uint32_t endpoints_n;
	uint32_t endpoints_room;
	struct pool_map endpoint_by_name;
	struct pool_heap endpoint_gone;
	struct pool_index index;
	uint32_t turn; /* of the round robin baseline */

	/* Sums over the endpoints that take work, kept by pool_place. */
	uint32_t open;
	uint32_t long_endpoints;
	uint64_t memory_max; /* of one engine */
	uint64_t slots;
	double rate;	   /* tokens a ms of all together */
	double decode_sum; /* ms a token, added up */

	struct pool_map grant_by_id;
	struct pool_map grant_by_request;
	struct pool_heap grant_lease;

	struct pool_map request_by_id;
	struct pool_heap request_last_start;
	struct pool_request *refused;
	struct pool_request **refused_tail;
	uint32_t queued;
	uint64_t queued_tokens;
	uint32_t entries_allowed; /* the bounds, or what a smaller new bound */
	uint64_t tokens_allowed;  /* found queued already */
	struct pool_lane lane[POOL_LANES];
	uint64_t class_credit[DL_CLASS_COUNT];

	struct pool_map workspaces;
	uint32_t workspaces_max;

	struct dl_backoff *backoff; /* of endpoints towards VMs */
	struct pool_prefix *prefixes;
	struct pool_hold hold[POOL_HOLDS];
	int64_t hold_at; /* no new hold is tried before */

	struct pool_rate granted[DL_CLASS_COUNT];
	double release_gap_ms; /* between two releases, while work waits */
	int64_t released_at;
	int64_t waited_since; /* when the queue was last no longer empty */
	int64_t returns;      /* up to when refused work was told to return */
	int64_t serve_at;
	int64_t bind_at; /* when a request that waits for an endpoint gets it */
	int64_t recheck_at;
	bool recheck_all;

	uint32_t out;
	int64_t probe_at;	/* no probe is due before */
	double interference_ms; /* the mean of the endpoints' */
	double decode_deviation;
	double deviation; /* of all answers from their predictions */
	double median;	  /* latency of the endpoints, see pool_shift.c */
	int64_t median_at;
};

/* Where a request would run, and what is expected there. */
struct pool_choice {
	struct pool_endpoint *endpoint[DL_GROUP_MAX];
	uint8_t n;
	uint64_t share;
	int64_t start; /* when its prefill begins */
	int64_t ttft_ms;
	int64_t cost_ms; /* ttft_ms, and what an engine kept free is worth */
	int64_t total_ms;
	uint32_t saved;
	bool behind_lower;
	bool probe;
	bool lead_holds; /* the first engine alone holds the memory */
	double read_ms;	 /* of the part that each engine reads */
};

/* What came of looking for an endpoint. */
enum pool_found {
	POOL_WAIT, /* none is free for it now */
	POOL_CHOSEN,
	POOL_LATE, /* the best there is would end past its deadline */
};

/* The ways to dispatch. */
struct dl_pool_policy {
	const char *name;
	bool queues;  /* late binding: wait for an endpoint to be free */
	bool gathers; /* memory for what fits nowhere at once */
	enum pool_found (*choose)(struct dl_pool *pool,
				  const struct pool_want *want, int64_t now,
				  struct pool_choice *out);
	/* The rest may be NULL: what late binding does then holds. */
	int64_t (*service_ms)(const struct dl_pool *pool,
			      const struct pool_want *want);
	/* When one that is refused as late may find a place, from now. */
	int64_t (*back_ms)(const struct dl_pool *pool,
			   const struct pool_want *want, int64_t now);
	void (*granted)(struct dl_pool *pool, const struct pool_grant *g,
			double read_ms, int64_t now);
	/* Dispatching begins here; NULL where nothing is to be done. */
	void (*lead)(struct dl_pool *pool, int64_t now);
	/* Its first event came; NULL where that teaches nothing. */
	void (*first)(struct dl_pool *pool, const struct pool_grant *g,
		      int64_t now);
	void (*learn)(struct pool_endpoint *e, const struct pool_grant *g,
		      const struct dl_usage *usage);
};

/* pool.c */
uint64_t pool_mix(uint64_t x);
uint64_t pool_random(struct dl_pool *pool);
uint64_t pool_tokens(uint64_t claimed);
uint64_t pool_domain(const struct dl_name *name);
bool pool_is_away(const struct pool_want *want, const struct pool_endpoint *e);
uint8_t pool_level(const struct pool_want *want);
/* pool_endpoint.c */
void pool_endpoint_expire(struct dl_pool *pool, int64_t now);
void pool_endpoint_unreachable(struct dl_pool *pool, struct pool_endpoint *e,
			       int64_t now);
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

/* pool_limit.c */
struct pool_workspace *pool_workspace_get(struct dl_pool *pool,
					  struct dl_str name);
uint32_t pool_workspace_weight(const struct dl_pool *pool,
			       const struct pool_workspace *ws);
enum dl_reason pool_limit_check(struct dl_pool *pool, struct pool_workspace *ws,
				int64_t now, uint32_t *retry_after_ms);
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
bool pool_queue_room(const struct dl_pool *pool, uint32_t entries,
		     uint64_t tokens, uint64_t freed);
struct pool_request *pool_queue_victim(struct dl_pool *pool,
				       const struct pool_want *want,
				       double strain, int64_t now);
struct pool_flow *pool_flow_find(const struct pool_workspace *ws, uint8_t lane);
struct pool_request *pool_queue_head(const struct dl_pool *pool, uint8_t lane,
				     uint32_t nth);
struct pool_request *pool_queue_next(const struct pool_request *req);
uint8_t pool_lane_of(const struct pool_want *want);
void pool_queue_weigh(struct dl_pool *pool);
void pool_queue_yield(struct dl_pool *pool, struct pool_request *req);

/* pool_admit.c */
double pool_margin(double deviation);
int64_t pool_service_ms(const struct dl_pool *pool,
			const struct pool_want *want);
double pool_load(const struct dl_pool *pool, uint8_t classes, int64_t now);
int64_t pool_wait_ms(const struct dl_pool *pool, const struct pool_want *want,
		     const struct pool_request *req,
		     const struct pool_workspace *ws, int64_t now);
enum dl_reason pool_admit_ever(const struct dl_pool *pool,
			       const struct pool_want *want, int64_t now);
uint32_t pool_retry_after(struct dl_pool *pool, const struct pool_want *want,
			  int64_t short_ms, int64_t now);
double pool_strain(const struct dl_pool *pool, const struct pool_want *want,
		   const struct pool_request *req,
		   const struct pool_workspace *ws, int64_t now);
void pool_admit_recheck(struct dl_pool *pool, int64_t now);
void pool_admit_learn(struct dl_pool *pool, const struct pool_request *req,
		      bool ended, int64_t now);

/* pool_place.c */
bool pool_endpoint_open(const struct dl_pool *pool,
			const struct pool_endpoint *e);
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
bool pool_throttle_takes(const struct pool_endpoint *e,
			 const struct pool_want *want, int64_t now);
void pool_throttle_take(struct pool_endpoint *e, const struct pool_want *want,
			int64_t now);
double pool_throttle_rate(const struct dl_pool *pool,
			  const struct pool_endpoint *e, double rate);
void pool_throttle_reset(struct pool_endpoint *e);

/* pool_backoff.c */
bool pool_backoff_holds(const struct dl_pool *pool,
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
void pool_backlog_undo(struct pool_endpoint *e, uint8_t level, int64_t rest_ms,
		       int64_t now);
void pool_backlog_report(struct dl_pool *pool, struct pool_endpoint *e,
			 bool first, int64_t now);
uint64_t pool_excess_low(const struct pool_excess *excess);

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

/* pool_shift.c */
void pool_shift_learn(struct dl_pool *pool, struct pool_grant *g,
		      const struct dl_usage *usage, int64_t now);
void pool_shift_overdue(struct dl_pool *pool, struct pool_endpoint *e,
			int64_t now);
void pool_shift_judge(struct dl_pool *pool, struct pool_endpoint *e,
		      int64_t now);
void pool_shift_recall(struct dl_pool *pool, int64_t now);
void pool_shift_gone(struct dl_pool *pool, struct pool_endpoint *e);
void pool_shift_back(struct dl_pool *pool, struct pool_endpoint *e,
		     int64_t now);
void pool_shift_reset(struct dl_pool *pool, struct pool_endpoint *e);
void pool_shift_tick(struct dl_pool *pool, struct pool_endpoint *e,
		     int64_t now);
uint32_t pool_shift_slots(const struct pool_endpoint *e, int64_t now);
struct pool_endpoint *pool_shift_probe(struct dl_pool *pool,
				       const struct pool_want *want,
				       int64_t now);

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
