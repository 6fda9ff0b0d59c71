#ifndef STANDIN_WORKER_LISTEN_H
#define STANDIN_WORKER_LISTEN_H

#include "base/error.h"
#include "base/id.h"

#include <ulfius.h>

/**
 * standin_worker_listen() - a listening socket
 * @listen: "ip:port"; port 0 lets the kernel pick
 * @addr: receives the "ip:port" it got
 * @port: receives its port
 * Return: the descriptor, or -1 with @err set.
 */
int standin_worker_listen (const char *address,
                           char addr[MUX_ADDR_LEN],
                           uint16_t *port,
                           MuxError *err);
/** standin_worker_serve() - start @http on the listening socket @fd, a thread
 *  for each connection; @notify is told of connections */
bool standin_worker_serve (struct _u_instance *http,
                           int fd,
                           MHD_NotifyConnectionCallback notify,
                           void *notify_ctx);

#endif
