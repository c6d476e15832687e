/*
 * The load of a day's bursts played over the dispatcher and sixteen emulated
 * engines, and what callers get of it: streams in time by length, the product's
 * way beside round robin and least load in one run.
 */
#include <check.h>
#include <glib.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>

#include "daisyledge/pool.h"
#include "fake/pass_engine.h"
#include "fake/published_engine.h"

#define ENGINES	   16
#define SECONDS	   24
#define DRAIN_S	   16
#define MS	   1000
#define OUTPUT_MAX 4182 /* tokens that callers allow; most use fewer */
#define RETRIES	   1
#define REPORT_MS  200 /* as late as the reports of engines are */
#define RENEW_MS   1000
#define TOKENS_MAX 300000 /* what one engine holds */

enum kind {
	SHORT,
	MIDDLE,
	LONG,
	KINDS
};

/* Mean tokens, spread of their logarithm, events, target, pause, patience. */
static const struct {
	const char *name;
	double tokens, spread;
	uint32_t events, target_ms, gap_ms, patience_ms;
} kinds[KINDS] = {
	[SHORT] = { "short", 4960, 0.5, 33, 300, 250, 10000 },
	[MIDDLE] = { "middle", 45000, 0.4, 20, 1500, 600, 10000 },
	[LONG] = { "long", 154000, 0.35, 16, 3000, 1000, 15000 },
};

/* Requests a second of each kind. */
struct load {
	const char *name;
	double rate[KINDS];
	/* Of a thousand, in time at least, by the product's way. */
	uint32_t least[KINDS];
};

static const struct load loads[] = {
	{ "steady", { 32.6, 1.66, 1.0 }, { 980, 950, 900 } },
	{ "long burst", { 9.8, 2.16, 2.0 }, { 980, 950, 900 } },
	{ "short burst", { 78, 0.83, 0.05 }, { 980, 950, 500 } },
};

struct caller {
	struct pass_stream stream;
	enum kind kind;
	uint64_t tokens;
	int64_t begun, back_at;
	uint32_t tries;
	bool over, granted;
	uint64_t grant;
	int64_t renew_at;
};

static struct dl_pool *pool;
static struct pass_engine engines[ENGINES];
static GPtrArray *callers;
static GRand *rnd;
static int64_t now;
static uint32_t asked[KINDS], in_time[KINDS], refused[KINDS];

static const struct dl_pool_conf conf = {
	.kind = DL_POOL_MODEL,
	.queue_entries_max = 1000,
	.queue_tokens_max = 1000000000,
	.out_share_permille = 300,
	.grant_lease_ms = 5000,
	.report_gone_ms = 6000,
	.weight_default = 1,
	.engine = { PUBLISHED_ENGINE, .hop_ms = 0.05, .usual_output = 1622 },
};

static void report(void)
{
	for (int i = 0; i < ENGINES; i++) {
		struct dl_endpoint_report r = { .incarnation = 1,
						.memory_tokens = 315000,
						.slots = 16,
						.prefill_rate = 177000,
						.decode_rate = 1176,
						.takes_groups = true };
		char id[32];

		r.running = engines[i].count;
		for (uint32_t k = 0; k < engines[i].count; k++) {
			const struct pass_item *item = &engines[i].item[k];
			const struct caller *c = item->stream->owner;

			r.used_tokens += item->leads ? c->tokens : 0;
			r.prefill_backlog +=
				item->state < PASS_READ ? c->tokens : 0;
		}
		snprintf(id, sizeof(id), "10.0.0.%d:80", i);
		dl_name_set(&r.id, dl_str_of(id));
		ck_assert_int_eq(dl_pool_report(pool, &r, now), 0);
	}
}

static double read_ms(double tokens)
{
	return tokens / 177 + tokens * tokens / 2 / 1e6 * 0.184;
}

/* The engines of a grant begin. */
static void start(struct caller *c, const struct dl_answer *a)
{
	double part = read_ms((double)c->tokens) / a->endpoints;

	c->granted = true;
	c->grant = a->grant;
	c->renew_at = now + RENEW_MS;
	c->stream.granted = now;
	c->stream.parts_left = a->endpoints;
	c->stream.events_left = kinds[c->kind].events;
	for (uint8_t i = 0; i < a->endpoints; i++) {
		int at = atoi(a->endpoint[i].s + strlen("10.0.0."));

		pass_engine_give(&engines[at], &c->stream, part,
				 (double)c->tokens / a->endpoints, i == 0, now);
	}
}

static void take(const struct dl_answer *a)
{
	struct caller *c = callers->pdata[a->request];
	int64_t left = c->begun + kinds[c->kind].patience_ms - now;

	if (a->verdict == DL_GRANTED) {
		start(c, a);
		return;
	}
	if (a->verdict != DL_REFUSED)
		return;
	if (c->tries++ >= RETRIES || !a->retry_after_ms) {
		c->over = true;
		refused[c->kind]++;
		return;
	}
	/* Told to come back, and not past a third of the time that is left. */
	c->back_at = now + MIN((int64_t)a->retry_after_ms, left / 3);
}

static void ask(struct caller *c)
{
	struct dl_ask want = {
		.request = c->stream.id,
		.entry = 1,
		.workspace = DL_STR("firm"),
		.class = DL_CLASS_INTERACTIVE,
		.prompt_tokens = c->tokens,
		.output_tokens = OUTPUT_MAX,
		.deadline = c->begun + kinds[c->kind].patience_ms,
		.target_ms = kinds[c->kind].target_ms,
		.gap_ms = kinds[c->kind].gap_ms,
		.first_by = now + MAX(2000, kinds[c->kind].target_ms * 4),
	};
	struct dl_answer a;

	c->back_at = 0;
	c->stream.asked = now;
	dl_pool_ask(pool, &want, now, &a);
	take(&a);
}

static void arrive(enum kind kind)
{
	struct caller *c = g_new0(struct caller, 1);
	double u = g_rand_double(rnd), v = g_rand_double(rnd);
	double normal = sqrt(-2 * log(1 - u)) * cos(2 * G_PI * v);
	double spread = kinds[kind].spread;
	double tokens =
		kinds[kind].tokens * exp(spread * normal - spread * spread / 2);

	c->kind = kind;
	c->tokens = (uint64_t)CLAMP(tokens, 200, TOKENS_MAX);
	c->begun = now;
	c->stream.id = callers->len;
	c->stream.owner = c;
	g_ptr_array_add(callers, c);
	asked[kind]++;
	ask(c);
}

static void on_done(struct pass_stream *s, int64_t at)
{
	struct caller *c = s->owner;
	struct dl_usage usage = {
		.ran = true,
		.prompt_tokens = c->tokens,
		.output_tokens = (uint64_t)kinds[c->kind].events * 51,
		.ttft_ms = (uint32_t)(s->first - s->granted),
		.total_ms = (uint32_t)(at - s->granted),
	};

	c->over = true;
	dl_pool_release(pool, c->grant, &usage, at);
	in_time[c->kind] += s->first - c->begun <= kinds[c->kind].target_ms &&
			    s->longest_gap <= kinds[c->kind].gap_ms;
}

static void step(const struct load *load)
{
	struct dl_answer a;

	if (now % REPORT_MS == 0)
		report();
	for (int i = 0; i < ENGINES; i++)
		pass_engine_run(&engines[i], now, on_done);
	for (guint i = 0; i < callers->len; i++) {
		struct caller *c = callers->pdata[i];

		if (c->over)
			continue;
		if (c->back_at && now >= c->back_at)
			ask(c);
		if (c->granted && now >= c->renew_at) {
			dl_pool_renew(pool, c->grant, now);
			c->renew_at = now + RENEW_MS;
		}
	}
	for (int k = 0; k < KINDS && now < (int64_t)SECONDS * MS; k++) {
		if (g_rand_double(rnd) < load->rate[k] / MS)
			arrive((enum kind)k);
	}
	while (now >= dl_pool_wakeup(pool) && dl_pool_next(pool, now, &a))
		take(&a);
}

/* Of a thousand of each kind in time, under one way to dispatch. */
static void play(const struct load *load, const struct dl_pool_policy *policy,
		 const char *name, uint32_t permille[KINDS])
{
	pool = dl_pool_new(&conf, policy, 7);
	rnd = g_rand_new_with_seed(11);
	callers = g_ptr_array_new_with_free_func(g_free);
	memset(engines, 0, sizeof(engines));
	memset(asked, 0, sizeof(asked));
	memset(in_time, 0, sizeof(in_time));
	memset(refused, 0, sizeof(refused));
	for (int i = 0; i < ENGINES; i++)
		engines[i].slots = 16;
	for (now = 0; now < (int64_t)(SECONDS + DRAIN_S) * MS; now++)
		step(load);
	ck_assert_ptr_null(dl_pool_broken(pool));
	printf("%-12s %-12s", load->name, name);
	for (int k = 0; k < KINDS; k++) {
		permille[k] = asked[k] ? in_time[k] * 1000 / asked[k] : 1000;
		printf("  %s %u of %u, refused %u", kinds[k].name, in_time[k],
		       asked[k], refused[k]);
	}
	printf("\n");
	fflush(stdout);
	g_ptr_array_free(callers, TRUE);
	g_rand_free(rnd);
	dl_pool_free(pool);
}

START_TEST(bursts_are_served_in_time)
{
	const struct load *load = &loads[_i];
	uint32_t ours[KINDS], robin[KINDS], least[KINDS];

	play(load, &dl_policy_engine, "engine", ours);
	play(load, &dl_policy_round_robin, "round robin", robin);
	play(load, &dl_policy_least_load, "least load", least);
	for (int k = 0; k < KINDS; k++) {
		ck_assert_msg(ours[k] >= load->least[k],
			      "%s: %u of a thousand %s ones in time",
			      load->name, ours[k], kinds[k].name);
		ck_assert_uint_ge(ours[k], robin[k]);
		ck_assert_uint_ge(ours[k], least[k]);
	}
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("placing load");
	TCase *tc = tcase_create("load");
	SRunner *runner = srunner_create(suite);
	int failed;

	tcase_add_loop_test(tc, bursts_are_served_in_time, 0,
			    G_N_ELEMENTS(loads));
	tcase_set_timeout(tc, 300);
	suite_add_tcase(suite, tc);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
