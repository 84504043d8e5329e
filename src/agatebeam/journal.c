#include "journal.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "mem.h"

/* Bytes of an encoded agb_j_head: 3 integers of 8 bytes and 5 of 4 bytes. */
#define HEAD_LEN ((size_t)44)

char *
agb_journal_encode(agb_j_record *rec, size_t *len)
{
	const size_t size = xdr_sizeof((xdrproc_t)xdr_agb_j_record, rec);
	char *buf;
	XDR x;

	if (size == 0 || size > AGB_JOURNAL_VALUE_MAX)
		return NULL;
	buf = agb_xcalloc(size, 1);
	xdrmem_create(&x, buf, (u_int)size, XDR_ENCODE);
	if (!xdr_agb_j_record(&x, rec)) {
		free(buf);
		buf = NULL;
	}
	*len = size;
	xdr_destroy(&x);
	return buf;
}

void
agb_journal_add(struct agb_journal_value *v, const char *bytes, size_t len)
{
	if (v->len == 0)
		v->len = HEAD_LEN;
	if (v->len + len > v->cap) {
		v->cap = (v->len + len) * 2;
		v->data = agb_xreallocarray(v->data, v->cap, 1);
	}
	memcpy(v->data + v->len, bytes, len);
	v->len += len;
	v->records++;
}

void
agb_journal_seal(struct agb_journal_value *v, agb_j_head *head)
{
	XDR x;

	if (v->len == 0) {
		v->len = v->cap = HEAD_LEN;
		v->data = agb_xreallocarray(v->data, v->cap, 1);
	}
	head->magic = AGB_J_MAGIC;
	head->format = AGB_J_VERSION;
	head->records = v->records;
	xdrmem_create(&x, v->data, (u_int)HEAD_LEN, XDR_ENCODE);
	(void)xdr_agb_j_head(&x, head);
	xdr_destroy(&x);
}

void
agb_journal_value_free(struct agb_journal_value *v)
{
	free(v->data);
	memset(v, 0, sizeof(*v));
}

bool
agb_journal_read_head(const char *val, size_t len, agb_j_head *head)
{
	XDR x;
	bool ok;

	memset(head, 0, sizeof(*head));
	if (val == NULL || len < HEAD_LEN)
		return false;
	xdrmem_create(&x, (char *)(uintptr_t)val, (u_int)HEAD_LEN, XDR_DECODE);
	ok = xdr_agb_j_head(&x, head) && head->magic == AGB_J_MAGIC &&
	    head->format == AGB_J_VERSION;
	xdr_destroy(&x);
	return ok;
}

bool
agb_journal_read(
    const char *val, size_t len, agb_journal_record_cb cb, void *arg)
{
	agb_j_record *recs;
	agb_j_head head;
	uint32_t n, i;
	XDR x;
	bool ok;

	if (!agb_journal_read_head(val, len, &head))
		return false;
	/* A record takes at least 8 bytes, so this check bounds the size of the
	 * allocation for a damaged count. */
	if (head.records > (len - HEAD_LEN) / 8)
		return false;
	recs = agb_xcalloc(head.records, sizeof(*recs));
	xdrmem_create(&x, (char *)(uintptr_t)(val + HEAD_LEN),
	    (u_int)(len - HEAD_LEN), XDR_DECODE);
	ok = true;
	for (n = 0; n < head.records && ok; n++)
		ok = xdr_agb_j_record(&x, &recs[n]);
	ok = ok && xdr_getpos(&x) == len - HEAD_LEN;
	for (i = 0; i < n && ok; i++)
		cb(arg, &head, &recs[i]);
	for (i = 0; i < n; i++)
		xdr_free((xdrproc_t)xdr_agb_j_record, (char *)&recs[i]);
	xdr_destroy(&x);
	free(recs);
	return ok;
}

char *
agb_journal_key(const char *shard_prefix, uint64_t epoch, uint64_t seq)
{
	return agb_xasprintf(
	    "%sjournal/%016" PRIx64 "-%016" PRIx64, shard_prefix, epoch, seq);
}

char *
agb_journal_chunk_key(
    const char *shard_prefix, uint64_t epoch, uint64_t seq, uint32_t chunk)
{
	return agb_xasprintf("%ssnapshot/%016" PRIx64 "-%016" PRIx64 "/%08x",
	    shard_prefix, epoch, seq, chunk);
}
