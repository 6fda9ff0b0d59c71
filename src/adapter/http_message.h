#ifndef ADAPTER_HTTP_MESSAGE_H
#define ADAPTER_HTTP_MESSAGE_H

#include <microhttpd.h>
#include <stdbool.h>
#include <ulfius.h>

/** DOC: libmicrohttpd's requests and responses as ulfius's */

/** http_request_fill() - fill a request without its body
 * Repeated headers and repeated query parameters are joined by commas.
 * @url: as the caller sent it, with the query
 * Return: false when out of memory. */
bool http_request_fill (struct _u_request *request,
                        struct MHD_Connection *connection,
                        const char *method,
                        const char *url);
/** http_response_queue() - send a response; takes its body
 * Return: as of MHD_queue_response(). */
enum MHD_Result http_response_queue (struct _u_response *response,
                                     struct MHD_Connection *connection);

#endif
