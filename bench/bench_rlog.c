/*
 * Benchmark of the replicated log.  Prints lines "name<TAB>value<TAB>unit".
 * Times in ms are simulated, with a link delay of 1 ms one way and a disk sync
 * of 1 ms, so they are the same on every machine; the restart time and times in
 * ns are real.  Bytes and messages are counted.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include <glib.h>

#include "daisyledge/cstore.h"
#include "fake/group.h"

#define CHANGES	     1000
#define CHANGE_BYTES 2000
#define FAILOVERS    40
#define IDLE_S	     60
#define RATE_S	     10
#define LONG_MS	     60000

static uint64_t steps, violations;

static void print_figure(const char *name, double value, const char *unit)
{
	printf("%s\t%.6g\t%s\n", name, value, unit);
}

static uint64_t now_ns(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (uint64_t)ts.tv_sec * 1000000000u + (uint64_t)ts.tv_nsec;
}

/* Start a group and wait for its leader; exits if none is elected. */
static struct group *start(uint32_t seed, uint32_t replicas, uint32_t padding)
{
	struct group *g = group_new(&(struct group_conf){
		.seed = seed,
		.listed = replicas,
		.link = { .delay_min_ms = 1, .delay_max_ms = 1 },
		.sync_min_ms = 1,
		.sync_max_ms = 1,
		.snapshot_padding = padding,
	});

	for (uint64_t vm = 1; vm <= replicas; vm++)
		group_start(g, vm);
	if (!group_wait_leader(g, LONG_MS)) {
		fprintf(stderr, "bench_rlog: no leader\n");
		exit(EXIT_FAILURE);
	}
	group_run(g, 1000);
	return g;
}

static void stop(struct group *g)
{
	steps += group_get_counters(g)->steps;
	violations += group_get_counters(g)->violations;
	group_free(g);
}

static uint64_t percentile(const uint64_t *counts, uint32_t n,
			   uint64_t permille)
{
	uint64_t sum = 0, seen = 0;

	for (uint32_t i = 0; i < n; i++)
		sum += counts[i];
	for (uint32_t i = 0; i < n; i++) {
		seen += counts[i];
		if (seen * 1000 >= sum * permille)
			return i;
	}
	return n;
}

static void bench_commit(void)
{
	struct group *g = start(1, 5, 0);

	for (int i = 0; i < CHANGES; i++) {
		group_propose(g, group_leader(g), CHANGE_BYTES);
		group_run(g, 7);
	}
	group_run(g, 100);
	print_figure("config_commit_ms_p99",
		     (double)percentile(group_get_counters(g)->commit_ms, 64,
					990),
		     "ms");
	stop(g);
}

static int compare(const void *a, const void *b)
{
	return (int)(*(const int64_t *)a - *(const int64_t *)b);
}

/* Time from the loss of the leader until the next can commit and be read. */
static void bench_failover(void)
{
	int64_t took[FAILOVERS], median;

	for (uint32_t i = 0; i < FAILOVERS; i++) {
		struct group *g = start(100 + i, 5, 0);
		int64_t begin;

		group_run(g, 13 * i);
		begin = group_now(g);
		group_crash(g, group_leader(g));
		group_wait_leader(g, LONG_MS);
		took[i] = group_now(g) - begin;
		stop(g);
	}
	qsort(took, FAILOVERS, sizeof(took[0]), compare);
	median = took[FAILOVERS / 2];
	print_figure("leader_failover_ms", (double)median, "ms");
	print_figure("leader_failover_ms_max", (double)took[FAILOVERS - 1],
		     "ms");
}

static void bench_handover(void)
{
	struct group *g = start(3, 5, 0);
	uint64_t old = group_leader(g);
	int64_t begin = group_now(g);

	dl_rlog_transfer(group_rlog(g, old), begin);
	while (group_leader(g) == old || !group_wait_leader(g, LONG_MS))
		group_run(g, 1);
	print_figure("leader_handover_ms", (double)(group_now(g) - begin),
		     "ms");
	stop(g);
}

static void bench_catchup(void)
{
	struct group *g = start(4, 5, 1 << 20);
	uint64_t away = group_leader(g) == 1 ? 2 : 1;
	int64_t begin;

	group_crash(g, away);
	for (int i = 0; i < CHANGES; i++) {
		group_propose(g, group_leader(g), CHANGE_BYTES);
		group_run(g, 7);
	}
	begin = group_now(g);
	group_start(g, away);
	while (group_applied(g, away) < group_applied(g, group_leader(g)))
		group_run(g, 1);
	print_figure("replica_catchup_ms_1000", (double)(group_now(g) - begin),
		     "ms");
	stop(g);
}

static void bench_idle(void)
{
	struct group *g = start(5, 5, 0);
	uint64_t leader = group_leader(g), other = leader == 1 ? 2 : 1;
	struct fake_link_count before, after;

	for (int i = 0; i < 2; i++) {
		uint64_t vm = i ? other : leader;

		before = fake_link_sent(group_link(g), vm);
		group_run(g, IDLE_S * 1000);
		after = fake_link_sent(group_link(g), vm);
		print_figure(i ? "replica_idle_bytes_per_s_follower" :
				 "replica_idle_bytes_per_s",
			     (double)(after.bytes - before.bytes) / IDLE_S,
			     "B/s");
		print_figure(i ? "replica_idle_msgs_per_s_follower" :
				 "replica_idle_msgs_per_s",
			     (double)(after.msgs - before.msgs) / IDLE_S,
			     "1/s");
	}
	stop(g);
}

/* Cost of a change at the leader, at several rates of changes. */
static void bench_rates(void)
{
	static const uint32_t rates[] = { 1, 10, 100, 1000 };
	char name[64];

	for (uint32_t k = 0; k < G_N_ELEMENTS(rates); k++) {
		struct group *g = start(6, 5, 0);
		uint64_t leader = group_leader(g), ns;
		uint32_t n = rates[k] * RATE_S;
		struct fake_link_count before, after;

		before = fake_link_sent(group_link(g), leader);
		ns = group_busy_ns(g, leader);
		for (uint32_t i = 0; i < n; i++) {
			group_propose(g, leader, CHANGE_BYTES);
			group_run(g, 1000 / rates[k]);
		}
		after = fake_link_sent(group_link(g), leader);
		ns = group_busy_ns(g, leader) - ns;
		snprintf(name, sizeof(name), "rlog_leader_bytes_per_s_at_%u",
			 rates[k]);
		print_figure(name,
			     (double)(after.bytes - before.bytes) / RATE_S,
			     "B/s");
		snprintf(name, sizeof(name), "rlog_leader_ns_per_change_at_%u",
			 rates[k]);
		print_figure(name, (double)ns / n, "ns");
		stop(g);
	}
}

static void store_code(void *arg, int code)
{
	*(int *)arg = code;
}

/* Encode an APPLY command with a whole configuration, as an entry sends it. */
static char *encode_change(uint32_t i, const char *text, size_t text_n,
			   size_t *n)
{
	char id[32], *out;
	struct dl_cstore_cmd cmd = { .op = DL_CSTORE_APPLY,
				     .wall_ms = 1000 + (int64_t)i * 1000,
				     .expect = UINT64_MAX,
				     .confirm = true,
				     .author = DL_STR("bench") };

	snprintf(id, sizeof(id), "change-%u", i);
	cmd.change_id = dl_str_of(id);
	cmd.text = (struct dl_str){ text, text_n };
	return dl_cstore_encode(&cmd, &out, n) ? NULL : out;
}

/* Write a journal of 1000 changes, one per record; returns its bytes. */
static uint64_t write_changes(struct dl_rlog_store *store,
			      struct fake_disk *disk, const char *text,
			      size_t text_n, uint64_t *payload)
{
	struct dl_rlog_record unit = { .cluster = 1, .term = 1 };
	uint64_t begin;
	int code = 0;

	dl_rlog_store_start(store, (struct dl_disk_done){ store_code, &code });
	fake_disk_run(disk, 0);
	begin = dl_rlog_store_bytes(store);
	for (uint32_t i = 1; i <= CHANGES; i++) {
		struct dl_rlog_entry e = { i, 1, DL_RLOG_COMMAND, { NULL, 0 } };
		size_t n;
		char *cmd = encode_change(i, text, text_n, &n);

		e.data = (struct dl_str){ cmd, n };
		*payload += n;
		unit.count = 1;
		unit.entries = &e;
		dl_rlog_store_write(store, &unit,
				    (struct dl_disk_done){ store_code, &code });
		fake_disk_run(disk, 0);
		free(cmd);
	}
	return dl_rlog_store_bytes(store) - begin;
}

/* Time to read the journal and execute it, as a restarting replica does. */
static void bench_restart(void)
{
	struct fake_disk *fake = fake_disk_new(1);
	struct dl_disk disk = { &fake_disk_ops, fake };
	struct dl_cstore *cstore = dl_cstore_new();
	struct dl_cstore_reply reply;
	struct dl_rlog_store *store;
	struct dl_rlog_image image;
	uint64_t bytes, payload = 0, begin;
	struct dl_err err;
	size_t text_n, n;
	char *text, *snap;

	if (!g_file_get_contents("examples/zveza.json", &text, &text_n, NULL))
		exit(EXIT_FAILURE);
	dl_rlog_store_open(disk, 1, &store, &image, &err);
	bytes = write_changes(store, fake, text, text_n, &payload);
	dl_rlog_store_free(store);
	print_figure("log_bytes_per_change", (double)bytes / CHANGES, "B");
	print_figure("log_overhead_bytes_per_change",
		     (double)(bytes - payload) / CHANGES, "B");
	begin = now_ns();
	if (dl_rlog_store_open(disk, 2, &store, &image, &err))
		exit(EXIT_FAILURE);
	for (uint32_t i = 0; i < image.count; i++)
		dl_cstore_exec(cstore, image.entries[i].index,
			       image.entries[i].data, &reply);
	print_figure("restart_after_1000_changes_ms",
		     (double)(now_ns() - begin) / 1e6, "ms");
	if (dl_cstore_version(cstore) != CHANGES ||
	    dl_cstore_snapshot(cstore, &snap, &n))
		exit(EXIT_FAILURE);
	print_figure("snapshot_bytes", (double)n, "B");
	free(snap);
	g_free(text);
	dl_rlog_image_free(&image);
	dl_rlog_store_free(store);
	dl_cstore_free(cstore);
	fake_disk_free(fake);
}

int main(void)
{
	bench_commit();
	bench_failover();
	bench_handover();
	bench_catchup();
	bench_idle();
	bench_rates();
	bench_restart();
	print_figure("steps_checked", (double)steps, "steps");
	print_figure("state_violations", (double)violations, "violations");
	return violations ? EXIT_FAILURE : EXIT_SUCCESS;
}
