/* Large bodies between VMs, deflated: texts of operators above all. */
#ifndef DL_PROTOCOL_DEFLATE_H
#define DL_PROTOCOL_DEFLATE_H

#include "daisyledge/base.h"

/* 0 and *out, which the caller frees with free(); -ENOMEM. */
int dl_deflate(struct dl_str body, char **out, size_t *n);
/* The same back; -EBADMSG for bytes that are none, or past max. */
int dl_inflate(struct dl_str deflated, size_t max, char **out, size_t *n);

#endif
