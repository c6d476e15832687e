/* Internals of the order planner: endpoints, their goals and their service. */
#ifndef DL_STATE_ORDERS_INT_H
#define DL_STATE_ORDERS_INT_H

#include <glib.h>

#include "daisyledge/orders.h"

#define GOAL_NONE UINT32_MAX
/* The most orders that a configuration can have. */
#define CONF_ORDERS_MAX 1024

enum target_state {
	TARGET_IDLE, /* no order in progress */
	TARGET_SENT, /* until a result, or the deadline plus network delay */
	TARGET_ACCEPTED, /* until it announces the goal */
};

/* An endpoint as a target of orders. */
struct target {
	struct dl_order_endpoint announced;
	uint32_t goal; /* index into goals, or GOAL_NONE */
	enum target_state state;
	uint64_t last_order;	/* ID of the latest order */
	uint64_t accepted_hash; /* hash of the last accepted goal, 0: none */
	uint64_t ordered_hash;	/* hash of the latest order's goal */
	int64_t not_before;	/* no order is sent before this time */
	bool drained;
	bool gone; /* kept until a sent order can no longer arrive */
};

/* A service of the configuration. */
struct order_service {
	struct dl_name name;
	bool ignores_fencing;
	uint32_t out_share_permille;
	uint32_t endpoints;   /* that accept orders */
	uint32_t in_progress; /* orders sent and not yet completed */
};

struct dl_orders {
	struct dl_orders_conf conf;
	GHashTable *by_id; /* endpoint ID to its struct target */
	GPtrArray *targets;
	struct dl_order_conf *goals;
	uint32_t goals_count;
	struct order_service *services;
	uint32_t services_count;
	GHashTable *drained; /* IDs of endpoints that are drained */
	uint64_t term;
	uint64_t term_seen;
	bool fenced;
	int64_t lease_until;
	int64_t hold_until;
	int64_t store_mb_ms; /* thousandths of a MB that may be loaded */
	int64_t store_at;
	uint32_t store_mb_per_s;
	uint64_t next_order;
	bool replan;
};

void orders_plan(struct dl_orders *orders);
bool orders_is_done(const struct dl_orders *orders, const struct target *t);
bool orders_has_model(const struct target *t, const struct dl_order_conf *goal);
uint64_t orders_goal_hash(const struct dl_order_conf *goal);
struct order_service *orders_service(const struct dl_orders *orders,
				     const struct dl_name *name);

#endif
