#ifndef CLI_CLIENT_H
#define CLI_CLIENT_H

#include "base/id.h"
#include "cli/cli.h"

#include <stddef.h>

#define MUX_SERVERS_MAX 16
#define MUX_HTTP_PAIRS_MAX 4

/**
 * struct MuxServer - one daemon
 * @tls: speaks HTTPS
 * @addr: its "ip:port"
 */
typedef struct
{
  bool tls;
  char addr[MUX_ADDR_LEN];
} MuxServer;

/**
 * struct MuxServers - daemons to talk to, in order
 * @count: used entries
 * @server: each of them
 * @ca_file: PEM certificates that their own must come from; NULL: the
 *   system's.  Borrowed.
 */
typedef struct
{
  uint32_t count;
  MuxServer server[MUX_SERVERS_MAX];
  const char *ca_file;
} MuxServers;

/**
 * mux_servers_parse() - read "http[s]://ip:port[,…]"
 * @servers: its list is filled
 * Return: false when @text is anything else.
 */
bool mux_servers_parse (const char *text, MuxServers *servers);

/**
 * struct MuxHttpPair - a query parameter or header
 */
typedef struct
{
  const char *name;
  const char *value;
} MuxHttpPair;

/**
 * struct MuxHttpCall - one call to the interface
 * @method: HTTP method
 * @path: path from "/v1" on
 * @query: parameters, closed by a NULL name
 * @header: headers, closed by a NULL name
 * @body: bytes to send, or NULL
 * @body_len: length of @body
 * @timeout_ms: longest wait for the answer
 * @write: it may change or run something
 * @repeatable: sending it again can't make it take effect twice
 */
typedef struct
{
  const char *method;
  char path[160];
  MuxHttpPair query[MUX_HTTP_PAIRS_MAX];
  MuxHttpPair header[MUX_HTTP_PAIRS_MAX];
  const void *body;
  size_t body_len;
  uint32_t timeout_ms;
  bool write;
  bool repeatable;
} MuxHttpCall;

/**
 * struct MuxHttpAnswer - the answer of a daemon
 * @status: HTTP status; 0: none came
 * @body: its bytes and a closing NUL, owned; NULL: none came
 * @body_len: length of @body
 * @outcome: header Cuminmux-Outcome, or ""
 * @reason: header Cuminmux-Reason, or ""
 * @retry_ms: header Cuminmux-Retry-Ms, or ""
 * @task: header Cuminmux-Task, or ""
 * @error: why a daemon that is there could not be talked to, or ""
 */
typedef struct
{
  long status;
  char *body;
  size_t body_len;
  char outcome[16];
  char reason[MUX_NAME_LEN];
  char retry_ms[24];
  char task[MUX_ID_HEX_LEN];
  char error[160];
} MuxHttpAnswer;

/**
 * enum MuxSent - how one sending of a call ended
 */
typedef enum
{
  MUX_SENT_ANSWERED,
  MUX_SENT_NOT_REACHED, /* nothing was sent */
  MUX_SENT_LOST,        /* it may have been sent; no whole answer came */
} MuxSent;

/** mux_http_send() - send @call once to @server
 * @ca_file: as in struct MuxServers
 * @answer: filled; its @error alone unless it was answered */
MuxSent mux_http_send (const MuxServer *server,
                       const char *ca_file,
                       const MuxHttpCall *call,
                       MuxHttpAnswer *answer);

/**
 * mux_http_exchange() - send @call until a daemon settles it
 *
 * A call moves on to the next daemon when it was not sent, when the answer
 * says that it was not run, or when @call is repeatable.  Once an answer was
 * lost, the daemons are asked a second time round.
 *
 * Return: an enum MuxExit.  @answer holds the last answer and must be freed
 * with mux_http_answer_free() in every case.
 */
int mux_http_exchange (MuxCliHost *host,
                       const MuxServers *servers,
                       const MuxHttpCall *call,
                       MuxHttpAnswer *answer);

void mux_http_answer_free (MuxHttpAnswer *answer);

#endif
