/*
 * Requests, and parts of prompts, that crash endpoints: detecting crashes,
 * clearing what endpoints survive, and refusing what is quarantined. An
 * interrupted attempt alone is not a crash, since a connection may be reset, or
 * an endpoint fail a single request. It counts as a crash if the endpoint's
 * address then refuses connections, or another instance is running there.
 */
#include "entry/entry_call.h"

#include <errno.h>

#include "base/metric.h"
#include "base/msg.h"

/*
 * A process that exits closes its connections and its listening socket one
 * after the other.
 */
#define CHECK_DELAY_MS	 60
#define CHECK_TIMEOUT_MS 500
/*
 * A crash comes with the first tokens that an endpoint writes on a cause. A
 * stream that goes on for longer shows that its causes are harmless, long
 * before its end.
 */
#define SURVIVED_MS	 2000
#define SCAN_INTERVAL_MS 100
/* Until a crash at the end of an unmarked response is known. */
#define UNMARKED_MS 1000
/* How long a dispatcher lets no other probe pass. */
#define PROBE_RUNS_MS 2000
#define RETRY_MS      500
#define SCOPE_SEED    0x73636f70

/* A connection attempt to an endpoint where an attempt was interrupted. */
struct crash_check {
	struct entry *e;
	uint64_t instance_id;
	uint64_t address;
	int64_t due;
	bool under_way;
};

/*
 * A response whose end only its connection marks. It looks the same if its
 * endpoint crashed, so it clears its causes only once that would be known.
 */
struct unmarked_answer {
	uint64_t instance_id;
	struct dl_causes causes;
	uint64_t *part; /* that causes points to; allocated */
	int64_t due;
};

static bool on_connected(void *arg);
static void on_checked(void *arg, const struct dl_attempt *attempt,
		       const struct dl_err *err);

static const struct dl_httpc_ops check_ops = { .connected = on_connected,
					       .end = on_checked };

static void unmarked_answer_free(gpointer p)
{
	struct unmarked_answer *answer = p;

	g_free(answer->part);
	g_free(answer);
}

/* Initializes the quarantine state. */
void entry_quarantine_init(struct entry *e)
{
	quarantine_init(&e->quarantine);
	e->crash_checks = g_ptr_array_new_with_free_func(g_free);
	e->unmarked_answers =
		g_ptr_array_new_with_free_func(unmarked_answer_free);
}

/* Returns what may crash an endpoint that runs a request. */
static struct dl_causes causes_of(const struct call *c)
{
	return (struct dl_causes){
		.request = c->content_hash,
		.scope = dl_hash(dl_name_str(&c->service), SCOPE_SEED) | 1,
		.part = c->shared_parts,
		.parts = c->shared_parts_count,
	};
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

static bool any_is_suspect(const struct entry *e,
			   const struct dl_causes *causes)
{
	const struct dl_quarantine *records = e->quarantine.records;
	struct dl_cause cause = { causes->request, 0 };

	if (dl_quarantine_is_suspect(records, &cause))
		return true;
	for (uint32_t i = 0; i < causes->parts; i++) {
		cause = (struct dl_cause){ causes->part[i], causes->scope };
		if (dl_quarantine_is_suspect(records, &cause))
			return true;
	}
	return false;
}

static void schedule_crash_check(struct entry *e, uint64_t instance_id,
				 uint64_t address)
{
	struct crash_check *check;

	for (guint i = 0; i < e->crash_checks->len; i++) {
		check = e->crash_checks->pdata[i];
		if (check->instance_id == instance_id)
			return;
	}
	check = g_new0(struct crash_check, 1);
	check->e = e;
	check->instance_id = instance_id;
	check->address = address;
	check->due = entry_now(e) + CHECK_DELAY_MS;
	g_ptr_array_add(e->crash_checks, check);
}

/*
 * The endpoint accepts connections; a new instance there is detected by its
 * announcement.
 */
static bool on_connected(void *arg)
{
	return false;
}

static void on_checked(void *arg, const struct dl_attempt *attempt,
		       const struct dl_err *err)
{
	struct crash_check *check = arg;

	if (err->code == -ECONNREFUSED)
		entry_quarantine_instance_crashed(check->e, check->instance_id);
	g_ptr_array_remove(check->e->crash_checks, check);
}

static void start_crash_check(struct crash_check *check)
{
	struct dl_httpc_req req = {
		.address = check->address,
		.method = DL_STR("GET"),
		.path = DL_STR("/"),
		.connect_ms = CHECK_TIMEOUT_MS,
		.idle_ms = CHECK_TIMEOUT_MS,
	};

	check->under_way = true;
	dl_httpc_start(check->e->httpc, &req, &check_ops, check);
}

/*
 * Handles the end or abandonment of an attempt: records an interruption, and a
 * response that may have been one.
 */
void entry_quarantine_attempt_ended(struct call *c,
				    const struct dl_attempt *attempt,
				    const struct dl_err *err)
{
	bool unmarked = attempt->failure == DL_FAILURE_NONE &&
			c->framing == DL_FRAMING_CLOSE;
	struct dl_causes causes = causes_of(c);
	struct entry *e = c->e;
	uint64_t address;

	if (err && err->code == -ECONNREFUSED)
		entry_quarantine_instance_crashed(e, c->endpoint_instance_id);
	if (!c->endpoint_instance_id || !c->content_hash ||
	    attempt->sent == DL_SENT_NOTHING ||
	    (attempt->failure == DL_FAILURE_NONE && !unmarked) ||
	    attempt->failure == DL_FAILURE_BAD_RESPONSE)
		return;
	dl_quarantine_attempt_interrupted(e->quarantine.records, &causes,
					  c->endpoint_instance_id,
					  c->attempt_at, entry_now(e));
	if ((attempt->failure == DL_FAILURE_RESET ||
	     (unmarked && any_is_suspect(e, &causes))) &&
	    dl_vm_parse(dl_name_str(&c->grant.endpoint[0]), &address))
		schedule_crash_check(e, c->endpoint_instance_id, address);
}

/* Reports that an endpoint survived a cause, if crashes are known of it. */
static void clear_cause(struct entry *e, struct dl_cause cause)
{
	const struct dl_quarantine *records = e->quarantine.records;
	struct dl_crash harmless = { .cause = cause, .request = cause.id };

	if (!dl_quarantine_is_suspect(records, &cause))
		return;
	harmless.cleared = dl_quarantine_clear_count(records, &cause) + 1;
	quarantine_report_local(&e->quarantine, &harmless, entry_now(e));
}

static void clear_causes(struct entry *e, const struct dl_causes *causes)
{
	clear_cause(e, (struct dl_cause){ causes->request, 0 });
	for (uint32_t i = 0; i < causes->parts; i++)
		clear_cause(e, (struct dl_cause){ causes->part[i],
						  causes->scope });
}

/* Remembers a response until a crash of its endpoint would be known. */
static void await_crash(struct call *c)
{
	struct unmarked_answer *answer = g_new0(struct unmarked_answer, 1);

	answer->causes = causes_of(c);
	answer->part = g_memdup2(c->shared_parts,
				 c->shared_parts_count * sizeof(uint64_t));
	answer->causes.part = answer->part;
	answer->instance_id = c->endpoint_instance_id;
	answer->due = entry_now(c->e) + UNMARKED_MS;
	g_ptr_array_add(c->e->unmarked_answers, answer);
}

/*
 * Whether the endpoint has written a whole answer. An error may come from one
 * that did not begin to work on the request.
 */
static bool was_answered(const struct call *c)
{
	if (c->kind == DL_POOL_PLAIN && !c->stream)
		return c->status < 500;
	return c->status >= 200 && c->status < 300;
}

/*
 * Clears the causes of a request that was answered completely. One that did not
 * ask for an endpoint got the recorded outcome of an earlier request.
 */
void entry_quarantine_request_completed(struct call *c)
{
	struct dl_causes causes = causes_of(c);

	if (!c->content_hash || !was_answered(c) ||
	    !any_is_suspect(c->e, &causes))
		return;
	if (c->framing == DL_FRAMING_CLOSE)
		await_crash(c);
	else
		clear_causes(c->e, &causes);
}

/* Clears the causes of streams that have gone on for long enough. */
static void clear_survived(struct entry *e)
{
	for (struct call *c = e->calls; c; c = c->next) {
		struct dl_causes causes = causes_of(c);

		if (c->attempt && c->content_hash && c->attempt_first_at &&
		    c->attempt_last_at - c->attempt_first_at >= SURVIVED_MS)
			clear_causes(e, &causes);
	}
}

/* Clears the causes of unmarked responses whose endpoint did not crash. */
static void clear_unmarked(struct entry *e, int64_t now)
{
	for (guint i = e->unmarked_answers->len; i > 0; i--) {
		struct unmarked_answer *answer =
			e->unmarked_answers->pdata[i - 1];

		if (now < answer->due)
			continue;
		if (!dl_quarantine_has_crashed(e->quarantine.records,
					       &answer->causes,
					       answer->instance_id))
			clear_causes(e, &answer->causes);
		g_ptr_array_remove_index(e->unmarked_answers, i - 1);
	}
}

/* Notes which part of the request's prompt is quarantined, for its log line. */
static void note_blamed(struct call *c,
			const struct dl_quarantine_verdict *verdict)
{
	c->blamed_part = verdict->cause.scope ? verdict->cause.id : 0;
}

static void refuse(struct call *c, const struct dl_quarantine_verdict *verdict)
{
	note_blamed(c, verdict);
	dl_count(DL_METRIC_quarantine_refusals, 1);
	entry_call_refuse(c, DL_REASON_QUARANTINED, DL_STEP_ADMIT,
			  c->e->node.self,
			  verdict->retry_ms ? verdict->retry_ms : RETRY_MS);
}

/*
 * Refuses a request that holds a quarantined cause; returns whether it did. One
 * that may run as a probe is marked as such: its dispatcher lets it pass if no
 * other probe runs. It runs once, since a second attempt would crash another
 * endpoint.
 */
bool entry_quarantine_refuses(struct call *c)
{
	struct dl_causes causes = causes_of(c);
	struct dl_quarantine_verdict verdict = dl_quarantine_check(
		c->e->quarantine.records, &causes, entry_now(c->e));

	c->probes = verdict.rule == DL_QUARANTINE_PROBE;
	c->probed_cause = verdict.cause;
	note_blamed(c, &verdict);
	if (verdict.rule == DL_QUARANTINE_RUN || (c->probes && !c->has_probed))
		return false;
	refuse(c, &verdict);
	return true;
}

/* Refuses a probe where no dispatcher can tell whether another one runs. */
bool entry_quarantine_refuses_unchecked_probe(struct call *c)
{
	const struct dl_quarantine_verdict verdict = {
		.cause = c->probed_cause,
	};

	if (!c->probes)
		return false;
	refuse(c, &verdict);
	return true;
}

/*
 * Lets a probe pass at the dispatcher of its service if no other one runs, for
 * some time or until its cause is cleared.
 */
bool entry_quarantine_admit_probe(struct entry *e, struct entry_pool *p,
				  const struct dl_cause *cause)
{
	int64_t now = entry_now(e);

	if (now < p->probe_until &&
	    dl_quarantine_remaining_ms(e->quarantine.records, &p->probed_cause,
				       now))
		return false;
	p->probed_cause = *cause;
	p->probe_until = now + PROBE_RUNS_MS;
	dl_count(DL_METRIC_quarantine_probes, 1);
	dl_msg(DL_MSG_PROBE_ADMITTED, "service=%s %s=%lx", p->service.s,
	       cause->scope ? "part" : "content", (unsigned long)cause->id);
	return true;
}

/*
 * Ends an attempt at an engine that has not begun to answer: it would crash it
 * when it does.
 */
static void end_waiting_attempt(struct call *c,
				const struct dl_quarantine_verdict *verdict)
{
	struct dl_attempt a = dl_httpc_progress(c->attempt);

	c->usage.ran = a.sent != DL_SENT_NOTHING;
	c->may_have_run |= c->usage.ran;
	refuse(c, verdict);
}

/* Applies what is known of causes now to a request that has been admitted. */
static void judge_again(struct call *c)
{
	struct dl_causes causes = causes_of(c);
	struct dl_quarantine_verdict verdict = dl_quarantine_check(
		c->e->quarantine.records, &causes, entry_now(c->e));

	if (c->state == CALL_ASKING || c->state == CALL_QUEUED) {
		if (verdict.rule == DL_QUARANTINE_REFUSE) {
			refuse(c, &verdict);
		} else if (verdict.rule == DL_QUARANTINE_PROBE && !c->probes) {
			entry_grant_cancel(c);
			entry_grant_ask(c);
		}
	} else if (c->state == CALL_RUNNING && c->attempt &&
		   !c->first_byte_at && c->kind == DL_POOL_MODEL &&
		   verdict.rule == DL_QUARANTINE_REFUSE && verdict.certain &&
		   verdict.cause.scope) {
		end_waiting_attempt(c, &verdict);
	}
}

/* Judges all requests anew as soon as a quarantine is known. */
static void judge_admitted(struct entry *e)
{
	struct call *c, *next;

	for (c = e->calls; c; c = next) {
		next = c->next;
		if (c->content_hash)
			judge_again(c);
	}
}

static void on_instance_crashed(void *arg, uint64_t start)
{
	entry_quarantine_instance_crashed(arg, start);
}

/*
 * Handles crash reports of a replica. An instance that crashed under a request
 * of another VM also crashed under those of this one.
 */
void entry_quarantine_frame(struct entry *e, const struct dl_frame *f)
{
	quarantine_frame(&e->quarantine, f, false, entry_now(e),
			 on_instance_crashed, e);
}

static void send_to_replicas(void *arg, uint32_t kind, struct dl_str body)
{
	entry_cmd_send_replicas(arg, kind, body);
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
 * Whether a check may connect now. During a backoff it may not; a crash is then
 * detected when another instance announces itself.
 */
static bool is_due(const struct crash_check *check, int64_t now)
{
	char text[24];

	if (check->under_way || now < check->due)
		return false;
	dl_vm_text(check->address, text);
	return !entry_backoff_remaining_ms(check->e, dl_str_of(text),
					   check->instance_id);
}

/*
 * Runs checks that are due, clears causes that endpoints survived, applies what
 * became known to the requests here, and sends new crash reports.
 */
void entry_quarantine_tick(struct entry *e, int64_t now)
{
	for (guint i = 0; i < e->crash_checks->len; i++) {
		struct crash_check *check = e->crash_checks->pdata[i];

		if (is_due(check, now))
			start_crash_check(check);
	}
	clear_unmarked(e, now);
	if (dl_quarantine_suspects(e->quarantine.records) &&
	    now - e->survivors_scanned_at >= SCAN_INTERVAL_MS) {
		e->survivors_scanned_at = now;
		clear_survived(e);
	}
	e->quarantine.changed = false;
	quarantine_flush(&e->quarantine, now, send_to_replicas, e);
	if (e->quarantine.changed)
		judge_admitted(e);
}
