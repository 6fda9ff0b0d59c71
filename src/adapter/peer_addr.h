#ifndef ADAPTER_PEER_ADDR_H
#define ADAPTER_PEER_ADDR_H

#include <stdbool.h>
#include <stdint.h>

/**
 * mux_peer_addr_valid() - whether @addr is "a.b.c.d:port" or "[v6]:port"
 * @min_port: smallest port allowed; 0 for addresses to bind
 */
bool mux_peer_addr_valid (const char *addr, uint32_t min_port);

#endif
