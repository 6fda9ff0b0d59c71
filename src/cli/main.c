#include "base/clock.h"
#include "cli/cli.h"

#include <curl/curl.h>
#include <stdlib.h>
#include <string.h>
#include <sys/random.h>
#include <time.h>

static const char *
system_setting (MuxCliHost *host, const char *name)
{
  (void) host;
  return getenv (name);
}

static uint64_t
system_now_ms (MuxCliHost *host)
{
  (void) host;
  return (uint64_t) mux_monotonic_ms ();
}

static void
system_pause_ms (MuxCliHost *host, uint32_t ms)
{
  struct timespec pause = { ms / 1000, (long) (ms % 1000) * 1000000 };

  (void) host;
  nanosleep (&pause, NULL);
}

static bool
system_new_id (MuxCliHost *host, MuxId *id)
{
  (void) host;
  return getrandom (id, sizeof *id, 0) == (ssize_t) sizeof *id;
}

int
main (int argc, char **argv)
{
  MuxCliHost host = { .setting = system_setting,
                      .now_ms = system_now_ms,
                      .pause_ms = system_pause_ms,
                      .new_id = system_new_id,
                      .in = stdin,
                      .out = stdout,
                      .err = stderr };
  int code;

  if (curl_global_init (CURL_GLOBAL_DEFAULT) != CURLE_OK)
    {
      fputs ("cuminmux: the HTTP client can't be initialised\n", stderr);
      return MUX_EXIT_UNREACHED;
    }
  code = mux_cli_run (&host, argc, argv);
  curl_global_cleanup ();
  /* A result that could not be written (full disk, closed pipe) must not look
   * like success to a script. */
  if (fflush (stdout) != 0 || ferror (stdout))
    {
      fputs ("cuminmux: the result can't be written\n", stderr);
      return code == MUX_EXIT_OK ? MUX_EXIT_UNKNOWN : code;
    }
  return code;
}
