#ifndef CLI_ARG_SPEC_H
#define CLI_ARG_SPEC_H

#include "args.h"

/**
 * enum MuxArgCheck - type of an argument
 */
typedef enum
{
  MUX_CHECK_TEXT,
  MUX_CHECK_NAME,
  MUX_CHECK_ID,
  MUX_CHECK_KEY,
  MUX_CHECK_TICKET,
  MUX_CHECK_WHO,
  MUX_CHECK_YES_NO,
  MUX_CHECK_NUMBER,
  MUX_CHECK_SWITCH,
} MuxArgCheck;

/**
 * struct MuxArgSpec - one flag or positional argument
 * @flag: long flag without its dashes; NULL: positional
 * @datatype: placeholder for the value in the help
 * @check: type
 * @min: least number
 * @max: greatest number
 * @fallback: default of a number
 * @field: field of the model that it sets and whose range the model checks, or
 *   NULL
 * @help: one line
 */
typedef struct
{
  const char *flag;
  const char *datatype;
  MuxArgCheck check;
  int64_t min;
  int64_t max;
  int64_t fallback;
  const char *field;
  const char *help;
} MuxArgSpec;

extern const MuxArgSpec mux_arg_specs[MUX_ARG_COUNT];

#endif
