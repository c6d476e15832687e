/*
 * Membership: the table of members, and the rules by which an update of a
 * member replaces an older one.
 *
 * A higher incarnation always wins; at the same incarnation the order is alive,
 * suspect, dead, left. Two contradictions are not resolved by gossip but by
 * probing the member itself: a death reported for a live member of our own
 * domain makes it suspect, and a live state reported for a dead member causes a
 * probe. Reports from a VM of another domain that sees less than half of that
 * domain are handled in the same way. This prevents a VM that was isolated from
 * convincing the others that live members are dead once it is back.
 */
#include "daisyledge/memb.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "coordination/memb_int.h"

#define PROBE_MS	  1000
#define ACK_MS		  200
#define SUSPECT_MS	  2500
#define DIGEST_MS	  1000
#define SLOTS_MIN	  64
#define PEERS_MIN	  16
#define RETRANSMITS_EXTRA 2 /* beyond log2 of the domain size */
#define RETRANSMITS_MAX	  60
#define SUSPECT_LOG2_MIN  3 /* suspect_ms applies up to 2^3 members */
#define DEAD_EXPIRY_MS	  ((int64_t)24 * 60 * 60 * 1000)
#define TOMBSTONES_MAX	  512

static bool add_peer(struct dl_memb *memb, const struct memb_update *u,
		     int64_t now);
static bool suspect_instead(struct dl_memb *memb, struct memb_peer *peer,
			    const struct memb_update *u, enum memb_trust trust,
			    int64_t now);
static void drop_peer(struct dl_memb *memb, uint32_t index);
static uint32_t find_slot(const struct dl_memb *memb, uint64_t vm);
static bool grow(struct dl_memb *memb);
static int intern_domain(struct dl_memb *memb, struct dl_str name, int64_t now);
static void mark_dirty(struct dl_memb *memb, struct memb_peer *peer);
static uint32_t peer_hash(const struct memb_peer *peer);
static void rehash(struct dl_memb *memb);
static void refute(struct dl_memb *memb, const struct memb_update *u,
		   int64_t now);
static void set_gossip_state(struct dl_memb *memb, struct memb_peer *peer,
			     enum dl_memb_state state, int64_t now);
static void publish_state(struct dl_memb *memb, struct memb_peer *peer,
			  int64_t now);
static void queue_gossip(struct dl_memb *memb, struct memb_peer *peer,
			 uint32_t count);
static void toggle_hash(struct dl_memb *memb, struct memb_peer *peer,
			int64_t now);

/* Sets a configuration to the default periods. */
void dl_memb_defaults(struct dl_memb_conf *conf)
{
	memset(conf, 0, sizeof(*conf));
	conf->probe_ms = PROBE_MS;
	conf->ack_ms = ACK_MS;
	conf->suspect_ms = SUSPECT_MS;
	conf->digest_ms = DIGEST_MS;
	conf->datagram_max = DL_MEMB_DATAGRAM_MAX;
}

/*
 * Creates the membership state of one VM. The seed makes its random choices
 * repeatable. Returns NULL if out of memory or if the configuration is invalid.
 */
struct dl_memb *dl_memb_new(const struct dl_memb_conf *conf, uint64_t seed,
			    int64_t now)
{
	struct memb_update self = { 0 };
	struct dl_memb *memb;

	if (conf->self == DL_VM_NONE || conf->probe_ms == 0)
		return NULL;
	memb = calloc(1, sizeof(*memb));
	if (!memb)
		return NULL;
	memb->conf = *conf;
	if (memb->conf.datagram_max == 0 ||
	    memb->conf.datagram_max > DL_MEMB_DATAGRAM_MAX)
		memb->conf.datagram_max = DL_MEMB_DATAGRAM_MAX;
	memb->owners = calloc(MEMB_OWNERS, sizeof(*memb->owners));
	if (!memb->owners) {
		dl_memb_free(memb);
		return NULL;
	}
	memb->epoch = 1;
	memb->rng = seed ^ conf->self;
	memb->seq = (uint32_t)memb_random(memb);
	memb->last_unknown_pull = INT64_MIN / 2;
	memb->last_now = now;
	memb->next_probe = now + (int64_t)(memb_random(memb) % conf->probe_ms);
	memb->next_digest =
		now + (int64_t)(memb_random(memb) % (conf->digest_ms + 1));
	memb->next_seed = now;
	memb->next_dead_probe = now + conf->probe_ms;
	memb->next_sweep = now + conf->probe_ms;
	self.vm = conf->self;
	self.incarnation = conf->incarnation;
	self.replica = conf->replica;
	self.domain = dl_name_str(&conf->domain);
	if (!add_peer(memb, &self, now)) {
		dl_memb_free(memb);
		return NULL;
	}
	return memb;
}

/* Frees the membership state without notifying other VMs. */
void dl_memb_free(struct dl_memb *memb)
{
	if (!memb)
		return;
	free(memb->owners);
	free(memb->peers);
	free(memb->slots);
	free(memb->probe_order);
	free(memb);
}

/*
 * Returns a pseudo-random number from this VM's seeded generator (splitmix64).
 */
uint64_t memb_random(struct dl_memb *memb)
{
	uint64_t z = memb->rng += UINT64_C(0x9e3779b97f4a7c15);

	z = (z ^ (z >> 30)) * UINT64_C(0xbf58476d1ce4e5b9);
	z = (z ^ (z >> 27)) * UINT64_C(0x94d049bb133111eb);
	return z ^ (z >> 31);
}

/* Returns log2 rounded up; 0 for one. */
uint32_t memb_log2(uint32_t n)
{
	uint32_t bits = 0;

	while (bits < 31 && (UINT32_C(1) << bits) < n)
		bits++;
	return bits;
}

/* Returns the slot of a VM in the hash table, or the empty slot for it. */
static uint32_t find_slot(const struct dl_memb *memb, uint64_t vm)
{
	struct dl_str key = { (const char *)&vm, sizeof(vm) };
	uint32_t at = (uint32_t)dl_hash(key, 0) & (memb->nslots - 1);

	while (memb->slots[at] && memb->peers[memb->slots[at] - 1].m.vm != vm)
		at = (at + 1) & (memb->nslots - 1);
	return at;
}

/* Rebuilds the hash table. */
static void rehash(struct dl_memb *memb)
{
	memset(memb->slots, 0, memb->nslots * sizeof(*memb->slots));
	for (uint32_t i = 0; i < memb->npeers; i++)
		memb->slots[find_slot(memb, memb->peers[i].m.vm)] = i + 1;
}

/* Makes room for one more member; false at the limit or if out of memory. */
static bool grow(struct dl_memb *memb)
{
	uint32_t cap = memb->peers_cap ? memb->peers_cap * 2 : PEERS_MIN;
	uint32_t nslots = memb->nslots ? memb->nslots * 2 : SLOTS_MIN;
	struct memb_peer *peers;
	uint32_t *slots;

	if (memb->npeers < memb->peers_cap)
		return memb->peers != NULL;
	if (cap > MEMB_MEMBERS_MAX)
		return false;
	slots = calloc(nslots, sizeof(*slots));
	if (!slots)
		return false;
	peers = realloc(memb->peers, cap * sizeof(*peers));
	if (!peers) {
		free(slots);
		return false;
	}
	free(memb->slots);
	memb->peers = peers;
	memb->peers_cap = cap;
	memb->slots = slots;
	memb->nslots = nslots;
	rehash(memb);
	return true;
}

/* Returns the member for a VM, or NULL. */
struct memb_peer *memb_peer(const struct dl_memb *memb, uint64_t vm)
{
	uint32_t slot = memb->slots[find_slot(memb, vm)];

	return slot ? &memb->peers[slot - 1] : NULL;
}

/* Whether a member counts as live: a suspect does until it is dead. */
bool memb_peer_live(const struct memb_peer *peer)
{
	return peer->m.state == DL_ALIVE || peer->m.state == DL_SUSPECT;
}

/* Returns the index of a domain, adding it if new; -1 at the limit. */
static int intern_domain(struct dl_memb *memb, struct dl_str name, int64_t now)
{
	struct memb_domain *d = NULL;

	for (uint32_t i = 0; i < memb->ndomains; i++) {
		if (dl_name_eq(&memb->domains[i].name, name))
			return (int)i;
		if (i && memb->domains[i].members == 0)
			d = &memb->domains[i];
	}
	if (!d) {
		if (memb->ndomains == MEMB_DOMAINS_MAX)
			return -1;
		d = &memb->domains[memb->ndomains++];
	}
	memset(d, 0, sizeof(*d));
	if (!dl_name_set(&d->name, name))
		return -1;
	d->tag = (uint32_t)dl_hash(name, 0);
	d->last_contact = now;
	d->hash_changed = now;
	d->last_pull = INT64_MIN / 2;
	return (int)(d - memb->domains);
}

/* Returns the domain with a tag, or NULL. */
struct memb_domain *memb_domain_of_tag(struct dl_memb *memb, uint32_t tag)
{
	for (uint32_t i = 0; i < memb->ndomains; i++) {
		if (memb->domains[i].tag == tag)
			return &memb->domains[i];
	}
	return NULL;
}

/* Returns a member's contribution to its domain's hash; 0 unless it is live. */
static uint32_t peer_hash(const struct memb_peer *peer)
{
	uint64_t key[4] = { peer->m.vm, peer->m.incarnation,
			    peer->m.config_version,
			    (uint64_t)peer->m.draining << 1 |
				    (uint64_t)peer->m.replica };
	struct dl_str s = { (const char *)key, sizeof(key) };

	if (!memb_gossip_live(peer))
		return 0;
	return (uint32_t)dl_hash(s, 0);
}

/* Adds a member to its domain's hash, or removes it (XOR). */
static void toggle_hash(struct dl_memb *memb, struct memb_peer *peer,
			int64_t now)
{
	memb->epoch++;
	memb->domains[peer->domain].hash ^= peer_hash(peer);
	memb->domains[peer->domain].hash_changed = now;
}

/*
 * Whether a member is live according to gossip, even if its domain is
 * unreachable.
 */
bool memb_gossip_live(const struct memb_peer *peer)
{
	return peer->gossip_state == DL_ALIVE ||
	       peer->gossip_state == DL_SUSPECT;
}

/* Queues an event for a member. */
static void mark_dirty(struct dl_memb *memb, struct memb_peer *peer)
{
	if (peer->dirty)
		return;
	peer->dirty = true;
	memb->dirty++;
}

/* Queues a member for so many gossip retransmissions. */
static void queue_gossip(struct dl_memb *memb, struct memb_peer *peer,
			 uint32_t count)
{
	/*
	 * Send a digest soon, so that other domains need not wait for the next
	 * round.
	 */
	if (peer->domain == 0 && count > MEMB_VERSION_RETRANSMITS &&
	    memb->next_digest > memb->last_now + memb->conf.ack_ms)
		memb->next_digest = memb->last_now + memb->conf.ack_ms;
	if (count > RETRANSMITS_MAX)
		count = RETRANSMITS_MAX;
	if (peer->retransmits == 0 && count)
		memb->gossip_pending++;
	if (peer->retransmits < count)
		peer->retransmits = (uint8_t)count;
}

/*
 * Returns how often each VM retransmits a change of state: enough for gossip to
 * miss about one VM in a thousand, which the comparison of hashes repairs.
 */
static uint32_t state_retransmits(const struct dl_memb *memb)
{
	return RETRANSMITS_EXTRA + memb_log2(memb->domains[0].live + 1);
}

/*
 * Shows a member's gossip state to callers, or dead if its domain is
 * unreachable.
 */
static void publish_state(struct dl_memb *memb, struct memb_peer *peer,
			  int64_t now)
{
	enum dl_memb_state state = peer->gossip_state;

	if (memb->domains[peer->domain].unreachable && memb_gossip_live(peer) &&
	    peer != &memb->peers[0])
		state = DL_DEAD;
	if (state == peer->m.state)
		return;
	memb->epoch++;
	peer->m.state = state;
	peer->m.since = now;
	mark_dirty(memb, peer);
}

/* Sets a member's gossip state. */
static void set_gossip_state(struct dl_memb *memb, struct memb_peer *peer,
			     enum dl_memb_state state, int64_t now)
{
	uint32_t scale = memb_log2(memb->domains[0].live + 1);

	if (scale < SUSPECT_LOG2_MIN)
		scale = SUSPECT_LOG2_MIN;
	if (peer->gossip_state == DL_SUSPECT)
		memb->suspects--;
	memb->domains[peer->domain].live -= memb_gossip_live(peer);
	toggle_hash(memb, peer, now);
	peer->gossip_state = state;
	memb->domains[peer->domain].live += memb_gossip_live(peer);
	toggle_hash(memb, peer, now);
	if (state != DL_SUSPECT)
		peer->verify = false;
	if (state == DL_SUSPECT) {
		memb->suspects++;
		peer->suspect_deadline = now + (int64_t)memb->conf.suspect_ms *
						       scale / SUSPECT_LOG2_MIN;
	}
	publish_state(memb, peer, now);
}

/* Removes a member; the last one moves to its index. */
static void drop_peer(struct dl_memb *memb, uint32_t index)
{
	struct memb_peer *peer = &memb->peers[index];

	if (peer->dirty)
		memb->dirty--;
	if (peer->retransmits)
		memb->gossip_pending--;
	if (peer->gossip_state == DL_SUSPECT)
		memb->suspects--;
	memb->domains[peer->domain].hash ^= peer_hash(peer);
	memb->domains[peer->domain].members--;
	memb->domains[peer->domain].live -= memb_gossip_live(peer);
	memb->npeers--;
	memb->epoch++;
	*peer = memb->peers[memb->npeers];
	rehash(memb);
}

/* Removes the member that has been gone longest; false if none is gone. */
static bool drop_oldest_gone(struct dl_memb *memb)
{
	uint32_t oldest = 0;

	for (uint32_t i = 1; i < memb->npeers; i++) {
		if (memb_peer_live(&memb->peers[i]))
			continue;
		if (!oldest ||
		    memb->peers[i].m.since < memb->peers[oldest].m.since)
			oldest = i;
	}
	if (oldest)
		drop_peer(memb, oldest);
	return oldest != 0;
}

/* Adds an unknown member; false if there is no room, which is counted. */
static bool add_peer(struct dl_memb *memb, const struct memb_update *u,
		     int64_t now)
{
	int domain = intern_domain(memb, u->domain, now);
	struct memb_peer *peer;

	/* A record of a member that is gone is needed less than a live one. */
	if (domain < 0 || (!grow(memb) && !drop_oldest_gone(memb))) {
		memb->ignored++;
		return false;
	}
	peer = &memb->peers[memb->npeers];
	memset(peer, 0, sizeof(*peer));
	peer->domain = (uint8_t)domain;
	peer->m.vm = u->vm;
	peer->m.incarnation = u->incarnation;
	peer->m.domain = memb->domains[domain].name;
	peer->m.replica = u->replica;
	peer->m.draining = u->draining;
	peer->m.config_version = u->config_version;
	peer->m.since = now;
	peer->last_direct_probe = INT64_MIN / 2;
	memb->npeers++;
	memb->domains[domain].members++;
	memb->domains[domain].live++;
	memb->slots[find_slot(memb, u->vm)] = memb->npeers;
	toggle_hash(memb, peer, now);
	if (u->state == DL_SUSPECT)
		set_gossip_state(memb, peer, DL_SUSPECT, now);
	publish_state(memb, peer, now);
	mark_dirty(memb, peer);
	queue_gossip(memb, peer, state_retransmits(memb));
	return true;
}

/*
 * Removes members that have been gone for a day, and the oldest of more than
 * TOMBSTONES_MAX. Until then their records keep stale updates from reviving
 * them.
 */
void memb_expire_dead(struct dl_memb *memb, int64_t now)
{
	uint32_t gone = 0;

	for (uint32_t i = memb->npeers; i-- > 1;) {
		const struct memb_peer *peer = &memb->peers[i];

		if (memb_peer_live(peer))
			continue;
		if (now - peer->m.since > DEAD_EXPIRY_MS) {
			drop_peer(memb, i);
			continue;
		}
		gone++;
	}
	if (gone > TOMBSTONES_MAX)
		drop_oldest_gone(memb);
}

/* Suspects a member that did not answer this VM's probe. */
void memb_suspect(struct dl_memb *memb, struct memb_peer *peer, int64_t now)
{
	if (peer->gossip_state != DL_ALIVE)
		return;
	set_gossip_state(memb, peer, DL_SUSPECT, now);
	queue_gossip(memb, peer, state_retransmits(memb));
	memb_gossip_now(memb);
}

/* Declares a suspect dead because it did not refute in time. */
void memb_declare_dead(struct dl_memb *memb, struct memb_peer *peer,
		       int64_t now)
{
	if (peer->gossip_state != DL_SUSPECT)
		return;
	set_gossip_state(memb, peer, DL_DEAD, now);
	queue_gossip(memb, peer, state_retransmits(memb));
	memb_gossip_now(memb);
}

/*
 * Marks a domain as unreachable, which shows its live members as dead, or
 * undoes it.
 */
void memb_domain_set_unreachable(struct dl_memb *memb, uint32_t domain,
				 bool unreachable, int64_t now)
{
	if (memb->domains[domain].unreachable == unreachable)
		return;
	memb->domains[domain].unreachable = unreachable;
	for (uint32_t i = 1; i < memb->npeers; i++) {
		if (memb->peers[i].domain == domain)
			publish_state(memb, &memb->peers[i], now);
	}
}

/* Refutes an update about this VM that is wrong, by raising its incarnation. */
static void refute(struct dl_memb *memb, const struct memb_update *u,
		   int64_t now)
{
	struct memb_peer *self = &memb->peers[0];
	bool wrong = u->state != DL_ALIVE && !memb->left;

	if (u->incarnation < self->m.incarnation)
		return;
	if (u->incarnation == self->m.incarnation && !wrong)
		return;
	toggle_hash(memb, self, now);
	self->m.incarnation = u->incarnation + 1;
	toggle_hash(memb, self, now);
	queue_gossip(memb, self, state_retransmits(memb));
}

/*
 * Handles a reported death. For a live member of our own domain, or from an
 * untrusted VM, the member only becomes suspect, because it can be probed;
 * returns whether that is so.
 */
static bool suspect_instead(struct dl_memb *memb, struct memb_peer *peer,
			    const struct memb_update *u, enum memb_trust trust,
			    int64_t now)
{
	if (u->state != DL_DEAD || peer->gossip_state != DL_ALIVE)
		return false;
	if (peer->domain != 0 && trust != MEMB_UNTRUSTED)
		return false;
	peer->verify = true;
	set_gossip_state(memb, peer, DL_SUSPECT, now);
	queue_gossip(memb, peer, state_retransmits(memb));
	memb_probe_now(memb, peer, now);
	return true;
}

/* Moves a member to another domain, as reported by the member. */
static void move_domain(struct dl_memb *memb, struct memb_peer *peer,
			struct dl_str name, int64_t now)
{
	int domain;

	if (name.n == 0 || dl_name_eq(&peer->m.domain, name))
		return;
	domain = intern_domain(memb, name, now);
	if (domain < 0)
		return;
	memb->domains[peer->domain].members--;
	memb->domains[peer->domain].live -= memb_gossip_live(peer);
	memb->domains[domain].members++;
	memb->domains[domain].live += memb_gossip_live(peer);
	peer->domain = (uint8_t)domain;
	peer->m.domain = memb->domains[domain].name;
}

/* Applies an update with a higher incarnation. */
static void merge_newer_incarnation(struct dl_memb *memb,
				    struct memb_peer *peer,
				    const struct memb_update *u,
				    enum memb_trust trust, int64_t now)
{
	toggle_hash(memb, peer, now);
	move_domain(memb, peer, u->domain, now);
	peer->m.incarnation = u->incarnation;
	peer->m.replica = u->replica;
	peer->m.draining = u->draining;
	if (peer->m.config_version < u->config_version)
		peer->m.config_version = u->config_version;
	toggle_hash(memb, peer, now);
	mark_dirty(memb, peer);
	if (!suspect_instead(memb, peer, u, trust, now))
		set_gossip_state(memb, peer, u->state, now);
	queue_gossip(memb, peer, state_retransmits(memb));
}

/* Applies an update with the known incarnation. */
static void merge_same_incarnation(struct dl_memb *memb, struct memb_peer *peer,
				   const struct memb_update *u,
				   enum memb_trust trust, int64_t now)
{
	if (peer->m.config_version < u->config_version) {
		toggle_hash(memb, peer, now);
		peer->m.config_version = u->config_version;
		toggle_hash(memb, peer, now);
		queue_gossip(memb, peer, MEMB_VERSION_RETRANSMITS);
	}
	if (u->state > peer->gossip_state) {
		if (suspect_instead(memb, peer, u, trust, now))
			return;
		set_gossip_state(memb, peer, u->state, now);
		queue_gossip(memb, peer, state_retransmits(memb));
		if (u->state == DL_SUSPECT && peer->domain == 0)
			memb_probe_now(memb, peer, now);
		return;
	}
	if (u->state == DL_ALIVE && peer->gossip_state == DL_DEAD &&
	    (trust == MEMB_SELF || peer->domain == 0))
		memb_probe_now(memb, peer, now);
}

/* Merges an update of a member. */
void memb_merge(struct dl_memb *memb, const struct memb_update *u,
		enum memb_trust trust, int64_t now)
{
	struct memb_peer *peer;

	if (u->vm == memb->conf.self) {
		refute(memb, u, now);
		return;
	}
	peer = memb_peer(memb, u->vm);
	if (!peer) {
		if (u->state == DL_ALIVE || u->state == DL_SUSPECT)
			add_peer(memb, u, now);
		return;
	}
	if (u->incarnation > peer->m.incarnation)
		merge_newer_incarnation(memb, peer, u, trust, now);
	else if (u->incarnation == peer->m.incarnation)
		merge_same_incarnation(memb, peer, u, trust, now);
}

/* Queues a datagram. If the queue is full, it is dropped like a lost one. */
void memb_queue(struct dl_memb *memb, enum memb_kind kind, uint64_t to,
		uint32_t seq, uint64_t target)
{
	struct memb_intent *intent;

	if (memb->queue_len == MEMB_QUEUE_MAX) {
		memb->dropped++;
		return;
	}
	intent = &memb->queue[(memb->queue_head + memb->queue_len) %
			      MEMB_QUEUE_MAX];
	memb->queue_len++;
	intent->kind = kind;
	intent->to = to;
	intent->seq = seq;
	intent->target = target;
	intent->page = 0;
}

/* Returns how often a live VM was ignored because the tables are full. */
uint64_t dl_memb_ignored(const struct dl_memb *memb)
{
	return memb->ignored;
}

/* Returns how many datagrams were dropped because the queue was full. */
uint64_t dl_memb_dropped(const struct dl_memb *memb)
{
	return memb->dropped;
}

/* Adds an address from the settings, which is contacted until it answers. */
void dl_memb_add_seed(struct dl_memb *memb, uint64_t vm, int64_t now)
{
	if (vm == memb->conf.self || vm == DL_VM_NONE)
		return;
	for (uint32_t i = 0; i < memb->nseeds; i++) {
		if (memb->seeds[i] == vm)
			return;
	}
	if (memb->nseeds == MEMB_SEEDS_MAX)
		return;
	memb->seeds[memb->nseeds++] = vm;
	memb->next_seed = now;
}

/*
 * Sends a datagram to some live peers at once; each carries the sender's state.
 */
static void notify_live_peers(struct dl_memb *memb, enum memb_kind kind)
{
	uint32_t start = (uint32_t)(memb_random(memb) % memb->npeers);

	for (uint32_t i = 0, sent = 0; i < memb->npeers; i++) {
		struct memb_peer *peer =
			&memb->peers[(start + i) % memb->npeers];

		if (peer->m.vm == memb->conf.self || !memb_peer_live(peer))
			continue;
		if (sent++ == MEMB_NOTIFY_MAX)
			break;
		memb_queue(memb, kind, peer->m.vm,
			   kind == MEMB_PING ? ++memb->seq : 0, 0);
	}
}

/*
 * Sends this VM's own state and that of another VM to a VM at once. A change
 * reaches only some VMs that way, and through gossip the rest: of 122 the last
 * one learned after 2.6 s that a VM drains, which is too late for the VM that
 * dispatches next. An ack without a probe carries the states; nothing answers.
 */
void dl_memb_tell(struct dl_memb *memb, uint64_t to, uint64_t about)
{
	const struct memb_peer *peer = memb_peer(memb, to);

	if (peer && peer != &memb->peers[0])
		memb_queue(memb, MEMB_ACK, to, 0, about);
}

/*
 * Sets the state that this VM announces of itself. A version lower than the
 * last one is ignored.
 */
void dl_memb_update_self(struct dl_memb *memb, bool draining,
			 uint64_t config_version, int64_t now)
{
	struct memb_peer *self = &memb->peers[0];

	toggle_hash(memb, self, now);
	if (self->m.draining != draining) {
		self->m.draining = draining;
		self->m.incarnation++;
		mark_dirty(memb, self);
		queue_gossip(memb, self, state_retransmits(memb));
		/*
		 * A draining VM no longer dispatches. When others learned this
		 * from probes only, it took them 0.3 to 2 s, during which they
		 * kept sending requests to it.
		 */
		notify_live_peers(memb, MEMB_PING);
	}
	if (self->m.config_version < config_version) {
		self->m.config_version = config_version;
		queue_gossip(memb, self, MEMB_VERSION_RETRANSMITS);
	}
	toggle_hash(memb, self, now);
}

/* Notifies peers that this VM is leaving, so that it is not suspected. */
void dl_memb_leave(struct dl_memb *memb, int64_t now)
{
	if (memb->left)
		return;
	memb->left = true;
	set_gossip_state(memb, &memb->peers[0], DL_LEFT, now);
	notify_live_peers(memb, MEMB_LEAVE);
}

/*
 * Merges the newest configuration version known to the sender, and the VM that
 * has it.
 */
static void merge_newest_config(struct dl_memb *memb,
				const struct memb_msg *msg, int64_t now)
{
	struct memb_peer *peer = memb_peer(memb, msg->newest_vm);

	if (!peer || peer == &memb->peers[0] ||
	    peer->m.config_version >= msg->newest_version)
		return;
	toggle_hash(memb, peer, now);
	peer->m.config_version = msg->newest_version;
	toggle_hash(memb, peer, now);
	queue_gossip(memb, peer, MEMB_VERSION_RETRANSMITS);
}

/* Returns how far the updates in a datagram are trusted. */
static enum memb_trust sender_trust(struct dl_memb *memb,
				    const struct memb_msg *msg)
{
	uint32_t tag = (uint32_t)dl_hash(msg->self.domain, 0);
	const struct memb_domain *d = memb_domain_of_tag(memb, tag);

	if (d && d != memb->domains && (uint64_t)msg->live * 2 < d->live)
		return MEMB_UNTRUSTED;
	return MEMB_TRUSTED;
}

/*
 * Handles a received datagram. Returns 0, -EBADMSG if it is malformed, or
 * -EINVAL if it is from this VM itself.
 */
int dl_memb_receive(struct dl_memb *memb, uint64_t from, struct dl_str datagram,
		    int64_t now)
{
	enum memb_trust trust;
	struct memb_msg msg;
	int r = memb_decode(datagram, from, &msg);

	if (r)
		return r;
	if (from == memb->conf.self)
		return -EINVAL;
	memb_check_pause(memb, now);
	memb->joined = true;
	if (dl_name_eq(&memb->conf.domain, msg.self.domain))
		memb->domains[0].last_contact = now;
	memb_merge(memb, &msg.self, MEMB_SELF, now);
	trust = sender_trust(memb, &msg);
	for (uint32_t i = 0; i < msg.nupdates; i++)
		memb_merge(memb, &msg.updates[i], trust, now);
	merge_newest_config(memb, &msg, now);
	memb_sync_domains(memb, from, &msg, now);
	switch (msg.kind) {
	case MEMB_PING:
		memb_on_ping(memb, from, &msg);
		break;
	case MEMB_ACK:
		memb_on_ack(memb, from, &msg);
		break;
	case MEMB_RELAY:
		memb_on_relay(memb, from, &msg);
		break;
	case MEMB_PULL:
		memb_queue(memb, MEMB_PAGE, from, msg.seq, msg.target);
		break;
	case MEMB_PAGE:
		if (msg.seq - memb->refresh_seq < MEMB_REFRESH_PULLS)
			memb->refreshing = false;
		break;
	case MEMB_DIGEST:
		memb_queue(memb, MEMB_DIGEST_ACK, from, msg.seq, 0);
		break;
	default:
		break;
	}
	return 0;
}

/*
 * Gets the next datagram to send, into buf of DL_MEMB_DATAGRAM_MAX bytes; false
 * if there is none. It runs due timers first, so it must be called until it
 * returns false.
 */
bool dl_memb_next_datagram(struct dl_memb *memb, int64_t now, uint64_t *to,
			   char *buf, size_t *n)
{
	memb_check_pause(memb, now);
	memb_tick(memb, now);
	while (memb->queue_len) {
		struct memb_intent *intent = &memb->queue[memb->queue_head];

		*to = intent->to;
		*n = memb_encode(memb, intent, now, buf);
		if (intent->page == 0) {
			memb->queue_head =
				(memb->queue_head + 1) % MEMB_QUEUE_MAX;
			memb->queue_len--;
		}
		if (*n)
			return true;
	}
	return false;
}

/* Returns the latest time for the next call of dl_memb_next_datagram(). */
int64_t dl_memb_next_wakeup(const struct dl_memb *memb)
{
	return memb->queue_len ? memb->last_now : memb_next_tick(memb);
}

/*
 * Gets the next change of a member's state, incarnation or draining since the
 * last call; false if there is none. Several changes of one member are reported
 * as one.
 */
bool dl_memb_next_event(struct dl_memb *memb, struct dl_member *out)
{
	while (memb->dirty) {
		struct memb_peer *peer;

		memb->dirty_next %= memb->npeers;
		peer = &memb->peers[memb->dirty_next++];
		if (!peer->dirty)
			continue;
		peer->dirty = false;
		memb->dirty--;
		*out = peer->m;
		return true;
	}
	return false;
}
