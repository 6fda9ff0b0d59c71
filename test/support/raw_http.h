#ifndef SUPPORT_RAW_HTTP_H
#define SUPPORT_RAW_HTTP_H

#include <stdbool.h>
#include <stddef.h>

/**
 * struct RawReply - an HTTP answer, as bytes
 * @status: status code; 0: none came
 * @head: status line and headers, closed with a NUL
 * @body: content
 * @body_len: bytes of @body
 */
typedef struct
{
  int status;
  char head[4096];
  char *body;
  size_t body_len;
} RawReply;

/** raw_connect() - TCP to "ip:port"; fails the test when it can't */
int raw_connect (const char *addr);
/** raw_send() - all of it; false when the other side has closed */
bool raw_send (int fd, const void *bytes, size_t len);
/** raw_read_reply() - one answer with its Content-Length */
RawReply raw_read_reply (int fd);
/** raw_exchange() - connect, send, read one answer, close */
RawReply raw_exchange (const char *addr, const void *bytes, size_t len);
/** raw_header() - value of a header, in a static buffer; "" when absent */
const char *raw_header (const RawReply *reply, const char *name);
/** raw_wait_closed() - until the other side closes */
void raw_wait_closed (int fd);
void raw_reply_free (RawReply *reply);

#endif
