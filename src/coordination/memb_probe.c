/*
 * Probes within a failure domain: one random member in each period, and
 * indirect probes through others if it does not answer; and recovery from a
 * pause of this process.
 */
#include <stdlib.h>

#include "coordination/memb_int.h"

#define PROBE_FAIL_ACKS		 3 /* in units of ack_ms */
#define DIRECT_PROBE_INTERVAL_MS 1000
#define SEED_JOIN_INTERVAL_MS	 500
#define SEED_RETRY_INTERVAL_MS	 5000
#define DEAD_PROBE_PERIODS	 5 /* in probe periods, one dead member each time */

static void begin_probe(struct dl_memb *memb, int64_t now);
static void check_probe(struct dl_memb *memb, int64_t now);
static bool fill_order(struct dl_memb *memb);
static struct memb_peer *next_target(struct dl_memb *memb);
static struct memb_peer *random_peer(struct dl_memb *memb, bool live,
				     uint64_t except);
static void contact_seeds(struct dl_memb *memb, int64_t now);
static void probe_dead_member(struct dl_memb *memb);
static void sweep(struct dl_memb *memb, int64_t now);

/* Puts the live members of our domain in a new random order. */
static bool fill_order(struct dl_memb *memb)
{
	uint32_t n = 0;

	if (memb->probe_order_cap < memb->peers_cap) {
		uint64_t *order = realloc(memb->probe_order,
					  memb->peers_cap * sizeof(*order));
		if (!order)
			return false;
		memb->probe_order = order;
		memb->probe_order_cap = memb->peers_cap;
	}
	for (uint32_t i = 1; i < memb->npeers; i++) {
		const struct memb_peer *peer = &memb->peers[i];

		if (peer->domain == 0 && memb_gossip_live(peer))
			memb->probe_order[n++] = peer->m.vm;
	}
	for (uint32_t i = n; i > 1; i--) {
		uint32_t j = (uint32_t)(memb_random(memb) % i);
		uint64_t vm = memb->probe_order[i - 1];

		memb->probe_order[i - 1] = memb->probe_order[j];
		memb->probe_order[j] = vm;
	}
	memb->probe_order_len = n;
	return n > 0;
}

/*
 * Returns the next member to probe; each is probed once before any is probed
 * twice.
 */
static struct memb_peer *next_target(struct dl_memb *memb)
{
	for (;;) {
		struct memb_peer *peer;

		if (memb->probe_order_len == 0 && !fill_order(memb))
			return NULL;
		peer = memb_peer(memb,
				 memb->probe_order[--memb->probe_order_len]);
		if (peer && peer->domain == 0 && memb_gossip_live(peer))
			return peer;
	}
}

/* Returns a random live or dead member of our domain, or NULL. */
static struct memb_peer *random_peer(struct dl_memb *memb, bool live,
				     uint64_t except)
{
	uint32_t start = (uint32_t)(memb_random(memb) % memb->npeers);

	for (uint32_t i = 0; i < memb->npeers; i++) {
		uint32_t at = (start + i) % memb->npeers;
		struct memb_peer *peer = &memb->peers[at];

		if (at == 0 || peer->domain != 0 || peer->m.vm == except)
			continue;
		if (live ? memb_gossip_live(peer) :
			   peer->gossip_state == DL_DEAD)
			return peer;
	}
	return NULL;
}

/* Probes the next member. */
static void begin_probe(struct dl_memb *memb, int64_t now)
{
	struct memb_peer *peer = next_target(memb);

	memb->probe.vm = DL_VM_NONE;
	if (!peer)
		return;
	memb->probe.vm = peer->m.vm;
	memb->probe.seq = ++memb->seq;
	memb->probe.indirect = false;
	memb->probe.started = now;
	memb_queue(memb, MEMB_PING, peer->m.vm, memb->probe.seq, 0);
}

/* Checks whether the probe in progress needs indirect probes, or has failed. */
static void check_probe(struct dl_memb *memb, int64_t now)
{
	struct memb_probe *probe = &memb->probe;
	int64_t waited = now - probe->started;
	struct memb_peer *peer;

	if (probe->vm == DL_VM_NONE)
		return;
	if (waited >= (int64_t)memb->conf.ack_ms * PROBE_FAIL_ACKS) {
		peer = memb_peer(memb, probe->vm);
		probe->vm = DL_VM_NONE;
		if (!peer)
			return;
		memb_suspect(memb, peer, now);
		memb_probe_now(memb, peer, now);
		return;
	}
	if (probe->indirect || waited < memb->conf.ack_ms)
		return;
	probe->indirect = true;
	for (int i = 0; i < MEMB_INDIRECT; i++) {
		peer = random_peer(memb, true, probe->vm);
		if (peer)
			memb_queue(memb, MEMB_RELAY, peer->m.vm, probe->seq,
				   probe->vm);
	}
}

/*
 * Probes a member outside the probe order, at most once a second. The datagram
 * tells it its state as seen here, so that it can refute.
 */
void memb_probe_now(struct dl_memb *memb, struct memb_peer *peer, int64_t now)
{
	if (now - peer->last_direct_probe < DIRECT_PROBE_INTERVAL_MS)
		return;
	peer->last_direct_probe = now;
	memb_queue(memb, MEMB_PING, peer->m.vm, ++memb->seq, 0);
}

/*
 * Sends a new verdict of this VM to a few random members at once instead of
 * with the next probe, so that the suspicion expires at nearly the same time on
 * all VMs.
 */
void memb_gossip_now(struct dl_memb *memb)
{
	for (int i = 0; i < MEMB_GOSSIP_FANOUT; i++) {
		struct memb_peer *peer = random_peer(memb, true, DL_VM_NONE);

		if (peer && peer->gossip_state == DL_ALIVE)
			memb_queue(memb, MEMB_PING, peer->m.vm, ++memb->seq, 0);
	}
}

/* Acknowledges a probe. */
void memb_on_ping(struct dl_memb *memb, uint64_t from,
		  const struct memb_msg *msg)
{
	memb_queue(memb, MEMB_ACK, from, msg->seq, 0);
}

/* Handles an ack to a probe of this VM, or to one made for another VM. */
void memb_on_ack(struct dl_memb *memb, uint64_t from,
		 const struct memb_msg *msg)
{
	struct memb_probe *probe = &memb->probe;

	if (probe->vm != DL_VM_NONE && msg->seq == probe->seq &&
	    (from == probe->vm || msg->target == probe->vm))
		probe->vm = DL_VM_NONE;
	for (uint32_t i = 0; i < MEMB_RELAYS_MAX; i++) {
		struct memb_relay *relay = &memb->relays[i];

		if (relay->target != from || relay->seq != msg->seq)
			continue;
		memb_queue(memb, MEMB_ACK, relay->origin, relay->origin_seq,
			   from);
		relay->target = DL_VM_NONE;
	}
}

/* Probes a member on behalf of another VM. */
void memb_on_relay(struct dl_memb *memb, uint64_t from,
		   const struct memb_msg *msg)
{
	struct memb_relay *relay = &memb->relays[memb->relay_next];

	if (msg->target == memb->conf.self || msg->target == DL_VM_NONE)
		return;
	memb->relay_next = (memb->relay_next + 1) % MEMB_RELAYS_MAX;
	relay->origin = from;
	relay->origin_seq = msg->seq;
	relay->target = msg->target;
	relay->seq = ++memb->seq;
	memb_queue(memb, MEMB_PING, msg->target, relay->seq, 0);
}

/*
 * Contacts addresses from the settings that are not known to be live: all of
 * them before this VM has joined, one at a time after that.
 */
static void contact_seeds(struct dl_memb *memb, int64_t now)
{
	memb->next_seed = now + (memb->joined ? SEED_RETRY_INTERVAL_MS :
						SEED_JOIN_INTERVAL_MS);
	for (uint32_t i = 0; i < memb->nseeds; i++) {
		uint64_t vm = memb->seeds[memb->seed_next++ % memb->nseeds];
		const struct memb_peer *peer = memb_peer(memb, vm);

		if (peer && memb_peer_live(peer))
			continue;
		if (memb->joined)
			memb_queue(memb, MEMB_PING, vm, ++memb->seq, 0);
		else
			memb_queue(memb, MEMB_PULL, vm, ++memb->seq,
				   memb->domains[0].tag);
		if (memb->joined)
			return;
	}
}

/* Probes one dead member, so that a partition heals without an operator. */
static void probe_dead_member(struct dl_memb *memb)
{
	struct memb_peer *peer = random_peer(memb, false, DL_VM_NONE);

	if (peer)
		memb_queue(memb, MEMB_PING, peer->m.vm, ++memb->seq, 0);
}

/* Declares expired suspects dead, and checks which domains are reachable. */
static void sweep(struct dl_memb *memb, int64_t now)
{
	for (uint32_t i = 1; memb->suspects && i < memb->npeers; i++) {
		struct memb_peer *peer = &memb->peers[i];

		/* Members of other domains are judged by their own domain. */
		if (peer->gossip_state == DL_SUSPECT &&
		    (peer->domain == 0 || peer->verify) &&
		    now >= peer->suspect_deadline)
			memb_declare_dead(memb, peer, now);
	}
	memb_check_domains(memb, now);
	memb_expire_dead(memb, now);
}

/* Runs all timers that are due. */
void memb_tick(struct dl_memb *memb, int64_t now)
{
	const struct dl_memb_conf *conf = &memb->conf;

	if (memb->refreshing && now >= memb->refresh_until)
		memb->refreshing = false;
	if (memb->left || memb->refreshing)
		return;
	check_probe(memb, now);
	if (now >= memb->next_probe) {
		memb->next_probe = now + conf->probe_ms;
		begin_probe(memb, now);
	}
	if (now >= memb->next_digest) {
		memb->next_digest = now + conf->digest_ms;
		memb_digest_round(memb, now);
	}
	if (memb->nseeds && now >= memb->next_seed)
		contact_seeds(memb, now);
	if (now >= memb->next_dead_probe) {
		memb->next_dead_probe =
			now + (int64_t)conf->probe_ms * DEAD_PROBE_PERIODS;
		probe_dead_member(memb);
	}
	if (now >= memb->next_sweep) {
		memb->next_sweep = now + conf->ack_ms;
		sweep(memb, now);
	}
}

/* Returns when memb_tick() is due next. */
int64_t memb_next_tick(const struct dl_memb *memb)
{
	const struct memb_probe *probe = &memb->probe;
	int64_t next = memb->next_probe;
	int64_t due;

	if (memb->left)
		return INT64_MAX;
	if (memb->refreshing)
		return memb->refresh_until;
	if (probe->vm != DL_VM_NONE) {
		due = probe->started +
		      (int64_t)memb->conf.ack_ms *
			      (probe->indirect ? PROBE_FAIL_ACKS : 1);
		next = due < next ? due : next;
	}
	if (memb->next_digest < next)
		next = memb->next_digest;
	if (memb->nseeds && memb->next_seed < next)
		next = memb->next_seed;
	if (memb->next_dead_probe < next)
		next = memb->next_dead_probe;
	if (memb->suspects && memb->next_sweep < next)
		next = memb->next_sweep;
	return next;
}

/*
 * Detects a pause of this process from the time between two calls. Its state is
 * stale after a pause, so running deadlines are extended by the gap, no member
 * is suspected, and the state is pulled from others first.
 */
void memb_check_pause(struct dl_memb *memb, int64_t now)
{
	int64_t gap = now - memb->last_now;

	memb->last_now = now;
	if (gap <= (int64_t)memb->conf.suspect_ms + memb->conf.probe_ms)
		return;
	memb->probe.vm = DL_VM_NONE;
	memb->refresh_seq = memb->seq + 1;
	for (uint32_t i = 1; i < memb->npeers; i++) {
		if (memb->peers[i].gossip_state == DL_SUSPECT)
			memb->peers[i].suspect_deadline += gap;
	}
	for (uint32_t i = 0; i < memb->ndomains; i++)
		memb->domains[i].last_contact += gap;
	for (int i = 0; i < MEMB_REFRESH_PULLS; i++) {
		struct memb_peer *peer = random_peer(memb, true, DL_VM_NONE);

		if (!peer)
			break;
		memb->refreshing = !memb->left;
		memb_queue(memb, MEMB_PULL, peer->m.vm, ++memb->seq,
			   memb->domains[0].tag);
	}
	memb->refresh_until = now + 2 * (int64_t)memb->conf.probe_ms;
}
