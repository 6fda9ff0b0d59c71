#ifndef ADAPTER_CURL_H
#define ADAPTER_CURL_H

#include "base/bytes.h"

#include <curl/curl.h>

/* libcurl settings that all HTTP clients of the project share. */

/** mux_curl_set_common_options() - no signals, no proxy, no redirects
 * @body: receives the response body; more than 64 MiB fail the exchange */
void mux_curl_set_common_options (CURL *curl, MuxBytes *body);
/** mux_curl_set_timeouts() - set the timeouts of an exchange
 * @connect_ms: for the connection; capped by @timeout_ms
 * @timeout_ms: for the whole exchange */
void mux_curl_set_timeouts (CURL *curl, long connect_ms, long timeout_ms);
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

#endif
