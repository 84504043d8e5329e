#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "ctl.h"
#include "jsonc.h"
#include "mem.h"
#include "textdiff.h"

/*
 * struct change - a new document on its way to an environment
 * @now: the document in force
 * @from: environment that it is promoted from, or NULL
 * @from_version: its version there
 * @next: the new document
 * @seq: number of its entry in the history
 */
struct change {
	const char *env;
	struct agb_ctl_doc now;
	const char *from;
	uint64_t from_version;
	struct agb_ctl_doc next;
	uint64_t seq;
	struct agb_findings *findings;
};

/* The document that was in force at a revision, from the history. */
static bool
find_reviewed(struct agb_ctl *ctl, const char *env, uint64_t reviewed,
    struct agb_ctl_entry *out)
{
	bool found = false;
	uint64_t *seqs;
	size_t len;

	if (agb_ctl_history_seqs(ctl, env, &seqs, &len) != AGB_CTL_DONE)
		return false;
	while (len > 0 && !found) {
		if (agb_ctl_history_read(ctl, env, seqs[--len], out) !=
		    AGB_CTL_DONE)
			continue;
		found = out->version <= reviewed;
		if (!found)
			agb_ctl_entry_free(out);
	}
	free(seqs);
	return found;
}

/*
 * Tells an operator whose review is out of date what has changed since.
 */
static enum agb_ctl_exit
tell_race(struct agb_ctl *ctl, const char *env, uint64_t reviewed)
{
	struct agb_ctl_entry old = {0};
	struct json_object *value;
	struct agb_ctl_doc now;
	enum agb_ctl_exit code;
	bool found;
	char *diff = NULL;

	code = agb_ctl_read(ctl, env, &now);
	if (code != AGB_CTL_DONE)
		return code;
	found = find_reviewed(ctl, env, reviewed, &old);
	if (found)
		diff = agb_textdiff(
		    old.text, old.text_len, now.text, now.text_len);
	if (ctl->json) {
		value = json_object_new_object();
		json_object_object_add(value, "error",
		    json_object_new_string("changed since the review"));
		json_object_object_add(
		    value, "exit", json_object_new_int(AGB_CTL_RACE));
		json_object_object_add(
		    value, "environment", json_object_new_string(env));
		json_object_object_add(
		    value, "reviewed", json_object_new_uint64(reviewed));
		json_object_object_add(
		    value, "version", json_object_new_uint64(now.version));
		json_object_object_add(value, "diff",
		    diff != NULL ? json_object_new_string(diff) : NULL);
		agb_ctl_print(ctl, value);
	} else {
		fprintf(ctl->err,
		    "agatectl: environment \"%s\" has changed since the "
		    "review: version %llu is in force, reviewed was %llu; "
		    "nothing was changed\n%s",
		    env, (unsigned long long)now.version,
		    (unsigned long long)reviewed,
		    diff != NULL
			? diff
			: "the reviewed document is not in the history any "
			  "more\n");
	}
	free(diff);
	agb_ctl_entry_free(&old);
	agb_ctl_doc_free(&now);
	return AGB_CTL_RACE;
}

static char *
make_head(const struct agb_ctl *ctl, const struct change *c)
{
	struct json_object *const value = json_object_new_object();
	const time_t now = (time_t)ctl->now_s;
	char when[32], action[AGB_NAME_LEN + 48] = "put";
	struct tm tm;
	char *head;

	gmtime_r(&now, &tm);
	strftime(when, sizeof(when), "%Y-%m-%dT%H:%M:%SZ", &tm);
	if (c->from != NULL)
		snprintf(action, sizeof(action), "promote %s %llu", c->from,
		    (unsigned long long)c->from_version);
	json_object_object_add(value, "id", json_object_new_string(ctl->id));
	json_object_object_add(value, "who", json_object_new_string(ctl->who));
	json_object_object_add(value, "when", json_object_new_string(when));
	json_object_object_add(value, "action", json_object_new_string(action));
	head = agb_xstrdup(
	    json_object_to_json_string_ext(value, JSON_C_TO_STRING_PLAIN));
	json_object_put(value);
	return head;
}

static char *
history_key(const char *env, uint64_t seq)
{
	char name[48];

	snprintf(
	    name, sizeof(name), "env-history/%016llx", (unsigned long long)seq);
	return agb_ctl_key(env, name);
}

_Static_assert(AGB_ENV_TEXT_MAX + AGB_CTL_HEAD_MAX <= AGB_STORE_VALUE_MAX,
    "a history entry fits one value of the store");

/* One transaction: document and history entry, or neither. */
static void
make_txn(
    const struct agb_ctl *ctl, const struct change *c, struct agb_store_op *op)
{
	char *const env_key = agb_ctl_key(c->env, "env");
	char *const entry_key = history_key(c->env, c->seq);
	char *const head = make_head(ctl, c);
	char *key, *end, *value;
	size_t head_len;

	agb_store_op_init(op, AGB_STORE_TXN);
	agb_store_op_add_cmp(
	    op, env_key, AGB_STORE_CMP_MOD_REV, c->now.version);
	agb_store_op_add_cmp(op, entry_key, AGB_STORE_CMP_CREATE_REV, 0);
	if (c->from != NULL) {
		key = agb_ctl_key(c->from, "env");
		agb_store_op_add_cmp(
		    op, key, AGB_STORE_CMP_MOD_REV, c->from_version);
		free(key);
	}
	agb_store_op_add_put(op, env_key, c->next.text, c->next.text_len, 0);
	head_len = strlen(head);
	value = agb_xcalloc(head_len + 1 + c->next.text_len, 1);
	memcpy(value, head, head_len);
	value[head_len] = '\n';
	memcpy(value + head_len + 1, c->next.text, c->next.text_len);
	agb_store_op_add_put(
	    op, entry_key, value, head_len + 1 + c->next.text_len, 0);
	free(value);
	if (c->seq > AGB_CTL_HISTORY_MAX) {
		key = history_key(c->env, 0);
		end = history_key(c->env, c->seq - AGB_CTL_HISTORY_MAX + 1);
		agb_store_op_add_delete(op, key, end);
		free(key);
		free(end);
	}
	free(env_key);
	free(entry_key);
	free(head);
}

/*
 * Finds out what became of a transaction whose answer was lost.
 *
 * The environment is read before the history: when it has changed and the
 * entry of this change is not there, another change has won, and the
 * comparison keeps this one out for ever. While neither has changed, the
 * transaction may still be on its way; a second write could then become a
 * second change, so that there is none.
 */
static enum agb_ctl_exit
read_back(struct agb_ctl *ctl, const struct change *c, uint64_t *version)
{
	struct agb_ctl_entry e;
	struct agb_ctl_doc now;
	FILE *const err = ctl->err;
	FILE *const quiet = fopen("/dev/null", "w");
	const bool json = ctl->json;
	enum agb_ctl_exit code = AGB_CTL_UNREACHABLE;
	bool changed;
	int i;

	/* Failures of single reads are not worth a message each. */
	if (quiet != NULL)
		ctl->err = quiet;
	ctl->json = false;
	for (i = 0; i < AGB_CTL_READ_BACK_MAX; i++) {
		if (i > 0)
			ctl->io->pause(ctl->io_arg, AGB_CTL_READ_BACK_MS);
		if (agb_ctl_read(ctl, c->env, &now) != AGB_CTL_DONE)
			continue;
		changed = now.version != c->now.version;
		agb_ctl_doc_free(&now);
		code = agb_ctl_history_read(ctl, c->env, c->seq, &e);
		if (code == AGB_CTL_DONE) {
			*version = e.version;
			if (strcmp(agb_ctl_entry_field(&e, "id"), ctl->id) != 0)
				code = AGB_CTL_RACE;
			agb_ctl_entry_free(&e);
			break;
		}
		if (code == AGB_CTL_FAILED && changed) {
			code = AGB_CTL_RACE;
			break;
		}
		code = AGB_CTL_UNREACHABLE;
	}
	ctl->err = err;
	ctl->json = json;
	if (quiet != NULL)
		fclose(quiet);
	return code;
}

static enum agb_ctl_exit
tell_done(struct agb_ctl *ctl, const struct change *c, uint64_t version)
{
	struct json_object *value;

	if (!ctl->json) {
		fprintf(ctl->out, "%s: version %llu is accepted\n", c->env,
		    (unsigned long long)version);
		return AGB_CTL_DONE;
	}
	value = json_object_new_object();
	json_object_object_add(
	    value, "environment", json_object_new_string(c->env));
	json_object_object_add(
	    value, "version", json_object_new_uint64(version));
	json_object_object_add(value, "id", json_object_new_string(ctl->id));
	json_object_object_add(
	    value, "findings", agb_ctl_findings_json(c->findings));
	agb_ctl_print(ctl, value);
	return AGB_CTL_DONE;
}

static enum agb_ctl_exit
lost_race(struct agb_ctl *ctl, const struct change *c)
{
	struct agb_ctl_doc from;
	enum agb_ctl_exit code;
	bool changed;

	if (c->from == NULL)
		return tell_race(ctl, c->env, c->now.version);
	code = agb_ctl_read(ctl, c->from, &from);
	if (code != AGB_CTL_DONE)
		return code;
	changed = from.version != c->from_version;
	agb_ctl_doc_free(&from);
	return changed ? tell_race(ctl, c->from, c->from_version)
		       : tell_race(ctl, c->env, c->now.version);
}

static enum agb_ctl_exit
write_change(struct agb_ctl *ctl, struct change *c)
{
	const struct agb_store_result *res;
	enum agb_ctl_exit code;
	struct agb_store_op op;
	uint64_t version, *seqs;
	size_t len;

	code = agb_ctl_history_seqs(ctl, c->env, &seqs, &len);
	if (code != AGB_CTL_DONE)
		return code;
	c->seq = len > 0 ? seqs[len - 1] + 1 : 1;
	free(seqs);
	make_txn(ctl, c, &op);
	res = agb_ctl_call(ctl, &op);
	if (res->status == AGB_STORE_OK && res->succeeded)
		return tell_done(ctl, c, res->revision);
	if (res->status == AGB_STORE_OK)
		return lost_race(ctl, c);
	if (res->status == AGB_STORE_REFUSED)
		return agb_ctl_fail(ctl, AGB_CTL_UNREACHABLE,
		    "the store refused the change; nothing was changed");
	code = read_back(ctl, c, &version);
	if (code == AGB_CTL_DONE)
		return tell_done(ctl, c, version);
	if (code == AGB_CTL_RACE)
		return lost_race(ctl, c);
	return agb_ctl_fail(ctl, AGB_CTL_UNREACHABLE,
	    "the store did not answer; the change may have taken effect. It "
	    "has if \"env history %s --json\" shows id %s",
	    c->env, ctl->id);
}

/* Checks the document against the one in force and the operator's review. */
static enum agb_ctl_exit
check_change(struct agb_ctl *ctl, const struct agb_ctl_args *args,
    const char *name, struct change *c)
{
	struct agb_findings *const f = agb_xcalloc(1, sizeof(*f));
	struct agb_env *env = NULL, *now = NULL;
	struct json_object *value;
	enum agb_ctl_exit code;

	code = agb_ctl_check(ctl, name, &c->next, &env, c->findings);
	if (code != AGB_CTL_DONE) {
		if (ctl->json) {
			value = json_object_new_object();
			json_object_object_add(value, "error",
			    json_object_new_string("document refused"));
			json_object_object_add(
			    value, "exit", json_object_new_int(code));
			json_object_object_add(value, "findings",
			    agb_ctl_findings_json(c->findings));
			agb_ctl_print(ctl, value);
		}
		goto out;
	}
	if (c->now.version == 0 || args->rename)
		goto out;
	if (agb_env_parse(c->now.text, c->now.text_len, 1, &now, f) &&
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

/* Writes a change unless a document it rests on is newer than the review. */
static enum agb_ctl_exit
write_reviewed(struct agb_ctl *ctl, uint64_t reviewed, struct change *c)
{
	if (reviewed > c->now.revision)
		return agb_ctl_fail(ctl, AGB_CTL_BAD_INPUT,
		    "--reviewed %llu is no revision yet; the store is at %llu",
		    (unsigned long long)reviewed,
		    (unsigned long long)c->now.revision);
	if (c->from != NULL && c->from_version > reviewed)
		return tell_race(ctl, c->from, reviewed);
	if (c->now.version > reviewed)
		return tell_race(ctl, c->env, reviewed);
	return write_change(ctl, c);
}

static void
change_free(struct change *c)
{
	agb_ctl_doc_free(&c->now);
	agb_ctl_doc_free(&c->next);
	free(c->findings);
}

enum agb_ctl_exit
agb_ctl_env_put(struct agb_ctl *ctl, const struct agb_ctl_args *args)
{
	struct change c = {.env = args->env};
	enum agb_ctl_exit code;

	c.findings = agb_xcalloc(1, sizeof(*c.findings));
	code = agb_ctl_read_file(ctl, args->other, &c.next);
	if (code != AGB_CTL_DONE)
		goto out;
	code = agb_ctl_read(ctl, args->env, &c.now);
	if (code != AGB_CTL_DONE)
		goto out;
	code = check_change(ctl, args, args->other, &c);
	if (code != AGB_CTL_DONE)
		goto out;
	if (!args->has_reviewed && c.now.version > 0)
		code = agb_ctl_fail(ctl, AGB_CTL_BAD_INPUT,
		    "environment \"%s\" has version %llu; see \"env diff %s "
		    "%s\" and give --reviewed with the number it prints",
		    args->env, (unsigned long long)c.now.version, args->env,
		    args->other);
	else
		code = write_reviewed(ctl, args->reviewed, &c);
out:
	change_free(&c);
	return code;
}

enum agb_ctl_exit
agb_ctl_env_promote(struct agb_ctl *ctl, const struct agb_ctl_args *args)
{
	struct change c = {.env = args->other, .from = args->env};
	enum agb_ctl_exit code;

	if (strcmp(args->env, args->other) == 0)
		return agb_ctl_fail(ctl, AGB_CTL_BAD_INPUT,
		    "the two environments are the same");
	c.findings = agb_xcalloc(1, sizeof(*c.findings));
	code = agb_ctl_read(ctl, args->env, &c.next);
	if (code != AGB_CTL_DONE)
		goto out;
	c.from_version = c.next.version;
	code = agb_ctl_read(ctl, args->other, &c.now);
	if (code != AGB_CTL_DONE)
		goto out;
	if (c.from_version == 0) {
		code = agb_ctl_fail(ctl, AGB_CTL_BAD_INPUT,
		    "environment \"%s\" has no document", args->env);
		goto out;
	}
	code = check_change(ctl, args, args->env, &c);
	if (code != AGB_CTL_DONE)
		goto out;
	code = write_reviewed(ctl, args->reviewed, &c);
out:
	change_free(&c);
	return code;
}
