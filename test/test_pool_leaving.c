/*
 * The last endpoint of a service that leaves: it must serve while no other one
 * is open, but nothing may be granted after its share of the promised time, nor
 * at all where the time of its departure is not known. News that arrives late
 * or again must not extend the time. Without the setting, an endpoint that
 * leaves is never granted.
 */
#include <check.h>
#include <stdio.h>
#include <stdlib.h>

#include "daisyledge/directory.h"
#include "daisyledge/pool.h"
#include "fake/suite.h"

#define DRAIN_MS 5000
/* Without a report for this long an endpoint is gone. */
#define GONE_MS 2500

/* One step of a case. */
enum act {
	END,	  /* of the case */
	READY,	  /* an endpoint reports that it is ready */
	LEAVING,  /* that it left value ms ago; 0: not known when */
	RESTART,  /* it reports as a new instance */
	EVACUATE, /* its domain is evacuated, or not any more (value 0) */
	DRAIN,	  /* an operator drains it, or no longer (value 0) */
	BREAK,	  /* a VM cannot connect to it */
	GONE,	  /* it is known to be gone */
	GRANTED,  /* a request is granted to it */
	REFUSED,  /* a request is refused for the reason value */
	STATE,	  /* the state of the service is value */
};

struct step {
	int64_t at;
	enum act act;
	int endpoint;
	int64_t value;
};

#define STEPS_MAX 24

struct pool_case {
	const char *name;
	uint32_t drain_ms;
	struct step steps[STEPS_MAX];
};

static const struct pool_case cases[] = {
	{ "without the setting it is never granted",
	  0,
	  { { 0, READY, 1, 0 },
	    { 0, GRANTED, 1, 0 },
	    { 100, LEAVING, 1, 1 },
	    { 100, REFUSED, 0, DL_REASON_DRAINING } } },
	{ "it serves until 0.6 of the time after it was heard of",
	  DRAIN_MS,
	  { { 0, READY, 1, 0 },
	    { 100, LEAVING, 1, 1 },
	    { 100, GRANTED, 1, 0 },
	    { 100, STATE, 0, DL_SERVICE_OPEN_LEAVING },
	    { 1000, LEAVING, 1, 901 },
	    { 3099, GRANTED, 1, 0 },
	    { 3100, REFUSED, 0, DL_REASON_DRAINING },
	    { 3100, STATE, 0, DL_SERVICE_LEAVING } } },
	{ "late news ends it at 0.85 of the time after the departure",
	  DRAIN_MS,
	  { { 0, READY, 1, 0 },
	    { 100, LEAVING, 1, 3000 },
	    { 1349, GRANTED, 1, 0 },
	    { 1350, REFUSED, 0, DL_REASON_DRAINING } } },
	{ "news later than that does not open it",
	  DRAIN_MS,
	  { { 0, READY, 1, 0 },
	    { 100, LEAVING, 1, 4300 },
	    { 100, REFUSED, 0, DL_REASON_DRAINING } } },
	{ "it is not used if the time of its departure is not known",
	  DRAIN_MS,
	  { { 0, READY, 1, 0 },
	    { 100, LEAVING, 1, 0 },
	    { 100, REFUSED, 0, DL_REASON_DRAINING },
	    { 100, STATE, 0, DL_SERVICE_LEAVING } } },
	{ "undated news that is dated later counts from the first",
	  DRAIN_MS,
	  { { 0, READY, 1, 0 },
	    { 100, LEAVING, 1, 0 },
	    { 500, LEAVING, 1, 1 },
	    { 1500, LEAVING, 1, 1001 },
	    { 3099, GRANTED, 1, 0 },
	    { 3100, REFUSED, 0, DL_REASON_DRAINING } } },
	{ "repeated news does not extend the time",
	  DRAIN_MS,
	  { { 0, READY, 1, 0 },
	    { 100, LEAVING, 1, 1 },
	    { 2000, LEAVING, 1, 1 },
	    { 3000, LEAVING, 1, 1 },
	    { 3100, REFUSED, 0, DL_REASON_DRAINING } } },
	{ "news that dates it more closely opens it, from when it was heard of",
	  DRAIN_MS,
	  { { 0, READY, 1, 0 },
	    { 100, LEAVING, 1, 4300 },
	    { 200, REFUSED, 0, DL_REASON_DRAINING },
	    { 300, LEAVING, 1, 1 },
	    { 300, GRANTED, 1, 0 },
	    { 1300, LEAVING, 1, 4900 },
	    { 3099, GRANTED, 1, 0 },
	    { 3100, REFUSED, 0, DL_REASON_DRAINING } } },
	{ "a VM that starts counts from the departure",
	  DRAIN_MS,
	  { { 100, LEAVING, 1, 2500 },
	    { 1849, GRANTED, 1, 0 },
	    { 1850, REFUSED, 0, DL_REASON_DRAINING } } },
	{ "it gets nothing while another one is open",
	  DRAIN_MS,
	  { { 0, READY, 1, 0 },
	    { 0, READY, 2, 0 },
	    { 100, LEAVING, 1, 1 },
	    { 100, GRANTED, 2, 0 },
	    { 150, STATE, 0, DL_SERVICE_OPEN },
	    { 200, LEAVING, 2, 1 },
	    { 3090, GRANTED, 0, 0 },
	    { 3100, GRANTED, 2, 0 },
	    { 3199, GRANTED, 2, 0 },
	    { 3200, REFUSED, 0, DL_REASON_NO_ENDPOINT } } },
	{ "an endpoint that comes takes over at once",
	  DRAIN_MS,
	  { { 0, READY, 1, 0 },
	    { 100, LEAVING, 1, 1 },
	    { 200, GRANTED, 1, 0 },
	    { 300, READY, 2, 0 },
	    { 300, GRANTED, 2, 0 },
	    { 400, GRANTED, 2, 0 },
	    { 400, STATE, 0, DL_SERVICE_OPEN } } },
	{ "the evacuated domain is not used",
	  DRAIN_MS,
	  { { 0, READY, 1, 0 },
	    { 0, READY, 2, 0 },
	    { 100, EVACUATE, 1, 1 },
	    { 200, LEAVING, 2, 1 },
	    { 200, GRANTED, 2, 0 },
	    { 2400, READY, 1, 0 },
	    { 3199, GRANTED, 2, 0 },
	    { 3200, REFUSED, 0, DL_REASON_EVACUATED },
	    { 3200, STATE, 0, DL_SERVICE_EVACUATED },
	    { 3300, EVACUATE, 1, 0 },
	    { 3300, GRANTED, 1, 0 } } },
	{ "one that leaves in an evacuated domain is not used",
	  DRAIN_MS,
	  { { 0, READY, 1, 0 },
	    { 100, LEAVING, 1, 1 },
	    { 100, GRANTED, 1, 0 },
	    { 200, EVACUATE, 1, 1 },
	    { 200, REFUSED, 0, DL_REASON_NO_ENDPOINT },
	    { 300, EVACUATE, 1, 0 },
	    { 300, GRANTED, 1, 0 } } },
	{ "evacuated is the reason only if an endpoint there would serve",
	  DRAIN_MS,
	  { { 0, READY, 1, 0 },
	    { 100, EVACUATE, 1, 1 },
	    { 100, REFUSED, 0, DL_REASON_EVACUATED },
	    { 200, DRAIN, 1, 1 },
	    { 200, REFUSED, 0, DL_REASON_NO_ENDPOINT } } },
	{ "one that an operator drains is not used",
	  DRAIN_MS,
	  { { 0, READY, 1, 0 },
	    { 100, LEAVING, 1, 1 },
	    { 100, DRAIN, 1, 1 },
	    { 100, REFUSED, 0, DL_REASON_DRAINING } } },
	{ "one that cannot be reached is not used until it reports",
	  DRAIN_MS,
	  { { 0, READY, 1, 0 },
	    { 100, LEAVING, 1, 1 },
	    { 200, BREAK, 1, 0 },
	    { 200, REFUSED, 0, DL_REASON_DRAINING },
	    { 300, LEAVING, 1, 201 },
	    { 300, GRANTED, 1, 0 } } },
	{ "one that is left takes over when the other one is gone",
	  DRAIN_MS,
	  { { 0, READY, 1, 0 },
	    { 0, READY, 2, 0 },
	    { 100, LEAVING, 1, 1 },
	    { 200, GRANTED, 2, 0 },
	    { 300, GONE, 2, 0 },
	    { 300, GRANTED, 1, 0 } } },
	{ "one that deregistered serves on without reports",
	  DRAIN_MS,
	  { { 0, READY, 1, 0 },
	    { 100, LEAVING, 1, 1 },
	    { 2700, GRANTED, 1, 0 },
	    { 3099, GRANTED, 1, 0 },
	    { 3100, REFUSED, 0, DL_REASON_NO_ENDPOINT },
	    { 3100, STATE, 0, DL_SERVICE_GONE } } },
	{ "a new instance at its address is not leaving",
	  DRAIN_MS,
	  { { 0, READY, 1, 0 },
	    { 100, LEAVING, 1, 0 },
	    { 100, REFUSED, 0, DL_REASON_DRAINING },
	    { 200, RESTART, 1, 0 },
	    { 200, GRANTED, 1, 0 },
	    { 300, LEAVING, 1, 1 },
	    { 3000, GRANTED, 1, 0 },
	    { 3300, REFUSED, 0, DL_REASON_NO_ENDPOINT } } },
};

static const struct dl_pool_conf base_conf = {
	.kind = DL_POOL_PLAIN,
	.queue_entries_max = 10,
	.queue_tokens_max = 1000,
	.out_share_permille = 300,
	.grant_lease_ms = 60000,
	.report_gone_ms = GONE_MS,
	.weight_default = 1,
};

struct run {
	struct dl_pool *pool;
	struct dl_evacuations evacuations;
	uint64_t request;
	uint64_t incarnation[3];
};

static struct dl_name id_of(int endpoint)
{
	struct dl_name id;
	char text[24];

	snprintf(text, sizeof(text), "127.0.0.%d:9000", endpoint);
	dl_name_set(&id, dl_str_of(text));
	return id;
}

static void report(struct run *r, const struct step *s, bool leaving)
{
	struct dl_endpoint_report rep = { .slots = 4,
					  .id = id_of(s->endpoint),
					  .incarnation =
						  r->incarnation[s->endpoint],
					  .leaving = leaving,
					  .leaving_ms = (uint32_t)s->value };
	char domain[8];

	snprintf(domain, sizeof(domain), "d%d", s->endpoint);
	dl_name_set(&rep.failure_domain, dl_str_of(domain));
	ck_assert_int_eq(dl_pool_report(r->pool, &rep, s->at), 0);
}

static void evacuate(struct run *r, const struct step *s)
{
	char domain[8];

	snprintf(domain, sizeof(domain), "d%d", s->endpoint);
	ck_assert_int_eq(dl_evacuations_set(&r->evacuations, dl_str_of(domain),
					    s->value != 0),
			 0);
	dl_pool_set_evacuations(r->pool, &r->evacuations, s->at);
}

/* Asks for an endpoint; a grant is returned at once, with this usage. */
static struct dl_answer ask(struct run *r, int64_t now,
			    const struct dl_usage *usage)
{
	struct dl_ask ask = { .request = ++r->request,
			      .entry = 1,
			      .workspace = DL_STR("team"),
			      .class = DL_CLASS_INTERACTIVE,
			      .prompt_tokens = 1,
			      .deadline = now + 2000 };
	struct dl_answer answer;

	dl_pool_ask(r->pool, &ask, now, &answer);
	if (answer.verdict == DL_GRANTED)
		dl_pool_release(r->pool, answer.grant, usage, now);
	return answer;
}

static void run_step(struct run *r, const char *name, const struct step *s)
{
	static const struct dl_usage done = { .ran = true, .total_ms = 5 };
	static const struct dl_usage broken = { .unreachable = true };
	struct dl_name id = id_of(s->endpoint);
	struct dl_answer a;

	switch (s->act) {
	case READY:
	case LEAVING:
	case RESTART:
		r->incarnation[s->endpoint] += s->act == RESTART;
		report(r, s, s->act == LEAVING);
		break;
	case EVACUATE:
		evacuate(r, s);
		break;
	case DRAIN:
		dl_pool_endpoint_drain(r->pool, dl_name_str(&id), s->value != 0,
				       s->at);
		break;
	case BREAK:
		ck_assert_int_eq(ask(r, s->at, &broken).verdict, DL_GRANTED);
		break;
	case GONE:
		dl_pool_endpoint_gone(r->pool, dl_name_str(&id), s->at);
		break;
	case GRANTED:
		a = ask(r, s->at, &done);
		ck_assert_msg(
			a.verdict == DL_GRANTED &&
				(!s->endpoint ||
				 dl_name_eq(&a.endpoint[0], dl_name_str(&id))),
			"%s: at %ld: not granted (reason %s, endpoint %s)",
			name, (long)s->at, dl_reason_name(a.reason),
			a.endpoint[0].s);
		break;
	case REFUSED:
		a = ask(r, s->at, &done);
		ck_assert_msg(a.verdict == DL_REFUSED &&
				      (int64_t)a.reason == s->value,
			      "%s: at %ld: not refused as expected (%s)", name,
			      (long)s->at, dl_reason_name(a.reason));
		break;
	case STATE:
		ck_assert_msg((int64_t)dl_pool_service_state(r->pool) ==
				      s->value,
			      "%s: at %ld: state %d", name, (long)s->at,
			      dl_pool_service_state(r->pool));
		break;
	case END:
		break;
	}
}

START_TEST(leaving_endpoint_serves_only_within_its_time)
{
	const struct pool_case *c = &cases[_i];
	struct dl_pool_conf conf = base_conf;
	struct run r = { .incarnation = { 1, 1, 1 } };
	struct dl_answer answer;

	conf.endpoint_drain_ms = c->drain_ms;
	r.pool = dl_pool_new(&conf, &dl_policy_late_binding, 7);
	for (const struct step *s = c->steps;
	     s < c->steps + STEPS_MAX && s->act != END; s++) {
		while (dl_pool_next(r.pool, s->at, &answer))
			;
		run_step(&r, c->name, s);
		ck_assert_msg(!dl_pool_check_invariants(r.pool), "%s: %s",
			      c->name, dl_pool_check_invariants(r.pool));
	}
	dl_pool_free(r.pool);
}
END_TEST

/* Requests that wait when the time is over are refused at once. */
START_TEST(waiting_requests_are_refused_when_the_time_is_over)
{
	struct dl_pool_conf conf = base_conf;
	struct run r = { .incarnation = { 1, 1, 1 } };
	const struct step ready = { 0, READY, 1, 0 };
	const struct step leaving = { 100, LEAVING, 1, 1 };
	struct dl_ask wait = { .entry = 1,
			       .workspace = DL_STR("team"),
			       .class = DL_CLASS_INTERACTIVE,
			       .prompt_tokens = 1,
			       .deadline = 60000 };
	struct dl_answer answer;

	conf.endpoint_drain_ms = DRAIN_MS;
	r.pool = dl_pool_new(&conf, &dl_policy_late_binding, 7);
	report(&r, &ready, false);
	report(&r, &leaving, true);
	for (int i = 0; i < 5; i++) {
		wait.request = (uint64_t)i + 100;
		dl_pool_ask(r.pool, &wait, 200, &answer);
		ck_assert_int_eq(answer.verdict,
				 i < 4 ? DL_GRANTED : DL_QUEUED);
	}
	ck_assert(!dl_pool_next(r.pool, 3099, &answer));
	ck_assert_int_le(dl_pool_wakeup(r.pool), 3100);
	ck_assert(dl_pool_next(r.pool, 3100, &answer));
	ck_assert_int_eq(answer.verdict, DL_REFUSED);
	ck_assert_int_eq(answer.request, 104);
	ck_assert_ptr_null(dl_pool_check_invariants(r.pool));
	dl_pool_free(r.pool);
}
END_TEST

/* A grant carries the age of the departure, for the entry that uses it. */
START_TEST(grant_carries_the_age_of_the_departure)
{
	struct dl_pool_conf conf = base_conf;
	struct run r = { .incarnation = { 1, 1, 1 } };
	const struct step ready = { 0, READY, 1, 0 };
	const struct step leaving = { 100, LEAVING, 1, 50 };
	static const struct dl_usage done = { .ran = true };
	struct dl_answer answer;

	conf.endpoint_drain_ms = DRAIN_MS;
	r.pool = dl_pool_new(&conf, &dl_policy_late_binding, 7);
	report(&r, &ready, false);
	answer = ask(&r, 50, &done);
	ck_assert_uint_eq(dl_pool_leaving_age_ms(r.pool, &answer, 50), 0);
	report(&r, &leaving, true);
	answer = ask(&r, 400, &done);
	ck_assert_uint_eq(dl_pool_leaving_age_ms(r.pool, &answer, 400), 350);
	dl_pool_free(r.pool);
}
END_TEST

/* What a process may send depends on the earliest time of the departure. */
START_TEST(entry_sends_until_nine_tenths_of_the_time)
{
	struct dl_leaving l = { 0 };

	ck_assert(!dl_leaving_may_send(&l, DRAIN_MS, 0));
	dl_leaving_note(&l, DL_LEAVING_UNDATED, 1000);
	ck_assert(!dl_leaving_may_send(&l, DRAIN_MS, 1000));
	ck_assert_uint_eq(dl_leaving_age_ms(&l, 1000), DL_LEAVING_AGE_UNKNOWN);
	dl_leaving_note(&l, 2000, 2000);
	ck_assert(dl_leaving_may_send(&l, DRAIN_MS, 5499));
	ck_assert(!dl_leaving_may_send(&l, DRAIN_MS, 5500));
	dl_leaving_note(&l, 500, 2000);
	ck_assert(!dl_leaving_may_send(&l, DRAIN_MS, 5500));
	ck_assert_uint_eq(dl_leaving_age_ms(&l, 2500), 1500);
	ck_assert(!dl_leaving_may_send(&l, 0, 2000));
}
END_TEST

/* The time that a frame was under way counts; if it is not known, nothing. */
START_TEST(age_grows_by_the_delay_of_the_frame)
{
	ck_assert_uint_eq(dl_leaving_add_delay(10, 5), 15);
	ck_assert_uint_eq(dl_leaving_add_delay(10, -1), DL_LEAVING_AGE_UNKNOWN);
	ck_assert_uint_eq(dl_leaving_add_delay(0, 5), DL_LEAVING_AGE_UNKNOWN);
	ck_assert_uint_eq(dl_leaving_add_delay(DL_LEAVING_AGE_UNKNOWN, 0),
			  DL_LEAVING_AGE_UNKNOWN);
	ck_assert_uint_eq(dl_leaving_add_delay(10, INT64_MAX),
			  DL_LEAVING_AGE_UNKNOWN);
	ck_assert(dl_leaving_since(0, 100) == DL_LEAVING_UNDATED);
	ck_assert(dl_leaving_since(DL_LEAVING_AGE_UNKNOWN, 100) ==
		  DL_LEAVING_UNDATED);
	ck_assert_int_eq(dl_leaving_since(30, 100), 70);
}
END_TEST

/* The directory keeps the date of a departure; a new instance has none. */
START_TEST(directory_dates_a_departure)
{
	struct dl_directory *dir = dl_directory_new();
	struct dl_directory_update u = { .address = DL_STR("127.0.0.1:9000"),
					 .instance = DL_STR("a"),
					 .service = DL_STR("desk"),
					 .sequence = 1,
					 .born = 10 };
	const struct dl_directory_entry *e, *superseded;

	dl_directory_apply(dir, &u, 100, &e, &superseded);
	dl_directory_note_staying(dir, u.address, DL_STR("b"), 90);
	ck_assert_int_eq(e->staying_at, 0);
	dl_directory_note_staying(dir, u.address, u.instance, 90);
	dl_directory_note_staying(dir, u.address, u.instance, 80);
	ck_assert_int_eq(e->staying_at, 90);
	ck_assert_ptr_eq(dl_directory_find_instance(dir, u.instance), e);
	ck_assert_ptr_null(dl_directory_find_instance(dir, DL_STR("b")));
	u.leaving = true;
	u.left_now = 200;
	dl_directory_apply(dir, &u, 200, &e, &superseded);
	ck_assert(e->departure.known);
	ck_assert(e->departure.since == DL_LEAVING_UNDATED);
	u.left_since = 150;
	dl_directory_apply(dir, &u, 210, &e, &superseded);
	ck_assert_int_eq(e->departure.since, 150);
	u.instance = DL_STR("b");
	u.born = 20;
	u.leaving = false;
	dl_directory_apply(dir, &u, 300, &e, &superseded);
	ck_assert(!e->departure.known);
	ck_assert_int_eq(e->staying_at, 0);
	dl_directory_free(dir);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("pool_leaving");
	TCase *tc = tcase_create("pool_leaving");

	suite_add_tcase(s, tc);
	tcase_add_loop_test(tc, leaving_endpoint_serves_only_within_its_time, 0,
			    sizeof(cases) / sizeof(cases[0]));
	tcase_add_test(tc, waiting_requests_are_refused_when_the_time_is_over);
	tcase_add_test(tc, grant_carries_the_age_of_the_departure);
	tcase_add_test(tc, entry_sends_until_nine_tenths_of_the_time);
	tcase_add_test(tc, age_grows_by_the_delay_of_the_frame);
	tcase_add_test(tc, directory_dates_a_departure);
	return suite_run(s);
}
