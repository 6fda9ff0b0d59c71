#include "run.h"

#include "adapter/platform.h"
#include "adapter/worker.h"
#include "base/address.h"
#include "clock.h"
#include "core_thread.h"
#include "pem.h"
#include "process.h"
#include "pending_calls.h"

#include <inttypes.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/random.h>
#include <time.h>

#define EXIT_FAILED 1
#define KIB 1024
#define NS_PER_MS 1000000L
#define WORKER_QUEUE 4096
#define PLATFORM_QUEUE 256
#define PEER_QUEUE 4096
#define PEER_RING 4096
/* Silence timeout of a link between daemons, in heartbeat intervals.  A working
 * link carries a heartbeat more often than that. */
#define SILENCE_TIMEOUT_HEARTBEATS 4
/* Time from the close of the listening socket until the requests of all
 * accepted connections have arrived: some tens of a caller's round trips. */
#define LINGER_MS 200
/* Time to write the responses of the callers whose wait the stop ended. */
#define FAIL_PENDING_MS 1000

typedef struct
{
  const MuxDaemonOptions *options;
  MuxCounters *counters;
  MuxDaemonInbox *inbox;
  MuxWorkerPort *worker;
  MuxPlatformPort *platform;
  MuxPeerPort *peer;
  MuxCoreThread *core;
  MuxHttpServer *server;
  char *tls_cert;
  char *tls_key;
  char listen[MUX_ADDR_LEN];
  char peer_listen[MUX_ADDR_LEN];
} Daemon;

static uint32_t
power_of_two_over (uint32_t n)
{
  uint32_t size = 2;

  while (size <= n)
    size *= 2;
  return size;
}

/* Calls queued in the adapter or in flight.  A reply ring with this many slots
 * has room for the reply to each. */
static uint32_t
worker_calls_max (const MuxDaemonOptions *options)
{
  return 2 * WORKER_QUEUE + options->worker_threads
         + options->worker_control_threads;
}

static uint32_t
table_calls_max (const MuxDaemonOptions *options)
{
  return PLATFORM_QUEUE + options->platform_threads;
}

static bool
make_inbox (Daemon *daemon, MuxError *err)
{
  MuxInboxOptions options = {
    .counters = daemon->counters,
    /* Every caller has at most one request in the ring. */
    .requests = power_of_two_over (
        2 * (daemon->options->callers_max + MUX_PENDING_CALLS_RESERVED)),
    .peers = PEER_RING,
    .worker_replies = power_of_two_over (worker_calls_max (daemon->options)),
    .table_replies = power_of_two_over (table_calls_max (daemon->options)),
  };

  daemon->inbox = mux_inbox_new (&options);
  if (daemon->inbox == NULL)
    return mux_error_set (err, MUX_ERROR_MEMORY,
                          "out of memory for the event rings");
  return true;
}

static bool
make_worker (Daemon *daemon, MuxError *err)
{
  MuxWorkerHttpOptions options = {
    .inbox = mux_inbox_port (daemon->inbox),
    .threads = daemon->options->worker_threads,
    .control_threads = daemon->options->worker_control_threads,
    .queue = WORKER_QUEUE,
    .counters = daemon->counters,
  };

  daemon->worker = mux_worker_http_new (&options, err);
  return daemon->worker != NULL;
}

static bool
make_platform (Daemon *daemon, MuxError *err)
{
  MuxPlatformHttpOptions options = {
    .inbox = mux_inbox_port (daemon->inbox),
    .url = daemon->options->platform_url,
    .name = daemon->options->name,
    .data_centre = daemon->options->data_centre,
    .threads = daemon->options->platform_threads,
    .queue = PLATFORM_QUEUE,
    .list_interval_ms = daemon->options->list_interval_ms,
    .counters = daemon->counters,
  };

  if (*daemon->options->platform_url == 0)
    return true;
  daemon->platform = mux_platform_http_new (&options, err);
  return daemon->platform != NULL;
}

static bool
make_peer (Daemon *daemon, MuxError *err)
{
  MuxPeerZmqOptions options = mux_peer_options (daemon->options);

  options.inbox = mux_inbox_port (daemon->inbox);
  options.queue = PEER_QUEUE;
  options.silence_timeout_ms
      = SILENCE_TIMEOUT_HEARTBEATS * daemon->options->heartbeat_ms;
  options.counters = daemon->counters;
  daemon->peer = mux_peer_zmq_new (&options, daemon->peer_listen, err);
  return daemon->peer != NULL;
}

static bool
make_core (Daemon *daemon, MuxError *err)
{
  const MuxDaemonOptions *given = daemon->options;
  uint64_t seed;
  MuxCoreThreadOptions options = {
    .inbox = daemon->inbox,
    .worker = daemon->worker,
    .worker_calls_max = worker_calls_max (given),
    .platform = daemon->platform,
    .table_calls_max = table_calls_max (given),
    .peer = daemon->peer,
    .core = {
      .counters = daemon->counters,
      .name = given->name,
      .data_centre = given->data_centre,
      .peer_addr = *given->peer_advertise != 0 ? given->peer_advertise
                                               : daemon->peer_listen,
      .incarnation = (uint64_t) mux_wall_ms (),
      .seeds = given->seeds,
      .seed_count = given->seed_count,
      .lease_ms = given->lease_ms,
      .heartbeat_ms = given->heartbeat_ms,
      .suspect_ms = given->suspect_ms,
      .dead_ms = given->dead_ms,
      .queue_max = given->queue_max,
      .writes_per_s = given->writes_per_s,
      .key_keep_s = given->key_retention_s,
      /* A secret that all daemons of a user share, and nobody else has. */
      .ticket_key = given->curve_secret_key,
    },
  };

  if (getrandom (&seed, sizeof seed, 0) != sizeof seed)
    return mux_error_set (err, MUX_ERROR_IO, "can't read a random seed");
  options.core.seed = seed;
  daemon->core = mux_core_thread_new (&options, err);
  return daemon->core != NULL;
}

static bool
make_server (Daemon *daemon, MuxError *err)
{
  const MuxDaemonOptions *given = daemon->options;
  MuxHttpServerOptions options = {
    .backend = mux_core_thread_backend (daemon->core),
    .counters = daemon->counters,
    .listen = given->listen,
    .callers_max = given->callers_max,
    .idle_timeout_s = given->caller_idle_timeout_s,
    .receive_timeout_s = given->receive_timeout_s,
    .body_max_bytes = given->body_max_kib * KIB,
    .memory_bytes = given->request_memory_bytes,
    .tls_cert = daemon->tls_cert,
    .tls_key = daemon->tls_key,
  };

  daemon->server = mux_http_server_new (&options, err);
  return daemon->server != NULL;
}

static bool
read_tls (Daemon *daemon, MuxError *err)
{
  if (*daemon->options->tls_cert_file == 0)
    return true;
  daemon->tls_cert = mux_pem_read (daemon->options->tls_cert_file, err);
  if (daemon->tls_cert == NULL)
    return false;
  daemon->tls_key = mux_pem_read (daemon->options->tls_key_file, err);
  return daemon->tls_key != NULL;
}

static bool
start (Daemon *daemon, MuxError *err)
{
  daemon->counters = mux_counters_new ();
  if (daemon->counters == NULL)
    return mux_error_set (err, MUX_ERROR_MEMORY, "out of memory for counters");
  return read_tls (daemon, err) && make_inbox (daemon, err)
         && make_worker (daemon, err) && make_platform (daemon, err)
         && make_peer (daemon, err) && make_core (daemon, err)
         && make_server (daemon, err)
         && mux_core_thread_start (daemon->core, daemon->server, err)
         && mux_http_server_listen (daemon->server, daemon->listen, err);
}

/*
 * The HTTP server stops first, so that no request arrives; then the core
 * thread, so that it makes no call; then the adapters, whose threads may push
 * replies until they have ended.  The events left in the rings are freed last.
 */
static void
daemon_free (Daemon *daemon)
{
  if (daemon->server != NULL)
    mux_http_server_fail_pending (daemon->server);
  if (daemon->server != NULL
      && !mux_http_server_drain (daemon->server, FAIL_PENDING_MS))
    mux_log (MUX_LOG_WARNING, "answers_cut", "after_ms=%d", FAIL_PENDING_MS);
  mux_http_server_stop (daemon->server);
  if (daemon->core != NULL)
    mux_core_thread_join (daemon->core);
  if (daemon->peer != NULL)
    daemon->peer->free (daemon->peer);
  if (daemon->platform != NULL)
    daemon->platform->free (daemon->platform);
  if (daemon->worker != NULL)
    daemon->worker->free (daemon->worker);
  mux_core_thread_free (daemon->core);
  mux_http_server_free (daemon->server);
  mux_inbox_free (daemon->inbox);
  mux_counters_free (daemon->counters);
  free (daemon->tls_cert);
  free (daemon->tls_key);
}

static void
linger (void)
{
  struct timespec time = { .tv_nsec = LINGER_MS * NS_PER_MS };

  nanosleep (&time, NULL);
}

/*
 * A planned stop cuts off no response: new work is refused, the core finishes
 * what runs, and every request in flight gets its response, all within one
 * timeout.  A caller whose connection was accepted just before the listening
 * socket closed would see it closed without a response and could not know
 * whether its request ran.  So the process lingers until such requests have
 * arrived and are refused with a reason.
 */
static void
stop_gracefully (Daemon *daemon)
{
  int64_t end_ms = mux_boottime_ms () + daemon->options->stop_timeout_ms;
  bool stopped;
  int64_t left_ms;

  mux_log (MUX_LOG_NOTICE, "stop_begun", "bound_ms=%" PRIu32,
           daemon->options->stop_timeout_ms);
  mux_http_server_begin_drain (daemon->server);
  mux_core_thread_stop_work (daemon->core);
  stopped = mux_core_thread_wait_stopped (daemon->core,
                                          daemon->options->stop_timeout_ms);
  if (stopped)
    {
      mux_http_server_stop_accepting (daemon->server);
      linger ();
    }
  left_ms = end_ms - mux_boottime_ms ();
  if (stopped)
    stopped = mux_http_server_drain (daemon->server,
                                     left_ms > 0 ? (uint32_t) left_ms : 0);
  mux_log (stopped ? MUX_LOG_NOTICE : MUX_LOG_WARNING, "stop_ended", "whole=%s",
           stopped ? "yes" : "no");
}

/* Without keys, messages of anyone who reaches the peer port are accepted, and
 * tickets are signed with a key that everybody knows. */
static void
warn_without_keys (const Daemon *daemon)
{
  if (*daemon->options->curve_secret_key == 0
      && !mux_address_is_loopback (daemon->peer_listen))
    mux_log (MUX_LOG_WARNING, "peers_unchecked", "peer=%s keys=none",
             daemon->peer_listen);
}

int
mux_daemon_run (const MuxDaemonOptions *options)
{
  Daemon daemon = { .options = options };
  MuxError err = { MUX_ERROR_NONE, "" };
  sigset_t signals;

  mux_block_signals (&signals);
  if (!start (&daemon, &err))
    {
      mux_log (MUX_LOG_ERR, "start_failed", "error=\"%s\"", err.text);
      daemon_free (&daemon);
      return EXIT_FAILED;
    }
  mux_log (MUX_LOG_NOTICE, "started", "name=%s listen=%s peer=%s",
           options->name, daemon.listen, daemon.peer_listen);
  warn_without_keys (&daemon);
  printf ("listening %s peer %s\n", daemon.listen, daemon.peer_listen);
  fflush (stdout);
  mux_wait_for_stop_signal (&signals);
  stop_gracefully (&daemon);
  daemon_free (&daemon);
  return EXIT_SUCCESS;
}
