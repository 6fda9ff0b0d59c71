#include "standin/worker_register.h"
#include "standin/worker_server.h"

#include <argtable2.h>
#include <fcntl.h>
#include <inttypes.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/random.h>
#include <ulfius.h>
#include <unistd.h>

typedef struct
{
  struct arg_str *name, *listen, *capacity, *platform, *data_centre, *rack;
  struct arg_file *log;
  struct arg_int *retain_ms, *run_ms, *grace_ms, *usage_lag_ms;
  struct arg_end *end;
} Flags;

static void
set_defaults (Flags *flags)
{
  flags->name->sval[0] = "worker";
  flags->listen->sval[0] = "127.0.0.1:0";
  flags->capacity->sval[0] = "32000,131072,0,8";
  flags->data_centre->sval[0] = "dc-a";
  flags->rack->sval[0] = "rack-1";
  flags->retain_ms->ival[0] = 600000;
  flags->run_ms->ival[0] = 20;
  flags->grace_ms->ival[0] = 10000;
  flags->usage_lag_ms->ival[0] = 2000;
}

static bool
read_flags (Flags *flags, int argc, char **argv)
{
  void *table[] = {
    flags->name = arg_str0 (NULL, "name", "NAME", "worker's name"),
    flags->listen = arg_str0 (NULL, "listen", "IP:PORT", "port 0: any"),
    flags->capacity
    = arg_str0 (NULL, "capacity", "CPU_MILLI,MEM_MIB,ACCELS,SLOTS", NULL),
    flags->log = arg_file0 (NULL, "log", "FILE", "execution log"),
    flags->platform = arg_str0 (NULL, "platform", "URL", "register there"),
    flags->data_centre = arg_str0 (NULL, "data-centre", "NAME", NULL),
    flags->rack = arg_str0 (NULL, "rack", "NAME", NULL),
    flags->retain_ms = arg_int0 (NULL, "retain-ms", "MS", "keep answers"),
    flags->run_ms = arg_int0 (NULL, "run-ms", "MS", "default run time"),
    flags->grace_ms
    = arg_int0 (NULL, "grace-ms", "MS", "tasks outlive a lapsed lease"),
    flags->usage_lag_ms = arg_int0 (NULL, "usage-lag-ms", "MS", NULL),
    flags->end = arg_end (8),
  };

  if (arg_nullcheck (table) != 0)
    return false;
  set_defaults (flags);
  if (arg_parse (argc, argv, table) == 0)
    return true;
  arg_print_errors (stderr, flags->end, argv[0]);
  arg_print_glossary (stderr, table, "  %-40s %s\n");
  return false;
}

static bool
read_options (const Flags *flags, StandinWorkerServerOptions *options)
{
  StandinWorkerOptions *worker = &options->worker;
  MuxSize *size = &worker->capacity;

  memset (options, 0, sizeof *options);
  worker->name = flags->name->sval[0];
  worker->retain_ms = (uint32_t) flags->retain_ms->ival[0];
  worker->run_ms = (uint32_t) flags->run_ms->ival[0];
  worker->grace_ms = (uint32_t) flags->grace_ms->ival[0];
  worker->usage_lag_ms = (uint32_t) flags->usage_lag_ms->ival[0];
  options->listen = flags->listen->sval[0];
  options->log_fd = -1;
  if (getrandom (&worker->incarnation, sizeof worker->incarnation, 0) < 0)
    return false;
  /* JSON readers hold integers of 63 bits. */
  worker->incarnation = worker->incarnation >> 1 | 1;
  if (flags->log->count > 0)
    options->log_fd = open (flags->log->filename[0],
                            O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0666);
  return mux_name_valid (worker->name)
         && sscanf (flags->capacity->sval[0],
                    "%" SCNu32 ",%" SCNu32 ",%" SCNu32 ",%" SCNu32,
                    &size->cpu_milli, &size->mem_mib, &size->accels,
                    &size->slots)
                == 4
         && (flags->log->count == 0 || options->log_fd >= 0);
}

static void
on_leaving (void *ctx, bool leaving)
{
  standin_worker_register (ctx, leaving ? "leaving" : "live");
}

static int
serve (const Flags *flags, StandinWorkerServerOptions options)
{
  StandinRegistration registration
      = { NULL, options.worker.name, flags->data_centre->sval[0],
          flags->rack->sval[0], NULL };
  StandinWorkerServer *server;
  MuxError err = { 0 };
  sigset_t ends;
  int signal_number;

  sigemptyset (&ends);
  sigaddset (&ends, SIGTERM);
  sigaddset (&ends, SIGINT);
  pthread_sigmask (SIG_BLOCK, &ends, NULL);
  signal (SIGPIPE, SIG_IGN);
  if (flags->platform->count > 0)
    {
      registration.platform = flags->platform->sval[0];
      options.on_leaving = on_leaving;
      options.ctx = &registration;
    }
  server = standin_worker_server_new (&options, &err);
  if (server == NULL)
    {
      fprintf (stderr, "standin-worker: %s\n", err.text);
      return EXIT_FAILURE;
    }
  registration.addr = standin_worker_server_addr (server);
  printf ("listening %s\n", registration.addr);
  fflush (stdout);
  if (registration.platform != NULL
      && !standin_worker_register (&registration, "live"))
    fprintf (stderr, "standin-worker: can't register at %s\n",
             registration.platform);
  sigwait (&ends, &signal_number);
  standin_worker_server_free (server);
  return EXIT_SUCCESS;
}

int
main (int argc, char **argv)
{
  StandinWorkerServerOptions options;
  Flags flags;

  if (!read_flags (&flags, argc, argv) || !read_options (&flags, &options))
    {
      fprintf (stderr, "standin-worker: wrong flags\n");
      return EXIT_FAILURE;
    }
  ulfius_global_init ();
  return serve (&flags, options);
}
