/*
 * Listener whose queue of connections is full, so that connecting to it hangs
 * as if every packet were dropped.
 */
#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "daisyledge/base.h"

/* A queue of length 0 holds one connection; one more is half open. */
#define FILL 4

int main(int argc, char **argv)
{
	struct sockaddr_in at = { .sin_family = AF_INET };
	uint64_t vm;
	int fd;

	if (argc != 2 || !dl_vm_parse(dl_str_of(argv[1]), &vm)) {
		fprintf(stderr, "usage: tool_tarpit IP:PORT\n");
		return 2;
	}
	at.sin_port = htons((uint16_t)(vm & 0xffff));
	at.sin_addr.s_addr = htonl((uint32_t)(vm >> 16));
	fd = socket(AF_INET, SOCK_STREAM, 0);
	if (bind(fd, (struct sockaddr *)&at, sizeof(at)) || listen(fd, 0)) {
		perror("tool_tarpit");
		return 1;
	}
	for (int i = 0; i < FILL; i++) {
		int c = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);

		(void)connect(c, (struct sockaddr *)&at, sizeof(at));
	}
	for (;;)
		pause();
}
