/*
 * Records that instances keep in the platform's store: what a caller has
 * submitted, how far its tasks are, and where instances reach each other.
 */

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

/* Values of wf_x_step.flags. */
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

/* submitted_ms and first_ms are Unix milliseconds. home: where the instance
 * that accepted it reaches others. */
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

/* Checkpoint of a task that has been started and is not done. */
struct wf_x_saved {
	unsigned int index;
	opaque saved<WF_X_SAVED_MAX>;
};

struct wf_x_runner {
	string id<WF_X_NAME_MAX>;
	hyper born_ms;
};

/* tasks: those that have been started and are not done, each packed into a
 * number of WF_X_*_BITS, lowest part first: its index, its failures, whether it
 * may be at a runner, which of runners that is, and its last run. */
struct wf_x_state {
	unsigned int state;
	hyper ended_ms;
	string detail<WF_X_SAVED_MAX>;
	opaque done<WF_X_DONE_MAX>; /* bit set of the tasks that are done */
	wf_x_runner runners<WF_X_RUNNERS_MAX>;
	unsigned hyper tasks<WF_X_TASKS_MAX>;
	wf_x_saved saved<WF_X_TASKS_MAX>;
};

/* score: the higher, the sooner it stands for election. capacity: how much
 * work for others it can take, in permille of a processor. */
struct wf_x_peer {
	int score;
	unsigned int capacity;
	string rpc<WF_X_NAME_MAX>;
	string domain<WF_X_NAME_MAX>;
	string region<WF_X_NAME_MAX>;
};
