/* Timing and memory model of one fake engine. */
#include <errno.h>

#include "engine.h"

#define MS_PER_S 1000.0

void fake_engine_init(struct fake_engine *e,
		      const struct fake_engine_conf *conf)
{
	e->conf = *conf;
	e->used_tokens = 0;
	e->seqs = g_ptr_array_new();
}

int fake_engine_hold(struct fake_engine *e, uint64_t tokens)
{
	if (tokens > e->conf.memory_tokens - e->used_tokens)
		return -ENOSPC;
	e->used_tokens += tokens;
	return 0;
}

void fake_engine_free_tokens(struct fake_engine *e, uint64_t tokens)
{
	g_assert(tokens <= e->used_tokens);
	e->used_tokens -= tokens;
}

int fake_engine_begin(struct fake_engine *e, struct fake_seq *seq)
{
	guint at = 0;
	int rc = fake_engine_hold(e, seq->held_tokens);

	if (rc < 0)
		return rc;
	while (at < e->seqs->len) {
		const struct fake_seq *other = g_ptr_array_index(e->seqs, at);

		if (other->priority > seq->priority)
			break;
		at++;
	}
	g_ptr_array_insert(e->seqs, (gint)at, seq);
	return 0;
}

void fake_engine_end(struct fake_engine *e, struct fake_seq *seq)
{
	if (g_ptr_array_remove(e->seqs, seq))
		fake_engine_free_tokens(e, seq->held_tokens);
}

static bool prefill_done(const struct fake_seq *seq)
{
	return seq->prefilled >= (double)seq->prompt_tokens;
}

uint64_t fake_seq_ready(const struct fake_seq *seq)
{
	if (!prefill_done(seq))
		return 0;
	if (seq->decoded >= (double)seq->output_tokens)
		return seq->output_tokens;
	return (uint64_t)seq->decoded;
}

/*
 * Spends the step's prefill budget on the sequences in order.  The end of a
 * prefill yields the first token.
 */
static void step_prefill(struct fake_engine *e, double share)
{
	for (guint i = 0; i < e->seqs->len && share > 0; i++) {
		struct fake_seq *seq = g_ptr_array_index(e->seqs, i);
		double left = (double)seq->prompt_tokens - seq->prefilled;
		double need = left / seq->engines;

		if (prefill_done(seq))
			continue;
		if (need > share) {
			seq->prefilled += share * seq->engines;
			return;
		}
		seq->prefilled = (double)seq->prompt_tokens;
		seq->decoded = 1;
		share -= need;
	}
}

static void step_decode(struct fake_engine *e, double tokens)
{
	uint32_t slots = e->conf.slots;

	for (guint i = 0; i < e->seqs->len && slots > 0; i++) {
		struct fake_seq *seq = g_ptr_array_index(e->seqs, i);

		if (!prefill_done(seq) ||
		    seq->decoded >= (double)seq->output_tokens)
			continue;
		seq->decoded += tokens;
		slots--;
	}
}

void fake_engine_step(struct fake_engine *e, double ms)
{
	double s = ms / MS_PER_S / e->conf.slow;

	step_decode(e, s * e->conf.decode_rate);
	step_prefill(e, s * e->conf.prefill_rate);
}

uint64_t fake_engine_backlog(const struct fake_engine *e)
{
	double left = 0;

	for (guint i = 0; i < e->seqs->len; i++) {
		const struct fake_seq *seq = g_ptr_array_index(e->seqs, i);

		if (!prefill_done(seq))
			left += ((double)seq->prompt_tokens - seq->prefilled) /
				seq->engines;
	}
	return (uint64_t)left;
}
