#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "mem.h"
#include "owner_internal.h"

static size_t
probe(const struct own_map *m, uint64_t hash, const void *key, size_t len)
{
	const size_t mask = m->cap - 1;
	const struct own_map_entry *s;
	size_t i;

	for (i = hash & mask;; i = (i + 1) & mask) {
		s = &m->entries[i];
		if (s->key == NULL)
			return i;
		if (s->hash == hash && s->len == len &&
		    memcmp(s->key, key, len) == 0)
			return i;
	}
}

static void
grow(struct own_map *m)
{
	const struct own_map old = *m;
	size_t i;

	m->cap = old.cap > 0 ? old.cap * 2 : 64;
	m->entries = agb_xcalloc(m->cap, sizeof(*m->entries));
	for (i = 0; i < old.cap; i++) {
		const struct own_map_entry *const s = &old.entries[i];

		if (s->key != NULL)
			m->entries[probe(m, s->hash, s->key, s->len)] = *s;
	}
	free(old.entries);
}

void *
own_map_get(const struct own_map *m, const void *key, size_t len)
{
	if (m->cap == 0)
		return NULL;
	return m->entries[probe(m, XXH64(key, len, 0), key, len)].val;
}

void
own_map_put(struct own_map *m, const void *key, size_t len, void *val)
{
	const uint64_t hash = XXH64(key, len, 0);
	size_t i;

	if ((m->used + 1) * 2 > m->cap)
		grow(m);
	i = probe(m, hash, key, len);
	if (m->entries[i].key == NULL)
		m->used++;
	m->entries[i] = (struct own_map_entry){key, len, val, hash};
}

void
own_map_del(struct own_map *m, const void *key, size_t len)
{
	const size_t mask = m->cap - 1;
	size_t i, j, home;

	if (m->cap == 0)
		return;
	i = probe(m, XXH64(key, len, 0), key, len);
	if (m->entries[i].key == NULL)
		return;
	m->used--;
	/* Moves later entries of the probe sequence up, so that lookups still
	 * find them. */
	for (j = (i + 1) & mask; m->entries[j].key != NULL;
	     j = (j + 1) & mask) {
		home = m->entries[j].hash & mask;
		if (((j - home) & mask) >= ((j - i) & mask)) {
			m->entries[i] = m->entries[j];
			i = j;
		}
	}
	memset(&m->entries[i], 0, sizeof(m->entries[i]));
}

void
own_map_free(struct own_map *m)
{
	free(m->entries);
	memset(m, 0, sizeof(*m));
}

void
own_vec_add(struct own_vec *v, void *p)
{
	if (v->len == v->cap)
		v->items = agb_xgrow(v->items, &v->cap, sizeof(*v->items));
	v->items[v->len++] = p;
}

void
own_vec_del(struct own_vec *v, const void *p)
{
	size_t i;

	for (i = 0; i < v->len; i++) {
		if (v->items[i] == p) {
			v->items[i] = v->items[--v->len];
			return;
		}
	}
}

void
own_vec_free(struct own_vec *v)
{
	free(v->items);
	memset(v, 0, sizeof(*v));
}

void
own_indexed_add(struct own_vec *v, void *p)
{
	*(size_t *)p = v->len;
	own_vec_add(v, p);
}

void
own_indexed_del(struct own_vec *v, void *p)
{
	const size_t i = *(const size_t *)p;

	v->items[i] = v->items[--v->len];
	*(size_t *)v->items[i] = i;
}

uint32_t
own_handle_new(struct own_vec *v, void *p)
{
	size_t i;

	for (i = v->free_hint; i < v->len && v->items[i] != NULL; i++)
		continue;
	if (i == v->len)
		own_vec_add(v, p);
	v->items[i] = p;
	v->free_hint = i + 1;
	return (uint32_t)i;
}

void *
own_handle_get(const struct own_vec *v, uint32_t handle)
{
	return handle < v->len ? v->items[handle] : NULL;
}

void
own_handle_del(struct own_vec *v, uint32_t handle)
{
	v->items[handle] = NULL;
	if (handle < v->free_hint)
		v->free_hint = handle;
}
