/*
 * A look at msgpack before it is unpacked: the library allocates what an
 * array or map says it holds, so that a few bytes could ask for all memory.
 */
#ifndef DL_BASE_MSGPACK_CHECK_H
#define DL_BASE_MSGPACK_CHECK_H

#include "daisyledge/base.h"

/*
 * Whether the bytes are one whole object and nothing else.  What it holds can
 * then be no more than there are bytes.
 */
bool dl_msgpack_well_formed(struct dl_str s);

#endif
