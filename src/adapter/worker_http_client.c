#include "worker_http_client.h"

#include "adapter/curl.h"

#include <stdlib.h>
#include <string.h>

#define CONNECT_TIMEOUT_MS 1000
/* A buffer that grew beyond this is freed before the next call. */
#define BODY_KEEP_MAX_BYTES ((size_t) 64 << 10)

static const MuxCurlKeepalive keepalive
    = { .idle_s = 2, .interval_s = 1, .user_timeout_ms = 5000 };

struct MuxWorkerClient
{
  CURL *curl;
  CURLM *multi;
  const atomic_bool *stop;
  MuxBytes body;
};

static int
on_progress (void *ctx,
             curl_off_t down_total,
             curl_off_t down,
             curl_off_t up_total,
             curl_off_t up)
{
  const MuxWorkerClient *client = ctx;

  (void) down_total;
  (void) down;
  (void) up_total;
  (void) up;
  return atomic_load_explicit (client->stop, memory_order_relaxed);
}

/* Every call opens a connection and closes it.  So no call is lost on an idle
 * connection that no longer works, and libcurl's own retry on a dead reused
 * connection, after which "not sent" would be uncertain, never happens. */
static void
set_options (MuxWorkerClient *client)
{
  CURL *curl = client->curl;

  mux_curl_set_common_options (curl, &client->body);
  curl_easy_setopt (curl, CURLOPT_HTTP_VERSION, (long) CURL_HTTP_VERSION_1_1);
  curl_easy_setopt (curl, CURLOPT_FRESH_CONNECT, 1L);
  curl_easy_setopt (curl, CURLOPT_FORBID_REUSE, 1L);
  mux_curl_set_keepalive (curl, &keepalive);
  curl_easy_setopt (curl, CURLOPT_XFERINFOFUNCTION, on_progress);
  curl_easy_setopt (curl, CURLOPT_XFERINFODATA, client);
  curl_easy_setopt (curl, CURLOPT_NOPROGRESS, 0L);
}

MuxWorkerClient *
mux_worker_client_new (const atomic_bool *stop)
{
  MuxWorkerClient *client = calloc (1, sizeof *client);

  if (client == NULL)
    return NULL;
  client->stop = stop;
  client->curl = curl_easy_init ();
  client->multi = curl_multi_init ();
  if (client->curl == NULL || client->multi == NULL)
    {
      mux_worker_client_free (client);
      return NULL;
    }
  set_options (client);
  return client;
}

void
mux_worker_client_free (MuxWorkerClient *client)
{
  if (client == NULL)
    return;
  if (client->curl != NULL)
    curl_easy_cleanup (client->curl);
  if (client->multi != NULL)
    curl_multi_cleanup (client->multi);
  mux_bytes_deinit (&client->body);
  free (client);
}

/* Without a declared length, the end of the connection counts as the end of the
 * response, and a truncated response would pass as complete. */
static bool
is_complete (const MuxWorkerClient *client)
{
  curl_off_t declared = -1;

  curl_easy_getinfo (client->curl, CURLINFO_CONTENT_LENGTH_DOWNLOAD_T,
                     &declared);
  return declared >= 0 && (size_t) declared == client->body.len;
}

static bool
was_connected (const MuxWorkerClient *client)
{
  curl_off_t connect_us = 0;

  return curl_easy_getinfo (client->curl, CURLINFO_CONNECT_TIME_T, &connect_us)
             != CURLE_OK
         || connect_us != 0;
}

MuxExchangeResult
mux_worker_client_post (MuxWorkerClient *client,
                        const MuxWorkerRequest *request)
{
  CURL *curl = client->curl;
  const MuxBlob *body = request->body;
  CURLcode code;

  mux_bytes_clear (&client->body, BODY_KEEP_MAX_BYTES);
  curl_easy_setopt (curl, CURLOPT_POSTFIELDS, body != NULL ? body->bytes : "");
  curl_easy_setopt (curl, CURLOPT_POSTFIELDSIZE_LARGE,
                    (curl_off_t) (body != NULL ? body->len : 0));
  curl_easy_setopt (curl, CURLOPT_HTTPHEADER, request->headers);
  if (curl_easy_setopt (curl, CURLOPT_URL, request->url) != CURLE_OK)
    return MUX_EXCHANGE_NOT_SENT;
  code = mux_curl_perform (client->multi, curl, CONNECT_TIMEOUT_MS,
                           request->timeout_ms);
  if (code == CURLE_OK)
    return is_complete (client) ? MUX_EXCHANGE_COMPLETE
                                : MUX_EXCHANGE_NO_ANSWER;
  return was_connected (client) ? MUX_EXCHANGE_NO_ANSWER
                                : MUX_EXCHANGE_NOT_SENT;
}

const char *
mux_worker_client_header (MuxWorkerClient *client, const char *name)
{
  return mux_curl_header (client->curl, name);
}

const char *
mux_worker_client_body (const MuxWorkerClient *client, size_t *len)
{
  *len = client->body.len;
  return client->body.len > 0 ? client->body.bytes : "";
}
