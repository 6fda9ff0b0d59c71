#ifndef ADAPTER_WORKER_HTTP_CLIENT_H
#define ADAPTER_WORKER_HTTP_CLIENT_H

#include "base/blob.h"

#include <curl/curl.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * enum MuxExchangeResult - how far an HTTP exchange got
 */
typedef enum
{
  MUX_EXCHANGE_COMPLETE,  /* a complete response was received */
  MUX_EXCHANGE_NOT_SENT,  /* no connection: certainly nothing was sent */
  MUX_EXCHANGE_NO_ANSWER, /* perhaps sent; no complete response came */
} MuxExchangeResult;

/**
 * struct MuxWorkerRequest - one POST request
 * @url: with a numeric IP address
 * @headers: "Name: value" lines; borrowed
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

/* HTTP client of one thread. */
typedef struct MuxWorkerClient MuxWorkerClient;

/**
 * mux_worker_client_new() - create a client that opens a connection a call
 * @stop: when it becomes true, exchanges in flight are aborted within about a
 *   second; borrowed
 * Return: NULL when out of memory.
 */
MuxWorkerClient *mux_worker_client_new (const atomic_bool *stop);
void mux_worker_client_free (MuxWorkerClient *client);
MuxExchangeResult mux_worker_client_post (MuxWorkerClient *client,
                                          const MuxWorkerRequest *request);
/** mux_worker_client_header() - header of the last response; NULL: absent */
const char *mux_worker_client_header (MuxWorkerClient *client,
                                      const char *name);
/** mux_worker_client_body() - body of the last response
 * @len: receives its length
 * Return: valid until the next post. */
const char *mux_worker_client_body (const MuxWorkerClient *client, size_t *len);

#endif
