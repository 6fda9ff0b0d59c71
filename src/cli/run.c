#include "verb.h"

#include <errno.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

void
mux_findings_print (FILE *err, const MuxFindings *findings)
{
  for (uint32_t i = 0; i < findings->count; i++)
    fprintf (err, "cuminmux: %s: %s\n", findings->item[i].place,
             findings->item[i].text);
  if (findings->dropped > 0)
    fprintf (err, "cuminmux: and %u more\n", (unsigned) findings->dropped);
}

static void
print_program_help (FILE *out)
{
  char words[48];

  fputs ("usage: cuminmux [SETTINGS] VERB [ARGUMENTS]\n\n", out);
  for (const MuxVerb *verb = mux_verbs; verb->group != NULL; verb++)
    {
      snprintf (words, sizeof words, "%s%s%s", verb->group,
                verb->name != NULL ? " " : "",
                verb->name != NULL ? verb->name : "");
      fprintf (out, "  %-16s %s\n", words, verb->help);
    }
  fputs ("\n'cuminmux VERB --help' shows the arguments of a verb; they follow "
         "the verb.\nThe settings --server, --ca-file, --timeout-ms, --who and "
         "--json may "
         "also go before it.\n\n"
         "exit codes:\n"
         "  0  done\n"
         "  1  a daemon refused; the reason is printed\n"
         "  2  bad use\n"
         "  3  no daemon can be reached\n"
         "  4  outcome unknown: it may have taken effect\n"
         "  5  not run, or not yet: try later; with --all: not all answered\n",
         out);
}

static const MuxVerb *
find_verb (int argc, char **argv, int *words)
{
  for (const MuxVerb *verb = mux_verbs; verb->group != NULL; verb++)
    {
      if (argc < 2 || strcmp (verb->group, argv[1]) != 0)
        continue;
      if (verb->name == NULL)
        {
          *words = 1;
          return verb;
        }
      if (argc >= 3 && strcmp (verb->name, argv[2]) == 0)
        {
          *words = 2;
          return verb;
        }
    }
  return NULL;
}

static int
refuse_verb (MuxCliHost *host, int argc, char **argv)
{
  if (argc < 2)
    fputs ("cuminmux: a verb must be given; see cuminmux --help\n", host->err);
  else
    fprintf (host->err,
             "cuminmux: \"%s%s%s\" is no verb; see cuminmux --help\n", argv[1],
             argc > 2 ? " " : "", argc > 2 ? argv[2] : "");
  return MUX_EXIT_USAGE;
}

static void
print_verb_help (const MuxVerb *verb, FILE *out)
{
  char words[48];

  snprintf (words, sizeof words, "%s%s%s", verb->group,
            verb->name != NULL ? " " : "",
            verb->name != NULL ? verb->name : "");
  mux_args_help (&verb->args, words, out);
  fprintf (out, "\n%s\n", verb->help);
}

static void
check_servers (MuxCliCall *call, MuxFindings *findings)
{
  const char *text = call->args.text[MUX_ARG_SERVER];

  if (text == NULL)
    mux_findings_add (findings, "--server",
                      "must be given, here or as CUMINMUX_SERVER");
  else if (!mux_servers_parse (text, &call->servers))
    mux_findings_add (findings, "--server",
                      "must be 1 to %d of http[s]://ip:port with commas "
                      "between, "
                      "not \"%s\"",
                      MUX_SERVERS_MAX, text);
}

/* Otherwise a missing file would show only as an untrusted daemon. */
static void
check_ca_file (MuxCliCall *call, MuxFindings *findings)
{
  const char *path = call->args.text[MUX_ARG_CA_FILE];

  if (path != NULL && access (path, R_OK) != 0)
    mux_findings_add (findings, "--ca-file", "can't read \"%s\": %s", path,
                      strerror (errno));
  call->servers.ca_file = path;
}

static int
run_verb (MuxCliCall *call, int argc, char **argv)
{
  MuxFindings *findings = calloc (1, sizeof *findings);
  int code = MUX_EXIT_USAGE;

  if (findings == NULL)
    {
      fputs ("cuminmux: out of memory\n", call->host->err);
      return MUX_EXIT_LATER;
    }
  mux_args_parse (&call->verb->args, call->host, argc, argv, &call->args,
                  findings);
  if (call->args.text[MUX_ARG_HELP] != NULL)
    {
      print_verb_help (call->verb, call->host->out);
      free (findings);
      return MUX_EXIT_OK;
    }
  if (!call->verb->local)
    {
      check_servers (call, findings);
      check_ca_file (call, findings);
    }
  call->timeout_ms = (uint32_t) call->args.number[MUX_ARG_TIMEOUT_MS];
  call->json = call->args.number[MUX_ARG_JSON] != 0;
  mux_findings_print (call->host->err, findings);
  if (findings->count == 0)
    code = call->verb->run (call);
  free (findings);
  return code;
}

static bool
asks_help (const char *word)
{
  return strcmp (word, "--help") == 0 || strcmp (word, "help") == 0;
}

static int
run_without_verb (MuxCliHost *host, int argc, char **argv)
{
  if ((argc >= 2 && asks_help (argv[1])) || (argc >= 3 && asks_help (argv[2])))
    {
      print_program_help (host->out);
      return MUX_EXIT_OK;
    }
  return refuse_verb (host, argc, argv);
}

int
mux_cli_run (MuxCliHost *host, int argc, char **argv)
{
  MuxCliCall call = { .host = host };
  int leading = mux_args_leading (argc, argv);
  int rest = argc - leading;
  char **line = calloc ((size_t) argc + 1, sizeof *line);
  int words = 0;
  int code;

  /* SIGPIPE would end the program without a message, if a daemon closes a TLS
   * connection during a send or the reader of standard output exits.  If it is
   * ignored, the write fails and the error is printed. */
  signal (SIGPIPE, SIG_IGN);
  if (line == NULL)
    {
      fputs ("cuminmux: out of memory\n", host->err);
      return MUX_EXIT_LATER;
    }
  line[0] = argv[0];
  memcpy (line + 1, argv + 1 + leading, (size_t) (rest - 1) * sizeof *line);
  call.verb = find_verb (rest, line, &words);
  if (call.verb == NULL)
    {
      code = run_without_verb (host, rest, line);
      free (line);
      return code;
    }
  /* Leading options are moved right behind the verb: after a "--" among its
   * arguments they would be parsed as positional ones. */
  memmove (line + 1 + words + leading, line + 1 + words,
           (size_t) (rest - 1 - words) * sizeof *line);
  memcpy (line + 1 + words, argv + 1, (size_t) leading * sizeof *line);
  code = run_verb (&call, argc - words, line + words);
  free (line);
  return code;
}
