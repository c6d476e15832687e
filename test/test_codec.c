/*
 * Codecs of the frames between entries and dispatchers, of the JSON API, event
 * streams, settings and signatures: round trips, and rejection of malformed
 * input.
 */
#include <check.h>
#include <errno.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "fake/suite.h"
#include "protocol/api.h"
#include "protocol/evacuation_codec.h"
#include "protocol/pool_codec.h"
#include "protocol/settings.h"
#include "protocol/sign.h"
#include "protocol/sse.h"

#define FUZZ_ROUNDS 20000
#define SEED	    20240521

static uint32_t fuzz_rounds(void)
{
	const char *n = getenv("DL_FUZZ");

	return n ? (uint32_t)strtoul(n, NULL, 10) : FUZZ_ROUNDS;
}

static struct dl_ask sample_ask(void)
{
	struct dl_ask ask = {
		.request = 1ull << 60,
		.entry = 0x7f00000100001bbcull,
		.workspace = DL_STR("almaty-counter"),
		.class = DL_CLASS_BATCH,
		.prompt_tokens = 1000000,
		.output_tokens = 500,
		.prefix = UINT64_MAX,
		.prefix_tokens = 1024,
		.deadline = 90000,
		.tried = 2,
	};

	dl_name_set(&ask.failure_domain, DL_STR("medeu-hall"));
	dl_name_set(&ask.tried_ids[0], DL_STR("127.0.0.1:9000"));
	dl_name_set(&ask.tried_ids[1], DL_STR("127.0.0.2:9000"));
	return ask;
}

static struct dl_answer_frame sample_answer(void)
{
	struct dl_answer_frame f;

	memset(&f, 0, sizeof(f));
	f.answer.request = 7;
	f.answer.entry = 9;
	f.answer.verdict = DL_GRANTED;
	f.answer.grant = UINT64_MAX - 1;
	f.answer.valid_until = 40000;
	f.answer.endpoints = 2;
	f.answer.away = 1;
	f.answer.leaving_ms = 77;
	dl_name_set(&f.answer.endpoint[0], DL_STR("127.0.0.1:9000"));
	dl_name_set(&f.answer.endpoint[1], DL_STR("127.0.0.2:9000"));
	f.answer.share_tokens[0] = 400000;
	f.answer.share_tokens[1] = 1;
	f.spill_count = 1;
	dl_name_set(&f.spill[0], DL_STR("alatau-hall"));
	return f;
}

START_TEST(ask_times_are_relative)
{
	struct dl_ask_frame f = { .ask = sample_ask(),
				  .no_spill = true,
				  .standby = true,
				  .retry_credit = 5 },
			    got;
	struct dl_ask ask = f.ask, back;
	struct dl_packer p;

	dl_ask_pack(&p, &f, 80000);
	ck_assert_int_eq(dl_ask_read(dl_packer_bytes(&p), &got, 500), 0);
	back = got.ask;
	ck_assert(got.no_spill);
	ck_assert(got.standby);
	ck_assert_uint_eq(got.retry_credit, 5);
	ck_assert_int_eq(back.deadline, 10500);
	ck_assert_uint_eq(back.request, ask.request);
	ck_assert_uint_eq(back.prompt_tokens, ask.prompt_tokens);
	ck_assert_uint_eq(back.tried, 2);
	ck_assert(dl_name_eq(&back.tried_ids[1], DL_STR("127.0.0.2:9000")));
	ck_assert(dl_str_eq(back.workspace, ask.workspace));
	ck_assert(dl_name_eq(&back.failure_domain, DL_STR("medeu-hall")));
	dl_packer_close(&p);
}
END_TEST

START_TEST(answer_and_adopt_round_trip)
{
	struct dl_answer_frame f = sample_answer(), back;
	struct dl_adopt_frame adopt = { .grant = f.answer,
					.ask = sample_ask() };
	struct dl_adopt_frame adopt_back;
	struct dl_packer p;

	dl_answer_pack(&p, &f, 30000);
	ck_assert_int_eq(dl_answer_read(dl_packer_bytes(&p), &back, 100), 0);
	ck_assert_int_eq(back.answer.valid_until, 10100);
	ck_assert_uint_eq(back.answer.grant, f.answer.grant);
	ck_assert_uint_eq(back.answer.share_tokens[0], 400000);
	ck_assert_uint_eq(back.answer.away, 1);
	ck_assert_uint_eq(back.answer.leaving_ms, 77);
	ck_assert_uint_eq(back.spill_count, 1);
	dl_packer_close(&p);
	dl_adopt_pack(&p, &adopt, 30000);
	ck_assert_int_eq(dl_adopt_read(dl_packer_bytes(&p), &adopt_back, 30000),
			 0);
	ck_assert_uint_eq(adopt_back.grant.endpoints, 2);
	ck_assert_uint_eq(adopt_back.ask.output_tokens, 500);
	ck_assert(!adopt_back.has_progress);
	dl_packer_close(&p);
}
END_TEST

/* Repacks the first items of an array, as a release that knows fewer sends. */
static void pack_items(struct dl_packer *p, struct dl_str body, uint32_t items)
{
	msgpack_unpacked u;

	msgpack_unpacked_init(&u);
	ck_assert_int_eq(msgpack_unpack_next(&u, body.s, body.n, NULL),
			 MSGPACK_UNPACK_SUCCESS);
	ck_assert_uint_ge(u.data.via.array.size, items);
	dl_packer_open(p, items);
	for (uint32_t i = 0; i < items; i++)
		msgpack_pack_object(&p->pk, u.data.via.array.ptr[i]);
	msgpack_unpacked_destroy(&u);
}

/*
 * The progress of an adopted grant stands at the end of its frame.  An older
 * release sends 28 items without it, and a frame that ends between the two
 * items is malformed.
 */
START_TEST(adopted_grants_carry_their_progress)
{
	struct dl_answer_frame answer = sample_answer();
	struct dl_adopt_frame f = { .grant = answer.answer,
				    .ask = sample_ask(),
				    .has_progress = true,
				    .progress = { 1250, true } };
	struct dl_adopt_frame back;
	struct dl_packer p, older, cut;
	struct dl_str body;

	dl_adopt_pack(&p, &f, 100);
	body = dl_packer_bytes(&p);
	ck_assert_int_eq(dl_adopt_read(body, &back, 100), 0);
	ck_assert(back.has_progress);
	ck_assert(back.progress.began);
	ck_assert_uint_eq(back.progress.held_ms, 1250);
	pack_items(&older, body, 28);
	ck_assert_int_eq(dl_adopt_read(dl_packer_bytes(&older), &back, 100), 0);
	ck_assert(!back.has_progress);
	ck_assert_uint_eq(back.grant.grant, f.grant.grant);
	ck_assert_uint_eq(back.ask.output_tokens, 500);
	pack_items(&cut, body, 29);
	ck_assert_int_eq(dl_adopt_read(dl_packer_bytes(&cut), &back, 100),
			 -EBADMSG);
	dl_packer_close(&p);
	dl_packer_close(&older);
	dl_packer_close(&cut);
}
END_TEST

struct reports_read {
	uint32_t count;
	char all[64];
};

static void on_report(void *arg, struct dl_str reports)
{
	struct reports_read *t = arg;

	t->count++;
	ck_assert_uint_lt(strlen(t->all) + reports.n, sizeof(t->all));
	strncat(t->all, reports.s, reports.n);
}

/* A truncated batch of announcements is rejected without reading any of it. */
START_TEST(report_batch_round_trip)
{
	struct dl_str reports[] = { DL_STR("one"), DL_STR("two"),
				    DL_STR("three") };
	struct reports_read got = { 0 };
	char *body;
	size_t n;

	ck_assert_int_eq(dl_report_batch_pack(reports, 3, &body, &n), 0);
	ck_assert_int_eq(dl_report_batch_read((struct dl_str){ body, n },
					      on_report, &got),
			 0);
	ck_assert_uint_eq(got.count, 3);
	ck_assert_str_eq(got.all, "onetwothree");
	memset(&got, 0, sizeof(got));
	for (size_t cut = 0; cut < n; cut++)
		ck_assert_int_eq(
			dl_report_batch_read((struct dl_str){ body, cut },
					     on_report, &got),
			-EBADMSG);
	ck_assert_uint_eq(got.count, 0);
	free(body);
}
END_TEST

START_TEST(report_release_summary_round_trip)
{
	struct dl_announcement a, a2;
	struct dl_usage u = { .ran = true, .ttft_ms = 12 }, u2;
	struct dl_pool_summary s = { .endpoints = 5, .backlog_ms = 9 }, s2;
	struct dl_name service, domain;
	struct dl_packer p;
	uint64_t grant;

	memset(&a, 0, sizeof(a));
	a.report.incarnation = 3;
	a.report.slots = 4;
	a.report.leaving = true;
	a.report.cold_ms = 3000;
	a.report.leaving_ms = 1234;
	a.born = 1764728000123;
	a.models_count = 1;
	a.events_count = 1;
	a.events[0].prefix = UINT64_MAX;
	dl_name_set(&a.service, DL_STR("s"));
	dl_name_set(&a.report.id, DL_STR("127.0.0.1:9000"));
	dl_name_set(&a.report.failure_domain, DL_STR("alatau-hall"));
	dl_name_set(&a.models[0], DL_STR("match-7b"));
	dl_report_pack(&p, &a);
	ck_assert_int_eq(dl_report_read(dl_packer_bytes(&p), &a2), 0);
	ck_assert(a2.report.leaving && a2.report.slots == 4);
	ck_assert_uint_eq(a2.report.incarnation, 3);
	ck_assert(dl_name_eq(&a2.report.failure_domain, DL_STR("alatau-hall")));
	ck_assert_uint_eq(a2.born, 1764728000123);
	ck_assert_uint_eq(a2.report.cold_ms, 3000);
	ck_assert_uint_eq(a2.report.leaving_ms, 1234);
	ck_assert(dl_name_eq(&a2.models[0], DL_STR("match-7b")));
	ck_assert_uint_eq(a2.events[0].prefix, UINT64_MAX);
	dl_packer_close(&p);
	dl_name_set(&u.at_fault, DL_STR("127.0.0.1:9001"));
	dl_name_set(&u.backoff_endpoint, DL_STR("127.0.0.1:9002"));
	u.backoff_ms = 3000;
	dl_release_pack(&p, DL_STR("s"), 99, &u);
	ck_assert_int_eq(
		dl_release_read(dl_packer_bytes(&p), &service, &grant, &u2), 0);
	ck_assert(grant == 99 && u2.ran && !u2.failed && u2.ttft_ms == 12);
	ck_assert(dl_name_eq(&u2.at_fault, DL_STR("127.0.0.1:9001")));
	ck_assert(dl_name_eq(&u2.backoff_endpoint, DL_STR("127.0.0.1:9002")));
	ck_assert_uint_eq(u2.backoff_ms, 3000);
	dl_packer_close(&p);
	dl_summary_pack(&p, DL_STR("s"), DL_STR("d"), &s);
	ck_assert_int_eq(dl_summary_read(dl_packer_bytes(&p), &service, &domain,
					 &s2),
			 0);
	ck_assert(s2.endpoints == 5 && s2.backlog_ms == 9);
	dl_packer_close(&p);
}
END_TEST

/* Entries of an older build end the release before the last two fields. */
START_TEST(release_of_an_older_entry_is_read)
{
	struct dl_usage u = { .ran = true, .failed = true, .ttft_ms = 12 }, u2;
	struct dl_name service;
	struct dl_packer p;
	uint64_t grant;

	dl_packer_open(&p, 12);
	dl_pack_str(&p, DL_STR("s"));
	dl_pack_u64(&p, 99);
	dl_pack_bool(&p, u.ran);
	dl_pack_bool(&p, u.failed);
	dl_pack_bool(&p, true); /* unreachable */
	for (int i = 0; i < 4; i++)
		dl_pack_u64(&p, 7);
	dl_pack_str(&p, DL_STR(""));
	dl_pack_str(&p, DL_STR(""));
	dl_pack_u64(&p, 5);
	memset(&u2, 0xff, sizeof(u2));
	ck_assert_int_eq(
		dl_release_read(dl_packer_bytes(&p), &service, &grant, &u2), 0);
	ck_assert(u2.failed && u2.unreachable && u2.backoff_ms == 5);
	ck_assert(!u2.unjudged && !u2.silent);
	dl_packer_close(&p);
	u.unjudged = true;
	u.silent = true;
	dl_release_pack(&p, DL_STR("s"), 99, &u);
	ck_assert_int_eq(
		dl_release_read(dl_packer_bytes(&p), &service, &grant, &u2), 0);
	ck_assert(u2.unjudged && u2.silent);
	dl_packer_close(&p);
}
END_TEST

START_TEST(endpoint_faults_round_trip)
{
	struct dl_fault_frame in = { .start = UINT64_MAX, .attempts = 3 }, out;
	struct dl_packer p;
	struct dl_str body;

	dl_name_set(&in.service, DL_STR("s"));
	dl_name_set(&in.endpoint, DL_STR("127.0.0.1:9000"));
	dl_fault_pack(&p, &in);
	body = dl_packer_bytes(&p);
	ck_assert_int_eq(dl_fault_read(body, &out), 0);
	ck_assert(dl_name_eq(&out.service, DL_STR("s")));
	ck_assert(dl_name_eq(&out.endpoint, DL_STR("127.0.0.1:9000")));
	ck_assert(out.start == UINT64_MAX && out.attempts == 3);
	for (size_t n = 0; n < body.n; n++)
		ck_assert_int_eq(dl_fault_read((struct dl_str){ body.s, n },
					       &out),
				 -EBADMSG);
	dl_packer_close(&p);
}
END_TEST

START_TEST(retry_credit_round_trip)
{
	struct dl_retry_request_frame asked = { .id = 7, .credit = 250 };
	struct dl_retry_reply_frame reply = { 7, true, UINT64_MAX };
	struct dl_retry_request_frame asked2;
	struct dl_retry_reply_frame reply2;
	struct dl_packer p;

	dl_name_set(&asked.service, DL_STR("s"));
	dl_retry_request_pack(&p, &asked);
	ck_assert_int_eq(dl_retry_request_read(dl_packer_bytes(&p), &asked2),
			 0);
	ck_assert(asked2.id == 7 && asked2.credit == 250);
	dl_packer_close(&p);
	dl_retry_reply_pack(&p, &reply);
	ck_assert_int_eq(dl_retry_reply_read(dl_packer_bytes(&p), &reply2), 0);
	ck_assert(reply2.id == 7 && reply2.allowed &&
		  reply2.left == UINT64_MAX);
	dl_packer_close(&p);
}
END_TEST

static int read_evacuations(struct dl_str body, struct dl_evacuations *out)
{
	struct dl_reader r;
	bool bad;

	dl_reader_open(&r, body);
	dl_evacuations_read(&r, out);
	bad = r.bad;
	dl_reader_close(&r);
	return bad ? -EBADMSG : 0;
}

START_TEST(evacuations_round_trip)
{
	struct dl_evacuations in = { .revision = 7 }, out;
	struct dl_packer p;
	struct dl_str body;

	dl_evacuations_set(&in, DL_STR("north"), true);
	dl_evacuations_set(&in, DL_STR("south"), true);
	dl_packer_open(&p, DL_EVACUATIONS_ITEMS);
	dl_evacuations_pack(&p, &in);
	body = dl_packer_bytes(&p);
	ck_assert_int_eq(read_evacuations(body, &out), 0);
	ck_assert_uint_eq(out.revision, 9);
	ck_assert_uint_eq(out.count, 2);
	ck_assert(dl_name_eq(&out.domain[1], DL_STR("south")));
	for (size_t n = 0; n < body.n; n++)
		ck_assert_int_eq(read_evacuations((struct dl_str){ body.s, n },
						  &out),
				 -EBADMSG);
	dl_packer_close(&p);
}
END_TEST

/*
 * Decodes a damaged body as each kind of frame; no decoder may crash or read
 * past its end.
 */
static void read_all(struct dl_str body)
{
	struct dl_announcement report;
	struct dl_answer_frame answer;
	struct dl_pool_summary summary;
	struct dl_ask_frame asked;
	struct dl_name service, domain;
	struct dl_adopt_frame adopt;
	struct dl_usage usage;
	struct dl_evacuations evacuations;
	struct dl_fault_frame fault;
	struct dl_retry_request_frame repeat;
	struct dl_retry_reply_frame reply;
	uint64_t number;

	dl_fault_read(body, &fault);
	dl_retry_request_read(body, &repeat);
	dl_retry_reply_read(body, &reply);
	dl_ask_read(body, &asked, 0);
	dl_answer_read(body, &answer, 0);
	dl_release_read(body, &service, &number, &usage);
	dl_id_read(body, &service, &number);
	dl_report_read(body, &report);
	dl_summary_read(body, &service, &domain, &summary);
	dl_adopt_read(body, &adopt, 0);
	read_evacuations(body, &evacuations);
}

/*
 * Alters one to three bytes of a copy and may truncate it. buf has exactly the
 * size of the body, so that sanitizers detect reads past its end.
 */
static struct dl_str damage(GRand *rnd, struct dl_str good, char *buf)
{
	size_t n = good.n;
	int hits = g_rand_int_range(rnd, 1, 4);

	memcpy(buf, good.s, good.n);
	while (hits--)
		buf[g_rand_int_range(rnd, 0, (gint32)n)] =
			(char)g_rand_int_range(rnd, 0, 256);
	if (g_rand_boolean(rnd))
		n = (size_t)g_rand_int_range(rnd, 0, (gint32)n + 1);
	return (struct dl_str){ buf, n };
}

START_TEST(damaged_frames)
{
	struct dl_answer_frame f = sample_answer();
	struct dl_ask_frame asked = { .ask = sample_ask() };
	struct dl_adopt_frame adopt = { .grant = f.answer,
					.ask = sample_ask(),
					.has_progress = true };
	GRand *rnd = g_rand_new_with_seed(SEED);
	struct dl_announcement a = { .events_count = 2, .models_count = 1 };
	struct dl_evacuations evacuations = { 0 };
	struct dl_packer p[5];

	dl_evacuations_set(&evacuations, DL_STR("north"), true);
	dl_packer_open(&p[4], DL_EVACUATIONS_ITEMS);
	dl_evacuations_pack(&p[4], &evacuations);
	dl_report_pack(&p[3], &a);
	dl_ask_pack(&p[0], &asked, 0);
	dl_answer_pack(&p[1], &f, 0);
	dl_adopt_pack(&p[2], &adopt, 0);
	for (uint32_t i = 0; i < fuzz_rounds(); i++) {
		struct dl_str good = dl_packer_bytes(&p[i % 5]);
		char *buf = malloc(good.n);

		read_all(damage(rnd, good, buf));
		free(buf);
	}
	for (int i = 0; i < 5; i++)
		dl_packer_close(&p[i]);
	g_rand_free(rnd);
}
END_TEST

struct body_case {
	const char *body;
	bool ok;
};

static const struct body_case completion_cases[] = {
	{ "{\"model\":\"m\",\"prompt\":\"p\"}", true },
	{ "{\"model\":\"m\",\"prompt\":\"p\",\"stream\":true}", true },
	{ "{\"model\":\"m\",\"prompt\":\"p\",\"max_tokens\":null}", true },
	{ "{\"model\":\"m\",\"prompt\":\"p\",\"temperature\":0.5}", true },
	{ "{\"model\":\"m\",\"prompt\":\"\"}", false },
	{ "{\"model\":\"m\",\"prompt\":[\"p\"]}", false },
	{ "{\"model\":7,\"prompt\":\"p\"}", false },
	{ "{\"prompt\":\"p\"}", false },
	{ "{\"model\":\"m\",\"prompt\":\"p\",\"max_tokens\":0}", false },
	{ "{\"model\":\"m\",\"prompt\":\"p\",\"max_tokens\":1e3}", false },
	{ "{\"model\":\"m\",\"prompt\":\"p\",\"stream\":1}", false },
	{ "{\"model\":\"m\",\"prompt\":\"a\",\"prompt\":\"b\"}", false },
	{ "{\"model\":\"m\",\"prompt\":\"a\\u0000b\"}", false },
	{ "{\"model\":\"m\",\"prompt\":\"p\"", false },
	{ "[]", false },
	{ "", false },
};

START_TEST(completions)
{
	const struct body_case *c = &completion_cases[_i];
	struct dl_completion out;
	struct dl_err err = { 0 };
	int rc = dl_completion_parse(dl_str_of(c->body), &out, &err);

	ck_assert_msg((rc == 0) == c->ok, "%s: %s", c->body, err.text);
	if (rc == 0)
		dl_completion_free(&out);
	else
		ck_assert_uint_gt(strlen(err.text), 0);
}
END_TEST

/* The exact body that an endpoint is sent. */
START_TEST(endpoint_body)
{
	struct dl_answer_frame f = sample_answer();
	struct dl_completion c;
	struct dl_err err;
	char *first;

	ck_assert_int_eq(dl_completion_parse(DL_STR("{\"model\":\"m\","
						    "\"prompt\":\"p\","
						    "\"group\":7,"
						    "\"top_p\":1}"),
					     &c, &err),
			 0);
	ck_assert(dl_str_eq(dl_completion_body_tail(&c),
			    DL_STR("\"model\":\"m\",\"prompt\":\"p\","
				   "\"top_p\":1}")));
	f.answer.priority = 2;
	first = dl_completion_body_head(&c, &f.answer);
	ck_assert_str_eq(first, "{\"stream\":true,\"max_tokens\":256,"
				"\"priority\":2,"
				"\"group\":[{\"address\":\"127.0.0.2:9000\","
				"\"tokens\":1}],");
	free(first);
	f.answer.endpoints = 1;
	first = dl_completion_body_head(&c, &f.answer);
	ck_assert_ptr_null(strstr(first, "group"));
	free(first);
	dl_completion_free(&c);
}
END_TEST

static const struct body_case announcement_cases[] = {
	{ "{\"service\":\"s\",\"address\":\"127.0.0.1:1\",\"slots\":1}", true },
	{ "{\"service\":\"s\",\"address\":\"127.0.0.1:1\",\"slots\":0}",
	  false },
	{ "{\"service\":\"s\",\"address\":\"localhost:1\",\"slots\":1}",
	  false },
	{ "{\"service\":\"\",\"address\":\"127.0.0.1:1\",\"slots\":1}", false },
	{ "{\"service\":\"s\",\"address\":\"127.0.0.1:1\",\"slots\":-1}",
	  false },
	{ "{\"address\":\"127.0.0.1:1\",\"slots\":1}", false },
	{ "7", false },
};

START_TEST(announcements)
{
	const struct body_case *c = &announcement_cases[_i];
	struct dl_announcement out;
	struct dl_err err;

	ck_assert_msg((dl_announcement_parse(dl_str_of(c->body), &out, &err) ==
		       0) == c->ok,
		      "%s", c->body);
}
END_TEST

#define SSE_EVENTS 4

/* A stream in each end of line, and its events. */
static const char *const sse_streams[] = {
	": hello\n\ndata: {\"a\":1}\n\n"
	"id: 7\nevent: x\ndata: y\n\ndata: [DONE]\n\n",
	": hello\r\n\r\ndata: {\"a\":1}\r\n\r\n"
	"id: 7\r\nevent: x\r\ndata: y\r\n\r\ndata: [DONE]\r\n\r\n",
	": hello\r\rdata: {\"a\":1}\r\r"
	"id: 7\revent: x\rdata: y\r\rdata: [DONE]\r\r",
	": hello\r\rdata: {\"a\":1}\n\r\n"
	"id: 7\nevent: x\r\ndata: y\r\n\r\ndata: [DONE]\n\n",
};

static const struct {
	const char *type, *data;
	uint64_t id;
} sse_events[SSE_EVENTS] = {
	{ "", "", 0 },
	{ "", "{\"a\":1}", 0 },
	{ "x", "y", 7 },
	{ "", "[DONE]", 0 },
};

START_TEST(events_in_any_fragments)
{
	struct dl_str stream = dl_str_of(sse_streams[_i]);

	for (size_t cut = 1; cut <= stream.n; cut++) {
		GString *forwarded = g_string_new(NULL);
		struct dl_sse_event event;
		struct dl_sse sse;
		int events = 0;

		dl_sse_open(&sse);
		for (size_t at = 0; at < stream.n; at += cut) {
			ck_assert_int_eq(
				dl_sse_feed(&sse,
					    (struct dl_str){
						    stream.s + at,
						    MIN(cut, stream.n - at) }),
				0);
			while (dl_sse_next(&sse, &event)) {
				ck_assert_int_lt(events, SSE_EVENTS);
				ck_assert(dl_str_eq(
					event.type,
					dl_str_of(sse_events[events].type)));
				ck_assert(dl_str_eq(
					event.data,
					dl_str_of(sse_events[events].data)));
				ck_assert_uint_eq(event.id,
						  sse_events[events].id);
				ck_assert(event.has_id ==
					  (sse_events[events].id != 0));
				ck_assert(event.is_comment == (events == 0));
				g_string_append_len(forwarded, event.bytes.s,
						    (gssize)event.bytes.n);
				events++;
			}
		}
		ck_assert_int_eq(events, SSE_EVENTS);
		ck_assert_uint_eq(dl_sse_unfinished(&sse), 0);
		ck_assert_uint_eq(dl_sse_rest(&sse).n, 0);
		ck_assert_str_eq(forwarded->str, stream.s);
		g_string_free(forwarded, TRUE);
		dl_sse_close(&sse);
	}
}
END_TEST

/* Each event is returned with the byte that ends it, and not before. */
START_TEST(event_is_not_held_back)
{
	struct dl_str stream = dl_str_of(sse_streams[_i]);
	struct dl_sse_event event;
	struct dl_sse sse;
	size_t whole = 0;

	dl_sse_open(&sse);
	for (size_t at = 0; at < stream.n; at++) {
		ck_assert_int_eq(
			dl_sse_feed(&sse, (struct dl_str){ stream.s + at, 1 }),
			0);
		if (!dl_sse_next(&sse, &event))
			continue;
		whole += event.bytes.n;
		ck_assert_uint_eq(whole, at + 1);
	}
	ck_assert_uint_eq(whole, stream.n);
	dl_sse_close(&sse);
}
END_TEST

START_TEST(rest_of_a_stream_that_is_no_event)
{
	static const struct {
		const char *stream;
		size_t unfinished;
	} cases[] = {
		{ "", 0 },
		{ "data: a\n\n", 0 },
		{ "data: a\n\n\n", 0 },
		{ "data: a\r\n\r\n\r\n", 0 },
		{ "data: a\n\n: end\n", 0 },
		{ "data: a\n\n: en", 4 },
		{ "data: a\n\nd", 1 },
		{ "data: a\n\ndata: b\n", 8 },
		{ "data: a\n\n\ndata: b", 8 },
		{ "data: a\r\n\r\ndata: b\r\n", 9 },
		{ "data: a\n\nid: 4\n", 6 },
		{ "data: a", 7 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct dl_sse_event event;
		struct dl_sse sse;

		dl_sse_open(&sse);
		ck_assert_int_eq(dl_sse_feed(&sse, dl_str_of(cases[i].stream)),
				 0);
		while (dl_sse_next(&sse, &event))
			;
		ck_assert_msg(dl_sse_unfinished(&sse) == cases[i].unfinished,
			      "%zu: %zu", i, dl_sse_unfinished(&sse));
		dl_sse_close(&sse);
	}
}
END_TEST

START_TEST(event_size_is_bounded)
{
	static char block[65536];
	struct dl_sse sse;
	int rc = 0;

	memset(block, 'x', sizeof(block));
	dl_sse_open(&sse);
	for (int i = 0; i < 17 && rc == 0; i++)
		rc = dl_sse_feed(&sse, (struct dl_str){ block, sizeof(block) });
	ck_assert_int_eq(rc, -EMSGSIZE);
	dl_sse_close(&sse);
}
END_TEST

struct settings_case {
	const char *text;
	const char *fault; /* NULL: none */
};

static const struct settings_case settings_cases[] = {
	{ "{\"name\":\"a\",\"failure_domain\":\"d\",\"peer\":\"127.0.0.1:1\"}",
	  NULL },
	{ "{\"name\":\"a\",\"failure_domain\":\"d\"}", "peer is missing" },
	{ "{\"name\":\"\",\"failure_domain\":\"d\",\"peer\":\"127.0.0.1:1\"}",
	  "bad value of name" },
	{ "{\"name\":\"a\",\"failure_domain\":\"d\",\"peer\":\"127.0.0.1:1\","
	  "\"pear\":1}",
	  "unknown key pear" },
	{ "{\"name\":\"a\",\"failure_domain\":\"d\",\"peer\":\"127.0.0.1:1\","
	  "\"log_level\":\"loud\"}",
	  "bad value of log_level" },
	{ "{\"name\":\"a\",\"failure_domain\":\"d\",\"peer\":\"127.0.0.1:1\","
	  "\"failure_domains\":[\"d\",\"e\"]}",
	  NULL },
	{ "{\"name\":\"a\",\"failure_domain\":\"d\",\"peer\":\"127.0.0.1:1\","
	  "\"failure_domains\":[\"d\",7]}",
	  "bad value of failure_domains" },
	{ "{\"name\":\"a\",\"failure_domain\":\"d\",\"peer\":\"127.0.0.1:1\","
	  "\"failure_domains\":\"d\"}",
	  "bad value of failure_domains" },
	{ "[]", "not an object" },
};

START_TEST(settings)
{
	const struct settings_case *c = &settings_cases[_i];
	struct dl_settings out;
	struct dl_err err = { 0 };
	int rc = dl_settings_parse(dl_str_of(c->text), &out, &err);

	ck_assert_int_eq(rc, c->fault ? -EINVAL : 0);
	if (c->fault)
		ck_assert_str_eq(err.text, c->fault);
}
END_TEST

/* Pools span a region if one is set, and a failure domain otherwise. */
START_TEST(pool_domain_is_region_or_failure_domain)
{
	struct dl_settings out;
	struct dl_err err = { 0 };

	ck_assert_int_eq(dl_settings_parse(DL_STR("{\"name\":\"a\","
						  "\"failure_domain\":\"d\","
						  "\"peer\":\"127.0.0.1:1\"}"),
					   &out, &err),
			 0);
	ck_assert_str_eq(dl_settings_pool_domain(&out)->s, "d");
	ck_assert_int_eq(dl_settings_parse(DL_STR("{\"name\":\"a\","
						  "\"failure_domain\":\"d\","
						  "\"region\":\"r\","
						  "\"peer\":\"127.0.0.1:1\"}"),
					   &out, &err),
			 0);
	ck_assert_str_eq(dl_settings_pool_domain(&out)->s, "r");
	ck_assert_str_eq(out.failure_domain.s, "d");
}
END_TEST

static struct dl_key key_of(const char *secret)
{
	struct dl_key key = { .n = (uint8_t)strlen(secret) };

	memcpy(key.s, secret, key.n);
	return key;
}

/*
 * A signature is accepted only for the same bytes, by a valid key and within
 * the allowed age.
 */
START_TEST(signatures)
{
	struct dl_signed what = { DL_STR("POST"), DL_STR("/v1/config"),
				  DL_STR("{}") };
	struct dl_signed other = { DL_STR("POST"), DL_STR("/v1/config"),
				   DL_STR("{ }") };
	struct dl_keys keys = { .count = 2 };
	struct dl_key unknown = key_of("another secret of length");
	char out[DL_SIGNATURE_MAX];

	keys.key[0] = key_of("the old secret, still valid");
	keys.key[1] = key_of("the new secret, for tomorrow");
	for (int i = 0; i < 2; i++) {
		ck_assert_int_eq(dl_sign(&keys.key[i], &what, 1000000, out), 0);
		ck_assert_int_eq(dl_sign_check(&keys, &what, dl_str_of(out),
					       1000500),
				 0);
		ck_assert_int_eq(dl_sign_check(&keys, &other, dl_str_of(out),
					       1000500),
				 -EACCES);
		ck_assert_int_eq(dl_sign_check(&keys, &what, dl_str_of(out),
					       1200000),
				 -EACCES);
	}
	ck_assert_int_eq(dl_sign(&unknown, &what, 1000000, out), 0);
	ck_assert_int_eq(dl_sign_check(&keys, &what, dl_str_of(out), 1000000),
			 -EACCES);
	ck_assert_int_eq(dl_sign_check(&keys, &what, DL_STR(""), 1000000),
			 -EACCES);
}
END_TEST

#define CASES(table) (int)(sizeof(table) / sizeof((table)[0]))

int main(void)
{
	Suite *s = suite_create("codec");
	TCase *t = tcase_create("codec");

	suite_add_tcase(s, t);
	tcase_set_timeout(t, 120);
	tcase_add_test(t, ask_times_are_relative);
	tcase_add_test(t, answer_and_adopt_round_trip);
	tcase_add_test(t, adopted_grants_carry_their_progress);
	tcase_add_test(t, report_batch_round_trip);
	tcase_add_test(t, report_release_summary_round_trip);
	tcase_add_test(t, evacuations_round_trip);
	tcase_add_test(t, retry_credit_round_trip);
	tcase_add_test(t, release_of_an_older_entry_is_read);
	tcase_add_test(t, endpoint_faults_round_trip);
	tcase_add_test(t, damaged_frames);
	tcase_add_loop_test(t, completions, 0, CASES(completion_cases));
	tcase_add_test(t, endpoint_body);
	tcase_add_loop_test(t, announcements, 0, CASES(announcement_cases));
	tcase_add_loop_test(t, events_in_any_fragments, 0,
			    G_N_ELEMENTS(sse_streams));
	tcase_add_loop_test(t, event_is_not_held_back, 0,
			    G_N_ELEMENTS(sse_streams));
	tcase_add_test(t, rest_of_a_stream_that_is_no_event);
	tcase_add_test(t, event_size_is_bounded);
	tcase_add_test(t, signatures);
	tcase_add_loop_test(t, settings, 0, CASES(settings_cases));
	tcase_add_test(t, pool_domain_is_region_or_failure_domain);
	return suite_run(s);
}
