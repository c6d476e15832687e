/*
 * Logs what this replica believes of its group and of its disk when it changes:
 * role, leader, voters that are lost, failed disk operations.  These tell
 * apart why a group has no leader: too few voters, a disk, or votes.
 */
#include <string.h>

#include "base/metric.h"
#include "base/msg.h"
#include "replica/replica.h"

/* Silence after which a voter counts as lost; as long as for its replacement.
 */
#define SILENT_MS 2500
/* Time without a leader that is logged: longer than an election takes. */
#define NO_LEADER_MS 3000
/* Time of a write that is logged: callers begin to notice. */
#define HANGING_WRITE_MS 1000

/* Initializes the state; nothing has been logged yet. */
void replica_health_init(struct replica *r)
{
	r->health.role = DL_RLOG_ROLE_COUNT;
	r->health.leader_known_at = replica_now(r);
}

/* Counts join requests that were not kept; the first one is logged. */
static void check_joins(struct replica *r, const struct dl_rlog_status *s)
{
	dl_gauge(DL_METRIC_joins_ignored, (int64_t)s->joins_ignored);
	if (!s->joins_ignored || r->health.joins_ignored)
		return;
	r->health.joins_ignored = true;
	dl_msg(DL_MSG_JOINS_IGNORED, "members=%u", s->count + 1);
}

/*
 * Logs a change of role, or of the leader that is followed.  A log that cannot
 * be read yet has no role.
 */
static void check_role(struct replica *r, const struct dl_rlog_status *s,
		       int64_t now)
{
	struct replica_health *h = &r->health;
	bool new_leader = s->role == DL_RLOG_FOLLOWER &&
			  s->leader != DL_VM_NONE && s->leader != h->leader;
	char leader[24];

	if (r->log_retry_at || (s->role == h->role && !new_leader))
		return;
	if (s->role == DL_RLOG_LEADER) {
		h->led_since = now;
		h->lost_count = 0;
		dl_msg(DL_MSG_REPLICA_LEADER, "term=%lu",
		       (unsigned long)s->term);
	} else if (s->role == DL_RLOG_FOLLOWER) {
		dl_msg(DL_MSG_REPLICA_FOLLOWER, "term=%lu leader=%s",
		       (unsigned long)s->term, dl_vm_text(s->leader, leader));
	} else if (s->role == DL_RLOG_HALTED) {
		dl_msg(DL_MSG_REPLICA_DAMAGED, "reason=\"%s\"", s->halt_reason);
	}
	h->role = s->role;
	h->leader = s->leader;
}

static enum replica_voter_state state_of(const struct dl_rlog_peer_status *p,
					 int64_t led_ms)
{
	int64_t silent_ms = p->heard_ms_ago < 0 ? led_ms : p->heard_ms_ago;

	if (silent_ms > SILENT_MS)
		return REPLICA_VOTER_SILENT;
	return p->disk_fails ? REPLICA_VOTER_DISK_FAILS : REPLICA_VOTER_OK;
}

/* The state of a voter that was logged last; stores the new one. */
static enum replica_voter_state replace_state(struct replica_health *h,
					      uint64_t id,
					      enum replica_voter_state state)
{
	enum replica_voter_state old = REPLICA_VOTER_OK;
	uint32_t n = 0;

	for (uint32_t i = 0; i < h->lost_count; i++) {
		if (h->lost[i].id == id)
			old = h->lost[i].state;
		else
			h->lost[n++] = h->lost[i];
	}
	if (state != REPLICA_VOTER_OK && n < DL_RLOG_MEMBERS_MAX)
		h->lost[n++] = (struct replica_lost_voter){ id, state };
	h->lost_count = n;
	return old;
}

/* Logs at the leader that a voter is lost to the group, or back. */
static void check_voter(struct replica *r, const struct dl_rlog_peer_status *p,
			int64_t now)
{
	static const enum dl_msg msgs[] = {
		[REPLICA_VOTER_OK] = DL_MSG_VOTER_BACK,
		[REPLICA_VOTER_SILENT] = DL_MSG_VOTER_SILENT,
		[REPLICA_VOTER_DISK_FAILS] = DL_MSG_VOTER_DISK_FAILS,
	};
	enum replica_voter_state state = state_of(p, now - r->health.led_since);
	char vm[24];

	if (replace_state(&r->health, p->member.id, state) == state)
		return;
	dl_msg(msgs[state], "vm=%s age_ms=%ld match=%lu",
	       dl_vm_text(p->member.vm, vm), (long)p->heard_ms_ago,
	       (unsigned long)p->match);
}

/* Counts the voters, and those that were heard recently. */
static void count_voters(const struct dl_rlog_status *s, uint32_t *voters,
			 uint32_t *heard)
{
	*voters = s->voter;
	*heard = s->voter;
	for (uint32_t i = 0; i < s->count; i++) {
		const struct dl_rlog_peer_status *p = &s->peers[i];

		*voters += p->member.voter;
		*heard += p->member.voter && p->heard_ms_ago >= 0 &&
			  p->heard_ms_ago <= SILENT_MS;
	}
	dl_gauge(DL_METRIC_voters, *voters);
	dl_gauge(DL_METRIC_voters_heard, *heard);
}

/* Logs once that no leader has been known for some time. */
static void check_leader(struct replica *r, const struct dl_rlog_status *s,
			 int64_t now)
{
	struct replica_health *h = &r->health;
	uint32_t voters, heard;

	count_voters(s, &voters, &heard);
	if (s->contact) {
		h->leader_known_at = now;
		h->no_leader = false;
		return;
	}
	if (h->no_leader || now - h->leader_known_at < NO_LEADER_MS)
		return;
	h->no_leader = true;
	dl_msg(DL_MSG_REPLICA_NO_LEADER,
	       "age_ms=%ld term=%lu voters=%u heard=%u",
	       (long)(now - h->leader_known_at), (unsigned long)s->term, voters,
	       heard);
}

/* Logs a failed disk operation, unless the one before failed alike. */
static void check_disk_operations(struct replica *r)
{
	struct dl_rlog_store_errors e = dl_rlog_store_errors(r->store);
	struct replica_health *h = &r->health;

	if (e.count == h->disk_errors)
		return;
	dl_gauge(DL_METRIC_disk_errors, (int64_t)e.count);
	h->disk_errors = e.count;
	if (e.step == h->disk_step && e.code == h->disk_code)
		return;
	h->disk_step = e.step;
	h->disk_code = e.code;
	dl_msg(DL_MSG_REPLICA_DISK_ERROR, "step=\"%s\" error=\"%s\"", e.step,
	       strerror(-e.code));
}

/* Logs that a write does not finish, and how long it took in the end. */
static void check_hanging(struct replica *r, int64_t now)
{
	const char *step = dl_rlog_store_step(r->store);
	struct replica_health *h = &r->health;

	if (h->hanging_since &&
	    (!step || r->write_started_at != h->hanging_since)) {
		dl_msg(DL_MSG_REPLICA_DISK_ANSWERS, "ms=%ld",
		       (long)(now - h->hanging_since));
		h->hanging_since = 0;
	}
	if (!step || h->hanging_since ||
	    now - r->write_started_at < HANGING_WRITE_MS)
		return;
	h->hanging_since = r->write_started_at;
	dl_msg(DL_MSG_REPLICA_DISK_HANGS, "step=\"%s\" age_ms=%ld", step,
	       (long)(now - r->write_started_at));
}

/* Logs that writes fail, and that they succeed again. */
static void check_disk(struct replica *r, const struct dl_rlog_status *s,
		       int64_t now)
{
	struct replica_health *h = &r->health;

	check_disk_operations(r);
	check_hanging(r, now);
	if (!s->write_error == !h->disk_failed_at)
		return;
	if (s->write_error) {
		h->disk_failed_at = now - s->write_failed_ms;
		dl_gauge(DL_METRIC_disk_failing, 1);
		dl_msg(DL_MSG_REPLICA_DISK_FAILED,
		       "error=\"%s\" term=%lu leader=%d synced=%lu last=%lu",
		       strerror(-s->write_error), (unsigned long)s->term,
		       s->role == DL_RLOG_LEADER, (unsigned long)s->synced,
		       (unsigned long)s->last);
		return;
	}
	dl_gauge(DL_METRIC_disk_failing, 0);
	dl_msg(DL_MSG_REPLICA_DISK_WORKS,
	       "failed_ms=%ld tries=%u synced=%lu last=%lu",
	       (long)(now - h->disk_failed_at), s->write_failures,
	       (unsigned long)s->synced, (unsigned long)s->last);
	h->disk_failed_at = 0;
	h->disk_step = NULL;
}

/* Logs what has changed since the last call. */
void replica_health_check(struct replica *r)
{
	int64_t now = replica_now(r);
	struct dl_rlog_status s;

	dl_rlog_get_status(r->rlog, now, &s);
	check_disk(r, &s, now);
	check_role(r, &s, now);
	check_joins(r, &s);
	check_leader(r, &s, now);
	if (s.role != DL_RLOG_LEADER)
		return;
	for (uint32_t i = 0; i < s.count; i++) {
		if (s.peers[i].member.voter)
			check_voter(r, &s.peers[i], now);
	}
}
