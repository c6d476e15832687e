/*
 * Server side of tunnels: connections of other VMs to endpoints that this VM
 * forwards, because those VMs have lost their own links.  The client side is in
 * httpc_conn.c.
 *
 * The client opens a TCP connection and sends DL_FRAME_TUNNEL_OPEN with the
 * endpoint's address as the frame's request id, and the endpoint's last report
 * as its body if the client has one.  The answer is
 * DL_FRAME_TUNNEL_OPENED, or DL_FRAME_TUNNEL_FAILED with an enum
 * dl_forward_result as the request id, and the end.  What the client sends
 * after the answer goes to the endpoint as it is.  What the endpoint sends
 * comes in DL_FRAME_TUNNEL_DATA; DL_FRAME_TUNNEL_END follows where it closed
 * the connection in an orderly way.  A tunnel that ends without that frame was
 * cut short: an endpoint's response that only its end delimits must not look
 * complete because a VM died.
 *
 * A tunnel has one hop: the forwarding VM connects to the endpoint itself.
 */
#ifndef DL_TRANSPORT_TUNNEL_H
#define DL_TRANSPORT_TUNNEL_H

#include <uv.h>

#include "daisyledge/paths.h"

struct dl_tunnels;

struct dl_tunnels_ops {
	/*
	 * Whether to connect to an address for another VM, and, if not, what
	 * to answer; report is the endpoint's report that it sent, or empty.
	 */
	enum dl_forward_result (*admit)(void *arg, uint64_t endpoint,
					struct dl_str report);
	/*
	 * Lists other endpoints, to find out whether this VM reaches any;
	 * returns how many. Without any, the one that fails is blamed.
	 */
	uint32_t (*others)(void *arg, uint64_t endpoint, uint64_t *out,
			   uint32_t max);
	/* A connection that this VM made itself succeeded or failed. */
	void (*direct)(void *arg, uint64_t endpoint,
		       enum dl_direct_result result);
};

/* Listens on an address; ops must outlive the result. */
int dl_tunnels_open(uv_loop_t *loop, uint64_t address, uint32_t tunnels_max,
		    const struct dl_tunnels_ops *ops, void *arg,
		    struct dl_tunnels **out, struct dl_err *err);
/* Refuses new tunnels; open ones go on. */
void dl_tunnels_stop_accepting(struct dl_tunnels *tunnels);
uint32_t dl_tunnels_count(const struct dl_tunnels *tunnels);
/* Ends the tunnels of a VM that is gone; only its IP address counts. */
void dl_tunnels_vm_gone(struct dl_tunnels *tunnels, uint64_t vm);
/* Closes everything; frees tunnels once the loop has run. */
void dl_tunnels_close(struct dl_tunnels *tunnels);

#endif
