/* Encoding and decoding of frames; see the header. */
#include "transport/frame.h"

#include <arpa/inet.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "base/msgpack_check.h"

#define LENGTH_BYTES	 4
#define FRAME_ITEMS	 4
#define FRAME_OVERHEAD	 64
#define READ_BUF_INITIAL 4096

/* Appends a frame, without its length. */
void dl_frame_pack(msgpack_sbuffer *out, const struct dl_frame *frame)
{
	msgpack_packer pk;

	msgpack_packer_init(&pk, out, msgpack_sbuffer_write);
	msgpack_pack_array(&pk, FRAME_ITEMS);
	msgpack_pack_uint32(&pk, frame->kind);
	msgpack_pack_uint64(&pk, frame->request);
	msgpack_pack_uint64(&pk, frame->incarnation);
	msgpack_pack_bin(&pk, frame->body.n);
	msgpack_pack_bin_body(&pk, frame->body.s, frame->body.n);
}

/* Decodes a frame without its length; its body points into the bytes given. */
bool dl_frame_parse(msgpack_unpacked *u, const char *p, size_t n,
		    struct dl_frame *out)
{
	const msgpack_object *item;
	size_t off = 0;

	if (!dl_msgpack_well_formed((struct dl_str){ p, n }) ||
	    msgpack_unpack_next(u, p, n, &off) != MSGPACK_UNPACK_SUCCESS)
		return false;
	if (off != n || u->data.type != MSGPACK_OBJECT_ARRAY ||
	    u->data.via.array.size != FRAME_ITEMS)
		return false;
	item = u->data.via.array.ptr;
	for (int i = 0; i < FRAME_ITEMS - 1; i++) {
		if (item[i].type != MSGPACK_OBJECT_POSITIVE_INTEGER)
			return false;
	}
	if (item[3].type != MSGPACK_OBJECT_BIN || item[0].via.u64 > UINT32_MAX)
		return false;
	out->kind = (uint32_t)item[0].via.u64;
	out->request = item[1].via.u64;
	out->incarnation = item[2].via.u64;
	out->body.s = item[3].via.bin.ptr;
	out->body.n = item[3].via.bin.size;
	out->sent_after = 0;
	return true;
}

/* Returns a frame with its length, for the caller to free; NULL: no memory. */
char *dl_frame_bytes(const struct dl_frame *frame, size_t *n)
{
	msgpack_sbuffer out;
	uint32_t length;
	char *bytes;

	msgpack_sbuffer_init(&out);
	dl_frame_pack(&out, frame);
	bytes = malloc(LENGTH_BYTES + out.size);
	if (bytes) {
		length = htonl((uint32_t)out.size);
		memcpy(bytes, &length, LENGTH_BYTES);
		memcpy(bytes + LENGTH_BYTES, out.data, out.size);
		*n = LENGTH_BYTES + out.size;
	}
	msgpack_sbuffer_destroy(&out);
	return bytes;
}

/* Finds room for more bytes of a connection; false if memory runs out. */
bool dl_frame_reader_room(struct dl_frame_reader *r, char **to, size_t *n)
{
	if (r->filled == r->size) {
		size_t size = r->size ? r->size * 2 : READ_BUF_INITIAL;
		char *grown = realloc(r->buf, size);

		if (!grown)
			return false;
		r->buf = grown;
		r->size = size;
	}
	*to = r->buf + r->filled;
	*n = r->size - r->filled;
	return true;
}

/*
 * Parses the frame that begins at an offset.  Returns its length with the
 * prefix, 0 if it is not complete, or -EPROTO; sets *go_on to handle()'s
 * result.
 */
static ssize_t take_one(const struct dl_frame_reader *r, size_t at,
			bool (*handle)(void *arg, const struct dl_frame *f),
			void *arg, bool *go_on)
{
	msgpack_unpacked u;
	struct dl_frame f;
	uint32_t n;
	bool ok;

	if (r->filled - at < LENGTH_BYTES)
		return 0;
	memcpy(&n, r->buf + at, LENGTH_BYTES);
	n = ntohl(n);
	if (n > DL_FRAME_BODY_MAX + FRAME_OVERHEAD)
		return -EPROTO;
	if (r->filled - at - LENGTH_BYTES < n)
		return 0;
	msgpack_unpacked_init(&u);
	ok = dl_frame_parse(&u, r->buf + at + LENGTH_BYTES, n, &f);
	*go_on = ok && handle(arg, &f);
	msgpack_unpacked_destroy(&u);
	return ok ? (ssize_t)(LENGTH_BYTES + n) : -EPROTO;
}

/* Hands the complete frames of a reader to handle(), and keeps the rest. */
int dl_frame_reader_take(struct dl_frame_reader *r,
			 bool (*handle)(void *arg, const struct dl_frame *f),
			 void *arg)
{
	bool go_on = true;
	size_t at = 0;
	ssize_t n;

	while ((n = take_one(r, at, handle, arg, &go_on)) > 0) {
		if (!go_on)
			return -ECANCELED;
		at += (size_t)n;
	}
	if (n < 0)
		return (int)n;
	if (at) {
		memmove(r->buf, r->buf + at, r->filled - at);
		r->filled -= at;
	}
	return 0;
}

/* Frees the buffer of a reader. */
void dl_frame_reader_free(struct dl_frame_reader *r)
{
	free(r->buf);
	memset(r, 0, sizeof(*r));
}
