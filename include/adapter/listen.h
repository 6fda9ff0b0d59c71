#ifndef ADAPTER_LISTEN_H
#define ADAPTER_LISTEN_H

#include "base/error.h"

/** mux_listen_open() - open a non-blocking listening socket
 * @listen_on: "ip:port"; port 0: the kernel picks one
 * @receive_buffer_bytes: size of the receive buffer of each connection, which
 *   then does not grow; 0: the system's
 * @bound: receives the "ip:port" in use, MUX_ADDR_LEN bytes
 * Return: the descriptor; -1 with @err set when the address can't be bound. */
int mux_listen_open (const char *listen_on,
                     uint32_t receive_buffer_bytes,
                     char *bound,
                     MuxError *err);

#endif
