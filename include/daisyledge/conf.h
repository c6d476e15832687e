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

/* What a workspace adds to its limits: the class it is in by default. */
struct dl_conf_workspace {
	struct dl_workspace_conf limits;
	uint32_t default_class; /* UINT32_MAX: as the service says */
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
	uint64_t digest; /* of the text */
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
	struct dl_fault at[DL_FAULTS_MAX];
};

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
const struct dl_class_conf *dl_conf_class(const struct dl_conf *conf,
					  struct dl_str name);

#endif
