#ifndef SUPPORT_CLI_SESSION_H
#define SUPPORT_CLI_SESSION_H

#include "cli/cli.h"
#include "support/cli_door.h"

/**
 * struct CliSession - a command line program's run against a stand-in
 * @host: first member; the process around the command line
 * @door: the daemon
 * @server: value of CUMINMUX_SERVER
 * @who: value of CUMINMUX_WHO
 * @now_ms: fake clock, moved by pauses alone
 * @ids: ids given out
 * @text: the whole session so far, for the golden file
 */
typedef struct
{
  MuxCliHost host;
  CliDoor door;
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

/** cli_session_begin() - for cmocka, around the tests of a program */
int cli_session_begin (void **state);
int cli_session_end (void **state);
/** cli_session_set_up() - for cmocka; *@state is the session */
int cli_session_set_up (void **state);
int cli_session_tear_down (void **state);

/** cli_session_run_with() - run a command line and log it
 * @line: its words after the program's name
 * @input: its standard input
 * Return: its exit code. */
int
cli_session_run_with (CliSession *session, const char *line, const char *input);
int cli_session_run (CliSession *session, const char *line);
/** cli_session_expect() - run it; the test fails unless it exits with @code */
void cli_session_expect (CliSession *session, const char *line, int code);

/** cli_session_will() - the daemon's next answer */
void
cli_session_will (CliSession *session, unsigned int status, const char *body);
void cli_session_will_refuse (CliSession *session,
                              unsigned int status,
                              const char *outcome,
                              const char *reason,
                              const char *body);
/** cli_session_will_break_off() - the next answer breaks off in the middle */
void cli_session_will_break_off (CliSession *session);

/** cli_session_assert_golden() - the session is test/golden/cli_@name.txt */
void cli_session_assert_golden (CliSession *session, const char *name);

#endif
