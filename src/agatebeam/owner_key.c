#include <stdlib.h>
#include <string.h>

#include "mem.h"
#include "owner_internal.h"

struct own_key *
own_key_find(const struct agb_owner *o, const char *team, const char *key)
{
	struct own_key *k;
	size_t len;
	char *const dedup = own_dedup_key(team, key, &len);

	k = own_map_get(&o->key_names, dedup, len);
	free(dedup);
	return k;
}

/* Sets the attempt by which a later release finds the key. */
void
own_key_set_attempt(
    struct agb_owner *o, struct own_key *k, const struct agb_attempt *attempt)
{
	k->attempt = *attempt;
	own_map_put(&o->key_attempts, &k->attempt, sizeof(k->attempt), k);
}

struct own_key *
own_key_new(struct agb_owner *o, const char *team, const char *key,
    const struct agb_attempt *attempt)
{
	struct own_key *const k = agb_xcalloc(1, sizeof(*k));

	k->dedup_key = own_dedup_key(team, key, &k->dedup_key_len);
	agb_str_copy(k->team, sizeof(k->team), team);
	agb_str_copy(k->key, sizeof(k->key), key);
	k->outcome = AGB_OUTCOME_UNKNOWN;
	own_indexed_add(&o->keys, k);
	own_map_put(&o->key_names, k->dedup_key, k->dedup_key_len, k);
	if (attempt != NULL)
		own_key_set_attempt(o, k, attempt);
	return k;
}

void
own_key_delete(struct agb_owner *o, struct own_key *k)
{
	own_indexed_del(&o->keys, k);
	own_map_del(&o->key_names, k->dedup_key, k->dedup_key_len);
	if (k->attempt.epoch != 0)
		own_map_del(&o->key_attempts, &k->attempt, sizeof(k->attempt));
	free(k->dedup_key);
	free(k);
}

void
own_key_set_outcome(struct own_key *k, enum agb_outcome outcome)
{
	k->ended = true;
	k->outcome = outcome;
}

/* Deletes keys whose guaranteed retention time is over. */
void
own_key_expire(struct agb_owner *o, agb_time now)
{
	size_t i = o->keys.len;

	while (i-- > 0) {
		struct own_key *const k = o->keys.items[i];

		if (!k->has_grant && now >= k->created_at + OWN_RETENTION)
			own_key_delete(o, k);
	}
}

/* Sets the outcome of a key from the result of its attempt. */
void
own_key_resolve(struct agb_owner *o, agb_time now, struct own_key *k,
    enum agb_result result)
{
	agb_j_record rec = {.type = AGB_J_QUICK_DONE};
	agb_j_quick_done *const d = &rec.agb_j_record_u.quick_done;
	enum agb_outcome outcome = AGB_OUTCOME_UNKNOWN;

	if (result == AGB_RESULT_OK || result == AGB_RESULT_FAILED)
		outcome = AGB_OUTCOME_RAN;
	else if (result == AGB_RESULT_NOT_STARTED)
		outcome = AGB_OUTCOME_NOT_RUN;
	/* A lost attempt stays unknown unless it is reported to have run: a
	 * late "not started" can refer to a repeated delivery of it. */
	if (k->ended &&
	    (k->outcome == AGB_OUTCOME_RAN || outcome != AGB_OUTCOME_RAN))
		return;
	d->team = k->team;
	d->key = k->key;
	d->epoch = k->attempt.epoch;
	d->seq = k->attempt.seq;
	d->outcome = (int)outcome;
	/* The key has a QUICK record only if it has an attempt. */
	if (k->attempt.epoch != 0)
		own_commit_add(o, now, &rec, OWN_WAITER_NONE, NULL, 0);
	if (outcome == AGB_OUTCOME_NOT_RUN)
		own_key_delete(o, k);
	else
		own_key_set_outcome(k, outcome);
}
