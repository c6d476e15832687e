/*
 * Pools of the same service in other failure domains: the load that their
 * dispatchers report, and which of them are suggested for requests that cannot
 * be placed here.
 */
#include <stdlib.h>
#include <string.h>

#include "entry/entry.h"

/* Requests spill only to pools whose summary is newer than this. */
#define SUMMARY_MAX_AGE_MS 3000

/* Whether a summary is of a service and recent enough to use. */
bool entry_remote_is_fresh(const struct entry *e,
			   const struct remote_pool *remote,
			   struct dl_str service)
{
	return dl_name_eq(&remote->service, service) &&
	       entry_now(e) - remote->heard_at <= SUMMARY_MAX_AGE_MS;
}

/* Suggests other domains for a refused request, the least loaded first. */
void entry_remote_suggest(struct entry *e, struct dl_str service,
			  struct dl_answer_frame *f)
{
	uint64_t backlog[DL_SPILL_MAX];
	const struct remote_pool *remote;
	uint32_t k;

	if (f->answer.verdict != DL_REFUSED)
		return;
	for (remote = e->remote_pools; remote; remote = remote->next) {
		if (!entry_remote_is_fresh(e, remote, service) ||
		    remote->summary.endpoints == 0)
			continue;
		if (f->spill_count == DL_SPILL_MAX)
			break;
		for (k = f->spill_count;
		     k > 0 && backlog[k - 1] > remote->summary.backlog_ms;
		     k--) {
			backlog[k] = backlog[k - 1];
			f->spill[k] = f->spill[k - 1];
		}
		backlog[k] = remote->summary.backlog_ms;
		f->spill[k] = remote->domain;
		f->spill_count++;
	}
}

static struct remote_pool *find_or_add_pool(struct entry *e,
					    const struct dl_name *service,
					    const struct dl_name *domain)
{
	struct remote_pool *remote;

	for (remote = e->remote_pools; remote; remote = remote->next) {
		if (dl_name_eq(&remote->service, dl_name_str(service)) &&
		    dl_name_eq(&remote->domain, dl_name_str(domain)))
			return remote;
	}
	remote = calloc(1, sizeof(*remote));
	if (!remote)
		return NULL;
	remote->service = *service;
	remote->domain = *domain;
	remote->next = e->remote_pools;
	e->remote_pools = remote;
	return remote;
}

/* Handles a summary of a pool in another failure domain. */
void entry_remote_frame(struct entry *e, uint64_t from,
			const struct dl_frame *f)
{
	struct dl_name service, domain;
	struct dl_pool_summary summary;
	struct remote_pool *remote;

	if (dl_summary_read(f->body, &service, &domain, &summary))
		return;
	remote = find_or_add_pool(e, &service, &domain);
	if (!remote)
		return;
	remote->summary = summary;
	remote->heard_at = entry_now(e);
}

static bool contains_domain(const struct dl_name *seen, uint32_t n,
			    const struct dl_name *domain)
{
	for (uint32_t i = 0; i < n; i++) {
		if (dl_name_eq(&seen[i], dl_name_str(domain)))
			return true;
	}
	return false;
}

/*
 * Sends the summary of a pool to the dispatchers of its service in other
 * domains.
 */
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
		    contains_domain(seen, n, &m->domain))
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

/*
 * Stops spilling to the pools of a dispatcher that cannot be reached, until it
 * sends another summary.
 */
void entry_remote_vm_down(struct entry *e, uint64_t vm)
{
	struct remote_pool *remote;

	for (remote = e->remote_pools; remote; remote = remote->next) {
		if (entry_pool_owner(e, dl_name_str(&remote->service),
				     dl_name_str(&remote->domain)) == vm)
			remote->heard_at = -SUMMARY_MAX_AGE_MS - 1;
	}
}
