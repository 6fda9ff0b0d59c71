#ifndef ADAPTER_CURL_H
#define ADAPTER_CURL_H

#include "base/bytes.h"

#include <curl/curl.h>
#include <stdint.h>

/* libcurl settings that all HTTP clients of the project share. */

/** mux_curl_set_common_options() - no signals, no proxy, no redirects
 * @body: receives the response body; more than 64 MiB fail the exchange */
void mux_curl_set_common_options (CURL *curl, MuxBytes *body);
/**
 * struct MuxCurlKeepalive - when TCP fails an unresponsive connection
 * @idle_s: time without traffic before the first keep-alive probe
 * @interval_s: time between probes
 * @user_timeout_ms: TCP_USER_TIMEOUT: bytes or probes unacknowledged for this
 *   long fail the connection
 */
typedef struct
{
  long idle_s;
  long interval_s;
  unsigned int user_timeout_ms;
} MuxCurlKeepalive;

/** mux_curl_set_keepalive() - enable TCP keep-alive
 * @keepalive: must outlive @curl */
void mux_curl_set_keepalive (CURL *curl, const MuxCurlKeepalive *keepalive);
/** mux_curl_header() - value of a header of the last response
 * Return: valid until the next exchange; NULL: absent. */
const char *mux_curl_header (CURL *curl, const char *name);
/** mux_curl_response_is_framed() - whether the last response had a length
 * True for a Content-Length or chunked encoding.  libcurl fails an exchange
 * that ends before the length or the last chunk. */
bool mux_curl_response_is_framed (CURL *curl);

/** mux_curl_perform() - run an exchange in the calling thread
 * libcurl's own time limits are not used: it may see that one is over only a
 * second later.  What has arrived by the end of the time is read first.
 * @multi: keeps connections between exchanges; no other one is running there
 * @connect_ms: for the connection, with its TLS handshake
 * @timeout_ms: for the whole exchange
 * Return: libcurl's result; CURLE_OPERATION_TIMEDOUT after either time.
 */
CURLcode mux_curl_perform (CURLM *multi,
                           CURL *curl,
                           uint32_t connect_ms,
                           uint32_t timeout_ms);

#endif
