#include "wf_doc.h"

#include <stdlib.h>
#include <string.h>

void
wf_doc_free(struct wf_doc *doc)
{
	if (doc == NULL)
		return;
	free(doc->queues);
	free(doc->services);
	free(doc);
}

static void
count_compared(const struct wf_doc *doc)
{
	if (doc->compared != NULL)
		(*doc->compared)++;
}

const struct wf_queue *
wf_doc_queue(const struct wf_doc *doc, const char *name)
{
	size_t i;

	for (i = 0; doc != NULL && i < doc->queues_len; i++) {
		count_compared(doc);
		if (strcmp(doc->queues[i].name, name) == 0)
			return &doc->queues[i];
	}
	return NULL;
}

const struct wf_queue *
wf_doc_route(const struct wf_doc *doc, const char *host, const char *path)
{
	const struct wf_queue *best, *q;
	size_t best_len, len, i;

	best = NULL;
	best_len = 0;
	for (i = 0; doc != NULL && i < doc->queues_len; i++) {
		count_compared(doc);
		q = &doc->queues[i];
		len = strlen(q->path_prefix);
		if (strcasecmp(q->host, host) != 0 ||
		    strncmp(q->path_prefix, path, len) != 0 ||
		    (best != NULL && len <= best_len))
			continue;
		best = q;
		best_len = len;
	}
	return best;
}

const struct wf_service *
wf_doc_service(const struct wf_doc *doc, const char *name)
{
	size_t i;

	for (i = 0; doc != NULL && i < doc->services_len; i++) {
		if (strcmp(doc->services[i].name, name) == 0)
			return &doc->services[i];
	}
	return NULL;
}
