#include "b64.h"

#include <limits.h>
#include <openssl/evp.h>
#include <stdlib.h>
#include <string.h>

#include "mem.h"

static const char alphabet[] =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

char *
agb_b64_encode(const void *p, size_t len)
{
	char *const out = agb_xcalloc(len / 3 + 1, 4 + 1);

	EVP_EncodeBlock((unsigned char *)out, p, (int)len);
	return out;
}

char *
agb_b64_decode(const char *text, size_t text_len, size_t *len)
{
	size_t digits = strspn(text, alphabet);
	char *out;

	/*
	 * EVP_DecodeBlock() skips white space and some other characters at
	 * both ends of its input, so that the text is checked here first.
	 */
	if (text_len % 4 != 0 || text_len > INT_MAX || text_len - digits > 2 ||
	    strspn(text + digits, "=") != text_len - digits)
		return NULL;
	out = agb_xcalloc(text_len / 4 + 1, 3);
	if (EVP_DecodeBlock((unsigned char *)out, (const unsigned char *)text,
		(int)text_len) < 0) {
		free(out);
		return NULL;
	}
	*len = text_len / 4 * 3 - (text_len - digits);
	out[*len] = '\0';
	return out;
}
