/*
 * Which of the causes under suspicion are blamed for crashes, and what that
 * means for a request; see the header.
 */
#include "coordination/quarantine_int.h"

/*
 * Reports of crashes take different times to arrive, so an attempt may seem to
 * have been sent before the crash that it followed.
 */
#define SEQUENCE_SLACK_MS 100
/*
 * Crashes by which one cause must be ahead of another to explain it, and that a
 * rival must leave unexplained, in a sequence, for a cause to be to blame for
 * certain. A single one may have come by chance, and its report may have
 * reached this VM for one of the two causes only.
 */
#define CERTAIN_CRASHES 2
/* Causes that are considered together as an explanation of another's crashes.
 */
#define RIVALS_TOGETHER 2
/*
 * Probes cost an endpoint each if they crash. From SETTLE_MS after the crash
 * number FEW_CRASHES of a cause, when all VMs know of it, PROBES_MAX of them
 * may, the last only if the cause is likely to be harmless: otherwise requests
 * that crash could use up all probes, and what they share with sound ones would
 * not come free.
 */
#define FEW_CRASHES 5
#define SETTLE_MS   3000
#define PROBES_MAX  3
/* From the last crash of a cause that is to blame for certain to a probe. */
#define PROBE_PAUSE_MS 10000
/* When a request may return that has to wait for a probe. */
#define RETRY_MS 500

/*
 * Whether an attempt was sent after the last crash of a sequence. Endpoints
 * that crash at the same moment, as in a domain that loses power, have no cause
 * in the requests that they ran, however many they were.
 */
bool quarantine_follows(const struct evidence *ev, int64_t last)
{
	int64_t slack = MIN(SEQUENCE_SLACK_MS, (ev->at - ev->sent) / 2);

	return ev->sent + slack >= last;
}

/*
 * Returns the length of the longest sequence of crashes of which each attempt
 * was sent after the crash before; crashes of instances in explained, which may
 * be NULL, do not count, and an instance that crashed under two requests counts
 * once.
 */
static uint32_t sequence_length(const struct record *r, GHashTable *explained)
{
	int64_t last = INT64_MIN / 4;
	uint32_t length = 0;

	for (guint i = 0; i < r->crashes->len; i++) {
		const struct evidence *ev =
			&g_array_index(r->crashes, struct evidence, i);

		if ((explained &&
		     g_hash_table_contains(explained, &ev->start)) ||
		    !quarantine_is_first(r, i) || !quarantine_follows(ev, last))
			continue;
		last = ev->at;
		length++;
	}
	return length;
}

/* Number of distinct instances that crashed and are not in explained. */
static uint32_t unexplained(const struct record *r, GHashTable *explained)
{
	uint32_t count = 0;

	for (guint i = 0; i < r->crashes->len; i++) {
		const struct evidence *ev =
			&g_array_index(r->crashes, struct evidence, i);

		count += !g_hash_table_contains(explained, &ev->start) &&
			 quarantine_is_first(r, i);
	}
	return count;
}

static void explain(GHashTable *explained, const struct record *r)
{
	for (guint i = 0; i < r->crashes->len; i++)
		g_hash_table_add(
			explained,
			&g_array_index(r->crashes, struct evidence, i).start);
}

/*
 * Whether a cause may be blamed. A part that only one request holds is not told
 * apart from it.
 */
static bool is_candidate(const struct record *r)
{
	return r->crashes->len >= DL_QUARANTINE_CRASHES &&
	       sequence_length(r, NULL) >= DL_QUARANTINE_CRASHES &&
	       (!r->cause.scope || quarantine_requests(r) > 1);
}

static GPtrArray *find_candidates(const struct dl_quarantine *q)
{
	GPtrArray *candidates = g_ptr_array_new();
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, q->records);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct record *r = value;

		r->blamed = false;
		g_ptr_array_set_size(r->rivals, 0);
		r->candidate = is_candidate(r);
		if (r->candidate)
			g_ptr_array_add(candidates, r);
	}
	return candidates;
}

/*
 * Blames those candidates that have the most crashes in common that no cause
 * blamed before explains, and those that are hardly behind. Returns whether
 * there was any.
 */
static bool blame_next(const GPtrArray *candidates, GHashTable *explained)
{
	uint32_t *left = g_new0(uint32_t, candidates->len);
	uint32_t most = 0;

	for (guint i = 0; i < candidates->len; i++) {
		const struct record *r = candidates->pdata[i];

		if (r->blamed ||
		    sequence_length(r, explained) < DL_QUARANTINE_CRASHES)
			continue;
		left[i] = unexplained(r, explained);
		most = MAX(most, left[i]);
	}
	for (guint i = 0; most && i < candidates->len; i++) {
		struct record *r = candidates->pdata[i];

		if (!left[i] || left[i] + CERTAIN_CRASHES <= most)
			continue;
		r->blamed = true;
		explain(explained, r);
	}
	g_free(left);
	return most > 0;
}

/* Whether other causes together leave too few crashes of a cause unexplained.
 */
static bool may_explain(const struct record *r, struct record *const *others,
			uint32_t n)
{
	GHashTable *explained = g_hash_table_new(g_int64_hash, g_int64_equal);
	bool enough;

	for (uint32_t i = 0; i < n; i++)
		explain(explained, others[i]);
	enough = sequence_length(r, explained) < CERTAIN_CRASHES;
	g_hash_table_destroy(explained);
	return enough;
}

/* Number of crashes that two causes have in common and none explains. */
static uint32_t common(const struct record *a, const struct record *b,
		       const struct record *besides)
{
	uint32_t count = 0;

	for (guint i = 0; i < a->crashes->len; i++) {
		uint64_t start =
			g_array_index(a->crashes, struct evidence, i).start;

		count += quarantine_has_start(b, start) &&
			 !(besides && quarantine_has_start(besides, start));
	}
	return count;
}

/*
 * Returns the part, other than two given causes, that has the most crashes in
 * common with a cause, those of besides left out; NULL if there is none.
 */
static struct record *closest_part(const GPtrArray *candidates,
				   const struct record *r,
				   const struct record *besides)
{
	struct record *closest = NULL;
	uint32_t most = 0;

	for (guint i = 0; i < candidates->len; i++) {
		struct record *other = candidates->pdata[i];
		uint32_t n;

		if (other == r || other == besides || !other->cause.scope)
			continue;
		n = common(r, other, besides);
		if (n > most) {
			most = n;
			closest = other;
		}
	}
	return closest;
}

/*
 * Finds what may explain the crashes of a blamed cause as well: any other
 * candidate alone, or two parts together.
 */
static void find_rivals(const GPtrArray *candidates, struct record *r)
{
	struct record *pair[RIVALS_TOGETHER];

	for (guint i = 0; i < candidates->len; i++) {
		struct record *other = candidates->pdata[i];

		if (other != r && may_explain(r, &other, 1))
			g_ptr_array_add(r->rivals, other);
	}
	if (r->rivals->len)
		return;
	pair[0] = closest_part(candidates, r, NULL);
	pair[1] = pair[0] ? closest_part(candidates, r, pair[0]) : NULL;
	if (!pair[1] || !may_explain(r, pair, RIVALS_TOGETHER))
		return;
	g_ptr_array_add(r->rivals, pair[0]);
	g_ptr_array_add(r->rivals, pair[1]);
}

/*
 * Returns a digest of the crashes of all candidates, in any order of them. Each
 * crash is a part of it, also one of a probe, which changes no blame: crashes
 * that are forgotten in a restart allow as many more probes.
 */
static uint64_t digest_of(const GPtrArray *candidates)
{
	uint64_t digest = 0;

	for (guint i = 0; i < candidates->len; i++) {
		const struct record *r = candidates->pdata[i];
		uint64_t of_cause[] = { r->cause.id, r->cause.scope,
					r->crashes->len };

		digest += dl_hash((struct dl_str){ (const char *)of_cause,
						   sizeof(of_cause) },
				  r->cleared);
	}
	return digest;
}

/* Judges all causes anew if their records have changed. */
void quarantine_judge(struct dl_quarantine *q)
{
	GPtrArray *candidates;
	GHashTable *explained;

	if (!q->stale)
		return;
	q->stale = false;
	candidates = find_candidates(q);
	explained = g_hash_table_new(g_int64_hash, g_int64_equal);
	while (blame_next(candidates, explained))
		continue;
	for (guint i = 0; i < candidates->len; i++) {
		struct record *r = candidates->pdata[i];

		if (r->blamed)
			find_rivals(candidates, r);
	}
	q->candidates_digest = digest_of(candidates);
	g_hash_table_destroy(explained);
	g_ptr_array_free(candidates, TRUE);
}

static bool holds(const struct dl_causes *causes, const struct dl_cause *cause)
{
	if (!cause->scope)
		return causes->request == cause->id;
	for (uint32_t i = 0; i < causes->parts; i++) {
		if (causes->part[i] == cause->id)
			return causes->scope == cause->scope;
	}
	return false;
}

/* Number of the causes that may explain the crashes of one that a request
 * holds.
 */
static guint rivals_held(const struct record *r, const struct dl_causes *causes)
{
	guint held = 0;

	for (guint i = 0; i < r->rivals->len; i++) {
		const struct record *rival = r->rivals->pdata[i];

		held += holds(causes, &rival->cause);
	}
	return held;
}

/* Whether a request holds a quarantined cause other than a given one. */
static bool holds_other(const struct dl_quarantine *q, const struct record *r,
			const struct dl_causes *causes, int64_t now)
{
	struct dl_cause cause = { causes->request, 0 };
	const struct record *other = quarantine_find(q, &cause);

	if (other && other != r && quarantine_is_held(other, now))
		return true;
	for (uint32_t i = 0; i < causes->parts; i++) {
		cause = (struct dl_cause){ causes->part[i], causes->scope };
		other = quarantine_find(q, &cause);
		if (other && other != r && quarantine_is_held(other, now))
			return true;
	}
	return false;
}

/*
 * Number of instances that crashed under a cause although all VMs could know of
 * FEW_CRASHES of them.
 */
static uint32_t late_crashes(const struct record *r)
{
	int64_t known = INT64_MAX;
	uint32_t starts = 0, late = 0;

	for (guint i = 0; i < r->crashes->len; i++) {
		const struct evidence *ev =
			&g_array_index(r->crashes, struct evidence, i);

		if (!quarantine_is_first(r, i))
			continue;
		late += ev->at > known;
		if (++starts == FEW_CRASHES)
			known = ev->at + SETTLE_MS;
	}
	return late;
}

/*
 * Whether a request that holds a quarantined cause may run as a probe. Where
 * other causes explain the crashes too, one that does not hold all of them
 * tells them apart, whether it crashes or not. A part that seems to blame for
 * certain may still have run beside three crashes by chance, so it is probed
 * too, after a pause; *wait_ms is when. The last probe is for requests without
 * any other quarantined cause, since a crash under that one counts here too.
 */
static bool may_probe(const struct dl_quarantine *q, const struct record *r,
		      const struct dl_causes *causes, int64_t now,
		      uint32_t *wait_ms)
{
	uint32_t left = PROBES_MAX - MIN(late_crashes(r), PROBES_MAX);
	guint held = rivals_held(r, causes);

	*wait_ms = 0;
	if (!left)
		return false;
	if (r->rivals->len) {
		*wait_ms = RETRY_MS;
		return left > 1 ? held < r->rivals->len :
				  held == 0 && !holds_other(q, r, causes, now);
	}
	if (!r->cause.scope || (left == 1 && !r->cleared))
		return false;
	if (now - r->last >= PROBE_PAUSE_MS)
		return true;
	*wait_ms = (uint32_t)(r->last + PROBE_PAUSE_MS - now);
	return false;
}

/* Adds what the record of one cause means to a verdict. */
static void judge_cause(struct dl_quarantine *q, struct dl_cause cause,
			const struct dl_causes *causes, int64_t now,
			struct dl_quarantine_verdict *verdict)
{
	const struct record *r = quarantine_find(q, &cause);
	uint32_t wait_ms;
	bool probe;

	if (!r || !quarantine_is_held(r, now))
		return;
	probe = may_probe(q, r, causes, now, &wait_ms);
	if (verdict->rule == DL_QUARANTINE_REFUSE && (probe || wait_ms))
		return;
	verdict->rule = probe ? DL_QUARANTINE_PROBE : DL_QUARANTINE_REFUSE;
	verdict->cause = cause;
	verdict->certain = r->rivals->len == 0;
	verdict->retry_ms =
		wait_ms ? wait_ms : dl_quarantine_remaining_ms(q, &cause, now);
}

/*
 * Decides whether a request may be sent to an endpoint: refused if it holds any
 * cause that may not be probed, a probe if it holds others that may.
 */
struct dl_quarantine_verdict dl_quarantine_check(struct dl_quarantine *q,
						 const struct dl_causes *causes,
						 int64_t now)
{
	struct dl_quarantine_verdict verdict = { .rule = DL_QUARANTINE_RUN };

	quarantine_judge(q);
	judge_cause(q, (struct dl_cause){ causes->request, 0 }, causes, now,
		    &verdict);
	for (uint32_t i = 0; i < causes->parts; i++)
		judge_cause(q,
			    (struct dl_cause){ causes->part[i], causes->scope },
			    causes, now, &verdict);
	return verdict;
}
