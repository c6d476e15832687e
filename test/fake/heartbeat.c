/* Heartbeats of an emulated endpoint: to one replica until a call fails. */
#include <glib.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "heartbeat.h"
#include "http.h"

#define CALL_MS	     600
#define CONTROLS_MAX 8

static uv_loop_t *loop;
static struct fake_heartbeat_conf conf;
static char **controls;
static guint next_control;
/* from the last reply, until a call there fails */
static uint64_t heartbeat_address = DL_VM_NONE;
static uint64_t sequence;
static int64_t started_ms; /* start time of this instance, Unix ms */

/* After a failed call, sends the next one to another replica. */
static void try_next_control(void)
{
	heartbeat_address = DL_VM_NONE;
	next_control++;
}

static void on_call_end(void *arg, enum fake_end end)
{
	if (end != FAKE_END_COMPLETE)
		try_next_control();
}

static void on_call_head(void *arg, int status, struct dl_str head)
{
	if (status != 200)
		try_next_control();
}

/* Reads the address for heartbeats from a reply, if it contains one. */
static void on_call_body(void *arg, struct dl_str piece)
{
	static const char name[] = "\"heartbeat_addr\":\"";
	const char *at = memmem(piece.s, piece.n, name, sizeof(name) - 1);
	const char *end = piece.s + piece.n, *quote;

	if (!at)
		return;
	at += sizeof(name) - 1;
	quote = memchr(at, '"', (size_t)(end - at));
	if (!quote || !dl_vm_parse((struct dl_str){ at, (size_t)(quote - at) },
				   &heartbeat_address))
		heartbeat_address = DL_VM_NONE;
}

static const struct fake_call_ops call_ops = { on_call_head, on_call_body,
					       on_call_end };

static void ignore_head(void *arg, int status, struct dl_str head)
{
}

static void ignore_body(void *arg, struct dl_str piece)
{
}

static void ignore_end(void *arg, enum fake_end end)
{
}

static const struct fake_call_ops ignore_ops = { ignore_head, ignore_body,
						 ignore_end };

static void call_at(uint64_t address, const char *path, const char *body,
		    const struct fake_call_ops *ops)
{
	struct fake_call_req req = { .address = address,
				     .method = "POST",
				     .path = path,
				     .body = dl_str_of(body),
				     .connect_ms = CALL_MS,
				     .timeout_ms = CALL_MS };

	fake_call_start(loop, &req, ops, NULL);
}

static void call_control(const char *path, const char *body)
{
	uint64_t address = heartbeat_address;
	guint n = g_strv_length(controls);

	if (address != DL_VM_NONE ||
	    dl_vm_parse(dl_str_of(controls[next_control % n]), &address))
		call_at(address, path, body, &call_ops);
}

/* Writes the path and the body of a heartbeat, each to be freed. */
static void format(const char *state, uint64_t number, char **path, char **body)
{
	*path = g_strdup_printf("/-/Instances.Heartbeat/%s", conf.instance);
	*body = g_strdup_printf(
		"{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\","
		"\"version\":\"v1\",\"slots\":%d,\"state\":\"%s\","
		"\"stage\":\"both\",\"models\":[{\"name\":\"m\"}],"
		"\"seq\":%" PRIu64 ",\"born\":%" PRId64 "}",
		conf.service, conf.listen, conf.zone, conf.slots, state, number,
		started_ms);
}

void fake_heartbeat_init(uv_loop_t *on_loop,
			 const struct fake_heartbeat_conf *with)
{
	loop = on_loop;
	conf = *with;
	controls = g_strsplit(conf.control, ",", CONTROLS_MAX);
	started_ms = g_get_real_time() / 1000;
}

uint64_t fake_heartbeat_send(const char *state)
{
	char *path, *body;

	format(state, ++sequence, &path, &body);
	call_control(path, body);
	g_free(path);
	g_free(body);
	return sequence;
}

void fake_heartbeat_send_to(uint64_t address, const char *state,
			    uint64_t number)
{
	char *path, *body;

	format(state, number, &path, &body);
	call_at(address, path, body, &ignore_ops);
	g_free(path);
	g_free(body);
}

void fake_heartbeat_deregister(void)
{
	char *path =
		g_strdup_printf("/-/Instances.Deregister/%s", conf.instance);

	call_control(path, "");
	g_free(path);
}
