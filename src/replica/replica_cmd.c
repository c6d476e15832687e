/*
 * Commands from entries. The leader stamps them with its wall clock, appends
 * them to the log and replies once they are committed and applied. Other
 * replicas reply with the leader's address. Entries retry a command without a
 * reply; change ids and claim owners make retries idempotent.
 */
#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "daisyledge/conf.h"
#include "replica/replica.h"
#include "protocol/cmd.h"

/* A sender that waited longer has retried at another replica. */
#define PENDING_TIMEOUT_MS 10000
/*
 * How long a change waits after its leader has stepped down. A successor in a
 * planned transfer commits it within milliseconds; after a lost lease none is
 * elected for a second, and the operator had better repeat the change.
 */
#define STEPPED_DOWN_MS 500

static void send_reply(struct replica *r, uint64_t to, uint64_t request,
		       const struct dl_cstore_reply *reply);
static void send_error(struct replica *r, uint64_t to, uint64_t request,
		       int code, const char *why);
static bool same_replicas(const struct dl_conf *a, const struct dl_conf *b);
static int check_replicas(struct replica *r, const struct dl_cstore_cmd *cmd,
			  struct dl_err *err);
static int check_command(struct replica *r, struct dl_str command,
			 struct dl_err *err);
static void propose_command(struct replica *r, uint64_t from,
			    const struct dl_frame *frame, char *command);

static void send_reply(struct replica *r, uint64_t to, uint64_t request,
		       const struct dl_cstore_reply *reply)
{
	struct dl_rlog_status s;
	char *body;
	size_t n;

	dl_rlog_get_status(r->rlog, replica_now(r), &s);
	if (dl_reply_encode(reply, s.leader, &body, &n))
		return;
	replica_send(r, to, DL_FRAME_CMD_REPLY, request,
		     (struct dl_str){ body, n });
	free(body);
}

static void send_error(struct replica *r, uint64_t to, uint64_t request,
		       int code, const char *why)
{
	struct dl_cstore_reply reply = { .code = code };

	g_strlcpy(reply.text, why, sizeof(reply.text));
	send_reply(r, to, request, &reply);
}

static bool same_replicas(const struct dl_conf *a, const struct dl_conf *b)
{
	if (!a || a->replicas_count != b->replicas_count)
		return false;
	for (uint32_t i = 0; i < a->replicas_count; i++) {
		if (a->replicas[i].vm != b->replicas[i].vm)
			return false;
	}
	return true;
}

/* Rejects a configuration whose list of replicas would lose the quorum. */
static int check_replicas(struct replica *r, const struct dl_cstore_cmd *cmd,
			  struct dl_err *err)
{
	uint64_t vms[DL_REPLICAS_MAX];
	struct dl_conf *conf = NULL;
	struct dl_faults faults;
	int code = 0;

	if (dl_conf_parse(cmd->text, &conf, &faults))
		return 0; /* applying it reports the fault */
	for (uint32_t i = 0; i < conf->replicas_count; i++)
		vms[i] = conf->replicas[i].vm;
	if (!same_replicas(dl_cstore_conf(r->cstore), conf))
		code = dl_rlog_check_replicas(r->rlog, vms,
					      conf->replicas_count,
					      replica_now(r), err);
	dl_conf_free(conf);
	return code;
}

/*
 * Checks what the state machine cannot know: which replicas are reachable, and
 * which failure domains exist.
 */
static int check_command(struct replica *r, struct dl_str command,
			 struct dl_err *err)
{
	struct dl_cstore_cmd cmd;

	if (dl_cstore_decode(command, &cmd))
		return 0; /* executing it reports the fault */
	if (cmd.op == DL_CSTORE_EVACUATE)
		return replica_evacuation_validate(r, cmd.key, err);
	if (cmd.op == DL_CSTORE_APPLY)
		return check_replicas(r, &cmd, err);
	return 0;
}

/* Stamps and proposes a command and records its sender as waiting. */
static void propose_command(struct replica *r, uint64_t from,
			    const struct dl_frame *frame, char *command)
{
	struct replica_pending p = { .vm = from, .request = frame->request };
	struct dl_str data = { command, frame->body.n };
	int code;

	p.at = replica_now(r);
	if (dl_cstore_stamp(command, data.n, r->wall_offset_ms + p.at)) {
		send_error(r, from, frame->request, -EBADMSG,
			   "the command cannot be decoded");
		return;
	}
	code = dl_rlog_propose(r->rlog, data, p.at, &p.index, &p.term);
	if (code == DL_ENOLEADER)
		send_error(r, from, frame->request, code,
			   "another replica is the leader");
	else if (code)
		send_error(r, from, frame->request, code,
			   "too many changes are in progress");
	else
		g_array_append_val(r->pending, p);
}

/* Handles a command from an entry. */
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
		send_error(r, from, frame->request, DL_ENOLEADER,
			   "another replica is the leader");
		return;
	}
	if (check_command(r, frame->body, &err)) {
		send_error(r, from, frame->request, err.code, err.text);
		return;
	}
	command = g_memdup2(frame->body.s, frame->body.n);
	propose_command(r, from, frame, command);
	g_free(command);
}

/* Answers a change sent over HTTP, unless the client has disconnected. */
static void answer_http(const struct replica_pending *p,
			const struct dl_rlog_apply *a,
			const struct dl_cstore_reply *reply)
{
	struct dl_cstore_reply lost = {
		.code = DL_ENOLEADER,
		.text = "another replica became the leader",
	};

	if (p->http_req)
		replica_http_change_decided(p,
					    p->term == a->term ? reply : &lost);
}

/* Applies a committed command and replies to its sender. */
void replica_cmd_apply(struct replica *r, const struct dl_rlog_apply *a)
{
	struct dl_cstore_reply reply = { 0 };
	int code = dl_cstore_exec(r->cstore, a->index, a->data, &reply);

	if (code && !reply.code)
		reply.code = code;
	for (guint i = 0; i < r->pending->len; i++) {
		struct replica_pending *p =
			&g_array_index(r->pending, struct replica_pending, i);

		if (p->index != a->index)
			continue;
		if (p->http_req || p->vm == DL_VM_NONE)
			answer_http(p, a, &reply);
		else if (p->term == a->term)
			send_reply(r, p->vm, p->request, &reply);
		else
			send_error(r, p->vm, p->request, DL_ENOLEADER,
				   "another replica became the leader");
		g_array_remove_index_fast(r->pending, i);
		return;
	}
}

/*
 * Whether the term in which this replica proposed a command has ended here for
 * so long that the command's sender is not to wait for a successor.
 */
static bool lost_leader(struct replica_pending *p,
			const struct dl_rlog_status *s, int64_t now)
{
	if (s->role == DL_RLOG_LEADER && s->term == p->term)
		return false;
	if (!p->stepped_down_at)
		p->stepped_down_at = now;
	return now - p->stepped_down_at >= STEPPED_DOWN_MS;
}

/*
 * Answers changes sent over HTTP that are not committed in time, or whose
 * leader has stepped down. They may be committed later all the same: what is in
 * the log of a majority stays.
 */
static bool give_up_http(struct replica_pending *p,
			 const struct dl_rlog_status *s, int64_t now)
{
	struct dl_cstore_reply timed_out = {
		.code = DL_ENOQUORUM,
		.text = "not committed in time; it may take effect later, "
			"repeat it",
	};
	struct dl_cstore_reply lost = {
		.code = DL_ENOLEADER,
		.text = "this replica no longer leads; the change may take "
			"effect later, repeat it",
	};

	if (!p->http_req)
		return false;
	if (lost_leader(p, s, now))
		replica_http_change_decided(p, &lost);
	else if (replica_http_change_timed_out(p, now))
		replica_http_change_decided(p, &timed_out);
	else
		return false;
	return true;
}

/*
 * Answers the changes that were sent over HTTP and are not committed, as this
 * process ends.
 */
void replica_cmd_abandon(struct replica *r)
{
	struct dl_cstore_reply stopping = {
		.code = DL_ENOLEADER,
		.text = "this replica is stopping; the change may take effect "
			"later, repeat it",
	};

	for (guint i = r->pending->len; i > 0; i--) {
		struct replica_pending *p = &g_array_index(
			r->pending, struct replica_pending, i - 1);

		if (!p->http_req)
			continue;
		replica_http_change_decided(p, &stopping);
		g_array_remove_index_fast(r->pending, i - 1);
	}
}

/* Drops commands whose sender has waited too long. */
void replica_cmd_tick(struct replica *r, int64_t now)
{
	struct dl_rlog_status s;

	if (!r->pending->len)
		return;
	dl_rlog_get_status(r->rlog, now, &s);
	for (guint i = r->pending->len; i > 0; i--) {
		struct replica_pending *p = &g_array_index(
			r->pending, struct replica_pending, i - 1);

		if (!give_up_http(p, &s, now) &&
		    now - p->at <= PENDING_TIMEOUT_MS)
			continue;
		g_array_remove_index_fast(r->pending, i - 1);
	}
}
