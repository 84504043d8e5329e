/*
 * A refusal is the last effect that a list of effects has room for: its log
 * line makes the list grow, and wf_front_refuse() writes the Retry-After into
 * the memory that the list has left. Exit 1: the Retry-After is lost. With
 * -fsanitize=address the write is reported as a heap-use-after-free.
 */
#include <stdio.h>
#include <stdlib.h>

#include "wf_front_internal.h"

int
main(void)
{
	struct wf_effects out = {0};
	void *behind;

	wf_effects_add(&out, WF_EF_READY);
	while (out.len + 1 < out.cap)
		wf_effects_add(&out, WF_EF_READY);
	/* The list cannot grow in place. */
	behind = malloc(64);
	wf_front_refuse(&out, 1, WF_CALL_SUBMIT, 503, "job", "why");
	printf("retry_s %u, the list %s\n",
	    (unsigned)out.items[out.len - 2].u.reply.retry_s,
	    behind != NULL ? "moved" : "");
	return out.items[out.len - 2].u.reply.retry_s == 2 ? 0 : 1;
}
