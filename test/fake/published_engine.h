/* Engine figures as published by the operators of users' deployments. */
#ifndef TEST_FAKE_PUBLISHED_ENGINE_H
#define TEST_FAKE_PUBLISHED_ENGINE_H

#define PUBLISHED_ENGINE                                                       \
	.slots = 16, .memory_tokens = 315000, .stride = 51, .chunk = 2048,     \
	.step_ms = 0.85, .per_writer_ms = 0.00425, .per_context_ms = 0.00285,  \
	.read_per_ms = 177, .per_pairs_ms = 0.184

/* An engine with less memory and shorter strides. */
#define PUBLISHED_ENGINE_SMALLER                                               \
	.slots = 16, .memory_tokens = 232000, .stride = 43, .chunk = 2048,     \
	.step_ms = 1.02, .per_writer_ms = 0.00226, .per_context_ms = 0.00431,  \
	.read_per_ms = 206, .per_pairs_ms = 0.138

/* An engine with even less memory and fewer slots. */
#define PUBLISHED_ENGINE_SMALLEST                                              \
	.slots = 12, .memory_tokens = 197200, .stride = 48, .chunk = 2048,     \
	.step_ms = 1.02, .per_writer_ms = 0.00226, .per_context_ms = 0.00431,  \
	.read_per_ms = 206, .per_pairs_ms = 0.138

#endif
