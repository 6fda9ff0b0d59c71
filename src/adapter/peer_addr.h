#ifndef ADAPTER_PEER_ADDR_H
#define ADAPTER_PEER_ADDR_H

#include <stdbool.h>
#include <stdint.h>

/**
 * mux_peer_addr_valid() - "a.b.c.d:port" or "[v6]:port", IP by number
 * @min_port: least port allowed; 0 for addresses that are bound
 */
bool mux_peer_addr_valid (const char *addr, uint32_t min_port);

#endif
