#ifndef AGB_JOURNAL_H
#define AGB_JOURNAL_H

/**
 * DOC: journal
 *
 * Storage format of a shard's journal and snapshot: keys, values and records.
 * Each value carries a format version and a record count. A value that is
 * damaged or was written by a newer version is rejected as a whole, never read
 * in part.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "gen/agb_journal.h"

/* Largest journal value and snapshot chunk in bytes. The store accepts values
 * of up to 1 MB, and a transaction should stay well under that limit. */
#define AGB_JOURNAL_VALUE_MAX ((size_t)512 * 1024)
#define AGB_JOURNAL_CHUNK_MAX ((size_t)900 * 1000)

/**
 * struct agb_journal_value - a value under construction
 * @data: owned; starts with room for the encoded head
 * @len: bytes used, including the head
 * @cap: bytes allocated
 * @records: number of records added
 */
struct agb_journal_value {
	char *data;
	size_t len;
	size_t cap;
	uint32_t records;
};

/**
 * agb_journal_encode() - encode one record
 * @len: set to the size of the encoding in bytes
 * Return: a new buffer, or NULL when a field exceeds its limit.
 */
char *agb_journal_encode(agb_j_record *rec, size_t *len);

/**
 * agb_journal_add() - append an encoded record to a value
 */
void agb_journal_add(
    struct agb_journal_value *v, const char *bytes, size_t len);

/**
 * agb_journal_seal() - complete a value by encoding its head
 * @head: its magic, format and records are filled in here; the caller sets the
 *	other fields
 */
void agb_journal_seal(struct agb_journal_value *v, agb_j_head *head);

/**
 * agb_journal_value_free() - free the data of a value and zero it
 */
void agb_journal_value_free(struct agb_journal_value *v);

/**
 * agb_journal_read_head() - decode the head of a value
 * Return: false when the value is too short or not of this format and version.
 */
bool agb_journal_read_head(const char *val, size_t len, agb_j_head *head);

typedef void (*agb_journal_record_cb)(
    void *arg, const agb_j_head *head, agb_j_record *rec);

/**
 * agb_journal_read() - decode all records of a value
 * @cb: called for each record after the whole value has been decoded
 * Return: false, without calling @cb, when the value is damaged or of another
 * version.
 */
bool agb_journal_read(
    const char *val, size_t len, agb_journal_record_cb cb, void *arg);

/**
 * agb_journal_key() - store key of a journal value
 * @shard_prefix: "agatebeam/<environment>/shard/<domain>/"
 * Return: a new string; keys sort by epoch, then by @seq.
 */
char *agb_journal_key(const char *shard_prefix, uint64_t epoch, uint64_t seq);

/**
 * agb_journal_chunk_key() - store key of a snapshot chunk
 * @epoch: with @seq, identifies the last journal value that the snapshot covers
 * @chunk: index of the chunk, from 0
 * Return: a new string.
 */
char *agb_journal_chunk_key(
    const char *shard_prefix, uint64_t epoch, uint64_t seq, uint32_t chunk);

#endif
