#include "support/canned_server.h"
#include "support/cli_session.h"
#include "support/test.h"

#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#define HEAD              \
  "HTTP/1.1 200 OK\r\n"   \
  "Connection: close\r\n" \
  "Cuminmux-Outcome: done\r\n"

static int
code_of (CliSession *session, const char *answer)
{
  char addr[MUX_ADDR_LEN];
  CannedServer *server = canned_server_new (answer, addr);
  int code;

  snprintf (session->server, sizeof session->server, "http://%s", addr);
  code = cli_session_run (session, "request desk --body x");
  canned_server_free (server);
  return code;
}

/* A desk prints half a confirmation with exit code 0: a load balancer
 * dropped the length, and the end of the broken connection looks like the
 * end of the answer.  Only a response that marks its own end is printed. */
static void
test_cut_answer_is_unknown (void **state)
{
  CliSession *session = *state;

  assert_int_equal (code_of (session, HEAD "Content-Length: 4\r\n\r\nhalf"),
                    MUX_EXIT_OK);
  assert_int_equal (code_of (session, HEAD "Transfer-Encoding: chunked\r\n\r\n"
                                           "4\r\nhalf\r\n0\r\n\r\n"),
                    MUX_EXIT_OK);
  assert_int_equal (code_of (session, HEAD "Content-Length: 9\r\n\r\nhalf"),
                    MUX_EXIT_UNKNOWN);
  assert_int_equal (code_of (session, HEAD "\r\nhalf"), MUX_EXIT_UNKNOWN);
}

/* An operator sends a change and the daemon's side closes half way, or the
 * reader of the command's output closes its pipe.  The next write raises
 * SIGPIPE, which ends the process without a word on whether the change took
 * effect: libcurl does not block SIGPIPE when CURLOPT_NOSIGNAL is set. */
static void
test_closed_pipe_does_not_end_it (void **state)
{
  CliSession *session = *state;
  char program[] = "cuminmux";
  char help[] = "--help";
  char *argv[] = { program, help, NULL };
  int fd[2];
  int status = 0;
  pid_t pid;

  assert_int_equal (pipe (fd), 0);
  close (fd[0]);
  pid = fork ();
  assert_true (pid >= 0);
  if (pid == 0)
    {
      signal (SIGPIPE, SIG_DFL);
      session->host.out = fdopen (fd[1], "w");
      mux_cli_run (&session->host, 2, argv);
      _exit (fflush (session->host.out) != 0 ? EXIT_SUCCESS : EXIT_FAILURE);
    }
  close (fd[1]);
  assert_int_equal (waitpid (pid, &status, 0), pid);
  assert_true (WIFEXITED (status));
  assert_int_equal (WEXITSTATUS (status), EXIT_SUCCESS);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown (test_cut_answer_is_unknown,
                                     cli_session_set_up, cli_session_tear_down),
    cmocka_unit_test_setup_teardown (test_closed_pipe_does_not_end_it,
                                     cli_session_set_up, cli_session_tear_down),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
