/*
 * Frames between the processes of the system.  On a TCP connection a frame is a
 * 4-byte length in network byte order and a msgpack array [kind, request id,
 * incarnation of the sender, body]; a datagram holds one such array.
 */
#ifndef DL_TRANSPORT_FRAME_H
#define DL_TRANSPORT_FRAME_H

#include <msgpack.h>

#include "daisyledge/base.h"

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
	DL_FRAME_RETRY_REQUEST = 55, /* entry to dispatcher: is one covered? */
	DL_FRAME_RETRY_REPLY = 56,   /* dispatcher to entry */
	DL_FRAME_PART_CRASHES = 53,  /* the same, for parts of prompts */
	DL_FRAME_LIMIT = 34, /* entry to dispatcher: limit set by an endpoint */
	DL_FRAME_EVACUATIONS = 35, /* replica to entry: evacuated domains */
	/* On connections of their own, see tunnel.h. */
	DL_FRAME_TUNNEL_OPEN = 36,
	DL_FRAME_TUNNEL_OPENED = 37,
	DL_FRAME_TUNNEL_FAILED = 38,
	DL_FRAME_TUNNEL_DATA = 39,
	DL_FRAME_TUNNEL_END = 51,
	DL_FRAME_ENDPOINT_FAULT = 52, /* entry to dispatcher: it failed */
	DL_FRAME_RLOG = 40,	      /* replica to replica */
	DL_FRAME_RLOG_DEFLATED = 50,  /* DL_FRAME_RLOG, deflated */
	DL_FRAME_CMD = 41,	      /* entry to replica: a cstore command */
	DL_FRAME_CMD_REPLY = 42,
	DL_FRAME_CONF_PULL = 43, /* request for a newer configuration version */
	DL_FRAME_CONF_PUSH = 44, /* a configuration version and its text */
	DL_FRAME_CONF_DELTA = 54, /* a version as a delta from an earlier one */
	DL_FRAME_QUERY = 45,	  /* entry to replica: history, status, get */
	DL_FRAME_QUERY_REPLY = 46,
	DL_FRAME_LEASE_REQUEST = 48, /* entry to replica: version in force */
	DL_FRAME_LEASE = 49,	     /* reply of the leader */
	DL_FRAME_CONF_ACK = 47,	     /* the version is in force at the sender */
	DL_FRAME_DEPARTURES_AT = 57, /* how far the sender's departures go */
	DL_FRAME_DEPARTURES_REQUEST = 58,
	DL_FRAME_DEPARTURES = 59,
};

struct dl_frame {
	uint32_t kind;
	uint64_t request;
	uint64_t incarnation; /* the sender's */
	struct dl_str body;
	/*
	 * Not part of the frame: it was sent after this time, in ms since boot;
	 * 0: not known. See dl_peers_conf.date_frames.
	 */
	int64_t sent_after;
};

/* Appends a frame, without its length. */
void dl_frame_pack(msgpack_sbuffer *out, const struct dl_frame *frame);
/* Decodes a frame without its length; body points into p. */
bool dl_frame_parse(msgpack_unpacked *u, const char *p, size_t n,
		    struct dl_frame *out);

/* A frame with its length, allocated with malloc(); NULL: out of memory. */
char *dl_frame_bytes(const struct dl_frame *frame, size_t *n);

/* Bytes of a connection that are not a complete frame yet. */
struct dl_frame_reader {
	char *buf;
	size_t filled, size;
};

/* Room for reading n bytes or more; false if memory runs out. */
bool dl_frame_reader_room(struct dl_frame_reader *r, char **to, size_t *n);
/*
 * Takes the complete frames from a reader in turn.  handle() returns false to
 * stop, because the reader's connection was closed.  Returns 0, -EPROTO for a
 * malformed or oversized frame, or -ECANCELED.
 */
int dl_frame_reader_take(struct dl_frame_reader *r,
			 bool (*handle)(void *arg, const struct dl_frame *f),
			 void *arg);
void dl_frame_reader_free(struct dl_frame_reader *r);

#endif
