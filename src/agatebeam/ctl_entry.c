#include <stdlib.h>
#include <string.h>

#include "ctl.h"
#include "jsonc.h"
#include "mem.h"

/* Limits on a status response: instances listed, and size of the body. */
#define STATUS_MEMBERS_MAX 4096
#define STATUS_BODY_MAX_BYTES ((size_t)4 * 1024 * 1024)

/*
 * Sends a GET request to the entry instance. Returns true for a response with
 * status 200, whose body the caller frees. Otherwise reports the failure and
 * sets @code to its exit status.
 */
static bool
entry_get(struct agb_ctl *ctl, const char *path,
    struct agb_ctl_http_response *out, enum agb_ctl_exit *code)
{
	char body[AGB_DETAIL_LEN];

	memset(out, 0, sizeof(*out));
	if (!ctl->has_entry) {
		*code = agb_ctl_fail(ctl, AGB_CTL_BAD_INPUT,
		    "this command needs --entry ADDRESS:PORT");
		return false;
	}
	ctl->io->http_get(ctl->io_arg, path, out);
	if (out->http_status == 200)
		return true;
	if (out->http_status == 0) {
		*code = agb_ctl_fail(ctl, AGB_CTL_UNREACHABLE,
		    "the entry instance does not answer: %s", out->error);
	} else {
		agb_jsonc_copy_printable(
		    body, sizeof(body), out->body, out->body_len);
		*code = agb_ctl_fail(ctl, AGB_CTL_FAILED,
		    "the entry instance answers %d: %s", out->http_status,
		    body);
	}
	free(out->body);
	out->body = NULL;
	return false;
}

/*
 * Prints a text with control characters other than newline and tab replaced by
 * '?', so that it cannot send escape sequences to the terminal.
 */
static void
print_sanitized(struct agb_ctl *ctl, const char *text, size_t len)
{
	size_t i;

	for (i = 0; i < len; i++)
		putc((unsigned char)text[i] >= ' ' || text[i] == '\n' ||
			    text[i] == '\t'
			? text[i]
			: '?',
		    ctl->out);
	if (len > 0 && text[len - 1] != '\n')
		putc('\n', ctl->out);
}

/* Returns the "text" member of an explain response; NULL when absent. */
static const char *
explanation_text(struct json_object *value)
{
	struct json_object *text;

	if (!json_object_is_type(value, json_type_object) ||
	    !json_object_object_get_ex(value, "text", &text) ||
	    !json_object_is_type(text, json_type_string))
		return NULL;
	return json_object_get_string(text);
}

/*
 * Requests @path and prints the response: with --json as JSON on one line;
 * otherwise the text of an explanation, indented JSON, or a body that is not
 * JSON with its control characters replaced.
 */
static enum agb_ctl_exit
print_response(struct agb_ctl *ctl, const char *path)
{
	struct json_object *value;
	struct agb_ctl_http_response r;
	enum agb_ctl_exit code;

	if (!entry_get(ctl, path, &r, &code))
		return code;
	value = json_tokener_parse(r.body);
	if (value == NULL && ctl->json) {
		value = json_object_new_object();
		json_object_object_add(value, "text",
		    json_object_new_string_len(r.body, (int)r.body_len));
	}
	if (value == NULL) {
		print_sanitized(ctl, r.body, r.body_len);
	} else if (ctl->json) {
		agb_ctl_print_json(ctl, value);
	} else if (explanation_text(value) != NULL) {
		print_sanitized(ctl, explanation_text(value),
		    strlen(explanation_text(value)));
		json_object_put(value);
	} else {
		fprintf(ctl->out, "%s\n",
		    json_object_to_json_string_ext(value,
			JSON_C_TO_STRING_PRETTY |
			    JSON_C_TO_STRING_NOSLASHESCAPE));
		json_object_put(value);
	}
	free(r.body);
	return AGB_CTL_OK;
}

enum agb_ctl_exit
agb_ctl_status(struct agb_ctl *ctl, const struct agb_ctl_args *args)
{
	(void)args;
	return print_response(ctl, "/v1/status");
}

enum agb_ctl_exit
agb_ctl_explain(struct agb_ctl *ctl, const struct agb_ctl_args *args)
{
	const char *const id = args->operand;
	enum agb_ctl_exit code;
	char *path;

	if (id[0] == '\0' || strlen(id) >= AGB_ID_LEN ||
	    strspn(id,
		"abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
		"0123456789._-/:") != strlen(id))
		return agb_ctl_fail(ctl, AGB_CTL_BAD_INPUT,
		    "an id has up to %d letters, digits and . _ - / :",
		    AGB_ID_LEN - 1);
	path = agb_xasprintf("/v1/explain/%s", id);
	code = print_response(ctl, path);
	free(path);
	return code;
}

/*
 * struct member - instance listed in a status response
 * @version: version of the environment's document that it has in force
 * @age_ms: age of this information
 */
struct member {
	agb_name instance;
	agb_name domain;
	int64_t version;
	int64_t age_ms;
};

/*
 * Parses the members of a status response and ignores its other keys. Returns
 * false with findings when the response is malformed or is about another
 * environment than @env. The caller frees the array *@out in both cases.
 */
static bool
parse_members(const struct agb_ctl_http_response *r, const char *env,
    struct member **out, size_t *len, struct agb_findings *f)
{
	static const struct agb_jsonc_range any = {0, INT64_MAX, ""};
	struct agb_jsonc_node root, list, item;
	struct agb_jsonc *doc;
	struct member *m;
	agb_name served;
	size_t n, i;

	*out = NULL;
	*len = 0;
	doc = agb_jsonc_parse(r->body, r->body_len, STATUS_BODY_MAX_BYTES, f);
	if (doc == NULL)
		return false;
	if (!agb_jsonc_get_root(doc, &root))
		goto out;
	if (agb_jsonc_get_str(
		&root, "environment", false, served, sizeof(served)) &&
	    strcmp(served, env) != 0)
		agb_jsonc_report(&root, "environment", AGB_FINDING_ERROR,
		    "is \"%s\", not \"%s\"", served, env);
	if (agb_jsonc_get_array(
		&root, "members", true, STATUS_MEMBERS_MAX, &list, &n)) {
		*out = agb_xcalloc(n, sizeof(**out));
		for (i = 0; i < n; i++) {
			if (!agb_jsonc_get_item_object(&list, i, &item))
				continue;
			m = &(*out)[(*len)++];
			agb_jsonc_get_name(&item, "instance", m->instance);
			agb_jsonc_get_str(&item, "domain", true, m->domain,
			    sizeof(m->domain));
			agb_jsonc_get_int(
			    &item, "env_version", true, &any, &m->version);
			agb_jsonc_get_int(
			    &item, "age_ms", true, &any, &m->age_ms);
		}
	}
out:
	agb_jsonc_free(doc);
	return f->errors == 0;
}

static void
print_members(struct agb_ctl *ctl, const char *env, uint64_t version,
    const struct member *m, size_t len, size_t lagging)
{
	struct json_object *value, *list, *item;
	size_t i;

	if (!ctl->json) {
		for (i = 0; i < len; i++)
			fprintf(ctl->out, "%s\t%s\t%lld\t%lld ms ago%s\n",
			    m[i].instance, m[i].domain, (long long)m[i].version,
			    (long long)m[i].age_ms,
			    (uint64_t)m[i].version < version ? "\tlags" : "");
		fprintf(ctl->out,
		    "%s: version %llu; %zu of %zu instances lag\n", env,
		    (unsigned long long)version, lagging, len);
		return;
	}
	list = json_object_new_array();
	for (i = 0; i < len; i++) {
		item = json_object_new_object();
		json_object_object_add(
		    item, "instance", json_object_new_string(m[i].instance));
		json_object_object_add(
		    item, "domain", json_object_new_string(m[i].domain));
		json_object_object_add(
		    item, "env_version", json_object_new_int64(m[i].version));
		json_object_object_add(
		    item, "age_ms", json_object_new_int64(m[i].age_ms));
		json_object_object_add(item, "lags",
		    json_object_new_boolean((uint64_t)m[i].version < version));
		json_object_array_add(list, item);
	}
	value = agb_ctl_env_to_json(env, version);
	json_object_object_add(
	    value, "lagging", json_object_new_uint64(lagging));
	json_object_object_add(value, "members", list);
	agb_ctl_print_json(ctl, value);
}

enum agb_ctl_exit
agb_ctl_env_status(struct agb_ctl *ctl, const struct agb_ctl_args *args)
{
	struct agb_findings *const f = agb_xcalloc(1, sizeof(*f));
	struct agb_ctl_doc doc = {0};
	struct agb_ctl_http_response r = {0};
	struct member *m = NULL;
	enum agb_ctl_exit code;
	uint64_t version = 0;
	size_t len, i, lagging = 0;

	if (!agb_jsonc_name_valid(args->env)) {
		code = agb_ctl_fail(ctl, AGB_CTL_BAD_INPUT,
		    "environment names have a-z, 0-9 and inner hyphens");
		goto out;
	}
	if (ctl->store != NULL) {
		code = agb_ctl_read_env(ctl, args->env, &doc);
		if (code != AGB_CTL_OK)
			goto out;
		version = doc.version;
	}
	if (!entry_get(ctl, "/v1/status", &r, &code))
		goto out;
	if (!parse_members(&r, args->env, &m, &len, f)) {
		code = agb_ctl_fail(ctl, AGB_CTL_FAILED,
		    "unexpected status response from the entry instance: "
		    "%s %s",
		    f->items[0].location, f->items[0].text);
		free(r.body);
		goto out;
	}
	free(r.body);
	for (i = 0; i < len && ctl->store == NULL; i++) {
		if ((uint64_t)m[i].version > version)
			version = (uint64_t)m[i].version;
	}
	for (i = 0; i < len; i++)
		lagging += (uint64_t)m[i].version < version;
	print_members(ctl, args->env, version, m, len, lagging);
	code = lagging > 0 ? AGB_CTL_FAILED : AGB_CTL_OK;
out:
	agb_ctl_doc_free(&doc);
	free(m);
	free(f);
	return code;
}
