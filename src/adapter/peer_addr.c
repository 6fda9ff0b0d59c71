#include "peer_addr.h"

#include "base/address.h"

#include <netinet/in.h>

bool
mux_peer_addr_valid (const char *addr, uint32_t min_port)
{
  struct sockaddr_storage ip;
  const struct sockaddr_in *v4 = (const struct sockaddr_in *) &ip;
  const struct sockaddr_in6 *v6 = (const struct sockaddr_in6 *) &ip;
  socklen_t len;

  if (!mux_address_parse (addr, &ip, &len))
    return false;
  if (ip.ss_family == AF_INET6)
    return ntohs (v6->sin6_port) >= min_port;
  return ntohs (v4->sin_port) >= min_port;
}
