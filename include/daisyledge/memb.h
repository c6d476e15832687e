/*
 * Membership: which VMs live, from randomised probes with indirect probes and
 * incarnation numbers within a failure domain, and digests that a few VMs
 * exchange between domains.  Pure: datagrams are taken from
 * dl_memb_next_datagram() and given to dl_memb_receive(); the caller passes the
 * present time.
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
	bool replica;  /* a replica process, not an entry */
	bool draining; /* takes no new requests or dispatching */
	uint64_t config_version;
	int64_t since; /* in this state, local clock */
};

struct dl_memb_conf {
	uint64_t self;
	uint64_t incarnation; /* higher at each start */
	struct dl_name domain;
	bool replica;
	uint32_t probe_ms;   /* one probe of a random peer each period */
	uint32_t ack_ms;     /* then indirect probes */
	uint32_t suspect_ms; /* then dead */
	uint32_t digest_ms;  /* between domains */
	uint32_t datagram_max;
};

#define DL_MEMB_DATAGRAM_MAX 1200

void dl_memb_defaults(struct dl_memb_conf *conf);
struct dl_memb *dl_memb_new(const struct dl_memb_conf *conf, uint64_t seed,
			    int64_t now);
void dl_memb_free(struct dl_memb *memb);
/* An address from the settings: asked until it answers. */
void dl_memb_add_seed(struct dl_memb *memb, uint64_t vm, int64_t now);
/* What this VM says of itself from now on. */
void dl_memb_update_self(struct dl_memb *memb, bool draining,
			 uint64_t config_version, int64_t now);
/* Tell peers that this VM leaves, so that nobody need suspect it. */
void dl_memb_leave(struct dl_memb *memb, int64_t now);

int dl_memb_receive(struct dl_memb *memb, uint64_t from, struct dl_str datagram,
		    int64_t now);
/* The next datagram to send, into buf (DL_MEMB_DATAGRAM_MAX); false at none. */
bool dl_memb_next_datagram(struct dl_memb *memb, int64_t now, uint64_t *to,
			   char *buf, size_t *n);
int64_t dl_memb_next_wakeup(const struct dl_memb *memb);
/* The next change of a member's state since the last call; false at none. */
bool dl_memb_next_event(struct dl_memb *memb, struct dl_member *out);

const struct dl_member *dl_memb_find(const struct dl_memb *memb, uint64_t vm);
/* Walk the members, this VM included; NULL past the last. */
const struct dl_member *dl_memb_at(const struct dl_memb *memb, uint32_t index);
/* The highest configuration version that any live VM shows, and one such VM. */
uint64_t dl_memb_newest_config(const struct dl_memb *memb, uint64_t *vm);
/*
 * A VM that does not answer this one, whatever membership says of it, owns
 * nothing in this VM's eyes until it is said to answer again.
 */
void dl_memb_set_unreachable(struct dl_memb *memb, uint64_t vm,
			     bool unreachable);
/*
 * The live, undrained entry of a failure domain that rendezvous hashing names
 * for a key; DL_VM_NONE where there is none.
 */
uint64_t dl_memb_owner(const struct dl_memb *memb, struct dl_str domain,
		       uint64_t key);

#endif
