/* Plays one case: scenario NAME PROGRAM RECORD SEED TROUBLE
 * Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't
 * run. */
#include "daemons.h"
#include "pool.h"

#include <inttypes.h>
#include <signal.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define HOST "callers.example"
#define READY_MS 15000
#define CALL_MS 3300
#define LONGEST_S 115

static Store *store;
static PoolOptions options;
static uint64_t seed;
static bool trouble;

/* Ends the case: 2, with all processes ended. */
static void __attribute__ ((format (printf, 1, 2)))
give_up (const char *format, ...)
{
  va_list args;

  va_start (args, format);
  vfprintf (stderr, format, args);
  va_end (args);
  fputc ('\n', stderr);
  daemons_stop ();
  exit (2);
}

static json_t *
route (const char *name, int priority, int attempts)
{
  char prefix[64];
  json_t *json;

  snprintf (prefix, sizeof prefix, "/%s/", name);
  json = json_pack ("{s:s, s:s, s:s, s:s, s:i, s:i, s:f, s:i}", "name", name,
                    "host", HOST, "path_prefix", prefix, "service", SERVICE,
                    "priority", priority, "max_attempts", attempts,
                    "slack_factor", 3.0, "target_latency_ms", 1000);
  if (options.tickets)
    json_object_set_new (json, "advisor",
                         json_pack ("{s:f, s:f, s:i}", "decision_ms", 5.6,
                                    "period_ms", 0.08, "validity_ms", 2500));
  return json;
}

static void
configure (json_t *routes)
{
  store_put (store, "op", "config",
             json_pack ("{s:i, s:o, s:[{s:s, s:b}], s:{}}", "version", 3,
                        "routes", routes, "services", "name", SERVICE,
                        "enforces_capacity", 0, "limits"));
}

static void
begin (const char *program, int daemons, json_t *routes)
{
  store = store_new ();
  if (store == NULL)
    give_up ("no store");
  configure (routes);
  options.store = store;
  options.seed = seed;
  pool_start (&options);
  daemons_start (program, daemons, store,
                 options.tickets ? pool_advisor () : "");
  if (!daemons_wait_ready (READY_MS))
    give_up ("not all daemons are ready");
  pause_ms (2500);
  record ("%d daemons are ready, %d workers are listed", daemons,
          options.workers);
}

static int
any_daemon (void)
{
  static int next;

  for (;;)
    {
      int number = next++ % daemons_count ();

      if (!daemon_ended (number))
        return number;
    }
}

/* Sends the job until it is accepted.  Return: false: it was not. */
static bool
submit (const char *queue, const char *id, const char *body)
{
  char path[128];

  snprintf (path, sizeof path, "/%s/%s", queue, id);
  for (int i = 0; i < 8; i++)
    {
      int at = any_daemon ();
      int status = http_call (daemon_addr (at), "POST", path, HOST, body,
                              CALL_MS, NULL);

      record ("POST %s at %s: %d", path, daemon_name (at), status);
      if (status >= 200 && status < 300)
        return true;
      pause_ms (500);
    }
  return false;
}

/* The job's state as a daemon tells it; "": none, or "gone" for 410. */
static void
state_of (const char *queue, const char *id, char *state, size_t cap)
{
  char path[128];
  json_t *json;
  int status;

  snprintf (path, sizeof path, "/%s/%s", queue, id);
  status = http_call (daemon_addr (any_daemon ()), "GET", path, HOST, NULL,
                      CALL_MS, &json);
  snprintf (state, cap, "%s",
            status == 410 ? "gone"
            : status == 200
                ? json_string_value (json_object_get (json, "state")) != NULL
                      ? json_string_value (json_object_get (json, "state"))
                      : ""
                : "");
  json_decref (json);
}

static void
new_id (char id[20], unsigned number)
{
  snprintf (id, 20, "%08" PRIx64 "%08x", seed * 2654435761u & 0xffffffffu,
            number);
}

static bool
wait_running (const char *prefix, int count, int64_t timeout_ms)
{
  int64_t until = now_ms () + timeout_ms;

  while (pool_running (prefix) < count)
    {
      if (now_ms () > until)
        return false;
      pause_ms (20);
    }
  return true;
}

/* ---- avail: tasks that fill, and last, beside a task that serves. ---- */

#define FILL_TASKS 6
#define SERVE_TARGET_MS 100
#define AWAY_MAX 1
/* What a task that fills adds to the tail of a serving task beside it: at
 * first, and RISE_MS after the disturbance has begun. */
#define CALM_ADDS_MS 5
#define MOST_ADDS_MS 60
#define RISE_MS 2000

static struct
{
  char fill[20];
  char serve[20];
  int64_t disturbs_from_ms; /* 0: never */
  bool away[FILL_TASKS];    /* ended by an order, and not started again */
  bool worked[FILL_TASKS];  /* it was at work when it was told to stop */
  int broken;
  int stops;
} avail;

static int
avail_tail (int worker, int fills)
{
  int64_t passed_ms
      = avail.disturbs_from_ms != 0 ? now_ms () - avail.disturbs_from_ms : 0;
  int64_t adds = CALM_ADDS_MS
                 + (MOST_ADDS_MS - CALM_ADDS_MS)
                       * (passed_ms < RISE_MS ? passed_ms : RISE_MS) / RISE_MS;

  (void) worker;
  return 20 + (int) (adds * fills / 100);
}

static int
fill_index (const char *task)
{
  const char *dot = strrchr (task, '.');

  return strncmp (task, avail.fill, 16) == 0 && dot != NULL ? atoi (dot + 1)
                                                            : -1;
}

static int
away_beside (int index)
{
  int n = 0;

  for (int i = 0; i < FILL_TASKS; i++)
    n += i != index && avail.away[i];
  return n;
}

static void
avail_started (int worker, const char *task, int run)
{
  int index = fill_index (task);

  record ("worker %d starts %s run %d", worker, task, run);
  if (index >= 0)
    avail.away[index] = false;
}

static void
avail_stop (int worker, const char *task, int run, bool at_work)
{
  record ("worker %d is told to stop %s run %d%s", worker, task, run,
          at_work ? ", which is at work" : "");
  avail.stops++;
  if (fill_index (task) >= 0)
    avail.worked[fill_index (task)] = at_work;
}

/* A stop ends a task of a step with max_unavailable 1 that is at work on a
 * sound worker, while another one is away after such an order. */
static void
avail_ended (int worker, const char *task, int run, const char *how)
{
  int index = fill_index (task);
  int others;

  record ("worker %d: %s run %d ends %s", worker, task, run, how);
  if (index < 0 || strcmp (how, "stopped") != 0)
    return;
  others = away_beside (index);
  if (others >= AWAY_MAX && avail.worked[index])
    {
      avail.broken++;
      record ("AVAIL: a stop ends %s while %d others of its step are away, "
              "max_unavailable is %d",
              task, others, AWAY_MAX);
    }
  avail.away[index] = true;
}

static int
play_avail (const char *program)
{
  json_t *routes
      = json_pack ("[o, o]", route ("serve", 0, 4), route ("crunch", 2, 4));
  char body[512];

  options.workers = 3;
  options.cpu = 32000;
  options.memory_mb = 131072;
  options.stop_ms = 400;
  options.tail_ms = avail_tail;
  options.events.started = avail_started;
  options.events.stop = avail_stop;
  options.events.ended = avail_ended;
  new_id (avail.serve, 1);
  new_id (avail.fill, 2);
  begin (program, 3, routes);
  {
    StepModel serve = { .step = 0, .cpu = 8000, .serves = true };
    StepModel fill = { .step = 0, .cpu = 4000, .fills = true };

    snprintf (serve.job, sizeof serve.job, "%s", avail.serve);
    snprintf (fill.job, sizeof fill.job, "%s", avail.fill);
    pool_add_step (&serve);
    pool_add_step (&fill);
  }
  snprintf (body, sizeof body,
            "{\"spec\":\"web\",\"steps\":[{\"count\":3,\"cpu\":8000,"
            "\"memory_request_mb\":4096,\"estimated_ms\":60000,"
            "\"long_running\":true,\"image\":\"web\",\"target_ms\":%d,"
            "\"max_per_server\":1,\"max_unavailable\":1}]}",
            SERVE_TARGET_MS);
  if (!submit ("serve", avail.serve, body)
      || !wait_running (avail.serve, 3, 10000))
    give_up ("the tasks that serve do not start");
  snprintf (body, sizeof body,
            "{\"spec\":\"crunch\",\"steps\":[{\"count\":%d,\"cpu\":4000,"
            "\"memory_request_mb\":2048,\"estimated_ms\":60000,"
            "\"long_running\":true,\"image\":\"crunch\",\"fill_count\":1,"
            "\"max_unavailable\":%d}]}",
            FILL_TASKS, AWAY_MAX);
  if (!submit ("crunch", avail.fill, body)
      || !wait_running (avail.fill, FILL_TASKS, 10000))
    give_up ("the tasks that fill do not start");
  pause_ms (5000);
  for (int i = 0; i < options.workers; i++)
    record ("worker %d runs %d tasks that fill", i,
            pool_running_at (i, avail.fill));
  pool_lock ();
  if (avail.broken > 0)
    record ("broken before the disturbance");
  avail.disturbs_from_ms = trouble ? now_ms () : 0;
  pool_unlock ();
  record (trouble ? "within %d ms a task that fills comes to add %d ms to the "
                    "tail of a task that serves beside it; the target is %d ms"
                  : "nothing changes for a while (%d ms, %d ms; the target is "
                    "%d ms)",
          RISE_MS, MOST_ADDS_MS, SERVE_TARGET_MS);
  pause_ms (20000);
  record ("%d stops, AVAIL broken %d times", avail.stops, avail.broken);
  return avail.broken > 0 ? 1 : 0;
}

/* ---- rounds: a timed job of many rounds whose last step can never be done,
 * among sound jobs of its queue; then jobs of another queue. ---- */

#define ROUNDS_WORKERS 48
#define TASK_CPU 200
#define SMALL_JOBS 40
#define ACK_TIMEOUT_MS 4000
#define FINISH_MS 14000
#define IDLE_MAX_MS 3000
#define SMALL_JOB                                           \
  "{\"spec\":\"seat\",\"steps\":[{\"count\":2,\"cpu\":200," \
  "\"memory_request_mb\":256,\"estimated_ms\":500}]}"

static struct
{
  char job[20];
  char small[SMALL_JOBS][20];
  int started[SMALL_JOBS];
  int64_t idle_ms[SMALL_JOBS]; /* since when nothing of it runs, although under
                                  half of the capacity is in use; 0: not so */
} rounds;

static void
rounds_started (int worker, const char *task, int run)
{
  record ("worker %d starts %s run %d", worker, task, run);
  for (int i = 0; i < SMALL_JOBS; i++)
    rounds.started[i] += strncmp (task, rounds.small[i], 16) == 0;
}

static void
rounds_ended (int worker, const char *task, int run, const char *how)
{
  record ("worker %d: %s run %d ends %s", worker, task, run, how);
}

static void
look_for_idle (void)
{
  bool half = 2 * TASK_CPU * pool_running ("") >= ROUNDS_WORKERS * options.cpu;

  for (int i = 0; i < SMALL_JOBS; i++)
    if (half || rounds.started[i] > 0)
      rounds.idle_ms[i] = 0;
    else if (rounds.idle_ms[i] == 0)
      rounds.idle_ms[i] = now_ms ();
}

/* Sends small jobs of another queue, and looks FINISH_MS after the last one
 * whether they have run and whether ends are taken note of. */
static int
check_small_jobs (void)
{
  int64_t began;
  int lost = 0;
  int untold;
  int all;
  size_t largest;
  unsigned refused;

  for (unsigned i = 0; i < SMALL_JOBS; i++)
    {
      StepModel model = { .step = 0, .cpu = TASK_CPU, .work_ms = 500 };

      /* A different first half, so that the ids spread over the parts. */
      snprintf (rounds.small[i], sizeof rounds.small[i], "%08x%08x",
                (unsigned) (seed * 7919 + i * 2654435761u), i);
      snprintf (model.job, sizeof model.job, "%s", rounds.small[i]);
      pool_add_step (&model);
      if (!submit ("urgent", rounds.small[i], SMALL_JOB))
        give_up ("a small job is not accepted");
      pause_ms (50);
    }
  began = now_ms ();
  record ("%d small jobs accepted", SMALL_JOBS);
  while (now_ms () - began < FINISH_MS)
    {
      look_for_idle ();
      pause_ms (100);
    }
  untold = pool_untold_ends (ACK_TIMEOUT_MS, &all);
  for (int i = 0; i < SMALL_JOBS; i++)
    {
      char state[32];

      state_of ("urgent", rounds.small[i], state, sizeof state);
      record (
          "GET /urgent/%s %lld ms after the last small job: '%s', %d starts "
          "of its tasks",
          rounds.small[i], (long long) (now_ms () - began), state,
          rounds.started[i]);
      if (rounds.started[i] == 0 && rounds.idle_ms[i] != 0
          && now_ms () - rounds.idle_ms[i] > IDLE_MAX_MS)
        lost++;
    }
  refused = store_refused_rows (store, &largest);
  record ("store refused %u calls for a value over %d bytes, the largest of "
          "%zu",
          refused, ROW_BYTES, largest);
  record ("%d of %d ends listed for over %d ms are not taken note of", untold,
          all, ACK_TIMEOUT_MS);
  record ("%d of %d accepted small jobs have had nothing running for over "
          "%d ms, with %d of %d thousandths of a processor in use%s",
          lost, SMALL_JOBS, IDLE_MAX_MS, TASK_CPU * pool_running (""),
          ROUNDS_WORKERS * options.cpu, lost > 0 ? ": LOST" : "");
  if (all == 0)
    give_up ("no run has ended");
  return lost > 0 ? 1 : 0;
}

#define ROUNDS 110
#define ROUND_MS 400
#define ROUND_STEPS 5
#define ROUND_TASKS 4
#define ROUND_WORK_MS 300
/* Over twice what the largest worker has. */
#define NEVER_CPU 70000
/* Sound jobs of the same queue, so that one of 25 can't be done. */
#define SOUND_JOBS 24

static char *
rounds_body (void)
{
  json_t *steps = json_array ();
  json_t *json;
  char *text;

  for (int i = 0; i < ROUND_STEPS; i++)
    {
      bool never = trouble && i == ROUND_STEPS - 1;
      json_t *step
          = json_pack ("{s:i, s:i, s:i, s:i}", "count", ROUND_TASKS, "cpu",
                       never ? NEVER_CPU : TASK_CPU, "memory_request_mb", 256,
                       "estimated_ms", ROUND_WORK_MS);

      if (i > 0)
        json_object_set_new (step, "after", json_pack ("[i]", i - 1));
      json_array_append_new (steps, step);
    }
  json = json_pack ("{s:s, s:i, s:i, s:I, s:o}", "spec", "watch", "repetitions",
                    ROUNDS, "interval_ms", ROUND_MS, "first_due_ms",
                    (json_int_t) wall_ms () + 500, "steps", steps);
  text = json_dumps (json, JSON_COMPACT);
  json_decref (json);
  return text;
}

static void
submit_sound_jobs (void)
{
  for (unsigned i = 0; i < SOUND_JOBS; i++)
    {
      StepModel model = { .step = 0, .cpu = TASK_CPU, .work_ms = 500 };

      snprintf (model.job, sizeof model.job, "%08x%08x",
                (unsigned) (seed * 104729 + i * 2654435761u), 1000 + i);
      pool_add_step (&model);
      if (!submit ("batch", model.job, SMALL_JOB))
        give_up ("a sound job is not accepted");
    }
}

static int
play_rounds (const char *program)
{
  char *body;

  options.workers = ROUNDS_WORKERS;
  options.cpu = 32000;
  options.memory_mb = 131072;
  options.stop_ms = 400;
  options.tickets = true;
  options.events.started = rounds_started;
  options.events.ended = rounds_ended;
  new_id (rounds.job, 1);
  begin (program, 3,
         json_pack ("[o, o]", route ("batch", 2, 4), route ("urgent", 0, 4)));
  submit_sound_jobs ();
  for (unsigned i = 0; i < ROUND_STEPS; i++)
    {
      StepModel model
          = { .step = i, .cpu = TASK_CPU, .work_ms = ROUND_WORK_MS };

      snprintf (model.job, sizeof model.job, "%s", rounds.job);
      pool_add_step (&model);
    }
  body = rounds_body ();
  record ("%s", body);
  if (!submit ("batch", rounds.job, body))
    give_up ("the timed job is not accepted");
  free (body);
  pause_ms (ROUNDS * ROUND_MS + 3000);
  return check_small_jobs ();
}

int
main (int argc, char **argv)
{
  int result = 2;

  if (argc != 6)
    {
      fprintf (stderr, "scenario NAME PROGRAM RECORD SEED TROUBLE\n");
      return 2;
    }
  signal (SIGPIPE, SIG_IGN);
  /* The daemons end with this process. */
  (void) alarm (LONGEST_S);
  options.record = fopen (argv[3], "w");
  seed = strtoull (argv[4], NULL, 10);
  trouble = atoi (argv[5]) != 0;
  if (options.record == NULL || seed == 0)
    return 2;
  fprintf (options.record, "scenario %s, seed %" PRIu64 ", TROUBLE=%d\n",
           argv[1], seed, trouble);
  if (strcmp (argv[1], "avail") == 0)
    result = play_avail (argv[2]);
  else if (strcmp (argv[1], "rounds") == 0)
    result = play_rounds (argv[2]);
  daemons_stop ();
  fprintf (options.record, "result: %s\n",
           result == 0   ? "held"
           : result == 1 ? "broken"
                         : "not run");
  fclose (options.record);
  return result;
}
