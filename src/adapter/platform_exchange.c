#include "platform_internal.h"

#include "base/number.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define CONNECT_TIMEOUT_MS 1000
/* A connection idle for longer is not used again: something on the way may
 * have forgotten it. */
#define IDLE_MAX_S 30
#define HEADER_LEN 128
/* A buffer that grew beyond this is not kept for the next exchange. */
#define KEPT_MAX ((size_t) 1024 * 1024)

void
mux_platform_bytes_clear (PlatformBytes *buffer)
{
  buffer->len = 0;
  if (buffer->cap <= KEPT_MAX)
    return;
  free (buffer->bytes);
  buffer->bytes = NULL;
  buffer->cap = 0;
}

bool
mux_platform_bytes_add (PlatformBytes *buffer, const void *bytes, size_t len)
{
  size_t cap = buffer->cap > 0 ? buffer->cap : 4096;
  char *grown;

  while (cap - buffer->len < len)
    cap *= 2;
  if (cap != buffer->cap)
    {
      grown = realloc (buffer->bytes, cap);
      if (grown == NULL)
        return false;
      buffer->bytes = grown;
      buffer->cap = cap;
    }
  if (len > 0)
    memcpy (buffer->bytes + buffer->len, bytes, len);
  buffer->len += len;
  return true;
}

static size_t
on_body (char *bytes, size_t size, size_t count, void *data)
{
  PlatformBytes *body = data;
  size_t len = size * count;

  if (len > PLATFORM_ANSWER_MAX - body->len
      || !mux_platform_bytes_add (body, bytes, len))
    return CURL_WRITEFUNC_ERROR;
  return len;
}

/* Guards against libcurl's own retry: when a reused connection ends without a
 * byte of answer, libcurl sends the request again on a new one, and a write
 * whose answer was lost would be applied twice.  It calls this before every
 * sending, so the second one is stopped here.  It also tells whether anything
 * was sent at all. */
static int
on_send (void *data, char *to_ip, char *from_ip, int to_port, int from_port)
{
  PlatformClient *client = data;

  (void) to_ip;
  (void) from_ip;
  (void) to_port;
  (void) from_port;
  return ++client->sendings == 1 ? CURL_PREREQFUNC_OK : CURL_PREREQFUNC_ABORT;
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
                          PlatformSilence *silence)
{
  memset (client, 0, sizeof *client);
  client->url = options->url;
  client->silence = silence;
  client->curl = curl_easy_init ();
  if (client->curl == NULL
      || !add_header (client, "Cuminmux-Instance", options->name)
      || !add_header (client, "Cuminmux-Data-Centre", options->data_centre)
      || !add_header (client, "Content-Type", "application/octet-stream")
      || !add_header (client, "Expect", NULL))
    {
      mux_platform_client_deinit (client);
      return false;
    }
  return true;
}

void
mux_platform_client_deinit (PlatformClient *client)
{
  if (client->curl != NULL)
    curl_easy_cleanup (client->curl);
  curl_slist_free_all (client->headers);
  free (client->body.bytes);
  memset (client, 0, sizeof *client);
}

static bool
set_up (PlatformClient *client, const PlatformRequest *request)
{
  bool with_body = request->method[0] == 'P';
  uint32_t connect_ms = request->timeout_ms < CONNECT_TIMEOUT_MS
                            ? request->timeout_ms
                            : CONNECT_TIMEOUT_MS;
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
  curl_easy_setopt (curl, CURLOPT_NOPROXY, "*");
  curl_easy_setopt (curl, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (curl, CURLOPT_MAXCONNECTS, 1L);
  curl_easy_setopt (curl, CURLOPT_MAXAGE_CONN, (long) IDLE_MAX_S);
  curl_easy_setopt (curl, CURLOPT_CONNECTTIMEOUT_MS, (long) connect_ms);
  curl_easy_setopt (curl, CURLOPT_TIMEOUT_MS, (long) request->timeout_ms);
  curl_easy_setopt (curl, CURLOPT_WRITEFUNCTION, on_body);
  curl_easy_setopt (curl, CURLOPT_WRITEDATA, &client->body);
  curl_easy_setopt (curl, CURLOPT_PREREQFUNCTION, on_send);
  curl_easy_setopt (curl, CURLOPT_PREREQDATA, client);
  return curl_easy_setopt (curl, CURLOPT_URL, url) == CURLE_OK;
}

/* Guards against connections that went silent for good: what lies between has
 * lost track of them, and each call on one waits out its timeout.  Such a
 * loss strikes all connections at once, so after any thread's timeout every
 * thread opens a new one; as it keeps one alone, its silent one is closed by
 * that, which libcurl would take again as the oldest. */
static void
avoid_silent_connection (PlatformClient *client)
{
  uint_fast32_t timeouts = atomic_load (&client->silence->timeouts);

  if (timeouts != client->timeouts_seen)
    curl_easy_setopt (client->curl, CURLOPT_FRESH_CONNECT, 1L);
  client->timeouts_seen = timeouts;
}

static void
read_headers (CURL *curl, PlatformAnswer *answer)
{
  struct curl_header *header;

  if (curl_easy_header (curl, "Cuminmux-Effect", 0, CURLH_HEADER, -1, &header)
      == CURLHE_OK)
    answer->no_effect = strcmp (header->value, "none") == 0;
  if (curl_easy_header (curl, "Cuminmux-Revision", 0, CURLH_HEADER, -1, &header)
      == CURLHE_OK)
    answer->has_rev
        = mux_unsigned_parse (header->value, UINT64_MAX, &answer->rev);
}

/* Guards against a cut object that passes for a whole one: without a length or
 * chunks the end of the connection would count as the end of the answer.  What
 * either of them promises, libcurl sees kept. */
static bool
says_its_end (CURL *curl)
{
  struct curl_header *header;
  curl_off_t declared = -1;

  curl_easy_getinfo (curl, CURLINFO_CONTENT_LENGTH_DOWNLOAD_T, &declared);
  return declared >= 0
         || curl_easy_header (curl, "Transfer-Encoding", 0, CURLH_HEADER, -1,
                              &header)
                == CURLHE_OK;
}

PlatformEnd
mux_platform_exchange (PlatformClient *client,
                       const PlatformRequest *request,
                       PlatformAnswer *answer)
{
  CURLcode code;

  memset (answer, 0, sizeof *answer);
  mux_platform_bytes_clear (&client->body);
  client->sendings = 0;
  if (!set_up (client, request))
    return PLATFORM_NOT_SENT;
  avoid_silent_connection (client);
  code = curl_easy_perform (client->curl);
  if (code == CURLE_OPERATION_TIMEDOUT && client->sendings > 0)
    atomic_fetch_add (&client->silence->timeouts, 1);
  if (code != CURLE_OK || !says_its_end (client->curl))
    return client->sendings > 0 ? PLATFORM_NO_ANSWER : PLATFORM_NOT_SENT;
  curl_easy_getinfo (client->curl, CURLINFO_RESPONSE_CODE, &answer->status);
  read_headers (client->curl, answer);
  answer->body = &client->body;
  return PLATFORM_ANSWERED;
}
