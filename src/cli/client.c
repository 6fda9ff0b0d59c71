#include "client.h"

#include "adapter/curl.h"
#include "base/address.h"

#include <curl/curl.h>
#include <stdlib.h>
#include <string.h>

#define HTTP "http://"
#define HTTPS "https://"
#define CONNECT_MS_MAX 2000

static bool
scheme_parse (const char **text, size_t *len, const char *scheme)
{
  size_t n = strlen (scheme);

  if (*len <= n || strncmp (*text, scheme, n) != 0)
    return false;
  *text += n;
  *len -= n;
  return true;
}

static bool
server_parse (const char *text, size_t len, MuxServer *server)
{
  struct sockaddr_storage addr;
  socklen_t addr_len;

  server->tls = scheme_parse (&text, &len, HTTPS);
  if (!server->tls && !scheme_parse (&text, &len, HTTP))
    return false;
  if (text[len - 1] == '/')
    len--;
  if (len >= MUX_ADDR_LEN)
    return false;
  memcpy (server->addr, text, len);
  server->addr[len] = 0;
  return mux_address_parse (server->addr, &addr, &addr_len);
}

bool
mux_servers_parse (const char *text, MuxServers *servers)
{
  servers->count = 0;
  for (;;)
    {
      size_t len = strcspn (text, ",");

      if (servers->count == MUX_SERVERS_MAX
          || !server_parse (text, len, &servers->server[servers->count]))
        return false;
      servers->count++;
      if (text[len] == 0)
        return true;
      text += len + 1;
    }
}

/* Uses libcurl directly instead of ulfius's client, which is built on it: that
 * one accepts no file of trusted certificates, its error does not say whether
 * anything was sent nor what is wrong with the certificate, and its timeout is
 * in whole seconds. */

/**
 * struct Transfer - one attempt to send a request
 * @curl: libcurl handle
 * @headers: request headers, owned
 * @body: response body received so far
 * @response: receives the response
 * @sent: the request may have been sent
 */
typedef struct
{
  CURL *curl;
  CURLM *multi;
  struct curl_slist *headers;
  MuxBytes body;
  MuxCliResponse *response;
  bool sent;
} Transfer;

/* Called by libcurl right before it sends the request, once the connection is
 * established and, with TLS, the certificate is verified.  If the transfer
 * fails before this, nothing was sent; after it, the request may have reached
 * the daemon. */
static int
before_request (void *ctx, char *ip, char *own_ip, int port, int own_port)
{
  Transfer *transfer = ctx;

  (void) ip;
  (void) own_ip;
  (void) port;
  (void) own_port;
  transfer->sent = true;
  return CURL_PREREQFUNC_OK;
}

static bool
add_header (Transfer *transfer, const char *name, const char *value)
{
  char line[1024];
  struct curl_slist *headers;
  int n = snprintf (line, sizeof line, "%s: %s", name, value);

  if (n < 0 || (size_t) n >= sizeof line)
    return false;
  headers = curl_slist_append (transfer->headers, line);
  if (headers != NULL)
    transfer->headers = headers;
  return headers != NULL;
}

static bool
fill_headers (Transfer *transfer, const MuxCliRequest *request)
{
  /* libcurl's default content type is that of a form. */
  if (request->body != NULL
      && !add_header (transfer, "Content-Type", "application/octet-stream"))
    return false;
  for (const MuxHttpPair *p = request->header; p->name != NULL; p++)
    if (!add_header (transfer, p->name, p->value))
      return false;
  return curl_easy_setopt (transfer->curl, CURLOPT_HTTPHEADER,
                           transfer->headers)
         == CURLE_OK;
}

static bool
fill_query (CURLU *url, const MuxCliRequest *request)
{
  char pair[1024];

  for (const MuxHttpPair *p = request->query; p->name != NULL; p++)
    {
      int n = snprintf (pair, sizeof pair, "%s=%s", p->name, p->value);

      if (n < 0 || (size_t) n >= sizeof pair
          || curl_url_set (url, CURLUPART_QUERY, pair,
                           CURLU_APPENDQUERY | CURLU_URLENCODE)
                 != CURLUE_OK)
        return false;
    }
  return true;
}

static bool
fill_url (Transfer *transfer,
          const MuxServer *server,
          const MuxCliRequest *request)
{
  char text[sizeof HTTPS + MUX_ADDR_LEN + sizeof request->path];
  char *whole = NULL;
  CURLU *url = curl_url ();
  bool filled;

  snprintf (text, sizeof text, "%s%s%s", server->tls ? HTTPS : HTTP,
            server->addr, request->path);
  filled = url != NULL
           && curl_url_set (url, CURLUPART_URL, text, 0) == CURLUE_OK
           && fill_query (url, request)
           && curl_url_get (url, CURLUPART_URL, &whole, 0) == CURLUE_OK
           && curl_easy_setopt (transfer->curl, CURLOPT_URL, whole) == CURLE_OK;
  curl_free (whole);
  curl_url_cleanup (url);
  return filled;
}

static bool
fill_tls (Transfer *transfer, const char *ca_file)
{
  CURL *curl = transfer->curl;

  if (ca_file == NULL)
    return true;
  /* Given an authority, trust no other, including those of the system. */
  return curl_easy_setopt (curl, CURLOPT_CAPATH, NULL) == CURLE_OK
         && curl_easy_setopt (curl, CURLOPT_CAINFO, ca_file) == CURLE_OK;
}

static bool
fill_request (Transfer *transfer,
              const MuxServer *server,
              const char *ca_file,
              const MuxCliRequest *request)
{
  CURL *curl = transfer->curl;

  curl_easy_setopt (curl, CURLOPT_CUSTOMREQUEST, request->method);
  mux_curl_set_common_options (curl, &transfer->body);
  curl_easy_setopt (curl, CURLOPT_PREREQFUNCTION, before_request);
  curl_easy_setopt (curl, CURLOPT_PREREQDATA, transfer);
  if (request->body != NULL)
    {
      curl_easy_setopt (curl, CURLOPT_POSTFIELDSIZE_LARGE,
                        (curl_off_t) request->body_len);
      curl_easy_setopt (curl, CURLOPT_POSTFIELDS, request->body);
    }
  return fill_url (transfer, server, request)
         && fill_headers (transfer, request) && fill_tls (transfer, ca_file);
}

static void
copy_header (CURL *curl, const char *name, char *out, size_t cap)
{
  const char *value = mux_curl_header (curl, name);

  if (value != NULL)
    snprintf (out, cap, "%s", value);
}

static bool
take_response (Transfer *transfer)
{
  MuxCliResponse *response = transfer->response;
  CURL *curl = transfer->curl;

  /* Adds the terminating NUL of an empty body. */
  if (!mux_curl_response_is_framed (curl)
      || !mux_bytes_add (&transfer->body, NULL, 0))
    return false;
  response->body = transfer->body.bytes;
  response->body_len = transfer->body.len;
  transfer->body = (MuxBytes){ NULL, 0, 0 };
  curl_easy_getinfo (curl, CURLINFO_RESPONSE_CODE, &response->status);
  copy_header (curl, "Cuminmux-Outcome", response->outcome,
               sizeof response->outcome);
  copy_header (curl, "Cuminmux-Reason", response->reason,
               sizeof response->reason);
  copy_header (curl, "Cuminmux-Retry-Ms", response->retry_ms,
               sizeof response->retry_ms);
  copy_header (curl, "Cuminmux-Task", response->task, sizeof response->task);
  return true;
}

/* Describes TLS failures of a reachable daemon, which an operator can correct;
 * NULL for any other failure. */
static const char *
tls_error (CURLcode code)
{
  switch (code)
    {
    case CURLE_PEER_FAILED_VERIFICATION:
      return "its certificate is not trusted, or is for another address";
    case CURLE_SSL_CACERT_BADFILE:
      return "the certificates of --ca-file can't be used";
    case CURLE_SSL_CONNECT_ERROR:
      return "TLS could not be set up; does it speak plain HTTP?";
    default:
      return NULL;
    }
}

static MuxSendResult
perform (Transfer *transfer, const MuxServer *server, uint32_t timeout_ms)
{
  MuxCliResponse *response = transfer->response;
  CURLcode code = mux_curl_perform (transfer->multi, transfer->curl,
                                    CONNECT_MS_MAX, timeout_ms);

  if (code == CURLE_OK && take_response (transfer))
    return MUX_SEND_ANSWERED;
  if (transfer->sent)
    return MUX_SEND_RESPONSE_LOST;
  if (tls_error (code) != NULL)
    snprintf (response->error, sizeof response->error, "%s: %s", server->addr,
              tls_error (code));
  return MUX_SEND_NOT_REACHED;
}

MuxSendResult
mux_cli_send (const MuxServer *server,
              const char *ca_file,
              const MuxCliRequest *request,
              MuxCliResponse *response)
{
  Transfer transfer = { .curl = curl_easy_init (),
                        .multi = curl_multi_init (),
                        .response = response };
  MuxSendResult sent = MUX_SEND_NOT_REACHED;

  memset (response, 0, sizeof *response);
  if (transfer.curl != NULL && transfer.multi != NULL
      && fill_request (&transfer, server, ca_file, request))
    sent = perform (&transfer, server, request->timeout_ms);
  mux_bytes_deinit (&transfer.body);
  curl_slist_free_all (transfer.headers);
  if (transfer.curl != NULL)
    curl_easy_cleanup (transfer.curl);
  if (transfer.multi != NULL)
    curl_multi_cleanup (transfer.multi);
  return sent;
}

void
mux_cli_response_free (MuxCliResponse *response)
{
  free (response->body);
  memset (response, 0, sizeof *response);
}
