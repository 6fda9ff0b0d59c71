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
 * struct MuxServers - daemons in the order in which they are tried
 * @count: used entries of @server
 * @server: the daemons
 * @ca_file: PEM file of the only trusted authorities, not owned; NULL: those of
 *   the system
 */
typedef struct
{
  uint32_t count;
  MuxServer server[MUX_SERVERS_MAX];
  const char *ca_file;
} MuxServers;

/**
 * mux_servers_parse() - parse "http[s]://ip:port[,…]"
 * @servers: receives the list; its @ca_file is unchanged
 * Return: false if @text is malformed.
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
 * struct MuxCliRequest - one HTTP request
 * @method: HTTP method
 * @path: path, such as "/v1/status"
 * @query: parameters, terminated by a NULL name
 * @header: headers, terminated by a NULL name
 * @body: request body, not owned, or NULL
 * @body_len: length of @body
 * @timeout_ms: time limit of one attempt
 * @write: may change or run something
 * @repeatable: idempotent: a retry can't take effect twice
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
 * struct MuxCliResponse - HTTP response of a daemon
 * @status: HTTP status; 0: no response
 * @body: content and a terminating NUL, owned; NULL: no response
 * @body_len: length of @body
 * @outcome: header Cuminmux-Outcome, or ""
 * @reason: header Cuminmux-Reason, or ""
 * @retry_ms: header Cuminmux-Retry-Ms, or ""
 * @task: header Cuminmux-Task, or ""
 * @error: why TLS to a reachable daemon failed, or ""
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
 * enum MuxSendResult - outcome of one attempt to send a request
 */
typedef enum
{
  MUX_SEND_ANSWERED,
  MUX_SEND_NOT_REACHED,   /* nothing was sent */
  MUX_SEND_RESPONSE_LOST, /* may have been sent; no complete response */
} MuxSendResult;

/** mux_cli_send() - send @request once to @server
 * @ca_file: see struct MuxServers
 * @response: receives the response; without one, only its @error may be set */
MuxSendResult mux_cli_send (const MuxServer *server,
                            const char *ca_file,
                            const MuxCliRequest *request,
                            MuxCliResponse *response);

/**
 * mux_cli_exchange() - send @request to one daemon after the other until its
 * outcome is known
 *
 * The next daemon is tried if the request was not sent, if the response says
 * that it was not run, or if @request is repeatable.  If a response was lost,
 * all daemons are tried a second time.
 *
 * Return: an enum MuxExit.  @response holds the last response and must be freed
 * with mux_cli_response_free() in every case.
 */
int mux_cli_exchange (MuxCliHost *host,
                      const MuxServers *servers,
                      const MuxCliRequest *request,
                      MuxCliResponse *response);

void mux_cli_response_free (MuxCliResponse *response);

#endif
