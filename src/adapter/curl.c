#include "adapter/curl.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#define BODY_MAX ((size_t) 64 << 20)

/* A short return makes libcurl end the exchange with an error. */
static size_t
on_body (char *bytes, size_t size, size_t count, void *ctx)
{
  MuxBytes *body = ctx;
  size_t len = size * count;

  if (len > BODY_MAX - body->len || !mux_bytes_add (body, bytes, len))
    return 0;
  return len;
}

void
mux_curl_set_common_options (CURL *curl, MuxBytes *body)
{
  curl_easy_setopt (curl, CURLOPT_NOSIGNAL, 1L);
  /* Else libcurl would follow http_proxy from the environment, and a write
   * could go through a party that repeats it. */
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
  const MuxCurlKeepalive *probes = ctx;

  (void) purpose;
  (void) setsockopt (fd, IPPROTO_TCP, TCP_USER_TIMEOUT,
                     &probes->user_timeout_ms, sizeof probes->user_timeout_ms);
  return CURL_SOCKOPT_OK;
}

/* Guards against a connection that something between the two ends has lost
 * track of while an answer is waited for: no error ever shows, the call would
 * sit out its whole timeout.  The kernel's probes go unanswered then, and the
 * connection fails. */
void
mux_curl_set_keepalive (CURL *curl, const MuxCurlKeepalive *probes)
{
  curl_easy_setopt (curl, CURLOPT_TCP_KEEPALIVE, 1L);
  curl_easy_setopt (curl, CURLOPT_TCP_KEEPIDLE, probes->idle_s);
  curl_easy_setopt (curl, CURLOPT_TCP_KEEPINTVL, probes->interval_s);
  curl_easy_setopt (curl, CURLOPT_SOCKOPTFUNCTION, on_socket);
  curl_easy_setopt (curl, CURLOPT_SOCKOPTDATA, (void *) probes);
}

const char *
mux_curl_header (CURL *curl, const char *name)
{
  struct curl_header *header;

  if (curl_easy_header (curl, name, 0, CURLH_HEADER, -1, &header) != CURLHE_OK)
    return NULL;
  return header->value;
}

/* Guards against a cut answer that passes for a whole one: without a length or
 * chunks the end of the connection would count as the end of the answer. */
bool
mux_curl_response_is_framed (CURL *curl)
{
  curl_off_t declared = -1;

  curl_easy_getinfo (curl, CURLINFO_CONTENT_LENGTH_DOWNLOAD_T, &declared);
  return declared >= 0 || mux_curl_header (curl, "Transfer-Encoding") != NULL;
}
