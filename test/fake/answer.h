/*
 * The answers that the fakes give: a function of the prompt alone, so that
 * whoever sent a prompt knows the whole answer, and can tell another's.
 */
#ifndef DL_TEST_FAKE_ANSWER_H
#define DL_TEST_FAKE_ANSWER_H

#include "daisyledge/base.h"

/* One token is so many bytes of a prompt. */
#define FAKE_TOKEN_BYTES 4
/* The start of a prompt that is cached, and named by its hash. */
#define FAKE_PREFIX_BYTES 4096

uint64_t fake_hash(struct dl_str s);
uint64_t fake_tokens(struct dl_str prompt);
/* Token i of the answer to the prompt with this hash. */
const char *fake_answer_token(uint64_t prompt_hash, uint64_t i);

#endif
