/*
 * Whether the configuration of this VM is current. The VM repeatedly asks the
 * leading replica which version is in force; coordination/lease.c computes how
 * long an answer is valid. A VM that is partitioned, or was suspended, accepts
 * no API key once its lease has expired: the key may have been revoked.
 */
#include "base/msg.h"
#include "entry/entry.h"
#include "protocol/pack.h"

/*
 * Interval of requests where leases decide nothing, and the answers only carry
 * the version in force and the evacuations.
 */
#define INFORM_INTERVAL_MS 1000

/*
 * Replicas asked at once while this VM has no valid lease. Each answer names
 * the leader, so that a few are enough: with all of them, a thousand VMs that
 * start together would send each replica thousands of requests a second.
 */
#define REPLICAS_ASKED 8

static void log_validity_change(struct entry *e)
{
	bool holds = entry_lease_is_valid(e);

	if (holds == e->lease_logged_valid)
		return;
	e->lease_logged_valid = holds;
	dl_msg(holds ? DL_MSG_LEASE_VALID : DL_MSG_LEASE_EXPIRED,
	       "version=%lu age_ms=%ld leader=%lx", (unsigned long)e->version,
	       (long)dl_lease_age(&e->lease, dl_node_boot_ms()),
	       (unsigned long)e->leader);
	if (holds)
		entry_route_resume(e);
}

/* Whether requests with API keys may be decided by the local configuration. */
bool entry_lease_is_valid(const struct entry *e)
{
	if (!e->node.settings.foreign)
		return true;
	return e->conf &&
	       dl_lease_is_valid(&e->lease, e->node.settings.key_lease_ms,
				 dl_node_boot_ms());
}

/* Whether this VM is ready for new callers. */
bool entry_lease_ready(const struct entry *e)
{
	if (!e->node.settings.foreign)
		return true;
	return e->conf &&
	       dl_lease_ready(&e->lease, e->node.settings.key_lease_ms,
			      dl_node_boot_ms());
}

/* Records that a version was put in force. */
void entry_lease_version_applied(struct entry *e)
{
	dl_lease_version_applied(&e->lease, e->version);
	log_validity_change(e);
}

/*
 * Returns how long a request may wait for a replica to confirm the version, ms.
 */
uint32_t entry_lease_max_wait_ms(const struct entry *e, uint32_t left_ms)
{
	return dl_lease_max_wait_ms(&e->lease, e->started_at,
				    e->replica_heard_at, left_ms, entry_now(e));
}

/* Handles a replica's answer. */
void entry_lease_frame(struct entry *e, uint64_t from,
		       const struct dl_frame *frame)
{
	struct dl_lease_answer a = { .from = from };
	struct dl_reader r;
	bool bad;

	dl_reader_open(&r, frame->body);
	a.confirmed = dl_read_bool(&r);
	a.version = dl_read_u64(&r);
	a.leader = dl_read_u64(&r);
	a.requested_at = (int64_t)frame->request;
	bad = r.bad;
	entry_evacuation_read(e, &r, from);
	dl_reader_close(&r);
	if (bad)
		return;
	e->replica_heard_at = entry_now(e);
	e->leader = dl_lease_handle_answer(&e->lease, &a, e->version,
					   dl_node_boot_ms());
	if (a.confirmed)
		entry_conf_version_seen(e, a.version, from);
	log_validity_change(e);
}

static void send_request(struct entry *e, uint64_t replica)
{
	struct dl_packer pk;

	dl_packer_open(&pk, 1);
	dl_pack_u64(&pk, e->version);
	dl_peers_send(e->node.peers, replica, DL_FRAME_LEASE_REQUEST,
		      (uint64_t)e->lease.requested_at, dl_packer_bytes(&pk));
	dl_packer_close(&pk);
}

static bool request_due(const struct entry *e)
{
	int64_t now = dl_node_boot_ms();

	if (e->node.settings.foreign)
		return dl_lease_renewal_due(&e->lease,
					    e->node.settings.key_lease_ms, now);
	return now - e->lease.requested_at >= INFORM_INTERVAL_MS;
}

/* Asks the leader and some other replicas, another few each time. */
static void ask_some_replicas(struct entry *e)
{
	GArray *all = entry_cmd_replicas(e);
	guint n = MIN(all->len, REPLICAS_ASKED);

	for (guint i = 0; i < n; i++) {
		uint64_t vm = g_array_index(all, uint64_t,
					    (e->lease_asked + i) % all->len);

		if (vm != e->leader)
			send_request(e, vm);
	}
	e->lease_asked += n;
	send_request(e, e->leader);
	g_array_free(all, TRUE);
}

/*
 * Requests a renewal when it is due, and changes to another replica if the last
 * one did not answer in time. Without a valid lease others are asked as well,
 * since whichever becomes the leader answers as soon as it can confirm the
 * version.
 */
void entry_lease_tick(struct entry *e, int64_t now)
{
	if (!request_due(e))
		return;
	log_validity_change(e);
	if (dl_lease_timed_out(&e->lease, dl_node_boot_ms())) {
		dl_lease_replica_changed(&e->lease);
		e->leader = DL_VM_NONE;
	}
	entry_cmd_choose_leader(e);
	if (e->leader == DL_VM_NONE)
		return;
	dl_lease_request_sent(&e->lease, dl_node_boot_ms());
	if (entry_lease_ready(e))
		send_request(e, e->leader);
	else
		ask_some_replicas(e);
}
