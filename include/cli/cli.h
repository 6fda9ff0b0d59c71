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
  MUX_EXIT_REFUSED = 1,   /* a daemon refused; the reason is printed */
  MUX_EXIT_USAGE = 2,     /* bad use of the command line */
  MUX_EXIT_UNREACHED = 3, /* no daemon can be reached */
  MUX_EXIT_UNKNOWN = 4,   /* whether it took effect can't be told */
  MUX_EXIT_LATER = 5,     /* not run or not yet; try later */
} MuxExit;

typedef struct MuxCliHost MuxCliHost;

/**
 * struct MuxCliHost - what the command line needs from its process
 * @setting: value of an environment variable, or NULL
 * @now_ms: a clock that never goes back, in milliseconds
 * @pause_ms: wait for so many milliseconds
 * @new_id: a fresh random id; false when the system has none
 * @in: where bodies are read from
 * @out: results
 * @err: messages for people
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
 * mux_cli_run() - run one command line
 * @argc: length of @argv
 * @argv: program name, verb and flags
 * Return: an enum MuxExit.
 */
int mux_cli_run (MuxCliHost *host, int argc, char **argv);

#endif
