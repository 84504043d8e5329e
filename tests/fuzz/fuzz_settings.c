/*
 * Fuzz target for the parser of settings.
 */

#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include "mem.h"
#include "settings.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t len);

/* Accepted settings must have all required values, each within its limits. */
int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t len)
{
	struct agb_findings *const f = agb_xcalloc(1, sizeof(*f));
	struct agb_settings s;
	char text[1024];
	size_t i;
	bool ok;

	ok = agb_settings_parse((const char *)data, len, &s, f);
	if (ok != (f->errors == 0))
		abort();
	if (ok &&
	    (s.instance[0] == '\0' || s.environment[0] == '\0' ||
		s.domain[0] == '\0' || s.http[0] == '\0' || s.rpc[0] == '\0' ||
		s.store_len == 0 || s.store_len > AGB_STORE_ENDPOINTS_MAX ||
		s.connections_max == 0 ||
		agb_settings_addr_error(s.platform) != NULL))
		abort();
	for (i = 0; ok && i < s.store_len; i++) {
		if (agb_settings_addr_error(s.store[i]) != NULL)
			abort();
	}
	agb_findings_format(f, "x", text, sizeof(text));
	free(f);
	return 0;
}
