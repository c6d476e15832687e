/* The configuration as replicas push it to entries. */
#ifndef DL_STATE_CONF_PUSHED_H
#define DL_STATE_CONF_PUSHED_H

#include "daisyledge/conf_delta.h"

/*
 * Splits the native text of a configuration into the sections that entries get.
 * They lack "source", the text as the operators wrote it, which is only needed
 * to answer reads; *had_source tells whether there was one. Results as of
 * dl_conf_sections_split().
 */
int dl_conf_pushed_split(struct dl_str text, struct dl_conf_sections **out,
			 bool *had_source);

#endif
