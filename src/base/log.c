#include "base/log.h"

#include <stdarg.h>
#include <stdio.h>
#include <unistd.h>

/* syslog facility LOG_DAEMON, in its place in a priority value. */
#define FACILITY_DAEMON (3 << 3)

static const char *log_program = "cuminmux";
static MuxLogLevel log_max = MUX_LOG_NOTICE;

void
mux_log_open (const char *program, MuxLogLevel max)
{
  log_program = program;
  log_max = max;
}

void
mux_log (MuxLogLevel level, const char *event, const char *format, ...)
{
  char line[512];
  va_list args;
  int n;

  if (level > log_max)
    return;
  n = snprintf (line, sizeof line, "<%d> %s[%d]: %s ",
                FACILITY_DAEMON | (int) level, log_program, (int) getpid (),
                event);
  va_start (args, format);
  n += vsnprintf (line + n, sizeof line - (size_t) n, format, args);
  va_end (args);
  if (n > (int) sizeof line - 2)
    n = (int) sizeof line - 2;
  line[n] = '\n';
  /* A single write() keeps lines of concurrent threads from interleaving. */
  if (write (STDERR_FILENO, line, (size_t) n + 1) < 0)
    return;
}
