/*
 * The entry: what its parts share.  One loop, one thread; a part is one file.
 *
 *   entry.c       start, stop, frames to their parts
 *   entry_http.c  the doors: which path goes where
 *   entry_call.c  the life of one request
 *   entry_read.c  what a request is
 *   entry_claim.c its idempotency key
 *   entry_answer.c what its caller is told
 *   entry_try.c   one attempt of it at an endpoint
 *   entry_route.c requests that are passed on as they are: where they go
 *   entry_relay.c one attempt of such a request
 *   entry_reservation.c memory for prompts that no one engine holds
 *   entry_quarantine.c requests under which endpoints crash
 *   entry_limit.c limits that endpoints name of themselves
 *   entry_backoff.c endpoints that ask this VM to wait
 *   entry_lease.c whether the configuration here may still be trusted
 *   entry_grant.c asking dispatchers, holding and giving back grants
 *   entry_renew.c keeping what was granted
 *   entry_pool.c  dispatching for the pools of this failure domain
 *   entry_cmd.c   commands to the replicas
 *   entry_conf.c  the configuration in force
 *   entry_ops.c   operators' doors
 *   entry_trace.c what became of recent requests
 */
#ifndef DL_MAIN_ENTRY_H
#define DL_MAIN_ENTRY_H

#include <glib.h>
#include <inttypes.h>

#include "daisyledge/backoff.h"
#include "daisyledge/call.h"
#include "daisyledge/conf.h"
#include "daisyledge/cstore.h"
#include "daisyledge/directory.h"
#include "daisyledge/reports.h"
#include "daisyledge/lease.h"
#include "daisyledge/pool.h"
#include "main/node.h"
#include "main/quarantine.h"
#include "protocol/api.h"
#include "protocol/pool_codec.h"
#include "protocol/sse.h"
#include "transport/httpd.h"

#define REQUEST_ID_TEXT 48
#define SPANS_MAX	12

/* A pool of this failure domain: led here, or kept in case it must be. */
struct entry_pool {
	struct entry_pool *next;
	struct dl_name service;
	struct dl_pool *pool;
	bool dispatching;
	bool all_silent; /* no endpoint is heard */
	GHashTable
		*announced; /* endpoint to its last struct announced_endpoint */
	struct dl_spill spill;
	int64_t dispatching_since;
	struct held_ask *held_asks; /* until the endpoints are known */
	uint64_t limits_sent_to;    /* the dispatcher that was told of limits */
	int64_t limit_seen_at; /* when an answer named one last; 0: never */
};

/* What an endpoint announced that only the order planner asks for. */
struct announced_endpoint {
	int64_t heard_at;
	uint64_t incarnation;
	bool leaving;
	struct dl_name models[DL_ANNOUNCED_MODELS_MAX];
	uint32_t models_count;
	struct dl_name version, role;
};

/* What the dispatcher of another failure domain last said of its pool. */
struct remote_pool {
	struct remote_pool *next;
	struct dl_name service;
	struct dl_name domain;
	struct dl_pool_summary summary;
	int64_t heard_at;
};

/* One hop of a request, for traces; times since the request came. */
struct span {
	const char *name;
	uint32_t from_ms, to_ms;
	char peer[24];
};

/* The head of an endpoint's answer to a routed request. */
struct response_head {
	bool not_run;
	bool wrong_request;	 /* it answers another request */
	bool is_event_stream;	 /* a stream, passed on event by event */
	bool event_too_long;	 /* an event past its bound */
	bool leaving;		 /* the endpoint is */
	bool backoff_requested;	 /* until retry_after_ms from then */
	uint32_t retry_after_ms; /* as the endpoint says; 0: not said */
	struct dl_name at_fault; /* a helper that is, as the lead says */
	size_t content_length;	 /* SIZE_MAX: not said */
};

/* What a routed request has beside the others. */
struct call_route {
	enum dl_route_kind kind;
	struct dl_name attempt_id; /* the caller's */
	struct dl_name instance;   /* the start that it was sent to last */
	uint32_t target_ms, gap_ms;
	uint32_t give_up_ms;	/* callers do after such a silence */
	uint32_t attempts_max;	/* endpoints that it may be sent to */
	uint32_t tries;		/* grants that led to an endpoint, or nowhere */
	uint32_t free_failures; /* endpoints that could not be reached */
	uint32_t sent;		/* those at which it may have run */
	uint64_t last_event_id; /* the last event that the caller has */
	bool resumes;		/* the endpoint begins behind after_event */
	int64_t last_event_at;	/* the last event that was passed on */
	uint32_t longest_pause_ms; /* the longest between two of them */
	struct response_head head;
};

enum call_state {
	CALL_PARSING,	      /* its body is parsed beside the loop */
	CALL_AWAITING_CONFIG, /* which version is in force is not known for sure
			       */
	CALL_CLAIMING,	      /* its idempotency key */
	CALL_ASKING,	      /* no word from the dispatcher yet */
	CALL_QUEUED,
	CALL_RUNNING,	/* at an endpoint */
	CALL_RECORDING, /* its outcome, under its idempotency key */
};

struct entry;

/*
 * Whoever holds a request of the server; the first member of what is kept with
 * it.  gone: the request is freed afterwards, and must not be answered.
 */
struct http_owner {
	void (*closed)(struct http_owner *self);
	void (*drained)(struct http_owner *self); /* may be NULL */
};

/* One request of a caller, from its arrival to its answer. */
struct call {
	struct http_owner http_owner; /* first */
	struct entry *e;
	struct call *next, *prev;
	struct dl_httpd_req *http; /* NULL once the caller has gone */
	enum call_state state;
	uint64_t id;
	char id_text[REQUEST_ID_TEXT];
	uint64_t
		claim_owner; /* of its claims: the same id, unique everywhere */
	int64_t arrived_at, deadline;
	int64_t granted_at; /* the last time; 0 for never */

	/* what it is */
	struct dl_name service;
	enum dl_pool_kind kind;
	bool stream;
	bool idempotent;
	struct dl_name workspace;
	struct dl_name class_name;
	enum dl_class class;
	uint64_t prompt_bytes;
	uint64_t prompt_tokens, output_tokens;
	uint64_t prefix;
	uint32_t prefix_tokens;
	uint32_t connect_ms, gap_ms;
	uint32_t retry_permille;
	uint64_t content_hash; /* hash of its path, workspace and body */
	size_t buffered;       /* counted against this VM's bound */

	struct reservations
		*reservations; /* memory on engines; NULL for none */
	bool routed;	       /* passed on as it is, see entry_route.c */
	struct call_route route;

	/* asking */
	uint64_t ask_id; /* of the ask in flight, 0 for none */
	uint64_t dispatcher;
	struct dl_name domain; /* whose pool is asked */
	int64_t asked_at, ask_again_at;
	int64_t wait_started_at; /* in its state, while it asks or is queued */
	uint32_t unsure_ms;	 /* waited until the version was sure */
	uint32_t asking_ms;	 /* waited for a dispatcher's answer in all */
	uint32_t queued_ms;	 /* and in queues */
	uint32_t asks_lost;
	uint32_t not_dispatcher_replies; /* asks of a VM that did not know that
					  * it dispatches
					  */
	bool placed_locally;	    /* placed here for want of a dispatcher */
	uint32_t spill_tried_count; /* domains tried beside the first */
	struct dl_name spill_tried[DL_SPILL_MAX + 1];
	struct dl_name hints[DL_SPILL_MAX]; /* domains that were named */
	uint32_t hints_count;
	struct dl_answer last_refusal;
	enum dl_reason reason; /* of the final refusal */
	uint32_t retry_ms;     /* and when the caller may come back */
	bool refused;
	bool redirected; /* by the own domain's dispatcher, which has not
			  * refused
			  */

	/* granted */
	struct dl_ask_frame ask; /* as last sent; its workspace is ours */
	struct dl_answer grant;
	bool granted;
	uint32_t grants_unused; /* grants given back, as an endpoint asked to
				   wait */
	uint32_t lease_ms;
	int64_t renew_at;

	/* attempts */
	struct dl_httpc_call *attempt;
	struct dl_completion completion;
	struct parse_job *parse_job; /* beside the loop, NULL when done */
	char *body_first;	     /* of the attempt in flight */
	uint32_t attempts;
	bool aborted_unsent; /* the attempt was given up before it was sent */
	uint8_t tried_count;
	struct dl_name tried_ids[3];
	uint64_t endpoint_start; /* of the endpoint that it was sent to; 0: not
				    known */
	int64_t attempt_at, first_byte_at;
	struct dl_sse sse;
	bool sse_done, sse_bad;
	uint64_t chunks_received; /* chunks of text from the endpoint */
	uint64_t relayed;	  /* chunks given to the caller */
	uint64_t resume_offset; /* chunks of a resumed stream already relayed */
	bool deadline_passed;	/* its deadline had passed at the last tick */
	bool may_have_run;	/* some attempt is not provably "not run" */
	bool response_started;	/* the caller has the head of the answer */
	uint16_t status;	/* the endpoint's */
	GString *response_buf;	/* of an answer that is given whole */
	GPtrArray *response_headers; /* of a plain service's answer, names and
					values */
	size_t response_length;	     /* its content length, SIZE_MAX unknown */
	uint64_t used_prompt, used_output;
	struct dl_usage usage;

	/* idempotency */
	struct dl_str key; /* claim key, owned */
	uint64_t body_hash;
	bool claimed;
	uint64_t outcome_cmd;	  /* command id, 0 for none */
	int64_t outcome_deadline; /* the answer waits for it no longer */
	uint64_t claim_cmd;

	/* the answer, kept while its outcome is recorded */
	enum dl_outcome outcome;
	GString *final_body;

	struct span spans[SPANS_MAX];
	uint32_t spans_count;
};

/* A command to the replicas; done is called once, also on failure. */
struct entry_cmd_done {
	void (*done)(void *arg, const struct dl_cstore_reply *reply);
	void *arg;
};

/* Who a path is for; a door serves one or more of them. */
enum listener_use {
	LISTENER_CALLERS = 1,
	LISTENER_ENDPOINTS = 2,
	LISTENER_OPERATORS = 4,
	LISTENER_READY = 8, /* the balancer's */
	LISTENER_ANY = 15,  /* health: on every door */
};

/* One address that is listened on. */
struct listener {
	struct entry *e;
	unsigned uses;
	struct dl_httpd *httpd;
};

#define LISTENERS_MAX 4

struct entry {
	struct dl_node node;
	struct listener listeners[LISTENERS_MAX];
	uint32_t listeners_count;
	struct dl_httpc *httpc;

	/* configuration in force */
	struct dl_conf *conf;
	char *conf_text;
	size_t conf_text_n;
	struct conf_reading *conf_reading; /* a newer one, beside the loop */
	struct conf_reading *conf_next;	   /* the one after it */
	int64_t conf_read_not_before;	   /* nothing is read before, */
	int64_t conf_waiting_since;	   /* unless something waits for long */
	int64_t conf_last_read_at;	   /* the last one, beside the loop */
	char *conf_pushed; /* the same as it came, for those who ask us */
	size_t conf_pushed_n;
	uint64_t version;
	int64_t conf_pulled_at;
	int64_t replica_heard_at;

	struct dl_lease lease;
	bool lease_logged;
	struct dl_directory *directory;
	struct dl_reports *reports; /* that replicas passed on */
	struct dl_backoff *backoff; /* of endpoints towards this VM */
	struct quarantine quarantine;
	GPtrArray *probes; /* of endpoints at which attempts broke off */

	/* dispatching */
	struct entry_pool *pools;
	struct remote_pool *remote_pools;
	GHashTable *unreachable_vms; /* VM that does not answer to when that was
					last seen */
	int64_t summaries_sent_at;
	int64_t metrics_updated_at;

	/* requests */
	struct call *calls;
	uint32_t calls_count;
	uint64_t next_id;
	GHashTable *asks;	   /* ask id to its call */
	GHashTable *retry_budgets; /* service to its retry budget */
	GHashTable
		*bytes_per_token; /* workspace to bytes a token, thousandths */
	uint64_t buffered;

	/* commands and questions to the replicas */
	struct entry_cmd *cmds;
	uint64_t next_cmd;
	uint64_t leader; /* best guess */
	uint32_t next_replica;

	struct trace *traces; /* a ring */
	uint32_t traces_next;

	int64_t started_at;
	bool draining; /* by signal or by the operators */
	int64_t stop_at;
};

int64_t entry_now(const struct entry *e);

/* entry_http.c */
void entry_http_request(void *arg, struct dl_httpd_req *req);
void entry_http_json(struct dl_httpd_req *req, uint16_t status, char *json);
void entry_http_error(struct dl_httpd_req *req, uint16_t status,
		      const char *reason, const struct dl_err *err);

/* entry_call.c */
void entry_call_completion(struct entry *e, struct dl_httpd_req *req);
void entry_call_plain(struct entry *e, struct dl_httpd_req *req);

void entry_call_tick(struct entry *e, int64_t now);
/* The final word: answers the caller, releases, traces, frees. */
void entry_call_refuse(struct call *c, enum dl_reason reason, enum dl_step step,
		       uint64_t peer, uint32_t retry_ms);
void entry_call_end(struct call *c, enum dl_outcome outcome, uint16_t status,
		    const char *reason, const struct dl_err *err);
void entry_call_complete(struct call *c);
void entry_call_span(struct call *c, const char *name, int64_t from,
		     const char *peer);
void entry_calls_abort(struct entry *e);
struct dl_retry_budget *entry_call_retry_budget(struct call *c);

/* entry_route.c */
void entry_route_request(struct entry *e, struct dl_httpd_req *req);
/* The version in force is sure: those that wait for it go on. */
void entry_route_resume(struct entry *e);
/* Refuse one that has waited for it in vain, at its deadline. */
void entry_route_refuse_no_quorum(struct call *c);
bool entry_route_authorize(struct call *c, const struct dl_route_conf **route);
bool entry_route_has_service(const struct call *c,
			     const struct dl_route_conf *route);

/* entry_relay.c */
void entry_relay_start(struct call *c);
void entry_relay_send(struct call *c);
void entry_relay_no_memory(struct call *c);

/* entry_reservation.c */
bool entry_reservation_needed(const struct call *c);
void entry_reservation_start(struct call *c);
void entry_reservation_note_refused(struct call *c);
struct dl_str entry_reservation_id(const struct call *c, struct dl_str address);
void entry_reservation_release(struct call *c);
void entry_reservation_tick(struct entry *e, int64_t now);

/* entry_quarantine.c */
void entry_quarantine_open(struct entry *e);
void entry_quarantine_crashed(struct entry *e, uint64_t start);
void entry_quarantine_attempt(struct call *c, const struct dl_attempt *attempt,
			      const struct dl_err *err);
void entry_quarantine_answered(struct call *c);
bool entry_quarantine_refuses(struct call *c);
void entry_quarantine_frame(struct entry *e, const struct dl_frame *f);
void entry_quarantine_up(struct entry *e, uint64_t vm);
void entry_quarantine_tick(struct entry *e, int64_t now);

/* entry_limit.c */
void entry_limit_named(struct call *c, uint32_t limit);
void entry_limit_frame(struct entry *e, uint64_t from,
		       const struct dl_frame *frame);
void entry_limit_tick(struct entry *e, int64_t now);

/* entry_backoff.c */
uint32_t entry_backoff_left_ms(const struct entry *e, struct dl_str address,
			       uint64_t start);
bool entry_backoff_named(const struct call *c, const struct dl_name *address,
			 uint64_t start, uint16_t status,
			 uint32_t retry_after_ms);
void entry_backoff_add(struct call *c);
bool entry_backoff_holds(const struct call *c);
void entry_backoff_give_back(struct call *c);

/* entry_lease.c */
bool entry_lease_holds(const struct entry *e);
bool entry_lease_ready(const struct entry *e);
void entry_lease_version(struct entry *e);
void entry_lease_frame(struct entry *e, uint64_t from,
		       const struct dl_frame *frame);
void entry_lease_tick(struct entry *e, int64_t now);
/* How long a request without a word of the group may wait for one, ms. */
uint32_t entry_lease_patience(const struct entry *e, uint32_t left_ms);

/* entry_try.c */
void entry_try_start(struct call *c);
void entry_try_cancel(struct call *c);
void entry_try_begin_stream(struct call *c);

/* entry_grant.c */
void entry_grant_ask(struct call *c);
void entry_grant_answer(struct entry *e, uint64_t from,
			const struct dl_answer_frame *f);
void entry_grant_release(struct call *c);
/* Its first event has come. */
void entry_grant_first_event(struct call *c);
void entry_grant_cancel(struct call *c);
void entry_grant_down(struct entry *e, uint64_t vm);
void entry_grant_tick(struct entry *e, int64_t now);

/* entry_renew.c */
void entry_renew_gone(struct entry *e, uint64_t from, struct dl_str body);

/* entry_pool.c */
struct entry_pool *entry_pool_find(struct entry *e, struct dl_str service);
uint64_t entry_pool_owner(struct entry *e, struct dl_str service,
			  struct dl_str domain);
void entry_pool_configure(struct entry *e);
void entry_pool_down(struct entry *e, uint64_t vm);
void entry_pool_drain(struct entry *e, struct entry_pool *p,
		      const struct dl_name *id);
bool entry_pool_is_own(const struct entry *e, struct dl_str domain);
void entry_pool_frame(struct entry *e, uint64_t from,
		      const struct dl_frame *frame);
void entry_pool_ask(struct entry *e, struct entry_pool *p,
		    const struct dl_ask_frame *f, bool local);
void entry_pool_cancel(struct entry *e, struct entry_pool *p, uint64_t entry,
		       uint64_t request);
void entry_pool_member(struct entry *e, const struct dl_member *m);
void entry_pool_tick(struct entry *e, int64_t now);

/* entry_announce.c */
/* Number of the start at an address, the same on all VMs; 0: not known. */
uint64_t entry_endpoint_start(struct entry *e, struct dl_str service,
			      struct dl_str address);
int entry_announce_take(struct entry *e, struct dl_announcement *a);
void entry_announce_leaves(struct entry *e, struct dl_str address,
			   struct dl_str instance, uint64_t dispatcher);
void entry_announce_alive(struct entry *e, uint64_t from,
			  const struct dl_frame *f);
void entry_announce_words(struct entry *e, uint64_t from,
			  const struct dl_frame *f);
void entry_announce_frame(struct entry *e, uint64_t from,
			  const struct dl_frame *f);

/* entry_reach.c */
void entry_reach_lost(struct entry *e, uint64_t vm);
void entry_reach_heard(struct entry *e, uint64_t vm);
void entry_reach_tick(struct entry *e);

/* entry_far.c */
bool entry_far_fresh(const struct entry *e, const struct remote_pool *far,
		     struct dl_str service);
void entry_far_offer(struct entry *e, struct dl_str service,
		     struct dl_answer_frame *f);
void entry_far_frame(struct entry *e, uint64_t from, const struct dl_frame *f);
void entry_far_tell(struct entry *e, const struct entry_pool *p,
		    const struct dl_pool_summary *summary);
void entry_far_down(struct entry *e, uint64_t vm);

/* entry_cmd.c */
uint64_t entry_cmd_send(struct entry *e, const struct dl_cstore_cmd *cmd,
			uint32_t time_ms, struct entry_cmd_done done);
/* A question whose answer is JSON; done gets it in reply->outcome. */
uint64_t entry_cmd_query(struct entry *e, uint64_t vm, struct dl_str question,
			 uint32_t time_ms, struct entry_cmd_done done);
void entry_cmd_forget(struct entry *e, uint64_t id);
void entry_cmd_drop(struct entry *e, uint64_t id);
void entry_cmd_frame(struct entry *e, uint64_t from,
		     const struct dl_frame *frame);
void entry_cmd_tick(struct entry *e, int64_t now);
/* Have a guess at who leads. */
void entry_cmd_leader(struct entry *e);
/* As many as a group may have members, on their way in or out. */
#define ENTRY_REPLICAS_MAX 16
/* The replicas as far as they are known; returns how many. */
uint32_t entry_cmd_replicas(const struct entry *e, uint64_t *out);
bool entry_cmd_is_replica(struct entry *e, uint64_t vm);

/* entry_conf.c */
void entry_conf_frame(struct entry *e, uint64_t from,
		      const struct dl_frame *frame);
void entry_conf_member(struct entry *e, const struct dl_member *m);
void entry_conf_shown(struct entry *e, uint64_t version, uint64_t vm);
void entry_conf_tick(struct entry *e, int64_t now);

/* entry_ops.c */
void entry_ops_config_post(struct entry *e, struct dl_httpd_req *req);
void entry_ops_config_get(struct entry *e, struct dl_httpd_req *req);
void entry_ops_history(struct entry *e, struct dl_httpd_req *req);
void entry_ops_status(struct entry *e, struct dl_httpd_req *req);

/* Another VM asks what this one knows. */
void entry_ops_frame(struct entry *e, uint64_t from,
		     const struct dl_frame *frame);

/* entry_trace.c */
void entry_trace_add(struct entry *e, const struct call *c,
		     enum dl_outcome outcome, uint16_t status);
char *entry_trace_json(const struct entry *e);

#endif
