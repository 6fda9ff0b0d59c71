#include "../../src/daemon/event_log.h"

#include "support/test.h"

#include <fcntl.h>
#include <signal.h>
#include <time.h>
#include <unistd.h>

/* Standard output is a pipe while a test runs. */
typedef struct
{
  int saved;
  int read_end;
} Pipe;

static Pipe
pipe_begin (void)
{
  int fd[2];
  Pipe pipe_of = { dup (STDOUT_FILENO), -1 };

  fflush (stdout);
  assert_int_equal (pipe (fd), 0);
  assert_true (dup2 (fd[1], STDOUT_FILENO) >= 0);
  close (fd[1]);
  pipe_of.read_end = fd[0];
  return pipe_of;
}

static void
pipe_end (Pipe *pipe_of)
{
  dup2 (pipe_of->saved, STDOUT_FILENO);
  close (pipe_of->saved);
}

static MuxEventLog *
log_new (uint32_t per_kind_s)
{
  MuxEventLogOptions options
      = { .name = "entry-1", .queue = 64, .rate_limit_per_s = per_kind_s };

  return mux_event_log_new (&options);
}

static void
test_lines_and_suppression (void **state)
{
  Pipe pipe_of = pipe_begin ();
  MuxEventLog *log = log_new (3);
  char text[8192];
  ssize_t len;
  uint32_t lines = 0;
  json_t *json;

  (void) state;
  for (int i = 0; i < 10; i++)
    mux_event_log (log, "refused", json_pack ("{s:i}", "n", i));
  mux_event_log (log, "accepted", json_pack ("{s:s}", "job", "a"));
  mux_event_log_free (log);
  pipe_end (&pipe_of);
  len = read (pipe_of.read_end, text, sizeof text - 1);
  close (pipe_of.read_end);
  assert_true (len > 0);
  text[len] = 0;
  for (char *line = strtok (text, "\n"); line != NULL;
       line = strtok (NULL, "\n"))
    {
      json = json_loads (line, 0, NULL);
      assert_non_null (json);
      assert_string_equal (
          json_string_value (json_object_get (json, "instance")), "entry-1");
      json_decref (json);
      lines++;
    }
  /* A second may begin among the ten. */
  assert_true (lines >= 4 && lines <= 7);
}

/*
 * The reader of the log stops reading and the pipe fills.  The thread that logs
 * must not block; lines are dropped instead.
 */
static void
test_blocked_reader_holds_nobody (void **state)
{
  Pipe pipe_of = pipe_begin ();
  MuxEventLog *log = log_new (1000000);
  struct timespec begin;
  struct timespec end;

  (void) state;
  clock_gettime (CLOCK_MONOTONIC, &begin);
  for (int i = 0; i < 20000; i++)
    mux_event_log (log, "accepted", json_pack ("{s:i}", "n", i));
  clock_gettime (CLOCK_MONOTONIC, &end);
  assert_true (end.tv_sec - begin.tv_sec < 5);
  close (pipe_of.read_end);
  mux_event_log_free (log);
  pipe_end (&pipe_of);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_lines_and_suppression),
    cmocka_unit_test (test_blocked_reader_holds_nobody),
  };

  signal (SIGPIPE, SIG_IGN);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
