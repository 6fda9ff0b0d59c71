#include "pool.h"

#include <pthread.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define HOLD_MAX_MS 10000
#define HEARTBEAT_MS 1500
#define CHECKPOINT_MS 2000
#define RESTORE_MS 250
#define STARTUP_MS 300
#define ENDS_PAGE 500
#define STEPS_MAX 4096
#define TICK_MS 10
#define TICKET_MS 2500
#define DECISION_US 5600
#define PERIOD_US 80
#define PERCENT 100

typedef struct Run Run;
struct Run
{
  char task[80];
  int run;
  const StepModel *model;
  int64_t started_ms;
  int64_t work_from_ms; /* work done before, from the checkpoint */
  int64_t stop_at_ms;   /* 0: not stopped */
  int64_t saved_work_ms;
  char saved[24];
  int pace; /* share at which it may work, in percent */
  Run *next;
};

typedef struct End End;
struct End
{
  uint64_t number;
  char task[80];
  int run;
  const char *how;
  char saved[24];
  int64_t at_ms;
  End *next;
};

typedef struct Bar Bar;
struct Bar
{
  char task[80];
  int run;
  Bar *next;
};

typedef struct
{
  int number;
  char id[40];
  HttpServer *server;
  int64_t clock_from_ms; /* its clock shows 0 there */
  uint64_t token;
  int64_t lease_ms; /* on its clock */
  Run *runs;
  End *ends;
  End **last_end;
  uint64_t end_number;
  Bar *bars;
  int64_t next_heartbeat_ms;
  int heartbeats;
} Worker;

static struct
{
  PoolOptions options;
  pthread_mutex_t mutex;
  pthread_cond_t changed;
  Worker worker[WORKERS_MAX];
  StepModel step[STEPS_MAX];
  int steps;
  int all_ends;
  int64_t began_ms;
  uint64_t random;
} pool;

void
record (const char *format, ...)
{
  static pthread_mutex_t mutex = PTHREAD_MUTEX_INITIALIZER;
  va_list args;

  pthread_mutex_lock (&mutex);
  fprintf (pool.options.record, "%9.3f  ",
           (double) (now_ms () - pool.began_ms) / 1000);
  va_start (args, format);
  vfprintf (pool.options.record, format, args);
  va_end (args);
  fputc ('\n', pool.options.record);
  fflush (pool.options.record);
  pthread_mutex_unlock (&mutex);
}

static uint64_t
draw (uint64_t below)
{
  pool.random ^= pool.random << 13;
  pool.random ^= pool.random >> 7;
  pool.random ^= pool.random << 17;
  return (pool.random >> 8) % below;
}

static int64_t
clock_of (const Worker *worker)
{
  return now_ms () - worker->clock_from_ms;
}

static const StepModel *
model_of (const char *task)
{
  char job[40];
  unsigned occurrence;
  unsigned step;

  if (sscanf (task, "%39[^.].%u.%u", job, &occurrence, &step) != 3)
    return NULL;
  for (int i = 0; i < pool.steps; i++)
    if (pool.step[i].step == step && strcmp (pool.step[i].job, job) == 0)
      return &pool.step[i];
  return NULL;
}

static void
heartbeat (Worker *worker)
{
  char rack[16];

  worker->next_heartbeat_ms = now_ms () + HEARTBEAT_MS;
  snprintf (rack, sizeof rack, "r%d", worker->number / 8);
  store_put (
      pool.options.store, "servers", worker->id,
      json_pack (
          "{s:s, s:s, s:s, s:s, s:i, s:s, s:i, s:i, s:{s:i, s:i, s:i}, s:[s, "
          "s]}",
          "service", SERVICE, "address", http_addr (worker->server), "zone",
          "hall-a", "version", "1", "slots", 8, "state", "ready",
          "cold_remaining_ms", 0, "sequence", ++worker->heartbeats, "capacity",
          "cpu", pool.options.cpu, "memory_request_mb", pool.options.memory_mb,
          "gpu", 0, "labels", "a", rack));
}

static Run *
find_run (const Worker *worker, const char *task)
{
  for (Run *run = worker->runs; run != NULL; run = run->next)
    if (strcmp (run->task, task) == 0)
      return run;
  return NULL;
}

static int
barred_run (const Worker *worker, const char *task)
{
  for (Bar *bar = worker->bars; bar != NULL; bar = bar->next)
    if (strcmp (bar->task, task) == 0)
      return bar->run;
  return 0;
}

static void
bar (Worker *worker, const char *task, int run)
{
  Bar *b;

  for (b = worker->bars; b != NULL; b = b->next)
    if (strcmp (b->task, task) == 0)
      {
        if (run > b->run)
          b->run = run;
        return;
      }
  b = calloc (1, sizeof *b);
  snprintf (b->task, sizeof b->task, "%s", task);
  b->run = run;
  b->next = worker->bars;
  worker->bars = b;
}

static void
remove_run (Worker *worker, Run *run)
{
  Run **at = &worker->runs;

  while (*at != run)
    at = &(*at)->next;
  *at = run->next;
  free (run);
}

static void
end_run (Worker *worker, Run *run, const char *how)
{
  End *end = calloc (1, sizeof *end);

  end->number = ++worker->end_number;
  snprintf (end->task, sizeof end->task, "%s", run->task);
  snprintf (end->saved, sizeof end->saved, "%s", run->saved);
  end->run = run->run;
  end->how = how;
  end->at_ms = now_ms ();
  *worker->last_end = end;
  worker->last_end = &end->next;
  pool.all_ends++;
  bar (worker, run->task, run->run);
  if (pool.options.events.ended != NULL)
    pool.options.events.ended (worker->number, run->task, run->run, how);
  remove_run (worker, run);
  pthread_cond_broadcast (&pool.changed);
}

static int64_t
worked_ms (const Run *run)
{
  return run->work_from_ms + now_ms () - run->started_ms;
}

/* A task that lasts is at work, at 100, after a short startup. */
static int
percent_of (const Run *run)
{
  int64_t percent;

  if (run->model->work_ms == 0)
    return now_ms () - run->started_ms >= STARTUP_MS ? PERCENT : 0;
  percent = worked_ms (run) * PERCENT / run->model->work_ms;
  if (percent < 0)
    percent = 0;
  return percent < PERCENT ? (int) percent : PERCENT - 1;
}

/* Tasks that fill and are at work there, each by its pace, in percent. */
static int
fills_at (const Worker *worker)
{
  int n = 0;

  for (Run *run = worker->runs; run != NULL; run = run->next)
    if (run->model->fills && percent_of (run) == PERCENT)
      n += run->pace;
  return n;
}

static int
usage_of (const Worker *worker, const Run *run)
{
  if (!run->model->serves)
    return run->model->cpu;
  return pool.options.tail_ms != NULL
             ? pool.options.tail_ms (worker->number, fills_at (worker))
             : 20;
}

static json_t *
running_json (const Worker *worker)
{
  json_t *list = json_array ();

  for (Run *run = worker->runs; run != NULL; run = run->next)
    json_array_append_new (
        list, json_pack ("[s, i, s, i, i]", run->task, run->run, run->saved,
                         percent_of (run), usage_of (worker, run)));
  return list;
}

static json_t *
finished_json (const Worker *worker)
{
  json_t *list = json_array ();
  int n = 0;

  for (End *end = worker->ends; end != NULL && n < ENDS_PAGE; end = end->next)
    {
      json_array_append_new (
          list, json_pack ("[I, s, i, s, s]", (json_int_t) end->number,
                           end->task, end->run, end->how, end->saved));
      n++;
    }
  return list;
}

static HttpAnswer
answer (const Worker *worker, int status, const char *reason)
{
  HttpAnswer a = { status, json_pack ("{s:I}", "clock_ms",
                                      (json_int_t) clock_of (worker)) };

  if (reason != NULL)
    json_object_set_new (a.json, "reason", json_string (reason));
  return a;
}

static void
extend_lease (Worker *worker, const json_t *body)
{
  int64_t until
      = (int64_t) json_number_value (json_object_get (body, "deadline_ms"));
  int64_t most = clock_of (worker) + HOLD_MAX_MS;

  if (until > most)
    until = most;
  if (until > worker->lease_ms)
    worker->lease_ms = until;
}

static const char *
text_of (const json_t *body, const char *name)
{
  const char *text = json_string_value (json_object_get (body, name));

  return text != NULL ? text : "";
}

/* Part of a ticket of @worker for the step of @task. */
static unsigned
ticket_of (const char *task, const char *worker)
{
  unsigned h = 2166136261u;
  int dots = 0;

  for (; *task != 0; task++)
    {
      dots += *task == '.';
      if (dots == 3)
        break;
      h = (h ^ (unsigned char) *task) * 16777619u;
    }
  for (; *worker != 0; worker++)
    h = (h ^ (unsigned char) *worker) * 16777619u;
  return h >> 4;
}

static bool
has_ticket (const Worker *worker, const char *task, const json_t *body)
{
  int64_t until;
  unsigned ticket;
  long long at;

  if (!pool.options.tickets)
    return true;
  if (sscanf (text_of (body, "ticket"), "%x-%lld", &ticket, &at) != 2)
    return false;
  until = at + TICKET_MS;
  return ticket == ticket_of (task, worker->id) && now_ms () <= until;
}

static HttpAnswer
run_start (Worker *worker, const json_t *body)
{
  const char *task = text_of (body, "task");
  int number = (int) json_integer_value (json_object_get (body, "run"));
  int64_t until
      = (int64_t) json_number_value (json_object_get (body, "deadline_ms"));
  const char *saved = text_of (body, "checkpoint");
  const StepModel *model = model_of (task);
  Run *run = find_run (worker, task);

  if (model == NULL || number <= 0)
    return answer (worker, 400, NULL);
  if (until <= clock_of (worker))
    return answer (worker, 409, "late");
  extend_lease (worker, body);
  if (run != NULL && run->run == number)
    return answer (worker, 200, NULL);
  if (run != NULL || number <= barred_run (worker, task))
    return answer (worker, 409, "old");
  if (!has_ticket (worker, task, body))
    return answer (worker, 409, "ticket");
  run = calloc (1, sizeof *run);
  snprintf (run->task, sizeof run->task, "%s", task);
  snprintf (run->saved, sizeof run->saved, "%s", saved);
  run->run = number;
  run->model = model;
  run->pace = PERCENT;
  run->started_ms = now_ms ();
  run->work_from_ms
      = saved[0] != 0 ? strtoll (saved, NULL, 16) - RESTORE_MS : 0;
  run->saved_work_ms = saved[0] != 0 ? run->work_from_ms : 0;
  run->next = worker->runs;
  worker->runs = run;
  if (pool.options.events.started != NULL)
    pool.options.events.started (worker->number, task, number);
  pthread_cond_broadcast (&pool.changed);
  return answer (worker, 200, NULL);
}

static HttpAnswer
run_stop (Worker *worker, const json_t *body)
{
  const char *task = text_of (body, "task");
  int number = (int) json_integer_value (json_object_get (body, "run"));
  Run *run = find_run (worker, task);

  if (run != NULL && run->run <= number && run->stop_at_ms == 0)
    {
      if (pool.options.events.stop != NULL)
        pool.options.events.stop (worker->number, task, run->run,
                                  percent_of (run) == PERCENT);
      run->stop_at_ms
          = now_ms () + (int64_t) draw ((uint64_t) pool.options.stop_ms) + 1;
    }
  bar (worker, task, number);
  return answer (worker, 200, NULL);
}

static HttpAnswer
pace (Worker *worker, const json_t *body)
{
  const char *task = text_of (body, "task");
  int number = (int) json_integer_value (json_object_get (body, "run"));
  int share = (int) json_integer_value (json_object_get (body, "percentage"));
  Run *run = find_run (worker, task);

  if (run == NULL || run->run != number || share < 0 || share > PERCENT)
    return answer (worker, 409, "old");
  record ("worker %d paces %s run %d to %d", worker->number, task, number,
          share);
  run->pace = share;
  return answer (worker, 200, NULL);
}

static void
forget_ends (Worker *worker, uint64_t through)
{
  while (worker->ends != NULL && worker->ends->number <= through)
    {
      End *end = worker->ends;

      worker->ends = end->next;
      if (worker->ends == NULL)
        worker->last_end = &worker->ends;
      free (end);
    }
}

static HttpAnswer
hold (Worker *worker, const json_t *body)
{
  int wait = (int) json_integer_value (json_object_get (body, "wait_ms"));
  struct timespec until;
  HttpAnswer a;
  int rc = 0;

  extend_lease (worker, body);
  forget_ends (worker, (uint64_t) json_integer_value (
                           json_object_get (body, "acked_through")));
  if (wait > 2000)
    wait = 2000;
  clock_gettime (CLOCK_REALTIME, &until);
  until.tv_sec += wait / 1000;
  until.tv_nsec += wait % 1000 * 1000000L;
  if (until.tv_nsec >= 1000000000L)
    {
      until.tv_sec++;
      until.tv_nsec -= 1000000000L;
    }
  while (wait > 0 && rc == 0 && worker->ends == NULL)
    rc = pthread_cond_timedwait (&pool.changed, &pool.mutex, &until);
  a = answer (worker, 200, NULL);
  json_object_set_new (a.json, "running", running_json (worker));
  json_object_set_new (a.json, "finished", finished_json (worker));
  return a;
}

static HttpAnswer
serve_locked (Worker *worker, const HttpAsk *ask)
{
  uint64_t token;

  if (strcmp (ask->path, "/health") == 0)
    return answer (worker, 200, NULL);
  if (strcmp (ask->instance, worker->id) != 0)
    return answer (worker, 421, NULL);
  if (ask->body == NULL)
    return answer (worker, 400, NULL);
  token = (uint64_t) json_integer_value (
      json_object_get (ask->body, "fencing_token"));
  if (token < worker->token)
    return answer (worker, 409, "fence");
  worker->token = token;
  if (strcmp (ask->path, "/-/run-start") == 0)
    return run_start (worker, ask->body);
  if (strcmp (ask->path, "/-/run-stop") == 0)
    return run_stop (worker, ask->body);
  if (strcmp (ask->path, "/-/pace") == 0)
    return pace (worker, ask->body);
  if (strcmp (ask->path, "/-/hold") == 0)
    return hold (worker, ask->body);
  return answer (worker, 404, NULL);
}

static HttpAnswer
serve (void *context, const HttpAsk *ask)
{
  HttpAnswer a;

  pthread_mutex_lock (&pool.mutex);
  a = serve_locked (context, ask);
  pthread_mutex_unlock (&pool.mutex);
  return a;
}

static void
come_up (Worker *worker)
{
  snprintf (worker->id, sizeof worker->id, "i-%02d%08x", worker->number,
            (unsigned) draw (UINT32_MAX));
  worker->clock_from_ms = now_ms () - 100000 - (int64_t) draw (900000);
  worker->token = 0;
  worker->lease_ms = 0;
  worker->end_number = 0;
  heartbeat (worker);
}

/* Returns whether a list of runs has changed. */
static bool
run_tick (Worker *worker, Run *run)
{
  int64_t now = now_ms ();

  if (run->stop_at_ms != 0 && now >= run->stop_at_ms)
    {
      if (run->model->saves)
        snprintf (run->saved, sizeof run->saved, "%016llx",
                  (unsigned long long) worked_ms (run));
      end_run (worker, run, "stopped");
      return true;
    }
  if (run->model->saves
      && worked_ms (run) - run->saved_work_ms >= CHECKPOINT_MS)
    {
      run->saved_work_ms = worked_ms (run);
      snprintf (run->saved, sizeof run->saved, "%016llx",
                (unsigned long long) run->saved_work_ms);
    }
  if (run->model->work_ms == 0 || worked_ms (run) < run->model->work_ms)
    return false;
  end_run (worker, run, "done");
  return true;
}

static void
worker_tick (Worker *worker)
{
  bool changed = true;

  if (now_ms () >= worker->next_heartbeat_ms)
    heartbeat (worker);
  while (worker->runs != NULL && clock_of (worker) > worker->lease_ms)
    end_run (worker, worker->runs, "lapsed");
  while (changed)
    {
      changed = false;
      for (Run *run = worker->runs; run != NULL && !changed; run = run->next)
        changed = run_tick (worker, run);
    }
}

static void *
ticker (void *arg)
{
  (void) arg;
  for (;;)
    {
      for (int i = 0; i < pool.options.workers; i++)
        {
          pthread_mutex_lock (&pool.mutex);
          worker_tick (&pool.worker[i]);
          pthread_mutex_unlock (&pool.mutex);
        }
      pause_ms (TICK_MS);
    }
  return NULL;
}

static HttpAnswer
advise (void *context, const HttpAsk *ask)
{
  const char *step = text_of (ask->body, "step");
  const json_t *workers = json_object_get (ask->body, "workers");
  HttpAnswer a = { 200, NULL };
  json_t *rows = json_array ();
  const json_t *worker;
  size_t i;

  (void) context;
  pause_ms ((DECISION_US + PERIOD_US * (int) json_array_size (workers)) / 1000);
  json_array_foreach (workers, i, worker)
  {
    const char *id = json_string_value (worker);
    unsigned ticket = ticket_of (step, id != NULL ? id : "");
    char text[64];

    if (id == NULL || ticket % 10 >= 7)
      continue;
    snprintf (text, sizeof text, "%x-%lld", ticket, (long long) now_ms ());
    json_array_append_new (rows, json_pack ("[s, s]", id, text));
  }
  a.json = json_pack ("{s:o, s:i}", "approved", rows, "validity_ms", TICKET_MS);
  return a;
}

const char *
pool_advisor (void)
{
  HttpServer *server = http_serve (advise, NULL);

  return server != NULL ? http_addr (server) : "";
}

void
pool_start (const PoolOptions *options)
{
  pthread_t thread;

  pool.options = *options;
  pool.random = options->seed * UINT64_C (2654435761) + 88172645463325252u;
  pool.began_ms = now_ms ();
  pthread_mutex_init (&pool.mutex, NULL);
  pthread_cond_init (&pool.changed, NULL);
  for (int i = 0; i < options->workers; i++)
    {
      Worker *worker = &pool.worker[i];

      worker->number = i;
      worker->last_end = &worker->ends;
      worker->server = http_serve (serve, worker);
      come_up (worker);
    }
  pthread_create (&thread, NULL, ticker, NULL);
  pthread_detach (thread);
}

void
pool_lock (void)
{
  pthread_mutex_lock (&pool.mutex);
}

void
pool_unlock (void)
{
  pthread_mutex_unlock (&pool.mutex);
}

void
pool_add_step (const StepModel *model)
{
  pthread_mutex_lock (&pool.mutex);
  pool.step[pool.steps++] = *model;
  pthread_mutex_unlock (&pool.mutex);
}

static int
count_at (const Worker *worker, const char *prefix)
{
  size_t len = strlen (prefix);
  int n = 0;

  for (Run *run = worker->runs; run != NULL; run = run->next)
    n += strncmp (run->task, prefix, len) == 0;
  return n;
}

int
pool_running_at (int worker, const char *prefix)
{
  int n;

  pthread_mutex_lock (&pool.mutex);
  n = count_at (&pool.worker[worker], prefix);
  pthread_mutex_unlock (&pool.mutex);
  return n;
}

int
pool_running (const char *prefix)
{
  int n = 0;

  pthread_mutex_lock (&pool.mutex);
  for (int i = 0; i < pool.options.workers; i++)
    n += count_at (&pool.worker[i], prefix);
  pthread_mutex_unlock (&pool.mutex);
  return n;
}

int
pool_untold_ends (int64_t age_ms, int *all)
{
  int n = 0;

  pthread_mutex_lock (&pool.mutex);
  for (int i = 0; i < pool.options.workers; i++)
    for (End *end = pool.worker[i].ends; end != NULL; end = end->next)
      n += now_ms () - end->at_ms > age_ms;
  *all = pool.all_ends;
  pthread_mutex_unlock (&pool.mutex);
  return n;
}
