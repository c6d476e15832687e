/*
 * Whether a delta can be applied between two events of an entry. Load: changes
 * within seconds on a VM with a tenth of a core. Harm: its event loop, and with
 * it all streams, stall while a delta is applied that needs much of the text to
 * be parsed, however few bytes it has.
 */
#ifndef DL_STATE_CONF_DELTA_COST_H
#define DL_STATE_CONF_DELTA_COST_H

#include "daisyledge/conf_delta.h"

/*
 * Whether applying a delta to its base parses only a small head and the routes
 * in the delta, which must itself be small. The head is always parsed; a change
 * of the names of services makes all routes be parsed again. False for a
 * damaged delta.
 */
bool dl_conf_delta_is_cheap(struct dl_str delta,
			    const struct dl_conf_sections *base,
			    const struct dl_conf *base_conf);
/*
 * Whether the head of the base, or what a delta adds to it, is large: the head
 * is parsed in one step. False for a damaged delta.
 */
bool dl_conf_delta_has_large_head(struct dl_str delta,
				  const struct dl_conf_sections *base);

#endif
