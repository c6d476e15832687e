/*
 * The settings of one process: a small JSON file, daisyledge-settings(5).
 */
#ifndef DL_PROTOCOL_SETTINGS_H
#define DL_PROTOCOL_SETTINGS_H

#include "protocol/sign.h"

#define DL_SETTINGS_PEERS_MAX	 64
#define DL_SETTINGS_REPLICAS_MAX 7
#define DL_SETTINGS_DOMAINS_MAX	 64
#define DL_SETTINGS_PATH_MAX	 255

struct dl_settings {
	struct dl_name name;
	struct dl_name failure_domain;
	struct dl_name region; /* its VMs share pools; empty: none */
	/* the failure domains of the deployment, as far as they are known */
	struct dl_name failure_domains[DL_SETTINGS_DOMAINS_MAX];
	uint32_t failure_domains_count;
	/* Listen addresses, one per kind of client. */
	uint64_t http;		      /* callers; 0 on a replica */
	uint64_t operators;	      /* 0: same as callers */
	uint64_t endpoints;	      /* 0: same as callers */
	struct dl_keys operator_keys; /* keys that sign operators' requests */
	struct dl_keys endpoint_keys;
	uint64_t metrics; /* counters and histograms; 0: not served */
	uint64_t ready;	  /* readiness checks; 0: on all other addresses */
	bool foreign;	  /* use the platform's protocol, see dialect.h */
	/*
	 * The group of replicas bootstraps and repairs itself. Seeds are
	 * addresses of some replicas, whose peer port is that of our own peer
	 * address. Only if found is set may a replica with an empty disk create
	 * a log.
	 */
	bool found;
	uint32_t failures_max; /* replicas that may fail at the same time */
	uint32_t key_lease_ms; /* validity of unconfirmed keys; 0: forever */
	uint32_t stop_ms;      /* time limit of a shutdown; 0: none */
	/* for which an endpoint that is leaving serves; 0: not at all */
	uint32_t endpoint_drain_ms;
	/*
	 * Repeats of requests that endpoints may receive in any such window,
	 * from all VMs together: a share of the requests, and the slack.
	 */
	uint32_t retry_permille; /* bounds that of each service */
	uint32_t retry_slack;
	uint32_t retry_window_ms;
	uint64_t peer; /* listen address for other VMs */
	/*
	 * Where connections of other VMs to endpoints are accepted, to be
	 * forwarded; its port is the same on all VMs.  0: none are forwarded.
	 */
	uint64_t tunnel;
	uint64_t peers[DL_SETTINGS_PEERS_MAX]; /* asked for other members */
	uint32_t peers_count;
	uint64_t replicas[DL_SETTINGS_REPLICAS_MAX];
	uint32_t replicas_count;
	char data_folder[DL_SETTINGS_PATH_MAX + 1];
	char log_file[DL_SETTINGS_PATH_MAX + 1]; /* empty: standard error */
	/*
	 * For tests: a file that is read repeatedly, with the address of a peer
	 * to disconnect on each line.
	 */
	char cut_file[DL_SETTINGS_PATH_MAX + 1];
	enum dl_level log_level;
	uint32_t buffer_mb; /* limit on buffered request bodies */
	uint32_t connections_max;
};

/*
 * Returns 0 or a negative errno; -EINVAL with the offending key in err. The
 * file is read completely before it is parsed.
 */
int dl_settings_load(const char *path, struct dl_settings *out,
		     struct dl_err *err);
int dl_settings_parse(struct dl_str text, struct dl_settings *out,
		      struct dl_err *err);
/* The domain whose VMs share pools: the region if one is set. */
const struct dl_name *dl_settings_pool_domain(const struct dl_settings *s);

#endif
