#include "adapter/curl.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#define BODY_MAX_BYTES ((size_t) 64 << 20)

/* Returns less than it was given to make libcurl fail the exchange. */
static size_t
on_body (char *bytes, size_t size, size_t count, void *ctx)
{
  MuxBytes *body = ctx;
  size_t len = size * count;

  if (len > BODY_MAX_BYTES - body->len || !mux_bytes_add (body, bytes, len))
    return 0;
  return len;
}

void
mux_curl_set_common_options (CURL *curl, MuxBytes *body)
{
  curl_easy_setopt (curl, CURLOPT_NOSIGNAL, 1L);
  /* Otherwise libcurl would use http_proxy from the environment, and a proxy
   * might send a write twice. */
  curl_easy_setopt (curl, CURLOPT_PROXY, "");
  curl_easy_setopt (curl, CURLOPT_FOLLOWLOCATION, 0L);
  curl_easy_setopt (curl, CURLOPT_WRITEFUNCTION, on_body);
  curl_easy_setopt (curl, CURLOPT_WRITEDATA, body);
}

void
mux_curl_set_timeouts (CURL *curl, long connect_ms, long timeout_ms)
{
  if (connect_ms > timeout_ms)
    connect_ms = timeout_ms;
  curl_easy_setopt (curl, CURLOPT_CONNECTTIMEOUT_MS, connect_ms);
  curl_easy_setopt (curl, CURLOPT_TIMEOUT_MS, timeout_ms);
}

static int
on_socket (void *ctx, curl_socket_t fd, curlsocktype purpose)
{
  const MuxCurlKeepalive *keepalive = ctx;

  (void) purpose;
  (void) setsockopt (fd, IPPROTO_TCP, TCP_USER_TIMEOUT,
                     &keepalive->user_timeout_ms,
                     sizeof keepalive->user_timeout_ms);
  return CURL_SOCKOPT_OK;
}

/* If a middlebox, such as a firewall, loses the state of a connection that
 * waits for a response, no error occurs and the call would last until its
 * timeout.  Then the keep-alive probes stay unanswered, and the kernel fails
 * the connection earlier. */
void
mux_curl_set_keepalive (CURL *curl, const MuxCurlKeepalive *keepalive)
{
  curl_easy_setopt (curl, CURLOPT_TCP_KEEPALIVE, 1L);
  curl_easy_setopt (curl, CURLOPT_TCP_KEEPIDLE, keepalive->idle_s);
  curl_easy_setopt (curl, CURLOPT_TCP_KEEPINTVL, keepalive->interval_s);
  curl_easy_setopt (curl, CURLOPT_SOCKOPTFUNCTION, on_socket);
  curl_easy_setopt (curl, CURLOPT_SOCKOPTDATA, (void *) keepalive);
}

const char *
mux_curl_header (CURL *curl, const char *name)
{
  struct curl_header *header;

  if (curl_easy_header (curl, name, 0, CURLH_HEADER, -1, &header) != CURLHE_OK)
    return NULL;
  return header->value;
}

/* Without a length or chunked encoding, the end of the connection counts as the
 * end of the response, and a truncated response would pass as complete. */
bool
mux_curl_response_is_framed (CURL *curl)
{
  curl_off_t declared = -1;

  curl_easy_getinfo (curl, CURLINFO_CONTENT_LENGTH_DOWNLOAD_T, &declared);
  return declared >= 0 || mux_curl_header (curl, "Transfer-Encoding") != NULL;
}
