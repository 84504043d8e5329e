#include <stdlib.h>
#include <string.h>

#include "ctl.h"
#include "jsonc.h"
#include "mem.h"
#include "textdiff.h"

/*
 * Prints a string from the store with control characters replaced by '?', so
 * that it cannot send escape sequences to the terminal.
 */
static void
print_sanitized(FILE *f, const char *s)
{
	for (; *s != '\0'; s++)
		putc((unsigned char)*s >= ' ' && *s != 0x7f ? *s : '?', f);
}

static struct json_object *
json_string(const char *s, size_t len)
{
	return json_object_new_string_len(s, (int)len);
}

enum agb_ctl_exit
agb_ctl_env_check(struct agb_ctl *ctl, const struct agb_ctl_args *args)
{
	struct agb_findings *const f = agb_xcalloc(1, sizeof(*f));
	struct json_object *value;
	struct agb_env *env = NULL;
	struct agb_ctl_doc doc;
	enum agb_ctl_exit code;

	code = agb_ctl_read_file(ctl, args->operand, &doc);
	if (code != AGB_CTL_OK)
		goto out;
	code = agb_ctl_check_doc(ctl, args->operand, &doc, &env, f);
	if (ctl->json) {
		value = json_object_new_object();
		json_object_object_add(
		    value, "file", json_object_new_string(args->operand));
		json_object_object_add(
		    value, "ok", json_object_new_boolean(env != NULL));
		json_object_object_add(
		    value, "errors", json_object_new_int64((int64_t)f->errors));
		json_object_object_add(
		    value, "findings", agb_ctl_findings_to_json(f));
		agb_ctl_print_json(ctl, value);
	} else if (env != NULL) {
		fprintf(ctl->out,
		    "%s: usable: %u regions, %u domains, %u teams, %u "
		    "classes, %u kinds of work\n",
		    args->operand, env->regions_len, env->domains_len,
		    env->teams_len, env->classes_len, env->works_len);
	} else {
		fprintf(ctl->err, "%s: refused: %zu errors\n", args->operand,
		    f->errors);
	}
out:
	agb_env_free(env);
	agb_ctl_doc_free(&doc);
	free(f);
	return code;
}

enum agb_ctl_exit
agb_ctl_env_show(struct agb_ctl *ctl, const struct agb_ctl_args *args)
{
	struct json_object *value;
	struct agb_ctl_doc doc;
	enum agb_ctl_exit code;

	code = agb_ctl_read_env(ctl, args->env, &doc);
	if (code != AGB_CTL_OK)
		return code;
	if (doc.version == 0) {
		code = agb_ctl_fail(ctl, AGB_CTL_FAILED,
		    "environment \"%s\" has no document", args->env);
	} else if (ctl->json) {
		value = agb_ctl_env_to_json(args->env, doc.version);
		json_object_object_add(
		    value, "revision", json_object_new_uint64(doc.revision));
		json_object_object_add(
		    value, "text", json_string(doc.text, doc.text_len));
		agb_ctl_print_json(ctl, value);
	} else {
		/* stdout gets only the document, for redirection to a file. */
		fprintf(ctl->err, "%s: version %llu, reviewed %llu\n",
		    args->env, (unsigned long long)doc.version,
		    (unsigned long long)doc.revision);
		fwrite(doc.text, 1, doc.text_len, ctl->out);
	}
	agb_ctl_doc_free(&doc);
	return code;
}

/*
 * Tells whether @s is an environment name. Where a file is accepted as well,
 * any other string is its path; a file that is named like an environment needs
 * a leading "./".
 */
static bool
is_env_name(const char *s)
{
	return agb_jsonc_name_valid(s);
}

enum agb_ctl_exit
agb_ctl_env_diff(struct agb_ctl *ctl, const struct agb_ctl_args *args)
{
	struct json_object *value;
	struct agb_ctl_doc a, b = {0};
	enum agb_ctl_exit code;
	uint64_t reviewed;
	char *diff;

	code = agb_ctl_read_env(ctl, args->env, &a);
	if (code != AGB_CTL_OK)
		return code;
	code = is_env_name(args->operand)
	    ? agb_ctl_read_env(ctl, args->operand, &b)
	    : agb_ctl_read_file(ctl, args->operand, &b);
	if (code != AGB_CTL_OK)
		goto out;
	/*
	 * The revision of the first read: a change between the two reads then
	 * counts as not reviewed.
	 */
	reviewed = a.revision;
	diff = agb_textdiff(a.text, a.text_len, b.text, b.text_len);
	if (ctl->json) {
		value = agb_ctl_env_to_json(args->env, a.version);
		json_object_object_add(
		    value, "other", json_object_new_string(args->operand));
		if (b.version > 0)
			json_object_object_add(value, "other_version",
			    json_object_new_uint64(b.version));
		json_object_object_add(
		    value, "reviewed", json_object_new_uint64(reviewed));
		json_object_object_add(
		    value, "same", json_object_new_boolean(diff[0] == '\0'));
		json_object_object_add(
		    value, "diff", json_object_new_string(diff));
		agb_ctl_print_json(ctl, value);
	} else {
		fprintf(ctl->out, "--- %s (version %llu)\n+++ %s\n%s",
		    args->env, (unsigned long long)a.version, args->operand,
		    diff[0] != '\0' ? diff : "no difference\n");
		fprintf(
		    ctl->err, "reviewed %llu\n", (unsigned long long)reviewed);
	}
	free(diff);
out:
	agb_ctl_doc_free(&a);
	agb_ctl_doc_free(&b);
	return code;
}

/* Prints an entry as a line of text or, with --json, appends it to @list. */
static void
print_history_entry(struct agb_ctl *ctl, const struct agb_ctl_history_entry *e,
    struct json_object *list)
{
	static const char *const fields[] = {"when", "who", "action", "id"};
	struct json_object *value;
	size_t i;

	if (list == NULL) {
		fprintf(ctl->out, "%llu", (unsigned long long)e->version);
		for (i = 0; i < 3; i++) {
			putc('\t', ctl->out);
			print_sanitized(ctl->out,
			    agb_ctl_history_entry_field(e, fields[i]));
		}
		putc('\n', ctl->out);
		return;
	}
	value = json_object_new_object();
	json_object_object_add(
	    value, "version", json_object_new_uint64(e->version));
	json_object_object_add(value, "seq", json_object_new_uint64(e->seq));
	for (i = 0; i < sizeof(fields) / sizeof(fields[0]); i++)
		json_object_object_add(value, fields[i],
		    json_object_new_string(
			agb_ctl_history_entry_field(e, fields[i])));
	json_object_object_add(
	    value, "text", json_string(e->text, e->text_len));
	json_object_array_add(list, value);
}

enum agb_ctl_exit
agb_ctl_env_history(struct agb_ctl *ctl, const struct agb_ctl_args *args)
{
	struct json_object *list = NULL;
	struct agb_ctl_history_entry e;
	enum agb_ctl_exit code;
	uint64_t *seqs;
	size_t len, i;

	if (!is_env_name(args->env))
		return agb_ctl_fail(ctl, AGB_CTL_BAD_INPUT,
		    "environment names have a-z, 0-9 and inner hyphens");
	code = agb_ctl_history_list(ctl, args->env, &seqs, &len);
	if (code != AGB_CTL_OK)
		return code;
	if (ctl->json)
		list = json_object_new_array();
	for (i = len; i > 0 && code == AGB_CTL_OK; i--) {
		code = agb_ctl_history_read(ctl, args->env, seqs[i - 1], &e);
		if (code == AGB_CTL_FAILED) {
			/* Deleted by a concurrent change after the listing. */
			code = AGB_CTL_OK;
			continue;
		}
		if (code == AGB_CTL_OK)
			print_history_entry(ctl, &e, list);
		agb_ctl_history_entry_free(&e);
	}
	if (list != NULL && code == AGB_CTL_OK)
		agb_ctl_print_json(ctl, list);
	else
		json_object_put(list);
	free(seqs);
	return code;
}
