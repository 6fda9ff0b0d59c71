#include "args.h"

#include <argtable2.h>
#include <ctype.h>
#include <errno.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#define PARSE_ERRORS_MAX 32
#define REVISION_MAX INT64_MAX
#define TIMEOUT_MS_MAX 3600000

/**
 * enum Check - how the text of an argument is checked
 */
typedef enum
{
  CHECK_TEXT,
  CHECK_NAME,
  CHECK_ID,
  CHECK_KEY,
  CHECK_WHO,
  CHECK_YES_NO,
  CHECK_NUMBER,
  CHECK_SWITCH,
} Check;

/**
 * struct Spec - one flag or positional argument
 * @flag: long flag without its dashes; NULL: positional
 * @datatype: stands for the value in the help
 * @check: see enum Check
 * @min: least number
 * @max: greatest number
 * @fallback: number when it is absent
 * @field: field of the model that it fills, whose bounds the model checks
 * @help: one line
 */
typedef struct
{
  const char *flag;
  const char *datatype;
  Check check;
  int64_t min;
  int64_t max;
  int64_t fallback;
  const char *field;
  const char *help;
} Spec;

/* A number that fills a field of the model may be any; the model judges it. */
#define MODEL CHECK_NUMBER, INT64_MIN, INT64_MAX, 0

static const Spec specs[MUX_ARG_COUNT] = {
  [MUX_ARG_SERVER]
  = { "server", "URLS", CHECK_TEXT, 0, 0, 0, NULL,
      "daemons, tried in order: http://ip:port[,…] (CUMINMUX_SERVER)" },
  [MUX_ARG_TIMEOUT_MS]
  = { "timeout-ms", "MS", CHECK_NUMBER, 1, TIMEOUT_MS_MAX, 5000, NULL,
      "longest wait for an answer; default 5000 (CUMINMUX_TIMEOUT_MS)" },
  [MUX_ARG_WHO] = { "who", "NAME", CHECK_WHO, 0, 0, 0, NULL,
                    "who makes a change, for the history (CUMINMUX_WHO)" },
  [MUX_ARG_JSON] = { "json", NULL, CHECK_SWITCH, 0, 1, 0, NULL,
                     "print JSON for machines (CUMINMUX_JSON=1)" },
  [MUX_ARG_HELP]
  = { "help", NULL, CHECK_SWITCH, 0, 1, 0, NULL, "print this help" },
  [MUX_ARG_NAME]
  = { NULL, "NAME", CHECK_NAME, 0, 0, 0, NULL, "name of what is meant" },
  [MUX_ARG_JOB] = { NULL, "JOB", CHECK_ID, 0, 0, 0, NULL,
                    "id of a job, 32 hexadecimal digits" },
  [MUX_ARG_PRODUCT] = { "product", "NAME", CHECK_TEXT, 0, 0, 0, "product",
                        "the product that answers for the class" },
  [MUX_ARG_KIND] = { "kind", "KIND", CHECK_TEXT, 0, 0, 0, "kind",
                     "service, batch, gang or long_running" },
  [MUX_ARG_IDEMPOTENT]
  = { "idempotent", "yes|no", CHECK_YES_NO, 0, 0, 0, "idempotent",
      "whether running a task twice, one after the other, does no harm" },
  [MUX_ARG_START_WITHIN_MS]
  = { "start-within-ms", "MS", MODEL, "start_within_ms",
      "promised waiting time until work starts" },
  [MUX_ARG_SHARE_PPM]
  = { "share-ppm", "PPM", MODEL, "start_share_ppm",
      "share of starts that must meet it; default 990000 (99 %)" },
  [MUX_ARG_CPU_MILLI]
  = { "cpu-milli", "N", MODEL, "cpu_milli", "processors, in thousandths" },
  [MUX_ARG_MEM_MIB] = { "mem-mib", "MIB", MODEL, "mem_mib", "memory, in MiB" },
  [MUX_ARG_ACCELS] = { "accels", "N", MODEL, "accels", "accelerators" },
  [MUX_ARG_SLOTS]
  = { "slots", "N", MODEL, "slots", "tasks held at once; all 0: no bound" },
  [MUX_ARG_RUN_MS] = { "run-ms", "MS", MODEL, "run_ms",
                       "declared run time of a task; 0 for long_running" },
  [MUX_ARG_IDLE_PPM] = { "idle-ppm", "PPM", MODEL, "idle_ppm",
                         "share of capacity that may be paid for while idle" },
  [MUX_ARG_EXPECT]
  = { "expect", "REV", CHECK_NUMBER, 0, REVISION_MAX, 0, NULL,
      "change it only from this revision; 0: it must not exist" },
  [MUX_ARG_CHANGE]
  = { "change", "ID", CHECK_ID, 0, 0, 0, NULL,
      "id of an earlier change of unknown outcome, to settle it" },
  [MUX_ARG_WAIT] = { "wait", NULL, CHECK_SWITCH, 0, 1, 0, NULL,
                     "wait until every reachable daemon has the change" },
  [MUX_ARG_WAIT_MS] = { "wait-ms", "MS", CHECK_NUMBER, 0, TIMEOUT_MS_MAX, 30000,
                        NULL, "longest wait; default 30000" },
  [MUX_ARG_TO] = { "to", "REV", CHECK_NUMBER, 1, REVISION_MAX, 0, NULL,
                   "revision to go back to" },
  [MUX_ARG_AFTER] = { "after", "REV", CHECK_NUMBER, 0, REVISION_MAX, 0, NULL,
                      "show changes after this revision alone" },
  [MUX_ARG_TASKS] = { "tasks", "N", CHECK_NUMBER, 1, UINT32_MAX, 1, NULL,
                      "tasks of the job; default 1" },
  [MUX_ARG_KEY] = { "key", "KEY", CHECK_KEY, 0, 0, 0, NULL,
                    "idempotency key, 1 to 128 printable bytes; default: a "
                    "random one" },
  [MUX_ARG_BODY] = { "body", "TEXT", CHECK_TEXT, 0, 0, 0, NULL,
                     "the body; default: standard input" },
  [MUX_ARG_FILE]
  = { "file", "PATH", CHECK_TEXT, 0, 0, 0, NULL, "file with the body" },
  [MUX_ARG_GIVE_UP_MS]
  = { "give-up-ms", "MS", CHECK_NUMBER, 1, TIMEOUT_MS_MAX, 30000, NULL,
      "give up when it has not ended by then; default 30000" },
};

static const struct
{
  MuxArg arg;
  const char *name;
} environment[] = { { MUX_ARG_SERVER, "CUMINMUX_SERVER" },
                    { MUX_ARG_TIMEOUT_MS, "CUMINMUX_TIMEOUT_MS" },
                    { MUX_ARG_WHO, "CUMINMUX_WHO" },
                    { MUX_ARG_JSON, "CUMINMUX_JSON" } };

/**
 * struct Table - an argtable and which argument each entry is
 * @entry: for argtable2, closed by @end
 * @arg: the argument of each entry
 * @count: entries before @end
 */
typedef struct
{
  void *entry[MUX_ARG_COUNT + 1];
  MuxArg arg[MUX_ARG_COUNT];
  size_t count;
  struct arg_end *end;
} Table;

static void
table_add (Table *table, MuxArg arg, bool required)
{
  const Spec *spec = &specs[arg];
  const char *help = spec->help;

  table->arg[table->count] = arg;
  if (spec->check == CHECK_SWITCH)
    table->entry[table->count++] = arg_lit0 (NULL, spec->flag, help);
  else
    table->entry[table->count++]
        = arg_strn (NULL, spec->flag, spec->datatype, required, 1, help);
}

static bool
table_make (Table *table, const MuxArgList *list)
{
  memset (table, 0, sizeof *table);
  for (int i = 0; list->required[i] != MUX_ARG_END; i++)
    table_add (table, list->required[i], true);
  for (int i = 0; list->optional[i] != MUX_ARG_END; i++)
    table_add (table, list->optional[i], false);
  for (int i = MUX_ARG_SERVER; i <= MUX_ARG_HELP; i++)
    table_add (table, (MuxArg) i, false);
  table->end = arg_end (PARSE_ERRORS_MAX);
  table->entry[table->count] = table->end;
  return arg_nullcheck (table->entry) == 0;
}

static void
table_free (Table *table)
{
  arg_freetable (table->entry, table->count + 1);
}

static void
spec_place (const Spec *spec, char *out, size_t cap)
{
  snprintf (out, cap, "%s%s", spec->flag != NULL ? "--" : "",
            spec->flag != NULL ? spec->flag : spec->datatype);
}

static const Spec *
spec_of_entry (const Table *table, const void *entry)
{
  for (size_t i = 0; i < table->count; i++)
    if (table->entry[i] == entry)
      return &specs[table->arg[i]];
  return NULL;
}

/* One finding for each error that argtable2 noted, but for missing ones: it
 * looks for these only when nothing else is wrong. */
static void
find_parse_errors (const Table *table, MuxFindings *findings)
{
  for (int i = 0; i < table->end->count; i++)
    {
      const Spec *spec = spec_of_entry (table, table->end->parent[i]);
      const char *given = table->end->argval[i];
      char place[64];

      if (spec == NULL)
        {
          mux_findings_add (findings, given != NULL ? given : "arguments",
                            "is not known here, or lacks its value");
          continue;
        }
      spec_place (spec, place, sizeof place);
      if (table->end->error[i] != ARG_ELIMIT)
        mux_findings_add (findings, place, "given more than once");
    }
}

static void
find_missing (const MuxArgList *list,
              const MuxArgs *args,
              MuxFindings *findings)
{
  char place[64];

  for (int i = 0; list->required[i] != MUX_ARG_END; i++)
    if (args->text[list->required[i]] == NULL)
      {
        spec_place (&specs[list->required[i]], place, sizeof place);
        mux_findings_add (findings, place, "must be given");
      }
}

static void
take_values (const Table *table, MuxArgs *args)
{
  for (size_t i = 0; i < table->count; i++)
    {
      MuxArg arg = table->arg[i];
      const struct arg_str *str = table->entry[i];
      const struct arg_lit *lit = table->entry[i];

      if (specs[arg].check == CHECK_SWITCH)
        args->text[arg] = lit->count > 0 ? "1" : NULL;
      else if (str->count > 0)
        args->text[arg] = str->sval[0];
    }
}

static void
take_environment (MuxCliHost *host, MuxArgs *args)
{
  for (size_t i = 0; i < sizeof environment / sizeof environment[0]; i++)
    {
      MuxArg arg = environment[i].arg;
      const char *text = host->setting (host, environment[i].name);

      if (args->text[arg] == NULL && text != NULL && *text != 0)
        args->text[arg] = text;
    }
}

static bool
printable (const char *text, size_t max)
{
  size_t len = strlen (text);

  for (size_t i = 0; i < len; i++)
    if ((unsigned char) text[i] < ' ' || (unsigned char) text[i] > '~')
      return false;
  return len >= 1 && len <= max;
}

static bool
parse_number (const char *text, int64_t *value)
{
  char *end;

  errno = 0;
  *value = strtoll (text, &end, 10);
  return errno == 0 && end != text && *end == 0
         && (isdigit ((unsigned char) *text) || *text == '-');
}

static void
check_number (const Spec *spec,
              const char *place,
              const char *text,
              int64_t *value,
              MuxFindings *findings)
{
  if (!parse_number (text, value))
    mux_findings_add (findings, place, "must be a whole number, not \"%s\"",
                      text);
  else if (*value < spec->min || *value > spec->max)
    mux_findings_add (findings, place,
                      "must be %" PRId64 " to %" PRId64 ", not %" PRId64,
                      spec->min, spec->max, *value);
}

static void
check_arg (MuxArg arg, MuxArgs *args, MuxFindings *findings)
{
  const Spec *spec = &specs[arg];
  const char *text = args->text[arg];
  char place[64];
  MuxId id;

  args->number[arg] = spec->fallback;
  if (text == NULL)
    return;
  spec_place (spec, place, sizeof place);
  if (spec->check == CHECK_NUMBER)
    check_number (spec, place, text, &args->number[arg], findings);
  else if (spec->check == CHECK_NAME && !mux_name_valid (text))
    mux_findings_add (findings, place,
                      "must be 1 to 47 of a-z A-Z 0-9 . _ -, not \"%s\"", text);
  else if (spec->check == CHECK_ID && !mux_id_parse (text, &id))
    mux_findings_add (findings, place,
                      "must be 32 hexadecimal digits, not \"%s\"", text);
  else if (spec->check == CHECK_KEY && !printable (text, MUX_KEY_LEN - 1))
    mux_findings_add (findings, place, "must be 1 to 128 printable bytes");
  else if (spec->check == CHECK_WHO && !printable (text, MUX_NAME_LEN - 1))
    mux_findings_add (findings, place, "must be 1 to 47 printable bytes");
  else if (spec->check == CHECK_YES_NO && strcmp (text, "yes") != 0
           && strcmp (text, "no") != 0)
    mux_findings_add (findings, place, "must be yes or no, not \"%s\"", text);
  else if (spec->check == CHECK_SWITCH && strcmp (text, "0") != 0
           && strcmp (text, "1") != 0)
    mux_findings_add (findings, place, "must be 0 or 1, not \"%s\"", text);
  else if (spec->check == CHECK_SWITCH)
    args->number[arg] = *text == '1';
}

bool
mux_args_parse (const MuxArgList *list,
                MuxCliHost *host,
                int argc,
                char **argv,
                MuxArgs *args,
                MuxFindings *findings)
{
  Table table;

  memset (args, 0, sizeof *args);
  if (!table_make (&table, list))
    {
      table_free (&table);
      mux_findings_add (findings, "arguments", "memory is out");
      return false;
    }
  arg_parse (argc, argv, table.entry);
  take_values (&table, args);
  find_parse_errors (&table, findings);
  find_missing (list, args, findings);
  take_environment (host, args);
  for (int i = 0; i < MUX_ARG_COUNT; i++)
    check_arg ((MuxArg) i, args, findings);
  table_free (&table);
  return findings->count == 0;
}

void
mux_args_help (const MuxArgList *list, const char *verb, FILE *out)
{
  Table table;

  if (table_make (&table, list))
    {
      fprintf (out, "usage: cuminmux %s", verb);
      arg_print_syntax (out, table.entry, "\n\n");
      arg_print_glossary (out, table.entry, "  %-24s %s\n");
    }
  table_free (&table);
}

void
mux_args_name_flags (MuxFindings *findings)
{
  for (uint32_t i = 0; i < findings->count; i++)
    {
      MuxFinding *finding = &findings->item[i];
      const char *dot = strrchr (finding->place, '.');
      const char *last = dot != NULL ? dot + 1 : finding->place;

      for (int arg = 0; arg < MUX_ARG_COUNT; arg++)
        if (specs[arg].field != NULL && strcmp (specs[arg].field, last) == 0)
          {
            spec_place (&specs[arg], finding->place, sizeof finding->place);
            break;
          }
    }
}
