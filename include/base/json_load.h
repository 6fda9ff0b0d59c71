#ifndef BASE_JSON_LOAD_H
#define BASE_JSON_LOAD_H

#include "base/error.h"

#include <jansson.h>
#include <stdint.h>

/* Limits of callers' bodies: a few times what the largest job needs.  A text
 * within them takes less than 4 MiB when it is parsed, besides its strings. */
#define MUX_JSON_BODY_DEPTH_MAX 32
#define MUX_JSON_BODY_VALUES_MAX 16384

/**
 * struct MuxJsonLimits - bounds of a JSON text that is not trusted
 * @depth_max: levels of arrays and objects within each other
 * @values_max: values and names of all levels
 */
typedef struct
{
  uint32_t depth_max;
  uint32_t values_max;
} MuxJsonLimits;

/** mux_json_check() - count depth and values of a text without parsing it
 * The parser recurses for each level, and a parsed value takes up to a hundred
 * times its text.  The text need not be valid JSON.
 * Return: false with @err set when it exceeds a limit. */
bool mux_json_check (const char *text,
                     size_t len,
                     const MuxJsonLimits *limits,
                     MuxError *err);

/** mux_json_load() - parse a text that is within the limits
 * @flags: of json_loadb()
 * Return: NULL with @err set when it is not, or is no valid JSON. */
json_t *mux_json_load (const char *text,
                       size_t len,
                       const MuxJsonLimits *limits,
                       size_t flags,
                       MuxError *err);

#endif
