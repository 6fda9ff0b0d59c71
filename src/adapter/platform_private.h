#ifndef ADAPTER_PLATFORM_PRIVATE_H
#define ADAPTER_PLATFORM_PRIVATE_H

#include "adapter/platform.h"
#include "base/bytes.h"

#include <curl/curl.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stddef.h>

/* A buffer that grew beyond this is not kept for the next exchange. */
#define PLATFORM_BUFFER_KEEP_MAX_BYTES ((size_t) 1024 * 1024)

/**
 * enum PlatformEnd - how far an HTTP exchange came
 */
typedef enum
{
  PLATFORM_NOT_SENT,  /* no byte of the request left */
  PLATFORM_NO_ANSWER, /* it may have arrived; no whole answer came */
  PLATFORM_ANSWERED,
} PlatformExchangeResult;

/**
 * struct PlatformRequest - an HTTP request to the platform
 * @method: "GET", "POST", "PUT" or "DELETE"
 * @path: with its query
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
 * struct PlatformAnswer - what came back
 * @status: HTTP status
 * @no_effect: the platform itself says that the call had no effect
 * @has_rev: the answer names an object's revision
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

/* Counts silent connections; shared by all clients of an adapter. */
typedef struct
{
  atomic_uint_fast32_t count;
} PlatformTimeouts;

/**
 * struct PlatformClient - one thread's connection to the platform
 */
typedef struct
{
  CURL *curl;
  struct curl_slist *headers;
  const char *url;
  PlatformTimeouts *timeouts;
  uint_fast32_t timeouts_seen;
  uint32_t send_count;
  MuxBytes body;
} PlatformClient;

bool mux_platform_client_init (PlatformClient *client,
                               const MuxPlatformHttpOptions *options,
                               PlatformTimeouts *silence);
void mux_platform_client_deinit (PlatformClient *client);
PlatformExchangeResult mux_platform_exchange (PlatformClient *client,
                                              const PlatformRequest *request,
                                              PlatformResponse *answer);
/** mux_platform_encode() - the request of @call
 * @storage: holds what the request's body points to, unless it is an object
 * Return: false when memory is out or a name is too long. */
bool mux_platform_encode (const MuxTableCall *call,
                          MuxBytes *storage,
                          PlatformRequest *request);
/** mux_platform_is_write() - whether losing the answer leaves doubt */
bool mux_platform_is_write (const MuxTableCall *call);
/** mux_platform_decode() - the reply that an exchange ended with */
MuxTableReply *mux_platform_decode (const MuxTableCall *call,
                                    PlatformExchangeResult end,
                                    const PlatformResponse *answer);
/** mux_platform_decode_list() - NULL when it is no instance list
 * @rev: what the next reading may ask for changes after; 0: nothing */
MuxInstanceList *
mux_platform_decode_list (const char *bytes, size_t len, uint64_t *rev);

/**
 * struct PlatformLister - the thread that reads the instance list
 */
typedef struct
{
  MuxInbox *inbox;
  PlatformClient client;
  uint32_t interval_ms;
  uint64_t rev; /* read up to here; 0: the next reading is whole */
  uint32_t deltas_since_full;       /* readings since the last whole one */
  MuxInstanceList *entry_instances; /* entry instances; NULL: none read yet */
  int stop_fd;
  bool running;
  pthread_t thread;
} PlatformLister;

bool mux_platform_lister_start (PlatformLister *lister,
                                const MuxPlatformHttpOptions *options,
                                PlatformTimeouts *silence);
/** mux_platform_lister_stop() - also after a start that failed */
void mux_platform_lister_stop (PlatformLister *lister);

#endif
