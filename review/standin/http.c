#include "http.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define BODY_MAX (8 * 1024 * 1024)
#define HEAD_MAX 16384
#define PORT_FIRST 12000
#define PORTS 16000

struct HttpServer
{
  int fd;
  char addr[64];
  HttpServe serve;
  void *context;
};

typedef struct
{
  HttpServer *server;
  int fd;
} Connection;

int64_t
now_ms (void)
{
  struct timespec t;

  clock_gettime (CLOCK_MONOTONIC, &t);
  return (int64_t) t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

int64_t
wall_ms (void)
{
  struct timespec t;

  clock_gettime (CLOCK_REALTIME, &t);
  return (int64_t) t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

void
pause_ms (int64_t ms)
{
  struct timespec t = { ms / 1000, ms % 1000 * 1000000 };

  if (ms > 0)
    nanosleep (&t, NULL);
}

static int
listen_any (char *addr, size_t cap)
{
  struct sockaddr_in in = { .sin_family = AF_INET };
  socklen_t len = sizeof in;
  int on = 1;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  inet_pton (AF_INET, "127.0.0.1", &in.sin_addr);
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (fd < 0 || bind (fd, (struct sockaddr *) &in, sizeof in) != 0
      || listen (fd, 512) != 0
      || getsockname (fd, (struct sockaddr *) &in, &len) != 0)
    return -1;
  snprintf (addr, cap, "127.0.0.1:%u", (unsigned) ntohs (in.sin_port));
  return fd;
}

/* Below the range that the kernel picks ports of its own from, and each number
 * once in a process. */
int
free_port (void)
{
  static int next;
  struct sockaddr_in in = { .sin_family = AF_INET };

  if (next == 0)
    next = getpid () * 37 % PORTS;
  inet_pton (AF_INET, "127.0.0.1", &in.sin_addr);
  for (int tries = 0; tries < PORTS; tries++)
    {
      int port = PORT_FIRST + next++ % PORTS;
      int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
      bool ok;

      in.sin_port = htons ((uint16_t) port);
      ok = fd >= 0 && bind (fd, (struct sockaddr *) &in, sizeof in) == 0;
      if (fd >= 0)
        close (fd);
      if (ok)
        return port;
    }
  return 0;
}

static bool
write_all (int fd, const char *text, size_t len)
{
  while (len > 0)
    {
      ssize_t n = send (fd, text, len, MSG_NOSIGNAL);

      if (n <= 0)
        return false;
      text += n;
      len -= (size_t) n;
    }
  return true;
}

/* Reads a head and its body.  @head: room for HEAD_MAX; @body: set, owned.
 * Return: false at the end of the connection. */
static bool
read_message (int fd,
              char *head,
              char **body,
              size_t *body_len,
              char *kept,
              size_t *kept_len,
              int64_t until_ms)
{
  size_t len = *kept_len;
  char *end = NULL;
  char *field;
  size_t want;
  size_t extra;

  *body = NULL;
  *body_len = 0;
  memcpy (head, kept, len);
  head[len] = 0;
  for (;;)
    {
      ssize_t n;

      end = strstr (head, "\r\n\r\n");
      if (end != NULL)
        break;
      if (len + 1 >= HEAD_MAX)
        return false;
      if (until_ms != 0)
        {
          struct pollfd p = { .fd = fd, .events = POLLIN };
          int64_t left = until_ms - now_ms ();

          if (left <= 0 || poll (&p, 1, (int) left) <= 0)
            return false;
        }
      n = recv (fd, head + len, HEAD_MAX - 1 - len, 0);
      if (n <= 0)
        return false;
      len += (size_t) n;
      head[len] = 0;
    }
  end += 4;
  extra = len - (size_t) (end - head);
  field = strcasestr (head, "\r\nContent-Length:");
  want = field != NULL && field < end ? strtoul (field + 17, NULL, 10) : 0;
  if (want > BODY_MAX)
    return false;
  *body = malloc (want + 1);
  *body_len = want;
  memcpy (*body, end, extra < want ? extra : want);
  if (extra > want)
    {
      *kept_len = extra - want;
      memmove (kept, end + want, *kept_len);
    }
  else
    *kept_len = 0;
  while (extra < want)
    {
      ssize_t n;

      if (until_ms != 0)
        {
          struct pollfd p = { .fd = fd, .events = POLLIN };
          int64_t left = until_ms - now_ms ();

          if (left <= 0 || poll (&p, 1, (int) left) <= 0)
            return false;
        }
      n = recv (fd, *body + extra, want - extra, 0);
      if (n <= 0)
        return false;
      extra += (size_t) n;
    }
  (*body)[want] = 0;
  *(end - 2) = 0;
  return true;
}

static void
read_ask (const char *head, const char *body, size_t body_len, HttpAsk *ask)
{
  char target[768] = "";
  const char *field = strcasestr (head, "\r\nExpected-Instance:");
  char *mark;

  memset (ask, 0, sizeof *ask);
  sscanf (head, "%15s %767s", ask->method, target);
  mark = strchr (target, '?');
  if (mark != NULL)
    {
      *mark = 0;
      snprintf (ask->query, sizeof ask->query, "%s", mark + 1);
    }
  snprintf (ask->path, sizeof ask->path, "%.255s", target);
  if (field != NULL)
    sscanf (field + 20, " %127s", ask->instance);
  ask->body_len = body_len;
  ask->body = body_len > 0 ? json_loadb (body, body_len, 0, NULL) : NULL;
}

static bool
respond (int fd, const HttpAnswer *answer)
{
  char *text = answer->json != NULL ? json_dumps (answer->json, JSON_COMPACT)
                                    : strdup ("{}");
  size_t len = strlen (text);
  char head[160];
  bool ok;

  snprintf (head, sizeof head,
            "HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
            "Content-Length: %zu\r\n\r\n",
            answer->status, len);
  ok = write_all (fd, head, strlen (head)) && write_all (fd, text, len);
  free (text);
  return ok;
}

static void *
connection_main (void *arg)
{
  Connection *c = arg;
  char *head = malloc (HEAD_MAX);
  char *kept = malloc (HEAD_MAX);
  size_t kept_len = 0;
  char *body = NULL;
  size_t body_len;
  bool ok = true;

  while (ok && read_message (c->fd, head, &body, &body_len, kept, &kept_len, 0))
    {
      HttpAsk ask;
      HttpAnswer answer;

      read_ask (head, body, body_len, &ask);
      answer = c->server->serve (c->server->context, &ask);
      ok = respond (c->fd, &answer);
      json_decref (answer.json);
      json_decref (ask.body);
      free (body);
      body = NULL;
    }
  free (body);
  close (c->fd);
  free (head);
  free (kept);
  free (c);
  return NULL;
}

static void *
accept_main (void *arg)
{
  HttpServer *server = arg;

  for (;;)
    {
      int fd = accept4 (server->fd, NULL, NULL, SOCK_CLOEXEC);
      int on = 1;
      pthread_attr_t attr;
      pthread_t thread;
      Connection *c;

      if (fd < 0)
        {
          pause_ms (5);
          continue;
        }
      setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      c = malloc (sizeof *c);
      *c = (Connection){ server, fd };
      pthread_attr_init (&attr);
      pthread_attr_setstacksize (&attr, 512 * 1024);
      pthread_attr_setdetachstate (&attr, PTHREAD_CREATE_DETACHED);
      if (pthread_create (&thread, &attr, connection_main, c) != 0)
        {
          close (fd);
          free (c);
        }
      pthread_attr_destroy (&attr);
    }
  return NULL;
}

HttpServer *
http_serve (HttpServe serve, void *context)
{
  HttpServer *server = calloc (1, sizeof *server);
  pthread_t thread;

  server->serve = serve;
  server->context = context;
  server->fd = listen_any (server->addr, sizeof server->addr);
  if (server->fd < 0
      || pthread_create (&thread, NULL, accept_main, server) != 0)
    {
      free (server);
      return NULL;
    }
  pthread_detach (thread);
  return server;
}

const char *
http_addr (const HttpServer *server)
{
  return server->addr;
}

void
http_query (const HttpAsk *ask, const char *name, char *value, size_t cap)
{
  size_t name_len = strlen (name);
  const char *at = ask->query;
  size_t n = 0;

  value[0] = 0;
  while (at != NULL && *at != 0)
    {
      if (strncmp (at, name, name_len) == 0 && at[name_len] == '=')
        {
          at += name_len + 1;
          while (*at != 0 && *at != '&' && n + 1 < cap)
            {
              unsigned code;

              if (*at == '%' && sscanf (at + 1, "%2x", &code) == 1)
                {
                  value[n++] = (char) code;
                  at += 3;
                }
              else
                value[n++] = *at++;
            }
          value[n] = 0;
          return;
        }
      at = strchr (at, '&');
      at = at != NULL ? at + 1 : NULL;
    }
}

int
http_call (const char *addr,
           const char *method,
           const char *path,
           const char *host,
           const char *body,
           int timeout_ms,
           json_t **json)
{
  struct sockaddr_in in = { .sin_family = AF_INET };
  int64_t until = now_ms () + timeout_ms;
  size_t body_len = body != NULL ? strlen (body) : 0;
  char *head = malloc (HEAD_MAX);
  char *kept = malloc (HEAD_MAX);
  size_t kept_len = 0;
  char *answer = NULL;
  size_t answer_len = 0;
  int status = 0;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  if (json != NULL)
    *json = NULL;
  inet_pton (AF_INET, "127.0.0.1", &in.sin_addr);
  in.sin_port = htons ((uint16_t) atoi (strchr (addr, ':') + 1));
  snprintf (head, HEAD_MAX,
            "%s %s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\n"
            "Deadline-Ms: 3000\r\nContent-Length: %zu\r\n\r\n",
            method, path, host, body_len);
  if (fd >= 0 && connect (fd, (struct sockaddr *) &in, sizeof in) == 0
      && write_all (fd, head, strlen (head))
      && (body_len == 0 || write_all (fd, body, body_len))
      && read_message (fd, head, &answer, &answer_len, kept, &kept_len, until))
    {
      sscanf (head, "HTTP/1.1 %d", &status);
      if (json != NULL && answer_len > 0)
        *json = json_loadb (answer, answer_len, 0, NULL);
    }
  if (fd >= 0)
    close (fd);
  free (answer);
  free (head);
  free (kept);
  return status;
}
