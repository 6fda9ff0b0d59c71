#include "adapter/curl.h"

#include "base/clock.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#define BODY_MAX_BYTES ((size_t) 64 << 20)
/* Longest wait for an event; progress functions are called as often. */
#define POLL_MAX_MS 1000
/* How long a response that is arriving at its deadline is still read. */
#define READ_GRACE_MS 100

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

static bool
is_connected (CURL *curl)
{
  curl_off_t began_us = 0;

  curl_easy_getinfo (curl, CURLINFO_PRETRANSFER_TIME_T, &began_us);
  return began_us != 0;
}

/* Return: CURLE_OPERATION_TIMEDOUT if libcurl has not ended it. */
static CURLcode
result_of (CURLM *multi, const CURL *curl)
{
  CURLcode code = CURLE_OPERATION_TIMEDOUT;
  const CURLMsg *msg;
  int left;

  while ((msg = curl_multi_info_read (multi, &left)) != NULL)
    if (msg->msg == CURLMSG_DONE && msg->easy_handle == curl)
      code = msg->data.result;
  return code;
}

/* Drives the exchange until it ends or one of its times is over and nothing
 * more has arrived. */
static CURLMcode
drive (CURLM *multi, CURL *curl, int64_t connect_by_ms, int64_t end_ms)
{
  for (;;)
    {
      int running = 0;
      int ready = 0;
      CURLMcode code = curl_multi_perform (multi, &running);
      int64_t now = mux_monotonic_ms ();
      int64_t left_ms = (is_connected (curl) ? end_ms : connect_by_ms) - now;

      if (code != CURLM_OK || running == 0)
        return code;
      if (left_ms > POLL_MAX_MS)
        left_ms = POLL_MAX_MS;
      code = curl_multi_poll (multi, NULL, 0, left_ms > 0 ? (int) left_ms : 0,
                              &ready);
      if (code != CURLM_OK)
        return code;
      if (left_ms <= 0 && (ready == 0 || left_ms <= -READ_GRACE_MS))
        return CURLM_OK;
    }
}

CURLcode
mux_curl_perform (CURLM *multi,
                  CURL *curl,
                  uint32_t connect_ms,
                  uint32_t timeout_ms)
{
  int64_t began_ms = mux_monotonic_ms ();
  CURLcode code = CURLE_FAILED_INIT;

  if (connect_ms > timeout_ms)
    connect_ms = timeout_ms;
  if (curl_multi_add_handle (multi, curl) != CURLM_OK)
    return code;
  if (drive (multi, curl, began_ms + connect_ms, began_ms + timeout_ms)
      == CURLM_OK)
    code = result_of (multi, curl);
  curl_multi_remove_handle (multi, curl);
  return code;
}
