/* A load played over the dispatcher and emulated engines; see the header. */
#include "play.h"

#include <glib.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "pass_engine.h"

#define DRAIN_S	     20
#define MS	     1000
#define RETRIES	     1
#define REPORT_MS    200 /* as late as the reports of engines are */
#define RENEW_MS     1000
#define ALLOWED_X    2.5 /* output that callers allow, of what they use */
#define LATE_WORTH   0.25
#define WORST_SHARE  0.2
#define WRITTEN_X    10.0
#define TENTH	     0.1
#define FIFTH_BELOW  0.3
#define FIRM_MAX     16
#define ENDPOINT_FMT "10.0.0.%u:80"
#define ENDPOINT_IN  "10.0.0."

struct caller {
	struct pass_stream stream;
	uint32_t kind;
	uint64_t tokens;
	uint32_t events;
	int64_t begun, back_at;
	uint32_t tries;
	bool over, granted, in_time, late;
	uint64_t grant;
	int64_t renew_at;
	char workspace[FIRM_MAX];
};

/* One run; the callbacks of the engines need it. */
static const struct play_deployment *place;
static struct dl_pool *pool;
static struct pass_engine engines[PLAY_ENGINES_MAX];
static GPtrArray *callers;
static GRand *rnd;
static int64_t now;

static void report(void)
{
	const struct dl_engine_model *m = &place->engine;

	for (uint32_t i = 0; i < place->engines; i++) {
		struct dl_endpoint_report r = {
			.incarnation = 1,
			.memory_tokens = m->memory_tokens,
			.slots = m->slots,
			.prefill_rate = (uint32_t)(m->read_per_ms * MS),
			.decode_rate = (uint32_t)(MS / m->step_ms),
			.takes_groups = true,
		};
		char id[32];

		r.running = engines[i].count;
		for (uint32_t k = 0; k < engines[i].count; k++) {
			const struct pass_item *item = &engines[i].item[k];
			const struct caller *c = item->stream->owner;

			r.used_tokens += item->leads ? c->tokens : 0;
			r.prefill_backlog +=
				item->state < PASS_READ ? c->tokens : 0;
		}
		snprintf(id, sizeof(id), ENDPOINT_FMT, i);
		dl_name_set(&r.id, dl_str_of(id));
		g_assert(dl_pool_report(pool, &r, now) == 0);
	}
}

static double read_ms(double tokens)
{
	const struct dl_engine_model *m = &place->engine;

	return tokens / m->read_per_ms +
	       tokens * tokens / 2 / 1e6 * m->per_pairs_ms;
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
	c->stream.events_left = c->events;
	for (uint8_t i = 0; i < a->endpoints; i++) {
		int at = atoi(a->endpoint[i].s + strlen(ENDPOINT_IN));

		pass_engine_give(&engines[at], &c->stream, part,
				 (double)c->tokens / a->endpoints, i == 0, now);
	}
}

static void take(const struct dl_answer *a)
{
	struct caller *c = callers->pdata[a->request];
	int64_t left = c->begun + place->kind[c->kind].patience_ms - now;

	if (a->verdict == DL_GRANTED) {
		start(c, a);
		return;
	}
	if (a->verdict != DL_REFUSED)
		return;
	if (c->tries++ >= RETRIES || !a->retry_after_ms) {
		c->over = true;
		return;
	}
	/* Told to come back, and not past a third of the time that is left. */
	c->back_at = now + MIN((int64_t)a->retry_after_ms, left / 3);
}

static void ask(struct caller *c)
{
	const struct play_kind *k = &place->kind[c->kind];
	struct dl_ask want = {
		.request = c->stream.id,
		.entry = 1,
		.workspace = dl_str_of(c->workspace),
		.class = DL_CLASS_INTERACTIVE,
		.prompt_tokens = c->tokens,
		.output_tokens = (uint32_t)(ALLOWED_X * k->events *
					    place->engine.stride),
		.deadline = c->begun + k->patience_ms,
		.target_ms = k->target_ms,
		.gap_ms = k->gap_ms,
		.first_event_deadline = now + MAX(2000, k->target_ms * 4),
	};
	struct dl_answer a;

	c->back_at = 0;
	c->stream.asked = now;
	dl_pool_ask(pool, &want, now, &a);
	take(&a);
}

/* Of a logarithm that is spread normally, about a mean. */
static double drawn(double mean, double spread)
{
	double u = g_rand_double(rnd), v = g_rand_double(rnd);
	double normal = sqrt(-2 * log(1 - u)) * cos(2 * G_PI * v);

	return mean * exp(spread * normal - spread * spread / 2);
}

static void arrive(uint32_t kind)
{
	const struct play_kind *k = &place->kind[kind];
	struct caller *c = g_new0(struct caller, 1);
	double tokens = drawn(k->tokens, k->spread);

	c->kind = kind;
	c->tokens = (uint64_t)CLAMP(tokens, 200, k->longest);
	c->events = k->events;
	if (place->events_spread > 0)
		c->events =
			(uint32_t)CLAMP(drawn(k->events, place->events_spread),
					1, ALLOWED_X * k->events);
	snprintf(c->workspace, sizeof(c->workspace), "firm-%d",
		 place->workspaces > 1 ?
			 g_rand_int_range(rnd, 0, (gint32)place->workspaces) :
			 0);
	c->begun = now;
	c->stream.id = callers->len;
	c->stream.owner = c;
	g_ptr_array_add(callers, c);
	ask(c);
}

static void on_done(struct pass_stream *s, int64_t at)
{
	struct caller *c = s->owner;
	const struct play_kind *k = &place->kind[c->kind];
	struct dl_usage usage = {
		.ran = true,
		.prompt_tokens = c->tokens,
		.output_tokens = (uint64_t)c->events * place->engine.stride,
		.ttft_ms = (uint32_t)(s->first - s->granted),
		.total_ms = (uint32_t)(at - s->granted),
	};

	c->over = true;
	dl_pool_release(pool, c->grant, &usage, at);
	c->in_time = s->first - c->begun <= k->target_ms &&
		     s->longest_gap <= k->gap_ms;
	c->late = !c->in_time && at - c->begun <= k->patience_ms;
}

/* When the callers that count begin to come. */
static int64_t begins_at(const struct play_load *load)
{
	return (int64_t)load->before_s * MS;
}

static int64_t ends_at(const struct play_load *load)
{
	return begins_at(load) + (int64_t)load->seconds * MS;
}

/* Requests of a kind that come in a second, at this moment. */
static double rate_of(const struct play_load *load, uint32_t kind)
{
	return now < begins_at(load) ? load->before[kind] : load->rate[kind];
}

static void step(const struct play_load *load)
{
	struct dl_answer a;

	if (now % REPORT_MS == 0)
		report();
	for (uint32_t i = 0; i < place->engines; i++)
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
	for (uint32_t k = 0; k < PLAY_KINDS && now < ends_at(load); k++) {
		if (g_rand_double(rnd) < rate_of(load, k) / MS)
			arrive(k);
	}
	while (now >= dl_pool_wakeup(pool) && dl_pool_next(pool, now, &a))
		take(&a);
}

static gint by_tokens(gconstpointer a, gconstpointer b)
{
	uint64_t x = (*(struct caller *const *)a)->tokens;
	uint64_t y = (*(struct caller *const *)b)->tokens;

	return x < y ? 1 : x > y ? -1 : 0;
}

/* What an answer counts: a token written takes as long as ten that are read. */
static double value_of(const struct caller *c)
{
	return (double)c->tokens +
	       WRITTEN_X * (double)c->events * place->engine.stride;
}

/* What the callers of one kind got. */
static void count(const struct play_load *load, uint32_t kind,
		  struct play_count *out, double *got, double *asked)
{
	GPtrArray *of = g_ptr_array_new();
	guint longest, tenth, below;

	memset(out, 0, sizeof(*out));
	for (guint i = 0; i < callers->len; i++) {
		struct caller *c = callers->pdata[i];

		if (c->kind == kind && c->begun >= begins_at(load))
			g_ptr_array_add(of, c);
	}
	g_ptr_array_sort(of, by_tokens);
	longest = (guint)(WORST_SHARE * of->len);
	tenth = (guint)(TENTH * of->len);
	below = (guint)(FIFTH_BELOW * of->len);
	for (guint i = 0; i < of->len; i++) {
		const struct caller *c = of->pdata[i];

		out->asked++;
		out->in_time += c->in_time;
		out->late += c->late;
		out->refused += !c->in_time && !c->late;
		out->longest_asked += i < longest;
		out->longest_in_time += i < longest && c->in_time;
		out->tenth_asked += i < tenth;
		out->tenth_served += i < tenth && (c->in_time || c->late);
		out->fifth_asked += i >= tenth && i < below;
		out->fifth_served += i >= tenth && i < below &&
				     (c->in_time || c->late);
		*asked += value_of(c);
		*got += value_of(c) * (c->in_time ? 1 :
				       c->late	  ? LATE_WORTH :
						    0);
	}
	g_ptr_array_free(of, TRUE);
}

/* Play a load under one way to dispatch. */
void play(const struct play_deployment *deployment,
	  const struct play_load *load, const struct dl_pool_policy *policy,
	  struct play_result *out)
{
	struct dl_pool_conf conf = {
		.kind = DL_POOL_MODEL,
		.queue_entries_max = 1000,
		.queue_tokens_max = 1000000000,
		.out_share_permille = 300,
		.grant_lease_ms = 5000,
		.report_gone_ms = 6000,
		.weight_default = 1,
		.engine = deployment->engine,
	};
	double got = 0, asked = 0;

	g_assert(deployment->engines <= PLAY_ENGINES_MAX);
	place = deployment;
	pool = dl_pool_new(&conf, policy, 7);
	rnd = g_rand_new_with_seed(load->seed);
	callers = g_ptr_array_new_with_free_func(g_free);
	memset(engines, 0, sizeof(engines));
	for (uint32_t i = 0; i < place->engines; i++)
		pass_engine_init(&engines[i], &place->engine);
	for (now = 0; now < ends_at(load) + (int64_t)DRAIN_S * MS; now++)
		step(load);
	g_assert(!dl_pool_check_invariants(pool));
	for (uint32_t k = 0; k < PLAY_KINDS; k++)
		count(load, k, &out->kind[k], &got, &asked);
	out->worth = asked > 0 ? (uint32_t)(got / asked * 1000) : 1000;
	g_ptr_array_free(callers, TRUE);
	g_rand_free(rnd);
	dl_pool_free(pool);
}

/* Of a thousand of one kind, those in time. */
uint32_t play_permille(const struct play_result *result, uint32_t kind)
{
	const struct play_count *c = &result->kind[kind];

	return c->asked ? c->in_time * 1000 / c->asked : 1000;
}

/* One line of what came of a load. */
void play_print(const struct play_load *load, const char *way,
		const struct play_deployment *deployment,
		const struct play_result *result)
{
	printf("%-14s %-12s worth %4u", load->name, way, result->worth);
	for (uint32_t k = 0; k < PLAY_KINDS; k++) {
		const struct play_count *c = &result->kind[k];

		printf("  %s %u of %u (longest %u of %u), refused %u",
		       deployment->kind[k].name, c->in_time, c->asked,
		       c->longest_in_time, c->longest_asked, c->refused);
	}
	printf("\n");
	fflush(stdout);
}
