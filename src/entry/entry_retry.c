/*
 * Repeats of requests at endpoints, as far as the retry budget covers them.
 *
 * The deployment's allowance comes into being in parts: each VM has its share
 * of the slack, and each request brings some credit, which goes to the VM that
 * dispatches with the request for a grant.  A VM whose share does not cover a
 * repeat asks the dispatcher, and sends its share along.  Credit is sent once;
 * what is lost on the way is not replaced.
 */
#include <string.h>

#include "base/metric.h"
#include "base/msg.h"
#include "entry/entry_call.h"

#define ANSWER_TIMEOUT_MS DL_ASK_TIMEOUT_MS
/* Dispatchers asked before the repeat counts as not covered. */
#define LOST_MAX 2
/* A silent attempt that may not be given up is asked for again after this. */
#define DENIED_MS	  500
#define TICK_MS		  1000
#define CREDITS_PER_MILLI (DL_RETRY_ONE / 1000)
/*
 * No share accrues before this time after the start, when this VM may not have
 * heard of the others yet.
 */
#define VMS_UNKNOWN_MS 1000

static const enum dl_metric counters[DL_RETRY_WAY_COUNT] = {
	[DL_RETRY_UNSENT] = DL_METRIC_retries_unsent,
	[DL_RETRY_FAILED] = DL_METRIC_retries_failed,
	[DL_RETRY_REJECTED] = DL_METRIC_retries_rejected,
	[DL_RETRY_BROKEN] = DL_METRIC_retries_broken,
	[DL_RETRY_RESUMED] = DL_METRIC_retries_resumed,
	[DL_RETRY_SILENT] = DL_METRIC_retries_silent,
};

/* Initializes the state of an entry. */
void entry_retry_init(struct entry *e)
{
	e->retry_asks = g_hash_table_new(g_int64_hash, g_int64_equal);
	dl_retry_vms_update(&e->retry_vms, 1, entry_now(e));
	e->retry_reached = 1;
}

/* Counts the live VMs, all and those whose pools are dispatched with ours. */
static void count_vms(struct entry *e, int64_t now)
{
	uint32_t live = 0, reached = 0;
	const struct dl_member *m;

	for (uint32_t i = 0; (m = dl_memb_at(e->node.memb, i)); i++) {
		if (m->replica || m->state == DL_DEAD || m->state == DL_LEFT)
			continue;
		live++;
		reached += entry_pool_is_local_domain(
				   e, dl_name_str(&m->domain)) &&
			   !g_hash_table_contains(e->unreachable_vms, &m->vm);
	}
	dl_retry_vms_update(&e->retry_vms, MAX(live, 1), now);
	e->retry_reached = MAX(reached, 1);
}

/*
 * Sets the limit of a pool: the settings bound the share that the configuration
 * gives the service.
 */
void entry_retry_configure(struct entry *e, struct entry_pool *p)
{
	const struct dl_settings *s = &e->node.settings;
	const struct dl_service_conf *service =
		dl_conf_service(e->conf, dl_name_str(&p->service));

	p->retry_limit = (struct dl_retry_limit){
		.permille = service ? MIN(service->retry_budget_permille,
					  s->retry_permille) :
				      0,
		.slack = s->retry_slack,
		.window_ms = s->retry_window_ms,
	};
	dl_retry_budget_set_max(&p->retry_budget,
				dl_retry_dispatcher_max(&p->retry_limit,
							e->retry_reached,
							e->retry_vms.known));
}

static void accrue(struct entry *e, struct entry_pool *p)
{
	int64_t now = entry_now(e);

	if (now - e->started_at >= VMS_UNKNOWN_MS)
		dl_retry_share_accrue(&p->retry_share, &p->retry_limit,
				      e->retry_vms.known, now);
}

/* Returns the credit that a request brings; 0 from the second time on. */
uint64_t entry_retry_take_credit(struct call *c)
{
	const struct entry_pool *p =
		entry_pool_find(c->e, dl_name_str(&c->service));

	if (!p || c->retry.credit_sent)
		return 0;
	c->retry.credit_sent = true;
	return dl_retry_request_credit(&p->retry_limit);
}

/*
 * Adds credit that came with a request for a grant.  local: this VM places the
 * request itself, for lack of a dispatcher, and can spend only its own credit.
 */
void entry_retry_add_credit(struct entry *e, struct entry_pool *p,
			    uint64_t credit, bool local)
{
	accrue(e, p);
	dl_retry_budget_add(local ? &p->retry_share.budget : &p->retry_budget,
			    credit);
}

/* Counts and logs a decision; by is whose budget was asked. */
static void log_decision(struct call *c, enum dl_retry_way way,
			 const char *decision, const char *by, uint64_t left)
{
	static const struct dl_retry_limit none;
	const struct entry_pool *p =
		entry_pool_find(c->e, dl_name_str(&c->service));
	const struct dl_retry_limit *limit = p ? &p->retry_limit : &none;

	dl_msg(DL_MSG_RETRY,
	       "request=%s service=%s way=%s decision=%s by=%s vm=%lx "
	       "left_milli=%lu permille=%u slack=%u window_ms=%u vms=%u",
	       c->id_text, c->service.s, dl_retry_way_name(way), decision, by,
	       (unsigned long)c->retry.vm,
	       (unsigned long)(left / CREDITS_PER_MILLI), limit->permille,
	       limit->slack, limit->window_ms, c->e->retry_vms.known);
}

/* Records a decision on a repeat that is charged. */
static void decide(struct call *c, bool allowed, const char *by, uint64_t left)
{
	struct call_retry *r = &c->retry;

	r->state = allowed ? CALL_RETRY_ALLOWED : CALL_RETRY_DENIED;
	r->asked_at = entry_now(c->e);
	r->lost = 0;
	dl_count(allowed ? counters[r->way] : DL_METRIC_retries_denied, 1);
	log_decision(c, r->way, allowed ? "charged" : "denied", by, left);
}

/* Takes a repeat from a budget that has been collected here. */
static bool take_collected(struct entry_pool *p)
{
	bool allowed = dl_retry_budget_take_one(&p->retry_budget);

	p->retries_charged += allowed;
	p->retries_denied += !allowed;
	return allowed;
}

static void send_question(struct call *c, struct entry_pool *p, uint64_t vm)
{
	struct entry *e = c->e;
	struct dl_retry_request_frame f = { .service = p->service };
	struct dl_packer pk;

	c->retry.state = CALL_RETRY_ASKED;
	c->retry.id = ++e->next_id;
	c->retry.vm = vm;
	c->retry.asked_at = entry_now(e);
	g_hash_table_insert(e->retry_asks, &c->retry.id, c);
	f.id = c->retry.id;
	f.credit = dl_retry_budget_take_all(&p->retry_share.budget);
	dl_retry_request_pack(&pk, &f);
	/* A question that cannot be sent is not answered in time either. */
	dl_peers_send(e->node.peers, vm, DL_FRAME_RETRY_REQUEST, f.id,
		      dl_packer_bytes(&pk));
	dl_packer_close(&pk);
}

/* Takes a repeat from this VM's share, or asks the dispatcher. */
static void ask(struct call *c)
{
	struct entry *e = c->e;
	struct entry_pool *p = entry_pool_find(e, dl_name_str(&c->service));
	bool allowed;
	uint64_t vm;

	c->retry.vm = e->node.self;
	if (!p) {
		decide(c, false, "none", 0);
		return;
	}
	accrue(e, p);
	if (dl_retry_budget_take_one(&p->retry_share.budget)) {
		decide(c, true, "share", p->retry_share.budget.credit);
		return;
	}
	vm = entry_pool_owner(
		e, dl_name_str(&c->service),
		dl_name_str(dl_settings_pool_domain(&e->node.settings)));
	if (vm == DL_VM_NONE) {
		decide(c, false, "none", p->retry_share.budget.credit);
		return;
	}
	if (vm != e->node.self) {
		send_question(c, p, vm);
		return;
	}
	dl_retry_budget_add(&p->retry_budget,
			    dl_retry_budget_take_all(&p->retry_share.budget));
	allowed = take_collected(p);
	decide(c, allowed, "dispatcher", p->retry_budget.credit);
}

/*
 * Asks for the budget to cover the next attempt.  For an attempt whose endpoint
 * is silent, a denial stands for a while before the question is repeated.
 */
enum call_retry_state entry_retry_ask(struct call *c, enum dl_retry_way way)
{
	struct call_retry *r = &c->retry;

	if (r->state == CALL_RETRY_ALLOWED || r->state == CALL_RETRY_ASKED ||
	    (r->state == CALL_RETRY_DENIED && way == DL_RETRY_SILENT &&
	     entry_now(c->e) - r->asked_at < DENIED_MS))
		return r->state;
	r->way = way;
	ask(c);
	return r->state;
}

/*
 * Decides on an attempt that has ended.  While the dispatcher is asked, keeps
 * what is needed to go on or to answer the caller.
 */
enum call_retry_state entry_retry_after(struct call *c, enum dl_next next,
					const struct dl_attempt *attempt,
					enum dl_outcome outcome,
					const struct dl_err *err, bool complete)
{
	enum dl_retry_way way =
		dl_retry_way_of(attempt, dl_httpd_begun(c->http));
	struct call_retry *r = &c->retry;

	if (!dl_retry_way_is_charged(way)) {
		dl_count(counters[way], 1);
		log_decision(c, way, "not-charged", "none", 0);
		return CALL_RETRY_ALLOWED;
	}
	if (entry_retry_ask(c, way) != CALL_RETRY_ASKED)
		return r->state;
	r->attempt_ended = true;
	r->next = next;
	r->attempt = *attempt;
	r->outcome = outcome;
	r->err = *err;
	r->complete = complete;
	return r->state;
}

/* The next attempt is being sent: its endpoint may receive it. */
void entry_retry_used(struct call *c)
{
	if (c->retry.state == CALL_RETRY_ALLOWED)
		c->retry.state = CALL_RETRY_NONE;
}

/* Goes on with a request that waited for the decision. */
static void go_on(struct call *c)
{
	bool allowed = c->retry.state == CALL_RETRY_ALLOWED;

	if (!c->retry.attempt_ended)
		return;
	c->retry.attempt_ended = false;
	if (c->routed)
		entry_relay_retry_decided(c, allowed);
	else
		entry_try_retry_decided(c, allowed);
}

/* The request ends: forgets its question, gives back what it has not used. */
void entry_retry_forget(struct call *c)
{
	struct entry_pool *p;

	if (c->retry.state == CALL_RETRY_ASKED)
		g_hash_table_remove(c->e->retry_asks, &c->retry.id);
	if (c->retry.state == CALL_RETRY_ALLOWED) {
		p = entry_pool_find(c->e, dl_name_str(&c->service));
		if (p)
			dl_retry_budget_add(&p->retry_share.budget,
					    DL_RETRY_ONE);
	}
	c->retry.state = CALL_RETRY_NONE;
}

/* Answers whether the budget collected here covers a repeat. */
void entry_retry_request(struct entry *e, uint64_t from,
			 const struct dl_frame *f)
{
	struct dl_retry_request_frame asked;
	struct dl_retry_reply_frame reply = { 0 };
	struct entry_pool *p;
	struct dl_packer pk;

	if (dl_retry_request_read(f->body, &asked))
		return;
	reply.id = asked.id;
	p = entry_pool_find(e, dl_name_str(&asked.service));
	if (p) {
		dl_retry_budget_add(&p->retry_budget, asked.credit);
		reply.allowed = take_collected(p);
		reply.left = p->retry_budget.credit;
	}
	dl_retry_reply_pack(&pk, &reply);
	dl_peers_send(e->node.peers, from, DL_FRAME_RETRY_REPLY, asked.id,
		      dl_packer_bytes(&pk));
	dl_packer_close(&pk);
}

/* Handles a dispatcher's answer; a late one is dropped, with its credit. */
void entry_retry_reply(struct entry *e, uint64_t from, const struct dl_frame *f)
{
	struct dl_retry_reply_frame reply;
	struct call *c;

	if (dl_retry_reply_read(f->body, &reply))
		return;
	c = g_hash_table_lookup(e->retry_asks, &reply.id);
	if (!c || c->retry.vm != from) {
		dl_count(DL_METRIC_late_frames_dropped, 1);
		return;
	}
	g_hash_table_remove(e->retry_asks, &c->retry.id);
	decide(c, reply.allowed, "dispatcher", reply.left);
	go_on(c);
}

/* The dispatcher has not answered: asks the next one, if there is one. */
static void lost(struct call *c)
{
	g_hash_table_remove(c->e->retry_asks, &c->retry.id);
	entry_reach_mark_unreachable(c->e, c->retry.vm);
	if (++c->retry.lost < LOST_MAX)
		ask(c);
	else
		decide(c, false, "unanswered", 0);
	if (c->retry.state != CALL_RETRY_ASKED)
		go_on(c);
}

static void log_budget(const struct entry *e, struct entry_pool *p)
{
	if (!p->retries_charged && !p->retries_denied)
		return;
	dl_msg(DL_MSG_RETRY_BUDGET,
	       "service=%s charged=%u denied=%u left_milli=%lu max_milli=%lu "
	       "reached=%u vms=%u",
	       p->service.s, p->retries_charged, p->retries_denied,
	       (unsigned long)(p->retry_budget.credit / CREDITS_PER_MILLI),
	       (unsigned long)(p->retry_budget.max / CREDITS_PER_MILLI),
	       e->retry_reached, e->retry_vms.known);
	p->retries_charged = 0;
	p->retries_denied = 0;
}

/*
 * Updates the budgets.  A VM that does not dispatch keeps nothing of what it
 * has collected, or each of many could spend it later.
 */
static void update_budgets(struct entry *e, int64_t now)
{
	int64_t left = 0;

	count_vms(e, now);
	for (struct entry_pool *p = e->pools; p; p = p->next) {
		entry_retry_configure(e, p);
		accrue(e, p);
		log_budget(e, p);
		if (!p->dispatching)
			p->retry_budget.credit = 0;
		left += (int64_t)(p->retry_budget.credit / CREDITS_PER_MILLI);
	}
	dl_gauge(DL_METRIC_retry_budget_left_milli, left);
}

/* Handles questions that were not answered in time; updates the budgets. */
void entry_retry_tick(struct entry *e, int64_t now)
{
	struct call *c, *next;

	if (now - e->retry_ticked_at >= TICK_MS) {
		e->retry_ticked_at = now;
		update_budgets(e, now);
	}
	if (!g_hash_table_size(e->retry_asks))
		return;
	for (c = e->calls; c; c = next) {
		next = c->next;
		if (c->retry.state == CALL_RETRY_ASKED &&
		    now - c->retry.asked_at > ANSWER_TIMEOUT_MS)
			lost(c);
	}
}
