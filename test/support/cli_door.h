#ifndef SUPPORT_CLI_DOOR_H
#define SUPPORT_CLI_DOOR_H

#include <pthread.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <ulfius.h>

#define CLI_DOOR_ANSWERS_MAX 64
#define CLI_DOOR_SEEN_LEN 65536

/**
 * struct CliDoorAnswer - one answer that the stand-in gives
 * @status: HTTP status; 0: the answer breaks off in the middle
 * @outcome: header Cuminmux-Outcome, or NULL
 * @reason: header Cuminmux-Reason, or NULL
 * @retry_ms: header Cuminmux-Retry-Ms, or NULL
 * @body: its bytes
 * @body_len: their number; 0: up to the NUL
 */
typedef struct
{
  unsigned int status;
  const char *outcome;
  const char *reason;
  const char *retry_ms;
  const char *body;
  size_t body_len;
} CliDoorAnswer;

/**
 * struct CliDoor - stand-in of a daemon's HTTP interface, following a script
 * @answers: given in this order, one to a call
 * @seen: what came in, a line to a call
 */
typedef struct
{
  struct _u_instance instance;
  pthread_mutex_t lock;
  uint32_t next;
  uint32_t count;
  CliDoorAnswer answers[CLI_DOOR_ANSWERS_MAX];
  char seen[CLI_DOOR_SEEN_LEN];
  size_t seen_len;
  uint16_t port;
} CliDoor;

/** cli_door_open() - listen on a port that the kernel picks */
bool cli_door_open (CliDoor *door);
void cli_door_close (CliDoor *door);
void cli_door_will (CliDoor *door, CliDoorAnswer answer);
/** cli_port_refusing() - a bound port that takes no connections
 * @fd: keeps it bound until it is closed */
uint16_t cli_port_refusing (int *fd);

#endif
