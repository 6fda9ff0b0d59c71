#ifndef REVIEW_HTTP_H
#define REVIEW_HTTP_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/* Small HTTP/1.1 server and client on loopback addresses, a thread for each
 * connection. */

typedef struct
{
  char method[16];
  char path[256]; /* without the query */
  char query[512];
  char instance[128]; /* Expected-Instance; "": none */
  json_t *body;       /* NULL: none */
  size_t body_len;
} HttpAsk;

typedef struct
{
  int status;
  json_t *json;
} HttpAnswer;

typedef HttpAnswer (*HttpServe) (void *context, const HttpAsk *ask);

typedef struct HttpServer HttpServer;

HttpServer *http_serve (HttpServe serve, void *context);
const char *http_addr (const HttpServer *server);
/** http_query() - value of a query parameter, percent-decoded; "": absent */
void http_query (const HttpAsk *ask, const char *name, char *value, size_t cap);

/** http_call() - one request on a connection of its own
 * Return: the status; 0: no answer.  @json: set to the body, owned by the
 * caller; may be NULL. */
int http_call (const char *addr,
               const char *method,
               const char *path,
               const char *host,
               const char *body,
               int timeout_ms,
               json_t **json);

/** free_port() - a TCP port that is free at the moment */
int free_port (void);

int64_t now_ms (void);
int64_t wall_ms (void);
void pause_ms (int64_t ms);

#endif
