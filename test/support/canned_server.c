#include "canned_server.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define BACKLOG 16

struct CannedServer
{
  const char *answer;
  int fd;
  pthread_t thread;
};

static void
require (bool holds)
{
  if (holds)
    return;
  perror ("canned server");
  abort ();
}

static void
read_head (int fd)
{
  char bytes[4096];
  size_t len = 0;

  bytes[0] = 0;
  while (len < sizeof bytes - 1 && strstr (bytes, "\r\n\r\n") == NULL)
    {
      ssize_t n = recv (fd, bytes + len, sizeof bytes - 1 - len, 0);

      if (n <= 0)
        return;
      len += (size_t) n;
      bytes[len] = 0;
    }
}

/* Closing with bytes unread would reset the connection, and the answer could
 * be lost before it is read. */
static void
close_after_answer (int fd)
{
  char bytes[4096];

  shutdown (fd, SHUT_WR);
  while (recv (fd, bytes, sizeof bytes, 0) > 0)
    continue;
  close (fd);
}

static void *
serve (void *ctx)
{
  const CannedServer *server = ctx;
  int fd;

  while ((fd = accept (server->fd, NULL, NULL)) >= 0)
    {
      read_head (fd);
      send (fd, server->answer, strlen (server->answer), MSG_NOSIGNAL);
      close_after_answer (fd);
    }
  return NULL;
}

CannedServer *
canned_server_new (const char *answer, char *addr)
{
  CannedServer *server = calloc (1, sizeof *server);
  struct sockaddr_in in
      = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socklen_t len = sizeof in;

  require (server != NULL);
  server->answer = answer;
  server->fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  require (server->fd >= 0);
  require (bind (server->fd, (struct sockaddr *) &in, sizeof in) == 0);
  require (listen (server->fd, BACKLOG) == 0);
  require (getsockname (server->fd, (struct sockaddr *) &in, &len) == 0);
  snprintf (addr, MUX_ADDR_LEN, "127.0.0.1:%u",
            (unsigned int) ntohs (in.sin_port));
  require (pthread_create (&server->thread, NULL, serve, server) == 0);
  return server;
}

void
canned_server_free (CannedServer *server)
{
  shutdown (server->fd, SHUT_RDWR);
  pthread_join (server->thread, NULL);
  close (server->fd);
  free (server);
}
