#ifndef STANDIN_WORKER_WIRE_H
#define STANDIN_WORKER_WIRE_H

#include "port/worker.h"

#include <ulfius.h>

/** standin_worker_read_call() - parses a request as in docs/platform/worker.md
 * Return: false if it is invalid.  The caller unrefs @call->body. */
bool standin_worker_read_call (const struct _u_request *request,
                               MuxWorkerCall *call);
/** standin_worker_write_reply() - fills the response to such a request */
void standin_worker_write_reply (const MuxWorkerReply *reply,
                                 const MuxWorkerCall *call,
                                 bool repeated,
                                 struct _u_response *response);
/** standin_worker_write_status() - fills a response without content */
void standin_worker_write_status (struct _u_response *response,
                                  unsigned int http_status,
                                  const char *word);

#endif
