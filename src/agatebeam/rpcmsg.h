#ifndef AGB_RPCMSG_H
#define AGB_RPCMSG_H

/**
 * DOC: rpcmsg
 *
 * Messages of ONC RPC (RFC 5531) and their record marking, as bytes. Nothing
 * here does I/O.
 */

#include <rpc/rpc.h>

#include "gen/agb_proto.h"
#include "types.h"

/* Largest record, its header excluded: a document of 1 MB with room. */
#define AGB_RPC_RECORD_MAX ((size_t)2 * 1024 * 1024)
/* Bytes that a record needs beyond the XDR form of its body. */
#define AGB_RPC_RECORD_OVERHEAD 64
#define AGB_RPC_BUF_LEN (AGB_RPC_RECORD_MAX + AGB_RPC_RECORD_OVERHEAD)

/**
 * enum agb_rpcmsg_status - what a record is
 * @AGB_RPC_OK: a well-formed call or successful reply
 * @AGB_RPC_MALFORMED: not a message of this kind; the connection is useless
 * @AGB_RPC_VERSION_MISMATCH: a call of another version of the RPC protocol
 * @AGB_RPC_PROG_UNAVAIL: a call of another program
 * @AGB_RPC_PROG_MISMATCH: a call of another version of the program
 * @AGB_RPC_PROC_UNAVAIL: a call of an unknown procedure
 * @AGB_RPC_GARBAGE_ARGS: its arguments cannot be decoded
 * @AGB_RPC_SYSTEM_ERR: a reply that says that the peer failed inside the call
 */
enum agb_rpcmsg_status {
	AGB_RPC_OK,
	AGB_RPC_MALFORMED,
	AGB_RPC_VERSION_MISMATCH,
	AGB_RPC_PROG_UNAVAIL,
	AGB_RPC_PROG_MISMATCH,
	AGB_RPC_PROC_UNAVAIL,
	AGB_RPC_GARBAGE_ARGS,
	AGB_RPC_SYSTEM_ERR,
};

/**
 * agb_rpcmsg_encode_call() - write a call with its record mark
 * @buf: AGB_RPC_BUF_LEN bytes
 * Return: bytes written, 0 when @args cannot be encoded (a NULL string, a
 * wrong discriminant, too large). AddressSanitizer stops at a NULL string.
 */
size_t agb_rpcmsg_encode_call(char *buf, uint32_t xid, const agb_x_args *args);

/**
 * agb_rpcmsg_encode_reply() - write a reply with its record mark
 * @status: OK with @res, else the error that is reported
 * Return: as of agb_rpcmsg_encode_call().
 */
size_t agb_rpcmsg_encode_reply(char *buf, uint32_t xid,
    enum agb_rpcmsg_status status, const agb_x_res *res);

/**
 * agb_rpcmsg_parse_call() - read a record as a call
 * @args: zeroed and filled when OK; freed by xdr_free()
 * @xid: holds for every verdict but MALFORMED
 */
enum agb_rpcmsg_status agb_rpcmsg_parse_call(
    const char *rec, size_t len, uint32_t *xid, agb_x_args *args);

/**
 * agb_rpcmsg_parse_reply() - read a record as a reply, up to its result
 * @body: set to the offset of the result when OK
 */
enum agb_rpcmsg_status agb_rpcmsg_parse_reply(
    const char *rec, size_t len, uint32_t *xid, size_t *body);

/**
 * agb_rpcmsg_parse_res() - read the result of a reply
 * @proc: procedure that was called
 * @res: zeroed and filled when it returns true; freed by xdr_free()
 */
bool agb_rpcmsg_parse_res(
    const char *body, size_t len, agb_x_proc proc, agb_x_res *res);

/**
 * struct agb_rpcmsg_reader - collects records out of a stream of bytes
 */
struct agb_rpcmsg_reader {
	char *in;
	size_t in_len;
	size_t in_cap;
	size_t pos;
	char *rec; /* fragments of an unfinished record */
	size_t rec_len;
};

/**
 * agb_rpcmsg_reader_reserve() - room for more bytes of the stream
 * @len: set to its size, at least 4096
 */
char *agb_rpcmsg_reader_reserve(struct agb_rpcmsg_reader *r, size_t *len);

/**
 * agb_rpcmsg_reader_commit() - @len bytes have been put into the room
 */
void agb_rpcmsg_reader_commit(struct agb_rpcmsg_reader *r, size_t len);

/**
 * agb_rpcmsg_reader_next() - next record
 * @rec: set to the record, valid until the next call on the reader; NULL
 *	when no record is complete
 * Return: false when the stream is malformed (a record too large, of an odd
 * length, or with an empty fragment).
 */
bool agb_rpcmsg_reader_next(
    struct agb_rpcmsg_reader *r, const char **rec, size_t *len);

/**
 * agb_rpcmsg_reader_in_record() - whether the stream has ended inside a record
 */
bool agb_rpcmsg_reader_in_record(const struct agb_rpcmsg_reader *r);

void agb_rpcmsg_reader_free(struct agb_rpcmsg_reader *r);

#endif
