#ifndef SUPPORT_CLI_SESSION_H
#define SUPPORT_CLI_SESSION_H

#include "cli/cli.h"
#include "support/cli_server.h"

/**
 * struct CliSession - runs of a command line program against a scripted server
 * @host: first member; environment, clock and ids of the program
 * @door: the server
 * @server: value of CUMINMUX_SERVER
 * @who: value of CUMINMUX_WHO
 * @now_ms: simulated clock, advanced only when the program pauses
 * @ids: number of ids generated
 * @text: log of the session, for the golden file
 */
typedef struct
{
  MuxCliHost host;
  CliServer door;
  char server[128];
  const char *who;
  uint64_t now_ms;
  uint64_t ids;
  char *text;
  size_t text_len;
  FILE *log;
} CliSession;

#define CLI_SESSION(test)                                    \
  cmocka_unit_test_setup_teardown (test, cli_session_set_up, \
                                   cli_session_tear_down)

/** cli_session_begin() - group set-up for cmocka */
int cli_session_begin (void **state);
/** cli_session_end() - group tear-down for cmocka */
int cli_session_end (void **state);
/** cli_session_set_up() - set-up for cmocka; *@state is the session */
int cli_session_set_up (void **state);
int cli_session_tear_down (void **state);

/** cli_session_run_with() - runs a command line and logs it
 * @line: its words after the program's name
 * @input: its standard input
 * Return: its exit code. */
int
cli_session_run_with (CliSession *session, const char *line, const char *input);
/** cli_session_run() - cli_session_run_with() without input */
int cli_session_run (CliSession *session, const char *line);
/** cli_session_expect() - runs a command line; fails the test unless it exits
 * with @code */
void cli_session_expect (CliSession *session, const char *line, int code);

/** cli_session_will() - appends a response of the server */
void
cli_session_will (CliSession *session, unsigned int status, const char *body);
/** cli_session_will_refuse() - likewise, with the headers of a refusal */
void cli_session_will_refuse (CliSession *session,
                              unsigned int status,
                              const char *outcome,
                              const char *reason,
                              const char *body);
/** cli_session_will_break_off() - appends a response that is cut in the middle
 */
void cli_session_will_break_off (CliSession *session);

/** cli_session_assert_golden() - asserts that the log equals
 * test/golden/cli_@name.txt */
void cli_session_assert_golden (CliSession *session, const char *name);

#endif
