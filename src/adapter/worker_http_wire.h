#ifndef ADAPTER_WORKER_HTTP_WIRE_H
#define ADAPTER_WORKER_HTTP_WIRE_H

#include "worker_http_client.h"

#include "port/worker.h"

#define MUX_WORKER_HEADERS_MAX 18
#define MUX_WORKER_HEADER_LEN 96

/**
 * struct MuxWorkerHeaders - a call as HTTP headers, without allocations
 * @count: used entries
 * @line: linked list for libcurl
 * @text: the header lines that @line points to
 */
typedef struct
{
  uint32_t count;
  struct curl_slist line[MUX_WORKER_HEADERS_MAX];
  char text[MUX_WORKER_HEADERS_MAX][MUX_WORKER_HEADER_LEN];
} MuxWorkerHeaders;

/** mux_worker_write_headers() - request headers of a call
 * @wait_ms: how long the worker may wait for the task's end
 * The headers are those of docs/platform/worker.md. */
void mux_worker_write_headers (const MuxWorkerCall *call,
                               uint32_t wait_ms,
                               MuxWorkerHeaders *headers);
/** mux_worker_verb_path() - URL path of a verb */
const char *mux_worker_verb_path (MuxWorkerVerb verb);
/**
 * mux_worker_read_reply() - decode a complete HTTP response
 * Return: NULL when it is not a well-formed response to @call, or when out of
 * memory.
 */
MuxWorkerReply *mux_worker_read_reply (const MuxWorkerCall *call,
                                       MuxWorkerClient *client);
/** mux_worker_read_list() - decode the JSON body of a CLAIM's or RENEW's reply
 * Return: a reply with reports, cursor and capacity set; NULL as for
 * mux_worker_read_reply(). */
MuxWorkerReply *
mux_worker_read_list (const MuxWorkerCall *call, const char *bytes, size_t len);

#endif
