/* Functions on a request that only the files that handle requests share. */
#ifndef DL_ENTRY_ENTRY_CALL_H
#define DL_ENTRY_ENTRY_CALL_H

#include "entry/entry.h"

/* Size of the text of a request's shared parts in a log line. */
#define SHARED_PARTS_TEXT_MAX 160

/* entry_call.c */
struct dl_str call_copy_str(struct dl_str s);
struct call *call_new(struct entry *e, struct dl_httpd_req *req);
void call_free(struct call *c);
long call_ms(const struct call *c, int64_t at);
uint32_t call_tries(const struct call *c);
void call_settle(struct call *c, enum dl_outcome outcome, uint16_t status);

/* entry_held.c */
void entry_held_update(struct call *c);
void entry_held_forget(struct call *c);
bool entry_held_may_read(struct call *c);

/* entry_grant.c */
void call_note_wait(struct call *c);
void call_cancel_at(struct call *c, uint64_t vm);

/* entry_renew.c */
void call_note_renewed(struct call *c, int64_t now);
void call_renew(struct call *c, uint64_t owner, int64_t now);

/* entry_attempt.c */
uint64_t call_content(const struct call *c);
void call_read_shared_parts(struct call *c, const struct dl_header *headers,
			    size_t n);
char *call_shared_parts_text(const struct call *c, char *text, size_t size);
void call_attempt_begin(struct call *c);
void call_note_event(struct call *c);
void call_response_clear(struct call *c);
void call_note_ending(struct call *c, const struct dl_attempt *attempt,
		      bool stream, size_t unfinished);
void call_note_tried(struct call *c);
void call_fill_usage(struct call *c, const struct dl_attempt *attempt,
		     uint64_t prompt, uint64_t output, bool failed);
void call_headers_begin(struct call *c);
void call_headers_keep(struct call *c, const struct dl_header *h);
size_t call_headers_count(const struct call *c);
size_t call_headers_fill(const struct call *c, struct dl_header *out);

/* entry_read.c */
void call_parse_forget(struct parse_job *job);

/* entry_claim.c */
int call_claim(struct call *c);
void call_settle_claim(struct call *c);
void call_record_outcome(struct call *c, struct entry_cmd_done done);

/* entry_answer.c */
void call_answer_error(struct call *c, const char *reason,
		       const struct dl_err *err, uint32_t retry_ms);
void call_answer_complete(struct call *c);
GString *call_completion_json(struct call *c);

#endif
