#ifndef SUPPORT_RAW_HTTP_H
#define SUPPORT_RAW_HTTP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* A HTTP client over a plain socket, for requests that a library would not
 * send. */

/**
 * struct RawReply - a HTTP response
 * @status: status code; 0: no complete response was received
 * @head: status line and headers, NUL-terminated
 * @body: content, NUL-terminated
 * @body_len: bytes of @body
 */
typedef struct
{
  int status;
  char head[4096];
  char *body;
  size_t body_len;
} RawReply;

/** raw_connect() - connects to "ip:port"; fails the test if it can't */
int raw_connect (const char *addr);
/** raw_send() - sends all of @bytes; false if the peer has closed */
bool raw_send (int fd, const void *bytes, size_t len);
/** raw_read_reply() - reads one response with a Content-Length, skipping "100
 * Continue" */
RawReply raw_read_reply (int fd);
/** raw_exchange() - connects, sends, reads one response and closes */
RawReply raw_exchange (const char *addr, const void *bytes, size_t len);
/** raw_exchange_text() - the same for a text, waiting @timeout_s at the most
 * for each part of the response */
RawReply
raw_exchange_text (const char *addr, const char *text, uint32_t timeout_s);
/** raw_header() - value of a header, in a static buffer; "" if absent */
const char *raw_header (const RawReply *reply, const char *name);
/** raw_wait_closed() - waits until the peer closes */
void raw_wait_closed (int fd);
void raw_reply_free (RawReply *reply);

#endif
