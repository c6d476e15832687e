/*
 * Builds and decodes deltas: a msgpack array of the format, the base version
 * and digest, the new version and digest, the change of the head (nil for none)
 * and the list of operations; then a 64-bit checksum in network order. Digests
 * cover the texts but not the versions, which the checksum protects. Fields
 * that a later release adds at the end are ignored.
 */
#include <errno.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "base/msgpack_check.h"
#include "state/conf_delta_int.h"
#include "state/cstore_pack.h"

#define DELTA_FORMAT 1
#define DELTA_FIELDS 7
#define HEAD_FIELDS  3
#define COPY_FIELDS  2
#define NOT_FOUND    UINT32_MAX

/* Finds sections among the routes of a base. */
struct matcher {
	const struct dl_conf_sections *base;
	GHashTable *by_digest; /* index of a route with this digest, plus 1 */
};

static bool same_section(const struct conf_section *a,
			 const struct conf_section *b);
static uint32_t find_route(const struct matcher *m, uint32_t expected,
			   const struct conf_section *route);
static GArray *list_ops(const struct dl_conf_sections *base,
			const struct dl_conf_sections *next);
static void pack_head(msgpack_packer *pk, struct dl_str base,
		      struct dl_str next);
static void pack_ops(msgpack_packer *pk, const GArray *ops);
static uint64_t checksum(struct dl_str bytes);
static bool read_head(struct conf_delta *delta, const msgpack_object *o);

static bool same_section(const struct conf_section *a,
			 const struct conf_section *b)
{
	return a == b || (a->digest == b->digest && a->n == b->n &&
			  memcmp(a->text, b->text, a->n) == 0);
}

/*
 * Return the index of a route in the base, or NOT_FOUND. The expected one
 * follows the route that was found before, and extends its copy operation.
 */
static uint32_t find_route(const struct matcher *m, uint32_t expected,
			   const struct conf_section *route)
{
	uint32_t index;

	if (expected < m->base->routes_count &&
	    same_section(m->base->routes[expected], route))
		return expected;
	index = GPOINTER_TO_UINT(
		g_hash_table_lookup(m->by_digest, &route->digest));
	if (index == 0 || !same_section(m->base->routes[index - 1], route))
		return NOT_FOUND;
	return index - 1;
}

/* Return the operations that produce the routes of next from those of base. */
static GArray *list_ops(const struct dl_conf_sections *base,
			const struct dl_conf_sections *next)
{
	GArray *ops = g_array_new(FALSE, FALSE, sizeof(struct conf_delta_op));
	struct matcher m = { base,
			     g_hash_table_new(g_int64_hash, g_int64_equal) };
	uint32_t expected = 0;

	for (uint32_t i = base->routes_count; i-- > 0;)
		g_hash_table_insert(m.by_digest, &base->routes[i]->digest,
				    GUINT_TO_POINTER(i + 1));
	for (uint32_t i = 0; i < next->routes_count; i++) {
		uint32_t found = find_route(&m, expected, next->routes[i]);
		struct conf_delta_op op = { .first = found, .count = 1 };
		struct conf_delta_op *last = NULL;

		if (ops->len > 0)
			last = &g_array_index(ops, struct conf_delta_op,
					      ops->len - 1);
		if (found == NOT_FOUND) {
			op.count = 0;
			op.text = conf_section_str(next->routes[i]);
			/* A changed route mostly replaces one in its place. */
			expected++;
		} else {
			expected = found + 1;
			if (last && last->count > 0 &&
			    last->first + last->count == found) {
				last->count++;
				continue;
			}
		}
		g_array_append_val(ops, op);
	}
	g_hash_table_destroy(m.by_digest);
	return ops;
}

/*
 * Pack the change of the head, without the bytes that both texts begin and end
 * with. A version often changes only its number in a head of many kilobytes.
 */
static void pack_head(msgpack_packer *pk, struct dl_str base,
		      struct dl_str next)
{
	size_t shorter = MIN(base.n, next.n), prefix = 0, suffix = 0;

	if (dl_str_eq(base, next)) {
		msgpack_pack_nil(pk);
		return;
	}
	while (prefix < shorter && base.s[prefix] == next.s[prefix])
		prefix++;
	while (suffix < shorter - prefix &&
	       base.s[base.n - 1 - suffix] == next.s[next.n - 1 - suffix])
		suffix++;
	msgpack_pack_array(pk, HEAD_FIELDS);
	msgpack_pack_uint64(pk, prefix);
	msgpack_pack_uint64(pk, suffix);
	pack_put_str(pk, (struct dl_str){ next.s + prefix,
					  next.n - prefix - suffix });
}

static void pack_ops(msgpack_packer *pk, const GArray *ops)
{
	msgpack_pack_array(pk, ops->len);
	for (guint i = 0; i < ops->len; i++) {
		const struct conf_delta_op *op =
			&g_array_index(ops, struct conf_delta_op, i);

		if (op->count == 0) {
			pack_put_str(pk, op->text);
			continue;
		}
		msgpack_pack_array(pk, COPY_FIELDS);
		msgpack_pack_uint32(pk, op->first);
		msgpack_pack_uint32(pk, op->count);
	}
}

/* Return the checksum in network order. */
static uint64_t checksum(struct dl_str bytes)
{
	return GUINT64_TO_BE(dl_hash(bytes, CONF_DELTA_CHECKSUM_SEED));
}

/* Build the delta from base to next. */
int dl_conf_delta_make(const struct dl_conf_sections *base,
		       uint64_t base_version,
		       const struct dl_conf_sections *next,
		       uint64_t next_version, char **out, size_t *n)
{
	msgpack_sbuffer buf;
	msgpack_packer pk;
	uint64_t sum;
	GArray *ops;

	if (next_version <= base_version)
		return -EINVAL;
	msgpack_sbuffer_init(&buf);
	msgpack_packer_init(&pk, &buf, msgpack_sbuffer_write);
	msgpack_pack_array(&pk, DELTA_FIELDS);
	msgpack_pack_uint8(&pk, DELTA_FORMAT);
	msgpack_pack_uint64(&pk, base_version);
	msgpack_pack_uint64(&pk, base->digest);
	msgpack_pack_uint64(&pk, next_version);
	msgpack_pack_uint64(&pk, next->digest);
	pack_head(&pk, conf_section_str(base->head),
		  conf_section_str(next->head));
	ops = list_ops(base, next);
	pack_ops(&pk, ops);
	g_array_free(ops, TRUE);
	if (!buf.data)
		return -ENOMEM;
	sum = checksum((struct dl_str){ buf.data, buf.size });
	if (msgpack_sbuffer_write(&buf, (const char *)&sum, sizeof(sum))) {
		msgpack_sbuffer_destroy(&buf);
		return -ENOMEM;
	}
	*n = buf.size;
	*out = msgpack_sbuffer_release(&buf);
	return 0;
}

/* Decode the change of the head. */
static bool read_head(struct conf_delta *delta, const msgpack_object *o)
{
	struct pack_fields f;

	if (o->type == MSGPACK_OBJECT_NIL)
		return true;
	f = pack_begin(o, HEAD_FIELDS);
	delta->head_changed = true;
	delta->head_prefix = pack_u64(&f, SIZE_MAX);
	delta->head_suffix = pack_u64(&f, SIZE_MAX);
	delta->head_text = pack_str(&f, UINT32_MAX);
	return !f.bad;
}

int conf_delta_open(struct conf_delta *delta, struct dl_str bytes)
{
	struct dl_str array = bytes;
	const msgpack_object *head, *ops;
	struct pack_fields f = { .bad = true };
	size_t offset = 0;
	uint64_t sum;

	memset(delta, 0, sizeof(*delta));
	msgpack_unpacked_init(&delta->unpacked);
	if (bytes.n <= CONF_DELTA_CHECKSUM_BYTES)
		return -EBADMSG;
	array.n -= CONF_DELTA_CHECKSUM_BYTES;
	memcpy(&sum, bytes.s + array.n, sizeof(sum));
	if (sum != checksum(array) || !dl_msgpack_well_formed(array) ||
	    msgpack_unpack_next(&delta->unpacked, array.s, array.n, &offset) !=
		    MSGPACK_UNPACK_SUCCESS)
		return -EBADMSG;
	if (delta->unpacked.data.type == MSGPACK_OBJECT_ARRAY &&
	    delta->unpacked.data.via.array.size >= DELTA_FIELDS)
		f = pack_begin(&delta->unpacked.data,
			       delta->unpacked.data.via.array.size);
	if (pack_u64(&f, UINT8_MAX) != DELTA_FORMAT)
		return -EBADMSG;
	delta->head.base_version = pack_u64(&f, UINT64_MAX);
	delta->head.base_digest = pack_u64(&f, UINT64_MAX);
	delta->head.version = pack_u64(&f, UINT64_MAX);
	delta->head.digest = pack_u64(&f, UINT64_MAX);
	if (f.bad || delta->head.version <= delta->head.base_version)
		return -EBADMSG;
	head = &f.array.ptr[f.next++];
	ops = &f.array.ptr[f.next++];
	if (!read_head(delta, head) || ops->type != MSGPACK_OBJECT_ARRAY)
		return -EBADMSG;
	delta->ops = ops->via.array;
	return 0;
}

void conf_delta_close(struct conf_delta *delta)
{
	msgpack_unpacked_destroy(&delta->unpacked);
}

bool conf_delta_op(const struct conf_delta *delta, uint32_t index,
		   struct conf_delta_op *out)
{
	const msgpack_object *o = &delta->ops.ptr[index];
	struct pack_fields f;

	if (o->type == MSGPACK_OBJECT_BIN) {
		*out = (struct conf_delta_op){ .text = { o->via.bin.ptr,
							 o->via.bin.size } };
		return true;
	}
	f = pack_begin(o, COPY_FIELDS);
	out->first = (uint32_t)pack_u64(&f, UINT32_MAX);
	out->count = (uint32_t)pack_u64(&f, UINT32_MAX);
	return !f.bad && out->count > 0;
}

/* Read the versions and digests of a delta. */
int dl_conf_delta_head(struct dl_str delta, struct dl_conf_delta_head *out)
{
	struct conf_delta d;
	int rc = conf_delta_open(&d, delta);

	if (rc == 0)
		*out = d.head;
	conf_delta_close(&d);
	return rc;
}
