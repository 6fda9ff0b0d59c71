#include "support/tcp_forwarder.h"

#include "standin/listen.h"

#include <arpa/inet.h>
#include <poll.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

/* Most open connections; one more is closed at once. */
#define PAIRS_MAX 512
#define WAIT_S 30
/* Delay of a slow link. */
#define DELAY_NS 40000000

/* A connection to the forwarder and the one to the target.  Frozen ones are
 * closed with the forwarder. */
typedef struct
{
  int fd[2];
  bool frozen;
} Pair;

struct TcpForwarder
{
  pthread_t thread;
  pthread_mutex_t mutex;
  pthread_cond_t changed;
  int wake;
  int listener;
  bool stopping;
  struct sockaddr_in target;
  bool targeted;
  TcpForwarderMode mode;
  Pair pairs[PAIRS_MAX];
  uint32_t count;
  uint32_t closed;
  uint64_t bytes; /* forwarded, in both directions */
};

static struct sockaddr_in
loopback_of (const char *addr)
{
  struct sockaddr_in sa = { .sin_family = AF_INET };

  sa.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  sa.sin_port = htons ((uint16_t) atoi (strrchr (addr, ':') + 1));
  return sa;
}

/* Return: a free entry for a connection, or NULL. */
static Pair *
free_pair (TcpForwarder *fw)
{
  for (uint32_t i = 0; i < fw->count; i++)
    if (fw->pairs[i].fd[0] < 0)
      return &fw->pairs[i];
  return fw->count < PAIRS_MAX ? &fw->pairs[fw->count++] : NULL;
}

static void
accept_pair (TcpForwarder *fw)
{
  int in = accept4 (fw->listener, NULL, NULL, SOCK_CLOEXEC);
  int out = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  Pair *pair = NULL;

  if (in >= 0 && out >= 0 && fw->targeted && fw->mode != TCP_FORWARDER_REFUSE
      && connect (out, (struct sockaddr *) &fw->target, sizeof fw->target) == 0)
    pair = free_pair (fw);
  if (pair != NULL)
    {
      *pair = (Pair){ { in, out }, false };
      return;
    }
  if (in >= 0)
    close (in);
  if (out >= 0)
    close (out);
}

static bool
write_all (int fd, const char *bytes, ssize_t len)
{
  while (len > 0)
    {
      ssize_t n = send (fd, bytes, (size_t) len, MSG_NOSIGNAL);

      if (n <= 0)
        return false;
      bytes += n;
      len -= n;
    }
  return true;
}

static void
close_pair (TcpForwarder *fw, Pair *pair)
{
  close (pair->fd[0]);
  close (pair->fd[1]);
  pair->fd[0] = pair->fd[1] = -1;
  fw->closed++;
  pthread_cond_broadcast (&fw->changed);
}

static void
forward_chunk (TcpForwarder *fw, Pair *pair, int from)
{
  char buf[16384];
  ssize_t n = recv (pair->fd[from], buf, sizeof buf, 0);

  if (n <= 0 || !write_all (pair->fd[1 - from], buf, n))
    {
      close_pair (fw, pair);
      return;
    }
  fw->bytes += (uint64_t) n;
}

static int
end_to_poll (const TcpForwarder *fw, const Pair *pair, int end)
{
  if (pair->frozen || fw->mode == TCP_FORWARDER_SILENT)
    return -1;
  if (fw->mode == TCP_FORWARDER_ONE_WAY && end == 1)
    return -1;
  return pair->fd[end];
}

static void
delay_chunk (TcpForwarder *fw)
{
  static const struct timespec delay = { 0, DELAY_NS };
  bool delays;

  pthread_mutex_lock (&fw->mutex);
  delays = fw->mode == TCP_FORWARDER_DELAY;
  pthread_mutex_unlock (&fw->mutex);
  if (delays)
    nanosleep (&delay, NULL);
}

static void *
forwarder_main (void *arg)
{
  TcpForwarder *fw = arg;
  struct pollfd fds[2 + 2 * PAIRS_MAX];

  pthread_mutex_lock (&fw->mutex);
  while (!fw->stopping)
    {
      uint32_t count = fw->count;
      eventfd_t woken;

      fds[0] = (struct pollfd){ fw->wake, POLLIN, 0 };
      fds[1] = (struct pollfd){ fw->listener, POLLIN, 0 };
      for (uint32_t i = 0; i < 2 * count; i++)
        fds[2 + i]
            = (struct pollfd){ end_to_poll (fw, &fw->pairs[i / 2], i % 2),
                               POLLIN, 0 };
      pthread_mutex_unlock (&fw->mutex);
      poll (fds, 2 + 2 * count, -1);
      delay_chunk (fw);
      pthread_mutex_lock (&fw->mutex);
      if (fds[0].revents != 0)
        eventfd_read (fw->wake, &woken);
      for (uint32_t i = 0; i < 2 * count; i++)
        if (fds[2 + i].revents != 0
            && end_to_poll (fw, &fw->pairs[i / 2], i % 2) >= 0)
          forward_chunk (fw, &fw->pairs[i / 2], i % 2);
      if (fds[1].revents != 0)
        accept_pair (fw);
    }
  pthread_mutex_unlock (&fw->mutex);
  return NULL;
}

TcpForwarder *
tcp_forwarder_new (const char *target, char *addr)
{
  TcpForwarder *fw = calloc (1, sizeof *fw);
  uint16_t port;

  if (fw == NULL)
    abort ();
  if (target != NULL)
    fw->target = loopback_of (target);
  fw->targeted = target != NULL;
  fw->wake = eventfd (0, EFD_CLOEXEC);
  fw->listener = standin_listen ("127.0.0.1:0", addr, &port, NULL);
  if (fw->listener < 0)
    abort ();
  pthread_mutex_init (&fw->mutex, NULL);
  pthread_cond_init (&fw->changed, NULL);
  if (pthread_create (&fw->thread, NULL, forwarder_main, fw) != 0)
    abort ();
  return fw;
}

void
tcp_forwarder_free (TcpForwarder *fw)
{
  pthread_mutex_lock (&fw->mutex);
  fw->stopping = true;
  pthread_mutex_unlock (&fw->mutex);
  eventfd_write (fw->wake, 1);
  pthread_join (fw->thread, NULL);
  for (uint32_t i = 0; i < 2 * fw->count; i++)
    if (fw->pairs[i / 2].fd[i % 2] >= 0)
      close (fw->pairs[i / 2].fd[i % 2]);
  close (fw->listener);
  close (fw->wake);
  pthread_cond_destroy (&fw->changed);
  pthread_mutex_destroy (&fw->mutex);
  free (fw);
}

void
tcp_forwarder_retarget (TcpForwarder *fw, const char *target)
{
  pthread_mutex_lock (&fw->mutex);
  if (target != NULL)
    fw->target = loopback_of (target);
  fw->targeted = target != NULL;
  pthread_mutex_unlock (&fw->mutex);
}

void
tcp_forwarder_mode (TcpForwarder *fw, TcpForwarderMode mode)
{
  pthread_mutex_lock (&fw->mutex);
  fw->mode = mode;
  for (uint32_t i = 0; mode == TCP_FORWARDER_REFUSE && i < fw->count; i++)
    if (fw->pairs[i].fd[0] >= 0)
      close_pair (fw, &fw->pairs[i]);
  pthread_mutex_unlock (&fw->mutex);
  eventfd_write (fw->wake, 1);
}

uint64_t
tcp_forwarder_bytes (TcpForwarder *fw)
{
  uint64_t bytes;

  pthread_mutex_lock (&fw->mutex);
  bytes = fw->bytes;
  pthread_mutex_unlock (&fw->mutex);
  return bytes;
}

void
tcp_forwarder_freeze (TcpForwarder *fw)
{
  pthread_mutex_lock (&fw->mutex);
  for (uint32_t i = 0; i < fw->count; i++)
    fw->pairs[i].frozen = true;
  pthread_mutex_unlock (&fw->mutex);
  eventfd_write (fw->wake, 1);
}

bool
tcp_forwarder_wait_closed (TcpForwarder *fw, uint32_t n)
{
  struct timespec end;
  bool there;
  int rc = 0;

  clock_gettime (CLOCK_REALTIME, &end);
  end.tv_sec += WAIT_S;
  pthread_mutex_lock (&fw->mutex);
  while (!(there = fw->closed >= n) && rc == 0)
    rc = pthread_cond_timedwait (&fw->changed, &fw->mutex, &end);
  pthread_mutex_unlock (&fw->mutex);
  return there;
}
