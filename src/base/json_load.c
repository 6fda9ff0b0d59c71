#include "base/json_load.h"

#include <inttypes.h>

/* Return: the index of the quote that ends the string begun before @at. */
static size_t
string_end (const char *text, size_t len, size_t at)
{
  while (at < len && text[at] != '"')
    at += text[at] == '\\' ? 2 : 1;
  return at;
}

bool
mux_json_check (const char *text,
                size_t len,
                const MuxJsonLimits *limits,
                MuxError *err)
{
  uint32_t depth = 0;
  uint32_t values = 0;

  for (size_t i = 0; i < len; i++)
    {
      switch (text[i])
        {
        case '"':
          i = string_end (text, len, i + 1);
          continue;
        case '[':
        case '{':
          if (++depth > limits->depth_max)
            return mux_error_set (err, MUX_ERROR_LIMIT,
                                  "the JSON text is nested more than %" PRIu32
                                  " levels deep",
                                  limits->depth_max);
          break;
        case ']':
        case '}':
          depth -= depth > 0;
          continue;
        case ',':
        case ':':
          break;
        default:
          continue;
        }
      if (++values > limits->values_max)
        return mux_error_set (err, MUX_ERROR_LIMIT,
                              "the JSON text has more than %" PRIu32 " values",
                              limits->values_max);
    }
  return true;
}

json_t *
mux_json_load (const char *text,
               size_t len,
               const MuxJsonLimits *limits,
               size_t flags,
               MuxError *err)
{
  json_error_t problem;
  json_t *json;

  if (!mux_json_check (text, len, limits, err))
    return NULL;
  json = json_loadb (text, len, flags, &problem);
  if (json == NULL)
    mux_error_set (err, MUX_ERROR_PROTOCOL, "no valid JSON: %s", problem.text);
  return json;
}
