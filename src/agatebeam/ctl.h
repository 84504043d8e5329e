#ifndef AGB_CTL_H
#define AGB_CTL_H

/**
 * DOC: ctl
 *
 * The commands of agatectl. A command either works on the document of an
 * environment, reads from one entry instance, or reads a log file; none
 * changes an individual instance. A run executes one command on one thread
 * and blocks until each reply has arrived.
 */

#include <json-c/json.h>
#include <stdio.h>

#include "env.h"
#include "finding.h"
#include "store.h"
#include "types.h"

/* Timeout of one request to the store or to an entry instance. */
#define AGB_CTL_CALL_TIMEOUT_MS 5000
/* History entries kept per environment; a change deletes older ones. */
#define AGB_CTL_HISTORY_MAX 50
/*
 * Number of reads that look for the outcome of a transaction whose reply was
 * lost, and the delay between them. They span about 5 s: a transaction that
 * the store has not executed by then has most likely been dropped.
 */
#define AGB_CTL_VERIFY_ATTEMPTS 10
#define AGB_CTL_VERIFY_INTERVAL_MS 500
/* Bytes that a history entry reserves for the metadata before the document. */
#define AGB_CTL_HISTORY_METADATA_MAX ((size_t)4096)

/**
 * enum agb_ctl_exit - exit status of agatectl
 * @AGB_CTL_OK: success
 * @AGB_CTL_FAILED: error reply, missing data, lagging instances, or a local
 *	I/O error
 * @AGB_CTL_BAD_INPUT: arguments or document rejected; nothing was changed
 * @AGB_CTL_CONFLICT: an environment changed after the review; this run
 *	changed nothing
 * @AGB_CTL_UNREACHABLE: the store or the entry instance did not reply, or the
 *	store refused a transaction; the message says whether a change may
 *	have taken effect
 */
enum agb_ctl_exit {
	AGB_CTL_OK = 0,
	AGB_CTL_FAILED = 1,
	AGB_CTL_BAD_INPUT = 2,
	AGB_CTL_CONFLICT = 3,
	AGB_CTL_UNREACHABLE = 4,
};

/**
 * struct agb_ctl_http_response - HTTP response of an entry instance
 * @http_status: 0 when no complete response arrived
 * @body: NUL-terminated copy, freed by the caller; never NULL
 * @body_len: length of @body without the NUL
 * @error: cause of the failure when @http_status is 0
 */
struct agb_ctl_http_response {
	int http_status;
	char *body;
	size_t body_len;
	char error[AGB_DETAIL_LEN];
};

/**
 * struct agb_ctl_io - blocking I/O; replaced by fakes in tests
 * @run_once: waits for events and runs their callbacks, among them those of
 *	the store client
 * @sleep: blocks for @ms milliseconds
 * @http_get: sends a GET request for @path to the entry instance and blocks
 *	until @out is filled in
 */
struct agb_ctl_io {
	void (*run_once)(void *arg);
	void (*sleep)(void *arg, unsigned ms);
	void (*http_get)(
	    void *arg, const char *path, struct agb_ctl_http_response *out);
};

/**
 * struct agb_ctl - context of a command
 * @io_arg: first argument of the functions in @io
 * @store: store client; NULL when no store address was given
 * @has_entry: whether the address of an entry instance was given
 * @out: stream for results
 * @err: stream for messages
 * @json: print results, and failures too, as JSON on @out
 * @operator_name: USER@HOST of the operator, recorded in the history
 * @change_id: unique ID of this run, recorded in the history; tells whether a
 *	transaction whose reply was lost has taken effect
 * @now_s: Unix time in seconds, recorded in the history
 * @store_result: result of the latest store operation
 * @store_answered: whether the pending store operation has completed
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
 * struct agb_ctl_doc - document of an environment, from the store or a file
 * @version: store revision of its last change; 0 when the environment has no
 *	document or the document comes from a file
 * @revision: store revision at which it was read; 0 for a file
 */
struct agb_ctl_doc {
	uint64_t version;
	uint64_t revision;
	char *text;
	size_t text_len;
};

/**
 * struct agb_ctl_args - arguments of the commands; each uses some of them
 * @env: environment; for agb_ctl_trace() the job ID
 * @operand: file, second environment, or ID of a job or request
 * @reviewed_revision: store revision up to which the operator has seen all
 *	changes
 * @has_reviewed_revision: whether @reviewed_revision was given
 * @allow_rename: accept a document whose deployment name differs from that of
 *	the document it replaces
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
 * agb_ctl_trace() - print the log lines about a job in causal order, followed
 * by a summary
 * @args: env holds the job ID, operand the file with the concatenated logs of
 *	several instances, "-" for stdin
 */
enum agb_ctl_exit agb_ctl_trace(
    struct agb_ctl *ctl, const struct agb_ctl_args *args);

/**
 * agb_ctl_init() - set the callbacks of the store client
 * @ctl: the caller has set its other fields
 */
void agb_ctl_init(struct agb_ctl *ctl);

/**
 * agb_ctl_cleanup() - free the latest store result
 */
void agb_ctl_cleanup(struct agb_ctl *ctl);

/**
 * agb_ctl_fail() - report a failure as text, or as {"error", "exit"} in JSON
 *
 * Return: @code, so that a command can return the result of this call.
 */
enum agb_ctl_exit agb_ctl_fail(struct agb_ctl *ctl, enum agb_ctl_exit code,
    const char *fmt, ...) __attribute__((format(printf, 3, 4)));

/**
 * agb_ctl_print_json() - print a JSON value on one line and free it
 */
void agb_ctl_print_json(struct agb_ctl *ctl, struct json_object *value);

/**
 * agb_ctl_env_to_json() - create the JSON value that tells a version of an
 * environment, as {"environment", "version"}
 */
struct json_object *agb_ctl_env_to_json(const char *env, uint64_t version);

/**
 * agb_ctl_store_call() - execute a store operation and wait for its result
 * @op: consumed by this call
 *
 * Return: the result, valid until the next call. Without a store client its
 * status is AGB_STORE_REFUSED.
 */
const struct agb_store_result *agb_ctl_store_call(
    struct agb_ctl *ctl, struct agb_store_op *op);

/**
 * agb_ctl_read_env() - read the document of an environment from the store
 * @out: freed by agb_ctl_doc_free()
 *
 * Return: AGB_CTL_OK, also when the environment has no document; otherwise
 * the exit status of a failure that has been reported.
 */
enum agb_ctl_exit agb_ctl_read_env(
    struct agb_ctl *ctl, const char *env, struct agb_ctl_doc *out);

/**
 * agb_ctl_read_file() - read a document from a file
 * @path: "-" for stdin
 * @out: freed by agb_ctl_doc_free()
 */
enum agb_ctl_exit agb_ctl_read_file(
    struct agb_ctl *ctl, const char *path, struct agb_ctl_doc *out);

void agb_ctl_doc_free(struct agb_ctl_doc *doc);

/**
 * agb_ctl_check_doc() - parse a document and print its findings
 * @name: name of the file or environment to print with the findings
 * @out: the parsed document, NULL when it has errors; freed by agb_env_free()
 * @findings: filled in; with --json the caller prints them
 *
 * Return: AGB_CTL_OK or AGB_CTL_BAD_INPUT.
 */
enum agb_ctl_exit agb_ctl_check_doc(struct agb_ctl *ctl, const char *name,
    const struct agb_ctl_doc *doc, struct agb_env **out,
    struct agb_findings *findings);

/**
 * agb_ctl_findings_to_json() - convert findings to a JSON array
 */
struct json_object *agb_ctl_findings_to_json(
    const struct agb_findings *findings);

/**
 * agb_ctl_store_key() - build the store key "agatebeam/ENV/NAME"
 *
 * Return: a new string, freed by the caller.
 */
char *agb_ctl_store_key(const char *env, const char *name);

/**
 * struct agb_ctl_history_entry - accepted change of an environment's document
 * @seq: sequence number, starting at 1
 * @version: store revision of the change, and so the version of its document
 * @metadata: JSON object with the strings "id", "who", "when" and "action"
 * @text: the document
 */
struct agb_ctl_history_entry {
	uint64_t seq;
	uint64_t version;
	struct json_object *metadata;
	char *text;
	size_t text_len;
};

/**
 * agb_ctl_history_list() - list the sequence numbers of the stored entries
 * @seqs: set to a new array in ascending order, freed by the caller
 *
 * Return: AGB_CTL_OK, or the exit status of a failure that has been reported.
 */
enum agb_ctl_exit agb_ctl_history_list(
    struct agb_ctl *ctl, const char *env, uint64_t **seqs, size_t *len);

/**
 * agb_ctl_history_read() - read an entry of the history
 * @out: freed by agb_ctl_history_entry_free()
 *
 * Return: AGB_CTL_OK; AGB_CTL_FAILED, which is not reported, when the entry
 * does not exist or has no metadata line; otherwise the exit status of a
 * failure that has been reported.
 */
enum agb_ctl_exit agb_ctl_history_read(struct agb_ctl *ctl, const char *env,
    uint64_t seq, struct agb_ctl_history_entry *out);

void agb_ctl_history_entry_free(struct agb_ctl_history_entry *e);

/**
 * agb_ctl_history_entry_field() - get a string from an entry's metadata
 *
 * Return: the string, valid as long as @e; "" when there is none.
 */
const char *agb_ctl_history_entry_field(
    const struct agb_ctl_history_entry *e, const char *field);

#endif
