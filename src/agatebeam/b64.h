#ifndef AGB_B64_H
#define AGB_B64_H

/**
 * DOC: b64
 *
 * Base64 (RFC 4648, padded) for the store's JSON mapping.
 */

#include <stddef.h>

/**
 * agb_b64_encode() - encode bytes
 * Return: a new NUL-terminated string, freed by the caller.
 */
char *agb_b64_encode(const void *p, size_t len);

/**
 * agb_b64_decode() - decode a padded string; other characters are refused
 * @len: set to the bytes decoded
 * Return: new bytes with a NUL after them, freed by the caller; NULL when
 * the text is malformed.
 */
char *agb_b64_decode(const char *text, size_t text_len, size_t *len);

#endif
