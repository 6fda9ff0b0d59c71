#include "demo/support/proc.h"
#include "support/test.h"

#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#define LONG_MS 30000

static MuxProc *
start (const char *script, MuxError *err)
{
  const char *const argv[] = { "/bin/sh", "-c", script, NULL };
  const MuxProcOptions options = { argv, NULL, LONG_MS, NULL };

  return mux_proc_start (&options, err);
}

static void
test_words_and_end (void **state)
{
  MuxError err = { 0 };
  char word[32];
  int status = 0;
  MuxProc *proc = start ("echo starting; echo listening 127.0.0.1:7 peer x;"
                         "read never </dev/zero",
                         &err);

  (void) state;
  assert_non_null (proc);
  assert_string_equal (mux_proc_line (proc), "127.0.0.1:7 peer x");
  assert_true (mux_proc_word (proc, 0, word, sizeof word));
  assert_string_equal (word, "127.0.0.1:7");
  assert_true (mux_proc_word (proc, 2, word, sizeof word));
  assert_string_equal (word, "x");
  assert_false (mux_proc_word (proc, 3, word, sizeof word));
  assert_false (mux_proc_word (proc, 0, word, 3));
  assert_false (mux_proc_wait (proc, 0, NULL));
  mux_proc_signal (proc, SIGKILL);
  assert_true (mux_proc_wait (proc, LONG_MS, &status));
  assert_true (WIFSIGNALED (status));
  mux_proc_free (proc);
}

static void
test_free_kills (void **state)
{
  MuxError err = { 0 };
  MuxProc *proc = start ("echo listening x; read never </dev/zero", &err);
  int pid;

  (void) state;
  assert_non_null (proc);
  pid = mux_proc_pid (proc);
  mux_proc_free (proc);
  assert_int_equal (kill (pid, 0), -1);
}

static void
test_never_listens (void **state)
{
  MuxError err = { 0 };

  (void) state;
  assert_null (start ("echo something else", &err));
  assert_int_equal (err.code, MUX_ERROR_IO);
}

/* A user presses Ctrl-C during a run: the driver is signalled to end while
 * its child runs, and the child must not outlive the driver. */
static void
test_signal_ends_children (void **state)
{
  int fd[2];
  int pid = 0;
  int status = 0;
  pid_t driver;

  (void) state;
  assert_int_equal (pipe (fd), 0);
  driver = fork ();
  assert_true (driver >= 0);
  if (driver == 0)
    {
      MuxProc *proc;

      mux_proc_guard ();
      proc = start ("echo listening x; read never </dev/zero", NULL);
      pid = proc == NULL ? 0 : mux_proc_pid (proc);
      if (write (fd[1], &pid, sizeof pid) != sizeof pid)
        _exit (1);
      for (;;)
        pause ();
    }
  assert_int_equal (read (fd[0], &pid, sizeof pid), sizeof pid);
  assert_true (pid > 0);
  kill (driver, SIGINT);
  waitpid (driver, &status, 0);
  assert_int_equal (WEXITSTATUS (status), 128 + SIGINT);
  assert_int_equal (kill (pid, 0), -1);
  close (fd[0]);
  close (fd[1]);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_words_and_end),
    cmocka_unit_test (test_free_kills),
    cmocka_unit_test (test_never_listens),
    cmocka_unit_test (test_signal_ends_children),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
