/*
 * Commands and queries to other processes. A request is sent to the VM that
 * most likely leads the replicas, follows its redirects, and is sent to the
 * next replica if no reply arrives. Every command is idempotent, by its change
 * id or owner.
 */
#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "entry/entry.h"
#include "protocol/cmd.h"

/*
 * A leader replies after one round trip and two disk syncs; later it has
 * failed.
 */
#define RESEND_MS 500
/* Delay after a reply that names no leader: an election takes a moment. */
#define REDIRECT_DELAY_MS 60

struct entry_cmd {
	struct entry_cmd *next;
	uint64_t id;
	uint64_t vm; /* only recipient of a query, else DL_VM_NONE */
	uint32_t kind;
	char *body;
	size_t n;
	int64_t deadline;
	int64_t send_at;
	bool redirected; /* send_at is for the leader that a reply named */
	struct entry_cmd_done done;
};

static bool contains_vm(const GArray *vms, uint64_t vm)
{
	for (guint i = 0; i < vms->len; i++) {
		if (g_array_index(vms, uint64_t, i) == vm)
			return true;
	}
	return false;
}

static void add_vm(GArray *vms, uint64_t vm)
{
	if (!contains_vm(vms, vm))
		g_array_append_val(vms, vm);
}

/*
 * Lists the replicas: those configured by the operators; else those alive,
 * since a group that repairs itself moves to other VMs; else those of the
 * settings. The caller frees the list.
 */
static GArray *list_replicas(const struct entry *e)
{
	GArray *out = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	const struct dl_member *m;

	if (e->conf && e->conf->replicas_count) {
		for (uint32_t i = 0; i < e->conf->replicas_count; i++)
			add_vm(out, e->conf->replicas[i].vm);
		return out;
	}
	for (uint32_t i = 0; (m = dl_memb_at(e->node.memb, i)); i++) {
		if (m->replica && m->state == DL_ALIVE)
			g_array_append_val(out, m->vm);
	}
	if (out->len)
		return out;
	for (uint32_t i = 0; i < e->node.settings.replicas_count; i++)
		add_vm(out, e->node.settings.replicas[i]);
	return out;
}

/*
 * Lists every VM that may be a replica, including those that membership
 * considers dead: it still does so for a second after a partition has healed.
 */
GArray *entry_cmd_replicas(const struct entry *e)
{
	GArray *out = list_replicas(e);
	const struct dl_member *m;

	for (uint32_t i = 0; (m = dl_memb_at(e->node.memb, i)); i++) {
		if (m->replica)
			add_vm(out, m->vm);
	}
	for (uint32_t i = 0; i < e->node.settings.replicas_count; i++)
		add_vm(out, e->node.settings.replicas[i]);
	return out;
}

/* Sends a frame to every VM that may be a replica. */
void entry_cmd_send_replicas(struct entry *e, uint32_t kind, struct dl_str body)
{
	GArray *all = entry_cmd_replicas(e);

	for (guint i = 0; i < all->len; i++)
		dl_peers_send(e->node.peers, g_array_index(all, uint64_t, i),
			      kind, 0, body);
	g_array_free(all, TRUE);
}

/* Whether a VM is one of the known replicas. */
bool entry_cmd_is_replica(struct entry *e, uint64_t vm)
{
	GArray *all = list_replicas(e);
	bool found = contains_vm(all, vm);

	g_array_free(all, TRUE);
	return found;
}

static uint64_t next_replica(struct entry *e)
{
	GArray *all = list_replicas(e);
	uint64_t vm = DL_VM_NONE;

	e->next_replica++;
	if (all->len)
		vm = g_array_index(all, uint64_t, e->next_replica % all->len);
	g_array_free(all, TRUE);
	return vm;
}

/* Returns a replica, a different one on different VMs; DL_VM_NONE: none. */
uint64_t entry_cmd_any_replica(const struct entry *e)
{
	GArray *all = list_replicas(e);
	uint64_t vm = DL_VM_NONE;

	if (all->len)
		vm = g_array_index(
			all, uint64_t,
			dl_hash((struct dl_str){ (const char *)&e->node.self,
						 sizeof(e->node.self) },
				e->version) %
				all->len);
	g_array_free(all, TRUE);
	return vm;
}

/* Chooses a replica as the presumed leader if there is none. */
void entry_cmd_choose_leader(struct entry *e)
{
	if (e->leader == DL_VM_NONE)
		e->leader = next_replica(e);
}

static void send_cmd(struct entry *e, struct entry_cmd *cmd)
{
	uint64_t to = cmd->vm;

	if (to == DL_VM_NONE) {
		if (e->leader == DL_VM_NONE)
			e->leader = next_replica(e);
		to = e->leader;
	}
	cmd->send_at = entry_now(e) + RESEND_MS;
	cmd->redirected = false;
	if (to != DL_VM_NONE)
		dl_peers_send(e->node.peers, to, cmd->kind, cmd->id,
			      (struct dl_str){ cmd->body, cmd->n });
}

static struct entry_cmd *new_cmd(struct entry *e, uint32_t kind,
				 uint32_t time_ms, struct entry_cmd_done done)
{
	struct entry_cmd *cmd = g_new0(struct entry_cmd, 1);

	cmd->id = ++e->next_cmd;
	cmd->kind = kind;
	cmd->deadline = entry_now(e) + time_ms;
	cmd->done = done;
	cmd->next = e->cmds;
	e->cmds = cmd;
	return cmd;
}

/* Sends a command to the leading replica; returns the id of the command. */
uint64_t entry_cmd_send(struct entry *e, const struct dl_cstore_cmd *c,
			uint32_t time_ms, struct entry_cmd_done done)
{
	struct entry_cmd *cmd = new_cmd(e, DL_FRAME_CMD, time_ms, done);

	if (dl_cstore_encode(c, &cmd->body, &cmd->n))
		cmd->deadline = 0; /* fails at the next tick */
	else
		send_cmd(e, cmd);
	return cmd->id;
}

/* Queries one VM, or any replica if vm is DL_VM_NONE. */
uint64_t entry_cmd_query(struct entry *e, uint64_t vm, struct dl_str question,
			 uint32_t time_ms, struct entry_cmd_done done)
{
	struct entry_cmd *cmd = new_cmd(e, DL_FRAME_QUERY, time_ms, done);

	cmd->vm = vm;
	cmd->body = malloc(question.n);
	if (cmd->body)
		memcpy(cmd->body, question.s, question.n);
	cmd->n = cmd->body ? question.n : 0;
	send_cmd(e, cmd);
	return cmd->id;
}

static struct entry_cmd **find(struct entry *e, uint64_t id)
{
	struct entry_cmd **at = &e->cmds;

	while (*at && (*at)->id != id)
		at = &(*at)->next;
	return at;
}

static void finish(struct entry *e, struct entry_cmd **at,
		   const struct dl_cstore_reply *reply)
{
	struct entry_cmd *cmd = *at;

	*at = cmd->next;
	if (cmd->done.done)
		cmd->done.done(cmd->done.arg, reply);
	free(cmd->body);
	g_free(cmd);
}

/* Removes the callback of a command; the command itself continues. */
void entry_cmd_detach(struct entry *e, uint64_t id)
{
	struct entry_cmd **at = find(e, id);

	if (*at)
		(*at)->done.done = NULL;
}

/*
 * Removes a command without calling its callback. It may still be executed if
 * it has been sent.
 */
void entry_cmd_abandon(struct entry *e, uint64_t id)
{
	struct entry_cmd **at = find(e, id);
	struct entry_cmd *cmd = *at;

	if (!cmd)
		return;
	*at = cmd->next;
	free(cmd->body);
	g_free(cmd);
}

static void on_reply(struct entry *e, uint64_t from, const struct dl_frame *f)
{
	struct entry_cmd **at = find(e, f->request);
	struct dl_cstore_reply reply;
	uint64_t leader;

	if (!*at || dl_reply_decode(f->body, &reply, &leader))
		return;
	if (reply.code == DL_ENOLEADER) {
		e->leader = leader != DL_VM_NONE && leader != from ?
				    leader :
				    next_replica(e);
		(*at)->redirected = true;
		(*at)->send_at = entry_now(e) +
				 (leader == DL_VM_NONE ? REDIRECT_DELAY_MS : 0);
		return;
	}
	e->leader = from;
	finish(e, at, &reply);
}

static void on_query_reply(struct entry *e, const struct dl_frame *f)
{
	struct entry_cmd **at = find(e, f->request);
	struct dl_cstore_reply reply = { 0 };

	if (!*at)
		return;
	reply.outcome = f->body;
	finish(e, at, &reply);
}

/* Handles a reply from any VM; it is matched to its command by id. */
void entry_cmd_frame(struct entry *e, uint64_t from,
		     const struct dl_frame *frame)
{
	e->replica_heard_at = entry_now(e);
	if (frame->kind == DL_FRAME_CMD_REPLY)
		on_reply(e, from, frame);
	else
		on_query_reply(e, frame);
}

static struct entry_cmd **first_expired(struct entry *e, int64_t now)
{
	struct entry_cmd **at = &e->cmds;

	while (*at && now < (*at)->deadline)
		at = &(*at)->next;
	return at;
}

/* Sends commands without a reply again, and fails those past their deadline. */
void entry_cmd_tick(struct entry *e, int64_t now)
{
	struct dl_cstore_reply timeout = { .code = DL_ENOQUORUM };
	struct entry_cmd **at;
	struct entry_cmd *cmd;

	g_strlcpy(timeout.text, "no replica answered in time",
		  sizeof(timeout.text));
	/* finish() may add commands: search from the start each time. */
	while (*(at = first_expired(e, now)))
		finish(e, at, &timeout);
	for (cmd = e->cmds; cmd; cmd = cmd->next) {
		if (now < cmd->send_at)
			continue;
		if (cmd->vm == DL_VM_NONE && !cmd->redirected)
			e->leader = next_replica(e);
		send_cmd(e, cmd);
	}
}
