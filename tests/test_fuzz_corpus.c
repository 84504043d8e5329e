#include <dirent.h>

#include "fuzz/fuzz_env.h"
#include "fuzz/fuzz_settings.h"
#include "suite.h"
#include "textfile.h"

typedef int (*fuzz_fn)(const uint8_t *data, size_t len);

/*
 * Runs a target on each file of a directory, and on each start of the small
 * ones, in a copy of exactly that size, so that AddressSanitizer sees a read
 * past its end.
 */
static unsigned
replay(const char *dir, fuzz_fn fn)
{
	const size_t whole_only = 2048;
	DIR *const d = opendir(dir);
	struct dirent *it;
	unsigned files = 0;
	char *path, *text, *copy;
	size_t len, n;

	while (d != NULL && (it = readdir(d)) != NULL) {
		if (it->d_name[0] == '.')
			continue;
		path = agb_xasprintf("%s/%s", dir, it->d_name);
		text = textfile_need(path, &len);
		for (n = len < whole_only ? 0 : len; n <= len; n++) {
			copy = malloc(n > 0 ? n : 1);
			if (copy == NULL)
				abort();
			memcpy(copy, text, n);
			fn((const uint8_t *)copy, n);
			free(copy);
		}
		free(text);
		free(path);
		files++;
	}
	if (d != NULL)
		closedir(d);
	return files;
}

/* Guards against inputs that once broke the reader of documents. */
static void
test_env(void)
{
	CU_ASSERT(replay("tests/fuzz/corpus/env", fuzz_env) >= 4);
	CU_ASSERT(replay("samples/lagos", fuzz_env) >= 2);
	CU_ASSERT(replay("tests/golden/env", fuzz_env) >= 2);
}

/* Guards against inputs that once broke the reader of settings. */
static void
test_settings(void)
{
	CU_ASSERT(replay("tests/fuzz/corpus/settings", fuzz_settings) >= 2);
	CU_ASSERT(replay("samples/bac-ninh", fuzz_settings) >= 2);
	CU_ASSERT(replay("tests/golden/settings", fuzz_settings) >= 2);
}

static const struct suite_test tests[] = {
    {"env", test_env},
    {"settings", test_settings},
};

int
main(void)
{
	return suite_run(
	    "fuzz_corpus", tests, sizeof(tests) / sizeof(tests[0]));
}
