#ifndef AGB_ADDR_H
#define AGB_ADDR_H

/**
 * DOC: addr
 *
 * Text form of IP addresses with and without a port.
 */

#include <sys/socket.h>

#include "types.h"

/**
 * agb_addr_parse() - parse "1.2.3.4:80" or "[::1]:80"
 * @listen: accept port 0, which lets the kernel choose a port
 * Return: false when @addr is not an IP address with a port.
 */
bool agb_addr_parse(
    const char *addr, bool listen, struct sockaddr_storage *out);

/**
 * agb_addr_format() - format a socket address as text; IPv4-mapped IPv6
 * addresses are written as IPv4
 * @with_port: write "1.2.3.4:80" or "[::1]:80", else "1.2.3.4" or "::1"
 */
void agb_addr_format(
    const struct sockaddr_storage *sa, bool with_port, agb_addr out);

#endif
