/*
 * Membership, inside: the table of members, the domains, the datagrams still
 * to be sent, and what the files of this part ask of each other.
 */
#ifndef DL_MEMB_INT_H
#define DL_MEMB_INT_H

#include "daisyledge/memb.h"

/* Bounds: memory stays bounded whatever the datagrams say. */
#define MEMB_MEMBERS_MAX   4096
#define MEMB_DOMAINS_MAX   16
#define MEMB_SEEDS_MAX	   64
#define MEMB_QUEUE_MAX	   512 /* datagrams waiting to be encoded */
#define MEMB_RELAYS_MAX	   64  /* indirect probes under way for others */
#define MEMB_OWNERS	   64  /* owners remembered; a power of two */
#define MEMB_UPDATES_MAX   64  /* updates in one datagram */
#define MEMB_PIGGYBACK_MAX 24  /* of them on probes and their answers */

#define MEMB_INDIRECT	   3 /* VMs asked to probe for us */
#define MEMB_GATEWAYS	   3 /* VMs of a domain that speak to other domains */
#define MEMB_NOTIFY_MAX	   16
#define MEMB_GOSSIP_FANOUT 3 /* VMs told of a verdict at once */
#define MEMB_REFRESH_PULLS 3
#define MEMB_VERSION_RETRANSMITS                                               \
	3 /* repetitions of a mere change of version                           \
	   */

/* What a datagram is for; numbers never change their meaning. */
enum memb_kind {
	MEMB_PING = 1,
	MEMB_ACK = 2,
	MEMB_RELAY = 3, /* probe the target for me */
	MEMB_PULL = 4,	/* tell me a domain, or all */
	MEMB_PAGE = 5,	/* a part of what was asked for */
	MEMB_DIGEST = 6,
	MEMB_DIGEST_ACK = 7,
	MEMB_LEAVE = 8,
	MEMB_KIND_END,
};

/* How far news is believed. */
enum memb_trust {
	MEMB_SELF,	/* from the member itself */
	MEMB_TRUSTED,	/* from one who sees what we see */
	MEMB_UNTRUSTED, /* from one who sees less than half of its domain */
};

/* What is said of a member in a datagram. */
struct memb_update {
	uint64_t vm;
	uint64_t incarnation;
	uint64_t config_version;
	enum dl_memb_state state;
	bool replica;
	bool draining;
	struct dl_str domain;
};

/* What a sender knows of a domain, in short. */
struct memb_sync {
	uint32_t tag;	 /* hash of the domain's name */
	uint32_t hash;	 /* over its live members */
	uint32_t age_ms; /* since one of our domain was answered by it */
};

/* A datagram after decoding; strings point into it. */
struct memb_msg {
	enum memb_kind kind;
	uint32_t seq;
	uint64_t target; /* of a relay or its answer; a tag in a pull */
	struct memb_update self;
	uint64_t newest_vm;
	uint64_t newest_version;
	uint32_t live; /* members of its domain that the sender sees */
	uint32_t nsync;
	uint32_t nupdates;
	struct memb_sync sync[MEMB_DOMAINS_MAX];
	struct memb_update updates[MEMB_UPDATES_MAX];
};

/* A failure domain. */
struct memb_domain {
	struct dl_name name;
	uint32_t tag;
	uint32_t hash;	      /* over live members, order does not matter */
	uint32_t members;     /* in the table, dead ones included */
	uint32_t live;	      /* of them, as gossip has it */
	bool unreachable;     /* no answer from it: its members count as dead */
	int64_t last_contact; /* by any VM of ours, as far as known */
	int64_t hash_changed; /* its hash, last */
	int64_t last_pull;
};

/* A member and what is under way about it. */
struct memb_peer {
	struct dl_member m; /* as shown */
	enum dl_memb_state
		gossip_state;	   /* as gossip has it; m.state minds cuts */
	uint8_t domain;		   /* index */
	uint8_t retransmits;	   /* repetitions left */
	bool dirty;		   /* an event waits */
	bool verify;		   /* this VM is to see whether it is dead */
	bool unreachable;	   /* it does not answer this VM */
	int64_t suspect_deadline;  /* while said is DL_SUSPECT */
	int64_t last_direct_probe; /* last probed out of turn */
};

/* A datagram to be encoded when it is sent. */
struct memb_intent {
	enum memb_kind kind;
	uint32_t seq;
	uint32_t page; /* index of the next member of a page */
	uint64_t to;
	uint64_t target;
};

/* The one probe under way. */
struct memb_probe {
	uint64_t vm; /* DL_VM_NONE: none */
	uint32_t seq;
	bool indirect; /* others were asked */
	int64_t started;
};

/* An indirect probe under way for another VM. */
struct memb_relay {
	uint64_t origin;
	uint64_t target;
	uint32_t origin_seq;
	uint32_t seq;
};

/* An owner found before, good as long as the members are the same. */
struct memb_owner {
	uint64_t epoch; /* 0: none */
	uint64_t key;
	uint64_t owner;
	uint32_t domain;
};

struct dl_memb {
	struct dl_memb_conf conf;
	struct memb_peer *peers; /* [0] is this VM */
	uint32_t npeers;
	uint32_t peers_cap;
	uint32_t *slots; /* by hash of the VM: index + 1, 0 is empty */
	uint32_t nslots;
	uint32_t dirty;		 /* events that wait */
	uint32_t dirty_next;	 /* where to look for the next */
	uint32_t gossip_pending; /* members with repetitions left */
	uint32_t suspects;
	uint64_t epoch;		   /* counts changes of members */
	struct memb_owner *owners; /* MEMB_OWNERS of them, by key */

	struct memb_domain domains[MEMB_DOMAINS_MAX]; /* [0] is our own */
	uint32_t ndomains;

	struct memb_intent queue[MEMB_QUEUE_MAX];
	uint32_t queue_head;
	uint32_t queue_len;
	struct memb_relay relays[MEMB_RELAYS_MAX];
	uint32_t relay_next;
	struct memb_probe probe;
	uint64_t *
		probe_order; /* shuffled VMs of our domain still to be probed */
	uint32_t probe_order_len;
	uint32_t probe_order_cap;
	uint64_t seeds[MEMB_SEEDS_MAX];
	uint32_t nseeds;
	uint32_t seed_next;

	uint64_t rng;
	uint32_t seq;
	uint32_t digest_rounds;	   /* rounds sent */
	int64_t last_unknown_pull; /* a domain that was not known */
	bool left;
	bool joined;	      /* some other VM has answered */
	bool refreshing;      /* after a pause: nothing is judged yet */
	uint32_t refresh_seq; /* the first of those asked for it */
	int64_t refresh_until;
	int64_t last_now;
	int64_t next_probe;
	int64_t next_digest;
	int64_t next_seed;
	int64_t next_dead_probe; /* re-probe of a dead member */
	int64_t next_sweep;
};

/* memb.c */
struct memb_peer *memb_peer(const struct dl_memb *memb, uint64_t vm);
bool memb_peer_live(const struct memb_peer *peer);
bool memb_gossip_live(const struct memb_peer *peer);
uint64_t memb_random(struct dl_memb *memb);
uint32_t memb_log2(uint32_t n);
void memb_merge(struct dl_memb *memb, const struct memb_update *u,
		enum memb_trust trust, int64_t now);
void memb_suspect(struct dl_memb *memb, struct memb_peer *peer, int64_t now);
void memb_declare_dead(struct dl_memb *memb, struct memb_peer *peer,
		       int64_t now);
void memb_expire_dead(struct dl_memb *memb, int64_t now);
void memb_domain_set_unreachable(struct dl_memb *memb, uint32_t domain,
				 bool cut, int64_t now);
struct memb_domain *memb_domain_of_tag(struct dl_memb *memb, uint32_t tag);
void memb_queue(struct dl_memb *memb, enum memb_kind kind, uint64_t to,
		uint32_t seq, uint64_t target);

/* memb_wire.c */
int memb_decode(struct dl_str datagram, uint64_t from, struct memb_msg *out);
size_t memb_encode(struct dl_memb *memb, struct memb_intent *intent,
		   int64_t now, char *buf);

/* memb_probe.c */
void memb_tick(struct dl_memb *memb, int64_t now);
int64_t memb_next_tick(const struct dl_memb *memb);
void memb_check_pause(struct dl_memb *memb, int64_t now);
void memb_probe_now(struct dl_memb *memb, struct memb_peer *peer, int64_t now);
void memb_gossip_now(struct dl_memb *memb);
void memb_on_ack(struct dl_memb *memb, uint64_t from,
		 const struct memb_msg *msg);
void memb_on_ping(struct dl_memb *memb, uint64_t from,
		  const struct memb_msg *msg);
void memb_on_relay(struct dl_memb *memb, uint64_t from,
		   const struct memb_msg *msg);

/* memb_digest.c */
void memb_digest_round(struct dl_memb *memb, int64_t now);
void memb_sync_domains(struct dl_memb *memb, uint64_t from,
		       const struct memb_msg *msg, int64_t now);
void memb_check_domains(struct dl_memb *memb, int64_t now);
int64_t memb_domain_timeout_ms(const struct dl_memb *memb);
uint32_t memb_gateways(const struct dl_memb *memb, uint32_t domain,
		       uint64_t out[MEMB_GATEWAYS]);

#endif
