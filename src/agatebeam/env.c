#include "env.h"

#include <stdlib.h>
#include <string.h>

void
agb_env_free(struct agb_env *env)
{
	if (env == NULL)
		return;
	free(env->regions);
	free(env->domains);
	free(env->teams);
	free(env->classes);
	free(env->works);
	free(env->text);
	free(env);
}

uint16_t
agb_env_work_find(const struct agb_env *env, const char *name)
{
	uint16_t i;

	for (i = 0; i < env->works_len; i++) {
		if (strcmp(env->works[i].name, name) == 0)
			return i;
	}
	return AGB_ENV_NONE;
}

uint16_t
agb_env_domain_find(const struct agb_env *env, const char *name)
{
	uint16_t i;

	for (i = 0; i < env->domains_len; i++) {
		if (strcmp(env->domains[i].name, name) == 0)
			return i;
	}
	return AGB_ENV_NONE;
}

uint16_t
agb_env_team_find(const struct agb_env *env, const char *name)
{
	uint16_t i;

	for (i = 0; i < env->teams_len; i++) {
		if (strcmp(env->teams[i].name, name) == 0)
			return i;
	}
	return AGB_ENV_NONE;
}

uint16_t
agb_env_team_by_credential(const struct agb_env *env, const char *sha256)
{
	const size_t len = sizeof(env->teams[0].credential_sha256) - 1;
	uint16_t found = AGB_ENV_NONE;
	const char *hash;
	unsigned diff;
	uint16_t i;
	size_t k;

	if (strnlen(sha256, len + 1) != len)
		return AGB_ENV_NONE;
	/* No early exit: the run time must not reveal how much matches. */
	for (i = 0; i < env->teams_len; i++) {
		hash = env->teams[i].credential_sha256;
		for (k = 0, diff = 0; k < len; k++)
			diff |=
			    (unsigned char)hash[k] ^ (unsigned char)sha256[k];
		if (diff == 0)
			found = i;
	}
	return found;
}
