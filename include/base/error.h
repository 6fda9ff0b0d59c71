#ifndef BASE_ERROR_H
#define BASE_ERROR_H

#include <stdbool.h>
#include <stdint.h>

#define MUX_ERROR_TEXT_LEN 160
#define MUX_FINDINGS_MAX 64

/**
 * enum MuxErrorCode - kind of failure
 */
typedef enum
{
  MUX_ERROR_NONE,
  MUX_ERROR_USAGE,       /* invalid argument from the caller */
  MUX_ERROR_MEMORY,      /* out of memory */
  MUX_ERROR_IO,          /* a system call or a peer failed */
  MUX_ERROR_UNAVAILABLE, /* the remote side is unreachable for now */
  MUX_ERROR_PROTOCOL,    /* the remote side sent an invalid message */
  MUX_ERROR_CONFLICT,    /* a precondition does not hold */
  MUX_ERROR_LIMIT,       /* a limit was reached */
} MuxErrorCode;

/**
 * struct MuxError - error returned through an out parameter
 * @code: MUX_ERROR_NONE if there is no error
 * @text: one-line message
 */
typedef struct
{
  MuxErrorCode code;
  char text[MUX_ERROR_TEXT_LEN];
} MuxError;

/** mux_error_set() - fill @err (may be NULL); always returns false */
bool mux_error_set (MuxError *err, MuxErrorCode code, const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));

/**
 * struct MuxFinding - one validation error of an input
 * @place: flag, variable or field: "--flag", "CUMINMUX_X" or
 *   "class.size.cpu_milli"
 * @text: what is wrong and which values are valid
 */
typedef struct
{
  char place[64];
  char text[MUX_ERROR_TEXT_LEN];
} MuxFinding;

/**
 * struct MuxFindings - all validation errors of one input
 * @count: used entries of @item
 * @dropped: errors that did not fit into @item
 */
typedef struct
{
  uint32_t count;
  uint32_t dropped;
  MuxFinding item[MUX_FINDINGS_MAX];
} MuxFindings;

/** mux_findings_add() - append a validation error; counts it as dropped when
 * @findings is full */
void mux_findings_add (MuxFindings *findings,
                       const char *place,
                       const char *format,
                       ...) __attribute__ ((format (printf, 3, 4)));

#endif
