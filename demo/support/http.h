#ifndef SUPPORT_HTTP_H
#define SUPPORT_HTTP_H

#include "base/error.h"
#include "base/id.h"

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * struct MuxHttpAsk - one HTTP call
 * @method: "GET", "POST", …
 * @addr: "ip:port"
 * @path: with its query, from the first slash
 * @headers: "Name: value" lines, closed by NULL; NULL: none
 * @body: bytes, or NULL
 * @body_len: length of @body
 * @timeout_ms: for the whole call
 * @once: on a connection of its own: libcurl repeats a call by itself when a
 *   connection that it kept turns out to be closed
 */
typedef struct
{
  const char *method;
  const char *addr;
  const char *path;
  const char *const *headers;
  const void *body;
  size_t body_len;
  uint32_t timeout_ms;
  bool once;
} MuxHttpAsk;

/**
 * struct MuxHttpReply - the whole answer
 * @status: HTTP status
 * @outcome: Cuminmux-Outcome, or ""
 * @reason: Cuminmux-Reason, or ""
 * @task: Cuminmux-Task, or ""
 * @retry_ms: Cuminmux-Retry-Ms, or 0
 * @body: bytes with a closing NUL, never NULL after a true call
 * @body_len: without that NUL
 */
typedef struct
{
  uint32_t status;
  char outcome[16];
  char reason[MUX_NAME_LEN];
  char task[MUX_ID_HEX_LEN];
  uint32_t retry_ms;
  char *body;
  size_t body_len;
} MuxHttpReply;

typedef struct MuxHttp MuxHttp;

/** mux_http_new() - a caller with its connections; for one thread
 * Call curl_global_init() first when there are threads. */
MuxHttp *mux_http_new (void);
void mux_http_free (MuxHttp *http);
/** mux_http_call() - false: no whole answer came; @reply needs no clear then */
bool mux_http_call (MuxHttp *http,
                    const MuxHttpAsk *ask,
                    MuxHttpReply *reply,
                    MuxError *err);
void mux_http_reply_clear (MuxHttpReply *reply);
/** mux_http_json() - a call whose answer must be 2xx and JSON
 * @json: body to send, borrowed, or NULL
 * Return: what came, or NULL with @err set. */
json_t *mux_http_json (MuxHttp *http,
                       const char *method,
                       const char *addr,
                       const char *path,
                       const json_t *json,
                       MuxError *err);

#endif
