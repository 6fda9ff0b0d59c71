#include "support/cli_session.h"

#include "support/golden.h"
#include "support/test.h"

#include <unistd.h>

#define WORDS_MAX 40

static const char *
fake_setting (MuxCliHost *host, const char *name)
{
  CliSession *session = (CliSession *) host;

  if (strcmp (name, "CUMINMUX_SERVER") == 0)
    return session->server;
  if (strcmp (name, "CUMINMUX_WHO") == 0)
    return session->who;
  return NULL;
}

static uint64_t
fake_now_ms (MuxCliHost *host)
{
  return ((CliSession *) host)->now_ms;
}

static void
fake_pause_ms (MuxCliHost *host, uint32_t ms)
{
  ((CliSession *) host)->now_ms += ms;
}

static bool
fake_new_id (MuxCliHost *host, MuxId *id)
{
  id->hi = 0xc0ffee;
  id->lo = ++((CliSession *) host)->ids;
  return true;
}

int
cli_session_begin (void **state)
{
  (void) state;
  return ulfius_global_init () == U_OK ? 0 : -1;
}

int
cli_session_end (void **state)
{
  (void) state;
  ulfius_global_close ();
  return 0;
}

int
cli_session_set_up (void **state)
{
  CliSession *session = calloc (1, sizeof *session);

  if (session == NULL || !cli_server_open (&session->door))
    return -1;
  session->host = (MuxCliHost){ .setting = fake_setting,
                                .now_ms = fake_now_ms,
                                .pause_ms = fake_pause_ms,
                                .new_id = fake_new_id };
  session->who = "hajar";
  snprintf (session->server, sizeof session->server, "http://127.0.0.1:%u",
            session->door.port);
  session->log = open_memstream (&session->text, &session->text_len);
  *state = session;
  return session->log != NULL ? 0 : -1;
}

int
cli_session_tear_down (void **state)
{
  CliSession *session = *state;

  unsetenv ("http_proxy");
  cli_server_close (&session->door);
  fclose (session->log);
  free (session->text);
  free (session);
  return 0;
}

static void
log_lines (FILE *log, const char *mark, const char *text)
{
  while (*text != 0)
    {
      size_t len = strcspn (text, "\n");

      fprintf (log, "%s%.*s\n", mark, (int) len, text);
      text += len + (text[len] == '\n');
    }
}

/* Logs the command line, the requests, the output and the exit code. */
int
cli_session_run_with (CliSession *session, const char *line, const char *input)
{
  char copy[1024];
  char program[] = "cuminmux";
  char *argv[WORDS_MAX + 1] = { program };
  char *out, *err, *save = NULL;
  size_t out_len, err_len;
  int argc = 1;
  int code;

  snprintf (copy, sizeof copy, "%s", line);
  for (char *word = strtok_r (copy, " ", &save);
       word != NULL && argc < WORDS_MAX; word = strtok_r (NULL, " ", &save))
    argv[argc++] = word;
  session->host.out = open_memstream (&out, &out_len);
  session->host.err = open_memstream (&err, &err_len);
  session->host.in = fmemopen ((char *) input, strlen (input), "r");
  code = mux_cli_run (&session->host, argc, argv);
  fclose (session->host.out);
  fclose (session->host.err);
  fclose (session->host.in);
  fprintf (session->log, "$ cuminmux %s\n", line);
  log_lines (session->log, "", session->door.seen);
  log_lines (session->log, "", out);
  log_lines (session->log, "! ", err);
  fprintf (session->log, "exit %d\n\n", code);
  session->door.seen[0] = 0;
  session->door.seen_len = 0;
  free (out);
  free (err);
  return code;
}

int
cli_session_run (CliSession *session, const char *line)
{
  return cli_session_run_with (session, line, "from standard input");
}

void
cli_session_expect (CliSession *session, const char *line, int code)
{
  int got = cli_session_run (session, line);

  if (got != code)
    fail_msg ("%s: exit %d, not %d", line, got, code);
}

void
cli_session_will (CliSession *session, unsigned int status, const char *body)
{
  cli_server_will_respond (
      &session->door, (CliServerResponse){ .status = status, .body = body });
}

void
cli_session_will_refuse (CliSession *session,
                         unsigned int status,
                         const char *outcome,
                         const char *reason,
                         const char *body)
{
  cli_server_will_respond (&session->door,
                           (CliServerResponse){ .status = status,
                                                .outcome = outcome,
                                                .reason = reason,
                                                .retry_ms = "250",
                                                .body = body });
}

void
cli_session_will_break_off (CliSession *session)
{
  cli_server_will_respond (&session->door, (CliServerResponse){ .status = 0 });
}

void
cli_session_assert_golden (CliSession *session, const char *name)
{
  char file[64];

  snprintf (file, sizeof file, "cli_%s", name);
  fflush (session->log);
  golden_assert (file, session->text);
}
