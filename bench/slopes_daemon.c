/* What whole daemons spend while nothing is asked of them: bytes a second on
 * the wire to workers and platform, counted by forwarders between them, to
 * peers by the daemons' own counters; processor time of the first daemon from
 * /proc over the window; its resident memory at the end. */
#include "demo/support/callers.h"
#include "demo/support/cluster.h"
#include "demo/support/http.h"
#include "support/tcp_forwarder.h"

#include <curl/curl.h>
#include <libgen.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define WINDOW_S 60
#define READY_MS 20000
/* Claims come after the time to call a silent peer dead, and a jitter. */
#define SETTLE_MS 6000
#define DAEMONS_MAX 6
#define WORKERS_MAX 40

static const char *const data_centres[] = { "dc-a", "dc-b", "dc-c" };

typedef struct
{
  MuxCluster *cluster;
  MuxHttp *http;
  uint32_t daemons;
  char platform_addr[DAEMONS_MAX][MUX_ADDR_LEN];
  TcpForwarder *platform[DAEMONS_MAX];
  TcpForwarder *worker[WORKERS_MAX];
} Setting;

typedef struct
{
  uint64_t worker_bytes;
  uint64_t platform_bytes;
  uint64_t peer_bytes;
  uint64_t peer_messages;
  uint64_t worker_calls;
  double cpu_s;
} Reading;

static void
check (bool good, const char *what, const MuxError *err)
{
  if (good)
    return;
  fprintf (stderr, "slopes_daemon: %s: %s\n", what,
           err != NULL ? err->text : "");
  exit (EXIT_FAILURE);
}

/* The list names the forwarder in the worker's place. */
static void
put_between (Setting *set, uint32_t index)
{
  const MuxMember *worker = &set->cluster->worker[index];
  char addr[MUX_ADDR_LEN];
  json_t *json;
  json_t *answer;
  MuxError err = { 0 };

  set->worker[index] = tcp_forwarder_new (worker->addr, addr);
  json = json_pack ("{s:s,s:s,s:s,s:s,s:s,s:s}", "name", worker->name,
                    "data_centre", worker->data_centre, "rack", "rack-1",
                    "addr", addr, "state", "live", "role", "worker");
  answer = mux_http_json (set->http, "POST", set->cluster->platform.addr,
                          "/ctl/instance", json, &err);
  check (answer != NULL, "instance", &err);
  json_decref (answer);
  json_decref (json);
}

static void
start_daemon (Setting *set, const char *bin, const char *scratch)
{
  MuxCluster *cluster = set->cluster;
  uint32_t index = cluster->daemon_count;
  MuxMember *daemon = &cluster->daemon[index];
  char path[MUX_PATH_LEN];
  char log[MUX_PATH_LEN];
  char platform[MUX_ADDR_LEN + 8];
  const char *argv[] = { path,
                         "--name",
                         daemon->name,
                         "--data-centre",
                         "",
                         "--listen",
                         "127.0.0.1:0",
                         "--peer-listen",
                         "127.0.0.1:0",
                         "--platform",
                         platform,
                         "--seeds",
                         cluster->seed_peer,
                         NULL };
  MuxProcOptions options = { argv, log, READY_MS, NULL };
  MuxError err = { 0 };

  snprintf (daemon->name, sizeof daemon->name, "entry-%u", index + 1);
  snprintf (path, sizeof path, "%s/cuminmuxd", bin);
  snprintf (log, sizeof log, "%s/%s.err", scratch, daemon->name);
  set->platform[index]
      = tcp_forwarder_new (cluster->platform.addr, set->platform_addr[index]);
  snprintf (platform, sizeof platform, "http://%s", set->platform_addr[index]);
  argv[4] = data_centres[index % 3];
  if (index == 0)
    argv[11] = NULL;
  daemon->proc = mux_proc_start (&options, &err);
  check (daemon->proc != NULL, "daemon", &err);
  cluster->daemon_count++;
  check (mux_proc_word (daemon->proc, 0, daemon->addr, sizeof daemon->addr),
         "address", NULL);
  if (index == 0)
    check (mux_proc_word (daemon->proc, 2, cluster->seed_peer,
                          sizeof cluster->seed_peer),
           "peer address", NULL);
}

static uint64_t
metric (Setting *set, const MuxMember *daemon, const char *name)
{
  MuxHttpAsk ask = { .method = "GET",
                     .addr = daemon->addr,
                     .path = "/metrics",
                     .timeout_ms = READY_MS };
  MuxHttpReply reply;
  MuxError err = { 0 };
  char line[128];
  const char *at;
  uint64_t value;

  check (mux_http_call (set->http, &ask, &reply, &err), "metrics", &err);
  snprintf (line, sizeof line, "\ncuminmux_%s ", name);
  at = strstr (reply.body, line);
  check (at != NULL, name, NULL);
  value = strtoull (at + strlen (line), NULL, 10);
  mux_http_reply_clear (&reply);
  return value;
}

static double
cpu_seconds (int pid)
{
  char path[64];
  char text[1024] = "";
  unsigned long user = 0;
  unsigned long system = 0;
  FILE *file;
  const char *rest;

  snprintf (path, sizeof path, "/proc/%d/stat", pid);
  file = fopen (path, "r");
  check (file != NULL && fgets (text, sizeof text, file) != NULL, path, NULL);
  fclose (file);
  rest = strrchr (text, ')');
  check (rest != NULL
             && sscanf (rest + 2,
                        "%*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u %lu %lu",
                        &user, &system)
                    == 2,
         path, NULL);
  return (double) (user + system) / (double) sysconf (_SC_CLK_TCK);
}

static long
resident_kib (int pid)
{
  char path[64];
  char line[256];
  long kib = -1;
  FILE *file;

  snprintf (path, sizeof path, "/proc/%d/status", pid);
  file = fopen (path, "r");
  check (file != NULL, path, NULL);
  while (kib < 0 && fgets (line, sizeof line, file) != NULL)
    if (sscanf (line, "VmRSS: %ld", &kib) != 1)
      kib = -1;
  fclose (file);
  return kib;
}

static Reading
read_all (Setting *set)
{
  MuxCluster *cluster = set->cluster;
  Reading now = { 0 };

  for (uint32_t i = 0; i < cluster->worker_count; i++)
    now.worker_bytes += tcp_forwarder_bytes (set->worker[i]);
  for (uint32_t i = 0; i < cluster->daemon_count; i++)
    {
      const MuxMember *daemon = &cluster->daemon[i];

      now.platform_bytes += tcp_forwarder_bytes (set->platform[i]);
      now.peer_bytes += metric (set, daemon, "peer_sent_bytes_total");
      now.peer_messages += metric (set, daemon, "peer_messages_sent_total");
      now.worker_calls += metric (set, daemon, "worker_calls_total");
    }
  now.cpu_s = cpu_seconds (mux_proc_pid (cluster->daemon[0].proc));
  return now;
}

static void
print_rate (const Setting *set, const char *what, double count)
{
  printf ("daemon.idle.d%u.w%u.%s %.1f per_s_each\n", set->daemons,
          set->cluster->worker_count, what, count / WINDOW_S / set->daemons);
}

static void
print_all (const Setting *set, const Reading *from, const Reading *to)
{
  int pid = mux_proc_pid (set->cluster->daemon[0].proc);

  print_rate (set, "worker_bytes",
              (double) (to->worker_bytes - from->worker_bytes));
  print_rate (set, "worker_calls",
              (double) (to->worker_calls - from->worker_calls));
  print_rate (set, "platform_bytes",
              (double) (to->platform_bytes - from->platform_bytes));
  print_rate (set, "peer_sent_bytes",
              (double) (to->peer_bytes - from->peer_bytes));
  print_rate (set, "peer_sent_messages",
              (double) (to->peer_messages - from->peer_messages));
  printf ("daemon.idle.d%u.w%u.cpu %.3f percent_of_a_core\n", set->daemons,
          set->cluster->worker_count,
          (to->cpu_s - from->cpu_s) * 100 / WINDOW_S);
  printf ("daemon.idle.d%u.w%u.resident %.1f MiB\n", set->daemons,
          set->cluster->worker_count, (double) resident_kib (pid) / 1024);
  fflush (stdout);
}

static void
measure (const char *bin,
         const char *scratch,
         uint32_t daemons,
         uint32_t workers)
{
  MuxClusterOptions options = { .bin = bin,
                                .scratch = scratch,
                                .data_centres = data_centres,
                                .data_centre_count = daemons < 3 ? 1 : 3,
                                .workers = workers,
                                .capacity = { 32000, 131072, 0, 8 } };
  Setting set = { .daemons = daemons, .http = mux_http_new () };
  MuxError err = { 0 };
  Reading from;
  Reading to;

  set.cluster = mux_cluster_new (&options, &err);
  check (set.cluster != NULL && set.http != NULL, "cluster", &err);
  for (uint32_t i = 0; i < workers; i++)
    put_between (&set, i);
  mux_pause_ms (SETTLE_MS); /* the list lags */
  for (uint32_t i = 0; i < daemons; i++)
    start_daemon (&set, bin, scratch);
  check (mux_cluster_await (set.cluster, READY_MS, &err), "ready", &err);
  mux_pause_ms (SETTLE_MS);
  from = read_all (&set);
  mux_pause_ms (WINDOW_S * 1000);
  to = read_all (&set);
  print_all (&set, &from, &to);
  mux_cluster_free (set.cluster);
  for (uint32_t i = 0; i < workers; i++)
    tcp_forwarder_free (set.worker[i]);
  for (uint32_t i = 0; i < daemons; i++)
    tcp_forwarder_free (set.platform[i]);
  mux_http_free (set.http);
}

int
main (int argc, char **argv)
{
  char scratch[MUX_PATH_LEN];
  char *bin = dirname (dirname (argv[0]));
  MuxError err = { 0 };

  (void) argc;
  curl_global_init (CURL_GLOBAL_ALL);
  mux_proc_guard ();
  check (mux_scratch_new ("slopes", scratch, sizeof scratch, &err), "scratch",
         &err);
  measure (bin, scratch, 1, 0);
  measure (bin, scratch, 1, 10);
  measure (bin, scratch, 1, 40);
  measure (bin, scratch, 3, 10);
  measure (bin, scratch, 6, 10);
  return EXIT_SUCCESS;
}
