/*
 * HTTP server of a replica, for deployments that call the replicas directly:
 * operators change and read the configuration, endpoints announce themselves.
 *
 * Changes and reads are answered only by the leader; other replicas redirect to
 * it. An announcement is acknowledged once it is on its way to every
 * live entry, and only by a replica that is in contact with the group: a
 * replica that is cut off would acknowledge announcements that most entries
 * never receive.
 */
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "daisyledge/conf.h"
#include "base/msg.h"
#include "daisyledge/directory.h"
#include "main/main.h"
#include "replica/replica.h"
#include "platform/platform.h"
#include "protocol/pool_codec.h"
#include "transport/httpd.h"

#define BODY_MAX	(8u << 20)
#define CONNS_MAX	1500
#define READ_TIMEOUT_MS 30000
/* Endpoints not heard from for this long are removed from the directory. */
#define DIRECTORY_EXPIRY_MS 60000
/* A change not committed by then fails with 503, so that the client retries. */
#define COMMIT_TIMEOUT_MS 3000
#define PORT_MASK	  ((uint64_t)0xffff)
#define RETRY_AFTER_S	  "0.3"

struct replica_http {
	struct replica *r;
	struct dl_httpd *httpd;
	struct dl_directory *directory;
	int64_t last_expiry;
};

static void on_request(void *arg, struct dl_httpd_req *req);
static void on_gone(void *arg, struct dl_httpd_req *req);
static void on_drained(void *arg, struct dl_httpd_req *req);

static const struct dl_httpd_ops httpd_ops = {
	.request = on_request,
	.aborted = on_gone,
	.drained = on_drained,
};

static void reply_json(struct dl_httpd_req *req, uint16_t status,
		       struct dl_str body)
{
	struct dl_header headers[] = {
		{ DL_STR("Content-Type"), DL_STR("application/json") },
		{ DL_STR("Retry-After"), DL_STR(RETRY_AFTER_S) },
	};

	dl_httpd_reply(req, status, headers, status == 503 ? 2 : 1, body);
}

static void reply_error(struct dl_httpd_req *req, uint16_t status,
			const char *why)
{
	size_t n;
	char *body = dl_error_body("refused", "check", "", 0, why, &n);

	reply_json(req, status, (struct dl_str){ body, n });
	free(body);
}

/*
 * Answers a request to change the configuration and logs the result. number is
 * that of the configuration, 0 if it could not be parsed.
 */
static void answer_change(struct dl_httpd_req *req, uint64_t number,
			  uint16_t status, const char *why)
{
	dl_msg(DL_MSG_CHANGE_ANSWERED, "number=%lu status=%u why=\"%s\"",
	       (unsigned long)number, status, why);
	if (status == 200)
		reply_json(req, status, DL_STR("{}"));
	else
		reply_error(req, status, why);
}

/* Redirects to the leader, whose HTTP server uses the same port. */
static void redirect(struct replica_http *h, struct dl_httpd_req *req,
		     uint64_t leader)
{
	uint64_t address = (leader & ~PORT_MASK) |
			   (h->r->node.settings.operators & PORT_MASK);
	struct dl_str path = dl_httpd_path(req);
	char text[24], location[512];
	struct dl_header header = { DL_STR("Location"), { location, 0 } };

	header.value.n = (size_t)snprintf(location, sizeof(location),
					  "http://%s%.*s",
					  dl_vm_text(address, text),
					  (int)MIN(path.n, 400), path.s);
	dl_httpd_reply(req, 307, &header, 1, DL_STR(""));
}

/* Returns true if this replica is the leader; otherwise answers the request. */
static bool require_leader(struct replica_http *h, struct dl_httpd_req *req)
{
	struct dl_rlog_status s;

	dl_rlog_get_status(h->r->rlog, replica_now(h->r), &s);
	if (s.role == DL_RLOG_LEADER)
		return true;
	if (s.leader != DL_VM_NONE && s.leader != h->r->node.self)
		redirect(h, req, s.leader);
	else
		reply_error(req, 503, "no leader is known");
	return false;
}

/*
 * Whether this replica is in contact with the group, so that it may accept
 * announcements.
 */
static bool has_leader_contact(struct replica_http *h)
{
	struct dl_rlog_status s;

	dl_rlog_get_status(h->r->rlog, replica_now(h->r), &s);
	return s.contact;
}

/*
 * Replies that an announcement is accepted. Unless the endpoint deregistered,
 * it is told to stay with this replica: if it used a different one each time,
 * it would be new to each of them, its report would be sent to every VM again,
 * and it would need a new connection.
 */
void replica_http_accept(struct replica *r, struct dl_httpd_req *req,
			 bool deregistered)
{
	char text[DL_DIALECT_TEXT_MAX];
	size_t n = platform_dialect.announce_reply(
		deregistered ? DL_VM_NONE : r->node.settings.operators, text);

	reply_json(req, 200, (struct dl_str){ text, n });
}

/* Replies that a departure is not acknowledged here. */
void replica_http_refuse_leaving(struct dl_httpd_req *req, const char *why)
{
	reply_error(req, 503, why);
}

/* Marks an announcement of an instance whose departure is known as leaving. */
static void apply_departure(const struct replica_http *h,
			    struct dl_announcement *a)
{
	const struct dl_departure *d =
		dl_departures_find(dl_directory_departures(h->directory),
				   dl_name_str(&a->instance), a->born);
	struct dl_leaving dated = { .known = true };

	if (!d || a->report.leaving)
		return;
	dated.since = d->since;
	a->report.leaving = true;
	a->report.leaving_ms = dl_leaving_age_ms(&dated, dl_node_boot_ms());
}

/* Applies an announcement that an endpoint made here, and relays it. */
void replica_http_announce(struct replica *r, struct dl_announcement *a)
{
	const struct dl_directory_entry *entry, *superseded;
	struct replica_http *h = r->http;
	enum dl_directory_result result;

	dl_node_date_announcement(h->directory, a);
	result = dl_node_apply_announcement(h->directory, a, replica_now(r),
					    &entry, &superseded);
	if (result != DL_DIRECTORY_STALE)
		dl_node_fill_announcement(a, entry);
	apply_departure(h, a);
	if (result != DL_DIRECTORY_STALE && !a->report.leaving)
		dl_directory_note_staying(h->directory,
					  dl_name_str(&a->report.id),
					  dl_name_str(&a->instance),
					  dl_node_boot_ms());
	if (result != DL_DIRECTORY_STALE)
		replica_services_note(r, a);
	replica_announce_relay(r, a);
}

static void on_announce(struct replica_http *h, struct dl_httpd_req *req,
			struct dl_str id, bool leave)
{
	struct dl_announcement a;
	struct dl_err err;
	bool leaving;
	int rc;

	if (!has_leader_contact(h)) {
		reply_error(req, 503,
			    "this replica has no contact with the group");
		return;
	}
	if (leave)
		rc = platform_dialect.leave(id, dl_httpd_body(req), &a, &err);
	else
		rc = platform_dialect.announce(id, dl_httpd_body(req), &a,
					       &err);
	if (rc) {
		reply_error(req, 400, err.text);
		return;
	}
	leaving = a.report.leaving;
	if (!replica_departures_hold(h->r, &a))
		replica_http_announce(h->r, &a);
	if (leaving)
		replica_departures_acknowledge(h->r, req, &a, leave);
	else
		replica_http_accept(h->r, req, false);
}

/*
 * Whether a configuration is valid. Returns its number and whether it lists no
 * replicas, or the first fault in why.
 */
static bool validate_config(struct dl_str text, uint64_t *number,
			    bool *no_replicas, char why[200])
{
	struct dl_faults *faults = g_new0(struct dl_faults, 1);
	struct dl_conf *conf = NULL;
	bool ok = dl_conf_parse(text, &conf, faults) == 0;

	*no_replicas = ok && conf->replicas_count == 0;
	if (ok)
		*number = conf->number;
	else
		g_snprintf(why, 200, "%s: %s", faults->items[0].path,
			   faults->items[0].text);
	dl_conf_free(conf);
	g_free(faults);
	return ok;
}

/* Proposes a validated configuration; answered when it is committed. */
static void propose(struct replica_http *h, struct dl_httpd_req *req,
		    struct dl_str text, uint64_t number, bool no_replicas)
{
	struct replica_pending p = { .http_req = req };
	struct dl_cstore_cmd cmd = { .op = DL_CSTORE_APPLY,
				     .text = text,
				     .expect = UINT64_MAX,
				     .confirm = true,
				     .checked_number = no_replicas ? number :
								     0 };
	struct dl_str data;
	char id[24], *command;
	int code;

	p.at = replica_now(h->r);
	p.config_number = number;
	cmd.wall_ms = h->r->wall_offset_ms + p.at;
	snprintf(id, sizeof(id), "%lu", (unsigned long)number);
	cmd.change_id = dl_str_of(id);
	if (dl_cstore_encode(&cmd, &command, &data.n)) {
		answer_change(req, number, 503, "out of memory");
		return;
	}
	data.s = command;
	code = dl_rlog_propose(h->r->rlog, data, p.at, &p.index, &p.term);
	free(command);
	if (code) {
		answer_change(req, number, 503,
			      "the change cannot be accepted now");
		return;
	}
	dl_httpd_set_data(req, h);
	g_array_append_val(h->r->pending, p);
}

static void on_apply_config(struct replica_http *h, struct dl_httpd_req *req)
{
	bool first = dl_cstore_version(h->r->cstore) == 0, no_replicas;
	uint64_t number = 0;
	struct dl_err err;
	char why[200], *text;

	if (platform_dialect.configuration(dl_httpd_body(req), &text, &err)) {
		answer_change(req, 0, 400, err.text);
		return;
	}
	if (!validate_config(dl_str_of(text), &number, &no_replicas, why))
		answer_change(req, 0, 400, why);
	else if (!first && number <= dl_cstore_number(h->r->cstore))
		answer_change(req, number, 200, "already in force");
	else if (require_leader(h, req))
		propose(h, req, dl_str_of(text), number, no_replicas);
	free(text);
}

/* Answers a request to evacuate a failure domain and logs the result. */
static void answer_evacuation(struct dl_httpd_req *req,
			      const struct dl_name *domain, bool evacuate,
			      uint16_t status, const char *why)
{
	dl_msg(DL_MSG_EVACUATION_ANSWERED,
	       "domain=%s evacuate=%d status=%u why=\"%s\"", domain->s,
	       evacuate, status, why);
	if (status == 200)
		reply_json(req, status, DL_STR("{}"));
	else
		reply_error(req, status, why);
}

/*
 * Answers that a failure domain is evacuated, or no longer, and names the
 * services that have no endpoint elsewhere. Where endpoints that leave do not
 * serve on, replicas do not know, and the answer names none.
 */
static void answer_evacuated(const struct replica *r,
			     const struct replica_pending *p)
{
	json_t *list, *root;
	char *names, *text;

	if (!replica_services_shared(r)) {
		answer_evacuation(p->http_req, &p->domain, p->evacuate, 200,
				  "");
		return;
	}
	list = replica_services_without(r);
	names = dl_node_join_names(list);
	root = json_pack("{so}", "services_without_endpoint", list);
	text = json_dumps(root, JSON_COMPACT);
	dl_msg(DL_MSG_EVACUATION_ANSWERED,
	       "domain=%s evacuate=%d status=200 without_endpoint=%s",
	       p->domain.s, p->evacuate, names);
	reply_json(p->http_req, 200, dl_str_of(text ? text : "{}"));
	free(text);
	g_free(names);
	json_decref(root);
}

/* Proposes the begin or end of an evacuation; answered when committed. */
static void on_evacuate(struct replica_http *h, struct dl_httpd_req *req,
			struct dl_str domain, bool evacuate)
{
	struct replica_pending p = { .http_req = req, .evacuate = evacuate };
	struct dl_cstore_cmd cmd = { .op = DL_CSTORE_EVACUATE,
				     .key = domain,
				     .confirm = evacuate };
	struct dl_str data;
	struct dl_err err;
	char *command;
	int code;

	if (!dl_name_set(&p.domain, domain) ||
	    replica_evacuation_validate(h->r, domain, &err)) {
		answer_evacuation(req, &p.domain, evacuate, 400,
				  "no such failure domain");
		return;
	}
	if (!require_leader(h, req))
		return;
	p.at = replica_now(h->r);
	cmd.wall_ms = h->r->wall_offset_ms + p.at;
	if (dl_cstore_encode(&cmd, &command, &data.n)) {
		answer_evacuation(req, &p.domain, evacuate, 503,
				  "out of memory");
		return;
	}
	data.s = command;
	code = dl_rlog_propose(h->r->rlog, data, p.at, &p.index, &p.term);
	free(command);
	if (code) {
		answer_evacuation(req, &p.domain, evacuate, 503,
				  "the change cannot be accepted now");
		return;
	}
	dl_httpd_set_data(req, h);
	g_array_append_val(h->r->pending, p);
}

/* Answers with the original source kept in the configuration in force. */
static void reply_source(struct dl_httpd_req *req, struct dl_str text)
{
	json_t *root = json_loadb(text.s, text.n, 0, NULL);
	json_t *source = json_object_get(root, "source");

	if (source)
		reply_json(req, 200,
			   (struct dl_str){ json_string_value(source),
					    json_string_length(source) });
	else
		reply_error(req, 503,
			    "the configuration in force has no source");
	json_decref(root);
}

static void on_get_config(struct replica_http *h, struct dl_httpd_req *req)
{
	struct dl_str text;

	if (!require_leader(h, req))
		return;
	if (!replica_can_read(h->r, replica_now(h->r)) ||
	    !dl_cstore_text(h->r->cstore, 0, &text)) {
		reply_error(req, 503, "the newest version cannot be confirmed");
		return;
	}
	reply_source(req, text);
}

static void on_request(void *arg, struct dl_httpd_req *req)
{
	struct replica_http *h = arg;
	struct dl_str id;

	if (!h->r->started) {
		reply_error(req, 503, "starting");
		return;
	}
	switch (platform_dialect.control(dl_httpd_method(req),
					 dl_httpd_path(req), &id)) {
	case DL_CONTROL_ANNOUNCE:
		on_announce(h, req, id, false);
		return;
	case DL_CONTROL_LEAVE:
		on_announce(h, req, id, true);
		return;
	case DL_CONTROL_APPLY:
		on_apply_config(h, req);
		return;
	case DL_CONTROL_READ:
		on_get_config(h, req);
		return;
	case DL_CONTROL_EVACUATE:
		on_evacuate(h, req, id, true);
		return;
	case DL_CONTROL_EVACUATE_END:
		on_evacuate(h, req, id, false);
		return;
	case DL_CONTROL_UNKNOWN:
		reply_error(req, 404, "no such method or path");
		return;
	}
}

/* Handles a client that disconnected before its change was committed. */
static void on_gone(void *arg, struct dl_httpd_req *req)
{
	struct replica_http *h = arg;

	for (guint i = 0; i < h->r->pending->len; i++) {
		struct replica_pending *p = &g_array_index(
			h->r->pending, struct replica_pending, i);

		if (p->http_req == req)
			p->http_req = NULL;
	}
	replica_departures_gone(h->r, req);
}

static void on_drained(void *arg, struct dl_httpd_req *req)
{
	(void)arg;
	(void)req;
}

/* Answers a change that was committed or failed. */
void replica_http_change_decided(const struct replica_pending *p,
				 const struct dl_cstore_reply *reply)
{
	const struct replica_http *h = dl_httpd_data(p->http_req);
	uint16_t status = reply->code == 0	 ? 200 :
			  reply->code == -EINVAL ? 400 :
						   503;

	if (p->domain.n && status == 200) {
		answer_evacuated(h->r, p);
		return;
	}
	if (p->domain.n) {
		answer_evacuation(p->http_req, &p->domain, p->evacuate, status,
				  reply->text);
		return;
	}
	answer_change(p->http_req, p->config_number, status, reply->text);
}

/* Whether a change sent over HTTP was not committed in time. */
bool replica_http_change_timed_out(const struct replica_pending *p, int64_t now)
{
	return p->http_req && now - p->at > COMMIT_TIMEOUT_MS;
}

/* Records that an endpoint is leaving, as reported by another replica. */
void replica_http_endpoint_leaving(struct replica *r,
				   const struct dl_announcement *a)
{
	const struct dl_directory_entry *entry, *superseded;

	if (r->http)
		dl_node_apply_announcement(r->http->directory, a,
					   replica_now(r), &entry, &superseded);
}

/* Takes no further request on connections that are answered. */
void replica_http_stop(struct replica *r)
{
	if (r->http)
		dl_httpd_close_after_responses(r->http->httpd);
}

/* Whether a client waits for an answer, still reads one or sends a request. */
bool replica_http_awaited(const struct replica *r)
{
	if (!r->http)
		return false;
	for (guint i = 0; i < r->pending->len; i++) {
		if (g_array_index(r->pending, struct replica_pending, i)
			    .http_req)
			return true;
	}
	return replica_departures_awaited(r) ||
	       dl_httpd_has_unwritten(r->http->httpd) ||
	       dl_httpd_is_reading(r->http->httpd);
}

/* Removes endpoints that have not been heard from for long. */
void replica_http_tick(struct replica *r, int64_t now)
{
	struct replica_http *h = r->http;

	if (!h || now - h->last_expiry < DIRECTORY_EXPIRY_MS / 2)
		return;
	h->last_expiry = now;
	dl_directory_expire(h->directory, now - DIRECTORY_EXPIRY_MS);
}

/* Starts the HTTP server if the settings have an address for it. */
int replica_http_open(struct replica *r, struct dl_err *err)
{
	struct replica_http *h;
	struct dl_httpd_conf conf = {
		.address = r->node.settings.operators,
		.body_max = BODY_MAX,
		.conns_max = CONNS_MAX,
		.read_ms = READ_TIMEOUT_MS,
	};

	if (conf.address == DL_VM_NONE)
		return 0;
	h = g_new0(struct replica_http, 1);
	h->r = r;
	h->directory = dl_directory_new();
	r->http = h;
	replica_departures_open(r, dl_directory_departures(h->directory));
	return dl_httpd_open(r->node.loop, &conf, &httpd_ops, h, &h->httpd,
			     err);
}
