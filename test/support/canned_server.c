#include "canned_server.h"

#include "standin/listen.h"
#include "support/test.h"

#include <pthread.h>
#include <sys/socket.h>
#include <unistd.h>

struct CannedServer
{
  const char *answer;
  int fd;
  pthread_t thread;
};

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

/* Closing with unread bytes would reset the connection, and the response could
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
  uint16_t port;

  assert_non_null (server);
  server->answer = answer;
  server->fd = standin_listen ("127.0.0.1:0", addr, &port, NULL);
  assert_true (server->fd >= 0);
  assert_int_equal (pthread_create (&server->thread, NULL, serve, server), 0);
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
