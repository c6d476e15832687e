/*
 * The body of DL_FRAME_CMD_REPLY: the result of a command and the address of
 * the leader. The body of DL_FRAME_CMD is the command, see dl_cstore_encode().
 */
#ifndef DL_PROTOCOL_CMD_H
#define DL_PROTOCOL_CMD_H

#include "daisyledge/cstore.h"

/* leader: the peer address of the leading replica; DL_VM_NONE if unknown. */
int dl_reply_encode(const struct dl_cstore_reply *reply, uint64_t leader,
		    char **out, size_t *n);
/* The outcome points into body. -EBADMSG if the body is malformed. */
int dl_reply_decode(struct dl_str body, struct dl_cstore_reply *out,
		    uint64_t *leader);

#endif
