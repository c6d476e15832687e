/*
 * Internals of membership: the tables of members and domains, the queue of
 * datagrams, and the functions shared by the memb_*.c files.
 */
#ifndef DL_MEMB_INT_H
#define DL_MEMB_INT_H

#include "daisyledge/memb.h"

/* Limits that bound memory whatever the received datagrams contain. */
#define MEMB_MEMBERS_MAX   4096
#define MEMB_DOMAINS_MAX   16
#define MEMB_SEEDS_MAX	   64
#define MEMB_QUEUE_MAX	   512 /* datagrams to be encoded */
#define MEMB_RELAYS_MAX	   64  /* indirect probes for other VMs */
#define MEMB_OWNERS	   64  /* cached owners; a power of two */
#define MEMB_UPDATES_MAX   64  /* updates in one datagram */
#define MEMB_PIGGYBACK_MAX 24  /* of them on probes and acks */

#define MEMB_INDIRECT		 3 /* VMs asked for an indirect probe */
#define MEMB_GATEWAYS		 3 /* per domain, for digests */
#define MEMB_NOTIFY_MAX		 16
#define MEMB_GOSSIP_FANOUT	 3 /* VMs pinged at once after a verdict */
#define MEMB_REFRESH_PULLS	 3
#define MEMB_VERSION_RETRANSMITS 3 /* for a change of version only */

/* Type of a datagram; the numbers are part of the wire format. */
enum memb_kind {
	MEMB_PING = 1,
	MEMB_ACK = 2,
	MEMB_RELAY = 3, /* request to probe the target */
	MEMB_PULL = 4,	/* request for the members of one domain, or of all */
	MEMB_PAGE = 5,	/* part of the answer to a pull */
	MEMB_DIGEST = 6,
	MEMB_DIGEST_ACK = 7,
	MEMB_LEAVE = 8,
	MEMB_KIND_END,
};

/* How far an update is trusted. */
enum memb_trust {
	MEMB_SELF,	/* from the member itself */
	MEMB_TRUSTED,	/* from a VM with the same view as ours */
	MEMB_UNTRUSTED, /* from a VM that sees less than half of its domain */
};

/* State of a member as sent in a datagram. */
struct memb_update {
	uint64_t vm;
	uint64_t incarnation;
	uint64_t config_version;
	enum dl_memb_state state;
	bool replica;
	bool draining;
	struct dl_str domain;
};

/* Summary of what the sender knows of a domain. */
struct memb_sync {
	uint32_t tag;	 /* hash of the domain name */
	uint32_t hash;	 /* over its live members */
	uint32_t age_ms; /* since its last answer to the sender's domain */
};

/* A decoded datagram; strings point into it. */
struct memb_msg {
	enum memb_kind kind;
	uint32_t seq;
	uint64_t target; /* relay, ack: member; pull: domain tag */
	struct memb_update self;
	uint64_t newest_vm;
	uint64_t newest_version;
	uint32_t live; /* in its domain, as it sees them */
	uint32_t nsync;
	uint32_t nupdates;
	struct memb_sync sync[MEMB_DOMAINS_MAX];
	struct memb_update updates[MEMB_UPDATES_MAX];
};

/* A failure domain. */
struct memb_domain {
	struct dl_name name;
	uint32_t tag;
	uint32_t hash;	  /* over live members, independent of order */
	uint32_t members; /* in the table, including dead ones */
	uint32_t live;	  /* live members according to gossip */
	bool unreachable; /* no answer from it: its members are shown as dead */
	int64_t last_contact; /* by any VM of our domain, as far as known */
	int64_t hash_changed; /* last change of hash */
	int64_t last_pull;
};

/* A member and its protocol state. */
struct memb_peer {
	struct dl_member m;		 /* as shown to callers */
	enum dl_memb_state gossip_state; /* ignores domain.unreachable */
	uint8_t domain;			 /* index into domains */
	uint8_t retransmits;		 /* remaining gossip retransmissions */
	bool dirty;			 /* an event is pending */
	bool verify;	  /* this VM has to confirm whether it is dead */
	bool unreachable; /* it does not answer this VM */
	int64_t suspect_deadline;  /* while gossip_state is DL_SUSPECT */
	int64_t last_direct_probe; /* last probe outside the probe order */
};

/* A queued datagram; it is encoded when it is sent. */
struct memb_intent {
	enum memb_kind kind;
	uint32_t seq;
	uint32_t page; /* index of the next member to send in a page */
	uint64_t to;
	uint64_t target;
};

/* The probe in progress. */
struct memb_probe {
	uint64_t vm; /* DL_VM_NONE if there is none */
	uint32_t seq;
	bool indirect; /* indirect probes were requested */
	int64_t started;
};

/* An indirect probe in progress for another VM. */
struct memb_relay {
	uint64_t origin;
	uint64_t target;
	uint32_t origin_seq;
	uint32_t seq;
};

/* A cached owner; valid while the epoch is unchanged. */
struct memb_owner {
	uint64_t epoch; /* 0: unused */
	uint64_t key;
	uint64_t owner;
	uint32_t domain;
};

struct dl_memb {
	struct dl_memb_conf conf;
	struct memb_peer *peers; /* [0] is this VM */
	uint32_t npeers;
	uint32_t peers_cap;
	uint32_t *slots; /* hash table by VM: index + 1, 0 is empty */
	uint32_t nslots;
	uint32_t dirty;	     /* number of pending events */
	uint32_t dirty_next; /* where the search for the next event starts */
	uint32_t gossip_pending; /* members with retransmits left */
	uint32_t suspects;
	uint64_t ignored;	   /* live VMs for which there was no room */
	uint64_t dropped;	   /* datagrams for which the queue was full */
	uint64_t epoch;		   /* incremented at each change of members */
	struct memb_owner *owners; /* MEMB_OWNERS entries, indexed by key */

	struct memb_domain domains[MEMB_DOMAINS_MAX]; /* [0] is ours */
	uint32_t ndomains;

	struct memb_intent queue[MEMB_QUEUE_MAX];
	uint32_t queue_head;
	uint32_t queue_len;
	struct memb_relay relays[MEMB_RELAYS_MAX];
	uint32_t relay_next;
	struct memb_probe probe;
	uint64_t *probe_order; /* shuffled VMs of our domain still to probe */
	uint32_t probe_order_len;
	uint32_t probe_order_cap;
	uint64_t seeds[MEMB_SEEDS_MAX];
	uint32_t nseeds;
	uint32_t seed_next;

	uint64_t rng;
	uint32_t seq;
	uint32_t digest_rounds;	   /* digest rounds sent */
	int64_t last_unknown_pull; /* last pull of an unknown domain */
	bool left;
	bool joined;	      /* another VM has answered */
	bool refreshing;      /* after a pause; suspects nobody */
	uint32_t refresh_seq; /* seq of the first pull of the refresh */
	int64_t refresh_until;
	int64_t last_now;
	int64_t next_probe;
	int64_t next_digest;
	int64_t next_seed;
	int64_t next_dead_probe; /* probe of a dead member */
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
				 bool unreachable, int64_t now);
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
