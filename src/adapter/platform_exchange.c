#include "platform_private.h"

#include "adapter/curl.h"
#include "base/number.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define CONNECT_TIMEOUT_MS 1000
#define CONNECTIONS_KEPT 1L
/* A connection idle for longer is not reused: a middlebox may have dropped its
 * state. */
#define CONNECTION_IDLE_MAX_S 30
#define HEADER_LEN 128

/* libcurl retries by itself: when a reused connection ends without a byte of
 * response, it sends the request again on a new connection, and a write whose
 * response was lost would be applied twice.  libcurl calls this function before
 * it sends a request; the second time it aborts the exchange.  The count also
 * shows whether anything was sent. */
static int
on_send (void *data, char *to_ip, char *from_ip, int to_port, int from_port)
{
  PlatformClient *client = data;

  (void) to_ip;
  (void) from_ip;
  (void) to_port;
  (void) from_port;
  return ++client->send_count == 1 ? CURL_PREREQFUNC_OK : CURL_PREREQFUNC_ABORT;
}

static bool
add_header (PlatformClient *client, const char *name, const char *value)
{
  char text[HEADER_LEN];
  struct curl_slist *headers;

  snprintf (text, sizeof text, "%s: %s", name, value != NULL ? value : "");
  headers = curl_slist_append (client->headers, text);
  if (headers == NULL)
    return false;
  client->headers = headers;
  return true;
}

bool
mux_platform_client_init (PlatformClient *client,
                          const MuxPlatformHttpOptions *options,
                          PlatformTimeouts *timeouts)
{
  memset (client, 0, sizeof *client);
  client->url = options->url;
  client->timeouts = timeouts;
  client->curl = curl_easy_init ();
  client->multi = curl_multi_init ();
  if (client->curl == NULL || client->multi == NULL
      || !add_header (client, "Cuminmux-Instance", options->name)
      || !add_header (client, "Cuminmux-Data-Centre", options->data_centre)
      || !add_header (client, "Content-Type", "application/octet-stream")
      || !add_header (client, "Expect", NULL))
    {
      mux_platform_client_deinit (client);
      return false;
    }
  curl_multi_setopt (client->multi, CURLMOPT_MAXCONNECTS, CONNECTIONS_KEPT);
  return true;
}

void
mux_platform_client_deinit (PlatformClient *client)
{
  if (client->curl != NULL)
    curl_easy_cleanup (client->curl);
  if (client->multi != NULL)
    curl_multi_cleanup (client->multi);
  curl_slist_free_all (client->headers);
  mux_bytes_deinit (&client->body);
  memset (client, 0, sizeof *client);
}

static bool
set_options (PlatformClient *client, const PlatformRequest *request)
{
  bool with_body = request->method[0] == 'P';
  CURL *curl = client->curl;
  char url[sizeof request->path + MUX_ADDR_LEN + sizeof "http://"];
  int len;

  len = snprintf (url, sizeof url, "%s%s", client->url, request->path);
  if (len < 0 || (size_t) len >= sizeof url)
    return false;
  curl_easy_reset (curl);
  if (with_body)
    {
      curl_easy_setopt (curl, CURLOPT_POSTFIELDS,
                        request->body_len > 0 ? request->body : "");
      curl_easy_setopt (curl, CURLOPT_POSTFIELDSIZE_LARGE,
                        (curl_off_t) request->body_len);
    }
  curl_easy_setopt (curl, CURLOPT_CUSTOMREQUEST, request->method);
  curl_easy_setopt (curl, CURLOPT_HTTPHEADER, client->headers);
  mux_curl_set_common_options (curl, &client->body);
  curl_easy_setopt (curl, CURLOPT_MAXAGE_CONN, (long) CONNECTION_IDLE_MAX_S);
  curl_easy_setopt (curl, CURLOPT_PREREQFUNCTION, on_send);
  curl_easy_setopt (curl, CURLOPT_PREREQDATA, client);
  return curl_easy_setopt (curl, CURLOPT_URL, url) == CURLE_OK;
}

/* When a middlebox loses the state of a connection, each call on it lasts until
 * its timeout.  Such a loss affects all connections at once, so after a timeout
 * in any thread every thread opens a new connection.  A client keeps only one
 * connection, so the new one evicts the unresponsive one, which libcurl would
 * otherwise reuse as the oldest. */
static void
avoid_dead_connection (PlatformClient *client)
{
  uint_fast32_t timeouts = atomic_load (&client->timeouts->count);

  if (timeouts != client->timeouts_seen)
    curl_easy_setopt (client->curl, CURLOPT_FRESH_CONNECT, 1L);
  client->timeouts_seen = timeouts;
}

static void
read_headers (CURL *curl, PlatformResponse *response)
{
  const char *effect = mux_curl_header (curl, "Cuminmux-Effect");

  response->no_effect = effect != NULL && strcmp (effect, "none") == 0;
  response->has_rev = mux_unsigned_parse (
      mux_curl_header (curl, "Cuminmux-Revision"), UINT64_MAX, &response->rev);
}

PlatformExchangeResult
mux_platform_exchange (PlatformClient *client,
                       const PlatformRequest *request,
                       PlatformResponse *response)
{
  CURLcode code;

  memset (response, 0, sizeof *response);
  mux_bytes_clear (&client->body, PLATFORM_BUFFER_KEEP_MAX_BYTES);
  client->send_count = 0;
  if (!set_options (client, request))
    return PLATFORM_NOT_SENT;
  avoid_dead_connection (client);
  code = mux_curl_perform (client->multi, client->curl, CONNECT_TIMEOUT_MS,
                           request->timeout_ms);
  if (code == CURLE_OPERATION_TIMEDOUT && client->send_count > 0)
    atomic_fetch_add (&client->timeouts->count, 1);
  if (code != CURLE_OK || !mux_curl_response_is_framed (client->curl))
    return client->send_count > 0 ? PLATFORM_NO_ANSWER : PLATFORM_NOT_SENT;
  curl_easy_getinfo (client->curl, CURLINFO_RESPONSE_CODE, &response->status);
  read_headers (client->curl, response);
  response->body = &client->body;
  return PLATFORM_ANSWERED;
}
