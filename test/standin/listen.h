#ifndef STANDIN_LISTEN_H
#define STANDIN_LISTEN_H

#include "base/error.h"
#include "base/id.h"

#include <stdatomic.h>
#include <ulfius.h>

/**
 * standin_listen() - opens a listening socket
 * @address: "ip:port"; port 0 lets the kernel pick
 * @addr: receives the "ip:port" that it is bound to
 * @port: receives its port
 * Return: the descriptor, or -1 with @err set.
 */
int standin_listen (const char *address,
                    char addr[MUX_ADDR_LEN],
                    uint16_t *port,
                    MuxError *err);
/** standin_serve() - starts @http on the listening socket @fd, with a thread
 * per connection */
bool standin_serve (struct _u_instance *http, int fd);
/** standin_cut_connection() - closes the connection whose request the calling
 * thread handles, without a response */
void standin_cut_connection (void);
/** standin_hold_connection() - waits without a response until the client closes
 * that connection, or @stop is set */
void standin_hold_connection (const atomic_bool *stop);

#endif
