/* From the moment that a change of configuration is accepted until it is in
 * force at every daemon that runs: 7 daemons over three data centres; then
 * with one of them frozen; then with daemons that do not know each other, so
 * that no hint is sent and each finds the change by its own poll.  Daemons are
 * asked for their revision in a loop, so a figure is late by up to one call
 * to each, which is printed too. */
#include "demo/support/callers.h"
#include "demo/support/cluster.h"
#include "demo/support/http.h"

#include <curl/curl.h>
#include <libgen.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define DAEMONS 7
#define FROZEN 4
#define CHANGES 100
#define READY_MS 20000
#define PRODUCT \
  "{\"quota\":{\"cpu_milli\":%u,\"mem_mib\":0,\"accels\":0,\"slots\":0}}"

static const char *const data_centres[]
    = { "nizwa-hall", "bahla-hall", "izki-hall" };

typedef struct
{
  MuxHttp *http[DAEMONS];
  char addr[DAEMONS][MUX_ADDR_LEN];
  MuxProc *proc[DAEMONS];
} Daemons;

static void
check (bool good, const char *what, const MuxError *err)
{
  if (good)
    return;
  fprintf (stderr, "bench_config: %s: %s\n", what,
           err != NULL ? err->text : "");
  exit (EXIT_FAILURE);
}

static double
now_ms (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return (double) now.tv_sec * 1e3 + (double) now.tv_nsec / 1e6;
}

static uint64_t
revision (Daemons *daemons, uint32_t index)
{
  MuxError err = { 0 };
  json_t *status
      = mux_http_json (daemons->http[index], "GET", daemons->addr[index],
                       "/v1/status", NULL, &err);
  uint64_t found;

  check (status != NULL, "status", &err);
  found = (uint64_t) json_integer_value (json_object_get (status, "revision"));
  json_decref (status);
  return found;
}

static uint64_t
change (Daemons *daemons, uint32_t index, uint32_t number)
{
  char text[256];
  json_t *json;
  json_t *answer;
  MuxError err = { 0 };
  uint64_t accepted;

  snprintf (text, sizeof text, PRODUCT, number);
  json = json_loads (text, 0, NULL);
  answer = mux_http_json (daemons->http[index], "PUT", daemons->addr[index],
                          "/v1/config/product/p", json, &err);
  check (answer != NULL, "change", &err);
  accepted
      = (uint64_t) json_integer_value (json_object_get (answer, "revision"));
  json_decref (answer);
  json_decref (json);
  return accepted;
}

/* Until each daemon but the frozen one shows @wanted. */
static void
await (Daemons *daemons, uint64_t wanted, uint32_t frozen)
{
  for (uint32_t i = 0; i < DAEMONS; i++)
    while (i != frozen && revision (daemons, i) < wanted)
      ;
}

static int
by_size (const void *a, const void *b)
{
  double x = *(const double *) a;
  double y = *(const double *) b;

  return (x > y) - (x < y);
}

static void
measure (Daemons *daemons, const char *name, uint32_t frozen)
{
  static double took[CHANGES];
  static uint32_t number;
  double look;

  for (uint32_t i = 0; i < CHANGES; i++)
    {
      uint32_t at
          = i % DAEMONS == frozen ? (frozen + 1) % DAEMONS : i % DAEMONS;
      uint64_t accepted = change (daemons, at, ++number);
      double from = now_ms ();

      await (daemons, accepted, frozen);
      took[i] = now_ms () - from;
    }
  look = now_ms ();
  await (daemons, 0, frozen);
  look = now_ms () - look;
  qsort (took, CHANGES, sizeof took[0], by_size);
  printf ("config.%s.p50 %.1f ms\n", name, took[CHANGES / 2]);
  printf ("config.%s.p99 %.1f ms\n", name, took[CHANGES - 1 - CHANGES / 100]);
  printf ("config.%s.max %.1f ms\n", name, took[CHANGES - 1]);
  printf ("config.%s.one_look %.1f ms\n", name, look);
  fflush (stdout);
}

static void
open_daemons (Daemons *daemons)
{
  for (uint32_t i = 0; i < DAEMONS; i++)
    {
      daemons->http[i] = mux_http_new ();
      check (daemons->http[i] != NULL, "client", NULL);
    }
}

static void
close_daemons (Daemons *daemons)
{
  for (uint32_t i = 0; i < DAEMONS; i++)
    mux_http_free (daemons->http[i]);
}

static void
with_hints (const MuxClusterOptions *options)
{
  Daemons daemons;
  MuxError err = { 0 };
  MuxCluster *cluster = mux_cluster_new (options, &err);
  double from;

  check (cluster != NULL, "cluster", &err);
  check (mux_cluster_await (cluster, READY_MS, &err), "ready", &err);
  open_daemons (&daemons);
  for (uint32_t i = 0; i < DAEMONS; i++)
    {
      memcpy (daemons.addr[i], cluster->daemon[i].addr, MUX_ADDR_LEN);
      daemons.proc[i] = cluster->daemon[i].proc;
    }
  change (&daemons, 0, 0);
  mux_pause_ms (3000); /* all have heard each other */
  measure (&daemons, "hints", DAEMONS);
  mux_proc_signal (daemons.proc[FROZEN], SIGSTOP);
  measure (&daemons, "one_frozen", FROZEN);
  mux_proc_signal (daemons.proc[FROZEN], SIGCONT);
  from = now_ms ();
  await (&daemons, revision (&daemons, 0), DAEMONS);
  printf ("config.one_frozen.after_waking %.1f ms\n", now_ms () - from);
  close_daemons (&daemons);
  mux_cluster_free (cluster);
}

static void
start_alone (Daemons *daemons, uint32_t index, const MuxCluster *cluster)
{
  char path[MUX_PATH_LEN];
  char log[MUX_PATH_LEN];
  char name[MUX_NAME_LEN];
  char platform[MUX_ADDR_LEN + 8];
  const char *argv[] = { path,
                         "--name",
                         name,
                         "--data-centre",
                         data_centres[index % 3],
                         "--listen",
                         "127.0.0.1:0",
                         "--peer-listen",
                         "127.0.0.1:0",
                         "--platform",
                         platform,
                         NULL };
  MuxProcOptions options = { argv, log, READY_MS, NULL };
  MuxError err = { 0 };

  snprintf (path, sizeof path, "%s/cuminmuxd", cluster->options.bin);
  snprintf (name, sizeof name, "alone-%u", index + 1);
  snprintf (log, sizeof log, "%s/%s.err", cluster->options.scratch, name);
  snprintf (platform, sizeof platform, "http://%s", cluster->platform.addr);
  daemons->proc[index] = mux_proc_start (&options, &err);
  check (daemons->proc[index] != NULL, "daemon", &err);
  check (mux_proc_word (daemons->proc[index], 0, daemons->addr[index],
                        MUX_ADDR_LEN),
         "address", NULL);
}

static void
without_hints (const MuxClusterOptions *options)
{
  MuxClusterOptions platform_only = *options;
  Daemons daemons;
  MuxError err = { 0 };
  MuxCluster *cluster;

  platform_only.daemons = 0;
  cluster = mux_cluster_new (&platform_only, &err);
  check (cluster != NULL, "platform", &err);
  open_daemons (&daemons);
  for (uint32_t i = 0; i < DAEMONS; i++)
    start_alone (&daemons, i, cluster);
  mux_pause_ms (3000); /* all have read the table */
  measure (&daemons, "no_hints", DAEMONS);
  for (uint32_t i = 0; i < DAEMONS; i++)
    mux_proc_free (daemons.proc[i]);
  close_daemons (&daemons);
  mux_cluster_free (cluster);
}

int
main (int argc, char **argv)
{
  char scratch[MUX_PATH_LEN];
  MuxClusterOptions options = { .bin = dirname (dirname (argv[0])),
                                .scratch = scratch,
                                .data_centres = data_centres,
                                .data_centre_count = 3,
                                .daemons = DAEMONS,
                                .workers = 0 };
  MuxError err = { 0 };

  (void) argc;
  curl_global_init (CURL_GLOBAL_ALL);
  mux_proc_guard ();
  check (mux_scratch_new ("bench-config", scratch, sizeof scratch, &err),
         "scratch", &err);
  with_hints (&options);
  without_hints (&options);
  return EXIT_SUCCESS;
}
