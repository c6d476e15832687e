/*
 * Measure the cost of the components as a function of size, for
 * docs/CAPACITY.md.
 *
 *   capacity points      print "slope<TAB>x<TAB>value" for each measured point
 *   capacity faults      print "name<TAB>value<TAB>unit" for faults at 370 VMs
 *   capacity instr N X   run operation N at size X, for an external
 *                        instruction counter
 */
#include <malloc.h>
#include <stdio.h>
#include <time.h>

#include "control_load.h"
#include "daisyledge/conf.h"
#include "daisyledge/cstore.h"
#include "daisyledge/orders.h"
#include "fake/group.h"
#include "fake/memb_net.h"
#include "protocol/api.h"
#include "protocol/sse.h"

#define MS_PER_S	  1000.0
#define WARM_MS		  120000
#define MEASURE_MS	  60000
#define VMS		  370
#define DOMAINS		  5
#define TEXT_ROOM	  (4u << 20)
#define LOG_STEPS	  600 /* of 100 ms each */
#define CHANGE_BYTES	  4096
#define CHANGE_WORKSPACES 62	 /* about 4 KB of text */
#define LEASE_LONG	  600000 /* no renewal during the measurement */
#define STREAM_MS	  12900	 /* 308 tokens, 42 ms apart */
#define LEASE_MS	  6000	 /* a renewal every two seconds */

static char *text_buf;

static void print_point(const char *slope, double x, double value)
{
	printf("%s\t%.10g\t%.10g\n", slope, x, value);
}

static double heap_bytes(void)
{
	return (double)mallinfo2().uordblks;
}

static void die_on_error(int code)
{
	if (code == 0)
		return;
	fprintf(stderr, "capacity: %d\n", code);
	exit(1);
}

/* Ascending order, for qsort(). */
static int compare_doubles(const void *a, const void *b)
{
	const double *x = a, *y = b;

	return (*x > *y) - (*x < *y);
}

/*
 * Cost of membership by number of VMs: the median member, and the busiest one,
 * which sends the digests.
 */
static void memb_points(uint32_t vms)
{
	double before = heap_bytes(), began, state, each[VMS] = { 0 };
	double msgs[VMS] = { 0 };
	struct memb_net_conf conf;
	struct memb_net *net;

	memb_net_defaults(&conf, vms, DOMAINS, 1);
	net = memb_net_new(&conf);
	memb_net_start_all(net);
	memb_net_run(net, WARM_MS);
	memb_net_clear_counts(net);
	began = (double)clock();
	memb_net_run(net, MEASURE_MS);
	print_point("memb_cpu_us", vms,
		    ((double)clock() - began) / CLOCKS_PER_SEC * 1e6 /
			    (MEASURE_MS / MS_PER_S) / vms);
	state = heap_bytes() - before;
	print_point("memb_state", vms, state / vms);
	for (uint32_t i = 0; i < vms; i++) {
		const struct memb_net_vm *v = &net->vms[i];

		each[i] = (double)(v->bytes_in + v->bytes_out) /
			  (MEASURE_MS / MS_PER_S);
		msgs[i] = (double)(v->msgs_in + v->msgs_out) /
			  (MEASURE_MS / MS_PER_S);
	}
	qsort(msgs, vms, sizeof(msgs[0]), compare_doubles);
	qsort(each, vms, sizeof(each[0]), compare_doubles);
	print_point("memb_bytes", vms, each[vms / 2]);
	print_point("memb_digest_bytes", vms, each[vms - 1]);
	print_point("memb_msgs", vms, msgs[vms / 2]);
	print_point("memb_digest_msgs", vms, msgs[vms - 1]);
	memb_net_free(net);
}

/* Bytes per second at the dispatcher of the first pool. */
static double dispatcher_bytes(const struct load_conf *conf, int64_t warm)
{
	struct load *l = load_new(conf);
	uint64_t before;
	double out;

	load_run(l, warm);
	before = l->vms[load_leader(l, 0)].bytes;
	load_run(l, 10000);
	out = (double)(l->vms[load_leader(l, 0)].bytes - before) / 10;
	if (l->refused)
		fprintf(stderr, "capacity: %llu of %llu requests refused\n",
			(unsigned long long)l->refused,
			(unsigned long long)l->requests);
	load_free(l);
	return out;
}

static struct load_conf one_pool(void)
{
	struct load_conf conf = load_target();

	conf.domains = 1;
	conf.pools = 1;
	conf.requests_per_s = 100;
	conf.request_ms = 1000;
	conf.lease_ms = LEASE_LONG;
	conf.runners = 30;
	conf.prompt_tokens = 1000;
	return conf;
}

/* Bytes of renewals: the difference between a short lease and a long one. */
static double renewal_bytes(uint32_t entries)
{
	struct load_conf conf = one_pool();
	double with;

	conf.entries = entries;
	conf.request_ms = STREAM_MS;
	conf.requests_per_s = (entries * 7 + 5) / 10; /* nine grants each */
	conf.lease_ms = LEASE_MS;
	with = dispatcher_bytes(&conf, 20000);
	conf.lease_ms = LEASE_LONG;
	return with - dispatcher_bytes(&conf, 20000);
}

/* Traffic of dispatching by entries, requests, streams, endpoints, domains. */
static void dispatch_points(void)
{
	static const uint32_t rates[] = { 50, 100, 200, 400 };
	static const uint32_t durations_ms[] = { 4000, 8000, 12000, 16000 };
	static const uint32_t runners[] = { 8, 30, 60, 120 };
	static const uint32_t entries[] = { 20, 40, 74, 150 };
	struct load_conf conf;

	for (int i = 0; i < 4; i++)
		print_point("batch_bytes", entries[i],
			    renewal_bytes(entries[i]));
	for (int i = 0; i < 4; i++) {
		conf = one_pool();
		conf.requests_per_s = rates[i];
		print_point("request_bytes", rates[i],
			    dispatcher_bytes(&conf, 5000));
	}
	for (int i = 0; i < 4; i++) {
		conf = one_pool();
		conf.lease_ms = LEASE_MS;
		conf.request_ms = durations_ms[i];
		print_point("stream_bytes", durations_ms[i] / 10.0,
			    dispatcher_bytes(&conf, 20000));
	}
	for (int i = 0; i < 4; i++) {
		conf = one_pool();
		conf.runners = runners[i];
		conf.requests_per_s = 0;
		print_point("endpoint_bytes", runners[i],
			    dispatcher_bytes(&conf, 5000));
	}
	for (uint32_t d = 2; d <= 5; d++) {
		conf = one_pool();
		conf.domains = d;
		conf.requests_per_s = 0;
		print_point("domain_bytes", d, dispatcher_bytes(&conf, 5000));
	}
}

/* Memory of a pool by grants and by endpoints. */
static void pool_points(void)
{
	static const uint32_t durations_ms[] = { 2500, 5000, 10000, 20000 };
	static const uint32_t runners[] = { 8, 30, 60, 120 };

	for (int i = 0; i < 4; i++) {
		struct load_conf conf = one_pool();
		double before;
		struct load *l;

		conf.request_ms = durations_ms[i];
		conf.runners = 30;
		l = load_new(&conf);
		before = heap_bytes();
		load_run(l, 25000);
		print_point("grant_state", (double)l->in_flight,
			    heap_bytes() - before -
				    (double)l->in_flight *
					    sizeof(struct load_req));
		load_free(l);
	}
	for (int i = 0; i < 4; i++) {
		struct load_conf conf = one_pool();
		double before = heap_bytes();
		struct load *l;

		conf.runners = runners[i];
		conf.requests_per_s = 0;
		l = load_new(&conf);
		load_run(l, 2000);
		print_point("endpoint_state", runners[i],
			    heap_bytes() - before -
				    (double)l->pending_cap * sizeof(void *));
		load_free(l);
	}
}

/* A configuration text with this many workspaces. */
static struct dl_str conf_text(uint32_t workspaces)
{
	size_t n = 0;

	n += (size_t)snprintf(
		text_buf + n, TEXT_ROOM - n,
		"{\"format\": 1,\n\"classes\": {\"question\": {\"class\": "
		"\"interactive\", \"deadline_ms\": 10000}},\n"
		"\"services\": {\"pool\": {\"kind\": \"model\", \"models\": "
		"[\"m\"], \"default_class\": \"question\"}},\n"
		"\"replicas\": [{\"name\": \"a\", \"address\": "
		"\"127.0.0.1:7200\"}, {\"name\": \"b\", \"address\": "
		"\"127.0.0.2:7200\"}, {\"name\": \"c\", \"address\": "
		"\"127.0.0.3:7200\"}],\n"
		"\"orders\": [{\"service\": \"pool\", \"model\": \"m\", "
		"\"version\": \"2\", \"role\": \"both\", "
		"\"endpoints\": 0}],\n"
		"\"weight_store_mb_per_s\": 100000,\n"
		"\"workspaces\": {\n");
	for (uint32_t i = 0; i < workspaces; i++)
		n += (size_t)snprintf(text_buf + n, TEXT_ROOM - n,
				      "\"workspace-%05u\": {\"weight\": 4, "
				      "\"default_class\": \"question\"}%s\n",
				      i, i + 1 < workspaces ? "," : "");
	n += (size_t)snprintf(text_buf + n, TEXT_ROOM - n, "}\n}\n");
	return (struct dl_str){ text_buf, n };
}

static struct dl_conf *parse(struct dl_str text)
{
	static struct dl_faults faults;
	struct dl_conf *conf = NULL;

	if (dl_conf_parse(text, &conf, &faults)) {
		fprintf(stderr, "capacity: %s: %s\n", faults.items[0].path,
			faults.items[0].text);
		exit(1);
	}
	return conf;
}

/* Cost of a configuration by number of workspaces. */
static void conf_points(void)
{
	static const uint32_t sizes[] = { 1000, 4000, 16000, 32000 };
	struct dl_conf_diff diff;

	for (int i = 0; i < 4; i++) {
		struct dl_str text = conf_text(sizes[i]);
		double before = heap_bytes(), began = (double)clock();
		struct dl_conf *conf = parse(text);

		print_point("conf_parse_us", sizes[i],
			    ((double)clock() - began) / CLOCKS_PER_SEC * 1e6);
		print_point("conf_state", sizes[i], heap_bytes() - before);
		print_point("conf_text", sizes[i], (double)text.n);
		began = (double)clock();
		die_on_error(dl_conf_compare(conf, conf, &diff));
		print_point("conf_compare_us", sizes[i],
			    ((double)clock() - began) / CLOCKS_PER_SEC * 1e6);
		dl_conf_diff_free(&diff);
		dl_conf_free(conf);
	}
}

static void run_command(struct dl_cstore *store,
			const struct dl_cstore_cmd *cmd)
{
	struct dl_cstore_reply reply;
	char *bytes;
	size_t n;

	die_on_error(dl_cstore_encode(cmd, &bytes, &n));
	dl_cstore_exec(store, dl_cstore_index(store) + 1,
		       (struct dl_str){ bytes, n }, &reply);
	die_on_error(reply.code);
	free(bytes);
}

/* Apply a change of the configuration. */
static void apply_change(struct dl_cstore *store, struct dl_str text,
			 uint32_t i)
{
	char id[24];
	struct dl_cstore_cmd cmd = { .op = DL_CSTORE_APPLY,
				     .wall_ms = i,
				     .text = text,
				     .author = DL_STR("operator"),
				     .expect = UINT64_MAX };

	snprintf(id, sizeof(id), "change-%08u", i);
	cmd.change_id = dl_str_of(id);
	run_command(store, &cmd);
}

/* Claim an idempotency key and store its outcome. */
static void claim_key(struct dl_cstore *store, uint32_t i)
{
	char key[64];
	struct dl_cstore_cmd cmd = { .op = DL_CSTORE_CLAIM,
				     .wall_ms = i,
				     .owner = i + 1,
				     .body_hash = i,
				     .expires_s = 86400 };

	snprintf(key, sizeof(key), "8:termini14:homeowners-00112:booking-%05u",
		 i);
	cmd.key = dl_str_of(key);
	run_command(store, &cmd);
	cmd.op = DL_CSTORE_OUTCOME;
	cmd.status = 200;
	cmd.outcome = DL_STR("{\"confirmed\":true,\"slot\":\"2026-12-02T10\"}");
	run_command(store, &cmd);
}

/* Memory of the replicated state by changes and by claims. */
static void cstore_points(void)
{
	static const uint32_t changes[] = { 40, 80, 120, 160 };
	static const uint32_t claims[] = { 5000, 10000, 20000, 40000 };
	struct dl_str text = conf_text(CHANGE_WORKSPACES);

	for (int i = 0; i < 4; i++) {
		double before = heap_bytes();
		struct dl_cstore *store = dl_cstore_new();

		for (uint32_t k = 0; k < changes[i]; k++)
			apply_change(store, text, k);
		print_point("change_state", changes[i], heap_bytes() - before);
		dl_cstore_free(store);
	}
	for (int i = 0; i < 4; i++) {
		double before = heap_bytes();
		struct dl_cstore *store = dl_cstore_new();
		char *snapshot;
		size_t n;

		for (uint32_t k = 0; k < claims[i]; k++)
			claim_key(store, k);
		print_point("claim_state", claims[i], heap_bytes() - before);
		die_on_error(dl_cstore_snapshot(store, &snapshot, &n));
		print_point("claim_snapshot", claims[i], (double)n);
		free(snapshot);
		dl_cstore_free(store);
	}
}

/* Run five replicas for a minute; returns the leader's bytes per second. */
static double run_log_minute(uint32_t changes, double *acked)
{
	struct group_conf conf = {
		.seed = 1,
		.listed = 5,
		.link = { .seed = 1, .delay_min_ms = 1, .delay_max_ms = 1 },
		.sync_min_ms = 1,
		.sync_max_ms = 2,
		.snapshot_entries = 10000,
		.chunk_bytes = 65536,
	};
	struct group *g = group_new(&conf);
	struct fake_link_count before;
	uint64_t leader;
	double out;

	for (uint64_t vm = 1; vm <= 5; vm++)
		group_start(g, vm);
	if (!group_wait_leader(g, 60000))
		die_on_error(-1);
	leader = group_leader(g);
	group_run(g, 5000);
	before = fake_link_sent(group_link(g), leader);
	for (uint32_t k = 0; k < LOG_STEPS; k++) {
		if (k * changes / LOG_STEPS != (k + 1) * changes / LOG_STEPS)
			group_propose(g, leader, CHANGE_BYTES);
		group_run(g, 100);
	}
	*acked = (double)group_get_counters(g)->acked;
	out = (double)(fake_link_sent(group_link(g), leader).bytes -
		       before.bytes) /
	      60;
	group_free(g);
	return out;
}

/* Traffic of the log by changes per minute. */
static void rlog_points(void)
{
	static const uint32_t changes[] = { 0, 50, 100, 200, 400 };

	for (int i = 0; i < 5; i++) {
		double acked, bytes = run_log_minute(changes[i], &acked);

		print_point("rlog_bytes", acked, bytes);
	}
}

static void announce(struct dl_orders *orders, uint32_t i, const char *version,
		     int64_t now)
{
	struct dl_order_endpoint e = { .incarnation = 1, .models_count = 1 };
	char id[24];

	dl_vm_text((UINT64_C(0x0a010000) + i) << 16 | 9000, id);
	dl_name_set(&e.id, dl_str_of(id));
	dl_name_set(&e.service, DL_STR("pool"));
	dl_name_set(&e.models[0], DL_STR("m"));
	dl_name_set(&e.version, dl_str_of(version));
	dl_name_set(&e.role, DL_STR("both"));
	dl_orders_update_endpoint(orders, &e, now);
}

/* The index of an order's endpoint, from its address. */
static uint32_t order_endpoint(const struct dl_order *order)
{
	uint64_t vm = 0;

	dl_vm_parse(dl_name_str(&order->endpoint), &vm);
	return (uint32_t)(vm >> 16) - 0x0a010000;
}

/* Bring this many endpoints to a new version; returns the planner's heap. */
static double run_orders(uint32_t endpoints)
{
	struct dl_conf *conf = parse(conf_text(0));
	double before = heap_bytes(), state;
	struct dl_orders_conf oc;
	struct dl_orders *orders;
	struct dl_order order;
	int64_t now = 1000, end;
	uint32_t done = 0;

	dl_orders_defaults(&oc);
	orders = dl_orders_new(&oc);
	dl_orders_configure(orders, conf, now);
	die_on_error(dl_orders_set_leader(orders, 1, now + 900, now));
	for (uint32_t i = 0; i < endpoints; i++)
		announce(orders, i, "1", now);
	for (end = now + 3600000; now < end && done < endpoints; now += 250) {
		die_on_error(dl_orders_set_leader(orders, 1, now + 900, now));
		while (dl_orders_next(orders, now, &order)) {
			dl_orders_result(orders, order.id, DL_ORDER_ACCEPTED,
					 now);
			announce(orders, order_endpoint(&order), "2", now);
			done++;
		}
	}
	if (done < endpoints)
		fprintf(stderr, "capacity: %u of %u ordered\n", done,
			endpoints);
	state = heap_bytes() - before;
	dl_orders_free(orders);
	dl_conf_free(conf);
	return state;
}

/* Memory of the planner by endpoints, and of a pool by workspaces. */
static void other_points(void)
{
	static const uint32_t endpoints[] = { 75, 150, 300, 600 };
	static const uint32_t workspaces[] = { 1000, 4000, 16000, 32000 };
	struct load_conf conf = one_pool();

	for (int i = 0; i < 4; i++)
		print_point("orders_state", endpoints[i],
			    run_orders(endpoints[i]));
	for (int i = 0; i < 4; i++) {
		struct load *l = load_new(&conf);
		double before = heap_bytes();

		for (uint32_t k = 0; k < workspaces[i]; k++) {
			struct dl_workspace_conf ws = { .weight = 4 };
			char name[24];

			snprintf(name, sizeof(name), "workspace-%05u", k);
			dl_name_set(&ws.name, dl_str_of(name));
			dl_pool_set_workspace(l->pools[0], &ws);
		}
		print_point("workspace_state", workspaces[i],
			    heap_bytes() - before);
		load_free(l);
	}
}

/* Parse a stream of this many tokens as an entry does. */
static void parse_tokens(uint32_t count)
{
	struct dl_sse sse;
	char event[160];
	struct dl_sse_event sse_event;
	uint64_t bytes = 0;

	dl_sse_open(&sse);
	for (uint32_t i = 0; i < count; i++) {
		struct dl_chunk chunk;
		json_t *text = NULL;
		int n = snprintf(event, sizeof(event),
				 "data: {\"id\":\"0a000001-1b58-0000000017-"
				 "0001\",\"index\":%u,\"choices\":[{\"text\":"
				 "\" word\"}]}\n\n",
				 i);

		bytes += (uint64_t)n;
		die_on_error(
			dl_sse_feed(&sse, (struct dl_str){ event, (size_t)n }));
		while (dl_sse_next(&sse, &sse_event)) {
			die_on_error(dl_chunk_parse(sse_event.data, false,
						    &chunk, &text));
			json_decref(text);
		}
	}
	dl_sse_close(&sse);
	print_point("token_bytes", count, (double)bytes);
}

/* Run requests and their renewals through one pool and its codecs. */
static void run_requests(uint32_t runners, uint32_t rate)
{
	struct load_conf conf = one_pool();
	struct load *l;

	conf.runners = runners;
	conf.requests_per_s = rate;
	conf.lease_ms = 5000;
	conf.request_ms = 5000;
	l = load_new(&conf);
	load_run(l, 10000);
	load_free(l);
}

static int run_operation(const char *name, uint32_t x)
{
	double acked;

	if (strcmp(name, "request_instr") == 0)
		run_requests(8, x);
	else if (strcmp(name, "endpoint_instr") == 0)
		run_requests(x, 100);
	else if (strcmp(name, "token_instr") == 0)
		parse_tokens(x);
	else if (strcmp(name, "conf_instr") == 0)
		dl_conf_free(parse(conf_text(x)));
	else if (strcmp(name, "orders_instr") == 0)
		run_orders(x);
	else if (strcmp(name, "rlog_instr") == 0)
		run_log_minute(x, &acked);
	else
		return 2;
	return 0;
}

/* Mean bytes sent and received per VM since the counts were cleared. */
static double mean_bytes(const struct memb_net *net)
{
	double sum = 0;

	for (uint32_t i = 0; i < net->conf.vms; i++)
		sum += (double)(net->vms[i].bytes_in + net->vms[i].bytes_out);
	return sum / net->conf.vms;
}

/* Mean messages sent and received per VM since the counts were cleared. */
static double mean_msgs(const struct memb_net *net)
{
	double sum = 0;

	for (uint32_t i = 0; i < net->conf.vms; i++)
		sum += (double)(net->vms[i].msgs_in + net->vms[i].msgs_out);
	return sum / net->conf.vms;
}

static double max_bytes(const struct memb_net *net)
{
	double max = 0;

	for (uint32_t i = 0; i < net->conf.vms; i++) {
		const struct memb_net_vm *v = &net->vms[i];
		double own = (double)(v->bytes_in + v->bytes_out);

		max = own > max ? own : max;
	}
	return max;
}

/* Run until all members agree; print the time taken and the traffic. */
static void print_convergence(struct memb_net *net, const char *name)
{
	int64_t began = net->now, took;

	memb_net_clear_counts(net);
	took = memb_net_converge(net, 300000);
	printf("%s_ms\t%lld\tms\n", name, (long long)took);
	if (net->now - began < 30000)
		memb_net_run(net, 30000 - (net->now - began));
	printf("%s_msgs_per_s\t%.2f\t1/s\n", name,
	       mean_msgs(net) / (double)(net->now - began) * MS_PER_S);
	printf("%s_bytes_per_s\t%.0f\tB/s\n", name,
	       mean_bytes(net) / (double)(net->now - began) * MS_PER_S);
	printf("%s_bytes_per_s_max\t%.0f\tB/s\n", name,
	       max_bytes(net) / (double)(net->now - began) * MS_PER_S);
	fflush(stdout);
	memb_net_run(net, WARM_MS);
}

static void kill_vms(struct memb_net *net, uint32_t first, uint32_t n,
		     uint32_t step)
{
	for (uint32_t i = 0; i < n; i++)
		memb_net_kill(net, (first + i * step) % VMS);
}

static void start_vms(struct memb_net *net, uint32_t first, uint32_t n,
		      uint32_t step)
{
	for (uint32_t i = 0; i < n; i++)
		memb_net_start(net, (first + i * step) % VMS);
}

/* Put the VMs of the first domains on one side of a partition. */
static void set_partition(struct memb_net *net, uint32_t domains, uint32_t side)
{
	for (uint32_t i = 0; i < VMS; i++) {
		if (i % DOMAINS < domains)
			net->vms[i].partition = side;
	}
}

/* Print the convergence after each kind of fault, at the target size. */
static void print_faults(void)
{
	struct memb_net_conf conf;
	struct memb_net *net;

	memb_net_defaults(&conf, VMS, DOMAINS, 1);
	net = memb_net_new(&conf);
	memb_net_start_all(net);
	print_convergence(net, "all_start");
	memb_net_kill(net, 7);
	print_convergence(net, "one_fails");
	memb_net_start(net, 7);
	print_convergence(net, "one_restarts");
	kill_vms(net, 3, 14, 23);
	print_convergence(net, "fourteen_fail");
	start_vms(net, 3, 14, 23);
	print_convergence(net, "fourteen_return");
	kill_vms(net, 1, 55, 6);
	start_vms(net, 1, 55, 6);
	print_convergence(net, "fiftyfive_restart");
	kill_vms(net, 2, 20, DOMAINS);
	print_convergence(net, "rack_fails");
	start_vms(net, 2, 20, DOMAINS);
	print_convergence(net, "rack_returns");
	set_partition(net, 1, 1);
	print_convergence(net, "domain_cut");
	set_partition(net, 1, 0);
	print_convergence(net, "domain_back");
	set_partition(net, 2, 1);
	print_convergence(net, "regions_apart");
	set_partition(net, 2, 0);
	print_convergence(net, "regions_together");
	memb_net_free(net);
}

int main(int argc, char **argv)
{
	static const uint32_t sizes[] = { 50, 100, 185, 370 };

	text_buf = malloc(TEXT_ROOM);
	if (!text_buf)
		return 1;
	if (argc == 2 && strcmp(argv[1], "points") == 0) {
		for (int i = 0; i < 4; i++)
			memb_points(sizes[i]);
		dispatch_points();
		pool_points();
		conf_points();
		cstore_points();
		rlog_points();
		other_points();
		for (uint32_t n = 1000; n <= 8000; n *= 2)
			parse_tokens(n);
	} else if (argc == 2 && strcmp(argv[1], "faults") == 0) {
		print_faults();
	} else if (argc == 4 && strcmp(argv[1], "instr") == 0) {
		return run_operation(argv[2], (uint32_t)atoi(argv[3]));
	} else {
		fprintf(stderr, "usage: capacity points|faults|instr NAME X\n");
		return 2;
	}
	free(text_buf);
	return 0;
}
