/* Helpers for TCP sockets; see the header. */
#include "transport/sock.h"

#include <arpa/inet.h>
#include <errno.h>
#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/param.h>
#include <sys/socket.h>

#define PORT_BITS 16
#define PORT_MASK 0xffff
/* Unread bytes that are counted. */
#define UNREAD_MAX 512

/* Returns the socket address of a packed IP address and port. */
struct sockaddr_in dl_sock_addr(uint64_t address)
{
	struct sockaddr_in sin = { .sin_family = AF_INET };

	sin.sin_addr.s_addr = htonl((uint32_t)(address >> PORT_BITS));
	sin.sin_port = htons((uint16_t)(address & PORT_MASK));
	return sin;
}

/* Returns the packed IP address and port of an IPv4 socket address. */
uint64_t dl_sock_vm(const struct sockaddr *sa)
{
	const struct sockaddr_in *sin = (const void *)sa;

	return (uint64_t)ntohl(sin->sin_addr.s_addr) << PORT_BITS |
	       ntohs(sin->sin_port);
}

/* Whether a connection that ended with UV_EOF was in fact reset. */
bool dl_sock_was_reset(const uv_tcp_t *tcp)
{
	socklen_t n = sizeof(int);
	int err = 0;
	uv_os_fd_t fd;

	if (uv_fileno((const uv_handle_t *)tcp, &fd) ||
	    getsockopt(fd, SOL_SOCKET, SO_ERROR, &err, &n))
		return true;
	return err != 0;
}

/* Whether the peer has acknowledged all that was written to the socket. */
bool dl_sock_is_acknowledged(const uv_tcp_t *tcp)
{
	uv_os_fd_t fd;
	int unacknowledged = 0;

	return !uv_fileno((const uv_handle_t *)tcp, &fd) &&
	       !ioctl(fd, SIOCOUTQ, &unacknowledged) && !unacknowledged;
}

/*
 * Returns how many bytes have arrived and were not read: at most max, and at
 * most UNREAD_MAX; -EPIPE if the peer has closed the connection.
 */
int dl_sock_unread(const uv_tcp_t *tcp, size_t max)
{
	char buf[UNREAD_MAX];
	uv_os_fd_t fd;
	ssize_t n;

	if (uv_fileno((const uv_handle_t *)tcp, &fd))
		return 0;
	n = recv(fd, buf, MIN(max, sizeof(buf)), MSG_PEEK | MSG_DONTWAIT);
	if (n == 0 || (n < 0 && errno == ECONNRESET))
		return -EPIPE;
	return n > 0 ? (int)n : 0;
}
