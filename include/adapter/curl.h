#ifndef ADAPTER_CURL_H
#define ADAPTER_CURL_H

#include "base/bytes.h"

#include <curl/curl.h>

/* What every HTTP client of the project does alike with libcurl. */

/** mux_curl_set_up() - no signals, no proxy, no redirection; the answer's
 * body, at most 64 MiB, is added to @body */
void mux_curl_set_common_options (CURL *curl, MuxBytes *body);
/** mux_curl_set_timeouts() - @connect_ms: at most, within @timeout_ms */
void mux_curl_set_timeouts (CURL *curl, long connect_ms, long timeout_ms);
/**
 * struct MuxCurlProbes - when the kernel gives a silent connection up
 * @idle_s: without traffic, before the first probe
 * @interval_s: between probes
 * @silent_ms: bytes or probes unanswered for so long fail the connection
 */
typedef struct
{
  long idle_s;
  long interval_s;
  unsigned int user_timeout_ms;
} MuxCurlKeepalive;

/** mux_curl_set_probes() - @probes must outlive @curl */
void mux_curl_set_keepalive (CURL *curl, const MuxCurlKeepalive *probes);
/** mux_curl_header() - of the last answer, until the next; NULL: absent */
const char *mux_curl_header (CURL *curl, const char *name);
/** mux_curl_says_its_end() - the last answer gave a length or came in chunks;
 * libcurl fails an exchange that ends before what either of them promises */
bool mux_curl_response_is_framed (CURL *curl);

#endif
