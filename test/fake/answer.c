/* Answers made of words from a fixed list, chosen by prompt hash and index. */
#include <xxhash.h>

#include "answer.h"

static const char *const vocabulary[] = {
	" almaty",  " arrives",	  " at",      " bag",	 " bench",  " both",
	" calm",    " coach",	  " counter", " dawn",	 " early",  " east",
	" evening", " ferry",	  " four",    " gate",	 " greets", " hall",
	" hill",    " in",	  " joins",   " kind",	 " lake",   " late",
	" leaves",  " light",	  " meets",   " night",	 " nine",   " north",
	" old",	    " one",	  " path",    " plan",	 " quiet",  " rail",
	" reads",   " rides",	  " road",    " season", " seat",   " seven",
	" shares",  " six",	  " slow",    " snow",	 " south",  " station",
	" sun",	    " talks",	  " ten",     " the",	 " three",  " ticket",
	" to",	    " traveller", " tree",    " two",	 " waits",  " walk",
	" west",    " window",	  " with",    " young",
};

#define VOCABULARY_SIZE (sizeof(vocabulary) / sizeof(vocabulary[0]))

uint64_t fake_hash(struct dl_str s)
{
	return XXH64(s.s, s.n, 0);
}

uint64_t fake_tokens(struct dl_str prompt)
{
	return (prompt.n + FAKE_TOKEN_BYTES - 1) / FAKE_TOKEN_BYTES;
}

const char *fake_answer_token(uint64_t prompt_hash, uint64_t i)
{
	return vocabulary[XXH64(&i, sizeof(i), prompt_hash) % VOCABULARY_SIZE];
}
