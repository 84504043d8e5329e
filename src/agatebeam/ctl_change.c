#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "ctl.h"
#include "jsonc.h"
#include "mem.h"
#include "textdiff.h"

/*
 * struct change - replacement of an environment's document
 * @env: environment to change
 * @current: its document when the command read it
 * @source_env: environment that @new_doc is promoted from; NULL for a put
 * @source_version: version of the document in @source_env
 * @new_doc: the replacement
 * @history_seq: sequence number of the history entry to create
 * @findings: findings about @new_doc
 */
struct change {
	const char *env;
	struct agb_ctl_doc current;
	const char *source_env;
	uint64_t source_version;
	struct agb_ctl_doc new_doc;
	uint64_t history_seq;
	struct agb_findings *findings;
};

/*
 * Finds the history entry whose document was in force at revision @reviewed;
 * the caller frees @out.
 */
static bool
find_reviewed_entry(struct agb_ctl *ctl, const char *env, uint64_t reviewed,
    struct agb_ctl_history_entry *out)
{
	bool found = false;
	uint64_t *seqs;
	size_t len;

	if (agb_ctl_history_list(ctl, env, &seqs, &len) != AGB_CTL_OK)
		return false;
	while (len > 0 && !found) {
		if (agb_ctl_history_read(ctl, env, seqs[--len], out) !=
		    AGB_CTL_OK)
			continue;
		found = out->version <= reviewed;
		if (!found)
			agb_ctl_history_entry_free(out);
	}
	free(seqs);
	return found;
}

/*
 * Reports that @env changed after the operator's review, with a diff from the
 * reviewed document to the current one.
 */
static enum agb_ctl_exit
report_stale_review(struct agb_ctl *ctl, const char *env, uint64_t reviewed)
{
	struct agb_ctl_history_entry old = {0};
	struct json_object *value;
	struct agb_ctl_doc current;
	enum agb_ctl_exit code;
	bool found;
	char *diff = NULL;

	code = agb_ctl_read_env(ctl, env, &current);
	if (code != AGB_CTL_OK)
		return code;
	found = find_reviewed_entry(ctl, env, reviewed, &old);
	if (found)
		diff = agb_textdiff(
		    old.text, old.text_len, current.text, current.text_len);
	if (ctl->json) {
		value = json_object_new_object();
		json_object_object_add(value, "error",
		    json_object_new_string("changed since the review"));
		json_object_object_add(
		    value, "exit", json_object_new_int(AGB_CTL_CONFLICT));
		json_object_object_add(
		    value, "environment", json_object_new_string(env));
		json_object_object_add(
		    value, "reviewed", json_object_new_uint64(reviewed));
		json_object_object_add(
		    value, "version", json_object_new_uint64(current.version));
		json_object_object_add(value, "diff",
		    diff != NULL ? json_object_new_string(diff) : NULL);
		agb_ctl_print_json(ctl, value);
	} else {
		fprintf(ctl->err,
		    "agatectl: environment \"%s\" has changed since the "
		    "review: version %llu is in force, reviewed was %llu; "
		    "nothing was changed\n%s",
		    env, (unsigned long long)current.version,
		    (unsigned long long)reviewed,
		    diff != NULL
			? diff
			: "the reviewed document is not in the history any "
			  "more\n");
	}
	free(diff);
	agb_ctl_history_entry_free(&old);
	agb_ctl_doc_free(&current);
	return AGB_CTL_CONFLICT;
}

static char *
format_history_metadata(const struct agb_ctl *ctl, const struct change *c)
{
	struct json_object *const value = json_object_new_object();
	const time_t now = (time_t)ctl->now_s;
	char when[32], action[AGB_NAME_LEN + 48] = "put";
	struct tm tm;
	char *metadata;

	gmtime_r(&now, &tm);
	strftime(when, sizeof(when), "%Y-%m-%dT%H:%M:%SZ", &tm);
	if (c->source_env != NULL)
		snprintf(action, sizeof(action), "promote %s %llu",
		    c->source_env, (unsigned long long)c->source_version);
	json_object_object_add(
	    value, "id", json_object_new_string(ctl->change_id));
	json_object_object_add(
	    value, "who", json_object_new_string(ctl->operator_name));
	json_object_object_add(value, "when", json_object_new_string(when));
	json_object_object_add(value, "action", json_object_new_string(action));
	metadata = agb_xstrdup(
	    json_object_to_json_string_ext(value, JSON_C_TO_STRING_PLAIN));
	json_object_put(value);
	return metadata;
}

static char *
history_entry_key(const char *env, uint64_t seq)
{
	char name[48];

	snprintf(
	    name, sizeof(name), "env-history/%016llx", (unsigned long long)seq);
	return agb_ctl_store_key(env, name);
}

_Static_assert(
    AGB_ENV_TEXT_MAX + AGB_CTL_HISTORY_METADATA_MAX <= AGB_STORE_VALUE_MAX,
    "a history entry must fit in one value of the store");

/*
 * Builds the transaction that writes the document and its history entry and
 * deletes history entries beyond AGB_CTL_HISTORY_MAX. It fails when the
 * environment or the source environment has changed since it was read.
 */
static void
build_txn(
    const struct agb_ctl *ctl, const struct change *c, struct agb_store_op *op)
{
	char *const env_key = agb_ctl_store_key(c->env, "env");
	char *const entry_key = history_entry_key(c->env, c->history_seq);
	char *const metadata = format_history_metadata(ctl, c);
	char *key, *end, *value;
	size_t metadata_len;

	agb_store_op_init(op, AGB_STORE_TXN);
	agb_store_op_add_cmp(
	    op, env_key, AGB_STORE_CMP_MOD_REV, c->current.version);
	agb_store_op_add_cmp(op, entry_key, AGB_STORE_CMP_CREATE_REV, 0);
	if (c->source_env != NULL) {
		key = agb_ctl_store_key(c->source_env, "env");
		agb_store_op_add_cmp(
		    op, key, AGB_STORE_CMP_MOD_REV, c->source_version);
		free(key);
	}
	agb_store_op_add_put(
	    op, env_key, c->new_doc.text, c->new_doc.text_len, 0);
	metadata_len = strlen(metadata);
	value = agb_xcalloc(metadata_len + 1 + c->new_doc.text_len, 1);
	memcpy(value, metadata, metadata_len);
	value[metadata_len] = '\n';
	memcpy(value + metadata_len + 1, c->new_doc.text, c->new_doc.text_len);
	agb_store_op_add_put(
	    op, entry_key, value, metadata_len + 1 + c->new_doc.text_len, 0);
	free(value);
	if (c->history_seq > AGB_CTL_HISTORY_MAX) {
		key = history_entry_key(c->env, 0);
		end = history_entry_key(
		    c->env, c->history_seq - AGB_CTL_HISTORY_MAX + 1);
		agb_store_op_add_delete(op, key, end);
		free(key);
		free(end);
	}
	free(env_key);
	free(entry_key);
	free(metadata);
}

/*
 * Determines the outcome of a transaction whose reply was lost.
 *
 * The environment is read before the history: if it has changed and the
 * history has no entry of this change, another change was committed first, and
 * this transaction's version comparison can never succeed. While neither has
 * changed, the transaction may still be in flight. It is not sent again,
 * because the second copy could take effect as a second change.
 *
 * Returns AGB_CTL_OK with the new version in @version, AGB_CTL_CONFLICT, or
 * AGB_CTL_UNREACHABLE when the outcome remains unknown.
 */
static enum agb_ctl_exit
verify_txn(struct agb_ctl *ctl, const struct change *c, uint64_t *version)
{
	struct agb_ctl_history_entry entry;
	struct agb_ctl_doc current;
	FILE *const err = ctl->err;
	FILE *const dev_null = fopen("/dev/null", "w");
	const bool json = ctl->json;
	enum agb_ctl_exit code = AGB_CTL_UNREACHABLE;
	bool changed;
	int i;

	/* Failures of individual reads are retried and not reported. */
	if (dev_null != NULL)
		ctl->err = dev_null;
	ctl->json = false;
	for (i = 0; i < AGB_CTL_VERIFY_ATTEMPTS; i++) {
		if (i > 0)
			ctl->io->sleep(ctl->io_arg, AGB_CTL_VERIFY_INTERVAL_MS);
		if (agb_ctl_read_env(ctl, c->env, &current) != AGB_CTL_OK)
			continue;
		changed = current.version != c->current.version;
		agb_ctl_doc_free(&current);
		code =
		    agb_ctl_history_read(ctl, c->env, c->history_seq, &entry);
		if (code == AGB_CTL_OK) {
			*version = entry.version;
			if (strcmp(agb_ctl_history_entry_field(&entry, "id"),
				ctl->change_id) != 0)
				code = AGB_CTL_CONFLICT;
			agb_ctl_history_entry_free(&entry);
			break;
		}
		if (code == AGB_CTL_FAILED && changed) {
			code = AGB_CTL_CONFLICT;
			break;
		}
		code = AGB_CTL_UNREACHABLE;
	}
	ctl->err = err;
	ctl->json = json;
	if (dev_null != NULL)
		fclose(dev_null);
	return code;
}

static enum agb_ctl_exit
report_accepted(struct agb_ctl *ctl, const struct change *c, uint64_t version)
{
	struct json_object *value;

	if (!ctl->json) {
		fprintf(ctl->out, "%s: version %llu is accepted\n", c->env,
		    (unsigned long long)version);
		return AGB_CTL_OK;
	}
	value = agb_ctl_env_to_json(c->env, version);
	json_object_object_add(
	    value, "id", json_object_new_string(ctl->change_id));
	json_object_object_add(
	    value, "findings", agb_ctl_findings_to_json(c->findings));
	agb_ctl_print_json(ctl, value);
	return AGB_CTL_OK;
}

/*
 * Reports why a transaction's version comparison failed: a change of the source
 * environment, or else of the target.
 */
static enum agb_ctl_exit
report_txn_conflict(struct agb_ctl *ctl, const struct change *c)
{
	struct agb_ctl_doc source;
	enum agb_ctl_exit code;
	bool changed;

	if (c->source_env == NULL)
		return report_stale_review(ctl, c->env, c->current.version);
	code = agb_ctl_read_env(ctl, c->source_env, &source);
	if (code != AGB_CTL_OK)
		return code;
	changed = source.version != c->source_version;
	agb_ctl_doc_free(&source);
	return changed
	    ? report_stale_review(ctl, c->source_env, c->source_version)
	    : report_stale_review(ctl, c->env, c->current.version);
}

static enum agb_ctl_exit
commit_change(struct agb_ctl *ctl, struct change *c)
{
	const struct agb_store_result *res;
	enum agb_ctl_exit code;
	struct agb_store_op op;
	uint64_t version, *seqs;
	size_t len;

	code = agb_ctl_history_list(ctl, c->env, &seqs, &len);
	if (code != AGB_CTL_OK)
		return code;
	c->history_seq = len > 0 ? seqs[len - 1] + 1 : 1;
	free(seqs);
	build_txn(ctl, c, &op);
	res = agb_ctl_store_call(ctl, &op);
	if (res->status == AGB_STORE_OK && res->succeeded)
		return report_accepted(ctl, c, res->revision);
	if (res->status == AGB_STORE_OK)
		return report_txn_conflict(ctl, c);
	if (res->status == AGB_STORE_REFUSED)
		return agb_ctl_fail(ctl, AGB_CTL_UNREACHABLE,
		    "the store refused the change; nothing was changed");
	code = verify_txn(ctl, c, &version);
	if (code == AGB_CTL_OK)
		return report_accepted(ctl, c, version);
	if (code == AGB_CTL_CONFLICT)
		return report_txn_conflict(ctl, c);
	return agb_ctl_fail(ctl, AGB_CTL_UNREACHABLE,
	    "the store did not answer; the change may have taken effect. It "
	    "has if \"env history %s --json\" shows id %s",
	    c->env, ctl->change_id);
}

/*
 * Parses the new document and rejects one for another deployment than that of
 * the current document, unless --rename allows it.
 */
static enum agb_ctl_exit
validate_change(struct agb_ctl *ctl, const struct agb_ctl_args *args,
    const char *name, struct change *c)
{
	struct agb_findings *const f = agb_xcalloc(1, sizeof(*f));
	struct agb_env *env = NULL, *now = NULL;
	struct json_object *value;
	enum agb_ctl_exit code;

	code = agb_ctl_check_doc(ctl, name, &c->new_doc, &env, c->findings);
	if (code != AGB_CTL_OK) {
		if (ctl->json) {
			value = json_object_new_object();
			json_object_object_add(value, "error",
			    json_object_new_string("document refused"));
			json_object_object_add(
			    value, "exit", json_object_new_int(code));
			json_object_object_add(value, "findings",
			    agb_ctl_findings_to_json(c->findings));
			agb_ctl_print_json(ctl, value);
		}
		goto out;
	}
	if (c->current.version == 0 || args->allow_rename)
		goto out;
	if (agb_env_parse(c->current.text, c->current.text_len, 1, &now, f) &&
	    strcmp(now->name, env->name) != 0)
		code = agb_ctl_fail(ctl, AGB_CTL_BAD_INPUT,
		    "%s is for \"%s\", but environment \"%s\" has a document "
		    "for \"%s\"; give --rename if this is meant",
		    name, env->name, c->env, now->name);
out:
	agb_env_free(env);
	agb_env_free(now);
	free(f);
	return code;
}

/*
 * Commits a change unless the current document or the promoted one has changed
 * since revision @reviewed.
 */
static enum agb_ctl_exit
commit_reviewed_change(struct agb_ctl *ctl, uint64_t reviewed, struct change *c)
{
	if (reviewed > c->current.revision)
		return agb_ctl_fail(ctl, AGB_CTL_BAD_INPUT,
		    "--reviewed %llu is no revision yet; the store is at %llu",
		    (unsigned long long)reviewed,
		    (unsigned long long)c->current.revision);
	if (c->source_env != NULL && c->source_version > reviewed)
		return report_stale_review(ctl, c->source_env, reviewed);
	if (c->current.version > reviewed)
		return report_stale_review(ctl, c->env, reviewed);
	return commit_change(ctl, c);
}

static void
change_free(struct change *c)
{
	agb_ctl_doc_free(&c->current);
	agb_ctl_doc_free(&c->new_doc);
	free(c->findings);
}

enum agb_ctl_exit
agb_ctl_env_put(struct agb_ctl *ctl, const struct agb_ctl_args *args)
{
	struct change c = {.env = args->env};
	enum agb_ctl_exit code;

	c.findings = agb_xcalloc(1, sizeof(*c.findings));
	code = agb_ctl_read_file(ctl, args->operand, &c.new_doc);
	if (code != AGB_CTL_OK)
		goto out;
	code = agb_ctl_read_env(ctl, args->env, &c.current);
	if (code != AGB_CTL_OK)
		goto out;
	code = validate_change(ctl, args, args->operand, &c);
	if (code != AGB_CTL_OK)
		goto out;
	if (!args->has_reviewed_revision && c.current.version > 0)
		code = agb_ctl_fail(ctl, AGB_CTL_BAD_INPUT,
		    "environment \"%s\" has version %llu; see \"env diff %s "
		    "%s\" and give --reviewed with the number it prints",
		    args->env, (unsigned long long)c.current.version, args->env,
		    args->operand);
	else
		code = commit_reviewed_change(ctl, args->reviewed_revision, &c);
out:
	change_free(&c);
	return code;
}

enum agb_ctl_exit
agb_ctl_env_promote(struct agb_ctl *ctl, const struct agb_ctl_args *args)
{
	struct change c = {.env = args->operand, .source_env = args->env};
	enum agb_ctl_exit code;

	if (strcmp(args->env, args->operand) == 0)
		return agb_ctl_fail(ctl, AGB_CTL_BAD_INPUT,
		    "the two environments are the same");
	c.findings = agb_xcalloc(1, sizeof(*c.findings));
	code = agb_ctl_read_env(ctl, args->env, &c.new_doc);
	if (code != AGB_CTL_OK)
		goto out;
	c.source_version = c.new_doc.version;
	code = agb_ctl_read_env(ctl, args->operand, &c.current);
	if (code != AGB_CTL_OK)
		goto out;
	if (c.source_version == 0) {
		code = agb_ctl_fail(ctl, AGB_CTL_BAD_INPUT,
		    "environment \"%s\" has no document", args->env);
		goto out;
	}
	code = validate_change(ctl, args, args->env, &c);
	if (code != AGB_CTL_OK)
		goto out;
	code = commit_reviewed_change(ctl, args->reviewed_revision, &c);
out:
	change_free(&c);
	return code;
}
