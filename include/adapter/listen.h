#ifndef ADAPTER_LISTEN_H
#define ADAPTER_LISTEN_H

#include "base/error.h"

/** mux_listen_open() - a socket that listens, not blocking
 * @listen_on: "ip:port"; port 0 lets the kernel pick
 * @bound: receives the "ip:port" in use, MUX_ADDR_LEN bytes
 * Return: -1 with @err set when the address can't be had. */
int mux_listen_open (const char *listen_on, char *bound, MuxError *err);

#endif
