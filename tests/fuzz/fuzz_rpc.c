/*
 * Fuzz target for the reader and parsers of RPC records. Guards against bytes
 * from a peer that crash them or leak memory, and against a call that is decoded
 * to arguments that cannot be encoded.
 */

#include <stdlib.h>
#include <string.h>

#include "rpcmsg.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void
decode_record(const char *rec, size_t len)
{
	static char buf[AGB_RPC_BUF_LEN];
	agb_x_args args;
	agb_x_res res;
	uint32_t xid;
	size_t body = 0;
	int proc;

	if (agb_rpcmsg_parse_call(rec, len, &xid, &args) == AGB_RPC_OK) {
		if (agb_rpcmsg_encode_call(buf, xid, &args) == 0)
			abort();
		xdr_free((xdrproc_t)xdr_agb_x_args, (char *)&args);
	}
	if (agb_rpcmsg_parse_reply(rec, len, &xid, &body) != AGB_RPC_OK)
		return;
	for (proc = 0; proc <= AGB_X_PAYLOAD; proc++) {
		if (agb_rpcmsg_parse_res(
			rec + body, len - body, (agb_x_proc)proc, &res))
			xdr_free((xdrproc_t)xdr_agb_x_res, (char *)&res);
	}
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct agb_rpcmsg_reader r = {0};
	size_t space, n, len = 0;
	const char *rec;
	bool ok = true;

	while (ok && size > 0) {
		char *const p = agb_rpcmsg_reader_reserve(&r, &space);

		/* Chunks of 97 bytes split records at arbitrary offsets. */
		n = size < 97 ? size : 97;
		memcpy(p, data, n);
		agb_rpcmsg_reader_commit(&r, n);
		data += n;
		size -= n;
		while ((ok = agb_rpcmsg_reader_next(&r, &rec, &len)) &&
		    rec != NULL)
			decode_record(rec, len);
	}
	agb_rpcmsg_reader_free(&r);
	return 0;
}
