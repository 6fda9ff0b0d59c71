#include "slow_servers.h"

#include "base/clock.h"
#include "base/id.h"
#include "support/test.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <signal.h>
#include <stdatomic.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#define CONNECTIONS_MAX 4096
#define REQUEST_MAX 1024
#define BACKLOG 64
/* Connections that fill the queue of a server with a backlog of 0. */
#define FILL_COUNT 4
/* Of each ten servers half answer. */
#define KIND_COUNT 10

static const SlowServerKind kinds[KIND_COUNT] = {
  SLOW_SERVER_ANSWERS, SLOW_SERVER_SILENT,  SLOW_SERVER_ANSWERS,
  SLOW_SERVER_STOPS,   SLOW_SERVER_ANSWERS, SLOW_SERVER_SILENT,
  SLOW_SERVER_ANSWERS, SLOW_SERVER_CLOSES,  SLOW_SERVER_ANSWERS,
  SLOW_SERVER_SILENT,
};

typedef struct
{
  SlowServerKind kind;
  int fd;
  int filler[FILL_COUNT];
  char addr[MUX_ADDR_LEN];
} Server;

/* due_ms: of the answer; 0: no request is there; -1: none will be sent. */
typedef struct
{
  int fd;
  SlowServerKind kind;
  char request[REQUEST_MAX];
  size_t len;
  int64_t due_ms;
  uint32_t number;
} Connection;

/* In memory that both processes share, but for what it points to. */
struct SlowServers
{
  uint32_t count;
  Server *server;
  Connection *connection;
  uint32_t connection_count;
  struct pollfd *poll;
  pid_t process;
  atomic_uint received[SLOW_SERVERS_REQUESTS_MAX];
  atomic_llong answered_ms[SLOW_SERVERS_REQUESTS_MAX];
};

/* For the servers' process, where no test can fail. */
static void
require (bool good)
{
  if (!good)
    _exit (EXIT_FAILURE);
}

static SlowServerKind
kind_of (uint32_t server)
{
  /* One in twenty refuses, one in twenty has a full queue. */
  if (server % 20 == 5)
    return SLOW_SERVER_REFUSES;
  if (server % 20 == 15)
    return SLOW_SERVER_FULL;
  return kinds[server % KIND_COUNT];
}

static void
fill_backlog (Server *server, const struct sockaddr_in *addr)
{
  for (uint32_t i = 0; i < FILL_COUNT; i++)
    {
      server->filler[i] = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
      assert_true (server->filler[i] >= 0);
      (void) connect (server->filler[i], (const struct sockaddr *) addr,
                      sizeof *addr);
    }
}

static void
open_server (Server *server)
{
  struct sockaddr_in addr
      = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socklen_t len = sizeof addr;

  server->fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
  assert_true (server->fd >= 0);
  assert_int_equal (bind (server->fd, (struct sockaddr *) &addr, len), 0);
  assert_int_equal (getsockname (server->fd, (struct sockaddr *) &addr, &len),
                    0);
  snprintf (server->addr, sizeof server->addr, "127.0.0.1:%u",
            (unsigned) ntohs (addr.sin_port));
  if (server->kind == SLOW_SERVER_REFUSES)
    return;
  assert_int_equal (
      listen (server->fd, server->kind == SLOW_SERVER_FULL ? 0 : BACKLOG), 0);
  if (server->kind == SLOW_SERVER_FULL)
    fill_backlog (server, &addr);
}

static void
accept_all (SlowServers *servers, const Server *server)
{
  int fd;

  while ((fd = accept4 (server->fd, NULL, NULL, SOCK_NONBLOCK)) >= 0)
    {
      require (servers->connection_count < CONNECTIONS_MAX);
      servers->connection[servers->connection_count++]
          = (Connection){ .fd = fd, .kind = server->kind };
    }
}

static void
send_text (const Connection *connection, const char *text)
{
  (void) send (connection->fd, text, strlen (text), MSG_NOSIGNAL);
}

static void
take_request (SlowServers *servers, Connection *connection)
{
  unsigned delay_ms = 0;

  if (strstr (connection->request, "\r\n\r\n") == NULL)
    return;
  require (
      sscanf (connection->request, "%*s /%u/%u", &delay_ms, &connection->number)
      == 2);
  require (connection->number < SLOW_SERVERS_REQUESTS_MAX);
  atomic_fetch_add (&servers->received[connection->number], 1);
  connection->len = 0;
  connection->due_ms = mux_monotonic_ms () + delay_ms;
  if (connection->kind == SLOW_SERVER_ANSWERS
      || connection->kind == SLOW_SERVER_CLOSES)
    return;
  connection->due_ms = -1;
  if (connection->kind == SLOW_SERVER_STOPS)
    send_text (connection, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nab");
}

/* Return: false: the connection has been closed. */
static bool
read_request (SlowServers *servers, Connection *connection)
{
  ssize_t n = recv (connection->fd, connection->request + connection->len,
                    REQUEST_MAX - 1 - connection->len, 0);

  if (n <= 0)
    return false;
  connection->len += (size_t) n;
  connection->request[connection->len] = 0;
  take_request (servers, connection);
  return true;
}

/* Return: false: the connection is to be closed. */
static bool
answer_if_due (SlowServers *servers, Connection *connection)
{
  char body[16];
  char answer[128];

  if (connection->due_ms <= 0 || mux_monotonic_ms () < connection->due_ms)
    return true;
  if (connection->kind == SLOW_SERVER_CLOSES)
    return false;
  snprintf (body, sizeof body, "%u", (unsigned) connection->number);
  snprintf (answer, sizeof answer,
            "HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n\r\n%s", strlen (body),
            body);
  send_text (connection, answer);
  connection->due_ms = 0;
  atomic_store (&servers->answered_ms[connection->number], mux_monotonic_ms ());
  return true;
}

static void
close_connection (SlowServers *servers, uint32_t i)
{
  close (servers->connection[i].fd);
  servers->connection[i] = servers->connection[--servers->connection_count];
}

static void
serve_connections (SlowServers *servers, uint32_t polled)
{
  for (uint32_t i = polled; i-- > 0;)
    {
      Connection *connection = &servers->connection[i];
      short ready = servers->poll[servers->count + i].revents;

      if ((ready != 0 && !read_request (servers, connection))
          || !answer_if_due (servers, connection))
        close_connection (servers, i);
    }
}

static void
serve (SlowServers *servers)
{
  for (;;)
    {
      uint32_t polled = servers->connection_count;

      for (uint32_t i = 0; i < servers->count; i++)
        servers->poll[i] = (struct pollfd){
          .fd = servers->server[i].kind < SLOW_SERVER_REFUSES
                    ? servers->server[i].fd
                    : -1,
          .events = POLLIN,
        };
      for (uint32_t i = 0; i < polled; i++)
        servers->poll[servers->count + i] = (struct pollfd){
          .fd = servers->connection[i].fd,
          .events = POLLIN,
        };
      (void) poll (servers->poll, servers->count + polled, 1);
      serve_connections (servers, polled);
      for (uint32_t i = 0; i < servers->count; i++)
        if (servers->poll[i].revents != 0)
          accept_all (servers, &servers->server[i]);
    }
}

static void
close_server (const Server *server)
{
  for (uint32_t i = 0; server->kind == SLOW_SERVER_FULL && i < FILL_COUNT; i++)
    close (server->filler[i]);
  close (server->fd);
}

SlowServers *
slow_servers_new (uint32_t count)
{
  SlowServers *servers = mmap (NULL, sizeof *servers, PROT_READ | PROT_WRITE,
                               MAP_SHARED | MAP_ANONYMOUS, -1, 0);
  pid_t process;

  assert_ptr_not_equal (servers, MAP_FAILED);
  servers->count = count;
  servers->server = calloc (count, sizeof *servers->server);
  servers->connection = calloc (CONNECTIONS_MAX, sizeof *servers->connection);
  servers->poll = calloc (count + CONNECTIONS_MAX, sizeof *servers->poll);
  assert_non_null (servers->server);
  assert_non_null (servers->connection);
  assert_non_null (servers->poll);
  for (uint32_t i = 0; i < count; i++)
    {
      servers->server[i].kind = kind_of (i);
      open_server (&servers->server[i]);
    }
  process = fork ();
  assert_true (process >= 0);
  if (process == 0)
    serve (servers);
  servers->process = process;
  for (uint32_t i = 0; i < count; i++)
    close_server (&servers->server[i]);
  return servers;
}

void
slow_servers_free (SlowServers *servers)
{
  kill (servers->process, SIGKILL);
  assert_int_equal (waitpid (servers->process, NULL, 0), servers->process);
  free (servers->poll);
  free (servers->connection);
  free (servers->server);
  munmap (servers, sizeof *servers);
}

SlowServerKind
slow_servers_kind (const SlowServers *servers, uint32_t server)
{
  return servers->server[server].kind;
}

const char *
slow_servers_addr (const SlowServers *servers, uint32_t server)
{
  return servers->server[server].addr;
}

uint32_t
slow_servers_received (SlowServers *servers, uint32_t number)
{
  return atomic_load (&servers->received[number]);
}

int64_t
slow_servers_answered_ms (SlowServers *servers, uint32_t number)
{
  return atomic_load (&servers->answered_ms[number]);
}
