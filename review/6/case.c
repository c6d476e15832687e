/*
 * An entry stands still for two seconds, in which a runner leaves.
 *
 * Each of 24 services has two runners. An entry is stopped. One runner of
 * each service deregisters, is acknowledged, and serves on for some seconds
 * before it exits, as some runners do. The entry goes on 2.1 s after it was
 * stopped.
 */
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "lab-2.h"

#define SERVICES   24
#define DRAIN_MS   2000 /* bounds.drain_ms of the site */
#define TOUCH_MS   3000 /* bounds.stability_window_ms of the site */
#define FREEZE_MS  2100
#define BUSY_MS	   150 /* between requests of a client of entry 1 */
#define QUIET_MS   8000 /* of a client of another entry */
#define LAST_BEAT_MS 2400 /* before the last heartbeat: twice heartbeat_ms */
#define SERVES_MS  11000 /* from the deregistration to the exit */

static struct lab_runner *staying[SERVICES], *leaving[SERVICES];
static volatile int64_t left_at[SERVICES]; /* the acknowledgement; 0: none */
static volatile int64_t touch_from = INT64_MAX;
static volatile int late, others, stop;

static char config[16384];

static void make_config(void)
{
	int n = sprintf(config, "{\"version\":1,\"routes\":[");

	for (int i = 0; i < SERVICES; i++)
		n += sprintf(config + n,
			     "%s{\"name\":\"r%d\",\"host\":\"h.example\","
			     "\"path_prefix\":\"/s%d/\","
			     "\"kind\":\"idempotent\",\"timeout_ms\":2000,"
			     "\"target_latency_ms\":300,\"priority\":2,"
			     "\"service\":\"s%d\",\"attempts\":2,"
			     "\"public\":true}",
			     i ? "," : "", i, i, i);
	n += sprintf(config + n, "],\"services\":[");
	for (int i = 0; i < SERVICES; i++)
		n += sprintf(config + n,
			     "%s{\"name\":\"s%d\",\"health_path\":\"/health\","
			     "\"max_conns\":96,\"protocol\":\"h1\","
			     "\"tls\":false}",
			     i ? "," : "", i);
	sprintf(config + n,
		"],\"limits\":{\"max_header_bytes\":16384,"
		"\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
		"\"idle_timeout_ms\":15000},\"tenants\":[]}");
}

static int serve(struct lab_runner *r, struct lab_request *req)
{
	int i = atoi(r->service + 1), entry = 0;
	int64_t now = lab_now(), sent = 0;

	sscanf(req->attempt, "e%d-%ld", &entry, &sent);
	if (r == leaving[i] && left_at[i] && now > left_at[i] + DRAIN_MS) {
		bool counts = sent >= touch_from;

		lab_note("request %s reaches runner %s %ld ms after its "
			 "deregistration was acknowledged%s",
			 req->attempt, r->id, (long)(now - left_at[i]),
			 counts ? ", from a machine in touch" : "");
		if (counts)
			__sync_add_and_fetch(&late, 1);
		else
			__sync_add_and_fetch(&others, 1);
	}
	lab_sleep(20);
	return lab_reply(r, req, 200, "ok", 2);
}

struct client {
	int entry, service;
	int sent, served;
};

static void *run_client(void *arg)
{
	struct client *c = arg;

	/* Those of the quiet entries do not all come at once. */
	if (c->entry != 1)
		lab_sleep(QUIET_MS * c->service / SERVICES +
			  QUIET_MS / 2 / SERVICES * c->entry);
	while (!stop) {
		char headers[256], path[32];
		struct lab_answer a;

		snprintf(path, sizeof(path), "/s%d/x", c->service);
		snprintf(headers, sizeof(headers),
			 "Daisyledge-Attempt-Id: e%d-%ld-s%d-%d\r\n"
			 "Daisyledge-Deadline-Ms: 2000\r\nConnection: close\r\n",
			 c->entry, (long)lab_now(), c->service, c->sent);
		lab_call(c->entry, "GET", "h.example", path, headers, "", 2500,
			 &a);
		c->sent++;
		c->served += a.status == 200;
		lab_answer_free(&a);
		lab_sleep(c->entry == 1 ? BUSY_MS : QUIET_MS);
	}
	return NULL;
}

int main(int argc, char **argv)
{
	static struct client clients[3 * SERVICES];
	int64_t stopped_at;
	int sent = 0, served = 0;
	pthread_t t;

	lab_begin(argc, argv);
	make_config();
	for (int i = 0; i < SERVICES; i++) {
		char id[32], service[32];

		snprintf(service, sizeof(service), "s%d", i);
		snprintf(id, sizeof(id), "stay-%d", i);
		staying[i] = lab_runner(id, service, 1 + i % 3, serve);
		snprintf(id, sizeof(id), "leave-%d", i);
		leaving[i] = lab_runner(id, service, 1 + (i + 1) % 3, serve);
	}
	lab_start_all(config);
	lab_sleep(3000);
	for (int i = 0; i < 3 * SERVICES; i++) {
		clients[i].entry = 1 + i / SERVICES;
		clients[i].service = i % SERVICES;
		pthread_create(&t, NULL, run_client, &clients[i]);
	}
	lab_sleep(2000);

	/* The last heartbeats of the runners that leave. */
	for (int i = 0; i < SERVICES; i++)
		leaving[i]->beating = false;
	lab_sleep(LAST_BEAT_MS);
	for (int i = 0; i < SERVICES; i++) {
		if (!lab_beat(leaving[i], leaving[i]->control,
			      ++leaving[i]->seq, "ready"))
			lab_end(LAB_NOT_RUN, "no heartbeat");
	}
	lab_sleep(300);

	stopped_at = lab_now();
	if (lab_trouble())
		lab_signal("entry", 1, SIGSTOP);
	lab_sleep(200);
	for (int i = 0; i < SERVICES; i++) {
		if (!lab_deregister(leaving[i], 2))
			lab_end(LAB_NOT_RUN, "not deregistered");
		left_at[i] = lab_now();
	}
	lab_sleep((int)(stopped_at + FREEZE_MS - lab_now()));
	if (lab_trouble())
		lab_signal("entry", 1, SIGCONT);
	touch_from = lab_now() + TOUCH_MS + 50;
	lab_sleep((int)(left_at[0] + SERVES_MS - lab_now()));
	stop = 1;
	lab_sleep(600);
	for (int i = 0; i < 3 * SERVICES; i++) {
		sent += clients[i].sent;
		served += clients[i].served;
	}
	lab_note("%d of %d requests were served; %d late ones from machines in "
		 "touch, %d from others",
		 served, sent, late, others);
	if (late)
		lab_end(LAB_BROKEN,
			"DRAIN: %d requests reached runners that had "
			"deregistered over %d ms before",
			late, DRAIN_MS);
	if (served < sent / 2)
		lab_end(LAB_NOT_RUN, "few requests were served");
	lab_end(LAB_HELD, "no request reached a runner that had left");
}
