/* Helpers for TCP sockets. */
#ifndef DL_TRANSPORT_SOCK_H
#define DL_TRANSPORT_SOCK_H

#include <netinet/in.h>
#include <uv.h>

#include "daisyledge/base.h"

/* The socket address of a packed IP address and port. */
struct sockaddr_in dl_sock_addr(uint64_t address);
/* The packed IPv4 address and port of a socket address. */
uint64_t dl_sock_vm(const struct sockaddr *sa);
/*
 * Reports whether a connection that ended with UV_EOF was in fact reset.  libuv
 * reports an orderly end when data and a reset arrive in one loop iteration;
 * the error is then still pending on the socket.
 */
bool dl_sock_was_reset(const uv_tcp_t *tcp);
/* Reports whether the peer's socket has got all that was written to this one.
 */
bool dl_sock_is_acknowledged(const uv_tcp_t *tcp);
/*
 * Returns how many bytes have arrived and were not read, as far as max; 0 also
 * where that is not known, and -EPIPE if the peer has closed the connection.
 */
int dl_sock_unread(const uv_tcp_t *tcp, size_t max);

#endif
