#ifndef SUITE_H
#define SUITE_H

/**
 * DOC: suite
 *
 * Runs a table of CUnit tests as a program. Its exit status is 0 only when at
 * least one test ran and none failed.
 */

#include <CUnit/Basic.h>

struct suite_test {
	const char *name;
	CU_TestFunc run;
};

/**
 * suite_run() - run all tests of a table
 * @name: name of the suite
 * @len: number of tests
 * Return: exit status for main(): 0 when all tests passed, 1 when one failed or
 * none ran, 2 when CUnit could not be set up.
 */
static inline int
suite_run(const char *name, const struct suite_test *tests, size_t len)
{
	CU_pSuite suite;
	unsigned ran, failed;
	size_t i;

	if (CU_initialize_registry() != CUE_SUCCESS)
		return 2;
	suite = CU_add_suite(name, NULL, NULL);
	if (suite == NULL)
		return 2;
	for (i = 0; i < len; i++) {
		if (CU_add_test(suite, tests[i].name, tests[i].run) == NULL)
			return 2;
	}
	CU_basic_set_mode(CU_BRM_VERBOSE);
	CU_basic_run_tests();
	ran = CU_get_number_of_tests_run();
	failed = CU_get_number_of_tests_failed();
	CU_cleanup_registry();
	return ran > 0 && failed == 0 ? 0 : 1;
}

#endif
