/* Internals of the replicated log, shared by rlog.c and rlog_*.c only. */
#ifndef DL_STATE_RLOG_INT_H
#define DL_STATE_RLOG_INT_H

#include <glib.h>

#include "daisyledge/rlog.h"

#define RLOG_INDEX_NONE UINT64_MAX

/* A join request counts for this long; they are sent twice a second. */
#define RLOG_JOIN_VALID_MS 3000
/* Requests kept of VMs that are neither configured nor members. */
#define RLOG_CANDIDATES_MAX 8
/* And those of VMs that are configured at start or by operators, or members. */
#define RLOG_JOINS_MAX (3 * DL_RLOG_MEMBERS_MAX + RLOG_CANDIDATES_MAX)

/* Entries after a base, in one array. */
struct rlog_entries {
	uint64_t base_index;
	uint64_t base_term;
	uint32_t count;
	uint32_t capacity;
	struct dl_rlog_entry *at;
	uint64_t *ends; /* cumulative bytes, this entry included */
	uint64_t base_bytes;
};

enum rlog_peer_mode {
	RLOG_REPLICATE, /* entries are pipelined */
	RLOG_PROBE,	/* looking for the last matching entry */
	RLOG_SNAPSHOT,	/* sending chunks of a snapshot */
};

/* Another member, as this replica knows it in its current role. */
struct rlog_peer {
	struct dl_rlog_member member;
	uint64_t domain;  /* its failure domain; 0: unknown */
	bool granted;	  /* granted its (pre-)vote in this election */
	bool not_leading; /* has said so since this replica started */
	int64_t heard;
	/* Used by the leader: */
	enum rlog_peer_mode mode;
	uint64_t next;
	uint64_t match;
	uint64_t commit_sent;
	int64_t sent;		/* time of the last APPEND or SNAPSHOT */
	int64_t acked_stamp;	/* the newest stamp echoed */
	int64_t disk_failed_at; /* its disk has failed since; INT64_MIN: no */
	int64_t unstored_since; /* it stores nothing of what was sent; 0: no */
	int64_t stored_at; /* when it last stored more, or lacked nothing */
	bool send_now;	   /* a message is due at once */
	uint64_t snap_index;
	uint64_t snap_offset;
};

/* An identity that asked to become a member. */
struct rlog_join_request {
	uint64_t vm;
	uint64_t id;
	uint64_t digest; /* of its configured replicas */
	uint64_t domain; /* its failure domain; 0: unknown */
	bool fresh;	 /* it has no log yet */
	int64_t at;
};

/* A message that is sent once the record wait_seq has been synced. */
struct rlog_outgoing {
	struct dl_rlog_msg msg;
	uint64_t wait_seq;
};

/* The chunks of a snapshot received so far. */
struct rlog_incoming {
	uint64_t from_id;
	uint64_t term; /* of the sender */
	uint64_t index;
	uint64_t total;
	GByteArray *data;
};

struct dl_rlog {
	struct dl_rlog_conf conf;
	GRand *rand;
	enum dl_rlog_role role;
	char halt_reason[224];

	uint64_t id;
	uint64_t cluster;
	uint64_t term;
	uint64_t vote;
	struct rlog_entries log;
	struct dl_rlog_snapshot snap; /* owns its data */
	uint64_t commit;
	uint64_t applied;
	bool restore_pending; /* the owner has yet to apply the snapshot */
	struct dl_rlog_members applied_members;
	struct dl_rlog_members members; /* in effect: the newest in the log */
	uint64_t members_index;
	struct rlog_incoming incoming;

	uint64_t leader_vm;
	uint64_t leader_id;
	int64_t heard; /* when the leader was last heard, or the start */
	int64_t election_at;
	bool commit_known; /* a leader has sent its commit index */
	uint64_t known_commit;
	bool promise_possible; /* by this replica before it started */
	int64_t startup_nonce;
	int64_t startup_query_at;
	int64_t fast_retry_until; /* retry split votes quickly until then */
	int64_t join_at;
	uint32_t peers_count;
	struct rlog_peer peers[DL_RLOG_MEMBERS_MAX];
	uint32_t next_peer; /* the next one to serve in dl_rlog_out() */
	bool self_voted;    /* the own vote has been synced */
	int64_t leader_since;
	int64_t last_tick;
	int64_t stall_answers_until; /* see note_stall(); 0: no stall */
	uint64_t term_start; /* index of the first entry of this leader */
	bool transferring;
	int64_t transfer_until;
	uint64_t transfer_to; /* the voter that was asked; 0: none */

	uint32_t joins_count;
	struct rlog_join_request joins[RLOG_JOINS_MAX];
	uint64_t joins_ignored;

	/* From members' replies while this replica is not one of them. */
	uint64_t contact_vm; /* the leader, or DL_VM_NONE */
	uint64_t contact_term;
	int64_t contact_at;
	struct dl_rlog_members contact_members;
	uint32_t contact_next; /* the member to be asked next */
	uint64_t hint_vm;      /* leader named by another non-member */

	uint32_t wanted_count;
	uint64_t wanted[DL_RLOG_MEMBERS_MAX];
	char waiting_for[160];

	GQueue queue; /* of struct rlog_outgoing */

	/* What is to be written, being written, and synced. */
	bool dirty_state;    /* term, vote or cluster */
	bool dirty_snapshot; /* everything is written anew */
	uint64_t dirty_from; /* the first entry not yet in a record */
	bool writing;
	uint64_t writing_seq;
	uint64_t writing_last; /* the last entry in that record */
	uint64_t synced_seq;
	uint64_t synced_index;
	uint64_t state_seq; /* the record that holds term and vote */
	struct dl_rlog_members writing_members; /* in the last record */
	struct dl_rlog_members stored_members;	/* in the last synced record */
	/* In a record since then, whether or not it reached the disk. */
	struct dl_rlog_members unsure_members;
	bool unsure_many; /* other members were in such records as well */
	int write_error;  /* of the last write; 0: it succeeded */
	int64_t write_started_at;
	uint32_t write_failures;
	uint32_t write_retry_ms;
	int64_t write_failed_at; /* the first of these failures */
	int64_t write_retry_at;
};

/* rlog_entries.c */
uint64_t rlog_last(const struct rlog_entries *log);
bool rlog_term_at(const struct rlog_entries *log, uint64_t index,
		  uint64_t *term);
const struct dl_rlog_entry *rlog_at(const struct rlog_entries *log,
				    uint64_t index);
uint64_t rlog_bytes(const struct rlog_entries *log, uint64_t after,
		    uint64_t upto);
void rlog_push(struct rlog_entries *log, const struct dl_rlog_entry *entry);
void rlog_truncate(struct rlog_entries *log, uint64_t from);
void rlog_compact(struct rlog_entries *log, uint64_t upto);
void rlog_reset(struct rlog_entries *log, uint64_t index, uint64_t term);

/* rlog_members.c */
struct dl_str rlog_members_encode(const struct dl_rlog_members *members);
bool rlog_members_decode(struct dl_str s, struct dl_rlog_members *out);
const struct dl_rlog_member *
rlog_member_find(const struct dl_rlog_members *members, uint64_t id);
const struct dl_rlog_member *
rlog_member_of_vm(const struct dl_rlog_members *members, uint64_t vm);
uint32_t rlog_majority(const struct dl_rlog_members *members);
uint64_t rlog_cluster_of(const struct dl_rlog_members *members);
void rlog_members_refresh(struct dl_rlog *r);
struct rlog_peer *rlog_peer_find(struct dl_rlog *r, uint64_t id);
bool rlog_is_voter(const struct dl_rlog *r);

/* rlog.c */
bool rlog_invariant(struct dl_rlog *r, bool holds, const char *what);
void rlog_become_follower(struct dl_rlog *r, uint64_t term, int64_t now);
void rlog_heard_leader(struct dl_rlog *r, const struct dl_rlog_msg *m,
		       int64_t now);
void rlog_reset_election(struct dl_rlog *r, int64_t now);
void rlog_queue(struct dl_rlog *r, struct dl_rlog_msg *m, uint64_t wait_seq);
struct dl_rlog_msg rlog_msg_to(const struct dl_rlog *r,
			       enum dl_rlog_msg_kind kind, uint64_t vm,
			       uint64_t id);
struct dl_rlog_msg rlog_reply_to(const struct dl_rlog *r,
				 enum dl_rlog_msg_kind kind,
				 const struct dl_rlog_msg *m);

/* rlog_write.c */
void rlog_dirty_state(struct dl_rlog *r);
uint64_t rlog_seq_of(const struct dl_rlog *r, uint64_t index);
bool rlog_write_is_slow(const struct dl_rlog *r, int64_t now);
int64_t rlog_disk_failed_ms(const struct dl_rlog *r, int64_t now);
bool rlog_is_stored_voter(const struct dl_rlog *r, uint64_t id);
bool rlog_must_not_wait(const struct dl_rlog *r, uint64_t wait_seq);
int64_t rlog_write_wakeup(const struct dl_rlog *r);

/* rlog_vote.c */
void rlog_prevote_begin(struct dl_rlog *r, int64_t now);
void rlog_election_begin(struct dl_rlog *r, bool transfer, int64_t now);
void rlog_vote_synced(struct dl_rlog *r, int64_t now);
void rlog_on_prevote(struct dl_rlog *r, const struct dl_rlog_msg *m,
		     int64_t now);
void rlog_on_prevote_reply(struct dl_rlog *r, const struct dl_rlog_msg *m,
			   int64_t now);
void rlog_on_vote(struct dl_rlog *r, const struct dl_rlog_msg *m, int64_t now);
void rlog_on_vote_reply(struct dl_rlog *r, const struct dl_rlog_msg *m,
			int64_t now);
void rlog_on_transfer(struct dl_rlog *r, const struct dl_rlog_msg *m,
		      int64_t now);

/* rlog_startup.c */
void rlog_startup_begin(struct dl_rlog *r, int64_t now);
void rlog_startup_end(struct dl_rlog *r);
void rlog_startup_tick(struct dl_rlog *r, int64_t now);
int64_t rlog_startup_wakeup(const struct dl_rlog *r);
void rlog_on_startup_query(struct dl_rlog *r, const struct dl_rlog_msg *m,
			   int64_t now);
void rlog_on_startup_reply(struct dl_rlog *r, const struct dl_rlog_msg *m,
			   int64_t now);
int64_t rlog_vote_promise(const struct dl_rlog *r, const struct dl_rlog_msg *m);

/* rlog_become_leader.c */
void rlog_become_leader(struct dl_rlog *r, int64_t now);
void rlog_lead_tick(struct dl_rlog *r, int64_t now);
int64_t rlog_lead_wakeup(const struct dl_rlog *r);
bool rlog_lead_out(struct dl_rlog *r, int64_t now, struct dl_rlog_msg *msg);
bool rlog_peer_stores(const struct dl_rlog *r, const struct rlog_peer *p,
		      int64_t now);
void rlog_lead_synced(struct dl_rlog *r, int64_t now);
void rlog_lead_append(struct dl_rlog *r, enum dl_rlog_entry_kind kind,
		      struct dl_str data, int64_t now);
int64_t rlog_quorum_stamp(const struct dl_rlog *r, int64_t now);
void rlog_on_append_reply(struct dl_rlog *r, const struct dl_rlog_msg *m,
			  int64_t now);
void rlog_on_snapshot_reply(struct dl_rlog *r, const struct dl_rlog_msg *m,
			    int64_t now);

/* rlog_become_follower.c */
void rlog_on_append(struct dl_rlog *r, const struct dl_rlog_msg *m,
		    int64_t now);
void rlog_on_snapshot(struct dl_rlog *r, const struct dl_rlog_msg *m,
		      int64_t now);
bool rlog_is_current(const struct dl_rlog *r);
void rlog_on_append_uninitialized(struct dl_rlog *r,
				  const struct dl_rlog_msg *m, int64_t now);

/* rlog_voters.c */
void rlog_choose_voters(struct dl_rlog *r, int64_t now);

/* rlog_bootstrap.c */
void rlog_send_joins(struct dl_rlog *r, int64_t now);
void rlog_on_join(struct dl_rlog *r, const struct dl_rlog_msg *m, int64_t now);
void rlog_on_bootstrap(struct dl_rlog *r, const struct dl_rlog_msg *m,
		       int64_t now);
void rlog_on_join_reply(struct dl_rlog *r, const struct dl_rlog_msg *m,
			int64_t now);
bool rlog_has_contact(const struct dl_rlog *r, int64_t now);

/* rlog_reconfig.c */
void rlog_reconfigure(struct dl_rlog *r, int64_t now);

#endif
