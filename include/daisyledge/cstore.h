/*
 * The state machine of the replicated log: versions of the configuration,
 * answers to change ids, idempotency claims, evacuated failure domains, and the
 * fencing term of orders. It is deterministic: the same commands in the same
 * order give the same state and replies on every replica. Commands and
 * snapshots are opaque bytes to the log. Times in commands are the leader's
 * wall clock and are used for expiry only.
 */
#ifndef DAISYLEDGE_CSTORE_H
#define DAISYLEDGE_CSTORE_H

#include "daisyledge/evacuation.h"

struct dl_cstore;

/* Limits on the number of answered change ids and of claims. */
#define DL_CSTORE_CHANGES_MAX 10000
#define DL_CSTORE_CLAIMS_MAX  100000
/* Limit on the number of versions in the history. */
#define DL_CSTORE_HISTORY_MAX 200
/* Limit on the size of old versions' texts, which are kept for roll-forward. */
#define DL_CSTORE_HISTORY_BYTES (8u << 20)
/* Limits on the size of a claim's key, of its outcome, and of all claims. */
#define DL_CSTORE_KEY_MAX     512
#define DL_CSTORE_OUTCOME_MAX 16384
#define DL_CSTORE_CLAIM_BYTES (16u << 20)
/*
 * The status of an outcome whose body is not kept and that was no error:
 * without the body it would look whole.
 */
#define DL_CSTORE_NOT_KEPT 409
/* Longest lifetime of a claim; lifetimes are rounded up to 2^n s. */
#define DL_CSTORE_EXPIRES_MAX_S (1u << 20)

/* An APPLY needs cmd.confirm because of its impact; nothing was changed. */
#define DL_ECONFIRM (-1006)

/* State of a claim on an idempotency key. */
enum dl_claim_state {
	DL_CLAIM_NEW,	  /* claimed by this command: run the request */
	DL_CLAIM_RUNNING, /* claimed by another: in progress or unknown */
	DL_CLAIM_DONE,	  /* its outcome is recorded */
};

enum dl_cstore_op {
	DL_CSTORE_APPLY,    /* create a version of the configuration */
	DL_CSTORE_CLAIM,    /* claim a key */
	DL_CSTORE_OUTCOME,  /* record a claim's outcome */
	DL_CSTORE_UNCLAIM,  /* the request provably did not run */
	DL_CSTORE_FENCE,    /* a new leader's first entry: raise the term */
	DL_CSTORE_EVACUATE, /* begin or end the evacuation of a domain */
	DL_CSTORE_OP_COUNT,
};

/* A decoded command; unused fields are zero. */
struct dl_cstore_cmd {
	enum dl_cstore_op op;
	int64_t wall_ms; /* the leader's wall clock */
	/* DL_CSTORE_APPLY */
	struct dl_str text;
	struct dl_str change_id; /* chosen by the operator's client */
	struct dl_str author;
	uint64_t expect; /* version to replace; UINT64_MAX: any */
	/* the operator accepted the impact; EVACUATE: begin, otherwise end */
	bool confirm;
	/*
	 * Serial number of a text that the leader has parsed without faults and
	 * that names no replicas; 0 if it was not checked.
	 */
	uint64_t checked_number;
	/* DL_CSTORE_CLAIM, DL_CSTORE_OUTCOME and DL_CSTORE_UNCLAIM */
	/* service, workspace and key, joined; EVACUATE: the failure domain */
	struct dl_str key;
	uint64_t owner;	    /* the request that claims the key */
	uint64_t body_hash; /* reusing the key for another body is an error */
	uint32_t expires_s;
	uint16_t status;       /* OUTCOME: HTTP status of the answer */
	struct dl_str outcome; /* OUTCOME: body of the answer, bounded */
	/* DL_CSTORE_FENCE */
	uint64_t term;
};

/*
 * Reply to a command; its strings point into the store and are valid until the
 * next command.
 *
 * Codes: 0. APPLY: DL_ECONFLICT; DL_EREUSED; DL_ECONFIRM; -EINVAL (the text has
 * faults, or no majority of the replicas would remain). CLAIM: DL_EREUSED (the
 * key was used with another body); -ENOSPC. OUTCOME, UNCLAIM: -ENOENT (no such
 * claim); -EPERM (claimed by another request); -EALREADY (it has an outcome);
 * -ENOSPC (recorded without its body). FENCE: DL_ECONFLICT (a higher term is in
 * force). EVACUATE: -ENOSPC. Any command: -EINVAL; -EALREADY (this index was
 * executed before); -EBADMSG (not a command).
 */
struct dl_cstore_reply {
	int code;
	uint64_t version; /* APPLY: created, or in force at a conflict */
	bool repeated;	  /* nothing changed: answered before, or so already */
	enum dl_claim_state claim;
	uint64_t owner; /* owner of the claim */
	uint16_t status;
	struct dl_str outcome;
	char text[256]; /* the reason, for people */
};

/* Encode a command into *out, which the caller frees with free(). */
int dl_cstore_encode(const struct dl_cstore_cmd *cmd, char **out, size_t *n);
/* Decode a command; strings point into its bytes. Returns 0 or -EBADMSG. */
int dl_cstore_decode(struct dl_str command, struct dl_cstore_cmd *out);
/*
 * Set the leader's wall clock in an encoded command. Within a term it must not
 * jump forward, so derive it from the monotonic clock; the store ignores jumps
 * between terms. Returns 0, or -EBADMSG if this is not a command.
 */
int dl_cstore_stamp(char *command, size_t n, int64_t wall_ms);

struct dl_cstore *dl_cstore_new(void);
void dl_cstore_free(struct dl_cstore *store);
/* Execute the command at a log index; each index is executed once. */
int dl_cstore_exec(struct dl_cstore *store, uint64_t index,
		   struct dl_str command, struct dl_cstore_reply *reply);
uint64_t dl_cstore_index(const struct dl_cstore *store);
uint64_t dl_cstore_version(const struct dl_cstore *store);
uint64_t dl_cstore_fence(const struct dl_cstore *store);
const struct dl_evacuations *
dl_cstore_evacuations(const struct dl_cstore *store);
/*
 * Look up the text of a version, 0 for the one in force. Returns false if it is
 * not kept.
 */
bool dl_cstore_text(const struct dl_cstore *store, uint64_t version,
		    struct dl_str *out);

struct dl_conf;
struct dl_conf_diff;
/* Whether the text in force has not been parsed; it lists no replicas then. */
bool dl_cstore_conf_unparsed(const struct dl_cstore *store);
/* The configuration in force, parsed now if needed; NULL before the first. */
const struct dl_conf *dl_cstore_conf(struct dl_cstore *store);
/* The serial number of the text in force, or 0. */
uint64_t dl_cstore_number(const struct dl_cstore *store);
/* Compare two versions; -ENOENT if the text of one is not kept. */
int dl_cstore_diff(const struct dl_cstore *store, uint64_t from, uint64_t to,
		   struct dl_conf_diff *out);

/* Number and size of what is kept. */
struct dl_cstore_counts {
	uint32_t changes;
	uint32_t claims;
	uint32_t history;
	size_t claim_bytes;
	size_t history_bytes;
};

void dl_cstore_count(const struct dl_cstore *store,
		     struct dl_cstore_counts *out);

/* An entry of the history; index 0 is the newest. */
struct dl_cstore_change {
	uint64_t version;
	int64_t wall_ms;
	struct dl_str author;
	struct dl_str change_id;
	uint64_t digest;
	size_t bytes;
};

bool dl_cstore_history(const struct dl_cstore *store, uint32_t index,
		       struct dl_cstore_change *out);

int dl_cstore_snapshot(const struct dl_cstore *store, char **out, size_t *n);
/* Replace the whole state; -EINVAL leaves it unchanged. */
int dl_cstore_restore(struct dl_cstore *store, struct dl_str snapshot);

#endif
