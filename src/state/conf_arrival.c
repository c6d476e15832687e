/* The order in which received versions are put in force; see the header. */
#include "state/conf_arrival.h"

#include <string.h>

#include "base/metric.h"

/*
 * Reading takes at most a quarter of this VM's time, unless a version has
 * waited for READ_WAIT_MAX_MS. On a VM with 0.12 cores, reading one version
 * with 1,300 routes takes 0.3 to 1 s, during which the streams that it forwards
 * stall; versions may follow each other quickly. A version must be in force
 * within 2 s, and reading of the previous one may only have begun when it
 * arrives: a longer pause after that would use up the time.
 */
#define READ_REST_FACTOR 3
#define READ_WAIT_MAX_MS 300
/* How long a whole text waits for the delta that was pulled in its place. */
#define DELTA_WAIT_MS 200
/*
 * From this many large deltas in line, one that replaces them is pulled: that
 * costs the replica one delta more, and this VM a round trip.
 */
#define SUPERSEDED_MIN 3

/* Whether a delta with this base can be applied to a version. */
static bool is_base(struct dl_conf_id base, struct dl_conf_id version)
{
	return base.version == version.version &&
	       (version.digest == 0 || base.digest == version.digest);
}

/* Returns the newest version that is in force, being read or waiting. */
uint64_t dl_conf_arrivals_newest(const struct dl_conf_arrivals *a)
{
	uint64_t newest = a->in_force.version;

	if (a->reading.version > newest)
		newest = a->reading.version;
	if (a->count && a->waiting[a->count - 1].id.version > newest)
		newest = a->waiting[a->count - 1].id.version;
	return newest;
}

static void drop_waiting(struct dl_conf_arrivals *a)
{
	for (uint32_t i = 0; i < a->count; i++)
		a->drop(a->waiting[i].job);
	a->count = 0;
	a->bytes = 0;
}

static void append(struct dl_conf_arrivals *a, const struct dl_conf_received *r)
{
	a->waiting[a->count++] = *r;
	if (dl_conf_is_delta(r))
		a->bytes += r->bytes;
}

/* Replaces all waiting versions; the first one's waiting time goes on. */
static void replace_waiting(struct dl_conf_arrivals *a,
			    const struct dl_conf_received *r, int64_t now)
{
	if (!a->count)
		a->waiting_since = now;
	drop_waiting(a);
	append(a, r);
}

/* Returns why a delta cannot follow any version that is known. */
static enum dl_conf_arrival why_no_base(const struct dl_conf_arrivals *a,
					const struct dl_conf_received *r)
{
	return r->base.version == a->in_force.version ? DL_CONF_OTHER_BASE :
							DL_CONF_NO_BASE;
}

/*
 * Queues a delta. One that leads from the version in force past all that is
 * known replaces what waits; otherwise it must lead from the newest version
 * that is known.
 */
static enum dl_conf_arrival add_delta(struct dl_conf_arrivals *a,
				      const struct dl_conf_received *r,
				      int64_t now)
{
	const struct dl_conf_received *last =
		a->count ? &a->waiting[a->count - 1] : NULL;

	if (r->id.version <= a->in_force.version ||
	    r->id.version <= a->reading.version ||
	    (last && r->id.version < last->id.version))
		return DL_CONF_KNOWN;
	/* A whole text that waits is not needed to reach the same version. */
	if (last && r->id.version == last->id.version && dl_conf_is_delta(last))
		return DL_CONF_KNOWN;
	if (is_base(r->base, a->in_force)) {
		replace_waiting(a, r, now);
		return DL_CONF_QUEUED;
	}
	if (last && r->id.version == last->id.version)
		return DL_CONF_KNOWN;
	if (last ? !is_base(r->base, last->id) :
		   !a->reading.version || !is_base(r->base, a->reading))
		return why_no_base(a, r);
	if (a->count == DL_CONF_ARRIVALS_MAX ||
	    a->bytes + r->bytes > DL_CONF_ARRIVAL_BYTES_MAX) {
		dl_count(DL_METRIC_conf_arrivals_dropped, 1);
		return DL_CONF_FULL;
	}
	if (!a->count)
		a->waiting_since = now;
	append(a, r);
	return DL_CONF_QUEUED;
}

/*
 * Decides about a version that has arrived. A whole text replaces all waiting
 * versions, which are older: of texts that arrive while another one is read,
 * only the newest is read.
 */
enum dl_conf_arrival dl_conf_arrivals_add(struct dl_conf_arrivals *a,
					  const struct dl_conf_received *r,
					  int64_t now)
{
	if (dl_conf_is_delta(r))
		return add_delta(a, r, now);
	if (r->id.version <= dl_conf_arrivals_newest(a))
		return DL_CONF_KNOWN;
	replace_waiting(a, r, now);
	return DL_CONF_QUEUED;
}

/*
 * Whether a whole text, or a delta in a worker thread, may be read now: one
 * version at a time, and with a pause after the one before.
 */
static bool may_read(const struct dl_conf_arrivals *a, int64_t now)
{
	if (a->reading.version)
		return false;
	return now >= a->read_not_before ||
	       now - a->waiting_since >= READ_WAIT_MAX_MS;
}

/* Whether and how the first version in line can be read. */
static enum dl_conf_next check_first(const struct dl_conf_arrivals *a,
				     const struct dl_conf_received *r,
				     int64_t now)
{
	if (!dl_conf_is_delta(r)) {
		if (r->awaits_delta && now - a->waiting_since < DELTA_WAIT_MS)
			return DL_CONF_WAIT;
		return may_read(a, now) ? DL_CONF_READ : DL_CONF_WAIT;
	}
	if (r->base.version != a->in_force.version)
		return a->reading.version == r->base.version ?
			       DL_CONF_WAIT :
			       DL_CONF_BASE_GONE;
	if (!a->in_force.digest && a->splitting)
		return DL_CONF_WAIT;
	if (r->base.digest != a->in_force.digest)
		return DL_CONF_BASE_OTHER;
	if (r->small)
		return DL_CONF_READ;
	/* The pauses of steps are decided in conf_pace.c. */
	if (r->own_pace)
		return a->reading.version ? DL_CONF_WAIT : DL_CONF_READ;
	return may_read(a, now) ? DL_CONF_READ : DL_CONF_WAIT;
}

static bool is_large_delta(const struct dl_conf_received *r)
{
	return dl_conf_is_delta(r) && !r->small;
}

/*
 * Whether several large deltas wait, which are not worth being applied one
 * after the other: a VM that was suspended while ten versions of 500 changed
 * routes came into force would read each of them.
 */
static bool is_superseded(const struct dl_conf_arrivals *a)
{
	uint32_t large = 0;

	while (large < a->count && is_large_delta(&a->waiting[large]))
		large++;
	return large >= SUPERSEDED_MIN;
}

/* Hands out the newest version that waits, and drops the others. */
static enum dl_conf_next supersede(struct dl_conf_arrivals *a,
				   struct dl_conf_received *out)
{
	*out = a->waiting[--a->count];
	drop_waiting(a);
	return DL_CONF_SUPERSEDED;
}

/*
 * Returns the next version to read. Deltas that follow one whose base is gone
 * are dropped with it, since the pull that is due replaces them.
 */
enum dl_conf_next dl_conf_arrivals_next(struct dl_conf_arrivals *a, int64_t now,
					struct dl_conf_received *out)
{
	enum dl_conf_next next;

	if (!a->count)
		return DL_CONF_WAIT;
	*out = a->waiting[0];
	next = check_first(a, out, now);
	if (next == DL_CONF_WAIT)
		return next;
	if (next == DL_CONF_READ && is_superseded(a))
		return supersede(a, out);
	if (dl_conf_is_delta(out))
		a->bytes -= out->bytes;
	a->count--;
	memmove(&a->waiting[0], &a->waiting[1],
		a->count * sizeof(a->waiting[0]));
	if (next != DL_CONF_READ)
		drop_waiting(a);
	else if (!out->small)
		a->reading = out->id;
	return next;
}

/* Records that a small delta takes long; those that wait for it go on to wait.
 */
void dl_conf_arrivals_continue(struct dl_conf_arrivals *a,
			       struct dl_conf_received *r)
{
	r->small = false;
	a->reading = r->id;
}

/* Puts the version that was taken last at the head of the line, as a large one.
 */
void dl_conf_arrivals_put_back(struct dl_conf_arrivals *a,
			       const struct dl_conf_received *r)
{
	memmove(&a->waiting[1], &a->waiting[0],
		a->count * sizeof(a->waiting[0]));
	a->waiting[0] = *r;
	a->waiting[0].small = false;
	a->count++;
	if (a->reading.version == r->id.version)
		a->reading = (struct dl_conf_id){ 0 };
	if (dl_conf_is_delta(r))
		a->bytes += r->bytes;
}

/*
 * Records that a version was read; a pause begins, unless the time that it took
 * contains its pauses.
 */
void dl_conf_arrivals_read(struct dl_conf_arrivals *a,
			   const struct dl_conf_received *r, int64_t took_ms,
			   int64_t now)
{
	if (r->small)
		return;
	/* A small delta that takes long may have overtaken a whole text. */
	if (a->reading.version == r->id.version)
		a->reading = (struct dl_conf_id){ 0 };
	if (!r->own_pace)
		a->read_not_before = now + READ_REST_FACTOR * took_ms;
}

/* Puts a version in force unless it is not newer than the one that is. */
bool dl_conf_arrivals_put_in_force(struct dl_conf_arrivals *a,
				   struct dl_conf_id id, bool splitting)
{
	if (id.version <= a->in_force.version)
		return false;
	a->in_force = id;
	a->splitting = splitting;
	return true;
}

/* Records the digest of the version in force; others are ignored. */
void dl_conf_arrivals_split(struct dl_conf_arrivals *a, struct dl_conf_id id)
{
	if (id.version != a->in_force.version)
		return;
	a->in_force.digest = id.digest;
	a->splitting = false;
}
