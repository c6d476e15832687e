/* The tree along which configuration versions are pushed; see the header. */
#include "protocol/conf_push.h"

#include <errno.h>
#include <stdlib.h>

/* Returns to how many VMs of a list the sender pushes directly. */
uint32_t dl_conf_push_children(uint32_t count)
{
	return count < DL_CONF_PUSH_FAN_OUT ? count : DL_CONF_PUSH_FAN_OUT;
}

/*
 * Packs the push to one child and returns its address. Each child gets a
 * contiguous range of the list and is the first VM of it. Lists are sorted by
 * address, which makes VMs of one network neighbours: a text crosses from one
 * network to another about ten times instead of once for most VMs (236 times
 * for 295 VMs in five networks, when each child got every eighth VM).
 */
uint64_t dl_conf_push_pack(struct dl_packer *pk, uint64_t version,
			   struct dl_str body, const uint64_t *vms,
			   uint32_t count, uint32_t child)
{
	uint32_t children = dl_conf_push_children(count);
	uint32_t from = (uint32_t)((uint64_t)count * child / children);
	uint32_t to = (uint32_t)((uint64_t)count * (child + 1) / children);

	dl_packer_open(pk, 3);
	dl_pack_u64(pk, version);
	dl_pack_str(pk, body);
	msgpack_pack_array(&pk->pk, to - from - 1);
	for (uint32_t i = from + 1; i < to; i++)
		dl_pack_u64(pk, vms[i]);
	return vms[from];
}

/* Reads the list of VMs to forward a push to; an absent one is empty. */
static int read_vms(const struct dl_reader *r, struct dl_conf_push *out)
{
	const msgpack_object_array *list;

	if (r->remaining == 0)
		return 0;
	if (r->next->type != MSGPACK_OBJECT_ARRAY)
		return -EBADMSG;
	list = &r->next->via.array;
	if (list->size == 0)
		return 0;
	out->vms = malloc(list->size * sizeof(out->vms[0]));
	if (!out->vms)
		return -ENOMEM;
	for (uint32_t i = 0; i < list->size; i++) {
		if (list->ptr[i].type != MSGPACK_OBJECT_POSITIVE_INTEGER) {
			free(out->vms);
			out->vms = NULL;
			return -EBADMSG;
		}
		out->vms[i] = list->ptr[i].via.u64;
	}
	out->vms_count = list->size;
	return 0;
}

/* Reads a push; the caller frees out->vms if the result is 0. */
int dl_conf_push_read(struct dl_str frame_body, struct dl_conf_push *out)
{
	struct dl_reader r;
	int rc = -EBADMSG;

	*out = (struct dl_conf_push){ 0 };
	dl_reader_open(&r, frame_body);
	out->version = dl_read_u64(&r);
	out->body = dl_read_str(&r);
	if (!r.bad)
		rc = read_vms(&r, out);
	dl_reader_close(&r);
	return rc;
}

/* Packs a pull. */
void dl_conf_pull_pack(struct dl_packer *pk, uint64_t version, uint64_t digest)
{
	dl_packer_open(pk, 2);
	dl_pack_u64(pk, version);
	dl_pack_u64(pk, digest);
}

/* Reads a pull, whose second item may be absent. */
int dl_conf_pull_read(struct dl_str frame_body, uint64_t *version,
		      uint64_t *digest)
{
	struct dl_reader r;
	bool bad;

	dl_reader_open(&r, frame_body);
	*version = dl_read_u64(&r);
	*digest = r.bad || r.remaining == 0 ? 0 : dl_read_u64(&r);
	bad = r.bad;
	dl_reader_close(&r);
	return bad ? -EBADMSG : 0;
}
