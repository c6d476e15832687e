/*
 * Traffic and cost of membership at several sizes, and of all control traffic
 * at the target size.  Members communicate over the emulated link; dispatchers
 * run their real pools and codecs.
 */
#include <malloc.h>
#include <stdio.h>
#include <time.h>

#include "control_load.h"
#include "fake/memb_net.h"

#define WARM_MS	     120000
#define MEASURE_MS   60000
#define LOAD_WARM_MS 20000
#define LOAD_MS	     10000
#define UDP_HEADERS  28 /* IPv4 and UDP */
#define LOOKUPS	     200000
#define KEYS	     16
#define MS_PER_S     1000.0

struct size {
	uint32_t vms;
	uint32_t domains;
};

static const struct size sizes[] = { { 7, 3 }, { 50, 5 }, { 370, 5 } };

/* Cost of membership per VM at one size. */
struct idle {
	double bytes;
	double bytes_max; /* of the busiest VM */
	double msgs;
	double cpu_pct;
	double state_bytes;
};

static double seconds(void)
{
	return (double)clock() / CLOCKS_PER_SEC;
}

static void print_figure(const char *name, double value, const char *unit)
{
	printf("%s\t%.6g\t%s\n", name, value, unit);
}

static void sum_traffic(const struct memb_net *net, struct idle *out)
{
	double bytes = 0, msgs = 0;

	for (uint32_t i = 0; i < net->conf.vms; i++) {
		const struct memb_net_vm *v = &net->vms[i];
		double own = (double)(v->bytes_in + v->bytes_out);

		bytes += own;
		msgs += (double)(v->msgs_in + v->msgs_out);
		if (own > out->bytes_max)
			out->bytes_max = own;
	}
	out->bytes = bytes / net->conf.vms / (MEASURE_MS / MS_PER_S);
	out->msgs = msgs / net->conf.vms / (MEASURE_MS / MS_PER_S);
	out->bytes_max /= MEASURE_MS / MS_PER_S;
}

/* Time to look up the owner of a key, as is done for requests in flight. */
static double owner_ns(const struct memb_net *net)
{
	struct dl_name domain = memb_net_domain(0);
	double began = seconds();
	uint64_t sum = 0;

	for (uint64_t i = 0; i < LOOKUPS; i++)
		sum += dl_memb_owner(net->vms[0].memb, dl_name_str(&domain),
				     i % KEYS);
	return sum ? (seconds() - began) / LOOKUPS * 1e9 : 0;
}

static struct idle measure_idle(const struct size *size, double *ns)
{
	size_t before = mallinfo2().uordblks;
	struct memb_net_conf conf;
	struct memb_net *net;
	struct idle out = { 0 };
	double began;

	memb_net_defaults(&conf, size->vms, size->domains, 1);
	net = memb_net_new(&conf);
	memb_net_start_all(net);
	memb_net_run(net, WARM_MS);
	memb_net_clear_counts(net);
	began = seconds();
	memb_net_run(net, MEASURE_MS);
	out.cpu_pct =
		(seconds() - began) / (MEASURE_MS / MS_PER_S) / size->vms * 100;
	out.state_bytes = (double)(mallinfo2().uordblks - before) / size->vms;
	sum_traffic(net, &out);
	*ns = owner_ns(net);
	memb_net_free(net);
	return out;
}

/* Print the control traffic of a VM by kind of frame. */
static void print_by_kind(const struct load_vm *vm)
{
	static const char *const names[LOAD_KINDS] = {
		[0] = "asks",	  [1] = "answers", [3] = "renewals",
		[4] = "releases", [5] = "reports", [6] = "summaries"
	};
	char name[64];

	for (int k = 0; k < LOAD_KINDS; k++) {
		if (!names[k])
			continue;
		snprintf(name, sizeof(name), "control_max_%s_bytes_per_s_370",
			 names[k]);
		print_figure(name,
			     (double)vm->bytes_by_kind[k] /
				     (LOAD_MS / MS_PER_S),
			     "B/s");
	}
}

/* Dispatching at the target size, added to membership at 370 VMs. */
static void bench_control(const struct idle *idle)
{
	struct load_conf conf = load_target();
	uint32_t vms = conf.domains * conf.entries;
	size_t before = mallinfo2().uordblks;
	struct load *l = load_new(&conf);
	double began, cpu, state, bytes = 0, max = 0;
	uint32_t busiest = 0;

	load_run(l, LOAD_WARM_MS);
	memset(l->vms, 0, vms * sizeof(*l->vms));
	began = seconds();
	load_run(l, LOAD_MS);
	cpu = (seconds() - began) / (LOAD_MS / MS_PER_S) / vms * 100;
	state = (double)(mallinfo2().uordblks - before) / vms;
	for (uint32_t i = 0; i < vms; i++) {
		bytes += (double)l->vms[i].bytes;
		if ((double)l->vms[i].bytes > max) {
			max = (double)l->vms[i].bytes;
			busiest = i;
		}
	}
	print_figure("control_bytes_per_s_370",
		     idle->bytes + bytes / vms / (LOAD_MS / MS_PER_S), "B/s");
	print_figure("control_bytes_per_s_370_max",
		     idle->bytes_max + max / (LOAD_MS / MS_PER_S), "B/s");
	print_by_kind(&l->vms[busiest]);
	print_figure("control_cpu_pct_370", idle->cpu_pct + cpu, "%");
	print_figure("control_rss_mb_370",
		     (idle->state_bytes + state) / 1048576, "MB");
	print_figure("control_grants_in_flight_370", (double)l->in_flight,
		     "grants");
	print_figure("control_refused_370", (double)l->refused, "requests");
	load_free(l);
}

int main(void)
{
	struct idle idle = { 0 };
	double ns = 0;
	char name[64];

	for (size_t i = 0; i < sizeof(sizes) / sizeof(sizes[0]); i++) {
		idle = measure_idle(&sizes[i], &ns);
		snprintf(name, sizeof(name), "idle_bytes_per_s_%u",
			 sizes[i].vms);
		print_figure(name, idle.bytes, "B/s");
		snprintf(name, sizeof(name), "idle_wire_bytes_per_s_%u",
			 sizes[i].vms);
		print_figure(name,
			     idle.bytes +
				     idle.msgs * (UDP_HEADERS +
						  load_frame_bytes(10, 0, 0)),
			     "B/s");
		snprintf(name, sizeof(name), "idle_msgs_per_s_%u",
			 sizes[i].vms);
		print_figure(name, idle.msgs, "1/s");
		snprintf(name, sizeof(name), "memb_state_bytes_%u",
			 sizes[i].vms);
		print_figure(name, idle.state_bytes, "B");
		snprintf(name, sizeof(name), "memb_owner_ns_%u", sizes[i].vms);
		print_figure(name, ns, "ns");
	}
	bench_control(&idle);
	return 0;
}
