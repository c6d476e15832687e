/* Tests of the retry budget, with many VMs in simulated time. */
#include "daisyledge/retry.h"

#include <check.h>
#include <stdlib.h>
#include <string.h>

#define VMS_MAX	     370
#define DISPATCHERS  3
#define WINDOW_MS    10000
#define STEP_MS	     10
#define DAY_MS	     60000
#define STEPS	     (DAY_MS / STEP_MS)
#define WINDOW_STEPS (WINDOW_MS / STEP_MS)
#define RANDOM_SEEDS 40
#define PERMILLE     1000

/* A deployment whose endpoints fail every request from a moment on. */
struct day {
	const char *what;
	uint32_t vms;
	uint32_t slack;
	uint32_t requests_per_s;
	uint32_t dispatchers;  /* that VMs choose from at random */
	uint32_t busy_vms;     /* that get all of the requests */
	bool restarts;	       /* VMs start again at random */
	bool moves;	       /* dispatching moves every two seconds */
	uint32_t used_percent; /* of what is allowed, at least */
};

static struct dl_retry_share shares[VMS_MAX];
static struct dl_retry_budget collected[DISPATCHERS];
static uint32_t requests_at[STEPS], repeats_at[STEPS];
static uint32_t random_state;

static uint32_t draw(uint32_t n)
{
	random_state = random_state * 1664525u + 1013904223u;
	return n ? (random_state >> 8) % n : 0;
}

static struct dl_retry_limit limit_of(const struct day *d)
{
	return (struct dl_retry_limit){ 200, d->slack, WINDOW_MS };
}

/* A VM asks for a repeat, from its share or of a dispatcher. */
static bool repeats(const struct day *d, uint32_t vm, uint32_t dispatcher,
		    int64_t now)
{
	struct dl_retry_limit limit = limit_of(d);

	dl_retry_share_accrue(&shares[vm], &limit, d->vms, now);
	if (dl_retry_budget_take_one(&shares[vm].budget))
		return true;
	dl_retry_budget_add(&collected[dispatcher],
			    dl_retry_budget_take_all(&shares[vm].budget));
	return dl_retry_budget_take_one(&collected[dispatcher]);
}

static void play_request(const struct day *d, uint32_t step, bool failing)
{
	struct dl_retry_limit limit = limit_of(d);
	uint32_t vm = draw(d->busy_vms);
	uint32_t dispatcher = d->moves ? step * STEP_MS / 2000 % DISPATCHERS :
					 draw(d->dispatchers);
	int64_t now = 1 + (int64_t)step * STEP_MS;

	requests_at[step]++;
	dl_retry_budget_add(&collected[dispatcher],
			    dl_retry_request_credit(&limit));
	if (failing)
		repeats_at[step] += repeats(d, vm, dispatcher, now);
}

static void play_step(const struct day *d, uint32_t step)
{
	struct dl_retry_limit limit = limit_of(d);
	uint32_t n = d->requests_per_s * STEP_MS / 1000;
	uint32_t rest = d->requests_per_s * STEP_MS % 1000;
	uint32_t dispatching = step * STEP_MS / 2000 % DISPATCHERS;

	n += draw(1000) < rest;
	for (uint32_t i = 0; i < DISPATCHERS; i++) {
		dl_retry_budget_set_max(&collected[i],
					dl_retry_dispatcher_max(&limit, d->vms,
								d->vms));
		if (d->moves && i != dispatching)
			collected[i].credit = 0;
	}
	for (uint32_t vm = 0; vm < d->vms && step % (1000 / STEP_MS) == 0; vm++)
		dl_retry_share_accrue(&shares[vm], &limit, d->vms,
				      1 + (int64_t)step * STEP_MS);
	for (uint32_t i = 0; i < n; i++)
		play_request(d, step, step >= STEPS / 2);
	if (d->restarts && draw(20) == 0)
		memset(&shares[draw(d->vms)], 0, sizeof(shares[0]));
	if (d->restarts && draw(500) == 0)
		collected[draw(DISPATCHERS)].credit = 0;
}

/* Returns the most repeats beyond a share of the requests in any window. */
static double most_beyond_share(uint32_t *most)
{
	uint32_t requests = 0, made = 0;
	double worst = -1e9;

	*most = 0;
	for (uint32_t s = 0; s < STEPS; s++) {
		requests += requests_at[s];
		made += repeats_at[s];
		if (s < WINDOW_STEPS)
			continue;
		requests -= requests_at[s - WINDOW_STEPS];
		made -= repeats_at[s - WINDOW_STEPS];
		if (made > *most)
			*most = made;
		if (made - 0.2 * requests > worst)
			worst = made - 0.2 * requests;
	}
	return worst;
}

static void play(const struct day *d, uint32_t seed)
{
	double allowed = d->slack + 0.2 * d->requests_per_s * WINDOW_MS / 1000;
	uint32_t most;
	double worst;

	random_state = seed;
	memset(shares, 0, sizeof(shares));
	memset(collected, 0, sizeof(collected));
	memset(requests_at, 0, sizeof(requests_at));
	memset(repeats_at, 0, sizeof(repeats_at));
	for (uint32_t s = 0; s < STEPS; s++)
		play_step(d, s);
	worst = most_beyond_share(&most);
	ck_assert_msg(worst <= d->slack, "%s: %.0f of a slack of %u", d->what,
		      worst, d->slack);
	ck_assert_msg(most * 100 >= allowed * d->used_percent,
		      "%s: %u repeats of %.0f that are allowed", d->what, most,
		      allowed);
}

static const struct day days[] = {
	{ "10 VMs", 10, 100, 60, 1, 10, false, false, 75 },
	{ "90 VMs", 90, 256, 108, 1, 90, false, false, 75 },
	{ "370 VMs", 370, 660, 3900, 1, 370, false, false, 75 },
	{ "370 VMs, few requests", 370, 660, 20, 1, 370, false, false, 10 },
	{ "a tenth of the VMs gets all", 90, 256, 108, 1, 9, false, false, 50 },
	{ "dispatching moves", 90, 256, 108, 1, 90, false, true, 70 },
	{ "VMs see three dispatchers", 90, 256, 108, 3, 90, false, false, 70 },
	{ "VMs start again", 90, 256, 108, 1, 90, true, false, 50 },
	{ "all at once", 90, 256, 108, 3, 30, true, false, 25 },
};

/* Endpoints of a service fail all requests, at all VMs at once. */
START_TEST(repeats_of_all_vms_stay_within_deployment_bound)
{
	for (uint32_t seed = 1; seed <= RANDOM_SEEDS; seed++)
		play(&days[_i], seed);
}
END_TEST

START_TEST(cut_off_vm_spends_no_more_than_its_share)
{
	struct dl_retry_limit limit = { 200, 256, WINDOW_MS };
	struct dl_retry_share share = { 0 };
	uint32_t made = 0;

	for (int64_t now = 1; now <= DAY_MS; now += STEP_MS) {
		dl_retry_share_accrue(&share, &limit, 90, now);
		made += dl_retry_budget_take_one(&share.budget);
	}
	ck_assert_uint_le(made, 1 + 256 / 90 * DAY_MS / WINDOW_MS);
}
END_TEST

/* A VM that was paused, or whose clock jumps, gets no more than the others. */
START_TEST(pause_brings_no_more_than_can_be_saved_up)
{
	struct dl_retry_limit limit = { 200, 800, WINDOW_MS };
	struct dl_retry_share share = { 0 };

	dl_retry_share_accrue(&share, &limit, 2, 1);
	dl_retry_share_accrue(&share, &limit, 2, 1000000000);
	ck_assert_uint_eq(share.budget.credit, 100 * DL_RETRY_ONE);
	dl_retry_share_accrue(&share, &limit, 2, 5);
	ck_assert_uint_eq(share.budget.credit, 100 * DL_RETRY_ONE);
}
END_TEST

START_TEST(partition_divides_what_is_saved_up)
{
	struct dl_retry_limit limit = { 200, 800, WINDOW_MS };

	ck_assert_uint_eq(dl_retry_dispatcher_max(&limit, 90, 90),
			  100 * DL_RETRY_ONE);
	ck_assert_uint_le(dl_retry_dispatcher_max(&limit, 30, 90) +
				  dl_retry_dispatcher_max(&limit, 60, 90),
			  100 * DL_RETRY_ONE);
}
END_TEST

START_TEST(missed_vms_count_for_a_while)
{
	struct dl_retry_vms vms = { 0 };

	dl_retry_vms_update(&vms, 90, 1000);
	dl_retry_vms_update(&vms, 30, 2000);
	ck_assert_uint_eq(vms.known, 90);
	for (int64_t now = 3000; now <= 101000; now += 1000)
		dl_retry_vms_update(&vms, 30, now);
	ck_assert_uint_eq(vms.known, 80);
	dl_retry_vms_update(&vms, 95, 102000);
	ck_assert_uint_eq(vms.known, 95);
}
END_TEST

/* Every attempt that an endpoint may have received makes the next one a repeat.
 */
START_TEST(each_repeat_that_an_endpoint_counts_is_charged)
{
	struct dl_call_state state = { .idempotent = true,
				       .resumable = true,
				       .attempts = 1,
				       .deadline = 1000 };
	static const uint16_t statuses[] = { 0, 200, 421, 500, 503, 504 };
	uint32_t charged[DL_RETRY_WAY_COUNT] = { 0 };
	struct dl_attempt a;

	for (a.sent = 0; a.sent < DL_SENT_COUNT; a.sent++)
		for (a.received = 0; a.received < DL_RECV_COUNT; a.received++)
			for (a.failure = 0; a.failure < DL_FAILURE_COUNT;
			     a.failure++)
				for (size_t i = 0; i < 12; i++) {
					enum dl_retry_way way;

					a.status = statuses[i / 2];
					if (dl_call_next(&state, &a, 0) ==
					    DL_NEXT_ANSWER)
						continue;
					way = dl_retry_way_of(&a, i % 2);
					charged[way]++;
					ck_assert_int_eq(
						dl_retry_way_is_charged(way),
						a.sent != DL_SENT_NOTHING);
				}
	for (int way = 0; way < DL_RETRY_WAY_COUNT; way++)
		ck_assert_int_eq(charged[way] > 0, way != DL_RETRY_SILENT);
	ck_assert(dl_retry_way_is_charged(DL_RETRY_SILENT));
}
END_TEST

int main(void)
{
	Suite *s = suite_create("retry");
	TCase *t = tcase_create("budget");
	SRunner *r;
	int failed;

	tcase_add_loop_test(t, repeats_of_all_vms_stay_within_deployment_bound,
			    0, sizeof(days) / sizeof(days[0]));
	tcase_add_test(t, cut_off_vm_spends_no_more_than_its_share);
	tcase_add_test(t, pause_brings_no_more_than_can_be_saved_up);
	tcase_add_test(t, partition_divides_what_is_saved_up);
	tcase_add_test(t, missed_vms_count_for_a_while);
	tcase_add_test(t, each_repeat_that_an_endpoint_counts_is_charged);
	suite_add_tcase(s, t);
	r = srunner_create(s);
	srunner_run_all(r, CK_ENV);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
