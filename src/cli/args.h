#ifndef CLI_ARGS_H
#define CLI_ARGS_H

#include "base/error.h"
#include "cli/cli.h"

#include <jansson.h>

/**
 * enum MuxArg - flag or positional argument
 */
typedef enum
{
  MUX_ARG_SERVER,
  MUX_ARG_CA_FILE,
  MUX_ARG_TIMEOUT_MS,
  MUX_ARG_WHO,
  MUX_ARG_JSON,
  MUX_ARG_HELP,
  MUX_ARG_NAME,
  MUX_ARG_JOB,
  MUX_ARG_PRODUCT,
  MUX_ARG_KIND,
  MUX_ARG_IDEMPOTENT,
  MUX_ARG_START_WITHIN_MS,
  MUX_ARG_SHARE_PPM,
  MUX_ARG_CPU_MILLI,
  MUX_ARG_MEM_MIB,
  MUX_ARG_ACCELS,
  MUX_ARG_SLOTS,
  MUX_ARG_RUN_MS,
  MUX_ARG_IDLE_PPM,
  MUX_ARG_EXPECT,
  MUX_ARG_CHANGE,
  MUX_ARG_WAIT,
  MUX_ARG_WAIT_MS,
  MUX_ARG_TO,
  MUX_ARG_AFTER,
  MUX_ARG_TASKS,
  MUX_ARG_KEY,
  MUX_ARG_TICKET,
  MUX_ARG_BODY,
  MUX_ARG_FILE,
  MUX_ARG_GIVE_UP_MS,
  MUX_ARG_SPAN_S,
  MUX_ARG_BY_SIZE,
  MUX_ARG_BY_WORKSPACE,
  MUX_ARG_ALL,
  MUX_ARG_COUNT
} MuxArg;

/* Terminates a list of arguments. */
#define MUX_ARG_END MUX_ARG_COUNT

/**
 * struct MuxArgList - the arguments of one verb besides the global ones
 * @required: required arguments, terminated by MUX_ARG_END
 * @optional: optional arguments, terminated by MUX_ARG_END
 */
typedef struct
{
  uint8_t required[12];
  uint8_t optional[12];
} MuxArgList;

/**
 * struct MuxArgs - validated arguments
 * @text: value from the flag or its environment variable; NULL: absent
 * @number: value of a number or its default; of a switch: 0 or 1
 */
typedef struct
{
  const char *text[MUX_ARG_COUNT];
  int64_t number[MUX_ARG_COUNT];
} MuxArgs;

/**
 * mux_args_parse() - parse and validate the arguments of a verb
 * @argv: from the verb's last word on
 * @findings: receives all errors
 * Return: true if there is no error.  A --help is recorded in @args in either
 * case.
 */
bool mux_args_parse (const MuxArgList *list,
                     MuxCliHost *host,
                     int argc,
                     char **argv,
                     MuxArgs *args,
                     MuxFindings *findings);

/**
 * mux_args_leading() - count the words of global options before the verb
 * @argv: argument vector of main()
 * Return: number of words after @argv[0], including values of flags.
 */
int mux_args_leading (int argc, char **argv);

/** mux_args_help() - print the syntax line and the glossary of a verb */
void mux_args_help (const MuxArgList *list, const char *verb, FILE *out);

/**
 * mux_args_fields_to_flags() - replace fields by their flags in @findings
 *
 * Only the model checks the ranges of fields; its error for "size.cpu_milli" is
 * shown to the operator as one of "--cpu-milli".
 */
void mux_args_fields_to_flags (MuxFindings *findings);

#endif
