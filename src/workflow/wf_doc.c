#include "wf_doc.h"

#include <ctype.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "mem.h"

void
wf_doc_free(struct wf_doc *doc)
{
	if (doc == NULL)
		return;
	free(doc->queues);
	free(doc->services);
	free(doc->accounts);
	if (doc->account_keys != NULL)
		explicit_bzero(doc->account_keys,
		    doc->account_keys_len * sizeof(*doc->account_keys));
	free(doc->account_keys);
	wf_doc_free_index(doc);
	free(doc);
}

/* ---- index ---- */

static int
compare_positions(const struct wf_queue *a, const struct wf_queue *b)
{
	return (a > b) - (a < b);
}

static int
compare_names(const void *pa, const void *pb)
{
	const struct wf_queue *const a = *(const struct wf_queue *const *)pa;
	const struct wf_queue *const b = *(const struct wf_queue *const *)pb;
	const int order = strcmp(a->name, b->name);

	return order != 0 ? order : compare_positions(a, b);
}

/* Order of a queue's route and a host and path. */
static int
compare_route(const struct wf_queue *q, const char *host, const char *path)
{
	const int order = strcasecmp(q->host, host);

	return order != 0 ? order : strcmp(q->path_prefix, path);
}

static int
compare_routes(const void *pa, const void *pb)
{
	const struct wf_queue *const a =
	    ((const struct wf_doc_route *)pa)->queue;
	const struct wf_queue *const b =
	    ((const struct wf_doc_route *)pb)->queue;
	const int order = compare_route(a, b->host, b->path_prefix);

	return order != 0 ? order : compare_positions(a, b);
}

static void
index_names(struct wf_doc *doc)
{
	size_t i, n;

	doc->names =
	    agb_xcalloc(doc->queues_len, sizeof(const struct wf_queue *));
	for (i = 0; i < doc->queues_len; i++)
		doc->names[i] = &doc->queues[i];
	if (doc->queues_len > 1)
		qsort(doc->names, doc->queues_len,
		    sizeof(const struct wf_queue *), compare_names);
	n = 0;
	for (i = 0; i < doc->queues_len; i++) {
		if (n == 0 ||
		    strcmp(doc->names[n - 1]->name, doc->names[i]->name) != 0)
			doc->names[n++] = doc->names[i];
	}
	doc->names_len = n;
}

static int
compare_account_names(const void *pa, const void *pb)
{
	const struct wf_account *const a =
	    *(const struct wf_account *const *)pa;
	const struct wf_account *const b =
	    *(const struct wf_account *const *)pb;
	const int order = strcmp(a->name, b->name);

	return order != 0 ? order : (a > b) - (a < b);
}

static void
index_accounts(struct wf_doc *doc)
{
	size_t i, n;

	doc->account_names =
	    agb_xcalloc(doc->accounts_len, sizeof(const struct wf_account *));
	for (i = 0; i < doc->accounts_len; i++)
		doc->account_names[i] = &doc->accounts[i];
	if (doc->accounts_len > 1)
		qsort(doc->account_names, doc->accounts_len,
		    sizeof(const struct wf_account *), compare_account_names);
	n = 0;
	for (i = 0; i < doc->accounts_len; i++) {
		if (n == 0 ||
		    strcmp(doc->account_names[n - 1]->name,
			doc->account_names[i]->name) != 0)
			doc->account_names[n++] = doc->account_names[i];
	}
	doc->account_names_len = n;
}

static int
compare_keys(const void *pa, const void *pb)
{
	const struct wf_account_key *const a = pa;
	const struct wf_account_key *const b = pb;
	const int order = strcmp(a->key, b->key);

	return order != 0
	    ? order
	    : (a->account > b->account) - (a->account < b->account);
}

/* Sorts the keys and removes those that an earlier account lists as well. */
static void
index_keys(struct wf_doc *doc)
{
	struct wf_account_key *const keys = doc->account_keys;
	size_t i, n = 0, shared_at = SIZE_MAX;

	if (doc->account_keys_len > 1)
		qsort(keys, doc->account_keys_len, sizeof(*keys), compare_keys);
	for (i = 0; i < doc->account_keys_len; i++) {
		if (n == 0 || strcmp(keys[n - 1].key, keys[i].key) != 0) {
			keys[n++] = keys[i];
			continue;
		}
		if (keys[i].account == keys[n - 1].account ||
		    shared_at == n - 1)
			continue;
		shared_at = n - 1;
		doc->shared_owner = keys[n - 1].account;
		doc->shared_other = keys[i].account;
		doc->shared_keys++;
	}
	if (n < doc->account_keys_len)
		explicit_bzero(
		    &keys[n], (doc->account_keys_len - n) * sizeof(*keys));
	doc->account_keys_len = n;
}

/* Whether a route's prefix begins a path; the host is the same. */
static bool
begins(const struct wf_doc_route *r, const char *path)
{
	return strncmp(r->queue->path_prefix, path,
		   strlen(r->queue->path_prefix)) == 0;
}

/* The prefixes that a route's prefix begins with are those of the preceding
 * route and of its parents, as far as they match. */
static const struct wf_doc_route *
find_parent(const struct wf_doc_route *preceding, const struct wf_queue *q)
{
	const struct wf_doc_route *r;

	if (strcasecmp(preceding->queue->host, q->host) != 0)
		return NULL;
	for (r = preceding; r != NULL && !begins(r, q->path_prefix);
	     r = r->parent)
		continue;
	return r;
}

static void
index_routes(struct wf_doc *doc)
{
	const struct wf_queue *q;
	struct wf_doc_route *last;
	size_t i, n;

	doc->routes = agb_xcalloc(doc->queues_len, sizeof(*doc->routes));
	for (i = 0; i < doc->queues_len; i++)
		doc->routes[i].queue = &doc->queues[i];
	if (doc->queues_len > 1)
		qsort(doc->routes, doc->queues_len, sizeof(*doc->routes),
		    compare_routes);
	n = 0;
	for (i = 0; i < doc->queues_len; i++) {
		q = doc->routes[i].queue;
		last = n > 0 ? &doc->routes[n - 1] : NULL;
		if (last != NULL &&
		    compare_route(last->queue, q->host, q->path_prefix) == 0)
			continue;
		doc->routes[n].queue = q;
		doc->routes[n].parent =
		    last != NULL ? find_parent(last, q) : NULL;
		n++;
	}
	doc->routes_len = n;
}

/* Tag of a host, in any case, and a prefix; never 0. */
static uint32_t
route_tag(const struct wf_queue *q)
{
	char text[2 * WF_HOST_LEN];
	const size_t host_len = strlen(q->host);
	const size_t prefix_len = strlen(q->path_prefix);
	uint32_t tag;
	size_t i;

	for (i = 0; i < host_len; i++)
		text[i] = (char)tolower((unsigned char)q->host[i]);
	/* The NUL separates them. */
	text[host_len] = '\0';
	memcpy(text + host_len + 1, q->path_prefix, prefix_len);
	tag = XXH32(text, host_len + 1 + prefix_len, 0) &
	    (((uint32_t)1 << WF_ROUTE_TAG_BITS) - 1);
	return tag != 0 ? tag : 1;
}

static int
compare_tags(const void *pa, const void *pb)
{
	const struct wf_queue *const a = *(struct wf_queue *const *)pa;
	const struct wf_queue *const b = *(struct wf_queue *const *)pb;

	return (a->route_tag > b->route_tag) - (a->route_tag < b->route_tag);
}

/* Sets the tags of the routes. Those that two routes would share are left out:
 * a job is then found by the name of its queue only. */
static void
set_route_tags(struct wf_doc *doc)
{
	struct wf_queue **const list =
	    agb_xcalloc(doc->routes_len + 1, sizeof(struct wf_queue *));
	size_t i, k;

	for (i = 0; i < doc->routes_len; i++) {
		list[i] = &doc->queues[doc->routes[i].queue - doc->queues];
		list[i]->route_tag = route_tag(list[i]);
	}
	if (doc->routes_len > 1)
		qsort(list, doc->routes_len, sizeof(struct wf_queue *),
		    compare_tags);
	for (i = 0; i < doc->routes_len; i = k) {
		for (k = i + 1; k < doc->routes_len &&
		     list[k]->route_tag == list[i]->route_tag;
		     k++)
			continue;
		if (k == i + 1)
			continue;
		for (; i < k; i++)
			list[i]->route_tag = 0;
	}
	free(list);
}

void
wf_doc_free_index(struct wf_doc *doc)
{
	free(doc->names);
	free(doc->account_names);
	free(doc->routes);
	doc->names = NULL;
	doc->names_len = 0;
	doc->account_names = NULL;
	doc->account_names_len = 0;
	doc->routes = NULL;
	doc->routes_len = 0;
}

void
wf_doc_build_index(struct wf_doc *doc)
{
	wf_doc_free_index(doc);
	index_names(doc);
	index_routes(doc);
	set_route_tags(doc);
	index_accounts(doc);
	index_keys(doc);
}

/* ---- lookups ---- */

static void
count_compared(const struct wf_doc *doc)
{
	if (doc->compared != NULL)
		(*doc->compared)++;
}

const struct wf_queue *
wf_doc_queue(const struct wf_doc *doc, const char *name)
{
	size_t low, high, mid;
	int order;

	low = 0;
	high = doc != NULL ? doc->names_len : 0;
	while (low < high) {
		mid = low + (high - low) / 2;
		count_compared(doc);
		order = strcmp(doc->names[mid]->name, name);
		if (order == 0)
			return doc->names[mid];
		if (order < 0)
			low = mid + 1;
		else
			high = mid;
	}
	return NULL;
}

/* Last route that is not sorted after a host and path. */
static const struct wf_doc_route *
last_route_up_to(const struct wf_doc *doc, const char *host, const char *path)
{
	size_t low, high, mid;

	low = 0;
	high = doc->routes_len;
	while (low < high) {
		mid = low + (high - low) / 2;
		count_compared(doc);
		if (compare_route(doc->routes[mid].queue, host, path) <= 0)
			low = mid + 1;
		else
			high = mid;
	}
	return low > 0 ? &doc->routes[low - 1] : NULL;
}

const struct wf_queue *
wf_doc_route(const struct wf_doc *doc, const char *host, const char *path)
{
	const struct wf_doc_route *r;

	/* All routes sorted between the longest matching prefix and the path
	 * begin with that prefix, so that it is the last of them or one of its
	 * parents. */
	r = doc != NULL ? last_route_up_to(doc, host, path) : NULL;
	if (r == NULL || strcasecmp(r->queue->host, host) != 0)
		return NULL;
	for (; r != NULL; r = r->parent) {
		count_compared(doc);
		if (begins(r, path))
			return r->queue;
	}
	return NULL;
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

const struct wf_account *
wf_doc_account(const struct wf_doc *doc, const char *name)
{
	size_t low, high, mid;
	int order;

	low = 0;
	high = doc != NULL ? doc->account_names_len : 0;
	while (low < high) {
		mid = low + (high - low) / 2;
		order = strcmp(doc->account_names[mid]->name, name);
		if (order == 0)
			return doc->account_names[mid];
		if (order < 0)
			low = mid + 1;
		else
			high = mid;
	}
	return NULL;
}

const struct wf_account *
wf_doc_account_by_key(const struct wf_doc *doc, const char *key)
{
	size_t low, high, mid;
	int order;

	low = 0;
	high = doc != NULL ? doc->account_keys_len : 0;
	while (low < high) {
		mid = low + (high - low) / 2;
		order = strcmp(doc->account_keys[mid].key, key);
		if (order == 0)
			return &doc->accounts[doc->account_keys[mid].account];
		if (order < 0)
			low = mid + 1;
		else
			high = mid;
	}
	return NULL;
}
