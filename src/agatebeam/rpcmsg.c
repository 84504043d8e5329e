#include "rpcmsg.h"

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

#include "mem.h"

#define WORD sizeof(uint32_t)
/* Words of the header of a call and of an accepted reply, without the record
 * mark. */
#define CALL_WORDS 10
#define REPLY_WORDS 6
#define LAST_FRAGMENT 0x80000000u
/* Maximum size of an opaque_auth body according to RFC 5531. */
#define AUTH_BYTES_MAX 400
#define READ_SPACE_MIN ((size_t)4096)
#define READ_GROWTH ((size_t)16384)

static void
put_word(char *p, size_t i, uint32_t v)
{
	v = htonl(v);
	memcpy(p + i * WORD, &v, WORD);
}

/* Reads words from a record. A read past the end returns 0 and makes the cursor
 * invalid. */
struct cursor {
	const char *p;
	size_t len;
	size_t pos;
	bool invalid;
};

static uint32_t
get_word(struct cursor *c)
{
	uint32_t v;

	if (c->invalid || c->len - c->pos < WORD) {
		c->invalid = true;
		return 0;
	}
	memcpy(&v, c->p + c->pos, WORD);
	c->pos += WORD;
	return ntohl(v);
}

/* Skips a credential or verifier. They are ignored: peers are authenticated by
 * their addresses. */
static void
skip_auth(struct cursor *c)
{
	size_t len;

	get_word(c);
	len = (get_word(c) + 3u) & ~(size_t)3;
	if (c->invalid || len > AUTH_BYTES_MAX || c->len - c->pos < len)
		c->invalid = true;
	else
		c->pos += len;
}

/* Encodes @obj after the header of @words words, record mark included, and sets
 * the record mark. Returns the size of the record, or 0 on failure. */
static size_t
encode_body(char *buf, size_t words, xdrproc_t proc, const void *obj)
{
	XDR x;
	bool ok;
	size_t len;

	xdrmem_create(&x, buf + words * WORD,
	    (u_int)(AGB_RPC_RECORD_MAX - words * WORD), XDR_ENCODE);
	ok = obj == NULL || proc(&x, (void *)obj);
	len = (words - 1) * WORD + xdr_getpos(&x);
	xdr_destroy(&x);
	if (!ok)
		return 0;
	put_word(buf, 0, LAST_FRAGMENT | (uint32_t)len);
	return len + WORD;
}

size_t
agb_rpcmsg_encode_call(char *buf, uint32_t xid, const agb_x_args *args)
{
	memset(buf, 0, (CALL_WORDS + 1) * WORD);
	put_word(buf, 1, xid);
	put_word(buf, 2, CALL);
	put_word(buf, 3, RPC_MSG_VERSION);
	put_word(buf, 4, AGB_X_PROG);
	put_word(buf, 5, AGB_X_VERS);
	put_word(buf, 6, args->proc);
	/* Words 7 to 10 stay zero: AUTH_NONE as credential and as verifier. */
	return encode_body(
	    buf, CALL_WORDS + 1, (xdrproc_t)xdr_agb_x_args, args);
}

size_t
agb_rpcmsg_encode_reply(char *buf, uint32_t xid, enum agb_rpcmsg_status status,
    const agb_x_res *res)
{
	static const uint32_t accept_stats[] = {
	    [AGB_RPC_OK] = SUCCESS,
	    [AGB_RPC_MALFORMED] = GARBAGE_ARGS,
	    [AGB_RPC_VERSION_MISMATCH] = 0,
	    [AGB_RPC_PROG_UNAVAIL] = PROG_UNAVAIL,
	    [AGB_RPC_PROG_MISMATCH] = PROG_MISMATCH,
	    [AGB_RPC_PROC_UNAVAIL] = PROC_UNAVAIL,
	    [AGB_RPC_GARBAGE_ARGS] = GARBAGE_ARGS,
	    [AGB_RPC_SYSTEM_ERR] = SYSTEM_ERR,
	};
	size_t words = REPLY_WORDS + 1;

	memset(buf, 0, (REPLY_WORDS + 3) * WORD);
	put_word(buf, 1, xid);
	put_word(buf, 2, REPLY);
	if (status == AGB_RPC_VERSION_MISMATCH) {
		put_word(buf, 3, MSG_DENIED);
		put_word(buf, 4, RPC_MISMATCH);
		put_word(buf, 5, RPC_MSG_VERSION);
		put_word(buf, 6, RPC_MSG_VERSION);
		return encode_body(buf, words, NULL, NULL);
	}
	put_word(buf, 3, MSG_ACCEPTED);
	put_word(buf, 6, accept_stats[status]);
	if (status == AGB_RPC_PROG_MISMATCH) {
		put_word(buf, 7, AGB_X_VERS);
		put_word(buf, 8, AGB_X_VERS);
		words += 2;
	}
	return encode_body(buf, words, (xdrproc_t)xdr_agb_x_res,
	    status == AGB_RPC_OK ? res : NULL);
}

/* Decodes a body, which must have no bytes left over. On failure, frees what
 * was decoded so far. */
static bool
decode_body(const char *body, size_t len, xdrproc_t proc, void *obj)
{
	XDR x;
	bool ok;

	xdrmem_create(&x, (char *)body, (u_int)len, XDR_DECODE);
	ok = proc(&x, obj) && xdr_getpos(&x) == len;
	xdr_destroy(&x);
	if (!ok)
		xdr_free(proc, obj);
	return ok;
}

enum agb_rpcmsg_status
agb_rpcmsg_parse_call(
    const char *rec, size_t len, uint32_t *xid, agb_x_args *args)
{
	struct cursor c = {rec, len, 0, false};
	uint32_t prog, vers, proc;

	memset(args, 0, sizeof(*args));
	*xid = get_word(&c);
	if (get_word(&c) != CALL || c.invalid)
		return AGB_RPC_MALFORMED;
	if (get_word(&c) != RPC_MSG_VERSION)
		return c.invalid ? AGB_RPC_MALFORMED : AGB_RPC_VERSION_MISMATCH;
	prog = get_word(&c);
	vers = get_word(&c);
	proc = get_word(&c);
	skip_auth(&c);
	skip_auth(&c);
	if (c.invalid)
		return AGB_RPC_MALFORMED;
	if (prog != AGB_X_PROG)
		return AGB_RPC_PROG_UNAVAIL;
	if (vers != AGB_X_VERS)
		return AGB_RPC_PROG_MISMATCH;
	if (proc > AGB_X_PAYLOAD)
		return AGB_RPC_PROC_UNAVAIL;
	if (!decode_body(
		rec + c.pos, len - c.pos, (xdrproc_t)xdr_agb_x_args, args))
		return AGB_RPC_GARBAGE_ARGS;
	if ((uint32_t)args->proc != proc) {
		xdr_free((xdrproc_t)xdr_agb_x_args, (char *)args);
		return AGB_RPC_GARBAGE_ARGS;
	}
	return AGB_RPC_OK;
}

enum agb_rpcmsg_status
agb_rpcmsg_parse_reply(const char *rec, size_t len, uint32_t *xid, size_t *body)
{
	struct cursor c = {rec, len, 0, false};
	uint32_t stat;

	*xid = get_word(&c);
	if (get_word(&c) != REPLY)
		return AGB_RPC_MALFORMED;
	stat = get_word(&c);
	if (stat == MSG_DENIED)
		return c.invalid ? AGB_RPC_MALFORMED : AGB_RPC_VERSION_MISMATCH;
	skip_auth(&c);
	if (stat != MSG_ACCEPTED)
		return AGB_RPC_MALFORMED;
	stat = get_word(&c);
	if (c.invalid)
		return AGB_RPC_MALFORMED;
	*body = c.pos;
	switch (stat) {
	case SUCCESS:
		return AGB_RPC_OK;
	case PROG_UNAVAIL:
		return AGB_RPC_PROG_UNAVAIL;
	case PROG_MISMATCH:
		return AGB_RPC_PROG_MISMATCH;
	case PROC_UNAVAIL:
		return AGB_RPC_PROC_UNAVAIL;
	case GARBAGE_ARGS:
		return AGB_RPC_GARBAGE_ARGS;
	case SYSTEM_ERR:
		return AGB_RPC_SYSTEM_ERR;
	default:
		return AGB_RPC_MALFORMED;
	}
}

bool
agb_rpcmsg_parse_res(
    const char *body, size_t len, agb_x_proc proc, agb_x_res *res)
{
	memset(res, 0, sizeof(*res));
	if (!decode_body(body, len, (xdrproc_t)xdr_agb_x_res, res))
		return false;
	if (res->proc == proc)
		return true;
	xdr_free((xdrproc_t)xdr_agb_x_res, (char *)res);
	return false;
}

char *
agb_rpcmsg_reader_reserve(struct agb_rpcmsg_reader *r, size_t *len)
{
	if (r->pos > 0) {
		memmove(r->in, r->in + r->pos, r->in_len - r->pos);
		r->in_len -= r->pos;
		r->pos = 0;
	}
	if (r->in_cap - r->in_len < READ_SPACE_MIN) {
		r->in_cap = r->in_len * 2 + READ_GROWTH;
		r->in = agb_xreallocarray(r->in, r->in_cap, 1);
	}
	*len = r->in_cap - r->in_len;
	return r->in + r->in_len;
}

void
agb_rpcmsg_reader_commit(struct agb_rpcmsg_reader *r, size_t len)
{
	r->in_len += len;
}

bool
agb_rpcmsg_reader_next(
    struct agb_rpcmsg_reader *r, const char **rec, size_t *len)
{
	const char *frag;
	uint32_t mark;
	size_t n;

	*rec = NULL;
	while (r->in_len - r->pos >= WORD) {
		memcpy(&mark, r->in + r->pos, WORD);
		mark = ntohl(mark);
		n = mark & ~LAST_FRAGMENT;
		if (n == 0 || n % WORD != 0 ||
		    n > AGB_RPC_RECORD_MAX - r->rec_len)
			return false;
		if (r->in_len - r->pos - WORD < n)
			return true;
		frag = r->in + r->pos + WORD;
		r->pos += WORD + n;
		if ((mark & LAST_FRAGMENT) != 0 && r->rec_len == 0) {
			*rec = frag;
			*len = n;
			return true;
		}
		r->rec = agb_xreallocarray(r->rec, r->rec_len + n, 1);
		memcpy(r->rec + r->rec_len, frag, n);
		r->rec_len += n;
		if ((mark & LAST_FRAGMENT) != 0) {
			*rec = r->rec;
			*len = r->rec_len;
			r->rec_len = 0;
			return true;
		}
	}
	return true;
}

bool
agb_rpcmsg_reader_in_record(const struct agb_rpcmsg_reader *r)
{
	return r->in_len > r->pos || r->rec_len > 0;
}

void
agb_rpcmsg_reader_free(struct agb_rpcmsg_reader *r)
{
	free(r->in);
	free(r->rec);
	memset(r, 0, sizeof(*r));
}
