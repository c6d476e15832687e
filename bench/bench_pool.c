/*
 * Latency and goodput of the dispatcher, compared with baseline policies behind
 * the same interface, in simulated time; and the cost of one dispatch decision,
 * in real time.
 */
#include <linux/perf_event.h>
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/syscall.h>
#include <time.h>
#include <unistd.h>

#include "fake/load.h"

#define ENGINES	   16
#define PREFILL	   10000
#define CAPACITY   (ENGINES * PREFILL / 1000.0)
#define P95	   950
#define MIX_MS	   400000
#define SETTLE_MS  600000
#define SHORT_MS   5000
#define ENTRIES	   6
#define SEED	   29
#define LONG_SHARE 850 /* permille */

/* A dispatcher configuration to compare. */
struct variant {
	const char *name;
	const struct dl_pool_policy *policy;
	uint32_t pools;
	uint32_t step;
};

static const struct variant variants[] = {
	{ "", &dl_policy_late_binding, 1, 512 },
	{ "_roundrobin", &dl_policy_round_robin, 1, 512 },
	{ "_leastload", &dl_policy_least_load, 1, 512 },
	{ "_local", &dl_policy_late_binding, ENTRIES, 512 },
	{ "_step2048", &dl_policy_late_binding, 1, 2048 },
	{ "_roundrobin_step2048", &dl_policy_round_robin, 1, 2048 },
};

static struct load load;
static GRand *rnd;

static void print_figure(const char *name, const char *more, double value,
			 const char *unit)
{
	printf("%s%s\t%.4g\t%s\n", name, more, value, unit);
}

static void begin_variant(const struct variant *variant)
{
	struct sim_engine_conf engine = { .memory = 400000,
					  .slots = 64,
					  .prefill_rate = PREFILL,
					  .decode_rate = 50,
					  .chunk = variant->step,
					  .lag_ms = 300 };
	struct dl_pool_conf conf = { .kind = DL_POOL_MODEL,
				     .queue_entries_max = 4000,
				     .queue_tokens_max = 100000000,
				     .long_tokens = 50000,
				     .long_share_permille = LONG_SHARE,
				     .out_share_permille = 200,
				     .grant_lease_ms = 3000,
				     .report_gone_ms = 1000,
				     .weight_default = 1 };

	rnd = g_rand_new_with_seed(SEED);
	load_init(&load, ENGINES, &engine, &conf, variant->policy,
		  variant->pools);
}

static void end_variant(void)
{
	load_fini(&load);
	g_rand_free(rnd);
}

static void demand_mix(double part, int64_t until, bool with_long)
{
	struct load_demand demand = { .to = until,
				      .tokens_per_ms = part * CAPACITY,
				      .with_long = with_long,
				      .short_ms = SHORT_MS };

	load_add_mix(&load, rnd, &demand);
}

static void demand_short(double part, int64_t until, uint32_t skew)
{
	struct load_demand demand = { .to = until,
				      .tokens_per_ms = part * CAPACITY,
				      .skew = skew,
				      .short_ms = SHORT_MS };

	load_add_shorts(&load, rnd, &demand);
}

static int compare(const void *a, const void *b)
{
	double x = *(const double *)a, y = *(const double *)b;

	return (x > y) - (x < y);
}

/* The p95 time to first token of a kind of requests on idle engines. */
static double idle_p95(uint32_t tag)
{
	double *list = calloc(load.requests + 1, sizeof(*list));
	double found;
	uint32_t n = 0;

	if (!list)
		abort();
	for (uint32_t i = 0; i < load.requests; i++) {
		const struct load_request *r = &load.request[i];

		if (r->first && r->tag == tag)
			list[n++] = (double)r->prompt * 1000 / PREFILL /
				    (r->engines ? r->engines : 1);
	}
	qsort(list, n, sizeof(*list), compare);
	found = n ? list[(size_t)(n - 1) * P95 / 1000] : 0;
	free(list);
	return found;
}

static void print_by_length(void)
{
	static const char *const names[] = { "_1k", "_10k", "_100k", "_1m" };

	for (uint32_t tag = LOAD_SHORT; tag <= LOAD_GIANT; tag++) {
		double p95 = (double)load_ttft(&load, tag, P95);

		print_figure("ttft_p95_ms", names[tag], p95, "ms");
		print_figure("ttft_ratio", names[tag], p95 / idle_p95(tag),
			     "ratio");
		print_figure("ttft_answered", names[tag],
			     (double)load_count(&load, tag, LOAD_DONE),
			     "requests");
		print_figure("ttft_refused", names[tag],
			     (double)load_count(&load, tag, LOAD_REFUSED),
			     "requests");
	}
}

static void bench_slowdown(const struct variant *variant)
{
	double without, with;

	begin_variant(variant);
	demand_mix(0.8, MIX_MS, false);
	load_run(&load, MIX_MS + SHORT_MS);
	without = (double)load_ttft(&load, LOAD_SHORT, P95);
	end_variant();
	begin_variant(variant);
	demand_mix(0.8, MIX_MS, true);
	load_run(&load, MIX_MS + SETTLE_MS);
	with = (double)load_ttft(&load, LOAD_SHORT, P95);
	print_figure("short_slowdown", variant->name, with / without, "ratio");
	print_figure("short_p95_ms", variant->name, with, "ms");
	print_figure("mix_late", variant->name,
		     (double)load_count(&load, LOAD_ANY, LOAD_LATE),
		     "requests");
	if (variant == variants)
		print_by_length();
	end_variant();
}

/* The number of short requests of one minute that are answered in time. */
static double goodput(double part, uint64_t *late)
{
	double good = 0;

	begin_variant(variants);
	demand_short(part, 60000, 0);
	load_run(&load, 60000);
	good = (double)load_count(&load, LOAD_ANY, LOAD_DONE);
	load_run(&load, 70000);
	*late += load_count(&load, LOAD_ANY, LOAD_LATE);
	end_variant();
	return good;
}

/* The prompt tokens answered in time, with requests of all lengths. */
static double goodput_mix(double part, uint64_t *late)
{
	double good = 0;

	begin_variant(variants);
	demand_mix(part, 200000, true);
	load_run(&load, 200000);
	for (uint32_t i = 0; i < load.requests; i++)
		if (load.request[i].outcome == LOAD_DONE)
			good += (double)load.request[i].prompt;
	load_run(&load, 800000);
	*late += load_count(&load, LOAD_ANY, LOAD_LATE);
	end_variant();
	return good;
}

static void bench_saturation(void)
{
	uint64_t late = 0;
	double once = goodput(1, &late), twice = goodput(2, &late);

	print_figure("goodput_1x", "", once / 60, "answers/s");
	print_figure("goodput_2x_over_1x", "", twice / once, "ratio");
	once = goodput_mix(1, &late);
	twice = goodput_mix(2, &late);
	print_figure("goodput_mix_1x", "", once / 200, "tokens/s");
	print_figure("goodput_mix_2x_over_1x", "", twice / once, "ratio");
	print_figure("admitted_late", "", (double)late, "requests");
}

static double jain(void)
{
	double asked[10] = { 0 }, done[10] = { 0 }, sum = 0, squares = 0;

	for (uint32_t i = 0; i < load.requests; i++) {
		const struct load_request *r = &load.request[i];

		asked[r->workspace]++;
		done[r->workspace] += r->outcome == LOAD_DONE;
	}
	for (int i = 1; i < 10; i++) {
		sum += done[i] / asked[i];
		squares += done[i] / asked[i] * done[i] / asked[i];
	}
	return sum * sum / (9 * squares);
}

/*
 * One workspace demands five times the capacity of the pool, which is fifty
 * times its share.
 */
static void bench_fairness(void)
{
	double without, with;

	begin_variant(variants);
	demand_short(0.63, 60000, 0);
	load_run(&load, 70000);
	without = (double)load_ttft(&load, LOAD_SHORT, P95);
	end_variant();
	begin_variant(variants);
	demand_short(5.63, 60000, 888);
	load_run(&load, 70000);
	with = (double)load_ttft(&load, LOAD_SHORT, P95);
	print_figure("fairness_jain", "", jain(), "index");
	print_figure("fairness_p95_ratio", "", with / without, "ratio");
	end_variant();
}

/* Open a counter of this thread's instructions; -1 where there is none. */
static int counter_open(void)
{
	struct perf_event_attr attr = {
		.type = PERF_TYPE_HARDWARE,
		.size = sizeof(attr),
		.config = PERF_COUNT_HW_INSTRUCTIONS,
		.exclude_kernel = 1,
		.exclude_hv = 1,
	};

	return (int)syscall(SYS_perf_event_open, &attr, 0, -1, -1, 0);
}

static double counter_read(int fd)
{
	uint64_t n = 0;

	if (fd < 0 || read(fd, &n, sizeof(n)) != (ssize_t)sizeof(n))
		return 0;
	return (double)n;
}

static double clock_ns(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (double)ts.tv_sec * 1e9 + (double)ts.tv_nsec;
}

#define DECISIONS 200000
#define DECIDE_MS 2000

/* A pool under slightly more load than its capacity, to time its decisions. */
struct decide {
	struct dl_pool *pool;
	uint32_t workspaces;
	uint32_t endpoints;
	double now;
	uint64_t asked;
	uint64_t *granted; /* ring of the active grants */
	uint32_t ring;
	uint32_t first;
	uint32_t n;
};

static void decide_report(struct decide *d)
{
	struct dl_endpoint_report r = { .incarnation = 1,
					.memory_tokens = 400000,
					.slots = 64,
					.prefill_rate = PREFILL,
					.decode_rate = 50 };
	char id[24];

	for (uint32_t i = 0; i < d->endpoints; i++) {
		snprintf(id, sizeof(id), "10.1.%u.%u:80", i / 250, i % 250);
		dl_name_set(&r.id, dl_str_of(id));
		dl_pool_report(d->pool, &r, (int64_t)d->now);
	}
}

static void decide_add_grant(struct decide *d, const struct dl_answer *a)
{
	if (a->verdict != DL_GRANTED || d->n == d->ring)
		return;
	d->granted[(d->first + d->n++) % d->ring] = a->grant;
}

__attribute__((noinline)) static void decide_one(struct decide *d)
{
	char name[24];
	struct dl_ask ask = { .request = d->asked++,
			      .entry = 1,
			      .class = DL_CLASS_INTERACTIVE,
			      .prompt_tokens = 500 + d->asked * 7919 % 1000,
			      .output_tokens = 20,
			      .deadline = (int64_t)d->now + DECIDE_MS };
	struct dl_answer a;

	snprintf(name, sizeof(name), "w%u",
		 (uint32_t)(d->asked * 2654435761u % d->workspaces));
	ask.workspace = dl_str_of(name);
	dl_pool_ask(d->pool, &ask, (int64_t)d->now, &a);
	decide_add_grant(d, &a);
	while (dl_pool_next(d->pool, (int64_t)d->now, &a))
		decide_add_grant(d, &a);
	while (d->n > 4 * d->endpoints) {
		dl_pool_release(d->pool, d->granted[d->first], NULL,
				(int64_t)d->now);
		d->first = (d->first + 1) % d->ring;
		d->n--;
	}
	d->now += 1000.0 / (d->endpoints * PREFILL / 1000.0) / 1.1;
}

static void decide_begin(struct decide *d, uint32_t workspaces,
			 uint32_t endpoints)
{
	struct dl_pool_conf conf = { .kind = DL_POOL_MODEL,
				     .queue_entries_max = 1000,
				     .queue_tokens_max = 100000000,
				     .long_tokens = 50000,
				     .long_share_permille = LONG_SHARE,
				     .grant_lease_ms = 2000000000,
				     .report_gone_ms = 2000000000,
				     .weight_default = 1 };

	*d = (struct decide){ .workspaces = workspaces,
			      .endpoints = endpoints,
			      .now = 1000,
			      .ring = 64 * endpoints };
	d->pool = dl_pool_new(&conf, &dl_policy_late_binding, 1);
	d->granted = calloc(d->ring, sizeof(*d->granted));
	if (!d->granted)
		abort();
	decide_report(d);
	for (uint32_t i = 0; i < DECISIONS / 4 + 2 * workspaces; i++)
		decide_one(d);
}

static void decide_end(struct decide *d)
{
	dl_pool_free(d->pool);
	free(d->granted);
}

static void bench_decide(const char *name, uint32_t workspaces,
			 uint32_t endpoints)
{
	struct decide d;
	int fd = counter_open();
	double ns, instructions;

	decide_begin(&d, workspaces, endpoints);
	instructions = counter_read(fd);
	ns = clock_ns();
	for (int i = 0; i < DECISIONS; i++)
		decide_one(&d);
	ns = clock_ns() - ns;
	instructions = counter_read(fd) - instructions;
	print_figure("decide_ns", name, ns / DECISIONS, "ns");
	if (instructions > 0)
		print_figure("decide_instructions", name,
			     instructions / DECISIONS, "instructions");
	if (fd >= 0)
		close(fd);
	decide_end(&d);
}

static double heap_bytes(void)
{
	return (double)mallinfo2().uordblks + (double)mallinfo2().hblkhd;
}

static void bench_sizes(void)
{
	struct decide d;
	double before, few;

	before = heap_bytes();
	decide_begin(&d, 10, 16);
	few = heap_bytes() - before;
	decide_end(&d);
	before = heap_bytes();
	decide_begin(&d, 32000, 16);
	print_figure("bytes_per_workspace", "",
		     (heap_bytes() - before - few) / (32000 - 10), "bytes");
	decide_end(&d);
	before = heap_bytes();
	decide_begin(&d, 10, 600);
	print_figure("bytes_per_endpoint", "",
		     (heap_bytes() - before - few) / (600 - 16), "bytes");
	decide_end(&d);
}

/* Memory of requests that are queued for the only engine. */
static void bench_queued_size(void)
{
	struct decide d;
	struct dl_ask ask = { .entry = 1,
			      .class = DL_CLASS_BATCH,
			      .workspace = DL_STR("w"),
			      .prompt_tokens = 1,
			      .deadline = INT64_MAX / 4 };
	struct dl_answer a;
	double before;
	uint32_t queued = 0;

	decide_begin(&d, 1, 1);
	before = heap_bytes();
	ask.prompt_tokens = 30000;
	for (int i = 0; i < 900; i++) {
		ask.request = d.asked++;
		dl_pool_ask(d.pool, &ask, (int64_t)d.now, &a);
		queued += a.verdict == DL_QUEUED;
	}
	print_figure("bytes_per_queued", "", (heap_bytes() - before) / queued,
		     "bytes");
	decide_end(&d);
}

/*
 * With two arguments, workspaces and endpoints, run decisions only: for
 * callgrind with --toggle-collect=decide_one, where the machine has no
 * instruction counter.
 */
int main(int argc, char **argv)
{
	struct decide d;

	if (argc == 3) {
		decide_begin(&d, (uint32_t)strtoul(argv[1], NULL, 10),
			     (uint32_t)strtoul(argv[2], NULL, 10));
		decide_end(&d);
		printf("decisions\t%llu\tdecisions\n",
		       (unsigned long long)d.asked);
		return EXIT_SUCCESS;
	}
	for (size_t i = 0; i < sizeof(variants) / sizeof(variants[0]); i++)
		bench_slowdown(&variants[i]);
	bench_saturation();
	bench_fairness();
	bench_decide("_10ws", 10, 16);
	bench_decide("_32000ws", 32000, 16);
	bench_decide("_16ep", 1000, 16);
	bench_decide("_600ep", 1000, 600);
	bench_sizes();
	bench_queued_size();
	return EXIT_SUCCESS;
}
