/*
 * The settings of one process: a small JSON file, daisyledge-settings(5).
 */
#ifndef DL_PROTOCOL_SETTINGS_H
#define DL_PROTOCOL_SETTINGS_H

#include "protocol/sign.h"

#define DL_SETTINGS_PEERS_MAX	 64
#define DL_SETTINGS_REPLICAS_MAX 7
#define DL_SETTINGS_PATH_MAX	 255

struct dl_settings {
	struct dl_name name;
	struct dl_name failure_domain;
	struct dl_name region; /* its VMs share their pools; empty: no such */
	uint64_t http;	       /* callers' door; 0 on a replica */
	uint64_t operators;    /* operators' door; 0: the callers' one */
	uint64_t endpoints;    /* endpoints' door; 0: the callers' one */
	struct dl_keys operator_keys; /* what operators send must be signed */
	struct dl_keys endpoint_keys;
	uint64_t metrics; /* counters and histograms; 0: no address */
	uint64_t ready;	  /* the balancer's door; 0: on every other one */
	bool foreign; /* doors speak the platform's protocol, see dialect.h */
	/*
	 * The group of replicas founds and repairs itself: seeds are doors of
	 * some replicas, which listen for their peers on the port of our own
	 * peer address; only where found is true may an empty disk begin a log.
	 */
	bool found;
	uint32_t failures_max; /* replicas that may be lost at once */
	uint32_t key_lease_ms; /* a key is trusted without word; 0 for ever */
	uint32_t stop_ms;      /* a stop must be over by then; 0: no bound */
	uint64_t peer;	       /* other VMs' door */
	uint64_t peers[DL_SETTINGS_PEERS_MAX]; /* asked for the others */
	uint32_t peers_count;
	uint64_t replicas[DL_SETTINGS_REPLICAS_MAX];
	uint32_t replicas_count;
	char data_folder[DL_SETTINGS_PATH_MAX + 1];
	char log_file[DL_SETTINGS_PATH_MAX + 1]; /* empty: standard error */
	/* For tests: peers to be cut off, an address a line; read again. */
	char cut_file[DL_SETTINGS_PATH_MAX + 1];
	enum dl_level log_level;
	uint32_t buffer_mb; /* request bodies held at once */
	uint32_t connections_max;
};

/* 0, or -EINVAL with the key at fault in err; the file is read whole. */
int dl_settings_load(const char *path, struct dl_settings *out,
		     struct dl_err *err);
int dl_settings_parse(struct dl_str text, struct dl_settings *out,
		      struct dl_err *err);
/* Whose VMs dispatch together: the region where one is set. */
const struct dl_name *dl_settings_pool_domain(const struct dl_settings *s);

#endif
