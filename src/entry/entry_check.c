/*
 * Whose fault it is that an attempt broke. A connection that is reset or falls
 * silent may be the endpoint's doing, or the links of this VM may be cut. So
 * the dispatcher is not told with the release of the grant that the endpoint
 * failed; this VM first connects to the endpoint again, which succeeds at once
 * unless its links are cut.
 */
#include <string.h>

#include "base/msg.h"
#include "entry/entry_call.h"

/* An endpoint answers a connection within milliseconds, unless it is busy. */
#define CONNECT_MS 150
/* Endpoints checked at a time; the fault of others is not found. */
#define CHECKS_MAX 32

/* A connection to an endpoint at which attempts broke or are overdue. */
struct check {
	struct entry *e;
	uint64_t address;
	uint64_t dispatcher;
	struct dl_fault_frame fault; /* no attempts: only overdue */
	bool connected;
};

static bool on_connected(void *arg);
static void on_end(void *arg, const struct dl_attempt *attempt,
		   const struct dl_err *err);

static const struct dl_httpc_ops check_ops = { .connected = on_connected,
					       .end = on_end };

/* Initializes the list of checks. */
void entry_check_init(struct entry *e)
{
	e->checks = g_ptr_array_new_with_free_func(g_free);
}

static struct check *find(struct entry *e, uint64_t address, uint64_t start)
{
	for (guint i = 0; i < e->checks->len; i++) {
		struct check *check = e->checks->pdata[i];

		if (check->address == address && check->fault.start == start)
			return check;
	}
	return NULL;
}

/* Connects to the endpoint of a call; returns NULL if it cannot be checked. */
static struct check *start(const struct call *c, bool direct)
{
	struct dl_httpc_req req = { .method = DL_STR("GET"),
				    .path = DL_STR("/"),
				    .connect_ms = CONNECT_MS,
				    .idle_ms = CONNECT_MS,
				    .direct = direct };
	struct entry *e = c->e;
	struct check *check;

	if (e->checks->len >= CHECKS_MAX ||
	    !dl_vm_parse(dl_name_str(&c->grant.endpoint[0]), &req.address))
		return NULL;
	check = g_new0(struct check, 1);
	check->e = e;
	check->address = req.address;
	check->dispatcher = c->dispatcher;
	check->fault.service = c->service;
	check->fault.endpoint = c->grant.endpoint[0];
	check->fault.start = c->endpoint_instance_id;
	if (!dl_httpc_start(e->httpc, &req, &check_ops, check)) {
		g_free(check);
		return NULL;
	}
	g_ptr_array_add(e->checks, check);
	return check;
}

/* The endpoint accepts connections of this VM; nothing is sent on this one. */
static bool on_connected(void *arg)
{
	struct check *check = arg;

	check->connected = true;
	return false;
}

static void apply_fault(struct entry *e, const struct dl_fault_frame *f)
{
	struct entry_pool *p = entry_pool_find(e, dl_name_str(&f->service));

	/* The instance may have been replaced. */
	if (p &&
	    f->start == entry_endpoint_instance_id(e, dl_name_str(&f->service),
						   dl_name_str(&f->endpoint)))
		dl_pool_endpoint_failed(p->pool, dl_name_str(&f->endpoint),
					f->attempts, entry_now(e));
}

static void report_fault(const struct check *check)
{
	struct entry *e = check->e;
	struct dl_packer pk;
	char text[24];

	dl_msg(DL_MSG_ENDPOINT_FAULT,
	       "endpoint=%s service=%s attempts=%u dispatcher=%s",
	       check->fault.endpoint.s, check->fault.service.s,
	       check->fault.attempts, dl_vm_text(check->dispatcher, text));
	if (check->dispatcher == e->node.self) {
		apply_fault(e, &check->fault);
		return;
	}
	dl_fault_pack(&pk, &check->fault);
	dl_peers_send(e->node.peers, check->dispatcher, DL_FRAME_ENDPOINT_FAULT,
		      0, dl_packer_bytes(&pk));
	dl_packer_close(&pk);
}

static void on_end(void *arg, const struct dl_attempt *attempt,
		   const struct dl_err *err)
{
	struct check *check = arg;

	if (check->connected && check->fault.attempts)
		report_fault(check);
	g_ptr_array_remove(check->e->checks, check);
}

/*
 * Handles an attempt that broke after it was sent. Returns whether its endpoint
 * cannot be blamed for it, or not yet.
 */
bool entry_check_attempt_broke(struct call *c, const struct dl_attempt *attempt)
{
	struct entry *e = c->e;
	struct check *check;
	uint64_t address;

	if (!entry_path_is_enabled(e) || attempt->sent == DL_SENT_NOTHING ||
	    (attempt->failure != DL_FAILURE_RESET &&
	     attempt->failure != DL_FAILURE_IDLE_TIMEOUT))
		return false;
	if (c->via == DL_VM_NONE)
		dl_paths_broke(e->paths, entry_now(e));
	/* The VM that forwards may be at fault as well. */
	if (c->via != DL_VM_NONE ||
	    !dl_vm_parse(dl_name_str(&c->grant.endpoint[0]), &address))
		return true;
	check = find(e, address, c->endpoint_instance_id);
	if (!check)
		check = start(c, true);
	if (check)
		check->fault.attempts++;
	return true;
}

/*
 * Finds out whether this VM still reaches the endpoint of a call whose answer
 * is overdue, unless a check is under way.
 */
void entry_check_silence(struct entry *e, const struct call *c)
{
	uint64_t address;

	if (dl_vm_parse(dl_name_str(&c->grant.endpoint[0]), &address) &&
	    !find(e, address, c->endpoint_instance_id))
		start(c, dl_paths_interrupted(
				 e->paths,
				 entry_path_group(dl_name_str(&c->service)),
				 address));
}

/* Handles the report of another entry that an endpoint broke attempts off. */
void entry_check_frame(struct entry *e, uint64_t from,
		       const struct dl_frame *frame)
{
	struct dl_fault_frame f;

	if (dl_fault_read(frame->body, &f) == 0)
		apply_fault(e, &f);
}
