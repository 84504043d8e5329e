#include "fuzz_settings.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t len);

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t len)
{
	return fuzz_settings(data, len);
}
