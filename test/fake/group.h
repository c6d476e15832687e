/*
 * Replicas over a fake link and fake disks.  The invariants are checked after
 * every step.  The tests choose the faults.
 */
#ifndef TEST_FAKE_GROUP_H
#define TEST_FAKE_GROUP_H

#include "daisyledge/rlog.h"
#include "disk.h"
#include "link.h"

#define GROUP_MAX   128
#define GROUP_USUAL 8

struct group;

struct group_conf {
	uint32_t seed;
	uint32_t vms;	 /* VMs 1 to vms may run; 0: GROUP_USUAL */
	uint32_t listed; /* VMs 1 to listed create the log */
	/* VMs that start later list those from here on; 0: the same as others
	 */
	uint32_t late_listed;
	/* the leader chooses voters by itself if this is not 0 */
	uint32_t voters_wanted;
	uint32_t
		domains; /* VM v is in failure domain v % domains; 0: unknown */
	struct fake_link_conf link;
	uint32_t sync_min_ms;
	uint32_t sync_max_ms;
	uint32_t snapshot_entries;
	uint32_t chunk_bytes;
	uint32_t snapshot_padding; /* bytes added to each snapshot */
	bool drift;		   /* clocks differ in rate and offset */
};

struct group_counters {
	uint64_t steps;
	uint64_t violations;
	uint64_t acked; /* commands whose commit their proposer saw */
	uint64_t leaders;
	uint64_t reads;
	uint64_t restores;
	uint64_t damaged;	/* starts refused because of damage */
	uint64_t unreadable;	/* starts refused by an error of the disk */
	uint64_t commit_ms[64]; /* commands by commit time in ms */
};

struct group *group_new(const struct group_conf *conf);
void group_free(struct group *group);

/* The failure domain of a VM, if the group has domains. */
uint64_t group_domain(const struct group *group, uint64_t vm);
/* Starts a VM's process from its disk. */
void group_start(struct group *group, uint64_t vm);
void group_kill(struct group *group, uint64_t vm);
void group_crash(struct group *group, uint64_t vm);
void group_wipe(struct group *group, uint64_t vm);
void group_pause(struct group *group, uint64_t vm, uint32_t ms);
bool group_is_up(const struct group *group, uint64_t vm);

/* Runs the simulation for this time. */
void group_run(struct group *group, uint32_t ms);
int64_t group_now(const struct group *group);
/* The current time on a VM's own clock. */
int64_t group_local(const struct group *group, uint64_t vm);
/* The leader of the highest term, or DL_VM_NONE. */
uint64_t group_leader(const struct group *group);
/* Runs until there is a leader that can commit; false after max_ms. */
bool group_wait_leader(struct group *group, uint32_t max_ms);
/* Proposes a command at a VM. */
int group_propose(struct group *group, uint64_t vm, uint32_t bytes);
/* Runs until every member has applied everything; false after max_ms. */
bool group_wait_converged(struct group *group, uint32_t max_ms);
/* Whether the members are exactly these VMs, all voters, one identity each. */
bool group_members_are(struct group *group, const uint64_t *vms, uint32_t n);

struct fake_link *group_link(struct group *group);
struct fake_disk *group_disk(struct group *group, uint64_t vm);
struct dl_rlog *group_rlog(struct group *group, uint64_t vm);
uint64_t group_applied(const struct group *group, uint64_t vm);
uint64_t group_identity(const struct group *group, uint64_t vm);
void group_set_replicas(struct group *group, const uint64_t *vms, uint32_t n);
/* Real time that a VM spent in the log and codec, for benchmarks. */
uint64_t group_busy_ns(const struct group *group, uint64_t vm);
const struct group_counters *group_get_counters(const struct group *group);
/* The description of the first violation; empty if there is none. */
const char *group_violation(const struct group *group);

#endif
