/*
 * The replicated log, after Raft: elections with pre-vote and check-quorum, a
 * leader lease, replication, snapshots, and membership changes of one member at
 * a time, with learners.  It does no input or output itself: it requests disk
 * writes and messages through its output functions and is told when a write has
 * been synced.
 *
 * After any call the owner
 *   - sends the messages that dl_rlog_out() returns,
 *   - writes the record that dl_rlog_write() returns, and reports its
 *     completion to dl_rlog_written(),
 *   - applies what dl_rlog_apply() returns,
 *   - calls dl_rlog_tick() at dl_rlog_wakeup().
 *
 * A replica is known by its identity, a random number stored on its disk. Votes
 * and match indexes belong to the identity, so that a replica that lost its
 * disk cannot vote under the identity that may already have voted.
 */
#ifndef DAISYLEDGE_RLOG_H
#define DAISYLEDGE_RLOG_H

#include "daisyledge/base.h"
#include "daisyledge/disk.h"

struct dl_rlog;

/* Seven replicas, each of which may be in the middle of being replaced. */
#define DL_RLOG_MEMBERS_MAX 16

struct dl_rlog_member {
	uint64_t vm;
	uint64_t id;
	bool voter; /* otherwise a learner */
};

struct dl_rlog_members {
	uint32_t count;
	struct dl_rlog_member at[DL_RLOG_MEMBERS_MAX];
};

enum dl_rlog_entry_kind {
	DL_RLOG_NOOP, /* the first entry of a new leader */
	DL_RLOG_COMMAND,
	DL_RLOG_MEMBERS, /* takes effect when appended */
};

struct dl_rlog_entry {
	uint64_t index; /* from 1 */
	uint64_t term;
	enum dl_rlog_entry_kind kind;
	struct dl_str data;
};

/*
 * The state after applying an index.  Index 0 is the state before the first
 * entry.
 */
struct dl_rlog_snapshot {
	uint64_t index;
	uint64_t term;
	struct dl_rlog_members members;
	struct dl_str data; /* empty at index 0 */
};

enum dl_rlog_msg_kind {
	DL_RLOG_JOIN = 1,      /* asks to become a member */
	DL_RLOG_BOOTSTRAP = 2, /* the initial members of a log */
	DL_RLOG_PREVOTE = 3,
	DL_RLOG_PREVOTE_REPLY = 4,
	DL_RLOG_VOTE = 5,
	DL_RLOG_VOTE_REPLY = 6,
	DL_RLOG_APPEND = 7, /* also the heartbeat */
	DL_RLOG_APPEND_REPLY = 8,
	DL_RLOG_SNAPSHOT = 9, /* one chunk */
	DL_RLOG_SNAPSHOT_REPLY = 10,
	DL_RLOG_TRANSFER = 11,	    /* start an election now */
	DL_RLOG_STARTUP_QUERY = 12, /* asks a voter whether it leads */
	DL_RLOG_STARTUP_REPLY = 13, /* the sender does not lead */
	DL_RLOG_JOIN_REPLY = 14,    /* who leads, for a non-member */
	DL_RLOG_MSG_KIND_COUNT,
};

struct dl_rlog_msg {
	enum dl_rlog_msg_kind kind;
	uint64_t to_vm;
	uint64_t from_vm;
	uint64_t cluster; /* ID of the log; 0 if there is none yet */
	uint64_t from_id;
	uint64_t to_id; /* 0 only in JOIN */
	uint64_t term;
	/*
	 * PREVOTE, VOTE: the sender's last entry.  APPEND: the entry before
	 * entries.  APPEND_REPLY: the last entry known to match, or where the
	 * leader should probe next.  JOIN: a digest of the configured replicas;
	 * commit is the VM that wants to join, since other replicas forward the
	 * message.  JOIN, APPEND_REPLY: index_term is the failure domain of
	 * that VM, see dl_rlog_conf.  JOIN_REPLY: commit is the leader's VM,
	 * DL_VM_NONE if none is known; ok if the sender is a member in contact
	 * with it, and snapshot then has the members.
	 */
	uint64_t index;
	uint64_t index_term;
	uint64_t commit; /* APPEND_REPLY: index of the APPEND */
	/*
	 * The leader's clock at the time of sending; replies echo it, or carry
	 * 0 if they promise nothing.  STARTUP_QUERY: a random number of this
	 * process start, echoed in the reply.
	 */
	int64_t stamp;
	bool ok;
	bool fresh;	 /* APPEND_REPLY: the sender has no log */
	bool transfer;	 /* VOTE: the leader requested this election */
	bool disk_fails; /* replies to APPEND, SNAPSHOT: of the sender */
	uint32_t count;
	const struct dl_rlog_entry *entries;
	/* SNAPSHOT: its data is the chunk at offset, of total bytes. */
	struct dl_rlog_snapshot snapshot;
	uint64_t offset;
	uint64_t total;
};

/*
 * The next journal record to write.  Only one is written at a time;
 * dl_rlog_written() reports its completion.
 */
struct dl_rlog_record {
	uint64_t seq;
	uint64_t cluster;
	uint64_t term;
	uint64_t vote;
	/*
	 * If set, the snapshot and the entries replace everything stored, and
	 * the entries start after the base.  Otherwise the entries replace the
	 * stored ones from the index of the first one on.
	 */
	const struct dl_rlog_snapshot *snapshot;
	uint64_t base_index;
	uint64_t base_term;
	uint32_t count;
	const struct dl_rlog_entry *entries;
};

/* What was read from the disk; the image owns its strings. */
struct dl_rlog_image {
	uint64_t id;
	uint64_t cluster; /* 0: there is no log yet */
	uint64_t term;
	uint64_t vote;
	uint64_t base_index;
	uint64_t base_term;
	struct dl_rlog_snapshot snapshot;
	uint32_t count;
	uint32_t capacity;
	struct dl_rlog_entry *entries;
};

struct dl_rlog_conf {
	uint64_t self;	 /* the VM of this replica */
	uint64_t domain; /* hash of its failure domain; 0: unknown */
	uint32_t heartbeat_ms;
	/*
	 * A follower that heard from its leader within this time grants no
	 * vote, and a leader that has not heard from a majority for this time
	 * steps down.  A follower starts an election after 1 to 1.5 times this
	 * time without hearing from a leader.
	 */
	uint32_t election_ms;
	/*
	 * Shorter than election_ms by the most that clocks drift apart in that
	 * time.
	 */
	uint32_t lease_ms;
	uint32_t join_interval_ms;
	uint32_t snapshot_entries; /* entries between two snapshots */
	uint64_t snapshot_bytes;   /* or bytes, and the last one's size */
	uint32_t keep_entries;	   /* kept for lagging followers */
	uint64_t keep_bytes;
	uint64_t append_bytes;	    /* in a message, or one entry */
	uint64_t inflight_bytes;    /* unacknowledged, to a follower */
	uint32_t chunk_bytes;	    /* of a snapshot, per message */
	uint64_t uncommitted_bytes; /* proposals beyond this are refused */
	/*
	 * The replicas that create the log, as configured; all of them must
	 * have the same list.
	 */
	uint32_t listed_count;
	uint64_t listed[DL_RLOG_MEMBERS_MAX];
	bool joins_only; /* never creates a log, even if none exists */
	/*
	 * The number of voters that the leader maintains by itself if the
	 * configuration lists no replicas; 0 for none, see rlog_voters.c.
	 */
	uint32_t voters_wanted;
	uint32_t voter_timeout_ms; /* silence before replacement */
};

enum dl_rlog_role {
	DL_RLOG_HALTED,	       /* damaged state; sends nothing */
	DL_RLOG_UNINITIALIZED, /* has an identity but no log yet */
	DL_RLOG_FOLLOWER,
	DL_RLOG_PRECANDIDATE,
	DL_RLOG_CANDIDATE,
	DL_RLOG_LEADER,
	DL_RLOG_ROLE_COUNT,
};

struct dl_rlog_peer_status {
	struct dl_rlog_member member;
	uint64_t match;
	int64_t heard_ms_ago; /* -1: never */
	bool disk_fails;      /* by its last reply */
};

struct dl_rlog_status {
	enum dl_rlog_role role;
	uint64_t id;
	uint64_t cluster;
	uint64_t term;
	uint64_t leader; /* VM, or DL_VM_NONE */
	uint64_t commit;
	uint64_t last;
	uint64_t synced;
	uint64_t applied;
	uint64_t snapshot;
	bool voter;
	bool lease;
	/*
	 * A leader can be reached: this replica holds the lease, follows, or
	 * is not a member and had a reply of one recently.
	 */
	bool contact;
	uint64_t joins_ignored; /* join requests beyond those kept */
	/*
	 * Everything committed before this term began has been applied: the
	 * state is not older than what was visible before a restart.
	 */
	bool current;
	uint32_t count; /* of peers, as the leader knows them */
	struct dl_rlog_peer_status peers[DL_RLOG_MEMBERS_MAX];
	char waiting_for[160]; /* what a membership change needs */
	char halt_reason[224];
	int write_error;	 /* negative errno while writes fail, or 0 */
	uint32_t write_failures; /* of this or else the last such time */
	int64_t write_failed_ms; /* since the first of them */
};

enum dl_rlog_apply_kind {
	DL_RLOG_APPLY_COMMAND,
	DL_RLOG_APPLY_RESTORE, /* replace the state by the snapshot */
};

struct dl_rlog_apply {
	enum dl_rlog_apply_kind kind;
	uint64_t index;
	uint64_t term;
	struct dl_str data;
};

void dl_rlog_defaults(struct dl_rlog_conf *conf);
/* Takes over the content of the image, which is empty afterwards. */
struct dl_rlog *dl_rlog_new(const struct dl_rlog_conf *conf,
			    struct dl_rlog_image *image, uint32_t seed,
			    int64_t now);
void dl_rlog_free(struct dl_rlog *rlog);
/* Stops the replica for good; the status shows the reason. */
void dl_rlog_halt(struct dl_rlog *rlog, const struct dl_err *why);
void dl_rlog_image_free(struct dl_rlog_image *image);

int dl_rlog_in(struct dl_rlog *rlog, const struct dl_rlog_msg *msg,
	       int64_t now);
void dl_rlog_tick(struct dl_rlog *rlog, int64_t now);
int64_t dl_rlog_wakeup(const struct dl_rlog *rlog);
/* The next message; its pointers are valid until the next call. */
bool dl_rlog_out(struct dl_rlog *rlog, int64_t now, struct dl_rlog_msg *msg);
/* The next record to write; its pointers are valid until the next call. */
bool dl_rlog_write(struct dl_rlog *rlog, int64_t now,
		   struct dl_rlog_record *rec);
void dl_rlog_written(struct dl_rlog *rlog, uint64_t seq, int code, int64_t now);
/* dl_rlog_store_start() failed: everything is written anew. */
void dl_rlog_start_failed(struct dl_rlog *rlog, int code, int64_t now);
/* The next committed command or snapshot; data is valid until the next call. */
bool dl_rlog_apply(struct dl_rlog *rlog, struct dl_rlog_apply *out);

/*
 * 0 with the position of the command, DL_ENOLEADER, or -EAGAIN if too much is
 * uncommitted.
 */
int dl_rlog_propose(struct dl_rlog *rlog, struct dl_str command, int64_t now,
		    uint64_t *index, uint64_t *term);
/*
 * The index that must be applied before a linearizable read: 0, DL_ENOLEADER,
 * or -EAGAIN if the lease is not confirmed at the moment.
 */
int dl_rlog_read(const struct dl_rlog *rlog, int64_t now, uint64_t *index);
/* Whether no other leader can exist now; sets until to when this ends. */
bool dl_rlog_lease(const struct dl_rlog *rlog, int64_t now, int64_t *until);
/*
 * Transfers leadership to the most up-to-date follower, before a planned stop.
 */
int dl_rlog_transfer(struct dl_rlog *rlog, int64_t now);

/* Whether the applied entries should now be replaced by a snapshot. */
bool dl_rlog_snapshot_wanted(const struct dl_rlog *rlog);
/* Takes the state after everything applied so far as the new snapshot. */
int dl_rlog_snapshot(struct dl_rlog *rlog, struct dl_str data);

/*
 * Sets the replicas that operators configured; the leader changes the
 * membership one member at a time.  An empty list keeps the current members.
 */
void dl_rlog_set_replicas(struct dl_rlog *rlog, const uint64_t *vms,
			  uint32_t count);
/* 0, or -EINVAL with the reason if the list would lose the quorum. */
int dl_rlog_check_replicas(const struct dl_rlog *rlog, const uint64_t *vms,
			   uint32_t count, int64_t now, struct dl_err *err);
void dl_rlog_get_status(const struct dl_rlog *rlog, int64_t now,
			struct dl_rlog_status *out);
/* The members in effect, which may not be committed yet. */
const struct dl_rlog_members *dl_rlog_members(const struct dl_rlog *rlog);

/*
 * The journal: the records of the log in one checksummed file, which each
 * snapshot replaces by a new one.
 */
struct dl_rlog_store;

/*
 * Reads what is stored; an empty directory starts with the identity new_id.
 * Returns 0, DL_EDAMAGED or a negative errno, with err set.
 */
int dl_rlog_store_open(struct dl_disk disk, uint64_t new_id,
		       struct dl_rlog_store **out, struct dl_rlog_image *image,
		       struct dl_err *err);
/* Syncs everything that was read; must succeed before any other use, except
 * for a write of a record with a snapshot.
 */
void dl_rlog_store_start(struct dl_rlog_store *store, struct dl_disk_done done);
/*
 * Only one write at a time; the record is copied.  After a failure the next
 * record must have a snapshot.
 */
void dl_rlog_store_write(struct dl_rlog_store *store,
			 const struct dl_rlog_record *rec,
			 struct dl_disk_done done);
/*
 * Call only while no write is in progress or if the disk will never complete
 * it.
 */
void dl_rlog_store_free(struct dl_rlog_store *store);
/* The current size of the journal in bytes. */
uint64_t dl_rlog_store_bytes(const struct dl_rlog_store *store);

/* The disk operation in progress, or NULL. */
const char *dl_rlog_store_step(const struct dl_rlog_store *store);

/* Disk operations that failed, whether or not the write failed with them. */
struct dl_rlog_store_errors {
	uint64_t count;	  /* since the start */
	const char *step; /* the latest: "write", "sync", ...; NULL: none */
	int code;	  /* its negative errno */
};

struct dl_rlog_store_errors
dl_rlog_store_errors(const struct dl_rlog_store *store);

#endif
