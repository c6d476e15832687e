/* Encoding of the evacuated failure domains. */
#include "protocol/evacuation_codec.h"

#include <string.h>

/* Packs the revision and the list of domains. */
void dl_evacuations_pack(struct dl_packer *p, const struct dl_evacuations *e)
{
	dl_pack_u64(p, e->revision);
	msgpack_pack_array(&p->pk, e->count);
	for (uint32_t i = 0; i < e->count; i++)
		dl_pack_str(p, dl_name_str(&e->domain[i]));
}

/* Reads what dl_evacuations_pack() wrote. */
void dl_evacuations_read(struct dl_reader *r, struct dl_evacuations *out)
{
	const msgpack_object *list;

	memset(out, 0, sizeof(*out));
	out->revision = dl_read_u64(r);
	list = r->next;
	if (r->bad || r->remaining == 0 || list->type != MSGPACK_OBJECT_ARRAY ||
	    list->via.array.size > DL_EVACUATIONS_MAX) {
		r->bad = true;
		return;
	}
	r->next++;
	r->remaining--;
	for (uint32_t i = 0; i < list->via.array.size; i++) {
		const msgpack_object *s = &list->via.array.ptr[i];

		if (s->type != MSGPACK_OBJECT_BIN || s->via.bin.size == 0 ||
		    !dl_name_set(&out->domain[i],
				 (struct dl_str){ s->via.bin.ptr,
						  s->via.bin.size })) {
			r->bad = true;
			return;
		}
		out->count++;
	}
}
