#ifndef AGB_JOURNAL_H
#define AGB_JOURNAL_H

/**
 * DOC: journal
 *
 * Format of a shard's journal and snapshot: keys, values, records. The
 * values carry a version and a record count, so that a value of a newer
 * program or a damaged one is refused and never read in part.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "gen/agb_journal.h"

/* Records gathered into one journal value. The store takes 1 MB a value and
 * a transaction should stay well under its limit. */
#define AGB_JOURNAL_VALUE_MAX ((size_t)512 * 1024)
#define AGB_JOURNAL_CHUNK_MAX ((size_t)900 * 1000)

/**
 * struct agb_journal_value - a value being put together
 * @data: owned; the head's place comes first
 */
struct agb_journal_value {
	char *data;
	size_t len;
	size_t cap;
	uint32_t records;
};

/**
 * agb_journal_encode() - bytes of one record
 * @len: set to their number
 * Return: a new buffer, or NULL when a field is over its limit.
 */
char *agb_journal_encode(agb_j_record *rec, size_t *len);

/**
 * agb_journal_add() - append the bytes of a record to a value
 */
void agb_journal_add(
    struct agb_journal_value *v, const char *bytes, size_t len);

/**
 * agb_journal_seal() - write the head of a value
 * @head: its magic, format and records are filled in here
 */
void agb_journal_seal(struct agb_journal_value *v, agb_j_head *head);

/**
 * agb_journal_value_free() - free a value and empty it
 */
void agb_journal_value_free(struct agb_journal_value *v);

/**
 * agb_journal_read_head() - read the head of a value
 * Return: false when it is too short or of another format or version.
 */
bool agb_journal_read_head(const char *val, size_t len, agb_j_head *head);

typedef void (*agb_journal_record_cb)(
    void *arg, const agb_j_head *head, agb_j_record *rec);

/**
 * agb_journal_read() - read all records of a value
 * @cb: called for each record once the whole value has been checked
 * Return: false, without a call, when the value is damaged or of another
 * version.
 */
bool agb_journal_read(
    const char *val, size_t len, agb_journal_record_cb cb, void *arg);

/**
 * agb_journal_key() - key of a journal value
 * @shard: "agatebeam/<environment>/shard/<domain>/"
 * Return: a new string; the keys sort by epoch and number.
 */
char *agb_journal_key(const char *shard, uint64_t epoch, uint64_t seq);

/**
 * agb_journal_chunk_key() - key of a snapshot chunk
 * @epoch: with @seq, the last journal value that the snapshot covers
 * Return: a new string.
 */
char *agb_journal_chunk_key(
    const char *shard, uint64_t epoch, uint64_t seq, uint32_t chunk);

#endif
