/* The tree in which versions are pushed; see the header. */
#include "protocol/conf_push.h"

/* How many VMs of a list are sent to directly. */
uint32_t dl_conf_push_children(uint32_t count)
{
	return count < DL_CONF_PUSH_FAN_OUT ? count : DL_CONF_PUSH_FAN_OUT;
}

/*
 * Each child gets a run of the list, of which it is the first.  Lists are in
 * order of addresses, and VMs of one network are neighbours in it: a text
 * crosses from one to another some ten times, not once for most VMs (295 VMs
 * in five networks: 236 times when every eighth VM was one's share).
 */
uint64_t dl_conf_push_pack(struct dl_packer *pk, uint64_t version,
			   struct dl_str text, const uint64_t *vms,
			   uint32_t count, uint32_t child)
{
	uint32_t children = dl_conf_push_children(count);
	uint32_t from = (uint32_t)((uint64_t)count * child / children);
	uint32_t to = (uint32_t)((uint64_t)count * (child + 1) / children);

	dl_packer_open(pk, 3);
	dl_pack_u64(pk, version);
	dl_pack_str(pk, text);
	msgpack_pack_array(&pk->pk, to - from - 1);
	for (uint32_t i = from + 1; i < to; i++)
		dl_pack_u64(pk, vms[i]);
	return vms[from];
}
