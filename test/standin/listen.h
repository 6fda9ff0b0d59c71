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
/** standin_serve() - start @http on the listening socket @fd, a thread for each
 *  connection */
bool standin_serve (struct _u_instance *http, int fd);
/** standin_cut_connection() - end the connection whose request the calling
 *  thread handles; its caller gets no answer */
void standin_cut_connection (void);

#endif
