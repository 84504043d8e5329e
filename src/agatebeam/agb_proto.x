/*
 * Messages between instances: ONC RPC (RFC 5531) program 0x20a9a7e1, version 1.
 * The procedure number of a call equals the discriminant of its arguments.
 * `make proto` generates agb_proto.h and agb_proto_xdr.c from this file.
 */

const AGB_X_PROG = 0x20a9a7e1;
const AGB_X_VERS = 1;
const AGB_X_NAME_MAX = 47;
const AGB_X_ID_MAX = 63;
const AGB_X_ADDR_MAX = 63;
const AGB_X_DETAIL_MAX = 191;
const AGB_X_KEY_MAX = 128;
const AGB_X_ARGS_MAX = 65536;
const AGB_X_TEXT_MAX = 1048576;
const AGB_X_SHARDS_MAX = 64;
const AGB_X_TEAMS_MAX = 64;
const AGB_X_RELEASES_MAX = 1024;
const AGB_X_ITEMS_MAX = 1024;
const AGB_X_ADVICE_MAX = 100;
const AGB_X_CHECKPOINT_MAX = 255;
const AGB_X_SPEC_MAX = 4000;
const AGB_X_JOB_LEN = 16;
const AGB_X_ORDERS_MAX = 4096;
const AGB_X_RUNS_MAX = 8192;

typedef string agb_x_name<AGB_X_NAME_MAX>;
typedef string agb_x_id<AGB_X_ID_MAX>;
typedef string agb_x_addr<AGB_X_ADDR_MAX>;
typedef string agb_x_detail<AGB_X_DETAIL_MAX>;
typedef string agb_x_key<AGB_X_KEY_MAX>;

enum agb_x_proc {
	AGB_X_NULL = 0,
	AGB_X_HEARTBEAT = 1,
	AGB_X_SUMMARY = 2,
	AGB_X_GRANT = 3,
	AGB_X_RELEASE = 4,
	AGB_X_SUBMIT = 5,
	AGB_X_JOB_GET = 6,
	AGB_X_CANCEL = 7,
	AGB_X_ENV_GET = 8,
	AGB_X_EXPLAIN = 9,
	AGB_X_STATUS = 10,
	AGB_X_ADVISE = 11,
	AGB_X_PUSH = 12,
	AGB_X_PUT = 13,
	AGB_X_ORDERS = 14,
	AGB_X_RESULTS = 15,
	AGB_X_PAYLOAD = 16
};

struct agb_x_resources {
	hyper cpu_milli;
	hyper mem_mb;
	hyper accel;
};

struct agb_x_attempt {
	unsigned hyper epoch;
	unsigned hyper seq;
};

/* Load summary of one shard for the owners of the other shards. age_ms is the
 * time since the owner measured it; each relay adds the time that it held the
 * summary. */
struct agb_x_shard {
	agb_x_name domain;
	agb_x_addr owner_rpc;
	unsigned hyper epoch;
	unsigned hyper serial;
	unsigned int age_ms;
	unsigned int slots_free;
	unsigned int quick_queued;
	unsigned int tasks_queued;
	unsigned int wait_ms;
	agb_x_resources free;
};

/* Resources that the running work of a team occupies in one shard. */
struct agb_x_team_use {
	agb_x_name team;
	agb_x_resources used;
};

/* An entry instance and the version of the environment document that is in
 * force there. age_ms is the time since the instance reported it. */
struct agb_x_member {
	agb_x_name instance;
	agb_x_name domain;
	agb_x_addr rpc;
	unsigned hyper env_version;
	unsigned int age_ms;
};

struct agb_x_heartbeat_args {
	agb_x_member from;
	bool leaving;
};

struct agb_x_heartbeat_res {
	unsigned hyper env_version;
	bool is_owner;
	agb_x_shard shards<AGB_X_SHARDS_MAX>;
};

/* With has_teams, the list is a complete snapshot: a team that is not listed
 * uses nothing. Without it, the previous snapshot stays valid. The epoch and
 * serial of the shard order the snapshots of one domain. */
struct agb_x_summary_args {
	unsigned hyper env_version;
	agb_x_shard shard;
	bool has_teams;
	agb_x_team_use teams<AGB_X_TEAMS_MAX>;
	agb_x_member members<AGB_X_ITEMS_MAX>;
};

struct agb_x_summary_res {
	unsigned hyper env_version;
};

/* previous: an earlier attempt of the same request whose result was lost, and
 * previous_worker the worker that ran it; an epoch of 0 means none. The owner
 * grants no other attempt until the previous one has ended. */
struct agb_x_grant_args {
	unsigned hyper env_version;
	agb_x_id request;
	agb_x_name work;
	agb_x_name team;
	agb_x_name instance;
	unsigned int deadline_ms;
	bool idempotent;
	agb_x_key key;
	agb_x_attempt previous;
	agb_x_name previous_worker;
};

struct agb_x_grant_res {
	unsigned hyper env_version;
	bool granted;
	agb_x_attempt attempt;
	agb_x_name worker;
	agb_x_addr runner;
	int outcome;
	int reason;
	unsigned int retry_ms;
	agb_x_detail detail;
};

struct agb_x_release {
	agb_x_attempt attempt;
	int result;
};

struct agb_x_release_args {
	agb_x_release items<AGB_X_RELEASES_MAX>;
};

struct agb_x_submit_args {
	unsigned hyper env_version;
	agb_x_name work;
	agb_x_name team;
	unsigned int tasks;
	agb_x_resources need;
	unsigned int run_ms;
	unsigned int deadline_ms;
	bool idempotent;
	agb_x_key key;
	opaque args<AGB_X_ARGS_MAX>;
};

struct agb_x_submit_res {
	unsigned hyper env_version;
	bool accepted;
	agb_x_id job;
	int outcome;
	int reason;
	unsigned int retry_ms;
	agb_x_detail detail;
};

struct agb_x_job_get_args {
	agb_x_id job;
	agb_x_name team;
	unsigned int wait_ms;
};

/* state is "queued", "running" or "done". outcome and reason are valid only
 * when it is "done". */
struct agb_x_job_res {
	bool found;
	agb_x_name state;
	int outcome;
	int reason;
	unsigned int tasks;
	unsigned int running;
	unsigned int ended;
	agb_x_detail detail;
	opaque result<AGB_X_ARGS_MAX>;
};

struct agb_x_cancel_args {
	agb_x_id job;
	agb_x_name team;
};

struct agb_x_env_get_args {
	unsigned hyper have;
};

struct agb_x_env_get_res {
	unsigned hyper env_version;
	opaque text<AGB_X_TEXT_MAX>;
};

struct agb_x_explain_args {
	agb_x_id id;
};

struct agb_x_text_res {
	bool found;
	string text<AGB_X_TEXT_MAX>;
};

/* Asks an instance to call the advice service, which selects the runners that
 * may run a step. The service processes the calls of one instance serially. */
struct agb_x_advise_args {
	agb_x_id job;
	unsigned int occurrence;
	unsigned int step;
	unsigned int timeout_ms;
	agb_x_id runners<AGB_X_ADVICE_MAX>;
};

struct agb_x_ticket {
	agb_x_id runner;
	agb_x_id ticket;
};

struct agb_x_advise_res {
	bool answered;
	bool busy;
	unsigned int valid_ms;
	agb_x_ticket tickets<AGB_X_ADVICE_MAX>;
};

/* A record that the sender has stored, pushed to an instance that needs it
 * before it reads the store. */
struct agb_x_record {
	agb_x_key key;
	unsigned hyper revision;
	opaque value<AGB_X_TEXT_MAX>;
};

/* A state of a job that is in the store. job has no terminating NUL. */
struct agb_x_job_state {
	opaque job[AGB_X_JOB_LEN];
	unsigned int state;
};

/* forward: the receiver pushes them to the other instances of its domain. */
struct agb_x_push_args {
	bool forward;
	agb_x_job_state states<AGB_X_ITEMS_MAX>;
	agb_x_record records<AGB_X_ITEMS_MAX>;
};

/* Asks an instance to create a record; it is not stored when the key exists. */
struct agb_x_put_args {
	agb_x_key key;
	unsigned int timeout_ms;
	opaque value<AGB_X_TEXT_MAX>;
};

/* status is an enum agb_store_status: answered, refused or lost. */
struct agb_x_put_res {
	int status;
	bool stored;
	unsigned hyper revision;
};

/* A task of a job. job has no terminating NUL. */
struct agb_x_task {
	opaque job[AGB_X_JOB_LEN];
	unsigned int occurrence;
	unsigned int step;
	unsigned int index;
};

/* Address and id of a runner. Orders refer to it by runner, a number that the
 * sender assigned. incarnation tells apart successive processes of that
 * runner. */
struct agb_x_runner_addr {
	unsigned int runner;
	unsigned int incarnation;
	agb_x_id id;
	agb_x_addr addr;
};

/* An order to start, stop or pace a run. When payload is empty, the receiver
 * fetches the payload of the job from the instance at address origin. */
struct agb_x_run_order {
	agb_x_task task;
	unsigned int run;
	unsigned int percent;
	string checkpoint<AGB_X_CHECKPOINT_MAX>;
	string ticket<AGB_X_ID_MAX>;
	agb_x_addr origin;
	opaque payload<AGB_X_SPEC_MAX>;
};

/* A hold renews the runner's lease and fetches its lists of runs. The runner
 * may drop finished runs up to sequence number forget_seq, and need not report
 * those up to known_seq. wait_ms is how long it may wait for changes to report.
 * is_probe marks an extra hold that does not replace the regular one.
 * known_list is the number of the list of active runs that the sender has. */
struct agb_x_hold_order {
	unsigned hyper forget_seq;
	unsigned hyper known_seq;
	unsigned int wait_ms;
	bool is_probe;
	unsigned int known_list;
};

enum agb_x_order_kind {
	AGB_X_START = 0,
	AGB_X_STOP = 1,
	AGB_X_HOLD = 2,
	AGB_X_PACE = 3
};

union agb_x_order_body switch (agb_x_order_kind kind) {
case AGB_X_HOLD:
	agb_x_hold_order hold;
default:
	agb_x_run_order run;
};

/* An order that the receiver sends to a runner. send_by_us, the latest time
 * to send it, is on the receiver's clock; deadline_ms is on the runner's. */
struct agb_x_order {
	unsigned hyper number;
	unsigned int runner;
	unsigned int incarnation;
	unsigned hyper send_by_us;
	hyper deadline_ms;
	unsigned int timeout_ms;
	agb_x_order_body body;
};

/* reply_to: address to which the results are sent. */
struct agb_x_orders_args {
	unsigned hyper fence;
	agb_x_addr reply_to;
	agb_x_runner_addr runners<AGB_X_ORDERS_MAX>;
	agb_x_order orders<AGB_X_ORDERS_MAX>;
};

/* accepted: false when the receiver rejects the call and sends none of its
 * orders. clock_us is the receiver's clock. */
struct agb_x_orders_res {
	bool accepted;
	unsigned hyper clock_us;
};

struct agb_x_active_run {
	agb_x_task task;
	unsigned int run;
	unsigned int percent;
	unsigned int load;
	string checkpoint<AGB_X_CHECKPOINT_MAX>;
};

struct agb_x_finished_run {
	unsigned hyper seq;
	agb_x_task task;
	unsigned int run;
	unsigned int end;
	string checkpoint<AGB_X_CHECKPOINT_MAX>;
};

/* New checkpoint of the run at a position of the base list. */
struct agb_x_checkpoint {
	unsigned int index;
	string checkpoint<AGB_X_CHECKPOINT_MAX>;
};

/* Result of an order. The active runs are encoded as a delta: the entries of
 * base_list that kept names, each packed as index, percent and load, and
 * new_runs. Together they form the list numbered list. started_ms is the start
 * time of the runner's process, clock_ms the time on its clock. */
struct agb_x_result {
	unsigned hyper number;
	unsigned int status;
	hyper started_ms;
	hyper clock_ms;
	unsigned int base_list;
	unsigned int list;
	unsigned hyper kept<AGB_X_RUNS_MAX>;
	agb_x_checkpoint checkpoints<AGB_X_RUNS_MAX>;
	agb_x_active_run new_runs<AGB_X_RUNS_MAX>;
	agb_x_finished_run finished<AGB_X_RUNS_MAX>;
};

struct agb_x_results_args {
	unsigned hyper fence;
	agb_x_result results<AGB_X_ORDERS_MAX>;
};

/* Asks the instance that accepted a job for its payload. */
struct agb_x_payload_args {
	agb_x_id job;
};

struct agb_x_payload_res {
	bool known;
	opaque payload<AGB_X_SPEC_MAX>;
};

union agb_x_args switch (agb_x_proc proc) {
case AGB_X_NULL:
	void;
case AGB_X_HEARTBEAT:
	agb_x_heartbeat_args heartbeat;
case AGB_X_SUMMARY:
	agb_x_summary_args summary;
case AGB_X_GRANT:
	agb_x_grant_args grant;
case AGB_X_RELEASE:
	agb_x_release_args release;
case AGB_X_SUBMIT:
	agb_x_submit_args submit;
case AGB_X_JOB_GET:
	agb_x_job_get_args job_get;
case AGB_X_CANCEL:
	agb_x_cancel_args cancel;
case AGB_X_ENV_GET:
	agb_x_env_get_args env_get;
case AGB_X_EXPLAIN:
	agb_x_explain_args explain;
case AGB_X_STATUS:
	void;
case AGB_X_ADVISE:
	agb_x_advise_args advise;
case AGB_X_PUSH:
	agb_x_push_args push;
case AGB_X_PUT:
	agb_x_put_args put;
case AGB_X_ORDERS:
	agb_x_orders_args orders;
case AGB_X_RESULTS:
	agb_x_results_args results;
case AGB_X_PAYLOAD:
	agb_x_payload_args payload;
};

/* AGB_X_CANCEL and AGB_X_JOB_GET both answer with the state of the job. */
union agb_x_res switch (agb_x_proc proc) {
case AGB_X_NULL:
	void;
case AGB_X_HEARTBEAT:
	agb_x_heartbeat_res heartbeat;
case AGB_X_SUMMARY:
	agb_x_summary_res summary;
case AGB_X_GRANT:
	agb_x_grant_res grant;
case AGB_X_RELEASE:
	void;
case AGB_X_SUBMIT:
	agb_x_submit_res submit;
case AGB_X_JOB_GET:
	agb_x_job_res job_get;
case AGB_X_CANCEL:
	agb_x_job_res cancel;
case AGB_X_ENV_GET:
	agb_x_env_get_res env_get;
case AGB_X_EXPLAIN:
	agb_x_text_res explain;
case AGB_X_STATUS:
	agb_x_text_res status;
case AGB_X_ADVISE:
	agb_x_advise_res advise;
case AGB_X_PUSH:
	void;
case AGB_X_PUT:
	agb_x_put_res put;
case AGB_X_ORDERS:
	agb_x_orders_res orders;
case AGB_X_RESULTS:
	void;
case AGB_X_PAYLOAD:
	agb_x_payload_res payload;
};
