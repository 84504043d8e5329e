#ifndef REVIEW_WORLD_H
#define REVIEW_WORLD_H

/*
 * Stand-ins for the cases of the second review: the platform (store, runners,
 * supervisor of the machines) and clients, all on loopback addresses and the
 * real clock. They do what PROTOCOL.md and DEPLOY.md describe; where the pages
 * are silent they behave soundly.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>
#include <uv.h>

#define NODES_MAX 16
#define RUNNERS_MAX 64

/* ---- time, record, end ---- */

extern uv_loop_t *world_loop;
extern bool world_trouble; /* false with TROUBLE=0 */

/* Milliseconds since the start of the case. */
int64_t world_ms(void);
int64_t world_unix_ms(void);

/* Writes a line to record.txt. */
void rec(const char *fmt, ...) __attribute__((format(printf, 1, 2)));

/* Ends all processes, then the case: 0 held, 1 broken, 2 could not run. */
void world_finish(int code, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));

/* Calls back once after @ms. */
void after(int64_t ms, void (*cb)(void *arg), void *arg);

/* ---- store ---- */

void store_start(void);
const char *store_addr(void);
/* Writes a key as the operator or a runner does; the store's answer to the
 * operator is its return. */
void store_put(const char *key, const char *text);
void store_delete(const char *key);

/* ---- runners ---- */

struct run {
	char task[96];
	uint32_t run_id;
	int64_t started_ms;
	int64_t duration_ms; /* 0: until it is stopped */
	bool fails;
	int64_t ends_at; /* after a stop; 0: not stopped */
	unsigned gang;	 /* number of members; 0: no gang */
	bool waits;	 /* for the others of its gang */
};

struct runner {
	char id[32];
	char addr[64];
	char zone[32];
	int64_t cpu;
	int64_t born_unix_ms;
	int64_t born_ms;
	uint64_t fence;
	int64_t lease_until; /* on the runner's clock */
	uint64_t seq;        /* of its entry */
	struct run *runs;
	size_t runs_len;
	bool is_cut;  /* from all machines, both ways; not from the store */
	bool is_down; /* crashed */
};

extern struct runner runners[RUNNERS_MAX];
extern size_t runners_len;

/*
 * Starts @n runners of @cpu thousandths of a core. The spec of a job tells them
 * what its tasks do: "MS" milliseconds of work; "MS fail" ends as failed, and
 * "MS fail1" in the first run only; "gang=N": all N members work together.
 */
void runners_start(size_t n, int64_t cpu, const char *service);

/* The runner crashes: its runs are gone. */
void runner_crash(struct runner *r);

/* It starts again under its id, and holds and knows nothing of before. */
void runner_restart(struct runner *r);

/*
 * Asked at each start. If it returns true, the start is not answered, and kept
 * to be carried out later by runner_carry_out().
 */
extern bool (*on_start_order)(const struct runner *r, const char *task);
void runner_carry_out(struct runner *r);

/* A start that a runner has accepted, or an end. @how is NULL for a start. */
extern void (*on_run_event)(const struct runner *r, const char *task,
    uint32_t run_id, const char *how);

/* ---- machines ---- */

struct node {
	char name[32];
	char zone[32];
	char ip[32];
	char front[64];
	char ready[64];
	char dir[256];
	uv_process_t process;
	pid_t pid;
	bool running;
	bool is_ready;
	unsigned starts;
	unsigned memory_ends; /* ended by the platform: over its memory */
	unsigned own_ends;    /* ended otherwise, by itself */
	int64_t peak_kb;
};

extern struct node nodes[NODES_MAX];
extern size_t nodes_len;

/* The machine whose name is in the key of the leader, or NULL. */
struct node *node_leader(void);

/* Starts the machines: three zones in turn. */
void nodes_start(size_t n, unsigned memory_mb);

/* ---- clients ---- */

/*
 * Sends a request on a channel of its own. The callback gets the status, 0 when
 * the channel ended without a complete answer, and the body.
 */
typedef void (*answer_cb)(void *arg, int status, const char *body);
/* Sent as X-Api-Key with each request; NULL: none. */
extern const char *client_key;
void client_send(const char *addr, const char *method, const char *host,
    const char *path, const char *body, size_t body_len, int64_t timeout_ms,
    answer_cb cb, void *arg);

/* ---- cases ---- */

void case_memory(void);
void case_gang(void);
void case_late(void);
void case_limit(void);

#endif
