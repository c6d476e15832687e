/*
 * Queries of membership: the members, the newest configuration version, and the
 * VM that dispatches for a key.
 */
#include "memb_int.h"

/* Returns what is known of a VM, or NULL; valid until the next datagram. */
const struct dl_member *dl_memb_find(const struct dl_memb *memb, uint64_t vm)
{
	const struct memb_peer *peer = memb_peer(memb, vm);

	return peer ? &peer->m : NULL;
}

/* Iterates over the members, this VM first; NULL past the last. */
const struct dl_member *dl_memb_at(const struct dl_memb *memb, uint32_t index)
{
	return index < memb->npeers ? &memb->peers[index].m : NULL;
}

/*
 * Returns the highest configuration version that any live VM reports, and one
 * such VM.
 */
uint64_t dl_memb_newest_config(const struct dl_memb *memb, uint64_t *vm)
{
	uint64_t newest = memb->peers[0].m.config_version;
	uint64_t who = memb->conf.self;

	for (uint32_t i = 1; i < memb->npeers; i++) {
		const struct memb_peer *peer = &memb->peers[i];

		if (memb_peer_live(peer) && peer->m.config_version > newest) {
			newest = peer->m.config_version;
			who = peer->m.vm;
		}
	}
	if (vm)
		*vm = who;
	return newest;
}

/*
 * Returns the entry of a domain with the highest hash of the VM and the key,
 * other than the VM without.
 */
static uint64_t find_owner(const struct dl_memb *memb, uint32_t domain,
			   uint64_t key, uint64_t without)
{
	uint64_t best = 0, owner = DL_VM_NONE;

	for (uint32_t i = 0; i < memb->npeers; i++) {
		const struct dl_member *m = &memb->peers[i].m;
		struct dl_str vm = { (const char *)&m->vm, sizeof(m->vm) };
		uint64_t score;

		if (memb->peers[i].domain != domain || m->draining ||
		    m->vm == without || m->replica ||
		    memb->peers[i].unreachable ||
		    !memb_peer_live(&memb->peers[i]))
			continue;
		score = dl_hash(vm, key);
		if (owner == DL_VM_NONE || score > best) {
			best = score;
			owner = m->vm;
		}
	}
	return owner;
}

/*
 * Excludes a VM from ownership, or includes it again, from the point of view of
 * this VM alone.
 *
 * This matters when a partition takes away a failure domain with the VM that
 * dispatches. Until membership had settled, after four to six seconds, every VM
 * placed requests by itself, and six-second streams were late. VMs that see the
 * same partition select the same successor within 0.2 s.
 */
void dl_memb_set_unreachable(struct dl_memb *memb, uint64_t vm,
			     bool unreachable)
{
	struct memb_peer *peer = memb_peer(memb, vm);

	if (!peer || peer == &memb->peers[0] ||
	    peer->unreachable == unreachable)
		return;
	peer->unreachable = unreachable;
	memb->epoch++;
}

static uint32_t find_domain(const struct dl_memb *memb, struct dl_str domain)
{
	uint32_t d = 0;

	while (d < memb->ndomains &&
	       !dl_name_eq(&memb->domains[d].name, domain))
		d++;
	return d;
}

/*
 * Returns the live, non-draining entry of a failure domain that rendezvous
 * hashing selects for a key; DL_VM_NONE if there is none, or if it is this VM
 * and its state is still being refreshed after a pause.
 *
 * With rendezvous hashing, the dispatching of a pool moves only when its owner
 * goes, so the queues of all other pools stay in place when a VM fails or
 * returns.
 */
uint64_t dl_memb_owner(const struct dl_memb *memb, struct dl_str domain,
		       uint64_t key)
{
	struct memb_owner *known;
	uint32_t d = find_domain(memb, domain);

	if (d == memb->ndomains)
		return DL_VM_NONE;
	known = &memb->owners[(key ^ d) & (MEMB_OWNERS - 1)];
	if (known->epoch != memb->epoch || known->key != key ||
	    known->domain != d)
		*known = (struct memb_owner){
			memb->epoch, key, find_owner(memb, d, key, DL_VM_NONE),
			d
		};
	if (known->owner == memb->conf.self && memb->refreshing)
		return DL_VM_NONE;
	return known->owner;
}

/*
 * Returns the VM that dl_memb_owner() would return if a VM were gone.  Not
 * cached: it is asked for only while a dispatcher does not answer.
 */
uint64_t dl_memb_owner_without(const struct dl_memb *memb, struct dl_str domain,
			       uint64_t key, uint64_t vm)
{
	uint32_t d = find_domain(memb, domain);
	uint64_t owner;

	if (d == memb->ndomains)
		return DL_VM_NONE;
	owner = find_owner(memb, d, key, vm);
	return owner == memb->conf.self && memb->refreshing ? DL_VM_NONE :
							      owner;
}
