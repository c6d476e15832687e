/*
 * Simulated control traffic of a deployment of a given size, driven through the
 * real pools and codecs without sockets: asks, answers, renewals, releases,
 * endpoint reports and pool summaries, counted for each VM.
 */
#ifndef BENCH_CONTROL_LOAD_H
#define BENCH_CONTROL_LOAD_H

#include <stdlib.h>
#include <string.h>

#include "protocol/pool_codec.h"

#define LOAD_TICK_MS	  10
#define LOAD_REPORT_MS	  1000 /* interval of endpoint reports */
#define LOAD_SUMMARY_MS	  500  /* interval of summaries to other domains */
#define LOAD_RENEWALS	  3    /* per lease */
#define LOAD_WHEEL	  4096 /* ticks; longer than any request */
#define LOAD_FRAME_LENGTH 4
#define LOAD_KIND_FIRST	  20 /* DL_FRAME_GRANT_REQUEST */
#define LOAD_KINDS	  7  /* up to DL_FRAME_SUMMARY */
#define LOAD_SLOTS	  256
#define LOAD_STEP_MS	  1
#define LOAD_KV_TOKENS	  8000000 /* KV memory of a runner of 8 accelerators */
/* High enough that no request is refused: only control traffic is measured. */
#define LOAD_PREFILL_RATE  1000000
#define LOAD_DECODE_RATE   24
#define LOAD_OUTPUT_TOKENS 308 /* 1.2 million a second over 3,900 requests */
#define LOAD_DEADLINE_MS   120000

struct load_conf {
	uint32_t domains;
	uint32_t entries;	 /* in each domain */
	uint32_t pools;		 /* in each domain, each with its own leader */
	uint32_t runners;	 /* in each pool */
	uint32_t requests_per_s; /* of all domains */
	uint32_t request_ms;	 /* duration of a stream */
	uint32_t lease_ms;
	uint32_t workspaces;
	uint32_t prompt_tokens; /* per request; 0: random, load_prompt() */
};

/* Traffic of one VM in both directions, as an entry and as a dispatcher. */
struct load_vm {
	uint64_t msgs;
	uint64_t bytes;
	uint64_t bytes_by_kind[LOAD_KINDS]; /* bytes, from LOAD_KIND_FIRST on */
};

/* Grants and tokens held by the endpoints of a pool, as they report them. */
struct load_pool_usage {
	uint64_t grants;
	uint64_t tokens;
};

/* A request in progress. */
struct load_req {
	struct load_req *next;
	struct load_req *next_renewal; /* of the same entry and pool */
	uint32_t pool;
	uint32_t entry;
	uint64_t grant;
	uint64_t tokens;
	int64_t end;
};

struct load {
	struct load_conf conf;
	struct dl_pool **pools; /* domains * pools */
	struct load_vm *vms;	/* domains * entries */
	struct load_req **wheel;
	struct load_req **pending; /* by request id, without a grant yet */
	uint32_t pending_cap;
	uint64_t next_id;
	uint64_t carry; /* request fraction, in thousandths */
	uint64_t rng;
	int64_t now;
	uint64_t requests;
	uint64_t granted;
	uint64_t refused;
	uint64_t renewals;
	uint64_t in_flight;
	struct load_pool_usage *usage_by_pool; /* by pool */
	struct load_req **renewal_lists; /* by pool and entry of its domain */
};

/* splitmix64 */
static inline uint64_t load_random(struct load *l)
{
	uint64_t z = l->rng += UINT64_C(0x9e3779b97f4a7c15);

	z = (z ^ (z >> 30)) * UINT64_C(0xbf58476d1ce4e5b9);
	z = (z ^ (z >> 27)) * UINT64_C(0x94d049bb133111eb);
	return z ^ (z >> 31);
}

/* The size of a frame with its envelope, as packed by src/transport/peers.c. */
static inline size_t load_frame_bytes(uint32_t kind, uint64_t request,
				      size_t body)
{
	msgpack_sbuffer out;
	msgpack_packer pk;
	size_t n;

	msgpack_sbuffer_init(&out);
	msgpack_packer_init(&pk, &out, msgpack_sbuffer_write);
	msgpack_pack_array(&pk, 4);
	msgpack_pack_uint32(&pk, kind);
	msgpack_pack_uint64(&pk, request);
	msgpack_pack_uint64(&pk, UINT64_C(1764700000000) << 10);
	msgpack_pack_bin(&pk, body);
	n = LOAD_FRAME_LENGTH + out.size + body;
	msgpack_sbuffer_destroy(&out);
	return n;
}

/* Prompt lengths from 1000 to a million tokens, 2% of them over 100,000. */
static inline uint64_t load_prompt(struct load *l)
{
	uint64_t r = load_random(l) % 1000;

	if (r < 20)
		return 100000 + load_random(l) % 900000;
	if (r < 200)
		return 10000 + load_random(l) % 90000;
	return 1000 + load_random(l) % 9000;
}

static inline void load_count(struct load *l, uint32_t vm, uint32_t kind,
			      size_t bytes)
{
	l->vms[vm].msgs++;
	l->vms[vm].bytes += bytes;
	l->vms[vm].bytes_by_kind[kind - LOAD_KIND_FIRST] += bytes;
}

/* The VM that leads a pool; leaders are spread evenly over the domain. */
static inline uint32_t load_leader(const struct load *l, uint32_t pool)
{
	uint32_t domain = pool / l->conf.pools;
	uint32_t shard = pool % l->conf.pools;

	return domain * l->conf.entries +
	       shard * l->conf.entries / l->conf.pools;
}

/* Count a frame at its sender and its receiver. */
static inline void load_send(struct load *l, uint32_t from, uint32_t to,
			     uint32_t kind, uint64_t request, size_t body)
{
	size_t n = load_frame_bytes(kind, request, body);

	if (from == to)
		return;
	load_count(l, from, kind, n);
	load_count(l, to, kind, n);
}

static inline void load_report(struct load *l, uint32_t pool, uint32_t runner)
{
	struct dl_endpoint_report r = {
		.incarnation = 1,
		.memory_tokens = LOAD_KV_TOKENS,
		.used_tokens = l->usage_by_pool[pool].tokens / l->conf.runners,
		.slots = LOAD_SLOTS,
		.running = (uint32_t)(l->usage_by_pool[pool].grants /
				      l->conf.runners),
		.prefill_rate = LOAD_PREFILL_RATE,
		.decode_rate = LOAD_DECODE_RATE,
		.takes_groups = true
	};
	uint32_t entry = pool / l->conf.pools * l->conf.entries +
			 (uint32_t)(load_random(l) % l->conf.entries);
	struct dl_announcement sent, read;
	struct dl_packer pk;
	char text[24];

	dl_vm_text(((UINT64_C(0x0a010000) + pool * UINT64_C(256) + runner)
		    << 16) |
			   9000,
		   text);
	dl_name_set(&r.id, dl_str_of(text));
	memset(&sent, 0, sizeof(sent));
	sent.report = r;
	dl_name_set(&sent.service, DL_STR("match-writer"));
	sent.models_count = 1;
	dl_name_set(&sent.models[0], DL_STR("match-7b"));
	dl_report_pack(&pk, &sent);
	load_send(l, entry, load_leader(l, pool), 25, 0,
		  dl_packer_bytes(&pk).n);
	dl_report_read(dl_packer_bytes(&pk), &read);
	dl_pool_report(l->pools[pool], &read.report, l->now);
	dl_packer_close(&pk);
}

static inline void load_summary(struct load *l, uint32_t pool)
{
	struct dl_pool_summary s;
	struct dl_packer pk;

	dl_pool_summarize(l->pools[pool], l->now, &s);
	dl_summary_pack(&pk, DL_STR("match-writer"), DL_STR("medeu-hall"), &s);
	for (uint32_t d = 0; d < l->conf.domains; d++) {
		uint32_t other = d * l->conf.pools + pool % l->conf.pools;

		if (other != pool)
			load_send(l, load_leader(l, pool),
				  load_leader(l, other), 26, 0,
				  dl_packer_bytes(&pk).n);
	}
	dl_packer_close(&pk);
}

static inline struct load *load_new(const struct load_conf *conf)
{
	struct dl_pool_conf pc = { .kind = DL_POOL_MODEL,
				   .queue_entries_max = 2000,
				   .queue_tokens_max = 40000000,
				   .long_tokens = 100000,
				   .long_share_permille = 600,
				   .out_share_permille = 300,
				   .grant_lease_ms = conf->lease_ms,
				   .report_gone_ms = 4000,
				   .weight_default = 1 };
	uint32_t pools = conf->domains * conf->pools;
	struct load *l = calloc(1, sizeof(*l));

	if (!l)
		abort();
	l->conf = *conf;
	l->rng = 1;
	l->now = 1000;
	l->pending_cap = 1 << 20;
	l->pools = calloc(pools, sizeof(struct dl_pool *));
	l->vms = calloc((size_t)conf->domains * conf->entries, sizeof(*l->vms));
	l->usage_by_pool = calloc(pools, sizeof(*l->usage_by_pool));
	l->renewal_lists = calloc((size_t)pools * conf->entries,
				  sizeof(struct load_req *));
	l->wheel = calloc(LOAD_WHEEL, sizeof(struct load_req *));
	l->pending = calloc(l->pending_cap, sizeof(struct load_req *));
	if (!l->renewal_lists || !l->usage_by_pool || !l->pools || !l->vms ||
	    !l->wheel || !l->pending)
		abort();
	for (uint32_t p = 0; p < pools; p++) {
		l->pools[p] = dl_pool_new(&pc, &dl_policy_late_binding, p + 1);
		for (uint32_t r = 0; r < conf->runners; r++)
			load_report(l, p, r);
	}
	return l;
}

static inline void load_free(struct load *l)
{
	for (uint32_t p = 0; p < l->conf.domains * l->conf.pools; p++)
		dl_pool_free(l->pools[p]);
	for (uint32_t i = 0; i < LOAD_WHEEL; i++) {
		while (l->wheel[i]) {
			struct load_req *r = l->wheel[i];

			l->wheel[i] = r->next;
			free(r);
		}
	}
	for (uint32_t i = 0; i < l->pending_cap; i++)
		free(l->pending[i]);
	free(l->usage_by_pool);
	free(l->renewal_lists);
	free(l->pools);
	free(l->vms);
	free(l->wheel);
	free(l->pending);
	free(l);
}

static inline void load_schedule(struct load *l, struct load_req *r, int64_t at)
{
	uint64_t slot = (uint64_t)(at / LOAD_TICK_MS) % LOAD_WHEEL;

	r->next = l->wheel[slot];
	l->wheel[slot] = r;
}

/* The grants that an entry renews at a pool in one frame. */
static inline struct load_req **load_renewal_list(struct load *l, uint32_t pool,
						  uint32_t entry)
{
	return &l->renewal_lists[(size_t)pool * l->conf.entries +
				 entry % l->conf.entries];
}

static inline void load_unlink(struct load *l, struct load_req *r)
{
	struct load_req **at = load_renewal_list(l, r->pool, r->entry);

	while (*at != r)
		at = &(*at)->next_renewal;
	*at = r->next_renewal;
}

/* Renew all grants of an entry at a pool in one frame. */
static inline void load_renew(struct load *l, uint32_t pool, uint32_t entry)
{
	uint64_t grants[DL_ID_LIST_MAX];
	struct load_req *r = *load_renewal_list(l, pool, entry);
	struct dl_packer pk;
	uint32_t n = 0;

	if (!r)
		return;
	for (; r && n < DL_ID_LIST_MAX; r = r->next_renewal) {
		grants[n++] = r->grant;
		dl_pool_renew(l->pools[pool], r->grant, l->now);
		l->renewals++;
	}
	dl_id_list_pack(&pk, DL_STR("match-writer"), grants, n);
	load_send(l, pool / l->conf.pools * l->conf.entries + entry,
		  load_leader(l, pool), 23, 0, dl_packer_bytes(&pk).n);
	dl_packer_close(&pk);
}

/* Renew for the entries that are due; each is once in a third of a lease. */
static inline void load_renew_due(struct load *l)
{
	uint64_t turns =
		(uint64_t)l->conf.lease_ms / LOAD_RENEWALS / LOAD_TICK_MS;
	uint64_t tick = (uint64_t)(l->now / LOAD_TICK_MS);
	uint32_t pools = l->conf.domains * l->conf.pools;

	for (uint32_t p = 0; p < pools; p++)
		for (uint32_t e = 0; e < l->conf.entries; e++)
			if ((tick + (uint64_t)p * l->conf.entries + e) %
				    turns ==
			    0)
				load_renew(l, p, e);
}

/* Deliver an answer to its entry. */
static inline void load_answer(struct load *l, uint32_t pool,
			       const struct dl_answer *a)
{
	struct dl_answer_frame f = { .answer = *a }, read;
	struct load_req *r = l->pending[a->request % l->pending_cap];
	struct dl_packer pk;

	dl_name_set(&f.service, DL_STR("match-writer"));
	dl_answer_pack(&pk, &f, l->now);
	load_send(l, load_leader(l, pool), r->entry, 21, a->request,
		  dl_packer_bytes(&pk).n);
	dl_answer_read(dl_packer_bytes(&pk), &read, l->now);
	dl_packer_close(&pk);
	if (a->verdict == DL_QUEUED)
		return;
	l->pending[a->request % l->pending_cap] = NULL;
	if (a->verdict == DL_REFUSED) {
		l->refused++;
		free(r);
		return;
	}
	l->granted++;
	l->in_flight++;
	l->usage_by_pool[pool].grants++;
	l->usage_by_pool[pool].tokens += r->tokens;
	r->grant = a->grant;
	r->end = l->now + l->conf.request_ms;
	r->next_renewal = *load_renewal_list(l, r->pool, r->entry);
	*load_renewal_list(l, r->pool, r->entry) = r;
	load_schedule(l, r, r->end);
}

static inline void load_ask(struct load *l)
{
	struct load_req *r = calloc(1, sizeof(*r));
	struct dl_ask ask = { 0 };
	struct dl_answer answer;
	struct dl_ask_frame asked = { .no_spill = false }, read;
	struct dl_packer pk;
	char workspace[24] = "workspace-";
	uint32_t number;

	if (!r)
		abort();
	r->pool = (uint32_t)(load_random(l) %
			     ((uint64_t)l->conf.domains * l->conf.pools));
	r->entry = r->pool / l->conf.pools * l->conf.entries +
		   (uint32_t)(load_random(l) % l->conf.entries);
	number = 10000 + (uint32_t)(load_random(l) % l->conf.workspaces);
	for (int i = 14; i >= 10; i--, number /= 10)
		workspace[i] = (char)('0' + number % 10);
	ask.request = ++l->next_id;
	ask.entry = (UINT64_C(0x0a000001) + r->entry) << 16 | 7000;
	ask.workspace = dl_str_of(workspace);
	ask.class = (enum dl_class)(load_random(l) % DL_CLASS_COUNT);
	ask.prompt_tokens = l->conf.prompt_tokens ? l->conf.prompt_tokens :
						    load_prompt(l);
	ask.output_tokens = LOAD_OUTPUT_TOKENS;
	ask.prefix = load_random(l);
	ask.prefix_tokens = 1000;
	ask.deadline = l->now + LOAD_DEADLINE_MS;
	r->tokens = ask.prompt_tokens + LOAD_OUTPUT_TOKENS;
	l->pending[ask.request % l->pending_cap] = r;
	l->requests++;
	asked.ask = ask;
	dl_name_set(&asked.service, DL_STR("match-writer"));
	dl_ask_pack(&pk, &asked, l->now);
	load_send(l, r->entry, load_leader(l, r->pool), 20, ask.request,
		  dl_packer_bytes(&pk).n);
	if (dl_ask_read(dl_packer_bytes(&pk), &read, l->now) == 0) {
		dl_pool_ask(l->pools[r->pool], &read.ask, l->now, &answer);
		load_answer(l, r->pool, &answer);
	}
	dl_packer_close(&pk);
}

/* Finish a request: its entry releases the grant. */
static inline void load_finish(struct load *l, struct load_req *r)
{
	uint32_t to = load_leader(l, r->pool);
	struct dl_usage usage = {
		.ran = true,
		.prompt_tokens = r->tokens - LOAD_OUTPUT_TOKENS,
		.output_tokens = LOAD_OUTPUT_TOKENS,
		.ttft_ms = LOAD_STEP_MS +
			   (uint32_t)(r->tokens * 1000 / LOAD_PREFILL_RATE),
		.total_ms = l->conf.request_ms
	};
	struct dl_packer pk;

	load_unlink(l, r);
	dl_release_pack(&pk, DL_STR("match-writer"), r->grant, &usage);
	load_send(l, r->entry, to, 24, r->grant, dl_packer_bytes(&pk).n);
	dl_packer_close(&pk);
	dl_pool_release(l->pools[r->pool], r->grant, &usage, l->now);
	l->in_flight--;
	l->usage_by_pool[r->pool].grants--;
	l->usage_by_pool[r->pool].tokens -= r->tokens;
	free(r);
}

/* Advance the simulation by ms. */
static inline void load_run(struct load *l, int64_t ms)
{
	uint32_t pools = l->conf.domains * l->conf.pools;

	for (int64_t end = l->now + ms; l->now < end; l->now += LOAD_TICK_MS) {
		uint64_t slot = (uint64_t)(l->now / LOAD_TICK_MS) % LOAD_WHEEL;
		struct load_req *r = l->wheel[slot], *next;
		struct dl_answer answer;

		l->wheel[slot] = NULL;
		for (; r; r = next) {
			next = r->next;
			load_finish(l, r);
		}
		load_renew_due(l);
		l->carry += (uint64_t)l->conf.requests_per_s * LOAD_TICK_MS;
		for (; l->carry >= 1000; l->carry -= 1000)
			load_ask(l);
		for (uint32_t p = 0; p < pools; p++) {
			while (dl_pool_next(l->pools[p], l->now, &answer))
				load_answer(l, p, &answer);
			if (l->now % LOAD_SUMMARY_MS == 0)
				load_summary(l, p);
			for (uint32_t i = 0; l->now % LOAD_REPORT_MS == 0 &&
					     i < l->conf.runners;
			     i++)
				load_report(l, p, i);
		}
	}
}

/* The target size: 370 VMs, 75 dispatchers for 600 runners. */
static inline struct load_conf load_target(void)
{
	return (struct load_conf){ .domains = 5,
				   .entries = 74,
				   .pools = 15,
				   .runners = 8,
				   .requests_per_s = 3900,
				   .request_ms = 12900,
				   .lease_ms = 5000,
				   .workspaces = 32000 };
}

#endif
