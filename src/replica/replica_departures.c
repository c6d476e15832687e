/*
 * Departures of endpoints at a replica.
 *
 * A departure is acknowledged to its endpoint once another replica has
 * confirmed that it knows it, so that it outlives the process that acknowledged
 * it. All processes compare their departures (node/departures.h). A replica
 * that has just started holds announcements until it has compared its list: one
 * may be a late announcement of an endpoint that left before the start.
 */
#include "base/metric.h"
#include "base/msg.h"
#include "protocol/departure_codec.h"
#include "replica/replica.h"

/*
 * How long announcements are held in contact with the group at most: a process
 * that is asked may not reply.
 */
#define SYNC_MAX_MS 500
/* Entries whose lists a replica requests after its start; all have the same. */
#define ENTRIES_ASKED_MAX 8
/* How long keys of new departures are collected for the entries. */
#define BATCH_MS 250
/* Interval of comparing lists, also where nothing is new. */
#define COMPARE_MS 1000
/* Endpoints call another replica after 1,000 ms without a response. */
#define CONFIRM_TIMEOUT_MS 500

/* An endpoint that waits for the acknowledgement of its departure. */
struct waiting {
	struct dl_httpd_req *http_req;
	uint64_t number; /* of the departure */
	int64_t at;
	bool deregistered;
};

struct replica_departures {
	struct departures sync;
	bool in_sync;
	int64_t contact_since; /* 0: no contact with the group yet */
	GHashTable *asked; /* VMs whose lists were requested, until in sync */
	GHashTable *answered; /* those that sent them */
	uint32_t entries_asked, entries_answered;
	GHashTable *held;   /* instance to its announcement, until in sync */
	GArray *waiting;    /* of struct waiting */
	uint64_t confirmed; /* up to here, by another replica */
	uint64_t told;	    /* up to here, to all processes */
	int64_t told_at;
};

/* Starts to keep departures, in the list of the replica's directory. */
void replica_departures_open(struct replica *r, struct dl_departures *list)
{
	struct replica_departures *d = g_new0(struct replica_departures, 1);

	departures_init(&d->sync, list, &r->node);
	d->held =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	d->waiting = g_array_new(FALSE, FALSE, sizeof(struct waiting));
	d->asked = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
					 NULL);
	d->answered = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
					    NULL);
	r->departures = d;
}

static bool is_live(const struct dl_member *m)
{
	return m->state == DL_ALIVE || m->state == DL_SUSPECT;
}

/* Finds whether a VM runs a replica, as far as this process knows. */
static bool is_replica(const struct replica *r, uint64_t vm)
{
	const struct dl_member *m = dl_memb_find(r->node.memb, vm);

	return m && m->replica;
}

static bool has_other_replica(const struct replica *r)
{
	const struct dl_member *m;

	for (uint32_t i = 0; (m = dl_memb_at(r->node.memb, i)); i++) {
		if (m->replica && m->vm != r->node.self && is_live(m))
			return true;
	}
	return false;
}

/* Requests the list of a VM, unless enough entries were asked already. */
static void ask(struct replica *r, uint64_t vm)
{
	struct replica_departures *d = r->departures;
	bool again = !g_hash_table_add(d->asked, g_memdup2(&vm, sizeof(vm)));

	if (!again && !is_replica(r, vm) &&
	    d->entries_asked++ >= ENTRIES_ASKED_MAX)
		return;
	departures_request(&d->sync, vm);
}

/* Compares lists with a VM to which a connection has been established. */
void replica_departures_up(struct replica *r, uint64_t vm)
{
	struct replica_departures *d = r->departures;

	if (!d)
		return;
	departures_offer(&d->sync, vm);
	if (!d->in_sync)
		ask(r, vm);
}

/* Asks the live VMs that were not asked yet. */
static void ask_members(struct replica *r)
{
	struct replica_departures *d = r->departures;
	const struct dl_member *m;

	for (uint32_t i = 0; (m = dl_memb_at(r->node.memb, i)); i++) {
		if (m->vm != r->node.self && is_live(m) &&
		    !g_hash_table_contains(d->asked, &m->vm) &&
		    (m->replica || d->entries_asked < ENTRIES_ASKED_MAX))
			ask(r, m->vm);
	}
}

/*
 * Whether all replicas have sent their lists, and an entry: where all replicas
 * have just started, entries may know more.
 */
static bool has_all_lists(const struct replica *r)
{
	const struct replica_departures *d = r->departures;
	const struct dl_member *m;

	for (uint32_t i = 0; (m = dl_memb_at(r->node.memb, i)); i++) {
		if (m->replica && m->vm != r->node.self && is_live(m) &&
		    !g_hash_table_contains(d->answered, &m->vm))
			return false;
	}
	return d->entries_answered > 0;
}

static void set_in_sync(struct replica *r, uint64_t with)
{
	struct replica_departures *d = r->departures;
	struct dl_announcement *a;
	GHashTableIter iter;

	if (d->in_sync)
		return;
	d->in_sync = true;
	dl_msg(DL_MSG_DEPARTURES_IN_SYNC,
	       "vm=%lx known=%u held=%u after_ms=%ld", (unsigned long)with,
	       dl_departures_count(d->sync.list), g_hash_table_size(d->held),
	       (long)(replica_now(r) - r->started_at));
	g_hash_table_iter_init(&iter, d->held);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&a))
		replica_http_announce(r, a);
	g_hash_table_remove_all(d->held);
	g_hash_table_remove_all(d->asked);
	g_hash_table_remove_all(d->answered);
}

/*
 * Holds an announcement until departures have been compared; false: it can be
 * handled now.
 */
bool replica_departures_hold(struct replica *r, const struct dl_announcement *a)
{
	struct replica_departures *d = r->departures;

	if (d->in_sync || a->report.leaving)
		return false;
	g_hash_table_replace(d->held, g_strdup(a->instance.s),
			     g_memdup2(a, sizeof(*a)));
	return true;
}

/* Sends how far the list goes, with the keys that were not sent to all yet. */
static void tell(struct replica *r, bool to_entries)
{
	struct replica_departures *d = r->departures;
	const struct dl_member *m;
	struct dl_packer pk;

	dl_departures_at_pack(&pk, d->sync.list, d->told);
	for (uint32_t i = 0; (m = dl_memb_at(r->node.memb, i)); i++) {
		if (m->vm != r->node.self && is_live(m) &&
		    (m->replica || to_entries))
			replica_send(r, m->vm, DL_FRAME_DEPARTURES_AT, 0,
				     dl_packer_bytes(&pk));
	}
	dl_packer_close(&pk);
}

/*
 * Acknowledges a departure to its endpoint, now or once another replica has
 * confirmed it. An endpoint that is not answered in time calls another replica.
 */
void replica_departures_acknowledge(struct replica *r,
				    struct dl_httpd_req *http_req,
				    const struct dl_announcement *a,
				    bool deregistered)
{
	struct replica_departures *d = r->departures;
	const struct dl_departure *departure = dl_departures_find(
		d->sync.list, dl_name_str(&a->instance), a->born);
	struct waiting w = { .http_req = http_req,
			     .at = replica_now(r),
			     .deregistered = deregistered };

	if (!departure) {
		dl_count(DL_METRIC_departures_unconfirmed, 1);
		dl_msg(DL_MSG_DEPARTURE_UNCONFIRMED, "instance=%s known=%u",
		       a->instance.s, dl_departures_count(d->sync.list));
		replica_http_refuse_leaving(http_req, "too many departures");
		return;
	}
	if (departure->number <= d->confirmed || !has_other_replica(r)) {
		replica_http_accept(r, http_req, deregistered);
		return;
	}
	w.number = departure->number;
	g_array_append_val(d->waiting, w);
	tell(r, false);
}

/* Acknowledges the departures that another replica knows by now. */
static void on_confirmed(struct replica *r, uint64_t number)
{
	struct replica_departures *d = r->departures;

	if (number > d->confirmed)
		d->confirmed = number;
	for (guint i = d->waiting->len; i > 0; i--) {
		struct waiting w =
			g_array_index(d->waiting, struct waiting, i - 1);

		if (w.number > d->confirmed)
			continue;
		g_array_remove_index_fast(d->waiting, i - 1);
		replica_http_accept(r, w.http_req, w.deregistered);
	}
}

/* Whether an endpoint waits for an acknowledgement. */
bool replica_departures_awaited(const struct replica *r)
{
	return r->departures && r->departures->waiting->len;
}

/* Tells the endpoints that wait to call another replica: this one ends. */
void replica_departures_abandon(struct replica *r)
{
	while (replica_departures_awaited(r)) {
		GArray *waiting = r->departures->waiting;
		struct dl_httpd_req *req =
			g_array_index(waiting, struct waiting, 0).http_req;

		g_array_remove_index_fast(waiting, 0);
		replica_http_refuse_leaving(req, "stopping");
	}
}

/* Forgets an endpoint that disconnected. */
void replica_departures_gone(struct replica *r,
			     const struct dl_httpd_req *http_req)
{
	GArray *waiting = r->departures->waiting;

	for (guint i = waiting->len; i > 0; i--) {
		if (g_array_index(waiting, struct waiting, i - 1).http_req ==
		    http_req)
			g_array_remove_index_fast(waiting, i - 1);
	}
}

/* Notes that a VM has sent its list, and whether it was in sync itself. */
static void note_list(struct replica *r, uint64_t from, bool in_sync)
{
	struct replica_departures *d = r->departures;

	if (d->in_sync)
		return;
	if (g_hash_table_add(d->answered, g_memdup2(&from, sizeof(from))) &&
	    !is_replica(r, from))
		d->entries_answered++;
	if (in_sync)
		set_in_sync(r, from);
}

static void apply_departure(void *arg, struct dl_announcement *a)
{
	replica_announce_departed(arg, a);
}

/* Handles a frame by which departures are compared. */
void replica_departures_frame(struct replica *r, uint64_t from,
			      const struct dl_frame *f)
{
	struct replica_departures *d = r->departures;
	uint64_t have;

	if (!d)
		return;
	switch (f->kind) {
	case DL_FRAME_DEPARTURES_AT:
		departures_at_frame(&d->sync, from, f, true);
		return;
	case DL_FRAME_DEPARTURES_REQUEST:
		have = departures_request_frame(&d->sync, from, f, d->in_sync);
		if (is_replica(r, from))
			on_confirmed(r, have);
		return;
	default:
		note_list(r, from,
			  departures_list_frame(&d->sync, from, f, true,
						apply_departure, r));
		return;
	}
}

/* Decides whether the list has been compared, in contact with the group. */
static void check_sync(struct replica *r, int64_t now)
{
	struct replica_departures *d = r->departures;
	struct dl_rlog_status s;

	if (d->in_sync)
		return;
	ask_members(r);
	dl_rlog_get_status(r->rlog, now, &s);
	if (!s.contact) {
		d->contact_since = 0;
		return;
	}
	if (!d->contact_since)
		d->contact_since = now;
	if (has_all_lists(r) || now - d->contact_since >= SYNC_MAX_MS)
		set_in_sync(r, DL_VM_NONE);
}

static void refuse_unconfirmed(struct replica *r, int64_t now)
{
	GArray *waiting = r->departures->waiting;

	for (guint i = waiting->len; i > 0; i--) {
		struct waiting w =
			g_array_index(waiting, struct waiting, i - 1);

		if (now - w.at < CONFIRM_TIMEOUT_MS)
			continue;
		g_array_remove_index_fast(waiting, i - 1);
		dl_count(DL_METRIC_departures_unconfirmed, 1);
		dl_msg(DL_MSG_DEPARTURE_UNCONFIRMED,
		       "departure=%lu confirmed=%lu waited_ms=%ld",
		       (unsigned long)w.number,
		       (unsigned long)r->departures->confirmed,
		       (long)(now - w.at));
		replica_http_refuse_leaving(w.http_req,
					    "no other replica confirmed the "
					    "departure");
	}
}

/* Compares lists, and ends what has waited for too long. */
void replica_departures_tick(struct replica *r, int64_t now)
{
	struct replica_departures *d = r->departures;
	bool is_new;

	if (!d)
		return;
	departures_tick(&d->sync);
	check_sync(r, now);
	refuse_unconfirmed(r, now);
	is_new = dl_departures_last(d->sync.list) > d->told;
	if (now - d->told_at < (is_new ? BATCH_MS : COMPARE_MS) ||
	    (!is_new && !dl_departures_count(d->sync.list)))
		return;
	tell(r, true);
	d->told = dl_departures_last(d->sync.list);
	d->told_at = now;
}
