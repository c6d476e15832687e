/*
 * Orders to endpoints: which model, version and role each must have, planned
 * from the configuration by the leader alone.  The planner does no input or
 * output: the caller passes the current time and the announcements of
 * endpoints, sends the orders that dl_orders_next() returns and reports their
 * results.
 *
 * Only the leader of the replicated log may send orders, while its lease lasts,
 * with its term as the fencing number.  Endpoints that check the number refuse
 * an earlier leader by themselves.  For those that ignore it a new leader waits
 * until every earlier lease has ended and every earlier order has arrived or
 * been given up.
 */
#ifndef DAISYLEDGE_ORDERS_H
#define DAISYLEDGE_ORDERS_H

#include "daisyledge/base.h"
#include "daisyledge/conf.h"

struct dl_orders;

#define DL_ORDER_MODELS_MAX 8

struct dl_orders_conf {
	uint32_t lease_ms;	   /* maximum duration of a leader's lease */
	uint32_t send_timeout_ms;  /* the sender gives up after this */
	uint32_t network_delay_ms; /* a sent order arrives by then or never */
	uint32_t drift_permille;   /* by how much clock rates may differ */
	uint32_t announce_timeout_ms; /* accepted, not announced: resent */
	uint32_t retry_ms;	      /* pause after a failed order */
	uint32_t load_mb;	      /* read from the weight store per load */
};

/* What an endpoint announces; version or role is empty if it reports none. */
struct dl_order_endpoint {
	struct dl_name id; /* "ip:port" */
	struct dl_name service;
	uint64_t incarnation;
	struct dl_name models[DL_ORDER_MODELS_MAX];
	uint32_t models_count;
	struct dl_name version;
	struct dl_name role;
	bool leaving;
};

/* One order: it states the desired result, so that a repeat is harmless. */
struct dl_order {
	uint64_t id;
	struct dl_name endpoint;
	struct dl_name service;
	struct dl_name model;
	struct dl_name version;
	struct dl_name role;
	uint64_t fence;
	int64_t deadline; /* the sender closes the connection then */
};

enum dl_order_result {
	DL_ORDER_ACCEPTED,
	DL_ORDER_FENCED,  /* the endpoint knows a later leader */
	DL_ORDER_FAILED,  /* refused, or certainly not sent */
	DL_ORDER_UNKNOWN, /* timed out, or the reply was lost */
	DL_ORDER_RESULT_COUNT,
};

/* The figures that the status shows. */
struct dl_orders_summary {
	uint64_t term;	    /* 0: this process is not the leader */
	bool fenced;	    /* an endpoint knew a later leader */
	int64_t hold_until; /* for endpoints that ignore fencing */
	uint32_t endpoints;
	uint32_t assigned;  /* endpoints with an order */
	uint32_t completed; /* those of them that comply with it */
	uint32_t in_progress;
	int64_t store_mb; /* that may be loaded now */
};

void dl_orders_defaults(struct dl_orders_conf *conf);
struct dl_orders *dl_orders_new(const struct dl_orders_conf *conf);
void dl_orders_free(struct dl_orders *orders);

/*
 * Makes this process the leader of a term, with a lease until lease_until;
 * called again whenever the lease is renewed.  The fencing entry of the term
 * must have been committed before.  Returns -ESTALE for a term below one seen
 * before.
 */
int dl_orders_set_leader(struct dl_orders *orders, uint64_t term,
			 int64_t lease_until, int64_t now);
/* Ends the leadership of this process. */
void dl_orders_clear_leader(struct dl_orders *orders);

void dl_orders_configure(struct dl_orders *orders, const struct dl_conf *conf,
			 int64_t now);
void dl_orders_update_endpoint(struct dl_orders *orders,
			       const struct dl_order_endpoint *endpoint,
			       int64_t now);
void dl_orders_remove_endpoint(struct dl_orders *orders, struct dl_str id);

/* The next order to send; false if none may be sent now. */
bool dl_orders_next(struct dl_orders *orders, int64_t now,
		    struct dl_order *out);
/*
 * Whether an order may still be sent.  The caller checks this with a fresh
 * clock reading right before it writes the bytes, since the process may have
 * been paused after planning, and reports DL_ORDER_FAILED if not.
 */
bool dl_orders_may_send(const struct dl_orders *orders,
			const struct dl_order *order, int64_t now);
void dl_orders_result(struct dl_orders *orders, uint64_t id,
		      enum dl_order_result result, int64_t now);
/* When dl_orders_next() must be called at the latest; INT64_MAX for never. */
int64_t dl_orders_wakeup(const struct dl_orders *orders, int64_t now);
void dl_orders_summarize(const struct dl_orders *orders, int64_t now,
			 struct dl_orders_summary *out);
/* Checks the invariants; returns NULL or what is broken. */
const char *dl_orders_check(const struct dl_orders *orders);

#endif
