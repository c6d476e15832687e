/*
 * Cost of the configuration and the replicated state machine: the time to parse
 * a configuration by number of workspaces, the time to parse one with many
 * routes and to apply a delta instead, the time of a command by number of
 * stored entries, and the bytes in memory and in snapshots.  Prints lines
 * "name<TAB>value<TAB>unit" only.
 */
#include <glib.h>
#include <inttypes.h>
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "daisyledge/conf.h"
#include "daisyledge/conf_delta.h"
#include "daisyledge/cstore.h"
#include "protocol/deflate.h"

#define WALL	    1700000000000
#define PARSE_TRIES 5
#define BATCH	    2000
/* A large deployment: 300 kB of text. */
#define ROUTES		 1300
#define ROUTE_SERVICES	 12
#define ROUTE_WORKSPACES 40
#define ROUTE_TRIES	 30
#define ALL_ROUTES	 UINT32_MAX /* each route is changed */
#define STEP_ROUTES	 8
#define CLAIM_S		 (1u << 20)
#define US_PER_MS	 1000.0
#define NS_PER_US	 1000.0

static const uint32_t workspaces[] = { 10, 1000, 8000, 32000 };
static const uint32_t fills[] = { 0, 1000, 10000, 50000, 95000 };

static struct dl_faults faults;
static struct dl_cstore_reply reply;
static uint64_t index_now;

/* A configuration text with this many workspaces. */
static GString *make_text(uint32_t count, int number)
{
	GString *s = g_string_new("{\"format\": 1, \"services\": {"
				  "\"pool\": {\"kind\": \"model\"}},\n"
				  "\"workspaces\": {\n");

	for (uint32_t i = 0; i < count; i++)
		g_string_append_printf(s,
				       "\"workspace-%u\": {\"weight\": 2, "
				       "\"requests_per_s\": 50}%s\n",
				       i, i + 1 < count ? "," : "");
	g_string_append_printf(s,
			       "}, \"weight_store_mb_per_s\": %d, "
			       "\"replicas\": ["
			       "{\"name\": \"r1\", \"address\": \"1.0.0.1:7\"},"
			       "{\"name\": \"r2\", \"address\": \"1.0.0.2:7\"},"
			       "{\"name\": \"r3\", \"address\": "
			       "\"1.0.0.3:7\"}]}",
			       number);
	return s;
}

/*
 * A configuration text of routes like those of a large deployment, some 210
 * bytes each; one route has another timeout.
 */
static GString *make_routes_text(uint64_t number, uint32_t changed)
{
	GString *s = g_string_new("{\"format\":1,\"services\":{");

	for (uint32_t i = 0; i < ROUTE_SERVICES; i++)
		g_string_append_printf(s,
				       "%s\"service-%u\":{\"kind\":\"model\","
				       "\"pool\":{\"long_tokens\":24000,"
				       "\"queue_entries_max\":2000}}",
				       i ? "," : "", i);
	g_string_append(s, "},\"workspaces\":{");
	for (uint32_t i = 0; i < ROUTE_WORKSPACES; i++)
		g_string_append_printf(s,
				       "%s\"workspace-%u\":{\"weight\":2,"
				       "\"keys\":[\"key-%u\"]}",
				       i ? "," : "", i, i);
	g_string_append_printf(s, "},\"number\":%" PRIu64 ",\"routes\":[",
			       number);
	for (uint32_t i = 0; i < ROUTES; i++)
		g_string_append_printf(
			s,
			"%s{\"name\":\"route-%u\",\"host\":"
			"\"host-%u.example\",\"path_prefix\":\"/v1/%u/\","
			"\"kind\":\"stream\",\"timeout_ms\":%d,"
			"\"target_ms\":300,\"gap_ms\":200,\"priority\":1,"
			"\"attempts\":3,\"resumable\":true,\"targets\":"
			"[{\"service\":\"service-%u\",\"weight\":1}]}",
			i ? "," : "", i, i % 50, i,
			i == changed || changed == ALL_ROUTES ? 20000 : 30000,
			i % ROUTE_SERVICES);
	g_string_append(s, "]}");
	return s;
}

/* The best of several parses, since other processes share the machine. */
static void bench_parse(uint32_t count)
{
	GString *text = make_text(count, 1);
	int64_t best = INT64_MAX;

	for (int i = 0; i < PARSE_TRIES; i++) {
		struct dl_conf *conf;
		int64_t begin = g_get_monotonic_time();

		if (dl_conf_parse((struct dl_str){ text->str, text->len },
				  &conf, &faults))
			exit(EXIT_FAILURE);
		best = MIN(best, g_get_monotonic_time() - begin);
		dl_conf_free(conf);
	}
	printf("conf_parse_ms_%u\t%.3f\tms\n", count, (double)best / US_PER_MS);
	printf("conf_text_bytes_%u\t%zu\tbytes\n", count, text->len);
	g_string_free(text, TRUE);
}

/* Best time of a parse of the whole text, in us. */
static int64_t time_parse(const GString *text)
{
	int64_t best = INT64_MAX;

	for (int i = 0; i < ROUTE_TRIES; i++) {
		struct dl_conf *conf;
		int64_t begin = g_get_monotonic_time();

		if (dl_conf_parse((struct dl_str){ text->str, text->len },
				  &conf, &faults))
			exit(EXIT_FAILURE);
		best = MIN(best, g_get_monotonic_time() - begin);
		dl_conf_free(conf);
	}
	return best;
}

/* Best time of a split of the whole text, in us; *out is the last result. */
static int64_t time_split(const GString *text, struct dl_conf_sections **out)
{
	int64_t best = INT64_MAX;

	*out = NULL;
	for (int i = 0; i < ROUTE_TRIES; i++) {
		int64_t begin;

		dl_conf_sections_free(*out);
		begin = g_get_monotonic_time();
		if (dl_conf_sections_split(
			    (struct dl_str){ text->str, text->len }, out))
			exit(EXIT_FAILURE);
		best = MIN(best, g_get_monotonic_time() - begin);
	}
	return best;
}

/* Best time of a parse and a split of the whole text in one, in us. */
static int64_t time_parse_split(const GString *text)
{
	int64_t best = INT64_MAX;

	for (int i = 0; i < ROUTE_TRIES; i++) {
		struct dl_conf_sections *sections;
		struct dl_conf *conf;
		int64_t begin = g_get_monotonic_time();

		if (dl_conf_sections_parse((struct dl_str){ text->str,
							    text->len },
					   &sections, &conf, &faults))
			exit(EXIT_FAILURE);
		best = MIN(best, g_get_monotonic_time() - begin);
		dl_conf_free(conf);
		dl_conf_sections_free(sections);
	}
	return best;
}

/* Best time of making the delta between two versions, in us. */
static int64_t time_make(const struct dl_conf_sections *base,
			 const struct dl_conf_sections *next,
			 struct dl_str *delta)
{
	int64_t best = INT64_MAX;
	char *bytes = NULL;

	for (int i = 0; i < ROUTE_TRIES; i++) {
		int64_t begin;

		free(bytes);
		begin = g_get_monotonic_time();
		if (dl_conf_delta_make(base, 1, next, 2, &bytes, &delta->n))
			exit(EXIT_FAILURE);
		best = MIN(best, g_get_monotonic_time() - begin);
	}
	delta->s = bytes;
	return best;
}

/* Best time of applying a delta, in us, without freeing the result. */
static int64_t time_apply(struct dl_str delta,
			  const struct dl_conf_sections *base,
			  const struct dl_conf *base_conf)
{
	int64_t best = INT64_MAX;

	for (int i = 0; i < ROUTE_TRIES; i++) {
		struct dl_conf_sections *next;
		struct dl_conf *conf;
		int64_t begin = g_get_monotonic_time();

		if (dl_conf_delta_apply(delta, 1, base, base_conf, &next, &conf,
					&faults))
			exit(EXIT_FAILURE);
		best = MIN(best, g_get_monotonic_time() - begin);
		dl_conf_sections_free(next);
		dl_conf_free(conf);
	}
	return best;
}

/* The time, in us, of what is done at once when a delta arrives. */
static void bench_arrival(struct dl_str delta)
{
	int64_t inflate = INT64_MAX, head = INT64_MAX;
	struct dl_conf_delta_head h;
	struct dl_str body;
	char *bytes, *text;

	if (dl_deflate(delta, &bytes, &body.n))
		exit(EXIT_FAILURE);
	body.s = bytes;
	for (int i = 0; i < ROUTE_TRIES; i++) {
		int64_t begin = g_get_monotonic_time(), inflated;
		size_t n;

		if (dl_inflate(body, delta.n, &text, &n))
			exit(EXIT_FAILURE);
		inflated = g_get_monotonic_time();
		inflate = MIN(inflate, inflated - begin);
		if (dl_conf_delta_head((struct dl_str){ text, n }, &h))
			exit(EXIT_FAILURE);
		head = MIN(head, g_get_monotonic_time() - inflated);
		free(text);
	}
	printf("conf_delta_inflate_us\t%" PRId64 "\tus\n", inflate);
	printf("conf_delta_head_us\t%" PRId64 "\tus\n", head);
	printf("conf_delta_all_deflated_bytes\t%zu\tbytes\n", body.n);
	free(bytes);
}

/*
 * All routes are new: the time of the whole application, of its longest step,
 * and of freeing the version before, in us. The longest step is the smallest of
 * several runs, since other processes share the machine.
 */
static void bench_steps(const struct dl_conf_sections *base,
			const struct dl_conf *base_conf)
{
	GString *text = make_routes_text(1, ALL_ROUTES);
	int64_t best = INT64_MAX, longest_best = INT64_MAX;
	int64_t free_best = INT64_MAX;
	struct dl_conf_sections *next;
	struct dl_str delta;

	time_split(text, &next);
	time_make(base, next, &delta);
	dl_conf_sections_free(next);
	for (int i = 0; i < ROUTE_TRIES; i++) {
		int64_t begin = g_get_monotonic_time(), last = begin, now;
		struct dl_conf_delta_work *work;
		int64_t longest = 0;
		struct dl_conf *conf;
		int rc;

		if (dl_conf_delta_begin(delta, 1, base, base_conf, &faults,
					&work))
			exit(EXIT_FAILURE);
		do {
			rc = dl_conf_delta_step(work, STEP_ROUTES);
			now = g_get_monotonic_time();
			longest = MAX(longest, now - last);
			last = now;
		} while (rc == -EAGAIN);
		if (dl_conf_delta_end(work, &next, &conf))
			exit(EXIT_FAILURE);
		best = MIN(best, now - begin);
		longest_best = MIN(longest_best, longest);
		begin = g_get_monotonic_time();
		dl_conf_sections_free(next);
		dl_conf_free(conf);
		free_best = MIN(free_best, g_get_monotonic_time() - begin);
	}
	printf("conf_delta_apply_all_us\t%" PRId64 "\tus\n", best);
	printf("conf_delta_step_us\t%" PRId64 "\tus\n", longest_best);
	printf("conf_free_us\t%" PRId64 "\tus\n", free_best);
	printf("conf_delta_all_bytes\t%zu\tbytes\n", delta.n);
	bench_arrival(delta);
	free((char *)delta.s);
	g_string_free(text, TRUE);
}

/* A new version with another timeout of a route, and possibly another number.
 */
static void bench_delta(const char *suffix, uint64_t number,
			const struct dl_conf_sections *base,
			const struct dl_conf *base_conf)
{
	GString *text = make_routes_text(number, ROUTES / 2);
	struct dl_conf_sections *next;
	struct dl_str delta;
	int64_t make;

	time_split(text, &next);
	make = time_make(base, next, &delta);
	printf("conf_delta_make%s_us\t%" PRId64 "\tus\n", suffix, make);
	printf("conf_delta_apply%s_us\t%" PRId64 "\tus\n", suffix,
	       time_apply(delta, base, base_conf));
	printf("conf_delta%s_bytes\t%zu\tbytes\n", suffix, delta.n);
	free((char *)delta.s);
	dl_conf_sections_free(next);
	g_string_free(text, TRUE);
}

/*
 * The whole text of a large deployment, compared with deltas in which one route
 * changes. The texts of some operators also have a number that changes with
 * each version, and with it the head.
 */
static void bench_routes(void)
{
	GString *text = make_routes_text(1, ROUTES);
	struct dl_conf_sections *base;
	struct dl_conf *conf;

	printf("conf_routes_text_bytes\t%zu\tbytes\n", text->len);
	printf("conf_parse_us\t%" PRId64 "\tus\n", time_parse(text));
	printf("conf_split_us\t%" PRId64 "\tus\n", time_split(text, &base));
	printf("conf_parse_split_us\t%" PRId64 "\tus\n",
	       time_parse_split(text));
	if (dl_conf_parse((struct dl_str){ text->str, text->len }, &conf,
			  &faults))
		exit(EXIT_FAILURE);
	bench_delta("", 1, base, conf);
	bench_delta("_numbered", 2, base, conf);
	bench_steps(base, conf);
	dl_conf_free(conf);
	dl_conf_sections_free(base);
	g_string_free(text, TRUE);
}

static void run_command(struct dl_cstore *store,
			const struct dl_cstore_cmd *cmd)
{
	char *bytes;
	size_t n;

	if (dl_cstore_encode(cmd, &bytes, &n))
		exit(EXIT_FAILURE);
	dl_cstore_exec(store, ++index_now, (struct dl_str){ bytes, n }, &reply);
	free(bytes);
	if (reply.code && reply.code != DL_ECONFLICT)
		exit(EXIT_FAILURE);
}

static void run_claim(struct dl_cstore *store, uint32_t number)
{
	char key[48];
	struct dl_cstore_cmd cmd = { .op = DL_CSTORE_CLAIM,
				     .wall_ms = WALL,
				     .owner = number,
				     .expires_s = CLAIM_S };

	g_snprintf(key, sizeof(key), "front-desk\nkiosks\nconfirm-%u", number);
	cmd.key = dl_str_of(key);
	run_command(store, &cmd);
}

static void run_change(struct dl_cstore *store, uint32_t number,
		       const GString *text)
{
	char id[40];
	struct dl_cstore_cmd cmd = { .op = DL_CSTORE_APPLY,
				     .wall_ms = WALL,
				     .text = { text->str, text->len },
				     .expect = number ? 0 : UINT64_MAX };

	g_snprintf(id, sizeof(id), "065605ae-bb60-41a5-b77a-%012u", number);
	cmd.change_id = dl_str_of(id);
	run_command(store, &cmd);
}

/* Time of a claim, encoding included, with this many claims stored. */
static void bench_claims(struct dl_cstore *store, uint32_t fill, uint32_t *at)
{
	int64_t begin;

	while (*at < fill)
		run_claim(store, (*at)++);
	begin = g_get_monotonic_time();
	for (uint32_t i = 0; i < BATCH; i++)
		run_claim(store, (*at)++);
	printf("cstore_exec_ns_claims_%u\t%.0f\tns\n", fill,
	       (double)(g_get_monotonic_time() - begin) * NS_PER_US / BATCH);
}

/*
 * Time of a change that conflicts, and so is not parsed, with this many change
 * ids stored.
 */
static void bench_changes(struct dl_cstore *store, uint32_t fill, uint32_t *at,
			  const GString *text)
{
	int64_t begin;

	while (*at < fill)
		run_change(store, (*at)++, text);
	begin = g_get_monotonic_time();
	for (uint32_t i = 0; i < BATCH; i++)
		run_change(store, (*at)++, text);
	printf("cstore_exec_ns_changes_%u\t%.0f\tns\n", fill,
	       (double)(g_get_monotonic_time() - begin) * NS_PER_US / BATCH);
}

static size_t snapshot_bytes(const struct dl_cstore *store)
{
	char *bytes;
	size_t n;

	if (dl_cstore_snapshot(store, &bytes, &n))
		exit(EXIT_FAILURE);
	free(bytes);
	return n;
}

static void bench_store(void)
{
	struct dl_cstore *store = dl_cstore_new();
	GString *text = make_text(10, 1);
	size_t empty = snapshot_bytes(store), first, heap;
	uint32_t ids = 0, claims = 0;

	run_change(store, ids++, text);
	first = snapshot_bytes(store);
	heap = mallinfo2().uordblks;
	for (size_t i = 0; i < 4; i++)
		bench_changes(store, fills[i] / 2, &ids, text);
	while (ids < DL_CSTORE_CHANGES_MAX)
		run_change(store, ids++, text);
	printf("cstore_snapshot_bytes_empty\t%zu\tbytes\n", empty);
	printf("cstore_snapshot_bytes_one_version\t%zu\tbytes\n", first);
	printf("cstore_bytes_per_change_id\t%.1f\tbytes\n",
	       (double)(mallinfo2().uordblks - heap) / DL_CSTORE_CHANGES_MAX);
	printf("cstore_snapshot_bytes_per_change_id\t%.1f\tbytes\n",
	       (double)(snapshot_bytes(store) - first) / DL_CSTORE_CHANGES_MAX);
	first = snapshot_bytes(store);
	heap = mallinfo2().uordblks;
	for (size_t i = 0; i < sizeof(fills) / sizeof(fills[0]); i++)
		bench_claims(store, fills[i], &claims);
	printf("cstore_bytes_per_claim\t%.1f\tbytes\n",
	       (double)(mallinfo2().uordblks - heap) / claims);
	printf("cstore_snapshot_bytes_per_claim\t%.1f\tbytes\n",
	       (double)(snapshot_bytes(store) - first) / claims);
	printf("cstore_snapshot_bytes_full\t%zu\tbytes\n",
	       snapshot_bytes(store));
	g_string_free(text, TRUE);
	dl_cstore_free(store);
}

int main(void)
{
	for (size_t i = 0; i < sizeof(workspaces) / sizeof(workspaces[0]); i++)
		bench_parse(workspaces[i]);
	bench_routes();
	bench_store();
	return EXIT_SUCCESS;
}
