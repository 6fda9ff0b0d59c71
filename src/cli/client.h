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
 * struct MuxCliRequest - one call to the interface
 * @method: HTTP method
 * @path: path from "/v1" on
 * @query: parameters, closed by a NULL name
 * @header: headers, closed by a NULL name
 * @body: bytes to send, or NULL
 * @body_len: length of @body
 * @timeout_ms: longest wait for the response
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
} MuxCliRequest;

/**
 * struct MuxCliResponse - the response of a daemon
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
} MuxCliResponse;

/**
 * enum MuxSendResult - how one sending of a call ended
 */
typedef enum
{
  MUX_SEND_ANSWERED,
  MUX_SEND_NOT_REACHED,   /* nothing was sent */
  MUX_SEND_RESPONSE_LOST, /* it may have been sent; no whole response came */
} MuxSendResult;

/** mux_cli_send() - send @call once to @server
 * @ca_file: as in struct MuxServers
 * @response: filled; its @error alone unless it was answered */
MuxSendResult mux_cli_send (const MuxServer *server,
                            const char *ca_file,
                            const MuxCliRequest *call,
                            MuxCliResponse *response);

/**
 * mux_cli_exchange() - send @call until a daemon settles it
 *
 * A call moves on to the next daemon when it was not sent, when the response
 * says that it was not run, or when @call is repeatable.  Once an response was
 * lost, the daemons are asked a second time round.
 *
 * Return: an enum MuxExit.  @response holds the last response and must be freed
 * with mux_cli_response_free() in every case.
 */
int mux_cli_exchange (MuxCliHost *host,
                      const MuxServers *servers,
                      const MuxCliRequest *call,
                      MuxCliResponse *response);

void mux_cli_response_free (MuxCliResponse *response);

#endif
