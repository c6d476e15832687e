/* Encoding of departures in frames between processes; see the header. */
#include "protocol/departure_codec.h"

#include <errno.h>
#include <sys/param.h>

#define AT_ITEMS	2 /* and the keys */
#define REQUEST_ITEMS	2
#define LIST_ITEMS	2 /* and those of each departure */
#define DEPARTURE_ITEMS 4

static int close_reader(struct dl_reader *r)
{
	int rc = r->bad ? -EBADMSG : 0;

	dl_reader_close(r);
	return rc;
}

/* Counts the departures numbered above a number. */
static uint32_t count_after(const struct dl_departures *list, uint64_t number)
{
	const struct dl_departure *d;
	uint32_t n = 0;

	while ((d = dl_departures_after(list, number))) {
		number = d->number;
		n++;
	}
	return n;
}

void dl_departures_at_pack(struct dl_packer *p,
			   const struct dl_departures *list, uint64_t first)
{
	uint64_t last = dl_departures_last(list);
	uint32_t count = count_after(list, first);
	const struct dl_departure *d;

	if (count > DL_DEPARTURE_KEYS_MAX) {
		first = last;
		count = 0;
	}
	dl_packer_open(p, AT_ITEMS + count);
	dl_pack_u64(p, first);
	dl_pack_u64(p, last);
	for (; count; count--) {
		d = dl_departures_after(list, first);
		dl_pack_u64(p, dl_departure_key(d));
		first = d->number;
	}
}

int dl_departures_at_read(struct dl_str body, struct dl_departures_at *out)
{
	struct dl_reader r;

	dl_reader_open(&r, body);
	out->first = dl_read_u64(&r);
	out->last = dl_read_u64(&r);
	out->count = r.bad ? 0 : r.remaining;
	if (out->count > DL_DEPARTURE_KEYS_MAX || out->first > out->last)
		r.bad = true;
	for (uint32_t i = 0; !r.bad && i < out->count; i++)
		out->keys[i] = dl_read_u64(&r);
	return close_reader(&r);
}

void dl_departures_request_pack(struct dl_packer *p,
				const struct dl_departures_request *request)
{
	dl_packer_open(p, REQUEST_ITEMS);
	dl_pack_u64(p, request->have);
	dl_pack_bool(p, request->wants_list);
}

int dl_departures_request_read(struct dl_str body,
			       struct dl_departures_request *out)
{
	struct dl_reader r;

	dl_reader_open(&r, body);
	out->have = dl_read_u64(&r);
	out->wants_list = dl_read_bool(&r);
	return close_reader(&r);
}

static void pack_departure(struct dl_packer *p, const struct dl_departure *d,
			   int64_t now)
{
	struct dl_leaving dated = { .known = true, .since = d->since };

	dl_pack_str(p, dl_name_str(&d->instance));
	dl_pack_u64(p, d->born);
	dl_pack_u64(p, dl_leaving_age_ms(&dated, now));
	dl_pack_u64(p, (uint64_t)MAX(now - d->heard_at, 0));
}

void dl_departures_list_pack(struct dl_packer *p,
			     const struct dl_departures *list, uint64_t have,
			     bool in_sync, int64_t now)
{
	const struct dl_departure *d;

	dl_packer_open(p,
		       LIST_ITEMS + DEPARTURE_ITEMS * count_after(list, have));
	dl_pack_u64(p, dl_departures_last(list));
	dl_pack_bool(p, in_sync);
	while ((d = dl_departures_after(list, have))) {
		pack_departure(p, d, now);
		have = d->number;
	}
}

int dl_departures_list_open(struct dl_str body, struct dl_departures_list *out)
{
	dl_reader_open(&out->reader, body);
	out->upto = dl_read_u64(&out->reader);
	out->in_sync = dl_read_bool(&out->reader);
	return out->reader.bad ? -EBADMSG : 0;
}

bool dl_departures_list_next(struct dl_departures_list *list, int64_t now,
			     int64_t delay_ms, struct dl_departure *out)
{
	struct dl_reader *r = &list->reader;
	uint64_t age, heard_ms;

	if (r->bad || r->remaining < DEPARTURE_ITEMS)
		return false;
	dl_read_name(r, &out->instance);
	out->born = dl_read_u64(r);
	age = dl_read_u64(r);
	heard_ms = dl_read_u64(r);
	if (r->bad || out->instance.n == 0)
		return false;
	age = dl_leaving_add_delay((uint32_t)MIN(age, DL_LEAVING_AGE_UNKNOWN),
				   delay_ms);
	out->since = dl_leaving_since((uint32_t)age, now);
	out->heard_at = now - (int64_t)MIN(heard_ms, DL_DEPARTURE_KEEP_MS);
	out->number = 0;
	return true;
}

void dl_departures_list_close(struct dl_departures_list *list)
{
	dl_reader_close(&list->reader);
}
