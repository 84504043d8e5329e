/*
 * Runs a fuzz target on the files of corpus directories, in the order of their
 * names, without a fuzzer runtime. Guards against regressions on inputs that
 * once broke a parser. Each file, and each prefix of a small file, is passed in
 * an allocation of exactly its size, so that AddressSanitizer detects a read
 * past its end. Fails when a file cannot be read or a directory has too few
 * files.
 */

#include <dirent.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define FILE_BYTES_MAX ((size_t)4 * 1024 * 1024)

/* Files of this size or more are run only as a whole: running all their
 * prefixes would take too long. */
#define PREFIXES_BYTES_MAX ((size_t)2048)

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static int
replay_file(const char *dir, const char *name)
{
	static uint8_t buf[FILE_BYTES_MAX];
	char path[4096];
	uint8_t *copy;
	size_t len, n;
	FILE *f;

	snprintf(path, sizeof(path), "%s/%s", dir, name);
	f = fopen(path, "rb");
	if (f == NULL) {
		perror(path);
		return 0;
	}
	len = fread(buf, 1, sizeof(buf), f);
	fclose(f);
	for (n = len < PREFIXES_BYTES_MAX ? 0 : len; n <= len; n++) {
		copy = malloc(n > 0 ? n : 1);
		if (copy == NULL)
			abort();
		memcpy(copy, buf, n);
		LLVMFuzzerTestOneInput(copy, n);
		free(copy);
	}
	return 1;
}

/* Returns whether the directory has at least @min_files files and all were run. */
static int
replay_dir(const char *dir, int min_files)
{
	struct dirent **names;
	int i, n, files = 0, ran = 0;

	n = scandir(dir, &names, NULL, alphasort);
	if (n < 0) {
		perror(dir);
		return 0;
	}
	for (i = 0; i < n; i++) {
		if (names[i]->d_name[0] != '.') {
			files++;
			ran += replay_file(dir, names[i]->d_name);
		}
		free(names[i]);
	}
	free(names);
	printf("%s: %d inputs, at least %d expected\n", dir, ran, min_files);
	return ran >= min_files && ran == files;
}

int
main(int argc, char **argv)
{
	int i, min_files, ok = 1;

	if (argc < 3 || argc % 2 == 0) {
		fprintf(stderr, "usage: %s DIRECTORY MIN_FILES...\n", argv[0]);
		return 2;
	}
	for (i = 1; i < argc; i += 2) {
		min_files = atoi(argv[i + 1]);
		if (min_files < 1 || !replay_dir(argv[i], min_files))
			ok = 0;
	}
	return ok ? 0 : 1;
}
