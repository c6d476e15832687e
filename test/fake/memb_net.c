/* A network of VMs that run membership over the fake link. */
#include "memb_net.h"

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>

#define VM_BASE		 (UINT64_C(0x0a000001) << 16)
#define VM_PORT		 7000
#define POLL_MS		 50 /* interval of convergence checks */
#define INCARNATION_STEP 1000000

static void deliver(struct memb_net *net, int64_t now);
static uint32_t index_of(const struct memb_net *net, uint64_t vm);
static int64_t next_time(const struct memb_net *net);
static void send_all(struct memb_net *net, uint32_t i, int64_t now);

/* Sets a configuration without faults and with a delay of 1 ms each way. */
void memb_net_defaults(struct memb_net_conf *conf, uint32_t vms,
		       uint32_t domains, uint32_t seed)
{
	*conf = (struct memb_net_conf){ .vms = vms,
					.domains = domains,
					.seeds = 3 };
	conf->link.seed = seed;
	conf->link.delay_min_ms = 1;
	conf->link.delay_max_ms = 1;
	dl_memb_defaults(&conf->memb);
}

/* Returns the name of a domain. */
struct dl_name memb_net_domain(uint32_t index)
{
	struct dl_name name;
	char text[24];
	int n = snprintf(text, sizeof(text), "dvorana-%u", index);

	dl_name_set(&name, (struct dl_str){ text, (size_t)n });
	return name;
}

/* Creates a network with all VMs down. */
struct memb_net *memb_net_new(const struct memb_net_conf *conf)
{
	struct memb_net *net = calloc(1, sizeof(*net));

	assert(net);
	net->conf = *conf;
	net->link = fake_link_new(&conf->link);
	net->vms = calloc(conf->vms, sizeof(*net->vms));
	assert(net->vms);
	net->now = 1;
	for (uint32_t i = 0; i < conf->vms; i++)
		net->vms[i].vm = VM_BASE + ((uint64_t)i << 16) + VM_PORT;
	return net;
}

/* Frees the network and its VMs. */
void memb_net_free(struct memb_net *net)
{
	for (uint32_t i = 0; i < net->conf.vms; i++)
		dl_memb_free(net->vms[i].memb);
	free(net->vms);
	fake_link_free(net->link);
	free(net);
}

static uint32_t index_of(const struct memb_net *net, uint64_t vm)
{
	uint64_t i = (vm - VM_BASE) >> 16;

	assert(i < net->conf.vms);
	return (uint32_t)i;
}

/* Starts a VM; each start has a higher incarnation. */
void memb_net_start(struct memb_net *net, uint32_t vm)
{
	struct memb_net_vm *v = &net->vms[vm];
	struct dl_memb_conf conf = net->conf.memb;

	assert(!v->memb);
	v->incarnation += INCARNATION_STEP;
	memb_net_pause(net, vm, 0);
	conf.self = v->vm;
	conf.incarnation = v->incarnation;
	conf.domain = memb_net_domain(vm % net->conf.domains);
	v->memb = dl_memb_new(&conf, net->conf.link.seed + v->incarnation,
			      net->now);
	for (uint32_t i = 0; i < net->conf.seeds; i++) {
		uint32_t seed = i * net->conf.vms / net->conf.seeds;

		dl_memb_add_seed(v->memb, net->vms[seed].vm, net->now);
	}
}

/* Starts all VMs. */
void memb_net_start_all(struct memb_net *net)
{
	for (uint32_t i = 0; i < net->conf.vms; i++)
		memb_net_start(net, i);
}

/* Kills the process of a VM. */
void memb_net_kill(struct memb_net *net, uint32_t vm)
{
	dl_memb_free(net->vms[vm].memb);
	net->vms[vm].memb = NULL;
}

/* Suspends the process of a VM for a time. */
void memb_net_pause(struct memb_net *net, uint32_t vm, int64_t ms)
{
	net->vms[vm].paused_until = net->now + ms;
	fake_link_pause(net->link, net->vms[vm].vm, net->now + ms);
}

/* Sends all datagrams that a VM has queued. */
static void send_all(struct memb_net *net, uint32_t i, int64_t now)
{
	struct memb_net_vm *v = &net->vms[i];
	char buf[DL_MEMB_DATAGRAM_MAX];
	uint64_t to;
	size_t n;

	net->steps++;
	while (dl_memb_next_datagram(v->memb, now, &to, buf, &n)) {
		v->msgs_out++;
		v->bytes_out += n;
		if (net->vms[index_of(net, to)].partition != v->partition)
			continue;
		fake_link_send(net->link, v->vm, to, (struct dl_str){ buf, n },
			       now);
	}
}

/* Delivers the datagrams that are due. */
static void deliver(struct memb_net *net, int64_t now)
{
	struct fake_datagram d;

	while (fake_link_next(net->link, now, &d)) {
		uint32_t i = index_of(net, d.to);
		struct memb_net_vm *v = &net->vms[i];

		if (!v->memb)
			continue;
		net->steps++;
		v->msgs_in++;
		v->bytes_in += d.data.n;
		dl_memb_receive(v->memb, d.from, d.data, now);
		if (net->check)
			net->check(net, i);
	}
}

/* Returns the time of the next event. */
static int64_t next_time(const struct memb_net *net)
{
	int64_t next = fake_link_wakeup(net->link);

	for (uint32_t i = 0; i < net->conf.vms; i++) {
		const struct memb_net_vm *v = &net->vms[i];
		int64_t t;

		if (!v->memb)
			continue;
		t = dl_memb_next_wakeup(v->memb);
		if (t < v->paused_until)
			t = v->paused_until;
		next = t < next ? t : next;
	}
	return next > net->now ? next : net->now + 1;
}

/* Advances the time, running all events on the way. */
void memb_net_run(struct memb_net *net, int64_t ms)
{
	int64_t until = net->now + ms;

	for (;;) {
		int64_t t = next_time(net);

		if (t > until)
			break;
		net->now = t;
		deliver(net, t);
		for (uint32_t i = 0; i < net->conf.vms; i++) {
			struct memb_net_vm *v = &net->vms[i];

			if (v->memb && v->paused_until <= t &&
			    dl_memb_next_wakeup(v->memb) <= t)
				send_all(net, i, t);
		}
	}
	net->now = until;
}

/* Resets the traffic counters. */
void memb_net_clear_counts(struct memb_net *net)
{
	for (uint32_t i = 0; i < net->conf.vms; i++) {
		struct memb_net_vm *v = &net->vms[i];

		v->msgs_in = 0;
		v->msgs_out = 0;
		v->bytes_in = 0;
		v->bytes_out = 0;
	}
}

/* Whether a VM shows another as live. */
bool memb_net_sees(const struct memb_net *net, uint32_t vm, uint32_t other)
{
	const struct dl_member *m =
		dl_memb_find(net->vms[vm].memb, net->vms[other].vm);

	return m && (m->state == DL_ALIVE || m->state == DL_SUSPECT);
}

/*
 * Whether every running VM shows exactly the running VMs of its partition as
 * live.
 */
bool memb_net_converged(const struct memb_net *net)
{
	for (uint32_t i = 0; i < net->conf.vms; i++) {
		const struct memb_net_vm *v = &net->vms[i];

		if (!v->memb || v->paused_until > net->now)
			continue;
		for (uint32_t j = 0; j < net->conf.vms; j++) {
			const struct memb_net_vm *o = &net->vms[j];
			bool up = o->memb && o->paused_until <= net->now &&
				  o->partition == v->partition;

			if (memb_net_sees(net, i, j) != up)
				return false;
		}
	}
	return true;
}

/* Runs until converged. */
int64_t memb_net_converge(struct memb_net *net, int64_t limit_ms)
{
	int64_t began = net->now;

	while (!memb_net_converged(net)) {
		if (net->now - began > limit_ms)
			return -1;
		memb_net_run(net, POLL_MS);
	}
	return net->now - began;
}
