/*
 * Connections between the processes of the system.  TCP connections, opened on
 * demand and monitored by heartbeats, carry calls and the replicated log; UDP
 * datagrams on the same port number carry membership messages.
 */
#ifndef DL_TRANSPORT_PEERS_H
#define DL_TRANSPORT_PEERS_H

#include <uv.h>

#include "daisyledge/base.h"
#include "transport/frame.h"

struct dl_peers;

/* Callbacks to the owner; from and vm are listening addresses. */
struct dl_peers_ops {
	void (*frame)(void *arg, uint64_t from, const struct dl_frame *frame);
	void (*up)(void *arg, uint64_t vm);
	void (*down)(void *arg, uint64_t vm);
	/* Whether the age of frames from a VM is bounded closely; or NULL. */
	bool (*dated_soon)(void *arg, uint64_t vm);
};

struct dl_peers_conf {
	uint64_t self; /* listening address, TCP and UDP */
	uint64_t incarnation;
	uint32_t heartbeat_ms;
	uint32_t silent_ms;	  /* close after this long without data */
	uint32_t connect_ms;	  /* connect timeout before a new attempt */
	uint32_t idle_close_ms;	  /* close after this long without use */
	uint32_t queue_bytes_max; /* per connection; beyond it, sends fail */
	/*
	 * Sets dl_frame.sent_after: heartbeats and their replies return the
	 * time of the other end to it on each connection, whose order bounds
	 * the age of what follows.
	 */
	bool date_frames;
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
