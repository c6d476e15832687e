/* Runs the suite of a test program. */
#ifndef TEST_FAKE_SUITE_H
#define TEST_FAKE_SUITE_H

#include <check.h>
#include <stdint.h>
#include <stdlib.h>
#include <unistd.h>

/*
 * A packed address on loopback, from the last two octets of its IP address:
 * each process has others, so that two runs of a test can be side by side.
 */
static inline uint64_t suite_address(uint32_t octets, uint16_t port)
{
	uint32_t pid = (uint32_t)getpid();
	uint32_t subnet = 1 + pid % 250;
	/* Two of 23 runs side by side shared a subnet; below ephemeral ports.
	 */
	uint32_t ports = pid / 250 % 1500 * 16;

	return (uint64_t)(0x7f000000u | subnet << 16 | octets) << 16 |
	       (port + ports);
}

/* Runs and frees a suite; returns the exit status of the program. */
static inline int suite_run(Suite *suite)
{
	SRunner *runner = srunner_create(suite);
	int failed;

	srunner_run_all(runner, CK_ENV);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}

#endif
