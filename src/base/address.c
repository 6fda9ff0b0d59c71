#include "base/address.h"

#include "base/id.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#define PORT_DIGITS_MAX 5
#define PORT_MAX 65535

static bool
parse_port (const char *text, uint16_t *port)
{
  size_t len = strlen (text);
  uint32_t value = 0;

  if (len == 0 || len > PORT_DIGITS_MAX || strspn (text, "0123456789") != len)
    return false;
  for (size_t i = 0; i < len; i++)
    value = value * 10 + (uint32_t) (text[i] - '0');
  if (value > PORT_MAX)
    return false;
  *port = (uint16_t) value;
  return true;
}

bool
mux_address_parse (const char *text,
                   struct sockaddr_storage *addr,
                   socklen_t *len)
{
  struct sockaddr_in *v4 = (struct sockaddr_in *) addr;
  struct sockaddr_in6 *v6 = (struct sockaddr_in6 *) addr;
  const char *colon = strrchr (text, ':');
  char host[MUX_ADDR_LEN];
  size_t host_len;
  uint16_t port;

  if (colon == NULL || strlen (text) >= MUX_ADDR_LEN
      || !parse_port (colon + 1, &port))
    return false;
  host_len = (size_t) (colon - text);
  memcpy (host, text, host_len);
  host[host_len] = 0;
  memset (addr, 0, sizeof *addr);
  if (host_len > 2 && host[0] == '[' && host[host_len - 1] == ']')
    {
      host[host_len - 1] = 0;
      v6->sin6_family = AF_INET6;
      v6->sin6_port = htons (port);
      *len = sizeof *v6;
      return inet_pton (AF_INET6, host + 1, &v6->sin6_addr) == 1;
    }
  v4->sin_family = AF_INET;
  v4->sin_port = htons (port);
  *len = sizeof *v4;
  return inet_pton (AF_INET, host, &v4->sin_addr) == 1;
}

bool
mux_address_is_connectable (const char *text)
{
  struct sockaddr_storage addr;
  const struct sockaddr_in *v4 = (const struct sockaddr_in *) &addr;
  const struct sockaddr_in6 *v6 = (const struct sockaddr_in6 *) &addr;
  socklen_t len;

  if (!mux_address_parse (text, &addr, &len))
    return false;
  if (addr.ss_family == AF_INET6)
    return v6->sin6_port != 0 && !IN6_IS_ADDR_UNSPECIFIED (&v6->sin6_addr);
  return v4->sin_port != 0 && v4->sin_addr.s_addr != INADDR_ANY;
}

bool
mux_address_is_loopback (const char *text)
{
  struct sockaddr_storage addr;
  const struct sockaddr_in *v4 = (const struct sockaddr_in *) &addr;
  const struct sockaddr_in6 *v6 = (const struct sockaddr_in6 *) &addr;
  socklen_t len;

  if (!mux_address_parse (text, &addr, &len))
    return false;
  if (addr.ss_family == AF_INET6)
    return IN6_IS_ADDR_LOOPBACK (&v6->sin6_addr) != 0;
  return ntohl (v4->sin_addr.s_addr) >> 24 == IN_LOOPBACKNET;
}

bool
mux_address_format (const struct sockaddr_storage *addr, char *out, size_t cap)
{
  const struct sockaddr_in *v4 = (const struct sockaddr_in *) addr;
  const struct sockaddr_in6 *v6 = (const struct sockaddr_in6 *) addr;
  char host[INET6_ADDRSTRLEN];
  int n;

  if (addr->ss_family == AF_INET
      && inet_ntop (AF_INET, &v4->sin_addr, host, sizeof host) != NULL)
    n = snprintf (out, cap, "%s:%u", host, ntohs (v4->sin_port));
  else if (addr->ss_family == AF_INET6
           && inet_ntop (AF_INET6, &v6->sin6_addr, host, sizeof host) != NULL)
    n = snprintf (out, cap, "[%s]:%u", host, ntohs (v6->sin6_port));
  else
    return false;
  return n > 0 && (size_t) n < cap;
}
