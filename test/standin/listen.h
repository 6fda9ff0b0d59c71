#ifndef STANDIN_LISTEN_H
#define STANDIN_LISTEN_H

#include "base/error.h"
#include "base/id.h"

#include <ulfius.h>

/**
 * standin_listen() - a listening socket
 * @listen: "ip:port"; port 0 lets the kernel pick
 * @addr: receives the "ip:port" it got
 * @port: receives its port
 * Return: the descriptor, or -1 with @err set.
 */
int standin_listen (const char *address,
                    char addr[MUX_ADDR_LEN],
                    uint16_t *port,
                    MuxError *err);
/* Called on a connection's thread before each of its requests; NULL: ulfius'
 * own. */
typedef void *(*StandinUriLog) (void *cls,
                                const char *uri,
                                struct MHD_Connection *connection);

/** standin_serve() - start @http on the listening socket @fd, a thread
 *  for each connection; @notify, if not NULL, is told of connections */
bool standin_serve (struct _u_instance *http,
                    int fd,
                    StandinUriLog uri_log,
                    MHD_NotifyConnectionCallback notify,
                    void *notify_ctx);

#endif
