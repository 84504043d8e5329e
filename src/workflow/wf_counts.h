#ifndef WF_COUNTS_H
#define WF_COUNTS_H

/**
 * DOC: wf_counts
 *
 * Numbers of the pending jobs in the queues: those that the leader counts and
 * pushes, and those that another instance has received.
 *
 * A count is pushed when it has changed. Besides, the leader repeats all counts
 * that are not 0 in rounds, as pushes may be lost. Each push carries its
 * position in the round. An instance that has received all pushes of a round
 * takes every count that was not among them for 0. So neither idle queues nor
 * a change of the leader cause any traffic.
 */

#include <uthash.h>

#include "wf_event.h"
#include "wf_types.h"

struct wf_table;

/* Key of the record with the position of a push in its round. */
#define WF_KEY_COUNTS_ROUND "ab/q!"
/* Maximum number of counts in one push. Together with as many job states as one
 * may hold, they take about 30 KB: the leader's link carries several such pushes
 * between two times at which it pushes. */
#define WF_COUNTS_PER_PUSH 256

/**
 * struct wf_count - pending jobs of a queue, at the leader
 * @pushed: value that was pushed last; 0 for none
 * @round: round in which it was pushed last
 */
struct wf_count {
	agb_id queue;
	uint32_t pending;
	uint32_t pushed;
	uint64_t round;
	UT_hash_handle hh;
};

/**
 * struct wf_counts - counts of the leader
 * @queues: the queues of the document, by name
 * @doc_version: version of the document that they were read from
 * @doc_known: they were read from a document
 * @next: queue that is looked at next
 * @due: there may be counts to push
 * @round: number of the round, from 1 on
 * @left: number of queues that the round has not looked at
 * @pushes: number of pushes in the round so far
 * @total: number of pushes in the round; 0 until all queues were looked at
 * @round_at: when the next round begins
 */
struct wf_counts {
	struct wf_count *queues;
	uint64_t doc_version;
	bool doc_known;
	struct wf_count *next;
	bool due;
	uint64_t round;
	size_t left;
	uint32_t pushes;
	uint32_t total;
	agb_time round_at;
};

void wf_counts_free(struct wf_counts *c);

/**
 * wf_counts_update() - count the pending jobs of the queues in the document
 * @doc: may be NULL
 *
 * The work grows with the number of jobs, and that of queues when the document
 * has changed.
 */
void wf_counts_update(struct wf_counts *c, const struct wf_table *t,
    const struct wf_doc *doc, agb_time now);

/**
 * wf_counts_take() - make the records of the next push
 * @fence: revision of the leader's election
 * @items: room for WF_COUNTS_PER_PUSH records and one more
 * Return: number of records made, which the caller frees.
 */
size_t wf_counts_take(
    struct wf_counts *c, uint64_t fence, struct wf_record *items);

/**
 * struct wf_known_count - pending jobs of a queue, as received
 * @round: round of the push that it came with; 0 when that was of another
 *	leader
 * @index: position of that push in the round
 */
struct wf_known_count {
	agb_id queue;
	uint32_t pending;
	uint64_t round;
	uint32_t index;
	UT_hash_handle hh;
};

/**
 * struct wf_known_counts - counts that were received from the leader
 * @queues: by name; a queue that is not among them has no pending job
 * @fence: election of the leader that they came from; 0 when unknown
 * @round: round that is being received
 * @received: number of its pushes that were received without a gap
 * @complete: last round that was received as a whole; 0 for none
 * @push_round: round of the push that is being applied; 0 when it has none
 * @push_index: its position in the round
 * @push_outdated: that push is of an earlier leader or of an earlier round
 * @completed: number of rounds that were received as a whole, of all leaders
 */
struct wf_known_counts {
	struct wf_known_count *queues;
	uint64_t fence;
	uint64_t round;
	uint32_t received;
	uint64_t complete;
	uint64_t push_round;
	uint32_t push_index;
	bool push_outdated;
	uint64_t completed;
};

void wf_known_counts_free(struct wf_known_counts *k);

/**
 * wf_known_counts_begin_push() - note that the records of a push follow
 */
void wf_known_counts_begin_push(struct wf_known_counts *k);

/**
 * wf_known_counts_set_round() - apply the record with the position of a push
 * Return: false when it is malformed.
 */
bool wf_known_counts_set_round(
    struct wf_known_counts *k, const char *raw, size_t len);

/**
 * wf_known_counts_set() - apply the count of a queue
 * Return: false when it is malformed.
 */
bool wf_known_counts_set(
    struct wf_known_counts *k, const char *queue, const char *raw, size_t len);

/**
 * wf_known_counts_get() - number of pending jobs in a queue
 */
uint32_t wf_known_counts_get(
    const struct wf_known_counts *k, const char *queue);

#endif
