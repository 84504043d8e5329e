/**
 * DOC: daemon_main
 *
 * Command line of agatebeamd: loads the settings and runs the daemon.
 */

#include <argtable2.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "daemon.h"
#include "mem.h"
#include "platform.h"
#include "settings.h"
#include "wf_daemon.h"

#define SETTINGS_MAX ((size_t)256 * 1024)
#define EXIT_BAD_INPUT 2

static char *
read_file(const char *path, size_t *len)
{
	char *text;
	FILE *f;

	f = fopen(path, "r");
	if (f == NULL) {
		fprintf(stderr, "agatebeamd: %s: %s\n", path, strerror(errno));
		return NULL;
	}
	text = agb_xcalloc(1, SETTINGS_MAX + 1);
	*len = fread(text, 1, SETTINGS_MAX + 1, f);
	fclose(f);
	if (*len > SETTINGS_MAX) {
		fprintf(stderr, "agatebeamd: %s: larger than %zu bytes\n", path,
		    SETTINGS_MAX);
		free(text);
		return NULL;
	}
	return text;
}

static bool
load_settings(const char *path, struct agb_settings *s)
{
	struct agb_findings *const f = agb_xcalloc(1, sizeof(*f));
	char report[16384];
	char *text;
	size_t len;
	bool ok;

	ok = false;
	text = read_file(path, &len);
	if (text == NULL)
		goto out;
	ok = agb_settings_parse(text, len, s, f);
	agb_findings_format(f, path, report, sizeof(report));
	fputs(report, stderr);
	free(text);
out:
	free(f);
	return ok;
}

static int
run_on_platform(const struct arg_file *file)
{
	const char *const path =
	    file->count > 0 ? file->filename[0] : getenv(PLATFORM_SETTINGS_ENV);

	if (path == NULL) {
		fprintf(stderr, "agatebeamd: no settings file specified\n");
		return EXIT_BAD_INPUT;
	}
	return wf_daemon_run(path, &platform_ops);
}

int
main(int argc, char **argv)
{
	struct arg_file *const file = arg_file0(
	    "s", "settings", "FILE", "settings file, JSON with comments");
	struct arg_lit *const on_platform = arg_lit0("p", "platform",
	    "run on the platform; without FILE, the platform's environment "
	    "names the settings file");
	struct arg_lit *const check =
	    arg_lit0(NULL, "check", "check the settings and exit");
	struct arg_lit *const help =
	    arg_lit0("h", "help", "show this help and exit");
	struct arg_end *const end = arg_end(8);
	void *table[] = {file, on_platform, check, help, end};
	struct agb_settings s;
	int errors, status;

	status = EXIT_BAD_INPUT;
	errors = arg_parse(argc, argv, table);
	if (help->count > 0) {
		printf("usage: agatebeamd");
		arg_print_syntax(stdout, table, "\n");
		arg_print_glossary(stdout, table, "  %-24s %s\n");
		status = 0;
		goto out;
	}
	if (errors > 0) {
		arg_print_errors(stderr, end, "agatebeamd");
		goto out;
	}
	if (on_platform->count > 0) {
		status = run_on_platform(file);
		goto out;
	}
	if (file->count == 0) {
		fprintf(stderr, "agatebeamd: missing option -s|--settings\n");
		goto out;
	}
	if (!load_settings(file->filename[0], &s))
		goto out;
	status = check->count > 0 ? 0 : agb_daemon_run(&s);
out:
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return status;
}
