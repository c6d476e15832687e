/* Encoding of endpoint crashes: one flat array with four items per crash. */
#include "protocol/quarantine_codec.h"

#include <errno.h>

#define CRASH_ITEMS 4

/* Packs at most DL_CRASHES_MAX crashes. */
void dl_crashes_pack(struct dl_packer *p, const struct dl_crash *crashes,
		     uint32_t count)
{
	dl_packer_open(p, count * CRASH_ITEMS);
	for (uint32_t i = 0; i < count; i++) {
		dl_pack_u64(p, crashes[i].request);
		dl_pack_u64(p, crashes[i].start);
		dl_pack_u64(p, crashes[i].cleared);
		dl_pack_u64(p, crashes[i].age_ms);
	}
}

/* Reads an integer; larger values are clamped to UINT32_MAX. */
static uint32_t read_u32(struct dl_reader *r)
{
	uint64_t v = dl_read_u64(r);

	return v < UINT32_MAX ? (uint32_t)v : UINT32_MAX;
}

/* Reads at most DL_CRASHES_MAX crashes. */
int dl_crashes_read(struct dl_str body, struct dl_crash *out, uint32_t *count)
{
	struct dl_reader r;
	bool bad;

	dl_reader_open(&r, body);
	*count = r.remaining / CRASH_ITEMS;
	if (r.remaining % CRASH_ITEMS || *count > DL_CRASHES_MAX)
		r.bad = true;
	for (uint32_t i = 0; !r.bad && i < *count; i++) {
		out[i].request = dl_read_u64(&r);
		out[i].start = dl_read_u64(&r);
		out[i].cleared = read_u32(&r);
		out[i].age_ms = read_u32(&r);
	}
	bad = r.bad;
	dl_reader_close(&r);
	return bad ? -EBADMSG : 0;
}
