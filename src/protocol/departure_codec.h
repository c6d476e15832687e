/*
 * Frames by which processes compare and hand over their departures; see
 * daisyledge/departures.h.
 */
#ifndef DL_PROTOCOL_DEPARTURE_CODEC_H
#define DL_PROTOCOL_DEPARTURE_CODEC_H

#include "daisyledge/departures.h"
#include "protocol/pack.h"

/* Keys in one frame at most; a list that is further behind is requested. */
#define DL_DEPARTURE_KEYS_MAX 256

/* How far the sender's list goes, and the keys of those after a number. */
struct dl_departures_at {
	uint64_t first, last;
	uint64_t keys[DL_DEPARTURE_KEYS_MAX];
	uint32_t count; /* 0 with first equal to last */
};

/* How far the sender knows the receiver's list. */
struct dl_departures_request {
	uint64_t have;
	bool wants_list; /* also an empty one; otherwise a confirmation */
};

/* The part of a list after the number that was requested. */
struct dl_departures_list {
	uint64_t upto;
	bool in_sync; /* the sender has compared its list since it started */
	struct dl_reader reader;
};

/* Packs how far a list goes, with the keys of those numbered above first. */
void dl_departures_at_pack(struct dl_packer *p,
			   const struct dl_departures *list, uint64_t first);
int dl_departures_at_read(struct dl_str body, struct dl_departures_at *out);
void dl_departures_request_pack(struct dl_packer *p,
				const struct dl_departures_request *request);
int dl_departures_request_read(struct dl_str body,
			       struct dl_departures_request *out);
/* Packs the departures numbered above have; now dates them. */
void dl_departures_list_pack(struct dl_packer *p,
			     const struct dl_departures *list, uint64_t have,
			     bool in_sync, int64_t now);
/* Begins to read a list. dl_departures_list_close() is due in any case. */
int dl_departures_list_open(struct dl_str body, struct dl_departures_list *out);
/*
 * Reads the next departure, which was under way for at most delay_ms, -1: not
 * known; false at the end or where the list is malformed.
 */
bool dl_departures_list_next(struct dl_departures_list *list, int64_t now,
			     int64_t delay_ms, struct dl_departure *out);
void dl_departures_list_close(struct dl_departures_list *list);

#endif
