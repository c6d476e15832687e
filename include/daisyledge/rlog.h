/*
 * The replicated log: elections with pre-vote and check-quorum, a leader
 * lease, replication, snapshots, and membership changes one at a time with
 * learners.  Pure: it asks for disk writes and for messages through the
 * output queue, and is told when a write has been synced.
 *
 * After any call the owner
 *   - sends what dl_rlog_out() gives,
 *   - writes what dl_rlog_write() gives, and tells dl_rlog_written() the end,
 *   - carries out what dl_rlog_apply() gives,
 *   - calls dl_rlog_tick() at dl_rlog_wakeup().
 *
 * A replica is known by its identity, a random number that is stored on its
 * disk.  A vote and a match index belong to the identity, so that an empty
 * disk never votes under its old name.
 */
#ifndef DAISYLEDGE_RLOG_H
#define DAISYLEDGE_RLOG_H

#include "daisyledge/base.h"
#include "daisyledge/disk.h"

struct dl_rlog;

/* Seven replicas, each of which may be on its way to be replaced. */
#define DL_RLOG_MEMBERS_MAX 16

struct dl_rlog_member {
	uint64_t vm;
	uint64_t id;
	bool voter; /* else a learner */
};

struct dl_rlog_members {
	uint32_t count;
	struct dl_rlog_member at[DL_RLOG_MEMBERS_MAX];
};

enum dl_rlog_entry_kind {
	DL_RLOG_NOOP, /* a new leader's first */
	DL_RLOG_COMMAND,
	DL_RLOG_MEMBERS, /* in force from when it is appended */
};

struct dl_rlog_entry {
	uint64_t index; /* from 1 */
	uint64_t term;
	enum dl_rlog_entry_kind kind;
	struct dl_str data;
};

/* The state after an index.  Index 0 is the state before the first entry. */
struct dl_rlog_snapshot {
	uint64_t index;
	uint64_t term;
	struct dl_rlog_members members;
	struct dl_str data; /* empty at index 0 */
};

enum dl_rlog_msg_kind {
	DL_RLOG_JOIN = 1,      /* an identity without a log asks for one */
	DL_RLOG_BOOTSTRAP = 2, /* the members that begin a log */
	DL_RLOG_PREVOTE = 3,
	DL_RLOG_PREVOTE_REPLY = 4,
	DL_RLOG_VOTE = 5,
	DL_RLOG_VOTE_REPLY = 6,
	DL_RLOG_APPEND = 7, /* heartbeat as well */
	DL_RLOG_APPEND_REPLY = 8,
	DL_RLOG_SNAPSHOT = 9, /* one piece of it */
	DL_RLOG_SNAPSHOT_REPLY = 10,
	DL_RLOG_TRANSFER = 11, /* begin an election now */
	DL_RLOG_STARTUP_QUERY =
		12, /* this replica has started: who leads not? */
	DL_RLOG_STARTUP_REPLY = 13, /* the one that answers does not lead */
	DL_RLOG_MSG_KIND_COUNT,
};

struct dl_rlog_msg {
	enum dl_rlog_msg_kind kind;
	uint64_t to_vm;
	uint64_t from_vm;
	uint64_t cluster; /* which log; 0 where there is none yet */
	uint64_t from_id;
	uint64_t to_id; /* 0 in HELLO only */
	uint64_t term;
	/*
	 * PREVOTE, VOTE: the last entry.  APPEND: the entry before entries.
	 * APPEND_REPLY: the last entry known to match, or where to look next.
	 * HELLO: a digest of the replicas listed; commit is the VM that
	 * asks, since others pass it on.
	 */
	uint64_t index;
	uint64_t index_term;
	uint64_t commit; /* APPEND_REPLY: the index of the APPEND answered */
	/*
	 * The leader's clock when it sent; echoed, or 0 where the answer
	 * promises nothing.  STARTED: a number of this start; echoed.
	 */
	int64_t stamp;
	bool ok;
	bool fresh;    /* APPEND_REPLY: has no log at all */
	bool transfer; /* VOTE: the leader itself asked for this election */
	uint32_t count;
	const struct dl_rlog_entry *entries;
	/* SNAPSHOT; its data is the piece at offset out of total bytes. */
	struct dl_rlog_snapshot snapshot;
	uint64_t offset;
	uint64_t total;
};

/* What to write next; one at a time, answered by dl_rlog_written(). */
struct dl_rlog_record {
	uint64_t seq;
	uint64_t cluster;
	uint64_t term;
	uint64_t vote;
	/*
	 * Where set, this replaces all that is stored: the snapshot, and every
	 * entry after the base.  Else entries replace those stored from the
	 * first one's index on.
	 */
	const struct dl_rlog_snapshot *snapshot;
	uint64_t base_index;
	uint64_t base_term;
	uint32_t count;
	const struct dl_rlog_entry *entries;
};

/* What was found on the disk; strings are owned by the image. */
struct dl_rlog_image {
	uint64_t id;
	uint64_t cluster; /* 0: an identity without a log */
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
	uint64_t self; /* this VM */
	uint32_t heartbeat_ms;
	/*
	 * A follower that has heard its leader so recently grants no vote, and
	 * a leader that has not heard a majority for so long steps down.  A
	 * follower stands for election after one to one and a half of it.
	 */
	uint32_t election_ms;
	/* Shorter than election_ms by what clocks may drift apart in it. */
	uint32_t lease_ms;
	uint32_t join_interval_ms;
	uint32_t snapshot_entries; /* a snapshot is wanted after so many */
	uint64_t snapshot_bytes;   /* or after so many, and its own size */
	uint32_t keep_entries;	   /* kept for followers that lag a little */
	uint64_t keep_bytes;
	uint64_t append_bytes;	 /* in one message, but for one entry alone */
	uint64_t inflight_bytes; /* sent to one follower, not acknowledged */
	uint32_t chunk_bytes;	 /* of a snapshot, in one message */
	uint64_t uncommitted_bytes; /* more is refused */
	/* The replicas of the first start; each of them has the same list. */
	uint32_t listed_count;
	uint64_t listed[DL_RLOG_MEMBERS_MAX];
	bool joins_only; /* never begins a log, however empty the others are */
	/*
	 * How many voters the group keeps by itself where nobody lists them:
	 * 0 for none, see rlog_voters.c.
	 */
	uint32_t voters_wanted;
	uint32_t voter_timeout_ms; /* a voter unheard for so long makes room */
};

enum dl_rlog_role {
	DL_RLOG_HALTED,	       /* damaged or failed disk; answers nobody */
	DL_RLOG_UNINITIALIZED, /* has an identity, and no log yet */
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
};

struct dl_rlog_status {
	enum dl_rlog_role role;
	uint64_t id;
	uint64_t cluster;
	uint64_t term;
	uint64_t leader; /* VM, or none */
	uint64_t commit;
	uint64_t last;
	uint64_t synced;
	uint64_t applied;
	uint64_t snapshot;
	bool voter;
	bool lease;
	/*
	 * Everything committed before this term began has been applied: what
	 * is shown cannot be older than what was shown before a restart.
	 */
	bool current;
	uint32_t count; /* peers, as the leader knows them */
	struct dl_rlog_peer_status peers[DL_RLOG_MEMBERS_MAX];
	char waiting_for[160]; /* what a repair waits for; empty where it does
				  not */
	char halt_reason[224];
};

enum dl_rlog_apply_kind {
	DL_RLOG_APPLY_COMMAND,
	DL_RLOG_APPLY_RESTORE, /* replace the state by this snapshot */
};

struct dl_rlog_apply {
	enum dl_rlog_apply_kind kind;
	uint64_t index;
	uint64_t term;
	struct dl_str data;
};

void dl_rlog_defaults(struct dl_rlog_conf *conf);
/* Takes the image's content over; the image is empty afterwards. */
struct dl_rlog *dl_rlog_new(const struct dl_rlog_conf *conf,
			    struct dl_rlog_image *image, uint32_t seed,
			    int64_t now);
void dl_rlog_free(struct dl_rlog *rlog);
/* Stop answering for good; the reason is shown by the status. */
void dl_rlog_halt(struct dl_rlog *rlog, const struct dl_err *why);
void dl_rlog_image_free(struct dl_rlog_image *image);

int dl_rlog_in(struct dl_rlog *rlog, const struct dl_rlog_msg *msg,
	       int64_t now);
void dl_rlog_tick(struct dl_rlog *rlog, int64_t now);
int64_t dl_rlog_wakeup(const struct dl_rlog *rlog);
/* The next message; its pointers last until the next call. */
bool dl_rlog_out(struct dl_rlog *rlog, int64_t now, struct dl_rlog_msg *msg);
/* The next unit to write; its pointers last until the next call. */
bool dl_rlog_write(struct dl_rlog *rlog, struct dl_rlog_record *rec);
void dl_rlog_written(struct dl_rlog *rlog, uint64_t seq, int code, int64_t now);
/* The next committed command or snapshot; data lasts until the next call. */
bool dl_rlog_apply(struct dl_rlog *rlog, struct dl_rlog_apply *out);

/* 0 and where it stands, DL_ENOLEADER, -EAGAIN (too much is under way). */
int dl_rlog_propose(struct dl_rlog *rlog, struct dl_str command, int64_t now,
		    uint64_t *index, uint64_t *term);
/*
 * The point a linearizable read has to wait for until it is applied: 0,
 * DL_ENOLEADER, or -EAGAIN where the lease is not proved at the moment.
 */
int dl_rlog_read(const struct dl_rlog *rlog, int64_t now, uint64_t *index);
/* Whether no other leader can exist until a time from now on. */
bool dl_rlog_lease(const struct dl_rlog *rlog, int64_t now, int64_t *until);
/* Hand leadership to the follower that holds most; before a planned stop. */
int dl_rlog_transfer(struct dl_rlog *rlog, int64_t now);

/* Whether applied entries should be replaced by a snapshot now. */
bool dl_rlog_snapshot_wanted(const struct dl_rlog *rlog);
/* The state after all that was applied so far. */
int dl_rlog_snapshot(struct dl_rlog *rlog, struct dl_str data);

/*
 * The replicas as the operators want them; the leader carries it out one
 * change at a time.  None stands for those there are.
 */
void dl_rlog_set_replicas(struct dl_rlog *rlog, const uint64_t *vms,
			  uint32_t count);
/* 0, or -EINVAL and why such a list would lose the quorum. */
int dl_rlog_check_replicas(const struct dl_rlog *rlog, const uint64_t *vms,
			   uint32_t count, int64_t now, struct dl_err *err);
void dl_rlog_get_status(const struct dl_rlog *rlog, int64_t now,
			struct dl_rlog_status *out);
/* The members in force; for what else goes by them. */
const struct dl_rlog_members *dl_rlog_members(const struct dl_rlog *rlog);

/*
 * The journal: the log's units in one file of checksummed records, which a
 * snapshot replaces by the next one.
 */
struct dl_rlog_store;

/*
 * Read what is stored; an empty folder begins with the identity new_id.
 * 0, DL_EDAMAGED or a negative errno with err.
 */
int dl_rlog_store_open(struct dl_disk disk, uint64_t new_id,
		       struct dl_rlog_store **out, struct dl_rlog_image *image,
		       struct dl_err *err);
/* Make sure that all that was read is synced; to be done before anything. */
void dl_rlog_store_start(struct dl_rlog_store *store, struct dl_disk_done done);
/* One at a time; the unit is copied. */
void dl_rlog_store_write(struct dl_rlog_store *store,
			 const struct dl_rlog_record *rec,
			 struct dl_disk_done done);
/* Only while nothing is being written, or where the disk will never answer. */
void dl_rlog_store_free(struct dl_rlog_store *store);
/* The bytes of the journal now. */
uint64_t dl_rlog_store_bytes(const struct dl_rlog_store *store);

#endif
