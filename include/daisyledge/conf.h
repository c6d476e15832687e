/*
 * The operators' configuration: one JSON text, which is checked strictly and
 * accepted or rejected as a whole. A struct dl_conf is read-only after parsing.
 * The format is described in daisyledge-config(5).
 */
#ifndef DAISYLEDGE_CONF_H
#define DAISYLEDGE_CONF_H

#include "daisyledge/base.h"
#include "daisyledge/pool.h"

#define DL_CONF_TEXT_MAX (4u << 20)
#define DL_REPLICAS_MAX	 7

/* A class of requests: its urgency and default deadline. */
struct dl_class_conf {
	struct dl_name name;  /* chosen by operators: "ping", "dossier" */
	enum dl_class class;  /* "urgent", "interactive" or "batch" */
	uint32_t deadline_ms; /* if the request sets none */
};
struct dl_service_conf {
	struct dl_name name;
	uint32_t connections_max; /* per endpoint, from all VMs; 0: unknown */
	enum dl_pool_kind kind;
	struct dl_name *depends_on;
	uint32_t depends_on_count;
	struct dl_name *models; /* names that callers may request */
	uint32_t models_count;
	uint32_t default_class; /* index into classes */
	/* Paths of a plain service whose calls may be repeated. */
	struct dl_name *idempotent_paths;
	uint32_t idempotent_paths_count;
	bool get_is_idempotent;
	bool ignores_fencing; /* its endpoints accept orders of old terms */
	uint32_t connect_timeout_ms;
	uint32_t gap_timeout_ms;	/* longest silence within an answer */
	uint32_t retry_budget_permille; /* retries per 1000 first attempts */
	struct dl_pool_conf pool;
};

#define DL_CONF_UNSET UINT32_MAX

/* The limits of a workspace, and the defaults and keys of its callers. */
struct dl_conf_workspace {
	struct dl_workspace_conf limits;
	uint32_t default_class; /* DL_CONF_UNSET: that of the service */
	uint32_t priority;	/* DL_CONF_UNSET: that of the route */
	struct dl_name *keys;	/* keys that authenticate its callers */
	uint32_t keys_count;
};

/* Whether requests of a route may be repeated. */
enum dl_route_kind {
	DL_ROUTE_IDEMPOTENT,
	DL_ROUTE_NON_IDEMPOTENT,
	DL_ROUTE_STREAM, /* if the route is resumable */
};

/* A service that a route leads to, and its share of the requests. */
struct dl_route_target {
	uint32_t service; /* index into services */
	uint32_t weight;
};

#define DL_ROUTE_TARGETS_MAX 8

/*
 * Route of the requests for a host and path prefix, which are forwarded
 * unchanged. Versions of a configuration share the routes that did not change
 * (conf_delta.h), so a route is never modified after parsing.
 */
struct dl_route_conf {
	struct dl_name name;
	char *host;
	char *path_prefix; /* begins and ends with a slash */
	enum dl_route_kind kind;
	uint32_t timeout_ms; /* limit for the final answer */
	uint32_t target_ms;  /* for the answer or a stream's first event */
	uint32_t gap_ms;     /* of a stream: longest gap that is on time */
	uint32_t priority;   /* 0 is served first */
	uint32_t attempts;   /* endpoints that a request may be sent to */
	bool public;	     /* needs no key */
	bool resumable;	     /* a broken stream may resume elsewhere */
	struct dl_route_target targets[DL_ROUTE_TARGETS_MAX];
	uint32_t targets_count;
	uint64_t match_hash; /* of host and path_prefix, internal */
	int references;	     /* atomic, internal */
};

/* Limits on the size and duration of callers' requests. */
struct dl_caller_limits {
	uint32_t header_bytes_max;
	uint32_t body_bytes_max;
	uint32_t header_ms;
	uint32_t idle_ms; /* limit for an idle keep-alive connection */
};

struct dl_replica_conf {
	struct dl_name name;
	uint64_t vm; /* its peer address */
};

/*
 * An order: a model version and role that the leader maintains on endpoints of
 * a service.
 */
struct dl_order_conf {
	struct dl_name service;
	struct dl_name model;
	struct dl_name version;
	struct dl_name role; /* "prefill", "decode" or "both" */
	uint32_t endpoints;  /* number of endpoints; 0 for all */
};

struct dl_conf {
	struct dl_class_conf *classes;
	uint32_t classes_count;
	struct dl_service_conf *services;
	uint32_t services_count;
	struct dl_conf_workspace *workspaces;
	uint32_t workspaces_count;
	/*
	 * The text lists workspaces, maybe none: requests of routes that are
	 * not public need the key of one.
	 */
	bool keys_required;
	struct dl_route_conf **routes; /* in the order of the text */
	uint32_t routes_count;
	struct dl_caller_limits caller_limits;
	/*
	 * Serial number that operators give the text, 0 for none. Among texts
	 * with a number the highest is in force.
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
	void *workspace_by_key; /* GHashTable, internal */
};

/* One fault found in a text. */
struct dl_fault {
	char path[96]; /* "services.front-desk.kind" */
	uint32_t line;
	char text[160];
};

#define DL_FAULTS_MAX 64

struct dl_faults {
	uint32_t count; /* faults found; only the first are kept */
	struct dl_fault items[DL_FAULTS_MAX];
};

uint64_t dl_conf_digest(struct dl_str text);
/* Returns 0 and *out, or -EINVAL and all faults. */
int dl_conf_parse(struct dl_str text, struct dl_conf **out,
		  struct dl_faults *faults);
void dl_conf_free(struct dl_conf *conf);

/*
 * The changes from one configuration to another, one per line with its impact.
 */
struct dl_conf_diff {
	char *text;	    /* owned; one change per line */
	bool needs_confirm; /* removes a service in use or most capacity */
};

int dl_conf_compare(const struct dl_conf *old, const struct dl_conf *new,
		    struct dl_conf_diff *out);
void dl_conf_diff_free(struct dl_conf_diff *diff);
/*
 * Whether a majority of old's replicas (same name and address) is also in new.
 * Otherwise a leader could be elected that lacks committed entries.
 */
bool dl_conf_keeps_majority(const struct dl_conf *old,
			    const struct dl_conf *new);

/* Lookups; NULL if there is none. */
const struct dl_service_conf *dl_conf_service(const struct dl_conf *conf,
					      struct dl_str name);
const struct dl_service_conf *
dl_conf_service_of_model(const struct dl_conf *conf, struct dl_str model);
const struct dl_conf_workspace *dl_conf_workspace(const struct dl_conf *conf,
						  struct dl_str name);
/*
 * The route of a request: among those of its host, the one with the longest
 * prefix of the path.
 */
const struct dl_route_conf *dl_conf_route(const struct dl_conf *conf,
					  struct dl_str host,
					  struct dl_str path);
/* The workspace that a key belongs to. */
const struct dl_conf_workspace *
dl_conf_workspace_of_key(const struct dl_conf *conf, struct dl_str key);
const struct dl_class_conf *dl_conf_class(const struct dl_conf *conf,
					  struct dl_str name);

#endif
