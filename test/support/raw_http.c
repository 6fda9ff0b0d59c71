#include "support/raw_http.h"

#include "base/address.h"
#include "support/test.h"

#include <strings.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

int
raw_connect (const char *addr)
{
  struct sockaddr_storage to;
  socklen_t len;
  int fd;

  assert_true (mux_address_parse (addr, &to, &len));
  fd = socket (to.ss_family, SOCK_STREAM | SOCK_CLOEXEC, 0);
  assert_true (fd >= 0);
  assert_int_equal (connect (fd, (struct sockaddr *) &to, len), 0);
  return fd;
}

bool
raw_send (int fd, const void *bytes, size_t len)
{
  const char *p = bytes;

  while (len > 0)
    {
      ssize_t n = send (fd, p, len, MSG_NOSIGNAL);

      if (n <= 0)
        return false;
      p += n;
      len -= (size_t) n;
    }
  return true;
}

const char *
raw_header (const RawReply *reply, const char *name)
{
  static char value[256];
  size_t name_len = strlen (name);

  for (const char *line = strstr (reply->head, "\r\n"); line != NULL;
       line = strstr (line, "\r\n"))
    {
      line += 2;
      if (strncasecmp (line, name, name_len) != 0
          || strncmp (line + name_len, ": ", 2) != 0)
        continue;
      line += name_len + 2;
      snprintf (value, sizeof value, "%.*s", (int) strcspn (line, "\r"), line);
      return value;
    }
  return "";
}

static bool
read_head (int fd, RawReply *reply)
{
  size_t len = 0;

  while (len + 1 < sizeof reply->head)
    {
      if (recv (fd, reply->head + len, 1, 0) != 1)
        return false;
      reply->head[++len] = 0;
      if (len >= 4 && memcmp (reply->head + len - 4, "\r\n\r\n", 4) == 0)
        return true;
    }
  return false;
}

RawReply
raw_read_reply (int fd)
{
  RawReply reply = { 0 };
  size_t have = 0;

  do
    {
      memset (reply.head, 0, sizeof reply.head);
      if (!read_head (fd, &reply))
        return reply;
    }
  while (strncmp (reply.head, "HTTP/1.1 100", 12) == 0);
  reply.body_len
      = (size_t) strtoul (raw_header (&reply, "Content-Length"), NULL, 10);
  reply.body = calloc (1, reply.body_len + 1);
  assert_non_null (reply.body);
  while (have < reply.body_len)
    {
      ssize_t n = recv (fd, reply.body + have, reply.body_len - have, 0);

      if (n <= 0)
        return reply; /* incomplete: no status */
      have += (size_t) n;
    }
  reply.status = atoi (reply.head + strlen ("HTTP/1.1 "));
  return reply;
}

RawReply
raw_exchange (const char *addr, const void *bytes, size_t len)
{
  int fd = raw_connect (addr);
  RawReply reply;

  raw_send (fd, bytes, len);
  reply = raw_read_reply (fd);
  close (fd);
  return reply;
}

RawReply
raw_exchange_text (const char *addr, const char *text, uint32_t timeout_s)
{
  struct timeval timeout = { .tv_sec = timeout_s };
  int fd = raw_connect (addr);
  RawReply reply;

  (void) setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
  raw_send (fd, text, strlen (text));
  reply = raw_read_reply (fd);
  close (fd);
  return reply;
}

void
raw_wait_closed (int fd)
{
  char byte;

  while (recv (fd, &byte, 1, 0) > 0)
    continue;
}

void
raw_reply_free (RawReply *reply)
{
  free (reply->body);
  memset (reply, 0, sizeof *reply);
}
