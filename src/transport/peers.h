/*
 * Frames between the processes of the system.  TCP connections, opened on
 * demand and monitored by heartbeats, carry calls and the replicated log; UDP
 * datagrams on the same port number carry membership messages.  A frame is a
 * 4-byte length in network byte order and a msgpack array [kind, request id,
 * incarnation of the sender, body].
 */
#ifndef DL_TRANSPORT_PEERS_H
#define DL_TRANSPORT_PEERS_H

#include <uv.h>

#include "daisyledge/base.h"

struct dl_peers;

/* Largest frame body: a snapshot or a configuration, with its envelope. */
#define DL_FRAME_BODY_MAX (64u << 20)

/* Frame types; a number is never reused with another meaning. */
enum dl_frame_kind {
	DL_FRAME_HELLO = 1,	     /* the sender's address, sent first */
	DL_FRAME_PING = 2,	     /* heartbeat on a connection */
	DL_FRAME_PONG = 3,	     /* reply to DL_FRAME_PING */
	DL_FRAME_MEMBERSHIP = 10,    /* datagram of src/coordination/memb */
	DL_FRAME_GRANT_REQUEST = 20, /* entry to dispatcher */
	DL_FRAME_GRANT_REPLY = 21,   /* dispatcher to entry */
	DL_FRAME_CANCEL = 22,
	DL_FRAME_RENEW = 23,
	DL_FRAME_RELEASE = 24,
	DL_FRAME_REPORT = 25,	     /* forwarded announcement of an endpoint */
	DL_FRAME_SUMMARY = 26,	     /* state of a pool */
	DL_FRAME_RENEW_UNKNOWN = 27, /* dispatcher does not know the grant */
	DL_FRAME_ADOPT = 28, /* entry reports a grant to a new dispatcher */
	DL_FRAME_FIRST_EVENT = 29, /* the first event of a grant arrived */
	DL_FRAME_UNCHANGED = 30, /* keys of endpoints with unchanged reports */
	DL_FRAME_REPORTS_REQUEST = 31, /* entry to replica: reports by key */
	DL_FRAME_REPORTS = 32,	       /* announcements of many endpoints */
	DL_FRAME_CRASHES = 33,	       /* endpoint crashes during requests */
	DL_FRAME_LIMIT = 34, /* entry to dispatcher: limit set by an endpoint */
	DL_FRAME_EVACUATIONS = 35,   /* replica to entry: evacuated domains */
	DL_FRAME_RLOG = 40,	     /* replica to replica */
	DL_FRAME_RLOG_DEFLATED = 50, /* DL_FRAME_RLOG, deflated */
	DL_FRAME_CMD = 41,	     /* entry to replica: a cstore command */
	DL_FRAME_CMD_REPLY = 42,
	DL_FRAME_CONF_PULL = 43, /* request for a newer configuration version */
	DL_FRAME_CONF_PUSH = 44, /* a configuration version and its text */
	DL_FRAME_QUERY = 45,	 /* entry to replica: history, status, get */
	DL_FRAME_QUERY_REPLY = 46,
	DL_FRAME_LEASE_REQUEST = 48, /* entry to replica: version in force */
	DL_FRAME_LEASE = 49,	     /* reply of the leader */
	DL_FRAME_CONF_ACK = 47,	     /* the version is in force at the sender */
};

struct dl_frame {
	uint32_t kind;
	uint64_t request;
	uint64_t incarnation; /* the sender's */
	struct dl_str body;
};

/* Callbacks to the owner; from and vm are listening addresses. */
struct dl_peers_ops {
	void (*frame)(void *arg, uint64_t from, const struct dl_frame *frame);
	void (*up)(void *arg, uint64_t vm);
	void (*down)(void *arg, uint64_t vm);
};

struct dl_peers_conf {
	uint64_t self; /* listening address, TCP and UDP */
	uint64_t incarnation;
	uint32_t heartbeat_ms;
	uint32_t silent_ms;	  /* close after this long without data */
	uint32_t connect_ms;	  /* connect timeout before a new attempt */
	uint32_t idle_close_ms;	  /* close after this long without use */
	uint32_t queue_bytes_max; /* per connection; beyond it, sends fail */
};

void dl_peers_defaults(struct dl_peers_conf *conf);
int dl_peers_open(uv_loop_t *loop, const struct dl_peers_conf *conf,
		  const struct dl_peers_ops *ops, void *arg,
		  struct dl_peers **out, struct dl_err *err);
/* Closes everything; frees peers once the loop has run. */
void dl_peers_close(struct dl_peers *peers);

/*
 * For tests: silently drops all traffic to and from these VMs, as a network
 * partition does.  Replaces the previous list.
 */
#define DL_PEERS_BLOCKED_MAX 64

void dl_peers_block(struct dl_peers *peers, const uint64_t *vms,
		    uint32_t count);

/*
 * Queues a frame on the connection to a VM, opening one if needed.  Returns 0,
 * -EAGAIN if the queue is full or no connection can be opened, or -EMSGSIZE.
 * Delivery is not guaranteed; a lost connection is reported through down().
 */
int dl_peers_send(struct dl_peers *peers, uint64_t to, uint32_t kind,
		  uint64_t request, struct dl_str body);
/* Sends a frame as one datagram; the body is limited to 1,200 bytes. */
int dl_peers_send_datagram(struct dl_peers *peers, uint64_t to, uint32_t kind,
			   uint64_t request, struct dl_str body);

#endif
