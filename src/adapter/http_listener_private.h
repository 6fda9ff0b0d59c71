#ifndef ADAPTER_HTTP_LISTENER_PRIVATE_H
#define ADAPTER_HTTP_LISTENER_PRIVATE_H

#include "adapter/connection_table.h"
#include "adapter/http_listener.h"

#include <pthread.h>

struct MuxHttpListener
{
  MuxHttpListenerOptions options;
  struct MHD_Daemon *daemon;
  int listen_fd;           /* from MHD_quiesce_daemon(); -1: none */
  pthread_mutex_t lock;    /* guards table */
  pthread_cond_t released; /* memory was released */
  MuxConnectionTable table;
};

/** http_listener_count() - add one to a counter */
void http_listener_count (const MuxHttpListener *listener, MuxCounter counter);
/** http_listener_close() - wake the connection's thread, which closes it
 * A request that is already whole in the socket is still read, and refused with
 * a response.  Called with the lock, so that the socket is open. */
void http_listener_close (MuxHttpListener *listener,
                          const MuxConnection *connection);

/* Callbacks of libmicrohttpd for the requests of a listener. */
void *http_exchange_begin (void *listener,
                           const char *url,
                           struct MHD_Connection *mhd);
enum MHD_Result http_exchange_access (void *listener,
                                      struct MHD_Connection *mhd,
                                      const char *url,
                                      const char *method,
                                      const char *version,
                                      const char *piece,
                                      size_t *n,
                                      void **context);
void http_exchange_end (void *listener,
                        struct MHD_Connection *mhd,
                        void **context,
                        enum MHD_RequestTerminationCode code);

#endif
