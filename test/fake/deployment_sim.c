/* Load simulation of a deployment; see the header. */
#include "deployment_sim.h"

#include <glib.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "pass_engine.h"

#define DRAIN_S	  20
#define MS_PER_S  1000
#define RETRIES	  1
#define REPORT_MS 200 /* reporting interval of real engines */
#define RENEW_MS  1000
#define OUTPUT_LIMIT_FACTOR                                                    \
	2.5 /* max_tokens of callers over their actual output */
#define LATE_VALUE	     0.25
#define LONGEST_SHARE	     0.2
#define DECODED_TOKEN_WEIGHT 10.0
#define LONGEST_TENTH	     0.1
#define NEXT_FIFTH_END	     0.3
#define WORKSPACE_NAME_MAX   16
#define ENDPOINT_FMT	     "10.0.0.%u:80"
#define ENDPOINT_PREFIX	     "10.0.0."

struct caller {
	struct pass_stream stream;
	uint32_t kind, domain;
	uint64_t tokens;
	uint32_t events;
	int64_t arrived, retry_at;
	uint32_t tries;
	bool done, granted, in_time, late, away;
	uint64_t grant;
	int64_t renew_at;
	int64_t submit_at; /* when the request reaches its engines; 0: no */
	int64_t event_delay;
	struct dl_answer answer;
	char workspace[WORKSPACE_NAME_MAX];
};

/* State of the current run; global because engine callbacks use it. */
static const struct sim_deployment *current;
static const struct sim_shift *shifting;
static struct dl_pool *pool;
static struct pass_engine engines[SIM_ENGINES_MAX];
static GPtrArray *callers;
static GRand *rnd;
static GRand
	*delay_rnd; /* separate, so that arrivals do not depend on grants */
static int64_t now;

/* Names the failure domain of an engine or a caller. */
static void set_domain(struct dl_name *to, uint32_t i)
{
	char name[32];

	if (!current->domains)
		return;
	snprintf(name, sizeof(name), "domain-%u", i % current->domains);
	dl_name_set(to, dl_str_of(name));
}

static void report_engines(void)
{
	const struct dl_engine_model *m = &current->engine;

	for (uint32_t i = 0; i < current->engines; i++) {
		struct dl_endpoint_report r = {
			.incarnation = 1,
			.memory_tokens = m->memory_tokens,
			.slots = m->slots,
			.prefill_rate = (uint32_t)(m->read_per_ms * MS_PER_S),
			.decode_rate = (uint32_t)(MS_PER_S / m->step_ms),
			.takes_groups = true,
		};
		char id[32];

		r.running = engines[i].count;
		for (uint32_t k = 0; k < engines[i].count; k++) {
			const struct pass_item *item = &engines[i].item[k];
			const struct caller *c = item->stream->owner;

			r.used_tokens += item->decodes ? c->tokens : 0;
			r.prefill_backlog +=
				item->state < PASS_PREFILLED ? c->tokens : 0;
		}
		snprintf(id, sizeof(id), ENDPOINT_FMT, i);
		dl_name_set(&r.id, dl_str_of(id));
		set_domain(&r.failure_domain, i);
		g_assert(dl_pool_report(pool, &r, now) == 0);
	}
}

static double prefill_ms(double tokens)
{
	const struct dl_engine_model *m = &current->engine;

	return tokens / m->read_per_ms +
	       tokens * tokens / 2 / 1e6 * m->per_pairs_ms;
}

/* Draws the time that a message takes, from an exponential distribution. */
static int64_t draw_delay(void)
{
	if (current->way_ms <= 0)
		return 0;
	return (int64_t)(-current->way_ms * log(1 - g_rand_double(delay_rnd)));
}

/* Submits a granted prompt to its engines. */
static void submit(struct caller *c)
{
	const struct dl_answer *a = &c->answer;
	double part = prefill_ms((double)c->tokens) / a->endpoints;

	c->submit_at = 0;
	c->stream.parts_left = a->endpoints;
	c->stream.events_left = c->events;
	for (uint8_t i = 0; i < a->endpoints; i++) {
		int at = atoi(a->endpoint[i].s + strlen(ENDPOINT_PREFIX));

		pass_engine_submit(&engines[at], &c->stream, part,
				   (double)c->tokens / a->endpoints, i == 0,
				   now);
	}
}

static void start_on_engines(struct caller *c, const struct dl_answer *a)
{
	c->granted = true;
	c->grant = a->grant;
	c->away = a->away > 0;
	c->renew_at = now + RENEW_MS;
	c->stream.granted = now;
	c->answer = *a;
	c->submit_at = now + draw_delay();
	c->event_delay = draw_delay();
	if (c->submit_at == now)
		submit(c);
}

static void handle_answer(const struct dl_answer *a)
{
	struct caller *c = callers->pdata[a->request];
	int64_t left = c->arrived + current->kind[c->kind].patience_ms - now;

	if (a->verdict == DL_GRANTED) {
		start_on_engines(c, a);
		return;
	}
	if (a->verdict != DL_REFUSED)
		return;
	if (c->tries++ >= RETRIES || !a->retry_after_ms) {
		c->done = true;
		return;
	}
	/* Retry when told, but within a third of the time left. */
	c->retry_at = now + MIN((int64_t)a->retry_after_ms, left / 3);
}

static void ask_pool(struct caller *c)
{
	const struct sim_kind *k = &current->kind[c->kind];
	struct dl_ask want = {
		.request = c->stream.id,
		.entry = 1 + c->domain,
		.workspace = dl_str_of(c->workspace),
		.class = DL_CLASS_INTERACTIVE,
		.prompt_tokens = c->tokens,
		.output_tokens = (uint32_t)(OUTPUT_LIMIT_FACTOR * k->events *
					    current->engine.stride),
		.deadline = c->arrived + k->patience_ms,
		.target_ms = k->target_ms,
		.gap_ms = k->gap_ms,
		.first_event_deadline = now + MAX(2000, k->target_ms * 4),
	};
	struct dl_answer a;

	set_domain(&want.failure_domain, c->domain);
	c->retry_at = 0;
	c->stream.asked = now;
	dl_pool_ask(pool, &want, now, &a);
	handle_answer(&a);
}

/* Draws from a log-normal distribution with this mean. */
static double draw_lognormal(double mean, double spread)
{
	double u = g_rand_double(rnd), v = g_rand_double(rnd);
	double normal = sqrt(-2 * log(1 - u)) * cos(2 * G_PI * v);

	return mean * exp(spread * normal - spread * spread / 2);
}

static void add_caller(uint32_t kind, uint32_t domain)
{
	const struct sim_kind *k = &current->kind[kind];
	struct caller *c = g_new0(struct caller, 1);
	double tokens = draw_lognormal(k->tokens, k->spread);

	c->kind = kind;
	c->domain = domain;
	c->tokens = (uint64_t)CLAMP(tokens, 200, k->longest);
	c->events = k->events;
	if (current->events_spread > 0)
		c->events = (uint32_t)CLAMP(
			draw_lognormal(k->events, current->events_spread), 1,
			OUTPUT_LIMIT_FACTOR * k->events);
	snprintf(c->workspace, sizeof(c->workspace), "firm-%d",
		 current->workspaces > 1 ?
			 g_rand_int_range(rnd, 0, (gint32)current->workspaces) :
			 0);
	c->arrived = now;
	c->stream.id = callers->len;
	c->stream.owner = c;
	g_ptr_array_add(callers, c);
	ask_pool(c);
}

static void on_done(struct pass_stream *s, int64_t at)
{
	struct caller *c = s->owner;
	const struct sim_kind *k = &current->kind[c->kind];
	struct dl_usage usage = {
		.ran = true,
		.prompt_tokens = c->tokens,
		.output_tokens = (uint64_t)c->events * current->engine.stride,
		.ttft_ms = (uint32_t)(s->first - s->granted),
		.total_ms = (uint32_t)(at - s->granted),
	};

	c->done = true;
	s->first += c->event_delay;
	dl_pool_release(pool, c->grant, &usage, at);
	c->in_time = s->first - c->arrived <= k->target_ms &&
		     s->longest_gap <= k->gap_ms;
	c->late = !c->in_time && at - c->arrived <= k->patience_ms;
}

/* Start of the measured interval, after the warm-up. */
static int64_t counted_from(const struct sim_load *load)
{
	return (int64_t)load->warmup_s * MS_PER_S;
}

static int64_t arrivals_end(const struct sim_load *load)
{
	return counted_from(load) + (int64_t)load->seconds * MS_PER_S;
}

/* Current arrival rate of a kind in a domain, in requests per second. */
static double arrival_rate(const struct sim_load *load, uint32_t domain,
			   uint32_t kind)
{
	double rate = now < counted_from(load) ? load->warmup_rate[kind] :
						 load->rate[kind];

	if (shifting->factor)
		rate *= shifting->factor(now - counted_from(load), domain,
					 kind);
	return rate / MAX(current->domains, 1);
}

static void add_callers(const struct sim_load *load, uint32_t domain)
{
	for (uint32_t k = 0; k < SIM_KINDS; k++) {
		if (g_rand_double(rnd) <
		    arrival_rate(load, domain, k) / MS_PER_S)
			add_caller(k, domain);
	}
}

static void step(const struct sim_load *load)
{
	struct dl_answer a;

	if (now % REPORT_MS == 0)
		report_engines();
	for (uint32_t i = 0; i < current->engines; i++)
		pass_engine_run(&engines[i], now, on_done);
	for (guint i = 0; i < callers->len; i++) {
		struct caller *c = callers->pdata[i];

		if (c->done)
			continue;
		if (c->retry_at && now >= c->retry_at)
			ask_pool(c);
		if (c->submit_at && now >= c->submit_at)
			submit(c);
		if (c->granted && now >= c->renew_at) {
			dl_pool_renew(pool, c->grant, now);
			c->renew_at = now + RENEW_MS;
		}
	}
	for (uint32_t d = 0;
	     d < MAX(current->domains, 1) && now < arrivals_end(load); d++)
		add_callers(load, d);
	while (now >= dl_pool_wakeup(pool) && dl_pool_next(pool, now, &a))
		handle_answer(&a);
}

static gint by_tokens(gconstpointer a, gconstpointer b)
{
	uint64_t x = (*(struct caller *const *)a)->tokens;
	uint64_t y = (*(struct caller *const *)b)->tokens;

	return x < y ? 1 : x > y ? -1 : 0;
}

/* Value of an answer; decoding a token takes as long as prefilling ten. */
static double value_of(const struct caller *c)
{
	return (double)c->tokens + DECODED_TOKEN_WEIGHT * (double)c->events *
					   current->engine.stride;
}

/* Summarises the results of one kind. */
static void summarize(const struct sim_load *load, uint32_t kind,
		      struct sim_count *out, double *got, double *asked)
{
	GPtrArray *of = g_ptr_array_new();
	guint longest, tenth, below;

	memset(out, 0, sizeof(*out));
	for (guint i = 0; i < callers->len; i++) {
		struct caller *c = callers->pdata[i];

		if (c->kind == kind && c->arrived >= counted_from(load))
			g_ptr_array_add(of, c);
	}
	g_ptr_array_sort(of, by_tokens);
	longest = (guint)(LONGEST_SHARE * of->len);
	tenth = (guint)(LONGEST_TENTH * of->len);
	below = (guint)(NEXT_FIFTH_END * of->len);
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
				       c->late	  ? LATE_VALUE :
						    0);
	}
	g_ptr_array_free(of, TRUE);
}

/* Passes what each counted caller received to the observer of the load. */
static void report_outcomes(const struct sim_load *load)
{
	for (guint i = 0; shifting->observe && i < callers->len; i++) {
		const struct caller *c = callers->pdata[i];
		struct sim_outcome o = {
			.kind = c->kind,
			.domain = c->domain,
			.arrived = c->arrived - counted_from(load),
			.first = c->stream.first,
			.longest_gap = c->stream.longest_gap,
			.granted = c->stream.granted,
			.predicted_ms = c->answer.predicted_ttft_ms,
			.in_time = c->in_time,
			.served = c->in_time || c->late,
			.away = c->away,
		};

		o.granted -= o.granted ? counted_from(load) : 0;
		o.first -= c->stream.first ? counted_from(load) : 0;
		if (o.arrived >= 0)
			shifting->observe(shifting->observe_arg, &o);
	}
}

/* Simulates a load under a dispatch policy. */
void sim_run(const struct sim_deployment *deployment,
	     const struct sim_load *load, const struct dl_pool_policy *policy,
	     struct sim_result *out)
{
	static const struct sim_shift none = { 0 };

	sim_run_shift(deployment, load, &none, policy, out);
}

/* Simulates a load that shifts, and passes each outcome to its observer. */
void sim_run_shift(const struct sim_deployment *deployment,
		   const struct sim_load *load, const struct sim_shift *shift,
		   const struct dl_pool_policy *policy, struct sim_result *out)
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
		.mix_horizon_ms = shift->mix_horizon_ms,
	};
	double got = 0, asked = 0;

	g_assert(deployment->engines <= SIM_ENGINES_MAX);
	current = deployment;
	shifting = shift;
	pool = dl_pool_new(&conf, policy, 7);
	rnd = g_rand_new_with_seed(load->seed);
	delay_rnd = g_rand_new_with_seed(load->seed + 1);
	callers = g_ptr_array_new_with_free_func(g_free);
	memset(engines, 0, sizeof(engines));
	for (uint32_t i = 0; i < current->engines; i++)
		pass_engine_init(&engines[i], &current->engine);
	for (now = 0; now < arrivals_end(load) + (int64_t)DRAIN_S * MS_PER_S;
	     now++)
		step(load);
	g_assert(!dl_pool_check_invariants(pool));
	report_outcomes(load);
	for (uint32_t k = 0; k < SIM_KINDS; k++)
		summarize(load, k, &out->kind[k], &got, &asked);
	out->value_permille = asked > 0 ? (uint32_t)(got / asked * 1000) : 1000;
	g_ptr_array_free(callers, TRUE);
	g_rand_free(rnd);
	g_rand_free(delay_rnd);
	dl_pool_free(pool);
}

/* Permille of the requests of a kind that were served in time. */
uint32_t sim_in_time_permille(const struct sim_result *result, uint32_t kind)
{
	const struct sim_count *c = &result->kind[kind];

	return c->asked ? c->in_time * 1000 / c->asked : 1000;
}

/* Prints the results of a load on one line. */
void sim_print(const struct sim_load *load, const char *way,
	       const struct sim_deployment *deployment,
	       const struct sim_result *result)
{
	printf("%-14s %-12s worth %4u", load->name, way,
	       result->value_permille);
	for (uint32_t k = 0; k < SIM_KINDS; k++) {
		const struct sim_count *c = &result->kind[k];

		printf("  %s %u of %u (longest %u of %u), refused %u",
		       deployment->kind[k].name, c->in_time, c->asked,
		       c->longest_in_time, c->longest_asked, c->refused);
	}
	printf("\n");
	fflush(stdout);
}
