#ifndef STANDIN_WORKER_CONN_H
#define STANDIN_WORKER_CONN_H

#include <microhttpd.h>
#include <sys/socket.h>

/* Open connections by the peer's address, so that a request handler can cut
 * the connection it was called from, as when an answer is lost. */
typedef struct StandinConns StandinConns;

StandinConns *standin_worker_conns_new (void);
void standin_worker_conns_free (StandinConns *conns);
/** standin_worker_conns_notify() - for MHD_OPTION_NOTIFY_CONNECTION */
void standin_worker_conns_notify (void *conns,
                                  struct MHD_Connection *connection,
                                  void **socket_context,
                                  enum MHD_ConnectionNotificationCode code);
/** standin_worker_conns_cut() - shut the connection of @peer down */
void standin_worker_conns_cut (StandinConns *conns,
                               const struct sockaddr *peer);

#endif
