/*
 * Evacuated failure domains: their endpoints get no new requests until the
 * evacuation ends, while requests that run there finish.
 */
#ifndef DAISYLEDGE_EVACUATION_H
#define DAISYLEDGE_EVACUATION_H

#include "daisyledge/base.h"

/* More domains than a deployment has; a further evacuation is refused. */
#define DL_EVACUATIONS_MAX 32

struct dl_evacuations {
	uint64_t revision; /* incremented by each change; 0: none ever */
	uint32_t count;
	struct dl_name domain[DL_EVACUATIONS_MAX];
};

/* Whether a failure domain is evacuated. */
bool dl_evacuations_contain(const struct dl_evacuations *e,
			    struct dl_str domain);
/*
 * Begins or ends an evacuation. Returns 0, -EALREADY if this changes nothing,
 * -EINVAL if the name is empty or too long, or -ENOSPC.
 */
int dl_evacuations_set(struct dl_evacuations *e, struct dl_str domain,
		       bool evacuated);

#endif
