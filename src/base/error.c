#include "base/error.h"

#include <stdarg.h>
#include <stdio.h>

bool
mux_error_set (MuxError *err, MuxErrorCode code, const char *format, ...)
{
  va_list args;

  if (err == NULL)
    return false;
  err->code = code;
  va_start (args, format);
  vsnprintf (err->text, sizeof err->text, format, args);
  va_end (args);
  return false;
}

void
mux_findings_add (MuxFindings *findings,
                  const char *place,
                  const char *format,
                  ...)
{
  MuxFinding *finding;
  va_list args;

  if (findings->count == MUX_FINDINGS_MAX)
    {
      findings->dropped++;
      return;
    }
  finding = &findings->item[findings->count++];
  snprintf (finding->place, sizeof finding->place, "%s", place);
  va_start (args, format);
  vsnprintf (finding->text, sizeof finding->text, format, args);
  va_end (args);
}
