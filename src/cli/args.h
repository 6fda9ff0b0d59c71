#ifndef CLI_ARGS_H
#define CLI_ARGS_H

#include "base/error.h"
#include "cli/cli.h"

#include <jansson.h>

/**
 * enum MuxArg - names one flag or positional argument
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

/* Closes a list of arguments. */
#define MUX_ARG_END MUX_ARG_COUNT

/**
 * struct MuxArgList - the arguments of one verb besides the global ones
 * @required: must be given; closed by MUX_ARG_END
 * @optional: may be given; closed by MUX_ARG_END
 */
typedef struct
{
  uint8_t required[12];
  uint8_t optional[12];
} MuxArgList;

/**
 * struct MuxArgs - checked arguments
 * @text: as given, from the flag or its environment variable; NULL: absent
 * @number: value of a number, or its default; of a switch: 0 or 1
 */
typedef struct
{
  const char *text[MUX_ARG_COUNT];
  int64_t number[MUX_ARG_COUNT];
} MuxArgs;

/**
 * mux_args_parse() - read a verb's arguments through its argtable
 * @argv: from the verb's last word on
 * @findings: receives everything wrong at once
 * Return: true when there was no finding.  A --help among the arguments is
 * left in @args also when there was one.
 */
bool mux_args_parse (const MuxArgList *list,
                     MuxCliHost *host,
                     int argc,
                     char **argv,
                     MuxArgs *args,
                     MuxFindings *findings);

/**
 * mux_args_leading() - words before the verb that belong to global options
 * @argv: as main() got it
 * Return: how many words after @argv[0], values of flags among them.
 */
int mux_args_leading (int argc, char **argv);

/** mux_args_help() - the syntax line and the glossary of a verb */
void mux_args_help (const MuxArgList *list, const char *verb, FILE *out);

/**
 * mux_args_fields_to_flags() - put flags in place of the fields in findings
 *
 * The bounds of fields stand in the model alone; what it finds wrong with
 * "size.cpu_milli" is shown to the operator as "--cpu-milli".
 */
void mux_args_fields_to_flags (MuxFindings *findings);

#endif
