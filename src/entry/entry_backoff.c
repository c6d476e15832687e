/*
 * Backoff from endpoints that refuse requests with a Retry-After time. This VM
 * sends an endpoint no requests until that time has passed, whichever
 * dispatcher grants it. The release of a grant reports the backoff to the
 * dispatcher, which then grants the endpoint only to other VMs; a dispatcher
 * that has just taken over learns of it from grants that are returned unused.
 */
#include "base/metric.h"
#include "base/msg.h"
#include "entry/entry_call.h"

/*
 * Shortest backoff. If it were shorter, each retry of one request could reach
 * the same endpoint.
 */
#define BACKOFF_MIN_MS 100
/*
 * The loop's time is updated once per iteration, and may lag behind the
 * endpoint's clock.
 */
#define LOOP_LAG_MS 20
/*
 * Grants that one request may return unused. A dispatcher that has just taken
 * over may grant every endpoint that the previous one had learnt to avoid.
 */
#define UNUSED_GRANTS_MAX  16
#define STATUS_UNAVAILABLE 503

/*
 * Returns the remaining backoff of this VM from an endpoint in ms, 0 for none.
 * instance_id is from entry_endpoint_instance_id(). If the instance was unknown
 * when the endpoint asked for the backoff, the backoff holds for any instance.
 */
uint32_t entry_backoff_remaining_ms(const struct entry *e,
				    struct dl_str address, uint64_t instance_id)
{
	int64_t now = entry_now(e);
	uint32_t any_ms =
		dl_backoff_remaining_ms(e->backoff, dl_hash(address, 0), now);
	uint32_t instance_ms = dl_backoff_remaining_ms(
		e->backoff, dl_hash(address, instance_id), now);

	return MAX(any_ms, instance_ms);
}

/*
 * Handles a response of an endpoint instance. retry_after_ms is 0 if the
 * response names no time. Returns whether the endpoint refused the request and
 * asked this VM to back off.
 */
bool entry_backoff_note_response(const struct call *c,
				 const struct dl_name *address,
				 uint64_t instance_id, uint16_t status,
				 uint32_t retry_after_ms)
{
	struct entry *e = c->e;
	uint64_t key = dl_hash(dl_name_str(address), instance_id);
	int64_t now = entry_now(e), until;

	if (status != STATUS_UNAVAILABLE || !retry_after_ms)
		return false;
	until = now + MAX(retry_after_ms, BACKOFF_MIN_MS) + LOOP_LAG_MS;
	if (dl_backoff_set(e->backoff, key, until, now)) {
		dl_count(DL_METRIC_backoffs_total, 1);
		dl_msg(DL_MSG_BACKOFF,
		       "request=%s endpoint=%s service=%s for_ms=%u",
		       c->id_text, address->s, c->service.s, retry_after_ms);
	}
	return true;
}

/*
 * Returns the first endpoint of a grant that this VM backs off from, or NULL.
 */
static const struct dl_name *find_backed_off_endpoint(const struct call *c,
						      uint32_t *remaining_ms)
{
	struct dl_str service = dl_name_str(&c->service);

	if (!dl_backoff_any_active(c->e->backoff, entry_now(c->e)))
		return NULL;
	for (uint8_t i = 0; i < c->grant.endpoints; i++) {
		const struct dl_name *name = &c->grant.endpoint[i];
		struct dl_str address = dl_name_str(name);
		uint64_t instance_id =
			entry_endpoint_instance_id(c->e, service, address);

		*remaining_ms =
			entry_backoff_remaining_ms(c->e, address, instance_id);
		if (*remaining_ms)
			return name;
	}
	return NULL;
}

/* Adds the endpoint that this VM backs off from to the release of a grant. */
void entry_backoff_add_to_release(struct call *c)
{
	uint32_t remaining_ms;
	const struct dl_name *address =
		find_backed_off_endpoint(c, &remaining_ms);

	if (!address)
		return;
	c->usage.backoff_endpoint = *address;
	c->usage.backoff_ms = remaining_ms;
}

/*
 * Whether a grant cannot be used because this VM backs off from its endpoint.
 */
bool entry_backoff_blocks_grant(const struct call *c)
{
	uint32_t remaining_ms;

	return find_backed_off_endpoint(c, &remaining_ms) != NULL;
}

/* Returns a grant that cannot be used, and asks for another. */
void entry_backoff_return_grant(struct call *c)
{
	entry_backoff_add_to_release(c);
	dl_count(DL_METRIC_grants_unused, 1);
	dl_msg(DL_MSG_GRANT_UNUSED,
	       "request=%s endpoint=%s left_ms=%u dispatcher=%lx unused=%u",
	       c->id_text, c->usage.backoff_endpoint.s, c->usage.backoff_ms,
	       (unsigned long)c->dispatcher, c->grants_unused);
	if (++c->grants_unused > UNUSED_GRANTS_MAX) {
		entry_call_refuse(c, DL_REASON_BACKOFF, DL_STEP_PLACE,
				  c->e->node.self, c->usage.backoff_ms);
		return;
	}
	entry_grant_replace(c);
}
