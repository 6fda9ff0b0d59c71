#ifndef CLI_CLI_H
#define CLI_CLI_H

#include "base/id.h"

#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

/**
 * enum MuxExit - exit codes of the program `cuminmux`
 */
typedef enum
{
  MUX_EXIT_OK = 0,
  MUX_EXIT_REFUSED = 1,   /* refused by a daemon; the reason is printed */
  MUX_EXIT_USAGE = 2,     /* invalid command line */
  MUX_EXIT_UNREACHED = 3, /* no daemon is reachable */
  MUX_EXIT_UNKNOWN = 4,   /* it is unknown whether it took effect */
  MUX_EXIT_LATER = 5,     /* not run, or not yet; retry later */
} MuxExit;

typedef struct MuxCliHost MuxCliHost;

/**
 * struct MuxCliHost - process environment of the command line; tests replace it
 * @setting: returns the value of an environment variable, or NULL
 * @now_ms: returns the time of a monotonic clock, in milliseconds
 * @pause_ms: sleeps for @ms milliseconds
 * @new_id: creates a random id; false if the system gives no random bytes
 * @in: input for bodies and logs
 * @out: results
 * @err: error messages
 */
struct MuxCliHost
{
  const char *(*setting) (MuxCliHost *host, const char *name);
  uint64_t (*now_ms) (MuxCliHost *host);
  void (*pause_ms) (MuxCliHost *host, uint32_t ms);
  bool (*new_id) (MuxCliHost *host, MuxId *id);
  FILE *in;
  FILE *out;
  FILE *err;
};

/**
 * mux_cli_run() - execute a command line
 * @argc: length of @argv
 * @argv: program name, verb and flags
 * Return: the exit code, an enum MuxExit.
 */
int mux_cli_run (MuxCliHost *host, int argc, char **argv);

#endif
