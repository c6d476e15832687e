/*
 * Evacuation of failure domains: the operators' requests, and the list that
 * entries are sent. The list is part of the replicated state, so an evacuation
 * is acknowledged only once a majority has it on disk.
 */
#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "base/msg.h"
#include "replica/replica.h"
#include "protocol/evacuation_codec.h"

/* Adds the list to a frame for an entry. */
void replica_evacuation_pack(struct replica *r, struct dl_packer *pk)
{
	dl_evacuations_pack(pk, dl_cstore_evacuations(r->cstore));
}

/*
 * The leader sends a list that has changed to all live entries. An entry that
 * misses it gets it with the answer to its next lease request.
 */
void replica_evacuation_check(struct replica *r)
{
	uint64_t revision = dl_cstore_evacuations(r->cstore)->revision;
	struct dl_rlog_status s;
	struct dl_packer pk;

	if (revision == r->evacuations_sent)
		return;
	r->evacuations_sent = revision;
	dl_rlog_get_status(r->rlog, replica_now(r), &s);
	if (s.role != DL_RLOG_LEADER)
		return;
	dl_packer_open(&pk, DL_EVACUATIONS_ITEMS);
	replica_evacuation_pack(r, &pk);
	replica_broadcast(r, false, DL_FRAME_EVACUATIONS, dl_packer_bytes(&pk));
	dl_packer_close(&pk);
}

/* Whether a name is that of a failure domain of this deployment. */
static bool is_known_domain(const struct replica *r, struct dl_str domain)
{
	const struct dl_settings *s = &r->node.settings;
	const struct dl_member *m;

	if (dl_name_eq(&s->failure_domain, domain))
		return true;
	for (uint32_t i = 0; i < s->failure_domains_count; i++) {
		if (dl_name_eq(&s->failure_domains[i], domain))
			return true;
	}
	/* Members of a region name the region, which cannot be evacuated. */
	for (uint32_t i = 0; !s->region.n && (m = dl_memb_at(r->node.memb, i));
	     i++) {
		if (dl_name_eq(&m->domain, domain))
			return true;
	}
	return false;
}

/* Checks a request of an operator; returns 0, or -EINVAL with the reason. */
int replica_evacuation_validate(const struct replica *r, struct dl_str domain,
				struct dl_err *err)
{
	if (domain.n > 0 && domain.n <= DL_NAME_MAX &&
	    is_known_domain(r, domain))
		return 0;
	return dl_err_set(err, -EINVAL, DL_STEP_CHECK, NULL,
			  "no such failure domain");
}
