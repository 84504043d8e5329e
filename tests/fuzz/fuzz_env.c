/*
 * Fuzz target for the parser of environment documents.
 */

#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include "env.h"
#include "mem.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t len);

/*
 * Checks that an accepted document is consistent: each index is within its
 * table, lookups by name return the entry, and the text is accepted again.
 */
static void
check_env(const struct agb_env *env, struct agb_findings *f)
{
	struct agb_env *reparsed;
	const struct agb_env_work *w;
	uint16_t i;

	for (i = 0; i < env->works_len; i++) {
		w = &env->works[i];
		if (w->class_index >= env->classes_len ||
		    agb_env_work_find(env, w->name) != i || w->domains == 0 ||
		    w->teams == 0 ||
		    (uint64_t)w->domains >> env->domains_len != 0 ||
		    (env->teams_len < AGB_ENV_TEAMS_MAX &&
			w->teams >> env->teams_len != 0))
			abort();
	}
	for (i = 0; i < env->domains_len; i++) {
		if (env->domains[i].region >= env->regions_len ||
		    agb_env_domain_find(env, env->domains[i].name) != i)
			abort();
	}
	for (i = 0; i < env->teams_len; i++) {
		if (agb_env_team_find(env, env->teams[i].name) != i ||
		    agb_env_team_by_credential(
			env, env->teams[i].credential_sha256) != i)
			abort();
	}
	memset(f, 0, sizeof(*f));
	if (!agb_env_parse(env->text, env->text_len, 2, &reparsed, f))
		abort();
	agb_env_free(reparsed);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t len)
{
	struct agb_findings *const f = agb_xcalloc(1, sizeof(*f));
	struct agb_env *env;
	char text[1024];
	bool ok;

	ok = agb_env_parse((const char *)data, len, 1, &env, f);
	if (ok != (env != NULL) || ok != (f->errors == 0))
		abort();
	agb_findings_format(f, "x", text, sizeof(text));
	if (env != NULL)
		check_env(env, f);
	agb_env_free(env);
	free(f);
	return 0;
}
