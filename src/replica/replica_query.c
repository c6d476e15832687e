/*
 * Queries to a replica: "history", "text N" and "status", each answered with a
 * JSON document. A follower forwards status queries to the leader, which alone
 * knows the progress of each replica, and answers them itself if no reply
 * arrives. It also forwards queries for versions that it does not know: only a
 * leader that no other can replace now can tell that there is no such version.
 * Without a leader these get no answer, and the entry asks another replica.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "replica/replica.h"

#define FORWARD_TIMEOUT_MS 250
#define FORWARDED_MAX	   256

static void send_answer(struct replica *r, uint64_t to, uint64_t request,
			json_t *root);
static json_t *history_json(struct replica *r);
static json_t *text_json(struct replica *r, uint64_t version);
static json_t *peer_json(const struct dl_rlog_peer_status *p);
static json_t *status_json(struct replica *r);
static bool forward(struct replica *r, uint64_t from,
		    const struct dl_frame *frame, bool status);
static void query_text(struct replica *r, uint64_t from,
		       const struct dl_frame *frame, uint64_t version);

static const char *const role_names[DL_RLOG_ROLE_COUNT] = {
	[DL_RLOG_HALTED] = "halted",
	[DL_RLOG_UNINITIALIZED] = "waiting to become a member",
	[DL_RLOG_FOLLOWER] = "follower",
	[DL_RLOG_PRECANDIDATE] = "candidate",
	[DL_RLOG_CANDIDATE] = "candidate",
	[DL_RLOG_LEADER] = "leader",
};

/* Sends a JSON document and releases it. */
static void send_answer(struct replica *r, uint64_t to, uint64_t request,
			json_t *root)
{
	char *text = json_dumps(root, JSON_COMPACT);

	json_decref(root);
	if (!text)
		return;
	replica_send(r, to, DL_FRAME_QUERY_REPLY, request, dl_str_of(text));
	free(text);
}

static void set_u64(json_t *o, const char *key, uint64_t v)
{
	json_object_set_new(o, key, json_integer((json_int_t)v));
}

/* As a string: not all JSON parsers keep 64-bit numbers exactly. */
static void set_hex(json_t *o, const char *key, uint64_t v)
{
	char text[20];

	snprintf(text, sizeof(text), "%016" PRIx64, v);
	json_object_set_new(o, key, json_string(text));
}

static void set_vm(json_t *o, const char *key, uint64_t vm)
{
	char text[24];

	if (vm == DL_VM_NONE)
		json_object_set_new(o, key, json_null());
	else
		json_object_set_new(o, key, json_string(dl_vm_text(vm, text)));
}

static json_t *history_json(struct replica *r)
{
	json_t *root = json_object(), *list = json_array();
	struct dl_cstore_change c;

	for (uint32_t i = 0; dl_cstore_history(r->cstore, i, &c); i++) {
		json_t *o = json_object();

		set_u64(o, "version", c.version);
		json_object_set_new(o, "wall_ms", json_integer(c.wall_ms));
		json_object_set_new(o, "author",
				    json_stringn(c.author.s, c.author.n));
		json_object_set_new(o, "change_id",
				    json_stringn(c.change_id.s, c.change_id.n));
		set_hex(o, "digest", c.digest);
		set_u64(o, "bytes", c.bytes);
		json_array_append_new(list, o);
	}
	json_object_set_new(root, "changes", list);
	return root;
}

static json_t *text_json(struct replica *r, uint64_t version)
{
	json_t *root = json_object();
	struct dl_str text;

	if (version == 0)
		version = dl_cstore_version(r->cstore);
	set_u64(root, "version", version);
	if (dl_cstore_text(r->cstore, version, &text))
		json_object_set_new(root, "text", json_stringn(text.s, text.n));
	else
		json_object_set_new(
			root, "error",
			json_string("this version is no longer stored"));
	return root;
}

static json_t *peer_json(const struct dl_rlog_peer_status *p)
{
	json_t *o = json_object();

	set_vm(o, "vm", p->member.vm);
	set_hex(o, "identity", p->member.id);
	json_object_set_new(o, "learner", json_boolean(!p->member.voter));
	set_u64(o, "match", p->match);
	json_object_set_new(o, "heard_ms_ago", json_integer(p->heard_ms_ago));
	if (p->disk_fails)
		json_object_set_new(o, "disk_fails", json_true());
	return o;
}

static json_t *status_json(struct replica *r)
{
	json_t *root = json_object(), *list = json_array();
	struct dl_rlog_status s;

	dl_rlog_get_status(r->rlog, replica_now(r), &s);
	set_vm(root, "vm", r->node.self);
	set_hex(root, "identity", s.id);
	json_object_set_new(root, "role", json_string(role_names[s.role]));
	json_object_set_new(root, "voter", json_boolean(s.voter));
	json_object_set_new(root, "lease", json_boolean(s.lease));
	set_vm(root, "leader", s.leader);
	set_u64(root, "term", s.term);
	set_u64(root, "commit", s.commit);
	set_u64(root, "last", s.last);
	set_u64(root, "synced", s.synced);
	set_u64(root, "applied", s.applied);
	set_u64(root, "snapshot", s.snapshot);
	set_u64(root, "journal_bytes", dl_rlog_store_bytes(r->store));
	set_u64(root, "version", dl_cstore_version(r->cstore));
	if (s.waiting_for[0])
		json_object_set_new(root, "waits", json_string(s.waiting_for));
	if (s.halt_reason[0])
		json_object_set_new(root, "halted", json_string(s.halt_reason));
	if (s.write_error)
		json_object_set_new(root, "disk_error",
				    json_string(strerror(-s.write_error)));
	for (uint32_t i = 0; i < s.count; i++)
		json_array_append_new(list, peer_json(&s.peers[i]));
	json_object_set_new(root, "others", list);
	json_object_set_new(root, "orders", replica_orders_json(r));
	return root;
}

/* Forwards a query to the leader; returns false if that is not possible. */
static bool forward(struct replica *r, uint64_t from,
		    const struct dl_frame *frame, bool status)
{
	struct replica_forwarded f = { .vm = from,
				       .sender_request = frame->request,
				       .status = status };
	struct dl_rlog_status s;

	dl_rlog_get_status(r->rlog, replica_now(r), &s);
	if (s.role == DL_RLOG_LEADER || s.leader == DL_VM_NONE ||
	    s.leader == from || r->forwarded->len >= FORWARDED_MAX)
		return false;
	f.request = ++r->next_request;
	f.at = replica_now(r);
	g_array_append_val(r->forwarded, f);
	replica_send(r, s.leader, DL_FRAME_QUERY, f.request, frame->body);
	return true;
}

/*
 * Answers a query for a version. A replica that has just started, or is behind,
 * has not applied all versions that were acknowledged.
 */
static void query_text(struct replica *r, uint64_t from,
		       const struct dl_frame *frame, uint64_t version)
{
	if (version <= dl_cstore_version(r->cstore) ||
	    replica_can_read(r, replica_now(r)))
		send_answer(r, from, frame->request, text_json(r, version));
	else
		forward(r, from, frame, false);
}

/* Handles a query from an entry or a follower. */
void replica_query_frame(struct replica *r, uint64_t from,
			 const struct dl_frame *frame)
{
	struct dl_str body = frame->body, text = DL_STR("text ");
	uint64_t version;

	if (dl_str_eq(body, DL_STR("history"))) {
		send_answer(r, from, frame->request, history_json(r));
		return;
	}
	if (dl_str_eq(body, DL_STR("status"))) {
		if (!forward(r, from, frame, true))
			send_answer(r, from, frame->request, status_json(r));
		return;
	}
	if (body.n <= text.n || memcmp(body.s, text.s, text.n) != 0)
		return;
	if (dl_str_to_u64((struct dl_str){ body.s + text.n, body.n - text.n },
			  &version))
		query_text(r, from, frame, version);
}

/* Passes the leader's reply to the sender of a forwarded query. */
void replica_query_reply(struct replica *r, const struct dl_frame *frame)
{
	for (guint i = 0; i < r->forwarded->len; i++) {
		struct replica_forwarded f = g_array_index(
			r->forwarded, struct replica_forwarded, i);

		if (f.request != frame->request)
			continue;
		g_array_remove_index_fast(r->forwarded, i);
		replica_send(r, f.vm, DL_FRAME_QUERY_REPLY, f.sender_request,
			     frame->body);
		return;
	}
}

/* Ends forwarded queries to which the leader did not reply in time. */
void replica_query_tick(struct replica *r, int64_t now)
{
	for (guint i = r->forwarded->len; i > 0; i--) {
		struct replica_forwarded f = g_array_index(
			r->forwarded, struct replica_forwarded, i - 1);

		if (now - f.at < FORWARD_TIMEOUT_MS)
			continue;
		g_array_remove_index_fast(r->forwarded, i - 1);
		if (f.status)
			send_answer(r, f.vm, f.sender_request, status_json(r));
	}
}
