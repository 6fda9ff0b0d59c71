#include "client.h"

#include "adapter/curl.h"
#include "base/address.h"

#include <curl/curl.h>
#include <stdlib.h>
#include <string.h>

#define HTTP "http://"
#define HTTPS "https://"
#define CONNECT_MS_MAX 2000L

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

/* Not ulfius's client, which this one takes the place of: that takes no file of
 * certificates to trust, its error does not say whether anything was sent nor
 * what was wrong with the certificate, and its timeout counts whole seconds.
 * It is built on libcurl itself. */

/**
 * struct Exchange - one sending
 * @curl: the HTTP client
 * @headers: of the request, owned
 * @body: of the answer, as far as it came
 * @answer: being filled
 * @sent: the request may have left
 */
typedef struct
{
  CURL *curl;
  struct curl_slist *headers;
  MuxBytes body;
  MuxHttpAnswer *answer;
  bool sent;
} Exchange;

/* Called with the connection made and, under TLS, its certificate checked,
 * right before the request is sent.  A failure before this was certainly sent
 * nothing; one after it may have reached the daemon. */
static int
on_send (void *ctx, char *ip, char *own_ip, int port, int own_port)
{
  Exchange *exchange = ctx;

  (void) ip;
  (void) own_ip;
  (void) port;
  (void) own_port;
  exchange->sent = true;
  return CURL_PREREQFUNC_OK;
}

static bool
add_header (Exchange *exchange, const char *name, const char *value)
{
  char line[1024];
  struct curl_slist *headers;
  int n = snprintf (line, sizeof line, "%s: %s", name, value);

  if (n < 0 || (size_t) n >= sizeof line)
    return false;
  headers = curl_slist_append (exchange->headers, line);
  if (headers != NULL)
    exchange->headers = headers;
  return headers != NULL;
}

static bool
fill_headers (Exchange *exchange, const MuxHttpCall *call)
{
  /* curl's own would call the body a form. */
  if (call->body != NULL
      && !add_header (exchange, "Content-Type", "application/octet-stream"))
    return false;
  for (const MuxHttpPair *p = call->header; p->name != NULL; p++)
    if (!add_header (exchange, p->name, p->value))
      return false;
  return curl_easy_setopt (exchange->curl, CURLOPT_HTTPHEADER,
                           exchange->headers)
         == CURLE_OK;
}

static bool
fill_query (CURLU *url, const MuxHttpCall *call)
{
  char pair[1024];

  for (const MuxHttpPair *p = call->query; p->name != NULL; p++)
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
fill_url (Exchange *exchange, const MuxServer *server, const MuxHttpCall *call)
{
  char text[sizeof HTTPS + MUX_ADDR_LEN + sizeof call->path];
  char *whole = NULL;
  CURLU *url = curl_url ();
  bool filled;

  snprintf (text, sizeof text, "%s%s%s", server->tls ? HTTPS : HTTP,
            server->addr, call->path);
  filled = url != NULL
           && curl_url_set (url, CURLUPART_URL, text, 0) == CURLUE_OK
           && fill_query (url, call)
           && curl_url_get (url, CURLUPART_URL, &whole, 0) == CURLUE_OK
           && curl_easy_setopt (exchange->curl, CURLOPT_URL, whole) == CURLE_OK;
  curl_free (whole);
  curl_url_cleanup (url);
  return filled;
}

static bool
fill_tls (Exchange *exchange, const char *ca_file)
{
  CURL *curl = exchange->curl;

  if (ca_file == NULL)
    return true;
  /* Who names its authority trusts no other, whatever the system has. */
  return curl_easy_setopt (curl, CURLOPT_CAPATH, NULL) == CURLE_OK
         && curl_easy_setopt (curl, CURLOPT_CAINFO, ca_file) == CURLE_OK;
}

static bool
fill_request (Exchange *exchange,
              const MuxServer *server,
              const char *ca_file,
              const MuxHttpCall *call)
{
  CURL *curl = exchange->curl;

  curl_easy_setopt (curl, CURLOPT_CUSTOMREQUEST, call->method);
  mux_curl_set_common_options (curl, &exchange->body);
  mux_curl_set_timeouts (curl, CONNECT_MS_MAX, (long) call->timeout_ms);
  curl_easy_setopt (curl, CURLOPT_PREREQFUNCTION, on_send);
  curl_easy_setopt (curl, CURLOPT_PREREQDATA, exchange);
  if (call->body != NULL)
    {
      curl_easy_setopt (curl, CURLOPT_POSTFIELDSIZE_LARGE,
                        (curl_off_t) call->body_len);
      curl_easy_setopt (curl, CURLOPT_POSTFIELDS, call->body);
    }
  return fill_url (exchange, server, call) && fill_headers (exchange, call)
         && fill_tls (exchange, ca_file);
}

static void
copy_header (CURL *curl, const char *name, char *out, size_t cap)
{
  const char *value = mux_curl_header (curl, name);

  if (value != NULL)
    snprintf (out, cap, "%s", value);
}

static bool
take_answer (Exchange *exchange)
{
  MuxHttpAnswer *answer = exchange->answer;
  CURL *curl = exchange->curl;

  /* An empty body has its closing NUL, too. */
  if (!mux_curl_response_is_framed (curl)
      || !mux_bytes_add (&exchange->body, NULL, 0))
    return false;
  answer->body = exchange->body.bytes;
  answer->body_len = exchange->body.len;
  exchange->body = (MuxBytes){ NULL, 0, 0 };
  curl_easy_getinfo (curl, CURLINFO_RESPONSE_CODE, &answer->status);
  copy_header (curl, "Cuminmux-Outcome", answer->outcome,
               sizeof answer->outcome);
  copy_header (curl, "Cuminmux-Reason", answer->reason, sizeof answer->reason);
  copy_header (curl, "Cuminmux-Retry-Ms", answer->retry_ms,
               sizeof answer->retry_ms);
  copy_header (curl, "Cuminmux-Task", answer->task, sizeof answer->task);
  return true;
}

/* What an operator can mend: a daemon that is there, but not to be trusted. */
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

static MuxSent
perform (Exchange *exchange, const MuxServer *server)
{
  MuxHttpAnswer *answer = exchange->answer;
  CURLcode code = curl_easy_perform (exchange->curl);

  if (code == CURLE_OK && take_answer (exchange))
    return MUX_SENT_ANSWERED;
  if (exchange->sent)
    return MUX_SENT_LOST;
  if (tls_error (code) != NULL)
    snprintf (answer->error, sizeof answer->error, "%s: %s", server->addr,
              tls_error (code));
  return MUX_SENT_NOT_REACHED;
}

MuxSent
mux_http_send (const MuxServer *server,
               const char *ca_file,
               const MuxHttpCall *call,
               MuxHttpAnswer *answer)
{
  Exchange exchange = { .curl = curl_easy_init (), .answer = answer };
  MuxSent sent = MUX_SENT_NOT_REACHED;

  memset (answer, 0, sizeof *answer);
  if (exchange.curl == NULL)
    return MUX_SENT_NOT_REACHED;
  if (fill_request (&exchange, server, ca_file, call))
    sent = perform (&exchange, server);
  mux_bytes_deinit (&exchange.body);
  curl_slist_free_all (exchange.headers);
  curl_easy_cleanup (exchange.curl);
  return sent;
}

void
mux_http_answer_free (MuxHttpAnswer *answer)
{
  free (answer->body);
  memset (answer, 0, sizeof *answer);
}
