/*
 * Encoding of endpoint crashes: one flat array with the same number of items
 * per crash. Those under whole requests have a frame of their own, which builds
 * that know of no parts understand.
 */
#include "protocol/quarantine_codec.h"

#include <errno.h>

#define CRASH_ITEMS	 4
#define PART_CRASH_ITEMS 7

/* Packs at most DL_CRASHES_MAX crashes under whole requests. */
void dl_crashes_pack(struct dl_packer *p, const struct dl_crash *crashes,
		     uint32_t count)
{
	dl_packer_open(p, count * CRASH_ITEMS);
	for (uint32_t i = 0; i < count; i++) {
		dl_pack_u64(p, crashes[i].cause.id);
		dl_pack_u64(p, crashes[i].start);
		dl_pack_u64(p, crashes[i].cleared);
		dl_pack_u64(p, crashes[i].age_ms);
	}
}

/* Packs at most DL_CRASHES_MAX crashes under parts of prompts. */
void dl_part_crashes_pack(struct dl_packer *p, const struct dl_crash *crashes,
			  uint32_t count)
{
	dl_packer_open(p, count * PART_CRASH_ITEMS);
	for (uint32_t i = 0; i < count; i++) {
		dl_pack_u64(p, crashes[i].cause.id);
		dl_pack_u64(p, crashes[i].cause.scope);
		dl_pack_u64(p, crashes[i].request);
		dl_pack_u64(p, crashes[i].start);
		dl_pack_u64(p, crashes[i].cleared);
		dl_pack_u64(p, crashes[i].age_ms);
		dl_pack_u64(p, crashes[i].ran_ms);
	}
}

/* Reads an integer; larger values are clamped to UINT32_MAX. */
static uint32_t read_u32(struct dl_reader *r)
{
	uint64_t v = dl_read_u64(r);

	return v < UINT32_MAX ? (uint32_t)v : UINT32_MAX;
}

static void read_crash(struct dl_reader *r, struct dl_crash *out)
{
	out->cause.id = dl_read_u64(r);
	out->request = out->cause.id;
	out->start = dl_read_u64(r);
	out->cleared = read_u32(r);
	out->age_ms = read_u32(r);
}

static void read_part_crash(struct dl_reader *r, struct dl_crash *out)
{
	out->cause.id = dl_read_u64(r);
	out->cause.scope = dl_read_u64(r);
	out->request = dl_read_u64(r);
	out->start = dl_read_u64(r);
	out->cleared = read_u32(r);
	out->age_ms = read_u32(r);
	out->ran_ms = read_u32(r);
	if (!out->cause.scope)
		r->bad = true;
}

static int read_all(struct dl_str body, uint32_t items,
		    void (*read)(struct dl_reader *r, struct dl_crash *out),
		    struct dl_crash *out, uint32_t *count)
{
	struct dl_reader r;
	bool bad;

	dl_reader_open(&r, body);
	*count = r.remaining / items;
	if (r.remaining % items || *count > DL_CRASHES_MAX)
		r.bad = true;
	for (uint32_t i = 0; !r.bad && i < *count; i++) {
		out[i] = (struct dl_crash){ 0 };
		read(&r, &out[i]);
	}
	bad = r.bad;
	dl_reader_close(&r);
	return bad ? -EBADMSG : 0;
}

/* Reads at most DL_CRASHES_MAX crashes under whole requests. */
int dl_crashes_read(struct dl_str body, struct dl_crash *out, uint32_t *count)
{
	return read_all(body, CRASH_ITEMS, read_crash, out, count);
}

/* Reads at most DL_CRASHES_MAX crashes under parts of prompts. */
int dl_part_crashes_read(struct dl_str body, struct dl_crash *out,
			 uint32_t *count)
{
	return read_all(body, PART_CRASH_ITEMS, read_part_crash, out, count);
}
