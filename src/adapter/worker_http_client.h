#ifndef ADAPTER_WORKER_HTTP_CLIENT_H
#define ADAPTER_WORKER_HTTP_CLIENT_H

#include "base/blob.h"

#include <curl/curl.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * enum MuxWorkerOutcome - what is certain after an exchange
 */
typedef enum
{
  MUX_EXCHANGE_COMPLETE,  /* a whole answer came */
  MUX_EXCHANGE_NOT_SENT,  /* no connection came about: nothing was sent */
  MUX_EXCHANGE_NO_ANSWER, /* sent, perhaps in part; no whole answer came */
} MuxExchangeResult;

/**
 * struct MuxWorkerRequest - one POST
 * @url: with the IP by number
 * @headers: "Name: value" lines, borrowed
 * @body: borrowed; may be NULL
 * @timeout_ms: for the whole exchange
 */
typedef struct
{
  const char *url;
  struct curl_slist *headers;
  const MuxBlob *body;
  uint32_t timeout_ms;
} MuxWorkerRequest;

/* One thread's client. */
typedef struct MuxWorkerClient MuxWorkerClient;

/**
 * mux_worker_client_new() - a handle that every call opens a connection with
 * @stop: exchanges in flight are abandoned within about a second of it
 * Return: NULL: memory is out.
 */
MuxWorkerClient *mux_worker_client_new (const atomic_bool *stop);
void mux_worker_client_free (MuxWorkerClient *client);
MuxExchangeResult mux_worker_client_post (MuxWorkerClient *client,
                                          const MuxWorkerRequest *request);
/** mux_worker_client_header() - of the last answer; NULL: absent */
const char *mux_worker_client_header (MuxWorkerClient *client,
                                      const char *name);
/** mux_worker_client_body() - of the last answer, valid until the next post */
const char *mux_worker_client_body (const MuxWorkerClient *client, size_t *len);

#endif
