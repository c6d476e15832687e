/*
 * The pools of the same service in other failure domains: what their
 * dispatchers say of their load, and who is offered to callers that find no
 * place here.
 */
#include <stdlib.h>
#include <string.h>

#include "main/entry.h"

/* A pool that has not been heard of for so long takes no spill. */
#define SUMMARY_OLD_MS 3000

/* Whether a summary is of this service and still says something. */
bool entry_remote_is_fresh(const struct entry *e, const struct remote_pool *far,
			   struct dl_str service)
{
	return dl_name_eq(&far->service, service) &&
	       entry_now(e) - far->heard_at <= SUMMARY_OLD_MS;
}

/* Other domains that a refused request may try, the least loaded first. */
void entry_remote_suggest(struct entry *e, struct dl_str service,
			  struct dl_answer_frame *f)
{
	uint64_t backlog[DL_SPILL_MAX];
	const struct remote_pool *far;
	uint32_t k;

	if (f->answer.verdict != DL_REFUSED)
		return;
	for (far = e->remote_pools; far; far = far->next) {
		if (!entry_remote_is_fresh(e, far, service) ||
		    far->summary.endpoints == 0)
			continue;
		if (f->spill_count == DL_SPILL_MAX)
			break;
		for (k = f->spill_count;
		     k > 0 && backlog[k - 1] > far->summary.backlog_ms; k--) {
			backlog[k] = backlog[k - 1];
			f->spill[k] = f->spill[k - 1];
		}
		backlog[k] = far->summary.backlog_ms;
		f->spill[k] = far->domain;
		f->spill_count++;
	}
}

static struct remote_pool *far_find(struct entry *e,
				    const struct dl_name *service,
				    const struct dl_name *domain)
{
	struct remote_pool *far;

	for (far = e->remote_pools; far; far = far->next) {
		if (dl_name_eq(&far->service, dl_name_str(service)) &&
		    dl_name_eq(&far->domain, dl_name_str(domain)))
			return far;
	}
	far = calloc(1, sizeof(*far));
	if (!far)
		return NULL;
	far->service = *service;
	far->domain = *domain;
	far->next = e->remote_pools;
	e->remote_pools = far;
	return far;
}

/* How the pool of a service stands in another failure domain. */
void entry_remote_frame(struct entry *e, uint64_t from,
			const struct dl_frame *f)
{
	struct dl_name service, domain;
	struct dl_pool_summary summary;
	struct remote_pool *far;

	if (dl_summary_read(f->body, &service, &domain, &summary))
		return;
	far = far_find(e, &service, &domain);
	if (!far)
		return;
	far->summary = summary;
	far->heard_at = entry_now(e);
}

static bool seen_domain(const struct dl_name *seen, uint32_t n,
			const struct dl_name *domain)
{
	for (uint32_t i = 0; i < n; i++) {
		if (dl_name_eq(&seen[i], dl_name_str(domain)))
			return true;
	}
	return false;
}

/* Tell the dispatchers of the same service elsewhere how it stands here. */
void entry_remote_send_summary(struct entry *e, const struct entry_pool *p,
			       const struct dl_pool_summary *summary)
{
	struct dl_str own =
		dl_name_str(dl_settings_pool_domain(&e->node.settings));
	struct dl_name seen[DL_SPILL_MAX + 1];
	const struct dl_member *m;
	struct dl_packer pk;
	uint32_t n = 0;

	dl_summary_pack(&pk, dl_name_str(&p->service), own, summary);
	for (uint32_t i = 0; (m = dl_memb_at(e->node.memb, i)); i++) {
		uint64_t owner;

		if (m->state != DL_ALIVE || m->replica || n > DL_SPILL_MAX ||
		    entry_pool_is_local_domain(e, dl_name_str(&m->domain)) ||
		    seen_domain(seen, n, &m->domain))
			continue;
		seen[n++] = m->domain;
		owner = entry_pool_owner(e, dl_name_str(&p->service),
					 dl_name_str(&m->domain));
		if (owner != DL_VM_NONE)
			dl_peers_send(e->node.peers, owner, DL_FRAME_SUMMARY, 0,
				      dl_packer_bytes(&pk));
	}
	dl_packer_close(&pk);
}

/* A dispatcher elsewhere cannot be reached: spill there no more for now. */
void entry_remote_vm_down(struct entry *e, uint64_t vm)
{
	struct remote_pool *far;

	for (far = e->remote_pools; far; far = far->next) {
		if (entry_pool_owner(e, dl_name_str(&far->service),
				     dl_name_str(&far->domain)) == vm)
			far->heard_at = -SUMMARY_OLD_MS - 1;
	}
}
