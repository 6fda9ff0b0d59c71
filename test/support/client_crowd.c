#include "support/client_crowd.h"

#include "base/address.h"
#include "base/clock.h"
#include "support/test.h"

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

/* A server that takes nothing for this long has stopped to read. */
#define STALL_MS 1500
#define POLL_MS 20
/* Longest wait for the answers, so that a server that hangs fails the test. */
#define FINISH_MS 60000
/* Pieces that one connection sends before the next one has its turn. */
#define PIECES_PER_TURN 4

typedef struct
{
  int fd; /* -1: closed */
  size_t head_sent;
  uint32_t pieces_sent;
  size_t piece_sent; /* bytes of the piece under way */
  size_t tail_sent;
  bool answered;
} Client;

struct ClientCrowd
{
  ClientCrowdOptions options;
  size_t piece_len;
  Client *client;
  struct pollfd *wait;
  bool finishing;
};

static void
client_close (Client *client)
{
  if (client->fd >= 0)
    close (client->fd);
  client->fd = -1;
}

static bool
client_connect (Client *client, const char *addr)
{
  struct sockaddr_storage to;
  socklen_t len;
  int one = 1;

  assert_true (mux_address_parse (addr, &to, &len));
  client->fd
      = socket (to.ss_family, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  assert_true (client->fd >= 0);
  (void) setsockopt (client->fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  if (connect (client->fd, (struct sockaddr *) &to, len) == 0
      || errno == EINPROGRESS)
    return true;
  client_close (client);
  return false;
}

/* Next bytes that @client has to send; 0 when there are none for now. */
static size_t
next_bytes (const ClientCrowd *crowd, const Client *client, const char **bytes)
{
  const ClientCrowdOptions *options = &crowd->options;
  size_t head_len = options->head != NULL ? strlen (options->head) : 0;
  size_t tail_len
      = crowd->finishing && options->tail != NULL ? strlen (options->tail) : 0;

  if (client->head_sent < head_len)
    {
      *bytes = options->head + client->head_sent;
      return head_len - client->head_sent;
    }
  if (client->pieces_sent < options->pieces)
    {
      *bytes = options->piece + client->piece_sent;
      return crowd->piece_len - client->piece_sent;
    }
  *bytes = options->tail != NULL ? options->tail + client->tail_sent : NULL;
  return tail_len
         - (client->tail_sent < tail_len ? client->tail_sent : tail_len);
}

static void
note_sent (const ClientCrowd *crowd, Client *client, size_t n)
{
  const ClientCrowdOptions *options = &crowd->options;
  size_t head_len = options->head != NULL ? strlen (options->head) : 0;

  if (client->head_sent < head_len)
    client->head_sent += n;
  else if (client->pieces_sent < options->pieces)
    {
      client->piece_sent += n;
      if (client->piece_sent < crowd->piece_len)
        return;
      client->piece_sent = 0;
      client->pieces_sent++;
    }
  else
    client->tail_sent += n;
}

/* Return: whether anything was sent. */
static bool
client_send (const ClientCrowd *crowd, Client *client)
{
  bool progress = false;

  for (uint32_t i = 0; i < PIECES_PER_TURN; i++)
    {
      const char *bytes;
      size_t len = next_bytes (crowd, client, &bytes);
      ssize_t n;

      if (len == 0)
        return progress;
      n = send (client->fd, bytes, len, MSG_NOSIGNAL | MSG_DONTWAIT);
      if (n < 0 && errno != EAGAIN && errno != EINTR)
        client_close (client);
      if (n <= 0)
        return progress;
      note_sent (crowd, client, (size_t) n);
      progress = true;
    }
  return progress;
}

static void
client_receive (Client *client)
{
  char bytes[4096];
  ssize_t n = recv (client->fd, bytes, sizeof bytes, MSG_DONTWAIT);

  if (n > 0)
    client->answered = true;
  else if (n == 0 || (errno != EAGAIN && errno != EINTR))
    client_close (client);
}

/* Waits for events of all connections and handles them.  Return: how many have
 * sent something. */
static uint32_t
turn (ClientCrowd *crowd, bool *sending)
{
  uint32_t count = crowd->options.connections;
  uint32_t progress = 0;

  *sending = false;
  for (uint32_t i = 0; i < count; i++)
    {
      Client *client = &crowd->client[i];
      const char *bytes;
      bool wants = client->fd >= 0 && next_bytes (crowd, client, &bytes) > 0;

      *sending |= wants;
      crowd->wait[i]
          = (struct pollfd){ client->fd,
                             (short) (POLLIN | (wants ? POLLOUT : 0)), 0 };
    }
  (void) poll (crowd->wait, count, POLL_MS);
  for (uint32_t i = 0; i < count; i++)
    {
      Client *client = &crowd->client[i];

      if (client->fd >= 0
          && (crowd->wait[i].revents & (POLLIN | POLLERR | POLLHUP)) != 0)
        client_receive (client);
      if (client->fd >= 0 && (crowd->wait[i].revents & POLLOUT) != 0)
        progress += client_send (crowd, client);
    }
  if (crowd->options.on_progress != NULL)
    crowd->options.on_progress (crowd->options.arg);
  return progress;
}

/* Sends until all is sent, or nothing is taken any more. */
static void
send_all (ClientCrowd *crowd)
{
  int64_t progress_ms = mux_monotonic_ms ();
  bool sending = true;

  while (sending && mux_monotonic_ms () - progress_ms < STALL_MS)
    if (turn (crowd, &sending) > 0)
      progress_ms = mux_monotonic_ms ();
}

ClientCrowd *
client_crowd_new (const ClientCrowdOptions *options)
{
  ClientCrowd *crowd = calloc (1, sizeof *crowd);
  int64_t until_ms;
  bool sending;

  crowd->options = *options;
  crowd->piece_len = options->piece != NULL ? strlen (options->piece) : 0;
  crowd->client = calloc (options->connections, sizeof *crowd->client);
  crowd->wait = calloc (options->connections, sizeof *crowd->wait);
  for (uint32_t i = 0; i < options->connections; i++)
    (void) client_connect (&crowd->client[i], options->addr);
  send_all (crowd);
  /* The server may still read what is in its sockets. */
  until_ms = mux_monotonic_ms () + STALL_MS;
  while (mux_monotonic_ms () < until_ms)
    (void) turn (crowd, &sending);
  return crowd;
}

static bool
waits_for_answer (const ClientCrowd *crowd)
{
  for (uint32_t i = 0; i < crowd->options.connections; i++)
    if (crowd->client[i].fd >= 0 && !crowd->client[i].answered)
      return true;
  return false;
}

void
client_crowd_finish (ClientCrowd *crowd)
{
  int64_t until_ms = mux_monotonic_ms () + FINISH_MS;
  bool sending;

  crowd->finishing = true;
  while (waits_for_answer (crowd) && mux_monotonic_ms () < until_ms)
    (void) turn (crowd, &sending);
}

void
client_crowd_free (ClientCrowd *crowd)
{
  for (uint32_t i = 0; i < crowd->options.connections; i++)
    client_close (&crowd->client[i]);
  free (crowd->client);
  free (crowd->wait);
  free (crowd);
}

char *
crowd_text (const char *text, size_t times)
{
  size_t len = strlen (text);
  char *all = malloc (len * times + 1);

  for (size_t i = 0; i < times; i++)
    memcpy (all + i * len, text, len);
  all[len * times] = 0;
  return all;
}

char *
crowd_announced (const char *request, size_t bytes)
{
  size_t cap = strlen (request) + 64;
  char *head = malloc (cap);

  snprintf (head, cap, "%sContent-Length: %zu\r\n\r\n", request, bytes);
  return head;
}

char *
crowd_chunk (size_t bytes)
{
  char *data = crowd_text ("x", bytes);
  char *chunk = malloc (bytes + 32);

  snprintf (chunk, bytes + 32, "%zx\r\n%s\r\n", bytes, data);
  free (data);
  return chunk;
}
