#include "peer_addr.h"

#include "base/id.h"

#include <arpa/inet.h>
#include <string.h>

#define PORT_MAX 65535
#define PORT_DIGITS_MAX 5

static bool
port_valid (const char *text, uint32_t min_port)
{
  size_t digits = strspn (text, "0123456789");
  uint32_t port = 0;

  if (digits == 0 || digits > PORT_DIGITS_MAX || text[digits] != 0)
    return false;
  for (; *text != 0; text++)
    port = port * 10 + (uint32_t) (*text - '0');
  return port >= min_port && port <= PORT_MAX;
}

bool
mux_peer_addr_valid (const char *addr, uint32_t min_port)
{
  struct in6_addr ip;
  char host[MUX_ADDR_LEN];
  const char *colon = strrchr (addr, ':');
  size_t len;

  if (colon == NULL || strlen (addr) >= MUX_ADDR_LEN)
    return false;
  if (!port_valid (colon + 1, min_port))
    return false;
  len = (size_t) (colon - addr);
  memcpy (host, addr, len);
  host[len] = 0;
  if (host[0] != '[')
    return inet_pton (AF_INET, host, &ip) == 1;
  if (host[len - 1] != ']')
    return false;
  host[len - 1] = 0;
  return inet_pton (AF_INET6, host + 1, &ip) == 1;
}
