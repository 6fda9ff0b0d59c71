#include "standin/platform_server.h"

#include <argtable2.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <ulfius.h>

#define DEFAULT_WRITE_MS 2
#define DEFAULT_LIST_LAG_MS 2000

typedef struct
{
  struct arg_str *listen;
  struct arg_int *read_ms;
  struct arg_int *write_ms;
  struct arg_int *list_lag_ms;
  struct arg_end *end;
} Flags;

static void
free_flags (Flags *flags)
{
  void *table[] = { flags->listen, flags->read_ms, flags->write_ms,
                    flags->list_lag_ms, flags->end };

  arg_freetable (table, sizeof table / sizeof table[0]);
}

static bool
read_flags (Flags *flags, int argc, char **argv)
{
  void *table[] = {
    flags->listen = arg_str1 (NULL, "listen", "IP:PORT", "port 0: any"),
    flags->read_ms = arg_int0 (NULL, "read-ms", "MS", "latency of reads"),
    flags->write_ms = arg_int0 (NULL, "write-ms", "MS", "latency of writes"),
    flags->list_lag_ms
    = arg_int0 (NULL, "list-lag-ms", "MS", "lag of the instance list"),
    flags->end = arg_end (8),
  };

  if (arg_nullcheck (table) != 0)
    return false;
  flags->read_ms->ival[0] = 0;
  flags->write_ms->ival[0] = DEFAULT_WRITE_MS;
  flags->list_lag_ms->ival[0] = DEFAULT_LIST_LAG_MS;
  if (arg_parse (argc, argv, table) == 0 && flags->read_ms->ival[0] >= 0
      && flags->write_ms->ival[0] >= 0 && flags->list_lag_ms->ival[0] >= 0)
    return true;
  arg_print_errors (stderr, flags->end, argv[0]);
  fprintf (stderr, "usage: %s", argv[0]);
  arg_print_syntax (stderr, table, "\n");
  return false;
}

static void
wait_for_signal (const sigset_t *set)
{
  int got;

  while (sigwait (set, &got) != 0)
    ;
}

static int
serve (const Flags *flags, const sigset_t *set)
{
  StandinPlatformOptions platform_options
      = { .list_lag_ms = (uint32_t) flags->list_lag_ms->ival[0] };
  StandinPlatformServerOptions options = {
    .platform = standin_platform_new (&platform_options),
    .faults = standin_platform_faults_new (),
    .listen = flags->listen->sval[0],
    .read_ms = (uint32_t) flags->read_ms->ival[0],
    .write_ms = (uint32_t) flags->write_ms->ival[0],
  };
  StandinPlatformServer *server = NULL;
  MuxError err = { 0 };

  if (options.platform == NULL || options.faults == NULL)
    mux_error_set (&err, MUX_ERROR_MEMORY, "out of memory");
  else
    server = standin_platform_server_new (&options, &err);
  if (server != NULL)
    {
      printf ("listening %s\n", standin_platform_server_addr (server));
      fflush (stdout);
      wait_for_signal (set);
    }
  else
    fprintf (stderr, "%s\n", err.text);
  standin_platform_server_free (server);
  standin_platform_faults_free (options.faults);
  standin_platform_free (options.platform);
  return err.code == MUX_ERROR_NONE ? EXIT_SUCCESS : EXIT_FAILURE;
}

int
main (int argc, char **argv)
{
  Flags flags;
  sigset_t set;
  int status;

  if (!read_flags (&flags, argc, argv))
    {
      free_flags (&flags);
      return EXIT_FAILURE;
    }
  /* Before any thread starts, so that all of them leave signals to main. */
  sigemptyset (&set);
  sigaddset (&set, SIGTERM);
  sigaddset (&set, SIGINT);
  pthread_sigmask (SIG_BLOCK, &set, NULL);
  signal (SIGPIPE, SIG_IGN);
  status = serve (&flags, &set);
  free_flags (&flags);
  return status;
}
