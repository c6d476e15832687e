/*
 * Frames between the system's own processes.  TCP connections opened on
 * demand and watched by heartbeats carry calls and the log; UDP datagrams on
 * the same port number carry membership.  A frame is a 4-byte length and a
 * msgpack array [kind, request id, sender's incarnation, body].
 */
#ifndef DL_TRANSPORT_PEERS_H
#define DL_TRANSPORT_PEERS_H

#include <uv.h>

#include "daisyledge/base.h"

struct dl_peers;

/* The largest frame body: a snapshot or a configuration and its envelope. */
#define DL_FRAME_BODY_MAX (64u << 20)

/* What frames are for; numbers never change their meaning. */
enum dl_frame_kind {
	DL_FRAME_HELLO = 1,	     /* peers' own */
	DL_FRAME_PING = 2,	     /* peers' own */
	DL_FRAME_PONG = 3,	     /* peers' own */
	DL_FRAME_MEMBERSHIP = 10,    /* datagram of src/coordination/memb */
	DL_FRAME_GRANT_REQUEST = 20, /* entry to dispatcher */
	DL_FRAME_GRANT_REPLY = 21,   /* dispatcher to entry */
	DL_FRAME_CANCEL = 22,
	DL_FRAME_RENEW = 23,
	DL_FRAME_RELEASE = 24,
	DL_FRAME_REPORT = 25,	     /* an endpoint's announcement, passed on */
	DL_FRAME_SUMMARY = 26,	     /* a pool in one line */
	DL_FRAME_RENEW_UNKNOWN = 27, /* the dispatcher does not know a grant */
	DL_FRAME_ADOPT = 28,	     /* entry tells a new dispatcher a grant */
	DL_FRAME_FIRST_EVENT = 29,   /* the first event of a grant came */
	DL_FRAME_UNCHANGED = 30,     /* endpoints that say the same, by keys */
	DL_FRAME_REPORTS_REQUEST = 31, /* entry to replica: the words of keys */
	DL_FRAME_REPORTS = 32,	       /* announcements of many endpoints */
	DL_FRAME_CRASHES = 33,	       /* of endpoints under requests */
	DL_FRAME_LIMIT = 34, /* entry to dispatcher: an endpoint's own */
	DL_FRAME_RLOG = 40,  /* replica to replica */
	DL_FRAME_RLOG_DEFLATED = 50, /* the same, deflated */
	DL_FRAME_CMD = 41,	     /* entry to replica: a cstore command */
	DL_FRAME_CMD_REPLY = 42,
	DL_FRAME_CONF_PULL = 43, /* who has a newer version than mine */
	DL_FRAME_CONF_PUSH = 44, /* a version with its text */
	DL_FRAME_QUERY = 45,	 /* entry to replica: history, status, get */
	DL_FRAME_QUERY_REPLY = 46,
	DL_FRAME_LEASE_REQUEST = 48, /* entry to replica: what is in force */
	DL_FRAME_LEASE = 49,	     /* the leader's word */
	DL_FRAME_CONF_ACK = 47,	     /* this version is in force here */
};

struct dl_frame {
	uint32_t kind;
	uint64_t request;
	uint64_t incarnation; /* the sender's */
	struct dl_str body;
};

/* What the owner is told; from is the sender's listening address. */
struct dl_peers_ops {
	void (*frame)(void *arg, uint64_t from, const struct dl_frame *frame);
	void (*up)(void *arg, uint64_t vm);
	void (*down)(void *arg, uint64_t vm);
};

struct dl_peers_conf {
	uint64_t self; /* where to listen, TCP and UDP */
	uint64_t incarnation;
	uint32_t heartbeat_ms;
	uint32_t silent_ms;  /* a connection silent for so long is replaced */
	uint32_t connect_ms; /* one not open by then is begun anew */
	uint32_t idle_close_ms;	  /* one without frames for so long is closed */
	uint32_t queue_bytes_max; /* for each connection; more is refused */
};

void dl_peers_defaults(struct dl_peers_conf *conf);
int dl_peers_open(uv_loop_t *loop, const struct dl_peers_conf *conf,
		  const struct dl_peers_ops *ops, void *arg,
		  struct dl_peers **out, struct dl_err *err);
/* Stops listening and closes all; frees itself once the loop has run. */
void dl_peers_close(struct dl_peers *peers);

/*
 * For tests: nothing more passes between this process and these, either way,
 * and nobody is told, as behind a silent partition.  Replaces the last list.
 */
#define DL_PEERS_BLOCKED_MAX 64

void dl_peers_block(struct dl_peers *peers, const uint64_t *vms,
		    uint32_t count);

/*
 * Queue a frame on the connection to a VM, opening one where needed.
 * 0, or -EAGAIN (its queue is full), -EMSGSIZE.  Delivery is not promised;
 * a lost connection is told through down().
 */
int dl_peers_send(struct dl_peers *peers, uint64_t to, uint32_t kind,
		  uint64_t request, struct dl_str body);
/* The same as one datagram; body at most 1,200 bytes. */
int dl_peers_send_datagram(struct dl_peers *peers, uint64_t to, uint32_t kind,
			   uint64_t request, struct dl_str body);

#endif
