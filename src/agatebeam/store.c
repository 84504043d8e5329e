#include "store.h"

#include <stdlib.h>
#include <string.h>

#include "mem.h"

void
agb_store_op_init(struct agb_store_op *op, enum agb_store_op_kind kind)
{
	memset(op, 0, sizeof(*op));
	op->kind = kind;
}

void
agb_store_op_init_range(struct agb_store_op *op, const char *key,
    const char *range_end, uint32_t limit)
{
	agb_store_op_init(op, AGB_STORE_RANGE);
	op->key = agb_xstrdup(key);
	op->range_end = range_end != NULL ? agb_xstrdup(range_end) : NULL;
	op->limit = limit;
}

void
agb_store_op_add_cmp(struct agb_store_op *op, const char *key,
    enum agb_store_cmp_target target, uint64_t rev)
{
	struct agb_store_cmp *c;

	op->cmps = agb_xreallocarray(op->cmps, op->cmps_len + 1, sizeof(*c));
	c = &op->cmps[op->cmps_len++];
	c->key = agb_xstrdup(key);
	c->target = target;
	c->rev = rev;
}

static struct agb_store_write *
add_write(struct agb_store_op *op, const char *key)
{
	struct agb_store_write *p;

	op->writes =
	    agb_xreallocarray(op->writes, op->writes_len + 1, sizeof(*p));
	p = &op->writes[op->writes_len++];
	memset(p, 0, sizeof(*p));
	p->key = agb_xstrdup(key);
	return p;
}

void
agb_store_op_add_put(struct agb_store_op *op, const char *key, const char *val,
    size_t val_len, int64_t lease)
{
	struct agb_store_write *const p = add_write(op, key);

	p->val = agb_xmemdup(val, val_len);
	p->val_len = val_len;
	p->lease = lease;
}

void
agb_store_op_add_delete(
    struct agb_store_op *op, const char *key, const char *range_end)
{
	struct agb_store_write *const p = add_write(op, key);

	p->is_delete = true;
	if (range_end != NULL)
		p->range_end = agb_xstrdup(range_end);
}

void
agb_store_op_free(struct agb_store_op *op)
{
	size_t i;

	for (i = 0; i < op->cmps_len; i++)
		free(op->cmps[i].key);
	for (i = 0; i < op->writes_len; i++) {
		free(op->writes[i].key);
		free(op->writes[i].range_end);
		free(op->writes[i].val);
	}
	free(op->cmps);
	free(op->writes);
	free(op->key);
	free(op->range_end);
	memset(op, 0, sizeof(*op));
}

void
agb_store_kvs_free(struct agb_store_kv *kvs, size_t len)
{
	size_t i;

	for (i = 0; i < len; i++) {
		free(kvs[i].key);
		free(kvs[i].val);
	}
	free(kvs);
}

void
agb_store_result_free(struct agb_store_result *r)
{
	agb_store_kvs_free(r->kvs, r->kvs_len);
	memset(r, 0, sizeof(*r));
}

char *
agb_store_prefix_end(const char *prefix)
{
	char *const end = agb_xstrdup(prefix);
	size_t n = strlen(end);

	/* A 0xff byte cannot be incremented: drop those at the end and
	 * increment the byte before them. */
	while (n > 1 && (unsigned char)end[n - 1] == 0xff)
		n--;
	end[n - 1]++;
	end[n] = '\0';
	return end;
}
