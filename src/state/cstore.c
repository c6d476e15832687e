/*
 * The replicated state machine: versions of the configuration, answers to
 * change ids, claims, evacuated domains, and the fencing term of orders.
 */
#include <errno.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "state/cstore_int.h"

#define TEXT_SEED 0x636f6e66
/*
 * The clock advances by at most this per command; a larger step is a clock that
 * jumped.
 */
#define CLOCK_STEP_MAX_MS 60000

typedef void exec_fn(struct dl_cstore *store, const struct dl_cstore_cmd *cmd,
		     struct dl_cstore_reply *reply);

static exec_fn do_apply, do_claims, do_fence, do_evacuate;

static exec_fn *const ops[DL_CSTORE_OP_COUNT] = {
	[DL_CSTORE_APPLY] = do_apply,	 [DL_CSTORE_CLAIM] = do_claims,
	[DL_CSTORE_OUTCOME] = do_claims, [DL_CSTORE_UNCLAIM] = do_claims,
	[DL_CSTORE_FENCE] = do_fence,	 [DL_CSTORE_EVACUATE] = do_evacuate,
};

static void advance_clock(struct dl_cstore *store,
			  const struct dl_cstore_cmd *cmd);
static void evict_texts(struct dl_cstore *store);
static bool repeat_answer(struct dl_cstore *store,
			  const struct dl_cstore_cmd *cmd,
			  struct dl_cstore_reply *reply);
static void record_answer(struct dl_cstore *store,
			  const struct dl_cstore_cmd *cmd,
			  const struct dl_cstore_reply *reply);
static const char *conflict_diff_text(struct dl_cstore *store, uint64_t from,
				      uint64_t to);
static void report_conflict(struct dl_cstore *store, uint64_t expect,
			    uint64_t version, struct dl_cstore_reply *reply);
static void report_faults(const struct dl_faults *faults,
			  struct dl_cstore_reply *reply);
static int check_impact(struct dl_cstore *store, const struct dl_conf *next,
			bool confirm, struct dl_cstore_reply *reply);
static void activate(struct dl_cstore *store, const struct dl_cstore_cmd *cmd,
		     struct dl_conf *next);
static bool parse_version(const struct dl_cstore *store, uint64_t version,
			  struct dl_conf **out);

/* Hash a struct dl_str, for GHashTable. */
guint cstore_str_hash(gconstpointer key)
{
	const struct dl_str *s = key;

	return (guint)dl_hash(*s, 0);
}

/* Compare two struct dl_str, for GHashTable. */
gboolean cstore_str_equal(gconstpointer a, gconstpointer b)
{
	return dl_str_eq(*(const struct dl_str *)a, *(const struct dl_str *)b);
}

/* Initialize an empty store at version 0. */
void cstore_init(struct dl_cstore *store)
{
	memset(store, 0, sizeof(*store));
	store->by_id = g_hash_table_new_full(cstore_str_hash, cstore_str_equal,
					     NULL, g_free);
	claims_init(&store->claims);
}

/* Free the contents of a store, but not the store. */
void cstore_clear(struct dl_cstore *store)
{
	for (uint32_t i = 0; i < DL_CSTORE_HISTORY_MAX; i++)
		g_free(store->history[i].text);
	g_hash_table_destroy(store->by_id);
	claims_clear(&store->claims);
	dl_conf_free(store->conf);
}

/* Create an empty store, or return NULL if out of memory. */
struct dl_cstore *dl_cstore_new(void)
{
	struct dl_cstore *store = malloc(sizeof(*store));

	if (store)
		cstore_init(store);
	return store;
}

/* Free a store, which may be NULL. */
void dl_cstore_free(struct dl_cstore *store)
{
	if (!store)
		return;
	cstore_clear(store);
	free(store);
}

/* Return the answer at an index, the oldest first; NULL beyond the last. */
const struct answer *cstore_answer_at(const struct dl_cstore *store,
				      uint32_t index)
{
	if (index >= store->answers_count)
		return NULL;
	return store->answers[(store->answers_head + index) %
			      DL_CSTORE_CHANGES_MAX];
}

/* Return the version at an index, the newest first; NULL beyond the last. */
const struct change *cstore_change_at(const struct dl_cstore *store,
				      uint32_t newest)
{
	uint32_t oldest;

	if (newest >= store->history_count)
		return NULL;
	oldest = store->history_count - 1 - newest;
	return &store->history[(store->history_head + oldest) %
			       DL_CSTORE_HISTORY_MAX];
}

/* Keep an answer; a full ring drops the oldest. */
void cstore_add_answer(struct dl_cstore *store, const struct answer *answer)
{
	struct answer *copy = g_malloc(sizeof(*copy) + answer->id.n);
	char *id = (char *)(copy + 1);
	uint32_t at = (store->answers_head + store->answers_count) %
		      DL_CSTORE_CHANGES_MAX;

	*copy = *answer;
	if (answer->id.n)
		memcpy(id, answer->id.s, answer->id.n);
	copy->id.s = id;
	if (store->answers_count == DL_CSTORE_CHANGES_MAX) {
		g_hash_table_remove(store->by_id, &store->answers[at]->id);
		store->answers_head =
			(store->answers_head + 1) % DL_CSTORE_CHANGES_MAX;
	} else {
		store->answers_count++;
	}
	store->answers[at] = copy;
	g_hash_table_insert(store->by_id, &copy->id, copy);
}

/* Evict the oldest texts until the rest fit; the one in force is kept. */
static void evict_texts(struct dl_cstore *store)
{
	for (uint32_t i = 0; i + 1 < store->history_count; i++) {
		struct change *c = &store->history[(store->history_head + i) %
						   DL_CSTORE_HISTORY_MAX];

		if (store->history_bytes <= DL_CSTORE_HISTORY_BYTES)
			return;
		if (!c->text)
			continue;
		store->history_bytes -= c->bytes;
		g_free(c->text);
		c->text = NULL;
	}
}

/* Add a version as the newest; text.s is NULL if its text was evicted. */
void cstore_add_change(struct dl_cstore *store, const struct change *change,
		       struct dl_str text)
{
	const struct change *last = cstore_change_at(store, 0);
	struct change *c;
	uint32_t at = (store->history_head + store->history_count) %
		      DL_CSTORE_HISTORY_MAX;

	if (last && last->text)
		store->history_bytes += last->bytes;
	c = &store->history[at];
	if (store->history_count == DL_CSTORE_HISTORY_MAX) {
		if (c->text)
			store->history_bytes -= c->bytes;
		g_free(c->text);
		store->history_head =
			(store->history_head + 1) % DL_CSTORE_HISTORY_MAX;
	} else {
		store->history_count++;
	}
	*c = *change;
	c->text = NULL;
	if (text.s) {
		c->text = g_malloc(text.n + 1);
		memcpy(c->text, text.s, text.n);
		c->text[text.n] = '\0';
	}
	evict_texts(store);
}

/*
 * Advance the store's clock by the leader's wall clock. Only time within a term
 * counts: the clock of a new leader may be days off, and a clock that runs too
 * fast would expire claims early and let their requests run twice. For the same
 * reason one command advances the clock by a minute at most. Time that is not
 * counted only keeps claims longer, and the store has room for them when
 * commands are that rare.
 */
static void advance_clock(struct dl_cstore *store,
			  const struct dl_cstore_cmd *cmd)
{
	bool new_term = cmd->op == DL_CSTORE_FENCE && cmd->term > store->fence;

	if (new_term || store->wall_ms == 0) {
		store->wall_ms = cmd->wall_ms;
	} else if (cmd->wall_ms > store->wall_ms) {
		store->clock_ms +=
			MIN(cmd->wall_ms - store->wall_ms, CLOCK_STEP_MAX_MS);
		store->wall_ms = cmd->wall_ms;
	}
	claims_expire(&store->claims, store->clock_ms);
}

/* Parse the text of a version if it is still kept; version 0 gives NULL. */
static bool parse_version(const struct dl_cstore *store, uint64_t version,
			  struct dl_conf **out)
{
	struct dl_faults *faults;
	struct dl_str text;
	int rc;

	*out = NULL;
	if (version == 0)
		return true;
	if (!dl_cstore_text(store, version, &text))
		return false;
	faults = g_malloc(sizeof(*faults));
	rc = dl_conf_parse(text, out, faults);
	g_free(faults);
	return rc == 0;
}

/*
 * Compare two versions; from may be 0. Returns -ENOENT if the text of one is
 * not kept.
 */
int dl_cstore_diff(const struct dl_cstore *store, uint64_t from, uint64_t to,
		   struct dl_conf_diff *out)
{
	struct dl_conf *old = NULL, *new = NULL;
	int rc = -ENOENT;

	if (to && parse_version(store, from, &old) &&
	    parse_version(store, to, &new))
		rc = dl_conf_compare(old, new, out);
	dl_conf_free(old);
	dl_conf_free(new);
	return rc;
}

/*
 * Return what changed from one version to another, as far as it fits in a
 * reply. It is cached for the next conflict: it takes two parses, and a leader
 * busy with parsing would miss its heartbeats. Both texts must still be kept,
 * even if the diff is cached, so that every replica gives the same reply.
 */
static const char *conflict_diff_text(struct dl_cstore *store, uint64_t from,
				      uint64_t to)
{
	struct conflict_diff *cached = &store->conflict_diff;
	struct dl_conf_diff diff;
	struct dl_str text;

	if (from >= to || !dl_cstore_text(store, to, &text) ||
	    (from && !dl_cstore_text(store, from, &text)))
		return "";
	if (cached->from == from && cached->to == to)
		return cached->text;
	if (dl_cstore_diff(store, from, to, &diff) != 0)
		return "";
	cached->from = from;
	cached->to = to;
	snprintf(cached->text, sizeof(cached->text), ":\n%s", diff.text);
	dl_conf_diff_free(&diff);
	return cached->text;
}

/* Report a conflict: the author of the version in force and what it changed. */
static void report_conflict(struct dl_cstore *store, uint64_t expect,
			    uint64_t version, struct dl_cstore_reply *reply)
{
	const struct change *c = cstore_change_at(store, 0);
	const char *author = "somebody";

	for (uint32_t i = 0; c; c = cstore_change_at(store, ++i)) {
		if (c->version == version && c->author.n)
			author = c->author.s;
	}
	reply->code = DL_ECONFLICT;
	reply->version = version;
	g_snprintf(reply->text, sizeof(reply->text),
		   "version %" PRIu64 " by %s is in force%s", version, author,
		   conflict_diff_text(store, expect, version));
}

/* Report the first fault of a text and the number of faults. */
static void report_faults(const struct dl_faults *faults,
			  struct dl_cstore_reply *reply)
{
	const struct dl_fault *f = &faults->items[0];

	reply->code = -EINVAL;
	snprintf(reply->text, sizeof(reply->text),
		 "%u fault%s, the first on line %u, %s: %.100s", faults->count,
		 faults->count == 1 ? "" : "s", f->line, f->path, f->text);
}

/* Repeat the answer to a change id that was answered before. */
static bool repeat_answer(struct dl_cstore *store,
			  const struct dl_cstore_cmd *cmd,
			  struct dl_cstore_reply *reply)
{
	const struct answer *a;

	a = g_hash_table_lookup(store->by_id, &cmd->change_id);
	if (!a)
		return false;
	reply->repeated = true;
	if (a->text_hash != dl_hash(cmd->text, TEXT_SEED)) {
		reply->code = DL_EREUSED;
		reply->version = a->version;
		snprintf(reply->text, sizeof(reply->text),
			 "this change id was used before with another text");
	} else if (a->code == 0) {
		reply->version = a->version;
	} else {
		report_conflict(store, a->expect, a->version, reply);
	}
	return true;
}

static void record_answer(struct dl_cstore *store,
			  const struct dl_cstore_cmd *cmd,
			  const struct dl_cstore_reply *reply)
{
	struct answer a = {
		.text_hash = dl_hash(cmd->text, TEXT_SEED),
		.expect = cmd->expect,
		.version = reply->version,
		.code = reply->code,
		.id = cmd->change_id,
	};

	cstore_add_answer(store, &a);
}

/* Check whether a valid text must be refused for its impact. */
static int check_impact(struct dl_cstore *store, const struct dl_conf *next,
			bool confirm, struct dl_cstore_reply *reply)
{
	struct dl_conf_diff diff;
	bool needs_confirm;

	dl_cstore_conf(store);
	if (!store->conf)
		return 0;
	if (!dl_conf_keeps_majority(store->conf, next)) {
		snprintf(
			reply->text, sizeof(reply->text),
			"replicas: no majority of the %u in force would remain; "
			"replace fewer at a time",
			store->conf->replicas_count);
		return -EINVAL;
	}
	if (confirm)
		return 0;
	dl_conf_compare(store->conf, next, &diff);
	needs_confirm = diff.needs_confirm;
	if (needs_confirm)
		snprintf(reply->text, sizeof(reply->text),
			 "this removes a service in use or most of a capacity "
			 "and must be confirmed:\n%s",
			 diff.text);
	dl_conf_diff_free(&diff);
	return needs_confirm ? DL_ECONFIRM : 0;
}

/*
 * Put a text in force as a new version; next is NULL if it is not parsed yet.
 */
static void activate(struct dl_cstore *store, const struct dl_cstore_cmd *cmd,
		     struct dl_conf *next)
{
	struct change c = {
		.version = store->version + 1,
		.wall_ms = cmd->wall_ms,
		.digest = dl_conf_digest(cmd->text),
		.bytes = cmd->text.n,
	};

	dl_name_set(&c.author, cmd->author);
	dl_name_set(&c.id, cmd->change_id);
	cstore_add_change(store, &c, cmd->text);
	dl_conf_free(store->conf);
	store->conf = next;
	store->conf_unparsed = !next;
	store->number = next ? next->number : cmd->checked_number;
	store->version = c.version;
}

/*
 * Return whether the serial number of a text is not above that of the text in
 * force. Such a text is old or repeated: it changes nothing, and its operator
 * is told that the version in force stands.
 */
static bool is_superseded(const struct dl_cstore *store, uint64_t number,
			  struct dl_cstore_reply *reply)
{
	if (!number || !store->version || number > store->number)
		return false;
	reply->repeated = true;
	return true;
}

/*
 * Return whether a text can be put in force without parsing it: the leader
 * found no faults, the operator accepts any change, and no list of replicas is
 * affected. This is for a replica that executes a dozen texts after a restart
 * and needs only the last (818 KB take 40 ms to parse, and 0.27 s on 0.15
 * cores).
 */
static bool can_skip_parse(const struct dl_cstore *store,
			   const struct dl_cstore_cmd *cmd)
{
	return cmd->checked_number && cmd->confirm &&
	       cmd->expect == UINT64_MAX &&
	       (store->conf_unparsed || !store->conf ||
		store->conf->replicas_count == 0);
}

/*
 * Apply a text. Final answers (applied, or lost to another change) are recorded
 * under the change id. A text that was refused as faulty or unconfirmed changed
 * nothing, so its id can be used again for a corrected one.
 */
static void do_apply(struct dl_cstore *store, const struct dl_cstore_cmd *cmd,
		     struct dl_cstore_reply *reply)
{
	struct dl_conf *next;
	int rc;

	reply->version = store->version;
	if (cmd->change_id.n == 0 || cmd->change_id.n > DL_NAME_MAX ||
	    cmd->author.n > DL_NAME_MAX) {
		reply->code = -EINVAL;
		snprintf(reply->text, sizeof(reply->text),
			 "a change id must have 1 to %d bytes, an author at "
			 "most %d",
			 DL_NAME_MAX, DL_NAME_MAX);
		return;
	}
	if (repeat_answer(store, cmd, reply))
		return;
	if (cmd->expect != UINT64_MAX && cmd->expect != store->version) {
		report_conflict(store, cmd->expect, store->version, reply);
		record_answer(store, cmd, reply);
		return;
	}
	if (can_skip_parse(store, cmd)) {
		if (is_superseded(store, cmd->checked_number, reply))
			return;
		activate(store, cmd, NULL);
		reply->version = store->version;
		record_answer(store, cmd, reply);
		return;
	}
	rc = dl_conf_parse(cmd->text, &next, &store->faults);
	if (rc == -ENOMEM)
		g_error("out of memory while executing a command");
	if (rc) {
		report_faults(&store->faults, reply);
		return;
	}
	if (is_superseded(store, next->number, reply)) {
		dl_conf_free(next);
		return;
	}
	reply->code = check_impact(store, next, cmd->confirm, reply);
	if (reply->code) {
		dl_conf_free(next);
		return;
	}
	activate(store, cmd, next);
	reply->version = store->version;
	record_answer(store, cmd, reply);
}

static void do_claims(struct dl_cstore *store, const struct dl_cstore_cmd *cmd,
		      struct dl_cstore_reply *reply)
{
	claims_exec(&store->claims, cmd, store->clock_ms, reply);
}

/* Raise the fencing term; it never decreases. */
static void do_fence(struct dl_cstore *store, const struct dl_cstore_cmd *cmd,
		     struct dl_cstore_reply *reply)
{
	if (cmd->term < store->fence) {
		reply->code = DL_ECONFLICT;
		snprintf(reply->text, sizeof(reply->text),
			 "term %" PRIu64 " is in force", store->fence);
		return;
	}
	reply->repeated = cmd->term == store->fence;
	store->fence = cmd->term;
}

/* Begin or end the evacuation of a failure domain; a repeat is accepted. */
static void do_evacuate(struct dl_cstore *store,
			const struct dl_cstore_cmd *cmd,
			struct dl_cstore_reply *reply)
{
	reply->version = store->version;
	reply->code =
		dl_evacuations_set(&store->evacuations, cmd->key, cmd->confirm);
	reply->repeated = reply->code == -EALREADY;
	if (reply->repeated)
		reply->code = 0;
	if (reply->code == -ENOSPC)
		snprintf(reply->text, sizeof(reply->text),
			 "%d failure domains are evacuated, which is the limit",
			 DL_EVACUATIONS_MAX);
	else if (reply->code)
		snprintf(reply->text, sizeof(reply->text),
			 "a failure domain must have 1 to %d bytes",
			 DL_NAME_MAX);
}

/*
 * Execute the command at a log index. Returns 0 and the result in reply->code;
 * -EALREADY for an index that was executed before, which changes nothing; or
 * -EBADMSG for bytes that are not a command, which count as executed. reply
 * must not be NULL.
 */
int dl_cstore_exec(struct dl_cstore *store, uint64_t index,
		   struct dl_str command, struct dl_cstore_reply *reply)
{
	struct dl_cstore_cmd cmd;

	memset(reply, 0, sizeof(*reply));
	reply->outcome = (struct dl_str){ "", 0 };
	if (index <= store->index) {
		reply->code = -EALREADY;
		return -EALREADY;
	}
	store->index = index;
	if (dl_cstore_decode(command, &cmd) != 0) {
		reply->code = -EBADMSG;
		return -EBADMSG;
	}
	advance_clock(store, &cmd);
	ops[cmd.op](store, &cmd, reply);
	return 0;
}

/* Return the last executed index. */
uint64_t dl_cstore_index(const struct dl_cstore *store)
{
	return store->index;
}

/* Return the version in force, or 0 before the first. */
uint64_t dl_cstore_version(const struct dl_cstore *store)
{
	return store->version;
}

/* Return the highest fencing term. */
uint64_t dl_cstore_fence(const struct dl_cstore *store)
{
	return store->fence;
}

/* Return the evacuated failure domains. */
const struct dl_evacuations *
dl_cstore_evacuations(const struct dl_cstore *store)
{
	return &store->evacuations;
}

/* Return whether the text in force has not been parsed. */
bool dl_cstore_conf_unparsed(const struct dl_cstore *store)
{
	return store->conf_unparsed;
}

/*
 * Return the configuration in force, parsed if needed; NULL before the first.
 */
const struct dl_conf *dl_cstore_conf(struct dl_cstore *store)
{
	if (store->conf_unparsed)
		cstore_parse_current(store);
	return store->conf;
}

/* Return the serial number of the text in force, or 0. */
uint64_t dl_cstore_number(const struct dl_cstore *store)
{
	return store->number;
}

/* Look up the text of a version, 0 for the one in force; false if not kept. */
bool dl_cstore_text(const struct dl_cstore *store, uint64_t version,
		    struct dl_str *out)
{
	const struct change *newest = cstore_change_at(store, 0), *c;

	if (!newest || version > newest->version)
		return false;
	c = version == 0 ?
		    newest :
		    cstore_change_at(store,
				     (uint32_t)MIN(newest->version - version,
						   UINT32_MAX));
	if (!c || !c->text)
		return false;
	*out = (struct dl_str){ c->text, c->bytes };
	return true;
}

/* Get an entry of the history, the newest at index 0; false beyond the last. */
bool dl_cstore_history(const struct dl_cstore *store, uint32_t index,
		       struct dl_cstore_change *out)
{
	const struct change *c = cstore_change_at(store, index);

	if (!c)
		return false;
	out->version = c->version;
	out->wall_ms = c->wall_ms;
	out->author = dl_name_str(&c->author);
	out->change_id = dl_name_str(&c->id);
	out->digest = c->digest;
	out->bytes = c->bytes;
	return true;
}

/* Count what is kept, for status and measurements. */
void dl_cstore_count(const struct dl_cstore *store,
		     struct dl_cstore_counts *out)
{
	out->changes = store->answers_count;
	out->claims = claims_count(&store->claims);
	out->history = store->history_count;
	out->claim_bytes = store->claims.bytes;
	out->history_bytes = store->history_bytes;
}
