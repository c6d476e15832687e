/* Encoding of the frames between entries and dispatchers. */
#include "protocol/pool_codec.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "protocol/deflate.h"

/* Largest inflated size of a batch of announcements. */
#define BATCH_BYTES_MAX ((size_t)4 << 20)
#define ASK_ITEMS	20
#define ANSWER_ITEMS	16
#define RELEASE_ITEMS	14
#define REPORT_ITEMS	23
#define SUMMARY_ITEMS	9
#define LIMIT_ITEMS	4
#define FAULT_ITEMS	4
#define RETRY_ITEMS	3
#define ADOPT_ITEMS	28 /* without the progress */
#define PROGRESS_ITEMS	2
/* Encodes an unset time in place of the time that remains. */
#define UNSET_MS INT64_MIN

static int close_reader(struct dl_reader *r)
{
	bool bad = r->bad;

	dl_reader_close(r);
	return bad ? -EBADMSG : 0;
}

static void pack_names(struct dl_packer *p, const struct dl_name *names,
		       uint32_t count)
{
	msgpack_pack_array(&p->pk, count);
	for (uint32_t i = 0; i < count; i++)
		dl_pack_str(p, dl_name_str(&names[i]));
}

/* Reads a nested array of at most max names; returns their number. */
static uint32_t read_names(struct dl_reader *r, struct dl_name *out,
			   uint32_t max)
{
	const msgpack_object *o;

	if (r->bad || r->remaining == 0 ||
	    r->next->type != MSGPACK_OBJECT_ARRAY ||
	    r->next->via.array.size > max) {
		r->bad = true;
		return 0;
	}
	o = r->next;
	r->next++;
	r->remaining--;
	for (uint32_t i = 0; i < o->via.array.size; i++) {
		const msgpack_object *s = &o->via.array.ptr[i];

		if (s->type != MSGPACK_OBJECT_BIN ||
		    !dl_name_set(&out[i], (struct dl_str){ s->via.bin.ptr,
							   s->via.bin.size })) {
			r->bad = true;
			return 0;
		}
	}
	return o->via.array.size;
}

static void pack_ask(struct dl_packer *p, const struct dl_ask *ask, int64_t now)
{
	dl_pack_u64(p, ask->request);
	dl_pack_u64(p, ask->entry);
	dl_pack_str(p, ask->workspace);
	dl_pack_str(p, dl_name_str(&ask->failure_domain));
	dl_pack_u64(p, ask->class);
	dl_pack_u64(p, ask->prompt_tokens);
	dl_pack_u64(p, ask->output_tokens);
	dl_pack_u64(p, ask->prefix);
	dl_pack_u64(p, ask->prefix_tokens);
	dl_pack_i64(p, ask->deadline - now);
	dl_pack_u64(p, ask->target_ms);
	dl_pack_u64(p, ask->gap_ms);
	dl_pack_i64(p, ask->first_event_deadline ?
			       ask->first_event_deadline - now :
			       UNSET_MS);
	pack_names(p, ask->tried_ids, ask->tried);
}

static void read_ask(struct dl_reader *r, struct dl_ask *out, int64_t now)
{
	uint64_t class;

	memset(out, 0, sizeof(*out));
	out->request = dl_read_u64(r);
	out->entry = dl_read_u64(r);
	out->workspace = dl_read_str(r);
	dl_read_name(r, &out->failure_domain);
	class = dl_read_u64(r);
	out->prompt_tokens = dl_read_u64(r);
	out->output_tokens = dl_read_u64(r);
	out->prefix = dl_read_u64(r);
	out->prefix_tokens = (uint32_t)dl_read_u64(r);
	out->deadline = now + dl_read_i64(r);
	out->target_ms = (uint32_t)dl_read_u64(r);
	out->gap_ms = (uint32_t)dl_read_u64(r);
	out->first_event_deadline = dl_read_i64(r);
	out->first_event_deadline = out->first_event_deadline == UNSET_MS ?
					    0 :
					    now + out->first_event_deadline;
	out->tried = (uint8_t)read_names(r, out->tried_ids, 3);
	if (class >= DL_CLASS_COUNT || out->workspace.n > DL_NAME_MAX)
		r->bad = true;
	else
		out->class = (enum dl_class) class;
}

/* Packs a request for a grant. */
void dl_ask_pack(struct dl_packer *p, const struct dl_ask_frame *f, int64_t now)
{
	dl_packer_open(p, ASK_ITEMS);
	dl_pack_str(p, dl_name_str(&f->service));
	pack_ask(p, &f->ask, now);
	dl_pack_bool(p, f->no_spill);
	dl_pack_bool(p, f->standby);
	dl_pack_u64(p, f->probed_cause.id);
	dl_pack_u64(p, f->probed_cause.scope);
	dl_pack_u64(p, f->retry_credit);
}

/* Reads a request for a grant; its workspace points into the body. */
int dl_ask_read(struct dl_str body, struct dl_ask_frame *out, int64_t now)
{
	struct dl_reader r;

	dl_reader_open(&r, body);
	dl_read_name(&r, &out->service);
	read_ask(&r, &out->ask, now);
	out->no_spill = dl_read_bool(&r);
	out->standby = dl_read_bool(&r);
	/* Older builds send no probes. */
	if (r.remaining) {
		out->probed_cause.id = dl_read_u64(&r);
		out->probed_cause.scope = dl_read_u64(&r);
	} else {
		out->probed_cause = (struct dl_cause){ 0 };
	}
	/* Older builds send no credit. */
	out->retry_credit = r.remaining ? dl_read_u64(&r) : 0;
	return close_reader(&r);
}

static void pack_answer(struct dl_packer *p, const struct dl_answer *a,
			int64_t now)
{
	dl_pack_u64(p, a->request);
	dl_pack_u64(p, a->entry);
	dl_pack_u64(p, a->verdict);
	dl_pack_u64(p, a->reason);
	dl_pack_u64(p, a->retry_after_ms);
	dl_pack_u64(p, a->grant);
	dl_pack_i64(p, a->valid_until - now);
	dl_pack_u64(p, a->priority);
	dl_pack_u64(p, a->predicted_ttft_ms);
	dl_pack_u64(p, a->away);
	dl_pack_bool(p, a->limited);
	pack_names(p, a->endpoint, a->endpoints);
	msgpack_pack_array(&p->pk, a->endpoints);
	for (uint32_t i = 0; i < a->endpoints; i++)
		dl_pack_u64(p, a->share_tokens[i]);
}

static void read_shares(struct dl_reader *r, struct dl_answer *out)
{
	const msgpack_object *o;

	if (r->bad || r->remaining == 0 ||
	    r->next->type != MSGPACK_OBJECT_ARRAY ||
	    r->next->via.array.size != out->endpoints) {
		r->bad = true;
		return;
	}
	o = r->next;
	r->next++;
	r->remaining--;
	for (uint32_t i = 0; i < out->endpoints; i++) {
		if (o->via.array.ptr[i].type != MSGPACK_OBJECT_POSITIVE_INTEGER)
			r->bad = true;
		else
			out->share_tokens[i] = o->via.array.ptr[i].via.u64;
	}
}

static void read_answer(struct dl_reader *r, struct dl_answer *out, int64_t now)
{
	uint64_t verdict, reason;

	memset(out, 0, sizeof(*out));
	out->request = dl_read_u64(r);
	out->entry = dl_read_u64(r);
	verdict = dl_read_u64(r);
	reason = dl_read_u64(r);
	out->retry_after_ms = (uint32_t)dl_read_u64(r);
	out->grant = dl_read_u64(r);
	out->valid_until = now + dl_read_i64(r);
	out->priority = (uint8_t)dl_read_u64(r);
	out->predicted_ttft_ms = (uint32_t)dl_read_u64(r);
	out->away = (uint8_t)dl_read_u64(r);
	out->limited = dl_read_bool(r);
	out->endpoints = (uint8_t)read_names(r, out->endpoint, DL_GROUP_MAX);
	read_shares(r, out);
	if (verdict > DL_REFUSED || reason >= DL_REASON_COUNT) {
		r->bad = true;
		return;
	}
	out->verdict = (enum dl_verdict)verdict;
	out->reason = (enum dl_reason)reason;
}

/* Reads the age of a departure; too large a number says that it is unknown. */
static uint32_t read_age(struct dl_reader *r)
{
	uint64_t age = dl_read_u64(r);

	return age < DL_LEAVING_AGE_UNKNOWN ? (uint32_t)age :
					      DL_LEAVING_AGE_UNKNOWN;
}

void dl_answer_pack(struct dl_packer *p, const struct dl_answer_frame *f,
		    int64_t now)
{
	dl_packer_open(p, ANSWER_ITEMS);
	dl_pack_str(p, dl_name_str(&f->service));
	pack_answer(p, &f->answer, now);
	pack_names(p, f->spill, f->spill_count);
	dl_pack_u64(p, f->answer.leaving_ms);
}

int dl_answer_read(struct dl_str body, struct dl_answer_frame *out, int64_t now)
{
	struct dl_reader r;

	dl_reader_open(&r, body);
	dl_read_name(&r, &out->service);
	read_answer(&r, &out->answer, now);
	out->spill_count = read_names(&r, out->spill, DL_SPILL_MAX);
	/* Older releases grant no endpoint that is leaving. */
	if (r.remaining)
		out->answer.leaving_ms = read_age(&r);
	return close_reader(&r);
}

/* Packs the release of a grant with the usage of the request. */
void dl_release_pack(struct dl_packer *p, struct dl_str service, uint64_t grant,
		     const struct dl_usage *usage)
{
	dl_packer_open(p, RELEASE_ITEMS);
	dl_pack_str(p, service);
	dl_pack_u64(p, grant);
	dl_pack_bool(p, usage->ran);
	dl_pack_bool(p, usage->failed);
	dl_pack_bool(p, usage->unreachable);
	dl_pack_u64(p, usage->prompt_tokens);
	dl_pack_u64(p, usage->output_tokens);
	dl_pack_u64(p, usage->ttft_ms);
	dl_pack_u64(p, usage->total_ms);
	dl_pack_str(p, dl_name_str(&usage->at_fault));
	dl_pack_str(p, dl_name_str(&usage->backoff_endpoint));
	dl_pack_u64(p, usage->backoff_ms);
	dl_pack_bool(p, usage->unjudged);
	dl_pack_bool(p, usage->silent);
}

int dl_release_read(struct dl_str body, struct dl_name *service,
		    uint64_t *grant, struct dl_usage *out)
{
	struct dl_reader r;

	dl_reader_open(&r, body);
	dl_read_name(&r, service);
	*grant = dl_read_u64(&r);
	out->ran = dl_read_bool(&r);
	out->failed = dl_read_bool(&r);
	out->unreachable = dl_read_bool(&r);
	out->prompt_tokens = dl_read_u64(&r);
	out->output_tokens = dl_read_u64(&r);
	out->ttft_ms = (uint32_t)dl_read_u64(&r);
	out->total_ms = (uint32_t)dl_read_u64(&r);
	dl_read_name(&r, &out->at_fault);
	dl_read_name(&r, &out->backoff_endpoint);
	out->backoff_ms = (uint32_t)dl_read_u64(&r);
	/* Older entries do not send it. */
	out->unjudged = r.remaining && dl_read_bool(&r);
	out->silent = r.remaining && dl_read_bool(&r);
	return close_reader(&r);
}

/* Packs the question whether a request may be repeated. */
void dl_retry_request_pack(struct dl_packer *p,
			   const struct dl_retry_request_frame *f)
{
	dl_packer_open(p, RETRY_ITEMS);
	dl_pack_str(p, dl_name_str(&f->service));
	dl_pack_u64(p, f->id);
	dl_pack_u64(p, f->credit);
}

int dl_retry_request_read(struct dl_str body,
			  struct dl_retry_request_frame *out)
{
	struct dl_reader r;

	dl_reader_open(&r, body);
	dl_read_name(&r, &out->service);
	out->id = dl_read_u64(&r);
	out->credit = dl_read_u64(&r);
	return close_reader(&r);
}

/* Packs the answer to such a question. */
void dl_retry_reply_pack(struct dl_packer *p,
			 const struct dl_retry_reply_frame *f)
{
	dl_packer_open(p, RETRY_ITEMS);
	dl_pack_u64(p, f->id);
	dl_pack_bool(p, f->allowed);
	dl_pack_u64(p, f->left);
}

int dl_retry_reply_read(struct dl_str body, struct dl_retry_reply_frame *out)
{
	struct dl_reader r;

	dl_reader_open(&r, body);
	out->id = dl_read_u64(&r);
	out->allowed = dl_read_bool(&r);
	out->left = dl_read_u64(&r);
	return close_reader(&r);
}

/* Packs a service and a list of ids. */
void dl_id_list_pack(struct dl_packer *p, struct dl_str service,
		     const uint64_t *ids, uint32_t count)
{
	dl_packer_open(p, 1 + count);
	dl_pack_str(p, service);
	for (uint32_t i = 0; i < count; i++)
		dl_pack_u64(p, ids[i]);
}

/* Reads a service and a list of ids into an array of DL_ID_LIST_MAX. */
int dl_id_list_read(struct dl_str body, struct dl_name *service, uint64_t *ids,
		    uint32_t *count)
{
	struct dl_reader r;

	dl_reader_open(&r, body);
	dl_read_name(&r, service);
	*count = r.remaining;
	if (r.remaining > DL_ID_LIST_MAX)
		r.bad = true;
	for (uint32_t i = 0; !r.bad && i < *count; i++)
		ids[i] = dl_read_u64(&r);
	return close_reader(&r);
}

/* Packs the request limit that an endpoint announced in a response. */
void dl_limit_pack(struct dl_packer *p, const struct dl_limit_frame *f)
{
	dl_packer_open(p, LIMIT_ITEMS);
	dl_pack_str(p, dl_name_str(&f->service));
	dl_pack_str(p, dl_name_str(&f->endpoint));
	dl_pack_u64(p, f->start);
	dl_pack_u64(p, f->limit);
}

int dl_limit_read(struct dl_str body, struct dl_limit_frame *out)
{
	struct dl_reader r;
	uint64_t limit;

	dl_reader_open(&r, body);
	dl_read_name(&r, &out->service);
	dl_read_name(&r, &out->endpoint);
	out->start = dl_read_u64(&r);
	limit = dl_read_u64(&r);
	if (limit > DL_UNLIMITED)
		r.bad = true;
	out->limit = (uint32_t)limit;
	return close_reader(&r);
}

/* Packs that attempts at an endpoint broke through its own fault. */
void dl_fault_pack(struct dl_packer *p, const struct dl_fault_frame *f)
{
	dl_packer_open(p, FAULT_ITEMS);
	dl_pack_str(p, dl_name_str(&f->service));
	dl_pack_str(p, dl_name_str(&f->endpoint));
	dl_pack_u64(p, f->start);
	dl_pack_u64(p, f->attempts);
}

int dl_fault_read(struct dl_str body, struct dl_fault_frame *out)
{
	struct dl_reader r;
	uint64_t attempts;

	dl_reader_open(&r, body);
	dl_read_name(&r, &out->service);
	dl_read_name(&r, &out->endpoint);
	out->start = dl_read_u64(&r);
	attempts = dl_read_u64(&r);
	if (attempts > UINT32_MAX)
		r.bad = true;
	out->attempts = (uint32_t)attempts;
	return close_reader(&r);
}

/* Packs a service and one id. */
void dl_id_pack(struct dl_packer *p, struct dl_str service, uint64_t id)
{
	dl_packer_open(p, 2);
	dl_pack_str(p, service);
	dl_pack_u64(p, id);
}

int dl_id_read(struct dl_str body, struct dl_name *service, uint64_t *id)
{
	struct dl_reader r;

	dl_reader_open(&r, body);
	dl_read_name(&r, service);
	*id = dl_read_u64(&r);
	return close_reader(&r);
}

static void pack_events(struct dl_packer *p, const struct dl_announcement *a)
{
	msgpack_pack_array(&p->pk, (size_t)a->events_count * 2);
	for (uint32_t i = 0; i < a->events_count; i++) {
		dl_pack_u64(p, a->events[i].prefix);
		dl_pack_u64(p, a->events[i].tokens);
	}
}

static void read_events(struct dl_reader *r, struct dl_announcement *out)
{
	const msgpack_object *o = r->next;
	uint32_t n;

	if (r->bad || r->remaining == 0 || o->type != MSGPACK_OBJECT_ARRAY ||
	    o->via.array.size > 2 * DL_CACHE_EVENTS_MAX) {
		r->bad = true;
		return;
	}
	r->next++;
	r->remaining--;
	n = o->via.array.size / 2;
	for (uint32_t i = 0; i < n; i++) {
		const msgpack_object *pair = &o->via.array.ptr[(size_t)i * 2];

		if (pair[0].type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
		    pair[1].type != MSGPACK_OBJECT_POSITIVE_INTEGER) {
			r->bad = true;
			return;
		}
		out->events[i].prefix = pair[0].via.u64;
		out->events[i].tokens = (uint32_t)pair[1].via.u64;
	}
	out->events_count = n;
}

/* Packs an endpoint's announcement. */
void dl_report_pack(struct dl_packer *p, const struct dl_announcement *a)
{
	const struct dl_endpoint_report *r = &a->report;

	dl_packer_open(p, REPORT_ITEMS);
	dl_pack_str(p, dl_name_str(&a->service));
	dl_pack_str(p, dl_name_str(&r->id));
	dl_pack_str(p, dl_name_str(&r->failure_domain));
	dl_pack_u64(p, r->incarnation);
	dl_pack_u64(p, r->memory_tokens);
	dl_pack_u64(p, r->used_tokens);
	dl_pack_u64(p, r->slots);
	dl_pack_u64(p, r->running);
	dl_pack_u64(p, r->prefill_rate);
	dl_pack_u64(p, r->decode_rate);
	dl_pack_u64(p, r->prefill_backlog);
	dl_pack_bool(p, r->leaving);
	dl_pack_bool(p, r->takes_groups);
	dl_pack_u64(p, a->order_fence);
	dl_pack_str(p, dl_name_str(&a->instance));
	dl_pack_u64(p, a->sequence);
	dl_pack_u64(p, a->born);
	pack_names(p, a->models, a->models_count);
	dl_pack_str(p, dl_name_str(&a->version));
	dl_pack_str(p, dl_name_str(&a->role));
	pack_events(p, a);
	dl_pack_u64(p, r->cold_ms);
	dl_pack_u64(p, r->leaving_ms);
}

int dl_report_read(struct dl_str body, struct dl_announcement *out)
{
	struct dl_endpoint_report *report = &out->report;
	struct dl_reader r;

	memset(out, 0, sizeof(*out));
	dl_reader_open(&r, body);
	dl_read_name(&r, &out->service);
	dl_read_name(&r, &report->id);
	dl_read_name(&r, &report->failure_domain);
	report->incarnation = dl_read_u64(&r);
	report->memory_tokens = dl_read_u64(&r);
	report->used_tokens = dl_read_u64(&r);
	report->slots = (uint32_t)dl_read_u64(&r);
	report->running = (uint32_t)dl_read_u64(&r);
	report->prefill_rate = (uint32_t)dl_read_u64(&r);
	report->decode_rate = (uint32_t)dl_read_u64(&r);
	report->prefill_backlog = dl_read_u64(&r);
	report->leaving = dl_read_bool(&r);
	report->takes_groups = dl_read_bool(&r);
	out->order_fence = dl_read_u64(&r);
	dl_read_name(&r, &out->instance);
	out->sequence = dl_read_u64(&r);
	out->born = dl_read_u64(&r);
	out->models_count =
		read_names(&r, out->models, DL_ANNOUNCED_MODELS_MAX);
	dl_read_name(&r, &out->version);
	dl_read_name(&r, &out->role);
	read_events(&r, out);
	/* Older releases send none. */
	if (r.remaining)
		report->cold_ms = (uint32_t)dl_read_u64(&r);
	if (r.remaining)
		report->leaving_ms = read_age(&r);
	return close_reader(&r);
}

/* Packs and deflates the encoded announcements of several endpoints. */
int dl_report_batch_pack(const struct dl_str *reports, uint32_t count,
			 char **out, size_t *n)
{
	struct dl_packer p;
	int rc;

	dl_packer_open(&p, count);
	for (uint32_t i = 0; i < count; i++)
		dl_pack_str(&p, reports[i]);
	rc = dl_deflate(dl_packer_bytes(&p), out, n);
	dl_packer_close(&p);
	return rc;
}

/* Inflates a batch and passes each announcement in it to on_report(). */
int dl_report_batch_read(struct dl_str body,
			 void (*on_report)(void *arg, struct dl_str report),
			 void *arg)
{
	struct dl_reader r;
	char *plain;
	size_t n;
	int rc = dl_inflate(body, BATCH_BYTES_MAX, &plain, &n);

	if (rc)
		return rc;
	dl_reader_open(&r, (struct dl_str){ plain, n });
	while (!r.bad && r.remaining) {
		struct dl_str report = dl_read_str(&r);

		if (!r.bad)
			on_report(arg, report);
	}
	rc = close_reader(&r);
	free(plain);
	return rc;
}

/* Packs the summary of a pool. */
void dl_summary_pack(struct dl_packer *p, struct dl_str service,
		     struct dl_str domain, const struct dl_pool_summary *s)
{
	dl_packer_open(p, SUMMARY_ITEMS);
	dl_pack_str(p, service);
	dl_pack_str(p, domain);
	dl_pack_u64(p, s->endpoints);
	dl_pack_u64(p, s->queued);
	dl_pack_u64(p, s->queued_tokens);
	dl_pack_u64(p, s->memory_tokens);
	dl_pack_u64(p, s->free_tokens);
	dl_pack_u64(p, s->backlog_ms);
	dl_pack_u64(p, s->grants);
}

int dl_summary_read(struct dl_str body, struct dl_name *service,
		    struct dl_name *domain, struct dl_pool_summary *out)
{
	struct dl_reader r;

	dl_reader_open(&r, body);
	dl_read_name(&r, service);
	dl_read_name(&r, domain);
	out->endpoints = (uint32_t)dl_read_u64(&r);
	out->queued = (uint32_t)dl_read_u64(&r);
	out->queued_tokens = dl_read_u64(&r);
	out->memory_tokens = dl_read_u64(&r);
	out->free_tokens = dl_read_u64(&r);
	out->backlog_ms = dl_read_u64(&r);
	out->grants = dl_read_u64(&r);
	return close_reader(&r);
}

/*
 * Packs a grant of the previous dispatcher with the request that it answered,
 * so that the new dispatcher can adopt it.  Without its progress the frame is
 * that of older releases.
 */
void dl_adopt_pack(struct dl_packer *p, const struct dl_adopt_frame *f,
		   int64_t now)
{
	dl_packer_open(p, ADOPT_ITEMS + (f->has_progress ? PROGRESS_ITEMS : 0));
	dl_pack_str(p, dl_name_str(&f->service));
	pack_answer(p, &f->grant, now);
	pack_ask(p, &f->ask, now);
	if (!f->has_progress)
		return;
	dl_pack_u64(p, f->progress.held_ms);
	dl_pack_bool(p, f->progress.began);
}

int dl_adopt_read(struct dl_str body, struct dl_adopt_frame *out, int64_t now)
{
	struct dl_reader r;
	uint64_t held;

	memset(out, 0, sizeof(*out));
	dl_reader_open(&r, body);
	dl_read_name(&r, &out->service);
	read_answer(&r, &out->grant, now);
	read_ask(&r, &out->ask, now);
	out->has_progress = !r.bad && r.remaining;
	if (out->has_progress) {
		held = dl_read_u64(&r);
		out->progress.held_ms = held < UINT32_MAX ? (uint32_t)held :
							    UINT32_MAX;
		out->progress.began = dl_read_bool(&r);
	}
	return close_reader(&r);
}
