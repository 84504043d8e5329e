/**
 * DOC: call
 *
 * HTTP client of the cases 11 to 15.
 *
 *	call ADDR METHOD PATH [HOST [BODY]]	prints the status and the body
 *	call ports N	prints N free ports of the loopback interface
 *
 * Exit status: 0 when there was a response, 3 when there was none.
 */

#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#define RESPONSE_MAX 65536
#define TIMEOUT_S 4

static int
print_ports(int n)
{
	struct sockaddr_in sa;
	socklen_t len;
	int i, fd;

	for (i = 0; i < n; i++) {
		memset(&sa, 0, sizeof(sa));
		sa.sin_family = AF_INET;
		sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		len = sizeof(sa);
		/* The sockets stay open until the end, so that the ports
		 * differ. */
		fd = socket(AF_INET, SOCK_STREAM, 0);
		if (fd < 0 || bind(fd, (struct sockaddr *)&sa, len) != 0 ||
		    getsockname(fd, (struct sockaddr *)&sa, &len) != 0)
			return 2;
		printf("%d\n", ntohs(sa.sin_port));
	}
	return 0;
}

static int
connect_to(const char *addr)
{
	const struct timeval limit = {.tv_sec = TIMEOUT_S};
	const char *const colon = strrchr(addr, ':');
	struct sockaddr_in sa = {.sin_family = AF_INET};
	char ip[64];
	int fd;

	if (colon == NULL || (size_t)(colon - addr) >= sizeof(ip))
		return -1;
	memcpy(ip, addr, (size_t)(colon - addr));
	ip[colon - addr] = '\0';
	sa.sin_port = htons((uint16_t)atoi(colon + 1));
	if (inet_pton(AF_INET, ip, &sa.sin_addr) != 1)
		return -1;
	fd = socket(AF_INET, SOCK_STREAM, 0);
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
	setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
	if (connect(fd, (struct sockaddr *)&sa, sizeof(sa)) != 0) {
		close(fd);
		return -1;
	}
	return fd;
}

int
main(int argc, char **argv)
{
	static char text[RESPONSE_MAX];
	const char *host = argc > 4 ? argv[4] : "test";
	const char *body = argc > 5 ? argv[5] : "";
	size_t len = 0;
	char *head;
	ssize_t n;
	int fd;

	if (argc == 3 && strcmp(argv[1], "ports") == 0)
		return print_ports(atoi(argv[2]));
	if (argc < 4)
		return 2;
	fd = connect_to(argv[1]);
	if (fd < 0)
		return 3;
	dprintf(fd,
	    "%s %s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\n"
	    "Deadline-Ms: 3000\r\nConnection: close\r\n"
	    "Content-Length: %zu\r\n\r\n%s",
	    argv[2], argv[3], host, strlen(body), body);
	while (len + 1 < sizeof(text) &&
	    (n = read(fd, text + len, sizeof(text) - len - 1)) > 0) {
		len += (size_t)n;
		head = strstr(text, "\r\n\r\n");
		if (head != NULL && strcasestr(text, "content-length:") &&
		    (size_t)(head + 4 - text) +
			    strtoul(strcasestr(text, "content-length:") + 15,
				NULL, 10) <=
			len)
			break;
	}
	close(fd);
	head = strstr(text, "\r\n\r\n");
	if (strncmp(text, "HTTP/1.1 ", 9) != 0 || head == NULL)
		return 3;
	printf("%.3s %s\n", text + 9, head + 4);
	return 0;
}
