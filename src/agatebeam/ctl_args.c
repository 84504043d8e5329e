#include "ctl_args.h"

#include <argtable2.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>

#define ARRAY_LEN(a) (sizeof(a) / sizeof((a)[0]))

enum {
	USES_STORE = 1 << 0,
	USES_ENTRY = 1 << 1,
	ALLOWS_REVIEWED = 1 << 2,   /* --reviewed is optional */
	REQUIRES_REVIEWED = 1 << 3, /* --reviewed is mandatory */
};

/*
 * struct command - a command and its arguments
 * @group: first word of the command; NULL when @name is its only word
 * @env_metavar: name in the help of the argument for agb_ctl_args.env; NULL
 *	when the command takes none
 * @operand_metavar: name in the help of the argument for agb_ctl_args.operand;
 *	NULL when the command takes none
 * @summary: one-line description in the help
 */
struct command {
	const char *group;
	const char *name;
	agb_ctl_command_fn run;
	unsigned flags;
	const char *env_metavar;
	const char *operand_metavar;
	const char *summary;
};

static const struct command commands[] = {
    {"env", "check", agb_ctl_env_check, 0, NULL, "FILE",
	"check a document; changes nothing"},
    {"env", "show", agb_ctl_env_show, USES_STORE, "ENV", NULL,
	"print the document of an environment"},
    {"env", "diff", agb_ctl_env_diff, USES_STORE, "ENV", "FILE|ENV",
	"compare an environment with a file or another environment"},
    {"env", "put", agb_ctl_env_put, USES_STORE | ALLOWS_REVIEWED, "ENV", "FILE",
	"put a document in force, if nothing has changed since the review"},
    {"env", "promote", agb_ctl_env_promote, USES_STORE | REQUIRES_REVIEWED,
	"FROM", "TO",
	"put the document of one environment in force in another"},
    {"env", "history", agb_ctl_env_history, USES_STORE, "ENV", NULL,
	"list the changes of an environment, newest first"},
    {"env", "status", agb_ctl_env_status, USES_STORE | USES_ENTRY, "ENV", NULL,
	"tell which version each entry instance has in force"},
    {NULL, "status", agb_ctl_status, USES_ENTRY, NULL, NULL,
	"print the status that an entry instance reports"},
    {NULL, "explain", agb_ctl_explain, USES_ENTRY, NULL, "ID",
	"tell why a job or request stands where it does"},
    {NULL, "trace", agb_ctl_trace, 0, "JOB", "LOG",
	"put the lines of logs about a job in order and say what they tell"},
};

static const char exit_status_help[] =
    "\nExit status:\n"
    "  0  done\n"
    "  1  failed: refused by the other side, or instances lag\n"
    "  2  bad input: arguments or document refused; nothing was changed\n"
    "  3  lost a race: changed since the review; nothing was changed\n"
    "  4  unreachable: no answer; the text tells what may have happened\n";

static void
print_overview(FILE *f)
{
	const struct command *c;
	char usage[64];
	size_t i;

	fputs("Usage: agatectl COMMAND [--help] ...\n\nCommands:\n", f);
	for (i = 0; i < ARRAY_LEN(commands); i++) {
		c = &commands[i];
		snprintf(usage, sizeof(usage), "%s%s%s%s%s%s",
		    c->group != NULL ? "env " : "", c->name,
		    c->env_metavar != NULL ? " " : "",
		    c->env_metavar != NULL ? c->env_metavar : "",
		    c->operand_metavar != NULL ? " " : "",
		    c->operand_metavar != NULL ? c->operand_metavar : "");
		fprintf(f, "  %-24s  %s\n", usage, c->summary);
	}
	fputs(exit_status_help, f);
}

static const struct command *
find_command(int argc, char **argv)
{
	const struct command *c;
	size_t i;

	for (i = 0; i < ARRAY_LEN(commands); i++) {
		c = &commands[i];
		if (c->group == NULL && argc > 1 &&
		    strcmp(argv[1], c->name) == 0)
			return c;
		if (c->group != NULL && argc > 2 &&
		    strcmp(argv[1], c->group) == 0 &&
		    strcmp(argv[2], c->name) == 0)
			return c;
	}
	return NULL;
}

/*
 * struct option_table - argtable2 entries of one command; NULL for each
 * argument that the command does not accept
 * @entries: the entries in use, in the order in which the help lists them,
 *	ending with @end
 */
struct option_table {
	struct arg_str *env;
	struct arg_str *operand;
	struct arg_str *store;
	struct arg_str *entry;
	struct arg_str *reviewed;
	struct arg_lit *rename;
	struct arg_lit *json;
	struct arg_lit *help;
	struct arg_end *end;
	void *entries[10];
};

static void
build_option_table(struct option_table *t, const struct command *c)
{
	size_t n = 0;

	memset(t, 0, sizeof(*t));
	if (c->env_metavar != NULL)
		t->entries[n++] = t->env = arg_str1(NULL, NULL, c->env_metavar,
		    strcmp(c->env_metavar, "JOB") == 0 ? "id of the job"
						       : "environment");
	if (c->operand_metavar != NULL)
		t->entries[n++] = t->operand =
		    arg_str1(NULL, NULL, c->operand_metavar,
			strcmp(c->operand_metavar, "TO") == 0
			    ? "environment to change"
			    : strcmp(c->operand_metavar, "ID") == 0
			    ? "of a job or request"
			    : strcmp(c->operand_metavar, "LOG") == 0
			    ? "logs one after the other, - for standard input"
			    : strcmp(c->operand_metavar, "FILE") == 0
			    ? "document, - for standard input"
			    : "document (a path with / or .), or environment");
	if (c->flags & USES_STORE)
		t->entries[n++] = t->store = arg_str0(NULL, "store",
		    "ADDR[,ADDR]", "addresses and ports of the store");
	if (c->flags & USES_ENTRY)
		t->entries[n++] = t->entry = arg_str0(NULL, "entry", "ADDR",
		    "address and port of an entry instance");
	if (c->flags & REQUIRES_REVIEWED)
		t->entries[n++] = t->reviewed = arg_str1(NULL, "reviewed",
		    "VERSION", "number that env diff or env show has printed");
	if (c->flags & ALLOWS_REVIEWED)
		t->entries[n++] = t->reviewed =
		    arg_str0(NULL, "reviewed", "VERSION",
			"number that env diff or env show has printed; may be "
			"left out for the first document");
	if (c->flags & (ALLOWS_REVIEWED | REQUIRES_REVIEWED))
		t->entries[n++] = t->rename = arg_lit0(NULL, "rename",
		    "let the document name another deployment than before");
	t->entries[n++] = t->json = arg_lit0(NULL, "json", "results as JSON");
	t->entries[n++] = t->help =
	    arg_lit0(NULL, "help", "print this and exit");
	t->entries[n] = t->end = arg_end(8);
}

static void
print_help(const struct command *c, struct option_table *t, FILE *f)
{
	fprintf(
	    f, "Usage: agatectl %s%s", c->group != NULL ? "env " : "", c->name);
	arg_print_syntax(f, t->entries, "\n");
	fprintf(f, "\n%s\n\n", c->summary);
	arg_print_glossary(f, t->entries, "  %-24s  %s\n");
	fputs(exit_status_help, f);
}

static bool
parse_addr(
    const char *option, const char *text, size_t len, char *dst, FILE *err)
{
	const char *fault = "is too long";

	if (len < AGB_ADDR_LEN) {
		memcpy(dst, text, len);
		dst[len] = '\0';
		fault = agb_settings_addr_error(dst);
		if (fault == NULL)
			return true;
	}
	fprintf(err, "agatectl: %s %.*s %s\n", option, (int)len, text, fault);
	return false;
}

static bool
parse_store_addrs(const char *list, struct agb_ctl_options *out, FILE *err)
{
	size_t len;

	for (;;) {
		len = strcspn(list, ",");
		if (out->store_addrs_len == AGB_STORE_ENDPOINTS_MAX) {
			fprintf(err,
			    "agatectl: --store takes at most %d addresses\n",
			    AGB_STORE_ENDPOINTS_MAX);
			return false;
		}
		if (!parse_addr("--store", list, len,
			out->store_addrs[out->store_addrs_len++], err))
			return false;
		if (list[len] == '\0')
			return true;
		list += len + 1;
	}
}

static bool
parse_reviewed(const char *text, struct agb_ctl_options *out, FILE *err)
{
	errno = 0;
	out->args.reviewed_revision = strtoull(text, NULL, 10);
	out->args.has_reviewed_revision = true;
	if (errno == 0 && text[0] != '\0' &&
	    strspn(text, "0123456789") == strlen(text))
		return true;
	fprintf(err, "agatectl: --reviewed takes a whole number\n");
	return false;
}

static bool
read_option_table(
    const struct option_table *t, struct agb_ctl_options *out, FILE *err)
{
	if (t->env != NULL)
		out->args.env = t->env->sval[0];
	if (t->operand != NULL)
		out->args.operand = t->operand->sval[0];
	out->json = t->json->count > 0;
	out->args.allow_rename = t->rename != NULL && t->rename->count > 0;
	if (t->store != NULL && t->store->count > 0 &&
	    !parse_store_addrs(t->store->sval[0], out, err))
		return false;
	if (t->entry != NULL && t->entry->count > 0 &&
	    !parse_addr("--entry", t->entry->sval[0], strlen(t->entry->sval[0]),
		out->entry_addr, err))
		return false;
	if (t->reviewed != NULL && t->reviewed->count > 0 &&
	    !parse_reviewed(t->reviewed->sval[0], out, err))
		return false;
	return true;
}

enum agb_ctl_exit
agb_ctl_args_parse(
    int argc, char **argv, struct agb_ctl_options *out, FILE *help, FILE *err)
{
	const struct command *const c = find_command(argc, argv);
	enum agb_ctl_exit code = AGB_CTL_BAD_INPUT;
	const int command_words = c != NULL && c->group != NULL ? 2 : 1;
	struct option_table t;

	memset(out, 0, sizeof(*out));
	if (c == NULL) {
		if (argc > 1 && strcmp(argv[1], "--help") == 0) {
			print_overview(help);
			return AGB_CTL_OK;
		}
		if (argc > 1)
			fprintf(err, "agatectl: unknown command\n\n");
		print_overview(err);
		return AGB_CTL_BAD_INPUT;
	}
	build_option_table(&t, c);
	if (arg_nullcheck(t.entries) != 0) {
		fprintf(err, "agatectl: out of memory\n");
		goto out;
	}
	arg_parse(argc - command_words, argv + command_words, t.entries);
	if (t.help->count > 0) {
		print_help(c, &t, help);
		code = AGB_CTL_OK;
		goto out;
	}
	if (t.end->count > 0) {
		arg_print_errors(err, t.end, "agatectl");
		fprintf(err, "Try: agatectl %s%s --help\n",
		    c->group != NULL ? "env " : "", c->name);
		goto out;
	}
	if (!read_option_table(&t, out, err))
		goto out;
	out->run = c->run;
	code = AGB_CTL_OK;
out:
	arg_freetable(t.entries, ARRAY_LEN(t.entries));
	return code;
}
