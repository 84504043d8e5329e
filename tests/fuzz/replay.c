/*
 * Runs a fuzz target once over each file of a directory, in the order of
 * their names; needs no fuzzer runtime. Fails when there is no file.
 */

#include <dirent.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>

#define FILE_BYTES_MAX ((size_t)4 * 1024 * 1024)

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static int
replay(const char *dir, const char *name)
{
	static uint8_t buf[FILE_BYTES_MAX];
	char path[4096];
	size_t n;
	FILE *f;

	snprintf(path, sizeof(path), "%s/%s", dir, name);
	f = fopen(path, "rb");
	if (f == NULL) {
		perror(path);
		return 0;
	}
	n = fread(buf, 1, sizeof(buf), f);
	fclose(f);
	LLVMFuzzerTestOneInput(buf, n);
	return 1;
}

int
main(int argc, char **argv)
{
	struct dirent **names;
	int i, n, files = 0, ran = 0;

	if (argc != 2 || (n = scandir(argv[1], &names, NULL, alphasort)) < 0) {
		fprintf(stderr, "usage: %s DIRECTORY\n", argv[0]);
		return 2;
	}
	for (i = 0; i < n; i++) {
		if (names[i]->d_name[0] != '.') {
			files++;
			ran += replay(argv[1], names[i]->d_name);
		}
		free(names[i]);
	}
	free(names);
	printf("%d inputs\n", ran);
	return ran > 0 && ran == files ? 0 : 1;
}
