/* The list of evacuated failure domains. */
#include "daisyledge/evacuation.h"

#include <errno.h>
#include <string.h>

static uint32_t find(const struct dl_evacuations *e, struct dl_str domain);

/* Returns the index of a domain, or the count if it is not listed. */
static uint32_t find(const struct dl_evacuations *e, struct dl_str domain)
{
	uint32_t i = 0;

	while (i < e->count && !dl_name_eq(&e->domain[i], domain))
		i++;
	return i;
}

/* Whether a failure domain is evacuated. */
bool dl_evacuations_contain(const struct dl_evacuations *e,
			    struct dl_str domain)
{
	return find(e, domain) < e->count;
}

/* Begins or ends the evacuation of a domain; see the header. */
int dl_evacuations_set(struct dl_evacuations *e, struct dl_str domain,
		       bool evacuated)
{
	uint32_t at = find(e, domain);

	if (domain.n == 0 || domain.n > DL_NAME_MAX)
		return -EINVAL;
	if (evacuated == (at < e->count))
		return -EALREADY;
	if (evacuated && e->count == DL_EVACUATIONS_MAX)
		return -ENOSPC;
	if (evacuated) {
		dl_name_set(&e->domain[e->count++], domain);
	} else {
		e->count--;
		memmove(&e->domain[at], &e->domain[at + 1],
			(e->count - at) * sizeof(e->domain[0]));
		memset(&e->domain[e->count], 0, sizeof(e->domain[0]));
	}
	e->revision++;
	return 0;
}
