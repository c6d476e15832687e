/* Runs the suite of a test program. */
#ifndef TEST_FAKE_SUITE_H
#define TEST_FAKE_SUITE_H

#include <check.h>
#include <stdlib.h>

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
