#ifndef ADAPTER_PLATFORM_PRIVATE_H
#define ADAPTER_PLATFORM_PRIVATE_H

#include "adapter/platform.h"
#include "base/bytes.h"

#include <curl/curl.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stddef.h>

/* A buffer that grew beyond this is freed before the next exchange. */
#define PLATFORM_BUFFER_KEEP_MAX_BYTES ((size_t) 1024 * 1024)

/**
 * enum PlatformExchangeResult - how far an HTTP exchange got
 */
typedef enum
{
  PLATFORM_NOT_SENT,  /* certainly nothing of the request was sent */
  PLATFORM_NO_ANSWER, /* perhaps received; no complete response came */
  PLATFORM_ANSWERED,
} PlatformExchangeResult;

/**
 * struct PlatformRequest - an HTTP request to the platform
 * @method: "GET", "POST", "PUT" or "DELETE"
 * @path: path and query
 * @body: sent with POST and PUT; may be NULL when @body_len is 0
 * @timeout_ms: for the whole exchange
 */
typedef struct
{
  const char *method;
  char path[512];
  const void *body;
  size_t body_len;
  uint32_t timeout_ms;
} PlatformRequest;

/**
 * struct PlatformResponse - an HTTP response of the platform
 * @status: HTTP status
 * @no_effect: the platform states that the call had no effect
 * @has_rev: the response gives an object's revision
 * @rev: that revision
 * @body: overwritten by the next exchange on the same client
 */
typedef struct
{
  long status;
  bool no_effect;
  bool has_rev;
  uint64_t rev;
  MuxBytes *body;
} PlatformResponse;

/* Number of exchanges that timed out; shared by all clients of an adapter. */
typedef struct
{
  atomic_uint_fast32_t count;
} PlatformTimeouts;

/**
 * struct PlatformClient - one thread's connection to the platform
 * @curl: handle
 * @multi: keeps one connection
 * @headers: sent with every request
 * @url: "http://ip:port" of the platform; borrowed
 * @timeouts: shared by all clients of the adapter
 * @timeouts_seen: value of @timeouts at the last exchange
 * @send_count: times that libcurl began to send the current request
 * @body: body of the last response
 */
typedef struct
{
  CURL *curl;
  CURLM *multi;
  struct curl_slist *headers;
  const char *url;
  PlatformTimeouts *timeouts;
  uint_fast32_t timeouts_seen;
  uint32_t send_count;
  MuxBytes body;
} PlatformClient;

bool mux_platform_client_init (PlatformClient *client,
                               const MuxPlatformHttpOptions *options,
                               PlatformTimeouts *timeouts);
void mux_platform_client_deinit (PlatformClient *client);
PlatformExchangeResult mux_platform_exchange (PlatformClient *client,
                                              const PlatformRequest *request,
                                              PlatformResponse *response);
/** mux_platform_encode() - encode @call as an HTTP request
 * @storage: buffer for the request's body, unless that is an object's content
 * Return: false when out of memory. */
bool mux_platform_encode (const MuxTableCall *call,
                          MuxBytes *storage,
                          PlatformRequest *request);
/** mux_platform_is_write() - whether @call changes stored data
 * Without a response it is unknown if a write has taken effect. */
bool mux_platform_is_write (const MuxTableCall *call);
/** mux_platform_decode() - the reply for an exchange and its response
 * Return: NULL when out of memory. */
MuxTableReply *mux_platform_decode (const MuxTableCall *call,
                                    PlatformExchangeResult result,
                                    const PlatformResponse *response);
/** mux_platform_decode_list() - decode the instance list
 * @rev: receives the revision after which the next read may request changes; 0:
 *   none
 * Return: NULL when it is no instance list or when out of memory. */
MuxInstanceList *
mux_platform_decode_list (const char *bytes, size_t len, uint64_t *rev);

/**
 * struct PlatformLister - the thread that reads the instance list
 * @inbox: receives the lists
 * @client: its connection
 * @interval_ms: time between reads
 * @rev: revision that has been read; 0: the next read gets the complete list
 * @deltas_since_full: reads of changes since the last complete list
 * @entry_instances: entry instances as last read; NULL: none yet
 * @stop_fd: eventfd that ends the thread; -1: not open
 * @running: the thread was started
 * @thread: the thread
 */
typedef struct
{
  MuxInbox *inbox;
  PlatformClient client;
  uint32_t interval_ms;
  uint64_t rev;
  uint32_t deltas_since_full;
  MuxInstanceList *entry_instances;
  int stop_fd;
  bool running;
  pthread_t thread;
} PlatformLister;

bool mux_platform_lister_start (PlatformLister *lister,
                                const MuxPlatformHttpOptions *options,
                                PlatformTimeouts *timeouts);
/** mux_platform_lister_stop() - end the thread and free what it holds
 * May be called after a start that failed. */
void mux_platform_lister_stop (PlatformLister *lister);

#endif
