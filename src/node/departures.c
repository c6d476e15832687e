/* Comparison of departures between processes; see the header. */
#include "node/departures.h"

#include "base/metric.h"
#include "base/msg.h"
#include "protocol/departure_codec.h"

#define EXPIRE_INTERVAL_MS 5000

/* How far the list of one process is known here. */
struct position {
	uint64_t vm; /* the key of the table */
	uint64_t incarnation;
	uint64_t have;
};

void departures_init(struct departures *d, struct dl_departures *list,
		     const struct dl_node *node)
{
	d->list = list;
	d->peers = node->peers;
	d->incarnation = node->incarnation;
	d->positions = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					     g_free);
}

/* Returns the position in the list of a process, which starts at 0. */
static struct position *position_of(struct departures *d, uint64_t vm,
				    uint64_t incarnation)
{
	struct position *p = g_hash_table_lookup(d->positions, &vm);

	if (!p) {
		p = g_new0(struct position, 1);
		p->vm = vm;
		g_hash_table_insert(d->positions, &p->vm, p);
	}
	if (p->incarnation != incarnation) {
		p->incarnation = incarnation;
		p->have = 0;
	}
	return p;
}

void departures_offer(struct departures *d, uint64_t to)
{
	struct dl_packer pk;

	dl_departures_at_pack(&pk, d->list, dl_departures_last(d->list));
	dl_peers_send(d->peers, to, DL_FRAME_DEPARTURES_AT, 0,
		      dl_packer_bytes(&pk));
	dl_packer_close(&pk);
}

/* The id of a request is the incarnation whose list it is about. */
static void send_request(struct departures *d, uint64_t to,
			 uint64_t incarnation, uint64_t have, bool wants_list)
{
	struct dl_departures_request request = { .have = have,
						 .wants_list = wants_list };
	struct dl_packer pk;

	dl_departures_request_pack(&pk, &request);
	dl_peers_send(d->peers, to, DL_FRAME_DEPARTURES_REQUEST, incarnation,
		      dl_packer_bytes(&pk));
	dl_packer_close(&pk);
}

void departures_request(struct departures *d, uint64_t to)
{
	send_request(d, to, 0, 0, true);
}

/* Whether all departures of a frame are known here. */
static bool knows_all(const struct departures *d,
		      const struct dl_departures_at *at)
{
	for (uint32_t i = 0; i < at->count; i++) {
		if (!dl_departures_has_key(d->list, at->keys[i]))
			return false;
	}
	return true;
}

void departures_at_frame(struct departures *d, uint64_t from,
			 const struct dl_frame *f, bool confirms)
{
	struct dl_departures_at at;
	struct position *p;

	if (dl_departures_at_read(f->body, &at))
		return;
	p = position_of(d, from, f->incarnation);
	if (p->have >= at.first && p->have < at.last && knows_all(d, &at))
		p->have = at.last;
	if (p->have < at.last)
		send_request(d, from, p->incarnation, p->have, true);
	else if (confirms)
		send_request(d, from, p->incarnation, p->have, false);
}

uint64_t departures_request_frame(struct departures *d, uint64_t from,
				  const struct dl_frame *f, bool in_sync)
{
	struct dl_departures_request request;
	struct dl_packer pk;

	if (dl_departures_request_read(f->body, &request))
		return 0;
	if (f->request != d->incarnation)
		request.have = 0;
	if (!request.wants_list)
		return request.have;
	dl_departures_list_pack(&pk, d->list, request.have, in_sync,
				dl_node_boot_ms());
	dl_peers_send(d->peers, from, DL_FRAME_DEPARTURES, 0,
		      dl_packer_bytes(&pk));
	dl_packer_close(&pk);
	return request.have;
}

bool departures_list_frame(struct departures *d, uint64_t from,
			   const struct dl_frame *f, bool confirms,
			   void (*apply)(void *arg, struct dl_announcement *a),
			   void *arg)
{
	int64_t now = dl_node_boot_ms();
	int64_t delay_ms = f->sent_after ? now - f->sent_after : -1;
	struct dl_departures_list list;
	struct dl_departure departure;
	bool in_sync = false;
	uint32_t added = 0;

	if (dl_departures_list_open(f->body, &list) == 0) {
		while (dl_departures_list_next(&list, now, delay_ms,
					       &departure)) {
			struct dl_announcement a = {
				.report = { .leaving = true },
				.instance = departure.instance,
				.born = departure.born,
				.departure_heard_at = departure.heard_at,
			};
			struct dl_leaving dated = { .known = true,
						    .since = departure.since };
			uint64_t last = dl_departures_last(d->list);

			a.report.leaving_ms = dl_leaving_age_ms(&dated, now);
			apply(arg, &a);
			added += dl_departures_last(d->list) != last;
		}
		in_sync = list.in_sync;
		position_of(d, from, f->incarnation)->have = list.upto;
		if (confirms)
			send_request(d, from, f->incarnation, list.upto, false);
	}
	dl_departures_list_close(&list);
	if (added) {
		dl_count(DL_METRIC_departures_recovered, added);
		dl_msg(DL_MSG_DEPARTURES_RECOVERED, "vm=%lx endpoints=%u",
		       (unsigned long)from, added);
	}
	return in_sync;
}

void departures_tick(struct departures *d)
{
	int64_t now = dl_node_boot_ms();

	if (now - d->expired_at < EXPIRE_INTERVAL_MS)
		return;
	d->expired_at = now;
	dl_departures_expire(d->list, now);
	dl_gauge(DL_METRIC_departures_known, dl_departures_count(d->list));
}
