/*
 * Deterministic answers of the fake endpoints.  An answer depends on its prompt
 * alone, so the sender of a prompt can detect a wrong or misdirected answer.
 */
#ifndef DL_TEST_FAKE_ANSWER_H
#define DL_TEST_FAKE_ANSWER_H

#include "daisyledge/base.h"

/* Prompt bytes per token. */
#define FAKE_TOKEN_BYTES 4
/* Length of the prompt prefix that is cached, by its hash. */
#define FAKE_PREFIX_BYTES 4096

uint64_t fake_hash(struct dl_str s);
uint64_t fake_tokens(struct dl_str prompt);
/* Returns token i of the answer to the prompt with this hash. */
const char *fake_answer_token(uint64_t prompt_hash, uint64_t i);

#endif
