/*
 * Claims on idempotency keys. Claims are found by hash and expire from the
 * heads of queues of equal durations, so that the cost of a command does not
 * depend on the number of claims.
 */
#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "state/cstore_int.h"

#define MS_PER_S 1000

typedef void claim_fn(struct claims *claims, const struct dl_cstore_cmd *cmd,
		      struct claim *claim, int64_t clock_ms,
		      struct dl_cstore_reply *reply);

#define STATUS_ERROR 500

static claim_fn do_claim, do_outcome, do_unclaim;

static claim_fn *const ops[DL_CSTORE_OP_COUNT] = {
	[DL_CSTORE_CLAIM] = do_claim,
	[DL_CSTORE_OUTCOME] = do_outcome,
	[DL_CSTORE_UNCLAIM] = do_unclaim,
};

static unsigned queue_for(uint32_t expires_s);
static void enqueue(struct claims *claims, struct claim *claim);
static void dequeue(struct claims *claims, struct claim *claim);
static void fill_reply(struct dl_cstore_reply *reply,
		       const struct claim *claim);
static void claim_free(gpointer claim);
static bool check_owner(const struct dl_cstore_cmd *cmd,
			const struct claim *claim,
			struct dl_cstore_reply *reply);

/* Return the queue of the shortest duration that is long enough. */
static unsigned queue_for(uint32_t expires_s)
{
	unsigned queue = 0;

	while ((1u << queue) < expires_s && queue < CLAIM_QUEUES - 1)
		queue++;
	return queue;
}

/* Append a claim to its queue, where expiry times never decrease. */
static void enqueue(struct claims *claims, struct claim *claim)
{
	struct claim_queue *q = &claims->queue[claim->queue];

	claim->next = NULL;
	claim->prev = q->tail;
	if (q->tail)
		q->tail->next = claim;
	else
		q->head = claim;
	q->tail = claim;
}

/* Remove a claim from its queue. */
static void dequeue(struct claims *claims, struct claim *claim)
{
	struct claim_queue *q = &claims->queue[claim->queue];

	if (claim->prev)
		claim->prev->next = claim->next;
	else
		q->head = claim->next;
	if (claim->next)
		claim->next->prev = claim->prev;
	else
		q->tail = claim->prev;
}

/* Free a claim that is in no queue. */
static void claim_free(gpointer claim)
{
	g_free(((struct claim *)claim)->outcome);
	g_free(claim);
}

void claims_init(struct claims *claims)
{
	memset(claims, 0, sizeof(*claims));
	claims->by_key = g_hash_table_new_full(
		cstore_str_hash, cstore_str_equal, NULL, claim_free);
}

void claims_clear(struct claims *claims)
{
	g_hash_table_destroy(claims->by_key);
}

uint32_t claims_count(const struct claims *claims)
{
	return g_hash_table_size(claims->by_key);
}

/* Find the claim on a key, or NULL. */
struct claim *claims_find(const struct claims *claims, struct dl_str key)
{
	return g_hash_table_lookup(claims->by_key, &key);
}

/* Add a claim on a key that has none. */
struct claim *claims_add(struct claims *claims, struct dl_str key,
			 unsigned queue, int64_t expires_ms)
{
	struct claim *claim = g_malloc0(sizeof(*claim) + key.n);
	char *bytes = (char *)(claim + 1);

	if (key.n)
		memcpy(bytes, key.s, key.n);
	claim->key = (struct dl_str){ bytes, key.n };
	claim->queue = (uint8_t)queue;
	claim->expires_ms = expires_ms;
	claims->bytes += key.n;
	enqueue(claims, claim);
	g_hash_table_insert(claims->by_key, &claim->key, claim);
	return claim;
}

/* Remove and free a claim. */
void claims_remove(struct claims *claims, struct claim *claim)
{
	dequeue(claims, claim);
	claims->bytes -= claim->key.n + claim->outcome_n;
	g_hash_table_remove(claims->by_key, &claim->key);
}

/* Remove expired claims; the cost is constant per claim. */
void claims_expire(struct claims *claims, int64_t clock_ms)
{
	for (unsigned i = 0; i < CLAIM_QUEUES; i++) {
		struct claim_queue *q = &claims->queue[i];

		while (q->head && q->head->expires_ms <= clock_ms)
			claims_remove(claims, q->head);
	}
}

/* Store the body of an outcome; false if it exceeds the limits. */
bool claims_set_outcome(struct claims *claims, struct claim *claim,
			struct dl_str outcome)
{
	claims->bytes -= claim->outcome_n;
	g_free(claim->outcome);
	claim->outcome = NULL;
	claim->outcome_n = 0;
	if (outcome.n > DL_CSTORE_OUTCOME_MAX ||
	    claims->bytes + outcome.n > DL_CSTORE_CLAIM_BYTES)
		return false;
	if (outcome.n) {
		claim->outcome = g_malloc(outcome.n);
		memcpy(claim->outcome, outcome.s, outcome.n);
	}
	claim->outcome_n = (uint32_t)outcome.n;
	claims->bytes += outcome.n;
	return true;
}

/* Copy the state of a claim into a reply. */
static void fill_reply(struct dl_cstore_reply *reply, const struct claim *claim)
{
	reply->claim = claim->done ? DL_CLAIM_DONE : DL_CLAIM_RUNNING;
	reply->owner = claim->owner;
	reply->status = claim->status;
	reply->outcome = (struct dl_str){
		claim->outcome ? claim->outcome : "",
		claim->outcome_n,
	};
}

/*
 * Claim a key. The owner gets the same answer if it claims the key again
 * because the answer was lost. A full store refuses the claim, and thereby the
 * request: without a claim it could run twice.
 */
static void do_claim(struct claims *claims, const struct dl_cstore_cmd *cmd,
		     struct claim *claim, int64_t clock_ms,
		     struct dl_cstore_reply *reply)
{
	unsigned queue = queue_for(cmd->expires_s);
	int64_t duration_ms = ((int64_t)1 << queue) * MS_PER_S;

	if (claim) {
		fill_reply(reply, claim);
		if (claim->body_hash != cmd->body_hash)
			reply->code = DL_EREUSED;
		else if (!claim->done && claim->owner == cmd->owner)
			reply->claim = DL_CLAIM_NEW;
		return;
	}
	if (cmd->expires_s == 0 || cmd->expires_s > DL_CSTORE_EXPIRES_MAX_S) {
		reply->code = -EINVAL;
		return;
	}
	if (claims_count(claims) >= DL_CSTORE_CLAIMS_MAX ||
	    claims->bytes + cmd->key.n > DL_CSTORE_CLAIM_BYTES) {
		reply->code = -ENOSPC;
		return;
	}
	claim = claims_add(claims, cmd->key, queue, clock_ms + duration_ms);
	claim->owner = cmd->owner;
	claim->body_hash = cmd->body_hash;
	fill_reply(reply, claim);
	reply->claim = DL_CLAIM_NEW;
}

/* Check that the claim exists and belongs to the command's owner. */
static bool check_owner(const struct dl_cstore_cmd *cmd,
			const struct claim *claim,
			struct dl_cstore_reply *reply)
{
	if (!claim) {
		reply->code = -ENOENT;
		return false;
	}
	fill_reply(reply, claim);
	if (claim->owner == cmd->owner)
		return true;
	reply->code = -EPERM;
	return false;
}

/*
 * Record an outcome; the first one is kept. A lifetime in the command starts
 * from now.
 */
static void do_outcome(struct claims *claims, const struct dl_cstore_cmd *cmd,
		       struct claim *claim, int64_t clock_ms,
		       struct dl_cstore_reply *reply)
{
	if (!check_owner(cmd, claim, reply))
		return;
	if (claim->done) {
		reply->repeated = true;
		return;
	}
	claim->done = true;
	claim->status = cmd->status;
	if (!claims_set_outcome(claims, claim, cmd->outcome)) {
		reply->code = -ENOSPC;
		/* Without its body the answer would look whole and be empty. */
		if (claim->status < STATUS_ERROR)
			claim->status = DL_CSTORE_NOT_KEPT;
	}
	if (cmd->expires_s && cmd->expires_s <= DL_CSTORE_EXPIRES_MAX_S) {
		dequeue(claims, claim);
		claim->queue = (uint8_t)queue_for(cmd->expires_s);
		claim->expires_ms =
			clock_ms + ((int64_t)1 << claim->queue) * MS_PER_S;
		enqueue(claims, claim);
	}
	fill_reply(reply, claim);
}

/* Release a key whose request provably did not run. */
static void do_unclaim(struct claims *claims, const struct dl_cstore_cmd *cmd,
		       struct claim *claim, int64_t clock_ms,
		       struct dl_cstore_reply *reply)
{
	if (!check_owner(cmd, claim, reply))
		return;
	if (claim->done) {
		reply->code = -EALREADY;
		return;
	}
	claims_remove(claims, claim);
	reply->outcome = (struct dl_str){ "", 0 };
}

/* Execute a command on claims. */
void claims_exec(struct claims *claims, const struct dl_cstore_cmd *cmd,
		 int64_t clock_ms, struct dl_cstore_reply *reply)
{
	if (cmd->key.n == 0 || cmd->key.n > DL_CSTORE_KEY_MAX) {
		reply->code = -EINVAL;
		return;
	}
	ops[cmd->op](claims, cmd, claims_find(claims, cmd->key), clock_ms,
		     reply);
}
