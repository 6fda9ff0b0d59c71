#ifndef BASE_ERROR_H
#define BASE_ERROR_H

#include <stdbool.h>
#include <stdint.h>

#define MUX_ERROR_TEXT_LEN 160
#define MUX_FINDINGS_MAX 64

/**
 * enum MuxErrorCode - what kind of failure an error reports
 */
typedef enum
{
  MUX_ERROR_NONE,
  MUX_ERROR_USAGE,       /* the caller gave something invalid */
  MUX_ERROR_MEMORY,      /* memory is out */
  MUX_ERROR_IO,          /* the system or a peer failed */
  MUX_ERROR_UNAVAILABLE, /* the other side can't be reached now */
  MUX_ERROR_PROTOCOL,    /* the other side sent what can't be understood */
  MUX_ERROR_CONFLICT,    /* a condition did not hold */
  MUX_ERROR_LIMIT,       /* a bound was reached */
} MuxErrorCode;

/**
 * struct MuxError - error passed down the call chain
 * @code: kind; MUX_ERROR_NONE while nothing failed
 * @text: one line for people
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
 * struct MuxFinding - one thing wrong with an input
 * @place: where, as "--flag", "CUMINMUX_X" or "class.size.cpu_milli"
 * @text: what is wrong and what is allowed
 */
typedef struct
{
  char place[64];
  char text[MUX_ERROR_TEXT_LEN];
} MuxFinding;

/**
 * struct MuxFindings - all things wrong with one input, reported together
 * @count: used entries of @item
 * @dropped: findings beyond the array
 */
typedef struct
{
  uint32_t count;
  uint32_t dropped;
  MuxFinding item[MUX_FINDINGS_MAX];
} MuxFindings;

void mux_findings_add (MuxFindings *findings,
                       const char *place,
                       const char *format,
                       ...) __attribute__ ((format (printf, 3, 4)));

#endif
