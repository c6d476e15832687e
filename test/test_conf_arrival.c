/*
 * Tests of the order in which received configuration versions are put in force.
 * They guard against versions that go back, deltas applied to another version
 * than their base, whole texts read without pause, and versions that are
 * neither put in force nor pulled.
 */
#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "base/metric.h"
#include "fake/suite.h"
#include "state/conf_arrival.h"

#define STEPS_MAX 24
#define SMALL	  100	/* deflated size of a small body */
#define LARGE	  20000 /* of a large one */
#define READ_MS	  100	/* time that reading a large body takes */

enum op {
	END,
	WHOLE,	 /* a large whole text arrives */
	DELTA,	 /* a small delta arrives */
	OTHER,	 /* the same, whose base has another digest */
	BAD,	 /* the same, which turns out to be damaged when it is read */
	BIG,	 /* a large delta arrives */
	SLOW,	 /* a small delta that turns out to take long to read */
	DONE,	 /* the thread has read its version */
	FAILED,	 /* the thread found its version invalid */
	SPLIT,	 /* the sections of the version in force are known */
	UNSPLIT, /* they cannot be split */
	LATER,	 /* time passes, in ms: base */
};

struct step {
	enum op op;
	uint64_t base, version;
	enum dl_conf_arrival arrival; /* expected, of what arrives */
	uint64_t in_force;	      /* expected after the step */
	uint32_t pulls;		      /* expected until now */
};

struct job {
	enum op op;
	struct dl_conf_received received;
};

static struct dl_conf_arrivals arrivals;
static struct job *in_thread;
static int64_t now;
static uint32_t jobs, pulls;

static uint64_t digest_of(uint64_t version)
{
	return version ? 1000 + version : 0;
}

static void drop(void *job)
{
	free(job);
	jobs--;
}

static void ignore(void *job)
{
}

/* What an entry does with a version that was read. */
static void finish(struct job *job, bool valid)
{
	uint64_t before = arrivals.in_force.version;
	bool delta = dl_conf_is_delta(&job->received);

	dl_conf_arrivals_read(&arrivals, &job->received, READ_MS, now);
	if (valid) {
		bool newer = job->received.id.version > before;

		ck_assert(dl_conf_arrivals_put_in_force(&arrivals,
							job->received.id,
							!delta) == newer);
	} else if (delta) {
		pulls++;
	}
	ck_assert_uint_ge(arrivals.in_force.version, before);
	drop(job);
}

static void pump(void)
{
	struct dl_conf_received r;
	enum dl_conf_next next;

	while ((next = dl_conf_arrivals_next(&arrivals, now, &r)) !=
	       DL_CONF_WAIT) {
		struct job *job = r.job;

		if (next != DL_CONF_READ) {
			pulls++;
			drop(job);
		} else if (r.small && job->op == SLOW) {
			dl_conf_arrivals_put_back(&arrivals, &r);
			job->received.small = false;
		} else if (r.small) {
			/* Only to the version that it leads from. */
			ck_assert(
				!dl_conf_is_delta(&r) ||
				(r.base.version == arrivals.in_force.version &&
				 r.base.digest == arrivals.in_force.digest));
			finish(job, job->op != BAD);
		} else {
			ck_assert_ptr_null(in_thread);
			in_thread = job;
		}
	}
}

static enum dl_conf_arrival arrive(const struct step *s)
{
	struct job *job = calloc(1, sizeof(*job));
	bool large = s->op == WHOLE || s->op == BIG;
	enum dl_conf_arrival a;

	jobs++;
	job->op = s->op;
	job->received = (struct dl_conf_received){
		.id.version = s->version,
		.small = !large,
		.bytes = large ? LARGE : SMALL,
		.job = job,
	};
	if (s->op != WHOLE) {
		job->received.id.digest = digest_of(s->version);
		job->received.base = (struct dl_conf_id){
			s->base, digest_of(s->base) + (s->op == OTHER)
		};
	}
	a = dl_conf_arrivals_add(&arrivals, &job->received, now);
	if (a == DL_CONF_NO_BASE || a == DL_CONF_OTHER_BASE)
		pulls++;
	if (a != DL_CONF_QUEUED)
		drop(job);
	return a;
}

static void take_step(const struct step *s)
{
	struct dl_conf_id id = arrivals.in_force;
	struct job *job = in_thread;

	switch (s->op) {
	case DONE:
	case FAILED:
		ck_assert_ptr_nonnull(job);
		in_thread = NULL;
		finish(job, s->op == DONE);
		break;
	case SPLIT:
	case UNSPLIT:
		if (s->version)
			id.version = s->version;
		id.digest = s->op == SPLIT ? digest_of(id.version) : 0;
		dl_conf_arrivals_split(&arrivals, id);
		break;
	case LATER:
		now += (int64_t)s->base;
		break;
	default:
		ck_assert_int_eq(arrive(s), s->arrival);
	}
	pump();
}

static const struct {
	const char *name;
	struct step steps[STEPS_MAX];
} cases[] = {
	{ "a VM starts without a version",
	  { { DELTA, 4, 5, DL_CONF_NO_BASE, 0, 1 },
	    { WHOLE, 0, 5, DL_CONF_QUEUED, 0, 1 },
	    { DONE, .in_force = 5, .pulls = 1 },
	    { SPLIT, .in_force = 5, .pulls = 1 },
	    { DELTA, 5, 6, DL_CONF_QUEUED, 6, 1 } } },
	{ "a delta waits until its base is split",
	  { { WHOLE, 0, 5, DL_CONF_QUEUED, 0, 0 },
	    { DONE, .in_force = 5 },
	    { DELTA, 5, 6, DL_CONF_QUEUED, 5, 0 },
	    { DELTA, 6, 7, DL_CONF_QUEUED, 5, 0 },
	    { SPLIT, .in_force = 7 } } },
	{ "sections of a version that was replaced are ignored",
	  { { WHOLE, 0, 5, DL_CONF_QUEUED, 0, 0 },
	    { DONE, .in_force = 5 },
	    { LATER, 400, .in_force = 5 },
	    { WHOLE, 0, 6, DL_CONF_QUEUED, 5, 0 },
	    { DONE, .in_force = 6 },
	    { SPLIT, .version = 5, .in_force = 6 },
	    { DELTA, 6, 7, DL_CONF_QUEUED, 6, 0 },
	    { SPLIT, .in_force = 7 } } },
	{ "two ways to a version that waits",
	  { { WHOLE, 0, 5, DL_CONF_QUEUED, 0, 0 },
	    { DONE, .in_force = 5 },
	    { DELTA, 5, 6, DL_CONF_QUEUED, 5, 0 },
	    { DELTA, 6, 7, DL_CONF_QUEUED, 5, 0 },
	    { DELTA, 5, 7, DL_CONF_KNOWN, 5, 0 },
	    { SPLIT, .in_force = 7 } } },
	{ "a base that cannot be split needs a pull",
	  { { WHOLE, 0, 5, DL_CONF_QUEUED, 0, 0 },
	    { DONE, .in_force = 5 },
	    { DELTA, 5, 6, DL_CONF_QUEUED, 5, 0 },
	    { DELTA, 6, 7, DL_CONF_QUEUED, 5, 0 },
	    { UNSPLIT, .in_force = 5, .pulls = 1 } } },
	{ "a base with another digest needs a pull, if found out late",
	  { { WHOLE, 0, 5, DL_CONF_QUEUED, 0, 0 },
	    { DONE, .in_force = 5 },
	    { OTHER, 5, 6, DL_CONF_QUEUED, 5, 0 },
	    { SPLIT, .in_force = 5, .pulls = 1 } } },
	{ "a base with another digest needs a pull",
	  { { WHOLE, 0, 5, DL_CONF_QUEUED, 0, 0 },
	    { DONE, .in_force = 5 },
	    { SPLIT, .in_force = 5 },
	    { OTHER, 5, 6, DL_CONF_OTHER_BASE, 5, 1 },
	    { DELTA, 5, 6, DL_CONF_QUEUED, 6, 1 } } },
	{ "a version skipped, pulled as the two deltas that are missing",
	  { { WHOLE, 0, 5, DL_CONF_QUEUED, 0, 0 },
	    { DONE, .in_force = 5 },
	    { SPLIT, .in_force = 5 },
	    { DELTA, 6, 7, DL_CONF_NO_BASE, 5, 1 },
	    { DELTA, 5, 6, DL_CONF_QUEUED, 6, 1 },
	    { DELTA, 6, 7, DL_CONF_QUEUED, 7, 1 } } },
	{ "a version repeated",
	  { { WHOLE, 0, 5, DL_CONF_QUEUED, 0, 0 },
	    { WHOLE, 0, 5, DL_CONF_KNOWN, 0, 0 },
	    { DONE, .in_force = 5 },
	    { WHOLE, 0, 5, DL_CONF_KNOWN, 5, 0 },
	    { SPLIT, .in_force = 5 },
	    { DELTA, 5, 6, DL_CONF_QUEUED, 6, 0 },
	    { DELTA, 5, 6, DL_CONF_KNOWN, 6, 0 },
	    { DELTA, 4, 5, DL_CONF_KNOWN, 6, 0 } } },
	{ "deltas out of order",
	  { { WHOLE, 0, 5, DL_CONF_QUEUED, 0, 0 },
	    { DONE, .in_force = 5 },
	    { SPLIT, .in_force = 5 },
	    { DELTA, 6, 7, DL_CONF_NO_BASE, 5, 1 },
	    { DELTA, 5, 6, DL_CONF_QUEUED, 6, 1 },
	    { DELTA, 6, 8, DL_CONF_QUEUED, 8, 1 },
	    { DELTA, 6, 7, DL_CONF_KNOWN, 8, 1 } } },
	{ "a damaged delta is never in force and is pulled as a whole text",
	  { { WHOLE, 0, 5, DL_CONF_QUEUED, 0, 0 },
	    { DONE, .in_force = 5 },
	    { SPLIT, .in_force = 5 },
	    { BAD, 5, 6, DL_CONF_QUEUED, 5, 1 },
	    { LATER, 400, .in_force = 5, .pulls = 1 },
	    { WHOLE, 0, 6, DL_CONF_QUEUED, 5, 1 },
	    { DONE, .in_force = 6, .pulls = 1 } } },
	{ "deltas behind a damaged one are pulled",
	  { { WHOLE, 0, 5, DL_CONF_QUEUED, 0, 0 },
	    { DONE, .in_force = 5 },
	    { BAD, 5, 6, DL_CONF_QUEUED, 5, 0 },
	    { DELTA, 6, 7, DL_CONF_QUEUED, 5, 0 },
	    { DELTA, 7, 8, DL_CONF_QUEUED, 5, 0 },
	    { SPLIT, .in_force = 5, .pulls = 2 } } },
	{ "deltas behind an invalid text are pulled",
	  { { WHOLE, 0, 5, DL_CONF_QUEUED, 0, 0 },
	    { DELTA, 5, 6, DL_CONF_QUEUED, 0, 0 },
	    { DELTA, 6, 7, DL_CONF_QUEUED, 0, 0 },
	    { FAILED, .in_force = 0, .pulls = 1 },
	    { LATER, 400, .in_force = 0, .pulls = 1 },
	    { WHOLE, 0, 7, DL_CONF_QUEUED, 0, 1 },
	    { DONE, .in_force = 7, .pulls = 1 } } },
	{ "a peer of an older release sends whole texts",
	  { { WHOLE, 0, 5, DL_CONF_QUEUED, 0, 0 },
	    { DONE, .in_force = 5 },
	    { SPLIT, .in_force = 5 },
	    { DELTA, 5, 6, DL_CONF_QUEUED, 6, 0 },
	    { WHOLE, 0, 6, DL_CONF_KNOWN, 6, 0 },
	    { LATER, 400, .in_force = 6 },
	    { WHOLE, 0, 7, DL_CONF_QUEUED, 6, 0 },
	    { DONE, .in_force = 7 },
	    { SPLIT, .in_force = 7 },
	    { DELTA, 7, 8, DL_CONF_QUEUED, 8, 0 } } },
	{ "a delta overtakes the text that is being read",
	  { { WHOLE, 0, 5, DL_CONF_QUEUED, 0, 0 },
	    { DONE, .in_force = 5 },
	    { SPLIT, .in_force = 5 },
	    { LATER, 400, .in_force = 5 },
	    { WHOLE, 0, 7, DL_CONF_QUEUED, 5, 0 },
	    { DELTA, 5, 6, DL_CONF_KNOWN, 5, 0 },
	    { DELTA, 5, 8, DL_CONF_QUEUED, 8, 0 },
	    { DONE, .in_force = 8 },
	    { DELTA, 8, 9, DL_CONF_QUEUED, 9, 0 } } },
	{ "a delta makes the text that waits needless",
	  { { WHOLE, 0, 5, DL_CONF_QUEUED, 0, 0 },
	    { DONE, .in_force = 5 },
	    { SPLIT, .in_force = 5 },
	    { WHOLE, 0, 6, DL_CONF_QUEUED, 5, 0 },
	    { DELTA, 5, 6, DL_CONF_QUEUED, 6, 0 },
	    { LATER, 400, .in_force = 6 },
	    { DELTA, 6, 7, DL_CONF_QUEUED, 7, 0 } } },
	{ "an older delta does not replace the text that waits",
	  { { WHOLE, 0, 5, DL_CONF_QUEUED, 0, 0 },
	    { DONE, .in_force = 5 },
	    { SPLIT, .in_force = 5 },
	    { WHOLE, 0, 8, DL_CONF_QUEUED, 5, 0 },
	    { DELTA, 5, 6, DL_CONF_KNOWN, 5, 0 },
	    { DELTA, 7, 8, DL_CONF_KNOWN, 5, 0 },
	    { DELTA, 8, 9, DL_CONF_QUEUED, 5, 0 },
	    { LATER, 300, .in_force = 5 },
	    { DONE, .in_force = 8 },
	    { SPLIT, .in_force = 9 } } },
	{ "of texts that wait only the newest is read",
	  { { WHOLE, 0, 5, DL_CONF_QUEUED, 0, 0 },
	    { WHOLE, 0, 6, DL_CONF_QUEUED, 0, 0 },
	    { DELTA, 6, 7, DL_CONF_QUEUED, 0, 0 },
	    { WHOLE, 0, 9, DL_CONF_QUEUED, 0, 0 },
	    { DONE, .in_force = 5 },
	    { LATER, 300, .in_force = 5 },
	    { DONE, .in_force = 9 } } },
	{ "large deltas are read one at a time, in order, with a pause",
	  { { WHOLE, 0, 5, DL_CONF_QUEUED, 0, 0 },
	    { DONE, .in_force = 5 },
	    { SPLIT, .in_force = 5 },
	    { BIG, 5, 6, DL_CONF_QUEUED, 5, 0 },
	    { BIG, 6, 7, DL_CONF_QUEUED, 5, 0 },
	    { DELTA, 7, 8, DL_CONF_QUEUED, 5, 0 },
	    { LATER, 300, .in_force = 5 },
	    { DONE, .in_force = 6 },
	    { LATER, 300, .in_force = 6 },
	    { DONE, .in_force = 8 } } },
	{ "a small delta that takes long is read as a large one",
	  { { WHOLE, 0, 5, DL_CONF_QUEUED, 0, 0 },
	    { DELTA, 5, 6, DL_CONF_QUEUED, 0, 0 },
	    { SLOW, 6, 7, DL_CONF_QUEUED, 0, 0 },
	    { DELTA, 7, 8, DL_CONF_QUEUED, 0, 0 },
	    { DONE, .in_force = 5 },
	    { SPLIT, .in_force = 6 },
	    { LATER, 300, .in_force = 6 },
	    { DONE, .in_force = 8 } } },
	{ "a large delta whose base is replaced meanwhile is pulled",
	  { { WHOLE, 0, 5, DL_CONF_QUEUED, 0, 0 },
	    { DONE, .in_force = 5 },
	    { SPLIT, .in_force = 5 },
	    { LATER, 400, .in_force = 5 },
	    { WHOLE, 0, 6, DL_CONF_QUEUED, 5, 0 },
	    { BIG, 5, 7, DL_CONF_QUEUED, 5, 0 },
	    { DONE, .in_force = 6, .pulls = 1 } } },
};

static void begin(void)
{
	memset(&arrivals, 0, sizeof(arrivals));
	arrivals.drop = drop;
	in_thread = NULL;
	now = 1000;
	jobs = 0;
	pulls = 0;
}

static size_t bytes_waiting(void)
{
	size_t bytes = 0;

	for (uint32_t i = 0; i < arrivals.count; i++) {
		if (dl_conf_is_delta(&arrivals.waiting[i]))
			bytes += arrivals.waiting[i].bytes;
	}
	return bytes;
}

START_TEST(versions_come_into_force_in_order)
{
	const struct step *steps = cases[_i].steps;

	for (uint32_t i = 0; steps[i].op != END; i++) {
		take_step(&steps[i]);
		ck_assert_msg(arrivals.in_force.version == steps[i].in_force &&
				      pulls == steps[i].pulls,
			      "%s: step %u: version %lu in force, %u pulls",
			      cases[_i].name, i,
			      (unsigned long)arrivals.in_force.version, pulls);
		ck_assert_uint_eq(arrivals.bytes, bytes_waiting());
	}
	/* Each version that arrived is freed, waits, or is being read. */
	ck_assert_uint_eq(jobs, arrivals.count + (in_thread != NULL));
}
END_TEST

/* Two whole texts are read with a pause of three times the first one's time. */
START_TEST(whole_texts_are_read_with_pauses)
{
	struct step first = { WHOLE, 0, 5, DL_CONF_QUEUED, 0, 0 };
	struct step second = { WHOLE, 0, 6, DL_CONF_QUEUED, 0, 0 };
	struct step third = { WHOLE, 0, 7, DL_CONF_QUEUED, 0, 0 };

	take_step(&first);
	take_step(&(struct step){ .op = DONE });
	take_step(&(struct step){ LATER, .base = 250 });
	take_step(&second);
	ck_assert_ptr_null(in_thread);
	take_step(&(struct step){ LATER, .base = 49 });
	ck_assert_ptr_null(in_thread);
	take_step(&(struct step){ LATER, .base = 1 });
	ck_assert_ptr_nonnull(in_thread);
	/* One that arrives meanwhile waits for the thread, however long. */
	take_step(&third);
	take_step(&(struct step){ LATER, .base = 1000 });
	ck_assert_uint_eq(in_thread->received.id.version, 6);
	/* It has waited for over 300 ms, so that it is read without a pause. */
	take_step(&(struct step){ .op = DONE });
	ck_assert_uint_eq(in_thread->received.id.version, 7);
}
END_TEST

/* Newest version known, as the base of the decision whether to pull. */
START_TEST(newest_version_includes_what_waits)
{
	struct step whole = { WHOLE, 0, 5, DL_CONF_QUEUED, 0, 0 };
	struct step delta = { DELTA, 5, 6, DL_CONF_QUEUED, 0, 0 };

	ck_assert_uint_eq(dl_conf_arrivals_newest(&arrivals), 0);
	take_step(&whole);
	ck_assert_uint_eq(dl_conf_arrivals_newest(&arrivals), 5);
	take_step(&delta);
	ck_assert_uint_eq(dl_conf_arrivals_newest(&arrivals), 6);
	take_step(&(struct step){ .op = FAILED });
	ck_assert_uint_eq(dl_conf_arrivals_newest(&arrivals), 0);
}
END_TEST

/*
 * A VM that is stalled must not keep deltas without limit, and operators must
 * see that deltas were dropped: each is counted, and none that is queued,
 * known, or replaced by a newer version.
 */
START_TEST(waiting_deltas_are_limited)
{
	struct step whole = { WHOLE, 0, 5, DL_CONF_QUEUED, 0, 0 };
	struct step delta = { _i ? BIG : DELTA, 5, 6, DL_CONF_QUEUED, 0, 0 };
	int64_t dropped = dl_metric_read(DL_METRIC_conf_arrivals_dropped);
	size_t each = _i ? LARGE : SMALL, n = 0;

	take_step(&whole);
	while (n < DL_CONF_ARRIVALS_MAX &&
	       (n + 1) * each <= DL_CONF_ARRIVAL_BYTES_MAX) {
		take_step(&delta);
		delta.base++;
		delta.version++;
		n++;
	}
	ck_assert_int_eq(dl_metric_read(DL_METRIC_conf_arrivals_dropped),
			 dropped);
	delta.arrival = DL_CONF_FULL;
	take_step(&delta);
	ck_assert_uint_eq(arrivals.count, n);
	ck_assert_int_eq(dl_metric_read(DL_METRIC_conf_arrivals_dropped),
			 dropped + 1);
	take_step(&delta);
	ck_assert_int_eq(dl_metric_read(DL_METRIC_conf_arrivals_dropped),
			 dropped + 2);
	/* One that waits already is not dropped. */
	delta.base--;
	delta.version--;
	delta.arrival = DL_CONF_KNOWN;
	take_step(&delta);
	/* A whole text takes the place of all of them. */
	whole.version = 100;
	take_step(&whole);
	ck_assert_uint_eq(arrivals.count, 1);
	ck_assert_uint_eq(arrivals.bytes, 0);
	ck_assert_uint_eq(jobs, 2);
	ck_assert_int_eq(dl_metric_read(DL_METRIC_conf_arrivals_dropped),
			 dropped + 2);
}
END_TEST

/* A whole text must not be read if the delta that was pulled instead arrives.
 */
START_TEST(whole_text_waits_for_delta_that_replaces_it)
{
	struct dl_conf_received whole = { .id = { 4, 0 },
					  .awaits_delta = true,
					  .bytes = LARGE };
	struct dl_conf_received delta = { .id = { 4, 44 },
					  .base = { 1, 11 },
					  .small = true,
					  .bytes = SMALL };
	struct dl_conf_received r;

	for (int arrives = 0; arrives < 2; arrives++) {
		struct dl_conf_arrivals a = { .in_force = { 1, 11 },
					      .drop = ignore };

		ck_assert_int_eq(dl_conf_arrivals_add(&a, &whole, 1000),
				 DL_CONF_QUEUED);
		ck_assert_int_eq(dl_conf_arrivals_next(&a, 1199, &r),
				 DL_CONF_WAIT);
		if (arrives)
			ck_assert_int_eq(dl_conf_arrivals_add(&a, &delta, 1199),
					 DL_CONF_QUEUED);
		ck_assert_int_eq(dl_conf_arrivals_next(&a, 1200, &r),
				 DL_CONF_READ);
		ck_assert(dl_conf_is_delta(&r) == arrives);
		ck_assert_uint_eq(a.count, 0);
	}
}
END_TEST

/*
 * A small delta that takes long, after it overtook a whole text in the worker
 * thread: deltas that lead from it wait for it, also once the thread is done.
 */
START_TEST(small_delta_that_takes_long_is_waited_for)
{
	struct dl_conf_received whole = { .id = { 2, 0 }, .bytes = LARGE };
	struct dl_conf_received slow = { .id = { 3, 33 },
					 .base = { 1, 11 },
					 .small = true,
					 .bytes = SMALL };
	struct dl_conf_received after = { .id = { 4, 44 },
					  .base = { 3, 33 },
					  .small = true,
					  .bytes = SMALL };
	struct dl_conf_arrivals a = { .in_force = { 1, 11 } };
	struct dl_conf_received r;

	ck_assert_int_eq(dl_conf_arrivals_add(&a, &whole, 1000),
			 DL_CONF_QUEUED);
	ck_assert_int_eq(dl_conf_arrivals_next(&a, 1000, &r), DL_CONF_READ);
	ck_assert_int_eq(dl_conf_arrivals_add(&a, &slow, 1010), DL_CONF_QUEUED);
	ck_assert_int_eq(dl_conf_arrivals_next(&a, 1010, &r), DL_CONF_READ);
	ck_assert_uint_eq(r.id.version, 3);
	dl_conf_arrivals_continue(&a, &r);
	ck_assert(!r.small);
	slow = r;
	ck_assert_uint_eq(dl_conf_arrivals_newest(&a), 3);
	ck_assert_int_eq(dl_conf_arrivals_add(&a, &after, 1020),
			 DL_CONF_QUEUED);
	ck_assert_int_eq(dl_conf_arrivals_next(&a, 1020, &r), DL_CONF_WAIT);
	/* The thread is done with the older text. */
	dl_conf_arrivals_read(&a, &whole, 50, 1050);
	ck_assert(dl_conf_arrivals_put_in_force(&a, whole.id, true));
	ck_assert_int_eq(dl_conf_arrivals_next(&a, 1050, &r), DL_CONF_WAIT);
	dl_conf_arrivals_read(&a, &slow, 80, 1090);
	ck_assert(dl_conf_arrivals_put_in_force(&a, slow.id, false));
	ck_assert_int_eq(dl_conf_arrivals_next(&a, 1090, &r), DL_CONF_READ);
	ck_assert_uint_eq(r.id.version, 4);
}
END_TEST

/*
 * A delta that is applied in steps begins without a pause and is followed by
 * none, as its steps rest. One that is put back for the worker thread is read
 * under the limits of whole texts.
 */
START_TEST(delta_with_its_own_pace_needs_no_pause)
{
	struct dl_conf_received paced = { .id = { 2, 22 },
					  .base = { 1, 11 },
					  .own_pace = true,
					  .bytes = LARGE };
	struct dl_conf_arrivals a = { .in_force = { 1, 11 },
				      .read_not_before = 9000 };
	struct dl_conf_received r;

	ck_assert_int_eq(dl_conf_arrivals_add(&a, &paced, 1000),
			 DL_CONF_QUEUED);
	ck_assert_int_eq(dl_conf_arrivals_next(&a, 1000, &r), DL_CONF_READ);
	/* It is for the worker thread. */
	r.own_pace = false;
	dl_conf_arrivals_put_back(&a, &r);
	ck_assert_uint_eq(a.reading.version, 0);
	ck_assert_int_eq(dl_conf_arrivals_next(&a, 1000, &r), DL_CONF_WAIT);
	ck_assert_int_eq(dl_conf_arrivals_next(&a, 1300, &r), DL_CONF_READ);
	dl_conf_arrivals_read(&a, &r, 100, 1400);
	ck_assert_int_eq(a.read_not_before, 1700);
	/* It failed; applied in steps there is no pause afterwards. */
	ck_assert_int_eq(dl_conf_arrivals_add(&a, &paced, 1410),
			 DL_CONF_QUEUED);
	ck_assert_int_eq(dl_conf_arrivals_next(&a, 1410, &r), DL_CONF_READ);
	dl_conf_arrivals_read(&a, &r, 900, 2310);
	ck_assert_int_eq(a.read_not_before, 1700);
}
END_TEST

/*
 * Of several large deltas that wait only one is pulled that replaces them: each
 * of ten versions that a suspended VM had missed was read.
 */
START_TEST(large_deltas_that_wait_are_replaced_by_one)
{
	const struct step steps[] = {
		{ WHOLE, 0, 5, DL_CONF_QUEUED, 0, 0 },
		{ DONE, .in_force = 5 },
		{ SPLIT, .in_force = 5 },
		{ LATER, 400, .in_force = 5 },
		{ BIG, 5, 6, DL_CONF_QUEUED, 5, 0 },
		{ BIG, 6, 7, DL_CONF_QUEUED, 5, 0 },
		{ BIG, 7, 8, DL_CONF_QUEUED, 5, 0 },
		{ BIG, 8, 9, DL_CONF_QUEUED, 5, 0 },
		{ DELTA, 9, 10, DL_CONF_QUEUED, 5, 0 },
		{ DONE, .in_force = 6 },
		{ LATER, 400, .in_force = 6 },
		{ BIG, 6, 10, DL_CONF_QUEUED, 6, 0 },
		{ DONE, .in_force = 10 },
	};

	for (size_t i = 0; i < sizeof(steps) / sizeof(steps[0]); i++) {
		take_step(&steps[i]);
		ck_assert_uint_eq(arrivals.in_force.version, steps[i].in_force);
	}
	ck_assert_uint_eq(pulls, 1);
	ck_assert_uint_eq(jobs, 0);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("conf_arrival");
	TCase *tc = tcase_create("arrival");

	tcase_add_checked_fixture(tc, begin, NULL);
	tcase_add_loop_test(tc, versions_come_into_force_in_order, 0,
			    sizeof(cases) / sizeof(cases[0]));
	tcase_add_test(tc, whole_texts_are_read_with_pauses);
	tcase_add_test(tc, newest_version_includes_what_waits);
	tcase_add_loop_test(tc, waiting_deltas_are_limited, 0, 2);
	suite_add_tcase(suite, tc);
	tcase_add_test(tc, whole_text_waits_for_delta_that_replaces_it);
	tcase_add_test(tc, small_delta_that_takes_long_is_waited_for);
	tcase_add_test(tc, delta_with_its_own_pace_needs_no_pause);
	tcase_add_test(tc, large_deltas_that_wait_are_replaced_by_one);
	return suite_run(suite);
}
