/*
 * What membership is asked for: the members, the newest configuration that one
 * of them shows, and which VM dispatches for a key.
 */
#include "memb_int.h"

/* What is known of a VM, or NULL; valid until the next datagram. */
const struct dl_member *dl_memb_find(const struct dl_memb *memb, uint64_t vm)
{
	const struct memb_peer *peer = memb_peer(memb, vm);

	return peer ? &peer->m : NULL;
}

/* Walk the members, this VM first; NULL past the last. */
const struct dl_member *dl_memb_at(const struct dl_memb *memb, uint32_t index)
{
	return index < memb->npeers ? &memb->peers[index].m : NULL;
}

/* The highest configuration version that any live VM shows, and one such VM. */
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

/* The entry of a domain with the highest hash over itself and the key. */
static uint64_t find_owner(const struct dl_memb *memb, uint32_t domain,
			   uint64_t key)
{
	uint64_t best = 0, owner = DL_VM_NONE;

	for (uint32_t i = 0; i < memb->npeers; i++) {
		const struct dl_member *m = &memb->peers[i].m;
		struct dl_str vm = { (const char *)&m->vm, sizeof(m->vm) };
		uint64_t score;

		if (memb->peers[i].domain != domain || m->draining ||
		    m->replica || memb->peers[i].unreachable ||
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
 * Keep what another VM owns from it, or give it back, in this VM's eyes alone.
 *
 * Load: a failure domain that is cut off with the VM that dispatches.  Until
 * membership is sure (four to six seconds) every VM placed by itself, and the
 * streams of six seconds were late; VMs that see the same cut name the same
 * successor within 0.2 s.
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

/*
 * The live, undrained entry of a failure domain that rendezvous hashing names
 * for a key; DL_VM_NONE where there is none, and where it would be this VM
 * while it has yet to hear what it missed in a pause.
 *
 * Load: a pool's dispatching moves only when its owner goes, so that the
 * queues of all other pools stay where they are when a VM fails or returns.
 */
uint64_t dl_memb_owner(const struct dl_memb *memb, struct dl_str domain,
		       uint64_t key)
{
	struct memb_owner *known;
	uint32_t d = 0;

	while (d < memb->ndomains &&
	       !dl_name_eq(&memb->domains[d].name, domain))
		d++;
	if (d == memb->ndomains)
		return DL_VM_NONE;
	known = &memb->owners[(key ^ d) & (MEMB_OWNERS - 1)];
	if (known->epoch != memb->epoch || known->key != key ||
	    known->domain != d)
		*known = (struct memb_owner){ memb->epoch, key,
					      find_owner(memb, d, key), d };
	if (known->owner == memb->conf.self && memb->refreshing)
		return DL_VM_NONE;
	return known->owner;
}
