/* A small deployment on loopback addresses: the platform's store, workers as
 * processes of their own, three daemons with the command of the deploy file,
 * and one client.  world SCENARIO SEED TROUBLE RECORD */
#include "base/clock.h"
#include "demo/support/callers.h"
#include "demo/support/http.h"
#include "platform/test/soak/serve.h"
#include "platform/test/soak/store.h"
#include "support/tcp_forwarder.h"

#include <arpa/inet.h>
#include <curl/curl.h>
#include <fcntl.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include "worker.h"

#define DAEMONS 3
/* Workers of a scenario that says no other number. */
#define WORKERS 8
#define WORKERS_MAX 16
#define HEARTBEAT_MS 1500
#define HOST "review.example"
#define SERVICE "review-workers"
#define PATH_MAX_LEN 256

typedef struct
{
  char id[32];
  char addr[MUX_ADDR_LEN];
  pid_t pid;
  uint32_t life;
  int64_t next_beat_ms;
  int64_t row_until_ms; /* of a life that has ended; 0: none */
  char old_id[32];
  int64_t back_ms; /* when the next life begins; 0: it is up */
  uint32_t beats;
  const char *zone;  /* NULL: that of the daemons */
  const char *label; /* NULL: "a" */
  const char *work;  /* ms that each run takes there; NULL: by its spec */
  int cpu;           /* its capacity; 0: 16000 */
  TcpForwarder *link; /* NULL: none */
  char linked[MUX_ADDR_LEN];
} WorkerSlot;

typedef struct
{
  char name[32];
  char front[MUX_ADDR_LEN];
  char ready[MUX_ADDR_LEN];
  char peer[MUX_ADDR_LEN];
  char metrics[MUX_ADDR_LEN];
  pid_t pid;
} Daemon;

static WorkerSlot worker[WORKERS_MAX];
static uint32_t workers = WORKERS;
static Daemon daemons[DAEMONS];
static SoakStore *store;
static MuxHttp *http;
static char folder[PATH_MAX_LEN];
static const char *record_path;
static uint64_t random_state;
static int64_t begun_ms;
static uint32_t max_attempts = 4;

static void
note (const char *format, ...)
{
  char line[512];
  int len = snprintf (line, sizeof line, "%8.3f ",
                      (double) (mux_monotonic_ms () - begun_ms) / 1000);
  int fd = open (record_path, O_WRONLY | O_APPEND | O_CREAT, 0644);
  va_list args;

  va_start (args, format);
  len += vsnprintf (line + len, sizeof line - (size_t) len - 1, format, args);
  va_end (args);
  line[len++] = '\n';
  if (fd < 0)
    return;
  (void) !write (fd, line, (size_t) len);
  close (fd);
}

/* Each play has a loopback address of its own, so that no other program takes
 * a port of it meanwhile. */
static void
free_address (char addr[MUX_ADDR_LEN], bool is_linked)
{
  /* The forwarder's targets are at 127.0.0.1. */
  uint32_t own = is_linked
                     ? INADDR_LOOPBACK
                     : 0x7f000001u | (((uint32_t) getpid () & 0xffffu) << 8);
  struct sockaddr_in name
      = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (own) };
  socklen_t len = sizeof name;
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  if (fd < 0 || bind (fd, (struct sockaddr *) &name, sizeof name) != 0
      || getsockname (fd, (struct sockaddr *) &name, &len) != 0)
    exit (2);
  snprintf (addr, MUX_ADDR_LEN, "127.%u.%u.1:%u", own >> 16 & 0xff,
            own >> 8 & 0xff, ntohs (name.sin_port));
  close (fd);
}

static void
put_config (uint32_t version)
{
  soak_store_put (
      store, "op", "config",
      json_pack ("{s:i, s:[{s:s, s:s, s:s, s:s, s:i, s:s, s:i, s:i, s:i, s:f}],"
                 " s:[{s:s, s:s, s:i, s:s, s:b, s:b, s:b}], s:{s:i, s:i}}",
                 "version", (int) version, "routes", "name", "r-1", "host",
                 HOST, "path_prefix", "/q1/", "kind", "non_idempotent",
                 "timeout_ms", 3000, "service", SERVICE, "target_latency_ms",
                 1200, "priority", 0, "max_attempts", (int) max_attempts,
                 "slack_factor", 2.2, "services", "name", SERVICE,
                 "health_path", "/health", "max_connections", 64, "protocol",
                 "h1", "tls_enabled", 0, "enforces_capacity", 0, "standby", 0,
                 "limits", "max_header_bytes", 16384, "max_body_bytes",
                 262144));
}

static void
beat (WorkerSlot *slot, uint32_t number)
{
  char rack[16];

  slot->next_beat_ms = mux_monotonic_ms () + HEARTBEAT_MS;
  snprintf (rack, sizeof rack, "r1-%u", number % 4);
  soak_store_put (
      store, "servers", slot->id,
      json_pack ("{s:s, s:s, s:s, s:s, s:i, s:s, s:i, s:i,"
                 " s:{s:i, s:i, s:i}, s:[s, s]}",
                 "service", SERVICE, "address",
                 slot->link != NULL ? slot->linked : slot->addr, "zone",
                 slot->zone != NULL ? slot->zone : "skane-a",
                 "version", "1", "slots", 8, "state", "ready",
                 "cold_remaining_ms", 0, "sequence", (int) ++slot->beats,
                 "capacity", "cpu", slot->cpu != 0 ? slot->cpu : 16000, "memory_request_mb", 32768, "gpu", 0,
                 "labels", slot->label != NULL ? slot->label : "a", rack));
}

static void
start_worker (uint32_t number)
{
  WorkerSlot *slot = &worker[number];
  char self[PATH_MAX_LEN];
  ssize_t len = readlink ("/proc/self/exe", self, sizeof self - 1);

  if (len < 0)
    exit (2);
  self[len] = 0;
  slot->life++;
  snprintf (slot->id, sizeof slot->id, "i-%04x%u%03u",
            (unsigned) (soak_random (&random_state) & 0xffff), number,
            slot->life);
  slot->pid = fork ();
  if (slot->pid == 0)
    {
      char begun[32];

      prctl (PR_SET_PDEATHSIG, SIGKILL);
      snprintf (begun, sizeof begun, "%lld", (long long) begun_ms);
      if (slot->work != NULL)
        setenv ("REVIEW_WORK", slot->work, 1);
      execl (self, self, "worker", slot->id, slot->addr, record_path, begun,
             (char *) NULL);
      _exit (127);
    }
  slot->back_ms = 0;
  slot->next_beat_ms = mux_monotonic_ms () + 200;
}

static void
tick (void)
{
  int64_t now = mux_monotonic_ms ();

  for (uint32_t i = 0; i < workers; i++)
    {
      WorkerSlot *slot = &worker[i];

      if (slot->row_until_ms != 0 && now >= slot->row_until_ms)
        {
          soak_store_put (store, "servers", slot->old_id, NULL);
          slot->row_until_ms = 0;
        }
      if (slot->back_ms != 0 && now >= slot->back_ms)
        start_worker (i);
      if (slot->back_ms == 0 && now >= slot->next_beat_ms)
        beat (slot, i);
    }
  soak_store_tick (store);
}

static void
pause_for (int64_t ms)
{
  int64_t end = mux_monotonic_ms () + ms;

  while (mux_monotonic_ms () < end)
    {
      tick ();
      mux_pause_ms (5);
    }
}

/* The command and the settings of deploy/system.toml. */
static void
start_daemon (uint32_t number)
{
  Daemon *daemon = &daemons[number];
  char log[PATH_MAX_LEN + 64];

  snprintf (log, sizeof log, "%.250s/%.40s.log", folder, daemon->name);
  daemon->pid = fork ();
  if (daemon->pid != 0)
    return;
  prctl (PR_SET_PDEATHSIG, SIGKILL);
  if (freopen (log, "a", stderr) == NULL || freopen (log, "a", stdout) == NULL)
    _exit (127);
  setenv ("CUMINMUX_NAME", daemon->name, 1);
  setenv ("CUMINMUX_DATA_CENTRE", "skane-a", 1);
  setenv ("CUMINMUX_LISTEN", daemon->front, 1);
  setenv ("CUMINMUX_READY_LISTEN", daemon->ready, 1);
  setenv ("CUMINMUX_METRICS_LISTEN", daemon->metrics, 1);
  setenv ("CUMINMUX_PEER_LISTEN", daemon->peer, 1);
  setenv ("CUMINMUX_CPU_SHARE", "0.25", 1);
  setenv ("CUMINMUX_MEMORY_MB", "260", 1);
  setenv ("CUMINMUX_LINK_MBPS", "1000", 1);
  setenv ("CUMINMUX_STORE", soak_store_addr (store), 1);
  setenv ("CUMINMUX_APPROVALS", "", 1);
  setenv ("CUMINMUX_REVOKE_TIMEOUT_MS", "", 1);
  setenv ("CUMINMUX_QUOTA_OVERRUN", "", 1);
  setenv ("CUMINMUX_LEASE_MS", "6000", 1);
  setenv ("CUMINMUX_HEARTBEAT_MS", "250", 1);
  setenv ("CUMINMUX_SUSPECT_MS", "600", 1);
  setenv ("CUMINMUX_DEAD_MS", "1000", 1);
  execl ("target/cuminmuxd", "target/cuminmuxd", (char *) NULL);
  _exit (127);
}

/* Return: the status; 0: no answer.  @answer receives the body. */
static uint32_t
call (uint32_t number,
      const char *method,
      const char *id,
      const char *body,
      char answer[PATH_MAX_LEN])
{
  static const char *const headers[]
      = { "Host: " HOST, "Content-Type: application/json", "Deadline-Ms: 3000",
          NULL };
  char path[64];
  MuxHttpAsk ask = { .method = method,
                     .addr = daemons[number].front,
                     .path = path,
                     .headers = headers,
                     .body = body,
                     .body_len = body != NULL ? strlen (body) : 0,
                     .timeout_ms = 3000 };
  MuxHttpReply reply;
  MuxError err = { 0 };
  uint32_t status;

  snprintf (path, sizeof path, "/q1/%s", id);
  snprintf (answer, PATH_MAX_LEN, "-");
  if (!mux_http_call (http, &ask, &reply, &err))
    {
      note ("client: %s %s at %s: no answer", method, id, daemons[number].name);
      return 0;
    }
  status = reply.status;
  snprintf (answer, PATH_MAX_LEN, "%.*s", (int) reply.body_len, reply.body);
  mux_http_reply_clear (&reply);
  note ("client: %s %s at %s: %u %s", method, id, daemons[number].name, status,
        answer);
  return status;
}

static bool
submit (const char *id, const char *body)
{
  char answer[PATH_MAX_LEN];

  note ("client: job %s is %s", id, body);
  for (uint32_t i = 0; i < 30; i++)
    {
      uint32_t status = call (i % DAEMONS, "POST", id, body, answer);

      if (status >= 200 && status < 300)
        return true;
      pause_for (300);
    }
  return false;
}

/* Counts what the workers have recorded: lines with all of the words. */
static uint32_t
count_lines (const char *a, const char *b)
{
  FILE *file = fopen (record_path, "r");
  char line[600];
  uint32_t n = 0;

  if (file == NULL)
    return 0;
  while (fgets (line, sizeof line, file) != NULL)
    n += strstr (line, "worker ") != NULL && strstr (line, a) != NULL
         && strstr (line, b) != NULL;
  fclose (file);
  return n;
}

#include "scenarios.h"

static int
play (const char *scenario, bool trouble)
{
  for (uint32_t i = 0; i < sizeof scenarios / sizeof scenarios[0]; i++)
    if (strcmp (scenario, scenarios[i].name) == 0)
      {
        if (scenarios[i].max_attempts != 0)
          max_attempts = scenarios[i].max_attempts;
        if (scenarios[i].workers != 0)
          workers = scenarios[i].workers;
        if (trouble && scenarios[i].late != NULL)
          setenv ("REVIEW_LATE", scenarios[i].late, 1);
        if (scenarios[i].prepare != NULL)
          scenarios[i].prepare ();
        put_config (1);
        for (uint32_t j = 0; j < workers; j++)
          {
            free_address (worker[j].addr, worker[j].zone != NULL);
            if (worker[j].zone != NULL)
              worker[j].link
                  = tcp_forwarder_new (worker[j].addr, worker[j].linked);
            start_worker (j);
          }
        for (uint32_t j = 0; j < DAEMONS; j++)
          start_daemon (j);
        pause_for (3500);
        return scenarios[i].play (trouble);
      }
  return 2;
}

static void
end_all (void)
{
  for (uint32_t i = 0; i < DAEMONS; i++)
    if (daemons[i].pid > 0)
      {
        int status = 0;

        if (waitpid (daemons[i].pid, &status, WNOHANG) == 0)
          {
            kill (daemons[i].pid, SIGCONT);
            kill (daemons[i].pid, SIGKILL);
            (void) waitpid (daemons[i].pid, NULL, 0);
          }
        else
          note ("world: %s had ended by itself, status %d", daemons[i].name,
                status);
      }
  for (uint32_t i = 0; i < workers; i++)
    if (worker[i].pid > 0)
      {
        kill (worker[i].pid, SIGKILL);
        (void) waitpid (worker[i].pid, NULL, 0);
      }
}

int
main (int argc, char **argv)
{
  MuxError err = { 0 };
  int status;

  if (argc == 6 && strcmp (argv[1], "worker") == 0)
    return worker_main (argv[2], argv[3], argv[4], atoll (argv[5]));
  if (argc != 6)
    return 2;
  signal (SIGPIPE, SIG_IGN);
  curl_global_init (CURL_GLOBAL_DEFAULT);
  random_state = strtoull (argv[2], NULL, 10) * 7919 + 1;
  (void) soak_random (&random_state);
  record_path = argv[4];
  snprintf (folder, sizeof folder, "%s", argv[5]);
  begun_ms = mux_monotonic_ms ();
  note ("world: scenario %s, seed %s, trouble %s", argv[1], argv[2], argv[3]);
  store = soak_store_new (random_state, &err);
  http = mux_http_new ();
  if (store == NULL || http == NULL)
    return 2;
  for (uint32_t i = 0; i < DAEMONS; i++)
    {
      snprintf (daemons[i].name, sizeof daemons[i].name, "frontend-skane-a-%u",
                i + 1);
      free_address (daemons[i].front, false);
      free_address (daemons[i].ready, false);
      free_address (daemons[i].peer, false);
      free_address (daemons[i].metrics, false);
    }
  status = play (argv[1], strcmp (argv[3], "0") != 0);
  end_all ();
  note ("world: result %d", status);
  return status;
}
