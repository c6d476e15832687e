/*
 * A network of VMs that run membership over the fake link in one process. The
 * caller starts, kills, pauses and partitions them and advances the time.
 */
#ifndef TEST_FAKE_MEMB_NET_H
#define TEST_FAKE_MEMB_NET_H

#include "daisyledge/memb.h"
#include "link.h"

#define MEMB_NET_DOMAINS_MAX 8

struct memb_net_conf {
	uint32_t vms; /* assigned to the domains in turn */
	uint32_t domains;
	uint32_t seeds; /* seed addresses configured on each VM */
	struct fake_link_conf link;
	struct dl_memb_conf memb; /* only the periods are used */
};

/* One VM of the network. */
struct memb_net_vm {
	uint64_t vm;
	uint64_t incarnation;
	struct dl_memb *memb; /* NULL while it is down */
	int64_t paused_until;
	uint32_t partition; /* VMs reach only their partition */
	uint64_t msgs_out;
	uint64_t bytes_out;
	uint64_t msgs_in;
	uint64_t bytes_in;
};

struct memb_net {
	struct memb_net_conf conf;
	struct fake_link *link;
	struct memb_net_vm *vms;
	int64_t now;
	uint64_t steps; /* datagrams delivered and timers run */
	/* Called after each datagram that a VM received; may be NULL. */
	void (*check)(struct memb_net *net, uint32_t vm);
	void *arg;
};

void memb_net_defaults(struct memb_net_conf *conf, uint32_t vms,
		       uint32_t domains, uint32_t seed);
struct memb_net *memb_net_new(const struct memb_net_conf *conf);
void memb_net_free(struct memb_net *net);
struct dl_name memb_net_domain(uint32_t index);

void memb_net_start(struct memb_net *net, uint32_t vm);
void memb_net_start_all(struct memb_net *net);
/* Kills the process of a VM without notice to the others. */
void memb_net_kill(struct memb_net *net, uint32_t vm);
void memb_net_pause(struct memb_net *net, uint32_t vm, int64_t ms);
void memb_net_run(struct memb_net *net, int64_t ms);
void memb_net_clear_counts(struct memb_net *net);

/* Whether a VM shows another as live. */
bool memb_net_sees(const struct memb_net *net, uint32_t vm, uint32_t other);
/*
 * Whether every running VM shows exactly the running VMs of its partition as
 * live.
 */
bool memb_net_converged(const struct memb_net *net);
/* Runs until converged; returns the time taken in ms, or -1 past the limit. */
int64_t memb_net_converge(struct memb_net *net, int64_t limit_ms);

#endif
