#include "types.h"

#include <string.h>

static const char *const reason_names[AGB_REASON_MAX] = {
    [AGB_REASON_NONE] = "none",
    [AGB_REASON_NO_DOCUMENT] = "no-document",
    [AGB_REASON_BAD_CREDENTIAL] = "bad-credential",
    [AGB_REASON_BAD_REQUEST] = "bad-request",
    [AGB_REASON_NO_SERVICE] = "no-service",
    [AGB_REASON_NOT_ALLOWED] = "not-allowed",
    [AGB_REASON_NOT_FOUND] = "not-found",
    [AGB_REASON_NO_OWNER] = "no-owner",
    [AGB_REASON_NEVER_FITS] = "never-fits",
    [AGB_REASON_QUOTA] = "quota",
    [AGB_REASON_OVERLOAD] = "overload",
    [AGB_REASON_DEADLINE] = "deadline",
    [AGB_REASON_CANCELLED] = "cancelled",
    [AGB_REASON_ISOLATED] = "isolated",
    [AGB_REASON_DUPLICATE] = "duplicate",
    [AGB_REASON_DRAINING] = "draining",
    [AGB_REASON_UPSTREAM_REFUSED] = "upstream-refused",
    [AGB_REASON_UPSTREAM_LOST] = "upstream-lost",
    [AGB_REASON_UPSTREAM_SHORT] = "upstream-short",
    [AGB_REASON_WORKER_LOST] = "worker-lost",
    [AGB_REASON_FAILS_EVERYWHERE] = "fails-everywhere",
    [AGB_REASON_PREEMPTED] = "preempted",
    [AGB_REASON_LEAVING] = "leaving",
    [AGB_REASON_STORE_UNKNOWN] = "store-unknown",
};

const char *
agb_reason_name(enum agb_reason r)
{
	if ((unsigned)r >= AGB_REASON_MAX)
		return "none";
	return reason_names[r];
}

const char *
agb_outcome_name(enum agb_outcome o)
{
	switch (o) {
	case AGB_OUTCOME_NOT_RUN:
		return "not-run";
	case AGB_OUTCOME_RAN:
		return "ran";
	case AGB_OUTCOME_UNKNOWN:
		break;
	}
	return "unknown";
}

bool
agb_str_copy(char *dst, size_t len, const char *src)
{
	const char *const s = src != NULL ? src : "";
	const size_t n = strnlen(s, len);

	if (n < len) {
		memcpy(dst, s, n + 1);
		return true;
	}
	memcpy(dst, s, len - 1);
	dst[len - 1] = '\0';
	return false;
}

bool
agb_resources_fit(
    const struct agb_resources *need, const struct agb_resources *available)
{
	return need->cpu_milli <= available->cpu_milli &&
	    need->mem_mb <= available->mem_mb &&
	    need->accel <= available->accel;
}

void
agb_resources_add(struct agb_resources *a, const struct agb_resources *b)
{
	a->cpu_milli += b->cpu_milli;
	a->mem_mb += b->mem_mb;
	a->accel += b->accel;
}

void
agb_resources_sub(struct agb_resources *a, const struct agb_resources *b)
{
	a->cpu_milli -= b->cpu_milli;
	a->mem_mb -= b->mem_mb;
	a->accel -= b->accel;
}
