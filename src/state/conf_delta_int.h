/* The decoded form of a delta, for the code that applies it. */
#ifndef DL_STATE_CONF_DELTA_INT_H
#define DL_STATE_CONF_DELTA_INT_H

#include <msgpack.h>

#include "state/conf_sections.h"

/* The checksum is the last bytes of a delta, in network order. */
#define CONF_DELTA_CHECKSUM_SEED  0x64656c74
#define CONF_DELTA_CHECKSUM_BYTES 8

/* A delta; its texts point into the bytes that it was decoded from. */
struct conf_delta {
	struct dl_conf_delta_head head;
	/*
	 * The new text of the head: so many first bytes of the base's, this
	 * text, and so many last bytes of the base's.
	 */
	bool head_changed;
	size_t head_prefix;
	size_t head_suffix;
	struct dl_str head_text;
	msgpack_object_array ops;
	msgpack_unpacked unpacked;
};

/*
 * An operation that produces routes: a copy of routes of the base, or a new
 * route if count is 0.
 */
struct conf_delta_op {
	uint32_t first;
	uint32_t count;
	struct dl_str text;
};

/*
 * Decodes a delta and verifies its checksum. Returns 0 or -EBADMSG; the caller
 * calls conf_delta_close() in both cases.
 */
int conf_delta_open(struct conf_delta *delta, struct dl_str bytes);
void conf_delta_close(struct conf_delta *delta);
/* Decodes an operation; false if it is malformed. */
bool conf_delta_op(const struct conf_delta *delta, uint32_t index,
		   struct conf_delta_op *out);

#endif
