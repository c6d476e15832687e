/*
 * Synchronisation between failure domains: a few VMs of each domain, its
 * gateways, exchange digests and pull what differs. The state of a member is
 * decided by its own domain. Whether a whole domain is reachable is decided by
 * each VM from the answers that any VM of its own domain received; probes carry
 * the age of those answers.
 */
#include "coordination/memb_int.h"

#define RANDOM_TARGET_EVERY   4	   /* digests for one random target */
#define PULL_QUIET_MS	      2000 /* time for gossip before a pull */
#define PULL_EVERY_MS	      5000
#define PULL_BEHIND_MS	      1500 /* while gossip is behind */
#define PULL_MAX_MS	      30000
#define DIGEST_PULL_MS	      1000
#define ISOLATION_MIN_MEMBERS 8 /* this many are not all lost by chance */

static uint64_t pick_in_domain(struct dl_memb *memb, uint32_t domain);
static uint64_t vm_score(uint64_t vm);

/* Hash that decides which members of a domain are its gateways. */
static uint64_t vm_score(uint64_t vm)
{
	struct dl_str s = { (const char *)&vm, sizeof(vm) };

	return dl_hash(s, 0);
}

/*
 * Gets the gateways of a domain: the live members with the lowest hashes, so
 * that all VMs agree without asking. Returns their number.
 */
uint32_t memb_gateways(const struct dl_memb *memb, uint32_t domain,
		       uint64_t out[MEMB_GATEWAYS])
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < memb->npeers; i++) {
		const struct memb_peer *peer = &memb->peers[i];
		uint64_t vm = peer->m.vm;
		uint32_t at;

		if (peer->domain != domain || !memb_gossip_live(peer))
			continue;
		if (n < MEMB_GATEWAYS)
			at = n++;
		else if (vm_score(vm) < vm_score(out[n - 1]))
			at = n - 1;
		else
			continue;
		while (at && vm_score(vm) < vm_score(out[at - 1])) {
			out[at] = out[at - 1];
			at--;
		}
		out[at] = vm;
	}
	return n;
}

/*
 * Returns a random member of a domain, dead or not, since all of its gateways
 * may be gone.
 */
static uint64_t pick_in_domain(struct dl_memb *memb, uint32_t domain)
{
	uint32_t start = (uint32_t)(memb_random(memb) % memb->npeers);

	for (uint32_t i = 0; i < memb->npeers; i++) {
		const struct memb_peer *peer =
			&memb->peers[(start + i) % memb->npeers];

		if (peer->domain == domain && peer->gossip_state != DL_LEFT)
			return peer->m.vm;
	}
	return DL_VM_NONE;
}

/* Sends a digest to one VM of each other domain, if this VM is a gateway. */
void memb_digest_round(struct dl_memb *memb, int64_t now)
{
	uint64_t gateways[MEMB_GATEWAYS];
	uint32_t n = memb_gateways(memb, 0, gateways);
	bool is_gateway = false;

	for (uint32_t i = 0; i < n; i++)
		is_gateway = is_gateway || gateways[i] == memb->conf.self;
	if (!is_gateway)
		return;
	memb->digest_rounds++;
	for (uint32_t d = 1; d < memb->ndomains; d++) {
		uint64_t to = DL_VM_NONE;

		if (memb->domains[d].members == 0)
			continue;
		n = memb_gateways(memb, d, gateways);
		if (n && memb->digest_rounds % RANDOM_TARGET_EVERY)
			to = gateways[memb_random(memb) % n];
		else
			to = pick_in_domain(memb, d);
		if (to != DL_VM_NONE)
			memb_queue(memb, MEMB_DIGEST, to, ++memb->seq, 0);
	}
	(void)now;
}

/*
 * Returns how long a domain may be silent before it counts as unreachable: the
 * suspicion time, two digests, and the probe rounds in which news of an answer
 * spreads.
 */
int64_t memb_domain_timeout_ms(const struct dl_memb *memb)
{
	const struct dl_memb_conf *conf = &memb->conf;
	uint32_t rounds = memb_log2(memb->domains[0].live + 1);

	return (int64_t)conf->suspect_ms + 2 * (int64_t)conf->digest_ms +
	       (int64_t)rounds * conf->probe_ms;
}

/*
 * Updates which domains are unreachable. If nothing is received from any VM of
 * a large own domain for some periods, this VM is taken to be the one that is
 * cut off; otherwise it would find the others dead one by one, one in each
 * period.
 */
void memb_check_domains(struct dl_memb *memb, int64_t now)
{
	int64_t silent = (int64_t)memb->conf.suspect_ms +
			 2 * (int64_t)memb->conf.probe_ms;

	memb_domain_set_unreachable(
		memb, 0,
		memb->domains[0].live >= ISOLATION_MIN_MEMBERS &&
			now - memb->domains[0].last_contact > silent,
		now);
	silent = memb_domain_timeout_ms(memb);
	for (uint32_t d = 1; d < memb->ndomains; d++) {
		if (memb->domains[d].members)
			memb_domain_set_unreachable(
				memb, d,
				now - memb->domains[d].last_contact > silent,
				now);
	}
}

/*
 * Whether a pull of a domain with a different hash is due. Gossip is given time
 * to converge, but not while there is more news than one datagram takes and the
 * sender knows more live members: after a start of a thousand VMs gossip alone
 * would take minutes, during which VMs disagree about who dispatches. Other
 * differences, such as versions, are left to gossip then too: a pull of them by
 * every VM at once would cost more than they are worth.
 */
static bool pull_due(const struct dl_memb *memb, const struct memb_domain *d,
		     bool digest, bool sender_knows_more, int64_t now)
{
	if (digest)
		return now - d->last_pull >= DIGEST_PULL_MS;
	if (sender_knows_more && memb->gossip_pending > MEMB_PIGGYBACK_MAX)
		return now - d->last_pull >= PULL_BEHIND_MS;
	if (now - d->last_pull < PULL_EVERY_MS)
		return false;
	return now - d->hash_changed >= PULL_QUIET_MS ||
	       now - d->last_pull > PULL_MAX_MS;
}

/* Pulls an unknown domain. */
static void pull_unknown(struct dl_memb *memb, uint64_t from, uint32_t tag,
			 int64_t now)
{
	if (now - memb->last_unknown_pull < DIGEST_PULL_MS)
		return;
	memb->last_unknown_pull = now;
	memb_queue(memb, MEMB_PULL, from, ++memb->seq, tag);
}

/*
 * Compares the sender's view of each domain with the local one, and pulls
 * domains that still differ after gossip had time to converge. From a VM of our
 * own domain, it also takes over the age of each domain's last answer; an ack
 * of our digest is such an answer.
 */
void memb_sync_domains(struct dl_memb *memb, uint64_t from,
		       const struct memb_msg *msg, int64_t now)
{
	bool digest = msg->kind == MEMB_DIGEST || msg->kind == MEMB_DIGEST_ACK;
	uint32_t sender_tag = (uint32_t)dl_hash(msg->self.domain, 0);
	bool same_domain = sender_tag == memb->domains[0].tag;
	struct memb_domain *d;

	for (uint32_t i = 0; i < msg->nsync; i++) {
		const struct memb_sync *s = &msg->sync[i];

		d = memb_domain_of_tag(memb, s->tag);
		if (!d) {
			pull_unknown(memb, from, s->tag, now);
			continue;
		}
		if (same_domain && d != memb->domains &&
		    now - (int64_t)s->age_ms > d->last_contact)
			d->last_contact = now - (int64_t)s->age_ms;
		if (s->hash == d->hash ||
		    !pull_due(memb, d, digest && s->tag == sender_tag,
			      s->tag == sender_tag && msg->live > d->live, now))
			continue;
		d->last_pull = now;
		memb_queue(memb, MEMB_PULL, from, ++memb->seq, s->tag);
	}
	if (msg->kind != MEMB_DIGEST_ACK || same_domain)
		return;
	d = memb_domain_of_tag(memb, sender_tag);
	if (d && d != memb->domains && now > d->last_contact)
		d->last_contact = now;
}
