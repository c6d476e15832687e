/*
 * A runner breaks off a long answer to an idempotent request.
 *
 * An answer of 12 MB is broken off by its runner after 9 MB, once; the request
 * runs again at the other runner. Each run's answer says on every line which
 * run made it, so that the client sees what it got.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "lab-2.h"

#define LINE	 32
#define BODY_N	 (12u << 20)
#define BROKEN_N (9u << 20)

static const char config[] =
	"{\"version\":1,\"routes\":[{\"name\":\"look\",\"host\":\"h.example\","
	"\"path_prefix\":\"/look/\",\"kind\":\"idempotent\","
	"\"timeout_ms\":10000,\"target_latency_ms\":2000,\"priority\":1,"
	"\"service\":\"desk\",\"attempts\":2,\"public\":true}],"
	"\"services\":[{\"name\":\"desk\",\"health_path\":\"/health\","
	"\"max_conns\":96,\"protocol\":\"h1\",\"tls\":false}],"
	"\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
	"\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
	"\"tenants\":[]}";

static volatile int broken;

/* The answer of a run: lines with its stamp and their place. */
static char *make_body(const char *stamp)
{
	char *body = malloc(BODY_N + 1);

	for (size_t i = 0; i < BODY_N; i += LINE)
		snprintf(body + i, LINE + 1, "%-20.20s %10zu\n", stamp, i);
	return body;
}

static int serve(struct lab_runner *r, struct lab_request *req)
{
	bool breaks = lab_trouble() && strncmp(req->attempt, "big", 3) == 0 &&
		      __sync_bool_compare_and_swap(&broken, 0, 1);
	char head[512], stamp[64];
	char *body;

	if (strncmp(req->attempt, "big", 3) != 0)
		return lab_reply(r, req, 200, "ok", 2);
	snprintf(stamp, sizeof(stamp), "%s.%d", r->id, req->nth);
	body = make_body(stamp);
	snprintf(head, sizeof(head),
		 "HTTP/1.1 200 OK\r\nDaisyledge-Attempt-Id: %s\r\n"
		 "Daisyledge-Response-Stamp: %s\r\n"
		 "Content-Length: %u\r\n\r\n",
		 req->attempt, stamp, BODY_N);
	lab_write(req->fd, head, strlen(head));
	lab_write(req->fd, body, breaks ? BROKEN_N : BODY_N);
	lab_note("runner %s: run %s of %s %s", r->id, stamp, req->attempt,
		 breaks ? "is broken off after 9 MB of 12" : "is answered");
	free(body);
	return !breaks;
}

/* Says what a client got; true if it must not have got it. */
static bool judge(const struct lab_answer *a)
{
	char stamp[64] = "none";
	size_t other = 0;
	char *body;

	lab_header(a->head, "daisyledge-response-stamp", stamp, sizeof(stamp));
	lab_note("the client got status %d, stamp %s, %zu bytes, %zu more "
		 "after the answer; the answer ended: %s",
		 a->status, stamp, a->body_n, a->extra, a->end);
	if (a->status / 100 != 2 || !a->whole)
		return false;
	body = make_body(stamp);
	if (a->body_n == BODY_N)
		while (other < BODY_N && a->body[other] == body[other])
			other++;
	free(body);
	if (other < BODY_N)
		lab_note("a success whose body differs from that of run %s "
			 "from byte %zu: \"%.31s\"",
			 stamp, other / LINE * LINE,
			 a->body_n ? a->body + other / LINE * LINE : "");
	return other < BODY_N || a->extra;
}

int main(int argc, char **argv)
{
	struct lab_answer a;
	bool bad = false;
	int good = 0;

	lab_begin(argc, argv);
	lab_runner("desk-1", "desk", 1, serve);
	lab_runner("desk-2", "desk", 2, serve);
	lab_start_all(config);
	lab_sleep(2500);
	for (int i = 0; i < 3; i++) {
		char headers[256];

		snprintf(headers, sizeof(headers),
			 "Daisyledge-Attempt-Id: big%d\r\n"
			 "Daisyledge-Deadline-Ms: 9000\r\n",
			 i);
		lab_note("the client sends big%d", i);
		lab_call(1, "GET", "h.example", "/look/x", headers, "", 9500,
			 &a);
		bad |= judge(&a);
		good += a.status == 200 && a.whole;
		lab_answer_free(&a);
	}
	if (bad)
		lab_end(LAB_BROKEN, "MIXED: a success with a body that is not "
				    "the runner's whole body");
	if (!good)
		lab_end(LAB_NOT_RUN, "no request was answered");
	lab_end(LAB_HELD, "no answer was mixed");
}
