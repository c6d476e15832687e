/*
 * Commands of entries: stamped with the leader's wall clock, appended, and
 * answered once they are committed and carried out.  A replica that does not
 * lead names the one that does.  Entries send a command again when nothing
 * comes back; change ids and owners make that harmless.
 */
#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "daisyledge/conf.h"
#include "main/replica.h"
#include "protocol/cmd.h"

/* Whoever waits longer has asked again, elsewhere. */
#define PENDING_MS 10000

static void reply(struct replica *r, uint64_t to, uint64_t request,
		  const struct dl_cstore_reply *reply);
static void refuse(struct replica *r, uint64_t to, uint64_t request, int code,
		   const char *why);
static bool same_replicas(const struct dl_conf *conf, const uint64_t *vms,
			  uint32_t count);
static uint32_t listed(struct dl_str text, uint64_t vms[DL_REPLICAS_MAX]);
static int check_replicas(struct replica *r, struct dl_str command,
			  struct dl_err *err);
static void append(struct replica *r, uint64_t from,
		   const struct dl_frame *frame, char *command);

static void reply(struct replica *r, uint64_t to, uint64_t request,
		  const struct dl_cstore_reply *what)
{
	struct dl_rlog_status s;
	char *body;
	size_t n;

	dl_rlog_get_status(r->rlog, replica_now(r), &s);
	if (dl_reply_encode(what, s.leader, &body, &n))
		return;
	replica_send(r, to, DL_FRAME_CMD_REPLY, request,
		     (struct dl_str){ body, n });
	free(body);
}

static void refuse(struct replica *r, uint64_t to, uint64_t request, int code,
		   const char *why)
{
	struct dl_cstore_reply what = { .code = code };

	g_strlcpy(what.text, why, sizeof(what.text));
	reply(r, to, request, &what);
}

static bool same_replicas(const struct dl_conf *conf, const uint64_t *vms,
			  uint32_t count)
{
	if (!conf || conf->replicas_count != count)
		return false;
	for (uint32_t i = 0; i < count; i++) {
		if (conf->replicas[i].vm != vms[i])
			return false;
	}
	return true;
}

/*
 * The replicas that a text lists; 0 where it makes no sense, which the store
 * itself will say.  The whole text is not checked twice: 4 MB of it would hold
 * up the leader's heartbeats for a third of a second.
 */
static uint32_t listed(struct dl_str text, uint64_t vms[DL_REPLICAS_MAX])
{
	json_t *root = json_loadb(text.s, text.n, 0, NULL), *replica;
	uint32_t count = 0;
	size_t i;

	json_array_foreach(json_object_get(root, "replicas"), i, replica)
	{
		const char *vm =
			json_string_value(json_object_get(replica, "address"));

		if (count < DL_REPLICAS_MAX &&
		    dl_vm_parse(dl_str_of(vm), &vms[count]))
			count++;
	}
	json_decref(root);
	return count;
}

/* Refuse a new list of replicas that would lose the quorum. */
static int check_replicas(struct replica *r, struct dl_str command,
			  struct dl_err *err)
{
	uint64_t vms[DL_REPLICAS_MAX];
	struct dl_cstore_cmd cmd;
	uint32_t count;

	if (dl_cstore_decode(command, &cmd) || cmd.op != DL_CSTORE_APPLY)
		return 0;
	count = listed(cmd.text, vms);
	if (same_replicas(dl_cstore_conf(r->cstore), vms, count))
		return 0;
	return dl_rlog_want_check(r->rlog, vms, count, replica_now(r), err);
}

/* Stamp and append a command, and note who waits for it. */
static void append(struct replica *r, uint64_t from,
		   const struct dl_frame *frame, char *command)
{
	struct replica_pending p = { .vm = from, .request = frame->request };
	struct dl_str data = { command, frame->body.n };
	int code;

	p.at = replica_now(r);
	if (dl_cstore_stamp(command, data.n, r->wall_base + p.at)) {
		refuse(r, from, frame->request, -EBADMSG, "not a command");
		return;
	}
	code = dl_rlog_propose(r->rlog, data, p.at, &p.index, &p.term);
	if (code == DL_ENOLEADER)
		refuse(r, from, frame->request, code, "another replica leads");
	else if (code)
		refuse(r, from, frame->request, code,
		       "too many changes are under way");
	else
		g_array_append_val(r->pending, p);
}

/* A command arrived. */
void replica_cmd_frame(struct replica *r, uint64_t from,
		       const struct dl_frame *frame)
{
	struct dl_rlog_status s;
	struct dl_err err;
	char *command;

	dl_rlog_get_status(r->rlog, replica_now(r), &s);
	if (s.role == DL_RLOG_HALTED || !r->started)
		return;
	if (s.role != DL_RLOG_LEADER) {
		refuse(r, from, frame->request, DL_ENOLEADER,
		       "another replica leads");
		return;
	}
	if (check_replicas(r, frame->body, &err)) {
		refuse(r, from, frame->request, err.code, err.text);
		return;
	}
	command = g_memdup2(frame->body.s, frame->body.n);
	append(r, from, frame, command);
	g_free(command);
}

/* Carry a committed command out, and answer who waits for it. */
void replica_cmd_apply(struct replica *r, const struct dl_rlog_apply *a)
{
	struct dl_cstore_reply what = { 0 };
	int code = dl_cstore_exec(r->cstore, a->index, a->data, &what);

	if (code && !what.code)
		what.code = code;
	for (guint i = 0; i < r->pending->len; i++) {
		struct replica_pending *p =
			&g_array_index(r->pending, struct replica_pending, i);

		if (p->index != a->index)
			continue;
		if (p->term == a->term)
			reply(r, p->vm, p->request, &what);
		else
			refuse(r, p->vm, p->request, DL_ENOLEADER,
			       "another replica took over");
		g_array_remove_index_fast(r->pending, i);
		return;
	}
}

/* Forget who has waited too long. */
void replica_cmd_tick(struct replica *r, int64_t now)
{
	for (guint i = r->pending->len; i > 0; i--) {
		struct replica_pending *p = &g_array_index(
			r->pending, struct replica_pending, i - 1);

		if (now - p->at > PENDING_MS)
			g_array_remove_index_fast(r->pending, i - 1);
	}
}
