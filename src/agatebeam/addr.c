#include "addr.h"

#include <arpa/inet.h>
#include <ctype.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static bool
parse_host(const char *host, uint16_t port, struct sockaddr_storage *out)
{
	struct sockaddr_in *const v4 = (struct sockaddr_in *)out;
	struct sockaddr_in6 *const v6 = (struct sockaddr_in6 *)out;

	if (inet_pton(AF_INET, host, &v4->sin_addr) == 1) {
		v4->sin_family = AF_INET;
		v4->sin_port = htons(port);
		return true;
	}
	if (inet_pton(AF_INET6, host, &v6->sin6_addr) != 1)
		return false;
	v6->sin6_family = AF_INET6;
	v6->sin6_port = htons(port);
	return true;
}

bool
agb_addr_parse(const char *addr, bool listen, struct sockaddr_storage *out)
{
	const char *const port = strrchr(addr, ':');
	char host[AGB_ADDR_LEN];
	unsigned long n;
	size_t len;
	char *end;

	memset(out, 0, sizeof(*out));
	if (port == NULL || !isdigit((unsigned char)port[1]))
		return false;
	n = strtoul(port + 1, &end, 10);
	if (*end != '\0' || n > UINT16_MAX || (n == 0 && !listen))
		return false;
	len = (size_t)(port - addr);
	if (len > 1 && addr[0] == '[' && addr[len - 1] == ']') {
		addr++;
		len -= 2;
	} else if (memchr(addr, ':', len) != NULL) {
		return false;
	}
	if (len == 0 || len >= sizeof(host))
		return false;
	memcpy(host, addr, len);
	host[len] = '\0';
	return parse_host(host, (uint16_t)n, out);
}

void
agb_addr_format(const struct sockaddr_storage *sa, bool with_port, agb_addr out)
{
	const struct sockaddr_in *const v4 = (const struct sockaddr_in *)sa;
	const struct sockaddr_in6 *const v6 = (const struct sockaddr_in6 *)sa;
	char host[INET6_ADDRSTRLEN] = "";
	bool is_v6 = sa->ss_family == AF_INET6;

	if (is_v6 && IN6_IS_ADDR_V4MAPPED(&v6->sin6_addr)) {
		inet_ntop(
		    AF_INET, &v6->sin6_addr.s6_addr[12], host, sizeof(host));
		is_v6 = false;
	} else if (is_v6) {
		inet_ntop(AF_INET6, &v6->sin6_addr, host, sizeof(host));
	} else {
		inet_ntop(AF_INET, &v4->sin_addr, host, sizeof(host));
	}
	/* The port has the same offset in both structures. */
	if (with_port)
		snprintf(out, AGB_ADDR_LEN, is_v6 ? "[%s]:%u" : "%s:%u", host,
		    ntohs(v4->sin_port));
	else
		snprintf(out, AGB_ADDR_LEN, "%s", host);
}
