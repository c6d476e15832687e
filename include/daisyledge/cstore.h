/*
 * What the replicated log decides about: versions of the configuration,
 * answers to change ids, idempotency claims, and the fencing term of orders.
 * A deterministic state machine: the same commands in the same order give the
 * same state and replies on every replica.  Commands and snapshots are opaque
 * bytes to the log.  Times inside commands are the leader's wall clock and are
 * used for expiry only.
 */
#ifndef DAISYLEDGE_CSTORE_H
#define DAISYLEDGE_CSTORE_H

#include "daisyledge/base.h"

struct dl_cstore;

/* How many answered change ids, and claims, are kept. */
#define DL_CSTORE_CHANGES_MAX 10000
#define DL_CSTORE_CLAIMS_MAX  100000
/* How many old versions are listed by the history. */
#define DL_CSTORE_HISTORY_MAX 200
/* How many bytes of old versions' texts are kept for roll forward. */
#define DL_CSTORE_HISTORY_BYTES (8u << 20)
/* Bounds of claims: the bytes of one key, of one outcome, of all of them. */
#define DL_CSTORE_KEY_MAX     512
#define DL_CSTORE_OUTCOME_MAX 16384
#define DL_CSTORE_CLAIM_BYTES (16u << 20)
/* The longest that a claim may be kept; times are rounded up to 2^n s. */
#define DL_CSTORE_EXPIRES_MAX_S (1u << 20)

/* An APPLY whose impact needs cmd.confirm; nothing was changed. */
#define DL_ECONFIRM (-1006)

/* What a claim on an idempotency key says. */
enum dl_claim_state {
	DL_CLAIM_NEW,	  /* it is yours: run the request */
	DL_CLAIM_RUNNING, /* another holds it: in progress or unknown */
	DL_CLAIM_DONE,	  /* its outcome is recorded */
};

enum dl_cstore_op {
	DL_CSTORE_APPLY,   /* a new version of the configuration */
	DL_CSTORE_CLAIM,   /* claim a key */
	DL_CSTORE_OUTCOME, /* record a claim's outcome */
	DL_CSTORE_UNCLAIM, /* the request provably did not run */
	DL_CSTORE_FENCE,   /* a new order-giver's first entry */
	DL_CSTORE_OP_COUNT,
};

/* A command before it is encoded; unused fields are zero. */
struct dl_cstore_cmd {
	enum dl_cstore_op op;
	int64_t wall_ms; /* the leader's wall clock */
	/* APPLY */
	struct dl_str text;
	struct dl_str change_id; /* chosen by the operator's client */
	struct dl_str author;
	uint64_t expect; /* version replaced; UINT64_MAX: whichever */
	bool confirm;	 /* the operator accepted the impact */
	/*
	 * The operators' own number of a text that its leader has parsed and
	 * found without faults, and that names no replicas; 0: not looked at.
	 */
	uint64_t checked_number;
	/* CLAIM, OUTCOME, UNCLAIM */
	struct dl_str key;  /* service, workspace and key, joined */
	uint64_t owner;	    /* the request that claims */
	uint64_t body_hash; /* another body under the key is an error */
	uint32_t expires_s;
	uint16_t status;       /* OUTCOME: the answer's HTTP status */
	struct dl_str outcome; /* OUTCOME: the answer's body, bounded */
	/* FENCE */
	uint64_t term;
};

/*
 * What a command came to; strings point into the store until its next one.
 * Codes: 0; APPLY: DL_ECONFLICT, DL_EREUSED, DL_ECONFIRM, -EINVAL (faulty
 * text, or no majority of the replicas would stay); CLAIM: DL_EREUSED (another
 * body under the key), -ENOSPC; OUTCOME, UNCLAIM: -ENOENT (no such claim),
 * -EPERM (another's), -EALREADY (it has an outcome), -ENOSPC (recorded without
 * its body); FENCE: DL_ECONFLICT (a higher term is in force); any: -EINVAL,
 * -EALREADY (this index was carried out), -EBADMSG (no command).
 */
struct dl_cstore_reply {
	int code;
	uint64_t version; /* APPLY: made, or in force at a conflict */
	bool repeated;	  /* APPLY: this change id was answered before */
	enum dl_claim_state claim;
	uint64_t owner; /* of the claim */
	uint16_t status;
	struct dl_str outcome;
	char text[256]; /* why, for people */
};

/* Encode a command into *out, which the caller frees with free(). */
int dl_cstore_encode(const struct dl_cstore_cmd *cmd, char **out, size_t *n);
/* Decode one; its strings point into the command.  -EBADMSG for anything else.
 */
int dl_cstore_decode(struct dl_str command, struct dl_cstore_cmd *out);
/*
 * Write the leader's wall clock into an encoded command, in place.  Within one
 * term it must not jump forward, so derive it from the monotonic clock; across
 * terms the store takes no notice of jumps.  -EBADMSG for anything else.
 */
int dl_cstore_stamp(char *command, size_t n, int64_t wall_ms);

struct dl_cstore *dl_cstore_new(void);
void dl_cstore_free(struct dl_cstore *store);
/* Carry out the command at a log index; an index is carried out once. */
int dl_cstore_exec(struct dl_cstore *store, uint64_t index,
		   struct dl_str command, struct dl_cstore_reply *reply);
uint64_t dl_cstore_index(const struct dl_cstore *store);
uint64_t dl_cstore_version(const struct dl_cstore *store);
uint64_t dl_cstore_fence(const struct dl_cstore *store);
/* The text of a version, 0 for the one in force; false where it is not kept. */
bool dl_cstore_text(const struct dl_cstore *store, uint64_t version,
		    struct dl_str *out);

struct dl_conf;
struct dl_conf_diff;
/* Whether the text in force was put there unread; it lists no replicas then. */
bool dl_cstore_conf_unparsed(const struct dl_cstore *store);
/* The parsed configuration in force, read now; NULL before the first. */
const struct dl_conf *dl_cstore_conf(struct dl_cstore *store);
/* The operators' own number of the text in force; 0 where it has none. */
uint64_t dl_cstore_number(const struct dl_cstore *store);
/* The difference of two versions; -ENOENT where a text is not kept. */
int dl_cstore_diff(const struct dl_cstore *store, uint64_t from, uint64_t to,
		   struct dl_conf_diff *out);

/* What is kept now. */
struct dl_cstore_counts {
	uint32_t changes;
	uint32_t claims;
	uint32_t history;
	size_t claim_bytes;
	size_t history_bytes;
};

void dl_cstore_count(const struct dl_cstore *store,
		     struct dl_cstore_counts *out);

/* One line of the history, newest first by index. */
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
/* Replaces the whole state; -EINVAL leaves it as it was. */
int dl_cstore_restore(struct dl_cstore *store, struct dl_str snapshot);

#endif
