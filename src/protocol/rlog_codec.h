/*
 * The messages of the replicated log as msgpack arrays, for the body of
 * DL_FRAME_RLOG.
 */
#ifndef DL_PROTOCOL_RLOG_CODEC_H
#define DL_PROTOCOL_RLOG_CODEC_H

#include <msgpack.h>

#include "daisyledge/rlog.h"

/* A decoded message and the memory that it refers to. */
struct dl_rlog_decoded {
	struct dl_rlog_msg msg;
	struct dl_rlog_entry *entries;
	msgpack_unpacked unpacked;
};

/* Appends the message; the VM addresses are not encoded, the frame has them. */
void dl_rlog_encode(const struct dl_rlog_msg *msg, msgpack_sbuffer *out);
/*
 * Returns 0 or -EINVAL. dl_rlog_decoded_free() is due on success. Strings
 * point into body.
 */
int dl_rlog_decode(struct dl_str body, struct dl_rlog_decoded *out);
void dl_rlog_decoded_free(struct dl_rlog_decoded *decoded);

#endif
