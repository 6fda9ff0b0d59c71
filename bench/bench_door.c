/* Requests through one daemon against the same calls made directly to worker
 * stand-ins, in one run: the ratio of throughputs and what the daemon adds at
 * p50 and p99, with 1, 32 and 256 callers. */
#include "demo/support/callers.h"
#include "demo/support/cluster.h"
#include "demo/support/http.h"

#include <curl/curl.h>
#include <libgen.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define WORKERS 4
#define SLOTS 128u
#define CALLERS_MAX 256
#define READY_MS 20000
#define TIMEOUT_MS 30000
#define BODY "run_ms=1\nseat 12, dawn flight"
#define CLASS                                                    \
  "{\"product\":\"p\",\"kind\":\"service\",\"idempotent\":true," \
  "\"start_within_ms\":250,\"start_share_ppm\":990000,"          \
  "\"size\":{\"cpu_milli\":10,\"mem_mib\":10,\"accels\":0},\"run_ms\":1}"
#define PRODUCT \
  "{\"quota\":{\"cpu_milli\":0,\"mem_mib\":0,\"accels\":0,\"slots\":0}}"

typedef struct
{
  MuxCluster *cluster; /* behind the daemon */
  MuxProc *direct[WORKERS];
  char direct_addr[WORKERS][MUX_ADDR_LEN];
  uint32_t calls_each;
  bool through_daemon;
  uint64_t round;
} Bench;

typedef struct
{
  Bench *bench;
  uint32_t number;
  uint32_t failed;
  int64_t *took_ns;
} Caller;

typedef struct
{
  double p50_us;
  double p99_us;
  double per_s;
  uint32_t failed;
} Result;

static void
check (bool good, const char *what, const MuxError *err)
{
  if (good)
    return;
  fprintf (stderr, "bench_door: %s: %s\n", what, err != NULL ? err->text : "");
  exit (EXIT_FAILURE);
}

static int64_t
now_ns (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return (int64_t) now.tv_sec * 1000000000 + now.tv_nsec;
}

static bool
call_daemon (const Caller *caller, MuxHttp *http)
{
  static const char *const headers[]
      = { "Content-Type: application/octet-stream", NULL };
  MuxHttpAsk ask = { .method = "POST",
                     .addr = caller->bench->cluster->daemon[0].addr,
                     .path = "/v1/request/basket",
                     .headers = headers,
                     .body = BODY,
                     .body_len = sizeof BODY - 1,
                     .timeout_ms = TIMEOUT_MS };
  MuxHttpReply reply;
  bool good;

  if (!mux_http_call (http, &ask, &reply, NULL))
    return false;
  good = reply.status == 200 && strstr (reply.body, "seat 12") != NULL;
  mux_http_reply_clear (&reply);
  return good;
}

static bool
call_worker (const Caller *caller, MuxHttp *http, uint64_t number)
{
  uint32_t worker = caller->number % WORKERS;
  char name[64];
  char task[64];
  const char *headers[] = { "Content-Type: application/octet-stream",
                            name,
                            task,
                            "Cuminmux-Epoch: 1",
                            "Cuminmux-Wait-Ms: 30000",
                            "Cuminmux-Class: basket",
                            "Cuminmux-Size: 10,10,0,1",
                            NULL };
  MuxHttpAsk ask = { .method = "POST",
                     .addr = caller->bench->direct_addr[worker],
                     .path = "/worker/start",
                     .headers = headers,
                     .body = BODY,
                     .body_len = sizeof BODY - 1,
                     .timeout_ms = TIMEOUT_MS };
  MuxHttpReply reply;
  bool good;

  snprintf (name, sizeof name, "Cuminmux-Worker: direct-%u", worker);
  snprintf (task, sizeof task, "Cuminmux-Task: %08x%08x%016llx",
            (unsigned) caller->bench->round, caller->number + 1,
            (unsigned long long) number);
  if (!mux_http_call (http, &ask, &reply, NULL))
    return false;
  good = reply.status == 200 && strstr (reply.body, "seat 12") != NULL;
  mux_http_reply_clear (&reply);
  return good;
}

static void *
caller_main (void *data)
{
  Caller *caller = data;
  MuxHttp *http = mux_http_new ();

  for (uint32_t i = 0; i < caller->bench->calls_each; i++)
    {
      int64_t from = now_ns ();
      bool good = caller->bench->through_daemon ? call_daemon (caller, http)
                                                : call_worker (caller, http, i);

      caller->took_ns[i] = now_ns () - from;
      caller->failed += !good;
    }
  mux_http_free (http);
  return NULL;
}

static int
by_size (const void *a, const void *b)
{
  int64_t x = *(const int64_t *) a;
  int64_t y = *(const int64_t *) b;

  return (x > y) - (x < y);
}

static Result
run (Bench *bench, uint32_t callers, uint32_t calls)
{
  static Caller caller[CALLERS_MAX];
  pthread_t thread[CALLERS_MAX];
  int64_t *took = calloc (calls, sizeof *took);
  Result result = { 0 };
  int64_t from;

  check (took != NULL, "memory is out", NULL);
  bench->calls_each = calls / callers;
  bench->round++;
  from = now_ns ();
  for (uint32_t i = 0; i < callers; i++)
    {
      caller[i] = (Caller){ bench, i, 0, took + i * bench->calls_each };
      check (pthread_create (&thread[i], NULL, caller_main, &caller[i]) == 0,
             "thread", NULL);
    }
  for (uint32_t i = 0; i < callers; i++)
    {
      pthread_join (thread[i], NULL);
      result.failed += caller[i].failed;
    }
  calls = bench->calls_each * callers;
  result.per_s = calls / ((double) (now_ns () - from) / 1e9);
  qsort (took, calls, sizeof *took, by_size);
  result.p50_us = (double) took[calls / 2] / 1e3;
  result.p99_us = (double) took[calls - calls / 100 - 1] / 1e3;
  free (took);
  return result;
}

static void
print_result (const char *what, uint32_t callers, const Result *result)
{
  printf ("door.%s.c%u.p50 %.0f us\n", what, callers, result->p50_us);
  printf ("door.%s.c%u.p99 %.0f us\n", what, callers, result->p99_us);
  printf ("door.%s.c%u.throughput %.0f calls/s\n", what, callers,
          result->per_s);
  printf ("door.%s.c%u.failed %u calls\n", what, callers, result->failed);
}

/* What was refused or tried again since the start, by reason. */
static void
print_reasons (const Bench *bench, uint32_t callers)
{
  MuxHttp *http = mux_http_new ();
  MuxHttpAsk ask = { .method = "GET",
                     .addr = bench->cluster->daemon[0].addr,
                     .path = "/metrics",
                     .timeout_ms = TIMEOUT_MS };
  MuxHttpReply reply;
  MuxError err = { 0 };
  char *rest;
  char *line;

  check (mux_http_call (http, &ask, &reply, &err), "metrics", &err);
  rest = reply.body;
  while ((line = strsep (&rest, "\n")) != NULL)
    {
      const char *value = strrchr (line, ' ');

      if (strstr (line, "{reason=") != NULL && strcmp (value, " 0") != 0)
        printf ("door.daemon.c%u.%.*s%s total\n", callers, (int) (value - line),
                line, value);
    }
  mux_http_reply_clear (&reply);
  mux_http_free (http);
}

static void
compare (Bench *bench, uint32_t callers, uint32_t calls)
{
  Result direct;
  Result through;

  bench->through_daemon = false;
  run (bench, callers, calls / 4); /* connections and caches */
  direct = run (bench, callers, calls);
  bench->through_daemon = true;
  run (bench, callers, calls / 4);
  through = run (bench, callers, calls);
  print_result ("direct", callers, &direct);
  print_result ("daemon", callers, &through);
  print_reasons (bench, callers);
  printf ("door.c%u.throughput_ratio %.2f daemon/direct\n", callers,
          through.per_s / direct.per_s);
  printf ("door.c%u.added_p50 %.0f us\n", callers,
          through.p50_us - direct.p50_us);
  printf ("door.c%u.added_p99 %.0f us\n", callers,
          through.p99_us - direct.p99_us);
  printf ("door.c%u.added_p50_ratio %.2f of_direct_p50\n", callers,
          (through.p50_us - direct.p50_us) / direct.p50_us);
  fflush (stdout);
}

static void
claim_direct (Bench *bench, uint32_t index)
{
  MuxHttp *http = mux_http_new ();
  char name[64];
  const char *headers[] = { name, "Cuminmux-Owner: bench", "Cuminmux-Epoch: 1",
                            "Cuminmux-Lease-Ms: 600000", NULL };
  MuxHttpAsk ask = { .method = "POST",
                     .addr = bench->direct_addr[index],
                     .path = "/worker/claim",
                     .headers = headers,
                     .timeout_ms = TIMEOUT_MS };
  MuxHttpReply reply;
  MuxError err = { 0 };

  snprintf (name, sizeof name, "Cuminmux-Worker: direct-%u", index);
  check (mux_http_call (http, &ask, &reply, &err) && reply.status == 200,
         "claim", &err);
  mux_http_reply_clear (&reply);
  mux_http_free (http);
}

static void
start_direct (Bench *bench, uint32_t index, const char *bin)
{
  char path[MUX_PATH_LEN];
  char name[MUX_NAME_LEN];
  char capacity[64];
  const char *argv[] = { path,          "--name",     name,     "--listen",
                         "127.0.0.1:0", "--capacity", capacity, "--data-centre",
                         "dc-a",        "--rack",     "r",      "--log",
                         "/dev/null",   NULL };
  MuxProcOptions options = { argv, NULL, READY_MS, NULL };
  MuxError err = { 0 };

  snprintf (path, sizeof path, "%s/standin-worker", bin);
  snprintf (name, sizeof name, "direct-%u", index);
  snprintf (capacity, sizeof capacity, "128000,131072,0,%u", SLOTS);
  bench->direct[index] = mux_proc_start (&options, &err);
  check (bench->direct[index] != NULL, "worker", &err);
  check (mux_proc_word (bench->direct[index], 0, bench->direct_addr[index],
                        MUX_ADDR_LEN),
         "address", NULL);
  claim_direct (bench, index);
}

static void
put (Bench *bench, const char *path, const char *text)
{
  MuxHttp *http = mux_http_new ();
  json_t *json = json_loads (text, 0, NULL);
  MuxError err = { 0 };
  json_t *answer = mux_http_json (http, "PUT", bench->cluster->daemon[0].addr,
                                  path, json, &err);

  check (answer != NULL, path, &err);
  json_decref (answer);
  json_decref (json);
  mux_http_free (http);
}

static void
start (Bench *bench, const char *bin, const char *scratch)
{
  static const char *const data_centres[] = { "dc-a" };
  MuxClusterOptions options = { .bin = bin,
                                .scratch = scratch,
                                .data_centres = data_centres,
                                .data_centre_count = 1,
                                .daemons = 1,
                                .workers = WORKERS,
                                .capacity = { 128000, 131072, 0, SLOTS } };
  MuxError err = { 0 };

  bench->cluster = mux_cluster_new (&options, &err);
  check (bench->cluster != NULL, "cluster", &err);
  check (mux_cluster_await (bench->cluster, READY_MS, &err), "ready", &err);
  put (bench, "/v1/config/product/p", PRODUCT);
  put (bench, "/v1/config/class/basket", CLASS);
  for (uint32_t i = 0; i < WORKERS; i++)
    start_direct (bench, i, bin);
}

int
main (int argc, char **argv)
{
  char scratch[MUX_PATH_LEN];
  char *bin = dirname (dirname (argv[0]));
  Bench bench = { 0 };
  MuxError err = { 0 };

  (void) argc;
  curl_global_init (CURL_GLOBAL_ALL);
  mux_proc_guard ();
  check (mux_scratch_new ("bench-door", scratch, sizeof scratch, &err),
         "scratch", &err);
  start (&bench, bin, scratch);
  compare (&bench, 1, 1000);
  compare (&bench, 32, 16000);
  compare (&bench, 256, 25600);
  mux_cluster_free (bench.cluster);
  for (uint32_t i = 0; i < WORKERS; i++)
    mux_proc_free (bench.direct[i]);
  return EXIT_SUCCESS;
}
