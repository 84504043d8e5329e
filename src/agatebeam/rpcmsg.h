#ifndef AGB_RPCMSG_H
#define AGB_RPCMSG_H

/**
 * DOC: rpcmsg
 *
 * Encoding and decoding of ONC RPC messages (RFC 5531) with record marking.
 * Does no I/O.
 */

#include <rpc/rpc.h>

#include "gen/agb_proto.h"
#include "types.h"

/* Largest record in bytes, without its record mark: room for a document of
 * 1 MiB and the fields around it. */
#define AGB_RPC_RECORD_MAX ((size_t)2 * 1024 * 1024)
/* Upper bound of the bytes of a record beyond its XDR-encoded body: the record
 * mark and the RPC header. */
#define AGB_RPC_RECORD_OVERHEAD 64
#define AGB_RPC_BUF_LEN (AGB_RPC_RECORD_MAX + AGB_RPC_RECORD_OVERHEAD)

/**
 * enum agb_rpcmsg_status - outcome of parsing a record; most are RFC 5531
 * errors
 * @AGB_RPC_OK: a well-formed call or a successful reply
 * @AGB_RPC_MALFORMED: not a well-formed call or reply; the connection is
 *	unusable
 * @AGB_RPC_VERSION_MISMATCH: the RPC protocol version is not supported
 * @AGB_RPC_PROG_UNAVAIL: the program number is not that of agb_proto.x
 * @AGB_RPC_PROG_MISMATCH: the program version is not supported
 * @AGB_RPC_PROC_UNAVAIL: the procedure is unknown
 * @AGB_RPC_GARBAGE_ARGS: the arguments cannot be decoded
 * @AGB_RPC_SYSTEM_ERR: the peer failed while it handled the call
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
 * agb_rpcmsg_encode_call() - encode a call with its record mark
 * @buf: AGB_RPC_BUF_LEN bytes
 * Return: number of bytes written, or 0 when @args cannot be encoded (a NULL
 * string, an unknown discriminant, too large). Under AddressSanitizer, a NULL
 * string aborts the process instead.
 */
size_t agb_rpcmsg_encode_call(char *buf, uint32_t xid, const agb_x_args *args);

/**
 * agb_rpcmsg_encode_reply() - encode a reply with its record mark
 * @status: AGB_RPC_OK to send @res, else the error to report
 * @res: not used when an error is reported
 * Return: as for agb_rpcmsg_encode_call().
 */
size_t agb_rpcmsg_encode_reply(char *buf, uint32_t xid,
    enum agb_rpcmsg_status status, const agb_x_res *res);

/**
 * agb_rpcmsg_parse_call() - parse a record as a call
 * @xid: valid unless the call is AGB_RPC_MALFORMED
 * @args: set when the call is AGB_RPC_OK, to be freed by xdr_free()
 */
enum agb_rpcmsg_status agb_rpcmsg_parse_call(
    const char *rec, size_t len, uint32_t *xid, agb_x_args *args);

/**
 * agb_rpcmsg_parse_reply() - parse the header of a record as that of a reply
 * @xid: valid unless the reply is AGB_RPC_MALFORMED
 * @body: set to the offset of the result when the reply is AGB_RPC_OK
 */
enum agb_rpcmsg_status agb_rpcmsg_parse_reply(
    const char *rec, size_t len, uint32_t *xid, size_t *body);

/**
 * agb_rpcmsg_parse_res() - parse the result in a reply
 * @proc: procedure that was called
 * @res: set on success, to be freed by xdr_free()
 * Return: false when @body is not a well-formed result of @proc.
 */
bool agb_rpcmsg_parse_res(
    const char *body, size_t len, agb_x_proc proc, agb_x_res *res);

/**
 * struct agb_rpcmsg_reader - splits a byte stream into records
 * @in: buffer of received bytes
 * @pos: offset in @in of the first byte that has not been parsed
 * @rec: fragments received so far of a record with several fragments
 */
struct agb_rpcmsg_reader {
	char *in;
	size_t in_len;
	size_t in_cap;
	size_t pos;
	char *rec;
	size_t rec_len;
};

/**
 * agb_rpcmsg_reader_reserve() - reserve space for more bytes of the stream
 * @len: set to the size of the space, at least 4096 bytes
 * Return: the space, valid until the next call on the reader.
 */
char *agb_rpcmsg_reader_reserve(struct agb_rpcmsg_reader *r, size_t *len);

/**
 * agb_rpcmsg_reader_commit() - add bytes to the stream
 * @len: number of bytes that were written to the reserved space
 */
void agb_rpcmsg_reader_commit(struct agb_rpcmsg_reader *r, size_t len);

/**
 * agb_rpcmsg_reader_next() - extract the next record
 * @rec: set to the record, valid until the next call on the reader, or to NULL
 *	when no further record is complete
 * Return: false when the stream is malformed: a record is too large, or a
 * fragment is empty or its length is not a multiple of 4.
 */
bool agb_rpcmsg_reader_next(
    struct agb_rpcmsg_reader *r, const char **rec, size_t *len);

/**
 * agb_rpcmsg_reader_in_record() - whether part of a record has been received
 */
bool agb_rpcmsg_reader_in_record(const struct agb_rpcmsg_reader *r);

void agb_rpcmsg_reader_free(struct agb_rpcmsg_reader *r);

#endif
