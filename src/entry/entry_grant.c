/*
 * The client side of dispatch: an entry asks the dispatcher of a pool for an
 * endpoint, holds the grant under a lease, and releases it.  Where a dispatcher
 * moves, dies or does not reply, the ask is repeated; the request cannot run
 * twice, since nothing is sent to an endpoint before the grant.
 */
#include <stdlib.h>
#include <string.h>

#include "base/hist.h"
#include "base/metric.h"
#include "base/msg.h"
#include "entry/entry_call.h"

/*
 * A dispatcher replies within one iteration of its event loop; after this time
 * the ask counts as lost.  For a VM that lost power, each request would wait
 * this long until membership notices, so the first timeout marks the VM as
 * unreachable for all requests.
 */
#define ASK_TIMEOUT_MS DL_ASK_TIMEOUT_MS
/* Two VMs may briefly disagree about which of them is the dispatcher. */
#define ASK_AGAIN_MS 50
/* How often a stream that has begun asks for an endpoint while there is none.
 */
#define RESUME_AGAIN_MS 200
/* A VM that replies that it is not the dispatcher is alive and will learn that
 * it is; such replies count as one lost ask only after a second of them. */
#define NOT_DISPATCHER_MAX 20
/* After this many lost asks an entry places the request itself. */
#define ASKS_LOST_MAX	 2
#define RETRY_DEFAULT_MS 1000
/* No VM can connect to the endpoints; it is tried several times a second. */
#define ISOLATED_RETRY_MS 500

static struct dl_str service_of(const struct call *c)
{
	return dl_name_str(&c->service);
}

static bool own_domain(const struct call *c)
{
	return entry_pool_is_local_domain(c->e, dl_name_str(&c->domain));
}

/* Returns the VM that is the dispatcher of the call's pool now. */
static uint64_t current_dispatcher(struct call *c)
{
	return entry_pool_owner(c->e, service_of(c), dl_name_str(&c->domain));
}

static void fill_ask(struct call *c)
{
	struct dl_ask *ask = &c->ask.ask;
	uint64_t made = entry_route_output_made(c);

	memset(&c->ask, 0, sizeof(c->ask));
	c->ask.service = c->service;
	c->ask.no_spill = c->redirected || c->refused;
	c->ask.standby = g_hash_table_size(c->e->unreachable_vms) > 0;
	if (c->probes)
		c->ask.probed_cause = c->probed_cause;
	c->ask.retry_credit = entry_retry_take_credit(c);
	ask->request = c->ask_id;
	ask->entry = c->e->node.self;
	ask->workspace = dl_name_str(&c->workspace);
	/* Without regions a pool has one failure domain, so none is sent. */
	if (c->e->node.settings.region.n)
		ask->failure_domain = c->e->node.settings.failure_domain;
	ask->class = c->class;
	ask->prompt_tokens = c->prompt_tokens + made;
	ask->output_tokens = c->output_tokens - made;
	ask->prefix = c->prefix;
	ask->prefix_tokens = c->prefix_tokens;
	ask->deadline = c->deadline;
	ask->target_ms = c->route.target_ms;
	ask->gap_ms = c->stream ? c->route.gap_ms : 0;
	if (c->routed && c->stream && !dl_httpd_begun(c->http))
		ask->first_event_deadline =
			c->whole_at + c->route.caller_silence_ms;
	ask->tried = c->tried_count;
	memcpy(ask->tried_ids, c->tried_ids, sizeof(ask->tried_ids));
}

static void new_ask_id(struct call *c)
{
	struct entry *e = c->e;

	if (c->ask_id)
		g_hash_table_remove(e->asks, &c->ask_id);
	c->ask_id = ++e->next_id;
	g_hash_table_insert(e->asks, &c->ask_id, c);
}

static void send_ask(struct call *c)
{
	struct entry *e = c->e;
	struct dl_packer pk;

	dl_ask_pack(&pk, &c->ask, entry_now(e));
	if (dl_peers_send(e->node.peers, c->dispatcher, DL_FRAME_GRANT_REQUEST,
			  c->ask_id, dl_packer_bytes(&pk)))
		c->ask_again_at = entry_now(e) + ASK_AGAIN_MS;
	dl_packer_close(&pk);
	entry_hedge_sent(c);
}

/*
 * Asks the pool on this VM.  With local set no dispatcher can be reached: the
 * entry then places the request from the reports that it has received.  Two
 * entries may briefly overcommit an endpoint this way, which the endpoint's own
 * admission control bounds.
 */
static void ask_locally(struct call *c, bool local)
{
	struct entry_pool *p = entry_pool_find(c->e, service_of(c));

	c->dispatcher = c->e->node.self;
	c->placed_locally = local;
	if (local && entry_quarantine_refuses_unchecked_probe(c))
		return;
	if (!p) {
		entry_call_refuse(c, DL_REASON_NO_ENDPOINT, DL_STEP_PLACE,
				  DL_VM_NONE, RETRY_DEFAULT_MS);
		return;
	}
	entry_retry_add_credit(c->e, p, c->ask.retry_credit, local);
	entry_pool_ask(c->e, p, &c->ask, local);
}

/* Adds the time in the current waiting state to its total, and restarts it. */
void call_note_wait(struct call *c)
{
	int64_t now = entry_now(c->e);

	if (c->state == CALL_ASKING)
		c->asking_ms += (uint32_t)(now - c->wait_started_at);
	else if (c->state == CALL_QUEUED)
		c->queued_ms += (uint32_t)(now - c->wait_started_at);
	c->wait_started_at = now;
}

/* Asks for an endpoint; the call may have been freed when this returns. */
void entry_grant_ask(struct call *c)
{
	struct entry *e = c->e;

	entry_hedge_step(c,
			 (struct dl_hedge_event){ .kind = DL_HEDGE_RESTART });
	if (!c->content_hash)
		c->content_hash = call_content(c);
	if (entry_quarantine_refuses(c))
		return;
	if (!dl_httpd_begun(c->http) &&
	    entry_path_is_isolated(e, service_of(c))) {
		entry_call_refuse(c, DL_REASON_UNREACHABLE, DL_STEP_PLACE,
				  e->node.self, ISOLATED_RETRY_MS);
		return;
	}
	if (c->domain.n == 0)
		c->domain = *dl_settings_pool_domain(&e->node.settings);
	new_ask_id(c);
	call_note_wait(c);
	c->state = CALL_ASKING;
	c->asked_at = entry_now(e);
	c->asked_at_boot = dl_node_boot_ms();
	c->ask_again_at = 0;
	c->placed_locally = false;
	fill_ask(c);
	c->dispatcher = current_dispatcher(c);
	entry_hedge_step(c, (struct dl_hedge_event){ .kind = DL_HEDGE_ASK });
	if (own_domain(c) &&
	    (c->dispatcher == DL_VM_NONE || c->asks_lost >= ASKS_LOST_MAX)) {
		ask_locally(c, true);
		return;
	}
	if (c->dispatcher == DL_VM_NONE) {
		entry_call_refuse(c, DL_REASON_NO_DISPATCHER, DL_STEP_ADMIT,
				  DL_VM_NONE, RETRY_DEFAULT_MS);
		return;
	}
	if (c->dispatcher == e->node.self)
		ask_locally(c, false);
	else
		send_ask(c);
}

static void send_number(struct call *c, uint64_t vm, uint32_t kind,
			uint64_t number)
{
	struct dl_packer pk;

	dl_id_pack(&pk, service_of(c), number);
	dl_peers_send(c->e->node.peers, vm, kind, c->ask_id,
		      dl_packer_bytes(&pk));
	dl_packer_close(&pk);
}

/*
 * Tells the dispatcher that the first event has arrived: for engines that work
 * in passes this shows when a pass ended.
 */
void entry_grant_first_event(struct call *c)
{
	struct entry_pool *p;

	if (!c->granted || !c->stream || c->kind != DL_POOL_MODEL ||
	    c->grant.endpoints != 1)
		return;
	if (c->dispatcher != c->e->node.self) {
		send_number(c, c->dispatcher, DL_FRAME_FIRST_EVENT,
			    c->grant.grant);
		return;
	}
	p = entry_pool_find(c->e, service_of(c));
	if (p)
		dl_pool_first_event(p->pool, c->grant.grant, entry_now(c->e));
}

/* Cancels an ask at a VM that it was sent to. */
void call_cancel_at(struct call *c, uint64_t vm)
{
	struct entry *e = c->e;
	struct entry_pool *p;

	if (vm != e->node.self) {
		send_number(c, vm, DL_FRAME_CANCEL, c->ask_id);
		return;
	}
	p = entry_pool_find(e, service_of(c));
	if (p)
		entry_pool_cancel(e, p, e->node.self, c->ask_id);
}

/* Cancels an ask that has not been granted. */
void entry_grant_cancel(struct call *c)
{
	struct entry *e = c->e;

	if (!c->ask_id)
		return;
	if (!c->granted)
		call_note_wait(c);
	g_hash_table_remove(e->asks, &c->ask_id);
	entry_hedge_step(c, (struct dl_hedge_event){ .kind = DL_HEDGE_END });
	c->ask_id = 0;
}

/* Releases the grant, and reports what the request used to the dispatcher. */
void entry_grant_release(struct call *c)
{
	struct entry *e = c->e;
	struct entry_pool *p;
	struct dl_packer pk;

	if (!c->granted)
		return;
	c->granted = false;
	entry_hedge_step(c,
			 (struct dl_hedge_event){ .kind = DL_HEDGE_RELEASED });
	entry_backoff_add_to_release(c);
	if (c->dispatcher == e->node.self) {
		p = entry_pool_find(e, service_of(c));
		if (p)
			dl_pool_release(p->pool, c->grant.grant, &c->usage,
					entry_now(e));
		return;
	}
	dl_release_pack(&pk, service_of(c), c->grant.grant, &c->usage);
	dl_peers_send(e->node.peers, c->dispatcher, DL_FRAME_RELEASE, c->ask_id,
		      dl_packer_bytes(&pk));
	dl_packer_close(&pk);
}

/* Releases the grant and the reservations, and asks for another endpoint. */
void entry_grant_replace(struct call *c)
{
	entry_reservation_release(c);
	entry_grant_release(c);
	c->first_byte_at = 0;
	entry_grant_ask(c);
}

/* The same, a moment later. */
void entry_grant_replace_later(struct call *c)
{
	entry_reservation_release(c);
	entry_grant_release(c);
	c->first_byte_at = 0;
	call_note_wait(c);
	c->state = CALL_ASKING;
	c->ask_again_at = entry_now(c->e) + ASK_AGAIN_MS;
}

static void accept_grant(struct call *c, const struct dl_answer *answer)
{
	int64_t now = entry_now(c->e);

	c->grant = *answer;
	c->granted = true;
	c->granted_at = now;
	c->asks_lost = 0;
	c->lease_ms = (uint32_t)MAX(answer->valid_until - now, 1);
	call_note_renewed(c, now);
	memset(&c->usage, 0, sizeof(c->usage));
	dl_observe(DL_HIST_queue_ms, now - c->asked_at);
	entry_call_span(c, c->state == CALL_QUEUED ? "queue" : "ask",
			c->asked_at, NULL);
	call_note_wait(c);
	c->state = CALL_RUNNING;
	entry_leaving_grant_accepted(c);
	entry_path_note_granted(c);
	if (entry_quarantine_refuses(c) || entry_stop_refuses(c))
		return;
	if (c->probes && !c->ask.probed_cause.id) {
		entry_grant_replace(c);
		return;
	}
	if (entry_backoff_blocks_grant(c)) {
		entry_backoff_return_grant(c);
		return;
	}
	if (entry_evacuation_blocks_grant(c)) {
		entry_evacuation_return_grant(c);
		return;
	}
	if (entry_leaving_blocks_grant(c)) {
		entry_leaving_return_grant(c);
		return;
	}
	if (c->routed)
		entry_relay_start(c);
	else
		entry_try_start(c);
}

static bool was_tried(const struct call *c, const struct dl_name *domain)
{
	for (uint32_t i = 0; i < c->spill_tried_count; i++) {
		if (dl_name_eq(&c->spill_tried[i], dl_name_str(domain)))
			return true;
	}
	return false;
}

/* Keeps the failure domains that a dispatcher suggests. */
static void note_hints(struct call *c, const struct dl_answer_frame *f)
{
	for (uint32_t i = 0; i < f->spill_count; i++) {
		bool known = false;

		for (uint32_t k = 0; k < c->hints_count; k++)
			known |= dl_name_eq(&c->hints[k],
					    dl_name_str(&f->spill[i]));
		if (!known && c->hints_count < DL_SPILL_MAX)
			c->hints[c->hints_count++] = f->spill[i];
	}
}

/* Asks the next suggested domain not yet tried; false where there is none. */
static bool ask_next_domain(struct call *c)
{
	for (uint32_t i = 0; i < c->hints_count; i++) {
		if (was_tried(c, &c->hints[i]) ||
		    dl_name_eq(&c->domain, dl_name_str(&c->hints[i])))
			continue;
		if (c->spill_tried_count > DL_SPILL_MAX)
			return false;
		c->spill_tried[c->spill_tried_count++] = c->domain;
		c->domain = c->hints[i];
		c->asks_lost = 0;
		entry_grant_ask(c);
		return true;
	}
	return false;
}

/*
 * Called where the dispatcher of another domain does not reply: asks the next
 * domain, or this VM's domain again, which suggests those it still hears from.
 */
static void ask_other_domain(struct call *c)
{
	if (ask_next_domain(c))
		return;
	c->spill_tried_count = 0;
	c->hints_count = 0;
	c->redirected = false;
	c->refused = false;
	c->asks_lost = 0;
	c->domain = *dl_settings_pool_domain(&c->e->node.settings);
	entry_grant_ask(c);
}

static bool can_spill(enum dl_reason reason)
{
	switch (reason) {
	case DL_REASON_RATE:
	case DL_REASON_CONCURRENCY:
		return false; /* a workspace's limit is the same everywhere */
	default:
		return true;
	}
}

/*
 * Where the pool of a failure domain is full or gone, tries the others that its
 * dispatcher suggested, each once.  A refusal then holds for all of them, and
 * the number of domains bounds the asks of one request.
 */
static bool spill(struct call *c, const struct dl_answer_frame *f)
{
	return can_spill(f->answer.reason) && ask_next_domain(c);
}

/* Keeps the refusal with the earliest retry time. */
static void note_refusal(struct call *c, const struct dl_answer *answer)
{
	if (c->refused &&
	    c->last_refusal.retry_after_ms <= answer->retry_after_ms)
		return;
	c->refused = true;
	c->last_refusal = *answer;
}

/* The dispatcher redirects the request to a pool with much lower load. */
static void follow_redirect(struct call *c, const struct dl_name *domain)
{
	c->redirected = true;
	c->domain = *domain;
	entry_grant_ask(c);
}

/* The other domains have refused; this VM's domain, which has not, decides. */
static void return_to_own_domain(struct call *c)
{
	c->redirected = false;
	c->domain = *dl_settings_pool_domain(&c->e->node.settings);
	entry_grant_ask(c);
}

/* Whether a pool that refuses for a reason may have an endpoint soon. */
static bool is_passing(enum dl_reason reason)
{
	return reason == DL_REASON_NO_ENDPOINT ||
	       reason == DL_REASON_UNREACHABLE || reason == DL_REASON_BACKOFF;
}

/*
 * Whether a refused request is to be asked for again: a stream that has begun,
 * for which no endpoint is left at the moment.  It would be broken off, though
 * endpoints that were silent, or new ones, may be there before its deadline.
 */
static bool waits_for_endpoint(const struct call *c)
{
	return c->routed && c->stream && dl_httpd_begun(c->http) &&
	       c->idempotent && is_passing(c->last_refusal.reason) &&
	       c->deadline - entry_now(c->e) > RESUME_AGAIN_MS;
}

/*
 * Asks again later.  Endpoints that were tried may be granted again: there is
 * no other, and one that was silent for a moment can go on with the stream.
 */
static void ask_later(struct call *c)
{
	call_note_wait(c);
	c->tried_count = 0;
	c->state = CALL_ASKING;
	c->spill_tried_count = 0;
	c->redirected = false;
	c->refused = false;
	c->domain = *dl_settings_pool_domain(&c->e->node.settings);
	c->ask_again_at = entry_now(c->e) + RESUME_AGAIN_MS;
}

static void handle_refusal(struct call *c, const struct dl_answer_frame *f)
{
	enum dl_step step = c->state == CALL_QUEUED ? DL_STEP_QUEUE :
						      DL_STEP_ADMIT;

	if (f->answer.reason == DL_REASON_NO_DISPATCHER) {
		call_note_wait(c);
		c->state = CALL_ASKING;
		if (++c->not_dispatcher_replies % NOT_DISPATCHER_MAX == 0)
			c->asks_lost++;
		c->ask_again_at = entry_now(c->e) + ASK_AGAIN_MS;
		return;
	}
	if (f->answer.reason == DL_REASON_NONE && f->spill_count) {
		follow_redirect(c, &f->spill[0]);
		return;
	}
	note_refusal(c, &f->answer);
	if (spill(c, f))
		return;
	if (c->redirected) {
		return_to_own_domain(c);
		return;
	}
	if (waits_for_endpoint(c)) {
		ask_later(c);
		return;
	}
	entry_call_refuse(c, c->last_refusal.reason, step, c->dispatcher,
			  c->last_refusal.retry_after_ms);
}

/* Returns a grant of a VM that no request uses. */
void entry_grant_release_unused(struct entry *e, uint64_t vm,
				struct dl_str service, uint64_t grant,
				uint64_t request)
{
	struct dl_usage unused = { 0 };
	struct entry_pool *p;
	struct dl_packer pk;

	if (vm == e->node.self) {
		p = entry_pool_find(e, service);
		if (p)
			dl_pool_release(p->pool, grant, &unused, entry_now(e));
		return;
	}
	dl_release_pack(&pk, service, grant, &unused);
	dl_peers_send(e->node.peers, vm, DL_FRAME_RELEASE, request,
		      dl_packer_bytes(&pk));
	dl_packer_close(&pk);
}

/* Releases a grant that crossed with the cancellation of its ask. */
static void drop_late_answer(struct entry *e, uint64_t from,
			     const struct dl_answer_frame *f)
{
	dl_count(DL_METRIC_late_frames_dropped, 1);
	if (f->answer.verdict == DL_GRANTED)
		entry_grant_release_unused(e, from, dl_name_str(&f->service),
					   f->answer.grant, f->answer.request);
}

/* Handles a dispatcher's reply; matched to its ask by id, never by order. */
void entry_grant_answer(struct entry *e, uint64_t from,
			const struct dl_answer_frame *f)
{
	struct call *c = g_hash_table_lookup(e->asks, &f->answer.request);
	uint32_t actions = DL_HEDGE_DROP;

	entry_hedge_note_answer(e, c, from, f->answer.request);
	if (c)
		actions = entry_hedge_answer(c, from, f->answer.verdict);
	if (actions & DL_HEDGE_DROP) {
		drop_late_answer(e, from, f);
	} else if (actions & DL_HEDGE_USE) {
		accept_grant(c, &f->answer);
	} else if (actions & DL_HEDGE_WAIT) {
		call_note_wait(c);
		c->state = CALL_QUEUED;
	} else if (actions & DL_HEDGE_REFUSED) {
		note_hints(c, f);
		handle_refusal(c, f);
	}
}

/* The connection to a VM is lost, and with it the asks sent on it. */
void entry_grant_down(struct entry *e, uint64_t vm)
{
	struct call *c;

	for (c = e->calls; c; c = c->next) {
		if (c->state != CALL_ASKING && c->state != CALL_QUEUED)
			continue;
		if (entry_hedge_vm_down(c, vm, current_dispatcher(c)) &
		    DL_HEDGE_ASK_LATER) {
			c->asks_lost++;
			c->ask_again_at = entry_now(e) + ASK_AGAIN_MS;
		}
	}
}

static bool ask_timed_out(const struct call *c, int64_t now)
{
	return c->state == CALL_ASKING && !c->ask_again_at &&
	       now - c->asked_at > ASK_TIMEOUT_MS;
}

static void ask_again(struct call *c)
{
	if (own_domain(c))
		entry_grant_ask(c);
	else
		ask_other_domain(c);
}

static void tick_call(struct call *c, int64_t now)
{
	uint64_t owner;

	if (c->granted) {
		call_renew(c, entry_hedge_holder(c, current_dispatcher(c)),
			   now);
		return;
	}
	if (c->state != CALL_ASKING && c->state != CALL_QUEUED)
		return;
	if (ask_timed_out(c, now)) {
		entry_reach_mark_unreachable(c->e, c->dispatcher);
		c->asks_lost++;
		if (entry_hedge_moved(c, current_dispatcher(c)) &
		    DL_HEDGE_ASK_ANEW)
			ask_again(c);
		return;
	}
	if (c->ask_again_at && now >= c->ask_again_at) {
		ask_again(c);
		return;
	}
	owner = current_dispatcher(c);
	if (owner == c->dispatcher || c->placed_locally) {
		entry_hedge_tick_call(c, now);
		return;
	}
	if (entry_hedge_moved(c, owner) & DL_HEDGE_ASK_ANEW)
		entry_grant_ask(c);
}

/*
 * Renews grants, repeats lost asks, and asks the new dispatcher where it has
 * moved.
 */
void entry_grant_tick(struct entry *e, int64_t now)
{
	struct call *c, *next;

	entry_hedge_tick(e, now);
	for (c = e->calls; c; c = next) {
		next = c->next;
		tick_call(c, now);
	}
}
