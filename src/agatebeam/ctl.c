#include "ctl.h"

#include <errno.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

#include "jsonc.h"
#include "mem.h"

static void
on_store_result(void *arg, uint64_t tag, struct agb_store_result *res)
{
	struct agb_ctl *const ctl = arg;

	agb_store_result_free(&ctl->store_result);
	ctl->store_result = *res;
	/* @ctl now owns the result; the client frees an empty one. */
	memset(res, 0, sizeof(*res));
	ctl->store_answered = true;
	(void)tag;
}

void
agb_ctl_init(struct agb_ctl *ctl)
{
	if (ctl->store == NULL)
		return;
	ctl->store->cb = on_store_result;
	ctl->store->watch_cb = NULL;
	ctl->store->arg = ctl;
}

void
agb_ctl_cleanup(struct agb_ctl *ctl)
{
	agb_store_result_free(&ctl->store_result);
}

void
agb_ctl_print_json(struct agb_ctl *ctl, struct json_object *value)
{
	fprintf(ctl->out, "%s\n",
	    json_object_to_json_string_ext(value,
		JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE));
	json_object_put(value);
}

enum agb_ctl_exit
agb_ctl_fail(struct agb_ctl *ctl, enum agb_ctl_exit code, const char *fmt, ...)
{
	struct json_object *value;
	char text[512];
	va_list ap;

	va_start(ap, fmt);
	vsnprintf(text, sizeof(text), fmt, ap);
	va_end(ap);
	if (!ctl->json) {
		fprintf(ctl->err, "agatectl: %s\n", text);
		return code;
	}
	value = json_object_new_object();
	json_object_object_add(value, "error", json_object_new_string(text));
	json_object_object_add(value, "exit", json_object_new_int(code));
	agb_ctl_print_json(ctl, value);
	return code;
}

const struct agb_store_result *
agb_ctl_store_call(struct agb_ctl *ctl, struct agb_store_op *op)
{
	agb_store_result_free(&ctl->store_result);
	if (ctl->store == NULL) {
		agb_store_op_free(op);
		ctl->store_result.status = AGB_STORE_REFUSED;
		return &ctl->store_result;
	}
	ctl->store_answered = false;
	ctl->store->ops->call(ctl->store, 1, op, AGB_CTL_CALL_TIMEOUT_MS);
	while (!ctl->store_answered)
		ctl->io->run_once(ctl->io_arg);
	return &ctl->store_result;
}

char *
agb_ctl_store_key(const char *env, const char *name)
{
	return agb_xasprintf("agatebeam/%s/%s", env, name);
}

static enum agb_ctl_exit
report_no_store_answer(struct agb_ctl *ctl)
{
	if (ctl->store == NULL)
		return agb_ctl_fail(ctl, AGB_CTL_BAD_INPUT,
		    "this command needs --store ADDRESS:PORT");
	return agb_ctl_fail(ctl, AGB_CTL_UNREACHABLE,
	    "the store does not answer; nothing was changed");
}

/* Reads the key @name of an environment. */
static const struct agb_store_result *
read_key(struct agb_ctl *ctl, const char *env, const char *name)
{
	char *const key = agb_ctl_store_key(env, name);
	struct agb_store_op op;

	agb_store_op_init_range(&op, key, NULL, 1);
	free(key);
	return agb_ctl_store_call(ctl, &op);
}

enum agb_ctl_exit
agb_ctl_read_env(struct agb_ctl *ctl, const char *env, struct agb_ctl_doc *out)
{
	const struct agb_store_result *res;

	memset(out, 0, sizeof(*out));
	if (!agb_jsonc_name_valid(env) || strlen(env) >= AGB_NAME_LEN)
		return agb_ctl_fail(ctl, AGB_CTL_BAD_INPUT,
		    "environment names have a-z, 0-9 and inner hyphens");
	res = read_key(ctl, env, "env");
	if (res->status != AGB_STORE_OK)
		return report_no_store_answer(ctl);
	out->revision = res->revision;
	if (res->kvs_len == 0) {
		out->text = agb_xstrdup("");
		return AGB_CTL_OK;
	}
	out->version = res->kvs[0].mod_rev;
	out->text_len = res->kvs[0].val_len;
	out->text = agb_xmemdup(res->kvs[0].val, out->text_len);
	return AGB_CTL_OK;
}

enum agb_ctl_exit
agb_ctl_read_file(
    struct agb_ctl *ctl, const char *path, struct agb_ctl_doc *out)
{
	const bool is_stdin = strcmp(path, "-") == 0;
	FILE *const f = is_stdin ? stdin : fopen(path, "r");
	bool failed;

	memset(out, 0, sizeof(*out));
	if (f == NULL)
		return agb_ctl_fail(
		    ctl, AGB_CTL_BAD_INPUT, "%s: %s", path, strerror(errno));
	/* One byte beyond the limit, so that the parser detects it. */
	out->text = agb_xcalloc(AGB_ENV_TEXT_MAX + 2, 1);
	out->text_len = fread(out->text, 1, AGB_ENV_TEXT_MAX + 1, f);
	failed = ferror(f) != 0;
	if (!is_stdin)
		fclose(f);
	if (!failed)
		return AGB_CTL_OK;
	agb_ctl_doc_free(out);
	return agb_ctl_fail(ctl, AGB_CTL_BAD_INPUT, "%s: cannot be read", path);
}

void
agb_ctl_doc_free(struct agb_ctl_doc *doc)
{
	free(doc->text);
	memset(doc, 0, sizeof(*doc));
}

enum agb_ctl_exit
agb_ctl_check_doc(struct agb_ctl *ctl, const char *name,
    const struct agb_ctl_doc *doc, struct agb_env **out,
    struct agb_findings *findings)
{
	const size_t size = (size_t)(AGB_FINDINGS_MAX + 1) * 512;
	bool ok;
	char *text;

	memset(findings, 0, sizeof(*findings));
	ok = agb_env_parse(
	    doc->text, doc->text_len, doc->version, out, findings);
	if (!ctl->json && findings->len > 0) {
		text = agb_xcalloc(size, 1);
		agb_findings_format(findings, name, text, size);
		fputs(text, ctl->err);
		free(text);
	}
	return ok ? AGB_CTL_OK : AGB_CTL_BAD_INPUT;
}

struct json_object *
agb_ctl_findings_to_json(const struct agb_findings *findings)
{
	struct json_object *const list = json_object_new_array();
	const struct agb_finding *it;
	struct json_object *value;
	size_t i;

	for (i = 0; i < findings->len; i++) {
		it = &findings->items[i];
		value = json_object_new_object();
		json_object_object_add(value, "level",
		    json_object_new_string(
			it->level == AGB_FINDING_ERROR ? "error" : "warning"));
		json_object_object_add(
		    value, "place", json_object_new_string(it->location));
		json_object_object_add(
		    value, "text", json_object_new_string(it->text));
		json_object_array_add(list, value);
	}
	return list;
}

struct json_object *
agb_ctl_env_to_json(const char *env, uint64_t version)
{
	struct json_object *const value = json_object_new_object();

	json_object_object_add(
	    value, "environment", json_object_new_string(env));
	json_object_object_add(
	    value, "version", json_object_new_uint64(version));
	return value;
}

enum agb_ctl_exit
agb_ctl_history_list(
    struct agb_ctl *ctl, const char *env, uint64_t **seqs, size_t *len)
{
	char *const prefix = agb_ctl_store_key(env, "env-history/");
	char *const end = agb_store_prefix_end(prefix);
	const size_t prefix_len = strlen(prefix);
	const struct agb_store_result *res;
	struct agb_store_op op;
	size_t i;

	*seqs = NULL;
	*len = 0;
	agb_store_op_init_range(&op, prefix, end, 0);
	op.keys_only = true;
	free(prefix);
	free(end);
	res = agb_ctl_store_call(ctl, &op);
	if (res->status != AGB_STORE_OK)
		return report_no_store_answer(ctl);
	*seqs = agb_xcalloc(res->kvs_len, sizeof(**seqs));
	for (i = 0; i < res->kvs_len; i++)
		(*seqs)[(*len)++] =
		    strtoull(res->kvs[i].key + prefix_len, NULL, 16);
	return AGB_CTL_OK;
}

enum agb_ctl_exit
agb_ctl_history_read(struct agb_ctl *ctl, const char *env, uint64_t seq,
    struct agb_ctl_history_entry *out)
{
	const struct agb_store_result *res;
	const struct agb_store_kv *kv;
	const char *newline;
	char name[64];
	char *metadata;

	memset(out, 0, sizeof(*out));
	snprintf(
	    name, sizeof(name), "env-history/%016llx", (unsigned long long)seq);
	res = read_key(ctl, env, name);
	if (res->status != AGB_STORE_OK)
		return report_no_store_answer(ctl);
	if (res->kvs_len == 0 || res->kvs[0].val == NULL)
		return AGB_CTL_FAILED;
	kv = &res->kvs[0];
	newline = memchr(kv->val, '\n', kv->val_len);
	if (newline == NULL)
		return AGB_CTL_FAILED;
	metadata = agb_xmemdup(kv->val, (size_t)(newline - kv->val));
	out->metadata = json_tokener_parse(metadata);
	free(metadata);
	out->seq = seq;
	out->version = kv->mod_rev;
	out->text_len = kv->val_len - (size_t)(newline + 1 - kv->val);
	out->text = agb_xmemdup(newline + 1, out->text_len);
	return AGB_CTL_OK;
}

void
agb_ctl_history_entry_free(struct agb_ctl_history_entry *e)
{
	json_object_put(e->metadata);
	free(e->text);
	memset(e, 0, sizeof(*e));
}

const char *
agb_ctl_history_entry_field(
    const struct agb_ctl_history_entry *e, const char *field)
{
	struct json_object *value;

	if (!json_object_is_type(e->metadata, json_type_object) ||
	    !json_object_object_get_ex(e->metadata, field, &value) ||
	    !json_object_is_type(value, json_type_string))
		return "";
	return json_object_get_string(value);
}
