/*
 * Many pure members over the fake link, in one process: started, stopped,
 * paused and parted by the caller, who also gives the time.
 */
#ifndef TEST_FAKE_MEMB_NET_H
#define TEST_FAKE_MEMB_NET_H

#include "daisyledge/memb.h"
#include "link.h"

#define MEMB_NET_DOMAINS_MAX 8

struct memb_net_conf {
	uint32_t vms; /* dealt to the domains in turn */
	uint32_t domains;
	uint32_t seeds; /* addresses that each VM has in its settings */
	struct fake_link_conf link;
	struct dl_memb_conf memb; /* periods only */
};

/* One VM of the network. */
struct memb_net_vm {
	uint64_t vm;
	uint64_t incarnation;
	struct dl_memb *memb; /* NULL while it is down */
	int64_t paused_until;
	uint32_t partition; /* VMs of unequal sides do not reach each other */
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
	uint64_t steps; /* datagrams delivered and wakeups served */
	/* Looked at after each datagram that a VM took; may be NULL. */
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
/* The process dies without a word. */
void memb_net_kill(struct memb_net *net, uint32_t vm);
void memb_net_pause(struct memb_net *net, uint32_t vm, int64_t ms);
void memb_net_run(struct memb_net *net, int64_t ms);
void memb_net_clear_counts(struct memb_net *net);

/* Whether a VM shows another as live. */
bool memb_net_sees(const struct memb_net *net, uint32_t vm, uint32_t other);
/* Whether every running VM shows exactly the running ones of its side. */
bool memb_net_converged(const struct memb_net *net);
/* Run until they agree; returns how long it took, -1 past the limit. */
int64_t memb_net_converge(struct memb_net *net, int64_t limit_ms);

#endif
