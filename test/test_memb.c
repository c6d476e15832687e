/*
 * Tests of membership over the fake link: one fault at a time, each with a time
 * limit.
 */
#include <check.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "fake/memb_net.h"
#include "fake/suite.h"

#define SMALL	 7
#define DOMAINS	 3
#define START_MS 3000
/* Two datagrams of a few ms each, and the delay of a loaded event loop. */
#define DRAIN_MS	   60
#define DEAD_MS		   6000 /* probe, its failure, suspicion, a digest */
#define DOMAIN_LOSS_MS	   9000 /* a whole domain at this size */
#define HEAL_MS		   15000
#define ISOLATION_MS	   24000
#define LONG_MS		   60000
#define ASKERS		   8
#define LARGE		   120 /* VMs of one region */
#define TARGET_VMS	   370
#define MANY_VMS	   1000
#define MANY_BUDGET_MS	   5000
#define MASS_VMS	   500
#define MASS_VMS_SLOW	   150	 /* under a sanitizer */
#define MASS_START_MS	   15000 /* requests come some 20 s after a start */
#define TARGET_VMS_SLOW	   60	 /* under a sanitizer */
#define BUDGET_BYTES_PER_S 12000
#define BUDGET_MS	   20000
#define HEADER_BYTES	   46 /* framing, UDP and IP headers */
#define FLOOD_VMS	   12000
#define MANY_DOMAINS	   30 /* more than are kept */
#define MEMBERS_MAX	   4096
#define LONG_PAUSE_MS	   300000

static struct memb_net *started(uint32_t vms, uint32_t domains, uint32_t seed)
{
	struct memb_net_conf conf;
	struct memb_net *net;

	memb_net_defaults(&conf, vms, domains, seed);
	net = memb_net_new(&conf);
	memb_net_start_all(net);
	ck_assert_int_ge(memb_net_converge(net, START_MS), 0);
	memb_net_run(net, START_MS);
	return net;
}

START_TEST(dead_vm_is_removed_and_readmitted)
{
	struct memb_net *net = started(SMALL, DOMAINS, (uint32_t)_i + 1);

	memb_net_kill(net, 1);
	ck_assert_int_ge(memb_net_converge(net, DEAD_MS), 0);
	memb_net_start(net, 1);
	ck_assert_int_ge(memb_net_converge(net, START_MS), 0);
	memb_net_free(net);
}
END_TEST

START_TEST(restart_raises_incarnation)
{
	struct memb_net *net = started(SMALL, DOMAINS, (uint32_t)_i + 1);
	const struct dl_member *m;

	memb_net_kill(net, 2);
	memb_net_start(net, 2);
	memb_net_run(net, START_MS);
	for (uint32_t i = 0; i < SMALL; i++) {
		m = dl_memb_find(net->vms[i].memb, net->vms[2].vm);
		ck_assert_uint_ge(m->incarnation, net->vms[2].incarnation);
		ck_assert_int_eq(m->state, DL_ALIVE);
	}
	memb_net_free(net);
}
END_TEST

START_TEST(planned_stop_is_not_suspected)
{
	struct memb_net *net = started(SMALL, DOMAINS, 5);

	dl_memb_leave(net->vms[3].memb, net->now);
	memb_net_run(net, 10);
	memb_net_kill(net, 3);
	memb_net_run(net, START_MS);
	for (uint32_t i = 0; i < SMALL; i++) {
		if (i != 3)
			ck_assert_int_eq(dl_memb_find(net->vms[i].memb,
						      net->vms[3].vm)
						 ->state,
					 DL_LEFT);
	}
	memb_net_free(net);
}
END_TEST

START_TEST(unreachable_domain_is_removed_and_readmitted)
{
	struct memb_net *net = started(SMALL, DOMAINS, (uint32_t)_i + 1);

	for (uint32_t i = 0; i < SMALL; i += DOMAINS)
		net->vms[i].partition = 1;
	ck_assert_int_ge(memb_net_converge(net, DOMAIN_LOSS_MS), 0);
	memb_net_run(net, LONG_PAUSE_MS);
	ck_assert(memb_net_converged(net));
	for (uint32_t i = 0; i < SMALL; i++)
		net->vms[i].partition = 0;
	ck_assert_int_ge(memb_net_converge(net, HEAL_MS), 0);
	memb_net_free(net);
}
END_TEST

/* Deaths reported by a VM that was isolated must not reach the others. */
static void check_others_stay_live(struct memb_net *net, uint32_t vm)
{
	for (uint32_t i = 1; i < net->conf.vms; i++) {
		if (vm != 0)
			ck_assert(memb_net_sees(net, vm, i));
	}
}

START_TEST(isolated_vm_rejoins_without_false_deaths)
{
	uint32_t vms = 24;
	struct memb_net *net = started(vms, 2, (uint32_t)_i + 1);

	net->vms[0].partition = 1;
	ck_assert_int_ge(memb_net_converge(net, ISOLATION_MS), 0);
	memb_net_run(net, LONG_MS);
	net->vms[0].partition = 0;
	net->check = check_others_stay_live;
	ck_assert_int_ge(memb_net_converge(net, HEAL_MS), 0);
	memb_net_run(net, HEAL_MS);
	ck_assert(memb_net_converged(net));
	memb_net_free(net);
}
END_TEST

START_TEST(paused_vm_does_not_own_until_refreshed)
{
	struct memb_net *net = started(SMALL, DOMAINS, (uint32_t)_i + 1);
	struct dl_name domain = memb_net_domain(0);
	struct dl_memb *memb = net->vms[0].memb;
	uint64_t key = 0, to;
	char buf[DL_MEMB_DATAGRAM_MAX];
	size_t n;

	while (dl_memb_owner(memb, dl_name_str(&domain), key) != net->vms[0].vm)
		key++;
	memb_net_pause(net, 0, LONG_PAUSE_MS);
	memb_net_run(net, LONG_PAUSE_MS - 1);
	ck_assert(dl_memb_owner(net->vms[3].memb, dl_name_str(&domain), key) !=
		  net->vms[0].vm);
	/*
	 * Its first clock reading after the pause: by its old state it is the
	 * owner.
	 */
	dl_memb_next_datagram(memb, net->now + 1, &to, buf, &n);
	ck_assert(dl_memb_owner(memb, dl_name_str(&domain), key) == DL_VM_NONE);
	memb_net_run(net, 10);
	ck_assert_int_ge(memb_net_converge(net, HEAL_MS), 0);
	ck_assert(dl_memb_owner(memb, dl_name_str(&domain), key) ==
		  net->vms[0].vm);
	memb_net_free(net);
}
END_TEST

/*
 * The VM that is named while a dispatcher does not answer must be the one that
 * dispatches once that VM is marked as unreachable, and naming it must not mark
 * anything.
 */
START_TEST(next_owner_is_the_owner_once_the_first_is_unreachable)
{
	struct memb_net *net = started(SMALL, DOMAINS, (uint32_t)_i + 1);
	struct dl_name domain = memb_net_domain(0);
	struct dl_str d = dl_name_str(&domain);
	struct dl_memb *memb = net->vms[1].memb;

	for (uint64_t key = 0; key < 50; key++) {
		uint64_t first = dl_memb_owner(memb, d, key);
		uint64_t next = dl_memb_owner_without(memb, d, key, first);

		ck_assert(next != first);
		ck_assert(dl_memb_owner(memb, d, key) == first);
		ck_assert(dl_memb_owner_without(memb, d, key, next) == first);
		dl_memb_set_unreachable(memb, first, true);
		ck_assert(dl_memb_owner(memb, d, key) == next);
		dl_memb_set_unreachable(memb, first, false);
	}
	ck_assert(dl_memb_owner_without(memb, DL_STR("none"), 1, 1) ==
		  DL_VM_NONE);
	memb_net_free(net);
}
END_TEST

START_TEST(one_way_partition_is_detected)
{
	struct memb_net *net = started(SMALL, 1, (uint32_t)_i + 1);

	fake_link_cut(net->link, net->vms[1].vm, DL_VM_NONE);
	memb_net_run(net, ISOLATION_MS);
	for (uint32_t i = 0; i < SMALL; i++) {
		if (i != 1)
			ck_assert(!memb_net_sees(net, i, 1));
	}
	fake_link_heal(net->link);
	ck_assert_int_ge(memb_net_converge(net, HEAL_MS), 0);
	memb_net_free(net);
}
END_TEST

static void check_no_suspicion(struct memb_net *net, uint32_t vm)
{
	const struct dl_member *m;

	for (uint32_t i = 0; (m = dl_memb_at(net->vms[vm].memb, i)); i++) {
		if (m->state != DL_ALIVE)
			ck_abort_msg("VM %u does not show all others alive",
				     vm);
	}
}

/*
 * One link fails in both directions; indirect probes must prevent a suspicion.
 */
START_TEST(single_link_failure_is_not_suspected)
{
	struct memb_net *net = started(SMALL, 1, (uint32_t)_i + 1);

	net->check = check_no_suspicion;
	fake_link_cut(net->link, net->vms[0].vm, net->vms[1].vm);
	fake_link_cut(net->link, net->vms[1].vm, net->vms[0].vm);
	memb_net_run(net, LONG_MS);
	ck_assert(memb_net_converged(net));
	memb_net_free(net);
}
END_TEST

/* The only seed address is gone, so dead members must be probed again. */
START_TEST(partition_heals_without_seeds)
{
	struct memb_net_conf conf;
	struct memb_net *net;

	memb_net_defaults(&conf, SMALL, 1, (uint32_t)_i + 1);
	conf.seeds = 1;
	net = memb_net_new(&conf);
	memb_net_start_all(net);
	memb_net_run(net, START_MS);
	memb_net_kill(net, 0);
	net->vms[1].partition = 1;
	net->vms[2].partition = 1;
	ck_assert_int_ge(memb_net_converge(net, ISOLATION_MS), 0);
	net->vms[1].partition = 0;
	net->vms[2].partition = 0;
	ck_assert_int_ge(memb_net_converge(net, HEAL_MS), 0);
	memb_net_free(net);
}
END_TEST

/* Kills the gateways of a domain: its live VMs with the lowest hashes. */
static void kill_gateways(struct memb_net *net, uint32_t domain)
{
	for (int round = 0; round < 3; round++) {
		uint64_t best = UINT64_MAX;
		uint32_t who = 0;

		for (uint32_t i = domain; i < net->conf.vms;
		     i += net->conf.domains) {
			uint64_t vm = net->vms[i].vm;
			struct dl_str s = { (const char *)&vm, sizeof(vm) };

			if (net->vms[i].memb && dl_hash(s, 0) <= best) {
				best = dl_hash(s, 0);
				who = i;
			}
		}
		memb_net_kill(net, who);
	}
}

/* All gateways of two domains die at once, and so does the seed. */
START_TEST(domains_reconnect_after_gateway_loss)
{
	struct memb_net_conf conf;
	struct memb_net *net;

	memb_net_defaults(&conf, 16, 2, (uint32_t)_i + 1);
	conf.seeds = 1;
	net = memb_net_new(&conf);
	memb_net_start_all(net);
	memb_net_run(net, LONG_MS);
	kill_gateways(net, 0);
	kill_gateways(net, 1);
	memb_net_kill(net, 0);
	ck_assert_int_ge(memb_net_converge(net, LONG_MS), 0);
	memb_net_run(net, LONG_MS);
	ck_assert(memb_net_converged(net));
	memb_net_free(net);
}
END_TEST

START_TEST(versions_and_draining_propagate)
{
	struct memb_net *net = started(SMALL, DOMAINS, 9);
	struct dl_name domain = memb_net_domain(0);
	uint64_t vm;

	dl_memb_update_self(net->vms[4].memb, false, 17, net->now);
	for (uint32_t i = 0; i < SMALL; i += DOMAINS)
		dl_memb_update_self(net->vms[i].memb, true, 3, net->now);
	memb_net_run(net, START_MS);
	for (uint32_t i = 0; i < SMALL; i++) {
		ck_assert_uint_eq(dl_memb_newest_config(net->vms[i].memb, &vm),
				  17);
		ck_assert_uint_eq(vm, net->vms[4].vm);
		ck_assert_uint_eq(dl_memb_owner(net->vms[i].memb,
						dl_name_str(&domain), 1),
				  DL_VM_NONE);
	}
	dl_memb_update_self(net->vms[4].memb, false, 16, net->now);
	dl_memb_update_self(net->vms[3].memb, false, 3, net->now);
	memb_net_run(net, START_MS);
	for (uint32_t i = 0; i < SMALL; i++) {
		ck_assert_uint_eq(dl_memb_newest_config(net->vms[i].memb, NULL),
				  17);
		ck_assert_uint_eq(dl_memb_owner(net->vms[i].memb,
						dl_name_str(&domain), 1),
				  net->vms[3].vm);
	}
	memb_net_free(net);
}
END_TEST

/*
 * Requests to a stopping VM wait in vain, so draining must be sent at once
 * rather than with the next probes.
 */
START_TEST(draining_is_sent_immediately)
{
	struct memb_net *net = started(SMALL, DOMAINS, 9);
	struct dl_name domain = memb_net_domain(0);
	uint64_t owner =
		dl_memb_owner(net->vms[0].memb, dl_name_str(&domain), 1);
	uint32_t at = 0;

	while (net->vms[at].vm != owner)
		at++;
	dl_memb_update_self(net->vms[at].memb, true, 3, net->now);
	memb_net_run(net, DRAIN_MS);
	for (uint32_t i = 0; i < SMALL; i++)
		ck_assert_uint_ne(dl_memb_owner(net->vms[i].memb,
						dl_name_str(&domain), 1),
				  owner);
	memb_net_free(net);
}
END_TEST

/*
 * Guards against a planned stop of the VM that dispatches after which nobody
 * does: in a large deployment its successor learned of it after seconds.
 */
START_TEST(successor_learns_of_draining_at_once)
{
	struct memb_net *net = started(LARGE, 1, (uint32_t)_i);
	struct dl_name name = memb_net_domain(0);
	struct dl_str domain = dl_name_str(&name);
	uint64_t key = (uint64_t)_i;
	uint64_t owner = dl_memb_owner(net->vms[0].memb, domain, key);
	uint64_t next =
		dl_memb_owner_without(net->vms[0].memb, domain, key, owner);
	uint32_t at = 0, successor = 0;

	while (net->vms[at].vm != owner)
		at++;
	while (net->vms[successor].vm != next)
		successor++;
	dl_memb_update_self(net->vms[at].memb, true, 3, net->now);
	dl_memb_tell(net->vms[at].memb, next, owner);
	memb_net_run(net, DRAIN_MS);
	ck_assert_uint_eq(dl_memb_owner(net->vms[successor].memb, domain, key),
			  next);
	memb_net_free(net);
}
END_TEST

/*
 * Guards against two VMs that dispatch for seconds after one of them has
 * started again, and against requests that go on to the one that stopped.
 */
START_TEST(start_is_told_to_the_last_dispatcher_and_who_asks_it)
{
	struct memb_net *net = started(LARGE, 1, (uint32_t)_i);
	struct dl_name name = memb_net_domain(0);
	struct dl_str domain = dl_name_str(&name);
	uint64_t key = (uint64_t)_i;
	uint64_t owner = dl_memb_owner(net->vms[0].memb, domain, key);
	uint64_t last =
		dl_memb_owner_without(net->vms[0].memb, domain, key, owner);
	uint32_t at = 0, before = 0;

	while (net->vms[at].vm != owner)
		at++;
	while (net->vms[before].vm != last)
		before++;
	memb_net_kill(net, at);
	ck_assert_int_ge(memb_net_converge(net, LONG_MS), 0);
	memb_net_start(net, at);
	while (dl_memb_owner_without(net->vms[at].memb, domain, key, owner) !=
	       last)
		memb_net_run(net, 1);
	dl_memb_tell(net->vms[at].memb, last, owner);
	memb_net_run(net, DRAIN_MS);
	ck_assert_uint_eq(dl_memb_owner(net->vms[before].memb, domain, key),
			  owner);
	for (uint32_t i = 0; i < ASKERS; i++)
		dl_memb_tell(net->vms[before].memb, net->vms[i].vm, owner);
	memb_net_run(net, DRAIN_MS);
	for (uint32_t i = 0; i < ASKERS; i++)
		ck_assert_uint_eq(dl_memb_owner(net->vms[i].memb, domain, key),
				  owner);
	memb_net_free(net);
}
END_TEST

/*
 * A VM that does not answer some others owns nothing from their point of view.
 * They agree on its successor, and the other VMs still see it as the owner.
 */
START_TEST(unreachable_vm_owns_nothing)
{
	struct memb_net *net = started(SMALL, DOMAINS, 5);
	struct dl_name name = memb_net_domain(0);
	struct dl_str domain = dl_name_str(&name);
	struct dl_memb *one = net->vms[0].memb, *other = net->vms[DOMAINS].memb;
	struct dl_memb *third = net->vms[(size_t)2 * DOMAINS].memb;
	uint64_t key = 0, owner, next;

	do {
		owner = dl_memb_owner(one, domain, ++key);
	} while (owner == net->vms[0].vm || owner == net->vms[DOMAINS].vm);
	dl_memb_set_unreachable(one, owner, true);
	dl_memb_set_unreachable(other, owner, true);
	next = dl_memb_owner(one, domain, key);
	ck_assert_uint_ne(next, owner);
	ck_assert_uint_eq(dl_memb_owner(other, domain, key), next);
	ck_assert_uint_eq(dl_memb_owner(third, domain, key), owner);
	dl_memb_set_unreachable(one, owner, false);
	ck_assert_uint_eq(dl_memb_owner(one, domain, key), owner);
	/* If all other VMs are unreachable, a VM owns everything itself. */
	for (uint32_t i = 0; i < SMALL; i++)
		dl_memb_set_unreachable(one, net->vms[i].vm, true);
	ck_assert_uint_eq(dl_memb_owner(one, domain, key), net->vms[0].vm);
	memb_net_free(net);
}
END_TEST

START_TEST(malformed_datagrams_are_rejected)
{
	struct memb_net *net = started(2, 1, 3);
	struct dl_memb *memb = net->vms[0].memb;
	char buf[DL_MEMB_DATAGRAM_MAX + 1], bad[sizeof(buf)];
	uint64_t to;
	size_t n = 0;

	while (!dl_memb_next_datagram(net->vms[1].memb, net->now, &to, buf, &n))
		net->now += 100;
	for (size_t i = 0; i < n; i++) {
		ck_assert_int_eq(dl_memb_receive(memb, net->vms[1].vm,
						 (struct dl_str){ buf, i },
						 net->now),
				 -EBADMSG);
		for (int bit = 0; bit < 8; bit++) {
			memcpy(bad, buf, n);
			bad[i] = (char)(bad[i] ^ 1 << bit);
			dl_memb_receive(memb, net->vms[1].vm,
					(struct dl_str){ bad, n }, net->now);
		}
	}
	ck_assert_int_eq(dl_memb_receive(memb, net->vms[0].vm,
					 (struct dl_str){ buf, n }, net->now),
			 -EBADMSG);
	memset(bad, 0, sizeof(bad));
	ck_assert_int_eq(dl_memb_receive(memb, net->vms[1].vm,
					 (struct dl_str){ bad, sizeof(bad) },
					 net->now),
			 -EBADMSG);
	memb_net_free(net);
}
END_TEST

START_TEST(dead_members_expire)
{
	struct memb_net *net = started(3, 1, 4);
	int64_t day = INT64_C(24) * 60 * 60 * 1000;

	memb_net_kill(net, 2);
	memb_net_run(net, day / 2);
	ck_assert(dl_memb_find(net->vms[0].memb, net->vms[2].vm));
	memb_net_run(net, day);
	ck_assert(!dl_memb_find(net->vms[0].memb, net->vms[2].vm));
	ck_assert(dl_memb_at(net->vms[0].memb, 1));
	ck_assert(!dl_memb_at(net->vms[0].memb, 2));
	memb_net_free(net);
}
END_TEST

/*
 * Users allow 12,000 bytes a second and 64 MB per node for the control plane.
 * Membership alone must stay within the bytes at the target size, on the
 * busiest VM.
 */
START_TEST(traffic_within_budget)
{
	bool slow = getenv("DL_SANITIZED") != NULL;
	struct memb_net_conf conf;
	struct memb_net *net;

	memb_net_defaults(&conf, slow ? TARGET_VMS_SLOW : TARGET_VMS, 5, 1);
	net = memb_net_new(&conf);
	memb_net_start_all(net);
	ck_assert_int_ge(memb_net_converge(net, LONG_MS), 0);
	memb_net_run(net, LONG_MS);
	memb_net_clear_counts(net);
	memb_net_run(net, BUDGET_MS);
	for (uint32_t i = 0; i < conf.vms; i++) {
		const struct memb_net_vm *v = &net->vms[i];
		uint64_t bytes = v->bytes_in + v->bytes_out +
				 (v->msgs_in + v->msgs_out) * HEADER_BYTES;

		ck_assert_uint_lt(bytes * 1000 / BUDGET_MS, BUDGET_BYTES_PER_S);
	}
	memb_net_kill(net, 1);
	ck_assert_int_ge(memb_net_converge(net, ISOLATION_MS), 0);
	memb_net_free(net);
}
END_TEST

/*
 * A region is one domain of membership, of any size: a thousand VMs that start
 * together, on links that lose datagrams, agree, stay within the budget, and
 * notice the death of one.
 */
START_TEST(many_vms_of_one_domain_agree)
{
	bool slow = getenv("DL_SANITIZED") != NULL;
	struct memb_net_conf conf;
	struct memb_net *net;

	memb_net_defaults(&conf, slow ? TARGET_VMS_SLOW : MANY_VMS, 1, 7);
	conf.link.loss_permille = 5;
	net = memb_net_new(&conf);
	memb_net_start_all(net);
	ck_assert_int_ge(memb_net_converge(net, LONG_MS), 0);
	memb_net_run(net, START_MS);
	memb_net_clear_counts(net);
	memb_net_run(net, MANY_BUDGET_MS);
	for (uint32_t i = 0; i < conf.vms; i++) {
		const struct memb_net_vm *v = &net->vms[i];
		uint64_t bytes = v->bytes_in + v->bytes_out +
				 (v->msgs_in + v->msgs_out) * HEADER_BYTES;

		ck_assert_uint_lt(bytes * 1000 / (MANY_BUDGET_MS),
				  BUDGET_BYTES_PER_S);
	}
	memb_net_kill(net, 1);
	ck_assert_int_ge(memb_net_converge(net, ISOLATION_MS), 0);
	memb_net_free(net);
}
END_TEST

/*
 * Most datagrams of the first second are lost where all VMs of a region greet
 * the same seeds at once. Gossip alone would leave VMs unknown for a minute.
 */
START_TEST(vms_that_miss_a_mass_start_learn_of_the_rest)
{
	bool slow = getenv("DL_SANITIZED") != NULL;
	struct memb_net_conf conf;
	struct memb_net *net;

	memb_net_defaults(&conf, slow ? MASS_VMS_SLOW : MASS_VMS, 1,
			  (uint32_t)_i + 7);
	conf.link.loss_permille = 700;
	net = memb_net_new(&conf);
	memb_net_start_all(net);
	memb_net_run(net, 1000);
	conf.link.loss_permille = 5;
	fake_link_set(net->link, &conf.link);
	ck_assert_int_ge(memb_net_converge(net, MASS_START_MS), 0);
	memb_net_free(net);
}
END_TEST

/* Passes what one VM has to send to another, whatever it is addressed to. */
static void pass(struct dl_memb *from, uint64_t vm, struct dl_memb *to,
		 int64_t now)
{
	char buf[DL_MEMB_DATAGRAM_MAX];
	uint64_t addressee;
	size_t n;

	while (dl_memb_next_datagram(from, now, &addressee, buf, &n))
		dl_memb_receive(to, vm, (struct dl_str){ buf, n }, now);
}

/* A VM with the number i, of one of so many domains, greets VM 0 of the net. */
static uint64_t greet(struct memb_net *net, uint32_t i, uint32_t domains)
{
	struct dl_memb_conf conf = net->conf.memb;
	struct dl_memb *other;

	conf.self = (UINT64_C(0x0b000000) + i) << 16 | 1;
	conf.domain = memb_net_domain(i % domains);
	other = dl_memb_new(&conf, 1, net->now);
	dl_memb_add_seed(other, net->vms[0].vm, net->now);
	pass(other, conf.self, net->vms[0].memb, net->now);
	dl_memb_free(other);
	return conf.self;
}

/* Memory for the addresses and updates of VMs is bounded. */
START_TEST(member_table_is_bounded)
{
	struct memb_net *net = started(2, 1, 3);
	struct dl_memb *memb = net->vms[0].memb;
	uint32_t count = 0;

	for (uint32_t i = 0; i < FLOOD_VMS; i++)
		greet(net, i, MANY_DOMAINS);
	while (dl_memb_at(memb, count))
		count++;
	ck_assert_uint_le(count, MEMBERS_MAX);
	ck_assert_uint_ge(dl_memb_ignored(memb), FLOOD_VMS + 2 - MEMBERS_MAX);
	ck_assert(memb_net_sees(net, 0, 1));
	memb_net_free(net);
}
END_TEST

START_TEST(full_member_table_takes_a_live_vm_for_one_that_is_gone)
{
	struct memb_net *net = started(2, 1, 3);
	struct dl_memb *memb = net->vms[0].memb;
	uint64_t vm;

	for (uint32_t i = 0; i < MEMBERS_MAX - 2; i++)
		greet(net, i, 1);
	ck_assert_uint_eq(dl_memb_ignored(memb), 0);
	vm = greet(net, MEMBERS_MAX, 1);
	ck_assert(!dl_memb_find(memb, vm));
	dl_memb_leave(net->vms[1].memb, net->now);
	pass(net->vms[1].memb, net->vms[1].vm, memb, net->now);
	vm = greet(net, MEMBERS_MAX + 1, 1);
	ck_assert(dl_memb_find(memb, vm));
	ck_assert(!dl_memb_find(memb, net->vms[1].vm));
	memb_net_free(net);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("memb");
	TCase *t = tcase_create("memb");

	suite_add_tcase(s, t);
	tcase_set_timeout(t, 60);
	tcase_add_loop_test(t, dead_vm_is_removed_and_readmitted, 0, 20);
	tcase_add_loop_test(t, restart_raises_incarnation, 0, 5);
	tcase_add_test(t, planned_stop_is_not_suspected);
	tcase_add_loop_test(t, unreachable_domain_is_removed_and_readmitted, 0,
			    10);
	tcase_add_loop_test(t, isolated_vm_rejoins_without_false_deaths, 0, 10);
	tcase_add_loop_test(t, paused_vm_does_not_own_until_refreshed, 0, 10);
	tcase_add_loop_test(
		t, next_owner_is_the_owner_once_the_first_is_unreachable, 0,
		10);
	tcase_add_loop_test(t, one_way_partition_is_detected, 0, 5);
	tcase_add_loop_test(t, single_link_failure_is_not_suspected, 0, 5);
	tcase_add_loop_test(t, partition_heals_without_seeds, 0, 5);
	tcase_add_loop_test(t, domains_reconnect_after_gateway_loss, 0, 5);
	tcase_add_test(t, draining_is_sent_immediately);
	tcase_add_loop_test(t, successor_learns_of_draining_at_once, 1, 9);
	tcase_add_loop_test(
		t, start_is_told_to_the_last_dispatcher_and_who_asks_it, 1, 9);
	tcase_add_test(t, versions_and_draining_propagate);
	tcase_add_test(t, unreachable_vm_owns_nothing);
	tcase_add_test(t, malformed_datagrams_are_rejected);
	tcase_add_test(t, dead_members_expire);
	tcase_add_test(t, traffic_within_budget);
	tcase_add_test(t, many_vms_of_one_domain_agree);
	tcase_add_loop_test(t, vms_that_miss_a_mass_start_learn_of_the_rest, 0,
			    3);
	tcase_add_test(t, member_table_is_bounded);
	tcase_add_test(t,
		       full_member_table_takes_a_live_vm_for_one_that_is_gone);
	return suite_run(s);
}
