/* Records that the instances keep in the platform's store: submissions of
 * clients, the progress of their tasks, and the addresses of the instances. */

const WF_X_NAME_MAX = 63;
const WF_X_SPEC_MAX = 4000;
const WF_X_SAVED_MAX = 255;
const WF_X_STEPS_MAX = 64;
const WF_X_TASKS_MAX = 65536;
const WF_X_RUNNERS_MAX = 4096;
const WF_X_DONE_MAX = 8192;
const WF_X_INDEX_BITS = 16;
const WF_X_FAILURES_BITS = 8;
const WF_X_ACTIVE_BITS = 1;
const WF_X_RUNNER_BITS = 12;
const WF_X_RUN_BITS = 27;

/* Bits of wf_x_step.flags. */
const WF_X_GANG = 1;
const WF_X_RACK_BOUND = 2;
const WF_X_SAVES = 4;
const WF_X_COPIES = 8;
const WF_X_LASTS = 16;
const WF_X_FILLS = 32;

struct wf_x_step {
	unsigned int count;
	unsigned int cpu_milli;
	unsigned int mem_mb;
	unsigned int accel;
	unsigned int estimate_ms;
	unsigned hyper after;
	unsigned int flags;
	unsigned int spread_max;
	unsigned int target_ms;
	unsigned int may_miss;
	string label<WF_X_NAME_MAX>;
	string rack<WF_X_NAME_MAX>;
	string image<WF_X_NAME_MAX>;
};

/* Marks a period that is the tag of a route, in the lower bits. */
const WF_X_ROUTE_MARK = 0xff000000;

/* submitted_ms and first_ms are Unix times in milliseconds. times is the number
 * of occurrences. A job that runs once, without first_ms, has no use for a
 * period: period_ms then is the tag of the route by which it was submitted, with
 * WF_X_ROUTE_MARK; earlier versions ignore it. home is the address of the instance that accepted the job, at
 * which other instances can get its spec. */
struct wf_x_job {
	string queue<WF_X_NAME_MAX>;
	hyper submitted_ms;
	hyper first_ms;
	unsigned int period_ms;
	unsigned int times;
	opaque spec<WF_X_SPEC_MAX>;
	wf_x_step steps<WF_X_STEPS_MAX>;
	string home<WF_X_NAME_MAX>;
};

/* Follows the record of a job. account is "" for a job without an account.
 * Records of earlier versions may end without it; earlier versions ignore it. */
struct wf_x_job_owner {
	string account<WF_X_NAME_MAX>;
};

/* Follows the owner of a job whose period has a use: the tag of the route by which
 * it was submitted. Records of earlier versions end without it; earlier versions
 * ignore it. */
struct wf_x_job_route {
	unsigned int tag;
};

/* Checkpoint of a task that has been started and is not done. */
struct wf_x_saved {
	unsigned int index;
	opaque saved<WF_X_SAVED_MAX>;
};

struct wf_x_runner {
	string id<WF_X_NAME_MAX>;
	hyper born_ms;
};

/* tasks holds the tasks that have been started and are not done. Each is packed
 * into fields of WF_X_*_BITS, lowest bits first: index of the task, number of
 * failures, whether it may be active at a runner, index of that runner in
 * runners, and number of its last run. */
struct wf_x_state {
	unsigned int state;
	hyper ended_ms;
	string detail<WF_X_SAVED_MAX>;
	opaque done<WF_X_DONE_MAX>; /* bit set of the tasks that are done */
	wf_x_runner runners<WF_X_RUNNERS_MAX>;
	unsigned hyper tasks<WF_X_TASKS_MAX>;
	wf_x_saved saved<WF_X_TASKS_MAX>;
};

/* Latest failed run of a gang, which is named by the index of its first task;
 * run is 0 when none has been counted. */
struct wf_x_failed_run {
	unsigned int index;
	unsigned int run;
};

/* Follows the state record of a job with gangs that have failed and have tasks
 * on runners: the further ends of the same run do not count as failures. Records
 * of earlier versions end without it; earlier versions ignore it. */
struct wf_x_failed_runs {
	wf_x_failed_run runs<WF_X_TASKS_MAX>;
};

/* The instance with the highest score stands for election first. capacity is
 * its capacity for relaying orders, in thousandths of a core. */
struct wf_x_peer {
	int score;
	unsigned int capacity;
	string rpc<WF_X_NAME_MAX>;
	string domain<WF_X_NAME_MAX>;
	string region<WF_X_NAME_MAX>;
};

/* Position of a push with counts of pending jobs among those of its round, in
 * which the leader pushes all counts that are not 0. total is the number of
 * pushes in the round, or 0 while it is not known. */
struct wf_x_round {
	unsigned hyper fence;
	unsigned hyper round;
	unsigned int index;
	unsigned int total;
};
