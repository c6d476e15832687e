/*
 * The body of DL_FRAME_CMD_REPLY: what a command came to, and which replica
 * leads.  The body of DL_FRAME_CMD is the command itself, dl_cstore_encode().
 */
#ifndef DL_PROTOCOL_CMD_H
#define DL_PROTOCOL_CMD_H

#include "daisyledge/cstore.h"

/* leader is the replica's peer address, DL_VM_NONE where none is known. */
int dl_reply_encode(const struct dl_cstore_reply *reply, uint64_t leader,
		    char **out, size_t *n);
/* Its outcome points into body.  -EBADMSG for anything else. */
int dl_reply_decode(struct dl_str body, struct dl_cstore_reply *out,
		    uint64_t *leader);

#endif
