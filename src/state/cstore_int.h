/*
 * Internals of the store: claims with their expiry, answers to change ids, and
 * the history. A failed allocation aborts the process (g_malloc): a replica
 * that skipped a command would diverge from the others.
 */
#ifndef DL_STATE_CSTORE_INT_H
#define DL_STATE_CSTORE_INT_H

#include <glib.h>

#include "daisyledge/conf.h"
#include "daisyledge/cstore.h"

/* Claims expire from queues of equal durations: 1 s, 2 s, 4 s and so on. */
#define CLAIM_QUEUES 21

struct claim {
	struct claim *next; /* in its queue, ordered by expiry */
	struct claim *prev;
	int64_t expires_ms; /* by the store's clock */
	uint64_t owner;
	uint64_t body_hash;
	char *outcome;
	uint32_t outcome_n;
	uint16_t status;
	uint8_t queue;
	bool done;
	struct dl_str key; /* stored after the struct */
};

struct claim_queue {
	struct claim *head;
	struct claim *tail;
};

struct claims {
	GHashTable *by_key; /* key (struct dl_str in the claim) -> claim */
	struct claim_queue queue[CLAIM_QUEUES];
	size_t bytes; /* of keys and outcomes */
};

void claims_init(struct claims *claims);
void claims_clear(struct claims *claims);
void claims_expire(struct claims *claims, int64_t clock_ms);
uint32_t claims_count(const struct claims *claims);
struct claim *claims_find(const struct claims *claims, struct dl_str key);
struct claim *claims_add(struct claims *claims, struct dl_str key,
			 unsigned queue, int64_t expires_ms);
void claims_remove(struct claims *claims, struct claim *claim);
bool claims_set_outcome(struct claims *claims, struct claim *claim,
			struct dl_str outcome);
void claims_exec(struct claims *claims, const struct dl_cstore_cmd *cmd,
		 int64_t clock_ms, struct dl_cstore_reply *reply);

/* The recorded answer to a change id. */
struct answer {
	uint64_t text_hash;
	uint64_t expect;
	uint64_t version; /* created, or in force at the conflict */
	int code;	  /* 0 or DL_ECONFLICT */
	struct dl_str id; /* stored after the struct */
};

/* A version; its text is evicted when newer ones need the space. */
struct change {
	uint64_t version;
	int64_t wall_ms;
	uint64_t digest;
	size_t bytes;
	struct dl_name author;
	struct dl_name id;
	char *text;
};

/*
 * The diff of the last reported conflict: operators that race on one version
 * conflict in quick succession.
 */
struct conflict_diff {
	uint64_t from, to; /* to is 0 if there is none */
	char text[256];
};

struct dl_cstore {
	uint64_t index;
	uint64_t version;
	uint64_t fence;
	int64_t clock_ms;  /* time passed, never more than in reality */
	int64_t wall_ms;   /* latest wall clock of the current term */
	GHashTable *by_id; /* id (struct dl_str in the answer) -> answer */
	struct answer *answers[DL_CSTORE_CHANGES_MAX]; /* ring buffer */
	uint32_t answers_head, answers_count;
	struct change history[DL_CSTORE_HISTORY_MAX]; /* ring buffer */
	uint32_t history_head, history_count;
	size_t history_bytes; /* of texts other than the one in force */
	struct claims claims;
	struct dl_evacuations evacuations;
	struct dl_conf *conf; /* NULL without a version or if unparsed */
	bool conf_unparsed;   /* the text in force has not been parsed */
	uint64_t number;      /* serial number of the text in force */
	struct dl_faults faults;
	struct conflict_diff conflict_diff;
};

guint cstore_str_hash(gconstpointer key);
gboolean cstore_str_equal(gconstpointer a, gconstpointer b);
void cstore_init(struct dl_cstore *store);
void cstore_clear(struct dl_cstore *store);
void cstore_parse_current(struct dl_cstore *store);
void cstore_add_answer(struct dl_cstore *store, const struct answer *answer);
void cstore_add_change(struct dl_cstore *store, const struct change *change,
		       struct dl_str text);
const struct answer *cstore_answer_at(const struct dl_cstore *store,
				      uint32_t index);
const struct change *cstore_change_at(const struct dl_cstore *store,
				      uint32_t newest);

#endif
