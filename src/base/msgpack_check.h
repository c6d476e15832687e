/*
 * Validation of msgpack before it is unpacked. The msgpack library allocates
 * as many elements as the header of an array or map declares, so a few bytes
 * of malformed input could exhaust the memory.
 */
#ifndef DL_BASE_MSGPACK_CHECK_H
#define DL_BASE_MSGPACK_CHECK_H

#include "daisyledge/base.h"

/*
 * Whether the input is exactly one complete object. Its number of elements is
 * then at most its length in bytes.
 */
bool dl_msgpack_well_formed(struct dl_str s);

#endif
