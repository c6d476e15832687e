/*
 * Evacuated failure domains, as the replicas last named them. The list comes
 * with each answer to a lease request, and at once when it changes. Revisions
 * only increase, so a late frame changes nothing.
 *
 * The dispatchers grant no endpoint of an evacuated domain. Each entry checks
 * its grants again before it sends, because its dispatcher may not know of the
 * evacuation yet.
 */
#include <string.h>

#include "base/metric.h"
#include "base/msg.h"
#include "entry/entry_call.h"
#include "protocol/evacuation_codec.h"

/* Grants that one request may give back because of an evacuation. */
#define UNUSED_GRANTS_MAX 4
/* Within this time the dispatcher learns of the evacuation as well. */
#define RETRY_MS 300

/*
 * Applies the list to a pool. Where pools do not span failure domains, no
 * endpoint reports one: then all of the pool's are of this VM's domain.
 */
static void apply_to_pool(struct entry *e, struct entry_pool *p)
{
	const struct dl_settings *s = &e->node.settings;
	struct dl_evacuations all = { 0 };

	if (s->region.n) {
		dl_pool_set_evacuations(p->pool, &e->evacuations, entry_now(e));
		return;
	}
	if (dl_evacuations_contain(&e->evacuations,
				   dl_name_str(&s->failure_domain)))
		all.count = 1;
	dl_pool_set_evacuations(p->pool, &all, entry_now(e));
}

/* Applies the list to a pool that was added. */
void entry_evacuation_pool_added(struct entry *e, struct entry_pool *p)
{
	if (e->evacuations.count)
		apply_to_pool(e, p);
}

/* Lists the domains for the log; the rest is left out where they are many. */
static void format_domains(const struct dl_evacuations *e, char *out, size_t n)
{
	size_t at = 0;

	out[0] = '\0';
	for (uint32_t i = 0; i < e->count && at < n; i++)
		at += (size_t)snprintf(out + at, n - at, "%s%s", i ? "," : "",
				       e->domain[i].s);
}

/* Takes over a newer list. */
static void adopt(struct entry *e, const struct dl_evacuations *list,
		  uint64_t from)
{
	char domains[256];

	if (list->revision <= e->evacuations.revision)
		return;
	e->evacuations = *list;
	for (struct entry_pool *p = e->pools; p; p = p->next)
		apply_to_pool(e, p);
	format_domains(list, domains, sizeof(domains));
	dl_gauge(DL_METRIC_evacuated_domains, list->count);
	dl_msg(DL_MSG_EVACUATIONS, "revision=%lu domains=%s from=%lx",
	       (unsigned long)list->revision, domains, (unsigned long)from);
}

/* Reads the list at the end of a lease answer; older replicas send none. */
void entry_evacuation_read(struct entry *e, struct dl_reader *r, uint64_t from)
{
	struct dl_evacuations list;

	if (r->bad || r->remaining < DL_EVACUATIONS_ITEMS)
		return;
	dl_evacuations_read(r, &list);
	if (!r->bad)
		adopt(e, &list, from);
}

/* Handles a list that a replica sent because it changed. */
void entry_evacuation_frame(struct entry *e, uint64_t from,
			    const struct dl_frame *f)
{
	struct dl_reader r;

	dl_reader_open(&r, f->body);
	entry_evacuation_read(e, &r, from);
	dl_reader_close(&r);
}

/* Whether an endpoint of the call's grant is in an evacuated domain. */
bool entry_evacuation_covers(const struct call *c, uint8_t endpoint)
{
	struct entry *e = c->e;
	struct entry_pool *p;

	if (!e->evacuations.count)
		return false;
	if (!e->node.settings.region.n)
		return dl_evacuations_contain(&e->evacuations,
					      dl_name_str(&c->domain));
	p = entry_pool_find(e, dl_name_str(&c->service));
	return p && dl_pool_endpoint_evacuated(
			    p->pool, dl_name_str(&c->grant.endpoint[endpoint]));
}

/* Whether the grant cannot be used because of an evacuation. */
bool entry_evacuation_blocks_grant(const struct call *c)
{
	for (uint8_t i = 0; i < c->grant.endpoints; i++) {
		if (entry_evacuation_covers(c, i))
			return true;
	}
	return false;
}

/* Gives back a grant that cannot be used, and asks for another endpoint. */
void entry_evacuation_return_grant(struct call *c)
{
	dl_count(DL_METRIC_grants_evacuated, 1);
	dl_msg(DL_MSG_GRANT_EVACUATED,
	       "request=%s endpoint=%s dispatcher=%lx unused=%u revision=%lu",
	       c->id_text, c->grant.endpoint[0].s, (unsigned long)c->dispatcher,
	       c->grants_evacuated, (unsigned long)c->e->evacuations.revision);
	if (++c->grants_evacuated > UNUSED_GRANTS_MAX) {
		entry_call_refuse(c, DL_REASON_EVACUATED, DL_STEP_PLACE,
				  c->e->node.self, RETRY_MS);
		return;
	}
	call_note_tried(c);
	entry_grant_replace(c);
}
