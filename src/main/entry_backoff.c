/*
 * Endpoints that turn requests away and ask this VM to wait: it backs off from
 * them until the time that they named is over, whoever granted them.  The
 * release of a grant carries this to the dispatcher, which then grants the
 * endpoint to other VMs only; one that has just taken over learns it from the
 * grants that come back unused.
 */
#include "base/metric.h"
#include "base/msg.h"
#include "main/entry_call.h"

/*
 * The shortest backoff: with less, one request could come back to the endpoint
 * with each of its tries.
 */
#define BACKOFF_MIN_MS 100
/* The loop's time is that of its turn, and may be behind the endpoint's. */
#define LOOP_LAG_MS 20
/*
 * Grants that one request gives back unused.  A dispatcher that has just taken
 * over may offer each endpoint that another one had learnt to leave out.
 */
#define UNUSED_GRANTS_MAX  16
#define STATUS_UNAVAILABLE 503

/*
 * How much longer this VM backs off from an endpoint, ms; 0: not at all.
 * start: as entry_endpoint_instance_id() numbers it; one that was not known
 * when the endpoint asked may be any.
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
 * A start of an endpoint has answered a request with a status and named a time
 * after which to come back; 0: none.  True where it turned the request away for
 * that time.
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

/* The first endpoint of a grant that this VM backs off from, or NULL. */
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

/* Add to the release of a grant which of its endpoints to back off from. */
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

/* Whether a grant cannot be used now, as this VM backs off from its endpoint.
 */
bool entry_backoff_blocks_grant(const struct call *c)
{
	uint32_t remaining_ms;

	return find_backed_off_endpoint(c, &remaining_ms) != NULL;
}

/* Give a grant back that cannot be used, and ask for another place. */
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
	entry_reservation_release(c);
	entry_grant_release(c);
	c->first_byte_at = 0;
	entry_grant_ask(c);
}
