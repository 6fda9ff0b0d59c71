/* The scenarios of the scripts; part of world.c.  Each returns the exit status
 * of its script: 1 broken, 0 held, 2 the case couldn't run. */

/* Return: 1 when the job is shown in this state at some daemon, 0 when it is
 * not; 2 when no daemon has answered. */
static int
is_shown_as (const char *id, const char *state)
{
  char words[64];
  char answer[PATH_MAX_LEN];
  int shown = 2;

  snprintf (words, sizeof words, "\"%s\"", state);
  for (uint32_t i = 0; i < DAEMONS && shown != 1; i++)
    if (call (i, "GET", id, NULL, answer) == 200)
      shown = strstr (answer, words) != NULL ? 1 : 0;
  return shown;
}

/* A job of one task whose first runs end 'failed' by its own fault, in a queue
 * with 20 attempts. */
static int
play_attempts (bool trouble)
{
  const char *id = "74a77e3975000001";
  char body[256];
  char words[48];
  uint32_t failed;
  int shown;

  snprintf (body, sizeof body,
            "{\"spec\":\"work=500 fail=%u\",\"steps\":[{\"count\":1,"
            "\"cpu\":1000,\"memory_request_mb\":512,\"estimated_ms\":500}]}",
            trouble ? 18u : 3u);
  if (!submit (id, body))
    return 2;
  snprintf (words, sizeof words, "ends %s", id);
  for (uint32_t i = 0; i < 80; i++)
    {
      pause_for (1000);
      if (is_shown_as (id, "completed") == 1)
        return 0;
      shown = is_shown_as (id, "failed");
      failed = count_lines (words, " failed");
      if (shown == 1)
        {
          note ("world: shown as failed after %u ends 'failed' of %u", failed,
                max_attempts);
          return failed < max_attempts ? 1 : 2;
        }
    }
  return 2;
}

/* Every 8 s a row of wide jobs of short tasks, about five a second; in windows
 * of 5 s the workers leave half of their orders unanswered and carry them out
 * later. */
#define LATE_ROW 12
#define LATE_ROWS 9
#define LATE_JOBS (LATE_ROW * LATE_ROWS)
#define LATE_TASKS 128
#define LATE_EVERY_MS 202
#define LATE_FIRST_MS 6300
#define LATE_ROW_MS 8000
#define LATE_WINDOWS "50 6000 5000 8000 9"
#define LATE_TRAFFIC_MS 76000
#define LATE_CHECK_MS 25000
#define LATE_IDLE_MS 3200

typedef struct
{
  char id[20];
  bool accepted;
  uint32_t done;
  uint32_t started;
  uint32_t ended;
  char starts[LATE_TASKS];
} LateJob;

/* Return: the number of runs that go on. */
static uint32_t
count_late (LateJob *jobs, uint32_t count)
{
  uint32_t open = 0;
  FILE *file = fopen (record_path, "r");
  char line[600];

  for (uint32_t i = 0; i < count; i++)
    jobs[i].done = jobs[i].started = jobs[i].ended = 0;
  while (file != NULL && fgets (line, sizeof line, file) != NULL)
    {
      const char *at = strstr (line, "s 74ca");
      unsigned number;
      unsigned index;

      if (strstr (line, "worker ") == NULL || at == NULL
          || sscanf (at + 6, "%12x.0.0.%u", &number, &index) != 2
          || number >= count || index >= LATE_TASKS)
        continue;
      if (strstr (line, ": starts ") != NULL)
        {
          jobs[number].starts[index] = 1;
          jobs[number].started++;
        }
      else if (strstr (line, ": ends ") != NULL)
        {
          jobs[number].ended++;
          jobs[number].done += strstr (line, " done") != NULL;
        }
    }
  if (file != NULL)
    fclose (file);
  for (uint32_t i = 0; i < count; i++)
    open += jobs[i].started - jobs[i].ended;
  return open;
}

static int
play_late (bool trouble)
{
  static LateJob jobs[LATE_JOBS];
  uint32_t before[LATE_JOBS];
  uint32_t open;
  char body[256];
  char answer[PATH_MAX_LEN];
  uint32_t count = 0;
  uint32_t lost = 0;
  int64_t end = begun_ms + LATE_TRAFFIC_MS;

  (void) trouble;
  snprintf (body, sizeof body,
            "{\"spec\":\"work=1000\",\"steps\":[{\"count\":%d,\"cpu\":200,"
            "\"memory_request_mb\":64,\"max_per_server\":8,"
            "\"estimated_ms\":1000}]}",
            LATE_TASKS);
  for (; count < LATE_JOBS; count++)
    {
      LateJob *job = &jobs[count];

      pause_for (begun_ms + LATE_FIRST_MS + count / LATE_ROW * LATE_ROW_MS
                 + count % LATE_ROW * LATE_EVERY_MS - mux_monotonic_ms ());
      snprintf (job->id, sizeof job->id, "74ca%012x", count);
      job->accepted = call (count % DAEMONS, "POST", job->id, body, answer) == 200;
    }
  note ("world: the traffic has ended");
  pause_for (end - mux_monotonic_ms () + LATE_CHECK_MS);
  open = count_late (jobs, count);
  for (uint32_t i = 0; i < count; i++)
    before[i] = jobs[i].started;
  pause_for (LATE_IDLE_MS);
  open += count_late (jobs, count);
  note ("world: %u runs went on at the two looks, %d ms apart", open,
        LATE_IDLE_MS);
  /* Half of the workers' room holds many more. */
  if (open > workers)
    return 2;
  for (uint32_t i = 0; i < count; i++)
    {
      if (!jobs[i].accepted || jobs[i].started != before[i]
          || jobs[i].started != jobs[i].ended
          || is_shown_as (jobs[i].id, "completed") != 0)
        continue;
      note ("world: LOST: job %s isn't completed, %u of %d tasks are done",
            jobs[i].id, jobs[i].done, LATE_TASKS);
      for (uint32_t j = 0; j < LATE_TASKS; j++)
        if (jobs[i].starts[j] == 0)
          note ("world: task %s.0.0.%u was never started by a worker",
                jobs[i].id, j);
      lost++;
    }
  note ("world: LOST %u of %u jobs", lost, count);
  return lost > 0 ? 1 : 0;
}

/* Workers with the label b, which hold ten, ten and one task of the job: the
 * first in another data centre, the second done soon, the third at work for
 * long. */
#define ORDER_TASKS 21
#define CUT_MAX_MS 6300
#define HANG_FROM_MS 4800
#define HANG_MORE_MS 1500

static void
prepare_order (void)
{
  worker[0].zone = "skane-b";
  worker[0].work = "4000";
  worker[1].work = "2000";
  worker[2].work = "60000";
  worker[2].cpu = 2000;
  for (uint32_t i = 0; i < 3; i++)
    worker[i].label = "b";
}

/* Cuts the first worker's data centre off, until a start hangs at the second
 * worker, and 6.3 s at most. */
static void
disturb_order (const char *id)
{
  int64_t cut_ms = mux_monotonic_ms ();

  note ("world: zone skane-b is cut off");
  tcp_forwarder_mode (worker[0].link, TCP_FORWARDER_SILENT);
  pause_for (HANG_FROM_MS);
  note ("world: requests to worker %s hang", worker[1].id);
  kill (worker[1].pid, SIGUSR1);
  while (mux_monotonic_ms () - cut_ms < CUT_MAX_MS
         && count_lines ("hangs on /-/run-start", id) == 0)
    pause_for (5);
  tcp_forwarder_mode (worker[0].link, TCP_FORWARDER_PASS);
  note ("world: the cut has ended after %d ms",
        (int) (mux_monotonic_ms () - cut_ms));
  pause_for (HANG_MORE_MS);
  note ("world: requests to worker %s are served again", worker[1].id);
  kill (worker[1].pid, SIGUSR1);
}

/* A job of two steps.  While a data centre is cut off, the runs there end; the
 * tasks start again elsewhere, at a worker whose requests hang, just as the
 * data centre is back. */
static int
play_order (bool trouble)
{
  const char *id = "740a4de400000001";
  char body[320];
  char words[48];
  char who[64];
  uint32_t early;
  uint32_t done;

  snprintf (body, sizeof body,
            "{\"spec\":\"work=1000\",\"steps\":[{\"count\":%d,\"cpu\":1500,"
            "\"memory_request_mb\":512,\"estimated_ms\":4000,"
            "\"requirements\":\"b\"},{\"count\":1,\"cpu\":1000,"
            "\"memory_request_mb\":512,\"estimated_ms\":1000,\"after\":[0]}]}",
            ORDER_TASKS);
  if (!submit (id, body))
    return 2;
  snprintf (words, sizeof words, "starts %s.0.0.", id);
  for (uint32_t i = 0; i < 100 && count_lines (words, "") < ORDER_TASKS; i++)
    pause_for (50);
  snprintf (who, sizeof who, "worker %s:", worker[0].id);
  if (count_lines (words, who) != 10)
    return 2;
  pause_for (1500);
  if (trouble)
    disturb_order (id);
  pause_for (20000);
  /* The third worker's task works on: whatever the other tasks have done, the
   * second step must not have started. */
  snprintf (words, sizeof words, "ends %s.0.0.", id);
  done = count_lines (words, " done");
  snprintf (who, sizeof who, "worker %s:", worker[2].id);
  if (count_lines (words, who) > 0)
    return 2;
  snprintf (words, sizeof words, "starts %s.0.1.0", id);
  early = count_lines (words, "");
  note ("world: %u starts of step 1, with %u ends 'done' of the %d tasks of "
        "step 0 and one task of it at work since its first start",
        early, done, ORDER_TASKS);
  (void) is_shown_as (id, "completed");
  return early > 0 ? 1 : 0;
}

static const struct
{
  const char *name;
  int (*play) (bool trouble);
  uint32_t max_attempts;
  uint32_t workers;
  const char *late;
  void (*prepare) (void);
} scenarios[] = {
  { .name = "order", .play = play_order, .workers = 10,
    .prepare = prepare_order },
  { .name = "attempts", .play = play_attempts, .max_attempts = 20 },
  { .name = "late", .play = play_late, .workers = 16, .late = LATE_WINDOWS },
};
