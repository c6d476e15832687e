/*
 * Declarations shared by the parts of the entry, the process that accepts
 * callers' requests and dispatches them to endpoints.  It runs one event loop
 * in one thread; each part is one file.
 *
 *   entry.c            start, stop, delivery of frames to the other parts
 *   entry_http.c       HTTP listeners and the table of paths
 *   entry_call.c       life cycle of one request
 *   entry_read.c       parsing and checking a request
 *   entry_claim.c      idempotency keys
 *   entry_answer.c     responses to the caller
 *   entry_try.c        one attempt of an API request at an endpoint
 *   entry_attempt.c    what all kinds of attempts share
 *   entry_route.c      routing and admission of requests passed on unchanged
 *   entry_relay.c      one attempt of such a request
 *   entry_retry.c      whether the retry budget covers a repeat
 *   entry_reservation.c memory reserved for prompts too large for one engine
 *   entry_lost.c       attempts at endpoint instances that are gone
 *   entry_quarantine.c requests that crash endpoints
 *   entry_limit.c      request rate limits that endpoints announce themselves
 *   entry_backoff.c    endpoints that asked this VM to back off
 *   entry_evacuation.c evacuated failure domains
 *   entry_leaving.c	endpoints that leave while no other one is open
 *   entry_lease.c      whether the local configuration is known to be current
 *   entry_grant.c      requesting grants from dispatchers, returning them
 *   entry_hedge.c      requests for a grant that a second VM gets as well
 *   entry_renew.c      renewing the leases of grants
 *   entry_pool.c       dispatching for the pools of this failure domain
 *   entry_announce.c   announcements of endpoints
 *   entry_reach.c      VMs that do not respond to this one
 *   entry_recover.c    load of engines after this VM has begun to dispatch
 *   entry_remote.c     pools of other failure domains
 *   entry_path.c       endpoints that this VM cannot connect to by itself
 *   entry_check.c      whose fault it is that attempts broke
 *   entry_cmd.c        commands and queries to the replicas
 *   entry_conf.c       the configuration in force
 *   entry_conf_slices.c large deltas, applied in slices
 *   entry_conf_store.c what is kept of it, answers to pulls
 *   entry_ops.c        operators' HTTP API
 *   entry_trace.c      traces of recent requests
 */
#ifndef DL_ENTRY_ENTRY_H
#define DL_ENTRY_ENTRY_H

#include <glib.h>
#include <inttypes.h>

#include "coordination/ask_timer.h"
#include "coordination/hedge.h"
#include "coordination/stop.h"
#include "coordination/unreported.h"
#include "daisyledge/backoff.h"
#include "daisyledge/call.h"
#include "daisyledge/conf.h"
#include "daisyledge/cstore.h"
#include "daisyledge/directory.h"
#include "daisyledge/reports.h"
#include "daisyledge/lease.h"
#include "daisyledge/paths.h"
#include "daisyledge/pool.h"
#include "daisyledge/retry.h"
#include "node/departures.h"
#include "node/node.h"
#include "node/quarantine.h"
#include "protocol/api.h"
#include "protocol/pool_codec.h"
#include "protocol/sse.h"
#include "transport/httpd.h"
#include "transport/tunnel.h"

#define REQUEST_ID_TEXT 48
#define SPANS_MAX	12

/* How much longer than expected the requests of a pool take. */
struct pool_overrun {
	struct dl_overrun requests;
	double factor; /* as of the last tick of a stop */
};

/*
 * A pool of this failure domain: dispatched by this VM, or kept as a standby
 * for the case that its dispatcher fails.
 */
struct entry_pool {
	struct entry_pool *next;
	struct dl_name service;
	struct dl_pool *pool;
	bool dispatching;
	bool all_silent;		    /* no endpoint sends heartbeats */
	enum dl_pool_service service_state; /* as logged */
	/* Endpoint id to its latest struct announced_endpoint. */
	GHashTable *announced;
	struct dl_spill spill;
	int64_t dispatching_since;
	struct deferred_ask *deferred_asks; /* until endpoints have reported */
	uint64_t limits_sent_to;	    /* dispatcher that has the limits */
	int64_t limit_seen_at;	      /* in a response, latest; 0: never */
	struct dl_cause probed_cause; /* of the last probe */
	int64_t probe_until;	      /* no other one before */
	struct dl_retry_share retry_share;
	struct dl_retry_budget retry_budget; /* collected from other VMs */
	struct dl_retry_limit retry_limit;
	uint32_t retries_charged, retries_denied; /* since the last line */
	struct pool_overrun overrun[2];		  /* of calls, and of streams */
};

/* What an endpoint announced that only the planner of orders uses. */
struct announced_endpoint {
	int64_t heard_at;
	uint64_t incarnation;
	bool leaving;
	struct dl_leaving departure; /* in ms since boot */
	int64_t staying_at; /* it told this VM that it is ready; boot ms */
	struct dl_name models[DL_ANNOUNCED_MODELS_MAX];
	uint32_t models_count;
	struct dl_name version, role;
};

/* The latest summary from the dispatcher of another failure domain's pool. */
struct remote_pool {
	struct remote_pool *next;
	struct dl_name service;
	struct dl_name domain;
	struct dl_pool_summary summary;
	int64_t heard_at;
};

/* One step of a request in its trace; times are since its arrival. */
struct span {
	const char *name;
	uint32_t from_ms, to_ms;
	char peer[24];
};

/* The head of an endpoint's response to a routed request. */
struct response_head {
	bool not_run;		 /* the request was not executed */
	bool wrong_request;	 /* not proved to be of this request */
	bool stale_connection;	 /* that, where others had used it before */
	const char *ids;	 /* own, other, none or several; for logs */
	bool is_event_stream;	 /* forwarded event by event */
	bool event_too_long;	 /* an event exceeds the limit */
	bool holds_response;	 /* another response begins in its body */
	bool placed;		 /* an event of it has an id */
	bool unplaced;		 /* it continues a stream with no id */
	bool other_type;	 /* its type is given, and not that of events */
	bool leaving;		 /* the endpoint is shutting down */
	bool backoff_requested;	 /* for retry_after_ms */
	uint32_t retry_after_ms; /* 0: not given */
	struct dl_name at_fault; /* helper that the lead says failed */
	size_t content_length;	 /* SIZE_MAX: not given */
};

/* State that only routed requests have. */
struct call_route {
	bool new_connection; /* the next attempt may not use a kept one */
	struct dl_name stale_endpoint; /* of the last one, if it was stale */
	enum dl_route_kind kind;
	struct dl_str
		attempt_id;	 /* the caller's id, in its request's headers */
	struct dl_name instance; /* endpoint instance sent to last */
	int64_t sent_at_boot;	 /* start of that attempt, ms since boot */
	uint32_t target_ms, gap_ms;
	uint32_t caller_silence_ms; /* silence after which callers give up */
	uint32_t attempts_max;	    /* endpoints it may be sent to */
	uint32_t tries;		    /* grants used up, sent or not */
	uint32_t free_failures;	    /* failures that use up no try */
	uint32_t sent;		    /* attempts that may have run it */
	uint64_t last_event_id;	    /* the last one the caller has */
	bool last_event_unnumbered; /* its last event has no id */
	bool events_begun;	    /* the caller's response is of events */
	uint32_t event_tokens;	    /* output tokens of one event */
	bool resumes;		    /* starts after last_event_id */
	int64_t last_event_at;	    /* when it was forwarded */
	uint32_t longest_pause_ms;  /* between two events */
	int64_t whole_event_at; /* the last one arrived, comments included */
	int64_t trickle_checked_at; /* when bytes without an event were judged
				     */
	struct response_head head;
};

enum call_state {
	CALL_PARSING,	      /* its body, in the thread pool */
	CALL_AWAITING_CONFIG, /* confirmation of the version in force */
	CALL_CLAIMING,	      /* its idempotency key */
	CALL_ASKING,	      /* no reply from the dispatcher yet */
	CALL_QUEUED,	      /* by the dispatcher */
	CALL_RUNNING,	      /* at an endpoint */
	CALL_RECORDING,	      /* its outcome, under its idempotency key */
};

/* The VM that a grant request was sent to besides the dispatcher. */
struct call_hedge {
	struct dl_hedge order;
	uint64_t vm; /* valid while order.second is not DL_HEDGE_NONE */
	int64_t asked_at;
	/* Dispatcher that had not answered when that VM's grant was used, if
	 * order.unanswered. */
	uint64_t unanswered;
};

enum call_retry_state {
	CALL_RETRY_NONE,
	CALL_RETRY_ASKED,   /* the dispatcher has not answered yet */
	CALL_RETRY_ALLOWED, /* the next attempt is covered */
	CALL_RETRY_DENIED,
};

/* Whether the retry budget covers the next attempt; see entry_retry.c. */
struct call_retry {
	enum call_retry_state state;
	enum dl_retry_way way;
	bool credit_sent; /* that of this request */
	uint64_t id;	  /* of the question to the dispatcher */
	uint64_t vm;	  /* that was asked */
	int64_t asked_at;
	uint32_t lost; /* questions that were not answered */
	/* What has ended, while the answer is waited for. */
	bool attempt_ended;
	enum dl_next next;
	enum dl_outcome outcome;
	struct dl_attempt attempt;
	struct dl_err err;
	bool complete; /* a whole response is at hand */
};

struct entry;

/*
 * Callbacks of the owner of a server's HTTP request; the first member of the
 * structure that is attached to the request.  closed: the caller has left; the
 * request is freed afterwards, and must not be answered.  drained: the caller
 * has read what was sent.
 */
struct http_owner {
	void (*closed)(struct http_owner *self);
	void (*drained)(struct http_owner *self); /* may be NULL */
};

/* One request of a caller, from its arrival to its response. */
struct call {
	struct http_owner http_owner; /* first */
	struct entry *e;
	struct call *next, *prev;
	struct dl_httpd_req *http; /* NULL once the caller has left */
	enum call_state state;
	uint64_t id;
	char id_text[REQUEST_ID_TEXT];
	uint64_t claim_owner; /* hash of id_text: owner of its claims */
	int64_t arrived_at, deadline;
	int64_t whole_at;   /* the body had arrived */
	int64_t granted_at; /* the last time; 0: never */

	/* the request */
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
	uint64_t content_hash; /* see call_content() */
	/* From its admission to its end, as expected then; 0: not known. */
	uint32_t expected_ms;
	uint32_t longest_ms;   /* the same, for all that the caller allows */
	int64_t expected_from; /* when that was */
	/* Parts of the prompt that other requests may have too; allocated. */
	uint64_t *shared_parts;
	uint32_t shared_parts_count;
	bool probes; /* it may tell which cause crashes endpoints */
	bool has_probed;
	struct dl_cause probed_cause;
	uint64_t blamed_part; /* that is quarantined; 0: none */
	size_t buffered;      /* bytes counted against buffer_mb */
	size_t held;	      /* of its answer, see entry_held.c */
	bool awaits_memory;   /* its answer is not read */

	struct reservations *reservations; /* on engines; NULL for none */
	bool routed; /* forwarded unchanged, see entry_route.c */
	struct call_route route;

	/* requesting a grant from a dispatcher */
	uint64_t ask_id; /* of the pending ask; 0: none */
	uint64_t dispatcher;
	struct dl_name domain; /* failure domain whose pool is asked */
	int64_t asked_at, ask_again_at;
	int64_t asked_at_boot;	 /* the same as asked_at, in ms since boot */
	int64_t wait_started_at; /* in CALL_ASKING or CALL_QUEUED */
	uint32_t unsure_ms;	 /* total in CALL_AWAITING_CONFIG */
	uint32_t asking_ms;	 /* total in CALL_ASKING */
	uint32_t queued_ms;	 /* total in CALL_QUEUED */
	uint32_t asks_lost;
	/* From VMs that had not learnt yet that they are the dispatcher. */
	uint32_t not_dispatcher_replies;
	struct call_hedge hedge;
	bool placed_locally;	    /* without a dispatcher */
	uint32_t spill_tried_count; /* domains asked before this one */
	struct dl_name spill_tried[DL_SPILL_MAX + 1];
	struct dl_name hints[DL_SPILL_MAX]; /* domains to try */
	uint32_t hints_count;
	struct dl_answer last_refusal;
	enum dl_reason reason; /* of the final refusal */
	uint32_t retry_ms;     /* and when the caller may retry */
	bool refused;
	/* By the dispatcher of this VM's domain, which has not refused it. */
	bool redirected;

	/* the grant */
	struct dl_ask_frame ask; /* as last sent; workspace points here */
	struct dl_answer grant;
	int64_t grant_left_since; /* boot ms, see entry_leaving.c */
	bool granted;
	uint32_t grants_unused; /* returned because of an endpoint's backoff */
	uint32_t grants_evacuated; /* returned because of an evacuation */
	uint32_t lease_ms;
	int64_t renew_at;

	struct call_retry retry;

	/* attempts */
	struct dl_httpc_call *attempt;
	struct dl_completion completion;
	struct parse_job *parse_job; /* in the thread pool; NULL: none */
	char *body_first;	     /* first part of the request body */
	uint32_t attempts;
	bool aborted_unsent; /* cancelled before it was sent */
	uint8_t tried_count;
	struct dl_name tried_ids[3];
	/* Number of the endpoint instance it was sent to; 0: unknown. */
	uint64_t endpoint_instance_id;
	uint64_t via; /* VM that forwards its connection; DL_VM_NONE: none */
	struct dl_httpc_conn_info conn_info; /* of the last attempt */
	int64_t attempt_at, first_byte_at;
	int64_t attempt_first_at, attempt_last_at; /* events; 0: none */
	int64_t endpoint_lost_at;  /* when it was known to be gone; 0: not */
	bool endpoint_unreachable; /* it did not answer when asked */
	struct dl_sse sse;
	bool sse_done, sse_bad;
	uint64_t chunks_received;    /* bytes for a plain service */
	uint64_t relayed;	     /* chunks or events sent to the caller */
	uint64_t resume_offset;	     /* chunks that a resumed stream skips */
	bool deadline_passed;	     /* at the last tick */
	bool may_have_run;	     /* an attempt is not provably "not run" */
	bool continues;		     /* a response that has begun */
	uint16_t status;	     /* of the endpoint's response */
	uint64_t attempt_events;     /* that the attempt has received */
	enum dl_framing framing;     /* of the endpoint's response */
	enum dl_ending ending;	     /* of the endpoint's response */
	enum dl_framing framing_out; /* of the response to the caller */
	GString *response_buf;	     /* received, not sent yet */
	GPtrArray *response_headers; /* alternating names and values */
	size_t response_length;	     /* Content-Length; SIZE_MAX: unknown */
	uint64_t used_prompt, used_output;
	struct dl_usage usage;

	/* idempotency */
	struct dl_str key; /* claim key; allocated */
	uint64_t body_hash;
	bool claimed;
	uint64_t outcome_cmd;	  /* command id; 0: none */
	int64_t outcome_deadline; /* the response waits until then */
	uint64_t claim_cmd;	  /* command id; 0: none */

	/* the response, kept while its outcome is recorded */
	enum dl_outcome outcome;
	GString *final_body;

	struct span spans[SPANS_MAX];
	uint32_t spans_count;
};

/* Completion callback of a command to the replicas; called exactly once. */
struct entry_cmd_done {
	void (*done)(void *arg, const struct dl_cstore_reply *reply);
	void *arg;
};

/* Groups of paths; a listener serves one or more of them. */
enum listener_use {
	LISTENER_CALLERS = 1,
	LISTENER_ENDPOINTS = 2,
	LISTENER_OPERATORS = 4,
	LISTENER_READY = 8, /* the load balancer's check */
	LISTENER_ANY = 15,  /* health: on every listener */
};

/* One address that HTTP connections are accepted on. */
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
	struct entry_conf *confs;  /* see entry_conf_int.h */
	int64_t conf_last_read_at; /* end of the last read; 0: none */
	uint64_t version;
	int64_t conf_pulled_at;
	int64_t replica_heard_at;
	int64_t ticked_at;    /* ms since boot, see entry_leaving.c */
	int64_t resumed_at;   /* the same, after a suspension; 0: none */
	int64_t caught_up_at; /* when its sockets had been read after it */

	struct dl_lease lease;
	bool lease_logged_valid;
	uint32_t lease_asked; /* replicas asked while there was no lease */
	struct dl_evacuations evacuations; /* as the replicas last named them */
	struct dl_directory *directory;
	struct departures departures; /* of the directory, and of other VMs */
	struct dl_reports *reports;   /* forwarded by replicas */
	struct dl_backoff *backoff;   /* asked of this VM by endpoints */
	struct quarantine quarantine;
	GPtrArray *crash_checks;     /* of endpoints after broken attempts */
	GPtrArray *unmarked_answers; /* struct unmarked_answer */
	int64_t survivors_scanned_at;

	/* connecting to endpoints */
	struct dl_paths *paths;
	struct dl_tunnels *tunnels;	  /* NULL: none are forwarded */
	struct dl_unreported *unreported; /* endpoints that were granted */
	GPtrArray *load_queries;	  /* to engines, after a takeover */
	GPtrArray *checks;   /* of endpoints that broke attempts off */
	uint64_t path_draws; /* random choices made so far */
	int64_t path_checked_at;
	int64_t forwarding_at; /* the last time; 0: not, or long ago */
	bool isolated_logged;

	/* dispatching */
	struct entry_pool *pools;
	struct remote_pool *remote_pools;
	struct dl_ask_timer ask_timer;
	GHashTable *unreachable_vms; /* VM to when it last failed to respond */
	int64_t summaries_sent_at;
	int64_t metrics_updated_at;

	/* requests */
	struct call *calls;
	uint32_t calls_count;
	uint64_t next_id;
	GHashTable *asks;	/* ask id to struct call */
	GHashTable *retry_asks; /* id of a question to struct call */
	struct dl_retry_vms retry_vms;
	uint32_t retry_reached; /* live VMs of this pool domain */
	int64_t retry_ticked_at;
	GHashTable *bytes_per_token; /* workspace to bytes * 1000 a token */
	uint64_t buffered;	     /* bytes of requests in memory */
	uint64_t answers_held;	     /* bytes that requests hold of answers */
	bool answers_wait;	     /* some requests await memory */

	/* commands and queries to the replicas */
	struct entry_cmd *cmds;
	uint64_t next_cmd;
	uint64_t leader; /* replica believed to lead */
	uint32_t next_replica;

	struct trace *traces; /* ring buffer */
	uint32_t traces_next;

	int64_t started_at;
	bool draining; /* by signal or by operators */
	int64_t stop_at;
	bool others_admit;	/* as of the last tick of a stop */
	int64_t interrupted_at; /* again, while it stopped; 0: not */
};

int64_t entry_now(const struct entry *e);
long entry_stop_ms(const struct entry *e);

/* entry_http.c */
void entry_http_request(void *arg, struct dl_httpd_req *req);
void entry_http_json(struct dl_httpd_req *req, uint16_t status, char *json);
void entry_http_error(struct dl_httpd_req *req, uint16_t status,
		      const char *reason, const struct dl_err *err);

/* entry_call.c */
void entry_call_completion(struct entry *e, struct dl_httpd_req *req);
void entry_call_plain(struct entry *e, struct dl_httpd_req *req);

void entry_call_tick(struct entry *e, int64_t now);
/* These two answer the caller, release what is held, and free the call. */
void entry_call_refuse(struct call *c, enum dl_reason reason, enum dl_step step,
		       uint64_t peer, uint32_t retry_ms);
void entry_call_end(struct call *c, enum dl_outcome outcome, uint16_t status,
		    const char *reason, const struct dl_err *err);
void entry_call_complete(struct call *c);
void entry_call_span(struct call *c, const char *name, int64_t from,
		     const char *peer);
void entry_calls_abort(struct entry *e);
/* The connection of an attempt is established; nothing has been sent. */
void entry_call_connected(struct call *c);

/* entry_held.c */
bool entry_held_has_room(const struct entry *e);
size_t entry_held_max(const struct entry *e, size_t max);
void entry_held_tick(struct entry *e);

/* entry_retry.c */
void entry_retry_init(struct entry *e);
/* Sets the limit of a pool from the settings and the configuration. */
void entry_retry_configure(struct entry *e, struct entry_pool *p);
/* The credit that goes with the first request for a grant, and its receipt. */
uint64_t entry_retry_take_credit(struct call *c);
void entry_retry_add_credit(struct entry *e, struct entry_pool *p,
			    uint64_t credit, bool local);
/* Asks for the budget to cover the next attempt, unless it does already. */
enum call_retry_state entry_retry_ask(struct call *c, enum dl_retry_way way);
/*
 * Decides on an attempt that has ended.  ALLOWED: go on as next says; DENIED:
 * answer the caller; ASKED: entry_relay_retry_decided() or
 * entry_try_retry_decided() is called later.
 */
enum call_retry_state entry_retry_after(struct call *c, enum dl_next next,
					const struct dl_attempt *attempt,
					enum dl_outcome outcome,
					const struct dl_err *err,
					bool complete);
/* The next attempt is being sent. */
void entry_retry_used(struct call *c);
/* The request ends: gives back what it has not used. */
void entry_retry_forget(struct call *c);
void entry_retry_request(struct entry *e, uint64_t from,
			 const struct dl_frame *f);
void entry_retry_reply(struct entry *e, uint64_t from,
		       const struct dl_frame *f);
void entry_retry_tick(struct entry *e, int64_t now);

/* entry_route.c */
void entry_route_request(struct entry *e, struct dl_httpd_req *req);
/* Continue with requests that waited for the version in force. */
void entry_route_resume(struct entry *e);
/* Refuse a request because the version in force is not confirmed. */
void entry_route_refuse_no_quorum(struct call *c);
uint64_t entry_route_output_made(const struct call *c);
bool entry_route_authorize(struct call *c, const struct dl_route_conf **route);
bool entry_route_has_service(const struct call *c,
			     const struct dl_route_conf *route);

/* entry_stop.c */
void entry_stop_forecast(struct call *c, const struct dl_service_conf *service);
void entry_stop_note_ended(const struct call *c);
bool entry_stop_refuses(struct call *c);
void entry_stop_tick(struct entry *e, int64_t now);

/* entry_relay.c */
void entry_relay_start(struct call *c);
void entry_relay_send(struct call *c);
void entry_relay_no_memory(struct call *c);
/* Whether a request whose attempt is given up may continue elsewhere. */
bool entry_relay_may_continue(struct call *c);
/* Continues after the budget's decision on an attempt that has ended. */
void entry_relay_retry_decided(struct call *c, bool allowed);

/* entry_reservation.c */
bool entry_reservation_needed(const struct call *c);
void entry_reservation_start(struct call *c);
void entry_reservation_note_refused(struct call *c);
struct dl_str entry_reservation_id(const struct call *c, struct dl_str address);
void entry_reservation_release(struct call *c);
bool entry_reservation_lost(struct call *c, struct dl_str address);
void entry_reservation_tick(struct entry *e, int64_t now);

/* entry_lost.c */
void entry_lost_end_attempt(struct call *c, const char *why);
void entry_lost_note(struct call *c);
void entry_lost_instance(struct entry *e, struct dl_str address);
void entry_lost_tick(struct entry *e, int64_t now);

/* entry_quarantine.c */
void entry_quarantine_init(struct entry *e);
void entry_quarantine_instance_crashed(struct entry *e, uint64_t start);
void entry_quarantine_attempt_ended(struct call *c,
				    const struct dl_attempt *attempt,
				    const struct dl_err *err);
void entry_quarantine_request_completed(struct call *c);
bool entry_quarantine_refuses(struct call *c);
bool entry_quarantine_refuses_unchecked_probe(struct call *c);
bool entry_quarantine_admit_probe(struct entry *e, struct entry_pool *p,
				  const struct dl_cause *cause);
void entry_quarantine_frame(struct entry *e, const struct dl_frame *f);
void entry_quarantine_vm_up(struct entry *e, uint64_t vm);
void entry_quarantine_tick(struct entry *e, int64_t now);

/* entry_limit.c */
void entry_limit_note_response(struct call *c, uint32_t limit);
void entry_limit_frame(struct entry *e, uint64_t from,
		       const struct dl_frame *frame);
void entry_limit_tick(struct entry *e, int64_t now);

/* entry_backoff.c */
uint32_t entry_backoff_remaining_ms(const struct entry *e,
				    struct dl_str address, uint64_t start);
bool entry_backoff_note_response(const struct call *c,
				 const struct dl_name *address, uint64_t start,
				 uint16_t status, uint32_t retry_after_ms);
void entry_backoff_add_to_release(struct call *c);
bool entry_backoff_blocks_grant(const struct call *c);
void entry_backoff_return_grant(struct call *c);

/* entry_evacuation.c */
void entry_evacuation_pool_added(struct entry *e, struct entry_pool *p);
void entry_evacuation_read(struct entry *e, struct dl_reader *r, uint64_t from);
void entry_evacuation_frame(struct entry *e, uint64_t from,
			    const struct dl_frame *f);
bool entry_evacuation_covers(const struct call *c, uint8_t endpoint);
bool entry_evacuation_blocks_grant(const struct call *c);
void entry_evacuation_return_grant(struct call *c);

/* entry_leaving.c */
void entry_leaving_date_answer(struct entry *e, struct dl_answer *answer,
			       const struct dl_frame *f);
void entry_leaving_grant_accepted(struct call *c);
bool entry_leaving_may_send(const struct call *c,
			    const struct dl_directory_entry *d);
bool entry_leaving_is_forwarded(const struct call *c);
bool entry_leaving_blocks_grant(const struct call *c);
void entry_leaving_return_grant(struct call *c);
void entry_leaving_tick(struct entry *e);
bool entry_leaving_may_be_late(const struct call *c);
void entry_leaving_log_service(struct entry_pool *p);
uint32_t
entry_leaving_services_without(const struct entry *e,
			       const struct dl_evacuations *evacuations,
			       json_t *list);

/* entry_lease.c */
bool entry_lease_is_valid(const struct entry *e);
bool entry_lease_ready(const struct entry *e);
void entry_lease_version_applied(struct entry *e);
void entry_lease_frame(struct entry *e, uint64_t from,
		       const struct dl_frame *frame);
void entry_lease_tick(struct entry *e, int64_t now);
/* How long a request may wait for the replicas to confirm the version, ms. */
uint32_t entry_lease_max_wait_ms(const struct entry *e, uint32_t left_ms);

/* entry_try.c */
void entry_try_start(struct call *c);
void entry_try_cancel(struct call *c);
/* Continues after the budget's decision on an attempt that has ended. */
void entry_try_retry_decided(struct call *c, bool allowed);
void entry_try_begin_stream(struct call *c);

/* entry_grant.c */
void entry_grant_ask(struct call *c);
void entry_grant_answer(struct entry *e, uint64_t from,
			const struct dl_answer_frame *f);
void entry_grant_release(struct call *c);
void entry_grant_replace(struct call *c);
void entry_grant_replace_later(struct call *c);
void entry_grant_first_event(struct call *c);
void entry_grant_cancel(struct call *c);
void entry_grant_down(struct entry *e, uint64_t vm);
/* Returns a grant of a VM that no request uses. */
void entry_grant_release_unused(struct entry *e, uint64_t vm,
				struct dl_str service, uint64_t grant,
				uint64_t request);
void entry_grant_tick(struct entry *e, int64_t now);

/* entry_hedge.c */
void entry_hedge_sent(struct call *c);
void entry_hedge_tick_call(struct call *c, int64_t now);
void entry_hedge_tick(struct entry *e, int64_t now);
void entry_hedge_note_answer(struct entry *e, const struct call *c,
			     uint64_t from, uint64_t request);
uint32_t entry_hedge_step(struct call *c, struct dl_hedge_event ev);
uint32_t entry_hedge_answer(struct call *c, uint64_t from,
			    enum dl_verdict verdict);
uint32_t entry_hedge_vm_down(struct call *c, uint64_t vm, uint64_t owner);
uint32_t entry_hedge_moved(struct call *c, uint64_t owner);
uint64_t entry_hedge_holder(struct call *c, uint64_t owner);

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
bool entry_pool_is_local_domain(const struct entry *e, struct dl_str domain);
void entry_pool_frame(struct entry *e, uint64_t from,
		      const struct dl_frame *frame);
void entry_pool_ask(struct entry *e, struct entry_pool *p,
		    const struct dl_ask_frame *f, bool local);
void entry_pool_cancel(struct entry *e, struct entry_pool *p, uint64_t entry,
		       uint64_t request);
void entry_pool_member(struct entry *e, const struct dl_member *m);
void entry_pool_tick(struct entry *e, int64_t now);

/* entry_announce.c */
/* Number of the endpoint instance at an address, equal on all VMs; 0: unknown.
 */
uint64_t entry_endpoint_instance_id(struct entry *e, struct dl_str service,
				    struct dl_str address);
int entry_announce_receive(struct entry *e, struct dl_announcement *a);
void entry_announce_departures_frame(struct entry *e, uint64_t from,
				     const struct dl_frame *f);
void entry_announce_vm_up(struct entry *e, uint64_t vm);
void entry_announce_departure(struct entry *e,
			      const struct dl_directory_entry *d,
			      uint64_t dispatcher);
void entry_announce_endpoint_leaving(struct entry *e, struct dl_str address,
				     struct dl_str instance,
				     uint64_t dispatcher);
void entry_announce_refresh(struct entry *e, uint64_t from,
			    const struct dl_frame *f);
void entry_announce_batch(struct entry *e, uint64_t from,
			  const struct dl_frame *f);
void entry_announce_forwarded(struct entry *e, struct dl_str report);
void entry_announce_frame(struct entry *e, uint64_t from,
			  const struct dl_frame *f);

/* entry_reach.c */
void entry_reach_mark_unreachable(struct entry *e, uint64_t vm);
void entry_reach_heard_from(struct entry *e, uint64_t vm);
void entry_reach_tick(struct entry *e);

/* entry_path.c */
int entry_path_open(struct entry *e, struct dl_err *err);
bool entry_path_is_enabled(const struct entry *e);
/* The group of the paths to a service's endpoints, see daisyledge/paths.h. */
uint64_t entry_path_group(struct dl_str service);
bool entry_path_is_isolated(struct entry *e, struct dl_str service);
void entry_path_note_granted(const struct call *c);
void entry_path_vm_lost(struct entry *e, uint64_t vm);
void entry_path_vm_gone(struct entry *e, uint64_t vm);
void entry_path_stop(struct entry *e);
uint32_t entry_path_tunnels(const struct entry *e);
void entry_path_tick(struct entry *e, int64_t now);

/* entry_recover.c */
void entry_recover_init(struct entry *e);
void entry_recover_query(struct entry *e, struct entry_pool *p);
void entry_recover_tick(struct entry *e, int64_t now);

/* entry_check.c */
void entry_check_init(struct entry *e);
bool entry_check_attempt_broke(struct call *c,
			       const struct dl_attempt *attempt);
void entry_check_silence(struct entry *e, const struct call *c);
void entry_check_frame(struct entry *e, uint64_t from,
		       const struct dl_frame *frame);

/* entry_remote.c */
bool entry_remote_is_fresh(const struct entry *e,
			   const struct remote_pool *remote,
			   struct dl_str service);
void entry_remote_suggest(struct entry *e, struct dl_str service,
			  struct dl_answer_frame *f);
void entry_remote_frame(struct entry *e, uint64_t from,
			const struct dl_frame *f);
void entry_remote_send_summary(struct entry *e, const struct entry_pool *p,
			       const struct dl_pool_summary *summary);
void entry_remote_vm_down(struct entry *e, uint64_t vm);

/* entry_cmd.c */
uint64_t entry_cmd_send(struct entry *e, const struct dl_cstore_cmd *cmd,
			uint32_t time_ms, struct entry_cmd_done done);
/* A query whose reply is JSON; done gets it in reply->outcome. */
uint64_t entry_cmd_query(struct entry *e, uint64_t vm, struct dl_str question,
			 uint32_t time_ms, struct entry_cmd_done done);
void entry_cmd_detach(struct entry *e, uint64_t id);
void entry_cmd_abandon(struct entry *e, uint64_t id);
void entry_cmd_frame(struct entry *e, uint64_t from,
		     const struct dl_frame *frame);
void entry_cmd_tick(struct entry *e, int64_t now);
/* Choose a replica to contact as the leader. */
void entry_cmd_choose_leader(struct entry *e);
/* List every VM that may be a replica, as uint64_t; the caller frees it. */
GArray *entry_cmd_replicas(const struct entry *e);
/* Send a frame to every VM that may be a replica. */
void entry_cmd_send_replicas(struct entry *e, uint32_t kind,
			     struct dl_str body);
bool entry_cmd_is_replica(struct entry *e, uint64_t vm);
uint64_t entry_cmd_any_replica(const struct entry *e);

/* entry_conf.c */
void entry_conf_init(struct entry *e);
void entry_conf_frame(struct entry *e, uint64_t from,
		      const struct dl_frame *frame);
void entry_conf_member(struct entry *e, const struct dl_member *m);
void entry_conf_version_seen(struct entry *e, uint64_t version, uint64_t vm);
void entry_conf_tick(struct entry *e, int64_t now);

/* entry_conf_slices.c */
void entry_conf_slices_stop(struct entry *e);

/* entry_conf_store.c */
bool entry_conf_text(const struct entry *e, char **out, size_t *n);
bool entry_conf_text_is_rebuilt(const struct entry *e);

/* entry_ops.c */
void entry_ops_config_post(struct entry *e, struct dl_httpd_req *req);
void entry_ops_config_get(struct entry *e, struct dl_httpd_req *req);
void entry_ops_history(struct entry *e, struct dl_httpd_req *req);
void entry_ops_status(struct entry *e, struct dl_httpd_req *req);
void entry_ops_evacuate(struct entry *e, struct dl_httpd_req *req);
void entry_ops_evacuate_end(struct entry *e, struct dl_httpd_req *req);

/* The failure domain follows. */
#define ENTRY_EVACUATIONS_PATH "/v1/evacuations/"

/* Handle a status query of another VM. */
void entry_ops_frame(struct entry *e, uint64_t from,
		     const struct dl_frame *frame);

/* entry_trace.c */
void entry_trace_add(struct entry *e, const struct call *c,
		     enum dl_outcome outcome, uint16_t status);
char *entry_trace_json(const struct entry *e);

#endif
