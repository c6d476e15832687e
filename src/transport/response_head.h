/*
 * Checks a response byte by byte, for what http-parser lets pass.
 * Bytes of a response that stopped in its head, followed by another response,
 * must not be read as one head.
 */
#ifndef DL_TRANSPORT_RESPONSE_HEAD_H
#define DL_TRANSPORT_RESPONSE_HEAD_H

#include "daisyledge/base.h"

enum dl_head_state {
	DL_HEAD_STATUS_LINE,
	DL_HEAD_LINE_START, /* of a header field, or the empty line */
	DL_HEAD_NAME,
	DL_HEAD_VALUE,
	DL_HEAD_LAST_LF, /* of the empty line */
	DL_HEAD_COMPLETE,
	DL_HEAD_BAD,
};

/* Zero-initialised for the first byte of a response. */
struct dl_head_check {
	enum dl_head_state state;
	uint32_t line_n;  /* bytes of the status line so far */
	uint32_t status;  /* its digits so far */
	uint32_t inner_n; /* bytes of a status line within a line */
	bool line_feed;	  /* has to follow: the last byte was CR */
	bool has_field;	  /* whose value the next line may continue */
};

/*
 * Checks the bytes that follow, and returns how many of them are of the head.
 * An interim response is followed by the next head. Where this is no head of a
 * response, *why is set to a constant.
 */
size_t dl_head_check(struct dl_head_check *check, struct dl_str bytes,
		     const char **why);

enum dl_chunk_state {
	DL_CHUNK_SIZE, /* its first digit */
	DL_CHUNK_DIGITS,
	DL_CHUNK_EXTENSION,
	DL_CHUNK_SIZE_LF,
	DL_CHUNK_DATA,
	DL_CHUNK_DATA_CR,
	DL_CHUNK_DATA_LF,
	DL_CHUNK_TRAILER_START, /* or the empty line */
	DL_CHUNK_TRAILER_NAME,
	DL_CHUNK_TRAILER_VALUE,
	DL_CHUNK_LAST_LF,
	DL_CHUNK_COMPLETE,
	DL_CHUNK_BAD,
};

/* Zero-initialised for the first byte of a body in chunks. */
struct dl_chunk_check {
	enum dl_chunk_state state;
	uint64_t left; /* of the current chunk, bytes */
};

/* Checks the bytes of a body in chunks that follow; false: these are none. */
bool dl_chunk_check(struct dl_chunk_check *check, struct dl_str bytes);

/*
 * Whether the head of a response with an id begins within a body: a status
 * line, and a header whose value is the id before the next empty line. The body
 * was broken off there.
 */
bool dl_holds_response(struct dl_str body, struct dl_str id);

#endif
