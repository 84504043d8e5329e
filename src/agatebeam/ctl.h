#ifndef AGB_CTL_H
#define AGB_CTL_H

/**
 * DOC: ctl
 *
 * The commands of agatectl. Each works on one environment as a whole or
 * reads from one entry instance; none changes a single instance. They run
 * one after the other on one thread, waiting for each answer.
 */

#include <json-c/json.h>
#include <stdio.h>

#include "env.h"
#include "finding.h"
#include "store.h"
#include "types.h"

/* Time for one call of the store or of an entry instance. */
#define AGB_CTL_CALL_TIMEOUT_MS 5000
/* Entries of an environment's history that a change leaves in place. */
#define AGB_CTL_HISTORY_MAX 50
/*
 * Reads after a lost answer, and the time between them. Together 5 s: a
 * request that the store has not carried out by then is most likely gone.
 */
#define AGB_CTL_VERIFY_ATTEMPTS 10
#define AGB_CTL_VERIFY_INTERVAL_MS 500
/* Room in a value of the store for what stands before a document's text. */
#define AGB_CTL_HISTORY_HEADER_MAX ((size_t)4096)

/**
 * enum agb_ctl_exit - exit status of agatectl
 * @AGB_CTL_OK: done
 * @AGB_CTL_FAILED: refused by the other side, or not all is as asked
 * @AGB_CTL_BAD_INPUT: arguments or document refused; nothing was changed
 * @AGB_CTL_CONFLICT: something changed since the review; nothing was changed
 * @AGB_CTL_UNREACHABLE: no answer; the text says whether a change may have
 *	taken effect
 */
enum agb_ctl_exit {
	AGB_CTL_OK = 0,
	AGB_CTL_FAILED = 1,
	AGB_CTL_BAD_INPUT = 2,
	AGB_CTL_CONFLICT = 3,
	AGB_CTL_UNREACHABLE = 4,
};

/**
 * struct agb_ctl_http_response - answer of an entry instance
 * @http_status: 0 when there was no whole answer
 * @body: a new string, never NULL
 * @error: cause when there was none
 */
struct agb_ctl_http_response {
	int http_status;
	char *body;
	size_t body_len;
	char error[AGB_DETAIL_LEN];
};

/**
 * struct agb_ctl_io - the outside world
 * @run_once: waits for something to happen and lets the store client call back
 * @sleep: waits
 * @http_get: GET of a path of the entry instance; fills in @out
 */
struct agb_ctl_io {
	void (*run_once)(void *arg);
	void (*sleep)(void *arg, unsigned ms);
	void (*http_get)(
	    void *arg, const char *path, struct agb_ctl_http_response *out);
};

/**
 * struct agb_ctl - what a command works with
 * @store: store client; NULL when no address was given
 * @has_entry: an entry instance's address was given
 * @out: results
 * @err: messages
 * @json: results as JSON
 * @operator_name: operator, as written into the history
 * @change_id: unique id of the change that this run may make
 * @now_s: seconds since 1970, for the history
 * @store_result: answer to the latest call of the store
 */
struct agb_ctl {
	const struct agb_ctl_io *io;
	void *io_arg;
	struct agb_store *store;
	bool has_entry;
	FILE *out;
	FILE *err;
	bool json;
	char operator_name[AGB_DETAIL_LEN];
	char change_id[33];
	int64_t now_s;
	struct agb_store_result store_result;
	bool store_answered;
};

/**
 * struct agb_ctl_doc - an environment's document as stored
 * @version: revision of its last change; 0 when there is none
 * @revision: revision of the store when it was read
 */
struct agb_ctl_doc {
	uint64_t version;
	uint64_t revision;
	char *text;
	size_t text_len;
};

/**
 * struct agb_ctl_args - arguments of all commands
 * @env: environment
 * @operand: second environment, file, or id
 * @reviewed_revision: revision up to which the operator has seen all changes
 * @has_reviewed_revision: it was given
 * @allow_rename: the document may name another deployment than the present one
 */
struct agb_ctl_args {
	const char *env;
	const char *operand;
	uint64_t reviewed_revision;
	bool has_reviewed_revision;
	bool allow_rename;
};

typedef enum agb_ctl_exit (*agb_ctl_command_fn)(
    struct agb_ctl *ctl, const struct agb_ctl_args *args);

enum agb_ctl_exit agb_ctl_env_check(
    struct agb_ctl *ctl, const struct agb_ctl_args *args);
enum agb_ctl_exit agb_ctl_env_show(
    struct agb_ctl *ctl, const struct agb_ctl_args *args);
enum agb_ctl_exit agb_ctl_env_diff(
    struct agb_ctl *ctl, const struct agb_ctl_args *args);
enum agb_ctl_exit agb_ctl_env_put(
    struct agb_ctl *ctl, const struct agb_ctl_args *args);
enum agb_ctl_exit agb_ctl_env_promote(
    struct agb_ctl *ctl, const struct agb_ctl_args *args);
enum agb_ctl_exit agb_ctl_env_history(
    struct agb_ctl *ctl, const struct agb_ctl_args *args);
enum agb_ctl_exit agb_ctl_env_status(
    struct agb_ctl *ctl, const struct agb_ctl_args *args);
enum agb_ctl_exit agb_ctl_status(
    struct agb_ctl *ctl, const struct agb_ctl_args *args);
enum agb_ctl_exit agb_ctl_explain(
    struct agb_ctl *ctl, const struct agb_ctl_args *args);

/**
 * agb_ctl_trace() - lines of several logs about one job, in causal order,
 * and what they say in words
 * @args: env holds the job's id, other the file
 */
enum agb_ctl_exit agb_ctl_trace(
    struct agb_ctl *ctl, const struct agb_ctl_args *args);

/**
 * agb_ctl_init() - connect a store client to the commands
 * @ctl: its other fields are set by the caller before
 */
void agb_ctl_init(struct agb_ctl *ctl);

/**
 * agb_ctl_cleanup() - free what the commands keep
 */
void agb_ctl_cleanup(struct agb_ctl *ctl);

/**
 * agb_ctl_fail() - report a failure, as text or as {"error": ...}
 * Return: @code, so that a command can end with it.
 */
enum agb_ctl_exit agb_ctl_fail(struct agb_ctl *ctl, enum agb_ctl_exit code,
    const char *fmt, ...) __attribute__((format(printf, 3, 4)));

/**
 * agb_ctl_print_json() - write a JSON value as one line and free it
 */
void agb_ctl_print_json(struct agb_ctl *ctl, struct json_object *value);

/**
 * agb_ctl_store_call() - carry out a store operation and wait for its answer
 * @op: taken over
 * Return: the answer, valid until the next call. Without a store client it
 * is AGB_STORE_REFUSED.
 */
const struct agb_store_result *agb_ctl_store_call(
    struct agb_ctl *ctl, struct agb_store_op *op);

/**
 * agb_ctl_read_env() - read the document of an environment
 * @out: freed by agb_ctl_doc_free()
 * Return: AGB_CTL_OK, also when there is none; else the failure, reported.
 */
enum agb_ctl_exit agb_ctl_read_env(
    struct agb_ctl *ctl, const char *env, struct agb_ctl_doc *out);

/**
 * agb_ctl_read_file() - read a document from a file, "-" for stdin
 */
enum agb_ctl_exit agb_ctl_read_file(
    struct agb_ctl *ctl, const char *path, struct agb_ctl_doc *out);

/**
 * agb_ctl_doc_free() - free a document's text
 */
void agb_ctl_doc_free(struct agb_ctl_doc *doc);

/**
 * agb_ctl_check_doc() - check a document and report its findings
 * @name: file or environment, for the findings
 * @out: the parsed document when it is usable; freed by agb_env_free()
 * @findings: filled in
 * Return: AGB_CTL_OK or AGB_CTL_BAD_INPUT.
 */
enum agb_ctl_exit agb_ctl_check_doc(struct agb_ctl *ctl, const char *name,
    const struct agb_ctl_doc *doc, struct agb_env **out,
    struct agb_findings *findings);

/**
 * agb_ctl_findings_to_json() - findings as a JSON array
 */
struct json_object *agb_ctl_findings_to_json(
    const struct agb_findings *findings);

/**
 * agb_ctl_store_key() - store key "agatebeam/ENV/NAME"
 * Return: a new string.
 */
char *agb_ctl_store_key(const char *env, const char *name);

/**
 * struct agb_ctl_history_entry - an entry of an environment's history
 * @seq: its number
 * @version: of the document that it put in force
 * @metadata: {"id", "who", "when", "action"}
 * @text: the document, inside @kv
 */
struct agb_ctl_history_entry {
	uint64_t seq;
	uint64_t version;
	struct json_object *metadata;
	char *text;
	size_t text_len;
};

/**
 * agb_ctl_history_list() - numbers of the entries kept
 * @seqs: set to a new array in rising order
 * Return: AGB_CTL_OK, or the failure, reported.
 */
enum agb_ctl_exit agb_ctl_history_list(
    struct agb_ctl *ctl, const char *env, uint64_t **seqs, size_t *len);

/**
 * agb_ctl_history_read() - one entry of the history
 * @out: freed by agb_ctl_history_entry_free()
 * Return: AGB_CTL_OK; AGB_CTL_FAILED without a report when there is no
 * such entry; else the failure, reported.
 */
enum agb_ctl_exit agb_ctl_history_read(struct agb_ctl *ctl, const char *env,
    uint64_t seq, struct agb_ctl_history_entry *out);

/**
 * agb_ctl_history_entry_free() - free an entry
 */
void agb_ctl_history_entry_free(struct agb_ctl_history_entry *e);

/**
 * agb_ctl_history_entry_field() - a string of an entry's head, "" when absent
 */
const char *agb_ctl_history_entry_field(
    const struct agb_ctl_history_entry *e, const char *field);

#endif
