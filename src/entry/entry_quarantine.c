/*
 * Requests that crash endpoints: detecting crashes, and refusing quarantined
 * requests. An interrupted attempt alone is not a crash, since a connection may
 * be reset, or an endpoint fail a single request. It counts as a crash if the
 * endpoint's address then refuses connections, or another instance is running
 * there.
 */
#include "entry/entry_call.h"

#include <errno.h>

/*
 * A process that exits closes its connections and its listening socket one
 * after the other.
 */
#define PROBE_DELAY_MS	 60
#define PROBE_TIMEOUT_MS 500

/* A connection attempt to an endpoint where an attempt was interrupted. */
struct probe {
	struct entry *e;
	uint64_t instance_id;
	uint64_t address;
	int64_t due;
	bool under_way;
};

static bool on_connected(void *arg);
static void on_probed(void *arg, const struct dl_attempt *attempt,
		      const struct dl_err *err);

static const struct dl_httpc_ops probe_ops = { .connected = on_connected,
					       .end = on_probed };

/* Initializes the quarantine state. */
void entry_quarantine_init(struct entry *e)
{
	quarantine_init(&e->quarantine);
	e->probes = g_ptr_array_new_with_free_func(g_free);
}

/* Records that an instance ended without announcing that it was leaving. */
void entry_quarantine_instance_crashed(struct entry *e, uint64_t instance_id)
{
	int64_t now = entry_now(e);
	struct dl_crash crash;

	while (instance_id &&
	       dl_quarantine_next_crash(e->quarantine.records, instance_id, now,
					&crash))
		quarantine_report_local(&e->quarantine, &crash, now);
}

static void schedule_probe(struct entry *e, uint64_t instance_id,
			   uint64_t address)
{
	struct probe *probe;

	for (guint i = 0; i < e->probes->len; i++) {
		probe = e->probes->pdata[i];
		if (probe->instance_id == instance_id)
			return;
	}
	probe = g_new0(struct probe, 1);
	probe->e = e;
	probe->instance_id = instance_id;
	probe->address = address;
	probe->due = entry_now(e) + PROBE_DELAY_MS;
	g_ptr_array_add(e->probes, probe);
}

/*
 * The endpoint accepts connections; a new instance there is detected by its
 * announcement.
 */
static bool on_connected(void *arg)
{
	return false;
}

static void on_probed(void *arg, const struct dl_attempt *attempt,
		      const struct dl_err *err)
{
	struct probe *probe = arg;

	if (err->code == -ECONNREFUSED)
		entry_quarantine_instance_crashed(probe->e, probe->instance_id);
	g_ptr_array_remove(probe->e->probes, probe);
}

static void start_probe(struct probe *probe)
{
	struct dl_httpc_req req = {
		.address = probe->address,
		.method = DL_STR("GET"),
		.path = DL_STR("/"),
		.connect_ms = PROBE_TIMEOUT_MS,
		.idle_ms = PROBE_TIMEOUT_MS,
	};

	probe->under_way = true;
	dl_httpc_start(probe->e->httpc, &req, &probe_ops, probe);
}

/* Handles the end or abandonment of an attempt: records an interruption. */
void entry_quarantine_attempt_ended(struct call *c,
				    const struct dl_attempt *attempt,
				    const struct dl_err *err)
{
	struct entry *e = c->e;
	uint64_t address;

	if (err && err->code == -ECONNREFUSED)
		entry_quarantine_instance_crashed(e, c->endpoint_instance_id);
	if (!c->endpoint_instance_id || !c->content_hash ||
	    attempt->sent == DL_SENT_NOTHING ||
	    attempt->failure == DL_FAILURE_NONE ||
	    attempt->failure == DL_FAILURE_BAD_RESPONSE)
		return;
	dl_quarantine_attempt_interrupted(e->quarantine.records,
					  c->content_hash,
					  c->endpoint_instance_id,
					  entry_now(e));
	if (attempt->failure == DL_FAILURE_RESET &&
	    dl_vm_parse(dl_name_str(&c->grant.endpoint[0]), &address))
		schedule_probe(e, c->endpoint_instance_id, address);
}

/*
 * Records that an endpoint answered the request completely, so it is harmless.
 */
void entry_quarantine_request_completed(struct call *c)
{
	const struct dl_quarantine *records = c->e->quarantine.records;
	struct dl_crash harmless = { .request = c->content_hash };

	if (!dl_quarantine_is_suspect(records, c->content_hash))
		return;
	harmless.cleared =
		dl_quarantine_clear_count(records, c->content_hash) + 1;
	quarantine_report_local(&c->e->quarantine, &harmless, entry_now(c->e));
}

/*
 * Refuses a quarantined request; returns whether it did. A request that crashes
 * an engine at each attempt also interrupts all requests that run beside it.
 */
bool entry_quarantine_refuses(struct call *c)
{
	uint32_t left = dl_quarantine_remaining_ms(
		c->e->quarantine.records, c->content_hash, entry_now(c->e));

	if (!left)
		return false;
	entry_call_refuse(c, DL_REASON_QUARANTINED, DL_STEP_ADMIT,
			  c->e->node.self, left);
	return true;
}

/* Refuses waiting requests as soon as their quarantine is known. */
static void refuse_waiting(struct entry *e)
{
	struct call *c, *next;

	for (c = e->calls; c; c = next) {
		next = c->next;
		if (c->state == CALL_ASKING || c->state == CALL_QUEUED)
			entry_quarantine_refuses(c);
	}
}

/* Handles crash reports of a replica. */
void entry_quarantine_frame(struct entry *e, const struct dl_frame *f)
{
	quarantine_frame(&e->quarantine, f->body, false, entry_now(e));
	refuse_waiting(e);
}

static void send_to_replicas(void *arg, struct dl_str body)
{
	entry_cmd_send_replicas(arg, DL_FRAME_CRASHES, body);
}

/* Handles a connection to a VM: a replica is sent all crash reports. */
void entry_quarantine_vm_up(struct entry *e, uint64_t vm)
{
	const struct dl_member *m = dl_memb_find(e->node.memb, vm);

	if (m && m->replica)
		quarantine_send_all(&e->quarantine, e->node.peers, vm,
				    entry_now(e));
}

/*
 * Whether a probe may connect now. During a backoff it may not; a crash is then
 * detected when another instance announces itself.
 */
static bool is_due(const struct probe *probe, int64_t now)
{
	char text[24];

	if (probe->under_way || now < probe->due)
		return false;
	dl_vm_text(probe->address, text);
	return !entry_backoff_remaining_ms(probe->e, dl_str_of(text),
					   probe->instance_id);
}

/* Runs probes that are due, and sends new crash reports. */
void entry_quarantine_tick(struct entry *e, int64_t now)
{
	for (guint i = 0; i < e->probes->len; i++) {
		struct probe *probe = e->probes->pdata[i];

		if (is_due(probe, now))
			start_probe(probe);
	}
	quarantine_flush(&e->quarantine, now, send_to_replicas, e);
}
