/*
 * Links that fail, for the real binary: a shared library to be preloaded, which
 * replaces connect().  Connections to the addresses that a file lists are made
 * to others instead: to one where nothing listens, which refuses them, to one
 * that answers no packet, or to a relay.  Open connections are not affected.
 *
 * DL_NET_MAP names the file, which is read at each call, so that a script
 * changes the links of a running process; a missing file changes nothing.  Its
 * lines have the form
 *
 *	IP:PORT IP:PORT
 *
 * the address that the process uses, and the one it gets.
 */
#include <arpa/inet.h>
#include <dlfcn.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

int connect(int fd, const struct sockaddr *to, socklen_t n);

static bool parse(const char *text, struct sockaddr_in *out)
{
	char ip[INET_ADDRSTRLEN];
	unsigned port;

	if (sscanf(text, "%15[0-9.]:%5u", ip, &port) != 2)
		return false;
	memset(out, 0, sizeof(*out));
	out->sin_family = AF_INET;
	out->sin_port = htons((unsigned short)port);
	return inet_pton(AF_INET, ip, &out->sin_addr) == 1;
}

static bool same(const struct sockaddr_in *a, const struct sockaddr_in *b)
{
	return a->sin_port == b->sin_port &&
	       a->sin_addr.s_addr == b->sin_addr.s_addr;
}

/* Finds what an address is replaced by; false where it is not listed. */
static bool find(const struct sockaddr_in *to, struct sockaddr_in *out)
{
	const char *path = getenv("DL_NET_MAP");
	FILE *f = path ? fopen(path, "re") : NULL;
	char from_text[32], to_text[32];
	struct sockaddr_in from;
	bool found = false;

	while (f && !found && fscanf(f, "%31s %31s", from_text, to_text) == 2)
		found = parse(from_text, &from) && same(&from, to) &&
			parse(to_text, out);
	if (f)
		fclose(f);
	return found;
}

int connect(int fd, const struct sockaddr *to, socklen_t n)
{
	int (*real)(int, const struct sockaddr *, socklen_t);
	struct sockaddr_in other;

	*(void **)&real = dlsym(RTLD_NEXT, "connect");
	if (to->sa_family == AF_INET &&
	    find((const struct sockaddr_in *)(const void *)to, &other))
		return real(fd, (struct sockaddr *)&other, sizeof(other));
	return real(fd, to, n);
}
