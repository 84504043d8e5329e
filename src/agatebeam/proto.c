#include "proto.h"

#include <stdlib.h>
#include <string.h>

#include "mem.h"

bool
agb_proto_clone(xdrproc_t proc, void *dst, const void *src, size_t size)
{
	void *const from = (void *)(uintptr_t)src;
	const unsigned long len = xdr_sizeof(proc, from);
	char *buf;
	XDR x;
	bool ok;

	memset(dst, 0, size);
	if (len == 0 || len > UINT32_MAX)
		return false;
	buf = agb_xcalloc(1, len);
	xdrmem_create(&x, buf, (unsigned)len, XDR_ENCODE);
	ok = proc(&x, from);
	xdr_destroy(&x);
	if (ok) {
		xdrmem_create(&x, buf, (unsigned)len, XDR_DECODE);
		ok = proc(&x, dst);
		xdr_destroy(&x);
	}
	if (!ok) {
		xdr_free(proc, dst);
		memset(dst, 0, size);
	}
	free(buf);
	return ok;
}

agb_x_resources
agb_proto_resources_to_msg(const struct agb_resources *r)
{
	const agb_x_resources x = {
	    .cpu_milli = r->cpu_milli,
	    .mem_mb = r->mem_mb,
	    .accel = r->accel,
	};

	return x;
}

struct agb_resources
agb_proto_resources_from_msg(const agb_x_resources *x)
{
	const struct agb_resources r = {
	    .cpu_milli = x->cpu_milli,
	    .mem_mb = x->mem_mb,
	    .accel = x->accel,
	};

	return r;
}
