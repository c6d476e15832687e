/*
 * Heartbeats of an emulated endpoint in the platform's protocol.  One endpoint
 * a process.
 */
#ifndef DL_TEST_FAKE_HEARTBEAT_H
#define DL_TEST_FAKE_HEARTBEAT_H

#include <stdint.h>
#include <uv.h>

#define FAKE_HEARTBEAT_MS 300

/* What the endpoint says of itself; the strings are not copied. */
struct fake_heartbeat_conf {
	const char *control; /* addresses of replicas: A,B */
	const char *service;
	const char *listen;
	const char *instance;
	const char *zone;
	int slots;
};

/* Takes the start time of the instance; sends nothing yet. */
void fake_heartbeat_init(uv_loop_t *loop,
			 const struct fake_heartbeat_conf *conf);
/* Sends a heartbeat to the replica whose turn it is; returns its number. */
uint64_t fake_heartbeat_send(const char *state);
/* Sends a heartbeat with this number to an address; its reply has no effect. */
void fake_heartbeat_send_to(uint64_t address, const char *state,
			    uint64_t number);
/* Tells the replica whose turn it is that the endpoint has gone. */
void fake_heartbeat_deregister(void);

#endif
