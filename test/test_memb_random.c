/*
 * Tests of membership under seeded random faults, single and overlapping: loss,
 * duplication, reordering, one-way and silent partitions, pauses, kills and
 * restarts. Invariants are checked after each datagram, convergence once the
 * faults have stopped.
 */
#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fake/memb_net.h"
#include "fake/suite.h"

#define VMS_MAX	      12
#define VMS_MIN	      3
#define SEEDS	      1500
#define SEEDS_SLOW    50 /* under a sanitizer */
#define FAULTS	      30
#define FAULT_GAP_MS  4000
#define PAUSE_MAX_MS  90000
#define LOSS_PERMILLE 200
#define DUP_PERMILLE  100
#define DELAY_MS      40
#define CONVERGE_MS   15000
#define SETTLE_MS     8000
#define OWNER_KEYS    20

/* The latest values that a VM showed of another; they must not decrease. */
struct seen {
	uint64_t boot; /* incarnation of the VM that shows it */
	uint64_t incarnation;
	uint64_t version;
};

struct run {
	uint64_t rng;
	uint64_t version;
	uint64_t versions[VMS_MAX];
	bool draining[VMS_MAX];
	struct seen seen[VMS_MAX][VMS_MAX];
};

static uint64_t pick(struct run *run, uint64_t n)
{
	uint64_t z = run->rng += UINT64_C(0x9e3779b97f4a7c15);

	z = (z ^ (z >> 30)) * UINT64_C(0xbf58476d1ce4e5b9);
	z = (z ^ (z >> 27)) * UINT64_C(0x94d049bb133111eb);
	return (z ^ (z >> 31)) % n;
}

/* An owner, cached or not, is live and not draining. */
static void check_owner(const struct dl_memb *memb)
{
	struct dl_name name = memb_net_domain(0);
	uint64_t owner = dl_memb_owner(memb, dl_name_str(&name), 1);
	const struct dl_member *m = dl_memb_find(memb, owner);

	if (owner != DL_VM_NONE &&
	    (m->draining || (m->state != DL_ALIVE && m->state != DL_SUSPECT)))
		ck_abort_msg("the owner is dead or draining");
}

/*
 * Incarnations and versions never decrease, and a VM always shows itself alive.
 */
static void check_invariants(struct memb_net *net, uint32_t vm)
{
	const struct memb_net_vm *v = &net->vms[vm];
	struct run *run = net->arg;
	const struct dl_member *m;

	if (dl_memb_at(v->memb, 0)->state != DL_ALIVE)
		ck_abort_msg("VM %u does not show itself alive", vm);
	check_owner(v->memb);
	for (uint32_t i = 0; i < net->conf.vms; i++) {
		struct seen *s = &run->seen[vm][i];

		if (s->boot != v->incarnation)
			memset(s, 0, sizeof(*s));
		s->boot = v->incarnation;
		m = dl_memb_find(v->memb, net->vms[i].vm);
		if (!m)
			continue;
		if (m->incarnation < s->incarnation ||
		    m->config_version < s->version)
			ck_abort_msg(
				"VM %u shows older values of VM %u than before",
				vm, i);
		s->incarnation = m->incarnation;
		s->version = m->config_version;
	}
}

static void start(struct memb_net *net, struct run *run, uint32_t vm)
{
	if (net->vms[vm].memb)
		return;
	run->draining[vm] = false;
	memb_net_start(net, vm);
	dl_memb_update_self(net->vms[vm].memb, false, run->versions[vm],
			    net->now);
}

static void heal(struct memb_net *net)
{
	fake_link_heal(net->link);
	for (uint32_t i = 0; i < net->conf.vms; i++)
		net->vms[i].partition = 0;
}

/* Ends all pauses now. */
static void resume(struct memb_net *net)
{
	for (uint32_t i = 0; i < net->conf.vms; i++) {
		if (net->vms[i].paused_until > net->now)
			memb_net_pause(net, i, 0);
	}
}

static void change_self(struct memb_net *net, struct run *run, uint32_t vm)
{
	if (!net->vms[vm].memb || net->vms[vm].paused_until > net->now)
		return;
	run->draining[vm] = pick(run, 3) == 0;
	run->versions[vm] = ++run->version;
	dl_memb_update_self(net->vms[vm].memb, run->draining[vm], run->version,
			    net->now);
}

static void fault(struct memb_net *net, struct run *run)
{
	uint32_t n = net->conf.vms;
	uint32_t a = (uint32_t)pick(run, n), b = (uint32_t)pick(run, n);
	struct fake_link_conf link = net->conf.link;

	switch (pick(run, 10)) {
	case 0:
		memb_net_kill(net, a);
		break;
	case 1:
		memb_net_kill(net, a);
		start(net, run, a);
		break;
	case 2:
		memb_net_pause(net, a, (int64_t)pick(run, PAUSE_MAX_MS));
		break;
	case 3:
		fake_link_cut(net->link, net->vms[a].vm, net->vms[b].vm);
		break;
	case 4:
		fake_link_isolate(net->link, net->vms[a].vm);
		break;
	case 5:
		for (uint32_t i = b % net->conf.domains; i < n;
		     i += net->conf.domains)
			net->vms[i].partition = 1;
		break;
	case 6:
		for (uint32_t i = 0; i < n; i++)
			net->vms[i].partition = (uint32_t)pick(run, 2);
		break;
	case 7:
		heal(net);
		start(net, run, b);
		break;
	case 8:
		link.loss_permille = (uint32_t)pick(run, LOSS_PERMILLE);
		link.dup_permille = (uint32_t)pick(run, DUP_PERMILLE);
		link.delay_max_ms = 1 + (uint32_t)pick(run, DELAY_MS);
		fake_link_set(net->link, &link);
		break;
	default:
		change_self(net, run, a);
		break;
	}
}

/*
 * After recovery each VM knows of each other VM what that VM reports of itself.
 */
static void check_members_agree(struct memb_net *net)
{
	for (uint32_t i = 0; i < net->conf.vms; i++) {
		const struct dl_member *own = dl_memb_at(net->vms[i].memb, 0);

		for (uint32_t j = 0; j < net->conf.vms; j++) {
			const struct dl_member *m =
				dl_memb_find(net->vms[j].memb, net->vms[i].vm);

			ck_assert_uint_eq(m->incarnation, own->incarnation);
			ck_assert_uint_eq(m->config_version,
					  own->config_version);
			ck_assert_int_eq(m->draining, own->draining);
			ck_assert_int_eq(m->state, DL_ALIVE);
		}
	}
}

static void check_owners_agree(struct memb_net *net)
{
	for (uint32_t d = 0; d < net->conf.domains; d++) {
		struct dl_name name = memb_net_domain(d);

		for (uint64_t key = 0; key < OWNER_KEYS; key++) {
			uint64_t owner = dl_memb_owner(net->vms[0].memb,
						       dl_name_str(&name), key);

			for (uint32_t i = 1; i < net->conf.vms; i++)
				ck_assert_uint_eq(
					dl_memb_owner(net->vms[i].memb,
						      dl_name_str(&name), key),
					owner);
		}
	}
}

static uint64_t run_seed(uint32_t seed)
{
	struct run *run = calloc(1, sizeof(*run));
	struct memb_net_conf conf;
	struct memb_net *net;
	uint64_t steps;

	ck_assert_ptr_nonnull(run);
	run->rng = seed;
	memb_net_defaults(&conf,
			  VMS_MIN + (uint32_t)pick(run, VMS_MAX - VMS_MIN + 1),
			  1 + (uint32_t)pick(run, 3), seed);
	net = memb_net_new(&conf);
	net->check = check_invariants;
	net->arg = run;
	memb_net_start_all(net);
	memb_net_run(net, (int64_t)pick(run, FAULT_GAP_MS));
	for (int i = 0; i < FAULTS; i++) {
		fault(net, run);
		memb_net_run(net, (int64_t)pick(run, FAULT_GAP_MS));
	}
	heal(net);
	fake_link_set(net->link, &conf.link);
	for (uint32_t i = 0; i < conf.vms; i++)
		start(net, run, i);
	resume(net);
	ck_assert_msg(memb_net_converge(net, CONVERGE_MS) >= 0,
		      "seed %u does not converge", seed);
	memb_net_run(net, SETTLE_MS);
	check_members_agree(net);
	check_owners_agree(net);
	steps = net->steps;
	memb_net_free(net);
	free(run);
	return steps;
}

START_TEST(random_faults)
{
	int seeds = getenv("DL_SANITIZED") ? SEEDS_SLOW : SEEDS;
	const char *asked = getenv("DL_SEEDS");
	uint64_t steps = 0;

	if (asked)
		seeds = (int)strtol(asked, NULL, 10);
	for (int seed = 1; seed <= seeds; seed++) {
		steps += run_seed((uint32_t)seed);
		ck_assert_uint_gt(steps, 0);
	}
	printf("%d seeds, %llu steps\n", seeds, (unsigned long long)steps);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("memb random");
	TCase *t = tcase_create("memb random");

	suite_add_tcase(s, t);
	tcase_set_timeout(t, 120);
	tcase_add_test(t, random_faults);
	return suite_run(s);
}
