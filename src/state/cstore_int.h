/*
 * Inside the store: claims with their expiry, answers to change ids, and the
 * history.  Memory that cannot be had ends the process (g_malloc): a replica
 * that skipped a command would no longer be a replica.
 */
#ifndef DL_STATE_CSTORE_INT_H
#define DL_STATE_CSTORE_INT_H

#include <glib.h>

#include "daisyledge/conf.h"
#include "daisyledge/cstore.h"

/* Claims expire in queues of equal duration, 1 s, 2 s, 4 s and so on. */
#define CLAIM_QUEUES 21

struct claim {
	struct claim *next; /* in its queue, by expiry */
	struct claim *prev;
	int64_t expires_ms; /* on the store's clock */
	uint64_t owner;
	uint64_t body_hash;
	char *outcome;
	uint32_t outcome_n;
	uint16_t status;
	uint8_t queue;
	bool done;
	struct dl_str key; /* in place, behind the struct */
};

struct claim_queue {
	struct claim *head;
	struct claim *tail;
};

struct claims {
	GHashTable *by_key; /* struct dl_str in struct claim -> the claim */
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

/* The answer to one change id. */
struct answer {
	uint64_t text_hash;
	uint64_t expect;
	uint64_t version; /* made, or in force at the conflict */
	int code;	  /* 0 or DL_ECONFLICT */
	struct dl_str id; /* in place, behind the struct */
};

/* One version; its text is dropped once newer ones need the room. */
struct change {
	uint64_t version;
	int64_t wall_ms;
	uint64_t digest;
	size_t bytes;
	struct dl_name author;
	struct dl_name id;
	char *text;
};

/* The latest difference that a loser was told; racing operators come in rows.
 */
struct conflict_diff {
	uint64_t from, to; /* to is 0 for none */
	char text[256];
};

struct dl_cstore {
	uint64_t index;
	uint64_t version;
	uint64_t fence;
	int64_t clock_ms;  /* time that has passed, never more than truly did */
	int64_t wall_ms;   /* the latest wall clock of the present term */
	GHashTable *by_id; /* struct dl_str in struct answer -> the answer */
	struct answer *answers[DL_CSTORE_CHANGES_MAX]; /* a ring */
	uint32_t answers_head, answers_count;
	struct change history[DL_CSTORE_HISTORY_MAX]; /* a ring */
	uint32_t history_head, history_count;
	size_t history_bytes; /* of texts, but for the one in force */
	struct claims claims;
	struct dl_conf *conf; /* NULL before the first version, and while */
	bool conf_unparsed;   /* this says that the text is yet to be parsed */
	uint64_t number;      /* the operators' own of the text in force */
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
