/* State of the replica process, shared by src/replica. */
#ifndef DL_REPLICA_REPLICA_H
#define DL_REPLICA_REPLICA_H

#include <glib.h>
#include <jansson.h>

#include "daisyledge/crash_store.h"
#include "daisyledge/cstore.h"
#include "daisyledge/rlog.h"
#include "node/departures.h"
#include "node/node.h"
#include "node/quarantine.h"
#include "protocol/pack.h"
#include "state/conf_history.h"
#include "transport/disk_file.h"
#include "transport/httpd.h"

/* A proposed command whose sender waits for its commit. */
struct replica_pending {
	uint64_t index;
	uint64_t term;
	uint64_t vm;
	uint64_t request;
	int64_t at;
	int64_t stepped_down_at; /* when its leader had; 0: it has not */
	uint64_t config_number;	 /* number of a configuration sent over HTTP */
	struct dl_name domain;	 /* of an evacuation sent over HTTP; or empty */
	bool evacuate;		 /* it begins; otherwise it ends */
	struct dl_httpd_req *http_req; /* to answer; vm is then none */
};

/* A query that was forwarded to the leader. */
struct replica_forwarded {
	uint64_t request; /* id of the forwarded query */
	uint64_t vm;
	uint64_t sender_request;
	int64_t at;
	bool status; /* answered here if the leader does not reply */
};

/* An entry whose lease request could not be confirmed yet. */
struct replica_lease_waiter {
	uint64_t vm;
	uint64_t request;
};

enum replica_voter_state {
	REPLICA_VOTER_OK,
	REPLICA_VOTER_SILENT,
	REPLICA_VOTER_DISK_FAILS,
};

struct replica_lost_voter {
	uint64_t id; /* its identity */
	enum replica_voter_state state;
};

/* What the log output last said of the group and the disk. */
struct replica_health {
	enum dl_rlog_role role;
	uint64_t leader;
	int64_t led_since;	 /* when this replica became the leader */
	int64_t leader_known_at; /* when a leader was last known */
	bool no_leader;
	bool joins_ignored;
	int64_t disk_failed_at; /* 0: it works */
	int64_t hanging_since;	/* start of the write that was logged */
	uint64_t disk_errors;
	const char *disk_step; /* of the error logged last */
	int disk_code;
	uint32_t lost_count;
	struct replica_lost_voter lost[DL_RLOG_MEMBERS_MAX];
};

/* The configuration as it is sent to entries. */
struct replica_push {
	bool due;		  /* a new version is to be pushed */
	int64_t split_not_before; /* unless a version is pulled */
	int64_t pushed_at;	  /* the last large body; 0: none */
	struct dl_conf_id id;	  /* the newest version; digest 0: not split */
	size_t text_n;		  /* length of its text */
	bool had_source;	  /* its text has a source, which is not sent */
	struct dl_conf_sections *sections; /* NULL: not split */
	char *body;	    /* whole, deflated; NULL: not built */
	size_t body_n;	    /* of the last body that was built */
	size_t body_text_n; /* length of the text that it was built from */
	struct dl_conf_versions pushed;
	struct dl_conf_history deltas; /* that were pushed */
};

struct replica {
	struct dl_node node;
	struct dl_disk_file *disk;
	struct dl_rlog_store *store;
	struct dl_rlog *rlog;
	struct dl_cstore *cstore;
	uv_prepare_t prepare;
	uv_idle_t apply_idle; /* active while entries wait to be applied */
	int64_t started_at;
	int64_t log_retry_at;  /* when to read the log again; 0: it was read */
	int64_t log_failed_at; /* when reading it failed first */
	uint32_t log_failures;
	bool started; /* the first sync of the journal has finished */
	bool current; /* has caught up, so its version may be advertised */
	uint64_t advertised_version;
	uint64_t evacuations_sent; /* revision last sent to the entries */
	struct replica_push push;
	struct replica_health health;
	uint64_t writing_seq; /* sequence number of the record being written */
	int64_t write_started_at;
	int64_t wall_offset_ms; /* wall clock minus boot time, at the start */
	int64_t stop_deadline;	/* end of a planned stop; 0 if not stopping */
	GArray *pending;	/* of struct replica_pending */
	GArray *forwarded;	/* of struct replica_forwarded */
	GHashTable
		*lease_waiters; /* entry to its struct replica_lease_waiter */
	uint64_t next_request;
	struct replica_orders *orders;
	struct replica_http *http; /* NULL if not configured */
	struct replica_announce *announce;
	struct replica_services *services;
	struct replica_departures *departures; /* NULL if not configured */
	struct quarantine quarantine;
	struct dl_crash_store *crashes; /* the active ones, on disk */
	bool crashes_unsaved;		/* the last save of them failed */
	int64_t crashes_unread_at; /* when reading them failed first, or 0 */
};

/* replica.c */
int64_t replica_now(const struct replica *r);
/* Whether all entries known to be committed are applied. */
bool replica_caught_up(const struct replica *r);
void replica_send(struct replica *r, uint64_t to, uint32_t kind,
		  uint64_t request, struct dl_str body);
/* Sends to all live entries and, if include_replicas, to the other replicas. */
void replica_broadcast(struct replica *r, bool include_replicas, uint32_t kind,
		       struct dl_str body);

/* replica_announce.c */
struct replica_announce *replica_announce_new(void);
void replica_announce_relay(struct replica *r, const struct dl_announcement *a);
void replica_announce_leaving(struct replica *r, const struct dl_frame *f);
void replica_announce_departed(struct replica *r,
			       const struct dl_announcement *a);
void replica_announce_request(struct replica *r, uint64_t from,
			      const struct dl_frame *f);
void replica_announce_tick(struct replica *r, int64_t now);

/* replica_cmd.c */
void replica_cmd_frame(struct replica *r, uint64_t from,
		       const struct dl_frame *frame);
void replica_cmd_apply(struct replica *r, const struct dl_rlog_apply *a);
void replica_cmd_tick(struct replica *r, int64_t now);
void replica_cmd_abandon(struct replica *r);

/* replica_conf.c */
void replica_conf_pull(struct replica *r, uint64_t from,
		       const struct dl_frame *frame);
void replica_conf_check(struct replica *r);
void replica_conf_tick(struct replica *r, int64_t now);
void replica_conf_close(struct replica *r);

/* replica_departures.c */
void replica_departures_open(struct replica *r, struct dl_departures *list);
void replica_departures_up(struct replica *r, uint64_t vm);
bool replica_departures_hold(struct replica *r,
			     const struct dl_announcement *a);
void replica_departures_acknowledge(struct replica *r,
				    struct dl_httpd_req *http_req,
				    const struct dl_announcement *a,
				    bool deregistered);
bool replica_departures_awaited(const struct replica *r);
void replica_departures_abandon(struct replica *r);
void replica_departures_gone(struct replica *r,
			     const struct dl_httpd_req *http_req);
void replica_departures_frame(struct replica *r, uint64_t from,
			      const struct dl_frame *f);
void replica_departures_tick(struct replica *r, int64_t now);

/* replica_evacuation.c */
void replica_evacuation_pack(struct replica *r, struct dl_packer *pk);
void replica_evacuation_check(struct replica *r);
int replica_evacuation_validate(const struct replica *r, struct dl_str domain,
				struct dl_err *err);

/* replica_health.c */
void replica_health_init(struct replica *r);
void replica_health_check(struct replica *r);

/* replica_http.c */
int replica_http_open(struct replica *r, struct dl_err *err);
void replica_http_tick(struct replica *r, int64_t now);
void replica_http_announce(struct replica *r, struct dl_announcement *a);
void replica_http_accept(struct replica *r, struct dl_httpd_req *req,
			 bool deregistered);
void replica_http_refuse_leaving(struct dl_httpd_req *req, const char *why);
void replica_http_stop(struct replica *r);
bool replica_http_awaited(const struct replica *r);
void replica_http_endpoint_leaving(struct replica *r,
				   const struct dl_announcement *a);
void replica_http_change_decided(const struct replica_pending *p,
				 const struct dl_cstore_reply *reply);
bool replica_http_change_timed_out(const struct replica_pending *p,
				   int64_t now);

/* replica_lease.c */
bool replica_can_read(struct replica *r, int64_t now);
void replica_lease_answer_waiters(struct replica *r);
void replica_lease_frame(struct replica *r, uint64_t from,
			 const struct dl_frame *frame);

/* replica_services.c */
struct replica_services *replica_services_new(void);
bool replica_services_shared(const struct replica *r);
void replica_services_note(struct replica *r, const struct dl_announcement *a);
void replica_services_batch(struct replica *r, const struct dl_frame *f);
void replica_services_refresh(struct replica *r, uint64_t from,
			      const struct dl_frame *f);
json_t *replica_services_without(const struct replica *r);
void replica_services_tick(struct replica *r, int64_t now);

/* replica_quarantine.c */
void replica_quarantine_open(struct replica *r, struct dl_disk disk);
void replica_quarantine_close(struct replica *r);
void replica_quarantine_frame(struct replica *r, const struct dl_frame *f);
void replica_quarantine_up(struct replica *r, uint64_t vm);
void replica_quarantine_tick(struct replica *r, int64_t now);

/* replica_query.c */
void replica_query_frame(struct replica *r, uint64_t from,
			 const struct dl_frame *frame);
void replica_query_reply(struct replica *r, const struct dl_frame *frame);
void replica_query_tick(struct replica *r, int64_t now);

/* replica_orders.c */
int replica_orders_open(struct replica *r);
void replica_orders_tick(struct replica *r, int64_t now);
bool replica_orders_reply(struct replica *r, const struct dl_frame *frame);
json_t *replica_orders_json(struct replica *r);

#endif
