/*
 * The operators' configuration: one JSON text, checked strictly and as a
 * whole.  A struct dl_conf is read-only after parsing.  daisyledge-config(5)
 * describes the text.
 */
#ifndef DAISYLEDGE_CONF_H
#define DAISYLEDGE_CONF_H

#include "daisyledge/base.h"
#include "daisyledge/pool.h"

#define DL_CONF_TEXT_MAX (4u << 20)
#define DL_REPLICAS_MAX	 7

/* A class of requests: how urgent, and how long it has by default. */
struct dl_class_conf {
	struct dl_name name;  /* the operators' word: "ping", "dossier" */
	enum dl_class class;  /* "urgent", "interactive" or "batch" */
	uint32_t deadline_ms; /* where the request names none */
};
struct dl_service_conf {
	struct dl_name name;
	uint32_t connections_max; /* of one endpoint, all VMs; 0 unknown */
	enum dl_pool_kind kind;
	struct dl_name *depends_on;
	uint32_t depends_on_count;
	struct dl_name *models; /* names that callers may ask for */
	uint32_t models_count;
	uint32_t default_class; /* index into classes */
	/* Paths of a plain service whose calls may be repeated. */
	struct dl_name *idempotent_paths;
	uint32_t idempotent_paths_count;
	bool get_is_idempotent;
	bool ignores_fencing; /* its endpoints accept old orders */
	uint32_t connect_timeout_ms;
	uint32_t gap_timeout_ms; /* the longest silence within an answer */
	uint32_t retry_budget_permille; /* retries over first tries */
	struct dl_pool_conf pool;
};

#define DL_CONF_UNSET UINT32_MAX

/* What a workspace adds to its limits: the class it is in by default. */
struct dl_conf_workspace {
	struct dl_workspace_conf limits;
	uint32_t default_class; /* DL_CONF_UNSET: as the service says */
	uint32_t priority;	/* DL_CONF_UNSET: as the route says */
	struct dl_name *keys;	/* with which its callers show themselves */
	uint32_t keys_count;
};

/* Whether a request may be repeated. */
enum dl_route_kind {
	DL_ROUTE_IDEMPOTENT,
	DL_ROUTE_NON_IDEMPOTENT,
	DL_ROUTE_STREAM, /* as its route's resumable says */
};

/* One service that a route leads to, and its share of the route's requests. */
struct dl_route_target {
	uint32_t service; /* index into services */
	uint32_t weight;
};

#define DL_ROUTE_TARGETS_MAX 8

/* Requests of a host and a path that are passed on as they are. */
struct dl_route_conf {
	struct dl_name name;
	char *host;
	char *path_prefix; /* begins and ends with a slash */
	enum dl_route_kind kind;
	uint32_t timeout_ms; /* a final answer is due by then */
	uint32_t target_ms;  /* to the answer, or to a stream's first event */
	uint32_t gap_ms;     /* of a stream: the longest pause on time */
	uint32_t priority;   /* 0 goes first */
	uint32_t attempts;   /* endpoints that one request may be sent to */
	bool public;	     /* needs no key */
	bool resumable;	     /* a broken stream may go on elsewhere */
	struct dl_route_target targets[DL_ROUTE_TARGETS_MAX];
	uint32_t targets_count;
};

/* What callers may send, and how long they may take. */
struct dl_caller_limits {
	uint32_t header_bytes_max;
	uint32_t body_bytes_max;
	uint32_t header_ms;
	uint32_t idle_ms; /* a kept connection without requests */
};

struct dl_replica_conf {
	struct dl_name name;
	uint64_t vm; /* its peer address */
};

/* An order that the leader keeps true on the endpoints of a service. */
struct dl_order_conf {
	struct dl_name service;
	struct dl_name model;
	struct dl_name version;
	struct dl_name role; /* "prefill", "decode" or "both" */
	uint32_t endpoints;  /* how many of them; 0 for all */
};

struct dl_conf {
	struct dl_class_conf *classes;
	uint32_t classes_count;
	struct dl_service_conf *services;
	uint32_t services_count;
	struct dl_conf_workspace *workspaces;
	uint32_t workspaces_count;
	struct dl_route_conf *routes;
	uint32_t routes_count;
	struct dl_caller_limits caller_limits;
	/*
	 * The operators' own number of this text, 0 for none.  Among texts
	 * that have one the highest is in force.
	 */
	uint64_t number;
	struct dl_replica_conf replicas[DL_REPLICAS_MAX];
	uint32_t replicas_count;
	struct dl_order_conf *orders;
	uint32_t orders_count;
	struct dl_name *drain_vms; /* by address */
	uint32_t drain_vms_count;
	struct dl_name *drain_endpoints; /* by address */
	uint32_t drain_endpoints_count;
	uint32_t weight_store_mb_per_s;
	enum dl_level log_level;
	uint64_t digest;	/* of the text */
	void *workspace_by_key; /* from a key to its workspace; inside */
};

/* One fault of a text. */
struct dl_fault {
	char path[96]; /* "services.front-desk.kind" */
	uint32_t line;
	char text[160];
};

#define DL_FAULTS_MAX 64

struct dl_faults {
	uint32_t count; /* faults found; only the first ones are kept */
	struct dl_fault items[DL_FAULTS_MAX];
};

uint64_t dl_conf_digest(struct dl_str text);
/* 0 and *out, or -EINVAL and every fault at once. */
int dl_conf_parse(struct dl_str text, struct dl_conf **out,
		  struct dl_faults *faults);
void dl_conf_free(struct dl_conf *conf);

/* What goes from old to new; each line is one change, with its impact. */
struct dl_conf_diff {
	char *text;	    /* owned; lines */
	bool needs_confirm; /* a service in use or most capacity goes */
};

int dl_conf_compare(const struct dl_conf *old, const struct dl_conf *new,
		    struct dl_conf_diff *out);
void dl_conf_diff_free(struct dl_conf_diff *diff);
/*
 * Whether most of old's replicas (same name and address) are also new's.  An
 * edit that keeps no majority could elect a leader that lacks what was decided.
 */
bool dl_conf_keeps_majority(const struct dl_conf *old,
			    const struct dl_conf *new);

/* Look-ups; NULL where there is none. */
const struct dl_service_conf *dl_conf_service(const struct dl_conf *conf,
					      struct dl_str name);
const struct dl_service_conf *
dl_conf_service_of_model(const struct dl_conf *conf, struct dl_str model);
const struct dl_conf_workspace *dl_conf_workspace(const struct dl_conf *conf,
						  struct dl_str name);
/*
 * The route of a request: of its host's, the one with the longest prefix that
 * begins the path.
 */
const struct dl_route_conf *dl_conf_route(const struct dl_conf *conf,
					  struct dl_str host,
					  struct dl_str path);
/* The workspace that holds a key. */
const struct dl_conf_workspace *
dl_conf_workspace_of_key(const struct dl_conf *conf, struct dl_str key);
const struct dl_class_conf *dl_conf_class(const struct dl_conf *conf,
					  struct dl_str name);

#endif
