/* A worker as PROTOCOL.md has it: run-start, run-stop and hold.  A job's spec
 * tells how long its tasks work and how many first runs of a task fail by
 * their own fault: "work=MS fail=N". */
#include "worker.h"

#include "base/clock.h"
#include "demo/support/callers.h"
#include "platform/test/soak/serve.h"
#include "platform/wire.h"
#include "standin/listen.h"

#include <fcntl.h>
#include <jansson.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define TASKS_MAX 8192
#define NAME_LEN 64
#define HOLD_MAX_MS 10000
#define STOP_MS 200
/* Longer than a play. */
#define UNANSWERED_MS 200000
/* Runs of one kind take unlike times. */
#define UNEVEN_MS 200
#define SAVE_MAX 4000
/* Ends in one answer. */
#define PAGE_ENDS 500

typedef struct
{
  char task[NAME_LEN];
  uint32_t run;
  int64_t begun_ms;
  int64_t work_ms;
  int64_t stop_ms;
  bool will_fail;
  bool used;
  uint32_t save;
} Run;

typedef struct
{
  uint64_t number;
  char task[NAME_LEN];
  uint32_t run;
  const char *how;
  uint32_t save;
} End;

static const char *own_id;
static const char *record_path;
static int64_t record_begun_ms;
static int64_t clock_offset_ms;
static pthread_mutex_t mutex = PTHREAD_MUTEX_INITIALIZER;
static Run runs[TASKS_MAX];
static End ends[TASKS_MAX];
static uint32_t end_count;
static uint64_t last_end;
/* Runs of a task up to this number are refused. */
static struct
{
  char task[NAME_LEN];
  uint32_t run;
} barred[TASKS_MAX];
static uint32_t barred_count;
static int64_t token;
static uint64_t chance;
static volatile sig_atomic_t failing;
static uint32_t started;
static int64_t lease_until_ms;

static int64_t
own_clock (void)
{
  return mux_monotonic_ms () + clock_offset_ms;
}

static void
note (const char *format, ...)
{
  char line[512];
  int len
      = snprintf (line, sizeof line, "%8.3f worker %s: ",
                  (double) (mux_monotonic_ms () - record_begun_ms) / 1000,
                  own_id);
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

static uint32_t *
barred_run (const char *task)
{
  for (uint32_t i = 0; i < barred_count; i++)
    if (strcmp (barred[i].task, task) == 0)
      return &barred[i].run;
  if (barred_count == TASKS_MAX)
    abort ();
  snprintf (barred[barred_count].task, NAME_LEN, "%s", task);
  return &barred[barred_count++].run;
}

static void
bar (const char *task, uint32_t run)
{
  uint32_t *most = barred_run (task);

  if (run > *most)
    *most = run;
}

static void
end_run (Run *run, const char *how)
{
  if (end_count == TASKS_MAX)
    abort ();
  ends[end_count] = (End){ .number = ++last_end, .run = run->run, .how = how,
                           .save = run->save };
  memcpy (ends[end_count++].task, run->task, NAME_LEN);
  bar (run->task, run->run);
  run->used = false;
  note ("ends %s run %u %s", run->task, run->run, how);
}

/* Brings everything up to the present. */
static void
advance (void)
{
  int64_t now = mux_monotonic_ms ();

  for (uint32_t i = 0; i < TASKS_MAX; i++)
    {
      Run *run = &runs[i];

      if (!run->used)
        continue;
      if (own_clock () > lease_until_ms)
        end_run (run, "lapsed");
      else if (run->stop_ms != 0 && now >= run->stop_ms)
        end_run (run, "stopped");
      else if (run->will_fail && now - run->begun_ms >= 100)
        end_run (run, "failed");
      else if (run->work_ms != 0 && now - run->begun_ms >= run->work_ms)
        end_run (run, "done");
    }
}

static json_t *
basic (const char *reason)
{
  json_t *json = json_pack ("{s:I}", "clock_ms", (json_int_t) own_clock ());

  if (reason != NULL)
    json_object_set_new (json, "reason", json_string (reason));
  return json;
}

static bool
fenced (const json_t *body)
{
  int64_t given
      = json_integer_value (json_object_get (body, "fencing_token"));

  if (given < token)
    return true;
  token = given;
  return false;
}

static void
take_lease (const json_t *body)
{
  int64_t until = json_integer_value (json_object_get (body, "deadline_ms"));

  if (until > own_clock () + HOLD_MAX_MS)
    until = own_clock () + HOLD_MAX_MS;
  if (until > lease_until_ms)
    lease_until_ms = until;
}

static Run *
find (const char *task)
{
  for (uint32_t i = 0; i < TASKS_MAX; i++)
    if (runs[i].used && strcmp (runs[i].task, task) == 0)
      return &runs[i];
  return NULL;
}

/* SIGUSR1: its requests hang, or are served again; its health stays good. */
static void
on_signal (int number)
{
  (void) number;
  failing = !failing;
}

static uint32_t
number_in (const char *spec, const char *name)
{
  const char *at = strstr (spec, name);

  return at != NULL ? (uint32_t) atoi (at + strlen (name)) : 0;
}

/* A checkpoint begins with its task's name. */
static bool
wrong_checkpoint (const char *task, const char *checkpoint)
{
  size_t len = strlen (task);

  return checkpoint[0] != 0
         && (strncmp (checkpoint, task, len) != 0 || checkpoint[len] != '/');
}

static void
make_checkpoint (char *text, const char *task, uint32_t bytes)
{
  int len;

  text[0] = 0;
  if (bytes == 0)
    return;
  len = snprintf (text, SAVE_MAX, "%s/", task);
  while ((uint32_t) len < bytes && len < SAVE_MAX - 1)
    {
      text[len] = (char) ('a' + (len + task[len % 16]) % 26);
      len++;
    }
  text[len] = 0;
}

static unsigned
start (const json_t *body, json_t **answer)
{
  const char *task = wire_text (body, "task");
  const char *spec = wire_text (body, "spec");
  uint32_t number
      = (uint32_t) json_integer_value (json_object_get (body, "run"));
  const Run *other;

  if (task[0] == 0 || number == 0)
    return 400;
  if (fenced (body))
    {
      *answer = basic ("fence");
      return 409;
    }
  if (json_integer_value (json_object_get (body, "deadline_ms"))
      <= own_clock ())
    {
      *answer = basic ("late");
      return 409;
    }
  take_lease (body);
  other = find (task);
  if (other != NULL && other->run == number)
    {
      *answer = basic (NULL);
      return 200;
    }
  if (other != NULL || number <= *barred_run (task))
    {
      *answer = basic ("old");
      return 409;
    }
  for (uint32_t i = 0; i < TASKS_MAX; i++)
    if (!runs[i].used)
      {
        runs[i] = (Run){ .run = number,
                         .begun_ms = mux_monotonic_ms (),
                         .work_ms = getenv ("REVIEW_WORK") != NULL
                                        ? (uint32_t) atoi (getenv ("REVIEW_WORK"))
                                              + UNEVEN_MS * (started++ % 10)
                                        : number_in (spec, "work="),
                         .will_fail = number <= number_in (spec, "fail="),
                         .save = number_in (spec, "save="),
                         .used = true };
        snprintf (runs[i].task, NAME_LEN, "%s", task);
        break;
      }
  note ("starts %s run %u spec '%s'%s", task, number, spec,
        wrong_checkpoint (task, wire_text (body, "checkpoint"))
            ? " with a foreign checkpoint"
            : "");
  *answer = basic (NULL);
  return 200;
}

static unsigned
stop (const json_t *body, json_t **answer)
{
  const char *task = wire_text (body, "task");
  uint32_t number
      = (uint32_t) json_integer_value (json_object_get (body, "run"));
  Run *run;

  if (fenced (body))
    {
      *answer = basic ("fence");
      return 409;
    }
  run = find (task);
  note ("is told to stop %s run %u", task, number);
  if (run != NULL && run->run <= number && run->stop_ms == 0)
    run->stop_ms = mux_monotonic_ms () + STOP_MS;
  bar (task, number);
  *answer = basic (NULL);
  return 200;
}

static void
forget_ends (uint64_t through)
{
  uint32_t kept = 0;

  for (uint32_t i = 0; i < end_count; i++)
    if (ends[i].number > through)
      ends[kept++] = ends[i];
  end_count = kept;
}

static json_t *
lists (void)
{
  json_t *answer = basic (NULL);
  json_t *running = json_array ();
  json_t *finished = json_array ();
  char saved[SAVE_MAX];

  for (uint32_t i = 0; i < TASKS_MAX; i++)
    if (runs[i].used)
      {
        int64_t age = mux_monotonic_ms () - runs[i].begun_ms;
        int64_t percent = runs[i].work_ms != 0 ? age * 100 / runs[i].work_ms
                          : age < 300          ? age / 3
                                               : 100;

        make_checkpoint (saved, runs[i].task, age > 100 ? runs[i].save : 0);
        (void) json_array_append_new (
            running,
            json_pack ("[s, i, s, i, i]", runs[i].task, (int) runs[i].run,
                       saved,
                       (int) (percent > 100 ? 100 : percent), 500));
      }
  for (uint32_t i = 0; i < end_count && i < PAGE_ENDS; i++)
    {
      make_checkpoint (saved, ends[i].task, ends[i].save);
      (void) json_array_append_new (
          finished,
          json_pack ("[I, s, i, s, s]", (json_int_t) ends[i].number,
                     ends[i].task, (int) ends[i].run, ends[i].how, saved));
    }
  json_object_set_new (answer, "running", running);
  json_object_set_new (answer, "finished", finished);
  return answer;
}

static unsigned
hold (const json_t *body, json_t **answer)
{
  int64_t until = mux_monotonic_ms ()
                  + json_integer_value (json_object_get (body, "wait_ms"));

  if (fenced (body))
    {
      *answer = basic ("fence");
      return 409;
    }
  take_lease (body);
  forget_ends ((uint64_t) json_integer_value (
      json_object_get (body, "acked_through")));
  while (end_count == 0 && mux_monotonic_ms () < until)
    {
      pthread_mutex_unlock (&mutex);
      mux_pause_ms (10);
      pthread_mutex_lock (&mutex);
      advance ();
    }
  *answer = lists ();
  return 200;
}

/* Whether this order gets no answer and is carried out 2 to 12 s later:
 * REVIEW_LATE holds the share in percent, the first window, its length and the
 * time from one to the next, in ms, and the number of windows. */
static int64_t
late_by_ms (void)
{
  const char *text = getenv ("REVIEW_LATE");
  long long now = mux_monotonic_ms () - record_begun_ms;
  long long first;
  long long length;
  long long every;
  unsigned share;
  int windows;

  if (text == NULL
      || sscanf (text, "%u %lld %lld %lld %d", &share, &first, &length, &every,
                 &windows)
             != 5
      || now < first || now >= first + every * windows
      || (now - first) % every >= length || soak_random (&chance) % 100 >= share)
    return 0;
  return 2000 + (int64_t) (soak_random (&chance) % 10000);
}

static int
serve (const struct _u_request *request,
       struct _u_response *response,
       void *context)
{
  const char *expected
      = u_map_get_case (request->map_header, "Expected-Instance");
  json_t *body = request->binary_body != NULL
                     ? json_loadb (request->binary_body,
                                   request->binary_body_length, 0, NULL)
                     : NULL;
  json_t *answer = NULL;
  int64_t late_ms = 0;
  unsigned status = 400;

  (void) context;
  pthread_mutex_lock (&mutex);
  advance ();
  if (strncmp (request->url_path, "/-/run-st", 9) == 0)
    late_ms = late_by_ms ();
  if (failing && strcmp (request->url_path, "/health") != 0)
    {
      note ("hangs on %s %s run %d", request->url_path, wire_text (body, "task"),
            (int) json_integer_value (json_object_get (body, "run")));
      pthread_mutex_unlock (&mutex);
      mux_pause_ms (UNANSWERED_MS);
      json_decref (body);
      standin_cut_connection ();
      return U_CALLBACK_COMPLETE;
    }
  if (late_ms > 0)
    {
      pthread_mutex_unlock (&mutex);
      mux_pause_ms ((uint32_t) late_ms);
      pthread_mutex_lock (&mutex);
      advance ();
    }
  if (strcmp (request->url_path, "/health") == 0)
    status = 200;
  else if (expected != NULL && strcmp (expected, own_id) != 0)
    {
      status = 421;
      answer = basic (NULL);
    }
  else if (strcmp (request->url_path, "/-/run-start") == 0)
    status = start (body, &answer);
  else if (strcmp (request->url_path, "/-/run-stop") == 0)
    status = stop (body, &answer);
  else if (strcmp (request->url_path, "/-/hold") == 0)
    status = hold (body, &answer);
  pthread_mutex_unlock (&mutex);
  if (late_ms > 0)
    {
      /* No answer, and the connection stays open. */
      mux_pause_ms (UNANSWERED_MS);
      standin_cut_connection ();
    }
  else if (answer != NULL)
    (void) ulfius_set_json_body_response (response, status, answer);
  else
    (void) ulfius_set_empty_body_response (response, status);
  json_decref (answer);
  json_decref (body);
  return U_CALLBACK_COMPLETE;
}

int
worker_main (const char *id,
             const char *addr,
             const char *record,
             int64_t begun_ms)
{
  struct _u_instance http;
  char bound[MUX_ADDR_LEN];
  MuxError err = { 0 };
  uint16_t port;
  int fd;

  own_id = id;
  record_path = record;
  record_begun_ms = begun_ms;
  for (const char *c = id; *c != 0; c++)
    chance = chance * 31 + (uint8_t) *c + 1;
  (void) soak_random (&chance);
  signal (SIGUSR1, on_signal);
  clock_offset_ms = (int64_t) (getpid () % 1000) * 1000;
  fd = standin_listen (addr, bound, &port, &err);
  if (fd < 0 || ulfius_init_instance (&http, port, NULL, NULL) != U_OK)
    {
      note ("can't listen at %s: %s", addr, err.text);
      return 2;
    }
  http.check_utf8 = 0;
  http.allowed_post_processor = U_POST_PROCESS_NONE;
  if (ulfius_add_endpoint_by_val (&http, "*", "", "*", 0, serve, NULL) != U_OK
      || !standin_serve (&http, fd))
    return 2;
  note ("is up");
  for (;;)
    {
      pthread_mutex_lock (&mutex);
      advance ();
      pthread_mutex_unlock (&mutex);
      mux_pause_ms (10);
    }
}
