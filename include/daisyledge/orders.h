/*
 * Orders to endpoints: which model, version and role each must have, planned
 * from the configuration by the leader alone.  Pure: the caller passes the
 * present time and what endpoints announce, sends what dl_orders_next() gives
 * and tells what came of it.
 *
 * Who may give orders: the leader of the replicated log while its lease lasts,
 * with its term as fencing number.  Endpoints that check the number refuse an
 * earlier leader by themselves.  For those that ignore it a new leader waits
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
	uint32_t lease_ms;	   /* the longest that a leader's lease lasts */
	uint32_t send_timeout_ms;  /* the sender gives an order up after this */
	uint32_t network_delay_ms; /* what was sent arrives within this, or
				      never */
	uint32_t drift_permille;   /* how much faster one clock may run */
	uint32_t announce_timeout_ms; /* accepted, yet not announced: ordered
					 again */
	uint32_t retry_ms;	      /* pause after one that failed */
	uint32_t load_mb; /* what one load takes from the weight store */
};

/* What an endpoint announces; empty version or role where it tells none. */
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

/* One order: the wished end, so that a repeat is harmless. */
struct dl_order {
	uint64_t id;
	struct dl_name endpoint;
	struct dl_name service;
	struct dl_name model;
	struct dl_name version;
	struct dl_name role;
	uint64_t fence;
	int64_t deadline; /* close the connection then */
};

enum dl_order_result {
	DL_ORDER_ACCEPTED,
	DL_ORDER_FENCED,  /* the endpoint knows a later leader */
	DL_ORDER_FAILED,  /* refused or provably not sent */
	DL_ORDER_UNKNOWN, /* given up, or the answer was lost */
	DL_ORDER_RESULT_COUNT,
};

/* What status shows. */
struct dl_orders_summary {
	uint64_t term;	    /* 0: no leader here */
	bool fenced;	    /* an endpoint knew a later leader */
	int64_t hold_until; /* for endpoints that ignore fencing */
	uint32_t endpoints;
	uint32_t assigned;  /* endpoints that an order is for */
	uint32_t completed; /* of them as wished */
	uint32_t in_progress;
	int64_t store_mb; /* that may be loaded now */
};

void dl_orders_defaults(struct dl_orders_conf *conf);
struct dl_orders *dl_orders_new(const struct dl_orders_conf *conf);
void dl_orders_free(struct dl_orders *orders);

/*
 * This process leads in a term, and its lease lasts until then; repeated
 * whenever the lease is renewed.  The fencing entry of the term must have
 * been committed before.  -ESTALE for a term below one that was seen.
 */
int dl_orders_set_leader(struct dl_orders *orders, uint64_t term,
			 int64_t lease_until, int64_t now);
/* It leads no longer. */
void dl_orders_clear_leader(struct dl_orders *orders);

void dl_orders_configure(struct dl_orders *orders, const struct dl_conf *conf,
			 int64_t now);
void dl_orders_update_endpoint(struct dl_orders *orders,
			       const struct dl_order_endpoint *endpoint,
			       int64_t now);
void dl_orders_remove_endpoint(struct dl_orders *orders, struct dl_str id);

/* The next order to send; false where none may be sent now. */
bool dl_orders_next(struct dl_orders *orders, int64_t now,
		    struct dl_order *out);
/*
 * Whether an order may still be sent.  Ask with a fresh clock right before the
 * bytes are written: the process may have been paused since it was planned.
 * Tell DL_ORDER_FAILED where not.
 */
bool dl_orders_may_send(const struct dl_orders *orders,
			const struct dl_order *order, int64_t now);
void dl_orders_result(struct dl_orders *orders, uint64_t id,
		      enum dl_order_result result, int64_t now);
/* When dl_orders_next must be asked at the latest; INT64_MAX for never. */
int64_t dl_orders_wakeup(const struct dl_orders *orders, int64_t now);
void dl_orders_summarize(const struct dl_orders *orders, int64_t now,
			 struct dl_orders_summary *out);
/* Assert the invariants; NULL, or what is broken. */
const char *dl_orders_check(const struct dl_orders *orders);

#endif
