#include "cell_run.h"

#include "base/log.h"
#include "cell_thread.h"
#include "clock.h"
#include "platform/platform.h"
#include "process.h"

#include <inttypes.h>
#include <signal.h>
#include <stdlib.h>
#include <sys/random.h>
#include <time.h>

#define EXIT_FAILED 1
#define CALL_QUEUE 8192
#define EVENT_QUEUE 16384
#define PEER_QUEUE 4096
#define LOG_QUEUE 4096
#define LOG_RATE_LIMIT_PER_S 200
/* A link between daemons without an echo for this long is replaced.  It carries
 * a hello four times a second. */
#define PEER_SILENCE_TIMEOUT_MS 1000
/* Time from the begin of a stop until the listening socket closes.  The
 * platform polls readiness once a second and stops routing callers here within
 * two polls. */
#define LINGER_MS 2600
/* Time after that for the responses that are still under way. */
#define DRAIN_MS 1200

typedef struct
{
  const MuxDaemonOptions *options;
  MuxCounters *counters;
  MuxEventLog *log;
  MuxCellThread *thread;
  MuxCellPort *platform;
  MuxPeerPort *peer;
  MuxPlatformServer *server;
  char peer_listen[MUX_ADDR_LEN];
} CellDaemon;

static bool
make_log (CellDaemon *daemon, MuxError *err)
{
  MuxEventLogOptions options = { .name = daemon->options->name,
                                 .queue = LOG_QUEUE,
                                 .rate_limit_per_s = LOG_RATE_LIMIT_PER_S };

  daemon->counters = mux_counters_new ();
  daemon->log = mux_event_log_new (&options);
  if (daemon->counters != NULL && daemon->log != NULL)
    return true;
  return mux_error_set (err, MUX_ERROR_MEMORY,
                        "out of memory for the event log");
}

static bool
make_thread (CellDaemon *daemon, MuxError *err)
{
  const MuxDaemonOptions *given = daemon->options;
  uint64_t random[2];
  MuxCellThreadOptions options = {
    .log = daemon->log,
    .queue = EVENT_QUEUE,
    .cell = {
      .counters = daemon->counters,
      .name = given->name,
      .data_centre = given->data_centre,
      .peer_addr = *given->peer_advertise != 0 ? given->peer_advertise
                                               : given->peer_listen,
      .lease_ms = given->lease_ms,
      .dead_ms = given->dead_ms,
      .cpu_share_milli = given->cpu_share_milli,
      .link_kbps = given->link_kbps,
      .memory_mib = given->memory_mib,
      .revoke_timeout_ms = given->revoke_timeout_ms,
      .quota_overrun_milli = given->quota_overrun_milli,
      .ended_retention_s = given->key_retention_s,
    },
  };

  if (getrandom (random, sizeof random, 0) != sizeof random)
    return mux_error_set (err, MUX_ERROR_IO, "can't read random numbers");
  options.cell.seed = random[0];
  /* Later processes have higher numbers.  The random low bits distinguish two
   * processes that started in the same millisecond. */
  options.cell.incarnation
      = ((uint64_t) mux_wall_ms () << 16 & INT64_MAX) | (random[1] & 0xffff);
  daemon->thread = mux_cell_thread_new (&options, err);
  return daemon->thread != NULL;
}

static bool
make_platform (CellDaemon *daemon, MuxError *err)
{
  MuxPlatformOptions options = {
    .inbox = mux_cell_thread_platform_inbox (daemon->thread),
    .store = daemon->options->store,
    .approvals = daemon->options->approvals,
    .queue = CALL_QUEUE,
    .counters = daemon->counters,
  };

  daemon->platform = mux_platform_new (&options, err);
  return daemon->platform != NULL;
}

static bool
make_peer (CellDaemon *daemon, MuxError *err)
{
  MuxPeerZmqOptions options = mux_peer_options (daemon->options);

  options.inbox = mux_cell_thread_peer_inbox (daemon->thread);
  options.queue = PEER_QUEUE;
  options.silence_timeout_ms = PEER_SILENCE_TIMEOUT_MS;
  options.counters = daemon->counters;
  daemon->peer = mux_peer_zmq_new (&options, daemon->peer_listen, err);
  return daemon->peer != NULL;
}

static bool
make_server (CellDaemon *daemon, MuxError *err)
{
  MuxPlatformServerOptions options = {
    .backend = mux_cell_thread_backend (daemon->thread),
    .counters = daemon->counters,
    .listen = daemon->options->listen,
    .ready_listen = daemon->options->ready_listen,
    .metrics_listen = daemon->options->metrics_listen,
    .callers_max = daemon->options->callers_max,
    .memory_bytes = daemon->options->request_memory_bytes,
    .receive_timeout_s = daemon->options->receive_timeout_s,
  };

  daemon->server = mux_platform_server_new (&options, err);
  return daemon->server != NULL;
}

static bool
start (CellDaemon *daemon, MuxError *err)
{
  return make_log (daemon, err) && make_thread (daemon, err)
         && make_platform (daemon, err) && make_peer (daemon, err)
         && mux_cell_thread_start (daemon->thread, daemon->platform,
                                   daemon->peer, err)
         && make_server (daemon, err);
}

/* The HTTP server ends first, then the cell thread, then the adapters that it
 * calls.  The events left in the rings are freed last. */
static void
cell_daemon_free (CellDaemon *daemon)
{
  mux_platform_server_free (daemon->server);
  if (daemon->thread != NULL)
    mux_cell_thread_join (daemon->thread);
  if (daemon->peer != NULL)
    daemon->peer->free (daemon->peer);
  if (daemon->platform != NULL)
    daemon->platform->free (daemon->platform);
  mux_cell_thread_free (daemon->thread);
  mux_event_log_free (daemon->log);
  mux_counters_free (daemon->counters);
}

static void
linger (void)
{
  struct timespec time
      = { .tv_sec = LINGER_MS / 1000, .tv_nsec = LINGER_MS % 1000 * 1000000L };

  nanosleep (&time, NULL);
}

static void
stop_gracefully (CellDaemon *daemon)
{
  mux_log (MUX_LOG_NOTICE, "stop_begun", "linger_ms=%d", LINGER_MS);
  mux_platform_server_begin_drain (daemon->server);
  mux_cell_thread_stop_work (daemon->thread);
  linger ();
  mux_platform_server_drain (daemon->server, DRAIN_MS);
  mux_log (MUX_LOG_NOTICE, "stop_ended", "name=%s", daemon->options->name);
}

int
mux_cell_run (const MuxDaemonOptions *options)
{
  CellDaemon daemon = { .options = options };
  MuxError err = { MUX_ERROR_NONE, "" };
  sigset_t signals;

  mux_block_signals (&signals);
  if (!start (&daemon, &err))
    {
      mux_log (MUX_LOG_ERR, "start_failed", "error=\"%s\"", err.text);
      cell_daemon_free (&daemon);
      return EXIT_FAILED;
    }
  mux_log (MUX_LOG_NOTICE, "started", "name=%s listen=%s peer=%s store=%s",
           options->name, options->listen, daemon.peer_listen, options->store);
  mux_wait_for_stop_signal (&signals);
  stop_gracefully (&daemon);
  cell_daemon_free (&daemon);
  return EXIT_SUCCESS;
}
