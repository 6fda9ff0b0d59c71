#ifndef SUPPORT_CLI_SERVER_H
#define SUPPORT_CLI_SERVER_H

#include <pthread.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <ulfius.h>

#define CLI_DOOR_ANSWERS_MAX 64
#define CLI_DOOR_SEEN_LEN 65536

/**
 * struct CliServerResponse - a response of the scripted server
 * @status: HTTP status; 0: the connection is closed in mid-response
 * @outcome: header Cuminmux-Outcome, or NULL
 * @reason: header Cuminmux-Reason, or NULL
 * @retry_ms: header Cuminmux-Retry-Ms, or NULL
 * @body: content
 * @body_len: bytes of @body; 0: NUL-terminated
 */
typedef struct
{
  unsigned int status;
  const char *outcome;
  const char *reason;
  const char *retry_ms;
  const char *body;
  size_t body_len;
} CliServerResponse;

/**
 * struct CliServer - a HTTP server in the place of a daemon, with scripted
 *   responses
 * @next: index in @answers of the next response
 * @answers: responses in the order of the requests
 * @seen: log of the requests, a line each
 */
typedef struct
{
  struct _u_instance instance;
  pthread_mutex_t lock;
  uint32_t next;
  uint32_t count;
  CliServerResponse answers[CLI_DOOR_ANSWERS_MAX];
  char seen[CLI_DOOR_SEEN_LEN];
  size_t seen_len;
  uint16_t port;
} CliServer;

/** cli_server_open() - listens on a port that the kernel picks */
bool cli_server_open (CliServer *door);
void cli_server_close (CliServer *door);
/** cli_server_will_respond() - appends a response to the script */
void cli_server_will_respond (CliServer *door, CliServerResponse answer);
/** cli_port_refusing() - returns a bound port that refuses connections
 * @fd: receives the socket, which keeps the port bound until it is closed */
uint16_t cli_port_refusing (int *fd);

#endif
