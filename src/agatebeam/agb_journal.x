/*
 * Records of a shard's journal and snapshot. A stored value is one agb_j_head
 * followed by head.records agb_j_record structures. `make proto` generates
 * agb_journal.h and agb_journal_xdr.c.
 */

const AGB_J_MAGIC = 0x4147424a;
const AGB_J_VERSION = 1;
const AGB_J_NAME_MAX = 47;
const AGB_J_ID_MAX = 63;
const AGB_J_KEY_MAX = 128;
const AGB_J_DETAIL_MAX = 191;
const AGB_J_BYTES_MAX = 65536;

/*
 * epoch, seq: of a journal value, the owner that wrote it and its number; of a
 *	snapshot, the last journal value that the snapshot covers.
 * at_ms: the writer's clock, comparable only between values of one epoch.
 * chunk, last: position in a snapshot; a journal value has chunk 0 and last
 *	set.
 */
struct agb_j_head {
	unsigned int magic;
	unsigned int format;
	unsigned hyper epoch;
	unsigned hyper seq;
	unsigned hyper at_ms;
	unsigned int chunk;
	bool last;
	unsigned int records;
};

enum agb_j_type {
	AGB_J_JOB = 1,
	AGB_J_START = 2,
	AGB_J_ENDED = 3,
	AGB_J_DONE = 4,
	AGB_J_CANCEL = 5,
	AGB_J_QUICK = 6,
	AGB_J_QUICK_DONE = 7
};

/* An accepted job. It was accepted age_ms before the head's at_ms. */
struct agb_j_job {
	string job<AGB_J_ID_MAX>;
	string work<AGB_J_NAME_MAX>;
	string team<AGB_J_NAME_MAX>;
	string key<AGB_J_KEY_MAX>;
	unsigned int tasks;
	hyper cpu_milli;
	hyper mem_mb;
	hyper accel;
	unsigned int run_ms;
	unsigned int deadline_ms;
	unsigned hyper age_ms;
	bool idempotent;
	opaque args<AGB_J_BYTES_MAX>;
};

/* Intent to start a task. Durable before the START command is sent. */
struct agb_j_start {
	string job<AGB_J_ID_MAX>;
	unsigned int task;
	unsigned hyper epoch;
	unsigned hyper seq;
	string worker<AGB_J_NAME_MAX>;
	string boot<AGB_J_NAME_MAX>;
};

/* End of an attempt of a task; result is an enum agb_result. */
struct agb_j_ended {
	string job<AGB_J_ID_MAX>;
	unsigned int task;
	unsigned hyper epoch;
	unsigned hyper seq;
	int result;
	opaque text<AGB_J_BYTES_MAX>;
};

/* End of a job, age_ms before the head's at_ms. outcome and reason are the
 * enums agb_outcome and agb_reason. */
struct agb_j_done {
	string job<AGB_J_ID_MAX>;
	int outcome;
	int reason;
	string detail<AGB_J_DETAIL_MAX>;
	unsigned hyper age_ms;
	opaque result<AGB_J_BYTES_MAX>;
};

struct agb_j_cancel {
	string job<AGB_J_ID_MAX>;
};

/* Use of an idempotency key by a quick request. Durable before its grant is
 * sent to the caller. */
struct agb_j_quick {
	string team<AGB_J_NAME_MAX>;
	string key<AGB_J_KEY_MAX>;
	unsigned hyper epoch;
	unsigned hyper seq;
	string worker<AGB_J_NAME_MAX>;
	unsigned hyper age_ms;
};

/* End of the attempt of a quick request with an idempotency key; outcome is an
 * enum agb_outcome. */
struct agb_j_quick_done {
	string team<AGB_J_NAME_MAX>;
	string key<AGB_J_KEY_MAX>;
	unsigned hyper epoch;
	unsigned hyper seq;
	int outcome;
};

union agb_j_record switch (agb_j_type type) {
case AGB_J_JOB:
	agb_j_job job;
case AGB_J_START:
	agb_j_start start;
case AGB_J_ENDED:
	agb_j_ended ended;
case AGB_J_DONE:
	agb_j_done done;
case AGB_J_CANCEL:
	agb_j_cancel cancel;
case AGB_J_QUICK:
	agb_j_quick quick;
case AGB_J_QUICK_DONE:
	agb_j_quick_done quick_done;
};
