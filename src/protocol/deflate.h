/* Compression of large bodies between VMs, mainly configuration texts. */
#ifndef DL_PROTOCOL_DEFLATE_H
#define DL_PROTOCOL_DEFLATE_H

#include "daisyledge/base.h"

/* Returns 0 and *out, which the caller frees with free(), or -ENOMEM. */
int dl_deflate(struct dl_str body, char **out, size_t *n);
/* As above; -EBADMSG if the bytes are malformed or inflate to more than max. */
int dl_inflate(struct dl_str deflated, size_t max, char **out, size_t *n);

#endif
