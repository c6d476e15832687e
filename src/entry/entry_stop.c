/*
 * Requests at a VM that stops: what it still admits, and what it refuses before
 * it has to cut it off.
 */
#include <string.h>

#include "base/metric.h"
#include "entry/entry_call.h"

/* Another VM accepts it: about the time to reach it, of a 300 ms target. */
#define RETRY_OTHER_VM_MS 20
/* No VM accepts it, until one of them has started again. */
#define RETRY_NO_VM_MS 500
/* A stream takes about twice as long as on an otherwise idle engine. */
#define STREAM_FACTOR 2.0

static uint32_t forecast_ms(const struct call *c,
			    const struct dl_engine_model *m, uint64_t output)
{
	double ms = c->route.target_ms;

	if (m->slots && (c->stream || !c->routed))
		ms += STREAM_FACTOR * (double)output /
		      (m->stride ? m->stride : 1) *
		      dl_engine_decode_pass_ms(m, 1, 0);
	return (uint32_t)MIN(ms, UINT32_MAX);
}

/*
 * Sets how long a request is expected to take.  Most responses stay far below
 * the length that callers allow.
 */
void entry_stop_forecast(struct call *c, const struct dl_service_conf *service)
{
	const struct dl_engine_model *m = &service->pool.engine;
	uint64_t usual = c->output_tokens;

	if (m->usual_output && m->usual_output < usual)
		usual = m->usual_output;
	c->expected_from = entry_now(c->e);
	c->expected_ms = forecast_ms(c, m, usual);
	c->longest_ms = forecast_ms(c, m, c->output_tokens);
}

static struct pool_overrun *overrun_of(const struct call *c)
{
	struct entry_pool *p = entry_pool_find(c->e, dl_name_str(&c->service));

	return p ? &p->overrun[c->stream] : NULL;
}

/* Learns from a request that has ended how long requests take now. */
void entry_stop_note_ended(const struct call *c)
{
	struct pool_overrun *o = c->granted_at ? overrun_of(c) : NULL;
	int64_t now = entry_now(c->e);

	if (o)
		dl_overrun_ended(&o->requests, c->expected_ms,
				 now - c->expected_from,
				 c->outcome == DL_OUTCOME_DONE, now);
}

/*
 * Whether callers that are refused here reach a VM that serves them.  Load
 * balancers use all VMs, whether ready or not, for want of ready ones; where at
 * least half of them are, it is taken that they don't.
 */
static bool others_admit(const struct entry *e)
{
	uint32_t ready = 0, all = 0;
	const struct dl_member *m;

	for (uint32_t i = 0; (m = dl_memb_at(e->node.memb, i)); i++) {
		if (m->replica || m->state != DL_ALIVE ||
		    g_hash_table_contains(e->unreachable_vms, &m->vm))
			continue;
		all++;
		ready += !m->draining && m->vm != e->node.self;
	}
	return ready && 2 * ready >= all;
}

static bool admits(const struct call *c)
{
	const struct entry *e = c->e;
	const struct pool_overrun *o = overrun_of(c);
	struct dl_stop stop = { .began_at = e->stop_at,
				.limit_ms = e->node.settings.stop_ms,
				.others_admit = e->others_admit };
	struct dl_stop_request req = { .expected_ms = c->expected_ms,
				       .longest_ms = c->longest_ms,
				       .deadline = c->deadline,
				       .factor = o ? o->factor : 1,
				       .waits = c->asked_at != 0 };

	return dl_stop_admits(&stop, &req, entry_now(e));
}

/*
 * Refuses a request of which nothing has been sent to its caller, if this VM
 * stops and may have to exit before it ends.  Returns true if it is refused.
 */
bool entry_stop_refuses(struct call *c)
{
	struct entry *e = c->e;

	if (!e->node.stopping || dl_httpd_begun(c->http) || admits(c))
		return false;
	dl_count(DL_METRIC_stop_refused, 1);
	entry_call_refuse(c, DL_REASON_DRAINING, DL_STEP_ADMIT, e->node.self,
			  e->others_admit ? RETRY_OTHER_VM_MS : RETRY_NO_VM_MS);
	return true;
}

/* Updates how long the requests of each service take. */
static void update_overruns(struct entry *e, int64_t now)
{
	for (struct entry_pool *p = e->pools; p; p = p->next) {
		for (size_t i = 0; i < G_N_ELEMENTS(p->overrun); i++)
			dl_overrun_restart_running(&p->overrun[i].requests);
	}
	for (const struct call *c = e->calls; c; c = c->next) {
		struct pool_overrun *o =
			c->state == CALL_RUNNING ? overrun_of(c) : NULL;

		if (o)
			dl_overrun_running(&o->requests, c->expected_ms,
					   now - c->expected_from);
	}
	for (struct entry_pool *p = e->pools; p; p = p->next) {
		for (size_t i = 0; i < G_N_ELEMENTS(p->overrun); i++)
			p->overrun[i].factor =
				dl_overrun_factor(&p->overrun[i].requests, now);
	}
}

/*
 * While this VM stops, updates what admission goes by, and refuses the requests
 * that wait and may not end before it exits.
 */
void entry_stop_tick(struct entry *e, int64_t now)
{
	struct call *c;

	if (!e->node.stopping)
		return;
	e->others_admit = others_admit(e);
	update_overruns(e, now);
	/* A refusal may end other calls, so start over after each. */
	c = e->calls;
	while (c) {
		bool waits = c->state == CALL_ASKING || c->state == CALL_QUEUED;

		c = waits && entry_stop_refuses(c) ? e->calls : c->next;
	}
}
