/*
 * Membership: which VMs are live. Within a failure domain, VMs use randomised
 * probes, indirect probes and incarnation numbers; between domains, a few VMs
 * exchange digests. The module does no I/O and reads no clock: datagrams are
 * taken from dl_memb_next_datagram() and passed to dl_memb_receive(), and the
 * caller passes the current time.
 */
#ifndef DAISYLEDGE_MEMB_H
#define DAISYLEDGE_MEMB_H

#include "daisyledge/base.h"

struct dl_memb;

enum dl_memb_state {
	DL_ALIVE,
	DL_SUSPECT,
	DL_DEAD,
	DL_LEFT
};

/* What one VM knows of another. */
struct dl_member {
	uint64_t vm;
	uint64_t incarnation;
	struct dl_name domain;
	enum dl_memb_state state;
	bool replica;  /* a replica process rather than an entry process */
	bool draining; /* accepts no new requests and no dispatching */
	uint64_t config_version;
	int64_t since; /* time of the change to this state, local clock */
};

struct dl_memb_conf {
	uint64_t self;
	uint64_t incarnation; /* higher at each start */
	struct dl_name domain;
	bool replica;
	uint32_t probe_ms;   /* period of probes, one random peer each */
	uint32_t ack_ms;     /* wait for an ack before indirect probes */
	uint32_t suspect_ms; /* time from suspect to dead */
	uint32_t digest_ms;  /* period of digests between domains */
	uint32_t datagram_max;
};

#define DL_MEMB_DATAGRAM_MAX 1200

void dl_memb_defaults(struct dl_memb_conf *conf);
struct dl_memb *dl_memb_new(const struct dl_memb_conf *conf, uint64_t seed,
			    int64_t now);
void dl_memb_free(struct dl_memb *memb);
/* Adds an address from the settings, which is contacted until it answers. */
void dl_memb_add_seed(struct dl_memb *memb, uint64_t vm, int64_t now);
/* Sets the state that this VM announces of itself. */
void dl_memb_update_self(struct dl_memb *memb, bool draining,
			 uint64_t config_version, int64_t now);
/* Notifies peers that this VM is leaving, so that it is not suspected. */
void dl_memb_leave(struct dl_memb *memb, int64_t now);

int dl_memb_receive(struct dl_memb *memb, uint64_t from, struct dl_str datagram,
		    int64_t now);
/*
 * Gets the next datagram to send, into buf of DL_MEMB_DATAGRAM_MAX bytes; false
 * if there is none.
 */
bool dl_memb_next_datagram(struct dl_memb *memb, int64_t now, uint64_t *to,
			   char *buf, size_t *n);
int64_t dl_memb_next_wakeup(const struct dl_memb *memb);
/*
 * Gets the next change of a member's state since the last call; false if there
 * is none.
 */
bool dl_memb_next_event(struct dl_memb *memb, struct dl_member *out);

const struct dl_member *dl_memb_find(const struct dl_memb *memb, uint64_t vm);
/* Iterates over the members, this VM included; NULL past the last. */
const struct dl_member *dl_memb_at(const struct dl_memb *memb, uint32_t index);
/*
 * How often a live VM was ignored since the start because too many VMs or
 * failure domains are known.
 */
uint64_t dl_memb_ignored(const struct dl_memb *memb);
/* How many datagrams were dropped since the start, as the queue was full. */
uint64_t dl_memb_dropped(const struct dl_memb *memb);
/*
 * The highest configuration version that any live VM reports, and one such VM.
 */
uint64_t dl_memb_newest_config(const struct dl_memb *memb, uint64_t *vm);
/*
 * Marks a VM that does not answer this one, whatever its membership state. From
 * the point of view of this VM it owns nothing until the mark is removed.
 */
void dl_memb_set_unreachable(struct dl_memb *memb, uint64_t vm,
			     bool unreachable);
/*
 * Sends this VM's own state and that of another VM, which may be DL_VM_NONE, to
 * a VM at once, which would learn of changes through gossip otherwise. Does
 * nothing if the receiver is not known.
 */
void dl_memb_tell(struct dl_memb *memb, uint64_t to, uint64_t about);
/*
 * The live, non-draining entry of a failure domain that rendezvous hashing
 * selects for a key; DL_VM_NONE if there is none.
 */
uint64_t dl_memb_owner(const struct dl_memb *memb, struct dl_str domain,
		       uint64_t key);
/*
 * The VM that dl_memb_owner() would select if a VM were gone; DL_VM_NONE if
 * there is none.  Marks nothing.
 */
uint64_t dl_memb_owner_without(const struct dl_memb *memb, struct dl_str domain,
			       uint64_t key, uint64_t vm);

#endif
