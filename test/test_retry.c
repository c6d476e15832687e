/* Tests of the retry budget, with many VMs in simulated time. */
#include "daisyledge/retry.h"

#include <check.h>
#include <stdlib.h>

#define VMS	  90
#define SLACK	  256
#define PERMILLE  200
#define WINDOW_MS 10000
#define STEP_MS	  10
#define REQUESTS  1080 /* in a window, at all VMs */

static struct dl_retry_budget budgets[VMS];

/* All endpoints of a service fail all requests, at all VMs at once. */
START_TEST(repeats_of_all_vms_stay_within_deployment_bound)
{
	int repeats = 0;

	for (int i = 0; i < VMS; i++)
		dl_retry_budget_init(&budgets[i], PERMILLE, 10);
	for (int i = 0; i < REQUESTS; i++) {
		dl_retry_budget_deposit(&budgets[i % VMS]);
		repeats += dl_retry_budget_withdraw(&budgets[i % VMS]);
	}
	ck_assert_int_le(repeats, REQUESTS * PERMILLE / 1000 + SLACK);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("retry");
	TCase *t = tcase_create("budget");
	SRunner *r;
	int failed;

	tcase_add_test(t, repeats_of_all_vms_stay_within_deployment_bound);
	suite_add_tcase(s, t);
	r = srunner_create(s);
	srunner_run_all(r, CK_ENV);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
