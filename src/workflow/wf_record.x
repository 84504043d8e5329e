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

/* submitted_ms and first_ms are Unix milliseconds. */
struct wf_x_job {
	string queue<WF_X_NAME_MAX>;
	hyper submitted_ms;
	hyper first_ms;
	unsigned int period_ms;
	unsigned int times;
	opaque spec<WF_X_SPEC_MAX>;
	wf_x_step steps<WF_X_STEPS_MAX>;
};

/* A task that has been started and is not done. runner indexes runners of its
 * state; it holds while the task may run there. */
struct wf_x_task {
	unsigned int index;
	unsigned int state;
	unsigned int run;
	unsigned int failures;
	unsigned int runner;
	opaque saved<WF_X_SAVED_MAX>;
};

struct wf_x_runner {
	string id<WF_X_NAME_MAX>;
	hyper born_ms;
};

struct wf_x_state {
	unsigned int state;
	hyper ended_ms;
	string detail<WF_X_SAVED_MAX>;
	opaque done<WF_X_DONE_MAX>; /* bit set of the tasks that are done */
	wf_x_runner runners<WF_X_RUNNERS_MAX>;
	wf_x_task tasks<WF_X_TASKS_MAX>;
};

/* score: the higher, the sooner it stands for election. */
struct wf_x_peer {
	int score;
	string rpc<WF_X_NAME_MAX>;
	string domain<WF_X_NAME_MAX>;
	string region<WF_X_NAME_MAX>;
};
