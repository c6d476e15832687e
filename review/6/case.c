/*
 * An entry is stopped as planned while clients still read their answers.
 *
 * Clients that read slowly get an answer of 8.4 MB, which takes them under 8 s.
 * The entry gets SIGTERM just after the answers have begun, and has 8 s.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "lab-2.h"

#define BODY_N	   8380000
#define CLIENTS	   4
#define FRONT_PORT 8227
#define STEP_MS	   20
#define STEP_N	   30000 /* bytes read each step: 1.1 MB a second */
#define DEADLINE_MS 15000

static const char config[] =
	"{\"version\":1,\"routes\":[{\"name\":\"look\",\"host\":\"h.example\","
	"\"path_prefix\":\"/look/\",\"kind\":\"idempotent\","
	"\"timeout_ms\":15000,\"target_latency_ms\":2000,\"priority\":1,"
	"\"service\":\"desk\",\"attempts\":2,\"public\":true}],"
	"\"services\":[{\"name\":\"desk\",\"health_path\":\"/health\","
	"\"max_conns\":96,\"protocol\":\"h1\",\"tls\":false}],"
	"\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
	"\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
	"\"tenants\":[]}";

static char *body;

static int serve(struct lab_runner *r, struct lab_request *req)
{
	int ok = lab_reply(r, req, 200, body, BODY_N);

	lab_note("runner %s has sent the whole answer to %s", r->id,
		 req->attempt);
	return ok;
}

struct client {
	int n;
	size_t got;
	int64_t begun_at, ended_at;
	const char *end;
};

static void *run_client(void *arg)
{
	struct sockaddr_in sin = { .sin_family = AF_INET,
				   .sin_port = htons(FRONT_PORT) };
	struct client *c = arg;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), size = 32768;
	char head[512], *buf = malloc(STEP_N);
	size_t head_n = 0;
	ssize_t n;

	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
	inet_pton(AF_INET, lab_entry_ip(1), &sin.sin_addr);
	snprintf(head, sizeof(head),
		 "GET /look/x HTTP/1.1\r\nHost: h.example\r\n"
		 "Daisyledge-Attempt-Id: slow%d\r\n"
		 "Daisyledge-Deadline-Ms: %d\r\n\r\n",
		 c->n, DEADLINE_MS);
	lab_note("client %d sends slow%d", c->n, c->n);
	if (connect(fd, (void *)&sin, sizeof(sin)) ||
	    !lab_write(fd, head, strlen(head))) {
		c->end = "not sent";
		return NULL;
	}
	while ((n = recv(fd, buf, STEP_N, 0)) > 0) {
		if (!c->begun_at) {
			char *at = memmem(buf, (size_t)n, "\r\n\r\n", 4);

			head_n = at ? (size_t)(at - buf) + 4 : 0;
			c->begun_at = lab_now();
			lab_note("client %d: %.15s", c->n, buf);
		}
		c->got += (size_t)n;
		if (c->got >= head_n + BODY_N)
			break;
		lab_sleep(STEP_MS);
	}
	c->end = n > 0 ? "whole" : n == 0 ? "closed" : strerror(errno);
	c->got -= head_n;
	c->ended_at = lab_now();
	lab_note("client %d: %zu of %d bytes, %s", c->n, c->got, BODY_N,
		 c->end);
	close(fd);
	return NULL;
}

int main(int argc, char **argv)
{
	static struct client clients[CLIENTS];
	pthread_t t[CLIENTS];
	int cut = 0, unserved = 0;
	int64_t term_at, last_at = 0;

	lab_drain_ms = 2500;
	lab_begin(argc, argv);
	body = malloc(BODY_N);
	memset(body, 'x', BODY_N);
	lab_runner("desk-1", "desk", 1, serve);
	lab_runner("desk-2", "desk", 2, serve);
	lab_start_all(config);
	lab_sleep(3500);
	for (int i = 0; i < CLIENTS; i++) {
		clients[i].n = i + 1;
		pthread_create(&t[i], NULL, run_client, &clients[i]);
	}
	lab_sleep(400);
	term_at = lab_now();
	if (lab_trouble())
		lab_signal("entry", 1, SIGTERM);
	for (int i = 0; i < CLIENTS; i++)
		pthread_join(t[i], NULL);
	for (int i = 0; i < CLIENTS; i++)
		last_at = clients[i].ended_at > last_at ? clients[i].ended_at :
							  last_at;
	lab_note("the last client was done %.1f s after the moment of the "
		 "SIGTERM; grace_s is 8",
		 (double)(last_at - term_at) / 1000);
	for (int i = 0; i < CLIENTS; i++) {
		struct client *c = &clients[i];

		if (!c->begun_at || c->begun_at > term_at) {
			unserved++;
			continue;
		}
		if (c->got >= BODY_N)
			continue;
		cut++;
		lab_note("client %d: the connection ended %.1f s after the "
			 "SIGTERM without a complete answer",
			 c->n, (double)(c->ended_at - term_at) / 1000);
	}
	if (cut)
		lab_end(LAB_BROKEN,
			"LOST: %d of %d answers were cut off by a planned stop",
			cut, CLIENTS);
	if (unserved)
		lab_end(LAB_NOT_RUN, "%d answers did not begin in time",
			unserved);
	lab_end(LAB_HELD, "all answers were complete");
}
