/* Records of crashes and of the causes under which they came; see the header.
 */
#include <string.h>

#include "coordination/quarantine_int.h"

/*
 * Length of the quarantine, from the last crash. After it the cause may run
 * once more, since the fault that it triggered may have been fixed.
 */
#define HOLD_MS ((int64_t)60 * 60 * 1000)
/* How long a crash counts; causes that arrive less often do little harm. */
#define CRASH_WINDOW_MS ((int64_t)10 * 60 * 1000)
/*
 * How long a cause that was quarantined is remembered, so that one more crash
 * quarantines it again.
 */
#define RECORD_TTL_MS ((int64_t)24 * 60 * 60 * 1000)
/*
 * Maximum number of recorded causes. A crash interrupts about as many requests
 * as an endpoint runs at once, each with several parts. When the table is full,
 * those with the oldest last crash are evicted, each further crash counting as
 * EVICT_CRASH_MS, and candidates for blame only if there are no others.
 */
#define CAUSES_MAX     4096
#define EVICT_AT_ONCE  256
#define EVICT_CRASH_MS 60000
/* Crashes that are recorded of one cause. */
#define EVIDENCE_MAX 128
/*
 * A restart of an endpoint is noticed within some seconds; until then it is not
 * known whether it crashed under the requests that were interrupted there.
 */
#define INTERRUPTED_MS	10000
#define INTERRUPTED_MAX 4096
/* Distinct requests that show that they are not to blame as a whole. */
#define REQUESTS_ENOUGH 2

/* An interrupted attempt, with the causes that are still to be reported. */
struct interrupted {
	uint64_t start; /* 0: none */
	uint64_t request;
	uint64_t scope;
	uint64_t *part; /* allocated */
	uint32_t parts;
	uint32_t taken; /* causes: the request, then the parts */
	int64_t at;
	int64_t sent;
};

static guint cause_hash(gconstpointer p)
{
	const struct dl_cause *cause = p;
	uint64_t mixed = cause->id ^ (cause->scope << 1 | cause->scope >> 63);

	return g_int64_hash(&mixed);
}

static gboolean cause_equal(gconstpointer a, gconstpointer b)
{
	return memcmp(a, b, sizeof(struct dl_cause)) == 0;
}

static void record_free(gpointer p)
{
	struct record *r = p;

	g_array_free(r->crashes, TRUE);
	g_ptr_array_free(r->rivals, TRUE);
	g_free(r);
}

/* Creates an empty quarantine. */
struct dl_quarantine *dl_quarantine_new(void)
{
	struct dl_quarantine *q = g_new0(struct dl_quarantine, 1);

	q->records = g_hash_table_new_full(cause_hash, cause_equal, NULL,
					   record_free);
	q->interrupted = g_array_new(FALSE, TRUE, sizeof(struct interrupted));
	return q;
}

/* Frees it; NULL is allowed. */
void dl_quarantine_free(struct dl_quarantine *q)
{
	if (!q)
		return;
	for (guint i = 0; i < q->interrupted->len; i++)
		g_free(g_array_index(q->interrupted, struct interrupted, i)
			       .part);
	g_array_free(q->interrupted, TRUE);
	g_hash_table_destroy(q->records);
	g_free(q);
}

/* Records an interrupted attempt, replacing the oldest one. */
void dl_quarantine_attempt_interrupted(struct dl_quarantine *q,
				       const struct dl_causes *causes,
				       uint64_t start, int64_t sent,
				       int64_t now)
{
	struct interrupted *in;
	guint slot = q->interrupted_next++ % INTERRUPTED_MAX;

	if (slot >= q->interrupted->len)
		g_array_set_size(q->interrupted, slot + 1);
	in = &g_array_index(q->interrupted, struct interrupted, slot);
	q->dropped += in->start && now - in->at < INTERRUPTED_MS;
	g_free(in->part);
	*in = (struct interrupted){
		.start = start,
		.request = causes->request,
		.scope = causes->scope,
		.part = g_memdup2(causes->part,
				  causes->parts * sizeof(*causes->part)),
		.parts = causes->parts,
		.at = now,
		.sent = sent,
	};
}

/* Takes the next cause of an interrupted attempt. */
static struct dl_cause take_cause(struct interrupted *in)
{
	uint32_t n = in->taken++;

	if (in->taken > in->parts)
		in->start = 0;
	if (n == 0)
		return (struct dl_cause){ in->request, 0 };
	return (struct dl_cause){ in->part[n - 1], in->scope };
}

/* Takes one cause of the attempts that were interrupted at an instance. */
bool dl_quarantine_next_crash(struct dl_quarantine *q, uint64_t start,
			      int64_t now, struct dl_crash *out)
{
	for (guint i = 0; start && i < q->interrupted->len; i++) {
		struct interrupted *in =
			&g_array_index(q->interrupted, struct interrupted, i);

		if (in->start != start || now - in->at >= INTERRUPTED_MS)
			continue;
		*out = (struct dl_crash){
			.request = in->request,
			.start = start,
			.age_ms = (uint32_t)(now - in->at),
			.ran_ms = (uint32_t)CLAMP(in->at - in->sent, 0,
						  UINT32_MAX),
		};
		out->cause = take_cause(in);
		out->cleared = dl_quarantine_clear_count(q, &out->cause);
		return true;
	}
	return false;
}

/* Returns the record of a cause, or NULL. */
struct record *quarantine_find(const struct dl_quarantine *q,
			       const struct dl_cause *cause)
{
	return g_hash_table_lookup(q->records, cause);
}

/* Whether a cause is blamed and its last crash is recent enough. */
bool quarantine_is_held(const struct record *r, int64_t now)
{
	return r->blamed && now - r->last < HOLD_MS;
}

static bool is_expired(const struct record *r, int64_t now)
{
	return now - r->last >=
	       (r->candidate ? RECORD_TTL_MS : CRASH_WINDOW_MS);
}

/* Whether an instance crashed under a cause. */
bool quarantine_has_start(const struct record *r, uint64_t start)
{
	for (guint i = 0; i < r->crashes->len; i++) {
		if (g_array_index(r->crashes, struct evidence, i).start ==
		    start)
			return true;
	}
	return false;
}

static bool has_request(const struct record *r, uint64_t request)
{
	for (guint i = 0; i < r->crashes->len; i++) {
		if (g_array_index(r->crashes, struct evidence, i).request ==
		    request)
			return true;
	}
	return false;
}

/* Whether no earlier evidence is of the same instance as number i. */
bool quarantine_is_first(const struct record *r, guint i)
{
	uint64_t start = g_array_index(r->crashes, struct evidence, i).start;

	for (guint k = 0; k < i; k++) {
		if (g_array_index(r->crashes, struct evidence, k).start ==
		    start)
			return false;
	}
	return true;
}

/* Number of instances that crashed under a cause. */
uint32_t quarantine_starts(const struct record *r)
{
	uint32_t starts = 0;

	for (guint i = 0; i < r->crashes->len; i++)
		starts += quarantine_is_first(r, i);
	return starts;
}

/* Number of distinct requests in the evidence, at most REQUESTS_ENOUGH. */
uint32_t quarantine_requests(const struct record *r)
{
	if (!r->crashes->len)
		return 0;
	for (guint i = 1; i < r->crashes->len; i++) {
		if (g_array_index(r->crashes, struct evidence, i).request !=
		    g_array_index(r->crashes, struct evidence, 0).request)
			return REQUESTS_ENOUGH;
	}
	return 1;
}

/* A record to evict, with its rank; the lowest goes first. */
struct ranked {
	const struct record *record;
	int64_t rank;
};

static gint by_rank(gconstpointer a, gconstpointer b)
{
	const struct ranked *x = a, *y = b;

	return (x->rank > y->rank) - (x->rank < y->rank);
}

static void remove_record(struct dl_quarantine *q, const struct record *r)
{
	q->suspects -= r->crashes->len > 0;
	q->stale = true;
	g_hash_table_remove(q->records, &r->cause);
}

/* Makes room in a full table. */
static void evict(struct dl_quarantine *q)
{
	GArray *all = g_array_new(FALSE, FALSE, sizeof(struct ranked));
	GHashTableIter it;
	gpointer value;

	quarantine_judge(q);
	g_hash_table_iter_init(&it, q->records);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct record *r = value;
		struct ranked ranked = { r, r->last };

		if (r->candidate)
			ranked.rank += INT64_MAX / 2;
		else
			ranked.rank +=
				(int64_t)r->crashes->len * EVICT_CRASH_MS;
		g_array_append_val(all, ranked);
	}
	g_array_sort(all, by_rank);
	for (guint i = 0; i < all->len && i < EVICT_AT_ONCE; i++)
		remove_record(q, g_array_index(all, struct ranked, i).record);
	q->dropped += MIN(all->len, EVICT_AT_ONCE);
	g_array_free(all, TRUE);
}

static struct record *get_or_add_record(struct dl_quarantine *q,
					const struct dl_cause *cause)
{
	struct record *r = quarantine_find(q, cause);

	if (r)
		return r;
	if (g_hash_table_size(q->records) >= CAUSES_MAX)
		evict(q);
	r = g_new0(struct record, 1);
	r->cause = *cause;
	r->crashes = g_array_new(FALSE, FALSE, sizeof(struct evidence));
	r->rivals = g_ptr_array_new();
	r->last = INT64_MIN / 4;
	g_hash_table_insert(q->records, &r->cause, r);
	return r;
}

/* Resets a record: crashes from before it was cleared no longer count. */
static void reset_crashes(struct dl_quarantine *q, struct record *r,
			  uint32_t cleared)
{
	q->suspects -= r->crashes->len > 0;
	r->cleared = cleared;
	g_array_set_size(r->crashes, 0);
}

/*
 * Adds a crash. An instance counts once; a further request under which it
 * crashed matters only to show that no single request is to blame.
 */
static bool add_evidence(struct dl_quarantine *q, struct record *r,
			 const struct dl_crash *crash, int64_t at)
{
	struct evidence ev = { crash->start, crash->request, at,
			       at - crash->ran_ms };
	guint i = r->crashes->len;

	if (quarantine_has_start(r, crash->start) &&
	    (has_request(r, crash->request) ||
	     quarantine_requests(r) >= REQUESTS_ENOUGH))
		return false;
	if (r->crashes->len >= EVIDENCE_MAX) {
		q->dropped++;
		return false;
	}
	while (i > 0 &&
	       g_array_index(r->crashes, struct evidence, i - 1).at > at)
		i--;
	q->suspects += r->crashes->len == 0;
	g_array_insert_val(r->crashes, i, ev);
	return true;
}

/*
 * Merges a report. Reports are ordered by how often the cause had been cleared;
 * those with the same count add up in any order.
 */
bool dl_quarantine_merge(struct dl_quarantine *q, const struct dl_crash *crash,
			 int64_t now)
{
	int64_t at = now - crash->age_ms;
	struct record *r;
	bool changed;

	if (!crash->cause.id || crash->age_ms >= RECORD_TTL_MS)
		return false;
	r = get_or_add_record(q, &crash->cause);
	if (crash->cleared < r->cleared)
		return false;
	changed = crash->cleared > r->cleared;
	if (changed)
		reset_crashes(q, r, crash->cleared);
	if (crash->start && add_evidence(q, r, crash, at))
		changed = true;
	if (changed) {
		q->stale = true;
		r->last = MAX(r->last, at);
	}
	return changed;
}

/* Whether crashes under a cause are recorded. */
bool dl_quarantine_is_suspect(const struct dl_quarantine *q,
			      const struct dl_cause *cause)
{
	const struct record *r = quarantine_find(q, cause);

	return r && r->crashes->len;
}

static bool crashed_under(const struct dl_quarantine *q, struct dl_cause cause,
			  uint64_t start)
{
	const struct record *r = quarantine_find(q, &cause);

	return r && quarantine_has_start(r, start);
}

/* Whether an instance is recorded to have crashed under any of the causes. */
bool dl_quarantine_has_crashed(const struct dl_quarantine *q,
			       const struct dl_causes *causes, uint64_t start)
{
	if (crashed_under(q, (struct dl_cause){ causes->request, 0 }, start))
		return true;
	for (uint32_t i = 0; i < causes->parts; i++) {
		if (crashed_under(q,
				  (struct dl_cause){ causes->part[i],
						     causes->scope },
				  start))
			return true;
	}
	return false;
}

/* Returns the number of causes with recorded crashes. */
uint32_t dl_quarantine_suspects(const struct dl_quarantine *q)
{
	return q->suspects;
}

/* Returns how often a cause has been cleared. */
uint32_t dl_quarantine_clear_count(const struct dl_quarantine *q,
				   const struct dl_cause *cause)
{
	const struct record *r = quarantine_find(q, cause);

	return r ? r->cleared : 0;
}

/* Returns the remaining quarantine in ms; 0 if there is none. */
uint32_t dl_quarantine_remaining_ms(struct dl_quarantine *q,
				    const struct dl_cause *cause, int64_t now)
{
	const struct record *r;

	quarantine_judge(q);
	r = quarantine_find(q, cause);
	if (!r || !quarantine_is_held(r, now))
		return 0;
	return (uint32_t)(r->last + HOLD_MS - now);
}

/* Whether a cause is quarantined but for what another one explains. */
bool dl_quarantine_is_candidate(struct dl_quarantine *q,
				const struct dl_cause *cause, int64_t now)
{
	const struct record *r;

	quarantine_judge(q);
	r = quarantine_find(q, cause);
	return r && r->candidate && now - r->last < HOLD_MS;
}

/* Whether crashes of candidates were added or cleared since the last save. */
bool dl_quarantine_unsaved(struct dl_quarantine *q)
{
	quarantine_judge(q);
	return q->candidates_digest != q->saved_digest;
}

/* The crashes of all candidates are saved as they are now. */
void dl_quarantine_note_saved(struct dl_quarantine *q)
{
	quarantine_judge(q);
	q->saved_digest = q->candidates_digest;
}

/* Returns how much was dropped for lack of room. */
uint64_t dl_quarantine_dropped(const struct dl_quarantine *q)
{
	return q->dropped;
}

static int held_state(const struct record *r, int64_t now)
{
	if (!quarantine_is_held(r, now))
		return NOT_HELD;
	return r->rivals->len ? HELD_UNCERTAIN : HELD_CERTAIN;
}

/* Stores a cause that has become or is no longer quarantined. */
bool dl_quarantine_next_change(struct dl_quarantine *q, int64_t now,
			       struct dl_quarantine_change *out)
{
	GHashTableIter it;
	gpointer value;

	quarantine_judge(q);
	g_hash_table_iter_init(&it, q->records);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct record *r = value;
		int state = held_state(r, now);

		if (state == (int)r->reported)
			continue;
		r->reported = state;
		*out = (struct dl_quarantine_change){
			.cause = r->cause,
			.remaining_ms =
				dl_quarantine_remaining_ms(q, &r->cause, now),
			.crashes = quarantine_starts(r),
			.requests = quarantine_requests(r),
			.certain = r->rivals->len == 0,
		};
		return true;
	}
	return false;
}

/* Reports the crashes of one cause, those of a sequence first. */
static void
report_crashes(const struct record *r, int64_t now, uint32_t most,
	       void (*each)(void *arg, const struct dl_crash *crash), void *arg)
{
	struct dl_crash crash = { .cause = r->cause, .cleared = r->cleared };

	for (int in_sequence = 1; in_sequence >= 0; in_sequence--) {
		int64_t last = INT64_MIN / 4;

		for (guint i = 0; i < r->crashes->len && most; i++) {
			const struct evidence *ev =
				&g_array_index(r->crashes, struct evidence, i);
			bool follows = quarantine_follows(ev, last);

			if (follows)
				last = ev->at;
			if (follows != in_sequence)
				continue;
			crash.request = ev->request;
			crash.start = ev->start;
			crash.age_ms = (uint32_t)(now - ev->at);
			crash.ran_ms = (uint32_t)(ev->at - ev->sent);
			each(arg, &crash);
			most--;
		}
	}
}

/* Calls a function for each report that still counts. */
void dl_quarantine_foreach(
	const struct dl_quarantine *q, int64_t now, uint32_t most,
	void (*each)(void *arg, const struct dl_crash *crash), void *arg)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, q->records);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct record *r = value;
		struct dl_crash cleared = {
			.cause = r->cause,
			.request = r->cause.id,
			.cleared = r->cleared,
			.age_ms = (uint32_t)(now - r->last),
		};

		if (is_expired(r, now))
			continue;
		if (r->crashes->len)
			report_crashes(r, now, most, each, arg);
		else
			each(arg, &cleared);
	}
}

/* Removes causes whose last crash is too long ago. */
void dl_quarantine_expire(struct dl_quarantine *q, int64_t now)
{
	GHashTableIter it;
	gpointer value;

	quarantine_judge(q);
	g_hash_table_iter_init(&it, q->records);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct record *r = value;

		if (!is_expired(r, now))
			continue;
		q->suspects -= r->crashes->len > 0;
		q->stale = true;
		g_hash_table_iter_remove(&it);
	}
}

/* Counts the requests, or the parts, in quarantine. */
uint32_t dl_quarantine_count(struct dl_quarantine *q, bool parts, int64_t now)
{
	uint32_t count = 0;
	GHashTableIter it;
	gpointer value;

	quarantine_judge(q);
	g_hash_table_iter_init(&it, q->records);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct record *r = value;

		count += parts == (r->cause.scope != 0) &&
			 quarantine_is_held(r, now);
	}
	return count;
}
