#ifndef ADAPTER_WORKER_HTTP_WIRE_H
#define ADAPTER_WORKER_HTTP_WIRE_H

#include "worker_http_client.h"

#include "port/worker.h"

#define MUX_WORKER_HEADERS_MAX 18
#define MUX_WORKER_HEADER_LEN 96

/**
 * struct MuxWorkerHeaders - a call as HTTP headers, without allocations
 * @count: used entries
 * @line: the list that curl reads
 * @text: what the list points to
 */
typedef struct
{
  uint32_t count;
  struct curl_slist line[MUX_WORKER_HEADERS_MAX];
  char text[MUX_WORKER_HEADERS_MAX][MUX_WORKER_HEADER_LEN];
} MuxWorkerHeaders;

/** mux_worker_write_headers() - of docs/platform/worker.md
 * @wait_ms: what is left of the call's own */
void mux_worker_write_headers (const MuxWorkerCall *call,
                               uint32_t wait_ms,
                               MuxWorkerHeaders *headers);
/** mux_worker_verb_path() - path of a verb, from the root */
const char *mux_worker_verb_path (MuxWorkerVerb verb);
/**
 * mux_worker_read_reply() - a whole HTTP answer as a reply
 * Return: NULL: it is not a well-formed answer to @call, or memory is out.
 */
MuxWorkerReply *mux_worker_read_reply (const MuxWorkerCall *call,
                                       MuxWorkerClient *client);
/** mux_worker_read_list() - the JSON of a CLAIM's or RENEW's answer
 * Return: a reply with the list and capacity set; NULL as above. */
MuxWorkerReply *
mux_worker_read_list (const MuxWorkerCall *call, const char *bytes, size_t len);

#endif
