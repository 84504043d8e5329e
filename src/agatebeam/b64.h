#ifndef AGB_B64_H
#define AGB_B64_H

/**
 * DOC: b64
 *
 * Base64 (RFC 4648, with padding), the encoding of keys and values in the
 * JSON API of the key-value store.
 */

#include <stddef.h>

/**
 * agb_b64_encode() - encode bytes
 * Return: a new NUL-terminated string, freed by the caller.
 */
char *agb_b64_encode(const void *p, size_t len);

/**
 * agb_b64_decode() - decode a padded string
 * @len: set to the number of decoded bytes
 * Return: a new buffer with a NUL after the bytes, freed by the caller; NULL
 * when the text has wrong padding or a character outside the alphabet.
 */
char *agb_b64_decode(const char *text, size_t text_len, size_t *len);

#endif
