/* Measures over separate processes: what a daemon's death, a rolling restart
 * and a leaving worker cost, and the table's writes.  Prints one line
 * "name value unit" each; it judges nothing. */
#include "demo/support/callers.h"
#include "demo/support/cluster.h"
#include "demo/support/http.h"
#include "demo/support/mixed_callers.h"
#include "demo/support/starts.h"

#include <curl/curl.h>
#include <inttypes.h>
#include <libgen.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define DAEMONS 6
#define WORKERS 12
#define DATA_CENTRES 3
/* Few slots and more callers than slots, so that every worker that can be
 * placed on is placed on at once. */
#define SLOTS 2
#define CALLERS 40
#define KILLS 24
#define TRIES 8
#define GIVE_UP_MS 5000
#define START_MS 20000
#define HOLD_MS 20000
#define STOP_MS 40000
#define LOOK_MS 20
#define STEADY_MS 10000
#define LEAVING_MS 6000
#define LEAVING_AFTER_MS 2000
/* After all workers have been claimed again, for starts to come. */
#define PLACED_MS 1500
#define PER_STARTS 1000

static const char *const data_centres[DATA_CENTRES]
    = { "nizwa-hall", "bahla-hall", "izki-hall" };

static const char product[]
    = "{\"quota\":{\"cpu_milli\":0,\"mem_mib\":0,\"accels\":0,\"slots\":0}}";
static const char class_text[]
    = "{\"product\":\"hajar-skies\",\"kind\":\"service\",\"idempotent\":%s,"
      "\"start_within_ms\":1000,\"start_share_ppm\":990000,\"size\":"
      "{\"cpu_milli\":2000,\"mem_mib\":4096,\"accels\":0},\"run_ms\":60}";

/* A worker of the daemon that was killed. */
typedef struct
{
  uint32_t worker;
  uint64_t epoch;
} Held;

typedef struct
{
  int64_t at_ms;
  uint32_t held_count;
  Held held[WORKERS];
} Kill;

typedef struct
{
  char scratch[MUX_PATH_LEN];
  MuxHttp *http;
  MuxCluster *cluster;
  MuxJsonl *log;
  const char *addrs[DAEMONS];
  MuxMixOptions mix;
  Kill kills[KILLS];
} Bench;

static bool
configure (Bench *bench, MuxError *err)
{
  char booking[512];
  char lookup[512];
  const MuxClusterObject objects[]
      = { { "/v1/config/product/hajar-skies", product },
          { "/v1/config/class/basket-booking", booking },
          { "/v1/config/class/seat-lookup", lookup } };

  snprintf (booking, sizeof booking, class_text, "false");
  snprintf (lookup, sizeof lookup, class_text, "true");
  return mux_cluster_configure (bench->cluster, objects,
                                sizeof objects / sizeof objects[0], START_MS,
                                err);
}

static bool
set_up (Bench *bench, const char *bin, MuxError *err)
{
  const MuxClusterOptions options
      = { .bin = bin,
          .scratch = bench->scratch,
          .data_centres = data_centres,
          .data_centre_count = DATA_CENTRES,
          .daemons = DAEMONS,
          .workers = WORKERS,
          .capacity = { 32000, 128 * 1024, 0, SLOTS },
          .linked = true };
  char path[MUX_PATH_LEN + 16];

  bench->http = mux_http_new ();
  if (bench->http == NULL
      || !mux_scratch_new ("failover", bench->scratch, sizeof bench->scratch,
                           err))
    return false;
  snprintf (path, sizeof path, "%s/calls.jsonl", bench->scratch);
  bench->log = mux_jsonl_open (path, err);
  if (bench->log == NULL)
    return false;
  bench->cluster = mux_cluster_new (&options, err);
  if (bench->cluster == NULL)
    return false;
  for (uint32_t i = 0; i < DAEMONS; i++)
    bench->addrs[i] = bench->cluster->daemon[i].addr;
  bench->mix = (MuxMixOptions){ .booking = "basket-booking",
                                .lookup = "seat-lookup",
                                .addrs = bench->addrs,
                                .addr_count = DAEMONS,
                                .threads = CALLERS,
                                .tries = TRIES,
                                .give_up_ms = GIVE_UP_MS,
                                .seed = 1,
                                .log = bench->log };
  return mux_cluster_await (bench->cluster, START_MS, err)
         && configure (bench, err);
}

/* Workers that this daemon holds now. */
static uint32_t
held_by (Bench *bench, const MuxMember *daemon, Held held[WORKERS])
{
  json_t *answer = mux_http_json (bench->http, "GET", daemon->addr,
                                  "/v1/workers", NULL, NULL);
  uint32_t count = 0;
  json_t *row;
  size_t i;

  json_array_foreach (json_object_get (answer, "workers"), i, row)
  {
    const char *name = json_string_value (json_object_get (row, "worker"));

    for (uint32_t j = 0; name != NULL && j < WORKERS && count < WORKERS; j++)
      if (json_is_true (json_object_get (row, "held"))
          && strcmp (name, bench->cluster->worker[j].name) == 0)
        held[count++] = (Held){ j, (uint64_t) json_integer_value (
                                       json_object_get (row, "epoch")) };
  }
  json_decref (answer);
  return count;
}

/* Until every worker is held; @some: and this daemon holds some of them. */
static bool
await_held (Bench *bench, const MuxMember *some, MuxError *err)
{
  int64_t until_ms = mux_mono_ms () + HOLD_MS;

  while (mux_mono_ms () < until_ms)
    {
      uint32_t total = 0;
      bool found = some == NULL;

      for (uint32_t i = 0; i < DAEMONS; i++)
        {
          const MuxMember *daemon = &bench->cluster->daemon[i];
          Held held[WORKERS];
          uint32_t count
              = daemon->proc == NULL ? 0 : held_by (bench, daemon, held);

          total += count;
          found = found || (daemon == some && count > 0);
        }
      if (total == WORKERS && found)
        return true;
      mux_pause_ms (LOOK_MS);
    }
  return mux_error_set (err, MUX_ERROR_UNAVAILABLE,
                        "not all workers are held after %d ms", HOLD_MS);
}

static int64_t
stat_of (Bench *bench, const char *name)
{
  json_t *stats
      = mux_http_json (bench->http, "GET", bench->cluster->platform.addr,
                       "/ctl/stats", NULL, NULL);
  int64_t value = json_integer_value (json_object_get (stats, name));

  json_decref (stats);
  return value;
}

/* @name: of the load, before each measure */
static bool
table_writes (Bench *bench, const char *name, MuxError *err)
{
  MuxMixTally tally = { 0 };
  MuxStarts starts = { 0 };
  int64_t from_ms;
  int64_t to_ms;
  int64_t txns;
  uint32_t count;
  MuxMix *mix = mux_mix_start (&bench->mix, err);

  if (mix == NULL)
    return false;
  mux_pause_ms (PLACED_MS);
  from_ms = mux_mono_ms ();
  txns = stat_of (bench, "txns");
  mux_pause_ms (STEADY_MS);
  txns = stat_of (bench, "txns") - txns;
  to_ms = mux_mono_ms ();
  mux_mix_stop (mix, &tally);
  if (!mux_starts_read (bench->cluster, &starts, err))
    return false;
  count = mux_starts_count (&starts, from_ms, to_ms);
  mux_starts_clear (&starts);
  printf ("%s_starts %.0f per_s\n", name,
          (double) count * 1000 / (double) (to_ms - from_ms));
  printf ("%s_table_writes %.1f per_s\n", name,
          (double) txns * 1000 / (double) (to_ms - from_ms));
  if (count > 0)
    printf ("%s_table_writes_per_1000_starts %.1f writes\n", name,
            (double) txns * PER_STARTS / count);
  return true;
}

static bool
steady (Bench *bench, MuxError *err)
{
  bool ok;

  if (!table_writes (bench, "slow", err))
    return false;
  bench->mix.short_runs = true;
  ok = table_writes (bench, "busy", err);
  bench->mix.short_runs = false;
  return ok;
}

static bool
restart_all (Bench *bench, MuxError *err)
{
  for (uint32_t i = 0; i < DAEMONS; i++)
    {
      MuxMember *daemon = &bench->cluster->daemon[i];

      mux_proc_signal (daemon->proc, SIGTERM);
      if (!mux_proc_wait (daemon->proc, STOP_MS, NULL))
        return mux_error_set (err, MUX_ERROR_UNAVAILABLE,
                              "%s did not end after %d ms", daemon->name,
                              STOP_MS);
      mux_cluster_kill (daemon);
      if (!mux_cluster_start_daemon (bench->cluster, i, err)
          || !mux_cluster_await (bench->cluster, START_MS, err))
        return false;
    }
  return true;
}

static bool
rolling (Bench *bench, MuxError *err)
{
  MuxMixTally tally = { 0 };
  int64_t from_ms = mux_mono_ms ();
  MuxMix *mix = mux_mix_start (&bench->mix, err);
  bool ok;

  if (mix == NULL)
    return false;
  ok = restart_all (bench, err);
  mux_mix_stop (mix, &tally);
  printf ("rolling_restart_time %" PRId64 " ms\n", mux_mono_ms () - from_ms);
  printf ("rolling_restart_requests %u requests\n", tally.calls);
  printf ("rolling_restart_resubmissions %u submissions\n",
          tally.submissions - tally.calls);
  printf ("rolling_restart_no_answer %u submissions\n", tally.none);
  printf ("rolling_restart_unknown %u submissions\n", tally.unknown);
  printf ("rolling_restart_lost %u requests\n", tally.not_done);
  return ok;
}

/* One worker of each data centre is drained under load, then given back. */
static bool
leaving (Bench *bench, MuxError *err)
{
  MuxMixTally tally = { 0 };
  MuxStarts starts = { 0 };
  int64_t drained_ms[DATA_CENTRES];
  int64_t until_ms;
  int64_t last_ms = 0;
  uint32_t late = 0;
  char path[96];
  json_t *answer;
  MuxMix *mix = mux_mix_start (&bench->mix, err);

  if (mix == NULL)
    return false;
  mux_pause_ms (PLACED_MS);
  for (uint32_t i = 0; i < DATA_CENTRES; i++)
    {
      snprintf (path, sizeof path, "/v1/workers/%s/drain",
                bench->cluster->worker[i].name);
      answer = mux_http_json (bench->http, "POST", bench->addrs[0], path, NULL,
                              err);
      drained_ms[i] = mux_mono_ms ();
      json_decref (answer);
      if (answer == NULL)
        return false;
    }
  mux_pause_ms (LEAVING_MS);
  until_ms = mux_mono_ms ();
  mux_mix_stop (mix, &tally);
  if (!mux_starts_read (bench->cluster, &starts, err))
    return false;
  for (uint32_t i = 0; i < starts.count; i++)
    {
      const MuxStart *start = &starts.item[i];
      int64_t after_ms;

      if (start->worker >= DATA_CENTRES || start->at_ms >= until_ms)
        continue;
      after_ms = start->at_ms - drained_ms[start->worker];
      if (after_ms > last_ms)
        last_ms = after_ms;
      if (after_ms > LEAVING_AFTER_MS)
        late++;
    }
  mux_starts_clear (&starts);
  printf ("leaving_last_start %" PRId64 " ms\n", last_ms);
  printf ("leaving_starts_after_2s %u starts\n", late);
  for (uint32_t i = 0; i < DATA_CENTRES; i++)
    {
      snprintf (path, sizeof path, "/v1/workers/%s/undrain",
                bench->cluster->worker[i].name);
      json_decref (mux_http_json (bench->http, "POST", bench->addrs[0], path,
                                  NULL, err));
    }
  return true;
}

static bool
set_store_down (Bench *bench, bool down, MuxError *err)
{
  json_t *json = json_pack ("{s:b}", "down", down);
  json_t *answer = mux_http_json (
      bench->http, "POST", bench->cluster->platform.addr, "/ctl", json, err);

  json_decref (json);
  json_decref (answer);
  return answer != NULL;
}

static bool
kill_one (Bench *bench, uint32_t round, MuxError *err)
{
  MuxMember *victim = &bench->cluster->daemon[round % DAEMONS];
  Kill *kill = &bench->kills[round];

  kill->held_count = held_by (bench, victim, kill->held);
  kill->at_ms = mux_mono_ms ();
  mux_cluster_kill (victim);
  mux_jsonl_write (bench->log,
                   json_pack ("{s:s, s:s, s:I}", "event", "killed", "daemon",
                              victim->name, "t_ms", (json_int_t) kill->at_ms));
  if (!await_held (bench, NULL, err))
    return false;
  mux_pause_ms (PLACED_MS);
  return mux_cluster_start_daemon (bench->cluster, round % DAEMONS, err)
         && mux_cluster_await (bench->cluster, START_MS, err)
         && await_held (bench, kill->held_count > 0 ? victim : NULL, err);
}

/* Until the last of its workers got a start under a later claim; -1: never
 * before the run's end, or it held none. */
static int64_t
placed_after (const Kill *kill, const MuxStarts *starts)
{
  int64_t last_ms = -1;

  for (uint32_t i = 0; i < kill->held_count; i++)
    {
      const MuxStart *first = NULL;

      for (uint32_t j = 0; first == NULL && j < starts->count; j++)
        if (starts->item[j].worker == kill->held[i].worker
            && starts->item[j].epoch > kill->held[i].epoch)
          first = &starts->item[j];
      if (first == NULL)
        return -1;
      if (first->at_ms - kill->at_ms > last_ms)
        last_ms = first->at_ms - kill->at_ms;
    }
  return last_ms;
}

static int
by_value (const void *a, const void *b)
{
  const int64_t *x = a;
  const int64_t *y = b;

  return (*x > *y) - (*x < *y);
}

static void
print_failover (const Bench *bench, const MuxStarts *starts)
{
  int64_t times[KILLS];
  uint32_t count = 0;
  uint32_t never = 0;

  for (uint32_t i = 0; i < KILLS; i++)
    {
      int64_t after_ms = placed_after (&bench->kills[i], starts);

      if (after_ms >= 0)
        times[count++] = after_ms;
      else if (bench->kills[i].held_count > 0)
        never++;
    }
  printf ("failover_kills %d kills\n", KILLS);
  printf ("failover_kills_of_owners %u kills\n", count + never);
  printf ("failover_never_placed %u kills\n", never);
  if (count == 0)
    return;
  qsort (times, count, sizeof times[0], by_value);
  printf ("failover_p50 %" PRId64 " ms\n", times[count / 2]);
  printf ("failover_p99 %" PRId64 " ms\n", times[(count * 99 + 99) / 100 - 1]);
  printf ("failover_max %" PRId64 " ms\n", times[count - 1]);
}

static bool
failover (Bench *bench, MuxError *err)
{
  MuxMixTally tally = { 0 };
  MuxStarts starts = { 0 };
  MuxMix *mix;
  bool ok = set_store_down (bench, true, err);

  bench->mix.sort = MUX_MIX_LOOKUPS;
  mix = ok ? mux_mix_start (&bench->mix, err) : NULL;
  if (mix == NULL)
    return false;
  mux_pause_ms (PLACED_MS);
  for (uint32_t i = 0; ok && i < KILLS; i++)
    ok = kill_one (bench, i, err);
  mux_mix_stop (mix, &tally);
  if (!ok || !mux_starts_read (bench->cluster, &starts, err))
    return false;
  print_failover (bench, &starts);
  mux_starts_clear (&starts);
  return true;
}

int
main (int argc, char **argv)
{
  Bench bench = { 0 };
  MuxError err = { 0 };
  bool ok;

  (void) argc;
  setvbuf (stdout, NULL, _IOLBF, 0);
  mux_proc_guard ();
  curl_global_init (CURL_GLOBAL_DEFAULT);
  ok = set_up (&bench, dirname (argv[0]), &err);
  bench.mix.sort = MUX_MIX_BOOKINGS;
  ok = ok && await_held (&bench, NULL, &err) && steady (&bench, &err)
       && rolling (&bench, &err) && leaving (&bench, &err)
       && failover (&bench, &err);
  if (!ok)
    fprintf (stderr, "failover: %s\n", err.text);
  mux_cluster_free (bench.cluster);
  mux_jsonl_close (bench.log);
  mux_http_free (bench.http);
  return ok ? 0 : 1;
}
